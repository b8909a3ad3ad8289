//! Splits a byte stream into whole server-sent events without changing their bytes.
//!
//! An event ends with an empty line. Parsing libraries return fields and drop the
//! bytes; a proxy has to forward the endpoint's own bytes, and only whole events, so
//! that another endpoint can resume after the last one.
//!
//! Lines end with LF, CRLF or CR, also mixed. A byte-order mark may come first; a line that
//! begins with a colon is a comment and no part of an event.

use bytes::{Buf, Bytes, BytesMut};

/// The byte-order mark of UTF-8, which may precede the first event of a stream.
const BYTE_ORDER_MARK: [u8; 3] = [0xef, 0xbb, 0xbf];

/// The line that a stream is in.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Line {
    /// Nothing of it has arrived.
    #[default]
    Empty,
    Comment,
    /// A field of an event.
    Field,
}

/// How the last line ended.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum LineEnd {
    #[default]
    None,
    /// With CR; an LF that follows belongs to it.
    Cr,
    /// With LF or CRLF.
    Lf,
}

/// Tracks whether a byte stream is inside an event, without keeping its bytes.
///
/// A stream that ends inside an event has been broken off.
///
/// # Example
///
/// ```
/// use chalkrock_routing::EventTracker;
///
/// let mut tracker = EventTracker::default();
/// tracker.push(b"id: 3\ndata: a\n");
/// assert!(tracker.is_inside_event());
/// tracker.push(b"\n: comment\n");
/// assert!(!tracker.is_inside_event());
/// ```
#[derive(Clone, Debug, Default)]
pub struct EventTracker {
    line: Line,
    line_end: LineEnd,
    /// Whether a field of the current event has ended.
    has_fields: bool,
    /// Bytes of [`BYTE_ORDER_MARK`] that were matched; all of them after the first line began.
    matched_mark_bytes: usize,
}

impl EventTracker {
    /// Tracks received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        for byte in bytes {
            self.advance(*byte);
        }
    }

    /// Whether the bytes so far end inside an event.
    pub fn is_inside_event(&self) -> bool {
        self.has_fields || self.line == Line::Field
    }

    /// Tracks one byte. Returns whether it ends an empty line.
    fn advance(&mut self, byte: u8) -> bool {
        if let Some(expected) = BYTE_ORDER_MARK.get(self.matched_mark_bytes) {
            if byte == *expected {
                self.matched_mark_bytes += 1;
                return false;
            }
            if self.matched_mark_bytes > 0 {
                self.line = Line::Field;
            }
            self.matched_mark_bytes = BYTE_ORDER_MARK.len();
        }
        match byte {
            b'\n' if self.line == Line::Empty && self.line_end == LineEnd::Cr => {
                self.line_end = LineEnd::Lf;
                false
            }
            b'\n' => self.end_line(LineEnd::Lf),
            b'\r' => self.end_line(LineEnd::Cr),
            _ => {
                if self.line == Line::Empty {
                    let is_comment = byte == b':';
                    self.line = if is_comment {
                        Line::Comment
                    } else {
                        Line::Field
                    };
                }
                false
            }
        }
    }

    /// Returns whether the line is empty.
    fn end_line(&mut self, end: LineEnd) -> bool {
        self.line_end = end;
        let line = std::mem::take(&mut self.line);
        self.has_fields = match line {
            Line::Empty => false,
            Line::Comment => self.has_fields,
            Line::Field => true,
        };
        line == Line::Empty
    }
}

/// One event, the empty line included.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EventFrame {
    /// The bytes as received.
    pub bytes: Bytes,
    /// The event's `id`, if it is a number.
    pub id: Option<u64>,
}

impl EventFrame {
    /// Removes a byte-order mark. It may only precede the first event of a stream, and this
    /// one continues another.
    pub fn remove_byte_order_mark(&mut self) {
        if self.bytes.starts_with(&BYTE_ORDER_MARK) {
            self.bytes.advance(BYTE_ORDER_MARK.len());
        }
    }
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
/// assert!(frames.is_inside_event());
/// assert_eq!(frames.remaining().len(), 8);
/// ```
#[derive(Clone, Debug, Default)]
pub struct EventFrames {
    buffer: BytesMut,
    /// Position after the bytes that were searched for the end of an event.
    tracker: EventTracker,
    searched_bytes: usize,
    /// Whether the searched bytes end with the CR of an empty line, whose LF may follow.
    may_end_with_lf: bool,
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

    /// Bytes that no whole event contains yet.
    pub fn remaining(&self) -> &[u8] {
        &self.buffer
    }

    /// Whether the remaining bytes, all of them searched, end inside an event.
    pub fn is_inside_event(&self) -> bool {
        self.tracker.is_inside_event()
    }

    /// Removes and returns the remaining bytes. The next bytes are those of a new stream.
    pub fn take_remaining(&mut self) -> Bytes {
        let length = self.buffer.remaining();
        let remaining = self.buffer.copy_to_bytes(length);
        *self = Self::default();
        remaining
    }

    /// Index after the first empty line.
    fn find_event_end(&mut self) -> Option<usize> {
        while let Some(&byte) = self.buffer.get(self.searched_bytes) {
            if std::mem::take(&mut self.may_end_with_lf) {
                if byte == b'\n' {
                    self.tracker.advance(byte);
                    self.searched_bytes += 1;
                }
                return Some(self.searched_bytes);
            }
            // Where lines end with CR alone, no LF is awaited: it would hold the event back.
            let line_end = self.tracker.line_end;
            let is_empty_line = self.tracker.advance(byte);
            self.searched_bytes += 1;
            if is_empty_line {
                if byte == b'\n' || line_end == LineEnd::Cr {
                    return Some(self.searched_bytes);
                }
                self.may_end_with_lf = true;
            }
        }
        None
    }
}

/// Parses an event's `id` field.
fn parse_id(event: &[u8]) -> Option<u64> {
    let event = event.strip_prefix(&BYTE_ORDER_MARK).unwrap_or(event);
    let line = event
        .split(|byte| matches!(byte, b'\n' | b'\r'))
        .find_map(|line| line.strip_prefix(b"id:"))?;
    std::str::from_utf8(line).ok()?.trim().parse().ok()
}
