//! Splits a byte stream into whole server-sent events without changing their bytes.
//!
//! An event ends with an empty line. Parsing libraries return fields and drop the
//! bytes; a proxy has to forward the endpoint's own bytes, and only whole events, so
//! that another endpoint can resume after the last one.

use bytes::{Buf, Bytes, BytesMut};

/// One event, the empty line included.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EventFrame {
    /// The bytes as received.
    pub bytes: Bytes,
    /// The event's `id`, if it is a number.
    pub id: Option<u64>,
}

/// Splits bytes into events.
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
/// assert_eq!(frames.remaining().len(), 8);
/// ```
#[derive(Clone, Debug, Default)]
pub struct EventFrames {
    buffer: BytesMut,
    /// Bytes already searched for the end of an event.
    searched_bytes: usize,
}

impl EventFrames {
    /// Appends received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Removes and returns the next whole event, if there is one.
    #[expect(
        clippy::should_implement_trait,
        reason = "an event may follow after `None`"
    )]
    pub fn next(&mut self) -> Option<EventFrame> {
        let end = self.find_event_end()?;
        let bytes = self.buffer.split_to(end).freeze();
        self.searched_bytes = 0;
        let id = parse_id(&bytes);
        Some(EventFrame { bytes, id })
    }

    /// Bytes of an incomplete event.
    pub fn remaining(&self) -> &[u8] {
        &self.buffer
    }

    /// Removes and returns the bytes of an incomplete event.
    pub fn take_remaining(&mut self) -> Bytes {
        self.searched_bytes = 0;
        let length = self.buffer.remaining();
        self.buffer.copy_to_bytes(length)
    }

    /// Index after the first empty line.
    fn find_event_end(&mut self) -> Option<usize> {
        const MAX_TERMINATOR_BYTES: usize = 3;
        let start = self.searched_bytes.saturating_sub(MAX_TERMINATOR_BYTES);
        let bytes = &self.buffer[..];
        for index in start..bytes.len() {
            let tail = &bytes[index..];
            if tail.starts_with(b"\n\n") {
                return Some(index + 2);
            }
            if tail.starts_with(b"\n\r\n") {
                return Some(index + 3);
            }
        }
        self.searched_bytes = bytes.len();
        None
    }
}

/// Parses an event's `id` field.
fn parse_id(event: &[u8]) -> Option<u64> {
    let line = event
        .split(|byte| *byte == b'\n')
        .find_map(|line| line.strip_prefix(b"id:"))?;
    std::str::from_utf8(line).ok()?.trim().parse().ok()
}
