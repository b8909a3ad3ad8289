//! Counters of requests in progress by endpoint.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};

/// Interval of hosts' reports and of relays' aggregates, in milliseconds.
pub const REPORT_INTERVAL_MS: u64 = 200;

/// Age, in milliseconds, from which a report no longer counts: its host is gone or
/// unreachable.
pub const MAX_REPORT_AGE_MS: u64 = 1_500;

/// Whether a report received at a time still counts.
pub(crate) fn is_recent(received_at_ms: u64, now_ms: u64) -> bool {
    now_ms.saturating_sub(received_at_ms) <= MAX_REPORT_AGE_MS
}

/// Requests in progress on one endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointCount {
    /// The short hash of the endpoint's name.
    pub endpoint: u32,
    /// Requests in progress.
    pub in_progress: u32,
}

/// Requests by endpoint. Sums are `u64`, since reported counts are not validated and
/// may be arbitrarily large.
#[derive(Clone, Debug, Default)]
pub(crate) struct InFlightCounters(HashMap<u32, u64>);

fn one_request(endpoint: u32) -> [EndpointCount; 1] {
    [EndpointCount {
        endpoint,
        in_progress: 1,
    }]
}

impl InFlightCounters {
    pub(crate) fn begin(&mut self, endpoint: u32) {
        self.add(&one_request(endpoint));
    }

    pub(crate) fn end(&mut self, endpoint: u32) {
        self.remove(&one_request(endpoint));
    }

    pub(crate) fn add(&mut self, counts: &[EndpointCount]) {
        for count in counts {
            *self.0.entry(count.endpoint).or_default() += u64::from(count.in_progress);
        }
    }

    /// Subtracts counts, stopping at zero.
    pub(crate) fn remove(&mut self, counts: &[EndpointCount]) {
        for count in counts {
            if let Some(total) = self.0.get_mut(&count.endpoint) {
                *total = total.saturating_sub(u64::from(count.in_progress));
                if *total == 0 {
                    self.0.remove(&count.endpoint);
                }
            }
        }
    }

    pub(crate) fn get(&self, endpoint: u32) -> u32 {
        let count = self.0.get(&endpoint).copied().unwrap_or(0);
        count.min(u64::from(u32::MAX)) as u32
    }

    pub(crate) fn total(&self) -> u32 {
        let total = self.0.values().copied().fold(0, u64::saturating_add);
        total.min(u64::from(u32::MAX)) as u32
    }

    /// All counts, ordered by endpoint hash.
    pub(crate) fn counts(&self) -> Vec<EndpointCount> {
        let counts = self.0.keys().map(|&endpoint| EndpointCount {
            endpoint,
            in_progress: self.get(endpoint),
        });
        let mut counts: Vec<EndpointCount> = counts.collect();
        counts.sort_by_key(|count| count.endpoint);
        counts
    }
}
