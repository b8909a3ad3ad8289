//! The work of organisations on one pool.

use std::cell::Cell;
use std::collections::BTreeMap;

use super::max_min::{Demand, bounded_weight, water_level};

/// Time in which a recorded amount decays to 1/e. Short enough to follow a change within
/// a second, long enough to average over several calls.
pub const USAGE_DECAY_MS: f64 = 300.0;
/// Most organisations that a ledger counts.
pub const MAX_LEDGER_ORGANISATIONS: usize = 4_096;
/// Most work that one request counts for.
const MAX_WORK_MS: f64 = 600_000.0;
/// Amount below which an organisation is forgotten.
const MIN_AMOUNT_MS: f64 = 0.01;
/// Time for which a computed water level is used.
const LEVEL_MAX_AGE_MS: u64 = 20;

/// Decayed work of one organisation, in milliseconds.
#[derive(Clone, Copy, Debug, Default)]
struct Amounts {
    used_ms: f64,
    /// Work that was rejected.
    rejected_ms: f64,
    updated_at_ms: u64,
}

impl Amounts {
    fn at(self, now_ms: u64) -> Self {
        let elapsed_ms = now_ms.saturating_sub(self.updated_at_ms) as f64;
        let factor = (-elapsed_ms / USAGE_DECAY_MS).exp();
        Self {
            used_ms: self.used_ms * factor,
            rejected_ms: self.rejected_ms * factor,
            updated_at_ms: self.updated_at_ms.max(now_ms),
        }
    }

    fn demand_ms(&self) -> f64 {
        self.used_ms + self.rejected_ms
    }
}

/// Work used and demanded by organisation, over about the last second.
///
/// Counts the [`MAX_LEDGER_ORGANISATIONS`] largest. One that replaces another starts at
/// zero, since a large organisation is counted too low rather than a small one too high.
///
/// # Example
///
/// ```
/// use chalkrock_routing::WorkLedger;
///
/// let mut ledger = WorkLedger::default();
/// ledger.record(1, 900.0, 0);
/// ledger.record(2, 100.0, 0);
/// ledger.record_rejected(2, 500.0, 0);
/// assert!(ledger.share_ratio(1, 0) > 1.0);
/// assert!(ledger.share_ratio(2, 0) < 1.0);
/// assert_eq!(ledger.share_ratio(3, 0), 0.0);
/// ```
#[derive(Clone, Debug, Default)]
pub struct WorkLedger {
    by_organisation: BTreeMap<u32, Amounts>,
    weights: BTreeMap<u32, f64>,
    /// Water level, by unit of weight, and when it was computed.
    level: Cell<Option<(f64, u64)>>,
}

impl WorkLedger {
    /// Sets the weight of an organisation; 1 by default.
    pub fn set_weight(&mut self, organisation: u32, weight: f64) {
        if self.weights.len() < MAX_LEDGER_ORGANISATIONS {
            self.weights.insert(organisation, bounded_weight(weight));
        }
        self.level.set(None);
    }

    /// Counts work that an organisation's request uses.
    pub fn record(&mut self, organisation: u32, work_ms: f64, now_ms: u64) {
        self.amounts_mut(organisation, now_ms).used_ms += bounded(work_ms);
    }

    /// Corrects the work of a request by the difference of its actual to its expected work.
    pub fn correct(&mut self, organisation: u32, difference_ms: f64, now_ms: u64) {
        let difference_ms = if difference_ms < 0.0 {
            -bounded(-difference_ms)
        } else {
            bounded(difference_ms)
        };
        let amounts = self.amounts_mut(organisation, now_ms);
        amounts.used_ms = (amounts.used_ms + difference_ms).max(0.0);
    }

    /// Counts work of a rejected request, which is demand but not use.
    pub fn record_rejected(&mut self, organisation: u32, work_ms: f64, now_ms: u64) {
        self.amounts_mut(organisation, now_ms).rejected_ms += bounded(work_ms);
    }

    /// Use of an organisation against its max-min fair share of the work that the pool
    /// did. 1 is its share, and nobody exceeds it while nothing is rejected.
    pub fn share_ratio(&self, organisation: u32, now_ms: u64) -> f64 {
        let Some(amounts) = self.by_organisation.get(&organisation) else {
            return 0.0;
        };
        let used_ms = amounts.at(now_ms).used_ms;
        let share_ms = self.level_ms(now_ms) * self.weight(organisation);
        if share_ms >= MIN_AMOUNT_MS {
            used_ms / share_ms
        } else {
            0.0
        }
    }

    /// Organisations with their decayed work, used and demanded, in milliseconds.
    pub(super) fn amounts(&self, now_ms: u64) -> impl Iterator<Item = (u32, f64, f64)> {
        let known = self.by_organisation.iter();
        let known = known.map(move |(&organisation, amounts)| {
            let amounts = amounts.at(now_ms);
            (organisation, amounts.used_ms, amounts.demand_ms())
        });
        known.filter(|(_, _, demanded_ms)| *demanded_ms >= MIN_AMOUNT_MS)
    }

    /// Fair share by unit of weight of an organisation that could use more, as decayed work.
    fn level_ms(&self, now_ms: u64) -> f64 {
        if let Some((level, computed_at_ms)) = self.level.get()
            && (computed_at_ms..computed_at_ms.saturating_add(LEVEL_MAX_AGE_MS)).contains(&now_ms)
        {
            return level;
        }
        let mut used_ms = 0.0;
        let demands: Vec<Demand> = self
            .by_organisation
            .iter()
            .map(|(organisation, amounts)| {
                let amounts = amounts.at(now_ms);
                used_ms += amounts.used_ms;
                Demand {
                    amount: amounts.demand_ms(),
                    weight: self.weight(*organisation),
                }
            })
            .collect();
        let level = water_level(used_ms, &demands).unwrap_or_else(|| {
            let largest = demands.iter().map(|demand| demand.amount / demand.weight);
            largest.fold(0.0, f64::max)
        });
        self.level.set(Some((level, now_ms)));
        level
    }

    fn weight(&self, organisation: u32) -> f64 {
        self.weights.get(&organisation).copied().unwrap_or(1.0)
    }

    fn amounts_mut(&mut self, organisation: u32, now_ms: u64) -> &mut Amounts {
        let is_full = self.by_organisation.len() >= MAX_LEDGER_ORGANISATIONS;
        if is_full && !self.by_organisation.contains_key(&organisation) {
            self.drop_smallest(now_ms);
        }
        let amounts = self.by_organisation.entry(organisation).or_default();
        *amounts = amounts.at(now_ms);
        amounts
    }

    /// Drops those forgotten and the smallest half, so that the cost by record is constant.
    fn drop_smallest(&mut self, now_ms: u64) {
        let amounts = self.by_organisation.values();
        let mut sizes: Vec<f64> = amounts.map(|known| known.at(now_ms).demand_ms()).collect();
        let middle = sizes.len() / 2;
        let median_ms = *sizes.select_nth_unstable_by(middle, f64::total_cmp).1;
        let mut dropped = 0;
        self.by_organisation.retain(|_, known| {
            let size_ms = known.at(now_ms).demand_ms();
            let drops = size_ms < MIN_AMOUNT_MS || size_ms <= median_ms && dropped <= middle;
            dropped += usize::from(drops);
            !drops
        });
    }
}

fn bounded(work_ms: f64) -> f64 {
    if work_ms.is_nan() {
        0.0
    } else {
        work_ms.clamp(0.0, MAX_WORK_MS)
    }
}
