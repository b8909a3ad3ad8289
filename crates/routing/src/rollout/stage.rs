//! How far a rollout has come, and when it goes on.
//!
//! All traffic moves as late as it may: what turns bad later than a few seconds after
//! the order is then still found by the few requests that it gets. It may be no later
//! than the requests that run at the old endpoints need to end before the deadline.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::sync::Arc;

use chalkrock_core::BuildVersion;
use serde::{Deserialize, Serialize};

use crate::StoreVersion;
use crate::rollout::assessment::BuildAssessment;

/// How far a rollout has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RolloutStage {
    /// The new build gets a small share of the requests.
    Canary,
    /// It gets all new ones, and the old build ends what it has.
    Moving,
    /// All is moved. The old endpoints may stop at once.
    Done,
    /// The old build keeps all. The new endpoints may leave.
    RolledBack,
}

impl RolloutStage {
    /// Whether nothing comes after it.
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

/// Why a rollout came to its stage.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RolloutReason {
    /// It was ordered.
    Ordered,
    /// Answers speak for the new build, or not against it.
    Sound,
    /// Nothing runs at the old endpoints any more, or there are none.
    Moved,
    /// Answers speak against the new build.
    Bad,
    /// Too few answers came to tell.
    Undecided,
    /// No endpoint of the new build is left, or ever came.
    NoEndpoints,
    /// Operators took the order back.
    Withdrawn,
}

/// What the platform's store holds of a rollout.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutRecord {
    /// The order that it carries out.
    pub order: StoreVersion,
    /// The build to move to.
    pub build: BuildVersion,
    /// The builds to move from.
    pub from: BTreeSet<BuildVersion>,
    /// How far it has come.
    pub stage: RolloutStage,
    /// Why.
    pub reason: RolloutReason,
    /// How old the order was when this was written, in milliseconds.
    pub age_ms: u64,
    /// While it moves: how old the order is when each route's requests do. Those whose
    /// requests end soon move late. Routes that are not named move at once.
    #[serde(default)]
    pub moves_ms: BTreeMap<Arc<str>, u64>,
}

impl RolloutRecord {
    /// Whether the requests of a route have moved, the order being so old.
    pub fn has_moved(&self, route: &str, age_ms: u64) -> bool {
        let at_ms = self.moves_ms.get(route).copied();
        self.stage >= RolloutStage::Moving && age_ms >= at_ms.unwrap_or_default()
    }

    /// Whether those of all routes have: until then old endpoints may be idle for a
    /// moment and be sent the next request.
    pub fn have_all_moved(&self, age_ms: u64) -> bool {
        let last_ms = self.moves_ms.values().max().copied();
        self.stage >= RolloutStage::Moving && age_ms >= last_ms.unwrap_or_default()
    }
}

/// What is known of a rollout at one moment.
#[derive(Clone, Debug, PartialEq)]
pub struct RolloutView {
    /// How far it has come; `None` if no record is known.
    pub stage: Option<RolloutStage>,
    /// How old the order is.
    pub age_ms: u64,
    /// The time that operators give.
    pub within_ms: u64,
    /// Whether operators took the order back.
    pub is_withdrawn: bool,
    /// Slots of endpoints of the new build that may be given work.
    pub new_slots: u32,
    /// Slots of endpoints of the old ones that may be given work.
    pub old_slots: u32,
    /// Requests in progress at both, over the fleet.
    pub in_progress: u32,
    /// For how long no request has been seen at the old endpoints, since the last route
    /// moved.
    pub old_idle_ms: u64,
    /// How long the longest request of each route has stayed of late.
    pub max_service_times_ms: BTreeMap<Arc<str>, u64>,
    /// What answers say of the new build.
    pub assessment: BuildAssessment,
}

/// A stage to go on to, and why.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StageTransition {
    /// The stage.
    pub stage: RolloutStage,
    /// Why.
    pub reason: RolloutReason,
}

impl StageTransition {
    fn new(stage: RolloutStage, reason: RolloutReason) -> Option<Self> {
        Some(Self { stage, reason })
    }
}

/// Answers of the new build that it takes to call it sound before it is late. With a
/// tenth of all answers bad, that many hold two in the mean.
const ANSWERS_WANTED: u32 = 20;
/// Answers without which a build is not moved to at all.
const ANSWERS_MIN: u32 = 5;
/// Logarithm of the odds from which a build that has to be decided on is left: as
/// likely bad as good.
const LEAN_LOG_ODDS: f64 = 0.0;
/// Time for all hosts to hear of a move, for the old endpoints to have been seen idle,
/// and for that to be written.
const WORD_MS: f64 = 1_500.0;
/// The parts of the operators' time within which all traffic moves.
const MOVE_FROM: f64 = 0.3;
const MOVE_UNTIL: f64 = 0.75;
/// The part of the longest stay by which a move may be late where answers are few: most
/// requests end sooner.
const LATE_PART: f64 = 0.5;
/// How long the old endpoints have to have been seen idle: hosts' counts are up to
/// 0.4 s old, and a request that was on its way at the move shows that late.
const IDLE_MS: u64 = 800;
/// Part of the old endpoints' slots, or of all that runs, that the new ones need.
const SLOTS_PART: f64 = 0.8;
const SLOTS_OF_RUNNING: f64 = 1.5;

/// When all traffic moves.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MoveSchedule {
    /// Age of the order from which it moves, if the new build is called sound.
    pub wanted_ms: f64,
    /// Age from which it has to be decided.
    pub last_ms: f64,
}

impl MoveSchedule {
    /// For an order with so much time, and requests that stay so long at most.
    ///
    /// # Example
    ///
    /// ```
    /// use chalkrock_routing::MoveSchedule;
    ///
    /// let times = MoveSchedule::of(12_000, 4_000);
    /// assert_eq!(times.wanted_ms, 6_500.0);
    /// assert_eq!(times.last_ms, 8_500.0);
    /// ```
    pub fn new(within_ms: u64, longest_stay_ms: u64) -> Self {
        let within_ms = within_ms as f64;
        let longest_ms = longest_stay_ms as f64;
        let wanted_ms = within_ms - longest_ms - WORD_MS;
        let wanted_ms = wanted_ms.clamp(MOVE_FROM * within_ms, MOVE_UNTIL * within_ms);
        Self {
            wanted_ms,
            last_ms: wanted_ms + LATE_PART * longest_ms,
        }
    }
}

impl RolloutView {
    /// How old the order is when the requests of each route move.
    pub fn moves_ms(&self) -> BTreeMap<Arc<str>, u64> {
        let stays = self.max_service_times_ms.iter();
        let moves = stays.map(|(route, stay_ms)| {
            let times = MoveSchedule::new(self.within_ms, *stay_ms);
            (route.clone(), times.wanted_ms as u64)
        });
        moves.collect()
    }
}

/// The stage that a rollout goes on to now; `None` if it stays where it is.
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
        Some(RolloutStage::Canary) => after_canary(view),
        Some(RolloutStage::Moving) => after_moving(view),
        Some(RolloutStage::Done | RolloutStage::RolledBack) => None,
    }
}

fn after_canary(view: &RolloutView) -> Option<StageTransition> {
    let is_over = view.age_ms >= view.within_ms;
    if view.new_slots == 0 {
        return rolled_back_if(is_over, RolloutReason::NoEndpoints);
    }
    if view.old_slots == 0 {
        return StageTransition::new(RolloutStage::Moving, RolloutReason::Moved);
    }
    let longest_ms = view.max_service_times_ms.values().max();
    let times = MoveSchedule::new(view.within_ms, longest_ms.copied().unwrap_or_default());
    let age_ms = view.age_ms as f64;
    let answers = view.assessment.answers;
    let speaks_for = view.assessment.log_odds < LEAN_LOG_ODDS;
    let is_sound = answers >= ANSWERS_WANTED && speaks_for;
    let has_to_do = age_ms >= times.last_ms && answers >= ANSWERS_MIN && speaks_for;
    if age_ms >= times.wanted_ms && (is_sound || has_to_do) && has_room(view) {
        return StageTransition::new(RolloutStage::Moving, RolloutReason::Sound);
    }
    rolled_back_if(is_over, RolloutReason::Undecided)
}

fn rolled_back_if(is_due: bool, reason: RolloutReason) -> Option<StageTransition> {
    is_due.then_some(StageTransition {
        stage: RolloutStage::RolledBack,
        reason,
    })
}

/// Whether the new endpoints can carry what the old ones do.
fn has_room(view: &RolloutView) -> bool {
    let new_slots = f64::from(view.new_slots);
    new_slots >= SLOTS_PART * f64::from(view.old_slots)
        || new_slots >= SLOTS_OF_RUNNING * f64::from(view.in_progress)
}

fn after_moving(view: &RolloutView) -> Option<StageTransition> {
    if view.new_slots == 0 && view.old_slots > 0 {
        return StageTransition::new(RolloutStage::RolledBack, RolloutReason::NoEndpoints);
    }
    if view.old_idle_ms >= IDLE_MS || view.old_slots == 0 {
        return StageTransition::new(RolloutStage::Done, RolloutReason::Moved);
    }
    None
}
