//! One pull from each host at a time.
//!
//! Several tasks pull: at the start, when another host knows more, and after a suspension.
//! After a stall all of them are due at once, and each would transfer the same changes.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};

use tokio::sync::OwnedMutexGuard;

/// The pulls in progress.
#[derive(Debug, Default)]
pub(crate) struct PullTurns(Mutex<HashMap<SocketAddr, Arc<tokio::sync::Mutex<()>>>>);

/// The only pull from a host, until dropped.
#[derive(Debug)]
pub(crate) struct PullTurn {
    _guard: OwnedMutexGuard<()>,
}

impl PullTurns {
    /// Waits until no other pull from a host is in progress. A pull ends when no bytes arrive for
    /// a while, which bounds the wait.
    pub(crate) async fn wait(&self, from: SocketAddr) -> PullTurn {
        let turn = {
            let mut turns = self.0.lock().unwrap_or_else(PoisonError::into_inner);
            turns.retain(|_, turn| Arc::strong_count(turn) > 1);
            turns.entry(from).or_default().clone()
        };
        PullTurn {
            _guard: turn.lock_owned().await,
        }
    }
}
