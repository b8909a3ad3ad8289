//! Connections to endpoints, kept between requests.
//!
//! A kept connection may be closed by its endpoint just as a request goes out,
//! and then no one knows whether the request ran. So connections rest for no
//! longer than a part of what the endpoint allows, and shorter yet before a
//! request that may not be repeated. The HTTP library repeats nothing by
//! itself here: it hands a request back if no byte of it was written. reqwest,
//! which the house style names, repeats on its own and keeps its connections
//! to itself; so this is one layer below it.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use tokio::time::Instant;

/// How long connecting may take. A dark endpoint says nothing; a live one is
/// a few milliseconds away.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Part of the rest that an endpoint allows after which its connection is not
/// used again.
const REST_PART: f64 = 0.5;
/// The rest of a connection whose endpoint names none.
const REST_DEFAULT: Duration = Duration::from_millis(900);
/// The rest after which a connection is not used for what may not be repeated.
const REST_ONCE: Duration = Duration::from_millis(1_500);
/// What is read ahead of a stream whose caller takes it slowly, and the longest head of
/// an answer. The library's own bound is 400 KB: 400 such streams would take 160 MB.
const BUFFER_BYTES: usize = 32 * 1024;
/// Connections kept to one endpoint.
const KEPT_MAX: usize = 16;

/// A body for an endpoint.
pub(crate) type SentBody = Full<Bytes>;

/// Ends a connection's task with the connection, so that the socket closes at
/// once and the endpoint stops working for a caller who left.
#[derive(Debug)]
struct EndsTask(AbortHandle);

impl Drop for EndsTask {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// A connection to one endpoint.
#[derive(Debug)]
pub(crate) struct Connection {
    pub(crate) sender: SendRequest<SentBody>,
    /// Whether it served a request before.
    pub(crate) is_kept: bool,
    _task: EndsTask,
}

#[derive(Debug)]
struct Kept {
    connection: Connection,
    since: Instant,
    rest: Duration,
}

/// Connections that rest, by endpoint.
#[derive(Debug, Default)]
pub(crate) struct Upstream {
    kept: Mutex<HashMap<u32, Vec<Kept>>>,
}

impl Upstream {
    /// The connection to an endpoint that rested the shortest, if it may still
    /// be used.
    pub(crate) fn checkout(&self, endpoint: u32, may_repeat: bool) -> Option<Connection> {
        let mut kept = self.kept.lock().unwrap_or_else(PoisonError::into_inner);
        let of_endpoint = kept.get_mut(&endpoint)?;
        while let Some(last) = of_endpoint.pop() {
            let most = if may_repeat {
                last.rest
            } else {
                last.rest.min(REST_ONCE)
            };
            let is_fit = last.since.elapsed() <= most && last.connection.sender.is_ready();
            if is_fit {
                return Some(last.connection);
            }
        }
        None
    }

    /// Keeps a connection whose answer was read whole.
    pub(crate) fn check_in(
        &self,
        endpoint: u32,
        connection: Connection,
        keep_alive_s: Option<u64>,
    ) {
        let allowed = keep_alive_s.map(|s| Duration::from_secs(s).mul_f64(REST_PART));
        let kept = Kept {
            connection: Connection {
                is_kept: true,
                ..connection
            },
            since: Instant::now(),
            rest: allowed.unwrap_or(REST_DEFAULT),
        };
        let mut all = self.kept.lock().unwrap_or_else(PoisonError::into_inner);
        let of_endpoint = all.entry(endpoint).or_default();
        if of_endpoint.len() >= KEPT_MAX {
            of_endpoint.remove(0);
        }
        of_endpoint.push(kept);
    }

    /// Gives back a connection that was not used after all. A new one is dropped:
    /// its endpoint named no rest yet.
    pub(crate) fn give_back(&self, endpoint: u32, connection: Connection) {
        if connection.is_kept {
            self.check_in(endpoint, connection, None);
        }
    }

    /// Closes the connections to an endpoint that rest.
    pub(crate) fn close(&self, endpoint: u32) {
        let mut all = self.kept.lock().unwrap_or_else(PoisonError::into_inner);
        all.remove(&endpoint);
    }

    /// Closes all connections that rest: their time of rest may be over.
    pub(crate) fn close_kept(&self) {
        let mut all = self.kept.lock().unwrap_or_else(PoisonError::into_inner);
        all.clear();
    }

    /// Closes connections that have rested too long.
    pub(crate) fn sweep(&self) {
        let mut all = self.kept.lock().unwrap_or_else(PoisonError::into_inner);
        for kept in all.values_mut() {
            kept.retain(|kept| kept.since.elapsed() <= kept.rest);
        }
        all.retain(|_, kept| !kept.is_empty());
    }
}

/// Opens a connection; `None` if the endpoint can't be reached in time.
pub(crate) async fn connect(address: SocketAddr) -> Option<Connection> {
    let opening = async {
        let stream = TcpStream::connect(address).await.ok()?;
        stream.set_nodelay(true).ok()?;
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(BUFFER_BYTES)
            .handshake(TokioIo::new(stream))
            .await
            .ok()?;
        let task = tokio::spawn(async move {
            let _broken_connections_show_at_the_request = connection.await;
        });
        Some(Connection {
            sender,
            is_kept: false,
            _task: EndsTask(task.abort_handle()),
        })
    };
    tokio::time::timeout(CONNECT_TIMEOUT, opening)
        .await
        .unwrap_or(None)
}
