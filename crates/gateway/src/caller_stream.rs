//! A caller's connection with timeouts for request heads and writes.
//!
//! The HTTP library's head timer also runs while a connection is idle, so its limit must
//! allow for long idle times. This stream bounds a head from its first byte on, which
//! keeps slow callers from holding connections.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{Instant, Sleep};

use crate::answer::{ResponseAborted, ResponseBody};

/// Whether a connection waits for a request or serves one.
#[derive(Debug, Default)]
pub(crate) struct ConnectionState {
    /// Request heads received.
    received_heads: AtomicU64,
    /// Whether a response is still due.
    is_serving: AtomicBool,
    head_timed_out: AtomicBool,
}

impl ConnectionState {
    /// Whether the connection was closed because a head took too long.
    pub(crate) fn head_timed_out(&self) -> bool {
        self.head_timed_out.load(Ordering::Relaxed)
    }

    /// Whether any request head was received.
    pub(crate) fn has_received_head(&self) -> bool {
        self.received_heads.load(Ordering::Relaxed) > 0
    }

    /// Records a received head. Its response is due until the guard is dropped.
    pub(crate) fn begin_serving(self: &Arc<Self>) -> ServingGuard {
        self.received_heads.fetch_add(1, Ordering::Relaxed);
        self.is_serving.store(true, Ordering::Relaxed);
        ServingGuard(self.clone())
    }
}

/// Marks a connection as serving a request until dropped.
#[derive(Debug)]
pub(crate) struct ServingGuard(Arc<ConnectionState>);

impl Drop for ServingGuard {
    fn drop(&mut self) {
        self.0.is_serving.store(false, Ordering::Relaxed);
    }
}

/// A response body that keeps its connection marked as serving.
pub(crate) struct ServedBody {
    pub(crate) body: ResponseBody,
    pub(crate) _serving: ServingGuard,
}

impl Body for ServedBody {
    type Data = Bytes;
    type Error = ResponseAborted;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, ResponseAborted>>> {
        Pin::new(&mut self.get_mut().body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

#[derive(Debug)]
pub(crate) struct CallerStream {
    stream: TcpStream,
    state: Arc<ConnectionState>,
    head_timeout: Duration,
    /// The head in progress: its number and when its first byte arrived.
    head_started: Option<(u64, Instant)>,
    /// Timer for the head in progress; armed only if the head arrives in several reads.
    head_deadline: Pin<Box<Sleep>>,
    /// How long a write may wait for the caller to read.
    write_timeout: Duration,
    /// Timer for the blocked write, if any.
    write_timer: Option<Pin<Box<Sleep>>>,
}

impl CallerStream {
    pub(crate) fn new(
        stream: TcpStream,
        state: Arc<ConnectionState>,
        head_timeout: Duration,
        write_timeout: Duration,
    ) -> Self {
        Self {
            stream,
            state,
            head_timeout,
            head_started: None,
            head_deadline: Box::pin(tokio::time::sleep(head_timeout)),
            write_timeout,
            write_timer: None,
        }
    }

    /// The number of the awaited head, unless a request is being served.
    fn awaited_head(&self) -> Option<u64> {
        let is_serving = self.state.is_serving.load(Ordering::Relaxed);
        (!is_serving).then(|| self.state.received_heads.load(Ordering::Relaxed))
    }

    /// Fails a write that has been blocked for too long.
    fn check_write_timeout<T>(
        &mut self,
        written: Poll<io::Result<T>>,
        cx: &mut Context<'_>,
    ) -> Poll<io::Result<T>> {
        if written.is_ready() {
            self.write_timer = None;
            return written;
        }
        let timeout = self.write_timeout;
        let timer = self
            .write_timer
            .get_or_insert_with(|| Box::pin(tokio::time::sleep(timeout)));
        if timer.as_mut().poll(cx).is_ready() {
            return Poll::Ready(Err(io::ErrorKind::TimedOut.into()));
        }
        Poll::Pending
    }

    fn record_head_bytes(&mut self) {
        let awaited_head = self.awaited_head();
        if awaited_head.is_some() && self.head_started.map(|(head, _)| head) != awaited_head {
            self.head_started = awaited_head.map(|head| (head, Instant::now()));
        }
    }

    fn is_head_overdue(&mut self, cx: &mut Context<'_>) -> bool {
        let Some((head, started_at)) = self.head_started else {
            return false;
        };
        if self.awaited_head() != Some(head) {
            return false;
        }
        let deadline = started_at + self.head_timeout;
        if self.head_deadline.deadline() != deadline {
            self.head_deadline.as_mut().reset(deadline);
        }
        self.head_deadline.as_mut().poll(cx).is_ready()
    }
}

impl AsyncRead for CallerStream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        let before = buffer.filled().len();
        let read = Pin::new(&mut this.stream).poll_read(cx, buffer);
        if buffer.filled().len() > before {
            this.record_head_bytes();
        }
        if read.is_pending() && this.is_head_overdue(cx) {
            this.state.head_timed_out.store(true, Ordering::Relaxed);
            return Poll::Ready(Err(io::ErrorKind::TimedOut.into()));
        }
        read
    }
}

impl AsyncWrite for CallerStream {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        let written = Pin::new(&mut this.stream).poll_write(cx, bytes);
        this.check_write_timeout(written, cx)
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
        let this = self.get_mut();
        let written = Pin::new(&mut this.stream).poll_write_vectored(cx, buffers);
        this.check_write_timeout(written, cx)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
