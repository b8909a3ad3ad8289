//! Decisions of the chalkrock router fleet, free of I/O.
//!
//! Everything that chalkrock decides is decided here: which engine serves a
//! chat, whether a slot is granted, what a caller is told. There are no
//! sockets, no tasks and no clock: time is an argument, and the same input
//! gives the same output. Use this crate alone to drive the decisions from a
//! simulator or another harness; use the router and the agent to serve.
//!
//! # Example
//!
//! A chat's home among three engines stays the same when a fourth joins,
//! unless the fourth wins it:
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
    EngineSlots, MEAN_FLOOR, OPEN_LOAD_RATIO, OrganisationKey, SlotDecision, SlotHolder,
    SlotRequestContext, SlotRules, Weights,
};
pub use stream::{Arrival, StreamOrder};
pub use token::{HomeHint, StreamPlace, TokenKey};
