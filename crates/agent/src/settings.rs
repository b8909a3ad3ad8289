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
    /// Where routers and other agents connect.
    pub listen: SocketAddr,
    /// Where health, readiness and metrics are served.
    pub admin_listen: SocketAddr,
    /// The platform's base URL.
    pub platform_url: String,
    /// The secret that all hosts of the fleet share.
    pub fleet_key: String,
    /// Time between two reads of the configuration's head row.
    #[serde(default = "default_config_poll_ms")]
    pub config_poll_ms: u64,
    /// Time between two reads of the host list.
    #[serde(default = "default_hosts_poll_ms")]
    pub hosts_poll_ms: u64,
    /// Time between two probes of an endpoint that this host owns.
    #[serde(default = "default_probe_ms")]
    pub probe_ms: u64,
    /// A new owner grants no slots for this long: longer than the host list
    /// may reach one host later than another.
    #[serde(default = "default_settle_ms")]
    pub settle_ms: u64,
    /// Logs.
    #[serde(default)]
    pub logs: LogSettings,
    /// Spans.
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
