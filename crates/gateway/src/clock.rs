//! A clock in milliseconds, based on the runtime's clock, which tests control.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use tokio::time::{Duration, Instant};

/// A clock that starts at zero and is advanced by detected suspensions.
#[derive(Clone, Debug)]
pub(crate) struct Clock {
    started_at: Instant,
    /// Time of suspensions that the runtime's clock did not count.
    uncounted_ms: Arc<AtomicU64>,
}

impl Clock {
    pub(crate) fn start() -> Self {
        Self {
            started_at: Instant::now(),
            uncounted_ms: Arc::default(),
        }
    }

    pub(crate) fn now_ms(&self) -> u64 {
        self.steady_ms() + self.uncounted_ms()
    }

    /// Time by the runtime's clock, without suspensions.
    pub(crate) fn steady_ms(&self) -> u64 {
        self.started_at.elapsed().as_millis() as u64
    }

    /// Time of suspensions that the runtime's clock did not count.
    pub(crate) fn uncounted_ms(&self) -> u64 {
        self.uncounted_ms.load(Ordering::Relaxed)
    }

    /// Adds time of a suspension that the runtime's clock did not count.
    pub(crate) fn add_uncounted(&self, milliseconds: u64) {
        self.uncounted_ms.fetch_add(milliseconds, Ordering::Relaxed);
    }
}

/// Sleeps until this host has run for a while. The time by which a timer fires late does not
/// count: after a stall all timers are due at once, and what arrived meanwhile is still unread.
pub(crate) async fn sleep_running(duration: Duration) {
    /// Other tasks run between two parts of the sleep.
    const SLICES: u32 = 8;
    for _ in 0..SLICES {
        tokio::time::sleep(duration / SLICES).await;
    }
}

/// Milliseconds until an instant, 0 if it has passed.
pub(crate) fn left_ms(until: Instant) -> u64 {
    until.saturating_duration_since(Instant::now()).as_millis() as u64
}

/// Converts milliseconds to a duration.
pub(crate) fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}
