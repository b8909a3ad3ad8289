//! When each route of a pool moves to the new build.
//!
//! A build may turn bad at any time, and the limit counts all requests that it got since
//! the order. No build may therefore get more than the limit before the deadline: a
//! route moves when the traffic left until the deadline fits into what the canary has
//! left of the limit. If that is later than the requests at the old endpoints need to
//! leave them before the deadline, the rollout is done after it.
//!
//! Use it to decide when a sound build takes all traffic, and to announce it in advance.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::rollout::exposure::canary_share;
use crate::rollout::stage::{MIN_MOVED_MS, RolloutView};

/// Time after which hosts' reports omit a request that left an old endpoint.
const REPORT_MS: f64 = 600.0;
/// Time for a decision and its write.
const WRITE_MS: f64 = 250.0;
/// Time for all hosts to learn of the moves before the first one.
const ANNOUNCEMENT_MS: f64 = 1_000.0;
/// Standard deviations of a number of requests that the limit keeps in reserve, for
/// uneven traffic and for hosts whose age of the order differs.
const RESERVE_STD_DEVS: f64 = 2.0;
/// Fraction of the deadline before which no route moves.
const MIN_MOVE_FRACTION: f64 = 0.3;
/// Fraction of the limit for the cut-over if the request rates are not known.
const CUT_OVER_FRACTION: f64 = 0.6;

/// When the routes of a pool move.
#[derive(Clone, Debug, PartialEq)]
pub struct MoveSchedule {
    /// Age of the order at which each route moves, in milliseconds.
    pub moves_ms: BTreeMap<Arc<str>, u64>,
    /// Age of the order, in milliseconds, from which a sound build is announced to take
    /// all traffic.
    pub announce_ms: u64,
}

impl MoveSchedule {
    /// The schedule for the state of a rollout. It depends on the request rates, on the
    /// requests that the new build got, and on the longest time that a request needs to
    /// leave an old endpoint.
    pub fn new(view: &RolloutView) -> Self {
        let within_ms = view.within_ms as f64;
        let mut routes: BTreeMap<&Arc<str>, (f64, f64)> = BTreeMap::new();
        for (route, rate_per_s) in &view.request_rates_per_s {
            routes.entry(route).or_default().0 = *rate_per_s;
        }
        for (route, leave_ms) in &view.max_service_times_ms {
            routes.entry(route).or_default().1 = *leave_ms as f64;
        }
        // Time before the deadline at which each route would move to be done in time.
        let wanted_ms = |leave_ms: f64| WRITE_MS + (leave_ms + REPORT_MS).max(MIN_MOVED_MS as f64);
        let max_wanted_ms = routes.values().map(|(_, leave_ms)| wanted_ms(*leave_ms));
        let max_wanted_ms = max_wanted_ms.fold(wanted_ms(0.0), f64::max);
        let requests_if_late = |late_ms: f64| -> f64 {
            let requests = routes.values().map(|(rate_per_s, leave_ms)| {
                rate_per_s * (wanted_ms(*leave_ms) - late_ms).max(0.0) / 1_000.0
            });
            requests.sum()
        };
        let late_ms = if view.request_rates_per_s.is_empty() {
            // Every route moves at the same time, which any request rate allows.
            let cut_over_ms = CUT_OVER_FRACTION * view.bound.share * within_ms;
            (max_wanted_ms - cut_over_ms).max(0.0)
        } else {
            let cut_over_requests = cut_over_requests(view);
            smallest(max_wanted_ms, |late_ms| {
                requests_if_late(late_ms) <= cut_over_requests
            })
        };
        let first_ms = MIN_MOVE_FRACTION * within_ms;
        let move_ms = |leave_ms: f64| {
            let before_deadline_ms = wanted_ms(leave_ms) - late_ms;
            (within_ms - before_deadline_ms).max(first_ms) as u64
        };
        let moves = routes
            .iter()
            .map(|(route, (_, leave_ms))| ((*route).clone(), move_ms(*leave_ms)));
        let moves_ms: BTreeMap<Arc<str>, u64> = moves.collect();
        let first_move_ms = moves_ms.values().min().copied();
        let first_move_ms = first_move_ms.unwrap_or_else(|| move_ms(0.0)) as f64;
        Self {
            announce_ms: (first_move_ms - ANNOUNCEMENT_MS).max(first_ms) as u64,
            moves_ms,
        }
    }

    /// Age of the order, in milliseconds, from which fewer answers are enough.
    pub(super) fn latest_ms(&self) -> u64 {
        self.announce_ms + ANNOUNCEMENT_MS as u64
    }
}

/// Requests that the limit allows between the moves of the routes and the deadline.
fn cut_over_requests(view: &RolloutView) -> f64 {
    let rate_per_s: f64 = view.request_rates_per_s.values().sum();
    let expected = rate_per_s * view.within_ms as f64 / 1_000.0;
    let limit = view.bound.share * expected + view.bound.slack;
    let share = canary_share(view.bound, view.within_ms, expected, view.age_ms);
    let left_s = view.within_ms.saturating_sub(view.age_ms) as f64 / 1_000.0;
    let canary_requests = f64::from(view.new_requests) + share * rate_per_s * left_s;
    let allowed = (limit - canary_requests).max(0.0);
    (allowed - RESERVE_STD_DEVS * allowed.sqrt()).max(0.0)
}

/// The smallest value up to a limit that a monotonic condition admits, or the limit.
fn smallest(limit: f64, is_admitted: impl Fn(f64) -> bool) -> f64 {
    const STEPS: usize = 20;
    if is_admitted(0.0) {
        return 0.0;
    }
    let (mut rejected, mut admitted) = (0.0, limit);
    for _ in 0..STEPS {
        let middle = (rejected + admitted) / 2.0;
        if is_admitted(middle) {
            admitted = middle;
        } else {
            rejected = middle;
        }
    }
    admitted
}
