//! Hosts and endpoints as the platform's lagging list shows them.

use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

use crate::ids::{BuildVersion, EndpointId, HostId, Incarnation, PoolId, ZoneId};
use crate::rendezvous::MemberHash;

/// Whether a host or endpoint may be given new work.
///
/// Within one incarnation the states only move forward: what has begun to
/// leave stays leaving, however late or reordered the news arrives.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum HostState {
    /// Takes new work.
    Live,
    /// Finishes what it has and takes nothing new.
    Leaving,
}

/// A host of the fleet itself: one router and one agent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Host {
    /// Its name.
    pub name: HostId,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Where its agent answers other hosts.
    pub agent_address: SocketAddr,
    /// Which life of the host this is.
    pub incarnation: Incarnation,
    /// Live or leaving.
    pub state: HostState,
}

/// What an endpoint is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum EndpointKind {
    /// A model engine.
    Engine,
    /// A replica of a plain service.
    Service,
}

/// An endpoint that routers dispatch to.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Endpoint {
    /// Its name.
    pub name: EndpointId,
    /// Engine or service.
    pub kind: EndpointKind,
    /// The pool it belongs to.
    pub pool: PoolId,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Where it answers HTTP.
    pub address: SocketAddr,
    /// Its size against others of the pool: requests it batches at once.
    pub slots: u32,
    /// Which life of the endpoint this is.
    pub incarnation: Incarnation,
    /// Live or leaving.
    pub state: HostState,
    /// The software that it runs. It is passed on beside the list and not in it, so
    /// that hosts of an earlier build can read the list.
    #[serde(skip)]
    pub build: BuildVersion,
}

impl Endpoint {
    /// The hash of this start of the endpoint. All that is remembered or told of an
    /// endpoint goes by it: what was seen of one start is neither believed of the
    /// next nor laid on it, and costs no byte more than a hash of the name.
    pub fn start_hash(&self) -> MemberHash {
        let name = self.name.as_str();
        match self.incarnation {
            // It tells nothing of its start: its name has to do.
            Incarnation(0) => MemberHash::of(name),
            Incarnation(start) => MemberHash::of_start(name, start),
        }
    }
}

/// The platform's list of hosts and endpoints, which lags behind the truth.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostList {
    /// Hosts of the fleet.
    pub hosts: Vec<Host>,
    /// Endpoints it serves.
    pub endpoints: Vec<Endpoint>,
}
