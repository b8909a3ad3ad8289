//! Typed JSON errors that the router sends.

use axum::Json;
use axum::http::{HeaderMap, HeaderValue, StatusCode};
use axum::response::{IntoResponse, Response};
use chalkrock_core::{Outcome, Reason, RequestId};
use serde::Serialize;

/// Header of the request id.
pub(crate) const REQUEST_ID_HEADER: &str = "x-request-id";
/// Header that reports whether the request ran.
pub(crate) const OUTCOME_HEADER: &str = "chalkrock-outcome";

/// An error response of the router.
#[derive(Clone, Debug)]
pub(crate) struct Refusal {
    pub(crate) reason: Reason,
    pub(crate) detail: String,
}

#[derive(Debug, Serialize)]
struct Body<'a> {
    error: BodyError<'a>,
}

#[derive(Debug, Serialize)]
struct BodyError<'a> {
    #[serde(rename = "type")]
    kind: &'static str,
    message: &'a str,
    outcome: Outcome,
    request_id: &'a str,
    #[serde(skip_serializing_if = "Option::is_none")]
    retry_after_s: Option<u32>,
}

impl Refusal {
    pub(crate) fn new(reason: Reason, detail: impl Into<String>) -> Self {
        Self {
            reason,
            detail: detail.into(),
        }
    }

    /// Builds the JSON body, also used as a stream's last event.
    pub(crate) fn body(&self, request: &RequestId) -> String {
        let body = Body {
            error: BodyError {
                kind: self.reason.code(),
                message: &self.detail,
                outcome: self.reason.outcome(),
                request_id: request.as_str(),
                retry_after_s: self.reason.retry_after_s(),
            },
        };
        serde_json::to_string(&body).unwrap_or_default()
    }

    /// Builds the response.
    pub(crate) fn into_answer(self, request: &RequestId) -> Response {
        let status = StatusCode::from_u16(self.reason.status());
        let status = status.unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
        let body = self.body(request);
        let mut response = (status, [("content-type", "application/json")], body).into_response();
        let headers = response.headers_mut();
        if let Some(seconds) = self.reason.retry_after_s() {
            headers.insert("retry-after", HeaderValue::from(seconds));
        }
        set_outcome_headers(headers, request, self.reason.outcome());
        response
    }
}

/// Sets the request id header.
pub(crate) fn set_request_id(headers: &mut HeaderMap, request: &RequestId) {
    if let Ok(id) = HeaderValue::from_str(request.as_str()) {
        headers.insert(REQUEST_ID_HEADER, id);
    }
}

/// Sets the request id and outcome headers.
pub(crate) fn set_outcome_headers(headers: &mut HeaderMap, request: &RequestId, outcome: Outcome) {
    set_request_id(headers, request);
    if let Ok(outcome) = HeaderValue::from_str(&outcome.to_string()) {
        headers.insert(OUTCOME_HEADER, outcome);
    }
}

/// Builds a JSON error of the operators' API.
pub(crate) fn operator_error(status: StatusCode, message: &str) -> Response {
    let body = serde_json::json!({"error": {"type": "operator", "message": message}});
    (status, Json(body)).into_response()
}
