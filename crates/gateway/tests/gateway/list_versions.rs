//! Hosts with the same version of the list that list different endpoints.

use std::time::Duration;

use crate::support::{
    Behaviour, Script, ScriptedEndpoint, TestGateway, TestSource, listed_builds, metric, rules,
    until,
};
use chalkrock_core::Endpoint;
use googletest::prelude::*;

/// Time for changes to reach all hosts.
const SETTLING_TIME: Duration = Duration::from_millis(2_500);

async fn endpoint(name: &str) -> ScriptedEndpoint {
    ScriptedEndpoint::start(name, "pool", Behaviour::Answer, Script::default()).await
}

/// Guards against an endpoint that stays listed at hosts that pull, since it was removed while
/// no host followed the store.
#[tokio::test]
async fn lists_lose_an_endpoint_that_was_removed_between_two_readers() {
    let source = TestSource::default();
    source.set_rules(rules(1));
    let [leaving, staying, late] = [
        endpoint("endpoint-0").await,
        endpoint("endpoint-1").await,
        endpoint("endpoint-2").await,
    ];
    source.list(leaving.endpoint.clone());
    source.list(staying.endpoint.clone());
    let first = TestGateway::killable(source.another_handle(), "host-1", Vec::new()).await;
    first.ready().await;
    let seeds = vec![first.peer_address()];
    let pulling = TestGateway::without_store("host-pulling", seeds).await;
    pulling.ready().await;
    until(async || metric(&pulling, "endpoints_live").await == 2.0).await;
    drop(first);
    source.unlist(&leaving.endpoint.name);
    let seeds = vec![pulling.peer_address()];
    let reading = TestGateway::start(source.another_handle(), "host-reading", seeds).await;
    reading.ready().await;
    until(async || metric(&reading, "endpoints_live").await == 1.0).await;
    tokio::time::sleep(SETTLING_TIME).await;
    source.list(late.endpoint.clone());
    for host in [&reading, &pulling] {
        until(async || metric(host, "endpoints_version").await == 5.0).await;
    }
    tokio::time::sleep(SETTLING_TIME).await;
    assert_that!(
        listed_builds(&pulling).await,
        eq(&listed_builds(&reading).await)
    );
}

/// Guards against removals that a whole read shows and that other hosts learn of too late.
#[tokio::test]
async fn lists_lose_endpoints_in_time_after_another_host_began_to_read() {
    /// Time that hosts have to stop sending to an endpoint.
    const DRAIN_TIME: Duration = Duration::from_millis(2_000);
    let source = TestSource::default();
    source.set_rules(rules(1));
    let mut endpoints = Vec::new();
    for number in 0..4 {
        endpoints.push(endpoint(&format!("endpoint-{number}")).await);
        source.list(endpoints[number].endpoint.clone());
    }
    let all = endpoints.len() as f64;
    let first = TestGateway::killable(source.another_handle(), "host-1", Vec::new()).await;
    first.ready().await;
    let seeds = vec![first.peer_address()];
    let handle = source.another_handle();
    handle.isolate();
    let second = TestGateway::start(handle.clone(), "host-2", seeds.clone()).await;
    second.ready().await;
    let seeds = vec![seeds[0], second.peer_address()];
    let pulling = TestGateway::without_store("host-pulling", seeds).await;
    pulling.ready().await;
    for host in [&second, &pulling] {
        until(async || metric(host, "endpoints_live").await == all).await;
    }
    drop(first);
    let (leaving, staying) = endpoints.split_at(2);
    for endpoint in leaving {
        source.unlist(&endpoint.endpoint.name);
    }
    handle.rejoin();
    let left = staying.len() as f64;
    until(async || metric(&second, "endpoints_live").await == left).await;
    let is_current = until(async || metric(&pulling, "endpoints_live").await == left);
    let is_current = tokio::time::timeout(DRAIN_TIME, is_current).await;
    assert_that!(is_current, ok(anything()));
}

/// Guards against a row of the store that is skipped since another host sent a wrong one as of
/// its version.
#[tokio::test]
async fn list_of_a_reader_takes_the_row_of_the_store_over_one_of_another_host() {
    let stores = [TestSource::default(), TestSource::default()];
    let staying = endpoint("endpoint-0").await;
    let late = endpoint("endpoint-1").await;
    for store in &stores {
        store.set_rules(rules(1));
        store.list(staying.endpoint.clone());
    }
    let [right, wrong] = &stores;
    let first = TestGateway::start(wrong.clone(), "host-wrong", Vec::new()).await;
    first.ready().await;
    let seeds = vec![first.peer_address()];
    let reading = TestGateway::start(right.clone(), "host-reading", seeds).await;
    reading.ready().await;
    // Until both follow the changes of their stores.
    tokio::time::sleep(SETTLING_TIME).await;
    let built = |build: &str| Endpoint {
        build: build.into(),
        ..late.endpoint.clone()
    };
    wrong.list(built("v1"));
    until(async || metric(&reading, "endpoints_version").await == 3.0).await;
    right.list(built("v2"));
    tokio::time::sleep(SETTLING_TIME).await;
    let listed = listed_builds(&reading).await;
    assert_that!(listed.get("endpoint-1").map(String::as_str), some(eq("v2")));
}
