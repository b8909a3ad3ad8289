//! Which hosts read the platform themselves, so that it is not asked the same
//! by all.
//!
//! A small fleet reads as a whole. In a larger one some hosts of each
//! availability zone read and the others take from them what is new. Nothing
//! is agreed: each host ranks the hosts that it hears, and reads if it is
//! among the first, or if too few seem to. Views that differ for a moment make
//! a few readers more, or leave those of the other view; what never happens is
//! that a host hears no reader and does not read.

use chalkrock_core::rendezvous::{KeyHash, MemberHash, score};

/// Fleets up to this size read as a whole: what is saved is little, and each
/// host alone needs no other.
const ALL_UP_TO: usize = 12;
/// Readers are one of so many hosts.
const ONE_IN: usize = 10;
/// Readers there are at least, so that a third of all hosts that the platform
/// turns away does not take all of them.
const LEAST: usize = 8;

/// How a host stands to the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum Reading {
    /// It does not read.
    No,
    /// It reads and is answered.
    Answered,
    /// It reads and is not answered.
    Unanswered,
}

/// A host that is heard.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HeardHost {
    /// The hash of its name.
    pub hash: MemberHash,
    /// The short hash of its availability zone.
    pub zone: u32,
    /// How it stands to the platform.
    pub reading: Reading,
}

/// How many hosts of so many read.
pub fn readers_wanted(hosts: usize) -> usize {
    if hosts <= ALL_UP_TO {
        return hosts;
    }
    hosts.div_ceil(ONE_IN).max(LEAST)
}

/// Whether a host reads the platform, by what it hears of the others.
///
/// # Example
///
/// ```
/// use chalkrock_core::rendezvous::MemberHash;
/// use chalkrock_routing::{HeardHost, Reading, reads_platform};
///
/// let own = HeardHost { hash: MemberHash::of("host-1"), zone: 1, reading: Reading::No };
/// assert!(reads_platform(&own, &[]));
/// ```
pub fn reads_platform(own: &HeardHost, others: &[HeardHost]) -> bool {
    let wanted = readers_wanted(others.len() + 1);
    if wanted > others.len() {
        return true;
    }
    let answered = others
        .iter()
        .filter(|host| host.reading == Reading::Answered);
    if answered.count() < wanted / 2 {
        return true;
    }
    // One that is not answered does not count among the first, but goes on
    // trying, since it may be the only one to know.
    let may_read = others
        .iter()
        .filter(|host| host.reading != Reading::Unanswered);
    let mut ranked: Vec<&HeardHost> = may_read.chain([own]).collect();
    ranked.sort_by(|a, b| rank(b).total_cmp(&rank(a)));
    first_by_zone(&ranked, wanted).contains(&own.hash)
}

fn rank(host: &HeardHost) -> f64 {
    const READERS: KeyHash = KeyHash(0);
    score(READERS, host.hash, 1.0)
}

/// The first hosts, one of each zone in turn.
fn first_by_zone(ranked: &[&HeardHost], wanted: usize) -> Vec<MemberHash> {
    let mut zones: Vec<u32> = ranked.iter().map(|host| host.zone).collect();
    zones.sort_unstable();
    zones.dedup();
    let mut chosen = Vec::with_capacity(wanted);
    let mut round = 0;
    while chosen.len() < wanted && round < ranked.len() {
        for zone in &zones {
            let mut of_zone = ranked.iter().filter(|host| host.zone == *zone);
            chosen.extend(of_zone.nth(round).map(|host| host.hash));
        }
        round += 1;
    }
    chosen.truncate(wanted);
    chosen
}
