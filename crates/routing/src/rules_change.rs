//! Differences between versions of the rules.
//!
//! Most versions change few entries of a large document, so hosts that have the
//! previous version fetch only the difference.

use std::collections::{HashMap, HashSet, VecDeque};
use std::hash::Hash;
use std::sync::Arc;

use chalkrock_core::OrganisationId;
use serde::{Deserialize, Serialize};

use crate::route::Route;
use crate::rules::{CallerLimits, OrganisationRules, PoolRules, RulesDocument, RulesVersion};

/// Changes kept for other hosts; a host that is further behind fetches the whole
/// document.
const MAX_CHANGES: usize = 8;

/// Difference between two versions of the rules.
///
/// # Example
///
/// ```
/// use chalkrock_routing::{RulesChange, RulesDocument, RulesVersion};
///
/// let old = RulesDocument::default();
/// let new = RulesDocument { version: RulesVersion(3), ..old.clone() };
/// let change = RulesChange::between(&old, &new).unwrap();
/// assert_eq!(change.apply(&old), Some(new));
/// ```
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RulesChange {
    from: RulesVersion,
    to: RulesVersion,
    routes: NamedChanges<Route>,
    organisations: NamedChanges<OrganisationRules>,
    limits: CallerLimits,
    pools: Vec<PoolRules>,
}

impl RulesChange {
    /// Computes the difference. `None` if the entries of either document are not
    /// sorted by name, or two share a name.
    pub fn between(old: &RulesDocument, new: &RulesDocument) -> Option<Self> {
        Some(Self {
            from: old.version,
            to: new.version,
            routes: NamedChanges::between(&old.routes, &new.routes)?,
            organisations: NamedChanges::between(&old.organisations, &new.organisations)?,
            limits: new.limits,
            pools: new.pools.clone(),
        })
    }

    /// Applies the difference to the version that it starts from, sorted by name;
    /// `None` for another version.
    pub fn apply(&self, old: &RulesDocument) -> Option<RulesDocument> {
        (old.version == self.from).then(|| RulesDocument {
            version: self.to,
            routes: self.routes.apply(&old.routes),
            organisations: self.organisations.apply(&old.organisations),
            limits: self.limits,
            pools: self.pools.clone(),
            connection_limits: old.connection_limits.clone(),
        })
    }

    /// The version to which it leads.
    pub fn to(&self) -> RulesVersion {
        self.to
    }

    /// Number of changed entries.
    pub fn entry_count(&self) -> usize {
        self.routes.entry_count() + self.organisations.entry_count()
    }
}

/// The latest changes of a host's rules, oldest first and without gaps.
#[derive(Debug, Default)]
pub struct RulesHistory(VecDeque<Arc<RulesChange>>);

impl RulesHistory {
    /// Adds the change to the current rules. Drops the oldest changes while together
    /// they have more than `max_entries` entries: the whole document is smaller, and
    /// memory stays bounded.
    pub fn push(&mut self, change: Arc<RulesChange>, max_entries: usize) {
        if self.0.back().is_some_and(|last| last.to != change.from) {
            self.0.clear();
        }
        self.0.push_back(change);
        while self.0.len() > MAX_CHANGES || self.entry_count() > max_entries {
            self.0.pop_front();
        }
    }

    fn entry_count(&self) -> usize {
        self.0.iter().map(|change| change.entry_count()).sum()
    }

    /// Drops all changes, when the change to the current rules is unknown.
    pub fn clear(&mut self) {
        self.0.clear();
    }

    /// Changes from a version to the newest; `None` if some are missing.
    pub fn since(&self, version: RulesVersion) -> Option<Vec<Arc<RulesChange>>> {
        let first = self.0.iter().position(|change| change.from == version)?;
        Some(self.0.range(first..).cloned().collect())
    }
}

/// An entry of a list with unique names.
trait Named: Clone + PartialEq {
    type Name: Clone + Hash + Ord;

    fn name(&self) -> &Self::Name;
}

impl Named for Route {
    type Name = Arc<str>;

    fn name(&self) -> &Arc<str> {
        &self.name
    }
}

impl Named for OrganisationRules {
    type Name = OrganisationId;

    fn name(&self) -> &OrganisationId {
        &self.name
    }
}

/// Difference between two lists of named entries.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(bound(
    serialize = "E: Serialize, E::Name: Serialize",
    deserialize = "E: Deserialize<'de>, E::Name: Deserialize<'de>"
))]
struct NamedChanges<E: Named> {
    /// New or changed entries.
    put: Vec<E>,
    gone: Vec<E::Name>,
}

impl<E: Named> NamedChanges<E> {
    fn between(old: &[E], new: &[E]) -> Option<Self> {
        if !is_sorted_by_name(old) || !is_sorted_by_name(new) {
            return None;
        }
        let old_by_name: HashMap<&E::Name, &E> = names(old).zip(old).collect();
        let kept: HashSet<&E::Name> = names(new).collect();
        let is_changed = |entry: &&E| old_by_name.get(entry.name()) != Some(entry);
        let is_removed = |name: &&E::Name| !kept.contains(name);
        Some(Self {
            put: new.iter().filter(is_changed).cloned().collect(),
            gone: names(old).filter(is_removed).cloned().collect(),
        })
    }

    fn apply(&self, old: &[E]) -> Vec<E> {
        let replaced: HashSet<&E::Name> = self.gone.iter().chain(names(&self.put)).collect();
        let kept = old.iter().filter(|entry| !replaced.contains(entry.name()));
        let mut all: Vec<E> = kept.chain(&self.put).cloned().collect();
        all.sort_by(|a, b| a.name().cmp(b.name()));
        all
    }

    fn entry_count(&self) -> usize {
        self.put.len() + self.gone.len()
    }
}

/// Whether entries are sorted by name and no two share one.
fn is_sorted_by_name<E: Named>(entries: &[E]) -> bool {
    entries.is_sorted_by(|a, b| a.name() < b.name())
}

fn names<E: Named>(entries: &[E]) -> impl Iterator<Item = &E::Name> {
    entries.iter().map(Named::name)
}
