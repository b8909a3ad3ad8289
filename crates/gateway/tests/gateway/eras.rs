//! A store that comes back from a copy: what was written since is gone, and versions are
//! given out again.
//!
//! Hosts believed whatever had the higher version. After such a return all that the
//! store said counted for old until its numbers had passed those from before, and an
//! endpoint that said it leaves went on getting requests for as long.

use std::time::Duration;

use crate::support::{
    Behaviour, Call, Script, ScriptedEndpoint, TestGateway, TestSource, metric_value, rules, until,
};
use googletest::prelude::*;

/// Two hosts before two endpoints, and a copy of their store from before the second
/// endpoint entered the list.
struct EraFleet {
    source: TestSource,
    hosts: Vec<TestGateway>,
    endpoints: Vec<ScriptedEndpoint>,
}

impl EraFleet {
    async fn start() -> Self {
        let source = TestSource::default();
        source.set_rules(rules(1));
        let mut endpoints = Vec::new();
        for name in ["endpoint-0", "endpoint-1"] {
            let script = Script::default();
            let endpoint = ScriptedEndpoint::start(name, "pool", Behaviour::Answer, script).await;
            source.list(endpoint.endpoint.clone());
            endpoints.push(endpoint);
        }
        let first = TestGateway::start(source.clone(), "host-1", Vec::new()).await;
        first.ready().await;
        // The second never hears the store: it goes by what the first tells it.
        let second = TestGateway::without_store("host-2", vec![first.peer_address()]).await;
        second.ready().await;
        Self {
            source,
            hosts: vec![first, second],
            endpoints,
        }
    }

    async fn live(&self, count: usize) {
        for host in &self.hosts {
            until(async || metric_value(host, "endpoints_live").await == count as f64).await;
        }
    }

    /// Requests of ten at each host that reach an endpoint.
    async fn reach(&self, endpoint: usize, name: &str) -> usize {
        let before = self.endpoints[endpoint].arrivals();
        for (at, host) in self.hosts.iter().enumerate() {
            for number in 0..10 {
                let id = format!("{name}-{at}-{number}");
                let answer = host.call(Call::get("/safe/").id(&id)).await;
                assert_that!(answer.status, eq(200), "{id}");
            }
        }
        self.endpoints[endpoint].arrivals() - before
    }
}

#[tokio::test]
async fn endpoint_that_leaves_after_the_return_gets_nothing_more() {
    let fleet = EraFleet::start().await;
    fleet.live(2).await;
    let copy = fleet.source.snapshot();
    // Many versions pass that are given out again.
    for _ in 0..50 {
        fleet.source.list(fleet.endpoints[0].endpoint.clone());
    }
    tokio::time::sleep(Duration::from_millis(500)).await;
    fleet.source.restore(copy);
    fleet.source.list(fleet.endpoints[0].leaving());
    fleet.live(1).await;
    assert_that!(fleet.reach(0, "after").await, eq(0));
}

/// Twice in a row, the second time before all have heard of the first.
#[tokio::test]
async fn hosts_follow_two_returns_in_a_row() {
    let fleet = EraFleet::start().await;
    fleet.live(2).await;
    let copy = fleet.source.snapshot();
    fleet.source.restore(copy);
    let copy = fleet.source.snapshot();
    fleet.source.restore(copy);
    fleet.source.list(fleet.endpoints[1].leaving());
    fleet.live(1).await;
    assert_that!(fleet.reach(1, "after").await, eq(0));
}

/// An endpoint whose entry is missing in the copy writes it again: it serves meanwhile.
#[tokio::test]
async fn endpoint_that_the_copy_lacks_serves_until_it_is_listed_again() {
    let fleet = EraFleet::start().await;
    fleet.live(2).await;
    let copy = fleet.source.snapshot();
    let script = Script::default();
    let late = ScriptedEndpoint::start("endpoint-2", "pool", Behaviour::Answer, script).await;
    fleet.source.list(late.endpoint.clone());
    fleet.live(3).await;
    fleet.source.restore(copy);
    tokio::time::sleep(Duration::from_millis(800)).await;
    for host in &fleet.hosts {
        assert_that!(metric_value(host, "endpoints_live").await, eq(3.0));
    }
    fleet.source.list(late.endpoint.clone());
    // Past the time for which such entries are kept.
    tokio::time::sleep(Duration::from_millis(4_500)).await;
    fleet.live(3).await;
}

/// What operators wrote last holds until they have written it again.
#[tokio::test]
async fn evacuation_that_the_copy_lacks_stays_in_force() {
    let fleet = EraFleet::start().await;
    fleet.live(2).await;
    let copy = fleet.source.snapshot();
    fleet.source.evacuate("zone-a", true);
    fleet.live(0).await;
    fleet.source.restore(copy);
    tokio::time::sleep(Duration::from_millis(800)).await;
    fleet.live(0).await;
    fleet.source.evacuate("zone-a", true);
    fleet.source.evacuate("zone-a", false);
    fleet.live(2).await;
}
