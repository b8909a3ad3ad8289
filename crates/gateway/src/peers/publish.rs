//! Sends this host's state and, from a relay, aggregates to other hosts.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use chalkrock_routing::{AggregatePath, CacheEntry, REPORT_INTERVAL_MS, ReportId, ZoneAggregate};
use tokio::net::UdpSocket;
use tokio::time::MissedTickBehavior;

use crate::event_log::Event;
use crate::fair_share::{UsageSender, usage_datagrams};
use crate::metrics::Direction;
use crate::peers::membership::{PeerChange, PeerTable, host_hash};
use crate::peers::message::{
    Appended, CacheEntries, Datagram, Heartbeat, RelaySummary, StateDigest, ViewAges, ZoneSummary,
};
use crate::peers::rollouts::rollout_datagrams;
use crate::peers::round::{GossipRound, RoundInput};
use crate::shared::Shared;
use crate::store_answers::AnsweredHost;

const ROUND_INTERVAL: Duration = Duration::from_millis(REPORT_INTERVAL_MS);
/// Interval while many endpoints are closed: the open ones then receive more requests
/// between two reports. With one zone evacuated and one cold, 108 of 2,648 requests in five
/// seconds exceed the load limit at 200 ms, and under 80 at 100 ms.
const FAST_ROUND_INTERVAL: Duration = Duration::from_millis(REPORT_INTERVAL_MS / 2);
/// Cache entries in a datagram of about 1 KB.
const ENTRIES_PER_DATAGRAM: usize = 96;
/// Endpoint load counts in a datagram of about 1 KB.
const COUNTS_PER_DATAGRAM: usize = 128;
/// Keeps a heartbeat within one packet, at 5 bytes each; the rest follows in later rounds. A
/// heartbeat that names 300 exceeds 1,500 bytes and is lost with any fragment.
const LEAVING_PER_DATAGRAM: usize = 64;
/// Poison requests in each heartbeat, 14 bytes each, most recently repeated first. Others
/// are sent once when found, and on request.
const POISON_PER_DATAGRAM: usize = 16;
/// Rejection limits in a datagram of about 1 KB.
const LIMITS_PER_DATAGRAM: usize = 96;
const POISON_UPDATES_PER_ROUND: usize = 60;
/// Size of the updates about parts of prompts in one datagram, and datagrams of them in a round.
const PART_UPDATE_BYTES: usize = 1_100;
const PART_DATAGRAMS_PER_ROUND: usize = 3;
const ENTRY_DATAGRAMS_PER_ROUND: usize = 3;
/// Datagrams of an aggregate in a round; a larger aggregate is sent less often.
const AGGREGATE_DATAGRAMS_PER_ROUND: usize = 4;
/// Bounds the age of an aggregate after a lost datagram.
const MAX_ROUNDS_PER_AGGREGATE: u64 = 3;

/// Why a round is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RoundCause {
    Regular,
    /// An update must reach all recipients at once. Loads follow in the next regular round:
    /// with four list changes a second, they were a third of a relay's traffic.
    Update,
    /// Few endpoints are open, so that loads are needed more often.
    Crowded,
}

/// Sends rounds of datagrams until the process ends, and an extra one for each urgent
/// update.
pub(crate) async fn publish(shared: Arc<Shared>, peers: Arc<PeerTable>, socket: Arc<UdpSocket>) {
    let mut ticks = tokio::time::interval(ROUND_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut sequence = 0;
    let mut number = 0;
    let mut rounds_per_aggregate = 1;
    let mut from_relays = false;
    let mut has_many_closed = false;
    loop {
        let cause = tokio::select! {
            _ = ticks.tick() => RoundCause::Regular,
            () = shared.publish_now.notified() => RoundCause::Update,
            () = tokio::time::sleep(FAST_ROUND_INTERVAL), if has_many_closed => RoundCause::Crowded,
        };
        let is_urgent = cause != RoundCause::Regular;
        has_many_closed = shared.fleet().has_many_closed(shared.clock.now_ms());
        sequence += 1;
        number += u64::from(!is_urgent);
        let input = round_input(&shared, number, is_urgent, rounds_per_aggregate);
        if input.uses_fleet_aggregate != from_relays {
            from_relays = input.uses_fleet_aggregate;
            shared.event_log.emit(&Event::LoadSource {
                from_relays,
                hosts: input.known_host_count,
            });
        }
        let round = peers.round(&input);
        apply_round(&shared, &peers, &round);
        let mut datagrams = build_datagrams(&shared, &peers, sequence, &round);
        rounds_per_aggregate = rounds_for(datagrams.aggregate_chunks.len());
        if cause == RoundCause::Update {
            datagrams.aggregate_chunks.clear();
        }
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
        (&datagrams.to_peers, &round.heartbeat_recipients),
        (&datagrams.to_relays, &round.remote_relays),
        (&datagrams.to_zone, &round.aggregate_recipients),
    ];
    for (datagrams, to) in to_hosts {
        for datagram in datagrams {
            send(shared, socket, datagram, to);
        }
    }
    for datagram in &datagrams.aggregate_chunks {
        send_aggregate(shared, socket, datagram, &round.aggregate_recipients);
    }
    let sent_by_kind = to_hosts
        .iter()
        .map(|(datagrams, to)| datagrams.len() * to.len());
    let sent = sent_by_kind.sum::<usize>()
        + datagrams.aggregate_chunks.len() * round.aggregate_recipients.len();
    shared
        .metrics
        .count("peer_datagrams_sent_total", "", sent as u64);
}

fn round_input(
    shared: &Shared,
    number: u64,
    is_urgent: bool,
    rounds_per_aggregate: u64,
) -> RoundInput {
    let fleet = shared.fleet();
    RoundInput {
        number,
        is_urgent,
        rounds_per_aggregate,
        role: shared.subscription.role(),
        known_host_count: fleet.load.known_host_count(),
        uses_fleet_aggregate: fleet.load.uses_fleet_aggregate(),
    }
}

/// Rounds between two sends of an aggregate of so many datagrams.
fn rounds_for(datagrams: usize) -> u64 {
    let rounds = datagrams.div_ceil(AGGREGATE_DATAGRAMS_PER_ROUND).max(1) as u64;
    rounds.min(MAX_ROUNDS_PER_AGGREGATE)
}

pub(super) fn send(shared: &Shared, socket: &UdpSocket, datagram: &Datagram, to: &[SocketAddr]) {
    let Ok(bytes) = postcard::to_stdvec(datagram) else {
        return;
    };
    shared.record_datagram_size(bytes.len());
    for address in to {
        let _lost_datagrams_are_replaced = socket.try_send_to(&bytes, *address);
    }
    let sent_bytes = (bytes.len() * to.len()) as u64;
    shared.count_control_bytes(datagram.kind(), Direction::Sent, sent_bytes);
}

/// Sends a chunk of the fleet aggregate, followed by the ID of the recipient's own report
/// that it includes.
fn send_aggregate(shared: &Shared, socket: &UdpSocket, datagram: &Datagram, to: &[SocketAddr]) {
    let Ok(mut bytes) = postcard::to_stdvec(datagram) else {
        return;
    };
    let chunk_bytes = bytes.len();
    let mut sent_bytes = 0;
    for address in to {
        let included_report = shared.fleet().load.included_report(address);
        bytes.truncate(chunk_bytes);
        let Ok(encoded_report) = postcard::to_stdvec(&included_report) else {
            continue;
        };
        bytes.extend_from_slice(&encoded_report);
        sent_bytes += bytes.len() as u64;
        let _lost_datagrams_are_replaced = socket.try_send_to(&bytes, *address);
    }
    shared.count_control_bytes(datagram.kind(), Direction::Sent, sent_bytes);
}

fn apply_round(shared: &Shared, peers: &PeerTable, round: &GossipRound) {
    let senders = round.cold_senders.clone();
    let local = host_hash(&peers.local);
    if !shared.fleet().rejection_limits.is_empty() {
        let others = peers.other_hosts();
        shared.fleet().update_own_slots(local, &others);
    }
    shared
        .fleet()
        .cold
        .set_hosts(local, senders, peers.is_warming_up());
    round
        .lost_peers
        .iter()
        .for_each(|change| log_peer_change(shared, *change));
    let (heard, known) = peers.host_counts();
    let now_ms = shared.clock.now_ms();
    shared.fleet().record_hosts(heard, known, now_ms);
    shared
        .subscription
        .set_round(round.subscriber_count, round.host_count, round.is_relay);
    shared.subscription.set_preferred(round.is_preferred);
    shared.subscription.set_standby(round.is_standby);
    if round.has_relay_change {
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

pub(super) fn log_peer_change(shared: &Shared, change: PeerChange) {
    shared.event_log.emit(&Event::Peer {
        address: change.address,
        is_up: change.is_up,
    });
}

#[derive(Default)]
struct RoundDatagrams {
    to_peers: Vec<Datagram>,
    to_relays: Vec<Datagram>,
    to_zone: Vec<Datagram>,
    /// To hosts of the zone, each followed by the ID of the recipient's included report.
    aggregate_chunks: Vec<Datagram>,
}

impl RoundDatagrams {
    fn push_to_all(&mut self, datagram: &Datagram) {
        for datagrams in [&mut self.to_peers, &mut self.to_relays, &mut self.to_zone] {
            datagrams.push(datagram.clone());
        }
    }
}

fn build_datagrams(
    shared: &Shared,
    peers: &PeerTable,
    sequence: u64,
    round: &GossipRound,
) -> RoundDatagrams {
    shared.expire_endpoint_reports();
    shared.expire_over_shares();
    shared.log_slowness_changes();
    shared.review_poison_parts();
    let now_ms = shared.clock.now_ms();
    let rules = shared.rules.version();
    let mut fleet = shared.fleet();
    fleet.load.expire(now_ms);
    fleet.expire_lapsed(now_ms);
    fleet.cold.expire(now_ms);
    fleet.rejection_limits.expire(now_ms);
    fleet.prefixes.expire(now_ms);
    fleet.poison.expire(now_ms);
    let knowledge = StateDigest {
        rules,
        endpoints: fleet.endpoints_version,
        leaving: select_leaving(fleet.endpoints.leaving(), sequence),
        evacuations: fleet.evacuations.clone(),
        poison: fleet.poison.poison_requests(POISON_PER_DATAGRAM, now_ms),
    };
    let poison_updates = fleet.poison.take_updates(POISON_UPDATES_PER_ROUND, now_ms);
    let answered_ago_ms = |host| shared.subscription.answered_ago_ms(host);
    let list_age_ms = fleet.build_history.list_age_ms(now_ms);
    let list_ago_ms = list_age_ms.and_then(|age_ms| u32::try_from(age_ms).ok());
    let view = |host| {
        let answers = shared.subscription.answer_ages(host);
        Appended(ViewAges {
            answers,
            list_ago_ms,
        })
    };
    let far_answers = shared.subscription.answer_ages(AnsweredHost::RemoteZone);
    let far_answers = Appended(far_answers);
    let reading = shared.subscription.role();
    let heartbeat = Heartbeat {
        zone: peers.zone,
        reading,
        capacity_millicores: peers.capacity_millicores,
        answered_ago_ms: answered_ago_ms(AnsweredHost::Local),
        far_answered_ago_ms: answered_ago_ms(AnsweredHost::RemoteZone).filter(|_| round.is_relay),
        report: fleet.load.report(peers.incarnation, sequence),
        knowledge: knowledge.clone(),
        hosts: round.contacts.clone(),
        view: view(AnsweredHost::Local),
        far_answers: if round.is_relay {
            far_answers
        } else {
            Appended::default()
        },
    };
    let pending = fleet
        .prefixes
        .take_pending(ENTRIES_PER_DATAGRAM * ENTRY_DATAGRAMS_PER_ROUND);
    let mut datagrams = RoundDatagrams {
        to_peers: vec![Datagram::Heartbeat(heartbeat)],
        ..RoundDatagrams::default()
    };
    let local_entries = || cache_entries(peers.zone, AggregatePath::Direct, &pending.local);
    let relayed = || cache_entries(peers.zone, AggregatePath::Relayed, &pending.same_zone);
    datagrams.to_peers.extend(local_entries());
    let part_updates =
        fleet
            .poison
            .take_part_updates(PART_DATAGRAMS_PER_ROUND, PART_UPDATE_BYTES, now_ms);
    for updates in part_updates {
        datagrams.push_to_all(&Datagram::PartEvidence(updates));
    }
    // After the parts, which the verdict on a request may wait for.
    if !poison_updates.is_empty() {
        datagrams.push_to_all(&Datagram::Poison(poison_updates));
    }
    let limits = fleet.rejection_limits.reports(LIMITS_PER_DATAGRAM, now_ms);
    if !limits.is_empty() {
        datagrams.push_to_all(&Datagram::RejectionLimits(limits));
    }
    let sender = UsageSender {
        zone: peers.zone,
        id: ReportId {
            incarnation: peers.incarnation,
            sequence,
        },
        is_relay: round.is_relay,
        aggregates: round.aggregates,
    };
    let usage = usage_datagrams(&mut fleet.usage, &sender, now_ms);
    let to_datagrams = |reports: Vec<_>| reports.into_iter().map(Datagram::PoolUsage);
    datagrams.to_peers.extend(to_datagrams(usage.to_peers));
    datagrams.to_relays.extend(to_datagrams(usage.to_relays));
    datagrams.to_zone.extend(to_datagrams(usage.to_zone));
    let work = fleet.work.take_report(peers.incarnation, sequence, now_ms);
    datagrams.to_peers.extend(work.map(Datagram::Work));
    let mut rollouts = rollout_datagrams(&fleet, peers, now_ms);
    if !round.repeats_rollouts {
        let is_tally = |datagram: &Datagram| matches!(datagram, Datagram::RolloutTally(_));
        rollouts.to_peers.retain(is_tally);
        rollouts.to_zone.retain(is_tally);
    }
    datagrams.to_peers.extend(rollouts.to_peers);
    if round.is_relay {
        datagrams.to_relays.extend(rollouts.to_relays);
    }
    if round.aggregates {
        datagrams.to_zone.extend(rollouts.to_zone);
    }
    if round.is_relay {
        let sum = fleet.load.zone_aggregate(peers.zone, now_ms);
        datagrams.to_relays.extend(split_aggregate(sum).map(|sum| {
            Datagram::ZoneSummary(ZoneSummary {
                sum,
                answered_ago_ms: answered_ago_ms(AnsweredHost::SameZone),
                knowledge: knowledge.clone(),
                view: view(AnsweredHost::SameZone),
            })
        }));
        datagrams.to_relays.extend(cache_entries(
            peers.zone,
            AggregatePath::Direct,
            &pending.remote_zones,
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
            members: round.zone_members.clone(),
            view: view(AnsweredHost::SameZone),
            far_answers,
        }));
        datagrams.to_zone.extend(local_entries());
        datagrams.to_zone.extend(relayed());
        let sum = fleet.load.fleet_aggregate(peers.zone);
        datagrams
            .aggregate_chunks
            .extend(split_aggregate(sum).map(Datagram::FleetSum));
    } else if round.is_relay {
        let sums = fleet.load.remote_zone_aggregates(now_ms).into_iter();
        datagrams
            .to_peers
            .extend(sums.flat_map(split_aggregate).map(Datagram::FarSum));
        datagrams.to_peers.extend(relayed());
    }
    datagrams
}

/// The endpoints that are leaving to include in a round, in rotation.
fn select_leaving(mut leaving: Vec<u32>, sequence: u64) -> Vec<u32> {
    let chunk_count = leaving.len().div_ceil(LEAVING_PER_DATAGRAM).max(1);
    if chunk_count == 1 {
        return leaving;
    }
    leaving.sort_unstable();
    let chunk = (sequence % chunk_count as u64) as usize;
    let selected = leaving.into_iter().skip(chunk * LEAVING_PER_DATAGRAM);
    selected.take(LEAVING_PER_DATAGRAM).collect()
}

/// Splits an aggregate into chunks of one datagram each.
fn split_aggregate(sum: ZoneAggregate) -> impl Iterator<Item = ZoneAggregate> {
    sum.split(COUNTS_PER_DATAGRAM).into_iter()
}

fn cache_entries(
    zone: u32,
    path: AggregatePath,
    entries: &[CacheEntry],
) -> impl Iterator<Item = Datagram> {
    let datagrams = entries.chunks(ENTRIES_PER_DATAGRAM);
    datagrams.map(move |chunk| {
        Datagram::CacheEntries(CacheEntries {
            zone,
            path,
            holdings: chunk.to_vec(),
        })
    })
}
