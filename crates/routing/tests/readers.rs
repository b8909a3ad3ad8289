//! Choice of store subscribers and relays in small, large, partitioned and failing fleets.

use chalkrock_core::rendezvous::MemberHash;
use chalkrock_routing::{
    LastHeard, SubscriptionRole, ZonePeer, ZoneView, stale_poll_fraction, subscribers_needed,
};
use googletest::prelude::*;

const ZONES: usize = 4;

fn zone(count: usize) -> Vec<ZonePeer> {
    let host = |i: usize| ZonePeer {
        hash: MemberHash::of(&format!("host-{i}")),
        role: SubscriptionRole::Answered,
        capacity_millicores: 120,
    };
    (0..count).map(host).collect()
}

/// Hosts of a zone that match, if each receives reports of the others and all zones are
/// as large.
fn select(hosts: &[ZonePeer], matches: impl Fn(&ZoneView<'_>, &ZonePeer) -> bool) -> Vec<usize> {
    let is_selected = |i: usize| {
        let mut others = hosts.to_vec();
        let local = others.remove(i);
        let view = ZoneView {
            others: &others,
            hosts: hosts.len() * ZONES,
            zones: ZONES,
        };
        matches(&view, &local)
    };
    (0..hosts.len()).filter(|&i| is_selected(i)).collect()
}

fn subscribers(hosts: &[ZonePeer]) -> Vec<usize> {
    select(hosts, |view, local| view.is_subscriber(local))
}

fn relays(hosts: &[ZonePeer]) -> Vec<usize> {
    select(hosts, |view, local| view.relay_rank(local).is_some())
}

/// Subscribers of a small fleet, whose hosts all receive reports of each other.
fn subscribers_of_small_fleet(hosts: &[ZonePeer]) -> Vec<usize> {
    let subscribes = |i: usize| {
        let mut others = hosts.to_vec();
        let local = others.remove(i);
        let view = ZoneView {
            others: &others,
            hosts: hosts.len(),
            zones: 1,
        };
        view.is_subscriber(&local)
    };
    (0..hosts.len()).filter(|&i| subscribes(i)).collect()
}

#[test]
fn subscribers_are_three_in_a_small_fleet() {
    for count in 1..=12 {
        let found = subscribers_of_small_fleet(&zone(count)).len();
        assert_that!(found, eq(count.min(3)), "{count} hosts");
    }
}

#[test]
fn subscribers_of_a_small_fleet_are_replaced_when_rejected() {
    let mut hosts = zone(8);
    for rejected in 1..=3 {
        let first = subscribers_of_small_fleet(&hosts);
        let answered = |i: &&usize| hosts[**i].role == SubscriptionRole::Answered;
        let next = *first.iter().find(answered).expect("one is answered");
        hosts[next].role = SubscriptionRole::Unanswered;
        let after = subscribers_of_small_fleet(&hosts);
        let answered = |i: &&usize| hosts[**i].role == SubscriptionRole::Answered;
        let remaining = after.iter().filter(answered).count();
        assert_that!(remaining, ge(3), "{rejected} rejected");
    }
}

#[test]
fn subscribers_of_a_small_fleet_are_all_when_none_is_answered() {
    let mut hosts = zone(8);
    hosts
        .iter_mut()
        .for_each(|host| host.role = SubscriptionRole::Unanswered);
    assert_that!(subscribers_of_small_fleet(&hosts).len(), eq(8));
}

#[test]
fn subscribers_are_few_in_a_large_fleet() {
    for (count, expected) in [(4, 1), (16, 1), (25, 1), (93, 2)] {
        assert_that!(
            subscribers(&zone(count)).len(),
            eq(expected),
            "{count} per zone"
        );
    }
    assert_that!(subscribers_needed(12), eq(3));
    assert_that!(subscribers_needed(62), eq(4));
    assert_that!(subscribers_needed(370), eq(8));
}

#[test]
fn subscribers_are_replaced_when_removed() {
    let mut hosts = zone(20);
    while hosts.len() > 4 {
        let found = subscribers(&hosts);
        assert_that!(found.len(), eq(1), "{} left", hosts.len());
        hosts.remove(found[0]);
    }
}

#[test]
fn subscribers_are_replaced_when_unanswered() {
    let mut hosts = zone(20);
    let first = subscribers(&hosts);
    hosts[first[0]].role = SubscriptionRole::Unanswered;
    let after = subscribers(&hosts);
    let answered = after
        .iter()
        .filter(|i| hosts[**i].role == SubscriptionRole::Answered);
    assert_that!(answered.count(), ge(1));
}

#[test]
fn subscribers_stay_while_no_stronger_hosts_join() {
    let mut hosts = zone(20);
    let first = subscribers(&hosts)[0];
    let others = hosts.iter_mut().enumerate().filter(|(i, _)| *i != first);
    others.for_each(|(_, host)| host.role = SubscriptionRole::No);
    let others_subscribe = |hosts: &[ZonePeer]| subscribers(hosts) != [first];
    assert_that!(others_subscribe(&hosts), eq(false));
    for i in 20..200 {
        hosts.push(ZonePeer {
            hash: MemberHash::of(&format!("host-{i}")),
            role: SubscriptionRole::No,
            ..hosts[first]
        });
        let needed = subscribers_needed(hosts.len() * ZONES).div_ceil(ZONES);
        let found = subscribers(&hosts);
        assert_that!(found.len(), eq(needed), "{i}");
        assert_that!(found.contains(&first), eq(true), "{i}");
        for subscriber in found {
            hosts[subscriber].role = SubscriptionRole::Answered;
        }
    }
    hosts[30].capacity_millicores = 500;
    assert_that!(subscribers(&hosts).contains(&30), eq(true));
}

/// Guards against waiting for unanswered subscribers while another host is answered.
#[test]
fn subscribers_double_when_none_is_answered() {
    const MAX_SUBSCRIBERS: usize = 4;
    for count in [1, 2, 3, 20, 93] {
        let mut hosts = zone(count);
        hosts
            .iter_mut()
            .for_each(|host| host.role = SubscriptionRole::No);
        let mut before = 0;
        while before < count.min(MAX_SUBSCRIBERS) {
            let found = subscribers(&hosts);
            let expected = (2 * before).max(1).min(count).min(MAX_SUBSCRIBERS);
            assert_that!(found.len(), ge(expected), "{before} of {count}");
            for subscriber in &found {
                hosts[*subscriber].role = SubscriptionRole::Unanswered;
            }
            before = found.len();
        }
        assert_that!(
            subscribers(&hosts).len(),
            eq(count.min(MAX_SUBSCRIBERS)),
            "{count}"
        );
    }
}

#[test]
fn subscribers_are_reduced_when_one_is_answered_again() {
    let mut hosts = zone(20);
    hosts
        .iter_mut()
        .for_each(|host| host.role = SubscriptionRole::Unanswered);
    assert_that!(subscribers(&hosts).len(), eq(4));
    hosts[7].role = SubscriptionRole::Answered;
    let after = subscribers(&hosts);
    assert_that!(after.contains(&7), eq(true));
    for (i, host) in hosts.iter_mut().enumerate().filter(|(i, _)| *i != 7) {
        host.role = SubscriptionRole::No;
        assert_that!(after.len(), le(4), "{i}");
    }
    assert_that!(subscribers(&hosts), elements_are![eq(&7)]);
}

#[test]
fn stale_poll_fraction_is_one_in_a_small_fleet_and_low_in_a_large_one() {
    for hosts in 1..=12 {
        assert_that!(stale_poll_fraction(hosts), eq(1.0));
    }
    for hosts in [13, 62, 295, 1_000] {
        let polls = stale_poll_fraction(hosts) * hosts as f64;
        assert_that!(polls, near(0.25, 1e-9), "{hosts}");
    }
}

#[test]
fn subscribers_and_relays_exist_on_both_sides_of_a_partition() {
    let hosts = zone(20);
    for side in [&hosts[..6], &hosts[6..], &hosts[..1]] {
        assert_that!(subscribers(side).is_empty(), eq(false));
        assert_that!(relays(side).len(), eq(side.len().min(2)));
    }
}

#[test]
fn relays_are_two_per_zone() {
    for count in [1, 2, 3, 20, 93] {
        assert_that!(relays(&zone(count)).len(), eq(count.min(2)));
    }
}

#[test]
fn relay_ranks_are_distinct() {
    let hosts = zone(20);
    let with_rank = |rank| select(&hosts, |view, local| view.relay_rank(local) == Some(rank));
    assert_that!(with_rank(0).len(), eq(1));
    assert_that!(with_rank(1).len(), eq(1));
    assert_that!(with_rank(0), not(eq(&with_rank(1))));
}

#[test]
fn subscribers_and_relays_are_strong_hosts() {
    let mut hosts = zone(20);
    let strong = [3, 11, 17];
    for i in strong {
        hosts[i].capacity_millicores = 500;
    }
    let is_strong = |i: &usize| strong.contains(i);
    assert_that!(relays(&hosts).iter().all(is_strong), eq(true));
    assert_that!(subscribers(&hosts).iter().all(is_strong), eq(true));
    // The last strong host still ranks first.
    hosts.remove(17);
    hosts.remove(11);
    assert_that!(relays(&hosts).contains(&3), eq(true));
    assert_that!(subscribers(&hosts), elements_are![eq(&3)]);
}

#[test]
fn uses_relays_has_hysteresis() {
    let uses_relays = |count: usize, was_relayed: bool| {
        let others = zone(count - 1);
        let view = ZoneView {
            others: &others,
            hosts: count,
            zones: 1,
        };
        view.uses_relays(was_relayed)
    };
    for (count, before, expected) in [
        (12, true, false),
        (17, true, false),
        (18, true, true),
        (23, false, false),
        (23, true, true),
        (24, false, true),
        (166, false, true),
    ] {
        assert_that!(
            uses_relays(count, before),
            eq(expected),
            "{count} hosts, {before}"
        );
    }
}

/// Guards against a relay that dies and counts as up for four to six seconds, since its own
/// summaries and the other relay list it: nobody takes its place meanwhile.
#[test]
fn is_silent_two_seconds_after_a_relay_dies() {
    /// A host receives the standby relay's summary in each third round, and this relay lists
    /// the dead one until it has missed it for two seconds.
    const STANDBY_MS: u64 = 600;
    const LISTED_UNTIL_MS: u64 = 2_200;
    for aggregate_before_ms in [0, STANDBY_MS] {
        for ago_ms in [0, 1_000, 2_000, 2_001, 3_000, 4_000, 6_000, 10_000] {
            let relay = LastHeard {
                received_ago_ms: Some(ago_ms),
                listed_ago_ms: Some(ago_ms.saturating_sub(LISTED_UNTIL_MS)),
                aggregate_ago_ms: Some(ago_ms + aggregate_before_ms),
            };
            assert_that!(relay.is_silent(), eq(ago_ms > 2_000), "{ago_ms}");
        }
    }
}

/// Guards against a live host that counts as down for good after it was a relay.
#[test]
fn is_silent_is_false_for_a_listed_host_that_is_no_relay_any_more() {
    for aggregate_ago_ms in [None, Some(6_001), Some(60_000)] {
        let host = LastHeard {
            received_ago_ms: Some(5_000),
            listed_ago_ms: Some(3_000),
            aggregate_ago_ms,
        };
        assert_that!(host.is_silent(), eq(false), "{aggregate_ago_ms:?}");
    }
}
