//! Connections to the agents that write claims.

use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};

use chalkrock_core::rendezvous::KeyHash;
use chalkrock_proto::AgentApiClient;

/// Agents that write claims. Each writes one batch in 50 ms.
const WRITERS: u64 = 4;

/// Connections to the agents that write claims, one a group.
#[derive(Default)]
pub(crate) struct ClaimWriters(Mutex<HashMap<u64, AgentApiClient>>);

impl ClaimWriters {
    /// The group of a claim's row.
    pub(crate) fn group(row_key: &str) -> u64 {
        KeyHash::of(row_key.as_bytes()).0 % WRITERS
    }

    fn map(&self) -> MutexGuard<'_, HashMap<u64, AgentApiClient>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn get(&self, row_key: &str) -> Option<AgentApiClient> {
        self.map().get(&Self::group(row_key)).cloned()
    }

    pub(crate) fn keep(&self, row_key: &str, client: AgentApiClient) {
        self.map().insert(Self::group(row_key), client);
    }

    pub(crate) fn forget(&self, row_key: &str) {
        self.map().remove(&Self::group(row_key));
    }
}
