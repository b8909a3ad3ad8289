//! Which endpoints hold which parts of prompts, as far as hosts have seen.
//!
//! An endpoint that has begun to answer a request holds the parts of its
//! prompt. Each host notes that of its own requests and tells the others what
//! is new, so that a part is found again after its endpoint's rank changed,
//! and is copied from who holds it rather than read again. Engines forget what
//! was not used for long; so do entries here, well before.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};

/// An entry that was not used for this long no longer counts. Reading a part
/// again that no one used for ten seconds costs nothing but its time.
const USED_WITHIN_MS: u64 = 30_000;
/// An entry that was told is told again after this.
const RESEND_AFTER_MS: u64 = 12_000;
/// Parts that are remembered; the rest of a flood is not.
const PARTS_MAX: usize = 16_384;
/// Endpoints that are remembered for one part.
const HOLDERS_MAX: usize = 6;

/// One part at one endpoint, as it travels.
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
    /// When it was last told, if it was.
    sent_at_ms: Option<u64>,
}

/// Parts and their holders.
///
/// # Example
///
/// ```
/// use chalkrock_routing::{CacheEntry, PrefixDirectory};
///
/// let mut map = PrefixDirectory::default();
/// let holding = CacheEntry { part: 7, endpoint: 1 };
/// assert!(map.note(holding, 0));
/// assert!(!map.note(holding, 100));
/// assert!(map.holds(7, 1, 100));
/// ```
#[derive(Clone, Debug, Default)]
pub struct PrefixDirectory {
    parts: HashMap<u32, Vec<Holder>>,
}

impl PrefixDirectory {
    /// An own request showed that an endpoint holds a part. Returns whether
    /// the other hosts should be told.
    pub fn record(&mut self, holding: CacheEntry, now_ms: u64) -> bool {
        let Some(holder) = self.holder(holding, now_ms) else {
            return false;
        };
        holder.used_at_ms = now_ms;
        let is_due = holder
            .sent_at_ms
            .is_none_or(|sent_at_ms| now_ms >= sent_at_ms + RESEND_AFTER_MS);
        if is_due {
            holder.sent_at_ms = Some(now_ms);
        }
        is_due
    }

    /// Another host told that an endpoint holds a part. Returns whether hosts
    /// that did not hear it should be told.
    pub fn merge(&mut self, holding: CacheEntry, now_ms: u64) -> bool {
        self.record(holding, now_ms)
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

    /// Drops what has not been used for long.
    pub fn expire(&mut self, now_ms: u64) {
        self.parts.retain(|_, holders| {
            holders.retain(|holder| holder.is_recent(now_ms));
            !holders.is_empty()
        });
    }

    /// The entry of a part at an endpoint, made if there is room. An entry
    /// that is made has never been told.
    fn holder(&mut self, holding: CacheEntry, now_ms: u64) -> Option<&mut Holder> {
        let has_room = self.parts.len() < PARTS_MAX || self.parts.contains_key(&holding.part);
        if !has_room {
            return None;
        }
        let holders = self.parts.entry(holding.part).or_default();
        let place = holders
            .iter()
            .position(|holder| holder.endpoint == holding.endpoint);
        if let Some(place) = place {
            return holders.get_mut(place);
        }
        if holders.len() >= HOLDERS_MAX {
            let oldest = (0..holders.len()).min_by_key(|&i| holders[i].used_at_ms)?;
            holders.swap_remove(oldest);
        }
        holders.push(Holder {
            endpoint: holding.endpoint,
            used_at_ms: now_ms,
            sent_at_ms: None,
        });
        holders.last_mut()
    }
}

impl Holder {
    fn is_recent(&self, now_ms: u64) -> bool {
        now_ms.saturating_sub(self.used_at_ms) <= USED_WITHIN_MS
    }
}
