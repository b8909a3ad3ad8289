//! Where the rules and the lists of endpoints and hosts come from.

use std::net::SocketAddr;
use std::sync::Arc;

use chalkrock_core::{Endpoint, EndpointId, HostId, PoolId, ZoneId};
use chalkrock_routing::{
    EvacuationRow, RequestFingerprint, RolloutOrderRow, RolloutRecord, RulesDocument, StoreVersion,
};
use serde::{Deserialize, Serialize};

use crate::arrival::ReceivedBytes;

/// What can be read and followed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Topic {
    /// The rules that operators write, the zones that they evacuate and the rollouts
    /// that they order.
    Rules,
    /// The list of endpoints.
    Endpoints,
}

/// A host of the fleet as it recorded itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostRow {
    /// Its name.
    pub host: HostId,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Where other hosts reach it.
    pub peer_address: SocketAddr,
}

/// A request that is sent no further, as a host recorded it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PoisonRow {
    /// The request.
    pub request: RequestFingerprint,
    /// Until when, in Unix milliseconds.
    pub until_unix_ms: u64,
}

/// One thing that was read.
#[derive(Clone, Debug, PartialEq)]
pub enum Row {
    /// The rules in force.
    Rules(Box<RulesDocument>),
    /// A zone that operators evacuate or take back. A whole read names all that
    /// are evacuated.
    Evacuation(EvacuationRow),
    /// An order to move a pool to another build, or that it was taken back. A whole
    /// read names all orders.
    Rollout(RolloutOrderRow),
    /// A change of the list of endpoints.
    Endpoint(EndpointRow),
    /// A row that another writer made: it says nothing, and what its key named
    /// before is named no longer.
    Unreadable(UnreadableRow),
}

/// A row that can't be read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UnreadableRow {
    /// When it was written.
    pub version: StoreVersion,
    /// The row's key.
    pub key: Arc<str>,
    /// The field at fault.
    pub field: Arc<str>,
    /// What was found there.
    pub found: Arc<str>,
}

/// An endpoint as its entry tells of it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ListedEndpoint {
    /// The endpoint.
    pub endpoint: Endpoint,
    /// For how much longer it is cold, 0 if it is not.
    pub cold_left_ms: u64,
}

impl From<Endpoint> for ListedEndpoint {
    /// An endpoint that is not cold.
    fn from(endpoint: Endpoint) -> Self {
        Self {
            endpoint,
            cold_left_ms: 0,
        }
    }
}

/// What became of an endpoint's entry.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum EndpointChange {
    /// It is new or changed.
    Listed(ListedEndpoint),
    /// It is no longer listed.
    Gone(EndpointId),
    /// Its entry can't be read: it may not be used, also where entries that lapsed
    /// are kept.
    Unreadable(EndpointId),
}

/// A change of the list of endpoints.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EndpointRow {
    /// When it was made.
    pub version: StoreVersion,
    /// What was changed.
    pub change: EndpointChange,
}

/// What was read of a topic.
#[derive(Clone, Debug, PartialEq)]
pub struct SourceUpdate {
    /// The place in history up to which this goes.
    pub version: StoreVersion,
    /// The rows, oldest change first.
    pub rows: Vec<Row>,
}

/// What became of writing a rollout's record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RolloutWrite {
    /// It is in force, as of a version.
    Written(StoreVersion),
    /// Another one was there: nothing was written. `None` if it can't be read.
    Conflict {
        /// The version of the record that is there.
        version: StoreVersion,
        /// The record.
        record: Option<RolloutRecord>,
    },
}

/// Why nothing was read.
#[derive(Debug, thiserror::Error)]
pub enum SourceError {
    /// The history since the version asked for is gone: read the whole topic.
    #[error("the history is gone")]
    HistoryGone,
    /// The platform does not answer, or refuses.
    #[error("the platform does not serve: {0}")]
    Unavailable(String),
    /// What the platform answered can't be read.
    #[error("the platform's answer can't be read: {0}")]
    Garbage(String),
}

/// The platform, as far as a gateway reads it.
pub trait Source: Send + Sync + 'static {
    /// Reads a whole topic. The bytes of the answer are recorded as they arrive,
    /// so that a long answer is not taken for none.
    fn read(
        &self,
        topic: Topic,
        arrival: &ReceivedBytes,
    ) -> impl Future<Output = Result<SourceUpdate, SourceError>> + Send;

    /// Waits for changes of a topic after a version, up to `wait_ms`, and
    /// records the bytes of the answer as they arrive.
    fn changes(
        &self,
        topic: Topic,
        since: StoreVersion,
        wait_ms: u64,
        arrival: &ReceivedBytes,
    ) -> impl Future<Output = Result<SourceUpdate, SourceError>> + Send;

    /// Records this host and returns all that are recorded. A record is kept
    /// under the host's address, so that whoever comes to the same address
    /// replaces it. It is never taken away: a late answer of the platform would
    /// take the record of the host's next life.
    fn join(&self, own: &HostRow)
    -> impl Future<Output = Result<Vec<HostRow>, SourceError>> + Send;

    /// The requests that hosts recorded to be sent no further.
    fn poison(&self) -> impl Future<Output = Result<Vec<PoisonRow>, SourceError>> + Send;

    /// Records requests that are sent no further, each under its fingerprint, and
    /// removes the records of others.
    fn record_poison(
        &self,
        add: &[PoisonRow],
        remove: &[RequestFingerprint],
    ) -> impl Future<Output = Result<(), SourceError>> + Send;

    /// Writes how far the rollout of a pool has come, for hosts and for operators, if
    /// the record that it replaces is still of that version (0: none is there).
    ///
    /// Without an answer the record may have been written, or may be later on while its
    /// condition holds: whoever writes again finds it there.
    fn write_rollout(
        &self,
        pool: &PoolId,
        record: &RolloutRecord,
        replaces: StoreVersion,
    ) -> impl Future<Output = Result<RolloutWrite, SourceError>> + Send;
}
