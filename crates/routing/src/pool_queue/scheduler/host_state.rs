//! What a scheduler knows of one host.

use std::collections::BTreeMap;

use crate::pool_queue::{RejectionCause, TicketId};

/// Room for a service time above the mean, in mean service times.
const START_MARGIN: f64 = 1.0;
/// Part of the time left that may be spent waiting at any service time.
const MIN_WAIT_RATIO: f64 = 0.3;

#[derive(Clone, Debug)]
pub(super) struct Waiting {
    pub(super) rank: u8,
    pub(super) organisation: u32,
    pub(super) latest_start_ms: u64,
    pub(super) work_ms: u32,
    pub(super) fingerprint: u64,
    pub(super) tried: Vec<u32>,
    pub(super) since_ms: u64,
    /// Whether it returns when a rejection said so.
    pub(super) is_returning: bool,
}

impl Waiting {
    /// Longest wait with which it stays in the queue. A return stays while it can start at
    /// all.
    pub(super) fn longest_wait_ms(&self, service_ms: f64, now_ms: u64) -> f64 {
        let left_ms = self.latest_start_ms.saturating_sub(now_ms) as f64;
        if self.is_returning {
            return left_ms;
        }
        (left_ms - START_MARGIN * service_ms).max(left_ms * MIN_WAIT_RATIO)
    }
}

#[derive(Clone, Debug)]
pub(super) struct Lease {
    pub(super) endpoint: u32,
    /// When it was granted; none if by another scheduler.
    pub(super) granted_ms: Option<u64>,
    /// Whether an ask has listed it.
    pub(super) is_held: bool,
    /// The request, to wait again if the endpoint refuses it; none if another granted it.
    pub(super) request: Option<Waiting>,
}

impl Lease {
    /// Whether another scheduler granted it, or nobody.
    pub(super) fn is_foreign(&self) -> bool {
        self.granted_ms.is_none()
    }
}

#[derive(Clone, Copy, Debug)]
pub(super) struct Rejected {
    pub(super) cause: RejectionCause,
    pub(super) return_at_ms: u64,
}

#[derive(Clone, Debug)]
pub(super) struct HostState {
    pub(super) incarnation: u64,
    pub(super) sequence: u64,
    pub(super) seen_ms: u64,
    pub(super) waiting: BTreeMap<TicketId, Waiting>,
    pub(super) leases: BTreeMap<TicketId, Lease>,
    pub(super) rejected: BTreeMap<TicketId, Rejected>,
}
