//! Response headers in which endpoints report that they leave or back off.

use std::time::Duration;

use crate::support::{Behaviour, Call, TestGateway, metric, until};
use chalkrock_core::{Endpoint, Incarnation};
use googletest::prelude::*;
use tokio::time::Instant;

/// Routes and behaviours for each code path of an answer.
const CODE_PATHS: [(&str, Behaviour); 12] = [
    ("/safe/", Behaviour::Answer),
    ("/unsafe/", Behaviour::Answer),
    ("/safe/", Behaviour::Fail),
    ("/unsafe/", Behaviour::FailAs("503 Busy")),
    ("/safe/", Behaviour::Shed),
    ("/once/", Behaviour::Shed),
    ("/safe/", Behaviour::WrongId),
    ("/safe/", Behaviour::Unsigned),
    ("/safe/", Behaviour::ShortBody),
    ("/safe/", Behaviour::Unframed),
    (
        "/stream/",
        Behaviour::Stream {
            last: 2,
            cut_at: None,
        },
    ),
    (
        "/resumable/",
        Behaviour::Stream {
            last: 2,
            cut_at: Some(1),
        },
    ),
];

/// Sends requests until one arrives at an endpoint.
async fn until_arrival(gateway: &TestGateway, path: &str, index: usize) {
    let endpoint = &gateway.endpoints[index];
    while endpoint.arrivals() == 0 {
        gateway.call(Call::post(path, b"x").id("r-1")).await;
    }
}

/// Checks for each code path that an endpoint receives no request after an answer with
/// a header, and that a metric counts it.
async fn assert_report_honoured(line: &str, name: &str) {
    const REQUESTS: usize = 20;
    for (path, behaviour) in CODE_PATHS {
        let gateway = TestGateway::with_endpoints(2, Behaviour::Answer).await;
        let reporting = &gateway.endpoints[0];
        reporting.set_report(line);
        reporting.set_behaviour(behaviour.clone());
        until_arrival(&gateway, path, 0).await;
        for _ in 0..REQUESTS {
            let received = gateway.call(Call::get("/safe/").id("r-2")).await;
            assert_that!(received.status, eq(200), "{behaviour:?} on {path}");
        }
        assert_that!(reporting.arrivals(), eq(1), "{behaviour:?} on {path}");
        assert_that!(metric(&gateway, name).await, eq(1.0));
    }
}

#[tokio::test]
async fn endpoints_that_report_leaving_receive_nothing_on_any_code_path() {
    assert_report_honoured("leaving: 1", "endpoints_leaving").await;
}

/// Hosts that have sent the endpoint nothing learn from a peer that it is leaving. An
/// older entry in the store must not undo this.
#[tokio::test]
async fn endpoints_that_report_leaving_receive_nothing_from_any_host() {
    let first = TestGateway::with_endpoints(2, Behaviour::Answer).await;
    let seeds = vec![first.peer_address()];
    let second = TestGateway::start(first.source.clone(), "host-2", seeds).await;
    second.ready().await;
    let leaving = &first.endpoints[0];
    leaving.set_report("leaving: 1");
    until_arrival(&first, "/safe/", 0).await;
    let is_informed = async || metric(&second, "leaving_heard_from_peers_total").await == 1.0;
    until(is_informed).await;
    let version = metric(&second, "endpoints_version").await;
    first.source.list(leaving.endpoint.clone());
    let has_entry = async || metric(&second, "endpoints_version").await > version;
    until(has_entry).await;
    for _ in 0..20 {
        let received = second.call(Call::get("/safe/").id("r-2")).await;
        assert_that!(received.status, eq(200));
    }
    assert_that!(leaving.arrivals(), eq(1));
    first.source.list(Endpoint {
        incarnation: Incarnation(9),
        ..leaving.endpoint.clone()
    });
    until(async || {
        second.call(Call::get("/safe/").id("r-3")).await;
        leaving.arrivals() > 1
    })
    .await;
}

#[tokio::test]
async fn endpoints_that_back_off_receive_nothing_on_any_code_path() {
    assert_report_honoured("back-off-ms: 60000", "endpoints_backing_off").await;
}

/// While all endpoints back off, callers are rejected at once with the time to retry.
#[tokio::test]
async fn endpoints_that_all_back_off_return_a_retry_delay() {
    const BACKOFF_MS: u64 = 700;
    const REJECTION_TIMEOUT: Duration = Duration::from_millis(200);
    let gateway = TestGateway::with_endpoints(2, Behaviour::Shed).await;
    for endpoint in &gateway.endpoints {
        endpoint.set_report(&format!("back-off-ms: {BACKOFF_MS}"));
    }
    for _ in 0..2 {
        gateway.call(Call::post("/once/", b"x").id("r-1")).await;
    }
    for endpoint in &gateway.endpoints {
        assert_that!(endpoint.arrivals(), eq(1));
        endpoint.set_behaviour(Behaviour::Answer);
        endpoint.clear_report();
    }
    let sent_at = Instant::now();
    let received = gateway.call(Call::post("/once/", b"x").id("r-2")).await;
    assert_that!(sent_at.elapsed(), lt(REJECTION_TIMEOUT));
    assert_that!(received.status, eq(503));
    assert_that!(received.body, eq(b"endpoints-back-off"));
    assert_that!(gateway.run_count("r-2"), eq(0));
    let come_back_ms = received.header("come-back").map(str::parse);
    let come_back_ms: u64 = come_back_ms.expect("a time").expect("a number");
    assert_that!(come_back_ms, le(BACKOFF_MS * 6 / 5 + 300));
    tokio::time::sleep(Duration::from_millis(come_back_ms)).await;
    let received = gateway.call(Call::post("/once/", b"x").id("r-3")).await;
    assert_that!(received.status, eq(200));
}

/// A caller whose single attempt is shed may retry at once if another endpoint has
/// capacity.
#[tokio::test]
async fn endpoints_that_back_off_do_not_delay_retries_at_others() {
    let gateway = TestGateway::with_endpoints(2, Behaviour::Answer).await;
    let busy = &gateway.endpoints[0];
    busy.set_behaviour(Behaviour::Shed);
    busy.set_report("back-off-ms: 60000");
    loop {
        let received = gateway.call(Call::post("/once/", b"x").id("r-1")).await;
        if received.status == 503 {
            assert_that!(received.header("come-back"), some(eq("10")));
            break;
        }
    }
    let received = gateway.call(Call::post("/once/", b"x").id("r-2")).await;
    assert_that!(received.status, eq(200));
}

/// A backoff belongs to one start of an endpoint: a new list entry or a late answer to
/// an earlier request must not end it, a restart must.
#[tokio::test]
async fn endpoints_that_back_off_receive_nothing_until_they_restart() {
    let gateway = TestGateway::with_endpoints(2, Behaviour::Answer).await;
    let busy = &gateway.endpoints[0];
    busy.set_behaviour(Behaviour::AnswerAfter(300));
    let call = async |id: &str| gateway.call(Call::get("/safe/").id(id)).await;
    let earlier = async {
        while busy.arrivals() == 0 {
            call("r-1").await;
        }
    };
    let shed = async {
        until(async || busy.arrivals() > 0).await;
        busy.set_report("back-off-ms: 60000");
        busy.set_behaviour(Behaviour::Shed);
        while busy.arrivals() == 1 {
            call("r-2").await;
        }
        busy.clear_report();
    };
    tokio::join!(earlier, shed);
    let version = metric(&gateway, "endpoints_version").await;
    gateway.source.unlist(&busy.endpoint.name);
    gateway.source.list(busy.endpoint.clone());
    until(async || metric(&gateway, "endpoints_version").await >= version + 2.0).await;
    busy.set_behaviour(Behaviour::Answer);
    for _ in 0..20 {
        assert_that!(call("r-3").await.status, eq(200));
    }
    assert_that!(busy.arrivals(), eq(2));
    gateway.source.list(Endpoint {
        incarnation: Incarnation(9),
        ..busy.endpoint.clone()
    });
    until(async || {
        call("r-4").await;
        busy.arrivals() > 2
    })
    .await;
}

/// A backoff applies to the host that received it, not to its peers.
#[tokio::test]
async fn endpoints_that_back_off_from_one_host_serve_others() {
    let first = TestGateway::with_endpoints(2, Behaviour::Answer).await;
    let seeds = vec![first.peer_address()];
    let second = TestGateway::start(first.source.clone(), "host-2", seeds).await;
    second.ready().await;
    let busy = &first.endpoints[0];
    busy.set_behaviour(Behaviour::Shed);
    busy.set_report("back-off-ms: 60000");
    until_arrival(&first, "/safe/", 0).await;
    busy.set_behaviour(Behaviour::Answer);
    busy.clear_report();
    until(async || {
        second.call(Call::get("/safe/").id("r-2")).await;
        busy.arrivals() > 1
    })
    .await;
    assert_that!(metric(&first, "endpoints_backing_off").await, eq(1.0));
    assert_that!(metric(&second, "endpoints_backing_off").await, eq(0.0));
}

/// Two of six endpoints shed all requests: hosts must not go on sending to them and
/// rejecting requests that the others could serve.
#[tokio::test]
async fn endpoints_that_back_off_leave_the_load_to_others() {
    const ENDPOINTS: usize = 6;
    const BUSY: usize = 2;
    const HOSTS: usize = 2;
    const BACKOFF_MS: u64 = 1_000;
    const DURATION: Duration = Duration::from_millis(2_000);
    /// Per host, busy endpoint and requested backoff.
    const MAX_ARRIVALS: usize = 2 * HOSTS * BUSY * (DURATION.as_millis() as usize).div_ceil(1_000);
    let first = TestGateway::with_endpoints(ENDPOINTS, Behaviour::AnswerAfter(20)).await;
    let seeds = vec![first.peer_address()];
    let second = TestGateway::start(first.source.clone(), "host-2", seeds).await;
    second.ready().await;
    for endpoint in &first.endpoints[..BUSY] {
        endpoint.set_behaviour(Behaviour::Shed);
        endpoint.set_report(&format!("back-off-ms: {BACKOFF_MS}"));
    }
    let ends_at = Instant::now() + DURATION;
    let send_load = async |host: &TestGateway| {
        let address = host.running.front_address();
        let mut answers = Vec::new();
        while Instant::now() < ends_at {
            let path = ["/once/", "/safe/"][answers.len() % 2];
            let call = Call::post(path, b"x").id("r-1");
            answers.push(tokio::spawn(async move { call.exchange(address).await }));
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        let mut rejected = 0;
        for answer in &mut answers {
            rejected += usize::from(answer.await.expect("an answer").status != 200);
        }
        (answers.len(), rejected)
    };
    let (first_counts, second_counts) = tokio::join!(send_load(&first), send_load(&second));
    let sent = first_counts.0 + second_counts.0;
    let rejected = first_counts.1 + second_counts.1;
    let busy = first.endpoints[..BUSY].iter();
    let arrivals: usize = busy.map(|endpoint| endpoint.arrivals()).sum();
    assert_that!(arrivals, le(MAX_ARRIVALS), "{rejected} of {sent} rejected");
    assert_that!(rejected, le(arrivals), "{rejected} of {sent} rejected");
}
