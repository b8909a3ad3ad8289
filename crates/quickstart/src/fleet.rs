//! A complete fleet in one process.

use std::net::SocketAddr;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use chalkrock_agent::{AgentSettings, RunningAgent, start_agent};
use chalkrock_core::{
    BuildVersion, ChangeId, ConfigVersion, Endpoint, EndpointKind, Host, HostList, HostState,
    Incarnation, key_digest,
};
use chalkrock_platform::{Change, ConfigStore, HttpPlatform};
use chalkrock_router::{RouterSettings, RunningRouter, start_router};
use chalkrock_standin::{
    EngineHandle, EngineSettings, PlatformHandle, PlatformSettings, ServiceHandle, ServiceSettings,
    start_engine, start_platform, start_service,
};
use eyre::bail;

use crate::config::{FLEET_KEY, OPERATOR_KEY, POOL, SERVICE, initial_config};

const ZONES: [&str; 3] = ["zone-a", "zone-b", "zone-c"];
const ANY_PORT: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 0);
const READY_TIMEOUT: Duration = Duration::from_secs(20);
const READY_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Short, so that changes show soon after they are made.
const POLL_INTERVAL_MS: u64 = 200;

/// Size of a fleet.
#[derive(Clone, Copy, Debug)]
pub struct FleetSize {
    /// Number of hosts, each with a router and an agent.
    pub routers: usize,
    /// Number of engines.
    pub engines: usize,
}

/// A running fleet, which stops when dropped.
pub struct Fleet {
    platform: PlatformHandle,
    engines: Vec<EngineHandle>,
    service: ServiceHandle,
    agents: Vec<RunningAgent>,
    routers: Vec<RunningRouter>,
}

impl Fleet {
    /// Starts all components and waits until the routers are ready.
    ///
    /// # Errors
    ///
    /// Returns an error if a component can't start or the routers do not become ready.
    pub async fn start(size: FleetSize) -> eyre::Result<Self> {
        let platform = start_platform(PlatformSettings::default()).await?;
        let mut engines = Vec::new();
        for _ in 0..size.engines {
            let settings = EngineSettings {
                token_ms: 5,
                ..Default::default()
            };
            engines.push(start_engine(settings).await?);
        }
        let service = start_service(ServiceSettings::default()).await?;
        submit_initial_config(&platform).await?;

        let mut agents = Vec::new();
        let mut routers = Vec::new();
        for i in 0..size.routers {
            let agent = start_agent(agent_settings(i, &platform.url())).await?;
            routers.push(start_router(router_settings(i, agent.address())).await?);
            agents.push(agent);
        }
        let fleet = Self {
            platform,
            engines,
            service,
            agents,
            routers,
        };
        fleet.platform.set_hosts(fleet.host_list());
        fleet.wait_until_ready().await?;
        Ok(fleet)
    }

    /// Base URL of a router for callers.
    ///
    /// # Panics
    ///
    /// Panics if there is no such router.
    pub fn router_url(&self, i: usize) -> String {
        format!("http://{}", self.routers[i].address())
    }

    /// Base URL of a router for operators.
    ///
    /// # Panics
    ///
    /// Panics if there is no such router.
    pub fn operator_url(&self, i: usize) -> String {
        format!("http://{}", self.routers[i].operator_address())
    }

    /// Returns the engines.
    pub fn engines(&self) -> &[EngineHandle] {
        &self.engines
    }

    /// Returns the plain service.
    pub fn service(&self) -> &ServiceHandle {
        &self.service
    }

    /// Returns the platform.
    pub fn platform(&self) -> &PlatformHandle {
        &self.platform
    }

    /// Returns the agents.
    pub fn agents(&self) -> &[RunningAgent] {
        &self.agents
    }

    /// Name of an engine in the host list.
    pub fn engine_name(i: usize) -> String {
        format!("engine-{i}")
    }

    /// Returns a host list with all hosts and endpoints of the fleet.
    pub fn host_list(&self) -> HostList {
        let hosts = self.agents.iter().enumerate().map(|(i, agent)| Host {
            name: host_name(i).as_str().into(),
            zone: ZONES[i % ZONES.len()].into(),
            agent_address: agent.address(),
            incarnation: Incarnation(1),
            state: HostState::Live,
        });
        let engines = self.engines.iter().enumerate().map(|(i, engine)| {
            endpoint(
                &Self::engine_name(i),
                EndpointKind::Engine,
                POOL,
                engine.address(),
                i,
            )
        });
        let service = endpoint(
            "finder-0",
            EndpointKind::Service,
            SERVICE,
            self.service.address(),
            0,
        );
        HostList {
            hosts: hosts.collect(),
            endpoints: engines.chain([service]).collect(),
        }
    }

    async fn wait_until_ready(&self) -> eyre::Result<()> {
        let client = reqwest::Client::new();
        let ready = async {
            for i in 0..self.routers.len() {
                let url = format!("{}/readyz", self.operator_url(i));
                while !is_ready(&client, &url).await {
                    tokio::time::sleep(READY_POLL_INTERVAL).await;
                }
            }
        };
        if tokio::time::timeout(READY_TIMEOUT, ready).await.is_err() {
            bail!("the routers did not become ready");
        }
        Ok(())
    }
}

async fn is_ready(client: &reqwest::Client, url: &str) -> bool {
    match client.get(url).send().await {
        Ok(response) => response.status().is_success(),
        Err(_) => false,
    }
}

async fn submit_initial_config(platform: &PlatformHandle) -> eyre::Result<()> {
    let store = ConfigStore::new(HttpPlatform::new(&platform.url())?);
    let now = SystemTime::now().duration_since(UNIX_EPOCH)?;
    let change = Change {
        id: ChangeId::new("quickstart"),
        author: "quickstart".to_owned(),
        reason: "first configuration".to_owned(),
        submitted_at_ms: now.as_millis() as u64,
    };
    store
        .submit(&initial_config(), ConfigVersion(0), change)
        .await?;
    Ok(())
}

fn host_name(i: usize) -> String {
    format!("host-{i}")
}

fn agent_settings(i: usize, platform_url: &str) -> AgentSettings {
    AgentSettings {
        host: host_name(i).as_str().into(),
        zone: ZONES[i % ZONES.len()].into(),
        listen: ANY_PORT,
        admin_listen: ANY_PORT,
        platform_url: platform_url.to_owned(),
        fleet_key: FLEET_KEY.to_owned(),
        config_poll_ms: POLL_INTERVAL_MS,
        hosts_poll_ms: POLL_INTERVAL_MS,
        probe_ms: 1_000,
        settle_ms: 500,
        logs: Default::default(),
        spans: Default::default(),
    }
}

fn router_settings(i: usize, agent_address: SocketAddr) -> RouterSettings {
    RouterSettings {
        host: host_name(i).as_str().into(),
        zone: ZONES[i % ZONES.len()].into(),
        listen: ANY_PORT,
        operator_listen: ANY_PORT,
        agent_address,
        fleet_key: FLEET_KEY.to_owned(),
        operator_key_sha256: vec![key_digest(OPERATOR_KEY)],
        body_max_bytes: 4 * 1024 * 1024,
        explanations_kept: 1_000,
        view_max_age_ms: 3_000,
        ask_timeout_ms: 100,
        drain_max_ms: 10_000,
        logs: Default::default(),
        spans: Default::default(),
    }
}

fn endpoint(name: &str, kind: EndpointKind, pool: &str, address: SocketAddr, i: usize) -> Endpoint {
    Endpoint {
        name: name.into(),
        kind,
        pool: pool.into(),
        zone: ZONES[i % ZONES.len()].into(),
        address,
        slots: 64,
        incarnation: Incarnation(1),
        state: HostState::Live,
        build: BuildVersion::default(),
    }
}
