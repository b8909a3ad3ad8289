//! Evidence for poison requests, under which endpoints crash.

use std::collections::HashMap;

use chalkrock_routing::{
    LONG_RUN_MS, MAX_CRASHES, POISON_RETENTION_MS, PoisonEvidence, PoisonRequest, PoisonUpdate,
    PoisonVerdict, RequestFingerprint,
};
use googletest::prelude::*;
use proptest::prelude::{Strategy, any, prop};

const REQUEST: RequestFingerprint = RequestFingerprint(1);
/// Run time of a request when its endpoint crashes early.
const SHORT_MS: u64 = 60;
const OTHER: RequestFingerprint = RequestFingerprint(2);

/// Exchanges updates in both directions.
fn exchange(a: &mut PoisonEvidence, b: &mut PoisonEvidence, now_ms: u64) {
    let updates = a.take_updates(usize::MAX, now_ms);
    b.merge(&updates, false, now_ms);
    let updates = b.take_updates(usize::MAX, now_ms);
    a.merge(&updates, false, now_ms);
}

/// Evidence of this many crashes under a request.
fn evidence(crashes: u32) -> PoisonEvidence {
    let mut evidence = PoisonEvidence::default();
    for start in 0..crashes {
        evidence.record_crash(REQUEST, start, SHORT_MS, 0);
    }
    evidence
}

#[test]
fn is_poison_after_max_crashes() {
    for crashes in 0..=5 {
        let is_poison = evidence(crashes).is_poison(REQUEST, 0);
        assert_that!(is_poison, eq(crashes as usize >= MAX_CRASHES), "{crashes}");
    }
}

#[test]
fn record_crash_counts_each_start_once() {
    let mut evidence = PoisonEvidence::default();
    for _ in 0..5 {
        assert_that!(evidence.record_crash(REQUEST, 7, SHORT_MS, 0), none());
    }
    assert_that!(evidence.crashes(REQUEST), eq(1));
}

/// Guards against rejecting long-running requests that are present by chance.
#[test]
fn record_crash_counts_half_after_a_long_run() {
    let cases: [(&[u64], bool); 7] = [
        (&[60, 60, 60], true),
        (&[60, 60, 900], false),
        (&[60, 60, 900, 900], true),
        (&[900, 900, 900, 900, 900], false),
        (&[900, 900, 900, 900, 900, 900], true),
        (&[60, LONG_RUN_MS - 1, 0], true),
        (&[60, LONG_RUN_MS, 0], false),
    ];
    for (ran_ms, is_poison) in cases {
        let mut evidence = PoisonEvidence::default();
        for (start, ran_ms) in ran_ms.iter().enumerate() {
            evidence.record_crash(REQUEST, start as u32, *ran_ms, 0);
        }
        assert_that!(evidence.is_poison(REQUEST, 0), eq(is_poison), "{ran_ms:?}");
    }
}

#[test]
fn record_crash_counts_the_shorter_run_of_a_start() {
    let mut evidence = PoisonEvidence::default();
    for start in 0..3 {
        evidence.record_crash(REQUEST, start, 900, 0);
        evidence.record_crash(REQUEST, start, SHORT_MS, 0);
    }
    assert_that!(evidence.is_poison(REQUEST, 0), eq(true));
}

#[test]
fn merge_combines_crashes_of_two_hosts() {
    let mut a = PoisonEvidence::default();
    let mut b = PoisonEvidence::default();
    a.record_crash(REQUEST, 1, SHORT_MS, 0);
    a.record_crash(REQUEST, 2, SHORT_MS, 0);
    b.record_crash(REQUEST, 2, SHORT_MS, 0);
    b.record_crash(REQUEST, 3, SHORT_MS, 0);
    b.record_crash(OTHER, 3, SHORT_MS, 0);
    exchange(&mut a, &mut b, 10);
    for host in [&a, &b] {
        assert_that!(host.is_poison(REQUEST, 10), eq(true));
        assert_that!(host.is_poison(OTHER, 10), eq(false));
    }
}

#[test]
fn record_completion_clears_a_request_everywhere() {
    let mut a = evidence(3);
    let mut b = PoisonEvidence::default();
    b.merge_poison(&a.poison_requests(8, 0), 0);
    assert_that!(b.is_poison(REQUEST, 0), eq(true));
    assert_that!(
        b.record_completion(REQUEST, 5),
        some(eq(PoisonVerdict::Cleared {
            request: REQUEST,
            records: true
        }))
    );
    exchange(&mut b, &mut a, 10);
    assert_that!(a.is_poison(REQUEST, 10), eq(false));
}

/// Guards against a lost completion keeping a request rejected.
#[test]
fn record_completion_is_sent_again_to_hosts_that_missed_it() {
    let mut a = evidence(3);
    let mut b = PoisonEvidence::default();
    b.record_completion(REQUEST, 0);
    b.merge_poison(&a.poison_requests(8, 10), 10);
    assert_that!(b.is_poison(REQUEST, 10), eq(false));
    exchange(&mut b, &mut a, 20);
    assert_that!(a.is_poison(REQUEST, 20), eq(false));
}

/// Guards against rejecting requests without a body, which share a fingerprint.
#[test]
fn record_crash_ignores_completed_requests() {
    let mut evidence = PoisonEvidence::default();
    evidence.record_completion(REQUEST, 0);
    for start in 0..9 {
        evidence.record_crash(REQUEST, start, SHORT_MS, 10);
    }
    assert_that!(evidence.is_poison(REQUEST, 10), eq(false));
}

#[test]
fn is_poison_until_it_is_not_repeated_for_long() {
    let mut evidence = evidence(3);
    let almost_ms = POISON_RETENTION_MS - 1;
    assert_that!(evidence.is_poison(REQUEST, almost_ms), eq(true));
    evidence.record_repeat(REQUEST, almost_ms);
    assert_that!(
        evidence.is_poison(REQUEST, POISON_RETENTION_MS + 1),
        eq(true)
    );
    assert_that!(
        evidence.is_poison(REQUEST, almost_ms + POISON_RETENTION_MS),
        eq(false)
    );
    evidence.expire(almost_ms + POISON_RETENTION_MS);
    assert_that!(evidence.crashes(REQUEST), eq(0));
}

/// Guards against hosts that keep extending the rejection by their exchange.
#[test]
fn merge_poison_extends_no_rejection() {
    let mut a = evidence(3);
    let mut b = PoisonEvidence::default();
    for now_ms in (0..POISON_RETENTION_MS).step_by(200) {
        b.merge_poison(&a.poison_requests(8, now_ms), now_ms);
        a.merge_poison(&b.poison_requests(8, now_ms), now_ms);
    }
    assert_that!(a.is_poison(REQUEST, POISON_RETENTION_MS), eq(false));
    assert_that!(b.is_poison(REQUEST, POISON_RETENTION_MS), eq(false));
}

#[test]
fn take_updates_returns_updates_a_few_times_and_none_old() {
    let mut evidence = evidence(1);
    let counts = (0..6).map(|round| evidence.take_updates(9, round * 200).len());
    assert_that!(counts.sum::<usize>(), eq(3));
    evidence.record_crash(OTHER, 1, SHORT_MS, 0);
    assert_that!(evidence.take_updates(9, 3_001), is_empty());
}

/// Guards against unlimited new requests exhausting memory or evicting poison requests.
#[test]
fn record_crash_is_bounded() {
    const REQUESTS: u64 = 20_000;
    let mut evidence = evidence(3);
    for request in 10..10 + REQUESTS {
        evidence.record_crash(RequestFingerprint(request), 1, SHORT_MS, 10);
    }
    let known = (10..10 + REQUESTS).filter(|request| {
        let request = RequestFingerprint(*request);
        evidence.crashes(request) > 0
    });
    assert_that!(known.count(), lt(5_000));
    assert_that!(evidence.is_poison(REQUEST, 10), eq(true));
}

/// A crash that a host observes, or a message between hosts.
#[derive(Clone, Debug)]
enum Step {
    Crash {
        host: usize,
        request: u64,
        start: u32,
        ran_long: bool,
    },
    Send {
        from: usize,
        to: usize,
    },
}

const HOSTS: usize = 4;

fn step() -> impl Strategy<Value = Step> {
    let crash = (0..HOSTS, 0..3_u64, 0..7_u32, any::<bool>());
    let crash = crash.prop_map(|(host, request, start, ran_long)| Step::Crash {
        host,
        request,
        start,
        ran_long,
    });
    let send = (0..HOSTS, 0..HOSTS).prop_map(|(from, to)| Step::Send { from, to });
    proptest::prop_oneof![crash, send]
}

proptest::proptest! {
    #![proptest_config(proptest::prelude::ProptestConfig {
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(34),
        ..proptest::prelude::ProptestConfig::default()
    })]

    /// Guards against hosts that disagree on poison requests after exchanging all
    /// updates, in any order.
    #[test]
    fn hosts_agree_on_poison_requests(steps in prop::collection::vec(step(), 0..60)) {
        let mut hosts = vec![PoisonEvidence::default(); HOSTS];
        // Each crash, and whether all of its observed runs were long.
        let mut crashes_by_start: HashMap<(u64, u32), bool> = HashMap::new();
        for step in steps {
            match step {
                Step::Crash { host, request, start, ran_long } => {
                    *crashes_by_start.entry((request, start)).or_insert(true) &= ran_long;
                    let ran_ms = if ran_long { LONG_RUN_MS } else { SHORT_MS };
                    hosts[host].record_crash(RequestFingerprint(request), start, ran_ms, 0);
                }
                Step::Send { from, to } => {
                    let requests = hosts[from].poison_requests(usize::MAX, 0);
                    hosts[to].merge_poison(&requests, 0);
                }
            }
        }
        let updates: Vec<Vec<PoisonUpdate>> =
            hosts.iter_mut().map(|host| host.take_updates(usize::MAX, 0)).collect();
        for host in &mut hosts {
            updates.iter().for_each(|updates| { host.merge(updates, false, 0); });
        }
        for request in 0..3 {
            let of_request = crashes_by_start.iter().filter(|((of, _), _)| *of == request);
            let halves: usize = of_request.map(|(_, ran_long)| if *ran_long { 1 } else { 2 }).sum();
            for host in &hosts {
                let is_poison = host.is_poison(RequestFingerprint(request), 0);
                proptest::prop_assert_eq!(is_poison, halves >= 2 * MAX_CRASHES);
            }
        }
    }

    /// Guards against extending a rejection beyond the longest one received.
    #[test]
    fn merge_poison_keeps_the_later_end(left_ms in any::<[u32; 2]>()) {
        let mut evidence = PoisonEvidence::default();
        for left_ms in left_ms {
            evidence.merge_poison(&[PoisonRequest { request: REQUEST, left_ms }], 0);
        }
        let longest = left_ms.iter().copied().max().map(u64::from).filter(|left| *left > 0);
        proptest::prop_assert_eq!(evidence.remaining_ms(REQUEST, 0), longest);
    }
}
