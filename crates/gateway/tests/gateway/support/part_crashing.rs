//! An endpoint that streams events and crashes on prompts with certain parts, with all its
//! connections, and restarts later under a new name.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use chalkrock_core::{BuildVersion, Endpoint, EndpointKind, HostState, Incarnation};
use socket2::SockRef;
use tokio::io::AsyncReadExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, watch};
use tokio::task::JoinSet;
use tokio::time::Instant;

use super::TestSource;
use super::endpoint::{Request, chunk, event, read_request, send};

/// Time between two events.
const EVENT_INTERVAL: Duration = Duration::from_millis(20);
/// Events of a whole answer.
pub(crate) const EVENTS: u64 = 15;
const SLOTS: u32 = 32;
/// Time for which connections stay open and silent after a crash that does not close them.
const SILENCE: Duration = Duration::from_secs(30);

/// How far an answer on a poison part gets before its endpoint crashes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CrashPoint {
    /// No byte of it is sent; the crash resets all connections.
    BeforeHead,
    /// A part of the head is sent.
    InsideHead,
    /// The first event is sent.
    AfterFirstEvent,
    /// The first event is sent, and others follow until the crash.
    WhileStreaming,
    /// All of it is sent.
    AfterAnswer,
}

/// How the endpoints of a test behave.
#[derive(Clone, Debug)]
pub(crate) struct PartCrashPlan {
    /// Parts that crash an endpoint which begins to answer.
    pub(crate) poison_parts: Vec<u64>,
    /// Whether they do so by now.
    pub(crate) is_armed: Arc<AtomicBool>,
    pub(crate) crash_point: CrashPoint,
    /// Time from that point to the crash.
    pub(crate) crash_delay: Duration,
    /// Whether a crash leaves open connections silent. New ones are refused.
    pub(crate) leaves_connections: bool,
    /// Time from the head of an answer to its first event.
    pub(crate) first_event_delay: Duration,
    /// Whether answers end with their connection alone.
    pub(crate) is_close_delimited: bool,
    /// Time from a crash to the restart.
    pub(crate) downtime: Duration,
}

impl Default for PartCrashPlan {
    fn default() -> Self {
        Self {
            poison_parts: vec![666],
            is_armed: Arc::new(AtomicBool::new(true)),
            crash_point: CrashPoint::AfterFirstEvent,
            crash_delay: Duration::from_millis(40),
            leaves_connections: false,
            first_event_delay: Duration::from_millis(10),
            is_close_delimited: false,
            downtime: Duration::from_millis(1_500),
        }
    }
}

#[derive(Default)]
struct State {
    /// When requests with a poison part arrived.
    poison_arrivals: Vec<Instant>,
    crashes: Vec<Instant>,
}

/// An endpoint that crashes on prompts with certain parts.
#[derive(Clone)]
pub(crate) struct PartCrashingEndpoint {
    name: String,
    source: TestSource,
    plan: Arc<PartCrashPlan>,
    state: Arc<Mutex<State>>,
    crash_signal: Arc<Notify>,
}

impl PartCrashingEndpoint {
    /// Starts an endpoint and adds it to the list.
    pub(crate) async fn start(name: &str, source: TestSource, plan: Arc<PartCrashPlan>) -> Self {
        let endpoint = Self {
            name: name.to_owned(),
            source,
            plan,
            state: Arc::default(),
            crash_signal: Arc::default(),
        };
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        endpoint.source.list(endpoint.entry(address));
        tokio::spawn(endpoint.clone().run(listener, address));
        endpoint
    }

    /// Crashes although no request causes it.
    pub(crate) fn crash(&self) {
        self.crash_signal.notify_one();
    }

    /// Returns when requests with a poison part arrived.
    pub(crate) fn poison_arrivals(&self) -> Vec<Instant> {
        self.state().poison_arrivals.clone()
    }

    /// Returns when it crashed.
    pub(crate) fn crashes(&self) -> Vec<Instant> {
        self.state().crashes.clone()
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn entry(&self, address: SocketAddr) -> Endpoint {
        let restarts = self.state().crashes.len();
        Endpoint {
            name: format!("{}-{restarts}", self.name).as_str().into(),
            kind: EndpointKind::Service,
            pool: "pool".into(),
            zone: "zone-a".into(),
            address,
            slots: SLOTS,
            incarnation: Incarnation(0),
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
            self.state().crashes.push(Instant::now());
            tokio::time::sleep(self.plan.downtime).await;
            self.source.unlist(&old_name);
            listener = TcpListener::bind(address).await.expect("its own port");
            self.source.list(self.entry(address));
        }
    }

    async fn serve_until_crash(&self, listener: &TcpListener) {
        // Dropping the set closes all connections.
        let mut connections = JoinSet::new();
        let (crashed, _) = watch::channel(false);
        loop {
            tokio::select! {
                () = self.crash_signal.notified() => break,
                accepted = listener.accept() => {
                    let (stream, _) = accepted.expect("a connection");
                    if self.plan.crash_point == CrashPoint::BeforeHead {
                        let linger = SockRef::from(&stream).set_linger(Some(Duration::ZERO));
                        linger.expect("a socket");
                    }
                    connections.spawn(self.clone().serve_until(stream, crashed.subscribe()));
                }
            }
        }
        if self.plan.leaves_connections {
            crashed.send_replace(true);
            tokio::spawn(async move {
                tokio::time::sleep(SILENCE).await;
                drop(connections);
            });
        }
    }

    /// Serves a connection; it stays open and silent after a crash.
    async fn serve_until(self, mut stream: TcpStream, mut crashed: watch::Receiver<bool>) {
        tokio::select! {
            () = self.serve(&mut stream) => return,
            _ = crashed.wait_for(|has_crashed| *has_crashed) => {}
        }
        std::future::pending().await
    }

    async fn serve(&self, stream: &mut TcpStream) {
        let mut buffer = Vec::new();
        while let Some(request) = read_request(stream, &mut buffer).await {
            let is_poison = self.is_poison(&request);
            if is_poison {
                self.state().poison_arrivals.push(Instant::now());
            }
            let keeps = self.answer(stream, &request, is_poison).await;
            if is_poison && keeps.is_some() && self.plan.crash_point == CrashPoint::AfterAnswer {
                return self.crash_after_delay().await;
            }
            if keeps.is_none() || self.plan.is_close_delimited {
                return;
            }
        }
    }

    async fn crash_after_delay(&self) {
        self.crash_later().await;
        std::future::pending().await
    }

    async fn crash_later(&self) {
        tokio::time::sleep(self.plan.crash_delay).await;
        self.crash();
    }

    /// Streams an answer; `None` if the peer has closed the connection.
    async fn answer(
        &self,
        stream: &mut TcpStream,
        request: &Request,
        is_poison: bool,
    ) -> Option<()> {
        let id = request.header("id").unwrap_or_default();
        let framing = if self.plan.is_close_delimited {
            "connection: close\r\n"
        } else {
            "transfer-encoding: chunked\r\n"
        };
        let head = format!(
            "HTTP/1.1 200 OK\r\nid: {id}\r\nsignature: s\r\n\
             content-type: text/event-stream\r\n{framing}\r\n"
        );
        let after = request.header("after").and_then(|after| after.parse().ok());
        let first = after.map_or(0, |after: u64| after + 1);
        let mut byte = [0];
        let waiting = tokio::time::timeout(self.plan.first_event_delay, stream.read(&mut byte));
        if waiting.await.is_ok() {
            return None;
        }
        let crash_point = is_poison.then_some(self.plan.crash_point);
        if matches!(
            crash_point,
            Some(CrashPoint::BeforeHead | CrashPoint::InsideHead)
        ) {
            if crash_point == Some(CrashPoint::InsideHead) {
                send(stream, &head.as_bytes()[..head.len() / 2]).await;
            }
            self.crash_after_delay().await;
        }
        let is_sent = send(stream, head.as_bytes()).await;
        let events = if crash_point == Some(CrashPoint::WhileStreaming) {
            u64::MAX
        } else {
            EVENTS
        };
        for number in first..events {
            let event = event(number);
            let event = if self.plan.is_close_delimited {
                event
            } else {
                chunk(&event)
            };
            if !is_sent || !send(stream, &event).await {
                return None;
            }
            match crash_point {
                Some(CrashPoint::AfterFirstEvent) => self.crash_after_delay().await,
                Some(CrashPoint::WhileStreaming) if number == first => {
                    let crashing = self.clone();
                    tokio::spawn(async move { crashing.crash_later().await });
                }
                _ => {}
            }
            tokio::time::sleep(EVENT_INTERVAL).await;
        }
        let end: &[u8] = if self.plan.is_close_delimited {
            b""
        } else {
            b"0\r\n\r\n"
        };
        send(stream, end).await.then_some(())
    }

    /// Whether a part other than the last crashes the endpoint.
    fn is_poison(&self, request: &Request) -> bool {
        if !self.plan.is_armed.load(Ordering::Relaxed) {
            return false;
        }
        let parts = request.header("parts").unwrap_or_default();
        let Some((shared, _last)) = parts.rsplit_once(',') else {
            return false;
        };
        let mut shared = shared.split(',').filter_map(|part| part.parse().ok());
        shared.any(|part| self.plan.poison_parts.contains(&part))
    }
}
