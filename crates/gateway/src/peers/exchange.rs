//! Tells the other hosts and hears them.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use chalkrock_routing::{HostReport, Merged, SumPath, ZoneSum};
use tokio::net::UdpSocket;
use tokio::time::MissedTickBehavior;

use crate::journal::Event;
use crate::peers::known::{PeerNews, Peers, Round};
use crate::peers::message::{Beat, Datagram, Knowledge, ZoneBeat};
use crate::shared::Shared;

/// How often a host tells the others.
const TELL_EVERY: Duration = Duration::from_millis(200);
/// Prefixes that a datagram names: a relay's stays under 4 KB with them.
const HOLDINGS_MAX: usize = 256;
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
        let far_hosts = far_hosts(&shared);
        let round = peers.round(shared.reading.told(), far_hosts);
        take_round(&shared, &round);
        let (beat, zone_beat) = datagrams(&shared, &peers, sequence, &round);
        send(&socket, &Datagram::Beat(beat), &round.due);
        if let Some(zone_beat) = zone_beat {
            send(&socket, &Datagram::ZoneBeat(zone_beat), &round.far);
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

fn far_hosts(shared: &Shared) -> usize {
    let now_ms = shared.clock.now_ms();
    shared.fleet().load.far_hosts(now_ms)
}

fn take_round(shared: &Shared, round: &Round) {
    round.gone.iter().for_each(|news| tell_peer(shared, *news));
    let has_turn = round.reads_platform;
    if shared.reading.set_turn(has_turn) {
        shared.journal.tell(&Event::Reads { has_turn });
    }
}

fn tell_peer(shared: &Shared, news: PeerNews) {
    shared.journal.tell(&Event::Peer {
        address: news.address,
        is_up: news.is_up,
    });
}

/// What to tell of this host and, if it is a relay, of its zone.
fn datagrams(
    shared: &Shared,
    peers: &Peers,
    sequence: u64,
    round: &Round,
) -> (Beat, Option<ZoneBeat>) {
    let now_ms = shared.clock.now_ms();
    let rules = shared
        .rules()
        .map(|rules| rules.version())
        .unwrap_or_default();
    let mut fleet = shared.fleet();
    fleet.load.expire(now_ms);
    fleet.expire(now_ms);
    let untold = fleet.take_untold(HOLDINGS_MAX);
    let leaving = fleet.endpoints.leaving();
    let endpoints = fleet.endpoints_version;
    let knowledge = |holdings| Knowledge {
        rules,
        endpoints,
        leaving: leaving.clone(),
        holdings,
    };
    let beat = Beat {
        zone: peers.zone,
        reading: shared.reading.told(),
        report: HostReport {
            incarnation: peers.incarnation,
            sequence,
            counts: fleet.load.own_counts(),
        },
        knowledge: knowledge(untold.near),
        hosts: round.named.clone(),
        far: if round.is_relay {
            fleet.load.far_sums(now_ms)
        } else {
            Vec::new()
        },
    };
    let zone_beat = round.is_relay.then(|| ZoneBeat {
        sum: fleet.load.zone_sum(peers.zone, now_ms),
        knowledge: knowledge(untold.far),
    });
    (beat, zone_beat)
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
            Ok(Datagram::Beat(beat)) => take_beat(&shared, &peers, address, beat),
            Ok(Datagram::ZoneBeat(beat)) => take_zone_beat(&shared, &peers, address, beat),
            // What can't be read is not from a host of this fleet and version.
            Err(_) => shared.metrics.count("peer_garbage_total", "", 1),
        }
    }
}

fn take_beat(shared: &Shared, peers: &Peers, address: SocketAddr, beat: Beat) {
    let news = peers.heard(address, &beat);
    if let Some(news) = news.filter(|_| beat.zone == peers.zone) {
        tell_peer(shared, news);
    }
    let named = beat
        .hosts
        .iter()
        .map(|host| (host.address, Some(host.zone)));
    peers.add(named);
    let now_ms = shared.clock.now_ms();
    let far_hosts = far_hosts(shared);
    if peers.counts_alone(beat.zone, far_hosts) {
        let mut fleet = shared.fleet();
        if fleet.load.merge(address, beat.report, now_ms) == Merged::Old {
            return;
        }
        for sum in beat.far {
            fleet
                .load
                .merge_zone(address, sum, SumPath::PassedOn, now_ms);
        }
        fleet.hear_near_prefixes(&beat.knowledge.holdings, now_ms);
    }
    take_knowledge(shared, peers, address, beat.zone, &beat.knowledge);
}

fn take_zone_beat(shared: &Shared, peers: &Peers, address: SocketAddr, beat: ZoneBeat) {
    let zone = beat.sum.zone;
    if zone == peers.zone {
        return;
    }
    peers.heard_relay(address, zone);
    let now_ms = shared.clock.now_ms();
    let mut fleet = shared.fleet();
    let sum: ZoneSum = beat.sum;
    fleet.load.merge_zone(address, sum, SumPath::Direct, now_ms);
    fleet.hear_far_prefixes(&beat.knowledge.holdings, now_ms);
    drop(fleet);
    take_knowledge(shared, peers, address, zone, &beat.knowledge);
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
        peers.set_ahead(address, zone);
    }
}
