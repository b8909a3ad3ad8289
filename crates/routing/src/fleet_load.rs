//! Requests in progress on each endpoint, over the whole fleet.
//!
//! Each host counts its own and tells the others a few times a second. A
//! report replaces the one before it; counts of a host that has fallen silent
//! stop counting after [`REPORT_AGE_MAX_MS`]. In a large fleet a host hears the
//! hosts of its own availability zone, and of the other zones only sums, each
//! from several relays; one relay's sum of a zone counts, never two. Counts belong to an endpoint's
//! incarnation, whose name is its own, and outlive its entry in the list: a
//! request that runs on an endpoint that is no longer listed is still there.

use std::collections::HashMap;
use std::hash::Hash;

use serde::{Deserialize, Serialize};

/// A report that is older than this no longer counts: its host is gone, or
/// cut off, and its requests end.
pub const REPORT_AGE_MAX_MS: u64 = 1_500;

/// Requests in progress on one endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointCount {
    /// The short hash of the endpoint's name.
    pub endpoint: u32,
    /// Requests in progress.
    pub in_progress: u32,
}

/// What one host says of its own requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostReport {
    /// The life of the host; a later one is higher.
    pub incarnation: u64,
    /// The number of the report in that life.
    pub sequence: u64,
    /// Its requests by endpoint; what is not named has none.
    pub counts: Vec<EndpointCount>,
}

/// How the word of another zone came.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum WordPath {
    /// From a relay of that zone.
    Direct,
    /// From a relay of this zone, which had it from one of that zone. It is
    /// not passed on: relays would keep each other's word alive for ever.
    PassedOn,
}

/// Whether a report was taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Merged {
    /// It is the newest of its host.
    Taken,
    /// It came late or twice, or from an earlier life.
    Old,
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

/// The sum of one zone's requests, or a part of it, as a relay tells it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneSum {
    /// The short hash of the zone.
    pub zone: u32,
    /// Hosts that are summed up.
    pub hosts: u32,
    /// The endpoints that this is about; what is not named of them has none.
    pub range: HashRange,
    /// Requests by endpoint, in the order of their hashes.
    pub counts: Vec<EndpointCount>,
}

impl ZoneSum {
    /// Cuts a sum into parts of at most so many endpoints. Each part stands
    /// for itself: one that is lost leaves the others right.
    ///
    /// # Panics
    ///
    /// If `most` is 0.
    pub fn split(self, most: usize) -> Vec<ZoneSum> {
        let mut parts = Vec::new();
        let mut first = self.range.first;
        let mut chunks = self.counts.chunks(most).peekable();
        while let Some(chunk) = chunks.next() {
            let is_last = chunks.peek().is_none();
            let last = chunk.last().map_or(first, |count| count.endpoint);
            let last = if is_last { self.range.last } else { last };
            parts.push(ZoneSum {
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

    /// Takes a newer part of the same zone's sum.
    fn take(&mut self, part: ZoneSum) {
        self.hosts = part.hosts;
        self.counts
            .retain(|count| !part.range.contains(count.endpoint));
        self.counts.extend(part.counts);
        self.counts.sort_by_key(|count| count.endpoint);
    }
}

#[derive(Clone, Debug)]
struct Known {
    report: HostReport,
    heard_at_ms: u64,
}

#[derive(Clone, Debug)]
struct KnownZone {
    sum: ZoneSum,
    heard_at_ms: u64,
    path: WordPath,
}

impl KnownZone {
    fn is_recent(&self, now_ms: u64) -> bool {
        now_ms.saturating_sub(self.heard_at_ms) <= REPORT_AGE_MAX_MS
    }
}

/// The load of each endpoint as one host knows it.
///
/// # Example
///
/// ```
/// use chalkrock_routing::FleetLoad;
///
/// let mut load: FleetLoad<u32> = FleetLoad::default();
/// load.begin(7);
/// assert_eq!(load.of(7), 1);
/// load.end(7);
/// assert_eq!(load.of(7), 0);
/// ```
#[derive(Clone, Debug)]
pub struct FleetLoad<H> {
    own: HashMap<u32, u32>,
    hosts: HashMap<H, Known>,
    /// Sums of other zones, by zone and by who told them.
    zones: HashMap<u32, HashMap<H, KnownZone>>,
    /// The sum of the reports that count.
    others: HashMap<u32, u32>,
    /// Hosts of other zones that it sums up.
    far_hosts: usize,
}

impl<H> Default for FleetLoad<H> {
    fn default() -> Self {
        Self {
            own: HashMap::new(),
            hosts: HashMap::new(),
            zones: HashMap::new(),
            others: HashMap::new(),
            far_hosts: 0,
        }
    }
}

impl<H: Clone + Eq + Hash + Ord> FleetLoad<H> {
    /// A request of this host begins on an endpoint.
    pub fn begin(&mut self, endpoint: u32) {
        *self.own.entry(endpoint).or_default() += 1;
    }

    /// A request of this host ends.
    pub fn end(&mut self, endpoint: u32) {
        if let Some(count) = self.own.get_mut(&endpoint) {
            *count -= 1;
            if *count == 0 {
                self.own.remove(&endpoint);
            }
        }
    }

    /// Requests of this host on an endpoint.
    pub fn own(&self, endpoint: u32) -> u32 {
        self.own.get(&endpoint).copied().unwrap_or(0)
    }

    /// Requests of the whole fleet on an endpoint.
    pub fn of(&self, endpoint: u32) -> u32 {
        let others = self.others.get(&endpoint).copied().unwrap_or(0);
        self.own(endpoint).saturating_add(others)
    }

    /// All of this host's requests.
    pub fn own_total(&self) -> u32 {
        self.own.values().sum()
    }

    /// All requests of the fleet.
    pub fn total(&self) -> u32 {
        let others = self.others.values().copied();
        others.fold(self.own_total(), u32::saturating_add)
    }

    /// This host's counts, to report.
    pub fn own_counts(&self) -> Vec<EndpointCount> {
        sorted(&self.own)
    }

    /// Takes a host's report, if it is the newest of that host. Lives are told
    /// apart by a time of day, which may step back: a life that seems earlier
    /// is believed once the later one has fallen silent.
    pub fn merge(&mut self, host: H, report: HostReport, now_ms: u64) -> Merged {
        let of = |report: &HostReport| (report.incarnation, report.sequence);
        if let Some(known) = self.hosts.get(&host)
            && is_recent(known, now_ms)
            && of(&known.report) >= of(&report)
        {
            return Merged::Old;
        }
        let known = Known {
            report,
            heard_at_ms: now_ms,
        };
        self.hosts.insert(host, known);
        self.sum(now_ms);
        Merged::Taken
    }

    /// Takes a zone's sum, or a part of it, from a relay.
    pub fn merge_zone(&mut self, relay: H, part: ZoneSum, path: WordPath, now_ms: u64) {
        let of_zone = self.zones.entry(part.zone).or_default();
        let earlier = of_zone
            .remove(&relay)
            .filter(|known| known.is_recent(now_ms));
        let mut sum = earlier.map_or_else(
            || ZoneSum {
                range: HashRange::ALL,
                counts: Vec::new(),
                ..part
            },
            |known| known.sum,
        );
        sum.take(part);
        let known = KnownZone {
            heard_at_ms: now_ms,
            sum,
            path,
        };
        of_zone.insert(relay, known);
        self.sum(now_ms);
    }

    /// The sum of this host and those that it hears itself, for other zones.
    pub fn zone_sum(&self, zone: u32, now_ms: u64) -> ZoneSum {
        let mut counts = self.own.clone();
        let heard = self.hosts.values().filter(|known| is_recent(known, now_ms));
        let mut hosts = 1;
        for known in heard {
            hosts += 1;
            add(&mut counts, &known.report.counts);
        }
        ZoneSum {
            zone,
            hosts,
            range: HashRange::ALL,
            counts: sorted(&counts),
        }
    }

    /// The sums of the other zones that came from there, to pass on.
    pub fn far_sums(&self, now_ms: u64) -> Vec<ZoneSum> {
        let direct = |known: &KnownZone| known.path == WordPath::Direct;
        let zones = self.zones.values();
        let counted = zones.filter_map(|of| counted(of, now_ms, direct));
        let mut sums: Vec<ZoneSum> = counted.cloned().collect();
        sums.sort_by_key(|sum| sum.zone);
        sums
    }

    /// Drops the counts of hosts that have fallen silent.
    pub fn expire(&mut self, now_ms: u64) {
        self.sum(now_ms);
    }

    /// How many hosts of other zones are known by their zones' sums.
    pub fn far_hosts(&self) -> usize {
        self.far_hosts
    }

    /// How many other hosts were heard of late.
    pub fn hosts_heard(&self, now_ms: u64) -> usize {
        let heard = self.hosts.values();
        let near = heard.filter(|known| is_recent(known, now_ms)).count();
        near + self.far_hosts
    }

    /// Adds the recent reports up anew. With bounded fan-out a host hears few
    /// others, so that this stays small; at 8 hosts and 22 endpoints it is
    /// 150 additions a report.
    fn sum(&mut self, now_ms: u64) {
        self.others.clear();
        for known in self.hosts.values().filter(|known| is_recent(known, now_ms)) {
            add(&mut self.others, &known.report.counts);
        }
        self.far_hosts = 0;
        for of_zone in self.zones.values() {
            if let Some(sum) = counted(of_zone, now_ms, ANY) {
                self.far_hosts += sum.hosts as usize;
                add(&mut self.others, &sum.counts);
            }
        }
    }
}

/// Any sum may count.
const ANY: fn(&KnownZone) -> bool = |_| true;

/// The sum of a zone that counts: of the relays that were heard of late, the
/// one that sums up most hosts.
fn counted<H: Ord>(
    of_zone: &HashMap<H, KnownZone>,
    now_ms: u64,
    may_count: impl Fn(&KnownZone) -> bool,
) -> Option<&ZoneSum> {
    let recent = of_zone
        .iter()
        .filter(|(_, known)| known.is_recent(now_ms) && may_count(known));
    let most = recent.max_by(|(a, known_a), (b, known_b)| {
        let by_hosts = known_a.sum.hosts.cmp(&known_b.sum.hosts);
        by_hosts.then_with(|| a.cmp(b))
    });
    most.map(|(_, known)| &known.sum)
}

fn add(counts: &mut HashMap<u32, u32>, more: &[EndpointCount]) {
    for count in more {
        let sum = counts.entry(count.endpoint).or_default();
        // What was told is not checked, and may be no count at all.
        *sum = sum.saturating_add(count.in_progress);
    }
}

fn sorted(counts: &HashMap<u32, u32>) -> Vec<EndpointCount> {
    let mut sorted: Vec<EndpointCount> = counts
        .iter()
        .map(|(&endpoint, &in_progress)| EndpointCount {
            endpoint,
            in_progress,
        })
        .collect();
    sorted.sort_by_key(|count| count.endpoint);
    sorted
}

fn is_recent(known: &Known, now_ms: u64) -> bool {
    now_ms.saturating_sub(known.heard_at_ms) <= REPORT_AGE_MAX_MS
}
