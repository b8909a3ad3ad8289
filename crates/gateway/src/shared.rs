//! What all requests of a gateway share.

use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};
use std::time::Duration;

use chalkrock_core::{Endpoint, EndpointId, OrganisationId, PoolId};
use chalkrock_process::Metrics;
use chalkrock_routing::{
    DrainPhase, DrainSchedule, EvacuationChange, EvacuationRow, Evacuations, Rules, RulesDocument,
    StoreVersion,
};
use tokio::sync::{Notify, Semaphore, watch};
use tokio::time::Instant;

use crate::active_rules::{ActiveRules, RulesUpdate};
use crate::byte_budget::ByteBudget;
use crate::call::Call;
use crate::clock::{Clock, ms};
use crate::config::GatewayConfig;
use crate::edge::Edge;
use crate::endpoint_connections::IdleConnections;
use crate::event_log::{Event, EventLog};
use crate::fleet::Fleet;
use crate::lag::SchedulerLag;
use crate::poison::PoisonRecords;
use crate::skipped_rows::SkippedRows;
use crate::source::Topic;
use crate::subscription::{AnsweredHost, StoreSubscription};
use crate::suspension::SuspensionMonitor;
use crate::termination_checks::TerminationChecks;

/// Time within which a host that does not know rules and endpoints yet, or no longer,
/// lets requests wait for them. Mostly it knows them within a tenth of a second, long
/// before a caller that was refused comes back; a host that has learned nothing by then
/// may not for long, and refuses at once.
const VIEW_WAIT_MS: u64 = 400;

/// Time from its start in which a host counts as new.
const NEW_UNTIL_MS: u64 = 10_000;

pub(crate) struct Shared {
    pub(crate) config: GatewayConfig,
    pub(crate) clock: Clock,
    pub(crate) edge: Box<dyn Edge>,
    pub(crate) event_log: EventLog,
    pub(crate) metrics: Metrics,
    pub(crate) idle_connections: IdleConnections,
    pub(crate) termination_checks: TerminationChecks,
    pub(crate) poison_records: PoisonRecords,
    pub(crate) skipped_rows: SkippedRows,
    pub(crate) pauses: SuspensionMonitor,
    /// Some request is to be sent no further from now on.
    pub(crate) poison_found: Notify,
    /// The store came back from a copy: what this host wrote there may be gone.
    pub(crate) store_restored: Notify,
    pub(crate) lag: SchedulerLag,
    /// Room for callers' bodies.
    pub(crate) bodies: ByteBudget,
    /// Room for endpoints' answers that are read whole.
    pub(crate) answers: ByteBudget,
    /// Places for callers' connections.
    pub(crate) connection_permits: Arc<Semaphore>,
    pub(crate) rules: ActiveRules,
    fleet: Mutex<Fleet>,
    largest_datagram_bytes: AtomicUsize,
    /// Requests that were read and have no whole answer yet.
    running: AtomicUsize,
    stop_asked_at: OnceLock<Instant>,
    stop: watch::Sender<Option<DrainPhase>>,
    pub(crate) subscription: StoreSubscription,
    /// What was read is news to the other hosts.
    pub(crate) publish_now: Notify,
    /// Whether the list of endpoints was read once, from anyone.
    knows_endpoints: AtomicBool,
    /// Whether the host can serve.
    has_view: watch::Sender<bool>,
    /// Since when it can't, on the shared clock.
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
            idle_connections: IdleConnections::default(),
            termination_checks: TerminationChecks::default(),
            poison_records: PoisonRecords::default(),
            skipped_rows: SkippedRows::default(),
            pauses: SuspensionMonitor::default(),
            poison_found: Notify::new(),
            store_restored: Notify::new(),
            lag: SchedulerLag::default(),
            bodies,
            answers,
            connection_permits,
            rules: ActiveRules::default(),
            fleet: Mutex::new(fleet),
            largest_datagram_bytes: AtomicUsize::new(0),
            running: AtomicUsize::new(0),
            stop_asked_at: OnceLock::new(),
            stop: watch::channel(None).0,
            subscription: StoreSubscription::default(),
            publish_now: Notify::new(),
            knows_endpoints: AtomicBool::new(false),
            has_view: watch::channel(false).0,
            no_view_since_ms: AtomicU64::new(0),
        })
    }

    /// The beliefs about endpoints. Never held over an await.
    pub(crate) fn fleet(&self) -> MutexGuard<'_, Fleet> {
        self.fleet.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The rules in force, if any are known.
    pub(crate) fn rules(&self) -> Option<Arc<Rules>> {
        self.rules.current()
    }

    /// Puts rules into force, unless newer ones are. Returns whether they are
    /// new.
    pub(crate) fn replace_rules(&self, document: RulesDocument, from: &str) -> bool {
        let is_news = self.rules.replace(document);
        self.rules_offered(is_news, from);
        is_news
    }

    /// Puts rules into force that another host passed on, unless newer ones
    /// are. Returns whether they are new.
    pub(crate) fn apply_rules_update(&self, news: RulesUpdate, from: &str) -> bool {
        let is_news = self.rules.apply_update(news);
        self.rules_offered(is_news, from);
        is_news
    }

    /// Makes it known if rules that were offered have come into force.
    fn rules_offered(&self, is_news: bool, from: &str) {
        if !is_news {
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

    /// Takes the zones that are evacuated, if they are known as of a later
    /// version. Returns whether that changes any.
    pub(crate) fn merge_evacuations(&self, evacuations: &Evacuations, from: &str) -> bool {
        let now_ms = self.clock.now_ms();
        let change = self.fleet().merge_evacuations(evacuations, now_ms);
        self.evacuations_changed(&change, from)
    }

    /// Takes the zones that are evacuated as they were read whole. Returns whether that
    /// changes any.
    pub(crate) fn replace_evacuations(&self, evacuations: Evacuations, from: &str) -> bool {
        let now_ms = self.clock.now_ms();
        let change = self.fleet().replace_evacuations(evacuations, now_ms);
        self.evacuations_changed(&change, from)
    }

    /// Takes the evacuations of a part of the store's history. Returns whether
    /// they change any.
    pub(crate) fn apply_evacuation_changes(
        &self,
        rows: &[EvacuationRow],
        until: StoreVersion,
        from: &str,
    ) -> bool {
        let now_ms = self.clock.now_ms();
        let change = self.fleet().apply_evacuation_changes(rows, until, now_ms);
        self.evacuations_changed(&change, from)
    }

    fn evacuations_changed(&self, change: &EvacuationChange, from: &str) -> bool {
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

    /// The list of endpoints was read.
    pub(crate) fn record_endpoints_known(&self) {
        self.knows_endpoints.store(true, Ordering::Relaxed);
        self.update_view();
    }

    pub(crate) fn update_view(&self) {
        let knows_all = self.rules().is_some() && self.knows_endpoints();
        let has_view = knows_all && self.pauses.is_fresh();
        self.has_view.send_if_modified(|known| {
            let is_news = *known != has_view;
            *known = has_view;
            is_news
        });
    }

    /// What is known has to be asked for again before it is used.
    pub(crate) fn view_is_stale(&self) {
        let now_ms = self.clock.now_ms();
        self.no_view_since_ms.store(now_ms, Ordering::Relaxed);
        self.update_view();
    }

    /// Lets a request wait for what it takes to serve it, for a while after that began
    /// to be missing. Looks whether the host stood still first.
    pub(crate) async fn wait_for_view(&self) {
        self.detect_suspension();
        if self.has_view() {
            return;
        }
        let since_ms = self.no_view_since_ms.load(Ordering::Relaxed);
        let missing_ms = self.clock.now_ms().saturating_sub(since_ms);
        let wait = ms(VIEW_WAIT_MS.saturating_sub(missing_ms));
        let _known_or_refused_then = tokio::time::timeout(wait, self.wait_until_view_known()).await;
    }

    /// Waits until the host can serve.
    pub(crate) async fn wait_until_view_known(&self) {
        let mut has_view = self.has_view.subscribe();
        let _never_closed = has_view.wait_for(|has_view| *has_view).await;
    }

    /// Whether the list of endpoints was read, be it empty.
    pub(crate) fn knows_endpoints(&self) -> bool {
        self.knows_endpoints.load(Ordering::Relaxed)
    }

    /// The platform answered this host.
    pub(crate) fn record_store_answer(&self, topic: Topic) {
        self.subscription.record_answer(topic);
        self.record_any_store_answer(AnsweredHost::Local, Some(0));
    }

    /// The platform answered a host of the fleet so long ago. Returns how long after it
    /// last answered any. If that is more than the bound it was away, and entries that
    /// lapsed meanwhile are kept for a while.
    ///
    /// Looks whether this host stood still first: it heard of no answer then, and would
    /// keep endpoints that are gone.
    pub(crate) fn record_any_store_answer(
        &self,
        whom: AnsweredHost,
        ago_ms: Option<u32>,
    ) -> Duration {
        self.detect_suspension();
        let gained = self.subscription.record_peer_answer(whom, ago_ms);
        let times = &self.config.follow;
        if gained < ms(times.bound_ms) {
            return gained;
        }
        let now_ms = self.clock.now_ms();
        self.fleet().store_recovered(now_ms, times.lapse_grace_ms);
        self.event_log.emit(&Event::StoreIsBack {
            away_ms: gained.as_millis() as u64,
            keeps_lapsed_ms: times.lapse_grace_ms,
        });
        gained
    }

    /// The store was read whole, in an era. If that is a later one than was known, it
    /// came back from a copy: what this host wrote there is written again.
    pub(crate) fn record_full_read(&self, era: u64) {
        let mut fleet = self.fleet();
        let was_known = fleet.store_era.replace(era);
        let is_restored = was_known.is_some_and(|known| known < era);
        if was_known.is_some_and(|known| known > era) {
            // An answer that was long on its way.
            fleet.store_era = was_known;
        }
        drop(fleet);
        if !is_restored {
            return;
        }
        self.event_log.emit(&Event::StoreIsRestored { era });
        self.record_poison_again();
        self.store_restored.notify_one();
    }

    /// A datagram of so many bytes is sent.
    pub(crate) fn largest_datagram(&self, bytes: usize) {
        let largest = self
            .largest_datagram_bytes
            .fetch_max(bytes, Ordering::Relaxed);
        if bytes > largest {
            let metrics = &self.metrics;
            metrics.gauge("peer_datagram_largest_bytes", "", bytes as f64);
        }
    }

    /// Whether the host has only just started.
    pub(crate) fn is_warming_up(&self) -> bool {
        self.clock.steady_ms() < NEW_UNTIL_MS
    }

    /// Whether the host can serve: it knows rules and endpoints.
    pub(crate) fn has_view(&self) -> bool {
        *self.has_view.borrow()
    }

    /// Whether new connections may be sent here.
    pub(crate) fn is_ready(&self) -> bool {
        self.has_view() && self.stop_asked_at.get().is_none()
    }

    /// A stop was asked for.
    pub(crate) fn request_stop(&self) {
        if self.stop_asked_at.set(Instant::now()).is_ok() {
            self.update_stop();
        }
    }

    /// How far a stop has come, if one was asked for.
    pub(crate) fn stop_phase(&self) -> Option<DrainPhase> {
        let asked_at = self.stop_asked_at.get()?;
        let elapsed_ms = asked_at.elapsed().as_millis() as u64;
        let plan = DrainSchedule::new(self.config.grace_ms);
        Some(plan.phase(elapsed_ms, self.running()))
    }

    /// Tells those that wait how far a stop has come.
    pub(crate) fn update_stop(&self) {
        let phase = self.stop_phase();
        let is_news = self.stop.send_if_modified(|known| {
            let is_news = *known != phase;
            *known = phase;
            is_news
        });
        if let Some(phase) = phase.filter(|_| is_news) {
            let phase = match phase {
                DrainPhase::TakesLast => "takes-last",
                DrainPhase::Drains => "drains",
                DrainPhase::Ends => "ends",
            };
            let running = self.running();
            self.event_log.emit(&Event::Stop { phase, running });
        }
    }

    /// Waits until a stop has come as far as `phase`.
    pub(crate) async fn wait_for_stop_phase(&self, phase: DrainPhase) {
        let order = |phase: &DrainPhase| match phase {
            DrainPhase::TakesLast => 0,
            DrainPhase::Drains => 1,
            DrainPhase::Ends => 2,
        };
        let mut stop = self.stop.subscribe();
        let reached = |known: &Option<DrainPhase>| {
            known
                .as_ref()
                .is_some_and(|known| order(known) >= order(&phase))
        };
        let _never_closed = stop.wait_for(reached).await;
    }

    pub(crate) fn running(&self) -> usize {
        self.running.load(Ordering::Relaxed)
    }

    /// Counts a request as running until the guard is dropped.
    pub(crate) fn run(self: &Arc<Self>) -> RunningGuard {
        self.running.fetch_add(1, Ordering::Relaxed);
        RunningGuard(self.clone())
    }
}

/// A request that has no whole answer yet.
pub(crate) struct RunningGuard(Arc<Shared>);

impl Drop for RunningGuard {
    fn drop(&mut self) {
        self.0.running.fetch_sub(1, Ordering::Relaxed);
    }
}

/// A request in progress on an endpoint, counted until this is dropped.
pub(crate) struct InFlightGuard {
    shared: Arc<Shared>,
    pool: PoolId,
    route: Arc<str>,
    endpoint: u32,
    since: Instant,
    /// It was never worked on, so that its stay says nothing of the pool.
    was_rejected: bool,
}

impl InFlightGuard {
    pub(crate) fn begin(shared: &Arc<Shared>, call: &Call, endpoint: u32) -> Self {
        shared.fleet().load.begin(endpoint);
        Self {
            shared: shared.clone(),
            pool: call.pool.clone(),
            route: call.route.name.clone(),
            endpoint,
            since: Instant::now(),
            was_rejected: false,
        }
    }

    /// The endpoint did not take the request in.
    pub(crate) fn mark_rejected(mut self) {
        self.was_rejected = true;
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        let mut fleet = self.shared.fleet();
        fleet.load.end(self.endpoint);
        if !self.was_rejected {
            let service_ms = self.since.elapsed().as_millis() as u64;
            let now_ms = self.shared.clock.now_ms();
            fleet.record_service_time(&self.pool, &self.route, service_ms, now_ms);
        }
    }
}

/// An organisation's request, counted until this is dropped.
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
    /// Tells that the list of endpoints changed.
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
        drop(fleet);
        self.event_log.emit(&Event::Endpoints {
            version,
            live,
            leaving,
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
