//! Large rules and lists over slow links: a transfer that makes progress must not be
//! abandoned and repeated, which fills the links and delays all other transfers.

use std::time::Duration;

use chalkrock_core::{Endpoint, HostState};

use crate::support::{
    Behaviour, Script, ScriptedEndpoint, SlowLink, TestGateway, TestSource, metric, rules,
    rules_with_routes, until,
};
use googletest::prelude::*;
use tokio::time::{sleep, timeout};

/// Number of routes in a large version of the rules.
const ROUTES: usize = 4_200;
/// Longer than any bound of the gateway.
const READY_TIMEOUT: Duration = Duration::from_secs(30);

/// A transfer from the store that takes longer than the call timeout must not be
/// repeated.
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

/// A stalled transfer is abandoned and repeated.
#[tokio::test(start_paused = true)]
async fn large_rules_are_requested_again_after_a_stall() {
    const FIRST_BYTES: usize = 40_000;
    /// Less than a pull may take in all.
    const RETRY_TIMEOUT: Duration = Duration::from_secs(8);
    let first = TestGateway::with_rules(rules_with_routes(1, ROUTES)).await;
    let address = first.peer_address();
    let link = SlowLink::stalling_first_connection(address, 150_000, FIRST_BYTES).await;
    let second = TestGateway::without_store("host-2", vec![link.address()]).await;
    assert_that!(
        timeout(RETRY_TIMEOUT, second.ready()).await.is_ok(),
        eq(true)
    );
    assert_that!(link.large_answers(), eq(2));
}

/// Checks that a host serves two large transfers at a time and refers other hosts to
/// these, so that its link does not carry all transfers.
async fn assert_few_concurrent_uploads(source: TestSource) {
    const MAX_UPLOADS: usize = 2;
    const HOSTS: usize = 8;
    let first = TestGateway::with_max_uploads(source, MAX_UPLOADS).await;
    first.ready().await;
    let address = first.peer_address();
    let link = SlowLink::to(address, 150_000).await;
    let mut others = Vec::new();
    for i in 0..HOSTS {
        let seeds = vec![link.address()];
        others.push(TestGateway::without_store(&format!("host-{i}"), seeds).await);
    }
    for other in &others {
        assert_that!(
            timeout(READY_TIMEOUT, other.ready()).await.is_ok(),
            eq(true)
        );
    }
    assert_that!(link.max_concurrent_large_answers(), le(MAX_UPLOADS));
    assert_that!(link.large_answers(), le(HOSTS - 2));
}

#[tokio::test(start_paused = true)]
async fn large_rules_are_passed_on_to_few_hosts_at_once() {
    let source = TestSource::default();
    source.set_rules(rules_with_routes(1, ROUTES));
    assert_few_concurrent_uploads(source).await;
}

/// Guards against a link that carries a list for hosts which others could have served.
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
    assert_few_concurrent_uploads(source).await;
}

/// A host with the previous version must fetch the changes, not the whole rules.
#[tokio::test]
async fn large_rules_cost_a_host_only_their_changes() {
    const MAX_CHANGE_BYTES: u64 = 4_000;
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
    assert_that!(pulled, lt(3 * MAX_CHANGE_BYTES));
}

async fn pulled_bytes(host: &TestGateway) -> u64 {
    let metrics = host.metrics().await;
    let mut lines = metrics.lines();
    let value = lines.find_map(|line| line.strip_prefix("chalkrock_peer_pulled_bytes_total{} "));
    value.expect("the metric").parse().expect("a number")
}

/// A transfer from a peer that takes longer than the timeout for a silent peer must
/// not be abandoned.
#[tokio::test(start_paused = true)]
async fn large_rules_are_taken_from_a_host_over_a_slow_link() {
    let first = TestGateway::with_rules(rules_with_routes(1, ROUTES)).await;
    let address = first.peer_address();
    let link = SlowLink::to(address, 150_000).await;
    let second = TestGateway::without_store("host-2", vec![link.address()]).await;
    let is_ready = timeout(READY_TIMEOUT, second.ready()).await.is_ok();
    assert_that!(is_ready, eq(true));
}

/// A host that misses many changes of a long list at once must fetch these, not the whole
/// list.
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
    let pulled = async || metric(&second, "peer_pulled_bytes_total").await;
    let list_bytes = pulled().await;
    for i in 0..CHANGES {
        source.list(Endpoint {
            state: HostState::Leaving,
            ..entry(i)
        });
    }
    let remaining = (ENDPOINTS - CHANGES) as f64;
    until(async || metric(&second, "endpoints_live").await == remaining).await;
    until(async || {
        let versions = [&first, &second].map(|host| metric(host, "endpoints_version"));
        let [first, second] = versions;
        first.await == second.await
    })
    .await;
    let change_bytes = pulled().await - list_bytes;
    assert_that!(change_bytes, lt(list_bytes / 2.0), "of {list_bytes}");
}

/// Guards against a host that takes the same changes once for each task that pulls, all of
/// which are due when it has stalled.
#[tokio::test]
async fn changes_during_a_stall_are_pulled_once() {
    const ENDPOINTS: usize = 400;
    const STALL: Duration = Duration::from_millis(1_500);
    let source = TestSource::default();
    source.set_rules(rules(1));
    let some = ScriptedEndpoint::start("some", "pool", Behaviour::Answer, Script::default()).await;
    let entry = |i: usize, state: HostState| Endpoint {
        name: format!("endpoint-{i}").as_str().into(),
        state,
        ..some.endpoint.clone()
    };
    (0..ENDPOINTS).for_each(|i| source.list(entry(i, HostState::Live)));
    let first = TestGateway::start(source.clone(), "host-1", Vec::new()).await;
    first.ready().await;
    let second = TestGateway::without_store("host-2", vec![first.peer_address()]).await;
    second.ready().await;
    let list_bytes = pulled_bytes(&second).await;
    (0..ENDPOINTS).for_each(|i| source.list(entry(i, HostState::Leaving)));
    // The first host has the changes, and the second learns of them at the end of the stall.
    until(async || metric(&first, "endpoints_live").await == 0.0).await;
    std::thread::sleep(STALL);
    until(async || metric(&second, "endpoints_live").await == 0.0).await;
    sleep(STALL).await;
    let change_bytes = pulled_bytes(&second).await - list_bytes;
    assert_that!(change_bytes, lt(2 * list_bytes));
}
