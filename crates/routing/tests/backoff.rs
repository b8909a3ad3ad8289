//! Backoffs that endpoints request: their duration, and how hosts resume sending.

use std::sync::Arc;

use chalkrock_core::{BuildVersion, Endpoint, EndpointKind, HostState, Incarnation};
use chalkrock_routing::{BackoffChange, Backoffs, MAX_BACKOFF_MS, PoolMember};
use googletest::prelude::*;
use proptest::prelude::*;

fn member(incarnation: u64) -> PoolMember {
    let endpoint = Endpoint {
        name: "endpoint-1".into(),
        kind: EndpointKind::Service,
        pool: "pool".into(),
        zone: "zone-a".into(),
        address: "127.0.0.1:9".parse().expect("an address"),
        slots: 8,
        incarnation: Incarnation(incarnation),
        state: HostState::Live,
        build: BuildVersion::default(),
    };
    PoolMember {
        hash: endpoint.start_hash(),
        endpoint: Arc::new(endpoint),
        is_evacuated: false,
    }
}

/// Guards against backoffs that end early, are shortened later or last too long.
#[test]
fn backoff_duration_follows_the_table() {
    struct Case {
        name: &'static str,
        /// Time since the first request, and requested duration, in milliseconds.
        requests: &'static [(u64, u64)],
        ends_ms: (u64, u64), // earliest and latest
    }
    let cases = [
        Case {
            name: "one",
            requests: &[(0, 3_000)],
            ends_ms: (3_000, 3_600),
        },
        Case {
            name: "one millisecond",
            requests: &[(0, 1)],
            ends_ms: (1, 2),
        },
        Case {
            name: "none",
            requests: &[(0, 0)],
            ends_ms: (0, 0),
        },
        Case {
            name: "a shorter one later",
            requests: &[(0, 3_000), (100, 200)],
            ends_ms: (3_000, 3_600),
        },
        Case {
            name: "none later",
            requests: &[(0, 3_000), (100, 0)],
            ends_ms: (3_000, 3_600),
        },
        Case {
            name: "a longer one later",
            requests: &[(0, 3_000), (100, 5_000)],
            ends_ms: (5_100, 6_100),
        },
        Case {
            name: "years",
            requests: &[(0, u64::MAX)],
            ends_ms: (MAX_BACKOFF_MS, MAX_BACKOFF_MS + MAX_BACKOFF_MS / 5),
        },
    ];
    const START_MS: u64 = 1_000;
    let member = member(1);
    let start_hash = member.hash.short();
    for Case {
        name,
        requests,
        ends_ms,
    } in cases
    {
        for draw in [0.0, 0.5, 0.999] {
            let mut backoffs = Backoffs::default();
            let mut last_ms = 0;
            for (at_ms, requested_ms) in requests {
                backoffs.record_request(&member, *requested_ms, draw, START_MS + at_ms);
                last_ms = *at_ms;
            }
            let left_ms = backoffs.remaining_ms(start_hash, START_MS + last_ms);
            let ended_ms = if left_ms == 0 { 0 } else { last_ms + left_ms };
            assert_that!(ended_ms, all!(ge(ends_ms.0), le(ends_ms.1)), "{name}");
            let is_active = backoffs.is_active(start_hash, START_MS + last_ms);
            assert_that!(is_active, eq(left_ms > 0), "{name}");
        }
    }
}

#[test]
fn backoff_applies_to_one_start() {
    let mut backoffs = Backoffs::default();
    backoffs.record_request(&member(1), 3_000, 0.5, 0);
    assert_that!(backoffs.is_active(member(1).hash.short(), 10), eq(true));
    assert_that!(backoffs.is_active(member(2).hash.short(), 10), eq(false));
    assert_that!(backoffs.count(10), eq(1));
}

#[test]
fn backoff_is_reported_once_when_it_begins_and_ends() {
    let mut backoffs = Backoffs::default();
    let begin = backoffs.record_request(&member(1), 1_000, 0.0, 0);
    assert_that!(begin, eq(BackoffChange::Begun { for_ms: 1_010 }));
    let lengthened = backoffs.record_request(&member(1), 1_000, 0.0, 5);
    assert_that!(lengthened, eq(BackoffChange::Lengthened { for_ms: 1_010 }));
    let shorter = backoffs.record_request(&member(1), 10, 0.0, 6);
    assert_that!(shorter, eq(BackoffChange::None));
    assert_that!(backoffs.expire(1_014), is_empty());
    assert_that!(backoffs.expire(1_015), len(eq(1)));
    assert_that!(backoffs.expire(1_016), is_empty());
    assert_that!(backoffs.is_empty(), eq(false));
    assert_that!(backoffs.expire(2_015), is_empty());
    assert_that!(backoffs.is_empty(), eq(true));
}

/// Guards against losing requests that cannot be retried if the endpoint rejects them.
#[test]
fn ramp_up_begins_with_requests_that_can_be_retried() {
    let mut backoffs = Backoffs::default();
    backoffs.record_request(&member(1), 1_000, 0.0, 0);
    let start_hash = member(1).hash.short();
    assert_that!(backoffs.prefers_others(start_hash, true, 1_010), eq(false));
    assert_that!(backoffs.prefers_others(start_hash, false, 1_010), eq(true));
    backoffs.record_sent(start_hash, 1_010);
    assert_that!(backoffs.prefers_others(start_hash, true, 1_020), eq(true));
    assert_that!(backoffs.prefers_others(start_hash, true, 1_210), eq(false));
    backoffs.record_answered(start_hash, 1_220);
    assert_that!(backoffs.prefers_others(start_hash, false, 1_220), eq(false));
    assert_that!(backoffs.prefers_others(start_hash, false, 2_010), eq(false));
}

#[test]
fn ramp_up_ends_without_requests_that_can_be_retried() {
    let mut backoffs = Backoffs::default();
    backoffs.record_request(&member(1), 1_000, 0.0, 0);
    let start_hash = member(1).hash.short();
    assert_that!(backoffs.prefers_others(start_hash, false, 2_009), eq(true));
    assert_that!(backoffs.prefers_others(start_hash, false, 2_010), eq(false));
}

/// Guards against overload when many hosts end the same backoff at once.
#[test]
fn ramp_up_of_many_hosts_is_gradual() {
    const HOSTS: usize = 100;
    const STEP_MS: u64 = 10;
    const WINDOW_MS: u64 = 100;
    let member = member(1);
    let start_hash = member.hash.short();
    let mut hosts: Vec<Backoffs> = (0..HOSTS)
        .map(|host| {
            let mut backoffs = Backoffs::default();
            let draw = host as f64 / HOSTS as f64;
            backoffs.record_request(&member, 3_000, draw, 0);
            backoffs
        })
        .collect();
    let mut sent_at_ms = Vec::new();
    for now_ms in (3_000..4_000).step_by(STEP_MS as usize) {
        for backoffs in &mut hosts {
            let is_open = !backoffs.is_active(start_hash, now_ms);
            if is_open && !backoffs.prefers_others(start_hash, true, now_ms) {
                backoffs.record_sent(start_hash, now_ms);
                sent_at_ms.push(now_ms);
            }
        }
    }
    let first_ms = sent_at_ms[0];
    let early = sent_at_ms.iter().filter(|at| **at < first_ms + WINDOW_MS);
    // Without the ramp-up, it is 1,000.
    assert_that!(early.count(), le(HOSTS / 5));
    let late = sent_at_ms.iter().filter(|at| **at >= 3_900);
    assert_that!(late.count(), ge(HOSTS));
}

#[derive(Clone, Debug)]
enum Step {
    Requested { requested_ms: u64, draw: f64 },
    Sent,
    Answered,
    Expired,
}

fn step() -> impl Strategy<Value = (u64, Step)> {
    let kind = prop_oneof![
        (0..5_000_u64, 0.0..1.0)
            .prop_map(|(requested_ms, draw)| Step::Requested { requested_ms, draw }),
        Just(Step::Sent),
        Just(Step::Answered),
        Just(Step::Expired),
    ];
    (0..800_u64, kind)
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: proptest::test_runner::RngSeed::Fixed(42),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// A backoff lasts until its latest requested end, and at most a fifth longer.
    #[test]
    fn backoff_holds_until_the_latest_end(steps in proptest::collection::vec(step(), 1..40)) {
        let member = member(1);
        let start_hash = member.hash.short();
        let mut backoffs = Backoffs::default();
        let mut now_ms = 0;
        let mut earliest_end_ms = 0;
        let mut latest_end_ms = 0;
        for (delay_ms, step) in steps {
            now_ms += delay_ms;
            match step {
                Step::Requested { requested_ms, draw } => {
                    backoffs.record_request(&member, requested_ms, draw, now_ms);
                    earliest_end_ms = earliest_end_ms.max(now_ms + requested_ms);
                    latest_end_ms = latest_end_ms.max(now_ms + requested_ms + requested_ms / 5 + 1);
                }
                Step::Sent => backoffs.record_sent(start_hash, now_ms),
                Step::Answered => backoffs.record_answered(start_hash, now_ms),
                Step::Expired => {
                    backoffs.expire(now_ms);
                }
            }
            if now_ms < earliest_end_ms {
                prop_assert!(backoffs.is_active(start_hash, now_ms));
            }
            if now_ms >= latest_end_ms {
                prop_assert!(!backoffs.is_active(start_hash, now_ms));
            }
        }
    }
}
