//! Faults of a stand-in, switched at run time by `POST /faults` or directly.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Which faults are on.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Faults {
    /// Answers 503 and does nothing.
    pub down: bool,
    /// Answers this much later.
    pub slow_ms: u64,
    /// Writes take effect, their answers are lost.
    pub lose_answers: bool,
    /// Refuses new requests with 503 before they start.
    pub refuse: bool,
    /// Sends bytes that are no event stream.
    pub garbage: bool,
    /// Breaks each stream after this many events (0: never).
    pub break_after: usize,
    /// Sends each event twice.
    pub duplicate_events: bool,
    /// Leaves out one event in the middle of each new stream.
    pub drop_event: bool,
}

/// Faults shared between a stand-in and whoever switches them.
#[derive(Clone, Debug, Default)]
pub struct SharedFaults(Arc<Mutex<Faults>>);

impl SharedFaults {
    /// The faults that are on.
    pub fn get(&self) -> Faults {
        self.0
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// Switches the faults.
    pub fn set(&self, faults: Faults) {
        *self.0.lock().unwrap_or_else(PoisonError::into_inner) = faults;
    }

    /// Waits as long as the `slow_ms` fault says.
    pub async fn slow(&self) {
        let slow_ms = self.get().slow_ms;
        if slow_ms > 0 {
            tokio::time::sleep(Duration::from_millis(slow_ms)).await;
        }
    }
}
