//! What a host believes of endpoints and of the other hosts' requests.

use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;

use chalkrock_core::rendezvous::{KeyHash, score};
use chalkrock_core::{Endpoint, PoolId, ZoneId};
use chalkrock_routing::{
    Basis, BudgetRules, Candidate, EndpointHealth, EndpointTable, FleetLoad, HealthSignal, Member,
    PlacementRequest, PoolOccupancy, Repeatable, ServiceTimeEwma, Shares, SpreadRules,
    WindowBudget, choose,
};

use crate::prefixes::Prefixes;
use crate::source::{EndpointChange, EndpointRow, StoreVersion};

/// Changes of the list that are kept to pass on.
const CHANGES_MAX: usize = 256;

/// What a request wants of placement.
#[derive(Debug)]
pub(crate) struct Wanted<'a> {
    pub(crate) pool: &'a PoolId,
    /// The parts of its prompt that it shares with others, in order.
    pub(crate) shared_parts: &'a [u32],
    /// Endpoints that had it already.
    pub(crate) tried: &'a [u32],
    pub(crate) repeatable: Repeatable,
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
    /// Why it was chosen.
    pub(crate) basis: Basis,
    /// Whether it was seen to hold the prefix.
    pub(crate) holds_prefix: bool,
}

/// The beliefs of one host.
#[derive(Debug)]
pub(crate) struct Fleet {
    pub(crate) endpoints: EndpointTable,
    /// The newest change of the list that is known.
    pub(crate) endpoints_version: StoreVersion,
    /// Until when entries are kept that lapsed while the store was away.
    lapsed_until_ms: Option<u64>,
    /// The last changes of the list, to pass on.
    changes: VecDeque<EndpointRow>,
    /// The version from which on `changes` holds each change.
    changes_since: StoreVersion,
    pub(crate) load: FleetLoad<SocketAddr>,
    zone: ZoneId,
    spread: SpreadRules,
    budget: BudgetRules,
    health: HashMap<u32, EndpointHealth>,
    budgets: HashMap<PoolId, WindowBudget>,
    service_times: HashMap<PoolId, ServiceTimeEwma>,
    /// What organisations have in progress on this host.
    pub(crate) shares: Shares,
    pub(crate) prefixes: Prefixes,
}

impl Fleet {
    pub(crate) fn new(zone: ZoneId, spread: SpreadRules, budget: BudgetRules) -> Self {
        Self {
            endpoints: EndpointTable::default(),
            endpoints_version: StoreVersion::default(),
            lapsed_until_ms: None,
            changes: VecDeque::new(),
            changes_since: StoreVersion::default(),
            load: FleetLoad::default(),
            zone,
            spread,
            budget,
            health: HashMap::new(),
            budgets: HashMap::new(),
            service_times: HashMap::new(),
            shares: Shares::default(),
            prefixes: Prefixes::default(),
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
        let deepest = wanted.shared_parts.last().copied();
        let key = deepest.map(|part| KeyHash(u64::from(part)));
        let untried: Vec<&Member> = members
            .iter()
            .filter(|member| !wanted.tried.contains(&member.hash.short()))
            .collect();
        let holders: Vec<u32> = deepest
            .map(|part| self.prefixes.map().holders(part, now_ms).collect())
            .unwrap_or_default();
        let candidates: Vec<Candidate> = untried
            .iter()
            .map(|member| self.candidate(member, wanted.repeatable, &holders, now_ms))
            .collect();
        let request = PlacementRequest {
            key,
            unseen_arrivals: self.unseen_arrivals(wanted.pool, &members),
            draw: wanted.draw,
        };
        let placement = choose(&candidates, &request, &self.spread)?;
        let candidate = &candidates[placement.index];
        let member = untried[placement.index].clone();
        let holder = self.other_holder(wanted, &member, now_ms);
        Some(Choice {
            load: candidate.load,
            member,
            holder,
            basis: placement.basis,
            holds_prefix: candidate.holds_prefix,
        })
    }

    /// Requests that other hosts sent to a pool since they reported, in the
    /// mean: by Little's law they send what they have in progress there once
    /// in each mean stay.
    fn unseen_arrivals(&self, pool: &PoolId, members: &[Member]) -> f64 {
        let service_ms = self.mean_service_ms(pool);
        if service_ms <= 0.0 {
            return 0.0;
        }
        let of_others = |member: &Member| self.load.of_others(member.hash.short());
        let in_progress: u32 = members.iter().map(of_others).sum();
        f64::from(in_progress) * self.load.report_age_ms() / service_ms
    }

    fn mean_service_ms(&self, pool: &PoolId) -> f64 {
        let stay = self.service_times.get(pool);
        stay.map_or(0.0, ServiceTimeEwma::ms)
    }

    /// Who else holds the prompt's prefix, or most of it: the endpoint may copy
    /// it from there. One that is leaving counts, until it goes.
    fn other_holder(
        &self,
        wanted: &Wanted<'_>,
        chosen: &Member,
        now_ms: u64,
    ) -> Option<SocketAddr> {
        let live = self.endpoints.live(wanted.pool);
        let parting = self.endpoints.parting(wanted.pool);
        let address_of = |endpoint: u32| {
            let mut members = live.iter().chain(parting.iter());
            let member = members.find(|member| member.hash.short() == endpoint)?;
            let is_sound = !self.is_suspect(endpoint, now_ms);
            is_sound.then_some(member.endpoint.address)
        };
        for &part in wanted.shared_parts.iter().rev() {
            if self.prefixes.map().holds(part, chosen.hash.short(), now_ms) {
                return None;
            }
            let mut holders = self.prefixes.map().holders(part, now_ms);
            if let Some(address) = holders.find_map(address_of) {
                return Some(address);
            }
        }
        // Nothing is known, as after a start: the prefix lies where it would
        // have gone without the endpoint that was chosen.
        let deepest = KeyHash(u64::from(*wanted.shared_parts.last()?));
        let others = live.iter().chain(parting.iter());
        let others = others.filter(|member| member.hash != chosen.hash);
        let first = others.max_by(|a, b| {
            let rank = |member: &Member| score(deepest, member.hash, 1.0);
            rank(a).total_cmp(&rank(b))
        })?;
        address_of(first.hash.short())
    }

    /// An endpoint as a candidate; `holders` are those that hold the prefix.
    fn candidate(
        &self,
        member: &Member,
        repeatable: Repeatable,
        holders: &[u32],
        now_ms: u64,
    ) -> Candidate {
        let short = member.hash.short();
        let stays_away = |health: &EndpointHealth| match repeatable {
            Repeatable::Yes => health.is_suspect(now_ms),
            Repeatable::No => health.is_suspect(now_ms) || health.is_doubtful(now_ms),
        };
        Candidate {
            hash: member.hash,
            load: self.load.of(short),
            slots: member.endpoint.slots,
            is_near: member.endpoint.zone == self.zone,
            is_suspect: self.health.get(&short).is_some_and(stays_away),
            holds_prefix: holders.contains(&short),
        }
    }

    fn is_suspect(&self, endpoint: u32, now_ms: u64) -> bool {
        let health = self.health.get(&endpoint);
        health.is_some_and(|health| health.is_suspect(now_ms))
    }

    /// What is known of an endpoint's health.
    pub(crate) fn health(&mut self, endpoint: u32) -> &mut EndpointHealth {
        self.health.entry(endpoint).or_default()
    }

    /// Takes what was seen of an endpoint. Returns whether it has just come
    /// under suspicion.
    pub(crate) fn record_signal(
        &mut self,
        endpoint: u32,
        signal: HealthSignal,
        now_ms: u64,
    ) -> bool {
        let health = self.health(endpoint);
        let was_suspect = health.is_suspect(now_ms);
        health.record(signal, now_ms);
        !was_suspect && health.is_suspect(now_ms)
    }

    /// The retry budget of a pool.
    pub(crate) fn budget(&mut self, pool: &PoolId) -> &mut WindowBudget {
        let rules = self.budget;
        let budget = self.budgets.entry(pool.clone());
        budget.or_insert_with(|| WindowBudget::new(rules))
    }

    /// How full a pool is, but for endpoints that are suspect.
    pub(crate) fn occupancy(&self, pool: &PoolId, now_ms: u64) -> PoolOccupancy {
        let members = self.endpoints.live(pool);
        let takes_work = members
            .iter()
            .filter(|member| !self.is_suspect(member.hash.short(), now_ms));
        let (places, in_progress) = takes_work.fold((0, 0), |(places, in_progress), member| {
            let load = self.load.of(member.hash.short());
            (
                places + member.endpoint.slots,
                load.saturating_add(in_progress),
            )
        });
        PoolOccupancy {
            places,
            in_progress,
            service_ms: self.mean_service_ms(pool),
        }
    }

    /// A request left an endpoint of a pool after so long.
    pub(crate) fn record_service_time(&mut self, pool: &PoolId, stayed_ms: u64) {
        let stay = self.service_times.entry(pool.clone()).or_default();
        stay.record(stayed_ms);
    }

    /// Takes the whole list of endpoints, as of a version.
    pub(crate) fn replace(&mut self, list: Vec<Endpoint>, version: StoreVersion, now_ms: u64) {
        self.endpoints.replace(list, now_ms);
        self.endpoints_version = self.endpoints_version.max(version);
        self.changes.clear();
        self.changes_since = self.endpoints_version;
        self.forget_health();
    }

    /// Takes changes of the list, oldest first. One that is known already
    /// changes nothing. Returns whether any was news.
    pub(crate) fn take_changes(&mut self, rows: Vec<EndpointRow>, now_ms: u64) -> bool {
        let mut is_news = false;
        for row in rows {
            if row.version <= self.endpoints_version {
                continue;
            }
            is_news = true;
            self.endpoints_version = row.version;
            match &row.change {
                EndpointChange::Listed(endpoint) => self.endpoints.upsert(endpoint.clone()),
                EndpointChange::Gone(name) => self.endpoints.remove(name, now_ms),
            }
            self.changes.push_back(row);
        }
        while self.changes.len() > CHANGES_MAX {
            if let Some(oldest) = self.changes.pop_front() {
                self.changes_since = oldest.version;
            }
        }
        if is_news {
            self.forget_health();
        }
        is_news
    }

    /// The changes since a version; `None` if they are not all known.
    pub(crate) fn changes_after(&self, version: StoreVersion) -> Option<Vec<EndpointRow>> {
        if version < self.changes_since {
            return None;
        }
        let after = self.changes.iter().filter(|row| row.version > version);
        Some(after.cloned().collect())
    }

    /// The store is back: entries that lapsed meanwhile are kept for a while.
    pub(crate) fn store_is_back(&mut self, now_ms: u64, grace_ms: u64) {
        self.endpoints.keep_lapsed(true);
        self.lapsed_until_ms = Some(now_ms + grace_ms);
    }

    /// Drops the endpoints whose entries lapsed and did not come back in time.
    pub(crate) fn expire_lapsed(&mut self, now_ms: u64) {
        if self
            .lapsed_until_ms
            .is_some_and(|until_ms| now_ms >= until_ms)
        {
            self.lapsed_until_ms = None;
            self.endpoints.keep_lapsed(false);
        }
    }

    fn forget_health(&mut self) {
        let listed = self.endpoints.listed_hashes();
        self.health.retain(|endpoint, _| listed.contains(endpoint));
    }
}
