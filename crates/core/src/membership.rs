//! Membership of hosts and endpoints, merged from the platform's lists and
//! direct observations.
//!
//! A list may be out of date and show an earlier state again. Leaving and
//! departed members therefore return only with a higher incarnation.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;

use crate::hosts::{Endpoint, Host, HostList, HostState};
use crate::ids::{EndpointId, HostId, Incarnation};

/// Consecutive lists without a live member after which it has departed.
const MAX_ABSENT_LISTS: u32 = 3;

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
    absence_counts: HashMap<Arc<str>, u32>,
}

impl Membership {
    /// Merges a list from the platform and returns whether anything changed.
    pub fn merge(&mut self, list: &HostList) -> bool {
        let mut changed = false;
        for host in &list.hosts {
            changed |= self.merge_host(host);
        }
        for endpoint in &list.endpoints {
            changed |= self.merge_endpoint(endpoint);
        }
        changed | self.remove_unlisted(list)
    }

    /// Marks an endpoint as leaving on a report by itself or another host.
    /// Returns whether its state changed.
    pub fn mark_leaving(&mut self, name: &EndpointId, incarnation: Incarnation) -> bool {
        match self.endpoints.get_mut(name) {
            Some(known) if known.incarnation == incarnation && known.state == HostState::Live => {
                known.state = HostState::Leaving;
                true
            }
            _ => false,
        }
    }

    /// Returns an endpoint by its name.
    pub fn endpoint(&self, name: &EndpointId) -> Option<&Endpoint> {
        self.endpoints.get(name)
    }

    /// Returns all hosts and endpoints, sorted by name.
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
            .is_some_and(|departed| *departed >= host.incarnation)
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
        if departed.is_some_and(|departed| *departed >= endpoint.incarnation) {
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

    /// Removes members that the list lacks: leaving ones at once, live ones after
    /// [`MAX_ABSENT_LISTS`] lists, since a list may predate the member's start.
    fn remove_unlisted(&mut self, list: &HostList) -> bool {
        let before = self.hosts.len() + self.endpoints.len();
        let listed: HashSet<&str> = list
            .hosts
            .iter()
            .map(|host| host.name.as_str())
            .chain(list.endpoints.iter().map(|endpoint| endpoint.name.as_str()))
            .collect();
        let absence_counts = &mut self.absence_counts;
        let mut has_departed = |name: &str, state: HostState| {
            if listed.contains(name) {
                absence_counts.remove(name);
                return false;
            }
            let count = absence_counts.entry(name.into()).or_insert(0);
            *count += 1;
            state == HostState::Leaving || *count >= MAX_ABSENT_LISTS
        };
        let hosts = self
            .hosts
            .extract_if(|name, host| has_departed(name.as_str(), host.state));
        self.departed_hosts
            .extend(hosts.map(|(name, host)| (name, host.incarnation)));
        let endpoints = self
            .endpoints
            .extract_if(|name, e| has_departed(name.as_str(), e.state));
        self.departed_endpoints
            .extend(endpoints.map(|(name, e)| (name, e.incarnation)));
        self.hosts.len() + self.endpoints.len() != before
    }
}
