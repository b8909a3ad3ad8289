//! Placement by expected work, where the placement by counts would make callers wait.
//!
//! The placement by counts stands while the request can expect its first event within
//! half of its objective and the endpoint is about as fast as its pool. Otherwise the
//! request goes to the endpoint that ranks first for its prefix among those that serve it
//! in time, one that holds the prefix before others. All hosts rank alike, so that a prefix
//! is read at few endpoints and only the prefixes of late endpoints move.

use chalkrock_core::rendezvous::{KeyHash, score};
use serde::Serialize;

use crate::spread::{Candidate, Placement, SpreadRules, limit};

/// Part of the objective within which the first event is expected. The rest is left for
/// what hosts don't know of each other yet.
const IN_TIME_RATIO: f64 = 0.5;
/// Slowness from which the pauses of a stream count as too long: a stream that usually
/// keeps its pace within half of the allowed pause exceeds it.
const SLOW_RATIO: f64 = 2.0;
/// Another endpoint is taken only if callers lose clearly less there, since estimates
/// are inexact and a move spreads the prefix.
const MIN_GAIN_RATIO: f64 = 0.25;
/// By rank, how much a caller's lateness weighs against the time of an endpoint.
const LATENESS_WEIGHTS: [f64; 3] = [4.0, 2.0, 1.0];

/// What a request can expect at one endpoint.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WorkEstimate {
    /// Time to the first event.
    pub expected_ttft_ms: f64,
    /// Time that the endpoint works on the prompt, in which it delays others.
    pub read_ms: f64,
    /// Its slowness relative to the pool.
    pub slowness: f64,
}

/// A request to place by work.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WorkRequest {
    /// The prefix that it shares with others, if any.
    pub key: Option<KeyHash>,
    /// Time within which its first event should arrive.
    pub objective_ms: u64,
    /// Priority, 0 the most urgent.
    pub rank: u8,
    /// Random number for requests without a prefix.
    pub draw: u64,
}

/// Why a request was placed by work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum WorkBasis {
    /// The endpoint holds the prefix and serves the request in time.
    HolderInTime,
    /// The endpoint serves the request in time.
    InTime,
    /// No endpoint serves the request in time, and callers lose least at this one.
    LeastLoss,
}

/// A placement by work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WorkPlacement {
    /// Its index among the candidates.
    pub index: usize,
    /// Why it was chosen.
    pub basis: WorkBasis,
}

impl WorkEstimate {
    /// Whether a request can expect its first event and its pauses in time.
    pub fn is_in_time(&self, objective_ms: u64) -> bool {
        self.expected_ttft_ms <= IN_TIME_RATIO * objective_ms as f64 && self.slowness < SLOW_RATIO
    }

    /// What callers lose: the lateness of this one, weighed by urgency, and the delay of
    /// others.
    fn loss_ms(&self, request: &WorkRequest) -> f64 {
        let rank = usize::from(request.rank).min(LATENESS_WEIGHTS.len() - 1);
        let in_time_ms = IN_TIME_RATIO * request.objective_ms as f64;
        let late_ms = (self.expected_ttft_ms - in_time_ms).max(0.0);
        LATENESS_WEIGHTS[rank] * late_ms + self.read_ms
    }
}

/// Chooses an endpoint by the expected work instead of `placed`; `None` if `placed` stands.
/// `estimates` are those of `candidates`, in the same order.
///
/// The load limit holds here too, and no request moves to a home that is spread over others.
pub fn choose_by_work(
    placed: Placement,
    candidates: &[Candidate],
    estimates: &[WorkEstimate],
    request: &WorkRequest,
    rules: &SpreadRules,
) -> Option<WorkPlacement> {
    let current = estimates.get(placed.index)?;
    if current.is_in_time(request.objective_ms) {
        return None;
    }
    let key = request.key.unwrap_or(KeyHash(request.draw));
    let load_limit = limit(candidates, rules);
    let is_eligible = |i: usize| {
        let candidate = &candidates[i];
        let is_under_limit = f64::from(candidate.load) + 1.0 <= load_limit;
        // Its home's requests are spread over others since its load is known too late.
        let is_spread = candidate.home_spread.kept_ratio < 1.0;
        !candidate.is_closed && !candidate.is_suspect && is_under_limit && !is_spread
    };
    let eligible = (0..candidates.len().min(estimates.len())).filter(|&i| is_eligible(i));
    let in_time = eligible.clone().filter(|&i| {
        candidates[i].load < candidates[i].slots && estimates[i].is_in_time(request.objective_ms)
    });
    let rank = |i: usize| score(key, candidates[i].hash, 1.0);
    let first =
        |among: &mut dyn Iterator<Item = usize>| among.max_by(|&a, &b| rank(a).total_cmp(&rank(b)));
    let holder = first(&mut in_time.clone().filter(|&i| candidates[i].holds_prefix));
    let basis = |basis: WorkBasis| move |index: usize| WorkPlacement { index, basis };
    holder
        .map(basis(WorkBasis::HolderInTime))
        .or_else(|| first(&mut in_time.clone()).map(basis(WorkBasis::InTime)))
        .or_else(|| {
            let loss_ms = |i: usize| estimates[i].loss_ms(request);
            let by_loss = |&a: &usize, &b: &usize| {
                let by_rank = || rank(b).total_cmp(&rank(a));
                loss_ms(a).total_cmp(&loss_ms(b)).then_with(by_rank)
            };
            let least = eligible.min_by(by_loss)?;
            let current_loss_ms = current.loss_ms(request);
            let is_clear = loss_ms(least) <= (1.0 - MIN_GAIN_RATIO) * current_loss_ms;
            is_clear.then_some(basis(WorkBasis::LeastLoss)(least))
        })
        .filter(|chosen| chosen.index != placed.index)
}
