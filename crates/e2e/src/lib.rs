//! Test harness that runs chalkrock's programs as separate processes.
//!
//! Routers and agents are the real programs from the target directory of the test.
//! The platform, engines and services are embedded stand-ins, so that a test can
//! read their counts and set their faults.
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

pub use calls::{ChatAnswer, ResponseHead, read_chat};
pub use cluster::{
    Cluster, ClusterSize, HostPrograms, MODEL, OPERATOR_KEY, ORGANISATION_KEY, OTHER_KEY, SERVICE,
};
pub use program::{Program, program_path};
