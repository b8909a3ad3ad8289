//! The platform: a transactional table, objects, the lagging host list, and
//! limits per second, with the faults of the real one.

mod api;
mod store;

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use chalkrock_core::HostList;
use serde::{Deserialize, Serialize};

use self::store::Store;
use crate::faults::SharedFaults;
use crate::serve::RunningServer;

/// Settings of a stand-in platform.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct PlatformSettings {
    /// Where it listens.
    pub listen: SocketAddr,
    /// Writes a second that it accepts.
    pub writes_per_second: u32,
    /// Reads a second that it answers.
    pub reads_per_second: u32,
    /// Age of the host list that it shows.
    pub list_lag_ms: u64,
    /// Hosts and endpoints that it starts with.
    pub hosts: HostList,
}

impl Default for PlatformSettings {
    fn default() -> Self {
        Self {
            listen: ([127, 0, 0, 1], 0).into(),
            writes_per_second: 100,
            reads_per_second: 2_000,
            list_lag_ms: 0,
            hosts: HostList::default(),
        }
    }
}

/// A running platform; it ends when this is dropped.
#[derive(Debug)]
pub struct PlatformHandle {
    server: RunningServer,
    store: Arc<Store>,
    /// Its faults.
    pub faults: SharedFaults,
}

impl PlatformHandle {
    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Its base URL.
    pub fn url(&self) -> String {
        format!("http://{}", self.address())
    }

    /// Replaces the host list; it shows after the set lag.
    pub fn set_hosts(&self, hosts: HostList) {
        self.store.set_hosts(hosts);
    }

    /// Writes accepted since it started.
    pub fn accepted_writes(&self) -> u64 {
        self.store.accepted_writes()
    }
}

/// Starts a platform.
///
/// # Errors
///
/// If its address can't be bound.
pub async fn start_platform(settings: PlatformSettings) -> io::Result<PlatformHandle> {
    let faults = SharedFaults::default();
    let listen = settings.listen;
    let store = Arc::new(Store::new(settings));
    let app = api::app(store.clone(), faults.clone());
    let server = RunningServer::start(listen, app).await?;
    Ok(PlatformHandle {
        server,
        store,
        faults,
    })
}
