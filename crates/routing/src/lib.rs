//! Routing decisions for one request, free of I/O.
//!
//! A request is a call that may or may not be repeated, or a streamed generation.
//! This crate determines its route and organisation ([`Rules`]), the endpoints that
//! may receive it ([`EndpointTable`], [`Evacuations`]) and at which rate while they
//! are cold ([`ColdEndpoints`]) or after they back off ([`Backoffs`]), their load
//! ([`FleetLoad`]), the one that receives it ([`choose_endpoint`]), the step after an
//! attempt ([`next_step`]), the retry budget ([`WindowBudget`]), how a pool moves to
//! another build ([`Rollouts`]) and what a stopping host accepts ([`DrainSchedule`]).
//!
//! Time is an argument, in milliseconds of a monotonic clock.
//!
//! # Example
//!
//! ```
//! use chalkrock_core::rendezvous::{KeyHash, MemberHash};
//! use chalkrock_routing::{
//!     Candidate, HomeSpread, PlacementRequest, SpreadRules, choose_endpoint,
//! };
//!
//! let idle = |name: &str| Candidate {
//!     hash: MemberHash::of(name),
//!     load: 0,
//!     slots: 8,
//!     is_same_zone: true,
//!     is_suspect: false,
//!     holds_prefix: false,
//!     is_closed: false,
//!     home_spread: HomeSpread::NONE,
//! };
//! let candidates = [idle("engine-a"), idle("engine-b")];
//! let request = PlacementRequest {
//!     key: Some(KeyHash::of(b"prefix-1")),
//!     unreported_arrivals: 0.0,
//!     draw: 0,
//! };
//! let rules = SpreadRules::default();
//! let first = choose_endpoint(&candidates, &request, &rules);
//! let other = PlacementRequest { draw: 7, ..request };
//! assert_eq!(first, choose_endpoint(&candidates, &other, &rules));
//! ```

mod admission;
mod attempt;
mod backlog;
mod backoff;
mod budget;
mod cold;
mod connection_budget;
mod drain_schedule;
mod endpoints;
mod evacuations;
mod event_frames;
mod fair_share;
mod fingerprint;
mod fleet_load;
mod fleet_size;
mod fleet_totals;
mod follow_times;
mod health;
mod home_demand;
mod host_capacity;
mod in_flight;
mod list_comparison;
mod pause;
mod poison;
mod pool_builds;
mod pool_queue;
mod prefix_directory;
mod reachability;
mod readers;
mod rejection_limit;
mod returns;
mod rollout;
mod route;
mod rules;
mod rules_change;
mod shares;
mod spread;
mod store_version;
mod stream_builds;
mod stream_records;
mod warm_start;
mod work;
mod zone_loads;

pub use admission::{
    AdmissionRequest, MaxServiceTime, PoolOccupancy, ServiceTimeEwma, admit_probability, admits,
    fair_admit_probability, over_share_return_ms, shed_probability,
};
pub use attempt::{AttemptOutcome, Next, Repeatable, next_step};
pub use backlog::{
    BacklogDecision, BacklogRequest, LineTicket, MAX_WAITING, Overrun, PoolBacklog, WaitLine,
    WaitOrder, admit_fraction, choose_in_overrun, decide, return_ms,
};
pub use backoff::{BackoffChange, Backoffs, MAX_BACKOFF_MS};
pub use budget::{BudgetPhases, BudgetRules, Payment, WindowBudget};
pub use cold::{ColdBound, ColdEndpoints, ColdShare};
pub use connection_budget::{ConnectionLimit, ConnectionLimits, connections_per_host};
pub use drain_schedule::{DrainPhase, DrainSchedule};
pub use endpoints::{EndpointState, EndpointTable, PoolMember};
pub use evacuations::{EvacuationChange, EvacuationRow, Evacuations};
pub use event_frames::{EventFrame, EventFrames, EventTracker};
pub use fair_share::{
    Demand, FleetUsage, MAX_LEDGER_ORGANISATIONS, MAX_ORGANISATIONS_PER_AGGREGATE,
    MAX_ORGANISATIONS_PER_HOST, OrganisationShare, OrganisationUse, SlotUse, USAGE_DECAY_MS,
    UsageReport, WorkLedger, max_min, water_level,
};
pub use fingerprint::{RequestContent, RequestFingerprint};
pub use fleet_load::{FleetLoad, HostReport, MergeOutcome};
pub use fleet_size::FleetSize;
pub use fleet_totals::ReportId;
pub use follow_times::SubscriptionTimings;
pub use health::{EndpointHealth, HealthSignal};
pub use home_demand::{HomeDemand, HomeSpread, PoolLoads, RecentPrefixes};
pub use host_capacity::{
    FleetWork, HostCapacity, LargestRoom, LinkBudget, WorkRank, is_clearly_weaker,
};
pub use in_flight::{EndpointCount, MAX_REPORT_AGE_MS, REPORT_INTERVAL_MS};
pub use list_comparison::{ListComparisons, ListMatch, ListReport, ListSource, ListStep};
pub use pause::{ClockReading, Suspension, detect_suspension};
pub use poison::{
    CrashedRuns, LONG_RUN_MS, MAX_CRASHES, MAX_OBSERVED_PARTS, POISON_RETENTION_MS, PartUpdate,
    PartUse, PoisonEvidence, PoisonRequest, PoisonUpdate, PoisonVerdict, RunId, RunStage,
    SURVIVAL_MS, Survival,
};
pub use pool_builds::{
    BUILD_RETENTION_MS, BuildHistory, BuildRecord, FleetPast, PoolPast, RecordChange, StoredBuilds,
    UnknownBuild,
};
pub use pool_queue::{
    AdmissionGate, AskOutcome, EndpointStatus, Grant, HeldLease, LEASE_MS, MAX_GATES_PER_REPLY,
    MAX_LEASES_PER_ASK, MAX_WAITING_PER_ASK, PoolScheduler, QueueStatus, Rejection, RejectionCause,
    SETTLE_MS, SchedulableEndpoint, SlotAsk, SlotReply, TicketId, WaitingRequest,
};
pub use pool_queue::{
    Contention, MAX_RANKED_SCHEDULERS, NextAsk, PoolUse, ReplyUse, SchedulerCandidate,
    SchedulerLink, rank_schedulers,
};
pub use prefix_directory::{CacheEntry, PrefixDirectory};
pub use reachability::{NextHop, ReachReport, Reachability, ReportCounts};
pub use readers::{
    HOST_TIMEOUT_MS, LastHeard, RELAYS_PER_ZONE, SubscriptionRole, ZonePeer, ZoneView,
    first_ranked, is_large_fleet, stale_poll_fraction, subscribers_needed,
};
pub use rejection_limit::{LimitReport, LimitedLoad, RejectionLimits, own_slots};
pub use returns::{
    MAX_EXPORTED_RETURNS, MAX_RESERVATIONS, RETURN_HORIZON_MS, RETURN_WINDOW_MS, ReservedReturn,
    ReturnSchedule,
};
pub use rollout::{
    BAD_LOG_ODDS, BuildAssessment, BuildFilter, BuildRequest, BuildSide, BuildUse, Evidence,
    EvidenceSource, Exposure, ExposureBound, HeardHost, HostWait, Measure, MoveSchedule,
    ObservationClusters, ObservationTime, ObservedResponse, PoolBuilds, QuiescenceView,
    RolloutOrder, RolloutOrderRow, RolloutOrders, RolloutPlan, RolloutReason, RolloutRecord,
    RolloutStage, RolloutView, Rollouts, StageTransition, StoreClock, Tally, TallyRow,
    assess_build, next_stage,
};
pub use route::{Route, RouteKind, WeightedPool};
pub use rules::{
    Caller, CallerLimits, OrganisationRules, PoolRules, Rules, RulesDocument, RulesVersion,
};
pub use rules_change::{RulesChange, RulesHistory};
pub use shares::Shares;
pub use spread::{Basis, Candidate, Placement, PlacementRequest, SpreadRules, choose_endpoint};
pub use store_version::StoreVersion;
pub use stream_builds::{ListedBuilds, StreamKey, StreamOrigin, StreamOrigins};
pub use stream_records::{
    BegunStream, PendingStreams, StreamGroup, StreamRow, WritePace, WrittenRows,
};
pub use warm_start::{LearnedState, PoolServiceTime};
pub use work::{
    MAX_SLOWNESS_PERMILLE, MAX_WORK_POOLS, MAX_WORK_ROWS, MIN_SLOWNESS_PERMILLE, OutstandingWork,
    PoolModel, PoolTimes, PromptRead, PromptWork, ReadId, Slowness, SlownessChange, WorkBasis,
    WorkEstimate, WorkPlacement, WorkReport, WorkRequest, WorkRow, choose_by_work,
};
pub use zone_loads::{AggregatePath, HashRange, ZoneAggregate};
