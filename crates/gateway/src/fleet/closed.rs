//! Endpoints that are sent nothing or little: those of evacuated zones, those that are
//! cold, and those that asked this host for a while without requests.

use chalkrock_core::{Endpoint, PoolId, ZoneId};
use chalkrock_routing::{
    EvacuationChange, EvacuationRow, Evacuations, PoolMember, PoolRules, StoreVersion,
};

use crate::fleet::{Fleet, SelectedEndpoint};
use crate::source::ListedEndpoint;

/// Time after which a request that was chosen for a cold endpoint is no longer
/// sent to it: many that waited for a connection would go out together.
const COLD_SEND_DELAY_MAX_MS: u64 = 200;

impl Fleet {
    /// Takes what endpoints bear while they are cold.
    pub(crate) fn set_pools(&mut self, pools: &[PoolRules]) {
        let by_name = pools.iter().map(|pool| (pool.name.clone(), pool.clone()));
        self.pools = by_name.collect();
    }

    /// Takes the zones that are evacuated, if they are known as of a later
    /// version.
    pub(crate) fn merge_evacuations(
        &mut self,
        evacuations: &Evacuations,
        now_ms: u64,
    ) -> EvacuationChange {
        let change = self.evacuations.merge(evacuations);
        self.evacuations_changed(&change, now_ms);
        change
    }

    /// Takes the zones that are evacuated as they were read whole.
    pub(crate) fn replace_evacuations(
        &mut self,
        evacuations: Evacuations,
        now_ms: u64,
    ) -> EvacuationChange {
        let change = self.evacuations.replace(evacuations);
        self.evacuations_changed(&change, now_ms);
        change
    }

    /// Takes the evacuations of a part of the store's history.
    pub(crate) fn apply_evacuation_changes(
        &mut self,
        rows: &[EvacuationRow],
        until: StoreVersion,
        now_ms: u64,
    ) -> EvacuationChange {
        let change = self.evacuations.apply_changes(rows, until);
        self.evacuations_changed(&change, now_ms);
        change
    }

    fn evacuations_changed(&mut self, change: &EvacuationChange, now_ms: u64) {
        if change.is_empty() {
            return;
        }
        self.endpoints
            .set_evacuated(self.evacuations.zones().clone());
        for zone in &change.begun {
            let until_ms = now_ms + self.evacuation_copy_ms;
            self.copied_until_ms.insert(zone.clone(), until_ms);
        }
        for zone in &change.ended {
            self.copied_until_ms.remove(zone);
            self.presume_zone_cold(zone, now_ms);
        }
    }

    /// The endpoints of a zone that was taken back may have turned cold shortly
    /// before, and their entries tell so late.
    fn presume_zone_cold(&mut self, zone: &ZoneId, now_ms: u64) {
        for member in self.endpoints.serving_in(zone) {
            let Some(pool) = self.pools.get(&member.endpoint.pool) else {
                continue;
            };
            let longest_ms = pool.cold_start_ms.min(self.entry_delay_ms);
            self.cold
                .presume_cold(member.hash.short(), longest_ms, now_ms);
        }
    }

    /// Whether so many endpoints are sent nothing or little that the others have
    /// much more than their part.
    pub(crate) fn is_crowded(&self, now_ms: u64) -> bool {
        const CLOSED_PART: f64 = 0.15;
        let serving = self.endpoints.serving_count();
        let evacuated = serving - self.endpoints.live_count();
        let closed = evacuated + self.cold.count(now_ms) + self.backoffs.count(now_ms);
        closed as f64 > CLOSED_PART * serving as f64
    }

    /// Whether the endpoint of a choice may still be sent the request, which is
    /// then sent.
    pub(crate) fn may_still_send(&mut self, choice: &SelectedEndpoint, now_ms: u64) -> bool {
        let member = &choice.member;
        let backs_off = self.backoffs.is_active(member.hash.short(), now_ms);
        if backs_off || !self.endpoints.accepts_work(&member.endpoint) {
            return false;
        }
        let may_send = if choice.is_cold {
            now_ms.saturating_sub(choice.chosen_at_ms) <= COLD_SEND_DELAY_MAX_MS
        } else {
            self.may_send_if_cold(member, now_ms)
        };
        if may_send {
            self.cold.record_sent(member.hash.short(), now_ms);
        }
        may_send
    }

    /// Whether a pool has an endpoint that may be sent requests now.
    pub(crate) fn accepts_requests(&self, pool: &PoolId, now_ms: u64) -> bool {
        let live = self.endpoints.live(pool);
        let mut starts = live.iter().map(|member| member.hash.short());
        starts.any(|start| !self.backoffs.is_active(start, now_ms))
    }

    /// Time until a pool has an endpoint again that may be sent requests, in
    /// milliseconds; `None` unless all that it has asked to be sent nothing.
    pub(crate) fn backoff_remaining_ms(&self, pool: &PoolId, now_ms: u64) -> Option<u64> {
        let live = self.endpoints.live(pool);
        let usable = self.with_stable_builds(pool, &live, now_ms);
        let left_ms = usable.map(|member| self.backoffs.remaining_ms(member.hash.short(), now_ms));
        left_ms.min().filter(|left_ms| *left_ms > 0)
    }

    /// Whether an endpoint is not cold, or this host's share of what it bears
    /// allows a request now.
    pub(super) fn may_send_if_cold(&self, member: &PoolMember, now_ms: u64) -> bool {
        if !self.is_bounded(member, now_ms) {
            return true;
        }
        let is_same_zone = member.endpoint.zone == self.zone;
        let sustained_per_s = self.cold_per_s(&member.endpoint.pool);
        self.cold
            .may_send(member.hash.short(), sustained_per_s, is_same_zone, now_ms)
    }

    /// Whether an endpoint is cold and bears only so many requests meanwhile.
    pub(super) fn is_bounded(&self, member: &PoolMember, now_ms: u64) -> bool {
        if self.cold.is_empty() {
            return false;
        }
        let sustained_per_s = self.cold_per_s(&member.endpoint.pool);
        self.cold
            .is_bounded(member.hash.short(), sustained_per_s, now_ms)
    }

    /// Requests that a cold endpoint of a pool bears in a second, 0 for any
    /// number.
    pub(super) fn cold_per_s(&self, pool: &PoolId) -> f64 {
        self.pools.get(pool).map_or(0.0, PoolRules::cold_per_s)
    }

    /// The endpoints of evacuated zones from which prefixes may still be copied.
    pub(super) fn copied_while_evacuated(&self, pool: &PoolId, now_ms: u64) -> Vec<PoolMember> {
        if self
            .copied_until_ms
            .values()
            .all(|until_ms| now_ms >= *until_ms)
        {
            return Vec::new();
        }
        let serving = self.endpoints.serving(pool);
        let copied = serving.iter().filter(|member| {
            let until_ms = self.copied_until_ms.get(&member.endpoint.zone);
            member.is_evacuated && until_ms.is_some_and(|until_ms| now_ms < *until_ms)
        });
        copied.cloned().collect()
    }

    /// Takes what an endpoint's entry says of how long it is cold.
    pub(super) fn record_cold_report(&mut self, listed: &ListedEndpoint, now_ms: u64) {
        let short = listed.endpoint.start_hash().short();
        if self.cold.record_report(short, listed.cold_left_ms, now_ms) {
            self.newly_cold.push(listed.endpoint.clone());
        }
    }

    /// The endpoints that have been found to be cold since this was last asked.
    pub(crate) fn take_newly_cold(&mut self) -> Vec<Endpoint> {
        std::mem::take(&mut self.newly_cold)
    }
}
