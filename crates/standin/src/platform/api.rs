//! HTTP API of the platform, with conditional requests for table rows.

use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::Arc;

use axum::extract::{Path, Request, State};
use axum::http::header::{ETAG, IF_MATCH, IF_NONE_MATCH};
use axum::http::{HeaderMap, Method, StatusCode};
use axum::middleware::{self, Next};
use axum::response::{IntoResponse, Response};
use axum::routing::{get, post};
use axum::{Json, Router};
use chalkrock_core::HostList;

use super::store::{CallKind, Condition, RowWrite, Store, WriteOutcome};
use crate::faults::{Faults, SharedFaults};

#[derive(Clone)]
struct Api {
    store: Arc<Store>,
    faults: SharedFaults,
}

pub(super) fn app(store: Arc<Store>, faults: SharedFaults) -> Router {
    let api = Api { store, faults };
    Router::new()
        .route("/v1/table/{key}", get(read_row).put(write_row))
        .route("/v1/table-batch", post(write_batch))
        .route("/v1/objects/{key}", get(read_object).put(write_object))
        .route("/v1/hosts", get(hosts))
        .layer(middleware::from_fn_with_state(api.clone(), apply_faults))
        .route("/hosts", post(set_hosts))
        .route("/faults", post(set_faults))
        .with_state(api)
}

/// Applies faults and rate limits to each call.
async fn apply_faults(State(api): State<Api>, request: Request, next: Next) -> Response {
    if api.faults.get().down {
        return StatusCode::SERVICE_UNAVAILABLE.into_response();
    }
    let kind = if request.method() == Method::GET {
        CallKind::Read
    } else {
        CallKind::Write
    };
    if !api.store.admit(kind) {
        return StatusCode::TOO_MANY_REQUESTS.into_response();
    }
    api.faults.delay().await;
    let response = next.run(request).await;
    let loses_answer = matches!(kind, CallKind::Write) && api.faults.get().lose_answers;
    if loses_answer {
        return StatusCode::GATEWAY_TIMEOUT.into_response();
    }
    response
}

async fn read_row(State(api): State<Api>, Path(key): Path<String>) -> Response {
    match api.store.read(&key) {
        Some(row) => (etag(row.version), row.value).into_response(),
        None => StatusCode::NOT_FOUND.into_response(),
    }
}

async fn write_row(
    State(api): State<Api>,
    Path(key): Path<String>,
    headers: HeaderMap,
    value: String,
) -> Response {
    let Some(expect) = parse_condition(&headers) else {
        return StatusCode::PRECONDITION_REQUIRED.into_response();
    };
    match api.store.write(RowWrite { key, value, expect }) {
        WriteOutcome::Written(version) => etag(version).into_response(),
        WriteOutcome::Conflict(row) => (StatusCode::PRECONDITION_FAILED, Json(row)).into_response(),
    }
}

async fn write_batch(State(api): State<Api>, Json(writes): Json<Vec<RowWrite>>) -> Response {
    Json(api.store.write_all(writes)).into_response()
}

async fn read_object(State(api): State<Api>, Path(key): Path<String>) -> Response {
    match api.store.read_object(&key) {
        Some(body) => body.into_response(),
        None => StatusCode::NOT_FOUND.into_response(),
    }
}

async fn write_object(State(api): State<Api>, Path(key): Path<String>, body: String) -> StatusCode {
    api.store.write_object(key, body);
    StatusCode::OK
}

async fn hosts(State(api): State<Api>, headers: HeaderMap) -> Response {
    let list = api.store.hosts();
    let text = serde_json::to_string(&list).unwrap_or_default();
    let mut hasher = DefaultHasher::new();
    text.hash(&mut hasher);
    let etag = format!("\"{:016x}\"", hasher.finish());
    if headers
        .get(IF_NONE_MATCH)
        .is_some_and(|known| known == etag.as_str())
    {
        return StatusCode::NOT_MODIFIED.into_response();
    }
    ([(ETAG, etag)], text).into_response()
}

async fn set_hosts(State(api): State<Api>, Json(hosts): Json<HostList>) -> StatusCode {
    api.store.set_hosts(hosts);
    StatusCode::OK
}

async fn set_faults(State(api): State<Api>, Json(faults): Json<Faults>) -> StatusCode {
    api.faults.set(faults);
    StatusCode::OK
}

fn etag(version: u64) -> [(axum::http::HeaderName, String); 1] {
    [(ETAG, format!("\"{version}\""))]
}

fn parse_condition(headers: &HeaderMap) -> Option<Condition> {
    if headers.get(IF_NONE_MATCH).is_some_and(|value| value == "*") {
        return Some(Condition::Absent);
    }
    let tag = headers.get(IF_MATCH)?.to_str().ok()?;
    tag.trim_matches('"').parse().ok().map(Condition::Version)
}
