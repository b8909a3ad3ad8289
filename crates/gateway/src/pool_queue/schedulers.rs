//! The pools that this host schedules.

use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;

use chalkrock_core::PoolId;
use chalkrock_core::rendezvous::MemberHash;
use chalkrock_routing::{PoolScheduler, QueueStatus, SlotAsk, SlotReply, StoreVersion};

use crate::shared::Shared;

/// Time without an ask after which a pool's scheduler is dropped. Longer than a lease.
const IDLE_TIMEOUT_MS: u64 = 5_000;
/// How long the state of a pool's endpoints is reused.
const ENDPOINTS_MAX_AGE_MS: u64 = 20;

/// A pool that this host schedules.
struct ScheduledPool {
    name: PoolId,
    scheduler: PoolScheduler<SocketAddr>,
    asked_at_ms: u64,
    endpoints_at_ms: Option<u64>,
    /// Hosts to reply to.
    asking: BTreeSet<SocketAddr>,
}

/// A reply and the host that it is for.
pub(super) struct AddressedReply {
    pub(super) to: SocketAddr,
    pub(super) reply: SlotReply,
}

/// The schedulers on this host, by the short hash of their pool.
pub(super) struct Schedulers {
    epoch: u64,
    pools: HashMap<u32, ScheduledPool>,
    /// Names of all pools with endpoints, as of a version of the endpoint list.
    names: HashMap<u32, PoolId>,
    names_version: Option<StoreVersion>,
}

impl Schedulers {
    pub(super) fn new(epoch: u64) -> Self {
        Self {
            epoch,
            pools: HashMap::new(),
            names: HashMap::new(),
            names_version: None,
        }
    }

    pub(super) fn contains(&self, pool: u32) -> bool {
        self.pools.contains_key(&pool)
    }

    /// Applies an ask. One for a pool without endpoints stays without a reply.
    pub(super) fn ask(&mut self, shared: &Shared, from: SocketAddr, ask: SlotAsk, now_ms: u64) {
        let hash = ask.pool;
        if !self.pools.contains_key(&hash) {
            let Some(name) = self.pool_name(shared, hash) else {
                return;
            };
            let scheduled = ScheduledPool {
                name,
                scheduler: PoolScheduler::new(self.epoch, now_ms),
                asked_at_ms: now_ms,
                endpoints_at_ms: None,
                asking: BTreeSet::new(),
            };
            self.pools.insert(hash, scheduled);
        }
        let Some(scheduled) = self.pools.get_mut(&hash) else {
            return;
        };
        scheduled.asked_at_ms = now_ms;
        scheduled.update_endpoints(shared, now_ms);
        scheduled.scheduler.ask(from, ask, now_ms);
        scheduled.asking.insert(from);
    }

    /// Whether a pool has endpoints.
    pub(super) fn knows(&mut self, shared: &Shared, pool: u32) -> bool {
        self.pools.contains_key(&pool) || self.pool_name(shared, pool).is_some()
    }

    fn pool_name(&mut self, shared: &Shared, hash: u32) -> Option<PoolId> {
        let fleet = shared.fleet();
        let version = fleet.endpoints_version;
        if self.names_version != Some(version) {
            let pools = fleet.endpoints.listed().map(|member| &member.endpoint.pool);
            let names = pools.map(|pool| (MemberHash::of(pool.as_str()).short(), pool.clone()));
            self.names = names.collect();
            self.names_version = Some(version);
        }
        self.names.get(&hash).cloned()
    }

    /// Grants and rejects in all pools with new asks or a due event. Returns the replies.
    pub(super) fn schedule(&mut self, shared: &Shared, now_ms: u64) -> Vec<AddressedReply> {
        let mut replies = Vec::new();
        for scheduled in self.pools.values_mut() {
            let event_ms = scheduled.scheduler.next_event_ms(now_ms);
            let is_due = event_ms.is_some_and(|event_ms| event_ms <= now_ms);
            if !is_due && scheduled.asking.is_empty() {
                continue;
            }
            scheduled.update_endpoints(shared, now_ms);
            let mut recipients = std::mem::take(&mut scheduled.asking);
            recipients.extend(scheduled.scheduler.schedule(now_ms));
            for to in recipients {
                if let Some(reply) = scheduled.scheduler.reply(&to, now_ms) {
                    replies.push(AddressedReply { to, reply });
                }
            }
        }
        let is_in_use =
            |pool: &ScheduledPool| now_ms.saturating_sub(pool.asked_at_ms) < IDLE_TIMEOUT_MS;
        self.pools.retain(|_, pool| is_in_use(pool));
        replies
    }

    /// When the next event of a pool is due.
    pub(super) fn next_event_ms(&self, now_ms: u64) -> Option<u64> {
        let pools = self.pools.values();
        let events = pools.filter_map(|pool| pool.scheduler.next_event_ms(now_ms));
        events.min()
    }

    pub(super) fn statuses(&self, now_ms: u64) -> HashMap<PoolId, QueueStatus> {
        let pools = self.pools.values();
        let statuses = pools.map(|pool| (pool.name.clone(), pool.scheduler.status(now_ms)));
        statuses.collect()
    }
}

impl ScheduledPool {
    fn update_endpoints(&mut self, shared: &Shared, now_ms: u64) {
        let is_recent = |at_ms: u64| now_ms.saturating_sub(at_ms) < ENDPOINTS_MAX_AGE_MS;
        if self.endpoints_at_ms.is_some_and(is_recent) {
            return;
        }
        self.endpoints_at_ms = Some(now_ms);
        let endpoints = shared.fleet().schedulable_endpoints(&self.name, now_ms);
        self.scheduler.set_endpoints(&endpoints, now_ms);
    }
}
