//! Shares of organisations of loaded pools.

mod reports;

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use chalkrock_core::rendezvous::MemberHash;
use chalkrock_core::{OrganisationId, PoolId};
use chalkrock_routing::{FleetUsage, OrganisationShare, PoolOccupancy, ServiceTimeEwma};

use crate::call::Call;
use crate::shared::Shared;

pub(crate) use reports::{PoolUsage, UsageSender, merge_usage, usage_datagrams};

/// Time without taken slots until a pool ceases to count as loaded: some report intervals.
const LOADED_MS: u64 = 2_000;
/// Time within its share until an organisation ceases to count as over it.
const OVER_SHARE_MS: u64 = 2_000;
/// Most organisations that are tracked as over their share.
const MAX_TRACKED: usize = 64;
/// Work of a request below the resolution of the clock.
const MIN_WORK_MS: u64 = 1;
/// Bounds of a sample of work against its mean while the pool is loaded. The time in the
/// endpoint's queue is then known only roughly.
const MAX_LOADED_CHANGE: f64 = 2.0;
/// Most work of a request against the mean of its route while the pool is loaded.
const MAX_LOADED_MULTIPLE: f64 = 4.0;
const US_PER_MS: f64 = 1_000.0;
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
    pool: &'a PoolId,
    route: &'a Arc<str>,
    organisation: Option<&'a OrganisationId>,
}

impl<'a> RequestKind<'a> {
    pub(crate) fn of(call: &'a Call) -> Self {
        Self {
            pool: &call.pool,
            route: &call.route.name,
            organisation: call.organisation(),
        }
    }
}

/// The work of an admitted request. Counts as expected until the last owner drops it, and
/// then as the sum of its attempts; as demand only if none ran.
pub(crate) struct RequestWork {
    shared: Arc<Shared>,
    call: Arc<Call>,
    expected_ms: f64,
    actual_us: AtomicU64,
}

impl RequestWork {
    /// Counts a request that was admitted or rejected; `None` if it was rejected.
    pub(crate) fn record(
        shared: &Arc<Shared>,
        call: &Arc<Call>,
        is_admitted: bool,
        now_ms: u64,
    ) -> Option<Arc<Self>> {
        let kind = RequestKind::of(call);
        let expected_ms = shared.fleet().usage.record(&kind, is_admitted, now_ms);
        is_admitted.then(|| {
            Arc::new(Self {
                shared: shared.clone(),
                call: call.clone(),
                expected_ms,
                actual_us: AtomicU64::new(0),
            })
        })
    }

    /// Adds the work of an attempt that ran.
    pub(crate) fn add(&self, work_ms: f64) {
        let work_us = (work_ms * US_PER_MS) as u64;
        self.actual_us.fetch_add(work_us, Ordering::Relaxed);
    }
}

impl Drop for RequestWork {
    fn drop(&mut self) {
        let actual_ms = self.actual_us.load(Ordering::Relaxed) as f64 / US_PER_MS;
        let now_ms = self.shared.clock.now_ms();
        let kind = RequestKind::of(&self.call);
        let difference_ms = actual_ms - self.expected_ms;
        let mut fleet = self.shared.fleet();
        fleet.usage.correct(&kind, difference_ms, now_ms);
        if actual_ms == 0.0 {
            fleet.usage.record(&kind, false, now_ms);
        }
    }
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
        self.fleet.share(pool, organisation, occupancy, now_ms)
    }

    /// Counts a request that was admitted or rejected, and returns its expected work in
    /// milliseconds.
    fn record(&mut self, kind: &RequestKind<'_>, is_admitted: bool, now_ms: u64) -> f64 {
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
        work_ms
    }

    /// Learns the work of an attempt from its service time, and returns it in milliseconds.
    pub(crate) fn record_service_time(
        &mut self,
        pool: &PoolId,
        route: &Arc<str>,
        service_ms: u64,
        now_ms: u64,
    ) -> f64 {
        let Some(state) = self.pools.get_mut(pool) else {
            return 0.0;
        };
        let work_ms = service_ms as f64 * state.slot_fraction;
        let mean_ms = state.expected_work_ms(route);
        let is_estimate = state.is_loaded(now_ms) && mean_ms > 0.0;
        let (work_ms, sample_ms) = if is_estimate {
            let sample_ms = work_ms.clamp(mean_ms / MAX_LOADED_CHANGE, mean_ms * MAX_LOADED_CHANGE);
            (work_ms.min(mean_ms * MAX_LOADED_MULTIPLE), sample_ms)
        } else {
            (work_ms, work_ms)
        };
        if state.work.len() < MAX_ROUTES || state.work.contains_key(route) {
            let known = state.work.entry(route.clone()).or_default();
            known.record((sample_ms.round() as u64).max(MIN_WORK_MS));
        }
        work_ms
    }

    /// Corrects the work of a request by the difference of its actual to its expected work.
    fn correct(&mut self, kind: &RequestKind<'_>, difference_ms: f64, now_ms: u64) {
        let (pool, organisation) = (pool_hash(kind.pool), organisation_hash(kind.organisation));
        self.fleet
            .correct(pool, organisation, difference_ms, now_ms);
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
