//! Measures scheduler lag, which shows that this host's processor is overloaded, and stalls
//! of the host, which make answers look late that were in time.
//!
//! A timer fires late by as long as other tasks wait. For overload the minimum of the last
//! samples counts, so that a single stall is not taken for it. Stalls are added up: the
//! difference of the sum between two moments is the time for which the host stalled between
//! them.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::time::Instant;

use crate::shared::Shared;

/// Time between two samples of the scheduler lag; each costs a wake-up.
pub(crate) const LAG_INTERVAL: Duration = Duration::from_millis(200);
/// Time between two samples while a rollout counts answers. A stall that is shorter may end
/// unseen before the next sample.
const STALL_INTERVAL: Duration = Duration::from_millis(20);
/// Samples whose minimum counts.
const SAMPLES: usize = 2;
/// Timer delays up to this are no stall: timers fire up to one millisecond late on an idle
/// host, and a response of some seconds spans hundreds of them.
const MIN_STALL_MS: u64 = 4;

/// The current scheduler lag and the sum of stalls.
#[derive(Debug, Default)]
pub(crate) struct SchedulerLag {
    min_ms: AtomicU64,
    stalls: Mutex<StallSum>,
}

/// Stalls since the start of the process.
#[derive(Debug, Default)]
struct StallSum {
    total_ms: u64,
    /// When the next sample is due; `None` before the first.
    due: Option<Instant>,
}

impl SchedulerLag {
    pub(crate) fn ms(&self) -> u64 {
        self.min_ms.load(Ordering::Relaxed)
    }

    /// For how long the host has stalled since its start, in milliseconds, including a stall
    /// that has just ended: a task may run before the one that takes the samples.
    pub(crate) fn stalled_ms(&self) -> u64 {
        let stalls = self.stalls();
        let since_due = stalls.due.map(|due| due.elapsed());
        stalls.total_ms + since_due.map_or(0, stall_ms)
    }

    /// Adds a suspension that the runtime's clock did not count.
    pub(crate) fn add_suspension(&self, uncounted_ms: u64) {
        self.stalls().total_ms += uncounted_ms;
    }

    /// Adds the delay of the sample that was due, and returns when the next one is.
    fn next_sample(&self, interval: Duration) -> Instant {
        let mut stalls = self.stalls();
        if let Some(due) = stalls.due {
            stalls.total_ms += stall_ms(due.elapsed());
        }
        let due = Instant::now() + interval;
        stalls.due = Some(due);
        due
    }

    fn stalls(&self) -> MutexGuard<'_, StallSum> {
        self.stalls.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The stall that a timer's delay shows, in milliseconds.
fn stall_ms(delay: Duration) -> u64 {
    let delay_ms = delay.as_millis() as u64;
    if delay_ms > MIN_STALL_MS { delay_ms } else { 0 }
}

/// Measures scheduler lag and stalls until the process ends.
pub(crate) async fn measure_lag(shared: Arc<Shared>) {
    let mut samples = [0; SAMPLES];
    for index in (0..SAMPLES).cycle() {
        let until = Instant::now() + LAG_INTERVAL;
        samples[index] = sample_until(&shared, until).await;
        let min_ms = samples.iter().min().copied().unwrap_or_default();
        shared.lag.min_ms.store(min_ms, Ordering::Relaxed);
    }
}

/// Adds up stalls until a moment, and returns the delay of the last sample.
async fn sample_until(shared: &Shared, until: Instant) -> u64 {
    loop {
        let counts_answers = shared.fleet().rollouts.counts_answers();
        let interval = if counts_answers {
            STALL_INTERVAL
        } else {
            LAG_INTERVAL
        };
        let remaining = until.saturating_duration_since(Instant::now());
        let due = shared.lag.next_sample(interval.min(remaining));
        tokio::time::sleep_until(due).await;
        shared.detect_suspension();
        let delay_ms = due.elapsed().as_millis() as u64;
        if due >= until {
            return delay_ms;
        }
    }
}
