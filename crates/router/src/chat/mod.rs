//! `POST /v1/chat/completions`: one chat request from entry to answer.

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
use crate::entry::{Entered, body_of, enter, is_marked_unsafe, refuse};
use crate::explain::Explanation;
use crate::place::ChatPlace;
use crate::refusal::{Refusal, mark, name};
use crate::relay::Relay;
use crate::state::State;

mod answer;
mod send;

use answer::{Served, pass_on, resume, settle_claim};
use send::{Chat, dispatch};

/// The affinity hint, in both directions.
const AFFINITY: &str = "chalkrock-affinity";

/// What the router reads of a chat request. The engine gets the body as the
/// caller sent it.
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
    let request = state.request_id();
    let mut explanation = Explanation::new(request.clone(), chalkrock_process::trace_id(&span));
    let served = serve(&state, &mut explanation, &headers, body)
        .instrument(span)
        .await;
    match served {
        Ok(Served::Stream { begun, home }) => {
            let relay = Relay::new(state, explanation, *begun);
            let events = Sse::new(relay.into_events()).keep_alive(KeepAlive::default());
            let mut answer = events.into_response();
            // How it ended is told by the stream's last event.
            name(answer.headers_mut(), &request);
            answer.headers_mut().insert(AFFINITY, home);
            answer
        }
        Ok(Served::Whole { response, home }) => {
            let mut answer = response;
            mark(answer.headers_mut(), &request, Outcome::Ran);
            answer.headers_mut().insert(AFFINITY, home);
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
) -> Result<Served, Refusal> {
    let (entered, body) = enter(state, explanation, headers, body).await?;
    let body = body_of(state, body).await?;
    let chat: ChatRequest = serde_json::from_slice(&body)
        .map_err(|error| Refusal::new(Reason::InvalidRequest, error.to_string()))?;
    let pool = entered.view.config.pool_for_model(&chat.model);
    let pool = pool.ok_or_else(|| {
        Refusal::new(
            Reason::UnknownModel,
            format!("no pool serves {:?}", chat.model),
        )
    })?;
    explanation.pool = Some(pool.name.clone());
    if let Some(last) = headers.get("last-event-id") {
        return resume(state, explanation, &entered, last).await;
    }
    let home = home_of(state, headers, &entered.organisation)?;
    let place = ChatPlace {
        key: chat_key(&entered, &chat),
        organisation: MemberHash::of(entered.organisation.as_str()).short(),
        hint: home.map(|home| home.endpoint),
        returns: chat
            .messages
            .iter()
            .any(|message| message.role == "assistant"),
        home_wait_ms: worth_waiting_ms(body.len()),
    };
    let claim = claim(
        state,
        explanation,
        &entered,
        headers,
        &body,
        pool.deadline_ms,
    )
    .await?;
    let repeat_safe = claim.is_none() && !is_marked_unsafe(headers);
    let sent = Chat {
        place,
        body,
        repeat_safe,
    };
    let served = match dispatch(state, explanation, &entered, pool, &sent).await {
        Ok(dispatched) => {
            pass_on(
                state,
                explanation,
                &entered,
                pool,
                &sent,
                dispatched,
                chat.stream,
            )
            .await
        }
        Err(refusal) => Err(refusal),
    };
    settle_claim(state, claim, served)
}

/// How long a warm engine is worth waiting for: no longer than it would take
/// to process the prompt anew, as far as its length tells.
fn worth_waiting_ms(prompt_bytes: usize) -> u64 {
    const PROMPT_BYTES_PER_MS: usize = 40;
    const WAIT_MAX_MS: u64 = 400;
    WAIT_MAX_MS.min((prompt_bytes / PROMPT_BYTES_PER_MS) as u64)
}

/// A chat is known by its first words: they stay while it grows.
fn chat_key(entered: &Entered, chat: &ChatRequest) -> KeyHash {
    const FIRST_MESSAGES: usize = 2;
    let mut text = format!("{}\n{}\n", entered.organisation, chat.model);
    for message in chat
        .messages
        .iter()
        .take(FIRST_MESSAGES.min(chat.messages.len()))
    {
        text.push_str(&message.content.to_string());
    }
    KeyHash::of(text.as_bytes())
}

/// The home that the caller's hint names. A hint is only a hint: one that
/// can't be read is an error of the caller's, told at once.
fn home_of(
    state: &State,
    headers: &HeaderMap,
    caller: &OrganisationId,
) -> Result<Option<HomeHint>, Refusal> {
    let Some(hint) = headers.get(AFFINITY) else {
        return Ok(None);
    };
    let refused = |error: String| Refusal::new(Reason::TokenRefused, error);
    let hint = hint.to_str().map_err(|error| refused(error.to_string()))?;
    let home = state.tokens.read_home(hint, caller);
    home.map(Some).map_err(|error| refused(error.to_string()))
}
