//! A planned stop must not interrupt running requests.

use crate::support::{Behaviour, Call, TestGateway, receive};
use googletest::prelude::*;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

#[tokio::test]
async fn stop_lets_what_runs_end() {
    let gateway = TestGateway::with_endpoints(1, Behaviour::AnswerAfter(1_200)).await;
    let address = gateway.running.front_address();
    let running =
        tokio::spawn(async move { Call::get("/safe/").id("r-1").exchange(address).await });
    while gateway.run_count("r-1") == 0 {
        tokio::time::sleep(std::time::Duration::from_millis(1)).await;
    }
    gateway.stop.stop();
    let received = running.await.expect("the caller");
    assert_that!(received.status, eq(200));
    gateway.running.ended().await;
}

#[tokio::test]
async fn stop_is_told_at_once_to_the_entry_and_to_callers() {
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
async fn stop_refuses_late_requests_and_sends_callers_elsewhere() {
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
async fn stop_closes_connections_that_rest() {
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
