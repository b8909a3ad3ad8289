//! Bodies and answers for callers.

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

/// The answer breaks off here: the caller's connection closes without an end
/// of the body, so that what came can't be taken for the whole.
#[derive(Debug, thiserror::Error)]
#[error("the answer breaks off")]
pub(crate) struct AnswerAborted;

/// Events of a stream on their way to the caller.
pub(crate) type Events = Pin<Box<dyn Stream<Item = Result<Bytes, AnswerAborted>> + Send>>;

/// What is handed to a connection at once: it keeps that much for a caller that does not
/// read, and the rest stays within the room for answers.
pub(crate) const PIECE_BYTES: usize = 16 * 1024;

/// A body that is there whole, and the room that it takes until it is handed on.
#[derive(Debug, Default)]
pub(crate) struct WholeBody {
    pub(crate) bytes: Bytes,
    pub(crate) held: Option<HeldBytes>,
}

impl WholeBody {
    /// A body of the gateway's own.
    pub(crate) fn own(bytes: Bytes) -> Self {
        Self { bytes, held: None }
    }

    fn next_piece(&mut self) -> Option<Bytes> {
        if self.bytes.is_empty() {
            self.held = None;
            return None;
        }
        let length = self.bytes.len().min(PIECE_BYTES);
        Some(self.bytes.split_to(length))
    }
}

/// A body for a caller.
pub(crate) enum CallerBody {
    /// The whole body is there.
    Whole(WholeBody),
    /// It comes by and by.
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
                let piece = body.next_piece();
                Poll::Ready(piece.map(|piece| Ok(Frame::data(piece))))
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
    /// A refusal with the usual time to come back.
    pub(crate) fn new(reason: Reason, detail: impl Into<String>) -> Self {
        Self {
            reason,
            detail: detail.into(),
            retry_after_ms: retry_after_ms(reason),
        }
    }

    /// A refusal of what another host may take at once.
    pub(crate) fn elsewhere(reason: Reason, detail: impl Into<String>) -> Self {
        Self {
            retry_after_ms: Some(ELSEWHERE_MS),
            ..Self::new(reason, detail)
        }
    }

    /// What it promises of the request.
    pub(crate) fn outcome(&self) -> Outcome {
        self.reason.outcome()
    }

    /// The answer that tells it.
    pub(crate) fn into_answer(
        self,
        edge: &dyn Edge,
        id: Option<&RequestId>,
    ) -> Response<CallerBody> {
        let answer = edge.refusal(id, &self);
        answer.map(|body| CallerBody::Whole(WholeBody::own(body)))
    }
}

/// When another host may be asked.
const ELSEWHERE_MS: u64 = 10;

/// When a repeat of a request that did not run makes sense. A host that
/// leaves or knows nothing yet is not the only one: another may be asked at
/// once. Endpoints that are full need a few requests' time, and a pool that is
/// overrun some more; those that it refused together don't come back together.
fn retry_after_ms(reason: Reason) -> Option<u64> {
    const FULL_MS: u64 = 200;
    const NONE_LIVE_MS: u64 = 500;
    const OVERRUN_MS: std::ops::Range<u64> = 300..1_000;
    match reason {
        Reason::Leaving | Reason::HostFull => Some(ELSEWHERE_MS),
        Reason::NoView | Reason::NoEndpoint => Some(NONE_LIVE_MS),
        Reason::AtBound | Reason::OverShare => Some(rand::rng().random_range(OVERRUN_MS)),
        Reason::EndpointRefused | Reason::EndpointUnreachable | Reason::DeadlineTooClose => {
            Some(FULL_MS)
        }
        other => other.retry_after_s().map(|s| u64::from(s) * 1_000),
    }
}
