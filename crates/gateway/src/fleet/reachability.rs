//! Endpoints that this host can't open connections to.

use std::sync::Arc;

use chalkrock_core::{Endpoint, PoolId};
use chalkrock_routing::PoolMember;

use crate::fleet::Fleet;

/// Contact with an endpoint that is recent enough to vouch for it.
const RECENT_CONTACT_MS: u64 = 300;
/// Unreachable endpoints of a pool from which on its others are checked too.
const MIN_UNREACHABLE_FOR_POOL: usize = 2;

/// How much of a pool this host does not reach.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct PoolReach {
    pub(crate) endpoints: usize,
    /// Endpoints that only other hosts reach.
    pub(crate) reached_by_others: usize,
}

impl PoolReach {
    /// Whether the host counts as partitioned from the pool.
    pub(crate) fn is_partitioned(&self) -> bool {
        self.reached_by_others > 0 && 2 * self.reached_by_others >= self.endpoints
    }
}

impl Fleet {
    /// Whether this host can't open connections to the endpoint.
    pub(crate) fn is_unreachable(&self, endpoint: u32, now_ms: u64) -> bool {
        let health = self.health.get(&endpoint);
        health.is_some_and(|health| health.is_unreachable(now_ms))
    }

    /// Whether connections of this host to the endpoint get no answer.
    pub(crate) fn is_unresponsive(&self, endpoint: u32, now_ms: u64) -> bool {
        let health = self.health.get(&endpoint);
        health.is_some_and(|health| health.is_unresponsive(now_ms))
    }

    /// Whether this host can't open connections to the endpoint and another one can.
    pub(crate) fn is_only_reached_by_others(&self, endpoint: u32, now_ms: u64) -> bool {
        self.is_unreachable(endpoint, now_ms) && self.reachability.is_reached(endpoint, now_ms)
    }

    /// Whether the endpoint recently accepted a connection of this host or sent something.
    pub(crate) fn has_recent_contact(&self, endpoint: u32, now_ms: u64) -> bool {
        let health = self.health.get(&endpoint);
        let age_ms = health.and_then(|health| health.contact_age_ms(now_ms));
        age_ms.is_some_and(|age_ms| age_ms <= RECENT_CONTACT_MS)
    }

    /// A listed endpoint by the hash of its start.
    pub(crate) fn listed_member(&self, endpoint: u32) -> Option<&PoolMember> {
        let mut listed = self.endpoints.listed();
        listed.find(|member| member.hash.short() == endpoint)
    }

    /// The listed endpoints that this host can't open connections to.
    pub(crate) fn unreachable_endpoints(&self, now_ms: u64) -> Vec<PoolMember> {
        if !self
            .health
            .values()
            .any(|health| health.is_unreachable(now_ms))
        {
            return Vec::new();
        }
        let listed = self.endpoints.listed();
        let unreachable = listed.filter(|member| self.is_unreachable(member.hash.short(), now_ms));
        unreachable.cloned().collect()
    }

    /// The unreachable endpoints of a pool that requests must not be sent to.
    pub(crate) fn unreachable_in_pool(&self, pool: &PoolId, now_ms: u64) -> Vec<u32> {
        let members = self.endpoints.live(pool);
        let starts = members.iter().map(|member| member.hash.short());
        starts
            .filter(|start| self.is_unreachable(*start, now_ms))
            .collect()
    }

    /// Other endpoints of pools that have several unreachable ones, and which this host had
    /// no recent contact with. A partition cuts off all of them at once.
    pub(crate) fn doubtful_endpoints(
        &self,
        unreachable: &[PoolMember],
        now_ms: u64,
    ) -> Vec<Arc<Endpoint>> {
        let mut pools: Vec<&PoolId> = { unreachable.iter() }
            .map(|member| &member.endpoint.pool)
            .collect();
        pools.sort();
        let doubtful_pools = pools.chunk_by(|a, b| a == b).filter_map(|chunk| {
            let members = self.endpoints.live(chunk[0]);
            let is_small = members.len() <= MIN_UNREACHABLE_FOR_POOL;
            (is_small || chunk.len() >= MIN_UNREACHABLE_FOR_POOL).then_some(members)
        });
        let mut endpoints = Vec::new();
        for members in doubtful_pools {
            let doubtful = members.iter().filter(|member| {
                let start = member.hash.short();
                !self.is_unreachable(start, now_ms) && !self.has_recent_contact(start, now_ms)
            });
            endpoints.extend(doubtful.map(|member| member.endpoint.clone()));
        }
        endpoints
    }

    /// How much of each pool with unreachable endpoints this host does not reach.
    pub(crate) fn pool_reach(
        &self,
        unreachable: &[PoolMember],
        now_ms: u64,
    ) -> Vec<(PoolId, PoolReach)> {
        let mut pools: Vec<&PoolId> = { unreachable.iter() }
            .map(|member| &member.endpoint.pool)
            .collect();
        pools.sort();
        pools.dedup();
        let reach = pools.into_iter().map(|pool| {
            let members = self.endpoints.live(pool);
            let starts = members.iter().map(|member| member.hash.short());
            let reached_by_others =
                starts.filter(|start| self.is_only_reached_by_others(*start, now_ms));
            let reach = PoolReach {
                endpoints: members.len(),
                reached_by_others: reached_by_others.count(),
            };
            (pool.clone(), reach)
        });
        reach.collect()
    }

    /// Records that an endpoint accepted a connection.
    pub(crate) fn record_connected(&mut self, endpoint: u32, now_ms: u64) {
        self.health(endpoint).record_connected(now_ms);
    }
}
