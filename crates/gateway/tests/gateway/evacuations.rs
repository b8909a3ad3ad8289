//! Zones that operators empty, and endpoints that come back cold.

use crate::support::{
    Behaviour, Call, Script, ScriptedEndpoint, TestGateway, TestSource, rules, until,
};
use chalkrock_core::{Endpoint, PoolId};
use chalkrock_routing::{PoolRules, RulesDocument};
use googletest::prelude::*;

const ZONE_A: &str = "zone-a";
const ZONE_B: &str = "zone-b";

/// An endpoint in a zone.
async fn endpoint_in(zone: &str, behaviour: Behaviour) -> (ScriptedEndpoint, Endpoint) {
    let name = format!("endpoint-of-{zone}");
    let scripted = ScriptedEndpoint::start(&name, "pool", behaviour, Script::default()).await;
    let endpoint = Endpoint {
        zone: zone.into(),
        ..scripted.endpoint.clone()
    };
    (scripted, endpoint)
}

/// Sends a gateway so many calls, one after the other, and is answered each.
async fn serves(gateway: &TestGateway, calls: usize, name: &str) {
    for i in 0..calls {
        let id = format!("{name}-{i}");
        let answer = gateway.call(Call::get("/safe/").id(&id)).await;
        assert_that!(answer.status, eq(200), "{id}");
    }
}

/// A gateway before one endpoint in each of two zones.
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

    /// How many of ten requests reach each zone.
    async fn spread(&self) -> (usize, usize) {
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

/// Waits until a gateway knows that so many zones are evacuated.
async fn knows_evacuated(gateway: &TestGateway, zones: usize) {
    let line = format!("chalkrock_evacuated_zones{{}} {zones}\n");
    until(async || gateway.metrics().await.contains(&line)).await;
}

#[tokio::test]
async fn zone_that_is_evacuated_gets_nothing_until_it_is_taken_back() {
    let fleet = TwoZones::start().await;
    for _ in 0..2 {
        fleet.gateway.source.evacuate(ZONE_A, true);
        knows_evacuated(&fleet.gateway, 1).await;
        assert_that!(fleet.spread().await, eq((0, 10)));
        fleet.gateway.source.evacuate(ZONE_A, false);
        knows_evacuated(&fleet.gateway, 0).await;
        assert_that!(fleet.spread().await.0, gt(0));
    }
}

#[tokio::test]
async fn zones_that_are_all_evacuated_leave_a_true_refusal_at_once() {
    let fleet = TwoZones::start().await;
    fleet.gateway.source.evacuate(ZONE_A, true);
    fleet.gateway.source.evacuate(ZONE_B, true);
    knows_evacuated(&fleet.gateway, 2).await;
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
async fn zone_that_was_evacuated_before_the_start_gets_nothing() {
    let source = TestSource::default();
    source.evacuate(ZONE_A, true);
    source.set_rules(rules(1));
    let (a, entry_a) = endpoint_in(ZONE_A, Behaviour::Answer).await;
    let (_b, entry_b) = endpoint_in(ZONE_B, Behaviour::Answer).await;
    source.list(entry_a);
    source.list(entry_b);
    let first = TestGateway::start(source, "host-1", Vec::new()).await;
    first.ready().await;
    // It learns all from the first, and its platform never answers it.
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
async fn request_that_runs_when_its_zone_is_evacuated_goes_on_to_its_end() {
    let source = TestSource::default();
    source.set_rules(rules(1));
    let (a, entry) = endpoint_in(ZONE_A, Behaviour::AnswerAfter(300)).await;
    source.list(entry);
    let gateway = TestGateway::start(source, "host-1", Vec::new()).await;
    gateway.ready().await;
    let call = gateway.call(Call::post("/patient/", b"body").id("r-1"));
    let evacuated = async {
        until(async || a.arrivals() == 1).await;
        gateway.source.evacuate(ZONE_A, true);
        knows_evacuated(&gateway, 1).await;
    };
    let (answer, ()) = tokio::join!(call, evacuated);
    assert_that!(answer.status, eq(200));
}

#[tokio::test]
async fn peers_pass_on_evacuations_and_that_they_end() {
    let source = TestSource::default();
    source.set_rules(rules(1));
    let first = TestGateway::start(source, "host-1", Vec::new()).await;
    first.ready().await;
    let second = TestGateway::without_store("host-2", vec![first.peer_address()]).await;
    second.ready().await;
    for is_evacuated in [true, false, true] {
        first.source.evacuate(ZONE_A, is_evacuated);
        knows_evacuated(&second, usize::from(is_evacuated)).await;
    }
}

/// The rules of all tests, where a cold endpoint bears a request in 1,000 s.
fn rules_of_cold_pool() -> RulesDocument {
    RulesDocument {
        pools: vec![PoolRules {
            name: PoolId::from("pool"),
            cold_start_ms: 60_000,
            cold_per_1000_s: 1,
        }],
        ..rules(1)
    }
}

/// Sends calls until one reaches an endpoint.
async fn until_reached(gateway: &TestGateway, endpoint: &ScriptedEndpoint) {
    until(async || {
        let answer = gateway.call(Call::get("/safe/").id("until")).await;
        answer.status == 200 && endpoint.arrivals() == 1
    })
    .await;
}

/// Once its own start is long enough ago, a host sends a cold endpoint its share,
/// here one request, and all others to one that is warm.
#[tokio::test]
async fn endpoint_that_is_cold_gets_its_share() {
    let source = TestSource::default();
    source.set_rules(rules_of_cold_pool());
    let (cold, entry_a) = endpoint_in(ZONE_A, Behaviour::Answer).await;
    let (_warm, entry_b) = endpoint_in(ZONE_B, Behaviour::Answer).await;
    source.list_cold(entry_a, 60_000);
    source.list(entry_b);
    let gateway = TestGateway::with_cold_bound(source, "host-1", Vec::new()).await;
    gateway.ready().await;
    until_reached(&gateway, &cold).await;
    serves(&gateway, 20, "s").await;
    assert_that!(cold.arrivals(), eq(1));
}

/// An endpoint may have turned cold while its zone was evacuated, and its entry
/// may tell so late.
#[tokio::test]
async fn zone_that_is_taken_back_counts_as_cold() {
    let source = TestSource::default();
    source.set_rules(rules_of_cold_pool());
    let (a, entry_a) = endpoint_in(ZONE_A, Behaviour::Answer).await;
    let (_b, entry_b) = endpoint_in(ZONE_B, Behaviour::Answer).await;
    source.list(entry_a);
    source.list(entry_b);
    source.evacuate(ZONE_A, true);
    let gateway = TestGateway::with_cold_bound(source, "host-1", Vec::new()).await;
    gateway.ready().await;
    knows_evacuated(&gateway, 1).await;
    gateway.source.evacuate(ZONE_A, false);
    knows_evacuated(&gateway, 0).await;
    serves(&gateway, 20, "r").await;
    assert_that!(a.arrivals(), le(1));
}

/// How long an endpoint stays cold passes from host to host as what is left of
/// it.
#[tokio::test]
async fn peers_pass_on_that_an_endpoint_is_cold() {
    let source = TestSource::default();
    source.set_rules(rules_of_cold_pool());
    let (cold, entry_a) = endpoint_in(ZONE_A, Behaviour::Answer).await;
    let (_warm, entry_b) = endpoint_in(ZONE_B, Behaviour::Answer).await;
    source.list_cold(entry_a, 60_000);
    source.list(entry_b);
    let first = TestGateway::with_cold_bound(source, "host-1", Vec::new()).await;
    first.ready().await;
    let silent = TestSource::default();
    silent.set_unavailable(true);
    let seeds = vec![first.peer_address()];
    let second = TestGateway::with_cold_bound(silent, "host-2", seeds).await;
    second.ready().await;
    serves(&second, 20, "r").await;
    assert_that!(cold.arrivals(), le(1));
}

/// Endpoints of a zone that restarted are listed by their old names for some
/// time: each is tried once by a host, and not by each request.
#[tokio::test]
async fn endpoint_that_is_another_is_tried_once() {
    let gateway = TestGateway::with_endpoints(4, Behaviour::Answer).await;
    let others = [
        Behaviour::Misdirected,
        Behaviour::Misdirected,
        Behaviour::Misdirected,
    ];
    gateway.script.push(others);
    serves(&gateway, 10, "r").await;
    let arrivals = gateway.endpoints.iter().map(ScriptedEndpoint::arrivals);
    assert_that!(arrivals.sum::<usize>(), eq(13));
    let left = gateway.endpoints.iter().filter(|e| e.arrivals() > 1);
    assert_that!(left.count(), eq(1));
}

/// A host hears from others that an endpoint is gone for good.
#[tokio::test]
async fn peers_pass_on_that_an_endpoint_is_another() {
    let source = TestSource::default();
    source.set_rules(rules(1));
    let (gone, entry_a) = endpoint_in(ZONE_A, Behaviour::Misdirected).await;
    let (_there, entry_b) = endpoint_in(ZONE_B, Behaviour::Answer).await;
    source.list(entry_a);
    source.list(entry_b);
    let first = TestGateway::start(source, "host-1", Vec::new()).await;
    first.ready().await;
    let second = TestGateway::without_store("host-2", vec![first.peer_address()]).await;
    second.ready().await;
    until(async || {
        first.call(Call::get("/safe/").id("r-1")).await;
        gone.arrivals() == 1
    })
    .await;
    let heard = "chalkrock_leaving_heard_from_peers_total{} 1\n";
    until(async || second.metrics().await.contains(heard)).await;
    serves(&second, 10, "s").await;
    assert_that!(gone.arrivals(), eq(1));
}
