//! Endpoints that tolerate few rejections.

use chalkrock_core::PoolId;
use chalkrock_routing::{Candidate, LimitedLoad};

use crate::fleet::{EndpointQuery, Fleet, SelectedEndpoint};

impl Fleet {
    /// Whether a request may be sent to an endpoint without the risk of a rejection that it
    /// does not tolerate.
    pub(super) fn is_within_rejection_limit(
        &self,
        candidate: &Candidate,
        unreported_arrivals: f64,
        now_ms: u64,
    ) -> bool {
        if self.rejection_limits.is_empty() {
            return true;
        }
        let endpoint = candidate.hash.short();
        let load = LimitedLoad {
            load: candidate.load,
            local_load: self.load.local_in_progress(endpoint),
            slots: candidate.slots,
            unreported_arrivals,
            hosts: self.load.known_host_count(),
            draw: self.turn_draw(endpoint, now_ms),
        };
        self.rejection_limits.accepts(endpoint, &load, now_ms)
    }

    /// Whether an endpoint that another host has chosen is within its limit here.
    pub(crate) fn accepts_forwarded(
        &self,
        query: &EndpointQuery<'_>,
        choice: &SelectedEndpoint,
        now_ms: u64,
    ) -> bool {
        let candidate = self.candidate(&choice.member, query, &[], now_ms);
        self.is_within_rejection_limit(&candidate, 0.0, now_ms)
    }

    /// Whether an endpoint of the pool tolerates few rejections.
    pub(crate) fn is_brittle(&self, pool: &PoolId, now_ms: u64) -> bool {
        if self.rejection_limits.is_empty() {
            return false;
        }
        let members = self.endpoints.live(pool);
        let mut starts = members.iter().map(|member| member.hash.short());
        starts.any(|start| self.rejection_limits.is_limited(start, now_ms))
    }

    /// A number from 0 to 1 of this host at an endpoint, drawn anew at each interval. Drawn for
    /// each request, the first of many that wait would always have a turn.
    fn turn_draw(&self, endpoint: u32, now_ms: u64) -> f64 {
        const TURN_MS: u64 = 100;
        /// Spreads close values (Fibonacci hashing).
        const MULTIPLIER: u64 = 0x9E37_79B9_7F4A_7C15;
        let turn = now_ms / TURN_MS;
        let key = self.turn_seed ^ u64::from(endpoint) << u32::BITS ^ turn;
        let mixed = key.wrapping_mul(MULTIPLIER);
        let mixed = (mixed ^ mixed >> u32::BITS).wrapping_mul(MULTIPLIER);
        (mixed >> u32::BITS) as f64 / f64::from(u32::MAX)
    }

    /// Records that an endpoint rejected a request of this host.
    pub(crate) fn record_rejection(&mut self, endpoint: u32, now_ms: u64) {
        let hosts = self.load.known_host_count();
        self.rejection_limits
            .record_rejection(endpoint, hosts, now_ms);
    }
}
