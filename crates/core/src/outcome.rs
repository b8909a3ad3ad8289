//! Request outcomes and the reasons for failures, as reported to callers.
//!
//! `not-run` is a guarantee: it is reported only if no byte of the request
//! reached an endpoint, or the endpoint's contract states that it did not start.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Whether a request ran, as far as the router can prove it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// An endpoint ran the request.
    Ran,
    /// No endpoint ran the request or will run it.
    NotRun,
    /// The request may have run.
    Unknown,
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Outcome::Ran => "ran",
            Outcome::NotRun => "not-run",
            Outcome::Unknown => "unknown",
        })
    }
}

/// Why a request ended without a complete response from an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Reason {
    /// The body does not conform to the API.
    InvalidRequest,
    /// The body exceeds the size limit.
    BodyTooLarge,
    /// The request did not arrive in time.
    RequestTooSlow,
    /// The key is missing or belongs to no organisation.
    UnknownKey,
    /// No pool serves the model.
    UnknownModel,
    /// No pool provides the service.
    UnknownService,
    /// A token is invalid or belongs to another organisation.
    TokenRefused,
    /// The host's view of the fleet is missing or too old.
    NoView,
    /// The pool has no live endpoint.
    NoEndpoint,
    /// Every engine tried is at its load bound.
    AtBound,
    /// The organisation is over its share and the pool is full.
    OverShare,
    /// The request could not complete before its deadline.
    DeadlineTooClose,
    /// The store is unavailable, so the request can't be claimed.
    ClaimsUnavailable,
    /// A request with the same idempotency key is running.
    KeyInUse,
    /// A request with the same idempotency key completed or may have run.
    KeyUsed,
    /// The idempotency key was used with another body.
    KeyMismatch,
    /// The host is leaving and accepts no new requests.
    Leaving,
    /// The host's memory limit for buffered requests is reached.
    HostFull,
    /// The request crashed endpoints before and is not retried.
    PoisonRequest,
    /// Every endpoint of the pool backs off.
    EndpointsBackOff,
    /// The endpoint could not be reached.
    EndpointUnreachable,
    /// The endpoint rejected the request without starting it.
    EndpointRefused,
    /// The endpoint stopped responding before the end of its response.
    EndpointLost,
    /// The endpoint's response can't be parsed.
    EndpointGarbage,
    /// The deadline passed while the endpoint processed the request.
    DeadlinePassed,
}

impl Reason {
    /// All reasons, in declaration order.
    pub const ALL: [Reason; 25] = [
        Reason::InvalidRequest,
        Reason::BodyTooLarge,
        Reason::RequestTooSlow,
        Reason::UnknownKey,
        Reason::UnknownModel,
        Reason::UnknownService,
        Reason::TokenRefused,
        Reason::NoView,
        Reason::NoEndpoint,
        Reason::AtBound,
        Reason::OverShare,
        Reason::DeadlineTooClose,
        Reason::ClaimsUnavailable,
        Reason::KeyInUse,
        Reason::KeyUsed,
        Reason::KeyMismatch,
        Reason::Leaving,
        Reason::HostFull,
        Reason::PoisonRequest,
        Reason::EndpointsBackOff,
        Reason::EndpointUnreachable,
        Reason::EndpointRefused,
        Reason::EndpointLost,
        Reason::EndpointGarbage,
        Reason::DeadlinePassed,
    ];

    /// The stable code in error bodies and metrics.
    pub fn code(self) -> &'static str {
        match self {
            Reason::InvalidRequest => "invalid-request",
            Reason::BodyTooLarge => "body-too-large",
            Reason::RequestTooSlow => "request-too-slow",
            Reason::UnknownKey => "unknown-key",
            Reason::UnknownModel => "unknown-model",
            Reason::UnknownService => "unknown-service",
            Reason::TokenRefused => "token-refused",
            Reason::NoView => "no-view",
            Reason::NoEndpoint => "no-endpoint",
            Reason::AtBound => "at-bound",
            Reason::OverShare => "over-share",
            Reason::DeadlineTooClose => "deadline-too-close",
            Reason::ClaimsUnavailable => "claims-unavailable",
            Reason::KeyInUse => "key-in-use",
            Reason::KeyUsed => "key-used",
            Reason::KeyMismatch => "key-mismatch",
            Reason::Leaving => "leaving",
            Reason::HostFull => "host-full",
            Reason::PoisonRequest => "poison-request",
            Reason::EndpointsBackOff => "endpoints-back-off",
            Reason::EndpointUnreachable => "endpoint-unreachable",
            Reason::EndpointRefused => "endpoint-refused",
            Reason::EndpointLost => "endpoint-lost",
            Reason::EndpointGarbage => "endpoint-garbage",
            Reason::DeadlinePassed => "deadline-passed",
        }
    }

    /// The HTTP status of the response.
    pub fn status(self) -> u16 {
        match self {
            Reason::InvalidRequest => 400,
            Reason::BodyTooLarge => 413,
            Reason::RequestTooSlow => 408,
            Reason::UnknownKey => 401,
            Reason::UnknownModel | Reason::UnknownService => 404,
            Reason::TokenRefused => 403,
            Reason::KeyInUse | Reason::KeyUsed => 409,
            Reason::KeyMismatch => 422,
            Reason::OverShare => 429,
            Reason::NoView
            | Reason::NoEndpoint
            | Reason::AtBound
            | Reason::DeadlineTooClose
            | Reason::ClaimsUnavailable
            | Reason::Leaving
            | Reason::HostFull
            | Reason::PoisonRequest
            | Reason::EndpointsBackOff
            | Reason::EndpointUnreachable
            | Reason::EndpointRefused => 503,
            Reason::EndpointLost | Reason::EndpointGarbage => 502,
            Reason::DeadlinePassed => 504,
        }
    }

    /// Whether a request that fails for this reason ran.
    ///
    /// `KeyInUse` and `KeyUsed` describe the repeated request, which never runs;
    /// the response body carries the outcome of the original.
    pub fn outcome(self) -> Outcome {
        match self {
            Reason::EndpointLost | Reason::EndpointGarbage | Reason::DeadlinePassed => {
                Outcome::Unknown
            }
            Reason::InvalidRequest
            | Reason::BodyTooLarge
            | Reason::RequestTooSlow
            | Reason::UnknownKey
            | Reason::UnknownModel
            | Reason::UnknownService
            | Reason::TokenRefused
            | Reason::NoView
            | Reason::NoEndpoint
            | Reason::AtBound
            | Reason::OverShare
            | Reason::DeadlineTooClose
            | Reason::ClaimsUnavailable
            | Reason::KeyInUse
            | Reason::KeyUsed
            | Reason::KeyMismatch
            | Reason::Leaving
            | Reason::HostFull
            | Reason::PoisonRequest
            | Reason::EndpointsBackOff
            | Reason::EndpointUnreachable
            | Reason::EndpointRefused => Outcome::NotRun,
        }
    }

    /// The value of `Retry-After` in seconds, if a retry can succeed.
    pub fn retry_after_s(self) -> Option<u32> {
        match self {
            Reason::AtBound | Reason::EndpointRefused | Reason::EndpointUnreachable => Some(1),
            Reason::NoView
            | Reason::NoEndpoint
            | Reason::Leaving
            | Reason::HostFull
            | Reason::KeyInUse => Some(2),
            Reason::OverShare | Reason::DeadlineTooClose => Some(3),
            Reason::ClaimsUnavailable => Some(5),
            Reason::InvalidRequest
            | Reason::BodyTooLarge
            | Reason::RequestTooSlow
            | Reason::UnknownKey
            | Reason::UnknownModel
            | Reason::UnknownService
            | Reason::TokenRefused
            | Reason::KeyUsed
            | Reason::KeyMismatch
            | Reason::PoisonRequest
            | Reason::EndpointsBackOff
            | Reason::EndpointLost
            | Reason::EndpointGarbage
            | Reason::DeadlinePassed => None,
        }
    }
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.code())
    }
}
