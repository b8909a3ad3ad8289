//! Tells how requests ended: a line and a count for each.

use std::sync::Arc;

use chalkrock_core::{Outcome, Reason, RequestId};
use tokio::time::Instant;

use crate::call::Call;
use crate::edge::Refusal;
use crate::event_log::{AttemptRecord, Digits, Event, RequestRecord};
use crate::shared::Shared;

/// Tells that a request was refused before it was known what it asks for.
pub(crate) fn record_refusal(
    shared: &Shared,
    id: Option<&RequestId>,
    entered_at: Instant,
    refusal: &Refusal,
) {
    let record = RequestRecord {
        id: id.cloned(),
        route: None,
        organisation: None,
        rules: shared
            .rules()
            .map(|rules| rules.version())
            .unwrap_or_default(),
        fingerprint: None,
        attempts: Vec::new(),
        status: Some(refusal.reason.status()),
        outcome: refusal.outcome(),
        reason: Some(refusal.reason),
        detail: refusal.detail.clone(),
        took_ms: entered_at.elapsed().as_millis() as u64,
    };
    shared.event_log.emit(&Event::Request(&record));
    count(shared, Some(refusal.reason), refusal.outcome());
}

/// How a request ended for its caller.
pub(crate) struct Completion {
    pub(crate) status: u16,
    pub(crate) outcome: Outcome,
    pub(crate) reason: Option<Reason>,
    /// What the reason rests on.
    pub(crate) detail: String,
}

impl Completion {
    /// An endpoint's answer was passed on whole.
    pub(crate) fn answered(status: u16) -> Self {
        Self {
            status,
            outcome: Outcome::Ran,
            reason: None,
            detail: String::new(),
        }
    }
}

/// Tells how a request ended.
pub(crate) fn record(
    shared: &Shared,
    call: &Call,
    attempts: Vec<AttemptRecord>,
    ending: Completion,
) {
    let Completion {
        status,
        outcome,
        reason,
        detail,
    } = ending;
    let took = call.entered_at.elapsed();
    let is_failed = attempts.iter().any(|attempt| attempt.end.is_some());
    let record = RequestRecord {
        id: call.head.id.clone(),
        route: Some(call.route.name.clone()),
        organisation: call.organisation().cloned(),
        rules: call.rules,
        fingerprint: is_failed.then_some(Digits(call.fingerprint)),
        attempts,
        status: Some(status),
        outcome,
        reason,
        detail,
        took_ms: took.as_millis() as u64,
    };
    shared.event_log.emit(&Event::Request(&record));
    shared.metrics.latency("request", "", took);
    count(shared, reason, outcome);
}

fn count(shared: &Shared, reason: Option<Reason>, outcome: Outcome) {
    let reason = reason.map_or("none", Reason::code);
    let labels = format!("outcome=\"{outcome}\",reason=\"{reason}\"");
    shared.metrics.count("requests_total", &labels, 1);
}

/// Tells that the caller left before the end of the answer.
pub(crate) fn record_leaving(shared: &Shared, call: &Call) {
    shared.event_log.emit(&Event::CallerLeft {
        id: call.head.id.as_ref(),
        took_ms: call.entered_at.elapsed().as_millis() as u64,
    });
}

/// Tells that the caller left, if it did so before an answer began.
pub(crate) struct AnnouncesLeaving {
    shared: Arc<Shared>,
    call: Arc<Call>,
    pub(crate) is_over: bool,
}

impl AnnouncesLeaving {
    pub(crate) fn new(shared: Arc<Shared>, call: Arc<Call>) -> Self {
        Self {
            shared,
            call,
            is_over: false,
        }
    }
}

impl Drop for AnnouncesLeaving {
    fn drop(&mut self) {
        if !self.is_over {
            record_leaving(&self.shared, &self.call);
        }
    }
}
