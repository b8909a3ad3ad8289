//! Turns an engine's answer into the caller's: a stream, a whole answer, or a
//! stream that another router began.

use std::sync::Arc;

use axum::http::{HeaderMap, HeaderValue};
use axum::response::{IntoResponse, Response};
use bytes::Bytes;
use chalkrock_core::{EndpointId, HomeHint, Outcome, Pool, Reason, StreamPlace};
use reqwest::Method;
use tokio::time::Instant;

use super::send::{Chat, Dispatched};
use crate::claims::Claim;
use crate::dispatch::{Attempt, send};
use crate::entry::Entered;
use crate::explain::Explanation;
use crate::place::ChatPlace;
use crate::refusal::Refusal;
use crate::relay::{Begun, Elsewhere};
use crate::state::State;

/// An endpoint's answer that is ready to be passed on.
pub(super) enum Served {
    Stream {
        begun: Box<Begun>,
        home: HeaderValue,
    },
    Whole {
        response: Response,
        home: HeaderValue,
    },
}

/// Ends the claim of a request that is over; a stream takes it along.
pub(super) fn settle_claim(
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

/// Turns the endpoint's answer into the caller's.
pub(super) async fn pass_on(
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
    let home = home_hint(state, entered, &endpoint.name);
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
pub(super) async fn resume(
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
    let from = number
        .checked_add(1)
        .ok_or_else(|| refused("the number is too high"))?;
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
    // Whatever keeps the engine from answering: the request did run there.
    let gone = |_| Refusal::new(Reason::EndpointLost, format!("{} is gone", endpoint.name));
    let response = send(state, attempt).await.map_err(gone)?;
    if !response.status().is_success() {
        let detail = format!("{} no longer has the stream", endpoint.name);
        return Err(Refusal::new(Reason::EndpointLost, detail));
    }
    let home = home_hint(state, entered, &endpoint.name);
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

/// The affinity hint that names this engine as the chat's home.
fn home_hint(state: &State, entered: &Entered, engine: &EndpointId) -> HeaderValue {
    let hint = HomeHint {
        organisation: entered.organisation.clone(),
        endpoint: engine.clone(),
    };
    HeaderValue::from_str(&state.tokens.sign_home(&hint))
        .unwrap_or_else(|_| HeaderValue::from_static(""))
}
