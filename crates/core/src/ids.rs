//! Names and numbers that identify the objects of a fleet.
//!
//! Names are shared immutable strings, so that cloning one costs a counter.
//! Each kind of name is a type of its own: an endpoint can't be passed where
//! a host is expected.

use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

macro_rules! name {
    ($(#[$doc:meta])* $id:ident) => {
        $(#[$doc])*
        #[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $id(Arc<str>);

        impl $id {
            /// Wraps a name.
            pub fn new(name: impl Into<Arc<str>>) -> Self {
                Self(name.into())
            }

            /// The name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $id {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl From<&str> for $id {
            fn from(name: &str) -> Self {
                Self::new(name)
            }
        }
    };
}

name! {
    /// A host that runs a router and an agent.
    HostId
}
name! {
    /// An availability zone.
    ZoneId
}
name! {
    /// An organisation whose callers send requests.
    OrganisationId
}
name! {
    /// A pool of endpoints that serve the same models, or one service.
    PoolId
}
name! {
    /// An endpoint: a model engine or a replica of a plain service.
    EndpointId
}
name! {
    /// A model, as callers name it.
    ModelId
}
name! {
    /// One request of a caller, the same over all its attempts.
    RequestId
}
name! {
    /// A change of configuration, chosen by its author's tool.
    ChangeId
}
name! {
    /// The version of the software that an endpoint runs; empty where it is not known.
    BuildVersion
}

impl Default for BuildVersion {
    fn default() -> Self {
        Self::new("")
    }
}

impl BuildVersion {
    /// Whether it is known.
    pub fn is_known(&self) -> bool {
        !self.0.is_empty()
    }
}

/// The version of a configuration. It only rises.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct ConfigVersion(pub u64);

impl ConfigVersion {
    /// The version that follows this one.
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

impl fmt::Display for ConfigVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "v{}", self.0)
    }
}

/// One life of a host or endpoint: a restart under the same name has a higher one.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Incarnation(pub u64);
