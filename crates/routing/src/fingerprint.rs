//! What makes a request the same one when it comes again.

use std::fmt;

use chalkrock_core::OrganisationId;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::Xxh3;

/// The same for a request and for all that repeat it: callers name each try
/// anew, so that a request's id tells nothing of the tries before.
///
/// The hash is not a cryptographic one: it takes a tenth of a microsecond of each
/// request. Its caller's organisation is part of it, so that whoever finds two
/// bodies with one hash finds two of their own.
///
/// # Example
///
/// ```
/// use chalkrock_routing::{RequestContent, RequestFingerprint};
///
/// let content = RequestContent {
///     host: "a.example",
///     target: "/ask/",
///     organisation: None,
///     body: b"where?",
/// };
/// let first = RequestFingerprint::of(&content);
/// assert_eq!(first, RequestFingerprint::of(&content));
/// let other = RequestContent { body: b"when?", ..content };
/// assert_ne!(first, RequestFingerprint::of(&other));
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RequestFingerprint(pub u64);

/// What of a request its repeats have in common.
#[derive(Clone, Copy, Debug)]
pub struct RequestContent<'a> {
    /// The host name that was asked for.
    pub host: &'a str,
    /// Path and query.
    pub target: &'a str,
    /// Who asks.
    pub organisation: Option<&'a OrganisationId>,
    /// The whole body.
    pub body: &'a [u8],
}

impl RequestFingerprint {
    /// Hashes what repeats have in common.
    pub fn of(content: &RequestContent<'_>) -> Self {
        let organisation = content.organisation.map_or("", OrganisationId::as_str);
        let names = [content.host, content.target, organisation];
        let mut hash = Xxh3::new();
        for part in names.map(str::as_bytes).into_iter().chain([content.body]) {
            // Its length keeps a part from running into the next.
            hash.update(&(part.len() as u64).to_le_bytes());
            hash.update(part);
        }
        Self(hash.digest())
    }
}

impl fmt::Display for RequestFingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}
