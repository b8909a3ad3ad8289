//! Whether requests of a pool wait for slots that its scheduler grants.
//!
//! While slots are easy to find, a host finds one without asking, at no delay. With fewer
//! slots than hosts and most of them in use, hosts that place requests by loads that are
//! several calls old meet at the same endpoints; then one queue of the fleet serves better.

/// Fraction of the slots in use from which on a scarce pool is contended.
const CONTENDED_UTILISATION: f64 = 0.5;
/// Fraction of the slots in use below which it is not.
const CALM_UTILISATION: f64 = 0.3;
/// Time for which a pool stays contended after its last sign of it. Covers the age of load
/// reports in a large fleet.
const CALM_DELAY_MS: u64 = 2_000;

/// Use of a pool's slots, as one host knows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PoolUse {
    /// Slots of the endpoints that accept requests.
    pub slots: u32,
    /// Requests in progress on them, over the fleet.
    pub in_progress: u32,
    /// Hosts that share them.
    pub hosts: usize,
    /// Whether requests wait for a slot on this host.
    pub has_waiting: bool,
    /// Whether its endpoints tolerate few rejections, so that requests must not meet at a full
    /// one.
    pub is_brittle: bool,
}

impl PoolUse {
    /// Whether there are fewer slots than hosts, or requests must be ordered anyway.
    pub fn is_scarce(&self) -> bool {
        (self.slots as usize) < self.hosts || self.is_brittle
    }

    /// A brittle pool counts as full: its requests meet when an endpoint returns.
    fn is_above(&self, utilisation: f64) -> bool {
        self.is_brittle || f64::from(self.in_progress) >= utilisation * f64::from(self.slots)
    }
}

/// Whether a pool is contended.
///
/// # Example
///
/// ```
/// use chalkrock_routing::{Contention, PoolUse};
///
/// let busy = PoolUse { slots: 18, in_progress: 12, hosts: 29, has_waiting: false,
///     is_brittle: false };
/// let mut contention = Contention::default();
/// assert!(contention.update(&busy, 0));
/// let idle = PoolUse { in_progress: 0, ..busy };
/// assert!(contention.update(&idle, 1_000));
/// assert!(!contention.update(&idle, 3_000));
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct Contention {
    /// When the last sign of contention lapses; 0 if there is none.
    until_ms: u64,
}

impl Contention {
    /// Takes the current use of the pool into account. Returns whether it is contended.
    pub fn update(&mut self, pool_use: &PoolUse, now_ms: u64) -> bool {
        if !pool_use.is_scarce() {
            self.until_ms = 0;
            return false;
        }
        let threshold = if self.is_contended(now_ms) {
            CALM_UTILISATION
        } else {
            CONTENDED_UTILISATION
        };
        // Without slots there is nothing to grant.
        let is_busy = pool_use.slots > 0 && pool_use.is_above(threshold);
        if is_busy || pool_use.has_waiting {
            self.until_ms = now_ms + CALM_DELAY_MS;
        }
        self.is_contended(now_ms)
    }

    /// Records that an endpoint refused a request because it is full.
    pub fn record_refusal(&mut self, now_ms: u64) {
        self.until_ms = now_ms + CALM_DELAY_MS;
    }

    /// Whether the pool was contended at the last update and no calm followed.
    pub fn is_contended(&self, now_ms: u64) -> bool {
        now_ms < self.until_ms
    }
}
