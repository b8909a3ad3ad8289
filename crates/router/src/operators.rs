//! Operators' API: health, readiness, metrics and explanations.

use std::sync::Arc;
use std::time::Duration;

use axum::Json;
use axum::Router;
use axum::extract::{Path, State as Extract};
use axum::http::{HeaderMap, StatusCode};
use axum::response::{IntoResponse, Response};
use axum::routing::get;
use chalkrock_core::{RequestId, key_digest};

use crate::entry::bearer_token;
use crate::explain::Lookup;
use crate::refusal::operator_error;
use crate::state::State;

/// Age of the view from which the router is not ready.
const MAX_VIEW_AGE: Duration = Duration::from_secs(30);

pub(crate) fn app(state: Arc<State>) -> Router {
    Router::new()
        .route("/healthz", get(health))
        .route("/readyz", get(ready))
        .route("/metrics", get(metrics))
        .route("/debug/requests/{id}", get(explain))
        .with_state(state)
}

/// Liveness check.
pub(crate) async fn health() -> &'static str {
    "ok"
}

/// Readiness check for the load balancer.
pub(crate) async fn ready(Extract(state): Extract<Arc<State>>) -> (StatusCode, &'static str) {
    let unavailable = StatusCode::SERVICE_UNAVAILABLE;
    let view = state.view.load();
    if state.stop.is_requested() {
        return (unavailable, "leaving");
    }
    if !view.is_complete() {
        return (unavailable, "no view yet");
    }
    if !view.has_endpoints() {
        return (unavailable, "no live endpoint");
    }
    if view.confirmed_at.elapsed() > MAX_VIEW_AGE {
        return (unavailable, "agent away");
    }
    (StatusCode::OK, "ready")
}

async fn metrics(Extract(state): Extract<Arc<State>>) -> String {
    let view = state.view.load();
    state
        .metrics
        .gauge("config_version", "", view.config_version.0 as f64);
    state
        .metrics
        .gauge("view_hosts", "", view.hosts.hosts.len() as f64);
    state
        .metrics
        .gauge("view_endpoints", "", view.hosts.endpoints.len() as f64);
    for (labels, bytes) in state.traffic.bytes_by_label() {
        state
            .metrics
            .gauge("control_bytes_total", &labels, bytes as f64);
    }
    state.metrics.render()
}

async fn explain(
    Extract(state): Extract<Arc<State>>,
    Path(id): Path<String>,
    headers: HeaderMap,
) -> Response {
    let known = |key: &str| {
        state
            .settings
            .operator_key_sha256
            .contains(&key_digest(key))
    };
    if !bearer_token(&headers).is_some_and(known) {
        return operator_error(
            StatusCode::UNAUTHORIZED,
            "send Authorization: Bearer OPERATOR_KEY",
        );
    }
    match state.recorder.ask(Lookup(RequestId::new(id))).await {
        Ok(Some(explanation)) => Json(&*explanation).into_response(),
        Ok(None) => operator_error(
            StatusCode::NOT_FOUND,
            "this host keeps no explanation of this request",
        ),
        Err(_) => operator_error(
            StatusCode::SERVICE_UNAVAILABLE,
            "the recorder is not running",
        ),
    }
}
