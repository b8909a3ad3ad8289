//! Routing rules: routes, organisations and limits of one version.

use std::collections::{BTreeMap, HashMap};
use std::fmt;
use std::sync::Arc;

use chalkrock_core::{OrganisationId, PoolId};
use serde::{Deserialize, Serialize};

use crate::connection_budget::ConnectionLimit;
use crate::route::Route;

/// Version of the rules. It only increases, by any amount.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct RulesVersion(pub u64);

impl fmt::Display for RulesVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "v{}", self.0)
    }
}

/// An organisation and its callers' keys.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrganisationRules {
    /// Its name.
    pub name: OrganisationId,
    /// Priority, 0 the most urgent; compared before the priority of a route.
    pub priority: u8,
    /// Keys of its callers.
    pub keys: Vec<Arc<str>>,
}

/// Limits on one caller's connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerLimits {
    /// Largest request head.
    pub head_max_bytes: usize,
    /// Largest request body.
    pub body_max_bytes: usize,
    /// Longest time for a request head to arrive.
    pub head_timeout_ms: u64,
    /// Longest idle time of a kept-alive connection.
    pub idle_timeout_ms: u64,
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self {
            head_max_bytes: 16 * 1024,
            body_max_bytes: 4 * 1024 * 1024,
            head_timeout_ms: 3_000,
            idle_timeout_ms: 15_000,
        }
    }
}

/// Rate that the endpoints of a pool sustain while they are cold.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoolRules {
    /// The pool.
    pub name: PoolId,
    /// How long an endpoint is cold after a start.
    pub cold_start_ms: u64,
    /// Requests per 1,000 seconds that a cold endpoint sustains; 0 means unlimited.
    pub cold_per_1000_s: u32,
}

impl PoolRules {
    /// Requests per second that a cold endpoint sustains; 0 means unlimited.
    pub fn cold_per_s(&self) -> f64 {
        f64::from(self.cold_per_1000_s) / 1_000.0
    }
}

/// The rules of one version, as exchanged between hosts.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RulesDocument {
    /// The version.
    pub version: RulesVersion,
    /// Its routes.
    pub routes: Vec<Route>,
    /// Its organisations; with none, callers need no key.
    pub organisations: Vec<OrganisationRules>,
    /// Limits on callers.
    pub limits: CallerLimits,
    /// Pools whose endpoints have a limited rate while they are cold.
    pub pools: Vec<PoolRules>,
    /// Pools whose endpoints limit their connections. Hosts exchange them apart from the
    /// document, whose format older builds read.
    #[serde(skip)]
    pub connection_limits: Vec<ConnectionLimit>,
}

impl RulesDocument {
    /// Number of routes and organisations.
    pub fn entry_count(&self) -> usize {
        self.routes.len() + self.organisations.len()
    }

    /// Sorts routes and organisations by name; documents may list them in any order.
    pub fn sort(&mut self) {
        self.routes.sort_by(|a, b| a.name.cmp(&b.name));
        self.organisations.sort_by(|a, b| a.name.cmp(&b.name));
    }
}

/// The organisation of a caller's key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Caller {
    /// The organisation.
    pub organisation: OrganisationId,
    /// Its priority relative to the most urgent organisation.
    pub priority: u8,
}

/// The rules of one version, indexed for look-up.
///
/// # Example
///
/// ```
/// use chalkrock_routing::{Rules, RulesDocument};
///
/// let rules = Rules::new(RulesDocument::default());
/// assert!(rules.route("a.example", "/x/").is_none());
/// assert!(!rules.needs_key());
/// ```
#[derive(Clone, Debug, Default)]
pub struct Rules {
    document: Arc<RulesDocument>,
    /// Routes by host name, the longest path prefix first.
    by_host: HashMap<Arc<str>, Vec<Arc<Route>>>,
    by_key: HashMap<Arc<str>, Caller>,
    /// Shortest objective by pool and priority.
    objectives_ms: HashMap<PoolId, BTreeMap<u8, u64>>,
}

impl Rules {
    /// Indexes a document.
    pub fn new(document: RulesDocument) -> Self {
        let mut by_host: HashMap<Arc<str>, Vec<Arc<Route>>> = HashMap::new();
        for route in &document.routes {
            let host_routes = by_host.entry(route.host.clone()).or_default();
            host_routes.push(Arc::new(route.clone()));
        }
        for routes in by_host.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.path_prefix.len()));
        }
        let mut by_key = HashMap::new();
        let ranks = document.organisations.iter().map(|o| o.priority);
        let min_priority = ranks.min().unwrap_or_default();
        for organisation in &document.organisations {
            let caller = Caller {
                organisation: organisation.name.clone(),
                priority: organisation.priority - min_priority,
            };
            let keys = organisation.keys.iter().cloned();
            by_key.extend(keys.map(|key| (key, caller.clone())));
        }
        let mut objectives_ms: HashMap<PoolId, BTreeMap<u8, u64>> = HashMap::new();
        for route in &document.routes {
            for backend in route.backends.iter().filter(|backend| backend.weight > 0) {
                let pool_objectives = objectives_ms.entry(backend.pool.clone()).or_default();
                let shortest = pool_objectives.entry(route.priority).or_insert(u64::MAX);
                *shortest = route.objective_ms.min(*shortest);
            }
        }
        Self {
            objectives_ms,
            document: Arc::new(document),
            by_host,
            by_key,
        }
    }

    /// The version of the rules.
    pub fn version(&self) -> RulesVersion {
        self.document.version
    }

    /// The document that was indexed.
    pub fn document(&self) -> &Arc<RulesDocument> {
        &self.document
    }

    /// Limits on callers.
    pub fn limits(&self) -> &CallerLimits {
        &self.document.limits
    }

    /// The route with the longest matching path prefix on a host name.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let routes = self.by_host.get(host)?;
        routes.iter().find(|route| route.matches(path))
    }

    /// Objective for admission to an overloaded pool: the route's own, or a shorter
    /// one of a more urgent route there. With its own alone, a route with a long
    /// objective would be admitted while a more urgent one is rejected.
    pub fn admission_objective_ms(&self, pool: &PoolId, route: &Route) -> u64 {
        let pool_objectives = self.objectives_ms.get(pool).into_iter();
        let more_urgent = pool_objectives.flat_map(|ranks| ranks.range(..route.priority));
        let shortest = more_urgent.map(|(_, objective_ms)| *objective_ms).min();
        shortest.map_or(route.objective_ms, |ms| ms.min(route.objective_ms))
    }

    /// Whether callers need a key on routes that are not public.
    pub fn needs_key(&self) -> bool {
        !self.document.organisations.is_empty()
    }

    /// The caller that a key belongs to.
    pub fn caller(&self, key: &str) -> Option<&Caller> {
        self.by_key.get(key)
    }
}
