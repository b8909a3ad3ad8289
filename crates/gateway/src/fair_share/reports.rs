//! Exchanges the use of loaded pools with other hosts, in the rounds of heartbeats.

use std::net::SocketAddr;

use chalkrock_routing::{AggregatePath, ReportId, UsageReport};
use serde::{Deserialize, Serialize};

use super::{Usage, pool_hash};

/// Most pools of which a host reports its use in a round; the others follow in later ones.
const POOLS_PER_ROUND: usize = 4;

/// What a report covers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum UsageScope {
    /// One host.
    Host,
    /// All hosts of a zone.
    Zone(AggregatePath),
    /// The fleet, for the hosts of the sender's zone.
    Fleet,
}

/// A report of one pool's use.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct PoolUsage {
    /// Short hash of the zone that it covers, or whose hosts receive the fleet's.
    pub(crate) zone: u32,
    pub(crate) scope: UsageScope,
    /// Identifies the report among those of its sender.
    pub(crate) id: ReportId,
    pub(crate) usage: UsageReport,
}

/// The sender of a round.
#[derive(Clone, Copy, Debug)]
pub(crate) struct UsageSender {
    pub(crate) zone: u32,
    pub(crate) id: ReportId,
    pub(crate) is_relay: bool,
    /// Whether it sends the fleet's aggregates to its zone.
    pub(crate) aggregates: bool,
}

/// The reports of a round by recipients.
#[derive(Debug, Default)]
pub(crate) struct UsageReports {
    pub(crate) to_peers: Vec<PoolUsage>,
    pub(crate) to_relays: Vec<PoolUsage>,
    pub(crate) to_zone: Vec<PoolUsage>,
}

/// Creates the reports of a round; none while no pool is loaded.
pub(crate) fn usage_datagrams(
    usage: &mut Usage,
    sender: &UsageSender,
    now_ms: u64,
) -> UsageReports {
    let mut reports = UsageReports::default();
    let loaded = usage.pools.iter();
    let loaded = loaded.filter(|(_, state)| state.is_loaded(now_ms));
    let loaded: Vec<u32> = loaded.map(|(pool, _)| pool_hash(pool)).collect();
    let mut pools = usage.fleet.pools();
    let pool_count = pools.len().max(1);
    pools.rotate_left(sender.id.sequence as usize * POOLS_PER_ROUND % pool_count);
    let of = |zone: u32, scope: UsageScope, report: UsageReport| PoolUsage {
        zone,
        scope,
        id: sender.id,
        usage: report,
    };
    for pool in pools {
        if reports.to_peers.len() >= POOLS_PER_ROUND || reports.to_zone.len() >= POOLS_PER_ROUND {
            break;
        }
        let is_loaded = loaded.contains(&pool);
        if let Some(report) = usage.fleet.report(pool, is_loaded, now_ms) {
            let report = of(sender.zone, UsageScope::Host, report);
            reports.to_peers.push(report);
        }
        let has_reports = usage.fleet.has_reports(pool);
        if !sender.is_relay || !(is_loaded || has_reports) {
            continue;
        }
        if let Some(report) = usage.fleet.zone_aggregate(pool, now_ms) {
            let scope = UsageScope::Zone(AggregatePath::Direct);
            reports.to_relays.push(of(sender.zone, scope, report));
        }
        if sender.aggregates {
            let report = usage.fleet.fleet_aggregate(pool, now_ms);
            let report = report.map(|report| of(sender.zone, UsageScope::Fleet, report));
            reports.to_zone.extend(report);
        } else {
            let scope = UsageScope::Zone(AggregatePath::Relayed);
            let zones = usage.fleet.remote_zone_aggregates(pool, now_ms);
            let zones = zones.into_iter();
            let zones = zones.map(|(zone, report)| of(zone, scope, report));
            reports.to_peers.extend(zones);
        }
    }
    reports
}

/// Merges a report from another host. `counts_alone`: the sender's report is not part of
/// an aggregate that this host receives.
pub(crate) fn merge_usage(
    usage: &mut Usage,
    sender: SocketAddr,
    received: PoolUsage,
    local_zone: u32,
    counts_alone: bool,
    now_ms: u64,
) {
    let PoolUsage {
        zone,
        scope,
        id,
        usage: report,
    } = received;
    let fleet = &mut usage.fleet;
    let _late_reports_are_dropped = match scope {
        UsageScope::Host if counts_alone => fleet.merge(sender, id, report, now_ms),
        UsageScope::Zone(path) if zone != local_zone => {
            fleet.merge_zone_aggregate(sender, zone, path, id, report, now_ms)
        }
        UsageScope::Fleet if zone == local_zone => {
            fleet.merge_fleet_aggregate(sender, id, report, now_ms)
        }
        UsageScope::Host | UsageScope::Zone(_) | UsageScope::Fleet => return,
    };
}
