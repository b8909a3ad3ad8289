//! Serves routers and other agents over tarpc.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use chalkrock_process::Metrics;
use chalkrock_proto::{
    AgentApi, ByteCounter, ClaimResult, ClaimWrite, ConfigBody, ControlTraffic, Hello, KnownView,
    PROTOCOL_VERSION, PeerError, PeerUpdate, Purpose, SlotCount, SlotReply, SlotRequest,
    ViewUpdate, transport,
};
use futures::StreamExt;
use kameo::actor::ActorRef;
use tarpc::context::Context;
use tarpc::server::{BaseChannel, Channel};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

use crate::claims::ClaimBatcher;
use crate::exchange::{apply_update, build_update};
use crate::slots::Slots;
use crate::view::{AgentView, ViewActor};

const LOG_TARGET: &str = "agent.peers";
/// A watch without an update is answered after this time, as a heartbeat.
pub(crate) const HEARTBEAT: Duration = Duration::from_millis(1_000);
/// Maximum number of concurrent calls on one connection.
const MAX_CONCURRENT_CALLS: usize = 256;

/// State shared by all connections.
pub(crate) struct PeerContext {
    pub(crate) fleet_key_sha256: Arc<str>,
    pub(crate) view: watch::Receiver<Arc<AgentView>>,
    pub(crate) metrics: Metrics,
    pub(crate) slots: Arc<Slots>,
    pub(crate) claims: ClaimBatcher,
    pub(crate) view_actor: ActorRef<ViewActor>,
    pub(crate) traffic: Arc<ControlTraffic>,
}

/// A connection of a router or agent.
#[derive(Clone)]
struct Connection {
    shared: Arc<PeerContext>,
    peer: SocketAddr,
    hello: Arc<Mutex<Option<Hello>>>,
    count: Arc<ByteCounter>,
}

/// Accepts connections until dropped.
pub(crate) async fn serve(listener: TcpListener, shared: Arc<PeerContext>) {
    loop {
        match listener.accept().await {
            Ok((stream, peer)) => {
                tokio::spawn(serve_connection(stream, peer, shared.clone()));
            }
            Err(error) => {
                log::warn!(target: LOG_TARGET, "Could not accept a connection: {error}.");
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
        }
    }
}

async fn serve_connection(stream: TcpStream, peer: SocketAddr, shared: Arc<PeerContext>) {
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!(target: LOG_TARGET, "Cannot set TCP_NODELAY for {peer}: {error}.");
    }
    let count = Arc::new(ByteCounter::default());
    let connection = Connection {
        shared,
        peer,
        hello: Arc::new(Mutex::new(None)),
        count: count.clone(),
    };
    let metrics = connection.shared.metrics.clone();
    let channel = BaseChannel::with_defaults(transport(stream, count));
    let calls = channel
        .requests()
        .map(|request| request.map(|r| r.execute(connection.clone().serve())));
    calls
        .for_each_concurrent(MAX_CONCURRENT_CALLS, |call| async {
            match call {
                Ok(answering) => answering.await,
                Err(error) => {
                    log::warn!(target: LOG_TARGET, "Invalid message from {peer}: {error}.");
                    metrics.count("peers_refused_total", "why=\"garbage\"", 1);
                }
            }
        })
        .await;
}

impl Connection {
    fn reject(&self, error: PeerError, label: &str) -> PeerError {
        log::warn!(target: LOG_TARGET, "Rejected peer {}: {error}.", self.peer);
        let labels = format!("why=\"{label}\"");
        self.shared.metrics.count("peers_refused_total", &labels, 1);
        error
    }

    fn check_purpose(&self, purpose: Purpose) -> Result<Hello, PeerError> {
        let hello = self
            .hello
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone();
        match hello {
            Some(hello) if hello.purpose == purpose => Ok(hello),
            _ => Err(self.reject(PeerError::NoHello, "no-hello")),
        }
    }
}

impl AgentApi for Connection {
    async fn hello(self, _: Context, hello: Hello) -> Result<(), PeerError> {
        if hello.protocol_version != PROTOCOL_VERSION {
            return Err(self.reject(PeerError::WrongVersion, "version"));
        }
        if hello.fleet_key_sha256 != self.shared.fleet_key_sha256 {
            return Err(self.reject(PeerError::WrongFleet, "fleet"));
        }
        if hello.purpose == Purpose::Slots {
            self.shared.slots.reset_holder(&hello.host);
        }
        self.shared
            .traffic
            .add_counter(hello.purpose, self.count.clone());
        *self.hello.lock().unwrap_or_else(PoisonError::into_inner) = Some(hello);
        Ok(())
    }

    async fn watch_view(self, _: Context, known: KnownView) -> Result<ViewUpdate, PeerError> {
        self.check_purpose(Purpose::View)?;
        let mut view = self.shared.view.clone();
        let newer = view.wait_for(|view| view.newer_than(known).is_some());
        let update = match tokio::time::timeout(HEARTBEAT, newer).await {
            Ok(Ok(view)) => view.newer_than(known),
            _ => None,
        };
        Ok(update.unwrap_or_default())
    }

    async fn ask_slot(self, _: Context, ask: SlotRequest) -> Result<SlotReply, PeerError> {
        let hello = self.check_purpose(Purpose::Slots)?;
        let answer = self.shared.slots.request_slot(ask, &hello.host).await;
        self.shared
            .metrics
            .count("slot_asks_total", slot_label(answer), 1);
        Ok(answer)
    }

    async fn return_slots(self, _: Context, returns: Vec<SlotCount>) -> Result<(), PeerError> {
        let hello = self.check_purpose(Purpose::Slots)?;
        self.shared.slots.return_slots(&returns, &hello.host);
        Ok(())
    }

    async fn adopt_slots(self, _: Context, held: Vec<SlotCount>) -> Result<(), PeerError> {
        let hello = self.check_purpose(Purpose::Slots)?;
        self.shared.slots.adopt_slots(&held, &hello.host);
        Ok(())
    }

    async fn exchange(self, _: Context, update: PeerUpdate) -> Result<PeerUpdate, PeerError> {
        self.check_purpose(Purpose::Exchange)?;
        apply_update(&update, &self.shared.slots, &self.shared.view_actor).await;
        let view = self.shared.view.borrow().clone();
        Ok(build_update(&view, &self.shared.slots))
    }

    async fn write_claim(self, _: Context, write: ClaimWrite) -> Result<ClaimResult, PeerError> {
        self.check_purpose(Purpose::Claims)?;
        Ok(self.shared.claims.write(write).await)
    }

    async fn config_body(self, _: Context) -> Result<Option<ConfigBody>, PeerError> {
        self.check_purpose(Purpose::Exchange)?;
        Ok(self.shared.view.borrow().config.clone())
    }
}

fn slot_label(answer: SlotReply) -> &'static str {
    match answer {
        SlotReply::Granted { .. } => "answer=\"granted\"",
        SlotReply::AtBound { .. } => "answer=\"at-bound\"",
        SlotReply::OverShare { .. } => "answer=\"over-share\"",
        SlotReply::Leaving => "answer=\"leaving\"",
        SlotReply::NotOwner => "answer=\"not-owner\"",
    }
}
