//! Finds the build at which a stream began that a caller takes up.
//!
//! The build is recorded here and at a few other hosts before the first event reaches the
//! caller. A stream whose build is not known may not go on: it could only be continued at
//! any build.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};
use std::time::Duration;

use chalkrock_core::{BuildVersion, OrganisationId, PoolId, Reason};
use chalkrock_routing::{Route, RouteKind, StreamKey, StreamOrigin, StreamOrigins, UnknownBuild};
use serde::{Deserialize, Serialize, Serializer};
use tokio::net::UdpSocket;
use tokio::sync::mpsc;
use tokio::time::Instant;

use crate::call::Call;
use crate::edge::{CallHead, Refusal};
use crate::event_log::Event;
use crate::metrics::Direction;
use crate::peers::{Datagram, PeerTable};
use crate::shared::Shared;

/// Other hosts that keep a copy. With this host's own record, a stream is known after the loss
/// of any three hosts.
const COPIES: usize = 3;
/// Hosts that are asked. More than `COPIES`, since hosts that were lost rank among them.
const MAX_ASKED: usize = 12;
/// Time after which hosts that did not reply are asked again.
const ASK_INTERVAL: Duration = Duration::from_millis(60);
/// Time after which the build counts as unknown.
pub(crate) const ASK_TIMEOUT: Duration = Duration::from_millis(250);
/// Time for which a take-up waits until this host has learned which builds the pool had. A
/// host that starts learns it just after the list.
const PAST_WAIT: Duration = Duration::from_millis(400);
/// Timeouts of the route for which callers may take a stream up: one for the request that
/// began it, and one for the caller's tries.
const RETENTION_TIMEOUTS: u64 = 2;
pub(crate) const MAX_RETENTION_MS: u64 = 120_000;

/// The record of a stream that began, for another host.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct StreamRecord {
    pub(crate) key: StreamKey,
    pub(crate) origin: StreamOrigin,
    pub(crate) retention_ms: u32,
}

/// Asks whether a host knows a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct StreamAsk {
    pub(crate) key: StreamKey,
    /// Identifies the ask at the host that sends it.
    pub(crate) number: u64,
}

/// The reply to a [`StreamAsk`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct StreamReply {
    pub(crate) number: u64,
    /// The origin and its age in milliseconds, if the host knows it.
    pub(crate) origin: Option<(StreamOrigin, u32)>,
}

/// How this host knows the build at which a stream began.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum KnownFrom {
    /// From its own record or a copy.
    Own,
    /// From the store.
    Store,
    /// From another host.
    Peer(SocketAddr),
    /// The pool has had no other build for as long as the stream may last.
    OnlyBuild,
}

impl Serialize for KnownFrom {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        match self {
            Self::Own => serializer.serialize_str("own"),
            Self::Store => serializer.serialize_str("store"),
            Self::Peer(address) => serializer.collect_str(address),
            Self::OnlyBuild => serializer.serialize_str("only-build"),
        }
    }
}

/// Where a stream began, and how this host knows.
struct KnownOrigin {
    pool: PoolId,
    build: BuildVersion,
    /// Time since the first event; `None` if the stream itself is unknown.
    age_ms: Option<u64>,
    from: KnownFrom,
}

/// What hosts are asked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum AskKind {
    /// What they remember.
    Memory,
    /// What they remember or find in the store.
    Store,
}

/// A reply and the host that sent it.
#[derive(Debug)]
struct Reply {
    from: SocketAddr,
    kind: AskKind,
    origin: Option<(StreamOrigin, u32)>,
}

/// Origins of streams that this host keeps, and its asks for others.
#[derive(Default)]
pub(crate) struct StreamOriginTable {
    known: Mutex<StreamOrigins>,
    asks: Mutex<HashMap<u64, (AskKind, mpsc::Sender<Reply>)>>,
    next_ask: AtomicU64,
    /// The other hosts and the socket for them, once this host exchanges datagrams.
    link: OnceLock<(Arc<PeerTable>, Arc<UdpSocket>)>,
}

impl StreamOriginTable {
    /// Sets the other hosts and the socket for them.
    pub(crate) fn connect(&self, peers: Arc<PeerTable>, socket: Arc<UdpSocket>) {
        let _set_once_at_start = self.link.set((peers, socket));
    }

    /// The number of streams that it keeps.
    pub(crate) fn len(&self) -> usize {
        self.known().len()
    }

    /// The other hosts, once this host exchanges datagrams.
    pub(crate) fn peers(&self) -> Option<&PeerTable> {
        self.link.get().map(|(peers, _)| &**peers)
    }

    pub(crate) fn known(&self) -> MutexGuard<'_, StreamOrigins> {
        self.known.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn asks(&self) -> MutexGuard<'_, HashMap<u64, (AskKind, mpsc::Sender<Reply>)>> {
        self.asks.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn is_other_host(&self, address: SocketAddr) -> bool {
        self.peers().is_some_and(|peers| peers.local != address)
    }

    /// The hosts that get copies for a stream. Those that are not known to be up are a last
    /// resort.
    fn copy_holders(&self, key: StreamKey) -> Vec<SocketAddr> {
        let Some((peers, _)) = self.link.get() else {
            return Vec::new();
        };
        let mut hosts = key.rank(peers.other_candidates());
        if hosts.len() < COPIES {
            let others = key.rank(peers.hosts_to_ask());
            let unheard = others.into_iter().filter(|host| !hosts.contains(host));
            let unheard: Vec<SocketAddr> = unheard.collect();
            hosts.extend(unheard);
        }
        hosts.truncate(COPIES);
        hosts
    }

    /// The hosts that are asked about a stream.
    fn hosts_to_ask(&self, key: StreamKey) -> Vec<SocketAddr> {
        let hosts = self.peers().map(PeerTable::hosts_to_ask);
        let mut hosts = key.rank(hosts.unwrap_or_default());
        hosts.truncate(MAX_ASKED);
        hosts
    }
}

/// An ask in progress, until dropped.
struct PendingAsk<'a> {
    table: &'a StreamOriginTable,
    number: u64,
}

impl<'a> PendingAsk<'a> {
    fn begin(table: &'a StreamOriginTable, kind: AskKind, replies: &mpsc::Sender<Reply>) -> Self {
        let number = table.next_ask.fetch_add(1, Ordering::Relaxed);
        table.asks().insert(number, (kind, replies.clone()));
        Self { table, number }
    }
}

impl Drop for PendingAsk<'_> {
    fn drop(&mut self) {
        self.table.asks().remove(&self.number);
    }
}

impl Shared {
    /// Records the build at which the stream of a call began, here and at other hosts.
    pub(crate) fn record_stream_origin(&self, call: &Call, build: BuildVersion) {
        let Some(id) = &call.head.id else {
            return;
        };
        let key = StreamKey::of(call.organisation(), id);
        let origin = StreamOrigin::new(&call.pool, build);
        let retention_ms = retention_ms(&call.route);
        let now_ms = self.clock.now_ms();
        let table = &self.stream_origins;
        table
            .known()
            .record(key, origin.clone(), now_ms, retention_ms);
        let record = StreamRecord {
            key,
            origin,
            retention_ms: retention_ms as u32,
        };
        let hosts = table.copy_holders(key);
        self.send_to_hosts(&Datagram::StreamRecord(record.clone()), &hosts);
        if !self.has_one_origin(&call.route, retention_ms, now_ms) {
            self.record_stream_in_store(record);
        }
    }

    /// Whether all streams of a route in the last `window_ms` began at one build of one pool.
    fn has_one_origin(&self, route: &Route, window_ms: u64, now_ms: u64) -> bool {
        let [backend] = route.backends.as_slice() else {
            return false;
        };
        let fleet = self.fleet();
        fleet.only_build(&backend.pool, window_ms, now_ms).is_ok()
    }

    /// Keeps the record of a stream that began at another host.
    pub(crate) fn keep_stream_record(&self, record: StreamRecord) {
        let now_ms = self.clock.now_ms();
        let retention_ms = u64::from(record.retention_ms).min(MAX_RETENTION_MS);
        let mut known = self.stream_origins.known();
        known.record(record.key, record.origin, now_ms, retention_ms);
    }

    /// Replies to a host that takes a stream up.
    pub(crate) fn reply_to_stream_ask(&self, from: SocketAddr, ask: StreamAsk) {
        let now_ms = self.clock.now_ms();
        let known = self.stream_origins.known();
        let origin = known.find(ask.key, now_ms);
        let origin = origin.map(|(origin, age_ms)| (origin.clone(), age_ms as u32));
        drop(known);
        let reply = StreamReply {
            number: ask.number,
            origin,
        };
        self.send_to_hosts(&Datagram::StreamReply(reply), &[from]);
    }

    /// Passes a reply to the request that waits for it.
    pub(crate) fn accept_stream_reply(&self, from: SocketAddr, reply: StreamReply) {
        if let Some((kind, sender)) = self.stream_origins.asks().get(&reply.number) {
            let reply = Reply {
                from,
                kind: *kind,
                origin: reply.origin,
            };
            let _repeated_replies_may_exceed_it = sender.try_send(reply);
        }
    }

    /// Finds where the stream that a caller takes up began. `None` if the request begins a
    /// stream of its own.
    ///
    /// # Errors
    ///
    /// If the stream can't go on, because its build is unknown or has no endpoint.
    pub(crate) async fn find_stream_origin(
        &self,
        head: &CallHead,
        route: &Route,
        organisation: Option<&OrganisationId>,
    ) -> Result<Option<(PoolId, BuildVersion)>, Refusal> {
        let is_resumable = matches!(route.kind, RouteKind::Stream { resumable: true });
        if !is_resumable || head.resume_after.is_none() {
            return Ok(None);
        }
        let known = self.known_origin(head, route, organisation).await;
        let only_build = known.as_ref().err().copied().flatten();
        let known = known.ok();
        let is_from_list = |known: &KnownOrigin| known.from == KnownFrom::OnlyBuild;
        let needs_list = known.as_ref().is_none_or(is_from_list);
        let now_ms = self.clock.now_ms();
        let list_age_ms = self.fleet().build_history.list_age_ms(now_ms);
        let has_endpoint = |known: &KnownOrigin| self.fleet().has_build(&known.pool, &known.build);
        let goes_on = known.as_ref().is_some_and(has_endpoint);
        self.event_log.emit(&Event::StreamTakenUp {
            id: head.id.as_ref(),
            resumes: head.resumes.as_ref(),
            build: known.as_ref().map(|known| &known.build),
            known_from: known.as_ref().map(|known| known.from),
            age_ms: known.as_ref().and_then(|known| known.age_ms),
            list_age_ms: list_age_ms.filter(|_| needs_list),
            only_build,
            goes_on,
        });
        let (outcome, result) = match known {
            None => {
                let detail = "the build that began the stream is unknown here";
                let refusal = Refusal::with_short_retry(Reason::NoEndpoint, detail);
                ("unknown", Err(refusal))
            }
            Some(KnownOrigin { build, .. }) if !goes_on => {
                let detail = format!("no endpoint of build {build}, which began the stream");
                ("no-endpoint", Err(Refusal::new(Reason::NoEndpoint, detail)))
            }
            Some(KnownOrigin { pool, build, .. }) => ("goes-on", Ok(Some((pool, build)))),
        };
        let labels = format!("outcome=\"{outcome}\"");
        self.metrics.count("streams_taken_up_total", &labels, 1);
        result
    }

    /// What this host or another knows of the stream that a caller takes up.
    ///
    /// # Errors
    ///
    /// If the origin is unknown; with the reason if the only build of its pool is.
    async fn known_origin(
        &self,
        head: &CallHead,
        route: &Route,
        organisation: Option<&OrganisationId>,
    ) -> Result<KnownOrigin, Option<UnknownBuild>> {
        let found = match &head.resumes {
            Some(id) => {
                let key = StreamKey::of(organisation, id);
                let now_ms = self.clock.now_ms();
                let needs_store = !self.has_one_origin(route, retention_ms(route), now_ms);
                self.ask_for_stream(key, needs_store).await
            }
            None => None,
        };
        let Some((origin, age_ms, from)) = found else {
            return self.only_origin(route).await;
        };
        // The rules may have moved the route to other pools.
        let mut pools = route.backends.iter().map(|backend| &backend.pool);
        let pool = pools.find(|pool| origin.is_in(pool)).ok_or(None)?;
        Ok(KnownOrigin {
            pool: pool.clone(),
            build: origin.build,
            age_ms: Some(age_ms),
            from,
        })
    }

    /// Looks a stream up here, then asks the hosts that rank first for it, and, if
    /// `needs_store`, those that read the store's records.
    async fn ask_for_stream(
        &self,
        key: StreamKey,
        needs_store: bool,
    ) -> Option<(StreamOrigin, u64, KnownFrom)> {
        let table = &self.stream_origins;
        let now_ms = self.clock.now_ms();
        if table.known().contains(key, now_ms) {
            // Others may not know that an ambiguous one is.
            return self.remembered_stream(key);
        }
        let mut hosts = table.hosts_to_ask(key);
        let mut readers = if needs_store {
            self.stream_record_readers(key)
        } else {
            Vec::new()
        };
        let others = readers.extract_if(.., |reader| table.is_other_host(*reader));
        let mut other_readers: Vec<SocketAddr> = others.collect();
        let mut is_reading = !readers.is_empty();
        let mut reading = std::pin::pin!(self.read_stream_records(key));
        let (sender, mut replies) = mpsc::channel(2 * MAX_ASKED);
        let from_memory = PendingAsk::begin(table, AskKind::Memory, &sender);
        let from_store = PendingAsk::begin(table, AskKind::Store, &sender);
        let give_up_at = Instant::now() + ASK_TIMEOUT;
        let mut ask_at = Instant::now();
        while !hosts.is_empty() || !other_readers.is_empty() || is_reading {
            let now = Instant::now();
            if now >= give_up_at {
                return None;
            }
            if now >= ask_at {
                let ask = |pending: &PendingAsk<'_>| StreamAsk {
                    key,
                    number: pending.number,
                };
                self.send_to_hosts(&Datagram::StreamAsk(ask(&from_memory)), &hosts);
                let ask = Datagram::StreamStoreAsk(ask(&from_store));
                self.send_to_hosts(&ask, &other_readers);
                ask_at = give_up_at.min(now + ASK_INTERVAL);
            }
            let reply = tokio::select! {
                reply = replies.recv() => reply?,
                () = &mut reading, if is_reading => {
                    is_reading = false;
                    if let Some(known) = self.remembered_stream(key) {
                        return Some(known);
                    }
                    continue;
                }
                () = tokio::time::sleep_until(ask_at) => continue,
            };
            if let Some((origin, age_ms)) = reply.origin {
                return Some((origin, u64::from(age_ms), KnownFrom::Peer(reply.from)));
            }
            let waiting = match reply.kind {
                AskKind::Memory => &mut hosts,
                AskKind::Store => &mut other_readers,
            };
            waiting.retain(|host| *host != reply.from);
        }
        None
    }

    /// What this host remembers of a stream.
    fn remembered_stream(&self, key: StreamKey) -> Option<(StreamOrigin, u64, KnownFrom)> {
        let known = self.stream_origins.known();
        let (origin, age_ms) = known.find(key, self.clock.now_ms())?;
        let from = if known.is_stored(key) {
            KnownFrom::Store
        } else {
            KnownFrom::Own
        };
        Some((origin.clone(), age_ms, from))
    }

    /// The only origin that a stream of a route can have: its pool had no other build for as
    /// long as a stream may be taken up.
    async fn only_origin(&self, route: &Route) -> Result<KnownOrigin, Option<UnknownBuild>> {
        let [backend] = route.backends.as_slice() else {
            return Err(None);
        };
        let give_up_at = Instant::now() + PAST_WAIT;
        let claim = loop {
            let learned = self.past_learned.notified();
            self.detect_suspension();
            let now_ms = self.clock.now_ms();
            let claim = { self.fleet() }.only_build(&backend.pool, retention_ms(route), now_ms);
            let is_past_missing = claim == Err(UnknownBuild::NoRecord);
            if !is_past_missing || tokio::time::timeout_at(give_up_at, learned).await.is_err() {
                break claim;
            }
        };
        let outcome = claim
            .as_ref()
            .map_or_else(|unknown| unknown.name(), |_| "holds");
        let labels = format!("outcome=\"{outcome}\"");
        self.metrics.count("only_build_claims_total", &labels, 1);
        Ok(KnownOrigin {
            pool: backend.pool.clone(),
            build: claim?,
            age_ms: None,
            from: KnownFrom::OnlyBuild,
        })
    }

    pub(crate) fn send_to_hosts(&self, datagram: &Datagram, hosts: &[SocketAddr]) {
        let Some((_, socket)) = self.stream_origins.link.get() else {
            return;
        };
        let Ok(bytes) = postcard::to_stdvec(datagram) else {
            return;
        };
        self.record_datagram_size(bytes.len());
        for host in hosts {
            let _lost_datagrams_are_asked_for_again = socket.try_send_to(&bytes, *host);
        }
        let sent_bytes = (bytes.len() * hosts.len()) as u64;
        self.count_control_bytes(datagram.kind(), Direction::Sent, sent_bytes);
    }
}

/// How long callers may take up a stream of a route after it began.
fn retention_ms(route: &Route) -> u64 {
    (RETENTION_TIMEOUTS * route.timeout_ms).min(MAX_RETENTION_MS)
}
