//! Holders of prefix parts: expiry, bounds, and what is sent to other hosts.

use chalkrock_routing::{CacheEntry, PrefixDirectory};
use googletest::prelude::*;

fn entry(part: u32, endpoint: u32) -> CacheEntry {
    CacheEntry { part, endpoint }
}

fn holders(directory: &PrefixDirectory, part: u32, now_ms: u64) -> Vec<u32> {
    directory.holders(part, now_ms).collect()
}

#[test]
fn directory_sends_entries_once_and_then_at_intervals() {
    let mut directory = PrefixDirectory::default();
    assert_that!(directory.record(entry(1, 2), 0), eq(true));
    assert_that!(directory.record(entry(1, 2), 11_999), eq(false));
    assert_that!(directory.record(entry(1, 2), 12_000), eq(true));
}

#[test]
fn directory_does_not_send_entries_of_other_hosts() {
    let mut directory = PrefixDirectory::default();
    directory.merge(entry(1, 2), 0);
    assert_that!(directory.record(entry(1, 2), 100), eq(false));
    assert_that!(holders(&directory, 1, 100), eq(&[2]));
}

#[test]
fn directory_expires_unused_entries() {
    let mut directory = PrefixDirectory::default();
    directory.record(entry(1, 2), 0);
    assert_that!(directory.holds(1, 2, 30_000), eq(true));
    assert_that!(directory.holds(1, 2, 30_001), eq(false));
    directory.expire(30_001);
    assert_that!(directory.record(entry(1, 2), 30_002), eq(true));
}

#[test]
fn directory_keeps_the_most_recent_holders() {
    let mut directory = PrefixDirectory::default();
    for endpoint in 0..10 {
        directory.record(entry(1, endpoint), u64::from(endpoint));
    }
    let mut kept = holders(&directory, 1, 10);
    kept.sort_unstable();
    assert_that!(kept, eq(&[4, 5, 6, 7, 8, 9]));
}

#[test]
fn directory_is_bounded() {
    let mut directory = PrefixDirectory::default();
    for part in 0..100_000 {
        directory.record(entry(part, 1), 0);
    }
    let kept = (0..100_000)
        .filter(|part| directory.holds(*part, 1, 0))
        .count();
    assert_that!(kept, eq(16_384));
}

#[test]
fn most_recent_returns_the_latest_entries_within_the_bound() {
    let mut directory = PrefixDirectory::default();
    for part in 0..10 {
        directory.record(entry(part, 1), u64::from(part) * 1_000);
    }
    let expected = vec![entry(9, 1), entry(8, 1)];
    assert_that!(directory.most_recent(2, 9_000), eq(&expected));
    assert_that!(directory.most_recent(100, 100_000), is_empty());
}
