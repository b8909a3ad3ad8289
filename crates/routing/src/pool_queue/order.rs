//! The order of waiting requests.
//!
//! Organisations under their fair share precede those over it. Then more urgent ranks
//! precede less urgent ones, which keep a minimum share. Then returns that are due precede
//! new requests, and the earliest latest start precedes later ones.

use std::collections::{BTreeMap, VecDeque};

use super::TicketId;
use super::scheduler::RANKS;
use crate::WorkLedger;

/// Fraction of the grants that each less urgent rank receives at least while it waits.
const MIN_RANK_SHARE: f64 = 0.1;
/// Use of its share up to which an organisation's requests precede others while less
/// urgent ones wait. Use varies by chance, and its own less urgent requests count too.
const URGENT_SHARE: f64 = 1.5;
/// Time over which waiting requests of an organisation count towards its share.
const SHARE_HORIZON_MS: f64 = 200.0;

/// A waiting request, as far as its order depends on it.
#[derive(Clone, Debug)]
pub(super) struct Queued<H> {
    pub(super) host: H,
    pub(super) ticket: TicketId,
    pub(super) rank: u8,
    pub(super) organisation: u32,
    pub(super) is_returning: bool,
    pub(super) latest_start_ms: u64,
    pub(super) since_ms: u64,
    pub(super) is_over_share: bool,
}

impl<H: Ord> Queued<H> {
    fn key(&self) -> (u8, bool, u64, u64, &H, TicketId) {
        (
            self.rank,
            !self.is_returning,
            self.latest_start_ms,
            self.since_ms,
            &self.host,
            self.ticket,
        )
    }
}

/// Credits by which less urgent ranks receive their minimum share.
#[derive(Clone, Debug, Default)]
pub(super) struct RankShares {
    credits: [f64; RANKS],
}

impl RankShares {
    /// Records a grant to `rank` while others wait.
    pub(super) fn granted(&mut self, rank: usize, waiting: &[u32; RANKS]) {
        if waiting[..rank].iter().any(|&waiting| waiting > 0) {
            self.credits[rank] = (self.credits[rank] - 1.0).max(0.0);
        }
        let less_urgent = self.credits.iter_mut().zip(waiting).skip(rank + 1);
        for (credit, _) in less_urgent.filter(|(_, waiting)| **waiting > 0) {
            *credit = (*credit + MIN_RANK_SHARE).min(2.0);
        }
    }

    /// The rank that is next among those that wait.
    fn next(&self, waiting: &[u32; RANKS]) -> Option<usize> {
        let first = waiting.iter().position(|&waiting| waiting > 0)?;
        let owed = (first + 1..RANKS).find(|&rank| waiting[rank] > 0 && self.credits[rank] >= 1.0);
        Some(owed.unwrap_or(first))
    }
}

/// Marks requests that exceed their organisation's share: those of a rank beyond what remains
/// of it, if all organisations that wait use the pool alike over the horizon. Returns the number
/// of these.
pub(super) fn mark_over_share<H: Ord>(
    queued: &mut [Queued<H>],
    slots_per_ms: f64,
    ledger: &mut WorkLedger,
    now_ms: u64,
) -> usize {
    queued.sort_unstable_by(|a, b| a.key().cmp(&b.key()));
    let mut by_organisation: BTreeMap<u32, (f64, [u32; RANKS])> = BTreeMap::new();
    for request in queued.iter() {
        by_organisation
            .entry(request.organisation)
            .or_insert_with(|| (ledger.share_ratio(request.organisation, now_ms), [0; RANKS]));
    }
    let share = slots_per_ms * SHARE_HORIZON_MS / by_organisation.len().max(1) as f64;
    let least_urgent = queued.iter().map(|request| request.rank).max();
    let least_urgent = least_urgent.unwrap_or_default();
    for request in queued {
        if let Some((ratio, counted)) = by_organisation.get_mut(&request.organisation) {
            let counted = &mut counted[usize::from(request.rank)];
            let ratio = *ratio + f64::from(*counted) / share.max(1.0);
            let most = if request.rank < least_urgent {
                URGENT_SHARE
            } else {
                1.0
            };
            // A return was reserved within the share.
            request.is_over_share = ratio >= most && !request.is_returning;
            *counted += 1;
        }
    }
    by_organisation.len()
}

/// Orders requests that are sorted by [`mark_over_share`].
pub(super) fn order<H: Ord>(queued: Vec<Queued<H>>, shares: &RankShares) -> Vec<Queued<H>> {
    let mut shares = shares.clone();
    let mut ordered = Vec::with_capacity(queued.len());
    let (over, under): (Vec<_>, Vec<_>) = queued
        .into_iter()
        .partition(|request| request.is_over_share);
    for class in [under, over] {
        let mut waiting = [0_u32; RANKS];
        let mut by_rank: [VecDeque<Queued<H>>; RANKS] = Default::default();
        for request in class {
            let rank = usize::from(request.rank);
            waiting[rank] += 1;
            by_rank[rank].push_back(request);
        }
        while let Some(rank) = shares.next(&waiting) {
            ordered.extend(by_rank[rank].pop_front());
            shares.granted(rank, &waiting);
            waiting[rank] -= 1;
        }
    }
    ordered
}
