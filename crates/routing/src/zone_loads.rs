//! Aggregates of requests by zone.
//!
//! Several relays send the aggregate of a zone, and one of them is selected. A large
//! aggregate is sent in chunks that apply independently.

use std::collections::{BTreeMap, HashMap};
use std::hash::Hash;

use serde::{Deserialize, Serialize};

use crate::in_flight::{EndpointCount, InFlightCounters, is_recent};

/// How an aggregate of a remote zone arrived.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AggregatePath {
    /// From a relay of that zone.
    Direct,
    /// Through a relay of the same zone. It is not passed on, or relays would keep it
    /// from expiring.
    Relayed,
}

/// An inclusive range of short hashes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HashRange {
    /// The first hash.
    pub first: u32,
    /// The last hash.
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

/// Requests of one zone, or of the whole fleet, added up by a relay; or a chunk of
/// that.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneAggregate {
    /// Short hash of the zone summed up, or of the one that receives the fleet's sum.
    pub zone: u32,
    /// Number of hosts included.
    pub hosts: u32,
    /// The endpoints that this covers; unlisted ones in the range have no requests.
    pub range: HashRange,
    /// Requests by endpoint, ordered by hash.
    pub counts: Vec<EndpointCount>,
}

impl ZoneAggregate {
    /// Splits an aggregate into chunks of at most `max_endpoints` endpoints. A lost chunk leaves
    /// the others valid.
    ///
    /// # Panics
    ///
    /// If `max_endpoints` is 0.
    pub fn split(self, max_endpoints: usize) -> Vec<ZoneAggregate> {
        let mut aggregates = Vec::new();
        let mut first = self.range.first;
        let mut chunks = self.counts.chunks(max_endpoints).peekable();
        while let Some(chunk) = chunks.next() {
            let is_last = chunks.peek().is_none();
            let last = chunk.last().map_or(first, |count| count.endpoint);
            let last = if is_last { self.range.last } else { last };
            aggregates.push(ZoneAggregate {
                range: HashRange { first, last },
                counts: chunk.to_vec(),
                ..self
            });
            first = last.wrapping_add(1);
        }
        if aggregates.is_empty() {
            aggregates.push(self);
        }
        aggregates
    }
}

/// The latest aggregate of a relay.
#[derive(Clone, Debug)]
struct RelayAggregate {
    hosts: u32,
    counts: BTreeMap<u32, u32>,
    received_at_ms: u64,
    path: AggregatePath,
}

impl RelayAggregate {
    fn is_recent(&self, now_ms: u64) -> bool {
        is_recent(self.received_at_ms, now_ms)
    }

    /// Replaces the counts within the chunk's range, and returns the previous ones.
    /// Ignores counts outside of the range.
    fn replace(&mut self, chunk: &ZoneAggregate) -> Vec<EndpointCount> {
        let replaced = self.counts_within(chunk.range);
        for count in &replaced {
            self.counts.remove(&count.endpoint);
        }
        let replacement = chunk.counts.iter();
        let replacement = replacement.filter(|count| chunk.range.contains(count.endpoint));
        self.counts
            .extend(replacement.map(|count| (count.endpoint, count.in_progress)));
        self.hosts = chunk.hosts;
        replaced
    }

    fn counts_within(&self, range: HashRange) -> Vec<EndpointCount> {
        if range.first > range.last {
            return Vec::new();
        }
        let in_range = self.counts.range(range.first..=range.last);
        in_range.map(to_endpoint_count).collect()
    }

    fn counts(&self) -> Vec<EndpointCount> {
        self.counts.iter().map(to_endpoint_count).collect()
    }
}

/// The aggregates of one zone by relay, of which one is selected.
#[derive(Clone, Debug)]
pub(crate) struct ZoneLoads<H> {
    relays: HashMap<H, RelayAggregate>,
    selected: Option<H>,
}

impl<H> Default for ZoneLoads<H> {
    fn default() -> Self {
        Self {
            relays: HashMap::new(),
            selected: None,
        }
    }
}

impl<H: Clone + Eq + Hash + Ord> ZoneLoads<H> {
    /// Merges a chunk of an aggregate, and applies the difference to `totals`.
    pub(crate) fn merge(
        &mut self,
        relay: H,
        chunk: &ZoneAggregate,
        path: AggregatePath,
        now_ms: u64,
        totals: &mut InFlightCounters,
    ) {
        self.expire(now_ms, totals);
        let is_selected = self.selected.as_ref() == Some(&relay);
        let known = self.relays.entry(relay).or_insert_with(|| RelayAggregate {
            hosts: 0,
            counts: BTreeMap::new(),
            received_at_ms: now_ms,
            path,
        });
        known.received_at_ms = now_ms;
        known.path = path;
        let replaced = known.replace(chunk);
        if is_selected {
            totals.remove(&replaced);
            totals.add(&known.counts_within(chunk.range));
        }
        self.select_best(totals);
    }

    pub(crate) fn expire(&mut self, now_ms: u64, totals: &mut InFlightCounters) {
        let selected = self.selected.clone();
        let is_expired = |relay: &H| {
            let known = self.relays.get(relay);
            known.is_some_and(|known| !known.is_recent(now_ms))
        };
        if selected.as_ref().is_some_and(is_expired) {
            self.select(None, totals);
        }
        self.relays.retain(|_, known| known.is_recent(now_ms));
    }

    /// Selects the relay whose aggregate includes most hosts.
    pub(crate) fn select_best(&mut self, totals: &mut InFlightCounters) {
        let best = best(&self.relays, |_| true).map(|(relay, _)| relay.clone());
        if best != self.selected {
            self.select(best, totals);
        }
    }

    fn select(&mut self, relay: Option<H>, totals: &mut InFlightCounters) {
        let counts = |relay: &Option<H>| {
            let known = relay.as_ref().and_then(|relay| self.relays.get(relay));
            known.map(RelayAggregate::counts).unwrap_or_default()
        };
        totals.remove(&counts(&self.selected));
        totals.add(&counts(&relay));
        self.selected = relay;
    }

    /// The best aggregate that came from the zone itself, to pass on.
    pub(crate) fn best_direct(&self, zone: u32, now_ms: u64) -> Option<ZoneAggregate> {
        let is_eligible =
            |known: &RelayAggregate| known.path == AggregatePath::Direct && known.is_recent(now_ms);
        let (_, known) = best(&self.relays, is_eligible)?;
        Some(ZoneAggregate {
            zone,
            hosts: known.hosts,
            range: HashRange::ALL,
            counts: known.counts(),
        })
    }

    /// The selected relay.
    pub(crate) fn selected(&self) -> Option<&H> {
        self.selected.as_ref()
    }

    pub(crate) fn contains(&self, relay: &H) -> bool {
        self.relays.contains_key(relay)
    }

    /// The number of hosts in the selected aggregate.
    pub(crate) fn hosts(&self) -> usize {
        let selected = self.selected.as_ref();
        let known = selected.and_then(|relay| self.relays.get(relay));
        known.map_or(0, |known| known.hosts as usize)
    }
}

/// The relay whose aggregate includes most hosts.
fn best<H: Ord>(
    relays: &HashMap<H, RelayAggregate>,
    is_eligible: impl Fn(&RelayAggregate) -> bool,
) -> Option<(&H, &RelayAggregate)> {
    let eligible = relays.iter().filter(|(_, known)| is_eligible(known));
    eligible.max_by(|(a, known_a), (b, known_b)| {
        let by_hosts = known_a.hosts.cmp(&known_b.hosts);
        by_hosts.then_with(|| a.cmp(b))
    })
}

fn to_endpoint_count((&endpoint, &in_progress): (&u32, &u32)) -> EndpointCount {
    EndpointCount {
        endpoint,
        in_progress,
    }
}
