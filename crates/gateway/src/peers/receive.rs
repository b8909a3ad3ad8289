//! Receives datagrams from other hosts and merges them into this host's view.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use chalkrock_routing::{AggregatePath, MergeOutcome, PartUpdate, ReportId, ZoneAggregate};
use tokio::net::UdpSocket;
use tokio::sync::mpsc;

use crate::fair_share::{PoolUsage, merge_usage};
use crate::metrics::{ControlKind, Direction};
use crate::outage_log::OutageLog;
use crate::peers::list_check::compare_list;
use crate::peers::membership::PeerTable;
use crate::peers::message::{
    CacheEntries, Datagram, Heartbeat, RelaySummary, StateDigest, ViewAges, ZoneSummary,
};
use crate::peers::publish::log_peer_change;
use crate::peers::reachability::{merge_reply, reply_to_ask};
use crate::peers::rollouts::{merge_plans, merge_rollout_update, merge_tally};
use crate::pool_queue::Inbound;
use crate::shared::Shared;
use crate::source::Topic;
use crate::store_answers::{AnswerAges, AnswerScope, AnsweredHost};
use crate::stream_records::reply_by_store;

const MAX_DATAGRAM_BYTES: usize = 60 * 1024;
const RECEIVE_RETRY_DELAY: Duration = Duration::from_millis(200);

pub(crate) async fn receive(
    shared: Arc<Shared>,
    peers: Arc<PeerTable>,
    socket: Arc<UdpSocket>,
    slot_messages: mpsc::Sender<Inbound>,
) {
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    let mut outage = OutageLog::new("datagrams-socket");
    loop {
        let (length, address) = match socket.recv_from(&mut buffer).await {
            Ok(received) => received,
            Err(error) => {
                outage.failed(&shared, &error);
                tokio::time::sleep(RECEIVE_RETRY_DELAY).await;
                continue;
            }
        };
        outage.worked(&shared);
        if address == peers.local {
            continue;
        }
        let Ok((datagram, remaining)) = postcard::take_from_bytes(&buffer[..length]) else {
            // Not from a host of this fleet with a compatible version.
            shared.metrics.count("peer_garbage_total", "", 1);
            shared.count_control_bytes(ControlKind::Unknown, Direction::Received, length as u64);
            continue;
        };
        let datagram: Datagram = datagram;
        shared.count_control_bytes(datagram.kind(), Direction::Received, length as u64);
        match datagram {
            Datagram::Heartbeat(heartbeat) => merge_heartbeat(&shared, &peers, address, heartbeat),
            Datagram::ZoneSummary(summary) => merge_zone_summary(&shared, &peers, address, summary),
            Datagram::FarSum(sum) => merge_remote_zone(&shared, &peers, address, sum),
            Datagram::CacheEntries(entries) => merge_cache_entries(&shared, &peers, &entries),
            Datagram::Poison(update) => shared.merge_poison_updates(&update, peers.is_relay()),
            Datagram::PoisonParts(updates) => {
                let updates: Vec<PartUpdate> = updates.into_iter().map(PartUpdate::from).collect();
                shared.merge_part_updates(&updates, peers.is_relay());
            }
            Datagram::PartEvidence(updates) => {
                shared.merge_part_updates(&updates, peers.is_relay());
            }
            Datagram::RelaySummary(summary) => {
                merge_relay_summary(&shared, &peers, address, &summary)
            }
            Datagram::FleetSum(sum) => {
                merge_fleet_aggregate(&shared, &peers, address, &sum, remaining)
            }
            Datagram::Rollouts(update) => merge_rollout_update(&shared, update, peers.is_relay()),
            Datagram::RolloutPlans(plans) => merge_plans(&shared, plans),
            Datagram::RolloutTally(tally) => merge_tally(&shared, &peers, address, tally),
            Datagram::PoolUsage(usage) => merge_pool_usage(&shared, &peers, address, usage),
            Datagram::SlotAsk(ask) => {
                pass_on(&shared, &slot_messages, Inbound::Ask(address, ask));
            }
            Datagram::SlotReply(reply) => {
                pass_on(&shared, &slot_messages, Inbound::Reply(address, reply));
            }
            Datagram::SlotRedirect(redirect) => {
                pass_on(
                    &shared,
                    &slot_messages,
                    Inbound::Redirect(address, redirect),
                );
            }
            Datagram::Work(report) => {
                let now_ms = shared.clock.now_ms();
                shared.fleet().work.merge(address, &report, now_ms);
            }
            Datagram::ReachAsk(ask) => reply_to_ask(&shared, &peers, &socket, address, &ask),
            Datagram::RejectionLimits(reports) => shared.merge_rejection_limits(&reports),
            Datagram::StreamRecord(record) => shared.keep_stream_record(record),
            Datagram::StreamAsk(ask) => shared.reply_to_stream_ask(address, ask),
            Datagram::StreamReply(reply) => shared.accept_stream_reply(address, reply),
            Datagram::ListDigest(received) => {
                compare_list(&shared, &peers, &socket, address, received);
            }
            Datagram::StreamRecordToStore(record) => shared.write_stream_record(record),
            Datagram::StreamStoreAsk(ask) => reply_by_store(&shared, address, ask),
            Datagram::BuildRecords(records) => shared.keep_build_records(records),
            Datagram::ReachReply(reply) => merge_reply(&shared, &peers, address, &reply),
        }
    }
}

/// Passes a message to the task that exchanges slots, unless too many wait there: a later
/// one replaces it.
fn pass_on(shared: &Shared, slot_messages: &mpsc::Sender<Inbound>, message: Inbound) {
    if slot_messages.try_send(message).is_err() {
        shared.metrics.count("slot_messages_dropped_total", "", 1);
    }
}

/// Merges a summary from a relay of this zone.
fn merge_relay_summary(
    shared: &Shared,
    peers: &PeerTable,
    relay: SocketAddr,
    summary: &RelaySummary,
) {
    if summary.zone != peers.zone {
        return;
    }
    for change in peers.record_relay_summary(relay, summary) {
        log_peer_change(shared, change);
    }
    if !peers.aggregates() {
        // Relays receive these reports directly; taking them from each other would keep
        // outdated ones alive.
        let answers = &summary.view.0.answers;
        merge_answers(
            shared,
            AnsweredHost::SameZone,
            summary.answered_ago_ms,
            answers,
        );
        let far_answers = &summary.far_answers.0;
        merge_answers(
            shared,
            AnsweredHost::RemoteZone,
            summary.far_answered_ago_ms,
            far_answers,
        );
    }
    merge_digest(shared, peers, relay, summary.zone, &summary.knowledge);
    confirm_list(shared, &summary.knowledge, &summary.view.0);
}

/// Merges a fleet aggregate from a relay of this zone; `remaining` encodes the ID of this host's
/// own report that it includes, if any.
fn merge_fleet_aggregate(
    shared: &Shared,
    peers: &PeerTable,
    relay: SocketAddr,
    sum: &ZoneAggregate,
    remaining: &[u8],
) {
    let Ok(included_report) = postcard::from_bytes::<Option<ReportId>>(remaining) else {
        shared.metrics.count("peer_garbage_total", "", 1);
        return;
    };
    if sum.zone != peers.zone {
        return;
    }
    let now_ms = shared.clock.now_ms();
    shared
        .fleet()
        .load
        .merge_fleet_aggregate(relay, sum, included_report, now_ms);
}

fn merge_heartbeat(shared: &Shared, peers: &PeerTable, address: SocketAddr, heartbeat: Heartbeat) {
    let change = peers.record_heartbeat(address, &heartbeat);
    if let Some(change) = change.filter(|_| heartbeat.zone == peers.zone) {
        log_peer_change(shared, change);
    }
    let named = heartbeat
        .hosts
        .iter()
        .map(|host| (host.address, Some(host.zone)));
    peers.add(named);
    let answers = &heartbeat.view.0.answers;
    merge_answers(
        shared,
        AnsweredHost::SameZone,
        heartbeat.answered_ago_ms,
        answers,
    );
    merge_answers(
        shared,
        AnsweredHost::RemoteZone,
        heartbeat.far_answered_ago_ms,
        &heartbeat.far_answers.0,
    );
    let now_ms = shared.clock.now_ms();
    let mut fleet = shared.fleet();
    if peers.counts_alone(heartbeat.zone, fleet.load.remote_host_count())
        && fleet.load.merge(address, heartbeat.report, now_ms) == MergeOutcome::Stale
    {
        return;
    }
    drop(fleet);
    merge_digest(shared, peers, address, heartbeat.zone, &heartbeat.knowledge);
    confirm_list(shared, &heartbeat.knowledge, &heartbeat.view.0);
}

fn merge_zone_summary(
    shared: &Shared,
    peers: &PeerTable,
    address: SocketAddr,
    summary: ZoneSummary,
) {
    let zone = summary.sum.zone;
    if zone == peers.zone {
        return;
    }
    peers.record_zone_relay(address, zone);
    merge_answers(
        shared,
        AnsweredHost::RemoteZone,
        summary.answered_ago_ms,
        &summary.view.0.answers,
    );
    let now_ms = shared.clock.now_ms();
    let mut fleet = shared.fleet();
    let sum: ZoneAggregate = summary.sum;
    fleet
        .load
        .merge_zone_aggregate(address, sum, AggregatePath::Direct, now_ms);
    drop(fleet);
    merge_digest(shared, peers, address, zone, &summary.knowledge);
    confirm_list(shared, &summary.knowledge, &summary.view.0);
}

/// Confirms this host's list if it has all of another host's, as of when that was the store's.
/// Without that age, as from an earlier build, a report proves nothing of the list.
fn confirm_list(shared: &Shared, digest: &StateDigest, view: &ViewAges) {
    let has_all = digest.endpoints <= shared.fleet().endpoints_version;
    if let Some(ago_ms) = view.list_ago_ms.filter(|_| has_all) {
        shared.confirm_list(u64::from(ago_ms));
    }
}

/// Merges a report of the store's last answers, on either topic and on each.
fn merge_answers(shared: &Shared, host: AnsweredHost, ago_ms: Option<u32>, by_topic: &AnswerAges) {
    let mut gap = shared.record_any_store_answer(host, ago_ms);
    for topic in [Topic::Rules, Topic::Endpoints] {
        let scope = AnswerScope::Topic(topic);
        let topic_gap = shared
            .subscription
            .record_peer_answer(scope, host, by_topic.of(topic));
        gap = gap.max(topic_gap);
    }
    if shared
        .subscription
        .should_relay_answer(gap, &shared.config.follow)
    {
        shared.publish_now.notify_one();
    }
}

fn merge_pool_usage(shared: &Shared, peers: &PeerTable, sender: SocketAddr, received: PoolUsage) {
    let now_ms = shared.clock.now_ms();
    let mut fleet = shared.fleet();
    let counts_alone = peers.counts_alone(received.zone, fleet.load.remote_host_count());
    let usage = &mut fleet.usage;
    merge_usage(usage, sender, received, peers.zone, counts_alone, now_ms);
}

fn merge_remote_zone(shared: &Shared, peers: &PeerTable, relay: SocketAddr, sum: ZoneAggregate) {
    if sum.zone == peers.zone {
        return;
    }
    let now_ms = shared.clock.now_ms();
    let mut fleet = shared.fleet();
    fleet
        .load
        .merge_zone_aggregate(relay, sum, AggregatePath::Relayed, now_ms);
}

fn merge_cache_entries(shared: &Shared, peers: &PeerTable, received: &CacheEntries) {
    let now_ms = shared.clock.now_ms();
    let mut fleet = shared.fleet();
    match received.path {
        AggregatePath::Relayed => fleet.prefixes.merge_relayed(&received.holdings, now_ms),
        AggregatePath::Direct if received.zone == peers.zone => {
            fleet
                .prefixes
                .merge_same_zone(&received.holdings, peers.aggregates(), now_ms);
        }
        AggregatePath::Direct => fleet.prefixes.merge_remote_zone(&received.holdings, now_ms),
    }
}

fn merge_digest(
    shared: &Shared,
    peers: &PeerTable,
    address: SocketAddr,
    zone: u32,
    digest: &StateDigest,
) {
    if shared.mark_leaving(&digest.leaving, "peer", None) {
        shared
            .metrics
            .count("leaving_heard_from_peers_total", "", 1);
        if peers.aggregates() {
            shared.publish_now.notify_one();
        }
    }
    if shared.merge_evacuations(&digest.evacuations, "peer") && peers.is_relay() {
        shared.publish_now.notify_one();
    }
    if shared.merge_poison(&digest.poison, "peer") && peers.is_relay() {
        shared.publish_now.notify_one();
    }
    let fleet = shared.fleet();
    let knows_newer_list = digest.endpoints > fleet.endpoints_version;
    drop(fleet);
    let local_rules = shared.rules.version();
    if knows_newer_list || digest.rules > local_rules {
        peers.record_newer_peer(address, zone);
    }
}
