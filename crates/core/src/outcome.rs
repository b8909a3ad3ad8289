//! What a caller is told at the end of its request, classified in one place.
//!
//! `not-run` is a promise: it is said only if no byte of the request reached
//! an endpoint, or the endpoint's contract says that it did not start.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Whether a request ran, as far as the router can prove it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// An endpoint ran it.
    Ran,
    /// No endpoint ran it or will run it.
    NotRun,
    /// It may have run.
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

/// Why a request ended without the endpoint's own answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Reason {
    /// The body is not what the API expects.
    InvalidRequest,
    /// The body is larger than the limit.
    BodyTooLarge,
    /// The request did not arrive in time.
    RequestTooSlow,
    /// No key, or a key that no organisation holds.
    UnknownKey,
    /// No pool serves the model.
    UnknownModel,
    /// No pool is the service.
    UnknownService,
    /// A token was altered, or belongs to another organisation.
    TokenRefused,
    /// The host has no view of the fleet that is recent enough.
    NoView,
    /// The pool has no endpoint that takes work.
    NoEndpoint,
    /// Every engine asked is at its load bound.
    AtBound,
    /// The organisation is over its share and the pool is full.
    OverShare,
    /// The request could not end before its deadline.
    DeadlineTooClose,
    /// The platform's table does not answer, so a claim can't be made.
    ClaimsUnavailable,
    /// A request with the same key is running.
    KeyInUse,
    /// A request with the same key ended, or may have run.
    KeyUsed,
    /// The key was used with another body.
    KeyMismatch,
    /// The host is leaving and takes no new requests.
    Leaving,
    /// The host holds as many bytes of requests as its memory allows.
    HostFull,
    /// Endpoints ended under the same request before: it is sent to no more.
    PoisonRequest,
    /// Every endpoint of the pool asked to be sent nothing for a while.
    EndpointsBackOff,
    /// The endpoint could not be reached.
    EndpointUnreachable,
    /// The endpoint refused: it did not start the request.
    EndpointRefused,
    /// The endpoint stopped answering before the end.
    EndpointLost,
    /// The endpoint's answer can't be read.
    EndpointGarbage,
    /// The request passed its deadline at the endpoint.
    DeadlinePassed,
}

impl Reason {
    /// Each reason, for documents and tests that go through all.
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

    /// The code in error bodies and metrics, the same as in the docs.
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

    /// The HTTP status of the answer.
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

    /// What the router can prove about the attempt that ended so.
    ///
    /// `KeyInUse` and `KeyUsed` speak of the repeat, which never runs; the
    /// first request's own outcome is in the body.
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

    /// Seconds after which a repeat makes sense, if it ever does.
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
