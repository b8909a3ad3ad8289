//! Starts an agent's tasks.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use chalkrock_core::key_digest;
use chalkrock_platform::HttpPlatform;
use chalkrock_process::Metrics;
use chalkrock_proto::ControlTraffic;
use kameo::actor::Spawn;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinSet;

use crate::admin;
use crate::claims::ClaimBatcher;
use crate::exchange::Exchange;
use crate::peers::{self, PeerContext};
use crate::platform_reads::PlatformReader;
use crate::probes::Prober;
use crate::settings::AgentSettings;
use crate::slots::Slots;
use crate::view::{AgentView, ViewActor};

/// A running agent. Dropping it ends its tasks.
pub struct RunningAgent {
    address: SocketAddr,
    admin_address: SocketAddr,
    view: watch::Receiver<Arc<AgentView>>,
    _tasks: JoinSet<()>,
}

impl RunningAgent {
    /// Returns the address for routers and other agents.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the address of the admin API.
    pub fn admin_address(&self) -> SocketAddr {
        self.admin_address
    }

    /// Returns the current view.
    pub fn view(&self) -> Arc<AgentView> {
        self.view.borrow().clone()
    }
}

/// Starts an agent.
///
/// # Errors
///
/// If an address can't be bound or the platform's URL is invalid.
pub async fn start_agent(settings: AgentSettings) -> eyre::Result<RunningAgent> {
    let platform = HttpPlatform::new(&settings.platform_url)?;
    let listener = TcpListener::bind(settings.listen).await?;
    let address = listener.local_addr()?;
    let admin_listener = TcpListener::bind(settings.admin_listen).await?;
    let admin_address = admin_listener.local_addr()?;

    let metrics = Metrics::default();
    let (published, view) = watch::channel(Arc::new(AgentView::default()));
    let view_actor = ViewActor::spawn(published);
    let fleet_key_sha256: Arc<str> = key_digest(&settings.fleet_key).into();
    let slots = Arc::new(Slots::new(settings.host.clone(), settings.settle_ms));
    let traffic = Arc::new(ControlTraffic::default());
    let shared = Arc::new(PeerContext {
        fleet_key_sha256: fleet_key_sha256.clone(),
        view: view.clone(),
        metrics: metrics.clone(),
        slots: slots.clone(),
        claims: ClaimBatcher::start(platform.clone(), metrics.clone()),
        view_actor: view_actor.clone(),
        traffic: traffic.clone(),
    });
    let probes = Prober {
        slots: slots.clone(),
        view_actor: view_actor.clone(),
        view: view.clone(),
        period: Duration::from_millis(settings.probe_ms),
    };
    let exchange = Exchange {
        host: settings.host.clone(),
        fleet_key_sha256,
        slots,
        view_actor: view_actor.clone(),
        view: view.clone(),
        traffic,
    };
    let reader = PlatformReader {
        platform,
        view_actor,
        view: view.clone(),
        metrics,
    };

    let mut tasks = JoinSet::new();
    tasks.spawn(peers::serve(listener, shared.clone()));
    tasks.spawn(async move {
        if let Err(error) = axum::serve(admin_listener, admin::app(shared)).await {
            log::error!(target: "agent.admin", "Admin server failed: {error}.");
        }
    });
    tasks.spawn(
        reader
            .clone()
            .follow_config(Duration::from_millis(settings.config_poll_ms)),
    );
    tasks.spawn(reader.follow_hosts(Duration::from_millis(settings.hosts_poll_ms)));
    tasks.spawn(probes.run());
    tasks.spawn(exchange.run());
    log::info!(target: "agent", "Host {} listens on {address}.", settings.host);
    Ok(RunningAgent {
        address,
        admin_address,
        view,
        _tasks: tasks,
    })
}
