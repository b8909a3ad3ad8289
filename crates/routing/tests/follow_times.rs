//! Times towards the store stay within the bounds.

use chalkrock_routing::FollowTimes;
use googletest::prelude::*;

#[test]
fn follow_times_add_up_to_less_than_any_bound() {
    for bound_ms in (FollowTimes::BOUND_MIN_MS..=10_000).step_by(100) {
        let times = FollowTimes::within(bound_ms);
        assert_that!(times.worst_ms(), lt(bound_ms), "{times:?}");
    }
}

#[test]
fn follow_times_of_a_bound_that_is_too_small_are_those_of_the_least() {
    let least = FollowTimes::within(FollowTimes::BOUND_MIN_MS);
    assert_that!(FollowTimes::within(0), eq(least));
    assert_that!(FollowTimes::within(300), eq(least));
}

#[test]
fn follow_times_give_up_only_after_all_hedges() {
    let times = FollowTimes::within(2_000);
    assert_that!(times.hedge_after_ms, gt(0));
    assert_that!(FollowTimes::HEDGES, ge(2));
}
