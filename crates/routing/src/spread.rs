//! Which endpoint takes a request: the one that holds its prefix, while its
//! load stays under the pool's bound; else the next rank, or the least loaded.
//!
//! All hosts rank the same endpoints the same way, so that a prefix has one
//! home, and a second one when the first is full, without a word between
//! hosts. The bound is a multiple of the mean over the fleet plus an
//! allowance; what hosts tell each other is some hundred milliseconds late,
//! so that the multiple is kept under what the operator promises.

use chalkrock_core::rendezvous::{KeyHash, MemberHash, score};

/// An endpoint that a request may go to.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Candidate {
    /// The hash of its name.
    pub hash: MemberHash,
    /// Requests in progress on it, over the fleet.
    pub load: u32,
    /// Requests that it works on at once.
    pub slots: u32,
    /// Whether it is in the host's own availability zone.
    pub is_near: bool,
    /// Whether late answers speak against it.
    pub is_suspect: bool,
    /// Whether it was seen to hold the request's prefix.
    pub holds_prefix: bool,
}

/// Bounds on placement.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SpreadRules {
    /// Most load over the mean load of the pool.
    pub load_multiple: f64,
    /// Requests above the multiple, so that small pools are not refused.
    pub allowance: f64,
}

impl Default for SpreadRules {
    /// The multiple that broke no bound of 2 with reports 200 ms old.
    fn default() -> Self {
        Self {
            load_multiple: 1.8,
            allowance: 2.0,
        }
    }
}

/// The endpoint for a request, as an index; `None` if there is no candidate.
///
/// With a key, the least loaded of those that hold the prefix and are under the
/// bound; without any, the first rank of the key under the bound. Without a
/// key, the least loaded by its slots, near ones first among equals. `draw` is any
/// number and breaks what ties are left, so that hosts with the same view do
/// not all pick the same endpoint.
pub fn choose(
    candidates: &[Candidate],
    key: Option<KeyHash>,
    rules: &SpreadRules,
    draw: u64,
) -> Option<usize> {
    let usable = usable(candidates);
    let limit = limit(candidates, rules);
    let by_prefix = key.and_then(|key| {
        let has_room = usable.iter().copied().filter(|&i| {
            let candidate = &candidates[i];
            f64::from(candidate.load + 1) <= limit && candidate.load < candidate.slots
        });
        let has_room: Vec<usize> = has_room.collect();
        let rank = |i: usize| score(key, candidates[i].hash, 1.0);
        let best = |indices: &mut dyn Iterator<Item = usize>| {
            indices.max_by(|&a, &b| rank(a).total_cmp(&rank(b)))
        };
        let home = best(&mut usable.iter().copied());
        let holders = has_room
            .iter()
            .copied()
            .filter(|&i| candidates[i].holds_prefix);
        home.filter(|home| has_room.contains(home))
            .or_else(|| best(&mut holders.into_iter()))
            .or_else(|| best(&mut has_room.iter().copied()))
    });
    by_prefix.or_else(|| least_loaded(candidates, &usable, draw))
}

/// Those that nothing speaks against; all, if something speaks against each.
fn usable(candidates: &[Candidate]) -> Vec<usize> {
    let trusted: Vec<usize> = (0..candidates.len())
        .filter(|&i| !candidates[i].is_suspect)
        .collect();
    if trusted.is_empty() {
        (0..candidates.len()).collect()
    } else {
        trusted
    }
}

/// The most load that one endpoint may have after this request.
fn limit(candidates: &[Candidate], rules: &SpreadRules) -> f64 {
    let total: u32 = candidates.iter().map(|candidate| candidate.load).sum();
    let mean = f64::from(total) / candidates.len().max(1) as f64;
    rules.load_multiple * mean + rules.allowance
}

fn least_loaded(candidates: &[Candidate], usable: &[usize], draw: u64) -> Option<usize> {
    let tie = |i: usize| {
        let key = KeyHash(draw);
        score(key, candidates[i].hash, 1.0)
    };
    let share = |i: usize| {
        let candidate = &candidates[i];
        f64::from(candidate.load) / f64::from(candidate.slots.max(1))
    };
    usable.iter().copied().min_by(|&a, &b| {
        let by_load = share(a).total_cmp(&share(b));
        let by_zone = || candidates[b].is_near.cmp(&candidates[a].is_near);
        by_load
            .then_with(by_zone)
            .then_with(|| tie(b).total_cmp(&tie(a)))
    })
}
