//! The source of rules, endpoints and hosts: the store as a gateway uses it.

use std::net::SocketAddr;
use std::sync::Arc;

use chalkrock_core::{Endpoint, EndpointId, HostId, HostState, PoolId, ZoneId};
use chalkrock_routing::{
    BuildRecord, EvacuationRow, RequestFingerprint, RolloutOrderRow, RolloutRecord, RulesDocument,
    StoreClock, StoreVersion, StoredBuilds,
};
use serde::{Deserialize, Serialize};

use crate::arrival::ReceivedBytes;

/// A set of rows that can be read and followed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Topic {
    /// Operators' rules, evacuated zones and rollout orders.
    Rules,
    /// The list of endpoints.
    Endpoints,
}

impl Topic {
    /// Its name in log lines.
    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::Rules => "rules",
            Self::Endpoints => "endpoints",
        }
    }

    /// Its label in metrics.
    pub(crate) fn label(self) -> &'static str {
        match self {
            Self::Rules => "topic=\"rules\"",
            Self::Endpoints => "topic=\"endpoints\"",
        }
    }
}

/// A host's own record in the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostRow {
    /// The host's name.
    pub host: HostId,
    /// The host's availability zone.
    pub zone: ZoneId,
    /// The address on which other hosts reach it.
    pub peer_address: SocketAddr,
}

/// A poison request, as a host recorded it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PoisonRow {
    /// The request's fingerprint.
    pub request: RequestFingerprint,
    /// When it expires, in Unix milliseconds.
    pub until_unix_ms: u64,
}

/// A row with records of where streams began.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StreamRecordRow {
    /// Its key, which no other row ever has.
    pub key: String,
    /// Its content, empty if it can't be read.
    pub value: Vec<u8>,
}

/// A row of a topic.
#[derive(Clone, Debug, PartialEq)]
pub enum Row {
    /// The rules in force.
    Rules(Box<RulesDocument>),
    /// The start or end of a zone's evacuation. A full read holds all evacuated zones.
    Evacuation(EvacuationRow),
    /// An order to move a pool to another build, or its withdrawal. A full read holds all
    /// orders.
    Rollout(RolloutOrderRow),
    /// A change of the list of endpoints.
    Endpoint(EndpointRow),
    /// A row with a field that can't be read. It invalidates the row that its key had before.
    Unreadable(UnreadableRow),
}

/// A row with a field that can't be read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UnreadableRow {
    /// The version at which it was written.
    pub version: StoreVersion,
    /// The row's key.
    pub key: Arc<str>,
    /// The field that can't be read.
    pub field: Arc<str>,
    /// The field's content.
    pub found: Arc<str>,
}

/// An endpoint as its entry in the store describes it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ListedEndpoint {
    /// The endpoint.
    pub endpoint: Endpoint,
    /// Time for which it remains cold, 0 if it is not.
    pub cold_left_ms: u64,
}

impl From<Endpoint> for ListedEndpoint {
    /// Lists an endpoint that is not cold.
    fn from(endpoint: Endpoint) -> Self {
        Self {
            endpoint,
            cold_left_ms: 0,
        }
    }
}

/// A change of an endpoint's entry.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum EndpointChange {
    /// It is new or changed.
    Listed(ListedEndpoint),
    /// It is no longer listed.
    Gone(EndpointId),
    /// Its entry can't be read: it may not be used, even where lapsed entries are kept.
    Unreadable(EndpointId),
}

impl EndpointChange {
    /// The endpoint's name.
    pub fn name(&self) -> &EndpointId {
        match self {
            Self::Listed(listed) => &listed.endpoint.name,
            Self::Gone(name) | Self::Unreadable(name) => name,
        }
    }

    /// Whether its endpoint is listed and leaves.
    pub(crate) fn is_leaving(&self) -> bool {
        match self {
            Self::Listed(listed) => listed.endpoint.state == HostState::Leaving,
            Self::Gone(_) | Self::Unreadable(_) => false,
        }
    }

    /// Whether both leave the same entry in the list, apart from the time for which its endpoint
    /// is cold, and from leaving, of which hosts also learn by other ways than the list.
    pub(crate) fn lists_same(&self, other: &Self) -> bool {
        match (self, other) {
            (Self::Listed(a), Self::Listed(b)) => {
                let state = a.endpoint.state;
                let other = Endpoint {
                    state,
                    ..b.endpoint.clone()
                };
                a.endpoint == other
            }
            (Self::Listed(_), _) | (_, Self::Listed(_)) => false,
            (a, b) => a.name() == b.name(),
        }
    }
}

/// A change of the list of endpoints.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EndpointRow {
    /// The version at which it was made.
    pub version: StoreVersion,
    /// The change.
    pub change: EndpointChange,
}

impl EndpointRow {
    /// Whether both are the same change, apart from the time for which its endpoint is cold.
    pub(crate) fn states_same(&self, other: &Self) -> bool {
        let is_same = match (&self.change, &other.change) {
            (EndpointChange::Listed(a), EndpointChange::Listed(b)) => a.endpoint == b.endpoint,
            (a, b) => a == b,
        };
        is_same && self.version == other.version
    }
}

/// Rows of a topic that were read.
#[derive(Clone, Debug, PartialEq)]
pub struct SourceUpdate {
    /// The version up to which the rows are complete.
    pub version: StoreVersion,
    /// The rows, oldest change first.
    pub rows: Vec<Row>,
}

/// The result of writing a rollout's record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RolloutWrite {
    /// The record was written, at this version.
    Written(StoreVersion),
    /// Another record was there, so nothing was written.
    Conflict {
        /// The version of the other record.
        version: StoreVersion,
        /// The other record, `None` if it can't be read.
        record: Option<RolloutRecord>,
    },
}

/// The records of the builds that pools had.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BuildRecords {
    /// The store's clock at the read.
    pub clock: StoreClock,
    /// The record of each pool that has one.
    pub records: Vec<StoredBuilds>,
}

/// The result of writing the record of a pool's builds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BuildRecordWrite {
    /// The record was written, at this version.
    Written(StoreVersion),
    /// Another record was there, so nothing was written.
    Conflict {
        /// The version of the other record, 0 if there is none.
        version: StoreVersion,
        /// The other record, `None` if it can't be read.
        record: Option<BuildRecord>,
    },
}

/// A failed call of a [`Source`].
#[derive(Debug, thiserror::Error)]
pub enum SourceError {
    /// The store no longer holds the history since the requested version: read the whole
    /// topic.
    #[error("the history is gone")]
    HistoryGone,
    /// The store does not answer, or refuses.
    #[error("the platform does not serve: {0}")]
    Unavailable(String),
    /// The store's answer can't be read.
    #[error("the platform's answer can't be read: {0}")]
    Garbage(String),
}

/// The store, as far as a gateway uses it.
pub trait Source: Send + Sync + 'static {
    /// Reads a whole topic. Records the bytes of the answer in `arrival`, so that a long
    /// answer does not count as missing.
    fn read(
        &self,
        topic: Topic,
        arrival: &ReceivedBytes,
    ) -> impl Future<Output = Result<SourceUpdate, SourceError>> + Send;

    /// Waits up to `wait_ms` for changes of a topic after a version. Records the bytes of
    /// the answer in `arrival`.
    fn changes(
        &self,
        topic: Topic,
        since: StoreVersion,
        wait_ms: u64,
        arrival: &ReceivedBytes,
    ) -> impl Future<Output = Result<SourceUpdate, SourceError>> + Send;

    /// Records this host under its address and returns all recorded hosts. A record is
    /// replaced but never removed: a delayed removal could delete the record of a host
    /// that has restarted.
    fn join(&self, row: &HostRow)
    -> impl Future<Output = Result<Vec<HostRow>, SourceError>> + Send;

    /// Reads the poison requests that hosts recorded.
    fn poison(&self) -> impl Future<Output = Result<Vec<PoisonRow>, SourceError>> + Send;

    /// Adds and removes records of poison requests.
    fn record_poison(
        &self,
        add: &[PoisonRow],
        remove: &[RequestFingerprint],
    ) -> impl Future<Output = Result<(), SourceError>> + Send;

    /// Reads the records of the builds that pools had.
    fn builds(&self) -> impl Future<Output = Result<BuildRecords, SourceError>> + Send;

    /// Writes the record of a pool's builds if the record it replaces still has the version
    /// `replaces` (0: no record). Without an answer, it may be written later.
    fn write_builds(
        &self,
        pool: &PoolId,
        record: &BuildRecord,
        replaces: StoreVersion,
    ) -> impl Future<Output = Result<BuildRecordWrite, SourceError>> + Send;

    /// The store's clock, by its last response; `None` if it is not known.
    fn clock(&self) -> Option<StoreClock> {
        None
    }

    /// Writes the record of a pool's rollout if the record it replaces still has the
    /// version `replaces` (0: no record).
    ///
    /// Without an answer, the record may have been written or still be written later; the
    /// next write then returns [`RolloutWrite::Conflict`].
    fn write_rollout(
        &self,
        pool: &PoolId,
        record: &RolloutRecord,
        replaces: StoreVersion,
    ) -> impl Future<Output = Result<RolloutWrite, SourceError>> + Send;

    /// Reads the rows of stream records whose keys begin with a prefix.
    fn stream_rows(
        &self,
        prefix: &str,
    ) -> impl Future<Output = Result<Vec<StreamRecordRow>, SourceError>> + Send;

    /// Adds rows of stream records, and removes those under the keys `remove`, which may be
    /// gone.
    fn write_stream_rows(
        &self,
        add: &[StreamRecordRow],
        remove: &[String],
    ) -> impl Future<Output = Result<(), SourceError>> + Send;
}
