//! Keeps records of where streams began in the store, for the time after the loss of all
//! hosts.
//!
//! Only streams of pools with several builds are recorded: those of the others can only go on
//! at the one build. A host that records a stream tells the host that writes its group, which
//! collects records and writes them together. Hosts that started recently read them when a
//! caller takes up a stream that no host remembers.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use chalkrock_core::rendezvous::{KeyHash, MemberHash};
use chalkrock_routing::{
    BegunStream, PendingStreams, StoreClock, StreamGroup, StreamKey, StreamRow, WritePace,
    WrittenRows,
};
use tokio::sync::{Notify, watch};
use tokio::task::JoinSet;
use tokio::time::Instant;

use crate::clock::ms;
use crate::event_log::Event;
use crate::outage_log::OutageLog;
use crate::peers::{Datagram, PeerTable};
use crate::shared::Shared;
use crate::source::{Source, SourceError, StreamRecordRow};
use crate::stream_origins::{ASK_TIMEOUT, MAX_RETENTION_MS, StreamAsk, StreamRecord};

/// Hosts that read a group's records for the others.
const READERS: usize = 2;
/// Time in which records of streams that begin together are collected.
const COLLECT_TIME: Duration = Duration::from_millis(50);
/// Interval at which a starting host checks whether it knows the others.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Pause after a failed write.
const RETRY_PAUSE: Duration = Duration::from_secs(1);
/// Time after which a call counts as failed.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// Time until rows are read again.
const READ_AGAIN_MS: u64 = 5_000;
/// Time until rows are read again after a failure.
const RETRY_READ_MS: u64 = 500;
/// Time after the last record has expired until rows are removed without a write.
const REMOVE_DELAY_MS: u64 = 5_000;

/// Rows whose keys begin with a prefix, as far as this host has read them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Read {
    Due,
    Running,
    Ended { again_at_ms: u64 },
}

#[derive(Debug, Default)]
struct State {
    pending: PendingStreams,
    written: WrittenRows,
    reads: HashMap<String, Read>,
}

/// A write to the store.
#[derive(Debug, Default)]
struct Write {
    streams: BTreeMap<StreamGroup, Vec<BegunStream>>,
    add: Vec<StreamRecordRow>,
    remove: Vec<String>,
}

/// Records that wait to be written, and reads that are due.
#[derive(Debug, Default)]
pub(crate) struct StreamRecords {
    state: Mutex<State>,
    write_due: Notify,
    read_due: Notify,
    ended_reads: watch::Sender<u64>,
}

impl StreamRecords {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Adds a stream to those that wait. Returns whether an older one was dropped.
    fn queue(&self, group: StreamGroup, stream: BegunStream) -> bool {
        let is_dropped = self.state().pending.push(group, stream);
        self.write_due.notify_one();
        is_dropped
    }

    /// Requests reads unless they were made a short time ago.
    fn request_reads(&self, prefixes: &[String], now_ms: u64) {
        let mut state = self.state();
        for prefix in prefixes {
            let read = state.reads.entry(prefix.clone()).or_insert(Read::Due);
            if matches!(read, Read::Ended { again_at_ms } if *again_at_ms <= now_ms) {
                *read = Read::Due;
            }
        }
        drop(state);
        self.read_due.notify_one();
    }

    /// Marks reads that are due as running, and returns them.
    fn begin_reads(&self) -> Vec<String> {
        let mut state = self.state();
        let due = state
            .reads
            .iter_mut()
            .filter(|(_, read)| **read == Read::Due);
        let due = due.map(|(prefix, read)| {
            *read = Read::Running;
            prefix.clone()
        });
        due.collect()
    }

    fn end_read(&self, prefix: &str, again_at_ms: u64) {
        let read = Read::Ended { again_at_ms };
        self.state().reads.insert(prefix.to_owned(), read);
        self.ended_reads.send_modify(|count| *count += 1);
    }

    /// Waits until no read of the prefixes is due or running.
    async fn wait_for_reads(&self, prefixes: &[String]) {
        let mut ended = self.ended_reads.subscribe();
        let is_reading = || {
            let state = self.state();
            let mut reads = prefixes.iter().map(|prefix| state.reads.get(prefix));
            reads.any(|read| matches!(read, Some(Read::Due | Read::Running)))
        };
        while is_reading() && ended.changed().await.is_ok() {}
    }

    /// Waits until there is something to write or to remove.
    async fn wait_until_write_due(&self, shared: &Shared) {
        loop {
            let now_ms = shared.clock.now_ms();
            let (is_pending, remove_at_ms) = {
                let state = self.state();
                let expires_ms = state.written.last_expires_ms();
                let remove_at_ms = expires_ms.map(|expires_ms| expires_ms + REMOVE_DELAY_MS);
                (!state.pending.is_empty(), remove_at_ms)
            };
            if is_pending || remove_at_ms.is_some_and(|at_ms| at_ms <= now_ms) {
                return;
            }
            let wait = ms(remove_at_ms.map_or(u64::from(u32::MAX), |at_ms| at_ms - now_ms));
            let _checked_again = tokio::time::timeout(wait, self.write_due.notified()).await;
        }
    }

    /// Takes what is to be written.
    fn take_write(&self, writer: u64, clock: StoreClock, now_ms: u64) -> Write {
        let mut state = self.state();
        let State {
            pending, written, ..
        } = &mut *state;
        let streams = pending.take_rows(now_ms);
        let mut add = Vec::with_capacity(streams.len());
        for (group, streams) in &streams {
            let key = written.next_key(*group, writer);
            // Known before the write, which may take effect although it fails.
            let expires_ms = streams.iter().map(BegunStream::expires_ms).max();
            written.add(key.clone(), expires_ms.unwrap_or(now_ms));
            let value = StreamRow::encode(streams, clock, now_ms);
            add.push(StreamRecordRow { key, value });
        }
        let remove = written.take_expired(now_ms);
        Write {
            streams,
            add,
            remove,
        }
    }

    /// Returns what a failed write held. Returns how many streams were dropped.
    fn put_back(&self, write: Write, now_ms: u64) -> usize {
        let mut state = self.state();
        state.written.put_back(write.remove, now_ms);
        state.pending.put_back(write.streams)
    }
}

impl Shared {
    /// The hosts among which a group's writer and readers are, with this one.
    fn stream_record_hosts(&self) -> Vec<(SocketAddr, MemberHash)> {
        let candidates = self.stream_origins.peers();
        let candidates = candidates.map(PeerTable::scheduler_candidates);
        let candidates = candidates.unwrap_or_default().into_iter();
        candidates.map(|host| (host.host, host.hash)).collect()
    }

    /// Sends the record of a stream to the host that writes its group. A host that does not know
    /// the others yet keeps it until it does.
    pub(crate) fn record_stream_in_store(&self, record: StreamRecord) {
        let Some(peers) = self.stream_origins.peers() else {
            return;
        };
        let hosts = self.stream_record_hosts();
        let group = StreamGroup::of(record.key, hosts.len());
        if !peers.knows_fleet() {
            return self.queue_stream_record(group, record);
        }
        let writer = group.rank(hosts).first().copied();
        match writer.filter(|writer| *writer != peers.local) {
            None => self.write_stream_record(record),
            Some(writer) => {
                self.send_to_hosts(&Datagram::StreamRecordToStore(record), &[writer]);
            }
        }
    }

    /// Adds the record of a stream to those that this host writes.
    pub(crate) fn write_stream_record(&self, record: StreamRecord) {
        let hosts = self.stream_record_hosts().len();
        let records = &self.stream_records;
        let prefixes = StreamGroup::prefixes_to_read(record.key, hosts);
        let is_first = {
            let state = records.state();
            let mut reads = prefixes.iter().map(|prefix| state.reads.get(prefix));
            reads.any(|read| read.is_none())
        };
        if is_first {
            // Finds the rows of earlier writers, which this host removes once they expire.
            records.request_reads(&prefixes, self.clock.now_ms());
        }
        let group = StreamGroup::of(record.key, hosts);
        self.queue_stream_record(group, record);
    }

    fn queue_stream_record(&self, group: StreamGroup, record: StreamRecord) {
        let retention_ms = u64::from(record.retention_ms).min(MAX_RETENTION_MS);
        let stream = BegunStream {
            key: record.key,
            origin: record.origin,
            began_ms: self.clock.now_ms(),
            retention_ms: retention_ms as u32,
        };
        if self.stream_records.queue(group, stream) {
            self.metrics.count("stream_records_dropped_total", "", 1);
        }
    }

    /// Sends records that this host kept until it knew the others to the hosts that write them.
    fn pass_on_kept_records(&self) {
        let kept = self.stream_records.state().pending.take_all();
        for stream in kept {
            self.record_stream_in_store(StreamRecord {
                key: stream.key,
                origin: stream.origin,
                retention_ms: stream.retention_ms,
            });
        }
    }

    /// The hosts that read the records of a stream's group, with this one if it is one.
    pub(crate) fn stream_record_readers(&self, key: StreamKey) -> Vec<SocketAddr> {
        let hosts = self.stream_record_hosts();
        let mut readers = StreamGroup::of(key, hosts.len()).rank(hosts);
        readers.truncate(READERS);
        readers
    }

    /// Reads the store's records of a stream's group, unless this host remembers all streams
    /// that callers may take up. Waits for a read that runs.
    pub(crate) async fn read_stream_records(&self, key: StreamKey) {
        let Some(peers) = self.stream_origins.peers() else {
            return;
        };
        let now_ms = self.clock.now_ms();
        if now_ms >= MAX_RETENTION_MS || !peers.knows_fleet() {
            return;
        }
        let hosts = self.stream_record_hosts().len();
        let prefixes = StreamGroup::prefixes_to_read(key, hosts);
        self.stream_records.request_reads(&prefixes, now_ms);
        self.stream_records.wait_for_reads(&prefixes).await;
    }
}

/// Replies to a host that takes a stream up, after a read of the store's records if this host
/// doesn't remember it.
pub(crate) fn reply_by_store(shared: &Arc<Shared>, from: SocketAddr, ask: StreamAsk) {
    let now_ms = shared.clock.now_ms();
    if shared.stream_origins.known().contains(ask.key, now_ms) {
        return shared.reply_to_stream_ask(from, ask);
    }
    let shared = shared.clone();
    tokio::spawn(async move {
        let reading = shared.read_stream_records(ask.key);
        let _replies_in_any_case = tokio::time::timeout(ASK_TIMEOUT, reading).await;
        shared.reply_to_stream_ask(from, ask);
    });
}

/// Reads and writes records of streams when that is due.
pub(crate) async fn sync_stream_records<S: Source>(shared: Arc<Shared>, source: Arc<S>) {
    tokio::join!(
        write_when_due(&shared, &*source),
        read_when_due(&shared, &source)
    );
}

async fn read_when_due<S: Source>(shared: &Arc<Shared>, source: &Arc<S>) {
    let records = &shared.stream_records;
    let mut outage = OutageLog::new("platform-stream-records-read");
    // Aborts the reads when this is dropped.
    let mut reads = JoinSet::new();
    loop {
        for prefix in records.begin_reads() {
            let (shared, source) = (shared.clone(), source.clone());
            reads.spawn(async move {
                let read = read_rows(&shared, &*source, &prefix).await;
                let pause_ms = match read {
                    Ok(()) => READ_AGAIN_MS,
                    Err(_) => RETRY_READ_MS,
                };
                let again_at_ms = shared.clock.now_ms() + pause_ms;
                shared.stream_records.end_read(&prefix, again_at_ms);
                read
            });
        }
        tokio::select! {
            () = records.read_due.notified() => {}
            Some(Ok(read)) = reads.join_next() => match read {
                Ok(()) => outage.worked(shared),
                Err(error) => {
                    outage.failed(shared, &error);
                    shared.metrics.count("stream_row_reads_failed_total", "", 1);
                }
            },
        }
    }
}

async fn read_rows<S: Source>(
    shared: &Shared,
    source: &S,
    prefix: &str,
) -> Result<(), SourceError> {
    let started_at = Instant::now();
    let rows = with_timeout(source.stream_rows(prefix)).await?;
    let clock = source.clock();
    let clock = clock.ok_or_else(|| SourceError::Unavailable("no clock".to_owned()))?;
    let now_ms = shared.clock.now_ms();
    let (mut unreadable, mut streams) = (0, 0);
    for row in &rows {
        let Some(content) = StreamRow::decode(&row.value) else {
            unreadable += 1;
            continue;
        };
        let mut known = shared.stream_origins.known();
        streams += content.merge_into(&mut known, clock, now_ms);
        drop(known);
        let expires_ms = now_ms + content.expires_in_ms(clock);
        let mut state = shared.stream_records.state();
        state.written.add(row.key.clone(), expires_ms);
    }
    shared.stream_records.write_due.notify_one();
    let metrics = &shared.metrics;
    metrics.count("stream_rows_read_total", "", rows.len() as u64);
    metrics.count("stream_rows_unreadable_total", "", unreadable as u64);
    shared.event_log.emit(&Event::StreamRecordsRead {
        prefix,
        rows: rows.len(),
        unreadable,
        streams,
        took_ms: started_at.elapsed().as_millis() as u64,
    });
    Ok(())
}

async fn write_when_due<S: Source>(shared: &Shared, source: &S) {
    let records = &shared.stream_records;
    let writer = writer_id(shared);
    let mut outage = OutageLog::new("platform-stream-records");
    let mut pace = WritePace::default();
    wait_until_fleet_known(shared).await;
    shared.pass_on_kept_records();
    loop {
        records.wait_until_write_due(shared).await;
        let wait = ms(pace.wait_ms(shared.clock.now_ms()));
        tokio::time::sleep(wait.max(COLLECT_TIME)).await;
        let Some(clock) = known_clock(shared, source).await else {
            tokio::time::sleep(RETRY_PAUSE).await;
            continue;
        };
        let now_ms = shared.clock.now_ms();
        let write = records.take_write(writer, clock, now_ms);
        if write.add.is_empty() && write.remove.is_empty() {
            continue;
        }
        pace.record_write(now_ms);
        let written = source.write_stream_rows(&write.add, &write.remove);
        match with_timeout(written).await {
            Ok(()) => {
                outage.worked(shared);
                count_write(shared, &write);
            }
            Err(error) => {
                outage.failed(shared, &error);
                let dropped = records.put_back(write, shared.clock.now_ms());
                let metrics = &shared.metrics;
                metrics.count("stream_records_dropped_total", "", dropped as u64);
                tokio::time::sleep(RETRY_PAUSE).await;
            }
        }
    }
}

async fn wait_until_fleet_known(shared: &Shared) {
    let peers = shared.stream_origins.peers();
    while peers.is_some_and(|peers| !peers.knows_fleet()) {
        tokio::time::sleep(CHECK_INTERVAL).await;
    }
}

/// Identifies this host and its start.
fn writer_id(shared: &Shared) -> u64 {
    let peers = shared.stream_origins.peers();
    let start = peers.map(|peers| (peers.local, peers.incarnation));
    KeyHash::of(format!("{start:?}").as_bytes()).0
}

/// The store's clock. A host that only hears of the store from others learns it by a read.
async fn known_clock<S: Source>(shared: &Shared, source: &S) -> Option<StoreClock> {
    if source.clock().is_none() {
        let records = &shared.stream_records;
        let prefixes: Vec<String> = records.state().reads.keys().cloned().collect();
        records.request_reads(&prefixes, shared.clock.now_ms());
        records.wait_for_reads(&prefixes).await;
    }
    source.clock()
}

async fn with_timeout<T>(
    call: impl Future<Output = Result<T, SourceError>>,
) -> Result<T, SourceError> {
    let answer = tokio::time::timeout(CALL_TIMEOUT, call).await;
    answer.unwrap_or_else(|_| Err(SourceError::Unavailable("no answer".to_owned())))
}

fn count_write(shared: &Shared, write: &Write) {
    let streams: usize = write.streams.values().map(Vec::len).sum();
    let bytes: usize = write.add.iter().map(|row| row.value.len()).sum();
    let metrics = &shared.metrics;
    metrics.count("stream_rows_written_total", "", write.add.len() as u64);
    metrics.count("stream_rows_written_bytes_total", "", bytes as u64);
    metrics.count("stream_rows_removed_total", "", write.remove.len() as u64);
    metrics.count("stream_records_written_total", "", streams as u64);
}
