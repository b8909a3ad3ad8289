//! How requests, answers and refusals are spelled on the wire.
//!
//! An edge turns a caller's head into what the gateway decides by, and the
//! gateway's decisions into heads for endpoints and callers. It decides
//! nothing and keeps nothing.

use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use chalkrock_core::{EndpointId, OrganisationId, Reason, RequestId};
use hyper::header::{HeaderMap, HeaderValue};
use hyper::{Response, http};

/// One part of a prompt, in order; parts are shared between requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PrefixPart {
    /// The hash of the part's name.
    pub hash: u64,
    /// Its length in tokens.
    pub tokens: u64,
}

/// What a caller's head says.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CallHead {
    /// The caller's name for the request.
    pub id: Option<RequestId>,
    /// The host name that was asked for.
    pub host: Arc<str>,
    /// The key that was shown.
    pub key: Option<Arc<str>>,
    /// How long the caller waits from now.
    pub deadline_ms: Option<u64>,
    /// The parts of the prompt.
    pub prefix: Vec<PrefixPart>,
    /// The event after which the caller wants a stream to go on.
    pub resume_after: Option<u64>,
}

/// What the gateway decided about one send.
#[derive(Clone, Debug)]
pub struct SendHead<'a> {
    /// The organisation that asks.
    pub organisation: Option<&'a OrganisationId>,
    /// The endpoint that is meant, and no other.
    pub endpoint: &'a EndpointId,
    /// How long the endpoint may work.
    pub deadline_ms: u64,
    /// The rank of the request, 0 first.
    pub priority: u8,
    /// The event after which a stream is to go on.
    pub resume_after: Option<u64>,
    /// Another endpoint that may hold the prompt's prefix in memory.
    pub holder: Option<SocketAddr>,
}

/// What an endpoint's head says.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AnswerHead {
    /// The request that is answered.
    pub id: Option<RequestId>,
    /// Whether the endpoint vouches for the answer as its own and unchanged.
    pub is_signed: bool,
    /// The endpoint says that it did not run the request.
    pub says_not_run: bool,
    /// The endpoint is not the one that was meant.
    pub is_other_endpoint: bool,
    /// Seconds for which a kept connection may rest.
    pub keep_alive_s: Option<u64>,
    /// The connection ends with this answer.
    pub closes: bool,
    /// The endpoint says that it leaves.
    pub is_leaving: bool,
    /// Whether it wants nothing from this host for a while.
    pub backoff: RequestedBackoff,
}

/// What an answer that turns a request away says of the time to come.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum RequestedBackoff {
    /// Nothing.
    #[default]
    None,
    /// The endpoint wants nothing from this host for so many milliseconds.
    ForMs(u64),
    /// Something that can't be read.
    Unreadable(String),
}

/// A final answer of the gateway's own.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Why.
    pub reason: Reason,
    /// What happened, for people.
    pub detail: String,
    /// When a repeat makes sense, if it ever does.
    pub retry_after_ms: Option<u64>,
}

/// The spelling of requests and answers.
pub trait Edge: Send + Sync + 'static {
    /// Reads a caller's head.
    ///
    /// # Errors
    ///
    /// If the head is not what the interface expects.
    fn read_call(&self, head: &http::request::Parts) -> Result<CallHead, Refusal>;

    /// The headers for an endpoint, from the caller's.
    fn endpoint_headers(&self, caller: &HeaderMap, send: &SendHead<'_>) -> HeaderMap;

    /// Reads an endpoint's head.
    fn read_answer(&self, head: &http::response::Parts) -> AnswerHead;

    /// The headers for the caller, from the endpoint's.
    fn caller_headers(&self, endpoint: &HeaderMap) -> HeaderMap;

    /// The answer that tells a refusal.
    fn refusal(&self, id: Option<&RequestId>, refusal: &Refusal) -> Response<Bytes>;

    /// The path at which readiness is asked.
    fn ready_path(&self) -> &str;
}

/// Removes the headers that concern one connection only (RFC 9110, section
/// 7.6.1), those that `Connection` names among them.
pub(crate) fn remove_connection_headers(headers: &mut HeaderMap) {
    const OF_CONNECTION: [&str; 9] = [
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
    let named: Vec<String> = headers
        .get_all(hyper::header::CONNECTION)
        .iter()
        .filter_map(|value: &HeaderValue| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    for name in OF_CONNECTION {
        headers.remove(name);
    }
    for name in named {
        headers.remove(name.as_str());
    }
}
