//! The other hosts as this one knows them: who is up, who is told what.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use chalkrock_core::ZoneId;
use chalkrock_core::rendezvous::{KeyHash, MemberHash, score};
use chalkrock_routing::{HeardHost, SubscriptionRole, ZoneView};
use rand::seq::IndexedRandom;
use tokio::sync::Notify;
use tokio::time::Instant;

use crate::peers::message::{Heartbeat, NamedHost};

/// How often a host that does not answer is told.
const TELL_SILENT_EVERY: Duration = Duration::from_secs(2);
/// How often a host of another zone is told in a large fleet, so that the two
/// do not forget each other.
const TELL_FAR_EVERY: Duration = Duration::from_secs(30);
/// Silence after which a host counts as gone.
const SILENT_AFTER: Duration = Duration::from_secs(2);
/// Silence after which a host is forgotten, unless it speaks again.
const FORGET_AFTER: Duration = Duration::from_secs(120);
/// Hosts that a datagram names, so that all find each other.
const NAMED_MAX: usize = 4;
/// Hosts of each other zone that a relay tells.
const GOSSIP_FAN_OUT: usize = 2;

/// A host that knows more than this one.
#[derive(Clone, Copy, Debug)]
struct NewerPeer {
    address: SocketAddr,
    is_near: bool,
}

#[derive(Clone, Debug)]
struct Peer {
    added_at: Instant,
    heard_at: Option<Instant>,
    told_at: Option<Instant>,
    is_up: bool,
    /// The short hash of its availability zone, if it is known.
    zone: Option<u32>,
    reading: SubscriptionRole,
    /// When it last spoke for its whole zone.
    relayed_at: Option<Instant>,
}

impl Peer {
    fn new(now: Instant, zone: Option<u32>) -> Self {
        Self {
            added_at: now,
            heard_at: None,
            told_at: None,
            is_up: false,
            zone,
            reading: SubscriptionRole::No,
            relayed_at: None,
        }
    }

    fn is_forgotten(&self, now: Instant) -> bool {
        now - self.heard_at.unwrap_or(self.added_at) > FORGET_AFTER
    }
}

/// Whether a host has come up or gone silent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct PeerNews {
    pub(crate) address: SocketAddr,
    pub(crate) is_up: bool,
}

/// The recipients of one gossip round.
#[derive(Clone, Debug, Default)]
pub(crate) struct GossipRound {
    /// Hosts to tell of this one.
    pub(crate) due: Vec<SocketAddr>,
    /// Hosts that they may not know.
    pub(crate) named: Vec<NamedHost>,
    /// Hosts of other zones to tell of this zone, if this host is a relay.
    pub(crate) far: Vec<SocketAddr>,
    pub(crate) reads_platform: bool,
    pub(crate) is_relay: bool,
    pub(crate) gone: Vec<PeerNews>,
    /// Hosts with which the readers' work is shared.
    pub(crate) heard: usize,
}

/// The other hosts as this one knows them.
pub(crate) struct Peers {
    pub(crate) own: SocketAddr,
    /// The short hash of this host's availability zone.
    pub(crate) zone: u32,
    /// Which life of the host this is.
    pub(crate) incarnation: u64,
    known: Mutex<HashMap<SocketAddr, Peer>>,
    ahead: Mutex<Option<NewerPeer>>,
    pub(crate) is_behind: Notify,
}

impl Peers {
    pub(crate) fn new(own: SocketAddr, zone: &ZoneId, incarnation: u64) -> Arc<Self> {
        Arc::new(Self {
            own,
            zone: zone_hash(zone),
            incarnation,
            known: Mutex::default(),
            ahead: Mutex::default(),
            is_behind: Notify::new(),
        })
    }

    fn known(&self) -> MutexGuard<'_, HashMap<SocketAddr, Peer>> {
        self.known.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Hosts that may be there, with their zones as far as they are known.
    pub(crate) fn add(&self, hosts: impl IntoIterator<Item = (SocketAddr, Option<u32>)>) {
        let now = Instant::now();
        let mut known = self.known();
        for (address, zone) in hosts {
            if address == self.own {
                continue;
            }
            let peer = known.entry(address).or_insert_with(|| Peer::new(now, zone));
            peer.zone = peer.zone.or(zone);
        }
    }

    /// Any host that was heard of late.
    pub(crate) fn any(&self) -> Option<SocketAddr> {
        let known = self.known();
        let up = known.iter().filter(|(_, peer)| peer.is_up);
        let up: Vec<SocketAddr> = up.map(|(address, _)| *address).collect();
        up.choose(&mut rand::rng()).copied()
    }

    /// Who knows more than this host, once.
    pub(crate) fn take_newer(&self) -> Option<SocketAddr> {
        let mut ahead = self.ahead.lock().unwrap_or_else(PoisonError::into_inner);
        ahead.take().map(|ahead| ahead.address)
    }

    /// A host knows more than this one. One of the same zone is rather asked.
    pub(crate) fn record_newer(&self, address: SocketAddr, zone: u32) {
        let found = NewerPeer {
            address,
            is_near: zone == self.zone,
        };
        let mut ahead = self.ahead.lock().unwrap_or_else(PoisonError::into_inner);
        if ahead.is_none_or(|known| !known.is_near) {
            *ahead = Some(found);
        }
        drop(ahead);
        self.is_behind.notify_one();
    }

    /// A host told of itself. Returns whether it had not been heard of late.
    pub(crate) fn heard(&self, address: SocketAddr, beat: &Heartbeat) -> Option<PeerNews> {
        let now = Instant::now();
        let mut known = self.known();
        let peer = known
            .entry(address)
            .or_insert_with(|| Peer::new(now, Some(beat.zone)));
        peer.heard_at = Some(now);
        peer.zone = Some(beat.zone);
        peer.reading = beat.reading;
        if peer.is_up {
            return None;
        }
        peer.is_up = true;
        // It may not know this host yet: it is told at the next round.
        peer.told_at = None;
        Some(PeerNews {
            address,
            is_up: true,
        })
    }

    /// A host told of its whole zone.
    pub(crate) fn heard_relay(&self, address: SocketAddr, zone: u32) {
        let now = Instant::now();
        let mut known = self.known();
        let peer = known
            .entry(address)
            .or_insert_with(|| Peer::new(now, Some(zone)));
        peer.heard_at = Some(now);
        peer.zone = Some(zone);
        peer.relayed_at = Some(now);
    }

    /// Works out whom to tell now. `far_hosts` is how many hosts of other
    /// zones are known by their sums.
    pub(crate) fn round(&self, reading: SubscriptionRole, far_hosts: usize) -> GossipRound {
        let now = Instant::now();
        let mut known = self.known();
        known.retain(|_, peer| !peer.is_forgotten(now));
        let gone = silence(&mut known, self.zone, now);
        let view = self.view(&known, far_hosts);
        let zone_view = view.zone_view();
        let own = heard_host(&self.own, reading);
        let is_large = zone_view.is_large();
        let is_relay = is_large && zone_view.is_relay(&own);
        GossipRound {
            reads_platform: zone_view.reads_platform(&own),
            far: if is_relay {
                self.far_relays(&known, now)
            } else {
                Vec::new()
            },
            named: named(&known),
            due: self.due(&mut known, now, is_large),
            is_relay,
            gone,
            heard: view.others.len(),
        }
    }

    /// Whether a host of a zone speaks for itself alone: not if zones tell each
    /// other sums, and it is of another one.
    pub(crate) fn counts_alone(&self, zone: u32, far_hosts: usize) -> bool {
        zone == self.zone || far_hosts == 0
    }

    fn view(&self, known: &HashMap<SocketAddr, Peer>, far_hosts: usize) -> View {
        let up = || known.iter().filter(|(_, peer)| peer.is_up);
        let heard = |(address, peer): (&SocketAddr, &Peer)| heard_host(address, peer.reading);
        let near = up().filter(|(_, peer)| peer.zone == Some(self.zone));
        let others: Vec<HeardHost> = near.map(heard).collect();
        let mut zones: Vec<u32> = known.values().filter_map(|peer| peer.zone).collect();
        zones.push(self.zone);
        zones.sort_unstable();
        zones.dedup();
        let up_elsewhere = up().count() - others.len();
        let of_zones = View {
            hosts: 1 + others.len() + far_hosts.max(up_elsewhere),
            zones: zones.len(),
            others,
        };
        let is_large = of_zones.zone_view().is_large();
        if is_large {
            return of_zones;
        }
        View {
            zones: 1,
            others: up().map(heard).collect(),
            ..of_zones
        }
    }

    fn due(
        &self,
        known: &mut HashMap<SocketAddr, Peer>,
        now: Instant,
        is_large: bool,
    ) -> Vec<SocketAddr> {
        let mut due = Vec::new();
        for (address, peer) in known {
            let is_far = peer.zone.is_some_and(|zone| zone != self.zone);
            let pause = if is_large && is_far {
                TELL_FAR_EVERY
            } else if peer.is_up {
                Duration::ZERO
            } else {
                TELL_SILENT_EVERY
            };
            if peer.told_at.is_none_or(|told_at| now - told_at >= pause) {
                peer.told_at = Some(now);
                due.push(*address);
            }
        }
        due
    }

    /// The hosts of each other zone that pass on what they are told: those that
    /// spoke for it, else those that come first by rank, and one at random in
    /// case these are gone.
    fn far_relays(&self, known: &HashMap<SocketAddr, Peer>, now: Instant) -> Vec<SocketAddr> {
        let mut by_zone: BTreeMap<u32, Vec<(&SocketAddr, &Peer)>> = BTreeMap::new();
        for (address, peer) in known {
            if let Some(zone) = peer.zone.filter(|zone| *zone != self.zone) {
                by_zone.entry(zone).or_default().push((address, peer));
            }
        }
        let mut told = Vec::new();
        for mut of_zone in by_zone.into_values() {
            let is_recent =
                |peer: &Peer| peer.relayed_at.is_some_and(|at| now - at <= SILENT_AFTER);
            let relays = of_zone.iter().filter(|(_, peer)| is_recent(peer));
            let relays: Vec<SocketAddr> = relays.map(|(address, _)| **address).collect();
            if !relays.is_empty() {
                told.extend(relays.into_iter().take(GOSSIP_FAN_OUT));
                continue;
            }
            of_zone.sort_by(|(a, _), (b, _)| rank(b).total_cmp(&rank(a)));
            told.extend(
                of_zone
                    .iter()
                    .take(GOSSIP_FAN_OUT)
                    .map(|(address, _)| **address),
            );
            let other = of_zone.choose(&mut rand::rng());
            told.extend(other.map(|(address, _)| **address));
        }
        told
    }
}

struct View {
    others: Vec<HeardHost>,
    hosts: usize,
    zones: usize,
}

impl View {
    fn zone_view(&self) -> ZoneView<'_> {
        ZoneView {
            others: &self.others,
            hosts: self.hosts,
            zones: self.zones,
        }
    }
}

/// The short hash by which hosts name a zone.
pub(crate) fn zone_hash(zone: &ZoneId) -> u32 {
    MemberHash::of(zone.as_str()).short()
}

fn heard_host(address: &SocketAddr, reading: SubscriptionRole) -> HeardHost {
    HeardHost {
        hash: MemberHash::of(&address.to_string()),
        reading,
    }
}

/// The order in which hosts become relays, the same as among themselves.
fn rank(address: &SocketAddr) -> f64 {
    score(KeyHash(0), MemberHash::of(&address.to_string()), 1.0)
}

/// Marks hosts that have fallen silent. Those of other zones are no news: in a
/// large fleet they are heard by their relays.
fn silence(known: &mut HashMap<SocketAddr, Peer>, zone: u32, now: Instant) -> Vec<PeerNews> {
    let mut gone = Vec::new();
    for (address, peer) in known {
        let is_silent = peer.heard_at.is_none_or(|at| now - at > SILENT_AFTER);
        if peer.is_up && is_silent {
            peer.is_up = false;
            if peer.zone == Some(zone) {
                gone.push(PeerNews {
                    address: *address,
                    is_up: false,
                });
            }
        }
    }
    gone
}

fn named(known: &HashMap<SocketAddr, Peer>) -> Vec<NamedHost> {
    let up = known.iter().filter(|(_, peer)| peer.is_up);
    let up: Vec<NamedHost> = up
        .filter_map(|(address, peer)| {
            Some(NamedHost {
                address: *address,
                zone: peer.zone?,
            })
        })
        .collect();
    up.sample(&mut rand::rng(), NAMED_MAX).copied().collect()
}
