//! An endpoint that crashes under poison requests, with all its connections, and
//! restarts later under a new name or its own.

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

/// Prefix of the bodies that crash the endpoint.
pub(crate) const POISON_BODY: &[u8] = b"deadly";
/// Time from the start of a poison request to the crash.
const CRASH_DELAY: Duration = Duration::from_millis(20);
/// Run time of other requests; longer than `CRASH_DELAY`, so that a crash interrupts them.
const ANSWER_DELAY: Duration = Duration::from_millis(40);
/// Time from a crash to the restart.
const DOWNTIME: Duration = Duration::from_millis(700);

#[derive(Default)]
struct State {
    bodies: Vec<Vec<u8>>,
    crashes: usize,
}

/// An endpoint that can be made to crash.
#[derive(Clone)]
pub(crate) struct CrashingEndpoint {
    name: String,
    source: TestSource,
    /// Whether the name stays the same after a restart.
    keeps_name: bool,
    /// Time that a request is queued before it runs, unless its connection closes.
    queue_delay: Duration,
    state: Arc<Mutex<State>>,
    /// Triggers the crash.
    crash_signal: Arc<Notify>,
}

impl CrashingEndpoint {
    /// Starts an endpoint and adds it to the list.
    pub(crate) async fn start(name: &str, source: TestSource) -> Self {
        Self::with(name, source, Duration::ZERO, false).await
    }

    /// Like `start`; the endpoint keeps its name after a restart.
    pub(crate) async fn start_keeping_name(name: &str, source: TestSource) -> Self {
        Self::with(name, source, Duration::ZERO, true).await
    }

    /// Like `start`; requests are queued for a time before they run.
    pub(crate) async fn start_queueing(name: &str, source: TestSource, delay: Duration) -> Self {
        Self::with(name, source, delay, false).await
    }

    async fn with(name: &str, source: TestSource, queue_delay: Duration, keeps_name: bool) -> Self {
        let endpoint = Self {
            queue_delay,
            keeps_name,
            name: name.to_owned(),
            source,
            state: Arc::default(),
            crash_signal: Arc::default(),
        };
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        endpoint.list(address);
        tokio::spawn(endpoint.clone().run(listener, address));
        endpoint
    }

    /// Returns the number of received requests with a body.
    pub(crate) fn arrivals_with_body(&self, body: &[u8]) -> usize {
        let state = self.state();
        state.bodies.iter().filter(|other| *other == body).count()
    }

    /// Returns the number of crashes.
    pub(crate) fn crashes(&self) -> usize {
        self.state().crashes
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn list(&self, address: SocketAddr) {
        self.source.list(self.entry(address));
    }

    /// Returns the list entry of the current start.
    fn entry(&self, address: SocketAddr) -> Endpoint {
        let restarts = self.crashes();
        let (name, incarnation) = if self.keeps_name {
            (self.name.clone(), 1 + restarts as u64)
        } else {
            (format!("{}-{restarts}", self.name), 0)
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

    /// Serves, crashes and restarts in a loop.
    async fn run(self, mut listener: TcpListener, address: SocketAddr) {
        loop {
            self.serve_until_crash(&listener).await;
            drop(listener);
            let old_name = self.entry(address).name;
            self.state().crashes += 1;
            tokio::time::sleep(DOWNTIME).await;
            if !self.keeps_name {
                self.source.unlist(&old_name);
            }
            listener = TcpListener::bind(address).await.expect("its own port");
            self.list(address);
        }
    }

    async fn serve_until_crash(&self, listener: &TcpListener) {
        // Returning drops the set and closes all connections.
        let mut connections = JoinSet::new();
        loop {
            tokio::select! {
                () = self.crash_signal.notified() => return,
                accepted = listener.accept() => {
                    let (stream, _) = accepted.expect("a connection");
                    connections.spawn(self.clone().serve(stream));
                }
            }
        }
    }

    /// Waits for the queue delay. Returns whether the connection is still open.
    async fn is_open_after_queue_delay(&self, stream: &mut TcpStream) -> bool {
        let mut byte = [0];
        let closed = tokio::time::timeout(self.queue_delay, stream.read(&mut byte)).await;
        closed.is_err()
    }

    async fn serve(self, mut stream: TcpStream) {
        let mut buffer = Vec::new();
        while let Some(request) = read_request(&mut stream, &mut buffer).await {
            self.state().bodies.push(request.body.clone());
            if !self.is_open_after_queue_delay(&mut stream).await {
                return;
            }
            if request.body.starts_with(POISON_BODY) {
                tokio::time::sleep(CRASH_DELAY).await;
                self.crash_signal.notify_one();
                return std::future::pending().await;
            }
            tokio::time::sleep(ANSWER_DELAY).await;
            if !send(&mut stream, &answer(&request, "")).await {
                return;
            }
        }
    }
}
