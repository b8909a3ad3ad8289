//! Milliseconds of the runtime's clock, which tests pause and advance.

use tokio::time::{Duration, Instant};

/// A clock that starts at zero.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Clock(Instant);

impl Clock {
    pub(crate) fn start() -> Self {
        Self(Instant::now())
    }

    pub(crate) fn now_ms(&self) -> u64 {
        self.0.elapsed().as_millis() as u64
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
