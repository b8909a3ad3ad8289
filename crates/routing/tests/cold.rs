//! Limits on what all hosts together send to a cold endpoint.

use chalkrock_core::rendezvous::MemberHash;
use chalkrock_routing::{ColdBound, ColdEndpoints, ColdShare};
use googletest::prelude::*;
use proptest::prelude::*;

const ENDPOINT: u32 = 7;
const COLD_MS: u64 = 8_000;

fn bound(overshoot: f64, slack: f64) -> ColdBound {
    ColdBound { overshoot, slack }
}

fn hosts(count: usize) -> Vec<MemberHash> {
    let names = (0..count).map(|i| format!("10.0.{}.{}:7340", i / 250, i % 250));
    names.map(|name| MemberHash::of(&name)).collect()
}

/// A host that knows an endpoint which is cold from time 0 on.
fn host(bound: ColdBound, local: MemberHash, known: Vec<MemberHash>) -> ColdEndpoints {
    let mut cold = ColdEndpoints::new(Some(bound));
    cold.set_hosts(local, known, false);
    cold.record_report(ENDPOINT, COLD_MS, 0);
    cold
}

/// Guards against reducing the slots of a cold endpoint, or withdrawing its requests,
/// where operators set no bound.
#[test]
fn endpoint_is_bounded_only_where_operators_set_a_bound() {
    let bound = ColdBound {
        overshoot: 1.5,
        slack: 5.0,
    };
    let cases = [
        ("no bound", None, 2.0, false),
        ("sustains any rate", Some(bound), 0.0, false),
        ("bound", Some(bound), 2.0, true),
    ];
    for (case, bound, sustained_per_s, expected) in cases {
        let mut cold = ColdEndpoints::new(bound);
        cold.record_report(7, 3_000, 0);
        assert_that!(
            cold.is_bounded(7, sustained_per_s, 10),
            eq(expected),
            "{case}"
        );
        assert_that!(cold.is_bounded(8, sustained_per_s, 10), eq(false), "{case}");
        assert_that!(
            cold.is_bounded(7, sustained_per_s, 3_000),
            eq(false),
            "{case}"
        );
    }
}

#[test]
fn cold_share_splits_the_rate_among_the_senders_that_the_bound_allows() {
    let cases = [
        // sustained rate, bound, hosts of the zone, senders, total rate
        (13.0, bound(1.5, 5.0), 2, 2, 13.0),
        (13.0, bound(1.5, 5.0), 16, 16, 13.0),
        (13.0, bound(1.5, 5.0), 75, 17, 13.0),
        (4.0, bound(1.5, 5.0), 16, 8, 4.0),
        (2.0, bound(1.5, 5.0), 16, 5, 2.0),
        (2.0, bound(1.5, 1.0), 16, 2, 2.0),
        (30.0, bound(1.5, 5.0), 16, 16, 30.0),
        (30.0, bound(1.5, 5.0), 1, 1, 25.0),
    ];
    for (sustained_per_s, bound, hosts, senders, rate) in cases {
        let share = ColdShare::new(&bound, sustained_per_s, hosts);
        let case = format!("{sustained_per_s} a second, {bound:?}, {hosts} hosts");
        assert_that!(share.senders, eq(senders), "{case}");
        assert_that!(share.per_s * senders as f64, approx_eq(rate), "{case}");
    }
}

#[test]
fn cold_share_is_zero_if_the_bound_allows_no_second_sender() {
    let share = ColdShare::new(&bound(1.0, 0.5), 1.0, 16);
    assert_that!(share.per_s, eq(0.0));
}

#[test]
fn may_send_is_false_for_hosts_that_must_not_send() {
    let local = hosts(3)[0];
    let knowing = |known: Vec<MemberHash>| host(bound(1.5, 5.0), local, known);
    let cases = [
        ("it knows no hosts", knowing(Vec::new()), true, false),
        ("it is in another zone", knowing(hosts(3)), false, false),
        ("it is a sender", knowing(hosts(3)), true, true),
    ];
    for (name, cold, is_same_zone, expected) in cases {
        assert_that!(
            cold.may_send(ENDPOINT, 13.0, is_same_zone, 10),
            eq(expected),
            "{name}"
        );
    }
}

#[test]
fn endpoint_is_cold_while_reported_or_presumed() {
    let local = hosts(1)[0];
    let mut cold = host(bound(1.5, 5.0), local, vec![local]);
    assert_that!(cold.is_cold(ENDPOINT, COLD_MS - 1), eq(true));
    assert_that!(cold.is_cold(ENDPOINT, COLD_MS), eq(false));
    cold.record_report(ENDPOINT, 500, 1_000);
    assert_that!(cold.remaining_ms(ENDPOINT, 1_100), eq(400));
    cold.record_report(ENDPOINT, 0, 1_200);
    assert_that!(cold.is_cold(ENDPOINT, 1_200), eq(false));
    cold.presume_cold(8, 3_000, 1_000);
    assert_that!(cold.remaining_ms(8, 2_000), eq(2_000));
    cold.record_report(8, 0, 2_000);
    assert_that!(
        cold.remaining_ms(8, 2_000),
        eq(2_000),
        "a report of 0 does not end the presumption"
    );
    cold.record_report(8, 700, 2_100);
    assert_that!(cold.remaining_ms(8, 2_100), eq(700));
}

#[test]
fn endpoint_that_reported_recently_is_not_presumed_cold() {
    let local = hosts(1)[0];
    let mut cold = host(bound(1.5, 5.0), local, vec![local]);
    cold.expire(COLD_MS + 100);
    cold.presume_cold(ENDPOINT, 3_000, COLD_MS + 200);
    assert_that!(cold.is_cold(ENDPOINT, COLD_MS + 300), eq(false));
    cold.expire(COLD_MS + 60_000);
    assert_that!(cold.is_empty(), eq(true));
    cold.presume_cold(ENDPOINT, 3_000, COLD_MS + 60_000);
    assert_that!(cold.is_cold(ENDPOINT, COLD_MS + 60_100), eq(true));
}

#[test]
fn endpoint_that_sustains_any_rate_is_not_bounded() {
    let local = hosts(1)[0];
    let without_bound = {
        let mut cold = ColdEndpoints::new(None);
        cold.record_report(ENDPOINT, COLD_MS, 0);
        cold
    };
    let with_bound = host(bound(1.5, 5.0), local, Vec::new());
    assert_that!(without_bound.may_send(ENDPOINT, 13.0, false, 10), eq(true));
    assert_that!(with_bound.may_send(ENDPOINT, 0.0, false, 10), eq(true));
}

/// Maximum number of arrivals in any second; times are sorted.
fn max_per_second(times_ms: &[u64]) -> usize {
    let count_from = |from: &u64| {
        let last = times_ms.partition_point(|time| *time < from + 1_000);
        last - times_ms.partition_point(|time| time < from)
    };
    times_ms.iter().map(count_from).max().unwrap_or(0)
}

/// Restarting hosts and the times of their restarts.
type Restarts = Vec<(prop::sample::Index, u64)>;

/// Simulates hosts that always have a request for the endpoint. New ones know only one
/// other host; restarted ones may send again after `SETTLE_MS`.
fn simulate_senders(
    bound: ColdBound,
    sustained_per_s: f64,
    count: usize,
    new_hosts: &[(prop::sample::Index, prop::sample::Index)],
    restarts: &Restarts,
) -> Vec<u64> {
    const STEP_MS: u64 = 5;
    const SETTLE_MS: u64 = 1_500;
    let all = hosts(count);
    let mut fleet: Vec<ColdEndpoints> = all
        .iter()
        .map(|local| host(bound, *local, all.clone()))
        .collect();
    for (new_host, other) in new_hosts {
        let local = all[new_host.index(count)];
        let known = vec![local, all[other.index(count)]];
        fleet[new_host.index(count)].set_hosts(local, known, true);
    }
    let mut sent = Vec::new();
    for now_ms in (0..COLD_MS).step_by(STEP_MS as usize) {
        for (i, cold) in fleet.iter_mut().enumerate() {
            for (_, at_ms) in restarts.iter().filter(|(host, _)| host.index(count) == i) {
                let at_ms = at_ms / STEP_MS * STEP_MS;
                if now_ms == at_ms {
                    *cold = host(bound, all[i], Vec::new());
                } else if now_ms == at_ms + SETTLE_MS {
                    cold.set_hosts(all[i], all.clone(), true);
                }
            }
            if cold.may_send(ENDPOINT, sustained_per_s, true, now_ms) {
                cold.record_sent(ENDPOINT, now_ms);
                sent.push(now_ms);
            }
        }
    }
    sent
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 24,
        rng_seed: proptest::test_runner::RngSeed::Fixed(7),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against exceeding the bound when hosts are new or restart.
    #[test]
    fn hosts_stay_within_the_bound_together(
        sustained_per_s in prop::sample::select(vec![1.0, 2.0, 4.0, 13.0, 30.0]),
        slack in prop::sample::select(vec![1.0, 2.0, 5.0]),
        count in 1..70_usize,
        new_hosts in prop::collection::vec(
            any::<(prop::sample::Index, prop::sample::Index)>(), 0..4),
        restarts in prop::collection::vec((any::<prop::sample::Index>(), 0..COLD_MS), 0..6),
    ) {
        let bound = bound(1.5, slack);
        // The share allows for no more new hosts.
        let share = ColdShare::new(&bound, sustained_per_s, count);
        let new_hosts = &new_hosts[..new_hosts.len().min(1 + share.senders / 3)];
        let sent = simulate_senders(bound, sustained_per_s, count, new_hosts, &restarts);
        let max = (1.5 * sustained_per_s + slack).floor() as usize;
        prop_assert!(max_per_second(&sent) <= max, "{} of {max}", max_per_second(&sent));
    }
}

/// Guards against large shares of new hosts, which exceed the bound together.
#[test]
fn new_host_takes_no_larger_share() {
    let all = hosts(11);
    let bound = bound(1.5, 1.0);
    let may_send_as = |is_new: bool| {
        let mut cold = host(bound, all[0], Vec::new());
        cold.set_hosts(all[0], vec![all[0], all[1]], is_new);
        cold.record_sent(ENDPOINT, 0);
        cold.may_send(ENDPOINT, 4.0, true, 600)
    };
    assert_that!(may_send_as(false), eq(true));
    assert_that!(may_send_as(true), eq(false));
}

/// Guards against sending far less than the endpoint sustains.
#[test]
fn hosts_use_the_sustained_rate() {
    for (sustained_per_s, count) in [
        (2.0, 16),
        (4.0, 16),
        (13.0, 2),
        (13.0, 16),
        (13.0, 75),
        (30.0, 16),
    ] {
        let sent = simulate_senders(bound(1.5, 5.0), sustained_per_s, count, &[], &Vec::new());
        let rate = sent.len() as f64 / (COLD_MS as f64 / 1_000.0);
        assert_that!(
            rate,
            all![ge(0.9 * sustained_per_s), le(1.5 * sustained_per_s + 1.0)],
            "{sustained_per_s}, {count} hosts"
        );
    }
}

/// A report of a time that no clock reaches must not overflow.
#[test]
fn record_report_takes_any_time() {
    let mut cold = ColdEndpoints::new(None);
    cold.record_report(7, u64::MAX, 1_000);
    cold.presume_cold(8, u64::MAX, 1_000);
    cold.expire(2_000);
    assert_that!(cold.is_cold(7, 2_000) && cold.is_cold(8, 2_000), eq(true));
}
