//! The RPC interface of an agent for routers and other agents.

use std::sync::Arc;

use chalkrock_core::{ConfigVersion, EndpointId, HostId, HostList, Incarnation};
use serde::{Deserialize, Serialize};

/// The version of the protocol; peers with another version are rejected.
pub const PROTOCOL_VERSION: u32 = 1;

/// The purpose of a connection. Each purpose uses separate connections, so that
/// its bytes are counted at the socket.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Purpose {
    /// A router watches the view of its local agent.
    View,
    /// A router acquires slots from an owner and releases them.
    Slots,
    /// Agents exchange loads, versions and leaving endpoints.
    Exchange,
    /// An agent sends claims to the agent that writes them to the store.
    Claims,
}

impl Purpose {
    /// All purposes.
    pub const ALL: [Purpose; 4] = [
        Purpose::View,
        Purpose::Slots,
        Purpose::Exchange,
        Purpose::Claims,
    ];

    /// Returns the label of the purpose in metrics.
    pub fn label(self) -> &'static str {
        match self {
            Purpose::View => "view",
            Purpose::Slots => "slots",
            Purpose::Exchange => "exchange",
            Purpose::Claims => "claims",
        }
    }
}

/// The handshake, the first call on each connection.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Hello {
    /// The caller's protocol version.
    pub protocol_version: u32,
    /// The SHA-256 digest of the fleet's key, in hexadecimal.
    pub fleet_key_sha256: Arc<str>,
    /// The calling host.
    pub host: HostId,
    /// The purpose of the connection.
    pub purpose: Purpose,
}

/// Why an agent rejects a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
pub enum PeerError {
    /// The peer uses another protocol version.
    #[error("the peer uses another protocol version")]
    WrongVersion,
    /// The peer has the key of another fleet.
    #[error("the peer has the key of another fleet")]
    WrongFleet,
    /// The connection has no handshake for the purpose of this call.
    #[error("the connection has no handshake for the purpose of this call")]
    NoHello,
}

/// The state of a router's copy of its agent's view.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct KnownView {
    /// The configuration in force at the router.
    pub config_version: ConfigVersion,
    /// The number of the last host list that the router applied.
    pub hosts_number: u64,
}

/// A configuration document and its version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigBody {
    /// The version.
    pub version: ConfigVersion,
    /// The document in JSON, as in the object store; bincode can't encode its
    /// tagged enums.
    pub json: Arc<str>,
}

/// A numbered host list for a router.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostsBody {
    /// Increases with each change that the agent observes.
    pub number: u64,
    /// The hosts and endpoints with their states.
    pub list: HostList,
}

/// Changes in the agent's view.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ViewUpdate {
    /// A newer configuration, if there is one.
    pub config: Option<ConfigBody>,
    /// A newer host list, if there is one.
    pub hosts: Option<HostsBody>,
}

/// A router's request to the owner of an engine for a slot. Names are sent as
/// hashes, because slot requests are most of the control traffic.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct SlotRequest {
    /// The hash of the engine's name.
    pub engine: u64,
    /// The low half of the hash of the organisation's name.
    pub organisation: u32,
    /// How long the owner may hold the request until a slot is free.
    pub wait_ms: u16,
    /// The pool's mean load per unit of weight, in thousandths, sampled from
    /// the responses of owners; 0 if unknown.
    pub sampled_mean_thousandths: u32,
}

/// The owner's response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum SlotReply {
    /// A slot is reserved until it is returned.
    Granted {
        /// Requests in progress on the engine, including this one.
        in_progress: u32,
    },
    /// The engine is at its concurrency limit.
    AtBound {
        /// Requests in progress on the engine.
        in_progress: u32,
    },
    /// The engine is nearly full, and the organisation has used its share.
    OverShare {
        /// Requests in progress on the engine.
        in_progress: u32,
    },
    /// The engine is draining and accepts no new requests.
    Leaving,
    /// This agent does not own the engine, or has become its owner too recently.
    NotOwner,
}

/// The slots held on one engine for one organisation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SlotCount {
    /// The hash of the engine's name.
    pub engine: u64,
    /// The low half of the hash of the organisation's name.
    pub organisation: u32,
    /// The number of slots.
    pub count: u32,
}

/// The load of one host in one pool. Both are identified by the low half of the
/// hash of their name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostPoolLoad {
    /// The hash of the pool's name.
    pub pool: u32,
    /// The hash of the host's name.
    pub host: u32,
    /// Requests in progress on the engines that the host owns.
    pub in_progress: u32,
    /// The total weight of these engines.
    pub weight: u32,
    /// The age of the host's report.
    pub age_ms: u32,
}

/// An endpoint that is leaving.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeavingEndpoint {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// The incarnation that is leaving.
    pub incarnation: Incarnation,
}

/// The state that two agents exchange, the same in both directions.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerUpdate {
    /// The configuration version in force at the sender.
    pub config_version: ConfigVersion,
    /// The latest loads known to the sender.
    pub loads: Vec<HostPoolLoad>,
    /// Endpoints that the sender recently observed leaving.
    pub leaving: Vec<LeavingEndpoint>,
}

/// The condition of the write of a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimExpect {
    /// The key has no row.
    Absent,
    /// The row has this version.
    Version(u64),
}

/// A conditional write of the row of a claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimWrite {
    /// The key of the row.
    pub key: String,
    /// The value of the row, in JSON.
    pub value: String,
    /// The condition.
    pub expect: ClaimExpect,
}

/// The result of writing a claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimResult {
    /// The claim was written.
    Written {
        /// The version of the row.
        version: u64,
    },
    /// Another row has the key; nothing was written.
    Found {
        /// The version of that row.
        version: u64,
        /// The value of that row, in JSON.
        value: String,
    },
    /// The row to replace does not exist; nothing was written.
    Gone,
    /// The table is unavailable; nothing was written.
    Unavailable,
    /// The claim may have been written.
    Unsettled,
}

/// The RPC service of an agent.
#[tarpc::service]
pub trait AgentApi {
    /// Performs the handshake; calls before it are rejected.
    async fn hello(hello: Hello) -> Result<(), PeerError>;

    /// Returns changes since `known` as soon as there are any, or an empty update
    /// after the heartbeat interval.
    async fn watch_view(known: KnownView) -> Result<ViewUpdate, PeerError>;

    /// Requests a slot.
    async fn ask_slot(ask: SlotRequest) -> Result<SlotReply, PeerError>;

    /// Returns slots to the owner.
    async fn return_slots(returns: Vec<SlotCount>) -> Result<(), PeerError>;

    /// Reports to a new owner the slots that the router holds on its engines.
    async fn adopt_slots(held: Vec<SlotCount>) -> Result<(), PeerError>;

    /// Exchanges updates with another agent.
    async fn exchange(news: PeerUpdate) -> Result<PeerUpdate, PeerError>;

    /// Writes a claim, batched with others.
    async fn write_claim(write: ClaimWrite) -> Result<ClaimResult, PeerError>;

    /// Returns the configuration in force at this agent.
    async fn config_body() -> Result<Option<ConfigBody>, PeerError>;
}
