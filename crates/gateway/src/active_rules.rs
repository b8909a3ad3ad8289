//! The active rules and their recent changes.

use std::sync::{Arc, Mutex, PoisonError};

use arc_swap::ArcSwapOption;
use chalkrock_routing::{Rules, RulesChange, RulesDocument, RulesHistory, RulesVersion};
use serde::{Deserialize, Serialize};

/// Rules that one host sends to another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) enum RulesUpdate {
    Entire(Arc<RulesDocument>),
    /// Changes since the recipient's version, oldest first.
    Changes(Vec<Arc<RulesChange>>),
}

impl RulesUpdate {
    /// Number of routes and organisations in the update.
    pub(crate) fn entries(&self) -> usize {
        match self {
            Self::Entire(document) => document.entry_count(),
            Self::Changes(changes) => changes.iter().map(|change| change.entry_count()).sum(),
        }
    }
}

/// The active rules; their version never decreases.
#[derive(Default)]
pub(crate) struct ActiveRules {
    current: ArcSwapOption<Rules>,
    /// Locked while rules are activated, so that no change is lost.
    history: Mutex<RulesHistory>,
}

impl ActiveRules {
    pub(crate) fn current(&self) -> Option<Arc<Rules>> {
        self.current.load_full()
    }

    /// The active version; the default if no rules are known.
    pub(crate) fn version(&self) -> RulesVersion {
        let current = self.current();
        current.map(|rules| rules.version()).unwrap_or_default()
    }

    /// Activates a document if it is newer. Returns whether it is.
    pub(crate) fn replace(&self, mut document: RulesDocument) -> bool {
        let mut history = self.history.lock().unwrap_or_else(PoisonError::into_inner);
        let current = self.current();
        if current
            .as_ref()
            .is_some_and(|current| current.version() >= document.version)
        {
            return false;
        }
        document.sort();
        let change =
            current.and_then(|current| RulesChange::between(current.document(), &document));
        match change {
            Some(change) => history.push(Arc::new(change), document.entry_count()),
            None => history.clear(),
        }
        self.current.store(Some(Arc::new(Rules::new(document))));
        true
    }

    /// Activates an update from a peer if it is newer and its changes apply to the active
    /// version. Returns whether it was activated.
    pub(crate) fn apply_update(&self, update: RulesUpdate) -> bool {
        let changes = match update {
            RulesUpdate::Entire(document) => return self.replace(Arc::unwrap_or_clone(document)),
            RulesUpdate::Changes(changes) => changes,
        };
        let mut history = self.history.lock().unwrap_or_else(PoisonError::into_inner);
        let Some(current) = self.current() else {
            return false;
        };
        let mut document = RulesDocument::clone(current.document());
        for change in &changes {
            match change.apply(&document) {
                Some(changed) => document = changed,
                None => return false,
            }
        }
        if document.version <= current.version() {
            return false;
        }
        for change in changes {
            history.push(change, document.entry_count());
        }
        self.current.store(Some(Arc::new(Rules::new(document))));
        true
    }

    /// The update that a host at a version needs, if any: the changes since, or the full
    /// document if they are not retained.
    pub(crate) fn update_since(&self, version: RulesVersion) -> Option<RulesUpdate> {
        let current = self.current().filter(|rules| rules.version() > version)?;
        let history = self.history.lock().unwrap_or_else(PoisonError::into_inner);
        let changes = history.since(version).map(RulesUpdate::Changes);
        Some(changes.unwrap_or_else(|| RulesUpdate::Entire(current.document().clone())))
    }
}
