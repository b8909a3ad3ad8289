//! What a host believes of endpoints and of the other hosts' requests.

use std::collections::HashMap;
use std::net::SocketAddr;

use chalkrock_core::rendezvous::{KeyHash, score};
use chalkrock_core::{Endpoint, EndpointId, PoolId, ZoneId};
use chalkrock_routing::{
    BudgetRules, Candidate, EndpointHealth, EndpointTable, FleetLoad, Member, Sign, SpreadRules,
    WindowBudget, choose,
};

use crate::source::StoreVersion;

/// What a request wants of placement.
#[derive(Debug)]
pub(crate) struct Wanted<'a> {
    pub(crate) pool: &'a PoolId,
    /// The prefix that it shares with others.
    pub(crate) key: Option<KeyHash>,
    /// Endpoints that had it already.
    pub(crate) tried: &'a [u32],
    pub(crate) draw: u64,
}

/// An endpoint that was chosen.
#[derive(Clone, Debug)]
pub(crate) struct Choice {
    pub(crate) member: Member,
    /// Requests on it over the fleet, without this one.
    pub(crate) load: u32,
    /// Who else may hold the prefix in memory.
    pub(crate) holder: Option<SocketAddr>,
}

/// The beliefs of one host.
#[derive(Debug)]
pub(crate) struct Fleet {
    pub(crate) endpoints: EndpointTable,
    /// The newest change of the list that is known.
    pub(crate) endpoints_version: StoreVersion,
    pub(crate) load: FleetLoad<SocketAddr>,
    zone: ZoneId,
    spread: SpreadRules,
    budget: BudgetRules,
    health: HashMap<u32, EndpointHealth>,
    budgets: HashMap<PoolId, WindowBudget>,
}

impl Fleet {
    pub(crate) fn new(zone: ZoneId, spread: SpreadRules, budget: BudgetRules) -> Self {
        Self {
            endpoints: EndpointTable::default(),
            endpoints_version: StoreVersion::default(),
            load: FleetLoad::default(),
            zone,
            spread,
            budget,
            health: HashMap::new(),
            budgets: HashMap::new(),
        }
    }

    /// Takes bounds that were read again.
    pub(crate) fn set_bounds(&mut self, spread: SpreadRules, budget: BudgetRules) {
        self.spread = spread;
        if self.budget != budget {
            self.budget = budget;
            self.budgets.clear();
        }
    }

    /// Chooses an endpoint of a pool.
    pub(crate) fn place(&self, wanted: &Wanted<'_>, now_ms: u64) -> Option<Choice> {
        let members = self.endpoints.live(wanted.pool);
        let untried: Vec<&Member> = members
            .iter()
            .filter(|member| !wanted.tried.contains(&member.hash.short()))
            .collect();
        let candidates: Vec<Candidate> = untried
            .iter()
            .map(|member| self.candidate(member, now_ms))
            .collect();
        let index = choose(&candidates, wanted.key, &self.spread, wanted.draw)?;
        let member = untried[index].clone();
        let holder = wanted
            .key
            .and_then(|key| self.other_holder(wanted.pool, key, &member, now_ms));
        Some(Choice {
            load: candidates[index].load,
            member,
            holder,
        })
    }

    /// The first rank of a prefix but for the endpoint that was chosen: where
    /// the prefix lies if that one is new to it. One that is leaving counts,
    /// since it held the prefix until now.
    fn other_holder(
        &self,
        pool: &PoolId,
        key: KeyHash,
        chosen: &Member,
        now_ms: u64,
    ) -> Option<SocketAddr> {
        let live = self.endpoints.live(pool);
        let parting = self.endpoints.parting(pool);
        let is_sound = |member: &&Member| {
            let health = self.health.get(&member.hash.short());
            member.hash != chosen.hash && !health.is_some_and(|health| health.is_suspect(now_ms))
        };
        let rank = |member: &&Member| score(key, member.hash, 1.0);
        let first = live
            .iter()
            .chain(parting.iter())
            .filter(is_sound)
            .max_by(|a, b| rank(a).total_cmp(&rank(b)))?;
        Some(first.endpoint.address)
    }

    fn candidate(&self, member: &Member, now_ms: u64) -> Candidate {
        let short = member.hash.short();
        let health = self.health.get(&short);
        Candidate {
            hash: member.hash,
            load: self.load.of(short),
            slots: member.endpoint.slots,
            is_near: member.endpoint.zone == self.zone,
            is_suspect: health.is_some_and(|health| health.is_suspect(now_ms)),
        }
    }

    /// What is known of an endpoint's health.
    pub(crate) fn health(&mut self, endpoint: u32) -> &mut EndpointHealth {
        self.health.entry(endpoint).or_default()
    }

    /// Takes what was seen of an endpoint. Returns whether it has just come
    /// under suspicion.
    pub(crate) fn see(&mut self, endpoint: u32, sign: Sign, now_ms: u64) -> bool {
        let health = self.health(endpoint);
        let was_suspect = health.is_suspect(now_ms);
        health.see(sign, now_ms);
        !was_suspect && health.is_suspect(now_ms)
    }

    /// The retry budget of a pool.
    pub(crate) fn budget(&mut self, pool: &PoolId) -> &mut WindowBudget {
        let rules = self.budget;
        let budgets = &mut self.budgets;
        if !budgets.contains_key(pool) {
            budgets.insert(pool.clone(), WindowBudget::new(rules));
        }
        budgets
            .get_mut(pool)
            .expect("the budget was inserted just now")
    }

    /// Takes the whole list of endpoints.
    pub(crate) fn replace(&mut self, list: Vec<Endpoint>, version: StoreVersion, now_ms: u64) {
        self.endpoints.replace(list, now_ms);
        self.endpoints_version = self.endpoints_version.max(version);
        self.forget_health();
    }

    /// Takes one entry of the list.
    pub(crate) fn upsert(&mut self, endpoint: Endpoint) {
        self.endpoints.upsert(endpoint);
    }

    /// Takes one entry away.
    pub(crate) fn remove(&mut self, name: &EndpointId, now_ms: u64) {
        self.endpoints.remove(name, now_ms);
        self.forget_health();
    }

    fn forget_health(&mut self) {
        let listed = self.endpoints.listed();
        let hashes: std::collections::HashSet<u32> = listed
            .iter()
            .map(|e| chalkrock_core::rendezvous::MemberHash::of(e.name.as_str()).short())
            .collect();
        self.health.retain(|endpoint, _| hashes.contains(endpoint));
    }
}
