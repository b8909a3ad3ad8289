//! Retries in a window, compared with those that requests and slack allow.

use chalkrock_soak::{Arrival, Bounds, Journal, RetryUse, RouteRule, Try, TryEnd, worst_retry_use};
use googletest::prelude::*;

const BOUNDS: Bounds = Bounds {
    exposure_share: 0.1,
    exposure_slack: 50.0,
    rollback_ms: 5_000,
    drain_ms: 3_000,
    config_apply_ms: 3_000,
    contact_ms: 3_000,
    retry_ratio: 0.2,
    retry_slack: 10.0,
    retry_window_ms: 10_000,
    cap_factor: 2.0,
    return_ms: 5_000,
};

fn sent(id: &str, sent_ms: u64) -> Try {
    Try {
        id: id.into(),
        request: id.into(),
        may_repeat: true,
        resumes: None,
        route: "read".into(),
        host: 0,
        is_direct: true,
        sent_ms,
        ended_ms: sent_ms + 10,
        end: TryEnd::Status(500),
        is_blamed: false,
    }
}

fn arrival(id: &str, at_ms: u64) -> Arrival {
    Arrival {
        try_id: id.into(),
        request: id.into(),
        route: "read".into(),
        may_repeat: true,
        host: 0,
        endpoint: "e1".into(),
        service: "app".into(),
        build: "v1".into(),
        at_ms,
        has_run: true,
        is_bad: true,
        ended_ms: Some(at_ms + 5),
        was_stopped: false,
        has_poison_part: false,
    }
}

/// `calls` calls, each sent and arriving `interval_ms` after the one before, whose retries all
/// arrive at `retried_ms`.
fn used(calls: u64, interval_ms: u64, retried_ms: u64, retries: u64) -> RetryUse {
    let id = |call: u64| format!("r{call}");
    let first = (0..calls).map(|call| arrival(&id(call), call * interval_ms));
    let again = (0..retries).map(|call| arrival(&id(call), retried_ms));
    let journal = Journal {
        rules: vec![RouteRule {
            route: "read".into(),
            service: "app".into(),
            from_ms: 0,
            until_ms: None,
        }],
        tries: (0..calls)
            .map(|call| sent(&id(call), call * interval_ms))
            .collect(),
        arrivals: first.chain(again).collect(),
        ..Journal::default()
    };
    worst_retry_use(&journal, "app", &BOUNDS)
}

#[gtest]
fn retry_use_is_compared_with_the_best_of_three_windows() {
    // The ratio allows 20 of 100 calls, and the slack 10.
    expect_that!(used(100, 100, 9_900, 30).is_allowed(), eq(true));
    expect_that!(used(100, 100, 9_900, 31).is_allowed(), eq(false));
    // The calls are in the window before.
    expect_that!(used(100, 100, 19_900, 30).is_allowed(), eq(true));
    // They are in none of the three.
    expect_that!(used(100, 100, 29_900, 11).is_allowed(), eq(false));
}

#[gtest]
fn retry_use_counts_a_retry_once() {
    let used = used(100, 100, 9_900, 31);
    expect_that!(used.retries, eq(31));
    expect_that!(used.allowed, approx_eq(30.0));
    expect_that!(used.total, eq(31));
}
