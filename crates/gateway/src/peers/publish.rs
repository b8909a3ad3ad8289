//! Sends the other hosts what they need to know of this one and, from a relay,
//! of its zone.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use chalkrock_routing::{AggregatePath, CacheEntry, REPORT_INTERVAL_MS, ZoneAggregate};
use tokio::net::UdpSocket;
use tokio::time::MissedTickBehavior;

use crate::event_log::Event;
use crate::peers::message::{
    CacheEntries, Datagram, Heartbeat, RelaySummary, StateDigest, ZoneSummary,
};
use crate::peers::peer_table::{PeerChange, PeerTable, host_hash};
use crate::peers::rollouts::rollout_datagrams;
use crate::peers::round::{GossipRound, RoundInput};
use crate::shared::Shared;
use crate::subscription::AnsweredHost;

/// How often a host sends a round.
const ROUND_INTERVAL: Duration = Duration::from_millis(REPORT_INTERVAL_MS);
/// How often while many endpoints are evacuated or cold. The others then get more
/// requests than the pool's mean, and more that no report tells of yet. On a quiet
/// day with one zone evacuated and one cold, 108 of 2,648 requests in five seconds
/// went over the operators' bound on load with 200 ms, under 80 with 100 ms, and
/// fewer homes were left: worth 0.750 and 0.754 (routing's test of decisions:
/// 14.4 and 5.8 % go over it where half of the endpoints are closed).
const CROWDED_INTERVAL: Duration = Duration::from_millis(REPORT_INTERVAL_MS / 2);
/// Prefixes that a datagram names: about 1 KB.
const ENTRIES_PER_DATAGRAM: usize = 96;
/// Endpoints whose requests a datagram counts: about 1 KB.
const COUNTS_PER_DATAGRAM: usize = 128;
/// Endpoints that are leaving in one datagram, of 5 bytes each; the others follow in the
/// next rounds. What does not fit into one packet is lost with any part of it: 300 that
/// leave made each heartbeat larger than 1,500 bytes.
const LEAVING_PER_DATAGRAM: usize = 64;
/// Requests that are sent no further in one datagram, of 14 bytes each; those that
/// came again last go first. The others are told once when they are found, and to
/// whoever asks for all.
const POISON_PER_DATAGRAM: usize = 16;
/// What is told in a round of requests under which endpoints ended: 16 bytes each.
const POISON_NEWS_PER_DATAGRAM: usize = 60;
/// Datagrams of prefixes in a round.
const ENTRY_DATAGRAMS: usize = 3;
/// Datagrams of a relay's sum in one interval; a larger sum is sent less often.
const SUM_DATAGRAMS_PER_ROUND: usize = 4;
/// Most intervals between two sums: what a host hears less often would be too
/// old to go by before a lost one is replaced.
const ROUNDS_A_SUM_MAX: u64 = 3;

/// Sends rounds of datagrams until the process ends, one more whenever there is
/// news.
pub(crate) async fn publish(shared: Arc<Shared>, peers: Arc<PeerTable>, socket: Arc<UdpSocket>) {
    let mut ticks = tokio::time::interval(ROUND_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut sequence = 0;
    let mut number = 0;
    let mut rounds_a_sum = 1;
    let mut from_relays = false;
    let mut is_crowded = false;
    loop {
        let is_news = tokio::select! {
            _ = ticks.tick() => false,
            () = shared.publish_now.notified() => true,
            () = tokio::time::sleep(CROWDED_INTERVAL), if is_crowded => true,
        };
        is_crowded = shared.fleet().is_crowded(shared.clock.now_ms());
        sequence += 1;
        number += u64::from(!is_news);
        let input = round_input(&shared, number, is_news, rounds_a_sum);
        if input.uses_fleet_aggregate != from_relays {
            from_relays = input.uses_fleet_aggregate;
            shared.event_log.emit(&Event::LoadSource {
                from_relays,
                hosts: input.hosts_known,
            });
        }
        let round = peers.round(&input);
        apply_round(&shared, &peers, &round);
        let datagrams = datagrams_of(&shared, &peers, sequence, &round);
        rounds_a_sum = rounds_for(datagrams.sums.len());
        send_round(&shared, &socket, &datagrams, &round);
    }
}

fn send_round(
    shared: &Shared,
    socket: &UdpSocket,
    datagrams: &RoundDatagrams,
    round: &GossipRound,
) {
    let to_hosts = [
        (&datagrams.near, &round.due),
        (&datagrams.far, &round.far),
        (&datagrams.to_zone, &round.sum_to),
    ];
    for (datagrams, to) in to_hosts {
        for datagram in datagrams {
            send(shared, socket, datagram, to);
        }
    }
    for datagram in &datagrams.sums {
        send_sum(shared, socket, datagram, &round.sum_to);
    }
    let of_hosts = to_hosts
        .iter()
        .map(|(datagrams, to)| datagrams.len() * to.len());
    let sent = of_hosts.sum::<usize>() + datagrams.sums.len() * round.sum_to.len();
    shared
        .metrics
        .count("peer_datagrams_sent_total", "", sent as u64);
}

fn round_input(shared: &Shared, number: u64, is_news: bool, rounds_a_sum: u64) -> RoundInput {
    let fleet = shared.fleet();
    RoundInput {
        number,
        is_news,
        rounds_a_sum,
        reading: shared.subscription.role(),
        hosts_known: fleet.load.known_host_count(),
        uses_fleet_aggregate: fleet.load.uses_fleet_aggregate(),
    }
}

/// In how many rounds a sum of so many datagrams is sent once.
fn rounds_for(datagrams: usize) -> u64 {
    let rounds = datagrams.div_ceil(SUM_DATAGRAMS_PER_ROUND).max(1) as u64;
    rounds.min(ROUNDS_A_SUM_MAX)
}

fn send(shared: &Shared, socket: &UdpSocket, datagram: &Datagram, to: &[SocketAddr]) {
    let Ok(bytes) = postcard::to_stdvec(datagram) else {
        return;
    };
    shared.largest_datagram(bytes.len());
    for address in to {
        let _lost_datagrams_are_replaced = socket.try_send_to(&bytes, *address);
    }
}

/// Sends a part of the fleet's sum, and behind it to each host the report of
/// its own that the sum includes.
fn send_sum(shared: &Shared, socket: &UdpSocket, datagram: &Datagram, to: &[SocketAddr]) {
    let Ok(mut bytes) = postcard::to_stdvec(datagram) else {
        return;
    };
    let part_length = bytes.len();
    for address in to {
        let includes = shared.fleet().load.included_report(address);
        bytes.truncate(part_length);
        let Ok(included) = postcard::to_stdvec(&includes) else {
            continue;
        };
        bytes.extend_from_slice(&included);
        let _lost_datagrams_are_replaced = socket.try_send_to(&bytes, *address);
    }
}

fn apply_round(shared: &Shared, peers: &PeerTable, round: &GossipRound) {
    let senders = round.cold_senders.clone();
    let own = host_hash(&peers.own);
    shared.fleet().cold.set_hosts(own, senders, peers.is_new());
    round
        .gone
        .iter()
        .for_each(|news| log_member_change(shared, *news));
    shared
        .subscription
        .set_round(round.sharing, round.hosts, round.is_relay);
    shared
        .subscription
        .set_preferred(round.is_preferred_subscriber);
    shared.subscription.set_standby(round.is_standby);
    if round.is_relay_news {
        shared.event_log.emit(&Event::Relays {
            is_relay: round.is_relay,
            sums_up: round.aggregates,
        });
    }
    let has_turn = round.is_subscriber;
    if shared.subscription.set_subscriber(has_turn) {
        shared.event_log.emit(&Event::Reads { has_turn });
    }
}

pub(super) fn log_member_change(shared: &Shared, news: PeerChange) {
    shared.event_log.emit(&Event::Peer {
        address: news.address,
        is_up: news.is_up,
    });
}

/// The datagrams of a round.
#[derive(Default)]
struct RoundDatagrams {
    /// To the hosts that receive this one's heartbeat.
    near: Vec<Datagram>,
    /// To relays of other zones, if this host is one.
    far: Vec<Datagram>,
    /// To hosts of a large zone, if this host is its relay.
    to_zone: Vec<Datagram>,
    /// The same; each recipient finds its own report behind it.
    sums: Vec<Datagram>,
}

/// What to send of this host and, if it is a relay, of its zone.
fn datagrams_of(
    shared: &Shared,
    peers: &PeerTable,
    sequence: u64,
    round: &GossipRound,
) -> RoundDatagrams {
    shared.expire_endpoint_reports();
    let now_ms = shared.clock.now_ms();
    let rules = shared.rules.version();
    let mut fleet = shared.fleet();
    fleet.load.expire(now_ms);
    fleet.expire_lapsed(now_ms);
    fleet.cold.expire(now_ms);
    fleet.prefixes.expire(now_ms);
    fleet.poison.expire(now_ms);
    let knowledge = StateDigest {
        rules,
        endpoints: fleet.endpoints_version,
        leaving: in_turn(fleet.endpoints.leaving(), sequence),
        evacuations: fleet.evacuations.clone(),
        poison: fleet.poison.poison_requests(POISON_PER_DATAGRAM, now_ms),
    };
    let poison_news = fleet.poison.take_updates(POISON_NEWS_PER_DATAGRAM, now_ms);
    let answered_ago_ms = |whom| shared.subscription.answered_ago_ms(whom);
    let reading = shared.subscription.role();
    let heartbeat = Heartbeat {
        zone: peers.zone,
        reading,
        capacity_millicores: peers.capacity_millicores,
        answered_ago_ms: answered_ago_ms(AnsweredHost::Local),
        far_answered_ago_ms: answered_ago_ms(AnsweredHost::RemoteZone).filter(|_| round.is_relay),
        report: fleet.load.report(peers.incarnation, sequence),
        knowledge: knowledge.clone(),
        hosts: round.named.clone(),
    };
    let pending = fleet
        .prefixes
        .take_pending(ENTRIES_PER_DATAGRAM * ENTRY_DATAGRAMS);
    let mut datagrams = RoundDatagrams {
        near: vec![Datagram::Heartbeat(heartbeat)],
        ..RoundDatagrams::default()
    };
    let own_entries = || cache_entries(peers.zone, AggregatePath::Direct, &pending.near);
    let relayed = || cache_entries(peers.zone, AggregatePath::Relayed, &pending.relayed);
    datagrams.near.extend(own_entries());
    if !poison_news.is_empty() {
        let news = Datagram::Poison(poison_news);
        datagrams.near.push(news.clone());
        datagrams.far.push(news.clone());
        datagrams.to_zone.push(news);
    }
    let rollouts = rollout_datagrams(&fleet, peers, now_ms);
    datagrams.near.extend(rollouts.near);
    if round.is_relay {
        datagrams.far.extend(rollouts.far);
    }
    if round.aggregates {
        datagrams.to_zone.extend(rollouts.to_zone);
    }
    if round.is_relay {
        let sum = fleet.load.zone_aggregate(peers.zone, now_ms);
        datagrams.far.extend(parts(sum).map(|sum| {
            Datagram::ZoneSummary(ZoneSummary {
                sum,
                answered_ago_ms: answered_ago_ms(AnsweredHost::SameZone),
                knowledge: knowledge.clone(),
            })
        }));
        datagrams.far.extend(cache_entries(
            peers.zone,
            AggregatePath::Direct,
            &pending.far,
        ));
    }
    if round.aggregates {
        datagrams.to_zone.push(Datagram::RelaySummary(RelaySummary {
            zone: peers.zone,
            reading,
            capacity_millicores: peers.capacity_millicores,
            answered_ago_ms: answered_ago_ms(AnsweredHost::SameZone),
            far_answered_ago_ms: answered_ago_ms(AnsweredHost::RemoteZone),
            knowledge,
            members: round.members.clone(),
        }));
        datagrams.to_zone.extend(own_entries());
        datagrams.to_zone.extend(relayed());
        let sum = fleet.load.fleet_aggregate(peers.zone);
        datagrams.sums.extend(parts(sum).map(Datagram::FleetSum));
    } else if round.is_relay {
        let sums = fleet.load.remote_zone_aggregates(now_ms).into_iter();
        datagrams
            .near
            .extend(sums.flat_map(parts).map(Datagram::FarSum));
        datagrams.near.extend(relayed());
    }
    datagrams
}

/// Of endpoints that are leaving those whose turn it is in a round.
fn in_turn(mut leaving: Vec<u32>, sequence: u64) -> Vec<u32> {
    let turns = leaving.len().div_ceil(LEAVING_PER_DATAGRAM).max(1);
    if turns == 1 {
        return leaving;
    }
    leaving.sort_unstable();
    let turn = (sequence % turns as u64) as usize;
    let of_turn = leaving.into_iter().skip(turn * LEAVING_PER_DATAGRAM);
    of_turn.take(LEAVING_PER_DATAGRAM).collect()
}

/// A sum in parts of a datagram each.
fn parts(sum: ZoneAggregate) -> impl Iterator<Item = ZoneAggregate> {
    sum.split(COUNTS_PER_DATAGRAM).into_iter()
}

fn cache_entries(
    zone: u32,
    path: AggregatePath,
    all: &[CacheEntry],
) -> impl Iterator<Item = Datagram> {
    let datagrams = all.chunks(ENTRIES_PER_DATAGRAM);
    datagrams.map(move |some| {
        Datagram::CacheEntries(CacheEntries {
            zone,
            path,
            holdings: some.to_vec(),
        })
    })
}
