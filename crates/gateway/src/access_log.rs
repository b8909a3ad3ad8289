//! Logs and counts completed requests.

use chalkrock_core::{Outcome, Reason, RequestId};
use tokio::time::Instant;

use crate::call::Call;
use crate::edge::Refusal;
use crate::event_log::{AttemptRecord, Digits, Event, RequestRecord};
use crate::shared::Shared;

/// Logs a request refused before its route was resolved.
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
        resume_after: None,
        resumes: None,
        attempts: Vec::new(),
        status: Some(refusal.reason.status()),
        outcome: refusal.outcome(),
        reason: Some(refusal.reason),
        detail: refusal.detail.clone(),
        retry_after_ms: refusal.retry_after_ms,
        took_ms: entered_at.elapsed().as_millis() as u64,
    };
    shared.event_log.emit(&Event::Request(&record));
    count_request(shared, Some(refusal.reason), refusal.outcome());
}

/// How a request ended for its caller.
pub(crate) struct Completion {
    pub(crate) status: u16,
    pub(crate) outcome: Outcome,
    pub(crate) reason: Option<Reason>,
    /// Details of the reason.
    pub(crate) detail: String,
    /// When the caller may return.
    pub(crate) retry_after_ms: Option<u64>,
}

impl Completion {
    /// A complete response of an endpoint.
    pub(crate) fn answered(status: u16) -> Self {
        Self {
            status,
            outcome: Outcome::Ran,
            reason: None,
            detail: String::new(),
            retry_after_ms: None,
        }
    }
}

/// Logs a completed request.
pub(crate) fn record(
    shared: &Shared,
    call: &Call,
    attempts: Vec<AttemptRecord>,
    completion: Completion,
) {
    let Completion {
        status,
        outcome,
        reason,
        detail,
        retry_after_ms,
    } = completion;
    let took = call.entered_at.elapsed();
    let has_failed_attempt = attempts.iter().any(|attempt| attempt.end.is_some());
    let record = RequestRecord {
        id: call.head.id.clone(),
        route: Some(call.route.name.clone()),
        organisation: call.organisation().cloned(),
        rules: call.rules_version,
        fingerprint: has_failed_attempt.then_some(Digits(call.fingerprint)),
        resume_after: call.head.resume_after,
        resumes: call.head.resumes.clone(),
        attempts,
        status: Some(status),
        outcome,
        reason,
        detail,
        retry_after_ms,
        took_ms: took.as_millis() as u64,
    };
    shared.event_log.emit(&Event::Request(&record));
    shared.metrics.latency("request", "", took);
    count_request(shared, reason, outcome);
}

fn count_request(shared: &Shared, reason: Option<Reason>, outcome: Outcome) {
    let reason = reason.map_or("none", Reason::code);
    let labels = format!("outcome=\"{outcome}\",reason=\"{reason}\"");
    shared.metrics.count("requests_total", &labels, 1);
}

/// Logs that the caller disconnected before the end of the response.
pub(crate) fn record_disconnect(shared: &Shared, call: &Call, attempts: &[AttemptRecord]) {
    shared.event_log.emit(&Event::CallerLeft {
        id: call.head.id.as_ref(),
        attempts,
        took_ms: call.entered_at.elapsed().as_millis() as u64,
    });
}
