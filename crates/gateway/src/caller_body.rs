//! Reads callers' bodies within the limits of the rules and the host's byte budget.

use std::sync::Arc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use chalkrock_core::{OrganisationId, Reason};
use chalkrock_routing::CallerLimits;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::{Body, Incoming};

use crate::byte_budget::HeldBytes;
use crate::edge::Refusal;
use crate::shared::Shared;

/// A complete body and its reservation, held until the request has ended.
#[derive(Debug, Default)]
pub(crate) struct BufferedBody {
    pub(crate) bytes: Bytes,
    _held: Option<HeldBytes>,
}

/// Reads a complete body and reserves its size for the organisation.
pub(crate) async fn read_body(
    shared: &Arc<Shared>,
    body: Incoming,
    limits: &CallerLimits,
    organisation: Option<&OrganisationId>,
) -> Result<BufferedBody, Refusal> {
    if body.is_end_stream() {
        return Ok(BufferedBody::default());
    }
    if body.size_hint().lower() > limits.body_max_bytes as u64 {
        return Err(too_large());
    }
    let timeout = Duration::from_millis(limits.idle_timeout_ms);
    let reading = read_frames(shared, body, limits.body_max_bytes, organisation);
    let read = tokio::time::timeout(timeout, reading).await;
    read.unwrap_or_else(|_| {
        Err(Refusal::new(
            Reason::RequestTooSlow,
            "the body did not arrive in time",
        ))
    })
}

async fn read_frames(
    shared: &Shared,
    body: Incoming,
    max_bytes: usize,
    organisation: Option<&OrganisationId>,
) -> Result<BufferedBody, Refusal> {
    // Reserves the announced size up front, so that partly read bodies don't block
    // each other.
    let announced_bytes = body.size_hint().lower() as usize;
    let mut held = reserve(shared, announced_bytes, organisation)?;
    let mut unused_bytes = announced_bytes;
    let mut bytes = BytesMut::with_capacity(announced_bytes);
    let mut frames = Limited::new(body, max_bytes);
    while let Some(frame) = frames.frame().await {
        let frame = frame.map_err(|error| {
            if error.is::<LengthLimitError>() {
                too_large()
            } else {
                Refusal::new(Reason::InvalidRequest, "the body is incomplete")
            }
        })?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        if data.len() > unused_bytes {
            held.merge(reserve(shared, data.len() - unused_bytes, organisation)?);
        }
        unused_bytes = unused_bytes.saturating_sub(data.len());
        bytes.extend_from_slice(&data);
    }
    Ok(BufferedBody {
        bytes: bytes.freeze(),
        _held: Some(held),
    })
}

fn reserve(
    shared: &Shared,
    bytes: usize,
    organisation: Option<&OrganisationId>,
) -> Result<HeldBytes, Refusal> {
    shared.bodies.try_hold(bytes, organisation).ok_or_else(|| {
        let free_bytes = shared.bodies.free_bytes();
        let detail = format!("{bytes} bytes needed for the body, {free_bytes} available");
        Refusal::new(Reason::HostFull, detail)
    })
}

fn too_large() -> Refusal {
    Refusal::new(Reason::BodyTooLarge, "the body exceeds the size limit")
}
