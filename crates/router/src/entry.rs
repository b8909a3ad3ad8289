//! What each request passes on entry: the host serves, the key is known, the
//! body is within its limit.

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

/// The header by which a caller marks a request as unsafe to repeat.
const UNSAFE: &str = "chalkrock-unsafe";
/// How long a request waits for a view that is recent enough.
const YOUNGER_VIEW_TIMEOUT: Duration = Duration::from_millis(500);
/// Bytes of a refused body that are read so that its caller gets the answer.
const DISCARD_MAX_BYTES: usize = 16 * 1024 * 1024;

/// What entry establishes.
pub(crate) struct Entered {
    pub(crate) view: Arc<RouterView>,
    pub(crate) organisation: OrganisationId,
}

/// Admits a caller: the host serves, its view is recent, the key is known. The
/// body of a caller that is not admitted is read and forgotten.
pub(crate) async fn enter(
    state: &State,
    explanation: &mut Explanation,
    headers: &HeaderMap,
    body: Body,
) -> Result<(Entered, Body), Refusal> {
    match admit(state, explanation, headers).await {
        Ok(entered) => Ok((entered, body)),
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
) -> Result<Entered, Refusal> {
    if state.stop.is_requested() {
        return Err(Refusal::new(
            Reason::Leaving,
            "this host is leaving, ask another one",
        ));
    }
    let view = recent_view(state).await?;
    let organisation = organisation_of(&view, headers)?;
    explanation.organisation = Some(organisation.clone());
    Ok(Entered { view, organisation })
}

/// The view, if it is recent. A router that was frozen, or that lost its
/// agent, waits for a younger one: endpoints may have left meanwhile.
async fn recent_view(state: &State) -> Result<Arc<RouterView>, Refusal> {
    let age_max = Duration::from_millis(state.settings.view_max_age_ms);
    let is_recent =
        |view: &RouterView| view.is_complete() && view.confirmed_at.elapsed() <= age_max;
    let give_up_at = Instant::now() + YOUNGER_VIEW_TIMEOUT;
    loop {
        let confirmed = state.view_confirmed.notified();
        let view = state.view.load_full();
        if is_recent(&view) {
            return Ok(view);
        }
        if tokio::time::timeout_at(give_up_at, confirmed)
            .await
            .is_err()
        {
            return Err(Refusal::new(
                Reason::NoView,
                "this host has no recent view of the fleet",
            ));
        }
    }
}

/// The organisation whose key a request shows.
pub(crate) fn organisation_of(
    view: &RouterView,
    headers: &HeaderMap,
) -> Result<OrganisationId, Refusal> {
    let unknown = |detail: &str| Refusal::new(Reason::UnknownKey, detail);
    let key = bearer(headers).ok_or_else(|| unknown("send Authorization: Bearer KEY"))?;
    let digest = key_digest(key);
    let organisation = view.config.organisation_for_key(&digest);
    let organisation = organisation.ok_or_else(|| unknown("no organisation holds this key"))?;
    Ok(organisation.name.clone())
}

/// Whether the caller marks the request as one that may run at most once.
pub(crate) fn is_marked_unsafe(headers: &HeaderMap) -> bool {
    headers.get(UNSAFE).is_some_and(|value| value == "true")
}

/// The key of a request.
pub(crate) fn bearer(headers: &HeaderMap) -> Option<&str> {
    headers
        .get("authorization")?
        .to_str()
        .ok()?
        .strip_prefix("Bearer ")
}

/// Reads a body up to the limit.
pub(crate) async fn body_of(state: &State, body: Body) -> Result<Bytes, Refusal> {
    let limit = state.settings.body_max_bytes;
    let mut chunks = body.into_data_stream();
    let mut read = BytesMut::new();
    while let Some(chunk) = chunks.next().await {
        let broken = |_| Refusal::new(Reason::InvalidRequest, "the body broke off");
        let chunk = chunk.map_err(broken)?;
        if read.len() + chunk.len() > limit {
            discard(chunks).await;
            return Err(Refusal::new(
                Reason::BodyTooLarge,
                format!("at most {limit} bytes"),
            ));
        }
        read.extend_from_slice(&chunk);
    }
    Ok(read.freeze())
}

/// Reads the rest of a refused body and forgets it. A caller that is still
/// writing would else see a broken connection in place of its answer. What it
/// sends past the bound is not worth the answer.
async fn discard(mut chunks: BodyDataStream) {
    let mut left_bytes = DISCARD_MAX_BYTES;
    while let Some(Ok(chunk)) = chunks.next().await {
        left_bytes = left_bytes.saturating_sub(chunk.len());
        if left_bytes == 0 {
            return;
        }
    }
}

/// Explains a refusal and answers it.
pub(crate) fn refuse(
    state: &State,
    explanation: Explanation,
    refusal: Refusal,
    request: &RequestId,
) -> Response {
    state.record(explanation, refusal.reason.outcome(), Some(refusal.reason));
    refusal.into_answer(request)
}
