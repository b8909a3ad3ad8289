//! Endpoints that are cold: slow for some seconds after a start, and easily
//! overrun.
//!
//! A cold endpoint bears so many requests a second over the whole fleet, of which
//! each host sees a small part. Hosts agree on nothing: a few hosts of the
//! endpoint's own availability zone, drawn by rendezvous, send to it, each with
//! a gap between its requests; all others send it none. [`ColdShare`] works out
//! how many they are and how long the gap is, so that the bound holds in any
//! second also where hosts that know of each other too late add a few senders.
//!
//! Who sends is drawn from all hosts of the zone that were heard in the last two
//! minutes, silent ones included. A host that is cut off, frozen or gone keeps
//! its part, which goes unused: no other takes it over while it might still
//! send. A host that has just started, or hears no one, sends none.

use std::collections::HashMap;

use chalkrock_core::rendezvous::{KeyHash, MemberHash, score};

/// The operators' bound on requests to a cold endpoint, over the fleet.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdBound {
    /// How many times the rate that it bears may arrive in a second.
    pub overshoot: f64,
    /// Requests beside these.
    pub slack: f64,
}

impl ColdBound {
    /// Most requests in one second to an endpoint that bears so many.
    fn requests_a_second(&self, sustained_per_s: f64) -> f64 {
        self.overshoot * sustained_per_s + self.slack
    }
}

/// What one sender may send to a cold endpoint.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdShare {
    /// Hosts that send.
    pub senders: usize,
    /// Requests a second of each.
    pub per_s: f64,
}

/// Senders that are drawn beside the others by hosts that know fewer hosts: one,
/// and one more for each three.
const SENDERS_PER_EXTRA: usize = 3;
/// Hosts that the zone of a new host is taken to have: one that knows one other
/// of eleven would take half of the rate for its own.
const HOSTS_AT_LEAST: usize = 64;
/// The part of the best rate that has to be left where there are more senders.
const GOOD_RATE: f64 = 0.75;

impl ColdShare {
    /// The share for an endpoint that bears so many requests a second, in a zone
    /// of so many hosts: as many senders as still give nearly the best rate, since
    /// each more lets more requests find the home of their prefix. A host whose
    /// gap is longer than a whole part of a second sends no more than so many in
    /// any second; senders that should not be are counted as well.
    ///
    /// # Example
    ///
    /// ```
    /// use chalkrock_routing::{ColdBound, ColdShare};
    ///
    /// let bound = ColdBound { overshoot: 1.5, slack: 5.0 };
    /// let share = ColdShare::of(&bound, 13.0, 16);
    /// assert_eq!(share.senders, 16);
    /// assert_eq!(share.per_s, 13.0 / 16.0);
    /// ```
    pub fn new(bound: &ColdBound, sustained_per_s: f64, hosts: usize) -> Self {
        let most = bound.requests_a_second(sustained_per_s);
        let share = |senders: usize| {
            let extra = 1 + senders / SENDERS_PER_EXTRA;
            let in_a_second = (most / (senders + extra) as f64).floor();
            Self {
                senders,
                per_s: in_a_second.min(sustained_per_s / senders as f64),
            }
        };
        let rate = |share: &Self| share.senders as f64 * share.per_s;
        let shares = (1..=hosts.max(1)).map(share);
        let best = shares.clone().map(|share| rate(&share)).fold(0.0, f64::max);
        let is_good = |share: &Self| rate(share) >= GOOD_RATE * best;
        shares.rev().find(is_good).unwrap_or_else(|| share(1))
    }

    /// The least time between two requests of one sender, in milliseconds; `None`
    /// if it may send none.
    fn gap_ms(&self) -> Option<u64> {
        const SECOND_MS: f64 = 1_000.0;
        const OVER_MS: f64 = 1.0;
        (self.per_s > 0.0).then(|| (SECOND_MS / self.per_s + OVER_MS).ceil() as u64)
    }
}

/// How long it is remembered that an endpoint said that it is cold. A zone whose
/// endpoints turned cold 2.3 s before it was taken back would otherwise be sent
/// little for 3 s more.
const TOLD_REMEMBERED_MS: u64 = 5_000;

/// What is known of an endpoint that may be cold.
#[derive(Clone, Copy, Debug, Default)]
struct Cold {
    /// Until when it says that it is cold.
    told_until_ms: u64,
    /// Until when it may be cold without having said so yet.
    doubt_until_ms: u64,
    sent_at_ms: Option<u64>,
}

impl Cold {
    fn until_ms(&self) -> u64 {
        self.told_until_ms.max(self.doubt_until_ms)
    }

    fn was_told_of_late(&self, now_ms: u64) -> bool {
        self.told_until_ms > 0 && now_ms < self.told_until_ms + TOLD_REMEMBERED_MS
    }
}

/// The endpoints that are cold as one host knows them, and what it may send them.
///
/// # Example
///
/// ```
/// use chalkrock_core::rendezvous::MemberHash;
/// use chalkrock_routing::{ColdBound, ColdEndpoints};
///
/// let own = MemberHash::of("host-1");
/// let mut cold = ColdEndpoints::new(Some(ColdBound { overshoot: 1.5, slack: 5.0 }));
/// cold.set_hosts(own, vec![own], false);
/// cold.told(7, 3_000, 0);
/// assert!(cold.may_send(7, 2.0, true, 0));
/// cold.sent(7, 0);
/// assert!(!cold.may_send(7, 2.0, true, 100));
/// assert!(cold.may_send(7, 2.0, true, 3_000)); // no longer cold
/// ```
#[derive(Clone, Debug, Default)]
pub struct ColdEndpoints {
    /// `None` if operators set none: then no endpoint is treated as cold.
    bound: Option<ColdBound>,
    /// This host and all that it knows of its zone; empty while it must not
    /// send to cold endpoints.
    hosts: Vec<MemberHash>,
    /// Hosts for which this host's share is worked out, if it knows fewer.
    hosts_at_least: usize,
    own: Option<MemberHash>,
    endpoints: HashMap<u32, Cold>,
}

impl ColdEndpoints {
    /// None is cold yet.
    pub fn new(bound: Option<ColdBound>) -> Self {
        Self {
            bound,
            ..Self::default()
        }
    }

    /// Takes the operators' bound anew.
    pub fn set_bound(&mut self, bound: Option<ColdBound>) {
        self.bound = bound;
    }

    /// The hosts of this host's zone, itself included, among which senders are
    /// drawn; none while this host must not send to cold endpoints. A host that
    /// `is_new` may not know all of them yet.
    pub fn set_hosts(&mut self, own: MemberHash, hosts: Vec<MemberHash>, is_new: bool) {
        self.own = Some(own);
        self.hosts_at_least = if is_new { HOSTS_AT_LEAST } else { 1 };
        self.hosts = hosts;
    }

    /// An endpoint said for how much longer it is cold. Returns whether it was
    /// not known to be.
    pub fn record_report(&mut self, endpoint: u32, left_ms: u64, now_ms: u64) -> bool {
        if left_ms == 0 {
            if let Some(cold) = self.endpoints.get_mut(&endpoint) {
                cold.told_until_ms = now_ms;
            }
            return false;
        }
        let is_news = !self.is_cold(endpoint, now_ms);
        let cold = self.endpoints.entry(endpoint).or_default();
        cold.told_until_ms = now_ms + left_ms;
        cold.doubt_until_ms = 0;
        is_news
    }

    /// An endpoint may be cold for so long, and may not have said so yet; one that
    /// did so of late is known.
    pub fn presume_cold(&mut self, endpoint: u32, left_ms: u64, now_ms: u64) {
        let known = self.endpoints.get(&endpoint);
        let has_told = known.is_some_and(|cold| cold.was_told_of_late(now_ms));
        if left_ms > 0 && !has_told {
            let cold = self.endpoints.entry(endpoint).or_default();
            cold.doubt_until_ms = now_ms + left_ms;
        }
    }

    /// Whether an endpoint is treated as cold.
    pub fn is_cold(&self, endpoint: u32, now_ms: u64) -> bool {
        self.remaining_ms(endpoint, now_ms) > 0
    }

    /// For how much longer an endpoint is treated as cold.
    pub fn remaining_ms(&self, endpoint: u32, now_ms: u64) -> u64 {
        let cold = self.endpoints.get(&endpoint);
        cold.map_or(0, |cold| cold.until_ms().saturating_sub(now_ms))
    }

    /// How many endpoints are treated as cold; none where operators set no bound.
    pub fn count(&self, now_ms: u64) -> usize {
        if self.bound.is_none() {
            return 0;
        }
        let all = self.endpoints.values();
        all.filter(|cold| cold.until_ms() > now_ms).count()
    }

    /// Whether no endpoint has been cold of late.
    pub fn is_empty(&self) -> bool {
        self.endpoints.is_empty()
    }

    /// Whether an endpoint is cold and bears only so many requests a second meanwhile
    /// (0 for any number), and operators bound what it is sent.
    pub fn is_bounded(&self, endpoint: u32, sustained_per_s: f64, now_ms: u64) -> bool {
        self.bound.is_some() && sustained_per_s > 0.0 && self.is_cold(endpoint, now_ms)
    }

    /// Whether this host may send a request to an endpoint now, which bears so
    /// many a second while it is cold (0 for one that bears any number);
    /// `is_same_zone`: of this host's zone.
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
        let hosts = self.hosts.len().max(self.hosts_at_least);
        let share = ColdShare::new(&bound, sustained_per_s, hosts);
        if !is_same_zone || !self.is_sender(endpoint, share.senders) {
            return false;
        }
        let Some(gap_ms) = share.gap_ms() else {
            return false;
        };
        cold.sent_at_ms.is_none_or(|sent| now_ms >= sent + gap_ms)
    }

    /// A request goes to an endpoint.
    pub fn record_sent(&mut self, endpoint: u32, now_ms: u64) {
        if let Some(cold) = self.endpoints.get_mut(&endpoint) {
            cold.sent_at_ms = Some(now_ms);
        }
    }

    /// Drops what is known of endpoints that have not been cold for a while.
    pub fn expire(&mut self, now_ms: u64) {
        self.endpoints
            .retain(|_, cold| cold.until_ms() > now_ms || cold.was_told_of_late(now_ms));
    }

    /// Whether this host is among so many first of its zone.
    fn is_sender(&self, endpoint: u32, senders: usize) -> bool {
        let Some(own) = self.own.filter(|own| self.hosts.contains(own)) else {
            return false;
        };
        let rank = |host: MemberHash| score(KeyHash(u64::from(endpoint)), host, 1.0);
        let own_rank = rank(own);
        let before = self.hosts.iter().filter(|host| rank(**host) > own_rank);
        before.count() < senders
    }
}
