//! Which builds a pool had, so that a host can tell whether a stream that nobody remembers
//! may have begun at another build than the one listed now.
//!
//! A host sees the builds that are listed while it follows the list. What was listed before,
//! or while it did not follow, is in a record of each pool that hosts keep in the store, and
//! in the memory of other hosts.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use chalkrock_core::{BuildVersion, PoolId};
use serde::{Deserialize, Serialize, Serializer};

use crate::rollout::StoreClock;
use crate::store_version::StoreVersion;
use crate::stream_builds::ListedBuilds;

/// How long builds that left the list are remembered, and the longest time for which a claim
/// about the past can be made.
pub const BUILD_RETENTION_MS: u64 = 120_000;

/// The builds of a pool, as the store keeps them.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct BuildRecord {
    /// The era by whose clock the times are.
    pub era: u64,
    /// When the record became complete; 0 if it always was.
    pub since_ms: u64,
    /// Builds that were listed when the record was written.
    pub listed: BTreeSet<BuildVersion>,
    /// When builds that were no longer listed had last been.
    pub last_listed_ms: BTreeMap<BuildVersion, u64>,
}

impl BuildRecord {
    /// What the record tells when it is read at `clock`. A build that it names as listed may
    /// have been listed until then.
    pub fn past(&self, clock: StoreClock) -> PoolPast {
        let ago_ms = |at_ms: u64| clock.now_ms.saturating_sub(at_ms);
        let is_same_clock = self.era == clock.era;
        let listed = self.listed.iter().map(|build| (build.clone(), 0));
        let earlier = self.last_listed_ms.iter().map(|(build, at_ms)| {
            let ago_ms = if is_same_clock { ago_ms(*at_ms) } else { 0 };
            (build.clone(), ago_ms)
        });
        PoolPast {
            complete_ms: match self.since_ms {
                // Later writes of an earlier era may be lost.
                _ if !is_same_clock => 0,
                0 if self.era == 0 => u64::MAX,
                since_ms => ago_ms(since_ms),
            },
            builds: listed.chain(earlier).collect(),
        }
    }
}

/// A record with its pool and version. Hosts exchange it in this format.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredBuilds {
    /// The pool.
    pub pool: PoolId,
    /// The version at which the record was written.
    pub version: StoreVersion,
    /// `None` if it can't be read.
    pub record: Option<BuildRecord>,
}

/// A time of a host's clock as the history keeps it: later, so that builds that were listed
/// before the host started have one too.
fn shifted_ms(now_ms: u64) -> u64 {
    now_ms.saturating_add(BUILD_RETENTION_MS)
}

/// What is known of a pool's past builds. Hosts exchange it in this format.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoolPast {
    /// The time back to which no build is missing; the maximum if none ever is.
    pub complete_ms: u64,
    /// Builds, and the time since they were last listed.
    pub builds: Vec<(BuildVersion, u64)>,
}

/// What is known of the past builds of all pools. Hosts exchange it in this format.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FleetPast {
    /// The pools with a record.
    pub pools: Vec<(PoolId, PoolPast)>,
    /// [`PoolPast::complete_ms`] of other pools.
    pub others_complete_ms: u64,
}

impl FleetPast {
    /// What a read of all records tells.
    ///
    /// In the first era, no host ever listed a build of a pool without a record. After the
    /// store was restored from a backup, the record may be lost.
    pub fn from_records(records: &[StoredBuilds], clock: StoreClock) -> Self {
        let past = |stored: &StoredBuilds| {
            let record = stored.record.as_ref();
            record.map(|record| record.past(clock)).unwrap_or_default()
        };
        let pools = records.iter();
        Self {
            pools: pools
                .map(|stored| (stored.pool.clone(), past(stored)))
                .collect(),
            others_complete_ms: if clock.era == 0 { u64::MAX } else { 0 },
        }
    }
}

/// Why the only build of a pool is not known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UnknownBuild {
    /// The pool has, or had within the window, several builds.
    SeveralBuilds,
    /// No endpoint of the pool is or was listed.
    NoBuild,
    /// Nobody has confirmed the list for longer than the bound.
    OldList,
    /// The time before this host followed the list is not known yet.
    NoRecord,
    /// The record does not cover the window.
    ShortRecord,
}

impl UnknownBuild {
    /// Its name in log lines and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::SeveralBuilds => "several-builds",
            Self::NoBuild => "no-build",
            Self::OldList => "old-list",
            Self::NoRecord => "no-record",
            Self::ShortRecord => "short-record",
        }
    }
}

impl Serialize for UnknownBuild {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(self.name())
    }
}

/// A change of a pool's builds that its record lacks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RecordChange {
    /// A listed build is missing, or the record itself.
    Missing,
    /// A build is no longer listed. Until the record says so, it counts as listed.
    Unlisted,
}

/// The past that was learned from records or another host.
#[derive(Clone, Debug)]
struct LearnedPast {
    /// The gap after which it was learned.
    gap: u64,
    learned_ms: u64,
    complete_ms: HashMap<PoolId, u64>,
    others_complete_ms: u64,
}

impl LearnedPast {
    /// The time back to which a pool's past is complete, while the list is followed.
    fn complete_ms(&self, pool: &PoolId, now_ms: u64) -> u64 {
        let complete_ms = self.complete_ms.get(pool);
        let complete_ms = complete_ms.copied().unwrap_or(self.others_complete_ms);
        complete_ms.saturating_add(now_ms.saturating_sub(self.learned_ms))
    }
}

/// The builds that pools had, as one host knows them.
///
/// # Example
///
/// ```
/// use chalkrock_core::{BuildVersion, PoolId};
/// use chalkrock_routing::{BuildHistory, FleetPast, StoreClock, UnknownBuild};
///
/// let (pool, build) = (PoolId::from("pool"), BuildVersion::from("v1"));
/// let mut history = BuildHistory::new(3_000);
/// history.confirm(1_000, 0);
/// let claim = history.only_build(&pool, [&build], 20_000, 1_100);
/// assert_eq!(claim, Err(UnknownBuild::NoRecord));
///
/// let clock = StoreClock { now_ms: 70_000, era: 0 };
/// let past = FleetPast::from_records(&[], clock);
/// history.learn(&past, history.gap(), 1_200);
/// let claim = history.only_build(&pool, [&build], 20_000, 1_300);
/// assert_eq!(claim, Ok(&build));
/// let claim = history.only_build(&pool, [&build], 20_000, 4_001);
/// assert_eq!(claim, Err(UnknownBuild::OldList));
/// ```
#[derive(Clone, Debug)]
pub struct BuildHistory {
    /// Longest age of a list by which claims are made, and longest time between two
    /// confirmations without a gap.
    bound_ms: u64,
    /// By [`shifted_ms`].
    listed: ListedBuilds,
    /// When the list was last known to be that of the store, by [`shifted_ms`].
    confirmed_ms: Option<u64>,
    /// Number of times at which the list was confirmed after longer than the bound. Builds
    /// may have come and gone before.
    gap: u64,
    learned: Option<LearnedPast>,
    stored: BTreeMap<PoolId, (StoreVersion, Option<BuildRecord>)>,
    /// Since when this host has known records that list a build.
    recorded_since_ms: HashMap<PoolId, BTreeMap<BuildVersion, u64>>,
}

impl BuildHistory {
    /// A history without a list. `bound_ms` is the longest age of a list by which claims are
    /// made.
    pub fn new(bound_ms: u64) -> Self {
        Self {
            bound_ms,
            listed: ListedBuilds::default(),
            confirmed_ms: None,
            gap: 0,
            learned: None,
            stored: BTreeMap::new(),
            recorded_since_ms: HashMap::new(),
        }
    }

    /// Records that a build is listed at `now_ms`.
    pub fn record_listed(&mut self, pool: &PoolId, build: &BuildVersion, now_ms: u64) {
        self.listed.record(pool, build, shifted_ms(now_ms));
    }

    /// Forgets builds that left the list longer than [`BUILD_RETENTION_MS`] ago.
    pub fn expire(&mut self, now_ms: u64) {
        self.listed.forget_before(now_ms);
    }

    /// Records that the list was that of the store `ago_ms` before `now_ms`.
    pub fn confirm(&mut self, now_ms: u64, ago_ms: u64) {
        let at_ms = shifted_ms(now_ms).saturating_sub(ago_ms);
        let confirmed_ms = self.confirmed_ms.unwrap_or_default();
        if self.confirmed_ms.is_none() || at_ms.saturating_sub(confirmed_ms) > self.bound_ms {
            self.gap += 1;
        }
        self.confirmed_ms = Some(confirmed_ms.max(at_ms));
    }

    /// The time since the list was confirmed; `None` if it never was.
    pub fn list_age_ms(&self, now_ms: u64) -> Option<u64> {
        Some(shifted_ms(now_ms).saturating_sub(self.confirmed_ms?))
    }

    /// Identifies the time since which the list is followed.
    pub fn gap(&self) -> u64 {
        self.gap
    }

    /// Whether the past before the last gap has to be learned.
    pub fn lacks_past(&self) -> bool {
        let learned = self.learned.as_ref();
        learned.is_none_or(|learned| learned.gap != self.gap)
    }

    /// Adds builds that a pool had, as known at `now_ms`.
    pub fn add_builds(&mut self, pool: &PoolId, past: &PoolPast, now_ms: u64) {
        for (build, ago_ms) in &past.builds {
            let listed_ms = shifted_ms(now_ms).saturating_sub(*ago_ms);
            self.listed.record_later(pool, build, listed_ms);
        }
    }

    /// Adds a past that was requested after the gap `gap` and arrived at `now_ms`. Returns
    /// whether it closes the last gap. A past that is known since then stays, as it may be
    /// longer.
    pub fn learn(&mut self, past: &FleetPast, gap: u64, now_ms: u64) -> bool {
        for (pool, past) in &past.pools {
            self.add_builds(pool, past, now_ms);
        }
        let is_current = gap == self.gap && self.confirmed_ms.is_some();
        if !is_current || !self.lacks_past() {
            return false;
        }
        let pools = past.pools.iter();
        self.learned = Some(LearnedPast {
            gap,
            learned_ms: now_ms,
            complete_ms: pools
                .map(|(pool, past)| (pool.clone(), past.complete_ms))
                .collect(),
            others_complete_ms: past.others_complete_ms,
        });
        true
    }

    /// Whether this host follows a list that is not old and knows what was listed before.
    pub fn is_current(&self, now_ms: u64) -> bool {
        self.followed_past(now_ms).is_ok()
    }

    /// The past as this host knows it, for another host; `None` if it could not make claims
    /// by it itself. The listed builds have to be recorded before.
    pub fn past(&self, now_ms: u64) -> Option<FleetPast> {
        let learned = self.followed_past(now_ms).ok()?;
        let complete_ms = |pool: &PoolId| learned.complete_ms(pool, now_ms);
        let builds = self.listed.by_pool().map(|(pool, builds)| {
            let builds = builds.iter().map(|(build, listed_ms)| {
                let ago_ms = shifted_ms(now_ms).saturating_sub(*listed_ms);
                (build.clone(), ago_ms)
            });
            let past = PoolPast {
                complete_ms: complete_ms(pool),
                builds: builds.collect(),
            };
            (pool.clone(), past)
        });
        let mut pools: BTreeMap<PoolId, PoolPast> = builds.collect();
        for pool in learned.complete_ms.keys() {
            let complete_ms = complete_ms(pool);
            pools.entry(pool.clone()).or_default().complete_ms = complete_ms;
        }
        let elapsed_ms = now_ms.saturating_sub(learned.learned_ms);
        Some(FleetPast {
            pools: pools.into_iter().collect(),
            others_complete_ms: learned.others_complete_ms.saturating_add(elapsed_ms),
        })
    }

    /// The past since before the list was followed, if the list is current.
    fn followed_past(&self, now_ms: u64) -> Result<&LearnedPast, UnknownBuild> {
        let age_ms = self.list_age_ms(now_ms).ok_or(UnknownBuild::NoRecord)?;
        if age_ms > self.bound_ms {
            return Err(UnknownBuild::OldList);
        }
        let learned = self.learned.as_ref();
        let learned = learned.filter(|learned| learned.gap == self.gap);
        learned.ok_or(UnknownBuild::NoRecord)
    }

    /// The only build that a pool had in the last `window_ms`, now among `listed`.
    ///
    /// # Errors
    ///
    /// If the pool had several, or this host can't know.
    pub fn only_build<'a>(
        &'a self,
        pool: &PoolId,
        listed: impl IntoIterator<Item = &'a BuildVersion>,
        window_ms: u64,
        now_ms: u64,
    ) -> Result<&'a BuildVersion, UnknownBuild> {
        let builds = self
            .listed
            .builds_within(pool, listed, window_ms, shifted_ms(now_ms));
        if builds.len() > 1 {
            return Err(UnknownBuild::SeveralBuilds);
        }
        let learned = self.followed_past(now_ms)?;
        if learned.complete_ms(pool, now_ms) < window_ms {
            return Err(UnknownBuild::ShortRecord);
        }
        builds.into_iter().next().ok_or(UnknownBuild::NoBuild)
    }

    /// The builds of a pool, of those in `listed`, at which streams that callers may take up
    /// begin.
    ///
    /// These are the builds that the pool's record in the store has listed for the bound: by
    /// then no host claims the past by a list without them, and a host that starts reads the
    /// record. If none has been for so long, those that were recorded first. All builds of a
    /// pool without a known record are eligible.
    pub fn stream_builds<'a>(
        &self,
        pool: &PoolId,
        listed: BTreeSet<&'a BuildVersion>,
        now_ms: u64,
    ) -> BTreeSet<&'a BuildVersion> {
        let Some(recorded) = self.recorded_since_ms.get(pool) else {
            return listed;
        };
        let since_ms = |build: &BuildVersion| recorded.get(build).copied();
        let first_ms = listed.iter().filter_map(|build| since_ms(build)).min();
        let aged_ms = now_ms.saturating_sub(self.bound_ms);
        let latest_ms = first_ms.unwrap_or_default().max(aged_ms);
        let is_eligible = |build: &&BuildVersion| {
            let since_ms = since_ms(build);
            since_ms.is_some_and(|since_ms| since_ms <= latest_ms)
        };
        listed.into_iter().filter(is_eligible).collect()
    }

    /// Replaces the known records by a read of all.
    pub fn replace_records(&mut self, records: Vec<StoredBuilds>, now_ms: u64) {
        let records = records.into_iter();
        self.stored = records
            .map(|stored| (stored.pool, (stored.version, stored.record)))
            .collect();
        let stored = &self.stored;
        self.recorded_since_ms
            .retain(|pool, _| stored.contains_key(pool));
        let pools: Vec<PoolId> = self.stored.keys().cloned().collect();
        for pool in pools {
            self.update_recorded(&pool, now_ms);
        }
    }

    /// Records what the store holds, or another host has seen there, for a pool. An older
    /// version changes nothing.
    pub fn set_record(&mut self, stored: StoredBuilds, now_ms: u64) {
        let StoredBuilds {
            pool,
            version,
            record,
        } = stored;
        let known = self.stored.get(&pool);
        if known.is_none_or(|(known, _)| *known <= version) {
            self.stored.insert(pool.clone(), (version, record));
            self.update_recorded(&pool, now_ms);
        }
    }

    /// Records that the store holds no record of a pool.
    pub fn remove_record(&mut self, pool: &PoolId) {
        self.stored.remove(pool);
        self.recorded_since_ms.remove(pool);
    }

    /// Keeps since when the builds that the record of a pool lists were recorded.
    fn update_recorded(&mut self, pool: &PoolId, now_ms: u64) {
        let mut before = self.recorded_since_ms.remove(pool).unwrap_or_default();
        let stored = self.stored.get(pool);
        let Some(record) = stored.and_then(|(_, record)| record.as_ref()) else {
            return;
        };
        let since_ms = record.listed.iter().map(|build| {
            let since_ms = before.remove(build).unwrap_or(now_ms);
            (build.clone(), since_ms)
        });
        let since_ms = since_ms.collect();
        self.recorded_since_ms.insert(pool.clone(), since_ms);
    }

    /// The known records.
    pub fn records(&self) -> impl Iterator<Item = StoredBuilds> {
        self.stored
            .iter()
            .map(|(pool, (version, record))| StoredBuilds {
                pool: pool.clone(),
                version: *version,
                record: record.clone(),
            })
    }

    /// The version of a pool's record; 0 if it has none.
    pub fn record_version(&self, pool: &PoolId) -> StoreVersion {
        let stored = self.stored.get(pool);
        stored.map_or_else(StoreVersion::default, |(version, _)| *version)
    }

    /// What the record of a pool that lists `listed` lacks in an era.
    pub fn missing_change(
        &self,
        pool: &PoolId,
        listed: &BTreeSet<BuildVersion>,
        era: u64,
    ) -> Option<RecordChange> {
        let Some((_, record)) = self.stored.get(pool) else {
            return (!listed.is_empty()).then_some(RecordChange::Missing);
        };
        let is_current = |record: &&BuildRecord| record.era >= era;
        let Some(record) = record.as_ref().filter(is_current) else {
            return Some(RecordChange::Missing);
        };
        if !listed.is_subset(&record.listed) {
            return Some(RecordChange::Missing);
        }
        (!record.listed.is_subset(listed)).then_some(RecordChange::Unlisted)
    }

    /// The record of a pool that lists `listed`, to be written at `clock`. `None` if this
    /// host does not know the pool's past.
    pub fn record(
        &self,
        pool: &PoolId,
        listed: BTreeSet<BuildVersion>,
        clock: StoreClock,
        now_ms: u64,
    ) -> Option<BuildRecord> {
        let learned = self.followed_past(now_ms).ok()?;
        let complete_ms = learned.complete_ms(pool, now_ms);
        let stored = self.stored.get(pool);
        let stored = stored.and_then(|(_, record)| record.as_ref());
        let stored = stored.filter(|record| record.era == clock.era);
        let mut last_listed_ms = BTreeMap::new();
        let mut add = |build: &BuildVersion, ago_ms: u64| {
            if !listed.contains(build) && ago_ms <= BUILD_RETENTION_MS {
                let at_ms = clock.now_ms.saturating_sub(ago_ms);
                let known_ms = last_listed_ms.entry(build.clone()).or_insert(at_ms);
                *known_ms = at_ms.max(*known_ms);
            }
        };
        let seen = self.listed.of_pool(pool);
        for (build, listed_ms) in seen.clone() {
            add(build, shifted_ms(now_ms).saturating_sub(*listed_ms));
        }
        let past = stored.map(|record| record.past(clock)).unwrap_or_default();
        for (build, ago_ms) in &past.builds {
            let is_seen = seen.clone().any(|(seen, _)| seen == build);
            if !is_seen || *ago_ms > 0 {
                add(build, *ago_ms);
            }
        }
        let since_ms = clock.now_ms.saturating_sub(complete_ms);
        Some(BuildRecord {
            era: clock.era,
            since_ms: stored.map_or(since_ms, |record| record.since_ms.min(since_ms)),
            listed,
            last_listed_ms,
        })
    }
}
