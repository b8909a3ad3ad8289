//! The whole fleet's requests, as relays of the own zone sum them up.
//!
//! In a large zone hosts report to a few relays only, and each relay tells the
//! zone one sum of the whole fleet. A host that goes by such a sum is in it
//! itself, as it was some time ago. So each sum tells which of the host's own
//! reports it includes; the host takes just that one away and adds what it has
//! in progress now.

use std::collections::{HashMap, VecDeque};
use std::hash::Hash;

use serde::{Deserialize, Serialize};

use crate::fleet_load::HostReport;
use crate::in_flight::InFlightCounters;
use crate::zone_loads::{AggregatePath, ZoneAggregate, ZoneLoads};

/// Own reports that are remembered: those of some three seconds, longer than
/// any sum counts.
const REMEMBERED: usize = 16;

/// Names one report of a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportId {
    /// The life of the host.
    pub incarnation: u64,
    /// The number of the report in that life.
    pub sequence: u64,
}

impl ReportId {
    /// The name of a report.
    pub fn of(report: &HostReport) -> Self {
        Self {
            incarnation: report.incarnation,
            sequence: report.sequence,
        }
    }
}

/// What relays told of the whole fleet. One of them counts.
#[derive(Clone, Debug)]
pub(crate) struct FleetTotals<H> {
    relays: ZoneLoads<H>,
    sum: InFlightCounters,
    /// Own reports that relays' sums include.
    includes: HashMap<H, ReportId>,
    /// The last own reports, oldest first.
    reports: VecDeque<HostReport>,
    /// This host's own requests in the sum that counts.
    own_in_sum: InFlightCounters,
}

impl<H> Default for FleetTotals<H> {
    fn default() -> Self {
        Self {
            relays: ZoneLoads::default(),
            sum: InFlightCounters::default(),
            includes: HashMap::new(),
            reports: VecDeque::new(),
            own_in_sum: InFlightCounters::default(),
        }
    }
}

impl<H: Clone + Eq + Hash + Ord> FleetTotals<H> {
    pub(crate) fn remember(&mut self, report: &HostReport) {
        if self.reports.len() >= REMEMBERED {
            self.reports.pop_front();
        }
        self.reports.push_back(report.clone());
    }

    pub(crate) fn merge(
        &mut self,
        relay: H,
        part: &ZoneAggregate,
        includes: Option<ReportId>,
        now_ms: u64,
    ) {
        match includes {
            Some(includes) => self.includes.insert(relay.clone(), includes),
            None => self.includes.remove(&relay),
        };
        self.relays
            .merge(relay, part, AggregatePath::Direct, now_ms, &mut self.sum);
        self.find_own();
    }

    pub(crate) fn expire(&mut self, now_ms: u64) {
        self.relays.forget_silent(now_ms, &mut self.sum);
        self.relays.count_best(&mut self.sum);
        let relays = &self.relays;
        self.includes.retain(|relay, _| relays.knows(relay));
        self.find_own();
    }

    pub(crate) fn hosts(&self) -> usize {
        self.relays.hosts()
    }

    pub(crate) fn remote_in_progress(&self, endpoint: u32) -> u32 {
        let own = self.own_in_sum.of(endpoint);
        self.sum.of(endpoint).saturating_sub(own)
    }

    pub(crate) fn total_of_others(&self) -> u32 {
        self.sum.total().saturating_sub(self.own_in_sum.total())
    }

    /// Finds the own report that the sum that counts includes. One that is not
    /// remembered is of an earlier life, whose requests are not this host's.
    fn find_own(&mut self) {
        let included = self.relays.counted();
        let included = included.and_then(|relay| self.includes.get(relay));
        let report = included.and_then(|included| {
            let mut reports = self.reports.iter();
            reports.find(|report| ReportId::of(report) == *included)
        });
        self.own_in_sum = InFlightCounters::default();
        if let Some(report) = report {
            self.own_in_sum.add(&report.counts);
        }
    }
}
