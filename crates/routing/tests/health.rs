//! Suspicion by answers and silences.

use chalkrock_routing::{EndpointHealth, HealthSignal};
use googletest::prelude::*;

/// Health after a break at a time.
fn broken_at(now_ms: u64) -> EndpointHealth {
    let mut health = EndpointHealth::default();
    health.record(HealthSignal::Break, now_ms);
    health
}

#[test]
fn health_suspects_after_a_break_and_tries_again() {
    let health = broken_at(1_000);
    assert_that!(health.is_suspect(1_100), eq(true));
    assert_that!(health.is_suspect(1_500), eq(false));
}

#[test]
fn health_lets_one_request_try() {
    let mut health = broken_at(0);
    health.record_sent(500);
    assert_that!(health.is_suspect(510), eq(true));
    health.record_received(520);
    assert_that!(health.is_suspect(520), eq(false));
}

#[test]
fn health_suspects_longer_with_each_try_that_breaks() {
    let mut health = broken_at(0);
    let mut trusted_at_ms = 500;
    for longer_ms in [1_000, 2_000, 4_000, 4_000] {
        assert_that!(health.is_suspect(trusted_at_ms - 1), eq(true));
        assert_that!(health.is_suspect(trusted_at_ms), eq(false));
        health.record_sent(trusted_at_ms);
        health.record(HealthSignal::Break, trusted_at_ms + 10);
        trusted_at_ms += 10 + longer_ms;
    }
}

#[test]
fn health_takes_breaks_that_come_together_as_one() {
    let mut health = EndpointHealth::default();
    (0..50).for_each(|_| health.record(HealthSignal::Break, 10));
    assert_that!(health.is_suspect(510), eq(false));
}

#[test]
fn health_trusts_again_after_an_answer() {
    let mut health = broken_at(0);
    health.record_sent(500);
    health.record(HealthSignal::Break, 501);
    health.record(HealthSignal::Answer, 510);
    assert_that!(health.is_suspect(510), eq(false));
    health.record(HealthSignal::Break, 520);
    assert_that!(health.is_suspect(1_020), eq(false));
}

#[test]
fn health_bears_the_failures_of_an_ordinary_day() {
    let mut health = EndpointHealth::default();
    for i in 0..1_000 {
        let sign = if i % 7 == 0 {
            HealthSignal::Failure
        } else {
            HealthSignal::Answer
        };
        health.record(sign, i);
        assert_that!(health.is_suspect(i), eq(false), "answer {i}");
    }
}

#[test]
fn health_suspects_who_mostly_fails() {
    let mut health = EndpointHealth::default();
    (0..6).for_each(|_| health.record(HealthSignal::Failure, 0));
    assert_that!(health.is_suspect(1), eq(true));
}

#[test]
fn health_calls_a_wait_silent_before_any_deadline() {
    let health = EndpointHealth::default();
    assert_that!(health.is_silent(1_000, 1_600), eq(false));
    assert_that!(health.is_silent(1_000, 1_700), eq(true));
}

#[test]
fn health_forgives_a_wait_while_others_are_answered() {
    let mut health = EndpointHealth::default();
    health.record_received(1_900);
    assert_that!(health.is_silent(1_000, 2_500), eq(false));
    assert_that!(health.is_silent(1_000, 2_600), eq(true));
}

/// Many wait when an endpoint falls silent, some to the end of a long
/// deadline. All of them are one silence.
#[test]
fn health_takes_silences_that_began_together_as_one() {
    let mut health = EndpointHealth::default();
    for sent_at_ms in 0..10 {
        health.record(HealthSignal::Silence { sent_at_ms }, sent_at_ms + 700);
    }
    assert_that!(health.is_suspect(1_199), eq(true));
    assert_that!(health.is_suspect(1_200), eq(false));
    health.record(HealthSignal::Silence { sent_at_ms: 20 }, 10_000);
    assert_that!(health.is_suspect(10_000), eq(false));
}

#[test]
fn health_renews_suspicion_when_a_try_is_silent_too() {
    let mut health = EndpointHealth::default();
    health.record(HealthSignal::Silence { sent_at_ms: 0 }, 700);
    health.record_sent(1_200);
    health.record(HealthSignal::Silence { sent_at_ms: 1_200 }, 1_900);
    assert_that!(health.is_suspect(2_899), eq(true));
    assert_that!(health.is_suspect(2_900), eq(false));
}

#[test]
fn health_ends_the_waits_of_all_when_one_was_in_vain() {
    let mut health = EndpointHealth::default();
    health.record(HealthSignal::Silence { sent_at_ms: 0 }, 700);
    assert_that!(health.is_silent(600, 710), eq(true));
    assert_that!(health.is_silent(1_200, 1_210), eq(false));
    health.record_received(720);
    assert_that!(health.is_silent(600, 730), eq(false));
}

#[test]
fn health_leaves_tries_after_a_silence_to_what_may_be_repeated() {
    let mut health = EndpointHealth::default();
    health.record(HealthSignal::Silence { sent_at_ms: 0 }, 700);
    assert_that!(health.is_suspect(1_200), eq(false));
    assert_that!(health.is_on_probation(1_200), eq(true));
    assert_that!(health.is_on_probation(3_200), eq(false));
    health.record_received(1_300);
    assert_that!(health.is_on_probation(1_300), eq(false));
    assert_that!(broken_at(0).is_on_probation(500), eq(false));
}
