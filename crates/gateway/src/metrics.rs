//! Renders the gateway's metrics as text, and counts control traffic.
//!
//! Control traffic is what hosts exchange among themselves and read from the store, as
//! opposed to the bytes of callers. Bytes are those of payloads, without IP, UDP and TCP
//! headers.

use std::ops::Deref;
use std::sync::Arc;

use chalkrock_proto::ByteCounter;

use crate::arrival::ReceivedBytes;
use crate::shared::Shared;
use crate::source::Topic;

const CONTROL_BYTES: &str = "control_bytes_total";

/// Kind of control traffic, the label `kind` of its counter.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ControlKind {
    Heartbeat,
    ZoneSummary,
    FarSum,
    CacheEntries,
    Poison,
    RelaySummary,
    FleetSum,
    Rollouts,
    RolloutTally,
    PoolUsage,
    Slots,
    Work,
    Reachability,
    RejectionLimits,
    StreamOrigins,
    ListDigest,
    BuildRecords,
    /// Datagrams that this build can't decode.
    Unknown,
    /// State pulled from other hosts.
    Pull,
    /// State sent to hosts that pull it.
    Serve,
    /// Rules and endpoints read from the store.
    Store,
}

/// Direction of control traffic, the label `direction` of its counter.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Direction {
    Sent,
    Received,
}

/// The label sets of a kind, sent and received.
macro_rules! control_labels {
    ($kind:literal) => {
        (
            concat!("kind=\"", $kind, "\",direction=\"sent\""),
            concat!("kind=\"", $kind, "\",direction=\"received\""),
        )
    };
}

impl ControlKind {
    /// Fixed strings, since several hundred datagrams a second are counted.
    fn labels(self, direction: Direction) -> &'static str {
        let (sent, received) = match self {
            Self::Heartbeat => control_labels!("heartbeat"),
            Self::ZoneSummary => control_labels!("zone-summary"),
            Self::FarSum => control_labels!("far-sum"),
            Self::CacheEntries => control_labels!("cache-entries"),
            Self::Poison => control_labels!("poison"),
            Self::RelaySummary => control_labels!("relay-summary"),
            Self::FleetSum => control_labels!("fleet-sum"),
            Self::Rollouts => control_labels!("rollouts"),
            Self::RolloutTally => control_labels!("rollout-tally"),
            Self::PoolUsage => control_labels!("pool-usage"),
            Self::Slots => control_labels!("slots"),
            Self::Work => control_labels!("work"),
            Self::Reachability => control_labels!("reachability"),
            Self::RejectionLimits => control_labels!("rejection-limits"),
            Self::StreamOrigins => control_labels!("stream-origins"),
            Self::ListDigest => control_labels!("list-digest"),
            Self::BuildRecords => control_labels!("build-records"),
            Self::Unknown => control_labels!("unknown"),
            Self::Pull => control_labels!("pull"),
            Self::Serve => control_labels!("serve"),
            Self::Store => control_labels!("store"),
        };
        match direction {
            Direction::Sent => sent,
            Direction::Received => received,
        }
    }
}

impl Shared {
    /// Counts bytes of control traffic.
    pub(crate) fn count_control_bytes(&self, kind: ControlKind, direction: Direction, bytes: u64) {
        if bytes > 0 {
            let labels = kind.labels(direction);
            self.metrics.count(CONTROL_BYTES, labels, bytes);
        }
    }
}

/// Counts the bytes of a connection to another host as control traffic when dropped, so
/// that a cancelled transfer counts too.
pub(crate) struct ConnectionBytes<'a> {
    shared: &'a Shared,
    kind: ControlKind,
    counter: Arc<ByteCounter>,
}

impl<'a> ConnectionBytes<'a> {
    pub(crate) fn new(shared: &'a Shared, kind: ControlKind, counter: Arc<ByteCounter>) -> Self {
        Self {
            shared,
            kind,
            counter,
        }
    }
}

impl Drop for ConnectionBytes<'_> {
    fn drop(&mut self) {
        let count = |direction, bytes| self.shared.count_control_bytes(self.kind, direction, bytes);
        count(Direction::Sent, self.counter.written_bytes());
        count(Direction::Received, self.counter.read_bytes());
    }
}

/// Received bytes of the store's responses, counted as control traffic when dropped.
pub(crate) struct StoreBytes<'a> {
    shared: &'a Shared,
    received: ReceivedBytes,
}

impl<'a> StoreBytes<'a> {
    pub(crate) fn new(shared: &'a Shared) -> Self {
        let received = ReceivedBytes::default();
        Self { shared, received }
    }
}

impl Deref for StoreBytes<'_> {
    type Target = ReceivedBytes;

    fn deref(&self) -> &ReceivedBytes {
        &self.received
    }
}

impl Drop for StoreBytes<'_> {
    fn drop(&mut self) {
        let bytes = self.received.bytes();
        self.shared
            .count_control_bytes(ControlKind::Store, Direction::Received, bytes);
    }
}

/// Updates the gauges that are sampled on request, and renders all metrics.
pub(crate) fn render(shared: &Shared) -> String {
    let now_ms = shared.clock.now_ms();
    let metrics = &shared.metrics;
    metrics.gauge("requests_running", "", shared.running() as f64);
    let room = shared.config.capacity.room_millicores();
    metrics.gauge("host_room_millicores", "", f64::from(room));
    let is_relay = shared.subscription.is_relay();
    metrics.gauge("relays_zone", "", f64::from(u8::from(is_relay)));
    metrics.gauge(
        "event_log_lines_dropped",
        "",
        shared.event_log.dropped() as f64,
    );
    render_pool_queues(shared, now_ms);
    let fleet = shared.fleet();
    metrics.gauge(
        "peers_heard",
        "",
        fleet.load.recent_host_count(now_ms) as f64,
    );
    let sharers = fleet.size.sharers(now_ms).unwrap_or_default();
    metrics.gauge("retry_budget_sharers", "", sharers as f64);
    let remote_host_count = fleet.load.remote_host_count();
    metrics.gauge("hosts_known_by_sums", "", remote_host_count as f64);
    let uses_fleet_aggregate = fleet.load.uses_fleet_aggregate();
    metrics.gauge(
        "goes_by_relay_sums",
        "",
        f64::from(u8::from(uses_fleet_aggregate)),
    );
    metrics.gauge("fleet_requests", "", f64::from(fleet.load.total()));
    let is_subscriber = shared.subscription.is_subscriber();
    metrics.gauge("reads_platform", "", f64::from(u8::from(is_subscriber)));
    for topic in [Topic::Rules, Topic::Endpoints] {
        let age_ms = shared.subscription.topic_age(topic).as_millis() as f64;
        metrics.gauge("store_answer_age_ms", topic.label(), age_ms);
    }
    let free = shared.connection_permits.available_permits();
    metrics.gauge("caller_places_free", "", free as f64);
    let bodies = shared.bodies.held_bytes();
    metrics.gauge("caller_bodies_held_bytes", "", bodies as f64);
    let answers = shared.answers.held_bytes();
    metrics.gauge("answers_held_bytes", "", answers as f64);
    metrics.gauge("lag_ms", "", shared.lag.ms() as f64);
    let live = fleet.endpoints.live_count();
    metrics.gauge("endpoints_live", "", live as f64);
    let cold = fleet.cold.count(now_ms);
    metrics.gauge("cold_endpoints", "", cold as f64);
    let backing_off = fleet.backoffs.count(now_ms);
    metrics.gauge("endpoints_backing_off", "", backing_off as f64);
    let brittle = fleet.rejection_limits.count();
    metrics.gauge("endpoints_brittle", "", brittle as f64);
    let unreachable = fleet.unreachable_endpoints(now_ms);
    metrics.gauge("endpoints_unreachable", "", unreachable.len() as f64);
    let leaving = fleet.endpoints.leaving().len();
    metrics.gauge("endpoints_leaving", "", leaving as f64);
    let evacuated = fleet.evacuations.zones().len();
    metrics.gauge("evacuated_zones", "", evacuated as f64);
    let poison = fleet.poison.poison_requests(usize::MAX, now_ms);
    metrics.gauge("poison_requests", "", poison.len() as f64);
    let parts = poison
        .iter()
        .filter(|poison| poison.request.part().is_some());
    metrics.gauge("poison_parts", "", parts.count() as f64);
    metrics.gauge("streams_remembered", "", shared.stream_origins.len() as f64);
    metrics.gauge("endpoints_version", "", fleet.endpoints_version.0 as f64);
    for (pool, count) in fleet.usage.over_share_counts() {
        let labels = format!("pool=\"{pool}\"");
        metrics.gauge("organisations_over_share", &labels, count as f64);
    }
    fleet.work.set_gauges(metrics, now_ms);
    fleet.backlogs.set_gauges(metrics, now_ms);
    for (pool, wait_ms) in fleet.expected_waits_ms(now_ms) {
        metrics.gauge(
            "pool_expected_wait_ms",
            &format!("pool=\"{pool}\""),
            wait_ms,
        );
    }
    drop(fleet);
    metrics.render()
}

/// Updates the gauges of scarce pools, by pool.
fn render_pool_queues(shared: &Shared, now_ms: u64) {
    let metrics = &shared.metrics;
    for view in shared.pool_queues.views(now_ms) {
        let labels = format!("pool=\"{}\"", view.pool);
        let is_contended = f64::from(u8::from(view.is_contended));
        metrics.gauge("pool_contended", &labels, is_contended);
        metrics.gauge("pool_waiting", &labels, view.waiting as f64);
        metrics.gauge("pool_leases_held", &labels, view.held as f64);
        let has_scheduler = f64::from(u8::from(view.scheduler.is_some()));
        metrics.gauge("pool_scheduler_known", &labels, has_scheduler);
    }
    for (pool, status) in shared.pool_queues.scheduled() {
        let labels = format!("pool=\"{pool}\"");
        let waiting: u32 = status.waiting_by_rank.iter().sum();
        metrics.gauge("scheduled_waiting", &labels, f64::from(waiting));
        metrics.gauge("scheduled_hosts", &labels, status.hosts as f64);
        metrics.gauge("scheduled_service_ms", &labels, status.service_ms);
        let oldest_wait_ms = status.oldest_wait_ms as f64;
        metrics.gauge("scheduled_oldest_wait_ms", &labels, oldest_wait_ms);
        let leases: u32 = { status.endpoints.iter() }.map(|e| e.leases).sum();
        metrics.gauge("scheduled_leases", &labels, f64::from(leases));
    }
}
