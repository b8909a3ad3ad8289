//! Versions of the store.

use serde::{Deserialize, Serialize};

/// Low bits of a version that hold the store's own number.
const NUMBER_BITS: u32 = 48;

/// A position in the history of the store.
///
/// A store that is restored from a backup reuses numbers. The era counts the restores
/// and takes the high bits, so that any version of a later era compares greater than
/// all earlier ones, and hosts exchange a single number.
///
/// # Example
///
/// ```
/// use chalkrock_routing::StoreVersion;
///
/// let before = StoreVersion::in_era(1, 900);
/// let after = StoreVersion::in_era(2, 700);
/// assert!(after > before);
/// assert_eq!((after.era(), after.number()), (2, 700));
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct StoreVersion(pub u64);

impl StoreVersion {
    /// Largest number that a version can hold.
    pub const MAX_NUMBER: u64 = (1 << NUMBER_BITS) - 1;

    /// Creates the version of a number in an era.
    pub fn in_era(era: u64, number: u64) -> Self {
        Self(era << NUMBER_BITS | number)
    }

    /// Number of times that the store was restored from a backup.
    pub fn era(self) -> u64 {
        self.0 >> NUMBER_BITS
    }

    /// Number that the store assigned.
    pub fn number(self) -> u64 {
        self.0 & Self::MAX_NUMBER
    }
}
