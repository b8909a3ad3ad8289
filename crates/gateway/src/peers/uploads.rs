//! Bounds how many hosts are passed much at once.
//!
//! All hosts of a zone learn of new rules from the same one or two, at the same
//! moment, and hosts that start together ask the same few for all they know. If all were answered together each would wait for the last, and the
//! callers of the one that answers with them. A few at a time are served
//! fast, and serve the others.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};

use chalkrock_routing::RulesVersion;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// Hosts that are remembered to have taken much, and named to others.
const TAKERS_MAX: usize = 8;

/// Transfers of large rules and lists to other hosts.
#[derive(Debug)]
pub(crate) struct Uploads {
    permits: Arc<Semaphore>,
    /// Which hosts began a transfer last, and at which version of the rules,
    /// oldest first.
    takers: Mutex<VecDeque<(RulesVersion, SocketAddr)>>,
}

impl Uploads {
    /// So many at once.
    pub(crate) fn new(most: usize) -> Self {
        Self {
            permits: Arc::new(Semaphore::new(most)),
            takers: Mutex::default(),
        }
    }

    /// Begins a transfer to a host, at a version of the rules, if there is room.
    /// It ends when the permit is dropped.
    pub(crate) fn begin(
        &self,
        version: RulesVersion,
        to: SocketAddr,
    ) -> Option<OwnedSemaphorePermit> {
        let permit = self.permits.clone().try_acquire_owned().ok()?;
        let mut takers = self.takers.lock().unwrap_or_else(PoisonError::into_inner);
        takers.push_back((version, to));
        if takers.len() > TAKERS_MAX {
            takers.pop_front();
        }
        Some(permit)
    }

    /// Hosts that have a version of the rules by a transfer, or soon will.
    pub(crate) fn takers(&self, version: RulesVersion) -> Vec<SocketAddr> {
        let takers = self.takers.lock().unwrap_or_else(PoisonError::into_inner);
        let of_version = takers.iter().filter(|(taken, _)| *taken == version);
        of_version.map(|(_, address)| *address).collect()
    }
}
