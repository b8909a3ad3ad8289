//! Requests by endpoint, added up.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};

/// How often a host reports its requests to others, and a relay what it has
/// summed up.
pub const REPORT_INTERVAL_MS: u64 = 200;

/// A report that is older than this no longer counts: its host is gone, or
/// cut off, and its requests end.
pub const REPORT_AGE_MAX_MS: u64 = 1_500;

/// Whether what was heard at a time still counts.
pub(crate) fn is_recent(heard_at_ms: u64, now_ms: u64) -> bool {
    now_ms.saturating_sub(heard_at_ms) <= REPORT_AGE_MAX_MS
}

/// Requests in progress on one endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointCount {
    /// The short hash of the endpoint's name.
    pub endpoint: u32,
    /// Requests in progress.
    pub in_progress: u32,
}

/// Requests by endpoint, added up. What is told is not checked, and may be no
/// count at all: the sums have room for any.
#[derive(Clone, Debug, Default)]
pub(crate) struct InFlightCounters(HashMap<u32, u64>);

/// One request on an endpoint.
fn one(endpoint: u32) -> [EndpointCount; 1] {
    [EndpointCount {
        endpoint,
        in_progress: 1,
    }]
}

impl InFlightCounters {
    /// A request begins.
    pub(crate) fn begin(&mut self, endpoint: u32) {
        self.add(&one(endpoint));
    }

    /// A request ends.
    pub(crate) fn end(&mut self, endpoint: u32) {
        self.remove(&one(endpoint));
    }

    pub(crate) fn add(&mut self, counts: &[EndpointCount]) {
        for count in counts {
            *self.0.entry(count.endpoint).or_default() += u64::from(count.in_progress);
        }
    }

    /// Takes away what was added.
    pub(crate) fn remove(&mut self, counts: &[EndpointCount]) {
        for count in counts {
            if let Some(sum) = self.0.get_mut(&count.endpoint) {
                *sum = sum.saturating_sub(u64::from(count.in_progress));
                if *sum == 0 {
                    self.0.remove(&count.endpoint);
                }
            }
        }
    }

    pub(crate) fn of(&self, endpoint: u32) -> u32 {
        let sum = self.0.get(&endpoint).copied().unwrap_or(0);
        sum.min(u64::from(u32::MAX)) as u32
    }

    pub(crate) fn total(&self) -> u32 {
        let total = self.0.values().copied().fold(0, u64::saturating_add);
        total.min(u64::from(u32::MAX)) as u32
    }

    /// All of them, in the order of the endpoints' hashes.
    pub(crate) fn counts(&self) -> Vec<EndpointCount> {
        let counts = self.0.keys().map(|&endpoint| EndpointCount {
            endpoint,
            in_progress: self.of(endpoint),
        });
        let mut counts: Vec<EndpointCount> = counts.collect();
        counts.sort_by_key(|count| count.endpoint);
        counts
    }
}
