//! Relays streamed responses to callers.
//!
//! A resumable stream is relayed event by event. If its endpoint fails or falls
//! silent, another one continues after the last relayed event, under the first
//! one's response head. A stream that can't be continued aborts the caller's
//! connection, so that it never looks complete.
//!
//! A stream that ends inside an event has been broken off, whatever its framing. One that
//! ends after an event, with nothing but the close of its connection, may have been: the
//! caller's stream then ends in the same way, or is aborted if its framing is another.

use std::sync::Arc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use chalkrock_core::{Outcome, Reason};
use chalkrock_routing::{
    AttemptOutcome, EventFrames, EventTracker, HealthSignal, Next, Repeatable,
};
use http_body_util::BodyExt;
use hyper::header::CONTENT_TYPE;
use hyper::http;
use tokio::time::Instant;

use crate::access_log::{Completion, record};
use crate::answer::{EventStream, ResponseAborted};
use crate::attempt::{AttemptResponse, OpenStream};
use crate::call::Call;
use crate::dispatch::dispatch;
use crate::event_log::Event;
use crate::framing::BodyFraming;
use crate::poison::BrokenAttempt;
use crate::progress::Progress;
use crate::shared::Shared;
use crate::work::EventIntervals;

/// How often a silent stream is checked.
const HEALTH_RECHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Time without a read by the caller after which a broken stream is attributed to the
/// caller: endpoints abort streams that stay unread for seconds.
const UNREAD_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Largest event of a resumable stream, which is kept until it is whole. Comments between two
/// events count as part of the later one.
const MAX_EVENT_BYTES: usize = 256 * 1024;

/// Most bytes that are relayed after the deadline: what was ready before it is delivered, and a
/// stream that goes on ends.
pub(crate) const MAX_LATE_BYTES: usize = 8 * 1024 * 1024;

/// Result of a wait for the endpoint.
enum Received {
    Bytes(Bytes),
    End,
    Broken,
    /// The endpoint sent more than an event may have.
    Endless,
    /// The deadline has passed.
    Expired,
}

/// A stream in progress. The caller disconnected if it is dropped early, which also
/// closes the connection to the endpoint.
pub(crate) struct StreamRelay {
    shared: Arc<Shared>,
    call: Arc<Call>,
    progress: Progress,
    stream: Option<Box<OpenStream>>,
    frames: EventFrames,
    /// Whether the endpoint's bytes so far end inside an event.
    position: EventTracker,
    /// The last event that was relayed.
    last_id: Option<u64>,
    /// When the endpoint last sent something.
    received_at: Instant,
    /// When the endpoint's first bytes arrived.
    first_byte_at: Option<Instant>,
    chunk_count: u32,
    event_intervals: EventIntervals,
    /// When the last chunk was relayed.
    relayed_at: Instant,
    /// Whether the caller left this endpoint's stream unread for `UNREAD_TIMEOUT`.
    was_unread: bool,
    status: u16,
    /// Framing of the first endpoint's response, in which the caller's began.
    framing: BodyFraming,
    /// Whether the response consists of events.
    has_events: bool,
    /// Whether events of the stream were relayed, so that only the build that began it may
    /// continue it.
    has_begun: bool,
    /// Whether the next event is the first one of an endpoint that continues the stream.
    is_continuation: bool,
    has_ended: bool,
    /// Bytes that arrived after the deadline.
    late_bytes: usize,
}

impl StreamRelay {
    pub(crate) fn new(shared: Arc<Shared>, progress: Progress, stream: Box<OpenStream>) -> Self {
        let call = progress.call().clone();
        Self {
            last_id: call.head.resume_after,
            status: stream.head.status.as_u16(),
            framing: stream.framing,
            has_events: has_events(&stream.head),
            has_begun: false,
            is_continuation: false,
            shared,
            call,
            progress,
            stream: Some(stream),
            frames: EventFrames::default(),
            position: EventTracker::default(),
            received_at: Instant::now(),
            first_byte_at: None,
            chunk_count: 0,
            event_intervals: EventIntervals::default(),
            relayed_at: Instant::now(),
            was_unread: false,
            has_ended: false,
            late_bytes: 0,
        }
    }

    /// The response head of the first endpoint.
    pub(crate) fn head(&self) -> Option<&http::response::Parts> {
        self.stream.as_ref().map(|stream| &stream.head)
    }

    /// The framing of the caller's response.
    pub(crate) fn framing(&self) -> BodyFraming {
        self.framing
    }

    pub(crate) fn into_events(self) -> EventStream {
        Box::pin(futures::stream::unfold(self, |mut relay| async move {
            let next = relay.next().await?;
            Some((next, relay))
        }))
    }

    async fn next(&mut self) -> Option<Result<Bytes, ResponseAborted>> {
        self.was_unread |= self.relayed_at.elapsed() >= UNREAD_TIMEOUT;
        self.event_intervals.resume_reading(self.relayed_at);
        while !self.has_ended {
            match self.receive().await {
                Received::Bytes(bytes) => {
                    let bytes = self.relayable_bytes(bytes);
                    if !bytes.is_empty() {
                        self.record_begin();
                        self.relayed_at = Instant::now();
                        return Some(Ok(bytes));
                    }
                }
                Received::End => return self.end(),
                Received::Broken => {
                    if !self.resume_elsewhere(AttemptOutcome::Broken).await {
                        return Some(self.abort(Reason::EndpointLost));
                    }
                }
                Received::Endless => {
                    if !self.resume_elsewhere(AttemptOutcome::Garbage).await {
                        return Some(self.abort(Reason::EndpointGarbage));
                    }
                }
                Received::Expired => return Some(self.abort(Reason::DeadlinePassed)),
            }
        }
        None
    }

    /// Waits for the next chunk, the end or a failure of the stream.
    async fn receive(&mut self) -> Received {
        let Some(stream) = &mut self.stream else {
            return Received::Broken;
        };
        if self.frames.remaining().len() > MAX_EVENT_BYTES {
            return Received::Endless;
        }
        loop {
            if self.late_bytes > MAX_LATE_BYTES {
                return Received::Expired;
            }
            let recheck_at = self
                .call
                .deadline()
                .min(Instant::now() + HEALTH_RECHECK_INTERVAL);
            match tokio::time::timeout_at(recheck_at, stream.body.frame()).await {
                Ok(Some(Ok(frame))) => {
                    let pause = self.received_at.elapsed();
                    self.received_at = Instant::now();
                    if self.first_byte_at.is_some() {
                        self.progress.record_pause(pause);
                    } else {
                        self.first_byte_at = Some(self.received_at);
                        self.progress.record_first_byte(stream.sent_at.elapsed());
                    }
                    self.chunk_count += 1;
                    if let Some(interval) = self.event_intervals.record(self.received_at) {
                        self.progress.record_event_interval(interval);
                    }
                    stream.connection.unproductive.reset();
                    if let Ok(bytes) = frame.into_data() {
                        if let Some(observation) = &mut stream.observation {
                            observation.record_bytes();
                        }
                        if self.received_at >= self.call.deadline() {
                            self.late_bytes += bytes.len();
                        }
                        self.position.push(&bytes);
                        if !stream.is_forwarded {
                            let now_ms = self.shared.clock.now_ms();
                            self.shared.fleet().record_received(stream.start, now_ms);
                        }
                        return Received::Bytes(bytes);
                    }
                }
                Ok(Some(Err(_))) => return Received::Broken,
                Ok(None) if self.has_events && self.position.is_inside_event() => {
                    self.progress.record_end_inside_event();
                    return Received::Broken;
                }
                Ok(None) => return Received::End,
                Err(_) if Instant::now() >= self.call.deadline() => return Received::Expired,
                Err(_)
                    if !stream.is_forwarded && { &self.shared.crash_checks }
                        .has_fallen_silent_since(stream.start, self.received_at) =>
                {
                    return Received::Broken;
                }
                Err(_) => {
                    let is_silent = self.received_at.elapsed() >= silence_timeout(&self.call);
                    if is_silent && self.progress.may_leave_endpoint() {
                        return Received::Broken;
                    }
                }
            }
        }
    }

    /// Returns the bytes that can be relayed now: whole events for a resumable stream.
    fn relayable_bytes(&mut self, bytes: Bytes) -> Bytes {
        if self.call.repeatable() == Repeatable::No {
            return bytes;
        }
        self.frames.push(&bytes);
        let mut events = BytesMut::new();
        while let Some(mut frame) = self.frames.next() {
            if std::mem::take(&mut self.is_continuation) {
                frame.remove_byte_order_mark();
            }
            let is_duplicate = frame.id.is_some() && frame.id <= self.last_id;
            if is_duplicate {
                continue;
            }
            self.last_id = frame.id.or(self.last_id);
            events.extend_from_slice(&frame.bytes);
        }
        events.freeze()
    }

    /// Records the build of the endpoint before its first event is relayed.
    fn record_begin(&mut self) {
        if std::mem::replace(&mut self.has_begun, true)
            || self.call.repeatable() == Repeatable::No
            || self.call.stream_build.is_some()
        {
            return;
        }
        if let Some(stream) = &self.stream {
            let build = stream.build.clone();
            self.shared.record_stream_origin(&self.call, build.clone());
            self.progress.set_stream_build(build);
        }
    }

    /// Resumes the stream at another endpoint after the last relayed event.
    async fn resume_elsewhere(&mut self, end: AttemptOutcome) -> bool {
        let Some(failed_stream) = self.stream.take() else {
            return false;
        };
        drop(failed_stream);
        let _partial_event = self.frames.take_remaining();
        self.position = EventTracker::default();
        self.chunk_count = 0;
        self.event_intervals = EventIntervals::default();
        let run_time = self.first_byte_at.take().map(|at| at.elapsed());
        let end = if std::mem::take(&mut self.was_unread) {
            AttemptOutcome::Unread
        } else {
            end
        };
        let broken = BrokenAttempt {
            end,
            ran_ms: run_time.unwrap_or_default().as_millis() as u64,
        };
        if self.progress.end_attempt(broken).await != Next::Elsewhere {
            return false;
        }
        let response = dispatch(&self.shared, &mut self.progress, self.last_id).await;
        let went_on = match response {
            Ok(AttemptResponse::Stream(stream)) => {
                self.stream = Some(stream);
                self.received_at = Instant::now();
                self.is_continuation = true;
                true
            }
            Ok(AttemptResponse::Buffered(_)) | Err(_) => false,
        };
        self.shared.event_log.emit(&Event::Resume {
            id: self.call.head.id.as_ref(),
            after: self.last_id,
            went_on,
        });
        went_on
    }

    /// Ends the caller's stream after the endpoint's, which did not end inside an event.
    fn end(&mut self) -> Option<Result<Bytes, ResponseAborted>> {
        let framing = self.stream.as_ref().map(|stream| stream.framing);
        let is_close_delimited = framing == Some(BodyFraming::CloseDelimited);
        self.record_stream_end(is_close_delimited);
        if is_close_delimited && self.framing != BodyFraming::CloseDelimited {
            return Some(self.abort(Reason::EndpointLost));
        }
        self.has_ended = true;
        self.record_completion(Completion::answered(self.status));
        // Comments and line ends may follow the last event.
        let rest = self.frames.take_remaining();
        (!rest.is_empty()).then_some(Ok(rest))
    }

    /// Records that the endpoint ended the stream.
    fn record_stream_end(&mut self, is_close_delimited: bool) {
        let Some(mut stream) = self.stream.take() else {
            return;
        };
        if let Some(observation) = stream.observation.take() {
            self.progress.end_observation(observation, stream.framing);
        }
        if !is_close_delimited {
            self.shared.record_completed_run(self.call.fingerprint);
        }
        self.progress.record_response_end(self.chunk_interval());
        if !stream.is_forwarded {
            let now_ms = self.shared.clock.now_ms();
            let mut fleet = self.shared.fleet();
            fleet.record_signal(stream.start, HealthSignal::Answer, now_ms);
        }
        if stream.keeps_connection() {
            let OpenStream {
                connection, answer, ..
            } = *stream;
            self.shared
                .endpoint_connections
                .check_in(connection, answer.keep_alive_s);
        }
    }

    /// The mean time between chunks, if enough have arrived.
    fn chunk_interval(&self) -> Option<Duration> {
        const MIN_CHUNKS: u32 = 3;
        let run_time = self.received_at - self.first_byte_at?;
        let has_enough = self.chunk_count >= MIN_CHUNKS;
        has_enough.then(|| run_time / (self.chunk_count - 1))
    }

    fn abort(&mut self, reason: Reason) -> Result<Bytes, ResponseAborted> {
        self.has_ended = true;
        self.stream = None;
        self.record_completion(Completion {
            status: self.status,
            outcome: Outcome::Unknown,
            reason: Some(reason),
            detail: String::new(),
            retry_after_ms: None,
        });
        Err(ResponseAborted)
    }

    fn record_completion(&mut self, completion: Completion) {
        let attempts = self.progress.take_attempts();
        record(&self.shared, &self.call, attempts, completion);
    }
}

/// Whether a response consists of events, as those of streams do unless they say that they
/// are documents.
pub(crate) fn has_events(head: &http::response::Parts) -> bool {
    const DOCUMENT_TYPE: &[u8] = b"application/json";
    let content_type = head.headers.get(CONTENT_TYPE);
    !content_type.is_some_and(|content_type| content_type.as_bytes().starts_with(DOCUMENT_TYPE))
}

/// Silence after which an endpoint counts as failed. A sound one may be silent for a second, and
/// callers wait for two.
fn silence_timeout(call: &Call) -> Duration {
    const MIN_SILENCE_TIMEOUT_MS: u64 = 1_500;
    const SILENCE_OBJECTIVES: u64 = 3;
    Duration::from_millis(MIN_SILENCE_TIMEOUT_MS.max(SILENCE_OBJECTIVES * call.route.objective_ms))
}
