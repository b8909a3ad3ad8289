//! Timing of store subscriptions and of calls between hosts, derived from the bound
//! that a deployment configures.
//!
//! An idle store and a store that stopped answering look alike: both leave a long poll
//! open. Hosts therefore report how long ago the store last answered them on each topic. If
//! no host was answered on a topic for [`staleness_timeout_ms`], hosts poll it with calls that
//! return at once, each after a random delay. The first answer ends the polling of all hosts.
//!
//! [`staleness_timeout_ms`]: SubscriptionTimings::staleness_timeout_ms

/// Time of a call that the store answers at once, on a slow host.
const ANSWER_DELAY_MS: u64 = 60;
/// Time from an answer until a datagram has informed the other hosts.
const DATAGRAM_DELAY_MS: u64 = 40;
/// Covers the renewal of entries that lapse while the store is unavailable.
const LAPSE_GRACE_MS: u64 = 2_000;
/// Fractions of the bound. The terms of [`SubscriptionTimings::worst_case_ms`] add
/// up to less than the bound; a larger staleness timeout costs fewer store calls.
const STALENESS_TIMEOUT_FRACTION: f64 = 0.45;
const STALENESS_JITTER_FRACTION: f64 = 0.10;
const HEDGE_DELAY_FRACTION: f64 = 0.16;
const MAX_RETRY_PAUSE_FRACTION: f64 = 0.40;
const BATCH_WINDOW_FRACTION: f64 = 0.10;
const STANDBY_BATCH_WINDOW_FRACTION: f64 = 0.30;
const STORE_WAIT_FRACTION: f64 = 0.05;
const PULL_TIMEOUT_FRACTION: f64 = 0.18;
const STALL_TIMEOUT_FRACTION: f64 = 0.33;

/// Timing of store subscriptions, in milliseconds.
///
/// # Example
///
/// ```
/// use chalkrock_routing::SubscriptionTimings;
///
/// let times = SubscriptionTimings::for_bound(3_000);
/// assert!(times.worst_case_ms() < 3_000);
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SubscriptionTimings {
    /// Time without an answer to any host after which the store counts as unavailable.
    pub bound_ms: u64,
    /// How long entries that lapsed while the store was unavailable are kept after its
    /// return, so that live endpoints can renew them.
    pub lapse_grace_ms: u64,
    /// Time without an answer to any host on a topic after which hosts poll that topic.
    pub staleness_timeout_ms: u64,
    /// Maximum random delay before a host polls, so that few do.
    pub staleness_jitter_ms: u64,
    /// Time without an answer after which a call is repeated in parallel: the first one
    /// may be lost.
    pub hedge_delay_ms: u64,
    /// Maximum pause after a failed call.
    pub max_retry_pause_ms: u64,
    /// Pause after an answer, to receive changes in batches.
    pub batch_window_ms: u64,
    /// The same for a subscriber that also receives changes from subscribers of other
    /// zones. Longer, since each answer is paid for.
    pub standby_batch_window_ms: u64,
    /// Time given to the store to deliver what another host already knows.
    pub store_wait_ms: u64,
    /// Time without a first byte after which a pull from another host is aborted.
    pub pull_timeout_ms: u64,
    /// Time without a further byte after which an answer in transfer is aborted. The
    /// whole transfer has no time limit: with one, rules of 4,200 routes are aborted again and
    /// again on links of 10 Mbit/s.
    pub stall_ms: u64,
}

impl SubscriptionTimings {
    /// Parallel calls before all of them are abandoned.
    pub const MAX_HEDGES: u32 = 3;
    /// Minimum bound; below it, calls to a working store would time out.
    pub const MIN_BOUND_MS: u64 = 1_500;

    /// The timing for a bound, which is raised to [`MIN_BOUND_MS`](Self::MIN_BOUND_MS)
    /// if it is lower.
    pub fn for_bound(bound_ms: u64) -> Self {
        let bound_ms = bound_ms.max(Self::MIN_BOUND_MS);
        let scaled = |fraction: f64| (fraction * bound_ms as f64) as u64;
        Self {
            bound_ms,
            lapse_grace_ms: LAPSE_GRACE_MS.min(bound_ms),
            staleness_timeout_ms: scaled(STALENESS_TIMEOUT_FRACTION),
            staleness_jitter_ms: scaled(STALENESS_JITTER_FRACTION),
            hedge_delay_ms: scaled(HEDGE_DELAY_FRACTION),
            max_retry_pause_ms: scaled(MAX_RETRY_PAUSE_FRACTION),
            batch_window_ms: scaled(BATCH_WINDOW_FRACTION),
            standby_batch_window_ms: scaled(STANDBY_BATCH_WINDOW_FRACTION),
            store_wait_ms: scaled(STORE_WAIT_FRACTION),
            pull_timeout_ms: scaled(PULL_TIMEOUT_FRACTION),
            stall_ms: scaled(STALL_TIMEOUT_FRACTION),
        }
    }

    /// The maximum time from the return of the store until a host knows all changes, if
    /// other hosts poll first and one pull from them fails.
    pub fn worst_case_ms(&self) -> u64 {
        let until_first_poll_ms = self.staleness_timeout_ms + self.staleness_jitter_ms;
        let until_lost_call_repeated_ms = self.hedge_delay_ms + self.max_retry_pause_ms;
        until_first_poll_ms.max(until_lost_call_repeated_ms)
            + ANSWER_DELAY_MS
            + self.batch_window_ms
            + DATAGRAM_DELAY_MS
            + self.store_wait_ms
            + self.pull_timeout_ms
            + ANSWER_DELAY_MS
    }
}
