//! Detects duplicate and missing events in a stream.

/// How to handle a received event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Arrival {
    /// The next event: forward it.
    Forward,
    /// A duplicate: drop it.
    Duplicate,
    /// Earlier events are missing: resume the stream at `from`.
    Gap {
        /// The first missing event.
        from: u64,
    },
}

/// The position in a stream, whose events are numbered from 0.
///
/// # Example
///
/// ```
/// use chalkrock_core::{Arrival, StreamOrder};
///
/// let mut order = StreamOrder::starting_at(0);
/// assert_eq!(order.accept(0), Arrival::Forward);
/// assert_eq!(order.accept(0), Arrival::Duplicate);
/// assert_eq!(order.accept(2), Arrival::Gap { from: 1 });
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StreamOrder {
    next: u64,
}

impl StreamOrder {
    /// Creates a position at which `next` is the first expected event.
    pub fn starting_at(next: u64) -> Self {
        Self { next }
    }

    /// The next expected event.
    pub fn next(&self) -> u64 {
        self.next
    }

    /// Classifies an event by its number and advances past the next one.
    pub fn accept(&mut self, number: u64) -> Arrival {
        if number < self.next {
            return Arrival::Duplicate;
        }
        if number > self.next {
            return Arrival::Gap { from: self.next };
        }
        self.next += 1;
        Arrival::Forward
    }
}
