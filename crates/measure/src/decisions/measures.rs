//! What a run measures.

use hdrhistogram::Histogram;
use serde::Serialize;

use chalkrock_core::MEAN_FLOOR;

use super::engines::Engine;

/// One measured value, as it is printed.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Measure {
    /// What was measured.
    pub measure: &'static str,
    /// Under which trouble, at which site.
    pub scenario: String,
    /// How engines were chosen.
    pub policy: &'static str,
    /// The value.
    pub value: f64,
    /// Its unit.
    pub unit: &'static str,
    /// What it is held against, if anything.
    pub bound: Option<f64>,
    /// The seed.
    pub seed: u64,
}

/// Ratios are kept as thousandths in an integer histogram.
const THOUSANDTHS: f64 = 1_000.0;
const RATIO_MAX: u64 = 1_000_000;

/// Counts and samples of a run.
#[derive(Debug)]
pub(crate) struct Tally {
    pub(crate) returning: u64,
    pub(crate) reused: u64,
    pub(crate) imported: u64,
    pub(crate) requests: u64,
    pub(crate) refused: u64,
    /// Requests refused since their organisation had its share.
    pub(crate) over_share: u64,
    /// Bytes that each host sent and received for control.
    pub(crate) control_bytes: Vec<u64>,
    pub(crate) fallbacks: u64,
    pub(crate) asks: u64,
    /// Grants that took an engine past the promised multiple.
    pub(crate) over_bound: u64,
    /// By how much the worst of them did, as a multiple of the mean.
    pub(crate) worst_grant: f64,
    pub(crate) skew: Histogram<u64>,
    pub(crate) skew_over_time: Vec<f64>,
    pub(crate) place_us: Histogram<u64>,
    pub(crate) first_token_us: Histogram<u64>,
}

fn histogram(max: u64) -> Histogram<u64> {
    const SIGNIFICANT_DIGITS: u8 = 3;
    Histogram::new_with_bounds(1, max, SIGNIFICANT_DIGITS).expect("constant bounds are valid")
}

impl Tally {
    pub(crate) fn new(hosts: usize) -> Self {
        const TIME_MAX_US: u64 = 600_000_000;
        Self {
            returning: 0,
            reused: 0,
            imported: 0,
            requests: 0,
            refused: 0,
            over_share: 0,
            control_bytes: vec![0; hosts],
            fallbacks: 0,
            asks: 0,
            over_bound: 0,
            worst_grant: 0.0,
            skew: histogram(RATIO_MAX),
            skew_over_time: Vec::new(),
            place_us: histogram(TIME_MAX_US),
            first_token_us: histogram(TIME_MAX_US),
        }
    }

    /// Samples the skew over live engines, where the mean is high enough to
    /// speak of one.
    pub(crate) fn sample_skew(&mut self, engines: &[Engine]) {
        let Some((mean, max)) = mean_and_max(engines) else {
            return;
        };
        let skew = max / mean;
        self.skew.saturating_record((skew * THOUSANDTHS) as u64);
        self.skew_over_time.push(skew);
    }

    /// The skew at a quantile over time.
    pub(crate) fn skew_at(&self, quantile: f64) -> f64 {
        self.skew.value_at_quantile(quantile) as f64 / THOUSANDTHS
    }
}

/// Mean and largest relative load of live engines; `None` if the mean number
/// of requests on an engine is under the floor.
pub(crate) fn mean_and_max(engines: &[Engine]) -> Option<(f64, f64)> {
    let (mut load, mut weight, mut live, mut max) = (0.0, 0.0, 0.0, 0.0f64);
    for engine in engines.iter().filter(|engine| engine.live) {
        load += f64::from(engine.in_progress);
        weight += engine.weight;
        live += 1.0;
        max = max.max(engine.relative_load());
    }
    if live == 0.0 || load / live < MEAN_FLOOR {
        return None;
    }
    Some((load / weight, max))
}
