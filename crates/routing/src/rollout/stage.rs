//! Stages of a rollout and the conditions for going on.
//!
//! All traffic moves as late as possible, so that failures which appear late are found
//! while the new build gets few requests. The requests that still run on the old
//! endpoints then need to end before the deadline.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::sync::Arc;

use chalkrock_core::BuildVersion;
use serde::{Deserialize, Serialize};

use crate::StoreVersion;
use crate::rollout::assessment::BuildAssessment;

/// The stage of a rollout.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RolloutStage {
    /// The new build gets a small share of the requests.
    Canary,
    /// The new build gets all new requests, and the old build completes its own.
    Moving,
    /// All requests have moved, and the old endpoints may stop.
    Done,
    /// The old build keeps all requests, and the new endpoints may stop.
    RolledBack,
}

impl RolloutStage {
    /// Whether it is the last stage of a rollout.
    pub fn is_final(self) -> bool {
        matches!(self, RolloutStage::Done | RolloutStage::RolledBack)
    }
}

impl fmt::Display for RolloutStage {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            RolloutStage::Canary => "canary",
            RolloutStage::Moving => "moving",
            RolloutStage::Done => "done",
            RolloutStage::RolledBack => "rolled-back",
        })
    }
}

/// Why a rollout entered its stage.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RolloutReason {
    /// An operator ordered it.
    Ordered,
    /// The answers of the new build are no worse.
    Sound,
    /// Nothing runs on the old endpoints any more, or there are none.
    Moved,
    /// The answers of the new build are worse.
    Bad,
    /// There were too few answers to decide.
    Undecided,
    /// The new build has no endpoints.
    NoEndpoints,
    /// An operator withdrew the order.
    Withdrawn,
}

/// A rollout's record in the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutRecord {
    /// The store version of its order.
    pub order: StoreVersion,
    /// The build to move to.
    pub build: BuildVersion,
    /// The builds to move from.
    pub from: BTreeSet<BuildVersion>,
    /// The current stage.
    pub stage: RolloutStage,
    /// Why it entered the stage.
    pub reason: RolloutReason,
    /// Age of the order when the record was written, in milliseconds.
    pub age_ms: u64,
    /// Age of the order at which each route moves, in milliseconds. Routes with short
    /// requests move late; unlisted ones move at once.
    #[serde(default)]
    pub moves_ms: BTreeMap<Arc<str>, u64>,
}

impl RolloutRecord {
    /// Whether the requests of a route have moved at this age of the order.
    pub fn has_moved(&self, route: &str, age_ms: u64) -> bool {
        let at_ms = self.moves_ms.get(route).copied();
        self.stage >= RolloutStage::Moving && age_ms >= at_ms.unwrap_or_default()
    }

    /// Whether all routes have moved. Until then, old endpoints may be idle and still
    /// receive further requests.
    pub fn have_all_moved(&self, age_ms: u64) -> bool {
        let last_ms = self.moves_ms.values().max().copied();
        self.stage >= RolloutStage::Moving && age_ms >= last_ms.unwrap_or_default()
    }
}

/// The state of a rollout at one moment.
#[derive(Clone, Debug, PartialEq)]
pub struct RolloutView {
    /// The current stage; `None` without a record.
    pub stage: Option<RolloutStage>,
    /// Age of the order, in milliseconds.
    pub age_ms: u64,
    /// Time from the order to its deadline, in milliseconds.
    pub within_ms: u64,
    /// Whether an operator withdrew the order.
    pub is_withdrawn: bool,
    /// Slots of the new build's endpoints that accept requests.
    pub new_slots: u32,
    /// Slots of the old builds' endpoints that accept requests.
    pub old_slots: u32,
    /// Requests in progress on both, over the fleet.
    pub in_progress: u32,
    /// How long the old endpoints have been idle since the last route moved, in
    /// milliseconds.
    pub old_idle_ms: u64,
    /// Recent maximum service time of each route, in milliseconds.
    pub max_service_times_ms: BTreeMap<Arc<str>, u64>,
    /// The assessment of the new build.
    pub assessment: BuildAssessment,
}

/// A transition to a stage.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StageTransition {
    /// The next stage.
    pub stage: RolloutStage,
    /// Why it is entered.
    pub reason: RolloutReason,
}

impl StageTransition {
    fn new(stage: RolloutStage, reason: RolloutReason) -> Option<Self> {
        Some(Self { stage, reason })
    }
}

/// Answers of the new build wanted before the latest time to move. A build that fails
/// every tenth request has about two failures among them.
const TARGET_ANSWERS: u32 = 20;
/// Answers without which traffic never moves.
const MIN_ANSWERS: u32 = 5;
/// Log odds below which the new build is more likely good than bad.
const EVEN_LOG_ODDS: f64 = 0.0;
/// Time for all hosts to learn of a move, and to see and record that the old endpoints
/// are idle.
const PROPAGATION_MS: f64 = 1_500.0;
/// Fractions of the deadline between which all traffic moves.
const MIN_MOVE_FRACTION: f64 = 0.3;
const MAX_MOVE_FRACTION: f64 = 0.75;
/// Delay of a move that awaits more answers, as a fraction of the maximum service time:
/// most requests are shorter.
const MAX_DELAY_FRACTION: f64 = 0.5;
/// Longer than the delay of hosts' reports, up to 0.4 s, in which a request sent just before
/// the move appears.
const MIN_IDLE_MS: u64 = 800;
/// Slots of the new endpoints relative to those of the old ones, or to all requests.
const MIN_SLOTS_RATIO: f64 = 0.8;
const MIN_SLOTS_PER_REQUEST: f64 = 1.5;

/// When all traffic moves.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MoveSchedule {
    /// Age of the order, in milliseconds, at which a sound build takes all traffic.
    pub target_ms: f64,
    /// Age, in milliseconds, from which fewer answers are enough.
    pub latest_ms: f64,
}

impl MoveSchedule {
    /// The times for an order's deadline and a maximum service time, in milliseconds.
    ///
    /// # Example
    ///
    /// ```
    /// use chalkrock_routing::MoveSchedule;
    ///
    /// let times = MoveSchedule::new(12_000, 4_000);
    /// assert_eq!(times.target_ms, 6_500.0);
    /// assert_eq!(times.latest_ms, 8_500.0);
    /// ```
    pub fn new(within_ms: u64, max_service_ms: u64) -> Self {
        let within_ms = within_ms as f64;
        let max_service_ms = max_service_ms as f64;
        let target_ms = within_ms - max_service_ms - PROPAGATION_MS;
        let target_ms =
            target_ms.clamp(MIN_MOVE_FRACTION * within_ms, MAX_MOVE_FRACTION * within_ms);
        Self {
            target_ms,
            latest_ms: target_ms + MAX_DELAY_FRACTION * max_service_ms,
        }
    }
}

impl RolloutView {
    /// Age of the order at which each route moves, in milliseconds.
    pub fn moves_ms(&self) -> BTreeMap<Arc<str>, u64> {
        let service_times = self.max_service_times_ms.iter();
        let moves = service_times.map(|(route, service_ms)| {
            let times = MoveSchedule::new(self.within_ms, *service_ms);
            (route.clone(), times.target_ms as u64)
        });
        moves.collect()
    }
}

/// The next stage of a rollout; `None` if it stays in its stage.
pub fn next_stage(view: &RolloutView) -> Option<StageTransition> {
    match view.stage {
        None if view.is_withdrawn => None,
        None => StageTransition::new(RolloutStage::Canary, RolloutReason::Ordered),
        Some(RolloutStage::Canary | RolloutStage::Moving) if view.is_withdrawn => {
            StageTransition::new(RolloutStage::RolledBack, RolloutReason::Withdrawn)
        }
        Some(RolloutStage::Canary | RolloutStage::Moving) if view.assessment.is_bad() => {
            StageTransition::new(RolloutStage::RolledBack, RolloutReason::Bad)
        }
        Some(RolloutStage::Canary) => next_after_canary(view),
        Some(RolloutStage::Moving) => next_after_moving(view),
        Some(RolloutStage::Done | RolloutStage::RolledBack) => None,
    }
}

fn next_after_canary(view: &RolloutView) -> Option<StageTransition> {
    let is_past_deadline = view.age_ms >= view.within_ms;
    if view.new_slots == 0 {
        return roll_back_if(is_past_deadline, RolloutReason::NoEndpoints);
    }
    if view.old_slots == 0 {
        return StageTransition::new(RolloutStage::Moving, RolloutReason::Moved);
    }
    let max_service_ms = view.max_service_times_ms.values().max();
    let times = MoveSchedule::new(view.within_ms, max_service_ms.copied().unwrap_or_default());
    let age_ms = view.age_ms as f64;
    let answers = view.assessment.answers;
    let favours_new = view.assessment.log_odds < EVEN_LOG_ODDS;
    let is_sound = answers >= TARGET_ANSWERS && favours_new;
    let is_acceptable_late = age_ms >= times.latest_ms && answers >= MIN_ANSWERS && favours_new;
    if age_ms >= times.target_ms && (is_sound || is_acceptable_late) && has_capacity(view) {
        return StageTransition::new(RolloutStage::Moving, RolloutReason::Sound);
    }
    roll_back_if(is_past_deadline, RolloutReason::Undecided)
}

fn roll_back_if(condition: bool, reason: RolloutReason) -> Option<StageTransition> {
    condition.then_some(StageTransition {
        stage: RolloutStage::RolledBack,
        reason,
    })
}

/// Whether the new endpoints can take over the load of the old ones.
fn has_capacity(view: &RolloutView) -> bool {
    let new_slots = f64::from(view.new_slots);
    new_slots >= MIN_SLOTS_RATIO * f64::from(view.old_slots)
        || new_slots >= MIN_SLOTS_PER_REQUEST * f64::from(view.in_progress)
}

fn next_after_moving(view: &RolloutView) -> Option<StageTransition> {
    if view.new_slots == 0 && view.old_slots > 0 {
        return StageTransition::new(RolloutStage::RolledBack, RolloutReason::NoEndpoints);
    }
    if view.old_idle_ms >= MIN_IDLE_MS || view.old_slots == 0 {
        return StageTransition::new(RolloutStage::Done, RolloutReason::Moved);
    }
    None
}
