//! Lists of endpoints whose whole read overlaps with changes.

use std::time::Duration;

use crate::support::{
    Behaviour, Script, ScriptedEndpoint, TestGateway, TestSource, metric, rules, until,
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
