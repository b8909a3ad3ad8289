//! Puts a stream's events in order: repeats dropped, gaps found.

/// What to do with an event that arrived.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Arrival {
    /// It is the next one: send it on.
    Forward,
    /// It was there before: drop it.
    Repeat,
    /// Events before it are missing: fetch the stream again from `from`.
    Gap {
        /// The first event that is missing.
        from: u64,
    },
}

/// The place in one stream. Events are numbered from 0.
///
/// # Example
///
/// ```
/// use chalkrock_core::{Arrival, StreamOrder};
///
/// let mut order = StreamOrder::starting_at(0);
/// assert_eq!(order.arrive(0), Arrival::Forward);
/// assert_eq!(order.arrive(0), Arrival::Repeat);
/// assert_eq!(order.arrive(2), Arrival::Gap { from: 1 });
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StreamOrder {
    next: u64,
}

impl StreamOrder {
    /// A stream whose first wanted event is `next`.
    pub fn starting_at(next: u64) -> Self {
        Self { next }
    }

    /// The next event that is wanted.
    pub fn next(&self) -> u64 {
        self.next
    }

    /// Takes an event's number.
    pub fn arrive(&mut self, number: u64) -> Arrival {
        if number < self.next {
            return Arrival::Repeat;
        }
        if number > self.next {
            return Arrival::Gap { from: self.next };
        }
        self.next += 1;
        Arrival::Forward
    }
}
