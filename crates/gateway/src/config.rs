//! Settings of a gateway.

use std::net::SocketAddr;
use std::sync::Arc;

use chalkrock_core::{HostId, ZoneId};
use chalkrock_routing::{
    BudgetPhases, BudgetRules, ColdBound, ExposureBound, HostCapacity, SpreadRules,
    SubscriptionTimings,
};

use crate::suspension::HostClock;

/// Default time after an outage of the store within which all hosts know the changes.
const DEFAULT_FOLLOW_BOUND_MS: u64 = 3_000;

/// Default time within which an endpoint's entry follows its state: three heartbeats of
/// 1.2 s.
const DEFAULT_ENTRY_DELAY_MS: u64 = 3_600;

/// Default processor capacity of a host.
const DEFAULT_CAPACITY_MILLICORES: u16 = 1_000;

/// Default limit of concurrent uploads of large rules: 5 Mbit/s each on a link of
/// 100 Mbit/s.
const DEFAULT_MAX_UPLOADS: usize = 20;

/// Default limit of callers' bodies in memory.
const DEFAULT_MAX_BODY_BYTES: usize = 64 * 1024 * 1024;

/// Default limit of endpoints' answers in memory.
const DEFAULT_MAX_ANSWER_BYTES: usize = 32 * 1024 * 1024;

/// The settings of one gateway.
#[derive(Clone, Debug)]
pub struct GatewayConfig {
    pub(crate) host: HostId,
    pub(crate) zone: ZoneId,
    pub(crate) listen: SocketAddr,
    pub(crate) ready_listen: Option<SocketAddr>,
    pub(crate) metrics_listen: Option<SocketAddr>,
    pub(crate) peer_listen: Option<SocketAddr>,
    pub(crate) forward_listen: Option<SocketAddr>,
    pub(crate) peer_seeds: Vec<SocketAddr>,
    pub(crate) grace_ms: u64,
    pub(crate) spread: SpreadRules,
    pub(crate) budget: BudgetRules,
    pub(crate) budget_phases: Option<BudgetPhases>,
    pub(crate) connections_max: usize,
    pub(crate) follow: SubscriptionTimings,
    pub(crate) evacuation_copy_ms: u64,
    pub(crate) cold_bound: Option<ColdBound>,
    pub(crate) entry_delay_ms: u64,
    pub(crate) exposure_bound: ExposureBound,
    pub(crate) capacity: HostCapacity,
    pub(crate) uploads_max: usize,
    pub(crate) bodies_max_bytes: usize,
    pub(crate) answers_max_bytes: usize,
    pub(crate) is_first_start: bool,
    pub(crate) host_clock: Option<Arc<dyn HostClock>>,
}

impl GatewayConfig {
    /// A builder for a host's name, its availability zone and the address for callers.
    pub fn builder(
        host: impl Into<HostId>,
        zone: impl Into<ZoneId>,
        listen: SocketAddr,
    ) -> GatewayConfigBuilder {
        GatewayConfigBuilder(Self {
            host: host.into(),
            zone: zone.into(),
            listen,
            ready_listen: None,
            metrics_listen: None,
            peer_listen: None,
            forward_listen: None,
            peer_seeds: Vec::new(),
            grace_ms: 8_000,
            spread: SpreadRules::default(),
            budget_phases: None,
            budget: BudgetRules {
                ratio: 0.1,
                slack: 20.0,
                window_ms: 10_000,
            },
            connections_max: 2_000,
            follow: SubscriptionTimings::for_bound(DEFAULT_FOLLOW_BOUND_MS),
            evacuation_copy_ms: 0,
            cold_bound: None,
            entry_delay_ms: DEFAULT_ENTRY_DELAY_MS,
            exposure_bound: ExposureBound::default(),
            capacity: HostCapacity {
                millicores: DEFAULT_CAPACITY_MILLICORES,
                link_mbps: None,
                memory_mib: None,
            },
            uploads_max: DEFAULT_MAX_UPLOADS,
            bodies_max_bytes: DEFAULT_MAX_BODY_BYTES,
            answers_max_bytes: DEFAULT_MAX_ANSWER_BYTES,
            is_first_start: false,
            host_clock: None,
        })
    }

    /// The host's name.
    pub fn host(&self) -> &HostId {
        &self.host
    }
}

/// Builds a [`GatewayConfig`].
#[derive(Clone, Debug)]
pub struct GatewayConfigBuilder(GatewayConfig);

impl GatewayConfigBuilder {
    /// The address that serves readiness to the entry balancer.
    pub fn ready_listen(mut self, address: SocketAddr) -> Self {
        self.0.ready_listen = Some(address);
        self
    }

    /// The address that serves metrics.
    pub fn metrics_listen(mut self, address: SocketAddr) -> Self {
        self.0.metrics_listen = Some(address);
        self
    }

    /// The address for messages of other hosts, over UDP and TCP. Without it, the host
    /// exchanges none.
    pub fn peer_listen(mut self, address: SocketAddr) -> Self {
        self.0.peer_listen = Some(address);
        self
    }

    /// The address at which other hosts forward requests for endpoints that they can't
    /// reach. Without it, the host serves none for them.
    pub fn forward_listen(mut self, address: Option<SocketAddr>) -> Self {
        self.0.forward_listen = address;
        self
    }

    /// Hosts to contact first. They may be gone.
    pub fn peer_seeds(mut self, seeds: Vec<SocketAddr>) -> Self {
        self.0.peer_seeds = seeds;
        self
    }

    /// Time from the signal to stop until the process is killed.
    pub fn grace_ms(mut self, grace_ms: u64) -> Self {
        self.0.grace_ms = grace_ms;
        self
    }

    /// Highest ratio of an endpoint's load to its pool's mean.
    pub fn load_multiple(mut self, multiple: f64) -> Self {
        self.0.spread.load_multiple = multiple;
        self
    }

    /// The limit on attempts beyond each request's first.
    pub fn retry_budget(mut self, budget: BudgetRules) -> Self {
        self.0.budget = budget;
        self
    }

    /// Sets the fractions with which retry budgets begin. They are drawn at random by default;
    /// fixed ones make a single host's retries repeatable.
    pub fn retry_budget_phases(mut self, phases: BudgetPhases) -> Self {
        self.0.budget_phases = Some(phases);
        self
    }

    /// Most concurrent connections of callers.
    pub fn connections_max(mut self, limit: usize) -> Self {
        self.0.connections_max = limit;
        self
    }

    /// Time after an outage of the store within which a host has to know the changes.
    pub fn follow_bound_ms(mut self, bound_ms: u64) -> Self {
        self.0.follow = SubscriptionTimings::for_bound(bound_ms);
        self
    }

    /// Time after the start of a zone's evacuation in which prefixes are copied from its
    /// endpoints. By default none are.
    pub fn evacuation_copy_ms(mut self, copy_ms: u64) -> Self {
        self.0.evacuation_copy_ms = copy_ms;
        self
    }

    /// The limit on requests to cold endpoints. Without it, they receive as many as
    /// others.
    pub fn cold_bound(mut self, bound: Option<ColdBound>) -> Self {
        self.0.cold_bound = bound;
        self
    }

    /// Time within which an endpoint's entry in the store follows its state.
    pub fn entry_delay_ms(mut self, delay_ms: u64) -> Self {
        self.0.entry_delay_ms = delay_ms;
        self
    }

    /// The limit on requests to a build that is not yet trusted.
    pub fn exposure_bound(mut self, bound: ExposureBound) -> Self {
        self.0.exposure_bound = bound;
        self
    }

    /// The host's processor capacity in thousandths of a core. In a large fleet, hosts with
    /// room in processor, link and memory are relays.
    pub fn capacity_millicores(mut self, millicores: u16) -> Self {
        self.0.capacity.millicores = millicores;
        self
    }

    /// The host's link in Mbit/s. By default it sets no limit.
    pub fn link_mbps(mut self, link_mbps: Option<f64>) -> Self {
        self.0.capacity.link_mbps = link_mbps;
        self
    }

    /// The host's memory in MiB. By default it sets no limit.
    pub fn memory_mib(mut self, memory_mib: Option<f64>) -> Self {
        self.0.capacity.memory_mib = memory_mib;
        self
    }

    /// Most concurrent uploads of large rules to other hosts, at least one. They share the
    /// host's link with its callers.
    pub fn uploads_max(mut self, limit: usize) -> Self {
        self.0.uploads_max = limit.max(1);
        self
    }

    /// Most bytes of callers' bodies in memory. A body beyond is refused before it is read.
    pub fn bodies_max_bytes(mut self, limit: usize) -> Self {
        self.0.bodies_max_bytes = limit;
        self
    }

    /// Most bytes of endpoints' answers in memory. Beyond, reading from endpoints waits.
    pub fn answers_max_bytes(mut self, limit: usize) -> Self {
        self.0.answers_max_bytes = limit;
        self
    }

    /// Whether the whole fleet starts for the first time and no host serves yet. Hosts then
    /// wait longer, so that a few read the store for all.
    pub fn is_first_start(mut self, is_first_start: bool) -> Self {
        self.0.is_first_start = is_first_start;
        self
    }

    /// A clock that also advances while the host is suspended. Without it, suspensions of
    /// the host are not detected.
    pub fn host_clock(mut self, clock: Arc<dyn HostClock>) -> Self {
        self.0.host_clock = Some(clock);
        self
    }

    /// Returns the settings.
    pub fn build(self) -> GatewayConfig {
        self.0
    }
}
