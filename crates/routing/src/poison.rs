//! Requests under which endpoints end, and when to send one no further.
//!
//! An endpoint that ends takes with it all that it runs, and one of these may be
//! the cause. Which one can't be seen at one end: it is the one that was there
//! again and again. So each host notes what it had running where an endpoint
//! ended, by what a request has in common with its repeats, and hosts tell each
//! other. A request under which [`MAX_CRASHES`] endpoints ended is sent no further,
//! by any host, for [`POISON_RETENTION_MS`].
//!
//! One that ends endpoints does so as it begins to run; one that had run for long when
//! its endpoint ended speaks half as much against its request.
//!
//! A run that ends well clears a request: one that ends what runs it never ends
//! well. That also keeps requests in work that come again and again with the same
//! content, as calls without a body do, and are there whenever an endpoint ends.

use std::collections::{HashMap, HashSet, VecDeque};

use serde::{Deserialize, Serialize};

use crate::fingerprint::RequestFingerprint;

/// Endpoints that may end under a request before it is sent no further. One more
/// would end a further endpoint with all that it runs; one fewer would refuse
/// whatever two lost endpoints had in common, as streams have that went on
/// elsewhere when the first was lost.
pub const MAX_CRASHES: usize = 3;
/// How long, in milliseconds, a request gives bytes of its answer before the end of its
/// endpoint speaks half as much against it. Endpoints ended 40 to 80 ms after such a
/// request began to run. With half the weight, and five such requests at once beside 64
/// others an endpoint, 114 of 10,000 others are refused in place of 336 (a trial,
/// tools/poison_ways.py); one that takes longer to end its endpoints ends six.
pub const LONG_RUN_MS: u64 = 500;
/// What an end under a request counts, by how long it had run, in halves.
const SHORT_RUN_WEIGHT: usize = 2;
const LONG_RUN_WEIGHT: usize = 1;
/// What has to speak against a request, in halves.
const POISON_WEIGHT: usize = MAX_CRASHES * SHORT_RUN_WEIGHT;
/// How long, in milliseconds, what was seen of a request counts, and a request is
/// sent no further. Callers' programs repeat a call for minutes at most; an engine
/// that is mended meanwhile is tried again after this.
pub const POISON_RETENTION_MS: u64 = 600_000;
/// Requests that are remembered for having been there as an endpoint ended. An
/// endpoint runs up to 128 at once; of those beyond this, the ones that were there
/// least often are forgotten first.
const SUSPECTS_MAX: usize = 4_096;
/// Requests that are remembered for having run well.
const RAN_WELL_MAX: usize = 1_024;
/// Rounds of messages in which news is sent: one in 30 may be lost on a bad link.
const TIMES_SENT: u8 = 3;
/// News that waits to be sent.
const PENDING_MAX: usize = 512;
/// How long, in milliseconds, news waits to be sent. Where a zone is lost there is
/// more of it than can be sent, and it would speak of no one request.
const NEWS_MAX_AGE_MS: u64 = 3_000;

/// What one host tells another of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum PoisonUpdate {
    /// An endpoint ended that had it running.
    EndedUnder {
        /// The request.
        request: RequestFingerprint,
        /// A hash of the endpoint's start, so that what two hosts saw of one end
        /// counts once.
        start: u32,
        /// Whether it had run for [`LONG_RUN_MS`].
        ran_long: bool,
    },
    /// It ran to a good end.
    RanWell(RequestFingerprint),
}

/// A request that is sent no further.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoisonRequest {
    /// The request.
    pub request: RequestFingerprint,
    /// For how much longer, in milliseconds.
    pub left_ms: u32,
}

/// What a host has come to believe of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PoisonVerdict {
    /// It is sent no further.
    Poison {
        /// The request.
        request: RequestFingerprint,
        /// Whether this host is one of those to record it: it counted the ends itself,
        /// and saw one of them.
        records: bool,
    },
    /// It ran well after all, and was sent no further until now.
    Cleared {
        /// The request.
        request: RequestFingerprint,
        /// Whether this host is the one to remove its record: it saw the run.
        records: bool,
    },
}

#[derive(Clone, Debug)]
struct Suspect {
    /// Starts of endpoints that ended under it, and whether it had run for long;
    /// only so many as it takes.
    starts: Vec<(u32, bool)>,
    is_poison: bool,
    /// Whether this host saw an endpoint end under it itself.
    is_own: bool,
    until_ms: u64,
}

impl Suspect {
    /// Whether an end is known, after as short a run.
    fn knows(&self, start: u32, ran_long: bool) -> bool {
        let is_known =
            |(known, known_long): &(u32, bool)| *known == start && (ran_long || !known_long);
        self.starts.iter().any(is_known)
    }

    /// What the ends under it count, in halves.
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

    /// Counts an end, once. Of two that were there the shorter run counts.
    fn count(&mut self, start: u32, ran_long: bool) {
        if let Some((_, known_long)) = self.starts.iter_mut().find(|(known, _)| *known == start) {
            *known_long &= ran_long;
        } else if self.weight() < POISON_WEIGHT {
            self.starts.push((start, ran_long));
        }
    }
}

/// An end of an endpoint under a request.
#[derive(Clone, Copy, Debug)]
struct End {
    request: RequestFingerprint,
    start: u32,
    ran_long: bool,
}

impl End {
    fn news(self) -> PoisonUpdate {
        PoisonUpdate::EndedUnder {
            request: self.request,
            start: self.start,
            ran_long: self.ran_long,
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct Pending {
    news: PoisonUpdate,
    times_left: u8,
    since_ms: u64,
}

/// What a host knows of requests under which endpoints ended.
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
    ran_well: HashSet<RequestFingerprint>,
    /// Those of `ran_well`, oldest first.
    ran_well_order: VecDeque<RequestFingerprint>,
    pending: VecDeque<Pending>,
}

impl PoisonEvidence {
    /// An endpoint ended that had a request running which this host sent, and had given
    /// bytes of its answer for so long.
    pub fn record_crash(
        &mut self,
        request: RequestFingerprint,
        start: u32,
        ran_ms: u64,
        now_ms: u64,
    ) -> Option<PoisonVerdict> {
        if self.ran_well.contains(&request) {
            return None;
        }
        let end = End {
            request,
            start,
            ran_long: ran_ms >= LONG_RUN_MS,
        };
        let verdict = self.count(end, true, now_ms);
        self.queue(end.news(), now_ms);
        verdict
    }

    /// A request ran to a good end.
    pub fn record_completion(
        &mut self,
        request: RequestFingerprint,
        now_ms: u64,
    ) -> Option<PoisonVerdict> {
        self.remember_ran_well(request);
        let suspect = self.suspects.remove(&request)?;
        self.queue(PoisonUpdate::RanWell(request), now_ms);
        let records = true;
        suspect
            .is_poison
            .then_some(PoisonVerdict::Cleared { request, records })
    }

    /// Takes what another host told, and passes on what is new if it is for this
    /// host to do so. Returns what follows from it.
    pub fn merge(
        &mut self,
        told: &[PoisonUpdate],
        passes_on: bool,
        now_ms: u64,
    ) -> Vec<PoisonVerdict> {
        let mut verdicts = Vec::new();
        for &news in told {
            let is_new = match news {
                PoisonUpdate::EndedUnder {
                    request,
                    start,
                    ran_long,
                } => {
                    let end = End {
                        request,
                        start,
                        ran_long,
                    };
                    let is_new = self.is_new(end);
                    verdicts.extend(self.count(end, false, now_ms));
                    is_new
                }
                PoisonUpdate::RanWell(request) => {
                    let is_new = !self.ran_well.contains(&request);
                    self.remember_ran_well(request);
                    let suspect = self.suspects.remove(&request);
                    let was_poison = suspect.is_some_and(|suspect| suspect.is_poison);
                    let records = false;
                    verdicts
                        .extend(was_poison.then_some(PoisonVerdict::Cleared { request, records }));
                    is_new
                }
            };
            if is_new && passes_on {
                self.queue(news, now_ms);
            }
        }
        verdicts
    }

    /// Takes the requests that another host sends no further. Returns those that
    /// are news to this one.
    pub fn merge_poison(&mut self, told: &[PoisonRequest], now_ms: u64) -> Vec<PoisonVerdict> {
        let mut verdicts = Vec::new();
        for poison in told {
            let request = poison.request;
            if self.ran_well.contains(&request) {
                // It has not heard yet.
                self.queue(PoisonUpdate::RanWell(request), now_ms);
                continue;
            }
            let until_ms = now_ms + u64::from(poison.left_ms);
            let suspect = self.suspect(request, now_ms);
            let is_new = !suspect.is_poison;
            suspect.is_poison = true;
            suspect.until_ms = suspect.until_ms.max(until_ms);
            let records = false;
            verdicts.extend(is_new.then_some(PoisonVerdict::Poison { request, records }));
        }
        verdicts
    }

    /// Whether a request is sent no further.
    pub fn is_poison(&self, request: RequestFingerprint, now_ms: u64) -> bool {
        self.remaining_ms(request, now_ms).is_some()
    }

    /// For how much longer a request is sent no further, in milliseconds.
    pub fn remaining_ms(&self, request: RequestFingerprint, now_ms: u64) -> Option<u64> {
        let suspect = self.suspects.get(&request)?;
        let left_ms = suspect.until_ms.saturating_sub(now_ms);
        (suspect.is_poison && left_ms > 0).then_some(left_ms)
    }

    /// Endpoints that are known to have ended under a request.
    pub fn crashes(&self, request: RequestFingerprint) -> usize {
        let suspect = self.suspects.get(&request);
        suspect.map_or(0, |suspect| suspect.starts.len())
    }

    /// A request came again that is sent no further: it stays so for the whole
    /// time from now on.
    pub fn record_repeat(&mut self, request: RequestFingerprint, now_ms: u64) {
        if let Some(suspect) = self.suspects.get_mut(&request) {
            suspect.until_ms = now_ms + POISON_RETENTION_MS;
        }
    }

    /// The requests that are sent no further, those with the most time left first.
    pub fn poison_requests(&self, most: usize, now_ms: u64) -> Vec<PoisonRequest> {
        let poison = self.suspects.keys().filter_map(|request| {
            let left_ms = self.remaining_ms(*request, now_ms)?;
            Some(PoisonRequest {
                request: *request,
                left_ms: u32::try_from(left_ms).unwrap_or(u32::MAX),
            })
        });
        let mut poison: Vec<PoisonRequest> = poison.collect();
        poison.sort_by_key(|poison| std::cmp::Reverse(poison.left_ms));
        poison.truncate(most);
        poison
    }

    /// What to tell the other hosts now, so much of it at most. Each piece of news
    /// is told a few times; what waited too long is not.
    pub fn take_updates(&mut self, most: usize, now_ms: u64) -> Vec<PoisonUpdate> {
        let is_fresh =
            |pending: &Pending| now_ms.saturating_sub(pending.since_ms) <= NEWS_MAX_AGE_MS;
        self.pending.retain(is_fresh);
        let mut told = Vec::new();
        for _ in 0..most.min(self.pending.len()) {
            let Some(mut pending) = self.pending.pop_front() else {
                break;
            };
            told.push(pending.news);
            pending.times_left -= 1;
            if pending.times_left > 0 {
                self.pending.push_back(pending);
            }
        }
        told
    }

    /// Forgets what counts no longer.
    pub fn expire(&mut self, now_ms: u64) {
        self.suspects.retain(|_, suspect| suspect.until_ms > now_ms);
    }

    fn is_new(&self, end: End) -> bool {
        let is_known =
            |suspect: &Suspect| suspect.is_poison || suspect.knows(end.start, end.ran_long);
        let request = end.request;
        !self.ran_well.contains(&request) && !self.suspects.get(&request).is_some_and(is_known)
    }

    fn count(&mut self, end: End, is_own: bool, now_ms: u64) -> Option<PoisonVerdict> {
        let request = end.request;
        if self.ran_well.contains(&request) {
            self.queue(PoisonUpdate::RanWell(request), now_ms);
            return None;
        }
        let suspect = self.suspect(request, now_ms);
        suspect.is_own |= is_own;
        suspect.until_ms = now_ms + POISON_RETENTION_MS;
        suspect.count(end.start, end.ran_long);
        if suspect.is_poison || suspect.weight() < POISON_WEIGHT {
            return None;
        }
        suspect.is_poison = true;
        let records = suspect.is_own;
        Some(PoisonVerdict::Poison { request, records })
    }

    /// What is believed of a request, from now on; makes room for it.
    fn suspect(&mut self, request: RequestFingerprint, now_ms: u64) -> &mut Suspect {
        if self.suspects.len() >= SUSPECTS_MAX && !self.suspects.contains_key(&request) {
            self.forget_least();
        }
        self.suspects.entry(request).or_insert_with(|| Suspect {
            starts: Vec::new(),
            is_poison: false,
            is_own: false,
            until_ms: now_ms,
        })
    }

    /// Forgets an eighth of the requests: those that were there least often, and of
    /// these the ones that were not seen for the longest.
    fn forget_least(&mut self) {
        let suspects = self.suspects.iter();
        let mut ranks: Vec<_> = suspects
            .map(|(request, suspect)| {
                let weight = suspect.weight();
                (suspect.is_poison, weight, suspect.until_ms, *request)
            })
            .collect();
        ranks.sort_unstable();
        for (.., request) in ranks.into_iter().take(SUSPECTS_MAX / 8) {
            self.suspects.remove(&request);
        }
    }

    fn remember_ran_well(&mut self, request: RequestFingerprint) {
        if !self.ran_well.insert(request) {
            return;
        }
        self.ran_well_order.push_back(request);
        if self.ran_well_order.len() > RAN_WELL_MAX
            && let Some(oldest) = self.ran_well_order.pop_front()
        {
            self.ran_well.remove(&oldest);
        }
    }

    fn queue(&mut self, news: PoisonUpdate, now_ms: u64) {
        let is_waiting = self.pending.iter().any(|pending| pending.news == news);
        if is_waiting || self.pending.len() >= PENDING_MAX {
            return;
        }
        self.pending.push_back(Pending {
            news,
            times_left: TIMES_SENT,
            since_ms: now_ms,
        });
    }
}
