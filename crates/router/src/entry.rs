//! Admission of requests: host state, authentication and body size.

use std::sync::Arc;
use std::time::Duration;

use axum::body::{Body, BodyDataStream};
use axum::http::HeaderMap;
use axum::response::Response;
use bytes::{Bytes, BytesMut};
use chalkrock_core::{OrganisationId, Reason, RequestId, key_digest};
use futures::StreamExt;
use tokio::time::Instant;

use crate::explain::Explanation;
use crate::refusal::Refusal;
use crate::state::State;
use crate::view::RouterView;

/// Header that marks a request as unsafe to repeat.
const UNSAFE_HEADER: &str = "chalkrock-unsafe";
/// How long a request waits for a recent view.
const RECENT_VIEW_TIMEOUT: Duration = Duration::from_millis(500);
/// Bytes of a refused body that are read and discarded.
const MAX_DISCARDED_BYTES: usize = 16 * 1024 * 1024;

/// An admitted request's view and organisation.
pub(crate) struct Admitted {
    pub(crate) view: Arc<RouterView>,
    pub(crate) organisation: OrganisationId,
}

/// Admits a request, or discards its body.
pub(crate) async fn admit_request(
    state: &State,
    explanation: &mut Explanation,
    headers: &HeaderMap,
    body: Body,
) -> Result<(Admitted, Body), Refusal> {
    match admit(state, explanation, headers).await {
        Ok(admitted) => Ok((admitted, body)),
        Err(refusal) => {
            discard(body.into_data_stream()).await;
            Err(refusal)
        }
    }
}

async fn admit(
    state: &State,
    explanation: &mut Explanation,
    headers: &HeaderMap,
) -> Result<Admitted, Refusal> {
    if state.stop.is_requested() {
        return Err(Refusal::new(
            Reason::Leaving,
            "this host is shutting down, use another host",
        ));
    }
    let view = recent_view(state).await?;
    let organisation = authenticate(&view, headers)?;
    explanation.organisation = Some(organisation.clone());
    Ok(Admitted { view, organisation })
}

/// Returns a recent view. After a suspension or the loss of the agent the view
/// may list endpoints that have left, so the request waits for an update.
async fn recent_view(state: &State) -> Result<Arc<RouterView>, Refusal> {
    let max_age = Duration::from_millis(state.settings.view_max_age_ms);
    let is_recent =
        |view: &RouterView| view.is_complete() && view.confirmed_at.elapsed() <= max_age;
    let deadline = Instant::now() + RECENT_VIEW_TIMEOUT;
    loop {
        let confirmed = state.view_confirmed.notified();
        let view = state.view.load_full();
        if is_recent(&view) {
            return Ok(view);
        }
        if tokio::time::timeout_at(deadline, confirmed).await.is_err() {
            return Err(Refusal::new(
                Reason::NoView,
                "this host has no recent view of the fleet",
            ));
        }
    }
}

/// Returns the organisation that the request's key belongs to.
pub(crate) fn authenticate(
    view: &RouterView,
    headers: &HeaderMap,
) -> Result<OrganisationId, Refusal> {
    let unknown = |detail: &str| Refusal::new(Reason::UnknownKey, detail);
    let key = bearer_token(headers).ok_or_else(|| unknown("send Authorization: Bearer KEY"))?;
    let digest = key_digest(key);
    let organisation = view.config.organisation_for_key(&digest);
    let organisation = organisation.ok_or_else(|| unknown("no organisation holds this key"))?;
    Ok(organisation.name.clone())
}

/// Returns whether the caller marks the request as unsafe to repeat.
pub(crate) fn is_marked_unsafe(headers: &HeaderMap) -> bool {
    headers
        .get(UNSAFE_HEADER)
        .is_some_and(|value| value == "true")
}

/// Returns the bearer_token token of a request.
pub(crate) fn bearer_token(headers: &HeaderMap) -> Option<&str> {
    headers
        .get("authorization")?
        .to_str()
        .ok()?
        .strip_prefix("Bearer ")
}

/// Reads a body up to the limit.
pub(crate) async fn read_body(state: &State, body: Body) -> Result<Bytes, Refusal> {
    let limit = state.settings.body_max_bytes;
    let mut chunks = body.into_data_stream();
    let mut read = BytesMut::new();
    while let Some(chunk) = chunks.next().await {
        let broken = |_| Refusal::new(Reason::InvalidRequest, "the request body is incomplete");
        let chunk = chunk.map_err(broken)?;
        if read.len() + chunk.len() > limit {
            discard(chunks).await;
            return Err(Refusal::new(
                Reason::BodyTooLarge,
                format!("the request body exceeds {limit} bytes"),
            ));
        }
        read.extend_from_slice(&chunk);
    }
    Ok(read.freeze())
}

/// Discards the rest of a refused body, up to [`MAX_DISCARDED_BYTES`]. A caller
/// that is still writing would otherwise see a reset instead of the response.
async fn discard(mut chunks: BodyDataStream) {
    let mut remaining_bytes = MAX_DISCARDED_BYTES;
    while let Some(Ok(chunk)) = chunks.next().await {
        remaining_bytes = remaining_bytes.saturating_sub(chunk.len());
        if remaining_bytes == 0 {
            return;
        }
    }
}

/// Records a refusal and builds its response.
pub(crate) fn refuse(
    state: &State,
    explanation: Explanation,
    refusal: Refusal,
    request: &RequestId,
) -> Response {
    state.record(explanation, refusal.reason.outcome(), Some(refusal.reason));
    refusal.into_answer(request)
}
