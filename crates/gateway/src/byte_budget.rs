//! Bounds the bytes that a host holds for others at once.
//!
//! A caller's body is kept until its request has ended, since it may be sent once more;
//! an endpoint's answer is kept until its caller has taken it. Connections times the
//! largest of either is far more than a host's memory, and a host that runs out of it is
//! killed with all that it holds. An organisation that holds half of the room leaves a
//! fifth of it to the others, so that its slow callers don't take all.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use chalkrock_core::OrganisationId;
use tokio::sync::Notify;

/// The part of the room up to which an organisation may take all that is free.
const ORGANISATION_PART: f64 = 0.5;
/// The part that it leaves free beyond: a body or an answer of the largest kind on hosts
/// with 160 MB.
const LEFT_PART: f64 = 0.2;

/// Room for bytes.
#[derive(Clone, Debug)]
pub(crate) struct ByteBudget(Arc<Room>);

#[derive(Debug)]
struct Room {
    most_bytes: usize,
    held: Mutex<Held>,
    /// Some room has come free.
    freed: Notify,
}

#[derive(Debug, Default)]
struct Held {
    bytes: usize,
    /// Those that hold none are not listed.
    by_organisation: HashMap<OrganisationId, usize>,
}

/// Bytes that are held until this is dropped.
#[derive(Debug)]
pub(crate) struct HeldBytes {
    room: Arc<Room>,
    organisation: Option<OrganisationId>,
    bytes: usize,
}

impl ByteBudget {
    /// Room for so many bytes.
    pub(crate) fn new(most_bytes: usize) -> Self {
        Self(Arc::new(Room {
            most_bytes,
            held: Mutex::default(),
            freed: Notify::new(),
        }))
    }

    /// Takes room for so many bytes of an organisation, if there is as much.
    pub(crate) fn try_hold(
        &self,
        bytes: usize,
        organisation: Option<&OrganisationId>,
    ) -> Option<HeldBytes> {
        let mut held = self.0.held();
        if !held.has_room(bytes, organisation, self.0.most_bytes) {
            return None;
        }
        held.bytes += bytes;
        if let Some(organisation) = organisation {
            *held
                .by_organisation
                .entry(organisation.clone())
                .or_default() += bytes;
        }
        Some(HeldBytes {
            room: self.0.clone(),
            organisation: organisation.cloned(),
            bytes,
        })
    }

    /// Waits until there is room for so many bytes of an organisation.
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

    /// Bytes that are held.
    pub(crate) fn held_bytes(&self) -> usize {
        self.0.held().bytes
    }

    /// Bytes for which there is room.
    pub(crate) fn free_bytes(&self) -> usize {
        self.0.most_bytes.saturating_sub(self.held_bytes())
    }
}

impl Room {
    fn held(&self) -> MutexGuard<'_, Held> {
        self.held.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Held {
    /// Whoever holds nothing may take all that is free: what is larger than a part of
    /// the room would else never be taken.
    fn has_room(
        &self,
        bytes: usize,
        organisation: Option<&OrganisationId>,
        most_bytes: usize,
    ) -> bool {
        let own = organisation.and_then(|organisation| self.by_organisation.get(organisation));
        let own = own.copied().unwrap_or_default();
        let part = |part: f64| (most_bytes as f64 * part) as usize;
        let is_within_share = own == 0 || own + bytes <= part(ORGANISATION_PART);
        let left = if is_within_share { 0 } else { part(LEFT_PART) };
        self.bytes + bytes + left <= most_bytes
    }

    fn release(&mut self, bytes: usize, organisation: Option<&OrganisationId>) {
        self.bytes -= bytes;
        let Some(organisation) = organisation else {
            return;
        };
        if let Some(own) = self.by_organisation.get_mut(organisation) {
            *own -= bytes;
            if *own == 0 {
                self.by_organisation.remove(organisation);
            }
        }
    }
}

impl HeldBytes {
    /// Holds what another one of the same organisation and room holds as well.
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
        self.room.held().release(self.bytes, organisation);
        self.room.freed.notify_waiters();
    }
}
