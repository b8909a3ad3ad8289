//! What a host that starts takes from one that runs.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt, copy};
use tokio::net::{TcpListener, TcpStream};

use crate::support::{
    Behaviour, Call, Script, ScriptedEndpoint, TestGateway, TestSource, metric, rules, until,
};
use googletest::prelude::*;

/// Time for a report of loads to arrive, several intervals.
const REPORT_TIME: Duration = Duration::from_millis(800);

/// Eight requests occupy two slots, so that a ninth could not meet its deadline. A host
/// that starts knows it although it has served none.
#[tokio::test]
async fn host_that_starts_knows_the_service_time_of_a_full_pool() {
    let source = TestSource::default();
    source.set_rules(rules(1));
    let script = Script::default();
    let behaviour = Behaviour::Answer;
    let endpoint = ScriptedEndpoint::start("endpoint", "pool", behaviour, script.clone()).await;
    let mut row = endpoint.endpoint.clone();
    row.slots = 2;
    source.list(row);
    let first = TestGateway::start(source, "host-1", Vec::new()).await;
    first.ready().await;
    let address = first.running.front_address();
    let mut waiting = Vec::new();
    for i in 0..8 {
        script.push([Behaviour::Silent]);
        let id = format!("waits-{i}");
        let call = Call::post("/once/", b"x")
            .id(&id)
            .header("deadline", "60000");
        waiting.push(tokio::spawn(async move { call.exchange(address).await }));
        until(async || endpoint.run_count(&id) == 1).await;
    }
    script.push([Behaviour::AnswerAfter(400)]);
    let measured = first.call(Call::post("/once/", b"x").id("measured")).await;
    assert_that!(measured.status, eq(200));
    let second = TestGateway::without_store("host-2", vec![first.peer_address()]).await;
    second.ready().await;
    until(async || metric(&second, "peers_heard").await == 1.0).await;
    tokio::time::sleep(REPORT_TIME).await;
    let late = second.call(Call::post("/once/", b"x").id("late")).await;
    assert_that!(late.status, eq(503));
    assert_that!(endpoint.run_count("late"), eq(0));
    waiting.iter().for_each(tokio::task::JoinHandle::abort);
}

/// Passes connections on to a host, and only the first two answers on each back.
async fn stalling_proxy(to: SocketAddr) -> SocketAddr {
    const ANSWERS: usize = 2;
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        while let Ok((client, _)) = listener.accept().await {
            let Ok(host) = TcpStream::connect(to).await else {
                return;
            };
            tokio::spawn(async move {
                let (mut from_client, mut to_client) = client.into_split();
                let (mut from_host, mut to_host) = host.into_split();
                tokio::spawn(async move { copy(&mut from_client, &mut to_host).await });
                for _ in 0..ANSWERS {
                    let Ok(length) = from_host.read_u32().await else {
                        return;
                    };
                    let mut frame = vec![0; length as usize];
                    if from_host.read_exact(&mut frame).await.is_err() {
                        return;
                    }
                    let _host_may_have_left = to_client.write_u32(length).await;
                    let _host_may_have_left = to_client.write_all(&frame).await;
                }
                std::future::pending::<()>().await;
            });
        }
    });
    address
}

/// A peer that sends the rules and then stalls: what has arrived is used.
#[tokio::test]
async fn host_that_starts_uses_what_arrived_before_a_peer_stalls() {
    const READY_TIME: Duration = Duration::from_secs(3);
    let source = TestSource::default();
    source.set_rules(rules(1));
    let first = TestGateway::start(source, "host-1", Vec::new()).await;
    first.ready().await;
    let proxy = stalling_proxy(first.peer_address()).await;
    let second = TestGateway::without_store("host-2", vec![proxy]).await;
    let is_ready = tokio::time::timeout(READY_TIME, second.ready()).await;
    assert_that!(is_ready, ok(anything()));
}
