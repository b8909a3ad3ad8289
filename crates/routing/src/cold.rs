//! Limits requests to cold endpoints, which are slow and easily overloaded after a
//! start.
//!
//! A few hosts of the endpoint's availability zone, selected by rendezvous hashing,
//! send to it with a minimum gap between requests; all others send none.
//! [`ColdShare`] sizes their number and the gap so that the fleet-wide limit holds in
//! any second without coordination, even if hosts with an incomplete view add a few
//! senders.
//!
//! Senders are selected from all hosts of the zone that were seen in the last two
//! minutes. The share of an isolated or suspended host stays unused, since it might
//! still send. A host that has just started, or sees no other, sends none.

use std::collections::HashMap;

use chalkrock_core::rendezvous::{KeyHash, MemberHash, score};

/// The operators' limit on the requests to a cold endpoint, over the fleet.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdBound {
    /// Multiple of the sustained rate that may arrive in one second.
    pub overshoot: f64,
    /// Requests per second in addition.
    pub slack: f64,
}

impl ColdBound {
    /// Most requests in one second to an endpoint with this sustained rate.
    fn max_requests_per_s(&self, sustained_per_s: f64) -> f64 {
        self.overshoot * sustained_per_s + self.slack
    }
}

/// Share of one sender in the requests to a cold endpoint.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdShare {
    /// Number of hosts that send.
    pub senders: usize,
    /// Requests per second of each.
    pub per_s: f64,
}

/// Extra senders to allow for, since hosts with an incomplete view select others:
/// one, and one more per this many senders.
const SENDERS_PER_EXTRA: usize = 3;
/// Minimum zone size that a new host assumes: it may not know all hosts yet, and
/// would take too large a share: knowing one of eleven others, half of the rate.
const MIN_ASSUMED_HOSTS: usize = 64;
/// Minimum fraction of the best total rate that more senders must preserve.
const MIN_RATE_FRACTION: f64 = 0.75;

impl ColdShare {
    /// Sizes the share for an endpoint with this sustained rate, in a zone of
    /// `hosts`.
    ///
    /// Uses as many senders as preserve nearly the best total rate: with more
    /// senders, more requests reach the endpoint that caches their prefix. Whole
    /// requests per second, extra senders included, keep to the limit in any second.
    ///
    /// # Example
    ///
    /// ```
    /// use chalkrock_routing::{ColdBound, ColdShare};
    ///
    /// let bound = ColdBound { overshoot: 1.5, slack: 5.0 };
    /// let share = ColdShare::new(&bound, 13.0, 16);
    /// assert_eq!(share.senders, 16);
    /// assert_eq!(share.per_s, 13.0 / 16.0);
    /// ```
    pub fn new(bound: &ColdBound, sustained_per_s: f64, hosts: usize) -> Self {
        let limit_per_s = bound.max_requests_per_s(sustained_per_s);
        let share = |senders: usize| {
            let extra = 1 + senders / SENDERS_PER_EXTRA;
            let whole_per_s = (limit_per_s / (senders + extra) as f64).floor();
            Self {
                senders,
                per_s: whole_per_s.min(sustained_per_s / senders as f64),
            }
        };
        let rate = |share: &Self| share.senders as f64 * share.per_s;
        let shares = (1..=hosts.max(1)).map(share);
        let best = shares.clone().map(|share| rate(&share)).fold(0.0, f64::max);
        let is_good = |share: &Self| rate(share) >= MIN_RATE_FRACTION * best;
        shares.rev().find(is_good).unwrap_or_else(|| share(1))
    }

    /// Minimum time between two requests of one sender; `None` if it may send none.
    fn gap_ms(&self) -> Option<u64> {
        const SECOND_MS: f64 = 1_000.0;
        const MARGIN_MS: f64 = 1.0;
        (self.per_s > 0.0).then(|| (SECOND_MS / self.per_s + MARGIN_MS).ceil() as u64)
    }
}

/// How long an endpoint's report that it is cold is remembered after its end. Until
/// then the endpoint is not presumed cold when its zone returns to service. Without it, a
/// zone whose endpoints turn cold 2.3 s before its return is sent little for 3 s more.
const REPORT_RETENTION_MS: u64 = 5_000;

/// State of an endpoint that may be cold.
#[derive(Clone, Copy, Debug, Default)]
struct ColdState {
    /// End of the cold period that the endpoint reported.
    reported_until_ms: u64,
    /// End of the presumed cold period of an endpoint that has not reported one.
    presumed_until_ms: u64,
    sent_at_ms: Option<u64>,
}

impl ColdState {
    fn until_ms(&self) -> u64 {
        self.reported_until_ms.max(self.presumed_until_ms)
    }

    fn was_reported_recently(&self, now_ms: u64) -> bool {
        let retained_until_ms = self.reported_until_ms.saturating_add(REPORT_RETENTION_MS);
        self.reported_until_ms > 0 && now_ms < retained_until_ms
    }
}

/// The cold endpoints known to one host, and which requests it may send to them.
///
/// # Example
///
/// ```
/// use chalkrock_core::rendezvous::MemberHash;
/// use chalkrock_routing::{ColdBound, ColdEndpoints};
///
/// let local = MemberHash::of("host-1");
/// let mut cold = ColdEndpoints::new(Some(ColdBound { overshoot: 1.5, slack: 5.0 }));
/// cold.set_hosts(local, vec![local], false);
/// cold.record_report(7, 3_000, 0);
/// assert!(cold.may_send(7, 2.0, true, 0));
/// cold.record_sent(7, 0);
/// assert!(!cold.may_send(7, 2.0, true, 100));
/// assert!(cold.may_send(7, 2.0, true, 3_000)); // no longer cold
/// ```
#[derive(Clone, Debug, Default)]
pub struct ColdEndpoints {
    /// `None` if operators set no limit; then requests are not limited.
    bound: Option<ColdBound>,
    /// Known hosts of the local zone; empty while this host must not send.
    hosts: Vec<MemberHash>,
    /// Minimum zone size for which this host's share is sized.
    min_hosts: usize,
    local: Option<MemberHash>,
    endpoints: HashMap<u32, ColdState>,
}

impl ColdEndpoints {
    /// Creates a table without cold endpoints.
    pub fn new(bound: Option<ColdBound>) -> Self {
        Self {
            bound,
            ..Self::default()
        }
    }

    /// Replaces the operators' limit.
    pub fn set_bound(&mut self, bound: Option<ColdBound>) {
        self.bound = bound;
    }

    /// Replaces the known hosts of the local zone, this host included; empty while it
    /// must not send. A host that `is_new` may not know all of them.
    pub fn set_hosts(&mut self, local: MemberHash, hosts: Vec<MemberHash>, is_new: bool) {
        self.local = Some(local);
        self.min_hosts = if is_new { MIN_ASSUMED_HOSTS } else { 1 };
        self.hosts = hosts;
    }

    /// Records for how much longer an endpoint reports to be cold. Returns whether it
    /// was not known to be cold.
    pub fn record_report(&mut self, endpoint: u32, remaining_ms: u64, now_ms: u64) -> bool {
        if remaining_ms == 0 {
            if let Some(cold) = self.endpoints.get_mut(&endpoint) {
                cold.reported_until_ms = now_ms;
            }
            return false;
        }
        let is_newly_cold = !self.is_cold(endpoint, now_ms);
        let cold = self.endpoints.entry(endpoint).or_default();
        cold.reported_until_ms = now_ms.saturating_add(remaining_ms);
        cold.presumed_until_ms = 0;
        is_newly_cold
    }

    /// Presumes an endpoint cold for a time, unless it reported recently.
    pub fn presume_cold(&mut self, endpoint: u32, remaining_ms: u64, now_ms: u64) {
        let known = self.endpoints.get(&endpoint);
        let has_reported = known.is_some_and(|cold| cold.was_reported_recently(now_ms));
        if remaining_ms > 0 && !has_reported {
            let cold = self.endpoints.entry(endpoint).or_default();
            cold.presumed_until_ms = now_ms.saturating_add(remaining_ms);
        }
    }

    /// Whether an endpoint is treated as cold.
    pub fn is_cold(&self, endpoint: u32, now_ms: u64) -> bool {
        self.remaining_ms(endpoint, now_ms) > 0
    }

    /// Remaining time for which an endpoint is treated as cold, in milliseconds.
    pub fn remaining_ms(&self, endpoint: u32, now_ms: u64) -> u64 {
        let cold = self.endpoints.get(&endpoint);
        cold.map_or(0, |cold| cold.until_ms().saturating_sub(now_ms))
    }

    /// Number of endpoints treated as cold; 0 without a limit.
    pub fn count(&self, now_ms: u64) -> usize {
        if self.bound.is_none() {
            return 0;
        }
        let all = self.endpoints.values();
        all.filter(|cold| cold.until_ms() > now_ms).count()
    }

    /// Whether no endpoint is recorded as cold.
    pub fn is_empty(&self) -> bool {
        self.endpoints.is_empty()
    }

    /// Whether requests to an endpoint are limited now: it is cold, its sustained
    /// rate is not 0 (unlimited), and operators set a limit.
    pub fn is_bounded(&self, endpoint: u32, sustained_per_s: f64, now_ms: u64) -> bool {
        self.bound.is_some() && sustained_per_s > 0.0 && self.is_cold(endpoint, now_ms)
    }

    /// Whether this host may send a request to an endpoint now. A sustained rate of 0
    /// means unlimited; `is_same_zone`: the endpoint is in this host's zone.
    pub fn may_send(
        &self,
        endpoint: u32,
        sustained_per_s: f64,
        is_same_zone: bool,
        now_ms: u64,
    ) -> bool {
        let is_bounded = self.is_bounded(endpoint, sustained_per_s, now_ms);
        let cold = self.endpoints.get(&endpoint).filter(|_| is_bounded);
        let (Some(bound), Some(cold)) = (self.bound, cold) else {
            return true;
        };
        let hosts = self.hosts.len().max(self.min_hosts);
        let share = ColdShare::new(&bound, sustained_per_s, hosts);
        if !is_same_zone || !self.is_sender(endpoint, share.senders) {
            return false;
        }
        let Some(gap_ms) = share.gap_ms() else {
            return false;
        };
        cold.sent_at_ms.is_none_or(|sent| now_ms >= sent + gap_ms)
    }

    /// Records that a request is sent to an endpoint.
    pub fn record_sent(&mut self, endpoint: u32, now_ms: u64) {
        if let Some(cold) = self.endpoints.get_mut(&endpoint) {
            cold.sent_at_ms = Some(now_ms);
        }
    }

    /// Drops endpoints that have not been cold recently.
    pub fn expire(&mut self, now_ms: u64) {
        self.endpoints
            .retain(|_, cold| cold.until_ms() > now_ms || cold.was_reported_recently(now_ms));
    }

    /// Whether this host ranks among the first `senders` of its zone for an endpoint.
    fn is_sender(&self, endpoint: u32, senders: usize) -> bool {
        let Some(local) = self.local.filter(|local| self.hosts.contains(local)) else {
            return false;
        };
        let rank = |host: MemberHash| score(KeyHash(u64::from(endpoint)), host, 1.0);
        let local_rank = rank(local);
        let before = self.hosts.iter().filter(|host| rank(**host) > local_rank);
        before.count() < senders
    }
}
