//! All rollouts as one host knows them.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::hash::Hash;
use std::sync::Arc;

use chalkrock_core::rendezvous::{KeyHash, MemberHash, score};
use chalkrock_core::{BuildVersion, PoolId};

use crate::StoreVersion;
use crate::rollout::evidence::{BuildSide, Evidence, ObservedResponse};
use crate::rollout::exposure::{Exposure, ExposureBound};
use crate::rollout::order::{Given, RolloutOrder, RolloutOrderRow, RolloutOrders};
use crate::rollout::stage::{RolloutRecord, RolloutStage};

/// How long an endpoint of a build that its pool has not run before is sent nothing: so
/// long after its row was written an order for it is known. Rows and orders come by
/// ways of their own.
const ORDER_DELAY_MS: u64 = 1_000;

/// Which endpoints of a pool a request may go to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BuildUse {
    /// All.
    Any,
    /// Not those of the build that a rollout moves to.
    Old,
    /// Not those that it moves from.
    New,
    /// The few of the new build that are tried.
    Canary,
}

/// Builds whose endpoints a request may be sent to.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum BuildFilter<'a> {
    /// All.
    All,
    /// All but one.
    Without(&'a BuildVersion),
    /// All but some.
    WithoutAny(&'a BTreeSet<BuildVersion>),
    /// One.
    Only(&'a BuildVersion),
    /// All but those that came up of late, for which an order may be on its way.
    Settled {
        /// When each build was first listed.
        listed_ms: &'a HashMap<BuildVersion, u64>,
        /// The present.
        now_ms: u64,
    },
}

impl BuildFilter<'_> {
    /// Whether it lets a build pass.
    pub fn admits(&self, build: &BuildVersion) -> bool {
        match self {
            BuildFilter::All => true,
            BuildFilter::Without(other) => build != *other,
            BuildFilter::WithoutAny(others) => !others.contains(build),
            BuildFilter::Only(wanted) => build == *wanted,
            BuildFilter::Settled { listed_ms, now_ms } => {
                let listed_ms = listed_ms.get(build);
                listed_ms.is_none_or(|listed_ms| *now_ms >= listed_ms + ORDER_DELAY_MS)
            }
        }
    }
}

/// The endpoints of a pool by build, as far as a decision needs them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PoolBuilds {
    /// Slots of those of the new build that may be given work.
    pub new_slots: u32,
    /// Slots of those of the old ones.
    pub old_slots: u32,
    /// Requests at endpoints of the old ones, leaving ones included.
    pub old_in_progress: u32,
    /// Requests at those of the new one.
    pub new_in_progress: u32,
}

/// A request that is to be sent.
#[derive(Clone, Copy, Debug)]
pub struct BuildRequest<'a> {
    /// Its pool.
    pub pool: &'a PoolId,
    /// Its route.
    pub route: &'a Arc<str>,
    /// Whether it was sent nowhere yet, so that it may be one of those that try a new
    /// build.
    pub is_first: bool,
    /// Hosts of the fleet.
    pub hosts: usize,
}

/// A rollout of one pool.
#[derive(Clone, Debug)]
struct Run<H> {
    given: Given,
    /// When the order was given, on this host's clock; before that clock began if it
    /// is negative.
    began_ms: i64,
    is_withdrawn: bool,
    exposure: Exposure,
    evidence: Evidence<H>,
    /// Since when nothing was seen to run at the old endpoints.
    old_idle_since_ms: Option<u64>,
}

/// The newest record of a pool that is known, be it of another order than the one that
/// is.
#[derive(Clone, Debug, Default)]
struct Recorded {
    /// Its version at the store; a record that replaces it has to name it.
    version: StoreVersion,
    /// `None` if it can't be read.
    record: Option<RolloutRecord>,
    /// When its order was given, on this host's clock.
    began_ms: i64,
}

/// All rollouts as one host knows them; `H` names hosts.
#[derive(Clone, Debug)]
pub struct Rollouts<H> {
    bound: ExposureBound,
    orders: RolloutOrders,
    runs: BTreeMap<PoolId, Run<H>>,
    /// Word of a record may come before word of its order.
    recorded: BTreeMap<PoolId, Recorded>,
    /// When each build of a pool was first listed, but for those listed at the start.
    new_builds: HashMap<PoolId, HashMap<BuildVersion, u64>>,
    known_builds: BTreeMap<PoolId, BTreeSet<BuildVersion>>,
}

impl Recorded {
    fn is_of(&self, order: StoreVersion) -> bool {
        self.record
            .as_ref()
            .is_some_and(|record| record.order == order)
    }
}

impl<H: Clone + Eq + Hash> Rollouts<H> {
    /// None is known.
    pub fn new(bound: ExposureBound) -> Self {
        Self {
            bound,
            orders: RolloutOrders::default(),
            runs: BTreeMap::new(),
            recorded: BTreeMap::new(),
            new_builds: HashMap::new(),
            known_builds: BTreeMap::new(),
        }
    }

    /// The orders, to pass on.
    pub fn orders(&self) -> &RolloutOrders {
        &self.orders
    }

    /// How old the order for a pool is.
    pub fn age_ms(&self, pool: &PoolId, now_ms: u64) -> u64 {
        let run = self.runs.get(pool);
        run.map_or(0, |run| (now_ms as i64 - run.began_ms).max(0) as u64)
    }

    /// Takes orders that were read or passed on. `draw`: any number from 0 up to 1.
    pub fn merge_orders(&mut self, orders: &RolloutOrders, draw: f64, now_ms: u64) -> bool {
        let is_news = self.orders.merge(orders);
        self.orders_changed(is_news, draw, now_ms)
    }

    /// Takes the orders as they were read whole.
    pub fn replace_orders(&mut self, orders: RolloutOrders, draw: f64, now_ms: u64) -> bool {
        let is_news = self.orders.replace(orders);
        self.orders_changed(is_news, draw, now_ms)
    }

    /// Takes the orders of a part of the store's history.
    pub fn apply_order_changes(
        &mut self,
        rows: &[RolloutOrderRow],
        until: StoreVersion,
        draw: f64,
        now_ms: u64,
    ) -> bool {
        let is_news = self.orders.apply_changes(rows, until);
        self.orders_changed(is_news, draw, now_ms)
    }

    /// Begins what was ordered, if the orders are news. Returns whether they are.
    fn orders_changed(&mut self, is_news: bool, draw: f64, now_ms: u64) -> bool {
        if !is_news {
            return false;
        }
        for (pool, run) in &mut self.runs {
            run.is_withdrawn = self.orders.get(pool).is_none();
        }
        let given: Vec<(PoolId, Given)> = self
            .orders
            .iter()
            .map(|(pool, given)| (pool.clone(), given.clone()))
            .collect();
        for (pool, given) in given {
            let known = self.runs.get(&pool);
            if known.is_some_and(|run| run.given.version == given.version) {
                continue;
            }
            let recorded = self.recorded.get(&pool);
            let recorded = recorded.filter(|recorded| recorded.is_of(given.version));
            let began_ms = recorded.map_or(now_ms as i64, |recorded| recorded.began_ms);
            let within_ms = given.order.within_ms;
            let run = Run {
                given,
                began_ms,
                is_withdrawn: false,
                exposure: Exposure::new(self.bound, within_ms, draw),
                evidence: Evidence::default(),
                old_idle_since_ms: None,
            };
            self.runs.insert(pool, run);
        }
        true
    }

    /// Takes the age of the order for a pool, as another host knows it: whoever heard
    /// of the order first is right.
    pub fn merge_age(&mut self, pool: &PoolId, order: StoreVersion, age_ms: u64, now_ms: u64) {
        if let Some(run) = self.runs.get_mut(pool)
            && run.given.version == order
        {
            run.began_ms = run.began_ms.min(now_ms as i64 - age_ms as i64);
        }
    }

    /// Takes a record that was written, read or passed on, if it is newer. Returns
    /// whether it changes what is in force.
    pub fn merge_record(
        &mut self,
        pool: &PoolId,
        record: RolloutRecord,
        version: StoreVersion,
        now_ms: u64,
    ) -> bool {
        let known = self.recorded.entry(pool.clone()).or_default();
        if version <= known.version {
            return false;
        }
        let began_ms = now_ms as i64 - record.age_ms as i64;
        let order = record.order;
        *known = Recorded {
            version,
            record: Some(record),
            began_ms,
        };
        let run = self.runs.get_mut(pool);
        let Some(run) = run.filter(|run| run.given.version == order) else {
            return false;
        };
        run.began_ms = run.began_ms.min(began_ms);
        run.old_idle_since_ms = None;
        true
    }

    /// A write was refused for what stands at the store, which goes before what this
    /// host believes also if its version is lower. The next record replaces it; one that
    /// is missing or can't be read (`None`) changes nothing else. Returns whether it
    /// changes what is in force.
    pub fn record_stored(
        &mut self,
        pool: &PoolId,
        record: Option<RolloutRecord>,
        version: StoreVersion,
        now_ms: u64,
    ) -> bool {
        let known = self.recorded.entry(pool.clone()).or_default();
        match record {
            Some(record) => {
                if version < known.version {
                    *known = Recorded::default();
                }
                self.merge_record(pool, record, version, now_ms)
            }
            None => {
                known.version = version;
                false
            }
        }
    }

    /// The record of a pool's order and its version at the store, to pass on.
    pub fn record(&self, pool: &PoolId) -> Option<(&RolloutRecord, StoreVersion)> {
        let run = self.runs.get(pool)?;
        let recorded = self.recorded.get(pool)?;
        let is_in_force = recorded.is_of(run.given.version);
        Some((
            recorded.record.as_ref().filter(|_| is_in_force)?,
            recorded.version,
        ))
    }

    /// The version at the store that a pool's next record replaces.
    pub fn record_version(&self, pool: &PoolId) -> StoreVersion {
        let recorded = self.recorded.get(pool);
        recorded
            .map(|recorded| recorded.version)
            .unwrap_or_default()
    }

    /// Pools whose rollout is known, with what was ordered.
    pub fn pools(&self) -> impl Iterator<Item = (&PoolId, &RolloutOrder)> {
        let runs = self.runs.iter();
        runs.map(|(pool, run)| (pool, &run.given.order))
    }

    /// The order that a pool's rollout carries out.
    pub fn order(&self, pool: &PoolId) -> Option<(StoreVersion, &RolloutOrder)> {
        let run = self.runs.get(pool)?;
        Some((run.given.version, &run.given.order))
    }

    /// Whether any rollout is known.
    pub fn is_empty(&self) -> bool {
        self.runs.is_empty()
    }

    /// Whether operators took the order for a pool back.
    pub fn is_withdrawn(&self, pool: &PoolId) -> bool {
        self.runs.get(pool).is_some_and(|run| run.is_withdrawn)
    }

    /// How far the rollout of a pool has come; `None` without a record.
    pub fn stage(&self, pool: &PoolId) -> Option<RolloutStage> {
        Some(self.record(pool)?.0.stage)
    }

    /// Takes note of the builds that a pool's endpoints run. Those of the first list
    /// are taken for the usual ones.
    pub fn record_listed_builds<'a>(
        &mut self,
        pool: &PoolId,
        builds: impl IntoIterator<Item = &'a BuildVersion>,
        now_ms: u64,
    ) {
        let is_first = !self.known_builds.contains_key(pool);
        let known = self.known_builds.entry(pool.clone()).or_default();
        for build in builds {
            if known.insert(build.clone()) && !is_first {
                let of_pool = self.new_builds.entry(pool.clone()).or_default();
                of_pool.insert(build.clone(), now_ms);
            }
        }
    }

    /// The build of each pool, if each has only ever run one that is known.
    pub fn stable_builds(&self) -> Option<Vec<(PoolId, BuildVersion)>> {
        let pools = self.known_builds.iter();
        let only = pools.map(|(pool, builds)| {
            let build = builds.first().filter(|build| build.is_known())?;
            (builds.len() == 1).then(|| (pool.clone(), build.clone()))
        });
        only.collect()
    }

    /// What a request of a pool tries, in this order, before it is refused.
    pub fn build_uses(&mut self, wish: &BuildRequest<'_>, now_ms: u64) -> &'static [BuildUse] {
        let age_ms = self.age_ms(wish.pool, now_ms);
        let record = self.record(wish.pool).map(|(record, _)| record);
        let stage = record.map(|record| record.stage);
        let has_moved = record.is_some_and(|record| record.has_moved(wish.route, age_ms));
        let Some(run) = self.runs.get_mut(wish.pool) else {
            return &[BuildUse::Any];
        };
        match stage {
            None => &[BuildUse::Old, BuildUse::Any],
            Some(RolloutStage::Canary | RolloutStage::Moving)
                if !has_moved
                    && wish.is_first
                    && run.exposure.admits(wish.route, age_ms, wish.hosts) =>
            {
                &[BuildUse::Canary, BuildUse::Old]
            }
            Some(RolloutStage::Canary | RolloutStage::RolledBack) => &[BuildUse::Old],
            Some(RolloutStage::Moving) if has_moved => &[BuildUse::New, BuildUse::Any],
            Some(RolloutStage::Moving) => &[BuildUse::Old, BuildUse::Any],
            Some(RolloutStage::Done) => &[BuildUse::New],
        }
    }

    /// What most requests of a pool try first.
    pub fn stable_use(&self, pool: &PoolId) -> BuildUse {
        if !self.runs.contains_key(pool) {
            return BuildUse::Any;
        }
        match self.stage(pool) {
            None | Some(RolloutStage::Canary | RolloutStage::RolledBack) => BuildUse::Old,
            Some(RolloutStage::Moving | RolloutStage::Done) => BuildUse::New,
        }
    }

    /// The builds that a request of a pool may be sent to by a use. Which endpoints of
    /// a new one are tried is asked of [`Self::canaries`].
    pub fn filter(&self, pool: &PoolId, by: BuildUse, now_ms: u64) -> BuildFilter<'_> {
        let Some(run) = self.runs.get(pool) else {
            return match self.new_builds.get(pool) {
                Some(listed_ms) => BuildFilter::Settled { listed_ms, now_ms },
                None => BuildFilter::All,
            };
        };
        let build = &run.given.order.build;
        let record = self.record(pool).map(|(record, _)| record);
        match (by, record) {
            (BuildUse::Any, _) | (BuildUse::New, None) => BuildFilter::All,
            (BuildUse::Old, _) => BuildFilter::Without(build),
            (BuildUse::New, Some(record)) => BuildFilter::WithoutAny(&record.from),
            (BuildUse::Canary, _) => BuildFilter::Only(build),
        }
    }

    /// The endpoints of the new build that are tried: so few that each carries about as
    /// much as an old one does, so that a build that is bad under load shows it.
    pub fn canaries(
        &self,
        pool: &PoolId,
        new: impl Iterator<Item = MemberHash>,
        old: usize,
    ) -> Vec<MemberHash> {
        let Some(run) = self.runs.get(pool) else {
            return Vec::new();
        };
        let wanted = (run.exposure.share() * old as f64).ceil().max(1.0) as usize;
        let key = KeyHash(run.given.version.0);
        let rank = |hash: &MemberHash| score(key, *hash, 1.0);
        let mut new: Vec<MemberHash> = new.collect();
        new.sort_by(|a, b| rank(b).total_cmp(&rank(a)));
        new.truncate(wanted);
        new
    }

    /// Counts what was seen of an answer, if the build that gave it is one that a
    /// rollout is about.
    pub fn count(
        &mut self,
        pool: &PoolId,
        route: &Arc<str>,
        build: &BuildVersion,
        seen: ObservedResponse,
    ) {
        let record = self.record(pool).map(|(record, _)| record);
        let Some(record) = record.filter(|record| !record.stage.is_final()) else {
            return;
        };
        let side = if *build == record.build {
            BuildSide::New
        } else if record.from.contains(build) {
            BuildSide::Old
        } else {
            return;
        };
        if let Some(run) = self.runs.get_mut(pool) {
            run.evidence.record(route, side, seen);
        }
    }

    /// What is known of a pool's answers.
    pub fn evidence(&self, pool: &PoolId) -> Option<&Evidence<H>> {
        self.runs.get(pool).map(|run| &run.evidence)
    }

    /// The same, to take what others told.
    pub fn evidence_mut(&mut self, pool: &PoolId, order: StoreVersion) -> Option<&mut Evidence<H>> {
        let run = self.runs.get_mut(pool)?;
        (run.given.version == order).then_some(&mut run.evidence)
    }

    /// Takes note of whether the old endpoints are idle. Returns for how long they have
    /// been.
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
}
