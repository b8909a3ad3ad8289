//! Settings of a gateway, whatever file they came from.

use std::net::SocketAddr;
use std::sync::Arc;

use chalkrock_core::{HostId, ZoneId};
use chalkrock_routing::{BudgetRules, ColdBound, ExposureBound, SpreadRules, SubscriptionTimings};

use crate::suspension::HostClock;

/// Within how long after a silence of the store all hosts know what changed,
/// if the settings name no bound.
const FOLLOW_BOUND_MS: u64 = 3_000;

/// Within how long an endpoint's entry tells what has become of it, if the
/// settings do not tell: three heartbeats of 1.2 s.
const ENTRY_DELAY_MS: u64 = 3_600;

/// What a host may use of a processor if the settings do not tell.
const ONE_CORE_MILLICORES: u16 = 1_000;

/// Hosts that are passed large rules at once if the settings do not tell the
/// link: as many as 100 Mbit/s bear with 5 Mbit/s each.
const UPLOADS_MAX: usize = 20;

/// Bytes of callers' bodies that are held at once if the settings do not tell
/// the memory.
const BODIES_MAX_BYTES: usize = 64 * 1024 * 1024;

/// Bytes of endpoints' answers that are held at once if the settings do not tell the
/// memory.
const ANSWERS_MAX_BYTES: usize = 32 * 1024 * 1024;

/// The settings of one gateway.
#[derive(Clone, Debug)]
pub struct GatewayConfig {
    pub(crate) host: HostId,
    pub(crate) zone: ZoneId,
    pub(crate) listen: SocketAddr,
    pub(crate) ready_listen: Option<SocketAddr>,
    pub(crate) metrics_listen: Option<SocketAddr>,
    pub(crate) peer_listen: Option<SocketAddr>,
    pub(crate) peer_seeds: Vec<SocketAddr>,
    pub(crate) grace_ms: u64,
    pub(crate) spread: SpreadRules,
    pub(crate) budget: BudgetRules,
    pub(crate) connections_max: usize,
    pub(crate) follow: SubscriptionTimings,
    pub(crate) evacuation_copy_ms: u64,
    pub(crate) cold_bound: Option<ColdBound>,
    pub(crate) entry_delay_ms: u64,
    pub(crate) exposure_bound: ExposureBound,
    pub(crate) capacity_millicores: u16,
    pub(crate) uploads_max: usize,
    pub(crate) bodies_max_bytes: usize,
    pub(crate) answers_max_bytes: usize,
    pub(crate) is_first_start: bool,
    pub(crate) host_clock: Option<Arc<dyn HostClock>>,
}

impl GatewayConfig {
    /// Begins with the host's name, its availability zone, and where callers
    /// connect.
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
            peer_seeds: Vec::new(),
            grace_ms: 8_000,
            spread: SpreadRules::default(),
            budget: BudgetRules {
                ratio: 0.1,
                slack: 20.0,
                window_ms: 10_000,
            },
            connections_max: 2_000,
            follow: SubscriptionTimings::for_bound(FOLLOW_BOUND_MS),
            evacuation_copy_ms: 0,
            cold_bound: None,
            entry_delay_ms: ENTRY_DELAY_MS,
            exposure_bound: ExposureBound::default(),
            capacity_millicores: ONE_CORE_MILLICORES,
            uploads_max: UPLOADS_MAX,
            bodies_max_bytes: BODIES_MAX_BYTES,
            answers_max_bytes: ANSWERS_MAX_BYTES,
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
    /// Where the entry balancer asks whether the host is ready.
    pub fn ready_listen(mut self, address: SocketAddr) -> Self {
        self.0.ready_listen = Some(address);
        self
    }

    /// Where metrics are told.
    pub fn metrics_listen(mut self, address: SocketAddr) -> Self {
        self.0.metrics_listen = Some(address);
        self
    }

    /// Where other hosts are heard, over UDP and TCP; without it the host
    /// talks to no other.
    pub fn peer_listen(mut self, address: SocketAddr) -> Self {
        self.0.peer_listen = Some(address);
        self
    }

    /// Hosts to talk to first; they may be gone.
    pub fn peer_seeds(mut self, seeds: Vec<SocketAddr>) -> Self {
        self.0.peer_seeds = seeds;
        self
    }

    /// Time from the signal to stop until the process is killed.
    pub fn grace_ms(mut self, grace_ms: u64) -> Self {
        self.0.grace_ms = grace_ms;
        self
    }

    /// Most load of an endpoint over the mean of its pool.
    pub fn load_multiple(mut self, multiple: f64) -> Self {
        self.0.spread.load_multiple = multiple;
        self
    }

    /// The bound on sends beyond each request's first.
    pub fn retry_budget(mut self, budget: BudgetRules) -> Self {
        self.0.budget = budget;
        self
    }

    /// Most connections of callers at once.
    pub fn connections_max(mut self, most: usize) -> Self {
        self.0.connections_max = most;
        self
    }

    /// Within how long after a silence of the store a host has to know what
    /// changed meanwhile.
    pub fn follow_bound_ms(mut self, bound_ms: u64) -> Self {
        self.0.follow = SubscriptionTimings::for_bound(bound_ms);
        self
    }

    /// How long prefixes are copied from the endpoints of a zone once it is
    /// known to be evacuated; by default none are.
    pub fn evacuation_copy_ms(mut self, copy_ms: u64) -> Self {
        self.0.evacuation_copy_ms = copy_ms;
        self
    }

    /// The bound on requests to cold endpoints; without one they are sent as
    /// many as others.
    pub fn cold_bound(mut self, bound: Option<ColdBound>) -> Self {
        self.0.cold_bound = bound;
        self
    }

    /// Within how long an endpoint's entry tells what has become of it.
    pub fn entry_delay_ms(mut self, delay_ms: u64) -> Self {
        self.0.entry_delay_ms = delay_ms;
        self
    }

    /// The bound on requests to a build that may be bad.
    pub fn exposure_bound(mut self, bound: ExposureBound) -> Self {
        self.0.exposure_bound = bound;
        self
    }

    /// What the host may use of a processor, in thousandths of a core: in a
    /// large fleet strong hosts relay for the others.
    pub fn capacity_millicores(mut self, millicores: u16) -> Self {
        self.0.capacity_millicores = millicores;
        self
    }

    /// Most other hosts that are passed large rules at once, one at least: these
    /// share the host's link, also with its callers.
    pub fn uploads_max(mut self, most: usize) -> Self {
        self.0.uploads_max = most.max(1);
        self
    }

    /// Most bytes of callers' bodies that are held at once. A body beyond is
    /// refused before it is read.
    pub fn bodies_max_bytes(mut self, most: usize) -> Self {
        self.0.bodies_max_bytes = most;
        self
    }

    /// Most bytes of endpoints' answers that are held at once for their callers. What
    /// is beyond stays with its endpoint until there is room.
    pub fn answers_max_bytes(mut self, most: usize) -> Self {
        self.0.answers_max_bytes = most;
        self
    }

    /// Whether the whole fleet starts for the first time, so that no host
    /// serves yet: hosts take more time to let a few read the platform for all.
    pub fn is_first_start(mut self, is_first_start: bool) -> Self {
        self.0.is_first_start = is_first_start;
        self
    }

    /// A clock that counts the time in which the host is suspended; without one a
    /// suspension is not noticed.
    pub fn host_clock(mut self, clock: Arc<dyn HostClock>) -> Self {
        self.0.host_clock = Some(clock);
        self
    }

    /// The settings.
    pub fn build(self) -> GatewayConfig {
        self.0
    }
}
