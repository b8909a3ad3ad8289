//! Stand-ins for the external systems around chalkrock, with switchable faults.
//!
//! An engine, a plain service and the platform, each an HTTP server with its own
//! address. Each counts the requests that it ran, so that tests can compare the
//! counts with the outcomes reported to callers. They model the behaviour of the
//! external systems, not their performance.
//!
//! # Example
//!
//! ```
//! use chalkrock_standin::{EngineSettings, start_engine};
//!
//! # #[tokio::main(flavor = "current_thread")]
//! # async fn main() -> std::io::Result<()> {
//! let listen = ([127, 0, 0, 1], 0).into();
//! let engine = start_engine(EngineSettings { listen, ..Default::default() }).await?;
//! assert_eq!(engine.counts().started, 0);
//! # Ok(())
//! # }
//! ```

mod engine;
mod faults;
mod platform;
mod prefix_cache;
mod serve;
mod service;

pub use engine::{EngineCounts, EngineHandle, EngineSettings, start_engine};
pub use faults::{Faults, SharedFaults};
pub use platform::{PlatformHandle, PlatformSettings, start_platform};
pub use prefix_cache::PrefixCache;
pub use serve::RunningServer;
pub use service::{ServiceHandle, ServiceSettings, start_service};
