//! Claims: which request may run under a caller's idempotency key.
//!
//! A claim is one row of the platform's table, inserted if absent before the
//! request is dispatched. The table decides, so routers may disagree on
//! everything else. A claim that never ended stays: its request may have run.

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::ids::{HostId, OrganisationId, RequestId};
use crate::outcome::{Outcome, Reason};

/// Longest idempotency key that is taken.
pub const MAX_CLAIM_KEY_BYTES: usize = 255;
/// A claim still running this long after its deadline is of unknown outcome.
const OVERDUE_MS: u64 = 5_000;

/// How far a claimed request is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ClaimState {
    /// It may be dispatched, or is, by the router that claimed it.
    Running,
    /// It ended, with this outcome.
    Ended(Outcome),
}

/// The row of a claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRow {
    /// The request that holds the claim.
    pub request: RequestId,
    /// The host whose router dispatches it.
    pub host: HostId,
    /// Digest of the request's body: a key may not be used with another one.
    pub body_sha256: String,
    /// When it must have ended, in milliseconds of Unix time.
    pub deadline_at_ms: u64,
    /// How far it is.
    pub state: ClaimState,
}

/// What a router does after it found a claim in its way.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClaimDecision {
    /// The claim is this request's own: its write took effect unanswered.
    Own,
    /// The earlier request certainly did not run: replace the row.
    Replace,
    /// The earlier request ran, runs, or may have run.
    Refuse(Reason, Outcome),
}

/// The table's key of a claim.
pub fn claim_row_key(organisation: &OrganisationId, key: &str) -> String {
    use std::fmt::Write;
    let mut hasher = Sha256::new();
    hasher.update(organisation.as_str().as_bytes());
    hasher.update([0]);
    hasher.update(key.as_bytes());
    let mut row_key = String::from("claim-");
    for byte in &hasher.finalize()[..16] {
        let _ = write!(row_key, "{byte:02x}");
    }
    row_key
}

impl ClaimRow {
    /// Decides what a request with the same key does about this row.
    ///
    /// # Example
    ///
    /// ```
    /// use chalkrock_core::{ClaimDecision, ClaimRow, ClaimState, Outcome, Reason};
    ///
    /// let row = ClaimRow {
    ///     request: "r-1".into(),
    ///     host: "host-1".into(),
    ///     body_sha256: "b".into(),
    ///     deadline_at_ms: 1_000,
    ///     state: ClaimState::Ended(Outcome::Ran),
    /// };
    /// let refused = ClaimDecision::Refuse(Reason::KeyUsed, Outcome::Ran);
    /// assert_eq!(row.decide(&"r-2".into(), "b", 2_000), refused);
    /// ```
    pub fn decide(&self, request: &RequestId, body_sha256: &str, now_ms: u64) -> ClaimDecision {
        if self.request == *request {
            return ClaimDecision::Own;
        }
        if self.body_sha256 != body_sha256 {
            return ClaimDecision::Refuse(Reason::KeyMismatch, self.outcome());
        }
        match self.state {
            ClaimState::Ended(Outcome::NotRun) => ClaimDecision::Replace,
            ClaimState::Ended(outcome) => ClaimDecision::Refuse(Reason::KeyUsed, outcome),
            ClaimState::Running if self.is_overdue(now_ms) => {
                ClaimDecision::Refuse(Reason::KeyUsed, Outcome::Unknown)
            }
            ClaimState::Running => ClaimDecision::Refuse(Reason::KeyInUse, Outcome::Unknown),
        }
    }

    fn outcome(&self) -> Outcome {
        match self.state {
            ClaimState::Ended(outcome) => outcome,
            ClaimState::Running => Outcome::Unknown,
        }
    }

    fn is_overdue(&self, now_ms: u64) -> bool {
        now_ms > self.deadline_at_ms + OVERDUE_MS
    }
}
