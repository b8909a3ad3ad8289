//! Serves requests that other hosts forward.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use chalkrock_core::HostId;
use chalkrock_routing::{AttemptOutcome, EventTracker, HealthSignal, shed_probability};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode, http};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tokio::time::Instant;

use crate::answer::{EventStream, ResponseAborted, ResponseBody};
use crate::attempt::{AttemptResponse, BufferedResponse, OpenStream, attempt};
use crate::call::{Call, ReceivedCall};
use crate::caller_body::read_body;
use crate::caller_stream::{CallerStream, ConnectionState};
use crate::event_log::Event;
use crate::fleet::SelectedEndpoint;
use crate::forward::{FORWARD, ForwardHead, ForwardResult, UsedEndpoint, encode, take};
use crate::framing::BodyFraming;
use crate::front::caller_headers;
use crate::outage_log::OutageLog;
use crate::peers::PeerTable;
use crate::poison::BrokenAttempt;
use crate::progress::Progress;
use crate::relay::{MAX_LATE_BYTES, has_events};
use crate::shared::Shared;

const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Most connections of other hosts.
const MAX_CONNECTIONS: usize = 512;
/// Time after which an idle connection is closed. Origins reuse one for a shorter time.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// Bytes of a request head beyond those of the caller's own.
const HEAD_ALLOWANCE_BYTES: usize = 32 * 1024;
/// Endpoints that are tried until one can be reached.
const MAX_UNREACHED: usize = 3;

/// Accepts connections of other hosts until the process ends.
pub(crate) async fn serve_forwarded(
    shared: Arc<Shared>,
    peers: Arc<PeerTable>,
    listener: TcpListener,
) {
    let permits = Arc::new(Semaphore::new(MAX_CONNECTIONS));
    let mut outage = OutageLog::new("forwarding-socket");
    loop {
        let Ok(permit) = permits.clone().acquire_owned().await else {
            return;
        };
        let stream = outage.accept(&shared, &listener, ACCEPT_RETRY_DELAY).await;
        let is_host = stream
            .peer_addr()
            .is_ok_and(|address| peers.has_host_at(address.ip()));
        if !is_host {
            shared
                .metrics
                .count("forwarded_from_strangers_total", "", 1);
            continue;
        }
        let shared = shared.clone();
        tokio::spawn(async move {
            serve_connection(&shared, stream).await;
            drop(permit);
        });
    }
}

async fn serve_connection(shared: &Arc<Shared>, stream: TcpStream) {
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let limits = shared.rules().map(|rules| *rules.limits());
    let limits = limits.unwrap_or_default();
    let head_max_bytes = limits.head_max_bytes + HEAD_ALLOWANCE_BYTES;
    let head_timeout = Duration::from_millis(limits.head_timeout_ms);
    let unread_timeout = Duration::from_millis(limits.idle_timeout_ms);
    let state = Arc::new(ConnectionState::default());
    let stream = CallerStream::new(stream, state.clone(), head_timeout, unread_timeout);
    let service = service_fn(|request: Request<Incoming>| {
        let shared = shared.clone();
        let serving = state.begin_serving();
        async move {
            let (method, version) = (request.method().clone(), request.version());
            let running = shared.begin_request();
            let response = serve(&shared, request).await;
            Ok::<_, Infallible>(serving.respond(&method, version, response, running))
        }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(IDLE_TIMEOUT)
        .max_buf_size(head_max_bytes)
        .serve_connection(TokioIo::new(stream), service);
    let _origins_may_disconnect = connection.await;
}

/// Makes one attempt for an origin.
async fn serve(shared: &Arc<Shared>, request: Request<Incoming>) -> Response<ResponseBody> {
    let entered_at = Instant::now();
    let (mut parts, body) = request.into_parts();
    let Some(head) = take::<ForwardHead>(&mut parts.headers) else {
        shared.metrics.count("forwarded_garbage_total", "", 1);
        return report(&ForwardResult::not_sent());
    };
    // After a suspension, the request may have waited here for longer than its origin did.
    shared.detect_suspension();
    let is_shed = rand::random::<f64>() < shed_probability(shared.lag.ms());
    if !shared.is_ready() || is_shed {
        return report(&ForwardResult::not_sent());
    }
    let Some(call) = receive_call(shared, parts, body, &head, entered_at).await else {
        return report(&ForwardResult::not_sent());
    };
    let mut serving = Serving {
        shared: shared.clone(),
        progress: Progress::forwarded(shared.clone(), call.clone(), &head),
        call,
        origin: head.origin.clone(),
        status: None,
        end: None,
        is_complete: false,
    };
    match serving.attempt(&head).await {
        Ok((used, response)) => serving.answer(used, response),
        Err((result, response)) => serving.fail(&result, response),
    }
}

/// Reads the body and puts the request together; `None` if the origin has to find another
/// way.
async fn receive_call(
    shared: &Arc<Shared>,
    parts: http::request::Parts,
    body: Incoming,
    head: &ForwardHead,
    entered_at: Instant,
) -> Option<Arc<Call>> {
    let call_head = shared.edge.read_call(&parts).ok()?;
    let limits = shared.rules().map(|rules| *rules.limits());
    let organisation = head.caller.as_ref().map(|caller| &caller.organisation);
    let body = read_body(shared, body, &limits.unwrap_or_default(), organisation).await;
    let received = ReceivedCall {
        parts,
        head: call_head,
        body: body.ok()?,
        entered_at,
    };
    Call::forwarded(shared, received, head).ok().map(Arc::new)
}

/// A request of an origin in progress. It is logged when dropped.
struct Serving {
    shared: Arc<Shared>,
    call: Arc<Call>,
    progress: Progress,
    origin: HostId,
    status: Option<u16>,
    end: Option<AttemptOutcome>,
    /// Whether its response is complete.
    is_complete: bool,
}

impl Serving {
    /// Sends the request to the chosen endpoint, or to another one if that can't be reached
    /// and no slot of it was granted.
    async fn attempt(
        &mut self,
        head: &ForwardHead,
    ) -> Result<(UsedEndpoint, AttemptResponse), (ForwardResult, Option<BufferedResponse>)> {
        let now_ms = self.shared.clock.now_ms();
        let mut unreached = self.shared.fleet().unreachable_in_pool(&head.pool, now_ms);
        self.progress.exclude(&unreached);
        let mut wants_chosen = true;
        for _ in 0..=MAX_UNREACHED {
            let chosen = std::mem::take(&mut wants_chosen)
                .then(|| self.progress.accept_chosen(head.endpoint, head.is_granted))
                .flatten();
            let choice = match chosen {
                Some(choice) => choice,
                None if head.is_granted => break,
                None => match self.progress.choose_stable_endpoint() {
                    Some(choice) => choice,
                    None => break,
                },
            };
            self.progress.begin(&choice, None, None);
            let attempt = attempt(
                &self.shared,
                &mut self.progress,
                &choice,
                None,
                head.resume_after,
            );
            let failure = match attempt.await {
                Ok(response) => return Ok((UsedEndpoint::of(&choice), response)),
                Err(failure) => failure,
            };
            let broken = BrokenAttempt {
                end: failure.end,
                ran_ms: 0,
            };
            self.progress.record_failed_attempt(broken).await;
            match failure.end {
                AttemptOutcome::NotSent => unreached.push(choice.member.hash.short()),
                AttemptOutcome::Withdrawn => {}
                end => {
                    let result = ForwardResult {
                        endpoint: Some(UsedEndpoint::of(&choice)),
                        unreached,
                        end: Some(end),
                        has_response: failure.response.is_some(),
                        is_close_delimited: failure.response.as_ref().is_some_and(|response| {
                            response.framing == BodyFraming::CloseDelimited
                        }),
                    };
                    return Err((result, failure.response));
                }
            }
        }
        let result = ForwardResult {
            unreached,
            ..ForwardResult::not_sent()
        };
        Err((result, None))
    }

    fn answer(mut self, used: UsedEndpoint, response: AttemptResponse) -> Response<ResponseBody> {
        let framing = match &response {
            AttemptResponse::Buffered(buffered) => buffered.framing,
            AttemptResponse::Stream(stream) => stream.framing,
        };
        let result = ForwardResult {
            endpoint: Some(used),
            is_close_delimited: framing == BodyFraming::CloseDelimited,
            ..ForwardResult::default()
        };
        match response {
            AttemptResponse::Buffered(buffered) => {
                self.is_complete = true;
                self.status = Some(buffered.head.status.as_u16());
                self.buffered(&result, buffered)
            }
            AttemptResponse::Stream(stream) => {
                self.status = Some(stream.head.status.as_u16());
                let mut response = Response::new(ResponseBody::Buffered(Default::default()));
                *response.status_mut() = stream.head.status;
                *response.headers_mut() = caller_headers(&self.shared, &stream.head);
                insert_result(&mut response, &result);
                response.map(|_empty| ResponseBody::Events(self.into_events(stream)))
            }
        }
    }

    fn fail(
        mut self,
        result: &ForwardResult,
        response: Option<BufferedResponse>,
    ) -> Response<ResponseBody> {
        self.is_complete = true;
        self.end = result.end;
        match response {
            Some(buffered) => {
                self.status = Some(buffered.head.status.as_u16());
                self.buffered(result, buffered)
            }
            None => report(result),
        }
    }

    fn buffered(
        &self,
        result: &ForwardResult,
        buffered: BufferedResponse,
    ) -> Response<ResponseBody> {
        let mut response = Response::new(ResponseBody::Buffered(buffered.body));
        *response.status_mut() = buffered.head.status;
        *response.headers_mut() = caller_headers(&self.shared, &buffered.head);
        insert_result(&mut response, result);
        response
    }

    /// Passes on the chunks of a stream as they arrive. The origin resumes one that breaks.
    fn into_events(self, stream: Box<OpenStream>) -> EventStream {
        let relay = ChunkRelay {
            serving: self,
            stream: Some(stream),
            position: EventTracker::default(),
            received_at: Instant::now(),
            first_byte_at: None,
            late_bytes: 0,
        };
        Box::pin(futures::stream::unfold(relay, |mut relay| async move {
            let next = relay.next().await?;
            Some((next, relay))
        }))
    }
}

impl Drop for Serving {
    fn drop(&mut self) {
        let attempts = self.progress.take_attempts();
        self.shared.event_log.emit(&Event::Forwarded {
            id: self.call.head.id.as_ref(),
            origin: &self.origin,
            attempts: &attempts,
            status: self.status,
            end: self.end,
            is_complete: self.is_complete,
            took_ms: self.call.entered_at.elapsed().as_millis() as u64,
        });
    }
}

/// Passes on a stream.
struct ChunkRelay {
    serving: Serving,
    stream: Option<Box<OpenStream>>,
    /// Whether the endpoint's bytes so far end inside an event.
    position: EventTracker,
    received_at: Instant,
    first_byte_at: Option<Instant>,
    /// Bytes that arrived after the deadline.
    late_bytes: usize,
}

impl ChunkRelay {
    async fn next(&mut self) -> Option<Result<Bytes, ResponseAborted>> {
        loop {
            let stream = self.stream.as_mut()?;
            let deadline = self.serving.call.deadline();
            if self.late_bytes > MAX_LATE_BYTES {
                return Some(self.abort(AttemptOutcome::Silent).await);
            }
            match tokio::time::timeout_at(deadline, stream.body.frame()).await {
                Ok(Some(Ok(frame))) => {
                    stream.connection.unproductive.reset();
                    self.record_chunk();
                    if let Ok(bytes) = frame.into_data() {
                        if self.received_at >= deadline {
                            self.late_bytes += bytes.len();
                        }
                        self.position.push(&bytes);
                        return Some(Ok(bytes));
                    }
                }
                Ok(None) => {
                    if has_events(&stream.head) && self.position.is_inside_event() {
                        self.serving.progress.record_end_inside_event();
                        return Some(self.abort(AttemptOutcome::Broken).await);
                    }
                    self.complete();
                    return None;
                }
                Ok(Some(Err(_))) => return Some(self.abort(AttemptOutcome::Broken).await),
                Err(_) => return Some(self.abort(AttemptOutcome::Silent).await),
            }
        }
    }

    fn record_chunk(&mut self) {
        let Some(stream) = &mut self.stream else {
            return;
        };
        if let Some(observation) = &mut stream.observation {
            observation.record_bytes();
        }
        let pause = self.received_at.elapsed();
        self.received_at = Instant::now();
        let progress = &mut self.serving.progress;
        if self.first_byte_at.is_some() {
            progress.record_pause(pause);
        } else {
            self.first_byte_at = Some(self.received_at);
            progress.record_first_byte(stream.sent_at.elapsed());
        }
        let shared = &self.serving.shared;
        let now_ms = shared.clock.now_ms();
        shared.fleet().record_received(stream.start, now_ms);
    }

    fn complete(&mut self) {
        let Some(mut stream) = self.stream.take() else {
            return;
        };
        let serving = &mut self.serving;
        serving.is_complete = true;
        if let Some(observation) = stream.observation.take() {
            let framing = stream.framing;
            serving.progress.end_observation(observation, framing);
        }
        serving.progress.record_response_end(None);
        let shared = &serving.shared;
        if stream.framing != BodyFraming::CloseDelimited {
            shared.record_completed_run(serving.call.fingerprint);
        }
        let now_ms = shared.clock.now_ms();
        let signal = HealthSignal::Answer;
        shared.fleet().record_signal(stream.start, signal, now_ms);
        if stream.keeps_connection() {
            let OpenStream {
                connection, answer, ..
            } = *stream;
            shared
                .endpoint_connections
                .check_in(connection, answer.keep_alive_s);
        }
    }

    /// Ends the response early, which the origin takes for a broken stream.
    async fn abort(&mut self, end: AttemptOutcome) -> Result<Bytes, ResponseAborted> {
        self.stream = None;
        self.serving.end = Some(end);
        let run_time = self.first_byte_at.map(|at| at.elapsed());
        let broken = BrokenAttempt {
            end,
            ran_ms: run_time.unwrap_or_default().as_millis() as u64,
        };
        self.serving.progress.record_failed_attempt(broken).await;
        Err(ResponseAborted)
    }
}

impl UsedEndpoint {
    fn of(choice: &SelectedEndpoint) -> Self {
        Self {
            name: choice.member.endpoint.name.clone(),
            start: choice.member.hash.short(),
            build: choice.member.endpoint.build.clone(),
        }
    }
}

/// A response that carries a result alone.
fn report(result: &ForwardResult) -> Response<ResponseBody> {
    let mut response = Response::new(ResponseBody::Buffered(Default::default()));
    *response.status_mut() = StatusCode::BAD_GATEWAY;
    insert_result(&mut response, result);
    response
}

fn insert_result(response: &mut Response<ResponseBody>, result: &ForwardResult) {
    if let Some(encoded) = encode(result) {
        response.headers_mut().insert(FORWARD, encoded);
    }
}
