//! A pool's slots as its scheduler and its queue need them.

use chalkrock_core::PoolId;
use chalkrock_routing::{Basis, BuildUse, PoolMember, PoolUse, RolloutStage, SchedulableEndpoint};

use crate::fleet::{EndpointQuery, Fleet, SelectedEndpoint};

/// Closure of an endpoint that no request may be sent to.
const CLOSED: u8 = u8::MAX;

impl Fleet {
    /// Use of a pool's slots, by all endpoints that are live, also those that accept no
    /// requests now. `None` while a rollout of the pool decides which requests may use which
    /// endpoints.
    pub(crate) fn pool_use(&self, pool: &PoolId, now_ms: u64) -> Option<PoolUse> {
        if self.is_rolling_out(pool) {
            return None;
        }
        let mut pool_use = PoolUse {
            slots: 0,
            in_progress: 0,
            hosts: self.load.known_host_count(),
            has_waiting: false,
            is_brittle: self.is_brittle(pool, now_ms),
        };
        for member in self.endpoints.live(pool).iter() {
            let in_progress = self.load.in_progress(member.hash.short());
            pool_use.slots = pool_use.slots.saturating_add(member.endpoint.slots);
            pool_use.in_progress = pool_use.in_progress.saturating_add(in_progress);
        }
        Some(pool_use)
    }

    /// Whether a scheduler could grant a slot of the pool, as far as this host knows.
    pub(crate) fn has_open_endpoint(&self, pool: &PoolId, now_ms: u64) -> bool {
        let members = self.endpoints.live(pool);
        let mut stable = self.with_stable_builds(pool, &members, now_ms);
        stable.any(|member| !self.is_closed(member, now_ms))
    }

    /// Whether an endpoint accepts no requests, whatever its health.
    fn is_closed(&self, member: &PoolMember, now_ms: u64) -> bool {
        self.backoffs.is_active(member.hash.short(), now_ms)
            || !self.may_send_if_cold(member, now_ms)
    }

    fn is_rolling_out(&self, pool: &PoolId) -> bool {
        if self.rollouts.order(pool).is_none() {
            return false;
        }
        match self.rollouts.stage(pool) {
            None | Some(RolloutStage::Canary | RolloutStage::Moving) => true,
            Some(RolloutStage::Done | RolloutStage::RolledBack) => false,
        }
    }

    /// The endpoints of a pool that its scheduler grants. Suspect endpoints are open if there
    /// are no others, since this host's own links may be at fault, and then those that asked
    /// this host for a backoff, since they may accept requests of others.
    pub(crate) fn schedulable_endpoints(
        &self,
        pool: &PoolId,
        now_ms: u64,
    ) -> Vec<SchedulableEndpoint> {
        let members = self.endpoints.live(pool);
        let stable = self.with_stable_builds(pool, &members, now_ms);
        let ranked: Vec<(&PoolMember, u8)> = stable
            .map(|member| (member, self.closure(member, now_ms)))
            .collect();
        let least_closed = ranked.iter().map(|(_, closure)| *closure).min();
        let endpoints = ranked.into_iter().map(|(member, closure)| {
            let endpoint = member.hash.short();
            SchedulableEndpoint {
                endpoint,
                slots: member.endpoint.slots,
                in_progress: self.load.in_progress(endpoint),
                is_open: closure < CLOSED && Some(closure) == least_closed,
                has_queue: !self.rejection_limits.is_limited(endpoint, now_ms),
            }
        });
        endpoints.collect()
    }

    /// How far an endpoint is closed to requests of the fleet; 0 if it is open.
    fn closure(&self, member: &PoolMember, now_ms: u64) -> u8 {
        let endpoint = member.hash.short();
        if !self.may_send_if_cold(member, now_ms) {
            CLOSED
        } else if self.backoffs.is_active(endpoint, now_ms) {
            2
        } else {
            u8::from(self.is_avoided(endpoint, now_ms))
        }
    }

    /// The builds that requests of a pool use when a scheduler places them.
    pub(crate) fn scheduled_uses(&self, pool: &PoolId) -> &'static [BuildUse] {
        match self.rollouts.stable_use(pool) {
            BuildUse::Old => &[BuildUse::Old],
            BuildUse::New => &[BuildUse::New],
            BuildUse::Any | BuildUse::Canary => &[BuildUse::Any],
        }
    }

    /// Selects the endpoint that a scheduler granted, if this host may send to it.
    pub(crate) fn place_granted(
        &self,
        query: &EndpointQuery<'_>,
        endpoint: u32,
        now_ms: u64,
    ) -> Option<SelectedEndpoint> {
        if query.tried.contains(&endpoint) {
            return None;
        }
        let members = self.endpoints.live(query.pool);
        let member = members
            .iter()
            .find(|member| member.hash.short() == endpoint)?;
        let mut uses = query.uses.iter();
        let is_admitted = uses.any(|build_use| {
            let builds = self.eligible_builds(query, *build_use, now_ms);
            builds.admit(member)
        });
        let holders: Vec<u32> = { query.shared_parts.last() }
            .map(|part| self.prefixes.directory().holders(*part, now_ms).collect())
            .unwrap_or_default();
        let candidate = self.candidate(member, query, &holders, now_ms);
        let is_usable = |other: &PoolMember| {
            let other = self.candidate(other, query, &holders, now_ms);
            !other.is_closed && !other.is_suspect && !query.tried.contains(&other.hash.short())
        };
        let is_avoided = candidate.is_suspect && members.iter().any(is_usable);
        if !is_admitted || candidate.is_closed || is_avoided {
            return None;
        }
        Some(SelectedEndpoint {
            member: member.clone(),
            load: candidate.load,
            holder: self.find_prefix_holder(query, member, now_ms),
            basis: Basis::Granted,
            work: None,
            holds_prefix: candidate.holds_prefix,
            is_cold: self.is_bounded(member, now_ms),
            selected_at_ms: now_ms,
        })
    }

    /// Expected service time of a request of a pool.
    pub(crate) fn expected_service_ms(&self, pool: &PoolId) -> f64 {
        self.mean_service_ms(pool)
    }
}
