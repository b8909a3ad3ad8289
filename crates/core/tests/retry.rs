//! The retry budget during and after an outage.

use chalkrock_core::RetryBudget;
use googletest::prelude::*;

fn taken(budget: &mut RetryBudget, tries: usize) -> usize {
    (0..tries).filter(|_| budget.take()).count()
}

#[test]
fn budget_is_exhausted_in_an_outage() {
    let mut budget = RetryBudget::default();
    assert_that!(taken(&mut budget, 1_000), eq(20));
}

#[test]
fn budget_grows_by_a_tenth_of_the_successes() {
    let mut budget = RetryBudget::default();
    taken(&mut budget, 1_000);
    (0..101).for_each(|_| budget.record_success());
    assert_that!(taken(&mut budget, 1_000), eq(10));
}

#[test]
fn budget_growth_is_limited() {
    let mut budget = RetryBudget::default();
    (0..10_000).for_each(|_| budget.record_success());
    assert_that!(taken(&mut budget, 1_000), eq(20));
}
