//! Detection of process and host suspensions.
//!
//! After a stopped process resumes, the steady clock is ahead of its timers. A
//! suspended host stops its steady clock, so that only its boot clock shows the time.

/// Two clocks read at one moment, in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ClockReading {
    /// Monotonic clock that does not advance during suspension.
    pub steady_ms: u64,
    /// Monotonic clock that advances during suspension.
    pub boot_ms: u64,
}

/// A suspension of the process or of its host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Suspension {
    /// Its duration, in milliseconds.
    pub duration_ms: u64,
    /// Time that the steady clock did not count, in milliseconds.
    pub uncounted_ms: u64,
}

/// Exceeds the time for which a process may be preempted between the two readings.
const MIN_CLOCK_DIFFERENCE_MS: u64 = 300;
/// Exceeds the timer delays of an overloaded host.
const MIN_TIMER_DELAY_MS: u64 = 1_000;

/// Detects a suspension between two readings; without one, `after` is read at most
/// `due_ms` later than `before`.
///
/// # Example
///
/// ```
/// use chalkrock_routing::{ClockReading, detect_suspension};
///
/// let before = ClockReading { steady_ms: 10, boot_ms: 50_000 };
/// let after = ClockReading { steady_ms: 210, boot_ms: 55_200 };
/// let suspension = detect_suspension(before, after, 200).expect("a suspension");
/// assert_eq!(suspension.duration_ms, 5_000);
/// assert_eq!(suspension.uncounted_ms, 5_000);
/// ```
pub fn detect_suspension(
    before: ClockReading,
    after: ClockReading,
    due_ms: u64,
) -> Option<Suspension> {
    let steady_ms = after.steady_ms.saturating_sub(before.steady_ms);
    let boot_ms = after.boot_ms.saturating_sub(before.boot_ms);
    let difference_ms = boot_ms.saturating_sub(steady_ms);
    let is_host_suspended = difference_ms >= MIN_CLOCK_DIFFERENCE_MS;
    let uncounted_ms = if is_host_suspended { difference_ms } else { 0 };
    let duration_ms = (steady_ms + uncounted_ms).saturating_sub(due_ms);
    let is_process_stopped = duration_ms >= MIN_TIMER_DELAY_MS;
    (is_host_suspended || is_process_stopped).then_some(Suspension {
        duration_ms: duration_ms.max(uncounted_ms),
        uncounted_ms,
    })
}
