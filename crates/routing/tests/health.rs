//! Suspicion of endpoints after failures, broken connections and silence.

use chalkrock_routing::{EndpointHealth, HealthSignal};
use googletest::prelude::*;

/// Health after one break.
fn broken_at(now_ms: u64) -> EndpointHealth {
    let mut health = EndpointHealth::default();
    health.record(HealthSignal::Break, now_ms);
    health
}

#[test]
fn health_is_suspect_for_a_time_after_a_break() {
    let health = broken_at(1_000);
    assert_that!(health.is_suspect(1_100), eq(true));
    assert_that!(health.is_suspect(1_500), eq(false));
}

#[test]
fn health_allows_one_probe_at_a_time() {
    let mut health = broken_at(0);
    health.record_sent(500);
    assert_that!(health.is_suspect(510), eq(true));
    health.record_received(520);
    assert_that!(health.is_suspect(520), eq(false));
}

#[test]
fn health_is_suspect_longer_after_each_failed_probe() {
    let mut health = broken_at(0);
    let mut trusted_at_ms = 500;
    for suspect_ms in [1_000, 2_000, 4_000, 4_000] {
        assert_that!(health.is_suspect(trusted_at_ms - 1), eq(true));
        assert_that!(health.is_suspect(trusted_at_ms), eq(false));
        health.record_sent(trusted_at_ms);
        health.record(HealthSignal::Break, trusted_at_ms + 10);
        trusted_at_ms += 10 + suspect_ms;
    }
}

#[test]
fn health_counts_simultaneous_breaks_once() {
    let mut health = EndpointHealth::default();
    (0..50).for_each(|_| health.record(HealthSignal::Break, 10));
    assert_that!(health.is_suspect(510), eq(false));
}

#[test]
fn health_recovers_after_an_answer() {
    let mut health = broken_at(0);
    health.record_sent(500);
    health.record(HealthSignal::Break, 501);
    health.record(HealthSignal::Answer, 510);
    assert_that!(health.is_suspect(510), eq(false));
    health.record(HealthSignal::Break, 520);
    assert_that!(health.is_suspect(1_020), eq(false));
}

#[test]
fn health_tolerates_occasional_failures() {
    let mut health = EndpointHealth::default();
    for i in 0..1_000 {
        let signal = if i % 7 == 0 {
            HealthSignal::Failure
        } else {
            HealthSignal::Answer
        };
        health.record(signal, i);
        assert_that!(health.is_suspect(i), eq(false), "answer {i}");
    }
}

#[test]
fn health_is_suspect_after_mostly_failures() {
    let mut health = EndpointHealth::default();
    (0..6).for_each(|_| health.record(HealthSignal::Failure, 0));
    assert_that!(health.is_suspect(1), eq(true));
}

#[test]
fn health_reports_silence_before_any_deadline() {
    let health = EndpointHealth::default();
    assert_that!(health.is_silent(1_000, 1_600), eq(false));
    assert_that!(health.is_silent(1_000, 1_700), eq(true));
}

#[test]
fn health_reports_no_silence_while_others_are_answered() {
    let mut health = EndpointHealth::default();
    health.record_received(1_900);
    assert_that!(health.is_silent(1_000, 2_500), eq(false));
    assert_that!(health.is_silent(1_000, 2_600), eq(true));
}

/// Guards against extending the suspicion for each request that reports the same silence.
#[test]
fn health_counts_silences_that_began_together_once() {
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
fn health_renews_suspicion_after_a_silent_probe() {
    let mut health = EndpointHealth::default();
    health.record(HealthSignal::Silence { sent_at_ms: 0 }, 700);
    health.record_sent(1_200);
    health.record(HealthSignal::Silence { sent_at_ms: 1_200 }, 1_900);
    assert_that!(health.is_suspect(2_899), eq(true));
    assert_that!(health.is_suspect(2_900), eq(false));
}

#[test]
fn health_reports_silence_to_all_earlier_requests() {
    let mut health = EndpointHealth::default();
    health.record(HealthSignal::Silence { sent_at_ms: 0 }, 700);
    assert_that!(health.is_silent(600, 710), eq(true));
    assert_that!(health.is_silent(1_200, 1_210), eq(false));
    health.record_received(720);
    assert_that!(health.is_silent(600, 730), eq(false));
}

#[test]
fn health_is_on_probation_after_a_silence() {
    let mut health = EndpointHealth::default();
    health.record(HealthSignal::Silence { sent_at_ms: 0 }, 700);
    assert_that!(health.is_suspect(1_200), eq(false));
    assert_that!(health.is_on_probation(1_200), eq(true));
    assert_that!(health.is_on_probation(3_200), eq(false));
    health.record_received(1_300);
    assert_that!(health.is_on_probation(1_300), eq(false));
    assert_that!(broken_at(0).is_on_probation(500), eq(false));
}

fn unreachable(timed_out: bool, now_ms: u64) -> EndpointHealth {
    let mut health = EndpointHealth::default();
    health.record(HealthSignal::Unreachable { timed_out }, now_ms);
    health
}

#[test]
fn health_is_unreachable_while_connections_fail() {
    let mut health = unreachable(true, 0);
    assert_that!(health.is_unreachable(2_499), eq(true));
    assert_that!(health.is_unresponsive(2_499), eq(true));
    assert_that!(health.is_unreachable(2_500), eq(false));
    health.record(HealthSignal::Unreachable { timed_out: false }, 1_000);
    assert_that!(health.is_unreachable(3_000), eq(true));
    assert_that!(health.is_unresponsive(3_000), eq(false));
    assert_that!(health.unreachable_since_ms(3_000), some(eq(0)));
}

/// Guards against a rush of requests to an endpoint that has just accepted a connection.
#[test]
fn health_allows_one_probe_after_a_connection_is_accepted() {
    let mut health = unreachable(true, 0);
    health.record_connected(100);
    assert_that!(health.is_unreachable(100), eq(false));
    assert_that!(health.is_suspect(100), eq(false));
    health.record_sent(100);
    assert_that!(health.is_suspect(101), eq(true));
    health.record_received(110);
    assert_that!(health.is_suspect(111), eq(false));
}

/// Guards against a check that clears a suspicion with another cause.
#[test]
fn health_stays_suspect_after_a_connection_if_it_was_silent() {
    let mut health = EndpointHealth::default();
    health.record(HealthSignal::Silence { sent_at_ms: 0 }, 700);
    health.record_connected(800);
    assert_that!(health.is_suspect(900), eq(true));
}

#[test]
fn health_counts_bytes_and_connections_as_contact() {
    let mut health = EndpointHealth::default();
    assert_that!(health.contact_at_ms(), none());
    health.record_connected(100);
    assert_that!(health.contact_at_ms(), some(eq(100)));
    health.record_received(160);
    assert_that!(health.contact_at_ms(), some(eq(160)));
}
