//! Directory of the endpoints that hold parts of prompts in their caches.
//!
//! An endpoint that begins to answer a request holds the parts of its prompt. Hosts
//! record this for their own requests and send new entries to the other hosts. Entries
//! expire well before engines evict unused parts.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};

/// Unused entries expire after this time.
const ENTRY_RETENTION_MS: u64 = 30_000;
const RESEND_INTERVAL_MS: u64 = 12_000;
const MAX_PARTS: usize = 16_384;
const MAX_HOLDERS_PER_PART: usize = 6;

/// One part held by one endpoint, as sent between hosts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEntry {
    /// The short hash of the part.
    pub part: u32,
    /// The short hash of the endpoint.
    pub endpoint: u32,
}

#[derive(Clone, Copy, Debug)]
struct Holder {
    endpoint: u32,
    used_at_ms: u64,
    /// When it was last sent, if ever.
    sent_at_ms: Option<u64>,
}

/// Parts of prompts and the endpoints that hold them.
///
/// # Example
///
/// ```
/// use chalkrock_routing::{CacheEntry, PrefixDirectory};
///
/// let mut directory = PrefixDirectory::default();
/// let entry = CacheEntry { part: 7, endpoint: 1 };
/// assert!(directory.record(entry, 0));
/// assert!(!directory.record(entry, 100));
/// assert!(directory.holds(7, 1, 100));
/// ```
#[derive(Clone, Debug, Default)]
pub struct PrefixDirectory {
    parts: HashMap<u32, Vec<Holder>>,
}

impl PrefixDirectory {
    /// Records that an endpoint holds a part, as a request of this host showed. Returns
    /// whether to send the entry to other hosts.
    pub fn record(&mut self, entry: CacheEntry, now_ms: u64) -> bool {
        let Some(holder) = self.holder_mut(entry, now_ms) else {
            return false;
        };
        holder.used_at_ms = now_ms;
        let is_due = holder
            .sent_at_ms
            .is_none_or(|sent_at_ms| now_ms >= sent_at_ms + RESEND_INTERVAL_MS);
        if is_due {
            holder.sent_at_ms = Some(now_ms);
        }
        is_due
    }

    /// Merges an entry of another host. Returns whether to send it to hosts that did
    /// not receive it.
    pub fn merge(&mut self, entry: CacheEntry, now_ms: u64) -> bool {
        self.record(entry, now_ms)
    }

    /// Whether an endpoint holds a part.
    pub fn holds(&self, part: u32, endpoint: u32, now_ms: u64) -> bool {
        self.holders(part, now_ms).any(|holder| holder == endpoint)
    }

    /// The endpoints that hold a part.
    pub fn holders(&self, part: u32, now_ms: u64) -> impl Iterator<Item = u32> {
        let holders = self.parts.get(&part).into_iter().flatten();
        holders
            .filter(move |holder| holder.is_recent(now_ms))
            .map(|holder| holder.endpoint)
    }

    /// The entries, the most recently used first, and at most `max`.
    pub fn most_recent(&self, max: usize, now_ms: u64) -> Vec<CacheEntry> {
        let entries = self.parts.iter().flat_map(|(&part, holders)| {
            let recent = holders.iter().filter(|holder| holder.is_recent(now_ms));
            recent.map(move |holder| (holder.used_at_ms, part, holder.endpoint))
        });
        let mut entries: Vec<(u64, u32, u32)> = entries.collect();
        entries.sort_unstable_by(|a, b| b.cmp(a));
        entries.truncate(max);
        let entries = entries.into_iter();
        let entries = entries.map(|(_, part, endpoint)| CacheEntry { part, endpoint });
        entries.collect()
    }

    /// Drops expired entries.
    pub fn expire(&mut self, now_ms: u64) {
        self.parts.retain(|_, holders| {
            holders.retain(|holder| holder.is_recent(now_ms));
            !holders.is_empty()
        });
    }

    /// Finds or inserts the entry of a part at an endpoint; `None` if the directory is
    /// full. A new entry counts as never sent.
    fn holder_mut(&mut self, entry: CacheEntry, now_ms: u64) -> Option<&mut Holder> {
        let has_capacity = self.parts.len() < MAX_PARTS || self.parts.contains_key(&entry.part);
        if !has_capacity {
            return None;
        }
        let holders = self.parts.entry(entry.part).or_default();
        let position = holders
            .iter()
            .position(|holder| holder.endpoint == entry.endpoint);
        if let Some(position) = position {
            return holders.get_mut(position);
        }
        if holders.len() >= MAX_HOLDERS_PER_PART {
            let oldest = (0..holders.len()).min_by_key(|&i| holders[i].used_at_ms)?;
            holders.swap_remove(oldest);
        }
        holders.push(Holder {
            endpoint: entry.endpoint,
            used_at_ms: now_ms,
            sent_at_ms: None,
        });
        holders.last_mut()
    }
}

impl Holder {
    fn is_recent(&self, now_ms: u64) -> bool {
        now_ms.saturating_sub(self.used_at_ms) <= ENTRY_RETENTION_MS
    }
}
