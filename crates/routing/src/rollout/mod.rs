//! Rollouts: moving a pool's traffic to endpoints that run another build.
//!
//! Operators order a rollout, and endpoints of the new build start beside the old ones.
//! A small share of the requests goes to a few of them first ([`Exposure`]), at the
//! load of the old endpoints, since the new build may fail or be slow. Hosts tally the
//! answers of both builds over the same time ([`Tally`]), and a sequential test detects
//! a worse build ([`BuildAssessment`]). All traffic moves as late as the requests on the
//! old endpoints allow, and the rollout ends once none is left there ([`next_stage`]).
//!
//! The current stage is a record in the store, written conditionally; hosts need no
//! other coordination. A host without a record sends no requests to the new build.

mod assessment;
mod clusters;
mod evidence;
mod exposure;
mod order;
mod quiescence;
mod record;
mod runs;
mod schedule;
mod stage;

pub use assessment::{BAD_LOG_ODDS, BuildAssessment, assess_build};
pub use clusters::ObservationClusters;
pub use evidence::{
    BuildSide, Evidence, EvidenceSource, Measure, ObservationTime, ObservedResponse, Tally,
    TallyRow,
};
pub use exposure::{Exposure, ExposureBound};
pub use order::{RolloutOrder, RolloutOrderRow, RolloutOrders};
pub use quiescence::{HeardHost, HostWait, QuiescenceView};
pub use record::{RolloutPlan, RolloutReason, RolloutRecord, StoreClock};
pub use runs::{BuildFilter, BuildRequest, BuildUse, PoolBuilds, Rollouts};
pub use schedule::MoveSchedule;
pub use stage::{RolloutStage, RolloutView, StageTransition, next_stage};
