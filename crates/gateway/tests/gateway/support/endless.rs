//! Answers that go on without end until the peer closes.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

/// How fast an endless answer is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Pace {
    /// As fast as it is read.
    Full,
    /// 2 KB each 50 ms, which a limit by size finds late.
    Slow,
}

/// Bytes that are sent once, and bytes that follow again and again.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct EndlessAnswer {
    /// `{id}` stands for the request's id.
    pub(crate) prefix: &'static str,
    pub(crate) repeated: &'static str,
    pub(crate) pace: Pace,
}

impl EndlessAnswer {
    /// Sends until the peer closes, and counts the bytes that were taken.
    pub(super) async fn send(&self, stream: &mut TcpStream, id: &str, sent_bytes: &AtomicUsize) {
        const SLOW_PIECE_BYTES: usize = 2 * 1024;
        const SLOW_INTERVAL: Duration = Duration::from_millis(50);
        const FULL_PIECE_BYTES: usize = 64 * 1024;
        let piece_bytes = match self.pace {
            Pace::Full => FULL_PIECE_BYTES,
            Pace::Slow => SLOW_PIECE_BYTES,
        };
        let repeats = piece_bytes.div_ceil(self.repeated.len());
        let piece = self.repeated.repeat(repeats).into_bytes();
        let prefix = self.prefix.replace("{id}", id).into_bytes();
        if stream.write_all(&prefix).await.is_err() {
            return;
        }
        // A piece may be taken in part, so that the next write begins within it.
        let mut position = 0;
        while let Ok(written) = stream.write(&piece[position..]).await {
            sent_bytes.fetch_add(written, Ordering::Relaxed);
            position = (position + written) % piece.len();
            if self.pace == Pace::Slow && position == 0 {
                tokio::time::sleep(SLOW_INTERVAL).await;
            }
        }
    }
}
