//! What a host believes of endpoints and of the other hosts' requests.

mod builds;
mod closed;

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;

use chalkrock_core::rendezvous::{KeyHash, score};
use chalkrock_core::{Endpoint, PoolId, ZoneId};
use chalkrock_routing::{
    Backoffs, Basis, BudgetRules, BuildUse, Candidate, ColdEndpoints, EndpointHealth,
    EndpointTable, Evacuations, Evidence, FleetLoad, HealthSignal, MaxServiceTime,
    PlacementRequest, PoisonEvidence, PoolMember, PoolOccupancy, PoolRules, Repeatable, Rollouts,
    ServiceTimeEwma, Shares, SpreadRules, StoreVersion, WindowBudget, choose_endpoint,
};

use crate::config::GatewayConfig;
use crate::prefixes::Prefixes;
use crate::source::{EndpointChange, EndpointRow, ListedEndpoint};

/// Changes of the list that are kept to pass on at least.
const CHANGES_MIN: usize = 256;
/// The part of the list's length up to which changes are kept: more would be no less to
/// pass on than the list. With 256 of any list, a host that was 2 s behind while 50 of
/// 10,000 endpoints were replaced each second had to take all of it.
const CHANGES_PART: usize = 2;

/// Requests that a cold endpoint works on at once, if it bears so many a second
/// (0 for any number) and each stays so long.
fn slots_while_cold(sustained_per_s: f64, service_ms: f64) -> Option<u32> {
    const SECOND_MS: f64 = 1_000.0;
    (sustained_per_s > 0.0).then(|| (sustained_per_s * service_ms / SECOND_MS).ceil() as u32)
}

/// What a request wants of placement.
#[derive(Debug)]
pub(crate) struct EndpointQuery<'a> {
    pub(crate) pool: &'a PoolId,
    /// The parts of its prompt that it shares with others, in order.
    pub(crate) shared_parts: &'a [u32],
    /// Endpoints that had it already.
    pub(crate) tried: &'a [u32],
    pub(crate) repeatable: Repeatable,
    /// Whether it may be sent to another endpoint if this one turns it away.
    pub(crate) has_attempt_left: bool,
    /// Which builds it may go to, in the order in which they are tried.
    pub(crate) uses: &'a [BuildUse],
    pub(crate) draw: u64,
}

/// An endpoint that was chosen.
#[derive(Clone, Debug)]
pub(crate) struct SelectedEndpoint {
    pub(crate) member: PoolMember,
    /// Requests on it over the fleet, without this one.
    pub(crate) load: u32,
    /// Who else may hold the prefix in memory.
    pub(crate) holder: Option<SocketAddr>,
    /// Why it was chosen.
    pub(crate) basis: Basis,
    /// Whether it was seen to hold the prefix.
    pub(crate) holds_prefix: bool,
    /// Whether it was cold, and this host's share of what it bears allowed it.
    pub(crate) is_cold: bool,
    chosen_at_ms: u64,
}

/// The beliefs of one host.
#[derive(Debug)]
pub(crate) struct Fleet {
    pub(crate) endpoints: EndpointTable,
    /// The newest change of the list that is known.
    pub(crate) endpoints_version: StoreVersion,
    /// Whether the list of endpoints was ever taken whole.
    has_list: bool,
    /// How often the store had come back from a copy when this host last read it whole.
    pub(crate) store_era: Option<u64>,
    /// Until when entries are kept that lapsed while the store was away.
    lapsed_until_ms: Option<u64>,
    /// The last changes of the list, to pass on.
    changes: VecDeque<EndpointRow>,
    /// The version from which on `changes` holds each change.
    changes_since: StoreVersion,
    /// The zones that are evacuated.
    pub(crate) evacuations: Evacuations,
    /// Until when prefixes are copied from the endpoints of evacuated zones.
    copied_until_ms: HashMap<ZoneId, u64>,
    evacuation_copy_ms: u64,
    pub(crate) cold: ColdEndpoints,
    pub(crate) backoffs: Backoffs,
    /// Endpoints that were found to be cold and not logged yet.
    newly_cold: Vec<Endpoint>,
    /// Within how long an endpoint's entry tells what has become of it.
    entry_delay_ms: u64,
    /// What endpoints bear while they are cold.
    pools: HashMap<PoolId, PoolRules>,
    pub(crate) load: FleetLoad<SocketAddr>,
    zone: ZoneId,
    spread: SpreadRules,
    budget: BudgetRules,
    health: HashMap<u32, EndpointHealth>,
    budgets: HashMap<PoolId, WindowBudget>,
    service_times: HashMap<PoolId, ServiceTimeEwma>,
    /// By pool and route.
    longest_stays: HashMap<PoolId, HashMap<Arc<str>, MaxServiceTime>>,
    /// What organisations have in progress on this host.
    pub(crate) shares: Shares,
    pub(crate) prefixes: Prefixes,
    pub(crate) poison: PoisonEvidence,
    pub(crate) rollouts: Rollouts<SocketAddr>,
}

impl Fleet {
    pub(crate) fn new(config: &GatewayConfig) -> Self {
        Self {
            endpoints: EndpointTable::default(),
            endpoints_version: StoreVersion::default(),
            has_list: false,
            store_era: None,
            lapsed_until_ms: None,
            changes: VecDeque::new(),
            changes_since: StoreVersion::default(),
            evacuations: Evacuations::default(),
            copied_until_ms: HashMap::new(),
            evacuation_copy_ms: config.evacuation_copy_ms,
            cold: ColdEndpoints::new(config.cold_bound),
            backoffs: Backoffs::default(),
            newly_cold: Vec::new(),
            entry_delay_ms: config.entry_delay_ms,
            pools: HashMap::new(),
            load: FleetLoad::default(),
            zone: config.zone.clone(),
            spread: config.spread,
            budget: config.budget,
            health: HashMap::new(),
            budgets: HashMap::new(),
            service_times: HashMap::new(),
            longest_stays: HashMap::new(),
            shares: Shares::default(),
            prefixes: Prefixes::default(),
            poison: PoisonEvidence::default(),
            rollouts: Rollouts::new(config.exposure_bound),
        }
    }

    /// Takes bounds that were read again.
    pub(crate) fn set_bounds(&mut self, config: &GatewayConfig) {
        self.spread = config.spread;
        self.cold.set_bound(config.cold_bound);
        if self.budget != config.budget {
            self.budget = config.budget;
            self.budgets.clear();
        }
    }

    /// Chooses an endpoint of a pool.
    pub(crate) fn place(
        &self,
        wanted: &EndpointQuery<'_>,
        now_ms: u64,
    ) -> Option<SelectedEndpoint> {
        let mut uses = wanted.uses.iter();
        uses.find_map(|by| self.place_by(wanted, *by, now_ms))
    }

    fn place_by(
        &self,
        wanted: &EndpointQuery<'_>,
        by: BuildUse,
        now_ms: u64,
    ) -> Option<SelectedEndpoint> {
        let builds = self.open_builds(wanted.pool, by, now_ms);
        let members = self.endpoints.serving(wanted.pool);
        let deepest = wanted.shared_parts.last().copied();
        let key = deepest.map(|part| KeyHash(u64::from(part)));
        let untried: Vec<&PoolMember> = members
            .iter()
            .filter(|member| !wanted.tried.contains(&member.hash.short()))
            .collect();
        let holders: Vec<u32> = deepest
            .map(|part| self.prefixes.map().holders(part, now_ms).collect())
            .unwrap_or_default();
        let candidates: Vec<Candidate> = untried
            .iter()
            .map(|member| {
                let candidate = self.candidate(member, wanted, &holders, now_ms);
                Candidate {
                    is_closed: candidate.is_closed || !builds.admit(member),
                    ..candidate
                }
            })
            .collect();
        let request = PlacementRequest {
            key,
            unreported_arrivals: self.unreported_arrivals(wanted.pool, &members),
            draw: wanted.draw,
        };
        let placement = choose_endpoint(&candidates, &request, &self.spread)?;
        let candidate = &candidates[placement.index];
        let member = untried[placement.index].clone();
        let holder = self.other_holder(wanted, &member, now_ms);
        let is_cold = self.is_bounded(&member, now_ms);
        Some(SelectedEndpoint {
            load: candidate.load,
            member,
            holder,
            basis: placement.basis,
            holds_prefix: candidate.holds_prefix,
            is_cold,
            chosen_at_ms: now_ms,
        })
    }

    /// Requests that other hosts sent to a pool since they reported, in the
    /// mean: by Little's law they send what they have in progress there once
    /// in each mean stay.
    fn unreported_arrivals(&self, pool: &PoolId, members: &[PoolMember]) -> f64 {
        let service_ms = self.mean_service_ms(pool);
        if service_ms <= 0.0 {
            return 0.0;
        }
        let remote_in_progress =
            |member: &PoolMember| self.load.remote_in_progress(member.hash.short());
        let in_progress: u32 = members.iter().map(remote_in_progress).sum();
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
        wanted: &EndpointQuery<'_>,
        chosen: &PoolMember,
        now_ms: u64,
    ) -> Option<SocketAddr> {
        let live = self.endpoints.live(wanted.pool);
        let evacuated = self.copied_while_evacuated(wanted.pool, now_ms);
        let leaving_members = self.endpoints.leaving_members(wanted.pool);
        let address_of = |endpoint: u32| {
            let mut members = live.iter().chain(leaving_members.iter()).chain(&evacuated);
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
        let others = live.iter().chain(leaving_members.iter()).chain(&evacuated);
        let others = others.filter(|member| member.hash != chosen.hash);
        let first = others.max_by(|a, b| {
            let rank = |member: &PoolMember| score(deepest, member.hash, 1.0);
            rank(a).total_cmp(&rank(b))
        })?;
        address_of(first.hash.short())
    }

    /// An endpoint as a candidate; `holders` are those that hold the prefix.
    fn candidate(
        &self,
        member: &PoolMember,
        wanted: &EndpointQuery<'_>,
        holders: &[u32],
        now_ms: u64,
    ) -> Candidate {
        let short = member.hash.short();
        let stays_away = |health: &EndpointHealth| match wanted.repeatable {
            Repeatable::Yes => health.is_suspect(now_ms),
            Repeatable::No => health.is_suspect(now_ms) || health.is_on_probation(now_ms),
        };
        let is_suspect = self.health.get(&short).is_some_and(stays_away);
        let has_just_returned =
            self.backoffs
                .prefers_others(short, wanted.has_attempt_left, now_ms);
        // An endpoint that turns requests away has little in progress: it would be taken
        // for idle, and sent more than any other.
        let backs_off = self.backoffs.is_active(short, now_ms);
        Candidate {
            hash: member.hash,
            load: self.load.in_progress(short),
            slots: member.endpoint.slots,
            is_same_zone: member.endpoint.zone == self.zone,
            is_suspect: is_suspect || has_just_returned,
            holds_prefix: holders.contains(&short),
            is_closed: backs_off || member.is_evacuated || !self.may_send_if_cold(member, now_ms),
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

    /// How full a pool is, but for endpoints that are suspect or asked to be sent nothing:
    /// what is queued for their places would wait in vain.
    pub(crate) fn occupancy(&self, pool: &PoolId, now_ms: u64) -> PoolOccupancy {
        let members = self.endpoints.live(pool);
        let with_stable_builds = self.with_stable_builds(pool, &members, now_ms);
        let accepts_work = with_stable_builds.filter(|member| {
            let start = member.hash.short();
            !self.is_suspect(start, now_ms) && !self.backoffs.is_active(start, now_ms)
        });
        let service_ms = self.mean_service_ms(pool);
        let cold_slots = slots_while_cold(self.cold_per_s(pool), service_ms);
        let (slots, in_progress) =
            accepts_work.fold((0, 0), |(pool_slots, in_progress), member| {
                let short = member.hash.short();
                let slots = member.endpoint.slots;
                let cold_slots = cold_slots.filter(|_| self.is_bounded(member, now_ms));
                (
                    pool_slots + cold_slots.map_or(slots, |cold| slots.min(cold)),
                    self.load.in_progress(short).saturating_add(in_progress),
                )
            });
        PoolOccupancy {
            slots,
            in_progress,
            service_ms,
        }
    }

    /// How long the longest requests of a pool's routes stayed: what this host saw of
    /// late, and what others saw since the pool's rollout was ordered.
    pub(crate) fn max_service_times_ms(
        &self,
        pool: &PoolId,
        now_ms: u64,
    ) -> BTreeMap<Arc<str>, u64> {
        let told = self
            .rollouts
            .evidence(pool)
            .map(Evidence::max_service_times_ms);
        let mut stays_ms = told.cloned().unwrap_or_default();
        for (route, longest) in self.longest_stays.get(pool).into_iter().flatten() {
            let longest_ms = stays_ms.entry(route.clone()).or_default();
            *longest_ms = longest.ms(now_ms).max(*longest_ms);
        }
        stays_ms
    }

    /// A request of a route left an endpoint of a pool after so long.
    pub(crate) fn record_service_time(
        &mut self,
        pool: &PoolId,
        route: &Arc<str>,
        service_ms: u64,
        now_ms: u64,
    ) {
        let stay = self.service_times.entry(pool.clone()).or_default();
        stay.record(service_ms);
        let of_pool = self.longest_stays.entry(pool.clone()).or_default();
        let longest = of_pool.entry(route.clone()).or_default();
        longest.record(service_ms, now_ms);
    }

    /// Takes the whole list of endpoints, as of a version.
    pub(crate) fn replace(
        &mut self,
        list: Vec<ListedEndpoint>,
        version: StoreVersion,
        now_ms: u64,
    ) {
        for listed in &list {
            self.record_cold_report(listed, now_ms);
        }
        if self.has_list && version.era() > self.endpoints_version.era() {
            // The store came back from a copy, which lacks endpoints that entered the
            // list of late: they write themselves there again.
            self.store_recovered(now_ms, self.entry_delay_ms);
        }
        // A list that was read slowly may be older than what other hosts passed on.
        let is_older = version < self.endpoints_version;
        let endpoints = list.into_iter().map(|listed| {
            if is_older {
                self.endpoints.later_start(listed.endpoint)
            } else {
                listed.endpoint
            }
        });
        let endpoints = endpoints.collect();
        self.endpoints.replace(endpoints, now_ms);
        self.endpoints_version = self.endpoints_version.max(version);
        self.has_list = true;
        self.changes.clear();
        self.changes_since = self.endpoints_version;
        self.note_builds(now_ms);
        self.forget_health();
    }

    /// Takes changes of the list, oldest first. One that is known already
    /// changes nothing. Returns whether any was news.
    pub(crate) fn apply_changes(&mut self, rows: Vec<EndpointRow>, now_ms: u64) -> bool {
        let mut is_news = false;
        for row in rows {
            if row.version <= self.endpoints_version {
                continue;
            }
            is_news = true;
            self.endpoints_version = row.version;
            match &row.change {
                EndpointChange::Listed(listed) => {
                    self.record_cold_report(listed, now_ms);
                    let endpoint = &listed.endpoint;
                    let builds = [&endpoint.build];
                    self.rollouts
                        .record_listed_builds(&endpoint.pool, builds, now_ms);
                    self.endpoints.upsert(endpoint.clone());
                }
                EndpointChange::Gone(name) => self.endpoints.remove(name, now_ms),
                EndpointChange::Unreadable(name) => self.endpoints.discard(name, now_ms),
            }
            self.changes.push_back(row);
        }
        let most = if self.changes.len() > CHANGES_MIN {
            (self.endpoints.listed_count() / CHANGES_PART).max(CHANGES_MIN)
        } else {
            CHANGES_MIN
        };
        while self.changes.len() > most {
            if let Some(oldest) = self.changes.pop_front() {
                self.changes_since = oldest.version;
            }
        }
        if is_news {
            self.forget_health();
        }
        is_news
    }

    /// The endpoints that are listed, to pass on.
    pub(crate) fn listed(&self, now_ms: u64) -> Vec<ListedEndpoint> {
        let listed = self.endpoints.listed().map(|member| ListedEndpoint {
            endpoint: (*member.endpoint).clone(),
            cold_left_ms: self.cold.remaining_ms(member.hash.short(), now_ms),
        });
        listed.collect()
    }

    /// The changes since a version, to pass on; `None` if they are not all
    /// known.
    pub(crate) fn changes_after(
        &self,
        version: StoreVersion,
        now_ms: u64,
    ) -> Option<Vec<EndpointRow>> {
        if version < self.changes_since {
            return None;
        }
        let after = self.changes.iter().filter(|row| row.version > version);
        Some(after.map(|row| self.aged(row, now_ms)).collect())
    }

    /// A change as it stands now: its endpoint is cold for as much less.
    fn aged(&self, row: &EndpointRow, now_ms: u64) -> EndpointRow {
        let mut row = row.clone();
        if let EndpointChange::Listed(listed) = &mut row.change {
            let short = listed.endpoint.start_hash().short();
            listed.cold_left_ms = self.cold.remaining_ms(short, now_ms);
        }
        row
    }

    /// The store is back: entries that lapsed meanwhile are kept for a while.
    pub(crate) fn store_recovered(&mut self, now_ms: u64, grace_ms: u64) {
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
