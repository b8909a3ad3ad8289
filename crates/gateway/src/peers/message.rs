//! The datagrams that hosts send each other.

use std::net::SocketAddr;

use chalkrock_routing::{
    AggregatePath, CacheEntry, Evacuations, HostReport, PoisonRequest, PoisonUpdate, RulesVersion,
    StoreVersion, SubscriptionRole, ZoneAggregate,
};
use serde::{Deserialize, Serialize};

use crate::peers::rollouts::{RolloutTally, RolloutUpdate};

/// A datagram. Hosts of other builds read it too: what has landed keeps its place and
/// its fields, and what is new comes behind as a kind of its own, which earlier builds
/// pass over.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) enum Datagram {
    /// From a host to those that it tells of itself.
    Heartbeat(Heartbeat),
    /// From a relay of one zone to those of another.
    ZoneSummary(ZoneSummary),
    /// From a relay to the hosts of its zone: another zone's requests.
    FarSum(ZoneAggregate),
    /// What endpoints were newly seen to hold.
    CacheEntries(CacheEntries),
    /// What endpoints ended under, or what ran well after all.
    Poison(Vec<PoisonUpdate>),
    /// From a relay to the hosts of its large zone, which do not hear each
    /// other.
    RelaySummary(RelaySummary),
    /// From a relay to the hosts of its large zone: the whole fleet's requests.
    /// Behind it stands, for each recipient its own, an `Option<ReportId>`:
    /// the recipient's report that the sum includes.
    FleetSum(ZoneAggregate),
    /// Orders to move pools to other builds, and how far that has come.
    Rollouts(RolloutUpdate),
    /// What a host, or a relay of a zone, counted of a rollout's answers.
    RolloutTally(RolloutTally),
}

/// What a relay tells the hosts of its large zone in place of their heartbeats.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct RelaySummary {
    /// The short hash of the zone.
    pub(crate) zone: u32,
    /// How the relay stands to the platform.
    pub(crate) reading: SubscriptionRole,
    /// What the relay may use of a processor, in thousandths of a core.
    pub(crate) capacity_millicores: u16,
    /// How long ago the platform last answered the relay or a host that told
    /// the relay so itself.
    pub(crate) answered_ago_ms: Option<u32>,
    /// How long ago it last answered a host of another zone.
    pub(crate) far_answered_ago_ms: Option<u32>,
    pub(crate) knowledge: StateDigest,
    /// Some of the zone's hosts that the relay hears; all in turn.
    pub(crate) members: Vec<ZoneMember>,
}

/// A host of a zone that a relay hears.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct ZoneMember {
    pub(crate) address: SocketAddr,
    /// How it stands to the platform.
    pub(crate) reading: SubscriptionRole,
    /// What it may use of a processor, in thousandths of a core.
    pub(crate) capacity_millicores: u16,
}

/// What endpoints were newly seen to hold, in a datagram of its own, so that
/// none becomes larger than what a link carries in one piece.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct CacheEntries {
    /// The short hash of the zone where it was seen.
    pub(crate) zone: u32,
    /// Whether this comes second hand.
    pub(crate) path: AggregatePath,
    pub(crate) holdings: Vec<CacheEntry>,
}

/// What a host knows, for others to compare with.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct StateDigest {
    /// The rules that it has in force.
    pub(crate) rules: RulesVersion,
    /// The newest change of the list of endpoints that it knows.
    pub(crate) endpoints: StoreVersion,
    /// Short hashes of endpoints that are leaving.
    pub(crate) leaving: Vec<u32>,
    /// The zones that are evacuated.
    pub(crate) evacuations: Evacuations,
    /// Requests that are sent no further.
    pub(crate) poison: Vec<PoisonRequest>,
}

/// A host that another one names.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct HostContact {
    pub(crate) address: SocketAddr,
    /// The short hash of its availability zone.
    pub(crate) zone: u32,
}

/// What one host tells of itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Heartbeat {
    /// The short hash of its availability zone.
    pub(crate) zone: u32,
    /// How it stands to the platform.
    pub(crate) reading: SubscriptionRole,
    /// What it may use of a processor, in thousandths of a core.
    pub(crate) capacity_millicores: u16,
    /// How long ago the platform last answered it; `None` if it never did.
    pub(crate) answered_ago_ms: Option<u32>,
    /// How long ago it last answered a host of another zone, from a relay.
    pub(crate) far_answered_ago_ms: Option<u32>,
    /// Its requests in progress.
    pub(crate) report: HostReport,
    pub(crate) knowledge: StateDigest,
    /// Some hosts that it hears.
    pub(crate) hosts: Vec<HostContact>,
}

/// What a relay tells the other zones of its own.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct ZoneSummary {
    pub(crate) sum: ZoneAggregate,
    /// How long ago the platform last answered a host of the zone.
    pub(crate) answered_ago_ms: Option<u32>,
    pub(crate) knowledge: StateDigest,
}
