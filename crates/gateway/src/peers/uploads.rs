//! Limits large transfers to other hosts, by their number and by a share of the link.
//!
//! Many hosts request the same state at once, after a rules change or a restart. A few
//! transfers at a time complete quickly, and their recipients then serve the others.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

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
    recipients: Recipients,
}

/// Recent recipients, oldest first.
type Recipients = Arc<Mutex<VecDeque<Recipient>>>;

#[derive(Debug)]
struct Recipient {
    address: SocketAddr,
    /// The rules version of its transfer.
    version: RulesVersion,
    /// Whether its transfer has ended, so that it can serve others.
    has_ended: bool,
}

fn lock(recipients: &Recipients) -> MutexGuard<'_, VecDeque<Recipient>> {
    recipients.lock().unwrap_or_else(PoisonError::into_inner)
}

/// A transfer to another host, which ends when this is dropped.
#[derive(Debug)]
pub(crate) struct Upload {
    _permit: OwnedSemaphorePermit,
    recipients: Recipients,
    version: RulesVersion,
    to: SocketAddr,
}

impl Drop for Upload {
    fn drop(&mut self) {
        let mut recipients = lock(&self.recipients);
        let this = recipients
            .iter_mut()
            .find(|known| (known.version, known.address) == (self.version, self.to));
        if let Some(this) = this {
            this.has_ended = true;
        }
    }
}

impl Uploads {
    pub(crate) fn new(max_concurrent: usize, link_mbps: Option<f64>) -> Self {
        let link_mbps = link_mbps.filter(|mbps| mbps.is_finite() && *mbps > 0.0);
        Self {
            link: link_mbps.map(|mbps| Mutex::new(LinkBudget::new(mbps))),
            started_at: Instant::now(),
            permits: Arc::new(Semaphore::new(max_concurrent)),
            recipients: Recipients::default(),
        }
    }

    /// Begins a transfer of about so many bytes at a rules version, if a slot and part of
    /// the link are free.
    pub(crate) fn begin(
        &self,
        version: RulesVersion,
        to: SocketAddr,
        bytes: usize,
    ) -> Option<Upload> {
        let permit = self.permits.clone().try_acquire_owned().ok()?;
        if let Some(link) = &self.link {
            let mut link = link.lock().unwrap_or_else(PoisonError::into_inner);
            let now_ms = self.started_at.elapsed().as_millis() as u64;
            if !link.spend(bytes, now_ms) {
                return None;
            }
        }
        let mut recipients = lock(&self.recipients);
        recipients.retain(|known| (known.version, known.address) != (version, to));
        recipients.push_back(Recipient {
            address: to,
            version,
            has_ended: false,
        });
        if recipients.len() > MAX_RECENT {
            recipients.pop_front();
        }
        drop(recipients);
        Some(Upload {
            _permit: permit,
            recipients: self.recipients.clone(),
            version,
            to,
        })
    }

    /// Recent recipients of a rules version that can serve others. One whose transfer is in
    /// progress has nothing yet: a host that is referred to it returns when a slot is free
    /// here, and this link carries one transfer more. They are named while there are no others.
    pub(crate) fn recipients(&self, version: RulesVersion) -> Vec<SocketAddr> {
        let recipients = lock(&self.recipients);
        let of_version = || recipients.iter().filter(|known| known.version == version);
        let any_ended = of_version().any(|known| known.has_ended);
        let named = of_version().filter(|known| known.has_ended || !any_ended);
        named.map(|known| known.address).collect()
    }
}
