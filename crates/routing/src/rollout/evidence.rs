//! What came of requests at the old and the new build.
//!
//! Each host counts its own answers; the counts only grow within one life of the host,
//! so that whoever hears them twice, late or out of order takes the larger ones. Times
//! are counted by bins of a quarter of an octave.

use std::collections::{BTreeMap, HashMap};
use std::hash::Hash;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// Which build answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum BuildSide {
    /// A build that the pool ran before.
    Old,
    /// The one that it moves to.
    New,
}

/// What is counted of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Measure {
    /// Bin 1 if it failed, else bin 0.
    Failure,
    /// The time to its first byte, at an endpoint that holds the request's prefix.
    FirstByteHeld,
    /// The same at one that may not hold it: a build that has just started holds none.
    FirstByte,
    /// The mean time between two events of a stream; the whole time of a call.
    Pace,
}

impl Measure {
    /// Whether its bins are times.
    pub fn is_time(self) -> bool {
        self != Measure::Failure
    }
}

/// What a host saw of an answer. Its first byte is told as it comes: slow answers take
/// long to end.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ObservedResponse {
    /// It began.
    Began {
        /// Time from the send to its first byte, in milliseconds.
        first_byte_ms: f64,
        /// Whether the endpoint was seen to hold the request's prefix.
        holds_prefix: bool,
    },
    /// It came whole.
    Ended {
        /// Time between its events, or of the whole call; `None` if it says nothing of
        /// the build, as at an endpoint that is cold.
        pace_ms: Option<f64>,
    },
    /// It failed, broke off or never came.
    Failed,
}

/// Counts of one route, side and measure.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TallyRow {
    /// The route.
    pub route: Arc<str>,
    /// The build that answered.
    pub side: BuildSide,
    /// What is counted.
    pub measure: Measure,
    /// Answers by bin.
    pub bins: BTreeMap<u8, u32>,
}

type Key = (Arc<str>, BuildSide, Measure);

/// What was counted of one route by one measure, by bins.
pub(super) struct Stratum<'a> {
    pub(super) route: &'a Arc<str>,
    pub(super) measure: Measure,
    pub(super) new: &'a BTreeMap<u8, u32>,
    /// `None` if the old build gave no such answer.
    pub(super) old: Option<&'a BTreeMap<u8, u32>>,
}

/// Counts of answers.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(from = "Vec<TallyRow>", into = "Vec<TallyRow>")]
pub struct Tally(BTreeMap<Key, BTreeMap<u8, u32>>);

impl From<Vec<TallyRow>> for Tally {
    fn from(rows: Vec<TallyRow>) -> Self {
        let rows = rows.into_iter();
        Self(
            rows.map(|row| ((row.route, row.side, row.measure), row.bins))
                .collect(),
        )
    }
}

impl From<Tally> for Vec<TallyRow> {
    fn from(tally: Tally) -> Self {
        let rows = tally.0.into_iter();
        rows.map(|((route, side, measure), bins)| TallyRow {
            route,
            side,
            measure,
            bins,
        })
        .collect()
    }
}

impl Tally {
    /// Counts what was seen of an answer to a request of a route.
    pub fn record(&mut self, route: &Arc<str>, side: BuildSide, seen: ObservedResponse) {
        match seen {
            ObservedResponse::Began {
                first_byte_ms,
                holds_prefix,
            } => {
                let measure = if holds_prefix {
                    Measure::FirstByteHeld
                } else {
                    Measure::FirstByte
                };
                self.add(route, side, measure, bin_of(first_byte_ms), 1);
            }
            ObservedResponse::Ended { pace_ms } => {
                self.add(route, side, Measure::Failure, 0, 1);
                if let Some(ms) = pace_ms {
                    self.add(route, side, Measure::Pace, bin_of(ms), 1);
                }
            }
            ObservedResponse::Failed => self.add(route, side, Measure::Failure, 1, 1),
        }
    }

    /// Adds what another tally counts.
    pub fn add_all(&mut self, other: &Tally) {
        for ((route, side, measure), bins) in &other.0 {
            for (&bin, &count) in bins {
                self.add(route, *side, *measure, bin, count);
            }
        }
    }

    /// Answers of a side.
    pub fn answers(&self, side: BuildSide) -> u32 {
        let rows = self.0.iter();
        let of_side = rows.filter(|((_, of, measure), _)| *of == side && !measure.is_time());
        of_side.flat_map(|(_, bins)| bins.values()).sum()
    }

    /// Failures of a side.
    pub fn failures(&self, side: BuildSide) -> u32 {
        let rows = self.0.iter();
        let of_side = rows.filter(|((_, of, measure), _)| *of == side && !measure.is_time());
        of_side.filter_map(|(_, bins)| bins.get(&1)).sum()
    }

    /// Each route and measure of which the new build gave answers.
    pub(super) fn strata(&self) -> impl Iterator<Item = Stratum<'_>> {
        let of_new = self
            .0
            .iter()
            .filter(|((_, side, _), _)| *side == BuildSide::New);
        of_new.map(|((route, _, measure), new)| Stratum {
            route,
            measure: *measure,
            new,
            old: self.0.get(&(route.clone(), BuildSide::Old, *measure)),
        })
    }

    fn add(&mut self, route: &Arc<str>, side: BuildSide, measure: Measure, bin: u8, count: u32) {
        let bins = self.0.entry((route.clone(), side, measure)).or_default();
        let known = bins.entry(bin).or_default();
        *known = known.saturating_add(count);
    }
}

/// Bins in an octave.
const BINS_AN_OCTAVE: f64 = 4.0;

fn bin_of(ms: f64) -> u8 {
    (ms.max(1.0).log2() * BINS_AN_OCTAVE).min(f64::from(u8::MAX)) as u8
}

/// Whose counts these are.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum EvidenceSource<H> {
    /// One life of a host, which told so itself.
    Host {
        /// The host.
        host: H,
        /// Which life of it.
        incarnation: u64,
    },
    /// A zone, as one of its relays summed it up.
    Zone {
        /// The short hash of the zone.
        zone: u32,
        /// The relay.
        relay: H,
    },
}

/// Counts of all hosts of the fleet, as one host knows them.
#[derive(Clone, Debug)]
pub struct Evidence<H> {
    local_tally: Tally,
    told: HashMap<EvidenceSource<H>, Tally>,
    /// How long the longest request of each route stayed, whoever saw it.
    max_service_times_ms: BTreeMap<Arc<str>, u64>,
}

impl<H> Default for Evidence<H> {
    fn default() -> Self {
        Self {
            local_tally: Tally::default(),
            told: HashMap::new(),
            max_service_times_ms: BTreeMap::new(),
        }
    }
}

impl<H: Clone + Eq + Hash> Evidence<H> {
    /// This host saw something of an answer.
    pub fn record(&mut self, route: &Arc<str>, side: BuildSide, seen: ObservedResponse) {
        self.local_tally.record(route, side, seen);
    }

    /// What this host saw itself.
    pub fn local_tally(&self) -> &Tally {
        &self.local_tally
    }

    /// Takes what others told, each row unless as much of it is known.
    pub fn merge(&mut self, source: EvidenceSource<H>, tally: Tally) {
        let known = self.told.entry(source).or_default();
        let total = |bins: &BTreeMap<u8, u32>| bins.values().sum::<u32>();
        for (key, bins) in tally.0 {
            let of_row = known.0.entry(key).or_default();
            if total(&bins) >= total(of_row) {
                *of_row = bins;
            }
        }
    }

    /// Someone saw a request of a route stay so long.
    pub fn record_service_time(&mut self, route: &Arc<str>, service_ms: u64) {
        let longest_ms = self.max_service_times_ms.entry(route.clone()).or_default();
        *longest_ms = service_ms.max(*longest_ms);
    }

    /// How long the longest request of each route stayed.
    pub fn max_service_times_ms(&self) -> &BTreeMap<Arc<str>, u64> {
        &self.max_service_times_ms
    }

    /// What this host and those of its zone saw, to tell other zones.
    pub fn zone_tally(&self) -> Tally {
        let mut sum = self.local_tally.clone();
        for (source, tally) in &self.told {
            if matches!(source, EvidenceSource::Host { .. }) {
                sum.add_all(tally);
            }
        }
        sum
    }

    /// What the whole fleet saw. Of a zone's relays the one that tells of most answers
    /// counts: they sum up the same hosts.
    pub fn combined_tally(&self) -> Tally {
        let mut sum = self.zone_tally();
        let mut zones: HashMap<u32, &Tally> = HashMap::new();
        let answers = |tally: &Tally| tally.answers(BuildSide::Old) + tally.answers(BuildSide::New);
        for (source, tally) in &self.told {
            if let EvidenceSource::Zone { zone, .. } = source {
                let best = zones.entry(*zone).or_insert(tally);
                if answers(tally) > answers(best) {
                    *best = tally;
                }
            }
        }
        zones.into_values().for_each(|tally| sum.add_all(tally));
        sum
    }
}
