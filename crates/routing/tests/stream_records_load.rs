//! Guards against records of streams that cost the store more than a few writes a second, or
//! that make one host a bottleneck, by plays in virtual time.

use std::collections::HashMap;

use chalkrock_core::rendezvous::MemberHash;
use chalkrock_core::{PoolId, RequestId};
use chalkrock_routing::StreamRow;
use chalkrock_routing::{
    BegunStream, PendingStreams, StoreClock, StreamGroup, StreamKey, StreamOrigin, WritePace,
    WrittenRows,
};
use googletest::prelude::*;

const SECONDS: u64 = 90;
/// Time after which rows are removed as fast as they are written.
const STEADY_FROM_MS: u64 = 60_000;
const RETENTION_MS: u32 = 20_000;
const COLLECT_MS: u64 = 50;

#[derive(Default)]
struct Writer {
    pending: PendingStreams,
    pace: WritePace,
    written: WrittenRows,
    write_at_ms: Option<u64>,
    received: u64,
}

/// What a second of a steady fleet costs.
#[derive(Debug)]
struct Cost {
    writes: f64,
    row_bytes: f64,
    removed_rows: f64,
    busiest_writer_streams: f64,
    /// Rows in the store, and bytes of them.
    kept_rows: usize,
    kept_bytes: usize,
    /// The same of the rows that one host reads.
    read_rows: usize,
    read_bytes: usize,
    /// Longest time until a stream was written.
    longest_wait_ms: u64,
}

fn play(hosts: usize, streams_per_s: u64) -> Cost {
    let members: Vec<(usize, MemberHash)> = (0..hosts)
        .map(|host| (host, MemberHash::of(&format!("127.0.0.{host}:7400"))))
        .collect();
    let builds = ["v2026.10.05", "v2026.11.20"];
    let pools: Vec<PoolId> = (0..8)
        .map(|pool| PoolId::from(format!("pool-{pool}").as_str()))
        .collect();
    let mut first_hosts: HashMap<String, usize> = HashMap::new();
    let mut writers: HashMap<usize, Writer> = HashMap::new();
    let mut kept: HashMap<String, usize> = HashMap::new();
    let (mut writes, mut bytes, mut removed, mut longest_wait_ms) = (0_u64, 0, 0, 0);
    let mut begun = 0;
    for now_ms in 0..SECONDS * 1_000 {
        let is_steady = now_ms >= STEADY_FROM_MS;
        while begun * 1_000 < now_ms * streams_per_s {
            let number = begun as usize;
            let key = StreamKey::of(None, &RequestId::from(format!("r-{number}").as_str()));
            let group = StreamGroup::of(key, hosts);
            let first = first_hosts.entry(group.prefix());
            let first = *first.or_insert_with(|| group.rank(members.iter().copied())[0]);
            let build = builds[number / 3 % builds.len()];
            let stream = BegunStream {
                key,
                origin: StreamOrigin::new(&pools[number % pools.len()], build.into()),
                began_ms: now_ms,
                retention_ms: RETENTION_MS,
            };
            let writer = writers.entry(first).or_default();
            writer.pending.push(group, stream);
            writer.received += u64::from(is_steady);
            let wait_ms = writer.pace.wait_ms(now_ms).max(COLLECT_MS);
            writer.write_at_ms.get_or_insert(now_ms + wait_ms);
            begun += 1;
        }
        for (host, writer) in &mut writers {
            if writer.write_at_ms != Some(now_ms) {
                continue;
            }
            writer.write_at_ms = None;
            writer.pace.record_write(now_ms);
            for (group, streams) in writer.pending.take_rows(now_ms) {
                let clock = StoreClock { now_ms, era: 0 };
                let row = StreamRow::encode(&streams, clock, now_ms);
                let key = writer.written.next_key(group, *host as u64);
                let expires_ms = streams.iter().map(BegunStream::expires_ms).max();
                writer
                    .written
                    .add(key.clone(), expires_ms.unwrap_or(now_ms));
                let waited = streams.iter().map(|stream| now_ms - stream.began_ms);
                longest_wait_ms = longest_wait_ms.max(waited.max().unwrap_or_default());
                bytes += if is_steady { row.len() } else { 0 };
                kept.insert(key, row.len());
            }
            let expired = writer.written.take_expired(now_ms);
            expired.iter().for_each(|key| {
                kept.remove(key);
            });
            writes += u64::from(is_steady);
            removed += if is_steady { expired.len() } else { 0 };
        }
    }
    let steady_s = (SECONDS - STEADY_FROM_MS / 1_000) as f64;
    let key = StreamKey::of(None, &RequestId::from("r-0"));
    let prefixes = StreamGroup::prefixes_to_read(key, hosts);
    let is_read = |row: &str| prefixes.iter().any(|prefix| row.starts_with(prefix));
    let read: Vec<usize> = kept
        .iter()
        .filter(|(row, _)| is_read(row))
        .map(|(_, bytes)| *bytes)
        .collect();
    let busiest = writers.values().map(|writer| writer.received).max();
    Cost {
        writes: writes as f64 / steady_s,
        row_bytes: bytes as f64 / steady_s,
        removed_rows: removed as f64 / steady_s,
        busiest_writer_streams: busiest.unwrap_or_default() as f64 / steady_s,
        kept_rows: kept.len(),
        kept_bytes: kept.values().sum(),
        read_rows: read.len(),
        read_bytes: read.iter().sum(),
        longest_wait_ms,
    }
}

#[test]
fn writes_stay_few_in_fleets_of_any_size() {
    const MAX_BYTES_PER_STREAM: f64 = 16.0;
    const MAX_ROWS_PER_READ: usize = 500;
    const MAX_WAIT_MS: u64 = 600;
    const MAX_READ_BYTES: usize = 100_000;
    const MAX_KEPT_BYTES: usize = 1_000_000;
    const MAX_STREAMS_BY_WRITER: f64 = 600.0;
    for (hosts, streams_per_s, max_writes) in [
        (1, 5, 2.1),
        (8, 67, 2.1),
        (80, 240, 33.0),
        (986, 2_900, 33.0),
    ] {
        let cost = play(hosts, streams_per_s);
        println!("{hosts} hosts, {streams_per_s} streams/s: {cost:.1?}");
        let streams = streams_per_s as f64;
        assert_that!(cost.writes, le(max_writes), "{hosts}");
        assert_that!(
            cost.row_bytes,
            le(streams * MAX_BYTES_PER_STREAM + cost.writes * 300.0),
            "{hosts}"
        );
        assert_that!(cost.read_rows, le(MAX_ROWS_PER_READ), "{hosts}");
        assert_that!(cost.longest_wait_ms, le(MAX_WAIT_MS), "{hosts}");
        let written_rows = cost.kept_rows as f64 / (f64::from(RETENTION_MS) / 1_000.0);
        assert_that!(cost.removed_rows, ge(0.9 * written_rows), "{hosts}");
        assert_that!(cost.read_bytes, le(MAX_READ_BYTES), "{hosts}");
        assert_that!(cost.kept_bytes, le(MAX_KEPT_BYTES), "{hosts}");
        let busiest = cost.busiest_writer_streams;
        assert_that!(busiest, le(streams.min(MAX_STREAMS_BY_WRITER)), "{hosts}");
    }
}
