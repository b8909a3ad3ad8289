//! A proxy that imitates a slow link to a host.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// Most bytes that are forwarded in one write.
const CHUNK_BYTES: usize = 2 * 1024;

/// Size from which an answer counts as large.
const MIN_LARGE_BYTES: usize = 16 * 1024;

/// Forwards connections to a host and limits the rate of each connection's answers.
pub(crate) struct SlowLink {
    address: SocketAddr,
    large_answers: Arc<LargeAnswerCounts>,
}

/// Numbers of large answers: started, in transfer, and highest in transfer at once.
#[derive(Default)]
struct LargeAnswerCounts {
    started: AtomicUsize,
    active: AtomicUsize,
    max_active: AtomicUsize,
}

/// A large answer in transfer; the transfer ends when this is dropped.
struct LargeAnswer(Arc<LargeAnswerCounts>);

impl LargeAnswer {
    fn start(counts: &Arc<LargeAnswerCounts>) -> Self {
        counts.started.fetch_add(1, Ordering::Relaxed);
        let active = 1 + counts.active.fetch_add(1, Ordering::Relaxed);
        counts.max_active.fetch_max(active, Ordering::Relaxed);
        Self(counts.clone())
    }
}

impl Drop for LargeAnswer {
    fn drop(&mut self) {
        self.0.active.fetch_sub(1, Ordering::Relaxed);
    }
}

impl SlowLink {
    /// Starts a link with a rate limit for each connection.
    pub(crate) async fn to(host: SocketAddr, bytes_per_s: u64) -> Self {
        Self::start(host, bytes_per_s, usize::MAX).await
    }

    /// Like `to`; the first connection stalls after a number of bytes.
    pub(crate) async fn stalling_first_connection(
        host: SocketAddr,
        bytes_per_s: u64,
        first_max_bytes: usize,
    ) -> Self {
        Self::start(host, bytes_per_s, first_max_bytes).await
    }

    async fn start(host: SocketAddr, bytes_per_s: u64, first_max_bytes: usize) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        let large_answers: Arc<LargeAnswerCounts> = Arc::default();
        let counts = large_answers.clone();
        tokio::spawn(async move {
            let mut max_bytes = first_max_bytes;
            while let Ok((caller, _)) = listener.accept().await {
                let limits = Limits {
                    bytes_per_s,
                    max_bytes: std::mem::replace(&mut max_bytes, usize::MAX),
                };
                tokio::spawn(forward(caller, host, limits, counts.clone()));
            }
        });
        Self {
            address,
            large_answers,
        }
    }

    /// Returns the number of large answers.
    pub(crate) fn large_answers(&self) -> usize {
        self.large_answers.started.load(Ordering::Relaxed)
    }

    /// Returns the highest number of large answers in transfer at once.
    pub(crate) fn max_concurrent_large_answers(&self) -> usize {
        self.large_answers.max_active.load(Ordering::Relaxed)
    }

    /// Returns the address that it listens on.
    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }
}

/// Limits on the answers of one connection.
struct Limits {
    bytes_per_s: u64,
    /// The connection stalls after these.
    max_bytes: usize,
}

async fn forward(
    caller: TcpStream,
    host: SocketAddr,
    limits: Limits,
    large_answers: Arc<LargeAnswerCounts>,
) {
    let Ok(host) = TcpStream::connect(host).await else {
        return;
    };
    let (mut from_caller, mut to_caller) = caller.into_split();
    let (mut from_host, mut to_host) = host.into_split();
    let requests = tokio::io::copy(&mut from_caller, &mut to_host);
    let answers = async {
        let mut chunk = vec![0; CHUNK_BYTES];
        let mut forwarded_bytes = 0;
        let mut large_answer = None;
        while let Ok(length @ 1..) = from_host.read(&mut chunk).await {
            let delay = Duration::from_micros(length as u64 * 1_000_000 / limits.bytes_per_s);
            tokio::time::sleep(delay).await;
            forwarded_bytes += length;
            if forwarded_bytes > limits.max_bytes {
                std::future::pending::<()>().await;
            }
            if forwarded_bytes >= MIN_LARGE_BYTES {
                large_answer.get_or_insert_with(|| LargeAnswer::start(&large_answers));
            }
            if to_caller.write_all(&chunk[..length]).await.is_err() {
                return;
            }
        }
    };
    // Either direction that ends closes both connections.
    tokio::select! {
        _ = requests => {}
        () = answers => {}
    }
}
