//! Decides whether old endpoints may stop, after all traffic has moved.
//!
//! Hosts report their requests at each endpoint, and the old endpoints may be idle by these
//! reports while a host that is cut off still sends to them. Each host that reported lately
//! therefore has to confirm that it knows of the move, or must have ended its requests by
//! the plan in the record.

use std::fmt;

use serde::Serialize;

use crate::in_flight::MAX_REPORT_AGE_MS;

/// Time in which a record reaches all hosts and their next reports return: two rounds.
const PROPAGATION_MS: u64 = 400;
/// Time after which a host that does not know of the move is missing in relays' aggregates:
/// its relay's report of it expires, and two more rounds pass the aggregate on.
const AGGREGATE_DELAY_MS: u64 = PROPAGATION_MS + MAX_REPORT_AGE_MS + 400;
/// Silence after which a host counts as gone. Hosts of other zones report each 30 s or so.
const GONE_MS: u64 = 40_000;
/// Age of the order by which hosts in touch know the first record and its plan.
const PLAN_KNOWN_MS: u64 = 1_000;

/// When another host last reported.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HeardHost {
    /// Time since the last message from it or report about it, in milliseconds.
    pub heard_ago_ms: u64,
    /// Whether it reports its requests to this host itself.
    pub is_direct: bool,
}

/// What a host knows of the others after all routes have moved.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QuiescenceView<'a> {
    /// Age of the order, in milliseconds.
    pub age_ms: u64,
    /// Time since the record of the move was written, in milliseconds.
    pub moved_ago_ms: u64,
    /// Age of the order from which hosts without news send nothing to the old builds, in
    /// milliseconds.
    pub planned_ms: u64,
    /// Time without reports after which a host counts as cut off, in milliseconds.
    pub cut_off_delay_ms: u64,
    /// Maximum time that a request of the pool may run, in milliseconds.
    pub max_request_ms: u64,
    /// Other hosts whose requests are included in the fleet's load.
    pub counted_hosts: usize,
    /// The other hosts that ever reported, except long ago.
    pub hosts: &'a [HeardHost],
}

/// Hosts that are waited for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct HostWait {
    /// How many.
    pub hosts: usize,
    /// Time until they must have ended their requests, in milliseconds.
    pub remaining_ms: u64,
}

impl fmt::Display for HostWait {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} hosts, {} ms", self.hosts, self.remaining_ms)
    }
}

impl QuiescenceView<'_> {
    /// The hosts that may still run requests at old endpoints, if any.
    ///
    /// # Example
    ///
    /// ```
    /// use chalkrock_routing::{HeardHost, QuiescenceView};
    ///
    /// let silent = HeardHost { heard_ago_ms: 5_000, is_direct: true };
    /// let view = QuiescenceView {
    ///     age_ms: 10_000,
    ///     moved_ago_ms: 2_000,
    ///     planned_ms: 8_000,
    ///     cut_off_delay_ms: 3_000,
    ///     max_request_ms: 4_000,
    ///     counted_hosts: 0,
    ///     hosts: &[silent],
    /// };
    /// let wait = view.host_wait().expect("it may still run requests");
    /// assert_eq!(wait.hosts, 1);
    /// ```
    pub fn host_wait(&self) -> Option<HostWait> {
        let unreleased = self.hosts.iter().filter_map(|host| {
            let remaining_ms = self.release_age_ms(host).saturating_sub(self.age_ms);
            (remaining_ms > 0).then_some((host, remaining_ms))
        });
        let unreleased: Vec<_> = unreleased.collect();
        let is_aggregate_current = self.moved_ago_ms >= AGGREGATE_DELAY_MS;
        if is_aggregate_current && self.counted_hosts >= unreleased.len() {
            return None;
        }
        let waiting = unreleased.iter().filter(|(host, _)| !self.confirms(host));
        let remaining_ms = waiting.clone().map(|(_, remaining_ms)| *remaining_ms);
        Some(HostWait {
            hosts: waiting.clone().count(),
            remaining_ms: remaining_ms.max()?,
        })
    }

    /// Whether a host reported its requests after it had time to learn of the move.
    fn confirms(&self, host: &HeardHost) -> bool {
        let is_counted = host.is_direct && host.heard_ago_ms <= MAX_REPORT_AGE_MS;
        is_counted && host.heard_ago_ms + PROPAGATION_MS <= self.moved_ago_ms
    }

    /// Age of the order from which a silent host must have ended its requests. One that may
    /// not know the plan is waited for until it counts as gone.
    fn release_age_ms(&self, host: &HeardHost) -> u64 {
        let knows_plan = host.heard_ago_ms + PLAN_KNOWN_MS <= self.age_ms;
        if !knows_plan {
            let gone_in_ms = GONE_MS.saturating_sub(host.heard_ago_ms);
            return self.age_ms + gone_in_ms;
        }
        let cut_off_ms = self.age_ms - host.heard_ago_ms + self.cut_off_delay_ms;
        cut_off_ms.max(self.planned_ms) + PROPAGATION_MS + self.max_request_ms
    }
}
