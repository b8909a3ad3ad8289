//! Faults of a stand-in, set at run time by `POST /faults` or through its handle.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Active faults.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Faults {
    /// Answers every request with 503.
    pub down: bool,
    /// Delay added to each answer.
    pub slow_ms: u64,
    /// Applies writes but loses their answers.
    pub lose_answers: bool,
    /// Refuses new requests with 503 before they start.
    pub refuse: bool,
    /// Answers with bytes that are not a valid event stream.
    pub garbage: bool,
    /// Breaks each stream after this many events (0: never).
    pub break_after: usize,
    /// Sends each event twice.
    pub duplicate_events: bool,
    /// Omits one event in the middle of each new stream.
    pub drop_event: bool,
}

/// Faults shared between a stand-in and its handle.
#[derive(Clone, Debug, Default)]
pub struct SharedFaults(Arc<Mutex<Faults>>);

impl SharedFaults {
    /// Returns the active faults.
    pub fn get(&self) -> Faults {
        self.0
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// Replaces the active faults.
    pub fn set(&self, faults: Faults) {
        *self.0.lock().unwrap_or_else(PoisonError::into_inner) = faults;
    }

    /// Waits for the delay set by the `slow_ms` fault.
    pub async fn delay(&self) {
        let slow_ms = self.get().slow_ms;
        if slow_ms > 0 {
            tokio::time::sleep(Duration::from_millis(slow_ms)).await;
        }
    }
}
