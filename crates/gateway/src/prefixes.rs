//! Known prefix locations and pending updates to other hosts.

use chalkrock_routing::{CacheEntry, PrefixDirectory};

/// Maximum pending entries of each kind.
const MAX_PENDING: usize = 2_048;

/// Cache entries to send to other hosts.
#[derive(Clone, Debug, Default)]
pub(crate) struct PendingUpdates {
    /// Local entries.
    pub(crate) local: Vec<CacheEntry>,
    /// Entries for other zones, if this host is a relay.
    pub(crate) remote_zones: Vec<CacheEntry>,
    /// Entries to relay to hosts of this zone.
    pub(crate) same_zone: Vec<CacheEntry>,
}

/// Prefix locations and pending updates.
#[derive(Debug, Default)]
pub(crate) struct Prefixes {
    directory: PrefixDirectory,
    pending: PendingUpdates,
}

impl Prefixes {
    pub(crate) fn directory(&self) -> &PrefixDirectory {
        &self.directory
    }

    /// Records that an endpoint holds the prompt's prefixes after it answers.
    pub(crate) fn record(&mut self, parts: &[u32], endpoint: u32, now_ms: u64) {
        for &part in parts {
            let entry = CacheEntry { part, endpoint };
            if self.directory.record(entry, now_ms) {
                self.pending.local.push(entry);
                self.pending.remote_zones.push(entry);
            }
        }
    }

    /// Merges entries from a host of the same zone and queues them for other zones; a relay
    /// of a large zone also queues them for its own.
    pub(crate) fn merge_same_zone(&mut self, entries: &[CacheEntry], relays: bool, now_ms: u64) {
        for entry in entries {
            if self.directory.merge(*entry, now_ms) {
                self.pending.remote_zones.push(*entry);
                if relays {
                    self.pending.same_zone.push(*entry);
                }
            }
        }
    }

    /// Merges entries from a remote zone and queues them for this one.
    pub(crate) fn merge_remote_zone(&mut self, entries: &[CacheEntry], now_ms: u64) {
        for entry in entries {
            if self.directory.merge(*entry, now_ms) {
                self.pending.same_zone.push(*entry);
            }
        }
    }

    /// Merges entries that a relay of this zone passed on.
    pub(crate) fn merge_relayed(&mut self, entries: &[CacheEntry], now_ms: u64) {
        for entry in entries {
            self.directory.merge(*entry, now_ms);
        }
    }

    /// Takes some pending entries of each kind and drops the oldest beyond the bound.
    pub(crate) fn take_pending(&mut self, max_per_kind: usize) -> PendingUpdates {
        let take = |pending: &mut Vec<CacheEntry>| {
            let excess = pending.len().saturating_sub(MAX_PENDING);
            pending.drain(..excess);
            let count = max_per_kind.min(pending.len());
            pending.drain(..count).collect()
        };
        PendingUpdates {
            local: take(&mut self.pending.local),
            remote_zones: take(&mut self.pending.remote_zones),
            same_zone: take(&mut self.pending.same_zone),
        }
    }

    pub(crate) fn expire(&mut self, now_ms: u64) {
        self.directory.expire(now_ms);
    }
}
