//! How far this host is behind its own work.
//!
//! A host that is given more than its processor can do grows slow without a
//! sign from any endpoint. Its timers show it: one that should have fired is
//! fired late by as long as everything else waits. A single late one is a
//! pause, as after a freeze, and what waited for it is served the sooner the
//! better; so the least of the last two counts. Each measure is a wake-up, which costs.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use tokio::time::Instant;

use crate::shared::Shared;

/// How often it is measured.
pub(crate) const TICK: Duration = Duration::from_millis(200);
/// How many measures in a row count.
const TICKS: usize = 2;

/// The time by which everything waits.
#[derive(Debug, Default)]
pub(crate) struct SchedulerLag(AtomicU64);

impl SchedulerLag {
    pub(crate) fn ms(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }
}

/// Measures until the process ends.
pub(crate) async fn measure_lag(shared: Arc<Shared>) {
    let mut last = [0; TICKS];
    for turn in (0..TICKS).cycle() {
        let due = Instant::now() + TICK;
        tokio::time::sleep_until(due).await;
        shared.detect_suspension();
        last[turn] = due.elapsed().as_millis() as u64;
        let least = last.iter().min().copied().unwrap_or_default();
        shared.lag.0.store(least, Ordering::Relaxed);
    }
}
