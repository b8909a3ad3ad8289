//! Poison requests: retries, resumed streams and retries at other hosts must not crash
//! one endpoint of a pool after the other.

use std::time::Duration;

use crate::support::{
    Behaviour, Call, CrashingEndpoint, POISON_BODY, TestGateway, TestSource, hosts_with, rules,
    until,
};
use googletest::prelude::*;

/// Time between two tries; longer than peers need to exchange crashes.
const PAUSE: Duration = Duration::from_millis(100);
/// Most endpoints that one request may crash.
const MAX_CRASHES: usize = 3;

/// Endpoints of one pool and hosts that are each other's peers.
struct CrashFleet {
    hosts: Vec<TestGateway>,
    endpoints: Vec<CrashingEndpoint>,
}

impl CrashFleet {
    async fn start(hosts: usize, endpoints: usize) -> Self {
        let source = TestSource::default();
        source.set_rules(rules(1));
        let mut started = Vec::new();
        for i in 0..endpoints {
            let name = format!("endpoint-{i}");
            started.push(CrashingEndpoint::start(&name, source.clone()).await);
        }
        Self {
            hosts: start_hosts(&source, hosts).await,
            endpoints: started,
        }
    }

    fn arrivals_with_body(&self, body: &[u8]) -> usize {
        let endpoints = self.endpoints.iter();
        endpoints
            .map(|endpoint| endpoint.arrivals_with_body(body))
            .sum()
    }

    fn crashes(&self) -> usize {
        self.endpoints.iter().map(CrashingEndpoint::crashes).sum()
    }
}

async fn start_hosts(source: &TestSource, count: usize) -> Vec<TestGateway> {
    let mut hosts: Vec<TestGateway> = Vec::new();
    for i in 0..count {
        let seeds = hosts.iter().map(TestGateway::peer_address).collect();
        let host = TestGateway::start(source.clone(), &format!("host-{i}"), seeds).await;
        host.ready().await;
        hosts.push(host);
    }
    // Until all hosts have received heartbeats from each other.
    tokio::time::sleep(Duration::from_millis(500)).await;
    hosts
}

/// A new id or another host must not hide a poison request.
#[tokio::test]
async fn crashes_under_a_request_are_counted_over_all_hosts() {
    const TRIES: usize = 12;
    for path in ["/safe/", "/once/", "/resumable/"] {
        let fleet = CrashFleet::start(3, 10).await;
        for number in 0..TRIES {
            let id = format!("r-{number}");
            let host = &fleet.hosts[number % fleet.hosts.len()];
            host.call(Call::post(path, POISON_BODY).id(&id)).await;
            tokio::time::sleep(PAUSE).await;
        }
        assert_that!(
            fleet.arrivals_with_body(POISON_BODY),
            le(MAX_CRASHES),
            "{path}"
        );
        assert_that!(fleet.crashes(), le(MAX_CRASHES), "{path}");
        let call = Call::post(path, b"another").id("other");
        assert_that!(fleet.hosts[0].call(call).await.status, eq(200), "{path}");
    }
}

/// Sends a poison request to one host until it is quarantined.
async fn send_poison_request(fleet: &CrashFleet) {
    for number in 0..2 {
        let call = Call::post("/safe/", POISON_BODY).id(&format!("first-{number}"));
        fleet.hosts[0].call(call).await;
    }
    assert_that!(fleet.crashes(), eq(MAX_CRASHES));
}

/// Repeats the poison request. Returns the status; no endpoint may receive it.
async fn status_of_repeat(fleet: &CrashFleet, host: &TestGateway) -> u16 {
    let before = fleet.arrivals_with_body(POISON_BODY);
    let received = host
        .call(Call::post("/safe/", POISON_BODY).id("again"))
        .await;
    assert_that!(fleet.arrivals_with_body(POISON_BODY), eq(before));
    received.status
}

#[tokio::test]
async fn crashes_quarantine_a_request_with_a_retry_delay() {
    let fleet = CrashFleet::start(1, 6).await;
    send_poison_request(&fleet).await;
    let received = fleet.hosts[0]
        .call(Call::post("/safe/", POISON_BODY).id("again"))
        .await;
    assert_that!(received.status, eq(503));
    assert_that!(received.body, eq(b"poison-request"));
    let come_back_ms: u64 = received
        .header("come-back")
        .and_then(|ms| ms.parse().ok())
        .expect("a time");
    assert_that!(come_back_ms, gt(500_000));
}

/// A host that starts while the store is unavailable learns of crashes from peers.
#[tokio::test]
async fn crashes_are_known_to_a_host_that_starts_later() {
    let fleet = CrashFleet::start(1, 6).await;
    send_poison_request(&fleet).await;
    let seeds = vec![fleet.hosts[0].peer_address()];
    let late = TestGateway::without_store("late", seeds).await;
    late.ready().await;
    assert_that!(status_of_repeat(&fleet, &late).await, eq(503));
}

/// Hosts have no disk: after the loss of all, only the store has the record.
#[tokio::test]
async fn crashes_are_known_after_all_hosts_were_lost() {
    let fleet = CrashFleet::start(2, 6).await;
    send_poison_request(&fleet).await;
    let source = fleet.hosts[0].source.clone();
    until(async || source.poison_rows() == 1).await;
    let next = TestGateway::start(source, "next", Vec::new()).await;
    next.ready().await;
    until(async || status_of_repeat(&fleet, &next).await == 503).await;
}

/// A write to the store that fails is retried.
#[tokio::test]
async fn crashes_are_recorded_once_the_store_is_back() {
    let fleet = CrashFleet::start(1, 6).await;
    let source = fleet.hosts[0].source.clone();
    source.set_unavailable(true);
    send_poison_request(&fleet).await;
    assert_that!(source.poison_rows(), eq(0));
    source.set_unavailable(false);
    until(async || source.poison_rows() == 1).await;
}

/// Requests without a body have the same fingerprint, so some run during every crash.
/// They must not be rejected after they have completed elsewhere.
#[tokio::test]
async fn crashes_quarantine_no_request_that_completed() {
    const CRASHES: usize = 4;
    let fleet = CrashFleet::start(2, 12).await;
    let host = &fleet.hosts[0];
    let call = Call::get("/safe/").id("before");
    assert_that!(host.call(call).await.status, eq(200));
    for number in 0..CRASHES {
        let body = [POISON_BODY, &[number as u8]].concat();
        let crash = host.call(Call::post("/once/", &body).id("ends"));
        let concurrent = (0..20).map(|i| {
            let call = Call::get("/safe/").id(&format!("beside-{number}-{i}"));
            host.call(call)
        });
        tokio::join!(crash, futures::future::join_all(concurrent));
    }
    assert_that!(fleet.crashes(), eq(CRASHES));
    for host in &fleet.hosts {
        let call = Call::get("/safe/").id("after");
        assert_that!(host.call(call).await.status, eq(200));
    }
}

/// A connection reset by a running endpoint is not a crash.
#[tokio::test]
async fn crashes_exclude_resets_by_running_endpoints() {
    let gateway = TestGateway::with_endpoints(3, Behaviour::Reset).await;
    for number in 0..4 {
        let call = Call::post("/safe/", b"x").id(&format!("r-{number}"));
        assert_that!(gateway.call(call).await.status, eq(502));
    }
    gateway
        .endpoints
        .iter()
        .for_each(|endpoint| endpoint.set_behaviour(Behaviour::Answer));
    let received = gateway.call(Call::post("/safe/", b"x").id("after")).await;
    assert_that!(received.status, eq(200));
}

/// Copies of a poison request that are queued at endpoints must not crash these after
/// the request is quarantined.
#[tokio::test]
async fn crashes_recall_copies_that_are_still_queued() {
    const COPIES: usize = 6;
    const STEP: Duration = Duration::from_millis(200);
    let source = TestSource::default();
    source.set_rules(rules(1));
    let mut endpoints = Vec::new();
    for i in 0..COPIES {
        let name = format!("endpoint-{i}");
        let queue_delay = STEP * i as u32;
        endpoints.push(CrashingEndpoint::start_queueing(&name, source.clone(), queue_delay).await);
    }
    let hosts = start_hosts(&source, 1).await;
    let fleet = CrashFleet { hosts, endpoints };
    let copies = (0..COPIES).map(|i| {
        let call = Call::post("/once/", POISON_BODY).id(&format!("copy-{i}"));
        fleet.hosts[0].call(call)
    });
    let received = futures::future::join_all(copies).await;
    assert_that!(fleet.arrivals_with_body(POISON_BODY), eq(COPIES));
    // Each endpoint would have run its copy by now.
    tokio::time::sleep(STEP * COPIES as u32).await;
    assert_that!(fleet.crashes(), eq(MAX_CRASHES));
    // Some copies ran, so none may be reported as not run.
    assert_that!(
        received.iter().all(|received| received.status == 502),
        eq(true)
    );
}

/// An endpoint that restarts under its name is used again once its new entry is listed,
/// and its crashes are counted by start.
#[tokio::test]
async fn crashes_of_an_endpoint_that_keeps_its_name_leave_it_in_use() {
    const RESTARTS: usize = 5;
    let source = TestSource::default();
    source.set_rules(rules(1));
    let endpoint = CrashingEndpoint::start_keeping_name("endpoint-0", source.clone()).await;
    let hosts = start_hosts(&source, 2).await;
    let serves = async |host: &TestGateway| {
        let call = Call::post("/safe/", b"x").id("serves");
        host.call(call).await.status == 200
    };
    for number in 0..RESTARTS {
        until(async || serves(&hosts[0]).await && serves(&hosts[1]).await).await;
        source.set_unavailable(number % 2 == 1);
        let body = [POISON_BODY, &[number as u8]].concat();
        let call = Call::post("/once/", &body).id(&format!("ends-{number}"));
        hosts[number % 2].call(call).await;
        assert_that!(endpoint.crashes(), eq(number + 1));
        tokio::time::sleep(Duration::from_millis(300)).await;
        source.set_unavailable(false);
    }
    until(async || serves(&hosts[0]).await && serves(&hosts[1]).await).await;
    for number in 0..RESTARTS {
        until(async || serves(&hosts[0]).await).await;
        let call = Call::post("/once/", POISON_BODY).id(&format!("again-{number}"));
        hosts[0].call(call).await;
    }
    assert_that!(endpoint.arrivals_with_body(POISON_BODY), eq(MAX_CRASHES));
}

/// In a large fleet, crashes seen in two zones are counted together through relays.
#[tokio::test]
async fn crashes_are_counted_over_the_zones_of_a_large_fleet() {
    const LOCAL_HOSTS: usize = 28;
    const REMOTE_HOSTS: usize = 14;
    const PROPAGATION_TIMEOUT: Duration = Duration::from_secs(3);
    let source = TestSource::default();
    source.set_rules(rules(1));
    let mut endpoints = Vec::new();
    for i in 0..6 {
        let name = format!("endpoint-{i}");
        endpoints.push(CrashingEndpoint::start(&name, source.clone()).await);
    }
    let mut hosts = Vec::new();
    for i in 0..LOCAL_HOSTS + REMOTE_HOSTS {
        let zone = if i < LOCAL_HOSTS { "zone-a" } else { "zone-b" };
        let host = format!("host-{i}");
        hosts.push(TestGateway::in_zone(zone, source.clone(), &host, Vec::new()).await);
    }
    for host in &hosts {
        host.ready().await;
    }
    until(async || hosts_with(&hosts, "goes_by_relay_sums", 1.0).await >= LOCAL_HOSTS - 2).await;
    for (number, host) in [3, 20, LOCAL_HOSTS + 5].into_iter().enumerate() {
        let call = Call::post("/once/", POISON_BODY).id(&format!("r-{number}"));
        assert_that!(hosts[host].call(call).await.status, eq(502));
    }
    let propagated =
        until(async || hosts_with(&hosts, "poison_requests", 1.0).await == hosts.len());
    let in_time = tokio::time::timeout(PROPAGATION_TIMEOUT, propagated).await;
    assert_that!(in_time.is_ok(), eq(true));
}
