//! The configuration that operators write: organisations, pools, policies.
//!
//! It is one versioned document. [`FleetConfig::check`] finds what a parser
//! can't: names given twice, names that nothing defines, values out of range.

use std::collections::HashSet;

use serde::{Deserialize, Serialize};

use crate::error::{Error, ErrorKind};
use crate::ids::{ModelId, OrganisationId, PoolId};

/// The smallest load multiple a pool may promise. Below it, requests are
/// refused for want of a place while engines stand idle.
pub const MIN_LOAD_MULTIPLE: f64 = 1.05;
/// The largest load multiple that still says something.
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

/// An organisation whose callers share weight and keys.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Organisation {
    /// Its name.
    pub name: OrganisationId,
    /// Its share of a pool against the other organisations' weights.
    #[serde(default = "one")]
    pub weight: u32,
    /// SHA-256 digests, in hexadecimal, of the keys it may use.
    #[serde(default)]
    pub key_sha256: Vec<String>,
}

/// What a pool's endpoints are.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "serves")]
pub enum PoolKind {
    /// Model engines that serve these models.
    Engines {
        /// Models as callers name them.
        models: Vec<ModelId>,
    },
    /// Replicas of one plain service, named as the pool.
    Service {
        /// Whether each call may run at most once, even if unmarked.
        #[serde(default)]
        unsafe_to_repeat: bool,
    },
}

/// A pool of endpoints with its promises.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Pool {
    /// Its name. Endpoints in the platform's list name their pool.
    pub name: PoolId,
    /// Engines or a service.
    #[serde(flatten)]
    pub kind: PoolKind,
    /// No endpoint carries more than this multiple of the pool's mean load.
    #[serde(default = "default_load_multiple")]
    pub load_multiple: f64,
    /// How long a request may take from entry to its last byte.
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
    /// Checks the document as a whole.
    ///
    /// # Errors
    ///
    /// The first violation found, with the path of the value.
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
    /// let error = config.check().unwrap_err();
    /// assert_eq!(error.place(), "organisations[0].weight");
    /// ```
    pub fn check(&self) -> Result<(), Error> {
        self.check_organisations()?;
        self.check_pools()
    }

    /// The pool that serves a model, if any.
    pub fn pool_for_model(&self, model: &str) -> Option<&Pool> {
        self.pools.iter().find(|pool| match &pool.kind {
            PoolKind::Engines { models } => models.iter().any(|m| m.as_str() == model),
            PoolKind::Service { .. } => false,
        })
    }

    /// The pool of a plain service, if any.
    pub fn pool_for_service(&self, name: &str) -> Option<&Pool> {
        self.pools.iter().find(|pool| {
            matches!(pool.kind, PoolKind::Service { .. }) && pool.name.as_str() == name
        })
    }

    /// The organisation that holds a key, by the key's digest.
    pub fn organisation_for_key(&self, digest: &str) -> Option<&Organisation> {
        self.organisations
            .iter()
            .find(|org| org.key_sha256.iter().any(|known| known == digest))
    }

    fn check_organisations(&self) -> Result<(), Error> {
        let mut names = HashSet::new();
        let mut digests = HashSet::new();
        for (i, org) in self.organisations.iter().enumerate() {
            let place = |field: &str| format!("organisations[{i}].{field}");
            if !names.insert(&org.name) {
                return Err(Error::new(
                    ErrorKind::Duplicate,
                    place("name"),
                    "a name of its own",
                ));
            }
            if org.weight == 0 {
                return Err(Error::new(ErrorKind::Range, place("weight"), "1 or more"));
            }
            for digest in &org.key_sha256 {
                let is_digest = digest.len() == KEY_DIGEST_DIGITS
                    && digest
                        .bytes()
                        .all(|b| b.is_ascii_hexdigit() && !b.is_ascii_uppercase());
                if !is_digest {
                    let expected = "64 lower-case hexadecimal digits";
                    return Err(Error::new(ErrorKind::Range, place("key_sha256"), expected));
                }
                if !digests.insert(digest) {
                    let expected = "a key that no other entry holds";
                    return Err(Error::new(
                        ErrorKind::Duplicate,
                        place("key_sha256"),
                        expected,
                    ));
                }
            }
        }
        Ok(())
    }

    fn check_pools(&self) -> Result<(), Error> {
        let mut names = HashSet::new();
        let mut served = HashSet::new();
        for (i, pool) in self.pools.iter().enumerate() {
            let place = |field: &str| format!("pools[{i}].{field}");
            if !names.insert(&pool.name) {
                return Err(Error::new(
                    ErrorKind::Duplicate,
                    place("name"),
                    "a name of its own",
                ));
            }
            if !(MIN_LOAD_MULTIPLE..=MAX_LOAD_MULTIPLE).contains(&pool.load_multiple) {
                let expected = format!("{MIN_LOAD_MULTIPLE} to {MAX_LOAD_MULTIPLE}");
                return Err(Error::new(
                    ErrorKind::Range,
                    place("load_multiple"),
                    expected,
                ));
            }
            if pool.deadline_ms == 0 {
                return Err(Error::new(
                    ErrorKind::Range,
                    place("deadline_ms"),
                    "1 or more",
                ));
            }
            if let PoolKind::Engines { models } = &pool.kind {
                for model in models {
                    if !served.insert(model) {
                        let expected = "a model that no other pool serves";
                        return Err(Error::new(ErrorKind::Duplicate, place("models"), expected));
                    }
                }
            }
        }
        Ok(())
    }
}
