//! Unreadable rows in the store.

use std::time::Duration;

use chalkrock_core::Endpoint;

use crate::support::{
    Behaviour, Call, Script, ScriptedEndpoint, TestGateway, TestSource, metric, rules, until,
};
use googletest::prelude::*;

async fn endpoint(name: &str, source: &TestSource) -> ScriptedEndpoint {
    let endpoint =
        ScriptedEndpoint::start(name, "pool", Behaviour::Answer, Script::default()).await;
    source.list(endpoint.endpoint.clone());
    endpoint
}

async fn serves(gateway: &TestGateway) -> bool {
    gateway.call(Call::get("/safe/").id("serves")).await.status == 200
}

#[tokio::test]
async fn rows_that_are_unreadable_do_not_block_a_start() {
    let source = TestSource::default();
    source.set_rules(rules(1));
    source.corrupt_endpoint("foreign");
    let endpoint = endpoint("endpoint-0", &source).await;
    let gateway = TestGateway::start(source.clone(), "host-1", Vec::new()).await;
    gateway.ready().await;
    assert_that!(serves(&gateway).await, eq(true));
    assert_that!(endpoint.arrivals(), eq(1));
    assert_that!(metric(&gateway, "rows_passed_over_total").await, ge(1.0));
}

/// No host uses an endpoint whose row is unreadable, even one that retains lapsed
/// entries, until the row is readable again.
#[tokio::test]
async fn rows_that_become_unreadable_remove_their_endpoint() {
    let source = TestSource::default();
    source.set_rules(rules(1));
    let endpoints = [
        endpoint("endpoint-0", &source).await,
        endpoint("endpoint-1", &source).await,
    ];
    let first = TestGateway::start(source.clone(), "host-1", Vec::new()).await;
    first.ready().await;
    let second = TestGateway::without_store("host-2", vec![first.peer_address()]).await;
    second.ready().await;
    source.corrupt_endpoint("endpoint-0");
    for gateway in [&first, &second] {
        until(async || metric(gateway, "endpoints_live").await == 1.0).await;
    }
    let before = endpoints[0].arrivals();
    for _ in 0..8 {
        assert_that!(serves(&first).await && serves(&second).await, eq(true));
    }
    assert_that!(endpoints[0].arrivals(), eq(before));
    source.list(endpoints[0].endpoint.clone());
    for gateway in [&first, &second] {
        until(async || metric(gateway, "endpoints_live").await == 2.0).await;
    }
}

#[tokio::test]
async fn rows_of_unreadable_rules_leave_the_current_ones_in_force() {
    let source = TestSource::default();
    source.set_rules(rules(1));
    let _endpoint = endpoint("endpoint-0", &source).await;
    let gateway = TestGateway::start(source.clone(), "host-1", Vec::new()).await;
    gateway.ready().await;
    source.corrupt_rules();
    until(async || metric(&gateway, "rows_passed_over_total").await >= 1.0).await;
    assert_that!(serves(&gateway).await, eq(true));
    source.set_rules(rules(2));
    let has_newer_rules = until(async || gateway.has_rules(2).await);
    let has_newer_rules = tokio::time::timeout(Duration::from_secs(5), has_newer_rules).await;
    assert_that!(has_newer_rules.is_ok(), eq(true));
}

/// An entry with numbers that sums can't hold must not stop the list or fail requests.
#[tokio::test]
async fn rows_with_large_numbers_hide_no_other_endpoint() {
    for (slots, cold_left_ms) in [(u32::MAX, 0), (8, u64::MAX)] {
        let source = TestSource::default();
        source.set_rules(rules(1));
        let large = endpoint("endpoint-0", &source).await;
        let gateway = TestGateway::start(source.clone(), "host-1", Vec::new()).await;
        gateway.ready().await;
        let entry = Endpoint {
            slots,
            ..large.endpoint.clone()
        };
        source.list_cold(entry, cold_left_ms);
        let later = endpoint("endpoint-1", &source).await;
        until(async || metric(&gateway, "endpoints_live").await == 2.0).await;
        for _ in 0..8 {
            assert_that!(serves(&gateway).await, eq(true));
        }
        assert_that!(later.arrivals(), ge(1));
    }
}
