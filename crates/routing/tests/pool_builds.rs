//! What a host may claim of the builds that a pool had.

use std::collections::BTreeSet;

use chalkrock_core::{BuildVersion, PoolId};
use chalkrock_routing::{
    BUILD_RETENTION_MS, BuildHistory, BuildRecord, FleetPast, PoolPast, RecordChange, StoreClock,
    StoreVersion, StoredBuilds, UnknownBuild,
};
use googletest::prelude::*;

const BOUND_MS: u64 = 3_000;
const WINDOW_MS: u64 = 20_000;
const CLOCK: StoreClock = StoreClock {
    now_ms: 500_000,
    era: 0,
};
const CLOCK_AFTER_RESTORE: StoreClock = StoreClock { era: 1, ..CLOCK };

fn pool() -> PoolId {
    PoolId::from("pool")
}

fn builds(names: &[&str]) -> BTreeSet<BuildVersion> {
    names.iter().copied().map(BuildVersion::from).collect()
}

fn record(since_ms: u64, listed: &[&str], earlier: &[(&str, u64)]) -> BuildRecord {
    let earlier = earlier.iter();
    BuildRecord {
        era: 0,
        since_ms,
        listed: builds(listed),
        last_listed_ms: earlier
            .map(|(name, at_ms)| ((*name).into(), *at_ms))
            .collect(),
    }
}

fn stored(record: Option<BuildRecord>) -> StoredBuilds {
    StoredBuilds {
        pool: pool(),
        version: StoreVersion(7),
        record,
    }
}

/// A host that read `records` at `clock`, at 1,000 ms of its own clock.
fn history_of(records: &[StoredBuilds], clock: StoreClock) -> BuildHistory {
    let mut history = BuildHistory::new(BOUND_MS);
    history.confirm(1_000, 0);
    let past = FleetPast::from_records(records, clock);
    assert_that!(history.learn(&past, history.gap(), 1_000), eq(true));
    history.replace_records(records.to_vec(), 1_000);
    history
}

/// The claim of a host that lists `v1`, with a list that was confirmed now.
fn claim(history: &mut BuildHistory, now_ms: u64) -> std::result::Result<(), UnknownBuild> {
    for at_ms in (history.list_age_ms(0).map_or(0, |_| 1_000)..=now_ms).step_by(1_000) {
        history.confirm(at_ms, 0);
    }
    let build = BuildVersion::from("v1");
    let claim = history.only_build(&pool(), [&build], WINDOW_MS, now_ms);
    claim.map(|_| ())
}

/// Guards against claims by a record that names another build or lacks a part of the window.
#[test]
fn claim_follows_the_record_at_every_edge_of_the_window() {
    let now_ms = CLOCK.now_ms;
    let at = |ago_ms: u64| now_ms - ago_ms;
    let several = Err(UnknownBuild::SeveralBuilds);
    let short = Err(UnknownBuild::ShortRecord);
    for (name, record, elapsed_ms, expected) in [
        ("same build", record(0, &["v1"], &[]), 0, Ok(())),
        ("no build yet", record(0, &[], &[]), 0, Ok(())),
        ("other build listed", record(0, &["v2"], &[]), 0, several),
        ("both listed", record(0, &["v1", "v2"], &[]), 0, several),
        (
            "until the window's end",
            record(0, &["v2"], &[]),
            20_000,
            several,
        ),
        ("after the window", record(0, &["v2"], &[]), 20_001, Ok(())),
        (
            "gone long ago",
            record(0, &["v1"], &[("v2", at(20_001))]),
            0,
            Ok(()),
        ),
        (
            "gone in the window",
            record(0, &["v1"], &[("v2", at(20_000))]),
            0,
            several,
        ),
        (
            "gone, then",
            record(0, &["v1"], &[("v2", at(15_000))]),
            5_000,
            several,
        ),
        (
            "gone, passed",
            record(0, &["v1"], &[("v2", at(15_000))]),
            5_001,
            Ok(()),
        ),
        (
            "clock behind",
            record(0, &["v1"], &[("v2", now_ms + 5)]),
            19_000,
            several,
        ),
        (
            "begins in the window",
            record(at(19_999), &["v1"], &[]),
            0,
            short,
        ),
        (
            "begins with the window",
            record(at(20_000), &["v1"], &[]),
            0,
            Ok(()),
        ),
        (
            "window passed since",
            record(at(15_000), &["v1"], &[]),
            5_000,
            Ok(()),
        ),
        (
            "began later than now",
            record(now_ms + 5, &["v1"], &[]),
            19_999,
            short,
        ),
    ] {
        let mut history = history_of(&[stored(Some(record))], CLOCK);
        // A record that was read at 1,000 ms counts from then on.
        assert_that!(
            claim(&mut history, 1_000 + elapsed_ms),
            eq(expected),
            "{name}"
        );
    }
}

/// Guards against claims by records that are missing, unreadable or from before a restore.
#[test]
fn claim_without_a_record_of_the_era_waits_for_a_window() {
    let earlier = record(0, &["v1"], &[]);
    let later = BuildRecord {
        era: 1,
        ..earlier.clone()
    };
    let recent = BuildRecord {
        era: 1,
        since_ms: CLOCK.now_ms - 4_000,
        ..earlier.clone()
    };
    let short = Err(UnknownBuild::ShortRecord);
    for (name, clock, records, elapsed_ms, expected) in [
        ("absent", CLOCK, vec![], 0, Ok(())),
        ("unreadable", CLOCK, vec![stored(None)], 0, short),
        ("unreadable, then", CLOCK, vec![stored(None)], 19_999, short),
        (
            "unreadable, passed",
            CLOCK,
            vec![stored(None)],
            20_000,
            Ok(()),
        ),
        ("lost", CLOCK_AFTER_RESTORE, vec![], 0, short),
        ("lost, then", CLOCK_AFTER_RESTORE, vec![], 19_999, short),
        ("lost, passed", CLOCK_AFTER_RESTORE, vec![], 20_000, Ok(())),
        (
            "earlier era",
            CLOCK_AFTER_RESTORE,
            vec![stored(Some(earlier.clone()))],
            19_999,
            short,
        ),
        (
            "earlier era, passed",
            CLOCK_AFTER_RESTORE,
            vec![stored(Some(earlier))],
            20_000,
            Ok(()),
        ),
        (
            "of the era",
            CLOCK_AFTER_RESTORE,
            vec![stored(Some(later.clone()))],
            0,
            Ok(()),
        ),
        (
            "since the restore",
            CLOCK_AFTER_RESTORE,
            vec![stored(Some(recent))],
            15_999,
            short,
        ),
        ("of a later era", CLOCK, vec![stored(Some(later))], 0, short),
    ] {
        let mut history = history_of(&records, clock);
        assert_that!(
            claim(&mut history, 1_000 + elapsed_ms),
            eq(expected),
            "{name}"
        );
    }
}

/// Guards against builds of an earlier era whose times mean nothing by the clock of this one.
#[test]
fn builds_of_an_earlier_era_count_from_the_read() {
    let record = record(0, &["v1"], &[("v2", 1_000)]);
    let past = record.past(CLOCK_AFTER_RESTORE);
    let expected = PoolPast {
        complete_ms: 0,
        builds: vec![("v1".into(), 0), ("v2".into(), 0)],
    };
    assert_that!(past, eq(&expected));
}

/// Guards against claims by a list that nobody has confirmed within the bound, or that was
/// not followed since the record was read.
#[test]
fn claim_needs_a_current_list_and_a_record_read_after_every_gap() {
    let build = BuildVersion::from("v1");
    let claim = |history: &BuildHistory, now_ms| {
        let claim = history.only_build(&pool(), [&build], WINDOW_MS, now_ms);
        claim.map(|_| ())
    };
    let past = FleetPast::from_records(&[], CLOCK);
    let mut history = BuildHistory::new(BOUND_MS);
    assert_that!(history.list_age_ms(500), none());
    assert_that!(claim(&history, 500), eq(Err(UnknownBuild::NoRecord)));
    assert_that!(history.learn(&past, history.gap(), 600), eq(false));
    history.confirm(1_000, 0);
    assert_that!(history.lacks_past(), eq(true));
    assert_that!(claim(&history, 1_000), eq(Err(UnknownBuild::NoRecord)));
    assert_that!(history.learn(&past, history.gap(), 1_100), eq(true));
    assert_that!(history.lacks_past(), eq(false));
    assert_that!(claim(&history, 4_000), eq(Ok(())));
    assert_that!(claim(&history, 4_001), eq(Err(UnknownBuild::OldList)));
    assert_that!(history.past(4_001), none());
    history.confirm(4_100, 100);
    // A report that arrives late does not make the list older.
    history.confirm(4_200, 2_200);
    assert_that!(history.list_age_ms(5_000), some(eq(1_000)));
    assert_that!(claim(&history, 5_000), eq(Ok(())));
    let gap = history.gap();
    history.confirm(7_001, 0);
    assert_that!(history.lacks_past(), eq(true));
    assert_that!(claim(&history, 7_001), eq(Err(UnknownBuild::NoRecord)));
    assert_that!(history.past(7_001), none());
    // A record that was requested before the gap.
    assert_that!(history.learn(&past, gap, 7_002), eq(false));
    assert_that!(claim(&history, 7_002), eq(Err(UnknownBuild::NoRecord)));
    assert_that!(history.learn(&past, history.gap(), 7_003), eq(true));
    assert_that!(claim(&history, 7_003), eq(Ok(())));
    // A restored store has lost its records.
    let past = FleetPast::from_records(&[], CLOCK_AFTER_RESTORE);
    assert_that!(history.learn(&past, history.gap(), 7_004), eq(false));
    assert_that!(claim(&history, 7_004), eq(Ok(())));
}

/// Guards against a host that starts and knows no age of a list that was confirmed before.
#[test]
fn list_may_be_confirmed_before_the_host_started() {
    let mut history = BuildHistory::new(BOUND_MS);
    history.confirm(10, 250);
    assert_that!(history.list_age_ms(60), some(eq(300)));
    let past = FleetPast::from_records(&[], CLOCK);
    assert_that!(history.learn(&past, history.gap(), 60), eq(true));
    assert_that!(history.is_current(2_760), eq(true));
    assert_that!(history.is_current(2_761), eq(false));
}

#[test]
fn claim_of_a_pool_without_builds_names_none() {
    let history = history_of(&[], CLOCK);
    let claim = history.only_build(&pool(), [], WINDOW_MS, 1_000);
    assert_that!(claim, eq(Err(UnknownBuild::NoBuild)));
}

/// Guards against a past that gets longer or loses builds on its way to another host.
#[test]
fn past_of_another_host_keeps_builds_and_their_ages() {
    let at_ms = CLOCK.now_ms - 6_000;
    let record = record(CLOCK.now_ms - 10_000, &["v1"], &[("v2", at_ms)]);
    let mut first = history_of(&[stored(Some(record))], CLOCK);
    first.record_listed(&"other".into(), &"v3".into(), 2_500);
    let past = first.past(3_000).expect("a past");
    let mut second = BuildHistory::new(BOUND_MS);
    second.confirm(90_000, 0);
    assert_that!(second.learn(&past, second.gap(), 90_000), eq(true));
    let pool_past = second.past(91_000).expect("a past");
    let mut pools = pool_past.pools.iter();
    let (_, mut pool_past) = pools
        .find(|(name, _)| *name == pool())
        .cloned()
        .expect("a pool");
    pool_past.builds.sort();
    // 10,000 ms and 6,000 ms at the read, 2,000 ms at the first host and 1,000 ms here.
    let expected = PoolPast {
        complete_ms: 13_000,
        builds: vec![("v1".into(), 3_000), ("v2".into(), 9_000)],
    };
    assert_that!(pool_past, eq(&expected));
    let listed = [&BuildVersion::from("v4")];
    let other = second.only_build(&"other".into(), listed, WINDOW_MS, 91_000);
    assert_that!(other, eq(Err(UnknownBuild::SeveralBuilds)));
    let new = second.only_build(&"new".into(), listed, WINDOW_MS, 91_000);
    assert_that!(new, eq(Ok(listed[0])));
}

/// Guards against writes that a record does not need, and against records that lack a build.
#[test]
fn record_is_written_when_it_lacks_a_change() {
    let missing = Some(RecordChange::Missing);
    let unlisted = Some(RecordChange::Unlisted);
    let read = |record| vec![stored(Some(record))];
    for (name, records, listed, era, expected) in [
        ("no pool", vec![], vec![], 0, None),
        ("first build", vec![], vec!["v1"], 0, missing),
        ("unreadable", vec![stored(None)], vec!["v1"], 0, missing),
        ("same", read(record(0, &["v1"], &[])), vec!["v1"], 0, None),
        (
            "new",
            read(record(0, &["v1"], &[])),
            vec!["v1", "v2"],
            0,
            missing,
        ),
        (
            "replaced",
            read(record(0, &["v1"], &[])),
            vec!["v2"],
            0,
            missing,
        ),
        (
            "gone",
            read(record(0, &["v1", "v2"], &[])),
            vec!["v2"],
            0,
            unlisted,
        ),
        (
            "all gone",
            read(record(0, &["v1"], &[])),
            vec![],
            0,
            unlisted,
        ),
        ("none", read(record(0, &[], &[("v1", 5)])), vec![], 0, None),
        (
            "later era",
            read(record(0, &["v1"], &[])),
            vec!["v1"],
            1,
            missing,
        ),
    ] {
        let history = history_of(&records, CLOCK);
        let change = history.missing_change(&pool(), &builds(&listed), era);
        assert_that!(change, eq(expected), "{name}");
    }
}

/// Guards against records that forget a build or claim more than their writer knows.
#[test]
fn record_merges_what_the_writer_and_the_store_know() {
    let now_ms = CLOCK.now_ms;
    let at = |ago_ms: u64| now_ms - ago_ms;
    let read = |record| vec![stored(Some(record))];
    // The writer read them 2,000 ms ago and saw `v3` until 500 ms ago.
    let seen = ("v3", at(500));
    for (name, records, expected) in [
        ("absent", vec![], record(0, &["v1"], &[seen])),
        (
            "unreadable",
            vec![stored(None)],
            record(at(2_000), &["v1"], &[seen]),
        ),
        (
            "same",
            read(record(0, &["v1"], &[])),
            record(0, &["v1"], &[seen]),
        ),
        (
            "listed at the read",
            read(record(at(9_000), &["v1", "v2"], &[])),
            record(at(9_000), &["v1"], &[("v2", at(2_000)), seen]),
        ),
        (
            "gone",
            read(record(0, &[], &[("v2", at(30_000)), ("v1", at(7))])),
            record(0, &["v1"], &[("v2", at(30_000)), seen]),
        ),
        (
            "kept",
            read(record(0, &[], &[("v2", at(BUILD_RETENTION_MS))])),
            record(0, &["v1"], &[("v2", at(BUILD_RETENTION_MS)), seen]),
        ),
        (
            "expired",
            read(record(0, &[], &[("v2", at(BUILD_RETENTION_MS + 1))])),
            record(0, &["v1"], &[seen]),
        ),
    ] {
        let read_at = StoreClock {
            now_ms: at(2_000),
            ..CLOCK
        };
        let mut history = history_of(&records, read_at);
        history.record_listed(&pool(), &"v3".into(), 2_500);
        let written = history.record(&pool(), builds(&["v1"]), CLOCK, 3_000);
        assert_that!(written, some(eq(&expected)), "{name}");
    }
}

/// Guards against a record by a host whose list is old, and against the clock of an earlier
/// era in a record.
#[test]
fn record_is_that_of_a_host_that_follows_the_list() {
    let history = history_of(&[stored(Some(record(9, &["v2"], &[("v3", 8)])))], CLOCK);
    let write = |clock, now_ms| history.record(&pool(), builds(&["v1"]), clock, now_ms);
    assert_that!(write(CLOCK, 4_001), none());
    let written = write(CLOCK_AFTER_RESTORE, 1_500).expect("a record");
    assert_that!(written.era, eq(1));
    assert_that!(written.since_ms, eq(0));
    assert_that!(
        written.last_listed_ms.get(&"v2".into()),
        some(eq(&(CLOCK.now_ms - 500)))
    );
}

/// Guards against an older answer that replaces the version of a record, so that the next
/// write fails.
#[test]
fn records_keep_the_newest_version() {
    let mut history = BuildHistory::new(BOUND_MS);
    let stored = |version| StoredBuilds {
        version: StoreVersion(version),
        ..stored(Some(record(0, &["v1"], &[])))
    };
    assert_that!(history.record_version(&pool()), eq(StoreVersion(0)));
    for (version, expected) in [(5, 5), (4, 5), (9, 9)] {
        history.set_record(stored(version), 1_000);
        assert_that!(history.record_version(&pool()), eq(StoreVersion(expected)));
    }
    assert_that!(history.records().count(), eq(1));
    history.remove_record(&pool());
    assert_that!(history.record_version(&pool()), eq(StoreVersion(0)));
}

/// Guards against streams that begin at a build by which other hosts do not yet judge the past.
#[test]
fn stream_builds_are_recorded_for_the_bound() {
    let builds = ["v1", "v2", "v3"].map(BuildVersion::from);
    let stored = |version, listed: &[&str]| StoredBuilds {
        version: StoreVersion(version),
        ..stored(Some(record(0, listed, &[])))
    };
    let mut history = BuildHistory::new(BOUND_MS);
    let eligible = |history: &BuildHistory, now_ms| {
        let listed = builds.iter().collect();
        let eligible = history.stream_builds(&pool(), listed, now_ms);
        eligible.into_iter().map(BuildVersion::as_str).collect()
    };
    let all: Vec<&str> = eligible(&history, 500);
    assert_that!(all, eq(&["v1", "v2", "v3"]), "without a record");
    history.set_record(stored(5, &["v1"]), 1_000);
    history.set_record(stored(6, &["v1", "v2"]), 9_000);
    let table = [
        (2_000, vec!["v1"]),
        (9_000 + BOUND_MS - 1, vec!["v1"]),
        (9_000 + BOUND_MS, vec!["v1", "v2"]),
    ];
    for (now_ms, expected) in table {
        assert_that!(eligible(&history, now_ms), eq(&expected), "at {now_ms} ms");
    }
    // A build that left its record and comes back waits once more.
    history.set_record(stored(7, &["v1"]), 14_000);
    history.set_record(stored(8, &["v1", "v2"]), 15_000);
    assert_that!(eligible(&history, 17_000), eq(&vec!["v1"]));
    // Where no build has been recorded for the bound, those that were recorded first are left.
    history.replace_records(Vec::new(), 18_000);
    history.replace_records(vec![stored(9, &["v2", "v3"])], 19_000);
    assert_that!(eligible(&history, 19_500), eq(&vec!["v2", "v3"]));
    history.set_record(stored(10, &["v4"]), 20_000);
    assert_that!(eligible(&history, 30_000), is_empty());
    let unreadable = StoredBuilds {
        record: None,
        ..stored(11, &[])
    };
    history.set_record(unreadable, 31_000);
    assert_that!(eligible(&history, 31_000), eq(&vec!["v1", "v2", "v3"]));
}
