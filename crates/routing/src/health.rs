//! What answers and silences say of an endpoint, learned without probes.
//!
//! An endpoint is suspected when it can't be reached, breaks off, or fails
//! much more than it should, and is tried again after a time that doubles
//! with each failure in a row. Suspicion only moves new work to others that
//! are as good; it never leaves a pool without endpoints.

/// The first time of suspicion.
const SUSPECT_FIRST_MS: u64 = 500;
/// The longest time of suspicion.
const SUSPECT_MAX_MS: u64 = 4_000;
/// Weight of a new answer in the share of failures.
const FAILURE_STEP: f64 = 0.15;
/// Share of failures from which an endpoint is suspected. Services fail a
/// seventh of some calls on an ordinary day.
const FAILURE_SHARE_MAX: f64 = 0.5;
/// Silence on a request that makes an endpoint suspect, if it said nothing to
/// anyone meanwhile.
const SILENCE_MS: u64 = 700;

/// One thing that was seen of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sign {
    /// It answered as it should.
    Answer,
    /// It answered that it failed.
    Failure,
    /// It could not be reached, or its connection broke.
    Break,
    /// It gave no answer in time.
    Silence,
}

/// What is known of one endpoint.
///
/// # Example
///
/// ```
/// use chalkrock_routing::{EndpointHealth, Sign};
///
/// let mut health = EndpointHealth::default();
/// health.see(Sign::Break, 0);
/// assert!(health.is_suspect(100));
/// health.see(Sign::Answer, 200);
/// assert!(!health.is_suspect(200));
/// ```
#[derive(Clone, Debug, Default)]
pub struct EndpointHealth {
    breaks_in_row: u32,
    failure_share: f64,
    suspect_until_ms: u64,
    heard_at_ms: u64,
    /// When the requests that still wait for a first byte were sent.
    waiting_since_ms: Vec<u64>,
}

impl EndpointHealth {
    /// Takes what was seen.
    pub fn see(&mut self, sign: Sign, now_ms: u64) {
        match sign {
            Sign::Answer => {
                self.heard_at_ms = now_ms;
                self.breaks_in_row = 0;
                self.failure_share -= FAILURE_STEP * self.failure_share;
                self.suspect_until_ms = 0;
            }
            Sign::Failure => {
                self.heard_at_ms = now_ms;
                self.failure_share += FAILURE_STEP * (1.0 - self.failure_share);
                if self.failure_share > FAILURE_SHARE_MAX {
                    self.suspect_until_ms = now_ms + SUSPECT_FIRST_MS;
                }
            }
            Sign::Break | Sign::Silence => {
                let doubled = SUSPECT_FIRST_MS << self.breaks_in_row.min(6);
                self.breaks_in_row += 1;
                self.suspect_until_ms = now_ms + doubled.min(SUSPECT_MAX_MS);
            }
        }
    }

    /// A byte of an answer arrived.
    pub fn heard(&mut self, now_ms: u64) {
        self.heard_at_ms = now_ms;
    }

    /// A request was sent and waits for its first byte.
    pub fn wait(&mut self, now_ms: u64) {
        self.waiting_since_ms.push(now_ms);
    }

    /// A request that was sent at `since_ms` waits no longer.
    pub fn wait_over(&mut self, since_ms: u64) {
        let place = self.waiting_since_ms.iter().position(|at| *at == since_ms);
        if let Some(place) = place {
            self.waiting_since_ms.swap_remove(place);
        }
    }

    /// Whether new work should rather go to others.
    pub fn is_suspect(&self, now_ms: u64) -> bool {
        now_ms < self.suspect_until_ms || self.is_silent(now_ms)
    }

    /// Whether a request waits and nothing at all has been heard since.
    pub fn is_silent(&self, now_ms: u64) -> bool {
        let oldest = self.waiting_since_ms.iter().min();
        oldest.is_some_and(|&since_ms| {
            now_ms.saturating_sub(since_ms.max(self.heard_at_ms)) >= SILENCE_MS
        })
    }
}
