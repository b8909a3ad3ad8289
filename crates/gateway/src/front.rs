//! Callers' connections: accepts them, serves each request, ends them when
//! the host stops.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use chalkrock_core::RequestId;
use chalkrock_routing::{CallerLimits, DrainPhase};
use hyper::body::Incoming;
use hyper::header::{CONNECTION, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, http};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::Instant;

use crate::access_log::{AnnouncesLeaving, Completion, record, record_refusal};
use crate::answer::CallerBody;
use crate::attempt::{AttemptResponse, BufferedResponse};
use crate::call::enter;
use crate::caller_stream::{CallerStream, ConnectionState, ServedBody};
use crate::dispatch::dispatch;
use crate::edge::{Refusal, remove_connection_headers};
use crate::event_log::Event;
use crate::outage_log::OutageLog;
use crate::progress::Progress;
use crate::relay::Relay;
use crate::shared::Shared;

/// Pause after the system could not accept a connection.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// Header lines that a head may have.
const HEADERS_MAX: usize = 64;

/// Accepts callers until the host ends.
pub(crate) async fn accept(shared: Arc<Shared>, listener: TcpListener) {
    let mut outage = OutageLog::new("callers-socket");
    loop {
        let Ok(place) = shared.connection_permits.clone().acquire_owned().await else {
            return;
        };
        let stream = outage.accept(&shared, &listener, ACCEPT_PAUSE).await;
        let shared = shared.clone();
        tokio::spawn(async move {
            connection(shared, stream).await;
            drop(place);
        });
    }
}

/// Serves one connection until either side ends it.
async fn connection(shared: Arc<Shared>, stream: TcpStream) {
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let limits = shared
        .rules()
        .map_or_else(CallerLimits::default, |rules| *rules.limits());
    let turn = Arc::new(ConnectionState::default());
    let head_timeout = Duration::from_millis(limits.head_timeout_ms);
    let unread_timeout = Duration::from_millis(limits.idle_timeout_ms);
    let stream = CallerStream::new(stream, turn.clone(), head_timeout, unread_timeout);
    let service = service_fn(|request| {
        let shared = shared.clone();
        let serving = turn.begin_serving();
        async move {
            let response = serve(shared, request).await;
            Ok::<_, Infallible>(response.map(|body| ServedBody {
                body,
                _serving: serving,
            }))
        }
    });
    let mut served = std::pin::pin!(
        http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(Duration::from_millis(limits.idle_timeout_ms))
            .max_buf_size(limits.head_max_bytes.max(MIN_BUFFER_BYTES))
            .max_headers(HEADERS_MAX)
            .serve_connection(TokioIo::new(stream), service)
    );
    let is_over = tokio::select! {
        _callers_may_break_off = served.as_mut() => true,
        () = shared.wait_for_stop_phase(DrainPhase::Drains) => false,
    };
    if !is_over {
        served.as_mut().graceful_shutdown();
        let _callers_may_break_off = served.await;
    }
    if turn.was_late() {
        shared.metrics.count("slow_heads_total", "", 1);
        shared.event_log.emit(&Event::SlowHead {
            after_ms: limits.head_timeout_ms,
        });
    }
}

/// The least buffer that the HTTP library takes.
const MIN_BUFFER_BYTES: usize = 8 * 1024;

/// Serves one request.
async fn serve(shared: Arc<Shared>, request: Request<Incoming>) -> Response<CallerBody> {
    let entered_at = Instant::now();
    let running = shared.run();
    let (parts, body) = request.into_parts();
    let read = shared.edge.read_call(&parts);
    let request = Request::from_parts(parts, body);
    let head = match read {
        Ok(head) => head,
        Err(refusal) => return refuse(&shared, None, entered_at, refusal),
    };
    let id = head.id.clone();
    let call = match enter(&shared, request, head, entered_at).await {
        Ok(call) => Arc::new(call),
        Err(refusal) => return refuse(&shared, id.as_ref(), entered_at, refusal),
    };
    let mut leaving = AnnouncesLeaving::new(shared.clone(), call.clone());
    let mut progress = Progress::new(shared.clone(), call.clone());
    let resume_after = call.head.resume_after;
    let opened = dispatch(&shared, &mut progress, resume_after).await;
    leaving.is_over = true;
    let response = match opened {
        Ok(AttemptResponse::Buffered(whole)) => {
            let status = whole.head.status.as_u16();
            record(
                &shared,
                &call,
                progress.take_attempts(),
                Completion::answered(status),
            );
            whole_answer(&shared, whole)
        }
        Ok(AttemptResponse::Stream(stream)) => {
            let relay = Relay::new(shared.clone(), progress, stream, running);
            stream_answer(&shared, relay)
        }
        Err(refusal) => {
            let mut ending = Completion {
                status: 0,
                outcome: refusal.outcome(),
                reason: Some(refusal.reason),
                detail: refusal.detail.clone(),
            };
            let answer = refusal.into_answer(&*shared.edge, call.head.id.as_ref());
            ending.status = answer.status().as_u16();
            record(&shared, &call, progress.take_attempts(), ending);
            answer
        }
    };
    last_if_due(&shared, response)
}

fn whole_answer(shared: &Shared, whole: BufferedResponse) -> Response<CallerBody> {
    let mut response = Response::new(CallerBody::Whole(whole.body));
    *response.status_mut() = whole.head.status;
    *response.headers_mut() = caller_headers(shared, &whole.head);
    response
}

fn stream_answer(shared: &Shared, relay: Relay) -> Response<CallerBody> {
    let (status, headers) = relay
        .head()
        .map(|head| (head.status, caller_headers(shared, head)))
        .unwrap_or_default();
    let mut response = Response::new(CallerBody::Events(relay.into_events()));
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    response
}

fn caller_headers(shared: &Shared, head: &http::response::Parts) -> http::HeaderMap {
    let mut headers = shared.edge.caller_headers(&head.headers);
    remove_connection_headers(&mut headers);
    headers.remove(hyper::header::CONTENT_LENGTH);
    headers
}

fn refuse(
    shared: &Shared,
    id: Option<&RequestId>,
    entered_at: Instant,
    refusal: Refusal,
) -> Response<CallerBody> {
    record_refusal(shared, id, entered_at, &refusal);
    let answer = refusal.into_answer(&*shared.edge, id);
    last_if_due(shared, answer)
}

/// A host that stops ends each connection with its next answer, and so does one
/// whose places for connections are half taken: connections that rest would
/// come to take them all, and new callers would wait to be accepted while
/// nothing is done.
fn last_if_due(shared: &Shared, mut response: Response<CallerBody>) -> Response<CallerBody> {
    let free = shared.connection_permits.available_permits();
    let is_crowded = free < shared.config.connections_max / 2;
    if is_crowded || shared.stop_phase().is_some() {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(CONNECTION, close);
    }
    response
}
