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
use crate::framing::BodyFraming;

/// The error of a response body that ends early. The HTTP server then closes the
/// connection, so that a partial body does not look complete.
#[derive(Debug, thiserror::Error)]
#[error("the response was aborted")]
pub(crate) struct ResponseAborted;

pub(crate) type EventStream = Pin<Box<dyn Stream<Item = Result<Bytes, ResponseAborted>> + Send>>;

/// Largest chunk of a buffered body that is passed to a connection at once. A connection
/// buffers that much for a slow caller; the remainder counts against the byte budget.
pub(crate) const MAX_CHUNK_BYTES: usize = 16 * 1024;

/// The unsent part of a complete body, and the reservation of the body in the byte budget.
#[derive(Debug, Default)]
pub(crate) struct BufferedResponseBody {
    pub(crate) remaining: Bytes,
    pub(crate) reservation: Option<HeldBytes>,
}

impl BufferedResponseBody {
    /// A body made by the gateway itself, without a reservation.
    pub(crate) fn unreserved(remaining: Bytes) -> Self {
        Self {
            remaining,
            reservation: None,
        }
    }

    fn next_chunk(&mut self) -> Option<Bytes> {
        if self.remaining.is_empty() {
            self.reservation = None;
            return None;
        }
        let chunk_bytes = self.remaining.len().min(MAX_CHUNK_BYTES);
        Some(self.remaining.split_to(chunk_bytes))
    }
}

pub(crate) enum ResponseBody {
    Buffered(BufferedResponseBody),
    Events(EventStream),
    /// A body that nobody knows to be complete: only the close of the connection may end it.
    CloseDelimited(Box<ResponseBody>),
}

impl ResponseBody {
    /// The body in the framing of the endpoint's response.
    pub(crate) fn framed(self, framing: BodyFraming) -> Self {
        match framing {
            BodyFraming::CloseDelimited => Self::CloseDelimited(Box::new(self)),
            BodyFraming::NoBody | BodyFraming::SelfDelimited => self,
        }
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = ResponseAborted;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, ResponseAborted>>> {
        match self.get_mut() {
            ResponseBody::Buffered(body) => {
                let chunk = body.next_chunk();
                Poll::Ready(chunk.map(|chunk| Ok(Frame::data(chunk))))
            }
            ResponseBody::Events(events) => events
                .as_mut()
                .poll_next(cx)
                .map(|next| next.map(|event| event.map(Frame::data))),
            ResponseBody::CloseDelimited(body) => Pin::new(body.as_mut()).poll_frame(cx),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            ResponseBody::Buffered(body) => SizeHint::with_exact(body.remaining.len() as u64),
            ResponseBody::Events(_) | ResponseBody::CloseDelimited(_) => SizeHint::default(),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            ResponseBody::Buffered(body) => body.remaining.is_empty(),
            ResponseBody::Events(_) | ResponseBody::CloseDelimited(_) => false,
        }
    }
}

impl Refusal {
    /// Creates a refusal with the usual retry delay for its reason, if a retry can succeed.
    pub(crate) fn new(reason: Reason, detail: impl Into<String>) -> Self {
        Self {
            reason,
            detail: detail.into(),
            retry_after_ms: retry_after_ms(reason),
        }
    }

    /// Creates a refusal of a request that another host or endpoint may accept at once.
    pub(crate) fn with_short_retry(reason: Reason, detail: impl Into<String>) -> Self {
        Self {
            retry_after_ms: Some(SHORT_RETRY_MS),
            ..Self::new(reason, detail)
        }
    }

    pub(crate) fn outcome(&self) -> Outcome {
        self.reason.outcome()
    }

    /// Converts the refusal to a response in the wire format of `edge`.
    pub(crate) fn into_response(
        self,
        edge: &dyn Edge,
        request_id: Option<&RequestId>,
    ) -> Response<ResponseBody> {
        let response = edge.refusal(request_id, &self);
        response.map(|body| ResponseBody::Buffered(BufferedResponseBody::unreserved(body)))
    }
}

const SHORT_RETRY_MS: u64 = 10;

/// Returns the delay before a retry; `None` if no retry can succeed. Random if the pool is
/// full, so that callers don't return together. Some delays replace those of
/// [`Reason::retry_after_s`], whose whole seconds are too coarse.
fn retry_after_ms(reason: Reason) -> Option<u64> {
    const FAILED_ATTEMPT_RETRY_MS: u64 = 200;
    const NOT_READY_RETRY_MS: u64 = 500;
    const FULL_POOL_RETRY_MS: std::ops::Range<u64> = 300..1_000;
    match reason {
        Reason::Leaving | Reason::HostFull => Some(SHORT_RETRY_MS),
        Reason::NoView | Reason::NoEndpoint => Some(NOT_READY_RETRY_MS),
        Reason::AtBound | Reason::OverShare => Some(rand::rng().random_range(FULL_POOL_RETRY_MS)),
        Reason::EndpointRefused | Reason::EndpointUnreachable | Reason::DeadlineTooClose => {
            Some(FAILED_ATTEMPT_RETRY_MS)
        }
        other => other.retry_after_s().map(|s| u64::from(s) * 1_000),
    }
}
