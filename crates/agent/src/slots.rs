//! The slots that this host grants: the core's owners, one for each pool.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use chalkrock_core::rendezvous::MemberHash;
use chalkrock_core::{
    Endpoint, EndpointId, FleetConfig, HostId, HostLoad, HostState, LoadEntry, Organisation,
    OrganisationKey, OwnedEngine, Owner, Pool, PoolId, PoolKind, SlotDecision, SlotHolder,
    SlotRules, Weights, owner_index,
};
use chalkrock_proto::{HostPoolLoad, SlotCount, SlotReply, SlotRequest};
use tokio::sync::Notify;
use tokio::time::Instant;

use crate::view::AgentView;

/// Entries of one message of the exchange.
const ENTRIES_MAX: usize = 16;

/// A host in load tables and ledgers: the low half of its name's hash.
type HostKey = u32;
/// An engine: the hash of its name.
type EngineKey = u64;

fn short_hash(name: &str) -> u32 {
    MemberHash::of(name).short()
}

fn weights_of(config: &FleetConfig) -> Weights {
    let weight = |organisation: &Organisation| {
        (
            OrganisationKey(short_hash(organisation.name.as_str())),
            organisation.weight,
        )
    };
    Weights::new(config.organisations.iter().map(weight).collect())
}

fn holder_of(host: &HostId, organisation: u32) -> SlotHolder<HostKey> {
    SlotHolder {
        host: short_hash(host.as_str()),
        organisation: OrganisationKey(organisation),
    }
}

/// The granting side of this host.
pub(crate) struct Slots {
    own: HostId,
    settle_ms: u64,
    started_at: Instant,
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    pools: HashMap<PoolId, PoolSlots>,
    /// The pool of each live engine, and what wakes asks that are held.
    engines: HashMap<EngineKey, EngineEntry>,
}

struct PoolSlots {
    short: u32,
    load_multiple: f64,
    owner: Owner<HostKey, EngineKey>,
}

#[derive(Clone)]
struct EngineEntry {
    name: EndpointId,
    pool: PoolId,
    leaving: bool,
    freed: Arc<Notify>,
}

impl Slots {
    pub(crate) fn new(own: HostId, settle_ms: u64) -> Self {
        Self {
            own,
            settle_ms,
            started_at: Instant::now(),
            state: Mutex::default(),
        }
    }

    fn now_ms(&self) -> u64 {
        self.started_at.elapsed().as_millis() as u64
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes a new view over. Returns the endpoints that this host owns.
    pub(crate) fn take_view(&self, view: &AgentView) -> Vec<Endpoint> {
        let Some(hosts) = &view.hosts else {
            return Vec::new();
        };
        let live_hosts = hosts
            .list
            .hosts
            .iter()
            .filter(|host| host.state == HostState::Live);
        let names: Vec<&str> = live_hosts.map(|host| host.name.as_str()).collect();
        let hashes: Vec<MemberHash> = names.iter().map(|name| MemberHash::of(name)).collect();
        let own = names.iter().position(|name| *name == self.own.as_str());
        let is_own = |endpoint: &&Endpoint| {
            let owner = owner_index(MemberHash::of(endpoint.name.as_str()), &hashes);
            owner.is_some() && owner == own
        };
        let keys: Vec<HostKey> = names.iter().map(|name| short_hash(name)).collect();
        let endpoints = &hosts.list.endpoints;
        let weights = weights_of(&view.parsed);
        let mut state = self.state();
        for pool in &view.parsed.pools {
            if matches!(pool.kind, PoolKind::Engines { .. }) {
                self.take_pool(&mut state, pool, &weights, endpoints, &keys, &is_own);
            }
        }
        state.take_engines(endpoints);
        endpoints.iter().filter(is_own).cloned().collect()
    }

    fn take_pool(
        &self,
        state: &mut State,
        pool: &Pool,
        weights: &Weights,
        endpoints: &[Endpoint],
        hosts: &[HostKey],
        is_own: &impl Fn(&&Endpoint) -> bool,
    ) {
        let now_ms = self.now_ms();
        let live = endpoints
            .iter()
            .filter(|e| e.pool == pool.name && e.state == HostState::Live);
        let (owned, others): (Vec<_>, Vec<_>) = live.partition(is_own);
        let key = |endpoint: &Endpoint| MemberHash::of(endpoint.name.as_str()).0;
        let owned: Vec<_> = owned
            .into_iter()
            .map(|e| OwnedEngine {
                engine: key(e),
                weight: f64::from(e.slots),
            })
            .collect();
        let others: Vec<_> = others.into_iter().map(key).collect();
        let entry = state
            .pools
            .entry(pool.name.clone())
            .or_insert_with(|| PoolSlots {
                short: short_hash(pool.name.as_str()),
                load_multiple: pool.load_multiple,
                owner: Owner::new(short_hash(self.own.as_str()), self.rules(pool)),
            });
        if entry.load_multiple != pool.load_multiple {
            entry.load_multiple = pool.load_multiple;
            entry.owner.set_rules(self.rules(pool));
        }
        entry.owner.set_weights(weights.clone());
        entry.owner.apply_view(hosts, &owned, &others, now_ms);
    }

    fn rules(&self, pool: &Pool) -> SlotRules {
        SlotRules {
            settle_ms: self.settle_ms,
            // An engine's weight is the number of its slots.
            capacity: 1.0,
            ..SlotRules::for_load_multiple(pool.load_multiple)
        }
    }

    /// Answers an ask; holds it for a while if the engine is at its bound.
    pub(crate) async fn ask(&self, ask: SlotRequest, holder: &HostId) -> SlotReply {
        let holder = holder_of(holder, ask.organisation);
        let give_up_at = Instant::now() + Duration::from_millis(ask.wait_ms.into());
        loop {
            let (answer, freed) = self.ask_now(ask, holder);
            let SlotReply::AtBound { .. } = answer else {
                return answer;
            };
            let Some(freed) = freed else {
                return answer;
            };
            if tokio::time::timeout_at(give_up_at, freed.notified())
                .await
                .is_err()
            {
                return answer;
            }
        }
    }

    fn ask_now(
        &self,
        ask: SlotRequest,
        holder: SlotHolder<HostKey>,
    ) -> (SlotReply, Option<Arc<Notify>>) {
        let engine = ask.engine;
        let now_ms = self.now_ms();
        let mut state = self.state();
        let Some(entry) = state.engines.get(&engine).cloned() else {
            return (SlotReply::NotOwner, None);
        };
        if entry.leaving {
            return (SlotReply::Leaving, None);
        }
        let Some(pool) = state.pools.get_mut(&entry.pool) else {
            return (SlotReply::NotOwner, None);
        };
        if ask.sampled_mean_thousandths > 0 {
            pool.owner
                .record_sample(f64::from(ask.sampled_mean_thousandths) / 1_000.0);
        }
        let answer = match pool.owner.request_slot(&engine, holder, now_ms) {
            Some(SlotDecision::Granted { load }) => SlotReply::Granted { in_progress: load },
            Some(SlotDecision::AtBound { load }) => SlotReply::AtBound { in_progress: load },
            Some(SlotDecision::OverShare { load }) => SlotReply::OverShare { in_progress: load },
            Some(SlotDecision::Settling) | None => SlotReply::NotOwner,
        };
        (answer, Some(entry.freed))
    }

    /// Takes slots back, and wakes asks that wait for them.
    pub(crate) fn give_back(&self, returns: &[SlotCount], host: &HostId) {
        let now_ms = self.now_ms();
        let mut state = self.state();
        for SlotCount {
            engine,
            organisation,
            count,
        } in returns
        {
            let holder = holder_of(host, *organisation);
            let Some((owner, freed)) = state.owner_of(*engine) else {
                continue;
            };
            owner.return_slots(engine, &holder, *count, now_ms);
            (0..*count).for_each(|_| freed.notify_one());
        }
    }

    /// A router opened its connection anew: what it held before is void, and
    /// it tells next what it holds.
    pub(crate) fn holder_anew(&self, holder: &HostId) {
        let holder = short_hash(holder.as_str());
        let now_ms = self.now_ms();
        for pool in self.state().pools.values_mut() {
            pool.owner.remove_host(&holder, now_ms);
        }
    }

    /// Takes over what a router holds.
    pub(crate) fn adopt(&self, held: &[SlotCount], host: &HostId) {
        let now_ms = self.now_ms();
        let mut state = self.state();
        for SlotCount {
            engine,
            organisation,
            count,
        } in held
        {
            let holder = holder_of(host, *organisation);
            if let Some((owner, _)) = state.owner_of(*engine) {
                owner.adopt(engine, holder, *count, now_ms);
            }
        }
    }

    /// Takes an engine's report.
    pub(crate) fn report(&self, engine: &Endpoint, in_progress: u32) {
        let key = MemberHash::of(engine.name.as_str()).0;
        let now_ms = self.now_ms();
        if let Some((owner, _)) = self.state().owner_of(key) {
            owner.report(&key, in_progress, now_ms);
        }
    }

    /// The freshest totals of all pools, for a round of the exchange.
    pub(crate) fn loads(&self) -> Vec<HostPoolLoad> {
        let now_ms = self.now_ms();
        let mut state = self.state();
        let mut loads = Vec::new();
        for pool in state.pools.values_mut() {
            let entries = pool.owner.load_table(now_ms).newest(now_ms, ENTRIES_MAX);
            loads.extend(entries.into_iter().map(|entry| HostPoolLoad {
                pool: pool.short,
                host: entry.host,
                in_progress: entry.load.in_progress,
                weight: entry.load.weight as u32,
                age_ms: entry.age_ms as u32,
            }));
        }
        loads
    }

    /// Merges totals that a peer sent.
    pub(crate) fn merge(&self, loads: &[HostPoolLoad]) {
        let now_ms = self.now_ms();
        for pool in self.state().pools.values_mut() {
            let of_pool = loads.iter().filter(|load| load.pool == pool.short);
            let entries: Vec<_> = of_pool
                .map(|load| LoadEntry {
                    host: load.host,
                    load: HostLoad {
                        in_progress: load.in_progress,
                        weight: load.weight.into(),
                    },
                    age_ms: load.age_ms.into(),
                })
                .collect();
            pool.owner.load_table(now_ms).merge(&entries, now_ms);
        }
    }

    /// The load of each engine that this host owns, for metrics.
    pub(crate) fn engine_loads(&self) -> Vec<(EndpointId, u32)> {
        let state = self.state();
        let load = |(key, entry): (&EngineKey, &EngineEntry)| {
            let owner = &state.pools.get(&entry.pool)?.owner;
            owner.load(key).map(|load| (entry.name.clone(), load))
        };
        state.engines.iter().filter_map(load).collect()
    }

    /// Mean load by unit of weight of each pool, for metrics.
    pub(crate) fn means(&self) -> Vec<(PoolId, f64)> {
        let now_ms = self.now_ms();
        let mut state = self.state();
        let means = state.pools.iter_mut();
        means
            .map(|(name, pool)| (name.clone(), pool.owner.load_table(now_ms).mean(now_ms)))
            .collect()
    }
}

impl State {
    fn owner_of(&mut self, engine: EngineKey) -> Option<(&mut Owner<HostKey, EngineKey>, &Notify)> {
        let entry = self.engines.get(&engine)?;
        let pool = self.pools.get_mut(&entry.pool)?;
        Some((&mut pool.owner, &entry.freed))
    }

    fn take_engines(&mut self, endpoints: &[Endpoint]) {
        let mut before = std::mem::take(&mut self.engines);
        for endpoint in endpoints
            .iter()
            .filter(|e| self.pools.contains_key(&e.pool))
        {
            let key = MemberHash::of(endpoint.name.as_str()).0;
            let freed = before
                .remove(&key)
                .map(|entry| entry.freed)
                .unwrap_or_default();
            let leaving = endpoint.state == HostState::Leaving;
            let entry = EngineEntry {
                name: endpoint.name.clone(),
                pool: endpoint.pool.clone(),
                leaving,
                freed,
            };
            self.engines.insert(key, entry);
        }
    }
}
