//! Bounds the bytes of callers' bodies that a host holds at once.
//!
//! A body is kept until its request has ended, since it may be sent once more.
//! Connections times the largest body is far more than a host's memory, and a
//! host that runs out of it is killed with all that it holds.

use std::sync::Arc;

use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// Bodies are counted in units of so many bytes, each begun one whole.
const UNIT_BYTES: usize = 1_024;

/// Room for bytes.
#[derive(Debug)]
pub(crate) struct ByteBudget(Arc<Semaphore>);

/// Bytes that are held until this is dropped.
#[derive(Debug)]
pub(crate) struct HeldBytes(OwnedSemaphorePermit);

impl ByteBudget {
    /// Room for so many bytes.
    pub(crate) fn new(bytes_max: usize) -> Self {
        let units = (bytes_max / UNIT_BYTES).min(Semaphore::MAX_PERMITS);
        Self(Arc::new(Semaphore::new(units)))
    }

    /// Takes room for so many bytes, if there is as much.
    pub(crate) fn try_hold(&self, bytes: usize) -> Option<HeldBytes> {
        let units = u32::try_from(bytes.div_ceil(UNIT_BYTES)).ok()?;
        let permit = self.0.clone().try_acquire_many_owned(units).ok()?;
        Some(HeldBytes(permit))
    }

    /// Bytes for which there is room.
    pub(crate) fn free_bytes(&self) -> usize {
        self.0.available_permits() * UNIT_BYTES
    }
}

impl HeldBytes {
    /// Holds what another one holds as well.
    pub(crate) fn merge(&mut self, other: Self) {
        self.0.merge(other.0);
    }
}
