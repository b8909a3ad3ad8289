//! Sends one attempt to an endpoint and sorts what comes back.

use axum::http::{HeaderMap, HeaderValue};
use bytes::Bytes;
use chalkrock_core::{Endpoint, Reason, RequestId};
use reqwest::{Method, Response, StatusCode};

use crate::refusal::{REQUEST_ID, Refusal};
use crate::state::State;

/// Where engines take chat requests, the same path as ours.
pub(crate) const CHAT_PATH: &str = "/v1/chat/completions";

/// An endpoint's header by which it says that the request did not start.
const NOT_STARTED: &str = "x-not-started";

/// One attempt of a request.
pub(crate) struct Attempt<'a> {
    pub(crate) request: &'a RequestId,
    pub(crate) endpoint: &'a Endpoint,
    pub(crate) method: Method,
    /// Path and query at the endpoint.
    pub(crate) path: &'a str,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

/// Sends an attempt. The answer's head is in: the endpoint runs it or ran it.
///
/// # Errors
///
/// A refusal whose reason says what is proved: only a connection that never
/// stood, or the endpoint's own word, count as not run.
pub(crate) async fn send(state: &State, attempt: Attempt<'_>) -> Result<Response, Refusal> {
    let span = tracing::info_span!("dispatch", endpoint = %attempt.endpoint.name);
    let mut headers = attempt.headers;
    chalkrock_process::inject_trace_context(&span, &mut headers);
    if let Ok(id) = attempt.request.as_str().parse() {
        headers.insert(REQUEST_ID, id);
    }
    let url = format!("http://{}{}", attempt.endpoint.address, attempt.path);
    let sending = state
        .endpoints
        .request(attempt.method, url)
        .headers(headers)
        .body(attempt.body);
    let name = &attempt.endpoint.name;
    let response = sending.send().await.map_err(|error| {
        if error.is_connect() || error.is_builder() {
            return Refusal::new(
                Reason::EndpointUnreachable,
                format!("{name} can't be reached"),
            );
        }
        Refusal::new(Reason::EndpointLost, format!("{name} stopped answering"))
    })?;
    let refused = response.status() == StatusCode::SERVICE_UNAVAILABLE
        && response.headers().contains_key(NOT_STARTED);
    if refused {
        return Err(Refusal::new(
            Reason::EndpointRefused,
            format!("{name} refused"),
        ));
    }
    Ok(response)
}

/// The headers of a request with a JSON body.
pub(crate) fn json_headers() -> HeaderMap {
    let mut headers = HeaderMap::new();
    headers.insert("content-type", HeaderValue::from_static("application/json"));
    headers
}
