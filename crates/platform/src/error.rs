//! The error of the platform's edge.

use crate::table::Row;

/// Why a call to the platform did not succeed.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum PlatformError {
    /// The call certainly had no effect: the platform was not reached, or
    /// said so.
    #[error("platform unavailable: {0}")]
    Unavailable(String),
    /// The answer was lost: a write may have taken effect.
    #[error("platform did not answer, the call may have taken effect: {0}")]
    Unanswered(String),
    /// The row is not as expected; nothing was written.
    #[error("row changed meanwhile")]
    Conflict(Option<Row>),
    /// The platform's limit per second was reached; nothing was written.
    #[error("platform limit reached")]
    Throttled,
    /// The platform's answer can't be read.
    #[error("platform sent an answer that can't be read: {0}")]
    Malformed(String),
    /// The platform's address is not a URL.
    #[error("platform address is not a URL: {0}")]
    InvalidUrl(String),
}

impl PlatformError {
    /// Whether a write that ended so may have taken effect.
    pub fn may_have_taken_effect(&self) -> bool {
        matches!(
            self,
            PlatformError::Unanswered(_) | PlatformError::Malformed(_)
        )
    }
}
