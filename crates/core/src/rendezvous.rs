//! Weighted rendezvous hashing.
//!
//! Hosts with the same members rank them alike, and a member that joins or
//! leaves moves only its own keys. Selects an engine's owner among the hosts
//! and a chat's home among the engines.

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// The hash of a member's name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct MemberHash(pub u64);

impl MemberHash {
    /// Hashes a member's name.
    pub fn of(name: &str) -> Self {
        Self(xxh3_64(name.as_bytes()))
    }

    /// Hashes a member's name and one of its starts.
    pub fn of_start(name: &str, start: u64) -> Self {
        // XXH3 adds the seed to inputs of up to three bytes before it mixes them, so that
        // names and starts that differ by the same amount collide.
        const MAX_COLLIDING_BYTES: usize = 3;
        if name.len() <= MAX_COLLIDING_BYTES {
            return Self(xxh3_64_with_seed(&Self::of(name).0.to_le_bytes(), start));
        }
        // Hosts of earlier builds exchange these hashes.
        Self(xxh3_64_with_seed(name.as_bytes(), start))
    }

    /// The low half of the hash, which identifies organisations, hosts and pools
    /// in compact messages.
    pub fn short(self) -> u32 {
        self.0 as u32
    }
}

/// The hash of a key that is assigned to a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct KeyHash(pub u64);

impl KeyHash {
    /// Hashes a key.
    pub fn of(key: &[u8]) -> Self {
        Self(xxh3_64(key))
    }
}

/// A uniform pseudorandom number in (0, 1) for a key and a member.
pub(crate) fn unit_hash(key: KeyHash, member: MemberHash) -> f64 {
    const MANTISSA_BITS: u32 = 53;
    let hash = xxh3_64_with_seed(&member.0.to_le_bytes(), key.0);
    let mantissa = (hash >> (u64::BITS - MANTISSA_BITS)) as f64;
    (mantissa + 0.5) / (1u64 << MANTISSA_BITS) as f64
}

/// The score of a member for a key; the highest ranks first.
///
/// `-weight / ln(u)` with `u` uniform in (0, 1) gives each member a share of
/// the keys in proportion to its weight.
pub fn score(key: KeyHash, member: MemberHash, weight: f64) -> f64 {
    unit_score(unit_hash(key, member), weight)
}

pub(crate) fn unit_score(unit: f64, weight: f64) -> f64 {
    -weight / unit.ln()
}

/// The unit hash above which a member of `weight` scores more than `score`.
pub(crate) fn min_unit_for_score(score: f64, weight: f64) -> f64 {
    (-weight / score).exp()
}

/// Returns the index of the member with the highest score for a key, or `None`
/// without members. Members are pairs of hash and weight.
///
/// # Example
///
/// ```
/// use chalkrock_core::rendezvous::{top_ranked, KeyHash, MemberHash};
///
/// let members = ["a", "b", "c"].map(|name| (MemberHash::of(name), 1.0));
/// let key = KeyHash::of(b"chat-1");
/// assert_eq!(top_ranked(key, members), top_ranked(key, members));
/// ```
pub fn top_ranked(
    key: KeyHash,
    members: impl IntoIterator<Item = (MemberHash, f64)>,
) -> Option<usize> {
    let mut best = None;
    let mut best_score = f64::NEG_INFINITY;
    for (i, (member, weight)) in members.into_iter().enumerate() {
        let s = score(key, member, weight);
        if s > best_score {
            best = Some(i);
            best_score = s;
        }
    }
    best
}
