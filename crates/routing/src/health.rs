//! What answers and silences say of an endpoint, learned without probes.
//!
//! An endpoint is suspected when it can't be reached, breaks off, falls silent
//! or fails much more than it should. Suspicion ends by itself after a time
//! that doubles with each that follows, and then one request tries the
//! endpoint, while the others still stay away: if it is heard, all is well; if
//! not, suspicion is renewed. Suspicion only moves new work to others that
//! are as good; it never leaves a pool without endpoints.
//!
//! What is noted of silence is noted by the request that waits, of its own
//! wait. An earlier form kept a list of all that waited: a request whose
//! caller left stayed on it, and its endpoint, given no more work, was never
//! heard again; and requests that may not be repeated kept an endpoint suspect
//! to the end of their deadline, long after it had come back.

/// The first time of suspicion.
const SUSPECT_FIRST_MS: u64 = 500;
/// The longest time of suspicion.
const SUSPECT_MAX_MS: u64 = 4_000;
/// How long after a suspicion a silent endpoint is left for those requests to
/// try that may be repeated.
const DOUBT_MS: u64 = 2_000;
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
pub enum HealthSignal {
    /// It answered as it should.
    Answer,
    /// It answered that it failed.
    Failure,
    /// It could not be reached, or its connection broke.
    Break,
    /// It gave no answer in time to a request.
    Silence {
        /// When the request was sent.
        sent_at_ms: u64,
    },
}

/// What is known of one endpoint.
///
/// # Example
///
/// ```
/// use chalkrock_routing::{EndpointHealth, HealthSignal};
///
/// let mut health = EndpointHealth::default();
/// health.record(HealthSignal::Break, 0);
/// assert!(health.is_suspect(100));
/// health.record(HealthSignal::Answer, 200);
/// assert!(!health.is_suspect(200));
/// ```
#[derive(Clone, Debug, Default)]
pub struct EndpointHealth {
    /// Suspicions in a row.
    in_row: u32,
    failure_share: f64,
    suspected_at_ms: u64,
    suspect_until_ms: u64,
    heard_at_ms: u64,
    /// A request tries whether a suspicion still holds.
    is_tried: bool,
    /// When silence was last noted, if nothing was heard since.
    silent_at_ms: Option<u64>,
}

impl EndpointHealth {
    /// Takes what was seen.
    pub fn record(&mut self, signal: HealthSignal, now_ms: u64) {
        match signal {
            HealthSignal::Answer => {
                self.failure_share -= FAILURE_STEP * self.failure_share;
                self.trust(now_ms);
            }
            HealthSignal::Failure => {
                self.heard_at_ms = now_ms;
                self.failure_share += FAILURE_STEP * (1.0 - self.failure_share);
                if self.failure_share > FAILURE_SHARE_MAX {
                    self.suspect_until_ms = now_ms + SUSPECT_FIRST_MS;
                }
            }
            HealthSignal::Break if self.is_tried || now_ms >= self.suspect_until_ms => {
                self.suspect(now_ms);
            }
            // What was sent before the last suspicion is part of its cause.
            HealthSignal::Silence { sent_at_ms }
                if self.in_row == 0 || sent_at_ms >= self.suspected_at_ms =>
            {
                self.suspect(now_ms);
                self.silent_at_ms = Some(now_ms);
            }
            HealthSignal::Break | HealthSignal::Silence { .. } => {}
        }
    }

    /// A request is sent. The first one after a suspicion tries the endpoint.
    pub fn record_sent(&mut self, now_ms: u64) {
        if self.in_row > 0 && now_ms >= self.suspect_until_ms {
            self.is_tried = true;
            self.suspect_until_ms = now_ms + SILENCE_MS;
        }
    }

    /// A byte of an answer arrived.
    pub fn record_received(&mut self, now_ms: u64) {
        self.heard_at_ms = now_ms;
        self.silent_at_ms = None;
        if self.is_tried {
            self.trust(now_ms);
        }
    }

    /// Whether new work should rather go to others.
    pub fn is_suspect(&self, now_ms: u64) -> bool {
        now_ms < self.suspect_until_ms
    }

    /// Whether it fell silent and was not heard since. A request that may be
    /// repeated should try it rather than one that may not, unless none comes.
    pub fn is_on_probation(&self, now_ms: u64) -> bool {
        self.silent_at_ms.is_some() && now_ms < self.suspect_until_ms + DOUBT_MS
    }

    /// Whether a request that was sent at `sent_at_ms` waits in vain: it has
    /// waited long and nothing at all has been heard of the endpoint since, or
    /// another one did that was sent before.
    pub fn is_silent(&self, sent_at_ms: u64, now_ms: u64) -> bool {
        let own_ms = now_ms.saturating_sub(sent_at_ms.max(self.heard_at_ms));
        own_ms >= SILENCE_MS || self.silent_at_ms.is_some_and(|at_ms| at_ms >= sent_at_ms)
    }

    fn suspect(&mut self, now_ms: u64) {
        const DOUBLINGS_MAX: u32 = 6;
        let doubled = SUSPECT_FIRST_MS << self.in_row.min(DOUBLINGS_MAX);
        self.in_row += 1;
        self.is_tried = false;
        self.suspected_at_ms = now_ms;
        self.suspect_until_ms = now_ms + doubled.min(SUSPECT_MAX_MS);
    }

    fn trust(&mut self, now_ms: u64) {
        self.heard_at_ms = now_ms;
        self.in_row = 0;
        self.is_tried = false;
        self.silent_at_ms = None;
        self.suspect_until_ms = 0;
    }
}
