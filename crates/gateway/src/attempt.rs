//! One attempt at sending a request to an endpoint.

use std::sync::Arc;
use std::time::Duration;

use bytes::BytesMut;
use chalkrock_core::{BuildVersion, EndpointId, OrganisationId, Outcome};
use chalkrock_routing::{AttemptOutcome, HealthSignal, Repeatable, RouteKind};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::{Body, Incoming};
use hyper::{Request, Response, StatusCode, http};
use tokio::time::Instant;

use crate::answer::{BufferedResponseBody, MAX_CHUNK_BYTES};
use crate::call::Call;
use crate::edge::{AnswerHead, SendHead};
use crate::endpoint_connections::{
    Connection, ConnectionRequest, ConnectionTarget, NoConnection, SentBody,
};
use crate::endpoint_stream::UnproductiveInput;
use crate::fleet::SelectedEndpoint;
use crate::framing::BodyFraming;
use crate::poison_parts::RunObservation;
use crate::pool_queue::Lease;
use crate::progress::Progress;
use crate::shared::{InFlightGuard, Shared};

/// Largest response that is buffered.
const MAX_RESPONSE_BYTES: usize = 8 * 1024 * 1024;
/// How often the endpoint's health is checked during a wait for its response.
const HEALTH_RECHECK_INTERVAL: Duration = Duration::from_millis(150);
/// Multiple of the route's objective after which a repeatable request may move on.
const MAX_WAIT_OBJECTIVES: u32 = 4;

/// A response that was read completely.
#[derive(Debug)]
pub(crate) struct BufferedResponse {
    pub(crate) head: http::response::Parts,
    pub(crate) body: BufferedResponseBody,
    pub(crate) framing: BodyFraming,
}

/// A streamed response whose head has arrived.
pub(crate) struct OpenStream {
    pub(crate) head: http::response::Parts,
    pub(crate) body: Incoming,
    pub(crate) start: u32,
    /// Build of the endpoint, as listed when the request was sent.
    pub(crate) build: BuildVersion,
    /// Whether it comes through another host.
    pub(crate) is_forwarded: bool,
    /// Dropping it closes the connection, so that the endpoint stops working.
    pub(crate) connection: Connection,
    /// Counts the stream as in flight.
    pub(crate) _in_flight: InFlightGuard,
    pub(crate) answer: AnswerHead,
    pub(crate) framing: BodyFraming,
    pub(crate) sent_at: Instant,
    /// The run at an endpoint that this host reaches itself, if its prompt has shared parts.
    pub(crate) observation: Option<RunObservation>,
}

impl OpenStream {
    /// Whether its connection can serve another request after the end of its body.
    pub(crate) fn keeps_connection(&self) -> bool {
        !self.answer.closes && (self.is_forwarded || self.framing != BodyFraming::CloseDelimited)
    }
}

/// A valid response head, with the connection and the body that follow it.
struct ReceivedHead {
    connection: Connection,
    head: http::response::Parts,
    body: Incoming,
    answer: AnswerHead,
    framing: BodyFraming,
    observation: Option<RunObservation>,
}

/// A request that was sent, and the response head that followed.
struct SentRequest {
    connection: Connection,
    response: Response<Incoming>,
    observation: Option<RunObservation>,
}

pub(crate) enum AttemptResponse {
    Buffered(BufferedResponse),
    Stream(Box<OpenStream>),
}

/// An attempt without a successful response.
pub(crate) struct AttemptFailure {
    pub(crate) end: AttemptOutcome,
    /// The endpoint's error response, if it may be passed on.
    pub(crate) response: Option<BufferedResponse>,
    /// The slot of a request that did not run.
    pub(crate) unused_lease: Option<Lease>,
}

impl AttemptFailure {
    pub(crate) fn new(end: AttemptOutcome) -> Self {
        Self {
            end,
            response: None,
            unused_lease: None,
        }
    }
}

/// Sends the request to one endpoint and waits for its response.
pub(crate) async fn attempt(
    shared: &Arc<Shared>,
    progress: &mut Progress,
    choice: &SelectedEndpoint,
    lease: Option<Lease>,
    resume_after: Option<u64>,
) -> Result<AttemptResponse, AttemptFailure> {
    let call = &*progress.call().clone();
    let start = choice.member.hash.short();
    let in_flight = InFlightGuard::begin(shared, call, progress.work(), start, lease);
    let started_at = Instant::now();
    let received = receive_head(shared, progress, choice, resume_after).await;
    let ReceivedHead {
        connection,
        head,
        body,
        answer,
        framing,
        observation,
    } = match received {
        Ok(answered) => answered,
        Err(mut failure) => {
            // A connection that breaks before the response takes no service time either: an
            // overloaded endpoint resets requests at once.
            let is_broken = failure.end == AttemptOutcome::Broken;
            if is_broken || failure.end.outcome() == Outcome::NotRun {
                failure.unused_lease = in_flight.mark_rejected();
            }
            return Err(failure);
        }
    };
    let is_success = head.status.is_success();
    let is_stream = matches!(call.route.kind, RouteKind::Stream { .. }) && is_success;
    if is_stream {
        let now_ms = shared.clock.now_ms();
        let mut fleet = shared.fleet();
        fleet.prefixes.record(&call.shared_parts, start, now_ms);
        drop(fleet);
        return Ok(AttemptResponse::Stream(Box::new(OpenStream {
            head,
            body,
            start,
            build: choice.member.endpoint.build.clone(),
            is_forwarded: false,
            connection,
            _in_flight: in_flight,
            answer,
            framing,
            sent_at: started_at,
            observation,
        })));
    }
    progress.record_first_byte(started_at.elapsed());
    let reading = ResponseReading {
        head,
        body,
        framing,
        unproductive: &connection.unproductive,
    };
    let buffered = reading.finish(shared, call).await?;
    let is_close_delimited = framing == BodyFraming::CloseDelimited;
    if let Some(observation) = observation.filter(|_| is_success) {
        shared.end_observation(observation, &choice.member.endpoint, framing);
    }
    if !is_close_delimited {
        shared.record_completed_run(call.fingerprint);
    }
    if !answer.closes && !is_close_delimited {
        shared
            .endpoint_connections
            .check_in(connection, answer.keep_alive_s);
    }
    if is_endpoint_failure(buffered.head.status) {
        return Err(endpoint_failure(call, buffered));
    }
    progress.record_response_end(Some(started_at.elapsed()));
    let now_ms = shared.clock.now_ms();
    shared
        .fleet()
        .record_signal(start, HealthSignal::Answer, now_ms);
    Ok(AttemptResponse::Buffered(buffered))
}

/// Sends the request and waits for a valid response head.
async fn receive_head(
    shared: &Arc<Shared>,
    progress: &mut Progress,
    choice: &SelectedEndpoint,
    resume_after: Option<u64>,
) -> Result<ReceivedHead, AttemptFailure> {
    let SentRequest {
        connection,
        response,
        observation,
    } = send(shared, progress, choice, resume_after).await?;
    let (head, body) = response.into_parts();
    let answer = shared.edge.read_answer(&head);
    // Recorded before the head is validated: the state that an endpoint reports also
    // holds when the request fails.
    let id = progress.call().head.id.as_ref();
    shared.record_endpoint_answer(&choice.member, &answer, id);
    progress.record_head(&answer);
    let framing = BodyFraming::of_response(&progress.call().method, &head);
    progress.record_framing(framing);
    let intended = &choice.member.endpoint.name;
    if let Some(end) = invalid_head(progress.call(), &head, &answer, Some(intended)) {
        if let Some(observation) = observation.filter(|_| end.outcome() == Outcome::NotRun) {
            observation.withdraw();
        }
        return Err(AttemptFailure::new(end));
    }
    let start = choice.member.hash.short();
    let now_ms = shared.clock.now_ms();
    shared.fleet().poison.record_alive(start, now_ms);
    if let Some(observation) = &observation {
        observation.record_head();
    }
    let framing = framing.ok_or_else(|| AttemptFailure::new(AttemptOutcome::Garbage))?;
    Ok(ReceivedHead {
        connection,
        head,
        body,
        answer,
        framing,
        observation,
    })
}

/// Returns why a response head is not valid for this request, if it is not.
pub(crate) fn invalid_head(
    call: &Call,
    head: &http::response::Parts,
    answer: &AnswerHead,
    intended: Option<&EndpointId>,
) -> Option<AttemptOutcome> {
    if answer.id != call.head.id {
        return Some(AttemptOutcome::Garbage);
    }
    if answer.is_of_another(intended) {
        return Some(AttemptOutcome::NotTheEndpoint);
    }
    if answer.says_not_run && !head.status.is_success() {
        return Some(AttemptOutcome::Refused);
    }
    let is_unsigned_success = head.status.is_success() && !answer.is_signed;
    is_unsigned_success.then_some(AttemptOutcome::Garbage)
}

/// Whether callers take a status for proof that their request did not run.
fn implies_not_run(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
    )
}

/// Whether a status is a failure of the endpoint, in a response that does not prove that the
/// request did not run.
pub(crate) fn is_endpoint_failure(status: StatusCode) -> bool {
    status.is_server_error() || implies_not_run(status)
}

/// A failure of the endpoint. For a request that must not be repeated, it is not passed on if
/// the caller would take it as proof that the request did not run.
pub(crate) fn endpoint_failure(call: &Call, buffered: BufferedResponse) -> AttemptFailure {
    let may_pass = call.repeatable() == Repeatable::Yes || !implies_not_run(buffered.head.status);
    AttemptFailure {
        end: AttemptOutcome::Failed,
        response: may_pass.then_some(buffered),
        unused_lease: None,
    }
}

/// Sends over an idle connection or a new one. If an idle one was closed before
/// anything was written, tries the next.
async fn send(
    shared: &Arc<Shared>,
    progress: &mut Progress,
    choice: &SelectedEndpoint,
    resume_after: Option<u64>,
) -> Result<SentRequest, AttemptFailure> {
    let call = &*progress.call().clone();
    let start = choice.member.hash.short();
    loop {
        let request = connection_request(shared, call, choice);
        let mut connection = match shared.endpoint_connections.acquire(&request).await {
            Ok(connection) => connection,
            Err(NoConnection::Failed(error)) => {
                progress.record_connect_error(error);
                return Err(AttemptFailure::new(AttemptOutcome::NotSent));
            }
            Err(NoConnection::AllInUse) => {
                shared
                    .metrics
                    .count("endpoint_connections_missed_total", "", 1);
                return Err(AttemptFailure::new(AttemptOutcome::Withdrawn));
            }
        };
        if !connection.is_reused {
            shared.metrics.count("endpoint_connections_total", "", 1);
        }
        let is_poison = shared.is_poison(call, shared.clock.now_ms());
        if is_poison || !may_still_send(shared, choice) {
            shared.endpoint_connections.return_unused(connection);
            return Err(AttemptFailure::new(AttemptOutcome::Withdrawn));
        }
        let request = endpoint_request(shared, call, choice, resume_after);
        let now_ms = shared.clock.now_ms();
        shared.fleet().health(start).record_sent(now_ms);
        progress.record_retry_sent();
        let observation = RunObservation::begin(shared, call, start);
        let end = match wait_for_head(shared, progress, start, &mut connection, request).await {
            Ok(response) => {
                let now_ms = shared.clock.now_ms();
                shared.fleet().health(start).record_received(now_ms);
                return Ok(SentRequest {
                    connection,
                    response,
                    observation,
                });
            }
            Err(end) => end,
        };
        if let Some(observation) = observation.filter(|_| end == AttemptOutcome::NotSent) {
            observation.withdraw();
        }
        if end != AttemptOutcome::NotSent || !connection.is_reused {
            return Err(AttemptFailure::new(end));
        }
    }
}

fn connection_request(
    shared: &Shared,
    call: &Call,
    choice: &SelectedEndpoint,
) -> ConnectionRequest {
    let endpoint = &choice.member.endpoint;
    let may_repeat = call.repeatable() == Repeatable::Yes;
    let max_open = shared.fleet().max_connections(&endpoint.pool);
    ConnectionRequest {
        target: ConnectionTarget::Endpoint(choice.member.hash.short()),
        address: endpoint.address,
        may_repeat,
        max_open,
        may_be_reset: max_open.is_some() && choice.load >= endpoint.slots,
        deadline: call.deadline(),
    }
}

/// Whether the chosen endpoint is still eligible. While the connection was opened, its
/// zone may have been evacuated, or it may have turned cold or begun to leave.
/// Opening a connection takes up to 400 ms.
fn may_still_send(shared: &Shared, choice: &SelectedEndpoint) -> bool {
    let now_ms = shared.clock.now_ms();
    shared.fleet().may_still_send(choice, now_ms)
}

fn endpoint_request(
    shared: &Shared,
    call: &Call,
    choice: &SelectedEndpoint,
    resume_after: Option<u64>,
) -> Request<SentBody> {
    let endpoint = &choice.member.endpoint;
    let send = SendHead {
        organisation: call.organisation(),
        endpoint: &endpoint.name,
        deadline_ms: call.remaining_ms(),
        priority: call.priority(),
        resume_after,
        holder: choice.holder,
    };
    let mut request = Request::new(Full::new(call.body.bytes.clone()));
    *request.method_mut() = call.method.clone();
    *request.uri_mut() = call.target.clone();
    *request.headers_mut() = shared.edge.endpoint_headers(&call.headers, &send);
    request
}

/// How long a repeatable request waits for a response head while another endpoint may serve
/// it.
pub(crate) fn max_head_wait(call: &Call) -> Duration {
    Duration::from_millis(call.route.objective_ms) * MAX_WAIT_OBJECTIVES
}

/// Waits for the response head. A repeatable request leaves an endpoint that is
/// silent or slow.
async fn wait_for_head(
    shared: &Shared,
    progress: &mut Progress,
    start: u32,
    connection: &mut Connection,
    mut request: Request<SentBody>,
) -> Result<Response<Incoming>, AttemptOutcome> {
    let call = progress.call().clone();
    connection.limit_answer(&mut request);
    let unproductive = connection.unproductive.clone();
    let sent_at = Instant::now();
    let sent_at_ms = shared.clock.now_ms();
    let max_wait = max_head_wait(&call);
    let mut answer = std::pin::pin!(connection.sender.try_send_request(request));
    loop {
        let recheck_at = call
            .deadline()
            .min(Instant::now() + HEALTH_RECHECK_INTERVAL);
        let answered = tokio::select! {
            answered = tokio::time::timeout_at(recheck_at, &mut answer) => answered,
            () = shared.wait_until_poison(&call) => return Err(AttemptOutcome::Recalled),
        };
        match answered {
            Ok(Ok(response)) => {
                unproductive.reset();
                return Ok(response);
            }
            Ok(Err(mut error)) => {
                let is_garbage = error.error().is_parse() || unproductive.is_exceeded();
                return Err(match error.take_message() {
                    Some(_unsent) => AttemptOutcome::NotSent,
                    None if is_garbage => AttemptOutcome::Garbage,
                    None => AttemptOutcome::Broken,
                });
            }
            Err(_) => {}
        }
        if Instant::now() >= call.deadline() {
            return Err(AttemptOutcome::Silent);
        }
        if shared.crash_checks.has_fallen_silent_since(start, sent_at) {
            return Err(AttemptOutcome::Broken);
        }
        let now_ms = shared.clock.now_ms();
        let is_silent = shared.fleet().health(start).is_silent(sent_at_ms, now_ms);
        if is_silent {
            progress.record_health(AttemptOutcome::Silent);
        }
        let is_overdue = is_silent || sent_at.elapsed() >= max_wait;
        if is_overdue && progress.may_leave_endpoint() {
            return Err(AttemptOutcome::Silent);
        }
    }
}

/// A response that is read to its end before any of it is passed on.
pub(crate) struct ResponseReading<'a> {
    pub(crate) head: http::response::Parts,
    pub(crate) body: Incoming,
    pub(crate) framing: BodyFraming,
    pub(crate) unproductive: &'a UnproductiveInput,
}

impl ResponseReading<'_> {
    pub(crate) async fn finish(
        self,
        shared: &Shared,
        call: &Call,
    ) -> Result<BufferedResponse, AttemptFailure> {
        let reading = read_within_budget(shared, call.organisation(), self.body, self.unproductive);
        match tokio::time::timeout_at(call.deadline(), reading).await {
            Ok(Some(body)) => Ok(BufferedResponse {
                head: self.head,
                body,
                framing: self.framing,
            }),
            Ok(None) => Err(AttemptFailure::new(AttemptOutcome::Broken)),
            Err(_) => Err(AttemptFailure::new(AttemptOutcome::Silent)),
        }
    }
}

/// Reads a body as the byte budget allows; the remainder stays at the endpoint.
/// Returns `None` if the body is too large or incomplete.
async fn read_within_budget(
    shared: &Shared,
    organisation: Option<&OrganisationId>,
    body: Incoming,
    unproductive: &UnproductiveInput,
) -> Option<BufferedResponseBody> {
    let announced_bytes = body.size_hint().lower() as usize;
    if announced_bytes > MAX_RESPONSE_BYTES {
        return None;
    }
    // Reserves the announced size up front, so that partly read bodies don't wait for
    // each other. One chunk is buffered by the connection and needs no reservation.
    let announced_bytes = announced_bytes.saturating_sub(MAX_CHUNK_BYTES);
    let mut reservation = shared.answers.hold(announced_bytes, organisation).await;
    let mut unused_bytes = announced_bytes + MAX_CHUNK_BYTES;
    let mut bytes = BytesMut::with_capacity(announced_bytes);
    let mut frames = Limited::new(body, MAX_RESPONSE_BYTES);
    while let Some(frame) = frames.frame().await {
        unproductive.reset();
        let Ok(data) = frame.ok()?.into_data() else {
            continue;
        };
        if data.len() > unused_bytes {
            let more_bytes = data.len() - unused_bytes;
            reservation.grow(more_bytes).await.ok()?;
        }
        unused_bytes = unused_bytes.saturating_sub(data.len());
        bytes.extend_from_slice(&data);
    }
    Some(BufferedResponseBody {
        remaining: bytes.freeze(),
        reservation: Some(reservation),
    })
}
