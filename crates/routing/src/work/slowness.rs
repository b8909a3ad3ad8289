//! How slow one endpoint is, relative to its pool.

use std::collections::VecDeque;

use super::median::median;

/// Smallest slowness that a sample can have, in thousandths.
pub const MIN_SLOWNESS_PERMILLE: u16 = 100;
/// Largest slowness that a sample can have, in thousandths.
pub const MAX_SLOWNESS_PERMILLE: u16 = 20_000;
/// Samples from which the lasting slowness is taken.
const MAX_SAMPLES: usize = 9;
/// Fewer samples don't make an endpoint unusual.
const MIN_SAMPLES: usize = 3;
/// An endpoint that is avoided yields no samples. After this time it counts as usual and
/// is tried again.
const SAMPLE_RETENTION_MS: u64 = 4_000;
/// Age up to which samples show the present state.
const RECENT_MS: u64 = 600;
/// Consecutive recent samples that make an endpoint slow at once.
const QUICK_SAMPLES: usize = 2;
/// Slowness of each of these samples.
const QUICK_RATIO: f64 = 1.5;
/// The usual slowness.
const USUAL_RATIO: f64 = 1.0;

#[derive(Clone, Copy, Debug)]
struct Sample {
    ratio: f64,
    at_ms: u64,
}

/// The time that an endpoint takes for its work relative to the usual in its pool.
///
/// One odd sample has no effect. Two slow samples in short succession count at once, and a
/// majority of usual samples restores trust.
///
/// # Example
///
/// ```
/// use chalkrock_routing::Slowness;
///
/// let mut slowness = Slowness::default();
/// slowness.record(4_000, 0);
/// assert_eq!(slowness.ratio(0), 1.0);
/// slowness.record(4_000, 100);
/// assert_eq!(slowness.ratio(100), 4.0);
/// ```
#[derive(Clone, Debug, Default)]
pub struct Slowness {
    samples: VecDeque<Sample>,
    /// What the endpoint itself last reported.
    reported: Option<Sample>,
}

impl Sample {
    fn new(slowness_permille: u16, now_ms: u64) -> Self {
        const PERMILLE: f64 = 1_000.0;
        let bounded = slowness_permille.clamp(MIN_SLOWNESS_PERMILLE, MAX_SLOWNESS_PERMILLE);
        Self {
            ratio: f64::from(bounded) / PERMILLE,
            at_ms: now_ms,
        }
    }

    fn is_within(&self, age_ms: u64, now_ms: u64) -> bool {
        now_ms.saturating_sub(self.at_ms) <= age_ms
    }
}

impl Slowness {
    /// Adds a sample in thousandths of the usual.
    pub fn record(&mut self, slowness_permille: u16, now_ms: u64) {
        if self.samples.len() >= MAX_SAMPLES {
            self.samples.pop_front();
        }
        self.samples
            .push_back(Sample::new(slowness_permille, now_ms));
    }

    /// Records the slowness that the endpoint itself reports. It may leave out causes that
    /// the endpoint does not know, so that it only adds to what samples show.
    pub fn record_reported(&mut self, slowness_permille: u16, now_ms: u64) {
        self.reported = Some(Sample::new(slowness_permille, now_ms));
    }

    /// The slowness to expect now; 1 is usual and unknown.
    pub fn ratio(&self, now_ms: u64) -> f64 {
        let quick = self.quick_ratio(now_ms).unwrap_or(USUAL_RATIO);
        let reported = self
            .reported
            .filter(|reported| reported.is_within(RECENT_MS, now_ms));
        let reported = reported.map_or(0.0, |reported| reported.ratio);
        self.lasting_ratio(now_ms).max(quick).max(reported)
    }

    /// The slowness that most of the retained samples show.
    pub fn lasting_ratio(&self, now_ms: u64) -> f64 {
        let retained = self.samples_since(now_ms, SAMPLE_RETENTION_MS);
        let ratios: Vec<f64> = retained.map(|sample| sample.ratio).collect();
        if ratios.len() < MIN_SAMPLES {
            return USUAL_RATIO;
        }
        median(ratios.into_iter()).unwrap_or(USUAL_RATIO)
    }

    /// Whether nothing is retained.
    pub fn is_expired(&self, now_ms: u64) -> bool {
        let mut all = self.samples.iter().chain(&self.reported);
        !all.any(|sample| sample.is_within(SAMPLE_RETENTION_MS, now_ms))
    }

    fn quick_ratio(&self, now_ms: u64) -> Option<f64> {
        let last = self.samples_since(now_ms, RECENT_MS).rev();
        let last: Vec<f64> = last.take(QUICK_SAMPLES).map(|s| s.ratio).collect();
        let least = last.iter().copied().min_by(f64::total_cmp)?;
        (last.len() == QUICK_SAMPLES && least >= QUICK_RATIO).then_some(least)
    }

    fn samples_since(&self, now_ms: u64, age_ms: u64) -> impl DoubleEndedIterator<Item = &Sample> {
        let samples = self.samples.iter();
        samples.filter(move |sample| sample.is_within(age_ms, now_ms))
    }
}
