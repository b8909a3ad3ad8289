//! Runs chalkrock's programs as separate processes, for failure tests.
//!
//! Routers and agents are the real programs, found beside the test's own
//! binary; platform, engines and services are embedded stand-ins, so that a
//! test can read their counts and switch their faults.
//!
//! # Example
//!
//! ```no_run
//! use chalkrock_e2e::{Cluster, ClusterSize};
//!
//! # async fn run() -> eyre::Result<()> {
//! let cluster = Cluster::start(ClusterSize { hosts: 2, engines: 3, services: 1 }).await?;
//! let answer = cluster.chat(0, "nonce-1", false).await?;
//! assert!(answer.text.starts_with("nonce-1.0 "));
//! # Ok(())
//! # }
//! ```

mod calls;
mod cluster;
mod program;

pub use calls::{ChatAnswer, Told, read_chat};
pub use cluster::{
    Cluster, ClusterSize, HostPrograms, MODEL, OPERATOR_KEY, ORGANISATION_KEY, OTHER_KEY, SERVICE,
};
pub use program::{Program, program_path};
