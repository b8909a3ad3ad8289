//! What a scheduler shows to operators.

use super::scheduler::RANKS;

/// A pool's queue and slots.
#[derive(Clone, Debug, PartialEq)]
pub struct QueueStatus {
    /// Incarnation of the scheduler.
    pub epoch: u64,
    /// Whether hosts of a former scheduler may still run requests that it does not know.
    pub is_settling: bool,
    /// Hosts that asked lately.
    pub hosts: usize,
    /// Waiting requests by rank, the most urgent first.
    pub waiting_by_rank: [u32; RANKS],
    /// Longest time that a waiting request has waited.
    pub oldest_wait_ms: u64,
    /// Grants that no ask has listed as held.
    pub unconfirmed_grants: usize,
    /// Mean service time.
    pub service_ms: f64,
    /// Slots granted so far.
    pub granted: u64,
    /// Requests rejected so far since they could not start in time.
    pub rejected_full: u64,
    /// Requests rejected so far that exceeded their organisation's share.
    pub rejected_over_share: u64,
    /// Hosts so far that lost leases or waiting requests by silence.
    pub lapsed_hosts: u64,
    /// Organisations of whose requests hosts refuse a part, by short hash.
    pub gated_organisations: Vec<u32>,
    /// The endpoints, by short hash.
    pub endpoints: Vec<EndpointStatus>,
}

/// The slots of one endpoint.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EndpointStatus {
    /// Short hash of its start.
    pub endpoint: u32,
    /// Requests that it serves at the same time.
    pub slots: u32,
    /// Most leases: its slots and a short queue.
    pub limit: u32,
    /// Leases granted or held.
    pub leases: u32,
    /// Reported requests that no lease explains.
    pub without_lease: u32,
    /// Mean service time.
    pub service_ms: f64,
    /// Whether it may receive new requests.
    pub is_open: bool,
}
