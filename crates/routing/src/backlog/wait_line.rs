//! The order of the requests that a host holds for overrun pools.

use std::collections::BTreeSet;

/// Most requests that a host holds. More would wait longer than they may.
pub const MAX_WAITING: usize = 64;

/// Order of a held request: the smallest is sent first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct WaitOrder {
    /// Priority, 0 the most urgent.
    pub rank: u8,
    /// When it entered the host, in milliseconds.
    pub entered_at_ms: u64,
}

/// A place in the line.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct LineTicket {
    order: WaitOrder,
    serial: u64,
}

/// The requests that a host holds, in order.
///
/// # Example
///
/// ```
/// use chalkrock_routing::{WaitLine, WaitOrder};
///
/// let mut line = WaitLine::default();
/// let late = line.enter(WaitOrder { rank: 1, entered_at_ms: 5 }).unwrap();
/// let urgent = line.enter(WaitOrder { rank: 0, entered_at_ms: 9 }).unwrap();
/// assert!(line.is_first(&urgent) && !line.is_first(&late));
/// line.leave(&urgent);
/// assert!(line.is_first(&late));
/// ```
#[derive(Clone, Debug, Default)]
pub struct WaitLine {
    tickets: BTreeSet<LineTicket>,
    last_serial: u64,
}

impl WaitLine {
    /// Takes a place; `None` if the line is full.
    pub fn enter(&mut self, order: WaitOrder) -> Option<LineTicket> {
        if self.tickets.len() >= MAX_WAITING {
            return None;
        }
        self.last_serial += 1;
        let ticket = LineTicket {
            order,
            serial: self.last_serial,
        };
        self.tickets.insert(ticket);
        Some(ticket)
    }

    /// Whether no other request is before this one.
    pub fn is_first(&self, ticket: &LineTicket) -> bool {
        self.tickets.first() == Some(ticket)
    }

    /// Gives the place up.
    pub fn leave(&mut self, ticket: &LineTicket) {
        self.tickets.remove(ticket);
    }

    /// Number of requests that wait.
    pub fn len(&self) -> usize {
        self.tickets.len()
    }

    /// Whether none waits.
    pub fn is_empty(&self) -> bool {
        self.tickets.is_empty()
    }
}
