//! Reports of work by organisation, and their sums.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// Most organisations in the report of a host.
pub const MAX_ORGANISATIONS_PER_HOST: usize = 24;
/// Most organisations in an aggregate, which then fits a packet.
pub const MAX_ORGANISATIONS_PER_AGGREGATE: usize = 80;
/// Largest amount in a report, in thousandths of a slot.
const MAX_MILLISLOTS: u32 = 1_000_000_000;
/// Most hosts, and most organisations, that an aggregate covers.
const MAX_COVERED: u32 = 100_000;
pub(super) const MILLI: f64 = 1_000.0;

/// Use and demand of one or several organisations, as the slots that they keep busy.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SlotUse {
    /// Slots in use, in thousandths.
    pub used_millislots: u32,
    /// Slots that all requests would use, including rejected ones, in thousandths.
    pub demanded_millislots: u32,
}

impl SlotUse {
    pub(super) fn bounded(self) -> Self {
        let demanded_millislots = self.demanded_millislots.min(MAX_MILLISLOTS);
        Self {
            used_millislots: self.used_millislots.min(demanded_millislots),
            demanded_millislots,
        }
    }

    pub(super) fn add(&mut self, other: Self) {
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
    pub(super) fn empty(pool: u32) -> Self {
        Self {
            pool,
            hosts: 0,
            heaviest: Vec::new(),
            other_organisations: 0,
            others: SlotUse::default(),
        }
    }

    /// A report within bounds, with each organisation once.
    pub(super) fn bounded(mut self) -> Self {
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
pub(super) struct UsageSum {
    pub(super) hosts: u32,
    pub(super) by_organisation: BTreeMap<u32, SlotUse>,
    pub(super) other_organisations: u32,
    pub(super) others: SlotUse,
}

impl UsageSum {
    pub(super) fn add(&mut self, report: &UsageReport) {
        self.hosts = self.hosts.saturating_add(report.hosts);
        for known in &report.heaviest {
            let sum = self.by_organisation.entry(known.organisation).or_default();
            sum.add(known.slots);
        }
        self.other_organisations = self.other_organisations.max(report.other_organisations);
        self.others.add(report.others);
    }

    /// The report of this sum with at most `max_organisations`.
    pub(super) fn report(&self, pool: u32, max_organisations: usize) -> UsageReport {
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
