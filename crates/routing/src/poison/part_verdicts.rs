//! Verdicts on parts of prompts.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;

use crate::fingerprint::RequestFingerprint;
use crate::poison::parts::PartUpdate;
use crate::poison::runs::{CrashedRuns, RunId};
use crate::poison::{POISON_RETENTION_MS, POISON_WEIGHT, PoisonEvidence, PoisonVerdict, Suspect};

/// Longest time for which the verdict on a request waits for that on a part.
const MAX_DEFERRAL_MS: u64 = 3_000;
/// Time in which all hosts learn of a poison part.
const PROPAGATION_MS: u64 = 5_000;

impl PoisonEvidence {
    /// Records that this host sends a request to an endpoint. Returns `None` if too many are in
    /// progress.
    pub fn begin_run(
        &mut self,
        start: u32,
        request: RequestFingerprint,
        parts: Arc<[u32]>,
    ) -> Option<RunId> {
        self.parts.runs.begin(start, request.short(), parts)
    }

    /// Records that the head of an answer arrived.
    pub fn record_run_head(&mut self, id: RunId) {
        self.parts.runs.record_head(id);
    }

    /// Records for how long an answer has gone on since its first bytes.
    pub fn record_run_age(&mut self, id: RunId, age_ms: u64, now_ms: u64) -> Vec<PoisonVerdict> {
        let survived = self.parts.record_age(id, age_ms, now_ms);
        self.clear_parts(&survived, true, now_ms)
    }

    /// Records the end of a request. A complete answer clears its parts once its endpoint is
    /// known to have lived on.
    pub fn end_run(&mut self, id: RunId, is_complete: bool, now_ms: u64) {
        self.parts.runs.end(id, is_complete, now_ms);
    }

    /// Drops a request that its endpoint did not run.
    pub fn withdraw_run(&mut self, id: RunId) {
        self.parts.runs.withdraw(id);
    }

    /// Drops requests that this host observes, after a suspension.
    pub fn forget_runs(&mut self) {
        self.parts.runs.clear();
    }

    /// Records that an endpoint was alive at a time.
    pub fn record_alive(&mut self, start: u32, at_ms: u64) {
        self.parts.runs.record_alive(start, at_ms);
    }

    /// Records that one process served an endpoint's address from a time until now.
    pub fn record_alive_since(&mut self, start: u32, since_ms: u64, now_ms: u64) {
        self.parts.runs.record_alive_since(start, since_ms, now_ms);
    }

    /// Whether this host has had requests at an endpoint lately whose end a crash may explain.
    pub fn has_recent_runs(&self, start: u32) -> bool {
        self.parts.runs.has_any(start)
    }

    /// Whether this host has requests in progress at an endpoint.
    pub fn has_open_runs(&self, start: u32) -> bool {
        self.parts.runs.has_open(start)
    }

    /// When an endpoint with recent requests was last known to live.
    pub fn alive_at_ms(&self, start: u32) -> Option<u64> {
        self.parts.runs.alive_at_ms(start)
    }

    /// Endpoints at which this host has had requests lately.
    pub fn recent_endpoints(&self) -> HashSet<u32> {
        self.parts.runs.endpoints()
    }

    /// Endpoints at which requests ended, with nothing to show that they lived on.
    pub fn unproven_endpoints(&self, now_ms: u64) -> HashSet<u32> {
        self.parts.runs.unproven(now_ms)
    }

    /// Records a crash that this host confirmed. Returns its recent requests there.
    pub fn record_endpoint_crash(&mut self, start: u32, now_ms: u64) -> CrashedRuns {
        self.parts.record_crash(start, now_ms)
    }

    /// Merges observations of another host, queues new ones for sending if `forwards`, and
    /// returns the changed verdicts.
    pub fn merge_parts(
        &mut self,
        updates: &[PartUpdate],
        forwards: bool,
        now_ms: u64,
    ) -> Vec<PoisonVerdict> {
        let survived = self.parts.merge(updates, forwards, now_ms);
        self.clear_parts(&survived, false, now_ms)
    }

    /// Drops expired observations of parts and returns the verdicts that follow from the
    /// others.
    pub fn review_parts(&mut self, now_ms: u64) -> Vec<PoisonVerdict> {
        let survived = self.parts.settle(now_ms);
        let mut verdicts = self.clear_parts(&survived, true, now_ms);
        while let Some(part) = self.find_poison_part(now_ms) {
            let is_local = self.parts.is_local(part);
            let request = RequestFingerprint::of_part(part);
            let suspect = self.suspect(request, now_ms);
            suspect.is_poison = true;
            suspect.is_local = is_local;
            suspect.until_ms = now_ms + POISON_RETENTION_MS;
            let records = is_local;
            verdicts.push(PoisonVerdict::Poison { request, records });
        }
        verdicts.extend(self.discount_explained_crashes(now_ms));
        verdicts.extend(self.judge_deferred(now_ms));
        verdicts
    }

    /// Whether the verdict on a request waits: a part that it does not have was in use by others
    /// at all of its crashes, and may be found to explain them.
    pub(super) fn defers_verdict(&mut self, request: RequestFingerprint, now_ms: u64) -> bool {
        let Some(suspect) = self.suspects.get_mut(&request) else {
            return false;
        };
        let deferred_at_ms = suspect.deferred_at_ms.unwrap_or(now_ms);
        let starts = suspect.starts.iter().map(|(start, _)| *start);
        let starts: Vec<u32> = starts.collect();
        let is_deferred = now_ms < deferred_at_ms + MAX_DEFERRAL_MS
            && !suspect.is_poison
            && self.parts.may_explain(request.short(), &starts, now_ms);
        if is_deferred {
            suspect.deferred_at_ms = Some(deferred_at_ms);
        }
        is_deferred
    }

    /// Judges requests whose verdict waits no more.
    fn judge_deferred(&mut self, now_ms: u64) -> Vec<PoisonVerdict> {
        let deferred = self.suspects.iter();
        let deferred = deferred.filter(|(_, suspect)| suspect.deferred_at_ms.is_some());
        let deferred: Vec<RequestFingerprint> = deferred.map(|(request, _)| *request).collect();
        let verdicts = deferred.into_iter();
        verdicts
            .filter_map(|request| self.judge(request, now_ms))
            .collect()
    }

    /// Takes updates about parts to send to other hosts, in up to `max_datagrams` of up to
    /// `max_bytes`. Each is returned by several calls, so that a lost round does not lose it.
    pub fn take_part_updates(
        &mut self,
        max_datagrams: usize,
        max_bytes: usize,
        now_ms: u64,
    ) -> Vec<Vec<PartUpdate>> {
        self.parts.take_updates(max_datagrams, max_bytes, now_ms)
    }

    /// Whether a verdict on a part is outdated: answers on it go on. The other hosts are
    /// informed.
    pub(super) fn contradicts_part(&mut self, request: RequestFingerprint, now_ms: u64) -> bool {
        let part = { request.part() }.filter(|part| self.parts.is_cleared(*part, now_ms));
        if let Some(part) = part {
            self.parts.report_survival(part, now_ms);
        }
        part.is_some()
    }

    fn find_poison_part(&self, now_ms: u64) -> Option<u32> {
        let is_poison = |part| is_poison_part(&self.suspects, part);
        self.parts.find_poison(is_poison, now_ms)
    }

    /// Clears parts on which answers went on. This host removes the record if they were its own
    /// answers.
    fn clear_parts(&mut self, parts: &[u32], records: bool, now_ms: u64) -> Vec<PoisonVerdict> {
        let mut verdicts = Vec::new();
        for &part in parts {
            let request = RequestFingerprint::of_part(part);
            if !is_poison_part(&self.suspects, part) || !self.parts.is_cleared(part, now_ms) {
                continue;
            }
            self.suspects.remove(&request);
            verdicts.push(PoisonVerdict::Cleared { request, records });
        }
        verdicts
    }

    /// Takes back the crashes that poison parts explain from the requests that were there.
    fn discount_explained_crashes(&mut self, now_ms: u64) -> Vec<PoisonVerdict> {
        let suspects = &self.suspects;
        let explained = self
            .parts
            .explain(|part| is_poison_part(suspects, part), now_ms);
        if explained.is_empty() {
            return Vec::new();
        }
        let mut verdicts = Vec::new();
        for (&request, suspect) in &mut self.suspects {
            if suspect.discount(&explained) && request.part().is_none() {
                suspect.is_poison = false;
                suspect.ignores_verdicts_until_ms = now_ms + PROPAGATION_MS;
                let records = suspect.is_local;
                verdicts.push(PoisonVerdict::Cleared { request, records });
            }
        }
        verdicts
    }
}

impl Suspect {
    /// Removes crashes. Returns whether the request was poison by them.
    fn discount(&mut self, starts: &[u32]) -> bool {
        let before = self.starts.len();
        self.starts.retain(|(start, _)| !starts.contains(start));
        self.is_poison && self.starts.len() < before && self.weight() < POISON_WEIGHT
    }
}

fn is_poison_part(suspects: &HashMap<RequestFingerprint, Suspect>, part: u32) -> bool {
    let suspect = suspects.get(&RequestFingerprint::of_part(part));
    suspect.is_some_and(|suspect| suspect.is_poison)
}
