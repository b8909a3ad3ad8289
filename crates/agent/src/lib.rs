//! Maintains a host's view of the fleet, and serves slots and claims.
//!
//! Each host runs an agent and a router. The agent polls the platform, exchanges
//! updates with other agents and serves routers. A router keeps the last view
//! while its agent is unavailable.
//!
//! # Example
//!
//! ```no_run
//! use chalkrock_agent::{AgentSettings, start_agent};
//!
//! # async fn start() -> eyre::Result<()> {
//! let settings: AgentSettings = chalkrock_process::load_settings("agent.yaml".as_ref())?;
//! let agent = start_agent(settings).await?;
//! println!("routers connect to {}", agent.address());
//! # Ok(())
//! # }
//! ```

mod admin;
mod claims;
mod exchange;
mod peers;
mod platform_reads;
mod probes;
mod settings;
mod slots;
mod start;
mod view;

pub use settings::AgentSettings;
pub use start::{RunningAgent, start_agent};
pub use view::AgentView;
