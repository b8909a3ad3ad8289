//! Claims, which run at most one request per idempotency key.
//!
//! A claim is a row of the store, inserted if absent before the request is
//! dispatched. A claim whose end was not recorded stays, since its request may
//! have run.

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::ids::{HostId, OrganisationId, RequestId};
use crate::outcome::{Outcome, Reason};

/// Maximum length of an idempotency key.
pub const MAX_CLAIM_KEY_BYTES: usize = 255;
/// How long after its deadline a running claim counts as of unknown outcome.
const DEADLINE_GRACE_MS: u64 = 5_000;

/// The state of a claimed request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ClaimState {
    /// Dispatched, or about to be, by the router that claimed it.
    Running,
    /// Ended with this outcome.
    Ended(Outcome),
}

/// A claim as stored.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRow {
    /// The request that holds the claim.
    pub request: RequestId,
    /// The host whose router dispatches it.
    pub host: HostId,
    /// Digest of the request's body; the key is not valid with another body.
    pub body_sha256: String,
    /// The request's deadline, in milliseconds of Unix time.
    pub deadline_at_ms: u64,
    /// The state of the request.
    pub state: ClaimState,
}

/// How a router handles a request whose idempotency key is already claimed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClaimDecision {
    /// The claim is this request's own: the response to its write was lost.
    Own,
    /// The earlier request did not run: replace its claim.
    Replace,
    /// The earlier request runs, ran or may have run.
    Refuse(Reason, Outcome),
}

/// Returns the store key of a claim.
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
    /// Decides how to handle a request with the same idempotency key.
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
        now_ms > self.deadline_at_ms + DEADLINE_GRACE_MS
    }
}
