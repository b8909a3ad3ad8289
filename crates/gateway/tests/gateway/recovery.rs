//! What a host that starts takes from one that runs.

use std::time::Duration;

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
