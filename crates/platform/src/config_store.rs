//! The versioned configuration in the platform: one head row, one object a
//! version.
//!
//! A submission writes the body as an object of its own first, then moves the
//! head row by compare-and-set. A write whose answer was lost is settled by
//! reading the head back and looking for the change's id. Each head names the
//! change before it, so that a later head still proves an earlier change.

use chalkrock_core::{ChangeId, ConfigVersion, FleetConfig};
use serde::{Deserialize, Serialize};

use crate::error::PlatformError;
use crate::table::{Expect, Platform, Row, RowVersion};

/// The key of the head row.
const HEAD_KEY: &str = "config-head";
/// How often an unanswered write is settled by reading back.
const SETTLE_TRIES: u32 = 5;
/// Changes that a head remembers, enough for any two operators to race.
const REMEMBERED_CHANGES: usize = 32;

/// The head row: which version is in force, and how it came.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigHead {
    /// The version in force.
    pub version: ConfigVersion,
    /// The change that made it.
    pub change: ChangeId,
    /// Who submitted it.
    pub author: String,
    /// Why.
    pub reason: String,
    /// When, in milliseconds of Unix time by the author's clock.
    pub submitted_at_ms: u64,
    /// Changes before it, newest first.
    pub earlier: Vec<ChangeId>,
}

impl ConfigHead {
    /// The key of the object that holds the document.
    pub fn object_key(&self) -> String {
        format!("config-{}-{}", self.version.0, self.change)
    }

    fn contains(&self, change: &ChangeId) -> bool {
        self.change == *change || self.earlier.contains(change)
    }
}

/// Why a submission was not accepted.
#[derive(Debug, thiserror::Error)]
pub enum SubmitError {
    /// The document is wrong.
    #[error(transparent)]
    Invalid(#[from] chalkrock_core::Error),
    /// Another change came first; nothing was changed.
    #[error("the configuration is at another version: {0:?}")]
    Conflict(Option<ConfigHead>),
    /// The platform failed, and nothing was changed.
    #[error("nothing was changed: {0}")]
    Platform(#[source] PlatformError),
    /// The platform failed, and reading back did not settle it.
    #[error("the change may have been accepted, read it back later: {0}")]
    OutcomeUnknown(#[source] PlatformError),
    /// The head row can't be read.
    #[error("the head row can't be read: {0}")]
    Malformed(String),
}

/// Who changes the configuration, and why.
#[derive(Clone, Debug)]
pub struct Change {
    /// The id of the change, unique.
    pub id: ChangeId,
    /// Its author.
    pub author: String,
    /// Its reason.
    pub reason: String,
    /// When, in milliseconds of Unix time.
    pub submitted_at_ms: u64,
}

/// The configuration in the platform.
#[derive(Clone, Debug)]
pub struct ConfigStore<P> {
    platform: P,
}

impl<P: Platform> ConfigStore<P> {
    /// A store over a platform.
    pub fn new(platform: P) -> Self {
        Self { platform }
    }

    /// Reads the head, or `None` before the first submission.
    ///
    /// # Errors
    ///
    /// If the platform fails or the row can't be read.
    pub async fn read_head(&self) -> Result<Option<ConfigHead>, PlatformError> {
        let row = self.platform.read_row(HEAD_KEY).await?;
        row.map(|row| parse_head(&row)).transpose()
    }

    /// Reads the document of a head, as JSON text.
    ///
    /// # Errors
    ///
    /// If the platform fails or the object is missing.
    pub async fn read_body(&self, head: &ConfigHead) -> Result<String, PlatformError> {
        let key = head.object_key();
        let body = self.platform.read_object(&key).await?;
        body.ok_or_else(|| PlatformError::Malformed(format!("object {key} is missing")))
    }

    /// Reads and parses the document of a head.
    ///
    /// # Errors
    ///
    /// If the platform fails, or the document is missing or can't be read.
    pub async fn read_config(&self, head: &ConfigHead) -> Result<FleetConfig, PlatformError> {
        let body = self.read_body(head).await?;
        serde_json::from_str(&body).map_err(|e| PlatformError::Malformed(e.to_string()))
    }

    /// The heads that were in force, newest first, as far as the newest one
    /// remembers.
    ///
    /// # Errors
    ///
    /// If the platform fails, or a head is missing.
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

    /// Submits a document in place of version `expect` (0 for the first).
    ///
    /// # Errors
    ///
    /// See [`SubmitError`]: each says whether anything was changed.
    pub async fn submit(
        &self,
        config: &FleetConfig,
        expect: ConfigVersion,
        change: Change,
    ) -> Result<ConfigHead, SubmitError> {
        config.check()?;
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
            serde_json::to_string(config).map_err(|e| SubmitError::Malformed(e.to_string()))?;
        let record = ConfigHead {
            earlier: Vec::new(),
            ..head.clone()
        };
        let record = serde_json::to_string(&record);
        let record = record.map_err(|e| SubmitError::Malformed(e.to_string()))?;
        let record_key = record_key(head.version, &head.change);
        for (key, text) in [(head.object_key(), body), (record_key, record)] {
            self.write_object(&key, text)
                .await
                .map_err(SubmitError::Platform)?;
        }
        self.move_head(head, row.map(|row| row.version)).await
    }

    /// Writes an object that never changes. An unanswered write is settled by
    /// reading it back.
    async fn write_object(&self, key: &str, text: String) -> Result<(), PlatformError> {
        match self.platform.write_object(key, text.clone()).await {
            Err(error) if error.may_have_taken_effect() => {
                match self.platform.read_object(key).await? {
                    Some(found) if found == text => Ok(()),
                    _ => Err(error),
                }
            }
            written => written,
        }
    }

    async fn move_head(
        &self,
        head: ConfigHead,
        from: Option<RowVersion>,
    ) -> Result<ConfigHead, SubmitError> {
        let value =
            serde_json::to_string(&head).map_err(|e| SubmitError::Malformed(e.to_string()))?;
        let expect = from.map_or(Expect::Absent, Expect::Version);
        match self.platform.write_row(HEAD_KEY, &value, expect).await {
            Ok(_) => Ok(head),
            Err(PlatformError::Conflict(row)) => self.settle(head, row),
            Err(error) if error.may_have_taken_effect() => self.read_back(head, error).await,
            Err(error) => Err(SubmitError::Platform(error)),
        }
    }

    /// Settles a submission by the row that now stands.
    fn settle(&self, head: ConfigHead, row: Option<Row>) -> Result<ConfigHead, SubmitError> {
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

    /// Settles an unanswered write. A row that has not moved proves nothing
    /// yet: the write may still be under way. It is settled by writing again
    /// under the same condition, of which only one can succeed.
    async fn read_back(
        &self,
        head: ConfigHead,
        mut error: PlatformError,
    ) -> Result<ConfigHead, SubmitError> {
        for _ in 0..SETTLE_TRIES {
            let row = match self.platform.read_row(HEAD_KEY).await {
                Ok(row) => row,
                Err(e) => {
                    error = e;
                    continue;
                }
            };
            let current = row.as_ref().map(parse_head).transpose();
            let current = current.map_err(SubmitError::Platform)?;
            let before = ConfigVersion(head.version.0 - 1);
            if current.as_ref().map_or(ConfigVersion(0), |c| c.version) != before {
                return self.settle(head, row);
            }
            let value = serde_json::to_string(&head);
            let value = value.map_err(|e| SubmitError::Malformed(e.to_string()))?;
            let expect = row.map_or(Expect::Absent, |row| Expect::Version(row.version));
            match self.platform.write_row(HEAD_KEY, &value, expect).await {
                Ok(_) => return Ok(head),
                Err(PlatformError::Conflict(row)) => return self.settle(head, row),
                Err(e) => error = e,
            }
        }
        Err(SubmitError::OutcomeUnknown(error))
    }
}

/// The object that tells of a change after its head was replaced.
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
        earlier.truncate(REMEMBERED_CHANGES);
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
