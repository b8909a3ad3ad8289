//! What hosts tell each other of rollouts.

use std::net::SocketAddr;
use std::sync::Arc;

use chalkrock_core::PoolId;
use chalkrock_routing::{EvidenceSource, RolloutOrders, RolloutRecord, StoreVersion, TallyRow};
use serde::{Deserialize, Serialize};

use crate::fleet::Fleet;
use crate::peers::message::Datagram;
use crate::peers::peer_table::PeerTable;
use crate::rollouts::KnownRecord;
use crate::shared::Shared;

/// Rows of counts in a datagram: about 1 KB.
const ROWS_PER_DATAGRAM: usize = 24;

/// Orders to move pools to other builds, and how far that has come.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct RolloutUpdate {
    pub(crate) orders: RolloutOrders,
    pub(crate) pools: Vec<PoolRollout>,
}

/// The rollout of one pool.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct PoolRollout {
    pub(crate) pool: PoolId,
    /// The order, and how old it is.
    pub(crate) order: StoreVersion,
    pub(crate) age_ms: u64,
    /// The record in force, and its version at the store.
    pub(crate) record: Option<(RolloutRecord, StoreVersion)>,
}

/// Counts of a rollout's answers, or some rows of them.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct RolloutTally {
    pub(crate) pool: PoolId,
    pub(crate) order: StoreVersion,
    /// The short hash of the zone that the host is of, or that is summed up.
    pub(crate) zone: u32,
    pub(crate) of: TallyScope,
    pub(crate) rows: Vec<TallyRow>,
    /// How long the longest request of each route stayed, in milliseconds.
    pub(crate) longest_stays_ms: Vec<(Arc<str>, u64)>,
}

/// Whose counts these are.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum TallyScope {
    /// The sender's, in one life.
    Host { incarnation: u64 },
    /// All hosts of the sender's zone that it hears.
    Zone,
}

/// What to tell of rollouts in a round.
#[derive(Debug, Default)]
pub(super) struct RolloutDatagrams {
    /// To whoever is sent this host's heartbeat.
    pub(super) near: Vec<Datagram>,
    /// To relays of other zones, if this host is one.
    pub(super) far: Vec<Datagram>,
    /// To the hosts of a large zone, if this host is its relay.
    pub(super) to_zone: Vec<Datagram>,
}

/// What is known of rollouts, to pass on; `None` where none is known.
pub(super) fn news_of(fleet: &Fleet, now_ms: u64) -> Option<RolloutUpdate> {
    let rollouts = &fleet.rollouts;
    if rollouts.is_empty() {
        return None;
    }
    let pools = rollouts.pools().filter_map(|(pool, _)| {
        let (order, _) = rollouts.order(pool)?;
        let record = rollouts.record(pool);
        Some(PoolRollout {
            pool: pool.clone(),
            order,
            age_ms: rollouts.age_ms(pool, now_ms),
            record: record.map(|(record, version)| (record.clone(), version)),
        })
    });
    Some(RolloutUpdate {
        orders: rollouts.orders().clone(),
        pools: pools.collect(),
    })
}

/// The datagrams of a round.
pub(super) fn rollout_datagrams(fleet: &Fleet, peers: &PeerTable, now_ms: u64) -> RolloutDatagrams {
    let Some(news) = news_of(fleet, now_ms) else {
        return RolloutDatagrams::default();
    };
    let news = Datagram::Rollouts(news);
    let mut datagrams = RolloutDatagrams {
        near: vec![news.clone()],
        far: vec![news.clone()],
        to_zone: vec![news],
    };
    for (pool, _) in fleet.rollouts.pools() {
        let is_over = fleet
            .rollouts
            .stage(pool)
            .is_none_or(|stage| stage.is_final());
        let (Some((order, _)), Some(evidence)) =
            (fleet.rollouts.order(pool), fleet.rollouts.evidence(pool))
        else {
            continue;
        };
        if is_over {
            continue;
        }
        let stays_ms = fleet.max_service_times_ms(pool, now_ms);
        let stays_ms: Vec<(Arc<str>, u64)> = stays_ms.into_iter().collect();
        let datagram = |of: TallyScope, rows: &[TallyRow]| {
            Datagram::RolloutTally(RolloutTally {
                pool: pool.clone(),
                order,
                zone: peers.zone,
                of,
                rows: rows.to_vec(),
                longest_stays_ms: stays_ms.clone(),
            })
        };
        let incarnation = peers.incarnation;
        let own = Vec::from(evidence.local_tally().clone());
        let own = own.chunks(ROWS_PER_DATAGRAM);
        let own = own.map(|rows| datagram(TallyScope::Host { incarnation }, rows));
        datagrams.near.extend(own);
        if peers.is_relay() {
            let zone = Vec::from(evidence.zone_tally());
            let zone = zone.chunks(ROWS_PER_DATAGRAM);
            let zone = zone.map(|rows| datagram(TallyScope::Zone, rows));
            datagrams.far.extend(zone);
        }
    }
    datagrams
}

/// Another host told of rollouts. A relay passes on what is news.
pub(super) fn merge_news(shared: &Shared, news: RolloutUpdate, passes_on: bool) {
    const FROM: &str = "peer";
    let mut is_news = shared.merge_rollout_orders(&news.orders, FROM);
    let now_ms = shared.clock.now_ms();
    for told in news.pools {
        let mut fleet = shared.fleet();
        let rollouts = &mut fleet.rollouts;
        rollouts.merge_age(&told.pool, told.order, told.age_ms, now_ms);
        drop(fleet);
        if let Some((record, version)) = told.record {
            let known = KnownRecord {
                pool: told.pool,
                record,
                version,
            };
            is_news |= shared.merge_rollout_record(known, None, FROM);
        }
    }
    if is_news && passes_on {
        shared.publish_now.notify_one();
    }
}

/// Another host, or a relay of another zone, told what it counted.
pub(super) fn merge_tally(
    shared: &Shared,
    peers: &PeerTable,
    address: SocketAddr,
    told: RolloutTally,
) {
    let mut fleet = shared.fleet();
    let is_alone = peers.counts_alone(told.zone, fleet.load.remote_host_count());
    let source = match told.of {
        TallyScope::Host { incarnation } if is_alone => EvidenceSource::Host {
            host: address,
            incarnation,
        },
        TallyScope::Zone if told.zone != peers.zone => EvidenceSource::Zone {
            zone: told.zone,
            relay: address,
        },
        TallyScope::Host { .. } | TallyScope::Zone => return,
    };
    if let Some(evidence) = fleet.rollouts.evidence_mut(&told.pool, told.order) {
        evidence.merge(source, told.rows.into());
        for (route, stay_ms) in &told.longest_stays_ms {
            evidence.record_service_time(route, *stay_ms);
        }
    }
}
