//! A planned stop must not interrupt running requests.

use std::time::Duration;

use crate::support::{Behaviour, Call, TestGateway, receive};
use googletest::prelude::*;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

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
