//! Routes: which requests they match, their pools and their limits.

use std::sync::Arc;

use chalkrock_core::PoolId;
use serde::{Deserialize, Serialize};

/// Whether requests of a route may be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RouteKind {
    /// Calls that may run more than once.
    Safe,
    /// Calls that run at most once.
    Unsafe,
    /// Streams of numbered events.
    Stream {
        /// Whether a new run may continue after the last received event.
        resumable: bool,
    },
}

/// A pool that serves a share of a route's requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WeightedPool {
    /// The pool.
    pub pool: PoolId,
    /// Weight relative to the route's other pools.
    pub weight: u32,
}

/// Which requests go to which pools, and their limits.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// Its name.
    pub name: Arc<str>,
    /// Host name of the requests.
    pub host: Arc<str>,
    /// Prefix of the path; begins and ends with a slash.
    pub path_prefix: Arc<str>,
    /// The pools that serve it.
    pub backends: Vec<WeightedPool>,
    /// Whether its requests may be repeated.
    pub kind: RouteKind,
    /// Longest duration of a request.
    pub timeout_ms: u64,
    /// Time within which an answer should arrive.
    pub objective_ms: u64,
    /// Most endpoints that may receive one request.
    pub attempts_max: u32,
    /// Priority, 0 the most urgent.
    pub priority: u8,
    /// Whether callers need no key.
    pub is_public: bool,
}

impl Route {
    /// Whether the route matches a path.
    pub fn matches(&self, path: &str) -> bool {
        path.starts_with(&*self.path_prefix)
    }

    /// The pool for a draw, which may be any number; equal draws give equal pools.
    pub fn pool_for(&self, draw: u64) -> Option<&PoolId> {
        let total: u64 = self.backends.iter().map(|b| u64::from(b.weight)).sum();
        let mut remainder = draw.checked_rem(total)?;
        for backend in &self.backends {
            let weight = u64::from(backend.weight);
            if remainder < weight {
                return Some(&backend.pool);
            }
            remainder -= weight;
        }
        None
    }
}
