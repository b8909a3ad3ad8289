//! Finds out whether an endpoint that broke off has ended.
//!
//! A broken connection alone does not tell: endpoints cut answers off and reset
//! connections while they live. One that has ended refuses new connections.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::net::TcpStream;
use tokio::sync::OnceCell;

/// How long a live endpoint may take to accept: round trips between zones take a
/// few milliseconds. One that says nothing for this long counts as ended.
const ACCEPTS_WITHIN: Duration = Duration::from_millis(100);
/// Ended endpoints that are remembered, so that each is asked once.
const ENDED_MAX: usize = 1_024;

/// Checks that run, and endpoints that were found to have ended.
#[derive(Debug, Default)]
pub(crate) struct EndChecks {
    by_start: Mutex<HashMap<u32, Arc<OnceCell<bool>>>>,
}

impl EndChecks {
    /// Whether an endpoint has ended, told by a hash of its start. All that ask at
    /// once open one connection.
    pub(crate) async fn has_ended(&self, start: u32, address: SocketAddr) -> bool {
        let check = self.check_of(start);
        let has_ended = *check.get_or_init(|| refuses(address)).await;
        if !has_ended {
            // It may end later.
            self.checks().remove(&start);
        }
        has_ended
    }

    fn check_of(&self, start: u32) -> Arc<OnceCell<bool>> {
        let mut checks = self.checks();
        if checks.len() >= ENDED_MAX {
            checks.clear();
        }
        checks.entry(start).or_default().clone()
    }

    fn checks(&self) -> MutexGuard<'_, HashMap<u32, Arc<OnceCell<bool>>>> {
        self.by_start.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

async fn refuses(address: SocketAddr) -> bool {
    let connecting = TcpStream::connect(address);
    !matches!(
        tokio::time::timeout(ACCEPTS_WITHIN, connecting).await,
        Ok(Ok(_))
    )
}
