//! A fleet of many gateways in one process, and a store that limits their calls.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicU16, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use chalkrock_core::PoolId;
use chalkrock_gateway::{
    BuildRecordWrite, BuildRecords, GatewayConfig, GatewayConfigBuilder, HostRow, PoisonRow,
    ReceivedBytes, RolloutWrite, RunningGateway, Source, SourceError, SourceUpdate,
    StreamRecordRow, Topic, start,
};
use chalkrock_process::{StopHandle, stop_pair};
use chalkrock_routing::{BuildRecord, RequestFingerprint, RolloutRecord, StoreClock, StoreVersion};
use tokio::sync::mpsc;
use tokio::time::Instant;

use super::fleet::config;
use super::{Call, TestSource};

/// Size of a row in the store's responses.
const ROW_BYTES: usize = 300;
const POLL_INTERVAL: Duration = Duration::from_millis(10);

struct Limit {
    second: u64,
    calls: u32,
}

/// A store that rejects calls beyond a number in each second, and counts bytes.
#[derive(Clone)]
pub(crate) struct LimitedSource {
    pub(crate) store: TestSource,
    calls_per_s: Arc<AtomicU32>,
    began_at: Instant,
    window: Arc<Mutex<Limit>>,
    rejected: Arc<AtomicU32>,
    pub(crate) read_bytes: Arc<AtomicU64>,
}

impl LimitedSource {
    pub(crate) fn new(store: TestSource, calls_per_s: u32) -> Self {
        Self {
            store,
            calls_per_s: Arc::new(AtomicU32::new(calls_per_s)),
            began_at: Instant::now(),
            window: Arc::new(Mutex::new(Limit {
                second: 0,
                calls: 0,
            })),
            rejected: Arc::default(),
            read_bytes: Arc::default(),
        }
    }

    /// Sets the limit; 0 rejects all calls.
    pub(crate) fn set_calls_per_s(&self, calls_per_s: u32) {
        self.calls_per_s.store(calls_per_s, Ordering::Relaxed);
    }

    /// Returns the number of rejected calls.
    pub(crate) fn rejected(&self) -> u32 {
        self.rejected.load(Ordering::Relaxed)
    }

    fn admit(&self) -> Result<(), SourceError> {
        let second = self.began_at.elapsed().as_secs();
        let mut window = self.window.lock().unwrap_or_else(PoisonError::into_inner);
        if window.second != second {
            *window = Limit { second, calls: 0 };
        }
        window.calls += 1;
        if window.calls <= self.calls_per_s.load(Ordering::Relaxed) {
            return Ok(());
        }
        self.rejected.fetch_add(1, Ordering::Relaxed);
        Err(SourceError::Unavailable("too many calls".to_owned()))
    }

    fn count(&self, update: SourceUpdate, arrival: &ReceivedBytes) -> SourceUpdate {
        let bytes = update.rows.len() * ROW_BYTES;
        arrival.record(bytes);
        self.read_bytes.fetch_add(bytes as u64, Ordering::Relaxed);
        update
    }
}

impl Source for LimitedSource {
    async fn read(
        &self,
        topic: Topic,
        arrival: &ReceivedBytes,
    ) -> Result<SourceUpdate, SourceError> {
        self.admit()?;
        let update = self.store.read(topic, &ReceivedBytes::default()).await?;
        Ok(self.count(update, arrival))
    }

    async fn changes(
        &self,
        topic: Topic,
        since: StoreVersion,
        wait_ms: u64,
        arrival: &ReceivedBytes,
    ) -> Result<SourceUpdate, SourceError> {
        self.admit()?;
        let ignored = ReceivedBytes::default();
        let update = self.store.changes(topic, since, wait_ms, &ignored).await?;
        Ok(self.count(update, arrival))
    }

    async fn join(&self, host: &HostRow) -> Result<Vec<HostRow>, SourceError> {
        self.admit()?;
        self.store.join(host).await
    }

    async fn poison(&self) -> Result<Vec<PoisonRow>, SourceError> {
        self.admit()?;
        self.store.poison().await
    }

    async fn record_poison(
        &self,
        add: &[PoisonRow],
        remove: &[RequestFingerprint],
    ) -> Result<(), SourceError> {
        self.admit()?;
        self.store.record_poison(add, remove).await
    }

    fn clock(&self) -> Option<StoreClock> {
        self.store.clock()
    }

    async fn builds(&self) -> Result<BuildRecords, SourceError> {
        self.admit()?;
        self.store.builds().await
    }

    async fn write_builds(
        &self,
        pool: &PoolId,
        record: &BuildRecord,
        replaces: StoreVersion,
    ) -> Result<BuildRecordWrite, SourceError> {
        self.admit()?;
        self.store.write_builds(pool, record, replaces).await
    }

    async fn write_rollout(
        &self,
        pool: &PoolId,
        record: &RolloutRecord,
        replaces: StoreVersion,
    ) -> Result<RolloutWrite, SourceError> {
        self.admit()?;
        self.store.write_rollout(pool, record, replaces).await
    }

    async fn stream_rows(&self, prefix: &str) -> Result<Vec<StreamRecordRow>, SourceError> {
        self.admit()?;
        self.store.stream_rows(prefix).await
    }

    async fn write_stream_rows(
        &self,
        add: &[StreamRecordRow],
        remove: &[String],
    ) -> Result<(), SourceError> {
        self.admit()?;
        self.store.write_stream_rows(add, remove).await
    }
}

/// One gateway of the fleet.
pub(crate) struct FleetHost {
    running: RunningGateway,
    _stop: StopHandle,
}

impl FleetHost {
    pub(crate) async fn is_ready(&self) -> bool {
        let address = self.running.status_addresses()[0];
        Call::get("/ready").exchange(address).await.status == 200
    }

    pub(crate) async fn metrics(&self) -> String {
        let address = self.running.status_addresses()[1];
        let answer = Call::get("/metrics").exchange(address).await;
        String::from_utf8_lossy(&answer.body).into_owned()
    }

    pub(crate) fn front_address(&self) -> SocketAddr {
        self.running.front_address()
    }
}

/// Returns the addresses of many hosts: one loopback address each, and a port that no other
/// fleet of this process uses.
pub(crate) fn peer_addresses(hosts: usize) -> Vec<SocketAddr> {
    const FIRST_PORT: u16 = 21_000;
    const PORTS: u16 = 8_000;
    const HOSTS_PER_SUBNET: usize = 250;
    static FLEETS: AtomicU16 = AtomicU16::new(0);
    let fleet = FLEETS.fetch_add(1, Ordering::Relaxed);
    let offset = (std::process::id() % u32::from(PORTS / 8)) as u16 * 8 + fleet;
    let address = |i: usize| {
        let (subnet, host) = (i / HOSTS_PER_SUBNET, i % HOSTS_PER_SUBNET);
        let ip = Ipv4Addr::new(127, 1, subnet as u8, host as u8 + 1);
        SocketAddr::new(IpAddr::V4(ip), FIRST_PORT + offset)
    };
    (0..hosts).map(address).collect()
}

/// Starts all hosts of a fleet in three zones at once. `adjust` sets what differs by host.
pub(crate) async fn start_fleet(
    source: &LimitedSource,
    addresses: &[SocketAddr],
    seeds: &[SocketAddr],
    adjust: impl Fn(usize, GatewayConfigBuilder) -> GatewayConfigBuilder,
) -> Vec<FleetHost> {
    const ZONES: [&str; 3] = ["zone-a", "zone-b", "zone-c"];
    let mut hosts = Vec::new();
    for (i, address) in addresses.iter().enumerate() {
        let zone = ZONES[i % ZONES.len()];
        let builder = config(zone, &format!("host-{i}"), seeds.to_vec()).peer_listen(*address);
        let config: GatewayConfig = adjust(i, builder).build();
        let (stop, stop_signal) = stop_pair();
        let (_, reloads) = mpsc::channel(1);
        let edge = Box::new(super::TestEdge);
        let running = start(config, edge, source.clone(), stop_signal, reloads).await;
        hosts.push(FleetHost {
            running: running.expect("the gateway starts"),
            _stop: stop,
        });
    }
    hosts
}

/// Returns the times until the hosts are ready, ascending; those of hosts that are not ready
/// within `limit` are `limit`.
pub(crate) async fn ready_times(hosts: &[FleetHost], limit: Duration) -> Vec<Duration> {
    let began_at = Instant::now();
    let mut waiting: Vec<&FleetHost> = hosts.iter().collect();
    let mut times = Vec::new();
    while !waiting.is_empty() && began_at.elapsed() < limit {
        let mut still_waiting = Vec::new();
        for host in waiting {
            if host.is_ready().await {
                times.push(began_at.elapsed());
            } else {
                still_waiting.push(host);
            }
        }
        waiting = still_waiting;
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    times.resize(hosts.len(), limit);
    times
}
