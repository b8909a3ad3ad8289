//! Finds out which endpoints this host can't reach and other hosts can.
//!
//! While a host can't open connections to some endpoints, it asks others about them and
//! checks them by further connections, so that no request has to. A host that is asked
//! replies at once with what it knows, and checks the rest. Nothing is sent while all
//! endpoints are reachable.

use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use chalkrock_core::{Endpoint, PoolId};
use chalkrock_routing::{HealthSignal, NextHop, PoolMember, ReachReport};
use futures::StreamExt;
use futures::stream::FuturesUnordered;
use rand::seq::IndexedRandom;
use serde::{Deserialize, Serialize};
use tokio::net::UdpSocket;
use tokio::time::Instant;

use crate::endpoint_connections::{ConnectError, ConnectionTarget};
use crate::event_log::Event;
use crate::fleet::PoolReach;
use crate::metrics::Direction;
use crate::peers::message::HostContact;
use crate::peers::{Datagram, PeerTable};
use crate::shared::Shared;

/// Interval of asks and checks while the unreachable endpoints change.
const FIRST_ASK_INTERVAL: Duration = Duration::from_millis(250);
/// Time without a change after which the interval is longer.
const SETTLE_TIME: Duration = Duration::from_millis(2_000);
/// Interval of asks and checks from then on.
const ASK_INTERVAL: Duration = Duration::from_millis(1_000);
/// Shortest time between two asks.
const MIN_ASK_INTERVAL: Duration = Duration::from_millis(20);
/// Endpoints in an ask, about 650 bytes.
const MAX_ENDPOINTS_PER_ASK: usize = 128;
/// Hosts that are asked at once.
const MAX_ASKED_HOSTS: usize = 12;
/// Connections that check endpoints at once.
const MAX_CHECKS: usize = 32;
/// How long a report that an endpoint can't be reached saves another ask for a request.
const REPORT_VALIDITY_MS: u64 = 500;
/// How long a broken attempt waits for other hosts' reports.
const REPORT_TIMEOUT: Duration = Duration::from_millis(100);

/// Asks which endpoints a host reaches.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct ReachAsk {
    /// Hashes of the endpoints' starts.
    pub(crate) endpoints: Vec<u32>,
    /// Whether earlier contact with an endpoint does not count: it may have just ended.
    pub(crate) needs_check: bool,
}

/// The reply to a [`ReachAsk`]. One follows for endpoints that had to be checked.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct ReachReply {
    pub(crate) next_hop: Option<NextHop>,
    pub(crate) reached: Vec<u32>,
    pub(crate) unreached: Vec<u32>,
    /// Whether the host has just tried to open connections to them.
    pub(crate) is_checked: bool,
}

/// What a host found out about endpoints that it was asked about.
#[derive(Default)]
struct Findings {
    reached: Vec<u32>,
    unreached: Vec<u32>,
    is_checked: bool,
}

impl Findings {
    /// The result of a check.
    fn checked(start: u32, is_reached: bool) -> Self {
        let mut findings = Self {
            is_checked: true,
            ..Self::default()
        };
        let of_kind = if is_reached {
            &mut findings.reached
        } else {
            &mut findings.unreached
        };
        of_kind.push(start);
        findings
    }
}

/// The state of this host's paths to endpoints.
struct Paths {
    unreachable: Vec<PoolMember>,
    doubtful: Vec<Arc<Endpoint>>,
    to_ask: Vec<u32>,
    reach: Vec<(PoolId, PoolReach)>,
}

impl Paths {
    fn of(shared: &Shared) -> Self {
        let now_ms = shared.clock.now_ms();
        let mut fleet = shared.fleet();
        fleet.reachability.expire(now_ms);
        let unreachable = fleet.unreachable_endpoints(now_ms);
        Self {
            doubtful: fleet.doubtful_endpoints(&unreachable, now_ms),
            to_ask: fleet.endpoints_to_ask_about(&unreachable, now_ms),
            reach: fleet.pool_reach(&unreachable, now_ms),
            unreachable,
        }
    }
}

/// Asks and checks while endpoints are unreachable, until the process ends.
pub(crate) async fn exchange_reachability(
    shared: Arc<Shared>,
    peers: Arc<PeerTable>,
    socket: Arc<UdpSocket>,
) {
    let mut partitioned: HashMap<PoolId, Instant> = HashMap::new();
    let mut known = Vec::new();
    let mut changed_at = Instant::now();
    let mut number = 0;
    loop {
        let paths = Paths::of(&shared);
        log_partitions(&shared, &mut partitioned, paths.reach);
        let broken = shared.broken_paths.take();
        if paths.unreachable.is_empty() && broken.is_empty() && partitioned.is_empty() {
            known.clear();
            shared.unreachable_found.notified().await;
            continue;
        }
        if !broken.is_empty() {
            let hosts = ask(&shared, &peers, &socket, broken, true);
            shared.broken_paths.record_ask(shared.clock.now_ms(), hosts);
            // Without other hosts, no reply ends the wait for reports.
            shared.reach_reported.notify_waiters();
        }
        // With many endpoints, each has its turn.
        let mut chunks = paths.to_ask.chunks(MAX_ENDPOINTS_PER_ASK);
        if let Some(chunk) = chunks.nth(number % chunks.len().max(1)) {
            ask(&shared, &peers, &socket, chunk.to_vec(), false);
        }
        number += 1;
        let mut current: Vec<u32> = { paths.unreachable.iter() }
            .map(|member| member.hash.short())
            .collect();
        current.sort_unstable();
        spawn_checks(&shared, &paths.unreachable, paths.doubtful);
        if current != known {
            known = current;
            changed_at = Instant::now();
        }
        tokio::time::sleep(MIN_ASK_INTERVAL).await;
        let interval = if changed_at.elapsed() < SETTLE_TIME {
            FIRST_ASK_INTERVAL
        } else {
            ASK_INTERVAL
        };
        let waiting = shared.unreachable_found.notified();
        let _time_for_the_next = tokio::time::timeout(interval, waiting).await;
    }
}

/// Asks other hosts about endpoints. Returns how many hosts.
fn ask(
    shared: &Shared,
    peers: &PeerTable,
    socket: &UdpSocket,
    endpoints: Vec<u32>,
    needs_check: bool,
) -> usize {
    let hosts = asked_hosts(shared, peers, &endpoints);
    let ask = Datagram::ReachAsk(ReachAsk {
        endpoints,
        needs_check,
    });
    for host in &hosts {
        send(shared, socket, &ask, *host);
    }
    hosts.len()
}

/// The hosts to ask: half of them reached one of the endpoints before, the others are drawn,
/// so that those with a path are found in a large fleet.
fn asked_hosts(shared: &Shared, peers: &PeerTable, endpoints: &[u32]) -> Vec<SocketAddr> {
    let others = |contacts: Vec<HostContact>| -> Vec<SocketAddr> {
        let addresses = contacts.into_iter().map(|contact| contact.address);
        addresses
            .filter(|address| *address != peers.local)
            .collect()
    };
    let up = others(peers.up());
    if up.len() <= MAX_ASKED_HOSTS {
        return up;
    }
    // In a large fleet, few hosts of other zones report often enough to count as up.
    let recent = others(peers.recent());
    let now_ms = shared.clock.now_ms();
    let fleet = shared.fleet();
    let reaching = endpoints
        .iter()
        .flat_map(|endpoint| fleet.reachability.hosts_reaching(*endpoint, now_ms));
    let mut known: Vec<SocketAddr> = reaching.collect();
    drop(fleet);
    known.sort_unstable();
    known.dedup();
    let mut random = rand::rng();
    let known = known.sample(&mut random, MAX_ASKED_HOSTS / 2);
    let mut asked: Vec<SocketAddr> = known.copied().collect();
    let unasked = recent.into_iter().filter(|host| !asked.contains(host));
    let unasked: Vec<SocketAddr> = unasked.collect();
    let missing = MAX_ASKED_HOSTS - asked.len();
    asked.extend(unasked.sample(&mut random, missing).copied());
    asked
}

fn spawn_checks(shared: &Arc<Shared>, unreachable: &[PoolMember], doubtful: Vec<Arc<Endpoint>>) {
    let unreachable = unreachable.iter().map(|member| member.endpoint.clone());
    for endpoint in unreachable.chain(doubtful).take(MAX_CHECKS) {
        spawn_check(shared, endpoint);
    }
}

/// Checks an endpoint unless a check of it is in progress.
fn spawn_check(shared: &Arc<Shared>, endpoint: Arc<Endpoint>) {
    let shared = shared.clone();
    tokio::spawn(async move { shared.check_once(&endpoint).await });
}

/// Replies to a host that asks about endpoints.
pub(crate) fn reply_to_ask(
    shared: &Arc<Shared>,
    peers: &Arc<PeerTable>,
    socket: &Arc<UdpSocket>,
    from: SocketAddr,
    ask: &ReachAsk,
) {
    if !peers.knows(from) {
        return;
    }
    let now_ms = shared.clock.now_ms();
    let mut findings = Findings::default();
    let mut unknown = Vec::new();
    let fleet = shared.fleet();
    for &start in ask.endpoints.iter().take(MAX_ENDPOINTS_PER_ASK) {
        if !ask.needs_check && fleet.has_recent_contact(start, now_ms) {
            findings.reached.push(start);
        } else if !ask.needs_check && fleet.is_unreachable(start, now_ms) {
            findings.unreached.push(start);
        } else if let Some(member) = fleet.listed_member(start) {
            unknown.push(member.endpoint.clone());
        }
    }
    drop(fleet);
    if !findings.reached.is_empty() || !findings.unreached.is_empty() {
        reply(shared, peers, socket, from, findings);
    }
    if unknown.is_empty() {
        return;
    }
    let needs_check = ask.needs_check;
    let (shared, peers, socket) = (shared.clone(), peers.clone(), socket.clone());
    tokio::spawn(async move {
        let checks = unknown.iter().take(MAX_CHECKS).map(|endpoint| async {
            let start = endpoint.start_hash().short();
            let is_reached = if needs_check {
                // Several hosts may ask about the end of an endpoint at once.
                let checks = &shared.termination_checks;
                Some(!checks.has_terminated(start, endpoint.address).await)
            } else {
                shared.check_once(endpoint).await
            };
            (start, is_reached)
        });
        let mut checks: FuturesUnordered<_> = checks.collect();
        // Connections that are accepted or refused at once are not held up by others.
        while let Some((start, is_reached)) = checks.next().await {
            if let Some(is_reached) = is_reached {
                let findings = Findings::checked(start, is_reached);
                reply(&shared, &peers, &socket, from, findings);
            }
        }
    });
}

fn reply(
    shared: &Shared,
    peers: &PeerTable,
    socket: &UdpSocket,
    to: SocketAddr,
    findings: Findings,
) {
    let address = shared.forward_address();
    let reply = Datagram::ReachReply(ReachReply {
        next_hop: address.map(|address| NextHop {
            address,
            zone: peers.zone,
            capacity_millicores: peers.capacity_millicores,
            lag_ms: shared.lag.ms() as u32,
        }),
        reached: findings.reached,
        unreached: findings.unreached,
        is_checked: findings.is_checked,
    });
    send(shared, socket, &reply, to);
}

/// Merges a reply.
pub(crate) fn merge_reply(
    shared: &Shared,
    peers: &PeerTable,
    from: SocketAddr,
    reply: &ReachReply,
) {
    // A next hop that is not the replying host could be anybody's.
    let is_own = |hop: &NextHop| hop.address.ip() == from.ip();
    if !peers.knows(from) || !reply.next_hop.as_ref().is_none_or(is_own) {
        return;
    }
    let now_ms = shared.clock.now_ms();
    let report = ReachReport {
        next_hop: reply.next_hop,
        reached: &reply.reached,
        unreached: &reply.unreached,
        is_checked: reply.is_checked,
    };
    shared.fleet().reachability.merge(from, &report, now_ms);
    shared.reach_reported.notify_waiters();
}

fn send(shared: &Shared, socket: &UdpSocket, datagram: &Datagram, to: SocketAddr) {
    let Ok(bytes) = postcard::to_stdvec(datagram) else {
        return;
    };
    shared.record_datagram_size(bytes.len());
    let _lost_datagrams_are_replaced = socket.try_send_to(&bytes, to);
    shared.count_control_bytes(datagram.kind(), Direction::Sent, bytes.len() as u64);
}

/// Logs the pools from which this host begins or ends to be partitioned.
fn log_partitions(
    shared: &Shared,
    partitioned: &mut HashMap<PoolId, Instant>,
    reach: Vec<(PoolId, PoolReach)>,
) {
    let current: HashMap<PoolId, PoolReach> = { reach.into_iter() }
        .filter(|(_, reach)| reach.is_partitioned())
        .collect();
    for (pool, reach) in &current {
        if partitioned.contains_key(pool) {
            continue;
        }
        partitioned.insert(pool.clone(), Instant::now());
        shared.metrics.count("partitions_total", "", 1);
        shared.event_log.emit(&Event::Partitioned {
            pool,
            is_partitioned: true,
            reached_by_others: reach.reached_by_others,
            endpoints: reach.endpoints,
            lasted_ms: None,
        });
    }
    partitioned.retain(|pool, since| {
        let is_current = current.contains_key(pool);
        if !is_current {
            shared.event_log.emit(&Event::Partitioned {
                pool,
                is_partitioned: false,
                reached_by_others: 0,
                endpoints: shared.fleet().endpoints.live(pool).len(),
                lasted_ms: Some(since.elapsed().as_millis() as u64),
            });
        }
        is_current
    });
}

impl Shared {
    /// Checks by a connection whether an endpoint that is silent can be reached.
    pub(crate) fn check_silent_endpoint(self: &Arc<Self>, endpoint: &Arc<Endpoint>) {
        spawn_check(self, endpoint.clone());
    }

    /// Whether this host alone can't reach an endpoint that left a request unanswered.
    pub(crate) async fn is_silent_for_this_host(&self, endpoint: &Endpoint) -> bool {
        let start = endpoint.start_hash().short();
        self.check_connection(endpoint).await == Some(false)
            && self.is_reached_by_others(start).await
    }

    /// Checks an endpoint unless a check of it is in progress.
    async fn check_once(self: &Arc<Self>, endpoint: &Endpoint) -> Option<bool> {
        let _guard = self.begin_check(endpoint.start_hash().short())?;
        self.check_connection(endpoint).await
    }

    /// Opens a connection to an endpoint and records whether it was accepted. Returns `None`
    /// if this host may have no more connections to it.
    pub(crate) async fn check_connection(&self, endpoint: &Endpoint) -> Option<bool> {
        let start = endpoint.start_hash().short();
        let max_open = self.fleet().max_connections(&endpoint.pool);
        let target = ConnectionTarget::Endpoint(start);
        let checked = self
            .endpoint_connections
            .check(target, endpoint.address, max_open)
            .await?;
        let now_ms = self.clock.now_ms();
        let mut fleet = self.fleet();
        let is_accepted = match checked {
            Ok(()) | Err(ConnectError::Reset) => {
                fleet.record_connected(start, now_ms);
                true
            }
            Err(error) => {
                let timed_out = error == ConnectError::TimedOut;
                let is_new = !fleet.is_unreachable(start, now_ms);
                let signal = HealthSignal::Unreachable { timed_out };
                fleet.record_signal(start, signal, now_ms);
                if is_new {
                    self.unreachable_found.notify_one();
                }
                false
            }
        };
        Some(is_accepted)
    }

    /// Whether another host reaches one of several endpoints that this host failed to connect
    /// to. Others are asked unless one has just reported the opposite.
    pub(crate) async fn is_any_reached_by_others(&self, endpoints: &[u32]) -> bool {
        match self.known_reach(endpoints) {
            Some(is_reached) => is_reached,
            None => self.is_reached_by_others(endpoints[0]).await,
        }
    }

    /// Whether recent reports say that another host reaches one of the endpoints; `None` if
    /// there are none.
    fn known_reach(&self, endpoints: &[u32]) -> Option<bool> {
        let now_ms = self.clock.now_ms();
        let since_ms = now_ms.saturating_sub(REPORT_VALIDITY_MS);
        let fleet = self.fleet();
        let reachability = &fleet.reachability;
        let mut all = endpoints.iter();
        if all.any(|endpoint| reachability.is_reached(*endpoint, now_ms)) {
            return Some(true);
        }
        let mut all = endpoints.iter();
        let is_unreached =
            all.any(|endpoint| reachability.checks_since(*endpoint, since_ms).unreached > 0);
        (is_unreached || endpoints.is_empty()).then_some(false)
    }

    /// Asks the other hosts whether they still reach an endpoint that refuses connections of
    /// this host, and waits briefly for their reports.
    pub(crate) async fn is_reached_by_others(&self, endpoint: u32) -> bool {
        if self.config.peer_listen.is_none() {
            return false;
        }
        let since_ms = self.clock.now_ms();
        self.record_broken_path(endpoint, since_ms);
        let waiting = async {
            loop {
                let reported = self.reach_reported.notified();
                if let Some(is_reached) = self.checked_since(endpoint, since_ms) {
                    return is_reached;
                }
                reported.await;
            }
        };
        tokio::time::timeout(REPORT_TIMEOUT, waiting)
            .await
            .unwrap_or(false)
    }

    fn record_broken_path(&self, endpoint: u32, now_ms: u64) {
        let mut fleet = self.fleet();
        // A connection that got no answer says more than one that broke.
        if !fleet.is_unreachable(endpoint, now_ms) {
            let signal = HealthSignal::Unreachable { timed_out: false };
            fleet.record_signal(endpoint, signal, now_ms);
        }
        drop(fleet);
        self.broken_paths.add(endpoint);
        self.unreachable_found.notify_one();
    }

    /// Whether a host has reached the endpoint since; `None` while more reports are due.
    fn checked_since(&self, endpoint: u32, since_ms: u64) -> Option<bool> {
        let reports = self.fleet().reachability.checks_since(endpoint, since_ms);
        let asked_hosts = self.broken_paths.asked_hosts_since(since_ms);
        let is_complete = asked_hosts.is_some_and(|asked| reports.unreached >= asked);
        (reports.reached > 0 || is_complete).then_some(reports.reached > 0)
    }
}

/// Endpoints whose connections broke and that refuse new ones, until other hosts are asked
/// about them.
#[derive(Debug, Default)]
pub(crate) struct BrokenPaths {
    pending: Mutex<BTreeSet<u32>>,
    last_ask: Mutex<Option<LastAsk>>,
}

/// When other hosts were last asked, and how many.
#[derive(Clone, Copy, Debug)]
struct LastAsk {
    at_ms: u64,
    hosts: usize,
}

impl BrokenPaths {
    fn add(&self, endpoint: u32) {
        self.pending().insert(endpoint);
    }

    /// Takes the endpoints that an ask has room for.
    fn take(&self) -> Vec<u32> {
        let mut pending = self.pending();
        let taken: Vec<u32> = pending
            .iter()
            .take(MAX_ENDPOINTS_PER_ASK)
            .copied()
            .collect();
        pending.retain(|endpoint| !taken.contains(endpoint));
        taken
    }

    fn record_ask(&self, at_ms: u64, hosts: usize) {
        *self.last_ask() = Some(LastAsk { at_ms, hosts });
    }

    fn asked_hosts_since(&self, since_ms: u64) -> Option<usize> {
        let last_ask = *self.last_ask();
        let ask = last_ask.filter(|ask| ask.at_ms >= since_ms)?;
        Some(ask.hosts)
    }

    fn pending(&self) -> MutexGuard<'_, BTreeSet<u32>> {
        self.pending.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn last_ask(&self) -> MutexGuard<'_, Option<LastAsk>> {
        self.last_ask.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
