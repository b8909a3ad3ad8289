//! Requests in progress on each endpoint, over the whole fleet.
//!
//! Each host reports its counts a few times a second; a report replaces the previous
//! one and expires after [`MAX_REPORT_AGE_MS`](crate::MAX_REPORT_AGE_MS). In a large
//! fleet, other zones send aggregates, each through several relays of which one is used.
//! In a large zone, hosts receive only the relays' aggregates of the whole fleet.
//! Counts are kept by endpoint incarnation, even if the endpoint is no longer listed.

use std::collections::HashMap;
use std::hash::Hash;

use serde::{Deserialize, Serialize};

use crate::fleet_totals::{FleetTotals, ReportId};
use crate::in_flight::{EndpointCount, InFlightCounters, REPORT_INTERVAL_MS, is_recent};
use crate::zone_loads::{AggregatePath, HashRange, ZoneAggregate, ZoneLoads};

/// A host's report of its requests in progress.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostReport {
    /// Incarnation of the host; later ones are higher.
    pub incarnation: u64,
    /// Sequence number within the incarnation.
    pub sequence: u64,
    /// Requests by endpoint; unlisted endpoints have none.
    pub counts: Vec<EndpointCount>,
}

/// Whether a report was applied.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MergeOutcome {
    /// It is the newest of its host.
    Applied,
    /// It is late, a duplicate or from an earlier incarnation.
    Stale,
}

#[derive(Clone, Debug)]
struct KnownReport {
    report: HostReport,
    received_at_ms: u64,
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
/// assert_eq!(load.in_progress(7), 1);
/// load.end(7);
/// assert_eq!(load.in_progress(7), 0);
/// ```
#[derive(Clone, Debug)]
pub struct FleetLoad<H> {
    local_in_progress: InFlightCounters,
    hosts: HashMap<H, KnownReport>,
    /// Aggregates of remote zones.
    zones: HashMap<u32, ZoneLoads<H>>,
    /// Sum of all valid counts, updated incrementally for speed in a large fleet.
    others: InFlightCounters,
    /// Aggregates of the whole fleet, from relays of the same zone.
    totals: FleetTotals<H>,
    /// Whether `totals` cover more hosts than the direct reports do.
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
    /// Counts a request that begins on an endpoint.
    pub fn begin(&mut self, endpoint: u32) {
        self.local_in_progress.begin(endpoint);
    }

    /// Counts a request that ends.
    pub fn end(&mut self, endpoint: u32) {
        self.local_in_progress.end(endpoint);
    }

    /// Requests of this host on an endpoint.
    pub fn local_in_progress(&self, endpoint: u32) -> u32 {
        self.local_in_progress.get(endpoint)
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
            self.others.get(endpoint)
        }
    }

    /// Mean age of the other hosts' counts: half of the report interval for each hop.
    pub fn report_age_ms(&self) -> f64 {
        const RELAYED_HOPS: f64 = 3.0;
        let hops = if self.uses_fleet_aggregate || !self.zones.is_empty() {
            RELAYED_HOPS
        } else {
            1.0
        };
        hops * REPORT_INTERVAL_MS as f64 / 2.0
    }

    /// All requests of this host.
    pub fn local_total(&self) -> u32 {
        self.local_in_progress.total()
    }

    /// All requests of the fleet.
    pub fn total(&self) -> u32 {
        let others = if self.uses_fleet_aggregate {
            self.totals.remote_total()
        } else {
            self.others.total()
        };
        self.local_total().saturating_add(others)
    }

    /// Creates a report of this host's counts, and remembers it to subtract it from
    /// aggregates that include it.
    pub fn report(&mut self, incarnation: u64, sequence: u64) -> HostReport {
        let report = HostReport {
            incarnation,
            sequence,
            counts: self.local_in_progress.counts(),
        };
        self.totals.remember(&report);
        report
    }

    /// Merges a report if it is the newest of its host. An earlier incarnation is
    /// accepted once the known one has expired, since a clock may step back.
    pub fn merge(&mut self, host: H, report: HostReport, now_ms: u64) -> MergeOutcome {
        let of = |report: &HostReport| (report.incarnation, report.sequence);
        if let Some(known) = self.hosts.get(&host)
            && is_recent(known.received_at_ms, now_ms)
            && of(&known.report) >= of(&report)
        {
            return MergeOutcome::Stale;
        }
        self.others.add(&report.counts);
        let known = KnownReport {
            report,
            received_at_ms: now_ms,
        };
        if let Some(earlier) = self.hosts.insert(host, known) {
            self.others.remove(&earlier.report.counts);
        }
        self.select_source();
        MergeOutcome::Applied
    }

    /// Merges an aggregate of a remote zone, or a chunk of it, from a relay.
    pub fn merge_zone_aggregate(
        &mut self,
        relay: H,
        chunk: ZoneAggregate,
        path: AggregatePath,
        now_ms: u64,
    ) {
        let zone_loads = self.zones.entry(chunk.zone).or_default();
        zone_loads.merge(relay, &chunk, path, now_ms, &mut self.others);
        self.select_source();
    }

    /// Merges an aggregate of the whole fleet, or a chunk of it, from a relay of the
    /// same zone. `includes` names the report of this host that it includes, if any.
    pub fn merge_fleet_aggregate(
        &mut self,
        relay: H,
        chunk: &ZoneAggregate,
        includes: Option<ReportId>,
        now_ms: u64,
    ) {
        self.totals.merge(relay, chunk, includes, now_ms);
        self.select_source();
    }

    /// The aggregate of the whole fleet for the hosts of this zone. Excludes those of
    /// other relays, since relays would keep each other's from expiring.
    pub fn fleet_aggregate(&self, zone: u32) -> ZoneAggregate {
        let mut totals = self.local_in_progress.clone();
        totals.add(&self.others.counts());
        ZoneAggregate {
            zone,
            hosts: self.direct_host_count() as u32,
            range: HashRange::ALL,
            counts: totals.counts(),
        }
    }

    /// The report of a host that is included in the counts.
    pub fn included_report(&self, host: &H) -> Option<ReportId> {
        let known = self.hosts.get(host)?;
        Some(ReportId::of(&known.report))
    }

    /// Whether this host uses the relays' aggregates of the whole fleet.
    pub fn uses_fleet_aggregate(&self) -> bool {
        self.uses_fleet_aggregate
    }

    /// The number of known hosts, including this one.
    pub fn known_host_count(&self) -> usize {
        if self.uses_fleet_aggregate {
            self.totals.hosts()
        } else {
            self.direct_host_count()
        }
    }

    fn direct_host_count(&self) -> usize {
        1 + self.hosts.len() + self.remote_host_count()
    }

    /// Uses the source that covers more hosts.
    fn select_source(&mut self) {
        self.uses_fleet_aggregate = self.totals.hosts() > self.direct_host_count();
    }

    /// The aggregate of this host and those of its zone, for remote zones.
    pub fn zone_aggregate(&self, zone: u32, now_ms: u64) -> ZoneAggregate {
        let mut totals = self.local_in_progress.clone();
        let recent = self.hosts.values();
        let recent = recent.filter(|known| is_recent(known.received_at_ms, now_ms));
        let mut hosts = 1;
        for known in recent {
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

    /// Aggregates received directly from remote zones, to pass on within this zone.
    pub fn remote_zone_aggregates(&self, now_ms: u64) -> Vec<ZoneAggregate> {
        let zones = self.zones.iter();
        let aggregates =
            zones.filter_map(|(&zone, zone_loads)| zone_loads.best_direct(zone, now_ms));
        let mut aggregates: Vec<ZoneAggregate> = aggregates.collect();
        aggregates.sort_by_key(|aggregate| aggregate.zone);
        aggregates
    }

    /// Drops expired counts.
    pub fn expire(&mut self, now_ms: u64) {
        let others = &mut self.others;
        self.hosts.retain(|_, known| {
            let keep = is_recent(known.received_at_ms, now_ms);
            if !keep {
                others.remove(&known.report.counts);
            }
            keep
        });
        for zone_loads in self.zones.values_mut() {
            zone_loads.expire(now_ms, others);
            zone_loads.select_best(others);
        }
        self.totals.expire(now_ms);
        self.select_source();
    }

    /// Hosts that the aggregates of remote zones cover.
    pub fn remote_host_count(&self) -> usize {
        self.zones.values().map(ZoneLoads::hosts).sum()
    }

    /// Other hosts with a report that has not expired.
    pub fn recent_host_count(&self, now_ms: u64) -> usize {
        if self.uses_fleet_aggregate {
            return self.totals.hosts().saturating_sub(1);
        }
        let recent = self.hosts.values();
        let same_zone = recent
            .filter(|known| is_recent(known.received_at_ms, now_ms))
            .count();
        same_zone + self.remote_host_count()
    }
}
