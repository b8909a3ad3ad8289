//! The routing rules that this host applies, and the latest changes of them.

use std::sync::{Arc, Mutex, PoisonError};

use arc_swap::ArcSwapOption;
use chalkrock_routing::{Rules, RulesChange, RulesDocument, RulesHistory, RulesVersion};
use serde::{Deserialize, Serialize};

/// An update of the rules, as one host sends it to another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) enum RulesUpdate {
    Entire(Arc<RulesDocument>),
    /// Changes since the recipient's version, oldest first.
    Changes(Vec<Arc<RulesChange>>),
}

impl RulesUpdate {
    /// The version to which it leads; version 0 without changes.
    pub(crate) fn version(&self) -> RulesVersion {
        match self {
            Self::Entire(document) => document.version,
            Self::Changes(changes) => changes
                .last()
                .map_or_else(RulesVersion::default, |change| change.to()),
        }
    }

    /// Number of routes and organisations that the update names.
    pub(crate) fn entry_count(&self) -> usize {
        match self {
            Self::Entire(document) => document.entry_count(),
            Self::Changes(changes) => changes.iter().map(|change| change.entry_count()).sum(),
        }
    }
}

/// The rules that this host applies; their version never decreases.
#[derive(Default)]
pub(crate) struct ActiveRules {
    current: ArcSwapOption<Rules>,
    /// Locked during activation, so that an older version can't replace a newer one.
    history: Mutex<RulesHistory>,
}

impl ActiveRules {
    pub(crate) fn current(&self) -> Option<Arc<Rules>> {
        self.current.load_full()
    }

    /// Returns the active version; version 0 without rules.
    pub(crate) fn version(&self) -> RulesVersion {
        let current = self.current();
        current.map(|rules| rules.version()).unwrap_or_default()
    }

    /// Activates a document if it is newer. Returns whether it was activated.
    pub(crate) fn activate(&self, mut document: RulesDocument) -> bool {
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

    /// Activates a peer's update if it is newer and its changes, if any, follow the active
    /// version. Returns whether it was activated.
    pub(crate) fn apply_update(&self, update: RulesUpdate) -> bool {
        let changes = match update {
            RulesUpdate::Entire(document) => return self.activate(Arc::unwrap_or_clone(document)),
            RulesUpdate::Changes(changes) => changes,
        };
        let mut history = self.history.lock().unwrap_or_else(PoisonError::into_inner);
        let Some(current) = self.current() else {
            return false;
        };
        let mut document = RulesDocument::clone(current.document());
        for change in &changes {
            match change.apply(&document) {
                Some(newer) => document = newer,
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

    /// Returns the update for a host that has `version`: the changes since then, or the whole
    /// document if some are no longer kept; `None` if the active version is not newer.
    pub(crate) fn update_since(&self, version: RulesVersion) -> Option<RulesUpdate> {
        let current = self.current().filter(|rules| rules.version() > version)?;
        let history = self.history.lock().unwrap_or_else(PoisonError::into_inner);
        let changes = history.since(version).map(RulesUpdate::Changes);
        Some(changes.unwrap_or_else(|| RulesUpdate::Entire(current.document().clone())))
    }
}
