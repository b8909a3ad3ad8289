//! Rollouts: independent observations of hosts that stall, and when routes move.

use std::collections::BTreeMap;
use std::sync::Arc;

use chalkrock_routing::{
    BuildAssessment, BuildSide, Evidence, ExposureBound, MoveSchedule, ObservationTime,
    ObservedResponse, RolloutStage, RolloutView, assess_build,
};
use googletest::prelude::*;
use proptest::prelude::prop;

fn route() -> Arc<str> {
    "route".into()
}

fn began(first_byte_ms: f64) -> ObservedResponse {
    ObservedResponse::Began {
        first_byte_ms,
        holds_prefix: true,
    }
}

fn at(now_ms: u64) -> ObservationTime {
    ObservationTime {
        now_ms,
        stalled_ms: 0,
    }
}

/// Guards against a rollback by many answers that one event made fail.
#[test]
fn evidence_record_counts_failures_of_a_moment_once() {
    let assessment = |failure_interval_ms: u64| {
        let mut evidence: Evidence<u32> = Evidence::default();
        let ended = ObservedResponse::Ended { pace_ms: None };
        for number in 0..200 {
            evidence.record(&route(), BuildSide::Old, ended, at(1_000 * number));
        }
        for number in 0..40 {
            let seen = at(300_000 + failure_interval_ms * number);
            evidence.record(&route(), BuildSide::New, ObservedResponse::Failed, seen);
        }
        let tally = evidence.combined_tally();
        assert_that!(tally.failures(BuildSide::New), eq(40));
        assess_build(&tally)
    };
    assert_that!(assessment(1_000).is_bad(), eq(true));
    assert_that!(assessment(1).is_bad(), eq(false), "{}", assessment(1));
}

/// Evidence of a host that sees answers of both builds every 200 ms. `times` returns the
/// first-byte times of the old and the new build, and how much of them was a stall.
fn evidence_of(times: impl Fn(u64) -> (f64, f64, u64)) -> BuildAssessment {
    let mut evidence: Evidence<u32> = Evidence::default();
    for moment in 0..400 {
        let (old_ms, new_ms, stalled_ms) = times(moment);
        let seen = ObservationTime {
            now_ms: 200 * moment,
            stalled_ms,
        };
        evidence.record(&route(), BuildSide::Old, began(old_ms), seen);
        evidence.record(&route(), BuildSide::Old, began(old_ms), seen);
        if moment >= 200 {
            evidence.record(&route(), BuildSide::New, began(new_ms), seen);
        }
    }
    assess_build(&evidence.combined_tally())
}

/// Guards against a rollback because stalls happen to fall on answers of the new build.
#[test]
fn evidence_record_compares_late_times_within_a_moment() {
    // The host stalls in every third moment once the new build gets requests.
    let is_stalled = |moment: u64| moment >= 200 && moment.is_multiple_of(3);
    let stalled_host = evidence_of(|moment| {
        let ms = if is_stalled(moment) { 800.0 } else { 20.0 };
        (ms, ms, 0)
    });
    assert_that!(stalled_host.is_bad(), eq(false), "{stalled_host}");
    let slow_build = evidence_of(|moment| {
        let new_ms = if is_stalled(moment) { 800.0 } else { 20.0 };
        (20.0, new_ms, 0)
    });
    assert_that!(slow_build.is_bad(), eq(true), "{slow_build}");
}

/// Guards against evidence from times that the host itself delayed.
#[test]
fn evidence_record_leaves_out_times_of_a_stall() {
    let late_new = |stalled_ms| {
        move |moment: u64| {
            let is_stalled = moment.is_multiple_of(3);
            let new_ms = if is_stalled { 800.0 } else { 20.0 };
            (20.0, new_ms, if is_stalled { stalled_ms } else { 0 })
        }
    };
    assert_that!(evidence_of(late_new(780)).is_bad(), eq(false));
    assert_that!(evidence_of(late_new(0)).is_bad(), eq(true));
}

const WITHIN_MS: u64 = 12_000;

fn view(routes: &[(f64, u64)], new_requests: u32, slack: f64) -> RolloutView {
    let name = |index: usize| Arc::from(format!("route-{index}"));
    let indexed = || routes.iter().enumerate();
    RolloutView {
        stage: Some(RolloutStage::Canary),
        age_ms: 10_000,
        within_ms: WITHIN_MS,
        is_withdrawn: false,
        new_slots: 100,
        old_slots: 100,
        in_progress: 40,
        moved_ms: 0,
        old_idle_ms: 0,
        max_service_times_ms: indexed().map(|(i, (_, ms))| (name(i), *ms)).collect(),
        request_rates_per_s: indexed().map(|(i, (rate, _))| (name(i), *rate)).collect(),
        new_requests,
        bound: ExposureBound { share: 0.1, slack },
        failed_ago_ms: None,
        assessment: BuildAssessment::default(),
    }
}

#[test]
fn move_schedule_moves_short_calls_in_time() {
    let schedule = MoveSchedule::new(&view(&[(98.0, 100), (22.0, 100)], 45, 50.0));
    for move_ms in schedule.moves_ms.values() {
        // The move, the reports of hosts and the write take 0.9 s.
        assert_that!(*move_ms, le(WITHIN_MS - 900));
    }
}

#[test]
fn move_schedule_moves_long_requests_first() {
    let schedule = MoveSchedule::new(&view(&[(55.0, 5_000), (154.0, 400)], 45, 50.0));
    let moves: Vec<u64> = schedule.moves_ms.values().copied().collect();
    assert_that!(moves[0], lt(moves[1]));
    assert_that!(schedule.announce_ms, lt(moves[0]));
}

/// Guards against a schedule that needs rates: the record of a canary has none.
#[test]
fn move_schedule_without_rates_keeps_the_share() {
    let without_rates = RolloutView {
        request_rates_per_s: BTreeMap::new(),
        ..view(&[(55.0, 5_000), (154.0, 400)], 0, 0.0)
    };
    for move_ms in MoveSchedule::new(&without_rates).moves_ms.values() {
        assert_that!(*move_ms, ge(WITHIN_MS - WITHIN_MS / 10));
    }
}

proptest::proptest! {
    #![proptest_config(proptest::prelude::ProptestConfig { failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(22), ..Default::default() })]

    /// Guards against a cut-over that exceeds the bound, for any rates and service times.
    #[test]
    fn move_schedule_keeps_the_bound(
        routes in prop::collection::vec((0.5..400.0_f64, 10..9_000_u64), 1..6),
        exposed in 0.0..0.1_f64,
        slack in 0.0..100.0_f64,
    ) {
        let rate_per_s: f64 = routes.iter().map(|(rate, _)| rate).sum();
        let requests = rate_per_s * WITHIN_MS as f64 / 1_000.0;
        let new_requests = (exposed * requests) as u32;
        let schedule = MoveSchedule::new(&view(&routes, new_requests, slack));
        let cut_over = schedule.moves_ms.values().zip(&routes).map(|(move_ms, (rate, _))| {
            rate * WITHIN_MS.saturating_sub(*move_ms) as f64 / 1_000.0
        });
        let total = f64::from(new_requests) + cut_over.sum::<f64>();
        proptest::prop_assert!(total <= 0.1 * requests + slack + 1.0);
    }
}
