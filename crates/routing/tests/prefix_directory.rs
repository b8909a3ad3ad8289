//! Who holds which part, over time and a flood.

use chalkrock_routing::{CacheEntry, PrefixDirectory};
use googletest::prelude::*;

fn holding(part: u32, endpoint: u32) -> CacheEntry {
    CacheEntry { part, endpoint }
}

fn holders(map: &PrefixDirectory, part: u32, now_ms: u64) -> Vec<u32> {
    map.holders(part, now_ms).collect()
}

#[test]
fn map_tells_what_is_new_once_and_then_now_and_then() {
    let mut map = PrefixDirectory::default();
    assert_that!(map.record(holding(1, 2), 0), eq(true));
    assert_that!(map.record(holding(1, 2), 11_999), eq(false));
    assert_that!(map.record(holding(1, 2), 12_000), eq(true));
}

#[test]
fn map_does_not_tell_what_another_host_told() {
    let mut map = PrefixDirectory::default();
    map.merge(holding(1, 2), 0);
    assert_that!(map.record(holding(1, 2), 100), eq(false));
    assert_that!(holders(&map, 1, 100), eq(&[2]));
}

#[test]
fn map_forgets_what_is_not_used() {
    let mut map = PrefixDirectory::default();
    map.record(holding(1, 2), 0);
    assert_that!(map.holds(1, 2, 30_000), eq(true));
    assert_that!(map.holds(1, 2, 30_001), eq(false));
    map.expire(30_001);
    assert_that!(map.record(holding(1, 2), 30_002), eq(true));
}

#[test]
fn map_keeps_the_holders_used_last() {
    let mut map = PrefixDirectory::default();
    for endpoint in 0..10 {
        map.record(holding(1, endpoint), u64::from(endpoint));
    }
    let mut kept = holders(&map, 1, 10);
    kept.sort_unstable();
    assert_that!(kept, eq(&[4, 5, 6, 7, 8, 9]));
}

#[test]
fn map_stays_bounded_in_a_flood() {
    let mut map = PrefixDirectory::default();
    for part in 0..100_000 {
        map.record(holding(part, 1), 0);
    }
    let kept = (0..100_000).filter(|part| map.holds(*part, 1, 0)).count();
    assert_that!(kept, eq(16_384));
}
