//! Settings of a router.

use std::net::SocketAddr;

use chalkrock_core::{HostId, ZoneId};
use chalkrock_process::{LogSettings, SpanSettings};
use serde::Deserialize;

/// The settings file of `chalkrock-router`.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RouterSettings {
    /// The name of this host.
    pub host: HostId,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Where callers connect.
    pub listen: SocketAddr,
    /// Where operators connect: health, metrics, explanations.
    pub operator_listen: SocketAddr,
    /// The agent beside this router.
    pub agent_address: SocketAddr,
    /// The secret that all hosts of the fleet share.
    pub fleet_key: String,
    /// SHA-256 digests of the operators' keys, hexadecimal.
    #[serde(default)]
    pub operator_key_sha256: Vec<String>,
    /// The largest request body that is read.
    #[serde(default = "default_body_max_bytes")]
    pub body_max_bytes: usize,
    /// Explanations that are kept.
    #[serde(default = "default_explanations_kept")]
    pub explanations_kept: usize,
    /// A view older than this is refreshed before the next dispatch.
    #[serde(default = "default_view_max_age_ms")]
    pub view_max_age_ms: u64,
    /// An owner that does not answer an ask by then is passed over.
    #[serde(default = "default_ask_timeout_ms")]
    pub ask_timeout_ms: u64,
    /// How long a planned stop waits for requests in progress.
    #[serde(default = "default_drain_max_ms")]
    pub drain_max_ms: u64,
    /// Logs.
    #[serde(default)]
    pub logs: LogSettings,
    /// Spans.
    #[serde(default)]
    pub spans: SpanSettings,
}

fn default_body_max_bytes() -> usize {
    4 * 1024 * 1024
}

fn default_explanations_kept() -> usize {
    10_000
}

fn default_view_max_age_ms() -> u64 {
    3_000
}

fn default_drain_max_ms() -> u64 {
    120_000
}

fn default_ask_timeout_ms() -> u64 {
    10
}
