//! Endpoints that this host can't open connections to.

use std::collections::BTreeMap;
use std::sync::Arc;

use chalkrock_core::{Endpoint, PoolId};
use chalkrock_routing::{EndpointHealth, PoolMember};

use crate::fleet::Fleet;

/// Contact with an endpoint that is recent enough to vouch for it.
const RECENT_CONTACT_MS: u64 = 1_000;
/// Unreachable endpoints of a pool from which on the others may be unreachable too.
const MIN_UNREACHABLE: usize = 2;
/// Fraction of a pool that is unreachable from which on the others are checked although some
/// respond.
const UNREACHABLE_FRACTION_DIVISOR: usize = 4;
/// Age up to which contact with an endpoint shows that it is reachable.
const DOUBT_MS: u64 = 2_000;

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
        let since_ms = now_ms.saturating_sub(RECENT_CONTACT_MS);
        self.has_contact_since(endpoint, since_ms)
    }

    fn has_contact_since(&self, endpoint: u32, since_ms: u64) -> bool {
        let health = self.health.get(&endpoint);
        let contact_at_ms = health.and_then(EndpointHealth::contact_at_ms);
        contact_at_ms.is_some_and(|at_ms| at_ms >= since_ms)
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

    /// Other endpoints that a partition may have cut off as well: those without contact, of
    /// pools in which nothing responded since connections began to fail, or much is
    /// unreachable.
    pub(crate) fn doubtful_endpoints(
        &self,
        unreachable: &[PoolMember],
        now_ms: u64,
    ) -> Vec<Arc<Endpoint>> {
        let mut endpoints = Vec::new();
        for (pool, unreachable) in by_pool(unreachable) {
            let members = self.endpoints.live(pool);
            if unreachable.len() < MIN_UNREACHABLE.min(members.len()) {
                continue;
            }
            let starts = unreachable.iter().map(|member| member.hash.short());
            let healths = starts.filter_map(|start| self.health.get(&start));
            let since = healths.filter_map(|health| health.unreachable_since_ms(now_ms));
            let since_ms = since.min().unwrap_or(now_ms);
            let responds = members
                .iter()
                .any(|member| self.has_contact_since(member.hash.short(), since_ms));
            if responds && UNREACHABLE_FRACTION_DIVISOR * unreachable.len() < members.len() {
                continue;
            }
            let contact_since_ms = since_ms.max(now_ms.saturating_sub(DOUBT_MS));
            let doubtful = members.iter().filter(|member| {
                let start = member.hash.short();
                !self.is_unreachable(start, now_ms)
                    && !self.has_contact_since(start, contact_since_ms)
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
        let reach = by_pool(unreachable).into_keys().map(|pool| {
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

    /// The endpoints among some of which reports of more hosts are needed.
    pub(crate) fn endpoints_to_ask_about(
        &self,
        unreachable: &[PoolMember],
        now_ms: u64,
    ) -> Vec<u32> {
        let starts = unreachable.iter().map(|member| member.hash.short());
        starts
            .filter(|start| self.reachability.needs_reports(*start, now_ms))
            .collect()
    }

    /// Records that an endpoint accepted a connection.
    pub(crate) fn record_connected(&mut self, endpoint: u32, now_ms: u64) {
        self.health(endpoint).record_connected(now_ms);
    }
}

fn by_pool(members: &[PoolMember]) -> BTreeMap<&PoolId, Vec<&PoolMember>> {
    let mut pools: BTreeMap<&PoolId, Vec<&PoolMember>> = BTreeMap::new();
    for member in members {
        pools.entry(&member.endpoint.pool).or_default().push(member);
    }
    pools
}
