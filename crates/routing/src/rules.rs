//! The rules in force: routes, organisations and limits of one version.

use std::collections::{BTreeMap, HashMap};
use std::fmt;
use std::sync::Arc;

use chalkrock_core::{OrganisationId, PoolId};
use serde::{Deserialize, Serialize};

use crate::route::Route;

/// The version of the rules. It only rises, by any step.
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

/// An organisation and the keys of its callers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrganisationRules {
    /// Its name.
    pub name: OrganisationId,
    /// Its rank, 0 first. It goes before the rank of a route.
    pub priority: u8,
    /// The keys that its callers may use.
    pub keys: Vec<Arc<str>>,
}

/// What one caller's connection may send, and how long it may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerLimits {
    /// Largest head of a request.
    pub head_max_bytes: usize,
    /// Largest body of a request.
    pub body_max_bytes: usize,
    /// Longest time for a head to arrive.
    pub head_timeout_ms: u64,
    /// Longest time that a kept connection may rest.
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

/// What the endpoints of a pool bear while they are cold.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoolRules {
    /// The pool.
    pub name: PoolId,
    /// How long an endpoint is cold after a start, in milliseconds.
    pub cold_start_ms: u64,
    /// Requests that a cold endpoint bears in 1,000 seconds; 0 if any number.
    pub cold_per_1000_s: u32,
}

impl PoolRules {
    /// Requests that a cold endpoint bears in a second; 0 if any number.
    pub fn cold_per_s(&self) -> f64 {
        f64::from(self.cold_per_1000_s) / 1_000.0
    }
}

/// The rules of one version as they travel between hosts.
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
    /// Its pools, as far as their endpoints bear less while they are cold.
    pub pools: Vec<PoolRules>,
}

impl RulesDocument {
    /// Its routes and organisations.
    pub fn entries(&self) -> usize {
        self.routes.len() + self.organisations.len()
    }

    /// Puts routes and organisations in the order of their names, which says
    /// nothing: whoever writes documents may put new entries anywhere.
    pub fn sort(&mut self) {
        self.routes.sort_by(|a, b| a.name.cmp(&b.name));
        self.organisations.sort_by(|a, b| a.name.cmp(&b.name));
    }
}

/// Whose key a caller showed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Caller {
    /// The organisation.
    pub organisation: OrganisationId,
    /// How far its rank is behind the first organisation's.
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
    /// The shortest objective of each rank, by pool.
    objectives: HashMap<PoolId, BTreeMap<u8, u64>>,
}

impl Rules {
    /// Indexes a document.
    pub fn new(document: RulesDocument) -> Self {
        let mut by_host: HashMap<Arc<str>, Vec<Arc<Route>>> = HashMap::new();
        for route in &document.routes {
            let of_host = by_host.entry(route.host.clone()).or_default();
            of_host.push(Arc::new(route.clone()));
        }
        for routes in by_host.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.path_prefix.len()));
        }
        let mut by_key = HashMap::new();
        let ranks = document.organisations.iter().map(|o| o.priority);
        let first = ranks.min().unwrap_or_default();
        for organisation in &document.organisations {
            let caller = Caller {
                organisation: organisation.name.clone(),
                priority: organisation.priority - first,
            };
            let keys = organisation.keys.iter().cloned();
            by_key.extend(keys.map(|key| (key, caller.clone())));
        }
        let mut objectives: HashMap<PoolId, BTreeMap<u8, u64>> = HashMap::new();
        for route in &document.routes {
            for backend in route.backends.iter().filter(|backend| backend.weight > 0) {
                let of_pool = objectives.entry(backend.pool.clone()).or_default();
                let shortest = of_pool.entry(route.priority).or_insert(u64::MAX);
                *shortest = route.objective_ms.min(*shortest);
            }
        }
        Self {
            objectives,
            document: Arc::new(document),
            by_host,
            by_key,
        }
    }

    /// The version in force.
    pub fn version(&self) -> RulesVersion {
        self.document.version
    }

    /// The document, to pass on.
    pub fn document(&self) -> &Arc<RulesDocument> {
        &self.document
    }

    /// Limits on callers.
    pub fn limits(&self) -> &CallerLimits {
        &self.document.limits
    }

    /// The route of a host name and a path: of those that take the path, the
    /// one with the longest prefix.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let routes = self.by_host.get(host)?;
        routes.iter().find(|route| route.matches(path))
    }

    /// The objective by which a route's requests are taken into an overrun
    /// pool: its own, or a shorter one of a rank there that goes before it. With
    /// its own alone, a route with time to spare would be served while a more
    /// urgent one is refused.
    pub fn admission_objective_ms(&self, pool: &PoolId, route: &Route) -> u64 {
        let of_pool = self.objectives.get(pool).into_iter();
        let as_urgent = of_pool.flat_map(|ranks| ranks.range(..route.priority));
        let shortest = as_urgent.map(|(_, objective_ms)| *objective_ms).min();
        shortest.map_or(route.objective_ms, |ms| ms.min(route.objective_ms))
    }

    /// Whether callers must show a key on routes that are not public.
    pub fn needs_key(&self) -> bool {
        !self.document.organisations.is_empty()
    }

    /// Whose key it is.
    pub fn caller(&self, key: &str) -> Option<&Caller> {
        self.by_key.get(key)
    }
}
