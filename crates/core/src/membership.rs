//! Which endpoints and hosts exist, from a list that lags and from evidence.
//!
//! The platform's list lags and may show an old state again. Leaving is
//! therefore sticky within one incarnation, and so is departure: only a
//! higher incarnation brings a name back to life.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;

use crate::hosts::{Endpoint, Host, HostList, HostState};
use crate::ids::{EndpointId, HostId, Incarnation};

/// Lists in a row without a live name, after which it has departed.
const ABSENT_LISTS: u32 = 3;

/// The merged view of hosts and endpoints.
///
/// # Example
///
/// ```
/// use chalkrock_core::{HostList, Membership};
///
/// let mut members = Membership::default();
/// assert!(!members.merge(&HostList::default()));
/// ```
#[derive(Clone, Debug, Default)]
pub struct Membership {
    hosts: HashMap<HostId, Host>,
    endpoints: HashMap<EndpointId, Endpoint>,
    departed_hosts: HashMap<HostId, Incarnation>,
    departed_endpoints: HashMap<EndpointId, Incarnation>,
    absences: HashMap<Arc<str>, u32>,
}

impl Membership {
    /// Merges a list from the platform. Returns whether anything changed.
    pub fn merge(&mut self, list: &HostList) -> bool {
        let mut changed = false;
        for host in &list.hosts {
            changed |= self.merge_host(host);
        }
        for endpoint in &list.endpoints {
            changed |= self.merge_endpoint(endpoint);
        }
        changed | self.drop_unlisted(list)
    }

    /// Marks an endpoint as leaving on direct evidence: it said so itself, or
    /// another host saw it. Returns whether that was news.
    pub fn mark_leaving(&mut self, name: &EndpointId, incarnation: Incarnation) -> bool {
        match self.endpoints.get_mut(name) {
            Some(known) if known.incarnation == incarnation && known.state == HostState::Live => {
                known.state = HostState::Leaving;
                true
            }
            _ => false,
        }
    }

    /// The endpoint of a name.
    pub fn endpoint(&self, name: &EndpointId) -> Option<&Endpoint> {
        self.endpoints.get(name)
    }

    /// All hosts and endpoints, by name.
    pub fn list(&self) -> HostList {
        let mut hosts: Vec<_> = self.hosts.values().cloned().collect();
        let mut endpoints: Vec<_> = self.endpoints.values().cloned().collect();
        hosts.sort_by(|a, b| a.name.cmp(&b.name));
        endpoints.sort_by(|a, b| a.name.cmp(&b.name));
        HostList { hosts, endpoints }
    }

    fn merge_host(&mut self, host: &Host) -> bool {
        if self
            .departed_hosts
            .get(&host.name)
            .is_some_and(|gone| *gone >= host.incarnation)
        {
            return false;
        }
        let mut merged = host.clone();
        if let Some(known) = self.hosts.get(&host.name) {
            if known.incarnation > host.incarnation {
                return false;
            }
            if known.incarnation == host.incarnation {
                merged.state = known.state.max(host.state);
            }
            if *known == merged {
                return false;
            }
        }
        self.hosts.insert(merged.name.clone(), merged);
        true
    }

    fn merge_endpoint(&mut self, endpoint: &Endpoint) -> bool {
        let departed = self.departed_endpoints.get(&endpoint.name);
        if departed.is_some_and(|gone| *gone >= endpoint.incarnation) {
            return false;
        }
        let mut merged = endpoint.clone();
        if let Some(known) = self.endpoints.get(&endpoint.name) {
            if known.incarnation > endpoint.incarnation {
                return false;
            }
            if known.incarnation == endpoint.incarnation {
                merged.state = known.state.max(endpoint.state);
            }
            if *known == merged {
                return false;
            }
        }
        self.endpoints.insert(merged.name.clone(), merged);
        true
    }

    /// A name that lists no longer show has departed: at once if it was
    /// leaving, else after [`ABSENT_LISTS`] lists in a row, since one list may
    /// be from before the name joined.
    fn drop_unlisted(&mut self, list: &HostList) -> bool {
        let before = self.hosts.len() + self.endpoints.len();
        let listed: HashSet<&str> = list
            .hosts
            .iter()
            .map(|host| host.name.as_str())
            .chain(list.endpoints.iter().map(|endpoint| endpoint.name.as_str()))
            .collect();
        let absences = &mut self.absences;
        let mut departs = |name: &str, state: HostState| {
            if listed.contains(name) {
                absences.remove(name);
                return false;
            }
            let count = absences.entry(name.into()).or_insert(0);
            *count += 1;
            state == HostState::Leaving || *count >= ABSENT_LISTS
        };
        let hosts = self
            .hosts
            .extract_if(|name, host| departs(name.as_str(), host.state));
        self.departed_hosts
            .extend(hosts.map(|(name, host)| (name, host.incarnation)));
        let endpoints = self
            .endpoints
            .extract_if(|name, e| departs(name.as_str(), e.state));
        self.departed_endpoints
            .extend(endpoints.map(|(name, e)| (name, e.incarnation)));
        self.hosts.len() + self.endpoints.len() != before
    }
}
