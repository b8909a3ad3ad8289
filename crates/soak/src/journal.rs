//! What callers, endpoints and the store saw in one play.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// How a try of a caller ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TryEnd {
    /// A whole response with this status.
    Status(u16),
    /// A stream with the ids of its events.
    Stream {
        /// Ids as received.
        events: Vec<u64>,
        /// Whether it ended as complete.
        is_complete: bool,
        /// Number of events that the request asked for, with ids from 1.
        expected: u64,
        /// The event after which the caller took the stream up, or 0.
        #[serde(default)]
        after: u64,
        /// Builds that wrote the events, each once.
        #[serde(default)]
        builds: Vec<Arc<str>>,
        /// Whether only the close of the connection ended it, so that it is not known to be
        /// complete.
        #[serde(default)]
        is_close_delimited: bool,
        /// Whether it ended inside an event.
        #[serde(default)]
        ends_inside_event: bool,
        /// Whether the caller closed the connection, to take the stream up elsewhere.
        #[serde(default)]
        has_left: bool,
    },
    /// No connection, so that nothing was sent.
    NotSent,
    /// The connection broke or the caller gave up.
    Lost,
}

/// One try of a caller's request at a host.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Try {
    /// Identifies the try.
    pub id: Arc<str>,
    /// Identifies the request, which is the same for all of its tries.
    pub request: Arc<str>,
    /// Whether the request may run more than once.
    pub may_repeat: bool,
    /// The try that received the first event of the stream which this one takes up.
    #[serde(default)]
    pub resumes: Option<Arc<str>>,
    /// Route of the request.
    pub route: Arc<str>,
    /// Host that it was sent to.
    pub host: usize,
    /// Whether no proxy was on the way. A proxy accepts a connection that its server refuses, so
    /// that the caller can't tell whether its request was sent.
    pub is_direct: bool,
    /// When it was sent.
    pub sent_ms: u64,
    /// When it ended.
    pub ended_ms: u64,
    /// How it ended.
    pub end: TryEnd,
    /// Whether it was refused because endpoints crashed under it or a part of its prompt.
    #[serde(default)]
    pub is_blamed: bool,
}

/// A request as it reached an endpoint.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Arrival {
    /// Identifies the caller's try.
    pub try_id: Arc<str>,
    /// Identifies the request.
    pub request: Arc<str>,
    /// Route of the request.
    pub route: Arc<str>,
    /// Whether the request may run more than once.
    pub may_repeat: bool,
    /// Host that sent it.
    pub host: usize,
    /// The endpoint.
    pub endpoint: Arc<str>,
    /// The endpoint's service.
    pub service: Arc<str>,
    /// The endpoint's build.
    pub build: Arc<str>,
    /// When it arrived.
    pub at_ms: u64,
    /// Whether it ran.
    pub has_run: bool,
    /// Whether its response was bad.
    pub is_bad: bool,
    /// When its run ended.
    pub ended_ms: Option<u64>,
    /// Whether the endpoint was stopped under it as planned.
    pub was_stopped: bool,
    /// Whether a part of its prompt crashes endpoints.
    #[serde(default)]
    pub has_poison_part: bool,
}

/// When an endpoint was listed as ready.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EndpointSpan {
    /// The endpoint.
    pub endpoint: Arc<str>,
    /// Its service.
    pub service: Arc<str>,
    /// When its entry was acknowledged.
    pub from_ms: u64,
    /// When it ended or began to leave.
    pub to_ms: Option<u64>,
}

/// An endpoint's leaving.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Leaving {
    /// The endpoint.
    pub endpoint: Arc<str>,
    /// When the store acknowledged it.
    pub acknowledged_ms: u64,
    /// When the endpoint started again by its name.
    pub back_ms: Option<u64>,
}

/// A route's service according to the configuration.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RouteRule {
    /// The route.
    pub route: Arc<str>,
    /// The service that it leads to.
    pub service: Arc<str>,
    /// When the configuration was written.
    pub from_ms: u64,
    /// When its successor was acknowledged.
    pub until_ms: Option<u64>,
}

/// An order to roll out a build.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RolloutOrder {
    /// The service.
    pub service: Arc<str>,
    /// The build.
    pub build: Arc<str>,
    /// When the order was acknowledged.
    pub at_ms: u64,
    /// Its deadline.
    pub deadline_ms: u64,
    /// Whether the build is bad at any time.
    pub is_bad: bool,
}

/// What a disturbance affects.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum DisturbanceKind {
    /// The store, for all hosts.
    Store,
    /// The store, for one host.
    StoreOfHost(usize),
    /// A host's process was paused or absent.
    Host(usize),
    /// The link of callers to a host.
    CallerLink(usize),
    /// The link to an endpoint.
    EndpointLink(Arc<str>),
    /// An endpoint failed, was slow or absent.
    Endpoint(Arc<str>),
    /// Anything else that ends calm, such as an overrun or a rollout.
    Other,
}

/// A graceful stop of a host.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HostStop {
    /// The host.
    pub host: usize,
    /// When it was asked to stop.
    pub from_ms: u64,
    /// When its process had ended.
    pub to_ms: u64,
}

/// A time in which something was disturbed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Disturbance {
    /// What was disturbed.
    pub kind: DisturbanceKind,
    /// When it began.
    pub from_ms: u64,
    /// When it ended.
    pub to_ms: u64,
}

/// The build under which a host listed an endpoint when it sent a request there.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ListedBuild {
    /// The host.
    pub host: usize,
    /// The endpoint.
    pub endpoint: Arc<str>,
    /// The build according to the host, if it listed any.
    pub listed: Option<Arc<str>>,
    /// The build that the endpoint registered.
    pub registered: Arc<str>,
}

/// All that was seen in one play.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Journal {
    /// Tries of callers.
    pub tries: Vec<Try>,
    /// Requests at endpoints.
    pub arrivals: Vec<Arrival>,
    /// Times in which endpoints were ready.
    pub ready: Vec<EndpointSpan>,
    /// Endpoints that left.
    pub leavings: Vec<Leaving>,
    /// Rules of routes.
    pub rules: Vec<RouteRule>,
    /// Orders of rollouts.
    pub orders: Vec<RolloutOrder>,
    /// Graceful stops of hosts.
    pub stops: Vec<HostStop>,
    /// Disturbances.
    pub disturbances: Vec<Disturbance>,
    /// When endpoints crashed under requests with a poison part.
    #[serde(default)]
    pub part_crashes_ms: Vec<u64>,
    /// Builds under which hosts listed endpoints, each once.
    #[serde(default)]
    pub listed_builds: Vec<ListedBuild>,
    /// When the play's load began and ended.
    pub load_ms: (u64, u64),
}

impl Journal {
    /// Returns when the last disturbance ended; the begin of the load without any.
    pub fn calm_from_ms(&self) -> u64 {
        let ends = self
            .disturbances
            .iter()
            .map(|disturbance| disturbance.to_ms);
        ends.max().unwrap_or(self.load_ms.0)
    }
}
