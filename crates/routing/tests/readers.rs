//! Who reads the platform and who relays, in fleets that are small, large, cut
//! or troubled.

use chalkrock_core::rendezvous::MemberHash;
use chalkrock_routing::{HeardHost, Reading, ZoneView, readers_wanted};
use googletest::prelude::*;

const ZONES: usize = 4;

fn zone(count: usize) -> Vec<HeardHost> {
    let host = |i: usize| HeardHost {
        hash: MemberHash::of(&format!("host-{i}")),
        reading: Reading::Answered,
    };
    (0..count).map(host).collect()
}

/// The hosts of a zone for which something holds, if each hears the others and
/// the other zones are as large.
fn those_who(hosts: &[HeardHost], holds: impl Fn(&ZoneView<'_>, &HeardHost) -> bool) -> Vec<usize> {
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

fn readers(hosts: &[HeardHost]) -> Vec<usize> {
    those_who(hosts, |view, own| view.reads_platform(own))
}

fn relays(hosts: &[HeardHost]) -> Vec<usize> {
    those_who(hosts, |view, own| view.is_relay(own))
}

#[test]
fn readers_are_all_of_a_small_fleet() {
    for count in 1..=3 {
        assert_that!(readers(&zone(count)).len(), eq(count));
    }
}

#[test]
fn readers_are_all_of_a_small_fleet_with_unequal_zones() {
    let hosts = zone(6);
    let (own, others) = hosts.split_first().expect("there are some");
    let view = ZoneView {
        others,
        hosts: 8,
        zones: 3,
    };
    assert_that!(view.reads_platform(own), eq(true));
}

#[test]
fn readers_are_a_few_of_a_large_fleet() {
    for (count, expected) in [(4, 2), (16, 2), (20, 2), (25, 3), (93, 10)] {
        assert_that!(readers(&zone(count)).len(), eq(expected), "{count} a zone");
    }
    assert_that!(readers_wanted(12), eq(12));
    assert_that!(readers_wanted(62), eq(8));
    assert_that!(readers_wanted(370), eq(37));
}

#[test]
fn readers_that_are_gone_are_replaced() {
    let mut hosts = zone(20);
    while hosts.len() > 4 {
        let found = readers(&hosts);
        assert_that!(found.len(), eq(2), "{} left", hosts.len());
        hosts.remove(found[0]);
    }
}

#[test]
fn readers_that_are_not_answered_are_replaced() {
    let mut hosts = zone(20);
    let first = readers(&hosts);
    hosts[first[0]].reading = Reading::Unanswered;
    let then = readers(&hosts);
    let answered = then
        .iter()
        .filter(|i| hosts[**i].reading == Reading::Answered);
    assert_that!(answered.count(), eq(2));
}

#[test]
fn readers_are_all_when_no_one_is_answered() {
    for reading in [Reading::No, Reading::Unanswered] {
        let mut hosts = zone(20);
        hosts.iter_mut().for_each(|host| host.reading = reading);
        assert_that!(readers(&hosts).len(), eq(20), "{reading:?}");
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
