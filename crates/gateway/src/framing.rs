//! How the end of a response body is delimited (RFC 9112, section 6.3).

use hyper::header::{CONTENT_LENGTH, HeaderMap, TRANSFER_ENCODING};
use hyper::{Method, StatusCode, http};
use serde::Serialize;

/// What delimits a response body.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum BodyFraming {
    /// The response has no body by definition.
    NoBody,
    /// Its length, or chunks: a body that breaks off is known as such.
    SelfDelimited,
    /// The close of the connection: nobody knows whether the body is complete.
    CloseDelimited,
}

impl BodyFraming {
    /// Determines the framing of a response to a request with `method`. Returns `None` if the
    /// response has both a length and chunks, as in response splitting, or an unknown transfer
    /// coding. The HTTP library rejects lengths that differ.
    pub(crate) fn of_response(method: &Method, head: &http::response::Parts) -> Option<Self> {
        if !may_have_body(method, head.status) {
            return Some(Self::NoBody);
        }
        let has_length = head.headers.contains_key(CONTENT_LENGTH);
        if head.headers.contains_key(TRANSFER_ENCODING) {
            let is_valid = !has_length && is_chunked(&head.headers);
            return is_valid.then_some(Self::SelfDelimited);
        }
        Some(if has_length {
            Self::SelfDelimited
        } else {
            Self::CloseDelimited
        })
    }
}

/// Whether a response with this status to a request with this method may have a body.
pub(crate) fn may_have_body(method: &Method, status: StatusCode) -> bool {
    let is_bodiless = matches!(status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED);
    !is_bodiless && method != Method::HEAD
}

/// Whether the only transfer coding is `chunked`.
fn is_chunked(headers: &HeaderMap) -> bool {
    let mut codings = headers.get_all(TRANSFER_ENCODING).iter();
    let coding = codings.next().and_then(|value| value.to_str().ok());
    let is_chunked = coding.is_some_and(|coding| coding.trim().eq_ignore_ascii_case("chunked"));
    is_chunked && codings.next().is_none()
}
