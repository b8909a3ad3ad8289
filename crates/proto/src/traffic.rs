//! Control traffic of a process by purpose.

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

/// Byte counters of all connections of a process, open and closed.
///
/// # Example
///
/// ```
/// use chalkrock_proto::{Purpose, Traffic};
///
/// let traffic = Traffic::default();
/// let counter = traffic.open(Purpose::Slots);
/// assert_eq!(traffic.bytes(Purpose::Slots).read_bytes, counter.read_bytes());
/// ```
#[derive(Debug, Default)]
pub struct Traffic(Mutex<State>);

#[derive(Debug, Default)]
struct State {
    closed: BTreeMap<Purpose, TrafficBytes>,
    open: Vec<(Purpose, Arc<ByteCounter>)>,
}

impl Traffic {
    /// Creates and attaches the counter of a new connection.
    pub fn open(&self, purpose: Purpose) -> Arc<ByteCounter> {
        let counter = Arc::new(ByteCounter::default());
        self.attach(purpose, counter.clone());
        counter
    }

    /// Attaches the counter of a connection whose purpose became known after it was opened.
    pub fn attach(&self, purpose: Purpose, counter: Arc<ByteCounter>) {
        let mut state = self.state();
        state.fold_closed();
        state.open.push((purpose, counter));
    }

    /// Returns the bytes of a purpose on all connections.
    pub fn bytes(&self, purpose: Purpose) -> TrafficBytes {
        let state = self.state();
        let mut total = state.closed.get(&purpose).copied().unwrap_or_default();
        for (_, counter) in state.open.iter().filter(|(p, _)| *p == purpose) {
            total.add(counter);
        }
        total
    }

    /// Returns the bytes by purpose and direction, with their metric labels.
    pub fn labelled(&self) -> Vec<(String, u64)> {
        let mut labelled = Vec::new();
        for purpose in Purpose::ALL {
            let bytes = self.bytes(purpose);
            let label = |dir: &str| format!("purpose=\"{}\",way=\"{dir}\"", purpose.label());
            labelled.push((label("in"), bytes.read_bytes));
            labelled.push((label("out"), bytes.written_bytes));
        }
        labelled
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    /// Adds the counters of dropped connections to the totals.
    fn fold_closed(&mut self) {
        let closed = self
            .open
            .extract_if(.., |(_, counter)| Arc::strong_count(counter) == 1);
        for (purpose, counter) in closed {
            self.closed.entry(purpose).or_default().add(&counter);
        }
    }
}

impl TrafficBytes {
    fn add(&mut self, counter: &ByteCounter) {
        self.read_bytes += counter.read_bytes();
        self.written_bytes += counter.written_bytes();
    }
}
