//! What hosts ask each other, over tarpc.

use std::net::SocketAddr;

use chalkrock_core::{BuildVersion, PoolId};
use chalkrock_routing::{Evacuations, PoisonRequest, RulesVersion, StoreVersion};
use serde::{Deserialize, Serialize};

use crate::active_rules::RulesUpdate;
use crate::peers::message::HostContact;
use crate::peers::rollouts::RolloutUpdate;
use crate::source::{EndpointRow, ListedEndpoint};

/// What a host knows already.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct KnownVersions {
    /// Where others may ask it once it has taken what it was missing.
    pub(crate) address: SocketAddr,
    pub(crate) rules: RulesVersion,
    /// `None` if it has no list at all: an empty one is a list too.
    pub(crate) endpoints: Option<StoreVersion>,
    /// Hosts that it knows of, itself included.
    pub(crate) hosts: usize,
}

/// The list of endpoints as one host knows it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) enum EndpointUpdate {
    /// The whole list, as of a version.
    Entire {
        version: StoreVersion,
        endpoints: Vec<ListedEndpoint>,
    },
    /// Its changes since the version that was asked for.
    Changes(Vec<EndpointRow>),
}

impl EndpointUpdate {
    /// Endpoints that it names.
    pub(crate) fn entries(&self) -> usize {
        match self {
            Self::Entire { endpoints, .. } => endpoints.len(),
            Self::Changes(rows) => rows.len(),
        }
    }
}

/// A host knows more, and passes it on to as many others as its link bears.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct BusyResponse {
    /// The rules that it has in force.
    pub(crate) rules: RulesVersion,
    /// The newest change of the list of endpoints that it knows.
    pub(crate) endpoints: StoreVersion,
    /// Hosts that took as much from it.
    pub(crate) ask: Vec<SocketAddr>,
}

/// What another host is missing.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct MissingState {
    pub(crate) rules: Option<RulesUpdate>,
    pub(crate) endpoints: Option<EndpointUpdate>,
    /// The zones that are evacuated: whoever takes endpoints knows them too.
    pub(crate) evacuations: Evacuations,
    /// Requests that are sent no further.
    pub(crate) poison: Vec<PoisonRequest>,
    /// Whether the asked host can serve: it has all it takes, and did not stand still of
    /// late.
    pub(crate) is_fresh: bool,
    /// The hosts of the fleet, for one that knows of few.
    pub(crate) hosts: Vec<HostContact>,
    /// Set if this is not all that it is missing.
    pub(crate) busy: Option<BusyResponse>,
}

/// What a host knows beside [`MissingState`], which hosts of earlier builds read too and
/// which therefore keeps its form.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct SupplementaryState {
    /// The software that endpoints run.
    pub(crate) builds: KnownBuilds,
    /// Orders to move pools to other builds, and how far that has come.
    pub(crate) rollouts: Option<RolloutUpdate>,
}

/// The software that endpoints run: of each pool one build, and those of others.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct KnownBuilds {
    pub(crate) usual: Vec<(PoolId, BuildVersion)>,
    /// Endpoints of another build than their pool's usual one, by their starts.
    pub(crate) others: Vec<(u32, BuildVersion)>,
}

/// What hosts of any build ask each other. What has landed keeps its place and its
/// form; what is new is a call of its own, which hosts of earlier builds break off.
#[tarpc::service]
pub(crate) trait PeerApi {
    /// What this host knows beyond `have`.
    async fn missing(have: KnownVersions) -> MissingState;

    /// What this host knows of builds and rollouts.
    async fn besides() -> SupplementaryState;
}
