//! Gateways, scripted endpoints and an in-memory store for the tests.

mod crashing;
mod edge;
mod endless;
mod endpoint;
mod fleet;
mod framed;
mod held_calls;
mod link;
mod many_hosts;
mod part_crashing;
mod partition;
mod peer_calls;
mod slotted;
mod source;
mod suspendable;

pub(crate) use crashing::{CrashingEndpoint, POISON_BODY};
pub(crate) use edge::TestEdge;
pub(crate) use endless::{EndlessAnswer, Pace};
pub(crate) use endpoint::{Behaviour, Script, ScriptedEndpoint, event};
pub(crate) use fleet::{
    Call, KEY, Received, TestGateway, config_with_budget, hosts_with, metric, receive, rules,
    rules_with_routes, until,
};
pub(crate) use framed::{FramedAnswer, Framing};
pub(crate) use held_calls::HeldCalls;
pub(crate) use link::SlowLink;
pub(crate) use many_hosts::{FleetHost, LimitedSource, peer_addresses, ready_times, start_fleet};
pub(crate) use part_crashing::{CrashPoint, EVENTS, PartCrashPlan, PartCrashingEndpoint};
pub(crate) use partition::PartitionFleet;
pub(crate) use peer_calls::{
    BuildsByName, KnownVersions, OldRequester, PeerBuild, PeerStandIn, Requester, builds_for_old,
    listed_builds,
};
pub(crate) use slotted::{SlottedCounts, SlottedEndpoint, SlottedMode};
pub(crate) use source::TestSource;
pub(crate) use suspendable::SuspendableGateway;
