//! What hosts send to a cold endpoint together.

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

/// A host that knows of an endpoint that is cold from time 0 on.
fn host(bound: ColdBound, own: MemberHash, known: Vec<MemberHash>) -> ColdEndpoints {
    let mut cold = ColdEndpoints::new(Some(bound));
    cold.set_hosts(own, known, false);
    cold.record_report(ENDPOINT, COLD_MS, 0);
    cold
}

/// Where operators set no bound, an endpoint that says it is cold was counted with fewer
/// places than it has, and a request for it taken back if its connection opened slowly:
/// only what may be sent asked for the bound.
#[test]
fn endpoint_is_bounded_only_where_operators_set_a_bound() {
    let bound = ColdBound {
        overshoot: 1.5,
        slack: 5.0,
    };
    let cases = [
        ("no bound", None, 2.0, false),
        ("bears any number", Some(bound), 0.0, false),
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
fn share_gives_all_of_the_rate_to_as_many_hosts_as_the_bound_bears() {
    let cases = [
        // bears, bound, hosts of the zone, senders, rate of all
        (13.0, bound(1.5, 5.0), 2, 2, 13.0),
        (13.0, bound(1.5, 5.0), 16, 16, 13.0),
        (13.0, bound(1.5, 5.0), 75, 17, 13.0),
        (4.0, bound(1.5, 5.0), 16, 8, 4.0),
        (2.0, bound(1.5, 5.0), 16, 5, 2.0),
        (2.0, bound(1.5, 1.0), 16, 2, 2.0),
        (30.0, bound(1.5, 5.0), 16, 16, 30.0),
        (30.0, bound(1.5, 5.0), 1, 1, 25.0),
    ];
    for (bears, bound, hosts, senders, rate) in cases {
        let share = ColdShare::new(&bound, bears, hosts);
        let told = format!("{bears} a second, {bound:?}, {hosts} hosts");
        assert_that!(share.senders, eq(senders), "{told}");
        assert_that!(share.per_s * senders as f64, approx_eq(rate), "{told}");
    }
}

#[test]
fn share_is_none_where_the_bound_bears_no_second_sender() {
    let share = ColdShare::new(&bound(1.0, 0.5), 1.0, 16);
    assert_that!(share.per_s, eq(0.0));
}

#[test]
fn host_that_must_not_send_sends_nothing() {
    let own = hosts(3)[0];
    let one = |known: Vec<MemberHash>| host(bound(1.5, 5.0), own, known);
    let cases = [
        ("it knows no one", one(Vec::new()), true, false),
        ("it is not of the zone", one(hosts(3)), false, false),
        ("it is a sender", one(hosts(3)), true, true),
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
fn endpoint_is_cold_for_as_long_as_it_says_or_may_be() {
    let own = hosts(1)[0];
    let mut cold = host(bound(1.5, 5.0), own, vec![own]);
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
        "an entry from before says nothing"
    );
    cold.record_report(8, 700, 2_100);
    assert_that!(cold.remaining_ms(8, 2_100), eq(700));
}

#[test]
fn endpoint_that_told_of_late_is_not_doubted() {
    let own = hosts(1)[0];
    let mut cold = host(bound(1.5, 5.0), own, vec![own]);
    cold.expire(COLD_MS + 100);
    cold.presume_cold(ENDPOINT, 3_000, COLD_MS + 200);
    assert_that!(cold.is_cold(ENDPOINT, COLD_MS + 300), eq(false));
    cold.expire(COLD_MS + 60_000);
    assert_that!(cold.is_empty(), eq(true));
    cold.presume_cold(ENDPOINT, 3_000, COLD_MS + 60_000);
    assert_that!(cold.is_cold(ENDPOINT, COLD_MS + 60_100), eq(true));
}

#[test]
fn endpoint_that_bears_any_number_is_not_bounded() {
    let own = hosts(1)[0];
    let without = {
        let mut cold = ColdEndpoints::new(None);
        cold.record_report(ENDPOINT, COLD_MS, 0);
        cold
    };
    let with = host(bound(1.5, 5.0), own, Vec::new());
    assert_that!(without.may_send(ENDPOINT, 13.0, false, 10), eq(true));
    assert_that!(with.may_send(ENDPOINT, 0.0, false, 10), eq(true));
}

/// The most arrivals in any second, of times in order.
fn most_in_a_second(times_ms: &[u64]) -> usize {
    let within = |from: &u64| {
        let last = times_ms.partition_point(|time| *time < from + 1_000);
        last - times_ms.partition_point(|time| time < from)
    };
    times_ms.iter().map(within).max().unwrap_or(0)
}

/// Restarts of hosts: which, and when.
type Restarts = Vec<(prop::sample::Index, u64)>;

/// Hosts that all have a request for the endpoint at any moment. Some are new and
/// know only one other; some restart, and may send again 1.5 s later.
fn send_all(
    bound: ColdBound,
    bears: f64,
    count: usize,
    strays: &[(prop::sample::Index, prop::sample::Index)],
    restarts: &Restarts,
) -> Vec<u64> {
    const STEP_MS: u64 = 5;
    const SETTLED_AFTER_MS: u64 = 1_500;
    let all = hosts(count);
    let mut fleet: Vec<ColdEndpoints> = all
        .iter()
        .map(|own| host(bound, *own, all.clone()))
        .collect();
    for (stray, other) in strays {
        let own = all[stray.index(count)];
        let known = vec![own, all[other.index(count)]];
        fleet[stray.index(count)].set_hosts(own, known, true);
    }
    let mut sent = Vec::new();
    for now_ms in (0..COLD_MS).step_by(STEP_MS as usize) {
        for (i, cold) in fleet.iter_mut().enumerate() {
            for (_, at_ms) in restarts.iter().filter(|(host, _)| host.index(count) == i) {
                let at_ms = at_ms / STEP_MS * STEP_MS;
                if now_ms == at_ms {
                    *cold = host(bound, all[i], Vec::new());
                } else if now_ms == at_ms + SETTLED_AFTER_MS {
                    cold.set_hosts(all[i], all.clone(), true);
                }
            }
            if cold.may_send(ENDPOINT, bears, true, now_ms) {
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

    /// Over hosts of which some are new and know only one other, and which restart
    /// at any time, an endpoint never gets more than the bound in any second.
    #[test]
    fn hosts_keep_the_bound_together(
        bears in prop::sample::select(vec![1.0, 2.0, 4.0, 13.0, 30.0]),
        slack in prop::sample::select(vec![1.0, 2.0, 5.0]),
        count in 1..70_usize,
        strays in prop::collection::vec(any::<(prop::sample::Index, prop::sample::Index)>(), 0..4),
        restarts in prop::collection::vec((any::<prop::sample::Index>(), 0..COLD_MS), 0..6),
    ) {
        let bound = bound(1.5, slack);
        // As many as a share leaves room for.
        let share = ColdShare::new(&bound, bears, count);
        let strays = &strays[..strays.len().min(1 + share.senders / 3)];
        let sent = send_all(bound, bears, count, strays, &restarts);
        let most = (1.5 * bears + slack).floor() as usize;
        prop_assert!(most_in_a_second(&sent) <= most, "{} of {most}", most_in_a_second(&sent));
    }
}

/// Of eleven hosts two are new and know one other each: with shares for two hosts
/// they would take two requests a second each in place of one, nine in all where
/// seven are allowed.
#[test]
fn new_host_takes_no_larger_share_for_knowing_fewer_others() {
    let all = hosts(11);
    let bound = bound(1.5, 1.0);
    let new = |is_new: bool| {
        let mut cold = host(bound, all[0], Vec::new());
        cold.set_hosts(all[0], vec![all[0], all[1]], is_new);
        cold.record_sent(ENDPOINT, 0);
        cold.may_send(ENDPOINT, 4.0, true, 600)
    };
    assert_that!(new(false), eq(true));
    assert_that!(new(true), eq(false));
}

/// Where nothing goes wrong the endpoint gets nearly all that it bears.
#[test]
fn hosts_use_what_the_endpoint_bears() {
    for (bears, count) in [
        (2.0, 16),
        (4.0, 16),
        (13.0, 2),
        (13.0, 16),
        (13.0, 75),
        (30.0, 16),
    ] {
        let sent = send_all(bound(1.5, 5.0), bears, count, &[], &Vec::new());
        let rate = sent.len() as f64 / (COLD_MS as f64 / 1_000.0);
        assert_that!(
            rate,
            all![ge(0.9 * bears), le(1.5 * bears + 1.0)],
            "{bears}, {count} hosts"
        );
    }
}
