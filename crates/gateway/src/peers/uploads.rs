//! Limits concurrent large transfers to other hosts.
//!
//! Many hosts request the same state at once, after a rules change or a restart. A few
//! transfers at a time complete quickly, and their recipients then serve the others.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};

use chalkrock_routing::RulesVersion;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// Recent recipients that are offered as alternatives.
const MAX_RECENT: usize = 8;

/// Transfers of large rules and lists to other hosts.
#[derive(Debug)]
pub(crate) struct Uploads {
    permits: Arc<Semaphore>,
    /// Recent recipients and the rules version of their transfer, oldest first.
    recent: Mutex<VecDeque<(RulesVersion, SocketAddr)>>,
}

impl Uploads {
    pub(crate) fn new(max_concurrent: usize) -> Self {
        Self {
            permits: Arc::new(Semaphore::new(max_concurrent)),
            recent: Mutex::default(),
        }
    }

    /// Begins a transfer at a rules version if a slot is free. It ends when the permit is
    /// dropped.
    pub(crate) fn begin(
        &self,
        version: RulesVersion,
        to: SocketAddr,
    ) -> Option<OwnedSemaphorePermit> {
        let permit = self.permits.clone().try_acquire_owned().ok()?;
        let mut recent = self.recent.lock().unwrap_or_else(PoisonError::into_inner);
        recent.push_back((version, to));
        if recent.len() > MAX_RECENT {
            recent.pop_front();
        }
        Some(permit)
    }

    /// Recent recipients of a rules version.
    pub(crate) fn recipients(&self, version: RulesVersion) -> Vec<SocketAddr> {
        let recent = self.recent.lock().unwrap_or_else(PoisonError::into_inner);
        let of_version = recent
            .iter()
            .filter(|(transferred, _)| *transferred == version);
        of_version.map(|(_, address)| *address).collect()
    }
}
