//! Receives what the other hosts send and merges it into what this one knows.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use chalkrock_routing::{AggregatePath, MergeOutcome, ReportId, ZoneAggregate};
use tokio::net::UdpSocket;

use crate::outage_log::OutageLog;
use crate::peers::message::{
    CacheEntries, Datagram, Heartbeat, RelaySummary, StateDigest, ZoneSummary,
};
use crate::peers::peer_table::PeerTable;
use crate::peers::publish::log_member_change;
use crate::peers::rollouts::{merge_news, merge_tally};
use crate::shared::Shared;
use crate::subscription::AnsweredHost;

/// Largest datagram that is read.
const DATAGRAM_MAX_BYTES: usize = 60 * 1024;
/// Pause after the system could not receive.
const RECEIVE_PAUSE: Duration = Duration::from_millis(200);

/// Receives datagrams until the process ends.
pub(crate) async fn receive(shared: Arc<Shared>, peers: Arc<PeerTable>, socket: Arc<UdpSocket>) {
    let mut buffer = vec![0; DATAGRAM_MAX_BYTES];
    let mut outage = OutageLog::new("datagrams-socket");
    loop {
        let (length, address) = match socket.recv_from(&mut buffer).await {
            Ok(received) => received,
            Err(error) => {
                outage.failed(&shared, &error);
                tokio::time::sleep(RECEIVE_PAUSE).await;
                continue;
            }
        };
        outage.worked(&shared);
        if address == peers.own {
            continue;
        }
        let Ok((datagram, rest)) = postcard::take_from_bytes(&buffer[..length]) else {
            // What can't be read is not from a host of this fleet and version.
            shared.metrics.count("peer_garbage_total", "", 1);
            continue;
        };
        match datagram {
            Datagram::Heartbeat(heartbeat) => merge_heartbeat(&shared, &peers, address, heartbeat),
            Datagram::ZoneSummary(summary) => merge_zone_summary(&shared, &peers, address, summary),
            Datagram::FarSum(sum) => merge_far_sum(&shared, &peers, address, sum),
            Datagram::CacheEntries(entries) => merge_cache_entries(&shared, &peers, &entries),
            Datagram::Poison(news) => shared.merge_poison_updates(&news, peers.is_relay()),
            Datagram::RelaySummary(summary) => {
                merge_relay_summary(&shared, &peers, address, &summary)
            }
            Datagram::FleetSum(sum) => merge_fleet_sum(&shared, &peers, address, &sum, rest),
            Datagram::Rollouts(news) => merge_news(&shared, news, peers.is_relay()),
            Datagram::RolloutTally(tally) => merge_tally(&shared, &peers, address, tally),
        }
    }
}

/// A relay of this host's zone told what the zone's hosts need to know.
fn merge_relay_summary(
    shared: &Shared,
    peers: &PeerTable,
    relay: SocketAddr,
    summary: &RelaySummary,
) {
    if summary.zone != peers.zone {
        return;
    }
    for news in peers.record_relay_summary(relay, summary) {
        log_member_change(shared, news);
    }
    if !peers.aggregates() {
        // Relays hear first hand what each other's summaries say, and would
        // keep each other's word alive.
        merge_answered(shared, AnsweredHost::SameZone, summary.answered_ago_ms);
        merge_answered(
            shared,
            AnsweredHost::RemoteZone,
            summary.far_answered_ago_ms,
        );
    }
    merge_knowledge(shared, peers, relay, summary.zone, &summary.knowledge);
}

/// A relay of this host's zone told the fleet's requests; `rest` is the report
/// of this host that the sum includes, if any.
fn merge_fleet_sum(
    shared: &Shared,
    peers: &PeerTable,
    relay: SocketAddr,
    sum: &ZoneAggregate,
    rest: &[u8],
) {
    let Ok(includes) = postcard::from_bytes::<Option<ReportId>>(rest) else {
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
        .merge_fleet_aggregate(relay, sum, includes, now_ms);
}

fn merge_heartbeat(shared: &Shared, peers: &PeerTable, address: SocketAddr, heartbeat: Heartbeat) {
    let news = peers.record_heartbeat(address, &heartbeat);
    if let Some(news) = news.filter(|_| heartbeat.zone == peers.zone) {
        log_member_change(shared, news);
    }
    let named = heartbeat
        .hosts
        .iter()
        .map(|host| (host.address, Some(host.zone)));
    peers.add(named);
    merge_answered(shared, AnsweredHost::SameZone, heartbeat.answered_ago_ms);
    merge_answered(
        shared,
        AnsweredHost::RemoteZone,
        heartbeat.far_answered_ago_ms,
    );
    let now_ms = shared.clock.now_ms();
    let mut fleet = shared.fleet();
    if peers.counts_alone(heartbeat.zone, fleet.load.remote_host_count())
        && fleet.load.merge(address, heartbeat.report, now_ms) == MergeOutcome::Stale
    {
        return;
    }
    drop(fleet);
    merge_knowledge(shared, peers, address, heartbeat.zone, &heartbeat.knowledge);
}

fn merge_zone_summary(
    shared: &Shared,
    peers: &PeerTable,
    address: SocketAddr,
    heartbeat: ZoneSummary,
) {
    let zone = heartbeat.sum.zone;
    if zone == peers.zone {
        return;
    }
    peers.record_zone_relay(address, zone);
    merge_answered(shared, AnsweredHost::RemoteZone, heartbeat.answered_ago_ms);
    let now_ms = shared.clock.now_ms();
    let mut fleet = shared.fleet();
    let sum: ZoneAggregate = heartbeat.sum;
    fleet
        .load
        .merge_zone_aggregate(address, sum, AggregatePath::Direct, now_ms);
    drop(fleet);
    merge_knowledge(shared, peers, address, zone, &heartbeat.knowledge);
}

/// Another host tells how long ago the platform answered.
fn merge_answered(shared: &Shared, whom: AnsweredHost, ago_ms: Option<u32>) {
    let gained = shared.record_any_store_answer(whom, ago_ms);
    if shared
        .subscription
        .is_due_to_relay(gained, &shared.config.follow)
    {
        shared.publish_now.notify_one();
    }
}

fn merge_far_sum(shared: &Shared, peers: &PeerTable, relay: SocketAddr, sum: ZoneAggregate) {
    if sum.zone == peers.zone {
        return;
    }
    let now_ms = shared.clock.now_ms();
    let mut fleet = shared.fleet();
    fleet
        .load
        .merge_zone_aggregate(relay, sum, AggregatePath::Relayed, now_ms);
}

fn merge_cache_entries(shared: &Shared, peers: &PeerTable, told: &CacheEntries) {
    let now_ms = shared.clock.now_ms();
    let mut fleet = shared.fleet();
    match told.path {
        AggregatePath::Relayed => fleet.prefixes.merge_relayed(&told.holdings, now_ms),
        AggregatePath::Direct if told.zone == peers.zone => {
            fleet
                .prefixes
                .merge_same_zone(&told.holdings, peers.aggregates(), now_ms);
        }
        AggregatePath::Direct => fleet.prefixes.merge_remote_zone(&told.holdings, now_ms),
    }
}

fn merge_knowledge(
    shared: &Shared,
    peers: &PeerTable,
    address: SocketAddr,
    zone: u32,
    knowledge: &StateDigest,
) {
    if shared.mark_leaving(&knowledge.leaving, "peer", None) {
        shared
            .metrics
            .count("leaving_heard_from_peers_total", "", 1);
        if peers.aggregates() {
            shared.publish_now.notify_one();
        }
    }
    if shared.merge_evacuations(&knowledge.evacuations, "peer") && peers.is_relay() {
        shared.publish_now.notify_one();
    }
    if shared.merge_poison(&knowledge.poison, "peer") && peers.is_relay() {
        shared.publish_now.notify_one();
    }
    let fleet = shared.fleet();
    let knows_newer_list = knowledge.endpoints > fleet.endpoints_version;
    drop(fleet);
    let own_rules = shared.rules.version();
    if knows_newer_list || knowledge.rules > own_rules {
        peers.record_newer(address, zone);
    }
}
