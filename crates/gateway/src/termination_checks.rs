//! Checks whether an endpoint has terminated after a connection broke.
//!
//! A broken connection is no proof: live endpoints reset connections as well. A
//! terminated one refuses new connections.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use tokio::net::TcpStream;
use tokio::sync::OnceCell;
use tokio::time::Instant;

/// Time without an accepted connection after which an endpoint counts as terminated.
const ACCEPT_TIMEOUT: Duration = Duration::from_millis(100);
/// How long a termination is remembered. A live endpoint that was too full to accept is
/// checked again afterwards.
const TERMINATION_RETENTION: Duration = Duration::from_millis(500);
/// Maximum number of remembered checks.
const MAX_CHECKS: usize = 1_024;

/// What a check found, and when.
#[derive(Clone, Copy, Debug)]
struct CheckResult {
    has_terminated: bool,
    at: Instant,
}

impl CheckResult {
    fn is_expired(&self) -> bool {
        !self.has_terminated || self.at.elapsed() >= TERMINATION_RETENTION
    }
}

type Check = Arc<OnceCell<CheckResult>>;

/// Running checks and recent terminations.
#[derive(Debug, Default)]
pub(crate) struct TerminationChecks {
    by_start: Mutex<HashMap<u32, Check>>,
}

impl TerminationChecks {
    /// Whether the endpoint with this start hash has terminated. Concurrent checks share
    /// one connection.
    pub(crate) async fn has_terminated(&self, start: u32, address: SocketAddr) -> bool {
        let check = self.check_for(start);
        check.get_or_init(|| probe(address)).await.has_terminated
    }

    fn check_for(&self, start: u32) -> Check {
        let mut checks = self.by_start.lock().unwrap_or_else(PoisonError::into_inner);
        if checks.len() >= MAX_CHECKS {
            checks.clear();
        }
        let check = checks.entry(start).or_default();
        if check.get().is_some_and(CheckResult::is_expired) {
            *check = Check::default();
        }
        check.clone()
    }
}

async fn probe(address: SocketAddr) -> CheckResult {
    let connecting = TcpStream::connect(address);
    let connected = tokio::time::timeout(ACCEPT_TIMEOUT, connecting).await;
    CheckResult {
        has_terminated: !matches!(connected, Ok(Ok(_))),
        at: Instant::now(),
    }
}
