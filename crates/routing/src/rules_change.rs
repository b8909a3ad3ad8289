//! What one version of the rules changes of another, and the last such changes.
//!
//! A version of thousands of routes mostly differs from the one before it in a
//! few, or in none. Hosts that have the one before take the difference.

use std::collections::{HashMap, HashSet, VecDeque};
use std::hash::Hash;
use std::sync::Arc;

use chalkrock_core::OrganisationId;
use serde::{Deserialize, Serialize};

use crate::route::Route;
use crate::rules::{CallerLimits, OrganisationRules, PoolRules, RulesDocument, RulesVersion};

/// Changes that a host keeps for others: a host that is further behind takes
/// the whole document.
const CHANGES_MAX: usize = 8;

/// What one version of the rules changes of another.
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
    /// What changes from one document to another. `None` if the entries of
    /// either are not in the order of their names, or two share one.
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

    /// The document that this makes of the one it was taken from, in the order of
    /// names; `None` for one of another version.
    pub fn apply(&self, old: &RulesDocument) -> Option<RulesDocument> {
        (old.version == self.from).then(|| RulesDocument {
            version: self.to,
            routes: self.routes.apply(&old.routes),
            organisations: self.organisations.apply(&old.organisations),
            limits: self.limits,
            pools: self.pools.clone(),
        })
    }

    /// Entries that it names.
    pub fn entries(&self) -> usize {
        self.routes.entries() + self.organisations.entries()
    }
}

/// The last changes of a host's rules, oldest first, each from the version to
/// which the one before it leads.
#[derive(Debug, Default)]
pub struct RulesHistory(VecDeque<Arc<RulesChange>>);

impl RulesHistory {
    /// Rules came into force by a change, and have so many entries. Changes that
    /// name more together are not kept: the whole is less to pass on, and an
    /// operator who rewrites all routes each time would fill the memory.
    pub fn push(&mut self, change: Arc<RulesChange>, entries_max: usize) {
        if self.0.back().is_some_and(|last| last.to != change.from) {
            self.0.clear();
        }
        self.0.push_back(change);
        while self.0.len() > CHANGES_MAX || self.entries() > entries_max {
            self.0.pop_front();
        }
    }

    fn entries(&self) -> usize {
        self.0.iter().map(|change| change.entries()).sum()
    }

    /// Rules came into force by a document from which no change is known.
    pub fn clear(&mut self) {
        self.0.clear();
    }

    /// The changes that lead from a version to the newest; `None` if they are
    /// not all known.
    pub fn since(&self, version: RulesVersion) -> Option<Vec<Arc<RulesChange>>> {
        let first = self.0.iter().position(|change| change.from == version)?;
        Some(self.0.range(first..).cloned().collect())
    }
}

/// An entry of a list in which no two share a name.
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

/// What changes in a list of named entries.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(bound(
    serialize = "E: Serialize, E::Name: Serialize",
    deserialize = "E: Deserialize<'de>, E::Name: Deserialize<'de>"
))]
struct NamedChanges<E: Named> {
    /// Entries that are new or changed.
    put: Vec<E>,
    gone: Vec<E::Name>,
}

impl<E: Named> NamedChanges<E> {
    fn between(old: &[E], new: &[E]) -> Option<Self> {
        if !is_in_order(old) || !is_in_order(new) {
            return None;
        }
        let before: HashMap<&E::Name, &E> = names(old).zip(old).collect();
        let kept: HashSet<&E::Name> = names(new).collect();
        let is_put = |entry: &&E| before.get(entry.name()) != Some(entry);
        let is_gone = |name: &&E::Name| !kept.contains(name);
        Some(Self {
            put: new.iter().filter(is_put).cloned().collect(),
            gone: names(old).filter(is_gone).cloned().collect(),
        })
    }

    fn apply(&self, old: &[E]) -> Vec<E> {
        let replaced: HashSet<&E::Name> = self.gone.iter().chain(names(&self.put)).collect();
        let kept = old.iter().filter(|entry| !replaced.contains(entry.name()));
        let mut all: Vec<E> = kept.chain(&self.put).cloned().collect();
        all.sort_by(|a, b| a.name().cmp(b.name()));
        all
    }

    fn entries(&self) -> usize {
        self.put.len() + self.gone.len()
    }
}

/// Whether entries are in the order of their names, and no two share one.
fn is_in_order<E: Named>(entries: &[E]) -> bool {
    entries.is_sorted_by(|a, b| a.name() < b.name())
}

fn names<E: Named>(entries: &[E]) -> impl Iterator<Item = &E::Name> {
    entries.iter().map(Named::name)
}
