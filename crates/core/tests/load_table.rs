//! Load table: merging, discounting and expiry of entries.

use chalkrock_core::{HostLoad, LoadEntry, LoadTable};
use googletest::prelude::*;

fn load(in_progress: u32) -> HostLoad {
    HostLoad {
        in_progress,
        weight: 1.0,
    }
}

fn entry(host: u8, in_progress: u32, age_ms: u64) -> LoadEntry<u8> {
    LoadEntry {
        host,
        load: load(in_progress),
        age_ms,
    }
}

fn table_of(hosts: &[u8]) -> LoadTable<u8> {
    let mut table = LoadTable::new(0);
    table.set_hosts(hosts);
    table
}

#[test]
fn merge_keeps_the_newer_entry() {
    let mut table = table_of(&[0, 1]);
    table.merge(&[entry(1, 8, 100)], 1_000);
    table.merge(&[entry(1, 2, 900)], 1_000);
    assert_that!(table.newest(1_000, 5)[0].load.in_progress, eq(8));
}

#[test]
fn merge_ignores_hosts_outside_the_view() {
    let mut table = table_of(&[0, 1]);
    table.merge(&[entry(2, 8, 0)], 1_000);
    assert_that!(table.newest(1_000, 5), is_empty());
}

/// Guards against a stalled exchange that lowers the mean, and so the limits,
/// below current loads until the pool rejects all requests.
#[test]
fn mean_discounts_old_entries_slightly() {
    let mut table = table_of(&[0, 1, 2]);
    table.set_local(load(8), 14_000);
    table.merge(&[entry(1, 8, 14_000), entry(2, 8, 14_000)], 14_000);
    assert_that!(table.mean(14_000), ge(0.95 * 8.0));
    assert_that!(table.mean(14_000), lt(8.0));
}

#[test]
fn mean_ignores_expired_entries() {
    let mut table = table_of(&[0, 1]);
    table.merge(&[entry(1, 8, 0)], 1_000);
    table.set_local(load(2), 60_000);
    assert_that!(table.mean(60_000), eq(2.0));
}
