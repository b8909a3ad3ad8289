//! Requests to a pool of engines that is overrun.

use std::time::Duration;

use crate::support::{
    Behaviour, Call, Script, ScriptedEndpoint, TestGateway, TestSource, hosts_with, rules, until,
};
use googletest::prelude::*;
use tokio::net::TcpStream;
use tokio::time::Instant;

/// Streams that keep one and a half times the slots of an endpoint in use.
const STREAMS: usize = 12;
/// Objective of the route.
const OBJECTIVE: Duration = Duration::from_millis(300);
const STALLS: Behaviour = Behaviour::StreamThenStall { last: 3 };

/// A request that says what there is to read.
fn call(id: &str) -> Call {
    Call::post("/stream/", b"x")
        .id(id)
        .header("parts", "7:5000,99:100")
}

/// Opens streams whose requests don't say what there is to read, which are admitted by slots.
async fn open_streams(gateway: &TestGateway, count: usize) -> Vec<TcpStream> {
    let mut streams = Vec::new();
    for i in 0..count {
        let call = Call::post("/stream/", b"x").id(&format!("open-{i}"));
        streams.push(call.send(gateway.running.front_address()).await);
    }
    streams
}

async fn has_line(gateway: &TestGateway, line: &str) -> bool {
    let metrics = gateway.metrics().await;
    metrics.lines().any(|known| known == line)
}

/// Guards against requests that are sent to be late, or held until their deadline.
#[tokio::test]
async fn overrun_pool_rejects_at_once_with_a_time_to_return() {
    let gateway = TestGateway::with_endpoints(1, STALLS).await;
    let _streams = open_streams(&gateway, STREAMS).await;
    until(async || gateway.endpoints[0].arrivals() == STREAMS).await;
    let sent_at = Instant::now();
    let received = gateway.call(call("r-1")).await;
    assert_that!(sent_at.elapsed(), lt(OBJECTIVE));
    assert_that!(received.status, eq(503));
    let after_ms = received.header("come-back").map(|ms| ms.parse::<u64>());
    assert_that!(after_ms, some(ok(ge(&300))));
    assert_that!(gateway.run_count("r-1"), eq(0));
    let rejected = r#"chalkrock_backlog_rejected_total{pool="pool",rank="1"} 1"#;
    assert_that!(has_line(&gateway, rejected).await, eq(true));
    assert_that!(
        has_line(&gateway, r#"chalkrock_pool_overrun{pool="pool"} 1"#).await,
        eq(true)
    );
}

/// Guards against decisions by outstanding work in a pool that is not overrun.
#[tokio::test]
async fn calm_pool_is_admitted_by_slots() {
    let gateway = TestGateway::with_endpoints(2, STALLS).await;
    let _streams = open_streams(&gateway, 4).await;
    until(async || {
        gateway
            .endpoints
            .iter()
            .map(|e| e.arrivals())
            .sum::<usize>()
            == 4
    })
    .await;
    let _stream = call("r-1").send(gateway.running.front_address()).await;
    until(async || gateway.run_count("r-1") == 1).await;
    let metrics = gateway.metrics().await;
    assert_that!(
        metrics,
        not(contains_substring("chalkrock_backlog_sent_total"))
    );
    assert_that!(
        metrics,
        contains_substring(r#"chalkrock_pool_overrun{pool="pool"} 0"#)
    );
}

/// Guards against new requests that push aside one whose endpoint crashed.
#[tokio::test]
async fn request_of_a_crashed_endpoint_is_sent_before_new_ones() {
    let gateway = TestGateway::with_endpoints(2, STALLS).await;
    gateway
        .script
        .push([Behaviour::StreamUntilReset { last: 3 }]);
    let first = Call::post("/resumable/", b"x")
        .id("r-1")
        .header("parts", "7:5000,99:100");
    let _first = first.send(gateway.running.front_address()).await;
    until(async || gateway.run_count("r-1") == 1).await;
    let _streams = open_streams(&gateway, 2 * STREAMS).await;
    let arrivals = || {
        gateway
            .endpoints
            .iter()
            .map(|e| e.arrivals())
            .sum::<usize>()
    };
    until(async || arrivals() == 2 * STREAMS + 1).await;
    assert_that!(gateway.call(call("r-2")).await.status, eq(503));
    for endpoint in &gateway.endpoints {
        endpoint.reset_streams();
    }
    until(async || gateway.run_count("r-1") == 2).await;
}

/// Guards against a host that goes on rejecting by the sums of one that is gone.
#[tokio::test]
async fn overrun_ends_with_the_host_that_reported_it() {
    let whole = Behaviour::Stream {
        last: 3,
        cut_at: None,
    };
    let script = Script::default();
    let endpoint = ScriptedEndpoint::start("endpoint-0", "pool", whole, script.clone()).await;
    script.push(std::iter::repeat_n(STALLS, STREAMS));
    let mut hosts: Vec<TestGateway> = Vec::new();
    for i in 0..2 {
        let source = TestSource::default();
        source.set_rules(rules(1));
        source.list(endpoint.endpoint.clone());
        let seeds = hosts.iter().map(TestGateway::peer_address).collect();
        let host = TestGateway::start(source, &format!("host-{i}"), seeds).await;
        host.ready().await;
        hosts.push(host);
    }
    until(async || hosts_with(&hosts, "peers_heard", 1.0).await == 2).await;
    let other = hosts.pop().expect("two hosts");
    let streams = open_streams(&other, STREAMS).await;
    until(async || endpoint.arrivals() == STREAMS).await;
    let host = &hosts[0];
    until(async || host.call(call("r-1")).await.status == 503).await;
    drop(streams);
    drop(other);
    until(async || host.call(call("r-2")).await.status == 200).await;
}
