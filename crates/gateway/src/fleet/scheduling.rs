//! A pool's slots as its scheduler and its queue need them.

use chalkrock_core::PoolId;
use chalkrock_routing::{Basis, BuildUse, PoolUse, RolloutStage, SchedulableEndpoint};

use crate::fleet::{EndpointQuery, Fleet, SelectedEndpoint};

impl Fleet {
    /// Use of a pool's slots; `None` while a rollout of the pool decides which requests
    /// may use which endpoints.
    pub(crate) fn pool_use(&self, pool: &PoolId, now_ms: u64) -> Option<PoolUse> {
        if self.is_rolling_out(pool) {
            return None;
        }
        let mut pool_use = PoolUse {
            slots: 0,
            in_progress: 0,
            hosts: self.load.known_host_count(),
            has_waiting: false,
        };
        for endpoint in self.schedulable_endpoints(pool, now_ms) {
            if endpoint.is_open {
                pool_use.slots = pool_use.slots.saturating_add(endpoint.slots);
                pool_use.in_progress = pool_use.in_progress.saturating_add(endpoint.in_progress);
            }
        }
        Some(pool_use)
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

    /// The endpoints of a pool that its scheduler grants.
    pub(crate) fn schedulable_endpoints(
        &self,
        pool: &PoolId,
        now_ms: u64,
    ) -> Vec<SchedulableEndpoint> {
        let members = self.endpoints.live(pool);
        let stable = self.with_stable_builds(pool, &members, now_ms);
        let endpoints = stable.map(|member| {
            let endpoint = member.hash.short();
            let is_closed = self.is_suspect(endpoint, now_ms)
                || self.backoffs.is_active(endpoint, now_ms)
                || !self.may_send_if_cold(member, now_ms);
            SchedulableEndpoint {
                endpoint,
                slots: member.endpoint.slots,
                in_progress: self.load.in_progress(endpoint),
                is_open: !is_closed,
            }
        });
        endpoints.collect()
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
        let members = self.endpoints.live(query.pool);
        let mut members = members.iter();
        let member = members.find(|member| member.hash.short() == endpoint)?;
        let mut uses = query.uses.iter();
        let is_admitted = uses.any(|build_use| {
            let builds = self.eligible_builds(query.pool, *build_use, now_ms);
            builds.admit(member)
        });
        let holders: Vec<u32> = { query.shared_parts.last() }
            .map(|part| self.prefixes.directory().holders(*part, now_ms).collect())
            .unwrap_or_default();
        let candidate = self.candidate(member, query, &holders, now_ms);
        if !is_admitted || candidate.is_closed || candidate.is_suspect {
            return None;
        }
        Some(SelectedEndpoint {
            member: member.clone(),
            load: candidate.load,
            holder: self.find_prefix_holder(query, member, now_ms),
            basis: Basis::Granted,
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
