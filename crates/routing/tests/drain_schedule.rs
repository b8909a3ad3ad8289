//! What a host that stops still takes, by the time since it was asked.

use chalkrock_routing::{DrainPhase, DrainSchedule};
use googletest::prelude::*;

#[test]
fn stop_takes_requests_until_the_entry_has_noticed() {
    let plan = DrainSchedule::new(8_000);
    assert_that!(plan.phase(0, 0), eq(DrainPhase::Accepting));
    assert_that!(plan.phase(2_399, 0), eq(DrainPhase::Accepting));
    assert_that!(plan.phase(2_400, 1), eq(DrainPhase::Draining));
}

#[test]
fn stop_ends_early_if_nothing_runs() {
    let plan = DrainSchedule::new(8_000);
    assert_that!(plan.phase(2_500, 0), eq(DrainPhase::Draining));
    assert_that!(plan.phase(2_600, 0), eq(DrainPhase::Exiting));
}

#[test]
fn stop_waits_for_what_runs_as_long_as_it_may() {
    let plan = DrainSchedule::new(8_000);
    assert_that!(plan.phase(7_700, 5), eq(DrainPhase::Draining));
    assert_that!(plan.phase(7_750, 5), eq(DrainPhase::Exiting));
}

#[test]
fn stop_ends_before_any_kill_however_short_the_grace() {
    for grace_ms in [0, 100, 300, 1_000, 3_000, 60_000] {
        let plan = DrainSchedule::new(grace_ms);
        let last_ms = grace_ms.saturating_sub(250);
        assert_that!(
            plan.phase(last_ms, 9),
            eq(DrainPhase::Exiting),
            "grace {grace_ms}"
        );
    }
}
