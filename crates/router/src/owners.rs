//! Requests engine slots from their owners, returns them in batches and reports
//! held slots to new owners.

use std::collections::HashMap;
use std::hash::Hash;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use arc_swap::ArcSwapOption;
use chalkrock_core::{LoadSampler, PoolId, SlotResponse};
use chalkrock_proto::{
    AgentApiClient, ControlTraffic, Hello, Purpose, SlotCount, SlotReply, SlotRequest, connect,
};
use tarpc::context;
use tokio::sync::Notify;

use crate::view::{RouterView, ViewEndpoint};

const LOG_TARGET: &str = "router.slots";
/// Delay that batches slot returns. A longer one saves traffic but makes engines
/// look busier than they are: at 20 ms, a single caller meets full engines, and p99 rises
/// from 1 to 2 ms.
const RETURN_DELAY: Duration = Duration::from_millis(2);
/// Pause after a failed connection to an owner.
const RECONNECT_PAUSE: Duration = Duration::from_millis(500);

/// Slots of an organisation on an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct SlotKey {
    /// Hash of the engine's name.
    pub(crate) engine: u64,
    /// Low half of the hash of the organisation's name.
    pub(crate) organisation: u32,
}

/// Connections to the agents that own engines, and the slots held.
pub(crate) struct Owners {
    hello: Hello,
    traffic: Arc<ControlTraffic>,
    ask_timeout: Duration,
    links: Mutex<HashMap<SocketAddr, Arc<Link>>>,
    /// Wakes the task that returns slots.
    return_pending: Notify,
    slots: Mutex<HeldSlots>,
    samplers: Mutex<HashMap<PoolId, LoadSampler>>,
}

/// Requests and slots of this router, by engine.
#[derive(Default)]
struct HeldSlots {
    /// Requests in progress, with or without a slot.
    busy: HashMap<u64, u32>,
    /// Slots held.
    held: HashMap<SlotKey, u32>,
    /// Slots to return.
    pending_returns: HashMap<SlotKey, u32>,
    /// Owners in the newest view.
    owners: HashMap<u64, SocketAddr>,
}

/// The connection to one agent.
struct Link {
    client: ArcSwapOption<AgentApiClient>,
    connecting: AtomicBool,
    /// Whether the last connection attempt failed.
    failed: AtomicBool,
    connected: Notify,
}

/// A request in progress on an engine. Dropping it returns its slot.
pub(crate) struct InFlightRequest {
    owners: Arc<Owners>,
    slot: SlotKey,
    holds_slot: bool,
}

impl Owners {
    pub(crate) fn new(
        hello: Hello,
        traffic: Arc<ControlTraffic>,
        ask_timeout: Duration,
    ) -> Arc<Self> {
        Arc::new(Self {
            hello: Hello {
                purpose: Purpose::Slots,
                ..hello
            },
            traffic,
            ask_timeout,
            links: Mutex::default(),
            return_pending: Notify::new(),
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

    /// Requests a slot from an engine's owner. Returns `None` if the owner does
    /// not answer in time or does not grant slots of this engine yet.
    pub(crate) async fn request_slot(
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
        match tokio::time::timeout(limit, self.request_from(owner, ask)).await {
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
                log::debug!(target: LOG_TARGET, "Owner {owner} timed out.");
                None
            }
        }
    }

    fn sampled_thousandths(&self, pool: &PoolId) -> u32 {
        let samplers = self.samplers.lock().unwrap_or_else(PoisonError::into_inner);
        let mean = samplers.get(pool).and_then(LoadSampler::mean);
        mean.map_or(0, |mean| (mean * 1_000.0) as u32)
    }

    /// Records a load sample of an engine selected by hash.
    pub(crate) fn sample(&self, engine: &ViewEndpoint, load: u32) {
        let relative = f64::from(load) / f64::from(engine.endpoint.slots);
        let mut samplers = self.samplers.lock().unwrap_or_else(PoisonError::into_inner);
        samplers
            .entry(engine.endpoint.pool.clone())
            .or_default()
            .record(relative);
    }

    async fn request_from(
        self: &Arc<Self>,
        owner: SocketAddr,
        ask: SlotRequest,
    ) -> Option<SlotReply> {
        let link = self.link(owner);
        let connected = link.connected.notified();
        if link.client.load().is_none() {
            // Does not wait for an owner whose last connection attempt failed.
            if link.failed.load(Ordering::SeqCst) {
                self.spawn_connect(owner, link.clone());
                return None;
            }
            self.spawn_connect(owner, link.clone());
            connected.await;
        }
        let client = link.client.load_full()?;
        match client.ask_slot(untraced_context(), ask).await {
            Ok(Ok(answer)) => Some(answer),
            Ok(Err(error)) => {
                log::warn!(target: LOG_TARGET, "Owner {owner} rejected the request: {error}.");
                None
            }
            Err(error) => {
                log::debug!(target: LOG_TARGET, "Lost connection to owner {owner}: {error}.");
                link.client.store(None);
                None
            }
        }
    }

    /// Connects in a separate task, so that a timed-out request does not cancel it.
    fn spawn_connect(self: &Arc<Self>, owner: SocketAddr, link: Arc<Link>) {
        if link.connecting.swap(true, Ordering::SeqCst) {
            return;
        }
        let owners = self.clone();
        tokio::spawn(async move {
            let count = owners.traffic.new_counter(Purpose::Slots);
            match connect(owner, owners.hello.clone(), count).await {
                Ok(client) => {
                    owners.send_held(&client, owner).await;
                    link.client.store(Some(Arc::new(client)));
                    link.failed.store(false, Ordering::SeqCst);
                    link.connecting.store(false, Ordering::SeqCst);
                    link.connected.notify_waiters();
                }
                Err(error) => {
                    log::debug!(target: LOG_TARGET, "{error}.");
                    link.failed.store(true, Ordering::SeqCst);
                    link.connected.notify_waiters();
                    tokio::time::sleep(RECONNECT_PAUSE).await;
                    link.connecting.store(false, Ordering::SeqCst);
                }
            }
        });
    }

    /// Reports held slots to an owner that may have restarted.
    async fn send_held(&self, client: &AgentApiClient, owner: SocketAddr) {
        let held = self.slots().held_for(owner);
        if held.is_empty() {
            return;
        }
        if let Err(error) = client.adopt_slots(context::current(), held).await {
            log::debug!(target: LOG_TARGET, "Could not report held slots to owner {owner}: {error}.");
        }
    }

    /// Applies a new view and reports held slots to new owners.
    pub(crate) fn apply_view(self: &Arc<Self>, view: &RouterView) {
        let moved = self.slots().update_owners(view);
        for (owner, held) in moved {
            let owners = self.clone();
            tokio::spawn(async move { owners.report_moved(owner, held).await });
        }
        // Connects early, so that the first request does not wait.
        for host in &view.hosts.hosts {
            let link = self.link(host.agent_address);
            if link.client.load().is_none() {
                self.spawn_connect(host.agent_address, link);
            }
        }
    }

    async fn report_moved(self: Arc<Self>, owner: SocketAddr, held: Vec<SlotCount>) {
        let client = self.link(owner).client.load_full();
        // A new connection starts with a report of held slots.
        let Some(client) = client else {
            return;
        };
        if let Err(error) = client.adopt_slots(context::current(), held).await {
            log::debug!(target: LOG_TARGET, "Could not report held slots to owner {owner}: {error}.");
        }
    }

    /// Returns slots in batches until dropped.
    pub(crate) async fn return_slots(self: Arc<Self>) {
        loop {
            self.return_pending.notified().await;
            tokio::time::sleep(RETURN_DELAY).await;
            let batches = self.slots().take_returns();
            for (owner, returns) in batches {
                let Some(client) = self.link(owner).client.load_full() else {
                    continue;
                };
                tokio::spawn(async move {
                    let returned = client.return_slots(untraced_context(), returns).await;
                    if let Err(error) = returned {
                        log::debug!(target: LOG_TARGET, "Could not return slots to owner {owner}: {error}.");
                    }
                });
            }
        }
    }

    /// Counts a request on an engine, with or without a slot.
    pub(crate) fn begin(self: &Arc<Self>, slot: SlotKey, holds_slot: bool) -> InFlightRequest {
        *self.slots().busy.entry(slot.engine).or_insert(0) += 1;
        InFlightRequest {
            owners: self.clone(),
            slot,
            holds_slot,
        }
    }

    /// Returns a granted slot that is not needed.
    pub(crate) fn return_slot(&self, slot: SlotKey) {
        self.slots().return_slot(slot);
        self.return_pending.notify_one();
    }

    /// Returns this router's requests in progress on each engine.
    pub(crate) fn in_progress_on(&self, engines: &[ViewEndpoint]) -> Vec<u32> {
        let slots = self.slots();
        let busy = |engine: &ViewEndpoint| slots.busy.get(&engine.hash.0).copied().unwrap_or(0);
        engines.iter().map(busy).collect()
    }
}

impl Drop for InFlightRequest {
    fn drop(&mut self) {
        let mut slots = self.owners.slots();
        decrement(&mut slots.busy, self.slot.engine);
        if self.holds_slot {
            slots.return_slot(self.slot);
            self.owners.return_pending.notify_one();
        }
    }
}

impl HeldSlots {
    fn return_slot(&mut self, slot: SlotKey) {
        decrement(&mut self.held, slot);
        *self.pending_returns.entry(slot).or_insert(0) += 1;
    }

    fn held_for(&self, owner: SocketAddr) -> Vec<SlotCount> {
        let is_owned = |slot: &SlotKey| self.owners.get(&slot.engine) == Some(&owner);
        let held = self.held.iter().filter(|(slot, _)| is_owned(slot));
        held.map(|(slot, count)| slot.count(*count)).collect()
    }

    /// Takes pending returns, by owner. Drops those of engines without an owner,
    /// as the next owner receives a report of held slots.
    fn take_returns(&mut self) -> HashMap<SocketAddr, Vec<SlotCount>> {
        let mut batches: HashMap<SocketAddr, Vec<SlotCount>> = HashMap::new();
        for (slot, count) in std::mem::take(&mut self.pending_returns) {
            if let Some(owner) = self.owners.get(&slot.engine) {
                batches.entry(*owner).or_default().push(slot.count(count));
            }
        }
        batches
    }

    /// Updates owners from a view. Returns the slots held on engines that moved,
    /// by new owner. An engine that left the view keeps its owner.
    fn update_owners(&mut self, view: &RouterView) -> HashMap<SocketAddr, Vec<SlotCount>> {
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

/// Returns a context without trace ids, which would take 27 of the 65 bytes of a slot
/// request. Slot requests are most of the control traffic; the router's span covers the hop.
fn untraced_context() -> context::Context {
    let mut context = context::current();
    context.trace_context = Default::default();
    context
}

fn decrement<K: Eq + Hash>(counts: &mut HashMap<K, u32>, key: K) {
    if let Some(count) = counts.get_mut(&key) {
        *count -= 1;
        if *count == 0 {
            counts.remove(&key);
        }
    }
}
