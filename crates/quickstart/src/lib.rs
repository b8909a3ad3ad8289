//! Every part of chalkrock in one process, for the first five minutes.
//!
//! A platform, engines, a service, agents and routers on loopback, with a few
//! organisations. [`Fleet`] is also what tests embed when they need no
//! processes of their own.
//!
//! # Example
//!
//! ```
//! use chalkrock_quickstart::{Fleet, FleetSize};
//!
//! # #[tokio::main(flavor = "current_thread")]
//! # async fn main() -> eyre::Result<()> {
//! let fleet = Fleet::start(FleetSize { routers: 1, engines: 2 }).await?;
//! assert_eq!(fleet.engines().len(), 2);
//! # Ok(())
//! # }
//! ```

mod config;
mod fleet;
mod tour;

pub use config::{MODEL, OPERATOR_KEY, ORGANISATION_KEYS, SERVICE};
pub use fleet::{Fleet, FleetSize};
pub use tour::tour;
