//! Errors of commands, with advice for the operator.

use chalkrock_core::ConfigVersion;
use chalkrock_platform::{PlatformError, SubmitError};
use chalkrock_process::SettingsError;

/// Why a command failed.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum CtlError {
    /// The configuration file can't be read or parsed.
    #[error("{0}")]
    File(#[from] SettingsError),
    /// The configuration fails validation.
    #[error("{file}: {source}")]
    Invalid {
        /// The path of the file.
        file: String,
        /// The validation error.
        source: chalkrock_core::Error,
    },
    /// Another change was made first.
    #[error(
        "the configuration is at {current}, expected {expected}; nothing was changed.\n\
         Review the differences below, edit the file and apply it with --expect {}",
        current.0
    )]
    Conflict {
        /// The expected version.
        expected: ConfigVersion,
        /// The version in force.
        current: ConfigVersion,
        /// The diffs from the expected version to the one in force and the submitted one.
        differences: String,
    },
    /// The submission failed.
    #[error("{0}")]
    Submit(#[from] SubmitError),
    /// The platform failed.
    #[error("{0}; try again or check the state of the platform")]
    Platform(#[from] PlatformError),
    /// The version does not exist.
    #[error("there is no {0}; `chalkrockctl history` lists the versions")]
    NoVersion(ConfigVersion),
    /// No configuration has been submitted.
    #[error("there is no configuration yet; submit one with `chalkrockctl apply FILE`")]
    NoConfig,
    /// No log record matches the request or pool.
    #[error("no log record matches {0}; include the logs of the hosts that handled it")]
    NoMatchingLines(String),
    /// A request to a router failed.
    #[error("router {url}: {reason}")]
    Router {
        /// The operator URL of the router.
        url: String,
        /// The reason for the failure.
        reason: String,
    },
    /// The version is not in force at all routers before the timeout.
    #[error("{in_force} of {routers} routers have {version} in force after {waited_s} s")]
    NotInForce {
        /// The awaited version.
        version: ConfigVersion,
        /// The number of routers where it is in force.
        in_force: usize,
        /// The number of routers polled.
        routers: usize,
        /// The wait time in seconds.
        waited_s: u64,
    },
}

impl CtlError {
    /// Returns the exit code: 2 for invalid input, 3 for a conflict, 4 for a
    /// change that may have been accepted, 1 otherwise.
    pub fn exit_code(&self) -> u8 {
        match self {
            CtlError::File(_) | CtlError::Invalid { .. } => 2,
            CtlError::Conflict { .. } => 3,
            CtlError::Submit(SubmitError::OutcomeUnknown(_)) => 4,
            _ => 1,
        }
    }
}
