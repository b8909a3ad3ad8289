//! Waits for answers for as long as they arrive.
//!
//! How long an answer is on its way depends on its size and on the link, which
//! the one that waits does not know. A time for the whole would give up what is
//! almost there, and asking again fills the link with what is thrown away. So
//! only silence ends a wait.

use std::pin::pin;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

/// Bytes of answers that have arrived so far, also of those that are not whole.
#[derive(Debug, Default)]
pub struct Arrival(AtomicU64);

impl Arrival {
    /// So many bytes more have arrived.
    pub fn record(&self, bytes: usize) {
        self.0.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    /// How many have.
    pub fn bytes(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }
}

/// How long the one that waits bears silence.
#[derive(Clone, Copy, Debug)]
pub(crate) struct IdleLimits {
    /// Until the first byte.
    pub(crate) first_byte: Duration,
    /// Between later ones.
    pub(crate) between_bytes: Duration,
}

/// Waits for an answer while it arrives; `bytes` are those that have. `None`
/// if it fell silent.
pub(crate) async fn while_arriving<T>(
    answer: impl Future<Output = T>,
    bytes: impl Fn() -> u64,
    patience: IdleLimits,
) -> Option<T> {
    let mut answer = pin!(answer);
    let mut seen = bytes();
    let mut left = patience.first_byte;
    loop {
        tokio::select! {
            answer = &mut answer => return Some(answer),
            () = tokio::time::sleep(left) => {}
        }
        let arrived = bytes();
        if arrived == seen {
            return None;
        }
        seen = arrived;
        left = patience.between_bytes;
    }
}
