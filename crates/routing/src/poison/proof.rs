//! Which part of prompts accounts for crashes of endpoints.
//!
//! A part is proved to be poison in one of two ways. Both ask for crashes under different
//! requests that nothing else explains, over some time, and for more of them if answers on the
//! part went on lately, if it was not in use at other crashes, or if another part accounts for
//! the same ones.
//!
//! * Answers on it had begun shortly before each crash. Few requests at an endpoint have.
//! * It was in use at each crash, however far its requests had come. All requests that wait at
//!   an endpoint are, so that this takes more crashes, each of which the other hosts have had the
//!   time to report sound parts for.

use std::collections::{HashMap, HashSet};

use crate::poison::crashes::Crash;

/// Crashes under different requests after which a part is poison, if answers on it had begun
/// shortly before.
const MIN_CRASHES: usize = 3;
/// The same for a part on which an answer went on lately.
pub(super) const MIN_CRASHES_AFTER_SURVIVAL: usize = 8;
/// The same for a part that was in use at the crashes.
const MIN_CRASHES_BY_PRESENCE: usize = 6;
/// The same for a part that was in use and on which an answer went on lately.
const MIN_CRASHES_BY_PRESENCE_AFTER_SURVIVAL: usize = 10;
/// Time without an answer that went on from which crashes count. Many endpoints may crash at
/// once, and answers on a sound part go on at others within this time.
pub(super) const MIN_SILENCE_MS: u64 = 2_000;
/// Time from a crash in which the other hosts may report answers that went on.
pub(super) const MIN_EVIDENCE_AGE_MS: u64 = 500;
/// Other unexplained crashes that raise the needed crashes by one.
const OTHERS_PER_CRASH: usize = 4;
/// Further crashes that decide between parts that were always in use together.
const TIE_CRASHES: usize = 2;
/// Least time between the first and the last crash: endpoints that are lost together crash
/// within less.
const MIN_CRASH_SPAN_MS: u64 = 600;
/// Time by which one host may know of an answer that went on later than another.
const REPORT_DELAY_MS: u64 = 1_000;
/// Least number of different requests.
const MIN_REQUESTS: usize = 2;

/// Which requests accuse their parts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Basis {
    /// Those whose answer had begun shortly before.
    RecentAnswers,
    /// All.
    Presence,
}

impl Basis {
    fn min_crashes(self, has_survived: bool) -> usize {
        match (self, has_survived) {
            (Self::RecentAnswers, false) => MIN_CRASHES,
            (Self::RecentAnswers, true) => MIN_CRASHES_AFTER_SURVIVAL,
            (Self::Presence, false) => MIN_CRASHES_BY_PRESENCE,
            (Self::Presence, true) => MIN_CRASHES_BY_PRESENCE_AFTER_SURVIVAL,
        }
    }
}

/// Evidence against one part.
#[derive(Clone, Debug, Default)]
struct Case {
    /// By their index, in order.
    crashes: Vec<usize>,
    requests: HashSet<u32>,
}

impl Case {
    fn add(&mut self, crash: usize, request: u32) {
        if self.crashes.last() != Some(&crash) {
            self.crashes.push(crash);
        }
        self.requests.insert(request);
    }

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

/// The crashes that no known poison part explains, and what was in use at them.
pub(super) struct Proof<'a, S> {
    crashes: Vec<&'a Crash>,
    /// By requests whose answer had begun shortly before.
    recent: HashMap<u32, Case>,
    /// By all requests, at crashes for which the other hosts have had the time to report sound
    /// parts.
    reviewed: HashMap<u32, Case>,
    /// By all requests.
    present: HashMap<u32, Case>,
    survived_at_ms: S,
    now_ms: u64,
}

impl<'a, S: Fn(u32) -> Option<u64>> Proof<'a, S> {
    /// `survived_at_ms` says when an answer on a part last went on.
    pub(super) fn new(crashes: Vec<&'a Crash>, survived_at_ms: S, now_ms: u64) -> Self {
        let mut proof = Self {
            recent: HashMap::new(),
            reviewed: HashMap::new(),
            present: HashMap::new(),
            survived_at_ms,
            now_ms,
            crashes,
        };
        for (index, crash) in proof.crashes.iter().enumerate() {
            for used in &crash.uses {
                let survived_at_ms = (proof.survived_at_ms)(used.part);
                if survived_at_ms.is_some_and(|at_ms| at_ms >= crash.at_ms) {
                    continue;
                }
                let add = |cases: &mut HashMap<u32, Case>| {
                    let case = cases.entry(used.part).or_default();
                    case.add(index, used.request);
                };
                add(&mut proof.present);
                if now_ms >= crash.at_ms + MIN_EVIDENCE_AGE_MS {
                    add(&mut proof.reviewed);
                }
                if used.stage.is_recent() {
                    add(&mut proof.recent);
                }
            }
        }
        proof
    }

    /// The part that is proved by most.
    pub(super) fn find(&self) -> Option<u32> {
        self.find_by(Basis::RecentAnswers)
            .or_else(|| self.find_by(Basis::Presence))
    }

    fn find_by(&self, basis: Basis) -> Option<u32> {
        let cases = match basis {
            Basis::RecentAnswers => &self.recent,
            Basis::Presence => &self.reviewed,
        };
        let mut ranked: Vec<(&u32, &Case)> = cases.iter().collect();
        ranked.sort_unstable_by_key(|(part, case)| (std::cmp::Reverse(case.weight()), **part));
        let mut ranked = ranked.into_iter();
        let proved = ranked.find(|(part, case)| self.is_proved(**part, case, basis));
        proved.map(|(part, _)| *part)
    }

    fn is_proved(&self, part: u32, case: &Case, basis: Basis) -> bool {
        const WEIGHT_PER_CRASH: usize = 2;
        // A later crash shows that the endpoints were not lost together, also before it was
        // reviewed.
        let last = self.present.get(&part).and_then(|case| case.crashes.last());
        let (Some(&first), Some(&last)) = (case.crashes.first(), last) else {
            return false;
        };
        let (first_ms, last_ms) = (self.crashes[first].at_ms, self.crashes[last].at_ms);
        if last_ms < first_ms + MIN_CRASH_SPAN_MS || self.now_ms < first_ms + MIN_EVIDENCE_AGE_MS {
            return false;
        }
        let survived_at_ms = (self.survived_at_ms)(part);
        if survived_at_ms.is_some_and(|at_ms| self.now_ms < at_ms + MIN_SILENCE_MS) {
            return false;
        }
        let min_crashes = basis.min_crashes(survived_at_ms.is_some());
        let others = self.others(part, first);
        let needed = WEIGHT_PER_CRASH * min_crashes + WEIGHT_PER_CRASH * others / OTHERS_PER_CRASH;
        if case.requests.len() < MIN_REQUESTS || case.weight() < needed {
            return false;
        }
        // Answers on a sound part go on for longer than those on one that has turned bad.
        let rival_until_ms = survived_at_ms.map(|at_ms| at_ms + REPORT_DELAY_MS);
        let rivals = { self.present.iter() }.filter(|(other, _)| {
            **other != part && (self.survived_at_ms)(**other) <= rival_until_ms
        });
        let rivalries: Vec<Rivalry> = rivals
            .map(|(other, rival)| self.rivalry((part, case), (*other, rival)))
            .collect();
        if rivalries.contains(&Rivalry::Better) {
            return false;
        }
        let is_tied = rivalries.contains(&Rivalry::Tied);
        !is_tied || case.weight() >= needed + WEIGHT_PER_CRASH * TIE_CRASHES
    }

    /// Crashes from the first one on at which a part was not in use.
    fn others(&self, part: u32, first: usize) -> usize {
        let present = self.present.get(&part);
        let in_use = present.map_or(0, |case| {
            let from = case.crashes.partition_point(|crash| *crash < first);
            case.crashes.len() - from
        });
        self.crashes.len() - first - in_use
    }

    fn rivalry(&self, (part, case): (u32, &Case), (other, rival): (u32, &Case)) -> Rivalry {
        let shared = case.crashes.iter().copied();
        let shared = shared.filter(|index| rival.crashes.binary_search(index).is_ok());
        let shared: Vec<&Crash> = shared.map(|index| self.crashes[index]).collect();
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
}
