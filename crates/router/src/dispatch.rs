//! Sends one attempt to an endpoint and classifies failures.

use axum::http::{HeaderMap, HeaderValue};
use bytes::Bytes;
use chalkrock_core::{Endpoint, Reason, RequestId};
use reqwest::{Method, Response, StatusCode};

use crate::refusal::{REQUEST_ID_HEADER, Refusal};
use crate::state::State;

/// Path of chat requests, on routers and engines.
pub(crate) const CHAT_PATH: &str = "/v1/chat/completions";

/// Response header of an endpoint that did not start the request.
const NOT_STARTED_HEADER: &str = "x-not-started";

/// One attempt of a request.
pub(crate) struct Attempt<'a> {
    pub(crate) request: &'a RequestId,
    pub(crate) endpoint: &'a Endpoint,
    pub(crate) method: Method,
    /// Path and query.
    pub(crate) path: &'a str,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

/// Sends an attempt and returns once the response head has arrived.
///
/// # Errors
///
/// The outcome is "not run" only if connecting failed or the endpoint reported
/// that the request did not start.
pub(crate) async fn send(state: &State, attempt: Attempt<'_>) -> Result<Response, Refusal> {
    let span = tracing::info_span!("dispatch", endpoint = %attempt.endpoint.name);
    let mut headers = attempt.headers;
    chalkrock_process::inject_trace_context(&span, &mut headers);
    if let Ok(id) = attempt.request.as_str().parse() {
        headers.insert(REQUEST_ID_HEADER, id);
    }
    let url = format!("http://{}{}", attempt.endpoint.address, attempt.path);
    let sending = state
        .http
        .request(attempt.method, url)
        .headers(headers)
        .body(attempt.body);
    let name = &attempt.endpoint.name;
    let response = sending.send().await.map_err(|error| {
        if error.is_connect() || error.is_builder() {
            return Refusal::new(
                Reason::EndpointUnreachable,
                format!("cannot connect to {name}"),
            );
        }
        Refusal::new(Reason::EndpointLost, format!("{name} disconnected"))
    })?;
    let refused = response.status() == StatusCode::SERVICE_UNAVAILABLE
        && response.headers().contains_key(NOT_STARTED_HEADER);
    if refused {
        return Err(Refusal::new(
            Reason::EndpointRefused,
            format!("{name} refused the request"),
        ));
    }
    Ok(response)
}

/// Returns the headers of a request with a JSON body.
pub(crate) fn json_headers() -> HeaderMap {
    let mut headers = HeaderMap::new();
    headers.insert("content-type", HeaderValue::from_static("application/json"));
    headers
}
