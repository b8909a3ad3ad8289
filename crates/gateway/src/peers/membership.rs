//! Other hosts: their addresses, roles and liveness.

use std::collections::HashMap;
use std::net::{IpAddr, SocketAddr};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use chalkrock_core::ZoneId;
use chalkrock_core::rendezvous::MemberHash;
use chalkrock_routing::{HOST_TIMEOUT_MS, LastHeard, SchedulerCandidate, SubscriptionRole};
use rand::seq::IndexedRandom;
use tokio::sync::Notify;
use tokio::time::Instant;

use crate::config::GatewayConfig;
use crate::peers::list_check::ListCheck;
use crate::peers::message::{Heartbeat, HostContact, RelaySummary, ZoneMember};
use crate::peers::pull_turns::PullTurns;

/// Silence after which a host is considered down.
const HOST_TIMEOUT: Duration = Duration::from_millis(HOST_TIMEOUT_MS);
/// Covers the resend interval of hosts in other zones.
const RECENT_WINDOW: Duration = Duration::from_secs(40);
/// Silence after which a host is removed.
const HOST_RETENTION: Duration = Duration::from_secs(120);

/// Time after start until the hosts of a zone know a new host, mostly from relays.
const COLD_SENDER_DELAY: Duration = Duration::from_millis(1_500);

/// Time after start in which the host count may be incomplete.
const WARM_UP: Duration = Duration::from_secs(10);

/// Marks a host that does not write for the fleet.
const NO_WRITER_RANK: usize = usize::MAX;

/// A host that knows a newer version.
#[derive(Clone, Copy, Debug)]
struct NewerPeer {
    address: SocketAddr,
    is_same_zone: bool,
}

/// Another host.
#[derive(Clone, Debug)]
pub(super) struct Peer {
    /// Hash of its address, by which hosts rank each other.
    pub(super) hash: MemberHash,
    added_at: Instant,
    /// When a datagram from it last arrived.
    pub(super) received_at: Option<Instant>,
    /// When a relay last listed it.
    listed_at: Option<Instant>,
    pub(super) sent_at: Option<Instant>,
    pub(super) is_up: bool,
    /// Short hash of its availability zone, if known.
    pub(super) zone: Option<u32>,
    pub(super) role: SubscriptionRole,
    pub(super) capacity_millicores: u16,
    /// When it last sent its zone's aggregate, as a remote relay.
    pub(super) zone_aggregate_at: Option<Instant>,
    /// When it last sent the fleet aggregate, as a relay of this zone.
    pub(super) fleet_aggregate_at: Option<Instant>,
}

impl Peer {
    fn new(address: &SocketAddr, now: Instant, zone: Option<u32>) -> Self {
        Self {
            hash: host_hash(address),
            added_at: now,
            received_at: None,
            listed_at: None,
            sent_at: None,
            is_up: false,
            zone,
            role: SubscriptionRole::No,
            capacity_millicores: 0,
            zone_aggregate_at: None,
            fleet_aggregate_at: None,
        }
    }

    pub(super) fn is_reporting(&self, now: Instant) -> bool {
        self.received_at.is_some_and(|at| now - at <= HOST_TIMEOUT)
    }

    /// Whether anything was received from it, or a relay listed it.
    fn was_heard(&self) -> bool {
        self.received_at.or(self.listed_at).is_some()
    }

    /// Whether it recently sent its zone's aggregate.
    pub(super) fn is_active_relay(&self, now: Instant) -> bool {
        self.zone_aggregate_at
            .is_some_and(|at| now - at <= HOST_TIMEOUT)
    }

    /// Whether it recently sent the fleet aggregate.
    pub(super) fn aggregates(&self, now: Instant) -> bool {
        self.fleet_aggregate_at
            .is_some_and(|at| now - at <= HOST_TIMEOUT)
    }

    /// Whether any report of it falls within the longest resend interval.
    fn is_recent(&self, now: Instant) -> bool {
        let last = self.received_at.max(self.listed_at);
        last.is_some_and(|at| now - at <= RECENT_WINDOW)
    }

    fn is_silent(&self, now: Instant) -> bool {
        let ago_ms = |at: Option<Instant>| at.map(|at| (now - at).as_millis() as u64);
        let last_heard = LastHeard {
            received_ago_ms: ago_ms(self.received_at),
            listed_ago_ms: ago_ms(self.listed_at),
            aggregate_ago_ms: ago_ms(self.fleet_aggregate_at),
        };
        last_heard.is_silent()
    }

    /// Shifts all instants back by time that the runtime's clock did not count. Those
    /// before the clock's start are cleared.
    fn age(&mut self, by: Duration) {
        let ages = [
            &mut self.received_at,
            &mut self.listed_at,
            &mut self.sent_at,
            &mut self.zone_aggregate_at,
            &mut self.fleet_aggregate_at,
        ];
        for at in ages {
            *at = at.and_then(|at| at.checked_sub(by));
        }
    }

    pub(super) fn is_expired(&self, now: Instant) -> bool {
        let last = self.received_at.max(self.listed_at);
        now - last.unwrap_or(self.added_at) > HOST_RETENTION
    }
}

/// A host came up or went down.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct PeerChange {
    pub(crate) address: SocketAddr,
    pub(crate) is_up: bool,
}

/// The other hosts as this one knows them.
pub(crate) struct PeerTable {
    pub(crate) local: SocketAddr,
    /// Short hash of this host's availability zone.
    pub(crate) zone: u32,
    /// Room of this host for work for others, in thousandths of a core.
    pub(crate) capacity_millicores: u16,
    /// Distinguishes restarts of this host.
    pub(crate) incarnation: u64,
    peers: Mutex<HashMap<SocketAddr, Peer>>,
    started_at: Instant,
    /// Whether seeds other than this host are configured.
    has_other_seeds: bool,
    /// Whether this host sends the fleet aggregate to its zone.
    aggregates: AtomicBool,
    /// Whether this host sends aggregates to other zones.
    is_relay: AtomicBool,
    /// Rank of this host among the writers of the fleet.
    writer_rank: AtomicUsize,
    newer: Mutex<Option<NewerPeer>>,
    pub(crate) newer_peer_found: Notify,
    /// Pulls of this host from others.
    pub(crate) pull_turns: PullTurns,
    pub(super) list_check: ListCheck,
}

impl PeerTable {
    pub(crate) fn new(local: SocketAddr, config: &GatewayConfig, incarnation: u64) -> Arc<Self> {
        Arc::new(Self {
            local,
            zone: zone_hash(&config.zone),
            capacity_millicores: config.capacity.room_millicores(),
            incarnation,
            peers: Mutex::default(),
            started_at: Instant::now(),
            has_other_seeds: config.peer_seeds.iter().any(|seed| *seed != local),
            aggregates: AtomicBool::new(false),
            is_relay: AtomicBool::new(false),
            writer_rank: AtomicUsize::new(0),
            newer: Mutex::default(),
            newer_peer_found: Notify::new(),
            pull_turns: PullTurns::default(),
            list_check: ListCheck::default(),
        })
    }

    /// Shifts all instants back by time that the runtime's clock did not count.
    pub(crate) fn age(&self, by: Duration) {
        self.peers().values_mut().for_each(|peer| peer.age(by));
    }

    pub(super) fn peers(&self) -> MutexGuard<'_, HashMap<SocketAddr, Peer>> {
        self.peers.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether this host sends the fleet aggregate to its zone.
    pub(crate) fn aggregates(&self) -> bool {
        self.aggregates.load(Ordering::Relaxed)
    }

    /// Whether this host sends aggregates to other zones.
    pub(crate) fn is_relay(&self) -> bool {
        self.is_relay.load(Ordering::Relaxed)
    }

    /// Rank of this host among the writers of the fleet, 0 first; `None` if it is not a
    /// writer. It is 0 until other hosts are known.
    pub(crate) fn writer_rank(&self) -> Option<usize> {
        let rank = self.writer_rank.load(Ordering::Relaxed);
        (rank != NO_WRITER_RANK).then_some(rank)
    }

    pub(super) fn set_writer_rank(&self, rank: Option<usize>) {
        let rank = rank.unwrap_or(NO_WRITER_RANK);
        self.writer_rank.store(rank, Ordering::Relaxed);
    }

    /// Sets this host's relay roles. Returns whether they changed.
    pub(super) fn set_relay(&self, is_relay: bool, aggregates: bool) -> bool {
        let was_relay = self.is_relay.swap(is_relay, Ordering::Relaxed);
        let was_aggregating = self.aggregates.swap(aggregates, Ordering::Relaxed);
        was_relay != is_relay || was_aggregating != aggregates
    }

    /// Adds possible hosts, with their zones where known.
    pub(crate) fn add(&self, hosts: impl IntoIterator<Item = (SocketAddr, Option<u32>)>) {
        let now = Instant::now();
        let mut peers = self.peers();
        for (address, zone) in hosts {
            if address == self.local {
                continue;
            }
            let peer = peers
                .entry(address)
                .or_insert_with(|| Peer::new(&address, now, zone));
            peer.zone = peer.zone.or(zone);
        }
    }

    /// A random host that is up, in proportion to its room for work for others.
    pub(crate) fn any_up(&self) -> Option<SocketAddr> {
        let peers = self.peers();
        let up = peers.iter().filter(|(_, peer)| peer.is_up);
        let up: Vec<(SocketAddr, u16)> = up
            .map(|(address, peer)| (*address, peer.capacity_millicores.max(1)))
            .collect();
        let chosen = up.choose_weighted(&mut rand::rng(), |(_, room)| f64::from(*room));
        chosen.ok().map(|(address, _)| *address)
    }

    /// The hosts that are up, including this one.
    pub(crate) fn up(&self) -> Vec<HostContact> {
        self.contacts_if(|peer| peer.is_up)
    }

    /// The hosts of all zones with a recent report, including this one. Hosts of other
    /// zones report rarely in a large fleet.
    pub(crate) fn recent(&self) -> Vec<HostContact> {
        let now = Instant::now();
        self.contacts_if(|peer| peer.is_recent(now))
    }

    /// The hosts that may schedule pools, this one included. Those of other zones report
    /// rarely in a large fleet, so that their silence shows nothing.
    pub(crate) fn scheduler_candidates(&self) -> Vec<SchedulerCandidate<SocketAddr>> {
        let now = Instant::now();
        let local = SchedulerCandidate {
            host: self.local,
            hash: host_hash(&self.local),
            capacity_millicores: self.capacity_millicores,
        };
        let peers = self.peers();
        let candidates = peers.iter().filter(|(_, peer)| {
            let is_same_zone = peer.zone == Some(self.zone);
            peer.is_up || !is_same_zone && peer.is_recent(now)
        });
        let candidates = candidates.map(|(address, peer)| SchedulerCandidate {
            host: *address,
            hash: peer.hash,
            capacity_millicores: peer.capacity_millicores,
        });
        candidates.chain([local]).collect()
    }

    /// The hashes of the other hosts that are up or, in other zones, reported recently.
    pub(super) fn other_hosts(&self) -> Vec<MemberHash> {
        let now = Instant::now();
        let peers = self.peers();
        let others = peers.values().filter(|peer| {
            let is_same_zone = peer.zone == Some(self.zone);
            peer.is_up || !is_same_zone && peer.is_recent(now)
        });
        others.map(|peer| peer.hash).collect()
    }

    /// The other hosts that are up or, in other zones, reported recently.
    pub(crate) fn other_candidates(&self) -> Vec<(SocketAddr, MemberHash)> {
        let candidates = self.scheduler_candidates().into_iter();
        let others = candidates.filter(|candidate| candidate.host != self.local);
        others
            .map(|candidate| (candidate.host, candidate.hash))
            .collect()
    }

    /// The other hosts that may be asked for what a host of the fleet knows. While this host
    /// warms up, hosts that it has not received anything from are among them.
    pub(crate) fn hosts_to_ask(&self) -> Vec<(SocketAddr, MemberHash)> {
        if !self.is_warming_up() {
            return self.other_candidates();
        }
        let peers = self.peers();
        let known = peers.iter().map(|(address, peer)| (*address, peer.hash));
        known.collect()
    }

    /// The number of hosts that were heard, directly or by a relay, and of those that are known.
    /// This host is included in both.
    pub(crate) fn host_counts(&self) -> (usize, usize) {
        let peers = self.peers();
        let heard = peers.values().filter(|peer| peer.was_heard()).count();
        (1 + heard, 1 + peers.len())
    }

    /// Whether an address is that of a host of the fleet.
    pub(crate) fn knows(&self, address: SocketAddr) -> bool {
        self.peers().contains_key(&address)
    }

    /// Whether a host of the fleet has this address.
    pub(crate) fn has_host_at(&self, ip: IpAddr) -> bool {
        self.peers().keys().any(|address| address.ip() == ip)
    }

    /// Whether this host knows nearly all others: those of a small fleet once it has heard one,
    /// those of a large one some time after its start.
    pub(crate) fn knows_fleet(&self) -> bool {
        const MAX_SMALL_FLEET: usize = 12;
        let has_waited = self.started_at.elapsed() >= COLD_SENDER_DELAY;
        let is_small = self.peers().len() < MAX_SMALL_FLEET;
        has_waited || !self.has_other_seeds || is_small && self.any_up().is_some()
    }

    /// Whether this host started too recently to know all others.
    pub(crate) fn is_warming_up(&self) -> bool {
        self.started_at.elapsed() < WARM_UP
    }

    /// The hosts of this zone that share the request rate of its cold endpoints, including
    /// those silent for up to two minutes. Empty while this host and the others may not
    /// know of each other.
    pub(super) fn cold_senders(&self, peers: &HashMap<SocketAddr, Peer>) -> Vec<MemberHash> {
        let knows_any = peers.values().any(Peer::was_heard);
        let is_alone = self.has_other_seeds && !knows_any;
        if self.started_at.elapsed() < COLD_SENDER_DELAY || is_alone {
            return Vec::new();
        }
        let same_zone = peers.iter().filter(|(_, peer)| {
            let is_same_zone = peer.zone == Some(self.zone);
            is_same_zone && peer.was_heard()
        });
        let hashes = same_zone.map(|(_, peer)| peer.hash);
        hashes.chain([host_hash(&self.local)]).collect()
    }

    fn contacts_if(&self, is_included: impl Fn(&Peer) -> bool) -> Vec<HostContact> {
        let local = HostContact {
            address: self.local,
            zone: self.zone,
        };
        let peers = self.peers();
        let contacts = peers.iter().filter(|(_, peer)| is_included(peer));
        let contacts = contacts.filter_map(|(&address, peer)| {
            let zone = peer.zone?;
            Some(HostContact { address, zone })
        });
        contacts.chain([local]).collect()
    }

    /// Returns and clears the host that knows a newer version.
    pub(crate) fn take_newer_peer(&self) -> Option<SocketAddr> {
        let mut newer = self.newer.lock().unwrap_or_else(PoisonError::into_inner);
        newer.take().map(|newer| newer.address)
    }

    /// Records a host that knows a newer version. One of the same zone is preferred.
    pub(crate) fn record_newer_peer(&self, address: SocketAddr, zone: u32) {
        let candidate = NewerPeer {
            address,
            is_same_zone: zone == self.zone,
        };
        let mut newer = self.newer.lock().unwrap_or_else(PoisonError::into_inner);
        if newer.is_none_or(|known| !known.is_same_zone) {
            *newer = Some(candidate);
        }
        drop(newer);
        self.newer_peer_found.notify_one();
    }

    /// Records a heartbeat. Returns the change if the host came up.
    pub(crate) fn record_heartbeat(
        &self,
        address: SocketAddr,
        heartbeat: &Heartbeat,
    ) -> Option<PeerChange> {
        let now = Instant::now();
        let mut peers = self.peers();
        let peer = peers
            .entry(address)
            .or_insert_with(|| Peer::new(&address, now, Some(heartbeat.zone)));
        peer.received_at = Some(now);
        peer.zone = Some(heartbeat.zone);
        peer.role = heartbeat.reading;
        peer.capacity_millicores = heartbeat.capacity_millicores;
        mark_up(address, peer)
    }

    /// Records a summary from a relay of this zone. Returns the hosts that came up.
    pub(crate) fn record_relay_summary(
        &self,
        address: SocketAddr,
        summary: &RelaySummary,
    ) -> Vec<PeerChange> {
        let now = Instant::now();
        let mut peers = self.peers();
        let relay = ZoneMember {
            address,
            reading: summary.reading,
            capacity_millicores: summary.capacity_millicores,
        };
        let members = summary
            .members
            .iter()
            .filter(|named| named.address != self.local);
        let mut changes = Vec::new();
        for named in members.chain([&relay]) {
            let peer = peers
                .entry(named.address)
                .or_insert_with(|| Peer::new(&named.address, now, Some(summary.zone)));
            peer.zone = Some(summary.zone);
            // A host's own heartbeat takes precedence over a relay's report of it.
            if !peer.is_reporting(now) || named.address == address {
                peer.role = named.reading;
                peer.capacity_millicores = named.capacity_millicores;
            }
            peer.listed_at = Some(now);
            changes.extend(mark_up(named.address, peer));
        }
        if let Some(relay) = peers.get_mut(&address) {
            relay.received_at = Some(now);
            relay.fleet_aggregate_at = Some(now);
        }
        changes
    }

    /// Records an aggregate from a relay of another zone.
    pub(crate) fn record_zone_relay(&self, address: SocketAddr, zone: u32) {
        let now = Instant::now();
        let mut peers = self.peers();
        let peer = peers
            .entry(address)
            .or_insert_with(|| Peer::new(&address, now, Some(zone)));
        peer.received_at = Some(now);
        peer.zone = Some(zone);
        peer.zone_aggregate_at = Some(now);
    }

    /// Whether reports of single hosts in a zone count: always in this zone, elsewhere only
    /// while zones do not exchange aggregates.
    pub(crate) fn counts_alone(&self, zone: u32, remote_host_count: usize) -> bool {
        zone == self.zone || remote_host_count == 0
    }
}

/// The short hash that identifies a zone in messages.
pub(crate) fn zone_hash(zone: &ZoneId) -> u32 {
    MemberHash::of(zone.as_str()).short()
}

/// The hash by which hosts rank each other.
pub(super) fn host_hash(address: &SocketAddr) -> MemberHash {
    MemberHash::of(&address.to_string())
}

/// Marks a host as up. Returns the change if it was down.
fn mark_up(address: SocketAddr, peer: &mut Peer) -> Option<PeerChange> {
    if peer.is_up {
        return None;
    }
    peer.is_up = true;
    // It may not know this host yet: report to it in the next round.
    peer.sent_at = None;
    Some(PeerChange {
        address,
        is_up: true,
    })
}

/// Marks silent hosts as down. Returns those of this zone only; in a large fleet the others
/// report to their relays.
pub(super) fn mark_silent(
    peers: &mut HashMap<SocketAddr, Peer>,
    zone: u32,
    now: Instant,
) -> Vec<PeerChange> {
    let mut lost = Vec::new();
    for (address, peer) in peers {
        if peer.is_up && peer.is_silent(now) {
            peer.is_up = false;
            if peer.zone == Some(zone) {
                lost.push(PeerChange {
                    address: *address,
                    is_up: false,
                });
            }
        }
    }
    lost
}
