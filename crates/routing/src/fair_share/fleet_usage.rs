//! Work by organisation over the whole fleet.
//!
//! Each host reports the organisations that demand most of a loaded pool; the others are
//! summed up. In a large fleet, relays add up the reports of their zone, and send each
//! other's sums on. Reports have the same bound at each step. A report replaces the
//! previous one of its sender and expires after [`MAX_REPORT_AGE_MS`].

use std::collections::{BTreeMap, HashMap};
use std::hash::Hash;

use serde::{Deserialize, Serialize};

use super::ledger::{USAGE_DECAY_MS, WorkLedger};
use super::max_min::{Demand, water_level};
use crate::admission::PoolOccupancy;
use crate::fleet_load::MergeOutcome;
use crate::fleet_totals::ReportId;
use crate::in_flight::MAX_REPORT_AGE_MS;
use crate::zone_loads::AggregatePath;

/// Most organisations in the report of a host.
pub const MAX_ORGANISATIONS_PER_HOST: usize = 24;
/// Most organisations in an aggregate, which then fits a packet.
pub const MAX_ORGANISATIONS_PER_AGGREGATE: usize = 80;
/// Most pools with usage.
const MAX_POOLS: usize = 64;
/// Most senders of one pool's reports.
const MAX_SENDERS: usize = 4_096;
/// Largest amount in a report, in thousandths of a slot.
const MAX_MILLISLOTS: u32 = 1_000_000_000;
/// Most hosts, and most organisations, that an aggregate covers.
const MAX_COVERED: u32 = 100_000;
/// Part of a pool's slots in use from which it is full.
const FULL_OCCUPANCY: f64 = 0.95;
/// Time for which computed shares are used.
const SHARES_MAX_AGE_MS: u64 = 50;
const MILLI: f64 = 1_000.0;

/// Use and demand of one or several organisations, as the slots that they keep busy.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SlotUse {
    /// Slots in use, in thousandths.
    pub used_millislots: u32,
    /// Slots that all requests would use, including rejected ones, in thousandths.
    pub demanded_millislots: u32,
}

impl SlotUse {
    fn bounded(self) -> Self {
        let demanded_millislots = self.demanded_millislots.min(MAX_MILLISLOTS);
        Self {
            used_millislots: self.used_millislots.min(demanded_millislots),
            demanded_millislots,
        }
    }

    fn add(&mut self, other: Self) {
        self.used_millislots = self.used_millislots.saturating_add(other.used_millislots);
        self.demanded_millislots = self
            .demanded_millislots
            .saturating_add(other.demanded_millislots);
    }
}

/// Use of one organisation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrganisationUse {
    /// Short hash of the organisation.
    pub organisation: u32,
    /// What it uses and demands.
    pub slots: SlotUse,
}

/// A host's, zone's or fleet's use of one pool.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageReport {
    /// Short hash of the pool.
    pub pool: u32,
    /// Number of hosts included.
    pub hosts: u32,
    /// The organisations that demand most.
    pub heaviest: Vec<OrganisationUse>,
    /// Number of the other organisations; the largest of any host in an aggregate.
    pub other_organisations: u32,
    /// Their sum.
    pub others: SlotUse,
}

impl UsageReport {
    fn empty(pool: u32) -> Self {
        Self {
            pool,
            hosts: 0,
            heaviest: Vec::new(),
            other_organisations: 0,
            others: SlotUse::default(),
        }
    }

    /// A report within bounds, with each organisation once.
    fn bounded(mut self) -> Self {
        self.hosts = self.hosts.clamp(1, MAX_COVERED);
        self.heaviest.truncate(MAX_ORGANISATIONS_PER_AGGREGATE);
        self.heaviest.sort_by_key(|known| known.organisation);
        self.heaviest.dedup_by_key(|known| known.organisation);
        for known in &mut self.heaviest {
            known.slots = known.slots.bounded();
        }
        self.others = self.others.bounded();
        self.other_organisations = self.other_organisations.min(MAX_COVERED);
        self
    }
}

/// Sums of reports.
#[derive(Clone, Debug, Default)]
struct UsageSum {
    hosts: u32,
    by_organisation: BTreeMap<u32, SlotUse>,
    other_organisations: u32,
    others: SlotUse,
}

impl UsageSum {
    fn add(&mut self, report: &UsageReport) {
        self.hosts = self.hosts.saturating_add(report.hosts);
        for known in &report.heaviest {
            let sum = self.by_organisation.entry(known.organisation).or_default();
            sum.add(known.slots);
        }
        self.other_organisations = self.other_organisations.max(report.other_organisations);
        self.others.add(report.others);
    }

    /// The report of this sum with at most `max_organisations`.
    fn report(&self, pool: u32, max_organisations: usize) -> UsageReport {
        let known = self.by_organisation.iter();
        let mut heaviest: Vec<OrganisationUse> = known
            .map(|(&organisation, &slots)| OrganisationUse {
                organisation,
                slots,
            })
            .filter(|known| known.slots != SlotUse::default())
            .collect();
        heaviest.sort_by_key(|known| std::cmp::Reverse(known.slots.demanded_millislots));
        let split_at = heaviest.len().min(max_organisations);
        let rest = heaviest.split_off(split_at);
        let mut others = self.others;
        rest.iter().for_each(|known| others.add(known.slots));
        let rest_count = u32::try_from(rest.len()).unwrap_or(MAX_COVERED);
        UsageReport {
            pool,
            hosts: self.hosts,
            heaviest,
            other_organisations: self.other_organisations.saturating_add(rest_count),
            others,
        }
    }
}

/// An organisation's use of a pool against its fair share.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct OrganisationShare {
    /// Its demand against its max-min fair share; above 1 it demands more.
    pub demand_ratio: f64,
    /// Its use against its max-min fair share.
    pub use_ratio: f64,
    /// Slots that all organisations over their share demand.
    pub over_share_slots: f64,
}

impl OrganisationShare {
    /// Whether it demands more than its share while others need the rest.
    pub fn is_over(&self) -> bool {
        is_over(self.demand_ratio)
    }

    /// Fraction of its requests that fit its share.
    pub fn fitting_fraction(&self) -> f64 {
        if self.is_over() {
            1.0 / self.demand_ratio
        } else {
            1.0
        }
    }
}

fn is_over(demand_ratio: f64) -> bool {
    /// Estimates vary by as much from one report to the next.
    const TOLERANCE: f64 = 1.05;
    demand_ratio > TOLERANCE
}

#[derive(Clone, Debug)]
struct KnownReport {
    id: ReportId,
    report: UsageReport,
    received_at_ms: u64,
    path: AggregatePath,
}

impl KnownReport {
    fn is_recent(&self, now_ms: u64) -> bool {
        now_ms.saturating_sub(self.received_at_ms) <= MAX_REPORT_AGE_MS
    }
}

/// Shares of a pool as last computed.
#[derive(Clone, Debug)]
struct PoolShares {
    computed_at_ms: u64,
    slots: u32,
    /// Fair share of an organisation that could use more; `None` if all demands are met.
    level: Option<f64>,
    largest: f64,
    /// Demand of all over their share.
    over_share_millislots: f64,
    by_organisation: BTreeMap<u32, SlotUse>,
}

impl PoolShares {
    fn share(&self, organisation: u32) -> OrganisationShare {
        let slots = self.by_organisation.get(&organisation).copied();
        let slots = slots.unwrap_or_default();
        let share = self.level.unwrap_or(self.largest).max(f64::MIN_POSITIVE);
        OrganisationShare {
            demand_ratio: f64::from(slots.demanded_millislots) / share,
            use_ratio: f64::from(slots.used_millislots) / share,
            over_share_slots: self.over_share_millislots / MILLI,
        }
    }
}

/// One pool's usage.
#[derive(Clone, Debug)]
struct PoolUsage<H> {
    local: WorkLedger,
    /// This host's latest report; `None` if others count nothing of it.
    reported: Option<(UsageReport, u64)>,
    hosts: HashMap<H, KnownReport>,
    /// Aggregates of remote zones, by zone and relay.
    zones: BTreeMap<u32, HashMap<H, KnownReport>>,
    /// Aggregates of the whole fleet, by relay.
    totals: HashMap<H, KnownReport>,
    shares: Option<PoolShares>,
    /// Requests in progress over about the last second, up to the pool's slots.
    busy_slots: f64,
}

impl<H> Default for PoolUsage<H> {
    fn default() -> Self {
        Self {
            local: WorkLedger::default(),
            reported: None,
            hosts: HashMap::new(),
            zones: BTreeMap::new(),
            totals: HashMap::new(),
            shares: None,
            busy_slots: 0.0,
        }
    }
}

/// Merges a report if it is the newest of its sender.
fn merge<H: Eq + Hash>(
    known: &mut HashMap<H, KnownReport>,
    sender: H,
    new: KnownReport,
) -> MergeOutcome {
    let order = |id: ReportId| (id.incarnation, id.sequence);
    let is_full = known.len() >= MAX_SENDERS;
    let is_stale = match known.get(&sender) {
        Some(earlier) => {
            earlier.is_recent(new.received_at_ms) && order(earlier.id) >= order(new.id)
        }
        None => is_full,
    };
    if is_stale {
        return MergeOutcome::Stale;
    }
    known.insert(sender, new);
    MergeOutcome::Applied
}

/// The recent aggregate that covers most hosts; the latest of these.
fn best<H>(known: &HashMap<H, KnownReport>, now_ms: u64) -> Option<&KnownReport> {
    let recent = known.values().filter(|known| known.is_recent(now_ms));
    recent.max_by_key(|known| (known.report.hosts, known.received_at_ms))
}

impl<H: Clone + Eq + Hash> PoolUsage<H> {
    fn local_sum(&self, now_ms: u64) -> UsageSum {
        let mut sum = UsageSum {
            hosts: 1,
            ..UsageSum::default()
        };
        let to_millislots = |work_ms: f64| (work_ms / USAGE_DECAY_MS * MILLI) as u32;
        for (organisation, used_ms, demanded_ms) in self.local.amounts(now_ms) {
            let slots = SlotUse {
                used_millislots: to_millislots(used_ms),
                demanded_millislots: to_millislots(demanded_ms),
            };
            sum.by_organisation.insert(organisation, slots.bounded());
        }
        sum
    }

    /// This host as of its latest report, and those that report to it directly. An
    /// organisation that moves between hosts is counted twice if some counts are newer.
    fn direct_sum(&self, now_ms: u64) -> UsageSum {
        let is_recent = |reported_at_ms| now_ms.saturating_sub(reported_at_ms) <= MAX_REPORT_AGE_MS;
        let mut sum = match &self.reported {
            Some((report, reported_at_ms)) if is_recent(*reported_at_ms) => {
                let mut sum = UsageSum::default();
                sum.add(report);
                sum
            }
            _ => self.local_sum(now_ms),
        };
        let recent = self.hosts.values().filter(|known| known.is_recent(now_ms));
        recent.for_each(|known| sum.add(&known.report));
        sum
    }

    /// Direct reports and the aggregates of remote zones.
    fn fleet_sum(&self, now_ms: u64) -> UsageSum {
        let mut sum = self.direct_sum(now_ms);
        let zones = self.zones.values().filter_map(|zone| best(zone, now_ms));
        zones.for_each(|known| sum.add(&known.report));
        sum
    }

    /// What is known of the fleet, from the source that covers most hosts; `None` without
    /// a recent report of another host.
    fn known_sum(&self, now_ms: u64) -> Option<UsageSum> {
        let direct = self.fleet_sum(now_ms);
        let total = best(&self.totals, now_ms);
        if let Some(total) = total.filter(|total| total.report.hosts > direct.hosts) {
            let mut sum = UsageSum::default();
            sum.add(&total.report);
            return Some(sum);
        }
        (direct.hosts > 1).then_some(direct)
    }

    fn shares(&mut self, occupancy: &PoolOccupancy, now_ms: u64) -> Option<&PoolShares> {
        let is_current = self.shares.as_ref().is_some_and(|shares| {
            let is_recent = now_ms.saturating_sub(shares.computed_at_ms) < SHARES_MAX_AGE_MS;
            is_recent && shares.slots == occupancy.slots
        });
        if !is_current {
            self.update_busy_slots(occupancy, now_ms);
            self.shares = self.known_sum(now_ms).map(|sum| {
                let capacity_slots = capacity_slots(&sum, occupancy, self.busy_slots);
                compute_shares(sum, occupancy.slots, capacity_slots * MILLI, now_ms)
            });
        }
        self.shares.as_ref()
    }

    fn update_busy_slots(&mut self, occupancy: &PoolOccupancy, now_ms: u64) {
        let busy_slots = f64::from(occupancy.in_progress.min(occupancy.slots));
        let earlier = self.shares.as_ref().map(|shares| shares.computed_at_ms);
        let weight = earlier.map_or(1.0, |computed_at_ms| {
            let elapsed_ms = now_ms.saturating_sub(computed_at_ms) as f64;
            1.0 - (-elapsed_ms / USAGE_DECAY_MS).exp()
        });
        self.busy_slots += weight * (busy_slots - self.busy_slots);
    }

    fn expire(&mut self, now_ms: u64) {
        self.hosts.retain(|_, known| known.is_recent(now_ms));
        self.totals.retain(|_, known| known.is_recent(now_ms));
        self.zones.retain(|_, zone| {
            zone.retain(|_, known| known.is_recent(now_ms));
            !zone.is_empty()
        });
    }

    fn has_reports(&self) -> bool {
        !self.hosts.is_empty() || !self.totals.is_empty() || !self.zones.is_empty()
    }

    fn is_idle(&self, now_ms: u64) -> bool {
        !self.has_reports()
            && self.reported.is_none()
            && self.local.amounts(now_ms).next().is_none()
    }
}

/// The slots of a pool in the unit of the counted work. Work that is expected to take longer
/// than it does would keep slots idle, so that the count is compared with the slots in use.
fn capacity_slots(sum: &UsageSum, occupancy: &PoolOccupancy, busy_slots: f64) -> f64 {
    const MAX_CORRECTION: f64 = 4.0;
    let slots = f64::from(occupancy.slots);
    let amounts = sum.by_organisation.values().chain([&sum.others]);
    let used = amounts.map(|amount| f64::from(amount.used_millislots) / MILLI);
    let correction = used.sum::<f64>() / busy_slots.max(1.0);
    if busy_slots < slots * FULL_OCCUPANCY {
        slots * correction.clamp(1.0, MAX_CORRECTION)
    } else {
        slots
    }
}

fn compute_shares(sum: UsageSum, slots: u32, capacity_millislots: f64, now_ms: u64) -> PoolShares {
    let amounts = sum.by_organisation.values();
    let mut demands: Vec<Demand> = amounts
        .map(|slots| Demand::of(f64::from(slots.demanded_millislots)))
        .collect();
    let largest = demands.iter().map(|demand| demand.amount);
    let largest = largest.fold(0.0, f64::max);
    if sum.others.demanded_millislots > 0 {
        demands.push(Demand {
            amount: f64::from(sum.others.demanded_millislots),
            weight: f64::from(sum.other_organisations.max(1)),
        });
    }
    let level = water_level(capacity_millislots, &demands);
    let over_share = sum.by_organisation.values().map(|slots| {
        let demanded = f64::from(slots.demanded_millislots);
        let is_over = level.is_some_and(|level| is_over(demanded / level.max(f64::MIN_POSITIVE)));
        if is_over { demanded } else { 0.0 }
    });
    PoolShares {
        computed_at_ms: now_ms,
        slots,
        level,
        over_share_millislots: over_share.sum(),
        largest,
        by_organisation: sum.by_organisation,
    }
}

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
