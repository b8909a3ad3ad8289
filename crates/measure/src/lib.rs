//! Load and experiments: decisions on virtual time, live load over HTTP.
//!
//! Use [`decisions`] to see what a change of the core does to reuse, skew and
//! control traffic, against baselines in the same run.
//!
//! # Example
//!
//! ```
//! use chalkrock_measure::decisions::{self, Policy, SECOND_US, Setup, Site, Trouble};
//!
//! let mut setup = Setup::of(Site::Magnolia, Trouble::Steady, Policy::Chalkrock, 1);
//! setup.measured_us = 5 * SECOND_US;
//! let measures = decisions::run(setup, "steady/magnolia", "chalkrock");
//! assert!(measures.iter().any(|m| m.measure == "cache_reuse"));
//! ```

pub mod decisions;
pub mod live;
