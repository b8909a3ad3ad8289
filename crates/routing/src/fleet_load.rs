//! Requests in progress on each endpoint, over the whole fleet.
//!
//! Each host counts its own and tells the others a few times a second. A
//! report replaces the one before it; counts of a host that has fallen silent
//! stop counting after [`REPORT_AGE_MAX_MS`]. In a large fleet a host hears the
//! hosts of its own availability zone, and of the other zones only sums, each
//! from several relays; one relay's sum of a zone counts, never two. Counts belong to an endpoint's
//! incarnation, whose name is its own, and outlive its entry in the list: a
//! request that runs on an endpoint that is no longer listed is still there.

use std::collections::{BTreeMap, HashMap};
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
}

#[derive(Clone, Debug)]
struct Known {
    report: HostReport,
    heard_at_ms: u64,
}

/// What a relay told of a zone.
#[derive(Clone, Debug)]
struct KnownZone {
    hosts: u32,
    counts: BTreeMap<u32, u32>,
    heard_at_ms: u64,
    path: WordPath,
}

impl KnownZone {
    fn is_recent(&self, now_ms: u64) -> bool {
        now_ms.saturating_sub(self.heard_at_ms) <= REPORT_AGE_MAX_MS
    }

    /// Takes a newer part. Returns what it replaces. Counts that are not of
    /// the part's range are not taken.
    fn take(&mut self, part: &ZoneSum) -> Vec<EndpointCount> {
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
struct ZoneLoads<H> {
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
    fn merge(
        &mut self,
        relay: H,
        part: &ZoneSum,
        path: WordPath,
        now_ms: u64,
        others: &mut Totals,
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

    fn forget_silent(&mut self, now_ms: u64, others: &mut Totals) {
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
    fn count_best(&mut self, others: &mut Totals) {
        let best = best(&self.relays, |_| true).map(|(relay, _)| relay.clone());
        if best != self.counted {
            self.count(best, others);
        }
    }

    fn count(&mut self, relay: Option<H>, others: &mut Totals) {
        let counts = |relay: &Option<H>| {
            let known = relay.as_ref().and_then(|relay| self.relays.get(relay));
            known.map(KnownZone::counts).unwrap_or_default()
        };
        others.remove(&counts(&self.counted));
        others.add(&counts(&relay));
        self.counted = relay;
    }

    fn hosts(&self) -> usize {
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

/// Requests by endpoint, added up. What is told is not checked, and may be no
/// count at all: the sums have room for any.
#[derive(Clone, Debug, Default)]
struct Totals(HashMap<u32, u64>);

impl Totals {
    fn add(&mut self, counts: &[EndpointCount]) {
        for count in counts {
            *self.0.entry(count.endpoint).or_default() += u64::from(count.in_progress);
        }
    }

    /// Takes away what was added.
    fn remove(&mut self, counts: &[EndpointCount]) {
        for count in counts {
            if let Some(sum) = self.0.get_mut(&count.endpoint) {
                *sum = sum.saturating_sub(u64::from(count.in_progress));
                if *sum == 0 {
                    self.0.remove(&count.endpoint);
                }
            }
        }
    }

    fn of(&self, endpoint: u32) -> u32 {
        let sum = self.0.get(&endpoint).copied().unwrap_or(0);
        sum.min(u64::from(u32::MAX)) as u32
    }

    fn total(&self) -> u32 {
        let total = self.0.values().copied().fold(0, u64::saturating_add);
        total.min(u64::from(u32::MAX)) as u32
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
    /// What was told of other zones.
    zones: HashMap<u32, ZoneLoads<H>>,
    /// The sum of all that counts, kept by what changes: adding all reports up
    /// anew at each of them took a third of a core in a fleet of 300.
    others: Totals,
}

impl<H> Default for FleetLoad<H> {
    fn default() -> Self {
        Self {
            own: HashMap::new(),
            hosts: HashMap::new(),
            zones: HashMap::new(),
            others: Totals::default(),
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
        self.own(endpoint).saturating_add(self.others.of(endpoint))
    }

    /// All of this host's requests.
    pub fn own_total(&self) -> u32 {
        self.own.values().sum()
    }

    /// All requests of the fleet.
    pub fn total(&self) -> u32 {
        self.own_total().saturating_add(self.others.total())
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
        self.others.add(&report.counts);
        let known = Known {
            report,
            heard_at_ms: now_ms,
        };
        if let Some(earlier) = self.hosts.insert(host, known) {
            self.others.remove(&earlier.report.counts);
        }
        Merged::Taken
    }

    /// Takes a zone's sum, or a part of it, from a relay.
    pub fn merge_zone(&mut self, relay: H, part: ZoneSum, path: WordPath, now_ms: u64) {
        let of_zone = self.zones.entry(part.zone).or_default();
        of_zone.merge(relay, &part, path, now_ms, &mut self.others);
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
        let sums = self.zones.iter().filter_map(|(&zone, of_zone)| {
            let may_pass =
                |known: &KnownZone| known.path == WordPath::Direct && known.is_recent(now_ms);
            let (_, known) = best(&of_zone.relays, may_pass)?;
            Some(ZoneSum {
                zone,
                hosts: known.hosts,
                range: HashRange::ALL,
                counts: known.counts(),
            })
        });
        let mut sums: Vec<ZoneSum> = sums.collect();
        sums.sort_by_key(|sum| sum.zone);
        sums
    }

    /// Drops the counts of hosts that have fallen silent.
    pub fn expire(&mut self, now_ms: u64) {
        let others = &mut self.others;
        self.hosts.retain(|_, known| {
            let is_kept = is_recent(known, now_ms);
            if !is_kept {
                others.remove(&known.report.counts);
            }
            is_kept
        });
        for of_zone in self.zones.values_mut() {
            of_zone.forget_silent(now_ms, others);
            of_zone.count_best(others);
        }
    }

    /// How many hosts of other zones are known by their zones' sums.
    pub fn far_hosts(&self) -> usize {
        self.zones.values().map(ZoneLoads::hosts).sum()
    }

    /// How many other hosts were heard of late.
    pub fn hosts_heard(&self, now_ms: u64) -> usize {
        let heard = self.hosts.values();
        let near = heard.filter(|known| is_recent(known, now_ms)).count();
        near + self.far_hosts()
    }
}

fn add(counts: &mut HashMap<u32, u32>, more: &[EndpointCount]) {
    for count in more {
        let sum = counts.entry(count.endpoint).or_default();
        // What was told is not checked, and may be no count at all.
        *sum = sum.saturating_add(count.in_progress);
    }
}

fn count_of((&endpoint, &in_progress): (&u32, &u32)) -> EndpointCount {
    EndpointCount {
        endpoint,
        in_progress,
    }
}

fn sorted(counts: &HashMap<u32, u32>) -> Vec<EndpointCount> {
    let mut sorted: Vec<EndpointCount> = counts.iter().map(count_of).collect();
    sorted.sort_by_key(|count| count.endpoint);
    sorted
}

fn is_recent(known: &Known, now_ms: u64) -> bool {
    now_ms.saturating_sub(known.heard_at_ms) <= REPORT_AGE_MAX_MS
}
