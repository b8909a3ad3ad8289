//! Endpoints that tolerate few rejections.

use chalkrock_core::PoolId;
use chalkrock_core::rendezvous::MemberHash;
use chalkrock_routing::{Candidate, LimitedLoad, own_slots};

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
            own_slots: self.own_slots.get(&endpoint).copied().unwrap_or(0),
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

    /// Updates the slots that belong to this host at endpoints that tolerate few rejections.
    pub(crate) fn update_own_slots(&mut self, local: MemberHash, others: &[MemberHash]) {
        let listed = self.endpoints.listed().map(|member| {
            let endpoint = member.hash.short();
            (endpoint, member.endpoint.slots)
        });
        let limited = listed.filter(|(endpoint, _)| self.rejection_limits.has_limit(*endpoint));
        let own = limited.map(|(endpoint, slots)| {
            let own = own_slots(endpoint, slots, local, others);
            (endpoint, own)
        });
        self.own_slots = own.collect();
    }

    /// Records that an endpoint rejected a request of this host.
    pub(crate) fn record_rejection(&mut self, endpoint: u32, now_ms: u64) {
        let hosts = self.load.known_host_count();
        self.rejection_limits
            .record_rejection(endpoint, hosts, now_ms);
    }
}
