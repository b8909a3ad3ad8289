//! One attempt: a request goes to one endpoint, and its answer comes or not.

use std::sync::Arc;
use std::time::Duration;

use bytes::BytesMut;
use chalkrock_core::{OrganisationId, Outcome};
use chalkrock_routing::{AttemptOutcome, HealthSignal, Repeatable, RouteKind};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::{Body, Incoming};
use hyper::{Request, Response, StatusCode, http};
use tokio::time::Instant;

use crate::answer::{PIECE_BYTES, WholeBody};
use crate::call::Call;
use crate::edge::{AnswerHead, SendHead};
use crate::fleet::SelectedEndpoint;
use crate::progress::Progress;
use crate::shared::{InFlightGuard, Shared};
use crate::upstream::{Connection, SentBody, connect};

/// Largest answer that is read whole.
const ANSWER_MAX_BYTES: usize = 8 * 1024 * 1024;
/// How often a wait for an answer looks at the endpoint's health.
const HEALTH_RECHECK_INTERVAL: Duration = Duration::from_millis(150);
/// Objectives after which a request that may be repeated is not left waiting.
const MAX_WAIT_OBJECTIVES: u32 = 4;

/// An answer that was read whole.
#[derive(Debug)]
pub(crate) struct BufferedResponse {
    pub(crate) head: http::response::Parts,
    pub(crate) body: WholeBody,
}

/// A stream that an endpoint has begun.
pub(crate) struct OpenStream {
    pub(crate) head: http::response::Parts,
    pub(crate) body: Incoming,
    pub(crate) short: u32,
    /// Kept while the stream runs; dropped, the endpoint stops.
    pub(crate) connection: Connection,
    /// Counts the stream while it runs.
    pub(crate) _on_endpoint: InFlightGuard,
    pub(crate) answer: AnswerHead,
    /// When the request was sent.
    pub(crate) sent_at: Instant,
}

/// What an endpoint gave.
pub(crate) enum AttemptResponse {
    Buffered(BufferedResponse),
    Stream(Box<OpenStream>),
}

/// An attempt that brought no answer to pass on at once.
pub(crate) struct Failure {
    pub(crate) end: AttemptOutcome,
    /// The endpoint's own answer, if it gave one.
    pub(crate) answer: Option<BufferedResponse>,
}

impl Failure {
    fn of(end: AttemptOutcome) -> Self {
        Self { end, answer: None }
    }
}

/// Sends once, to one endpoint.
pub(crate) async fn attempt(
    shared: &Arc<Shared>,
    progress: &mut Progress,
    choice: &SelectedEndpoint,
    resume_after: Option<u64>,
) -> Result<AttemptResponse, Failure> {
    let call = &*progress.call().clone();
    let short = choice.member.hash.short();
    let on_endpoint = InFlightGuard::begin(shared, call, short);
    let began_at = Instant::now();
    let answered = answered(shared, progress, choice, resume_after).await;
    let (connection, head, body, answer) = match answered {
        Ok(answered) => answered,
        Err(failure) => {
            if failure.end.outcome() == Outcome::NotRun {
                on_endpoint.mark_rejected();
            }
            return Err(failure);
        }
    };
    let is_stream = matches!(call.route.kind, RouteKind::Stream { .. }) && head.status.is_success();
    if is_stream {
        let now_ms = shared.clock.now_ms();
        let mut fleet = shared.fleet();
        fleet.prefixes.record(&call.shared_parts, short, now_ms);
        drop(fleet);
        return Ok(AttemptResponse::Stream(Box::new(OpenStream {
            head,
            body,
            short,
            connection,
            _on_endpoint: on_endpoint,
            answer,
            sent_at: began_at,
        })));
    }
    progress.answer_began(began_at.elapsed());
    let whole = read_whole(shared, call, head, body).await?;
    shared.record_completed_run(call.fingerprint);
    if !answer.closes {
        shared
            .upstream
            .check_in(short, connection, answer.keep_alive_s);
    }
    if whole.head.status.is_server_error() {
        return Err(failed(call, whole));
    }
    progress.answer_ended(Some(began_at.elapsed()));
    let now_ms = shared.clock.now_ms();
    shared
        .fleet()
        .record_signal(short, HealthSignal::Answer, now_ms);
    Ok(AttemptResponse::Buffered(whole))
}

/// Sends and waits for the head of this request's answer.
async fn answered(
    shared: &Arc<Shared>,
    progress: &mut Progress,
    choice: &SelectedEndpoint,
    resume_after: Option<u64>,
) -> Result<(Connection, http::response::Parts, Incoming, AnswerHead), Failure> {
    let (connection, response) = send(shared, progress, choice, resume_after).await?;
    let (head, body) = response.into_parts();
    let answer = shared.edge.read_answer(&head);
    // Before it is known what else the answer is good for: an endpoint's word on itself
    // holds also where the request fails. Read on some ways only, it would be passed
    // over on the others.
    let id = progress.call().head.id.as_ref();
    shared.record_endpoint_answer(&choice.member, &answer, id);
    progress.head_came(&answer);
    match not_an_answer(progress.call(), &head, &answer) {
        Some(end) => Err(Failure::of(end)),
        None => Ok((connection, head, body, answer)),
    }
}

/// Why a head is not the answer to this request, if it is not.
fn not_an_answer(
    call: &Call,
    head: &http::response::Parts,
    answer: &AnswerHead,
) -> Option<AttemptOutcome> {
    if answer.id != call.head.id {
        return Some(AttemptOutcome::Garbage);
    }
    if answer.is_other_endpoint {
        return Some(AttemptOutcome::NotTheEndpoint);
    }
    if answer.says_not_run && !head.status.is_success() {
        return Some(AttemptOutcome::Refused);
    }
    let is_unsigned_success = head.status.is_success() && !answer.is_signed;
    is_unsigned_success.then_some(AttemptOutcome::Garbage)
}

/// An endpoint's own failure. One whose status would promise the caller that
/// the request did not run is not passed on for a request that may not be
/// repeated, since the endpoint promised nothing.
fn failed(call: &Call, whole: BufferedResponse) -> Failure {
    let promises = whole.head.status == StatusCode::SERVICE_UNAVAILABLE;
    let answer = (!promises || call.repeatable() == Repeatable::Yes).then_some(whole);
    Failure {
        end: AttemptOutcome::Failed,
        answer,
    }
}

/// Sends over a kept connection or a new one. A kept one that turns out to be
/// closed before anything was written is followed by a new one.
async fn send(
    shared: &Arc<Shared>,
    progress: &Progress,
    choice: &SelectedEndpoint,
    resume_after: Option<u64>,
) -> Result<(Connection, Response<Incoming>), Failure> {
    let call = &**progress.call();
    let may_repeat = call.repeatable() == Repeatable::Yes;
    let short = choice.member.hash.short();
    let endpoint = &choice.member.endpoint;
    loop {
        let kept = shared.upstream.checkout(short, may_repeat);
        let mut connection = match kept {
            Some(connection) => connection,
            None => {
                shared.metrics.count("endpoint_connections_total", "", 1);
                let opened = connect(endpoint.address).await;
                opened.ok_or_else(|| Failure::of(AttemptOutcome::NotSent))?
            }
        };
        if !may_still_send(shared, choice) {
            shared.upstream.give_back(short, connection);
            return Err(Failure::of(AttemptOutcome::Withdrawn));
        }
        let request = request_for(shared, call, choice, resume_after);
        let now_ms = shared.clock.now_ms();
        shared.fleet().health(short).record_sent(now_ms);
        match answer_of(shared, progress, short, &mut connection, request).await {
            Ok(response) => {
                let now_ms = shared.clock.now_ms();
                shared.fleet().health(short).record_received(now_ms);
                return Ok((connection, response));
            }
            Err(AttemptOutcome::NotSent) if connection.is_kept => {}
            Err(end) => return Err(Failure::of(end)),
        }
    }
}

/// Whether an endpoint that was chosen may still be sent the request: opening a
/// connection takes up to 400 ms, in which its zone may have been evacuated, or
/// it may have turned cold or begun to leave.
fn may_still_send(shared: &Shared, choice: &SelectedEndpoint) -> bool {
    let now_ms = shared.clock.now_ms();
    shared.fleet().may_still_send(choice, now_ms)
}

fn request_for(
    shared: &Shared,
    call: &Call,
    choice: &SelectedEndpoint,
    resume_after: Option<u64>,
) -> Request<SentBody> {
    let endpoint = &choice.member.endpoint;
    let send = SendHead {
        organisation: call.organisation(),
        endpoint: &endpoint.name,
        deadline_ms: call.left_ms(),
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

/// Waits for the head of the answer. A request that may be repeated is not
/// left with an endpoint that has gone silent.
async fn answer_of(
    shared: &Shared,
    progress: &Progress,
    short: u32,
    connection: &mut Connection,
    request: Request<SentBody>,
) -> Result<Response<Incoming>, AttemptOutcome> {
    let call = progress.call();
    let sent_at = Instant::now();
    let sent_at_ms = shared.clock.now_ms();
    let patience = Duration::from_millis(call.route.objective_ms) * MAX_WAIT_OBJECTIVES;
    let mut answer = std::pin::pin!(connection.sender.try_send_request(request));
    loop {
        let look_at = call
            .deadline()
            .min(Instant::now() + HEALTH_RECHECK_INTERVAL);
        let answered = tokio::select! {
            answered = tokio::time::timeout_at(look_at, &mut answer) => answered,
            () = shared.wait_until_poison(call.fingerprint) => return Err(AttemptOutcome::Recalled),
        };
        match answered {
            Ok(Ok(response)) => return Ok(response),
            Ok(Err(mut error)) => {
                return Err(match error.take_message() {
                    Some(_unsent) => AttemptOutcome::NotSent,
                    None if error.error().is_parse() => AttemptOutcome::Garbage,
                    None => AttemptOutcome::Broken,
                });
            }
            Err(_) => {}
        }
        if Instant::now() >= call.deadline() {
            return Err(AttemptOutcome::Silent);
        }
        let now_ms = shared.clock.now_ms();
        let is_silent = shared.fleet().health(short).is_silent(sent_at_ms, now_ms);
        if is_silent {
            progress.suspect(AttemptOutcome::Silent);
        }
        let is_late = is_silent || sent_at.elapsed() >= patience;
        if is_late && progress.may_leave() {
            return Err(AttemptOutcome::Silent);
        }
    }
}

/// Reads an answer whole before a byte of it is passed on.
async fn read_whole(
    shared: &Shared,
    call: &Call,
    head: http::response::Parts,
    body: Incoming,
) -> Result<BufferedResponse, Failure> {
    let reading = read_into_room(shared, call.organisation(), body);
    match tokio::time::timeout_at(call.deadline(), reading).await {
        Ok(Some(body)) => Ok(BufferedResponse { head, body }),
        Ok(None) => Err(Failure::of(AttemptOutcome::Broken)),
        Err(_) => Err(Failure::of(AttemptOutcome::Silent)),
    }
}

/// Reads a body as there is room for it; meanwhile it stays with its endpoint. `None` if
/// it breaks off or is too large.
async fn read_into_room(
    shared: &Shared,
    organisation: Option<&OrganisationId>,
    body: Incoming,
) -> Option<WholeBody> {
    let announced = body.size_hint().lower() as usize;
    if announced > ANSWER_MAX_BYTES {
        return None;
    }
    // What is announced has room from the start, so that answers that are half read
    // don't wait for each other's room. What a connection keeps anyway needs none.
    let announced = announced.saturating_sub(PIECE_BYTES);
    let mut held = shared.answers.hold(announced, organisation).await;
    let mut left = announced + PIECE_BYTES;
    let mut bytes = BytesMut::with_capacity(announced);
    let mut frames = Limited::new(body, ANSWER_MAX_BYTES);
    while let Some(frame) = frames.frame().await {
        let Ok(data) = frame.ok()?.into_data() else {
            continue;
        };
        if data.len() > left {
            let more = shared.answers.hold(data.len() - left, organisation);
            held.merge(more.await);
        }
        left = left.saturating_sub(data.len());
        bytes.extend_from_slice(&data);
    }
    Some(WholeBody {
        bytes: bytes.freeze(),
        held: Some(held),
    })
}
