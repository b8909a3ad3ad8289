//! Tells the other hosts and hears them.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use chalkrock_routing::{CacheEntry, HostReport, Merged, WordPath, ZoneSum};
use tokio::net::UdpSocket;
use tokio::time::MissedTickBehavior;

use crate::event_log::Event;
use crate::peers::known::{GossipRound, PeerNews, Peers};
use crate::peers::message::{CacheEntries, Datagram, Heartbeat, Knowledge, ZoneSummary};
use crate::shared::Shared;
use crate::subscription::AnsweredHost;

/// How often a host tells the others.
const TELL_EVERY: Duration = Duration::from_millis(200);
/// Prefixes that a datagram names: about 1 KB.
const HOLDINGS_A_DATAGRAM: usize = 96;
/// Endpoints whose requests a datagram counts: about 1 KB.
const COUNTS_A_DATAGRAM: usize = 128;
/// Datagrams of prefixes in a round.
const HOLDING_DATAGRAMS: usize = 3;
/// Largest datagram that is read.
const DATAGRAM_MAX_BYTES: usize = 60 * 1024;

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
        let far_hosts = shared.fleet().load.far_hosts();
        let round = peers.round(shared.subscription.told(), far_hosts);
        take_round(&shared, &round);
        let said = said(&shared, &peers, sequence, &round);
        for datagram in said.near {
            send(&socket, &datagram, &round.due);
        }
        for datagram in said.far {
            send(&socket, &datagram, &round.far);
        }
    }
}

fn send(socket: &UdpSocket, datagram: &Datagram, to: &[SocketAddr]) {
    let Ok(bytes) = postcard::to_stdvec(datagram) else {
        return;
    };
    for address in to {
        let _lost_datagrams_are_replaced = socket.try_send_to(&bytes, *address);
    }
}

fn take_round(shared: &Shared, round: &GossipRound) {
    round.gone.iter().for_each(|news| tell_peer(shared, *news));
    shared.subscription.set_round(round.heard, round.is_relay);
    let has_turn = round.reads_platform;
    if shared.subscription.set_turn(has_turn) {
        shared.event_log.emit(&Event::Reads { has_turn });
    }
}

fn tell_peer(shared: &Shared, news: PeerNews) {
    shared.event_log.emit(&Event::Peer {
        address: news.address,
        is_up: news.is_up,
    });
}

/// The datagrams of a round.
struct Said {
    /// To the hosts that are told of this one.
    near: Vec<Datagram>,
    /// To relays of other zones, if this host is one.
    far: Vec<Datagram>,
}

/// What to tell of this host and, if it is a relay, of its zone.
fn said(shared: &Shared, peers: &Peers, sequence: u64, round: &GossipRound) -> Said {
    let now_ms = shared.clock.now_ms();
    let rules = shared
        .rules()
        .map(|rules| rules.version())
        .unwrap_or_default();
    let mut fleet = shared.fleet();
    fleet.load.expire(now_ms);
    fleet.expire_lapsed(now_ms);
    fleet.prefixes.expire(now_ms);
    let knowledge = Knowledge {
        rules,
        endpoints: fleet.endpoints_version,
        leaving: fleet.endpoints.leaving(),
    };
    let beat = Heartbeat {
        zone: peers.zone,
        reading: shared.subscription.told(),
        answered_ago_ms: shared.subscription.answered_ago_ms(AnsweredHost::Own),
        far_answered_ago_ms: shared
            .subscription
            .answered_ago_ms(AnsweredHost::Far)
            .filter(|_| round.is_relay),
        report: HostReport {
            incarnation: peers.incarnation,
            sequence,
            counts: fleet.load.in_flight_counts(),
        },
        knowledge: knowledge.clone(),
        hosts: round.named.clone(),
    };
    let pending = fleet
        .prefixes
        .take_pending(HOLDINGS_A_DATAGRAM * HOLDING_DATAGRAMS);
    let mut near = vec![Datagram::Heartbeat(beat)];
    near.extend(holdings(peers.zone, WordPath::Direct, &pending.near));
    let mut far = Vec::new();
    if round.is_relay {
        let sums = fleet.load.far_sums(now_ms).into_iter();
        let parts = sums.flat_map(|sum| sum.split(COUNTS_A_DATAGRAM));
        near.extend(parts.map(Datagram::FarSum));
        let answered_ago_ms = shared.subscription.answered_ago_ms(AnsweredHost::Near);
        let sum = fleet.load.zone_sum(peers.zone, now_ms);
        let parts = sum.split(COUNTS_A_DATAGRAM).into_iter();
        far.extend(parts.map(|sum| {
            let knowledge = knowledge.clone();
            Datagram::ZoneSummary(ZoneSummary {
                sum,
                answered_ago_ms,
                knowledge,
            })
        }));
        far.extend(holdings(peers.zone, WordPath::Direct, &pending.far));
        near.extend(holdings(peers.zone, WordPath::PassedOn, &pending.passed_on));
    }
    Said { near, far }
}

fn holdings(zone: u32, path: WordPath, all: &[CacheEntry]) -> impl Iterator<Item = Datagram> {
    let datagrams = all.chunks(HOLDINGS_A_DATAGRAM);
    datagrams.map(move |some| {
        Datagram::CacheEntries(CacheEntries {
            zone,
            path,
            holdings: some.to_vec(),
        })
    })
}

/// Hears the others, until the process ends.
pub(crate) async fn hear(shared: Arc<Shared>, peers: Arc<Peers>, socket: Arc<UdpSocket>) {
    let mut buffer = vec![0; DATAGRAM_MAX_BYTES];
    loop {
        let Ok((length, address)) = socket.recv_from(&mut buffer).await else {
            tokio::time::sleep(TELL_EVERY).await;
            continue;
        };
        if address == peers.own {
            continue;
        }
        match postcard::from_bytes(&buffer[..length]) {
            Ok(Datagram::Heartbeat(beat)) => take_beat(&shared, &peers, address, beat),
            Ok(Datagram::ZoneSummary(beat)) => take_zone_beat(&shared, &peers, address, beat),
            Ok(Datagram::FarSum(sum)) => take_far_sum(&shared, &peers, address, sum),
            Ok(Datagram::CacheEntries(told)) => take_holdings(&shared, &peers, &told),
            // What can't be read is not from a host of this fleet and version.
            Err(_) => shared.metrics.count("peer_garbage_total", "", 1),
        }
    }
}

fn take_beat(shared: &Shared, peers: &Peers, address: SocketAddr, beat: Heartbeat) {
    let news = peers.heard(address, &beat);
    if let Some(news) = news.filter(|_| beat.zone == peers.zone) {
        tell_peer(shared, news);
    }
    let named = beat
        .hosts
        .iter()
        .map(|host| (host.address, Some(host.zone)));
    peers.add(named);
    take_answered(shared, AnsweredHost::Near, beat.answered_ago_ms);
    take_answered(shared, AnsweredHost::Far, beat.far_answered_ago_ms);
    let now_ms = shared.clock.now_ms();
    let mut fleet = shared.fleet();
    if peers.counts_alone(beat.zone, fleet.load.far_hosts())
        && fleet.load.merge(address, beat.report, now_ms) == Merged::Old
    {
        return;
    }
    drop(fleet);
    take_knowledge(shared, peers, address, beat.zone, &beat.knowledge);
}

fn take_zone_beat(shared: &Shared, peers: &Peers, address: SocketAddr, beat: ZoneSummary) {
    let zone = beat.sum.zone;
    if zone == peers.zone {
        return;
    }
    peers.heard_relay(address, zone);
    take_answered(shared, AnsweredHost::Far, beat.answered_ago_ms);
    let now_ms = shared.clock.now_ms();
    let mut fleet = shared.fleet();
    let sum: ZoneSum = beat.sum;
    fleet
        .load
        .merge_zone(address, sum, WordPath::Direct, now_ms);
    drop(fleet);
    take_knowledge(shared, peers, address, zone, &beat.knowledge);
}

/// Another host tells how long ago the platform answered.
fn take_answered(shared: &Shared, whom: AnsweredHost, ago_ms: Option<u32>) {
    let gained = shared.subscription.was_answered(whom, ago_ms);
    shared.store_answered_after(gained);
    if shared
        .subscription
        .is_due_to_relay(gained, &shared.config.follow)
    {
        shared.tell_peers_now.notify_one();
    }
}

fn take_far_sum(shared: &Shared, peers: &Peers, relay: SocketAddr, sum: ZoneSum) {
    if sum.zone == peers.zone {
        return;
    }
    let now_ms = shared.clock.now_ms();
    let mut fleet = shared.fleet();
    fleet
        .load
        .merge_zone(relay, sum, WordPath::PassedOn, now_ms);
}

fn take_holdings(shared: &Shared, peers: &Peers, told: &CacheEntries) {
    let now_ms = shared.clock.now_ms();
    let mut fleet = shared.fleet();
    match told.path {
        WordPath::PassedOn => fleet.prefixes.hear_passed_on(&told.holdings, now_ms),
        WordPath::Direct if told.zone == peers.zone => {
            fleet.prefixes.hear_near(&told.holdings, now_ms);
        }
        WordPath::Direct => fleet.prefixes.hear_far(&told.holdings, now_ms),
    }
}

fn take_knowledge(
    shared: &Shared,
    peers: &Peers,
    address: SocketAddr,
    zone: u32,
    knowledge: &Knowledge,
) {
    let mut fleet = shared.fleet();
    if fleet.endpoints.mark_leaving(&knowledge.leaving) {
        shared
            .metrics
            .count("leaving_heard_from_peers_total", "", 1);
    }
    let knows_newer_list = knowledge.endpoints > fleet.endpoints_version;
    drop(fleet);
    let own_rules = shared
        .rules()
        .map(|rules| rules.version())
        .unwrap_or_default();
    if knows_newer_list || knowledge.rules > own_rules {
        peers.record_newer(address, zone);
    }
}
