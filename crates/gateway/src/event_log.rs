//! Structured lines on standard output: what was decided, on what ground.
//!
//! A line is one JSON object. Lines are handed over through a bounded queue
//! and written together a few times a second by one task, so that neither a
//! request nor a slow reader waits for the other; a line that finds the queue
//! full is dropped, and how many were is told. log4rs' appenders write where
//! they are called, and would hold requests up while the reader is slow.

use std::fmt;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use chalkrock_core::{
    BuildVersion, EndpointId, HostId, Incarnation, OrganisationId, Outcome, PoolId, Reason,
    RequestId, ZoneId,
};
use chalkrock_routing::{
    AttemptOutcome, Basis, BuildAssessment, RequestFingerprint, RolloutReason, RolloutStage,
    RulesVersion, StoreVersion,
};
use serde::{Serialize, Serializer};
use tokio::io::AsyncWriteExt;
use tokio::sync::mpsc;

/// Lines that wait to be written.
const QUEUE_LINES: usize = 1_024;
/// How long lines are gathered before they are written.
const GATHER: Duration = Duration::from_millis(200);

/// One attempt at an endpoint, as told.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct AttemptRecord {
    pub(crate) endpoint: EndpointId,
    /// Requests on it over the fleet when it was chosen.
    pub(crate) load: u32,
    /// Why it was chosen.
    pub(crate) basis: Basis,
    /// Whether it was seen to hold the request's prefix.
    pub(crate) holds_prefix: bool,
    /// Whether it was cold.
    #[serde(skip_serializing_if = "std::ops::Not::not")]
    pub(crate) is_cold: bool,
    /// Another endpoint from which it may copy the prefix.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) copy_from: Option<SocketAddr>,
    /// When it was chosen, from the request's entry.
    pub(crate) at_ms: u64,
    /// Whether its answer said that the endpoint leaves.
    #[serde(skip_serializing_if = "std::ops::Not::not")]
    pub(crate) says_leaving: bool,
    /// For how long its answer asked this host to send the endpoint nothing.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) backoff_ms: Option<u64>,
    /// How it ended; `None` for an answer that was passed on.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) end: Option<AttemptOutcome>,
}

/// How a request ended, and all that it was decided by.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct RequestRecord {
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) id: Option<RequestId>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) route: Option<std::sync::Arc<str>>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) organisation: Option<OrganisationId>,
    pub(crate) rules: RulesVersion,
    /// What it has in common with its repeats; only told where an attempt
    /// brought no answer.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) fingerprint: Option<Digits>,
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub(crate) attempts: Vec<AttemptRecord>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) status: Option<u16>,
    pub(crate) outcome: Outcome,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) reason: Option<Reason>,
    #[serde(skip_serializing_if = "String::is_empty")]
    pub(crate) detail: String,
    pub(crate) took_ms: u64,
}

/// A fingerprint as people read it.
#[derive(Clone, Copy, Debug, Serialize)]
#[serde(transparent)]
pub(crate) struct Digits(#[serde(serialize_with = "as_digits")] pub(crate) RequestFingerprint);

fn as_digits<S: Serializer>(value: &impl fmt::Display, serializer: S) -> Result<S::Ok, S::Error> {
    serializer.collect_str(value)
}

/// How taking from another host what this one was missing ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum PullOutcome {
    /// Rules arrived.
    Rules,
    /// The host knows more, and passes it on to enough others.
    Busy,
    /// The host refused the connection or broke off.
    Broken,
    /// It was given up.
    GivenUp,
}

/// What is told.
#[derive(Debug, Serialize)]
#[serde(tag = "event", rename_all = "kebab-case")]
pub(crate) enum Event<'a> {
    /// The process began.
    Start { version: &'a str },
    /// It was asked to stop, or has come further in stopping.
    Stop { phase: &'a str, running: usize },
    /// Settings were read again.
    Reload,
    /// Rules came into force.
    Rules {
        version: RulesVersion,
        from: &'a str,
    },
    /// The list of endpoints changed.
    Endpoints {
        version: u64,
        live: usize,
        leaving: usize,
        from: &'a str,
    },
    /// A row of the platform's can't be read: another writer made it. It says
    /// nothing; the others hold.
    RowPassedOver {
        topic: &'a str,
        key: &'a str,
        version: StoreVersion,
        field: &'a str,
        found: &'a str,
    },
    /// Operators evacuated a zone or took it back, as of a version of the
    /// store; so many endpoints take new work from then on.
    Evacuation {
        zone: &'a ZoneId,
        is_evacuated: bool,
        version: StoreVersion,
        live: usize,
        from: &'a str,
    },
    /// Operators ordered to move a pool to another build, or took that back.
    RolloutOrder {
        pool: &'a PoolId,
        build: &'a BuildVersion,
        within_ms: u64,
        is_withdrawn: bool,
        from: &'a str,
    },
    /// A rollout went on, as of a version of the store; `evidence` is what answers said
    /// of the new build where that was decided.
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
    /// Endpoints said that they are cold, for so long at most: fewer requests
    /// are sent to them meanwhile.
    Cold {
        endpoints: &'a [&'a EndpointId],
        longest_ms: u64,
    },
    /// Taking from another host what this one was missing failed, or brought
    /// rules; `read_bytes` is what arrived of its answer.
    Pull {
        from: SocketAddr,
        outcome: PullOutcome,
        read_bytes: u64,
        took_ms: u64,
    },
    /// This host stood still; the steady clock did not count so much of it.
    Paused { length_ms: u64, uncounted_ms: u64 },
    /// What was known before a pause was asked for again, or could not be in time.
    Refreshed { in_time: bool },
    /// A dependency was lost or is back.
    Dependency {
        name: &'a str,
        is_up: bool,
        detail: &'a str,
    },
    /// The platform had answered no host for long and does again: endpoints
    /// whose entries lapsed take work for a while.
    StoreIsBack { away_ms: u64, keeps_lapsed_ms: u64 },
    /// Another process holds a port for datagrams that the system gave this host for
    /// connections; it asks for another.
    PortTaken { address: SocketAddr },
    /// The store came back from a copy, as often as the era says so far: what was
    /// written since the copy was made is gone, and versions are given out again.
    StoreIsRestored { era: u64 },
    /// Another host was heard first, or has fallen silent.
    Peer { address: SocketAddr, is_up: bool },
    /// It is this host's to read the platform, or no longer.
    Reads { has_turn: bool },
    /// This host began or ceased to tell other zones of its own; `sums_up`:
    /// and to tell the hosts of its zone the fleet's requests.
    Relays { is_relay: bool, sums_up: bool },
    /// This host began or ceased to go by the fleet's requests as relays of its
    /// zone sum them up; so many hosts are known by then.
    LoadSource { from_relays: bool, hosts: usize },
    /// An endpoint came under suspicion.
    Suspect {
        endpoint: &'a EndpointId,
        end: AttemptOutcome,
    },
    /// An endpoint leaves: it said so in an answer, another host heard it say so, or
    /// another endpoint answered at its address. This start of it is sent nothing more.
    EndpointLeaves {
        endpoint: &'a EndpointId,
        start: Incarnation,
        from: &'a str,
        #[serde(skip_serializing_if = "Option::is_none")]
        id: Option<&'a RequestId>,
    },
    /// A start that leaves is forgotten, two minutes after its entry went.
    LeavingForgotten {
        endpoint: &'a EndpointId,
        start: Incarnation,
    },
    /// An endpoint turned a request away and wants nothing from this host for so long,
    /// which goes by a little more.
    Backoff {
        endpoint: &'a EndpointId,
        start: Incarnation,
        asked_ms: u64,
        for_ms: u64,
        #[serde(skip_serializing_if = "Option::is_none")]
        id: Option<&'a RequestId>,
    },
    /// That time is over.
    BackoffEnded {
        endpoint: &'a EndpointId,
        start: Incarnation,
    },
    /// An answer asked for a time without requests that can't be read.
    UnreadableBackoff {
        endpoint: &'a EndpointId,
        id: Option<&'a RequestId>,
        found: &'a str,
    },
    /// An endpoint ended that had a request running which this host sent; so many
    /// are known to have ended under it.
    EndpointEnded {
        endpoint: &'a EndpointId,
        #[serde(serialize_with = "as_digits")]
        fingerprint: RequestFingerprint,
        ran_ms: u64,
        crashes: usize,
    },
    /// A request is sent no further, since endpoints ended under it, or may be sent
    /// again, since it ran well.
    Poison {
        #[serde(serialize_with = "as_digits")]
        fingerprint: RequestFingerprint,
        is_poison: bool,
        crashes: usize,
        from: &'a str,
    },
    /// A request ended.
    Request(&'a RequestRecord),
    /// The caller left before the end.
    CallerLeft {
        id: Option<&'a RequestId>,
        took_ms: u64,
    },
    /// A caller's connection was closed, since a head took this long.
    SlowHead { after_ms: u64 },
    /// A stream went on at another endpoint, or could not.
    Resume {
        id: Option<&'a RequestId>,
        after: Option<u64>,
        went_on: bool,
    },
}

#[derive(Serialize)]
struct Line<'a> {
    unix_ms: u64,
    host: &'a HostId,
    #[serde(flatten)]
    event: &'a Event<'a>,
}

/// Takes lines.
#[derive(Debug)]
pub(crate) struct EventLog {
    host: HostId,
    lines: mpsc::Sender<Vec<u8>>,
    dropped: AtomicU64,
}

impl EventLog {
    /// An event log, and what its writer reads from.
    pub(crate) fn new(host: HostId) -> (Self, mpsc::Receiver<Vec<u8>>) {
        let (lines, written) = mpsc::channel(QUEUE_LINES);
        let event_log = Self {
            host,
            lines,
            dropped: AtomicU64::new(0),
        };
        (event_log, written)
    }

    /// Tells an event, unless the queue is full.
    pub(crate) fn emit(&self, event: &Event<'_>) {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
        let line = Line {
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

    /// How many lines were dropped so far.
    pub(crate) fn dropped(&self) -> u64 {
        self.dropped.load(Ordering::Relaxed)
    }
}

/// Writes lines to standard output until the event log is gone.
pub(crate) async fn write_lines(mut lines: mpsc::Receiver<Vec<u8>>) {
    let mut stdout = tokio::io::stdout();
    let mut gathered = Vec::new();
    while let Some(line) = lines.recv().await {
        gathered.extend_from_slice(&line);
        tokio::time::sleep(GATHER).await;
        while let Ok(line) = lines.try_recv() {
            gathered.extend_from_slice(&line);
        }
        let written = stdout.write_all(&gathered).await;
        if written.is_err() || stdout.flush().await.is_err() {
            return;
        }
        gathered.clear();
    }
}
