//! The versioned configuration in the platform: one head row, and objects for
//! each version.
//!
//! A submission writes the document as an immutable object, then updates the
//! head row by compare-and-set. If the response is lost, the head is read back
//! and searched for the id of the change. Each head lists earlier changes, so
//! that a change is still found after others have followed.

use chalkrock_core::{ChangeId, ConfigVersion, FleetConfig};
use serde::{Deserialize, Serialize};

use crate::error::PlatformError;
use crate::table::{Expect, Platform, Row, RowVersion};

/// The key of the head row.
const HEAD_KEY: &str = "config-head";
/// Attempts to determine the outcome of a write whose response was lost.
const MAX_READ_BACK_ATTEMPTS: u32 = 5;
/// Earlier changes that a head lists.
const MAX_EARLIER_CHANGES: usize = 32;

/// The head row: the version in force and the change that created it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigHead {
    /// The version in force.
    pub version: ConfigVersion,
    /// The change that created it.
    pub change: ChangeId,
    /// The author of the change.
    pub author: String,
    /// The reason for the change.
    pub reason: String,
    /// Submission time, in Unix milliseconds by the author's clock.
    pub submitted_at_ms: u64,
    /// Earlier changes, newest first.
    pub earlier: Vec<ChangeId>,
}

impl ConfigHead {
    /// Returns the key of the object that holds the document.
    pub fn object_key(&self) -> String {
        format!("config-{}-{}", self.version.0, self.change)
    }

    fn contains(&self, change: &ChangeId) -> bool {
        self.change == *change || self.earlier.contains(change)
    }
}

/// Why a submission failed.
#[derive(Debug, thiserror::Error)]
pub enum SubmitError {
    /// The document fails validation.
    #[error(transparent)]
    Invalid(#[from] chalkrock_core::Error),
    /// Another change was made first; nothing was changed.
    #[error("the configuration is at another version: {0:?}")]
    Conflict(Option<ConfigHead>),
    /// The platform failed; nothing was changed.
    #[error("nothing was changed: {0}")]
    Platform(#[source] PlatformError),
    /// The platform failed, and the outcome could not be determined.
    #[error("the change may have been accepted, check the configuration later: {0}")]
    OutcomeUnknown(#[source] PlatformError),
    /// Serializing the document or the head row failed.
    #[error("failed to serialize the configuration: {0}")]
    Serialization(String),
}

/// The metadata of a change.
#[derive(Clone, Debug)]
pub struct Change {
    /// The unique id of the change.
    pub id: ChangeId,
    /// The author.
    pub author: String,
    /// The reason.
    pub reason: String,
    /// Submission time, in Unix milliseconds.
    pub submitted_at_ms: u64,
}

/// Reads and updates the configuration in the platform.
#[derive(Clone, Debug)]
pub struct ConfigStore<P> {
    platform: P,
}

impl<P: Platform> ConfigStore<P> {
    /// Creates a store on a platform.
    pub fn new(platform: P) -> Self {
        Self { platform }
    }

    /// Reads the head, or `None` before the first submission.
    ///
    /// # Errors
    ///
    /// Returns an error if the platform fails or the row is malformed.
    pub async fn read_head(&self) -> Result<Option<ConfigHead>, PlatformError> {
        let row = self.platform.read_row(HEAD_KEY).await?;
        row.map(|row| parse_head(&row)).transpose()
    }

    /// Reads the document of a head as JSON text.
    ///
    /// # Errors
    ///
    /// Returns an error if the platform fails or the object is missing.
    pub async fn read_body(&self, head: &ConfigHead) -> Result<String, PlatformError> {
        let key = head.object_key();
        let body = self.platform.read_object(&key).await?;
        body.ok_or_else(|| PlatformError::Malformed(format!("object {key} is missing")))
    }

    /// Reads and parses the document of a head.
    ///
    /// # Errors
    ///
    /// Returns an error if the platform fails or the document is missing or malformed.
    pub async fn read_config(&self, head: &ConfigHead) -> Result<FleetConfig, PlatformError> {
        let body = self.read_body(head).await?;
        serde_json::from_str(&body).map_err(|e| PlatformError::Malformed(e.to_string()))
    }

    /// Reads the heads that were in force, newest first, for the changes that the
    /// current head lists.
    ///
    /// # Errors
    ///
    /// Returns an error if the platform fails or a record is missing or malformed.
    pub async fn read_history(&self) -> Result<Vec<ConfigHead>, PlatformError> {
        let Some(newest) = self.read_head().await? else {
            return Ok(Vec::new());
        };
        let mut history = vec![newest.clone()];
        for (i, change) in newest.earlier.iter().enumerate() {
            let version = ConfigVersion(newest.version.0 - 1 - i as u64);
            let key = record_key(version, change);
            let record = self.platform.read_object(&key).await?;
            let record = record
                .ok_or_else(|| PlatformError::Malformed(format!("object {key} is missing")))?;
            let head = serde_json::from_str(&record);
            history.push(head.map_err(|e| PlatformError::Malformed(e.to_string()))?);
        }
        Ok(history)
    }

    /// Submits a document to replace version `expect` (0 if there is none).
    ///
    /// # Errors
    ///
    /// Returns [`SubmitError`], whose variants state whether anything was changed.
    pub async fn submit(
        &self,
        config: &FleetConfig,
        expect: ConfigVersion,
        change: Change,
    ) -> Result<ConfigHead, SubmitError> {
        config.validate()?;
        let row = self
            .platform
            .read_row(HEAD_KEY)
            .await
            .map_err(SubmitError::Platform)?;
        let current = row
            .as_ref()
            .map(parse_head)
            .transpose()
            .map_err(SubmitError::Platform)?;
        let in_force = current
            .as_ref()
            .map_or(ConfigVersion(0), |head| head.version);
        if in_force != expect {
            return Err(SubmitError::Conflict(current));
        }
        let head = next_head(current, expect, change);
        let body =
            serde_json::to_string(config).map_err(|e| SubmitError::Serialization(e.to_string()))?;
        let record = ConfigHead {
            earlier: Vec::new(),
            ..head.clone()
        };
        let record = serde_json::to_string(&record);
        let record = record.map_err(|e| SubmitError::Serialization(e.to_string()))?;
        let record_key = record_key(head.version, &head.change);
        for (key, text) in [(head.object_key(), body), (record_key, record)] {
            self.write_object(&key, text)
                .await
                .map_err(SubmitError::Platform)?;
        }
        self.write_head(head, row.map(|row| row.version)).await
    }

    /// Writes an immutable object, and reads it back if the response was lost.
    async fn write_object(&self, key: &str, text: String) -> Result<(), PlatformError> {
        match self.platform.write_object(key, text.clone()).await {
            Err(error) if error.may_have_taken_effect() => {
                match self.platform.read_object(key).await? {
                    Some(found) if found == text => Ok(()),
                    _ => Err(error),
                }
            }
            result => result,
        }
    }

    async fn write_head(
        &self,
        head: ConfigHead,
        replaces: Option<RowVersion>,
    ) -> Result<ConfigHead, SubmitError> {
        let value =
            serde_json::to_string(&head).map_err(|e| SubmitError::Serialization(e.to_string()))?;
        let expect = replaces.map_or(Expect::Absent, Expect::Version);
        match self.platform.write_row(HEAD_KEY, &value, expect).await {
            Ok(_) => Ok(head),
            Err(PlatformError::Conflict(row)) => self.outcome(head, row),
            Err(error) if error.may_have_taken_effect() => self.resolve_outcome(head, error).await,
            Err(error) => Err(SubmitError::Platform(error)),
        }
    }

    /// Determines the outcome of a submission from the current row.
    fn outcome(&self, head: ConfigHead, row: Option<Row>) -> Result<ConfigHead, SubmitError> {
        let current = row
            .as_ref()
            .map(parse_head)
            .transpose()
            .map_err(SubmitError::Platform)?;
        match current {
            Some(current) if current.contains(&head.change) => Ok(head),
            other => Err(SubmitError::Conflict(other)),
        }
    }

    /// Determines the outcome of a write whose response was lost. If the row is
    /// unchanged, the write may still be in flight, so it is repeated on the same
    /// condition: at most one of them succeeds.
    async fn resolve_outcome(
        &self,
        head: ConfigHead,
        mut error: PlatformError,
    ) -> Result<ConfigHead, SubmitError> {
        for _ in 0..MAX_READ_BACK_ATTEMPTS {
            let row = match self.platform.read_row(HEAD_KEY).await {
                Ok(row) => row,
                Err(e) => {
                    error = e;
                    continue;
                }
            };
            let current = row.as_ref().map(parse_head).transpose();
            let current = current.map_err(SubmitError::Platform)?;
            let previous = ConfigVersion(head.version.0 - 1);
            if current.as_ref().map_or(ConfigVersion(0), |c| c.version) != previous {
                return self.outcome(head, row);
            }
            let value = serde_json::to_string(&head);
            let value = value.map_err(|e| SubmitError::Serialization(e.to_string()))?;
            let expect = row.map_or(Expect::Absent, |row| Expect::Version(row.version));
            match self.platform.write_row(HEAD_KEY, &value, expect).await {
                Ok(_) => return Ok(head),
                Err(PlatformError::Conflict(row)) => return self.outcome(head, row),
                Err(e) => error = e,
            }
        }
        Err(SubmitError::OutcomeUnknown(error))
    }
}

/// Returns the key of the object that records a change after its head is replaced.
fn record_key(version: ConfigVersion, change: &ChangeId) -> String {
    format!("change-{}-{change}", version.0)
}

fn parse_head(row: &Row) -> Result<ConfigHead, PlatformError> {
    serde_json::from_str(&row.value).map_err(|e| PlatformError::Malformed(e.to_string()))
}

fn next_head(current: Option<ConfigHead>, expect: ConfigVersion, change: Change) -> ConfigHead {
    let mut earlier = Vec::new();
    if let Some(current) = current {
        earlier.push(current.change);
        earlier.extend(current.earlier);
        earlier.truncate(MAX_EARLIER_CHANGES);
    }
    ConfigHead {
        version: expect.next(),
        change: change.id,
        author: change.author,
        reason: change.reason,
        submitted_at_ms: change.submitted_at_ms,
        earlier,
    }
}
