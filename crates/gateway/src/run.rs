//! Composes a gateway and runs it until it has stopped.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use chalkrock_process::Stop;
use chalkrock_routing::DrainPhase;
use eyre::WrapErr;
use tokio::net::{TcpListener, UdpSocket};
use tokio::sync::mpsc;
use tokio::task::{AbortHandle, JoinHandle};

use crate::config::GatewayConfig;
use crate::edge::Edge;
use crate::event_log::{Event, EventLog, write_lines};
use crate::follow::follow;
use crate::front::accept;
use crate::lag::measure_lag;
use crate::outage_log::OutageLog;
use crate::peers::{
    PeerTable, publish, pull_at_start, pull_when_outdated, receive, serve_pulls, zone_hash,
};
use crate::poison::sync_poison_records;
use crate::rollouts::drive_rollouts;
use crate::shared::Shared;
use crate::source::{HostRow, Source, Topic};
use crate::status::answer_status;
use crate::suspension::refresh_after_suspensions;

/// How often kept connections are looked through.
const SWEEP_EVERY: Duration = Duration::from_secs(1);
/// How often a stop is looked at.
const STOP_STEP: Duration = Duration::from_millis(50);
/// How long the last answers may take to leave the process.
const LAST_BYTES: Duration = Duration::from_millis(60);
/// Time without a word of others after which a host that starts looks for them
/// at the platform.
const LONELY_AFTER: Duration = Duration::from_millis(1_000);
/// How often it looks whether it hears any.
const LONELY_LOOK: Duration = Duration::from_millis(100);
/// Time after which a host that hears others knows who reads the platform.
const SETTLED_AFTER: Duration = Duration::from_millis(2_000);
/// Further ports that a host asks for which may listen on any, while others hold those it
/// is given for datagrams. Where others hold half of all, one of 65,000 starts fails.
const ANY_PORT_TRIES: u32 = 15;
/// Pauses between tries to record the host.
const JOIN_PAUSE: Duration = Duration::from_secs(2);

/// A gateway that serves.
#[derive(Debug)]
pub struct RunningGateway {
    front: SocketAddr,
    status: Vec<SocketAddr>,
    peer: Option<SocketAddr>,
    ended: JoinHandle<()>,
}

impl RunningGateway {
    /// Where callers connect.
    pub fn front_address(&self) -> SocketAddr {
        self.front
    }

    /// Where readiness and metrics are asked, in the order of the settings.
    pub fn status_addresses(&self) -> &[SocketAddr] {
        &self.status
    }

    /// Where other hosts are heard.
    pub fn peer_address(&self) -> Option<SocketAddr> {
        self.peer
    }

    /// Waits until a stop was asked for and has come to its end.
    pub async fn ended(self) {
        let _a_panic_ends_it_too = self.ended.await;
    }
}

/// Starts a gateway. It serves until a stop was asked for and has come to its
/// end. Settings that may change while it runs arrive through `reloads`.
///
/// # Errors
///
/// If an address can't be listened on.
pub async fn start<S: Source>(
    config: GatewayConfig,
    edge: Box<dyn Edge>,
    source: S,
    stop: Stop,
    reloads: mpsc::Receiver<GatewayConfig>,
) -> eyre::Result<RunningGateway> {
    let (event_log, lines) = EventLog::new(config.host.clone());
    let mut tasks = Tasks::default();
    tasks.spawn(write_lines(lines));
    let shared = Shared::new(config, edge, event_log);
    // The first look at the clocks: a pause that begins before the next one shows.
    shared.detect_suspension();
    let source = Arc::new(source);
    shared.event_log.emit(&Event::Start {
        version: env!("CARGO_PKG_VERSION"),
    });
    for topic in [Topic::Rules, Topic::Endpoints] {
        tasks.spawn(follow(shared.clone(), source.clone(), topic));
    }
    tasks.spawn(sync_poison_records(shared.clone(), source.clone()));
    let peer = start_peers(&mut tasks, &shared, &source).await?;
    let mut status = Vec::new();
    let asked = [shared.config.ready_listen, shared.config.metrics_listen];
    for address in asked.into_iter().flatten() {
        let listener = listen(address).await?;
        status.push(listener.local_addr()?);
        tasks.spawn(answer_status(shared.clone(), listener));
    }
    let listener = listen(shared.config.listen).await?;
    let front = listener.local_addr()?;
    tasks.spawn(accept(shared.clone(), listener));
    tasks.spawn(sweep(shared.clone()));
    tasks.spawn(measure_lag(shared.clone()));
    tasks.spawn(take_reloads(shared.clone(), reloads));
    let ended = tokio::spawn(async move {
        stop.asked().await;
        end(&shared).await;
        drop(tasks);
    });
    Ok(RunningGateway {
        front,
        status,
        peer,
        ended,
    })
}

/// Tasks that end with the gateway.
#[derive(Default)]
struct Tasks(Vec<AbortHandle>);

impl Tasks {
    fn spawn(&mut self, task: impl Future<Output = ()> + Send + 'static) {
        self.0.push(tokio::spawn(task).abort_handle());
    }
}

impl Drop for Tasks {
    fn drop(&mut self) {
        self.0.iter().for_each(AbortHandle::abort);
    }
}

async fn listen(address: SocketAddr) -> eyre::Result<TcpListener> {
    TcpListener::bind(address)
        .await
        .wrap_err_with(|| format!("can't listen on {address}"))
}

/// Listens for other hosts' connections and datagrams by one port. Where any port will
/// do, the system gives one that is free for connections: others may hold it for
/// datagrams, and another is asked for.
async fn listen_for_peers(
    shared: &Shared,
    wanted: SocketAddr,
) -> eyre::Result<(TcpListener, UdpSocket)> {
    let mut more_tries = if wanted.port() == 0 {
        ANY_PORT_TRIES
    } else {
        0
    };
    loop {
        let listener = listen(wanted).await?;
        let own = listener.local_addr()?;
        match UdpSocket::bind(own).await {
            Ok(socket) => return Ok((listener, socket)),
            Err(error) if more_tries > 0 && error.kind() == ErrorKind::AddrInUse => {
                shared.event_log.emit(&Event::PortTaken { address: own });
                more_tries -= 1;
            }
            Err(error) => {
                let message = format!("can't listen for other hosts on {own}");
                return Err(error).wrap_err(message);
            }
        }
    }
}

async fn start_peers<S: Source>(
    tasks: &mut Tasks,
    shared: &Arc<Shared>,
    source: &Arc<S>,
) -> eyre::Result<Option<SocketAddr>> {
    let Some(wanted) = shared.config.peer_listen else {
        return Ok(None);
    };
    let (listener, socket) = listen_for_peers(shared, wanted).await?;
    let own = listener.local_addr()?;
    let socket = Arc::new(socket);
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    let incarnation = since_epoch.map_or(0, |since| since.as_micros() as u64);
    let peers = PeerTable::new(own, &shared.config, incarnation);
    let seeds = shared.config.peer_seeds.iter();
    peers.add(seeds.map(|address| (*address, None)));
    tasks.spawn(publish(shared.clone(), peers.clone(), socket.clone()));
    tasks.spawn(receive(shared.clone(), peers.clone(), socket));
    tasks.spawn(serve_pulls(shared.clone(), peers.clone(), listener));
    tasks.spawn(pull_at_start(shared.clone(), peers.clone()));
    tasks.spawn(pull_when_outdated(shared.clone(), peers.clone()));
    tasks.spawn(refresh_after_suspensions(shared.clone(), peers.clone()));
    let rollouts = drive_rollouts(shared.clone(), source.clone(), peers.clone());
    tasks.spawn(rollouts);
    let row = HostRow {
        host: shared.config.host.clone(),
        zone: shared.config.zone.clone(),
        peer_address: own,
    };
    tasks.spawn(join_when_needed(shared.clone(), source.clone(), row, peers));
    Ok(Some(own))
}

/// Records the host where others can't find it without: if it hears no one, or
/// if it reads the platform for others. Hosts find each other through those of
/// their settings; but these may all be gone, and hosts that know of different
/// ones may not know of each other. Some of each such group read the platform,
/// and so find the others.
async fn join_when_needed<S: Source>(
    shared: Arc<Shared>,
    source: Arc<S>,
    own: HostRow,
    peers: Arc<PeerTable>,
) {
    let has_seeds = shared
        .config
        .peer_seeds
        .iter()
        .any(|seed| *seed != peers.own);
    if has_seeds
        && tokio::time::timeout(LONELY_AFTER, hears_any(&peers))
            .await
            .is_ok()
    {
        tokio::time::sleep(SETTLED_AFTER).await;
        shared.subscription.wait_until_subscriber().await;
    }
    loop {
        join(&shared, source.clone(), own.clone(), peers.clone()).await;
        // The store came back from a copy: the record may be gone.
        shared.store_restored.notified().await;
    }
}

async fn hears_any(peers: &PeerTable) {
    while peers.any().is_none() {
        tokio::time::sleep(LONELY_LOOK).await;
    }
}

/// Records the host and learns of the others, once.
async fn join<S: Source>(shared: &Shared, source: Arc<S>, own: HostRow, peers: Arc<PeerTable>) {
    let mut outage = OutageLog::new("platform-hosts");
    loop {
        match source.join(&own).await {
            Ok(rows) => {
                outage.worked(shared);
                peers.add(
                    rows.iter()
                        .map(|row| (row.peer_address, Some(zone_hash(&row.zone)))),
                );
                return;
            }
            Err(error) => {
                outage.failed(shared, &error);
                tokio::time::sleep(JOIN_PAUSE).await;
            }
        }
    }
}

async fn sweep(shared: Arc<Shared>) {
    loop {
        tokio::time::sleep(SWEEP_EVERY).await;
        shared.idle_connections.close_expired();
    }
}

async fn take_reloads(shared: Arc<Shared>, mut reloads: mpsc::Receiver<GatewayConfig>) {
    while let Some(config) = reloads.recv().await {
        shared.fleet().set_bounds(&config);
        shared.event_log.emit(&Event::Reload);
    }
}

/// Takes the host through its stop.
async fn end(shared: &Arc<Shared>) {
    shared.request_stop();
    loop {
        shared.update_stop();
        if shared.stop_phase() == Some(DrainPhase::Ends) {
            break;
        }
        tokio::time::sleep(STOP_STEP).await;
    }
    tokio::time::sleep(LAST_BYTES).await;
}
