//! Limits the requests that are sent to a possibly bad build.
//!
//! Each host sends a share of its own requests, by a counter for each route, so that
//! the limit holds over the fleet without coordination, also for partitioned hosts.
//! Counters start at a random offset, so that restarts of hosts do not change the mean.
//! Routes share the exposed requests evenly, or rarely used ones would get too few
//! answers for a decision.

use std::collections::HashMap;
use std::sync::Arc;

/// Limit on the requests to a bad build.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ExposureBound {
    /// Share of a pool's requests, from the order to its deadline.
    pub share: f64,
    /// Number of requests in addition.
    pub slack: f64,
}

impl Default for ExposureBound {
    /// Allows a tenth of the requests.
    fn default() -> Self {
        Self {
            share: 0.1,
            slack: 0.0,
        }
    }
}

/// Fraction of the limit to which the number of canary endpoints is adjusted.
const CANARY_FRACTION: f64 = 0.5;
/// Time before the deadline in which a pool of short requests moves, so that its rollout
/// is done in time; the limit covers its traffic first.
const CUT_OVER_MS: f64 = 1_000.0;
/// Least and greatest fraction of the limit for the canary.
const MIN_CANARY_FRACTION: f64 = 0.2;
const MAX_CANARY_FRACTION: f64 = 0.75;
/// Steps of the canary's share: fraction of the deadline at which each one ends, and
/// share relative to the canary's part of the limit.
const CANARY_STEPS: [(f64, f64); 4] = [(0.25, 0.5), (0.6, 0.8), (1.05, 1.2), (f64::INFINITY, 4.0)];
/// Maximum share of one route's requests.
const MAX_ROUTE_SHARE: f64 = 0.25;
/// Minimum age of the order for an estimate of the request rate.
const MIN_RATE_WINDOW_MS: u64 = 1_000;
/// Minimum requests for estimates of the routes' shares.
const MIN_REQUESTS_FOR_ROUTE_SHARES: u64 = 8;

/// Selects the requests that one host sends to a pool's new build.
///
/// # Example
///
/// ```
/// use chalkrock_routing::{Exposure, ExposureBound};
///
/// let mut exposure = Exposure::new(ExposureBound::default(), 12_000, 0.5);
/// let route = "chat".into();
/// let exposed = (0..1_000).filter(|age_ms| exposure.admits(&route, *age_ms, 62)).count();
/// assert_eq!(exposed, 10);
/// ```
#[derive(Clone, Debug)]
pub struct Exposure {
    bound: ExposureBound,
    within_ms: u64,
    /// Initial value of each route's counter, in [0, 1).
    initial_credit: f64,
    requests: u64,
    routes: HashMap<Arc<str>, RouteCredit>,
}

#[derive(Clone, Copy, Debug)]
struct RouteCredit {
    requests: u64,
    credit: f64,
}

impl Exposure {
    /// Creates the state for an order with this deadline; `draw` is a random number in
    /// [0, 1).
    pub fn new(bound: ExposureBound, within_ms: u64, draw: f64) -> Self {
        Self {
            bound,
            within_ms,
            initial_credit: draw,
            requests: 0,
            routes: HashMap::new(),
        }
    }

    /// The share of all requests to which the number of canary endpoints is adjusted.
    pub fn share(&self) -> f64 {
        self.bound.share * CANARY_FRACTION
    }

    /// The share of this host's requests, including an even part of the additional
    /// requests that the limit allows until the deadline.
    fn local_share(&self, age_ms: u64, hosts: usize) -> f64 {
        let hosts = hosts.max(1) as f64;
        let expected = if age_ms < MIN_RATE_WINDOW_MS {
            f64::INFINITY
        } else {
            hosts * self.requests as f64 * self.within_ms as f64 / age_ms as f64
        };
        canary_share(self.bound, self.within_ms, expected, age_ms)
    }

    /// Counts a request of a route, and returns whether it goes to the new build.
    /// `hosts` is the number of hosts in the fleet.
    pub fn admits(&mut self, route: &Arc<str>, age_ms: u64, hosts: usize) -> bool {
        let share = self.local_share(age_ms, hosts);
        let initial_credit = self.initial_credit;
        self.requests += 1;
        let route_credit = self.routes.entry(route.clone()).or_insert(RouteCredit {
            requests: 0,
            credit: initial_credit,
        });
        route_credit.requests += 1;
        let route_fraction = route_credit.requests as f64 / self.requests as f64;
        let routes = self.routes.len() as f64;
        let share = if self.requests < MIN_REQUESTS_FOR_ROUTE_SHARES {
            share
        } else {
            (share / (routes * route_fraction)).min(MAX_ROUTE_SHARE)
        };
        let Some(route_credit) = self.routes.get_mut(route) else {
            return false;
        };
        route_credit.credit += share;
        let is_admitted = route_credit.credit >= 1.0;
        if is_admitted {
            route_credit.credit -= 1.0;
        }
        is_admitted
    }
}

/// The canary's share of the requests at an age of the order, if this many are expected
/// from the order to its deadline. It grows in steps, so that a build that is bad from
/// the start gets few, and leaves the traffic of the cut-over to the limit.
pub(super) fn canary_share(
    bound: ExposureBound,
    within_ms: u64,
    expected_requests: f64,
    age_ms: u64,
) -> f64 {
    let within_ms = within_ms.max(1) as f64;
    let limit = bound.share + bound.slack / expected_requests.max(1.0);
    let canary_part = (limit - CUT_OVER_MS / within_ms).clamp(
        MIN_CANARY_FRACTION * bound.share,
        MAX_CANARY_FRACTION * bound.share,
    );
    let elapsed_fraction = age_ms as f64 / within_ms;
    let step = CANARY_STEPS
        .iter()
        .find(|(until, _)| elapsed_fraction < *until);
    canary_part * step.map_or(0.0, |(_, factor)| *factor)
}
