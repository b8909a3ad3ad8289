//! Builds the caller's response from an engine's response, and resumes streams.

use std::sync::Arc;

use axum::http::{HeaderMap, HeaderValue};
use axum::response::{IntoResponse, Response};
use bytes::Bytes;
use chalkrock_core::{EndpointId, HomeHint, Outcome, Pool, Reason, StreamPlace};
use reqwest::Method;
use tokio::time::Instant;

use super::send::{Dispatched, OutgoingChat};
use crate::claims::Claim;
use crate::dispatch::{Attempt, send};
use crate::entry::Admitted;
use crate::explain::Explanation;
use crate::place::ChatPlacement;
use crate::refusal::Refusal;
use crate::relay::{Failover, StartedStream};
use crate::state::State;

/// A response to the caller.
pub(super) enum ChatResponse {
    Stream {
        started: Box<StartedStream>,
        home: HeaderValue,
    },
    Complete {
        response: Response,
        home: HeaderValue,
    },
}

/// Ends the claim of a finished request. A stream keeps it until it ends.
pub(super) fn settle_claim(
    state: &Arc<State>,
    claim: Option<Claim>,
    served: Result<ChatResponse, Refusal>,
) -> Result<ChatResponse, Refusal> {
    match (served, claim) {
        (Ok(ChatResponse::Stream { mut started, home }), claim) => {
            started.claim = claim;
            Ok(ChatResponse::Stream { started, home })
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

/// Builds the caller's response from the endpoint's.
pub(super) async fn build_response(
    state: &State,
    explanation: &mut Explanation,
    admitted: &Admitted,
    pool: &Pool,
    outgoing: &OutgoingChat,
    dispatched: Dispatched,
    stream: bool,
) -> Result<ChatResponse, Refusal> {
    let Dispatched {
        endpoint,
        in_flight,
        response,
    } = dispatched;
    let home = sign_home_hint(state, admitted, &endpoint.name);
    if stream && response.status().is_success() {
        let place = state.tokens.sign_place(&StreamPlace {
            organisation: admitted.organisation.clone(),
            request: explanation.request.clone(),
            endpoint: endpoint.name.clone(),
            base: 0,
        });
        let failover = outgoing.repeat_safe.then(|| Failover {
            pool: pool.clone(),
            chat: ChatPlacement {
                hint: None,
                ..outgoing.place.clone()
            },
            body: outgoing.body.clone(),
            text: String::new(),
            failed_engines: Vec::new(),
        });
        let started = StartedStream {
            endpoint,
            in_flight: Some(in_flight),
            claim: None,
            place,
            response,
            first_number: 0,
            base: 0,
            failover,
        };
        return Ok(ChatResponse::Stream {
            started: Box::new(started),
            home,
        });
    }
    let start = Instant::now();
    let status = response.status();
    let lost = |_| {
        Refusal::new(
            Reason::EndpointLost,
            format!("{} disconnected", endpoint.name),
        )
    };
    let body = response.bytes().await.map_err(lost)?;
    explanation.record_hop("answer", start);
    if serde_json::from_slice::<serde::de::IgnoredAny>(&body).is_err() {
        let detail = format!("{}: the response is not JSON", endpoint.name);
        return Err(Refusal::new(Reason::EndpointGarbage, detail));
    }
    let response = (status, [("content-type", "application/json")], body).into_response();
    Ok(ChatResponse::Complete { response, home })
}

/// Resumes a stream that any router has started.
pub(super) async fn resume(
    state: &State,
    explanation: &mut Explanation,
    admitted: &Admitted,
    last: &HeaderValue,
) -> Result<ChatResponse, Refusal> {
    let refused = |detail: &str| Refusal::new(Reason::TokenRefused, detail);
    let last = last
        .to_str()
        .map_err(|_| refused("Last-Event-ID is not text"))?;
    let (number, token) = last
        .split_once('.')
        .ok_or_else(|| refused("Last-Event-ID has no stream token"))?;
    let number: u64 = number
        .parse()
        .map_err(|_| refused("Last-Event-ID has no number"))?;
    let place = state
        .tokens
        .read_place(token, &admitted.organisation)
        .map_err(|error| refused(&error.to_string()))?;
    let listed = admitted
        .view
        .hosts
        .endpoints
        .iter()
        .find(|e| e.name == place.endpoint);
    let endpoint = listed.cloned().ok_or_else(|| {
        Refusal::new(Reason::EndpointLost, format!("{} has left", place.endpoint))
    })?;
    let first_number = number
        .checked_add(1)
        .ok_or_else(|| refused("the event number is too high"))?;
    // The engine identifies the stream by the original request id.
    explanation.request = place.request.clone();
    explanation.chosen = Some(endpoint.name.clone());
    let offset = first_number
        .checked_sub(place.base)
        .ok_or_else(|| refused("the event number is too low"))?;
    let path = format!("/v1/streams/{}?offset={offset}", place.request);
    let attempt = Attempt {
        request: &place.request,
        endpoint: &endpoint,
        method: Method::GET,
        path: &path,
        headers: HeaderMap::new(),
        body: Bytes::new(),
    };
    // The request has run, so no failure here counts as not run.
    let gone = |_| Refusal::new(Reason::EndpointLost, format!("{} was lost", endpoint.name));
    let response = send(state, attempt).await.map_err(gone)?;
    if !response.status().is_success() {
        let detail = format!("{} no longer has the stream", endpoint.name);
        return Err(Refusal::new(Reason::EndpointLost, detail));
    }
    let home = sign_home_hint(state, admitted, &endpoint.name);
    let token = token.to_owned();
    let started = StartedStream {
        endpoint,
        in_flight: None,
        claim: None,
        place: token,
        response,
        first_number,
        base: place.base,
        failover: None,
    };
    Ok(ChatResponse::Stream {
        started: Box::new(started),
        home,
    })
}

/// Signs the affinity hint for the engine that served the chat.
fn sign_home_hint(state: &State, admitted: &Admitted, engine: &EndpointId) -> HeaderValue {
    let hint = HomeHint {
        organisation: admitted.organisation.clone(),
        endpoint: engine.clone(),
    };
    HeaderValue::from_str(&state.tokens.sign_home(&hint))
        .unwrap_or_else(|_| HeaderValue::from_static(""))
}
