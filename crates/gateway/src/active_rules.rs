//! The rules in force, and what led to them.

use std::sync::{Arc, Mutex, PoisonError};

use arc_swap::ArcSwapOption;
use chalkrock_routing::{Rules, RulesChange, RulesDocument, RulesHistory, RulesVersion};
use serde::{Deserialize, Serialize};

/// Rules as one host passes them on to another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) enum RulesUpdate {
    /// The whole document.
    Entire(Arc<RulesDocument>),
    /// What changed since the version that the other host has, oldest first.
    Changes(Vec<Arc<RulesChange>>),
}

impl RulesUpdate {
    /// Routes and organisations that it names.
    pub(crate) fn entries(&self) -> usize {
        match self {
            Self::Entire(document) => document.entries(),
            Self::Changes(changes) => changes.iter().map(|change| change.entries()).sum(),
        }
    }
}

/// The rules in force; their version only rises.
#[derive(Default)]
pub(crate) struct ActiveRules {
    current: ArcSwapOption<Rules>,
    /// Locked while rules come into force, so that none is missing in it.
    history: Mutex<RulesHistory>,
}

impl ActiveRules {
    /// The rules in force, if any are known.
    pub(crate) fn current(&self) -> Option<Arc<Rules>> {
        self.current.load_full()
    }

    /// The version in force; the first possible one if none is known.
    pub(crate) fn version(&self) -> RulesVersion {
        let current = self.current();
        current.map(|rules| rules.version()).unwrap_or_default()
    }

    /// Puts a document into force if it is newer. Returns whether it is.
    pub(crate) fn replace(&self, mut document: RulesDocument) -> bool {
        let mut history = self.history.lock().unwrap_or_else(PoisonError::into_inner);
        let known = self.current();
        if known
            .as_ref()
            .is_some_and(|known| known.version() >= document.version)
        {
            return false;
        }
        document.sort();
        let change = known.and_then(|known| RulesChange::between(known.document(), &document));
        match change {
            Some(change) => history.push(Arc::new(change), document.entries()),
            None => history.clear(),
        }
        self.current.store(Some(Arc::new(Rules::new(document))));
        true
    }

    /// Puts into force what another host passed on, if it is newer. Returns
    /// whether it is; changes of another version than the one in force are not.
    pub(crate) fn apply_update(&self, news: RulesUpdate) -> bool {
        let changes = match news {
            RulesUpdate::Entire(document) => return self.replace(Arc::unwrap_or_clone(document)),
            RulesUpdate::Changes(changes) => changes,
        };
        let mut history = self.history.lock().unwrap_or_else(PoisonError::into_inner);
        let Some(known) = self.current() else {
            return false;
        };
        let mut document = RulesDocument::clone(known.document());
        for change in &changes {
            match change.apply(&document) {
                Some(changed) => document = changed,
                None => return false,
            }
        }
        if document.version <= known.version() {
            return false;
        }
        for change in changes {
            history.push(change, document.entries());
        }
        self.current.store(Some(Arc::new(Rules::new(document))));
        true
    }

    /// What a host is missing that has a version, if anything: the changes
    /// since, or the document where these are not known.
    pub(crate) fn update_since(&self, version: RulesVersion) -> Option<RulesUpdate> {
        let current = self.current().filter(|rules| rules.version() > version)?;
        let history = self.history.lock().unwrap_or_else(PoisonError::into_inner);
        let changes = history.since(version).map(RulesUpdate::Changes);
        Some(changes.unwrap_or_else(|| RulesUpdate::Entire(current.document().clone())))
    }
}
