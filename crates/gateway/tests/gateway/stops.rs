//! A planned stop must not interrupt running requests.

use std::time::Duration;

use crate::support::{
    Behaviour, Call, FramedAnswer, Framing, Script, ScriptedEndpoint, TestGateway, TestSource,
    metric, receive, rules, until,
};
use googletest::prelude::*;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpSocket, TcpStream};
use tokio::time::Instant;

#[tokio::test]
async fn stop_lets_running_requests_complete() {
    let gateway = TestGateway::with_endpoints(1, Behaviour::AnswerAfter(1_200)).await;
    let address = gateway.running.front_address();
    let running =
        tokio::spawn(async move { Call::get("/safe/").id("r-1").exchange(address).await });
    while gateway.run_count("r-1") == 0 {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    gateway.stop.stop();
    let received = running.await.expect("the caller");
    assert_that!(received.status, eq(200));
    gateway.running.ended().await;
}

#[tokio::test]
async fn stop_fails_readiness_and_closes_connections_at_once() {
    let gateway = TestGateway::with_endpoints(1, Behaviour::Answer).await;
    gateway.stop.stop();
    while gateway.ready_status().await != 503 {
        tokio::task::yield_now().await;
    }
    let received = gateway.call(Call::get("/safe/").id("r-1")).await;
    assert_that!(received.status, eq(200));
    assert_that!(received.header("connection"), some(eq("close")));
}

#[tokio::test]
async fn stop_rejects_late_requests_with_a_retry_delay() {
    let gateway = TestGateway::with_endpoints(1, Behaviour::Answer).await;
    gateway.endpoints[0].set_behaviour(Behaviour::Silent);
    let address = gateway.running.front_address();
    // A running request keeps the host from ending before it rejects.
    let _held = tokio::spawn(async move { Call::get("/safe/").id("held").exchange(address).await });
    gateway.stop.stop();
    loop {
        let call = Call::get("/safe/").id("r-1").header("deadline", "50");
        let received = gateway.call(call).await;
        if received.header("come-back") == Some("10") {
            assert_that!(received.status, eq(503));
            assert_that!(received.header("connection"), some(eq("close")));
            return;
        }
    }
}

#[tokio::test]
async fn stop_closes_idle_connections() {
    let gateway = TestGateway::with_endpoints(1, Behaviour::Answer).await;
    let address = gateway.running.front_address();
    let mut stream = TcpStream::connect(address).await.expect("a connection");
    let call = Call::get("/safe/").id("r-1").bytes();
    stream.write_all(&call).await.expect("a request");
    assert_that!(receive(&mut stream).await.status, eq(200));
    gateway.stop.stop();
    // The host closes the connection without another answer.
    assert_that!(receive(&mut stream).await.status, eq(0));
    gateway.running.ended().await;
}

/// A caller that connects while the host rejects requests must get the rejection and its retry
/// delay, and not a closed connection.
#[tokio::test]
async fn stop_answers_the_first_request_of_a_new_connection() {
    const REQUEST_DELAY: Duration = Duration::from_millis(50);
    let gateway = TestGateway::with_endpoints(1, Behaviour::Answer).await;
    gateway.endpoints[0].set_behaviour(Behaviour::Silent);
    let address = gateway.running.front_address();
    // A running request keeps the host from ending before it rejects.
    let _held = tokio::spawn(async move { Call::get("/safe/").id("held").exchange(address).await });
    gateway.stop.stop();
    loop {
        let call = Call::get("/safe/").id("r-1").header("deadline", "50");
        if gateway.call(call).await.header("come-back") == Some("10") {
            break;
        }
    }
    for number in 0..8 {
        let mut stream = TcpStream::connect(address).await.expect("a connection");
        tokio::time::sleep(REQUEST_DELAY).await;
        let call = Call::get("/safe/").id(&format!("new-{number}")).bytes();
        stream.write_all(&call).await.expect("a request");
        assert_that!(receive(&mut stream).await.status, eq(503), "{number}");
    }
}

/// Bytes of an answer that the systems of both sides do not hold.
const LARGE_BYTES: usize = 7 * 1024 * 1024;
/// Buffer of a caller on an ordinary link.
const CALLER_BUFFER_BYTES: u32 = 64 * 1024;
const LONG_GRACE_MS: u64 = 12_000;
/// When a host without running requests ends.
const UNTIL_IDLE_END: Duration = Duration::from_millis(2_700);

/// Starts an endpoint that gives its whole large answer at once.
async fn large_endpoint() -> ScriptedEndpoint {
    endpoint_with_answer(LARGE_BYTES).await
}

async fn endpoint_with_answer(bytes: usize) -> ScriptedEndpoint {
    let framing = Framing::Length(bytes);
    let answer = FramedAnswer::closed(framing, &vec![b'a'; bytes]);
    let behaviour = Behaviour::Framed(answer);
    ScriptedEndpoint::start("endpoint", "pool", behaviour, Script::default()).await
}

/// Sends a request on a connection that takes few bytes unread.
async fn send_small(gateway: &TestGateway, call: &Call) -> TcpStream {
    let socket = TcpSocket::new_v4().expect("a socket");
    socket
        .set_recv_buffer_size(CALLER_BUFFER_BYTES)
        .expect("a buffer");
    let address = gateway.running.front_address();
    let mut stream = socket.connect(address).await.expect("a connection");
    stream.write_all(&call.bytes()).await.expect("a request");
    stream
}

/// Guards against a stop that ends the process while it writes an answer which its caller still
/// reads: the request has run, and its answer is lost.
#[tokio::test]
async fn stop_waits_until_answers_are_written() {
    let source = TestSource::default();
    source.set_rules(rules(1));
    let endpoint = large_endpoint().await;
    source.list(endpoint.endpoint.clone());
    let gateway = TestGateway::with_grace(source, LONG_GRACE_MS).await;
    gateway.ready().await;
    let call = Call::post("/patient/", b"x").id("r-1");
    let mut caller = send_small(&gateway, &call).await;
    until(async || endpoint.run_count("r-1") > 0).await;
    gateway.stop.stop();
    tokio::time::sleep(UNTIL_IDLE_END).await;
    assert_that!(metric(&gateway, "requests_running").await, eq(1.0));
    let received = receive(&mut caller).await;
    assert_that!(received.status, eq(200));
    assert_that!(received.body.len(), eq(LARGE_BYTES));
    let read_at = Instant::now();
    gateway.running.ended().await;
    assert_that!(read_at.elapsed(), lt(Duration::from_millis(1_000)));
}

/// Guards against a stop that a caller which never reads holds for longer than the grace period.
#[tokio::test]
async fn stop_ends_within_the_grace_period_beside_a_caller_that_never_reads() {
    const GRACE: Duration = Duration::from_millis(4_000);
    let source = TestSource::default();
    source.set_rules(rules(1));
    let endpoint = large_endpoint().await;
    source.list(endpoint.endpoint.clone());
    let gateway = TestGateway::with_grace(source, GRACE.as_millis() as u64).await;
    gateway.ready().await;
    let call = Call::post("/patient/", b"x").id("r-1");
    let _unread = send_small(&gateway, &call).await;
    until(async || endpoint.run_count("r-1") > 0).await;
    gateway.stop.stop();
    let stopped_at = Instant::now();
    gateway.running.ended().await;
    assert_that!(stopped_at.elapsed(), lt(GRACE));
}

/// Guards against a close that resets the connection, and so discards the rest of an answer that
/// the system still delivers, since the caller has sent its next request.
#[tokio::test]
async fn stop_delivers_an_answer_whose_caller_sends_more() {
    /// More than the caller's system holds, and less than that of the host.
    const BYTES: usize = 1024 * 1024;
    /// Time for the request to arrive.
    const REQUEST_TIME: Duration = Duration::from_millis(200);
    let source = TestSource::default();
    source.set_rules(rules(1));
    let endpoint = endpoint_with_answer(BYTES).await;
    source.list(endpoint.endpoint.clone());
    let gateway = TestGateway::with_grace(source, LONG_GRACE_MS).await;
    gateway.ready().await;
    let call = Call::post("/patient/", b"x").id("r-1");
    let mut caller = send_small(&gateway, &call).await;
    until(async || endpoint.run_count("r-1") > 0).await;
    gateway.stop.stop();
    gateway.running.ended().await;
    let next = Call::post("/patient/", b"x").id("r-2");
    caller.write_all(&next.bytes()).await.expect("a request");
    tokio::time::sleep(REQUEST_TIME).await;
    let received = receive(&mut caller).await;
    assert_that!(received.status, eq(200));
    assert_that!(received.body.len(), eq(BYTES));
}
