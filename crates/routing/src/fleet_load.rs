//! Requests in progress on each endpoint, over the whole fleet.
//!
//! Each host counts its own and tells the others a few times a second. A
//! report replaces the one before it; counts of a host that has fallen silent
//! stop counting after [`REPORT_AGE_MAX_MS`]. Counts belong to an endpoint's
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

/// Whether a report was taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Merged {
    /// It is the newest of its host.
    Taken,
    /// It came late or twice, or from an earlier life.
    Old,
}

#[derive(Clone, Debug)]
struct Known {
    report: HostReport,
    heard_at_ms: u64,
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
    /// The sum of the reports that count.
    others: HashMap<u32, u32>,
}

impl<H> Default for FleetLoad<H> {
    fn default() -> Self {
        Self {
            own: HashMap::new(),
            hosts: HashMap::new(),
            others: HashMap::new(),
        }
    }
}

impl<H: Eq + Hash> FleetLoad<H> {
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
        self.own(endpoint) + self.others.get(&endpoint).copied().unwrap_or(0)
    }

    /// All of this host's requests.
    pub fn own_total(&self) -> u32 {
        self.own.values().sum()
    }

    /// This host's counts, to report.
    pub fn own_counts(&self) -> Vec<EndpointCount> {
        let counts = self.own.iter();
        let mut counts: Vec<_> = counts
            .map(|(&endpoint, &in_progress)| EndpointCount {
                endpoint,
                in_progress,
            })
            .collect();
        counts.sort_by_key(|count| count.endpoint);
        counts
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

    /// Drops the counts of hosts that have fallen silent.
    pub fn expire(&mut self, now_ms: u64) {
        self.sum(now_ms);
    }

    /// How many other hosts were heard of late.
    pub fn hosts_heard(&self, now_ms: u64) -> usize {
        let heard = self.hosts.values();
        heard.filter(|known| is_recent(known, now_ms)).count()
    }

    /// Adds the recent reports up anew. With bounded fan-out a host hears few
    /// others, so that this stays small; at 8 hosts and 22 endpoints it is
    /// 150 additions a report.
    fn sum(&mut self, now_ms: u64) {
        self.others.clear();
        for known in self.hosts.values().filter(|known| is_recent(known, now_ms)) {
            for count in &known.report.counts {
                *self.others.entry(count.endpoint).or_default() += count.in_progress;
            }
        }
    }
}

fn is_recent(known: &Known, now_ms: u64) -> bool {
    now_ms.saturating_sub(known.heard_at_ms) <= REPORT_AGE_MAX_MS
}
