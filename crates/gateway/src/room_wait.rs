//! Requests that wait on this host for a free slot of endpoints that tolerate few rejections.
//!
//! Such endpoints may hold no waiting requests, so that these wait here, in order of priority
//! and age, for a part of their objective.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use chalkrock_core::PoolId;
use chalkrock_routing::{LineTicket, WaitLine, WaitOrder};
use tokio::sync::Notify;

/// Longest time between two tries; reports of other hosts free slots without a signal.
const TRY_INTERVAL: Duration = Duration::from_millis(20);

/// Waiting requests by pool.
#[derive(Debug, Default)]
pub(crate) struct RoomLines {
    lines: Mutex<HashMap<PoolId, WaitLine>>,
    /// Wakes waiting requests when a request ends or one of them leaves.
    changed: Notify,
}

impl RoomLines {
    /// Takes a place; `None` if too many requests wait on this host.
    pub(crate) fn enter(self: &Arc<Self>, pool: &PoolId, order: WaitOrder) -> Option<RoomPlace> {
        let ticket = self.lines().entry(pool.clone()).or_default().enter(order)?;
        Some(RoomPlace {
            lines: self.clone(),
            pool: pool.clone(),
            ticket,
        })
    }

    /// Wakes waiting requests.
    pub(crate) fn notify(&self) {
        self.changed.notify_waiters();
    }

    fn lines(&self) -> MutexGuard<'_, HashMap<PoolId, WaitLine>> {
        self.lines.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The place of a waiting request; given up when dropped.
#[derive(Debug)]
pub(crate) struct RoomPlace {
    lines: Arc<RoomLines>,
    pool: PoolId,
    ticket: LineTicket,
}

impl RoomPlace {
    /// Waits until something may have changed. Returns whether no other request is before
    /// this one.
    pub(crate) async fn wait_step(&self) -> bool {
        let changed = self.lines.changed.notified();
        let _at_the_latest = tokio::time::timeout(TRY_INTERVAL, changed).await;
        let lines = self.lines.lines();
        let line = lines.get(&self.pool);
        line.is_some_and(|line| line.is_first(&self.ticket))
    }
}

impl Drop for RoomPlace {
    fn drop(&mut self) {
        let mut lines = self.lines.lines();
        if let Some(line) = lines.get_mut(&self.pool) {
            line.leave(&self.ticket);
            if line.is_empty() {
                lines.remove(&self.pool);
            }
        }
        drop(lines);
        self.lines.notify();
    }
}
