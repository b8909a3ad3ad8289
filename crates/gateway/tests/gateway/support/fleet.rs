//! One gateway and what a caller of it receives.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use chalkrock_core::PoolId;
use chalkrock_gateway::{GatewayConfig, GatewayConfigBuilder, RunningGateway, start};
use chalkrock_process::{StopHandle, stop_pair};
use chalkrock_routing::{
    BudgetRules, ColdBound, OrganisationRules, Route, RouteKind, RulesDocument, RulesVersion,
    WeightedPool,
};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::mpsc;

use super::{Behaviour, Script, ScriptedEndpoint, TestEdge, TestSource};

/// A key of the organisation `dispatch`.
pub(crate) const KEY: &str = "key-1";
const LOOK_PAUSE: Duration = Duration::from_millis(5);

/// The routes of all tests: one a kind, on the pool `pool`.
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

/// The rules of all tests.
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

/// The rules of all tests and so many routes besides.
pub(crate) fn rules_of(version: u64, routes: usize) -> RulesDocument {
    let mut document = rules(version);
    let more = (0..routes).map(|i| route(&format!("more-{i}"), RouteKind::Safe, 2));
    document.routes.splice(0..0, more);
    document
}

/// The settings of all tests.
pub(super) fn config(zone: &str, host: &str, seeds: Vec<SocketAddr>) -> GatewayConfigBuilder {
    const GRACE_MS: u64 = 2_000;
    let any: SocketAddr = "127.0.0.1:0".parse().expect("an address");
    GatewayConfig::builder(host, zone, any)
        .ready_listen(any)
        .metrics_listen(any)
        .peer_listen(any)
        .peer_seeds(seeds)
        .grace_ms(GRACE_MS)
        .retry_budget(BudgetRules {
            ratio: 0.2,
            slack: 100.0,
            window_ms: 10_000,
        })
}

/// A running gateway.
pub(crate) struct TestGateway {
    pub(crate) running: RunningGateway,
    pub(crate) stop: StopHandle,
    pub(crate) source: TestSource,
    pub(crate) endpoints: Vec<ScriptedEndpoint>,
    /// What its endpoints do next.
    pub(crate) script: Script,
}

impl TestGateway {
    /// A gateway before so many endpoints, ready to serve.
    pub(crate) async fn before(endpoints: usize, usual: Behaviour) -> Self {
        let source = TestSource::default();
        source.set_rules(rules(1));
        let script = Script::default();
        let mut started = Vec::new();
        for i in 0..endpoints {
            let name = format!("endpoint-{i}");
            let endpoint =
                ScriptedEndpoint::start(&name, "pool", usual.clone(), script.clone()).await;
            source.list(endpoint.endpoint.clone());
            started.push(endpoint);
        }
        let gateway = Self::with(source, "host-1", Vec::new()).await;
        gateway.ready().await;
        Self {
            endpoints: started,
            script,
            ..gateway
        }
    }

    /// A gateway of a source, which may know nothing yet.
    pub(crate) async fn with(source: TestSource, host: &str, seeds: Vec<SocketAddr>) -> Self {
        Self::in_zone("zone-a", source, host, seeds).await
    }

    /// A gateway whose retries are paid for by its requests alone.
    pub(crate) async fn with_budget(source: TestSource, ratio: f64) -> Self {
        let config = config("zone-a", "host-1", Vec::new());
        let budget = BudgetRules {
            ratio,
            slack: 0.0,
            window_ms: 10_000,
        };
        Self::configured(config.retry_budget(budget).build(), source).await
    }

    /// A gateway with so many places for callers' connections.
    pub(crate) async fn with_places(source: TestSource, connections_max: usize) -> Self {
        let config = config("zone-a", "host-1", Vec::new());
        Self::configured(config.connections_max(connections_max).build(), source).await
    }

    /// A gateway with room for so many bytes of callers' bodies.
    pub(crate) async fn with_room(source: TestSource, bodies_max_bytes: usize) -> Self {
        let config = config("zone-a", "host-1", Vec::new());
        Self::configured(config.bodies_max_bytes(bodies_max_bytes).build(), source).await
    }

    /// A gateway with room for so many bytes of endpoints' answers.
    pub(crate) async fn with_answer_room(source: TestSource, answers_max_bytes: usize) -> Self {
        const BODIES_MAX_BYTES: usize = 256 * 1024 * 1024;
        let config = config("zone-a", "host-1", Vec::new()).bodies_max_bytes(BODIES_MAX_BYTES);
        Self::configured(config.answers_max_bytes(answers_max_bytes).build(), source).await
    }

    /// A gateway that has to know within a bound what changed in a silence of
    /// its source.
    pub(crate) async fn with_follow_bound(
        source: TestSource,
        host: &str,
        seeds: Vec<SocketAddr>,
        bound_ms: u64,
    ) -> Self {
        let config = config("zone-a", host, seeds).follow_bound_ms(bound_ms);
        Self::configured(config.build(), source).await
    }

    /// A gateway that bounds what cold endpoints are sent, and that believes their
    /// entries a minute late.
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
        Self::configured(config.build(), source).await
    }

    /// A gateway that passes large rules on to so many others at once.
    pub(crate) async fn with_uploads(source: TestSource, uploads_max: usize) -> Self {
        let config = config("zone-a", "host-1", Vec::new());
        Self::configured(config.uploads_max(uploads_max).build(), source).await
    }

    /// A gateway that serves by rules of a platform of its own.
    pub(crate) async fn serving(rules: RulesDocument) -> Self {
        let source = TestSource::default();
        source.set_rules(rules);
        let gateway = Self::with(source, "host-1", Vec::new()).await;
        gateway.ready().await;
        gateway
    }

    /// A gateway that its platform does not answer.
    pub(crate) async fn cut_off(host: &str, seeds: Vec<SocketAddr>) -> Self {
        let source = TestSource::default();
        source.set_down(true);
        Self::with(source, host, seeds).await
    }

    /// A gateway in a zone.
    pub(crate) async fn in_zone(
        zone: &str,
        source: TestSource,
        host: &str,
        seeds: Vec<SocketAddr>,
    ) -> Self {
        Self::configured(config(zone, host, seeds).build(), source).await
    }

    async fn configured(config: GatewayConfig, source: TestSource) -> Self {
        let (stop, asked) = stop_pair();
        let (_, reloads) = mpsc::channel(1);
        let running = start(config, Box::new(TestEdge), source.clone(), asked, reloads)
            .await
            .expect("the gateway starts");
        Self {
            running,
            stop,
            source,
            endpoints: Vec::new(),
            script: Script::default(),
        }
    }

    /// Waits until it says that it is ready.
    pub(crate) async fn ready(&self) {
        while self.ready_status().await != 200 {
            tokio::time::sleep(LOOK_PAUSE).await;
        }
    }

    /// What it says when it is asked whether it is ready.
    pub(crate) async fn ready_status(&self) -> u16 {
        let address = self.running.status_addresses()[0];
        let answer = Call::get("/ready").to(address).await;
        answer.status
    }

    /// Its metrics.
    pub(crate) async fn metrics(&self) -> String {
        let address = self.running.status_addresses()[1];
        let answer = Call::get("/metrics").to(address).await;
        String::from_utf8_lossy(&answer.body).into_owned()
    }

    /// Whether it has a version of the rules in force.
    pub(crate) async fn knows_rules(&self, version: u64) -> bool {
        let line = format!("chalkrock_rules_version{{}} {version}\n");
        self.metrics().await.contains(&line)
    }

    /// Where other hosts reach it.
    pub(crate) fn peer_address(&self) -> SocketAddr {
        self.running.peer_address().expect("it hears others")
    }

    /// Sends a call.
    pub(crate) async fn call(&self, call: Call) -> Received {
        call.to(self.running.front_address()).await
    }

    /// How often a request ran, over all endpoints.
    pub(crate) fn runs_of(&self, id: &str) -> usize {
        self.endpoints.iter().map(|e| e.runs_of(id)).sum()
    }
}

/// A caller's request.
#[derive(Clone, Debug)]
pub(crate) struct Call {
    method: &'static str,
    path: String,
    headers: Vec<(String, String)>,
    body: Vec<u8>,
}

/// What a caller received on its connection until it was closed or, for an
/// answer with a length, until the answer was whole.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Received {
    /// 0 if the connection closed without a head.
    pub(crate) status: u16,
    pub(crate) head: String,
    pub(crate) body: Vec<u8>,
    /// Whether the body has the end that its framing asks for.
    pub(crate) is_whole: bool,
}

impl Received {
    /// A header's value.
    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        let mut lines = self.head.lines().skip(1);
        lines.find_map(|line| {
            let (known, value) = line.split_once(':')?;
            known.eq_ignore_ascii_case(name).then(|| value.trim())
        })
    }

    /// The numbers of the events in the body.
    pub(crate) fn events(&self) -> Vec<u64> {
        let text = String::from_utf8_lossy(&self.body).into_owned();
        let ids = text.lines().filter_map(|line| line.strip_prefix("id: "));
        ids.filter_map(|id| id.parse().ok()).collect()
    }
}

impl Call {
    /// A `GET` with a key.
    pub(crate) fn get(path: &str) -> Self {
        Self {
            method: "GET",
            path: path.to_owned(),
            headers: vec![
                ("host".to_owned(), "a.example".to_owned()),
                ("key".to_owned(), KEY.to_owned()),
            ],
            body: Vec::new(),
        }
    }

    /// A `POST` with a key.
    pub(crate) fn post(path: &str, body: &[u8]) -> Self {
        Self {
            method: "POST",
            body: body.to_vec(),
            ..Self::get(path)
        }
    }

    /// Names the request.
    pub(crate) fn id(self, id: &str) -> Self {
        self.header("id", id)
    }

    /// Sets a header, or takes it away if it is empty.
    pub(crate) fn header(mut self, name: &str, value: &str) -> Self {
        self.headers.retain(|(known, _)| known != name);
        if !value.is_empty() {
            self.headers.push((name.to_owned(), value.to_owned()));
        }
        self
    }

    /// The bytes of the request.
    pub(crate) fn bytes(&self) -> Vec<u8> {
        let mut text = format!("{} {} HTTP/1.1\r\n", self.method, self.path);
        for (name, value) in &self.headers {
            text.push_str(&format!("{name}: {value}\r\n"));
        }
        if !self.body.is_empty() {
            text.push_str(&format!("content-length: {}\r\n", self.body.len()));
        }
        text.push_str("\r\n");
        [text.as_bytes(), &self.body].concat()
    }

    /// Sends it on a new connection.
    pub(crate) async fn to(&self, address: SocketAddr) -> Received {
        receive(&mut self.send(address).await).await
    }

    /// Sends it on a new connection and waits for nothing.
    pub(crate) async fn send(&self, address: SocketAddr) -> TcpStream {
        let mut stream = TcpStream::connect(address).await.expect("a connection");
        stream.write_all(&self.bytes()).await.expect("a request");
        stream
    }
}

/// Receives one answer.
pub(crate) async fn receive(stream: &mut TcpStream) -> Received {
    let mut bytes = Vec::new();
    loop {
        if let Some(received) = parse(&bytes, false) {
            return received;
        }
        match stream.read_buf(&mut bytes).await {
            Ok(0) | Err(_) => break,
            Ok(_) => {}
        }
    }
    parse(&bytes, true).unwrap_or(Received {
        status: 0,
        head: String::new(),
        body: bytes,
        is_whole: false,
    })
}

/// Parses an answer; one that is not whole only if the connection has closed.
fn parse(bytes: &[u8], is_closed: bool) -> Option<Received> {
    let end = bytes.windows(4).position(|window| window == b"\r\n\r\n")?;
    let head = String::from_utf8_lossy(&bytes[..end]).into_owned();
    let status = head.split(' ').nth(1)?.parse().ok()?;
    let rest = &bytes[end + 4..];
    let mut received = Received {
        status,
        head,
        body: Vec::new(),
        is_whole: false,
    };
    if received.header("transfer-encoding").is_some() {
        (received.body, received.is_whole) = dechunk(rest);
    } else {
        let length = received.header("content-length");
        let length: usize = length.and_then(|length| length.parse().ok()).unwrap_or(0);
        received.is_whole = rest.len() >= length;
        received.body = rest[..rest.len().min(length)].to_vec();
    }
    (received.is_whole || is_closed).then_some(received)
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

/// Waits until something holds.
pub(crate) async fn until(mut holds: impl AsyncFnMut() -> bool) {
    while !holds().await {
        tokio::time::sleep(LOOK_PAUSE).await;
    }
}

/// A figure of a host's metrics.
pub(crate) async fn figure(host: &TestGateway, name: &str) -> f64 {
    let metrics = host.metrics().await;
    let prefix = format!("chalkrock_{name}{{}} ");
    let mut lines = metrics.lines();
    let line = lines.find_map(|line| line.strip_prefix(&prefix));
    line.map_or(0.0, |value| value.parse().expect("a number"))
}

/// How many hosts have a figure.
pub(crate) async fn hosts_with(hosts: &[TestGateway], name: &str, value: f64) -> usize {
    let mut found = 0;
    for host in hosts {
        found += usize::from(figure(host, name).await == value);
    }
    found
}
