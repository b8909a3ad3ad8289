//! Finds out whether an endpoint that broke off has ended.
//!
//! A broken connection alone does not tell: endpoints cut answers off and reset
//! connections while they live. One that has ended refuses new connections.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use tokio::net::TcpStream;
use tokio::sync::OnceCell;
use tokio::time::Instant;

/// How long a live endpoint may take to accept: round trips between zones take a
/// few milliseconds. One that says nothing for this long counts as ended.
const ACCEPTS_WITHIN: Duration = Duration::from_millis(100);
/// How long an end is taken for certain. All that runs at an endpoint breaks off at
/// once; one that lives and was too full to accept is asked again after this.
const ENDED_FOR: Duration = Duration::from_millis(500);
/// Ended endpoints that are remembered, so that each is asked once.
const ENDED_MAX: usize = 1_024;

/// What a check found, and when.
#[derive(Clone, Copy, Debug)]
struct Found {
    has_terminated: bool,
    at: Instant,
}

impl Found {
    fn is_over(&self) -> bool {
        !self.has_terminated || self.at.elapsed() >= ENDED_FOR
    }
}

type Check = Arc<OnceCell<Found>>;

/// Checks that run, and endpoints that were found to have ended.
#[derive(Debug, Default)]
pub(crate) struct TerminationChecks {
    by_start: Mutex<HashMap<u32, Check>>,
}

impl TerminationChecks {
    /// Whether an endpoint has ended, told by a hash of its start. All that ask at
    /// once open one connection.
    pub(crate) async fn has_terminated(&self, start: u32, address: SocketAddr) -> bool {
        let check = self.check_of(start);
        check.get_or_init(|| ask(address)).await.has_terminated
    }

    fn check_of(&self, start: u32) -> Check {
        let mut checks = self.by_start.lock().unwrap_or_else(PoisonError::into_inner);
        if checks.len() >= ENDED_MAX {
            checks.clear();
        }
        let check = checks.entry(start).or_default();
        if check.get().is_some_and(Found::is_over) {
            *check = Check::default();
        }
        check.clone()
    }
}

async fn ask(address: SocketAddr) -> Found {
    let connecting = TcpStream::connect(address);
    let connected = tokio::time::timeout(ACCEPTS_WITHIN, connecting).await;
    Found {
        has_terminated: !matches!(connected, Ok(Ok(_))),
        at: Instant::now(),
    }
}
