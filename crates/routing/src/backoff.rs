//! Endpoints that asked this host to send them nothing for a while.
//!
//! An endpoint that turns a request away may say for how long it wants nothing. That
//! holds between the endpoint and this host, for all routes and organisations: other
//! hosts are told by the endpoint itself, or serve it well. It is kept by the
//! endpoint's start and not with the list, so that it outlives an entry that lapses,
//! and ends with a start anew. A later word may lengthen it; a shorter one, or a good
//! answer to a request that was sent before, takes nothing back.
//!
//! An endpoint that turns requests away has little in progress and looks idle: all
//! hosts would come back to it at once. So each adds a part of its own to the time,
//! and then sends few requests at first, which may be sent to another endpoint if they
//! are turned away again. That only moves requests to others: where all endpoints are
//! left alone or have just been, those that have just been are used.

use std::collections::HashMap;
use std::sync::Arc;

use chalkrock_core::Endpoint;

use crate::endpoints::PoolMember;

/// The longest time that is believed, an hour: what asks for more may not mean it, and
/// is asked again then.
pub const BACKOFF_MAX_MS: u64 = 3_600_000;
/// The parts of the time that a host adds to it, drawn between the two. The endpoint
/// counts from its answer, this host from its receipt.
const ADDED_PARTS: std::ops::Range<f64> = 0.01..0.2;
/// Time after its end in which few requests are sent.
const RETURN_MS: u64 = 1_000;
/// In a return one request may be sent at first, and twice as many after each such time.
const RETURN_DOUBLING_MS: u64 = 200;

/// What became of an endpoint's wish.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BackoffChange {
    /// It is sent nothing from now on, for so long.
    Begun {
        /// Milliseconds, with the part that this host adds.
        for_ms: u64,
    },
    /// It goes on for so long from now.
    Lengthened {
        /// Milliseconds, with the part that this host adds.
        for_ms: u64,
    },
    /// It was asked for no time, or for less than is left already.
    None,
}

#[derive(Clone, Debug)]
struct Backoff {
    endpoint: Arc<Endpoint>,
    until_ms: u64,
    /// Requests that were sent since its end.
    sent: u32,
    /// Whether one of them was answered and not turned away.
    is_answered: bool,
    is_end_told: bool,
}

impl Backoff {
    fn is_active(&self, now_ms: u64) -> bool {
        now_ms < self.until_ms
    }

    fn returns(&self, now_ms: u64) -> bool {
        !self.is_active(now_ms) && now_ms < self.until_ms + RETURN_MS
    }
}

/// The endpoints that asked one host to send them nothing.
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
/// backoffs.asked(&member, 3_000, 0.0, 100);
/// assert!(backoffs.is_active(start, 3_099));
/// assert!(!backoffs.is_active(start, 4_000));
/// ```
#[derive(Clone, Debug, Default)]
pub struct Backoffs {
    by_start: HashMap<u32, Backoff>,
}

impl Backoffs {
    /// An endpoint wants nothing for so long; `draw`, from 0 up to 1, is this host's own.
    pub fn record_request(
        &mut self,
        member: &PoolMember,
        asked_ms: u64,
        draw: f64,
        now_ms: u64,
    ) -> BackoffChange {
        if asked_ms == 0 {
            return BackoffChange::None;
        }
        let asked_ms = asked_ms.min(BACKOFF_MAX_MS);
        let part = ADDED_PARTS.start + draw * (ADDED_PARTS.end - ADDED_PARTS.start);
        let for_ms = asked_ms + (asked_ms as f64 * part).ceil() as u64;
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
                is_end_told: false,
            },
        );
        if is_active {
            BackoffChange::Lengthened { for_ms }
        } else {
            BackoffChange::Begun { for_ms }
        }
    }

    /// Whether an endpoint is to be sent nothing now.
    pub fn is_active(&self, start: u32, now_ms: u64) -> bool {
        let backoff = self.by_start.get(&start);
        backoff.is_some_and(|backoff| backoff.is_active(now_ms))
    }

    /// For how much longer an endpoint is sent nothing, in milliseconds.
    pub fn remaining_ms(&self, start: u32, now_ms: u64) -> u64 {
        let backoff = self.by_start.get(&start);
        backoff.map_or(0, |backoff| backoff.until_ms.saturating_sub(now_ms))
    }

    /// Whether a request should rather go to another endpoint, since this one was left
    /// alone until a moment ago; `has_attempt_left`: it may be sent to another one if it
    /// is turned away.
    pub fn prefers_others(&self, start: u32, has_attempt_left: bool, now_ms: u64) -> bool {
        let backoff = self.by_start.get(&start);
        let Some(backoff) = backoff.filter(|backoff| backoff.returns(now_ms)) else {
            return false;
        };
        let doublings = (now_ms - backoff.until_ms) / RETURN_DOUBLING_MS;
        let is_spent = backoff.sent >= 1 << doublings;
        is_spent || !(backoff.is_answered || has_attempt_left)
    }

    /// A request is sent to an endpoint.
    pub fn record_sent(&mut self, start: u32, now_ms: u64) {
        let backoff = self.by_start.get_mut(&start);
        if let Some(backoff) = backoff.filter(|backoff| backoff.returns(now_ms)) {
            backoff.sent += 1;
        }
    }

    /// An endpoint answered a request and did not turn it away.
    pub fn record_answered(&mut self, start: u32, now_ms: u64) {
        let backoff = self.by_start.get_mut(&start);
        if let Some(backoff) = backoff.filter(|backoff| backoff.returns(now_ms)) {
            backoff.is_answered = true;
        }
    }

    /// How many endpoints are sent nothing now.
    pub fn count(&self, now_ms: u64) -> usize {
        let all = self.by_start.values();
        all.filter(|backoff| backoff.is_active(now_ms)).count()
    }

    /// Whether no endpoint has asked for time of late.
    pub fn is_empty(&self) -> bool {
        self.by_start.is_empty()
    }

    /// Drops what is over. Returns the endpoints that may be sent requests again, each
    /// once.
    pub fn expire(&mut self, now_ms: u64) -> Vec<Arc<Endpoint>> {
        let mut ended = Vec::new();
        self.by_start.retain(|_, backoff| {
            if backoff.is_active(now_ms) {
                return true;
            }
            if !backoff.is_end_told {
                backoff.is_end_told = true;
                ended.push(backoff.endpoint.clone());
            }
            backoff.returns(now_ms)
        });
        ended
    }
}
