//! Requests of one pool that wait on this host, and the slots that it uses.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use chalkrock_core::PoolId;
use chalkrock_routing::{
    AdmissionGate, Contention, HeldLease, MAX_GATES_PER_REPLY, MAX_LEASES_PER_ASK,
    MAX_WAITING_PER_ASK, PoolUse, RejectionCause, ReplyUse, SchedulerLink, SlotAsk, SlotReply,
    TicketId, WaitingRequest,
};
use std::net::SocketAddr;
use tokio::sync::oneshot;

use crate::pool_queue::client::PoolQueues;

/// Requests of a pool that wait on one host; an ask lists as many.
pub(super) const MAX_WAITING: usize = MAX_WAITING_PER_ASK;
/// Requests of one organisation among them, so that others find a place.
pub(super) const MAX_WAITING_PER_ORGANISATION: usize = MAX_WAITING / 2;
/// Entries of an ask, so that it fits a packet.
const MAX_ASK_BYTES: usize = 1_100;
/// Largest encoded size of an entry, without the endpoints that it names as tried.
const WAITING_BYTES: usize = 32;
const HELD_BYTES: usize = 15;
const TRIED_BYTES: usize = 5;
/// Longest return time that is passed on.
const MAX_RETURN_MS: u32 = 60_000;
/// How long a return time holds without a later reply.
const MAX_RETURN_AGE_MS: u64 = 1_000;
/// How long a gate holds without a later reply. A host that has nothing to ask for receives
/// none.
const MAX_GATE_AGE_MS: u64 = 500;
/// How far from its return time a request may come and still pass a gate.
const RETURN_EARLY_MS: u64 = 20;
const RETURN_LATE_MS: u64 = 500;
/// Returns of a pool that one host remembers.
const MAX_RETURNS: usize = 1_024;

/// What becomes of a waiting request.
#[derive(Debug)]
pub(crate) enum Decision {
    /// It may run at an endpoint, by its short hash.
    Granted {
        endpoint: u32,
        lease: Lease,
        /// When the reply arrived, on the shared clock.
        at_ms: u64,
    },
    /// It can't start in time.
    Rejected {
        cause: RejectionCause,
        retry_after_ms: u64,
        epoch: u64,
    },
    /// A more urgent request took its place on this host.
    Displaced { retry_after_ms: Option<u64> },
    /// No scheduler answers.
    Unscheduled,
}

/// A granted slot, held until dropped.
#[derive(Debug)]
pub(crate) struct Lease {
    pub(super) queues: Arc<PoolQueues>,
    pub(super) pool: PoolId,
    pub(super) ticket: TicketId,
    /// Whether the request waits again under the same ticket.
    pub(super) is_given_back: bool,
    /// Incarnation of the scheduler that granted it.
    pub(crate) epoch: u64,
}

impl Drop for Lease {
    fn drop(&mut self) {
        if !self.is_given_back {
            self.queues.release(&self.pool, self.ticket);
        }
    }
}

/// A request that waits for a decision.
#[derive(Debug)]
pub(super) struct Waiting {
    pub(super) rank: u8,
    pub(super) organisation: u32,
    /// Latest start to meet its objective.
    pub(super) start_by_ms: u64,
    pub(super) work_ms: u32,
    pub(super) fingerprint: u64,
    pub(super) tried: Vec<u32>,
    pub(super) decision: oneshot::Sender<Decision>,
}

impl Waiting {
    fn ask_bytes(&self) -> usize {
        WAITING_BYTES + TRIED_BYTES * self.tried.len()
    }
}

/// A decision to send after the pool is unlocked: a caller that has left drops it, and
/// with it the lease, which locks the pool.
pub(super) struct Decided {
    pub(super) to: oneshot::Sender<Decision>,
    pub(super) decision: Decision,
}

/// A return time that the scheduler gave.
#[derive(Clone, Copy, Debug)]
struct ReturnTime {
    retry_after_ms: u32,
    at_ms: u64,
}

/// One pool as this host uses it.
#[derive(Debug)]
pub(super) struct WaitingPool {
    pub(super) name: PoolId,
    /// Short hash of its name.
    pub(super) hash: u32,
    pub(super) contention: Contention,
    /// Use of its slots when it was last determined; `None` if it is not queued for.
    pub(super) last_use: Option<PoolUse>,
    pub(super) used_at_ms: u64,
    pub(super) was_contended: bool,
    pub(super) link: SchedulerLink<SocketAddr>,
    pub(super) waiting: BTreeMap<TicketId, Waiting>,
    pub(super) held: HashMap<TicketId, HeldLease>,
    /// Return times of requests that the scheduler rejected, by fingerprint.
    returns: HashMap<u64, u64>,
    gates: Vec<AdmissionGate>,
    gates_at_ms: u64,
    last_return: Option<ReturnTime>,
    next_ticket: u32,
}

impl WaitingPool {
    pub(super) fn new(name: PoolId, hash: u32) -> Self {
        Self {
            name,
            hash,
            contention: Contention::default(),
            last_use: None,
            used_at_ms: 0,
            was_contended: false,
            link: SchedulerLink::default(),
            waiting: BTreeMap::new(),
            held: HashMap::new(),
            returns: HashMap::new(),
            gates: Vec::new(),
            gates_at_ms: 0,
            last_return: None,
            next_ticket: 0,
        }
    }

    pub(super) fn has_entries(&self) -> bool {
        !self.waiting.is_empty() || !self.held.is_empty()
    }

    /// The gate of an organisation, if it is over its share.
    pub(super) fn gate(&self, organisation: u32, now_ms: u64) -> Option<&AdmissionGate> {
        let is_current = now_ms.saturating_sub(self.gates_at_ms) <= MAX_GATE_AGE_MS;
        let mut gates = self.gates.iter().filter(|_| is_current);
        gates.find(|gate| gate.organisation == organisation)
    }

    /// The return time that the scheduler last gave, less the time since.
    pub(super) fn last_return_ms(&self, now_ms: u64) -> Option<u64> {
        let last = self.last_return?;
        let age_ms = now_ms.saturating_sub(last.at_ms);
        let is_current = age_ms <= MAX_RETURN_AGE_MS;
        let left_ms = u64::from(last.retry_after_ms).saturating_sub(age_ms);
        (is_current && left_ms > 0).then_some(left_ms)
    }

    /// Whether a request returns when the scheduler said so. Counts once.
    pub(super) fn take_return(&mut self, fingerprint: u64, now_ms: u64) -> bool {
        let is_due = |due_ms: &u64| {
            let earliest_ms = due_ms.saturating_sub(RETURN_EARLY_MS);
            (earliest_ms..=due_ms + RETURN_LATE_MS).contains(&now_ms)
        };
        if !self.returns.get(&fingerprint).is_some_and(is_due) {
            return false;
        }
        self.returns.remove(&fingerprint).is_some()
    }

    fn record_return(&mut self, fingerprint: u64, due_ms: u64, now_ms: u64) {
        if self.returns.len() >= MAX_RETURNS {
            self.returns
                .retain(|_, due_ms| *due_ms + RETURN_LATE_MS >= now_ms);
        }
        if self.returns.len() < MAX_RETURNS {
            self.returns.insert(fingerprint, due_ms);
        }
    }

    /// Requests that may wait: as many as an ask can list beside the leases now held.
    fn capacity(&self) -> usize {
        const TYPICAL_TRIED: usize = 1;
        let bytes = MAX_ASK_BYTES.saturating_sub(HELD_BYTES * self.held.len());
        (bytes / (WAITING_BYTES + TYPICAL_TRIED * TRIED_BYTES)).min(MAX_WAITING)
    }

    /// Makes room for a request. Returns whether it may wait, and the request that gives
    /// way to it.
    pub(super) fn make_room(&mut self, rank: u8, organisation: u32) -> (bool, Option<Waiting>) {
        let count = |organisation: u32| {
            let same = self.waiting.values();
            same.filter(|waiting| waiting.organisation == organisation)
                .count()
        };
        let of_organisation = count(organisation);
        let is_over = organisation != 0 && of_organisation >= MAX_WAITING_PER_ORGANISATION;
        if !is_over && self.waiting.len() < self.capacity() {
            return (true, None);
        }
        let may_displace = |(_, waiting): &(&TicketId, &Waiting)| {
            if is_over && waiting.organisation != organisation {
                return false;
            }
            let is_much_larger = waiting.organisation != 0
                && waiting.organisation != organisation
                && count(waiting.organisation) > 2 * (of_organisation + 1);
            waiting.rank > rank || waiting.rank == rank && is_much_larger
        };
        let candidates = self.waiting.iter().filter(may_displace);
        let last = candidates.max_by_key(|(_, waiting)| (waiting.rank, waiting.start_by_ms));
        let Some(ticket) = last.map(|(ticket, _)| *ticket) else {
            return (false, None);
        };
        (true, self.waiting.remove(&ticket))
    }

    /// Adds a request. One that was granted a slot and did not run keeps its `ticket`, so
    /// that the scheduler knows it again.
    pub(super) fn add(&mut self, waiting: Waiting, ticket: Option<TicketId>) -> TicketId {
        let ticket = ticket.unwrap_or_else(|| {
            let ticket = TicketId(self.next_ticket);
            self.next_ticket = self.next_ticket.wrapping_add(1);
            ticket
        });
        self.held.remove(&ticket);
        self.waiting.insert(ticket, waiting);
        self.link.record_change();
        ticket
    }

    /// Everything that waits or runs, as far as it fits a packet: leases first, since a
    /// lease that is not listed counts as ended, then the most urgent requests.
    pub(super) fn ask(&self, incarnation: u64, sequence: u64, now_ms: u64) -> SlotAsk {
        let held: Vec<HeldLease> = { self.held.values().copied() }
            .take(MAX_LEASES_PER_ASK)
            .collect();
        let mut bytes_left = MAX_ASK_BYTES.saturating_sub(HELD_BYTES * held.len());
        let mut waiting: Vec<(&TicketId, &Waiting)> = self.waiting.iter().collect();
        waiting.sort_by_key(|(ticket, waiting)| (waiting.rank, waiting.start_by_ms, **ticket));
        let fitting = waiting.into_iter().take_while(|(_, waiting)| {
            let fits = waiting.ask_bytes() <= bytes_left;
            bytes_left = bytes_left.saturating_sub(waiting.ask_bytes());
            fits
        });
        let waiting = fitting.take(MAX_WAITING_PER_ASK).map(|(ticket, waiting)| {
            let start_within_ms = waiting.start_by_ms.saturating_sub(now_ms);
            WaitingRequest {
                ticket: *ticket,
                rank: waiting.rank,
                organisation: waiting.organisation,
                start_within_ms: u32::try_from(start_within_ms).unwrap_or(u32::MAX),
                work_ms: waiting.work_ms,
                fingerprint: waiting.fingerprint,
                tried: waiting.tried.clone(),
            }
        });
        SlotAsk {
            pool: self.hash,
            incarnation,
            sequence,
            waiting: waiting.collect(),
            held,
        }
    }

    /// Applies a reply of the pool's scheduler. Returns the decisions to send.
    pub(super) fn apply(
        &mut self,
        queues: &Arc<PoolQueues>,
        from: SocketAddr,
        reply: SlotReply,
        now_ms: u64,
    ) -> (ReplyUse, Vec<Decided>) {
        let epoch = reply.epoch;
        let use_of_reply = self
            .link
            .record_reply(&from, epoch, reply.ask_sequence, now_ms);
        let mut decided = Vec::new();
        if use_of_reply == ReplyUse::Outdated {
            return (use_of_reply, decided);
        }
        for grant in reply.granted.iter().take(MAX_LEASES_PER_ASK) {
            if self.held.contains_key(&grant.ticket) {
                continue;
            }
            let Some(waiting) = self.waiting.remove(&grant.ticket) else {
                // Its caller has left: the next ask frees the slot.
                self.link.record_change();
                continue;
            };
            let lease = HeldLease {
                ticket: grant.ticket,
                endpoint: grant.endpoint,
                organisation: waiting.organisation,
            };
            self.held.insert(grant.ticket, lease);
            let decision = Decision::Granted {
                endpoint: grant.endpoint,
                at_ms: now_ms,
                lease: Lease {
                    queues: queues.clone(),
                    pool: self.name.clone(),
                    ticket: grant.ticket,
                    is_given_back: false,
                    epoch,
                },
            };
            let to = waiting.decision;
            decided.push(Decided { to, decision });
        }
        for rejection in reply.rejected.iter().take(MAX_WAITING_PER_ASK) {
            let retry_after_ms = rejection.retry_after_ms.min(MAX_RETURN_MS);
            self.last_return = Some(ReturnTime {
                retry_after_ms,
                at_ms: now_ms,
            });
            let Some(waiting) = self.waiting.remove(&rejection.ticket) else {
                continue;
            };
            let due_ms = now_ms + u64::from(retry_after_ms);
            self.record_return(waiting.fingerprint, due_ms, now_ms);
            let decision = Decision::Rejected {
                cause: rejection.cause,
                retry_after_ms: u64::from(retry_after_ms),
                epoch,
            };
            let to = waiting.decision;
            decided.push(Decided { to, decision });
        }
        self.gates = reply.gates;
        self.gates.truncate(MAX_GATES_PER_REPLY);
        for gate in &mut self.gates {
            gate.retry_after_ms = gate.retry_after_ms.min(MAX_RETURN_MS);
        }
        self.gates_at_ms = now_ms;
        (use_of_reply, decided)
    }

    /// Releases all waiting requests, which this host then places itself.
    pub(super) fn release_all(&mut self) -> Vec<Decided> {
        let waiting = std::mem::take(&mut self.waiting).into_values();
        let decided = waiting.map(|waiting| Decided {
            to: waiting.decision,
            decision: Decision::Unscheduled,
        });
        decided.collect()
    }
}
