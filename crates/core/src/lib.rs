//! The decision logic of the chalkrock router fleet, without I/O.
//!
//! Decides which engine serves a chat, whether a slot is granted, and which
//! outcome a caller receives. The logic is deterministic: it has no sockets,
//! tasks or clock, and time is an argument. Simulators can drive it directly;
//! the router and the agent serve requests with it.
//!
//! # Example
//!
//! When a fourth engine joins, a chat keeps its home unless the new engine
//! ranks first:
//!
//! ```
//! use chalkrock_core::rendezvous::{top_ranked, KeyHash, MemberHash};
//!
//! let names = ["engine-a", "engine-b", "engine-c", "engine-d"];
//! let members = names.map(|name| (MemberHash::of(name), 1.0));
//! let chat = KeyHash::of(b"organisation-1/chat-7");
//! let before = top_ranked(chat, members[..3].iter().copied()).unwrap();
//! let after = top_ranked(chat, members).unwrap();
//! assert!(after == before || after == 3);
//! ```

pub mod rendezvous;

mod claims;
mod config;
mod error;
mod hosts;
mod ids;
mod keys;
mod load_table;
mod membership;
mod outcome;
mod owner;
mod placement;
mod retry;
mod slots;
mod stream;
mod token;

pub use claims::{ClaimDecision, ClaimRow, ClaimState, MAX_CLAIM_KEY_BYTES, claim_row_key};
pub use config::{FleetConfig, MAX_LOAD_MULTIPLE, MIN_LOAD_MULTIPLE, Organisation, Pool, PoolKind};
pub use error::{Error, ErrorKind};
pub use hosts::{Endpoint, EndpointKind, Host, HostList, HostState};
pub use ids::{
    BuildVersion, ChangeId, ConfigVersion, EndpointId, HostId, Incarnation, ModelId,
    OrganisationId, PoolId, RequestId, ZoneId,
};
pub use keys::key_digest;
pub use load_table::{HostLoad, LoadEntry, LoadSampler, LoadTable};
pub use membership::Membership;
pub use outcome::{Outcome, Reason};
pub use owner::{Authority, OwnedEngine, Owner, owner_index};
pub use placement::{
    EngineCandidate, Home, Placement, PlacementRules, PlacementStep, SlotResponse, choose_locally,
    has_local_capacity,
};
pub use retry::RetryBudget;
pub use slots::{
    EngineSlots, MIN_MEAN_LOAD, OPEN_LOAD_RATIO, OrganisationKey, SlotDecision, SlotHolder,
    SlotRequestContext, SlotRules, Weights,
};
pub use stream::{Arrival, StreamOrder};
pub use token::{HomeHint, StreamPlace, TokenKey};
