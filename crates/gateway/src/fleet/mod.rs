//! This host's view of endpoints, fleet load and prefix locations.

mod builds;
mod closed;
mod crash_signs;
mod learned;
mod list;
mod reachability;
mod rejection_limits;
mod scheduling;

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;

use chalkrock_core::rendezvous::{KeyHash, score};
use chalkrock_core::{BuildVersion, Endpoint, PoolId, ZoneId};
use chalkrock_routing::{
    Backoffs, Basis, BudgetPhases, BudgetRules, BuildHistory, BuildUse, Candidate, ColdEndpoints,
    ConnectionLimits, EndpointHealth, EndpointTable, Evacuations, Evidence, FleetLoad, FleetSize,
    HealthSignal, HomeDemand, HomeSpread, ListSource, MaxServiceTime, PlacementRequest,
    PoisonEvidence, PoolBacklog, PoolLoads, PoolMember, PoolOccupancy, PoolRules, Reachability,
    RecentPrefixes, RejectionLimits, Repeatable, Rollouts, ServiceTimeEwma, Shares, SpreadRules,
    StoreVersion, WindowBudget, choose_endpoint, connections_per_host,
};

pub(crate) use self::list::WholeRead;
pub(crate) use self::reachability::PoolReach;
use crate::config::GatewayConfig;
use crate::fair_share::Usage;
use crate::prefixes::Prefixes;
use crate::source::EndpointRow;
use crate::work::{Backlogs, EndpointWork, Prompt, Work, WorkView};

/// Concurrent requests that saturate a cold endpoint; `None` if its rate is not limited.
fn slots_while_cold(sustained_per_s: f64, service_ms: f64) -> Option<u32> {
    const SECOND_MS: f64 = 1_000.0;
    (sustained_per_s > 0.0).then(|| (sustained_per_s * service_ms / SECOND_MS).ceil() as u32)
}

/// Placement criteria of a request.
#[derive(Debug)]
pub(crate) struct EndpointQuery<'a> {
    pub(crate) pool: &'a PoolId,
    /// Hashes of its shared prompt prefixes, shortest first.
    pub(crate) shared_parts: &'a [u32],
    /// What the endpoint has to read, if the request says so.
    pub(crate) prompt: Option<Prompt<'a>>,
    /// Short hashes of endpoints that already received it.
    pub(crate) tried: &'a [u32],
    pub(crate) repeatable: Repeatable,
    /// Whether another attempt remains if the endpoint rejects this one.
    pub(crate) has_attempt_left: bool,
    /// Build choices, in order of preference.
    pub(crate) uses: &'a [BuildUse],
    /// The only build that may serve it, if it continues a stream.
    pub(crate) build: Option<&'a BuildVersion>,
    /// Whether it begins a stream that its caller may take up.
    pub(crate) begins_resumable: bool,
    pub(crate) draw: u64,
}

/// The endpoint selected for a request.
#[derive(Clone, Debug)]
pub(crate) struct SelectedEndpoint {
    pub(crate) member: PoolMember,
    /// Requests in progress on it across the fleet, excluding this one.
    pub(crate) load: u32,
    /// Another endpoint from which it may copy the prefix.
    pub(crate) holder: Option<SocketAddr>,
    pub(crate) basis: Basis,
    /// Whether it is known to hold the prefix.
    pub(crate) holds_prefix: bool,
    /// Whether it is cold and the request counts against this host's share of its rate.
    pub(crate) is_cold: bool,
    /// Its expected work, if the request says what there is to read.
    pub(crate) work: Option<EndpointWork>,
    selected_at_ms: u64,
}

/// The fleet as one host knows it.
#[derive(Debug)]
pub(crate) struct Fleet {
    pub(crate) endpoints: EndpointTable,
    /// Latest known version of the endpoint list.
    pub(crate) endpoints_version: StoreVersion,
    /// Where the list came from.
    list_source: ListSource,
    /// Whether the list is that of a whole read of the store and of changes after it.
    is_from_store: bool,
    /// Version up to which the store has answered this host, for a list from the store. It is
    /// later than the version of the list if no entry has changed since.
    complete_to: StoreVersion,
    /// Digest of the list, and the revision of which it is.
    list_digest: Option<(u64, u64)>,
    /// Digest of all that the list states, and the revision of which it is.
    content_digest: Option<(u64, u64)>,
    /// Whether a full list was ever applied.
    has_full_list: bool,
    /// Store era of the last full read.
    pub(crate) store_era: Option<u64>,
    /// When endpoints whose entries lapsed during a store outage are dropped.
    lapsed_until_ms: Option<u64>,
    /// Recent list changes, for other hosts.
    changes: VecDeque<EndpointRow>,
    /// `changes` holds every change after this version.
    changes_since: StoreVersion,
    /// Between these versions `changes` holds only what a whole read shows: it lacks endpoints
    /// that were both listed and removed there.
    unseen: (StoreVersion, StoreVersion),
    pub(crate) evacuations: Evacuations,
    /// When prefixes stop being copied from each evacuated zone.
    copy_prefixes_until_ms: HashMap<ZoneId, u64>,
    evacuation_copy_ms: u64,
    pub(crate) cold: ColdEndpoints,
    pub(crate) backoffs: Backoffs,
    /// Endpoints newly found cold and not yet logged.
    newly_cold: Vec<Endpoint>,
    /// Maximum delay until an endpoint's entry reflects its state.
    entry_delay_ms: u64,
    /// Pool settings, with the rates that cold endpoints sustain.
    pools: HashMap<PoolId, PoolRules>,
    /// Connections that an endpoint accepts from all hosts, by pool.
    connection_limits: ConnectionLimits,
    pub(crate) load: FleetLoad<SocketAddr>,
    zone: ZoneId,
    spread: SpreadRules,
    budget: BudgetRules,
    /// The fractions with which budgets begin, unless drawn.
    budget_phases: Option<BudgetPhases>,
    health: HashMap<u32, EndpointHealth>,
    /// Which endpoints the other hosts reach.
    pub(crate) reachability: Reachability<SocketAddr>,
    /// Endpoints that tolerate few rejections.
    pub(crate) rejection_limits: RejectionLimits,
    /// Slots that belong to this host at such endpoints, by the hash of their start.
    own_slots: HashMap<u32, u32>,
    budgets: HashMap<PoolId, WindowBudget>,
    /// The hosts that share the slack of the retry budget.
    pub(crate) size: FleetSize,
    /// Their number when a retry was last to be paid.
    paid_sharers: Option<usize>,
    service_times: HashMap<PoolId, ServiceTimeEwma>,
    /// Endpoints whose prefixes spread over others, by pool.
    home_demand: HashMap<PoolId, HomeDemand>,
    /// Prefixes of this host's latest requests.
    pub(crate) recent_prefixes: RecentPrefixes,
    /// By pool and route.
    max_service_times: HashMap<PoolId, HashMap<Arc<str>, MaxServiceTime>>,
    /// Requests in progress on this host by organisation.
    pub(crate) shares: Shares,
    /// Use of pools by organisation, over the fleet.
    pub(crate) usage: Usage,
    pub(crate) prefixes: Prefixes,
    pub(crate) poison: PoisonEvidence,
    pub(crate) rollouts: Rollouts<SocketAddr>,
    /// Builds that pools had.
    pub(crate) build_history: BuildHistory,
    /// Work in hand at endpoints that read prompts.
    pub(crate) work: Work,
    /// Overruns of pools whose requests say what there is to read.
    pub(crate) backlogs: Backlogs,
}

impl Fleet {
    pub(crate) fn new(config: &GatewayConfig) -> Self {
        Self {
            endpoints: EndpointTable::default(),
            endpoints_version: StoreVersion::default(),
            list_source: ListSource::Peer,
            is_from_store: false,
            complete_to: StoreVersion::default(),
            list_digest: None,
            content_digest: None,
            has_full_list: false,
            store_era: None,
            lapsed_until_ms: None,
            changes: VecDeque::new(),
            changes_since: StoreVersion::default(),
            unseen: (StoreVersion::default(), StoreVersion::default()),
            evacuations: Evacuations::default(),
            copy_prefixes_until_ms: HashMap::new(),
            evacuation_copy_ms: config.evacuation_copy_ms,
            cold: ColdEndpoints::new(config.cold_bound),
            backoffs: Backoffs::default(),
            newly_cold: Vec::new(),
            entry_delay_ms: config.entry_delay_ms,
            pools: HashMap::new(),
            connection_limits: ConnectionLimits::default(),
            load: FleetLoad::default(),
            zone: config.zone.clone(),
            spread: config.spread,
            budget: config.budget,
            budget_phases: config.budget_phases,
            health: HashMap::new(),
            reachability: Reachability::default(),
            rejection_limits: RejectionLimits::default(),
            own_slots: HashMap::new(),
            budgets: HashMap::new(),
            size: FleetSize::default(),
            paid_sharers: None,
            service_times: HashMap::new(),
            home_demand: HashMap::new(),
            recent_prefixes: RecentPrefixes::default(),
            max_service_times: HashMap::new(),
            shares: Shares::default(),
            usage: Usage::default(),
            prefixes: Prefixes::default(),
            poison: PoisonEvidence::default(),
            rollouts: Rollouts::new(config.exposure_bound),
            build_history: BuildHistory::new(config.follow.bound_ms),
            work: Work::default(),
            backlogs: Backlogs::default(),
        }
    }

    /// Applies reloaded limits.
    pub(crate) fn set_bounds(&mut self, config: &GatewayConfig, now_ms: u64) {
        self.spread = config.spread;
        self.cold.set_bound(config.cold_bound);
        if self.budget != config.budget {
            self.budget = config.budget;
            for budget in self.budgets.values_mut() {
                budget.set_rules(config.budget, now_ms);
            }
        }
    }

    /// Selects an endpoint of a pool.
    pub(crate) fn place(&self, query: &EndpointQuery<'_>, now_ms: u64) -> Option<SelectedEndpoint> {
        let mut uses = query.uses.iter();
        uses.find_map(|build_use| self.place_by(query, *build_use, now_ms))
    }

    fn place_by(
        &self,
        query: &EndpointQuery<'_>,
        build_use: BuildUse,
        now_ms: u64,
    ) -> Option<SelectedEndpoint> {
        let builds = self.eligible_builds(query, build_use, now_ms);
        let members = self.endpoints.serving(query.pool);
        let deepest = query.shared_parts.last().copied();
        let key = deepest.map(|part| KeyHash(u64::from(part)));
        let untried: Vec<&PoolMember> = members
            .iter()
            .filter(|member| !query.tried.contains(&member.hash.short()))
            .collect();
        let holders: Vec<u32> = deepest
            .map(|part| self.prefixes.directory().holders(part, now_ms).collect())
            .unwrap_or_default();
        let is_popular = deepest.is_some_and(|part| {
            let recent = &self.recent_prefixes;
            recent.is_popular(part, holders.len(), now_ms)
        });
        let home_demand = self.home_demand.get(query.pool).filter(|_| is_popular);
        let unreported_arrivals = self.unreported_arrivals(query.pool, &members);
        let unreported_per_endpoint = unreported_arrivals / members.len().max(1) as f64;
        let candidates: Vec<Candidate> = untried
            .iter()
            .map(|member| {
                let candidate = self.candidate(member, query, &holders, now_ms);
                Candidate {
                    is_closed: candidate.is_closed
                        || !builds.admit(member)
                        || !self.is_within_rejection_limit(
                            &candidate,
                            unreported_per_endpoint,
                            now_ms,
                        ),
                    home_spread: home_demand.map_or(HomeSpread::NONE, |demand| {
                        demand.spread(member.hash.short())
                    }),
                    ..candidate
                }
            })
            .collect();
        let request = PlacementRequest {
            key,
            unreported_arrivals,
            draw: query.draw,
        };
        let placement = choose_endpoint(&candidates, &request, &self.spread)?;
        let work = query.prompt.map(|prompt| {
            let view = WorkView {
                pool: query.pool,
                prompt,
                shared_parts: query.shared_parts,
                directory: self.prefixes.directory(),
                service_ms: self.mean_service_ms(query.pool),
                spread: &self.spread,
                is_overrun: self.backlogs.is_overrun(query.pool, now_ms),
                key,
                draw: query.draw,
                now_ms,
            };
            self.work.place(&view, placement, &candidates)
        });
        let index = work.map_or(placement.index, |work| work.index);
        let candidate = &candidates[index];
        let member = untried[index].clone();
        let holder = self.find_prefix_holder(query, &member, now_ms);
        let is_cold = self.is_bounded(&member, now_ms);
        Some(SelectedEndpoint {
            load: candidate.load,
            member,
            holder,
            basis: placement.basis,
            holds_prefix: candidate.holds_prefix,
            is_cold,
            work,
            selected_at_ms: now_ms,
        })
    }

    pub(crate) fn connection_limits(&self) -> &ConnectionLimits {
        &self.connection_limits
    }

    /// Replaces the connection limits unless they are of newer rules.
    pub(crate) fn merge_connection_limits(&mut self, limits: ConnectionLimits) {
        if limits.rules >= self.connection_limits.rules {
            self.connection_limits = limits;
        }
    }

    /// Most connections of this host to an endpoint of a pool; `None` without a limit.
    pub(crate) fn max_connections(&self, pool: &PoolId) -> Option<u32> {
        let limits = &mut self.connection_limits.limits.iter();
        let limit = limits.find(|limit| limit.pool == *pool)?;
        let hosts = self.load.known_host_count();
        Some(connections_per_host(limit.max_connections, hosts))
    }

    /// Updates the demand for the endpoints of a pool as homes, if that is due.
    pub(crate) fn update_home_demand(&mut self, pool: &PoolId, now_ms: u64) {
        let is_due = self.home_demand.get(pool);
        if !is_due.is_none_or(|demand| demand.is_due(now_ms)) {
            return;
        }
        let members = self.endpoints.serving(pool);
        let hashes = members.iter().map(|member| member.hash.short());
        let by_endpoint: Vec<(u32, u32)> = hashes
            .map(|endpoint| (endpoint, self.load.in_progress(endpoint)))
            .collect();
        let loads = PoolLoads {
            by_endpoint: &by_endpoint,
            age_ms: self.load.report_age_ms(),
            service_ms: self.mean_service_ms(pool),
        };
        let demand = self.home_demand.entry(pool.clone()).or_default();
        demand.update(&loads, &self.spread, now_ms);
    }

    /// Expected arrivals at a pool from other hosts since their last reports, by Little's
    /// law: in-progress requests over the mean service time.
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

    /// The wait that a request to a pool has to expect for the prompts in hand, at the
    /// median of the endpoints that accept requests.
    fn expected_wait_ms(&self, pool: &PoolId, now_ms: u64) -> f64 {
        let members = self.endpoints.live(pool);
        let starts = members.iter().map(|member| member.hash.short());
        let accepting = starts.filter(|start| {
            !self.is_avoided(*start, now_ms) && !self.backoffs.is_active(*start, now_ms)
        });
        self.work.expected_wait_ms(pool, accepting, now_ms)
    }

    /// The pools with settings and their expected waits.
    pub(crate) fn expected_waits_ms(&self, now_ms: u64) -> Vec<(PoolId, f64)> {
        let pools = self.pools.keys();
        let waits = pools.map(|pool| (pool.clone(), self.expected_wait_ms(pool, now_ms)));
        waits.collect()
    }

    fn mean_service_ms(&self, pool: &PoolId) -> f64 {
        let mean = self.service_times.get(pool);
        mean.map_or(0.0, ServiceTimeEwma::ms)
    }

    /// Finds another holder of the longest known prefix; endpoints that are leaving count.
    fn find_prefix_holder(
        &self,
        query: &EndpointQuery<'_>,
        chosen: &PoolMember,
        now_ms: u64,
    ) -> Option<SocketAddr> {
        let live = self.endpoints.live(query.pool);
        let evacuated = self.evacuated_copy_sources(query.pool, now_ms);
        let leaving = self.endpoints.leaving_members(query.pool);
        let find_address = |endpoint: u32| {
            let mut members = live.iter().chain(leaving.iter()).chain(&evacuated);
            let member = members.find(|member| member.hash.short() == endpoint)?;
            let is_sound = !self.is_avoided(endpoint, now_ms);
            is_sound.then_some(member.endpoint.address)
        };
        for &part in query.shared_parts.iter().rev() {
            if self
                .prefixes
                .directory()
                .holds(part, chosen.hash.short(), now_ms)
            {
                return None;
            }
            let mut holders = self.prefixes.directory().holders(part, now_ms);
            if let Some(address) = holders.find_map(find_address) {
                return Some(address);
            }
        }
        // No holder is known, as after a restart: use the endpoint that ranks first for the
        // prefix without the chosen one.
        let deepest = KeyHash(u64::from(*query.shared_parts.last()?));
        let others = live.iter().chain(leaving.iter()).chain(&evacuated);
        let others = others.filter(|member| member.hash != chosen.hash);
        let first = others.max_by(|a, b| {
            let rank = |member: &PoolMember| score(deepest, member.hash, 1.0);
            rank(a).total_cmp(&rank(b))
        })?;
        find_address(first.hash.short())
    }

    /// Builds a placement candidate; `holders` are the endpoints that hold the prefix.
    fn candidate(
        &self,
        member: &PoolMember,
        query: &EndpointQuery<'_>,
        holders: &[u32],
        now_ms: u64,
    ) -> Candidate {
        let short = member.hash.short();
        let is_suspect = |health: &EndpointHealth| match query.repeatable {
            Repeatable::Yes => health.is_suspect(now_ms),
            Repeatable::No => health.is_suspect(now_ms) || health.is_on_probation(now_ms),
        };
        let health = self.health.get(&short);
        // Requests for it are forwarded through a host that reaches it.
        let is_reached_by_others = self.is_only_reached_by_others(short, now_ms);
        let is_suspect = !is_reached_by_others && health.is_some_and(is_suspect);
        let is_unresponsive =
            !is_reached_by_others && health.is_some_and(|health| health.is_unresponsive(now_ms));
        let has_just_returned = self
            .backoffs
            .prefers_others(short, query.has_attempt_left, now_ms);
        // An endpoint that rejects requests has low load and would otherwise attract more
        // of them.
        let backs_off = self.backoffs.is_active(short, now_ms);
        let is_other_build = query
            .build
            .is_some_and(|build| *build != member.endpoint.build);
        Candidate {
            hash: member.hash,
            load: self.load.in_progress(short),
            slots: member.endpoint.slots,
            is_same_zone: member.endpoint.zone == self.zone,
            is_suspect: is_suspect || has_just_returned,
            holds_prefix: holders.contains(&short),
            is_closed: backs_off
                || is_other_build
                || member.is_evacuated
                || is_unresponsive
                || !self.may_send_if_cold(member, now_ms),
            home_spread: HomeSpread::NONE,
        }
    }

    /// Whether new work avoids the endpoint: it is suspect, and no other host is known to
    /// reach it.
    fn is_avoided(&self, endpoint: u32, now_ms: u64) -> bool {
        let health = self.health.get(&endpoint);
        health.is_some_and(|health| health.is_suspect(now_ms))
            && !self.is_only_reached_by_others(endpoint, now_ms)
    }

    /// The health record of an endpoint, created on first use.
    pub(crate) fn health(&mut self, endpoint: u32) -> &mut EndpointHealth {
        self.health.entry(endpoint).or_default()
    }

    /// Records that bytes of an answer arrived from an endpoint.
    pub(crate) fn record_received(&mut self, endpoint: u32, now_ms: u64) {
        self.health(endpoint).record_received(now_ms);
        self.poison.record_alive(endpoint, now_ms);
    }

    /// Records a health signal. Returns whether the endpoint has just become suspect.
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

    pub(crate) fn budget(&mut self, pool: &PoolId) -> &mut WindowBudget {
        let rules = self.budget;
        let budget = self.budgets.entry(pool.clone());
        let phases = self.budget_phases;
        budget.or_insert_with(|| {
            let phases = phases.unwrap_or_else(|| BudgetPhases {
                credit: rand::random(),
                stock: rand::random(),
                slack: rand::random(),
            });
            WindowBudget::with_phases(rules, phases)
        })
    }

    /// Records the number of hosts that share the slack when a retry is to be paid, and returns
    /// the one before.
    pub(crate) fn replace_paid_sharers(&mut self, sharers: Option<usize>) -> Option<usize> {
        std::mem::replace(&mut self.paid_sharers, sharers)
    }

    /// Records the hosts that this one has heard and those that it knows, itself included.
    pub(crate) fn record_hosts(&mut self, heard: usize, known: usize, now_ms: u64) {
        let heard = heard.max(1 + self.load.recent_host_count(now_ms));
        let window_ms = self.budget.window_ms;
        self.size.record(heard, known.max(heard), window_ms, now_ms);
    }

    /// Occupancy of a pool without endpoints that are suspect or back off: requests queued
    /// for their slots would not be served.
    pub(crate) fn occupancy(&self, pool: &PoolId, now_ms: u64) -> PoolOccupancy {
        let members = self.endpoints.live(pool);
        let stable_members = self.with_stable_builds(pool, &members, now_ms);
        let accepting = stable_members.filter(|member| {
            let start = member.hash.short();
            !self.is_avoided(start, now_ms) && !self.backoffs.is_active(start, now_ms)
        });
        let service_ms = self.mean_service_ms(pool);
        let cold_slots = slots_while_cold(self.cold_per_s(pool), service_ms);
        let (slots, in_progress) = accepting.fold((0u32, 0), |(slots, in_progress), member| {
            let short = member.hash.short();
            let endpoint_slots = member.endpoint.slots;
            let cold_slots = cold_slots.filter(|_| self.is_bounded(member, now_ms));
            (
                slots.saturating_add(endpoint_slots.min(cold_slots.unwrap_or(u32::MAX))),
                self.load.in_progress(short).saturating_add(in_progress),
            )
        });
        PoolOccupancy {
            slots,
            in_progress,
            service_ms,
        }
    }

    /// Outstanding work of a pool, at the endpoints that [`Self::occupancy`] counts.
    pub(crate) fn backlog(&self, pool: &PoolId, now_ms: u64) -> PoolBacklog {
        let occupancy = self.occupancy(pool, now_ms);
        let members = self.endpoints.live(pool);
        let accepting = self.with_stable_builds(pool, &members, now_ms);
        let accepting = accepting.filter(|member| {
            let start = member.hash.short();
            !self.is_avoided(start, now_ms) && !self.backoffs.is_active(start, now_ms)
        });
        let (endpoints, full_endpoints) = accepting.fold((0, 0), |(all, full), member| {
            let load = self.load.in_progress(member.hash.short());
            (all + 1, full + u32::from(load >= member.endpoint.slots))
        });
        PoolBacklog {
            slots: occupancy.slots,
            in_progress: occupancy.in_progress,
            endpoints,
            full_endpoints,
            hosts: self.load.known_host_count(),
            service_ms: occupancy.service_ms,
            age_ms: self.load.report_age_ms(),
            trend_per_ms: 0.0,
        }
    }

    /// Longest recent service time for each route of a pool, from this host and from
    /// rollout reports of other hosts.
    pub(crate) fn max_service_times_ms(
        &self,
        pool: &PoolId,
        now_ms: u64,
    ) -> BTreeMap<Arc<str>, u64> {
        let reported = self
            .rollouts
            .evidence(pool)
            .map(Evidence::max_service_times_ms);
        let mut max_ms = reported.cloned().unwrap_or_default();
        for (route, route_max) in self.max_service_times.get(pool).into_iter().flatten() {
            let route_max_ms = max_ms.entry(route.clone()).or_default();
            *route_max_ms = route_max.ms(now_ms).max(*route_max_ms);
        }
        max_ms
    }

    pub(crate) fn record_service_time(
        &mut self,
        pool: &PoolId,
        route: &Arc<str>,
        service_ms: u64,
        now_ms: u64,
    ) {
        let service_time = self.service_times.entry(pool.clone()).or_default();
        service_time.record(service_ms);
        let pool_times = self.max_service_times.entry(pool.clone()).or_default();
        let route_max = pool_times.entry(route.clone()).or_default();
        route_max.record(service_ms, now_ms);
    }

    fn prune_health(&mut self) {
        let listed = self.endpoints.listed_hashes();
        self.health.retain(|endpoint, _| listed.contains(endpoint));
        self.work.retain_listed(listed);
    }
}
