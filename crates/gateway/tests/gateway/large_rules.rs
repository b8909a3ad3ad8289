//! Rules of thousands of routes over slow links, with the clock paused.
//!
//! What users saw: a version with 1,400 routes more than the one before, 4,200
//! in all, was not in force on a host two seconds after its bound, and a third
//! of all answers came late meanwhile. Order of events: a few hosts
//! read the version; the others take it from them, or read it; each gives
//! up after a fixed time, however much has arrived, and begins anew, beside
//! itself even; links fill with transfers that are thrown away, and so the next
//! ones are slower still. Evidence: of 879 attempts to take a version 826 were
//! given up after 541 ms, most before the first byte, and 0.9 GB were read from
//! the platform in 34 s, in place of 0.004 where links are fast; processor time
//! was the same. Cause: how long a transfer may take did not depend on its
//! size, nor on whether it was moving.

use std::time::Duration;

use chalkrock_core::{Endpoint, HostState};

use crate::support::{
    Behaviour, Script, ScriptedEndpoint, SlowLink, TestGateway, TestSource, metric_value, rules,
    rules_with_routes, until,
};
use googletest::prelude::*;
use tokio::time::{sleep, timeout};

/// Routes of a large version.
const ROUTES: usize = 4_200;
/// Longer than any bound, so that what does not come by then never does.
const LONG: Duration = Duration::from_secs(30);

/// A host that reads all: alone on its link, the rules take 1.2 s, longer than
/// three calls that are sent 480 ms after each other are waited for.
#[tokio::test(start_paused = true)]
async fn large_rules_are_read_over_a_slow_link() {
    const BOUND_MS: u64 = 3_000;
    let source = TestSource::default();
    source.set_rules(rules(1));
    source.set_rules_transfer_ms(1_200);
    let host = TestGateway::with_follow_bound(source.clone(), "host-1", Vec::new(), BOUND_MS).await;
    sleep(Duration::from_millis(BOUND_MS)).await;
    assert_that!(host.has_rules(1).await, eq(true));
    assert_that!(source.rules_transfers(), eq(1));
}

/// A connection that falls silent midway is given up, and the host is asked
/// again.
#[tokio::test(start_paused = true)]
async fn large_rules_are_asked_for_again_after_a_silence_midway() {
    const FIRST_BYTES: usize = 40_000;
    /// Less than a pull may take in all.
    const SOON: Duration = Duration::from_secs(8);
    let first = TestGateway::with_rules(rules_with_routes(1, ROUTES)).await;
    let address = first.peer_address();
    let link = SlowLink::stalling_first_connection(address, 150_000, FIRST_BYTES).await;
    let second = TestGateway::without_store("host-2", vec![link.address()]).await;
    assert_that!(timeout(SOON, second.ready()).await.is_ok(), eq(true));
    assert_that!(link.large_answers(), eq(2));
}

/// Eight hosts that start at once take the rules from one that passes them on
/// to two at a time, and names these to the others, so that not all come
/// through its link.
async fn is_passed_on_to_few_hosts_at_once(source: TestSource) {
    const AT_ONCE: usize = 2;
    const HOSTS: usize = 8;
    let first = TestGateway::with_max_uploads(source, AT_ONCE).await;
    first.ready().await;
    let address = first.peer_address();
    let link = SlowLink::to(address, 150_000).await;
    let mut others = Vec::new();
    for i in 0..HOSTS {
        let seeds = vec![link.address()];
        others.push(TestGateway::without_store(&format!("host-{i}"), seeds).await);
    }
    for other in &others {
        assert_that!(timeout(LONG, other.ready()).await.is_ok(), eq(true));
    }
    assert_that!(link.max_concurrent_large_answers(), le(AT_ONCE));
    assert_that!(link.large_answers(), le(HOSTS - 2));
}

#[tokio::test(start_paused = true)]
async fn large_rules_are_passed_on_to_few_hosts_at_once() {
    let source = TestSource::default();
    source.set_rules(rules_with_routes(1, ROUTES));
    is_passed_on_to_few_hosts_at_once(source).await;
}

#[tokio::test(start_paused = true)]
async fn large_list_is_passed_on_to_few_hosts_at_once() {
    const ENDPOINTS: usize = 3_000;
    let source = TestSource::default();
    source.set_rules(rules(1));
    let some = ScriptedEndpoint::start("some", "pool", Behaviour::Answer, Script::default()).await;
    for i in 0..ENDPOINTS {
        let name = format!("endpoint-{i}").as_str().into();
        source.list(Endpoint {
            name,
            ..some.endpoint.clone()
        });
    }
    is_passed_on_to_few_hosts_at_once(source).await;
}

/// A host that has the version before takes what changed, and not the 250 KB of
/// the whole: zones of hosts with links of 10 Mbit/s took 29 MB for a version
/// that changed no route.
#[tokio::test]
async fn large_rules_cost_a_host_what_they_change() {
    const CHANGE_MAX_BYTES: u64 = 4_000;
    let first = TestGateway::with_rules(rules_with_routes(1, ROUTES)).await;
    let seed = first.peer_address();
    let second = TestGateway::without_store("host-2", vec![seed]).await;
    second.ready().await;
    let before = pulled_bytes(&second).await;
    assert_that!(before, gt(100_000));
    for version in 2..=4 {
        first
            .source
            .set_rules(rules_with_routes(version, ROUTES + version as usize));
        until(async || second.has_rules(version).await).await;
    }
    let pulled = pulled_bytes(&second).await - before;
    assert_that!(pulled, lt(3 * CHANGE_MAX_BYTES));
}

async fn pulled_bytes(host: &TestGateway) -> u64 {
    let metrics = host.metrics().await;
    let mut lines = metrics.lines();
    let value = lines.find_map(|line| line.strip_prefix("chalkrock_peer_pulled_bytes_total{} "));
    value.expect("the metric").parse().expect("a number")
}

/// A host that the platform does not answer takes all from one that serves,
/// though that takes two seconds: five times as long as a peer that is silent
/// is waited for.
#[tokio::test(start_paused = true)]
async fn large_rules_are_taken_from_a_host_over_a_slow_link() {
    let first = TestGateway::with_rules(rules_with_routes(1, ROUTES)).await;
    let address = first.peer_address();
    let link = SlowLink::to(address, 150_000).await;
    let second = TestGateway::without_store("host-2", vec![link.address()]).await;
    let is_ready = timeout(LONG, second.ready()).await.is_ok();
    assert_that!(is_ready, eq(true));
}

/// While 192 of 9,999 endpoints left at once, each of 986 hosts took the whole list anew,
/// 487 KB in 0.7 s over its link: hosts kept the last 256 changes, whatever the length of
/// the list, and whoever was behind by more had to take all of it. One host was not told
/// of an endpoint that was leaving for 6.3 s.
#[tokio::test]
async fn many_changes_of_a_long_list_cost_a_host_no_whole_list() {
    const ENDPOINTS: usize = 2_000;
    const CHANGES: usize = 400;
    let source = TestSource::default();
    source.set_rules(rules(1));
    let some = ScriptedEndpoint::start("some", "pool", Behaviour::Answer, Script::default()).await;
    let entry = |i: usize| Endpoint {
        name: format!("endpoint-{i}").as_str().into(),
        ..some.endpoint.clone()
    };
    (0..ENDPOINTS).for_each(|i| source.list(entry(i)));
    let first = TestGateway::start(source.clone(), "host-1", Vec::new()).await;
    first.ready().await;
    let second = TestGateway::without_store("host-2", vec![first.peer_address()]).await;
    second.ready().await;
    let pulled = async || metric_value(&second, "peer_pulled_bytes_total").await;
    let whole_bytes = pulled().await;
    for i in 0..CHANGES {
        source.list(Endpoint {
            state: HostState::Leaving,
            ..entry(i)
        });
    }
    let left = (ENDPOINTS - CHANGES) as f64;
    until(async || metric_value(&second, "endpoints_live").await == left).await;
    until(async || {
        let versions = [&first, &second].map(|host| metric_value(host, "endpoints_version"));
        let [first, second] = versions;
        first.await == second.await
    })
    .await;
    let cost_bytes = pulled().await - whole_bytes;
    assert_that!(cost_bytes, lt(whole_bytes / 2.0), "of {whole_bytes}");
}
