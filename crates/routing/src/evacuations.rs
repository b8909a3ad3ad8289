//! Evacuated availability zones, whose endpoints receive no new requests.
//!
//! A state always covers all zones, as of one version of the store. The later version
//! therefore holds in whatever order states arrive, and an evacuation that ended
//! can't reappear.

use std::collections::BTreeSet;

use chalkrock_core::ZoneId;
use serde::{Deserialize, Serialize};

use crate::StoreVersion;

/// An operator's request to evacuate a zone or to end that.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EvacuationRow {
    /// Store version of the request.
    pub version: StoreVersion,
    /// The zone.
    pub zone: ZoneId,
    /// Whether the zone is evacuated from this version on.
    pub is_evacuated: bool,
}

/// Zones by which two states differ.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EvacuationChange {
    /// Zones that are evacuated from now on.
    pub begun: Vec<ZoneId>,
    /// Zones whose evacuation ended.
    pub ended: Vec<ZoneId>,
}

impl EvacuationChange {
    /// Each changed zone, and whether it is evacuated from now on.
    pub fn zones(&self) -> impl Iterator<Item = (&ZoneId, bool)> {
        let begun = self.begun.iter().map(|zone| (zone, true));
        begun.chain(self.ended.iter().map(|zone| (zone, false)))
    }

    /// Whether nothing changed.
    pub fn is_empty(&self) -> bool {
        self.begun.is_empty() && self.ended.is_empty()
    }
}

/// All zones that are evacuated as of a store version.
///
/// # Example
///
/// ```
/// use chalkrock_routing::{Evacuations, StoreVersion};
///
/// let mut known = Evacuations::from_snapshot(StoreVersion(7), ["zone-a".into()]);
/// let ended = Evacuations::from_snapshot(StoreVersion(9), []);
/// known.merge(&ended);
/// let late = Evacuations::from_snapshot(StoreVersion(8), ["zone-a".into()]);
/// assert!(known.merge(&late).is_empty());
/// assert!(!known.contains(&"zone-a".into()));
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evacuations {
    version: StoreVersion,
    zones: BTreeSet<ZoneId>,
}

impl Evacuations {
    /// Creates the state of a store version.
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

    /// The evacuated zones.
    pub fn zones(&self) -> &BTreeSet<ZoneId> {
        &self.zones
    }

    /// The store version of this state.
    pub fn version(&self) -> StoreVersion {
        self.version
    }

    /// Adopts a state if it is newer. Returns what changed.
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

    /// Adopts a full state from the store. The first one of a later era is of a restored
    /// backup that may lack the latest writes, so that it ends no evacuation.
    pub fn replace(&mut self, mut other: Evacuations) -> EvacuationChange {
        if other.version.era() > self.version.era() {
            other.zones.extend(self.zones.iter().cloned());
        }
        self.merge(&other)
    }

    /// Applies rows of the store's history, oldest first, up to `until`, that begin
    /// no later than the known version. Returns what changed.
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
