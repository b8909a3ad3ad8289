//! Control traffic of a process, by purpose.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use crate::agent_api::Purpose;
use crate::counted::ByteCounter;

/// Bytes that crossed sockets, both ways.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TrafficBytes {
    /// Bytes received.
    pub read_bytes: u64,
    /// Bytes sent.
    pub written_bytes: u64,
}

/// Counts of all connections of a process, open and closed.
///
/// # Example
///
/// ```
/// use chalkrock_proto::{Purpose, Traffic};
///
/// let traffic = Traffic::default();
/// let count = traffic.open(Purpose::Slots);
/// assert_eq!(traffic.bytes(Purpose::Slots).read_bytes, count.read_bytes());
/// ```
#[derive(Debug, Default)]
pub struct Traffic(Mutex<State>);

#[derive(Debug, Default)]
struct State {
    closed: BTreeMap<Purpose, TrafficBytes>,
    open: Vec<(Purpose, Arc<ByteCounter>)>,
}

impl Traffic {
    /// A count for a new connection.
    pub fn open(&self, purpose: Purpose) -> Arc<ByteCounter> {
        let count = Arc::new(ByteCounter::default());
        self.attach(purpose, count.clone());
        count
    }

    /// Adds a connection whose purpose became known after it was opened.
    pub fn attach(&self, purpose: Purpose, count: Arc<ByteCounter>) {
        let mut state = self.state();
        state.fold_closed();
        state.open.push((purpose, count));
    }

    /// All bytes of a purpose so far.
    pub fn bytes(&self, purpose: Purpose) -> TrafficBytes {
        let state = self.state();
        let mut total = state.closed.get(&purpose).copied().unwrap_or_default();
        for (_, count) in state.open.iter().filter(|(of, _)| *of == purpose) {
            total.add(count);
        }
        total
    }

    /// All bytes so far, with the labels of metrics.
    pub fn labelled(&self) -> Vec<(String, u64)> {
        let mut labelled = Vec::new();
        for purpose in Purpose::ALL {
            let bytes = self.bytes(purpose);
            let label = |way: &str| format!("purpose=\"{}\",way=\"{way}\"", purpose.label());
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
    /// Moves counts whose connection is gone into the totals.
    fn fold_closed(&mut self) {
        let closed = self
            .open
            .extract_if(.., |(_, count)| Arc::strong_count(count) == 1);
        for (purpose, count) in closed {
            self.closed.entry(purpose).or_default().add(&count);
        }
    }
}

impl TrafficBytes {
    fn add(&mut self, count: &ByteCounter) {
        self.read_bytes += count.read_bytes();
        self.written_bytes += count.written_bytes();
    }
}
