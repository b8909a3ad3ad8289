//! Endpoints that record_request this host to back off.
//!
//! A rejection may state for how long the endpoint wants no requests. The backoff
//! holds between that endpoint and this host, for all routes and organisations. It is
//! keyed by the endpoint's start, so that it outlives an entry that lapses and ends
//! with a restart. A later rejection may lengthen it but not shorten it, and a good
//! answer to an earlier request does not end it.
//!
//! An endpoint that rejects requests has little in progress and looks idle, so that
//! all hosts would return to it at once. Each host therefore adds jitter and then
//! ramps up: it sends few requests at first, initially only those that can be retried
//! elsewhere. If every endpoint is backing off or ramping up, those ramping up are
//! used.

use std::collections::HashMap;
use std::sync::Arc;

use chalkrock_core::Endpoint;

use crate::endpoints::PoolMember;

/// Longest backoff that is honoured; an endpoint that needs longer asks again.
pub const MAX_BACKOFF_MS: u64 = 3_600_000;
/// Range of the jitter that a host adds, as a fraction of the requested time.
const JITTER_FRACTION: std::ops::Range<f64> = 0.01..0.2;
/// Duration of the ramp-up after a backoff.
const RAMP_UP_MS: u64 = 1_000;
/// The ramp-up allows one request at first and doubles the number at this interval.
const RAMP_UP_DOUBLING_MS: u64 = 200;

/// Effect of an endpoint's request to back off.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BackoffChange {
    /// A backoff begins.
    Begun {
        /// Duration from now in milliseconds, jitter included.
        for_ms: u64,
    },
    /// The backoff that is active ends later.
    Lengthened {
        /// Duration from now in milliseconds, jitter included.
        for_ms: u64,
    },
    /// No time was requested, or less than remains already.
    None,
}

#[derive(Clone, Debug)]
struct Backoff {
    endpoint: Arc<Endpoint>,
    until_ms: u64,
    /// Requests sent during the ramp-up.
    sent: u32,
    /// Whether the endpoint accepted one of them.
    is_answered: bool,
    is_end_reported: bool,
}

impl Backoff {
    fn is_active(&self, now_ms: u64) -> bool {
        now_ms < self.until_ms
    }

    fn is_ramping_up(&self, now_ms: u64) -> bool {
        !self.is_active(now_ms) && now_ms < self.until_ms + RAMP_UP_MS
    }
}

/// The endpoints that record_request one host to back off.
///
/// # Example
///
/// ```
/// use std::sync::Arc;
///
/// use chalkrock_core::rendezvous::MemberHash;
/// use chalkrock_core::{
///     BuildVersion, Endpoint, EndpointKind, HostState, Incarnation,
/// };
/// use chalkrock_routing::{Backoffs, PoolMember};
///
/// let endpoint = Endpoint {
///     name: "engine-1".into(),
///     kind: EndpointKind::Engine,
///     pool: "chat".into(),
///     zone: "zone-a".into(),
///     address: "127.0.0.1:1".parse().unwrap(),
///     slots: 8,
///     incarnation: Incarnation(0),
///     state: HostState::Live,
///     build: BuildVersion::default(),
/// };
/// let member = PoolMember {
///     hash: endpoint.start_hash(),
///     endpoint: Arc::new(endpoint),
///     is_evacuated: false,
/// };
/// let start = member.hash.short();
/// let mut backoffs = Backoffs::default();
/// backoffs.record_request(&member, 3_000, 0.0, 100);
/// assert!(backoffs.is_active(start, 3_099));
/// assert!(!backoffs.is_active(start, 4_000));
/// ```
#[derive(Clone, Debug, Default)]
pub struct Backoffs {
    by_start: HashMap<u32, Backoff>,
}

impl Backoffs {
    /// Records a request to back off; `draw`, from 0 up to 1, sets the jitter.
    pub fn record_request(
        &mut self,
        member: &PoolMember,
        requested_ms: u64,
        draw: f64,
        now_ms: u64,
    ) -> BackoffChange {
        if requested_ms == 0 {
            return BackoffChange::None;
        }
        let requested_ms = requested_ms.min(MAX_BACKOFF_MS);
        let jitter = JITTER_FRACTION.start + draw * (JITTER_FRACTION.end - JITTER_FRACTION.start);
        let for_ms = requested_ms + (requested_ms as f64 * jitter).ceil() as u64;
        let until_ms = now_ms + for_ms;
        let start = member.hash.short();
        let known = self.by_start.get(&start);
        let known = known.filter(|known| known.is_active(now_ms));
        if known.is_some_and(|known| known.until_ms >= until_ms) {
            return BackoffChange::None;
        }
        let is_active = known.is_some();
        self.by_start.insert(
            start,
            Backoff {
                endpoint: member.endpoint.clone(),
                until_ms,
                sent: 0,
                is_answered: false,
                is_end_reported: false,
            },
        );
        if is_active {
            BackoffChange::Lengthened { for_ms }
        } else {
            BackoffChange::Begun { for_ms }
        }
    }

    /// Whether an endpoint is backing off.
    pub fn is_active(&self, start: u32, now_ms: u64) -> bool {
        let backoff = self.by_start.get(&start);
        backoff.is_some_and(|backoff| backoff.is_active(now_ms))
    }

    /// Remaining backoff of an endpoint, in milliseconds.
    pub fn remaining_ms(&self, start: u32, now_ms: u64) -> u64 {
        let backoff = self.by_start.get(&start);
        backoff.map_or(0, |backoff| backoff.until_ms.saturating_sub(now_ms))
    }

    /// Whether a request should go to another endpoint because this one is ramping
    /// up; `has_attempt_left`: the request can be retried elsewhere if it is
    /// rejected.
    pub fn prefers_others(&self, start: u32, has_attempt_left: bool, now_ms: u64) -> bool {
        let backoff = self.by_start.get(&start);
        let Some(backoff) = backoff.filter(|backoff| backoff.is_ramping_up(now_ms)) else {
            return false;
        };
        let doublings = (now_ms - backoff.until_ms) / RAMP_UP_DOUBLING_MS;
        let is_spent = backoff.sent >= 1 << doublings;
        is_spent || !(backoff.is_answered || has_attempt_left)
    }

    /// Records that a request is sent to an endpoint.
    pub fn record_sent(&mut self, start: u32, now_ms: u64) {
        let backoff = self.by_start.get_mut(&start);
        if let Some(backoff) = backoff.filter(|backoff| backoff.is_ramping_up(now_ms)) {
            backoff.sent += 1;
        }
    }

    /// Records that an endpoint accepted a request.
    pub fn record_answered(&mut self, start: u32, now_ms: u64) {
        let backoff = self.by_start.get_mut(&start);
        if let Some(backoff) = backoff.filter(|backoff| backoff.is_ramping_up(now_ms)) {
            backoff.is_answered = true;
        }
    }

    /// Number of endpoints backing off.
    pub fn count(&self, now_ms: u64) -> usize {
        let all = self.by_start.values();
        all.filter(|backoff| backoff.is_active(now_ms)).count()
    }

    /// Whether no endpoint is recorded as backing off or ramping up.
    pub fn is_empty(&self) -> bool {
        self.by_start.is_empty()
    }

    /// Drops endpoints that have ramped up. Returns each endpoint whose backoff ended
    /// since the last call.
    pub fn expire(&mut self, now_ms: u64) -> Vec<Arc<Endpoint>> {
        let mut ended = Vec::new();
        self.by_start.retain(|_, backoff| {
            if backoff.is_active(now_ms) {
                return true;
            }
            if !backoff.is_end_reported {
                backoff.is_end_reported = true;
                ended.push(backoff.endpoint.clone());
            }
            backoff.is_ramping_up(now_ms)
        });
        ended
    }
}
