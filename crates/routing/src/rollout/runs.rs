//! The rollouts of all pools as one host knows them.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::hash::Hash;
use std::sync::Arc;

use chalkrock_core::rendezvous::{KeyHash, MemberHash, score};
use chalkrock_core::{BuildVersion, PoolId};

use crate::StoreVersion;
use crate::in_flight::REPORT_INTERVAL_MS;
use crate::rollout::evidence::{BuildSide, Evidence, ObservationTime, ObservedResponse};
use crate::rollout::exposure::{Exposure, ExposureBound};
use crate::rollout::order::{
    RolloutOrder, RolloutOrderRow, RolloutOrders, VersionedOrder, is_same_row,
};
use crate::rollout::record::{RolloutPlan, RolloutRecord};
use crate::rollout::stage::RolloutStage;

/// Delay before an endpoint of a new build gets requests. Rows of endpoints and orders
/// arrive independently, and the order may be the later one.
const ORDER_DELAY_MS: u64 = 1_000;

/// Which endpoints of a pool a request may be sent to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BuildUse {
    /// All endpoints.
    Any,
    /// All except those of the new build.
    Old,
    /// All except those of the old builds.
    New,
    /// The few canary endpoints of the new build.
    Canary,
}

/// Builds whose endpoints a request may be sent to.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum BuildFilter<'a> {
    /// All builds.
    All,
    /// All except one.
    Without(&'a BuildVersion),
    /// All except one and unproven ones.
    Proven {
        /// The new build.
        new: &'a BuildVersion,
        /// Builds of earlier rollouts that were not done.
        unproven: &'a BTreeSet<BuildVersion>,
    },
    /// All except some.
    WithoutAny(&'a BTreeSet<BuildVersion>),
    /// Only one.
    Only(&'a BuildVersion),
    /// All except recently listed ones, whose order may still arrive.
    Settled {
        /// When each build was first listed, in milliseconds.
        listed_ms: &'a HashMap<BuildVersion, u64>,
        /// The current time, in milliseconds.
        now_ms: u64,
    },
}

impl BuildFilter<'_> {
    /// Whether the filter admits a build.
    pub fn admits(&self, build: &BuildVersion) -> bool {
        match self {
            BuildFilter::All => true,
            BuildFilter::Without(other) => build != *other,
            BuildFilter::Proven { new, unproven } => build != *new && !unproven.contains(build),
            BuildFilter::WithoutAny(others) => !others.contains(build),
            BuildFilter::Only(only) => build == *only,
            BuildFilter::Settled { listed_ms, now_ms } => {
                let listed_ms = listed_ms.get(build);
                listed_ms.is_none_or(|listed_ms| *now_ms >= listed_ms + ORDER_DELAY_MS)
            }
        }
    }
}

/// Slots and requests of a pool by build.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PoolBuilds {
    /// Slots of the new build's endpoints that accept requests.
    pub new_slots: u32,
    /// Slots of the old builds' endpoints that accept requests.
    pub old_slots: u32,
    /// Requests on endpoints of the old builds, including leaving ones.
    pub old_in_progress: u32,
    /// Requests on endpoints of the new build.
    pub new_in_progress: u32,
}

/// A request to be sent.
#[derive(Clone, Copy, Debug)]
pub struct BuildRequest<'a> {
    /// Its pool.
    pub pool: &'a PoolId,
    /// Its route.
    pub route: &'a Arc<str>,
    /// Whether this is its first attempt; only those go to canaries.
    pub is_first: bool,
    /// Number of hosts in the fleet.
    pub hosts: usize,
}

/// The rollout of one pool.
#[derive(Clone, Debug)]
struct RolloutRun<H> {
    versioned_order: VersionedOrder,
    /// When the order was given, on this host's clock; negative if before the clock's
    /// start.
    ordered_at_ms: i64,
    is_withdrawn: bool,
    exposure: Exposure,
    evidence: Evidence<H>,
    /// Since when the old endpoints have been idle.
    old_idle_since_ms: Option<u64>,
    /// Known failures of the new build.
    known_failures: u32,
    /// When these last became more.
    failed_at_ms: Option<u64>,
    /// When this host last reported failures at once.
    failures_reported_ms: Option<u64>,
    /// Builds of earlier rollouts that were not done.
    unproven: BTreeSet<BuildVersion>,
}

impl<H> RolloutRun<H> {
    /// Marks the build of an earlier rollout as unproven if that was not done.
    fn mark_unproven(&mut self, build: &BuildVersion, stage: Option<RolloutStage>) {
        let is_other = *build != self.versioned_order.order.build;
        if is_other && stage != Some(RolloutStage::Done) {
            self.unproven.insert(build.clone());
        }
    }
}

/// The newest known record of a pool, possibly of another order than the current one.
#[derive(Clone, Debug, Default)]
struct StoredRecord {
    /// Its store version.
    version: StoreVersion,
    /// The version that the next write names, if the store was restored and holds an earlier
    /// record.
    restored_version: Option<StoreVersion>,
    /// `None` if it is invalid.
    record: Option<RolloutRecord>,
    /// When its order was given, on this host's clock.
    ordered_at_ms: i64,
}

/// The rollouts of all pools as one host knows them; `H` identifies hosts.
#[derive(Clone, Debug)]
pub struct Rollouts<H> {
    bound: ExposureBound,
    orders: RolloutOrders,
    runs: BTreeMap<PoolId, RolloutRun<H>>,
    /// A record may arrive before its order.
    stored_records: BTreeMap<PoolId, StoredRecord>,
    /// Plans of the latest known records. A plan may arrive before its record.
    plans: BTreeMap<PoolId, RolloutPlan>,
    /// When each build of a pool was first listed, except for those of the first list.
    new_builds: HashMap<PoolId, HashMap<BuildVersion, u64>>,
    known_builds: BTreeMap<PoolId, BTreeSet<BuildVersion>>,
    /// Whether this host gets no news of rollouts, and so follows their plans.
    is_cut_off: bool,
}

impl StoredRecord {
    /// Whether a record is newer than this one. Versions of a restored store are higher and
    /// may be of earlier records, while the stage and age of an order's records only grow.
    fn is_superseded_by(&self, record: &RolloutRecord, version: StoreVersion) -> bool {
        let known = self.record.as_ref();
        let known = known.filter(|known| {
            let is_same_order =
                is_same_row(known.order, record.order) && known.build == record.build;
            is_same_order && self.version.era() != version.era()
        });
        match known {
            Some(known) => (record.stage, record.age_ms) > (known.stage, known.age_ms),
            None => version > self.version,
        }
    }

    fn is_for_order(&self, versioned_order: &VersionedOrder) -> bool {
        self.record.as_ref().is_some_and(|record| {
            let is_same_build = record.build == versioned_order.order.build;
            is_same_build && is_same_row(record.order, versioned_order.version)
        })
    }
}

impl<H: Clone + Eq + Hash> Rollouts<H> {
    /// Creates an empty set of rollouts.
    pub fn new(bound: ExposureBound) -> Self {
        Self {
            bound,
            orders: RolloutOrders::default(),
            runs: BTreeMap::new(),
            stored_records: BTreeMap::new(),
            plans: BTreeMap::new(),
            new_builds: HashMap::new(),
            known_builds: BTreeMap::new(),
            is_cut_off: false,
        }
    }

    /// The limit on requests to a bad build.
    pub fn bound(&self) -> ExposureBound {
        self.bound
    }

    /// The current orders.
    pub fn orders(&self) -> &RolloutOrders {
        &self.orders
    }

    /// Sets whether this host gets no news of rollouts. Returns whether that changed.
    pub fn set_cut_off(&mut self, is_cut_off: bool) -> bool {
        let was_cut_off = std::mem::replace(&mut self.is_cut_off, is_cut_off);
        was_cut_off != is_cut_off
    }

    /// Whether this host gets no news of rollouts.
    pub fn is_cut_off(&self) -> bool {
        self.is_cut_off
    }

    /// Age of a pool's order, in milliseconds.
    pub fn age_ms(&self, pool: &PoolId, now_ms: u64) -> u64 {
        let run = self.runs.get(pool);
        run.map_or(0, |run| (now_ms as i64 - run.ordered_at_ms).max(0) as u64)
    }

    /// Merges orders from another host or a read. `draw` is a random number in [0, 1).
    pub fn merge_orders(&mut self, orders: &RolloutOrders, draw: f64, now_ms: u64) -> bool {
        let has_changed = self.orders.merge(orders);
        self.start_ordered(has_changed, draw, now_ms)
    }

    /// Replaces the orders after a full read.
    pub fn replace_orders(&mut self, orders: RolloutOrders, draw: f64, now_ms: u64) -> bool {
        let has_changed = self.orders.replace(orders);
        self.start_ordered(has_changed, draw, now_ms)
    }

    /// Applies changes of the store to the orders.
    pub fn apply_order_changes(
        &mut self,
        rows: &[RolloutOrderRow],
        until: StoreVersion,
        draw: f64,
        now_ms: u64,
    ) -> bool {
        let has_changed = self.orders.apply_changes(rows, until);
        self.start_ordered(has_changed, draw, now_ms)
    }

    /// Starts rollouts of new orders, if any order changed. Returns whether one did.
    fn start_ordered(&mut self, has_changed: bool, draw: f64, now_ms: u64) -> bool {
        if !has_changed {
            return false;
        }
        for (pool, run) in &mut self.runs {
            run.is_withdrawn = self.orders.get(pool).is_none();
        }
        let versioned_orders: Vec<(PoolId, VersionedOrder)> = self
            .orders
            .iter()
            .map(|(pool, versioned_order)| (pool.clone(), versioned_order.clone()))
            .collect();
        for (pool, versioned_order) in versioned_orders {
            let known = self.runs.get(&pool);
            if known.is_some_and(|run| run.versioned_order.is_same(&versioned_order)) {
                continue;
            }
            let stored_record = self.stored_records.get(&pool);
            let stored_record =
                stored_record.filter(|stored_record| stored_record.is_for_order(&versioned_order));
            let ordered_at_ms =
                stored_record.map_or(now_ms as i64, |stored_record| stored_record.ordered_at_ms);
            let within_ms = versioned_order.order.within_ms;
            let replaced = self.runs.get(&pool);
            let replaced = replaced.map(|run| {
                let build = run.versioned_order.order.build.clone();
                (build, self.stage(&pool), run.unproven.clone())
            });
            let mut run = RolloutRun {
                versioned_order,
                ordered_at_ms,
                is_withdrawn: false,
                exposure: Exposure::new(self.bound, within_ms, draw),
                evidence: Evidence::default(),
                old_idle_since_ms: None,
                known_failures: 0,
                failed_at_ms: None,
                failures_reported_ms: None,
                unproven: BTreeSet::new(),
            };
            if let Some((build, stage, unproven)) = replaced {
                for build in unproven {
                    run.mark_unproven(&build, None);
                }
                if stage == Some(RolloutStage::Done) {
                    run.unproven.remove(&build);
                }
                run.mark_unproven(&build, stage);
            }
            if let Some(record) = self
                .stored_records
                .get(&pool)
                .and_then(|s| s.record.as_ref())
            {
                run.mark_unproven(&record.build, Some(record.stage));
                for build in &record.unproven {
                    run.mark_unproven(build, None);
                }
            }
            self.runs.insert(pool, run);
        }
        true
    }

    /// Merges the age of a pool's order as another host knows it, keeping the higher one.
    pub fn merge_age(&mut self, pool: &PoolId, order: StoreVersion, age_ms: u64, now_ms: u64) {
        if let Some(run) = self.runs.get_mut(pool)
            && is_same_row(run.versioned_order.version, order)
        {
            run.ordered_at_ms = run.ordered_at_ms.min(now_ms as i64 - age_ms as i64);
        }
    }

    /// Merges a record that was written, read or received, if it is newer. Returns
    /// whether it changes the current rollout.
    pub fn merge_record(
        &mut self,
        pool: &PoolId,
        mut record: RolloutRecord,
        version: StoreVersion,
        now_ms: u64,
    ) -> bool {
        let plan = self.plans.entry(pool.clone()).or_default();
        record.add_plan(plan);
        let known = self.stored_records.entry(pool.clone()).or_default();
        if !known.is_superseded_by(&record, version) {
            return false;
        }
        *plan = record.plan();
        let ordered_at_ms = now_ms as i64 - record.age_ms as i64;
        *known = StoredRecord {
            version,
            restored_version: None,
            record: Some(record),
            ordered_at_ms,
        };
        let Some(run) = self.runs.get_mut(pool) else {
            return false;
        };
        if let Some(record) = &known.record {
            let is_for_order = known.is_for_order(&run.versioned_order);
            if !is_for_order && record.order < run.versioned_order.version {
                run.mark_unproven(&record.build, Some(record.stage));
            }
            for build in &record.unproven {
                run.mark_unproven(build, None);
            }
        }
        if !known.is_for_order(&run.versioned_order) {
            return false;
        }
        run.ordered_at_ms = run.ordered_at_ms.min(ordered_at_ms);
        run.old_idle_since_ms = None;
        true
    }

    /// Merges the plan of a pool's record, as another host knows it.
    pub fn merge_plan(&mut self, pool: &PoolId, plan: RolloutPlan) {
        let known = self.plans.entry(pool.clone()).or_default();
        if plan.order < known.order {
            return;
        }
        let stored_record = self.stored_records.get_mut(pool);
        let record = stored_record.and_then(|stored| stored.record.as_mut());
        if let Some(record) = record.filter(|record| record.order == plan.order) {
            record.add_plan(&plan);
            if let Some(run) = self.runs.get_mut(pool) {
                for build in &plan.unproven {
                    run.mark_unproven(build, None);
                }
            }
        }
        if plan.order > known.order {
            *known = plan;
        } else {
            known.add(&plan);
        }
    }

    /// Replaces the known record by the stored one after a conditional write failed,
    /// even if that has a lower version. A missing or invalid record (`None`), or an earlier
    /// one of a restored store, changes only the version to name next. Returns whether the
    /// current rollout changes.
    pub fn record_stored(
        &mut self,
        pool: &PoolId,
        record: Option<RolloutRecord>,
        version: StoreVersion,
        now_ms: u64,
    ) -> bool {
        let known = self.stored_records.entry(pool.clone()).or_default();
        match record {
            Some(record) => {
                let is_restored = version.era() > known.version.era() && known.record.is_some();
                if is_restored && !known.is_superseded_by(&record, version) {
                    known.restored_version = Some(version);
                    return false;
                }
                if version < known.version {
                    *known = StoredRecord::default();
                }
                self.merge_record(pool, record, version, now_ms)
            }
            None => {
                known.version = version;
                known.restored_version = None;
                false
            }
        }
    }

    /// The record of a pool's current order and its store version.
    pub fn record(&self, pool: &PoolId) -> Option<(&RolloutRecord, StoreVersion)> {
        let run = self.runs.get(pool)?;
        let stored_record = self.stored_records.get(pool)?;
        let is_in_force = stored_record.is_for_order(&run.versioned_order);
        Some((
            stored_record.record.as_ref().filter(|_| is_in_force)?,
            stored_record.version,
        ))
    }

    /// The store version that a pool's next record replaces.
    pub fn record_version(&self, pool: &PoolId) -> StoreVersion {
        let stored_record = self.stored_records.get(pool);
        let version = stored_record.map(|stored_record| {
            let restored_version = stored_record.restored_version;
            restored_version.unwrap_or(stored_record.version)
        });
        version.unwrap_or_default()
    }

    /// Pools with a rollout, and their orders.
    pub fn pools(&self) -> impl Iterator<Item = (&PoolId, &RolloutOrder)> {
        let runs = self.runs.iter();
        runs.map(|(pool, run)| (pool, &run.versioned_order.order))
    }

    /// Builds of earlier rollouts of a pool that were not done.
    pub fn unproven(&self, pool: &PoolId) -> BTreeSet<BuildVersion> {
        let run = self.runs.get(pool);
        run.map(|run| run.unproven.clone()).unwrap_or_default()
    }

    /// The order that a pool's rollout carries out.
    pub fn order(&self, pool: &PoolId) -> Option<(StoreVersion, &RolloutOrder)> {
        let run = self.runs.get(pool)?;
        Some((run.versioned_order.version, &run.versioned_order.order))
    }

    /// Whether there is no rollout.
    pub fn is_empty(&self) -> bool {
        self.runs.is_empty()
    }

    /// Whether operators withdrew the order for a pool.
    pub fn is_withdrawn(&self, pool: &PoolId) -> bool {
        self.runs.get(pool).is_some_and(|run| run.is_withdrawn)
    }

    /// The stage of a pool's rollout; `None` without a record.
    pub fn stage(&self, pool: &PoolId) -> Option<RolloutStage> {
        Some(self.record(pool)?.0.stage)
    }

    /// Records the listed builds of a pool's endpoints. Those of the first list that names
    /// any count as stable.
    pub fn record_listed_builds<'a>(
        &mut self,
        pool: &PoolId,
        builds: impl IntoIterator<Item = &'a BuildVersion>,
        now_ms: u64,
    ) {
        let known = self.known_builds.entry(pool.clone()).or_default();
        let is_first_list = !known.iter().any(BuildVersion::is_known);
        for build in builds {
            if known.insert(build.clone()) && !is_first_list {
                let listed_ms = self.new_builds.entry(pool.clone()).or_default();
                listed_ms.insert(build.clone(), now_ms);
            }
        }
    }

    /// The build uses that a request tries in turn before it is rejected.
    pub fn build_uses(&mut self, request: &BuildRequest<'_>, now_ms: u64) -> &'static [BuildUse] {
        let age_ms = self.age_ms(request.pool, now_ms);
        let record = self.record(request.pool).map(|(record, _)| record);
        let stage = record.map(|record| record.stage);
        let has_moved = record.is_some_and(|record| record.has_moved(request.route, age_ms));
        if self.has_moved_by_plan(request, age_ms) {
            return &[BuildUse::New, BuildUse::Any];
        }
        let Some(run) = self.runs.get_mut(request.pool) else {
            return &[BuildUse::Any];
        };
        match stage {
            None => &[BuildUse::Old, BuildUse::Any],
            Some(RolloutStage::Canary | RolloutStage::Moving)
                if !has_moved
                    && request.is_first
                    && run.exposure.admits(request.route, age_ms, request.hosts) =>
            {
                &[BuildUse::Canary, BuildUse::Old]
            }
            Some(RolloutStage::Canary | RolloutStage::RolledBack) => &[BuildUse::Old],
            Some(RolloutStage::Moving) if has_moved => &[BuildUse::New, BuildUse::Any],
            Some(RolloutStage::Moving) => &[BuildUse::Old, BuildUse::Any],
            Some(RolloutStage::Done) => &[BuildUse::New],
        }
    }

    /// Whether a request's route has moved by the plan, without news since.
    fn has_moved_by_plan(&self, request: &BuildRequest<'_>, age_ms: u64) -> bool {
        let (Some(run), Some((record, _))) =
            (self.runs.get(request.pool), self.record(request.pool))
        else {
            return false;
        };
        let within_ms = run.versioned_order.order.within_ms;
        let is_running = !record.stage.is_final();
        let has_moved = || record.has_moved_by_plan(request.route, age_ms, within_ms);
        self.is_cut_off && is_running && has_moved()
    }

    /// The build use that most requests of a pool try first.
    pub fn stable_use(&self, pool: &PoolId) -> BuildUse {
        if !self.runs.contains_key(pool) {
            return BuildUse::Any;
        }
        match self.stage(pool) {
            None | Some(RolloutStage::Canary | RolloutStage::RolledBack) => BuildUse::Old,
            Some(RolloutStage::Moving | RolloutStage::Done) => BuildUse::New,
        }
    }

    /// The builds that a use admits. [`Self::canaries`] selects the endpoints of
    /// [`BuildUse::Canary`].
    pub fn filter(&self, pool: &PoolId, build_use: BuildUse, now_ms: u64) -> BuildFilter<'_> {
        let Some(run) = self.runs.get(pool) else {
            return match self.new_builds.get(pool) {
                Some(listed_ms) => BuildFilter::Settled { listed_ms, now_ms },
                None => BuildFilter::All,
            };
        };
        let build = &run.versioned_order.order.build;
        let record = self.record(pool).map(|(record, _)| record);
        match (build_use, record) {
            (BuildUse::Any, _) | (BuildUse::New, None) => BuildFilter::All,
            (BuildUse::Old, _) if run.unproven.is_empty() => BuildFilter::Without(build),
            (BuildUse::Old, _) => BuildFilter::Proven {
                new: build,
                unproven: &run.unproven,
            },
            (BuildUse::New, Some(record)) => BuildFilter::WithoutAny(&record.from),
            (BuildUse::Canary, _) => BuildFilter::Only(build),
        }
    }

    /// The canary endpoints of the new build: few enough that each gets about the load
    /// of an old endpoint, so that failures under load show.
    pub fn canaries(
        &self,
        pool: &PoolId,
        new_endpoints: impl Iterator<Item = MemberHash>,
        old_endpoints: usize,
    ) -> Vec<MemberHash> {
        let Some(run) = self.runs.get(pool) else {
            return Vec::new();
        };
        let max_canaries = (run.exposure.share() * old_endpoints as f64)
            .ceil()
            .max(1.0) as usize;
        let key = KeyHash(run.versioned_order.version.0);
        let rank = |hash: &MemberHash| score(key, *hash, 1.0);
        let mut canaries: Vec<MemberHash> = new_endpoints.collect();
        canaries.sort_by(|a, b| rank(b).total_cmp(&rank(a)));
        canaries.truncate(max_canaries);
        canaries
    }

    /// Records the answer of an endpoint if its build takes part in a rollout that is
    /// not final. Returns whether other hosts should learn of it at once: a failure of a build
    /// that traffic has moved to, unless this host has just reported others.
    pub fn count(
        &mut self,
        pool: &PoolId,
        route: &Arc<str>,
        build: &BuildVersion,
        seen: ObservedResponse,
        at: ObservationTime,
    ) -> bool {
        let record = self.record(pool).map(|(record, _)| record);
        let Some(record) = record.filter(|record| !record.stage.is_final()) else {
            return false;
        };
        let is_moving = record.stage == RolloutStage::Moving;
        let side = if *build == record.build {
            BuildSide::New
        } else if record.from.contains(build) {
            BuildSide::Old
        } else {
            return false;
        };
        let Some(run) = self.runs.get_mut(pool) else {
            return false;
        };
        run.evidence.record(route, side, seen, at);
        let is_failure = side == BuildSide::New && seen.is_failure() == Some(true);
        let is_due = run
            .failures_reported_ms
            .is_none_or(|reported_ms| at.now_ms >= reported_ms + REPORT_INTERVAL_MS);
        let is_urgent = is_moving && is_failure && is_due;
        if is_urgent {
            run.failures_reported_ms = Some(at.now_ms);
        }
        is_urgent
    }

    /// Whether a rollout compares the answers of two builds.
    pub fn counts_answers(&self) -> bool {
        let mut pools = self.runs.keys();
        pools.any(|pool| self.stage(pool).is_some_and(|stage| !stage.is_final()))
    }

    /// The evidence of a pool's rollout.
    pub fn evidence(&self, pool: &PoolId) -> Option<&Evidence<H>> {
        self.runs.get(pool).map(|run| &run.evidence)
    }

    /// The evidence of a pool's rollout of an order, to merge reports.
    pub fn evidence_mut(&mut self, pool: &PoolId, order: StoreVersion) -> Option<&mut Evidence<H>> {
        let run = self.runs.get_mut(pool)?;
        is_same_row(run.versioned_order.version, order).then_some(&mut run.evidence)
    }

    /// Updates whether the old endpoints are idle, and returns for how long they have
    /// been, in milliseconds.
    pub fn old_idle_ms(&mut self, pool: &PoolId, is_idle: bool, now_ms: u64) -> u64 {
        let Some(run) = self.runs.get_mut(pool) else {
            return 0;
        };
        if !is_idle {
            run.old_idle_since_ms = None;
            return 0;
        }
        let since_ms = *run.old_idle_since_ms.get_or_insert(now_ms);
        now_ms.saturating_sub(since_ms)
    }

    /// Updates how many failures of the new build are known, and returns the time since they
    /// last became more, in milliseconds; `None` without failures.
    pub fn failed_ago_ms(&mut self, pool: &PoolId, failures: u32, now_ms: u64) -> Option<u64> {
        let run = self.runs.get_mut(pool)?;
        if failures > run.known_failures {
            run.failed_at_ms = Some(now_ms);
        }
        run.known_failures = failures;
        let failed_at_ms = run.failed_at_ms?;
        Some(now_ms.saturating_sub(failed_at_ms))
    }
}
