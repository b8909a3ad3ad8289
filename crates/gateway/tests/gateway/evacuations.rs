//! Evacuated zones and cold endpoints.

use crate::support::{
    Behaviour, Call, Script, ScriptedEndpoint, TestGateway, TestSource, rules, until,
};
use chalkrock_core::{Endpoint, PoolId};
use chalkrock_routing::{PoolRules, RulesDocument};
use googletest::prelude::*;

const ZONE_A: &str = "zone-a";
const ZONE_B: &str = "zone-b";

/// Starts an endpoint and returns it with its list entry in a zone.
async fn endpoint_in(zone: &str, behaviour: Behaviour) -> (ScriptedEndpoint, Endpoint) {
    let name = format!("endpoint-of-{zone}");
    let scripted = ScriptedEndpoint::start(&name, "pool", behaviour, Script::default()).await;
    let endpoint = Endpoint {
        zone: zone.into(),
        ..scripted.endpoint.clone()
    };
    (scripted, endpoint)
}

/// Checks that consecutive calls all succeed.
async fn assert_served(gateway: &TestGateway, calls: usize, name: &str) {
    for i in 0..calls {
        let id = format!("{name}-{i}");
        let answer = gateway.call(Call::get("/safe/").id(&id)).await;
        assert_that!(answer.status, eq(200), "{id}");
    }
}

/// A gateway and one endpoint in each of two zones.
struct TwoZones {
    gateway: TestGateway,
    a: ScriptedEndpoint,
    b: ScriptedEndpoint,
}

impl TwoZones {
    async fn start() -> Self {
        let source = TestSource::default();
        source.set_rules(rules(1));
        let (a, entry_a) = endpoint_in(ZONE_A, Behaviour::Answer).await;
        let (b, entry_b) = endpoint_in(ZONE_B, Behaviour::Answer).await;
        source.list(entry_a);
        source.list(entry_b);
        let gateway = TestGateway::start(source, "host-1", Vec::new()).await;
        gateway.ready().await;
        Self { gateway, a, b }
    }

    /// Sends ten requests. Returns how many reach each zone.
    async fn arrivals_by_zone(&self) -> (usize, usize) {
        let before = (self.a.arrivals(), self.b.arrivals());
        for i in 0..10 {
            let answer = self
                .gateway
                .call(Call::get("/safe/").id(&format!("s-{i}")))
                .await;
            assert_that!(answer.status, eq(200));
        }
        (self.a.arrivals() - before.0, self.b.arrivals() - before.1)
    }
}

/// Waits until a gateway reports a number of evacuated zones.
async fn until_evacuated(gateway: &TestGateway, zones: usize) {
    let line = format!("chalkrock_evacuated_zones{{}} {zones}\n");
    until(async || gateway.metrics().await.contains(&line)).await;
}

#[tokio::test]
async fn zone_that_is_evacuated_receives_nothing_until_its_evacuation_ends() {
    let fleet = TwoZones::start().await;
    for _ in 0..2 {
        fleet.gateway.source.evacuate(ZONE_A, true);
        until_evacuated(&fleet.gateway, 1).await;
        assert_that!(fleet.arrivals_by_zone().await, eq((0, 10)));
        fleet.gateway.source.evacuate(ZONE_A, false);
        until_evacuated(&fleet.gateway, 0).await;
        assert_that!(fleet.arrivals_by_zone().await.0, gt(0));
    }
}

#[tokio::test]
async fn zones_that_are_all_evacuated_reject_at_once() {
    let fleet = TwoZones::start().await;
    fleet.gateway.source.evacuate(ZONE_A, true);
    fleet.gateway.source.evacuate(ZONE_B, true);
    until_evacuated(&fleet.gateway, 2).await;
    for path in ["/safe/", "/once/", "/stream/"] {
        let answer = fleet
            .gateway
            .call(Call::post(path, b"body").id("r-1"))
            .await;
        assert_that!(answer.status, eq(503), "{path}");
        assert_that!(answer.header("come-back"), some(anything()), "{path}");
    }
    assert_that!(fleet.a.arrivals() + fleet.b.arrivals(), eq(0));
}

#[tokio::test]
async fn zone_that_was_evacuated_before_the_start_receives_nothing() {
    let source = TestSource::default();
    source.evacuate(ZONE_A, true);
    source.set_rules(rules(1));
    let (a, entry_a) = endpoint_in(ZONE_A, Behaviour::Answer).await;
    let (_b, entry_b) = endpoint_in(ZONE_B, Behaviour::Answer).await;
    source.list(entry_a);
    source.list(entry_b);
    let first = TestGateway::start(source, "host-1", Vec::new()).await;
    first.ready().await;
    // The second host learns everything from the first.
    let second = TestGateway::without_store("host-2", vec![first.peer_address()]).await;
    second.ready().await;
    for gateway in [&first, &second] {
        for i in 0..10 {
            let answer = gateway
                .call(Call::get("/safe/").id(&format!("r-{i}")))
                .await;
            assert_that!(answer.status, eq(200));
        }
    }
    assert_that!(a.arrivals(), eq(0));
}

#[tokio::test]
async fn request_that_runs_when_its_zone_is_evacuated_completes() {
    let source = TestSource::default();
    source.set_rules(rules(1));
    let (a, entry) = endpoint_in(ZONE_A, Behaviour::AnswerAfter(300)).await;
    source.list(entry);
    let gateway = TestGateway::start(source, "host-1", Vec::new()).await;
    gateway.ready().await;
    let call = gateway.call(Call::post("/patient/", b"body").id("r-1"));
    let evacuation = async {
        until(async || a.arrivals() == 1).await;
        gateway.source.evacuate(ZONE_A, true);
        until_evacuated(&gateway, 1).await;
    };
    let (answer, ()) = tokio::join!(call, evacuation);
    assert_that!(answer.status, eq(200));
}

#[tokio::test]
async fn peers_pass_on_evacuations_and_their_end() {
    let source = TestSource::default();
    source.set_rules(rules(1));
    let first = TestGateway::start(source, "host-1", Vec::new()).await;
    first.ready().await;
    let second = TestGateway::without_store("host-2", vec![first.peer_address()]).await;
    second.ready().await;
    for is_evacuated in [true, false, true] {
        first.source.evacuate(ZONE_A, is_evacuated);
        until_evacuated(&second, usize::from(is_evacuated)).await;
    }
}

/// Returns rules under which a cold endpoint sustains one request in 1,000 s.
fn cold_pool_rules() -> RulesDocument {
    RulesDocument {
        pools: vec![PoolRules {
            name: PoolId::from("pool"),
            cold_start_ms: 60_000,
            cold_per_1000_s: 1,
        }],
        ..rules(1)
    }
}

/// Sends calls until one reaches the endpoint.
async fn until_arrival(gateway: &TestGateway, endpoint: &ScriptedEndpoint) {
    until(async || {
        let answer = gateway.call(Call::get("/safe/").id("until")).await;
        answer.status == 200 && endpoint.arrivals() == 1
    })
    .await;
}

/// After its warm-up, a host sends a cold endpoint its share, here one request, and
/// the rest to a warm one.
#[tokio::test]
async fn endpoint_that_is_cold_receives_its_share() {
    let source = TestSource::default();
    source.set_rules(cold_pool_rules());
    let (cold, entry_a) = endpoint_in(ZONE_A, Behaviour::Answer).await;
    let (_warm, entry_b) = endpoint_in(ZONE_B, Behaviour::Answer).await;
    source.list_cold(entry_a, 60_000);
    source.list(entry_b);
    let gateway = TestGateway::with_cold_bound(source, "host-1", Vec::new()).await;
    gateway.ready().await;
    until_arrival(&gateway, &cold).await;
    assert_served(&gateway, 20, "s").await;
    assert_that!(cold.arrivals(), eq(1));
}

/// An endpoint may become cold during the evacuation of its zone, and its entry may
/// report that late.
#[tokio::test]
async fn zone_that_ends_its_evacuation_counts_as_cold() {
    let source = TestSource::default();
    source.set_rules(cold_pool_rules());
    let (a, entry_a) = endpoint_in(ZONE_A, Behaviour::Answer).await;
    let (_b, entry_b) = endpoint_in(ZONE_B, Behaviour::Answer).await;
    source.list(entry_a);
    source.list(entry_b);
    source.evacuate(ZONE_A, true);
    let gateway = TestGateway::with_cold_bound(source, "host-1", Vec::new()).await;
    gateway.ready().await;
    until_evacuated(&gateway, 1).await;
    gateway.source.evacuate(ZONE_A, false);
    until_evacuated(&gateway, 0).await;
    assert_served(&gateway, 20, "r").await;
    assert_that!(a.arrivals(), le(1));
}

/// Peers exchange the remaining time for which an endpoint is cold.
#[tokio::test]
async fn peers_pass_on_that_an_endpoint_is_cold() {
    let source = TestSource::default();
    source.set_rules(cold_pool_rules());
    let (cold, entry_a) = endpoint_in(ZONE_A, Behaviour::Answer).await;
    let (_warm, entry_b) = endpoint_in(ZONE_B, Behaviour::Answer).await;
    source.list_cold(entry_a, 60_000);
    source.list(entry_b);
    let first = TestGateway::with_cold_bound(source, "host-1", Vec::new()).await;
    first.ready().await;
    let unavailable = TestSource::default();
    unavailable.set_unavailable(true);
    let seeds = vec![first.peer_address()];
    let second = TestGateway::with_cold_bound(unavailable, "host-2", seeds).await;
    second.ready().await;
    assert_served(&second, 20, "r").await;
    assert_that!(cold.arrivals(), le(1));
}

/// After a zone restarts, its old entries stay listed for a time. A host must try each
/// just once, not with every request.
#[tokio::test]
async fn endpoint_that_is_replaced_is_tried_once() {
    let gateway = TestGateway::with_endpoints(4, Behaviour::Answer).await;
    let others = [
        Behaviour::Misdirected,
        Behaviour::Misdirected,
        Behaviour::Misdirected,
    ];
    gateway.script.push(others);
    assert_served(&gateway, 10, "r").await;
    let arrivals = gateway.endpoints.iter().map(ScriptedEndpoint::arrivals);
    assert_that!(arrivals.sum::<usize>(), eq(13));
    let left = gateway.endpoints.iter().filter(|e| e.arrivals() > 1);
    assert_that!(left.count(), eq(1));
}

/// A host learns from a peer that an endpoint no longer exists.
#[tokio::test]
async fn peers_pass_on_that_an_endpoint_is_replaced() {
    let source = TestSource::default();
    source.set_rules(rules(1));
    let (replaced, entry_a) = endpoint_in(ZONE_A, Behaviour::Misdirected).await;
    let (_live, entry_b) = endpoint_in(ZONE_B, Behaviour::Answer).await;
    source.list(entry_a);
    source.list(entry_b);
    let first = TestGateway::start(source, "host-1", Vec::new()).await;
    first.ready().await;
    let second = TestGateway::without_store("host-2", vec![first.peer_address()]).await;
    second.ready().await;
    until(async || {
        first.call(Call::get("/safe/").id("r-1")).await;
        replaced.arrivals() == 1
    })
    .await;
    let expected = "chalkrock_leaving_heard_from_peers_total{} 1\n";
    until(async || second.metrics().await.contains(expected)).await;
    assert_served(&second, 10, "s").await;
    assert_that!(replaced.arrivals(), eq(1));
}
