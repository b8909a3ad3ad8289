//! Receives datagrams from other hosts and merges them into this host's view.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use chalkrock_routing::{Merged, OwnReport, SumPath, ZoneSum};
use tokio::net::UdpSocket;

use crate::outage_log::OutageLog;
use crate::peers::membership::Membership;
use crate::peers::message::{
    CacheEntries, Datagram, Heartbeat, Knowledge, RelaySummary, ZoneSummary,
};
use crate::peers::publish::log_member_change;
use crate::peers::rollouts::{merge_news, merge_tally};
use crate::shared::Shared;
use crate::subscription::AnsweredHost;

/// Largest datagram that is received.
const DATAGRAM_MAX_BYTES: usize = 60 * 1024;
/// Delay after a failed receive.
const RECEIVE_PAUSE: Duration = Duration::from_millis(200);

/// Receives datagrams until the process ends.
pub(crate) async fn receive(shared: Arc<Shared>, peers: Arc<Membership>, socket: Arc<UdpSocket>) {
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
            // Not from a host of this fleet with a compatible version.
            shared.metrics.count("peer_garbage_total", "", 1);
            continue;
        };
        match datagram {
            Datagram::Heartbeat(heartbeat) => merge_heartbeat(&shared, &peers, address, heartbeat),
            Datagram::ZoneSummary(summary) => merge_zone_summary(&shared, &peers, address, summary),
            Datagram::FarSum(sum) => merge_far_sum(&shared, &peers, address, sum),
            Datagram::CacheEntries(entries) => merge_cache_entries(&shared, &peers, &entries),
            Datagram::Poison(news) => shared.merge_poison_news(&news, peers.is_relay()),
            Datagram::RelaySummary(summary) => {
                merge_relay_summary(&shared, &peers, address, &summary)
            }
            Datagram::FleetSum(sum) => merge_fleet_sum(&shared, &peers, address, &sum, rest),
            Datagram::Rollouts(news) => merge_news(&shared, news, peers.is_relay()),
            Datagram::RolloutTally(tally) => merge_tally(&shared, &peers, address, tally),
        }
    }
}

/// Merges a summary from a relay of this zone.
fn merge_relay_summary(
    shared: &Shared,
    peers: &Membership,
    relay: SocketAddr,
    summary: &RelaySummary,
) {
    if summary.zone != peers.zone {
        return;
    }
    for news in peers.record_relay_summary(relay, summary) {
        log_member_change(shared, news);
    }
    if !peers.sums_up() {
        // Relays receive these reports directly; taking them from each other would keep
        // outdated ones alive.
        merge_answered(shared, AnsweredHost::Near, summary.answered_ago_ms);
        merge_answered(shared, AnsweredHost::Far, summary.far_answered_ago_ms);
    }
    merge_knowledge(shared, peers, relay, summary.zone, &summary.knowledge);
}

/// Merges a fleet aggregate from a relay of this zone; `rest` encodes the ID of this host's
/// own report that it includes, if any.
fn merge_fleet_sum(
    shared: &Shared,
    peers: &Membership,
    relay: SocketAddr,
    sum: &ZoneSum,
    rest: &[u8],
) {
    let Ok(includes) = postcard::from_bytes::<Option<OwnReport>>(rest) else {
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
        .merge_totals(relay, sum, includes, now_ms);
}

fn merge_heartbeat(shared: &Shared, peers: &Membership, address: SocketAddr, heartbeat: Heartbeat) {
    let news = peers.record_heartbeat(address, &heartbeat);
    if let Some(news) = news.filter(|_| heartbeat.zone == peers.zone) {
        log_member_change(shared, news);
    }
    let named = heartbeat
        .hosts
        .iter()
        .map(|host| (host.address, Some(host.zone)));
    peers.add(named);
    merge_answered(shared, AnsweredHost::Near, heartbeat.answered_ago_ms);
    merge_answered(shared, AnsweredHost::Far, heartbeat.far_answered_ago_ms);
    let now_ms = shared.clock.now_ms();
    let mut fleet = shared.fleet();
    if peers.counts_alone(heartbeat.zone, fleet.load.far_hosts())
        && fleet.load.merge(address, heartbeat.report, now_ms) == Merged::Old
    {
        return;
    }
    drop(fleet);
    merge_knowledge(shared, peers, address, heartbeat.zone, &heartbeat.knowledge);
}

fn merge_zone_summary(
    shared: &Shared,
    peers: &Membership,
    address: SocketAddr,
    heartbeat: ZoneSummary,
) {
    let zone = heartbeat.sum.zone;
    if zone == peers.zone {
        return;
    }
    peers.record_zone_relay(address, zone);
    merge_answered(shared, AnsweredHost::Far, heartbeat.answered_ago_ms);
    let now_ms = shared.clock.now_ms();
    let mut fleet = shared.fleet();
    let sum: ZoneSum = heartbeat.sum;
    fleet.load.merge_zone(address, sum, SumPath::Direct, now_ms);
    drop(fleet);
    merge_knowledge(shared, peers, address, zone, &heartbeat.knowledge);
}

/// Merges a report of the store's last answer.
fn merge_answered(shared: &Shared, whom: AnsweredHost, ago_ms: Option<u32>) {
    let gained = shared.store_answered_any(whom, ago_ms);
    if shared
        .subscription
        .is_due_to_relay(gained, &shared.config.follow)
    {
        shared.publish_now.notify_one();
    }
}

fn merge_far_sum(shared: &Shared, peers: &Membership, relay: SocketAddr, sum: ZoneSum) {
    if sum.zone == peers.zone {
        return;
    }
    let now_ms = shared.clock.now_ms();
    let mut fleet = shared.fleet();
    fleet.load.merge_zone(relay, sum, SumPath::Relayed, now_ms);
}

fn merge_cache_entries(shared: &Shared, peers: &Membership, told: &CacheEntries) {
    let now_ms = shared.clock.now_ms();
    let mut fleet = shared.fleet();
    match told.path {
        SumPath::Relayed => fleet.prefixes.merge_relayed(&told.holdings, now_ms),
        SumPath::Direct if told.zone == peers.zone => {
            fleet
                .prefixes
                .merge_near(&told.holdings, peers.sums_up(), now_ms);
        }
        SumPath::Direct => fleet.prefixes.merge_far(&told.holdings, now_ms),
    }
}

fn merge_knowledge(
    shared: &Shared,
    peers: &Membership,
    address: SocketAddr,
    zone: u32,
    knowledge: &Knowledge,
) {
    if shared.mark_leaving(&knowledge.leaving, "peer", None) {
        shared
            .metrics
            .count("leaving_heard_from_peers_total", "", 1);
        if peers.sums_up() {
            shared.publish_now.notify_one();
        }
    }
    if shared.take_evacuations(&knowledge.evacuations, "peer") && peers.is_relay() {
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
