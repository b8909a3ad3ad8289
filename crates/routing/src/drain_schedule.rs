//! Phases of a graceful stop.
//!
//! The entry balancer takes a few seconds to notice that a host is not ready, and
//! callers use kept-alive connections until asked to close them. A stopping host
//! therefore reports not ready at once and closes each connection after its next
//! answer. It accepts new requests for a fraction of its grace period, which leaves
//! the longest ones time to end, then rejects them, so that callers retry on another
//! host. It exits when no request runs and the entry balancer has noticed.

/// Fraction of the grace period in which new requests are accepted.
const ACCEPT_FRACTION: f64 = 0.3;
/// Time after which the entry balancer sends no new connections.
const BALANCER_DELAY_MS: u64 = 2_600;
/// Part of the grace period reserved for the process to exit.
const EXIT_RESERVE_MS: u64 = 250;

/// Phase of a graceful stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DrainPhase {
    /// Accepts requests and closes each connection after its answer.
    Accepting,
    /// Rejects new requests while running ones end.
    Draining,
    /// Exits.
    Exiting,
}

/// Schedule of one stop.
///
/// # Example
///
/// ```
/// use chalkrock_routing::{DrainPhase, DrainSchedule};
///
/// let schedule = DrainSchedule::new(8_000);
/// assert_eq!(schedule.phase(0, 3), DrainPhase::Accepting);
/// assert_eq!(schedule.phase(4_000, 3), DrainPhase::Draining);
/// assert_eq!(schedule.phase(4_000, 0), DrainPhase::Exiting);
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DrainSchedule {
    grace_ms: u64,
}

impl DrainSchedule {
    /// Schedules a stop after which the process is killed at `grace_ms`.
    pub fn new(grace_ms: u64) -> Self {
        Self { grace_ms }
    }

    /// Phase `elapsed_ms` after the stop was requested, with `running` requests in
    /// progress.
    pub fn phase(&self, elapsed_ms: u64, running: usize) -> DrainPhase {
        let accepts_until_ms = (ACCEPT_FRACTION * self.grace_ms as f64) as u64;
        let exits_at_ms = self.grace_ms.saturating_sub(EXIT_RESERVE_MS);
        if elapsed_ms >= exits_at_ms {
            return DrainPhase::Exiting;
        }
        if elapsed_ms < accepts_until_ms {
            return DrainPhase::Accepting;
        }
        if running == 0 && elapsed_ms >= BALANCER_DELAY_MS.min(exits_at_ms) {
            return DrainPhase::Exiting;
        }
        DrainPhase::Draining
    }
}
