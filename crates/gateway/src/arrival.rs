//! Waits for responses as long as bytes keep arriving.
//!
//! The duration of a transfer depends on its size and the link. A timeout for the whole
//! transfer would abort nearly complete ones, and each retry would load the link again.

use std::pin::pin;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use crate::clock::sleep_running;

/// Counts the bytes of responses received so far, including partial ones.
#[derive(Debug, Default)]
pub struct ReceivedBytes(AtomicU64);

impl ReceivedBytes {
    /// Adds received bytes.
    pub fn record(&self, bytes: usize) {
        self.0.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    /// The number of bytes received so far.
    pub fn bytes(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }
}

/// Limits on the time without received bytes, in which this host runs.
#[derive(Clone, Copy, Debug)]
pub(crate) struct IdleLimits {
    /// Limit until the first byte.
    pub(crate) first_byte: Duration,
    /// Limit between later bytes.
    pub(crate) between_bytes: Duration,
}

/// Waits for a response while the count that `bytes` returns grows. Returns `None` if
/// a limit passes without growth.
pub(crate) async fn while_arriving<T>(
    response: impl Future<Output = T>,
    bytes: impl Fn() -> u64,
    limits: IdleLimits,
) -> Option<T> {
    let mut response = pin!(response);
    let mut previous_bytes = bytes();
    let mut timeout = limits.first_byte;
    loop {
        tokio::select! {
            response = &mut response => return Some(response),
            () = sleep_running(timeout) => {}
        }
        let current_bytes = bytes();
        if current_bytes == previous_bytes {
            return None;
        }
        previous_bytes = current_bytes;
        timeout = limits.between_bytes;
    }
}
