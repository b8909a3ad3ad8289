//! What one host grants: the ledgers of the engines it owns, and its say on
//! the mean.
//!
//! Rendezvous hashing over the live hosts names each engine's owner, so two
//! hosts with different views may both believe that they own an engine. Three
//! rules keep the bound all the same:
//!
//! - A new owner settles first: it grants nothing until the slowest view has
//!   changed too and every router has told it what it holds there.
//! - A host that sees less than half of the hosts of the last minute grants
//!   nothing: the others may have given its engines to someone else.
//! - A host that sees just half of them shares: it reckons with another owner
//!   that grants as much as itself.

use std::collections::{HashMap, HashSet};
use std::hash::Hash;

use crate::load_table::{HostLoad, LoadSampler, LoadTable};
use crate::rendezvous::{KeyHash, MemberHash, top_ranked};
use crate::slots::{EngineSlots, SlotDecision, SlotHolder, SlotRequestContext, SlotRules, Weights};

/// Hosts seen in this time count when a host asks whether it sees enough.
const RECENT_MS: u64 = 60_000;
/// Smaller fleets go by the table alone: it is fresh there, and a sample of few
/// engines is noisy (81 grants over the bound of 9,500 with it, 10 without).
const SAMPLED_FROM_HOSTS: usize = 16;
/// A sampled mean counts for a little less than it says: it is noisy, and only
/// a rise that the table does not show yet should pass it.
const SAMPLED_MARGIN: f64 = 0.95;
/// An engine that was away this long counts as new.
const KNOWN_MS: u64 = 600_000;
/// A ledger outlives its engine in the view this long: engines flap.
const LEDGER_KEPT_MS: u64 = 60_000;

/// The index of the host that owns an engine, `None` if there are no hosts.
pub fn owner_index(engine: MemberHash, hosts: &[MemberHash]) -> Option<usize> {
    top_ranked(KeyHash(engine.0), hosts.iter().map(|host| (*host, 1.0)))
}

/// An engine of the view, as its owner needs it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct OwnedEngine<E> {
    /// The engine.
    pub engine: E,
    /// Its size against others.
    pub weight: f64,
}

/// How much a host may grant, by how many of the recent hosts it sees.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Authority {
    /// It sees most hosts.
    Full,
    /// It sees just half of them.
    Shared,
    /// It sees fewer.
    None,
}

#[derive(Clone, Debug)]
struct Ledger<H> {
    slots: EngineSlots<H>,
    /// The engine is in the view, and this host owns it.
    owned: bool,
    /// The engine was owned and left the view; it may come back.
    flapped: bool,
    in_view_at_ms: u64,
}

impl<H: Eq + Hash> Ledger<H> {
    fn new(now_ms: u64) -> Self {
        Self {
            slots: EngineSlots::new(1.0, now_ms),
            owned: false,
            flapped: false,
            in_view_at_ms: now_ms,
        }
    }
}

/// The granting side of one host. `H` names hosts, `E` engines.
///
/// # Example
///
/// ```
/// use chalkrock_core::{
///     SlotHolder, OrganisationKey, OwnedEngine, Owner, SlotDecision, SlotRules,
/// };
///
/// let rules = SlotRules { settle_ms: 0, ..SlotRules::for_load_multiple(1.25) };
/// let mut owner = Owner::new("host-1", rules);
/// owner.apply_view(&["host-1"], &[OwnedEngine { engine: "e", weight: 1.0 }], &[], 0);
/// let holder = SlotHolder { host: "host-1", organisation: OrganisationKey(7) };
/// assert_eq!(owner.request_slot(&"e", holder, 5), Some(SlotDecision::Granted { load: 1 }));
/// assert_eq!(owner.request_slot(&"other", holder, 5), None);
/// ```
#[derive(Clone, Debug)]
pub struct Owner<H, E> {
    rules: SlotRules,
    weights: Weights,
    ledgers: HashMap<E, Ledger<H>>,
    table: LoadTable<H>,
    sampled: LoadSampler,
    /// When each host was last in the view.
    seen_at_ms: HashMap<H, u64>,
    /// The hosts of the view.
    hosts: Vec<H>,
    /// Until then other hosts may hold slots that this one does not know of.
    shared_until_ms: u64,
    /// When each engine was last in the view.
    known: HashMap<E, u64>,
}

impl<H: Clone + Eq + Hash + Ord, E: Clone + Eq + Hash> Owner<H, E> {
    /// An owner without engines.
    pub fn new(own: H, rules: SlotRules) -> Self {
        Self {
            rules,
            weights: Weights::default(),
            ledgers: HashMap::new(),
            table: LoadTable::new(own),
            sampled: LoadSampler::default(),
            seen_at_ms: HashMap::new(),
            hosts: Vec::new(),
            shared_until_ms: 0,
            known: HashMap::new(),
        }
    }

    /// Shares engines by these weights from now on.
    pub fn set_weights(&mut self, weights: Weights) {
        self.weights = weights;
    }

    /// Grants by other rules from now on.
    pub fn set_rules(&mut self, rules: SlotRules) {
        self.rules = rules;
    }

    /// Takes a new view over: the live hosts, the engines that this host owns
    /// among them, and those that others own, whose ledgers end here.
    pub fn apply_view(&mut self, hosts: &[H], owned: &[OwnedEngine<E>], others: &[E], now_ms: u64) {
        if !self.hosts.is_empty() && self.authority_by_view(now_ms) != Authority::Full {
            self.shared_until_ms = now_ms + self.rules.settle_ms + self.rules.report_lag_max_ms;
        }
        let before = self.take_hosts(hosts, now_ms);
        let same_hosts = !before.is_empty() && before == hosts;
        for engine in others {
            self.ledgers.remove(engine);
            self.known.insert(engine.clone(), now_ms);
        }
        let owned_before = self.release_all();
        for one in owned {
            let is_new = self.known.insert(one.engine.clone(), now_ms).is_none();
            let ledgers = &mut self.ledgers;
            let ledger = ledgers
                .entry(one.engine.clone())
                .or_insert_with(|| Ledger::new(now_ms));
            ledger.owned = true;
            ledger.in_view_at_ms = now_ms;
            if !owned_before.contains(&one.engine) {
                ledger.slots.begin(one.weight, now_ms);
                // An engine that no host has seen before is idle, and with
                // the same hosts all views agree on its owner.
                if is_new && same_hosts {
                    ledger.slots.skip_settling();
                }
            }
        }
        self.known.retain(|_, at_ms| now_ms < *at_ms + KNOWN_MS);
        self.ledgers
            .retain(|_, ledger| ledger.owned || now_ms < ledger.in_view_at_ms + LEDGER_KEPT_MS);
    }

    /// Takes the hosts of a view over, and gives those of the one before.
    fn take_hosts(&mut self, hosts: &[H], now_ms: u64) -> Vec<H> {
        let before = std::mem::replace(&mut self.hosts, hosts.to_vec());
        self.table.retain_hosts(hosts);
        // Hosts of the view before were seen until this moment.
        for host in before.iter().chain(hosts) {
            self.seen_at_ms.insert(host.clone(), now_ms);
        }
        self.seen_at_ms
            .retain(|_, at_ms| now_ms < *at_ms + RECENT_MS);
        before
    }

    /// Marks all ledgers as not owned, and names those that were.
    fn release_all(&mut self) -> HashSet<E> {
        let mut owned = HashSet::new();
        for (engine, ledger) in &mut self.ledgers {
            if std::mem::take(&mut ledger.owned) || ledger.flapped {
                owned.insert(engine.clone());
                ledger.flapped = true;
            }
        }
        owned
    }

    /// Lets all ledgers grant at once: the fleet starts with idle engines.
    pub fn skip_settling(&mut self) {
        for ledger in self.ledgers.values_mut() {
            ledger.slots.skip_settling();
        }
    }

    /// How much this host may grant. After a time of sharing it goes on to
    /// share until all routers must have told what they hold.
    pub fn authority(&self, now_ms: u64) -> Authority {
        match self.authority_by_view(now_ms) {
            Authority::Full if now_ms < self.shared_until_ms => Authority::Shared,
            authority => authority,
        }
    }

    fn authority_by_view(&self, now_ms: u64) -> Authority {
        let recent = self
            .seen_at_ms
            .values()
            .filter(|at_ms| now_ms < **at_ms + RECENT_MS);
        let recent = recent.count().max(self.hosts.len());
        match (self.hosts.len() * 2).cmp(&recent) {
            std::cmp::Ordering::Greater => Authority::Full,
            std::cmp::Ordering::Equal => Authority::Shared,
            std::cmp::Ordering::Less => Authority::None,
        }
    }

    /// A router that asks tells the mean load that it sampled.
    pub fn record_sample(&mut self, mean_load: f64) {
        self.sampled.record(mean_load);
    }

    /// The mean load by unit of weight that grants go by.
    fn mean(&mut self, now_ms: u64) -> f64 {
        let by_table = self.table.mean(now_ms);
        if self.hosts.len() < SAMPLED_FROM_HOSTS {
            return by_table;
        }
        let by_samples = self.sampled.mean().unwrap_or(0.0) * SAMPLED_MARGIN;
        by_table.max(by_samples)
    }

    /// Asks for a slot; `None` if this host does not own the engine or may
    /// not grant.
    pub fn request_slot(
        &mut self,
        engine: &E,
        holder: SlotHolder<H>,
        now_ms: u64,
    ) -> Option<SlotDecision> {
        let authority = self.authority(now_ms);
        if authority == Authority::None {
            return None;
        }
        self.say_own(now_ms);
        let mean = self.mean(now_ms);
        let ledger = self.ledgers.get_mut(engine).filter(|ledger| ledger.owned)?;
        let shared = authority == Authority::Shared;
        let context = SlotRequestContext {
            mean_load: mean,
            shared,
            rules: &self.rules,
            weights: &self.weights,
        };
        Some(ledger.slots.request_slot(holder, now_ms, context))
    }

    /// Takes slots back.
    pub fn return_slots(&mut self, engine: &E, holder: &SlotHolder<H>, count: u32, now_ms: u64) {
        if let Some(ledger) = self.ledgers.get_mut(engine) {
            ledger.slots.return_slots(holder, now_ms, count);
        }
    }

    /// A router tells what it holds of an engine. Its view may be ahead of
    /// this host's, which then keeps the count for when the engine is its own.
    pub fn adopt(&mut self, engine: &E, holder: SlotHolder<H>, count: u32, now_ms: u64) {
        let ledger = self
            .ledgers
            .entry(engine.clone())
            .or_insert_with(|| Ledger::new(now_ms));
        ledger.slots.adopt(holder, now_ms, count);
    }

    /// A router is gone; its slots are free.
    pub fn remove_host(&mut self, host: &H, now_ms: u64) {
        for ledger in self.ledgers.values_mut() {
            ledger.slots.remove_host(host, now_ms);
        }
    }

    /// An engine reports its load.
    pub fn report(&mut self, engine: &E, in_progress: u32, now_ms: u64) {
        if let Some(ledger) = self.ledgers.get_mut(engine) {
            ledger.slots.report(now_ms, in_progress, &self.rules);
        }
    }

    /// The load of an owned engine.
    pub fn load(&self, engine: &E) -> Option<u32> {
        self.ledgers
            .get(engine)
            .filter(|l| l.owned)
            .map(|ledger| ledger.slots.load())
    }

    /// The totals of hosts, this one's brought up to now.
    pub fn table(&mut self, now_ms: u64) -> &mut LoadTable<H> {
        self.say_own(now_ms);
        &mut self.table
    }

    /// Sets the own entry of the table. While owners may differ, each counts
    /// slots that were given back to the other one; the reports do not.
    fn say_own(&mut self, now_ms: u64) {
        let shared = self.authority(now_ms) == Authority::Shared;
        let mut own = HostLoad {
            in_progress: 0,
            weight: 0.0,
        };
        for ledger in self.ledgers.values().filter(|ledger| ledger.owned) {
            own.in_progress += match ledger.slots.reported() {
                Some(reported) if shared => reported.min(ledger.slots.load()),
                _ => ledger.slots.load(),
            };
            own.weight += ledger.slots.weight();
        }
        self.table.set_local(own, now_ms);
    }
}
