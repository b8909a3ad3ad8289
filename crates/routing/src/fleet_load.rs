//! Requests in progress on each endpoint, over the whole fleet.
//!
//! Each host counts its own and tells the others a few times a second. A
//! report replaces the one before it; counts of a host that has fallen silent
//! stop counting after [`REPORT_AGE_MAX_MS`](crate::REPORT_AGE_MAX_MS). In a
//! large fleet a host hears the hosts of its own availability zone, and of the
//! other zones only sums, each from several relays; one relay's sum of a zone
//! counts, never two. In a large zone it hears relays alone, which sum up the
//! whole fleet for it. Counts belong to an endpoint's incarnation, whose name is
//! its own, and outlive its entry in the list: a request that runs on an
//! endpoint that is no longer listed is still there.

use std::collections::HashMap;
use std::hash::Hash;

use serde::{Deserialize, Serialize};

use crate::fleet_totals::{FleetTotals, ReportId};
use crate::in_flight::{EndpointCount, InFlightCounters, REPORT_INTERVAL_MS, is_recent};
use crate::zone_loads::{AggregatePath, HashRange, ZoneAggregate, ZoneLoads};

/// What one host says of its own requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostReport {
    /// The life of the host; a later one is higher.
    pub incarnation: u64,
    /// The number of the report in that life.
    pub sequence: u64,
    /// Its requests by endpoint; what is not named has none.
    pub counts: Vec<EndpointCount>,
}

/// Whether a report was taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MergeOutcome {
    /// It is the newest of its host.
    Applied,
    /// It came late or twice, or from an earlier life.
    Stale,
}

#[derive(Clone, Debug)]
struct Known {
    report: HostReport,
    heard_at_ms: u64,
}

/// The load of each endpoint as one host knows it.
///
/// # Example
///
/// ```
/// use chalkrock_routing::FleetLoad;
///
/// let mut load: FleetLoad<u32> = FleetLoad::default();
/// load.begin(7);
/// assert_eq!(load.of(7), 1);
/// load.end(7);
/// assert_eq!(load.of(7), 0);
/// ```
#[derive(Clone, Debug)]
pub struct FleetLoad<H> {
    local_in_progress: InFlightCounters,
    hosts: HashMap<H, Known>,
    /// What was told of other zones.
    zones: HashMap<u32, ZoneLoads<H>>,
    /// The sum of all that counts, kept by what changes: adding all reports up
    /// anew at each of them took a third of a core in a fleet of 300.
    others: InFlightCounters,
    /// What relays of the own zone sum up of the whole fleet.
    totals: FleetTotals<H>,
    /// Whether these cover more hosts than this host hears by itself.
    uses_fleet_aggregate: bool,
}

impl<H> Default for FleetLoad<H> {
    fn default() -> Self {
        Self {
            local_in_progress: InFlightCounters::default(),
            hosts: HashMap::new(),
            zones: HashMap::new(),
            others: InFlightCounters::default(),
            totals: FleetTotals::default(),
            uses_fleet_aggregate: false,
        }
    }
}

impl<H: Clone + Eq + Hash + Ord> FleetLoad<H> {
    /// A request of this host begins on an endpoint.
    pub fn begin(&mut self, endpoint: u32) {
        self.local_in_progress.begin(endpoint);
    }

    /// A request of this host ends.
    pub fn end(&mut self, endpoint: u32) {
        self.local_in_progress.end(endpoint);
    }

    /// Requests of this host on an endpoint.
    pub fn local_in_progress(&self, endpoint: u32) -> u32 {
        self.local_in_progress.of(endpoint)
    }

    /// Requests of the whole fleet on an endpoint.
    pub fn in_progress(&self, endpoint: u32) -> u32 {
        self.local_in_progress(endpoint)
            .saturating_add(self.remote_in_progress(endpoint))
    }

    /// Requests of the other hosts on an endpoint.
    pub fn remote_in_progress(&self, endpoint: u32) -> u32 {
        if self.uses_fleet_aggregate {
            self.totals.remote_in_progress(endpoint)
        } else {
            self.others.of(endpoint)
        }
    }

    /// How old the other hosts' counts are in the mean: half of the interval
    /// for each host that passes them on.
    pub fn report_age_ms(&self) -> f64 {
        const PASSED_ON_ZONES: f64 = 3.0;
        let hops = if self.uses_fleet_aggregate || !self.zones.is_empty() {
            PASSED_ON_ZONES
        } else {
            1.0
        };
        hops * REPORT_INTERVAL_MS as f64 / 2.0
    }

    /// All of this host's requests.
    pub fn local_total(&self) -> u32 {
        self.local_in_progress.total()
    }

    /// All requests of the fleet.
    pub fn total(&self) -> u32 {
        let others = if self.uses_fleet_aggregate {
            self.totals.total_of_others()
        } else {
            self.others.total()
        };
        self.local_total().saturating_add(others)
    }

    /// This host's counts, to report under a number. They are remembered: a
    /// relay's sum tells which report of this host it includes.
    pub fn report(&mut self, incarnation: u64, sequence: u64) -> HostReport {
        let report = HostReport {
            incarnation,
            sequence,
            counts: self.local_in_progress.counts(),
        };
        self.totals.remember(&report);
        report
    }

    /// Takes a host's report, if it is the newest of that host. Lives are told
    /// apart by a time of day, which may step back: a life that seems earlier
    /// is believed once the later one has fallen silent.
    pub fn merge(&mut self, host: H, report: HostReport, now_ms: u64) -> MergeOutcome {
        let of = |report: &HostReport| (report.incarnation, report.sequence);
        if let Some(known) = self.hosts.get(&host)
            && is_recent(known.heard_at_ms, now_ms)
            && of(&known.report) >= of(&report)
        {
            return MergeOutcome::Stale;
        }
        self.others.add(&report.counts);
        let known = Known {
            report,
            heard_at_ms: now_ms,
        };
        if let Some(earlier) = self.hosts.insert(host, known) {
            self.others.remove(&earlier.report.counts);
        }
        self.choose_source();
        MergeOutcome::Applied
    }

    /// Takes a zone's sum, or a part of it, from a relay.
    pub fn merge_zone_aggregate(
        &mut self,
        relay: H,
        part: ZoneAggregate,
        path: AggregatePath,
        now_ms: u64,
    ) {
        let of_zone = self.zones.entry(part.zone).or_default();
        of_zone.merge(relay, &part, path, now_ms, &mut self.others);
        self.choose_source();
    }

    /// Takes the sum of the whole fleet, or a part of it, from a relay of the
    /// own zone. `includes` is the report of this host that it includes, if any.
    pub fn merge_fleet_aggregate(
        &mut self,
        relay: H,
        part: &ZoneAggregate,
        includes: Option<ReportId>,
        now_ms: u64,
    ) {
        self.totals.merge(relay, part, includes, now_ms);
        self.choose_source();
    }

    /// The sum of the whole fleet as this host hears it by itself, for the
    /// hosts of its zone. What relays summed up is no part of it, or they would
    /// keep each other's word alive.
    pub fn fleet_aggregate(&self, zone: u32) -> ZoneAggregate {
        let mut totals = self.local_in_progress.clone();
        totals.add(&self.others.counts());
        ZoneAggregate {
            zone,
            hosts: self.hosts_heard_directly() as u32,
            range: HashRange::ALL,
            counts: totals.counts(),
        }
    }

    /// The report of a host that counts.
    pub fn included_report(&self, host: &H) -> Option<ReportId> {
        let known = self.hosts.get(host)?;
        Some(ReportId::of(&known.report))
    }

    /// Whether this host goes by what relays of its zone sum up.
    pub fn uses_fleet_aggregate(&self) -> bool {
        self.uses_fleet_aggregate
    }

    /// All hosts that are known, this one included.
    pub fn known_host_count(&self) -> usize {
        if self.uses_fleet_aggregate {
            self.totals.hosts()
        } else {
            self.hosts_heard_directly()
        }
    }

    fn hosts_heard_directly(&self) -> usize {
        1 + self.hosts.len() + self.remote_host_count()
    }

    /// Goes by whatever covers more hosts.
    fn choose_source(&mut self) {
        self.uses_fleet_aggregate = self.totals.hosts() > self.hosts_heard_directly();
    }

    /// The sum of this host and those that it hears itself, for other zones.
    pub fn zone_aggregate(&self, zone: u32, now_ms: u64) -> ZoneAggregate {
        let mut totals = self.local_in_progress.clone();
        let heard = self.hosts.values();
        let heard = heard.filter(|known| is_recent(known.heard_at_ms, now_ms));
        let mut hosts = 1;
        for known in heard {
            hosts += 1;
            totals.add(&known.report.counts);
        }
        ZoneAggregate {
            zone,
            hosts,
            range: HashRange::ALL,
            counts: totals.counts(),
        }
    }

    /// The sums of the other zones that came from there, to pass on.
    pub fn remote_zone_aggregates(&self, now_ms: u64) -> Vec<ZoneAggregate> {
        let zones = self.zones.iter();
        let sums = zones.filter_map(|(&zone, of_zone)| of_zone.direct(zone, now_ms));
        let mut sums: Vec<ZoneAggregate> = sums.collect();
        sums.sort_by_key(|sum| sum.zone);
        sums
    }

    /// Drops the counts of hosts that have fallen silent.
    pub fn expire(&mut self, now_ms: u64) {
        let others = &mut self.others;
        self.hosts.retain(|_, known| {
            let is_kept = is_recent(known.heard_at_ms, now_ms);
            if !is_kept {
                others.remove(&known.report.counts);
            }
            is_kept
        });
        for of_zone in self.zones.values_mut() {
            of_zone.forget_silent(now_ms, others);
            of_zone.count_best(others);
        }
        self.totals.expire(now_ms);
        self.choose_source();
    }

    /// How many hosts of other zones are known by their zones' sums.
    pub fn remote_host_count(&self) -> usize {
        self.zones.values().map(ZoneLoads::hosts).sum()
    }

    /// How many other hosts were heard of late.
    pub fn recent_host_count(&self, now_ms: u64) -> usize {
        if self.uses_fleet_aggregate {
            return self.totals.hosts().saturating_sub(1);
        }
        let heard = self.hosts.values();
        let near = heard
            .filter(|known| is_recent(known.heard_at_ms, now_ms))
            .count();
        near + self.remote_host_count()
    }
}
