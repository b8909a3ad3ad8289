//! The load totals that hosts exchange to estimate a pool's mean load.
//!
//! Of other hosts' loads an owner needs only the mean, so an entry is a host's
//! total for one pool. Each exchange sends the newest entries to one peer, so
//! entries may be seconds old; [`LoadSampler`] covers a steep rise.

use std::collections::{BTreeMap, HashSet};
use std::hash::Hash;

/// A host's total load in a pool.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HostLoad {
    /// Requests in progress on the engines that the host owns.
    pub in_progress: u32,
    /// Total weight of those engines.
    pub weight: f64,
}

/// A host's load as sent to peers.
#[derive(Clone, Debug, PartialEq)]
pub struct LoadEntry<H> {
    /// The host.
    pub host: H,
    /// Its total load.
    pub load: HostLoad,
    /// Time since the host computed the load.
    pub age_ms: u64,
}

#[derive(Clone, Copy, Debug)]
struct StoredLoad {
    load: HostLoad,
    measured_at_ms: u64,
}

/// An exponentially weighted mean of recent load samples.
///
/// Routers send their mean with slot requests, so that owners raise their limits
/// before the load table shows a steep rise. Record only engines chosen by the
/// chat's hash: those chosen because they hold the chat are busier than average.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadSampler {
    mean: f64,
    samples: u32,
}

impl LoadSampler {
    /// Samples needed for a mean.
    const MIN_SAMPLES: u32 = 16;
    /// Smallest weight of a new sample.
    const MIN_SAMPLE_WEIGHT: f64 = 1.0 / 16.0;

    /// Records a load per unit of engine weight.
    pub fn record(&mut self, load_per_weight: f64) {
        let sample_weight = Self::MIN_SAMPLE_WEIGHT.max(1.0 / f64::from(self.samples + 1));
        self.mean += sample_weight * (load_per_weight - self.mean);
        self.samples = self.samples.saturating_add(1);
    }

    /// Returns the mean load per unit of engine weight, once there are enough samples.
    pub fn mean(&self) -> Option<f64> {
        (self.samples >= Self::MIN_SAMPLES).then_some(self.mean)
    }
}

/// The hosts' load totals for one pool, as known to one host.
///
/// # Example
///
/// ```
/// use chalkrock_core::{HostLoad, LoadTable};
///
/// let mut table = LoadTable::new("host-1");
/// table.set_local(HostLoad { in_progress: 12, weight: 2.0 }, 0);
/// assert_eq!(table.mean(0), 6.0);
/// ```
#[derive(Clone, Debug)]
pub struct LoadTable<H> {
    local_host: H,
    hosts_in_view: HashSet<H>,
    /// Ordered, so that the same entries always have the same mean.
    entries: BTreeMap<H, StoredLoad>,
}

/// Older entries do not count: by then another host usually owns the engines.
const MAX_ENTRY_AGE_MS: u64 = 15_000;
/// Fraction by which the load of an entry of the maximum age is discounted.
const DISCOUNT_AT_MAX_AGE: f64 = 0.05;

impl<H: Clone + Eq + Hash + Ord> LoadTable<H> {
    /// Creates an empty table, which accepts no peer's entries before `set_hosts`.
    pub fn new(local_host: H) -> Self {
        Self {
            local_host,
            hosts_in_view: HashSet::new(),
            entries: BTreeMap::new(),
        }
    }

    /// Sets the local host's total load.
    pub fn set_local(&mut self, load: HostLoad, now_ms: u64) {
        self.entries.insert(
            self.local_host.clone(),
            StoredLoad {
                load,
                measured_at_ms: now_ms,
            },
        );
    }

    /// Returns the newest unexpired entries, at most `max_entries`, the local host's first.
    pub fn newest(&self, now_ms: u64, max_entries: usize) -> Vec<LoadEntry<H>> {
        let mut entries: Vec<_> = self
            .entries
            .iter()
            .map(|(host, stored)| LoadEntry {
                host: host.clone(),
                load: stored.load,
                age_ms: now_ms.saturating_sub(stored.measured_at_ms),
            })
            .filter(|entry| entry.age_ms <= MAX_ENTRY_AGE_MS)
            .collect();
        let is_remote = |entry: &LoadEntry<H>| entry.host != self.local_host;
        entries.sort_by(|a, b| {
            let order = (is_remote(a), a.age_ms).cmp(&(is_remote(b), b.age_ms));
            order.then_with(|| a.host.cmp(&b.host))
        });
        entries.truncate(max_entries);
        entries
    }

    /// Merges a peer's entries and keeps the newest of each host. Ignores the local
    /// host and hosts that are not in the view.
    pub fn merge(&mut self, entries: &[LoadEntry<H>], now_ms: u64) {
        for entry in entries {
            if entry.host == self.local_host || !self.hosts_in_view.contains(&entry.host) {
                continue;
            }
            let measured_at_ms = now_ms.saturating_sub(entry.age_ms);
            let is_newer = self
                .entries
                .get(&entry.host)
                .is_none_or(|stored| stored.measured_at_ms < measured_at_ms);
            if is_newer {
                self.entries.insert(
                    entry.host.clone(),
                    StoredLoad {
                        load: entry.load,
                        measured_at_ms,
                    },
                );
            }
        }
    }

    /// Sets the hosts whose entries are accepted and removes the entries of others,
    /// whose engines now count for their new owners.
    pub fn set_hosts(&mut self, hosts: &[H]) {
        self.hosts_in_view = hosts.iter().cloned().collect();
        let Self {
            local_host,
            hosts_in_view,
            entries,
        } = self;
        entries.retain(|host, _| host == local_host || hosts_in_view.contains(host));
    }

    /// Returns the mean load per unit of weight of unexpired entries; 0 without any.
    ///
    /// Old loads are discounted, since a crashed host's engines drain while its last
    /// entry remains; only a little, since lower limits reject more and so lower the mean.
    pub fn mean(&self, now_ms: u64) -> f64 {
        let (mut in_progress, mut weight) = (0.0, 0.0);
        for stored in self.entries.values() {
            let age_ms = now_ms.saturating_sub(stored.measured_at_ms);
            if age_ms <= MAX_ENTRY_AGE_MS {
                let age_factor =
                    1.0 - DISCOUNT_AT_MAX_AGE * age_ms as f64 / MAX_ENTRY_AGE_MS as f64;
                in_progress += age_factor * f64::from(stored.load.in_progress);
                weight += stored.load.weight;
            }
        }
        if weight > 0.0 {
            in_progress / weight
        } else {
            0.0
        }
    }
}
