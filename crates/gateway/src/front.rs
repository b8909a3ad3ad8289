//! Accepts callers' connections and serves the requests on them.

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

use crate::access_log::{Completion, record, record_refusal};
use crate::answer::ResponseBody;
use crate::attempt::{AttemptResponse, BufferedResponse};
use crate::call::prepare_call;
use crate::caller_stream::{CallerStream, ConnectionState};
use crate::dispatch::dispatch;
use crate::edge::{Refusal, remove_connection_headers};
use crate::event_log::Event;
use crate::outage_log::OutageLog;
use crate::progress::Progress;
use crate::relay::StreamRelay;
use crate::shared::Shared;

/// Delay before the next attempt when the system fails to accept a connection.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// How long a stopping host waits for the first request of a new connection before it closes
/// it: round trips to callers take a few milliseconds.
const FIRST_REQUEST_WAIT: Duration = Duration::from_millis(300);
/// Maximum number of header lines in a request head.
const MAX_HEADERS: usize = 64;

/// Accepts connections until the host stops.
pub(crate) async fn accept(shared: Arc<Shared>, listener: TcpListener) {
    let mut outage = OutageLog::new("callers-socket");
    loop {
        let Ok(permit) = shared.connection_permits.clone().acquire_owned().await else {
            return;
        };
        let stream = outage.accept(&shared, &listener, ACCEPT_RETRY_DELAY).await;
        let shared = shared.clone();
        tokio::spawn(async move {
            serve_connection(shared, stream).await;
            drop(permit);
        });
    }
}

/// Serves one connection until either side closes it.
async fn serve_connection(shared: Arc<Shared>, stream: TcpStream) {
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let limits = shared
        .rules()
        .map_or_else(CallerLimits::default, |rules| *rules.limits());
    let state = Arc::new(ConnectionState::default());
    let head_timeout = Duration::from_millis(limits.head_timeout_ms);
    let unread_timeout = Duration::from_millis(limits.idle_timeout_ms);
    let stream = CallerStream::new(stream, state.clone(), head_timeout, unread_timeout);
    let service = service_fn(|request: Request<Incoming>| {
        let shared = shared.clone();
        let serving = state.begin_serving();
        async move {
            let (method, version) = (request.method().clone(), request.version());
            let running = shared.begin_request();
            let response = serve(shared, request).await;
            Ok::<_, Infallible>(serving.respond(&method, version, response, running))
        }
    });
    let mut connection = std::pin::pin!(
        http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(Duration::from_millis(limits.idle_timeout_ms))
            .max_buf_size(limits.head_max_bytes.max(MIN_BUFFER_BYTES))
            .max_headers(MAX_HEADERS)
            .serve_connection(TokioIo::new(stream), service)
    );
    let mut is_closed = tokio::select! {
        _callers_may_disconnect = connection.as_mut() => true,
        () = shared.wait_for_stop_phase(DrainPhase::Draining) => false,
    };
    if !is_closed && !state.has_received_head() {
        // The first request of a new connection is on its way, and gets a refusal.
        let closing = tokio::time::timeout(FIRST_REQUEST_WAIT, connection.as_mut());
        is_closed = closing.await.is_ok();
    }
    if !is_closed {
        connection.as_mut().graceful_shutdown();
        let _callers_may_disconnect = connection.await;
    }
    if state.head_timed_out() {
        shared.metrics.count("slow_heads_total", "", 1);
        shared.event_log.emit(&Event::SlowHead {
            after_ms: limits.head_timeout_ms,
        });
    }
}

/// The smallest buffer size that the HTTP library accepts.
const MIN_BUFFER_BYTES: usize = 8 * 1024;

async fn serve(shared: Arc<Shared>, request: Request<Incoming>) -> Response<ResponseBody> {
    let entered_at = Instant::now();
    let (parts, body) = request.into_parts();
    let head_result = shared.edge.read_call(&parts);
    let request = Request::from_parts(parts, body);
    let head = match head_result {
        Ok(head) => head,
        Err(refusal) => return refuse(&shared, None, entered_at, refusal),
    };
    let id = head.id.clone();
    let call = match prepare_call(&shared, request, head, entered_at).await {
        Ok(call) => Arc::new(call),
        Err(refusal) => return refuse(&shared, id.as_ref(), entered_at, refusal),
    };
    let mut progress = Progress::new(shared.clone(), call.clone());
    let resume_after = call.head.resume_after;
    let dispatched = dispatch(&shared, &mut progress, resume_after).await;
    let response = match dispatched {
        Ok(AttemptResponse::Buffered(buffered)) => {
            let status = buffered.head.status.as_u16();
            record(
                &shared,
                &call,
                progress.take_attempts(),
                Completion::answered(status),
            );
            buffered_response(&shared, buffered)
        }
        Ok(AttemptResponse::Stream(stream)) => {
            let relay = StreamRelay::new(shared.clone(), progress, stream);
            stream_response(&shared, relay)
        }
        Err(refusal) => {
            let mut completion = Completion {
                status: 0,
                outcome: refusal.outcome(),
                reason: Some(refusal.reason),
                detail: refusal.detail.clone(),
                retry_after_ms: refusal.retry_after_ms,
            };
            let response = refusal.into_response(&*shared.edge, call.head.id.as_ref());
            completion.status = response.status().as_u16();
            record(&shared, &call, progress.take_attempts(), completion);
            response
        }
    };
    close_if_needed(&shared, response)
}

fn buffered_response(shared: &Shared, buffered: BufferedResponse) -> Response<ResponseBody> {
    let body = ResponseBody::Buffered(buffered.body).framed(buffered.framing);
    let mut response = Response::new(body);
    *response.status_mut() = buffered.head.status;
    *response.headers_mut() = caller_headers(shared, &buffered.head);
    response
}

fn stream_response(shared: &Shared, relay: StreamRelay) -> Response<ResponseBody> {
    let (status, headers) = relay
        .head()
        .map(|head| (head.status, caller_headers(shared, head)))
        .unwrap_or_default();
    let framing = relay.framing();
    let body = ResponseBody::Events(relay.into_events()).framed(framing);
    let mut response = Response::new(body);
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    response
}

pub(crate) fn caller_headers(shared: &Shared, head: &http::response::Parts) -> http::HeaderMap {
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
) -> Response<ResponseBody> {
    record_refusal(shared, id, entered_at, &refusal);
    let response = refusal.into_response(&*shared.edge, id);
    close_if_needed(shared, response)
}

/// Closes the connection after this response if the host stops or half of its
/// connection permits are in use. Idle connections could otherwise hold all
/// permits and block new callers.
fn close_if_needed(
    shared: &Shared,
    mut response: Response<ResponseBody>,
) -> Response<ResponseBody> {
    let free = shared.connection_permits.available_permits();
    let is_crowded = free < shared.config.connections_max / 2;
    if is_crowded || shared.stop_phase().is_some() {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(CONNECTION, close);
    }
    response
}
