//! Bytes on a process's control connections, by purpose.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use crate::agent_api::Purpose;
use crate::counted::ByteCounter;

/// Bytes transferred in each direction.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TrafficBytes {
    /// Bytes received.
    pub read_bytes: u64,
    /// Bytes sent.
    pub written_bytes: u64,
}

/// Byte counters of the control connections of a process whose purpose is known.
///
/// # Example
///
/// ```
/// use chalkrock_proto::{ControlTraffic, Purpose};
///
/// let traffic = ControlTraffic::default();
/// let counter = traffic.new_counter(Purpose::Slots);
/// assert_eq!(traffic.bytes(Purpose::Slots).read_bytes, counter.read_bytes());
/// ```
#[derive(Debug, Default)]
pub struct ControlTraffic(Mutex<State>);

#[derive(Debug, Default)]
struct State {
    closed_bytes: BTreeMap<Purpose, TrafficBytes>,
    /// Counters of open connections, and of closed ones until the next `add_counter`.
    counters: Vec<(Purpose, Arc<ByteCounter>)>,
}

impl ControlTraffic {
    /// Creates and adds the counter of a new connection.
    pub fn new_counter(&self, purpose: Purpose) -> Arc<ByteCounter> {
        let counter = Arc::new(ByteCounter::default());
        self.add_counter(purpose, counter.clone());
        counter
    }

    /// Adds the counter of a connection whose purpose became known after it was opened.
    pub fn add_counter(&self, purpose: Purpose, counter: Arc<ByteCounter>) {
        let mut state = self.state();
        state.fold_closed_counters();
        state.counters.push((purpose, counter));
    }

    /// Returns the bytes transferred for a purpose since the process started.
    pub fn bytes(&self, purpose: Purpose) -> TrafficBytes {
        let state = self.state();
        let mut total = state
            .closed_bytes
            .get(&purpose)
            .copied()
            .unwrap_or_default();
        for (_, counter) in state.counters.iter().filter(|(p, _)| *p == purpose) {
            total.add(counter);
        }
        total
    }

    /// Returns the bytes by purpose and direction, each with its metric labels.
    pub fn bytes_by_label(&self) -> Vec<(String, u64)> {
        let mut bytes_by_label = Vec::new();
        for purpose in Purpose::ALL {
            let bytes = self.bytes(purpose);
            let label =
                |direction: &str| format!("purpose=\"{}\",way=\"{direction}\"", purpose.label());
            bytes_by_label.push((label("in"), bytes.read_bytes));
            bytes_by_label.push((label("out"), bytes.written_bytes));
        }
        bytes_by_label
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    /// Moves the counters whose connections were dropped to the totals.
    fn fold_closed_counters(&mut self) {
        let closed = self
            .counters
            .extract_if(.., |(_, counter)| Arc::strong_count(counter) == 1);
        for (purpose, counter) in closed {
            self.closed_bytes.entry(purpose).or_default().add(&counter);
        }
    }
}

impl TrafficBytes {
    fn add(&mut self, counter: &ByteCounter) {
        self.read_bytes += counter.read_bytes();
        self.written_bytes += counter.written_bytes();
    }
}
