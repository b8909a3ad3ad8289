//! Retries of several hosts, counted where they arrive.

use std::time::Duration;

use chalkrock_routing::BudgetRules;
use googletest::prelude::*;
use tokio::time::Instant;

use crate::support::{
    Behaviour, Call, FleetHost, LimitedSource, Script, ScriptedEndpoint, TestGateway, TestSource,
    config_with_budget, hosts_with, metric, peer_addresses, rules, start_fleet, until,
};

const SLACK: f64 = 8.0;
const WINDOW: Duration = Duration::from_secs(60);
/// Time for a reload to take effect.
const RELOAD_TIME: Duration = Duration::from_millis(100);
/// A budget without a ratio, in a window that no test lives to see the end of.
const BUDGET: BudgetRules = BudgetRules {
    ratio: 0.0,
    slack: SLACK,
    window_ms: WINDOW.as_millis() as u64,
};
/// The same in a window after which a host soon has its part of the slack.
const SHORT_BUDGET: BudgetRules = BudgetRules {
    window_ms: 1_500,
    ..BUDGET
};

const SHARERS: &str = "retry_budget_sharers";

/// Endpoints that fail every call, and the store that lists them.
async fn failing_endpoints() -> (TestSource, Vec<ScriptedEndpoint>) {
    let source = TestSource::default();
    source.set_rules(rules(1));
    let mut endpoints = Vec::new();
    for name in ["endpoint-1", "endpoint-2"] {
        let script = Script::default();
        let endpoint = ScriptedEndpoint::start(name, "pool", Behaviour::Fail, script).await;
        source.list(endpoint.endpoint.clone());
        endpoints.push(endpoint);
    }
    (source, endpoints)
}

/// Sends calls to a gateway and returns the number of retries that arrived.
async fn count_retries(
    gateway: &TestGateway,
    endpoints: &[ScriptedEndpoint],
    (prefix, calls): (&str, usize),
) -> usize {
    let mut retries = 0;
    for i in 0..calls {
        let id = format!("{prefix}-{i}");
        gateway.call(Call::get("/safe/").id(&id)).await;
        let arrivals: usize = endpoints.iter().map(|e| e.run_count(&id)).sum();
        retries += arrivals.saturating_sub(1);
    }
    retries
}

/// Guards against hosts that forget what they spent before a restart.
#[tokio::test]
async fn retries_of_a_host_that_restarts_stay_within_the_budget() {
    const RESTARTS: usize = 4;
    const CALLS: usize = 10;
    let (source, endpoints) = failing_endpoints().await;
    let began_at = Instant::now();
    let mut retries = 0;
    for restart in 0..RESTARTS {
        let gateway = TestGateway::with_budget_rules(source.clone(), "host-1", BUDGET).await;
        gateway.ready().await;
        let calls = (&*format!("start-{restart}"), CALLS);
        retries += count_retries(&gateway, &endpoints, calls).await;
    }
    assert_that!(began_at.elapsed(), lt(WINDOW));
    assert_that!(retries as f64, le(SLACK));
}

/// Guards against a slack that each of several hosts takes for its own.
#[tokio::test]
async fn retries_of_hosts_that_hear_nobody_stay_within_the_budget() {
    const HOSTS: usize = 4;
    const CALLS: usize = 10;
    let (source, endpoints) = failing_endpoints().await;
    let began_at = Instant::now();
    let mut retries = 0;
    let mut hosts = Vec::new();
    for host in 0..HOSTS {
        let name = format!("host-{host}");
        let gateway = TestGateway::with_budget_rules(source.clone(), &name, BUDGET).await;
        gateway.ready().await;
        retries += count_retries(&gateway, &endpoints, (&name, CALLS)).await;
        hosts.push(gateway);
    }
    assert_that!(began_at.elapsed(), lt(WINDOW));
    assert_that!(retries as f64, le(SLACK));
}

/// Guards against a reload after which the host forgets what it spent.
#[tokio::test]
async fn retries_after_a_reload_stay_within_the_budget() {
    const CALLS: usize = 20;
    /// Long enough for all calls on a busy machine.
    const BUDGET: BudgetRules = BudgetRules {
        window_ms: 6_000,
        ..SHORT_BUDGET
    };
    let (source, endpoints) = failing_endpoints().await;
    let (gateway, reloads) = TestGateway::with_reloads(source, BUDGET).await;
    gateway.ready().await;
    until(async || metric(&gateway, SHARERS).await == 1.0).await;
    let began_at = Instant::now();
    let mut retries = count_retries(&gateway, &endpoints, ("before", CALLS)).await;
    assert_that!(retries, gt(0));
    let budget = BudgetRules {
        ratio: 0.001,
        ..BUDGET
    };
    let config = config_with_budget("host-1", budget);
    reloads.send(config).await.expect("a running gateway");
    tokio::time::sleep(RELOAD_TIME).await;
    retries += count_retries(&gateway, &endpoints, ("after", CALLS)).await;
    let window = Duration::from_millis(BUDGET.window_ms);
    assert_that!(began_at.elapsed(), lt(window));
    assert_that!(retries as f64, le(SLACK));
}

/// Guards against a part of the slack that grows when other hosts fall silent.
#[tokio::test]
async fn retries_beside_lost_hosts_are_paid_from_the_same_part() {
    const HOSTS: usize = 5;
    const LEFT: usize = 2;
    let source = TestSource::default();
    source.set_rules(rules(1));
    let mut hosts: Vec<TestGateway> = Vec::new();
    for host in 0..HOSTS {
        let seeds = hosts.iter().map(TestGateway::peer_address).collect();
        let name = format!("host-{host}");
        hosts.push(TestGateway::killable_with_budget(&source, &name, seeds, SHORT_BUDGET).await);
    }
    until(async || hosts_with(&hosts, SHARERS, HOSTS as f64).await == HOSTS).await;
    hosts.truncate(LEFT);
    let heard = (LEFT - 1) as f64;
    until(async || hosts_with(&hosts, "peers_heard", heard).await == LEFT).await;
    assert_that!(hosts_with(&hosts, SHARERS, HOSTS as f64).await, eq(LEFT));
}

async fn sharers_of(host: &FleetHost) -> usize {
    let metrics = host.metrics().await;
    let prefix = format!("chalkrock_{SHARERS}{{}} ");
    let value = metrics.lines().find_map(|line| line.strip_prefix(&*prefix));
    value.map_or(0, |value| value.parse().expect("a number"))
}

/// Guards against hosts of a large fleet that divide the slack before they know all others.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn retries_of_a_large_fleet_are_paid_from_parts_by_all_hosts() {
    const LIMIT: Duration = Duration::from_secs(60);
    const CALLS_PER_S: u32 = 6_000;
    let hosts = std::env::var("FLEET_HOSTS").ok();
    let hosts = hosts.and_then(|hosts| hosts.parse().ok()).unwrap_or(42);
    let store = TestSource::default();
    store.set_rules(rules(1));
    let source = LimitedSource::new(store, CALLS_PER_S);
    let addresses = peer_addresses(hosts);
    let fleet = start_fleet(&source, &addresses, &addresses[..3], |_, config| {
        config.retry_budget(SHORT_BUDGET)
    });
    let fleet = fleet.await;
    let began_at = Instant::now();
    let mut with_part = 0;
    while with_part < hosts && began_at.elapsed() < LIMIT {
        with_part = 0;
        for host in &fleet {
            let sharers = sharers_of(host).await;
            assert_that!(
                sharers,
                any![eq(0), ge(hosts)],
                "after {:?}",
                began_at.elapsed()
            );
            with_part += usize::from(sharers > 0);
        }
    }
    println!("all have a part after {:?}", began_at.elapsed());
    assert_that!(with_part, eq(hosts));
}

/// Guards against retries that are paid and reach no endpoint.
#[tokio::test]
async fn retries_that_find_no_endpoint_are_not_paid() {
    // Each seventh request backs a retry, for 15 s.
    const REQUESTS: usize = 7;
    let budget = BudgetRules {
        ratio: 0.18,
        slack: 0.0,
        ..BUDGET
    };
    let source = TestSource::default();
    source.set_rules(rules(1));
    let script = Script::default();
    let start =
        async |name| ScriptedEndpoint::start(name, "pool", Behaviour::Answer, script.clone()).await;
    source.list(start("endpoint-1").await.endpoint.clone());
    let gateway = TestGateway::with_budget_rules(source, "host-1", budget).await;
    gateway.ready().await;
    for i in 1..REQUESTS {
        let call = Call::get("/safe/").id(&format!("r-{i}"));
        assert_that!(gateway.call(call).await.status, eq(200));
    }
    script.push([Behaviour::Fail]);
    let alone = gateway.call(Call::get("/safe/").id("alone")).await;
    assert_that!(alone.status, ge(500));
    gateway
        .source
        .list(start("endpoint-2").await.endpoint.clone());
    until(async || metric(&gateway, "endpoints_live").await == 2.0).await;
    script.push([Behaviour::Fail]);
    let retried = gateway.call(Call::get("/safe/").id("retried")).await;
    assert_that!(retried.status, eq(200));
}
