//! Mean times between the events of one stream.

use std::time::Duration;

use tokio::time::Instant;

/// Intervals in one mean: fewer vary too much, more show a slow endpoint late.
const INTERVALS_PER_MEAN: u32 = 8;
/// Time that the caller may leave a stream unread without the endpoint pausing.
const MAX_UNREAD: Duration = Duration::from_millis(10);

/// Averages the times between chunks while the caller keeps reading.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct EventIntervals {
    began_at: Option<Instant>,
    intervals: u32,
}

impl EventIntervals {
    /// Records a chunk. Returns the mean interval once there are enough.
    pub(crate) fn record(&mut self, received_at: Instant) -> Option<Duration> {
        let began_at = *self.began_at.get_or_insert(received_at);
        if received_at > began_at {
            self.intervals += 1;
        }
        if self.intervals < INTERVALS_PER_MEAN {
            return None;
        }
        *self = Self {
            began_at: Some(received_at),
            intervals: 0,
        };
        Some((received_at - began_at) / INTERVALS_PER_MEAN)
    }

    /// Begins again if the caller has not read since `relayed_at`: the time of a chunk then
    /// shows the caller's speed.
    pub(crate) fn resume_reading(&mut self, relayed_at: Instant) {
        if relayed_at.elapsed() > MAX_UNREAD {
            *self = Self::default();
        }
    }
}
