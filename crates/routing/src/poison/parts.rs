//! Detection of poison parts: parts of prompts under which endpoints crash, whatever else a
//! request holds.
//!
//! Everything that runs on an endpoint ends with it, so a crash by itself accuses each part
//! that was in use there. A poison part differs from the others in four ways:
//!
//! * An endpoint that begins an answer on it always crashes. An answer that goes on for
//!   [`SURVIVAL_MS`], or ends well, clears its parts for a while.
//! * Requests that have nothing else in common crash endpoints. Repeats of one request count
//!   half, since any of its content may be the cause.
//! * Few requests have it. A part that many of the requests at a crash share is there whatever
//!   the cause, so that one which fewer share accounts better for the same crashes.
//! * It accounts for the crashes. Those at which it was not in use raise the evidence that it
//!   takes, and those that a known poison part explains accuse no other one.

use std::collections::{HashMap, HashSet, VecDeque};
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::poison::runs::{CrashedAnswers, RecentRuns, RunId};

/// Time from the first bytes of an answer after which the endpoint is not expected to crash
/// under it, in milliseconds.
pub const SURVIVAL_MS: u64 = 500;
/// How long an answer that went on clears its parts, in milliseconds.
const SURVIVAL_RETENTION_MS: u64 = 30_000;
/// Crashes under different requests after which a part is poison.
const MIN_CRASHES: usize = 3;
/// The same for a part on which an answer went on lately.
const MIN_CRASHES_AFTER_SURVIVAL: usize = 8;
/// Time without such an answer from which these count. Many endpoints may crash at once, and
/// answers on a sound part go on at others within this time.
const MIN_SILENCE_MS: u64 = 2_000;
/// Other unexplained crashes that raise the needed crashes by one.
const OTHERS_PER_CRASH: usize = 4;
/// Further crashes that decide between parts that were always in use together.
const TIE_CRASHES: usize = 2;
/// Time from the first crash in which the other hosts may report answers that went on.
const MIN_EVIDENCE_AGE_MS: u64 = 500;
/// Least time between the first and the last crash: endpoints that are lost together crash
/// within less.
const MIN_CRASH_SPAN_MS: u64 = 600;
const CRASH_RETENTION_MS: u64 = 60_000;
const MAX_KNOWN_CRASHES: usize = 256;
const MAX_SURVIVALS: usize = 16_384;
/// Uses of parts at one crash, over all hosts.
const MAX_USES_PER_CRASH: usize = 256;
/// Those that one host reports, in a datagram of about 650 bytes.
const MAX_REPORTED_USES: usize = 64;
/// Requests that are counted on one part at one crash.
const MAX_REQUESTS_PER_PART: usize = 4;
/// Shared parts of one prompt that are observed.
pub const MAX_OBSERVED_PARTS: usize = 64;
/// Shortest time between two reports that answers on a part go on.
const REPORT_INTERVAL_MS: u64 = 500;
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
}

/// An observation of parts, as hosts exchange it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PartUpdate {
    /// An endpoint crashed.
    Crashed {
        /// Hash of the endpoint's start.
        start: u32,
        /// Parts of answers that had begun there shortly before.
        uses: Vec<PartUse>,
    },
    /// An answer on a part went on.
    Survived {
        /// Short hash of the part.
        part: u32,
        /// When, in milliseconds before the update was sent.
        ago_ms: u32,
    },
}

impl PartUpdate {
    /// Upper bound of its encoded size in bytes.
    fn max_bytes(&self) -> usize {
        const FIXED_BYTES: usize = 12;
        const USE_BYTES: usize = 10;
        match self {
            Self::Crashed { uses, .. } => FIXED_BYTES + USE_BYTES * uses.len(),
            Self::Survived { .. } => FIXED_BYTES,
        }
    }
}

#[derive(Clone, Debug)]
struct Crash {
    start: u32,
    at_ms: u64,
    uses: Vec<PartUse>,
    /// Whether this host had answers there.
    is_local: bool,
    /// Whether a poison part was found to explain it.
    is_explained: bool,
}

impl Crash {
    fn has_used(&self, part: u32) -> bool {
        self.uses.iter().any(|used| used.part == part)
    }

    /// Requests counted on a part.
    fn requests_on(&self, part: u32) -> usize {
        self.uses.iter().filter(|used| used.part == part).count()
    }

    /// Adds a use unless it is known. Returns whether it was added.
    fn add(&mut self, used: PartUse) -> bool {
        let is_new = self.uses.len() < MAX_USES_PER_CRASH
            && self.requests_on(used.part) < MAX_REQUESTS_PER_PART
            && !self.uses.contains(&used);
        if is_new {
            self.uses.push(used);
        }
        is_new
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct Survival {
    /// When an answer on the part last went on.
    at_ms: u64,
    reported_at_ms: Option<u64>,
}

#[derive(Clone, Debug)]
struct Pending {
    update: PartUpdate,
    sends_left: u8,
    queued_at_ms: u64,
}

/// Evidence against one part.
#[derive(Clone, Debug, Default)]
struct Case {
    crashes: Vec<usize>,
    requests: HashSet<u32>,
}

impl Case {
    /// Twice the number of crashes; those under a request that was counted before add half.
    fn weight(&self) -> usize {
        self.crashes.len() + self.requests.len().min(self.crashes.len())
    }
}

/// How well another part accounts for the crashes at which a part was in use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Rivalry {
    Worse,
    /// It was in use at all of them, and not by many more requests.
    Tied,
    /// It was in use at most of them, by half as many requests or fewer.
    Better,
}

fn rivalry((part, case): (u32, &Case), (other, rival): (u32, &Case), all: &[&Crash]) -> Rivalry {
    let shared = case.crashes.iter().copied();
    let shared = shared.filter(|index| rival.crashes.contains(index));
    let shared: Vec<&Crash> = shared.map(|index| all[index]).collect();
    let requests_on = |part: u32| -> usize {
        let requests = shared.iter().map(|crash| crash.requests_on(part));
        requests.sum()
    };
    let (requests, rival_requests) = (requests_on(part), requests_on(other));
    if 2 * shared.len() >= case.crashes.len() && 2 * rival_requests <= requests {
        Rivalry::Better
    } else if shared.len() == case.crashes.len() && rival_requests < 2 * requests {
        Rivalry::Tied
    } else {
        Rivalry::Worse
    }
}

/// Crashes and answers that went on, by the parts of their prompts, as one host knows them.
#[derive(Clone, Debug, Default)]
pub(super) struct PartEvidence {
    runs: RecentRuns,
    /// Oldest first.
    crashes: VecDeque<Crash>,
    /// Parts in use at these crashes.
    suspects: HashSet<u32>,
    survivals: HashMap<u32, Survival>,
    /// Until when the evidence may prove more than it did before.
    review_until_ms: u64,
    pending: VecDeque<Pending>,
}

impl PartEvidence {
    pub(super) fn begin_run(
        &mut self,
        start: u32,
        request: u32,
        parts: Arc<[u32]>,
    ) -> Option<RunId> {
        self.runs.begin(start, request, parts)
    }

    pub(super) fn end_run(&mut self, id: RunId, is_complete: bool, now_ms: u64) {
        self.runs.end(id, is_complete, now_ms);
    }

    /// Records that an answer went on. Returns its parts.
    pub(super) fn record_survival(&mut self, id: RunId, now_ms: u64) -> Vec<u32> {
        let Some(parts) = self.runs.remove(id) else {
            return Vec::new();
        };
        self.record_survivals(&parts, now_ms);
        parts.to_vec()
    }

    /// Drops answers whose bytes may have arrived while this host was suspended.
    pub(super) fn forget_runs(&mut self) {
        self.runs.clear();
    }

    /// Records a crash that this host confirmed. Returns its recent answers there.
    pub(super) fn record_crash(&mut self, start: u32, now_ms: u64) -> CrashedAnswers {
        self.crash_mut(start, now_ms);
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
                PartUpdate::Survived { part, ago_ms } => {
                    let at_ms = now_ms.saturating_sub(u64::from(*ago_ms));
                    let is_later = self.extend_survival(*part, at_ms);
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
        for parts in &settled {
            self.record_survivals(parts, now_ms);
        }
        let known_crashes = self.crashes.len();
        self.crashes
            .retain(|crash| now_ms < crash.at_ms + CRASH_RETENTION_MS);
        if self.crashes.len() < known_crashes {
            let uses = self.crashes.iter().flat_map(|crash| &crash.uses);
            self.suspects = uses.map(|used| used.part).collect();
        }
        self.survivals
            .retain(|_, survival| now_ms < survival.at_ms + SURVIVAL_RETENTION_MS);
        settled.iter().flat_map(|parts| parts.to_vec()).collect()
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
        let Some(survival) = self.survivals.get_mut(&part) else {
            return;
        };
        let ago_ms = now_ms.saturating_sub(survival.at_ms);
        let is_due = survival
            .reported_at_ms
            .is_none_or(|reported_at_ms| now_ms >= reported_at_ms + REPORT_INTERVAL_MS);
        if !is_due || ago_ms >= SURVIVAL_RETENTION_MS {
            return;
        }
        survival.reported_at_ms = Some(now_ms);
        let ago_ms = ago_ms as u32;
        self.queue_update(PartUpdate::Survived { part, ago_ms }, now_ms);
    }

    /// Drops this host's own report that answers on a part go on: another host has just sent one.
    /// Otherwise each host of a large fleet would report each hot part after a crash.
    fn cancel_report(&mut self, part: u32, now_ms: u64) {
        self.pending.retain(
            |pending| !matches!(pending.update, PartUpdate::Survived { part: other, .. } if other == part),
        );
        if let Some(survival) = self.survivals.get_mut(&part) {
            survival.reported_at_ms = Some(now_ms);
        }
    }

    /// Known crashes at which a part was in use.
    pub(super) fn crashes(&self, part: u32) -> usize {
        let crashes = self.crashes.iter();
        crashes.filter(|crash| crash.has_used(part)).count()
    }

    /// Whether this host had answers at one of the crashes at which a part was in use.
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
        let cases = self.cases(&unexplained, now_ms);
        let mut ranked: Vec<(&u32, &Case)> = cases.iter().collect();
        ranked.sort_unstable_by_key(|(part, case)| (std::cmp::Reverse(case.weight()), **part));
        let mut ranked = ranked.into_iter();
        ranked
            .find(|(part, case)| self.is_proved(**part, case, &cases, &unexplained, now_ms))
            .map(|(part, _)| *part)
    }

    /// Whether a poison part explains a crash.
    pub(super) fn is_explained(&self, start: u32) -> bool {
        let mut crashes = self.crashes.iter();
        crashes.any(|crash| crash.start == start && crash.is_explained)
    }

    /// Marks crashes that a poison part explains. Returns the starts of those found now.
    pub(super) fn explain(&mut self, is_poison: impl Fn(u32) -> bool, now_ms: u64) -> Vec<u32> {
        let mut explained = Vec::new();
        for crash in &mut self.crashes {
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

    fn cases(&self, crashes: &[&Crash], now_ms: u64) -> HashMap<u32, Case> {
        let mut cases: HashMap<u32, Case> = HashMap::new();
        for (index, crash) in crashes.iter().enumerate() {
            for used in &crash.uses {
                let survived_at_ms = self.survived_at_ms(used.part, now_ms);
                if survived_at_ms.is_some_and(|at_ms| at_ms >= crash.at_ms) {
                    continue;
                }
                let case = cases.entry(used.part).or_default();
                if case.crashes.last() != Some(&index) {
                    case.crashes.push(index);
                }
                case.requests.insert(used.request);
            }
        }
        cases
    }

    fn is_proved(
        &self,
        part: u32,
        case: &Case,
        cases: &HashMap<u32, Case>,
        crashes: &[&Crash],
        now_ms: u64,
    ) -> bool {
        const WEIGHT_PER_CRASH: usize = 2;
        const MIN_REQUESTS: usize = 2;
        let (Some(&first), Some(&last)) = (case.crashes.first(), case.crashes.last()) else {
            return false;
        };
        if crashes[last].at_ms < crashes[first].at_ms + MIN_CRASH_SPAN_MS {
            return false;
        }
        let survived_at_ms = self.survived_at_ms(part, now_ms);
        if survived_at_ms.is_some_and(|at_ms| now_ms < at_ms + MIN_SILENCE_MS) {
            return false;
        }
        let min_crashes = if survived_at_ms.is_some() {
            MIN_CRASHES_AFTER_SURVIVAL
        } else {
            MIN_CRASHES
        };
        let others = crashes.len() - first - case.crashes.len();
        let needed = WEIGHT_PER_CRASH * min_crashes + WEIGHT_PER_CRASH * others / OTHERS_PER_CRASH;
        let is_old_enough = now_ms >= crashes[first].at_ms + MIN_EVIDENCE_AGE_MS;
        if !is_old_enough || case.requests.len() < MIN_REQUESTS || case.weight() < needed {
            return false;
        }
        let rivals = cases
            .iter()
            .filter(|(other, _)| **other != part && self.survived_at_ms(**other, now_ms).is_none());
        let rivalries: Vec<Rivalry> = rivals
            .map(|(other, rival)| rivalry((part, case), (*other, rival), crashes))
            .collect();
        if rivalries.contains(&Rivalry::Better) {
            return false;
        }
        let is_tied = rivalries.contains(&Rivalry::Tied);
        !is_tied || case.weight() >= needed + WEIGHT_PER_CRASH * TIE_CRASHES
    }

    fn survived_at_ms(&self, part: u32, now_ms: u64) -> Option<u64> {
        let survival = self.survivals.get(&part)?;
        (now_ms < survival.at_ms + SURVIVAL_RETENTION_MS).then_some(survival.at_ms)
    }

    /// Records that answers on parts of this host go on, and reports it for parts that were
    /// in use at crashes.
    fn record_survivals(&mut self, parts: &[u32], now_ms: u64) {
        for &part in parts {
            self.extend_survival(part, now_ms);
            if self.suspects.contains(&part) {
                self.report_survival(part, now_ms);
            }
        }
    }

    /// Returns whether the time is later than the one known by more than the time between
    /// two reports.
    fn extend_survival(&mut self, part: u32, at_ms: u64) -> bool {
        if self.survivals.len() >= MAX_SURVIVALS && !self.survivals.contains_key(&part) {
            self.evict_oldest_survivals();
        }
        let is_known = self.survivals.contains_key(&part);
        let survival = self.survivals.entry(part).or_default();
        let is_later = !is_known || at_ms >= survival.at_ms + REPORT_INTERVAL_MS;
        survival.at_ms = survival.at_ms.max(at_ms);
        is_later
    }

    fn evict_oldest_survivals(&mut self) {
        const EVICTED_DIVISOR: usize = 8;
        let mut times_ms: Vec<u64> = { self.survivals.values() }
            .map(|survival| survival.at_ms)
            .collect();
        let (_, &mut limit_ms, _) = times_ms.select_nth_unstable(MAX_SURVIVALS / EVICTED_DIVISOR);
        self.survivals
            .retain(|_, survival| survival.at_ms > limit_ms);
    }

    fn extend_review(&mut self, now_ms: u64) {
        self.review_until_ms = now_ms + MIN_EVIDENCE_AGE_MS + MIN_SILENCE_MS;
    }

    fn crash_mut(&mut self, start: u32, now_ms: u64) -> &mut Crash {
        let position = self.crashes.iter().position(|crash| crash.start == start);
        let position = position.unwrap_or_else(|| {
            if self.crashes.len() >= MAX_KNOWN_CRASHES {
                self.crashes.pop_front();
            }
            self.crashes.push_back(Crash {
                start,
                at_ms: now_ms,
                uses: Vec::new(),
                is_local: false,
                is_explained: false,
            });
            self.crashes.len() - 1
        });
        &mut self.crashes[position]
    }

    /// Adds uses to a crash. Returns the new ones.
    fn add_uses(&mut self, start: u32, uses: &[PartUse], now_ms: u64) -> Vec<PartUse> {
        self.extend_review(now_ms);
        let crash = self.crash_mut(start, now_ms);
        let uses = uses.iter().take(MAX_REPORTED_USES).copied();
        let added: Vec<PartUse> = uses.filter(|used| crash.add(*used)).collect();
        self.suspects.extend(added.iter().map(|used| used.part));
        added
    }

    /// Adds and reports the parts that this host used at a crashed endpoint. Of many, those
    /// on which no answers go on and those in use at other crashes come first, and then those
    /// of the latest answers: an endpoint crashes soon after it begins one on a poison part.
    fn report_own_uses(&mut self, start: u32, now_ms: u64) -> CrashedAnswers {
        let (answers, mut uses) = self.runs.take_crashed(start);
        if uses.is_empty() {
            return answers;
        }
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
        self.crash_mut(start, now_ms).is_local = true;
        self.queue_update(PartUpdate::Crashed { start, uses }, now_ms);
        answers
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
            PartUpdate::Survived { part, ago_ms } => PartUpdate::Survived {
                part: *part,
                ago_ms: ago_ms + waited_ms,
            },
            crashed => crashed.clone(),
        }
    }
}
