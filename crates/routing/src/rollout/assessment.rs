//! Whether a new build is worse than the old one, as far as answers tell.
//!
//! A build is bad if some part of its answers fail, or come late, that would not have
//! at the old build in the same seconds: so what makes the whole fleet slow speaks
//! against neither. For each route and measure the odds are worked out that a part of
//! the new build's answers is bad, whatever the part, against that both builds answer
//! alike; how often the old build's answers are bad is not known either but drawn from
//! what was seen of it. The odds may be looked at after each answer: under a build that
//! is as good as the old one they reach a threshold once in as many cases as it says.
//! What routes have in common is judged together as well.

use std::collections::BTreeMap;
use std::fmt;
use std::sync::Arc;

use serde::Serialize;

use crate::rollout::evidence::{BuildSide, Measure, Stratum, Tally};

/// The natural logarithm of the odds from which a build is bad: at one test a good
/// build reaches them once in 665 cases at most. Of 1,000 drawn good builds of
/// generations one was left, of services 21, most for want of answers
/// (`chalkrock-measure rollouts`).
pub const BAD_LOG_ODDS: f64 = 6.5;

/// Parts of the answers that may be bad, each as likely as the others.
const BAD_PARTS: [f64; 6] = [0.1, 0.2, 0.35, 0.5, 0.75, 0.98];
/// The part of the old build's times that is not slow.
const SLOW_QUANTILE: f64 = 0.95;
/// How much later than that an answer is slow, in bins: 1.7 times.
const SLOW_BINS: u8 = 3;
/// Times of the old build that it takes to say what is slow.
const TIMES_MIN: u32 = 20;
/// What is counted beside each number, so that none is certain: half an answer.
const HALF: f64 = 0.5;

/// What answers say of a new build.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct BuildAssessment {
    /// The logarithm of the odds that it is bad, of what speaks most against it.
    pub log_odds: f64,
    /// What that is: a measure, of a route or of all together.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub measure: Option<Measure>,
    /// The route; `None` for all together.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub route: Option<Arc<str>>,
    /// Answers of the new build.
    pub answers: u32,
    /// Failures among these.
    pub failures: u32,
    /// Answers of the old build meanwhile.
    pub old_answers: u32,
    /// Failures among these.
    pub old_failures: u32,
}

impl BuildAssessment {
    /// Whether the build is bad.
    pub fn is_bad(&self) -> bool {
        self.log_odds >= BAD_LOG_ODDS
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

/// Answers of both builds, and how many of them are bad.
#[derive(Clone, Copy, Debug)]
struct Counts {
    new: f64,
    new_bad: f64,
    old: f64,
    old_bad: f64,
}

/// Judges a new build by what the fleet has counted.
///
/// # Example
///
/// ```
/// use chalkrock_routing::{ObservedResponse, BuildSide, Tally, judge};
///
/// let route = "chat".into();
/// let whole = ObservedResponse::Ended { pace_ms: None };
/// let mut tally = Tally::default();
/// (0..200).for_each(|_| tally.count(&route, BuildSide::Old, whole));
/// (0..20).for_each(|_| tally.count(&route, BuildSide::New, whole));
/// assert!(!assess_build(&tally).is_bad());
/// (0..5).for_each(|_| tally.count(&route, BuildSide::New, ObservedResponse::Failed));
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
    let mut together: BTreeMap<Measure, Vec<Counts>> = BTreeMap::new();
    for stratum in tally.strata() {
        let Some(counts) = counts_of(&stratum) else {
            continue;
        };
        let measure = stratum.measure;
        together.entry(measure).or_default().push(counts);
        assessment.consider(&[counts], measure, Some(stratum.route));
    }
    for (measure, counts) in &together {
        assessment.consider(counts, *measure, None);
    }
    if assessment.measure.is_none() {
        assessment.log_odds = 0.0;
    }
    assessment
}

impl BuildAssessment {
    fn consider(&mut self, counts: &[Counts], measure: Measure, route: Option<&Arc<str>>) {
        let log_odds = log_odds(counts);
        if log_odds > self.log_odds {
            self.log_odds = log_odds;
            self.measure = Some(measure);
            self.route = route.cloned();
        }
    }
}

/// `None` where too little is known of the old build's times.
fn counts_of(stratum: &Stratum<'_>) -> Option<Counts> {
    let empty = BTreeMap::new();
    let old = stratum.old.unwrap_or(&empty);
    let bad_from = if stratum.measure.is_time() {
        slow_from(old)?
    } else {
        1
    };
    let total = |bins: &BTreeMap<u8, u32>| f64::from(bins.values().sum::<u32>());
    let bad = |bins: &BTreeMap<u8, u32>| {
        let bad = bins.range(bad_from..).map(|(_, count)| count);
        f64::from(bad.sum::<u32>())
    };
    Some(Counts {
        new: total(stratum.new),
        new_bad: bad(stratum.new),
        old: total(old),
        old_bad: bad(old),
    })
}

/// The bin from which on a time is slow.
fn slow_from(old: &BTreeMap<u8, u32>) -> Option<u8> {
    let total: u32 = old.values().sum();
    if total < TIMES_MIN {
        return None;
    }
    let within = f64::from(total) * SLOW_QUANTILE;
    let mut seen = 0;
    let quantile = old.iter().find(|(_, count)| {
        seen += **count;
        f64::from(seen) >= within
    });
    quantile.map(|(bin, _)| bin.saturating_add(1 + SLOW_BINS))
}

/// The logarithm of the odds that a part of the new build's answers is bad.
fn log_odds(strata: &[Counts]) -> f64 {
    let alike: f64 = strata.iter().map(log_likelihood_alike).sum();
    let of_part = |part: &f64| {
        let worse = strata
            .iter()
            .map(|counts| log_likelihood_worse(counts, *part));
        worse.sum::<f64>() - alike
    };
    log_mean(&BAD_PARTS.map(|part| of_part(&part)))
}

/// How likely the new build's answers are if they are bad as often as the old one's,
/// over all that the old one's allow (a beta-binomial, but for what both have).
fn log_likelihood_alike(counts: &Counts) -> f64 {
    let bad = counts.old_bad + HALF;
    let good = counts.old - counts.old_bad + HALF;
    let rising = |from: f64, steps: f64| -> f64 {
        (0..steps as u64)
            .map(|step| (from + step as f64).ln())
            .sum()
    };
    rising(bad, counts.new_bad) + rising(good, counts.new - counts.new_bad)
        - rising(bad + good, counts.new)
}

/// The same if a part of its answers is bad that would not have been.
fn log_likelihood_worse(counts: &Counts, part: f64) -> f64 {
    let usual = (counts.old_bad + HALF) / (counts.old + 2.0 * HALF);
    let bad = usual + (1.0 - usual) * part;
    counts.new_bad * bad.ln() + (counts.new - counts.new_bad) * (1.0 - bad).ln()
}

fn log_mean(values: &[f64]) -> f64 {
    let largest = values.iter().copied().fold(f64::NEG_INFINITY, f64::max);
    let sum: f64 = values.iter().map(|value| (value - largest).exp()).sum();
    largest + (sum / values.len() as f64).ln()
}
