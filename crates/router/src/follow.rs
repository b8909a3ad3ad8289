//! Follows the agent's view, and reconnects when the agent restarts.

use std::sync::Arc;
use std::time::Duration;

use chalkrock_core::{FleetConfig, HostId};
use chalkrock_proto::{
    AgentApiClient, ByteCount, Hello, KnownView, PROTOCOL_VERSION, Purpose, ViewUpdate, connect,
};
use tokio::time::Instant;

use crate::state::State;
use crate::view::RouterView;

const PART: &str = "router.view";
/// Pause after a failed connection.
const RECONNECT_PAUSE: Duration = Duration::from_millis(100);

/// The hello of this router for a purpose.
pub(crate) fn hello(host: &HostId, fleet_key_sha256: &Arc<str>, purpose: Purpose) -> Hello {
    Hello {
        protocol_version: PROTOCOL_VERSION,
        fleet_key_sha256: fleet_key_sha256.clone(),
        host: host.clone(),
        purpose,
    }
}

/// Follows the agent until dropped.
pub(crate) async fn follow(state: Arc<State>) {
    let count = Arc::new(ByteCount::default());
    loop {
        let hello = hello(&state.settings.host, &state.fleet_key_sha256, Purpose::View);
        match connect(state.settings.agent_address, hello, count.clone()).await {
            Ok(agent) => {
                log::info!(target: PART, "Agent connected.");
                follow_connected(&state, &agent).await;
                log::warn!(target: PART, "Agent lost. Serving on the last view.");
            }
            Err(error) => log::debug!(target: PART, "No agent: {error}."),
        }
        tokio::time::sleep(RECONNECT_PAUSE).await;
    }
}

/// Follows one connection until it breaks.
async fn follow_connected(state: &State, agent: &AgentApiClient) {
    // A restarted agent counts its host lists anew.
    let mut known = KnownView {
        config_version: state.view.load().config_version,
        hosts_number: 0,
    };
    loop {
        match agent.watch_view(tarpc::context::current(), known).await {
            Ok(Ok(update)) => take(state, update, &mut known),
            Ok(Err(error)) => {
                log::warn!(target: PART, "Agent refused: {error}.");
                return;
            }
            Err(error) => {
                log::debug!(target: PART, "Agent connection: {error}.");
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
    }
    state.view.store(Arc::new(view));
}
