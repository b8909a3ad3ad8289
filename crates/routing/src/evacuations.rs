//! Availability zones to whose endpoints nothing more is to be sent.
//!
//! Operators ask for a zone to be emptied, and later take that back. What a host
//! knows of it is always the whole: the zones that were evacuated as of one
//! version of the platform's store. So whoever knows the later version is right
//! about every zone, in whatever order and by whatever way word arrives, and
//! nothing that was taken back can come again.

use std::collections::BTreeSet;

use chalkrock_core::ZoneId;
use serde::{Deserialize, Serialize};

use crate::StoreVersion;

/// An operator asked to empty a zone, or took that back.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EvacuationRow {
    /// When.
    pub version: StoreVersion,
    /// The zone.
    pub zone: ZoneId,
    /// Whether it is to be empty.
    pub is_evacuated: bool,
}

/// Zones by which two states differ.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EvacuationChange {
    /// Zones that are evacuated from now on.
    pub begun: Vec<ZoneId>,
    /// Zones that were taken back.
    pub ended: Vec<ZoneId>,
}

impl EvacuationChange {
    /// Each zone that changed, and whether it is evacuated from now on.
    pub fn zones(&self) -> impl Iterator<Item = (&ZoneId, bool)> {
        let begun = self.begun.iter().map(|zone| (zone, true));
        begun.chain(self.ended.iter().map(|zone| (zone, false)))
    }

    /// Whether nothing changed.
    pub fn is_empty(&self) -> bool {
        self.begun.is_empty() && self.ended.is_empty()
    }
}

/// All zones that are evacuated as of a version of the store.
///
/// # Example
///
/// ```
/// use chalkrock_routing::{Evacuations, StoreVersion};
///
/// let mut known = Evacuations::as_of(StoreVersion(7), ["zone-a".into()]);
/// let taken_back = Evacuations::as_of(StoreVersion(9), []);
/// known.merge(&taken_back);
/// let late = Evacuations::as_of(StoreVersion(8), ["zone-a".into()]);
/// assert!(known.merge(&late).is_empty());
/// assert!(!known.contains(&"zone-a".into()));
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evacuations {
    version: StoreVersion,
    zones: BTreeSet<ZoneId>,
}

impl Evacuations {
    /// The zones that the store names, as of a version.
    pub fn from_snapshot(version: StoreVersion, zones: impl IntoIterator<Item = ZoneId>) -> Self {
        Self {
            version,
            zones: zones.into_iter().collect(),
        }
    }

    /// Whether a zone is evacuated.
    pub fn contains(&self, zone: &ZoneId) -> bool {
        self.zones.contains(zone)
    }

    /// The zones that are evacuated.
    pub fn zones(&self) -> &BTreeSet<ZoneId> {
        &self.zones
    }

    /// The version up to which this is known.
    pub fn version(&self) -> StoreVersion {
        self.version
    }

    /// Takes a state that was read or passed on, if it is newer. Returns what it
    /// changes.
    pub fn merge(&mut self, other: &Evacuations) -> EvacuationChange {
        if other.version <= self.version {
            return EvacuationChange::default();
        }
        let missing =
            |of: &BTreeSet<ZoneId>, from: &BTreeSet<ZoneId>| of.difference(from).cloned().collect();
        let change = EvacuationChange {
            begun: missing(&other.zones, &self.zones),
            ended: missing(&self.zones, &other.zones),
        };
        self.clone_from(other);
        change
    }

    /// Takes a state that was read whole. If it is the first of a later era, the store
    /// came back from a copy that may lack what operators wrote last: zones that were
    /// evacuated stay so until they write about them again.
    pub fn replace(&mut self, mut other: Evacuations) -> EvacuationChange {
        if other.version.era() > self.version.era() {
            other.zones.extend(self.zones.iter().cloned());
        }
        self.merge(&other)
    }

    /// Takes the rows of a part of the history, oldest first, that ends at
    /// `until` and begins no later than what is known. Returns what they change.
    pub fn apply_changes(
        &mut self,
        rows: &[EvacuationRow],
        until: StoreVersion,
    ) -> EvacuationChange {
        let mut next = self.clone();
        for row in rows.iter().filter(|row| row.version > self.version) {
            if row.is_evacuated {
                next.zones.insert(row.zone.clone());
            } else {
                next.zones.remove(&row.zone);
            }
        }
        next.version = until;
        self.merge(&next)
    }
}
