//! RPC interface between hosts.

use std::collections::HashMap;
use std::net::SocketAddr;

use chalkrock_core::{BuildVersion, Endpoint, PoolId};
use chalkrock_routing::{
    ConnectionLimits, Evacuations, FleetPast, LearnedState, PoisonRequest, RulesVersion,
    StoreVersion, StoredBuilds,
};
use serde::{Deserialize, Serialize};

use crate::active_rules::RulesUpdate;
use crate::peers::message::HostContact;
use crate::peers::rollouts::RolloutUpdate;
use crate::source::{EndpointChange, EndpointRow, ListedEndpoint};

/// Versions that the requesting host already knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct KnownVersions {
    /// Address at which other hosts can query it after the transfer.
    pub(crate) address: SocketAddr,
    pub(crate) rules: RulesVersion,
    /// `None` if it has no list yet, as opposed to an empty one.
    pub(crate) endpoints: Option<StoreVersion>,
    /// Number of hosts that it knows, itself included.
    pub(crate) hosts: usize,
}

/// Endpoint list entries that one host sends to another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) enum EndpointUpdate {
    /// The full list as of a version.
    Entire {
        version: StoreVersion,
        endpoints: Vec<ListedEndpoint>,
    },
    /// Changes since the requested version.
    Changes(Vec<EndpointRow>),
}

impl EndpointUpdate {
    /// Number of endpoints in the update.
    pub(crate) fn entries(&self) -> usize {
        match self {
            Self::Entire { endpoints, .. } => endpoints.len(),
            Self::Changes(rows) => rows.len(),
        }
    }

    /// The endpoints that the update lists, in order.
    fn listed(&self) -> Vec<&Endpoint> {
        match self {
            Self::Entire { endpoints, .. } => {
                let listed = endpoints.iter();
                listed.map(|listed| &listed.endpoint).collect()
            }
            Self::Changes(rows) => {
                let changes = rows.iter().map(|row| &row.change);
                let listed = changes.filter_map(|change| match change {
                    EndpointChange::Listed(listed) => Some(&listed.endpoint),
                    EndpointChange::Gone(_) | EndpointChange::Unreadable(_) => None,
                });
                listed.collect()
            }
        }
    }

    /// The endpoints that the update lists, in order.
    pub(crate) fn listed_mut(&mut self) -> Vec<&mut Endpoint> {
        match self {
            Self::Entire { endpoints, .. } => {
                let listed = endpoints.iter_mut();
                listed.map(|listed| &mut listed.endpoint).collect()
            }
            Self::Changes(rows) => {
                let changes = rows.iter_mut().map(|row| &mut row.change);
                let listed = changes.filter_map(|change| match change {
                    EndpointChange::Listed(listed) => Some(&mut listed.endpoint),
                    EndpointChange::Gone(_) | EndpointChange::Unreadable(_) => None,
                });
                listed.collect()
            }
        }
    }

    /// The version of the list that has the update applied; `None` without changes.
    pub(crate) fn version(&self) -> Option<StoreVersion> {
        match self {
            Self::Entire { version, .. } => Some(*version),
            Self::Changes(rows) => rows.last().map(|row| row.version),
        }
    }
}

/// Builds of the endpoints that an update lists, which the update itself does not carry.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct RowBuilds {
    /// The builds, once each; `None` for endpoints that registered none.
    builds: Vec<Option<BuildVersion>>,
    /// For each listed endpoint, in order, the position of its build.
    positions: Vec<u32>,
}

/// The builds of a response do not belong to its rows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{listed} endpoints are listed with {positions} positions in {builds} builds")]
pub(crate) struct RowBuildsError {
    listed: usize,
    positions: usize,
    builds: usize,
}

impl RowBuilds {
    /// The builds of the endpoints that an update lists.
    pub(crate) fn of(update: Option<&EndpointUpdate>) -> Self {
        let mut row_builds = Self::default();
        let mut known = HashMap::new();
        for endpoint in update.map(EndpointUpdate::listed).unwrap_or_default() {
            let position = *known.entry(&endpoint.build).or_insert_with(|| {
                let build = endpoint.build.is_known().then(|| endpoint.build.clone());
                row_builds.builds.push(build);
                (row_builds.builds.len() - 1) as u32
            });
            row_builds.positions.push(position);
        }
        row_builds
    }

    /// Sets the builds of the endpoints that an update lists, if there is one for each.
    pub(crate) fn set(&self, update: Option<&mut EndpointUpdate>) -> Result<(), RowBuildsError> {
        let listed = update.map(EndpointUpdate::listed_mut).unwrap_or_default();
        let error = RowBuildsError {
            listed: listed.len(),
            positions: self.positions.len(),
            builds: self.builds.len(),
        };
        if listed.len() != self.positions.len() {
            return Err(error);
        }
        for (endpoint, position) in listed.into_iter().zip(&self.positions) {
            let build = self.builds.get(*position as usize).ok_or(error)?;
            endpoint.build = build.clone().unwrap_or_default();
        }
        Ok(())
    }
}

/// Returned instead of state while all transfer slots are in use.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct BusyResponse {
    /// Version of the active rules.
    pub(crate) rules: RulesVersion,
    /// Latest known version of the endpoint list.
    pub(crate) endpoints: StoreVersion,
    /// Hosts that received a transfer of the same rules.
    pub(crate) ask: Vec<SocketAddr>,
}

/// State that the requesting host is missing.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct MissingState {
    pub(crate) rules: Option<RulesUpdate>,
    pub(crate) endpoints: Option<EndpointUpdate>,
    /// Evacuated zones; sent along with the endpoints that they affect.
    pub(crate) evacuations: Evacuations,
    /// Requests confirmed as poison.
    pub(crate) poison: Vec<PoisonRequest>,
    /// Whether the responder has a complete view and was not suspended recently.
    pub(crate) is_fresh: bool,
    /// Hosts of the fleet, for a requester that knows few.
    pub(crate) hosts: Vec<HostContact>,
    /// Set if the response is incomplete.
    pub(crate) busy: Option<BusyResponse>,
}

/// State outside [`MissingState`], whose format older builds also decode.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct SupplementaryState {
    /// Builds that endpoints run.
    pub(crate) builds: KnownBuilds,
    /// Rollout orders and progress.
    pub(crate) rollouts: Option<RolloutUpdate>,
}

/// State that the requesting host is missing, as of one moment. Its format is final, as that
/// of all calls: what later builds send is returned by calls of their own.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct Snapshot {
    pub(crate) missing: MissingState,
    /// Builds of the endpoints in `missing`.
    pub(crate) row_builds: RowBuilds,
    /// Rollout orders and progress.
    pub(crate) rollouts: Option<RolloutUpdate>,
}

/// Builds that endpoints run: one for each pool, and the exceptions.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct KnownBuilds {
    pub(crate) usual: Vec<(PoolId, BuildVersion)>,
    /// Endpoints with another build than their pool's usual one, by start hash.
    pub(crate) others: Vec<(u32, BuildVersion)>,
}

/// What a host knows of the builds that pools had.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct BuildsUpdate {
    pub(crate) past: FleetPast,
    /// Version of the list that it follows, and the time since that was the store's.
    pub(crate) endpoints: StoreVersion,
    pub(crate) confirmed_ago_ms: u64,
    /// The records in the store, as far as it has seen them.
    pub(crate) records: Vec<StoredBuilds>,
}

/// Calls between hosts of any build. Existing calls keep their order and format; new ones
/// are appended, at which older builds close the connection.
#[tarpc::service]
pub(crate) trait PeerApi {
    /// Returns state beyond `have`. For older builds, which call [`PeerApi::besides`] first on
    /// the same connection: endpoints are left out if these have changed since.
    async fn missing(have: KnownVersions) -> MissingState;

    /// Returns known builds and rollouts.
    async fn besides() -> SupplementaryState;

    /// Returns what the host has learned from requests.
    async fn learned() -> LearnedState;

    /// Returns state beyond `have` with the builds of its endpoints.
    async fn snapshot(have: KnownVersions) -> Snapshot;

    /// Returns what the host knows of the builds that pools had; `None` if it can't tell.
    async fn builds() -> Option<BuildsUpdate>;

    /// Returns the connection limits of the newest rules whose limits the host knows.
    async fn connection_limits() -> ConnectionLimits;

    /// Returns state beyond `have`, as [`PeerApi::snapshot`] does. If the requester's list states
    /// the same, by its digest `list_content`, a row with the version of this host's list comes
    /// instead of the list.
    async fn snapshot_of_list(have: KnownVersions, list_content: u64) -> Snapshot;
}
