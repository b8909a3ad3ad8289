//! Events are cut whole and unchanged, however their bytes arrive.

use chalkrock_routing::EventFrames;
use googletest::prelude::*;
use proptest::prelude::*;

/// Events as bytes and number, and the bytes that are left.
type Cut = (Vec<(Vec<u8>, Option<u64>)>, Vec<u8>);

fn cut(chunks: &[&[u8]]) -> Cut {
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
    let (events, rest) = cut(&[b"id: 1\ndata: a\n\nid:2\ndata: b\n\n"]);
    assert_that!(events.len(), eq(2));
    assert_that!(events[0].0, eq(b"id: 1\ndata: a\n\n"));
    assert_that!((events[0].1, events[1].1), eq((Some(1), Some(2))));
    assert_that!(rest, is_empty());
}

#[test]
fn frames_take_carriage_returns() {
    let (events, _) = cut(&[b"id: 1\r\ndata: a\r\n\r\nid: 2\r\n"]);
    assert_that!(events.len(), eq(1));
    assert_that!(events[0].1, some(eq(1)));
}

#[test]
fn frames_hold_back_a_part_of_an_event() {
    let (events, rest) = cut(&[b"id: 1\n\nid: 2\ndata: half"]);
    assert_that!(events.len(), eq(1));
    assert_that!(rest, eq(b"id: 2\ndata: half"));
}

#[test]
fn frames_without_a_number_have_no_id() {
    for event in [&b"data: id: 3\n\n"[..], b"id: x\n\n", b"\n\n"] {
        let (events, _) = cut(&[event]);
        assert_that!(events[0].1, none());
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: proptest::test_runner::RngSeed::Fixed(3),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn frames_are_the_same_however_cut(
        bytes in proptest::collection::vec(
            proptest::sample::select(vec![b'\n', b'\r', b'i', b'd', b':', b'1', b' ']), 0..80),
        places in proptest::collection::vec(any::<proptest::sample::Index>(), 0..6),
    ) {
        let whole = cut(&[&bytes]);
        let mut places: Vec<usize> = places.iter().map(|p| p.index(bytes.len() + 1)).collect();
        places.sort_unstable();
        places.push(bytes.len());
        let mut chunks = Vec::new();
        let mut from = 0;
        for place in places {
            chunks.push(&bytes[from..place]);
            from = place;
        }
        let in_parts = cut(&chunks);
        prop_assert_eq!(&whole, &in_parts);
        let mut joined: Vec<u8> = whole.0.into_iter().flat_map(|(bytes, _)| bytes).collect();
        joined.extend(whole.1);
        prop_assert_eq!(joined, bytes);
    }
}
