//! Grants slots of the engines that this host owns, with one owner per pool.

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

/// Maximum number of load entries per pool in an exchange message.
const MAX_ENTRIES: usize = 16;

/// Low half of the hash of a host's name.
type HostKey = u32;
/// Hash of an engine's name.
type EngineKey = u64;

fn short_hash(name: &str) -> u32 {
    MemberHash::of(name).short()
}

fn organisation_weights(config: &FleetConfig) -> Weights {
    let weight = |organisation: &Organisation| {
        (
            OrganisationKey(short_hash(organisation.name.as_str())),
            organisation.weight,
        )
    };
    Weights::new(config.organisations.iter().map(weight).collect())
}

fn slot_holder(host: &HostId, organisation: u32) -> SlotHolder<HostKey> {
    SlotHolder {
        host: short_hash(host.as_str()),
        organisation: OrganisationKey(organisation),
    }
}

/// The slots that this host grants.
pub(crate) struct Slots {
    local: HostId,
    settle_ms: u64,
    started_at: Instant,
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    pools: HashMap<PoolId, PoolSlots>,
    /// Engines in the view.
    engines: HashMap<EngineKey, EngineEntry>,
}

struct PoolSlots {
    hash: u32,
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
    pub(crate) fn new(local: HostId, settle_ms: u64) -> Self {
        Self {
            local,
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

    /// Applies a new view. Returns the endpoints that this host owns.
    pub(crate) fn apply_view(&self, view: &AgentView) -> Vec<Endpoint> {
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
        let local = names.iter().position(|name| *name == self.local.as_str());
        let is_owned = |endpoint: &&Endpoint| {
            let owner = owner_index(MemberHash::of(endpoint.name.as_str()), &hashes);
            owner.is_some() && owner == local
        };
        let keys: Vec<HostKey> = names.iter().map(|name| short_hash(name)).collect();
        let endpoints = &hosts.list.endpoints;
        let weights = organisation_weights(&view.parsed);
        let mut state = self.state();
        for pool in &view.parsed.pools {
            if matches!(pool.kind, PoolKind::Engines { .. }) {
                self.apply_pool(&mut state, pool, &weights, endpoints, &keys, &is_owned);
            }
        }
        state.update_engines(endpoints);
        endpoints.iter().filter(is_owned).cloned().collect()
    }

    fn apply_pool(
        &self,
        state: &mut State,
        pool: &Pool,
        weights: &Weights,
        endpoints: &[Endpoint],
        hosts: &[HostKey],
        is_owned: &impl Fn(&&Endpoint) -> bool,
    ) {
        let now_ms = self.now_ms();
        let live = endpoints
            .iter()
            .filter(|e| e.pool == pool.name && e.state == HostState::Live);
        let (owned, others): (Vec<_>, Vec<_>) = live.partition(is_owned);
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
                hash: short_hash(pool.name.as_str()),
                load_multiple: pool.load_multiple,
                owner: Owner::new(short_hash(self.local.as_str()), self.rules(pool)),
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
            // An engine's weight is its number of slots.
            capacity: 1.0,
            ..SlotRules::for_load_multiple(pool.load_multiple)
        }
    }

    /// Requests a slot. Waits up to `wait_ms` if the engine is at its bound.
    pub(crate) async fn request_slot(&self, ask: SlotRequest, holder: &HostId) -> SlotReply {
        let holder = slot_holder(holder, ask.organisation);
        let deadline = Instant::now() + Duration::from_millis(ask.wait_ms.into());
        loop {
            let (answer, freed) = self.try_request(ask, holder);
            let SlotReply::AtBound { .. } = answer else {
                return answer;
            };
            let Some(freed) = freed else {
                return answer;
            };
            if tokio::time::timeout_at(deadline, freed.notified())
                .await
                .is_err()
            {
                return answer;
            }
        }
    }

    fn try_request(
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

    /// Takes slots back and wakes waiting requests.
    pub(crate) fn return_slots(&self, returns: &[SlotCount], host: &HostId) {
        let now_ms = self.now_ms();
        let mut state = self.state();
        for SlotCount {
            engine,
            organisation,
            count,
        } in returns
        {
            let holder = slot_holder(host, *organisation);
            let Some((owner, freed)) = state.owner(*engine) else {
                continue;
            };
            owner.return_slots(engine, &holder, *count, now_ms);
            (0..*count).for_each(|_| freed.notify_one());
        }
    }

    /// Drops the slots of a router that reconnected, which then reports those that
    /// it still holds.
    pub(crate) fn reset_holder(&self, holder: &HostId) {
        let holder = short_hash(holder.as_str());
        let now_ms = self.now_ms();
        for pool in self.state().pools.values_mut() {
            pool.owner.remove_host(&holder, now_ms);
        }
    }

    /// Records slots that a router holds.
    pub(crate) fn adopt_slots(&self, held: &[SlotCount], host: &HostId) {
        let now_ms = self.now_ms();
        let mut state = self.state();
        for SlotCount {
            engine,
            organisation,
            count,
        } in held
        {
            let holder = slot_holder(host, *organisation);
            if let Some((owner, _)) = state.owner(*engine) {
                owner.adopt(engine, holder, *count, now_ms);
            }
        }
    }

    /// Records an engine's reported load.
    pub(crate) fn record_load(&self, engine: &Endpoint, in_progress: u32) {
        let key = MemberHash::of(engine.name.as_str()).0;
        let now_ms = self.now_ms();
        if let Some((owner, _)) = self.state().owner(key) {
            owner.report(&key, in_progress, now_ms);
        }
    }

    /// Returns the newest load entries of all pools, for an exchange.
    pub(crate) fn loads(&self) -> Vec<HostPoolLoad> {
        let now_ms = self.now_ms();
        let mut state = self.state();
        let mut loads = Vec::new();
        for pool in state.pools.values_mut() {
            let entries = pool.owner.load_table(now_ms).newest(now_ms, MAX_ENTRIES);
            loads.extend(entries.into_iter().map(|entry| HostPoolLoad {
                pool: pool.hash,
                host: entry.host,
                in_progress: entry.load.in_progress,
                weight: entry.load.weight as u32,
                age_ms: entry.age_ms as u32,
            }));
        }
        loads
    }

    /// Merges load entries from a peer.
    pub(crate) fn merge_loads(&self, loads: &[HostPoolLoad]) {
        let now_ms = self.now_ms();
        for pool in self.state().pools.values_mut() {
            let pool_loads = loads.iter().filter(|load| load.pool == pool.hash);
            let entries: Vec<_> = pool_loads
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

    /// Returns the load of each owned engine.
    pub(crate) fn engine_loads(&self) -> Vec<(EndpointId, u32)> {
        let state = self.state();
        let load = |(key, entry): (&EngineKey, &EngineEntry)| {
            let owner = &state.pools.get(&entry.pool)?.owner;
            owner.load(key).map(|load| (entry.name.clone(), load))
        };
        state.engines.iter().filter_map(load).collect()
    }

    /// Returns the mean load per unit of weight of each pool.
    pub(crate) fn mean_loads(&self) -> Vec<(PoolId, f64)> {
        let now_ms = self.now_ms();
        let mut state = self.state();
        let means = state.pools.iter_mut();
        means
            .map(|(name, pool)| (name.clone(), pool.owner.load_table(now_ms).mean(now_ms)))
            .collect()
    }
}

impl State {
    fn owner(&mut self, engine: EngineKey) -> Option<(&mut Owner<HostKey, EngineKey>, &Notify)> {
        let entry = self.engines.get(&engine)?;
        let pool = self.pools.get_mut(&entry.pool)?;
        Some((&mut pool.owner, &entry.freed))
    }

    fn update_engines(&mut self, endpoints: &[Endpoint]) {
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
