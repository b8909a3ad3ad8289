//! A prefix cache with a limit in bytes; what was used longest ago goes first.

use std::collections::{BTreeMap, HashMap};
use std::hash::{DefaultHasher, Hash, Hasher};

/// Prompt prefixes that the engine holds, by the hash of their messages.
#[derive(Debug)]
pub struct PrefixCache {
    limit_bytes: usize,
    used_bytes: usize,
    clock: u64,
    entries: HashMap<u64, Entry>,
    by_age: BTreeMap<u64, u64>,
}

#[derive(Debug)]
struct Entry {
    bytes: usize,
    used_at: u64,
}

/// Hashes of each prefix of a list of messages, shortest first, with the
/// bytes that each adds.
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
    /// An empty cache.
    pub fn new(limit_bytes: usize) -> Self {
        Self {
            limit_bytes,
            used_bytes: 0,
            clock: 0,
            entries: HashMap::new(),
            by_age: BTreeMap::new(),
        }
    }

    /// Bytes of the longest prefix that is cached. It counts as used.
    pub fn look_up(&mut self, prefixes: &[(u64, usize)]) -> usize {
        let mut found_bytes = 0;
        for (hash, bytes) in prefixes {
            if !self.touch(*hash) {
                break;
            }
            found_bytes += bytes;
        }
        found_bytes
    }

    /// Takes prefixes in and evicts the oldest ones over the limit.
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
                    used_at: self.clock,
                },
            );
            self.by_age.insert(self.clock, *hash);
            self.used_bytes += bytes;
        }
        self.evict();
    }

    /// Bytes in use.
    pub fn used_bytes(&self) -> usize {
        self.used_bytes
    }

    fn touch(&mut self, hash: u64) -> bool {
        let Some(entry) = self.entries.get_mut(&hash) else {
            return false;
        };
        self.by_age.remove(&entry.used_at);
        self.clock += 1;
        entry.used_at = self.clock;
        self.by_age.insert(self.clock, hash);
        true
    }

    fn evict(&mut self) {
        while self.used_bytes > self.limit_bytes {
            let Some((_, hash)) = self.by_age.pop_first() else {
                return;
            };
            if let Some(entry) = self.entries.remove(&hash) {
                self.used_bytes -= entry.bytes;
            }
        }
    }
}
