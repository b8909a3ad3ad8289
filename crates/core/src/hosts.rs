//! Hosts and endpoints as the platform lists them.

use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

use crate::ids::{BuildVersion, EndpointId, HostId, Incarnation, PoolId, ZoneId};
use crate::rendezvous::MemberHash;

/// Whether a host or endpoint accepts new work.
///
/// Within one incarnation the state only advances, so that a late or
/// reordered update can't revive a leaving host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum HostState {
    /// Accepts new work.
    Live,
    /// Finishes its current work and accepts no more.
    Leaving,
}

/// A host of the fleet, which runs a router and an agent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Host {
    /// Its name.
    pub name: HostId,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Where its agent listens for other hosts.
    pub agent_address: SocketAddr,
    /// Identifies this run of the host.
    pub incarnation: Incarnation,
    /// Live or leaving.
    pub state: HostState,
}

/// The kind of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum EndpointKind {
    /// A model engine.
    Engine,
    /// An instance of a service.
    Service,
}

/// An endpoint that routers dispatch to.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Endpoint {
    /// Its name.
    pub name: EndpointId,
    /// Whether it is an engine or a service.
    pub kind: EndpointKind,
    /// The pool it belongs to.
    pub pool: PoolId,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Where it serves HTTP.
    pub address: SocketAddr,
    /// Requests that it batches at once; its weight within the pool.
    pub slots: u32,
    /// Identifies this run of the endpoint.
    pub incarnation: Incarnation,
    /// Live or leaving.
    pub state: HostState,
    /// The software version. Sent outside the list, so that hosts of an earlier
    /// build can read the list.
    #[serde(skip)]
    pub build: BuildVersion,
}

impl Endpoint {
    /// The hash of the endpoint's name and incarnation. State recorded under it
    /// does not carry over to the endpoint's next start.
    pub fn start_hash(&self) -> MemberHash {
        let name = self.name.as_str();
        match self.incarnation {
            // The endpoint does not report its incarnation.
            Incarnation(0) => MemberHash::of(name),
            Incarnation(start) => MemberHash::of_start(name, start),
        }
    }
}

/// The platform's list of hosts and endpoints; may be out of date.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostList {
    /// Hosts of the fleet.
    pub hosts: Vec<Host>,
    /// Endpoints that the fleet dispatches to.
    pub endpoints: Vec<Endpoint>,
}
