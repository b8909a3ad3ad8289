//! Messages and tarpc services between chalkrock's processes.
//!
//! A router watches the view of its local agent and acquires slots from owners;
//! agents exchange updates. All calls belong to one service, [`AgentApi`], over
//! connections that each serve one [`Purpose`] and count their bytes.
//!
//! # Example
//!
//! ```no_run
//! use std::sync::Arc;
//! use chalkrock_proto::{ByteCounter, Hello, KnownView, PROTOCOL_VERSION, Purpose, connect};
//!
//! # async fn watch() -> Result<(), Box<dyn std::error::Error>> {
//! let hello = Hello {
//!     protocol_version: PROTOCOL_VERSION,
//!     fleet_key_sha256: "…".into(),
//!     host: "host-1".into(),
//!     purpose: Purpose::View,
//! };
//! let counter = Arc::new(ByteCounter::default());
//! let agent = connect("127.0.0.1:7101".parse()?, hello, counter).await?;
//! let update = agent.watch_view(tarpc::context::current(), KnownView::default()).await??;
//! println!("{:?}", update.config);
//! # Ok(())
//! # }
//! ```

mod agent_api;
mod counted;
mod traffic;
mod transport;

pub use agent_api::{
    AgentApi, AgentApiClient, ClaimExpect, ClaimResult, ClaimWrite, ConfigBody, Hello,
    HostPoolLoad, HostsBody, KnownView, LeavingEndpoint, PROTOCOL_VERSION, PeerError, PeerUpdate,
    Purpose, SlotCount, SlotReply, SlotRequest, ViewUpdate,
};
pub use counted::{ByteCounter, CountedStream};
pub use traffic::{ControlTraffic, TrafficBytes};
pub use transport::{ConnectError, CountedTransport, MAX_FRAME_BYTES, connect, transport};
