//! Reports of work between hosts.

use serde::{Deserialize, Serialize};

/// Most rows of a report, so that it fits a packet: a row takes at most 18 bytes.
pub const MAX_WORK_ROWS: usize = 64;

/// Most pools of a report.
pub const MAX_WORK_POOLS: usize = 4;

/// The usual times of a pool's endpoints, as one host knows them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoolTimes {
    /// Short hash of the pool's name.
    pub pool: u32,
    /// Tokens that an endpoint reads in a second.
    pub tokens_per_s: u32,
    /// Time to the first event of a short prompt, in microseconds.
    pub short_us: Option<u32>,
    /// Time of a copy from another endpoint, in microseconds.
    pub copy_us: Option<u32>,
}

/// What one host knows of one endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkRow {
    /// Short hash of the endpoint's start.
    pub endpoint: u32,
    /// Tokens of the host's requests that it still has to read.
    pub outstanding_tokens: u32,
    /// Its slowness since the last report, in thousandths of the usual.
    pub slowness_permille: Option<u16>,
    /// The slowness that it reported itself since the last report, in thousandths.
    pub reported_permille: Option<u16>,
}

/// The endpoints that read prompts of one host, or were compared since the last report.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkReport {
    /// Incarnation of the host; later ones are higher.
    pub incarnation: u64,
    /// Sequence number within the incarnation.
    pub sequence: u64,
    /// Endpoints; those without a row have no outstanding tokens.
    pub rows: Vec<WorkRow>,
    /// Usual times, for hosts that have none yet.
    pub pools: Vec<PoolTimes>,
}
