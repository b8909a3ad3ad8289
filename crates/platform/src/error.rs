//! Errors of the platform client.

use crate::table::Row;

/// Why a request to the platform failed.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum PlatformError {
    /// The request had no effect: the platform was unreachable or rejected it as
    /// unavailable.
    #[error("platform unavailable: {0}")]
    Unavailable(String),
    /// The response was lost or is an error; a write may have taken effect.
    #[error("platform request failed and may have taken effect: {0}")]
    OutcomeUnknown(String),
    /// The row does not match the condition; nothing was written.
    #[error("the row was changed by another write")]
    Conflict(Option<Row>),
    /// The platform's rate limit was exceeded; nothing was written.
    #[error("platform rate limit exceeded")]
    Throttled,
    /// The platform's response or stored data can't be parsed.
    #[error("malformed data from the platform: {0}")]
    Malformed(String),
    /// The platform's address is not a valid URL.
    #[error("invalid platform URL: {0}")]
    InvalidUrl(String),
}

impl PlatformError {
    /// Returns whether a write that failed with this error may have taken effect.
    pub fn may_have_taken_effect(&self) -> bool {
        matches!(
            self,
            PlatformError::OutcomeUnknown(_) | PlatformError::Malformed(_)
        )
    }
}
