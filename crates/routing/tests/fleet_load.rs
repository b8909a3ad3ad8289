//! Loads from reports that arrive late, twice, out of order or not at all.

use chalkrock_routing::{
    AggregatePath, EndpointCount, FleetLoad, HashRange, HostReport, MAX_REPORT_AGE_MS,
    MergeOutcome, ReportId, ZoneAggregate,
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
fn load_adds_local_and_remote_requests() {
    let mut load = FleetLoad::default();
    load.begin(ENDPOINT);
    load.merge("b", report(1, 1, 3), 0);
    load.merge("c", report(1, 1, 2), 0);
    assert_that!(load.in_progress(ENDPOINT), eq(6));
    assert_that!(load.recent_host_count(0), eq(2));
}

#[test]
fn load_applies_only_the_newest_report() {
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
fn load_restarts_with_a_later_incarnation() {
    let mut load = FleetLoad::default();
    load.merge("b", report(1, 50, 9), 0);
    assert_that!(
        load.merge("b", report(2, 1, 0), 1),
        eq(MergeOutcome::Applied)
    );
    assert_that!(load.in_progress(ENDPOINT), eq(0));
}

#[test]
fn load_accepts_an_earlier_incarnation_after_expiry() {
    let mut load = FleetLoad::default();
    load.merge("b", report(9, 50, 9), 0);
    assert_that!(
        load.merge("b", report(8, 1, 2), 100),
        eq(MergeOutcome::Stale)
    );
    let later_ms = MAX_REPORT_AGE_MS + 1;
    assert_that!(
        load.merge("b", report(8, 9, 2), later_ms),
        eq(MergeOutcome::Applied)
    );
    assert_that!(load.in_progress(ENDPOINT), eq(2));
}

#[test]
fn load_drops_expired_hosts() {
    let mut load = FleetLoad::default();
    load.merge("b", report(1, 1, 9), 0);
    load.expire(MAX_REPORT_AGE_MS);
    assert_that!(load.in_progress(ENDPOINT), eq(9));
    load.expire(MAX_REPORT_AGE_MS + 1);
    assert_that!(load.in_progress(ENDPOINT), eq(0));
    assert_that!(load.recent_host_count(MAX_REPORT_AGE_MS + 1), eq(0));
}

#[test]
fn load_ignores_ends_without_a_begin() {
    let mut load: FleetLoad<&str> = FleetLoad::default();
    load.end(ENDPOINT);
    load.begin(ENDPOINT);
    load.end(ENDPOINT);
    load.end(ENDPOINT);
    assert_that!(load.local_total(), eq(0));
    assert_that!(load.report(1, 1).counts, is_empty());
}

#[test]
fn load_saturates_on_invalid_counts() {
    let mut load = FleetLoad::default();
    load.begin(ENDPOINT);
    load.merge("b", report(1, 1, u32::MAX), 0);
    load.merge("c", report(1, 1, u32::MAX), 0);
    assert_that!(load.in_progress(ENDPOINT), eq(u32::MAX));
    assert_that!(load.total(), eq(u32::MAX));
}

fn aggregate(zone: u32, hosts: u32, in_progress: u32) -> ZoneAggregate {
    ZoneAggregate {
        zone,
        hosts,
        range: HashRange::ALL,
        counts: report(1, 1, in_progress).counts,
    }
}

#[test]
fn load_counts_one_relay_per_zone() {
    let mut load = FleetLoad::default();
    load.merge_zone_aggregate("relay-1", aggregate(1, 20, 40), AggregatePath::Direct, 0);
    load.merge_zone_aggregate("relay-2", aggregate(1, 20, 41), AggregatePath::Direct, 0);
    load.merge_zone_aggregate("relay-3", aggregate(2, 10, 5), AggregatePath::Direct, 0);
    assert_that!(load.in_progress(ENDPOINT), eq(46));
    assert_that!(load.recent_host_count(0), eq(30));
}

#[test]
fn load_counts_the_relay_that_covers_most_hosts() {
    let mut load = FleetLoad::default();
    load.merge_zone_aggregate("relay-1", aggregate(1, 20, 40), AggregatePath::Direct, 0);
    load.merge_zone_aggregate("relay-2", aggregate(1, 3, 7), AggregatePath::Direct, 0);
    assert_that!(load.in_progress(ENDPOINT), eq(40));
    load.merge_zone_aggregate(
        "relay-2",
        aggregate(1, 3, 7),
        AggregatePath::Direct,
        MAX_REPORT_AGE_MS + 1,
    );
    assert_that!(load.in_progress(ENDPOINT), eq(7));
}

#[test]
fn zone_aggregate_excludes_remote_zones() {
    let mut load = FleetLoad::default();
    load.begin(ENDPOINT);
    load.merge("local", report(1, 1, 3), 0);
    load.merge_zone_aggregate("remote", aggregate(2, 9, 50), AggregatePath::Direct, 0);
    assert_that!(load.zone_aggregate(1, 0), eq(&aggregate(1, 2, 4)));
    assert_that!(load.remote_zone_aggregates(0), eq(&[aggregate(2, 9, 50)]));
    let later_ms = MAX_REPORT_AGE_MS + 1;
    assert_that!(load.zone_aggregate(1, later_ms), eq(&aggregate(1, 1, 1)));
    assert_that!(load.remote_zone_aggregates(later_ms), is_empty());
}

#[test]
fn remote_zone_aggregates_exclude_relayed_ones() {
    let mut load = FleetLoad::default();
    load.merge_zone_aggregate("relay-1", aggregate(1, 20, 40), AggregatePath::Relayed, 0);
    assert_that!(load.in_progress(ENDPOINT), eq(40));
    assert_that!(load.remote_zone_aggregates(0), is_empty());
}

/// An aggregate of this many endpoints, each with a different load.
fn large_aggregate(endpoints: u32, hosts: u32) -> ZoneAggregate {
    const SPACING: u32 = 1_000;
    let counts = (1..=endpoints).map(|i| EndpointCount {
        endpoint: i * SPACING,
        in_progress: i,
    });
    ZoneAggregate {
        counts: counts.collect(),
        ..aggregate(1, hosts, 0)
    }
}

#[test]
fn zone_aggregate_merges_its_chunks_in_any_order() {
    for endpoints in [0, 1, 128, 129, 690] {
        let chunks = large_aggregate(endpoints, 20).split(128);
        assert_that!(
            chunks.iter().all(|chunk| chunk.counts.len() <= 128),
            eq(true)
        );
        let mut load = FleetLoad::default();
        for chunk in chunks.into_iter().rev() {
            load.merge_zone_aggregate("relay", chunk, AggregatePath::Direct, 0);
        }
        assert_that!(
            load.remote_zone_aggregates(0),
            eq(&[large_aggregate(endpoints, 20)])
        );
        assert_that!(load.remote_host_count(), eq(20));
    }
}

#[test]
fn zone_aggregate_with_an_empty_chunk_keeps_the_others() {
    let mut load = FleetLoad::default();
    for chunk in large_aggregate(300, 20).split(128) {
        load.merge_zone_aggregate("relay", chunk, AggregatePath::Direct, 0);
    }
    let empty_chunk = ZoneAggregate {
        counts: Vec::new(),
        ..large_aggregate(300, 20).split(128).swap_remove(1)
    };
    load.merge_zone_aggregate("relay", empty_chunk, AggregatePath::Direct, 100);
    let loads = [128, 129, 256, 257].map(|i| load.in_progress(i * 1_000));
    assert_that!(loads, eq([128, 0, 0, 257]));
}

#[test]
fn zone_aggregate_drops_expired_chunks() {
    let mut load = FleetLoad::default();
    for chunk in large_aggregate(300, 20).split(128) {
        load.merge_zone_aggregate("relay", chunk, AggregatePath::Direct, 0);
    }
    let later_ms = MAX_REPORT_AGE_MS + 1;
    let first = large_aggregate(300, 20).split(128).swap_remove(0);
    load.merge_zone_aggregate("relay", first, AggregatePath::Direct, later_ms);
    assert_that!(load.in_progress(1_000), eq(1));
    assert_that!(load.in_progress(300_000), eq(0));
}

/// ID of a report of incarnation 1.
fn report_id(sequence: u64) -> Option<ReportId> {
    Some(ReportId {
        incarnation: 1,
        sequence,
    })
}

#[test]
fn fleet_aggregate_subtracts_only_the_included_local_report() {
    let mut load = FleetLoad::default();
    load.begin(ENDPOINT);
    load.report(1, 1);
    load.begin(ENDPOINT);
    load.report(1, 2);
    load.begin(ENDPOINT);
    // Ten requests in the fleet, one of them in this host's first report.
    load.merge_fleet_aggregate("relay", &aggregate(1, 50, 10), report_id(1), 0);
    assert_that!(load.in_progress(ENDPOINT), eq(9 + 3));
    load.merge_fleet_aggregate("relay", &aggregate(1, 50, 11), report_id(2), 0);
    assert_that!(load.in_progress(ENDPOINT), eq(9 + 3));
    assert_that!(load.total(), eq(12));
    assert_that!(load.known_host_count(), eq(50));
    assert_that!(load.recent_host_count(0), eq(49));
}

#[test]
fn fleet_aggregate_keeps_requests_of_an_earlier_incarnation() {
    let mut load = FleetLoad::default();
    load.begin(ENDPOINT);
    load.report(2, 1);
    for included in [report_id(1), None] {
        load.merge_fleet_aggregate("relay", &aggregate(1, 50, 10), included, 0);
        assert_that!(load.in_progress(ENDPOINT), eq(10 + 1));
    }
}

#[test]
fn load_uses_the_source_that_covers_more_hosts() {
    let mut load = FleetLoad::default();
    load.merge("local-1", report(1, 1, 3), 0);
    load.merge("local-2", report(1, 1, 4), 0);
    // A relay that just started covers fewer hosts than the direct reports.
    load.merge_fleet_aggregate("relay", &aggregate(1, 2, 1), None, 0);
    assert_that!(load.in_progress(ENDPOINT), eq(7));
    assert_that!(load.uses_fleet_aggregate(), eq(false));
    load.merge_fleet_aggregate("relay", &aggregate(1, 4, 20), None, 0);
    assert_that!(load.in_progress(ENDPOINT), eq(20));
    // Direct reports remain when the relays are silent.
    let later_ms = MAX_REPORT_AGE_MS + 1;
    load.merge("local-1", report(1, 2, 3), later_ms);
    load.expire(later_ms);
    assert_that!(load.in_progress(ENDPOINT), eq(3));
    assert_that!(load.uses_fleet_aggregate(), eq(false));
}

#[test]
fn fleet_aggregate_excludes_other_fleet_aggregates() {
    let mut load = FleetLoad::default();
    load.begin(ENDPOINT);
    load.merge("local", report(1, 5, 3), 0);
    load.merge_zone_aggregate("remote", aggregate(2, 9, 50), AggregatePath::Direct, 0);
    load.merge_fleet_aggregate("other-relay", &aggregate(1, 99, 900), None, 0);
    assert_that!(load.fleet_aggregate(1), eq(&aggregate(1, 11, 54)));
    assert_that!(load.included_report(&"local"), eq(report_id(5)));
    assert_that!(load.included_report(&"unknown"), none());
}

/// Guards against fleet aggregates that differ from direct reports of all hosts.
#[test]
fn fleet_aggregate_equals_direct_reports_of_all_hosts() {
    const HOSTS: u64 = 60;
    let mut direct = FleetLoad::default();
    let mut relay = FleetLoad::default();
    let mut leaf = FleetLoad::default();
    for host in 0..HOSTS {
        let count = (host % 5) as u32;
        direct.merge(host, report(1, 1, count), 0);
        relay.merge(host, report(1, 1, count), 0);
    }
    let leaf_address = HOSTS;
    (0..4).for_each(|_| leaf.begin(ENDPOINT));
    (0..4).for_each(|_| direct.begin(ENDPOINT));
    relay.merge(leaf_address, leaf.report(1, 1), 0);
    let combined = relay.fleet_aggregate(1);
    let includes = relay.included_report(&leaf_address);
    for chunk in combined.split(1) {
        leaf.merge_fleet_aggregate(999, &chunk, includes, 100);
    }
    leaf.begin(ENDPOINT);
    direct.begin(ENDPOINT);
    assert_that!(leaf.in_progress(ENDPOINT), eq(direct.in_progress(ENDPOINT)));
    assert_that!(leaf.total(), eq(direct.total()));
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: proptest::test_runner::RngSeed::Fixed(11),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against drift of sums that are updated incrementally.
    #[test]
    fn zone_loads_do_not_drift(
        updates in proptest::collection::vec(
            (0..3u8, 0..2u32, 0..4u32, 0..6u32, 0..9u32, 0..900u64), 1..60,
        ),
        count in 0..9u32,
    ) {
        let mut load = FleetLoad::default();
        let mut now_ms = 0;
        for (relay, zone, start, width, in_progress, delay_ms) in updates {
            now_ms += delay_ms;
            let range = HashRange { first: start, last: (start + width).saturating_sub(2) };
            let counts = (0..8).map(|endpoint| EndpointCount { endpoint, in_progress });
            let chunk = ZoneAggregate {
                range,
                counts: counts.collect(),
                ..aggregate(zone, u32::from(relay) + in_progress % 2, 0)
            };
            load.merge_zone_aggregate(relay, chunk, AggregatePath::Direct, now_ms);
            load.merge(relay, report(1, now_ms, in_progress), now_ms);
        }
        now_ms += MAX_REPORT_AGE_MS + 1;
        load.expire(now_ms);
        prop_assert_eq!(load.total(), 0);
        load.merge_zone_aggregate(0, aggregate(0, 1, count), AggregatePath::Direct, now_ms);
        prop_assert_eq!(load.total(), count);
    }

    #[test]
    fn load_is_the_same_in_any_order(
        reports in proptest::collection::vec((0..3u8, 1..3u64, 0..20u64, 0..9u32), 1..30),
        order in proptest::collection::vec(any::<proptest::sample::Index>(), 60),
    ) {
        // Of several reports with one incarnation and sequence, only the first is used.
        let mut unique = std::collections::BTreeMap::new();
        for (host, incarnation, sequence, count) in reports {
            unique.entry((host, incarnation, sequence)).or_insert(count);
        }
        let reports: Vec<_> = unique.into_iter().collect();
        let mut in_order = FleetLoad::default();
        for ((host, incarnation, sequence), count) in &reports {
            in_order.merge(*host, report(*incarnation, *sequence, *count), 0);
        }
        let mut shuffled = FleetLoad::default();
        let picks = order.iter().map(|index| index.get(&reports));
        for ((host, incarnation, sequence), count) in picks.chain(&reports) {
            shuffled.merge(*host, report(*incarnation, *sequence, *count), 0);
        }
        prop_assert_eq!(in_order.in_progress(ENDPOINT), shuffled.in_progress(ENDPOINT));
    }
}
