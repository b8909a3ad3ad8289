//! A running gateway and an HTTP client for it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use chalkrock_core::PoolId;
use chalkrock_gateway::{GatewayConfig, GatewayConfigBuilder, RunningGateway, start};
use chalkrock_process::{StopHandle, stop_pair};
use chalkrock_routing::{
    BudgetPhases, BudgetRules, ColdBound, OrganisationRules, Route, RouteKind, RulesDocument,
    RulesVersion, WeightedPool,
};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::runtime::Runtime;
use tokio::sync::mpsc;

use super::{Behaviour, Script, ScriptedEndpoint, TestEdge, TestSource};

/// API key of the organisation `dispatch`.
pub(crate) const KEY: &str = "key-1";
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Returns a route to the pool `pool`.
pub(crate) fn route(name: &str, kind: RouteKind, attempts_max: u32) -> Route {
    Route {
        name: name.into(),
        host: "a.example".into(),
        path_prefix: format!("/{name}/").into(),
        backends: vec![WeightedPool {
            pool: PoolId::from("pool"),
            weight: 1,
        }],
        kind,
        timeout_ms: 3_000,
        objective_ms: 300,
        attempts_max,
        priority: 1,
        is_public: false,
    }
}

/// Returns rules with one route of each kind.
pub(crate) fn rules(version: u64) -> RulesDocument {
    RulesDocument {
        version: RulesVersion(version),
        routes: vec![
            route("safe", RouteKind::Safe, 2),
            route("unsafe", RouteKind::Unsafe, 2),
            route("once", RouteKind::Unsafe, 1),
            Route {
                timeout_ms: 600_000,
                ..route("patient", RouteKind::Unsafe, 1)
            },
            route("stream", RouteKind::Stream { resumable: false }, 1),
            route("resumable", RouteKind::Stream { resumable: true }, 3),
        ],
        organisations: vec![OrganisationRules {
            name: "dispatch".into(),
            priority: 1,
            keys: vec![Arc::from(KEY)],
        }],
        ..RulesDocument::default()
    }
}

/// Returns the rules of `rules` with extra routes.
pub(crate) fn rules_with_routes(version: u64, routes: usize) -> RulesDocument {
    let mut document = rules(version);
    let extra = (0..routes).map(|i| route(&format!("more-{i}"), RouteKind::Safe, 2));
    document.routes.splice(0..0, extra);
    document
}

/// Returns settings with free ports.
pub(super) fn config(zone: &str, host: &str, seeds: Vec<SocketAddr>) -> GatewayConfigBuilder {
    const GRACE_MS: u64 = 2_000;
    let any_port: SocketAddr = "127.0.0.1:0".parse().expect("an address");
    GatewayConfig::builder(host, zone, any_port)
        .ready_listen(any_port)
        .metrics_listen(any_port)
        .peer_listen(any_port)
        .forward_listen(Some(any_port))
        .peer_seeds(seeds)
        .grace_ms(GRACE_MS)
        // A host has no part of the slack while it is young, as in nearly all tests.
        .retry_budget(BudgetRules {
            ratio: 100.0,
            slack: 100.0,
            window_ms: 40_000,
        })
}

/// Returns settings of a host with a retry budget. It keeps one retry in stock, whatever its
/// requests are.
pub(crate) fn config_with_budget(host: &str, budget: BudgetRules) -> GatewayConfig {
    let phases = BudgetPhases {
        stock: 0.99,
        ..BudgetPhases::default()
    };
    config("zone-a", host, Vec::new())
        .retry_budget(budget)
        .retry_budget_phases(phases)
        .build()
}

/// A running gateway with its store and endpoints.
pub(crate) struct TestGateway {
    pub(crate) running: RunningGateway,
    pub(crate) stop: StopHandle,
    pub(crate) source: TestSource,
    pub(crate) endpoints: Vec<ScriptedEndpoint>,
    /// Behaviours for the next requests at its endpoints.
    pub(crate) script: Script,
    pub(super) _runtime: Option<OwnRuntime>,
}

/// The runtime of a gateway that ends with it.
pub(super) struct OwnRuntime {
    runtime: Option<Runtime>,
    peer_address: SocketAddr,
}

impl Drop for OwnRuntime {
    /// Keeps the address for peers until the process ends: others still send there, which a
    /// host of another test would take for its own fleet.
    fn drop(&mut self) {
        const MAX_BINDS: usize = 250;
        const BIND_PAUSE: Duration = Duration::from_millis(2);
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
        for _ in 0..MAX_BINDS {
            // The runtime closes the socket in the background.
            if let Ok(socket) = std::net::UdpSocket::bind(self.peer_address) {
                std::mem::forget(socket);
                return;
            }
            std::thread::sleep(BIND_PAUSE);
        }
    }
}

impl TestGateway {
    /// Starts endpoints and a gateway in front of them, and waits until it is ready.
    pub(crate) async fn with_endpoints(endpoints: usize, behaviour: Behaviour) -> Self {
        let source = TestSource::default();
        source.set_rules(rules(1));
        let script = Script::default();
        let mut started = Vec::new();
        for i in 0..endpoints {
            let name = format!("endpoint-{i}");
            let endpoint =
                ScriptedEndpoint::start(&name, "pool", behaviour.clone(), script.clone()).await;
            source.list(endpoint.endpoint.clone());
            started.push(endpoint);
        }
        let gateway = Self::start(source, "host-1", Vec::new()).await;
        gateway.ready().await;
        Self {
            endpoints: started,
            script,
            ..gateway
        }
    }

    /// Starts a gateway; it may not be ready yet.
    pub(crate) async fn start(source: TestSource, host: &str, seeds: Vec<SocketAddr>) -> Self {
        Self::in_zone("zone-a", source, host, seeds).await
    }

    /// Starts a gateway that is lost, as by SIGKILL, when this is dropped.
    pub(crate) async fn killable(source: TestSource, host: &str, seeds: Vec<SocketAddr>) -> Self {
        Self::killable_from_config(config("zone-a", host, seeds).build(), source).await
    }

    /// The same with a retry budget.
    pub(crate) async fn killable_with_budget(
        source: &TestSource,
        host: &str,
        seeds: Vec<SocketAddr>,
        budget: BudgetRules,
    ) -> Self {
        let config = config("zone-a", host, seeds).retry_budget(budget);
        Self::killable_from_config(config.build(), source.clone()).await
    }

    async fn killable_from_config(config: GatewayConfig, source: TestSource) -> Self {
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(1)
            .enable_all()
            .build()
            .expect("a runtime");
        let started = runtime.spawn(Self::from_config(config, source));
        let gateway = started.await.expect("the gateway starts");
        let own = OwnRuntime {
            runtime: Some(runtime),
            peer_address: gateway.peer_address(),
        };
        Self {
            _runtime: Some(own),
            ..gateway
        }
    }

    /// Starts a gateway whose retry budget has no slack.
    pub(crate) async fn with_budget(source: TestSource, ratio: f64) -> Self {
        let budget = BudgetRules {
            ratio,
            slack: 0.0,
            window_ms: 10_000,
        };
        Self::with_budget_rules(source, "host-1", budget).await
    }

    /// Starts a gateway with a retry budget.
    pub(crate) async fn with_budget_rules(
        source: TestSource,
        host: &str,
        budget: BudgetRules,
    ) -> Self {
        Self::from_config(config_with_budget(host, budget), source).await
    }

    /// Starts a gateway with a retry budget that reloads may change.
    pub(crate) async fn with_reloads(
        source: TestSource,
        budget: BudgetRules,
    ) -> (Self, mpsc::Sender<GatewayConfig>) {
        let (sender, reloads) = mpsc::channel(1);
        let config = config_with_budget("host-1", budget);
        (Self::run(config, source, reloads).await, sender)
    }

    /// Starts a gateway with a limit on callers' connections.
    pub(crate) async fn with_max_connections(source: TestSource, connections_max: usize) -> Self {
        let config = config("zone-a", "host-1", Vec::new());
        Self::from_config(config.connections_max(connections_max).build(), source).await
    }

    /// Starts a gateway with a limit on the bytes of callers' bodies.
    pub(crate) async fn with_max_body_bytes(source: TestSource, bodies_max_bytes: usize) -> Self {
        let config = config("zone-a", "host-1", Vec::new());
        Self::from_config(config.bodies_max_bytes(bodies_max_bytes).build(), source).await
    }

    /// Starts a gateway with a limit on the bytes of endpoints' answers.
    pub(crate) async fn with_max_answer_bytes(
        source: TestSource,
        answers_max_bytes: usize,
    ) -> Self {
        const BODIES_MAX_BYTES: usize = 256 * 1024 * 1024;
        let config = config("zone-a", "host-1", Vec::new()).bodies_max_bytes(BODIES_MAX_BYTES);
        Self::from_config(config.answers_max_bytes(answers_max_bytes).build(), source).await
    }

    /// Starts a gateway with a grace period for stops.
    pub(crate) async fn with_grace(source: TestSource, grace_ms: u64) -> Self {
        let config = config("zone-a", "host-1", Vec::new()).grace_ms(grace_ms);
        Self::from_config(config.build(), source).await
    }

    /// Starts a gateway with a bound on how late it learns of changes in the store.
    pub(crate) async fn with_follow_bound(
        source: TestSource,
        host: &str,
        seeds: Vec<SocketAddr>,
        bound_ms: u64,
    ) -> Self {
        Self::in_zone_with_bound("zone-a", source, host, seeds, bound_ms).await
    }

    /// The same in a zone.
    pub(crate) async fn in_zone_with_bound(
        zone: &str,
        source: TestSource,
        host: &str,
        seeds: Vec<SocketAddr>,
        bound_ms: u64,
    ) -> Self {
        let config = config(zone, host, seeds).follow_bound_ms(bound_ms);
        Self::from_config(config.build(), source).await
    }

    /// Starts a gateway that limits requests to cold endpoints and assumes that
    /// list entries are up to a minute late.
    pub(crate) async fn with_cold_bound(
        source: TestSource,
        host: &str,
        seeds: Vec<SocketAddr>,
    ) -> Self {
        const ENTRY_DELAY_MS: u64 = 60_000;
        let bound = ColdBound {
            overshoot: 1.5,
            slack: 5.0,
        };
        let config = config("zone-a", host, seeds)
            .cold_bound(Some(bound))
            .entry_delay_ms(ENTRY_DELAY_MS);
        Self::from_config(config.build(), source).await
    }

    /// Starts a gateway with a limit on concurrent large uploads to peers.
    pub(crate) async fn with_max_uploads(source: TestSource, uploads_max: usize) -> Self {
        let config = config("zone-a", "host-1", Vec::new());
        Self::from_config(config.uploads_max(uploads_max).build(), source).await
    }

    /// Starts a gateway with its own store and waits until it is ready.
    pub(crate) async fn with_rules(rules: RulesDocument) -> Self {
        let source = TestSource::default();
        source.set_rules(rules);
        let gateway = Self::start(source, "host-1", Vec::new()).await;
        gateway.ready().await;
        gateway
    }

    /// Starts a gateway whose store is unavailable.
    pub(crate) async fn without_store(host: &str, seeds: Vec<SocketAddr>) -> Self {
        let source = TestSource::default();
        source.set_unavailable(true);
        Self::start(source, host, seeds).await
    }

    /// Starts a gateway in a zone.
    pub(crate) async fn in_zone(
        zone: &str,
        source: TestSource,
        host: &str,
        seeds: Vec<SocketAddr>,
    ) -> Self {
        Self::from_config(config(zone, host, seeds).build(), source).await
    }

    async fn from_config(config: GatewayConfig, source: TestSource) -> Self {
        let (_, reloads) = mpsc::channel(1);
        Self::run(config, source, reloads).await
    }

    async fn run(
        config: GatewayConfig,
        source: TestSource,
        reloads: mpsc::Receiver<GatewayConfig>,
    ) -> Self {
        let (stop, stop_signal) = stop_pair();
        let running = start(
            config,
            Box::new(TestEdge),
            source.clone(),
            stop_signal,
            reloads,
        )
        .await
        .expect("the gateway starts");
        Self {
            running,
            stop,
            source,
            endpoints: Vec::new(),
            script: Script::default(),
            _runtime: None,
        }
    }

    /// Waits until the gateway is ready.
    pub(crate) async fn ready(&self) {
        while self.ready_status().await != 200 {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Returns the status of its readiness check.
    pub(crate) async fn ready_status(&self) -> u16 {
        let address = self.running.status_addresses()[0];
        let answer = Call::get("/ready").exchange(address).await;
        answer.status
    }

    /// Returns its metrics as text.
    pub(crate) async fn metrics(&self) -> String {
        let address = self.running.status_addresses()[1];
        let answer = Call::get("/metrics").exchange(address).await;
        String::from_utf8_lossy(&answer.body).into_owned()
    }

    /// Returns whether a version of the rules is in force.
    pub(crate) async fn has_rules(&self, version: u64) -> bool {
        let line = format!("chalkrock_rules_version{{}} {version}\n");
        self.metrics().await.contains(&line)
    }

    /// Returns its address for peers.
    pub(crate) fn peer_address(&self) -> SocketAddr {
        self.running.peer_address().expect("a peer address")
    }

    /// Returns its address for forwarded requests.
    pub(crate) fn forward_address(&self) -> SocketAddr {
        self.running.forward_address().expect("an address")
    }

    /// Sends a call and returns the answer.
    pub(crate) async fn call(&self, call: Call) -> Received {
        call.exchange(self.running.front_address()).await
    }

    /// Returns how many times a request arrived at its endpoints.
    pub(crate) fn run_count(&self, id: &str) -> usize {
        self.endpoints.iter().map(|e| e.run_count(id)).sum()
    }
}

/// A caller's request.
#[derive(Clone, Debug)]
pub(crate) struct Call {
    method: &'static str,
    version: &'static str,
    path: String,
    headers: Vec<(String, String)>,
    body: Vec<u8>,
}

/// An answer as received until it was complete or the connection closed.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Received {
    /// 0 if the connection closed before a complete head.
    pub(crate) status: u16,
    pub(crate) head: String,
    pub(crate) body: Vec<u8>,
    /// Whether the body ends as its framing requires. One that the connection's close
    /// delimits must not end with a reset.
    pub(crate) is_complete: bool,
    /// Whether neither a length nor chunks delimit the body.
    pub(crate) is_close_delimited: bool,
}

impl Received {
    /// Returns a header's value.
    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        let mut lines = self.head.lines().skip(1);
        lines.find_map(|line| {
            let (known, value) = line.split_once(':')?;
            known.eq_ignore_ascii_case(name).then(|| value.trim())
        })
    }

    /// Returns the ids of the events in the body.
    pub(crate) fn events(&self) -> Vec<u64> {
        let text = String::from_utf8_lossy(&self.body).into_owned();
        let ids = text.lines().filter_map(|line| line.strip_prefix("id: "));
        ids.filter_map(|id| id.parse().ok()).collect()
    }
}

impl Call {
    /// Creates a `GET` request with a key.
    pub(crate) fn get(path: &str) -> Self {
        Self {
            method: "GET",
            version: "HTTP/1.1",
            path: path.to_owned(),
            headers: vec![
                ("host".to_owned(), "a.example".to_owned()),
                ("key".to_owned(), KEY.to_owned()),
            ],
            body: Vec::new(),
        }
    }

    /// Creates a `POST` request with a key.
    pub(crate) fn post(path: &str, body: &[u8]) -> Self {
        Self {
            method: "POST",
            body: body.to_vec(),
            ..Self::get(path)
        }
    }

    /// Sets the request id.
    pub(crate) fn id(self, id: &str) -> Self {
        self.header("id", id)
    }

    /// Sets a header, or removes it if the value is empty.
    pub(crate) fn header(mut self, name: &str, value: &str) -> Self {
        self.headers.retain(|(known, _)| known != name);
        if !value.is_empty() {
            self.headers.push((name.to_owned(), value.to_owned()));
        }
        self
    }

    /// Sends the request as one of HTTP/1.0.
    pub(crate) fn http_1_0(mut self) -> Self {
        self.version = "HTTP/1.0";
        self
    }

    /// Returns the request as it is sent.
    pub(crate) fn bytes(&self) -> Vec<u8> {
        let mut text = format!("{} {} {}\r\n", self.method, self.path, self.version);
        for (name, value) in &self.headers {
            text.push_str(&format!("{name}: {value}\r\n"));
        }
        if !self.body.is_empty() {
            text.push_str(&format!("content-length: {}\r\n", self.body.len()));
        }
        text.push_str("\r\n");
        [text.as_bytes(), &self.body].concat()
    }

    /// Sends the request on a new connection and returns the answer.
    pub(crate) async fn exchange(&self, address: SocketAddr) -> Received {
        receive(&mut self.send(address).await).await
    }

    /// Sends the request on a new connection without reading the answer.
    pub(crate) async fn send(&self, address: SocketAddr) -> TcpStream {
        let mut stream = TcpStream::connect(address).await.expect("a connection");
        stream.write_all(&self.bytes()).await.expect("a request");
        stream
    }
}

/// Receives one answer.
pub(crate) async fn receive(stream: &mut TcpStream) -> Received {
    let mut bytes = Vec::new();
    let mut was_reset = false;
    loop {
        if let Some(received) = parse(&bytes, false) {
            return received;
        }
        match stream.read_buf(&mut bytes).await {
            Ok(0) => break,
            Err(_) => {
                was_reset = true;
                break;
            }
            Ok(_) => {}
        }
    }
    let received = parse(&bytes, true).map(|received| Received {
        is_complete: received.is_complete && !(received.is_close_delimited && was_reset),
        ..received
    });
    received.unwrap_or(Received {
        status: 0,
        head: String::new(),
        body: bytes,
        is_complete: false,
        is_close_delimited: false,
    })
}

/// Parses an answer. Returns an incomplete one only if the connection has closed.
fn parse(bytes: &[u8], is_closed: bool) -> Option<Received> {
    let end = bytes.windows(4).position(|window| window == b"\r\n\r\n")?;
    let head = String::from_utf8_lossy(&bytes[..end]).into_owned();
    let status = head.split(' ').nth(1)?.parse().ok()?;
    let rest = &bytes[end + 4..];
    let mut received = Received {
        status,
        head,
        body: Vec::new(),
        is_complete: false,
        is_close_delimited: false,
    };
    if received.header("transfer-encoding").is_some() {
        (received.body, received.is_complete) = dechunk(rest);
    } else if received.header("content-length").is_none() && !matches!(status, 204 | 304) {
        received.is_close_delimited = true;
        received.is_complete = is_closed;
        received.body = rest.to_vec();
    } else {
        let length = received.header("content-length");
        let length: usize = length.and_then(|length| length.parse().ok()).unwrap_or(0);
        received.is_complete = rest.len() >= length;
        received.body = rest[..rest.len().min(length)].to_vec();
    }
    (received.is_complete || is_closed).then_some(received)
}

fn dechunk(mut rest: &[u8]) -> (Vec<u8>, bool) {
    let mut body = Vec::new();
    while let Some(end) = rest.windows(2).position(|window| window == b"\r\n") {
        let size = String::from_utf8_lossy(&rest[..end]).into_owned();
        let Ok(size) = usize::from_str_radix(&size, 16) else {
            return (body, false);
        };
        if size == 0 {
            return (body, true);
        }
        let from = end + 2;
        if rest.len() < from + size + 2 {
            body.extend_from_slice(&rest[from..rest.len().min(from + size)]);
            return (body, false);
        }
        body.extend_from_slice(&rest[from..from + size]);
        rest = &rest[from + size + 2..];
    }
    (body, false)
}

/// Polls until the condition holds.
pub(crate) async fn until(mut condition: impl AsyncFnMut() -> bool) {
    while !condition().await {
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Returns the value of a host's metric, or 0 if it is missing.
pub(crate) async fn metric(host: &TestGateway, name: &str) -> f64 {
    let metrics = host.metrics().await;
    let prefix = format!("chalkrock_{name}{{}} ");
    let mut lines = metrics.lines();
    let line = lines.find_map(|line| line.strip_prefix(&prefix));
    line.map_or(0.0, |value| value.parse().expect("a number"))
}

/// Returns how many hosts have a value in a metric.
pub(crate) async fn hosts_with(hosts: &[TestGateway], name: &str, value: f64) -> usize {
    let mut count = 0;
    for host in hosts {
        count += usize::from(metric(host, name).await == value);
    }
    count
}
