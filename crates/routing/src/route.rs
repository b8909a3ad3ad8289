//! A route: which requests it takes, where they go and what they may cost.

use std::sync::Arc;

use chalkrock_core::PoolId;
use serde::{Deserialize, Serialize};

/// What a request of a route is, as far as repeating it goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RouteKind {
    /// A call that may run more than once.
    Safe,
    /// A call that runs at most once.
    Unsafe,
    /// A stream of numbered events.
    Stream {
        /// Whether a new run may go on after the last event that arrived.
        resumable: bool,
    },
}

/// A pool among which a route's requests are divided.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Backend {
    /// The pool.
    pub pool: PoolId,
    /// Its share against the route's other pools.
    pub weight: u32,
}

/// Which requests go where, and within which bounds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// Its name.
    pub name: Arc<str>,
    /// The host name that callers use.
    pub host: Arc<str>,
    /// What the path begins with; begins and ends with a slash.
    pub path_prefix: Arc<str>,
    /// The pools that serve it.
    pub backends: Vec<Backend>,
    /// Whether its requests may be repeated.
    pub kind: RouteKind,
    /// The longest time that a request may be held.
    pub timeout_ms: u64,
    /// The time within which an answer is in time.
    pub objective_ms: u64,
    /// Most endpoints that one request may be sent to.
    pub attempts_max: u32,
    /// Its rank, 0 first.
    pub priority: u8,
    /// Whether callers need no key.
    pub is_public: bool,
}

impl Route {
    /// Whether the route takes a path.
    pub fn matches(&self, path: &str) -> bool {
        path.starts_with(&*self.path_prefix)
    }

    /// The pool of a draw, which is any number: equal draws give equal pools.
    pub fn pool_for(&self, draw: u64) -> Option<&PoolId> {
        let total: u64 = self.backends.iter().map(|b| u64::from(b.weight)).sum();
        let mut left = draw.checked_rem(total)?;
        for backend in &self.backends {
            let weight = u64::from(backend.weight);
            if left < weight {
                return Some(&backend.pool);
            }
            left -= weight;
        }
        None
    }
}
