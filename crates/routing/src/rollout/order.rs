//! What operators ask for.

use std::collections::BTreeMap;

use chalkrock_core::{BuildVersion, PoolId};
use serde::{Deserialize, Serialize};

use crate::StoreVersion;

/// Operators ask to move a pool to another build.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutOrder {
    /// The build to move to.
    pub build: BuildVersion,
    /// The time that they give, in milliseconds from the order on.
    pub within_ms: u64,
}

/// An operator's row: an order, or that it was taken back.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RolloutOrderRow {
    /// When it was written.
    pub version: StoreVersion,
    /// The pool.
    pub pool: PoolId,
    /// `None` if it was taken back.
    pub order: Option<RolloutOrder>,
}

/// An order and the version of the store that tells it from a later one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Given {
    pub(super) version: StoreVersion,
    pub(super) order: RolloutOrder,
}

/// All orders as of a version of the store. Whoever knows the later version is right
/// about every pool, in whatever order word arrives.
///
/// # Example
///
/// ```
/// use chalkrock_routing::{RolloutOrder, RolloutOrderRow, RolloutOrders, StoreVersion};
///
/// let row = |version, order| RolloutOrderRow { version, pool: "chat".into(), order };
/// let order = RolloutOrder { build: "v2".into(), within_ms: 12_000 };
/// let mut known = RolloutOrders::as_of(StoreVersion(7), [row(StoreVersion(5), Some(order))]);
/// let taken_back = RolloutOrders::as_of(StoreVersion(9), []);
/// assert!(known.merge(&taken_back));
/// assert_eq!(known.get(&"chat".into()), None);
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutOrders {
    version: StoreVersion,
    by_pool: BTreeMap<PoolId, Given>,
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

    /// Takes a state that was read or passed on, if it is newer. Returns whether it
    /// changes any order.
    pub fn merge(&mut self, other: &RolloutOrders) -> bool {
        if other.version <= self.version {
            return false;
        }
        let is_news = self.by_pool != other.by_pool;
        self.clone_from(other);
        is_news
    }

    /// Takes a state that was read whole. If it is the first of a later era, the store
    /// came back from a copy that may lack what operators wrote last: orders hold until
    /// they write about them again.
    pub fn replace(&mut self, mut other: RolloutOrders) -> bool {
        if other.version.era() > self.version.era() {
            for (pool, given) in &self.by_pool {
                let known = other.by_pool.entry(pool.clone());
                known.or_insert_with(|| given.clone());
            }
        }
        self.merge(&other)
    }

    /// Takes the rows of a part of the history, oldest first, that ends at `until` and
    /// begins no later than what is known. Returns whether they change any order.
    pub fn apply_changes(&mut self, rows: &[RolloutOrderRow], until: StoreVersion) -> bool {
        let mut next = self.clone();
        for row in rows.iter().filter(|row| row.version > self.version) {
            next.apply(row.clone());
        }
        next.version = until;
        self.merge(&next)
    }

    /// The order for a pool, and the version at which it was given.
    pub fn get(&self, pool: &PoolId) -> Option<(StoreVersion, &RolloutOrder)> {
        let given = self.by_pool.get(pool)?;
        Some((given.version, &given.order))
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = (&PoolId, &Given)> {
        self.by_pool.iter()
    }

    fn apply(&mut self, row: RolloutOrderRow) {
        let RolloutOrderRow {
            version,
            pool,
            order,
        } = row;
        match order {
            Some(order) => self.by_pool.insert(pool, Given { version, order }),
            None => self.by_pool.remove(&pool),
        };
    }
}
