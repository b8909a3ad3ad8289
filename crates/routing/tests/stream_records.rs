//! Guards against records of streams in the store that stand for other streams or builds, and
//! against rows and writes without bound.

use std::collections::BTreeMap;

use chalkrock_core::rendezvous::MemberHash;
use chalkrock_core::{PoolId, RequestId};
use chalkrock_routing::{
    BegunStream, PendingStreams, StoreClock, StreamGroup, StreamKey, StreamOrigin, StreamOrigins,
    StreamRow, WritePace, WrittenRows,
};
use googletest::prelude::*;
use proptest::prelude::*;

const RETENTION_MS: u32 = 20_000;
const WRITTEN: StoreClock = StoreClock {
    now_ms: 500_000,
    era: 3,
};

fn key(number: usize) -> StreamKey {
    StreamKey::of(None, &RequestId::from(format!("r-{number}").as_str()))
}

fn origin(pool: &str, build: &str) -> StreamOrigin {
    StreamOrigin::new(&PoolId::from(pool), build.into())
}

fn begun(number: usize, build: &str, began_ms: u64) -> BegunStream {
    BegunStream {
        key: key(number),
        origin: origin("pool", build),
        began_ms,
        retention_ms: RETENTION_MS,
    }
}

/// Reads a row at a time of the store, at 1,000 ms of the host's clock.
fn read(bytes: &[u8], clock: StoreClock) -> StreamOrigins {
    let mut origins = StreamOrigins::default();
    let row = StreamRow::decode(bytes).expect("a row");
    row.merge_into(&mut origins, clock, 1_000);
    origins
}

fn after(ms: u64) -> StoreClock {
    StoreClock {
        now_ms: WRITTEN.now_ms + ms,
        ..WRITTEN
    }
}

#[test]
fn rows_hold_what_was_encoded() {
    let streams = [
        begun(1, "v1", 100),
        begun(2, "v2", 400),
        BegunStream {
            origin: origin("other", "v1"),
            ..begun(3, "v1", 600)
        },
        BegunStream {
            retention_ms: 4_000,
            ..begun(4, "v1", 600)
        },
    ];
    let bytes = StreamRow::encode(&streams, WRITTEN, 600);
    let row = StreamRow::decode(&bytes).expect("a row");
    assert_that!(row.len(), eq(streams.len()));
    let origins = read(&bytes, after(2_000));
    for stream in &streams {
        let age_ms = 600 - stream.began_ms + 2_000;
        let found = origins.find(stream.key, 1_000);
        assert_that!(found, some(eq((&stream.origin, age_ms))));
        assert_that!(origins.is_stored(stream.key), eq(true));
        let left_ms = u64::from(stream.retention_ms) - age_ms;
        let expires_ms = 1_000 + left_ms;
        assert_that!(origins.find(stream.key, expires_ms - 1), some(anything()));
        assert_that!(origins.find(stream.key, expires_ms), none());
    }
    assert_that!(origins.find(key(5), 1_000), none());
}

#[test]
fn rows_name_each_build_once() {
    const STREAMS: usize = 500;
    const MAX_BYTES_PER_STREAM: usize = 12;
    let builds = ["2026-10-05-release-candidate-1", "2026-11-20-hotfix"];
    let streams: Vec<BegunStream> = (0..STREAMS)
        .map(|number| begun(number, builds[number % builds.len()], 600))
        .collect();
    let bytes = StreamRow::encode(&streams, WRITTEN, 1_000);
    assert_that!(bytes.len(), le(STREAMS * MAX_BYTES_PER_STREAM));
}

#[test]
fn rows_of_another_clock_prove_nothing() {
    const MAX_MS: u64 = RETENTION_MS as u64;
    let bytes = StreamRow::encode(&[begun(1, "v1", 0)], WRITTEN, 0);
    let era = |era: u64| StoreClock { era, ..WRITTEN };
    let earlier = |ms: u64| StoreClock {
        now_ms: WRITTEN.now_ms - ms,
        ..WRITTEN
    };
    for (name, clock, is_known, expires_in_ms) in [
        ("at once", WRITTEN, true, MAX_MS),
        ("just in time", after(MAX_MS - 1), true, 1),
        ("late", after(MAX_MS), false, 0),
        ("very late", after(u64::MAX / 2), false, 0),
        ("a clock slightly behind", earlier(2_000), true, MAX_MS),
        ("a clock far behind", earlier(2_001), false, MAX_MS),
        ("restored since", era(4), false, 0),
        (
            "an era that the reader does not know",
            era(2),
            false,
            MAX_MS,
        ),
    ] {
        let origins = read(&bytes, clock);
        let is_found = origins.find(key(1), 1_000).is_some();
        assert_that!(is_found, eq(is_known), "{name}");
        let row = StreamRow::decode(&bytes).expect("a row");
        assert_that!(row.expires_in_ms(clock), eq(expires_in_ms), "{name}");
    }
}

#[test]
fn rows_that_cannot_be_read_are_none() {
    let bytes = StreamRow::encode(&[begun(1, "v1", 0), begun(2, "v2", 0)], WRITTEN, 0);
    for length in 0..bytes.len() {
        assert_that!(StreamRow::decode(&bytes[..length]), none(), "{length}");
    }
    let longer = [&bytes[..], &[0]].concat();
    assert_that!(StreamRow::decode(&longer), none());
    let mut other_format = bytes.clone();
    other_format[0] = 1;
    assert_that!(StreamRow::decode(&other_format), none());
    assert_that!(StreamRow::decode(b"{\"streams\": []}"), none());
}

#[test]
fn rows_with_an_origin_that_they_do_not_hold_are_none() {
    let bytes = StreamRow::encode(&[begun(1, "v1", 0)], WRITTEN, 0);
    let mut other_origin = bytes.clone();
    // Key, origin and age are the last fields; an age of 0 takes one byte.
    let index = bytes.len() - 2;
    other_origin[index] = 1;
    assert_that!(StreamRow::decode(&bytes), some(anything()));
    assert_that!(StreamRow::decode(&other_origin), none());
}

#[test]
fn origins_that_differ_between_rows_or_hosts_are_ambiguous() {
    let row = |build: &str| {
        let bytes = StreamRow::encode(&[begun(1, build, 0)], WRITTEN, 0);
        StreamRow::decode(&bytes).expect("a row")
    };
    let (first, second) = (row("v1"), row("v2"));
    let mut two_rows = StreamOrigins::default();
    let mut stored_first = StreamOrigins::default();
    let mut remembered_first = StreamOrigins::default();
    first.merge_into(&mut two_rows, after(10), 1_000);
    first.merge_into(&mut two_rows, after(10), 1_000);
    assert_that!(two_rows.find(key(1), 1_000), some(anything()));
    second.merge_into(&mut two_rows, after(10), 1_000);
    first.merge_into(&mut stored_first, after(10), 1_000);
    stored_first.record(key(1), origin("pool", "v2"), 1_000, RETENTION_MS.into());
    remembered_first.record(key(1), origin("pool", "v2"), 1_000, RETENTION_MS.into());
    first.merge_into(&mut remembered_first, after(10), 1_000);
    for origins in [two_rows, stored_first, remembered_first] {
        assert_that!(origins.find(key(1), 1_001), none());
        assert_that!(origins.contains(key(1), 1_001), eq(true));
    }
}

#[test]
fn pending_streams_stay_bounded_and_the_newest_remain() {
    const MAX_PENDING: usize = 8_192;
    const STREAMS: usize = 10_000;
    let mut pending = PendingStreams::default();
    let mut dropped = 0;
    for number in 0..STREAMS {
        let stream = begun(number, "v1", number as u64);
        dropped += usize::from(pending.push(StreamGroup::All, stream));
    }
    assert_that!(pending.len(), eq(MAX_PENDING));
    assert_that!(dropped, eq(STREAMS - MAX_PENDING));
    let failed = pending.take_rows(STREAMS as u64);
    let taken: usize = failed.values().map(Vec::len).sum();
    for number in STREAMS..STREAMS + 100 {
        pending.push(StreamGroup::All, begun(number, "v1", number as u64));
    }
    assert_that!(pending.put_back(failed), eq(100));
    assert_that!(pending.len(), eq(MAX_PENDING));
    let row = &pending.take_rows(STREAMS as u64)[&StreamGroup::All];
    let first = STREAMS - MAX_PENDING + 100;
    assert_that!(row[0].key, eq(key(first)));
    assert_that!(row.len(), le(taken));
}

#[test]
fn pending_streams_that_expire_are_not_written() {
    let mut pending = PendingStreams::default();
    pending.push(StreamGroup::All, begun(1, "v1", 0));
    pending.push(StreamGroup::All, begun(2, "v1", 1));
    let rows = pending.take_rows(RETENTION_MS.into());
    let keys: Vec<StreamKey> = rows.values().flatten().map(|stream| stream.key).collect();
    assert_that!(keys, eq(&[key(2)]));
    assert_that!(pending.is_empty(), eq(true));
}

#[test]
fn rows_hold_streams_of_one_group() {
    const HOSTS: usize = 300;
    const STREAMS: usize = 400;
    let mut pending = PendingStreams::default();
    for number in 0..STREAMS {
        let group = StreamGroup::of(key(number), HOSTS);
        pending.push(group, begun(number, "v1", 0));
    }
    let rows = pending.take_rows(0);
    for (group, streams) in &rows {
        for stream in streams {
            assert_that!(StreamGroup::of(stream.key, HOSTS), eq(*group));
        }
    }
    assert_that!(rows.values().map(Vec::len).sum::<usize>(), eq(STREAMS));
}

#[test]
fn groups_are_read_where_they_are_written() {
    const STREAMS: usize = 200;
    for (writers, readers) in [(8, 8), (8, 63), (8, 986), (986, 8), (64, 986), (986, 1)] {
        for number in 0..STREAMS {
            let mut written = WrittenRows::default();
            let row = written.next_key(StreamGroup::of(key(number), writers), 7);
            let prefixes = StreamGroup::prefixes_to_read(key(number), readers);
            let is_read = prefixes.iter().any(|prefix| row.starts_with(prefix));
            assert_that!(is_read, eq(true), "{row} by {prefixes:?}");
        }
    }
}

#[test]
fn groups_move_only_when_their_first_host_is_gone() {
    const HOSTS: usize = 100;
    let hosts: Vec<(usize, MemberHash)> = (0..HOSTS)
        .map(|host| (host, MemberHash::of(&format!("host-{host}"))))
        .collect();
    for number in 0..50 {
        let group = StreamGroup::of(key(number), HOSTS);
        let ranked = group.rank(hosts.iter().copied());
        for gone in [ranked[0], ranked[1], ranked[HOSTS - 1]] {
            let left = hosts.iter().copied().filter(|(host, _)| *host != gone);
            let next = if gone == ranked[0] {
                ranked[1]
            } else {
                ranked[0]
            };
            assert_that!(group.rank(left)[0], eq(next));
        }
    }
}

#[test]
fn pace_allows_a_burst_and_then_two_writes_a_second() {
    const SECONDS: u64 = 60;
    let mut pace = WritePace::default();
    let (mut now_ms, mut writes) = (5_000, Vec::new());
    while now_ms < 5_000 + SECONDS * 1_000 {
        now_ms += pace.wait_ms(now_ms).max(10);
        pace.record_write(now_ms);
        writes.push(now_ms);
    }
    assert_that!(writes[3] - writes[0], eq(30));
    assert_that!(writes.len() as u64, le(2 * SECONDS + 4));
    let later_ms = now_ms + 2_000;
    assert_that!(pace.wait_ms(later_ms), eq(0));
}

#[test]
fn expired_rows_are_removed_once_and_a_few_at_a_time() {
    const ROWS: usize = 150;
    const MAX_REMOVED: usize = 64;
    let mut written = WrittenRows::default();
    let mut keys = Vec::new();
    for number in 0..ROWS {
        let key = written.next_key(StreamGroup::All, 7);
        written.add(key.clone(), 100 + number as u64);
        written.add(key.clone(), 0);
        keys.push(key);
    }
    let distinct: BTreeMap<&String, ()> = keys.iter().map(|key| (key, ())).collect();
    assert_that!(distinct.len(), eq(ROWS));
    assert_that!(written.take_expired(99), is_empty());
    assert_that!(written.take_expired(101), eq(&keys[..2]));
    assert_that!(written.last_expires_ms(), some(eq(100 + ROWS as u64 - 1)));
    let failed = written.take_expired(1_000);
    assert_that!(failed.len(), eq(MAX_REMOVED));
    written.put_back(failed, 1_000);
    let mut removed = 2;
    while written.last_expires_ms().is_some() {
        removed += written.take_expired(1_000).len();
    }
    assert_that!(removed, eq(ROWS));
}

proptest! {
    /// Guards against rows that exceed what a store accepts, and against builds with long names
    /// that keep others from being written.
    #[test]
    fn rows_stay_bounded(build_lengths in prop::collection::vec(0_usize..200, 1..600)) {
        const MAX_ROW_BYTES: usize = 16_384;
        let mut pending = PendingStreams::default();
        for (number, length) in build_lengths.iter().enumerate() {
            let build = "b".repeat(*length);
            pending.push(StreamGroup::All, begun(number, &build, number as u64));
        }
        let too_long = "b".repeat(MAX_ROW_BYTES);
        pending.push(StreamGroup::All, begun(0, &too_long, 0));
        let mut streams = 0;
        while let Some(row) = pending.take_rows(0).remove(&StreamGroup::All) {
            let bytes = StreamRow::encode(&row, WRITTEN, u32::MAX.into());
            prop_assert!(bytes.len() <= MAX_ROW_BYTES, "{}", bytes.len());
            prop_assert_eq!(StreamRow::decode(&bytes).map(|row| row.len()), Some(row.len()));
            streams += row.len();
        }
        prop_assert_eq!(streams, build_lengths.len());
        prop_assert!(pending.is_empty());
    }

    /// Guards against bytes that make a reader panic.
    #[test]
    fn any_bytes_are_read_or_none(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        if let Some(row) = StreamRow::decode(&bytes) {
            let mut origins = StreamOrigins::default();
            let merged = row.merge_into(&mut origins, WRITTEN, 1_000);
            prop_assert!(merged <= row.len());
            prop_assert!(row.expires_in_ms(WRITTEN) <= u32::MAX.into());
        }
    }
}
