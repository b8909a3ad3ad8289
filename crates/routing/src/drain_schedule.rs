//! What a host still takes after it was asked to stop.
//!
//! The entry balancer notices a host that is not ready within a few seconds,
//! and callers go on using kept connections until they are told not to. So a
//! host that stops says at once that it is not ready and that each connection
//! closes after its next answer; it takes new requests for a part of its grace
//! that leaves the longest ones time to end; then it refuses, so that callers
//! ask another host; and it ends when nothing runs and the entry has noticed.

/// Part of the grace in which new requests are taken.
const TAKES_PART: f64 = 0.3;
/// The entry has noticed after this, and sends no new connections.
const NOTICED_MS: u64 = 2_600;
/// What is kept of the grace for the process itself to end.
const RESERVE_MS: u64 = 250;

/// What a host that is stopping does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DrainPhase {
    /// Takes requests and closes each connection after its answer.
    TakesLast,
    /// Refuses requests, and lets those that run end.
    Drains,
    /// Ends.
    Ends,
}

/// The plan of one stop.
///
/// # Example
///
/// ```
/// use chalkrock_routing::{DrainPhase, DrainSchedule};
///
/// let plan = DrainSchedule::new(8_000);
/// assert_eq!(plan.phase(0, 3), DrainPhase::TakesLast);
/// assert_eq!(plan.phase(4_000, 3), DrainPhase::Drains);
/// assert_eq!(plan.phase(4_000, 0), DrainPhase::Ends);
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DrainSchedule {
    grace_ms: u64,
}

impl DrainSchedule {
    /// A stop that is followed by a kill after `grace_ms`.
    pub fn new(grace_ms: u64) -> Self {
        Self { grace_ms }
    }

    /// What to do `elapsed_ms` after the stop was asked for, with so many
    /// requests still running.
    pub fn phase(&self, elapsed_ms: u64, running: usize) -> DrainPhase {
        let takes_until_ms = (TAKES_PART * self.grace_ms as f64) as u64;
        let ends_at_ms = self.grace_ms.saturating_sub(RESERVE_MS);
        if elapsed_ms >= ends_at_ms {
            return DrainPhase::Ends;
        }
        if elapsed_ms < takes_until_ms {
            return DrainPhase::TakesLast;
        }
        if running == 0 && elapsed_ms >= NOTICED_MS.min(ends_at_ms) {
            return DrainPhase::Ends;
        }
        DrainPhase::Drains
    }
}
