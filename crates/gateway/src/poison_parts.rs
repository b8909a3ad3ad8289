//! Observes answers by the parts of their prompts, for the detection of poison parts.

use std::sync::Arc;

use chalkrock_core::Endpoint;
use chalkrock_routing::{
    CrashedAnswers, MAX_OBSERVED_PARTS, PartUpdate, PoisonVerdict, RunId, SURVIVAL_MS,
};

use crate::call::Call;
use crate::event_log::{CrashNotice, Event};
use crate::framing::BodyFraming;
use crate::poison::CrashCheck;
use crate::shared::Shared;

/// An answer that has begun. Dropping it before it went on leaves open whether its endpoint
/// crashed.
pub(crate) struct AnswerObservation {
    shared: Arc<Shared>,
    /// `None` once the answer went on or ended.
    id: Option<RunId>,
    first_bytes_at_ms: Option<u64>,
}

impl AnswerObservation {
    /// Begins to observe an answer; `None` if its prompt has no shared parts.
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
        })
    }

    /// Records that bytes of the answer arrived.
    pub(crate) fn record_bytes(&mut self) {
        let now_ms = self.shared.clock.now_ms();
        let first_at_ms = *self.first_bytes_at_ms.get_or_insert(now_ms);
        if now_ms < first_at_ms + SURVIVAL_MS {
            return;
        }
        if let Some(id) = self.id.take() {
            let verdicts = self.shared.fleet().poison.record_survival(id, now_ms);
            self.shared.apply_verdicts(verdicts, "own");
        }
    }

    /// Whether the answer has not gone on for long.
    fn is_recent(&self) -> bool {
        self.id.is_some()
    }

    /// Records that the answer is complete.
    pub(crate) fn complete(mut self) {
        self.end(true);
    }

    fn end(&mut self, is_complete: bool) {
        if let Some(id) = self.id.take() {
            let now_ms = self.shared.clock.now_ms();
            self.shared.fleet().poison.end_run(id, is_complete, now_ms);
        }
    }
}

impl Drop for AnswerObservation {
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
        let CrashedAnswers { all, complete } =
            self.fleet().poison.record_endpoint_crash(start, now_ms);
        self.event_log.emit(&Event::EndpointCrashed {
            endpoint: &endpoint.name,
            noticed_by,
            uses: all,
            complete,
        });
        if all > 0 {
            self.publish_now.notify_one();
        }
    }

    /// Records the end of an observed answer. If only the close of its connection ended it,
    /// a crash of the endpoint may have closed that, unless the answer went on for long before.
    pub(crate) fn end_observation(
        self: &Arc<Self>,
        observation: AnswerObservation,
        endpoint: &Arc<Endpoint>,
        framing: BodyFraming,
    ) {
        if framing != BodyFraming::CloseDelimited || !observation.is_recent() {
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

    /// Merges another host's observations of parts.
    pub(crate) fn merge_part_updates(&self, updates: &[PartUpdate], forwards: bool) {
        let now_ms = self.clock.now_ms();
        let verdicts = self.fleet().poison.merge_parts(updates, forwards, now_ms);
        self.publish_part_verdicts(verdicts, "peer");
    }

    /// Draws conclusions from the observations of parts. Some only follow after a time.
    pub(crate) fn review_poison_parts(&self) {
        let now_ms = self.clock.now_ms();
        let verdicts = self.fleet().poison.review_parts(now_ms);
        self.publish_part_verdicts(verdicts, "own");
    }

    fn publish_part_verdicts(&self, verdicts: Vec<PoisonVerdict>, from: &str) {
        if !verdicts.is_empty() {
            self.publish_now.notify_one();
        }
        self.apply_verdicts(verdicts, from);
    }
}
