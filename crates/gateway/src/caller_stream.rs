//! A caller's connection with timeouts for request heads and writes.
//!
//! The HTTP library's head timer also runs while a connection is idle, so its limit must
//! allow for long idle times. This stream bounds a head from its first byte on, which
//! keeps slow callers from holding connections.
//!
//! A response body may end with the connection alone. Then the connection is reset unless
//! the whole body was written, so that neither an abort nor the end of this process, which
//! closes its sockets, looks like the end of the body. Such a body follows a head of
//! HTTP/1.0, since the library has no other; the stream writes the version of the caller.
//!
//! A request counts as running until the system has taken the last byte of its response, so
//! that a stop does not end the process before.

use std::io;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use hyper::header::{CONNECTION, HeaderValue};
use hyper::{Method, Response, Version};
use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{Instant, Sleep};

use crate::answer::{ResponseAborted, ResponseBody};
use crate::framing::may_have_body;
use crate::shared::RunningGuard;

/// The version that the library writes for a body that ends with the connection.
const LIBRARY_VERSION: &[u8] = b"HTTP/1.0";
/// The version that callers get instead, of the same length.
const CALLER_VERSION: &[u8] = b"HTTP/1.1";

/// Whether a connection waits for a request or serves one.
#[derive(Default)]
pub(crate) struct ConnectionState {
    /// Request heads received.
    received_heads: AtomicU64,
    /// Whether a response is still due.
    is_serving: AtomicBool,
    head_timed_out: AtomicBool,
    /// Whether the close of the connection ends the body of the response.
    is_close_delimited: AtomicBool,
    /// Whether that body was passed on to its end.
    is_body_complete: AtomicBool,
    /// Whether the head of that response has another version than the caller's request.
    corrects_version: AtomicBool,
    /// Requests whose response was passed to the library, which may not have written all of it.
    unflushed: Mutex<Vec<RunningGuard>>,
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

    fn is_close_delimited(&self) -> bool {
        self.is_close_delimited.load(Ordering::Relaxed)
    }

    fn unflushed(&self) -> MutexGuard<'_, Vec<RunningGuard>> {
        self.unflushed
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Records a received head. Its response is due until the guard is dropped.
    pub(crate) fn begin_serving(self: &Arc<Self>) -> ServingGuard {
        self.received_heads.fetch_add(1, Ordering::Relaxed);
        self.is_serving.store(true, Ordering::Relaxed);
        ServingGuard(self.clone())
    }
}

/// Marks a connection as serving a request until dropped.
pub(crate) struct ServingGuard(Arc<ConnectionState>);

impl Drop for ServingGuard {
    fn drop(&mut self) {
        self.0.is_serving.store(false, Ordering::Relaxed);
    }
}

impl ServingGuard {
    /// Prepares the response to a request with `method` and `version` for the connection. The
    /// request counts as running until the response is written.
    pub(crate) fn respond(
        self,
        method: &Method,
        version: Version,
        mut response: Response<ResponseBody>,
        running: RunningGuard,
    ) -> Response<ServedBody> {
        let body = response.body();
        let has_no_framing = matches!(body, ResponseBody::CloseDelimited(_))
            || version == Version::HTTP_10 && body.size_hint().exact().is_none();
        let is_close_delimited = has_no_framing && may_have_body(method, response.status());
        if is_close_delimited {
            let corrects_version = version != Version::HTTP_10;
            self.0
                .corrects_version
                .store(corrects_version, Ordering::Relaxed);
            self.0.is_close_delimited.store(true, Ordering::Relaxed);
            *response.version_mut() = Version::HTTP_10;
            let close = HeaderValue::from_static("close");
            response.headers_mut().insert(CONNECTION, close);
        }
        response.map(|body| ServedBody {
            body,
            is_close_delimited,
            serving: self,
            running: Some(running),
        })
    }
}

/// A response body that keeps its connection marked as serving.
pub(crate) struct ServedBody {
    body: ResponseBody,
    is_close_delimited: bool,
    serving: ServingGuard,
    running: Option<RunningGuard>,
}

impl Drop for ServedBody {
    /// The library drops the body once it has all of it, before all of it is written.
    fn drop(&mut self) {
        let state = &self.serving.0;
        state.unflushed().extend(self.running.take());
    }
}

impl Body for ServedBody {
    type Data = Bytes;
    type Error = ResponseAborted;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, ResponseAborted>>> {
        let this = self.get_mut();
        let frame = Pin::new(&mut this.body).poll_frame(cx);
        if this.is_close_delimited && matches!(frame, Poll::Ready(None)) {
            let state = &this.serving.0;
            state.is_body_complete.store(true, Ordering::Relaxed);
        }
        frame
    }

    fn is_end_stream(&self) -> bool {
        !self.is_close_delimited && self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

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
    /// Whether all bytes of the library were written.
    is_flushed: bool,
    /// Whether a close resets the connection.
    resets_on_close: bool,
    /// The unwritten part of a version that replaces the library's.
    version_left: &'static [u8],
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
            is_flushed: true,
            resets_on_close: false,
            version_left: &[],
        }
    }

    /// Prepares the connection before the first bytes of a close-delimited response.
    fn prepare_write(&mut self, bytes: &[u8]) -> io::Result<()> {
        let was_flushed = std::mem::take(&mut self.is_flushed);
        if self.resets_on_close || !self.state.is_close_delimited() {
            return Ok(());
        }
        SockRef::from(&self.stream).set_linger(Some(Duration::ZERO))?;
        self.resets_on_close = true;
        // After a flush the bytes begin with the head of this response. Behind bytes of an
        // earlier one it keeps the library's version, which is valid too.
        let begins_with_head = was_flushed && bytes.starts_with(LIBRARY_VERSION);
        if begins_with_head && self.state.corrects_version.load(Ordering::Relaxed) {
            self.version_left = CALLER_VERSION;
        }
        Ok(())
    }

    /// Writes the replacement of the version at the start of the library's bytes.
    fn poll_write_version(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(cx, self.version_left);
        if let Poll::Ready(Ok(bytes)) = written {
            self.version_left = &self.version_left[bytes..];
        }
        written
    }

    /// Lets a close end the body, if that is complete.
    fn allow_close(&mut self) -> io::Result<()> {
        if self.state.is_body_complete.load(Ordering::Relaxed) {
            SockRef::from(&self.stream).set_linger(None)?;
            self.resets_on_close = false;
        }
        Ok(())
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
        this.prepare_write(bytes)?;
        let written = if this.version_left.is_empty() {
            Pin::new(&mut this.stream).poll_write(cx, bytes)
        } else {
            this.poll_write_version(cx)
        };
        this.check_write_timeout(written, cx)
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        this.is_flushed = true;
        // The library flushes once it has written all that it has.
        this.state.unflushed().clear();
        Pin::new(&mut this.stream).poll_flush(cx)
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        if this.resets_on_close {
            this.allow_close()?;
        }
        if this.resets_on_close {
            // A shutdown would end the body; the close that follows resets the connection.
            return Poll::Ready(Ok(()));
        }
        Pin::new(&mut this.stream).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        let first = buffers.iter().find(|buffer| !buffer.is_empty());
        this.prepare_write(first.map_or(&[], |buffer| buffer))?;
        let written = if this.version_left.is_empty() {
            Pin::new(&mut this.stream).poll_write_vectored(cx, buffers)
        } else {
            this.poll_write_version(cx)
        };
        this.check_write_timeout(written, cx)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
