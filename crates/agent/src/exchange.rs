//! Gossip between agents: loads, configuration versions and leaving endpoints.
//!
//! Each round contacts one random peer, so that an update reaches n hosts in
//! about log2(n) rounds even if some hosts are unavailable.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use chalkrock_core::{Host, HostId, HostState};
use chalkrock_proto::{
    AgentApiClient, ControlTraffic, Hello, LeavingEndpoint, PROTOCOL_VERSION, PeerUpdate, Purpose,
    connect,
};
use kameo::actor::ActorRef;
use rand::RngExt;
use tarpc::context;
use tokio::sync::watch;

use crate::slots::Slots;
use crate::view::{AgentView, ApplyConfig, MarkLeaving, ViewActor};

const LOG_TARGET: &str = "agent.exchange";
/// Interval of rounds in a small fleet, where messages are small.
const SMALL_FLEET_INTERVAL: Duration = Duration::from_millis(250);
/// Interval of rounds in a large fleet.
const LARGE_FLEET_INTERVAL: Duration = Duration::from_millis(3_000);
/// Peers from which a fleet counts as large.
const MIN_LARGE_FLEET_PEERS: usize = 16;
/// Timeout of a round.
const ROUND_TIMEOUT: Duration = Duration::from_secs(2);

/// Exchanges updates with random peers.
pub(crate) struct Exchange {
    pub(crate) host: HostId,
    pub(crate) fleet_key_sha256: Arc<str>,
    pub(crate) slots: Arc<Slots>,
    pub(crate) view_actor: ActorRef<ViewActor>,
    pub(crate) view: watch::Receiver<Arc<AgentView>>,
    pub(crate) traffic: Arc<ControlTraffic>,
}

/// Builds the update for a peer.
pub(crate) fn build_update(view: &AgentView, slots: &Slots) -> PeerUpdate {
    let endpoints = view.hosts.iter().flat_map(|hosts| &hosts.list.endpoints);
    let leaving = endpoints
        .filter(|e| e.state == HostState::Leaving)
        .map(|e| LeavingEndpoint {
            endpoint: e.name.clone(),
            incarnation: e.incarnation,
        });
    PeerUpdate {
        config_version: view.config_version(),
        leaving: leaving.collect(),
        loads: slots.loads(),
    }
}

/// Applies a peer's update, except for its configuration.
pub(crate) async fn apply_update(
    update: &PeerUpdate,
    slots: &Slots,
    view_actor: &ActorRef<ViewActor>,
) {
    slots.merge_loads(&update.loads);
    for leaving in &update.leaving {
        let message = MarkLeaving {
            endpoint: leaving.endpoint.clone(),
            incarnation: leaving.incarnation,
        };
        let _stopped = view_actor.tell(message).await;
    }
}

impl Exchange {
    /// Runs rounds until dropped.
    pub(crate) async fn run(self) {
        let mut clients: HashMap<SocketAddr, AgentApiClient> = HashMap::new();
        loop {
            let peers = self.peers();
            let is_small = peers.len() < MIN_LARGE_FLEET_PEERS;
            let period = if is_small {
                SMALL_FLEET_INTERVAL
            } else {
                LARGE_FLEET_INTERVAL
            };
            // Jitter avoids synchronised rounds.
            let pause = period.mul_f64(rand::rng().random_range(0.75..1.25));
            tokio::time::sleep(pause).await;
            if peers.is_empty() {
                continue;
            }
            let peer = &peers[rand::rng().random_range(0..peers.len())];
            let round = self.round(peer, &mut clients);
            if tokio::time::timeout(ROUND_TIMEOUT, round).await.is_err() {
                log::debug!(target: LOG_TARGET, "Exchange with host {} timed out.", peer.name);
                clients.remove(&peer.agent_address);
            }
        }
    }

    fn peers(&self) -> Vec<Host> {
        let view = self.view.borrow();
        let hosts = view.hosts.iter().flat_map(|hosts| &hosts.list.hosts);
        hosts
            .filter(|host| host.name != self.host)
            .cloned()
            .collect()
    }

    async fn round(&self, peer: &Host, clients: &mut HashMap<SocketAddr, AgentApiClient>) {
        let Some(client) = self.client(peer, clients).await else {
            return;
        };
        let view = self.view.borrow().clone();
        let update = build_update(&view, &self.slots);
        let answer = match client.exchange(context::current(), update).await {
            Ok(Ok(answer)) => answer,
            Ok(Err(error)) => {
                log::warn!(target: LOG_TARGET, "Host {} rejected the exchange: {error}.", peer.name);
                return;
            }
            Err(error) => {
                log::debug!(target: LOG_TARGET, "Lost connection to host {}: {error}.", peer.name);
                clients.remove(&peer.agent_address);
                return;
            }
        };
        apply_update(&answer, &self.slots, &self.view_actor).await;
        if answer.config_version > view.config_version()
            && let Ok(Ok(Some(body))) = client.config_body(context::current()).await
        {
            let _stopped = self.view_actor.tell(ApplyConfig(body)).await;
        }
    }

    async fn client(
        &self,
        peer: &Host,
        clients: &mut HashMap<SocketAddr, AgentApiClient>,
    ) -> Option<AgentApiClient> {
        if let Some(client) = clients.get(&peer.agent_address) {
            return Some(client.clone());
        }
        let hello = Hello {
            protocol_version: PROTOCOL_VERSION,
            fleet_key_sha256: self.fleet_key_sha256.clone(),
            host: self.host.clone(),
            purpose: Purpose::Exchange,
        };
        let count = self.traffic.new_counter(Purpose::Exchange);
        match connect(peer.agent_address, hello, count).await {
            Ok(client) => {
                clients.insert(peer.agent_address, client.clone());
                Some(client)
            }
            Err(error) => {
                log::debug!(target: LOG_TARGET, "{error}.");
                None
            }
        }
    }
}
