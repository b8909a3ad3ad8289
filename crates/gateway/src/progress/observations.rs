//! What attempts show of their endpoints.

use std::time::Duration;

use chalkrock_core::Endpoint;
use chalkrock_routing::{AttemptOutcome, HealthSignal, ObservationTime, ObservedResponse};

use crate::call::Call;
use crate::edge::{AnswerHead, RequestedBackoff};
use crate::endpoint_connections::ConnectError;
use crate::event_log::{CrashNotice, Event};
use crate::framing::BodyFraming;
use crate::poison::BrokenAttempt;
use crate::poison_parts::RunObservation;
use crate::progress::Progress;
use crate::shared::Shared;

impl Progress {
    /// Records why the last attempt got no connection.
    pub(crate) fn record_connect_error(&mut self, error: ConnectError) {
        if let Some(record) = self.attempts.last_mut() {
            record.connect_error = Some(error);
        }
    }

    /// Records the endpoint state that the last attempt's response head reports.
    pub(crate) fn record_head(&mut self, answer: &AnswerHead) {
        let Some(record) = self.attempts.last_mut() else {
            return;
        };
        record.says_leaving = answer.is_leaving;
        if let RequestedBackoff::ForMs(backoff_ms) = answer.backoff {
            record.backoff_ms = Some(backoff_ms);
        }
    }

    /// Records what delimits the body of the last attempt's response.
    pub(crate) fn record_framing(&mut self, framing: Option<BodyFraming>) {
        if let Some(record) = self.attempts.last_mut() {
            record.framing = framing;
        }
    }

    /// Records that the last attempt's stream ended inside an event.
    pub(crate) fn record_end_inside_event(&mut self) {
        if let Some(record) = self.attempts.last_mut() {
            record.ended_inside_event = true;
        }
        self.shared
            .metrics
            .count("streams_ended_inside_event_total", "", 1);
    }

    /// Records what an attempt that failed shows of its endpoint.
    pub(crate) async fn record_failed_attempt(&mut self, broken: BrokenAttempt) {
        let end = broken.end;
        self.reading = None;
        if let Some(record) = self.attempts.last_mut() {
            record.end = Some(end);
        }
        if end == AttemptOutcome::NotTheEndpoint {
            self.mark_endpoint_gone();
        }
        if self.is_forwarded {
            return;
        }
        let mut is_path_failure = false;
        if let Some(endpoint) = &self.last_endpoint {
            let connect_error = self.attempts.last().and_then(|last| last.connect_error);
            if connect_error == Some(ConnectError::Refused) {
                let checks = &self.shared.crash_checks;
                checks.add_sign(endpoint.clone(), CrashNotice::RefusedConnection);
            }
            let last = self.attempts.last();
            let has_begun = last.is_some_and(|last| last.framing.is_some());
            is_path_failure = self
                .shared
                .record_broken_attempt(&self.call, endpoint, broken, has_begun)
                .await;
        }
        if matches!(end, AttemptOutcome::NotSent | AttemptOutcome::Broken) {
            let now_ms = self.shared.clock.now_ms();
            let failed = self.last_tried();
            let mut fleet = self.shared.fleet();
            fleet.rejection_limits.record_failure(failed, now_ms);
        }
        self.record_health(end);
        if end == AttemptOutcome::Silent {
            self.count_silence();
        } else if end.is_build_failure() && !is_path_failure {
            self.count_response(ObservedResponse::Failed);
        }
        if end == AttemptOutcome::Refused {
            let now_ms = self.shared.clock.now_ms();
            let rejected_by = self.last_tried();
            self.shared.fleet().record_rejection(rejected_by, now_ms);
            self.shared
                .pool_queues
                .record_refusal(&self.call.pool, now_ms);
        }
    }

    /// Records the time from the send to the first byte of the response.
    pub(crate) fn record_first_byte(&mut self, first_byte_delay: Duration) {
        if let Some(reading) = self.reading.take() {
            reading.record_first_event(first_byte_delay, self.shared.clock.now_ms());
        }
        let last = self.attempts.last_mut();
        if let Some(record) = last.filter(|last| last.read_tokens.is_some()) {
            record.ttft_ms = Some(first_byte_delay.as_millis() as u64);
        }
        let holds_prefix = self.attempts.last().is_some_and(|last| last.holds_prefix);
        let has_no_prefix = self.call.shared_parts.is_empty();
        self.count_response(ObservedResponse::Began {
            first_byte_ms: to_ms(first_byte_delay),
            holds_prefix: holds_prefix || has_no_prefix,
        });
    }

    /// Records the end of an answer that is observed by the parts of its prompt.
    pub(crate) fn end_observation(&self, observation: RunObservation, framing: BodyFraming) {
        if let Some(endpoint) = &self.last_endpoint {
            self.shared.end_observation(observation, endpoint, framing);
        }
    }

    /// Records the time between two chunks of a stream.
    pub(crate) fn record_pause(&mut self, pause: Duration) {
        if let Some(record) = self.attempts.last_mut() {
            let pause_ms = pause.as_millis() as u64;
            record.longest_pause_ms = record.longest_pause_ms.max(Some(pause_ms));
        }
    }

    /// Records the mean time between some events of a stream.
    pub(crate) fn record_event_interval(&self, interval: Duration) {
        if let Some(start) = self.tried.last().filter(|_| !self.is_forwarded) {
            let now_ms = self.shared.clock.now_ms();
            let fleet = self.shared.fleet();
            let pool = &self.call.pool;
            fleet
                .work
                .record_event_interval(pool, *start, interval, now_ms);
        }
    }

    /// Records a complete response: the mean time between its events, or the duration
    /// of the whole call.
    pub(crate) fn record_response_end(&self, event_interval: Option<Duration>) {
        let pace_ms = event_interval.map(to_ms);
        self.count_response(ObservedResponse::Ended { pace_ms });
    }

    /// Counts an unanswered request as a failure of its endpoint's build, unless only this
    /// host can't reach the endpoint.
    fn count_silence(&self) {
        let Some(endpoint) = self.last_endpoint.clone() else {
            return;
        };
        if !self.shared.fleet().rollouts.counts_answers() {
            return;
        }
        let at = self.observation_time(ObservedResponse::Failed);
        let (shared, call) = (self.shared.clone(), self.call.clone());
        tokio::spawn(async move {
            if !shared.is_silent_for_this_host(&endpoint).await {
                shared.count_response(&call, &endpoint, ObservedResponse::Failed, at);
            }
        });
    }

    /// Counts the response of the last attempt for a rollout of its pool.
    fn count_response(&self, seen: ObservedResponse) {
        let Some(endpoint) = self.last_endpoint.as_ref().filter(|_| !self.is_forwarded) else {
            return;
        };
        if !self.shared.fleet().rollouts.counts_answers() {
            return;
        }
        // A cold endpoint is slow regardless of its build.
        let seen = match seen {
            ObservedResponse::Began { .. } if self.was_cold => return,
            ObservedResponse::Ended { .. } if self.was_cold => {
                ObservedResponse::Ended { pace_ms: None }
            }
            seen => seen,
        };
        let at = self.observation_time(seen);
        self.shared.count_response(&self.call, endpoint, seen, at);
    }

    fn observation_time(&self, seen: ObservedResponse) -> ObservationTime {
        ObservationTime {
            now_ms: self.shared.clock.now_ms(),
            stalled_ms: self.stalled_ms(seen),
        }
    }

    /// For how much of a measured time this host stalled, in milliseconds. A pace is measured
    /// over the whole answer, so that it gets its part of the stalls.
    fn stalled_ms(&self, seen: ObservedResponse) -> u64 {
        self.shared.detect_suspension();
        let stalled_ms = self.shared.lag.stalled_ms();
        let stalled_ms = stalled_ms.saturating_sub(self.stalled_at_send_ms);
        match seen {
            ObservedResponse::Ended {
                pace_ms: Some(pace_ms),
            } => {
                let elapsed_ms = self.shared.clock.now_ms().saturating_sub(self.sent_at_ms);
                (stalled_ms as f64 * pace_ms / elapsed_ms.max(1) as f64) as u64
            }
            _ => stalled_ms,
        }
    }

    /// Marks the endpoint as leaving after another one answered at its address. Its
    /// entry stays listed for some heartbeats, in which every request would try it: 3,070
    /// repeats in ten seconds, where 1,219 are allowed, after a zone of 29 endpoints restarts.
    fn mark_endpoint_gone(&self) {
        if let Some(start) = self.tried.last() {
            let id = self.call.head.id.as_ref();
            self.shared.mark_leaving(&[*start], "address", id);
        }
    }

    /// Updates the endpoint's health after a failed attempt or a long wait.
    pub(crate) fn record_health(&mut self, end: AttemptOutcome) {
        let (Some(signal), Some(&start)) = (self.health_signal(end), self.tried.last()) else {
            return;
        };
        let now_ms = self.shared.clock.now_ms();
        let mut fleet = self.shared.fleet();
        let was_unreachable = fleet.is_unreachable(start, now_ms);
        let is_new = fleet.record_signal(start, signal, now_ms);
        drop(fleet);
        match (signal, &self.last_endpoint) {
            (HealthSignal::Unreachable { .. }, _) => {
                self.unreached.push(start);
                if !was_unreachable {
                    self.shared.unreachable_found.notify_one();
                }
            }
            (HealthSignal::Silence { .. }, Some(endpoint)) if is_new => {
                self.shared.check_silent_endpoint(endpoint);
            }
            _ => {}
        }
        if let Some(record) = self.attempts.last().filter(|_| is_new) {
            self.shared.event_log.emit(&Event::Suspect {
                endpoint: &record.endpoint,
                end,
            });
        }
    }

    fn health_signal(&self, end: AttemptOutcome) -> Option<HealthSignal> {
        match end {
            AttemptOutcome::NotSent | AttemptOutcome::Broken => Some(self.connection_signal()),
            AttemptOutcome::Silent => Some(HealthSignal::Silence {
                sent_at_ms: self.sent_at_ms,
            }),
            AttemptOutcome::Failed | AttemptOutcome::Garbage => Some(HealthSignal::Failure),
            AttemptOutcome::Withdrawn
            | AttemptOutcome::Recalled
            | AttemptOutcome::Unread
            | AttemptOutcome::Refused
            | AttemptOutcome::NotTheEndpoint => None,
        }
    }

    /// The signal of a connection that failed to open or broke.
    fn connection_signal(&self) -> HealthSignal {
        let last = self.attempts.last();
        match last.and_then(|record| record.connect_error) {
            Some(ConnectError::TimedOut) => HealthSignal::Unreachable { timed_out: true },
            Some(ConnectError::Refused) => HealthSignal::Unreachable { timed_out: false },
            Some(ConnectError::Reset) | None => HealthSignal::Break,
        }
    }
}

impl Shared {
    /// Counts a response of an endpoint for a rollout of its pool.
    fn count_response(
        &self,
        call: &Call,
        endpoint: &Endpoint,
        seen: ObservedResponse,
        at: ObservationTime,
    ) {
        if at.stalled_ms > 0 {
            let metrics = &self.metrics;
            metrics.count("rollout_times_stalled_total", "", 1);
        }
        let mut fleet = self.fleet();
        let Call { pool, route, .. } = call;
        let rollouts = &mut fleet.rollouts;
        let is_urgent = rollouts.count(pool, &route.name, &endpoint.build, seen, at);
        drop(fleet);
        if is_urgent {
            self.publish_now.notify_one();
        }
    }
}

/// A duration in milliseconds, including fractions.
fn to_ms(duration: Duration) -> f64 {
    const MS_PER_S: f64 = 1_000.0;
    duration.as_secs_f64() * MS_PER_S
}
