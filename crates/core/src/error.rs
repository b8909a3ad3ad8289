//! The error type of this crate.

use std::fmt;

/// The kind of an [`Error`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[non_exhaustive]
pub enum ErrorKind {
    /// A document defines the same name or key twice.
    Duplicate,
    /// A document refers to a name that is not defined.
    Unknown,
    /// A value is out of range.
    Range,
    /// A token is malformed, has an invalid signature, or belongs to another organisation.
    InvalidToken,
    /// A policy's program can't be parsed or exceeds its cost limit.
    InvalidPolicy,
}

/// A failed validation: its kind, the path of the value, and what was expected.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Error {
    kind: ErrorKind,
    path: String,
    expected: String,
}

impl Error {
    pub(crate) fn new(
        kind: ErrorKind,
        path: impl Into<String>,
        expected: impl Into<String>,
    ) -> Self {
        Self {
            kind,
            path: path.into(),
            expected: expected.into(),
        }
    }

    /// The kind of the failure.
    pub fn kind(&self) -> ErrorKind {
        self.kind
    }

    /// The path of the invalid value, such as `pools[2].load_multiple`.
    pub fn path(&self) -> &str {
        &self.path
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let message = match self.kind {
            ErrorKind::Duplicate => "named twice",
            ErrorKind::Unknown => "unknown name",
            ErrorKind::Range => "value out of range",
            ErrorKind::InvalidToken => "token refused",
            ErrorKind::InvalidPolicy => "policy refused",
        };
        write!(f, "{}: {message}, expected {}", self.path, self.expected)
    }
}

impl std::error::Error for Error {}
