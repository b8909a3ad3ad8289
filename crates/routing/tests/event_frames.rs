//! Guards against lost or altered events, however their bytes arrive.

use chalkrock_routing::{EventFrames, EventTracker};
use googletest::prelude::*;
use proptest::prelude::*;

/// Events as bytes and ID, and the remaining bytes.
type Frames = (Vec<(Vec<u8>, Option<u64>)>, Vec<u8>);

fn split(chunks: &[&[u8]]) -> Frames {
    let mut frames = EventFrames::default();
    let mut events = Vec::new();
    for chunk in chunks {
        frames.push(chunk);
        while let Some(frame) = frames.next() {
            events.push((frame.bytes.to_vec(), frame.id));
        }
    }
    (events, frames.take_remaining().to_vec())
}

#[test]
fn frames_keep_bytes_and_read_ids() {
    let (events, remaining) = split(&[b"id: 1\ndata: a\n\nid:2\ndata: b\n\n"]);
    assert_that!(events.len(), eq(2));
    assert_that!(events[0].0, eq(b"id: 1\ndata: a\n\n"));
    assert_that!((events[0].1, events[1].1), eq((Some(1), Some(2))));
    assert_that!(remaining, is_empty());
}

#[test]
fn frames_accept_carriage_returns() {
    let (events, _) = split(&[b"id: 1\r\ndata: a\r\n\r\nid: 2\r\n"]);
    assert_that!(events.len(), eq(1));
    assert_that!(events[0].1, some(eq(1)));
}

#[test]
fn frames_hold_back_incomplete_events() {
    let (events, remaining) = split(&[b"id: 1\n\nid: 2\ndata: half"]);
    assert_that!(events.len(), eq(1));
    assert_that!(remaining, eq(b"id: 2\ndata: half"));
}

#[test]
fn frames_without_a_numeric_id_have_no_id() {
    for event in [&b"data: id: 3\n\n"[..], b"id: x\n\n", b"\n\n"] {
        let (events, _) = split(&[event]);
        assert_that!(events[0].1, none());
    }
}

#[test]
fn frames_accept_all_line_ends() {
    for stream in [
        &b"id: 1\ndata: a\n\nid: 2\n\n"[..],
        b"id: 1\r\ndata: a\r\n\r\nid: 2\r\n\r\n",
        b"id: 1\rdata: a\r\rid: 2\r\r",
        b"id: 1\r\ndata: a\n\r\nid: 2\r\n\n",
        b"\xef\xbb\xbfid: 1\n\nid: 2\n\n",
        b": heartbeat\n\nid: 1\n: heartbeat\n\nid: 2\n\n",
    ] {
        let (events, remaining) = split(&[stream]);
        let ids: Vec<u64> = events.iter().filter_map(|(_, id)| *id).collect();
        let text = stream.escape_ascii();
        assert_that!(ids, eq(&[1, 2]), "{text}");
        assert_that!(remaining, is_empty(), "{text}");
    }
}

#[test]
fn frames_pass_on_events_that_end_with_a_lone_carriage_return_at_once() {
    let (events, remaining) = split(&[b"id: 1\rdata: a\r\r"]);
    assert_that!(events.len(), eq(1));
    assert_that!(remaining, is_empty());
}

#[test]
fn tracker_finds_ends_inside_events() {
    for (stream, is_inside) in [
        (&b""[..], false),
        (b"i", true),
        (b"id: 1", true),
        (b"id: 1\n", true),
        (b"id: 1\n\n", false),
        (b"id: 1\r\n", true),
        (b"id: 1\r\n\r", false),
        (b"id: 1\r\n\r\n", false),
        (b"id: 1\r", true),
        (b"id: 1\r\r", false),
        (b"id: 1\n\r\n", false),
        (b"id: 1\r\n\n", false),
        (b"id: 1\n\n\n\n", false),
        (b"id: 1\n\n: heartb", false),
        (b"id: 1\n\n: heartbeat\n", false),
        (b"id: 1\n: heartbeat\n", true),
        (b"id: 1\n\nd", true),
        (b"\xef\xbb\xbf", false),
        (b"\xef\xbb\xbfd", true),
        (b"\xef\xbb\xbf: heartbeat", false),
    ] {
        let text = stream.escape_ascii();
        let mut at_once = EventTracker::default();
        at_once.push(stream);
        assert_that!(at_once.is_inside_event(), eq(is_inside), "{text}");
        let mut by_byte = EventTracker::default();
        stream.chunks(1).for_each(|byte| by_byte.push(byte));
        assert_that!(by_byte.is_inside_event(), eq(is_inside), "{text}");
        let mut frames = EventFrames::default();
        frames.push(stream);
        while frames.next().is_some() {}
        assert_that!(frames.is_inside_event(), eq(is_inside), "{text}");
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: proptest::test_runner::RngSeed::Fixed(3),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn frames_are_independent_of_chunks(
        bytes in proptest::collection::vec(
            proptest::sample::select(vec![b'\n', b'\r', b'i', b'd', b':', b'1', b' ']), 0..80),
        cuts in proptest::collection::vec(any::<proptest::sample::Index>(), 0..6),
    ) {
        let at_once = split(&[&bytes]);
        let mut cuts: Vec<usize> = cuts.iter().map(|p| p.index(bytes.len() + 1)).collect();
        cuts.sort_unstable();
        cuts.push(bytes.len());
        let mut chunks = Vec::new();
        let mut start = 0;
        for cut in cuts {
            chunks.push(&bytes[start..cut]);
            start = cut;
        }
        let in_chunks = split(&chunks);
        prop_assert_eq!(&at_once, &in_chunks);
        let mut joined: Vec<u8> = at_once.0.into_iter().flat_map(|(bytes, _)| bytes).collect();
        joined.extend(at_once.1);
        prop_assert_eq!(joined, bytes);
    }
}
