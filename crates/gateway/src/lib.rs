//! Serves general requests by the decisions of `chalkrock-routing`.
//!
//! A gateway accepts requests over HTTP, finds their route and organisation, sends each to
//! an endpoint and relays the answer. It follows the store through a [`Source`], and
//! exchanges load, rules and endpoints with the other hosts. An [`Edge`] defines the
//! headers; the gateway knows none by name. To put chalkrock before your own endpoints,
//! implement the two traits and call [`start`].
//!
//! A request passes the modules in this order: `front` (sockets), `call` (parsed request),
//! `progress` (deadline and attempts), `dispatch` and `attempt` (sending), or `forward`
//! (through another host), `endpoint_connections`, `relay` (streams).
//!
//! # Example
//!
//! ```
//! use chalkrock_gateway::GatewayConfig;
//!
//! let listen = "127.0.0.1:8080".parse().unwrap();
//! let config = GatewayConfig::builder("host-1", "zone-a", listen)
//!     .grace_ms(8_000)
//!     .load_multiple(1.8)
//!     .build();
//! assert_eq!(config.host().as_str(), "host-1");
//! ```

mod access_log;
mod active_rules;
mod answer;
mod arrival;
mod attempt;
mod build_records;
mod byte_budget;
mod call;
mod caller_body;
mod caller_stream;
mod clock;
mod config;
mod crash_checks;
mod dispatch;
mod edge;
mod endpoint_connections;
mod endpoint_reports;
mod endpoint_stream;
mod event_log;
mod fair_share;
mod fleet;
mod follow;
mod forward;
mod framing;
mod front;
mod lag;
mod metrics;
mod outage_log;
mod peers;
mod poison;
mod poison_parts;
mod pool_queue;
mod prefixes;
mod progress;
mod relay;
mod rollouts;
mod room_wait;
mod run;
mod shared;
mod skipped_rows;
mod source;
mod status;
mod store_answers;
mod stream_origins;
mod stream_records;
mod subscription;
mod suspension;
mod termination_checks;
mod work;

pub use arrival::ReceivedBytes;
pub use config::{GatewayConfig, GatewayConfigBuilder};
pub use edge::{
    AnswerHead, CallHead, Edge, EndpointLoad, PrefixPart, Refusal, RequestedBackoff, SendHead,
};
pub use run::{RunningGateway, start};
pub use source::{
    BuildRecordWrite, BuildRecords, EndpointChange, EndpointRow, HostRow, ListedEndpoint,
    PoisonRow, RolloutWrite, Row, Source, SourceError, SourceUpdate, StreamRecordRow, Topic,
    UnreadableRow,
};
pub use suspension::HostClock;
