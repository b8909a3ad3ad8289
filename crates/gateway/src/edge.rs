//! The wire format of requests, responses and refusals.
//!
//! An edge translates heads between the wire and the gateway. It is stateless and makes
//! no decisions.

use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use chalkrock_core::{EndpointId, OrganisationId, Reason, RequestId};
use hyper::header::{HeaderMap, HeaderValue};
use hyper::{Response, http};

/// A part of a prompt that requests may share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PrefixPart {
    /// Hash of the part's name.
    pub hash: u64,
    /// Its length in tokens.
    pub tokens: u64,
}

/// The contents of a caller's request head.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CallHead {
    /// The request id that the caller chose.
    pub id: Option<RequestId>,
    /// The requested host name.
    pub host: Arc<str>,
    /// The API key.
    pub key: Option<Arc<str>>,
    /// How long the caller waits, in milliseconds from now.
    pub deadline_ms: Option<u64>,
    /// The parts of the prompt, in order.
    pub prefix: Vec<PrefixPart>,
    /// The event after which a stream resumes.
    pub resume_after: Option<u64>,
    /// The id of the caller's request that received the first event of the stream which this
    /// one resumes.
    pub resumes: Option<RequestId>,
}

/// The contents of a request head for an endpoint.
#[derive(Clone, Debug)]
pub struct SendHead<'a> {
    /// The caller's organisation.
    pub organisation: Option<&'a OrganisationId>,
    /// The endpoint that must serve the request.
    pub endpoint: &'a EndpointId,
    /// How long the endpoint may work on the request.
    pub deadline_ms: u64,
    /// The priority of the request, 0 first.
    pub priority: u8,
    /// The event after which the stream resumes.
    pub resume_after: Option<u64>,
    /// Another endpoint that may hold the prompt's prefix in memory.
    pub holder: Option<SocketAddr>,
}

/// The contents of an endpoint's response head.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AnswerHead {
    /// The id of the request.
    pub id: Option<RequestId>,
    /// Whether the endpoint signed the response.
    pub is_signed: bool,
    /// Whether the endpoint reports that it did not run the request.
    pub says_not_run: bool,
    /// Whether the status is that of another endpoint than the intended one. No proof by itself,
    /// since an endpoint that fails may send any status.
    pub is_other_endpoint: bool,
    /// The endpoint that the response names as its own.
    pub endpoint: Option<EndpointId>,
    /// Keep-alive timeout of the connection in seconds.
    pub keep_alive_s: Option<u64>,
    /// Whether the connection closes after this response.
    pub closes: bool,
    /// Whether the endpoint reports that it is leaving.
    pub is_leaving: bool,
    /// The backoff that the endpoint requests from this host.
    pub backoff: RequestedBackoff,
    /// The load that the endpoint reports, if it does.
    pub load: Option<EndpointLoad>,
    /// How many requests the endpoint may reject within a second before it fails, if it
    /// reports such a limit.
    pub max_rejections_per_s: Option<u32>,
}

impl AnswerHead {
    /// Whether the response proves that it is of another endpoint than the intended one, which
    /// did not run the request.
    pub(crate) fn is_of_another(&self, intended: Option<&EndpointId>) -> bool {
        let names_another = self
            .endpoint
            .as_ref()
            .zip(intended)
            .is_some_and(|(named, intended)| named != intended);
        self.is_other_endpoint && (self.says_not_run || names_another)
    }
}

/// The load that an endpoint reports of itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EndpointLoad {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait for a slot.
    pub waiting: u32,
    /// Requests that it runs concurrently.
    pub slots: u32,
    /// How long its work takes, in thousandths of the usual.
    pub slowness_permille: Option<u16>,
}

/// The backoff that a refusing endpoint requests.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum RequestedBackoff {
    /// No backoff.
    #[default]
    None,
    /// No requests from this host for so many milliseconds.
    ForMs(u64),
    /// A header value that can't be parsed.
    Unreadable(String),
}

/// A request that the gateway refuses.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// The reason code.
    pub reason: Reason,
    /// A message for humans.
    pub detail: String,
    /// Delay before a retry, if one can succeed.
    pub retry_after_ms: Option<u64>,
}

/// Translates between the wire format and the gateway.
pub trait Edge: Send + Sync + 'static {
    /// Parses a caller's request head.
    ///
    /// # Errors
    ///
    /// If the head is invalid.
    fn read_call(&self, head: &http::request::Parts) -> Result<CallHead, Refusal>;

    /// Converts a caller's headers to headers for an endpoint.
    fn endpoint_headers(&self, caller: &HeaderMap, send: &SendHead<'_>) -> HeaderMap;

    /// Parses an endpoint's response head.
    fn read_answer(&self, head: &http::response::Parts) -> AnswerHead;

    /// Converts an endpoint's headers to headers for the caller.
    fn caller_headers(&self, endpoint: &HeaderMap) -> HeaderMap;

    /// Builds the response for a refusal.
    fn refusal(&self, id: Option<&RequestId>, refusal: &Refusal) -> Response<Bytes>;

    /// The path of the readiness check.
    fn ready_path(&self) -> &str;
}

/// Removes the hop-by-hop headers (RFC 9110, section 7.6.1), including those that
/// `Connection` names.
pub(crate) fn remove_connection_headers(headers: &mut HeaderMap) {
    const HOP_BY_HOP: [&str; 9] = [
        "connection",
        "keep-alive",
        "proxy-connection",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    ];
    let listed: Vec<String> = headers
        .get_all(hyper::header::CONNECTION)
        .iter()
        .filter_map(|value: &HeaderValue| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    for name in HOP_BY_HOP {
        headers.remove(name);
    }
    for name in listed {
        headers.remove(name.as_str());
    }
}
