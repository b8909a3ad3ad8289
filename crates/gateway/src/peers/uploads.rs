//! Limits large transfers to other hosts, by their number and by a share of the link.
//!
//! Many hosts request the same state at once, after a rules change or a restart. A few
//! transfers at a time complete quickly, and their recipients then serve the others.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};

use chalkrock_routing::{LinkBudget, RulesVersion};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::time::Instant;

/// Recent recipients that are offered as alternatives.
const MAX_RECENT: usize = 8;

/// Transfers of large rules and lists to other hosts.
#[derive(Debug)]
pub(crate) struct Uploads {
    permits: Arc<Semaphore>,
    /// `None` if the link is unknown.
    link: Option<Mutex<LinkBudget>>,
    started_at: Instant,
    /// Recent recipients and the rules version of their transfer, oldest first.
    recent: Mutex<VecDeque<(RulesVersion, SocketAddr)>>,
}

impl Uploads {
    pub(crate) fn new(max_concurrent: usize, link_mbps: Option<f64>) -> Self {
        let link_mbps = link_mbps.filter(|mbps| mbps.is_finite() && *mbps > 0.0);
        Self {
            link: link_mbps.map(|mbps| Mutex::new(LinkBudget::new(mbps))),
            started_at: Instant::now(),
            permits: Arc::new(Semaphore::new(max_concurrent)),
            recent: Mutex::default(),
        }
    }

    /// Begins a transfer of about so many bytes at a rules version, if a slot and part of
    /// the link are free. It ends when the permit is dropped.
    pub(crate) fn begin(
        &self,
        version: RulesVersion,
        to: SocketAddr,
        bytes: usize,
    ) -> Option<OwnedSemaphorePermit> {
        let permit = self.permits.clone().try_acquire_owned().ok()?;
        if let Some(link) = &self.link {
            let mut link = link.lock().unwrap_or_else(PoisonError::into_inner);
            let now_ms = self.started_at.elapsed().as_millis() as u64;
            if !link.spend(bytes, now_ms) {
                return None;
            }
        }
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
