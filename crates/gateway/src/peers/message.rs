//! Datagrams between hosts.

use std::net::SocketAddr;

use chalkrock_routing::{
    AggregatePath, CacheEntry, Evacuations, HostReport, LimitReport, ListReport, PartUpdate,
    PartUse, PoisonRequest, PoisonUpdate, RulesVersion, RunStage, SlotAsk, SlotReply, StoreVersion,
    StoredBuilds, SubscriptionRole, Survival, WorkReport, ZoneAggregate,
};
use serde::{Deserialize, Deserializer, Serialize};

use crate::fair_share::PoolUsage;
use crate::metrics::ControlKind;
use crate::peers::reachability::{ReachAsk, ReachReply};
use crate::peers::rollouts::{RolloutPlans, RolloutTally, RolloutUpdate};
use crate::store_answers::AnswerAges;
use crate::stream_origins::{StreamAsk, StreamRecord, StreamReply};

/// A datagram. Hosts of other builds decode it: existing variants and fields keep their
/// positions, and new variants are appended, which older builds ignore.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) enum Datagram {
    /// State of one host.
    Heartbeat(Heartbeat),
    /// From a relay of one zone to those of another.
    ZoneSummary(ZoneSummary),
    /// From a relay to the hosts of its zone: the aggregate of a remote zone.
    FarSum(ZoneAggregate),
    /// New prefix locations.
    CacheEntries(CacheEntries),
    /// Suspected or cleared poison requests.
    Poison(Vec<PoisonUpdate>),
    /// From a relay to the hosts of its large zone, which do not receive each other's
    /// heartbeats.
    RelaySummary(RelaySummary),
    /// From a relay to the hosts of its large zone: the fleet aggregate. An
    /// `Option<ReportId>` follows it: the recipient's report that the aggregate includes.
    FleetSum(ZoneAggregate),
    /// Rollout orders and progress.
    Rollouts(RolloutUpdate),
    /// Rollout answers counted by a host or zone.
    RolloutTally(RolloutTally),
    /// Use of a loaded pool by organisation.
    PoolUsage(PoolUsage),
    /// To the scheduler of a pool: the requests that wait and the slots in use.
    SlotAsk(SlotAsk),
    /// From the scheduler of a pool.
    SlotReply(SlotReply),
    /// From a host that does not schedule the pool of an ask.
    SlotRedirect(SlotRedirect),
    /// Work in hand of one host.
    Work(WorkReport),
    /// Plans of rollouts.
    RolloutPlans(RolloutPlans),
    /// Asks which endpoints a host reaches.
    ReachAsk(ReachAsk),
    /// Which endpoints a host reaches.
    ReachReply(ReachReply),
    /// Rejections that endpoints tolerate.
    RejectionLimits(Vec<LimitReport>),
    /// The build that began a stream.
    StreamRecord(StreamRecord),
    /// Asks which build began a stream.
    StreamAsk(StreamAsk),
    /// Which build began a stream.
    StreamReply(StreamReply),
    /// From hosts of earlier builds: crashes and answers that went on, by parts of prompts.
    PoisonParts(Vec<EarlierPartUpdate>),
    /// Digest of the list of endpoints.
    ListDigest(ListDigest),
    /// To the host that writes the stream's group to the store: the build that began it.
    StreamRecordToStore(StreamRecord),
    /// Asks which build began a stream, also by the store's records.
    StreamStoreAsk(StreamAsk),
    /// Records of the builds that pools had, as the store holds them.
    BuildRecords(Vec<StoredBuilds>),
    /// Crashes and answers that went on, by parts of prompts.
    PartEvidence(Vec<PartUpdate>),
}

impl Datagram {
    /// Its kind of control traffic.
    pub(crate) fn kind(&self) -> ControlKind {
        match self {
            Self::Heartbeat(_) => ControlKind::Heartbeat,
            Self::ZoneSummary(_) => ControlKind::ZoneSummary,
            Self::FarSum(_) => ControlKind::FarSum,
            Self::CacheEntries(_) => ControlKind::CacheEntries,
            Self::Poison(_) | Self::PoisonParts(_) | Self::PartEvidence(_) => ControlKind::Poison,
            Self::RelaySummary(_) => ControlKind::RelaySummary,
            Self::FleetSum(_) => ControlKind::FleetSum,
            Self::Rollouts(_) | Self::RolloutPlans(_) => ControlKind::Rollouts,
            Self::RolloutTally(_) => ControlKind::RolloutTally,
            Self::PoolUsage(_) => ControlKind::PoolUsage,
            Self::SlotAsk(_) | Self::SlotReply(_) | Self::SlotRedirect(_) => ControlKind::Slots,
            Self::Work(_) => ControlKind::Work,
            Self::ReachAsk(_) | Self::ReachReply(_) => ControlKind::Reachability,
            Self::RejectionLimits(_) => ControlKind::RejectionLimits,
            Self::ListDigest(_) => ControlKind::ListDigest,
            Self::StreamRecord(_)
            | Self::StreamAsk(_)
            | Self::StreamReply(_)
            | Self::StreamRecordToStore(_)
            | Self::StreamStoreAsk(_) => ControlKind::StreamOrigins,
            Self::BuildRecords(_) => ControlKind::BuildRecords,
        }
    }
}

/// An observation of parts as earlier builds send it. Of requests at a crash, these send only
/// those whose answer had begun shortly before.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum EarlierPartUpdate {
    Crashed { start: u32, uses: Vec<(u32, u32)> },
    Survived { part: u32, ago_ms: u32 },
}

impl From<EarlierPartUpdate> for PartUpdate {
    fn from(update: EarlierPartUpdate) -> Self {
        match update {
            EarlierPartUpdate::Crashed { start, uses } => {
                let uses = uses.into_iter().map(|(part, request)| PartUse {
                    part,
                    request,
                    stage: RunStage::Answered { age_ms: 0 },
                });
                Self::Crashed {
                    start,
                    uses: uses.collect(),
                }
            }
            EarlierPartUpdate::Survived { part, ago_ms } => Self::Survived {
                part,
                survival: Survival::SHORTEST,
                ago_ms,
            },
        }
    }
}

/// What a host reports about its list of endpoints.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct ListDigest {
    pub(crate) report: ListReport,
    /// Whether it replies to a report that differs, which is not replied to again.
    pub(crate) is_reply: bool,
}

/// Names the host that schedules a pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct SlotRedirect {
    /// Short hash of the pool's name.
    pub(crate) pool: u32,
    /// The ask that it replies to.
    pub(crate) ask_sequence: u64,
    pub(crate) scheduler: SocketAddr,
}

/// Replaces heartbeats between the hosts of a large zone.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct RelaySummary {
    /// Short hash of the zone.
    pub(crate) zone: u32,
    /// Subscription role of the relay.
    pub(crate) reading: SubscriptionRole,
    /// Room of the relay for work for others, in thousandths of a core.
    pub(crate) capacity_millicores: u16,
    /// Time since the store last answered the relay or a host that reports to it.
    pub(crate) answered_ago_ms: Option<u32>,
    /// Time since the store last answered a host of a remote zone.
    pub(crate) far_answered_ago_ms: Option<u32>,
    pub(crate) knowledge: StateDigest,
    /// Some of the zone's hosts; successive summaries cover all.
    pub(crate) members: Vec<ZoneMember>,
    pub(crate) view: Appended<ViewAges>,
    /// Times since the store last answered a host of a remote zone.
    pub(crate) far_answers: Appended<AnswerAges>,
}

/// A host that reports to a relay.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct ZoneMember {
    pub(crate) address: SocketAddr,
    /// Its subscription role.
    pub(crate) reading: SubscriptionRole,
    /// Its room for work for others, in thousandths of a core; older builds send their
    /// processor share.
    pub(crate) capacity_millicores: u16,
}

/// New prefix locations, in a separate datagram so that each fits into one packet.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct CacheEntries {
    /// Short hash of the zone of origin.
    pub(crate) zone: u32,
    /// Whether the entries were relayed.
    pub(crate) path: AggregatePath,
    pub(crate) holdings: Vec<CacheEntry>,
}

/// Versions and state that peers compare with their own.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct StateDigest {
    /// Version of the active rules.
    pub(crate) rules: RulesVersion,
    /// Latest known version of the endpoint list.
    pub(crate) endpoints: StoreVersion,
    /// Short hashes of endpoints that are leaving.
    pub(crate) leaving: Vec<u32>,
    pub(crate) evacuations: Evacuations,
    /// Requests confirmed as poison.
    pub(crate) poison: Vec<PoisonRequest>,
}

/// Address and zone of a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct HostContact {
    pub(crate) address: SocketAddr,
    /// Short hash of its availability zone.
    pub(crate) zone: u32,
}

/// State that one host reports.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Heartbeat {
    /// Short hash of its availability zone.
    pub(crate) zone: u32,
    /// Its subscription role.
    pub(crate) reading: SubscriptionRole,
    /// Its room for work for others, in thousandths of a core; older builds send their
    /// processor share.
    pub(crate) capacity_millicores: u16,
    /// Time since the store last answered it; `None` if it never did.
    pub(crate) answered_ago_ms: Option<u32>,
    /// Time since the store last answered a host of a remote zone, from a relay.
    pub(crate) far_answered_ago_ms: Option<u32>,
    /// Its requests in progress.
    pub(crate) report: HostReport,
    pub(crate) knowledge: StateDigest,
    /// A sample of the hosts that are up.
    pub(crate) hosts: Vec<HostContact>,
    pub(crate) view: Appended<ViewAges>,
    /// Times since the store last answered a host of a remote zone, from a relay.
    pub(crate) far_answers: Appended<AnswerAges>,
}

/// State that a relay reports to other zones.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct ZoneSummary {
    pub(crate) sum: ZoneAggregate,
    /// Time since the store last answered a host of the zone.
    pub(crate) answered_ago_ms: Option<u32>,
    pub(crate) knowledge: StateDigest,
    pub(crate) view: Appended<ViewAges>,
}

/// How old a host's view is, beside the versions in its [`StateDigest`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct ViewAges {
    /// Times since the store last answered the sender or, from a relay, a host that reports to
    /// it.
    pub(crate) answers: AnswerAges,
    /// Time since the sender's list of endpoints was the store's.
    pub(crate) list_ago_ms: Option<u32>,
}

/// Fields that earlier builds neither send nor decode. They are the last ones of a datagram:
/// an earlier build leaves them undecoded, and their absence decodes as the default.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub(crate) struct Appended<T>(pub(crate) T);

impl<'de, T: Default + Deserialize<'de>> Deserialize<'de> for Appended<T> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        Ok(Self(T::deserialize(deserializer).unwrap_or_default()))
    }
}
