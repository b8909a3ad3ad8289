//! Endpoints that asked to be sent nothing: what a host keeps of it, and how many hosts
//! come back.

use std::sync::Arc;

use chalkrock_core::{BuildVersion, Endpoint, EndpointKind, HostState, Incarnation};
use chalkrock_routing::{BACKOFF_MAX_MS, BackoffChange, Backoffs, PoolMember};
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

/// Words of one endpoint in turn, each with the time from the first one at which it came,
/// and between which times from the first one it is sent requests again.
#[test]
fn backoff_lasts_as_the_table_says() {
    struct Case {
        name: &'static str,
        words: &'static [(u64, u64)],
        over: (u64, u64),
    }
    let cases = [
        Case {
            name: "one",
            words: &[(0, 3_000)],
            over: (3_000, 3_600),
        },
        Case {
            name: "a part of a second",
            words: &[(0, 1)],
            over: (1, 2),
        },
        Case {
            name: "none",
            words: &[(0, 0)],
            over: (0, 0),
        },
        Case {
            name: "a shorter one later",
            words: &[(0, 3_000), (100, 200)],
            over: (3_000, 3_600),
        },
        Case {
            name: "none later",
            words: &[(0, 3_000), (100, 0)],
            over: (3_000, 3_600),
        },
        Case {
            name: "a longer one later",
            words: &[(0, 3_000), (100, 5_000)],
            over: (5_100, 6_100),
        },
        Case {
            name: "years",
            words: &[(0, u64::MAX)],
            over: (BACKOFF_MAX_MS, BACKOFF_MAX_MS + BACKOFF_MAX_MS / 5),
        },
    ];
    const BEGAN_MS: u64 = 1_000;
    let member = member(1);
    let start = member.hash.short();
    for Case { name, words, over } in cases {
        for draw in [0.0, 0.5, 0.999] {
            let mut backoffs = Backoffs::default();
            let mut last_ms = 0;
            for (at_ms, asked_ms) in words {
                backoffs.record_request(&member, *asked_ms, draw, BEGAN_MS + at_ms);
                last_ms = *at_ms;
            }
            let left_ms = backoffs.remaining_ms(start, BEGAN_MS + last_ms);
            let ended_ms = if left_ms == 0 { 0 } else { last_ms + left_ms };
            assert_that!(ended_ms, all!(ge(over.0), le(over.1)), "{name}");
            let is_active = backoffs.is_active(start, BEGAN_MS + last_ms);
            assert_that!(is_active, eq(left_ms > 0), "{name}");
        }
    }
}

#[test]
fn backoff_is_of_one_start() {
    let mut backoffs = Backoffs::default();
    backoffs.record_request(&member(1), 3_000, 0.5, 0);
    assert_that!(backoffs.is_active(member(1).hash.short(), 10), eq(true));
    assert_that!(backoffs.is_active(member(2).hash.short(), 10), eq(false));
    assert_that!(backoffs.count(10), eq(1));
}

#[test]
fn backoff_is_told_once_as_it_begins_and_ends() {
    let mut backoffs = Backoffs::default();
    let begun = backoffs.record_request(&member(1), 1_000, 0.0, 0);
    assert_that!(begun, eq(BackoffChange::Begun { for_ms: 1_010 }));
    let again = backoffs.record_request(&member(1), 1_000, 0.0, 5);
    assert_that!(again, eq(BackoffChange::Lengthened { for_ms: 1_010 }));
    let shorter = backoffs.record_request(&member(1), 10, 0.0, 6);
    assert_that!(shorter, eq(BackoffChange::None));
    assert_that!(backoffs.expire(1_014), is_empty());
    assert_that!(backoffs.expire(1_015), len(eq(1)));
    assert_that!(backoffs.expire(1_016), is_empty());
    assert_that!(backoffs.is_empty(), eq(false));
    assert_that!(backoffs.expire(2_015), is_empty());
    assert_that!(backoffs.is_empty(), eq(true));
}

/// First one request that may be sent on if it is turned away; then more, and others too.
#[test]
fn return_begins_with_requests_that_may_be_sent_elsewhere() {
    let mut backoffs = Backoffs::default();
    backoffs.record_request(&member(1), 1_000, 0.0, 0);
    let start = member(1).hash.short();
    assert_that!(backoffs.prefers_others(start, true, 1_010), eq(false));
    assert_that!(backoffs.prefers_others(start, false, 1_010), eq(true));
    backoffs.record_sent(start, 1_010);
    assert_that!(backoffs.prefers_others(start, true, 1_020), eq(true));
    assert_that!(backoffs.prefers_others(start, true, 1_210), eq(false));
    backoffs.record_answered(start, 1_220);
    assert_that!(backoffs.prefers_others(start, false, 1_220), eq(false));
    assert_that!(backoffs.prefers_others(start, false, 2_010), eq(false));
}

#[test]
fn return_without_requests_that_may_be_sent_elsewhere_is_over_by_itself() {
    let mut backoffs = Backoffs::default();
    backoffs.record_request(&member(1), 1_000, 0.0, 0);
    let start = member(1).hash.short();
    assert_that!(backoffs.prefers_others(start, false, 2_009), eq(true));
    assert_that!(backoffs.prefers_others(start, false, 2_010), eq(false));
}

/// Requests in the first tenth of a second in which many hosts send again to an endpoint
/// that asked all of them for three seconds in the same moment. Each has a request for
/// it every ten milliseconds.
#[test]
fn return_of_many_hosts_is_slow() {
    const HOSTS: usize = 100;
    const STEP_MS: u64 = 10;
    const SPAN_MS: u64 = 100;
    let member = member(1);
    let start = member.hash.short();
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
            let is_open = !backoffs.is_active(start, now_ms);
            if is_open && !backoffs.prefers_others(start, true, now_ms) {
                backoffs.record_sent(start, now_ms);
                sent_at_ms.push(now_ms);
            }
        }
    }
    let first_ms = sent_at_ms[0];
    let early = sent_at_ms.iter().filter(|at| **at < first_ms + SPAN_MS);
    // All at once would be a thousand.
    assert_that!(early.count(), le(HOSTS / 5));
    let late = sent_at_ms.iter().filter(|at| **at >= 3_900);
    assert_that!(late.count(), ge(HOSTS));
}

#[derive(Clone, Debug)]
enum Step {
    Asked { asked_ms: u64, draw: f64 },
    Sent,
    Answered,
    Expired,
}

fn step() -> impl Strategy<Value = (u64, Step)> {
    let kind = prop_oneof![
        (0..5_000_u64, 0.0..1.0).prop_map(|(asked_ms, draw)| Step::Asked { asked_ms, draw }),
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

    /// Whatever comes in between: until the end of each time that was asked for, nothing
    /// is sent; and no longer than a fifth beyond the last end.
    #[test]
    fn backoff_holds_until_the_latest_end(steps in proptest::collection::vec(step(), 1..40)) {
        let member = member(1);
        let start = member.hash.short();
        let mut backoffs = Backoffs::default();
        let mut now_ms = 0;
        let mut ends_ms = 0;
        let mut latest_ms = 0;
        for (pause_ms, step) in steps {
            now_ms += pause_ms;
            match step {
                Step::Asked { asked_ms, draw } => {
                    backoffs.record_request(&member, asked_ms, draw, now_ms);
                    ends_ms = ends_ms.max(now_ms + asked_ms);
                    latest_ms = latest_ms.max(now_ms + asked_ms + asked_ms / 5 + 1);
                }
                Step::Sent => backoffs.record_sent(start, now_ms),
                Step::Answered => backoffs.record_answered(start, now_ms),
                Step::Expired => {
                    backoffs.expire(now_ms);
                }
            }
            if now_ms < ends_ms {
                prop_assert!(backoffs.is_active(start, now_ms));
            }
            if now_ms >= latest_ms {
                prop_assert!(!backoffs.is_active(start, now_ms));
            }
        }
    }
}
