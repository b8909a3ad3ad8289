//! The scheduler of a pool: who gets the next free slot.

mod asks;
mod host_state;
mod review;

use std::collections::{BTreeMap, HashMap};
use std::hash::Hash;

use super::endpoint_slots::EndpointSlots;
use super::gates::Gates;
use super::order::RankShares;
use super::return_rates::ReturnRates;
use super::status::{EndpointStatus, QueueStatus};
use super::{Grant, Rejection, SlotReply};
use crate::{ReturnSchedule, WorkLedger};
use host_state::HostState;

/// Time after which a silent host loses its leases and its waiting requests. Several asks
/// may be lost in it; requests that still run then show up in the load reports.
pub const LEASE_MS: u64 = 600;
/// Time from the first ask until a scheduler relies on what hosts list. Until then, hosts
/// of a former scheduler may run requests that no ask has listed.
pub const SETTLE_MS: u64 = 400;
/// Interval at which waiting requests are reviewed when no message arrives.
const REVIEW_MS: u64 = 10;
/// Most endpoints of one scheduler.
const MAX_ENDPOINTS: usize = 1_024;
/// Number of ranks. Less urgent ones count as the last.
pub(super) const RANKS: usize = 8;

/// Time from the end of a request until another has its slot: the host's ask, the reply
/// and what batching adds.
const ROUND_TRIP_MS: f64 = 8.0;
/// Service time before any request states one.
const DEFAULT_SERVICE_MS: f64 = 50.0;

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
    /// Whether it may hold requests that wait for a slot.
    pub has_queue: bool,
}

/// Whether an ask counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AskOutcome {
    /// It replaced what was known of its host.
    Applied,
    /// A later one of the host is known, or there is no room for another host.
    Stale,
}

/// Grants the slots of one pool to the waiting requests of all hosts.
///
/// Each [`SlotAsk`](super::SlotAsk) replaces what is known of its host, so that lost, late and
/// repeated messages do no harm. A lease exists from its grant until an ask of its host does
/// not list it, or until the host is silent for [`LEASE_MS`].
///
/// # Example
///
/// ```
/// use chalkrock_routing::{
///     PoolScheduler, SchedulableEndpoint, SlotAsk, TicketId, WaitingRequest,
/// };
///
/// let mut scheduler = PoolScheduler::new(1, 0);
/// let endpoint = SchedulableEndpoint { endpoint: 7, slots: 6, in_progress: 0, is_open: true,
///     has_queue: true };
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
