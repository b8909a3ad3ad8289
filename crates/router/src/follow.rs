//! Follows the agent's view, and reconnects when the agent restarts.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use chalkrock_core::FleetConfig;
use chalkrock_proto::{AgentApiClient, KnownView, Purpose, ViewUpdate, connect};
use tokio::time::Instant;

use crate::state::{State, hello};
use crate::view::RouterView;

const PART: &str = "router.view";
/// Pause after a failed connection.
const RECONNECT_PAUSE: Duration = Duration::from_millis(100);
/// An agent that is silent longer is away: it answers each second.
const WATCH_TIMEOUT: Duration = Duration::from_millis(2_500);
/// How long another host's agent is followed before the own one is tried.
const FOLLOW_OTHER_FOR: Duration = Duration::from_secs(5);

/// Follows the agent beside this router until dropped; while that one is
/// away, the agent of another host of the last view.
pub(crate) async fn follow(state: Arc<State>) {
    let own = state.settings.agent_address;
    loop {
        for address in [Some(own), other_agent(&state, own)].into_iter().flatten() {
            let hello = hello(&state.settings.host, &state.fleet_key_sha256, Purpose::View);
            let count = state.traffic.open(Purpose::View);
            match connect(address, hello, count).await {
                Ok(agent) => {
                    log::info!(target: PART, "Following agent {address}.");
                    follow_connected(&state, &agent, address == own).await;
                    log::warn!(target: PART, "Agent {address} lost. Serving on the last view.");
                }
                Err(error) => log::debug!(target: PART, "No agent: {error}."),
            }
        }
        tokio::time::sleep(RECONNECT_PAUSE).await;
    }
}

fn other_agent(state: &State, own: SocketAddr) -> Option<SocketAddr> {
    let view = state.view.load();
    let others = view.hosts.hosts.iter().map(|host| host.agent_address);
    let others: Vec<_> = others.filter(|address| *address != own).collect();
    // Routers spread over the agents by their own name.
    let turn = chalkrock_core::rendezvous::MemberHash::of(state.settings.host.as_str()).0;
    let pick = (turn as usize).checked_rem(others.len())?;
    others.get(pick).copied()
}

/// Follows one connection until it breaks; another host's agent only for a
/// while, so that the own one is tried again.
async fn follow_connected(state: &State, agent: &AgentApiClient, is_own: bool) {
    // A restarted agent counts its host lists anew.
    let mut known = KnownView {
        config_version: state.view.load().config_version,
        hosts_number: 0,
    };
    let since = Instant::now();
    while is_own || since.elapsed() < FOLLOW_OTHER_FOR {
        let watch = agent.watch_view(tarpc::context::current(), known);
        match tokio::time::timeout(WATCH_TIMEOUT, watch).await {
            Ok(Ok(Ok(update))) => take(state, update, &mut known),
            Ok(Ok(Err(error))) => {
                log::warn!(target: PART, "Agent refused: {error}.");
                return;
            }
            Ok(Err(error)) => {
                log::debug!(target: PART, "Agent connection: {error}.");
                return;
            }
            Err(_) => {
                log::debug!(target: PART, "Agent does not answer.");
                return;
            }
        }
    }
}

/// Takes an update over. Configuration versions only rise, whatever an agent
/// offers: one that restarted in a platform outage may know less than we do.
fn take(state: &State, update: ViewUpdate, known: &mut KnownView) {
    let mut view = RouterView::clone(&state.view.load());
    view.confirmed_at = Instant::now();
    if let Some(body) = update
        .config
        .filter(|body| body.version > view.config_version)
    {
        match serde_json::from_str::<FleetConfig>(&body.json) {
            Ok(config) => {
                log::info!(target: PART, "Configuration {} in force.", body.version);
                view.config_version = body.version;
                view.config = Arc::new(config);
            }
            Err(error) => {
                log::error!(target: PART, "Configuration {} can't be read: {error}.", body.version);
            }
        }
        known.config_version = body.version;
    }
    if let Some(hosts) = update.hosts {
        known.hosts_number = hosts.number;
        view.set_hosts(hosts.number, hosts.list);
        state.owners.take_view(&view);
    }
    state.view.store(Arc::new(view));
    state.view_confirmed.notify_waiters();
}
