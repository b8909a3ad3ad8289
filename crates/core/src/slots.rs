//! The slots of one engine, as its owner grants them.
//!
//! The owner of an engine grants every slot there, so it knows the load at
//! once, without the lag of reports. What it can't know is load that others
//! granted: the owner before it, another owner in a split view, a router that
//! had to go without. That shows in the engine's reports, which are late. We
//! keep it as `foreign` load between two bounds that each report sets: the
//! report less the most, and less the least, that we had granted in the time
//! it may speak of. It is below zero when slots were never given back, since
//! their router died or the message was lost. Trusting the report alone counts
//! our own grants twice; trusting the ledger alone breaks the bound in a split
//! view, and loses slots for good.

use std::collections::{HashMap, VecDeque};
use std::hash::Hash;

/// Below this mean load the multiple is applied as if the mean were this:
/// with one or two requests on an engine, whole requests are too coarse for
/// a multiple, and a start from nothing would wait for the mean to rise.
pub const MEAN_FLOOR: f64 = 4.0;
/// Up to this share of an engine's capacity, whoever asks is granted. What is
/// above is kept for organisations that are under their share, so that a surge
/// of others does not delay them.
pub const OPEN_LOAD_RATIO: f64 = 0.8;
/// An organisation's share of an engine is never less. Ordinary chance puts two
/// requests of a small organisation on one engine; holding it to one there
/// delays it more than a surge of others does.
const SHARE_MIN: f64 = 2.0;
/// Foreign load moves towards none once in so many reports: about as fast as
/// the requests that it stands for end. Faster, it is forgotten while it runs.
const REPORTS_A_STEP: u32 = 4;
/// A ledger sample is kept at most this often.
const SAMPLE_EVERY_MS: u64 = 100;
/// Samples kept: twice the oldest report.
const SAMPLES_KEPT: usize = 200;

/// How slots are granted in a pool.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SlotRules {
    /// Grants stop at this multiple of the mean. It is below the promised
    /// multiple, since the mean falls when requests end elsewhere.
    pub grant_multiple: f64,
    /// Reports are at least this old.
    pub report_lag_min_ms: u64,
    /// Reports are at most this old.
    pub report_lag_max_ms: u64,
    /// A new owner grants nothing for this long, so that the reports it has
    /// show all that the owner before it granted.
    pub settle_ms: u64,
    /// Requests that an engine can batch, by unit of its weight. More than
    /// that are never granted.
    pub capacity: f64,
}

impl SlotRules {
    /// Rules for a pool that promises `load_multiple`.
    ///
    /// The margin is three fortieths of what the multiple leaves above the mean; see
    /// `docs/decisions/0003-slots.md` for the measurement.
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

    /// The load from which on organisations are held to their shares.
    fn open_load(&self, weight: f64) -> f64 {
        OPEN_LOAD_RATIO * self.capacity * weight
    }

    /// The most requests that an engine of `weight` may carry.
    ///
    /// `mean_load` is the pool's load by unit of weight. Whatever the margin,
    /// the limit lies above the mean: if all engines could stand at their
    /// limit, the mean would never rise and the pool would refuse for ever.
    pub fn limit(&self, mean_load: f64, weight: f64) -> u32 {
        let expected = (mean_load * weight).max(MEAN_FLOOR);
        let above_mean = expected.floor() + 1.0;
        let by_mean = (self.grant_multiple * expected).floor().max(above_mean);
        by_mean.min((self.capacity * weight).floor()) as u32
    }
}

/// Whose slots: a router's host and an organisation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct SlotHolder<H> {
    /// The router's host.
    pub host: H,
    /// The organisation.
    pub organisation: OrganisationKey,
}

/// An organisation in ledgers: the low half of its name's hash.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct OrganisationKey(pub u32);

/// Weights of organisations; one that is not named weighs 1.
#[derive(Clone, Debug, Default)]
pub struct Weights(HashMap<OrganisationKey, u32>);

impl Weights {
    /// Weights by organisation.
    pub fn new(weights: HashMap<OrganisationKey, u32>) -> Self {
        Self(weights)
    }

    fn of(&self, organisation: OrganisationKey) -> f64 {
        f64::from(self.0.get(&organisation).copied().unwrap_or(1))
    }
}

/// What an ask is judged by, beside the ledger.
#[derive(Clone, Copy, Debug)]
pub struct SlotRequestContext<'a> {
    /// The pool's mean load by unit of weight.
    pub mean_load: f64,
    /// Whether another host may own the engine too.
    pub shared: bool,
    /// How slots are granted.
    pub rules: &'a SlotRules,
    /// Weights of organisations.
    pub weights: &'a Weights,
}

/// The answer to an ask.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SlotDecision {
    /// A slot is held; the load includes it.
    Granted {
        /// Requests on the engine.
        load: u32,
    },
    /// One more would pass the limit.
    AtBound {
        /// Requests on the engine.
        load: u32,
    },
    /// The engine is nearly full, and the organisation has its share of it.
    OverShare {
        /// Requests on the engine.
        load: u32,
    },
    /// The ledger is too young to be right.
    Settling,
}

/// What was granted in one span.
#[derive(Clone, Copy, Debug)]
struct Sample {
    from_ms: u64,
    least: u32,
    most: u32,
    end: u32,
}

/// The newest report.
#[derive(Clone, Copy, Debug)]
struct Report {
    at_ms: u64,
    in_progress: u32,
}

/// The ledger of one engine. `H` names hosts.
///
/// # Example
///
/// ```
/// use chalkrock_core::{
///     SlotRequestContext, EngineSlots, SlotHolder, OrganisationKey, SlotDecision, SlotRules, Weights,
/// };
///
/// let rules = SlotRules { settle_ms: 0, ..SlotRules::for_load_multiple(1.25) };
/// let weights = Weights::default();
/// let context = SlotRequestContext { mean_load: 8.0, shared: false, rules: &rules, weights: &weights };
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
    settled_at_once: bool,
    granted: u32,
    held: HashMap<SlotHolder<H>, u32>,
    by_organisation: HashMap<OrganisationKey, u32>,
    samples: VecDeque<Sample>,
    foreign: i64,
    reported: Option<Report>,
    reports: u32,
}

impl<H: Eq + Hash> EngineSlots<H> {
    /// A ledger that begins at `now_ms`, for an engine of `weight`.
    pub fn new(weight: f64, now_ms: u64) -> Self {
        Self {
            weight,
            owned_since_ms: now_ms,
            settled_at_once: false,
            granted: 0,
            held: HashMap::new(),
            by_organisation: HashMap::new(),
            samples: VecDeque::new(),
            foreign: 0,
            reported: None,
            reports: 0,
        }
    }

    /// The host becomes the engine's owner now: it settles from here on.
    pub(crate) fn begin(&mut self, weight: f64, now_ms: u64) {
        self.weight = weight;
        self.owned_since_ms = now_ms;
        self.settled_at_once = false;
    }

    /// Asks for a slot.
    ///
    /// With `shared`, another host may own the engine too: each of the two
    /// then grants as if the other had granted as much as itself in the time
    /// that no report shows yet, so that both together stay under the limit.
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
        // The other owner may grant one more at this very moment.
        let unseen = match context.shared {
            true => self.unseen_by_reports(now_ms, context.rules) + 1,
            false => 0,
        };
        if load + unseen >= context.rules.limit(context.mean_load, self.weight) {
            return SlotDecision::AtBound { load };
        }
        if self.is_over_share(holder.organisation, load, context) {
            return SlotDecision::OverShare { load };
        }
        self.granted += 1;
        *self.by_organisation.entry(holder.organisation).or_insert(0) += 1;
        *self.held.entry(holder).or_insert(0) += 1;
        self.sample(now_ms);
        SlotDecision::Granted { load: load + 1 }
    }

    /// Whether an engine that is nearly full holds as many requests of this
    /// organisation as its weight among those present allows. What it holds
    /// above its share was borrowed, and ends by itself.
    ///
    /// Chats are spread over engines by their hash, so that a share of each
    /// engine is a share of the pool, and no host needs to know the whole.
    /// Refusing only who crowds the engine most was tried: several that surge
    /// then fill it in turns (first token of the others p99 1.33 s, not 1.14).
    fn is_over_share(
        &self,
        organisation: OrganisationKey,
        load: u32,
        context: SlotRequestContext<'_>,
    ) -> bool {
        if f64::from(load) < context.rules.open_load(self.weight) {
            return false;
        }
        let own_weight = context.weights.of(organisation);
        let others = || {
            self.by_organisation
                .iter()
                .filter(|(other, _)| **other != organisation)
        };
        let weights_of_others = others().map(|(other, _)| context.weights.of(*other));
        let all_weights = own_weight + weights_of_others.sum::<f64>();
        let share = context.rules.capacity * self.weight * own_weight / all_weights;
        let held = self
            .by_organisation
            .get(&organisation)
            .copied()
            .unwrap_or(0);
        f64::from(held) >= share.max(SHARE_MIN)
    }

    /// Takes slots back. What the holder does not hold is ignored.
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
        self.sample(now_ms);
    }

    /// Takes over what a router says it holds: its own count is better than
    /// ours. A report shows these requests already, so that they move from
    /// the foreign load to the granted slots; without one they are news.
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
        self.sample(now_ms);
    }

    /// Takes all slots of a router back that is gone. Its requests may still
    /// run for a moment; the reports show them.
    pub fn remove_host(&mut self, host: &H, now_ms: u64) {
        let gone: Vec<_> = self
            .held
            .extract_if(|holder, _| holder.host == *host)
            .collect();
        for (holder, held) in gone {
            self.release(holder.organisation, held, now_ms);
        }
    }

    /// Takes a report of the engine that arrived at `now_ms`.
    pub fn report(&mut self, now_ms: u64, in_progress: u32, rules: &SlotRules) {
        let from_ms = now_ms.saturating_sub(rules.report_lag_max_ms);
        let to_ms = now_ms.saturating_sub(rules.report_lag_min_ms);
        let (least, most) = self.granted_between(from_ms, to_ms);
        let low = i64::from(in_progress) - i64::from(most);
        let high = i64::from(in_progress) - i64::from(least);
        // Of all loads that fit the report, the one nearest to our own ledger
        // is the likeliest; we go there by steps. Staying where an earlier
        // report had put it counted ended requests for seconds, which raised
        // the pool's mean and with it every limit.
        self.reports += 1;
        if self.reports.is_multiple_of(REPORTS_A_STEP) {
            let step = (self.foreign.abs() / 4).max(1).min(self.foreign.abs());
            self.foreign -= self.foreign.signum() * step;
        }
        self.foreign = self.foreign.clamp(low, high);
        self.reported = Some(Report {
            at_ms: now_ms,
            in_progress,
        });
    }

    /// Lets a ledger grant at once: its engine is known to be empty.
    pub fn skip_settling(&mut self) {
        self.settled_at_once = true;
    }

    /// Requests on the engine, as far as the owner can tell.
    pub fn load(&self) -> u32 {
        (i64::from(self.granted) + self.foreign).max(0) as u32
    }

    /// Requests on the engine by its newest report.
    pub fn reported(&self) -> Option<u32> {
        self.reported.map(|report| report.in_progress)
    }

    /// Slots that are held.
    pub fn granted(&self) -> u32 {
        self.granted
    }

    /// The engine's weight.
    pub fn weight(&self) -> f64 {
        self.weight
    }

    /// Whether the ledger may grant.
    pub fn is_settled(&self, now_ms: u64, rules: &SlotRules) -> bool {
        self.settled_at_once || now_ms >= self.owned_since_ms + rules.settle_ms
    }

    /// What another owner may have granted that reports don't show yet.
    fn unseen_by_reports(&self, now_ms: u64, rules: &SlotRules) -> u32 {
        let reported_ms = self
            .reported
            .map_or(self.owned_since_ms, |report| report.at_ms);
        let from_ms = reported_ms.saturating_sub(rules.report_lag_max_ms);
        let (least, _) = self.granted_between(from_ms, now_ms);
        self.granted - least
    }

    /// Notes the granted count, as the least and most of short spans.
    fn sample(&mut self, now_ms: u64) {
        let granted = self.granted;
        match self.samples.back_mut() {
            Some(last) if now_ms < last.from_ms + SAMPLE_EVERY_MS => {
                last.least = last.least.min(granted);
                last.most = last.most.max(granted);
                last.end = granted;
            }
            before => {
                let start = before.map_or(0, |last| last.end);
                let (least, most) = (start.min(granted), start.max(granted));
                self.samples.push_back(Sample {
                    from_ms: now_ms,
                    least,
                    most,
                    end: granted,
                });
            }
        }
        if self.samples.len() > SAMPLES_KEPT {
            self.samples.pop_front();
        }
    }

    /// The least and the most that was granted at any time of a span.
    fn granted_between(&self, from_ms: u64, to_ms: u64) -> (u32, u32) {
        let before = self
            .samples
            .iter()
            .rev()
            .find(|sample| sample.from_ms <= from_ms);
        let (mut least, mut most) = match before {
            Some(sample) if from_ms < sample.from_ms + SAMPLE_EVERY_MS => {
                (sample.least, sample.most)
            }
            Some(sample) => (sample.end, sample.end),
            None => (0, 0),
        };
        let within = |sample: &&Sample| sample.from_ms > from_ms && sample.from_ms <= to_ms;
        for sample in self.samples.iter().filter(within) {
            least = least.min(sample.least);
            most = most.max(sample.most);
        }
        (least, most)
    }
}
