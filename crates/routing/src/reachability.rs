//! Which endpoints other hosts reach, and through which host a request may be forwarded.
//!
//! Reachability belongs to a pair of a host and an endpoint. A host that can't open
//! connections to an endpoint asks others about it. If one of them reaches the endpoint,
//! the endpoint is sound and the path is not: it stays eligible for placement, and the
//! request is forwarded through a host that reaches it.

use std::collections::HashMap;
use std::hash::Hash;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// How long another host's report holds.
const REPORT_MAX_AGE_MS: u64 = 2_500;
/// Hosts with young reports from which on no further ones are needed.
const SUFFICIENT_HOSTS: usize = 2;
/// Age up to which a report is young.
const YOUNG_REPORT_MS: u64 = 1_000;
/// Scheduler lag from which on a host gets forwarded requests only if all others lag too.
const HIGH_LAG_MS: u32 = 50;
/// How much busier a host of the same zone may be than one of another zone, as a ratio of
/// forwarded requests to capacity.
const SAME_ZONE_LOAD_RATIO: f64 = 2.0;
/// Forwarded requests that are not counted in that ratio, by host.
const SAME_ZONE_ALLOWANCE: f64 = 4.0;

/// A host that accepts forwarded requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NextHop {
    /// Address for forwarded requests.
    pub address: SocketAddr,
    /// Short hash of its availability zone.
    pub zone: u32,
    /// Its processor capacity, in thousandths of a core.
    pub capacity_millicores: u16,
    /// Its scheduler lag.
    pub lag_ms: u32,
}

/// What a host reports of endpoints that it was asked about.
#[derive(Clone, Copy, Debug)]
pub struct ReachReport<'a> {
    /// Where it accepts forwarded requests, if it does.
    pub next_hop: Option<NextHop>,
    /// Endpoints that recently accepted a connection of it or sent it something.
    pub reached: &'a [u32],
    /// Endpoints to which it can't open connections.
    pub unreached: &'a [u32],
    /// Whether it has just tried to open connections to them.
    pub is_checked: bool,
}

/// How many hosts reported of an endpoint, by what they reported.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReportCounts {
    /// Hosts that reach it.
    pub reached: usize,
    /// Hosts that can't open connections to it.
    pub unreached: usize,
}

#[derive(Clone, Copy, Debug)]
struct Observation {
    is_reached: bool,
    at_ms: u64,
    /// When the host last reported a check by a connection.
    checked_at_ms: Option<u64>,
}

impl Observation {
    fn is_valid(&self, now_ms: u64) -> bool {
        now_ms.saturating_sub(self.at_ms) <= REPORT_MAX_AGE_MS
    }
}

#[derive(Clone, Debug, Default)]
struct HostView {
    reported_at_ms: u64,
    next_hop: Option<NextHop>,
    endpoints: HashMap<u32, Observation>,
}

impl HostView {
    fn reaches(&self, endpoint: u32, now_ms: u64) -> bool {
        let observation = self.endpoints.get(&endpoint);
        observation.is_some_and(|seen| seen.is_reached && seen.is_valid(now_ms))
    }
}

/// Reports of other hosts about endpoints that this host asked about.
///
/// # Example
///
/// ```
/// use chalkrock_routing::{NextHop, ReachReport, Reachability};
///
/// let mut reachability: Reachability<&str> = Reachability::default();
/// let next_hop = NextHop {
///     address: "10.0.0.2:7341".parse().unwrap(),
///     zone: 1,
///     capacity_millicores: 250,
///     lag_ms: 0,
/// };
/// let report = ReachReport { next_hop: Some(next_hop), reached: &[7], unreached: &[8], is_checked: false };
/// reachability.merge("host-2", &report, 0);
/// assert!(reachability.is_reached(7, 100));
/// assert!(!reachability.is_reached(8, 100));
/// ```
#[derive(Clone, Debug)]
pub struct Reachability<H> {
    hosts: HashMap<H, HostView>,
    /// Forwarded requests in progress, by the address of the next hop.
    forwarded: HashMap<SocketAddr, u32>,
}

impl<H> Default for Reachability<H> {
    fn default() -> Self {
        Self {
            hosts: HashMap::new(),
            forwarded: HashMap::new(),
        }
    }
}

impl<H: Clone + Eq + Hash + Ord> Reachability<H> {
    /// Merges a host's report. Endpoints that it does not name keep their last one.
    pub fn merge(&mut self, host: H, report: &ReachReport<'_>, now_ms: u64) {
        let view = self.hosts.entry(host).or_default();
        view.reported_at_ms = now_ms;
        view.next_hop = report.next_hop;
        let observations = [(report.reached, true), (report.unreached, false)];
        for (endpoints, is_reached) in observations {
            let seen = Observation {
                is_reached,
                at_ms: now_ms,
                checked_at_ms: report.is_checked.then_some(now_ms),
            };
            view.endpoints
                .extend(endpoints.iter().map(|endpoint| (*endpoint, seen)));
        }
    }

    /// Records whether a host reached an endpoint for a forwarded request.
    pub fn record_forwarded(
        &mut self,
        address: SocketAddr,
        endpoint: u32,
        is_reached: bool,
        now_ms: u64,
    ) {
        let seen = Observation {
            is_reached,
            at_ms: now_ms,
            checked_at_ms: None,
        };
        for view in self.hosts.values_mut() {
            if view.next_hop.is_some_and(|hop| hop.address == address) {
                view.reported_at_ms = now_ms;
                view.endpoints.insert(endpoint, seen);
            }
        }
    }

    /// Forgets a host that did not take a forwarded request, until it reports again.
    pub fn forget(&mut self, address: SocketAddr) {
        self.hosts
            .retain(|_, view| view.next_hop.is_none_or(|hop| hop.address != address));
    }

    /// Forgets all reports of an endpoint that has crashed since.
    pub fn forget_endpoint(&mut self, endpoint: u32) {
        for view in self.hosts.values_mut() {
            view.endpoints.remove(&endpoint);
        }
    }

    /// Whether another host reaches the endpoint.
    pub fn is_reached(&self, endpoint: u32, now_ms: u64) -> bool {
        self.hosts
            .values()
            .any(|view| view.next_hop.is_some() && view.reaches(endpoint, now_ms))
    }

    /// When the host with this address for forwarded requests last reported, or served one.
    pub fn reported_at_ms(&self, address: SocketAddr) -> Option<u64> {
        let mut views = self.hosts.values();
        let view = views.find(|view| view.next_hop.is_some_and(|hop| hop.address == address))?;
        Some(view.reported_at_ms)
    }

    /// Counts the hosts that reported a check of an endpoint at or after `since_ms`.
    pub fn checks_since(&self, endpoint: u32, since_ms: u64) -> ReportCounts {
        let views = self.hosts.values();
        let observations = views.filter_map(|view| view.endpoints.get(&endpoint));
        let (reached, unreached): (Vec<&Observation>, Vec<&Observation>) = observations
            .filter(|seen| seen.checked_at_ms.is_some_and(|at_ms| at_ms >= since_ms))
            .partition(|seen| seen.is_reached);
        ReportCounts {
            reached: reached.len(),
            unreached: unreached.len(),
        }
    }

    /// Whether more reports of an endpoint are needed, because few hosts are known to reach
    /// it.
    pub fn needs_reports(&self, endpoint: u32, now_ms: u64) -> bool {
        let is_young = |view: &&HostView| {
            let seen = view.endpoints.get(&endpoint);
            view.next_hop.is_some()
                && seen.is_some_and(|seen| {
                    seen.is_reached && now_ms.saturating_sub(seen.at_ms) <= YOUNG_REPORT_MS
                })
        };
        self.hosts.values().filter(is_young).count() < SUFFICIENT_HOSTS
    }

    /// The hosts that reach an endpoint, in order.
    pub fn hosts_reaching(&self, endpoint: u32, now_ms: u64) -> Vec<H> {
        let reaching = self
            .hosts
            .iter()
            .filter(|(_, view)| view.next_hop.is_some() && view.reaches(endpoint, now_ms));
        let mut hosts: Vec<H> = reaching.map(|(host, _)| host.clone()).collect();
        hosts.sort();
        hosts
    }

    /// Chooses the host through which a request for an endpoint is forwarded; `None` if no
    /// other host reaches it. `excluded` did not take the request before.
    ///
    /// Two hosts are drawn in proportion to their capacity, and the one with fewer forwarded
    /// requests for it is chosen. A host of the same zone is preferred unless it is much
    /// busier, since bytes between zones are dear.
    pub fn choose_next_hop(
        &self,
        endpoint: u32,
        zone: u32,
        excluded: &[SocketAddr],
        draws: (f64, f64),
        now_ms: u64,
    ) -> Option<NextHop> {
        let reaching = self
            .hosts
            .values()
            .filter(|view| view.reaches(endpoint, now_ms));
        let mut hops: Vec<NextHop> = reaching
            .filter_map(|view| view.next_hop)
            .filter(|hop| !excluded.contains(&hop.address))
            .collect();
        hops.sort_by_key(|hop| hop.address);
        if hops.iter().any(|hop| hop.lag_ms < HIGH_LAG_MS) {
            hops.retain(|hop| hop.lag_ms < HIGH_LAG_MS);
        }
        let (same, other): (Vec<NextHop>, Vec<NextHop>) =
            hops.into_iter().partition(|hop| hop.zone == zone);
        let same = self.choose_of_two(&same, draws);
        let other = self.choose_of_two(&other, draws);
        match (same, other) {
            (Some(same), Some(other)) => {
                let excess = self.load(&same) - SAME_ZONE_ALLOWANCE / capacity(&same);
                let is_much_busier = excess > SAME_ZONE_LOAD_RATIO * self.load(&other);
                Some(if is_much_busier { other } else { same })
            }
            (same, other) => same.or(other),
        }
    }

    fn choose_of_two(&self, hops: &[NextHop], draws: (f64, f64)) -> Option<NextHop> {
        let first = draw_by_capacity(hops, draws.0)?;
        let second = draw_by_capacity(hops, draws.1)?;
        let is_first_busier = self.load(&first) > self.load(&second);
        Some(if is_first_busier { second } else { first })
    }

    /// Forwarded requests of this host in relation to the capacity of the next hop.
    fn load(&self, hop: &NextHop) -> f64 {
        let in_progress = self.forwarded.get(&hop.address).copied().unwrap_or(0);
        f64::from(in_progress) / capacity(hop)
    }

    /// Counts a request that is forwarded.
    pub fn begin_forwarded(&mut self, address: SocketAddr) {
        *self.forwarded.entry(address).or_default() += 1;
    }

    /// Counts a forwarded request that ended.
    pub fn end_forwarded(&mut self, address: SocketAddr) {
        if let Some(count) = self.forwarded.get_mut(&address) {
            *count -= 1;
            if *count == 0 {
                self.forwarded.remove(&address);
            }
        }
    }

    /// Drops expired reports.
    pub fn expire(&mut self, now_ms: u64) {
        for view in self.hosts.values_mut() {
            view.endpoints.retain(|_, seen| seen.is_valid(now_ms));
        }
        self.hosts.retain(|_, view| !view.endpoints.is_empty());
    }
}

fn capacity(hop: &NextHop) -> f64 {
    f64::from(hop.capacity_millicores.max(1))
}

/// Draws a host in proportion to its capacity; `draw` is from 0 to 1.
fn draw_by_capacity(hops: &[NextHop], draw: f64) -> Option<NextHop> {
    let total: f64 = hops.iter().map(capacity).sum();
    let mut remaining = draw * total;
    for hop in hops {
        remaining -= capacity(hop);
        if remaining < 0.0 {
            return Some(*hop);
        }
    }
    hops.last().copied()
}
