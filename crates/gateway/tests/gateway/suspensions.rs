//! A host that was suspended must refresh its view before it sends requests, even if the
//! steady clock did not count the suspension.

use std::time::Duration;

use crate::support::{
    Behaviour, Call, Script, ScriptedEndpoint, SuspendableGateway, TestGateway, TestSource, metric,
    rules, until,
};
use chalkrock_core::Endpoint;
use googletest::prelude::*;
use tokio::time::Instant;

/// Time for which a test blocks a host.
const BLOCKED: Duration = Duration::from_millis(400);
/// A stop that the steady clock counts and that is long enough to be detected.
const STOPPED: Duration = Duration::from_millis(1_500);
const SUSPENSIONS: [Duration; 2] = [Duration::from_secs(1), Duration::from_secs(10)];

/// A store subscriber and a host that learns only from it.
struct HostPair {
    source: TestSource,
    subscriber: TestGateway,
    host: SuspendableGateway,
    endpoints: Vec<ScriptedEndpoint>,
}

impl HostPair {
    async fn start() -> Self {
        let source = TestSource::default();
        source.set_rules(rules(1));
        let mut endpoints = Vec::new();
        for name in ["endpoint-0", "endpoint-1"] {
            let behaviour = Behaviour::Answer;
            let mut endpoint =
                ScriptedEndpoint::start(name, "pool", behaviour, Script::default()).await;
            endpoint.endpoint.zone = name.into();
            source.list(endpoint.endpoint.clone());
            endpoints.push(endpoint);
        }
        let subscriber = TestGateway::start(source.clone(), "reader", Vec::new()).await;
        subscriber.ready().await;
        let host = SuspendableGateway::start("host", vec![subscriber.peer_address()]).await;
        until(async || metric(&host.gateway, "endpoints_live").await == 2.0).await;
        until(async || metric(&host.gateway, "peers_heard").await == 1.0).await;
        Self {
            source,
            subscriber,
            host,
            endpoints,
        }
    }

    /// Suspends the host while the store changes and the subscriber learns of it; the
    /// steady clock misses `uncounted`. Returns the status of a request sent meanwhile.
    async fn after_suspension(
        &self,
        blocked: Duration,
        uncounted: Duration,
        change: impl FnOnce(&Self),
    ) -> u16 {
        let version = async || metric(&self.subscriber, "endpoints_version").await;
        let rules = async || metric(&self.subscriber, "rules_version").await;
        let evacuations = async || metric(&self.subscriber, "evacuated_zones").await;
        let before = (version().await, rules().await, evacuations().await);
        self.host.block_for(blocked);
        tokio::time::sleep(Duration::from_millis(20)).await;
        change(self);
        until(async || (version().await, rules().await, evacuations().await) != before).await;
        self.host.add_suspension(uncounted);
        let call = Call::get("/safe/").id("woken");
        self.host.gateway.call(call).await.status
    }

    async fn call(&self) -> u16 {
        let call = Call::get("/safe/").id("next");
        self.host.gateway.call(call).await.status
    }
}

/// Suspensions: the real time, and the time that the steady clock does not count.
fn suspensions() -> Vec<(Duration, Duration)> {
    let suspensions = SUSPENSIONS.into_iter().map(|length| (BLOCKED, length));
    suspensions.chain([(STOPPED, Duration::ZERO)]).collect()
}

#[tokio::test]
async fn suspension_refreshes_rules_before_requests() {
    for (blocked, uncounted) in suspensions() {
        let pair = HostPair::start().await;
        let mut newer = rules(2);
        newer.routes.retain(|route| &*route.name != "safe");
        let change = |pair: &HostPair| pair.source.set_rules(newer);
        let status = pair.after_suspension(blocked, uncounted, change).await;
        assert_that!(status, eq(404), "{uncounted:?}");
        assert_that!(metric(&pair.host.gateway, "pauses_total").await, ge(1.0));
    }
}

#[tokio::test]
async fn suspension_refreshes_the_endpoint_list_before_requests() {
    type Change = fn(&HostPair);
    let changes: [(&str, Change); 4] = [
        ("leaves", |pair| {
            pair.source.list(pair.endpoints[0].leaving())
        }),
        ("zone evacuated", |pair| {
            let zone = pair.endpoints[0].endpoint.zone.clone();
            pair.source.evacuate(zone.as_str(), true);
        }),
        ("gone", |pair| {
            pair.source.unlist(&pair.endpoints[0].endpoint.name);
        }),
        ("its address given to another pool", |pair| {
            let endpoint = &pair.endpoints[0].endpoint;
            pair.source.unlist(&endpoint.name);
            pair.source.list(Endpoint {
                name: "another".into(),
                pool: "another-pool".into(),
                ..endpoint.clone()
            });
        }),
    ];
    for (blocked, uncounted) in suspensions() {
        for (case, change) in changes {
            let pair = HostPair::start().await;
            let before = pair.endpoints[0].arrivals();
            let status = pair.after_suspension(blocked, uncounted, change).await;
            assert_that!(status, eq(200), "{case}, {uncounted:?}");
            for _ in 0..6 {
                assert_that!(pair.call().await, eq(200), "{case}, {uncounted:?}");
            }
            let arrived = pair.endpoints[0].arrivals();
            assert_that!(arrived, eq(before), "{case}, {uncounted:?}");
        }
    }
}

/// A host must not take its own suspension for an outage of the store, in which it would
/// retain removed endpoints.
#[tokio::test]
async fn suspension_of_a_host_is_not_an_outage_of_the_store() {
    for (blocked, uncounted) in [
        (BLOCKED, SUSPENSIONS[1]),
        (Duration::from_secs(4), Duration::ZERO),
    ] {
        let pair = HostPair::start().await;
        pair.host.block_for(blocked);
        tokio::time::sleep(Duration::from_millis(20)).await;
        pair.host.add_suspension(uncounted);
        assert_that!(pair.call().await, eq(200));
        // Until the host learns of a store answer after the suspension.
        tokio::time::sleep(Duration::from_millis(400)).await;
        pair.source.unlist(&pair.endpoints[0].endpoint.name);
        let version = async |gateway| metric(gateway, "endpoints_version").await;
        until(async || version(&pair.subscriber).await == 4.0).await;
        until(async || version(&pair.host.gateway).await == 4.0).await;
        let live = metric(&pair.host.gateway, "endpoints_live").await;
        assert_that!(live, eq(1.0), "{uncounted:?}");
    }
}

/// The deadline of a waiting request goes on while its host is suspended.
#[tokio::test]
async fn suspension_counts_towards_deadlines() {
    let pair = HostPair::start().await;
    pair.endpoints
        .iter()
        .for_each(|endpoint| endpoint.set_behaviour(Behaviour::Silent));
    let address = pair.host.gateway.running.front_address();
    let call = Call::get("/unsafe/").id("waits").header("deadline", "2900");
    let waiting = tokio::spawn(async move {
        let status = call.exchange(address).await.status;
        (status, Instant::now())
    });
    until(async || {
        pair.endpoints
            .iter()
            .any(|endpoint| endpoint.arrivals() > 0)
    })
    .await;
    pair.host.block_for(BLOCKED);
    pair.host.add_suspension(SUSPENSIONS[1]);
    let suspended_at = Instant::now();
    let (status, ended_at) = waiting.await.expect("an answer");
    assert_that!(status, eq(504));
    assert_that!(
        ended_at - suspended_at,
        lt(BLOCKED + Duration::from_millis(1_500))
    );
}

/// A host that reaches neither the store nor a peer goes on with its stale view.
#[tokio::test]
async fn suspension_of_an_isolated_host_does_not_end_its_service() {
    let pair = HostPair::start().await;
    pair.subscriber.stop.stop();
    pair.subscriber.running.ended().await;
    pair.host.block_for(BLOCKED);
    pair.host.add_suspension(SUSPENSIONS[1]);
    let address = pair.host.gateway.running.front_address();
    until(async || {
        Call::get("/safe/")
            .id("alone")
            .exchange(address)
            .await
            .status
            == 200
    })
    .await;
}

/// A suspension directly after the start must be detected, before the first regular look at
/// the clocks.
#[tokio::test]
async fn suspension_is_detected_directly_after_the_start() {
    let subscriber = TestGateway::with_rules(rules(1)).await;
    let host = SuspendableGateway::start("host", vec![subscriber.peer_address()]).await;
    host.block_for(STOPPED);
    until(async || metric(&host.gateway, "pauses_total").await >= 1.0).await;
}
