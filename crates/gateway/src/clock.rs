//! Milliseconds of the runtime's clock, which tests pause and advance.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use tokio::time::{Duration, Instant};

/// A clock that starts at zero, and counts the time in which the host was suspended
/// once that is known.
#[derive(Clone, Debug)]
pub(crate) struct Clock {
    started_at: Instant,
    /// What the runtime's clock did not count.
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

    /// What the runtime's clock alone says.
    pub(crate) fn steady_ms(&self) -> u64 {
        self.started_at.elapsed().as_millis() as u64
    }

    /// Time in which the host was suspended, so far.
    pub(crate) fn uncounted_ms(&self) -> u64 {
        self.uncounted_ms.load(Ordering::Relaxed)
    }

    /// The host was suspended for so long.
    pub(crate) fn add_uncounted(&self, milliseconds: u64) {
        self.uncounted_ms.fetch_add(milliseconds, Ordering::Relaxed);
    }
}

/// Whole milliseconds until an instant, 0 if it has passed.
pub(crate) fn left_ms(until: Instant) -> u64 {
    until.saturating_duration_since(Instant::now()).as_millis() as u64
}

/// Milliseconds as a duration.
pub(crate) fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}
