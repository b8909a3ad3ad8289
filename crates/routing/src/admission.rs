//! Admission control for an overloaded pool.
//!
//! Endpoints queue requests beyond their slots. A request that queues longer than its
//! caller waits is late or abandoned, and still takes up a slot. So the wait that a
//! new request has to expect is compared with its objective, and a request that would
//! wait too long is rejected at once.
//!
//! By Little's law, requests in progress divided by the mean service time give the
//! pool's throughput; a new request waits until the pool has served the excess over its
//! slots. A fixed limit on the excess does not work: short calls can queue many times
//! within their objective, long streams can't.
//!
//! More urgent requests accept a longer wait, and every rank gets at least a fraction
//! of the chance of the most urgent, so that none starves.

use crate::fair_share::OrganisationShare;

/// Rank of the least urgent requests; larger ranks count as this one.
const MAX_RANK: u8 = 2;
/// By rank, the expected wait as a fraction of the objective up to which all requests
/// are admitted, and from which only the minimum is.
const WAIT_RATIO_THRESHOLDS: [(f64, f64); 3] = [(0.40, 0.90), (0.30, 0.75), (0.25, 0.60)];
/// Minimum chance of admission, relative to that of the most urgent rank.
const MIN_ADMIT_RATIO: f64 = 0.4;
/// Weight of a new sample in the mean.
const SAMPLE_WEIGHT: f64 = 0.05;

/// Exponentially weighted mean of the service time on a pool's endpoints.
///
/// # Example
///
/// ```
/// use chalkrock_routing::ServiceTimeEwma;
///
/// let mut service_time = ServiceTimeEwma::default();
/// service_time.record(200);
/// assert_eq!(service_time.ms(), 200.0);
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct ServiceTimeEwma(Option<f64>);

impl ServiceTimeEwma {
    /// Adds the service time of a completed request.
    pub fn record(&mut self, service_ms: u64) {
        let service_ms = service_ms as f64;
        let mean = self.0.get_or_insert(service_ms);
        *mean += SAMPLE_WEIGHT * (service_ms - *mean);
    }

    /// Starts from the mean of another host, unless there are samples.
    pub fn start_from(&mut self, service_ms: f64) {
        self.0.get_or_insert(service_ms);
    }

    /// Mean in milliseconds, 0 before the first sample.
    pub fn ms(&self) -> f64 {
        self.0.unwrap_or(0.0)
    }
}

/// The longest recent service time, over the current and the previous window.
#[derive(Clone, Copy, Debug, Default)]
pub struct MaxServiceTime {
    /// Index of the current window.
    window: u64,
    current_ms: u64,
    previous_ms: u64,
}

/// Length of one window.
const WINDOW_MS: u64 = 30_000;

impl MaxServiceTime {
    /// Adds the service time of a request.
    pub fn record(&mut self, service_ms: u64, now_ms: u64) {
        self.advance(now_ms);
        self.current_ms = self.current_ms.max(service_ms);
    }

    /// Longest service time of the last 30 to 60 s, in milliseconds.
    pub fn ms(mut self, now_ms: u64) -> u64 {
        self.advance(now_ms);
        self.current_ms.max(self.previous_ms)
    }

    fn advance(&mut self, now_ms: u64) {
        let window = now_ms / WINDOW_MS;
        if window > self.window {
            self.previous_ms = if window == self.window + 1 {
                self.current_ms
            } else {
                0
            };
            self.current_ms = 0;
            self.window = window;
        }
    }
}

/// Slots and load of a pool.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PoolOccupancy {
    /// Requests that the endpoints accepting work can process at once.
    pub slots: u32,
    /// Requests in progress on them, over the fleet.
    pub in_progress: u32,
    /// Mean service time, in milliseconds.
    pub service_ms: f64,
}

impl PoolOccupancy {
    /// Expected wait of a new request for a slot, in milliseconds.
    pub fn wait_ms(&self) -> f64 {
        if self.in_progress <= self.slots {
            return 0.0;
        }
        let excess = f64::from(self.in_progress - self.slots);
        self.service_ms * excess / f64::from(self.in_progress)
    }
}

/// A request that asks for admission.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AdmissionRequest {
    /// Priority, 0 the most urgent.
    pub rank: u8,
    /// Time within which the caller expects an answer.
    pub objective_ms: u64,
    /// Whether its organisation exceeds its share of the requests in progress.
    pub is_over_share: bool,
}

/// Probability, 0 to 1, with which a request is admitted.
pub fn admit_probability(occupancy: &PoolOccupancy, request: &AdmissionRequest) -> f64 {
    let wait_ratio = occupancy.wait_ms() / request.objective_ms.max(1) as f64;
    let penalty = u8::from(request.is_over_share);
    let rank = request.rank.saturating_add(penalty).min(MAX_RANK);
    probability_with_floor(wait_ratio, rank)
}

fn probability_with_floor(wait_ratio: f64, rank: u8) -> f64 {
    let floor = MIN_ADMIT_RATIO * probability_for_rank(wait_ratio, 0);
    probability_for_rank(wait_ratio, rank).max(floor)
}

/// Whether a request is admitted; `draw` is from 0 up to 1.
///
/// # Example
///
/// ```
/// use chalkrock_routing::{PoolOccupancy, AdmissionRequest, admits};
///
/// let request = AdmissionRequest { rank: 0, objective_ms: 400, is_over_share: false };
/// let full = PoolOccupancy { slots: 64, in_progress: 64, service_ms: 1_000.0 };
/// assert!(admits(&full, &request, 0.99));
/// let overrun = PoolOccupancy { in_progress: 128, ..full };
/// assert!(!admits(&overrun, &request, 0.0));
/// ```
pub fn admits(occupancy: &PoolOccupancy, request: &AdmissionRequest, draw: f64) -> bool {
    draw < admit_probability(occupancy, request)
}

/// Fraction of a pool's idle slots that organisations over their share are given beyond
/// it at once. Hosts see the others' requests a report later.
const IDLE_GAIN: f64 = 0.5;
/// Time within which a queue is to drain. Longer than reports take, or admission
/// oscillates.
const DRAIN_MS: f64 = 1_000.0;
/// Part of its share that an organisation over it keeps while a queue drains.
const MIN_SHARE_FRACTION: f64 = 0.5;
/// Longest wait as a fraction of the objective that counts for an organisation within its
/// share, while others are over theirs: all within their shares fit the pool together, and
/// the others' queue is over as soon as they are held to theirs.
const MAX_WITHIN_SHARE_WAIT: f64 = 0.5;

/// Probability with which a request is admitted whose organisation's share over the fleet
/// is known.
///
/// Of an organisation over its share, only the fraction that fits it competes with the
/// requests of others; more while slots are idle, less while a queue drains.
///
/// # Example
///
/// ```
/// use chalkrock_routing::{
///     AdmissionRequest, OrganisationShare, PoolOccupancy, fair_admit_probability,
/// };
///
/// let request = AdmissionRequest { rank: 0, objective_ms: 400, is_over_share: false };
/// let full = PoolOccupancy { slots: 64, in_progress: 64, service_ms: 40.0 };
/// let share = OrganisationShare { demand_ratio: 4.0, use_ratio: 1.0, over_share_slots: 64.0 };
/// assert_eq!(fair_admit_probability(&full, &request, &share), 0.25);
/// let idle = PoolOccupancy { in_progress: 32, ..full };
/// assert_eq!(fair_admit_probability(&idle, &request, &share), 0.5);
/// ```
pub fn fair_admit_probability(
    occupancy: &PoolOccupancy,
    request: &AdmissionRequest,
    share: &OrganisationShare,
) -> f64 {
    let mut wait_ratio = occupancy.wait_ms() / request.objective_ms.max(1) as f64;
    if share.over_share_slots > 0.0 && !share.is_over() {
        wait_ratio = (wait_ratio * MAX_WITHIN_SHARE_WAIT).min(MAX_WITHIN_SHARE_WAIT);
    }
    probability_with_floor(wait_ratio, request.rank) * share_fraction(occupancy, share)
}

/// When a rejected request of an organisation over its share may return; `draw` is from 0 up
/// to 1. What the organisation demands beyond its share in a second takes as many seconds of
/// its share as it is times larger; returns are spread over these.
pub fn over_share_return_ms(share: &OrganisationShare, draw: f64) -> u64 {
    const MIN_MS: f64 = 300.0;
    const MIN_SPREAD_MS: f64 = 700.0;
    const MAX_SPREAD_MS: f64 = 10_000.0;
    const SECOND_MS: f64 = 1_000.0;
    let excess_ms = (share.demand_ratio - 1.0) * SECOND_MS;
    let spread_ms = excess_ms.clamp(MIN_SPREAD_MS, MAX_SPREAD_MS);
    (MIN_MS + spread_ms * draw) as u64
}

/// The fraction of an organisation's requests that may compete for slots.
pub(crate) fn share_fraction(occupancy: &PoolOccupancy, share: &OrganisationShare) -> f64 {
    if !share.is_over() {
        return 1.0;
    }
    let (slots, in_progress) = (f64::from(occupancy.slots), f64::from(occupancy.in_progress));
    let idle_slots = slots - in_progress;
    let spare_slots = if idle_slots > 0.0 {
        IDLE_GAIN * idle_slots
    } else {
        // The service time includes the wait in the queue.
        let slot_time_ms = occupancy.service_ms * slots / in_progress.max(1.0);
        idle_slots * (slot_time_ms / DRAIN_MS).min(1.0)
    };
    let fitting = share.fitting_fraction();
    let fraction = fitting + spare_slots / share.over_share_slots.max(1.0);
    fraction.clamp(MIN_SHARE_FRACTION * fitting, 1.0)
}

/// Probability with which a host whose scheduler lags by `lag_ms` rejects a request.
/// Always below 1, so that a fleet that lags as a whole still serves what it can.
///
/// # Example
///
/// ```
/// use chalkrock_routing::shed_probability;
///
/// assert_eq!(shed_probability(100), 0.0);
/// assert_eq!(shed_probability(5_000), 0.9);
/// ```
pub fn shed_probability(lag_ms: u64) -> f64 {
    const MIN_LAG_MS: f64 = 250.0;
    const MAX_LAG_MS: f64 = 1_000.0;
    const MAX_PROBABILITY: f64 = 0.9;
    let fraction = (lag_ms as f64 - MIN_LAG_MS) / (MAX_LAG_MS - MIN_LAG_MS);
    MAX_PROBABILITY * fraction.clamp(0.0, 1.0)
}

fn probability_for_rank(wait_ratio: f64, rank: u8) -> f64 {
    let (admit_all_until, admit_min_from) = WAIT_RATIO_THRESHOLDS[usize::from(rank.min(MAX_RANK))];
    ((admit_min_from - wait_ratio) / (admit_min_from - admit_all_until)).clamp(0.0, 1.0)
}
