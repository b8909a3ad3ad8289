//! Which host reads its list of endpoints again when hosts list different endpoints as of
//! the same version.
//!
//! Hosts tell each other a digest of their list now and then. Since versions are equal, one
//! of two lists that differ is wrong, and nothing else would correct it before the entry
//! changes. The store is the truth: hosts that read their list from it decide against those
//! that got theirs from other hosts. Otherwise a host reads again when it differs from at
//! least as many hosts as it agrees with. Reads are spread over a time that grows with the
//! fleet, and one that changes nothing delays the next.

use std::collections::HashMap;
use std::hash::Hash;

use serde::{Deserialize, Serialize};

use crate::StoreVersion;

/// How long the report of another host counts.
const MAX_REPORT_AGE_MS: u64 = 10_000;
/// Reports of other hosts that a decision needs, if there are as many hosts.
const MIN_REPORTS: usize = 3;
/// Time for which lists have to differ, since a change may be under way.
const MIN_DIFFERENCE_MS: u64 = 1_000;
/// Further time for a host that read its list from the store itself, in which others correct
/// theirs.
const STORE_READER_DELAY_MS: u64 = 2_000;
/// Reads of different hosts are spread over at least this time, and over
/// [`SPREAD_PER_HOST_MS`] for each host.
const MIN_SPREAD_MS: u64 = 500;
const SPREAD_PER_HOST_MS: u64 = 10;
/// Least and greatest time between two reads of one host.
const MIN_INTERVAL_MS: u64 = 10_000;
const MAX_INTERVAL_MS: u64 = 300_000;

/// Where a host got its list of endpoints.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ListSource {
    /// The store, all of it.
    Store,
    /// Other hosts, at least in part.
    Peer,
}

/// What a host reports about its list of endpoints.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListReport {
    /// The list's version.
    pub version: StoreVersion,
    /// Digest of the listed starts and their builds.
    pub digest: u64,
    /// Where the host got the list.
    pub source: ListSource,
}

/// How the list of another host compares.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListMatch {
    /// It is of another version, which says nothing.
    OtherVersion,
    /// It has the same entries.
    Same,
    /// It has other entries as of the same version.
    Differs,
}

impl ListReport {
    /// Compares the report of another host with this one.
    pub fn compare(&self, other: &Self) -> ListMatch {
        if self.version != other.version {
            ListMatch::OtherVersion
        } else if self.digest == other.digest {
            ListMatch::Same
        } else {
            ListMatch::Differs
        }
    }
}

/// The latest comparison with another host.
#[derive(Clone, Copy, Debug)]
struct Comparison {
    report: ListReport,
    is_same: bool,
    at_ms: u64,
}

/// What a host does about its list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListStep<H> {
    /// Its list is right as far as it knows.
    Keep,
    /// Its list may be wrong, which it does not act on yet.
    Wait,
    /// It reads its list again, from the store, or else all of it from this host.
    Reread(H),
}

/// Comparisons of a host's list with those of others; `H` identifies hosts.
///
/// # Example
///
/// ```
/// use chalkrock_routing::{ListComparisons, ListReport, ListSource, ListStep, StoreVersion};
///
/// let report = |digest, source| ListReport { version: StoreVersion(7), digest, source };
/// let own = report(1, ListSource::Peer);
/// let mut comparisons = ListComparisons::default();
/// comparisons.record("host-b", own, report(2, ListSource::Store), 0);
/// assert_eq!(comparisons.next_step(own, 1, 0.0, 0), ListStep::Wait);
/// assert_eq!(comparisons.next_step(own, 1, 0.0, 1_000), ListStep::Reread("host-b"));
/// ```
#[derive(Clone, Debug)]
pub struct ListComparisons<H> {
    by_host: HashMap<H, Comparison>,
    own: Option<ListReport>,
    /// When a read is due.
    due_ms: Option<u64>,
    /// When the list was last read for a difference.
    reread_ms: Option<u64>,
    /// Least time from then to the next one.
    interval_ms: u64,
}

impl<H> Default for ListComparisons<H> {
    fn default() -> Self {
        Self {
            by_host: HashMap::new(),
            own: None,
            due_ms: None,
            reread_ms: None,
            interval_ms: MIN_INTERVAL_MS,
        }
    }
}

impl<H: Copy + Eq + Hash + Ord> ListComparisons<H> {
    /// Records the report of another host.
    pub fn record(
        &mut self,
        host: H,
        own: ListReport,
        other: ListReport,
        now_ms: u64,
    ) -> ListMatch {
        self.set_own(own);
        let compared = own.compare(&other);
        if compared != ListMatch::OtherVersion {
            let comparison = Comparison {
                report: other,
                is_same: compared == ListMatch::Same,
                at_ms: now_ms,
            };
            self.by_host.insert(host, comparison);
        }
        if compared == ListMatch::Same {
            // An entry that was wrong before would still be.
            self.by_host
                .retain(|_, other| other.is_same || other.report.version >= own.version);
        }
        compared
    }

    /// Decides about the list of this host. `others` is the number of other hosts, and `draw`
    /// a random number in [0, 1).
    pub fn next_step(
        &mut self,
        own: ListReport,
        others: usize,
        draw: f64,
        now_ms: u64,
    ) -> ListStep<H> {
        self.set_own(own);
        // What was compared before a read says nothing about its result.
        let since_ms = self.reread_ms.map_or(0, |at_ms| at_ms + 1);
        let since_ms = since_ms.max(now_ms.saturating_sub(MAX_REPORT_AGE_MS));
        self.by_host.retain(|_, other| other.at_ms >= since_ms);
        let Some(right) = self.likely_right(own.source, others) else {
            self.due_ms = None;
            return ListStep::Keep;
        };
        let due_ms = *self.due_ms.get_or_insert_with(|| {
            let spread_ms = MIN_SPREAD_MS.max(SPREAD_PER_HOST_MS * others as u64);
            let reader_delay_ms = match own.source {
                ListSource::Store => STORE_READER_DELAY_MS,
                ListSource::Peer => 0,
            };
            now_ms + MIN_DIFFERENCE_MS + reader_delay_ms + (draw * spread_ms as f64) as u64
        });
        let next_ms = self.reread_ms.map_or(0, |at_ms| at_ms + self.interval_ms);
        if now_ms < due_ms.max(next_ms) {
            return ListStep::Wait;
        }
        if self.reread_ms.is_some() {
            self.interval_ms = (2 * self.interval_ms).min(MAX_INTERVAL_MS);
        }
        self.reread_ms = Some(now_ms);
        self.due_ms = None;
        ListStep::Reread(right)
    }

    /// The latest report of another host with the same version.
    pub fn report(&self, host: &H) -> Option<ListReport> {
        self.by_host.get(host).map(|other| other.report)
    }

    /// Forgets what was compared with a list that has been replaced as of the same version, or
    /// that the store has confirmed since.
    fn set_own(&mut self, own: ListReport) {
        let before = self.own.replace(own);
        let is_replaced = before.is_some_and(|before| {
            let is_confirmed = before.source == ListSource::Peer && own.source == ListSource::Store;
            is_confirmed || before.compare(&own) == ListMatch::Differs
        });
        if is_replaced {
            self.by_host.clear();
            self.due_ms = None;
        }
    }

    /// A host whose list is likely right, if this host's is likely wrong.
    fn likely_right(&self, source: ListSource, others: usize) -> Option<H> {
        if self.by_host.len() < MIN_REPORTS.min(others) {
            return None;
        }
        let has_reader =
            { self.by_host.values() }.any(|other| other.report.source == ListSource::Store);
        let only_readers = source == ListSource::Peer && has_reader;
        let judges = self.by_host.iter();
        let judges: Vec<(&H, &Comparison)> = judges
            .filter(|(_, other)| !only_readers || other.report.source == ListSource::Store)
            .collect();
        let differing = judges.iter().filter(|(_, other)| !other.is_same);
        let differing: Vec<(H, ListReport)> = differing
            .map(|(host, other)| (**host, other.report))
            .collect();
        let agreeing = judges.len() - differing.len() + usize::from(!only_readers);
        if differing.is_empty() || differing.len() < agreeing {
            return None;
        }
        let with_same_list = |report: &ListReport| {
            let others = differing.iter();
            others
                .filter(|(_, other)| other.compare(report) == ListMatch::Same)
                .count()
        };
        let right = differing
            .iter()
            .max_by_key(|(host, report)| (with_same_list(report), *host));
        right.map(|(host, _)| *host)
    }
}
