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
//! use chalkrock_core::rendezvous::{first, KeyHash, MemberHash};
//!
//! let names = ["engine-a", "engine-b", "engine-c", "engine-d"];
//! let members = names.map(|name| (MemberHash::of(name), 1.0));
//! let chat = KeyHash::of(b"organisation-1/chat-7");
//! let before = first(chat, members[..3].iter().copied()).unwrap();
//! let after = first(chat, members).unwrap();
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

pub use claims::{CLAIM_KEY_MAX_BYTES, ClaimDecision, ClaimRow, ClaimState, claim_row_key};
pub use config::{FleetConfig, LOAD_MULTIPLE_MAX, LOAD_MULTIPLE_MIN, Organisation, Pool, PoolKind};
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
    AskAnswer, Home, PlaceOption, Placement, PlacementRules, Step, has_own_room, local_choice,
};
pub use retry::RetryBudget;
pub use slots::{
    AskContext, EngineSlots, Holder, MEAN_FLOOR, OPEN_SHARE, OrganisationKey, SlotDecision,
    SlotRules, Weights,
};
pub use stream::{Arrival, StreamOrder};
pub use token::{HomeHint, StreamPlace, TokenKey};
