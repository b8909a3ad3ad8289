//! Follows an agent's view and reconnects after a loss.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use chalkrock_core::FleetConfig;
use chalkrock_proto::{AgentApiClient, KnownView, Purpose, ViewUpdate, connect};
use tokio::time::Instant;

use crate::state::{State, hello};
use crate::view::RouterView;

const LOG_TARGET: &str = "router.view";
/// Pause after a failed connection.
const RECONNECT_PAUSE: Duration = Duration::from_millis(100);
/// Longer than the heartbeat interval of an agent, 1 s.
const WATCH_TIMEOUT: Duration = Duration::from_millis(2_500);
/// How long a remote agent is followed before the local one is retried.
const REMOTE_FOLLOW_LIMIT: Duration = Duration::from_secs(5);

/// Follows the local agent, or a remote one while it is unavailable.
pub(crate) async fn follow(state: Arc<State>) {
    let local = state.settings.agent_address;
    loop {
        for address in [Some(local), fallback(&state, local)].into_iter().flatten() {
            let hello = hello(&state.settings.host, &state.fleet_key_sha256, Purpose::View);
            let count = state.traffic.new_counter(Purpose::View);
            match connect(address, hello, count).await {
                Ok(agent) => {
                    log::info!(target: LOG_TARGET, "Following agent {address}.");
                    follow_connected(&state, &agent, address == local).await;
                    log::warn!(target: LOG_TARGET, "Lost agent {address}, serving from the last view.");
                }
                Err(error) => log::debug!(target: LOG_TARGET, "No agent: {error}."),
            }
        }
        tokio::time::sleep(RECONNECT_PAUSE).await;
    }
}

fn fallback(state: &State, local: SocketAddr) -> Option<SocketAddr> {
    let view = state.view.load();
    let others = view.hosts.hosts.iter().map(|host| host.agent_address);
    let others: Vec<_> = others.filter(|address| *address != local).collect();
    // Spreads routers over the remote agents.
    let hash = chalkrock_core::rendezvous::MemberHash::of(state.settings.host.as_str()).0;
    let index = (hash as usize).checked_rem(others.len())?;
    others.get(index).copied()
}

/// Follows one connection until it fails. A remote agent is followed for a
/// limited time, so that the local one is retried.
async fn follow_connected(state: &State, agent: &AgentApiClient, is_local: bool) {
    // A restarted agent numbers its host lists from the start.
    let mut known = KnownView {
        config_version: state.view.load().config_version,
        hosts_number: 0,
    };
    let started_at = Instant::now();
    while is_local || started_at.elapsed() < REMOTE_FOLLOW_LIMIT {
        let watch = agent.watch_view(tarpc::context::current(), known);
        match tokio::time::timeout(WATCH_TIMEOUT, watch).await {
            Ok(Ok(Ok(update))) => apply_update(state, update, &mut known),
            Ok(Ok(Err(error))) => {
                log::warn!(target: LOG_TARGET, "Agent rejected the request: {error}.");
                return;
            }
            Ok(Err(error)) => {
                log::debug!(target: LOG_TARGET, "Agent connection failed: {error}.");
                return;
            }
            Err(_) => {
                log::debug!(target: LOG_TARGET, "Agent timed out.");
                return;
            }
        }
    }
}

/// Applies an update. Older configurations are ignored: an agent that restarted
/// during a platform outage may have one.
fn apply_update(state: &State, update: ViewUpdate, known: &mut KnownView) {
    let mut view = RouterView::clone(&state.view.load());
    view.confirmed_at = Instant::now();
    if let Some(body) = update
        .config
        .filter(|body| body.version > view.config_version)
    {
        match serde_json::from_str::<FleetConfig>(&body.json) {
            Ok(config) => {
                log::info!(target: LOG_TARGET, "Applied configuration {}.", body.version);
                view.config_version = body.version;
                view.config = Arc::new(config);
            }
            Err(error) => {
                log::error!(target: LOG_TARGET, "Invalid configuration {}: {error}.", body.version);
            }
        }
        known.config_version = body.version;
    }
    if let Some(hosts) = update.hosts {
        known.hosts_number = hosts.number;
        view.set_hosts(hosts.number, hosts.list);
        state.owners.apply_view(&view);
    }
    state.view.store(Arc::new(view));
    state.view_confirmed.notify_waiters();
}
