//! The whole fleet's requests, as aggregated by relays of the same zone.
//!
//! An aggregate names the report of the receiving host that it includes. The host
//! subtracts that report and adds its current counts.

use std::collections::{HashMap, VecDeque};
use std::hash::Hash;

use serde::{Deserialize, Serialize};

use crate::fleet_load::HostReport;
use crate::in_flight::InFlightCounters;
use crate::zone_loads::{AggregatePath, ZoneAggregate, ZoneLoads};

/// Covers three seconds of reports, longer than an aggregate is valid.
const MAX_REMEMBERED_REPORTS: usize = 16;

/// Identifies one report of a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportId {
    /// Incarnation of the host.
    pub incarnation: u64,
    /// Sequence number within the incarnation.
    pub sequence: u64,
}

impl ReportId {
    /// The identifier of a report.
    pub fn of(report: &HostReport) -> Self {
        Self {
            incarnation: report.incarnation,
            sequence: report.sequence,
        }
    }
}

/// Aggregates of the whole fleet by relay, of which one is selected.
#[derive(Clone, Debug)]
pub(crate) struct FleetTotals<H> {
    relays: ZoneLoads<H>,
    aggregate: InFlightCounters,
    included_reports: HashMap<H, ReportId>,
    local_reports: VecDeque<HostReport>,
    local_in_aggregate: InFlightCounters,
}

impl<H> Default for FleetTotals<H> {
    fn default() -> Self {
        Self {
            relays: ZoneLoads::default(),
            aggregate: InFlightCounters::default(),
            included_reports: HashMap::new(),
            local_reports: VecDeque::new(),
            local_in_aggregate: InFlightCounters::default(),
        }
    }
}

impl<H: Clone + Eq + Hash + Ord> FleetTotals<H> {
    pub(crate) fn remember(&mut self, report: &HostReport) {
        if self.local_reports.len() >= MAX_REMEMBERED_REPORTS {
            self.local_reports.pop_front();
        }
        self.local_reports.push_back(report.clone());
    }

    pub(crate) fn merge(
        &mut self,
        relay: H,
        chunk: &ZoneAggregate,
        includes: Option<ReportId>,
        now_ms: u64,
    ) {
        match includes {
            Some(includes) => self.included_reports.insert(relay.clone(), includes),
            None => self.included_reports.remove(&relay),
        };
        self.relays.merge(
            relay,
            chunk,
            AggregatePath::Direct,
            now_ms,
            &mut self.aggregate,
        );
        self.find_local_report();
    }

    pub(crate) fn expire(&mut self, now_ms: u64) {
        self.relays.expire(now_ms, &mut self.aggregate);
        self.relays.select_best(&mut self.aggregate);
        let relays = &self.relays;
        self.included_reports
            .retain(|relay, _| relays.contains(relay));
        self.find_local_report();
    }

    pub(crate) fn hosts(&self) -> usize {
        self.relays.hosts()
    }

    pub(crate) fn remote_in_progress(&self, endpoint: u32) -> u32 {
        let local = self.local_in_aggregate.get(endpoint);
        self.aggregate.get(endpoint).saturating_sub(local)
    }

    pub(crate) fn remote_total(&self) -> u32 {
        self.aggregate
            .total()
            .saturating_sub(self.local_in_aggregate.total())
    }

    /// Finds the local report in the selected aggregate, if it is of this incarnation.
    fn find_local_report(&mut self) {
        let included = self.relays.selected();
        let included = included.and_then(|relay| self.included_reports.get(relay));
        let report = included.and_then(|included| {
            let mut reports = self.local_reports.iter();
            reports.find(|report| ReportId::of(report) == *included)
        });
        self.local_in_aggregate = InFlightCounters::default();
        if let Some(report) = report {
            self.local_in_aggregate.add(&report.counts);
        }
    }
}
