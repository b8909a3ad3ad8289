//! Settings of an agent.

use std::net::SocketAddr;

use chalkrock_core::{HostId, ZoneId};
use chalkrock_process::{LogSettings, SpanSettings};
use serde::Deserialize;

/// The settings file of `chalkrock-agent`.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AgentSettings {
    /// The name of this host.
    pub host: HostId,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Address for routers and other agents.
    pub listen: SocketAddr,
    /// Address of the admin API: health, readiness and metrics.
    pub admin_listen: SocketAddr,
    /// Base URL of the platform.
    pub platform_url: String,
    /// Secret shared by all hosts of the fleet.
    pub fleet_key: String,
    /// Interval between reads of the configuration's head row, in milliseconds.
    #[serde(default = "default_config_poll_ms")]
    pub config_poll_ms: u64,
    /// Interval between reads of the host list, in milliseconds.
    #[serde(default = "default_hosts_poll_ms")]
    pub hosts_poll_ms: u64,
    /// Interval between probes of an owned endpoint, in milliseconds.
    #[serde(default = "default_probe_ms")]
    pub probe_ms: u64,
    /// How long a new owner grants no slots, in milliseconds. Must exceed the
    /// skew with which host lists reach hosts.
    #[serde(default = "default_settle_ms")]
    pub settle_ms: u64,
    /// Settings of logs.
    #[serde(default)]
    pub logs: LogSettings,
    /// Settings of spans.
    #[serde(default)]
    pub spans: SpanSettings,
}

fn default_config_poll_ms() -> u64 {
    1_000
}

fn default_hosts_poll_ms() -> u64 {
    1_000
}

fn default_probe_ms() -> u64 {
    1_000
}

fn default_settle_ms() -> u64 {
    3_000
}
