//! Suspicion by answers and silences.

use chalkrock_routing::{EndpointHealth, Sign};
use googletest::prelude::*;

#[test]
fn health_suspects_after_a_break_and_tries_again() {
    let mut health = EndpointHealth::default();
    health.see(Sign::Break, 1_000);
    assert_that!(health.is_suspect(1_100), eq(true));
    assert_that!(health.is_suspect(1_500), eq(false));
}

#[test]
fn health_suspects_longer_with_each_break_in_a_row() {
    let mut health = EndpointHealth::default();
    health.see(Sign::Break, 0);
    health.see(Sign::Break, 500);
    assert_that!(health.is_suspect(1_400), eq(true));
    (0..50).for_each(|_| health.see(Sign::Break, 2_000));
    assert_that!(health.is_suspect(5_900), eq(true));
    assert_that!(health.is_suspect(6_000), eq(false));
}

#[test]
fn health_trusts_again_after_an_answer() {
    let mut health = EndpointHealth::default();
    (0..5).for_each(|_| health.see(Sign::Break, 0));
    health.see(Sign::Answer, 10);
    assert_that!(health.is_suspect(10), eq(false));
    health.see(Sign::Break, 20);
    assert_that!(health.is_suspect(530), eq(false));
}

#[test]
fn health_bears_the_failures_of_an_ordinary_day() {
    let mut health = EndpointHealth::default();
    for i in 0..1_000 {
        let sign = if i % 7 == 0 {
            Sign::Failure
        } else {
            Sign::Answer
        };
        health.see(sign, i);
        assert_that!(health.is_suspect(i), eq(false), "answer {i}");
    }
}

#[test]
fn health_suspects_who_mostly_fails() {
    let mut health = EndpointHealth::default();
    (0..6).for_each(|_| health.see(Sign::Failure, 0));
    assert_that!(health.is_suspect(1), eq(true));
}

#[test]
fn health_suspects_silence_before_any_deadline() {
    let mut health = EndpointHealth::default();
    health.wait(1_000);
    assert_that!(health.is_silent(1_600), eq(false));
    assert_that!(health.is_silent(1_700), eq(true));
    health.wait_over(1_000);
    assert_that!(health.is_silent(1_700), eq(false));
}

#[test]
fn health_forgives_a_wait_while_others_are_answered() {
    let mut health = EndpointHealth::default();
    health.wait(1_000);
    health.heard(1_900);
    assert_that!(health.is_silent(2_500), eq(false));
    assert_that!(health.is_silent(2_600), eq(true));
}
