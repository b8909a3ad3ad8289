//! Passive health checks, from answers and timeouts of requests.
//!
//! An endpoint becomes suspect when it is unreachable, drops connections, falls
//! silent or fails too often. Suspicion expires after a time that doubles with each
//! repetition; then one request probes the endpoint while others still avoid it. An
//! answer clears the suspicion, silence renews it. Suspicion only moves new work to
//! equivalent endpoints; it never leaves a pool without endpoints.
//!
//! An endpoint to which no connection can be opened is checked by further connections
//! instead of requests. It may still be reached by other hosts: see
//! [`Reachability`](crate::Reachability).
//!
//! Each waiting request reports the silence of its own wait, so that one whose caller
//! left, or which may not be repeated, does not keep an endpoint suspect. With a common list
//! of waiting requests, an abandoned one would stay on it, and its endpoint, given no more
//! work, would never be probed.

/// Duration of the first suspicion.
const INITIAL_SUSPECT_MS: u64 = 500;
/// Longest duration of a suspicion.
const MAX_SUSPECT_MS: u64 = 4_000;
/// Time after a suspicion in which only repeatable requests should probe a silent
/// endpoint.
const PROBATION_MS: u64 = 2_000;
/// Weight of a new answer in the failure ratio.
const FAILURE_WEIGHT: f64 = 0.15;
/// Failure ratio above which an endpoint is suspect; some calls fail in normal
/// operation, up to a seventh of those to some services.
const MAX_FAILURE_RATIO: f64 = 0.5;
/// Wait of a request, without any data from the endpoint, that counts as silence.
const SILENCE_TIMEOUT_MS: u64 = 700;
/// How long an endpoint counts as unreachable without another failed connection.
const UNREACHABLE_RETENTION_MS: u64 = 2_500;

/// An observation of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HealthSignal {
    /// It answered as expected.
    Answer,
    /// It answered with a failure.
    Failure,
    /// Its connection broke.
    Break,
    /// No connection to it could be opened.
    Unreachable {
        /// Whether there was no answer at all.
        timed_out: bool,
    },
    /// It did not answer a request in time.
    Silence {
        /// When the request was sent.
        sent_at_ms: u64,
    },
}

/// Health of one endpoint.
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
    consecutive_suspicions: u32,
    failure_ratio: f64,
    suspected_at_ms: u64,
    suspect_until_ms: u64,
    received_at_ms: u64,
    /// Whether a request is probing the endpoint.
    is_probed: bool,
    /// Last report of silence, if nothing was received since.
    silent_at_ms: Option<u64>,
    /// The last connection that failed to open, if none succeeded since.
    failed_connection: Option<FailedConnection>,
    /// When it last accepted a connection or sent something.
    contact_at_ms: Option<u64>,
}

#[derive(Clone, Copy, Debug)]
struct FailedConnection {
    /// When the first of a series failed.
    since_ms: u64,
    at_ms: u64,
    timed_out: bool,
}

impl EndpointHealth {
    /// Records an observation.
    pub fn record(&mut self, signal: HealthSignal, now_ms: u64) {
        match signal {
            HealthSignal::Answer => {
                self.failure_ratio -= FAILURE_WEIGHT * self.failure_ratio;
                self.clear_suspicion(now_ms);
            }
            HealthSignal::Failure => {
                self.received_at_ms = now_ms;
                self.failure_ratio += FAILURE_WEIGHT * (1.0 - self.failure_ratio);
                if self.failure_ratio > MAX_FAILURE_RATIO {
                    self.suspect_until_ms = now_ms + INITIAL_SUSPECT_MS;
                }
            }
            HealthSignal::Break if self.is_probed || now_ms >= self.suspect_until_ms => {
                self.mark_suspect(now_ms);
            }
            HealthSignal::Unreachable { timed_out } => {
                if self.is_probed || now_ms >= self.suspect_until_ms {
                    self.mark_suspect(now_ms);
                }
                let renewed_until_ms = now_ms + UNREACHABLE_RETENTION_MS;
                self.suspect_until_ms = self.suspect_until_ms.max(renewed_until_ms);
                let previous = self.recent_failure(now_ms);
                self.failed_connection = Some(FailedConnection {
                    since_ms: previous.map_or(now_ms, |previous| previous.since_ms),
                    at_ms: now_ms,
                    timed_out,
                });
            }
            // Requests sent before the last suspicion belong to its cause.
            HealthSignal::Silence { sent_at_ms }
                if self.consecutive_suspicions == 0 || sent_at_ms >= self.suspected_at_ms =>
            {
                self.mark_suspect(now_ms);
                self.silent_at_ms = Some(now_ms);
            }
            HealthSignal::Break | HealthSignal::Silence { .. } => {}
        }
    }

    /// Records that a request is sent. The first one after a suspicion probes the
    /// endpoint.
    pub fn record_sent(&mut self, now_ms: u64) {
        if self.consecutive_suspicions > 0 && now_ms >= self.suspect_until_ms {
            self.is_probed = true;
            self.suspect_until_ms = now_ms + SILENCE_TIMEOUT_MS;
        }
    }

    /// Records that it accepted a connection. If it was suspect because none could be
    /// opened, the next request probes it.
    pub fn record_connected(&mut self, now_ms: u64) {
        self.contact_at_ms = Some(now_ms);
        if self.failed_connection.take().is_some() {
            self.suspect_until_ms = self.suspect_until_ms.min(now_ms);
        }
    }

    /// Records that it crashed: earlier contact shows nothing any more.
    pub fn record_crash(&mut self) {
        self.contact_at_ms = None;
    }

    /// Records that a byte of an answer arrived.
    pub fn record_received(&mut self, now_ms: u64) {
        self.received_at_ms = now_ms;
        self.contact_at_ms = Some(now_ms);
        self.failed_connection = None;
        self.silent_at_ms = None;
        if self.is_probed {
            self.clear_suspicion(now_ms);
        }
    }

    /// Whether new work should go to other endpoints.
    pub fn is_suspect(&self, now_ms: u64) -> bool {
        now_ms < self.suspect_until_ms
    }

    /// Whether this host can't open connections to it.
    pub fn is_unreachable(&self, now_ms: u64) -> bool {
        self.recent_failure(now_ms).is_some()
    }

    /// Since when this host can't open connections to it.
    pub fn unreachable_since_ms(&self, now_ms: u64) -> Option<u64> {
        self.recent_failure(now_ms).map(|failure| failure.since_ms)
    }

    /// Whether connections to it get no answer, so that a request would wait in vain.
    pub fn is_unresponsive(&self, now_ms: u64) -> bool {
        self.recent_failure(now_ms)
            .is_some_and(|failure| failure.timed_out)
    }

    fn recent_failure(&self, now_ms: u64) -> Option<FailedConnection> {
        self.failed_connection
            .filter(|failure| now_ms < failure.at_ms + UNREACHABLE_RETENTION_MS)
    }

    /// When it last accepted a connection or sent something, if it ever did.
    pub fn contact_at_ms(&self) -> Option<u64> {
        self.contact_at_ms
    }

    /// Whether the endpoint fell silent and nothing was received since. A repeatable
    /// request should probe it first, if there is one.
    pub fn is_on_probation(&self, now_ms: u64) -> bool {
        self.silent_at_ms.is_some() && now_ms < self.suspect_until_ms + PROBATION_MS
    }

    /// Whether a request that was sent at `sent_at_ms` waits in vain: nothing was
    /// received for too long, or another request reported silence since.
    pub fn is_silent(&self, sent_at_ms: u64, now_ms: u64) -> bool {
        let waited_ms = now_ms.saturating_sub(sent_at_ms.max(self.received_at_ms));
        waited_ms >= SILENCE_TIMEOUT_MS
            || self.silent_at_ms.is_some_and(|at_ms| at_ms >= sent_at_ms)
    }

    fn mark_suspect(&mut self, now_ms: u64) {
        const MAX_DOUBLINGS: u32 = 6;
        let suspect_ms = INITIAL_SUSPECT_MS << self.consecutive_suspicions.min(MAX_DOUBLINGS);
        self.consecutive_suspicions += 1;
        self.is_probed = false;
        self.suspected_at_ms = now_ms;
        self.suspect_until_ms = now_ms + suspect_ms.min(MAX_SUSPECT_MS);
    }

    fn clear_suspicion(&mut self, now_ms: u64) {
        self.received_at_ms = now_ms;
        self.contact_at_ms = Some(now_ms);
        self.failed_connection = None;
        self.consecutive_suspicions = 0;
        self.is_probed = false;
        self.silent_at_ms = None;
        self.suspect_until_ms = 0;
    }
}
