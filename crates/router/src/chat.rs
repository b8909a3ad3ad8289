//! `POST /v1/chat/completions`: one chat request from entry to answer.

use std::sync::Arc;

use axum::body::Body;
use axum::extract::State as Extract;
use axum::http::{HeaderMap, HeaderValue};
use axum::response::sse::{KeepAlive, Sse};
use axum::response::{IntoResponse, Response};
use bytes::Bytes;
use chalkrock_core::rendezvous::{KeyHash, MemberHash};
use chalkrock_core::{Endpoint, HomeHint, OrganisationId, Outcome, Pool, Reason, StreamPlace};
use reqwest::Method;
use serde::Deserialize;
use tokio::time::Instant;
use tracing::Instrument;

use crate::api::{Entered, body_of, discard, enter, is_marked_unsafe};
use crate::claims::{Claim, claim};
use crate::dispatch::{Attempt, send};
use crate::explain::Explanation;
use crate::owners::OnEngine;
use crate::place::{ChatPlace, Placed, place};
use crate::refusal::{Refusal, mark, name};
use crate::relay::{Begun, Elsewhere, Relay};
use crate::state::State;

/// The affinity hint, in both directions.
const AFFINITY: &str = "chalkrock-affinity";
pub(crate) const CHAT_PATH: &str = "/v1/chat/completions";
/// Endpoints tried for one request while none has started it.
const ATTEMPTS_MAX: usize = 3;

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
    chalkrock_process::remote_parent(&span, &headers);
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
        Err(refusal) => {
            state.record(explanation, refusal.reason.outcome(), Some(refusal.reason));
            refusal.into_answer(&request)
        }
    }
}

/// An endpoint's answer that is ready to be passed on.
enum Served {
    Stream {
        begun: Box<Begun>,
        home: HeaderValue,
    },
    Whole {
        response: Response,
        home: HeaderValue,
    },
}

async fn serve(
    state: &Arc<State>,
    explanation: &mut Explanation,
    headers: &HeaderMap,
    body: Body,
) -> Result<Served, Refusal> {
    let entered = match enter(state, explanation, headers).await {
        Ok(entered) => entered,
        Err(refusal) => {
            discard(body.into_data_stream()).await;
            return Err(refusal);
        }
    };
    let body = body_of(state, body).await?;
    let chat: ChatRequest = serde_json::from_slice(&body)
        .map_err(|error| Refusal::new(Reason::InvalidRequest, error.to_string()))?;
    let pool = entered.view.config.pool_of_model(&chat.model);
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
        organisation: MemberHash::of(entered.organisation.as_str()).0 as u32,
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

/// Finds an engine and sends, on to another one while none has started it.
async fn dispatch(
    state: &State,
    explanation: &mut Explanation,
    entered: &Entered,
    pool: &Pool,
    chat: &Chat,
) -> Result<Dispatched, Refusal> {
    let mut engines = entered.view.live_in(&pool.name).to_vec();
    let mut refusal = Refusal::new(
        Reason::NoEndpoint,
        format!("{} has no live engine", pool.name),
    );
    for _ in 0..ATTEMPTS_MAX {
        if engines.is_empty() {
            break;
        }
        let Placed { engine, on_engine } =
            place(state, explanation, pool, &chat.place, &engines).await?;
        let start = Instant::now();
        let attempt = Attempt {
            request: &explanation.request,
            endpoint: &engine.endpoint,
            method: Method::POST,
            path: CHAT_PATH,
            headers: json_headers(),
            body: chat.body.clone(),
        };
        let sent = send(state, attempt).await;
        explanation.hop("dispatch", start);
        match sent {
            Ok(response) => {
                explanation.chosen = Some(engine.endpoint.name.clone());
                return Ok(Dispatched {
                    endpoint: engine.endpoint,
                    on_engine,
                    response,
                });
            }
            Err(failed) if failed.reason.outcome() == Outcome::NotRun || chat.repeat_safe => {
                engines.retain(|other| other.hash != engine.hash);
                refusal = failed;
            }
            Err(failed) => return Err(failed),
        }
    }
    Err(refusal)
}

/// Ends the claim of a request that is over; a stream takes it along.
fn settle_claim(
    state: &Arc<State>,
    claim: Option<Claim>,
    served: Result<Served, Refusal>,
) -> Result<Served, Refusal> {
    match (served, claim) {
        (Ok(Served::Stream { mut begun, home }), claim) => {
            begun.claim = claim;
            Ok(Served::Stream { begun, home })
        }
        (served, Some(claim)) => {
            let outcome = served
                .as_ref()
                .map_or_else(|r| r.reason.outcome(), |_| Outcome::Ran);
            claim.end(state, outcome);
            served
        }
        (served, None) => served,
    }
}

/// A chat request on its way to an engine.
struct Chat {
    place: ChatPlace,
    body: Bytes,
    /// Whether it may be sent again after an attempt of unknown outcome.
    repeat_safe: bool,
}

/// A request that an engine runs.
struct Dispatched {
    endpoint: Endpoint,
    on_engine: OnEngine,
    response: reqwest::Response,
}

pub(crate) fn json_headers() -> HeaderMap {
    let mut headers = HeaderMap::new();
    headers.insert("content-type", HeaderValue::from_static("application/json"));
    headers
}

/// Turns the endpoint's answer into the caller's.
async fn pass_on(
    state: &State,
    explanation: &mut Explanation,
    entered: &Entered,
    pool: &Pool,
    sent: &Chat,
    dispatched: Dispatched,
    stream: bool,
) -> Result<Served, Refusal> {
    let Dispatched {
        endpoint,
        on_engine,
        response,
    } = dispatched;
    let hint = HomeHint {
        organisation: entered.organisation.clone(),
        endpoint: endpoint.name.clone(),
    };
    let home = HeaderValue::from_str(&state.tokens.sign_home(&hint))
        .unwrap_or_else(|_| HeaderValue::from_static(""));
    if stream && response.status().is_success() {
        let place = state.tokens.sign_place(&StreamPlace {
            organisation: entered.organisation.clone(),
            request: explanation.request.clone(),
            endpoint: endpoint.name.clone(),
            base: 0,
        });
        let elsewhere = sent.repeat_safe.then(|| Elsewhere {
            pool: pool.clone(),
            chat: ChatPlace {
                hint: None,
                ..sent.place.clone()
            },
            body: sent.body.clone(),
            text: String::new(),
            lost: Vec::new(),
        });
        let begun = Begun {
            endpoint,
            on_engine: Some(on_engine),
            claim: None,
            place,
            response,
            from: 0,
            base: 0,
            elsewhere,
        };
        return Ok(Served::Stream {
            begun: Box::new(begun),
            home,
        });
    }
    let start = Instant::now();
    let status = response.status();
    let lost = |_| {
        Refusal::new(
            Reason::EndpointLost,
            format!("{} stopped answering", endpoint.name),
        )
    };
    let body = response.bytes().await.map_err(lost)?;
    explanation.hop("answer", start);
    if serde_json::from_slice::<serde::de::IgnoredAny>(&body).is_err() {
        let detail = format!("{}: the answer is not JSON", endpoint.name);
        return Err(Refusal::new(Reason::EndpointGarbage, detail));
    }
    let response = (status, [("content-type", "application/json")], body).into_response();
    Ok(Served::Whole { response, home })
}

/// Goes on with a stream that another router began.
async fn resume(
    state: &State,
    explanation: &mut Explanation,
    entered: &Entered,
    last: &HeaderValue,
) -> Result<Served, Refusal> {
    let refused = |detail: &str| Refusal::new(Reason::TokenRefused, detail);
    let last = last
        .to_str()
        .map_err(|_| refused("Last-Event-ID is not text"))?;
    let (number, token) = last
        .split_once('.')
        .ok_or_else(|| refused("Last-Event-ID is not one of ours"))?;
    let number: u64 = number
        .parse()
        .map_err(|_| refused("Last-Event-ID has no number"))?;
    let place = state
        .tokens
        .read_place(token, &entered.organisation)
        .map_err(|error| refused(&error.to_string()))?;
    let listed = entered
        .view
        .hosts
        .endpoints
        .iter()
        .find(|e| e.name == place.endpoint);
    let endpoint = listed
        .cloned()
        .ok_or_else(|| Refusal::new(Reason::EndpointLost, format!("{} is gone", place.endpoint)))?;
    let from = number + 1;
    // The stream keeps the id under which the engine knows it.
    explanation.request = place.request.clone();
    explanation.chosen = Some(endpoint.name.clone());
    let offset = from
        .checked_sub(place.base)
        .ok_or_else(|| refused("the number is too low"))?;
    let path = format!("/v1/streams/{}?offset={offset}", place.request);
    let attempt = Attempt {
        request: &place.request,
        endpoint: &endpoint,
        method: Method::GET,
        path: &path,
        headers: HeaderMap::new(),
        body: Bytes::new(),
    };
    let response = send(state, attempt).await?;
    if !response.status().is_success() {
        let detail = format!("{} no longer has the stream", endpoint.name);
        return Err(Refusal::new(Reason::EndpointLost, detail));
    }
    let hint = HomeHint {
        organisation: entered.organisation.clone(),
        endpoint: endpoint.name.clone(),
    };
    let home = HeaderValue::from_str(&state.tokens.sign_home(&hint))
        .unwrap_or_else(|_| HeaderValue::from_static(""));
    let token = token.to_owned();
    let begun = Begun {
        endpoint,
        on_engine: None,
        claim: None,
        place: token,
        response,
        from,
        base: place.base,
        elsewhere: None,
    };
    Ok(Served::Stream {
        begun: Box::new(begun),
        home,
    })
}
