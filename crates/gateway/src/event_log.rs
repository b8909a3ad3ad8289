//! Structured event log on standard output, one JSON object per line.
//!
//! A bounded queue and one writer task keep a slow reader from delaying requests, which
//! appenders that write in the caller's task would do. Lines that exceed the queue are
//! dropped and counted.

use std::collections::BTreeSet;
use std::fmt;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use chalkrock_core::{
    BuildVersion, EndpointId, HostId, Incarnation, OrganisationId, Outcome, PoolId, Reason,
    RequestId, ZoneId,
};
use chalkrock_routing::{
    AttemptOutcome, Basis, BuildAssessment, ListSource, RequestFingerprint, RolloutReason,
    RolloutStage, RulesVersion, StoreVersion, UnknownBuild, WorkBasis,
};
use serde::{Serialize, Serializer};
use tokio::io::AsyncWriteExt;
use tokio::sync::mpsc;

use crate::endpoint_connections::ConnectError;
use crate::framing::BodyFraming;
use crate::stream_origins::KnownFrom;
use crate::work::BacklogRecord;

/// Maximum number of queued lines.
const MAX_QUEUED_LINES: usize = 1_024;
/// How long lines are collected before they are written together.
const BATCH_WINDOW: Duration = Duration::from_millis(200);

/// The log record of one attempt at an endpoint.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct AttemptRecord {
    pub(crate) endpoint: EndpointId,
    /// Build of the endpoint, if it is known.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) build: Option<BuildVersion>,
    /// Requests in progress on it over the fleet when it was chosen.
    pub(crate) load: u32,
    /// Why it was chosen.
    pub(crate) basis: Basis,
    /// Why it was chosen by its work instead, if it was.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) work_basis: Option<WorkBasis>,
    /// Expected time to the first event, if it can be estimated.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) expected_ttft_ms: Option<u64>,
    /// Tokens that it has to read and to copy, if the request says how many there are.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) read_tokens: Option<u32>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) copied_tokens: Option<u32>,
    /// Time from the send to the first event, if one came.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) ttft_ms: Option<u64>,
    /// Longest time between two chunks of its stream.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) longest_pause_ms: Option<u64>,
    /// Whether it was known to hold the request's prefix.
    pub(crate) holds_prefix: bool,
    /// Whether the endpoint was cold.
    #[serde(skip_serializing_if = "std::ops::Not::not")]
    pub(crate) is_cold: bool,
    /// Another endpoint from which it may copy the prefix.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) copy_from: Option<SocketAddr>,
    /// The host through which it was forwarded.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) next_hop: Option<SocketAddr>,
    /// How long the request waited for the slot, if the pool's scheduler granted it.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) waited_ms: Option<u64>,
    /// Incarnation of that scheduler.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) scheduler_epoch: Option<u64>,
    /// When it was chosen, relative to the request's entry.
    pub(crate) at_ms: u64,
    /// Time since it was paid from the retry budget, if it is a retry that was.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) paid_ago_ms: Option<u64>,
    /// Whether its response reported that the endpoint is leaving.
    #[serde(skip_serializing_if = "std::ops::Not::not")]
    pub(crate) says_leaving: bool,
    /// The backoff that its response requested.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) backoff_ms: Option<u64>,
    /// What delimits the body of its response, if that is known.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) framing: Option<BodyFraming>,
    /// Whether its stream ended inside an event.
    #[serde(skip_serializing_if = "std::ops::Not::not")]
    pub(crate) ended_inside_event: bool,
    /// How it failed; `None` for a response that was relayed.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) end: Option<AttemptOutcome>,
    /// Why there was no connection, if that is how it failed.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) connect_error: Option<ConnectError>,
}

/// The log record of a request.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct RequestRecord {
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) id: Option<RequestId>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) route: Option<std::sync::Arc<str>>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) organisation: Option<OrganisationId>,
    pub(crate) rules: RulesVersion,
    /// Identical for all repeats of the request; set only if an attempt failed.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) fingerprint: Option<Digits>,
    /// The event after which the caller resumes a stream, and the request that received the
    /// first event of it.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) resume_after: Option<u64>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) resumes: Option<RequestId>,
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub(crate) attempts: Vec<AttemptRecord>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) status: Option<u16>,
    pub(crate) outcome: Outcome,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) reason: Option<Reason>,
    #[serde(skip_serializing_if = "String::is_empty")]
    pub(crate) detail: String,
    /// When the caller may return.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) retry_after_ms: Option<u64>,
    pub(crate) took_ms: u64,
}

/// A fingerprint in its display format.
#[derive(Clone, Copy, Debug, Serialize)]
#[serde(transparent)]
pub(crate) struct Digits(#[serde(serialize_with = "as_digits")] pub(crate) RequestFingerprint);

fn as_hex<S: Serializer>(digest: &u64, serializer: S) -> Result<S::Ok, S::Error> {
    serializer.collect_str(&format_args!("{digest:016x}"))
}

fn as_digits<S: Serializer>(value: &impl fmt::Display, serializer: S) -> Result<S::Ok, S::Error> {
    serializer.collect_str(value)
}

/// Prompt parts listed in one line.
const MAX_LOGGED_PARTS: usize = 16;

/// The first hashes of prompt parts in hexadecimal.
fn as_part_digits<S: Serializer>(parts: &[u32], serializer: S) -> Result<S::Ok, S::Error> {
    let parts = parts.iter().take(MAX_LOGGED_PARTS);
    serializer.collect_seq(parts.map(|part| format!("{part:08x}")))
}

fn as_part<S: Serializer>(part: &u32, serializer: S) -> Result<S::Ok, S::Error> {
    serializer.collect_str(&format_args!("{part:08x}"))
}

/// How a host noticed that an endpoint crashed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum CrashNotice {
    /// A connection broke under a request.
    BrokenAttempt,
    /// A connection closed at the end of an answer that has no other end.
    ClosedAnswer,
    /// A connection that was kept for reuse closed.
    ClosedConnection,
    /// A request could not be sent since new connections are refused.
    RefusedConnection,
    /// Another start is listed at its address.
    Replaced,
    /// Its entry was removed although it had not reported that it leaves.
    Unlisted,
    /// Another host reported it.
    Peer,
}

/// How a pull of missing state from another host ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum PullOutcome {
    /// Rules were received.
    Rules,
    /// A whole list of endpoints was received.
    Endpoints,
    /// Changes of the list of endpoints were received.
    Changes,
    /// The host serves too many other pulls.
    Busy,
    /// The connection was refused or closed early.
    Broken,
    /// The pull timed out.
    GivenUp,
}

/// What a host does about a list that differs from another one's.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum ListAction {
    /// It compares with further hosts.
    Compare,
    /// It reads its list from the store again.
    ReadStore,
    /// It gets the whole list of the other host, as the store has not answered.
    PullList,
}

/// An event to log.
#[derive(Debug, Serialize)]
#[serde(tag = "event", rename_all = "kebab-case")]
pub(crate) enum Event<'a> {
    /// The process started.
    Start { version: &'a str },
    /// A stop was requested or reached its next phase.
    Stop { phase: &'a str, running: usize },
    /// Settings were reloaded.
    Reload,
    /// Rules took effect.
    Rules {
        version: RulesVersion,
        from: &'a str,
    },
    /// An endpoint became slower than its pool for longer, or is usual again.
    EndpointSlow {
        endpoint: &'a EndpointId,
        is_slow: bool,
        slowness: f64,
    },
    /// The list of endpoints changed. Hosts with the same list log the same `digest`.
    Endpoints {
        version: u64,
        live: usize,
        leaving: usize,
        #[serde(serialize_with = "as_hex")]
        digest: u64,
        from: &'a str,
    },
    /// Another host lists other endpoints or builds as of the same version.
    ListsDiffer {
        other: SocketAddr,
        version: StoreVersion,
        #[serde(serialize_with = "as_hex")]
        digest: u64,
        #[serde(serialize_with = "as_hex")]
        other_digest: u64,
        source: ListSource,
        other_source: ListSource,
        action: ListAction,
    },
    /// A row of the store can't be parsed and is skipped.
    RowPassedOver {
        topic: &'a str,
        key: &'a str,
        version: StoreVersion,
        field: &'a str,
        found: &'a str,
    },
    /// Operators evacuated an availability zone or cancelled its evacuation; `live`
    /// endpoints accept requests afterwards.
    Evacuation {
        zone: &'a ZoneId,
        is_evacuated: bool,
        version: StoreVersion,
        live: usize,
        from: &'a str,
    },
    /// Operators ordered a rollout of a build to a pool, or withdrew it.
    RolloutOrder {
        pool: &'a PoolId,
        build: &'a BuildVersion,
        within_ms: u64,
        is_withdrawn: bool,
        from: &'a str,
    },
    /// A rollout changed its stage. `evidence` is the assessment of the new build, if it
    /// decided the change.
    Rollout {
        pool: &'a PoolId,
        build: &'a BuildVersion,
        stage: RolloutStage,
        reason: RolloutReason,
        age_ms: u64,
        version: StoreVersion,
        #[serde(skip_serializing_if = "Option::is_none")]
        evidence: Option<&'a BuildAssessment>,
        from: &'a str,
    },
    /// All routes of a rollout have moved, and it is not done: `old_in_progress` requests run
    /// at old endpoints, or `silent_hosts` may run some for up to `remaining_ms`.
    RolloutWaits {
        pool: &'a PoolId,
        build: &'a BuildVersion,
        age_ms: u64,
        old_in_progress: u32,
        silent_hosts: usize,
        remaining_ms: u64,
    },
    /// This host gets no news of rollouts, and so follows their plans, or gets some again.
    RolloutCutOff {
        is_cut_off: bool,
        heard_hosts: usize,
        known_hosts: usize,
    },
    /// Endpoints reported that they are cold and receive fewer requests for up to
    /// `longest_ms`.
    Cold {
        endpoints: &'a [&'a EndpointId],
        longest_ms: u64,
    },
    /// A pull of missing state from another host failed, or returned rules or endpoints.
    Pull {
        from: SocketAddr,
        outcome: PullOutcome,
        read_bytes: u64,
        took_ms: u64,
    },
    /// This host was suspended; its steady clock missed `uncounted_ms` of that.
    Paused { length_ms: u64, uncounted_ms: u64 },
    /// State from before a suspension was refreshed, or could not be in time.
    Refreshed { in_time: bool },
    /// A dependency failed or recovered.
    Dependency {
        name: &'a str,
        is_up: bool,
        detail: &'a str,
    },
    /// The store recovered from a long outage. Endpoints with lapsed entries are kept
    /// for `keeps_lapsed_ms`.
    StoreIsBack { away_ms: u64, keeps_lapsed_ms: u64 },
    /// A poll beside a long poll brought changes that the long poll had not, so that its answer
    /// was lost or is late. The store had answered no host on the topic for `age_ms`.
    LostPoll {
        topic: &'a str,
        age_ms: u64,
        rows: usize,
    },
    /// The hosts that share the slack changed between two retries that were to be paid. `None`
    /// means that this host has no part in it. `credits` are the retries that its requests still
    /// back, and `slack_spent` those that it paid from the slack in the window.
    RetryBudget {
        pool: &'a PoolId,
        sharers: Option<usize>,
        previous_sharers: Option<usize>,
        credits: u32,
        slack_spent: u32,
    },
    /// The TCP port that the system assigned is taken for UDP; another one is tried.
    PortTaken { address: SocketAddr },
    /// The store was restored from a backup: later writes are lost and versions are
    /// reused. `era` counts the restorations.
    StoreIsRestored { era: u64 },
    /// Another host was discovered, or fell silent.
    Peer { address: SocketAddr, is_up: bool },
    /// This host became or ceased to be a subscriber of the store.
    Reads { has_turn: bool },
    /// This host became or ceased to be a relay of its zone; `sums_up`: it sends fleet
    /// aggregates to the hosts of its zone.
    Relays { is_relay: bool, sums_up: bool },
    /// This host began or ceased to use the fleet aggregates of its zone's relays.
    LoadSource { from_relays: bool, hosts: usize },
    /// An organisation began or ceased to demand more than its share of a loaded pool.
    /// Ratios are against its fair share.
    OverShare {
        pool: &'a PoolId,
        organisation: &'a OrganisationId,
        is_over: bool,
        demand_ratio: f64,
        use_ratio: f64,
    },
    /// This host began or ceased to be partitioned from a pool: it can't open connections to
    /// half of its endpoints or more, and other hosts reach them.
    Partitioned {
        pool: &'a PoolId,
        is_partitioned: bool,
        reached_by_others: usize,
        endpoints: usize,
        #[serde(skip_serializing_if = "Option::is_none")]
        lasted_ms: Option<u64>,
    },
    /// An endpoint became suspect.
    Suspect {
        endpoint: &'a EndpointId,
        end: AttemptOutcome,
    },
    /// An endpoint is leaving, as it or another host reported, or because another
    /// endpoint responded at its address.
    EndpointLeaves {
        endpoint: &'a EndpointId,
        start: Incarnation,
        from: &'a str,
        #[serde(skip_serializing_if = "Option::is_none")]
        id: Option<&'a RequestId>,
    },
    /// A leaving start of an endpoint is forgotten after its entry was removed.
    LeavingForgotten {
        endpoint: &'a EndpointId,
        start: Incarnation,
    },
    /// An endpoint refused a request and requested a backoff, which this host extends
    /// to `for_ms`.
    Backoff {
        endpoint: &'a EndpointId,
        start: Incarnation,
        asked_ms: u64,
        for_ms: u64,
        #[serde(skip_serializing_if = "Option::is_none")]
        id: Option<&'a RequestId>,
    },
    /// An endpoint reported how many rejections a second it tolerates, or ceased to.
    RejectionLimit {
        endpoint: &'a EndpointId,
        #[serde(skip_serializing_if = "Option::is_none")]
        limit_per_s: Option<u32>,
    },
    /// A requested backoff ended.
    BackoffEnded {
        endpoint: &'a EndpointId,
        start: Incarnation,
    },
    /// A response requested a backoff that can't be parsed.
    UnreadableBackoff {
        endpoint: &'a EndpointId,
        id: Option<&'a RequestId>,
        found: &'a str,
    },
    /// An endpoint crashed while it ran a request of this host; `crashes` are known for
    /// this request. `parts` are the hashes of the prompt's shareable parts, and `has_begun`
    /// says whether the head of the response had arrived.
    EndpointEnded {
        endpoint: &'a EndpointId,
        #[serde(serialize_with = "as_digits")]
        fingerprint: RequestFingerprint,
        #[serde(
            skip_serializing_if = "<[_]>::is_empty",
            serialize_with = "as_part_digits"
        )]
        parts: &'a [u32],
        has_begun: bool,
        ran_ms: u64,
        crashes: usize,
    },
    /// This host confirmed that an endpoint crashed, and had requests there that count against
    /// the parts of their prompts, by how far they had come.
    EndpointCrashed {
        endpoint: &'a EndpointId,
        noticed_by: CrashNotice,
        unanswered: usize,
        recent: usize,
        lasting: usize,
        past: usize,
    },
    /// A request is refused as a poison request, or allowed again after it completed.
    Poison {
        #[serde(serialize_with = "as_digits")]
        fingerprint: RequestFingerprint,
        is_poison: bool,
        crashes: usize,
        from: &'a str,
    },
    /// Requests with a prompt part are refused, or allowed again since answers on it go on.
    PoisonPart {
        #[serde(serialize_with = "as_part")]
        part: u32,
        is_poison: bool,
        crashes: usize,
        from: &'a str,
    },
    /// Requests of a pool began or ceased to wait for slots that its scheduler grants.
    PoolContended {
        pool: &'a PoolId,
        is_contended: bool,
        in_progress: u32,
        slots: u32,
        hosts: usize,
    },
    /// A pool of engines became overrun, or its overrun ended.
    PoolOverrun {
        pool: &'a PoolId,
        is_overrun: bool,
        in_progress: u32,
        slots: u32,
        endpoints: u32,
        full_endpoints: u32,
        age_ms: u64,
    },
    /// A request to an overrun pool was sent, held or rejected.
    Backlog(&'a BacklogRecord<'a>),
    /// A host replied as the scheduler of a pool.
    Scheduler {
        pool: &'a PoolId,
        address: SocketAddr,
        epoch: u64,
    },
    /// Another host is asked to schedule a pool: the one before does not reply, or another
    /// one ranks first.
    SchedulerReplaced {
        pool: &'a PoolId,
        address: SocketAddr,
        next: SocketAddr,
    },
    /// A request completed.
    Request(&'a RequestRecord),
    /// An attempt for another host ended.
    Forwarded {
        id: Option<&'a RequestId>,
        origin: &'a HostId,
        attempts: &'a [AttemptRecord],
        #[serde(skip_serializing_if = "Option::is_none")]
        status: Option<u16>,
        #[serde(skip_serializing_if = "Option::is_none")]
        end: Option<AttemptOutcome>,
        is_complete: bool,
        took_ms: u64,
    },
    /// The caller disconnected early.
    CallerLeft {
        id: Option<&'a RequestId>,
        #[serde(skip_serializing_if = "<[_]>::is_empty")]
        attempts: &'a [AttemptRecord],
        took_ms: u64,
    },
    /// A caller's connection was closed because a request head took too long.
    SlowHead { after_ms: u64 },
    /// This host learned which builds pools had before it followed the list.
    PastLearned { pools: usize, from: &'a str },
    /// The store's record of the builds of a pool changed.
    BuildsRecorded {
        pool: &'a PoolId,
        listed: &'a BTreeSet<BuildVersion>,
        version: StoreVersion,
        from: &'a str,
    },
    /// A caller took up the stream that began with the request `resumes`. It goes on at
    /// `build`, or was refused because that is unknown or has no endpoint. If no host knows
    /// the stream, `list_age_ms` is the time since the list was the store's, and
    /// `only_build` says why its only build may not be the one that began the stream.
    StreamTakenUp {
        id: Option<&'a RequestId>,
        #[serde(skip_serializing_if = "Option::is_none")]
        resumes: Option<&'a RequestId>,
        #[serde(skip_serializing_if = "Option::is_none")]
        build: Option<&'a BuildVersion>,
        #[serde(skip_serializing_if = "Option::is_none")]
        known_from: Option<KnownFrom>,
        #[serde(skip_serializing_if = "Option::is_none")]
        age_ms: Option<u64>,
        #[serde(skip_serializing_if = "Option::is_none")]
        list_age_ms: Option<u64>,
        #[serde(skip_serializing_if = "Option::is_none")]
        only_build: Option<UnknownBuild>,
        goes_on: bool,
    },
    /// Records of where streams began were read from the store, from rows whose keys begin
    /// with `prefix`.
    StreamRecordsRead {
        prefix: &'a str,
        rows: usize,
        /// Rows that can't be read.
        unreadable: usize,
        /// Records that are valid.
        streams: usize,
        took_ms: u64,
    },
    /// A stream resumed at another endpoint, or could not.
    Resume {
        id: Option<&'a RequestId>,
        after: Option<u64>,
        went_on: bool,
    },
}

#[derive(Serialize)]
struct LogLine<'a> {
    unix_ms: u64,
    host: &'a HostId,
    #[serde(flatten)]
    event: &'a Event<'a>,
}

/// Queues events for the writer.
#[derive(Debug)]
pub(crate) struct EventLog {
    host: HostId,
    lines: mpsc::Sender<Vec<u8>>,
    dropped: AtomicU64,
}

impl EventLog {
    /// Creates an event log and the queue for its writer.
    pub(crate) fn new(host: HostId) -> (Self, mpsc::Receiver<Vec<u8>>) {
        let (lines, queue) = mpsc::channel(MAX_QUEUED_LINES);
        let event_log = Self {
            host,
            lines,
            dropped: AtomicU64::new(0),
        };
        (event_log, queue)
    }

    /// Logs an event, unless the queue is full.
    pub(crate) fn emit(&self, event: &Event<'_>) {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
        let line = LogLine {
            unix_ms: since_epoch.map_or(0, |since| since.as_millis() as u64),
            host: &self.host,
            event,
        };
        let Ok(mut bytes) = serde_json::to_vec(&line) else {
            return;
        };
        bytes.push(b'\n');
        if self.lines.try_send(bytes).is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// The number of dropped lines.
    pub(crate) fn dropped(&self) -> u64 {
        self.dropped.load(Ordering::Relaxed)
    }
}

/// Writes lines to standard output until the event log is dropped.
pub(crate) async fn write_lines(mut lines: mpsc::Receiver<Vec<u8>>) {
    let mut stdout = tokio::io::stdout();
    let mut batch = Vec::new();
    while let Some(line) = lines.recv().await {
        batch.extend_from_slice(&line);
        tokio::time::sleep(BATCH_WINDOW).await;
        while let Ok(line) = lines.try_recv() {
            batch.extend_from_slice(&line);
        }
        let written = stdout.write_all(&batch).await;
        if written.is_err() || stdout.flush().await.is_err() {
            return;
        }
        batch.clear();
    }
}
