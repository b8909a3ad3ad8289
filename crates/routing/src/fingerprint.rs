//! Fingerprints that identify repeats of a request.

use std::fmt;

use chalkrock_core::OrganisationId;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::Xxh3;

/// Hash of a request's content, equal for all its repeats. Request ids don't serve
/// for this, since callers give each attempt a new one.
///
/// The hash is fast and not cryptographic. It covers the caller's organisation, so
/// that callers can only produce collisions among their own requests.
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

/// Content that repeats of a request have in common.
#[derive(Clone, Copy, Debug)]
pub struct RequestContent<'a> {
    /// Requested host name.
    pub host: &'a str,
    /// Path and query.
    pub target: &'a str,
    /// The caller's organisation.
    pub organisation: Option<&'a OrganisationId>,
    /// The whole body.
    pub body: &'a [u8],
}

impl RequestFingerprint {
    /// Hashes the content of a request.
    pub fn of(content: &RequestContent<'_>) -> Self {
        let organisation = content.organisation.map_or("", OrganisationId::as_str);
        let names = [content.host, content.target, organisation];
        let mut hash = Xxh3::new();
        for field in names.map(str::as_bytes).into_iter().chain([content.body]) {
            // The length prefix keeps adjacent fields apart.
            hash.update(&(field.len() as u64).to_le_bytes());
            hash.update(field);
        }
        Self(hash.digest())
    }
}

/// Marks fingerprints that stand for a part of prompts.
const PART_MARK: u64 = 0x7061_7274;

impl RequestFingerprint {
    /// The fingerprint that stands for all requests whose prompts hold a part, by the short
    /// hash of the part. One request in 2^32 has a fingerprint of this form by chance.
    pub fn of_part(part: u32) -> Self {
        Self(PART_MARK << u32::BITS | u64::from(part))
    }

    /// The part that it stands for, if any.
    pub fn part(&self) -> Option<u32> {
        (self.0 >> u32::BITS == PART_MARK).then_some(self.0 as u32)
    }

    /// Its lower half, which identifies requests in messages between hosts.
    pub fn short(&self) -> u32 {
        self.0 as u32
    }
}

impl fmt::Display for RequestFingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}
