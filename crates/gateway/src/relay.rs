//! Passes a stream on to the caller: in order, whole, and its own.
//!
//! A stream that may be resumed is passed on event by event. Where its
//! endpoint breaks off or falls silent, another one goes on after the last
//! event that was passed on, under the first one's head. What can't be closed
//! breaks the caller's connection off: it never looks complete.

use std::sync::Arc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use chalkrock_core::{Outcome, Reason};
use chalkrock_routing::{AttemptOutcome, EventFrames, HealthSignal, Next, Repeatable};
use http_body_util::BodyExt;
use hyper::http;
use tokio::time::Instant;

use crate::access_log::{Completion, record, record_leaving};
use crate::answer::{AnswerAborted, Events};
use crate::attempt::{AttemptResponse, OpenStream};
use crate::call::Call;
use crate::dispatch::dispatch;
use crate::event_log::Event;
use crate::poison::BrokenAttempt;
use crate::progress::Progress;
use crate::shared::{RunningGuard, Shared};

/// Silence in a stream after which its endpoint is looked at.
const HEALTH_RECHECK_INTERVAL: Duration = Duration::from_millis(200);

/// How long a caller leaves an answer unread before a break of it is laid on the caller:
/// an endpoint in order breaks off what stays unread for seconds. The break shows only
/// when all that came before has been read.
const UNREAD: Duration = Duration::from_millis(1_000);

/// What came of the endpoint.
enum Arrived {
    Bytes(Bytes),
    End,
    Broken,
    /// Nothing, and its deadline has passed.
    TooLate,
}

/// A stream on its way to the caller. Dropped before its end, the caller went
/// away: the connection to the endpoint closes with it.
pub(crate) struct Relay {
    shared: Arc<Shared>,
    call: Arc<Call>,
    progress: Progress,
    stream: Option<Box<OpenStream>>,
    frames: EventFrames,
    /// The last event that was passed on.
    last_id: Option<u64>,
    /// When the endpoint was last heard.
    heard_at: Instant,
    /// When its first bytes came.
    began_at: Option<Instant>,
    /// Pieces that came of it.
    pieces: u32,
    /// When the last piece was handed on.
    passed_at: Instant,
    /// Whether the caller has left this endpoint's answer unread for long.
    was_unread: bool,
    status: u16,
    is_over: bool,
    _running: RunningGuard,
}

impl Relay {
    pub(crate) fn new(
        shared: Arc<Shared>,
        progress: Progress,
        stream: Box<OpenStream>,
        running: RunningGuard,
    ) -> Self {
        let call = progress.call().clone();
        Self {
            last_id: call.head.resume_after,
            status: stream.head.status.as_u16(),
            shared,
            call,
            progress,
            stream: Some(stream),
            frames: EventFrames::default(),
            heard_at: Instant::now(),
            began_at: None,
            pieces: 0,
            passed_at: Instant::now(),
            was_unread: false,
            is_over: false,
            _running: running,
        }
    }

    /// The head of the first endpoint's answer.
    pub(crate) fn head(&self) -> Option<&http::response::Parts> {
        self.stream.as_ref().map(|stream| &stream.head)
    }

    /// The bytes for the caller.
    pub(crate) fn into_events(self) -> Events {
        Box::pin(futures::stream::unfold(self, |mut relay| async move {
            let next = relay.next().await?;
            Some((next, relay))
        }))
    }

    async fn next(&mut self) -> Option<Result<Bytes, AnswerAborted>> {
        self.was_unread |= self.passed_at.elapsed() >= UNREAD;
        while !self.is_over {
            match self.arrived().await {
                Arrived::Bytes(bytes) => {
                    let bytes = self.pass(bytes);
                    if !bytes.is_empty() {
                        self.passed_at = Instant::now();
                        return Some(Ok(bytes));
                    }
                }
                Arrived::End if self.frames.remaining().is_empty() => {
                    self.complete();
                    return None;
                }
                Arrived::End | Arrived::Broken => {
                    if !self.go_on_elsewhere().await {
                        return Some(self.break_off(Reason::EndpointLost));
                    }
                }
                Arrived::TooLate => return Some(self.break_off(Reason::DeadlinePassed)),
            }
        }
        None
    }

    /// Waits for the endpoint.
    async fn arrived(&mut self) -> Arrived {
        let Some(stream) = &mut self.stream else {
            return Arrived::Broken;
        };
        loop {
            let look_at = self
                .call
                .deadline()
                .min(Instant::now() + HEALTH_RECHECK_INTERVAL);
            match tokio::time::timeout_at(look_at, stream.body.frame()).await {
                Ok(Some(Ok(frame))) => {
                    self.heard_at = Instant::now();
                    if self.began_at.is_none() {
                        self.began_at = Some(self.heard_at);
                        self.progress.answer_began(stream.sent_at.elapsed());
                    }
                    self.pieces += 1;
                    if let Ok(bytes) = frame.into_data() {
                        let now_ms = self.shared.clock.now_ms();
                        self.shared
                            .fleet()
                            .health(stream.short)
                            .record_received(now_ms);
                        return Arrived::Bytes(bytes);
                    }
                }
                Ok(Some(Err(_))) => return Arrived::Broken,
                Ok(None) => return Arrived::End,
                Err(_) if Instant::now() >= self.call.deadline() => return Arrived::TooLate,
                Err(_) => {
                    let is_silent = self.heard_at.elapsed() >= silence(&self.call);
                    if is_silent && self.progress.may_leave() {
                        return Arrived::Broken;
                    }
                }
            }
        }
    }

    /// What of the bytes may go to the caller now.
    fn pass(&mut self, bytes: Bytes) -> Bytes {
        if self.call.repeatable() == Repeatable::No {
            return bytes;
        }
        self.frames.push(&bytes);
        let mut whole = BytesMut::new();
        while let Some(frame) = self.frames.next() {
            let is_repeat = frame.id.is_some() && frame.id <= self.last_id;
            if is_repeat {
                continue;
            }
            self.last_id = frame.id.or(self.last_id);
            whole.extend_from_slice(&frame.bytes);
        }
        whole.freeze()
    }

    /// Goes on at another endpoint after the last event that was passed on.
    async fn go_on_elsewhere(&mut self) -> bool {
        let Some(lost) = self.stream.take() else {
            return false;
        };
        drop(lost);
        let _partial_event = self.frames.take_remaining();
        self.pieces = 0;
        let ran = self.began_at.take().map(|began_at| began_at.elapsed());
        let end = if std::mem::take(&mut self.was_unread) {
            AttemptOutcome::Unread
        } else {
            AttemptOutcome::Broken
        };
        let broken = BrokenAttempt {
            end,
            ran_ms: ran.unwrap_or_default().as_millis() as u64,
        };
        if self.progress.end(broken).await != Next::Elsewhere {
            return false;
        }
        let opened = dispatch(&self.shared, &mut self.progress, self.last_id).await;
        let went_on = match opened {
            Ok(AttemptResponse::Stream(stream)) => {
                self.stream = Some(stream);
                self.heard_at = Instant::now();
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

    /// The endpoint ended the stream as it should.
    fn complete(&mut self) {
        self.is_over = true;
        let Some(stream) = self.stream.take() else {
            return;
        };
        self.shared.record_completed_run(self.call.fingerprint);
        self.progress.answer_ended(self.pace());
        let now_ms = self.shared.clock.now_ms();
        self.shared
            .fleet()
            .record_signal(stream.short, HealthSignal::Answer, now_ms);
        let OpenStream {
            connection,
            answer,
            short,
            ..
        } = *stream;
        if !answer.closes {
            self.shared
                .upstream
                .check_in(short, connection, answer.keep_alive_s);
        }
        self.record_completion(Completion::answered(self.status));
    }

    /// The mean time between two pieces, if there were enough.
    fn pace(&self) -> Option<Duration> {
        const PIECES_MIN: u32 = 3;
        let ran = self.heard_at - self.began_at?;
        let has_pace = self.pieces >= PIECES_MIN;
        has_pace.then(|| ran / (self.pieces - 1))
    }

    fn break_off(&mut self, reason: Reason) -> Result<Bytes, AnswerAborted> {
        self.is_over = true;
        self.stream = None;
        self.record_completion(Completion {
            status: self.status,
            outcome: Outcome::Unknown,
            reason: Some(reason),
            detail: String::new(),
        });
        Err(AnswerAborted)
    }

    fn record_completion(&mut self, ending: Completion) {
        let attempts = self.progress.take_attempts();
        record(&self.shared, &self.call, attempts, ending);
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        if !self.is_over {
            record_leaving(&self.shared, &self.call);
        }
    }
}

/// The silence in a stream that no endpoint in order makes.
fn silence(call: &Call) -> Duration {
    const SILENCE_MIN_MS: u64 = 1_000;
    const OBJECTIVES: u64 = 3;
    Duration::from_millis(SILENCE_MIN_MS.max(OBJECTIVES * call.route.objective_ms))
}
