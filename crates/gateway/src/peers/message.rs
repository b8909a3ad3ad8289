//! The datagram that hosts send each other.

use std::net::SocketAddr;

use chalkrock_routing::{Holding, HostReport, Reading, RulesVersion};
use serde::{Deserialize, Serialize};

use crate::source::StoreVersion;

/// What one host tells the others.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Beat {
    /// The short hash of its availability zone.
    pub(crate) zone: u32,
    /// How it stands to the platform.
    pub(crate) reading: Reading,
    /// Its requests in progress.
    pub(crate) report: HostReport,
    /// The rules that it has in force.
    pub(crate) rules: RulesVersion,
    /// The newest change of the list of endpoints that it knows.
    pub(crate) endpoints: StoreVersion,
    /// Short hashes of endpoints that are leaving.
    pub(crate) leaving: Vec<u32>,
    /// What it newly saw endpoints hold.
    pub(crate) holdings: Vec<Holding>,
    /// Some hosts that it hears.
    pub(crate) hosts: Vec<SocketAddr>,
}
