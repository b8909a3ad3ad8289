//! Return times of rejected requests.

use chalkrock_routing::{
    MAX_EXPORTED_RETURNS, MAX_RESERVATIONS, RETURN_HORIZON_MS, RETURN_WINDOW_MS, ReservedReturn,
    ReturnSchedule,
};
use googletest::prelude::*;
use proptest::prelude::*;

const HORIZON_MS: u32 = RETURN_HORIZON_MS as u32;

#[gtest]
fn reserve_spreads_returns_over_what_is_served() {
    const SLOTS_PER_S: f64 = 200.0;
    let mut returns = ReturnSchedule::default();
    let due: Vec<u32> = (0..400)
        .map(|fingerprint| returns.reserve(fingerprint, 0, SLOTS_PER_S, 0))
        .collect();
    for until_ms in (100..HORIZON_MS).step_by(100) {
        let count = due.iter().filter(|due_ms| **due_ms < until_ms).count();
        let served = SLOTS_PER_S * f64::from(until_ms) / 1_000.0;
        expect_that!(count as f64, le(served + 1.0), "until {until_ms} ms");
        expect_that!(count as f64, ge(served * 0.9), "until {until_ms} ms");
    }
    expect_that!(returns.len(), le(200));
    expect_that!(due[399], eq(HORIZON_MS));
}

#[gtest]
fn reserve_urgent_ahead_of_less_urgent_rejected_before() {
    let mut returns = ReturnSchedule::default();
    let less_urgent: Vec<u32> = (0..100)
        .map(|fingerprint| returns.reserve(fingerprint, 2, 200.0, 0))
        .collect();
    let urgent: Vec<u32> = (200..220)
        .map(|fingerprint| returns.reserve(fingerprint, 0, 200.0, 0))
        .collect();
    expect_that!(urgent.iter().max(), lt(less_urgent.iter().max()));
}

#[gtest]
fn reserve_repeat_at_once_keeps_its_place() {
    let mut returns = ReturnSchedule::default();
    (0..50).for_each(|fingerprint| _ = returns.reserve(fingerprint, 0, 100.0, 0));
    let due_ms = returns.reserve(50, 0, 100.0, 0);
    for now_ms in 1..u64::from(due_ms) {
        expect_that!(returns.redeem(50, now_ms), eq(false));
        let left_ms = returns.reserve(50, 0, 100.0, now_ms);
        expect_that!(now_ms + u64::from(left_ms), eq(u64::from(due_ms)));
    }
    expect_that!(returns.redeem(50, u64::from(due_ms)), eq(true));
    expect_that!(returns.redeem(50, u64::from(due_ms)), eq(false));
}

#[gtest]
fn redeem_after_the_window_is_rejected() {
    let mut returns = ReturnSchedule::default();
    let due_ms = u64::from(returns.reserve(1, 0, 100.0, 0));
    expect_that!(returns.redeem(1, due_ms + RETURN_WINDOW_MS + 1), eq(false));
}

#[gtest]
fn reserve_without_slots_reserves_nothing() {
    for slots_per_s in [0.0, -1.0, f64::NAN, f64::NEG_INFINITY] {
        let mut returns = ReturnSchedule::default();
        expect_that!(returns.reserve(1, 0, slots_per_s, 0), eq(HORIZON_MS));
        expect_that!(returns.is_empty(), eq(true));
    }
}

#[gtest]
fn reserve_is_bounded() {
    let mut returns = ReturnSchedule::default();
    for fingerprint in 0..2 * MAX_RESERVATIONS as u64 {
        returns.reserve(fingerprint, 0, f64::INFINITY, 0);
    }
    expect_that!(returns.len(), eq(MAX_RESERVATIONS));
    returns.reserve(1, 0, 10.0, RETURN_HORIZON_MS + RETURN_WINDOW_MS + 1);
    expect_that!(returns.len(), eq(1));
}

#[gtest]
fn import_is_redeemed_by_the_next_scheduler() {
    let mut first = ReturnSchedule::default();
    let due_ms: Vec<u64> = (0..10)
        .map(|fingerprint| u64::from(first.reserve(fingerprint, 1, 100.0, 5_000)))
        .collect();
    let handed_over = first.export(5_004);
    let mut second = ReturnSchedule::default();
    second.import(&handed_over, 70_004);
    for (fingerprint, due_ms) in due_ms.into_iter().enumerate() {
        let due_at_ms = 70_000 + due_ms;
        expect_that!(second.redeem(fingerprint as u64, due_at_ms - 1), eq(false));
        expect_that!(second.redeem(fingerprint as u64, due_at_ms), eq(true));
    }
}

#[derive(Clone, Debug)]
enum Step {
    Reserve(u64, u8, f64),
    Redeem(u64),
    Wait(u64),
}

fn any_step() -> impl Strategy<Value = Step> {
    let fingerprint = 0..40_u64;
    prop_oneof![
        (fingerprint.clone(), any::<u8>(), 1.0..500.0)
            .prop_map(|(fingerprint, rank, rate)| Step::Reserve(fingerprint, rank, rate)),
        fingerprint.prop_map(Step::Redeem),
        (0..200_u64).prop_map(Step::Wait),
    ]
}

fn any_entry() -> impl Strategy<Value = ReservedReturn> {
    (any::<u64>(), any::<u8>(), any::<i32>()).prop_map(|(fingerprint, rank, due_in_ms)| {
        ReservedReturn {
            fingerprint,
            rank,
            due_in_ms,
        }
    })
}

proptest! {
    #[test]
    fn redeem_once_within_the_window_of_a_reservation(
        steps in prop::collection::vec(any_step(), 0..200)
    ) {
        let mut returns = ReturnSchedule::default();
        let mut due_at_ms = std::collections::HashMap::new();
        let mut now_ms = 0;
        for step in steps {
            match step {
                Step::Reserve(fingerprint, rank, rate) => {
                    let left_ms = returns.reserve(fingerprint, rank, rate, now_ms);
                    prop_assert!((1..=HORIZON_MS).contains(&left_ms));
                    due_at_ms.insert(fingerprint, now_ms + u64::from(left_ms));
                }
                Step::Redeem(fingerprint) => {
                    let is_redeemed = returns.redeem(fingerprint, now_ms);
                    let is_due = due_at_ms.get(&fingerprint).is_some_and(|due_at_ms| {
                        (*due_at_ms..=due_at_ms + RETURN_WINDOW_MS).contains(&now_ms)
                    });
                    prop_assert!(is_due || !is_redeemed);
                    if is_redeemed {
                        due_at_ms.remove(&fingerprint);
                    }
                }
                Step::Wait(ms) => now_ms += ms,
            }
        }
    }

    #[test]
    fn reserve_keeps_the_order_of_rejection_within_a_rank(
        rejected in prop::collection::vec((0..3_u8, 0..20_u64, 20.0..2_000.0), 1..300)
    ) {
        let mut returns = ReturnSchedule::default();
        let mut now_ms = 0;
        let mut latest = [0; 3];
        for (fingerprint, (rank, wait_ms, rate)) in rejected.into_iter().enumerate() {
            now_ms += wait_ms;
            let left_ms = returns.reserve(fingerprint as u64, rank, rate, now_ms);
            let due_at_ms = now_ms + u64::from(left_ms);
            if left_ms == HORIZON_MS {
                // Nothing is reserved.
                continue;
            }
            let latest = &mut latest[usize::from(rank)];
            // Times within one interval of the schedule count as equal.
            const INTERVAL_MS: u64 = 10;
            prop_assert!(due_at_ms + INTERVAL_MS > *latest);
            *latest = due_at_ms.max(*latest);
        }
    }

    #[test]
    fn import_of_anything_is_bounded(
        entries in prop::collection::vec(any_entry(), 0..2_000),
        now_ms in 0..u64::MAX / 2,
    ) {
        let mut returns = ReturnSchedule::default();
        returns.import(&entries, now_ms);
        prop_assert!(returns.len() <= MAX_EXPORTED_RETURNS);
        prop_assert!(returns.export(now_ms).len() <= MAX_EXPORTED_RETURNS);
        let left_ms = returns.reserve(1, 0, 100.0, now_ms);
        prop_assert!(left_ms <= HORIZON_MS);
    }
}
