//! How many requests a build that may be bad is sent.
//!
//! Each host sends it a part of its own requests, by a counter for each route. So the
//! parts of all hosts add up to that part of all requests, whatever hosts know of each
//! other: one that is cut off, frozen or alone goes on with its part of what it gets
//! itself, and one that has just started begins at a random place, so that restarts
//! neither add requests nor lose any in the mean. Routes share what there is evenly: a
//! route with one request in ten would otherwise bring too few answers to be judged.

use std::collections::HashMap;
use std::sync::Arc;

/// The operators' bound on requests to a bad build.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ExposureBound {
    /// The part of a pool's requests, from the order to its deadline.
    pub share: f64,
    /// Requests beside these.
    pub slack: f64,
}

impl Default for ExposureBound {
    /// A tenth, which the users' deployments bound it to.
    fn default() -> Self {
        Self {
            share: 0.1,
            slack: 0.0,
        }
    }
}

/// The part of the bound that is used before all traffic moves: the rest is for the
/// requests that arrive from the move on until a build that turns bad is left.
const USED_BEFORE_MOVE: f64 = 0.5;
/// Most of one route's requests that go to a build that may be bad.
const ROUTE_SHARE_MAX: f64 = 0.25;
/// Age of the order from which a host knows how many requests it gets.
const RATE_KNOWN_MS: u64 = 1_000;
/// Requests of a host after which its own routes say how much each gets.
const REQUESTS_KNOWN: u64 = 8;

/// What one host sends to a new build of a pool.
///
/// # Example
///
/// ```
/// use chalkrock_routing::{Exposure, ExposureBound};
///
/// let mut exposure = Exposure::new(ExposureBound::default(), 12_000, 0.5);
/// let route = "chat".into();
/// let exposed = (0..1_000).filter(|age_ms| exposure.takes(&route, *age_ms, 62)).count();
/// assert_eq!(exposed, 50);
/// ```
#[derive(Clone, Debug)]
pub struct Exposure {
    bound: ExposureBound,
    within_ms: u64,
    /// Where the counter of a route begins, from 0 up to 1.
    begins_at: f64,
    requests: u64,
    routes: HashMap<Arc<str>, OfRoute>,
}

#[derive(Clone, Copy, Debug)]
struct OfRoute {
    requests: u64,
    credit: f64,
}

impl Exposure {
    /// Nothing was sent yet of an order with so much time; `draw` is any number from 0
    /// up to 1.
    pub fn new(bound: ExposureBound, within_ms: u64, draw: f64) -> Self {
        Self {
            bound,
            within_ms,
            begins_at: draw,
            requests: 0,
            routes: HashMap::new(),
        }
    }

    /// The part of all requests that is sent at least.
    pub fn share(&self) -> f64 {
        self.bound.share * USED_BEFORE_MOVE
    }

    /// The part of this host's requests that it sends: it has an even part of what the
    /// bound allows besides, over the requests that it expects until the deadline.
    fn own_share(&self, age_ms: u64, hosts: usize) -> f64 {
        if age_ms < RATE_KNOWN_MS {
            return self.share();
        }
        let expected = self.requests as f64 * self.within_ms as f64 / age_ms as f64;
        let slack = self.bound.slack / (hosts.max(1) as f64 * expected.max(1.0));
        let share = (self.bound.share + slack) * USED_BEFORE_MOVE;
        share.min(2.0 * self.share())
    }

    /// A request of a route arrives, the order being so old, at one of so many hosts.
    /// Whether it goes to the new build.
    pub fn admits(&mut self, route: &Arc<str>, age_ms: u64, hosts: usize) -> bool {
        let share = self.own_share(age_ms, hosts);
        let begins_at = self.begins_at;
        self.requests += 1;
        let of_route = self.routes.entry(route.clone()).or_insert(OfRoute {
            requests: 0,
            credit: begins_at,
        });
        of_route.requests += 1;
        let part = of_route.requests as f64 / self.requests as f64;
        let routes = self.routes.len() as f64;
        let share = if self.requests < REQUESTS_KNOWN {
            share
        } else {
            (share / (routes * part)).min(ROUTE_SHARE_MAX)
        };
        let Some(of_route) = self.routes.get_mut(route) else {
            return false;
        };
        of_route.credit += share;
        let takes = of_route.credit >= 1.0;
        if takes {
            of_route.credit -= 1.0;
        }
        takes
    }
}
