//! The end of a response: a caller's framing must not claim more than the endpoint's did.

use std::time::Duration;

use crate::support::{
    Behaviour, Call, FramedAnswer, Framing, PartitionFleet, Received, TestGateway, event, metric,
    rules, until,
};
use chalkrock_soak::LinkMode;
use googletest::prelude::*;
use tokio::io::AsyncReadExt;

const PATHS: [&str; 4] = ["/safe/", "/unsafe/", "/stream/", "/resumable/"];
const STREAM_PATHS: [&str; 2] = ["/stream/", "/resumable/"];
const CHUNKS: Framing = Framing::Chunks {
    is_terminated: true,
};

fn events(numbers: std::ops::RangeInclusive<u64>) -> Vec<u8> {
    numbers.flat_map(event).collect()
}

/// Returns three events and the beginning of a fourth.
fn cut_events() -> Vec<u8> {
    [&events(0..=2)[..], b"id: 3\ndata: ev"].concat()
}

/// Starts a gateway with two endpoints that answer all requests so.
async fn gateway_with(answer: FramedAnswer) -> TestGateway {
    TestGateway::with_endpoints(2, Behaviour::Framed(answer)).await
}

/// Returns requests of a stream under HTTP/1.1 and HTTP/1.0.
fn stream_calls() -> [Call; 2] {
    let call = Call::post("/stream/", b"x").id("r-1");
    [call.clone(), call.http_1_0()]
}

async fn call(gateway: &TestGateway, path: &str) -> Received {
    gateway.call(Call::post(path, b"x").id("r-1")).await
}

/// Guards against a response that only the close of its connection ends and that callers get
/// with a length or chunks, which claim that it is complete.
#[tokio::test]
async fn close_delimited_responses_stay_close_delimited() {
    let answer = FramedAnswer::closed(Framing::Close, &events(0..=2));
    for path in PATHS {
        let gateway = gateway_with(answer.clone()).await;
        let received = call(&gateway, path).await;
        assert_that!(received.status, eq(200), "{path}");
        assert_that!(received.is_close_delimited, eq(true), "{path}");
        assert_that!(received.header("connection"), some(eq("close")), "{path}");
        assert_that!(received.head, starts_with("HTTP/1.1 200 "), "{path}");
        assert_that!(received.body, eq(&events(0..=2)), "{path}");
        assert_that!(received.is_complete, eq(true), "{path}");
        assert_that!(gateway.run_count("r-1"), eq(1), "{path}");
    }
}

/// Guards against callers of HTTP/1.0 that see a reset behind a whole close-delimited response.
#[tokio::test]
async fn close_delimited_responses_reach_callers_of_http_1_0() {
    let answer = FramedAnswer::closed(Framing::Close, &events(0..=2));
    for path in PATHS {
        let gateway = gateway_with(answer.clone()).await;
        let request = Call::post(path, b"x").id("r-1").http_1_0();
        let received = gateway.call(request).await;
        assert_that!(received.is_close_delimited, eq(true), "{path}");
        assert_that!(received.body, eq(&events(0..=2)), "{path}");
        assert_that!(received.is_complete, eq(true), "{path}");
    }
}

/// Guards against a stream that was closed inside an event and ends as if it were complete.
#[tokio::test]
async fn close_inside_an_event_breaks_the_callers_stream() {
    for framing in [Framing::Close, CHUNKS, Framing::Length(cut_events().len())] {
        for request in stream_calls() {
            let answer = FramedAnswer::closed(framing, &cut_events());
            let gateway = gateway_with(answer).await;
            let case = format!("{framing:?} {request:?}");
            let received = gateway.call(request).await;
            assert_that!(received.status, eq(200), "{case}");
            assert_that!(received.is_complete, eq(false), "{case}");
            assert_that!(gateway.run_count("r-1"), eq(1), "{case}");
        }
    }
}

/// Guards against a break of the endpoint's connection that callers see as an ordinary close.
#[tokio::test]
async fn resets_of_close_delimited_streams_break_the_callers_stream() {
    for request in stream_calls() {
        let gateway = gateway_with(FramedAnswer::reset(Framing::Close, &events(0..=2))).await;
        let case = format!("{request:?}");
        let received = gateway.call(request).await;
        assert_that!(received.status, eq(200), "{case}");
        assert_that!(received.is_complete, eq(false), "{case}");
    }
}

/// Guards against a reset that passes for the end of a response which is read as a whole.
#[tokio::test]
async fn resets_of_close_delimited_calls_are_failures() {
    for (path, status, runs) in [("/safe/", 502, 2), ("/unsafe/", 502, 1)] {
        let gateway = gateway_with(FramedAnswer::reset(Framing::Close, b"abc")).await;
        assert_that!(call(&gateway, path).await.status, eq(status), "{path}");
        assert_that!(gateway.run_count("r-1"), eq(runs), "{path}");
    }
}

/// Guards against a deadline that ends a close-delimited stream as if it were complete.
#[tokio::test]
async fn deadlines_break_close_delimited_streams() {
    for path in STREAM_PATHS {
        let gateway = gateway_with(FramedAnswer::stalled(Framing::Close, &events(0..=2))).await;
        let request = Call::post(path, b"x").id("r-1").header("deadline", "300");
        let received = gateway.call(request).await;
        assert_that!(received.status, eq(200), "{path}");
        assert_that!(received.is_complete, eq(false), "{path}");
    }
}

/// Guards against events that wait for the end of a close-delimited stream.
#[tokio::test]
async fn close_delimited_streams_pass_on_events_as_they_come() {
    for path in STREAM_PATHS {
        let gateway = gateway_with(FramedAnswer::stalled(Framing::Close, &events(0..=2))).await;
        let request = Call::post(path, b"x").id("r-1");
        let mut stream = request.send(gateway.running.front_address()).await;
        let mut bytes = Vec::new();
        while !bytes
            .windows(event(2).len())
            .any(|window| window == event(2))
        {
            let read = stream.read_buf(&mut bytes).await.expect("bytes");
            assert_that!(read, gt(0), "{path}");
        }
    }
}

/// Guards against a resumed stream that ends as complete although its last endpoint only closed
/// the connection, and against byte-order marks between its events.
#[tokio::test]
async fn resumed_streams_end_as_the_weakest_framing_allows() {
    const MARK: &[u8] = b"\xef\xbb\xbf";
    let rest = [MARK, &events(3..=5)].concat();
    for (first, second, is_complete) in [
        (Framing::Close, CHUNKS, true),
        (Framing::Close, Framing::Close, true),
        (CHUNKS, CHUNKS, true),
        (CHUNKS, Framing::Close, false),
    ] {
        let gateway = gateway_with(FramedAnswer::closed(second, &rest)).await;
        let cut = FramedAnswer::closed(first, &cut_events());
        gateway.script.push([Behaviour::Framed(cut)]);
        let received = call(&gateway, "/resumable/").await;
        let case = format!("{first:?} {second:?}");
        assert_that!(received.body, eq(&events(0..=5)), "{case}");
        let is_close_delimited = first == Framing::Close;
        assert_that!(
            received.is_close_delimited,
            eq(is_close_delimited),
            "{case}"
        );
        assert_that!(received.is_complete, eq(is_complete), "{case}");
        assert_that!(gateway.run_count("r-1"), eq(2), "{case}");
    }
}

/// Guards against bytes after the last event, and line ends, that a caller does not get.
#[tokio::test]
async fn streams_keep_all_bytes_up_to_their_end() {
    for body in [
        &b""[..],
        b"\xef\xbb\xbfid: 0\n\n",
        b": heartbeat\n\nid: 0\ndata: a\n\n: heartbeat\n",
        b"id: 0\r\ndata: a\r\n\r\n",
        b"data: without id\r\n\n\n",
        b"id: 0\rdata: a\r\r",
        b"id: 0\ndata: a\n\n\r",
    ] {
        for path in STREAM_PATHS {
            for framing in [Framing::Close, CHUNKS, Framing::Length(body.len())] {
                let gateway = gateway_with(FramedAnswer::closed(framing, body)).await;
                let received = call(&gateway, path).await;
                let case = format!("{path} {framing:?} {}", body.escape_ascii());
                assert_that!(received.status, eq(200), "{case}");
                assert_that!(received.body, eq(body), "{case}");
                assert_that!(received.is_complete, eq(true), "{case}");
                assert_that!(gateway.run_count("r-1"), eq(1), "{case}");
            }
        }
    }
}

/// Guards against responses whose framing is ambiguous, as in response splitting.
#[tokio::test]
async fn ambiguous_framings_are_failures() {
    for framing in [Framing::LengthAndChunks, Framing::TwoLengths] {
        for path in ["/unsafe/", "/stream/"] {
            let gateway = gateway_with(FramedAnswer::closed(framing, &events(0..=2))).await;
            let received = call(&gateway, path).await;
            assert_that!(received.status, eq(502), "{framing:?} {path}");
        }
    }
}

/// Guards against bytes beyond a length that become part of this or another answer.
#[tokio::test]
async fn bytes_beyond_a_length_are_dropped() {
    let body = events(0..=2);
    let answer = FramedAnswer::closed(Framing::Length(event(0).len()), &body);
    for path in PATHS {
        let gateway = gateway_with(answer.clone()).await;
        for id in ["r-1", "r-2"] {
            let received = gateway.call(Call::post(path, b"x").id(id)).await;
            assert_that!(received.status, eq(200), "{path}");
            assert_that!(received.body, eq(&event(0)), "{path}");
            assert_that!(received.is_complete, eq(true), "{path}");
        }
    }
}

/// Guards against a stream closed inside an event that is recorded as a success.
#[tokio::test]
async fn close_inside_an_event_counts_against_the_endpoint() {
    let gateway = gateway_with(FramedAnswer::closed(Framing::Close, &cut_events())).await;
    call(&gateway, "/stream/").await;
    let metrics = gateway.metrics().await;
    let expected = "chalkrock_requests_total{outcome=\"unknown\",reason=\"endpoint-lost\"} 1\n";
    assert_that!(metrics, contains_substring(expected));
}

/// Starts a fleet whose first host reaches the endpoints only through the second one.
async fn forwarding_fleet(answer: FramedAnswer) -> PartitionFleet {
    let fleet = PartitionFleet::start(rules(1), 2, 2).await;
    fleet.set_links(0, LinkMode::Refused);
    until(async || {
        let received = fleet.hosts[0].call(Call::post("/safe/", b"x").id("wait"));
        received.await.status == 200
    })
    .await;
    for endpoint in &fleet.endpoints {
        endpoint.set_behaviour(Behaviour::Framed(answer.clone()));
    }
    fleet
}

/// Guards against an origin that does not learn the endpoint's framing from its next hop.
#[tokio::test]
async fn forwarded_responses_stay_close_delimited() {
    let answer = FramedAnswer::closed(Framing::Close, &events(0..=2));
    let fleet = forwarding_fleet(answer).await;
    for path in PATHS {
        let received = call(&fleet.hosts[0], path).await;
        assert_that!(received.status, eq(200), "{path}");
        assert_that!(received.is_close_delimited, eq(true), "{path}");
        assert_that!(received.body, eq(&events(0..=2)), "{path}");
        assert_that!(received.is_complete, eq(true), "{path}");
    }
}

/// Guards against a next hop that passes a break off as the end of a stream.
#[tokio::test]
async fn forwarded_streams_closed_inside_an_event_are_broken() {
    for framing in [Framing::Close, CHUNKS] {
        let answer = FramedAnswer::closed(framing, &cut_events());
        let fleet = forwarding_fleet(answer).await;
        let received = call(&fleet.hosts[0], "/stream/").await;
        assert_that!(received.status, eq(200), "{framing:?}");
        assert_that!(received.is_complete, eq(false), "{framing:?}");
        let broken = metric(&fleet.hosts[1], "streams_ended_inside_event_total").await;
        assert_that!(broken, eq(1.0), "{framing:?}");
    }
}

/// Guards against closing callers' connections behind responses that have a length.
#[tokio::test]
async fn close_delimited_responses_cost_other_callers_no_connection() {
    let gateway = TestGateway::with_endpoints(2, Behaviour::Answer).await;
    let answer = FramedAnswer::closed(Framing::Close, b"abc");
    gateway.script.push([Behaviour::Framed(answer)]);
    let first = call(&gateway, "/safe/").await;
    assert_that!(first.header("connection"), some(eq("close")));
    let second = call(&gateway, "/safe/").await;
    assert_that!(second.header("connection"), none());
    assert_that!(second.is_close_delimited, eq(false));
}

/// Guards against a stop that ends a close-delimited stream as if it were complete.
#[tokio::test]
async fn stops_break_close_delimited_streams() {
    const MAX_STOP: Duration = Duration::from_secs(5);
    let gateway = gateway_with(FramedAnswer::stalled(Framing::Close, &events(0..=2))).await;
    let request = Call::post("/stream/", b"x").id("r-1");
    let front = gateway.running.front_address();
    let receiving = tokio::spawn(async move { request.exchange(front).await });
    until(async || gateway.run_count("r-1") == 1).await;
    gateway.stop.stop();
    let received = tokio::time::timeout(MAX_STOP, receiving).await;
    let received = received.expect("an end").expect("an answer");
    assert_that!(received.is_complete, eq(false));
}

/// Beginnings of answers that stop inside the head.
const CUT_HEADS: [&str; 9] = [
    "HTTP/1.1 20",
    "HTTP/1.1 200 OK\r\n",
    "HTTP/1.1 200 OK\r\nid: {id}\r\nsigna",
    "HTTP/1.1 200 OK\r\nid: {id}\r\nsignature: s\r\ncontent-length: 1",
    "HTTP/1.1 200 OK\r\nid: {id}\r\nsignature: s\r\ncontent-length: 3\r\n",
    "HTTP/1.1 200 OK\r\nid: {id}\r\nsignature: s\r\ntransfer-encoding: chunked\r\n",
    "HTTP/1.1 200 OK\r\nid: {id}\r\nsignature: s\r\ncontent-length: 0\r\n\r",
    "HTTP/1.1 103 Early Hints\r\nid: {id}\r\n\r\nHTTP/1.1 200 OK\r\nsignature: s\r\n",
    "HTTP/1.1 503 Service Unavailable\r\nid: {id}\r\nnot-run: 1\r\n",
];

/// Checks that a caller gets a failure that promises nothing.
async fn check_cut_head(gateway: &TestGateway, id: &str, path: &str, case: &str) {
    let received = gateway.call(Call::post(path, b"x").id(id)).await;
    assert_that!(received.status, eq(502), "{case}");
}

/// An answer that stops inside its head must not reach callers as a whole one.
#[tokio::test]
async fn cut_heads_are_failures() {
    for head in CUT_HEADS {
        for path in PATHS {
            let case = format!("{path} {head:?}");
            let gateway = TestGateway::with_endpoints(2, Behaviour::Beginning(head)).await;
            check_cut_head(&gateway, "r-1", path, &case).await;
            let runs = if matches!(path, "/safe/" | "/resumable/") {
                2
            } else {
                1
            };
            assert_that!(gateway.run_count("r-1"), eq(runs), "{case}");
        }
    }
}

/// The same on a connection that has carried an answer before.
#[tokio::test]
async fn cut_heads_on_kept_connections_are_failures() {
    for head in CUT_HEADS {
        for path in PATHS {
            let case = format!("{path} {head:?}");
            let gateway = TestGateway::with_endpoints(1, Behaviour::Beginning(head)).await;
            gateway.script.push([Behaviour::Answer]);
            let first = gateway.call(Call::post("/unsafe/", b"x").id("r-0")).await;
            assert_that!(first.status, eq(200), "{case}");
            check_cut_head(&gateway, "r-1", path, &case).await;
            assert_that!(gateway.run_count("r-1"), eq(1), "{case}");
        }
    }
}

/// The same after another endpoint has said that it is not the one asked for.
#[tokio::test]
async fn cut_heads_after_a_421_are_failures() {
    for head in CUT_HEADS {
        for path in PATHS {
            let case = format!("{path} {head:?}");
            let gateway = TestGateway::with_endpoints(3, Behaviour::Beginning(head)).await;
            gateway.script.push([Behaviour::Misdirected]);
            check_cut_head(&gateway, "r-1", path, &case).await;
        }
    }
}

/// The same through a next hop.
#[tokio::test]
async fn cut_heads_behind_a_next_hop_are_failures() {
    let fleet = forwarding_fleet(FramedAnswer::closed(CHUNKS, &events(0..=2))).await;
    for head in CUT_HEADS {
        for endpoint in &fleet.endpoints {
            endpoint.set_behaviour(Behaviour::Beginning(head));
        }
        for path in PATHS {
            let case = format!("{path} {head:?}");
            check_cut_head(&fleet.hosts[0], "r-1", path, &case).await;
        }
    }
}
