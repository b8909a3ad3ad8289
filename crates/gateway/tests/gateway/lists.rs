//! Lists of endpoints whose whole read overlaps with changes.

use std::time::Duration;

use crate::support::{
    Behaviour, Call, Script, ScriptedEndpoint, TestGateway, TestSource, metric, rules, until,
};
use googletest::prelude::*;

/// Time for hosts to begin a read, shorter than they wait for its answer.
const READ_DELAY: Duration = Duration::from_millis(150);
/// Time for changes to reach all hosts.
const SETTLING_TIME: Duration = Duration::from_millis(1_500);

async fn endpoint(name: &str) -> ScriptedEndpoint {
    ScriptedEndpoint::start(name, "pool", Behaviour::Answer, Script::default()).await
}

async fn live(host: &TestGateway) -> f64 {
    metric(host, "endpoints_live").await
}

/// Guards against a whole read that takes back what other hosts told during it.
#[tokio::test]
async fn lists_of_a_slow_read_take_back_no_change() {
    let source = TestSource::default();
    source.set_rules(rules(1));
    let [staying, leaving, late] = [
        endpoint("endpoint-0").await,
        endpoint("endpoint-1").await,
        endpoint("endpoint-2").await,
    ];
    source.list(staying.endpoint.clone());
    source.list(leaving.endpoint.clone());
    let first = TestGateway::start(source.another_handle(), "host-1", Vec::new()).await;
    first.ready().await;
    let slow = source.another_handle();
    let seeds = vec![first.peer_address()];
    let second = TestGateway::start(slow.clone(), "host-2", seeds).await;
    second.ready().await;
    for host in [&first, &second] {
        until(async || metric(host, "peers_heard").await == 1.0).await;
        until(async || live(host).await == 2.0).await;
    }
    // Until both follow the store's changes.
    tokio::time::sleep(SETTLING_TIME).await;
    slow.hold_reads(false);
    source.drop_history();
    tokio::time::sleep(READ_DELAY).await;
    source.unlist(&leaving.endpoint.name);
    source.list(late.endpoint.clone());
    for host in [&first, &second] {
        until(async || {
            let version = metric(host, "endpoints_version").await;
            version == metric(&first, "endpoints_version").await && version >= 6.0
        })
        .await;
    }
    slow.release_reads();
    tokio::time::sleep(SETTLING_TIME).await;
    for host in [&first, &second] {
        assert_that!(live(host).await, eq(2.0));
        let before = late.arrivals();
        let left_before = leaving.arrivals();
        for number in 0..12 {
            let call = Call::get("/safe/").id(&format!("r-{number}"));
            assert_that!(host.call(call).await.status, eq(200));
        }
        assert_that!(late.arrivals(), gt(before));
        assert_that!(leaving.arrivals(), eq(left_before));
    }
}

/// Guards against a read of several pages that counts as complete up to its newest row.
#[tokio::test]
async fn lists_of_several_pages_miss_no_change() {
    let source = TestSource::default();
    source.set_rules(rules(1));
    let endpoints = [
        endpoint("endpoint-0").await,
        endpoint("endpoint-1").await,
        endpoint("endpoint-2").await,
    ];
    source.list(endpoints[0].endpoint.clone());
    source.list(endpoints[1].endpoint.clone());
    source.hold_reads(true);
    let host = TestGateway::start(source.clone(), "host-1", Vec::new()).await;
    tokio::time::sleep(READ_DELAY).await;
    source.list(endpoints[0].leaving());
    source.list(endpoints[2].endpoint.clone());
    source.release_reads();
    host.ready().await;
    until(async || metric(&host, "endpoints_version").await >= 5.0).await;
    tokio::time::sleep(SETTLING_TIME).await;
    assert_that!(live(&host).await, eq(2.0));
}
