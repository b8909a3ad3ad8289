//! Grants free slots and rejects what can't start in time.

use std::collections::BTreeMap;
use std::hash::Hash;

use super::host_state::{Lease, Rejected};
use super::{PoolScheduler, RANKS, ROUND_TRIP_MS};
use crate::RETURN_HORIZON_MS;
use crate::pool_queue::RejectionCause;
use crate::pool_queue::order::{Queued, mark_over_share, order};

/// Use of an open endpoint in one review.
#[derive(Clone, Copy, Debug)]
struct EndpointRoom {
    taken: u32,
    /// Most requests that it may have.
    limit: u32,
    slots: u32,
}

impl EndpointRoom {
    fn utilisation(&self) -> f64 {
        f64::from(self.taken) / f64::from(self.slots)
    }
}

/// The endpoint with the lowest utilisation among those with room that a request has not
/// tried.
fn least_loaded(rooms: &BTreeMap<u32, EndpointRoom>, tried: &[u32]) -> Option<u32> {
    let with_room = rooms
        .iter()
        .filter(|(endpoint, room)| room.taken < room.limit && !tried.contains(endpoint));
    let least = with_room.min_by(|(_, a), (_, b)| a.utilisation().total_cmp(&b.utilisation()));
    least.map(|(&endpoint, _)| endpoint)
}

impl<H: Clone + Eq + Hash + Ord> PoolScheduler<H> {
    /// Grants free slots and rejects what can't start in time. Returns the hosts whose
    /// reply changes.
    pub fn schedule(&mut self, now_ms: u64) -> Vec<H> {
        self.reviewed_ms = now_ms;
        self.remove_silent_hosts(now_ms);
        let is_settling = self.is_settling(now_ms);
        let mean_ms = self.mean_service_ms();
        let slots_per_ms = self.slots_per_ms(now_ms);
        let mut endpoints = self.endpoints.values();
        if self.waiting == 0
            && endpoints.any(|endpoint| endpoint.is_open && endpoint.leases < endpoint.slots)
        {
            self.gates.record_free_slot();
        }
        self.gates
            .update(slots_per_ms, &mut self.ledger, &self.return_rates, now_ms);
        if self.waiting == 0 {
            return Vec::new();
        }

        let (queued, organisations) = self.queued(slots_per_ms, now_ms);
        let ordered = order(queued, &self.rank_shares);
        let mut rooms = self.rooms(mean_ms, is_settling, now_ms);
        let mut waiting_by_rank = [0_u32; RANKS];
        for request in &ordered {
            waiting_by_rank[usize::from(request.rank)] += 1;
        }
        // Requests that start before the next one that has to wait.
        let mut ahead = f64::from(self.leases_above_slots(is_settling, now_ms));
        let mut changed = Vec::new();
        for request in ordered {
            let state = self.hosts.get(&request.host);
            let Some(entry) = state.and_then(|state| state.waiting.get(&request.ticket)) else {
                continue;
            };
            let is_in_time = entry.latest_start_ms > now_ms;
            let least = least_loaded(&rooms, &entry.tried).filter(|_| is_in_time);
            if let Some(endpoint) = least {
                self.grant(&request, endpoint, &waiting_by_rank, now_ms);
                if let Some(room) = rooms.get_mut(&endpoint) {
                    room.taken += 1;
                    ahead += f64::from(u8::from(room.taken > room.slots));
                }
                changed.push(request.host);
                continue;
            }
            let is_untried = |endpoint: &u32| !entry.tried.contains(endpoint);
            let has_endpoint = rooms.is_empty() || rooms.keys().any(is_untried);
            let wait_ms = if slots_per_ms > 0.0 {
                (ahead + 1.0) / slots_per_ms
            } else {
                0.0
            };
            let longest_ms = entry.longest_wait_ms(mean_ms, now_ms);
            if is_in_time && has_endpoint && wait_ms <= longest_ms {
                ahead += 1.0;
                continue;
            }
            self.reject(&request, slots_per_ms, organisations, now_ms);
            changed.push(request.host);
        }
        changed.sort_unstable();
        changed.dedup();
        changed
    }

    /// The open endpoints.
    fn rooms(&self, mean_ms: f64, is_settling: bool, now_ms: u64) -> BTreeMap<u32, EndpointRoom> {
        let open = self
            .endpoints
            .iter()
            .filter(|(_, endpoint)| endpoint.is_open);
        let rooms = open.map(|(&hash, endpoint)| {
            let room = EndpointRoom {
                taken: endpoint.taken(now_ms, is_settling),
                limit: endpoint.limit(ROUND_TRIP_MS, mean_ms, now_ms, is_settling),
                slots: endpoint.slots,
            };
            (hash, room)
        });
        rooms.collect()
    }

    /// Requests that wait in the endpoints' own queues.
    fn leases_above_slots(&self, is_settling: bool, now_ms: u64) -> u32 {
        let endpoints = self.endpoints.values();
        let above = endpoints.map(|endpoint| {
            let taken = endpoint.taken(now_ms, is_settling);
            taken.saturating_sub(endpoint.slots)
        });
        above.sum()
    }

    fn grant(
        &mut self,
        request: &Queued<H>,
        endpoint: u32,
        waiting_by_rank: &[u32; RANKS],
        now_ms: u64,
    ) {
        let Some(state) = self.hosts.get_mut(&request.host) else {
            return;
        };
        let Some(entry) = state.waiting.remove(&request.ticket) else {
            return;
        };
        self.waiting -= 1;
        self.ledger
            .record(entry.organisation, f64::from(entry.work_ms), now_ms);
        self.gates.count_grant(entry.organisation);
        self.rank_shares
            .granted(usize::from(request.rank), waiting_by_rank);
        self.granted += 1;
        let lease = Lease {
            endpoint,
            granted_ms: Some(now_ms),
            is_held: false,
            request: Some(entry),
        };
        state.leases.insert(request.ticket, lease);
        if let Some(slots) = self.endpoints.get_mut(&endpoint) {
            slots.add_lease(false, now_ms);
        }
    }

    /// Rejects a request, with a reserved return if there is one.
    fn reject(
        &mut self,
        request: &Queued<H>,
        slots_per_ms: f64,
        organisations: usize,
        now_ms: u64,
    ) {
        let Some(state) = self.hosts.get_mut(&request.host) else {
            return;
        };
        let Some(entry) = state.waiting.remove(&request.ticket) else {
            return;
        };
        self.waiting -= 1;
        self.ledger
            .record_rejected(entry.organisation, f64::from(entry.work_ms), now_ms);
        let cause = if request.is_over_share {
            self.rejected_over_share += 1;
            RejectionCause::OverShare
        } else {
            self.rejected_full += 1;
            RejectionCause::Full
        };
        let rank = usize::from(request.rank);
        // Hosts apply gates to returns and new requests alike.
        let gate_ms = self.gates.retry_after_ms(entry.organisation, now_ms);
        let returns_per_ms = self.return_rates.returns_per_ms(rank, slots_per_ms, now_ms);
        let has_return = gate_ms.is_none()
            && self.return_rates.may_reserve(
                entry.organisation,
                rank,
                returns_per_ms,
                organisations,
                now_ms,
            );
        let retry_after_ms = if has_return {
            let per_s = returns_per_ms * 1_000.0;
            self.returns
                .reserve(entry.fingerprint, entry.rank, per_s, now_ms)
        } else {
            gate_ms.unwrap_or(RETURN_HORIZON_MS as u32)
        };
        let return_at_ms = now_ms.saturating_add(u64::from(retry_after_ms));
        if has_return && retry_after_ms < RETURN_HORIZON_MS as u32 {
            self.return_rates
                .record_return(entry.organisation, return_at_ms);
        }
        let rejected = Rejected {
            cause,
            return_at_ms,
        };
        state.rejected.insert(request.ticket, rejected);
    }

    /// All waiting requests, and the number of their organisations.
    fn queued(&mut self, slots_per_ms: f64, now_ms: u64) -> (Vec<Queued<H>>, usize) {
        let mut queued = Vec::with_capacity(self.waiting);
        for (host, state) in &self.hosts {
            for (&ticket, entry) in &state.waiting {
                queued.push(Queued {
                    host: host.clone(),
                    ticket,
                    rank: entry.rank,
                    organisation: entry.organisation,
                    is_returning: entry.is_returning,
                    latest_start_ms: entry.latest_start_ms,
                    since_ms: entry.since_ms,
                    is_over_share: false,
                });
            }
        }
        let organisations = mark_over_share(&mut queued, slots_per_ms, &mut self.ledger, now_ms);
        (queued, organisations)
    }
}
