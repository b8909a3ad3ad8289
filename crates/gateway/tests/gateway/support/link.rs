//! A slow link to a host.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// Bytes that are passed on at once.
const PIECE_BYTES: usize = 2 * 1024;

/// Bytes from which on an answer is large.
const LARGE_BYTES: usize = 16 * 1024;

/// Passes connections on to a host, and what it answers at a bounded rate each.
pub(crate) struct SlowLink {
    address: SocketAddr,
    large: Arc<LargeAnswers>,
}

/// Large answers that are on their way, the most at once, and all so far.
#[derive(Default)]
struct LargeAnswers {
    begun: AtomicUsize,
    now: AtomicUsize,
    most: AtomicUsize,
}

/// A large answer on its way; it has ended when this is dropped.
struct LargeAnswer(Arc<LargeAnswers>);

impl LargeAnswer {
    fn begin(all: &Arc<LargeAnswers>) -> Self {
        all.begun.fetch_add(1, Ordering::Relaxed);
        let now = 1 + all.now.fetch_add(1, Ordering::Relaxed);
        all.most.fetch_max(now, Ordering::Relaxed);
        Self(all.clone())
    }
}

impl Drop for LargeAnswer {
    fn drop(&mut self) {
        self.0.now.fetch_sub(1, Ordering::Relaxed);
    }
}

impl SlowLink {
    /// A link to a host that carries so many bytes of each connection a second.
    pub(crate) async fn to(host: SocketAddr, bytes_per_s: u64) -> Self {
        Self::start(host, bytes_per_s, usize::MAX).await
    }

    /// The same; the first connection falls silent after so many bytes.
    pub(crate) async fn silent_at_first(
        host: SocketAddr,
        bytes_per_s: u64,
        first_bytes: usize,
    ) -> Self {
        Self::start(host, bytes_per_s, first_bytes).await
    }

    async fn start(host: SocketAddr, bytes_per_s: u64, first_bytes: usize) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        let large: Arc<LargeAnswers> = Arc::default();
        let counted = large.clone();
        tokio::spawn(async move {
            let mut most_bytes = first_bytes;
            while let Ok((caller, _)) = listener.accept().await {
                let to = Limits {
                    bytes_per_s,
                    most_bytes: std::mem::replace(&mut most_bytes, usize::MAX),
                };
                tokio::spawn(pass_on(caller, host, to, counted.clone()));
            }
        });
        Self { address, large }
    }

    /// Large answers so far.
    pub(crate) fn large_answers(&self) -> usize {
        self.large.begun.load(Ordering::Relaxed)
    }

    /// Most large answers that were on their way at once.
    pub(crate) fn large_answers_at_once(&self) -> usize {
        self.large.most.load(Ordering::Relaxed)
    }

    /// Where it takes connections.
    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }
}

/// What a connection carries of answers.
struct Limits {
    bytes_per_s: u64,
    /// After these it falls silent.
    most_bytes: usize,
}

async fn pass_on(caller: TcpStream, host: SocketAddr, limits: Limits, large: Arc<LargeAnswers>) {
    let Ok(host) = TcpStream::connect(host).await else {
        return;
    };
    let (mut from_caller, mut to_caller) = caller.into_split();
    let (mut from_host, mut to_host) = host.into_split();
    let requests = tokio::io::copy(&mut from_caller, &mut to_host);
    let answers = async {
        let mut piece = vec![0; PIECE_BYTES];
        let mut passed = 0;
        let mut large_answer = None;
        while let Ok(length @ 1..) = from_host.read(&mut piece).await {
            let takes = Duration::from_micros(length as u64 * 1_000_000 / limits.bytes_per_s);
            tokio::time::sleep(takes).await;
            passed += length;
            if passed > limits.most_bytes {
                std::future::pending::<()>().await;
            }
            if passed >= LARGE_BYTES {
                large_answer.get_or_insert_with(|| LargeAnswer::begin(&large));
            }
            if to_caller.write_all(&piece[..length]).await.is_err() {
                return;
            }
        }
    };
    // Either end that closes ends both, so that a caller which left is seen.
    tokio::select! {
        _ = requests => {}
        () = answers => {}
    }
}
