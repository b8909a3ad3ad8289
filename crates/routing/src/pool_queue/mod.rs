//! One queue of the whole fleet for a pool with few slots.
//!
//! Hosts ask the pool's scheduler for slots ([`SlotAsk`]) and hold them as leases; the
//! scheduler orders all waiting requests and grants each free slot once ([`SlotReply`]).

mod contention;
mod endpoint_slots;
mod gates;
mod messages;
mod order;
mod return_rates;
mod scheduler;
mod scheduler_link;
mod status;

pub use contention::{Contention, PoolUse};
pub use messages::{
    AdmissionGate, Grant, HeldLease, MAX_GATES_PER_REPLY, MAX_LEASES_PER_ASK, MAX_WAITING_PER_ASK,
    Rejection, RejectionCause, SlotAsk, SlotReply, TicketId, WaitingRequest,
};
pub use scheduler::{AskOutcome, LEASE_MS, PoolScheduler, SETTLE_MS, SchedulableEndpoint};
pub use scheduler_link::{
    MAX_RANKED_SCHEDULERS, NextAsk, ReplyUse, SchedulerCandidate, SchedulerLink, rank_schedulers,
};
pub use status::{EndpointStatus, QueueStatus};
