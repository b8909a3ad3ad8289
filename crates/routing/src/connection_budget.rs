//! Connections of one host to one endpoint, where endpoints limit those of all hosts.
//!
//! An endpoint resets connections beyond its limit. A request that was already written is
//! then lost without a proof that it did not run. Each host therefore keeps to its part of
//! the limit, idle connections included.

use chalkrock_core::PoolId;
use serde::{Deserialize, Serialize};

use crate::rules::RulesVersion;

/// Part of the limit that no host uses: hosts that just started count in no other host's
/// view yet, and closed connections count at the endpoint for some time.
const RESERVED_RATIO: f64 = 0.2;

/// Most pools in a message.
pub(crate) const MAX_POOLS: usize = 256;

/// Most connections that an endpoint of a pool accepts from all hosts together.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConnectionLimit {
    /// The pool.
    pub pool: PoolId,
    /// Connections to each of its endpoints.
    pub max_connections: u32,
}

/// Drops limits that a peer can't mean, and those beyond a number of pools.
pub(crate) fn bound_limits(limits: &mut Vec<ConnectionLimit>, max_pools: usize) {
    limits.retain(|limit| limit.max_connections > 0);
    limits.truncate(max_pools);
}

/// The connection limits of all pools, and the version of the rules that set them.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConnectionLimits {
    /// The version; 0 if no rules are known.
    pub rules: RulesVersion,
    /// The limits; pools without one are not named.
    pub limits: Vec<ConnectionLimit>,
}

impl ConnectionLimits {
    /// Drops what exceeds the bounds: a peer may send anything.
    pub fn bounded(mut self) -> Self {
        bound_limits(&mut self.limits, MAX_POOLS);
        self
    }
}

/// Most connections that each of `hosts` keeps to one endpoint. At least one: hosts that
/// outnumber the connections would otherwise be cut off.
///
/// # Example
///
/// ```
/// use chalkrock_routing::connections_per_host;
///
/// assert_eq!(connections_per_host(520, 76), 5);
/// assert_eq!(connections_per_host(10, 76), 1);
/// ```
pub fn connections_per_host(max_connections: u32, hosts: usize) -> u32 {
    let shared = f64::from(max_connections) * (1.0 - RESERVED_RATIO);
    let per_host = shared / hosts.max(1) as f64;
    (per_host as u32).max(1)
}
