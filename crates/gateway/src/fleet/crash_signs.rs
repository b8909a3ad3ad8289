//! What the list of endpoints shows of their crashes.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;

use chalkrock_core::rendezvous::MemberHash;
use chalkrock_core::{Endpoint, EndpointId};
use chalkrock_routing::{CrashedRuns, EndpointState};

use crate::event_log::CrashNotice;
use crate::fleet::Fleet;

impl Fleet {
    /// Live endpoints at which requests of this host ended lately or are in progress.
    pub(crate) fn endpoints_in_use(&self) -> Vec<Arc<Endpoint>> {
        let starts = self.poison.recent_endpoints();
        if starts.is_empty() {
            return Vec::new();
        }
        let members = self.endpoints.listed_or_lapsed();
        let in_use = members.filter(|member| {
            let state = self.endpoints.state(&member.endpoint.name);
            starts.contains(&member.hash.short()) && state != Some(EndpointState::Leaving)
        });
        in_use.map(|member| member.endpoint.clone()).collect()
    }

    /// Signs of crashes of endpoints that were in use before the list changed. An endpoint that
    /// leaves is unlisted or marked before another one uses its address.
    pub(crate) fn crash_signs(
        &self,
        in_use: Vec<Arc<Endpoint>>,
    ) -> Vec<(Arc<Endpoint>, CrashNotice)> {
        if in_use.is_empty() {
            return Vec::new();
        }
        let starts = in_use.iter().map(|endpoint| endpoint.start_hash());
        let starts: HashSet<MemberHash> = starts.collect();
        let listed = self.endpoints.listed();
        let others = listed.filter(|member| !starts.contains(&member.hash));
        let (addresses, names): (HashSet<SocketAddr>, HashSet<&EndpointId>) = others
            .map(|member| (member.endpoint.address, &member.endpoint.name))
            .unzip();
        let signs = in_use.into_iter().filter_map(|endpoint| {
            let is_replaced =
                addresses.contains(&endpoint.address) || names.contains(&endpoint.name);
            let notice = match self.endpoints.state(&endpoint.name) {
                Some(EndpointState::Unlisted) => CrashNotice::Unlisted,
                Some(EndpointState::Leaving) => return None,
                _ if is_replaced => CrashNotice::Replaced,
                _ => return None,
            };
            Some((endpoint, notice))
        });
        signs.collect()
    }

    /// Records a crash that this host confirmed. What it and other hosts have had of the endpoint
    /// before does not show that it can be reached. Returns this host's recent requests there.
    pub(crate) fn record_endpoint_crash(&mut self, start: u32, now_ms: u64) -> CrashedRuns {
        self.reachability.forget_endpoint(start);
        self.health(start).record_crash();
        self.poison.record_endpoint_crash(start, now_ms)
    }

    /// Records some endpoints as alive if they were still listed when the list was last
    /// confirmed: the entry of one that has crashed lapses within a time.
    pub(crate) fn record_listed_alive(&mut self, starts: &HashSet<u32>, now_ms: u64) {
        let Some(list_age_ms) = self.build_history.list_age_ms(now_ms) else {
            return;
        };
        let alive_at_ms = now_ms.saturating_sub(list_age_ms + self.entry_delay_ms);
        let listed = self.endpoints.listed().map(|member| member.hash.short());
        let listed: Vec<u32> = listed.filter(|start| starts.contains(start)).collect();
        for start in listed {
            self.poison.record_alive(start, alive_at_ms);
        }
    }
}
