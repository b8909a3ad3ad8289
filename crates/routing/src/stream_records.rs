//! Records of where streams began, in rows of the store.
//!
//! Hosts keep these records in memory, which is gone when all of them are lost at once. One
//! host of the fleet, or of each part of a large one, therefore writes what it is told to the
//! store: many streams a row, at a bounded rate. Each row has a key of its own, so that a
//! row that has expired can be removed at any time.

use std::collections::{BTreeMap, VecDeque};
use std::fmt::Write;

use chalkrock_core::rendezvous::{KeyHash, MemberHash};
use serde::{Deserialize, Serialize};

use crate::rollout::StoreClock;
use crate::stream_builds::{StreamKey, StreamOrigin, StreamOrigins, rank_for};

/// Hosts from which on the streams are divided into parts.
const MIN_HOSTS_FOR_PARTS: usize = 64;
const PARTS: u8 = 16;
/// Most streams that wait to be written.
const MAX_PENDING: usize = 8_192;
/// Most bytes of a row. Far below what stores accept, so that a read stays short.
const MAX_ROW_BYTES: usize = 16_384;
/// Most pairs of origin and retention in a row.
const MAX_ORIGINS: usize = 256;
/// Mean time between two writes of a host.
const WRITE_INTERVAL_MS: u64 = 500;
/// Writes that may follow each other at once after a quiet time.
const BURST_WRITES: u64 = 4;
/// Most rows that one write removes.
const MAX_REMOVED: usize = 64;
/// Time by which a host's estimate of the store's clock may be ahead of another's.
const CLOCK_TOLERANCE_MS: u64 = 2_000;

/// The streams whose records one host writes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum StreamGroup {
    /// All streams of a fleet.
    All,
    /// One of the parts of the streams of a large fleet.
    Part(u8),
}

impl StreamGroup {
    /// The group of a stream in a fleet of so many hosts.
    pub fn of(key: StreamKey, hosts: usize) -> Self {
        if hosts < MIN_HOSTS_FOR_PARTS {
            Self::All
        } else {
            Self::Part(key.part(PARTS))
        }
    }

    /// The beginning of the keys of the group's rows.
    pub fn prefix(self) -> String {
        match self {
            Self::All => "all/".to_owned(),
            Self::Part(part) => format!("{part:02}/"),
        }
    }

    /// The beginnings of the keys of all rows in which a stream may be found by a host that
    /// knows so many hosts. Fleets grow and shrink, and hosts may know different numbers.
    pub fn prefixes_to_read(key: StreamKey, hosts: usize) -> Vec<String> {
        match Self::of(key, hosts) {
            Self::All => vec![String::new()],
            part @ Self::Part(_) => vec![part.prefix(), Self::All.prefix()],
        }
    }

    /// The hosts that write and read the group's rows, first ones first.
    pub fn rank<H: Copy>(self, hosts: impl IntoIterator<Item = (H, MemberHash)>) -> Vec<H> {
        rank_for(KeyHash::of(self.prefix().as_bytes()), hosts)
    }
}

/// A stream that began.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BegunStream {
    /// Identifies the stream.
    pub key: StreamKey,
    /// Where it began.
    pub origin: StreamOrigin,
    /// When it began, by the host's clock.
    pub began_ms: u64,
    /// Time for which callers may take it up.
    pub retention_ms: u32,
}

impl BegunStream {
    /// When its record expires.
    pub fn expires_ms(&self) -> u64 {
        self.began_ms.saturating_add(self.retention_ms.into())
    }
}

/// Streams that wait to be written. Newer ones replace the oldest.
#[derive(Clone, Debug, Default)]
pub struct PendingStreams {
    streams: VecDeque<(StreamGroup, BegunStream)>,
}

impl PendingStreams {
    /// Adds a stream. Returns whether an older one was dropped.
    pub fn push(&mut self, group: StreamGroup, stream: BegunStream) -> bool {
        let is_full = self.streams.len() >= MAX_PENDING;
        if is_full {
            self.streams.pop_front();
        }
        self.streams.push_back((group, stream));
        is_full
    }

    /// Takes all streams.
    pub fn take_all(&mut self) -> impl Iterator<Item = BegunStream> + use<> {
        let streams = std::mem::take(&mut self.streams).into_iter();
        streams.map(|(_, stream)| stream)
    }

    /// Takes a row of each group, the oldest streams first. Drops those that have expired, and
    /// those that no row has room for.
    pub fn take_rows(&mut self, now_ms: u64) -> BTreeMap<StreamGroup, Vec<BegunStream>> {
        let mut sizes: BTreeMap<StreamGroup, RowSize> = BTreeMap::new();
        let mut rows: BTreeMap<StreamGroup, Vec<BegunStream>> = BTreeMap::new();
        for (group, stream) in std::mem::take(&mut self.streams) {
            if stream.expires_ms() <= now_ms {
                continue;
            }
            if sizes.entry(group).or_default().try_add(&stream) {
                rows.entry(group).or_default().push(stream);
            } else if RowSize::default().try_add(&stream) {
                self.streams.push_back((group, stream));
            }
        }
        rows
    }

    /// Returns streams whose write failed, the newest ones as far as there is room. Returns
    /// how many were dropped.
    pub fn put_back(&mut self, rows: BTreeMap<StreamGroup, Vec<BegunStream>>) -> usize {
        let rows = rows.into_iter();
        let streams = rows.flat_map(|(group, row)| row.into_iter().map(move |s| (group, s)));
        let mut streams: Vec<(StreamGroup, BegunStream)> = streams.collect();
        streams.sort_by_key(|(_, stream)| stream.began_ms);
        let room = MAX_PENDING.saturating_sub(self.streams.len());
        let dropped = streams.len().saturating_sub(room);
        for stream in streams.into_iter().skip(dropped).rev() {
            self.streams.push_front(stream);
        }
        dropped
    }

    /// The number of streams that wait.
    pub fn len(&self) -> usize {
        self.streams.len()
    }

    /// Whether no streams wait.
    pub fn is_empty(&self) -> bool {
        self.streams.is_empty()
    }
}

/// An upper bound of the bytes of a row.
#[derive(Default)]
struct RowSize {
    origins: Vec<(StreamOrigin, u32)>,
    bytes: usize,
}

impl RowSize {
    /// Adds a stream if there is room for it. Returns whether it was added.
    fn try_add(&mut self, stream: &BegunStream) -> bool {
        /// Version, times, and the lengths of the two lists.
        const MAX_HEAD_BYTES: usize = 32;
        /// Key, index of the origin and age.
        const MAX_STREAM_BYTES: usize = 8 + 3 + 5;
        /// Pool, length of the build's name, and retention.
        const MAX_ORIGIN_BYTES: usize = 5 + 5 + 5;
        let mut bytes = self.bytes + MAX_STREAM_BYTES;
        if bytes > MAX_ROW_BYTES - MAX_HEAD_BYTES {
            return false;
        }
        let is_same = |(origin, retention_ms): &(StreamOrigin, u32)| {
            *origin == stream.origin && *retention_ms == stream.retention_ms
        };
        if !self.origins.iter().any(is_same) {
            bytes += MAX_ORIGIN_BYTES + stream.origin.build.as_str().len();
            if self.origins.len() >= MAX_ORIGINS || bytes > MAX_ROW_BYTES - MAX_HEAD_BYTES {
                return false;
            }
            self.origins
                .push((stream.origin.clone(), stream.retention_ms));
        }
        self.bytes = bytes;
        true
    }
}

/// A row as its bytes hold it. New formats are appended.
#[derive(Debug, Serialize, Deserialize)]
enum RowFormat {
    First(RowContent),
}

#[derive(Debug, Serialize, Deserialize)]
struct RowContent {
    written_at_ms: u64,
    era: u64,
    /// Origins and retentions, each once.
    origins: Vec<(StreamOrigin, u32)>,
    streams: Vec<RowStream>,
}

#[derive(Debug, Serialize, Deserialize)]
struct RowStream {
    /// Of fixed length: hashes are longer as numbers of variable length.
    key: [u8; 8],
    /// Position of the origin.
    origin: u16,
    /// Age when the row was written.
    age_ms: u32,
}

/// Records of streams, read from a row.
#[derive(Debug)]
pub struct StreamRow(RowContent);

impl StreamRow {
    /// Encodes a row that is written at `now_ms` of the host's clock and at `clock` of the
    /// store's.
    pub fn encode(streams: &[BegunStream], clock: StoreClock, now_ms: u64) -> Vec<u8> {
        let mut content = RowContent {
            written_at_ms: clock.now_ms,
            era: clock.era,
            origins: Vec::new(),
            streams: Vec::with_capacity(streams.len()),
        };
        for stream in streams {
            let origin = (stream.origin.clone(), stream.retention_ms);
            let known = content.origins.iter().position(|known| *known == origin);
            let index = known.unwrap_or_else(|| {
                content.origins.push(origin);
                content.origins.len() - 1
            });
            content.streams.push(RowStream {
                key: stream.key.to_bytes(),
                origin: index as u16,
                age_ms: now_ms.saturating_sub(stream.began_ms) as u32,
            });
        }
        postcard::to_stdvec(&RowFormat::First(content)).unwrap_or_default()
    }

    /// Decodes a row; `None` if it can't be read.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        let (RowFormat::First(content), rest) = postcard::take_from_bytes(bytes).ok()?;
        let mut streams = content.streams.iter();
        let is_valid = streams.all(|stream| usize::from(stream.origin) < content.origins.len());
        (rest.is_empty() && is_valid).then_some(Self(content))
    }

    /// The number of streams that it records.
    pub fn len(&self) -> usize {
        self.0.streams.len()
    }

    /// Whether it records no streams.
    pub fn is_empty(&self) -> bool {
        self.0.streams.is_empty()
    }

    /// Time until no record of the row can be valid any more. A row of an earlier era holds none:
    /// a store that was restored may lack the row that contradicts it, and may have another
    /// clock.
    pub fn expires_in_ms(&self, clock: StoreClock) -> u64 {
        if self.0.era < clock.era {
            return 0;
        }
        let streams = self.0.streams.iter();
        let left = streams.map(|stream| {
            let age_ms = self.age_ms(stream, clock).unwrap_or_default();
            self.retention_ms(stream).saturating_sub(age_ms)
        });
        left.max().unwrap_or_default()
    }

    /// Merges the records that are valid into those that a host remembers. Returns their
    /// number.
    pub fn merge_into(&self, origins: &mut StreamOrigins, clock: StoreClock, now_ms: u64) -> usize {
        let mut merged = 0;
        for stream in &self.0.streams {
            let Some(age_ms) = self.age_ms(stream, clock) else {
                continue;
            };
            let left_ms = self.retention_ms(stream).saturating_sub(age_ms);
            if left_ms > 0 {
                let (origin, _) = &self.0.origins[usize::from(stream.origin)];
                let key = StreamKey::from_bytes(stream.key);
                origins.record_stored(key, origin.clone(), age_ms, now_ms, left_ms);
                merged += 1;
            }
        }
        merged
    }

    fn retention_ms(&self, stream: &RowStream) -> u64 {
        self.0.origins[usize::from(stream.origin)].1.into()
    }

    /// Age of a stream by the store's clock; `None` if that is not the row's clock.
    fn age_ms(&self, stream: &RowStream, clock: StoreClock) -> Option<u64> {
        let written_at_ms = self.0.written_at_ms;
        let is_same_clock = clock.era == self.0.era
            && written_at_ms <= clock.now_ms.saturating_add(CLOCK_TOLERANCE_MS);
        let since_written_ms = clock.now_ms.saturating_sub(written_at_ms);
        is_same_clock.then(|| since_written_ms.saturating_add(stream.age_ms.into()))
    }
}

/// Limits the writes of a host: a few may follow each other at once, two a second in the long
/// run.
#[derive(Clone, Copy, Debug, Default)]
pub struct WritePace {
    /// When all writes so far would have been made one interval after another.
    even_ms: u64,
}

impl WritePace {
    /// Time until the next write may be made.
    pub fn wait_ms(&self, now_ms: u64) -> u64 {
        let ahead_ms = self.even_ms.saturating_sub(now_ms);
        ahead_ms.saturating_sub((BURST_WRITES - 1) * WRITE_INTERVAL_MS)
    }

    /// Records a write.
    pub fn record_write(&mut self, now_ms: u64) {
        self.even_ms = self.even_ms.max(now_ms) + WRITE_INTERVAL_MS;
    }
}

/// Keys of rows that a host removes once they have expired: its own, and those that it read.
#[derive(Clone, Debug, Default)]
pub struct WrittenRows {
    rows: Vec<(u64, String)>,
    written: u32,
}

impl WrittenRows {
    /// A key that no other row has. `writer` identifies a host and its start.
    pub fn next_key(&mut self, group: StreamGroup, writer: u64) -> String {
        let mut key = group.prefix();
        let _never_fails = write!(key, "{writer:016x}/{:08x}", self.written);
        self.written += 1;
        key
    }

    /// Records a row that expires at `expires_ms`, unless it is known.
    pub fn add(&mut self, key: String, expires_ms: u64) {
        if !self.rows.iter().any(|(_, known)| *known == key) {
            self.rows.push((expires_ms, key));
        }
    }

    /// Takes keys of rows that have expired.
    pub fn take_expired(&mut self, now_ms: u64) -> Vec<String> {
        let is_expired = |(expires_ms, _): &mut (u64, String)| *expires_ms <= now_ms;
        let expired = self.rows.extract_if(.., is_expired).take(MAX_REMOVED);
        expired.map(|(_, key)| key).collect()
    }

    /// Returns keys whose removal failed.
    pub fn put_back(&mut self, keys: Vec<String>, now_ms: u64) {
        self.rows.extend(keys.into_iter().map(|key| (now_ms, key)));
    }

    /// When the last of the rows expires.
    pub fn last_expires_ms(&self) -> Option<u64> {
        self.rows.iter().map(|(expires_ms, _)| *expires_ms).max()
    }
}
