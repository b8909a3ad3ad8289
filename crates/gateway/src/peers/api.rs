//! RPC interface between hosts.

use std::net::SocketAddr;

use chalkrock_core::{BuildVersion, PoolId};
use chalkrock_routing::{Evacuations, LearnedState, PoisonRequest, RulesVersion, StoreVersion};
use serde::{Deserialize, Serialize};

use crate::active_rules::RulesUpdate;
use crate::peers::message::HostContact;
use crate::peers::rollouts::RolloutUpdate;
use crate::source::{EndpointRow, ListedEndpoint};

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

/// Builds that endpoints run: one for each pool, and the exceptions.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct KnownBuilds {
    pub(crate) usual: Vec<(PoolId, BuildVersion)>,
    /// Endpoints with another build than their pool's usual one, by start hash.
    pub(crate) others: Vec<(u32, BuildVersion)>,
}

/// Calls between hosts of any build. Existing calls keep their order and format; new ones
/// are appended, at which older builds close the connection.
#[tarpc::service]
pub(crate) trait PeerApi {
    /// Returns state beyond `have`.
    async fn missing(have: KnownVersions) -> MissingState;

    /// Returns known builds and rollouts.
    async fn besides() -> SupplementaryState;

    /// Returns what the host has learned from requests.
    async fn learned() -> LearnedState;
}
