//! Other hosts: their addresses, roles and liveness.

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
use crate::peers::message::{Heartbeat, NamedHost, RelaySummary, ZoneMember};

/// Silence after which a host is considered down.
const SILENT_AFTER: Duration = Duration::from_secs(2);
/// The same for a host known only from relays, each of which lists it at least every three
/// seconds.
const UNNAMED_AFTER: Duration = Duration::from_secs(4);
/// Covers the resend interval of hosts in other zones.
const RECENT_WITHIN: Duration = Duration::from_secs(40);
/// Silence after which a host is removed.
const FORGET_AFTER: Duration = Duration::from_secs(120);

/// Time after start until the hosts of a zone know a new host, mostly from relays.
const COLD_SENDER_AFTER: Duration = Duration::from_millis(1_500);

/// Time after start in which the host count may be incomplete.
const NEW_UNTIL: Duration = Duration::from_secs(10);

/// Marks a host that does not write for the fleet.
const NO_PLACE: usize = usize::MAX;

/// A host that knows a newer version.
#[derive(Clone, Copy, Debug)]
struct NewerPeer {
    address: SocketAddr,
    is_near: bool,
}

/// Another host.
#[derive(Clone, Debug)]
pub(super) struct Member {
    added_at: Instant,
    /// When a datagram from it last arrived.
    pub(super) heard_at: Option<Instant>,
    /// When a relay last listed it.
    named_at: Option<Instant>,
    pub(super) sent_at: Option<Instant>,
    pub(super) is_up: bool,
    /// Short hash of its availability zone, if known.
    pub(super) zone: Option<u32>,
    pub(super) reading: SubscriptionRole,
    pub(super) capacity_millicores: u16,
    /// When it last sent its zone's aggregate, as a remote relay.
    pub(super) relayed_at: Option<Instant>,
    /// When it last sent the fleet aggregate, as a relay of this zone.
    pub(super) summed_up_at: Option<Instant>,
}

impl Member {
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

    /// Whether a datagram from it arrived recently.
    pub(super) fn is_heard(&self, now: Instant) -> bool {
        self.heard_at.is_some_and(|at| now - at <= SILENT_AFTER)
    }

    /// Whether it recently sent its zone's aggregate.
    pub(super) fn relays(&self, now: Instant) -> bool {
        self.relayed_at.is_some_and(|at| now - at <= SILENT_AFTER)
    }

    /// Whether it recently sent the fleet aggregate.
    pub(super) fn sums_up(&self, now: Instant) -> bool {
        self.summed_up_at.is_some_and(|at| now - at <= SILENT_AFTER)
    }

    /// Whether any report of it falls within the longest resend interval.
    fn is_recent(&self, now: Instant) -> bool {
        let last = self.heard_at.max(self.named_at);
        last.is_some_and(|at| now - at <= RECENT_WITHIN)
    }

    fn is_silent(&self, now: Instant) -> bool {
        let is_named = self.named_at.is_some_and(|at| now - at <= UNNAMED_AFTER);
        !self.is_heard(now) && !is_named
    }

    /// Shifts all instants back by time that the runtime's clock did not count. Those
    /// before the clock's start are cleared.
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

/// A host came up or went down.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct MemberChange {
    pub(crate) address: SocketAddr,
    pub(crate) is_up: bool,
}

/// The other hosts as this one knows them.
pub(crate) struct Membership {
    pub(crate) own: SocketAddr,
    /// Short hash of this host's availability zone.
    pub(crate) zone: u32,
    /// CPU capacity of this host, in thousandths of a core.
    pub(crate) capacity_millicores: u16,
    /// Distinguishes restarts of this host.
    pub(crate) incarnation: u64,
    known: Mutex<HashMap<SocketAddr, Member>>,
    started_at: Instant,
    /// Whether seeds other than this host are configured.
    has_seeds: bool,
    /// Whether this host sends the fleet aggregate to its zone.
    sums_up: AtomicBool,
    /// Whether this host sends aggregates to other zones.
    is_relay: AtomicBool,
    /// Rank of this host among the writers of the fleet.
    writer_place: AtomicUsize,
    newer: Mutex<Option<NewerPeer>>,
    pub(crate) newer_known: Notify,
}

impl Membership {
    pub(crate) fn new(own: SocketAddr, config: &GatewayConfig, incarnation: u64) -> Arc<Self> {
        Arc::new(Self {
            own,
            zone: zone_hash(&config.zone),
            capacity_millicores: config.capacity_millicores,
            incarnation,
            known: Mutex::default(),
            started_at: Instant::now(),
            has_seeds: config.peer_seeds.iter().any(|seed| *seed != own),
            sums_up: AtomicBool::new(false),
            is_relay: AtomicBool::new(false),
            writer_place: AtomicUsize::new(0),
            newer: Mutex::default(),
            newer_known: Notify::new(),
        })
    }

    /// Shifts all instants back by time that the runtime's clock did not count.
    pub(crate) fn age(&self, by: Duration) {
        self.known().values_mut().for_each(|member| member.age(by));
    }

    pub(super) fn known(&self) -> MutexGuard<'_, HashMap<SocketAddr, Member>> {
        self.known.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether this host sends the fleet aggregate to its zone.
    pub(crate) fn sums_up(&self) -> bool {
        self.sums_up.load(Ordering::Relaxed)
    }

    /// Whether this host sends aggregates to other zones.
    pub(crate) fn is_relay(&self) -> bool {
        self.is_relay.load(Ordering::Relaxed)
    }

    /// Rank of this host among the writers of the fleet, 0 first; `None` if it is not a
    /// writer. It is 0 until other hosts are known.
    pub(crate) fn writer_place(&self) -> Option<usize> {
        let place = self.writer_place.load(Ordering::Relaxed);
        (place != NO_PLACE).then_some(place)
    }

    pub(super) fn set_writer_place(&self, place: Option<usize>) {
        let place = place.unwrap_or(NO_PLACE);
        self.writer_place.store(place, Ordering::Relaxed);
    }

    /// Sets this host's relay roles. Returns whether they changed.
    pub(super) fn set_relay(&self, is_relay: bool, sums_up: bool) -> bool {
        let was_relay = self.is_relay.swap(is_relay, Ordering::Relaxed);
        let summed_up = self.sums_up.swap(sums_up, Ordering::Relaxed);
        was_relay != is_relay || summed_up != sums_up
    }

    /// Adds possible hosts, with their zones where known.
    pub(crate) fn add(&self, hosts: impl IntoIterator<Item = (SocketAddr, Option<u32>)>) {
        let now = Instant::now();
        let mut known = self.known();
        for (address, zone) in hosts {
            if address == self.own {
                continue;
            }
            let member = known
                .entry(address)
                .or_insert_with(|| Member::new(now, zone));
            member.zone = member.zone.or(zone);
        }
    }

    /// A random host that is up.
    pub(crate) fn any(&self) -> Option<SocketAddr> {
        let known = self.known();
        let up = known.iter().filter(|(_, member)| member.is_up);
        let up: Vec<SocketAddr> = up.map(|(address, _)| *address).collect();
        up.choose(&mut rand::rng()).copied()
    }

    /// The hosts that are up, including this one.
    pub(crate) fn up(&self) -> Vec<NamedHost> {
        self.named_if(|member| member.is_up)
    }

    /// The hosts of all zones with a recent report, including this one. Hosts of other
    /// zones report rarely in a large fleet.
    pub(crate) fn recent(&self) -> Vec<NamedHost> {
        let now = Instant::now();
        self.named_if(|member| member.is_recent(now))
    }

    /// Whether this host started too recently to know all others.
    pub(crate) fn is_new(&self) -> bool {
        self.started_at.elapsed() < NEW_UNTIL
    }

    /// The hosts of this zone that share the request rate of its cold endpoints, including
    /// those silent for up to two minutes. Empty while this host and the others may not
    /// know of each other.
    pub(super) fn cold_senders(&self, known: &HashMap<SocketAddr, Member>) -> Vec<MemberHash> {
        let was_heard = |member: &Member| member.heard_at.or(member.named_at).is_some();
        let hears_any = known.values().any(was_heard);
        let is_alone = self.has_seeds && !hears_any;
        if self.started_at.elapsed() < COLD_SENDER_AFTER || is_alone {
            return Vec::new();
        }
        let near = known.iter().filter(|(_, member)| {
            let is_near = member.zone == Some(self.zone);
            is_near && was_heard(member)
        });
        let addresses = near.map(|(address, _)| address).chain([&self.own]);
        addresses.map(host_hash).collect()
    }

    fn named_if(&self, belongs: impl Fn(&Member) -> bool) -> Vec<NamedHost> {
        let own = NamedHost {
            address: self.own,
            zone: self.zone,
        };
        let known = self.known();
        let named = known.iter().filter(|(_, member)| belongs(member));
        let named = named.filter_map(|(&address, member)| {
            let zone = member.zone?;
            Some(NamedHost { address, zone })
        });
        named.chain([own]).collect()
    }

    /// Returns and clears the host that knows a newer version.
    pub(crate) fn take_newer(&self) -> Option<SocketAddr> {
        let mut newer = self.newer.lock().unwrap_or_else(PoisonError::into_inner);
        newer.take().map(|newer| newer.address)
    }

    /// Records a host that knows a newer version. One of the same zone is preferred.
    pub(crate) fn record_newer(&self, address: SocketAddr, zone: u32) {
        let found = NewerPeer {
            address,
            is_near: zone == self.zone,
        };
        let mut newer = self.newer.lock().unwrap_or_else(PoisonError::into_inner);
        if newer.is_none_or(|known| !known.is_near) {
            *newer = Some(found);
        }
        drop(newer);
        self.newer_known.notify_one();
    }

    /// Records a heartbeat. Returns the change if the host came up.
    pub(crate) fn record_heartbeat(
        &self,
        address: SocketAddr,
        heartbeat: &Heartbeat,
    ) -> Option<MemberChange> {
        let now = Instant::now();
        let mut known = self.known();
        let member = known
            .entry(address)
            .or_insert_with(|| Member::new(now, Some(heartbeat.zone)));
        member.heard_at = Some(now);
        member.zone = Some(heartbeat.zone);
        member.reading = heartbeat.reading;
        member.capacity_millicores = heartbeat.capacity_millicores;
        mark_up(address, member)
    }

    /// Records a summary from a relay of this zone. Returns the hosts that came up.
    pub(crate) fn record_relay_summary(
        &self,
        address: SocketAddr,
        summary: &RelaySummary,
    ) -> Vec<MemberChange> {
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
                .or_insert_with(|| Member::new(now, Some(summary.zone)));
            member.zone = Some(summary.zone);
            // A host's own heartbeat takes precedence over a relay's report of it.
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

    /// Records an aggregate from a relay of another zone.
    pub(crate) fn record_zone_relay(&self, address: SocketAddr, zone: u32) {
        let now = Instant::now();
        let mut known = self.known();
        let member = known
            .entry(address)
            .or_insert_with(|| Member::new(now, Some(zone)));
        member.heard_at = Some(now);
        member.zone = Some(zone);
        member.relayed_at = Some(now);
    }

    /// Whether reports of single hosts in a zone count: always in this zone, elsewhere only
    /// while zones do not exchange aggregates.
    pub(crate) fn counts_alone(&self, zone: u32, far_hosts: usize) -> bool {
        zone == self.zone || far_hosts == 0
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
fn mark_up(address: SocketAddr, member: &mut Member) -> Option<MemberChange> {
    if member.is_up {
        return None;
    }
    member.is_up = true;
    // It may not know this host yet: report to it in the next round.
    member.sent_at = None;
    Some(MemberChange {
        address,
        is_up: true,
    })
}

/// Marks silent hosts as down. Returns those of this zone only; in a large fleet the others
/// report to their relays.
pub(super) fn mark_silent(
    known: &mut HashMap<SocketAddr, Member>,
    zone: u32,
    now: Instant,
) -> Vec<MemberChange> {
    let mut gone = Vec::new();
    for (address, member) in known {
        if member.is_up && member.is_silent(now) {
            member.is_up = false;
            if member.zone == Some(zone) {
                gone.push(MemberChange {
                    address: *address,
                    is_up: false,
                });
            }
        }
    }
    gone
}
