//! The load totals that hosts exchange to estimate a pool's mean load.
//!
//! An owner derives its limit from the mean alone, so an entry is a host's total
//! for a pool rather than a value per engine. Each exchange sends the newest
//! entries to one peer; the mean changes slowly enough for this.

use std::collections::{BTreeMap, HashSet};
use std::hash::Hash;

/// A host's total load in a pool.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HostLoad {
    /// Requests in progress on the engines that the host owns.
    pub in_progress: u32,
    /// Total weight of these engines.
    pub weight: f64,
}

/// A host's load as sent to peers.
#[derive(Clone, Debug, PartialEq)]
pub struct LoadEntry<H> {
    /// The host.
    pub host: H,
    /// Its total load.
    pub load: HostLoad,
    /// Time since the host reported the load.
    pub age_ms: u64,
}

#[derive(Clone, Copy, Debug)]
struct StoredLoad {
    load: HostLoad,
    reported_at_ms: u64,
}

/// A moving mean of the engine loads in owners' responses.
///
/// Routers send it with slot requests, so that owners raise their limits before
/// the load table shows a steep rise. Only engines picked by the chat's hash
/// may be sampled: homes are busier than average and would bias the mean.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadSampler {
    mean: f64,
    samples: u32,
}

impl LoadSampler {
    /// Samples below which there is no mean.
    const MIN_SAMPLES: u32 = 16;
    /// Weight of a new sample.
    const SAMPLE_WEIGHT: f64 = 1.0 / 16.0;

    /// Records an engine's load per unit of weight.
    pub fn record(&mut self, load: f64) {
        let sample_weight = Self::SAMPLE_WEIGHT.max(1.0 / f64::from(self.samples + 1));
        self.mean += sample_weight * (load - self.mean);
        self.samples = self.samples.saturating_add(1);
    }

    /// Returns the mean load per unit of weight, once there are enough samples.
    pub fn mean(&self) -> Option<f64> {
        (self.samples >= Self::MIN_SAMPLES).then_some(self.mean)
    }
}

/// The load totals of all hosts, as known to one host.
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
    hosts: HashSet<H>,
    /// Ordered, so that the floating-point sum of the mean is deterministic.
    entries: BTreeMap<H, StoredLoad>,
}

/// Older entries do not count: another host owns the engines by then.
const MAX_ENTRY_AGE_MS: u64 = 15_000;
/// Fraction of its load by which an entry of the maximum age is discounted.
const MAX_AGE_DISCOUNT: f64 = 0.05;

impl<H: Clone + Eq + Hash + Ord> LoadTable<H> {
    /// Creates a table without entries.
    pub fn new(local_host: H) -> Self {
        Self {
            local_host,
            hosts: HashSet::new(),
            entries: BTreeMap::new(),
        }
    }

    /// Sets the local host's total load.
    pub fn set_local(&mut self, load: HostLoad, now_ms: u64) {
        self.entries.insert(
            self.local_host.clone(),
            StoredLoad {
                load,
                reported_at_ms: now_ms,
            },
        );
    }

    /// Returns the newest entries, at most `max_entries`, the local host's first.
    pub fn newest(&self, now_ms: u64, max_entries: usize) -> Vec<LoadEntry<H>> {
        let mut entries: Vec<_> = self
            .entries
            .iter()
            .map(|(host, stored)| LoadEntry {
                host: host.clone(),
                load: stored.load,
                age_ms: now_ms.saturating_sub(stored.reported_at_ms),
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

    /// Merges a peer's entries, keeping the newest of each host and ignoring
    /// hosts that are not in the view.
    pub fn merge(&mut self, entries: &[LoadEntry<H>], now_ms: u64) {
        for entry in entries {
            if entry.host == self.local_host || !self.hosts.contains(&entry.host) {
                continue;
            }
            let reported_at_ms = now_ms.saturating_sub(entry.age_ms);
            let is_newer = self
                .entries
                .get(&entry.host)
                .is_none_or(|stored| stored.reported_at_ms < reported_at_ms);
            if is_newer {
                self.entries.insert(
                    entry.host.clone(),
                    StoredLoad {
                        load: entry.load,
                        reported_at_ms,
                    },
                );
            }
        }
    }

    /// Sets the hosts of the view and removes the entries of all others, whose
    /// engines now count for their new owners.
    pub fn retain_hosts(&mut self, hosts: &[H]) {
        self.hosts = hosts.iter().cloned().collect();
        let Self {
            local_host,
            hosts,
            entries,
        } = self;
        entries.retain(|host, _| host == local_host || hosts.contains(host));
    }

    /// The mean load per unit of weight over the known hosts.
    ///
    /// Old loads are discounted, since the engines of a crashed host drain while
    /// its last entry remains. The discount is small: a larger one would lower
    /// the limits below current loads, and the rejections lower the mean further.
    pub fn mean(&self, now_ms: u64) -> f64 {
        let (mut in_progress, mut weight) = (0.0, 0.0);
        for stored in self.entries.values() {
            let age_ms = now_ms.saturating_sub(stored.reported_at_ms);
            if age_ms <= MAX_ENTRY_AGE_MS {
                let factor = 1.0 - MAX_AGE_DISCOUNT * age_ms as f64 / MAX_ENTRY_AGE_MS as f64;
                in_progress += factor * f64::from(stored.load.in_progress);
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
