//! Engines on virtual time: load and prefix cache.

use chalkrock_core::rendezvous::MemberHash;
use lru::LruCache;

/// A chat's number.
pub(crate) type ChatId = u32;
/// An engine's number; a replacement has a number of its own.
pub(crate) type EngineId = usize;

/// One engine.
#[derive(Debug)]
pub(crate) struct Engine {
    pub(crate) hash: MemberHash,
    pub(crate) weight: f64,
    pub(crate) live: bool,
    pub(crate) in_progress: u32,
    cache: LruCache<ChatId, u32>,
    cached_turns: u32,
    cache_turns_max: u32,
}

impl Engine {
    pub(crate) fn new(id: EngineId, weight: f64, cache_turns_max: u32) -> Self {
        Self {
            hash: MemberHash::of(&format!("engine-{id}")),
            weight,
            live: true,
            in_progress: 0,
            cache: LruCache::unbounded(),
            cached_turns: 0,
            cache_turns_max,
        }
    }

    /// Whether the chat's prefix is there; it counts as used.
    pub(crate) fn has_prefix(&mut self, chat: ChatId) -> bool {
        self.cache.get(&chat).is_some()
    }

    /// Keeps a chat's prefix, and evicts the oldest ones over the limit.
    pub(crate) fn keep_prefix(&mut self, chat: ChatId, turns: u32) {
        let before = self.cache.put(chat, turns).unwrap_or(0);
        self.cached_turns = self.cached_turns - before + turns;
        while self.cached_turns > self.cache_turns_max {
            match self.cache.pop_lru() {
                Some((_, turns)) => self.cached_turns -= turns,
                None => return,
            }
        }
    }

    pub(crate) fn begin(&mut self) {
        self.in_progress += 1;
    }

    pub(crate) fn end(&mut self) {
        self.in_progress -= 1;
    }

    /// A new engine of the same size, with an empty cache.
    pub(crate) fn replacing(old: &Engine, id: EngineId) -> Self {
        Self::new(id, old.weight, old.cache_turns_max)
    }

    pub(crate) fn relative_load(&self) -> f64 {
        f64::from(self.in_progress) / self.weight
    }
}
