//! The requests of this host that wait for slots, by pool.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use chalkrock_core::PoolId;
use chalkrock_core::rendezvous::MemberHash;
use chalkrock_routing::{PoolUse, QueueStatus, TicketId};
use tokio::sync::{Notify, oneshot};

use crate::pool_queue::waiting::{Decided, Decision, Lease, Waiting, WaitingPool};

/// How long the use of a scarce pool's slots is reused: a quarter of the interval of
/// reports.
const USE_MAX_AGE_MS: u64 = 50;
/// The same for a pool that is not scarce. Hosts and slots change slowly.
const PLENTY_MAX_AGE_MS: u64 = 1_000;

/// A request that asks for a slot.
#[derive(Debug)]
pub(crate) struct NewRequest {
    /// Priority, 0 the most urgent.
    pub(crate) rank: u8,
    /// Short hash of its organisation; 0 without one.
    pub(crate) organisation: u32,
    /// Latest start to meet its objective.
    pub(crate) start_by_ms: u64,
    pub(crate) work_ms: u32,
    pub(crate) fingerprint: u64,
    /// Endpoints that it must not be granted, by short hash.
    pub(crate) tried: Vec<u32>,
    /// A granted slot that it did not use, to give back.
    pub(crate) unused: Option<Lease>,
    /// Whether it was not sent or granted before.
    pub(crate) is_first: bool,
    /// A random number in [0, 1) for the gate of its organisation.
    pub(crate) draw: f64,
    /// Another one for its return time.
    pub(crate) spread_draw: f64,
}

/// Why a request may not wait.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum WaitRefusal {
    /// Too many requests wait.
    Full { retry_after_ms: Option<u64> },
    /// Its organisation uses more than its share of the pool.
    OverShare {
        admit_permille: u16,
        retry_after_ms: u64,
    },
}

/// The outcome of asking for a slot.
#[derive(Debug)]
pub(crate) enum Entry {
    /// The request is placed without a scheduler.
    NotQueued,
    Refused(WaitRefusal),
    Waits(WaitGuard),
}

/// A change of whether a pool is contended.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct ContentionChange {
    pub(crate) pool: PoolId,
    pub(crate) is_contended: bool,
    pub(crate) pool_use: PoolUse,
}

/// A waiting request; dropping it takes the request back.
#[derive(Debug)]
pub(crate) struct WaitGuard {
    queues: Arc<PoolQueues>,
    pool: PoolId,
    ticket: TicketId,
    decision: oneshot::Receiver<Decision>,
}

impl WaitGuard {
    /// Waits for the decision.
    pub(crate) async fn decision(&mut self) -> Decision {
        (&mut self.decision).await.unwrap_or(Decision::Unscheduled)
    }
}

impl Drop for WaitGuard {
    fn drop(&mut self) {
        self.queues.withdraw(&self.pool, self.ticket);
    }
}

/// A pool as an operator sees it.
#[derive(Clone, Debug)]
pub(crate) struct PoolQueueView {
    pub(crate) pool: PoolId,
    pub(crate) is_contended: bool,
    pub(crate) waiting: usize,
    pub(crate) held: usize,
    pub(crate) scheduler: Option<SocketAddr>,
}

/// The queues of this host.
#[derive(Debug, Default)]
pub(crate) struct PoolQueues {
    /// Whether the task that exchanges slots runs.
    is_exchanging: AtomicBool,
    pools: Mutex<HashMap<PoolId, WaitingPool>>,
    /// State of the pools that this host schedules.
    scheduled: Mutex<HashMap<PoolId, QueueStatus>>,
    /// Wakes the task that exchanges slots.
    pub(super) changed: Notify,
}

impl PoolQueues {
    pub(super) fn pools(&self) -> MutexGuard<'_, HashMap<PoolId, WaitingPool>> {
        self.pools.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(super) fn begin_exchange(&self) {
        self.is_exchanging.store(true, Ordering::Relaxed);
    }

    /// Whether requests of a pool wait for slots. `determine_use` returns `None` for a pool
    /// whose requests are placed in another way.
    pub(crate) fn is_contended(
        &self,
        pool: &PoolId,
        determine_use: impl FnOnce() -> Option<PoolUse>,
        now_ms: u64,
    ) -> (bool, Option<ContentionChange>) {
        if !self.is_exchanging.load(Ordering::Relaxed) {
            return (false, None);
        }
        let is_recent = |known: &WaitingPool| {
            let is_scarce = known.last_use.is_some_and(|known| known.is_scarce());
            let max_age_ms = if is_scarce {
                USE_MAX_AGE_MS
            } else {
                PLENTY_MAX_AGE_MS
            };
            now_ms.saturating_sub(known.used_at_ms) < max_age_ms
        };
        let mut pools = self.pools();
        if !pools.get(pool).is_some_and(is_recent) {
            // Not under this lock, which all requests take.
            drop(pools);
            let pool_use = determine_use();
            pools = self.pools();
            let known = pools.entry(pool.clone()).or_insert_with(|| {
                let hash = MemberHash::of(pool.as_str()).short();
                WaitingPool::new(pool.clone(), hash)
            });
            known.used_at_ms = now_ms;
            known.last_use = pool_use;
        }
        let Some(waiting) = pools.get_mut(pool) else {
            return (false, None);
        };
        let Some(last_use) = waiting.last_use else {
            return (false, None);
        };
        let pool_use = PoolUse {
            has_waiting: !waiting.waiting.is_empty(),
            ..last_use
        };
        let is_contended = waiting.contention.update(&pool_use, now_ms);
        let was_contended = std::mem::replace(&mut waiting.was_contended, is_contended);
        let change = (was_contended != is_contended).then(|| ContentionChange {
            pool: pool.clone(),
            is_contended,
            pool_use,
        });
        (is_contended, change)
    }

    /// Records that a full endpoint of a pool refused a request.
    pub(crate) fn record_refusal(&self, pool: &PoolId, now_ms: u64) {
        let mut pools = self.pools();
        let Some(waiting) = pools.get_mut(pool) else {
            return;
        };
        if waiting
            .last_use
            .is_some_and(|pool_use| pool_use.is_scarce())
        {
            waiting.contention.record_refusal(now_ms);
        }
    }

    /// Lets a request of a contended pool wait for a slot.
    pub(crate) fn enter(
        self: &Arc<Self>,
        pool: &PoolId,
        mut request: NewRequest,
        now_ms: u64,
    ) -> Entry {
        let mut pools = self.pools();
        let Some(waiting) = pools.get_mut(pool) else {
            return Entry::NotQueued;
        };
        if waiting.link.is_lost(now_ms) {
            // Keeps looking for a scheduler.
            waiting.link.record_change();
            self.changed.notify_one();
            return Entry::NotQueued;
        }
        if request.is_first
            && !waiting.take_return(request.fingerprint, now_ms)
            && let Some(gate) = waiting.gate(request.organisation, now_ms)
            && request.draw >= f64::from(gate.admit_permille) / 1_000.0
        {
            return Entry::Refused(WaitRefusal::OverShare {
                admit_permille: gate.admit_permille,
                retry_after_ms: spread(u64::from(gate.retry_after_ms), request.spread_draw),
            });
        }
        let (has_room, displaced) = waiting.make_room(request.rank, request.organisation);
        let return_ms = waiting.last_return_ms(now_ms);
        let retry_after_ms = return_ms.map(|ms| spread(ms, request.spread_draw));
        if !has_room {
            return Entry::Refused(WaitRefusal::Full { retry_after_ms });
        }
        let (sender, decision) = oneshot::channel();
        let unused = request.unused.as_mut().map(|lease| {
            lease.is_given_back = true;
            lease.ticket
        });
        let added = Waiting {
            rank: request.rank,
            organisation: request.organisation,
            start_by_ms: request.start_by_ms,
            work_ms: request.work_ms,
            fingerprint: request.fingerprint,
            tried: request.tried,
            decision: sender,
        };
        let ticket = waiting.add(added, unused);
        drop(pools);
        if let Some(displaced) = displaced {
            send_all([Decided {
                to: displaced.decision,
                decision: Decision::Displaced { retry_after_ms },
            }]);
        }
        self.changed.notify_one();
        Entry::Waits(WaitGuard {
            queues: self.clone(),
            pool: pool.clone(),
            ticket,
            decision,
        })
    }

    /// When a request that the scheduler did not reject may return, from now.
    pub(crate) fn return_ms(&self, pool: &PoolId, draw: f64, now_ms: u64) -> Option<u64> {
        let return_ms = self.pools().get(pool)?.last_return_ms(now_ms)?;
        Some(spread(return_ms, draw))
    }

    /// Takes back a request that still waits.
    fn withdraw(&self, pool: &PoolId, ticket: TicketId) {
        let mut pools = self.pools();
        let Some(waiting) = pools.get_mut(pool) else {
            return;
        };
        // Dropping a decision locks the pools.
        let withdrawn = waiting.waiting.remove(&ticket);
        if withdrawn.is_some() {
            waiting.link.record_change();
            self.changed.notify_one();
        }
    }

    /// Ends the use of a slot.
    pub(super) fn release(&self, pool: &PoolId, ticket: TicketId) {
        let mut pools = self.pools();
        let Some(waiting) = pools.get_mut(pool) else {
            return;
        };
        if waiting.held.remove(&ticket).is_some() {
            waiting.link.record_change();
            self.changed.notify_one();
        }
    }

    pub(super) fn set_scheduled(&self, statuses: HashMap<PoolId, QueueStatus>) {
        let scheduled = self.scheduled.lock();
        *scheduled.unwrap_or_else(PoisonError::into_inner) = statuses;
    }

    /// The pools that this host schedules.
    pub(crate) fn scheduled(&self) -> HashMap<PoolId, QueueStatus> {
        let scheduled = self.scheduled.lock();
        scheduled.unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// The pools whose requests this host has queued.
    pub(crate) fn views(&self, now_ms: u64) -> Vec<PoolQueueView> {
        let pools = self.pools();
        let scarce = pools.values().filter(|waiting| {
            let pool_use = waiting.last_use;
            pool_use.is_some_and(|pool_use| pool_use.is_scarce()) || waiting.has_entries()
        });
        let views = scarce.map(|waiting| PoolQueueView {
            pool: waiting.name.clone(),
            is_contended: waiting.contention.is_contended(now_ms),
            waiting: waiting.waiting.len(),
            held: waiting.held.len(),
            scheduler: waiting.link.scheduler().map(|(host, _)| *host),
        });
        views.collect()
    }
}

/// A return time for one of many that share it: between once and twice as late.
fn spread(return_ms: u64, draw: f64) -> u64 {
    return_ms + (return_ms as f64 * draw) as u64
}

/// Sends decisions; one for a caller that has left is dropped.
pub(super) fn send_all(decided: impl IntoIterator<Item = Decided>) {
    for Decided { to, decision } in decided {
        let _caller_may_have_left = to.send(decision);
    }
}
