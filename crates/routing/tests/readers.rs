//! Who reads the platform, in fleets that are small, large, cut or troubled.

use chalkrock_core::rendezvous::MemberHash;
use chalkrock_routing::{HeardHost, Reading, readers_wanted, reads_platform};
use googletest::prelude::*;

const ZONES: usize = 4;

fn fleet(count: usize) -> Vec<HeardHost> {
    let host = |i: usize| HeardHost {
        hash: MemberHash::of(&format!("host-{i}")),
        zone: (i % ZONES) as u32,
        reading: Reading::Answered,
    };
    (0..count).map(host).collect()
}

/// Who reads if each hears all others.
fn readers(hosts: &[HeardHost]) -> Vec<usize> {
    let reads = |i: usize| {
        let mut others = hosts.to_vec();
        let own = others.remove(i);
        reads_platform(&own, &others)
    };
    (0..hosts.len()).filter(|&i| reads(i)).collect()
}

#[test]
fn readers_are_all_of_a_small_fleet() {
    for count in 1..=12 {
        assert_that!(readers(&fleet(count)).len(), eq(count));
    }
}

#[test]
fn readers_are_a_few_of_a_large_fleet_and_in_each_zone() {
    for (count, expected) in [(13, 8), (62, 8), (80, 8), (100, 10), (370, 37)] {
        let hosts = fleet(count);
        let found = readers(&hosts);
        assert_that!(found.len(), eq(expected), "{count} hosts");
        assert_that!(readers_wanted(count), eq(expected));
        for zone in 0..ZONES as u32 {
            let of_zone = found.iter().filter(|&&i| hosts[i].zone == zone).count();
            assert_that!(
                of_zone,
                ge(expected / ZONES),
                "zone {zone} of {count} hosts"
            );
        }
    }
}

#[test]
fn readers_that_are_gone_are_replaced() {
    let mut hosts = fleet(62);
    for _ in 0..40 {
        let found = readers(&hosts);
        assert_that!(found.len(), eq(readers_wanted(hosts.len())));
        hosts.remove(found[0]);
    }
}

#[test]
fn readers_that_are_not_answered_are_replaced() {
    let mut hosts = fleet(62);
    let first = readers(&hosts);
    for &i in &first[..4] {
        hosts[i].reading = Reading::Unanswered;
    }
    let then = readers(&hosts);
    let answered = then
        .iter()
        .filter(|i| hosts[**i].reading == Reading::Answered);
    assert_that!(answered.count(), ge(8));
}

#[test]
fn readers_are_all_when_hardly_anyone_is_answered() {
    let mut hosts = fleet(62);
    hosts.iter_mut().for_each(|host| host.reading = Reading::No);
    assert_that!(readers(&hosts).len(), eq(62));
    hosts
        .iter_mut()
        .for_each(|host| host.reading = Reading::Unanswered);
    assert_that!(readers(&hosts).len(), eq(62));
}

#[test]
fn readers_are_there_on_both_sides_of_a_cut() {
    let hosts = fleet(62);
    for side in [&hosts[..20], &hosts[20..]] {
        assert_that!(readers(side).len(), eq(readers_wanted(side.len())));
    }
}
