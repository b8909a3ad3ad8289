//! A connection to an endpoint, with a limit on received bytes that yield no part of an answer.
//!
//! The HTTP library skips interim responses and the zeros of a chunk's size without end. An
//! endpoint that sends nothing else would take a processor's time until the deadline.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Most interim responses before a final one.
const MAX_INTERIM_RESPONSES: usize = 16;
/// Most bytes between two parts of an answer: a head, a frame of its body, its end. More than
/// the library reads ahead of its consumer: two buffers and a frame, each of
/// [`MAX_BUFFER_BYTES`](crate::endpoint_connections::MAX_BUFFER_BYTES).
const MAX_UNPRODUCTIVE_BYTES: usize = 128 * 1024;

/// Counts what was received since the last part of an answer.
#[derive(Debug, Default)]
pub(crate) struct UnproductiveInput {
    received_bytes: AtomicUsize,
    interim_responses: AtomicUsize,
    is_exceeded: AtomicBool,
}

impl UnproductiveInput {
    /// Records that a request was sent, or that a part of its answer arrived.
    pub(crate) fn reset(&self) {
        self.received_bytes.store(0, Ordering::Relaxed);
        self.interim_responses.store(0, Ordering::Relaxed);
    }

    /// Whether a limit was exceeded, which ends the connection.
    pub(crate) fn is_exceeded(&self) -> bool {
        self.is_exceeded.load(Ordering::Relaxed)
    }

    pub(crate) fn record_interim_response(&self) {
        let before = self.interim_responses.fetch_add(1, Ordering::Relaxed);
        if before >= MAX_INTERIM_RESPONSES {
            self.is_exceeded.store(true, Ordering::Relaxed);
        }
    }

    fn record_bytes(&self, bytes: usize) {
        let before = self.received_bytes.fetch_add(bytes, Ordering::Relaxed);
        if before + bytes > MAX_UNPRODUCTIVE_BYTES {
            self.is_exceeded.store(true, Ordering::Relaxed);
        }
    }
}

#[derive(Debug)]
pub(crate) struct EndpointStream {
    stream: TcpStream,
    unproductive: Arc<UnproductiveInput>,
}

impl EndpointStream {
    pub(crate) fn new(stream: TcpStream, unproductive: Arc<UnproductiveInput>) -> Self {
        Self {
            stream,
            unproductive,
        }
    }
}

impl AsyncRead for EndpointStream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        let before = buffer.filled().len();
        let read = Pin::new(&mut this.stream).poll_read(cx, buffer);
        this.unproductive
            .record_bytes(buffer.filled().len() - before);
        if this.unproductive.is_exceeded() {
            return Poll::Ready(Err(io::ErrorKind::InvalidData.into()));
        }
        read
    }
}

impl AsyncWrite for EndpointStream {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.get_mut().stream).poll_write(cx, bytes)
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_flush(cx)
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.get_mut().stream).poll_write_vectored(cx, buffers)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
