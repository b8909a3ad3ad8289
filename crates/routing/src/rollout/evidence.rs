//! Tallies of answers at the old and the new build.
//!
//! Each host counts its answers. Counts only grow within an incarnation of the host, so
//! that duplicate, late and reordered reports merge by taking the larger counts. Times
//! are counted in bins of a quarter octave.

use std::collections::{BTreeMap, HashMap};
use std::hash::Hash;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// The build that answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum BuildSide {
    /// A build that the pool moves from.
    Old,
    /// The build that it moves to.
    New,
}

/// A property of answers that is counted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Measure {
    /// Bin 1 for a failure, bin 0 otherwise.
    Failure,
    /// Time to the first byte, at an endpoint that holds the request's prefix.
    FirstByteHeld,
    /// Time to the first byte elsewhere; a newly started build holds no prefixes.
    FirstByte,
    /// Mean time between two events of a stream, or duration of a call.
    Pace,
}

impl Measure {
    /// Whether its bins are times.
    pub fn is_time(self) -> bool {
        self != Measure::Failure
    }
}

/// An event of an answer; the first byte is separate, since slow answers end late.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ObservedResponse {
    /// The first byte arrived.
    Began {
        /// Time from the send to the first byte, in milliseconds.
        first_byte_ms: f64,
        /// Whether the endpoint is known to hold the request's prefix.
        holds_prefix: bool,
    },
    /// The answer is complete.
    Ended {
        /// Time between events, or of the whole call, in milliseconds; `None` if not
        /// representative, such as at a cold endpoint.
        pace_ms: Option<f64>,
    },
    /// It failed, was cut off or never arrived.
    Failed,
}

/// When an event of an answer was seen.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ObservationTime {
    /// When the event was seen, on the host's clock, in milliseconds.
    pub now_ms: u64,
    /// How much of the time since the request was sent the host itself was stalled, in
    /// milliseconds; 0 if not measured.
    pub stalled_ms: u64,
}

/// Counts of one route, build side and measure.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TallyRow {
    /// The route.
    pub route: Arc<str>,
    /// The build that answered.
    pub side: BuildSide,
    /// The measure.
    pub measure: Measure,
    /// Answers by bin.
    pub bins: BTreeMap<u8, u32>,
}

/// Minimum time that a tally covers for an estimate of request rates.
const MIN_RATE_WINDOW_MS: u64 = 1_000;

type Key = (Arc<str>, BuildSide, Measure);

/// Counts of one route and measure at both builds, by bin.
pub(super) struct Stratum<'a> {
    pub(super) route: &'a Arc<str>,
    pub(super) measure: Measure,
    pub(super) new: &'a BTreeMap<u8, u32>,
    /// `None` if the old build has no such answer.
    pub(super) old: Option<&'a BTreeMap<u8, u32>>,
}

/// Counts of answers by route, build side and measure.
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
    /// Counts an event of an answer to a request of a route.
    pub fn record(&mut self, route: &Arc<str>, side: BuildSide, event: ObservedResponse) {
        match event {
            ObservedResponse::Began {
                first_byte_ms,
                holds_prefix,
            } => {
                let measure = if holds_prefix {
                    Measure::FirstByteHeld
                } else {
                    Measure::FirstByte
                };
                self.add(route, side, measure, bin_for(first_byte_ms), 1);
            }
            ObservedResponse::Ended { pace_ms } => {
                self.add(route, side, Measure::Failure, 0, 1);
                if let Some(ms) = pace_ms {
                    self.add(route, side, Measure::Pace, bin_for(ms), 1);
                }
            }
            ObservedResponse::Failed => self.add(route, side, Measure::Failure, 1, 1),
        }
    }

    /// Adds the counts of another tally.
    pub fn add_all(&mut self, other: &Tally) {
        for ((route, side, measure), bins) in &other.0 {
            for (&bin, &count) in bins {
                self.add(route, *side, *measure, bin, count);
            }
        }
    }

    /// The number of answers of a side.
    pub fn answers(&self, side: BuildSide) -> u32 {
        let rows = self.0.iter();
        let side_rows = rows.filter(|((_, of, measure), _)| *of == side && !measure.is_time());
        side_rows.flat_map(|(_, bins)| bins.values()).sum()
    }

    /// The number of failures of a side.
    pub fn failures(&self, side: BuildSide) -> u32 {
        let rows = self.0.iter();
        let side_rows = rows.filter(|((_, of, measure), _)| *of == side && !measure.is_time());
        side_rows.filter_map(|(_, bins)| bins.get(&1)).sum()
    }

    /// Requests per second of each route at both builds, if the tally covers this time
    /// in milliseconds. Counts first bytes, since long answers end late. Empty before
    /// a second has been covered.
    pub fn request_rates_per_s(&self, covered_ms: u64) -> BTreeMap<Arc<str>, f64> {
        if covered_ms < MIN_RATE_WINDOW_MS {
            return BTreeMap::new();
        }
        // Requests that began and requests that ended, of each route.
        let mut requests: BTreeMap<&Arc<str>, (u32, u32)> = BTreeMap::new();
        for ((route, _, measure), bins) in &self.0 {
            let (began, ended) = requests.entry(route).or_default();
            let count = bins.values().sum::<u32>();
            match measure {
                Measure::FirstByte | Measure::FirstByteHeld => *began += count,
                Measure::Failure => *ended += count,
                Measure::Pace => {}
            }
        }
        let seconds = covered_ms as f64 / 1_000.0;
        let rates = requests.into_iter().map(|(route, (began, ended))| {
            let rate_per_s = f64::from(began.max(ended)) / seconds;
            (route.clone(), rate_per_s)
        });
        rates.collect()
    }

    /// Each route and measure with answers of the new build.
    pub(super) fn strata(&self) -> impl Iterator<Item = Stratum<'_>> {
        let new_rows = self
            .0
            .iter()
            .filter(|((_, side, _), _)| *side == BuildSide::New);
        new_rows.map(|((route, _, measure), new)| Stratum {
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

const BINS_PER_OCTAVE: f64 = 4.0;

fn bin_for(ms: f64) -> u8 {
    (ms.max(1.0).log2() * BINS_PER_OCTAVE).min(f64::from(u8::MAX)) as u8
}

/// The source of a tally.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum EvidenceSource<H> {
    /// One incarnation of a host.
    Host {
        /// The host.
        host: H,
        /// Its incarnation.
        incarnation: u64,
    },
    /// A zone, as aggregated by one of its relays.
    Zone {
        /// The short hash of the zone.
        zone: u32,
        /// The relay.
        relay: H,
    },
}

/// Tallies of the whole fleet, as one host knows them.
#[derive(Clone, Debug)]
pub struct Evidence<H> {
    local_tally: Tally,
    reported: HashMap<EvidenceSource<H>, Tally>,
    /// Maximum service time of each route on any host.
    max_service_times_ms: BTreeMap<Arc<str>, u64>,
}

impl<H> Default for Evidence<H> {
    fn default() -> Self {
        Self {
            local_tally: Tally::default(),
            reported: HashMap::new(),
            max_service_times_ms: BTreeMap::new(),
        }
    }
}

impl<H: Clone + Eq + Hash> Evidence<H> {
    /// Counts an event of an answer to this host.
    pub fn record(
        &mut self,
        route: &Arc<str>,
        side: BuildSide,
        event: ObservedResponse,
        _at: ObservationTime,
    ) {
        self.local_tally.record(route, side, event);
    }

    /// The tally of this host.
    pub fn local_tally(&self) -> &Tally {
        &self.local_tally
    }

    /// Merges a tally, except rows with fewer answers than already known from its source.
    pub fn merge(&mut self, source: EvidenceSource<H>, tally: Tally) {
        let known = self.reported.entry(source).or_default();
        let total = |bins: &BTreeMap<u8, u32>| bins.values().sum::<u32>();
        for (key, bins) in tally.0 {
            let known_bins = known.0.entry(key).or_default();
            if total(&bins) >= total(known_bins) {
                *known_bins = bins;
            }
        }
    }

    /// Records the service time of a request, on any host, in milliseconds.
    pub fn record_service_time(&mut self, route: &Arc<str>, service_ms: u64) {
        let max_ms = self.max_service_times_ms.entry(route.clone()).or_default();
        *max_ms = service_ms.max(*max_ms);
    }

    /// Maximum service time of each route, in milliseconds.
    pub fn max_service_times_ms(&self) -> &BTreeMap<Arc<str>, u64> {
        &self.max_service_times_ms
    }

    /// The tally of this host and those of its zone, for remote zones.
    pub fn zone_tally(&self) -> Tally {
        let mut total = self.local_tally.clone();
        for (source, tally) in &self.reported {
            if matches!(source, EvidenceSource::Host { .. }) {
                total.add_all(tally);
            }
        }
        total
    }

    /// The tally of the whole fleet, with the largest of each remote zone's relays.
    pub fn combined_tally(&self) -> Tally {
        let mut total = self.zone_tally();
        let mut zones: HashMap<u32, &Tally> = HashMap::new();
        let answers = |tally: &Tally| tally.answers(BuildSide::Old) + tally.answers(BuildSide::New);
        for (source, tally) in &self.reported {
            if let EvidenceSource::Zone { zone, .. } = source {
                let best = zones.entry(*zone).or_insert(tally);
                if answers(tally) > answers(best) {
                    *best = tally;
                }
            }
        }
        zones.into_values().for_each(|tally| total.add_all(tally));
        total
    }
}
