//! Totals of hosts: merged by age, weighed by age, forgotten with the host.

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
    table.retain_hosts(hosts);
    table
}

#[test]
fn merge_keeps_the_younger_entry() {
    let mut table = table_of(&[0, 1]);
    table.merge(&[entry(1, 8, 100)], 1_000);
    table.merge(&[entry(1, 2, 900)], 1_000);
    assert_that!(table.freshest(1_000, 5)[0].load.in_progress, eq(8));
}

#[test]
fn merge_leaves_out_hosts_that_are_not_in_the_view() {
    let mut table = table_of(&[0, 1]);
    table.merge(&[entry(2, 8, 0)], 1_000);
    assert_that!(table.freshest(1_000, 5), is_empty());
}

/// A limit is a multiple of the mean. If old entries lowered the mean below the
/// loads themselves, engines would stand over their limits, refuse, and lower
/// it further: an exchange that stops would stop the pool.
#[test]
fn mean_of_old_entries_falls_by_little() {
    let mut table = table_of(&[0, 1, 2]);
    table.set_local(load(8), 14_000);
    table.merge(&[entry(1, 8, 14_000), entry(2, 8, 14_000)], 14_000);
    assert_that!(table.mean(14_000), ge(0.95 * 8.0));
    assert_that!(table.mean(14_000), lt(8.0));
}

#[test]
fn mean_forgets_entries_that_are_too_old() {
    let mut table = table_of(&[0, 1]);
    table.merge(&[entry(1, 8, 0)], 1_000);
    table.set_local(load(2), 60_000);
    assert_that!(table.mean(60_000), eq(2.0));
}
