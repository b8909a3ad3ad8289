//! Subscription timings stay within their bound.

use chalkrock_routing::SubscriptionTimings;
use googletest::prelude::*;

#[test]
fn timings_add_up_to_less_than_any_bound() {
    for bound_ms in (SubscriptionTimings::MIN_BOUND_MS..=10_000).step_by(100) {
        let times = SubscriptionTimings::for_bound(bound_ms);
        assert_that!(times.worst_case_ms(), lt(bound_ms), "{times:?}");
    }
}

#[test]
fn timings_of_a_too_small_bound_are_those_of_the_minimum() {
    let least = SubscriptionTimings::for_bound(SubscriptionTimings::MIN_BOUND_MS);
    assert_that!(SubscriptionTimings::for_bound(0), eq(least));
    assert_that!(SubscriptionTimings::for_bound(300), eq(least));
}

#[test]
fn timings_allow_several_hedges() {
    let times = SubscriptionTimings::for_bound(2_000);
    assert_that!(times.hedge_delay_ms, gt(0));
    assert_that!(SubscriptionTimings::MAX_HEDGES, ge(2));
}
