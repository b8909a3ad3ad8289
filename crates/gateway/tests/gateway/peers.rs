//! Hosts tell each other what the platform can't.

use std::time::Duration;

use crate::support::{Behaviour, Call, Script, ScriptedEndpoint, TestGateway, TestSource, rules};
use googletest::prelude::*;

const PAUSE: Duration = Duration::from_millis(5);

/// Two hosts with platforms of their own, so that one may be cut off alone.
async fn two_hosts() -> (TestGateway, TestGateway) {
    let source = TestSource::default();
    source.set_rules(rules(1));
    let first = TestGateway::with(source, "host-1", Vec::new()).await;
    first.ready().await;
    let seed = first.running.peer_address().expect("it hears others");
    let cut_off = TestSource::default();
    cut_off.set_down(true);
    let second = TestGateway::with(cut_off, "host-2", vec![seed]).await;
    (first, second)
}

async fn until(mut holds: impl AsyncFnMut() -> bool) {
    while !holds().await {
        tokio::time::sleep(PAUSE).await;
    }
}

#[tokio::test]
async fn peers_start_a_host_that_the_platform_does_not_answer() {
    let (first, second) = two_hosts().await;
    let endpoint =
        ScriptedEndpoint::start("endpoint-0", "pool", Behaviour::Answer, Script::default()).await;
    first.source.list(endpoint.endpoint.clone());
    second.ready().await;
    until(async || second.call(Call::get("/safe/").id("r-1")).await.status == 200).await;
}

#[tokio::test]
async fn peers_pass_on_new_rules() {
    let (first, second) = two_hosts().await;
    second.ready().await;
    let mut newer = rules(2);
    newer.routes.retain(|route| &*route.name != "safe");
    first.source.set_rules(newer);
    until(async || second.call(Call::get("/safe/").id("r-1")).await.status == 404).await;
}

#[tokio::test]
async fn peers_pass_on_that_an_endpoint_leaves() {
    let (first, second) = two_hosts().await;
    let mut endpoints = Vec::new();
    for name in ["endpoint-0", "endpoint-1"] {
        let usual = Behaviour::Answer;
        let endpoint = ScriptedEndpoint::start(name, "pool", usual, Script::default()).await;
        first.source.list(endpoint.endpoint.clone());
        endpoints.push(endpoint);
    }
    second.ready().await;
    until(async || second.call(Call::get("/safe/").id("r-1")).await.status == 200).await;
    first.source.list(endpoints[0].leaving());
    // Ten requests in a row that all go to the other one: it is known.
    let mut to_other = 0;
    let mut number = 0;
    while to_other < 30 {
        number += 1;
        let id = format!("n-{number}");
        second.call(Call::get("/safe/").id(&id)).await;
        to_other = if endpoints[1].runs_of(&id) == 1 {
            to_other + 1
        } else {
            0
        };
        tokio::time::sleep(PAUSE).await;
    }
    assert_that!(to_other, eq(30));
}

#[tokio::test]
async fn peers_count_each_others_requests() {
    let (first, second) = two_hosts().await;
    let mut endpoints = Vec::new();
    for name in ["endpoint-0", "endpoint-1"] {
        let usual = Behaviour::AnswerAfter(2_000);
        let endpoint = ScriptedEndpoint::start(name, "pool", usual, Script::default()).await;
        first.source.list(endpoint.endpoint.clone());
        endpoints.push(endpoint);
    }
    second.ready().await;
    let running: usize = 6;
    until(async || first.metrics().await.contains("chalkrock_peers_heard{} 1")).await;
    until(async || {
        second
            .metrics()
            .await
            .contains("chalkrock_endpoints_version{} 3")
    })
    .await;
    // Six requests through the first host, three on each endpoint.
    for i in 0..running {
        let address = first.running.front_address();
        let id = format!("r-{i}");
        tokio::spawn(async move { Call::get("/safe/").id(&id).to(address).await });
    }
    let arrived = || endpoints.iter().map(|e| e.seen().len()).sum::<usize>();
    until(async || arrived() == running).await;
    let on_each: Vec<usize> = endpoints.iter().map(|e| e.seen().len()).collect();
    assert_that!(on_each, each(eq(&3)));
}
