//! Stages of a rollout and the conditions for going on.
//!
//! All traffic moves when the exposure bound allows it ([`MoveSchedule`]). The rollout is
//! done once the requests on the old endpoints have ended or left, and while the
//! evidence favours the new build.

use std::collections::BTreeMap;
use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::rollout::assessment::BuildAssessment;
use crate::rollout::exposure::ExposureBound;
use crate::rollout::record::RolloutReason;
use crate::rollout::schedule::MoveSchedule;

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
    /// Time since the last route moved, in milliseconds; 0 before.
    pub moved_ms: u64,
    /// How long the old endpoints have been idle since the last route moved, or since none
    /// of them accepts requests, in milliseconds.
    pub old_idle_ms: u64,
    /// Longest time that a request of each route needs to leave an old endpoint, in
    /// milliseconds: its maximum service time, or less if requests in progress can move.
    pub max_service_times_ms: BTreeMap<Arc<str>, u64>,
    /// Requests per second of each route, at both builds; empty if not known yet.
    pub request_rates_per_s: BTreeMap<Arc<str>, f64>,
    /// Requests that the new build got since the order.
    pub new_requests: u32,
    /// The limit on requests to a bad build.
    pub bound: ExposureBound,
    /// Time since a failure of the new build last became known, in milliseconds; `None` without
    /// failures.
    pub failed_ago_ms: Option<u64>,
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
/// Log odds below which traffic moves. Most builds are good, and the bound covers the
/// traffic after the move.
const MOVE_LOG_ODDS: f64 = 2.0;
/// Log odds below which a rollout is done; the old endpoints stop then. With 0, of the
/// builds that fail on a route which often fails, 0.06 are done, and with -0.5 0.035.
const DONE_LOG_ODDS: f64 = -0.5;
/// Age relative to the deadline from which a pool that has moved is done unless the
/// evidence is against the new build, also if that has just failed.
const GRACE_FACTOR: f64 = 1.5;
/// Age relative to the deadline from which a rollout with unclear evidence is rolled
/// back. At the deadline itself, 1 in 25 good builds of a pool whose requests often fail
/// has unclear evidence; to wait costs no more than to roll back.
const UNDECIDED_FACTOR: f64 = 2.5;
/// Time from the last move, longer than the delay of hosts' reports of up to 0.4 s, in which
/// a request sent just before it appears.
pub(super) const MIN_MOVED_MS: u64 = 800;
/// Time in which no host reports a request at the old endpoints.
const MIN_IDLE_MS: u64 = 200;
/// Time after an unexpected failure of the new build in which a rollout is not done. A build
/// that has just turned bad fails again within it.
const FAILURE_HOLD_MS: u64 = 400;
/// Failures of the old build to expect within that time from which they are usual. The log
/// odds alone count then.
const USUAL_FAILURES: f64 = 0.2;
/// Slots of the new endpoints relative to those of the old ones, or to all requests.
const MIN_SLOTS_RATIO: f64 = 0.8;
const MIN_SLOTS_PER_REQUEST: f64 = 1.5;

impl RolloutView {
    /// Age of the order at which each route moves, in milliseconds.
    pub fn moves_ms(&self) -> BTreeMap<Arc<str>, u64> {
        MoveSchedule::new(self).moves_ms
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
    let schedule = MoveSchedule::new(view);
    let answers = view.assessment.answers;
    let favours_new = view.assessment.log_odds < MOVE_LOG_ODDS;
    let is_sound = answers >= TARGET_ANSWERS && favours_new;
    let is_late = view.age_ms >= schedule.latest_ms();
    let is_acceptable_late = is_late && answers >= MIN_ANSWERS && favours_new;
    let is_due = view.age_ms >= schedule.announce_ms;
    if is_due && (is_sound || is_acceptable_late) && has_capacity(view) {
        return StageTransition::new(RolloutStage::Moving, RolloutReason::Sound);
    }
    let has_too_few = is_past_deadline && answers < MIN_ANSWERS;
    roll_back_if(
        has_too_few || is_past(view, UNDECIDED_FACTOR),
        RolloutReason::Undecided,
    )
}

/// Whether the order is as old as a multiple of its deadline.
fn is_past(view: &RolloutView, deadlines: f64) -> bool {
    view.age_ms as f64 >= deadlines * view.within_ms as f64
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

/// Whether the new build has just failed where the old one rarely does. Many good answers
/// outweigh the first failures of a build that turns bad, and `done` can't be taken back.
fn has_unexpected_failure(view: &RolloutView) -> bool {
    let is_recent = view
        .failed_ago_ms
        .is_some_and(|failed_ago_ms| failed_ago_ms < FAILURE_HOLD_MS);
    let BuildAssessment {
        old_answers,
        old_failures,
        ..
    } = view.assessment;
    let old_fraction = f64::from(old_failures) / f64::from(old_answers.max(1));
    let rate_per_s: f64 = view.request_rates_per_s.values().sum();
    let usual_failures = old_fraction * rate_per_s * FAILURE_HOLD_MS as f64 / 1_000.0;
    is_recent && usual_failures < USUAL_FAILURES
}

fn next_after_moving(view: &RolloutView) -> Option<StageTransition> {
    if view.new_slots == 0 && view.old_slots > 0 {
        return StageTransition::new(RolloutStage::RolledBack, RolloutReason::NoEndpoints);
    }
    let is_idle = view.old_idle_ms >= MIN_IDLE_MS;
    let has_left = view.moved_ms >= MIN_MOVED_MS && is_idle;
    let log_odds = view.assessment.log_odds;
    let is_clear =
        log_odds < DONE_LOG_ODDS || (is_past(view, GRACE_FACTOR) && log_odds < MOVE_LOG_ODDS);
    // Old endpoints that drain accept nothing, and still run requests. One that was sent just
    // before appears as late as after a move.
    let have_drained = view.old_slots == 0 && view.old_idle_ms >= MIN_MOVED_MS;
    // A build that fails rarely, but more often than the old one, must not be held for ever.
    let is_held = has_unexpected_failure(view) && !is_past(view, GRACE_FACTOR);
    if (has_left && is_clear && !is_held) || have_drained {
        return StageTransition::new(RolloutStage::Done, RolloutReason::Moved);
    }
    let is_undecided = has_left && !is_clear && is_past(view, UNDECIDED_FACTOR);
    roll_back_if(is_undecided, RolloutReason::Undecided)
}
