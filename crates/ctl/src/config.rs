//! Submitting configurations, and looking at their history.

use std::path::Path;
use std::time::{SystemTime, UNIX_EPOCH};

use chalkrock_core::{ChangeId, ConfigVersion, FleetConfig};
use chalkrock_platform::{Change, ConfigHead, SubmitError};
use chalkrock_process::load_settings;
use serde::Serialize;
use similar::TextDiff;

use crate::error::CtlError;
use crate::fleet::Session;

/// The configuration in force in the platform.
#[derive(Clone, Debug, Serialize)]
pub struct VersionedConfig {
    /// Its version and how it came.
    pub head: ConfigHead,
    /// The document.
    pub config: FleetConfig,
}

/// What `apply` is asked to do.
#[derive(Clone, Debug)]
pub struct Submission<'a> {
    /// The file.
    pub file: &'a Path,
    /// The version that the file was made from; the one in force if not said.
    pub expect: Option<ConfigVersion>,
    /// Who submits it.
    pub author: String,
    /// Why.
    pub reason: String,
    /// Only check and show the difference.
    pub dry_run: bool,
}

/// What `apply` did.
#[derive(Clone, Debug, Serialize)]
pub struct Applied {
    /// The new version, or the one that stays in a dry run.
    pub version: ConfigVersion,
    /// Whether it was submitted.
    pub submitted: bool,
    /// The difference to the version before.
    pub difference: String,
}

/// Reads and checks a configuration file.
pub(crate) fn read_file(file: &Path) -> Result<FleetConfig, CtlError> {
    let config: FleetConfig = load_settings(file)?;
    config.check().map_err(|source| CtlError::Invalid {
        file: file.display().to_string(),
        source,
    })?;
    Ok(config)
}

/// The difference of two documents, as a unified diff of their YAML.
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
    /// The configuration in force, `None` before the first.
    ///
    /// # Errors
    ///
    /// If the platform fails.
    pub async fn current(&self) -> Result<Option<VersionedConfig>, CtlError> {
        let Some(head) = self.store().read_head().await? else {
            return Ok(None);
        };
        let config = self.store().read_config(&head).await?;
        Ok(Some(VersionedConfig { head, config }))
    }

    /// An earlier version, with what made it.
    ///
    /// # Errors
    ///
    /// If there is no such version, or the platform fails.
    pub async fn version(&self, version: ConfigVersion) -> Result<VersionedConfig, CtlError> {
        let head = self
            .history()
            .await?
            .into_iter()
            .find(|head| head.version == version);
        let head = head.ok_or(CtlError::NoVersion(version))?;
        let config = self.store().read_config(&head).await?;
        Ok(VersionedConfig { head, config })
    }

    /// The versions that the head remembers, newest first.
    ///
    /// # Errors
    ///
    /// If the platform fails.
    pub async fn history(&self) -> Result<Vec<ConfigHead>, CtlError> {
        Ok(self.store().read_history().await?)
    }

    /// Checks a file.
    ///
    /// # Errors
    ///
    /// If the file is not valid.
    pub fn check(&self, file: &Path) -> Result<(), CtlError> {
        read_file(file).map(|_| ())
    }

    /// The difference between the version in force and a file.
    ///
    /// # Errors
    ///
    /// If the file is not valid, or the platform fails.
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
    /// If the file is not valid, another change came first, or the platform
    /// fails; each says whether anything was changed.
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

    /// Submits the content of an earlier version as a new one.
    ///
    /// # Errors
    ///
    /// As for [`Session::apply`].
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

    /// The error of an operator who lost a race, with both differences to the
    /// version that the file was made from.
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
