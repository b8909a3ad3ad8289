//! What hosts ask each other, over tarpc.

use std::net::SocketAddr;

use chalkrock_core::Endpoint;
use chalkrock_routing::RulesVersion;
use serde::{Deserialize, Serialize};

use crate::peers::message::NamedHost;
use crate::rules_in_force::RulesNews;
use crate::source::{EndpointRow, StoreVersion};

/// What a host knows already.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Have {
    /// Where others may ask it once it has taken what it was missing.
    pub(crate) address: SocketAddr,
    pub(crate) rules: RulesVersion,
    /// `None` if it has no list at all: an empty one is a list too.
    pub(crate) endpoints: Option<StoreVersion>,
    /// Hosts that it heard of, itself included.
    pub(crate) hosts: usize,
}

/// The list of endpoints as one host knows it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) enum EndpointNews {
    /// The whole list, as of a version.
    Entire {
        version: StoreVersion,
        endpoints: Vec<Endpoint>,
    },
    /// Its changes since the version that was asked for.
    Changes(Vec<EndpointRow>),
}

/// What a host offers of the rules.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) enum RulesOffer {
    /// It knows no newer ones.
    None,
    /// These.
    News(RulesNews),
    /// It has a newer version, and passes rules on to as many hosts as its link
    /// bears. Those named took that version from it.
    Busy {
        version: RulesVersion,
        ask: Vec<SocketAddr>,
    },
}

/// What another host is missing.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct Missing {
    pub(crate) rules: RulesOffer,
    pub(crate) endpoints: Option<EndpointNews>,
    /// The hosts of the fleet, for one that knows of few.
    pub(crate) hosts: Vec<NamedHost>,
}

#[tarpc::service]
pub(crate) trait PeerApi {
    /// What this host knows beyond `have`.
    async fn missing(have: Have) -> Missing;
}
