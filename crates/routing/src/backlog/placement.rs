//! Placement in an overrun pool.

use chalkrock_core::rendezvous::{KeyHash, MemberHash, score};

use crate::spread::{Candidate, Placement, SpreadRules, limit};
use crate::work::{WorkBasis, WorkEstimate, WorkPlacement, WorkRequest};

/// Use of an endpoint's slots against the pool's mean up to which it takes all requests that
/// rank it first, and from which on it takes none of them.
const KEEP_ALL_UNTIL: f64 = 0.9;
const KEEP_NONE_FROM: f64 = 1.5;
/// Bounds the mean use: a request leaves a holder with few requests for no other one, and in
/// a pool that is full one with more than its slots is left anyway.
const MIN_MEAN_USE: f64 = 0.1;
const MAX_MEAN_USE: f64 = 1.0;
/// Part of the objective within which the first event is expected. The rest is left for what
/// hosts don't know of each other yet.
const IN_TIME_RATIO: f64 = 0.6;
/// Load of another endpoint against that of the least loaded holder from which on a move doesn't
/// pay. With a fifth fewer streams, those of long answers end sooner by several times what the
/// copy of their prefix takes, and those of short ones by about as much.
const MAX_MOVE_LOAD_RATIO: f64 = 0.8;
/// Endpoints, drawn by request, of which the soonest is taken if none takes it. The soonest of
/// all is the same for all hosts, which made 106 requests meet at an engine of 32 slots.
const FALLBACK_CHOICES: usize = 3;

/// Places a request of an overrun pool; `None` if `placed` stands.
///
/// Endpoints are asked in the order of their rank for the prefix, those that hold it before
/// others. Each takes a request with a probability that falls with its load. A prefix moves only
/// if no holder takes the request, and none serves it in time or the other endpoint has clearly
/// less load, from which this request and those that follow gain more than the move costs.
///
/// All hosts see the same loads some hundred milliseconds late: with a threshold, they would
/// leave an endpoint together and meet at the next one. Slowness counts in the estimates alone,
/// since in an overrun it shows what others read at the moment. The load limit holds here too,
/// and a home that is spread over others keeps its part only.
pub fn choose_in_overrun(
    placed: Placement,
    candidates: &[Candidate],
    estimates: &[WorkEstimate],
    request: &WorkRequest,
    rules: &SpreadRules,
) -> Option<WorkPlacement> {
    let key = request.key.unwrap_or(KeyHash(request.draw));
    let count = candidates.len().min(estimates.len());
    let rank = |i: usize| score(key, candidates[i].hash, 1.0);
    let draw = |i: usize| unit(request.draw, candidates[i].hash);
    let load_limit = limit(candidates, rules);
    let is_eligible = |&i: &usize| {
        let candidate = &candidates[i];
        let is_under_limit = f64::from(candidate.load) + 1.0 <= load_limit;
        let is_kept = draw(i) < candidate.home_spread.kept_ratio;
        !candidate.is_closed && !candidate.is_suspect && is_under_limit && is_kept
    };
    let mut order: Vec<usize> = (0..count).filter(is_eligible).collect();
    order.sort_by(|&a, &b| {
        let by_holding = candidates[b].holds_prefix.cmp(&candidates[a].holds_prefix);
        by_holding.then_with(|| rank(b).total_cmp(&rank(a)))
    });
    let uses = order.iter().map(|&i| slot_use(&candidates[i]));
    let mean_use = uses.sum::<f64>() / order.len().max(1) as f64;
    let in_time_ms = IN_TIME_RATIO * request.objective_ms as f64;
    let is_in_time = |i: usize| estimates[i].expected_ttft_ms <= in_time_ms;
    let holders = order
        .iter()
        .copied()
        .filter(|&i| candidates[i].holds_prefix);
    let by_use = |a: &usize, b: &usize| {
        let use_of = |i: usize| slot_use(&candidates[i]);
        use_of(*a).total_cmp(&use_of(*b))
    };
    let holder = holders.filter(|&i| is_in_time(i)).min_by(by_use);
    let max_move_use = holder.map(|i| MAX_MOVE_LOAD_RATIO * slot_use(&candidates[i]));
    let pays = |i: usize| {
        let has_less_load = max_move_use.is_none_or(|max| slot_use(&candidates[i]) <= max);
        candidates[i].holds_prefix || has_less_load
    };
    let takes =
        |&i: &usize| is_in_time(i) && pays(i) && draw(i) < keep_ratio(&candidates[i], mean_use);
    let taken = order.iter().copied().find(takes);
    let chosen = taken.or(holder).or_else(|| {
        let mut drawn = order.clone();
        drawn.sort_by(|&a, &b| draw(a).total_cmp(&draw(b)));
        drawn.truncate(FALLBACK_CHOICES);
        let expected_ms = |i: usize| estimates[i].expected_ttft_ms;
        drawn
            .into_iter()
            .min_by(|&a, &b| expected_ms(a).total_cmp(&expected_ms(b)))
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

fn slot_use(candidate: &Candidate) -> f64 {
    f64::from(candidate.load) / f64::from(candidate.slots.max(1))
}

/// Fraction of the requests that an endpoint takes at its load.
fn keep_ratio(candidate: &Candidate, mean_use: f64) -> f64 {
    let relative = slot_use(candidate) / mean_use.clamp(MIN_MEAN_USE, MAX_MEAN_USE);
    ((KEEP_NONE_FROM - relative) / (KEEP_NONE_FROM - KEEP_ALL_UNTIL)).clamp(0.0, 1.0)
}

/// A number between 0 and 1 that differs by request and endpoint.
fn unit(draw: u64, endpoint: MemberHash) -> f64 {
    // The score of a member of weight 1 is `-1 / ln(u)` with `u` uniform.
    (-1.0 / score(KeyHash(draw), endpoint, 1.0)).exp()
}
