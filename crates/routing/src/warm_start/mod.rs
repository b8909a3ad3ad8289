//! What a host that starts takes from one that runs.
//!
//! Without it, a host knows no service time, so that it admits whatever arrives, and no
//! prefix places, so that engines read prompts again that another one holds. Loads are not
//! taken: reports bring them within a report interval, and an old load is worse than none.

use chalkrock_core::PoolId;
use serde::{Deserialize, Serialize};

use crate::connection_budget::{ConnectionLimit, MAX_POOLS, bound_limits};
use crate::prefix_directory::CacheEntry;

/// Most prefix places in a message, about 8 KB.
const MAX_PREFIXES: usize = 1_024;
/// Longest mean service time that is taken over.
const MAX_SERVICE_MS: u32 = 60_000;

/// The mean service time of a pool.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoolServiceTime {
    /// The pool.
    pub pool: PoolId,
    /// Mean over recent requests.
    pub service_ms: u32,
}

/// What a host has learned from requests, and connection limits of the configuration.
///
/// # Example
///
/// ```
/// use chalkrock_routing::{LearnedState, PoolServiceTime};
///
/// let service_ms = u32::MAX;
/// let absurd = PoolServiceTime { pool: "pool".into(), service_ms };
/// let learned = LearnedState { service_times: vec![absurd], ..LearnedState::default() };
/// assert!(learned.bounded().service_times.is_empty());
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LearnedState {
    /// Connection limits of pools, for hosts of older builds.
    pub connection_limits: Vec<ConnectionLimit>,
    /// Service times of pools.
    pub service_times: Vec<PoolServiceTime>,
    /// Places of prefixes, the most recently used first.
    pub prefixes: Vec<CacheEntry>,
}

impl LearnedState {
    /// Drops what exceeds the bounds. Applied when it is sent and when it is received: a
    /// peer may send anything.
    pub fn bounded(mut self) -> Self {
        bound_limits(&mut self.connection_limits, MAX_POOLS);
        let is_plausible = |time: &PoolServiceTime| (1..=MAX_SERVICE_MS).contains(&time.service_ms);
        self.service_times.retain(is_plausible);
        self.service_times.truncate(MAX_POOLS);
        self.prefixes.truncate(MAX_PREFIXES);
        self
    }
}
