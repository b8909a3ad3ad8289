//! Whether a request to an overrun pool is sent, held or rejected.

use super::overrun::PoolBacklog;
use crate::admission::share_fraction;
use crate::fair_share::OrganisationShare;

/// Rank of the least urgent requests; larger ranks count as this one.
const MAX_RANK: u8 = 2;
/// By rank, the expected use of the slots up to which all requests are admitted, and from which on
/// only the minimum is. Narrower ranges make the use swing, since the sums are old.
const UTILISATION_THRESHOLDS: [(f64, f64); 3] = [(1.15, 1.50), (0.95, 1.35), (0.95, 1.35)];
/// Part of the slots by which an organisation within its share sees less use while others are
/// over theirs, so that these are rejected first.
const WITHIN_SHARE_RELIEF: f64 = 0.2;
/// Minimum chance of admission, relative to that of the most urgent rank.
const MIN_ADMIT_RATIO: f64 = 0.4;
/// Part of the objective for which a request is held at most.
const MAX_HELD_RATIO: f64 = 0.25;
/// How far the chance of admission may rise while a request is held. One whose draw is
/// farther off is rejected at once.
const HOLDABLE_RISE: f64 = 0.15;
/// Shortest and longest time after which a rejected request may return.
const MIN_RETURN_MS: f64 = 300.0;
const MAX_RETURN_MS: f64 = 10_000.0;

/// A request to an overrun pool.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BacklogRequest {
    /// Priority, 0 the most urgent.
    pub rank: u8,
    /// Time within which its first event should arrive.
    pub objective_ms: u64,
    /// Time since it entered the host.
    pub waited_ms: u64,
    /// Expected time to its first event at the endpoint that serves it soonest, if known.
    pub expected_ttft_ms: Option<f64>,
    /// Whether it was sent before, to an endpoint that crashed.
    pub is_repeated: bool,
    /// Random number from 0 up to 1. It stays the same while the request is held, so that
    /// asking again does not raise its chance.
    pub draw: f64,
    /// Random number from 0 up to 1 that spreads the returns of rejected requests.
    pub return_draw: f64,
}

/// What becomes of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BacklogDecision {
    /// It is sent.
    Send,
    /// It stays on its host, which asks again within this time at most.
    Hold {
        /// Time until which it can be held.
        max_ms: u64,
    },
    /// It is rejected, with the time to return that [`return_ms`] gives.
    Reject,
}

/// Fraction of the requests of a rank that are admitted.
pub fn admit_fraction(backlog: &PoolBacklog, rank: u8, share: Option<&OrganisationShare>) -> f64 {
    let is_within = share.is_some_and(|share| !share.is_over() && share.over_share_slots > 0.0);
    let relief = if is_within { WITHIN_SHARE_RELIEF } else { 0.0 };
    let expected_use = backlog.expected_utilisation() - relief;
    let of_rank = |rank: u8| {
        let (all_until, min_from) = UTILISATION_THRESHOLDS[usize::from(rank.min(MAX_RANK))];
        ((min_from - expected_use) / (min_from - all_until)).clamp(0.0, 1.0)
    };
    let fraction = of_rank(rank).max(MIN_ADMIT_RATIO * of_rank(0));
    fraction * share.map_or(1.0, |share| share_fraction(&backlog.occupancy(), share))
}

/// Decides what becomes of a request.
///
/// A request whose endpoint crashed is sent: its caller has waited longest, and its work is
/// in the sums already. Others are admitted by the use of the slots, the less urgent ones up
/// to a lower use; what exceeds its organisation's share is rejected first.
pub fn decide(
    backlog: &PoolBacklog,
    request: &BacklogRequest,
    share: Option<&OrganisationShare>,
) -> BacklogDecision {
    if request.is_repeated {
        return BacklogDecision::Send;
    }
    let objective_ms = request.objective_ms as f64;
    let left_ms = objective_ms - request.waited_ms as f64;
    let spare_ms = left_ms - request.expected_ttft_ms.unwrap_or(0.0);
    let fraction = admit_fraction(backlog, request.rank, share);
    if request.draw < fraction && spare_ms >= 0.0 {
        return BacklogDecision::Send;
    }
    let held_ms = MAX_HELD_RATIO * objective_ms - request.waited_ms as f64;
    let max_ms = held_ms.min(spare_ms);
    let is_near = request.draw < fraction + HOLDABLE_RISE * f64::from(u8::from(fraction > 0.0));
    let is_over = share.is_some_and(OrganisationShare::is_over);
    if max_ms >= 1.0 && is_near && !is_over {
        return BacklogDecision::Hold {
            max_ms: max_ms as u64,
        };
    }
    BacklogDecision::Reject
}

/// When slots are expected to be free for a rejected request. The excess over the use at
/// which its rank is admitted ends with the requests in progress, in their mean service time;
/// returns are spread over as long again, so that they don't come together.
pub fn return_ms(backlog: &PoolBacklog, request: &BacklogRequest) -> u64 {
    let (all_until, _) = UTILISATION_THRESHOLDS[usize::from(request.rank.min(MAX_RANK))];
    let excess = (backlog.expected_utilisation() - all_until).max(0.0);
    let drain_ms = backlog.service_ms * (1.0 + excess);
    let return_ms = drain_ms.max(MIN_RETURN_MS) * (1.0 + request.return_draw);
    return_ms.min(MAX_RETURN_MS) as u64
}
