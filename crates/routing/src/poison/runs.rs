//! Requests that this host sent recently to endpoints, with the shared parts of their prompts.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::poison::parts::{PartUse, SURVIVAL_MS};
use crate::poison::survivals::Survival;

/// Time after the end of a request in which a crash of its endpoint is attributed to it, too.
const SETTLE_MS: u64 = 500;
/// How long the end of a request is remembered while nothing shows whether its endpoint lives.
const UNPROVEN_RETENTION_MS: u64 = 15_000;
/// Recent requests. Of more, those that ended first are dropped.
const MAX_RUNS: usize = 4_096;

/// Identifies a request among the recent ones of this host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RunId(u64);

/// How far a request had come at an endpoint that crashed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RunStage {
    /// The head of its answer had not arrived.
    Unanswered,
    /// Its answer had gone on for this long, in milliseconds.
    Answered {
        /// Time between its first and last bytes.
        age_ms: u32,
    },
    /// The same, and it had ended some time before the crash was noticed.
    Past {
        /// Time between its first and last bytes.
        age_ms: u32,
    },
}

impl RunStage {
    /// For how long its answer had gone on, in milliseconds.
    pub(super) fn age_ms(self) -> u32 {
        match self {
            Self::Unanswered => 0,
            Self::Answered { age_ms } | Self::Past { age_ms } => age_ms,
        }
    }

    /// Whether its answer had begun shortly before.
    pub(super) fn is_recent(self) -> bool {
        matches!(self, Self::Answered { age_ms } if u64::from(age_ms) < SURVIVAL_MS)
    }
}

/// Recent requests of this host at an endpoint that crashed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CrashedRuns {
    /// The head of whose answer had not arrived.
    pub unanswered: usize,
    /// Whose answer had begun shortly before.
    pub recent: usize,
    /// Whose answer had gone on for longer.
    pub lasting: usize,
    /// That had ended some time before the crash was noticed.
    pub past: usize,
}

impl CrashedRuns {
    /// All of them.
    pub fn total(&self) -> usize {
        self.unanswered + self.recent + self.lasting + self.past
    }

    fn count(&mut self, stage: RunStage) {
        let counted = match stage {
            RunStage::Unanswered => &mut self.unanswered,
            RunStage::Answered { .. } if stage.is_recent() => &mut self.recent,
            RunStage::Answered { .. } => &mut self.lasting,
            RunStage::Past { .. } => &mut self.past,
        };
        *counted += 1;
    }
}

#[derive(Clone, Debug)]
struct Run {
    /// Hash of the endpoint's start.
    start: u32,
    request: u32,
    parts: Arc<[u32]>,
    has_head: bool,
    /// Time between the first and the last bytes of the answer's body.
    age_ms: u64,
    /// The longest time for which it was found to go on.
    survival: Option<Survival>,
    /// Whether a crash of its endpoint was recorded.
    has_crashed: bool,
    end: Option<RunEnd>,
}

#[derive(Clone, Copy, Debug)]
struct RunEnd {
    is_complete: bool,
    at_ms: u64,
    /// When the endpoint was last known to live by a connection of that time.
    alive_at_ms: u64,
}

impl Run {
    fn stage(&self, now_ms: u64) -> RunStage {
        let age_ms = u32::try_from(self.age_ms).unwrap_or(u32::MAX);
        let is_past = { self.end }.is_some_and(|end| now_ms > end.at_ms + SETTLE_MS);
        match (self.has_head, is_past) {
            (false, _) => RunStage::Unanswered,
            (true, false) => RunStage::Answered { age_ms },
            (true, true) => RunStage::Past { age_ms },
        }
    }
}

/// Recent requests of this host by their endpoints.
#[derive(Clone, Debug, Default)]
pub(super) struct RecentRuns {
    runs: BTreeMap<RunId, Run>,
    next_id: u64,
    /// When endpoints with recent requests were last known to live, by their start.
    alive_at_ms: HashMap<u32, u64>,
}

impl RecentRuns {
    /// Records that a request is sent. Returns `None` if too many are in progress.
    pub(super) fn begin(&mut self, start: u32, request: u32, parts: Arc<[u32]>) -> Option<RunId> {
        if self.runs.len() >= MAX_RUNS {
            let mut ended = self.runs.iter().filter(|(_, run)| run.end.is_some());
            let oldest = *ended.next()?.0;
            self.runs.remove(&oldest);
        }
        let id = RunId(self.next_id);
        self.next_id += 1;
        let run = Run {
            start,
            request,
            parts,
            has_head: false,
            age_ms: 0,
            survival: None,
            has_crashed: false,
            end: None,
        };
        self.runs.insert(id, run);
        Some(id)
    }

    /// Records that the head of the answer arrived.
    pub(super) fn record_head(&mut self, id: RunId) {
        if let Some(run) = self.runs.get_mut(&id) {
            run.has_head = true;
        }
    }

    /// Records for how long the answer has gone on since its first bytes. Returns its parts if it
    /// has reached a longer survival than before.
    pub(super) fn record_age(&mut self, id: RunId, age_ms: u64) -> Option<(Arc<[u32]>, Survival)> {
        let run = self.runs.get_mut(&id)?;
        run.age_ms = age_ms.max(run.age_ms);
        let survival = Survival::reached(run.age_ms)?;
        let is_new = !run.has_crashed && { run.survival }.is_none_or(|known| known < survival);
        run.survival = run.survival.max(Some(survival));
        is_new.then(|| (run.parts.clone(), survival))
    }

    pub(super) fn end(&mut self, id: RunId, is_complete: bool, now_ms: u64) {
        if let Some(run) = self.runs.get_mut(&id) {
            run.end = Some(RunEnd {
                is_complete,
                at_ms: now_ms,
                alive_at_ms: now_ms,
            });
        }
    }

    /// Drops a request that the endpoint did not run.
    pub(super) fn withdraw(&mut self, id: RunId) {
        self.runs.remove(&id);
    }

    /// Records that an endpoint was alive at a time.
    pub(super) fn record_alive(&mut self, start: u32, at_ms: u64) {
        let alive_at_ms = self.alive_at_ms.entry(start).or_default();
        *alive_at_ms = at_ms.max(*alive_at_ms);
    }

    /// Records that one process served an endpoint's address from a time until now. It is the one
    /// at which requests ended meanwhile.
    pub(super) fn record_alive_since(&mut self, start: u32, since_ms: u64, now_ms: u64) {
        for run in self.runs.values_mut().filter(|run| run.start == start) {
            if let Some(end) = &mut run.end
                && end.at_ms >= since_ms
            {
                end.alive_at_ms = now_ms;
            }
        }
    }

    /// Whether there are recent requests at an endpoint whose crash was not recorded.
    pub(super) fn has_any(&self, start: u32) -> bool {
        let mut runs = self.runs.values();
        runs.any(|run| run.start == start && !run.has_crashed)
    }

    /// Whether requests are in progress at an endpoint.
    pub(super) fn has_open(&self, start: u32) -> bool {
        let mut runs = self.runs.values();
        runs.any(|run| run.start == start && run.end.is_none())
    }

    /// When an endpoint was last known to live.
    pub(super) fn alive_at_ms(&self, start: u32) -> Option<u64> {
        self.alive_at_ms.get(&start).copied()
    }

    /// Endpoints with recent requests whose crash was not recorded.
    pub(super) fn endpoints(&self) -> HashSet<u32> {
        let runs = self.runs.values().filter(|run| !run.has_crashed);
        runs.map(|run| run.start).collect()
    }

    /// Endpoints at which requests ended, with nothing to show that they lived on.
    pub(super) fn unproven(&self, now_ms: u64) -> HashSet<u32> {
        let runs = self.runs.values();
        let unproven = runs.filter(|run| {
            { run.end }.is_some_and(|end| now_ms >= end.at_ms + SETTLE_MS) && !run.has_crashed
        });
        unproven.map(|run| run.start).collect()
    }

    /// Records the crash of an endpoint. Returns how many requests were there and the parts that
    /// were in use, those of the latest request first. Each counts once.
    pub(super) fn take_crashed(&mut self, start: u32, now_ms: u64) -> (CrashedRuns, Vec<PartUse>) {
        let mut crashed = CrashedRuns::default();
        let mut uses = Vec::new();
        self.runs.retain(|_, run| {
            if run.start != start {
                return true;
            }
            if !std::mem::replace(&mut run.has_crashed, true) {
                let stage = run.stage(now_ms);
                crashed.count(stage);
                let request = run.request;
                uses.extend(run.parts.iter().map(|&part| PartUse {
                    part,
                    request,
                    stage,
                }));
            }
            run.end.is_none()
        });
        uses.reverse();
        (crashed, uses)
    }

    /// Removes requests that ended. Returns the parts of those that were complete and whose
    /// endpoint is known to have lived on, and when they ended.
    pub(super) fn settle(&mut self, now_ms: u64) -> Vec<(Arc<[u32]>, u64)> {
        let alive_at_ms = &self.alive_at_ms;
        let mut survived = Vec::new();
        self.runs.retain(|_, run| {
            let Some(end) = run.end else {
                return true;
            };
            let alive_at_ms = alive_at_ms.get(&run.start).copied().unwrap_or_default();
            if alive_at_ms.max(end.alive_at_ms) < end.at_ms + SETTLE_MS {
                return now_ms < end.at_ms + UNPROVEN_RETENTION_MS;
            }
            if end.is_complete && !run.has_crashed {
                survived.push((run.parts.clone(), end.at_ms));
            }
            false
        });
        let in_use: HashSet<u32> = self.runs.values().map(|run| run.start).collect();
        self.alive_at_ms.retain(|start, _| in_use.contains(start));
        survived
    }

    pub(super) fn clear(&mut self) {
        self.runs.clear();
        self.alive_at_ms.clear();
    }
}
