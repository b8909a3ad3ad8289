//! Verdicts on parts of prompts.

use std::collections::HashMap;
use std::sync::Arc;

use crate::fingerprint::RequestFingerprint;
use crate::poison::parts::PartUpdate;
use crate::poison::runs::{CrashedAnswers, RunId};
use crate::poison::{POISON_RETENTION_MS, POISON_WEIGHT, PoisonEvidence, PoisonVerdict, Suspect};

/// Time in which all hosts learn of a poison part.
const PROPAGATION_MS: u64 = 5_000;

impl PoisonEvidence {
    /// Records that an endpoint begins to answer a request of this host. Returns `None` if
    /// too many answers are observed already.
    pub fn begin_run(
        &mut self,
        start: u32,
        request: RequestFingerprint,
        parts: Arc<[u32]>,
    ) -> Option<RunId> {
        self.parts.begin_run(start, request.short(), parts)
    }

    /// Records that an answer went on for [`SURVIVAL_MS`](crate::SURVIVAL_MS) after its
    /// first bytes.
    pub fn record_survival(&mut self, id: RunId, now_ms: u64) -> Vec<PoisonVerdict> {
        let survived = self.parts.record_survival(id, now_ms);
        self.clear_parts(&survived, true, now_ms)
    }

    /// Records that an answer ended before that. A complete one counts once its endpoint has
    /// not crashed for a while.
    pub fn end_run(&mut self, id: RunId, is_complete: bool, now_ms: u64) {
        self.parts.end_run(id, is_complete, now_ms);
    }

    /// Drops answers that this host observes, after a suspension.
    pub fn forget_runs(&mut self) {
        self.parts.forget_runs();
    }

    /// Records a crash that this host confirmed. Returns its answers that had begun there
    /// shortly before.
    pub fn record_endpoint_crash(&mut self, start: u32, now_ms: u64) -> CrashedAnswers {
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
        verdicts
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
