//! The error of this crate: one type with a closed set of kinds.

use std::fmt;

/// What went wrong in a check of this crate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[non_exhaustive]
pub enum ErrorKind {
    /// A document names something twice.
    Duplicate,
    /// A document names something that does not exist.
    Unknown,
    /// A value lies outside its range.
    Range,
    /// A token is not ours, was altered, or belongs to someone else.
    Token,
    /// A policy's program can't be read or costs too much.
    Policy,
}

/// A failed check: its kind, where it was found, and what was expected.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Error {
    kind: ErrorKind,
    place: String,
    expected: String,
}

impl Error {
    pub(crate) fn new(
        kind: ErrorKind,
        place: impl Into<String>,
        expected: impl Into<String>,
    ) -> Self {
        Self {
            kind,
            place: place.into(),
            expected: expected.into(),
        }
    }

    /// The kind of the failure.
    pub fn kind(&self) -> ErrorKind {
        self.kind
    }

    /// The path of the offending value, as `pools[2].load_multiple`.
    pub fn place(&self) -> &str {
        &self.place
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let what = match self.kind {
            ErrorKind::Duplicate => "named twice",
            ErrorKind::Unknown => "unknown name",
            ErrorKind::Range => "value out of range",
            ErrorKind::Token => "token refused",
            ErrorKind::Policy => "policy refused",
        };
        write!(f, "{}: {what}, expected {}", self.place, self.expected)
    }
}

impl std::error::Error for Error {}
