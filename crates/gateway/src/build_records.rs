//! Keeps the records of the builds that pools had, and learns from them what was listed
//! before this host followed the list.
//!
//! A host that reads the list from the store reads the records there too. The others ask a
//! host. Any host may write a record; as with rollouts, each waits for those of a better
//! rank, and of two concurrent writes one succeeds.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::sync::Arc;
use std::time::Duration;

use chalkrock_core::{BuildVersion, PoolId};
use chalkrock_routing::{
    BuildRecord, FleetPast, RecordChange, StoreClock, StoreVersion, StoredBuilds, SubscriptionRole,
};
use rand::RngExt;
use rand::seq::IteratorRandom;
use tokio::time::Instant;

use crate::clock::ms;
use crate::event_log::Event;
use crate::outage_log::OutageLog;
use crate::peers::{Datagram, PeerTable, ask_for_builds};
use crate::shared::Shared;
use crate::source::{BuildRecordWrite, Source, SourceError};

/// Interval at which a host checks whether it lacks the past or a record lacks a build.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Interval at which the records are compared with a list that has not changed.
const COMPARE_INTERVAL: Duration = Duration::from_millis(1_000);
/// Delay of a write for each host of a better rank, which covers two rounds of messages and
/// an answer of the store.
const RANK_DELAY: Duration = Duration::from_millis(400);
/// Time for which a build has to be missing from the list before its record says so. Until
/// then the record claims less than it could. Hosts do not all learn of a new endpoint at
/// once, and an endpoint that restarts may be the only one of its build.
const UNLISTED_DELAY: Duration = Duration::from_millis(2_000);
/// Time for hosts that the store answers to write before others do.
const READER_HEAD_START: Duration = Duration::from_secs(1);
/// Random pause, in milliseconds, after a failed call of the store.
const STORE_PAUSE_MS: RangeInclusive<u64> = 300..=900;
/// Random pause, in milliseconds, after a host could not tell the past.
const PEER_PAUSE_MS: RangeInclusive<u64> = 30..=90;
/// Hosts that are asked before this one reads the store. All hosts that start at once ask
/// the few that read.
const MAX_PEER_ASKS: u32 = 6;

impl Shared {
    /// Records that the list of endpoints was that of the store `ago_ms` ago.
    pub(crate) fn confirm_list(&self, ago_ms: u64) {
        if !self.knows_endpoints() {
            return;
        }
        let now_ms = self.clock.now_ms();
        let mut fleet = self.fleet();
        let gap = fleet.build_history.gap();
        fleet.build_history.confirm(now_ms, ago_ms);
        let has_gap = fleet.build_history.gap() != gap;
        drop(fleet);
        if has_gap {
            self.metrics.count("endpoint_list_gaps_total", "", 1);
            self.past_wanted.notify_one();
        }
    }

    /// Adds the past that was requested after a gap.
    fn learn_past(&self, past: &FleetPast, gap: u64, from: &str) {
        let now_ms = self.clock.now_ms();
        let is_learned = self.fleet().build_history.learn(past, gap, now_ms);
        if !is_learned {
            return;
        }
        self.event_log.emit(&Event::PastLearned {
            pools: past.pools.len(),
            from,
        });
        self.past_learned.notify_waiters();
    }

    /// Keeps a record that another host has written.
    pub(crate) fn keep_build_records(&self, records: Vec<StoredBuilds>) {
        let now_ms = self.clock.now_ms();
        let mut fleet = self.fleet();
        for stored in records {
            fleet.build_history.set_record(stored, now_ms);
        }
        drop(fleet);
        self.past_learned.notify_waiters();
    }
}

/// Keeps the records until the process ends. Without `peers`, this host is alone.
pub(crate) async fn keep_build_records<S: Source>(
    shared: Arc<Shared>,
    source: Arc<S>,
    peers: Option<Arc<PeerTable>>,
) {
    let mut keeper = RecordKeeper {
        shared,
        source,
        peers,
        asks: 0,
        ask_at: Instant::now(),
        due_since: HashMap::new(),
        compared: None,
        outage: OutageLog::new("platform-builds"),
    };
    loop {
        let wanted = keeper.shared.past_wanted.notified();
        let _checks_at_intervals = tokio::time::timeout(CHECK_INTERVAL, wanted).await;
        keeper.learn_past().await;
        keeper.write_due().await;
    }
}

struct RecordKeeper<S> {
    shared: Arc<Shared>,
    source: Arc<S>,
    peers: Option<Arc<PeerTable>>,
    /// Hosts asked for the past since it was last read from the store.
    asks: u32,
    /// When the past may be requested again.
    ask_at: Instant,
    /// Changes that records lack, and since when.
    due_since: HashMap<PoolId, (RecordChange, Instant)>,
    /// The list that was last compared with the records, and when.
    compared: Option<(StoreVersion, Instant)>,
    outage: OutageLog,
}

impl<S: Source> RecordKeeper<S> {
    /// Learns what was listed before this host followed the list, if it does not know.
    async fn learn_past(&mut self) {
        if !self.shared.knows_endpoints() || Instant::now() < self.ask_at {
            return;
        }
        let Some(gap) = self.gap_to_close() else {
            self.asks = 0;
            return;
        };
        let pause = if self.reads_store(gap) {
            self.asks = 0;
            let read = self.read_records(gap).await;
            pause_ms(STORE_PAUSE_MS, read.is_err())
        } else {
            self.asks += 1;
            let is_learned = self.ask_peer().await;
            pause_ms(PEER_PAUSE_MS, !is_learned)
        };
        self.ask_at = Instant::now() + ms(pause);
    }

    /// Whether the store answers this host.
    fn reads_list(&self) -> bool {
        self.shared.subscription.role() == SubscriptionRole::Answered
    }

    /// The last gap, if the past before it is not known.
    fn gap_to_close(&self) -> Option<u64> {
        let fleet = self.shared.fleet();
        let history = &fleet.build_history;
        history.lacks_past().then(|| history.gap())
    }

    /// Whether this host reads the records, as it reads the list, or because no other host
    /// tells the past.
    fn reads_store(&self, gap: u64) -> bool {
        let is_alone = self.peers.is_none();
        // Records say nothing of a list that nobody has confirmed.
        is_alone || self.reads_list() || (gap > 0 && self.asks >= MAX_PEER_ASKS)
    }

    async fn read_records(&mut self, gap: u64) -> Result<StoreClock, SourceError> {
        let read = self.call(self.source.builds()).await;
        let read = self.log_outage(read)?;
        let past = FleetPast::from_records(&read.records, read.clock);
        let now_ms = self.shared.clock.now_ms();
        let mut fleet = self.shared.fleet();
        fleet.build_history.replace_records(read.records, now_ms);
        drop(fleet);
        self.compared = None;
        self.shared.learn_past(&past, gap, "platform");
        Ok(read.clock)
    }

    /// Asks another host for the past. Returns whether it told it.
    async fn ask_peer(&mut self) -> bool {
        let Some(address) = self.peers.as_ref().and_then(|peers| any_host(peers)) else {
            return false;
        };
        let asked_at_ms = self.shared.clock.now_ms();
        let Some(update) = ask_for_builds(&self.shared, address).await else {
            return false;
        };
        let now_ms = self.shared.clock.now_ms();
        let waited_ms = now_ms.saturating_sub(asked_at_ms);
        let mut fleet = self.shared.fleet();
        let has_list = update.endpoints <= fleet.endpoints_version;
        for stored in update.records {
            fleet.build_history.set_record(stored, now_ms);
        }
        drop(fleet);
        if has_list {
            self.shared
                .confirm_list(update.confirmed_ago_ms + waited_ms);
        }
        let gap = self.shared.fleet().build_history.gap();
        self.compared = None;
        self.shared.learn_past(&update.past, gap, "peer");
        true
    }

    /// Writes the records that lack a change, once hosts of a better rank have had time to.
    async fn write_due(&mut self) {
        for (pool, listed) in self.due_pools() {
            self.write(&pool, listed).await;
        }
    }

    /// The pools whose record is to be written now, with the builds that they list.
    fn due_pools(&mut self) -> Vec<(PoolId, BTreeSet<BuildVersion>)> {
        self.shared.detect_suspension();
        let now_ms = self.shared.clock.now_ms();
        let fleet = self.shared.fleet();
        let version = fleet.endpoints_version;
        if !self.shared.has_view() || !fleet.build_history.is_current(now_ms) {
            self.due_since.clear();
            self.compared = None;
            return Vec::new();
        }
        let is_compared = self
            .compared
            .is_some_and(|(compared, at)| compared == version && at.elapsed() < COMPARE_INTERVAL);
        if is_compared && self.due_since.is_empty() {
            return Vec::new();
        }
        let now = Instant::now();
        self.compared = Some((version, now));
        let mut pools = fleet.listed_builds();
        for stored in fleet.build_history.records() {
            pools.entry(stored.pool).or_default();
        }
        let history = &fleet.build_history;
        let changes: BTreeMap<PoolId, RecordChange> = pools
            .iter()
            .filter_map(|(pool, listed)| {
                let change = history.missing_change(pool, listed, version.era())?;
                Some((pool.clone(), change))
            })
            .collect();
        drop(fleet);
        self.due_since
            .retain(|pool, (change, _)| changes.get(pool) == Some(change));
        for (pool, change) in changes {
            self.due_since.entry(pool).or_insert((change, now));
        }
        let rank = self
            .peers
            .as_ref()
            .map_or(Some(0), |peers| peers.writer_rank());
        let Some(rank) = rank else {
            return Vec::new();
        };
        let reads_list = self.peers.is_none() || self.reads_list();
        let head_start = if reads_list {
            Duration::ZERO
        } else {
            READER_HEAD_START
        };
        let rank_delay = head_start + RANK_DELAY * rank as u32;
        let delay = |change: RecordChange| match change {
            RecordChange::Missing => rank_delay,
            RecordChange::Unlisted => UNLISTED_DELAY + rank_delay,
        };
        let due = self.due_since.iter();
        let due = due.filter(|(_, (change, since))| since.elapsed() >= delay(*change));
        let due = due.map(|(pool, _)| (pool.clone(), pools.remove(pool).unwrap_or_default()));
        due.collect()
    }

    /// The store's clock, if it has answered this host in the era of the list.
    fn clock(&self) -> Option<StoreClock> {
        let era = self.shared.fleet().endpoints_version.era();
        self.source.clock().filter(|clock| clock.era == era)
    }

    /// The next record of a pool, and the version that it replaces.
    fn next_record(
        &self,
        pool: &PoolId,
        listed: BTreeSet<BuildVersion>,
        clock: StoreClock,
    ) -> Option<(BuildRecord, StoreVersion)> {
        let now_ms = self.shared.clock.now_ms();
        let mut fleet = self.shared.fleet();
        fleet.record_listed_builds(now_ms);
        let history = &fleet.build_history;
        let record = history.record(pool, listed, clock, now_ms)?;
        Some((record, history.record_version(pool)))
    }

    async fn write(&mut self, pool: &PoolId, listed: BTreeSet<BuildVersion>) {
        let Some(clock) = self.clock() else {
            let gap = self.shared.fleet().build_history.gap();
            let read = self.read_records(gap).await;
            tokio::time::sleep(ms(pause_ms(STORE_PAUSE_MS, read.is_err()))).await;
            return;
        };
        let Some((record, replaces)) = self.next_record(pool, listed, clock) else {
            return;
        };
        let written = self
            .call(self.source.write_builds(pool, &record, replaces))
            .await;
        self.due_since.remove(pool);
        self.compared = None;
        let Ok(written) = self.log_outage(written) else {
            tokio::time::sleep(ms(pause_ms(STORE_PAUSE_MS, true))).await;
            return;
        };
        let (version, record, is_own) = match written {
            BuildRecordWrite::Written(version) => (version, Some(record), true),
            BuildRecordWrite::Conflict { version, record } => (version, record, false),
        };
        self.adopt(pool, version, record, clock, is_own);
    }

    /// Adopts the record that the store holds after a write, and tells the other hosts.
    fn adopt(
        &self,
        pool: &PoolId,
        version: StoreVersion,
        record: Option<BuildRecord>,
        clock: StoreClock,
        is_own: bool,
    ) {
        let now_ms = self.shared.clock.now_ms();
        let mut fleet = self.shared.fleet();
        let history = &mut fleet.build_history;
        if version == StoreVersion::default() {
            history.remove_record(pool);
            return;
        }
        let stored = StoredBuilds {
            pool: pool.clone(),
            version,
            record,
        };
        if !is_own && let Some(record) = &stored.record {
            history.add_builds(pool, &record.past(clock), now_ms);
        }
        history.set_record(stored.clone(), now_ms);
        drop(fleet);
        self.shared.past_learned.notify_waiters();
        if let Some(record) = &stored.record {
            self.shared.event_log.emit(&Event::BuildsRecorded {
                pool,
                listed: &record.listed,
                version,
                from: if is_own { "own" } else { "platform" },
            });
        }
        let Some(peers) = &self.peers else {
            return;
        };
        let hosts = peers.hosts_to_ask().into_iter();
        let hosts: Vec<_> = hosts.map(|(address, _)| address).collect();
        let datagram = Datagram::BuildRecords(vec![stored]);
        self.shared.send_to_hosts(&datagram, &hosts);
    }

    /// Makes a call of the store, for as long as the store's silence is not an outage.
    async fn call<T>(
        &self,
        call: impl Future<Output = Result<T, SourceError>>,
    ) -> Result<T, SourceError> {
        let timeout = ms(self.shared.config.follow.bound_ms);
        let no_answer = || SourceError::Unavailable("no answer in time".to_owned());
        let answer = tokio::time::timeout(timeout, call).await;
        answer.unwrap_or_else(|_| Err(no_answer()))
    }

    fn log_outage<T>(&mut self, answer: Result<T, SourceError>) -> Result<T, SourceError> {
        match &answer {
            Ok(_) => self.outage.worked(&self.shared),
            Err(error) => self.outage.failed(&self.shared, error),
        }
        answer
    }
}

/// A host that is up or, if this one has not heard of any yet, one that may be.
fn any_host(peers: &PeerTable) -> Option<SocketAddr> {
    peers.any_up().or_else(|| {
        let hosts = peers.hosts_to_ask().into_iter();
        let hosts = hosts.map(|(address, _)| address);
        hosts.choose(&mut rand::rng())
    })
}

/// The pause after a call, in milliseconds: a random one of a range after a failure.
fn pause_ms(range: RangeInclusive<u64>, has_failed: bool) -> u64 {
    if has_failed {
        rand::rng().random_range(range)
    } else {
        0
    }
}
