//! Limits the memory for request and response bodies.
//!
//! An organisation above its fraction of the budget leaves a reserve to the others, so
//! that its slow callers can't block them.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use chalkrock_core::OrganisationId;
use tokio::sync::Notify;

/// Fraction of the budget up to which an organisation may use the reserve.
const ORGANISATION_FRACTION: f64 = 0.5;
/// Fraction of the budget reserved for other organisations.
/// On hosts with 160 MB this holds one body or response of the largest size.
const RESERVE_FRACTION: f64 = 0.2;

/// A limit on held bytes.
#[derive(Clone, Debug)]
pub(crate) struct ByteBudget(Arc<BudgetState>);

#[derive(Debug)]
struct BudgetState {
    capacity_bytes: usize,
    usage: Mutex<Usage>,
    /// Notified when bytes are released.
    freed: Notify,
}

#[derive(Debug, Default)]
struct Usage {
    bytes: usize,
    /// Has no entry for organisations that hold no bytes.
    by_organisation: HashMap<OrganisationId, usize>,
}

/// Bytes of a budget, released on drop.
#[derive(Debug)]
pub(crate) struct HeldBytes {
    budget: Arc<BudgetState>,
    organisation: Option<OrganisationId>,
    bytes: usize,
}

impl ByteBudget {
    /// Creates a budget of `capacity_bytes`.
    pub(crate) fn new(capacity_bytes: usize) -> Self {
        Self(Arc::new(BudgetState {
            capacity_bytes,
            usage: Mutex::default(),
            freed: Notify::new(),
        }))
    }

    /// Holds bytes for an organisation, if the budget allows it.
    pub(crate) fn try_hold(
        &self,
        bytes: usize,
        organisation: Option<&OrganisationId>,
    ) -> Option<HeldBytes> {
        let mut usage = self.0.usage();
        if !usage.has_capacity(bytes, organisation, self.0.capacity_bytes) {
            return None;
        }
        usage.bytes += bytes;
        if let Some(organisation) = organisation {
            *usage
                .by_organisation
                .entry(organisation.clone())
                .or_default() += bytes;
        }
        Some(HeldBytes {
            budget: self.0.clone(),
            organisation: organisation.cloned(),
            bytes,
        })
    }

    /// Holds bytes for an organisation, once the budget allows it.
    pub(crate) async fn hold(
        &self,
        bytes: usize,
        organisation: Option<&OrganisationId>,
    ) -> HeldBytes {
        loop {
            let freed = self.0.freed.notified();
            let mut freed = std::pin::pin!(freed);
            freed.as_mut().enable();
            if let Some(held) = self.try_hold(bytes, organisation) {
                return held;
            }
            freed.await;
        }
    }

    pub(crate) fn held_bytes(&self) -> usize {
        self.0.usage().bytes
    }

    pub(crate) fn free_bytes(&self) -> usize {
        self.0.capacity_bytes.saturating_sub(self.held_bytes())
    }
}

impl BudgetState {
    fn usage(&self) -> MutexGuard<'_, Usage> {
        self.usage.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Usage {
    /// An organisation that holds nothing may use all free bytes: a body larger than
    /// its fraction could otherwise never be held.
    fn has_capacity(
        &self,
        bytes: usize,
        organisation: Option<&OrganisationId>,
        capacity_bytes: usize,
    ) -> bool {
        let held = organisation.and_then(|organisation| self.by_organisation.get(organisation));
        let held = held.copied().unwrap_or_default();
        let share_bytes = |fraction: f64| (capacity_bytes as f64 * fraction) as usize;
        let is_within_share = held == 0 || held + bytes <= share_bytes(ORGANISATION_FRACTION);
        let reserve_bytes = if is_within_share {
            0
        } else {
            share_bytes(RESERVE_FRACTION)
        };
        self.bytes + bytes + reserve_bytes <= capacity_bytes
    }

    fn release(&mut self, bytes: usize, organisation: Option<&OrganisationId>) {
        self.bytes -= bytes;
        let Some(organisation) = organisation else {
            return;
        };
        if let Some(held) = self.by_organisation.get_mut(organisation) {
            *held -= bytes;
            if *held == 0 {
                self.by_organisation.remove(organisation);
            }
        }
    }
}

impl HeldBytes {
    /// Takes over bytes of the same organisation and budget.
    pub(crate) fn merge(&mut self, mut other: Self) {
        self.bytes += std::mem::take(&mut other.bytes);
    }
}

impl Drop for HeldBytes {
    fn drop(&mut self) {
        if self.bytes == 0 {
            return;
        }
        let organisation = self.organisation.as_ref();
        self.budget.usage().release(self.bytes, organisation);
        self.budget.freed.notify_waiters();
    }
}
