//! A complete chalkrock fleet in one process.
//!
//! [`Fleet`] runs a platform, engines, a service, agents and routers on loopback,
//! with a few organisations. Tests that need no separate processes can embed it.
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
