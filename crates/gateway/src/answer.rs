//! Response bodies and refusals for callers.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use chalkrock_core::{Outcome, Reason, RequestId};
use futures::Stream;
use hyper::Response;
use hyper::body::{Body, Frame, SizeHint};
use rand::RngExt;

use crate::byte_budget::HeldBytes;
use crate::edge::{Edge, Refusal};

/// Aborts a response: the caller's connection closes before the end of the body, so
/// that a partial body does not look complete.
#[derive(Debug, thiserror::Error)]
#[error("the response was aborted")]
pub(crate) struct AnswerAborted;

/// Events of a stream for the caller.
pub(crate) type Events = Pin<Box<dyn Stream<Item = Result<Bytes, AnswerAborted>> + Send>>;

/// Largest chunk passed to a connection at once. A connection buffers that much for a
/// slow caller; the remainder counts against the response byte budget.
pub(crate) const CHUNK_BYTES: usize = 16 * 1024;

/// A complete body and its reservation in the byte budget, held until it is sent.
#[derive(Debug, Default)]
pub(crate) struct BufferedResponseBody {
    pub(crate) bytes: Bytes,
    pub(crate) held: Option<HeldBytes>,
}

impl BufferedResponseBody {
    /// A body made by the gateway itself, without a reservation.
    pub(crate) fn unreserved(bytes: Bytes) -> Self {
        Self { bytes, held: None }
    }

    fn next_chunk(&mut self) -> Option<Bytes> {
        if self.bytes.is_empty() {
            self.held = None;
            return None;
        }
        let chunk_bytes = self.bytes.len().min(CHUNK_BYTES);
        Some(self.bytes.split_to(chunk_bytes))
    }
}

pub(crate) enum CallerBody {
    Whole(BufferedResponseBody),
    Events(Events),
}

impl Body for CallerBody {
    type Data = Bytes;
    type Error = AnswerAborted;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, AnswerAborted>>> {
        match self.get_mut() {
            CallerBody::Whole(body) => {
                let chunk = body.next_chunk();
                Poll::Ready(chunk.map(|chunk| Ok(Frame::data(chunk))))
            }
            CallerBody::Events(events) => events
                .as_mut()
                .poll_next(cx)
                .map(|next| next.map(|event| event.map(Frame::data))),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            CallerBody::Whole(body) => SizeHint::with_exact(body.bytes.len() as u64),
            CallerBody::Events(_) => SizeHint::default(),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            CallerBody::Whole(body) => body.bytes.is_empty(),
            CallerBody::Events(_) => false,
        }
    }
}

impl Refusal {
    /// Creates a refusal with the default retry delay of its reason.
    pub(crate) fn new(reason: Reason, detail: impl Into<String>) -> Self {
        Self {
            reason,
            detail: detail.into(),
            retry_after_ms: retry_after_ms(reason),
        }
    }

    /// Creates a refusal of a request that another host may accept at once.
    pub(crate) fn elsewhere(reason: Reason, detail: impl Into<String>) -> Self {
        Self {
            retry_after_ms: Some(OTHER_HOST_RETRY_MS),
            ..Self::new(reason, detail)
        }
    }

    /// The outcome that it reports for the request.
    pub(crate) fn outcome(&self) -> Outcome {
        self.reason.outcome()
    }

    /// Converts the refusal to a response.
    pub(crate) fn into_response(
        self,
        edge: &dyn Edge,
        id: Option<&RequestId>,
    ) -> Response<CallerBody> {
        let response = edge.refusal(id, &self);
        response.map(|body| CallerBody::Whole(BufferedResponseBody::unreserved(body)))
    }
}

/// Delay before a retry at another host.
const OTHER_HOST_RETRY_MS: u64 = 10;

/// Delay after which a request that did not run may be repeated. Another host may
/// accept it at once; full endpoints and pools need longer. Random for overloaded
/// pools, so that refused callers don't return together.
fn retry_after_ms(reason: Reason) -> Option<u64> {
    const FULL_ENDPOINT_RETRY_MS: u64 = 200;
    const NO_ENDPOINT_RETRY_MS: u64 = 500;
    const OVERLOAD_RETRY_MS: std::ops::Range<u64> = 300..1_000;
    match reason {
        Reason::Leaving | Reason::HostFull => Some(OTHER_HOST_RETRY_MS),
        Reason::NoView | Reason::NoEndpoint => Some(NO_ENDPOINT_RETRY_MS),
        Reason::AtBound | Reason::OverShare => Some(rand::rng().random_range(OVERLOAD_RETRY_MS)),
        Reason::EndpointRefused | Reason::EndpointUnreachable | Reason::DeadlineTooClose => {
            Some(FULL_ENDPOINT_RETRY_MS)
        }
        other => other.retry_after_s().map(|s| u64::from(s) * 1_000),
    }
}
