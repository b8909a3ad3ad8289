//! Whether a host stood still between two moments, and for how long.
//!
//! A process that was stopped finds its steady clock ahead of its timers. One whose
//! machine was suspended does not: the steady clock did not count that time, and only
//! a clock that counts suspensions shows it.

/// Two clocks at one moment, in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ClockReading {
    /// A clock that never steps and does not count suspensions.
    pub steady_ms: u64,
    /// A clock that never steps and counts them.
    pub boot_ms: u64,
}

/// A time in which a host did nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Suspension {
    /// How long it was.
    pub duration_ms: u64,
    /// What of it the steady clock did not count.
    pub uncounted_ms: u64,
}

/// The least difference of the clocks that is taken for a suspension. They are read
/// one after the other, and a host may wait for its processor between: up to a tenth
/// of a second where that is given out in parts.
const SUSPENDED_MIN_MS: u64 = 300;
/// The least delay of a timer that is taken for a stop. Hosts that are given more than
/// they can do are late by less: they shed load from a fraction of this on.
const STOPPED_MIN_MS: u64 = 1_000;

/// The pause between two readings, if there was one; without it the second would have
/// been taken `due_ms` after the first, or sooner.
///
/// # Example
///
/// ```
/// use chalkrock_routing::{ClockReading, detect_suspension};
///
/// let before = ClockReading { steady_ms: 10, boot_ms: 50_000 };
/// let after = ClockReading { steady_ms: 210, boot_ms: 55_200 };
/// let pause = detect_suspension(before, after, 200).expect("a suspension");
/// assert_eq!(pause.length_ms, 5_000);
/// assert_eq!(pause.uncounted_ms, 5_000);
/// ```
pub fn detect_suspension(
    before: ClockReading,
    after: ClockReading,
    due_ms: u64,
) -> Option<Suspension> {
    let steady_ms = after.steady_ms.saturating_sub(before.steady_ms);
    let boot_ms = after.boot_ms.saturating_sub(before.boot_ms);
    let difference_ms = boot_ms.saturating_sub(steady_ms);
    let is_suspension = difference_ms >= SUSPENDED_MIN_MS;
    let uncounted_ms = if is_suspension { difference_ms } else { 0 };
    let length_ms = (steady_ms + uncounted_ms).saturating_sub(due_ms);
    let is_stop = length_ms >= STOPPED_MIN_MS;
    (is_suspension || is_stop).then_some(Suspension {
        duration_ms: length_ms.max(uncounted_ms),
        uncounted_ms,
    })
}
