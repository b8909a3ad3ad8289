//! Demand for the endpoints that are homes of prefixes, and over how many endpoints it
//! spreads.
//!
//! The load limit alone does not hold for a prefix that many hosts request. Reported loads
//! are some hundred milliseconds old: all hosts see the home under the limit and send
//! there until a report arrives, and then all turn to the next in rank. Instead, each host
//! estimates the demand for an endpoint by Little's law, from its reported load and how
//! fast that changes, and from the share of its requests that it received at that time. A
//! demand over the limit spreads over as many endpoints as it needs, the first in rank for
//! each prefix, by random choice. Reports to all hosts are alike, and so are the estimates.

use std::collections::{HashMap, VecDeque};

use crate::in_flight::REPORT_INTERVAL_MS;
use crate::spread::SpreadRules;

/// Time constant of the estimate: two report intervals.
const DEMAND_SMOOTHING_MS: f64 = 2.0 * REPORT_INTERVAL_MS as f64;
/// Margin below the limit that spread demand leaves, in standard deviations of the load.
/// Arrivals are random, so that a load varies by the root of its mean.
const MARGIN_DEVIATIONS: f64 = 1.5;
/// Demand relative to the limit from which it spreads. A smaller excess is chance, or the
/// limit alone holds for it.
const MIN_SPREAD_RATIO: f64 = 1.25;
/// Smallest share from which the demand is estimated.
const MIN_MEAN_SHARE: f64 = 0.02;
/// How long shares and demands are remembered after the load has fallen.
const HISTORY_MS: u64 = 2_000;
/// Most other endpoints over which the demand for one spreads.
const MAX_OTHER_HOMES: f64 = 64.0;

/// Over how many endpoints the requests for an endpoint as a home spread.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HomeSpread {
    /// Part of the requests that it keeps.
    pub kept_ratio: f64,
    /// Endpoints after it in rank that get equal parts of the others.
    pub others: f64,
}

impl HomeSpread {
    /// It keeps all.
    pub const NONE: Self = Self {
        kept_ratio: 1.0,
        others: 0.0,
    };
}

/// The demand for one endpoint.
#[derive(Clone, Debug)]
struct Demand {
    /// Expected requests in progress if all were sent to it.
    requests: f64,
    spread: HomeSpread,
    /// Its last known load.
    load: f64,
    /// When its load was last over the target.
    busy_at_ms: u64,
    /// The shares of the demand that it received, oldest first.
    received: VecDeque<Received>,
}

/// The share of the demand for an endpoint that it receives from a time on.
#[derive(Clone, Copy, Debug)]
struct Received {
    from_ms: u64,
    share: f64,
    /// Mean share over the requests in progress at that time.
    mean_share: f64,
}

impl Received {
    const ALL: Self = Self {
        from_ms: 0,
        share: 1.0,
        mean_share: 1.0,
    };
}

impl Demand {
    fn received_at(&self, at_ms: u64) -> Received {
        let mut latest_first = self.received.iter().rev();
        let in_effect = latest_first.find(|received| received.from_ms <= at_ms);
        in_effect.copied().unwrap_or(Received::ALL)
    }

    fn record_share(&mut self, share: f64, service_ms: f64, now_ms: u64) {
        let last = self.received.back().copied().unwrap_or(Received::ALL);
        let elapsed_ms = now_ms.saturating_sub(last.from_ms) as f64;
        let weight = 1.0 - (-elapsed_ms / service_ms.max(1.0)).exp();
        self.received.push_back(Received {
            from_ms: now_ms,
            share,
            mean_share: last.mean_share + weight * (last.share - last.mean_share),
        });
        while self
            .received
            .front()
            .is_some_and(|first| now_ms.saturating_sub(first.from_ms) > HISTORY_MS)
        {
            self.received.pop_front();
        }
    }
}

/// Loads of a pool's endpoints as one host knows them.
#[derive(Clone, Copy, Debug)]
pub struct PoolLoads<'a> {
    /// Requests in progress, by the short hash of the endpoint.
    pub by_endpoint: &'a [(u32, u32)],
    /// Mean age of the loads.
    pub age_ms: f64,
    /// Mean time that a request is in progress.
    pub service_ms: f64,
}

/// Endpoints of one pool whose demand is near or over the load limit.
#[derive(Clone, Debug, Default)]
pub struct HomeDemand {
    demands: HashMap<u32, Demand>,
    updated_at_ms: Option<u64>,
    /// Mean load of the pool at that time.
    mean_load: Option<f64>,
}

impl HomeDemand {
    /// Whether a report interval has passed since the last update.
    pub fn is_due(&self, now_ms: u64) -> bool {
        self.updated_at_ms
            .is_none_or(|updated_at_ms| now_ms.saturating_sub(updated_at_ms) >= REPORT_INTERVAL_MS)
    }

    /// Updates the estimates from the loads of a pool. Does nothing unless it is due.
    pub fn update(&mut self, loads: &PoolLoads<'_>, rules: &SpreadRules, now_ms: u64) {
        if !self.is_due(now_ms) {
            return;
        }
        let elapsed_ms = self
            .updated_at_ms
            .map_or(REPORT_INTERVAL_MS, |updated_at_ms| {
                now_ms.saturating_sub(updated_at_ms)
            }) as f64;
        self.updated_at_ms = Some(now_ms);
        let total: f64 = loads
            .by_endpoint
            .iter()
            .map(|(_, load)| f64::from(*load))
            .sum();
        let mean = total / loads.by_endpoint.len().max(1) as f64;
        let mean_growth = mean - self.mean_load.replace(mean).unwrap_or(mean);
        let limit = rules.load_multiple * mean + rules.allowance;
        let target = (limit - MARGIN_DEVIATIONS * limit.sqrt()).max(mean);
        let spread_from = MIN_SPREAD_RATIO * limit;
        let loads_age_ms = loads.age_ms + elapsed_ms / 2.0;
        let loads_at_ms = now_ms.saturating_sub(loads_age_ms as u64);
        let weight = 1.0 - (-elapsed_ms / DEMAND_SMOOTHING_MS).exp();
        for &(endpoint, load) in loads.by_endpoint {
            let load = f64::from(load);
            if load <= target && !self.demands.contains_key(&endpoint) {
                continue;
            }
            let demand = self.demands.entry(endpoint).or_insert_with(|| Demand {
                requests: mean,
                spread: HomeSpread::NONE,
                load: target,
                busy_at_ms: now_ms,
                received: VecDeque::new(),
            });
            let received = demand.received_at(loads_at_ms);
            // A load far over the limit is no chance variation.
            if load > spread_from && received.share > 0.0 {
                // Growth of the whole pool raises the limit as well.
                let growth = load - demand.load - mean_growth;
                let arriving = growth.max(0.0) * loads.service_ms / elapsed_ms;
                let requests = (load + arriving) / received.share;
                demand.requests = demand.requests.max(requests);
            } else if received.mean_share >= MIN_MEAN_SHARE {
                let requests = load / received.mean_share;
                demand.requests += weight * (requests - demand.requests);
            }
            demand.load = load;
            let was_spread = demand.spread != HomeSpread::NONE;
            // It ends below where it begins, so that chance does not end it at once.
            let spreads = demand.requests > if was_spread { limit } else { spread_from };
            let headroom = target - mean;
            demand.spread = if spreads && headroom > 0.0 {
                let others = (demand.requests - target) / headroom;
                HomeSpread {
                    kept_ratio: target / demand.requests,
                    others: others.min(MAX_OTHER_HOMES),
                }
            } else {
                HomeSpread::NONE
            };
            let is_under_limit = load + 1.0 <= limit;
            let share = if is_under_limit {
                demand.spread.kept_ratio
            } else {
                0.0
            };
            demand.record_share(share, loads.service_ms, now_ms);
            if load > target || demand.spread != HomeSpread::NONE {
                demand.busy_at_ms = now_ms;
            }
        }
        self.demands
            .retain(|_, demand| now_ms.saturating_sub(demand.busy_at_ms) <= HISTORY_MS);
    }

    /// How the demand for an endpoint spreads.
    pub fn spread(&self, endpoint: u32) -> HomeSpread {
        let demand = self.demands.get(&endpoint);
        demand.map_or(HomeSpread::NONE, |demand| demand.spread)
    }
}

/// How long a request makes its prefix recent.
const RECENT_MS: u64 = 2_000;
/// Most recent prefixes that are remembered.
const MAX_RECENT: usize = 4_096;
/// Holders from which a prefix is popular in the fleet.
const MIN_HOLDERS_OF_POPULAR: usize = 4;

/// Prefixes of this host's latest requests. Only popular prefixes spread: the others of a
/// home under high demand are not what the demand is for, and would be copied for nothing.
#[derive(Clone, Debug, Default)]
pub struct RecentPrefixes(HashMap<u32, u64>);

impl RecentPrefixes {
    /// Records a request for a prefix.
    pub fn record(&mut self, prefix: u32, now_ms: u64) {
        if self.0.len() >= MAX_RECENT && !self.0.contains_key(&prefix) {
            self.0.retain(|_, at_ms| is_recent(*at_ms, now_ms));
        }
        if self.0.len() < MAX_RECENT || self.0.contains_key(&prefix) {
            self.0.insert(prefix, now_ms);
        }
    }

    /// Whether a prefix is popular: requested on this host just before, or held by many.
    pub fn is_popular(&self, prefix: u32, holders: usize, now_ms: u64) -> bool {
        let requested_at_ms = self.0.get(&prefix);
        holders >= MIN_HOLDERS_OF_POPULAR
            || requested_at_ms.is_some_and(|at_ms| is_recent(*at_ms, now_ms))
    }
}

fn is_recent(at_ms: u64, now_ms: u64) -> bool {
    now_ms.saturating_sub(at_ms) <= RECENT_MS
}
