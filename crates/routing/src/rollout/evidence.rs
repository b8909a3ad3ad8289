//! Tallies of answers at the old and the new build.
//!
//! Each host counts its answers. Counts only grow within an incarnation of the host, so
//! that duplicate, late and reordered reports merge by taking the larger counts. Times
//! are counted in bins of a quarter octave, one independent observation at a time
//! ([`ObservationClusters`]).

use std::collections::{BTreeMap, HashMap};
use std::hash::Hash;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::rollout::clusters::ObservationClusters;

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
    /// Whether the answer failed.
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

    /// Whether it is a time to the first byte.
    pub(super) fn is_first_byte(self) -> bool {
        matches!(self, Measure::FirstByteHeld | Measure::FirstByte)
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

impl ObservedResponse {
    /// Whether the answer failed, if it is over.
    pub(super) fn is_failure(self) -> Option<bool> {
        match self {
            ObservedResponse::Began { .. } => None,
            ObservedResponse::Ended { .. } => Some(false),
            ObservedResponse::Failed => Some(true),
        }
    }

    /// The measured time, in milliseconds.
    pub(super) fn time(self) -> Option<(Measure, f64)> {
        match self {
            ObservedResponse::Began {
                first_byte_ms,
                holds_prefix: true,
            } => Some((Measure::FirstByteHeld, first_byte_ms)),
            ObservedResponse::Began { first_byte_ms, .. } => {
                Some((Measure::FirstByte, first_byte_ms))
            }
            ObservedResponse::Ended { pace_ms } => pace_ms.map(|ms| (Measure::Pace, ms)),
            ObservedResponse::Failed => None,
        }
    }
}

/// When an event of an answer was seen.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ObservationTime {
    /// When the event was seen, on the host's clock, in milliseconds.
    pub now_ms: u64,
    /// How much of the measured time the host itself was stalled, in milliseconds; 0 if not
    /// known.
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

/// What another answer of the old build showed at the same host and in the same moment
/// as an observed time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Control {
    /// There was no other answer of the old build.
    None,
    /// It came in its usual time.
    InTime,
    /// It came late.
    Late,
}

pub(super) const CONTROLS: [Control; 3] = [Control::None, Control::InTime, Control::Late];

/// Bins of times for each state of the control. A row holds the three ranges one after
/// the other, and hosts of earlier versions read all of them as times.
const TIME_BINS: u8 = 64;
/// Bins of a row of [`Measure::Failure`]: all answers by outcome, then those among them
/// that are independent observations.
const ENDED_BIN: u8 = 0;
const FAILED_BIN: u8 = 1;
const OBSERVED_ENDED_BIN: u8 = 2;
const OBSERVED_FAILED_BIN: u8 = 3;

impl Control {
    fn first_bin(self) -> u8 {
        match self {
            Control::None => 0,
            Control::InTime => TIME_BINS,
            Control::Late => 2 * TIME_BINS,
        }
    }
}

/// Observed times of one route and measure at both builds.
pub(super) struct TimeStratum<'a> {
    pub(super) route: &'a Arc<str>,
    pub(super) measure: Measure,
    pub(super) new: TimeCounts<'a>,
    pub(super) old: TimeCounts<'a>,
}

/// Observed times of one build, by control and bin.
#[derive(Clone, Copy)]
pub(super) struct TimeCounts<'a>(Option<&'a BTreeMap<u8, u32>>);

impl TimeCounts<'_> {
    /// Counts by bin, over all controls.
    pub(super) fn by_bin(self) -> BTreeMap<u8, u32> {
        let mut total: BTreeMap<u8, u32> = BTreeMap::new();
        for (bin, count) in self.0.into_iter().flatten() {
            *total.entry(bin % TIME_BINS).or_default() += count;
        }
        total
    }

    /// The number of times with a control from a bin on.
    pub(super) fn count_from(self, control: Control, bin: u8) -> u32 {
        let first = control.first_bin();
        let range = first + bin.min(TIME_BINS)..first + TIME_BINS;
        let counts = self
            .0
            .into_iter()
            .flat_map(|bins| bins.range(range.clone()));
        counts.map(|(_, count)| count).sum()
    }
}

/// Independent observations of failures on one route.
#[derive(Clone, Copy, Debug)]
pub(super) struct FailureCounts {
    pub(super) new: u32,
    pub(super) new_failed: u32,
    pub(super) old: u32,
    pub(super) old_failed: u32,
}

/// Counts of answers by route, build side and measure.
///
/// A failure row counts all answers, and the independent observations among them; a row
/// of times counts only independent observations.
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
    /// Counts an event of an answer that is independent of all others.
    pub fn record(&mut self, route: &Arc<str>, side: BuildSide, event: ObservedResponse) {
        if let Some(is_failure) = event.is_failure() {
            self.add_answer(route, side, is_failure, true);
        }
        if let Some((measure, ms)) = event.time() {
            self.add_time(route, side, measure, Control::None, time_bin(ms));
        }
    }

    /// Counts an answer, and whether it is an independent observation.
    pub(super) fn add_answer(
        &mut self,
        route: &Arc<str>,
        side: BuildSide,
        is_failure: bool,
        is_observation: bool,
    ) {
        let (bin, observed_bin) = if is_failure {
            (FAILED_BIN, OBSERVED_FAILED_BIN)
        } else {
            (ENDED_BIN, OBSERVED_ENDED_BIN)
        };
        self.add(route, side, Measure::Failure, bin, 1);
        if is_observation {
            self.add(route, side, Measure::Failure, observed_bin, 1);
        }
    }

    /// Counts an observed time.
    pub(super) fn add_time(
        &mut self,
        route: &Arc<str>,
        side: BuildSide,
        measure: Measure,
        control: Control,
        bin: u8,
    ) {
        let bin = control.first_bin() + bin.min(TIME_BINS - 1);
        self.add(route, side, measure, bin, 1);
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
        self.answer_count(side, ENDED_BIN) + self.answer_count(side, FAILED_BIN)
    }

    /// The number of failures of a side.
    pub fn failures(&self, side: BuildSide) -> u32 {
        self.answer_count(side, FAILED_BIN)
    }

    fn answer_count(&self, side: BuildSide, bin: u8) -> u32 {
        let rows = self.0.iter();
        let side_rows = rows.filter(|((_, of, measure), _)| *of == side && !measure.is_time());
        side_rows.filter_map(|(_, bins)| bins.get(&bin)).sum()
    }

    /// Requests per second of each route at both builds, by the answers in this time in
    /// milliseconds. Empty if the time is under a second.
    pub fn request_rates_per_s(&self, covered_ms: u64) -> BTreeMap<Arc<str>, f64> {
        let mut rates: BTreeMap<Arc<str>, f64> = BTreeMap::new();
        if covered_ms < MIN_RATE_WINDOW_MS {
            return rates;
        }
        let seconds = covered_ms as f64 / 1_000.0;
        let rows = self.0.iter();
        for ((route, ..), bins) in rows.filter(|((.., measure), _)| !measure.is_time()) {
            let answers: u32 = bins.range(..=FAILED_BIN).map(|(_, count)| count).sum();
            *rates.entry(route.clone()).or_default() += f64::from(answers) / seconds;
        }
        rates
    }

    /// Observed times of each route and measure with times of the new build.
    pub(super) fn time_strata(&self) -> impl Iterator<Item = TimeStratum<'_>> {
        let rows = self.0.iter();
        let new_rows =
            rows.filter(|((_, side, measure), _)| *side == BuildSide::New && measure.is_time());
        new_rows.map(|((route, _, measure), new)| TimeStratum {
            route,
            measure: *measure,
            new: TimeCounts(Some(new)),
            old: TimeCounts(self.0.get(&(route.clone(), BuildSide::Old, *measure))),
        })
    }

    /// Observed failures of each route with answers of the new build.
    pub(super) fn failure_strata(&self) -> impl Iterator<Item = (&Arc<str>, FailureCounts)> {
        let rows = self.0.iter();
        let new_rows =
            rows.filter(|((_, side, measure), _)| *side == BuildSide::New && !measure.is_time());
        new_rows.map(|((route, _, measure), new)| {
            let old = self.0.get(&(route.clone(), BuildSide::Old, *measure));
            let count = |bins: Option<&BTreeMap<u8, u32>>, bin| {
                bins.and_then(|bins| bins.get(&bin))
                    .copied()
                    .unwrap_or_default()
            };
            let (new_failed, old_failed) = (
                count(Some(new), OBSERVED_FAILED_BIN),
                count(old, OBSERVED_FAILED_BIN),
            );
            let new = Some(new);
            let counts = FailureCounts {
                new: new_failed + count(new, OBSERVED_ENDED_BIN),
                new_failed,
                old: old_failed + count(old, OBSERVED_ENDED_BIN),
                old_failed,
            };
            (route, counts)
        })
    }

    fn add(&mut self, route: &Arc<str>, side: BuildSide, measure: Measure, bin: u8, count: u32) {
        let bins = self.0.entry((route.clone(), side, measure)).or_default();
        let known = bins.entry(bin).or_default();
        *known = known.saturating_add(count);
    }
}

const BINS_PER_OCTAVE: f64 = 4.0;

/// The bin of a time in milliseconds.
pub(super) fn time_bin(ms: f64) -> u8 {
    (ms.max(1.0).log2() * BINS_PER_OCTAVE).min(f64::from(TIME_BINS - 1)) as u8
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
    clusters: ObservationClusters,
    reported: HashMap<EvidenceSource<H>, Tally>,
    /// Maximum service time of each route on any host.
    max_service_times_ms: BTreeMap<Arc<str>, u64>,
}

impl<H> Default for Evidence<H> {
    fn default() -> Self {
        Self {
            local_tally: Tally::default(),
            clusters: ObservationClusters::default(),
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
        at: ObservationTime,
    ) {
        self.clusters
            .record(&mut self.local_tally, route, side, event, at);
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
