//! Retries of several hosts, counted where they arrive.

use std::time::Duration;

use chalkrock_routing::BudgetRules;
use googletest::prelude::*;
use tokio::time::Instant;

use crate::support::{Behaviour, Call, Script, ScriptedEndpoint, TestGateway, TestSource, rules};

const SLACK: f64 = 8.0;
const WINDOW: Duration = Duration::from_secs(60);

fn budget(ratio: f64) -> BudgetRules {
    BudgetRules {
        ratio,
        slack: SLACK,
        window_ms: WINDOW.as_millis() as u64,
    }
}

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
        let gateway = TestGateway::with_budget_rules(source.clone(), "host-1", budget(0.0)).await;
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
        let gateway = TestGateway::with_budget_rules(source.clone(), &name, budget(0.0)).await;
        gateway.ready().await;
        retries += count_retries(&gateway, &endpoints, (&name, CALLS)).await;
        hosts.push(gateway);
    }
    assert_that!(began_at.elapsed(), lt(WINDOW));
    assert_that!(retries as f64, le(SLACK));
}
