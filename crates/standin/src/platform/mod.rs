//! The platform: a transactional table, objects, a delayed host list and rate
//! limits, with switchable faults.

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
    /// Address to listen on.
    pub listen: SocketAddr,
    /// Maximum write calls per second.
    pub writes_per_second: u32,
    /// Maximum read calls per second.
    pub reads_per_second: u32,
    /// Delay until a new host list becomes visible.
    pub list_lag_ms: u64,
    /// Initial hosts and endpoints.
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

/// Handle to a running platform, which stops when the handle is dropped.
#[derive(Debug)]
pub struct PlatformHandle {
    server: RunningServer,
    store: Arc<Store>,
    /// Faults of the platform.
    pub faults: SharedFaults,
}

impl PlatformHandle {
    /// Address that the platform listens on.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Base URL of the platform.
    pub fn url(&self) -> String {
        format!("http://{}", self.address())
    }

    /// Replaces the host list, which becomes visible after the configured lag.
    pub fn set_hosts(&self, hosts: HostList) {
        self.store.set_hosts(hosts);
    }

    /// Number of write calls accepted since the platform started.
    pub fn accepted_writes(&self) -> u64 {
        self.store.accepted_writes()
    }
}

/// Starts a platform.
///
/// # Errors
///
/// Returns an error if the address can't be bound.
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
