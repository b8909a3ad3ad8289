//! What a host believes of prefixes, and what of it the others don't know.

use chalkrock_routing::{CacheEntry, PrefixDirectory};

/// Prefixes that wait to be told.
const PENDING_MAX: usize = 2_048;

/// What the other hosts are to be told of prefixes.
#[derive(Clone, Debug, Default)]
pub(crate) struct PendingUpdates {
    /// Those that this host tells of itself.
    pub(crate) near: Vec<CacheEntry>,
    /// The other zones, if this host is a relay.
    pub(crate) far: Vec<CacheEntry>,
    /// What the other zones told, for the hosts of this one.
    pub(crate) relayed: Vec<CacheEntry>,
}

/// Prefixes and who holds them.
#[derive(Debug, Default)]
pub(crate) struct Prefixes {
    map: PrefixDirectory,
    pending: PendingUpdates,
}

impl Prefixes {
    /// Who holds what.
    pub(crate) fn map(&self) -> &PrefixDirectory {
        &self.map
    }

    /// An endpoint answers a request, and so holds the parts of its prompt.
    pub(crate) fn record(&mut self, parts: &[u32], endpoint: u32, now_ms: u64) {
        for &part in parts {
            let holding = CacheEntry { part, endpoint };
            if self.map.record(holding, now_ms) {
                self.pending.near.push(holding);
                self.pending.far.push(holding);
            }
        }
    }

    /// A host told what endpoints hold; the other zones may not know it, nor
    /// may the hosts of this one if it is for this host to tell them.
    pub(crate) fn merge_same_zone(
        &mut self,
        holdings: &[CacheEntry],
        aggregates: bool,
        now_ms: u64,
    ) {
        for holding in holdings {
            if self.map.merge(*holding, now_ms) {
                self.pending.far.push(*holding);
                if aggregates {
                    self.pending.relayed.push(*holding);
                }
            }
        }
    }

    /// Another zone told what endpoints hold; this zone may not know it.
    pub(crate) fn merge_remote_zone(&mut self, holdings: &[CacheEntry], now_ms: u64) {
        for holding in holdings {
            if self.map.merge(*holding, now_ms) {
                self.pending.relayed.push(*holding);
            }
        }
    }

    /// A relay of this zone passed on what endpoints hold.
    pub(crate) fn merge_relayed(&mut self, holdings: &[CacheEntry], now_ms: u64) {
        for holding in holdings {
            self.map.merge(*holding, now_ms);
        }
    }

    /// What to tell, once: so many of each kind, the rest later. What waits is
    /// bounded, and the oldest of it is never told.
    pub(crate) fn take_pending(&mut self, most: usize) -> PendingUpdates {
        let take = |waiting: &mut Vec<CacheEntry>| {
            let too_old = waiting.len().saturating_sub(PENDING_MAX);
            waiting.drain(..too_old);
            let now = most.min(waiting.len());
            waiting.drain(..now).collect()
        };
        PendingUpdates {
            near: take(&mut self.pending.near),
            far: take(&mut self.pending.far),
            relayed: take(&mut self.pending.relayed),
        }
    }

    /// Drops what is no longer true, now and then.
    pub(crate) fn expire(&mut self, now_ms: u64) {
        self.map.expire(now_ms);
    }
}
