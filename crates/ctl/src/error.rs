//! What can go wrong for an operator, with what to do next.

use chalkrock_core::ConfigVersion;
use chalkrock_platform::{PlatformError, SubmitError};
use chalkrock_process::SettingsError;

/// Why a command failed.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum CtlError {
    /// The configuration file is not valid.
    #[error("{0}")]
    File(#[from] SettingsError),
    /// The configuration file can be read, but its content does not hold.
    #[error("{file}: {source}")]
    Invalid {
        /// The file.
        file: String,
        /// What does not hold.
        source: chalkrock_core::Error,
    },
    /// Another change came first.
    #[error(
        "the configuration is at {current} and not at {expected}; nothing was changed.\n\
         Look at the differences below, edit your file, and apply it with --expect {}",
        current.0
    )]
    Conflict {
        /// The version expected.
        expected: ConfigVersion,
        /// The version in force.
        current: ConfigVersion,
        /// From the version expected to the one in force, and to yours.
        differences: String,
    },
    /// The submission failed.
    #[error("{0}")]
    Submit(#[from] SubmitError),
    /// The platform failed.
    #[error("{0}; try again, or look at the platform's state")]
    Platform(#[from] PlatformError),
    /// There is no such version.
    #[error("there is no {0}; `chalkrockctl history` lists what there is")]
    NoVersion(ConfigVersion),
    /// No configuration was submitted yet.
    #[error("there is no configuration yet; submit one with `chalkrockctl apply FILE`")]
    NoConfig,
    /// No line speaks of what was asked for.
    #[error("no line speaks of {0}; are the logs of the hosts that saw it among the files?")]
    NoMatchingLines(String),
    /// A router did not answer.
    #[error("router {url}: {reason}")]
    Router {
        /// Its operators' URL.
        url: String,
        /// What it said.
        reason: String,
    },
    /// The version did not come into force everywhere in time.
    #[error("{in_force} of {routers} routers have {version} in force after {waited_s} s")]
    NotInForce {
        /// The version.
        version: ConfigVersion,
        /// Routers that have it.
        in_force: usize,
        /// Routers asked.
        routers: usize,
        /// How long was waited.
        waited_s: u64,
    },
}

impl CtlError {
    /// The exit code: 2 for input that must be changed, 3 for a lost race,
    /// 4 for a change that may have been accepted, 1 for all else.
    pub fn exit_code(&self) -> u8 {
        match self {
            CtlError::File(_) | CtlError::Invalid { .. } => 2,
            CtlError::Conflict { .. } => 3,
            CtlError::Submit(SubmitError::OutcomeUnknown(_)) => 4,
            _ => 1,
        }
    }
}
