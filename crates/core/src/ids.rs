//! Identifiers of hosts, endpoints and other objects of a fleet.
//!
//! Each kind is a distinct type, so that an endpoint's name can't be passed
//! as a host's. Cloning a name only increments a reference count.

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

            /// Returns the name as a string slice.
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
    /// The name of a host, which runs a router and an agent.
    HostId
}
name! {
    /// The name of an availability zone.
    ZoneId
}
name! {
    /// The name of an organisation whose callers send requests.
    OrganisationId
}
name! {
    /// The name of a pool: endpoints that serve the same models or one service.
    PoolId
}
name! {
    /// The name of an endpoint: a model engine or an instance of a service.
    EndpointId
}
name! {
    /// The name of a model in callers' requests.
    ModelId
}
name! {
    /// The ID of a caller's request, shared by all its attempts.
    RequestId
}
name! {
    /// The ID of a configuration change, chosen by the client that submits it.
    ChangeId
}
name! {
    /// The version of the software that an endpoint runs; empty if unknown.
    BuildVersion
}

impl Default for BuildVersion {
    fn default() -> Self {
        Self::new("")
    }
}

impl BuildVersion {
    /// Whether the version is known.
    pub fn is_known(&self) -> bool {
        !self.0.is_empty()
    }
}

/// The version of a configuration; increases with each change.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct ConfigVersion(pub u64);

impl ConfigVersion {
    /// Returns the version that follows this one.
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

impl fmt::Display for ConfigVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "v{}", self.0)
    }
}

/// One run of a host or endpoint; higher after each restart under the same name.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Incarnation(pub u64);
