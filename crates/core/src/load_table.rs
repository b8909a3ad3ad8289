//! What hosts tell each other of their engines' load: enough for the mean.
//!
//! An owner needs the mean load of a pool to know its limit, and it needs
//! little else: each slot is asked of the owner itself. So an entry is a
//! host's total for a pool, not a value for each engine, and a round sends
//! the freshest entries to one peer. A mean over hundreds of hosts moves
//! slowly, so that entries of some seconds' age do; the measurement is in
//! `docs/decisions/0004-exchange.md`.

use std::collections::{BTreeMap, HashSet};
use std::hash::Hash;

/// One host's total for one pool.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HostLoad {
    /// Requests in progress on the engines it owns.
    pub in_progress: u32,
    /// The weight of these engines.
    pub weight: f64,
}

/// An entry as it travels.
#[derive(Clone, Debug, PartialEq)]
pub struct LoadEntry<H> {
    /// The host.
    pub host: H,
    /// Its total.
    pub load: HostLoad,
    /// How long ago the host said so.
    pub age_ms: u64,
}

#[derive(Clone, Copy, Debug)]
struct Known {
    load: HostLoad,
    said_at_ms: u64,
}

/// A mean load sampled from owners' answers: fresh where the table is late.
///
/// Each owner that is asked answers with its engine's load, so that a router
/// sees a few dozen engines a second. Only engines that the chat's hash picked
/// may be sampled: a chat's home is one of the busier engines more often than
/// not. The sample is sent along with asks, and tells an owner of a rise some
/// seconds before the table does: with the table alone, a pool that rises
/// tenfold refuses for a minute.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadSampler {
    mean: f64,
    samples: u32,
}

impl LoadSampler {
    /// Samples before the mean says anything.
    const SAMPLES_MIN: u32 = 16;
    /// Weight of a new sample.
    const STEP: f64 = 1.0 / 16.0;

    /// Takes one engine's load by unit of weight.
    pub fn record(&mut self, load: f64) {
        let step = Self::STEP.max(1.0 / f64::from(self.samples + 1));
        self.mean += step * (load - self.mean);
        self.samples = self.samples.saturating_add(1);
    }

    /// The mean, once there are enough samples.
    pub fn mean(&self) -> Option<f64> {
        (self.samples >= Self::SAMPLES_MIN).then_some(self.mean)
    }
}

/// The totals of all hosts, as one host knows them.
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
    own: H,
    hosts: HashSet<H>,
    /// In order, so that the mean's sum is the same for the same input.
    entries: BTreeMap<H, Known>,
}

/// An entry that is older than this no longer counts: its host is gone, and
/// another one owns its engines.
const ENTRY_AGE_MAX_MS: u64 = 15_000;
/// Share of its load that an entry of the highest age no longer counts.
const TRUST_LOST: f64 = 0.05;

impl<H: Clone + Eq + Hash + Ord> LoadTable<H> {
    /// A table of a host that knows nothing of others.
    pub fn new(own: H) -> Self {
        Self {
            own,
            hosts: HashSet::new(),
            entries: BTreeMap::new(),
        }
    }

    /// Sets this host's own total.
    pub fn set_local(&mut self, load: HostLoad, now_ms: u64) {
        self.entries.insert(
            self.own.clone(),
            Known {
                load,
                said_at_ms: now_ms,
            },
        );
    }

    /// The freshest `most` entries, this host's own first.
    pub fn freshest(&self, now_ms: u64, most: usize) -> Vec<LoadEntry<H>> {
        let mut entries: Vec<_> = self
            .entries
            .iter()
            .map(|(host, known)| LoadEntry {
                host: host.clone(),
                load: known.load,
                age_ms: now_ms.saturating_sub(known.said_at_ms),
            })
            .filter(|entry| entry.age_ms <= ENTRY_AGE_MAX_MS)
            .collect();
        let is_other = |entry: &LoadEntry<H>| entry.host != self.own;
        entries.sort_by(|a, b| {
            let order = (is_other(a), a.age_ms).cmp(&(is_other(b), b.age_ms));
            order.then_with(|| a.host.cmp(&b.host))
        });
        entries.truncate(most);
        entries
    }

    /// Merges entries from a peer; the younger one of a host wins. Hosts that
    /// are not in the view are left out.
    pub fn merge(&mut self, entries: &[LoadEntry<H>], now_ms: u64) {
        for entry in entries {
            if entry.host == self.own || !self.hosts.contains(&entry.host) {
                continue;
            }
            let said_at_ms = now_ms.saturating_sub(entry.age_ms);
            let newer = self
                .entries
                .get(&entry.host)
                .is_none_or(|k| k.said_at_ms < said_at_ms);
            if newer {
                self.entries.insert(
                    entry.host.clone(),
                    Known {
                        load: entry.load,
                        said_at_ms,
                    },
                );
            }
        }
    }

    /// Forgets hosts that are not in the view: others own their engines now,
    /// and count them.
    pub fn retain_hosts(&mut self, hosts: &[H]) {
        self.hosts = hosts.iter().cloned().collect();
        let Self {
            own,
            hosts,
            entries,
        } = self;
        entries.retain(|host, _| host == own || hosts.contains(host));
    }

    /// Mean load by unit of weight over the hosts that are known.
    ///
    /// An entry's load counts a little less the older it is: a host that died
    /// leaves its last entry, while its engines empty. It may count only a
    /// little less, or the mean falls below the loads themselves: engines then
    /// stand over their limits, refuse, and lower the mean further. With all
    /// trust lost over the age, rounds of some seconds refused 43 %.
    pub fn mean(&self, now_ms: u64) -> f64 {
        let (mut in_progress, mut weight) = (0.0, 0.0);
        for known in self.entries.values() {
            let age_ms = now_ms.saturating_sub(known.said_at_ms);
            if age_ms <= ENTRY_AGE_MAX_MS {
                let trust = 1.0 - TRUST_LOST * age_ms as f64 / ENTRY_AGE_MAX_MS as f64;
                in_progress += trust * f64::from(known.load.in_progress);
                weight += known.load.weight;
            }
        }
        if weight > 0.0 {
            in_progress / weight
        } else {
            0.0
        }
    }
}
