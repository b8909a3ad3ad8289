//! Gates: how much of a large organisation's requests hosts let through.
//!
//! An organisation that asks for many times what it is granted loads the scheduler and the
//! packets between hosts for nothing. Its gate lets through somewhat more than it is
//! granted, so that no slot is idle for it, and widens to the whole pool once a
//! slot is free.
//!
//! Hosts apply gates to returns and new requests alike. An organisation that is about to
//! get a gate has no more returns reserved, and the gate narrows once the last of them is due.

use std::collections::BTreeMap;

use super::AdmissionGate;
use super::messages::MAX_GATES_PER_REPLY;
use super::return_rates::ReturnRates;
use crate::WorkLedger;

/// Time over which demand and grants are counted.
const WINDOW_MS: u64 = 100;
/// Demand above the pool's capacity from which gates act.
const OVERLOAD_RATIO: f64 = 2.0;
/// Demand above its grants from which an organisation gets a gate.
const EXCESS_RATIO: f64 = 1.5;
/// Requests let through for each one granted.
const HEADROOM: f64 = 2.0;
/// Requests that all gates let through beside these, as a fraction of the pool's capacity.
const MIN_CAPACITY_SHARE: f64 = 0.4;
/// Time for which hosts that got no reply may still apply a gate that has ended.
const GATE_MEMORY_MS: u64 = 1_000;
/// Weight of a window in the demand, and the range that it counts in, relative to what is
/// known.
const DEMAND_WEIGHT: f64 = 0.5;
const DEMAND_CHANGE: (f64, f64) = (0.25, 1.5);
/// All requests.
const WHOLE_PERMILLE: f64 = 1_000.0;
/// Time after which a return that is due has arrived.
const RETURN_GRACE_MS: u64 = 50;
/// A gate at least this wide ends.
const OPEN_PERMILLE: f64 = 900.0;
/// Use of its share from which an organisation may get a gate.
const SHARE_RATIO: f64 = 0.9;
/// Most organisations counted in one window. Further ones get no gate.
const MAX_ORGANISATIONS: usize = 1_024;
/// Range of the return time of a gate.
const RETRY_AFTER_MS: std::ops::RangeInclusive<f64> = 1_000.0..=5_000.0;

#[derive(Clone, Copy, Debug, Default)]
struct Counts {
    arrivals: u32,
    granted: u32,
}

#[derive(Clone, Copy, Debug)]
struct Gate {
    /// 1,000 until the returns that are reserved have arrived.
    admit_permille: f64,
    retry_after_ms: u32,
    /// Requests a millisecond, also those that hosts refuse.
    demand: f64,
}

impl Gate {
    /// Demand, from the requests a millisecond that arrived. Hosts apply a gate at different
    /// times, so that one window says little.
    fn demand(&self, arrivals: f64) -> f64 {
        let measured = arrivals * WHOLE_PERMILLE / self.admit_permille;
        let (least, most) = DEMAND_CHANGE;
        let measured = measured.clamp(least * self.demand, most * self.demand);
        self.demand + DEMAND_WEIGHT * (measured - self.demand)
    }
}

/// Demand by organisation, and the gates that follow from it.
#[derive(Clone, Debug)]
pub(super) struct Gates {
    window_start_ms: u64,
    /// Whether a slot was free in this window while nobody waited.
    had_free_slot: bool,
    counts: BTreeMap<u32, Counts>,
    gates: BTreeMap<u32, Gate>,
    /// Gates that ended lately, and when.
    ended: BTreeMap<u32, u64>,
}

impl Gates {
    pub(super) fn new(now_ms: u64) -> Self {
        Gates {
            window_start_ms: now_ms,
            had_free_slot: false,
            counts: BTreeMap::new(),
            gates: BTreeMap::new(),
            ended: BTreeMap::new(),
        }
    }

    /// Counts a request when it first waits.
    pub(super) fn count_arrival(&mut self, organisation: u32) {
        if let Some(counts) = self.counts_mut(organisation) {
            counts.arrivals = counts.arrivals.saturating_add(1);
        }
    }

    /// Counts a granted request.
    pub(super) fn count_grant(&mut self, organisation: u32) {
        if let Some(counts) = self.counts_mut(organisation) {
            counts.granted = counts.granted.saturating_add(1);
        }
    }

    /// Records that a slot is free while nobody waits.
    pub(super) fn record_free_slot(&mut self) {
        self.had_free_slot = true;
    }

    fn counts_mut(&mut self, organisation: u32) -> Option<&mut Counts> {
        if self.counts.len() >= MAX_ORGANISATIONS && !self.counts.contains_key(&organisation) {
            return None;
        }
        Some(self.counts.entry(organisation).or_default())
    }

    /// Sets the gates anew once a window has passed.
    pub(super) fn update(
        &mut self,
        slots_per_ms: f64,
        ledger: &mut WorkLedger,
        returns: &ReturnRates,
        now_ms: u64,
    ) {
        let window_ms = now_ms.saturating_sub(self.window_start_ms);
        if window_ms < WINDOW_MS {
            return;
        }
        self.window_start_ms = now_ms;
        let had_free_slot = std::mem::take(&mut self.had_free_slot);
        let mut counts = std::mem::take(&mut self.counts);
        if slots_per_ms <= 0.0 {
            self.replace_gates([], now_ms);
            return;
        }
        for &organisation in self.gates.keys() {
            counts.entry(organisation).or_default();
        }
        let demands: BTreeMap<u32, (f64, f64)> = counts
            .iter()
            .map(|(&organisation, &counts)| {
                let arrivals = f64::from(counts.arrivals) / window_ms as f64;
                let demand = match self.gates.get(&organisation) {
                    Some(gate) => gate.demand(arrivals),
                    None => arrivals,
                };
                (
                    organisation,
                    (demand, f64::from(counts.granted) / window_ms as f64),
                )
            })
            .collect();
        let total: f64 = demands.values().map(|(demand, _)| demand).sum();
        let is_overloaded = total > OVERLOAD_RATIO * slots_per_ms;
        let least = MIN_CAPACITY_SHARE * slots_per_ms / self.gates.len().max(1) as f64;
        let mut gates: Vec<(u32, (bool, f64), Gate)> = Vec::new();
        for (&organisation, &(demand, granted)) in &demands {
            let known = self.gates.get(&organisation);
            let mut target = HEADROOM * granted + least;
            if had_free_slot {
                target = target.max(slots_per_ms);
            }
            let may_begin = is_overloaded
                && organisation != 0
                && demand > EXCESS_RATIO * target
                && ledger.share_ratio(organisation, now_ms) >= SHARE_RATIO;
            if known.is_none() && !may_begin {
                continue;
            }
            let mut admit_permille = WHOLE_PERMILLE * target / demand.max(target);
            if admit_permille >= OPEN_PERMILLE {
                continue;
            }
            let last_due_ms = returns.last_due_ms(organisation);
            if last_due_ms.is_some_and(|due_ms| now_ms < due_ms + RETURN_GRACE_MS) {
                admit_permille = WHOLE_PERMILLE;
            }
            // The time in which a second's requests are served.
            let retry_after_ms = 1_000.0 * demand / target;
            let gate = Gate {
                demand,
                admit_permille: admit_permille.max(1.0),
                retry_after_ms: retry_after_ms.clamp(*RETRY_AFTER_MS.start(), *RETRY_AFTER_MS.end())
                    as u32,
            };
            gates.push((organisation, (known.is_some(), demand), gate));
        }
        // Gates in force stay, so that organisations do not take turns.
        gates.sort_unstable_by(|(a, (a_known, a_demand), _), (b, (b_known, b_demand), _)| {
            let by_demand = b_demand.total_cmp(a_demand);
            b_known.cmp(a_known).then(by_demand).then(a.cmp(b))
        });
        gates.truncate(MAX_GATES_PER_REPLY);
        self.replace_gates(
            gates.into_iter().map(|(hash, _, gate)| (hash, gate)),
            now_ms,
        );
    }

    fn replace_gates(&mut self, gates: impl IntoIterator<Item = (u32, Gate)>, now_ms: u64) {
        let former = std::mem::replace(&mut self.gates, gates.into_iter().collect());
        self.ended
            .retain(|_, ended_ms| now_ms.saturating_sub(*ended_ms) < GATE_MEMORY_MS);
        for (organisation, gate) in former {
            let has_room = self.ended.len() < MAX_ORGANISATIONS;
            let has_ended = !self.gates.contains_key(&organisation);
            if has_ended && has_room && gate.admit_permille < WHOLE_PERMILLE {
                self.ended.insert(organisation, now_ms);
            }
        }
    }

    /// When [`Self::update`] is due, if a gate is in force.
    pub(super) fn next_event_ms(&self) -> Option<u64> {
        (!self.gates.is_empty()).then(|| self.window_start_ms.saturating_add(WINDOW_MS))
    }

    /// When slots are expected for those that an organisation's gate refuses.
    pub(super) fn retry_after_ms(&self, organisation: u32, now_ms: u64) -> Option<u32> {
        if let Some(gate) = self.gates.get(&organisation) {
            return Some(gate.retry_after_ms);
        }
        let ended_ms = self.ended.get(&organisation)?;
        let may_apply = now_ms.saturating_sub(*ended_ms) < GATE_MEMORY_MS;
        may_apply.then_some(*RETRY_AFTER_MS.start() as u32)
    }

    /// The gates in force.
    pub(super) fn list(&self) -> Vec<AdmissionGate> {
        let mut list: Vec<AdmissionGate> = self
            .gates
            .iter()
            .filter(|(_, gate)| gate.admit_permille < WHOLE_PERMILLE)
            .map(|(&organisation, gate)| AdmissionGate {
                organisation,
                admit_permille: gate.admit_permille as u16,
                retry_after_ms: gate.retry_after_ms,
            })
            .collect();
        list.sort_unstable_by_key(|gate| gate.organisation);
        list
    }
}
