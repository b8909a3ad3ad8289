//! Detection of poison requests: requests under which endpoints crash.
//!
//! A crash ends all requests of an endpoint, and a single crash does not show which of
//! them caused it. Each host records the requests that ran at a crash, by fingerprint,
//! and hosts exchange these records. After [`MAX_CRASHES`] crashes, all hosts reject
//! the request for [`POISON_RETENTION_MS`].
//!
//! A completed run clears a request. This keeps requests whose fingerprint repeats
//! often, such as calls without a body, from being rejected because they run at every
//! crash.
//!
//! Requests that share nothing but a part of their prompts are counted by that part, see
//! [`parts`]. A poison part is rejected, exchanged and recorded like a poison request, under
//! [`RequestFingerprint::of_part`], and the crashes that it explains are not counted against
//! the requests that were there.

mod crashes;
mod part_verdicts;
mod parts;
mod proof;
mod runs;
mod survivals;

use std::collections::{HashMap, HashSet, VecDeque};

use serde::{Deserialize, Serialize};

use self::parts::PartEvidence;
pub use self::parts::{MAX_OBSERVED_PARTS, PartUpdate, PartUse, SURVIVAL_MS};
pub use self::runs::{CrashedRuns, RunId, RunStage};
pub use self::survivals::Survival;
use crate::fingerprint::RequestFingerprint;

/// Crashes after which a request is rejected. Two would reject requests that were only
/// moved to a second endpoint after the first one crashed.
pub const MAX_CRASHES: usize = 3;
/// Run time, in milliseconds, from which a crash counts half: a poison request crashes
/// its endpoint 40 to 80 ms after it begins to run. Half weight lowers the innocent requests
/// that are rejected from 336 to 114 of 10,000, with five poison requests beside 64 others
/// an endpoint.
pub const LONG_RUN_MS: u64 = 500;
const SHORT_RUN_WEIGHT: usize = 2;
const LONG_RUN_WEIGHT: usize = 1;
const POISON_WEIGHT: usize = MAX_CRASHES * SHORT_RUN_WEIGHT;
/// How long, in milliseconds, a request is rejected and its crashes are remembered.
pub const POISON_RETENTION_MS: u64 = 600_000;
/// Requests remembered for having run when an endpoint crashed; an endpoint runs up to 128
/// at once. The least often seen are dropped first.
const MAX_SUSPECTS: usize = 4_096;
const MAX_COMPLETED: usize = 1_024;
/// Messages that carry each update, so that one lost datagram does not lose it: a bad link
/// loses one in 30.
const SENDS_PER_UPDATE: u8 = 3;
const MAX_PENDING_UPDATES: usize = 512;
/// Older updates are dropped: the loss of a zone causes more than can be sent.
const MAX_UPDATE_AGE_MS: u64 = 3_000;

/// An update about a request, sent between hosts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum PoisonUpdate {
    /// An endpoint crashed while the request ran on it.
    EndedUnder {
        /// The request.
        request: RequestFingerprint,
        /// Hash of the endpoint's start time, so that reports of one crash count once.
        start: u32,
        /// Whether it had run for [`LONG_RUN_MS`].
        ran_long: bool,
    },
    /// A run of the request completed.
    RanWell(RequestFingerprint),
}

/// A poison request, as hosts exchange it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoisonRequest {
    /// The request.
    pub request: RequestFingerprint,
    /// How much longer it is rejected, in milliseconds.
    pub left_ms: u32,
}

/// A change of a host's view of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PoisonVerdict {
    /// The request is rejected from now on.
    Poison {
        /// The request.
        request: RequestFingerprint,
        /// Whether this host writes the record: it saw one of the crashes itself.
        records: bool,
    },
    /// A run completed, and the request is no longer rejected.
    Cleared {
        /// The request.
        request: RequestFingerprint,
        /// Whether this host removes the record: it saw the completed run.
        records: bool,
    },
}

#[derive(Clone, Debug)]
struct Suspect {
    /// Starts of endpoints that crashed under the request, and whether it had run long.
    starts: Vec<(u32, bool)>,
    is_poison: bool,
    /// Whether this host saw one of the crashes itself.
    is_local: bool,
    until_ms: u64,
    /// Since when the verdict waits for that on a part which may explain the crashes.
    deferred_at_ms: Option<u64>,
    /// Until when other hosts' verdicts are ignored: they may not know yet that a poison part
    /// explains the crashes.
    ignores_verdicts_until_ms: u64,
}

impl Suspect {
    /// Whether a crash is already counted, after a run that was as short.
    fn includes(&self, start: u32, ran_long: bool) -> bool {
        let is_known =
            |(known, known_long): &(u32, bool)| *known == start && (ran_long || !known_long);
        self.starts.iter().any(is_known)
    }

    fn weight(&self) -> usize {
        let weight = |(_, ran_long): &(u32, bool)| {
            if *ran_long {
                LONG_RUN_WEIGHT
            } else {
                SHORT_RUN_WEIGHT
            }
        };
        self.starts.iter().map(weight).sum()
    }

    /// Counts each crash once; of two runs on the endpoint, the shorter one counts.
    fn count_crash(&mut self, start: u32, ran_long: bool) {
        if let Some((_, known_long)) = self.starts.iter_mut().find(|(known, _)| *known == start) {
            *known_long &= ran_long;
        } else if self.weight() < POISON_WEIGHT {
            self.starts.push((start, ran_long));
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct Crash {
    request: RequestFingerprint,
    start: u32,
    ran_long: bool,
}

impl Crash {
    fn update(self) -> PoisonUpdate {
        PoisonUpdate::EndedUnder {
            request: self.request,
            start: self.start,
            ran_long: self.ran_long,
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct Pending {
    update: PoisonUpdate,
    sends_left: u8,
    queued_at_ms: u64,
}

/// Crashes and completed runs of requests, as one host knows them.
///
/// # Example
///
/// ```
/// use chalkrock_routing::{PoisonEvidence, RequestFingerprint};
///
/// let request = RequestFingerprint(7);
/// let mut evidence = PoisonEvidence::default();
/// for start in [1, 2, 2] {
///     evidence.record_crash(request, start, 40, 0);
/// }
/// assert!(!evidence.is_poison(request, 10));
/// evidence.record_crash(request, 3, 40, 20);
/// assert!(evidence.is_poison(request, 30));
/// ```
#[derive(Clone, Debug, Default)]
pub struct PoisonEvidence {
    suspects: HashMap<RequestFingerprint, Suspect>,
    completed: HashSet<RequestFingerprint>,
    /// Oldest first, for eviction.
    completion_order: VecDeque<RequestFingerprint>,
    pending: VecDeque<Pending>,
    parts: PartEvidence,
}

impl PoisonEvidence {
    /// Records a crash under a request that this host sent and that had been answering
    /// for `ran_ms`.
    pub fn record_crash(
        &mut self,
        request: RequestFingerprint,
        start: u32,
        ran_ms: u64,
        now_ms: u64,
    ) -> Option<PoisonVerdict> {
        if self.completed.contains(&request) {
            return None;
        }
        let crash = Crash {
            request,
            start,
            ran_long: ran_ms >= LONG_RUN_MS,
        };
        let verdict = self.count_crash(crash, true, now_ms);
        self.queue_update(crash.update(), now_ms);
        verdict
    }

    /// Records a completed run of a request.
    pub fn record_completion(
        &mut self,
        request: RequestFingerprint,
        now_ms: u64,
    ) -> Option<PoisonVerdict> {
        self.remember_completed(request);
        let suspect = self.suspects.remove(&request)?;
        self.queue_update(PoisonUpdate::RanWell(request), now_ms);
        let records = true;
        suspect
            .is_poison
            .then_some(PoisonVerdict::Cleared { request, records })
    }

    /// Merges updates of another host, queues new ones for sending if `forwards`, and
    /// returns the changed verdicts.
    pub fn merge(
        &mut self,
        updates: &[PoisonUpdate],
        forwards: bool,
        now_ms: u64,
    ) -> Vec<PoisonVerdict> {
        let mut verdicts = Vec::new();
        for &update in updates {
            let is_new = match update {
                PoisonUpdate::EndedUnder {
                    request,
                    start,
                    ran_long,
                } => {
                    let crash = Crash {
                        request,
                        start,
                        ran_long,
                    };
                    let is_new = self.is_new(crash);
                    verdicts.extend(self.count_crash(crash, false, now_ms));
                    is_new
                }
                PoisonUpdate::RanWell(request) => {
                    let is_new = !self.completed.contains(&request);
                    self.remember_completed(request);
                    let suspect = self.suspects.remove(&request);
                    let was_poison = suspect.is_some_and(|suspect| suspect.is_poison);
                    let records = false;
                    verdicts
                        .extend(was_poison.then_some(PoisonVerdict::Cleared { request, records }));
                    is_new
                }
            };
            if is_new && forwards {
                self.queue_update(update, now_ms);
            }
        }
        verdicts
    }

    /// Merges the poison requests of another host. Returns those that are new here.
    pub fn merge_poison(
        &mut self,
        poison_requests: &[PoisonRequest],
        now_ms: u64,
    ) -> Vec<PoisonVerdict> {
        let mut verdicts = Vec::new();
        for poison in poison_requests {
            let request = poison.request;
            if self.contradicts_part(request, now_ms) {
                continue;
            }
            if self.completed.contains(&request) {
                // The sender has not received the completion.
                self.queue_update(PoisonUpdate::RanWell(request), now_ms);
                continue;
            }
            if self.defers_verdict(request, now_ms) {
                continue;
            }
            let until_ms = now_ms + u64::from(poison.left_ms);
            let suspect = self.suspect(request, now_ms);
            if now_ms < suspect.ignores_verdicts_until_ms {
                continue;
            }
            let is_new = !suspect.is_poison;
            suspect.is_poison = true;
            suspect.until_ms = suspect.until_ms.max(until_ms);
            let records = false;
            verdicts.extend(is_new.then_some(PoisonVerdict::Poison { request, records }));
        }
        verdicts
    }

    /// Whether a request is rejected.
    pub fn is_poison(&self, request: RequestFingerprint, now_ms: u64) -> bool {
        self.remaining_ms(request, now_ms).is_some()
    }

    /// How much longer a request is rejected, in milliseconds.
    pub fn remaining_ms(&self, request: RequestFingerprint, now_ms: u64) -> Option<u64> {
        let suspect = self.suspects.get(&request)?;
        let left_ms = suspect.until_ms.saturating_sub(now_ms);
        (suspect.is_poison && left_ms > 0).then_some(left_ms)
    }

    /// Known crashes under a request, or under requests with a part.
    pub fn crashes(&self, request: RequestFingerprint) -> usize {
        if let Some(part) = request.part() {
            return self.parts.crashes(part);
        }
        let suspect = self.suspects.get(&request);
        suspect.map_or(0, |suspect| suspect.starts.len())
    }

    /// Restarts the rejection period of a request that arrived again.
    pub fn record_repeat(&mut self, request: RequestFingerprint, now_ms: u64) {
        if let Some(suspect) = self.suspects.get_mut(&request) {
            suspect.until_ms = now_ms + POISON_RETENTION_MS;
        }
    }

    /// Up to `limit` poison requests, those with the most time left first.
    pub fn poison_requests(&self, limit: usize, now_ms: u64) -> Vec<PoisonRequest> {
        let poison_requests = self.suspects.keys().filter_map(|request| {
            let left_ms = self.remaining_ms(*request, now_ms)?;
            Some(PoisonRequest {
                request: *request,
                left_ms: u32::try_from(left_ms).unwrap_or(u32::MAX),
            })
        });
        let mut poison_requests: Vec<PoisonRequest> = poison_requests.collect();
        poison_requests.sort_by_key(|poison| std::cmp::Reverse(poison.left_ms));
        poison_requests.truncate(limit);
        poison_requests
    }

    /// Takes up to `limit` updates to send to other hosts. Each is returned several
    /// times.
    pub fn take_updates(&mut self, limit: usize, now_ms: u64) -> Vec<PoisonUpdate> {
        let is_fresh =
            |pending: &Pending| now_ms.saturating_sub(pending.queued_at_ms) <= MAX_UPDATE_AGE_MS;
        self.pending.retain(is_fresh);
        let mut updates = Vec::new();
        for _ in 0..limit.min(self.pending.len()) {
            let Some(mut pending) = self.pending.pop_front() else {
                break;
            };
            updates.push(pending.update);
            pending.sends_left -= 1;
            if pending.sends_left > 0 {
                self.pending.push_back(pending);
            }
        }
        updates
    }

    /// Drops expired requests.
    pub fn expire(&mut self, now_ms: u64) {
        self.suspects.retain(|_, suspect| suspect.until_ms > now_ms);
    }

    fn is_new(&self, crash: Crash) -> bool {
        let is_known =
            |suspect: &Suspect| suspect.is_poison || suspect.includes(crash.start, crash.ran_long);
        let request = crash.request;
        !self.completed.contains(&request) && !self.suspects.get(&request).is_some_and(is_known)
    }

    fn count_crash(&mut self, crash: Crash, is_local: bool, now_ms: u64) -> Option<PoisonVerdict> {
        let request = crash.request;
        if self.completed.contains(&request) {
            self.queue_update(PoisonUpdate::RanWell(request), now_ms);
            return None;
        }
        if self.parts.is_explained(crash.start) {
            return None;
        }
        let suspect = self.suspect(request, now_ms);
        suspect.is_local |= is_local;
        suspect.until_ms = now_ms + POISON_RETENTION_MS;
        suspect.count_crash(crash.start, crash.ran_long);
        self.judge(request, now_ms)
    }

    /// Declares a request poison if enough crashes accuse it and no part that was there may
    /// explain them.
    fn judge(&mut self, request: RequestFingerprint, now_ms: u64) -> Option<PoisonVerdict> {
        let suspect = self.suspects.get(&request)?;
        if suspect.is_poison || suspect.weight() < POISON_WEIGHT {
            return None;
        }
        if self.defers_verdict(request, now_ms) {
            return None;
        }
        let suspect = self.suspects.get_mut(&request)?;
        suspect.is_poison = true;
        let records = suspect.is_local;
        Some(PoisonVerdict::Poison { request, records })
    }

    /// The entry of a request; evicts others if the table is full.
    fn suspect(&mut self, request: RequestFingerprint, now_ms: u64) -> &mut Suspect {
        if self.suspects.len() >= MAX_SUSPECTS && !self.suspects.contains_key(&request) {
            self.evict_weakest();
        }
        self.suspects.entry(request).or_insert_with(|| Suspect {
            starts: Vec::new(),
            is_poison: false,
            is_local: false,
            until_ms: now_ms,
            deferred_at_ms: None,
            ignores_verdicts_until_ms: 0,
        })
    }

    /// Evicts an eighth of the requests: lowest weight first, then oldest.
    fn evict_weakest(&mut self) {
        let suspects = self.suspects.iter();
        let mut ranks: Vec<_> = suspects
            .map(|(request, suspect)| {
                let weight = suspect.weight();
                (suspect.is_poison, weight, suspect.until_ms, *request)
            })
            .collect();
        ranks.sort_unstable();
        for (.., request) in ranks.into_iter().take(MAX_SUSPECTS / 8) {
            self.suspects.remove(&request);
        }
    }

    fn remember_completed(&mut self, request: RequestFingerprint) {
        if !self.completed.insert(request) {
            return;
        }
        self.completion_order.push_back(request);
        if self.completion_order.len() > MAX_COMPLETED
            && let Some(oldest) = self.completion_order.pop_front()
        {
            self.completed.remove(&oldest);
        }
    }

    fn queue_update(&mut self, update: PoisonUpdate, now_ms: u64) {
        let is_queued = self.pending.iter().any(|pending| pending.update == update);
        if is_queued || self.pending.len() >= MAX_PENDING_UPDATES {
            return;
        }
        self.pending.push_back(Pending {
            update,
            sends_left: SENDS_PER_UPDATE,
            queued_at_ms: now_ms,
        });
    }
}
