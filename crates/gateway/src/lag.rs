//! Measures scheduler lag, which shows that this host's processor is overloaded.
//!
//! A timer fires late by as long as other tasks wait. The minimum of the last samples
//! counts, so that a single stall is not taken for overload.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use tokio::time::Instant;

use crate::shared::Shared;

/// Time between two samples; each costs a wake-up.
pub(crate) const LAG_INTERVAL: Duration = Duration::from_millis(200);
/// Samples whose minimum counts.
const SAMPLES: usize = 2;

/// The current scheduler lag, in milliseconds.
#[derive(Debug, Default)]
pub(crate) struct SchedulerLag(AtomicU64);

impl SchedulerLag {
    pub(crate) fn ms(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }
}

/// Measures scheduler lag until the process ends.
pub(crate) async fn measure_lag(shared: Arc<Shared>) {
    let mut samples = [0; SAMPLES];
    for index in (0..SAMPLES).cycle() {
        let due = Instant::now() + LAG_INTERVAL;
        tokio::time::sleep_until(due).await;
        shared.detect_suspension();
        samples[index] = due.elapsed().as_millis() as u64;
        let min_ms = samples.iter().min().copied().unwrap_or_default();
        shared.lag.0.store(min_ms, Ordering::Relaxed);
    }
}
