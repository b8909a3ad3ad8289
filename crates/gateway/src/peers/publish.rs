//! Sends this host's state and, from a relay, aggregates to other hosts.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use chalkrock_routing::{CacheEntry, REPORT_INTERVAL_MS, SumPath, ZoneSum};
use tokio::net::UdpSocket;
use tokio::time::MissedTickBehavior;

use crate::event_log::Event;
use crate::peers::membership::{MemberChange, Membership, host_hash};
use crate::peers::message::{
    CacheEntries, Datagram, Heartbeat, Knowledge, RelaySummary, ZoneSummary,
};
use crate::peers::rollouts::rollout_datagrams;
use crate::peers::round::{GossipRound, RoundInput};
use crate::shared::Shared;
use crate::subscription::AnsweredHost;

/// Interval between rounds.
const ROUND_INTERVAL: Duration = Duration::from_millis(REPORT_INTERVAL_MS);
/// Interval while many endpoints are closed: the open ones then receive more requests
/// between two reports.
const CROWDED_INTERVAL: Duration = Duration::from_millis(REPORT_INTERVAL_MS / 2);
/// Cache entries in a datagram of about 1 KB.
const ENTRIES_PER_DATAGRAM: usize = 96;
/// Endpoint load counts in a datagram of about 1 KB.
const COUNTS_PER_DATAGRAM: usize = 128;
/// Keeps a heartbeat within one packet at 5 bytes each; the rest follows in the next
/// rounds.
const LEAVING_PER_DATAGRAM: usize = 64;
/// Poison requests in each heartbeat, 14 bytes each, most recently repeated first. Others
/// are sent once when found, and on request.
const POISON_PER_DATAGRAM: usize = 16;
/// Poison updates in a round, 16 bytes each.
const POISON_NEWS_PER_DATAGRAM: usize = 60;
/// Cache entry datagrams in a round.
const ENTRY_DATAGRAMS: usize = 3;
/// Datagrams of an aggregate in a round; a larger aggregate is sent less often.
const SUM_DATAGRAMS_PER_ROUND: usize = 4;
/// Bounds the age of an aggregate after a lost datagram.
const ROUNDS_A_SUM_MAX: u64 = 3;

/// Sends rounds of datagrams until the process ends, and an extra one for each urgent
/// update.
pub(crate) async fn publish(shared: Arc<Shared>, peers: Arc<Membership>, socket: Arc<UdpSocket>) {
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
        if input.goes_by_totals != from_relays {
            from_relays = input.goes_by_totals;
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
        hosts_known: fleet.load.hosts_known(),
        goes_by_totals: fleet.load.goes_by_totals(),
    }
}

/// Rounds between two sends of an aggregate of so many datagrams.
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

/// Sends a chunk of the fleet aggregate; the ID of the recipient's own report that it
/// includes follows it.
fn send_sum(shared: &Shared, socket: &UdpSocket, datagram: &Datagram, to: &[SocketAddr]) {
    let Ok(mut bytes) = postcard::to_stdvec(datagram) else {
        return;
    };
    let part_length = bytes.len();
    for address in to {
        let includes = shared.fleet().load.counted_report(address);
        bytes.truncate(part_length);
        let Ok(included) = postcard::to_stdvec(&includes) else {
            continue;
        };
        bytes.extend_from_slice(&included);
        let _lost_datagrams_are_replaced = socket.try_send_to(&bytes, *address);
    }
}

fn apply_round(shared: &Shared, peers: &Membership, round: &GossipRound) {
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
    shared.subscription.set_first_choice(round.is_first_choice);
    shared.subscription.set_standby(round.is_standby);
    if round.is_relay_news {
        shared.event_log.emit(&Event::Relays {
            is_relay: round.is_relay,
            sums_up: round.sums_up,
        });
    }
    let has_turn = round.reads_platform;
    if shared.subscription.set_turn(has_turn) {
        shared.event_log.emit(&Event::Reads { has_turn });
    }
}

pub(super) fn log_member_change(shared: &Shared, news: MemberChange) {
    shared.event_log.emit(&Event::Peer {
        address: news.address,
        is_up: news.is_up,
    });
}

/// The datagrams of a round.
#[derive(Default)]
struct RoundDatagrams {
    /// To the recipients of the heartbeat.
    near: Vec<Datagram>,
    /// To relays of other zones, if this host is a relay.
    far: Vec<Datagram>,
    /// To hosts of a large zone, if this host is its relay.
    to_zone: Vec<Datagram>,
    /// The same, followed by the ID of each recipient's own report.
    sums: Vec<Datagram>,
}

/// Builds the datagrams of a round.
fn datagrams_of(
    shared: &Shared,
    peers: &Membership,
    sequence: u64,
    round: &GossipRound,
) -> RoundDatagrams {
    shared.expire_endpoint_words();
    let now_ms = shared.clock.now_ms();
    let rules = shared.rules.version();
    let mut fleet = shared.fleet();
    fleet.load.expire(now_ms);
    fleet.expire_lapsed(now_ms);
    fleet.cold.expire(now_ms);
    fleet.prefixes.expire(now_ms);
    fleet.poison.expire(now_ms);
    let knowledge = Knowledge {
        rules,
        endpoints: fleet.endpoints_version,
        leaving: in_turn(fleet.endpoints.leaving(), sequence),
        evacuations: fleet.evacuations.clone(),
        poison: fleet.poison.poison(POISON_PER_DATAGRAM, now_ms),
    };
    let poison_news = fleet.poison.take_pending(POISON_NEWS_PER_DATAGRAM, now_ms);
    let answered_ago_ms = |whom| shared.subscription.answered_ago_ms(whom);
    let reading = shared.subscription.role();
    let heartbeat = Heartbeat {
        zone: peers.zone,
        reading,
        capacity_millicores: peers.capacity_millicores,
        answered_ago_ms: answered_ago_ms(AnsweredHost::Own),
        far_answered_ago_ms: answered_ago_ms(AnsweredHost::Far).filter(|_| round.is_relay),
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
    let own_entries = || cache_entries(peers.zone, SumPath::Direct, &pending.near);
    let relayed = || cache_entries(peers.zone, SumPath::Relayed, &pending.relayed);
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
    if round.sums_up {
        datagrams.to_zone.extend(rollouts.to_zone);
    }
    if round.is_relay {
        let sum = fleet.load.zone_sum(peers.zone, now_ms);
        datagrams.far.extend(parts(sum).map(|sum| {
            Datagram::ZoneSummary(ZoneSummary {
                sum,
                answered_ago_ms: answered_ago_ms(AnsweredHost::Near),
                knowledge: knowledge.clone(),
            })
        }));
        datagrams
            .far
            .extend(cache_entries(peers.zone, SumPath::Direct, &pending.far));
    }
    if round.sums_up {
        datagrams.to_zone.push(Datagram::RelaySummary(RelaySummary {
            zone: peers.zone,
            reading,
            capacity_millicores: peers.capacity_millicores,
            answered_ago_ms: answered_ago_ms(AnsweredHost::Near),
            far_answered_ago_ms: answered_ago_ms(AnsweredHost::Far),
            knowledge,
            members: round.members.clone(),
        }));
        datagrams.to_zone.extend(own_entries());
        datagrams.to_zone.extend(relayed());
        let sum = fleet.load.fleet_sum(peers.zone);
        datagrams.sums.extend(parts(sum).map(Datagram::FleetSum));
    } else if round.is_relay {
        let sums = fleet.load.far_sums(now_ms).into_iter();
        datagrams
            .near
            .extend(sums.flat_map(parts).map(Datagram::FarSum));
        datagrams.near.extend(relayed());
    }
    datagrams
}

/// The endpoints that are leaving to include in a round, in rotation.
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

/// Splits an aggregate into chunks of one datagram each.
fn parts(sum: ZoneSum) -> impl Iterator<Item = ZoneSum> {
    sum.split(COUNTS_PER_DATAGRAM).into_iter()
}

fn cache_entries(zone: u32, path: SumPath, all: &[CacheEntry]) -> impl Iterator<Item = Datagram> {
    let datagrams = all.chunks(ENTRIES_PER_DATAGRAM);
    datagrams.map(move |some| {
        Datagram::CacheEntries(CacheEntries {
            zone,
            path,
            holdings: some.to_vec(),
        })
    })
}
