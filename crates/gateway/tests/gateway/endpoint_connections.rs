//! Endpoints that limit their connections and reset any more.

use std::time::Duration;

use crate::support::{
    Behaviour, Call, HeldCalls, Script, ScriptedEndpoint, TestGateway, TestSource, hosts_with,
    metric, rules, until,
};
use chalkrock_core::PoolId;
use chalkrock_routing::{ConnectionLimit, RulesDocument};
use futures::future::join_all;
use googletest::prelude::*;

/// Connections that an endpoint accepts; one host that is alone uses four fifths.
const MAX_CONNECTIONS: u32 = 5;

fn rules_with_limit(max_connections: u32) -> RulesDocument {
    RulesDocument {
        connection_limits: vec![ConnectionLimit {
            pool: PoolId::from("pool"),
            max_connections,
        }],
        ..rules(1)
    }
}

async fn endpoint(
    name: &str,
    script: &Script,
    slots: u32,
    source: &TestSource,
) -> ScriptedEndpoint {
    let behaviour = Behaviour::AnswerAfter(20);
    let endpoint = ScriptedEndpoint::start(name, "pool", behaviour, script.clone()).await;
    let mut row = endpoint.endpoint.clone();
    row.slots = slots;
    source.list(row);
    endpoint
}

async fn start(source: TestSource) -> TestGateway {
    let gateway = TestGateway::start(source, "host-1", Vec::new()).await;
    gateway.ready().await;
    gateway
}

/// Sends calls at once. Returns their statuses.
async fn statuses(gateway: &TestGateway, path: &str, count: usize) -> Vec<u16> {
    let calls = (0..count).map(|i| {
        let call = Call::post(path, b"x").id(&format!("r-{i}"));
        gateway.call(call)
    });
    let answers = join_all(calls).await;
    answers.iter().map(|answer| answer.status).collect()
}

#[tokio::test]
async fn connections_stay_within_the_limit_of_an_endpoint() {
    let source = TestSource::default();
    source.set_rules(rules_with_limit(MAX_CONNECTIONS));
    let endpoint = endpoint("endpoint", &Script::default(), 64, &source).await;
    endpoint.set_max_connections(MAX_CONNECTIONS as usize);
    let gateway = start(source).await;
    let statuses = statuses(&gateway, "/once/", 24).await;
    assert_that!(endpoint.resets(), eq(0));
    assert_that!(statuses, each(any![eq(&200), eq(&503)]));
    let served = statuses.iter().filter(|status| **status == 200).count();
    // Four connections serve a call each at least, and more within the wait of 50 ms.
    assert_that!(served, ge(4));
    assert_that!(endpoint.connections(), le(4));
}

/// With one connection to each endpoint, a call beyond it goes to the other endpoint.
#[tokio::test]
async fn connections_in_use_send_a_call_to_another_endpoint() {
    let source = TestSource::default();
    source.set_rules(rules_with_limit(1));
    let script = Script::default();
    let first = endpoint("endpoint-1", &script, 64, &source).await;
    let second = endpoint("endpoint-2", &script, 64, &source).await;
    let gateway = start(source).await;
    script.push([Behaviour::AnswerAfter(600), Behaviour::AnswerAfter(600)]);
    let long = statuses(&gateway, "/once/", 2);
    let late = async {
        tokio::time::sleep(Duration::from_millis(50)).await;
        gateway.call(Call::post("/once/", b"x").id("late")).await
    };
    let (long, late) = tokio::join!(long, late);
    assert_that!(long, each(eq(&200)));
    assert_that!((first.connections(), second.connections()), eq((1, 1)));
    // Both connections are in use; the call was sent to neither.
    assert_that!(late.status, eq(503));
    assert_that!(first.run_count("late") + second.run_count("late"), eq(0));
}

/// A full endpoint that resets a new connection has not received the call.
#[tokio::test]
async fn connection_that_is_reset_at_once_proves_that_the_call_did_not_run() {
    let source = TestSource::default();
    source.set_rules(rules_with_limit(100));
    let script = Script::default();
    let endpoint = endpoint("endpoint", &script, 1, &source).await;
    endpoint.set_max_connections(1);
    let gateway = start(source).await;
    script.push([Behaviour::AnswerAfter(400)]);
    let address = gateway.running.front_address();
    let first = Call::post("/once/", b"x").id("first");
    let first = tokio::spawn(async move { first.exchange(address).await });
    until(async || endpoint.run_count("first") == 1).await;
    let second = gateway.call(Call::post("/once/", b"x").id("second")).await;
    assert_that!(second.status, eq(503));
    assert_that!(endpoint.run_count("second"), eq(0));
    assert_that!(endpoint.resets(), ge(1));
    assert_that!(first.await.expect("an answer").status, eq(200));
}

/// Idle connections are reused, and do not keep the host from its part of the limit.
#[tokio::test]
async fn connections_are_reused_within_the_limit() {
    let source = TestSource::default();
    source.set_rules(rules_with_limit(MAX_CONNECTIONS));
    let endpoint = endpoint("endpoint", &Script::default(), 64, &source).await;
    endpoint.set_max_connections(MAX_CONNECTIONS as usize);
    let gateway = start(source).await;
    for _ in 0..5 {
        assert_that!(statuses(&gateway, "/once/", 4).await, each(eq(&200)));
    }
    assert_that!(endpoint.connections(), le(4));
}

/// A host without the store has the limit from another host, and each keeps to a part.
#[tokio::test]
async fn connections_of_two_hosts_stay_within_the_limit_together() {
    let source = TestSource::default();
    source.set_rules(rules_with_limit(MAX_CONNECTIONS));
    let endpoint = endpoint("endpoint", &Script::default(), 64, &source).await;
    endpoint.set_max_connections(MAX_CONNECTIONS as usize);
    let first = start(source).await;
    let second = TestGateway::without_store("host-2", vec![first.peer_address()]).await;
    second.ready().await;
    for host in [&first, &second] {
        until(async || metric(host, "peers_heard").await == 1.0).await;
    }
    let (first, second) = tokio::join!(
        statuses(&first, "/once/", 12),
        statuses(&second, "/once/", 12)
    );
    assert_that!(endpoint.resets(), eq(0));
    assert_that!(first, each(any![eq(&200), eq(&503)]));
    assert_that!(second, each(any![eq(&200), eq(&503)]));
    assert_that!(endpoint.connections(), le(4));
}

/// Guards against a limit that outlasts the rules that set it, at a host that gets its rules
/// from another one.
#[tokio::test]
async fn connection_limits_end_with_their_rules_at_all_hosts() {
    const CALLS: usize = 12;
    let source = TestSource::default();
    source.set_rules(rules_with_limit(MAX_CONNECTIONS));
    let _endpoint = endpoint("endpoint", &Script::default(), 64, &source).await;
    let first = start(source.clone()).await;
    assert_that!(statuses(&first, "/once/", 1).await, each(eq(&200)));
    let second = TestGateway::without_store("host-2", vec![first.peer_address()]).await;
    second.ready().await;
    for host in [&first, &second] {
        until(async || metric(host, "peers_heard").await == 1.0).await;
    }
    let limited = statuses(&second, "/once/", CALLS).await;
    assert_that!(limited, contains(eq(&503)));
    source.set_rules(rules(2));
    for host in [&first, &second] {
        until(async || host.has_rules(2).await).await;
        let unlimited = statuses(host, "/once/", CALLS).await;
        assert_that!(unlimited, each(eq(&200)));
    }
}

/// Guards against a host that lacks the limits of its rules for as long as these are in force,
/// since the call that brings the limits got no answer once.
#[tokio::test]
async fn connection_limits_that_got_lost_are_asked_for_again() {
    const CALLS: usize = 12;
    let source = TestSource::default();
    source.set_rules(rules_with_limit(MAX_CONNECTIONS));
    let endpoint = endpoint("endpoint", &Script::default(), 64, &source).await;
    endpoint.set_max_connections(MAX_CONNECTIONS as usize);
    let first = start(source.clone()).await;
    let mut link = HeldCalls::start(first.peer_address()).await;
    let second = TestGateway::without_store("host-2", vec![link.address]).await;
    link.wait_until_held().await;
    second.ready().await;
    assert_that!(statuses(&second, "/once/", 1).await, each(eq(&200)));
    // Passes on the addresses of the two others, whose link carries calls alone.
    let seeds = vec![first.peer_address(), second.peer_address()];
    let between = TestGateway::without_store("host-3", seeds).await;
    between.ready().await;
    let hosts = [first, second, between];
    until(async || hosts_with(&hosts, "peers_heard", 2.0).await == hosts.len()).await;
    let version = metric(&hosts[1], "endpoints_version").await;
    source.list(endpoint.endpoint.clone());
    until(async || metric(&hosts[1], "endpoints_version").await > version).await;
    statuses(&hosts[1], "/once/", CALLS).await;
    assert_that!(endpoint.resets(), eq(0));
}
