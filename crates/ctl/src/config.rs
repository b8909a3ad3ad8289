//! Submission, comparison and history of configurations.

use std::path::Path;
use std::time::{SystemTime, UNIX_EPOCH};

use chalkrock_core::{ChangeId, ConfigVersion, FleetConfig};
use chalkrock_platform::{Change, ConfigHead, SubmitError};
use chalkrock_process::load_settings;
use serde::Serialize;
use similar::TextDiff;

use crate::error::CtlError;
use crate::fleet::Session;

/// A version of the configuration and its record.
#[derive(Clone, Debug, Serialize)]
pub struct Revision {
    /// The version, author and reason.
    pub head: ConfigHead,
    /// The configuration document.
    pub config: FleetConfig,
}

/// The arguments of [`Session::apply`].
#[derive(Clone, Debug)]
pub struct Submission<'a> {
    /// The configuration file.
    pub file: &'a Path,
    /// The version that the file is based on; defaults to the one in force.
    pub expect: Option<ConfigVersion>,
    /// The author of the change.
    pub author: String,
    /// The reason for the change.
    pub reason: String,
    /// Validate and compare without submitting.
    pub dry_run: bool,
}

/// The result of a submission.
#[derive(Clone, Debug, Serialize)]
pub struct Applied {
    /// The new version, or the one in force after a dry run.
    pub version: ConfigVersion,
    /// Whether the configuration was submitted.
    pub submitted: bool,
    /// The unified diff from the previous version.
    pub difference: String,
}

/// Reads and validates a configuration file.
pub(crate) fn read_file(file: &Path) -> Result<FleetConfig, CtlError> {
    let config: FleetConfig = load_settings(file)?;
    config.validate().map_err(|source| CtlError::Invalid {
        file: file.display().to_string(),
        source,
    })?;
    Ok(config)
}

/// Returns the unified diff of two configurations in YAML.
pub(crate) fn difference(before: &FleetConfig, after: &FleetConfig, names: (&str, &str)) -> String {
    let yaml = |config| serde_yaml_ng::to_string(config).unwrap_or_default();
    let (before, after) = (yaml(before), yaml(after));
    let diff = TextDiff::from_lines(&before, &after);
    diff.unified_diff()
        .context_radius(3)
        .header(names.0, names.1)
        .to_string()
}

impl Session {
    /// Returns the configuration in force, or `None` before the first submission.
    ///
    /// # Errors
    ///
    /// Returns an error if the platform fails.
    pub async fn current(&self) -> Result<Option<Revision>, CtlError> {
        let Some(head) = self.store().read_head().await? else {
            return Ok(None);
        };
        let config = self.store().read_config(&head).await?;
        Ok(Some(Revision { head, config }))
    }

    /// Returns a recorded version of the configuration.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no such version or the platform fails.
    pub async fn version(&self, version: ConfigVersion) -> Result<Revision, CtlError> {
        let head = self
            .history()
            .await?
            .into_iter()
            .find(|head| head.version == version);
        let head = head.ok_or(CtlError::NoVersion(version))?;
        let config = self.store().read_config(&head).await?;
        Ok(Revision { head, config })
    }

    /// Lists the recorded versions, newest first.
    ///
    /// # Errors
    ///
    /// Returns an error if the platform fails.
    pub async fn history(&self) -> Result<Vec<ConfigHead>, CtlError> {
        Ok(self.store().read_history().await?)
    }

    /// Validates a file.
    ///
    /// # Errors
    ///
    /// Returns an error if the file is not valid.
    pub fn check(&self, file: &Path) -> Result<(), CtlError> {
        read_file(file).map(|_| ())
    }

    /// Returns the difference between the version in force and a file.
    ///
    /// # Errors
    ///
    /// Returns an error if the file is not valid or the platform fails.
    pub async fn diff(&self, file: &Path) -> Result<String, CtlError> {
        let config = read_file(file)?;
        let before = self
            .current()
            .await?
            .map(|current| current.config)
            .unwrap_or_default();
        Ok(difference(&before, &config, ("in force", "file")))
    }

    /// Submits a file.
    ///
    /// # Errors
    ///
    /// Returns an error if the file is not valid, another change was made
    /// first, or the platform fails.
    pub async fn apply(&self, submission: Submission<'_>) -> Result<Applied, CtlError> {
        let config = read_file(submission.file)?;
        let current = self.current().await?;
        let in_force = current
            .as_ref()
            .map_or(ConfigVersion(0), |current| current.head.version);
        let before = current.map(|current| current.config).unwrap_or_default();
        let expect = submission.expect.unwrap_or(in_force);
        if expect != in_force {
            return Err(self.conflict(expect, &config).await);
        }
        let difference = difference(&before, &config, ("in force", "file"));
        if submission.dry_run {
            return Ok(Applied {
                version: in_force,
                submitted: false,
                difference,
            });
        }
        let change = change(submission.author, submission.reason);
        let version = self.submit(&config, expect, change).await?;
        Ok(Applied {
            version,
            submitted: true,
            difference,
        })
    }

    /// Submits the content of an earlier version as a new version.
    ///
    /// # Errors
    ///
    /// Returns an error under the same conditions as [`Session::apply`].
    pub async fn rollback(
        &self,
        to: ConfigVersion,
        author: String,
        reason: String,
    ) -> Result<Applied, CtlError> {
        let old = self.version(to).await?;
        let current = self.current().await?.ok_or(CtlError::NoConfig)?;
        let difference = difference(&current.config, &old.config, ("in force", "rolled back"));
        let change = change(author, reason);
        let version = self
            .submit(&old.config, current.head.version, change)
            .await?;
        Ok(Applied {
            version,
            submitted: true,
            difference,
        })
    }

    async fn submit(
        &self,
        config: &FleetConfig,
        expect: ConfigVersion,
        change: Change,
    ) -> Result<ConfigVersion, CtlError> {
        match self.store().submit(config, expect, change).await {
            Ok(head) => Ok(head.version),
            Err(SubmitError::Conflict(_)) => Err(self.conflict(expect, config).await),
            Err(error) => Err(error.into()),
        }
    }

    /// Builds a conflict error with the differences from the expected version to
    /// the one in force and to the submitted one.
    async fn conflict(&self, expected: ConfigVersion, yours: &FleetConfig) -> CtlError {
        let current = match self.current().await {
            Ok(Some(current)) => current,
            Ok(None) => return CtlError::NoConfig,
            Err(error) => return error,
        };
        let base = match self.version(expected).await {
            Ok(base) => base.config,
            Err(error) => return error,
        };
        let theirs = difference(&base, &current.config, ("expected", "in force"));
        let yours = difference(&base, yours, ("expected", "yours"));
        let differences = format!("{theirs}\n{yours}");
        CtlError::Conflict {
            expected,
            current: current.head.version,
            differences,
        }
    }
}

fn change(author: String, reason: String) -> Change {
    let now = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    Change {
        id: ChangeId::new(uuid::Uuid::new_v4().to_string()),
        author,
        reason,
        submitted_at_ms: now.as_millis() as u64,
    }
}
