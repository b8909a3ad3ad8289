//! Loads that hosts tell each other: late, twice, out of order, or not at all.

use chalkrock_routing::{
    AggregatePath, EndpointCount, FleetLoad, HashRange, HostReport, MergeOutcome,
    REPORT_AGE_MAX_MS, ReportId, ZoneAggregate,
};
use googletest::prelude::*;
use proptest::prelude::*;

const ENDPOINT: u32 = 7;

fn report(incarnation: u64, sequence: u64, in_progress: u32) -> HostReport {
    HostReport {
        incarnation,
        sequence,
        counts: vec![EndpointCount {
            endpoint: ENDPOINT,
            in_progress,
        }],
    }
}

#[test]
fn load_adds_own_and_others() {
    let mut load = FleetLoad::default();
    load.begin(ENDPOINT);
    load.merge("b", report(1, 1, 3), 0);
    load.merge("c", report(1, 1, 2), 0);
    assert_that!(load.in_progress(ENDPOINT), eq(6));
    assert_that!(load.recent_host_count(0), eq(2));
}

#[test]
fn load_takes_only_the_newest_report() {
    let mut load = FleetLoad::default();
    assert_that!(
        load.merge("b", report(2, 5, 3), 0),
        eq(MergeOutcome::Applied)
    );
    assert_that!(load.merge("b", report(2, 5, 9), 0), eq(MergeOutcome::Stale));
    assert_that!(load.merge("b", report(2, 4, 9), 0), eq(MergeOutcome::Stale));
    assert_that!(
        load.merge("b", report(1, 99, 9), 0),
        eq(MergeOutcome::Stale)
    );
    assert_that!(load.in_progress(ENDPOINT), eq(3));
}

#[test]
fn load_starts_anew_with_a_later_life() {
    let mut load = FleetLoad::default();
    load.merge("b", report(1, 50, 9), 0);
    assert_that!(
        load.merge("b", report(2, 1, 0), 1),
        eq(MergeOutcome::Applied)
    );
    assert_that!(load.in_progress(ENDPOINT), eq(0));
}

#[test]
fn load_believes_a_life_with_an_earlier_clock_after_a_silence() {
    let mut load = FleetLoad::default();
    load.merge("b", report(9, 50, 9), 0);
    assert_that!(
        load.merge("b", report(8, 1, 2), 100),
        eq(MergeOutcome::Stale)
    );
    let later_ms = REPORT_AGE_MAX_MS + 1;
    assert_that!(
        load.merge("b", report(8, 9, 2), later_ms),
        eq(MergeOutcome::Applied)
    );
    assert_that!(load.in_progress(ENDPOINT), eq(2));
}

#[test]
fn load_drops_a_silent_host() {
    let mut load = FleetLoad::default();
    load.merge("b", report(1, 1, 9), 0);
    load.expire(REPORT_AGE_MAX_MS);
    assert_that!(load.in_progress(ENDPOINT), eq(9));
    load.expire(REPORT_AGE_MAX_MS + 1);
    assert_that!(load.in_progress(ENDPOINT), eq(0));
    assert_that!(load.recent_host_count(REPORT_AGE_MAX_MS + 1), eq(0));
}

#[test]
fn load_ends_no_more_than_began() {
    let mut load: FleetLoad<&str> = FleetLoad::default();
    load.end(ENDPOINT);
    load.begin(ENDPOINT);
    load.end(ENDPOINT);
    load.end(ENDPOINT);
    assert_that!(load.local_total(), eq(0));
    assert_that!(load.report(1, 1).counts, is_empty());
}

#[test]
fn load_bears_counts_that_are_none() {
    let mut load = FleetLoad::default();
    load.begin(ENDPOINT);
    load.merge("b", report(1, 1, u32::MAX), 0);
    load.merge("c", report(1, 1, u32::MAX), 0);
    assert_that!(load.in_progress(ENDPOINT), eq(u32::MAX));
    assert_that!(load.total(), eq(u32::MAX));
}

fn zone_aggregate(zone: u32, hosts: u32, in_progress: u32) -> ZoneAggregate {
    ZoneAggregate {
        zone,
        hosts,
        range: HashRange::ALL,
        counts: report(1, 1, in_progress).counts,
    }
}

#[test]
fn load_counts_one_relay_of_a_zone() {
    let mut load = FleetLoad::default();
    load.merge_zone_aggregate(
        "relay-1",
        zone_aggregate(1, 20, 40),
        AggregatePath::Direct,
        0,
    );
    load.merge_zone_aggregate(
        "relay-2",
        zone_aggregate(1, 20, 41),
        AggregatePath::Direct,
        0,
    );
    load.merge_zone_aggregate(
        "relay-3",
        zone_aggregate(2, 10, 5),
        AggregatePath::Direct,
        0,
    );
    assert_that!(load.in_progress(ENDPOINT), eq(46));
    assert_that!(load.recent_host_count(0), eq(30));
}

#[test]
fn load_counts_the_relay_that_hears_most() {
    let mut load = FleetLoad::default();
    load.merge_zone_aggregate(
        "relay-1",
        zone_aggregate(1, 20, 40),
        AggregatePath::Direct,
        0,
    );
    load.merge_zone_aggregate("relay-2", zone_aggregate(1, 3, 7), AggregatePath::Direct, 0);
    assert_that!(load.in_progress(ENDPOINT), eq(40));
    load.merge_zone_aggregate(
        "relay-2",
        zone_aggregate(1, 3, 7),
        AggregatePath::Direct,
        REPORT_AGE_MAX_MS + 1,
    );
    assert_that!(load.in_progress(ENDPOINT), eq(7));
}

#[test]
fn load_of_a_zone_sums_up_what_is_heard_and_no_other_zone() {
    let mut load = FleetLoad::default();
    load.begin(ENDPOINT);
    load.merge("near", report(1, 1, 3), 0);
    load.merge_zone_aggregate("far", zone_aggregate(2, 9, 50), AggregatePath::Direct, 0);
    assert_that!(load.zone_aggregate(1, 0), eq(&zone_aggregate(1, 2, 4)));
    assert_that!(
        load.remote_zone_aggregates(0),
        eq(&[zone_aggregate(2, 9, 50)])
    );
    let later_ms = REPORT_AGE_MAX_MS + 1;
    assert_that!(
        load.zone_aggregate(1, later_ms),
        eq(&zone_aggregate(1, 1, 1))
    );
    assert_that!(load.remote_zone_aggregates(later_ms), is_empty());
}

#[test]
fn load_passes_on_only_what_came_from_the_zone_itself() {
    let mut load = FleetLoad::default();
    load.merge_zone_aggregate(
        "relay-1",
        zone_aggregate(1, 20, 40),
        AggregatePath::Relayed,
        0,
    );
    assert_that!(load.in_progress(ENDPOINT), eq(40));
    assert_that!(load.remote_zone_aggregates(0), is_empty());
}

/// A sum of so many endpoints, each with a load of its own.
fn wide_sum(endpoints: u32, hosts: u32) -> ZoneAggregate {
    const SPACING: u32 = 1_000;
    let counts = (1..=endpoints).map(|i| EndpointCount {
        endpoint: i * SPACING,
        in_progress: i,
    });
    ZoneAggregate {
        counts: counts.collect(),
        ..zone_aggregate(1, hosts, 0)
    }
}

#[test]
fn zone_aggregate_is_the_same_from_its_parts_in_any_order() {
    for endpoints in [0, 1, 128, 129, 690] {
        let parts = wide_sum(endpoints, 20).split(128);
        assert_that!(parts.iter().all(|part| part.counts.len() <= 128), eq(true));
        let mut load = FleetLoad::default();
        for part in parts.into_iter().rev() {
            load.merge_zone_aggregate("relay", part, AggregatePath::Direct, 0);
        }
        assert_that!(
            load.remote_zone_aggregates(0),
            eq(&[wide_sum(endpoints, 20)])
        );
        assert_that!(load.remote_host_count(), eq(20));
    }
}

#[test]
fn zone_aggregate_without_one_part_keeps_the_others() {
    let mut load = FleetLoad::default();
    for part in wide_sum(300, 20).split(128) {
        load.merge_zone_aggregate("relay", part, AggregatePath::Direct, 0);
    }
    let ended = ZoneAggregate {
        counts: Vec::new(),
        ..wide_sum(300, 20).split(128).swap_remove(1)
    };
    load.merge_zone_aggregate("relay", ended, AggregatePath::Direct, 100);
    let loads = [128, 129, 256, 257].map(|i| load.in_progress(i * 1_000));
    assert_that!(loads, eq([128, 0, 0, 257]));
}

#[test]
fn zone_aggregate_forgets_parts_that_were_told_before_a_silence() {
    let mut load = FleetLoad::default();
    for part in wide_sum(300, 20).split(128) {
        load.merge_zone_aggregate("relay", part, AggregatePath::Direct, 0);
    }
    let later_ms = REPORT_AGE_MAX_MS + 1;
    let first = wide_sum(300, 20).split(128).swap_remove(0);
    load.merge_zone_aggregate("relay", first, AggregatePath::Direct, later_ms);
    assert_that!(load.in_progress(1_000), eq(1));
    assert_that!(load.in_progress(300_000), eq(0));
}

/// A report's name, of the life 1.
fn own(sequence: u64) -> Option<ReportId> {
    Some(ReportId {
        incarnation: 1,
        sequence,
    })
}

#[test]
fn load_by_totals_takes_away_just_the_own_report_that_they_include() {
    let mut load = FleetLoad::default();
    load.begin(ENDPOINT);
    load.report(1, 1);
    load.begin(ENDPOINT);
    load.report(1, 2);
    load.begin(ENDPOINT);
    // Ten requests over the fleet, of which one is this host's first report.
    load.merge_fleet_aggregate("relay", &zone_aggregate(1, 50, 10), own(1), 0);
    assert_that!(load.in_progress(ENDPOINT), eq(9 + 3));
    load.merge_fleet_aggregate("relay", &zone_aggregate(1, 50, 11), own(2), 0);
    assert_that!(load.in_progress(ENDPOINT), eq(9 + 3));
    assert_that!(load.total(), eq(12));
    assert_that!(load.known_host_count(), eq(50));
    assert_that!(load.recent_host_count(0), eq(49));
}

#[test]
fn load_by_totals_keeps_what_an_earlier_life_has_in_progress() {
    let mut load = FleetLoad::default();
    load.begin(ENDPOINT);
    load.report(2, 1);
    for not_of_this_life in [own(1), None] {
        load.merge_fleet_aggregate("relay", &zone_aggregate(1, 50, 10), not_of_this_life, 0);
        assert_that!(load.in_progress(ENDPOINT), eq(10 + 1));
    }
}

#[test]
fn load_goes_by_whatever_covers_more_hosts() {
    let mut load = FleetLoad::default();
    load.merge("near-1", report(1, 1, 3), 0);
    load.merge("near-2", report(1, 1, 4), 0);
    // A relay that has just begun hears fewer hosts than this one.
    load.merge_fleet_aggregate("relay", &zone_aggregate(1, 2, 1), None, 0);
    assert_that!(load.in_progress(ENDPOINT), eq(7));
    assert_that!(load.uses_fleet_aggregate(), eq(false));
    load.merge_fleet_aggregate("relay", &zone_aggregate(1, 4, 20), None, 0);
    assert_that!(load.in_progress(ENDPOINT), eq(20));
    // Relays that fall silent leave what is heard directly.
    let later_ms = REPORT_AGE_MAX_MS + 1;
    load.merge("near-1", report(1, 2, 3), later_ms);
    load.expire(later_ms);
    assert_that!(load.in_progress(ENDPOINT), eq(3));
    assert_that!(load.uses_fleet_aggregate(), eq(false));
}

#[test]
fn fleet_aggregate_has_all_zones_and_nothing_that_relays_summed_up() {
    let mut load = FleetLoad::default();
    load.begin(ENDPOINT);
    load.merge("near", report(1, 5, 3), 0);
    load.merge_zone_aggregate("far", zone_aggregate(2, 9, 50), AggregatePath::Direct, 0);
    load.merge_fleet_aggregate("other-relay", &zone_aggregate(1, 99, 900), None, 0);
    assert_that!(load.fleet_aggregate(1), eq(&zone_aggregate(1, 11, 54)));
    assert_that!(load.included_report(&"near"), eq(own(5)));
    assert_that!(load.included_report(&"unknown"), none());
}

/// Reports and sums of 60 hosts at random phases: whoever goes by totals sees
/// on each endpoint what all hosts see that hear each other.
#[test]
fn load_by_totals_equals_what_is_heard_from_all() {
    const HOSTS: u64 = 60;
    let mut hears_all = FleetLoad::default();
    let mut relay = FleetLoad::default();
    let mut leaf = FleetLoad::default();
    for host in 0..HOSTS {
        let count = (host % 5) as u32;
        hears_all.merge(host, report(1, 1, count), 0);
        relay.merge(host, report(1, 1, count), 0);
    }
    let leaf_address = HOSTS;
    (0..4).for_each(|_| leaf.begin(ENDPOINT));
    (0..4).for_each(|_| hears_all.begin(ENDPOINT));
    relay.merge(leaf_address, leaf.report(1, 1), 0);
    let sum = relay.fleet_aggregate(1);
    let includes = relay.included_report(&leaf_address);
    for part in sum.split(1) {
        leaf.merge_fleet_aggregate(999, &part, includes, 100);
    }
    leaf.begin(ENDPOINT);
    hears_all.begin(ENDPOINT);
    assert_that!(
        leaf.in_progress(ENDPOINT),
        eq(hears_all.in_progress(ENDPOINT))
    );
    assert_that!(leaf.total(), eq(hears_all.total()));
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: proptest::test_runner::RngSeed::Fixed(11),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// What is kept by changes comes to nothing when all has fallen silent, and
    /// to the one sum that counts while it has not.
    #[test]
    fn load_of_zones_does_not_drift(
        told in proptest::collection::vec(
            (0..3u8, 0..2u32, 0..4u32, 0..6u32, 0..9u32, 0..900u64), 1..60,
        ),
        last in 0..9u32,
    ) {
        let mut load = FleetLoad::default();
        let mut now_ms = 0;
        for (relay, zone, from, width, in_progress, pause_ms) in told {
            now_ms += pause_ms;
            let range = HashRange { first: from, last: (from + width).saturating_sub(2) };
            let counts = (0..8).map(|endpoint| EndpointCount { endpoint, in_progress });
            let part = ZoneAggregate {
                range,
                counts: counts.collect(),
                ..zone_aggregate(zone, u32::from(relay) + in_progress % 2, 0)
            };
            load.merge_zone_aggregate(relay, part, AggregatePath::Direct, now_ms);
            load.merge(relay, report(1, now_ms, in_progress), now_ms);
        }
        now_ms += REPORT_AGE_MAX_MS + 1;
        load.expire(now_ms);
        prop_assert_eq!(load.total(), 0);
        load.merge_zone_aggregate(0, zone_aggregate(0, 1, last), AggregatePath::Direct, now_ms);
        prop_assert_eq!(load.total(), last);
    }

    #[test]
    fn load_ends_the_same_in_any_order(
        reports in proptest::collection::vec((0..3u8, 1..3u64, 0..20u64, 0..9u32), 1..30),
        order in proptest::collection::vec(any::<proptest::sample::Index>(), 60),
    ) {
        // One life and number is one report, whatever came first in the list.
        let mut unique = std::collections::BTreeMap::new();
        for (host, life, number, count) in reports {
            unique.entry((host, life, number)).or_insert(count);
        }
        let reports: Vec<_> = unique.into_iter().collect();
        let mut in_order = FleetLoad::default();
        for ((host, life, number), count) in &reports {
            in_order.merge(*host, report(*life, *number, *count), 0);
        }
        let mut shuffled = FleetLoad::default();
        let picks = order.iter().map(|index| index.get(&reports));
        for ((host, life, number), count) in picks.chain(&reports) {
            shuffled.merge(*host, report(*life, *number, *count), 0);
        }
        prop_assert_eq!(in_order.in_progress(ENDPOINT), shuffled.in_progress(ENDPOINT));
    }
}
