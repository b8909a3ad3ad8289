//! The slots that one host grants on the engines that it owns.
//!
//! Rendezvous hashing over the live hosts selects each engine's owner, so hosts
//! with different views may own the same engine. Three rules keep the bound:
//!
//! - A new owner first waits until views converge and routers report the slots
//!   that they hold.
//! - A host that sees less than half of the recent hosts grants nothing, since
//!   the others may have assigned its engines to another owner.
//! - A host that sees exactly half of them assumes another owner that grants as
//!   much as itself.

use std::collections::{HashMap, HashSet};
use std::hash::Hash;

use crate::load_table::{HostLoad, LoadSampler, LoadTable};
use crate::rendezvous::{KeyHash, MemberHash, top_ranked};
use crate::slots::{EngineSlots, SlotDecision, SlotHolder, SlotRequestContext, SlotRules, Weights};

/// Hosts in the view within this time count as recent.
const RECENT_HOST_WINDOW_MS: u64 = 60_000;
/// Smaller fleets use the load table alone: it is current there, and a mean
/// sampled from few engines is noisy: 81 of 9,500 grants over the limit with it, 10 without.
const MIN_HOSTS_FOR_SAMPLING: usize = 16;
/// Factor on the sampled mean, so that noise alone rarely exceeds the table's mean.
const SAMPLED_MEAN_FACTOR: f64 = 0.95;
/// An engine out of the view for this long counts as new.
const ENGINE_RETENTION_MS: u64 = 600_000;
/// How long a ledger is kept after its engine leaves the view; engines flap.
const LEDGER_RETENTION_MS: u64 = 60_000;

/// Returns the index of the host that owns an engine, or `None` without hosts.
pub fn owner_index(engine: MemberHash, hosts: &[MemberHash]) -> Option<usize> {
    top_ranked(KeyHash(engine.0), hosts.iter().map(|host| (*host, 1.0)))
}

/// An engine that the local host owns.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct OwnedEngine<E> {
    /// The engine.
    pub engine: E,
    /// Its weight within the pool.
    pub weight: f64,
}

/// A host's authority to grant, by the fraction of recent hosts that it sees.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Authority {
    /// It sees more than half of them.
    Full,
    /// It sees exactly half of them.
    Shared,
    /// It sees less than half of them.
    None,
}

#[derive(Clone, Debug)]
struct Ledger<H> {
    slots: EngineSlots<H>,
    /// The engine is in the view and owned by this host.
    owned: bool,
    /// This host owned the engine in an earlier view.
    was_owned: bool,
    last_in_view_ms: u64,
}

impl<H: Eq + Hash> Ledger<H> {
    fn new(now_ms: u64) -> Self {
        Self {
            slots: EngineSlots::new(1.0, now_ms),
            owned: false,
            was_owned: false,
            last_in_view_ms: now_ms,
        }
    }
}

/// The owner role of a host. `H` identifies hosts, `E` engines.
///
/// # Example
///
/// ```
/// use chalkrock_core::{
///     OrganisationKey, OwnedEngine, Owner, SlotDecision, SlotHolder, SlotRules,
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
    host_seen_at_ms: HashMap<H, u64>,
    hosts: Vec<H>,
    /// Until then, other owners may have granted slots unknown to this host.
    shared_until_ms: u64,
    engine_seen_at_ms: HashMap<E, u64>,
}

impl<H: Clone + Eq + Hash + Ord, E: Clone + Eq + Hash> Owner<H, E> {
    /// Creates an owner without engines.
    pub fn new(local_host: H, rules: SlotRules) -> Self {
        Self {
            rules,
            weights: Weights::default(),
            ledgers: HashMap::new(),
            table: LoadTable::new(local_host),
            sampled: LoadSampler::default(),
            host_seen_at_ms: HashMap::new(),
            hosts: Vec::new(),
            shared_until_ms: 0,
            engine_seen_at_ms: HashMap::new(),
        }
    }

    /// Sets the weights of organisations.
    pub fn set_weights(&mut self, weights: Weights) {
        self.weights = weights;
    }

    /// Sets the rules for grants.
    pub fn set_rules(&mut self, rules: SlotRules) {
        self.rules = rules;
    }

    /// Applies a view: the live hosts, the engines that this host owns, and the
    /// engines of other owners, whose ledgers are dropped.
    pub fn apply_view(&mut self, hosts: &[H], owned: &[OwnedEngine<E>], others: &[E], now_ms: u64) {
        if !self.hosts.is_empty() && self.authority_by_view(now_ms) != Authority::Full {
            self.shared_until_ms = now_ms + self.rules.settle_ms + self.rules.report_lag_max_ms;
        }
        let previous = self.apply_hosts(hosts, now_ms);
        let same_hosts = !previous.is_empty() && previous == hosts;
        for engine in others {
            self.ledgers.remove(engine);
            self.engine_seen_at_ms.insert(engine.clone(), now_ms);
        }
        let owned_before = self.release_all();
        for owned_engine in owned {
            let is_new = self
                .engine_seen_at_ms
                .insert(owned_engine.engine.clone(), now_ms)
                .is_none();
            let ledgers = &mut self.ledgers;
            let ledger = ledgers
                .entry(owned_engine.engine.clone())
                .or_insert_with(|| Ledger::new(now_ms));
            ledger.owned = true;
            ledger.last_in_view_ms = now_ms;
            if !owned_before.contains(&owned_engine.engine) {
                ledger.slots.begin_ownership(owned_engine.weight, now_ms);
                // A new engine is idle, and with unchanged hosts all views agree
                // on its owner.
                if is_new && same_hosts {
                    ledger.slots.skip_settling();
                }
            }
        }
        self.engine_seen_at_ms
            .retain(|_, at_ms| now_ms < *at_ms + ENGINE_RETENTION_MS);
        self.ledgers.retain(|_, ledger| {
            ledger.owned || now_ms < ledger.last_in_view_ms + LEDGER_RETENTION_MS
        });
    }

    /// Applies the hosts of a view and returns those of the previous one.
    fn apply_hosts(&mut self, hosts: &[H], now_ms: u64) -> Vec<H> {
        let previous = std::mem::replace(&mut self.hosts, hosts.to_vec());
        self.table.set_hosts(hosts);
        // Hosts of the previous view were visible until now.
        for host in previous.iter().chain(hosts) {
            self.host_seen_at_ms.insert(host.clone(), now_ms);
        }
        self.host_seen_at_ms
            .retain(|_, at_ms| now_ms < *at_ms + RECENT_HOST_WINDOW_MS);
        previous
    }

    /// Marks all ledgers as not owned and returns the engines that were.
    fn release_all(&mut self) -> HashSet<E> {
        let mut owned = HashSet::new();
        for (engine, ledger) in &mut self.ledgers {
            if std::mem::take(&mut ledger.owned) || ledger.was_owned {
                owned.insert(engine.clone());
                ledger.was_owned = true;
            }
        }
        owned
    }

    /// Allows all ledgers to grant at once, for a fleet that starts idle.
    pub fn skip_settling(&mut self) {
        for ledger in self.ledgers.values_mut() {
            ledger.slots.skip_settling();
        }
    }

    /// The host's authority to grant. Authority stays shared after a split until
    /// all routers have reported the slots that they hold.
    pub fn authority(&self, now_ms: u64) -> Authority {
        match self.authority_by_view(now_ms) {
            Authority::Full if now_ms < self.shared_until_ms => Authority::Shared,
            authority => authority,
        }
    }

    fn authority_by_view(&self, now_ms: u64) -> Authority {
        let recent = self
            .host_seen_at_ms
            .values()
            .filter(|at_ms| now_ms < **at_ms + RECENT_HOST_WINDOW_MS);
        let recent = recent.count().max(self.hosts.len());
        match (self.hosts.len() * 2).cmp(&recent) {
            std::cmp::Ordering::Greater => Authority::Full,
            std::cmp::Ordering::Equal => Authority::Shared,
            std::cmp::Ordering::Less => Authority::None,
        }
    }

    /// Records the mean load that a router sampled.
    pub fn record_sample(&mut self, mean_load: f64) {
        self.sampled.record(mean_load);
    }

    /// The mean load per unit of weight from which limits are computed.
    fn mean(&mut self, now_ms: u64) -> f64 {
        let table_mean = self.table.mean(now_ms);
        if self.hosts.len() < MIN_HOSTS_FOR_SAMPLING {
            return table_mean;
        }
        let sampled_mean = self.sampled.mean().unwrap_or(0.0) * SAMPLED_MEAN_FACTOR;
        table_mean.max(sampled_mean)
    }

    /// Requests a slot; `None` if this host does not own the engine or lacks the
    /// authority to grant.
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
        self.update_local_load(now_ms);
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

    /// Returns slots of a holder.
    pub fn return_slots(&mut self, engine: &E, holder: &SlotHolder<H>, count: u32, now_ms: u64) {
        if let Some(ledger) = self.ledgers.get_mut(engine) {
            ledger.slots.return_slots(holder, now_ms, count);
        }
    }

    /// Replaces a holder's slots by the count that its router reports. Kept also for
    /// an engine that this host does not own, since the router's view may be newer.
    pub fn adopt(&mut self, engine: &E, holder: SlotHolder<H>, count: u32, now_ms: u64) {
        let ledger = self
            .ledgers
            .entry(engine.clone())
            .or_insert_with(|| Ledger::new(now_ms));
        ledger.slots.adopt(holder, now_ms, count);
    }

    /// Releases all slots that a host's router holds.
    pub fn remove_host(&mut self, host: &H, now_ms: u64) {
        for ledger in self.ledgers.values_mut() {
            ledger.slots.remove_host(host, now_ms);
        }
    }

    /// Processes a load report of an engine.
    pub fn report(&mut self, engine: &E, in_progress: u32, now_ms: u64) {
        if let Some(ledger) = self.ledgers.get_mut(engine) {
            ledger.slots.report(now_ms, in_progress, &self.rules);
        }
    }

    /// Returns the load of an owned engine.
    pub fn load(&self, engine: &E) -> Option<u32> {
        self.ledgers
            .get(engine)
            .filter(|l| l.owned)
            .map(|ledger| ledger.slots.load())
    }

    /// Returns the load table with an updated local entry.
    pub fn load_table(&mut self, now_ms: u64) -> &mut LoadTable<H> {
        self.update_local_load(now_ms);
        &mut self.table
    }

    /// Updates the local entry of the load table. With shared authority, slots may
    /// be returned to the other owner, so that the report bounds the ledger's load.
    fn update_local_load(&mut self, now_ms: u64) {
        let shared = self.authority(now_ms) == Authority::Shared;
        let mut local_load = HostLoad {
            in_progress: 0,
            weight: 0.0,
        };
        for ledger in self.ledgers.values().filter(|ledger| ledger.owned) {
            local_load.in_progress += match ledger.slots.reported() {
                Some(reported) if shared => reported.min(ledger.slots.load()),
                _ => ledger.slots.load(),
            };
            local_load.weight += ledger.slots.weight();
        }
        self.table.set_local(local_load, now_ms);
    }
}
