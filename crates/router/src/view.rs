//! The router's view of the fleet.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

use chalkrock_core::rendezvous::MemberHash;
use chalkrock_core::{
    ConfigVersion, Endpoint, FleetConfig, Host, HostList, HostState, PoolId, owner_index,
};
use tokio::time::Instant;

/// An endpoint with its hash and owner.
#[derive(Clone, Debug)]
pub(crate) struct ViewEndpoint {
    pub(crate) endpoint: Endpoint,
    pub(crate) hash: MemberHash,
    /// Address of the agent that grants its slots.
    pub(crate) owner: Option<SocketAddr>,
}

/// The fleet as this router sees it.
#[derive(Clone, Debug)]
pub(crate) struct RouterView {
    pub(crate) config_version: ConfigVersion,
    pub(crate) config: Arc<FleetConfig>,
    pub(crate) hosts_number: u64,
    pub(crate) hosts: Arc<HostList>,
    /// Live endpoints by pool.
    pub(crate) live: HashMap<PoolId, Vec<ViewEndpoint>>,
    /// When an agent last confirmed the view.
    pub(crate) confirmed_at: Instant,
}

impl RouterView {
    pub(crate) fn empty() -> Self {
        Self {
            config_version: ConfigVersion(0),
            config: Arc::default(),
            hosts_number: 0,
            hosts: Arc::default(),
            live: HashMap::new(),
            confirmed_at: Instant::now(),
        }
    }

    /// Returns whether configuration and hosts have been received.
    pub(crate) fn is_complete(&self) -> bool {
        self.config_version > ConfigVersion(0) && self.hosts_number > 0
    }

    /// Returns whether there is a live endpoint, or no pool that needs one. The
    /// first list may be older than the endpoints.
    pub(crate) fn has_endpoints(&self) -> bool {
        self.config.pools.is_empty() || !self.live.is_empty()
    }

    /// Returns the live endpoints of a pool.
    pub(crate) fn live_in(&self, pool: &PoolId) -> &[ViewEndpoint] {
        self.live.get(pool).map_or(&[], Vec::as_slice)
    }

    pub(crate) fn set_hosts(&mut self, number: u64, list: HostList) {
        let hosts: Vec<&Host> = list
            .hosts
            .iter()
            .filter(|h| h.state == HostState::Live)
            .collect();
        let hashes: Vec<_> = hosts
            .iter()
            .map(|h| MemberHash::of(h.name.as_str()))
            .collect();
        let mut live: HashMap<PoolId, Vec<ViewEndpoint>> = HashMap::new();
        for endpoint in list.endpoints.iter().filter(|e| e.state == HostState::Live) {
            let hash = MemberHash::of(endpoint.name.as_str());
            let owner = owner_index(hash, &hashes).map(|i| hosts[i].agent_address);
            let prepared = ViewEndpoint {
                endpoint: endpoint.clone(),
                hash,
                owner,
            };
            live.entry(endpoint.pool.clone())
                .or_default()
                .push(prepared);
        }
        self.hosts_number = number;
        self.hosts = Arc::new(list);
        self.live = live;
    }
}
