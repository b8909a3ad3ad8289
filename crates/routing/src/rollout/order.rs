//! Operators' rollout orders.

use std::collections::BTreeMap;

use chalkrock_core::{BuildVersion, PoolId};
use serde::{Deserialize, Serialize};

use crate::StoreVersion;

/// An order to move a pool to another build.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutOrder {
    /// The build to move to.
    pub build: BuildVersion,
    /// Time from the order to its deadline, in milliseconds.
    pub within_ms: u64,
}

/// A stored row: an order or its withdrawal.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RolloutOrderRow {
    /// The store version of the row.
    pub version: StoreVersion,
    /// The pool.
    pub pool: PoolId,
    /// `None` if the order was withdrawn.
    pub order: Option<RolloutOrder>,
}

/// An order and its store version, which distinguishes it from later ones.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct VersionedOrder {
    pub(super) version: StoreVersion,
    pub(super) order: RolloutOrder,
}

impl VersionedOrder {
    /// Whether an order is the same one, possibly read from a restored store: the row keeps
    /// its number in a later era.
    pub(super) fn is_same(&self, other: &VersionedOrder) -> bool {
        is_same_row(self.version, other.version) && self.order == other.order
    }

    /// Whether a row is of the same or an earlier order, read from a restored store.
    fn is_restored_as(&self, read: &VersionedOrder) -> bool {
        let is_later_era = read.version.era() > self.version.era();
        let is_earlier = read.version.number() < self.version.number();
        is_later_era && (is_earlier || self.is_same(read))
    }
}

/// Whether two versions are of the same write, possibly read from a restored store.
pub(super) fn is_same_row(a: StoreVersion, b: StoreVersion) -> bool {
    a.number() == b.number()
}

/// All orders as of a store version; a later version replaces an earlier one as a whole.
///
/// # Example
///
/// ```
/// use chalkrock_routing::{RolloutOrder, RolloutOrderRow, RolloutOrders, StoreVersion};
///
/// let row = |version, order| RolloutOrderRow { version, pool: "chat".into(), order };
/// let order = Some(RolloutOrder { build: "v2".into(), within_ms: 12_000 });
/// let mut known = RolloutOrders::from_snapshot(StoreVersion(7), [row(StoreVersion(5), order)]);
/// let withdrawn = RolloutOrders::from_snapshot(StoreVersion(9), []);
/// assert!(known.merge(&withdrawn));
/// assert_eq!(known.get(&"chat".into()), None);
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutOrders {
    version: StoreVersion,
    by_pool: BTreeMap<PoolId, VersionedOrder>,
}

impl RolloutOrders {
    /// The orders that the store holds as of a version.
    pub fn from_snapshot(
        version: StoreVersion,
        rows: impl IntoIterator<Item = RolloutOrderRow>,
    ) -> Self {
        let mut orders = Self {
            version,
            by_pool: BTreeMap::new(),
        };
        for row in rows {
            orders.apply(row);
        }
        orders
    }

    /// Merges orders if their version is later. Returns whether any order changed.
    pub fn merge(&mut self, other: &RolloutOrders) -> bool {
        if other.version <= self.version {
            return false;
        }
        let has_changed = self.by_pool != other.by_pool;
        self.clone_from(other);
        has_changed
    }

    /// Replaces the orders after a full read. In a later era, the store was restored from
    /// a backup that may lack recent writes: known orders of pools without a row, or with the
    /// row of an earlier order, stay.
    pub fn replace(&mut self, mut other: RolloutOrders) -> bool {
        let is_restored = other.version.era() > self.version.era();
        for (pool, known) in &self.by_pool {
            match other.by_pool.get_mut(pool) {
                Some(read) if known.is_restored_as(read) => read.clone_from(known),
                Some(_) => {}
                None if is_restored => {
                    other.by_pool.insert(pool.clone(), known.clone());
                }
                None => {}
            }
        }
        self.merge(&other)
    }

    /// Applies changes of the store up to `until`, oldest first, without a gap after
    /// the known version. Returns whether any order changed.
    pub fn apply_changes(&mut self, rows: &[RolloutOrderRow], until: StoreVersion) -> bool {
        let mut next = self.clone();
        for row in rows.iter().filter(|row| row.version > self.version) {
            next.apply(row.clone());
        }
        next.version = until;
        self.merge(&next)
    }

    /// The order for a pool and its store version.
    pub fn get(&self, pool: &PoolId) -> Option<(StoreVersion, &RolloutOrder)> {
        let versioned_order = self.by_pool.get(pool)?;
        Some((versioned_order.version, &versioned_order.order))
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = (&PoolId, &VersionedOrder)> {
        self.by_pool.iter()
    }

    fn apply(&mut self, row: RolloutOrderRow) {
        let RolloutOrderRow {
            version,
            pool,
            order,
        } = row;
        match order {
            Some(order) => self.by_pool.insert(pool, VersionedOrder { version, order }),
            None => self.by_pool.remove(&pool),
        };
    }
}
