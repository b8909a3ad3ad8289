//! Whether a pool of engines is overrun.

use std::collections::VecDeque;

use crate::admission::PoolOccupancy;

/// Use of the slots from which on a pool is overrun. Full endpoints alone are no sign of it: a
/// hot prefix or a slow zone fills some while the others have room, and requests are better
/// placed there by counts.
const OVERRUN_UTILISATION: f64 = 0.9;
/// Use of the slots below which it is not.
const CALM_UTILISATION: f64 = 0.7;
/// Time for which a pool stays overrun after its last sign of it. Covers the age of load
/// reports in a large fleet.
const CALM_DELAY_MS: u64 = 2_000;

/// Time over which the trend of requests in progress is taken.
const TREND_WINDOW_MS: u64 = 800;
/// How far ahead the use of the slots is expected. Covers the age of the sums, and the time for
/// which requests that are sent meanwhile keep their slots.
const HORIZON_MS: f64 = 2_000.0;
/// Least time between two samples of the trend.
const TREND_STEP_MS: u64 = 50;
/// Shorter spans show chance rather than a trend.
const MIN_TREND_MS: u64 = 400;

/// Outstanding work of a pool, as one host knows it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PoolBacklog {
    /// Slots of the endpoints that accept requests.
    pub slots: u32,
    /// Requests in progress on them, over the fleet.
    pub in_progress: u32,
    /// Endpoints that accept requests.
    pub endpoints: u32,
    /// Those of them that have no free slot.
    pub full_endpoints: u32,
    /// Hosts that share them.
    pub hosts: usize,
    /// Mean service time, in milliseconds; 0 if unknown.
    pub service_ms: f64,
    /// Typical age of what is known of other hosts, in milliseconds.
    pub age_ms: f64,
    /// Change of the requests in progress in a millisecond; 0 if unknown.
    pub trend_per_ms: f64,
}

impl PoolBacklog {
    /// Requests in progress against the slots; 0 without slots, since nothing is known then.
    pub fn utilisation(&self) -> f64 {
        if self.slots == 0 {
            return 0.0;
        }
        f64::from(self.in_progress) / f64::from(self.slots)
    }

    /// The use of the slots to expect when what is sent now shows in the sums. Without it, a
    /// pool that fills goes on being filled for as long as the sums are old, and one that
    /// drains is kept empty.
    pub fn expected_utilisation(&self) -> f64 {
        if self.slots == 0 {
            return 0.0;
        }
        let in_progress = f64::from(self.in_progress) + self.trend_per_ms * HORIZON_MS;
        in_progress.max(0.0) / f64::from(self.slots)
    }

    /// The same without what only overruns need.
    pub fn occupancy(&self) -> PoolOccupancy {
        PoolOccupancy {
            slots: self.slots,
            in_progress: self.in_progress,
            service_ms: self.service_ms,
        }
    }

    /// Whether the pool is too large for one scheduler to grant each slot.
    pub fn has_many_slots(&self) -> bool {
        self.slots as usize > self.hosts
    }
}

/// Whether a pool is overrun.
///
/// It is from the moment at which nine tenths of its slots are seen in use until less than
/// seven tenths have been for two seconds. A pool with no more slots than hosts never is:
/// its scheduler grants its slots.
///
/// # Example
///
/// ```
/// use chalkrock_routing::{Overrun, PoolBacklog};
///
/// let mut full = PoolBacklog {
///     slots: 640,
///     in_progress: 600,
///     endpoints: 10,
///     full_endpoints: 0,
///     hosts: 62,
///     service_ms: 900.0,
///     age_ms: 300.0,
///     trend_per_ms: 0.0,
/// };
/// let mut overrun = Overrun::default();
/// assert!(overrun.update(&mut full, 0));
/// let mut calm = PoolBacklog { in_progress: 90, ..full };
/// assert!(overrun.update(&mut calm, 1_000));
/// assert!(!overrun.update(&mut calm, 2_000));
/// ```
#[derive(Clone, Debug, Default)]
pub struct Overrun {
    /// When the last sign lapses; 0 if there is none.
    until_ms: u64,
    /// Times and requests in progress, oldest first.
    samples: VecDeque<(u64, u32)>,
}

impl Overrun {
    /// Takes the present backlog into account and fills in its trend. Returns whether the pool
    /// is overrun.
    pub fn update(&mut self, backlog: &mut PoolBacklog, now_ms: u64) -> bool {
        backlog.trend_per_ms = self.trend_per_ms(backlog.in_progress, now_ms);
        if !backlog.has_many_slots() {
            self.until_ms = 0;
            return false;
        }
        let threshold = if self.is_overrun(now_ms) {
            CALM_UTILISATION
        } else {
            OVERRUN_UTILISATION
        };
        if backlog.utilisation() >= threshold {
            self.until_ms = now_ms + CALM_DELAY_MS;
        }
        self.is_overrun(now_ms)
    }

    fn trend_per_ms(&mut self, in_progress: u32, now_ms: u64) -> f64 {
        let age_ms = |sample: &(u64, u32)| now_ms.saturating_sub(sample.0);
        while self
            .samples
            .front()
            .is_some_and(|first| age_ms(first) > TREND_WINDOW_MS)
        {
            self.samples.pop_front();
        }
        let is_due = self
            .samples
            .back()
            .is_none_or(|last| age_ms(last) >= TREND_STEP_MS);
        if is_due {
            self.samples.push_back((now_ms, in_progress));
        }
        let first = self
            .samples
            .front()
            .filter(|first| age_ms(first) >= MIN_TREND_MS);
        first.map_or(0.0, |first| {
            (f64::from(in_progress) - f64::from(first.1)) / age_ms(first) as f64
        })
    }

    /// Whether the pool was overrun at the last update and no calm followed.
    pub fn is_overrun(&self, now_ms: u64) -> bool {
        now_ms < self.until_ms
    }
}
