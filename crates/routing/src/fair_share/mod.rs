//! Which organisations use more than their share of a pool.

mod fleet_usage;
mod ledger;
mod max_min;
mod pool_usage;
mod usage_report;

pub use fleet_usage::FleetUsage;
pub use ledger::{MAX_LEDGER_ORGANISATIONS, USAGE_DECAY_MS, WorkLedger};
pub use max_min::{Demand, max_min, water_level};
pub use pool_usage::OrganisationShare;
pub use usage_report::{
    MAX_ORGANISATIONS_PER_AGGREGATE, MAX_ORGANISATIONS_PER_HOST, OrganisationUse, SlotUse,
    UsageReport,
};
