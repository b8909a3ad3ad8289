//! Sequential test whether a new build is worse than the old one.
//!
//! A build is bad if some fraction of its answers fail or are slow that would not have
//! been at the old build during the same time, so that a slowdown of the whole fleet
//! does not count against either. For each route and measure, and for all routes
//! together, the test computes the Bayes factor of "a fraction of the new build's
//! answers is bad", averaged over fractions, against "both builds behave alike". The
//! rate of bad answers of the old build is estimated from its answers. The odds may be
//! checked after each answer: a good build rarely ever exceeds the threshold.

use std::collections::BTreeMap;
use std::fmt;
use std::sync::Arc;

use serde::Serialize;

use crate::rollout::evidence::{
    BuildSide, CONTROLS, Control, FailureCounts, Measure, Tally, TimeStratum,
};

/// Natural logarithm of the odds from which a build is bad. In a single test, a good
/// build reaches them once in 8,100 cases at most; a pool of three routes has a dozen
/// tests. With 6.5, 2 of 1,000 good builds were rolled back.
pub const BAD_LOG_ODDS: f64 = 9.0;

/// The same for a build with many failures more than the old one, which must not get
/// further requests. With [`BAD_LOG_ODDS`] alone, 17 of 1,000 builds that fail on a route
/// which often fails got requests later than 5 s after their 50th failure.
const MANY_FAILURES_LOG_ODDS: f64 = 4.0;
/// Failures beyond those expected from which that applies.
const MANY_FAILURES: f64 = 25.0;

/// Fractions of bad answers that are tested, with equal weight.
const BAD_FRACTIONS: [f64; 6] = [0.1, 0.2, 0.35, 0.5, 0.75, 0.98];
/// Quantile of the old build's times above which an answer may be slow.
const SLOW_QUANTILE: f64 = 0.95;
/// Bins above the quantile from which an answer is slow, a factor of 1.7.
const SLOW_MARGIN_BINS: u8 = 3;
/// Times of the old build needed to determine what is slow.
const MIN_TIMES: u32 = 20;
/// Prior count of good and of bad answers (Jeffreys prior).
const PRIOR_COUNT: f64 = 0.5;

/// The assessment of a new build.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct BuildAssessment {
    /// Natural logarithm of the odds that it is bad, by its worst test.
    pub log_odds: f64,
    /// The measure of that test.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub measure: Option<Measure>,
    /// The route of that test; `None` for all routes together.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub route: Option<Arc<str>>,
    /// Answers of the new build.
    pub answers: u32,
    /// Failures among these.
    pub failures: u32,
    /// Answers of the old build during the same time.
    pub old_answers: u32,
    /// Failures among these.
    pub old_failures: u32,
    /// Independent failures of the new build beyond those that the old one would have
    /// had.
    pub excess_failures: f64,
}

impl BuildAssessment {
    /// Whether the build is bad.
    pub fn is_bad(&self) -> bool {
        let has_many_failures = self.excess_failures >= MANY_FAILURES;
        self.log_odds >= BAD_LOG_ODDS
            || (has_many_failures && self.log_odds >= MANY_FAILURES_LOG_ODDS)
    }
}

impl fmt::Display for BuildAssessment {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{} of {} answers failed, {} of {} at the old build, log odds {:.1}",
            self.failures, self.answers, self.old_failures, self.old_answers, self.log_odds
        )
    }
}

/// Answers of both builds, and bad ones among them.
#[derive(Clone, Copy, Debug)]
struct Counts {
    new: f64,
    new_bad: f64,
    old: f64,
    old_bad: f64,
}

/// Assesses a new build by the fleet's tally.
///
/// # Example
///
/// ```
/// use chalkrock_routing::{BuildSide, ObservedResponse, Tally, assess_build};
///
/// let route = "chat".into();
/// let whole = ObservedResponse::Ended { pace_ms: None };
/// let mut tally = Tally::default();
/// (0..200).for_each(|_| tally.record(&route, BuildSide::Old, whole));
/// (0..20).for_each(|_| tally.record(&route, BuildSide::New, whole));
/// assert!(!assess_build(&tally).is_bad());
/// (0..5).for_each(|_| tally.record(&route, BuildSide::New, ObservedResponse::Failed));
/// assert!(assess_build(&tally).is_bad());
/// ```
pub fn assess_build(tally: &Tally) -> BuildAssessment {
    let mut assessment = BuildAssessment {
        log_odds: f64::NEG_INFINITY,
        answers: tally.answers(BuildSide::New),
        failures: tally.failures(BuildSide::New),
        old_answers: tally.answers(BuildSide::Old),
        old_failures: tally.failures(BuildSide::Old),
        ..BuildAssessment::default()
    };
    let mut pooled: BTreeMap<Measure, Vec<Counts>> = BTreeMap::new();
    for (route, counts) in tally.failure_strata() {
        assessment.excess_failures += counts.excess();
        let counts = [Counts::from(counts)];
        pooled.entry(Measure::Failure).or_default().extend(counts);
        assessment.include(&counts, Measure::Failure, Some(route));
    }
    for stratum in tally.time_strata() {
        let Some(counts) = time_counts(&stratum) else {
            continue;
        };
        let measure = stratum.measure;
        pooled.entry(measure).or_default().extend(counts);
        assessment.include(&counts, measure, Some(stratum.route));
    }
    for (measure, counts) in &pooled {
        assessment.include(counts, *measure, None);
    }
    if assessment.measure.is_none() {
        assessment.log_odds = 0.0;
    }
    assessment
}

impl BuildAssessment {
    fn include(&mut self, counts: &[Counts], measure: Measure, route: Option<&Arc<str>>) {
        let log_odds = log_odds(counts);
        if log_odds > self.log_odds {
            self.log_odds = log_odds;
            self.measure = Some(measure);
            self.route = route.cloned();
        }
    }
}

impl FailureCounts {
    /// Failures of the new build beyond those expected by the rate of the old one, one
    /// for each independent observation.
    fn excess(&self) -> f64 {
        let old_rate =
            (f64::from(self.old_failed) + PRIOR_COUNT) / (f64::from(self.old) + 2.0 * PRIOR_COUNT);
        f64::from(self.new_failed) - old_rate * f64::from(self.new)
    }
}

impl From<FailureCounts> for Counts {
    fn from(counts: FailureCounts) -> Self {
        Self {
            new: f64::from(counts.new),
            new_bad: f64::from(counts.new_failed),
            old: f64::from(counts.old),
            old_bad: f64::from(counts.old_failed),
        }
    }
}

/// Slow times for each state of the control; `None` if the old build has too few times.
fn time_counts(stratum: &TimeStratum<'_>) -> Option<[Counts; 3]> {
    let first_slow_bin = first_slow_bin(&stratum.old.by_bin())?;
    let old_count = |control, bin| {
        let has_controls = control != Control::None;
        if has_controls || stratum.old.count_from(Control::None, 0) >= MIN_TIMES {
            return stratum.old.count_from(control, bin);
        }
        // After the move, times of busy hosts have no control, which they had before.
        let counts = CONTROLS.map(|control| stratum.old.count_from(control, bin));
        counts.iter().sum()
    };
    Some(CONTROLS.map(|control| Counts {
        new: f64::from(stratum.new.count_from(control, 0)),
        new_bad: f64::from(stratum.new.count_from(control, first_slow_bin)),
        old: f64::from(old_count(control, 0)),
        old_bad: f64::from(old_count(control, first_slow_bin)),
    }))
}

/// The first bin of slow times.
fn first_slow_bin(old: &BTreeMap<u8, u32>) -> Option<u8> {
    let total: u32 = old.values().sum();
    if total < MIN_TIMES {
        return None;
    }
    let target_count = f64::from(total) * SLOW_QUANTILE;
    let mut cumulative_count = 0;
    let quantile = old.iter().find(|(_, count)| {
        cumulative_count += **count;
        f64::from(cumulative_count) >= target_count
    });
    quantile.map(|(bin, _)| bin.saturating_add(1 + SLOW_MARGIN_BINS))
}

/// The log odds that a fraction of the new build's answers is bad.
fn log_odds(strata: &[Counts]) -> f64 {
    let equal: f64 = strata.iter().map(log_likelihood_equal).sum();
    let log_odds_for = |fraction: &f64| {
        let worse = strata
            .iter()
            .map(|counts| log_likelihood_worse(counts, *fraction));
        worse.sum::<f64>() - equal
    };
    log_mean_exp(&BAD_FRACTIONS.map(|fraction| log_odds_for(&fraction)))
}

/// Log likelihood of the new build's answers if both builds behave alike
/// (beta-binomial, without the factor common to both hypotheses).
fn log_likelihood_equal(counts: &Counts) -> f64 {
    let bad = counts.old_bad + PRIOR_COUNT;
    let good = counts.old - counts.old_bad + PRIOR_COUNT;
    let log_rising_factorial = |start: f64, steps: f64| -> f64 {
        (0..steps as u64)
            .map(|step| (start + step as f64).ln())
            .sum()
    };
    log_rising_factorial(bad, counts.new_bad)
        + log_rising_factorial(good, counts.new - counts.new_bad)
        - log_rising_factorial(bad + good, counts.new)
}

/// The same if a fraction of otherwise good answers is bad.
fn log_likelihood_worse(counts: &Counts, fraction: f64) -> f64 {
    let old_bad_fraction = (counts.old_bad + PRIOR_COUNT) / (counts.old + 2.0 * PRIOR_COUNT);
    let bad = old_bad_fraction + (1.0 - old_bad_fraction) * fraction;
    counts.new_bad * bad.ln() + (counts.new - counts.new_bad) * (1.0 - bad).ln()
}

fn log_mean_exp(values: &[f64]) -> f64 {
    let largest = values.iter().copied().fold(f64::NEG_INFINITY, f64::max);
    let sum: f64 = values.iter().map(|value| (value - largest).exp()).sum();
    largest + (sum / values.len() as f64).ln()
}
