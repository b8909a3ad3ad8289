//! Whether a request is taken in while its pool is overloaded.
//!
//! Endpoints queue what they have no place for, and a queue that is longer
//! than callers wait is worse than none: each request in it is late or given
//! up, and places are spent on it all the same. So the wait that a newcomer
//! has to expect is estimated and held against its objective. Where it is too
//! long, the request is refused at once, and told when to come back.
//!
//! The estimate needs no word of the endpoints. By Little's law, what is in
//! progress on a pool, over the time that each request stays there, is the
//! rate at which the pool serves; a newcomer waits until the pool has served
//! all that is in progress beyond its places. Tried before: to take in while
//! more than an endpoint's places are filled by a fixed part. Places of short
//! calls turn over ten times within their objective and may well queue, those
//! of long streams may not; one part fits only one of them.
//!
//! Urgent requests bear a longer wait than others before they are refused, so
//! that the least urgent go first; but none falls below a part of what the
//! most urgent get, so that no kind starves.

/// Rank of the least urgent request; ranks beyond it are like it.
const RANK_LAST: u8 = 2;
/// Parts of the objective that the expected wait may take, by rank: up to the
/// first every request is taken in, from the second on only the floor is.
const WAIT_THRESHOLDS: [(f64, f64); 3] = [(0.40, 0.90), (0.30, 0.75), (0.25, 0.60)];
/// The least chance, as a part of the chance of the most urgent.
const FLOOR: f64 = 0.4;
/// Weight of a new stay in the mean.
const STAY_STEP: f64 = 0.05;

/// The mean time that requests stay on a pool's endpoints.
///
/// # Example
///
/// ```
/// use chalkrock_routing::ServiceTimeEwma;
///
/// let mut stay = ServiceTimeEwma::default();
/// stay.record(200);
/// assert_eq!(stay.ms(), 200.0);
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct ServiceTimeEwma(Option<f64>);

impl ServiceTimeEwma {
    /// A request left after so long.
    pub fn record(&mut self, service_ms: u64) {
        let service_ms = service_ms as f64;
        let mean = self.0.get_or_insert(service_ms);
        *mean += STAY_STEP * (service_ms - *mean);
    }

    /// The mean in milliseconds, 0 while none has left.
    pub fn ms(&self) -> f64 {
        self.0.unwrap_or(0.0)
    }
}

/// The longest stay of late, in two spans of which the older one is dropped in turn.
#[derive(Clone, Copy, Debug, Default)]
pub struct MaxServiceTime {
    /// The number of the span that goes on.
    span: u64,
    now_ms: u64,
    before_ms: u64,
}

/// How long a span of [`MaxServiceTime`] is.
const SPAN_MS: u64 = 30_000;

impl MaxServiceTime {
    /// A request stayed so long.
    pub fn record(&mut self, service_ms: u64, now_ms: u64) {
        self.turn(now_ms);
        self.now_ms = self.now_ms.max(service_ms);
    }

    /// The longest stay in the last 30 to 60 s, in milliseconds.
    pub fn ms(mut self, now_ms: u64) -> u64 {
        self.turn(now_ms);
        self.now_ms.max(self.before_ms)
    }

    fn turn(&mut self, now_ms: u64) {
        let span = now_ms / SPAN_MS;
        if span > self.span {
            self.before_ms = if span == self.span + 1 {
                self.now_ms
            } else {
                0
            };
            self.now_ms = 0;
            self.span = span;
        }
    }
}

/// How full a pool is.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PoolOccupancy {
    /// Requests that the endpoints which take work can work on at once.
    pub slots: u32,
    /// Requests in progress on them, over the fleet.
    pub in_progress: u32,
    /// How long requests stay, in the mean.
    pub service_ms: f64,
}

impl PoolOccupancy {
    /// How long a newcomer has to wait for a place.
    pub fn wait_ms(&self) -> f64 {
        if self.in_progress <= self.slots {
            return 0.0;
        }
        let served_first = f64::from(self.in_progress - self.slots);
        self.service_ms * served_first / f64::from(self.in_progress)
    }
}

/// Who asks to be taken in.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AdmissionRequest {
    /// Its rank, 0 the most urgent.
    pub rank: u8,
    /// The time in which an answer is wanted.
    pub objective_ms: u64,
    /// Whether its organisation has more than its share in progress.
    pub is_over_share: bool,
}

/// The chance with which a newcomer is taken in, 0 to 1.
pub fn admit_probability(occupancy: &PoolOccupancy, request: &AdmissionRequest) -> f64 {
    let waits = occupancy.wait_ms() / request.objective_ms.max(1) as f64;
    let behind = u8::from(request.is_over_share);
    let rank = request.rank.saturating_add(behind).min(RANK_LAST);
    let floor = FLOOR * probability_of_rank(waits, 0);
    probability_of_rank(waits, rank).max(floor)
}

/// Whether a newcomer is taken in; `draw` is from 0 up to 1.
///
/// # Example
///
/// ```
/// use chalkrock_routing::{PoolOccupancy, AdmissionRequest, admits};
///
/// let request = AdmissionRequest { rank: 0, objective_ms: 400, is_over_share: false };
/// let full = PoolOccupancy { places: 64, in_progress: 64, service_ms: 1_000.0 };
/// assert!(admits(&full, &request, 0.99));
/// let overrun = PoolOccupancy { in_progress: 128, ..full };
/// assert!(!admits(&overrun, &request, 0.0));
/// ```
pub fn admits(occupancy: &PoolOccupancy, request: &AdmissionRequest, draw: f64) -> bool {
    draw < admit_probability(occupancy, request)
}

/// The chance with which a host that is behind its own work by so long refuses
/// a request. It still takes a tenth, so that a fleet which is behind as a
/// whole serves what it can.
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
    const NONE_UP_TO_MS: f64 = 250.0;
    const MOST_FROM_MS: f64 = 1_000.0;
    const MOST: f64 = 0.9;
    let part = (lag_ms as f64 - NONE_UP_TO_MS) / (MOST_FROM_MS - NONE_UP_TO_MS);
    MOST * part.clamp(0.0, 1.0)
}

fn probability_of_rank(waits: f64, rank: u8) -> f64 {
    let (all_up_to, none_from) = WAIT_THRESHOLDS[usize::from(rank.min(RANK_LAST))];
    ((none_from - waits) / (none_from - all_up_to)).clamp(0.0, 1.0)
}
