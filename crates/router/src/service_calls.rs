//! Handles service calls at `/services/{name}/{path}`.

use std::sync::Arc;
use std::time::Duration;

use axum::body::Body;
use axum::extract::{Path, Request, State as Extract};
use axum::http::HeaderMap;
use axum::response::Response;
use bytes::Bytes;
use chalkrock_core::rendezvous::{KeyHash, top_ranked};
use chalkrock_core::{Outcome, Pool, PoolKind, Reason, RequestId};
use reqwest::Method;
use tokio::time::Instant;
use tracing::Instrument;

use crate::claims::claim;
use crate::dispatch::{Attempt, send};
use crate::entry::{Admitted, admit_request, is_marked_unsafe, read_body, refuse};
use crate::explain::{Candidate, CandidateRole, Explanation};
use crate::refusal::{Refusal, set_outcome_headers};
use crate::state::State;
use crate::view::ViewEndpoint;

/// Endpoints tried for one call.
const MAX_ATTEMPTS: usize = 3;
/// Headers that are not forwarded: connection headers and the caller's key.
const STRIPPED_HEADERS: [&str; 9] = [
    "authorization",
    "connection",
    "content-length",
    "expect",
    "host",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Handles a service call.
pub(crate) async fn call(
    Extract(state): Extract<Arc<State>>,
    Path(parts): Path<Vec<String>>,
    call: Request,
) -> Response {
    let span = tracing::info_span!("service call");
    chalkrock_process::set_remote_parent(&span, call.headers());
    let request = state.next_request_id();
    let mut explanation = Explanation::new(request.clone(), chalkrock_process::trace_id(&span));
    let name = parts.first().map_or("", String::as_str);
    let served = serve(&state, &mut explanation, name, call)
        .instrument(span)
        .await;
    match served {
        Ok(mut answer) => {
            set_outcome_headers(answer.headers_mut(), &request, Outcome::Ran);
            state.record(explanation, Outcome::Ran, None);
            answer
        }
        Err(refusal) => refuse(&state, explanation, refusal, &request),
    }
}

async fn serve(
    state: &Arc<State>,
    explanation: &mut Explanation,
    name: &str,
    call: Request,
) -> Result<Response, Refusal> {
    let (head, body) = call.into_parts();
    let (admitted, body) = admit_request(state, explanation, &head.headers, body).await?;
    let pool = admitted.view.config.pool_for_service(name);
    let pool =
        pool.ok_or_else(|| Refusal::new(Reason::UnknownService, format!("no service {name:?}")))?;
    explanation.pool = Some(pool.name.clone());
    let body = read_body(state, body).await?;
    let prefix = format!("/services/{name}");
    let target = head.uri.path_and_query().map_or("/", |path| path.as_str());
    let path = target
        .strip_prefix(&prefix)
        .filter(|path| path.starts_with('/'))
        .unwrap_or("/");
    let claim = claim(
        state,
        explanation,
        &admitted,
        &head.headers,
        &body,
        pool.deadline_ms,
    )
    .await?;
    let marked_unsafe = matches!(
        pool.kind,
        PoolKind::Service {
            unsafe_to_repeat: true
        }
    ) || is_marked_unsafe(&head.headers);
    let repeat_safe = !marked_unsafe && claim.is_none() && head.method.is_idempotent();
    let call = Call {
        method: head.method,
        path,
        headers: &head.headers,
        body,
        repeat_safe,
    };
    let deadline = Duration::from_millis(pool.deadline_ms);
    let calling = dispatch(state, explanation, &admitted, pool, call);
    let served = tokio::time::timeout(deadline, calling)
        .await
        .unwrap_or_else(|_| {
            Err(Refusal::new(
                Reason::DeadlinePassed,
                format!("{name} did not answer in time"),
            ))
        });
    if let Some(claim) = claim {
        let outcome = served
            .as_ref()
            .map_or_else(|r| r.reason.outcome(), |_| Outcome::Ran);
        claim.end(state, outcome);
    }
    served
}

/// A call to dispatch.
struct Call<'a> {
    method: Method,
    path: &'a str,
    headers: &'a HeaderMap,
    body: Bytes,
    /// Whether it may be retried after an unknown outcome.
    repeat_safe: bool,
}

async fn dispatch(
    state: &State,
    explanation: &mut Explanation,
    admitted: &Admitted,
    pool: &Pool,
    call: Call<'_>,
) -> Result<Response, Refusal> {
    let name = &pool.name;
    let mut live: Vec<&ViewEndpoint> = admitted.view.live_in(&pool.name).iter().collect();
    let mut refusal = Refusal::new(Reason::NoEndpoint, format!("{name} has no live endpoint"));
    for attempt in 0..MAX_ATTEMPTS {
        if attempt > 0 && !state.take_retry() {
            break;
        }
        let key = KeyHash::of(explanation.request.as_str().as_bytes());
        let Some(chosen) = top_ranked(key, live.iter().map(|e| (e.hash, 1.0))) else {
            break;
        };
        let chosen = live.remove(chosen);
        let role = if attempt == 0 {
            CandidateRole::FirstRank
        } else {
            CandidateRole::Retry
        };
        let start = Instant::now();
        let outgoing = Attempt {
            request: &explanation.request,
            endpoint: &chosen.endpoint,
            method: call.method.clone(),
            path: call.path,
            headers: forwarded_headers(call.headers),
            body: call.body.clone(),
        };
        let sent = send(state, outgoing).await;
        explanation.record_hop("dispatch", start);
        let answer = sent
            .as_ref()
            .map_or_else(|refusal| refusal.reason.code(), |_| "answered");
        let endpoint = chosen.endpoint.name.clone();
        explanation.candidates.push(Candidate {
            endpoint,
            role,
            answer,
            in_progress: None,
        });
        match sent {
            Ok(response) => {
                if attempt == 0 {
                    state.record_first_try_success();
                }
                explanation.chosen = Some(chosen.endpoint.name.clone());
                return read_response(&explanation.request, response).await;
            }
            Err(failed) if failed.reason.outcome() == Outcome::NotRun || call.repeat_safe => {
                refusal = failed;
            }
            Err(failed) => return Err(failed),
        }
    }
    Err(refusal)
}

fn forwarded_headers(headers: &HeaderMap) -> HeaderMap {
    let mut passed = headers.clone();
    for name in STRIPPED_HEADERS {
        passed.remove(name);
    }
    passed
}

/// Reads the whole response before any byte is sent, so that the outcome header
/// is correct.
async fn read_response(
    request: &RequestId,
    response: reqwest::Response,
) -> Result<Response, Refusal> {
    let status = response.status();
    let mut headers = response.headers().clone();
    for name in STRIPPED_HEADERS {
        headers.remove(name);
    }
    let body: Bytes = response.bytes().await.map_err(|_| {
        Refusal::new(
            Reason::EndpointLost,
            format!("the response to {request} is incomplete"),
        )
    })?;
    let mut answer = Response::new(Body::from(body));
    *answer.status_mut() = status;
    *answer.headers_mut() = headers;
    Ok(answer)
}
