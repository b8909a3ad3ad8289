//! Observes requests by the parts of their prompts, for the detection of poison parts.

use std::sync::Arc;

use chalkrock_core::Endpoint;
use chalkrock_routing::{MAX_OBSERVED_PARTS, PartUpdate, PoisonVerdict, RunId, SURVIVAL_MS};

use crate::call::Call;
use crate::event_log::{CrashNotice, Event};
use crate::framing::BodyFraming;
use crate::poison::CrashCheck;
use crate::shared::Shared;

/// A request that was sent to an endpoint. Dropping it leaves open what it did there.
pub(crate) struct RunObservation {
    shared: Arc<Shared>,
    /// `None` once the request ended.
    id: Option<RunId>,
    first_bytes_at_ms: Option<u64>,
    last_bytes_at_ms: u64,
    /// When the answer has gone on for long enough to be recorded again.
    next_record_at_ms: u64,
}

impl RunObservation {
    /// Begins to observe a request; `None` if its prompt has no shared parts.
    pub(crate) fn begin(shared: &Arc<Shared>, call: &Call, start: u32) -> Option<Self> {
        let parts = call.blamable_parts();
        if parts.is_empty() {
            return None;
        }
        let parts: Arc<[u32]> = parts.iter().take(MAX_OBSERVED_PARTS).copied().collect();
        let mut fleet = shared.fleet();
        let run = fleet.poison.begin_run(start, call.fingerprint, parts)?;
        drop(fleet);
        Some(Self {
            shared: shared.clone(),
            id: Some(run),
            first_bytes_at_ms: None,
            last_bytes_at_ms: 0,
            next_record_at_ms: 0,
        })
    }

    /// Records that the head of the answer arrived.
    pub(crate) fn record_head(&self) {
        if let Some(id) = self.id {
            self.shared.fleet().poison.record_run_head(id);
        }
    }

    /// Records that bytes of the answer arrived.
    pub(crate) fn record_bytes(&mut self) {
        let now_ms = self.shared.clock.now_ms();
        self.last_bytes_at_ms = now_ms;
        if self.first_bytes_at_ms.is_none() {
            self.first_bytes_at_ms = Some(now_ms);
            self.next_record_at_ms = now_ms + SURVIVAL_MS;
        }
        if now_ms < self.next_record_at_ms {
            return;
        }
        self.record_age();
        self.next_record_at_ms = now_ms + self.age_ms();
    }

    /// Records that the answer is complete.
    pub(crate) fn complete(mut self) {
        self.end(true);
    }

    /// Records that the endpoint did not run the request.
    pub(crate) fn withdraw(mut self) {
        if let Some(id) = self.id.take() {
            self.shared.fleet().poison.withdraw_run(id);
        }
    }

    /// Time between the first and the last bytes.
    fn age_ms(&self) -> u64 {
        let first_at_ms = self.first_bytes_at_ms.unwrap_or(self.last_bytes_at_ms);
        self.last_bytes_at_ms.saturating_sub(first_at_ms)
    }

    fn record_age(&self) {
        let Some(id) = self.id else {
            return;
        };
        let (age_ms, now_ms) = (self.age_ms(), self.shared.clock.now_ms());
        let mut fleet = self.shared.fleet();
        let verdicts = fleet.poison.record_run_age(id, age_ms, now_ms);
        drop(fleet);
        self.shared.apply_verdicts(verdicts, "own");
    }

    fn end(&mut self, is_complete: bool) {
        if self.age_ms() > 0 {
            self.record_age();
        }
        if let Some(id) = self.id.take() {
            let now_ms = self.shared.clock.now_ms();
            self.shared.fleet().poison.end_run(id, is_complete, now_ms);
        }
    }
}

impl Drop for RunObservation {
    fn drop(&mut self) {
        self.end(false);
    }
}

impl Shared {
    /// Records a crash and the parts that were in use there. The other hosts are informed
    /// at once if this host used any, so that they can report which ones are sound.
    pub(crate) fn record_endpoint_crash(&self, endpoint: &Endpoint, noticed_by: CrashNotice) {
        let now_ms = self.clock.now_ms();
        let start = endpoint.start_hash().short();
        let runs = self.fleet().record_endpoint_crash(start, now_ms);
        if runs.total() == 0 {
            return;
        }
        self.event_log.emit(&Event::EndpointCrashed {
            endpoint: &endpoint.name,
            noticed_by,
            unanswered: runs.unanswered,
            recent: runs.recent,
            lasting: runs.lasting,
            past: runs.past,
        });
        self.publish_now.notify_one();
    }

    /// Records the end of an observed answer. If only the close of its connection ended it,
    /// a crash of the endpoint may have closed that.
    pub(crate) fn end_observation(
        self: &Arc<Self>,
        observation: RunObservation,
        endpoint: &Arc<Endpoint>,
        framing: BodyFraming,
    ) {
        if framing != BodyFraming::CloseDelimited || observation.age_ms() >= SURVIVAL_MS {
            observation.complete();
            return;
        }
        let (shared, endpoint) = (self.clone(), endpoint.clone());
        tokio::spawn(async move {
            if shared.has_crashed_at_close(&endpoint).await {
                drop(observation);
                shared.record_endpoint_crash(&endpoint, CrashNotice::ClosedAnswer);
            } else {
                observation.complete();
            }
        });
    }

    /// Whether an endpoint that has closed a connection has crashed. The connection that checks
    /// this is kept for the next request, which needs a new one in any case.
    async fn has_crashed_at_close(&self, endpoint: &Endpoint) -> bool {
        self.check_connection(endpoint).await == Some(false)
            && self.check_for_crash(endpoint).await == CrashCheck::Crashed
    }

    /// Merges another host's observations of parts. Requests of this host at an endpoint that
    /// has crashed may wait on a connection that stays open.
    pub(crate) fn merge_part_updates(&self, updates: &[PartUpdate], forwards: bool) {
        let now_ms = self.clock.now_ms();
        let verdicts = self.fleet().poison.merge_parts(updates, forwards, now_ms);
        self.publish_part_verdicts(verdicts, "peer");
        for update in updates {
            if let PartUpdate::Crashed { start, .. } = update {
                self.add_crash_sign(*start, CrashNotice::Peer);
            }
        }
    }

    /// Draws conclusions from the observations of parts. Some only follow after a time.
    pub(crate) fn review_poison_parts(&self) {
        let now_ms = self.clock.now_ms();
        self.record_live_endpoints(now_ms);
        let verdicts = self.fleet().poison.review_parts(now_ms);
        self.publish_part_verdicts(verdicts, "own");
    }

    /// Records which endpoints live on after requests that ended there: those whose connections
    /// of that time are still open, and those that are still listed.
    fn record_live_endpoints(&self, now_ms: u64) {
        let mut fleet = self.fleet();
        let unproven = fleet.poison.unproven_endpoints(now_ms);
        if unproven.is_empty() {
            return;
        }
        fleet.record_listed_alive(&unproven, now_ms);
        for start in unproven {
            if let Some(opened_at) = self.endpoint_connections.oldest_open(start) {
                let opened_at_ms = now_ms.saturating_sub(opened_at.elapsed().as_millis() as u64);
                fleet.poison.record_alive_since(start, opened_at_ms, now_ms);
            }
        }
    }

    fn publish_part_verdicts(&self, verdicts: Vec<PoisonVerdict>, from: &str) {
        if !verdicts.is_empty() {
            self.publish_now.notify_one();
        }
        self.apply_verdicts(verdicts, from);
    }
}
