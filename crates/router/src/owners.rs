//! Slots of engines: asked of their owners, given back in batches, and told
//! to whoever owns the engine next.

use std::collections::HashMap;
use std::hash::Hash;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use arc_swap::ArcSwapOption;
use chalkrock_core::{LoadSampler, PoolId, SlotResponse};
use chalkrock_proto::{
    AgentApiClient, Hello, Purpose, SlotCount, SlotReply, SlotRequest, Traffic, connect,
};
use tarpc::context;
use tokio::sync::Notify;

use crate::view::{RouterView, ViewEndpoint};

const PART: &str = "router.slots";
/// Slots are given back together after this time. A longer one saves bytes and
/// makes engines look busier than they are: with 20 ms, one caller at a time
/// met engines at their bound, and p99 rose from 1 to 2 ms.
const RETURN_AFTER: Duration = Duration::from_millis(2);
/// Pause before an owner that could not be reached is tried again.
const RECONNECT_PAUSE: Duration = Duration::from_millis(500);

/// Slots of an organisation on an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct SlotKey {
    /// The hash of the engine's name.
    pub(crate) engine: u64,
    /// The low half of the hash of the organisation's name.
    pub(crate) organisation: u32,
}

/// Connections to the agents that own engines, and what is held of them.
pub(crate) struct Owners {
    hello: Hello,
    traffic: Arc<Traffic>,
    ask_timeout: Duration,
    links: Mutex<HashMap<SocketAddr, Arc<Link>>>,
    /// Wakes the task that gives slots back.
    returned: Notify,
    slots: Mutex<HeldSlots>,
    samplers: Mutex<HashMap<PoolId, LoadSampler>>,
}

/// What this router has on engines.
#[derive(Default)]
struct HeldSlots {
    /// Requests in progress, with a slot or without.
    busy: HashMap<u64, u32>,
    /// Slots held.
    held: HashMap<SlotKey, u32>,
    /// Slots to be given back.
    returns: HashMap<SlotKey, u32>,
    /// Owners by the newest view.
    owners: HashMap<u64, SocketAddr>,
}

/// The connection to one agent.
struct Link {
    client: ArcSwapOption<AgentApiClient>,
    connecting: AtomicBool,
    /// The last try to connect failed.
    failed: AtomicBool,
    connected: Notify,
}

/// A request on an engine; dropped at its end.
pub(crate) struct OnEngine {
    owners: Arc<Owners>,
    slot: SlotKey,
    holds_slot: bool,
}

impl Owners {
    pub(crate) fn new(hello: Hello, traffic: Arc<Traffic>, ask_timeout: Duration) -> Arc<Self> {
        Arc::new(Self {
            hello: Hello {
                purpose: Purpose::Slots,
                ..hello
            },
            traffic,
            ask_timeout,
            links: Mutex::default(),
            returned: Notify::new(),
            slots: Mutex::default(),
            samplers: Mutex::default(),
        })
    }

    fn slots(&self) -> MutexGuard<'_, HeldSlots> {
        self.slots.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn link(&self, owner: SocketAddr) -> Arc<Link> {
        let mut links = self.links.lock().unwrap_or_else(PoisonError::into_inner);
        let new = || {
            Arc::new(Link {
                client: ArcSwapOption::empty(),
                connecting: AtomicBool::new(false),
                failed: AtomicBool::new(false),
                connected: Notify::new(),
            })
        };
        links.entry(owner).or_insert_with(new).clone()
    }

    /// Asks an engine's owner for a slot. `None` if there is no owner that
    /// grants: none answers in time, or it has owned the engine too short.
    pub(crate) async fn ask(
        self: &Arc<Self>,
        engine: &ViewEndpoint,
        organisation: u32,
        wait_ms: u64,
    ) -> Option<SlotResponse> {
        let owner = engine.owner?;
        let limit = self.ask_timeout + Duration::from_millis(wait_ms);
        let slot = SlotKey {
            engine: engine.hash.0,
            organisation,
        };
        let ask = SlotRequest {
            engine: slot.engine,
            organisation,
            wait_ms: wait_ms as u16,
            sampled_mean_thousandths: self.sampled_thousandths(&engine.endpoint.pool),
        };
        match tokio::time::timeout(limit, self.ask_owner(owner, ask)).await {
            Ok(Some(SlotReply::Granted { in_progress })) => {
                *self.slots().held.entry(slot).or_insert(0) += 1;
                Some(SlotResponse::Granted { load: in_progress })
            }
            Ok(Some(SlotReply::AtBound { in_progress })) => {
                Some(SlotResponse::AtBound { load: in_progress })
            }
            Ok(Some(SlotReply::OverShare { in_progress })) => {
                Some(SlotResponse::OverShare { load: in_progress })
            }
            Ok(Some(SlotReply::Leaving)) => Some(SlotResponse::Unavailable),
            Ok(Some(SlotReply::NotOwner) | None) => None,
            Err(_) => {
                log::debug!(target: PART, "Owner {owner} does not answer.");
                None
            }
        }
    }

    fn sampled_thousandths(&self, pool: &PoolId) -> u32 {
        let samplers = self.samplers.lock().unwrap_or_else(PoisonError::into_inner);
        let mean = samplers.get(pool).and_then(LoadSampler::mean);
        mean.map_or(0, |mean| (mean * 1_000.0) as u32)
    }

    /// Samples the load that an owner answered of an engine that a chat's
    /// hash picked.
    pub(crate) fn sample(&self, engine: &ViewEndpoint, load: u32) {
        let relative = f64::from(load) / f64::from(engine.endpoint.slots);
        let mut samplers = self.samplers.lock().unwrap_or_else(PoisonError::into_inner);
        samplers
            .entry(engine.endpoint.pool.clone())
            .or_default()
            .record(relative);
    }

    async fn ask_owner(self: &Arc<Self>, owner: SocketAddr, ask: SlotRequest) -> Option<SlotReply> {
        let link = self.link(owner);
        let connected = link.connected.notified();
        if link.client.load().is_none() {
            // An owner that was not reached a moment ago costs no more time.
            if link.failed.load(Ordering::SeqCst) {
                self.connect_later(owner, link.clone());
                return None;
            }
            self.connect_later(owner, link.clone());
            connected.await;
        }
        let client = link.client.load_full()?;
        match client.ask_slot(untraced(), ask).await {
            Ok(Ok(answer)) => Some(answer),
            Ok(Err(error)) => {
                log::warn!(target: PART, "Owner {owner} refused: {error}.");
                None
            }
            Err(error) => {
                log::debug!(target: PART, "Owner {owner} lost: {error}.");
                link.client.store(None);
                None
            }
        }
    }

    /// Connects in a task of its own: an ask that gives up must not end it.
    fn connect_later(self: &Arc<Self>, owner: SocketAddr, link: Arc<Link>) {
        if link.connecting.swap(true, Ordering::SeqCst) {
            return;
        }
        let owners = self.clone();
        tokio::spawn(async move {
            let count = owners.traffic.open(Purpose::Slots);
            match connect(owner, owners.hello.clone(), count).await {
                Ok(client) => {
                    owners.tell_held(&client, owner).await;
                    link.client.store(Some(Arc::new(client)));
                    link.failed.store(false, Ordering::SeqCst);
                    link.connecting.store(false, Ordering::SeqCst);
                    link.connected.notify_waiters();
                }
                Err(error) => {
                    log::debug!(target: PART, "{error}.");
                    link.failed.store(true, Ordering::SeqCst);
                    link.connected.notify_waiters();
                    tokio::time::sleep(RECONNECT_PAUSE).await;
                    link.connecting.store(false, Ordering::SeqCst);
                }
            }
        });
    }

    /// Tells an owner what is held of its engines: it may have restarted.
    async fn tell_held(&self, client: &AgentApiClient, owner: SocketAddr) {
        let held = self.slots().held_of(owner);
        if held.is_empty() {
            return;
        }
        if let Err(error) = client.adopt_slots(context::current(), held).await {
            log::debug!(target: PART, "Owner {owner} not told: {error}.");
        }
    }

    /// Takes a new view over: new owners are told what is held.
    pub(crate) fn take_view(self: &Arc<Self>, view: &RouterView) {
        let moved = self.slots().take_owners(view);
        for (owner, held) in moved {
            let owners = self.clone();
            tokio::spawn(async move { owners.adopt(owner, held).await });
        }
        // Connections stand before the first ask needs them.
        for host in &view.hosts.hosts {
            let link = self.link(host.agent_address);
            if link.client.load().is_none() {
                self.connect_later(host.agent_address, link);
            }
        }
    }

    async fn adopt(self: Arc<Self>, owner: SocketAddr, held: Vec<SlotCount>) {
        let client = self.link(owner).client.load_full();
        // Without a connection the next one begins by telling what is held.
        let Some(client) = client else {
            return;
        };
        if let Err(error) = client.adopt_slots(context::current(), held).await {
            log::debug!(target: PART, "Owner {owner} not told: {error}.");
        }
    }

    /// Gives slots back in batches until dropped.
    pub(crate) async fn return_slots(self: Arc<Self>) {
        loop {
            self.returned.notified().await;
            tokio::time::sleep(RETURN_AFTER).await;
            let batches = self.slots().take_returns();
            for (owner, returns) in batches {
                let Some(client) = self.link(owner).client.load_full() else {
                    continue;
                };
                tokio::spawn(async move {
                    let returned = client.return_slots(untraced(), returns).await;
                    if let Err(error) = returned {
                        log::debug!(target: PART, "Owner {owner} lost slots: {error}.");
                    }
                });
            }
        }
    }

    /// A request goes to an engine, with a slot or without.
    pub(crate) fn enter(self: &Arc<Self>, slot: SlotKey, holds_slot: bool) -> OnEngine {
        *self.slots().busy.entry(slot.engine).or_insert(0) += 1;
        OnEngine {
            owners: self.clone(),
            slot,
            holds_slot,
        }
    }

    /// A slot was granted and is not needed.
    pub(crate) fn give_back(&self, slot: SlotKey) {
        self.slots().give_back(slot);
        self.returned.notify_one();
    }

    /// Requests of this router in progress on each of these engines.
    pub(crate) fn busy_on(&self, engines: &[ViewEndpoint]) -> Vec<u32> {
        let slots = self.slots();
        let busy = |engine: &ViewEndpoint| slots.busy.get(&engine.hash.0).copied().unwrap_or(0);
        engines.iter().map(busy).collect()
    }
}

impl Drop for OnEngine {
    fn drop(&mut self) {
        let mut slots = self.owners.slots();
        decrease(&mut slots.busy, self.slot.engine);
        if self.holds_slot {
            slots.give_back(self.slot);
            self.owners.returned.notify_one();
        }
    }
}

impl HeldSlots {
    fn give_back(&mut self, slot: SlotKey) {
        decrease(&mut self.held, slot);
        *self.returns.entry(slot).or_insert(0) += 1;
    }

    fn held_of(&self, owner: SocketAddr) -> Vec<SlotCount> {
        let of_owner = |slot: &SlotKey| self.owners.get(&slot.engine) == Some(&owner);
        let held = self.held.iter().filter(|(slot, _)| of_owner(slot));
        held.map(|(slot, count)| slot.count(*count)).collect()
    }

    /// Returns by owner. Those of an engine without one are forgotten: its
    /// next owner hears what is held.
    fn take_returns(&mut self) -> HashMap<SocketAddr, Vec<SlotCount>> {
        let mut batches: HashMap<SocketAddr, Vec<SlotCount>> = HashMap::new();
        for (slot, count) in std::mem::take(&mut self.returns) {
            if let Some(owner) = self.owners.get(&slot.engine) {
                batches.entry(*owner).or_default().push(slot.count(count));
            }
        }
        batches
    }

    /// Takes the owners of a view over. Returns what is held of engines that
    /// moved, by new owner. An engine that left the view keeps its owner.
    fn take_owners(&mut self, view: &RouterView) -> HashMap<SocketAddr, Vec<SlotCount>> {
        let mut moved_to = HashMap::new();
        for endpoint in view.live.values().flatten() {
            let Some(owner) = endpoint.owner else {
                continue;
            };
            let before = self.owners.insert(endpoint.hash.0, owner);
            if before.is_some_and(|before| before != owner) {
                moved_to.insert(endpoint.hash.0, owner);
            }
        }
        let mut moved: HashMap<SocketAddr, Vec<SlotCount>> = HashMap::new();
        for (slot, count) in &self.held {
            if let Some(owner) = moved_to.get(&slot.engine) {
                moved.entry(*owner).or_default().push(slot.count(*count));
            }
        }
        moved
    }
}

impl SlotKey {
    fn count(self, count: u32) -> SlotCount {
        SlotCount {
            engine: self.engine,
            organisation: self.organisation,
            count,
        }
    }
}

/// A context without trace ids. They would be 27 of an ask's 65 bytes, and
/// asks are most of the control traffic; the router's own span covers the hop.
fn untraced() -> context::Context {
    let mut context = context::current();
    context.trace_context = Default::default();
    context
}

fn decrease<K: Eq + Hash>(counts: &mut HashMap<K, u32>, key: K) {
    if let Some(count) = counts.get_mut(&key) {
        *count -= 1;
        if *count == 0 {
            counts.remove(&key);
        }
    }
}
