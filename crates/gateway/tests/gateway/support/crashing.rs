//! An endpoint that ends under some requests, with all that it runs, and starts
//! again after a while, by another name or by its own.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use chalkrock_core::{BuildVersion, Endpoint, EndpointKind, HostState, Incarnation};
use tokio::io::AsyncReadExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::task::JoinSet;

use super::TestSource;
use super::endpoint::{answer, read_request, send};

/// What the bodies begin with under which it ends.
pub(crate) const DEADLY: &[u8] = b"deadly";
/// How long it runs such a request before it ends.
const RUNS: Duration = Duration::from_millis(20);
/// How long it runs all others: they are there yet when it ends.
const ANSWERS_AFTER: Duration = Duration::from_millis(40);
/// How long it is gone.
const GONE: Duration = Duration::from_millis(700);

#[derive(Default)]
struct State {
    arrived: Vec<Vec<u8>>,
    crashes: usize,
}

/// An endpoint that can be made to crash.
#[derive(Clone)]
pub(crate) struct CrashingEndpoint {
    name: String,
    source: TestSource,
    /// Whether it keeps its name when it starts again.
    keeps_name: bool,
    /// How long a request waits before it runs, unless its connection closes.
    waits: Duration,
    state: Arc<Mutex<State>>,
    /// It is to end now.
    ends: Arc<Notify>,
}

impl CrashingEndpoint {
    /// Starts one and lists it.
    pub(crate) async fn start(name: &str, source: TestSource) -> Self {
        Self::with(name, source, Duration::ZERO, false).await
    }

    /// The same; it starts again by its name.
    pub(crate) async fn start_named(name: &str, source: TestSource) -> Self {
        Self::with(name, source, Duration::ZERO, true).await
    }

    /// The same; requests wait for so long before they run.
    pub(crate) async fn start_busy(name: &str, source: TestSource, waits: Duration) -> Self {
        Self::with(name, source, waits, false).await
    }

    async fn with(name: &str, source: TestSource, waits: Duration, keeps_name: bool) -> Self {
        let endpoint = Self {
            waits,
            keeps_name,
            name: name.to_owned(),
            source,
            state: Arc::default(),
            ends: Arc::default(),
        };
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        endpoint.list(address);
        tokio::spawn(endpoint.clone().live(listener, address));
        endpoint
    }

    /// How many requests with a body arrived.
    pub(crate) fn arrivals_of(&self, body: &[u8]) -> usize {
        let state = self.state();
        state.arrived.iter().filter(|seen| *seen == body).count()
    }

    /// How often it ended.
    pub(crate) fn crashes(&self) -> usize {
        self.state().crashes
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn list(&self, address: SocketAddr) {
        self.source.list(self.entry(address));
    }

    /// The entry of its start.
    fn entry(&self, address: SocketAddr) -> Endpoint {
        let start = self.crashes();
        let (name, incarnation) = if self.keeps_name {
            (self.name.clone(), 1 + start as u64)
        } else {
            (format!("{}-{start}", self.name), 0)
        };
        Endpoint {
            name: name.as_str().into(),
            kind: EndpointKind::Service,
            pool: "pool".into(),
            zone: "zone-a".into(),
            address,
            slots: 8,
            incarnation: Incarnation(incarnation),
            state: HostState::Live,
            build: BuildVersion::default(),
        }
    }

    /// Lives and ends, again and again.
    async fn live(self, mut listener: TcpListener, address: SocketAddr) {
        loop {
            self.serve_until_it_ends(&listener).await;
            drop(listener);
            let gone = self.entry(address).name;
            self.state().crashes += 1;
            tokio::time::sleep(GONE).await;
            if !self.keeps_name {
                self.source.unlist(&gone);
            }
            listener = TcpListener::bind(address).await.expect("its own port");
            self.list(address);
        }
    }

    async fn serve_until_it_ends(&self, listener: &TcpListener) {
        // Dropped with all of its connections.
        let mut connections = JoinSet::new();
        loop {
            tokio::select! {
                () = self.ends.notified() => return,
                accepted = listener.accept() => {
                    let (stream, _) = accepted.expect("a connection");
                    connections.spawn(self.clone().serve(stream));
                }
            }
        }
    }

    /// Whether the other side still waits when a request is to run.
    async fn runs_after_its_wait(&self, stream: &mut TcpStream) -> bool {
        let mut byte = [0];
        let left = tokio::time::timeout(self.waits, stream.read(&mut byte)).await;
        left.is_err()
    }

    async fn serve(self, mut stream: TcpStream) {
        let mut buffer = Vec::new();
        while let Some(request) = read_request(&mut stream, &mut buffer).await {
            self.state().arrived.push(request.body.clone());
            if !self.runs_after_its_wait(&mut stream).await {
                return;
            }
            if request.body.starts_with(DEADLY) {
                tokio::time::sleep(RUNS).await;
                self.ends.notify_one();
                return std::future::pending().await;
            }
            tokio::time::sleep(ANSWERS_AFTER).await;
            if !send(&mut stream, &answer(&request)).await {
                return;
            }
        }
    }
}
