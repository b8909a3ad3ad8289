//! State shared by all requests of a gateway.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};
use std::time::Duration;

use chalkrock_core::{Endpoint, EndpointId, OrganisationId, PoolId};
use chalkrock_process::Metrics;
use chalkrock_routing::{
    ConnectionLimits, DrainPhase, DrainSchedule, EvacuationChange, EvacuationRow, Evacuations,
    Rules, RulesDocument, StoreVersion,
};
use tokio::sync::{Notify, Semaphore, watch};
use tokio::time::Instant;

use crate::active_rules::{ActiveRules, RulesUpdate};
use crate::byte_budget::ByteBudget;
use crate::call::Call;
use crate::clock::{Clock, ms};
use crate::config::GatewayConfig;
use crate::crash_checks::CrashChecks;
use crate::edge::Edge;
use crate::endpoint_connections::EndpointConnections;
use crate::event_log::{Event, EventLog};
use crate::fair_share::RequestWork;
use crate::fleet::Fleet;
use crate::lag::SchedulerLag;
use crate::peers::BrokenPaths;
use crate::poison::PoisonRecords;
use crate::pool_queue::{Lease, PoolQueues};
use crate::room_wait::RoomLines;
use crate::skipped_rows::SkippedRows;
use crate::source::Topic;
use crate::store_answers::{AnswerScope, AnsweredHost};
use crate::stream_origins::StreamOriginTable;
use crate::stream_records::StreamRecords;
use crate::subscription::StoreSubscription;
use crate::suspension::SuspensionMonitor;
use crate::termination_checks::TerminationChecks;

/// Longest time that requests wait for rules and endpoints, counted from when these were
/// first missing. Later requests are refused at once.
const VIEW_WAIT_MS: u64 = 400;

/// Time after its start in which a host counts as warming up.
const WARM_UP_MS: u64 = 10_000;

pub(crate) struct Shared {
    pub(crate) config: GatewayConfig,
    pub(crate) clock: Clock,
    pub(crate) edge: Box<dyn Edge>,
    pub(crate) event_log: EventLog,
    pub(crate) metrics: Metrics,
    pub(crate) endpoint_connections: EndpointConnections,
    pub(crate) termination_checks: TerminationChecks,
    pub(crate) crash_checks: CrashChecks,
    pub(crate) poison_records: PoisonRecords,
    pub(crate) skipped_rows: SkippedRows,
    pub(crate) suspensions: SuspensionMonitor,
    /// Wakes attempts when a poison request is confirmed.
    pub(crate) poison_confirmed: Notify,
    /// Signals that the store was restored from a backup and may lack this host's writes.
    pub(crate) store_restored: Notify,
    pub(crate) lag: SchedulerLag,
    /// Memory for callers' bodies.
    pub(crate) bodies: ByteBudget,
    /// Memory for endpoints' answers that are read whole.
    pub(crate) answers: ByteBudget,
    /// Limits callers' connections.
    pub(crate) connection_permits: Arc<Semaphore>,
    /// Requests that wait for slots of contended pools.
    pub(crate) pool_queues: Arc<PoolQueues>,
    /// Requests that wait for a free slot of endpoints that tolerate few rejections.
    pub(crate) room_lines: Arc<RoomLines>,
    pub(crate) rules: ActiveRules,
    /// Wakes the task that asks about unreachable endpoints.
    pub(crate) unreachable_found: Notify,
    /// Wakes attempts that wait for other hosts' reports of endpoints.
    pub(crate) reach_reported: Notify,
    /// Endpoints about which other hosts have to be asked at once.
    pub(crate) broken_paths: BrokenPaths,
    pub(crate) stream_origins: StreamOriginTable,
    pub(crate) stream_records: StreamRecords,
    /// Wakes the task that learns which builds pools had.
    pub(crate) past_wanted: Notify,
    /// Wakes requests that wait for that.
    pub(crate) past_learned: Notify,
    /// Endpoints that are checked now, by the hash of their start.
    checks: Mutex<HashSet<u32>>,
    /// The address for forwarded requests.
    forward_address: OnceLock<SocketAddr>,
    fleet: Mutex<Fleet>,
    largest_datagram_bytes: AtomicUsize,
    /// Requests received whose answer is not complete.
    running: AtomicUsize,
    stop_requested_at: OnceLock<Instant>,
    stop: watch::Sender<Option<DrainPhase>>,
    pub(crate) subscription: StoreSubscription,
    /// Wakes the task that publishes to the other hosts.
    pub(crate) publish_now: Notify,
    /// Whether the list of endpoints was received, from the store or a host.
    knows_endpoints: AtomicBool,
    /// Whether the host has a view to serve by.
    has_view: watch::Sender<bool>,
    /// When the view was lost, on the shared clock.
    no_view_since_ms: AtomicU64,
}

impl Shared {
    pub(crate) fn new(
        config: GatewayConfig,
        edge: Box<dyn Edge>,
        event_log: EventLog,
    ) -> Arc<Self> {
        let fleet = Fleet::new(&config);
        let bodies = ByteBudget::new(config.bodies_max_bytes);
        let answers = ByteBudget::new(config.answers_max_bytes);
        let connection_permits = Arc::new(Semaphore::new(config.connections_max));
        Arc::new(Self {
            config,
            clock: Clock::start(),
            edge,
            event_log,
            metrics: Metrics::default(),
            endpoint_connections: EndpointConnections::default(),
            termination_checks: TerminationChecks::default(),
            crash_checks: CrashChecks::default(),
            poison_records: PoisonRecords::default(),
            skipped_rows: SkippedRows::default(),
            suspensions: SuspensionMonitor::default(),
            poison_confirmed: Notify::new(),
            store_restored: Notify::new(),
            lag: SchedulerLag::default(),
            bodies,
            answers,
            connection_permits,
            pool_queues: Arc::default(),
            room_lines: Arc::default(),
            rules: ActiveRules::default(),
            unreachable_found: Notify::new(),
            reach_reported: Notify::new(),
            broken_paths: BrokenPaths::default(),
            stream_origins: StreamOriginTable::default(),
            stream_records: StreamRecords::default(),
            past_wanted: Notify::new(),
            past_learned: Notify::new(),
            checks: Mutex::default(),
            forward_address: OnceLock::new(),
            fleet: Mutex::new(fleet),
            largest_datagram_bytes: AtomicUsize::new(0),
            running: AtomicUsize::new(0),
            stop_requested_at: OnceLock::new(),
            stop: watch::channel(None).0,
            subscription: StoreSubscription::default(),
            publish_now: Notify::new(),
            knows_endpoints: AtomicBool::new(false),
            has_view: watch::channel(false).0,
            no_view_since_ms: AtomicU64::new(0),
        })
    }

    /// Locks the view of the endpoints. Never held across an await.
    pub(crate) fn fleet(&self) -> MutexGuard<'_, Fleet> {
        self.fleet.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The rules in force, if any are known.
    pub(crate) fn rules(&self) -> Option<Arc<Rules>> {
        self.rules.current()
    }

    /// Puts rules into force unless newer ones are. Returns whether they are new.
    pub(crate) fn replace_rules(&self, document: RulesDocument, from: &str) -> bool {
        if document.version >= self.rules.version() {
            self.fleet().merge_connection_limits(ConnectionLimits {
                rules: document.version,
                limits: document.connection_limits.clone(),
            });
        }
        let is_new = self.rules.activate(document);
        self.handle_rules(is_new, from);
        is_new
    }

    /// Puts another host's rules into force unless newer ones are. Returns whether they
    /// are new.
    pub(crate) fn apply_rules_update(&self, update: RulesUpdate, from: &str) -> bool {
        let is_new = self.rules.apply_update(update);
        self.handle_rules(is_new, from);
        is_new
    }

    /// Applies and logs rules that came into force.
    fn handle_rules(&self, is_new: bool, from: &str) {
        if !is_new {
            return;
        }
        if let Some(rules) = self.rules() {
            self.fleet().set_pools(&rules.document().pools);
        }
        let version = self.rules.version();
        self.metrics.gauge("rules_version", "", version.0 as f64);
        self.event_log.emit(&Event::Rules { version, from });
        self.update_view();
    }

    /// Merges evacuated zones of a later version. Returns whether any changed.
    pub(crate) fn merge_evacuations(&self, evacuations: &Evacuations, from: &str) -> bool {
        let now_ms = self.clock.now_ms();
        let change = self.fleet().merge_evacuations(evacuations, now_ms);
        self.log_evacuation_change(&change, from)
    }

    /// Replaces the evacuated zones by a full read. Returns whether any changed.
    pub(crate) fn replace_evacuations(&self, evacuations: Evacuations, from: &str) -> bool {
        let now_ms = self.clock.now_ms();
        let change = self.fleet().replace_evacuations(evacuations, now_ms);
        self.log_evacuation_change(&change, from)
    }

    /// Applies evacuations from a range of the store's history. Returns whether any
    /// changed.
    pub(crate) fn apply_evacuation_changes(
        &self,
        rows: &[EvacuationRow],
        until: StoreVersion,
        from: &str,
    ) -> bool {
        let now_ms = self.clock.now_ms();
        let change = self.fleet().apply_evacuation_changes(rows, until, now_ms);
        self.log_evacuation_change(&change, from)
    }

    fn log_evacuation_change(&self, change: &EvacuationChange, from: &str) -> bool {
        if change.is_empty() {
            return false;
        }
        let fleet = self.fleet();
        let version = fleet.evacuations.version();
        let live = fleet.endpoints.live_count();
        drop(fleet);
        for (zone, is_evacuated) in change.zones() {
            self.event_log.emit(&Event::Evacuation {
                zone,
                is_evacuated,
                version,
                live,
                from,
            });
        }
        true
    }

    /// Records that the list of endpoints is known.
    pub(crate) fn record_endpoints_known(&self) {
        if !self.knows_endpoints.swap(true, Ordering::Relaxed) {
            self.past_wanted.notify_one();
        }
        self.update_view();
    }

    pub(crate) fn update_view(&self) {
        let knows_all = self.rules().is_some() && self.knows_endpoints();
        let has_view = knows_all && self.suspensions.is_fresh();
        self.has_view.send_if_modified(|current| {
            let is_changed = *current != has_view;
            *current = has_view;
            is_changed
        });
    }

    /// Records that the view has to be refreshed before it is used.
    pub(crate) fn invalidate_view(&self) {
        let now_ms = self.clock.now_ms();
        self.no_view_since_ms.store(now_ms, Ordering::Relaxed);
        self.update_view();
    }

    /// Waits for a view, at most [`VIEW_WAIT_MS`] after it was lost. Checks for a
    /// suspension first.
    pub(crate) async fn wait_for_view(&self) {
        self.detect_suspension();
        if self.has_view() {
            return;
        }
        let since_ms = self.no_view_since_ms.load(Ordering::Relaxed);
        let missing_ms = self.clock.now_ms().saturating_sub(since_ms);
        let wait = ms(VIEW_WAIT_MS.saturating_sub(missing_ms));
        let _refused_without_view = tokio::time::timeout(wait, self.wait_until_view_known()).await;
    }

    /// Waits until the host has a view to serve by.
    pub(crate) async fn wait_until_view_known(&self) {
        let mut has_view = self.has_view.subscribe();
        let _never_closed = has_view.wait_for(|has_view| *has_view).await;
    }

    /// Whether the list of endpoints is known; it may be empty.
    pub(crate) fn knows_endpoints(&self) -> bool {
        self.knows_endpoints.load(Ordering::Relaxed)
    }

    /// Records that the store answered this host.
    pub(crate) fn record_store_answer(&self, topic: Topic) {
        self.subscription.record_answer(topic);
        self.record_any_store_answer(AnsweredHost::Local, Some(0));
        let scope = AnswerScope::Topic(topic);
        self.subscription
            .record_peer_answer(scope, AnsweredHost::Local, Some(0));
    }

    /// Records that the store answered a host `ago_ms` ago, on either topic, and returns the
    /// time since the previous answer. If that exceeds the bound, the store was unavailable, and
    /// entries that lapsed meanwhile are kept for a while.
    ///
    /// Checks for a suspension first: time in which this host received nothing would count
    /// as unavailability and keep endpoints that are gone.
    pub(crate) fn record_any_store_answer(
        &self,
        host: AnsweredHost,
        ago_ms: Option<u32>,
    ) -> Duration {
        self.detect_suspension();
        let scope = AnswerScope::AnyTopic;
        let gap = self.subscription.record_peer_answer(scope, host, ago_ms);
        let timings = &self.config.follow;
        if gap < ms(timings.bound_ms) {
            return gap;
        }
        let now_ms = self.clock.now_ms();
        self.fleet().store_recovered(now_ms, timings.lapse_grace_ms);
        self.event_log.emit(&Event::StoreIsBack {
            away_ms: gap.as_millis() as u64,
            keeps_lapsed_ms: timings.lapse_grace_ms,
        });
        gap
    }

    /// Records a full read of the store in an era. A later era means that the store was
    /// restored from a backup: this host writes its records again.
    pub(crate) fn record_full_read(&self, era: u64) {
        let mut fleet = self.fleet();
        let previous = fleet.store_era.replace(era);
        let is_restored = previous.is_some_and(|previous| previous < era);
        if previous.is_some_and(|previous| previous > era) {
            // A delayed answer.
            fleet.store_era = previous;
        }
        drop(fleet);
        if !is_restored {
            return;
        }
        self.event_log.emit(&Event::StoreIsRestored { era });
        self.rewrite_poison_records();
        self.store_restored.notify_one();
    }

    /// Records the size of a datagram to be sent.
    pub(crate) fn record_datagram_size(&self, bytes: usize) {
        let largest = self
            .largest_datagram_bytes
            .fetch_max(bytes, Ordering::Relaxed);
        if bytes > largest {
            let metrics = &self.metrics;
            metrics.gauge("peer_datagram_largest_bytes", "", bytes as f64);
        }
    }

    /// Whether the host started less than [`WARM_UP_MS`] ago.
    pub(crate) fn is_warming_up(&self) -> bool {
        self.clock.steady_ms() < WARM_UP_MS
    }

    /// Whether the host has a fresh view of rules and endpoints.
    pub(crate) fn has_view(&self) -> bool {
        *self.has_view.borrow()
    }

    /// Whether this host takes new connections.
    pub(crate) fn is_ready(&self) -> bool {
        self.has_view() && self.stop_requested_at.get().is_none()
    }

    /// Sets the address at which this host accepts forwarded requests.
    pub(crate) fn set_forward_address(&self, address: SocketAddr) {
        let _set_once = self.forward_address.set(address);
    }

    /// The address for forwarded requests, if this host listens for them.
    pub(crate) fn forward_listen_address(&self) -> Option<SocketAddr> {
        self.forward_address.get().copied()
    }

    /// The address for forwarded requests, while this host accepts them.
    pub(crate) fn forward_address(&self) -> Option<SocketAddr> {
        self.forward_listen_address().filter(|_| self.is_ready())
    }

    /// Marks an endpoint as checked until the guard is dropped; `None` if it already is.
    pub(crate) fn begin_check(self: &Arc<Self>, endpoint: u32) -> Option<CheckGuard> {
        let is_new = self.checks().insert(endpoint);
        is_new.then(|| CheckGuard {
            shared: self.clone(),
            endpoint,
        })
    }

    fn checks(&self) -> MutexGuard<'_, HashSet<u32>> {
        self.checks.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records a request to stop.
    pub(crate) fn request_stop(&self) {
        if self.stop_requested_at.set(Instant::now()).is_ok() {
            self.update_stop();
        }
    }

    /// The phase of a requested stop.
    pub(crate) fn stop_phase(&self) -> Option<DrainPhase> {
        let requested_at = self.stop_requested_at.get()?;
        let elapsed_ms = requested_at.elapsed().as_millis() as u64;
        let schedule = DrainSchedule::new(self.config.grace_ms);
        Some(schedule.phase(elapsed_ms, self.running()))
    }

    /// Publishes and logs the phase of a stop.
    pub(crate) fn update_stop(&self) {
        let phase = self.stop_phase();
        let is_changed = self.stop.send_if_modified(|current| {
            let is_changed = *current != phase;
            *current = phase;
            is_changed
        });
        if let Some(phase) = phase.filter(|_| is_changed) {
            let phase = match phase {
                DrainPhase::Accepting => "takes-last",
                DrainPhase::Draining => "drains",
                DrainPhase::Exiting => "ends",
            };
            let running = self.running();
            self.event_log.emit(&Event::Stop { phase, running });
        }
    }

    /// Waits until a stop has reached `phase`.
    pub(crate) async fn wait_for_stop_phase(&self, phase: DrainPhase) {
        let order = |phase: &DrainPhase| match phase {
            DrainPhase::Accepting => 0,
            DrainPhase::Draining => 1,
            DrainPhase::Exiting => 2,
        };
        let mut stop = self.stop.subscribe();
        let reached = |current: &Option<DrainPhase>| {
            current
                .as_ref()
                .is_some_and(|current| order(current) >= order(&phase))
        };
        let _never_closed = stop.wait_for(reached).await;
    }

    pub(crate) fn running(&self) -> usize {
        self.running.load(Ordering::Relaxed)
    }

    /// Counts a request as running until the guard is dropped.
    pub(crate) fn begin_request(self: &Arc<Self>) -> RunningGuard {
        self.running.fetch_add(1, Ordering::Relaxed);
        RunningGuard(self.clone())
    }
}

/// Marks an endpoint as checked until dropped.
pub(crate) struct CheckGuard {
    shared: Arc<Shared>,
    endpoint: u32,
}

impl Drop for CheckGuard {
    fn drop(&mut self) {
        self.shared.checks().remove(&self.endpoint);
    }
}

/// Counts a request whose answer is not complete, until dropped.
pub(crate) struct RunningGuard(Arc<Shared>);

impl Drop for RunningGuard {
    fn drop(&mut self) {
        self.0.running.fetch_sub(1, Ordering::Relaxed);
    }
}

/// What a request in progress counts against. The next hop of a forwarded one counts it
/// against the endpoint.
#[derive(Clone, Copy, Debug)]
enum InFlightTarget {
    Endpoint(u32),
    NextHop(SocketAddr),
}

/// Counts a request in progress, until dropped.
pub(crate) struct InFlightGuard {
    shared: Arc<Shared>,
    pool: PoolId,
    route: Arc<str>,
    target: InFlightTarget,
    since: Instant,
    /// The work of its request.
    work: Option<Arc<RequestWork>>,
    /// The endpoint did not work on it, so its duration is no service time.
    was_rejected: bool,
    /// The slot that its pool's scheduler granted.
    lease: Option<Lease>,
}

impl InFlightGuard {
    pub(crate) fn begin(
        shared: &Arc<Shared>,
        call: &Call,
        work: Option<Arc<RequestWork>>,
        endpoint: u32,
        lease: Option<Lease>,
    ) -> Self {
        shared.fleet().load.begin(endpoint);
        Self::new(
            shared,
            call,
            work,
            InFlightTarget::Endpoint(endpoint),
            lease,
        )
    }

    /// Counts a request that is forwarded to a next hop.
    pub(crate) fn begin_forwarded(
        shared: &Arc<Shared>,
        call: &Call,
        work: Option<Arc<RequestWork>>,
        next_hop: SocketAddr,
        lease: Option<Lease>,
    ) -> Self {
        shared.fleet().reachability.begin_forwarded(next_hop);
        Self::new(shared, call, work, InFlightTarget::NextHop(next_hop), lease)
    }

    fn new(
        shared: &Arc<Shared>,
        call: &Call,
        work: Option<Arc<RequestWork>>,
        target: InFlightTarget,
        lease: Option<Lease>,
    ) -> Self {
        Self {
            shared: shared.clone(),
            pool: call.pool.clone(),
            route: call.route.name.clone(),
            target,
            since: Instant::now(),
            work,
            was_rejected: false,
            lease,
        }
    }

    /// Records that the endpoint rejected the request. Returns its slot.
    pub(crate) fn mark_rejected(mut self) -> Option<Lease> {
        self.was_rejected = true;
        self.lease.take()
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        let mut fleet = self.shared.fleet();
        match self.target {
            InFlightTarget::Endpoint(endpoint) => {
                fleet.load.end(endpoint);
                self.shared.room_lines.notify();
            }
            InFlightTarget::NextHop(address) => fleet.reachability.end_forwarded(address),
        }
        if !self.was_rejected {
            let service_ms = self.since.elapsed().as_millis() as u64;
            let now_ms = self.shared.clock.now_ms();
            fleet.record_service_time(&self.pool, &self.route, service_ms, now_ms);
            let usage = &mut fleet.usage;
            let work_ms = usage.record_service_time(&self.pool, &self.route, service_ms, now_ms);
            drop(fleet);
            if let Some(work) = &self.work {
                work.add(work_ms);
            }
        }
    }
}

/// Counts an organisation's request, until dropped.
pub(crate) struct OrganisationGuard {
    shared: Arc<Shared>,
    organisation: OrganisationId,
}

impl OrganisationGuard {
    pub(crate) fn begin(shared: &Arc<Shared>, organisation: &OrganisationId) -> Self {
        shared.fleet().shares.begin(organisation);
        Self {
            shared: shared.clone(),
            organisation: organisation.clone(),
        }
    }
}

impl Drop for OrganisationGuard {
    fn drop(&mut self) {
        self.shared.fleet().shares.end(&self.organisation);
    }
}

impl Shared {
    /// Drops expired use of pools, and logs organisations that are no longer over their
    /// share.
    pub(crate) fn expire_over_shares(&self) {
        let now_ms = self.clock.now_ms();
        let ended = self.fleet().usage.expire(now_ms);
        for over in ended {
            self.event_log.emit(&Event::OverShare {
                pool: &over.pool,
                organisation: &over.organisation,
                is_over: false,
                demand_ratio: over.share.demand_ratio,
                use_ratio: over.share.use_ratio,
            });
        }
    }

    /// Logs a change of the list of endpoints.
    pub(crate) fn log_endpoints(&self, from: &str) {
        let now_ms = self.clock.now_ms();
        let mut fleet = self.fleet();
        let cold = fleet.take_newly_cold();
        let left_ms = |endpoint: &Endpoint| {
            fleet
                .cold
                .remaining_ms(endpoint.start_hash().short(), now_ms)
        };
        let longest_ms = cold.iter().map(left_ms).max();
        let leaving = fleet.endpoints.leaving().len();
        let live = fleet.endpoints.live_count();
        let version = fleet.endpoints_version.0;
        let digest = fleet.endpoints.digest();
        drop(fleet);
        self.event_log.emit(&Event::Endpoints {
            version,
            live,
            leaving,
            digest,
            from,
        });
        if let Some(longest_ms) = longest_ms {
            let endpoints: Vec<&EndpointId> = cold.iter().map(|endpoint| &endpoint.name).collect();
            let endpoints = &endpoints;
            self.event_log.emit(&Event::Cold {
                endpoints,
                longest_ms,
            });
        }
    }
}
