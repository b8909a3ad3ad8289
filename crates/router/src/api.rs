//! Routes of the callers' API.

use std::sync::Arc;

use axum::Json;
use axum::Router;
use axum::extract::State as Extract;
use axum::http::{HeaderMap, StatusCode, Uri};
use axum::response::{IntoResponse, Response};
use axum::routing::{any, get, post};
use chalkrock_core::PoolKind;
use serde_json::json;

use crate::chat;
use crate::entry::authenticate;
use crate::operators;
use crate::service_calls;
use crate::state::State;

/// Builds the callers' routes.
pub(crate) fn app(state: Arc<State>) -> Router {
    Router::new()
        .route("/v1/chat/completions", post(chat::chat))
        .route("/v1/models", get(models))
        .route("/services/{name}", any(service_calls::call))
        .route("/services/{name}/{*path}", any(service_calls::call))
        .route("/healthz", get(operators::health))
        .route("/readyz", get(operators::ready))
        .fallback(not_found)
        .with_state(state)
}

async fn models(Extract(state): Extract<Arc<State>>, headers: HeaderMap) -> Response {
    let request = state.next_request_id();
    let view = state.view.load_full();
    if let Err(refusal) = authenticate(&view, &headers) {
        return refusal.into_answer(&request);
    }
    let mut data = Vec::new();
    for pool in &view.config.pools {
        if let PoolKind::Engines { models } = &pool.kind {
            data.extend(
                models
                    .iter()
                    .map(|model| json!({"id": model, "object": "model", "owned_by": pool.name})),
            );
        }
    }
    Json(json!({"object": "list", "data": data})).into_response()
}

async fn not_found(uri: Uri) -> Response {
    let message = format!("no route for {}", uri.path());
    let body = json!({"error": {"type": "not-found", "message": message, "outcome": "not-run"}});
    (StatusCode::NOT_FOUND, Json(body)).into_response()
}
