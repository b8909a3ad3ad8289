//! Starts a gateway's tasks and runs them until it has stopped.

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

use crate::build_records::keep_build_records;
use crate::config::GatewayConfig;
use crate::crash_checks::check_crash_signs;
use crate::edge::Edge;
use crate::event_log::{Event, EventLog, write_lines};
use crate::follow::follow;
use crate::forward::serve_forwarded;
use crate::front::accept;
use crate::lag::measure_lag;
use crate::outage_log::OutageLog;
use crate::peers::{
    PeerTable, check_list, exchange_reachability, publish, pull_at_start, pull_when_outdated,
    receive, serve_pulls, zone_hash,
};
use crate::poison::sync_poison_records;
use crate::pool_queue::exchange_slots;
use crate::rollouts::drive_rollouts;
use crate::shared::Shared;
use crate::source::{HostRow, Source, Topic};
use crate::status::serve_status;
use crate::stream_records::sync_stream_records;
use crate::suspension::refresh_after_suspensions;

/// Interval between sweeps of the pooled connections.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);
/// Interval at which the phase of a stop is updated.
const STOP_UPDATE_INTERVAL: Duration = Duration::from_millis(50);
/// Time for the last answers to leave the process.
const FLUSH_DELAY: Duration = Duration::from_millis(60);
/// Time without a message after which a starting host looks for others in the store.
const ISOLATION_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Interval at which a starting host checks for messages.
const ISOLATION_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Time that a host takes to learn from others which are subscribers.
const SETTLE_DELAY: Duration = Duration::from_millis(2_000);
/// Most further ports to try while the assigned one is in use for datagrams. If half of all
/// ports are taken, one of 65,000 starts fails.
const MAX_PORT_RETRIES: u32 = 15;
/// Messages about slots that wait to be handled.
const MAX_SLOT_MESSAGES: usize = 1_024;
/// Pause before another attempt to record the host.
const JOIN_RETRY_PAUSE: Duration = Duration::from_secs(2);

/// A running gateway.
#[derive(Debug)]
pub struct RunningGateway {
    front: SocketAddr,
    status: Vec<SocketAddr>,
    peer: Option<SocketAddr>,
    forward: Option<SocketAddr>,
    ended: JoinHandle<()>,
}

impl RunningGateway {
    /// The address on which callers connect.
    pub fn front_address(&self) -> SocketAddr {
        self.front
    }

    /// The addresses that serve readiness and metrics, in the order of the settings.
    pub fn status_addresses(&self) -> &[SocketAddr] {
        &self.status
    }

    /// The address on which other hosts connect.
    pub fn peer_address(&self) -> Option<SocketAddr> {
        self.peer
    }

    /// The address at which other hosts forward requests.
    pub fn forward_address(&self) -> Option<SocketAddr> {
        self.forward
    }

    /// Waits until the gateway has stopped.
    pub async fn ended(self) {
        let _a_panic_ends_it_too = self.ended.await;
    }
}

/// Starts a gateway, which serves until a requested stop is complete. Settings that may
/// change while it runs arrive through `reloads`.
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
    // Reads the clocks first, so that the next reading detects a suspension.
    shared.detect_suspension();
    let source = Arc::new(source);
    shared.event_log.emit(&Event::Start {
        version: env!("CARGO_PKG_VERSION"),
    });
    for topic in [Topic::Rules, Topic::Endpoints] {
        tasks.spawn(follow(shared.clone(), source.clone(), topic));
    }
    tasks.spawn(sync_poison_records(shared.clone(), source.clone()));
    let (peer, peers) = start_peers(&mut tasks, &shared, &source).await?.unzip();
    tasks.spawn(keep_build_records(shared.clone(), source.clone(), peers));
    let mut status = Vec::new();
    let addresses = [shared.config.ready_listen, shared.config.metrics_listen];
    for address in addresses.into_iter().flatten() {
        let listener = listen(address).await?;
        status.push(listener.local_addr()?);
        tasks.spawn(serve_status(shared.clone(), listener));
    }
    let listener = listen(shared.config.listen).await?;
    let front = listener.local_addr()?;
    tasks.spawn(accept(shared.clone(), listener));
    tasks.spawn(sweep_connections(shared.clone()));
    tasks.spawn(check_crash_signs(shared.clone()));
    tasks.spawn(measure_lag(shared.clone()));
    tasks.spawn(apply_reloads(shared.clone(), reloads));
    let forward = shared.forward_listen_address();
    let ended = tokio::spawn(async move {
        stop.requested().await;
        run_stop(&shared).await;
        drop(tasks);
    });
    Ok(RunningGateway {
        front,
        status,
        peer,
        forward,
        ended,
    })
}

/// Tasks that are aborted when the gateway stops.
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

/// Listens for other hosts' connections and datagrams on one port. A port that the system
/// assigns for connections may be in use for datagrams: then another is requested.
async fn listen_for_peers(
    shared: &Shared,
    address: SocketAddr,
) -> eyre::Result<(TcpListener, UdpSocket)> {
    let mut retries_left = if address.port() == 0 {
        MAX_PORT_RETRIES
    } else {
        0
    };
    loop {
        let listener = listen(address).await?;
        let bound = listener.local_addr()?;
        match UdpSocket::bind(bound).await {
            Ok(socket) => return Ok((listener, socket)),
            Err(error) if retries_left > 0 && error.kind() == ErrorKind::AddrInUse => {
                shared.event_log.emit(&Event::PortTaken { address: bound });
                retries_left -= 1;
            }
            Err(error) => {
                let message = format!("can't listen for other hosts on {bound}");
                return Err(error).wrap_err(message);
            }
        }
    }
}

async fn start_peers<S: Source>(
    tasks: &mut Tasks,
    shared: &Arc<Shared>,
    source: &Arc<S>,
) -> eyre::Result<Option<(SocketAddr, Arc<PeerTable>)>> {
    let Some(address) = shared.config.peer_listen else {
        return Ok(None);
    };
    let (listener, socket) = listen_for_peers(shared, address).await?;
    let local = listener.local_addr()?;
    let socket = Arc::new(socket);
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    let incarnation = since_epoch.map_or(0, |since| since.as_micros() as u64);
    let peers = PeerTable::new(local, &shared.config, incarnation);
    let seeds = shared.config.peer_seeds.iter();
    peers.add(seeds.map(|address| (*address, None)));
    shared.stream_origins.connect(peers.clone(), socket.clone());
    tasks.spawn(sync_stream_records(shared.clone(), source.clone()));
    tasks.spawn(publish(shared.clone(), peers.clone(), socket.clone()));
    if let Some(address) = shared.config.forward_listen {
        let listener = listen(address).await?;
        shared.set_forward_address(listener.local_addr()?);
        tasks.spawn(serve_forwarded(shared.clone(), peers.clone(), listener));
    }
    let exchange = exchange_reachability(shared.clone(), peers.clone(), socket.clone());
    tasks.spawn(exchange);
    tasks.spawn(check_list(shared.clone(), peers.clone(), socket.clone()));
    let (slot_sender, slot_messages) = mpsc::channel(MAX_SLOT_MESSAGES);
    let receiving = receive(shared.clone(), peers.clone(), socket.clone(), slot_sender);
    tasks.spawn(receiving);
    let exchange = exchange_slots(shared.clone(), peers.clone(), socket, slot_messages);
    tasks.spawn(exchange);
    tasks.spawn(serve_pulls(shared.clone(), peers.clone(), listener));
    tasks.spawn(pull_at_start(shared.clone(), peers.clone()));
    tasks.spawn(pull_when_outdated(shared.clone(), peers.clone()));
    tasks.spawn(refresh_after_suspensions(shared.clone(), peers.clone()));
    let rollouts = drive_rollouts(shared.clone(), source.clone(), peers.clone());
    tasks.spawn(rollouts);
    let row = HostRow {
        host: shared.config.host.clone(),
        zone: shared.config.zone.clone(),
        peer_address: local,
    };
    let joining = join_when_needed(shared.clone(), source.clone(), row, peers.clone());
    tasks.spawn(joining);
    Ok(Some((local, peers)))
}

/// Records the host in the store if it receives no messages or is a subscriber. Seeds
/// alone don't suffice: they may all be gone, and hosts with different seeds may form
/// separate groups, whose subscribers find each other in the store.
async fn join_when_needed<S: Source>(
    shared: Arc<Shared>,
    source: Arc<S>,
    row: HostRow,
    peers: Arc<PeerTable>,
) {
    let has_seeds = shared
        .config
        .peer_seeds
        .iter()
        .any(|seed| *seed != peers.local);
    if has_seeds
        && tokio::time::timeout(ISOLATION_TIMEOUT, wait_for_any_peer(&peers))
            .await
            .is_ok()
    {
        tokio::time::sleep(SETTLE_DELAY).await;
        shared.subscription.wait_until_subscriber().await;
    }
    loop {
        join(&shared, source.clone(), row.clone(), peers.clone()).await;
        // A store restored from a backup may lack the record.
        shared.store_restored.notified().await;
    }
}

async fn wait_for_any_peer(peers: &PeerTable) {
    while peers.any_up().is_none() {
        tokio::time::sleep(ISOLATION_CHECK_INTERVAL).await;
    }
}

/// Records the host and adds the hosts recorded so far.
async fn join<S: Source>(shared: &Shared, source: Arc<S>, row: HostRow, peers: Arc<PeerTable>) {
    let mut outage = OutageLog::new("platform-hosts");
    loop {
        match source.join(&row).await {
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
                tokio::time::sleep(JOIN_RETRY_PAUSE).await;
            }
        }
    }
}

async fn sweep_connections(shared: Arc<Shared>) {
    loop {
        tokio::time::sleep(SWEEP_INTERVAL).await;
        shared.endpoint_connections.close_expired();
    }
}

async fn apply_reloads(shared: Arc<Shared>, mut reloads: mpsc::Receiver<GatewayConfig>) {
    while let Some(config) = reloads.recv().await {
        let now_ms = shared.clock.now_ms();
        shared.fleet().set_bounds(&config, now_ms);
        shared.event_log.emit(&Event::Reload);
    }
}

/// Runs the phases of a stop.
async fn run_stop(shared: &Arc<Shared>) {
    shared.request_stop();
    loop {
        shared.update_stop();
        if shared.stop_phase() == Some(DrainPhase::Exiting) {
            break;
        }
        tokio::time::sleep(STOP_UPDATE_INTERVAL).await;
    }
    tokio::time::sleep(FLUSH_DELAY).await;
}
