//! Which organisations use more than their share of a pool.

mod ledger;
mod max_min;

pub use ledger::{MAX_LEDGER_ORGANISATIONS, USAGE_DECAY_MS, WorkLedger};
pub use max_min::{Demand, max_min, water_level};
