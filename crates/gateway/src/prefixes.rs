//! Known prefix locations and pending updates to other hosts.

use chalkrock_routing::{CacheEntry, PrefixDirectory};

/// Maximum pending entries of each kind.
const PENDING_MAX: usize = 2_048;

/// Cache entries to send to other hosts.
#[derive(Clone, Debug, Default)]
pub(crate) struct PendingUpdates {
    /// Local entries.
    pub(crate) near: Vec<CacheEntry>,
    /// Entries for other zones, if this host is a relay.
    pub(crate) far: Vec<CacheEntry>,
    /// Entries from other zones, for hosts of this one.
    pub(crate) relayed: Vec<CacheEntry>,
}

/// Prefix locations and pending updates.
#[derive(Debug, Default)]
pub(crate) struct Prefixes {
    map: PrefixDirectory,
    pending: PendingUpdates,
}

impl Prefixes {
    /// The directory of prefix holders.
    pub(crate) fn map(&self) -> &PrefixDirectory {
        &self.map
    }

    /// Records that an endpoint holds the prompt's prefixes after it answers.
    pub(crate) fn note(&mut self, parts: &[u32], endpoint: u32, now_ms: u64) {
        for &part in parts {
            let holding = CacheEntry { part, endpoint };
            if self.map.note(holding, now_ms) {
                self.pending.near.push(holding);
                self.pending.far.push(holding);
            }
        }
    }

    /// Merges entries from a host of the same zone and queues them for other zones; a relay
    /// of a large zone also queues them for its own.
    pub(crate) fn merge_near(&mut self, holdings: &[CacheEntry], sums_up: bool, now_ms: u64) {
        for holding in holdings {
            if self.map.merge(*holding, now_ms) {
                self.pending.far.push(*holding);
                if sums_up {
                    self.pending.relayed.push(*holding);
                }
            }
        }
    }

    /// Merges entries from a remote zone and queues them for this one.
    pub(crate) fn merge_far(&mut self, holdings: &[CacheEntry], now_ms: u64) {
        for holding in holdings {
            if self.map.merge(*holding, now_ms) {
                self.pending.relayed.push(*holding);
            }
        }
    }

    /// Merges entries that a relay of this zone passed on.
    pub(crate) fn merge_relayed(&mut self, holdings: &[CacheEntry], now_ms: u64) {
        for holding in holdings {
            self.map.merge(*holding, now_ms);
        }
    }

    /// Takes up to `most` pending entries of each kind and drops the oldest beyond the
    /// bound.
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

    /// Drops outdated entries.
    pub(crate) fn expire(&mut self, now_ms: u64) {
        self.map.expire(now_ms);
    }
}
