//! Estimates of the work in hand at endpoints that read prompts, and placement by them.

mod choice;
mod ledger;
mod median;
mod pool_model;
mod report;
mod slowness;

pub use choice::{WorkBasis, WorkEstimate, WorkPlacement, WorkRequest, choose_by_work};
pub use ledger::{OutstandingWork, PromptRead, ReadId, SlownessChange};
pub use pool_model::{PoolModel, PromptWork};
pub use report::{MAX_WORK_POOLS, MAX_WORK_ROWS, PoolTimes, WorkReport, WorkRow};
pub use slowness::{MAX_SLOWNESS_PERMILLE, MIN_SLOWNESS_PERMILLE, Slowness};
