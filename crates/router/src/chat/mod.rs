//! Handles `POST /v1/chat/completions`.

use std::sync::Arc;

use axum::body::Body;
use axum::extract::State as Extract;
use axum::http::HeaderMap;
use axum::response::sse::{KeepAlive, Sse};
use axum::response::{IntoResponse, Response};
use chalkrock_core::rendezvous::{KeyHash, MemberHash};
use chalkrock_core::{HomeHint, OrganisationId, Outcome, Reason};
use serde::Deserialize;
use tracing::Instrument;

use crate::claims::claim;
use crate::entry::{Admitted, admit_request, is_marked_unsafe, read_body, refuse};
use crate::explain::Explanation;
use crate::place::ChatPlacement;
use crate::refusal::{Refusal, set_outcome_headers, set_request_id};
use crate::relay::StreamRelay;
use crate::state::State;

mod answer;
mod send;

use answer::{ChatResponse, build_response, resume, settle_claim};
use send::{OutgoingChat, dispatch};

/// Header of the affinity hint, in requests and responses.
const AFFINITY_HEADER: &str = "chalkrock-affinity";

/// The parsed fields of a chat request. The body is forwarded unchanged.
#[derive(Debug, Deserialize)]
struct ChatRequest {
    model: String,
    messages: Vec<Message>,
    #[serde(default)]
    stream: bool,
}

#[derive(Debug, Deserialize)]
struct Message {
    #[serde(default)]
    role: String,
    #[serde(default)]
    content: serde_json::Value,
}

/// Handles a chat request.
pub(crate) async fn chat(
    Extract(state): Extract<Arc<State>>,
    headers: HeaderMap,
    body: Body,
) -> Response {
    let span = tracing::info_span!("chat");
    chalkrock_process::set_remote_parent(&span, &headers);
    let request = state.next_request_id();
    let mut explanation = Explanation::new(request.clone(), chalkrock_process::trace_id(&span));
    let served = serve(&state, &mut explanation, &headers, body)
        .instrument(span)
        .await;
    match served {
        Ok(ChatResponse::Stream { started, home }) => {
            let relay = StreamRelay::new(state, explanation, *started);
            let events = Sse::new(relay.into_events()).keep_alive(KeepAlive::default());
            let mut answer = events.into_response();
            // The last event carries the outcome, so no outcome header is set.
            set_request_id(answer.headers_mut(), &request);
            answer.headers_mut().insert(AFFINITY_HEADER, home);
            answer
        }
        Ok(ChatResponse::Complete { response, home }) => {
            let mut answer = response;
            set_outcome_headers(answer.headers_mut(), &request, Outcome::Ran);
            answer.headers_mut().insert(AFFINITY_HEADER, home);
            state.record(explanation, Outcome::Ran, None);
            answer
        }
        Err(refusal) => refuse(&state, explanation, refusal, &request),
    }
}

async fn serve(
    state: &Arc<State>,
    explanation: &mut Explanation,
    headers: &HeaderMap,
    body: Body,
) -> Result<ChatResponse, Refusal> {
    let (admitted, body) = admit_request(state, explanation, headers, body).await?;
    let body = read_body(state, body).await?;
    let chat: ChatRequest = serde_json::from_slice(&body)
        .map_err(|error| Refusal::new(Reason::InvalidRequest, error.to_string()))?;
    let pool = admitted.view.config.pool_for_model(&chat.model);
    let pool = pool.ok_or_else(|| {
        Refusal::new(
            Reason::UnknownModel,
            format!("no pool serves {:?}", chat.model),
        )
    })?;
    explanation.pool = Some(pool.name.clone());
    if let Some(last) = headers.get("last-event-id") {
        return resume(state, explanation, &admitted, last).await;
    }
    let home = read_home_hint(state, headers, &admitted.organisation)?;
    let place = ChatPlacement {
        key: chat_key(&admitted, &chat),
        organisation: MemberHash::of(admitted.organisation.as_str()).short(),
        hint: home.map(|home| home.endpoint),
        has_history: chat
            .messages
            .iter()
            .any(|message| message.role == "assistant"),
        home_wait_ms: home_wait_limit_ms(body.len()),
    };
    let claim = claim(
        state,
        explanation,
        &admitted,
        headers,
        &body,
        pool.deadline_ms,
    )
    .await?;
    let repeat_safe = claim.is_none() && !is_marked_unsafe(headers);
    let outgoing = OutgoingChat {
        place,
        body,
        repeat_safe,
    };
    let served = match dispatch(state, explanation, &admitted, pool, &outgoing).await {
        Ok(dispatched) => {
            build_response(
                state,
                explanation,
                &admitted,
                pool,
                &outgoing,
                dispatched,
                chat.stream,
            )
            .await
        }
        Err(refusal) => Err(refusal),
    };
    settle_claim(state, claim, served)
}

/// Returns how long to wait for a warm engine: at most the estimated time to
/// process the prompt again.
fn home_wait_limit_ms(prompt_bytes: usize) -> u64 {
    const PROMPT_BYTES_PER_MS: usize = 40;
    const MAX_WAIT_MS: u64 = 400;
    MAX_WAIT_MS.min((prompt_bytes / PROMPT_BYTES_PER_MS) as u64)
}

/// Hashes a chat's first messages, which stay the same as it grows.
fn chat_key(admitted: &Admitted, chat: &ChatRequest) -> KeyHash {
    const KEY_MESSAGES: usize = 2;
    let mut text = format!("{}\n{}\n", admitted.organisation, chat.model);
    for message in chat
        .messages
        .iter()
        .take(KEY_MESSAGES.min(chat.messages.len()))
    {
        text.push_str(&message.content.to_string());
    }
    KeyHash::of(text.as_bytes())
}

/// Reads the home engine from the caller's hint. An invalid hint is refused.
fn read_home_hint(
    state: &State,
    headers: &HeaderMap,
    caller: &OrganisationId,
) -> Result<Option<HomeHint>, Refusal> {
    let Some(hint) = headers.get(AFFINITY_HEADER) else {
        return Ok(None);
    };
    let refused = |error: String| Refusal::new(Reason::TokenRefused, error);
    let hint = hint.to_str().map_err(|error| refused(error.to_string()))?;
    let home = state.tokens.read_home(hint, caller);
    home.map(Some).map_err(|error| refused(error.to_string()))
}
