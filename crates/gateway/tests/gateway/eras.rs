//! A store that is restored from a snapshot: hosts must not take its updates for old
//! because it reuses version numbers.

use std::time::Duration;

use crate::support::{
    Behaviour, Call, Script, ScriptedEndpoint, TestGateway, TestSource, metric, rules, until,
};
use googletest::prelude::*;

/// Two hosts and two endpoints that share a store.
struct RestoreFleet {
    source: TestSource,
    hosts: Vec<TestGateway>,
    endpoints: Vec<ScriptedEndpoint>,
}

impl RestoreFleet {
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
        // The second host learns everything from the first.
        let second = TestGateway::without_store("host-2", vec![first.peer_address()]).await;
        second.ready().await;
        Self {
            source,
            hosts: vec![first, second],
            endpoints,
        }
    }

    async fn until_live(&self, count: usize) {
        for host in &self.hosts {
            until(async || metric(host, "endpoints_live").await == count as f64).await;
        }
    }

    /// Sends ten requests to each host. Returns how many reach an endpoint.
    async fn arrivals_at(&self, endpoint: usize, name: &str) -> usize {
        let before = self.endpoints[endpoint].arrivals();
        for (i, host) in self.hosts.iter().enumerate() {
            for number in 0..10 {
                let id = format!("{name}-{i}-{number}");
                let answer = host.call(Call::get("/safe/").id(&id)).await;
                assert_that!(answer.status, eq(200), "{id}");
            }
        }
        self.endpoints[endpoint].arrivals() - before
    }
}

#[tokio::test]
async fn endpoint_that_leaves_after_a_restore_receives_nothing() {
    let fleet = RestoreFleet::start().await;
    fleet.until_live(2).await;
    let snapshot = fleet.source.snapshot();
    // Versions that are reused after the restore.
    for _ in 0..50 {
        fleet.source.list(fleet.endpoints[0].endpoint.clone());
    }
    tokio::time::sleep(Duration::from_millis(500)).await;
    fleet.source.restore(snapshot);
    fleet.source.list(fleet.endpoints[0].leaving());
    fleet.until_live(1).await;
    assert_that!(fleet.arrivals_at(0, "after").await, eq(0));
}

/// The second restore comes before all hosts have learned of the first.
#[tokio::test]
async fn hosts_follow_two_restores_in_a_row() {
    let fleet = RestoreFleet::start().await;
    fleet.until_live(2).await;
    let snapshot = fleet.source.snapshot();
    fleet.source.restore(snapshot);
    let snapshot = fleet.source.snapshot();
    fleet.source.restore(snapshot);
    fleet.source.list(fleet.endpoints[1].leaving());
    fleet.until_live(1).await;
    assert_that!(fleet.arrivals_at(1, "after").await, eq(0));
}

/// An endpoint whose entry the snapshot lacks receives requests until it is listed again.
#[tokio::test]
async fn endpoint_that_the_snapshot_lacks_serves_until_it_is_listed_again() {
    let fleet = RestoreFleet::start().await;
    fleet.until_live(2).await;
    let snapshot = fleet.source.snapshot();
    let script = Script::default();
    let late = ScriptedEndpoint::start("endpoint-2", "pool", Behaviour::Answer, script).await;
    fleet.source.list(late.endpoint.clone());
    fleet.until_live(3).await;
    fleet.source.restore(snapshot);
    tokio::time::sleep(Duration::from_millis(800)).await;
    for host in &fleet.hosts {
        assert_that!(metric(host, "endpoints_live").await, eq(3.0));
    }
    fleet.source.list(late.endpoint.clone());
    // Longer than hosts retain such entries.
    tokio::time::sleep(Duration::from_millis(4_500)).await;
    fleet.until_live(3).await;
}

/// A restore must not end an evacuation that the snapshot lacks.
#[tokio::test]
async fn evacuation_that_the_snapshot_lacks_stays_in_force() {
    let fleet = RestoreFleet::start().await;
    fleet.until_live(2).await;
    let snapshot = fleet.source.snapshot();
    fleet.source.evacuate("zone-a", true);
    fleet.until_live(0).await;
    fleet.source.restore(snapshot);
    tokio::time::sleep(Duration::from_millis(800)).await;
    fleet.until_live(0).await;
    fleet.source.evacuate("zone-a", true);
    fleet.source.evacuate("zone-a", false);
    fleet.until_live(2).await;
}
