//! Detection of poison parts: parts of prompts under which endpoints crash, whatever else a
//! request holds.
//!
//! Everything that runs on an endpoint ends with it, so a crash by itself accuses each part
//! that was in use there. A poison part differs from the others in four ways:
//!
//! * An endpoint that begins a request with it always crashes. An answer that goes on for longer
//!   than those had at the crashes, or that ends well at an endpoint which is known to live on,
//!   clears its parts for a while.
//! * Requests that have nothing else in common crash endpoints. Repeats of one request count
//!   half, since any of its content may be the cause.
//! * Few requests have it. A part that many of the requests at a crash share is there whatever
//!   the cause, so that one which fewer share accounts better for the same crashes.
//! * It accounts for the crashes. Those at which it was not in use raise the evidence that it
//!   takes, and those that a known poison part explains accuse no other one.

use std::collections::{HashMap, HashSet, VecDeque};

use serde::{Deserialize, Serialize};

use crate::poison::crashes::{Crash, Crashes, MAX_REQUESTS_PER_PART};
use crate::poison::proof::{
    MIN_CRASHES_AFTER_SURVIVAL, MIN_EVIDENCE_AGE_MS, MIN_SILENCE_MS, Proof,
};
use crate::poison::runs::{CrashedRuns, RecentRuns, RunId, RunStage};
use crate::poison::survivals::{Survival, Survivals};

/// Time from the first bytes of an answer after which its endpoint is not expected to crash
/// under it, in milliseconds, unless it did so before.
pub const SURVIVAL_MS: u64 = 500;
/// Uses of parts that one host reports of a crash, in a datagram of about 850 bytes.
const MAX_REPORTED_USES: usize = 64;
/// Shared parts of one prompt that are observed.
pub const MAX_OBSERVED_PARTS: usize = 64;
const MAX_PENDING_UPDATES: usize = 256;
const SENDS_PER_UPDATE: u8 = 3;
const MAX_UPDATE_AGE_MS: u64 = 3_000;

/// A part that was in use at an endpoint, and the request that used it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartUse {
    /// Short hash of the part.
    pub part: u32,
    /// Short hash of the request.
    pub request: u32,
    /// How far the request had come.
    pub stage: RunStage,
}

/// An observation of parts, as hosts exchange it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PartUpdate {
    /// An endpoint crashed.
    Crashed {
        /// Hash of the endpoint's start.
        start: u32,
        /// Parts of the requests there.
        uses: Vec<PartUse>,
    },
    /// An answer on a part went on.
    Survived {
        /// Short hash of the part.
        part: u32,
        /// For how long.
        survival: Survival,
        /// When, in milliseconds before the update was sent.
        ago_ms: u32,
    },
}

impl PartUpdate {
    /// Upper bound of its encoded size in bytes.
    fn max_bytes(&self) -> usize {
        const FIXED_BYTES: usize = 13;
        const USE_BYTES: usize = 13;
        match self {
            Self::Crashed { uses, .. } => FIXED_BYTES + USE_BYTES * uses.len(),
            Self::Survived { .. } => FIXED_BYTES,
        }
    }
}

#[derive(Clone, Debug)]
struct Pending {
    update: PartUpdate,
    sends_left: u8,
    queued_at_ms: u64,
}

/// Crashes and answers that went on, by the parts of their prompts, as one host knows them.
#[derive(Clone, Debug, Default)]
pub(super) struct PartEvidence {
    pub(super) runs: RecentRuns,
    crashes: Crashes,
    survivals: Survivals,
    /// Until when the evidence may prove more than it did before.
    review_until_ms: u64,
    pending: VecDeque<Pending>,
}

impl PartEvidence {
    /// Records for how long an answer has gone on. Returns its parts if that clears them.
    pub(super) fn record_age(&mut self, id: RunId, age_ms: u64, now_ms: u64) -> Vec<u32> {
        let Some((parts, survival)) = self.runs.record_age(id, age_ms) else {
            return Vec::new();
        };
        self.record_survivals(&parts, survival, now_ms, now_ms);
        parts.to_vec()
    }

    /// Records a crash that this host confirmed. Returns its recent requests there.
    pub(super) fn record_crash(&mut self, start: u32, now_ms: u64) -> CrashedRuns {
        self.crashes.entry(start, now_ms);
        self.report_own_uses(start, now_ms)
    }

    /// Merges updates of another host and queues new ones for sending if `forwards`. Returns
    /// the parts on which answers were reported to go on.
    pub(super) fn merge(
        &mut self,
        updates: &[PartUpdate],
        forwards: bool,
        now_ms: u64,
    ) -> Vec<u32> {
        let mut survived = Vec::new();
        for update in updates {
            match update {
                PartUpdate::Crashed { start, uses } => {
                    let new = self.add_uses(*start, uses, now_ms);
                    self.report_own_uses(*start, now_ms);
                    for used in uses {
                        self.report_survival(used.part, now_ms);
                    }
                    if forwards && !new.is_empty() {
                        let (start, uses) = (*start, new);
                        self.queue_update(PartUpdate::Crashed { start, uses }, now_ms);
                    }
                }
                PartUpdate::Survived {
                    part,
                    survival,
                    ago_ms,
                } => {
                    let at_ms = now_ms.saturating_sub(u64::from(*ago_ms));
                    let is_later = self.record_survival(*part, *survival, at_ms, now_ms);
                    // The hosts that a relay sends to may not have received it.
                    if !forwards {
                        self.cancel_report(*part, now_ms);
                    }
                    if is_later {
                        survived.push(*part);
                    }
                    if is_later && forwards {
                        self.queue_update(update.clone(), now_ms);
                    }
                }
            }
        }
        survived
    }

    /// Counts complete answers whose endpoints did not crash, and drops expired evidence.
    /// Returns the parts of these answers.
    pub(super) fn settle(&mut self, now_ms: u64) -> Vec<u32> {
        let settled = self.runs.settle(now_ms);
        for (parts, ended_at_ms) in &settled {
            self.record_survivals(parts, Survival::SETTLED, *ended_at_ms, now_ms);
        }
        self.crashes.expire(now_ms);
        self.survivals.expire(now_ms);
        let parts = settled.iter().flat_map(|(parts, _)| parts.iter().copied());
        parts.collect()
    }

    /// Whether answers on a part went on, and few endpoints crashed since.
    pub(super) fn is_cleared(&self, part: u32, now_ms: u64) -> bool {
        let Some(at_ms) = self.survived_at_ms(part, now_ms) else {
            return false;
        };
        let crashes = self.crashes.iter();
        let since = crashes.filter(|crash| crash.at_ms > at_ms && crash.has_used(part));
        now_ms < at_ms + MIN_SILENCE_MS || since.count() < MIN_CRASHES_AFTER_SURVIVAL
    }

    /// Reports to the other hosts that answers on a part go on, if they do.
    pub(super) fn report_survival(&mut self, part: u32, now_ms: u64) {
        for (survival, at_ms) in self.survivals.take_report(part, now_ms) {
            let ago_ms = now_ms.saturating_sub(at_ms) as u32;
            let update = PartUpdate::Survived {
                part,
                survival,
                ago_ms,
            };
            self.queue_update(update, now_ms);
        }
    }

    /// Drops this host's own report that answers on a part go on: another host has just sent one.
    /// Otherwise each host of a large fleet would report each hot part after a crash.
    fn cancel_report(&mut self, part: u32, now_ms: u64) {
        self.pending.retain(
            |pending| !matches!(pending.update, PartUpdate::Survived { part: other, .. } if other == part),
        );
        self.survivals.record_report(part, now_ms);
    }

    /// Known crashes at which a part was in use.
    pub(super) fn crashes(&self, part: u32) -> usize {
        self.crashes.count(part)
    }

    /// Whether this host had requests at one of the crashes at which a part was in use.
    pub(super) fn is_local(&self, part: u32) -> bool {
        let mut crashes = self.crashes.iter();
        crashes.any(|crash| crash.is_local && crash.has_used(part))
    }

    /// Finds a part that is poison by the crashes that no known poison part explains.
    /// Evaluates them only for a time after the evidence changed.
    pub(super) fn find_poison(&self, is_poison: impl Fn(u32) -> bool, now_ms: u64) -> Option<u32> {
        if now_ms > self.review_until_ms {
            return None;
        }
        let is_explained = |crash: &Crash| crash.uses.iter().any(|used| is_poison(used.part));
        let unexplained: Vec<&Crash> = { self.crashes.iter() }
            .filter(|crash| !is_explained(crash))
            .collect();
        let survived_at_ms = |part| self.survived_at_ms(part, now_ms);
        Proof::new(unexplained, survived_at_ms, now_ms).find()
    }

    /// Whether a part that a request does not have may explain crashes at which it was: requests
    /// of others had it in use at each, and no answer on it went on.
    pub(super) fn may_explain(&self, request: u32, starts: &[u32], now_ms: u64) -> bool {
        const MIN_REQUESTS: usize = 2;
        let crash = |start: &u32| self.crashes.iter().find(|crash| crash.start == *start);
        let crashes: Option<Vec<&Crash>> = starts.iter().map(crash).collect();
        let Some((first, others)) = crashes.as_deref().and_then(<[_]>::split_first) else {
            return false;
        };
        let own = |part: u32| {
            let mut uses = first.uses.iter();
            uses.any(|used| used.part == part && used.request == request)
        };
        let mut parts = first.uses.iter().map(|used| used.part);
        parts.any(|part| {
            let is_at_all = others.iter().all(|crash| crash.has_used(part));
            if !is_at_all || own(part) || self.survived_at_ms(part, now_ms).is_some() {
                return false;
            }
            let uses = others.iter().chain([first]).flat_map(|crash| &crash.uses);
            let uses = uses.filter(|used| used.part == part);
            let requests: HashSet<u32> = uses.map(|used| used.request).collect();
            requests.len() >= MIN_REQUESTS && !requests.contains(&request)
        })
    }

    /// Whether a poison part explains a crash.
    pub(super) fn is_explained(&self, start: u32) -> bool {
        let mut crashes = self.crashes.iter();
        crashes.any(|crash| crash.start == start && crash.is_explained)
    }

    /// Marks crashes that a poison part explains. Returns the starts of those found now.
    pub(super) fn explain(&mut self, is_poison: impl Fn(u32) -> bool, now_ms: u64) -> Vec<u32> {
        let mut explained = Vec::new();
        for crash in self.crashes.iter_mut() {
            if !crash.is_explained && crash.uses.iter().any(|used| is_poison(used.part)) {
                crash.is_explained = true;
                explained.push(crash.start);
            }
        }
        if !explained.is_empty() {
            self.extend_review(now_ms);
        }
        explained
    }

    /// Takes updates to send to other hosts, in up to `max_datagrams` of up to `max_bytes`. Each
    /// is returned by several calls.
    pub(super) fn take_updates(
        &mut self,
        max_datagrams: usize,
        max_bytes: usize,
        now_ms: u64,
    ) -> Vec<Vec<PartUpdate>> {
        self.pending
            .retain(|pending| now_ms.saturating_sub(pending.queued_at_ms) <= MAX_UPDATE_AGE_MS);
        let mut datagrams: Vec<Vec<PartUpdate>> = Vec::new();
        let mut bytes_left = 0;
        for _ in 0..self.pending.len() {
            let Some(bytes) = self.pending.front().map(|next| next.update.max_bytes()) else {
                break;
            };
            if bytes > bytes_left {
                if datagrams.len() == max_datagrams {
                    break;
                }
                datagrams.push(Vec::new());
                bytes_left = max_bytes;
            }
            let (Some(mut pending), Some(last)) = (self.pending.pop_front(), datagrams.last_mut())
            else {
                break;
            };
            bytes_left = bytes_left.saturating_sub(bytes);
            last.push(pending.current_update(now_ms));
            pending.sends_left -= 1;
            if pending.sends_left > 0 {
                self.pending.push_back(pending);
            }
        }
        datagrams
    }

    /// When an answer on a part last went on for longer than those at its crashes had.
    fn survived_at_ms(&self, part: u32, now_ms: u64) -> Option<u64> {
        let age_ms = self.crashes.age_ms(part).unwrap_or_default();
        let needed = Survival::needed_after(age_ms);
        self.survivals.at_ms(part, needed, now_ms)
    }

    /// Records that answers on parts of this host go on, and reports it for parts that were
    /// in use at crashes.
    fn record_survivals(&mut self, parts: &[u32], survival: Survival, at_ms: u64, now_ms: u64) {
        for &part in parts {
            self.record_survival(part, survival, at_ms, now_ms);
            if self.crashes.age_ms(part).is_some() {
                self.report_survival(part, now_ms);
            }
        }
    }

    /// Returns whether the time is later than the one known.
    fn record_survival(&mut self, part: u32, survival: Survival, at_ms: u64, now_ms: u64) -> bool {
        let is_later = self.survivals.record(part, survival, at_ms);
        if let Some(at_ms) = self.survived_at_ms(part, now_ms) {
            self.crashes.forget_uses(part, at_ms);
        }
        is_later
    }

    fn extend_review(&mut self, now_ms: u64) {
        self.review_until_ms = now_ms + MIN_EVIDENCE_AGE_MS + MIN_SILENCE_MS;
    }

    /// Adds uses to a crash, unless answers on their parts went on since. Returns the new ones.
    fn add_uses(&mut self, start: u32, uses: &[PartUse], now_ms: u64) -> Vec<PartUse> {
        self.extend_review(now_ms);
        let at_ms = self.crashes.entry(start, now_ms).at_ms;
        self.crashes.record_ages(uses);
        let has_survived = |used: &PartUse| {
            let survived_at_ms = self.survived_at_ms(used.part, now_ms);
            survived_at_ms.is_some_and(|survived_at_ms| survived_at_ms >= at_ms)
        };
        let uses = uses.iter().take(MAX_REPORTED_USES).copied();
        let uses: Vec<PartUse> = uses.filter(|used| !has_survived(used)).collect();
        self.crashes.add_uses(start, uses.into_iter(), now_ms)
    }

    /// Adds and reports the parts that this host used at a crashed endpoint. Of many, those
    /// on which no answers go on and those in use at other crashes come first, and then those
    /// of the latest requests: an endpoint crashes soon after it begins one with a poison part.
    fn report_own_uses(&mut self, start: u32, now_ms: u64) -> CrashedRuns {
        let (crashed, mut uses) = self.runs.take_crashed(start, now_ms);
        if uses.is_empty() {
            return crashed;
        }
        uses.sort_by_key(|used| !used.stage.is_recent());
        let mut requests: HashMap<u32, HashSet<u32>> = HashMap::new();
        uses.retain(|used| {
            let requests = requests.entry(used.part).or_default();
            requests.len() < MAX_REQUESTS_PER_PART && requests.insert(used.request)
        });
        let mut crashes: HashMap<u32, usize> = HashMap::new();
        for used in self.crashes.iter().flat_map(|crash| &crash.uses) {
            *crashes.entry(used.part).or_default() += 1;
        }
        uses.sort_by_cached_key(|used| {
            let is_sound = self.survived_at_ms(used.part, now_ms).is_some();
            let crashes = crashes.get(&used.part).copied().unwrap_or_default();
            (is_sound, std::cmp::Reverse(crashes))
        });
        uses.truncate(MAX_REPORTED_USES);
        self.add_uses(start, &uses, now_ms);
        self.crashes.entry(start, now_ms).is_local = true;
        self.queue_update(PartUpdate::Crashed { start, uses }, now_ms);
        crashed
    }

    fn queue_update(&mut self, update: PartUpdate, now_ms: u64) {
        if self.pending.len() >= MAX_PENDING_UPDATES {
            return;
        }
        self.pending.push_back(Pending {
            update,
            sends_left: SENDS_PER_UPDATE,
            queued_at_ms: now_ms,
        });
    }
}

impl Pending {
    /// The update as it is sent now.
    fn current_update(&self, now_ms: u64) -> PartUpdate {
        let waited_ms = now_ms.saturating_sub(self.queued_at_ms) as u32;
        match &self.update {
            PartUpdate::Survived {
                part,
                survival,
                ago_ms,
            } => PartUpdate::Survived {
                part: *part,
                survival: *survival,
                ago_ms: ago_ms.saturating_add(waited_ms),
            },
            crashed => crashed.clone(),
        }
    }
}
