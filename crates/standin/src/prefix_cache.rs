//! Least recently used cache of prompt prefixes, bounded in bytes.

use std::collections::{BTreeMap, HashMap};
use std::hash::{DefaultHasher, Hash, Hasher};

/// Cached prompt prefixes, keyed by the hash of their messages.
#[derive(Debug)]
pub struct PrefixCache {
    limit_bytes: usize,
    used_bytes: usize,
    clock: u64,
    entries: HashMap<u64, Entry>,
    by_last_use: BTreeMap<u64, u64>,
}

#[derive(Debug)]
struct Entry {
    bytes: usize,
    last_used: u64,
}

/// Returns the hash of each prefix of a list of messages, shortest first, with
/// the bytes that its last message adds.
pub(crate) fn prefix_hashes<'a>(messages: impl Iterator<Item = &'a str>) -> Vec<(u64, usize)> {
    let mut hasher = DefaultHasher::new();
    let mut prefixes = Vec::new();
    for message in messages {
        message.hash(&mut hasher);
        prefixes.push((hasher.finish(), message.len()));
    }
    prefixes
}

impl PrefixCache {
    /// Creates an empty cache.
    pub fn new(limit_bytes: usize) -> Self {
        Self {
            limit_bytes,
            used_bytes: 0,
            clock: 0,
            entries: HashMap::new(),
            by_last_use: BTreeMap::new(),
        }
    }

    /// Returns the size of the longest cached prefix and marks it as used.
    pub fn look_up(&mut self, prefixes: &[(u64, usize)]) -> usize {
        let mut cached_bytes = 0;
        for (hash, bytes) in prefixes {
            if !self.touch(*hash) {
                break;
            }
            cached_bytes += bytes;
        }
        cached_bytes
    }

    /// Adds prefixes and evicts the least recently used ones over the limit.
    pub fn insert(&mut self, prefixes: &[(u64, usize)]) {
        for (hash, bytes) in prefixes {
            if self.touch(*hash) {
                continue;
            }
            self.clock += 1;
            self.entries.insert(
                *hash,
                Entry {
                    bytes: *bytes,
                    last_used: self.clock,
                },
            );
            self.by_last_use.insert(self.clock, *hash);
            self.used_bytes += bytes;
        }
        self.evict();
    }

    /// Size of all cached prefixes.
    pub fn used_bytes(&self) -> usize {
        self.used_bytes
    }

    fn touch(&mut self, hash: u64) -> bool {
        let Some(entry) = self.entries.get_mut(&hash) else {
            return false;
        };
        self.by_last_use.remove(&entry.last_used);
        self.clock += 1;
        entry.last_used = self.clock;
        self.by_last_use.insert(self.clock, hash);
        true
    }

    fn evict(&mut self) {
        while self.used_bytes > self.limit_bytes {
            let Some((_, hash)) = self.by_last_use.pop_first() else {
                return;
            };
            if let Some(entry) = self.entries.remove(&hash) {
                self.used_bytes -= entry.bytes;
            }
        }
    }
}
