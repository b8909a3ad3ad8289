//! Rollouts of a simulated fleet whose hosts stall, with fixed seeds.

use chalkrock_measure::rollouts::{Fault, Policies, PolicySummary, PoolTraffic, Stalls, evaluate};

const HOSTS: usize = 62;
const SEEDS: u32 = 100;

const STALLS: [Stalls; 3] = [
    Stalls::Weak { are_measured: true },
    Stalls::Simultaneous { are_measured: true },
    Stalls::Simultaneous {
        are_measured: false,
    },
];

/// Summaries of rollouts of both pools under each kind of stalls.
fn summaries(fault: Fault) -> Vec<(String, PolicySummary)> {
    let mut summaries = Vec::new();
    for stalls in STALLS {
        for pool in [PoolTraffic::generations(HOSTS), PoolTraffic::calls(HOSTS)] {
            let pool = PoolTraffic { stalls, ..pool };
            let name = format!("{fault}, {stalls:?}, {} routes", pool.routes.len());
            summaries.push((name, evaluate(&pool, fault, Policies::KEPT, SEEDS)));
        }
    }
    summaries
}

/// Guards against rolling back good builds because hosts stall.
#[test]
fn evaluate_good_builds_are_not_rolled_back_under_stalls() {
    for (name, summary) in summaries(Fault::None) {
        assert_eq!(summary.rolled_back, 0.0, "{name}: {summary:?}");
    }
}

/// Guards against exceeding the bound by a build that turns bad at any time.
#[test]
fn evaluate_builds_that_turn_bad_later_keep_the_bound() {
    for fault in [Fault::FailsLater, Fault::SlowLater] {
        for (name, summary) in summaries(fault) {
            assert!(summary.over_bound < 0.02, "{name}: {summary:?}");
            assert_eq!(summary.rolled_back_late, 0.0, "{name}: {summary:?}");
        }
    }
}

/// Guards against completing the rollout of a build that is bad on one route.
#[test]
fn evaluate_builds_that_are_bad_on_one_route_are_not_done() {
    for (name, summary) in summaries(Fault::FailsOnOneRoute) {
        assert!(summary.done <= 0.05, "{name}: {summary:?}");
    }
}

/// Guards against a schedule that leaves no time for short requests before the deadline.
#[test]
fn evaluate_short_calls_are_done_in_time_on_average() {
    let pool = PoolTraffic::plain_calls(HOSTS);
    let summary = evaluate(&pool, Fault::None, Policies::KEPT, SEEDS);
    assert_eq!(summary.done, 1.0, "{summary:?}");
    assert!(summary.done_ms <= pool.deadline_ms as f64, "{summary:?}");
}
