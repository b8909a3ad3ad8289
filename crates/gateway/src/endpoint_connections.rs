//! Connections to endpoints and to hosts that forward requests, kept for reuse.
//!
//! If an endpoint closes an idle connection just as a request is sent, it is unknown
//! whether the request ran. Connections are therefore reused only within a fraction of
//! the endpoint's keep-alive timeout, and sooner for requests that must not be
//! repeated.
//!
//! Where endpoints limit their connections, the caller passes this host's part of the
//! limit. Idle connections and those in use count alike; a request beyond the part waits
//! briefly for one of them.
//!
//! Keep-alive probes find connections that went silent for good. Where both are set, the
//! system closes a connection by the user timeout, whatever the number of probes.
//!
//! This module uses hyper connections directly, since clients such as reqwest
//! repeat requests on their own.

use std::collections::{BTreeSet, HashMap};
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use serde::Serialize;
use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::task::AbortHandle;
use tokio::time::Instant;

use crate::endpoint_stream::{EndpointStream, UnproductiveInput};

/// Timeout for connecting. An unreachable endpoint may never respond.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Fraction of an endpoint's keep-alive timeout for which a connection is reused.
const IDLE_TIMEOUT_FRACTION: f64 = 0.5;
/// Idle timeout if the endpoint sends no keep-alive timeout.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_millis(900);
/// Longest idle time before a request that must not be repeated.
const MAX_NON_REPEATABLE_IDLE: Duration = Duration::from_millis(1_500);
/// Read-ahead of a stream with a slow caller, and largest response head. The library's
/// default would exhaust memory with many slow callers.
pub(crate) const MAX_BUFFER_BYTES: usize = 32 * 1024;
/// Maximum number of idle connections to one target.
const MAX_IDLE_PER_TARGET: usize = 16;

/// Longest wait for a connection within this host's part of the limit. Another endpoint
/// is likely to have one at once.
const MAX_CONNECTION_WAIT: Duration = Duration::from_millis(50);
/// Time for a reset to arrive on a new connection. Endpoints accept a connection beyond
/// their limit and then reset it.
const RESET_ARRIVAL_TIME: Duration = Duration::from_millis(5);

/// Silence of a connection after which it is probed.
const KEEP_ALIVE_TIME: Duration = Duration::from_millis(2_000);
/// Interval of the probes.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_millis(1_000);
/// Time without any acknowledgement after which a connection is closed. An endpoint may be
/// silent for a second and go on; its system answers probes meanwhile.
const USER_TIMEOUT: Duration = Duration::from_millis(5_000);

/// What a connection leads to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) enum ConnectionTarget {
    /// An endpoint, by the hash of its start.
    Endpoint(u32),
    /// Another host, by its address for forwarded requests.
    Host(SocketAddr),
}

/// A body for an endpoint.
pub(crate) type SentBody = Full<Bytes>;

/// Aborts a connection's task on drop, which closes the socket: the endpoint stops
/// working for a caller that disconnected.
#[derive(Debug)]
struct AbortOnDrop(AbortHandle);

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// A connection to one endpoint or host.
#[derive(Debug)]
pub(crate) struct Connection {
    target: ConnectionTarget,
    pub(crate) sender: SendRequest<SentBody>,
    /// Whether it has served a request before.
    pub(crate) is_reused: bool,
    /// What it received since the last part of an answer.
    pub(crate) unproductive: Arc<UnproductiveInput>,
    opened_at: Instant,
    /// Whether it is kept for reuse.
    is_idle: Arc<AtomicBool>,
    _task: AbortOnDrop,
    /// Dropped last, after the socket began to close.
    _slot: ConnectionSlot,
}

impl Connection {
    /// Prepares to send a request, whose answer has limits of its own.
    pub(crate) fn limit_answer(&self, request: &mut Request<SentBody>) {
        self.unproductive.reset();
        let unproductive = self.unproductive.clone();
        hyper::ext::on_informational(request, move |_| unproductive.record_interim_response());
    }
}

/// Open connections of this host to one target, idle ones included.
#[derive(Debug, Default)]
struct OpenConnections {
    count: Mutex<u32>,
    /// Notified when a connection closes or becomes idle.
    freed: Notify,
}

impl OpenConnections {
    fn count(&self) -> MutexGuard<'_, u32> {
        self.count.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Counts one more unless there are `max` already.
    fn try_open(self: &Arc<Self>, max: Option<u32>) -> Option<ConnectionSlot> {
        let mut count = self.count();
        if max.is_some_and(|max| *count >= max) {
            return None;
        }
        *count += 1;
        Some(ConnectionSlot(self.clone()))
    }
}

/// Counts a connection as open until dropped.
#[derive(Debug)]
struct ConnectionSlot(Arc<OpenConnections>);

impl Drop for ConnectionSlot {
    fn drop(&mut self) {
        let mut count = self.0.count();
        *count = count.saturating_sub(1);
        drop(count);
        self.0.freed.notify_one();
    }
}

/// What a request asks of a connection.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ConnectionRequest {
    pub(crate) target: ConnectionTarget,
    pub(crate) address: SocketAddr,
    pub(crate) may_repeat: bool,
    /// Most connections of this host to the target; `None` if it has no limit.
    pub(crate) max_open: Option<u32>,
    /// Whether the endpoint may reset a new connection at once, because it is full.
    pub(crate) may_be_reset: bool,
    pub(crate) deadline: Instant,
}

/// Why there is no connection. Nothing of the request was written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum NoConnection {
    /// It could not be opened.
    Failed(ConnectError),
    /// All connections that this host may have are in use.
    AllInUse,
}

/// Why a connection could not be opened.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum ConnectError {
    /// No answer came in time.
    TimedOut,
    /// The system or the address rejected it.
    Refused,
    /// It was accepted, and reset at once.
    Reset,
}

#[derive(Debug)]
struct IdleConnection {
    connection: Connection,
    since: Instant,
    idle_timeout: Duration,
}

/// Endpoints that closed connections which were kept for reuse.
#[derive(Debug, Default)]
struct ClosedTargets {
    starts: Mutex<BTreeSet<u32>>,
    added: Notify,
}

impl ClosedTargets {
    fn starts(&self) -> MutexGuard<'_, BTreeSet<u32>> {
        self.starts.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn add(&self, target: ConnectionTarget) {
        if let ConnectionTarget::Endpoint(start) = target {
            self.starts().insert(start);
            self.added.notify_one();
        }
    }
}

/// Connections by their target.
#[derive(Debug, Default)]
pub(crate) struct EndpointConnections {
    closed: Arc<ClosedTargets>,
    idle: Mutex<HashMap<ConnectionTarget, Vec<IdleConnection>>>,
    open: Mutex<HashMap<ConnectionTarget, Arc<OpenConnections>>>,
}

impl EndpointConnections {
    /// Takes an idle connection or opens one; waits a short time if this host may have no
    /// more of them.
    pub(crate) async fn acquire(
        &self,
        request: &ConnectionRequest,
    ) -> Result<Connection, NoConnection> {
        let open = self.open(request.target);
        let acquire = async {
            loop {
                let freed = open.freed.notified();
                if let Some(idle) = self.checkout(request.target, request.may_repeat) {
                    return Ok(idle);
                }
                if let Some(slot) = open.try_open(request.max_open) {
                    return Err(slot);
                }
                freed.await;
            }
        };
        let wait_until = request.deadline.min(Instant::now() + MAX_CONNECTION_WAIT);
        let slot = match tokio::time::timeout_at(wait_until, acquire).await {
            Ok(Ok(idle)) => return Ok(idle),
            Ok(Err(slot)) => slot,
            Err(_) => return Err(NoConnection::AllInUse),
        };
        let opened = self.connect(request.target, request.address, slot).await;
        let connection = opened.map_err(NoConnection::Failed)?;
        if request.may_be_reset {
            tokio::time::sleep(RESET_ARRIVAL_TIME).await;
            if connection.sender.is_closed() {
                return Err(NoConnection::Failed(ConnectError::Reset));
            }
        }
        Ok(connection)
    }

    /// Opens a connection to check that the target accepts it, and keeps it for reuse if there
    /// is no other. Returns `None` if this host may have no more connections.
    pub(crate) async fn check(
        &self,
        target: ConnectionTarget,
        address: SocketAddr,
        max_open: Option<u32>,
    ) -> Option<Result<(), ConnectError>> {
        let slot = self.open(target).try_open(max_open)?;
        let opened = self.connect(target, address, slot).await;
        Some(opened.map(|connection| {
            if !self.has_idle(target) {
                self.check_in(connection, None);
            }
        }))
    }

    fn has_idle(&self, target: ConnectionTarget) -> bool {
        let idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.get(&target).is_some_and(|idle| !idle.is_empty())
    }

    fn open(&self, target: ConnectionTarget) -> Arc<OpenConnections> {
        let mut open = self.open.lock().unwrap_or_else(PoisonError::into_inner);
        open.entry(target).or_default().clone()
    }

    /// Takes the most recently used idle connection that is still usable.
    fn checkout(&self, target: ConnectionTarget, may_repeat: bool) -> Option<Connection> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let target_idle = idle.get_mut(&target)?;
        while let Some(last) = target_idle.pop() {
            let limit = if may_repeat {
                last.idle_timeout
            } else {
                last.idle_timeout.min(MAX_NON_REPEATABLE_IDLE)
            };
            let is_usable = last.since.elapsed() <= limit && last.connection.sender.is_ready();
            if is_usable {
                last.connection.is_idle.store(false, Ordering::Relaxed);
                return Some(last.connection);
            }
        }
        None
    }

    /// Keeps a connection for reuse after a complete response.
    pub(crate) fn check_in(&self, connection: Connection, keep_alive_s: Option<u64>) {
        let allowed = keep_alive_s.map(|s| Duration::from_secs(s).mul_f64(IDLE_TIMEOUT_FRACTION));
        let target = connection.target;
        connection.is_idle.store(true, Ordering::Release);
        if connection.sender.is_closed() {
            // Its task may have ended before it was marked as idle.
            self.closed.add(target);
            return;
        }
        let idle = IdleConnection {
            connection: Connection {
                is_reused: true,
                ..connection
            },
            since: Instant::now(),
            idle_timeout: allowed.unwrap_or(DEFAULT_IDLE_TIMEOUT),
        };
        let mut all = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let target_idle = all.entry(target).or_default();
        if target_idle.len() >= MAX_IDLE_PER_TARGET {
            target_idle.remove(0);
        }
        target_idle.push(idle);
        drop(all);
        self.open(target).freed.notify_one();
    }

    /// Returns an unused connection. A new one is dropped, since the endpoint's
    /// keep-alive timeout is not known yet.
    pub(crate) fn return_unused(&self, connection: Connection) {
        if connection.is_reused {
            self.check_in(connection, None);
        }
    }

    /// When the oldest of the open connections to an endpoint that are kept for reuse was opened.
    pub(crate) fn oldest_open(&self, start: u32) -> Option<Instant> {
        let idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let idle = idle.get(&ConnectionTarget::Endpoint(start))?.iter();
        let open = idle.filter(|idle| !idle.connection.sender.is_closed());
        open.map(|idle| idle.connection.opened_at).min()
    }

    /// Waits until endpoints have closed connections that were kept for reuse, and returns the
    /// hashes of their starts.
    pub(crate) async fn closed_targets(&self) -> BTreeSet<u32> {
        self.closed.added.notified().await;
        std::mem::take(&mut *self.closed.starts())
    }

    /// Closes the idle connections to a target.
    pub(crate) fn close(&self, target: ConnectionTarget) {
        let mut all = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        all.remove(&target);
    }

    /// Closes all idle connections, for example because they may have expired.
    pub(crate) fn close_all(&self) {
        let mut all = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        all.clear();
    }

    /// Opens a connection.
    async fn connect(
        &self,
        target: ConnectionTarget,
        address: SocketAddr,
        slot: ConnectionSlot,
    ) -> Result<Connection, ConnectError> {
        let opening = async {
            let stream = TcpStream::connect(address)
                .await
                .map_err(|_| ConnectError::Refused)?;
            set_options(&stream).map_err(|_| ConnectError::Reset)?;
            let unproductive = Arc::new(UnproductiveInput::default());
            let stream = EndpointStream::new(stream, unproductive.clone());
            let (sender, connection) = http1::Builder::new()
                .max_buf_size(MAX_BUFFER_BYTES)
                .handshake(TokioIo::new(stream))
                .await
                .map_err(|_| ConnectError::Reset)?;
            let is_idle = Arc::new(AtomicBool::new(false));
            let (closed, was_idle) = (self.closed.clone(), is_idle.clone());
            let task = tokio::spawn(async move {
                let _requests_report_broken_connections = connection.await;
                if was_idle.load(Ordering::Acquire) {
                    closed.add(target);
                }
            });
            Ok(Connection {
                target,
                sender,
                is_reused: false,
                unproductive,
                opened_at: Instant::now(),
                is_idle,
                _task: AbortOnDrop(task.abort_handle()),
                _slot: slot,
            })
        };
        tokio::time::timeout(CONNECT_TIMEOUT, opening)
            .await
            .unwrap_or(Err(ConnectError::TimedOut))
    }

    /// Closes expired idle connections.
    pub(crate) fn close_expired(&self) {
        let mut all = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        for idle in all.values_mut() {
            idle.retain(|idle| idle.since.elapsed() <= idle.idle_timeout);
        }
        all.retain(|_, idle| !idle.is_empty());
        drop(all);
        let mut open = self.open.lock().unwrap_or_else(PoisonError::into_inner);
        open.retain(|_, open| Arc::strong_count(open) > 1);
    }
}

fn set_options(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let keep_alive = TcpKeepalive::new()
        .with_time(KEEP_ALIVE_TIME)
        .with_interval(KEEP_ALIVE_INTERVAL);
    socket.set_tcp_keepalive(&keep_alive)?;
    socket.set_tcp_user_timeout(Some(USER_TIMEOUT))
}
