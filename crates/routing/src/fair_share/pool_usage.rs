//! Work by organisation in one pool, and the shares that follow from it.

use std::collections::{BTreeMap, HashMap};
use std::hash::Hash;

use super::ledger::{USAGE_DECAY_MS, WorkLedger};
use super::max_min::{Demand, water_level};
use super::usage_report::{MILLI, SlotUse, UsageReport, UsageSum};
use crate::admission::PoolOccupancy;
use crate::fleet_load::MergeOutcome;
use crate::fleet_totals::ReportId;
use crate::in_flight::MAX_REPORT_AGE_MS;
use crate::zone_loads::AggregatePath;

/// Most senders of one pool's reports.
const MAX_SENDERS: usize = 4_096;
/// Part of a pool's slots in use from which it is full.
const FULL_OCCUPANCY: f64 = 0.95;
/// Time for which computed shares are used.
const SHARES_MAX_AGE_MS: u64 = 50;

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

pub(super) fn is_over(demand_ratio: f64) -> bool {
    /// Estimates vary by as much from one report to the next.
    const TOLERANCE: f64 = 1.05;
    demand_ratio > TOLERANCE
}

#[derive(Clone, Debug)]
pub(super) struct KnownReport {
    pub(super) id: ReportId,
    pub(super) report: UsageReport,
    pub(super) received_at_ms: u64,
    pub(super) path: AggregatePath,
}

impl KnownReport {
    pub(super) fn is_recent(&self, now_ms: u64) -> bool {
        now_ms.saturating_sub(self.received_at_ms) <= MAX_REPORT_AGE_MS
    }
}

/// Shares of a pool as last computed.
#[derive(Clone, Debug)]
pub(super) struct PoolShares {
    pub(super) computed_at_ms: u64,
    pub(super) slots: u32,
    /// Fair share of an organisation that could use more; `None` if all demands are met.
    pub(super) level: Option<f64>,
    pub(super) largest: f64,
    /// Demand of all over their share.
    pub(super) over_share_millislots: f64,
    pub(super) by_organisation: BTreeMap<u32, SlotUse>,
}

impl PoolShares {
    pub(super) fn share(&self, organisation: u32) -> OrganisationShare {
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
pub(super) struct PoolUsage<H> {
    pub(super) local: WorkLedger,
    /// This host's latest report; `None` if others count nothing of it.
    pub(super) reported: Option<(UsageReport, u64)>,
    pub(super) hosts: HashMap<H, KnownReport>,
    /// Aggregates of remote zones, by zone and relay.
    pub(super) zones: BTreeMap<u32, HashMap<H, KnownReport>>,
    /// Aggregates of the whole fleet, by relay.
    pub(super) totals: HashMap<H, KnownReport>,
    pub(super) shares: Option<PoolShares>,
    /// Requests in progress over about the last second, up to the pool's slots.
    pub(super) busy_slots: f64,
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
pub(super) fn merge<H: Eq + Hash>(
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
pub(super) fn best<H>(known: &HashMap<H, KnownReport>, now_ms: u64) -> Option<&KnownReport> {
    let recent = known.values().filter(|known| known.is_recent(now_ms));
    recent.max_by_key(|known| (known.report.hosts, known.received_at_ms))
}

impl<H: Clone + Eq + Hash> PoolUsage<H> {
    pub(super) fn local_sum(&self, now_ms: u64) -> UsageSum {
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
    pub(super) fn direct_sum(&self, now_ms: u64) -> UsageSum {
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
    pub(super) fn fleet_sum(&self, now_ms: u64) -> UsageSum {
        let mut sum = self.direct_sum(now_ms);
        let zones = self.zones.values().filter_map(|zone| best(zone, now_ms));
        zones.for_each(|known| sum.add(&known.report));
        sum
    }

    /// What is known of the fleet, from the source that covers most hosts; `None` without
    /// a recent report of another host.
    pub(super) fn known_sum(&self, now_ms: u64) -> Option<UsageSum> {
        let direct = self.fleet_sum(now_ms);
        let total = best(&self.totals, now_ms);
        if let Some(total) = total.filter(|total| total.report.hosts > direct.hosts) {
            let mut sum = UsageSum::default();
            sum.add(&total.report);
            return Some(sum);
        }
        (direct.hosts > 1).then_some(direct)
    }

    pub(super) fn shares(&mut self, occupancy: &PoolOccupancy, now_ms: u64) -> Option<&PoolShares> {
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

    pub(super) fn update_busy_slots(&mut self, occupancy: &PoolOccupancy, now_ms: u64) {
        let busy_slots = f64::from(occupancy.in_progress.min(occupancy.slots));
        let earlier = self.shares.as_ref().map(|shares| shares.computed_at_ms);
        let weight = earlier.map_or(1.0, |computed_at_ms| {
            let elapsed_ms = now_ms.saturating_sub(computed_at_ms) as f64;
            1.0 - (-elapsed_ms / USAGE_DECAY_MS).exp()
        });
        self.busy_slots += weight * (busy_slots - self.busy_slots);
    }

    pub(super) fn expire(&mut self, now_ms: u64) {
        self.hosts.retain(|_, known| known.is_recent(now_ms));
        self.totals.retain(|_, known| known.is_recent(now_ms));
        self.zones.retain(|_, zone| {
            zone.retain(|_, known| known.is_recent(now_ms));
            !zone.is_empty()
        });
    }

    pub(super) fn has_reports(&self) -> bool {
        !self.hosts.is_empty() || !self.totals.is_empty() || !self.zones.is_empty()
    }

    pub(super) fn is_idle(&self, now_ms: u64) -> bool {
        !self.has_reports()
            && self.reported.is_none()
            && self.local.amounts(now_ms).next().is_none()
    }
}

/// The slots of a pool in the unit of the counted work. Work that is expected to take longer
/// than it does would keep slots idle, so that the count is compared with the slots in use.
pub(super) fn capacity_slots(sum: &UsageSum, occupancy: &PoolOccupancy, busy_slots: f64) -> f64 {
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

pub(super) fn compute_shares(
    sum: UsageSum,
    slots: u32,
    capacity_millislots: f64,
    now_ms: u64,
) -> PoolShares {
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
