//! Limits the memory for request and response bodies.
//!
//! An organisation above its fraction of the budget leaves a reserve to the others, so
//! that its slow callers can't block them.

use std::collections::{BTreeMap, HashMap};
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
    growing: Mutex<GrowingHolders>,
    /// Notified when bytes are released.
    freed: Notify,
}

#[derive(Debug, Default)]
struct Usage {
    bytes: usize,
    /// Has no entry for organisations that hold no bytes.
    by_organisation: HashMap<OrganisationId, usize>,
}

/// Holders that wait for more bytes. They release what they have only if they fail.
#[derive(Debug, Default)]
struct GrowingHolders {
    next_id: u64,
    waiting: BTreeMap<u64, GrowingHolder>,
}

#[derive(Debug)]
struct GrowingHolder {
    organisation: Option<OrganisationId>,
    held_bytes: usize,
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
            growing: Mutex::default(),
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
        usage.add(bytes, organisation);
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

    fn growing(&self) -> MutexGuard<'_, GrowingHolders> {
        self.growing.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether a waiting holder has to fail: its bytes would not fit if all holders that do not
    /// wait released theirs, and no waiting holder of its organisation has more.
    fn is_deadlocked(&self, id: u64, more_bytes: usize) -> bool {
        let growing = self.growing();
        let Some(holder) = growing.waiting.get(&id) else {
            return false;
        };
        let mut usage = Usage::default();
        let mut is_largest = true;
        for (other_id, other) in &growing.waiting {
            usage.add(other.held_bytes, other.organisation.as_ref());
            if other.organisation == holder.organisation {
                is_largest &= (other.held_bytes, *other_id) <= (holder.held_bytes, id);
            }
        }
        let organisation = holder.organisation.as_ref();
        is_largest && !usage.has_capacity(more_bytes, organisation, self.capacity_bytes)
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

    fn add(&mut self, bytes: usize, organisation: Option<&OrganisationId>) {
        self.bytes += bytes;
        if let Some(organisation) = organisation {
            *self
                .by_organisation
                .entry(organisation.clone())
                .or_default() += bytes;
        }
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

/// Holders that wait for more bytes hold all that could be released.
#[derive(Clone, Copy, Debug, thiserror::Error)]
#[error("bodies that wait for each other hold the whole budget")]
pub(crate) struct BudgetDeadlock;

impl HeldBytes {
    /// Takes over bytes of the same organisation and budget.
    pub(crate) fn merge(&mut self, mut other: Self) {
        self.bytes += std::mem::take(&mut other.bytes);
    }

    /// Holds more bytes, once the budget allows it. Where it never will, since holders that
    /// wait likewise have all of it, the one with the most bytes fails and the others go on.
    ///
    /// # Errors
    ///
    /// [`BudgetDeadlock`] if this is the one that fails.
    pub(crate) async fn grow(&mut self, more_bytes: usize) -> Result<(), BudgetDeadlock> {
        let budget = ByteBudget(self.budget.clone());
        let organisation = self.organisation.clone();
        let mut waiting = None;
        loop {
            let freed = budget.0.freed.notified();
            let mut freed = std::pin::pin!(freed);
            freed.as_mut().enable();
            if let Some(more) = budget.try_hold(more_bytes, organisation.as_ref()) {
                self.merge(more);
                return Ok(());
            }
            let waiting = waiting.get_or_insert_with(|| WaitingHolder::begin(self));
            if budget.0.is_deadlocked(waiting.id, more_bytes) {
                return Err(BudgetDeadlock);
            }
            freed.await;
        }
    }
}

/// Registers a holder as waiting until dropped.
struct WaitingHolder {
    budget: Arc<BudgetState>,
    id: u64,
}

impl WaitingHolder {
    fn begin(held: &HeldBytes) -> Self {
        let mut growing = held.budget.growing();
        let id = growing.next_id;
        growing.next_id += 1;
        let holder = GrowingHolder {
            organisation: held.organisation.clone(),
            held_bytes: held.bytes,
        };
        growing.waiting.insert(id, holder);
        drop(growing);
        // The others check whether this was the last one that could have released bytes.
        held.budget.freed.notify_waiters();
        Self {
            budget: held.budget.clone(),
            id,
        }
    }
}

impl Drop for WaitingHolder {
    fn drop(&mut self) {
        self.budget.growing().waiting.remove(&self.id);
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
