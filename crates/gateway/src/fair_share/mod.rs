//! Shares of organisations of loaded pools.

mod reports;

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;

use chalkrock_core::rendezvous::MemberHash;
use chalkrock_core::{OrganisationId, PoolId};
use chalkrock_routing::{FleetUsage, OrganisationShare, PoolOccupancy, ServiceTimeEwma};

pub(crate) use reports::{PoolUsage, UsageSender, merge_usage, usage_datagrams};

/// Time after which a pool counts as loaded no longer: some report intervals.
const LOADED_MS: u64 = 2_000;
/// Time after which an organisation counts as over its share no longer.
const OVER_SHARE_MS: u64 = 2_000;
/// Most organisations that are tracked as over their share.
const MAX_TRACKED: usize = 64;
/// Work of a request below the resolution of the clock.
const MIN_WORK_MS: u64 = 1;
/// Most routes of a pool whose work is learned.
const MAX_ROUTES: usize = 256;

/// The short hash of an organisation; 0 without one.
fn organisation_hash(organisation: Option<&OrganisationId>) -> u32 {
    organisation.map_or(0, |name| MemberHash::of(name.as_str()).short())
}

/// The short hash of a pool.
fn pool_hash(pool: &PoolId) -> u32 {
    MemberHash::of(pool.as_str()).short()
}

/// What identifies the requests of an organisation to one route of a pool.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RequestKind<'a> {
    pub(crate) pool: &'a PoolId,
    pub(crate) route: &'a Arc<str>,
    pub(crate) organisation: Option<&'a OrganisationId>,
}

/// An organisation that is over its share of a pool.
#[derive(Clone, Debug)]
pub(crate) struct OverShare {
    pub(crate) pool: PoolId,
    pub(crate) organisation: OrganisationId,
    pub(crate) share: OrganisationShare,
    last_over_at_ms: u64,
}

/// What is known of a pool.
#[derive(Clone, Debug, Default)]
struct PoolState {
    /// Mean slot time by route.
    work: HashMap<Arc<str>, ServiceTimeEwma>,
    /// Fraction of the service time in which a request uses a slot; the rest it queues.
    slot_fraction: f64,
    last_full_at_ms: Option<u64>,
}

impl PoolState {
    fn is_loaded(&self, now_ms: u64) -> bool {
        let full_at_ms = self.last_full_at_ms;
        full_at_ms.is_some_and(|full_at_ms| now_ms.saturating_sub(full_at_ms) < LOADED_MS)
    }

    fn expected_work_ms(&self, route: &Arc<str>) -> f64 {
        self.work.get(route).map_or(0.0, ServiceTimeEwma::ms)
    }
}

/// Use of pools by organisation, on this host and over the fleet.
#[derive(Debug, Default)]
pub(crate) struct Usage {
    fleet: FleetUsage<SocketAddr>,
    pools: HashMap<PoolId, PoolState>,
    over: BTreeMap<(u32, u32), OverShare>,
}

impl Usage {
    /// The share of an organisation, if the pool is loaded and other hosts' use is known.
    pub(crate) fn share(
        &mut self,
        kind: &RequestKind<'_>,
        occupancy: &PoolOccupancy,
        now_ms: u64,
    ) -> Option<OrganisationShare> {
        if occupancy.slots == 0 {
            return None;
        }
        let state = self.pools.entry(kind.pool.clone()).or_default();
        let in_progress = occupancy.in_progress.max(1);
        state.slot_fraction = (f64::from(occupancy.slots) / f64::from(in_progress)).min(1.0);
        if occupancy.in_progress >= occupancy.slots {
            state.last_full_at_ms = Some(now_ms);
        }
        let is_loaded = state.is_loaded(now_ms);
        let organisation = kind.organisation.filter(|_| is_loaded)?;
        let organisation = organisation_hash(Some(organisation));
        let pool = pool_hash(kind.pool);
        self.fleet
            .share(pool, organisation, occupancy.slots, now_ms)
    }

    /// Counts a request that was admitted or rejected.
    pub(crate) fn record(&mut self, kind: &RequestKind<'_>, is_admitted: bool, now_ms: u64) {
        let pool = pool_hash(kind.pool);
        let organisation = organisation_hash(kind.organisation);
        let state = self.pools.get(kind.pool);
        let work_ms = state.map_or(0.0, |state| state.expected_work_ms(kind.route));
        if is_admitted {
            self.fleet.record(pool, organisation, work_ms, now_ms);
        } else {
            self.fleet
                .record_rejected(pool, organisation, work_ms, now_ms);
        }
    }

    /// Corrects the work of an admitted request by its actual service time.
    pub(crate) fn record_service_time(
        &mut self,
        kind: &RequestKind<'_>,
        service_ms: u64,
        now_ms: u64,
    ) {
        let Some(state) = self.pools.get_mut(kind.pool) else {
            return;
        };
        let work_ms = service_ms as f64 * state.slot_fraction;
        let expected_ms = state.expected_work_ms(kind.route);
        if state.work.len() < MAX_ROUTES || state.work.contains_key(kind.route) {
            let known = state.work.entry(kind.route.clone()).or_default();
            known.record((work_ms.round() as u64).max(MIN_WORK_MS));
        }
        let organisation = organisation_hash(kind.organisation);
        let difference_ms = work_ms - expected_ms;
        self.fleet
            .correct(pool_hash(kind.pool), organisation, difference_ms, now_ms);
    }

    /// Tracks an organisation that is over its share. Returns whether it newly is.
    pub(crate) fn track_over_share(
        &mut self,
        pool: &PoolId,
        organisation: &OrganisationId,
        share: OrganisationShare,
        now_ms: u64,
    ) -> bool {
        let key = (pool_hash(pool), organisation_hash(Some(organisation)));
        if let Some(known) = self.over.get_mut(&key) {
            known.share = share;
            known.last_over_at_ms = now_ms;
            return false;
        }
        if self.over.len() >= MAX_TRACKED {
            return false;
        }
        let over = OverShare {
            pool: pool.clone(),
            organisation: organisation.clone(),
            share,
            last_over_at_ms: now_ms,
        };
        self.over.insert(key, over);
        true
    }

    /// Number of organisations over their share, among this host's callers, by pool that
    /// was ever full.
    pub(crate) fn over_share_counts(&self) -> BTreeMap<PoolId, usize> {
        let pools = self.pools.iter();
        let full = pools.filter(|(_, state)| state.last_full_at_ms.is_some());
        let mut counts: BTreeMap<PoolId, usize> = full.map(|(pool, _)| (pool.clone(), 0)).collect();
        for over in self.over.values() {
            *counts.entry(over.pool.clone()).or_default() += 1;
        }
        counts
    }

    /// Drops what has expired, and returns the organisations no longer over their share.
    pub(crate) fn expire(&mut self, now_ms: u64) -> Vec<OverShare> {
        self.fleet.expire(now_ms);
        let is_recent =
            |over: &OverShare| now_ms.saturating_sub(over.last_over_at_ms) < OVER_SHARE_MS;
        let ended = self.over.extract_if(.., |_, over| !is_recent(over));
        ended.map(|(_, over)| over).collect()
    }
}
