//! Phases of a stopping host, by the time since the stop was requested.

use chalkrock_routing::{DrainPhase, DrainSchedule};
use googletest::prelude::*;

#[test]
fn drain_accepts_requests_until_the_balancer_has_noticed() {
    let schedule = DrainSchedule::new(8_000);
    assert_that!(schedule.phase(0, 0), eq(DrainPhase::Accepting));
    assert_that!(schedule.phase(2_399, 0), eq(DrainPhase::Accepting));
    assert_that!(schedule.phase(2_400, 1), eq(DrainPhase::Draining));
}

#[test]
fn drain_ends_early_without_running_requests() {
    let schedule = DrainSchedule::new(8_000);
    assert_that!(schedule.phase(2_500, 0), eq(DrainPhase::Draining));
    assert_that!(schedule.phase(2_600, 0), eq(DrainPhase::Exiting));
}

#[test]
fn drain_waits_for_running_requests_until_the_deadline() {
    let schedule = DrainSchedule::new(8_000);
    assert_that!(schedule.phase(7_700, 5), eq(DrainPhase::Draining));
    assert_that!(schedule.phase(7_750, 5), eq(DrainPhase::Exiting));
}

#[test]
fn drain_ends_before_the_kill_for_any_grace() {
    for grace_ms in [0, 100, 300, 1_000, 3_000, 60_000] {
        let schedule = DrainSchedule::new(grace_ms);
        let deadline_ms = grace_ms.saturating_sub(250);
        assert_that!(
            schedule.phase(deadline_ms, 9),
            eq(DrainPhase::Exiting),
            "grace {grace_ms}"
        );
    }
}
