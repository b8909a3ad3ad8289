//! The scheduler of a pool: who gets the next free slot.

use std::collections::{BTreeMap, HashMap};
use std::hash::Hash;

use super::endpoint_slots::EndpointSlots;
use super::gates::Gates;
use super::order::{Queued, RankShares, mark_over_share, order};
use super::return_rates::ReturnRates;
use super::status::{EndpointStatus, QueueStatus};
use super::{
    Grant, HeldLease, MAX_LEASES_PER_ASK, MAX_WAITING_PER_ASK, Rejection, RejectionCause, SlotAsk,
    SlotReply, TicketId, WaitingRequest,
};
use crate::{RETURN_HORIZON_MS, ReturnSchedule, WorkLedger};

/// Time after which a silent host loses its leases and its waiting requests. Several asks
/// may be lost in it; requests that still run then show up in the load reports.
pub const LEASE_MS: u64 = 600;
/// Time from the first ask until a scheduler relies on what hosts list. Until then, hosts
/// of a former scheduler may run requests that no ask has listed.
pub const SETTLE_MS: u64 = 400;
/// Interval at which waiting requests are reviewed when no message arrives.
const REVIEW_MS: u64 = 10;
/// Most hosts of one scheduler.
const MAX_HOSTS: usize = 2_048;
/// Most endpoints of one scheduler.
const MAX_ENDPOINTS: usize = 1_024;
/// Most requests that wait in one scheduler.
const MAX_WAITING: usize = 8_192;
/// Number of ranks. Less urgent ones count as the last.
pub(super) const RANKS: usize = 8;

/// Time for which a grant stays that a long list of waiting requests leaves out.
const UNLISTED_GRANT_MS: u64 = 50;
/// Time from the end of a request until another has its slot: the host's ask, the reply
/// and what batching adds.
const ROUND_TRIP_MS: f64 = 8.0;
/// Service time before any request states one.
const DEFAULT_SERVICE_MS: f64 = 50.0;
/// Weight of a sample in the pool's service time.
const SERVICE_TIME_WEIGHT: f64 = 0.05;
/// Longest expected service time that a host may state.
const MAX_WORK_MS: u32 = 10_000;
/// Longest time to start that a host may state.
const MAX_START_WITHIN_MS: u32 = 60_000;
/// Most endpoints that one request names as tried.
const MAX_TRIED: usize = 8;
/// Room for a service time above the mean, in mean service times.
const START_MARGIN: f64 = 1.0;
/// Part of the time left that may be spent waiting at any service time.
const MIN_WAIT_RATIO: f64 = 0.3;

/// An endpoint as the scheduler's host sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SchedulableEndpoint {
    /// Short hash of its start.
    pub endpoint: u32,
    /// Requests that it serves at the same time.
    pub slots: u32,
    /// Requests in progress over the fleet, as reported.
    pub in_progress: u32,
    /// Whether it may receive new requests.
    pub is_open: bool,
}

/// Whether an ask counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AskOutcome {
    /// It replaced what was known of its host.
    Applied,
    /// A later one of the host is known, or there is no room for another host.
    Stale,
}

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

#[derive(Clone, Debug)]
struct Waiting {
    rank: u8,
    organisation: u32,
    latest_start_ms: u64,
    work_ms: u32,
    fingerprint: u64,
    tried: Vec<u32>,
    since_ms: u64,
    /// Whether it returns when a rejection said so.
    is_returning: bool,
}

impl Waiting {
    /// Longest wait with which it stays in the queue. A return stays while it can start at
    /// all.
    fn longest_wait_ms(&self, service_ms: f64, now_ms: u64) -> f64 {
        let left_ms = self.latest_start_ms.saturating_sub(now_ms) as f64;
        if self.is_returning {
            return left_ms;
        }
        (left_ms - START_MARGIN * service_ms).max(left_ms * MIN_WAIT_RATIO)
    }
}

#[derive(Clone, Debug)]
struct Lease {
    endpoint: u32,
    /// When it was granted; none if by another scheduler.
    granted_ms: Option<u64>,
    /// Whether an ask has listed it.
    is_held: bool,
    /// The request, to wait again if the endpoint refuses it; none if another granted it.
    request: Option<Waiting>,
}

impl Lease {
    /// Whether another scheduler granted it, or nobody.
    fn is_foreign(&self) -> bool {
        self.granted_ms.is_none()
    }
}

#[derive(Clone, Copy, Debug)]
struct Rejected {
    cause: RejectionCause,
    return_at_ms: u64,
}

#[derive(Clone, Debug)]
struct HostState {
    incarnation: u64,
    sequence: u64,
    seen_ms: u64,
    waiting: BTreeMap<TicketId, Waiting>,
    leases: BTreeMap<TicketId, Lease>,
    rejected: BTreeMap<TicketId, Rejected>,
}

/// Grants the slots of one pool to the waiting requests of all hosts.
///
/// Each [`SlotAsk`] replaces what is known of its host, so that lost, late and repeated
/// messages do no harm. A lease exists from its grant until an ask of its host no longer
/// lists it, or until the host is silent for [`LEASE_MS`].
///
/// # Example
///
/// ```
/// use chalkrock_routing::{
///     PoolScheduler, SchedulableEndpoint, SlotAsk, TicketId, WaitingRequest,
/// };
///
/// let mut scheduler = PoolScheduler::new(1, 0);
/// let endpoint = SchedulableEndpoint { endpoint: 7, slots: 6, in_progress: 0, is_open: true };
/// scheduler.set_endpoints(&[endpoint], 0);
/// let request = WaitingRequest {
///     ticket: TicketId(1),
///     rank: 0,
///     organisation: 0,
///     start_within_ms: 200,
///     work_ms: 60,
///     fingerprint: 1,
///     tried: Vec::new(),
/// };
/// let ask = SlotAsk { pool: 1, incarnation: 1, sequence: 1, waiting: vec![request], held: vec![] };
/// scheduler.ask("host-1", ask, 0);
/// assert_eq!(scheduler.schedule(0), ["host-1"]);
/// let reply = scheduler.reply(&"host-1", 0).unwrap();
/// assert_eq!(reply.granted[0].endpoint, 7);
/// ```
#[derive(Debug)]
pub struct PoolScheduler<H> {
    epoch: u64,
    pool: u32,
    first_ask_ms: Option<u64>,
    reviewed_ms: u64,
    hosts: BTreeMap<H, HostState>,
    endpoints: BTreeMap<u32, EndpointSlots>,
    waiting: usize,
    service_ms: Option<f64>,
    ledger: WorkLedger,
    returns: ReturnSchedule,
    gates: Gates,
    rank_shares: RankShares,
    return_rates: ReturnRates,
    granted: u64,
    rejected_full: u64,
    rejected_over_share: u64,
    lapsed_hosts: u64,
}

impl<H: Clone + Eq + Hash + Ord> PoolScheduler<H> {
    /// A scheduler without hosts and endpoints.
    pub fn new(epoch: u64, now_ms: u64) -> Self {
        Self {
            epoch,
            pool: 0,
            first_ask_ms: None,
            reviewed_ms: now_ms,
            hosts: BTreeMap::new(),
            endpoints: BTreeMap::new(),
            waiting: 0,
            service_ms: None,
            ledger: WorkLedger::default(),
            returns: ReturnSchedule::default(),
            gates: Gates::new(now_ms),
            rank_shares: RankShares::default(),
            return_rates: ReturnRates::default(),
            granted: 0,
            rejected_full: 0,
            rejected_over_share: 0,
            lapsed_hosts: 0,
        }
    }

    /// Replaces the pool's endpoints. Leases of one that is gone remain until they end.
    pub fn set_endpoints(&mut self, endpoints: &[SchedulableEndpoint], now_ms: u64) {
        let listed: HashMap<u32, &SchedulableEndpoint> = endpoints
            .iter()
            .take(MAX_ENDPOINTS)
            .map(|listed| (listed.endpoint, listed))
            .collect();
        self.endpoints
            .retain(|endpoint, _| listed.contains_key(endpoint));
        for (&hash, &listed) in &listed {
            if let Some(known) = self.endpoints.get_mut(&hash) {
                known.update(listed);
                continue;
            }
            let mut added = EndpointSlots::new(listed);
            let leases = self.hosts.values().flat_map(|host| host.leases.values());
            for lease in leases.filter(|lease| lease.endpoint == hash) {
                added.add_lease(lease.is_foreign(), now_ms);
            }
            self.endpoints.insert(hash, added);
        }
    }

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

    fn remove_silent_hosts(&mut self, now_ms: u64) {
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

    /// The message for a host: grants that it does not list as held, rejections that it
    /// lists as waiting, gates.
    pub fn reply(&mut self, host: &H, now_ms: u64) -> Option<SlotReply> {
        let state = self.hosts.get(host)?;
        let granted = state
            .leases
            .iter()
            .filter(|(_, lease)| !lease.is_held)
            .map(|(&ticket, lease)| Grant {
                ticket,
                endpoint: lease.endpoint,
            })
            .collect();
        let rejected = state
            .rejected
            .iter()
            .map(|(&ticket, rejected)| Rejection {
                ticket,
                cause: rejected.cause,
                retry_after_ms: rejected.return_at_ms.saturating_sub(now_ms) as u32,
            })
            .collect();
        Some(SlotReply {
            pool: self.pool,
            epoch: self.epoch,
            ask_sequence: state.sequence,
            granted,
            rejected,
            gates: self.gates.list(),
        })
    }

    /// When [`Self::schedule`] has to run again if no ask arrives; `now_ms` if that is due.
    pub fn next_event_ms(&self, now_ms: u64) -> Option<u64> {
        let silent_ms = self
            .hosts
            .values()
            .map(|state| state.seen_ms.saturating_add(LEASE_MS))
            .min();
        let review_ms = (self.waiting > 0).then(|| self.reviewed_ms.saturating_add(REVIEW_MS));
        let events_ms = silent_ms.into_iter().chain(review_ms);
        let event_ms = events_ms.chain(self.gates.next_event_ms()).min()?;
        Some(event_ms.max(now_ms))
    }

    /// What waits and runs, for operators.
    pub fn status(&self, now_ms: u64) -> QueueStatus {
        let is_settling = self.is_settling(now_ms);
        let mean_ms = self.mean_service_ms();
        let mut waiting_by_rank = [0; RANKS];
        let mut oldest_wait_ms = 0;
        for entry in self.hosts.values().flat_map(|host| host.waiting.values()) {
            waiting_by_rank[usize::from(entry.rank)] += 1;
            oldest_wait_ms = oldest_wait_ms.max(now_ms.saturating_sub(entry.since_ms));
        }
        let leases = self.hosts.values().flat_map(|host| host.leases.values());
        let unconfirmed = leases.filter(|lease| !lease.is_held);
        QueueStatus {
            epoch: self.epoch,
            is_settling,
            hosts: self.hosts.len(),
            waiting_by_rank,
            oldest_wait_ms,
            unconfirmed_grants: unconfirmed.count(),
            service_ms: mean_ms,
            granted: self.granted,
            rejected_full: self.rejected_full,
            rejected_over_share: self.rejected_over_share,
            lapsed_hosts: self.lapsed_hosts,
            gated_organisations: self
                .gates
                .list()
                .iter()
                .map(|gate| gate.organisation)
                .collect(),
            endpoints: self
                .endpoints
                .iter()
                .map(|(&hash, endpoint)| EndpointStatus {
                    endpoint: hash,
                    slots: endpoint.slots,
                    limit: endpoint.limit(ROUND_TRIP_MS, mean_ms, now_ms, is_settling),
                    leases: endpoint.leases,
                    without_lease: endpoint.unexplained(now_ms, is_settling),
                    service_ms: endpoint.service_ms(mean_ms),
                    is_open: endpoint.is_open,
                })
                .collect(),
        }
    }

    fn is_settling(&self, now_ms: u64) -> bool {
        self.first_ask_ms
            .is_none_or(|first_ms| now_ms.saturating_sub(first_ms) < SETTLE_MS)
    }

    fn mean_service_ms(&self) -> f64 {
        self.service_ms.unwrap_or(DEFAULT_SERVICE_MS)
    }

    /// Requests that the pool's open endpoints serve in a millisecond under leases.
    fn slots_per_ms(&self, now_ms: u64) -> f64 {
        let is_settling = self.is_settling(now_ms);
        let mean_ms = self.mean_service_ms();
        let open = self.endpoints.values().filter(|endpoint| endpoint.is_open);
        open.map(|endpoint| {
            let unexplained = endpoint.unexplained(now_ms, is_settling);
            f64::from(endpoint.slots - unexplained) / endpoint.service_ms(mean_ms)
        })
        .sum()
    }
}
