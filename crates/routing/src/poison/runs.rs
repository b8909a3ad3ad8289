//! Answers that began recently on this host, with the shared parts of their prompts.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::poison::PartUse;

/// Time after the end of an answer in which a crash of its endpoint is attributed to it, too:
/// hosts take as long to confirm a crash.
const SETTLE_MS: u64 = 500;
/// Recent answers; more are not observed.
const MAX_RUNS: usize = 4_096;

/// Identifies an answer among the recent ones of this host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RunId(u64);

/// Recent answers of this host at an endpoint that crashed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CrashedAnswers {
    /// All of them.
    pub all: usize,
    /// Those that were complete.
    pub complete: usize,
}

#[derive(Clone, Debug)]
struct Run {
    /// Hash of the endpoint's start.
    start: u32,
    request: u32,
    parts: Arc<[u32]>,
    end: Option<RunEnd>,
}

#[derive(Clone, Copy, Debug)]
struct RunEnd {
    is_complete: bool,
    at_ms: u64,
}

#[derive(Clone, Debug, Default)]
pub(super) struct RecentRuns {
    runs: BTreeMap<RunId, Run>,
    next_id: u64,
}

impl RecentRuns {
    pub(super) fn begin(&mut self, start: u32, request: u32, parts: Arc<[u32]>) -> Option<RunId> {
        if self.runs.len() >= MAX_RUNS {
            return None;
        }
        let id = RunId(self.next_id);
        self.next_id += 1;
        let run = Run {
            start,
            request,
            parts,
            end: None,
        };
        self.runs.insert(id, run);
        Some(id)
    }

    /// Removes an answer that went on. Returns its parts.
    pub(super) fn remove(&mut self, id: RunId) -> Option<Arc<[u32]>> {
        self.runs.remove(&id).map(|run| run.parts)
    }

    pub(super) fn end(&mut self, id: RunId, is_complete: bool, now_ms: u64) {
        if let Some(run) = self.runs.get_mut(&id) {
            run.end = Some(RunEnd {
                is_complete,
                at_ms: now_ms,
            });
        }
    }

    /// Removes the answers of a crashed endpoint. Returns how many these were and the parts that
    /// were in use, those of the latest answer first.
    pub(super) fn take_crashed(&mut self, start: u32) -> (CrashedAnswers, Vec<PartUse>) {
        let mut answers = CrashedAnswers::default();
        let mut uses = Vec::new();
        self.runs.retain(|_, run| {
            if run.start != start {
                return true;
            }
            answers.all += 1;
            answers.complete += usize::from(run.end.is_some_and(|end| end.is_complete));
            let request = run.request;
            uses.extend(run.parts.iter().map(|&part| PartUse { part, request }));
            false
        });
        uses.reverse();
        (answers, uses)
    }

    /// Removes answers that ended and whose endpoint did not crash in time. Returns the parts
    /// of those that were complete.
    pub(super) fn settle(&mut self, now_ms: u64) -> Vec<Arc<[u32]>> {
        let mut survived = Vec::new();
        self.runs.retain(|_, run| {
            let end = run.end.filter(|end| now_ms >= end.at_ms + SETTLE_MS);
            if end.is_some_and(|end| end.is_complete) {
                survived.push(run.parts.clone());
            }
            end.is_none()
        });
        survived
    }

    pub(super) fn clear(&mut self) {
        self.runs.clear();
    }
}
