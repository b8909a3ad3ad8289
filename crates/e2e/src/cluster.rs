//! A fleet of real routers and agents with embedded stand-ins.

use std::net::SocketAddr;
use std::time::Duration;

use chalkrock_core::{
    BuildVersion, ChangeId, ConfigVersion, Endpoint, EndpointKind, FleetConfig, Host, HostList,
    HostState, Incarnation, Organisation, Pool, PoolKind, key_digest,
};
use chalkrock_platform::{Change, ConfigStore, HttpPlatform};
use chalkrock_standin::{
    EngineHandle, EngineSettings, PlatformHandle, PlatformSettings, ServiceHandle, ServiceSettings,
    start_engine, start_platform, start_service,
};
use eyre::bail;

use crate::program::Program;

/// Model that the engines serve.
pub const MODEL: &str = "test-model";
/// Name of the plain service.
pub const SERVICE: &str = "ledger";
/// API key of the organisation `caller`.
pub const ORGANISATION_KEY: &str = "key-caller";
/// API key of the organisation `other`.
pub const OTHER_KEY: &str = "key-other";
/// API key of the operators.
pub const OPERATOR_KEY: &str = "key-operator";
const FLEET_KEY: &str = "test-fleet-key";
const READY_TIMEOUT: Duration = Duration::from_secs(30);
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Size of a cluster.
#[derive(Clone, Copy, Debug)]
pub struct ClusterSize {
    /// Number of hosts, each with a router and an agent.
    pub hosts: usize,
    /// Number of engines.
    pub engines: usize,
    /// Number of endpoints of the plain service.
    pub services: usize,
}

/// Programs of one host.
#[derive(Debug)]
pub struct HostPrograms {
    /// Agent of the host.
    pub agent: Program,
    /// Router of the host.
    pub router: Program,
}

/// A running fleet, which stops when dropped.
pub struct Cluster {
    /// Stand-in platform.
    pub platform: PlatformHandle,
    /// Stand-in engines.
    pub engines: Vec<EngineHandle>,
    /// Endpoints of the plain service.
    pub services: Vec<ServiceHandle>,
    /// Hosts of the fleet.
    pub hosts: Vec<HostPrograms>,
    /// Client for requests of the test.
    pub client: reqwest::Client,
    host_list: HostList,
}

impl Cluster {
    /// Starts a cluster with default engine settings.
    ///
    /// # Errors
    ///
    /// Returns an error if a component can't start.
    pub async fn start(size: ClusterSize) -> eyre::Result<Self> {
        Self::start_with(size, EngineSettings::default()).await
    }

    /// Starts a cluster with the given engine settings.
    ///
    /// # Errors
    ///
    /// Returns an error if a component can't start.
    pub async fn start_with(size: ClusterSize, engine: EngineSettings) -> eyre::Result<Self> {
        let platform = start_platform(PlatformSettings::default()).await?;
        let mut engines = Vec::new();
        for _ in 0..size.engines {
            engines.push(start_engine(engine.clone()).await?);
        }
        let mut services = Vec::new();
        for _ in 0..size.services {
            services.push(start_service(ServiceSettings::default()).await?);
        }
        let mut cluster = Self {
            platform,
            engines,
            services,
            hosts: Vec::new(),
            client: reqwest::Client::builder().no_proxy().build()?,
            host_list: HostList::default(),
        };
        cluster
            .submit(&cluster.initial_config(), ConfigVersion(0), "first")
            .await?;
        cluster.host_list.endpoints = cluster.endpoints();
        cluster.publish_host_list();
        for _ in 0..size.hosts {
            cluster.add_host()?;
        }
        cluster.wait_until_ready().await?;
        Ok(cluster)
    }

    /// Starts another host and adds it to the host list.
    ///
    /// # Errors
    ///
    /// Returns an error if a program can't start.
    pub fn add_host(&mut self) -> eyre::Result<()> {
        let i = self.hosts.len();
        let agent = Program::start("chalkrock-agent", &self.agent_settings(i))?;
        let router = Program::start("chalkrock-router", &router_settings(i, agent.address(0)))?;
        self.host_list.hosts.push(Host {
            name: host_name(i).as_str().into(),
            zone: "zone-a".into(),
            agent_address: agent.address(0),
            incarnation: Incarnation(1),
            state: HostState::Live,
        });
        self.hosts.push(HostPrograms { agent, router });
        self.publish_host_list();
        Ok(())
    }

    /// Restarts a host's agent at its previous address.
    ///
    /// # Errors
    ///
    /// Returns an error if the program can't start.
    pub fn restart_agent(&mut self, i: usize) -> eyre::Result<()> {
        let listen = self.hosts[i].agent.address(0);
        let settings = self
            .agent_settings(i)
            .replace("listen: 127.0.0.1:0", &format!("listen: {listen}"));
        let settings = settings.replacen(
            &format!("admin_listen: {listen}"),
            "admin_listen: 127.0.0.1:0",
            1,
        );
        self.hosts[i].agent = Program::start("chalkrock-agent", &settings)?;
        Ok(())
    }

    /// Restarts a host's router at a new address.
    ///
    /// # Errors
    ///
    /// Returns an error if the program can't start.
    pub fn restart_router(&mut self, i: usize) -> eyre::Result<()> {
        let agent = self.hosts[i].agent.address(0);
        self.hosts[i].router = Program::start("chalkrock-router", &router_settings(i, agent))?;
        Ok(())
    }

    /// Waits until a condition holds.
    ///
    /// # Errors
    ///
    /// Returns an error if the condition does not hold within 30 seconds.
    pub async fn wait_until<F>(&self, event: &str, condition: impl Fn() -> F) -> eyre::Result<()>
    where
        F: Future<Output = bool>,
    {
        let ready = async {
            while !condition().await {
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        };
        if tokio::time::timeout(READY_TIMEOUT, ready).await.is_err() {
            bail!("timed out waiting for {event}");
        }
        Ok(())
    }

    /// Returns the host list, to be changed before [`Cluster::publish_host_list`].
    pub fn host_list_mut(&mut self) -> &mut HostList {
        &mut self.host_list
    }

    /// Publishes the current host list on the platform.
    pub fn publish_host_list(&self) {
        self.platform.set_hosts(self.host_list.clone());
    }

    /// Submits a configuration.
    ///
    /// # Errors
    ///
    /// Returns an error if the platform does not accept it.
    pub async fn submit(
        &self,
        config: &FleetConfig,
        expect: ConfigVersion,
        change: &str,
    ) -> eyre::Result<ConfigVersion> {
        let store = ConfigStore::new(HttpPlatform::new(&self.platform.url())?);
        let change = Change {
            id: ChangeId::new(change),
            author: "test".to_owned(),
            reason: "test".to_owned(),
            submitted_at_ms: 0,
        };
        Ok(store.submit(config, expect, change).await?.version)
    }

    /// Returns the initial configuration of a cluster.
    pub fn initial_config(&self) -> FleetConfig {
        let organisation = Organisation {
            name: "caller".into(),
            weight: 1,
            key_sha256: vec![key_digest(ORGANISATION_KEY)],
        };
        let engines = Pool {
            name: "chat".into(),
            kind: PoolKind::Engines {
                models: vec![MODEL.into()],
            },
            load_multiple: 1.5,
            deadline_ms: 60_000,
        };
        let service = Pool {
            name: SERVICE.into(),
            kind: PoolKind::Service {
                unsafe_to_repeat: true,
            },
            load_multiple: 1.5,
            deadline_ms: 1_500,
        };
        let other = Organisation {
            name: "other".into(),
            weight: 1,
            key_sha256: vec![key_digest(OTHER_KEY)],
        };
        FleetConfig {
            organisations: vec![organisation, other],
            pools: vec![engines, service],
        }
    }

    /// Returns the active configuration version of a router, from its metrics.
    pub async fn config_version(&self, host: usize) -> Option<u64> {
        self.gauge(host, "config_version").await
    }

    /// Returns a gauge from a router's metrics.
    pub async fn gauge(&self, host: usize, name: &str) -> Option<u64> {
        let url = format!("http://{}/metrics", self.hosts[host].router.address(1));
        let text = self.client.get(url).send().await.ok()?.text().await.ok()?;
        let prefix = format!("chalkrock_{name}{{");
        let line = text.lines().find(|line| line.starts_with(&prefix))?;
        line.rsplit(' ').next()?.parse().ok()
    }

    /// Waits until all routers are ready and see all hosts.
    ///
    /// # Errors
    ///
    /// Returns an error if a router is not ready within 30 seconds.
    pub async fn wait_until_ready(&self) -> eyre::Result<()> {
        let ready = async {
            for host in 0..self.hosts.len() {
                while !self.is_ready(host).await {
                    tokio::time::sleep(POLL_INTERVAL).await;
                }
            }
        };
        if tokio::time::timeout(READY_TIMEOUT, ready).await.is_err() {
            bail!("the routers did not become ready");
        }
        Ok(())
    }

    /// Whether a router is ready and has all hosts in its view.
    async fn is_ready(&self, host: usize) -> bool {
        let url = format!("http://{}/readyz", self.hosts[host].router.address(1));
        let response = self.client.get(url).send().await;
        let ready = response.is_ok_and(|response| response.status().is_success());
        ready && self.gauge(host, "view_hosts").await == Some(self.hosts.len() as u64)
    }

    fn endpoints(&self) -> Vec<Endpoint> {
        let engines = self.engines.iter().enumerate().map(|(i, engine)| {
            endpoint(
                &format!("engine-{i}"),
                EndpointKind::Engine,
                "chat",
                engine.address(),
            )
        });
        let services = self.services.iter().enumerate().map(|(i, service)| {
            endpoint(
                &format!("{SERVICE}-{i}"),
                EndpointKind::Service,
                SERVICE,
                service.address(),
            )
        });
        engines.chain(services).collect()
    }

    fn agent_settings(&self, i: usize) -> String {
        format!(
            "host: {}\nzone: zone-a\nlisten: 127.0.0.1:0\nadmin_listen: 127.0.0.1:0\n\
             platform_url: {}\nfleet_key: {FLEET_KEY}\nconfig_poll_ms: 100\nhosts_poll_ms: 100\n\
             probe_ms: 200\nsettle_ms: 500\n\
             logs: {{level: warn}}\n",
            host_name(i),
            self.platform.url(),
        )
    }
}

fn router_settings(i: usize, agent: SocketAddr) -> String {
    format!(
        "host: {}\nzone: zone-a\nlisten: 127.0.0.1:0\noperator_listen: 127.0.0.1:0\n\
         agent_address: {agent}\nfleet_key: {FLEET_KEY}\nbody_max_bytes: 100000\n\
         ask_timeout_ms: 500\n\
         operator_key_sha256: [{}]\nlogs: {{level: warn}}\n",
        host_name(i),
        key_digest(OPERATOR_KEY),
    )
}

fn host_name(i: usize) -> String {
    format!("host-{i}")
}

fn endpoint(name: &str, kind: EndpointKind, pool: &str, address: SocketAddr) -> Endpoint {
    Endpoint {
        name: name.into(),
        kind,
        pool: pool.into(),
        zone: "zone-a".into(),
        address,
        slots: 64,
        incarnation: Incarnation(1),
        state: HostState::Live,
        build: BuildVersion::default(),
    }
}
