//! Serves readiness and metrics to the entry balancer and operators' tools.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode, body};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::TcpListener;

use crate::outage_log::OutageLog;
use crate::shared::Shared;

/// Time after which an idle connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// Pause after a connection could not be accepted.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
const METRICS_PATH: &str = "/metrics";

/// Serves one address until the process ends.
pub(crate) async fn serve_status(shared: Arc<Shared>, listener: TcpListener) {
    let mut outage = OutageLog::new("status-socket");
    loop {
        let stream = outage.accept(&shared, &listener, ACCEPT_PAUSE).await;
        let shared = shared.clone();
        tokio::spawn(async move {
            let service = service_fn(|request: Request<body::Incoming>| {
                let answer = answer(&shared, request.uri().path());
                async move { Ok::<_, Infallible>(answer) }
            });
            let served = http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(IDLE_TIMEOUT)
                .serve_connection(TokioIo::new(stream), service);
            let _clients_may_disconnect = served.await;
        });
    }
}

fn answer(shared: &Shared, path: &str) -> Response<Full<Bytes>> {
    if path == shared.edge.ready_path() {
        return with_status(if shared.is_ready() {
            StatusCode::OK
        } else {
            StatusCode::SERVICE_UNAVAILABLE
        });
    }
    if path == METRICS_PATH {
        return Response::new(Full::new(Bytes::from(crate::metrics::render(shared))));
    }
    with_status(StatusCode::NOT_FOUND)
}

fn with_status(status: StatusCode) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::default());
    *response.status_mut() = status;
    response
}
