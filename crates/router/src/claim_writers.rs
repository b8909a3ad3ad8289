//! Cached connections to the agents that write claims.

use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};

use chalkrock_core::rendezvous::KeyHash;
use chalkrock_proto::AgentApiClient;

/// Number of agents that write claims.
const WRITER_GROUPS: u64 = 4;

/// Connections to claim writers, one per group of keys.
#[derive(Default)]
pub(crate) struct ClaimWriters(Mutex<HashMap<u64, AgentApiClient>>);

impl ClaimWriters {
    /// Returns the group of a row key.
    pub(crate) fn group(row_key: &str) -> u64 {
        KeyHash::of(row_key.as_bytes()).0 % WRITER_GROUPS
    }

    fn map(&self) -> MutexGuard<'_, HashMap<u64, AgentApiClient>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn get(&self, row_key: &str) -> Option<AgentApiClient> {
        self.map().get(&Self::group(row_key)).cloned()
    }

    pub(crate) fn insert(&self, row_key: &str, client: AgentApiClient) {
        self.map().insert(Self::group(row_key), client);
    }

    pub(crate) fn remove(&self, row_key: &str) {
        self.map().remove(&Self::group(row_key));
    }
}
