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
    /// Address of the callers' API.
    pub listen: SocketAddr,
    /// Address of the operators' API.
    pub operator_listen: SocketAddr,
    /// Address of the local agent.
    pub agent_address: SocketAddr,
    /// Secret shared by all hosts of the fleet.
    pub fleet_key: String,
    /// Hexadecimal SHA-256 digests of the operators' keys.
    #[serde(default)]
    pub operator_key_sha256: Vec<String>,
    /// Maximum size of a request body, in bytes.
    #[serde(default = "default_body_max_bytes")]
    pub body_max_bytes: usize,
    /// Number of explanations to keep.
    #[serde(default = "default_explanations_kept")]
    pub explanations_kept: usize,
    /// Age in milliseconds from which requests wait for a new view.
    #[serde(default = "default_view_max_age_ms")]
    pub view_max_age_ms: u64,
    /// Timeout of a slot request to an owner, in milliseconds.
    #[serde(default = "default_ask_timeout_ms")]
    pub ask_timeout_ms: u64,
    /// How long a stop waits for requests in progress, in milliseconds.
    #[serde(default = "default_drain_max_ms")]
    pub drain_max_ms: u64,
    /// Settings of logs.
    #[serde(default)]
    pub logs: LogSettings,
    /// Settings of spans.
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
