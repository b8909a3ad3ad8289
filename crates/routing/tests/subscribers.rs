//! Who reads the platform and who relays, in fleets that are small, large, cut
//! or troubled.

use chalkrock_core::rendezvous::MemberHash;
use chalkrock_routing::{
    SubscriptionRole, ZonePeer, ZoneView, stale_poll_fraction, subscribers_needed,
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

/// The hosts of a zone for which something holds, if each hears the others and
/// the other zones are as large.
fn those_who(hosts: &[ZonePeer], holds: impl Fn(&ZoneView<'_>, &ZonePeer) -> bool) -> Vec<usize> {
    let of = |i: usize| {
        let mut others = hosts.to_vec();
        let own = others.remove(i);
        let view = ZoneView {
            others: &others,
            hosts: hosts.len() * ZONES,
            zones: ZONES,
        };
        holds(&view, &own)
    };
    (0..hosts.len()).filter(|&i| of(i)).collect()
}

fn readers(hosts: &[ZonePeer]) -> Vec<usize> {
    those_who(hosts, |view, own| view.is_subscriber(own))
}

fn relays(hosts: &[ZonePeer]) -> Vec<usize> {
    those_who(hosts, |view, own| view.relay_rank(own).is_some())
}

/// The readers of a small fleet, whose hosts all hear each other.
fn readers_of_small(hosts: &[ZonePeer]) -> Vec<usize> {
    let reads = |i: usize| {
        let mut others = hosts.to_vec();
        let own = others.remove(i);
        let view = ZoneView {
            others: &others,
            hosts: hosts.len(),
            zones: 1,
        };
        view.is_subscriber(&own)
    };
    (0..hosts.len()).filter(|&i| reads(i)).collect()
}

#[test]
fn readers_are_three_of_a_small_fleet() {
    for count in 1..=12 {
        let found = readers_of_small(&zone(count)).len();
        assert_that!(found, eq(count.min(3)), "{count} hosts");
    }
}

#[test]
fn readers_of_a_small_fleet_are_replaced_when_they_are_turned_away() {
    let mut hosts = zone(8);
    for turned_away in 1..=3 {
        let first = readers_of_small(&hosts);
        let answered = |i: &&usize| hosts[**i].role == SubscriptionRole::Answered;
        let next = *first.iter().find(answered).expect("one is answered");
        hosts[next].role = SubscriptionRole::Unanswered;
        let then = readers_of_small(&hosts);
        let answered = |i: &&usize| hosts[**i].role == SubscriptionRole::Answered;
        let left = then.iter().filter(answered).count();
        assert_that!(left, ge(3), "{turned_away} turned away");
    }
}

#[test]
fn readers_of_a_small_fleet_are_all_when_no_one_is_answered() {
    let mut hosts = zone(8);
    hosts
        .iter_mut()
        .for_each(|host| host.role = SubscriptionRole::Unanswered);
    assert_that!(readers_of_small(&hosts).len(), eq(8));
}

#[test]
fn readers_are_a_few_of_a_large_fleet() {
    for (count, expected) in [(4, 1), (16, 1), (25, 1), (93, 2)] {
        assert_that!(readers(&zone(count)).len(), eq(expected), "{count} a zone");
    }
    assert_that!(subscribers_needed(12), eq(3));
    assert_that!(subscribers_needed(62), eq(4));
    assert_that!(subscribers_needed(370), eq(8));
}

#[test]
fn readers_that_are_gone_are_replaced() {
    let mut hosts = zone(20);
    while hosts.len() > 4 {
        let found = readers(&hosts);
        assert_that!(found.len(), eq(1), "{} left", hosts.len());
        hosts.remove(found[0]);
    }
}

#[test]
fn readers_that_are_not_answered_are_replaced() {
    let mut hosts = zone(20);
    let first = readers(&hosts);
    hosts[first[0]].role = SubscriptionRole::Unanswered;
    let then = readers(&hosts);
    let answered = then
        .iter()
        .filter(|i| hosts[**i].role == SubscriptionRole::Answered);
    assert_that!(answered.count(), ge(1));
}

#[test]
fn readers_stay_while_hosts_come_that_are_no_stronger() {
    let mut hosts = zone(20);
    let first = readers(&hosts)[0];
    let others = hosts.iter_mut().enumerate().filter(|(i, _)| *i != first);
    others.for_each(|(_, host)| host.role = SubscriptionRole::No);
    let others_read = |hosts: &[ZonePeer]| readers(hosts) != [first];
    assert_that!(others_read(&hosts), eq(false));
    for i in 20..200 {
        hosts.push(ZonePeer {
            hash: MemberHash::of(&format!("host-{i}")),
            role: SubscriptionRole::No,
            ..hosts[first]
        });
        let wanted = subscribers_needed(hosts.len() * ZONES).div_ceil(ZONES);
        let found = readers(&hosts);
        assert_that!(found.len(), eq(wanted), "{i}");
        assert_that!(found.contains(&first), eq(true), "{i}");
        for reader in found {
            hosts[reader].role = SubscriptionRole::Answered;
        }
    }
    hosts[30].capacity_millicores = 500;
    assert_that!(readers(&hosts).contains(&30), eq(true));
}

/// Readers that no one answers are joined by as many again, up to four: it may
/// be that only one of them would be answered.
#[test]
fn readers_double_when_no_one_is_answered() {
    const MOST: usize = 4;
    for count in [1, 2, 3, 20, 93] {
        let mut hosts = zone(count);
        hosts
            .iter_mut()
            .for_each(|host| host.role = SubscriptionRole::No);
        let mut before = 0;
        while before < count.min(MOST) {
            let found = readers(&hosts);
            let expected = (2 * before).max(1).min(count).min(MOST);
            assert_that!(found.len(), ge(expected), "{before} of {count}");
            for reader in &found {
                hosts[*reader].role = SubscriptionRole::Unanswered;
            }
            before = found.len();
        }
        assert_that!(readers(&hosts).len(), eq(count.min(MOST)), "{count}");
    }
}

#[test]
fn readers_that_are_answered_again_leave_the_others_to_rest() {
    let mut hosts = zone(20);
    hosts
        .iter_mut()
        .for_each(|host| host.role = SubscriptionRole::Unanswered);
    assert_that!(readers(&hosts).len(), eq(4));
    hosts[7].role = SubscriptionRole::Answered;
    let then = readers(&hosts);
    assert_that!(then.contains(&7), eq(true));
    for (i, host) in hosts.iter_mut().enumerate().filter(|(i, _)| *i != 7) {
        host.role = SubscriptionRole::No;
        assert_that!(then.len(), le(4), "{i}");
    }
    assert_that!(readers(&hosts), elements_are![eq(&7)]);
}

#[test]
fn stale_poll_fraction_is_all_of_a_small_fleet_and_few_of_a_large_one() {
    for hosts in 1..=12 {
        assert_that!(stale_poll_fraction(hosts), eq(1.0));
    }
    for hosts in [13, 62, 295, 1_000] {
        let asking = stale_poll_fraction(hosts) * hosts as f64;
        assert_that!(asking, near(0.25, 1e-9), "{hosts}");
    }
}

#[test]
fn readers_and_relays_are_there_on_both_sides_of_a_cut() {
    let hosts = zone(20);
    for side in [&hosts[..6], &hosts[6..], &hosts[..1]] {
        assert_that!(readers(side).is_empty(), eq(false));
        assert_that!(relays(side).len(), eq(side.len().min(2)));
    }
}

#[test]
fn relays_are_two_of_a_zone() {
    for count in [1, 2, 3, 20, 93] {
        assert_that!(relays(&zone(count)).len(), eq(count.min(2)));
    }
}

#[test]
fn relays_have_places_of_their_own() {
    let hosts = zone(20);
    let of_place = |place| those_who(&hosts, |view, own| view.relay_rank(own) == Some(place));
    assert_that!(of_place(0).len(), eq(1));
    assert_that!(of_place(1).len(), eq(1));
    assert_that!(of_place(0), not(eq(&of_place(1))));
}

#[test]
fn readers_and_relays_are_strong_while_strong_ones_are_up() {
    let mut hosts = zone(20);
    let strong = [3, 11, 17];
    for i in strong {
        hosts[i].capacity_millicores = 500;
    }
    let is_strong = |i: &usize| strong.contains(i);
    assert_that!(relays(&hosts).iter().all(is_strong), eq(true));
    assert_that!(readers(&hosts).iter().all(is_strong), eq(true));
    // With two of the three gone, the last strong one still comes first.
    hosts.remove(17);
    hosts.remove(11);
    assert_that!(relays(&hosts).contains(&3), eq(true));
    assert_that!(readers(&hosts), elements_are![eq(&3)]);
}

#[test]
fn zones_are_relayed_from_a_size_on_and_stay_so_for_a_while() {
    let uses_relays = |count: usize, is_so: bool| {
        let others = zone(count - 1);
        let view = ZoneView {
            others: &others,
            hosts: count,
            zones: 1,
        };
        view.uses_relays(is_so)
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
