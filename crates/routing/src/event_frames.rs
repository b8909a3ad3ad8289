//! Cuts a stream of bytes into whole events and keeps their bytes unchanged.
//!
//! An event ends with an empty line. Libraries parse events into fields and
//! drop the bytes; a relay has to pass on the endpoint's own bytes, and only
//! whole events, so that another endpoint can go on after the last one.

use bytes::{Buf, Bytes, BytesMut};

/// One event with its bytes, the empty line included.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EventFrame {
    /// The bytes as they came.
    pub bytes: Bytes,
    /// The event's `id`, if it is a number.
    pub id: Option<u64>,
}

/// Cuts bytes into events.
///
/// # Example
///
/// ```
/// use chalkrock_routing::EventFrames;
///
/// let mut frames = EventFrames::default();
/// frames.push(b"id: 3\ndata: a\n\nid: 4\nda");
/// assert_eq!(frames.next().unwrap().id, Some(3));
/// assert!(frames.next().is_none());
/// assert_eq!(frames.rest().len(), 8);
/// ```
#[derive(Clone, Debug, Default)]
pub struct EventFrames {
    buffer: BytesMut,
    /// Bytes that were searched for an end before.
    searched: usize,
}

impl EventFrames {
    /// Adds bytes as they arrive.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// The next whole event, if there is one.
    #[expect(
        clippy::should_implement_trait,
        reason = "an event may follow after `None`"
    )]
    pub fn next(&mut self) -> Option<EventFrame> {
        let end = self.end_of_event()?;
        let bytes = self.buffer.split_to(end).freeze();
        self.searched = 0;
        let id = id_of(&bytes);
        Some(EventFrame { bytes, id })
    }

    /// Bytes of an event that is not whole.
    pub fn remaining(&self) -> &[u8] {
        &self.buffer
    }

    /// Takes the bytes of an event that is not whole.
    pub fn take_remaining(&mut self) -> Bytes {
        self.searched = 0;
        let length = self.buffer.remaining();
        self.buffer.copy_to_bytes(length)
    }

    /// The place after the first empty line.
    fn end_of_event(&mut self) -> Option<usize> {
        const LONGEST_END: usize = 3;
        let from = self.searched.saturating_sub(LONGEST_END);
        let bytes = &self.buffer[..];
        for at in from..bytes.len() {
            let rest = &bytes[at..];
            if rest.starts_with(b"\n\n") {
                return Some(at + 2);
            }
            if rest.starts_with(b"\n\r\n") {
                return Some(at + 3);
            }
        }
        self.searched = bytes.len();
        None
    }
}

/// The number of an event's `id` field.
fn id_of(event: &[u8]) -> Option<u64> {
    let line = event
        .split(|byte| *byte == b'\n')
        .find_map(|line| line.strip_prefix(b"id:"))?;
    std::str::from_utf8(line).ok()?.trim().parse().ok()
}
