//! Takes in the asks of hosts: what waits and what runs there.

use std::collections::BTreeMap;
use std::hash::Hash;

use super::host_state::{HostState, Lease, Waiting};
use super::{AskOutcome, DEFAULT_SERVICE_MS, LEASE_MS, PoolScheduler, RANKS, ROUND_TRIP_MS};
use crate::pool_queue::{
    HeldLease, MAX_LEASES_PER_ASK, MAX_WAITING_PER_ASK, SlotAsk, TicketId, WaitingRequest,
};

/// Most hosts of one scheduler.
const MAX_HOSTS: usize = 2_048;
/// Most requests that wait in one scheduler.
const MAX_WAITING: usize = 8_192;
/// Time for which a grant stays that a long list of waiting requests leaves out.
const UNLISTED_GRANT_MS: u64 = 50;
/// Weight of a sample in the pool's service time.
const SERVICE_TIME_WEIGHT: f64 = 0.05;
/// Longest expected service time that a host may state.
const MAX_WORK_MS: u32 = 10_000;
/// Longest time to start that a host may state.
const MAX_START_WITHIN_MS: u32 = 60_000;
/// Most endpoints that one request names as tried.
const MAX_TRIED: usize = 8;

impl<H: Clone + Eq + Hash + Ord> PoolScheduler<H> {
    /// Replaces what is known of a host by its ask.
    pub fn ask(&mut self, host: H, ask: SlotAsk, now_ms: u64) -> AskOutcome {
        if let Some(known) = self.hosts.get(&host) {
            let last = (known.incarnation, known.sequence);
            if (ask.incarnation, ask.sequence) <= last {
                return AskOutcome::Stale;
            }
            if ask.incarnation > known.incarnation {
                self.remove_host(&host, now_ms);
            }
        }
        if !self.hosts.contains_key(&host) && self.hosts.len() >= MAX_HOSTS {
            self.remove_silent_hosts(now_ms);
            if self.hosts.len() >= MAX_HOSTS {
                return AskOutcome::Stale;
            }
        }
        self.first_ask_ms.get_or_insert(now_ms);
        self.pool = ask.pool;
        let mut state = self.hosts.remove(&host).unwrap_or_else(|| HostState {
            incarnation: ask.incarnation,
            sequence: 0,
            seen_ms: now_ms,
            waiting: BTreeMap::new(),
            leases: BTreeMap::new(),
            rejected: BTreeMap::new(),
        });
        state.sequence = ask.sequence;
        state.seen_ms = now_ms;
        self.waiting -= state.waiting.len();
        let listed_waiting = ask.waiting.len().min(MAX_WAITING_PER_ASK);
        let waiting: BTreeMap<TicketId, &WaitingRequest> = ask.waiting[..listed_waiting]
            .iter()
            .map(|request| (request.ticket, request))
            .collect();
        let listed_held = ask.held.len().min(MAX_LEASES_PER_ASK);
        let held: BTreeMap<TicketId, &HeldLease> = ask.held[..listed_held]
            .iter()
            .map(|lease| (lease.ticket, lease))
            .collect();
        self.update_leases(&mut state, &waiting, &held, now_ms);
        self.update_waiting(&mut state, &waiting, now_ms);
        self.waiting += state.waiting.len();
        self.hosts.insert(host, state);
        AskOutcome::Applied
    }

    fn update_leases(
        &mut self,
        state: &mut HostState,
        waiting: &BTreeMap<TicketId, &WaitingRequest>,
        held: &BTreeMap<TicketId, &HeldLease>,
        now_ms: u64,
    ) {
        // A long list may leave out requests that do not fit the packet.
        let is_waiting_complete = waiting.len() < MAX_WAITING_PER_ASK / 2;
        let is_held_complete = held.len() < MAX_LEASES_PER_ASK;
        for (ticket, mut lease) in std::mem::take(&mut state.leases) {
            if let Some(listed) = held.get(&ticket) {
                lease.is_held = true;
                if lease.endpoint != listed.endpoint {
                    self.remove_lease(&lease, None, now_ms);
                    lease = self.add_foreign_lease(listed, now_ms);
                }
                state.leases.insert(ticket, lease);
                continue;
            }
            let age_ms = now_ms.saturating_sub(lease.granted_ms.unwrap_or(now_ms));
            let is_kept = age_ms < LEASE_MS
                && match (lease.is_held, waiting.get(&ticket)) {
                    // The ask crossed the grant, or the grant was lost.
                    (false, Some(request)) => !request.tried.contains(&lease.endpoint),
                    (false, None) => !is_waiting_complete && age_ms < UNLISTED_GRANT_MS,
                    (true, Some(_)) => false,
                    (true, None) => !is_held_complete,
                };
            if is_kept {
                state.leases.insert(ticket, lease);
            } else {
                // Short requests end before an ask lists them; one that was dropped before
                // its grant arrived did not run.
                let has_run = lease.is_held || age_ms as f64 > ROUND_TRIP_MS;
                let has_ended = has_run && !waiting.contains_key(&ticket);
                let ran_ms = lease.granted_ms.filter(|_| has_ended).map(|_| age_ms);
                self.remove_lease(&lease, ran_ms, now_ms);
                if let Some(request) = lease.request {
                    state.waiting.insert(ticket, request);
                }
            }
        }
        for (&ticket, &listed) in held {
            state
                .leases
                .entry(ticket)
                .or_insert_with(|| self.add_foreign_lease(listed, now_ms));
        }
    }

    fn update_waiting(
        &mut self,
        state: &mut HostState,
        waiting: &BTreeMap<TicketId, &WaitingRequest>,
        now_ms: u64,
    ) {
        state
            .rejected
            .retain(|ticket, _| waiting.contains_key(ticket));
        let mut known = std::mem::take(&mut state.waiting);
        for (&ticket, &request) in waiting {
            if state.leases.contains_key(&ticket) || state.rejected.contains_key(&ticket) {
                continue;
            }
            let work_ms = request.work_ms.clamp(1, MAX_WORK_MS);
            self.service_ms.get_or_insert(f64::from(work_ms));
            let start_within_ms = u64::from(request.start_within_ms.min(MAX_START_WITHIN_MS));
            let latest_start_ms = now_ms.saturating_add(start_within_ms);
            let mut tried = request.tried.clone();
            tried.truncate(MAX_TRIED);
            let entry = match known.remove(&ticket) {
                Some(mut entry) => {
                    // A later ask may have been delayed more than an earlier one.
                    entry.latest_start_ms = entry.latest_start_ms.min(latest_start_ms);
                    entry.tried = tried;
                    entry
                }
                None => {
                    let rank = request.rank.min(RANKS as u8 - 1);
                    self.gates.count_arrival(request.organisation);
                    self.return_rates.record_arrival(usize::from(rank), now_ms);
                    Waiting {
                        rank,
                        organisation: request.organisation,
                        latest_start_ms,
                        work_ms,
                        fingerprint: request.fingerprint,
                        tried,
                        since_ms: now_ms,
                        is_returning: self.returns.redeem(request.fingerprint, now_ms),
                    }
                }
            };
            if self.waiting + state.waiting.len() < MAX_WAITING {
                state.waiting.insert(ticket, entry);
            }
        }
    }

    fn add_foreign_lease(&mut self, listed: &HeldLease, now_ms: u64) -> Lease {
        if let Some(endpoint) = self.endpoints.get_mut(&listed.endpoint) {
            endpoint.add_lease(true, now_ms);
        }
        Lease {
            endpoint: listed.endpoint,
            granted_ms: None,
            is_held: true,
            request: None,
        }
    }

    fn remove_lease(&mut self, lease: &Lease, ran_ms: Option<u64>, now_ms: u64) {
        let Some(endpoint) = self.endpoints.get_mut(&lease.endpoint) else {
            return;
        };
        if let Some(ran_ms) = ran_ms {
            let service_ms = (ran_ms as f64 - ROUND_TRIP_MS / 2.0).max(1.0);
            let mean = self.service_ms.get_or_insert(DEFAULT_SERVICE_MS);
            let sample = endpoint.learn_service_time(service_ms, *mean);
            *mean += SERVICE_TIME_WEIGHT * (sample - *mean);
        }
        endpoint.remove_lease(lease.is_foreign(), now_ms);
    }

    fn remove_host(&mut self, host: &H, now_ms: u64) {
        let Some(state) = self.hosts.remove(host) else {
            return;
        };
        self.waiting -= state.waiting.len();
        for lease in state.leases.values() {
            self.remove_lease(lease, None, now_ms);
        }
    }

    pub(super) fn remove_silent_hosts(&mut self, now_ms: u64) {
        let silent: Vec<H> = self
            .hosts
            .iter()
            .filter(|(_, state)| now_ms.saturating_sub(state.seen_ms) >= LEASE_MS)
            .map(|(host, _)| host.clone())
            .collect();
        for host in silent {
            let state = self.hosts.get(&host);
            if state.is_some_and(|state| !state.leases.is_empty() || !state.waiting.is_empty()) {
                self.lapsed_hosts += 1;
            }
            self.remove_host(&host, now_ms);
        }
    }
}
