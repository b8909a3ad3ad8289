//! Moves a pool's traffic to endpoints that run another build.
//!
//! Operators order a rollout; endpoints of the new build start beside the old ones.
//! The new build may be bad: some of its answers fail or come late, at once or later,
//! under load or on one route only. So it gets a small share of the requests first
//! ([`Exposure`]), on so few endpoints that these carry as much as the old ones do.
//! What came of it is counted beside what the old build did in the same seconds
//! ([`Tally`]), and a sequential test tells whether the new build is worse
//! ([`BuildAssessment`]). All traffic moves as late as the requests that still run at the
//! old endpoints allow, and the order ends once none does ([`next_stage`]).
//!
//! Nothing is agreed beforehand. What is in force is a record in the platform's store,
//! written under a condition, so that one word is final whoever writes it; hosts pass
//! it on, and a host that knows of no record sends the new build nothing.

mod assessment;
mod evidence;
mod exposure;
mod order;
mod runs;
mod stage;

pub use assessment::{BAD_LOG_ODDS, BuildAssessment, assess_build};
pub use evidence::{
    BuildSide, Evidence, EvidenceSource, Measure, ObservedResponse, Tally, TallyRow,
};
pub use exposure::{Exposure, ExposureBound};
pub use order::{RolloutOrder, RolloutOrderRow, RolloutOrders};
pub use runs::{BuildFilter, BuildRequest, BuildUse, PoolBuilds, Rollouts};
pub use stage::{
    MoveSchedule, RolloutReason, RolloutRecord, RolloutStage, RolloutView, StageTransition,
    next_stage,
};
