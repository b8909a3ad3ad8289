//! Which endpoints exist and which of them accept new work.
//!
//! Entries come from the store, as a full list or as changes, and from other hosts,
//! in the order of the store's versions. A restarted endpoint keeps its name and gets
//! another incarnation, which counts as another endpoint. Incarnations identify
//! starts but do not order them reliably, since endpoints take them from the wall
//! clock.
//!
//! Within one incarnation leaving is sticky: no late, reordered or stale update
//! reverts it. An endpoint may report in an answer that it leaves before its entry
//! does, or even before the entry is known here, so leaving starts are kept apart
//! from the list.
//!
//! An unlisted endpoint accepts no new work until it is listed again. Entries that
//! lapse while the store is unavailable are kept for a short time after its return,
//! in which live endpoints are listed again. Endpoints of an evacuated zone accept no
//! new work until the evacuation ends.

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::sync::Arc;

use chalkrock_core::rendezvous::MemberHash;
use chalkrock_core::{Endpoint, EndpointId, EndpointKind, HostState, PoolId, ZoneId};
use xxhash_rust::xxh3::Xxh3;

/// How long an endpoint that left is remembered; a late update can't revive it.
const RETENTION_MS: u64 = 120_000;

/// Whether an endpoint may be given new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointState {
    /// Listed and live.
    Live,
    /// It would accept work, but its zone is evacuated.
    Evacuated,
    /// It reported to this host or another that it leaves.
    Leaving,
    /// Unlisted after the store was unavailable, and still in use.
    Lapsed,
    /// No longer listed.
    Unlisted,
}

/// An endpoint of a pool.
#[derive(Clone, Debug)]
pub struct PoolMember {
    /// The endpoint.
    pub endpoint: Arc<Endpoint>,
    /// Hash of its start, for ranking and reports.
    pub hash: MemberHash,
    /// Whether its zone is evacuated.
    pub is_evacuated: bool,
}

#[derive(Clone, Debug)]
struct KnownEndpoint {
    member: PoolMember,
    is_listed: bool,
    /// Whether it was unlisted while lapsed entries are kept.
    is_lapsed: bool,
    unlisted_at_ms: u64,
}

impl KnownEndpoint {
    fn state(&self) -> EndpointState {
        if self.member.endpoint.state == HostState::Leaving {
            EndpointState::Leaving
        } else if self.member.is_evacuated && (self.is_listed || self.is_lapsed) {
            EndpointState::Evacuated
        } else if self.is_listed {
            EndpointState::Live
        } else if self.is_lapsed {
            EndpointState::Lapsed
        } else {
            EndpointState::Unlisted
        }
    }

    fn accepts_work(&self) -> bool {
        matches!(self.state(), EndpointState::Live | EndpointState::Lapsed)
    }

    fn is_serving(&self) -> bool {
        self.accepts_work() || self.state() == EndpointState::Evacuated
    }

    fn unlist(&mut self, is_lapsed: bool, now_ms: u64) {
        self.is_listed = false;
        self.is_lapsed = is_lapsed;
        self.unlisted_at_ms = now_ms;
    }
}

/// Hash of all that an entry states, the same on all machines.
fn content_hash(endpoint: &Endpoint) -> u64 {
    let Endpoint {
        name,
        kind,
        pool,
        zone,
        address,
        slots,
        incarnation,
        state,
        build,
    } = endpoint;
    let address = address.to_string();
    let texts = [
        name.as_str(),
        pool.as_str(),
        zone.as_str(),
        &address,
        build.as_str(),
    ];
    let mut hash = Xxh3::new();
    for text in texts {
        // The length prefix keeps adjacent fields apart.
        hash.update(&(text.len() as u64).to_le_bytes());
        hash.update(text.as_bytes());
    }
    hash.update(&slots.to_le_bytes());
    hash.update(&incarnation.0.to_le_bytes());
    let is_engine = *kind == EndpointKind::Engine;
    let is_leaving = *state == HostState::Leaving;
    hash.update(&[u8::from(is_engine), u8::from(is_leaving)]);
    hash.digest()
}

/// All endpoints known to one host.
///
/// # Example
///
/// ```
/// use chalkrock_core::PoolId;
/// use chalkrock_routing::EndpointTable;
///
/// let mut table = EndpointTable::default();
/// table.replace(Vec::new(), 0);
/// assert!(table.live(&PoolId::from("chat")).is_empty());
/// ```
#[derive(Clone, Debug, Default)]
pub struct EndpointTable {
    /// Sorted by name, so that pools need no sorting after a change.
    entries: BTreeMap<EndpointId, KnownEndpoint>,
    live: HashMap<PoolId, Arc<[PoolMember]>>,
    /// Endpoints that accept new work or would without evacuations.
    serving: HashMap<PoolId, Arc<[PoolMember]>>,
    /// Endpoints that are leaving and still listed.
    leaving_members: HashMap<PoolId, Arc<[PoolMember]>>,
    keeps_lapsed: bool,
    evacuated: BTreeSet<ZoneId>,
    /// Starts that reported that they leave, by short hash.
    leaving_starts: HashMap<u32, LeavingStart>,
    revision: u64,
}

/// A start that reported that it leaves, other than by its entry.
#[derive(Clone, Debug)]
struct LeavingStart {
    /// `None` while no entry of it is known.
    endpoint: Option<Arc<Endpoint>>,
    reported_at_ms: u64,
}

impl EndpointTable {
    /// Replaces the whole list; endpoints missing from it become unlisted.
    pub fn replace(&mut self, endpoints: Vec<Endpoint>, now_ms: u64) {
        let keeps_lapsed = self.keeps_lapsed;
        for known in self.entries.values_mut().filter(|known| known.is_listed) {
            known.unlist(keeps_lapsed, now_ms);
        }
        for endpoint in endpoints {
            self.merge(endpoint);
        }
        self.drop_expired(now_ms);
        self.rebuild();
    }

    /// Returns an endpoint of an older list, or the known start if that is later.
    pub fn later_start(&self, listed: Endpoint) -> Endpoint {
        let known = self.entries.get(&listed.name);
        let known = known.map(|known| &*known.member.endpoint);
        let later = known.filter(|known| known.incarnation > listed.incarnation);
        later.cloned().unwrap_or(listed)
    }

    /// Adds or updates one endpoint's entry.
    pub fn upsert(&mut self, endpoint: Endpoint) {
        self.merge(endpoint);
        self.rebuild();
    }

    /// Unlists an endpoint.
    pub fn remove(&mut self, name: &EndpointId, now_ms: u64) {
        if let Some(known) = self.entries.get_mut(name) {
            known.unlist(self.keeps_lapsed, now_ms);
        }
        self.drop_expired(now_ms);
        self.rebuild();
    }

    /// Unlists an endpoint whose entry is invalid, without keeping it as lapsed.
    pub fn discard(&mut self, name: &EndpointId, now_ms: u64) {
        if let Some(known) = self.entries.get_mut(name) {
            known.unlist(false, now_ms);
        }
        self.rebuild();
    }

    /// Sets whether endpoints that become unlisted accept work, since entries may
    /// lapse while the store is unavailable. Clearing it also ends this for those now
    /// lapsed.
    pub fn keep_lapsed(&mut self, keeps_lapsed: bool) {
        self.keeps_lapsed = keeps_lapsed;
        if keeps_lapsed {
            return;
        }
        for known in self.entries.values_mut() {
            known.is_lapsed = false;
        }
        self.rebuild();
    }

    /// Replaces the set of evacuated zones, whose endpoints accept no new work.
    pub fn set_evacuated(&mut self, zones: BTreeSet<ZoneId>) {
        self.evacuated = zones;
        for known in self.entries.values_mut() {
            let member = &mut known.member;
            member.is_evacuated = self.evacuated.contains(&member.endpoint.zone);
        }
        self.rebuild();
    }

    /// Marks starts, by short hash, as leaving. Returns the endpoints newly marked.
    pub fn mark_leaving(&mut self, starts: &[u32], now_ms: u64) -> Vec<Arc<Endpoint>> {
        let is_new = |start: &u32| !self.leaving_starts.contains_key(start);
        let new: Vec<u32> = starts.iter().copied().filter(is_new).collect();
        if new.is_empty() {
            return Vec::new();
        }
        for start in &new {
            let leaving = LeavingStart {
                endpoint: None,
                reported_at_ms: now_ms,
            };
            self.leaving_starts.insert(*start, leaving);
        }
        let mut marked = Vec::new();
        for known in self.entries.values_mut() {
            let start = known.member.hash.short();
            let Some(leaving) = self.leaving_starts.get_mut(&start) else {
                continue;
            };
            if known.member.endpoint.state == HostState::Live {
                let mut endpoint = Endpoint::clone(&known.member.endpoint);
                endpoint.state = HostState::Leaving;
                known.member.endpoint = Arc::new(endpoint);
                marked.push(known.member.endpoint.clone());
            }
            leaving.endpoint = Some(known.member.endpoint.clone());
        }
        if !marked.is_empty() {
            self.rebuild();
        }
        marked
    }

    /// Drops starts that left long ago. Returns those that had an entry.
    pub fn expire_leaving(&mut self, now_ms: u64) -> Vec<Arc<Endpoint>> {
        let mut forgotten = Vec::new();
        let known = &self.entries;
        self.leaving_starts.retain(|start, leaving| {
            let entry = leaving.endpoint.as_ref();
            let entry = entry.and_then(|endpoint| known.get(&endpoint.name));
            let is_known = entry.is_some_and(|known| known.member.hash.short() == *start);
            let is_retained =
                is_known || now_ms.saturating_sub(leaving.reported_at_ms) < RETENTION_MS;
            if !is_retained {
                forgotten.extend(leaving.endpoint.take());
            }
            is_retained
        });
        forgotten
    }

    /// Endpoints of a pool that accept new work, by name.
    pub fn live(&self, pool: &PoolId) -> Arc<[PoolMember]> {
        self.live.get(pool).cloned().unwrap_or_default()
    }

    /// Endpoints of a pool, by name, that would accept new work without evacuations.
    pub fn serving(&self, pool: &PoolId) -> Arc<[PoolMember]> {
        self.serving.get(pool).cloned().unwrap_or_default()
    }

    /// Endpoints of a zone that would accept new work without evacuations.
    pub fn serving_in(&self, zone: &ZoneId) -> impl Iterator<Item = &PoolMember> {
        let serving = self.serving.values().flat_map(|members| members.iter());
        serving.filter(move |member| member.endpoint.zone == *zone)
    }

    /// Whether this start of an endpoint accepts new work, at the build that it was chosen for.
    pub fn accepts_work(&self, endpoint: &Endpoint) -> bool {
        let known = self.entries.get(&endpoint.name);
        known.is_some_and(|known| {
            let listed = &known.member.endpoint;
            let is_same_start = listed.incarnation == endpoint.incarnation;
            is_same_start && listed.build == endpoint.build && known.accepts_work()
        })
    }

    /// Endpoints of a pool that are leaving and still listed, so that their memory
    /// can still be copied.
    pub fn leaving_members(&self, pool: &PoolId) -> Arc<[PoolMember]> {
        self.leaving_members.get(pool).cloned().unwrap_or_default()
    }

    /// All known endpoints, including those leaving or no longer listed.
    pub fn known_members(&self) -> impl Iterator<Item = &PoolMember> {
        self.entries.values().map(|known| &known.member)
    }

    /// State of an endpoint; `None` if it is unknown.
    pub fn state(&self, name: &EndpointId) -> Option<EndpointState> {
        self.entries.get(name).map(KnownEndpoint::state)
    }

    /// For how long an endpoint has been unlisted, in milliseconds; `None` if it is not.
    pub fn unlisted_for_ms(&self, name: &EndpointId, now_ms: u64) -> Option<u64> {
        let known = self.entries.get(name);
        let unlisted = known.filter(|known| known.state() == EndpointState::Unlisted);
        unlisted.map(|known| now_ms.saturating_sub(known.unlisted_at_ms))
    }

    /// Short hashes of leaving endpoints that are listed or lapsed.
    pub fn leaving(&self) -> Vec<u32> {
        let leaving = self.entries.values().filter(|known| {
            known.state() == EndpointState::Leaving && (known.is_listed || known.is_lapsed)
        });
        leaving.map(|known| known.member.hash.short()).collect()
    }

    /// Number of endpoints that accept new work.
    pub fn live_count(&self) -> usize {
        self.live.values().map(|members| members.len()).sum()
    }

    /// Number of endpoints that would accept new work without evacuations.
    pub fn serving_count(&self) -> usize {
        self.serving.values().map(|members| members.len()).sum()
    }

    /// The listed endpoints.
    pub fn listed(&self) -> impl Iterator<Item = &PoolMember> {
        let listed = self.entries.values().filter(|known| known.is_listed);
        listed.map(|known| &known.member)
    }

    /// Endpoints that are listed, or unlisted and still in use.
    pub fn listed_or_lapsed(&self) -> impl Iterator<Item = &PoolMember> {
        let known = self.entries.values();
        let in_use = known.filter(|known| known.is_listed || known.is_lapsed);
        in_use.map(|known| &known.member)
    }

    /// Number of listed endpoints.
    pub fn listed_count(&self) -> usize {
        self.listed().count()
    }

    /// Counts changes of the table. Unlike the store's version, it also counts a list that
    /// replaces another one as of the same version.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// A digest of the listed starts and their builds. Hosts with the same list have the same.
    pub fn digest(&self) -> u64 {
        let starts = self.listed().map(|member| {
            let build = &member.endpoint.build;
            MemberHash::of_start(build.as_str(), member.hash.0).0
        });
        starts.fold(0, |digest, start| digest ^ start)
    }

    /// A digest of all that the listed entries state. Tables with the same one list the same
    /// endpoints in the same state, whatever the versions of their lists.
    pub fn content_digest(&self) -> u64 {
        let contents = self.listed().map(|member| content_hash(&member.endpoint));
        contents.fold(0, |digest, content| digest ^ content)
    }

    /// The entry of an endpoint, if it is listed.
    pub fn listed_endpoint(&self, name: &EndpointId) -> Option<&PoolMember> {
        let known = self.entries.get(name).filter(|known| known.is_listed);
        known.map(|known| &known.member)
    }

    /// Short hashes of the listed endpoints.
    pub fn listed_hashes(&self) -> HashSet<u32> {
        let listed = self.entries.values().filter(|known| known.is_listed);
        listed.map(|known| known.member.hash.short()).collect()
    }

    fn merge(&mut self, mut endpoint: Endpoint) {
        let known = self.entries.get(&endpoint.name);
        let known = known.map(|known| &*known.member.endpoint);
        if let Some(known) = known.filter(|known| known.incarnation == endpoint.incarnation) {
            endpoint.state = endpoint.state.max(known.state);
        }
        let hash = endpoint.start_hash();
        let leaving = self.leaving_starts.get_mut(&hash.short());
        if leaving.is_some() {
            // The entry is older than the report that the endpoint leaves.
            endpoint.state = HostState::Leaving;
        }
        let endpoint = Arc::new(endpoint);
        if let Some(leaving) = leaving {
            leaving.endpoint = Some(endpoint.clone());
        }
        let known = KnownEndpoint {
            member: PoolMember {
                hash,
                is_evacuated: self.evacuated.contains(&endpoint.zone),
                endpoint,
            },
            is_listed: true,
            is_lapsed: false,
            unlisted_at_ms: 0,
        };
        self.entries
            .insert(known.member.endpoint.name.clone(), known);
    }

    fn drop_expired(&mut self, now_ms: u64) {
        self.entries.retain(|_, known| {
            known.is_listed || now_ms.saturating_sub(known.unlisted_at_ms) < RETENTION_MS
        });
    }

    fn rebuild(&mut self) {
        self.revision += 1;
        self.live = self.by_pool(KnownEndpoint::accepts_work);
        self.serving = if self.evacuated.is_empty() {
            self.live.clone()
        } else {
            self.by_pool(KnownEndpoint::is_serving)
        };
        self.leaving_members =
            self.by_pool(|known| known.state() == EndpointState::Leaving && known.is_listed);
    }

    fn by_pool(
        &self,
        belongs: impl Fn(&KnownEndpoint) -> bool,
    ) -> HashMap<PoolId, Arc<[PoolMember]>> {
        let mut pools: HashMap<PoolId, Vec<PoolMember>> = HashMap::new();
        for known in self.entries.values().filter(|known| belongs(known)) {
            let pool = known.member.endpoint.pool.clone();
            pools.entry(pool).or_default().push(known.member.clone());
        }
        let pools = pools.into_iter();
        pools
            .map(|(pool, members)| (pool, members.into()))
            .collect()
    }
}
