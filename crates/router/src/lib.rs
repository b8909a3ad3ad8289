//! Routes chat completions and service calls to endpoints.
//!
//! A router selects an endpoint with `chalkrock-core` and forwards the
//! response. It receives its view of the fleet from the agent on its host.
//!
//! # Example
//!
//! ```no_run
//! use chalkrock_router::{RouterSettings, start_router};
//!
//! # async fn start() -> eyre::Result<()> {
//! let settings: RouterSettings = chalkrock_process::load_settings("router.yaml".as_ref())?;
//! let router = start_router(settings).await?;
//! println!("callers connect to {}", router.address());
//! # Ok(())
//! # }
//! ```

mod api;
mod chat;
mod claim_writers;
mod claims;
mod dispatch;
mod entry;
mod explain;
mod follow;
mod operators;
mod owners;
mod place;
mod refusal;
mod relay;
mod service_calls;
mod settings;
mod start;
mod state;
mod view;

pub use explain::{Candidate, Explanation, Hop};
pub use settings::RouterSettings;
pub use start::{RunningRouter, start_router};
