//! What an agent answers: to its own router, to other hosts' routers, and to
//! other agents.

use std::sync::Arc;

use chalkrock_core::{ConfigVersion, EndpointId, HostId, HostList, Incarnation};
use serde::{Deserialize, Serialize};

/// The version of these messages. Peers with another one are refused.
pub const PROTOCOL_VERSION: u32 = 1;

/// What a connection is for. Each purpose has connections of its own, so that
/// its bytes can be counted at the socket.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Purpose {
    /// A router follows its own agent's view.
    View,
    /// A router asks an owner for slots and gives them back.
    Slots,
    /// Agents exchange loads, versions and leaving endpoints.
    Exchange,
    /// An agent sends claims to the agent that writes them.
    Claims,
}

impl Purpose {
    /// Each purpose.
    pub const ALL: [Purpose; 4] = [
        Purpose::View,
        Purpose::Slots,
        Purpose::Exchange,
        Purpose::Claims,
    ];

    /// The label of the purpose in metrics.
    pub fn label(self) -> &'static str {
        match self {
            Purpose::View => "view",
            Purpose::Slots => "slots",
            Purpose::Exchange => "exchange",
            Purpose::Claims => "claims",
        }
    }
}

/// The first call on each connection.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Hello {
    /// The caller's protocol version.
    pub protocol_version: u32,
    /// Digest of the fleet's key, hexadecimal.
    pub fleet_key_sha256: Arc<str>,
    /// The calling host.
    pub host: HostId,
    /// What the connection is for.
    pub purpose: Purpose,
}

/// Why an agent refuses a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
pub enum PeerError {
    /// The peer speaks another protocol version.
    #[error("the peer speaks another protocol version")]
    WrongVersion,
    /// The peer holds another fleet's key.
    #[error("the peer holds another fleet's key")]
    WrongFleet,
    /// The connection was not opened with a hello for this purpose.
    #[error("the connection was not opened for this call")]
    NoHello,
}

/// What a router already has of its agent's view.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct KnownView {
    /// The configuration in force at the router.
    pub config_version: ConfigVersion,
    /// The number of the last host list taken over.
    pub hosts_number: u64,
}

/// A configuration as it travels: its version and its JSON text.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigBody {
    /// Its version.
    pub version: ConfigVersion,
    /// The document, JSON. bincode can't carry tagged enums, and the text is
    /// what the object store holds.
    pub json: Arc<str>,
}

/// A host list as it travels to the router.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostsBody {
    /// Counts up with each change that the agent saw.
    pub number: u64,
    /// Hosts and endpoints with their states.
    pub list: HostList,
}

/// What has changed in the agent's view.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ViewUpdate {
    /// A newer configuration, if there is one.
    pub config: Option<ConfigBody>,
    /// A newer host list, if there is one.
    pub hosts: Option<HostsBody>,
}

/// A router asks the owner of an engine for a slot there. Names travel as
/// their hashes: asks are most of the control traffic.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct SlotRequest {
    /// The hash of the engine's name.
    pub engine: u64,
    /// The low half of the hash of the organisation's name.
    pub organisation: u32,
    /// How long the owner may hold the ask until a slot frees up.
    pub wait_ms: u16,
    /// The pool's load by unit of weight, in thousandths, as the router
    /// sampled it from owners' answers; 0 if it has not yet.
    pub sampled_mean_thousandths: u32,
}

/// The owner's answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum SlotResponse {
    /// A slot is held for the request until it is given back.
    Granted {
        /// Requests on the engine, this one included.
        in_progress: u32,
    },
    /// The engine is at its bound.
    AtBound {
        /// Requests on the engine.
        in_progress: u32,
    },
    /// The engine is nearly full, and the organisation has its share of it.
    OverShare {
        /// Requests on the engine.
        in_progress: u32,
    },
    /// The engine takes no new work.
    Leaving,
    /// This agent does not own the engine, or has owned it too short a time.
    NotOwner,
}

/// Slots of one engine for one organisation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SlotCount {
    /// The hash of the engine's name.
    pub engine: u64,
    /// The low half of the hash of the organisation's name.
    pub organisation: u32,
    /// How many slots.
    pub count: u32,
}

/// One host's total for one pool, as it travels. Hosts and pools are named by
/// the low half of their names' hashes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostPoolLoad {
    /// The pool.
    pub pool: u32,
    /// The host.
    pub host: u32,
    /// Requests in progress on the engines it owns.
    pub in_progress: u32,
    /// The weight of these engines.
    pub weight: u32,
    /// How long ago the host said so.
    pub age_ms: u32,
}

/// An endpoint that was seen to leave.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeavingEndpoint {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// The life that leaves.
    pub incarnation: Incarnation,
}

/// One round of the exchange, the same in both directions.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerUpdate {
    /// The version in force at the sender.
    pub config_version: ConfigVersion,
    /// The freshest totals that it knows.
    pub loads: Vec<HostPoolLoad>,
    /// Endpoints that it lately saw leaving.
    pub leaving: Vec<LeavingEndpoint>,
}

/// What the write of a claim expects to find.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimExpect {
    /// No row.
    Absent,
    /// The row at this version.
    Version(u64),
}

/// A row of a claim that is to be written.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimWrite {
    /// The row's key.
    pub key: String,
    /// The row, JSON.
    pub value: String,
    /// What it replaces.
    pub expect: ClaimExpect,
}

/// What became of the write of a claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimResult {
    /// It is in the table.
    Written {
        /// The row's version.
        version: u64,
    },
    /// Another row is in its way; nothing was written.
    Found {
        /// That row's version.
        version: u64,
        /// That row, JSON.
        value: String,
    },
    /// The row that it should replace is gone; nothing was written.
    Gone,
    /// The table does not answer; nothing was written.
    Unavailable,
    /// It may have been written.
    Unsettled,
}

/// What an agent answers.
#[tarpc::service]
pub trait AgentApi {
    /// Opens the connection. Any other call before it is refused.
    async fn hello(hello: Hello) -> Result<(), PeerError>;

    /// Answers with what is newer than `known`, at once if there is anything,
    /// else after the heartbeat interval with nothing.
    async fn watch_view(known: KnownView) -> Result<ViewUpdate, PeerError>;

    /// Asks for a slot.
    async fn ask_slot(ask: SlotRequest) -> Result<SlotResponse, PeerError>;

    /// Gives slots back.
    async fn return_slots(returns: Vec<SlotCount>) -> Result<(), PeerError>;

    /// Tells a new owner what the router holds of its engines.
    async fn adopt_slots(held: Vec<SlotCount>) -> Result<(), PeerError>;

    /// Exchanges news with another agent.
    async fn exchange(news: PeerUpdate) -> Result<PeerUpdate, PeerError>;

    /// Writes a claim, together with others.
    async fn write_claim(write: ClaimWrite) -> Result<ClaimResult, PeerError>;

    /// The configuration in force here, for an agent that has an older one.
    async fn config_body() -> Result<Option<ConfigBody>, PeerError>;
}
