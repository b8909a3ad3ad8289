//! Places in the history of the platform's store.

use serde::{Deserialize, Serialize};

/// Bits of a version that are the store's own number: a million changes a second for
/// nine years.
const NUMBER_BITS: u32 = 48;

/// A place in the platform's history.
///
/// A store that comes back from a copy gives versions out again that it had given out
/// before. How often it did is the era, which stands in the high bits: so what is
/// known of a later era goes before all of an earlier one wherever versions are compared,
/// and hosts need tell each other no more than a number.
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
    /// The largest number that a version can hold: no store gets so far.
    pub const MAX_NUMBER: u64 = (1 << NUMBER_BITS) - 1;

    /// The version of a number in an era.
    pub fn in_era(era: u64, number: u64) -> Self {
        Self(era << NUMBER_BITS | number)
    }

    /// How often the store had come back from a copy.
    pub fn era(self) -> u64 {
        self.0 >> NUMBER_BITS
    }

    /// The number that the store itself gave.
    pub fn number(self) -> u64 {
        self.0 & Self::MAX_NUMBER
    }
}
