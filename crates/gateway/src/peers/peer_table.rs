//! The other hosts as this one knows them: who they are and who is up.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use chalkrock_core::ZoneId;
use chalkrock_core::rendezvous::MemberHash;
use chalkrock_routing::SubscriptionRole;
use rand::seq::IndexedRandom;
use tokio::sync::Notify;
use tokio::time::Instant;

use crate::config::GatewayConfig;
use crate::peers::message::{Heartbeat, HostContact, RelaySummary, ZoneMember};

/// Silence after which a host counts as gone.
const SILENT_AFTER: Duration = Duration::from_secs(2);
/// The same for a host that is known by relays' word only: a relay names each
/// host of its zone once in three seconds at least.
const UNNAMED_AFTER: Duration = Duration::from_secs(4);
/// Time within which each live host is heard once, those of other zones among
/// them.
const RECENT_WITHIN: Duration = Duration::from_secs(40);
/// Silence after which a host is forgotten, unless it speaks again.
const FORGET_AFTER: Duration = Duration::from_secs(120);

/// Time from its start after which the hosts of a zone know of a host, mostly by
/// the word of relays, which name each once a second.
const COLD_SENDER_AFTER: Duration = Duration::from_millis(1_500);

/// Time from its start in which a host takes its zone to have more hosts than it
/// knows; most cuts are over by then.
const NEW_UNTIL: Duration = Duration::from_secs(10);

/// The place of a host that does not write for the fleet.
const NO_PLACE: usize = usize::MAX;

/// A host that knows more than this one.
#[derive(Clone, Copy, Debug)]
struct NewerPeer {
    address: SocketAddr,
    is_same_zone: bool,
}

/// Another host.
#[derive(Clone, Debug)]
pub(super) struct Peer {
    added_at: Instant,
    /// When it was last heard itself.
    pub(super) heard_at: Option<Instant>,
    /// When a relay last named it among the hosts that it hears.
    named_at: Option<Instant>,
    pub(super) sent_at: Option<Instant>,
    pub(super) is_up: bool,
    /// The short hash of its availability zone, if it is known.
    pub(super) zone: Option<u32>,
    pub(super) reading: SubscriptionRole,
    pub(super) capacity_millicores: u16,
    /// When it last spoke for its whole zone, as a relay of another one.
    pub(super) relayed_at: Option<Instant>,
    /// When it last summed up the fleet for this host, as a relay of its zone.
    pub(super) summed_up_at: Option<Instant>,
}

impl Peer {
    fn new(now: Instant, zone: Option<u32>) -> Self {
        Self {
            added_at: now,
            heard_at: None,
            named_at: None,
            sent_at: None,
            is_up: false,
            zone,
            reading: SubscriptionRole::No,
            capacity_millicores: 0,
            relayed_at: None,
            summed_up_at: None,
        }
    }

    /// Whether it was heard itself of late.
    pub(super) fn is_heard(&self, now: Instant) -> bool {
        self.heard_at.is_some_and(|at| now - at <= SILENT_AFTER)
    }

    /// Whether it spoke for its zone of late.
    pub(super) fn relays(&self, now: Instant) -> bool {
        self.relayed_at.is_some_and(|at| now - at <= SILENT_AFTER)
    }

    /// Whether it summed up the fleet for this host of late.
    pub(super) fn aggregates(&self, now: Instant) -> bool {
        self.summed_up_at.is_some_and(|at| now - at <= SILENT_AFTER)
    }

    /// Whether it was heard of within the time in which hosts of other zones
    /// speak at least once.
    fn is_recent(&self, now: Instant) -> bool {
        let last = self.heard_at.max(self.named_at);
        last.is_some_and(|at| now - at <= RECENT_WITHIN)
    }

    fn is_silent(&self, now: Instant) -> bool {
        let is_named = self.named_at.is_some_and(|at| now - at <= UNNAMED_AFTER);
        !self.is_heard(now) && !is_named
    }

    /// All that is remembered of it is older by so much than the clock says. What is
    /// older than the clock is forgotten.
    fn age(&mut self, by: Duration) {
        let ages = [
            &mut self.heard_at,
            &mut self.named_at,
            &mut self.sent_at,
            &mut self.relayed_at,
            &mut self.summed_up_at,
        ];
        for at in ages {
            *at = at.and_then(|at| at.checked_sub(by));
        }
    }

    pub(super) fn is_forgotten(&self, now: Instant) -> bool {
        let last = self.heard_at.max(self.named_at);
        now - last.unwrap_or(self.added_at) > FORGET_AFTER
    }
}

/// Whether a host has come up or gone silent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct PeerChange {
    pub(crate) address: SocketAddr,
    pub(crate) is_up: bool,
}

/// The other hosts as this one knows them.
pub(crate) struct PeerTable {
    pub(crate) own: SocketAddr,
    /// The short hash of this host's availability zone.
    pub(crate) zone: u32,
    /// What this host may use of a processor, in thousandths of a core.
    pub(crate) capacity_millicores: u16,
    /// Which life of the host this is.
    pub(crate) incarnation: u64,
    known: Mutex<HashMap<SocketAddr, Peer>>,
    started_at: Instant,
    /// Whether it is told of others at its start.
    has_seeds: bool,
    /// Whether this host, as a relay, sums up the fleet for its zone.
    aggregates: AtomicBool,
    /// Whether this host tells other zones of its own.
    is_relay: AtomicBool,
    /// This host's place among those that write for the fleet.
    writer_rank: AtomicUsize,
    newer: Mutex<Option<NewerPeer>>,
    pub(crate) newer_known: Notify,
}

impl PeerTable {
    pub(crate) fn new(own: SocketAddr, config: &GatewayConfig, incarnation: u64) -> Arc<Self> {
        Arc::new(Self {
            own,
            zone: zone_hash(&config.zone),
            capacity_millicores: config.capacity_millicores,
            incarnation,
            known: Mutex::default(),
            started_at: Instant::now(),
            has_seeds: config.peer_seeds.iter().any(|seed| *seed != own),
            aggregates: AtomicBool::new(false),
            is_relay: AtomicBool::new(false),
            writer_rank: AtomicUsize::new(0),
            newer: Mutex::default(),
            newer_known: Notify::new(),
        })
    }

    /// All that is remembered of other hosts is older by so much than the runtime's
    /// clock says.
    pub(crate) fn age(&self, by: Duration) {
        self.known().values_mut().for_each(|member| member.age(by));
    }

    pub(super) fn known(&self) -> MutexGuard<'_, HashMap<SocketAddr, Peer>> {
        self.known.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether this host, as a relay, sums up the fleet for its zone.
    pub(crate) fn aggregates(&self) -> bool {
        self.aggregates.load(Ordering::Relaxed)
    }

    /// Whether this host tells other zones of its own.
    pub(crate) fn is_relay(&self) -> bool {
        self.is_relay.load(Ordering::Relaxed)
    }

    /// This host's place among those that write for the fleet, 0 first; `None` if it is
    /// none of them. It comes first until it knows of others.
    pub(crate) fn writer_rank(&self) -> Option<usize> {
        let place = self.writer_rank.load(Ordering::Relaxed);
        (place != NO_PLACE).then_some(place)
    }

    pub(super) fn set_writer_place(&self, place: Option<usize>) {
        let place = place.unwrap_or(NO_PLACE);
        self.writer_rank.store(place, Ordering::Relaxed);
    }

    /// Says what this host does as a relay. Returns whether that changed.
    pub(super) fn set_relay(&self, is_relay: bool, aggregates: bool) -> bool {
        let was_relay = self.is_relay.swap(is_relay, Ordering::Relaxed);
        let summed_up = self.aggregates.swap(aggregates, Ordering::Relaxed);
        was_relay != is_relay || summed_up != aggregates
    }

    /// Hosts that may be there, with their zones as far as they are known.
    pub(crate) fn add(&self, hosts: impl IntoIterator<Item = (SocketAddr, Option<u32>)>) {
        let now = Instant::now();
        let mut known = self.known();
        for (address, zone) in hosts {
            if address == self.own {
                continue;
            }
            let member = known.entry(address).or_insert_with(|| Peer::new(now, zone));
            member.zone = member.zone.or(zone);
        }
    }

    /// Any host that was heard of late.
    pub(crate) fn any(&self) -> Option<SocketAddr> {
        let known = self.known();
        let up = known.iter().filter(|(_, member)| member.is_up);
        let up: Vec<SocketAddr> = up.map(|(address, _)| *address).collect();
        up.choose(&mut rand::rng()).copied()
    }

    /// The hosts that are up, this one included.
    pub(crate) fn up(&self) -> Vec<HostContact> {
        self.named_if(|member| member.is_up)
    }

    /// The hosts of all zones that were heard of late, this one included. Those
    /// of other zones speak rarely in a large fleet.
    pub(crate) fn recent(&self) -> Vec<HostContact> {
        let now = Instant::now();
        self.named_if(|member| member.is_recent(now))
    }

    /// Whether this host has not been up for long enough to have heard of all
    /// others, whatever cut it off at its start.
    pub(crate) fn is_new(&self) -> bool {
        self.started_at.elapsed() < NEW_UNTIL
    }

    /// The hosts of this zone among which those are drawn that send to its cold
    /// endpoints: this host and all that were heard in the last two minutes, be
    /// they silent. None while the others may not know of this host, or while it
    /// may not know of them.
    pub(super) fn cold_senders(&self, known: &HashMap<SocketAddr, Peer>) -> Vec<MemberHash> {
        let was_heard = |member: &Peer| member.heard_at.or(member.named_at).is_some();
        let hears_any = known.values().any(was_heard);
        let is_alone = self.has_seeds && !hears_any;
        if self.started_at.elapsed() < COLD_SENDER_AFTER || is_alone {
            return Vec::new();
        }
        let near = known.iter().filter(|(_, member)| {
            let is_same_zone = member.zone == Some(self.zone);
            is_same_zone && was_heard(member)
        });
        let addresses = near.map(|(address, _)| address).chain([&self.own]);
        addresses.map(host_hash).collect()
    }

    fn named_if(&self, belongs: impl Fn(&Peer) -> bool) -> Vec<HostContact> {
        let own = HostContact {
            address: self.own,
            zone: self.zone,
        };
        let known = self.known();
        let named = known.iter().filter(|(_, member)| belongs(member));
        let named = named.filter_map(|(&address, member)| {
            let zone = member.zone?;
            Some(HostContact { address, zone })
        });
        named.chain([own]).collect()
    }

    /// Who knows more than this host, once.
    pub(crate) fn take_newer(&self) -> Option<SocketAddr> {
        let mut newer = self.newer.lock().unwrap_or_else(PoisonError::into_inner);
        newer.take().map(|newer| newer.address)
    }

    /// A host knows more than this one. One of the same zone is rather asked.
    pub(crate) fn record_newer(&self, address: SocketAddr, zone: u32) {
        let found = NewerPeer {
            address,
            is_same_zone: zone == self.zone,
        };
        let mut newer = self.newer.lock().unwrap_or_else(PoisonError::into_inner);
        if newer.is_none_or(|known| !known.is_same_zone) {
            *newer = Some(found);
        }
        drop(newer);
        self.newer_known.notify_one();
    }

    /// A host told of itself. Returns whether it had not been heard of late.
    pub(crate) fn record_heartbeat(
        &self,
        address: SocketAddr,
        heartbeat: &Heartbeat,
    ) -> Option<PeerChange> {
        let now = Instant::now();
        let mut known = self.known();
        let member = known
            .entry(address)
            .or_insert_with(|| Peer::new(now, Some(heartbeat.zone)));
        member.heard_at = Some(now);
        member.zone = Some(heartbeat.zone);
        member.reading = heartbeat.reading;
        member.capacity_millicores = heartbeat.capacity_millicores;
        mark_up(address, member)
    }

    /// A relay of this host's zone told what the zone's hosts need to know.
    /// Returns who of them had not been heard of late.
    pub(crate) fn record_relay_summary(
        &self,
        address: SocketAddr,
        summary: &RelaySummary,
    ) -> Vec<PeerChange> {
        let now = Instant::now();
        let mut known = self.known();
        let relay = ZoneMember {
            address,
            reading: summary.reading,
            capacity_millicores: summary.capacity_millicores,
        };
        let members = summary
            .members
            .iter()
            .filter(|named| named.address != self.own);
        let mut news = Vec::new();
        for named in members.chain([&relay]) {
            let member = known
                .entry(named.address)
                .or_insert_with(|| Peer::new(now, Some(summary.zone)));
            member.zone = Some(summary.zone);
            // What a host says itself goes before a relay's word of it.
            if !member.is_heard(now) || named.address == address {
                member.reading = named.reading;
                member.capacity_millicores = named.capacity_millicores;
            }
            member.named_at = Some(now);
            news.extend(mark_up(named.address, member));
        }
        if let Some(relay) = known.get_mut(&address) {
            relay.heard_at = Some(now);
            relay.summed_up_at = Some(now);
        }
        news
    }

    /// A host told of its whole zone.
    pub(crate) fn record_zone_relay(&self, address: SocketAddr, zone: u32) {
        let now = Instant::now();
        let mut known = self.known();
        let member = known
            .entry(address)
            .or_insert_with(|| Peer::new(now, Some(zone)));
        member.heard_at = Some(now);
        member.zone = Some(zone);
        member.relayed_at = Some(now);
    }

    /// Whether a host of a zone speaks for itself alone: not if zones tell each
    /// other sums, and it is of another one.
    pub(crate) fn counts_alone(&self, zone: u32, remote_host_count: usize) -> bool {
        zone == self.zone || remote_host_count == 0
    }
}

/// The short hash by which hosts name a zone.
pub(crate) fn zone_hash(zone: &ZoneId) -> u32 {
    MemberHash::of(zone.as_str()).short()
}

/// The hash by which hosts rank each other.
pub(super) fn host_hash(address: &SocketAddr) -> MemberHash {
    MemberHash::of(&address.to_string())
}

/// Notes that a host is up. Returns whether that is news.
fn mark_up(address: SocketAddr, member: &mut Peer) -> Option<PeerChange> {
    if member.is_up {
        return None;
    }
    member.is_up = true;
    // It may not know this host yet: it is told at the next round.
    member.sent_at = None;
    Some(PeerChange {
        address,
        is_up: true,
    })
}

/// Marks hosts that have fallen silent. Those of other zones are no news: in a
/// large fleet they are heard by their relays.
pub(super) fn mark_silent(
    known: &mut HashMap<SocketAddr, Peer>,
    zone: u32,
    now: Instant,
) -> Vec<PeerChange> {
    let mut gone = Vec::new();
    for (address, member) in known {
        if member.is_up && member.is_silent(now) {
            member.is_up = false;
            if member.zone == Some(zone) {
                gone.push(PeerChange {
                    address: *address,
                    is_up: false,
                });
            }
        }
    }
    gone
}
