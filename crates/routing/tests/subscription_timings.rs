//! Times towards the store stay within the bounds.

use chalkrock_routing::SubscriptionTimings;
use googletest::prelude::*;

#[test]
fn follow_times_add_up_to_less_than_any_bound() {
    for bound_ms in (SubscriptionTimings::BOUND_MIN_MS..=10_000).step_by(100) {
        let times = SubscriptionTimings::for_bound(bound_ms);
        assert_that!(times.worst_case_ms(), lt(bound_ms), "{times:?}");
    }
}

#[test]
fn follow_times_of_a_bound_that_is_too_small_are_those_of_the_least() {
    let least = SubscriptionTimings::for_bound(SubscriptionTimings::BOUND_MIN_MS);
    assert_that!(SubscriptionTimings::for_bound(0), eq(least));
    assert_that!(SubscriptionTimings::for_bound(300), eq(least));
}

#[test]
fn follow_times_give_up_only_after_all_hedges() {
    let times = SubscriptionTimings::for_bound(2_000);
    assert_that!(times.hedge_delay_ms, gt(0));
    assert_that!(SubscriptionTimings::MAX_HEDGES, ge(2));
}
