//! Forwards requests through another host to endpoints that this host can't reach.
//!
//! The origin, the host of the caller, keeps the caller's connection, admission, the retry
//! budget, shares, slot leases and the decision about further attempts. The next hop makes
//! one attempt at an endpoint that it reaches itself and reports how it ended. It never
//! forwards a request again, so that there are no loops. It accepts requests of hosts of the
//! fleet only, on an address of its own.
//!
//! A request that was not written, or that the next hop reports as not run, has not run. If
//! the connection to the next hop breaks without a response, it may have.

mod next_hop;
mod origin;

use std::sync::Arc;

use chalkrock_core::{BuildVersion, EndpointId, HostId, PoolId};
use chalkrock_routing::{AttemptOutcome, Caller, RequestFingerprint, Route, RulesVersion};
use hyper::header::{HeaderMap, HeaderName, HeaderValue};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

pub(crate) use next_hop::serve_forwarded;
pub(crate) use origin::{Forwarding, Path, forward};

/// Carries a [`ForwardHead`] in requests and a [`ForwardResult`] in responses. Not sent to
/// callers and endpoints.
const FORWARD: HeaderName = HeaderName::from_static("chalkrock-forward");

/// What the origin has decided about a request.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct ForwardHead {
    pub(crate) origin: HostId,
    pub(crate) rules: RulesVersion,
    pub(crate) route: Arc<Route>,
    pub(crate) pool: PoolId,
    pub(crate) caller: Option<Caller>,
    /// Time until the deadline.
    pub(crate) remaining_ms: u64,
    pub(crate) resume_after: Option<u64>,
    pub(crate) fingerprint: RequestFingerprint,
    /// The chosen endpoint, by the hash of its start.
    pub(crate) endpoint: u32,
    /// Whether a slot of that endpoint was granted, so that no other may be used.
    pub(crate) is_granted: bool,
    /// Endpoints tried before.
    pub(crate) tried: Vec<u32>,
    /// How many of these received the request.
    pub(crate) delivered_attempts: u32,
    /// The build at which the stream must go on, if it has begun.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub(crate) stream_build: Option<BuildVersion>,
}

/// How the attempt of the next hop ended.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
struct ForwardResult {
    /// The endpoint that received the request, if any did.
    #[serde(skip_serializing_if = "Option::is_none")]
    endpoint: Option<UsedEndpoint>,
    /// Endpoints that the next hop can't reach either.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    unreached: Vec<u32>,
    /// How it failed; `None` if the endpoint's response follows.
    #[serde(skip_serializing_if = "Option::is_none")]
    end: Option<AttemptOutcome>,
    /// Whether the endpoint's response follows although the attempt failed.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    has_response: bool,
    /// Whether only the close of its connection ended the endpoint's response. The next hop
    /// sends it with a framing of its own.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    is_close_delimited: bool,
}

/// An endpoint that received a forwarded request.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct UsedEndpoint {
    pub(crate) name: EndpointId,
    /// Hash of its start.
    pub(crate) start: u32,
    #[serde(default)]
    pub(crate) build: BuildVersion,
}

impl ForwardResult {
    /// The result of a request that the next hop did not send.
    fn not_sent() -> Self {
        Self {
            end: Some(AttemptOutcome::Withdrawn),
            ..Self::default()
        }
    }
}

/// Encodes a value for [`FORWARD`]. JSON has no control characters, which headers exclude.
fn encode<T: Serialize>(value: &T) -> Option<HeaderValue> {
    let bytes = serde_json::to_vec(value).ok()?;
    HeaderValue::from_bytes(&bytes).ok()
}

/// Removes and decodes the value of [`FORWARD`].
fn take<T: DeserializeOwned>(headers: &mut HeaderMap) -> Option<T> {
    let value = headers.remove(FORWARD)?;
    serde_json::from_slice(value.as_bytes()).ok()
}
