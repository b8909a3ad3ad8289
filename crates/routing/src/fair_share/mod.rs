//! Which organisations use more than their share of a pool.

mod fleet_usage;
mod ledger;
mod max_min;

pub use fleet_usage::{
    FleetUsage, MAX_ORGANISATIONS_PER_AGGREGATE, MAX_ORGANISATIONS_PER_HOST, OrganisationShare,
    OrganisationUse, SlotUse, UsageReport,
};
pub use ledger::{MAX_LEDGER_ORGANISATIONS, USAGE_DECAY_MS, WorkLedger};
pub use max_min::{Demand, max_min, water_level};
