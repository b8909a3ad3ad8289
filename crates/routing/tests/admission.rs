//! Who is taken in while a pool is overloaded.

use chalkrock_routing::{
    AdmissionRequest, PoolOccupancy, ServiceTimeEwma, admit_probability, shed_probability,
};
use googletest::prelude::*;
use proptest::prelude::*;

const PLACES: u32 = 100;

fn occupancy(in_progress: u32, service_ms: f64) -> PoolOccupancy {
    PoolOccupancy {
        slots: PLACES,
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
fn wait_is_what_is_served_first() {
    for (in_progress, wait_ms) in [(0, 0.0), (100, 0.0), (125, 200.0), (200, 500.0)] {
        assert_that!(occupancy(in_progress, 1_000.0).wait_ms(), eq(wait_ms));
    }
}

#[test]
fn chance_is_whole_while_places_are_free() {
    for rank in 0..=9 {
        assert_that!(
            admit_probability(&occupancy(99, 60_000.0), &request(rank, 1)),
            eq(1.0)
        );
    }
}

/// Ten requests on six places, each for 47 ms: a wait of 19 ms of 150.
#[test]
fn chance_is_whole_for_short_waits() {
    let busy = PoolOccupancy {
        slots: 6,
        in_progress: 10,
        service_ms: 47.0,
    };
    for rank in 0..3 {
        assert_that!(admit_probability(&busy, &request(rank, 150)), eq(1.0));
    }
}

/// Short calls may queue several times over, long streams may not.
#[test]
fn chance_depends_on_the_wait_and_not_on_the_queue() {
    let asks = request(0, 300);
    assert_that!(admit_probability(&occupancy(200, 60.0), &asks), eq(1.0));
    assert_that!(admit_probability(&occupancy(200, 2_000.0), &asks), eq(0.0));
}

#[test]
fn chance_falls_for_the_least_urgent_first_and_starves_none() {
    let busy = occupancy(112, 1_500.0);
    let chances = [0, 1, 2, 9].map(|rank| admit_probability(&busy, &request(rank, 400)));
    assert_that!(chances[0], gt(chances[1]));
    assert_that!(chances[1], gt(chances[2]));
    assert_that!(chances[2], eq(chances[3]));
    assert_that!(chances[2], ge(0.4 * chances[0]));
}

#[test]
fn chance_is_less_for_who_has_more_than_its_share() {
    let busy = occupancy(112, 1_500.0);
    let asks = request(0, 400);
    let over = AdmissionRequest {
        is_over_share: true,
        ..asks
    };
    assert_that!(
        admit_probability(&busy, &over),
        lt(admit_probability(&busy, &asks))
    );
}

#[test]
fn chance_behind_grows_with_the_lag_and_leaves_a_tenth() {
    for (lag_ms, admit_probability) in [
        (0, 0.0),
        (250, 0.0),
        (625, 0.45),
        (1_000, 0.9),
        (9_000, 0.9),
    ] {
        assert_that!(shed_probability(lag_ms), eq(admit_probability), "{lag_ms}");
    }
}

#[test]
fn stay_follows_what_is_seen() {
    let mut stay = ServiceTimeEwma::default();
    assert_that!(stay.ms(), eq(0.0));
    stay.record(100);
    (0..200).for_each(|_| stay.record(900));
    assert_that!(stay.ms(), gt(890.0));
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: prop::test_runner::RngSeed::Fixed(11), ..ProptestConfig::default() })]

    #[test]
    fn chance_never_rises_with_load(
        in_progress in 0_u32..1_000, more in 0_u32..100, service_ms in 0.0..10_000.0,
        rank in 0_u8..12, objective_ms in 0_u64..10_000,
    ) {
        let asks = request(rank, objective_ms);
        let less = admit_probability(&occupancy(in_progress, service_ms), &asks);
        let greater = admit_probability(&occupancy(in_progress + more, service_ms), &asks);
        prop_assert!((0.0..=1.0).contains(&less));
        prop_assert!(greater <= less);
    }
}
