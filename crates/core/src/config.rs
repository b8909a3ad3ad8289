//! The fleet configuration that operators write: organisations and pools.
//!
//! [`FleetConfig::validate`] rejects what deserialisation accepts: duplicate
//! names and keys, and values out of range.

use std::collections::HashSet;

use serde::{Deserialize, Serialize};

use crate::error::{Error, ErrorKind};
use crate::ids::{ModelId, OrganisationId, PoolId};

/// The smallest load multiple of a pool. Below it, requests are rejected
/// while engines have spare capacity.
pub const MIN_LOAD_MULTIPLE: f64 = 1.05;
/// The largest load multiple of a pool.
pub const MAX_LOAD_MULTIPLE: f64 = 10.0;
/// Length of a SHA-256 digest in hexadecimal digits.
const KEY_DIGEST_DIGITS: usize = 64;

/// The whole configuration of a fleet.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FleetConfig {
    /// Organisations and the keys of their callers.
    #[serde(default)]
    pub organisations: Vec<Organisation>,
    /// Pools of endpoints.
    #[serde(default)]
    pub pools: Vec<Pool>,
}

/// An organisation and the keys of its callers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Organisation {
    /// Its name.
    pub name: OrganisationId,
    /// Its share of a pool relative to other organisations.
    #[serde(default = "one")]
    pub weight: u32,
    /// Lower-case hexadecimal SHA-256 digests of its keys.
    #[serde(default)]
    pub key_sha256: Vec<String>,
}

/// The kind of a pool's endpoints.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "serves")]
pub enum PoolKind {
    /// Model engines.
    Engines {
        /// The models that they serve.
        models: Vec<ModelId>,
    },
    /// Instances of a service that has the pool's name.
    Service {
        /// Whether calls run at most once, whatever their method and headers.
        #[serde(default)]
        unsafe_to_repeat: bool,
    },
}

/// A pool of endpoints and its limits.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Pool {
    /// Its name, to which endpoints refer.
    pub name: PoolId,
    /// Engines or a service.
    #[serde(flatten)]
    pub kind: PoolKind,
    /// The most load of an endpoint, as a multiple of the pool's mean load.
    #[serde(default = "default_load_multiple")]
    pub load_multiple: f64,
    /// Time limit of a request, from its arrival to the last byte of the response.
    #[serde(default = "default_deadline_ms")]
    pub deadline_ms: u64,
}

fn one() -> u32 {
    1
}

fn default_load_multiple() -> f64 {
    1.25
}

fn default_deadline_ms() -> u64 {
    120_000
}

impl FleetConfig {
    /// Validates the configuration.
    ///
    /// # Errors
    ///
    /// Returns the first violation, with the path of the value.
    ///
    /// # Example
    ///
    /// ```
    /// use chalkrock_core::{FleetConfig, Organisation};
    ///
    /// let mut config = FleetConfig::default();
    /// config.organisations.push(Organisation {
    ///     name: "finder".into(),
    ///     weight: 0,
    ///     key_sha256: vec![],
    /// });
    /// let error = config.validate().unwrap_err();
    /// assert_eq!(error.path(), "organisations[0].weight");
    /// ```
    pub fn validate(&self) -> Result<(), Error> {
        self.check_organisations()?;
        self.check_pools()
    }

    /// Returns the pool that serves a model, if any.
    pub fn pool_for_model(&self, model: &str) -> Option<&Pool> {
        self.pools.iter().find(|pool| match &pool.kind {
            PoolKind::Engines { models } => models.iter().any(|m| m.as_str() == model),
            PoolKind::Service { .. } => false,
        })
    }

    /// Returns the pool of a service, if any.
    pub fn pool_for_service(&self, name: &str) -> Option<&Pool> {
        self.pools.iter().find(|pool| {
            matches!(pool.kind, PoolKind::Service { .. }) && pool.name.as_str() == name
        })
    }

    /// Returns the organisation of the key with this SHA-256 digest.
    pub fn organisation_for_key(&self, digest: &str) -> Option<&Organisation> {
        self.organisations
            .iter()
            .find(|org| org.key_sha256.iter().any(|known| known == digest))
    }

    fn check_organisations(&self) -> Result<(), Error> {
        let mut names = HashSet::new();
        let mut digests = HashSet::new();
        for (i, org) in self.organisations.iter().enumerate() {
            let path = |field: &str| format!("organisations[{i}].{field}");
            if !names.insert(&org.name) {
                return Err(Error::new(
                    ErrorKind::Duplicate,
                    path("name"),
                    "a name of its own",
                ));
            }
            if org.weight == 0 {
                return Err(Error::new(ErrorKind::Range, path("weight"), "1 or more"));
            }
            for digest in &org.key_sha256 {
                let is_digest = digest.len() == KEY_DIGEST_DIGITS
                    && digest
                        .bytes()
                        .all(|b| b.is_ascii_hexdigit() && !b.is_ascii_uppercase());
                if !is_digest {
                    let expected = "64 lower-case hexadecimal digits";
                    return Err(Error::new(ErrorKind::Range, path("key_sha256"), expected));
                }
                if !digests.insert(digest) {
                    let expected = "a key that no other entry holds";
                    return Err(Error::new(
                        ErrorKind::Duplicate,
                        path("key_sha256"),
                        expected,
                    ));
                }
            }
        }
        Ok(())
    }

    fn check_pools(&self) -> Result<(), Error> {
        let mut names = HashSet::new();
        let mut models_seen = HashSet::new();
        for (i, pool) in self.pools.iter().enumerate() {
            let path = |field: &str| format!("pools[{i}].{field}");
            if !names.insert(&pool.name) {
                return Err(Error::new(
                    ErrorKind::Duplicate,
                    path("name"),
                    "a name of its own",
                ));
            }
            if !(MIN_LOAD_MULTIPLE..=MAX_LOAD_MULTIPLE).contains(&pool.load_multiple) {
                let expected = format!("{MIN_LOAD_MULTIPLE} to {MAX_LOAD_MULTIPLE}");
                return Err(Error::new(
                    ErrorKind::Range,
                    path("load_multiple"),
                    expected,
                ));
            }
            if pool.deadline_ms == 0 {
                return Err(Error::new(
                    ErrorKind::Range,
                    path("deadline_ms"),
                    "1 or more",
                ));
            }
            if let PoolKind::Engines { models } = &pool.kind {
                for model in models {
                    if !models_seen.insert(model) {
                        let expected = "a model that no other pool serves";
                        return Err(Error::new(ErrorKind::Duplicate, path("models"), expected));
                    }
                }
            }
        }
        Ok(())
    }
}
