//! HTTP API of the engine.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use axum::extract::{Path, Query, State};
use axum::http::{HeaderMap, StatusCode};
use axum::response::sse::{Event, Sse};
use axum::response::{IntoResponse, Response};
use axum::routing::{get, post};
use axum::{Json, Router};
use bytes::Bytes;
use serde::Deserialize;
use serde_json::json;
use tokio::sync::mpsc;
use tokio_stream::wrappers::ReceiverStream;

use super::answer::{Answer, ChatRequest};
use super::runs::{Run, Runs};
use crate::faults::{Faults, SharedFaults};

/// Delay before breaking a connection, so that earlier events arrive.
const BREAK_DELAY: Duration = Duration::from_millis(10);
/// Events buffered for a slow client.
const EVENT_BUFFER: usize = 64;

#[derive(Clone)]
struct Api {
    runs: Arc<Runs>,
    faults: SharedFaults,
}

#[derive(Deserialize)]
struct ResumeQuery {
    offset: usize,
}

pub(super) fn app(runs: Arc<Runs>, faults: SharedFaults) -> Router {
    Router::new()
        .route("/v1/chat/completions", post(chat))
        .route("/v1/streams/{request}", get(resume))
        .route("/load", get(load))
        .route("/leave", post(leave))
        .route("/counts", get(counts))
        .route("/faults", post(set_faults))
        .with_state(Api { runs, faults })
}

async fn load(State(api): State<Api>) -> Response {
    api.faults.delay().await;
    if api.faults.get().down {
        return not_started("down");
    }
    Json(api.runs.report()).into_response()
}

async fn leave(State(api): State<Api>) -> StatusCode {
    api.runs.leave();
    StatusCode::OK
}

async fn counts(State(api): State<Api>) -> Response {
    Json(api.runs.counts()).into_response()
}

async fn set_faults(State(api): State<Api>, Json(faults): Json<Faults>) -> StatusCode {
    api.faults.set(faults);
    StatusCode::OK
}

/// Returns the 503 with the header that guarantees that the request did not start.
fn not_started(reason: &str) -> Response {
    let body = json!({"error": {"type": "not_started", "message": reason}});
    (
        StatusCode::SERVICE_UNAVAILABLE,
        [("x-not-started", "true")],
        Json(body),
    )
        .into_response()
}

async fn chat(
    State(api): State<Api>,
    headers: HeaderMap,
    Json(request): Json<ChatRequest>,
) -> Response {
    let faults = api.faults.get();
    if faults.down || faults.refuse {
        api.runs.count_refusal();
        return not_started("refused");
    }
    let id = header(&headers, "x-request-id")
        .unwrap_or("unnamed")
        .to_owned();
    let Some(mut run) = api.runs.begin(&id) else {
        api.runs.count_refusal();
        return not_started("leaving");
    };
    if faults.garbage {
        return garbage();
    }
    run.acquire_slot().await;
    api.faults.delay().await;
    let messages: Vec<String> = request.messages.iter().map(|m| m.content.clone()).collect();
    let cached_bytes = api.runs.cache_prompt(&messages);
    let prompt_bytes: usize = messages.iter().map(String::len).sum();
    let prefill_us = api.runs.settings.prefill_us_per_byte * (prompt_bytes - cached_bytes) as u64;
    pause(Duration::from_micros(prefill_us)).await;
    let answer = Arc::new(Answer::new(&id, &request, cached_bytes));
    api.runs.store_answer(&id, answer.clone());
    let token_time = Duration::from_millis(api.runs.settings.token_ms);
    if request.stream {
        return stream(answer, 0, token_time, Some(run), faults);
    }
    pause(token_time * answer.event_count() as u32).await;
    run.finish();
    Json(answer.completion()).into_response()
}

async fn resume(
    State(api): State<Api>,
    Path(request): Path<String>,
    Query(query): Query<ResumeQuery>,
) -> Response {
    let faults = api.faults.get();
    if faults.down || faults.refuse {
        return not_started("refused");
    }
    let Some(answer) = api.runs.find_answer(&request) else {
        return StatusCode::NOT_FOUND.into_response();
    };
    let token_time = Duration::from_millis(api.runs.settings.token_ms);
    stream(answer, query.offset, token_time, None, faults)
}

fn stream(
    answer: Arc<Answer>,
    offset: usize,
    token_time: Duration,
    run: Option<Run>,
    faults: Faults,
) -> Response {
    let (tx, rx) = mpsc::channel(EVENT_BUFFER);
    tokio::spawn(send_events(answer, offset, token_time, run, faults, tx));
    Sse::new(ReceiverStream::new(rx)).into_response()
}

/// Aborts the stream without its final event, as a crash of the engine does.
#[derive(Debug, thiserror::Error)]
#[error("stream broken by a fault")]
struct StreamBroken;

async fn send_events(
    answer: Arc<Answer>,
    offset: usize,
    token_time: Duration,
    run: Option<Run>,
    faults: Faults,
    tx: mpsc::Sender<Result<Event, StreamBroken>>,
) {
    let dropped_index = answer.event_count() / 2;
    for i in offset..answer.event_count() {
        if faults.break_after > 0 && i >= offset + faults.break_after {
            tokio::time::sleep(BREAK_DELAY).await;
            let _client_gone = tx.send(Err(StreamBroken)).await;
            return;
        }
        if faults.drop_event && run.is_some() && i == dropped_index {
            continue;
        }
        let copies = if faults.duplicate_events { 2 } else { 1 };
        for _ in 0..copies {
            let event = Event::default().id(i.to_string()).data(answer.event(i));
            if tx.send(Ok(event)).await.is_err() {
                return;
            }
        }
        tokio::select! {
            () = pause(token_time) => {}
            () = tx.closed() => return,
        }
    }
    let end = Event::default().data("[DONE]");
    if tx.send(Ok(end)).await.is_ok()
        && let Some(run) = run
    {
        run.finish();
    }
}

async fn pause(time: Duration) {
    if !time.is_zero() {
        tokio::time::sleep(time).await;
    }
}

fn garbage() -> Response {
    const JUNK: &[u8] = b"\x00\xff data: {not json\n\ndata: {\"a\":\n\n";
    let body = futures::stream::iter([Ok::<_, Infallible>(Bytes::from_static(JUNK))]);
    (
        [("content-type", "text/event-stream")],
        axum::body::Body::from_stream(body),
    )
        .into_response()
}

fn header<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name).and_then(|value| value.to_str().ok())
}
