//! Loads that hosts tell each other: late, twice, out of order, or not at all.

use chalkrock_routing::{EndpointCount, FleetLoad, HostReport, Merged, REPORT_AGE_MAX_MS};
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
    assert_that!(load.of(ENDPOINT), eq(6));
    assert_that!(load.hosts_heard(0), eq(2));
}

#[test]
fn load_takes_only_the_newest_report() {
    let mut load = FleetLoad::default();
    assert_that!(load.merge("b", report(2, 5, 3), 0), eq(Merged::Taken));
    assert_that!(load.merge("b", report(2, 5, 9), 0), eq(Merged::Old));
    assert_that!(load.merge("b", report(2, 4, 9), 0), eq(Merged::Old));
    assert_that!(load.merge("b", report(1, 99, 9), 0), eq(Merged::Old));
    assert_that!(load.of(ENDPOINT), eq(3));
}

#[test]
fn load_starts_anew_with_a_later_life() {
    let mut load = FleetLoad::default();
    load.merge("b", report(1, 50, 9), 0);
    assert_that!(load.merge("b", report(2, 1, 0), 1), eq(Merged::Taken));
    assert_that!(load.of(ENDPOINT), eq(0));
}

#[test]
fn load_believes_a_life_with_an_earlier_clock_after_a_silence() {
    let mut load = FleetLoad::default();
    load.merge("b", report(9, 50, 9), 0);
    assert_that!(load.merge("b", report(8, 1, 2), 100), eq(Merged::Old));
    let later_ms = REPORT_AGE_MAX_MS + 1;
    assert_that!(
        load.merge("b", report(8, 9, 2), later_ms),
        eq(Merged::Taken)
    );
    assert_that!(load.of(ENDPOINT), eq(2));
}

#[test]
fn load_drops_a_silent_host() {
    let mut load = FleetLoad::default();
    load.merge("b", report(1, 1, 9), 0);
    load.expire(REPORT_AGE_MAX_MS);
    assert_that!(load.of(ENDPOINT), eq(9));
    load.expire(REPORT_AGE_MAX_MS + 1);
    assert_that!(load.of(ENDPOINT), eq(0));
    assert_that!(load.hosts_heard(REPORT_AGE_MAX_MS + 1), eq(0));
}

#[test]
fn load_ends_no_more_than_began() {
    let mut load: FleetLoad<&str> = FleetLoad::default();
    load.end(ENDPOINT);
    load.begin(ENDPOINT);
    load.end(ENDPOINT);
    load.end(ENDPOINT);
    assert_that!(load.own_total(), eq(0));
    assert_that!(load.own_counts(), is_empty());
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: proptest::test_runner::RngSeed::Fixed(11),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

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
        prop_assert_eq!(in_order.of(ENDPOINT), shuffled.of(ENDPOINT));
    }
}
