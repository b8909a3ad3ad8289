//! Virtual time: events in the order of their times, ties in the order they
//! were set.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// An event with its time.
#[derive(Debug)]
struct Timed<E> {
    at_us: u64,
    number: u64,
    event: E,
}

impl<E> PartialEq for Timed<E> {
    fn eq(&self, other: &Self) -> bool {
        self.number == other.number
    }
}

impl<E> Eq for Timed<E> {}

impl<E> PartialOrd for Timed<E> {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl<E> Ord for Timed<E> {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at_us, self.number).cmp(&(other.at_us, other.number))
    }
}

/// Virtual time and what is still to come.
#[derive(Debug)]
pub(crate) struct Clock<E> {
    now_us: u64,
    next_number: u64,
    queue: BinaryHeap<Reverse<Timed<E>>>,
}

impl<E> Clock<E> {
    pub(crate) fn new() -> Self {
        Self {
            now_us: 0,
            next_number: 0,
            queue: BinaryHeap::new(),
        }
    }

    pub(crate) fn now_us(&self) -> u64 {
        self.now_us
    }

    pub(crate) fn now_ms(&self) -> u64 {
        self.now_us / 1_000
    }

    pub(crate) fn after(&mut self, delay_us: u64, event: E) {
        let timed = Timed {
            at_us: self.now_us + delay_us,
            number: self.next_number,
            event,
        };
        self.next_number += 1;
        self.queue.push(Reverse(timed));
    }

    /// The next event, or `None` when its time is past `end_us`.
    pub(crate) fn next(&mut self, end_us: u64) -> Option<E> {
        if self
            .queue
            .peek()
            .is_none_or(|Reverse(timed)| timed.at_us > end_us)
        {
            return None;
        }
        let Reverse(timed) = self.queue.pop()?;
        self.now_us = timed.at_us;
        Some(timed.event)
    }
}
