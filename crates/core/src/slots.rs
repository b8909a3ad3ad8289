//! The slots of one engine, granted by its owner.
//!
//! The owner grants all slots of an engine and so knows its load without delay,
//! except for load from other sources: a previous owner, another owner in a
//! split view, or a router without an owner. That `foreign` load is estimated
//! from the engine's delayed reports: each limits it to the reported load less
//! the most, and less the least, that the owner had granted in the time the
//! report may describe. It is negative if slots were not returned because a
//! router crashed or a message was lost. Reports alone would count the owner's
//! grants twice; the ledger alone would exceed the bound in a split view and
//! leak slots.

use std::collections::{HashMap, VecDeque};
use std::hash::Hash;

/// Smallest mean load, in requests per engine, from which limits are computed.
/// Below it, whole requests are too coarse for a multiple, and an idle pool
/// would grant only as fast as its mean rises.
pub const MIN_MEAN_LOAD: f64 = 4.0;
/// Fraction of an engine's capacity that is granted to any organisation. The rest
/// is reserved for organisations under their share, so that a surge of another
/// does not delay them.
pub const OPEN_LOAD_RATIO: f64 = 0.8;
/// Smallest share of an engine for an organisation. A small organisation often
/// has two requests on one engine by chance; a share of one would delay it.
const MIN_SHARE_SLOTS: f64 = 2.0;
/// Reports per step by which the foreign load decays towards zero. A faster decay
/// would drop foreign requests that still run.
const REPORTS_PER_STEP: u32 = 4;
/// Time that one sample of the granted slots covers.
const SAMPLE_INTERVAL_MS: u64 = 100;
/// Maximum number of samples; covers at least twice the longest report lag.
const MAX_SAMPLES: usize = 200;

/// How slots are granted in a pool.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SlotRules {
    /// Multiple of the mean load at which grants stop. Lower than the pool's load
    /// multiple, since the mean falls as requests end elsewhere.
    pub grant_multiple: f64,
    /// Shortest delay of an engine's reports.
    pub report_lag_min_ms: u64,
    /// Longest delay of an engine's reports.
    pub report_lag_max_ms: u64,
    /// Time for which a new owner grants nothing, until reports show what the
    /// previous owner granted.
    pub settle_ms: u64,
    /// Most requests on an engine, per unit of its weight.
    pub capacity: f64,
}

impl SlotRules {
    /// Creates rules that keep loads under `load_multiple` times the pool's mean,
    /// with a margin for changes of the mean.
    pub fn for_load_multiple(load_multiple: f64) -> Self {
        const MARGIN: f64 = 0.075;
        Self {
            grant_multiple: 1.0 + (load_multiple - 1.0) * (1.0 - MARGIN),
            report_lag_min_ms: 0,
            report_lag_max_ms: 8_000,
            settle_ms: 3_000,
            capacity: f64::INFINITY,
        }
    }

    /// The load from which organisations are limited to their shares.
    fn open_load(&self, weight: f64) -> f64 {
        OPEN_LOAD_RATIO * self.capacity * weight
    }

    /// The most requests on an engine of `weight`, at a mean load of `mean_load`
    /// requests per unit of weight.
    ///
    /// The limit always exceeds the mean. Otherwise all engines could be at their
    /// limits and the mean could never rise.
    pub fn limit(&self, mean_load: f64, weight: f64) -> u32 {
        let expected = (mean_load * weight).max(MIN_MEAN_LOAD);
        let above_mean = expected.floor() + 1.0;
        let by_mean = (self.grant_multiple * expected).floor().max(above_mean);
        by_mean.min((self.capacity * weight).floor()) as u32
    }
}

/// The holder of slots: a router's host and an organisation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct SlotHolder<H> {
    /// The router's host.
    pub host: H,
    /// The organisation.
    pub organisation: OrganisationKey,
}

/// An organisation's key: the low half of its name's hash.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct OrganisationKey(pub u32);

/// Weights of organisations; 1 for those not listed.
#[derive(Clone, Debug, Default)]
pub struct Weights(HashMap<OrganisationKey, u32>);

impl Weights {
    /// Creates weights by organisation.
    pub fn new(weights: HashMap<OrganisationKey, u32>) -> Self {
        Self(weights)
    }

    fn of(&self, organisation: OrganisationKey) -> f64 {
        f64::from(self.0.get(&organisation).copied().unwrap_or(1))
    }
}

/// The inputs to a slot decision besides the ledger.
#[derive(Clone, Copy, Debug)]
pub struct SlotRequestContext<'a> {
    /// The pool's mean load per unit of weight.
    pub mean_load: f64,
    /// Whether another host may also own the engine.
    pub shared: bool,
    /// How slots are granted.
    pub rules: &'a SlotRules,
    /// Weights of organisations.
    pub weights: &'a Weights,
}

/// The decision on a slot request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SlotDecision {
    /// A slot is granted; the load includes it.
    Granted {
        /// Requests on the engine.
        load: u32,
    },
    /// Another request would exceed the limit.
    AtBound {
        /// Requests on the engine.
        load: u32,
    },
    /// The engine is nearly full, and the organisation has reached its share.
    OverShare {
        /// Requests on the engine.
        load: u32,
    },
    /// The owner is new and does not grant slots yet.
    Settling,
}

/// The range of granted slots in an interval.
#[derive(Clone, Copy, Debug)]
struct Sample {
    from_ms: u64,
    min: u32,
    max: u32,
    end: u32,
}

/// A load report of an engine.
#[derive(Clone, Copy, Debug)]
struct Report {
    at_ms: u64,
    in_progress: u32,
}

/// The ledger of one engine's slots. `H` identifies hosts.
///
/// # Example
///
/// ```
/// use chalkrock_core::{
///     EngineSlots, OrganisationKey, SlotDecision, SlotHolder, SlotRequestContext, SlotRules,
///     Weights,
/// };
///
/// let rules = SlotRules { settle_ms: 0, ..SlotRules::for_load_multiple(1.25) };
/// let (rules, weights) = (&rules, &Weights::default());
/// let context = SlotRequestContext { mean_load: 8.0, shared: false, rules, weights };
/// let holder = SlotHolder { host: "host-1", organisation: OrganisationKey(7) };
/// let mut slots = EngineSlots::new(1.0, 0);
/// assert_eq!(slots.request_slot(holder, 10, context), SlotDecision::Granted { load: 1 });
/// slots.return_slots(&holder, 20, 1);
/// assert_eq!(slots.load(), 0);
/// ```
#[derive(Clone, Debug)]
pub struct EngineSlots<H> {
    weight: f64,
    owned_since_ms: u64,
    skips_settling: bool,
    granted: u32,
    held: HashMap<SlotHolder<H>, u32>,
    by_organisation: HashMap<OrganisationKey, u32>,
    samples: VecDeque<Sample>,
    foreign: i64,
    reported: Option<Report>,
    reports: u32,
}

impl<H: Eq + Hash> EngineSlots<H> {
    /// Creates the ledger of an engine of `weight`, owned since `now_ms`.
    pub fn new(weight: f64, now_ms: u64) -> Self {
        Self {
            weight,
            owned_since_ms: now_ms,
            skips_settling: false,
            granted: 0,
            held: HashMap::new(),
            by_organisation: HashMap::new(),
            samples: VecDeque::new(),
            foreign: 0,
            reported: None,
            reports: 0,
        }
    }

    /// Starts ownership of the engine, and with it the settling time.
    pub(crate) fn begin_ownership(&mut self, weight: f64, now_ms: u64) {
        self.weight = weight;
        self.owned_since_ms = now_ms;
        self.skips_settling = false;
    }

    /// Requests a slot.
    ///
    /// If `context.shared`, each of two owners assumes that the other granted as
    /// much as itself since the last report, so that both stay under the limit.
    pub fn request_slot(
        &mut self,
        holder: SlotHolder<H>,
        now_ms: u64,
        context: SlotRequestContext<'_>,
    ) -> SlotDecision {
        if !self.is_settled(now_ms, context.rules) {
            return SlotDecision::Settling;
        }
        let load = self.load();
        // The other owner may grant another slot concurrently.
        let unreported = match context.shared {
            true => self.unreported_grants(now_ms, context.rules) + 1,
            false => 0,
        };
        if load + unreported >= context.rules.limit(context.mean_load, self.weight) {
            return SlotDecision::AtBound { load };
        }
        if self.is_over_share(holder.organisation, load, context) {
            return SlotDecision::OverShare { load };
        }
        self.granted += 1;
        *self.by_organisation.entry(holder.organisation).or_insert(0) += 1;
        *self.held.entry(holder).or_insert(0) += 1;
        self.record_sample(now_ms);
        SlotDecision::Granted { load: load + 1 }
    }

    /// Whether the engine is nearly full and the organisation holds at least its
    /// share, by weight among the organisations present.
    ///
    /// Hashing spreads chats evenly, so that a share of each engine is a share of
    /// the pool. Limiting only the largest organisation would let several that
    /// surge fill the engine in turn: the other organisations' first token then has a p99
    /// of 1.33 s in place of 1.14.
    fn is_over_share(
        &self,
        organisation: OrganisationKey,
        load: u32,
        context: SlotRequestContext<'_>,
    ) -> bool {
        if f64::from(load) < context.rules.open_load(self.weight) {
            return false;
        }
        let organisation_weight = context.weights.of(organisation);
        let others = || {
            self.by_organisation
                .iter()
                .filter(|(other, _)| **other != organisation)
        };
        let other_weights = others().map(|(other, _)| context.weights.of(*other));
        let total_weight = organisation_weight + other_weights.sum::<f64>();
        let share = context.rules.capacity * self.weight * organisation_weight / total_weight;
        let held = self
            .by_organisation
            .get(&organisation)
            .copied()
            .unwrap_or(0);
        f64::from(held) >= share.max(MIN_SHARE_SLOTS)
    }

    /// Returns slots; ignores more than the holder has.
    pub fn return_slots(&mut self, holder: &SlotHolder<H>, now_ms: u64, count: u32) {
        let Some(held) = self.held.get_mut(holder) else {
            return;
        };
        let count = count.min(*held);
        *held -= count;
        if *held == 0 {
            self.held.remove(holder);
        }
        self.release(holder.organisation, count, now_ms);
    }

    fn release(&mut self, organisation: OrganisationKey, count: u32, now_ms: u64) {
        self.granted -= count;
        if let Some(held) = self.by_organisation.get_mut(&organisation) {
            *held -= count;
            if *held == 0 {
                self.by_organisation.remove(&organisation);
            }
        }
        self.record_sample(now_ms);
    }

    /// Replaces a holder's slots by the count that its router reports. If the engine
    /// has reported, they are part of the foreign load and move to the granted slots.
    pub fn adopt(&mut self, holder: SlotHolder<H>, now_ms: u64, count: u32) {
        let organisation = holder.organisation;
        let held = self.held.remove(&holder).unwrap_or(0);
        self.release(organisation, held, now_ms);
        if count > 0 {
            self.held.insert(holder, count);
            *self.by_organisation.entry(organisation).or_insert(0) += count;
            self.granted += count;
        }
        if self.reported.is_some() {
            self.foreign -= i64::from(count) - i64::from(held);
        }
        self.record_sample(now_ms);
    }

    /// Releases all slots that a host's router holds. Reports still count its
    /// requests while they run.
    pub fn remove_host(&mut self, host: &H, now_ms: u64) {
        let removed: Vec<_> = self
            .held
            .extract_if(|holder, _| holder.host == *host)
            .collect();
        for (holder, held) in removed {
            self.release(holder.organisation, held, now_ms);
        }
    }

    /// Processes a load report of the engine, received at `now_ms`.
    pub fn report(&mut self, now_ms: u64, in_progress: u32, rules: &SlotRules) {
        let from_ms = now_ms.saturating_sub(rules.report_lag_max_ms);
        let to_ms = now_ms.saturating_sub(rules.report_lag_min_ms);
        let (min, max) = self.granted_between(from_ms, to_ms);
        let low = i64::from(in_progress) - i64::from(max);
        let high = i64::from(in_progress) - i64::from(min);
        // Decays towards the ledger's own count, the most likely load in range.
        // Otherwise completed foreign requests raise the mean and every limit.
        self.reports += 1;
        if self.reports.is_multiple_of(REPORTS_PER_STEP) {
            let step = (self.foreign.abs() / 4).max(1).min(self.foreign.abs());
            self.foreign -= self.foreign.signum() * step;
        }
        self.foreign = self.foreign.clamp(low, high);
        self.reported = Some(Report {
            at_ms: now_ms,
            in_progress,
        });
    }

    /// Allows grants at once; only valid if the engine is known to be idle.
    pub fn skip_settling(&mut self) {
        self.skips_settling = true;
    }

    /// Estimated number of requests on the engine.
    pub fn load(&self) -> u32 {
        (i64::from(self.granted) + self.foreign).max(0) as u32
    }

    /// Requests on the engine by its latest report.
    pub fn reported(&self) -> Option<u32> {
        self.reported.map(|report| report.in_progress)
    }

    /// Number of granted slots.
    pub fn granted(&self) -> u32 {
        self.granted
    }

    /// The engine's weight.
    pub fn weight(&self) -> f64 {
        self.weight
    }

    /// Whether the settling time is over.
    pub fn is_settled(&self, now_ms: u64, rules: &SlotRules) -> bool {
        self.skips_settling || now_ms >= self.owned_since_ms + rules.settle_ms
    }

    /// Upper estimate of another owner's grants that no report shows yet.
    fn unreported_grants(&self, now_ms: u64, rules: &SlotRules) -> u32 {
        let reported_ms = self
            .reported
            .map_or(self.owned_since_ms, |report| report.at_ms);
        let from_ms = reported_ms.saturating_sub(rules.report_lag_max_ms);
        let (min, _) = self.granted_between(from_ms, now_ms);
        self.granted - min
    }

    /// Records the granted slots as the minimum and maximum per interval.
    fn record_sample(&mut self, now_ms: u64) {
        let granted = self.granted;
        match self.samples.back_mut() {
            Some(last) if now_ms < last.from_ms + SAMPLE_INTERVAL_MS => {
                last.min = last.min.min(granted);
                last.max = last.max.max(granted);
                last.end = granted;
            }
            before => {
                let start = before.map_or(0, |last| last.end);
                let (min, max) = (start.min(granted), start.max(granted));
                self.samples.push_back(Sample {
                    from_ms: now_ms,
                    min,
                    max,
                    end: granted,
                });
            }
        }
        if self.samples.len() > MAX_SAMPLES {
            self.samples.pop_front();
        }
    }

    /// Returns the minimum and maximum of granted slots in a time range.
    fn granted_between(&self, from_ms: u64, to_ms: u64) -> (u32, u32) {
        let before = self
            .samples
            .iter()
            .rev()
            .find(|sample| sample.from_ms <= from_ms);
        let (mut min, mut max) = match before {
            Some(sample) if from_ms < sample.from_ms + SAMPLE_INTERVAL_MS => {
                (sample.min, sample.max)
            }
            Some(sample) => (sample.end, sample.end),
            None => (0, 0),
        };
        let within = |sample: &&Sample| sample.from_ms > from_ms && sample.from_ms <= to_ms;
        for sample in self.samples.iter().filter(within) {
            min = min.min(sample.min);
            max = max.max(sample.max);
        }
        (min, max)
    }
}
