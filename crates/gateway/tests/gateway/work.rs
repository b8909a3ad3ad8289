//! Requests leave an endpoint that is slow, and return to it.

use std::time::Duration;

use crate::support::{Behaviour, Call, TestGateway};
use googletest::prelude::*;

/// Longest validity of an endpoint's own report.
const REPORT_EXPIRES: Duration = Duration::from_millis(700);
/// Long prompts from which the times of the pool are known.
const TRAINING_CALLS: u64 = 6;

fn call(id: &str, prefix: u64) -> Call {
    Call::post("/stream/", b"x")
        .id(id)
        .header("parts", &format!("{prefix}:5000,99:100"))
}

/// The endpoint that runs a request with a prefix.
async fn runs_at(gateway: &TestGateway, id: &str, prefix: u64) -> usize {
    gateway.call(call(id, prefix)).await;
    let mut endpoints = gateway.endpoints.iter();
    let position = endpoints.position(|endpoint| endpoint.run_count(id) == 1);
    position.expect("an endpoint that ran it")
}

async fn trained_gateway() -> TestGateway {
    let stream = Behaviour::Stream {
        last: 9,
        cut_at: None,
    };
    let gateway = TestGateway::with_endpoints(3, stream).await;
    for prefix in 1_000..1_000 + TRAINING_CALLS {
        runs_at(&gateway, &format!("training-{prefix}"), prefix).await;
    }
    gateway
}

#[tokio::test]
async fn work_leaves_an_endpoint_that_reports_to_be_slow() {
    let gateway = trained_gateway().await;
    let home = runs_at(&gateway, "r-1", 7).await;
    gateway.endpoints[home].set_report("slowness-permille: 4000");
    // The answer of this one carries the report.
    assert_that!(runs_at(&gateway, "r-2", 7).await, eq(home));
    assert_that!(runs_at(&gateway, "r-3", 7).await, not(eq(home)));
    gateway.endpoints[home].clear_report();
    tokio::time::sleep(REPORT_EXPIRES).await;
    assert_that!(runs_at(&gateway, "r-4", 7).await, eq(home));
}

/// Guards against a prefix that is read again elsewhere although its home is hardly slower.
#[tokio::test]
async fn work_keeps_the_home_of_an_endpoint_as_slow_as_usual() {
    let gateway = trained_gateway().await;
    let home = runs_at(&gateway, "r-1", 7).await;
    gateway.endpoints[home].set_report("slowness-permille: 1300");
    for id in ["r-2", "r-3", "r-4"] {
        assert_that!(runs_at(&gateway, id, 7).await, eq(home), "{id}");
    }
}
