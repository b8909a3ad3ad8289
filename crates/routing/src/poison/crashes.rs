//! Crashes of endpoints, with the parts of prompts that were in use there.

use std::collections::{HashMap, VecDeque};

use crate::poison::parts::PartUse;

/// How long a crash is remembered, in milliseconds.
const RETENTION_MS: u64 = 600_000;
const MAX_CRASHES: usize = 256;
/// Uses of parts at one crash, over all hosts.
const MAX_USES_PER_CRASH: usize = 256;
/// Requests that are counted on one part at one crash.
pub(super) const MAX_REQUESTS_PER_PART: usize = 4;

/// A crash of an endpoint.
#[derive(Clone, Debug)]
pub(super) struct Crash {
    /// Hash of the endpoint's start.
    pub(super) start: u32,
    pub(super) at_ms: u64,
    pub(super) uses: Vec<PartUse>,
    /// Whether this host had requests there.
    pub(super) is_local: bool,
    /// Whether a poison part was found to explain it.
    pub(super) is_explained: bool,
}

impl Crash {
    pub(super) fn has_used(&self, part: u32) -> bool {
        self.uses.iter().any(|used| used.part == part)
    }

    /// Requests counted on a part.
    pub(super) fn requests_on(&self, part: u32) -> usize {
        self.uses.iter().filter(|used| used.part == part).count()
    }

    /// Adds a use unless it is known. Of many on one part, those whose answer had begun shortly
    /// before are kept. Returns whether it was added.
    fn add(&mut self, used: PartUse) -> bool {
        let is_same = |known: &PartUse| known.part == used.part && known.request == used.request;
        if let Some(known) = self.uses.iter_mut().find(|known| is_same(known)) {
            let is_stronger = used.stage.is_recent() && !known.stage.is_recent();
            if is_stronger {
                *known = used;
            }
            return is_stronger;
        }
        if self.requests_on(used.part) >= MAX_REQUESTS_PER_PART {
            let mut known = self.uses.iter_mut();
            let weaker = known.find(|k| k.part == used.part && !k.stage.is_recent());
            let weaker = weaker.filter(|_| used.stage.is_recent());
            return weaker.map(|weaker| *weaker = used).is_some();
        }
        let has_room = self.uses.len() < MAX_USES_PER_CRASH;
        if has_room {
            self.uses.push(used);
        }
        has_room
    }
}

/// The crashes known to one host, oldest first.
#[derive(Clone, Debug, Default)]
pub(super) struct Crashes {
    list: VecDeque<Crash>,
    /// Parts in use at these crashes, and the longest time for which an answer on them had gone
    /// on.
    ages_ms: HashMap<u32, u32>,
}

impl Crashes {
    pub(super) fn iter(&self) -> impl Iterator<Item = &Crash> {
        self.list.iter()
    }

    pub(super) fn iter_mut(&mut self) -> impl Iterator<Item = &mut Crash> {
        self.list.iter_mut()
    }

    /// The crash of an endpoint's start, which is added if it is not known.
    pub(super) fn entry(&mut self, start: u32, now_ms: u64) -> &mut Crash {
        let position = self.list.iter().position(|crash| crash.start == start);
        let position = position.unwrap_or_else(|| {
            if self.list.len() >= MAX_CRASHES {
                self.list.pop_front();
            }
            self.list.push_back(Crash {
                start,
                at_ms: now_ms,
                uses: Vec::new(),
                is_local: false,
                is_explained: false,
            });
            self.list.len() - 1
        });
        &mut self.list[position]
    }

    /// Adds uses to a crash. Returns the new ones.
    pub(super) fn add_uses(
        &mut self,
        start: u32,
        uses: impl Iterator<Item = PartUse>,
        now_ms: u64,
    ) -> Vec<PartUse> {
        let crash = self.entry(start, now_ms);
        uses.filter(|used| crash.add(*used)).collect()
    }

    /// Records for how long answers had gone on at a crash.
    pub(super) fn record_ages(&mut self, uses: &[PartUse]) {
        for used in uses {
            let age_ms = self.ages_ms.entry(used.part).or_default();
            *age_ms = used.stage.age_ms().max(*age_ms);
        }
    }

    /// For how long answers on a part had gone on at crashes; `None` if it was at none.
    pub(super) fn age_ms(&self, part: u32) -> Option<u32> {
        self.ages_ms.get(&part).copied()
    }

    /// Known crashes at which a part was in use.
    pub(super) fn count(&self, part: u32) -> usize {
        self.list
            .iter()
            .filter(|crash| crash.has_used(part))
            .count()
    }

    /// Removes a part from the crashes up to a time: an answer on it has gone on since.
    pub(super) fn forget_uses(&mut self, part: u32, at_ms: u64) {
        if !self.ages_ms.contains_key(&part) {
            return;
        }
        let before = self.list.iter_mut().filter(|crash| crash.at_ms <= at_ms);
        before.for_each(|crash| crash.uses.retain(|used| used.part != part));
    }

    pub(super) fn expire(&mut self, now_ms: u64) {
        let known = self.list.len();
        self.list
            .retain(|crash| now_ms < crash.at_ms + RETENTION_MS);
        if self.list.len() == known {
            return;
        }
        self.ages_ms.clear();
        let uses = self.list.iter().flat_map(|crash| &crash.uses);
        let uses: Vec<PartUse> = uses.copied().collect();
        self.record_ages(&uses);
    }
}
