//! A caller's connection, on which each head has to arrive in time.
//!
//! The HTTP library has one timer for a head, which also runs while a kept
//! connection rests. Callers may rest for long and must not take as long over
//! a head: slow ones would hold connections for next to nothing. So the
//! library's timer bounds the rest, and this stream the head, from its first
//! byte on.

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

use crate::answer::{AnswerAborted, CallerBody};

/// Whose turn it is on a connection.
#[derive(Debug, Default)]
pub(crate) struct ConnectionState {
    /// Heads that have arrived.
    heads: AtomicU64,
    /// A request was read and its answer has not been sent whole.
    is_serving: AtomicBool,
    /// A head took too long.
    was_late: AtomicBool,
}

impl ConnectionState {
    /// Whether the connection ended over a head that took too long.
    pub(crate) fn was_late(&self) -> bool {
        self.was_late.load(Ordering::Relaxed)
    }

    /// A head has arrived. It is the host's turn until the guard is dropped.
    pub(crate) fn begin_serving(self: &Arc<Self>) -> ServingGuard {
        self.heads.fetch_add(1, Ordering::Relaxed);
        self.is_serving.store(true, Ordering::Relaxed);
        ServingGuard(self.clone())
    }
}

/// It is the host's turn.
#[derive(Debug)]
pub(crate) struct ServingGuard(Arc<ConnectionState>);

impl Drop for ServingGuard {
    fn drop(&mut self) {
        self.0.is_serving.store(false, Ordering::Relaxed);
    }
}

/// A body during which it is the host's turn.
pub(crate) struct ServedBody {
    pub(crate) body: CallerBody,
    pub(crate) _serving: ServingGuard,
}

impl Body for ServedBody {
    type Data = Bytes;
    type Error = AnswerAborted;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, AnswerAborted>>> {
        Pin::new(&mut self.get_mut().body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// A caller's connection.
#[derive(Debug)]
pub(crate) struct CallerStream {
    stream: TcpStream,
    turn: Arc<ConnectionState>,
    head_timeout: Duration,
    /// The number of the head that began to arrive, and when.
    begun: Option<(u64, Instant)>,
    /// Set only once a head is waited for: most arrive in one piece.
    deadline: Pin<Box<Sleep>>,
    /// How long a caller may leave what was sent to it unread.
    unread_timeout: Duration,
    /// When the rest of that is given up, while the caller takes nothing.
    unread_until: Option<Pin<Box<Sleep>>>,
}

impl CallerStream {
    pub(crate) fn new(
        stream: TcpStream,
        turn: Arc<ConnectionState>,
        head_timeout: Duration,
        unread_timeout: Duration,
    ) -> Self {
        Self {
            stream,
            turn,
            head_timeout,
            begun: None,
            deadline: Box::pin(tokio::time::sleep(head_timeout)),
            unread_timeout,
            unread_until: None,
        }
    }

    /// The number of the head that is awaited, if one is.
    fn awaited(&self) -> Option<u64> {
        let is_serving = self.turn.is_serving.load(Ordering::Relaxed);
        (!is_serving).then(|| self.turn.heads.load(Ordering::Relaxed))
    }

    /// What became of a write; one that has waited too long is given up.
    fn unread<T>(
        &mut self,
        written: Poll<io::Result<T>>,
        cx: &mut Context<'_>,
    ) -> Poll<io::Result<T>> {
        if written.is_ready() {
            self.unread_until = None;
            return written;
        }
        let timeout = self.unread_timeout;
        let until = self
            .unread_until
            .get_or_insert_with(|| Box::pin(tokio::time::sleep(timeout)));
        if until.as_mut().poll(cx).is_ready() {
            return Poll::Ready(Err(io::ErrorKind::TimedOut.into()));
        }
        Poll::Pending
    }

    fn take_note_of_bytes(&mut self) {
        let awaited = self.awaited();
        if awaited.is_some() && self.begun.map(|(head, _)| head) != awaited {
            self.begun = awaited.map(|head| (head, Instant::now()));
        }
    }

    fn is_late(&mut self, cx: &mut Context<'_>) -> bool {
        let Some((head, began_at)) = self.begun else {
            return false;
        };
        if self.awaited() != Some(head) {
            return false;
        }
        let due = began_at + self.head_timeout;
        if self.deadline.deadline() != due {
            self.deadline.as_mut().reset(due);
        }
        self.deadline.as_mut().poll(cx).is_ready()
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
            this.take_note_of_bytes();
        }
        if read.is_pending() && this.is_late(cx) {
            this.turn.was_late.store(true, Ordering::Relaxed);
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
        this.unread(written, cx)
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
        this.unread(written, cx)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
