//! The other hosts: who they are, what they have in progress, what they know.
//!
//! A few times a second each host sends every other one a datagram with its
//! requests in progress by endpoint, the versions that it knows and the
//! endpoints that it heard say they leave. Nothing is agreed and nothing is
//! answered: a datagram that is lost is replaced by the next. A host that
//! learns of a newer version, and does not get it from the platform meanwhile,
//! takes it from the one that knows it.

mod message;
mod pull;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use chalkrock_core::ZoneId;
use chalkrock_core::rendezvous::MemberHash;
use chalkrock_routing::{HeardHost, HostReport, Merged, Reading, reads_platform};
use rand::seq::IndexedRandom;
use tokio::net::UdpSocket;
use tokio::sync::Notify;
use tokio::time::{Instant, MissedTickBehavior};

pub(crate) use message::Beat;
pub(crate) use pull::{pull_when_behind, serve_pulls};

use crate::journal::Event;
use crate::shared::Shared;

/// How often a host tells the others.
const TELL_EVERY: Duration = Duration::from_millis(200);
/// How often a host that does not answer is told.
const TELL_SILENT_EVERY: Duration = Duration::from_secs(2);
/// Silence after which a host counts as gone.
const SILENT_AFTER: Duration = Duration::from_secs(2);
/// Silence after which a host is forgotten, unless it speaks again.
const FORGET_AFTER: Duration = Duration::from_secs(120);
/// Hosts that a datagram names, so that all find each other.
const NAMED_MAX: usize = 4;
/// Prefixes that a datagram names.
const HOLDINGS_MAX: usize = 64;
/// Largest datagram that is read.
const DATAGRAM_MAX_BYTES: usize = 16 * 1024;

/// A host that knows more than this one.
#[derive(Clone, Copy, Debug)]
struct Ahead {
    address: SocketAddr,
    is_near: bool,
}

#[derive(Clone, Debug)]
struct Peer {
    added_at: Instant,
    heard_at: Option<Instant>,
    told_at: Option<Instant>,
    is_up: bool,
    zone: u32,
    reading: Reading,
}

impl Peer {
    fn new(now: Instant) -> Self {
        Self {
            added_at: now,
            heard_at: None,
            told_at: None,
            is_up: false,
            zone: 0,
            reading: Reading::No,
        }
    }

    fn is_forgotten(&self, now: Instant) -> bool {
        now - self.heard_at.unwrap_or(self.added_at) > FORGET_AFTER
    }

    fn is_due(&self, now: Instant) -> bool {
        let pause = if self.is_up {
            Duration::ZERO
        } else {
            TELL_SILENT_EVERY
        };
        self.told_at.is_none_or(|told_at| now - told_at >= pause)
    }
}

/// The other hosts as this one knows them.
pub(crate) struct Peers {
    own: SocketAddr,
    /// Which life of the host this is.
    incarnation: u64,
    known: Mutex<HashMap<SocketAddr, Peer>>,
    /// The short hash of this host's availability zone.
    zone: u32,
    /// Who knows more than this host.
    ahead: Mutex<Option<Ahead>>,
    pub(crate) is_behind: Notify,
}

impl Peers {
    pub(crate) fn new(own: SocketAddr, zone: &ZoneId, incarnation: u64) -> Arc<Self> {
        Arc::new(Self {
            own,
            incarnation,
            zone: MemberHash::of(zone.as_str()).short(),
            known: Mutex::default(),
            ahead: Mutex::default(),
            is_behind: Notify::new(),
        })
    }

    /// Hosts that may be there.
    pub(crate) fn add(&self, addresses: impl IntoIterator<Item = SocketAddr>) {
        let now = Instant::now();
        let mut known = self.known.lock().unwrap_or_else(PoisonError::into_inner);
        for address in addresses.into_iter().filter(|address| *address != self.own) {
            known.entry(address).or_insert_with(|| Peer::new(now));
        }
    }

    /// Any host that was heard of late, or any at all.
    pub(crate) fn any(&self) -> Option<SocketAddr> {
        let known = self.known.lock().unwrap_or_else(PoisonError::into_inner);
        let up: Vec<SocketAddr> = known
            .iter()
            .filter(|(_, peer)| peer.is_up)
            .map(|(address, _)| *address)
            .collect();
        up.choose(&mut rand::rng()).copied()
    }

    fn take_ahead(&self) -> Option<SocketAddr> {
        let mut ahead = self.ahead.lock().unwrap_or_else(PoisonError::into_inner);
        ahead.take().map(|ahead| ahead.address)
    }

    /// A host knows more than this one. One of the same zone is rather asked.
    fn set_ahead(&self, address: SocketAddr, zone: u32) {
        let found = Ahead {
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

    /// Whether it is this host's to read the platform.
    fn reads_platform(&self, reading: Reading) -> bool {
        let known = self.known.lock().unwrap_or_else(PoisonError::into_inner);
        let heard = |address: &SocketAddr, zone, reading| HeardHost {
            hash: MemberHash::of(&address.to_string()),
            zone,
            reading,
        };
        let up = known.iter().filter(|(_, peer)| peer.is_up);
        let others: Vec<HeardHost> = up
            .map(|(address, peer)| heard(address, peer.zone, peer.reading))
            .collect();
        drop(known);
        reads_platform(&heard(&self.own, self.zone, reading), &others)
    }

    /// The hosts to tell now, and some that they may not know.
    fn due(&self, shared: &Shared) -> (Vec<SocketAddr>, Vec<SocketAddr>) {
        let now = Instant::now();
        let mut known = self.known.lock().unwrap_or_else(PoisonError::into_inner);
        known.retain(|_, peer| !peer.is_forgotten(now));
        for (address, peer) in known.iter_mut() {
            let is_silent = peer.heard_at.is_none_or(|at| now - at > SILENT_AFTER);
            if peer.is_up && is_silent {
                peer.is_up = false;
                shared.journal.tell(&Event::Peer {
                    address: *address,
                    is_up: false,
                });
            }
        }
        let up: Vec<SocketAddr> = known
            .iter()
            .filter(|(_, peer)| peer.is_up)
            .map(|(address, _)| *address)
            .collect();
        let named = up.sample(&mut rand::rng(), NAMED_MAX).copied().collect();
        let mut due = Vec::new();
        for (address, peer) in known.iter_mut().filter(|(_, peer)| peer.is_due(now)) {
            peer.told_at = Some(now);
            due.push(*address);
        }
        (due, named)
    }

    fn heard(&self, shared: &Shared, address: SocketAddr, beat: &Beat) {
        let now = Instant::now();
        let mut known = self.known.lock().unwrap_or_else(PoisonError::into_inner);
        let peer = known.entry(address).or_insert_with(|| Peer::new(now));
        peer.heard_at = Some(now);
        peer.zone = beat.zone;
        peer.reading = beat.reading;
        if !peer.is_up {
            peer.is_up = true;
            // It may not know this host yet: tell it at the next round.
            peer.told_at = None;
            shared.journal.tell(&Event::Peer {
                address,
                is_up: true,
            });
        }
    }
}

/// Tells the others, until the process ends.
pub(crate) async fn tell(shared: Arc<Shared>, peers: Arc<Peers>, socket: Arc<UdpSocket>) {
    let mut ticks = tokio::time::interval(TELL_EVERY);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut sequence = 0;
    loop {
        tokio::select! {
            _ = ticks.tick() => {}
            () = shared.tell_peers_now.notified() => {}
        }
        sequence += 1;
        let has_turn = peers.reads_platform(shared.reading.told());
        if shared.reading.set_turn(has_turn) {
            shared.journal.tell(&Event::Reads { has_turn });
        }
        let (due, named) = peers.due(&shared);
        let beat = beat_of(&shared, &peers, sequence, named);
        let Ok(datagram) = postcard::to_stdvec(&beat) else {
            continue;
        };
        for address in due {
            let _lost_datagrams_are_replaced = socket.try_send_to(&datagram, address);
        }
    }
}

fn beat_of(shared: &Shared, peers: &Peers, sequence: u64, named: Vec<SocketAddr>) -> Beat {
    let mut fleet = shared.fleet();
    let now_ms = shared.clock.now_ms();
    fleet.load.expire(now_ms);
    fleet.expire(now_ms);
    Beat {
        zone: peers.zone,
        reading: shared.reading.told(),
        report: HostReport {
            incarnation: peers.incarnation,
            sequence,
            counts: fleet.load.own_counts(),
        },
        rules: shared
            .rules()
            .map(|rules| rules.version())
            .unwrap_or_default(),
        endpoints: fleet.endpoints_version,
        leaving: fleet.endpoints.leaving(),
        holdings: fleet.take_untold(HOLDINGS_MAX),
        hosts: named,
    }
}

/// Hears the others, until the process ends.
pub(crate) async fn hear(shared: Arc<Shared>, peers: Arc<Peers>, socket: Arc<UdpSocket>) {
    let mut buffer = vec![0; DATAGRAM_MAX_BYTES];
    loop {
        let Ok((length, address)) = socket.recv_from(&mut buffer).await else {
            tokio::time::sleep(TELL_EVERY).await;
            continue;
        };
        // What can't be read is not from a host of this fleet and version.
        let Ok(beat) = postcard::from_bytes::<Beat>(&buffer[..length]) else {
            shared.metrics.count("peer_garbage_total", "", 1);
            continue;
        };
        take(&shared, &peers, address, beat);
    }
}

fn take(shared: &Shared, peers: &Peers, address: SocketAddr, beat: Beat) {
    if address == peers.own {
        return;
    }
    peers.heard(shared, address, &beat);
    peers.add(beat.hosts);
    let now_ms = shared.clock.now_ms();
    let mut fleet = shared.fleet();
    if fleet.load.merge(address, beat.report, now_ms) == Merged::Old {
        return;
    }
    fleet.hear_prefixes(&beat.holdings, now_ms);
    if fleet.endpoints.mark_leaving(&beat.leaving) {
        shared
            .metrics
            .count("leaving_heard_from_peers_total", "", 1);
    }
    let knows_newer_list = beat.endpoints > fleet.endpoints_version;
    drop(fleet);
    let own_rules = shared
        .rules()
        .map(|rules| rules.version())
        .unwrap_or_default();
    if knows_newer_list || beat.rules > own_rules {
        peers.set_ahead(address, beat.zone);
    }
}
