//! Messages between a host and the scheduler of a pool.
//!
//! Each message is complete in itself: it lists everything that waits or runs, so that a
//! later one replaces any that was lost. Durations are relative to when a message is sent,
//! since hosts share no clock.

use serde::{Deserialize, Serialize};

/// Most waiting requests in one ask, so that it fits a packet.
pub const MAX_WAITING_PER_ASK: usize = 32;
/// Most leases in one ask.
pub const MAX_LEASES_PER_ASK: usize = 48;
/// Most organisations in one reply.
pub const MAX_GATES_PER_REPLY: usize = 16;

/// Identifies a request among those of one incarnation of its host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct TicketId(pub u32);

/// A request that waits on its host for a slot.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WaitingRequest {
    /// Its identifier.
    pub ticket: TicketId,
    /// Priority, 0 the most urgent.
    pub rank: u8,
    /// Short hash of its organisation; 0 without one.
    pub organisation: u32,
    /// Time left until it has to start to meet its objective.
    pub start_within_ms: u32,
    /// Expected service time.
    pub work_ms: u32,
    /// Identical for all repeats of the request.
    pub fingerprint: u64,
    /// Endpoints that already received it, by short hash.
    pub tried: Vec<u32>,
}

/// A slot that a host uses.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeldLease {
    /// The request that runs.
    pub ticket: TicketId,
    /// Short hash of its endpoint.
    pub endpoint: u32,
    /// Short hash of its organisation; 0 without one.
    pub organisation: u32,
}

/// Everything that a host has waiting or running in a pool.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SlotAsk {
    /// Short hash of the pool's name.
    pub pool: u32,
    /// Incarnation of the host; later ones are higher.
    pub incarnation: u64,
    /// Sequence number within the incarnation.
    pub sequence: u64,
    /// Requests that wait, the most urgent first.
    pub waiting: Vec<WaitingRequest>,
    /// Leases in use, including those of other schedulers.
    pub held: Vec<HeldLease>,
}

/// A granted slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// The request that may start.
    pub ticket: TicketId,
    /// Short hash of the endpoint to send it to.
    pub endpoint: u32,
}

/// Why a scheduler rejects a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RejectionCause {
    /// It can't start in time behind more urgent requests.
    Full,
    /// Its organisation uses more than its share.
    OverShare,
}

/// A request that can't start in time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rejection {
    /// The request.
    pub ticket: TicketId,
    /// Why.
    pub cause: RejectionCause,
    /// When a slot is expected for its caller.
    pub retry_after_ms: u32,
}

/// How much of an organisation's new requests a host lets through to the scheduler. The
/// rest are refused on the host, so that a surge does not load the scheduler.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AdmissionGate {
    /// Short hash of the organisation.
    pub organisation: u32,
    /// Admitted requests, in thousandths.
    pub admit_permille: u16,
    /// When slots are expected for those refused.
    pub retry_after_ms: u32,
}

/// A scheduler's answer to an ask.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SlotReply {
    /// Short hash of the pool's name.
    pub pool: u32,
    /// Incarnation of the scheduler; later ones are higher.
    pub epoch: u64,
    /// The latest ask of the host that was applied.
    pub ask_sequence: u64,
    /// Slots granted and not yet listed as held.
    pub granted: Vec<Grant>,
    /// Requests rejected since the ask.
    pub rejected: Vec<Rejection>,
    /// Organisations over their share.
    pub gates: Vec<AdmissionGate>,
}
