//! Requests from callers: which are accepted, rejected and forwarded unchanged.

use std::time::Duration;

use crate::support::{
    Behaviour, Call, Script, ScriptedEndpoint, TestGateway, TestSource, receive, rules, until,
};
use chalkrock_routing::{CallerLimits, RulesVersion};
use googletest::prelude::*;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

const RETRY_INTERVAL: Duration = Duration::from_millis(5);

async fn send_raw(gateway: &TestGateway, bytes: &[u8]) -> crate::support::Received {
    let address = gateway.running.front_address();
    let mut stream = TcpStream::connect(address).await.expect("a connection");
    stream.write_all(bytes).await.expect("a request");
    receive(&mut stream).await
}

#[tokio::test]
async fn call_reaches_the_endpoint_unchanged() {
    let gateway = TestGateway::with_endpoints(1, Behaviour::Answer).await;
    let body = vec![b'x'; 100_000];
    let call = Call::post("/unsafe/a%20b/c?q=1&r=%2F", &body)
        .id("r-1")
        .header("kept", "as it is")
        .header("deadline", "900");
    let received = gateway.call(call).await;
    assert_that!(received.status, eq(200));
    let seen = gateway.endpoints[0].requests();
    let line = seen[0].head.lines().next();
    assert_that!(line, some(eq("POST /unsafe/a%20b/c?q=1&r=%2F HTTP/1.1")));
    assert_that!(seen[0].body, eq(&body));
    assert_that!(seen[0].header("kept"), some(eq("as it is")));
    assert_that!(seen[0].header("endpoint"), some(eq("endpoint-0")));
    assert_that!(seen[0].header("organisation"), some(eq("dispatch")));
    assert_that!(seen[0].header("key"), none());
    let deadline_ms = seen[0]
        .header("deadline")
        .and_then(|ms| ms.parse::<u64>().ok());
    assert_that!(deadline_ms, some(le(900)));
}

#[tokio::test]
async fn call_with_a_body_in_chunks_arrives_whole() {
    let gateway = TestGateway::with_endpoints(1, Behaviour::Answer).await;
    let request = b"POST /unsafe/ HTTP/1.1\r\nhost: a.example\r\nid: r-1\r\nkey: key-1\r\n\
        transfer-encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n";
    let received = send_raw(&gateway, request).await;
    assert_that!(received.status, eq(200));
    assert_that!(gateway.endpoints[0].requests()[0].body, eq(b"abcde"));
}

#[tokio::test]
async fn call_without_a_matching_rule_is_rejected() {
    let gateway = TestGateway::with_endpoints(1, Behaviour::Answer).await;
    let cases = [
        ("unknown path", Call::get("/nowhere/"), 404),
        (
            "unknown host",
            Call::get("/safe/").header("host", "c.example"),
            404,
        ),
        (
            "unknown key",
            Call::get("/safe/").header("key", "key-9"),
            401,
        ),
        ("no key", Call::get("/safe/").header("key", ""), 401),
    ];
    for (name, call, status) in cases {
        let received = gateway.call(call.id("r-1")).await;
        assert_that!(received.status, eq(status), "{name}");
        assert_that!(received.header("id"), some(eq("r-1")), "{name}");
    }
    assert_that!(gateway.run_count("r-1"), eq(0));
}

#[tokio::test]
async fn call_is_rejected_while_no_rules_are_known() {
    let gateway = TestGateway::start(TestSource::default(), "host-1", Vec::new()).await;
    let received = gateway.call(Call::get("/safe/").id("r-1")).await;
    assert_that!(received.status, eq(503));
    assert_that!(received.header("come-back"), some(anything()));
    assert_that!(gateway.ready_status().await, eq(503));
}

/// Waiting for the rules costs a caller less time than a rejection and a retry.
#[tokio::test]
async fn call_waits_for_a_starting_host() {
    let source = TestSource::default();
    source.set_rules(rules(1));
    source.set_answer_delay_ms(100);
    let endpoint =
        ScriptedEndpoint::start("endpoint-0", "pool", Behaviour::Answer, Script::default()).await;
    source.list(endpoint.endpoint.clone());
    let gateway = TestGateway::start(source, "host-1", Vec::new()).await;
    assert_that!(gateway.ready_status().await, eq(503));
    let received = gateway.call(Call::get("/safe/").id("r-1")).await;
    assert_that!(received.status, eq(200));
}

#[tokio::test]
async fn call_to_an_empty_pool_is_rejected() {
    let gateway = TestGateway::with_endpoints(0, Behaviour::Answer).await;
    let received = gateway.call(Call::get("/safe/").id("r-1")).await;
    assert_that!(received.status, eq(503));
}

#[tokio::test]
async fn call_ends_at_its_deadline() {
    let gateway = TestGateway::with_endpoints(1, Behaviour::Silent).await;
    let call = Call::post("/once/", b"x")
        .id("r-1")
        .header("deadline", "200");
    assert_that!(gateway.call(call).await.status, eq(504));
}

#[tokio::test]
async fn call_with_invalid_bytes_is_never_forwarded() {
    let gateway = TestGateway::with_endpoints(1, Behaviour::Answer).await;
    let long_header = format!(
        "GET /safe/ HTTP/1.1\r\nhost: a.example\r\nid: r-1\r\nkey: key-1\r\nx: {}\r\n\r\n",
        "y".repeat(200_000)
    );
    let cases: [(&str, &[u8], &[u16]); 7] = [
        ("no protocol", b"hello\r\n\r\n", &[400]),
        ("binary", b"\x00\x01\x02\x03\r\n\r\n", &[400]),
        ("long head", long_header.as_bytes(), &[0, 431]),
        (
            "two lengths",
            b"POST /unsafe/ HTTP/1.1\r\nhost: a.example\r\nid: r-1\r\nkey: key-1\r\n\
              content-length: 3\r\ncontent-length: 5\r\n\r\nabcde",
            &[400],
        ),
        (
            "no number",
            b"POST /unsafe/ HTTP/1.1\r\nhost: a.example\r\nid: r-1\r\nkey: key-1\r\n\
              content-length: x\r\n\r\nabc",
            &[400],
        ),
        (
            "bad chunk",
            b"POST /unsafe/ HTTP/1.1\r\nhost: a.example\r\nid: r-1\r\nkey: key-1\r\n\
              transfer-encoding: chunked\r\n\r\nzz\r\nabc\r\n",
            &[0, 400],
        ),
        (
            "huge body",
            b"POST /unsafe/ HTTP/1.1\r\nhost: a.example\r\nid: r-1\r\nkey: key-1\r\n\
              content-length: 99999999999\r\n\r\nabc",
            &[413],
        ),
    ];
    for (name, bytes, statuses) in cases {
        let received = send_raw(&gateway, bytes).await;
        assert_that!(
            statuses.contains(&received.status),
            eq(true),
            "{name}: {received:?}"
        );
    }
    assert_that!(gateway.endpoints[0].requests(), is_empty());
    let received = gateway.call(Call::get("/safe/").id("r-2")).await;
    assert_that!(received.status, eq(200));
}

#[tokio::test]
async fn call_with_length_and_chunks_is_not_smuggled() {
    let gateway = TestGateway::with_endpoints(1, Behaviour::Answer).await;
    let request = b"POST /unsafe/ HTTP/1.1\r\nhost: a.example\r\nid: r-1\r\nkey: key-1\r\n\
        content-length: 4\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n\
        GET /safe/ HTTP/1.1\r\nhost: a.example\r\nid: r-2\r\nkey: key-1\r\n\r\n";
    send_raw(&gateway, request).await;
    for seen in gateway.endpoints[0].requests() {
        assert_that!(seen.header("content-length"), any![none(), some(eq("0"))]);
        assert_that!(seen.header("transfer-encoding"), none());
    }
}

#[tokio::test]
async fn call_over_the_body_limit_is_rejected() {
    let source = TestSource::default();
    let mut small = rules(1);
    small.limits = CallerLimits {
        body_max_bytes: 10,
        ..CallerLimits::default()
    };
    source.set_rules(small);
    let gateway = TestGateway::start(source, "host-1", Vec::new()).await;
    gateway.ready().await;
    let large = Call::post("/unsafe/", b"eleven byte").id("r-1");
    assert_that!(gateway.call(large).await.status, eq(413));
    let chunked = b"POST /unsafe/ HTTP/1.1\r\nhost: a.example\r\nid: r-1\r\nkey: key-1\r\n\
        transfer-encoding: chunked\r\n\r\nb\r\neleven byte\r\n0\r\n\r\n";
    assert_that!(send_raw(&gateway, chunked).await.status, eq(413));
}

#[tokio::test]
async fn rules_come_into_force_and_never_revert() {
    let gateway = TestGateway::with_endpoints(1, Behaviour::Answer).await;
    let mut newer = rules(5);
    newer.routes.retain(|route| &*route.name != "safe");
    gateway.source.set_rules(newer);
    while gateway.call(Call::get("/safe/").id("r")).await.status != 404 {
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
    gateway.source.set_rules(rules(4));
    until(async || gateway.source.are_rules_fetched()).await;
    assert_that!(
        gateway.call(Call::get("/safe/").id("r")).await.status,
        eq(404)
    );
    let mut newest = rules(6);
    newest.routes.retain(|route| &*route.name != "once");
    newest.routes.retain(|route| &*route.name != "safe");
    gateway.source.set_rules(newest);
    while gateway
        .call(Call::post("/once/", b"x").id("r"))
        .await
        .status
        != 404
    {
        assert_that!(
            gateway.call(Call::get("/safe/").id("r")).await.status,
            eq(404)
        );
    }
    let metrics = gateway.metrics().await;
    let version = RulesVersion(6).0;
    assert_that!(
        metrics,
        contains_substring(format!("chalkrock_rules_version{{}} {version}"))
    );
}

#[tokio::test]
async fn endpoint_that_is_leaving_receives_no_requests() {
    let gateway = TestGateway::with_endpoints(2, Behaviour::Answer).await;
    let leaving = &gateway.endpoints[0];
    gateway.source.list(leaving.leaving());
    let is_known = async || {
        let metrics = gateway.metrics().await;
        let version = metrics
            .lines()
            .find(|l| l.starts_with("chalkrock_endpoints_version"));
        version.is_some_and(|line| line.ends_with(" 4"))
    };
    while !is_known().await {
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
    let before = leaving.requests().len();
    for i in 0..40 {
        gateway
            .call(Call::get("/safe/").id(&format!("r-{i}")))
            .await;
    }
    assert_that!(leaving.requests().len(), eq(before));
}

#[tokio::test]
async fn endpoint_that_is_unlisted_receives_no_requests_until_listed_again() {
    let gateway = TestGateway::with_endpoints(1, Behaviour::Answer).await;
    let endpoint = &gateway.endpoints[0];
    gateway.source.unlist(&endpoint.endpoint.name);
    while gateway.call(Call::get("/safe/").id("r-1")).await.status != 503 {
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
    gateway.source.list(endpoint.endpoint.clone());
    while gateway.call(Call::get("/safe/").id("r-2")).await.status != 200 {
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
}

/// The head timeout applies to a slow head, not to the idle time between requests.
#[tokio::test]
async fn call_with_a_slow_head_loses_its_connection() {
    let gateway = TestGateway::with_endpoints(1, Behaviour::Answer).await;
    let mut slow = rules(2);
    slow.limits.head_timeout_ms = 100;
    gateway.source.set_rules(slow);
    until(async || {
        gateway
            .metrics()
            .await
            .contains("chalkrock_rules_version{} 2")
    })
    .await;
    let address = gateway.running.front_address();
    let mut stream = TcpStream::connect(address).await.expect("a connection");
    let call = Call::get("/safe/").id("r-1").bytes();
    stream.write_all(&call).await.expect("a request");
    assert_that!(receive(&mut stream).await.status, eq(200));
    let idle_time = Duration::from_millis(300);
    tokio::time::sleep(idle_time).await;
    stream
        .write_all(&call)
        .await
        .expect("a request after idle time");
    assert_that!(receive(&mut stream).await.status, eq(200));
    stream
        .write_all(&call[..20])
        .await
        .expect("a part of a head");
    assert_that!(receive(&mut stream).await.status, eq(0));
    let metrics = gateway.metrics().await;
    assert_that!(
        metrics,
        contains_substring("chalkrock_slow_heads_total{} 1")
    );
}

/// The host must not run out of memory: it holds bodies until their requests end.
#[tokio::test]
async fn call_with_a_body_over_the_memory_limit_is_rejected() {
    const MAX_BODY_BYTES: usize = 1024 * 1024;
    const LARGE_BYTES: usize = 400 * 1024;
    let source = TestSource::default();
    source.set_rules(rules(1));
    let endpoint =
        ScriptedEndpoint::start("endpoint-0", "pool", Behaviour::Silent, Script::default()).await;
    source.list(endpoint.endpoint.clone());
    let gateway = TestGateway::with_max_body_bytes(source, MAX_BODY_BYTES).await;
    gateway.ready().await;
    let address = gateway.running.front_address();
    let large = |id: &str| Call::post("/patient/", &vec![b'x'; LARGE_BYTES]).id(id);
    let wait_for_arrival = async |id: &str| until(async || endpoint.run_count(id) == 1).await;
    let held = [
        large("r-1").send(address).await,
        large("r-2").send(address).await,
    ];
    wait_for_arrival("r-1").await;
    wait_for_arrival("r-2").await;
    let excess = Call::post("/unsafe/", &vec![b'x'; LARGE_BYTES]).id("r-3");
    let rejected = gateway.call(excess).await;
    assert_that!(rejected.status, eq(503));
    assert_that!(endpoint.run_count("r-3"), eq(0));
    let _small = Call::post("/patient/", b"x").id("r-4").send(address).await;
    wait_for_arrival("r-4").await;
    drop(held);
    until(async || {
        let _sent = large("r-5").send(address).await;
        tokio::time::sleep(RETRY_INTERVAL).await;
        endpoint.run_count("r-5") > 0
    })
    .await;
}

/// An endless body must not be read beyond the limit.
#[tokio::test]
async fn call_with_an_endless_body_is_cut_off() {
    let gateway = TestGateway::with_endpoints(1, Behaviour::Answer).await;
    let address = gateway.running.front_address();
    let mut stream = TcpStream::connect(address).await.expect("a connection");
    let mut head = String::from_utf8(Call::get("/safe/").id("r-1").bytes()).expect("text");
    head.truncate(head.len() - 2);
    head.push_str("transfer-encoding: chunked\r\n\r\n");
    stream.write_all(head.as_bytes()).await.expect("a head");
    let chunk = [b"10000\r\n".as_slice(), &[b'x'; 0x1_0000], b"\r\n"].concat();
    const LIMIT_BYTES: usize = 4 * 1024 * 1024;
    /// Buffer space of the two sockets.
    const IN_FLIGHT_BYTES: usize = 12 * 1024 * 1024;
    let mut written = 0;
    while stream.write_all(&chunk).await.is_ok() {
        written += chunk.len();
        assert_that!(written, le(LIMIT_BYTES + IN_FLIGHT_BYTES));
    }
    assert_that!(gateway.run_count("r-1"), eq(0));
}

#[tokio::test]
async fn call_with_an_endless_head_is_cut_off() {
    let gateway = TestGateway::with_endpoints(1, Behaviour::Answer).await;
    let address = gateway.running.front_address();
    let mut stream = TcpStream::connect(address).await.expect("a connection");
    stream
        .write_all(b"GET /safe/ HTTP/1.1\r\nx: ")
        .await
        .expect("a head");
    const IN_FLIGHT_BYTES: usize = 12 * 1024 * 1024;
    let mut written = 0;
    while stream.write_all(&[b'x'; 0x1_0000]).await.is_ok() {
        written += 0x1_0000;
        assert_that!(written, le(IN_FLIGHT_BYTES));
    }
}

/// Idle connections must not block new callers.
#[tokio::test]
async fn call_near_the_connection_limit_closes_its_connection() {
    let source = TestSource::default();
    source.set_rules(rules(1));
    let endpoint =
        ScriptedEndpoint::start("endpoint", "pool", Behaviour::Answer, Script::default()).await;
    source.list(endpoint.endpoint.clone());
    let gateway = TestGateway::with_max_connections(source, 4).await;
    gateway.ready().await;
    let address = gateway.running.front_address();
    let mut idle = Vec::new();
    for i in 0..10 {
        let call = Call::get("/safe/").id(&format!("r-{i}"));
        let mut stream = call.send(address).await;
        let received = receive(&mut stream).await;
        assert_that!(received.status, eq(200));
        let is_last = received.header("connection") == Some("close");
        // Two of four connections stay free, one of them for the next caller.
        assert_that!(is_last, eq(i >= 1), "connection {i}");
        idle.push(stream);
    }
}

/// An incomplete request must not reach an endpoint.
#[tokio::test]
async fn call_that_is_incomplete_is_never_forwarded() {
    let gateway = TestGateway::with_endpoints(1, Behaviour::Answer).await;
    let address = gateway.running.front_address();
    let whole = Call::post("/unsafe/", b"0123456789").id("r-1").bytes();
    for length in [1, 20, whole.len() - 10, whole.len() - 1] {
        let mut stream = TcpStream::connect(address).await.expect("a connection");
        let part = &whole[..length];
        stream.write_all(part).await.expect("a part of a request");
        stream.shutdown().await.expect("a closed stream");
        let received = receive(&mut stream).await;
        assert_that!(received.status, any![eq(0), eq(400)], "{length}");
    }
    assert_that!(gateway.run_count("r-1"), eq(0));
}
