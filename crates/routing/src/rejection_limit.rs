//! Endpoints that tolerate few rejections a second.
//!
//! A brittle endpoint reports in each answer how many requests it may reject within a second
//! before it fails. All hosts together have to stay below that. A host sends to such an
//! endpoint only while a slot is free: other requests wait on their host, since the endpoint
//! may hold none. After a rejection or a failure it uses its own slots alone for a time, so
//! that hosts that know each other's load late do not meet. Once its share of the
//! limit is spent on rejections, it pauses at the endpoint.
//!
//! Limits are kept by endpoint start: an endpoint that restarts reports again. Hosts send each
//! other the limits that they know, since one without requests at an endpoint gets no answers
//! of it.

use std::collections::HashMap;

use chalkrock_core::rendezvous::{KeyHash, MemberHash, score};
use serde::{Deserialize, Serialize};

/// Fraction of the limit that all hosts spend together. The rest covers hosts that count each
/// other late and requests that are rejected at the same time.
const SPENT_FRACTION: f64 = 0.5;
/// How long a limit holds without another answer of the endpoint.
const LIMIT_RETENTION_MS: u64 = 10_000;
/// Time after a rejection in which a host uses its own slots alone.
const REJECTION_CAUTION_MS: u64 = 1_500;
/// The same after a failure, when all hosts return to the endpoint at once.
const FAILURE_CAUTION_MS: u64 = 4_000;
/// Largest fraction of the slots that is kept free for arrivals that are not known yet.
const MAX_MARGIN_FRACTION: f64 = 0.25;

/// The load of an endpoint that reported a limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitedLoad {
    /// Requests in progress on it, over the fleet.
    pub load: u32,
    /// Those of this host.
    pub local_load: u32,
    /// Requests that it processes concurrently.
    pub slots: u32,
    /// Expected arrivals from other hosts that are not in `load`.
    pub unreported_arrivals: f64,
    /// Hosts that share the limit, this one included.
    pub hosts: usize,
    /// Slots of it that belong to this host, by [`own_slots`].
    pub own_slots: u32,
}

impl LimitedLoad {
    /// Whether a slot is likely to be free. Arrivals and ends of other hosts that are not
    /// known even out on average; their number varies by its square root.
    fn has_free_slot(&self) -> bool {
        let max_margin = MAX_MARGIN_FRACTION * f64::from(self.slots);
        let margin = self.unreported_arrivals.max(0.0).sqrt().min(max_margin);
        f64::from(self.load) + margin < f64::from(self.slots)
    }

    /// Whether this host's own slots have room.
    fn has_own_slot(&self) -> bool {
        self.local_load < self.own_slots
    }
}

/// The slots of an endpoint that belong to a host: an equal part each, and the rest to the
/// hosts that rank first for the endpoint. All hosts that know each other agree.
pub fn own_slots(endpoint: u32, slots: u32, local: MemberHash, others: &[MemberHash]) -> u32 {
    let hosts = others.len() as u32 + 1;
    let key = KeyHash(u64::from(endpoint));
    let own_score = score(key, local, 1.0);
    let before = others
        .iter()
        .filter(|other| score(key, **other, 1.0) > own_score)
        .count();
    let has_more = (before as u32) < slots % hosts;
    slots / hosts + u32::from(has_more)
}

/// A limit as hosts send it to each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LimitReport {
    /// Hash of the endpoint's start.
    pub endpoint: u32,
    /// Rejections a second that it tolerates.
    pub per_s: u32,
    /// Time since the endpoint's last answer with the limit.
    pub age_ms: u32,
}

#[derive(Clone, Copy, Debug)]
struct Limit {
    per_s: u32,
    reported_at_ms: u64,
    /// Rejections that this host may still cause; negative after several at once.
    allowance: f64,
    refilled_at_ms: u64,
    rejected_at_ms: Option<u64>,
    /// Until when this host uses its own slots alone.
    cautious_until_ms: u64,
}

impl Limit {
    /// This host's share of the limit, a second.
    fn share_per_s(&self, hosts: usize) -> f64 {
        SPENT_FRACTION * f64::from(self.per_s) / hosts.max(1) as f64
    }

    fn extend_caution(&mut self, until_ms: u64) {
        self.cautious_until_ms = self.cautious_until_ms.max(until_ms);
    }

    fn allowance_at(&self, hosts: usize, now_ms: u64) -> f64 {
        const MS_PER_S: f64 = 1_000.0;
        let share = self.share_per_s(hosts);
        let elapsed_s = now_ms.saturating_sub(self.refilled_at_ms) as f64 / MS_PER_S;
        (self.allowance + share * elapsed_s).min(share.max(1.0))
    }
}

/// Limits on rejections, by endpoint start.
///
/// # Example
///
/// ```
/// use chalkrock_routing::{LimitedLoad, RejectionLimits};
///
/// let mut limits = RejectionLimits::default();
/// limits.record_answer(7, Some(4), 0);
/// let load = LimitedLoad {
///     load: 5,
///     local_load: 1,
///     slots: 6,
///     unreported_arrivals: 0.0,
///     hosts: 2,
///     own_slots: 3,
/// };
/// assert!(limits.accepts(7, &load, 0));
/// assert!(!limits.accepts(7, &LimitedLoad { load: 6, ..load }, 0));
/// limits.record_rejection(7, 2, 0);
/// assert!(!limits.accepts(7, &load, 100));
/// assert!(limits.accepts(7, &load, 1_000));
/// ```
#[derive(Clone, Debug, Default)]
pub struct RejectionLimits {
    by_start: HashMap<u32, Limit>,
    /// When an answer without a limit ended one. Older reports of other hosts don't renew it.
    ended_at_ms: HashMap<u32, u64>,
}

impl RejectionLimits {
    /// Records the limit in an endpoint's answer, or that it has none. Returns whether the
    /// limit begins or ends.
    pub fn record_answer(&mut self, endpoint: u32, limit_per_s: Option<u32>, now_ms: u64) -> bool {
        let Some(per_s) = limit_per_s else {
            let is_end = self.by_start.remove(&endpoint).is_some();
            if is_end {
                self.ended_at_ms.insert(endpoint, now_ms);
            }
            return is_end;
        };
        self.renew(endpoint, per_s, now_ms, now_ms)
    }

    /// Merges another host's report. Returns whether the limit begins.
    pub fn merge(&mut self, report: &LimitReport, now_ms: u64) -> bool {
        let reported_at_ms = now_ms.saturating_sub(u64::from(report.age_ms));
        let ended_at_ms = self.ended_at_ms.get(&report.endpoint);
        let is_over = ended_at_ms.is_some_and(|ended_at_ms| reported_at_ms <= *ended_at_ms);
        if is_over || now_ms >= reported_at_ms + LIMIT_RETENTION_MS {
            return false;
        }
        self.renew(report.endpoint, report.per_s, reported_at_ms, now_ms)
    }

    /// The limits that other hosts should know, at most `max`.
    pub fn reports(&self, max: usize, now_ms: u64) -> Vec<LimitReport> {
        let limits = self.by_start.iter().take(max);
        let reports = limits.map(|(endpoint, limit)| LimitReport {
            endpoint: *endpoint,
            per_s: limit.per_s,
            age_ms: now_ms.saturating_sub(limit.reported_at_ms) as u32,
        });
        reports.collect()
    }

    fn renew(&mut self, endpoint: u32, per_s: u32, reported_at_ms: u64, now_ms: u64) -> bool {
        let known = self.by_start.get_mut(&endpoint);
        if let Some(limit) = known {
            if reported_at_ms >= limit.reported_at_ms {
                limit.per_s = per_s;
                limit.reported_at_ms = reported_at_ms;
            }
            return false;
        }
        let limit = Limit {
            per_s,
            reported_at_ms,
            allowance: 1.0,
            refilled_at_ms: now_ms,
            rejected_at_ms: None,
            cautious_until_ms: 0,
        };
        self.by_start.insert(endpoint, limit);
        true
    }

    /// Records that the endpoint rejected a request of this host.
    pub fn record_rejection(&mut self, endpoint: u32, hosts: usize, now_ms: u64) {
        if let Some(limit) = self.by_start.get_mut(&endpoint) {
            limit.allowance = limit.allowance_at(hosts, now_ms) - 1.0;
            limit.refilled_at_ms = now_ms;
            limit.rejected_at_ms = Some(now_ms);
            limit.extend_caution(now_ms + REJECTION_CAUTION_MS);
        }
    }

    /// Records that the endpoint failed.
    pub fn record_failure(&mut self, endpoint: u32, now_ms: u64) {
        if let Some(limit) = self.by_start.get_mut(&endpoint) {
            limit.extend_caution(now_ms + FAILURE_CAUTION_MS);
        }
    }

    /// Whether an endpoint reported a limit.
    pub fn is_limited(&self, endpoint: u32, now_ms: u64) -> bool {
        self.limit(endpoint, now_ms).is_some()
    }

    /// Whether a limit of the endpoint is known, also one that expires.
    pub fn has_limit(&self, endpoint: u32) -> bool {
        self.by_start.contains_key(&endpoint)
    }

    /// Whether none of the endpoints reported a limit.
    pub fn is_empty(&self) -> bool {
        self.by_start.is_empty()
    }

    /// Whether an endpoint with a limit rejected a request of this host at or after `since_ms`,
    /// so that it may have failed under its load.
    pub fn has_rejected_since(&self, endpoint: u32, since_ms: u64) -> bool {
        let limit = self.by_start.get(&endpoint);
        let rejected_at_ms = limit.and_then(|limit| limit.rejected_at_ms);
        rejected_at_ms.is_some_and(|at_ms| at_ms >= since_ms)
    }

    /// Whether this host may send a request to an endpoint.
    pub fn accepts(&self, endpoint: u32, load: &LimitedLoad, now_ms: u64) -> bool {
        self.limit(endpoint, now_ms).is_none_or(|limit| {
            let is_cautious = now_ms < limit.cautious_until_ms;
            load.has_free_slot()
                && (!is_cautious || load.has_own_slot())
                && limit.allowance_at(load.hosts, now_ms) >= 1.0
        })
    }

    /// Drops limits that no answer renewed.
    pub fn expire(&mut self, now_ms: u64) {
        self.by_start
            .retain(|_, limit| now_ms < limit.reported_at_ms + LIMIT_RETENTION_MS);
        self.ended_at_ms
            .retain(|_, at_ms| now_ms < *at_ms + LIMIT_RETENTION_MS);
    }

    /// Number of endpoints with a limit.
    pub fn count(&self) -> usize {
        self.by_start.len()
    }

    fn limit(&self, endpoint: u32, now_ms: u64) -> Option<&Limit> {
        let limit = self.by_start.get(&endpoint)?;
        (now_ms < limit.reported_at_ms + LIMIT_RETENTION_MS).then_some(limit)
    }
}
