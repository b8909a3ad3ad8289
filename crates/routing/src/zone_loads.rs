//! What relays tell of the requests of other zones.
//!
//! A zone's sum comes from several relays, and only one of them counts. A large
//! one comes in parts that each stand for themselves.

use std::collections::{BTreeMap, HashMap};
use std::hash::Hash;

use serde::{Deserialize, Serialize};

use crate::in_flight::{EndpointCount, InFlightCounters, is_recent};

/// How the word of another zone came.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AggregatePath {
    /// From a relay of that zone.
    Direct,
    /// From a relay of this zone, which had it from one of that zone. It is
    /// not passed on: relays would keep each other's word alive for ever.
    Relayed,
}

/// Short hashes from one to another, both included.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HashRange {
    /// The first of them.
    pub first: u32,
    /// The last of them.
    pub last: u32,
}

impl HashRange {
    /// All short hashes.
    pub const ALL: Self = Self {
        first: 0,
        last: u32::MAX,
    };

    fn contains(self, hash: u32) -> bool {
        (self.first..=self.last).contains(&hash)
    }
}

/// The sum of one zone's requests, or of the whole fleet's for one zone, or a
/// part of it, as a relay tells it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneAggregate {
    /// The short hash of the zone that is summed up, or that is told.
    pub zone: u32,
    /// Hosts that are summed up.
    pub hosts: u32,
    /// The endpoints that this is about; what is not named of them has none.
    pub range: HashRange,
    /// Requests by endpoint, in the order of their hashes.
    pub counts: Vec<EndpointCount>,
}

impl ZoneAggregate {
    /// Cuts a sum into parts of at most so many endpoints. Each part stands
    /// for itself: one that is lost leaves the others right.
    ///
    /// # Panics
    ///
    /// If `most` is 0.
    pub fn split(self, most: usize) -> Vec<ZoneAggregate> {
        let mut parts = Vec::new();
        let mut first = self.range.first;
        let mut chunks = self.counts.chunks(most).peekable();
        while let Some(chunk) = chunks.next() {
            let is_last = chunks.peek().is_none();
            let last = chunk.last().map_or(first, |count| count.endpoint);
            let last = if is_last { self.range.last } else { last };
            parts.push(ZoneAggregate {
                range: HashRange { first, last },
                counts: chunk.to_vec(),
                ..self
            });
            first = last.wrapping_add(1);
        }
        if parts.is_empty() {
            parts.push(self);
        }
        parts
    }
}

/// What a relay told of a zone.
#[derive(Clone, Debug)]
struct KnownZone {
    hosts: u32,
    counts: BTreeMap<u32, u32>,
    heard_at_ms: u64,
    path: AggregatePath,
}

impl KnownZone {
    fn is_recent(&self, now_ms: u64) -> bool {
        is_recent(self.heard_at_ms, now_ms)
    }

    /// Takes a newer part. Returns what it replaces. Counts that are not of
    /// the part's range are not taken.
    fn take(&mut self, part: &ZoneAggregate) -> Vec<EndpointCount> {
        let replaced = self.within(part.range);
        for count in &replaced {
            self.counts.remove(&count.endpoint);
        }
        let newer = part.counts.iter();
        let newer = newer.filter(|count| part.range.contains(count.endpoint));
        self.counts
            .extend(newer.map(|count| (count.endpoint, count.in_progress)));
        self.hosts = part.hosts;
        replaced
    }

    fn within(&self, range: HashRange) -> Vec<EndpointCount> {
        if range.first > range.last {
            return Vec::new();
        }
        let within = self.counts.range(range.first..=range.last);
        within.map(count_of).collect()
    }

    fn counts(&self) -> Vec<EndpointCount> {
        self.counts.iter().map(count_of).collect()
    }
}

/// What relays told of one zone. One of them counts.
#[derive(Clone, Debug)]
pub(crate) struct ZoneLoads<H> {
    relays: HashMap<H, KnownZone>,
    counted: Option<H>,
}

impl<H> Default for ZoneLoads<H> {
    fn default() -> Self {
        Self {
            relays: HashMap::new(),
            counted: None,
        }
    }
}

impl<H: Clone + Eq + Hash + Ord> ZoneLoads<H> {
    /// Takes a part of a sum, as news to what is counted in `others`.
    pub(crate) fn merge(
        &mut self,
        relay: H,
        part: &ZoneAggregate,
        path: AggregatePath,
        now_ms: u64,
        others: &mut InFlightCounters,
    ) {
        self.forget_silent(now_ms, others);
        let is_counted = self.counted.as_ref() == Some(&relay);
        let known = self.relays.entry(relay).or_insert_with(|| KnownZone {
            hosts: 0,
            counts: BTreeMap::new(),
            heard_at_ms: now_ms,
            path,
        });
        known.heard_at_ms = now_ms;
        known.path = path;
        let replaced = known.take(part);
        if is_counted {
            others.remove(&replaced);
            others.add(&known.within(part.range));
        }
        self.count_best(others);
    }

    pub(crate) fn forget_silent(&mut self, now_ms: u64, others: &mut InFlightCounters) {
        let counted = self.counted.clone();
        let is_silent = |relay: &H| {
            let known = self.relays.get(relay);
            known.is_some_and(|known| !known.is_recent(now_ms))
        };
        if counted.as_ref().is_some_and(is_silent) {
            self.count(None, others);
        }
        self.relays.retain(|_, known| known.is_recent(now_ms));
    }

    /// Counts the relay that sums up most hosts.
    pub(crate) fn count_best(&mut self, others: &mut InFlightCounters) {
        let best = best(&self.relays, |_| true).map(|(relay, _)| relay.clone());
        if best != self.counted {
            self.count(best, others);
        }
    }

    fn count(&mut self, relay: Option<H>, others: &mut InFlightCounters) {
        let counts = |relay: &Option<H>| {
            let known = relay.as_ref().and_then(|relay| self.relays.get(relay));
            known.map(KnownZone::counts).unwrap_or_default()
        };
        others.remove(&counts(&self.counted));
        others.add(&counts(&relay));
        self.counted = relay;
    }

    /// What came from the zone itself, to pass on.
    pub(crate) fn direct(&self, zone: u32, now_ms: u64) -> Option<ZoneAggregate> {
        let may_pass =
            |known: &KnownZone| known.path == AggregatePath::Direct && known.is_recent(now_ms);
        let (_, known) = best(&self.relays, may_pass)?;
        Some(ZoneAggregate {
            zone,
            hosts: known.hosts,
            range: HashRange::ALL,
            counts: known.counts(),
        })
    }

    /// The relay whose sum counts.
    pub(crate) fn counted(&self) -> Option<&H> {
        self.counted.as_ref()
    }

    /// Whether a relay's sum is known.
    pub(crate) fn knows(&self, relay: &H) -> bool {
        self.relays.contains_key(relay)
    }

    /// How many hosts the sum that counts sums up.
    pub(crate) fn hosts(&self) -> usize {
        let counted = self.counted.as_ref();
        let known = counted.and_then(|relay| self.relays.get(relay));
        known.map_or(0, |known| known.hosts as usize)
    }
}

/// Of relays, the one that sums up most hosts.
fn best<H: Ord>(
    relays: &HashMap<H, KnownZone>,
    may_count: impl Fn(&KnownZone) -> bool,
) -> Option<(&H, &KnownZone)> {
    let may_count = relays.iter().filter(|(_, known)| may_count(known));
    may_count.max_by(|(a, known_a), (b, known_b)| {
        let by_hosts = known_a.hosts.cmp(&known_b.hosts);
        by_hosts.then_with(|| a.cmp(b))
    })
}

fn count_of((&endpoint, &in_progress): (&u32, &u32)) -> EndpointCount {
    EndpointCount {
        endpoint,
        in_progress,
    }
}
