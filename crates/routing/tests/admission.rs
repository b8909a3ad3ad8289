//! Admission of requests while a pool is overloaded.

use chalkrock_routing::{
    AdmissionRequest, PoolOccupancy, ServiceTimeEwma, admit_probability, shed_probability,
};
use googletest::prelude::*;
use proptest::prelude::*;

const SLOTS: u32 = 100;

fn occupancy(in_progress: u32, service_ms: f64) -> PoolOccupancy {
    PoolOccupancy {
        slots: SLOTS,
        in_progress,
        service_ms,
    }
}

fn request(rank: u8, objective_ms: u64) -> AdmissionRequest {
    AdmissionRequest {
        rank,
        objective_ms,
        is_over_share: false,
    }
}

#[test]
fn wait_ms_counts_queued_requests() {
    for (in_progress, wait_ms) in [(0, 0.0), (100, 0.0), (125, 200.0), (200, 500.0)] {
        assert_that!(occupancy(in_progress, 1_000.0).wait_ms(), eq(wait_ms));
    }
}

#[test]
fn admit_probability_is_one_while_slots_are_free() {
    for rank in 0..=9 {
        assert_that!(
            admit_probability(&occupancy(99, 60_000.0), &request(rank, 1)),
            eq(1.0)
        );
    }
}

/// Ten requests of 47 ms on six slots wait 19 ms, well below the objective of 150 ms.
#[test]
fn admit_probability_is_one_for_short_waits() {
    let busy = PoolOccupancy {
        slots: 6,
        in_progress: 10,
        service_ms: 47.0,
    };
    for rank in 0..3 {
        assert_that!(admit_probability(&busy, &request(rank, 150)), eq(1.0));
    }
}

/// Guards against rejecting short calls by queue length: their queue clears in time.
#[test]
fn admit_probability_depends_on_wait_rather_than_queue_length() {
    let call = request(0, 300);
    assert_that!(admit_probability(&occupancy(200, 60.0), &call), eq(1.0));
    assert_that!(admit_probability(&occupancy(200, 2_000.0), &call), eq(0.0));
}

#[test]
fn admit_probability_falls_for_low_priority_first_and_starves_none() {
    let busy = occupancy(112, 1_500.0);
    let probabilities = [0, 1, 2, 9].map(|rank| admit_probability(&busy, &request(rank, 400)));
    assert_that!(probabilities[0], gt(probabilities[1]));
    assert_that!(probabilities[1], gt(probabilities[2]));
    assert_that!(probabilities[2], eq(probabilities[3]));
    assert_that!(probabilities[2], ge(0.4 * probabilities[0]));
}

#[test]
fn admit_probability_is_lower_over_the_share() {
    let busy = occupancy(112, 1_500.0);
    let within_share = request(0, 400);
    let over_share = AdmissionRequest {
        is_over_share: true,
        ..within_share
    };
    assert_that!(
        admit_probability(&busy, &over_share),
        lt(admit_probability(&busy, &within_share))
    );
}

#[test]
fn shed_probability_grows_with_lag_up_to_nine_tenths() {
    for (lag_ms, probability) in [
        (0, 0.0),
        (250, 0.0),
        (625, 0.45),
        (1_000, 0.9),
        (9_000, 0.9),
    ] {
        assert_that!(shed_probability(lag_ms), eq(probability), "{lag_ms}");
    }
}

#[test]
fn service_time_ewma_follows_recorded_times() {
    let mut service_time = ServiceTimeEwma::default();
    assert_that!(service_time.ms(), eq(0.0));
    service_time.record(100);
    (0..200).for_each(|_| service_time.record(900));
    assert_that!(service_time.ms(), gt(890.0));
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: prop::test_runner::RngSeed::Fixed(11), ..ProptestConfig::default() })]

    #[test]
    fn admit_probability_never_rises_with_load(
        in_progress in 0_u32..1_000, added in 0_u32..100, service_ms in 0.0..10_000.0,
        rank in 0_u8..12, objective_ms in 0_u64..10_000,
    ) {
        let call = request(rank, objective_ms);
        let at_lower_load = admit_probability(&occupancy(in_progress, service_ms), &call);
        let at_higher_load = admit_probability(&occupancy(in_progress + added, service_ms), &call);
        prop_assert!((0.0..=1.0).contains(&at_lower_load));
        prop_assert!(at_higher_load <= at_lower_load);
    }
}
