//! Exchange of rollout state between hosts.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use chalkrock_core::{BuildVersion, PoolId};
use chalkrock_routing::{
    EvidenceSource, HeardHost, RolloutOrders, RolloutPlan, RolloutReason, RolloutRecord,
    RolloutStage, StoreVersion, TallyRow,
};
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use crate::fleet::Fleet;
use crate::peers::membership::PeerTable;
use crate::peers::message::Datagram;
use crate::rollouts::KnownRecord;
use crate::shared::Shared;

/// Tally rows in a datagram of about 1 KB.
const ROWS_PER_DATAGRAM: usize = 24;

/// Rollout orders and progress.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct RolloutUpdate {
    pub(crate) orders: RolloutOrders,
    pub(crate) pools: Vec<PoolRollout>,
}

/// The rollout of one pool.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct PoolRollout {
    pub(crate) pool: PoolId,
    /// Version and age of the order.
    pub(crate) order: StoreVersion,
    pub(crate) age_ms: u64,
    /// The current record and its version in the store.
    pub(crate) record: Option<(RecordUpdate, StoreVersion)>,
}

/// A record without its plan, as hosts of earlier builds read it: datagrams have no names of
/// fields, so that a further field would shift all that follow. Its plan is in
/// [`Datagram::RolloutPlans`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct RecordUpdate {
    order: StoreVersion,
    build: BuildVersion,
    from: BTreeSet<BuildVersion>,
    stage: RolloutStage,
    reason: RolloutReason,
    age_ms: u64,
    moves_ms: BTreeMap<Arc<str>, u64>,
}

impl From<&RolloutRecord> for RecordUpdate {
    fn from(record: &RolloutRecord) -> Self {
        let record = record.clone();
        Self {
            order: record.order,
            build: record.build,
            from: record.from,
            stage: record.stage,
            reason: record.reason,
            age_ms: record.age_ms,
            moves_ms: record.moves_ms,
        }
    }
}

impl From<RecordUpdate> for RolloutRecord {
    fn from(update: RecordUpdate) -> Self {
        Self {
            order: update.order,
            build: update.build,
            from: update.from,
            stage: update.stage,
            reason: update.reason,
            age_ms: update.age_ms,
            moves_ms: update.moves_ms,
            planned_ms: BTreeMap::new(),
            ordered_at_store_ms: None,
            unproven: BTreeSet::new(),
        }
    }
}

/// The plans of all rollouts with a record.
pub(crate) type RolloutPlans = Vec<(PoolId, RolloutPlan)>;

/// Answers counted for a rollout, or some rows of them.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct RolloutTally {
    pub(crate) pool: PoolId,
    pub(crate) order: StoreVersion,
    /// Short hash of the zone of the host or aggregate.
    pub(crate) zone: u32,
    pub(crate) of: TallyScope,
    pub(crate) rows: Vec<TallyRow>,
    /// Longest service time of each route, in milliseconds.
    pub(crate) longest_stays_ms: Vec<(Arc<str>, u64)>,
}

/// Scope of a tally.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum TallyScope {
    /// The sender, in one incarnation.
    Host { incarnation: u64 },
    /// All hosts of the sender's zone that report to it.
    Zone,
}

/// Rollout datagrams of a round.
#[derive(Debug, Default)]
pub(super) struct RolloutDatagrams {
    /// To the recipients of the heartbeat.
    pub(super) to_peers: Vec<Datagram>,
    /// To relays of other zones, if this host is a relay.
    pub(super) to_relays: Vec<Datagram>,
    /// To the hosts of a large zone, if this host is its relay.
    pub(super) to_zone: Vec<Datagram>,
}

impl PeerTable {
    /// The other hosts that ever reported, except long ago, and when they last did.
    pub(crate) fn heard_hosts(&self) -> Vec<(SocketAddr, HeardHost)> {
        let now = Instant::now();
        let peers = self.peers();
        let heard = peers.iter().filter_map(|(address, peer)| {
            let is_direct = peer.is_reporting(now);
            let ago = if peer.is_up && !is_direct {
                // A relay lists it.
                Duration::ZERO
            } else {
                now.saturating_duration_since(peer.received_at?)
            };
            let heard_ago_ms = ago.as_millis() as u64;
            Some((
                *address,
                HeardHost {
                    heard_ago_ms,
                    is_direct,
                },
            ))
        });
        heard.collect()
    }
}

/// The known rollouts, to send to another host; `None` if there are none.
pub(super) fn rollout_update(fleet: &Fleet, now_ms: u64) -> Option<RolloutUpdate> {
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
            record: record.map(|(record, version)| (record.into(), version)),
        })
    });
    Some(RolloutUpdate {
        orders: rollouts.orders().clone(),
        pools: pools.collect(),
    })
}

pub(super) fn rollout_datagrams(fleet: &Fleet, peers: &PeerTable, now_ms: u64) -> RolloutDatagrams {
    let Some(update) = rollout_update(fleet, now_ms) else {
        return RolloutDatagrams::default();
    };
    let rollouts = &fleet.rollouts;
    let plans = rollouts.pools().filter_map(|(pool, _)| {
        let (record, _) = rollouts.record(pool)?;
        // After the end, a plan only tells which builds stay out of use.
        let is_needed = !record.stage.is_final() || !record.unproven.is_empty();
        is_needed.then(|| (pool.clone(), record.plan()))
    });
    let plans: RolloutPlans = plans.collect();
    // Plans come first, so that a record is complete when it arrives.
    let plans = (!plans.is_empty()).then_some(Datagram::RolloutPlans(plans));
    let updates: Vec<Datagram> = plans
        .into_iter()
        .chain([Datagram::Rollouts(update)])
        .collect();
    let mut datagrams = RolloutDatagrams {
        to_peers: updates.clone(),
        to_relays: updates.clone(),
        to_zone: updates,
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
        let max_service_times_ms = fleet.max_service_times_ms(pool, now_ms);
        let max_service_times_ms: Vec<(Arc<str>, u64)> = max_service_times_ms.into_iter().collect();
        let datagram = |of: TallyScope, rows: &[TallyRow]| {
            Datagram::RolloutTally(RolloutTally {
                pool: pool.clone(),
                order,
                zone: peers.zone,
                of,
                rows: rows.to_vec(),
                longest_stays_ms: max_service_times_ms.clone(),
            })
        };
        let incarnation = peers.incarnation;
        let local = Vec::from(evidence.local_tally().clone());
        let local = local.chunks(ROWS_PER_DATAGRAM);
        let local = local.map(|rows| datagram(TallyScope::Host { incarnation }, rows));
        datagrams.to_peers.extend(local);
        if peers.is_relay() {
            let zone = Vec::from(evidence.zone_tally());
            let zone = zone.chunks(ROWS_PER_DATAGRAM);
            let zone = zone.map(|rows| datagram(TallyScope::Zone, rows));
            datagrams.to_relays.extend(zone);
        }
    }
    datagrams
}

/// Merges rollout state from a peer. A relay passes on what is new.
pub(super) fn merge_rollout_update(shared: &Shared, update: RolloutUpdate, passes_on: bool) {
    const SOURCE: &str = "peer";
    let mut has_changed = shared.merge_rollout_orders(&update.orders, SOURCE);
    let now_ms = shared.clock.now_ms();
    for received in update.pools {
        let mut fleet = shared.fleet();
        let rollouts = &mut fleet.rollouts;
        rollouts.merge_age(&received.pool, received.order, received.age_ms, now_ms);
        drop(fleet);
        if let Some((record, version)) = received.record {
            let known = KnownRecord {
                pool: received.pool,
                record: record.into(),
                version,
            };
            has_changed |= shared.merge_rollout_record(known, None, SOURCE);
        }
    }
    if has_changed && passes_on {
        shared.publish_now.notify_one();
    }
}

/// Merges plans from a peer.
pub(super) fn merge_plans(shared: &Shared, plans: RolloutPlans) {
    let mut fleet = shared.fleet();
    for (pool, plan) in plans {
        fleet.rollouts.merge_plan(&pool, plan);
    }
}

/// Merges a tally from a host or from a relay of another zone.
pub(super) fn merge_tally(
    shared: &Shared,
    peers: &PeerTable,
    address: SocketAddr,
    received: RolloutTally,
) {
    let mut fleet = shared.fleet();
    let counts_alone = peers.counts_alone(received.zone, fleet.load.remote_host_count());
    let source = match received.of {
        TallyScope::Host { incarnation } if counts_alone => EvidenceSource::Host {
            host: address,
            incarnation,
        },
        TallyScope::Zone if received.zone != peers.zone => EvidenceSource::Zone {
            zone: received.zone,
            relay: address,
        },
        TallyScope::Host { .. } | TallyScope::Zone => return,
    };
    if let Some(evidence) = fleet.rollouts.evidence_mut(&received.pool, received.order) {
        evidence.merge(source, received.rows.into());
        for (route, service_ms) in &received.longest_stays_ms {
            evidence.record_service_time(route, *service_ms);
        }
    }
}
