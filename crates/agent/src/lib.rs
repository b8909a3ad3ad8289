//! Keeps a host's view: configuration, membership, slots and claims.
//!
//! One agent runs beside each router. It reads the platform, exchanges news
//! with other agents, and answers routers. The router follows its view and
//! serves on it while the agent is away.
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
