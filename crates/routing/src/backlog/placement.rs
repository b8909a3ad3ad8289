//! Placement in an overrun pool.

use chalkrock_core::rendezvous::{KeyHash, MemberHash, score};

use crate::spread::{Candidate, Placement};
use crate::work::{WorkBasis, WorkEstimate, WorkPlacement, WorkRequest};

/// Use of an endpoint's slots up to which it takes all requests that rank it first, and from
/// which on it takes none of them.
const KEEP_ALL_UNTIL: f64 = 0.6;
const KEEP_NONE_FROM: f64 = 1.4;
/// Part of the objective within which the first event is expected. The rest is left for what
/// hosts don't know of each other yet.
const IN_TIME_RATIO: f64 = 0.6;

/// Places a request of an overrun pool; `None` if `placed` stands.
///
/// Endpoints are asked in the order of their rank for the prefix, those that hold it before
/// others. Each takes a request with a probability that falls with its load. All hosts see the
/// same loads some hundred milliseconds late: a threshold would make them leave an endpoint
/// together and meet at the next one.
pub fn choose_in_overrun(
    placed: Placement,
    candidates: &[Candidate],
    estimates: &[WorkEstimate],
    request: &WorkRequest,
) -> Option<WorkPlacement> {
    let key = request.key.unwrap_or(KeyHash(request.draw));
    let count = candidates.len().min(estimates.len());
    let rank = |i: usize| score(key, candidates[i].hash, 1.0);
    let mut order: Vec<usize> = (0..count)
        .filter(|&i| !candidates[i].is_closed && !candidates[i].is_suspect)
        .collect();
    order.sort_by(|&a, &b| {
        let by_holding = candidates[b].holds_prefix.cmp(&candidates[a].holds_prefix);
        by_holding.then_with(|| rank(b).total_cmp(&rank(a)))
    });
    let in_time_ms = IN_TIME_RATIO * request.objective_ms as f64;
    let is_in_time = |i: usize| estimates[i].expected_ttft_ms <= in_time_ms;
    let takes = |i: &usize| {
        let candidate = &candidates[*i];
        is_in_time(*i)
            && unit(request.draw, candidate.hash) < keep_ratio(candidate, estimates[*i].slowness)
    };
    let expected_ms = |i: &usize| estimates[*i].expected_ttft_ms;
    let chosen = order.iter().copied().find(takes).or_else(|| {
        let by_time = |a: &usize, b: &usize| expected_ms(a).total_cmp(&expected_ms(b));
        order.iter().copied().min_by(by_time)
    })?;
    let basis = if !is_in_time(chosen) {
        WorkBasis::LeastLoss
    } else if candidates[chosen].holds_prefix {
        WorkBasis::HolderInTime
    } else {
        WorkBasis::InTime
    };
    (chosen != placed.index).then_some(WorkPlacement {
        index: chosen,
        basis,
    })
}

/// Fraction of the requests that an endpoint takes at its load.
fn keep_ratio(candidate: &Candidate, slowness: f64) -> f64 {
    let used = f64::from(candidate.load) * slowness.max(1.0) / f64::from(candidate.slots.max(1));
    ((KEEP_NONE_FROM - used) / (KEEP_NONE_FROM - KEEP_ALL_UNTIL)).clamp(0.0, 1.0)
}

/// A number between 0 and 1 that differs by request and endpoint.
fn unit(draw: u64, endpoint: MemberHash) -> f64 {
    // The score of a member of weight 1 is `-1 / ln(u)` with `u` uniform.
    (-1.0 / score(KeyHash(draw), endpoint, 1.0)).exp()
}
