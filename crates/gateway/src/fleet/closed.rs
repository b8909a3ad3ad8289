//! Endpoints that receive few or no requests: evacuated, cold or backing off.

use chalkrock_core::{Endpoint, PoolId, ZoneId};
use chalkrock_routing::{
    EvacuationChange, EvacuationRow, Evacuations, PoolMember, PoolRules, StoreVersion,
};

use crate::fleet::{Fleet, SelectedEndpoint};
use crate::source::ListedEndpoint;

/// Maximum delay between selection of a cold endpoint and sending; requests that waited for
/// a connection would otherwise arrive together.
const MAX_COLD_SEND_DELAY_MS: u64 = 200;

impl Fleet {
    pub(crate) fn set_pools(&mut self, pools: &[PoolRules]) {
        let by_name = pools.iter().map(|pool| (pool.name.clone(), pool.clone()));
        self.pools = by_name.collect();
    }

    /// Merges evacuations received from a peer.
    pub(crate) fn merge_evacuations(
        &mut self,
        evacuations: &Evacuations,
        now_ms: u64,
    ) -> EvacuationChange {
        let change = self.evacuations.merge(evacuations);
        self.apply_evacuation_change(&change, now_ms);
        change
    }

    /// Replaces the evacuations after a full read of the store.
    pub(crate) fn replace_evacuations(
        &mut self,
        evacuations: Evacuations,
        now_ms: u64,
    ) -> EvacuationChange {
        let change = self.evacuations.replace(evacuations);
        self.apply_evacuation_change(&change, now_ms);
        change
    }

    /// Applies evacuation changes from the store, up to a version.
    pub(crate) fn apply_evacuation_changes(
        &mut self,
        rows: &[EvacuationRow],
        until: StoreVersion,
        now_ms: u64,
    ) -> EvacuationChange {
        let change = self.evacuations.apply_changes(rows, until);
        self.apply_evacuation_change(&change, now_ms);
        change
    }

    fn apply_evacuation_change(&mut self, change: &EvacuationChange, now_ms: u64) {
        if change.is_empty() {
            return;
        }
        self.endpoints
            .set_evacuated(self.evacuations.zones().clone());
        for zone in &change.begun {
            let until_ms = now_ms + self.evacuation_copy_ms;
            self.copy_prefixes_until_ms.insert(zone.clone(), until_ms);
        }
        for zone in &change.ended {
            self.copy_prefixes_until_ms.remove(zone);
            self.presume_zone_cold(zone, now_ms);
        }
    }

    /// Endpoints of a reopened zone may have turned cold before their entries show it.
    fn presume_zone_cold(&mut self, zone: &ZoneId, now_ms: u64) {
        for member in self.endpoints.serving_in(zone) {
            let Some(pool) = self.pools.get(&member.endpoint.pool) else {
                continue;
            };
            let max_cold_ms = pool.cold_start_ms.min(self.entry_delay_ms);
            self.cold
                .presume_cold(member.hash.short(), max_cold_ms, now_ms);
        }
    }

    /// Whether so many endpoints are closed that the others receive far more than their
    /// usual share.
    pub(crate) fn has_many_closed(&self, now_ms: u64) -> bool {
        const MAX_CLOSED_FRACTION: f64 = 0.15;
        let serving = self.endpoints.serving_count();
        let evacuated = serving - self.endpoints.live_count();
        let closed = evacuated + self.cold.count(now_ms) + self.backoffs.count(now_ms);
        closed as f64 > MAX_CLOSED_FRACTION * serving as f64
    }

    /// Checks that the selected endpoint still accepts the request and, if so, records the
    /// send.
    pub(crate) fn may_still_send(&mut self, choice: &SelectedEndpoint, now_ms: u64) -> bool {
        let member = &choice.member;
        let backs_off = self.backoffs.is_active(member.hash.short(), now_ms);
        if backs_off || !self.endpoints.accepts_work(&member.endpoint) {
            return false;
        }
        let may_send = if choice.is_cold {
            now_ms.saturating_sub(choice.selected_at_ms) <= MAX_COLD_SEND_DELAY_MS
        } else {
            self.may_send_if_cold(member, now_ms)
        };
        if may_send {
            self.cold.record_sent(member.hash.short(), now_ms);
        }
        may_send
    }

    /// Whether a pool has an endpoint that accepts requests.
    pub(crate) fn accepts_requests(&self, pool: &PoolId, now_ms: u64) -> bool {
        let live = self.endpoints.live(pool);
        let mut starts = live.iter().map(|member| member.hash.short());
        starts.any(|start| !self.backoffs.is_active(start, now_ms))
    }

    /// Time until an endpoint of the pool accepts requests, in milliseconds; `None` unless
    /// all of them back off.
    pub(crate) fn backoff_remaining_ms(&self, pool: &PoolId, now_ms: u64) -> Option<u64> {
        let live = self.endpoints.live(pool);
        let usable = self.with_stable_builds(pool, &live, now_ms);
        let remaining_ms =
            usable.map(|member| self.backoffs.remaining_ms(member.hash.short(), now_ms));
        remaining_ms.min().filter(|remaining_ms| *remaining_ms > 0)
    }

    /// Whether an endpoint is warm or this host's share of its cold rate allows a request.
    pub(super) fn may_send_if_cold(&self, member: &PoolMember, now_ms: u64) -> bool {
        if !self.is_bounded(member, now_ms) {
            return true;
        }
        let is_same_zone = member.endpoint.zone == self.zone;
        let sustained_per_s = self.cold_per_s(&member.endpoint.pool);
        self.cold
            .may_send(member.hash.short(), sustained_per_s, is_same_zone, now_ms)
    }

    /// Whether an endpoint is cold and its request rate is limited.
    pub(super) fn is_bounded(&self, member: &PoolMember, now_ms: u64) -> bool {
        if self.cold.is_empty() {
            return false;
        }
        let sustained_per_s = self.cold_per_s(&member.endpoint.pool);
        self.cold
            .is_bounded(member.hash.short(), sustained_per_s, now_ms)
    }

    /// Requests a second that a cold endpoint of a pool sustains; 0 means no limit.
    pub(super) fn cold_per_s(&self, pool: &PoolId) -> f64 {
        self.pools.get(pool).map_or(0.0, PoolRules::cold_per_s)
    }

    /// Endpoints of evacuated zones from which prefixes may still be copied.
    pub(super) fn evacuated_copy_sources(&self, pool: &PoolId, now_ms: u64) -> Vec<PoolMember> {
        if self
            .copy_prefixes_until_ms
            .values()
            .all(|until_ms| now_ms >= *until_ms)
        {
            return Vec::new();
        }
        let serving = self.endpoints.serving(pool);
        let copied = serving.iter().filter(|member| {
            let until_ms = self.copy_prefixes_until_ms.get(&member.endpoint.zone);
            member.is_evacuated && until_ms.is_some_and(|until_ms| now_ms < *until_ms)
        });
        copied.cloned().collect()
    }

    /// Records the remaining cold time in an endpoint's entry.
    pub(super) fn record_cold_report(&mut self, listed: &ListedEndpoint, now_ms: u64) {
        let short = listed.endpoint.start_hash().short();
        if self.cold.record_report(short, listed.cold_left_ms, now_ms) {
            self.newly_cold.push(listed.endpoint.clone());
        }
    }

    /// Returns and clears the endpoints newly found cold.
    pub(crate) fn take_newly_cold(&mut self) -> Vec<Endpoint> {
        std::mem::take(&mut self.newly_cold)
    }
}
