//! The exchange between agents: loads, versions, leaving endpoints.
//!
//! One peer a round, picked at random: news reaches n hosts in about log2(n)
//! rounds, whoever is away. Rounds are as frequent as the budget allows.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use chalkrock_core::{Host, HostId, HostState};
use chalkrock_proto::{
    AgentApiClient, Hello, LeavingEndpoint, PROTOCOL_VERSION, PeerUpdate, Purpose, Traffic, connect,
};
use kameo::actor::ActorRef;
use rand::RngExt;
use tarpc::context;
use tokio::sync::watch;

use crate::slots::Slots;
use crate::view::{AgentView, SawLeaving, TakeConfig, ViewKeeper};

const PART: &str = "agent.exchange";
/// Rounds of a small fleet, where a message is small.
const SMALL_FLEET_EVERY: Duration = Duration::from_millis(250);
/// Rounds of a large fleet.
const LARGE_FLEET_EVERY: Duration = Duration::from_millis(3_000);
/// Hosts up to which a fleet is small.
const SMALL_FLEET_HOSTS: usize = 16;
/// How long a round may take.
const ROUND_TIMEOUT: Duration = Duration::from_secs(2);

/// What the exchange needs.
pub(crate) struct Exchange {
    pub(crate) host: HostId,
    pub(crate) fleet_key_sha256: Arc<str>,
    pub(crate) slots: Arc<Slots>,
    pub(crate) keeper: ActorRef<ViewKeeper>,
    pub(crate) view: watch::Receiver<Arc<AgentView>>,
    pub(crate) traffic: Arc<Traffic>,
}

/// PeerUpdate for a peer, from a view and the slots.
pub(crate) fn news_of(view: &AgentView, slots: &Slots) -> PeerUpdate {
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

/// Takes a peer's news over, but for its configuration.
pub(crate) async fn take_news(news: &PeerUpdate, slots: &Slots, keeper: &ActorRef<ViewKeeper>) {
    slots.merge(&news.loads);
    for leaving in &news.leaving {
        let seen = SawLeaving {
            endpoint: leaving.endpoint.clone(),
            incarnation: leaving.incarnation,
        };
        let _keeper_gone = keeper.tell(seen).await;
    }
}

impl Exchange {
    /// Exchanges until dropped.
    pub(crate) async fn run(self) {
        let mut clients: HashMap<SocketAddr, AgentApiClient> = HashMap::new();
        loop {
            let peers = self.peers();
            let small = peers.len() < SMALL_FLEET_HOSTS;
            let every = if small {
                SMALL_FLEET_EVERY
            } else {
                LARGE_FLEET_EVERY
            };
            // Spread over the interval, so that hosts do not march in step.
            let pause = every.mul_f64(rand::rng().random_range(0.75..1.25));
            tokio::time::sleep(pause).await;
            if peers.is_empty() {
                continue;
            }
            let peer = &peers[rand::rng().random_range(0..peers.len())];
            let round = self.round(peer, &mut clients);
            if tokio::time::timeout(ROUND_TIMEOUT, round).await.is_err() {
                log::debug!(target: PART, "Host {} is slow.", peer.name);
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
        let news = news_of(&view, &self.slots);
        let answer = match client.exchange(context::current(), news).await {
            Ok(Ok(answer)) => answer,
            Ok(Err(error)) => {
                log::warn!(target: PART, "Host {} refused: {error}.", peer.name);
                return;
            }
            Err(error) => {
                log::debug!(target: PART, "Host {} lost: {error}.", peer.name);
                clients.remove(&peer.agent_address);
                return;
            }
        };
        take_news(&answer, &self.slots, &self.keeper).await;
        if answer.config_version > view.config_version()
            && let Ok(Ok(Some(body))) = client.config_body(context::current()).await
        {
            let _keeper_gone = self.keeper.tell(TakeConfig(body)).await;
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
        let count = self.traffic.open(Purpose::Exchange);
        match connect(peer.agent_address, hello, count).await {
            Ok(client) => {
                clients.insert(peer.agent_address, client.clone());
                Some(client)
            }
            Err(error) => {
                log::debug!(target: PART, "{error}.");
                None
            }
        }
    }
}
