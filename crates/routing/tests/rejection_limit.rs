//! Endpoints that report how many rejections a second they tolerate.

use chalkrock_core::rendezvous::MemberHash;
use chalkrock_routing::{LimitReport, LimitedLoad, RejectionLimits, own_slots};
use googletest::prelude::*;

const ENDPOINT: u32 = 7;

fn limited(per_s: u32) -> RejectionLimits {
    let mut limits = RejectionLimits::default();
    limits.record_answer(ENDPOINT, Some(per_s), 0);
    limits
}

fn load(load: u32, hosts: usize) -> LimitedLoad {
    LimitedLoad {
        load,
        local_load: 0,
        slots: 8,
        unreported_arrivals: 0.0,
        hosts,
        own_slots: 8,
    }
}

#[test]
fn rejection_limit_leaves_a_margin_for_unreported_arrivals() {
    let limits = limited(10);
    for (in_progress, unreported_arrivals, accepts) in [
        (7, 0.0, true),
        (8, 0.0, false),
        (6, 1.0, true),
        (7, 1.0, false),
        // The margin is a quarter of the slots at most.
        (5, 100.0, true),
        (6, 100.0, false),
    ] {
        let load = LimitedLoad {
            unreported_arrivals,
            ..load(in_progress, 2)
        };
        assert_that!(
            limits.accepts(ENDPOINT, &load, 0),
            eq(accepts),
            "{in_progress} {unreported_arrivals}"
        );
    }
}

#[test]
fn rejection_limit_does_not_hold_for_other_endpoints() {
    let limits = limited(1);
    assert_that!(limits.accepts(8, &load(100, 2), 0), eq(true));
}

/// Guards against hosts that together cause more rejections than an endpoint tolerates.
#[test]
fn rejection_limit_is_shared_by_the_hosts() {
    for (per_s, hosts) in [(10, 1), (10, 4), (6, 8), (3, 30), (1, 60)] {
        const SECONDS: u64 = 20;
        let mut limits = limited(per_s);
        let mut rejections = 0;
        for now_ms in (0..SECONDS * 1_000).step_by(10) {
            limits.record_answer(ENDPOINT, Some(per_s), now_ms);
            if limits.accepts(ENDPOINT, &load(0, hosts), now_ms) {
                limits.record_rejection(ENDPOINT, hosts, now_ms);
                rejections += 1;
            }
        }
        let of_all_hosts = f64::from(rejections) * hosts as f64 / SECONDS as f64;
        let message = format!("{per_s} over {hosts}: {of_all_hosts}");
        // Each host starts with one.
        let first = hosts as f64 / SECONDS as f64;
        assert_that!(
            of_all_hosts,
            le(0.6 * f64::from(per_s) + first),
            "{message}"
        );
        assert_that!(rejections, ge(1), "{message}");
    }
}

#[test]
fn rejection_limit_pauses_longer_after_several_rejections_at_once() {
    let mut limits = limited(4);
    for _ in 0..3 {
        limits.record_rejection(ENDPOINT, 2, 0);
    }
    assert_that!(limits.accepts(ENDPOINT, &load(0, 2), 2_999), eq(false));
    assert_that!(limits.accepts(ENDPOINT, &load(0, 2), 3_000), eq(true));
}

#[test]
fn rejection_limit_ends_with_an_answer_without_it_or_without_answers() {
    let mut limits = limited(1);
    assert_that!(limits.record_answer(ENDPOINT, Some(1), 10), eq(false));
    assert_that!(limits.is_limited(ENDPOINT, 10_009), eq(true));
    assert_that!(limits.is_limited(ENDPOINT, 10_010), eq(false));
    assert_that!(limits.record_answer(ENDPOINT, None, 20), eq(true));
    assert_that!(limits.accepts(ENDPOINT, &load(100, 2), 20), eq(true));
    assert_that!(limits.record_answer(ENDPOINT, None, 30), eq(false));
}

#[test]
fn rejection_limit_tells_which_endpoint_may_have_failed_under_load() {
    let mut limits = limited(5);
    assert_that!(limits.has_rejected_since(ENDPOINT, 0), eq(false));
    limits.record_rejection(ENDPOINT, 2, 100);
    assert_that!(limits.has_rejected_since(ENDPOINT, 100), eq(true));
    assert_that!(limits.has_rejected_since(ENDPOINT, 101), eq(false));
}

/// Guards against hosts that meet at an endpoint with free slots that each of them counts on.
#[test]
fn rejection_limit_leaves_each_host_its_own_slots_after_a_failure() {
    let mut limits = limited(10);
    let of_host = |local_load: u32, own_slots: u32| LimitedLoad {
        local_load,
        own_slots,
        ..load(local_load, 3)
    };
    assert_that!(limits.accepts(ENDPOINT, &of_host(4, 2), 0), eq(true));
    limits.record_failure(ENDPOINT, 0);
    for (local_load, own_slots, accepts) in
        [(0, 0, false), (0, 1, true), (1, 1, false), (1, 2, true)]
    {
        let load = of_host(local_load, own_slots);
        let message = format!("{local_load} on {own_slots}");
        assert_that!(
            limits.accepts(ENDPOINT, &load, 3_999),
            eq(accepts),
            "{message}"
        );
    }
    assert_that!(limits.accepts(ENDPOINT, &of_host(4, 2), 4_000), eq(true));
}

/// Guards against hosts that agree on more slots than there are, or leave some idle.
#[test]
fn own_slots_of_all_hosts_are_the_slots() {
    for hosts in [1, 2, 3, 8, 62] {
        let all: Vec<MemberHash> = (0..hosts)
            .map(|host| MemberHash::of(&format!("host-{host}")))
            .collect();
        for (endpoint, slots) in [(1, 4), (2, 4), (3, 6), (4, 64)] {
            let of_host = |local: &MemberHash| {
                let others = all.iter().filter(|other| *other != local);
                let others: Vec<MemberHash> = others.copied().collect();
                own_slots(endpoint, slots, *local, &others)
            };
            let total: u32 = all.iter().map(of_host).sum();
            assert_that!(total, eq(slots), "{hosts} hosts, {slots} slots");
        }
    }
}

/// Guards against hosts without requests at an endpoint that meet there unprepared, and
/// against limits that hosts keep alive among themselves.
#[test]
fn rejection_limit_is_reported_until_the_endpoint_ends_it() {
    let mut first = limited(5);
    let mut second = RejectionLimits::default();
    let report = first.reports(8, 100);
    let expected = LimitReport {
        endpoint: ENDPOINT,
        per_s: 5,
        age_ms: 100,
    };
    assert_that!(report, elements_are![eq(&expected)]);
    assert_that!(second.merge(&report[0], 1_000), eq(true));
    assert_that!(second.merge(&report[0], 1_000), eq(false));
    assert_that!(second.is_limited(ENDPOINT, 1_000), eq(true));
    // The age is that of the endpoint's answer, however often the report is passed on.
    assert_that!(second.reports(8, 2_000)[0].age_ms, eq(1_100));
    assert_that!(second.is_limited(ENDPOINT, 10_900), eq(false));
    first.record_answer(ENDPOINT, None, 3_000);
    assert_that!(first.merge(&second.reports(8, 3_000)[0], 3_000), eq(false));
    assert_that!(first.is_limited(ENDPOINT, 3_000), eq(false));
    let later = LimitReport {
        age_ms: 0,
        ..expected
    };
    assert_that!(first.merge(&later, 3_001), eq(true));
}
