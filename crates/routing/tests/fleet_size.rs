//! Which hosts a host counts when it spends its part of a limit.

use chalkrock_routing::FleetSize;
use googletest::prelude::*;

const WINDOW_MS: u64 = 10_000;
const ROUND_MS: u64 = 200;
const HALF_HOUR_MS: u64 = 30 * 60 * 1_000;

/// Records rounds from `from_ms` to `to_ms`, both included.
fn record(size: &mut FleetSize, (heard, known): (usize, usize), from_ms: u64, to_ms: u64) {
    for now_ms in (from_ms..=to_ms).step_by(ROUND_MS as usize) {
        size.record(heard, known, WINDOW_MS, now_ms);
    }
}

/// Guards against hosts that spend what the ones before them have spent.
#[gtest]
fn fleet_size_is_unproven_for_a_window_after_the_start() {
    let mut size = FleetSize::default();
    expect_that!(size.sharers(60_000), none());
    record(&mut size, (1, 1), 0, 12_800);
    expect_that!(size.sharers(12_800), none());
    record(&mut size, (1, 1), 13_000, 13_000);
    expect_that!(size.sharers(13_000), some(eq(1)));
}

/// Guards against new hosts that spend before the others count them.
#[gtest]
fn fleet_size_is_unproven_for_a_window_after_others_are_met() {
    let mut size = FleetSize::default();
    record(&mut size, (1, 4), 0, 8_000);
    record(&mut size, (8, 8), 8_200, 21_000);
    expect_that!(size.sharers(21_000), none());
    record(&mut size, (8, 8), 21_200, 21_400);
    expect_that!(size.sharers(21_400), some(eq(8)));
    // A host that has a part keeps it when another one starts.
    record(&mut size, (9, 9), 21_600, 21_600);
    expect_that!(size.sharers(21_600), some(eq(9)));
}

/// Guards against a part that grows because other hosts are not heard.
#[gtest]
fn fleet_size_counts_silent_hosts_for_half_an_hour() {
    let mut size = FleetSize::default();
    record(&mut size, (8, 8), 0, 20_000);
    record(&mut size, (3, 3), 20_200, HALF_HOUR_MS + 20_000);
    expect_that!(size.sharers(HALF_HOUR_MS + 20_000), some(eq(8)));
    record(&mut size, (3, 3), HALF_HOUR_MS + 20_200, 2 * HALF_HOUR_MS);
    expect_that!(size.sharers(2 * HALF_HOUR_MS), some(eq(3)));
}

#[gtest]
fn fleet_size_counts_hosts_that_are_known_but_not_heard() {
    let mut size = FleetSize::default();
    record(&mut size, (2, 5), 0, 20_000);
    expect_that!(size.sharers(20_000), some(eq(5)));
}

/// Guards against a host that was suspended while others started.
#[gtest]
fn fleet_size_is_learned_again_after_a_suspension() {
    let mut size = FleetSize::default();
    record(&mut size, (8, 8), 0, 20_000);
    expect_that!(size.sharers(23_000), some(eq(8)));
    expect_that!(size.sharers(23_001), none());
    record(&mut size, (8, 8), 30_000, 32_800);
    expect_that!(size.sharers(32_999), none());
    record(&mut size, (8, 8), 33_000, 33_000);
    expect_that!(size.sharers(33_000), some(eq(8)));
}
