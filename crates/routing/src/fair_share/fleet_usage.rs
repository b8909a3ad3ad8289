//! Work by organisation over the whole fleet.
//!
//! Each host reports the organisations that demand most of a loaded pool; the others are
//! summed up. In a large fleet, relays add up the reports of their zone, and send each
//! other's sums on. Reports have the same bound at each step. A report replaces the
//! previous one of its sender and expires after [`MAX_REPORT_AGE_MS`].

use std::collections::HashMap;
use std::hash::Hash;

use super::pool_usage::{KnownReport, OrganisationShare, PoolUsage, merge};
use super::usage_report::{
    MAX_ORGANISATIONS_PER_AGGREGATE, MAX_ORGANISATIONS_PER_HOST, SlotUse, UsageReport,
};
use crate::admission::PoolOccupancy;
use crate::fleet_load::MergeOutcome;
use crate::fleet_totals::ReportId;
use crate::zone_loads::AggregatePath;

/// Most pools with usage.
const MAX_POOLS: usize = 64;

/// Work by pool and organisation, of this host and of the fleet.
///
/// # Example
///
/// ```
/// use chalkrock_routing::{FleetUsage, PoolOccupancy, ReportId};
///
/// const POOL: u32 = 1;
/// let mut usage: FleetUsage<u32> = FleetUsage::default();
/// let mut other: FleetUsage<u32> = FleetUsage::default();
/// usage.record(POOL, 7, 100.0, 0);
/// other.record_rejected(POOL, 8, 900.0, 0);
/// let report = other.report(POOL, true, 0).expect("the pool is loaded");
/// let id = ReportId { incarnation: 1, sequence: 1 };
/// usage.merge(2, id, report, 0);
/// let full = PoolOccupancy { slots: 1, in_progress: 1, service_ms: 100.0 };
/// assert!(usage.share(POOL, 8, &full, 0).expect("a report is known").is_over());
/// assert!(!usage.share(POOL, 7, &full, 0).expect("a report is known").is_over());
/// ```
#[derive(Clone, Debug)]
pub struct FleetUsage<H> {
    pools: HashMap<u32, PoolUsage<H>>,
}

impl<H> Default for FleetUsage<H> {
    fn default() -> Self {
        Self {
            pools: HashMap::new(),
        }
    }
}

impl<H: Clone + Eq + Hash> FleetUsage<H> {
    /// Counts the expected work of an admitted request of this host.
    pub fn record(&mut self, pool: u32, organisation: u32, work_ms: f64, now_ms: u64) {
        if let Some(known) = self.pool_mut(pool) {
            known.local.record(organisation, work_ms, now_ms);
        }
    }

    /// Corrects the work of an admitted request by the difference of its actual to its
    /// expected work.
    pub fn correct(&mut self, pool: u32, organisation: u32, difference_ms: f64, now_ms: u64) {
        if let Some(known) = self.pool_mut(pool) {
            known.local.correct(organisation, difference_ms, now_ms);
        }
    }

    /// Counts the expected work of a rejected request of this host.
    pub fn record_rejected(&mut self, pool: u32, organisation: u32, work_ms: f64, now_ms: u64) {
        if let Some(known) = self.pool_mut(pool) {
            known.local.record_rejected(organisation, work_ms, now_ms);
        }
    }

    /// This host's report of a pool, to send to others while the pool is loaded, and once
    /// more afterwards so that they don't count what has ended.
    pub fn report(&mut self, pool: u32, is_loaded: bool, now_ms: u64) -> Option<UsageReport> {
        let known = self.pools.get_mut(&pool)?;
        if !is_loaded {
            let had_reported = known.reported.take().is_some();
            return had_reported.then(|| UsageReport {
                hosts: 1,
                ..UsageReport::empty(pool)
            });
        }
        let report = known
            .local_sum(now_ms)
            .report(pool, MAX_ORGANISATIONS_PER_HOST);
        let is_empty = report.heaviest.is_empty() && report.others == SlotUse::default();
        let new = (!is_empty).then(|| (report.clone(), now_ms));
        let had_reported = std::mem::replace(&mut known.reported, new).is_some();
        (!is_empty || had_reported).then_some(report)
    }

    /// Merges a host's report if it is the newest.
    pub fn merge(
        &mut self,
        host: H,
        id: ReportId,
        report: UsageReport,
        now_ms: u64,
    ) -> MergeOutcome {
        let new = KnownReport {
            id,
            report: UsageReport {
                hosts: 1,
                ..report.bounded()
            },
            received_at_ms: now_ms,
            path: AggregatePath::Direct,
        };
        match self.pool_mut(new.report.pool) {
            Some(known) => merge(&mut known.hosts, host, new),
            None => MergeOutcome::Stale,
        }
    }

    /// Merges an aggregate of a remote zone from a relay.
    pub fn merge_zone_aggregate(
        &mut self,
        relay: H,
        zone: u32,
        path: AggregatePath,
        id: ReportId,
        report: UsageReport,
        now_ms: u64,
    ) -> MergeOutcome {
        let new = KnownReport {
            id,
            report: report.bounded(),
            received_at_ms: now_ms,
            path,
        };
        let Some(known) = self.pool_mut(new.report.pool) else {
            return MergeOutcome::Stale;
        };
        if known.zones.len() >= MAX_POOLS && !known.zones.contains_key(&zone) {
            return MergeOutcome::Stale;
        }
        merge(known.zones.entry(zone).or_default(), relay, new)
    }

    /// Merges an aggregate of the whole fleet from a relay of the same zone.
    pub fn merge_fleet_aggregate(
        &mut self,
        relay: H,
        id: ReportId,
        report: UsageReport,
        now_ms: u64,
    ) -> MergeOutcome {
        let new = KnownReport {
            id,
            report: report.bounded(),
            received_at_ms: now_ms,
            path: AggregatePath::Relayed,
        };
        match self.pool_mut(new.report.pool) {
            Some(known) => merge(&mut known.totals, relay, new),
            None => MergeOutcome::Stale,
        }
    }

    /// The aggregate of this host and those of its zone, for remote zones.
    pub fn zone_aggregate(&self, pool: u32, now_ms: u64) -> Option<UsageReport> {
        let sum = self.pools.get(&pool)?.direct_sum(now_ms);
        Some(sum.report(pool, MAX_ORGANISATIONS_PER_AGGREGATE))
    }

    /// The aggregate of the whole fleet for the hosts of this zone.
    pub fn fleet_aggregate(&self, pool: u32, now_ms: u64) -> Option<UsageReport> {
        let sum = self.pools.get(&pool)?.fleet_sum(now_ms);
        Some(sum.report(pool, MAX_ORGANISATIONS_PER_AGGREGATE))
    }

    /// Aggregates received directly from remote zones, with their zones, to pass on
    /// within this zone.
    pub fn remote_zone_aggregates(&self, pool: u32, now_ms: u64) -> Vec<(u32, UsageReport)> {
        let zones = self.pools.get(&pool).map(|known| &known.zones);
        let zones = zones.into_iter().flatten();
        let direct = zones.filter_map(|(&zone, relays)| {
            let recent = relays.values().filter(|known| known.is_recent(now_ms));
            let direct = recent.filter(|known| known.path == AggregatePath::Direct);
            let best = direct.max_by_key(|known| (known.report.hosts, known.received_at_ms))?;
            Some((zone, best.report.clone()))
        });
        direct.collect()
    }

    /// An organisation's use of a pool against its fair share of the pool's slots; `None`
    /// without a recent report of another host.
    pub fn share(
        &mut self,
        pool: u32,
        organisation: u32,
        occupancy: &PoolOccupancy,
        now_ms: u64,
    ) -> Option<OrganisationShare> {
        let known = self.pools.get_mut(&pool)?;
        let shares = known.shares(occupancy, now_ms)?;
        Some(shares.share(organisation))
    }

    /// The pools to report in a round, at most `max`, all in turn: those loaded, those that
    /// this host has reported and those that other hosts report.
    pub fn pools_in_turn(&self, loaded: &[u32], sequence: u64, max: usize) -> Vec<u32> {
        let known = self.pools.iter();
        let reported = known.filter(|(pool, known)| {
            loaded.contains(pool) || known.reported.is_some() || known.has_reports()
        });
        let mut pools: Vec<u32> = reported.map(|(&pool, _)| pool).collect();
        pools.sort_unstable();
        let first = sequence % pools.len().max(1) as u64;
        pools.rotate_left(first as usize);
        pools.truncate(max);
        pools
    }

    /// Whether reports of other hosts are known.
    pub fn has_reports(&self, pool: u32) -> bool {
        let known = self.pools.get(&pool);
        known.is_some_and(PoolUsage::has_reports)
    }

    /// Short hashes of the pools with usage.
    pub fn pools(&self) -> Vec<u32> {
        let mut pools: Vec<u32> = self.pools.keys().copied().collect();
        pools.sort_unstable();
        pools
    }

    /// Drops expired reports and pools without usage.
    pub fn expire(&mut self, now_ms: u64) {
        self.pools.retain(|_, known| {
            known.expire(now_ms);
            !known.is_idle(now_ms)
        });
    }

    fn pool_mut(&mut self, pool: u32) -> Option<&mut PoolUsage<H>> {
        if self.pools.len() >= MAX_POOLS && !self.pools.contains_key(&pool) {
            return None;
        }
        Some(self.pools.entry(pool).or_default())
    }
}
