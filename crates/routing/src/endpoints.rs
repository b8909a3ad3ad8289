//! Which endpoints exist and which of them may be given new work.
//!
//! The list comes from the platform, whole or by changes, and from other
//! hosts, in the order of the store's versions. An endpoint may start again by its
//! name: another incarnation is another endpoint. Its number tells starts apart and
//! not which is the later one, since endpoints take it from the time of day, which
//! may step back.
//!
//! Within one incarnation leaving is sticky: an endpoint that has begun to leave is
//! never taken back, however late, reordered or stale the next word of it is. It may
//! say so in an answer long before its entry does, while the store is away or slow,
//! and a host may hear of it from another before it knows the entry: so starts that
//! leave are remembered apart from the list.
//!
//! An endpoint that is merely no longer listed may be listed again, and until then
//! takes no new work; but entries that lapsed while the platform's store was away are
//! kept for a short time after its return, in which endpoints that live are listed
//! again. An endpoint of an evacuated zone takes no new work until the zone is taken
//! back.

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::sync::Arc;

use chalkrock_core::rendezvous::MemberHash;
use chalkrock_core::{Endpoint, EndpointId, HostState, PoolId, ZoneId};

/// How long an endpoint that left is remembered, so that a late word can't
/// bring it back.
const REMEMBERED_MS: u64 = 120_000;

/// Whether an endpoint may be given new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointState {
    /// Listed and live.
    Live,
    /// It would take work, but its zone is evacuated.
    Evacuated,
    /// It said that it leaves, or another host heard it say so.
    Leaving,
    /// No longer listed, as far as is known since the store was away.
    Lapsed,
    /// No longer listed.
    Unlisted,
}

/// An endpoint of a pool.
#[derive(Clone, Debug)]
pub struct PoolMember {
    /// The endpoint.
    pub endpoint: Arc<Endpoint>,
    /// The hash of its start, for ranks and for reports.
    pub hash: MemberHash,
    /// Whether its zone is evacuated.
    pub is_evacuated: bool,
}

#[derive(Clone, Debug)]
struct Known {
    member: PoolMember,
    is_listed: bool,
    /// It was unlisted while entries that lapsed are kept.
    is_lapsed: bool,
    unlisted_at_ms: u64,
}

impl Known {
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

    fn serves(&self) -> bool {
        self.accepts_work() || self.state() == EndpointState::Evacuated
    }

    fn unlist(&mut self, is_lapsed: bool, now_ms: u64) {
        self.is_listed = false;
        self.is_lapsed = is_lapsed;
        self.unlisted_at_ms = now_ms;
    }
}

/// All endpoints as one host knows them.
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
    /// By name, so that pools need no sorting whenever one changes.
    known_members: BTreeMap<EndpointId, Known>,
    live: HashMap<PoolId, Arc<[PoolMember]>>,
    /// Those that take new work or would if their zones were not evacuated.
    serving: HashMap<PoolId, Arc<[PoolMember]>>,
    /// Those that are leaving and still listed.
    leaving_members: HashMap<PoolId, Arc<[PoolMember]>>,
    keeps_lapsed: bool,
    evacuated: BTreeSet<ZoneId>,
    /// Starts that said so themselves or to other hosts, by short hash.
    leaving_starts: HashMap<u32, LeavingStart>,
}

/// A start of an endpoint that is known to leave by another word than its entry.
#[derive(Clone, Debug)]
struct LeavingStart {
    /// `None` while no entry of it is known.
    endpoint: Option<Arc<Endpoint>>,
    heard_at_ms: u64,
}

impl EndpointTable {
    /// Takes the whole list: whoever is not on it is unlisted.
    pub fn replace(&mut self, endpoints: Vec<Endpoint>, now_ms: u64) {
        let keeps_lapsed = self.keeps_lapsed;
        for known in self
            .known_members
            .values_mut()
            .filter(|known| known.is_listed)
        {
            known.unlist(keeps_lapsed, now_ms);
        }
        for endpoint in endpoints {
            self.merge(endpoint);
        }
        self.forget_old(now_ms);
        self.rebuild();
    }

    /// What an older list says of an endpoint, or the start that is known if it tells
    /// of a later one.
    pub fn later_start(&self, listed: Endpoint) -> Endpoint {
        let known = self.known_members.get(&listed.name);
        let known = known.map(|known| &*known.member.endpoint);
        let later = known.filter(|known| known.incarnation > listed.incarnation);
        later.cloned().unwrap_or(listed)
    }

    /// Takes one endpoint's entry, new or changed.
    pub fn upsert(&mut self, endpoint: Endpoint) {
        self.merge(endpoint);
        self.rebuild();
    }

    /// An endpoint is no longer listed.
    pub fn remove(&mut self, name: &EndpointId, now_ms: u64) {
        if let Some(known) = self.known_members.get_mut(name) {
            known.unlist(self.keeps_lapsed, now_ms);
        }
        self.forget_old(now_ms);
        self.rebuild();
    }

    /// An endpoint's entry no longer says what it is: it is not kept, also where
    /// entries that lapsed are.
    pub fn discard(&mut self, name: &EndpointId, now_ms: u64) {
        if let Some(known) = self.known_members.get_mut(name) {
            known.unlist(false, now_ms);
        }
        self.rebuild();
    }

    /// Whether endpoints that are unlisted from now on go on taking work: the
    /// store was away, and their entries may have lapsed. Once they are no
    /// longer kept, those that were not listed again are gone.
    pub fn keep_lapsed(&mut self, keeps_lapsed: bool) {
        self.keeps_lapsed = keeps_lapsed;
        if keeps_lapsed {
            return;
        }
        for known in self.known_members.values_mut() {
            known.is_lapsed = false;
        }
        self.rebuild();
    }

    /// Endpoints of these zones take no new work, and those of all others do.
    pub fn set_evacuated(&mut self, zones: BTreeSet<ZoneId>) {
        self.evacuated = zones;
        for known in self.known_members.values_mut() {
            let member = &mut known.member;
            member.is_evacuated = self.evacuated.contains(&member.endpoint.zone);
        }
        self.rebuild();
    }

    /// These starts leave, told by their short hashes: they said so to this host or to
    /// another one. Returns those that were not known to.
    pub fn mark_leaving(&mut self, starts: &[u32], now_ms: u64) -> Vec<Arc<Endpoint>> {
        let is_new = |start: &u32| !self.leaving_starts.contains_key(start);
        let new: Vec<u32> = starts.iter().copied().filter(is_new).collect();
        if new.is_empty() {
            return Vec::new();
        }
        for start in &new {
            let leaving = LeavingStart {
                endpoint: None,
                heard_at_ms: now_ms,
            };
            self.leaving_starts.insert(*start, leaving);
        }
        let mut marked = Vec::new();
        for known in self.known_members.values_mut() {
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

    /// Forgets starts that left long ago. Returns those that had an entry.
    pub fn expire_leaving(&mut self, now_ms: u64) -> Vec<Arc<Endpoint>> {
        let mut forgotten = Vec::new();
        let known = &self.known_members;
        self.leaving_starts.retain(|start, leaving| {
            let entry = leaving.endpoint.as_ref();
            let entry = entry.and_then(|endpoint| known.get(&endpoint.name));
            let is_known = entry.is_some_and(|known| known.member.hash.short() == *start);
            let is_kept = is_known || now_ms.saturating_sub(leaving.heard_at_ms) < REMEMBERED_MS;
            if !is_kept {
                forgotten.extend(leaving.endpoint.take());
            }
            is_kept
        });
        forgotten
    }

    /// The endpoints of a pool that may be given new work, by name.
    pub fn live(&self, pool: &PoolId) -> Arc<[PoolMember]> {
        self.live.get(pool).cloned().unwrap_or_default()
    }

    /// The endpoints of a pool that are neither leaving nor gone, by name: those
    /// that may be given new work, and those of evacuated zones.
    pub fn serving(&self, pool: &PoolId) -> Arc<[PoolMember]> {
        self.serving.get(pool).cloned().unwrap_or_default()
    }

    /// The endpoints of a zone that are neither leaving nor gone.
    pub fn serving_in(&self, zone: &ZoneId) -> impl Iterator<Item = &PoolMember> {
        let serving = self.serving.values().flat_map(|members| members.iter());
        serving.filter(move |member| member.endpoint.zone == *zone)
    }

    /// Whether a start of an endpoint may be given new work.
    pub fn accepts_work(&self, endpoint: &Endpoint) -> bool {
        let known = self.known_members.get(&endpoint.name);
        known.is_some_and(|known| {
            let is_same_start = known.member.endpoint.incarnation == endpoint.incarnation;
            is_same_start && known.accepts_work()
        })
    }

    /// The endpoints of a pool that take no new work and are still there: what
    /// they hold in memory can be copied until they go.
    pub fn leaving_members(&self, pool: &PoolId) -> Arc<[PoolMember]> {
        self.leaving_members.get(pool).cloned().unwrap_or_default()
    }

    /// The endpoints that have not ended as far as is known, be they leaving or no
    /// longer listed.
    pub fn known_members(&self) -> impl Iterator<Item = &PoolMember> {
        self.known_members.values().map(|known| &known.member)
    }

    /// Whether an endpoint may be given new work; `None` if it is not known.
    pub fn state(&self, name: &EndpointId) -> Option<EndpointState> {
        self.known_members.get(name).map(Known::state)
    }

    /// Short hashes of the endpoints that are leaving and still listed, or may be again.
    pub fn leaving(&self) -> Vec<u32> {
        let leaving = self.known_members.values().filter(|known| {
            known.state() == EndpointState::Leaving && (known.is_listed || known.is_lapsed)
        });
        leaving.map(|known| known.member.hash.short()).collect()
    }

    /// How many endpoints may be given new work.
    pub fn live_count(&self) -> usize {
        self.live.values().map(|members| members.len()).sum()
    }

    /// How many endpoints are neither leaving nor gone.
    pub fn serving_count(&self) -> usize {
        self.serving.values().map(|members| members.len()).sum()
    }

    /// The endpoints that are listed, to pass on.
    pub fn listed(&self) -> impl Iterator<Item = &PoolMember> {
        let listed = self.known_members.values().filter(|known| known.is_listed);
        listed.map(|known| &known.member)
    }

    /// How many endpoints are listed.
    pub fn listed_count(&self) -> usize {
        self.listed().count()
    }

    /// Short hashes of the endpoints that are listed.
    pub fn listed_hashes(&self) -> HashSet<u32> {
        let listed = self.known_members.values().filter(|known| known.is_listed);
        listed.map(|known| known.member.hash.short()).collect()
    }

    fn merge(&mut self, mut endpoint: Endpoint) {
        let known = self.known_members.get(&endpoint.name);
        let known = known.map(|known| &*known.member.endpoint);
        if let Some(known) = known.filter(|known| known.incarnation == endpoint.incarnation) {
            endpoint.state = endpoint.state.max(known.state);
            if !endpoint.build.is_known() {
                endpoint.build = known.build.clone();
            }
        }
        let hash = endpoint.start_hash();
        let leaving = self.leaving_starts.get_mut(&hash.short());
        if leaving.is_some() {
            // The entry is older than the word that the endpoint leaves.
            endpoint.state = HostState::Leaving;
        }
        let endpoint = Arc::new(endpoint);
        if let Some(leaving) = leaving {
            leaving.endpoint = Some(endpoint.clone());
        }
        let known = Known {
            member: PoolMember {
                hash,
                is_evacuated: self.evacuated.contains(&endpoint.zone),
                endpoint,
            },
            is_listed: true,
            is_lapsed: false,
            unlisted_at_ms: 0,
        };
        self.known_members
            .insert(known.member.endpoint.name.clone(), known);
    }

    fn forget_old(&mut self, now_ms: u64) {
        self.known_members.retain(|_, known| {
            known.is_listed || now_ms.saturating_sub(known.unlisted_at_ms) < REMEMBERED_MS
        });
    }

    fn rebuild(&mut self) {
        self.live = self.by_pool(Known::accepts_work);
        self.serving = if self.evacuated.is_empty() {
            self.live.clone()
        } else {
            self.by_pool(Known::serves)
        };
        self.leaving_members =
            self.by_pool(|known| known.state() == EndpointState::Leaving && known.is_listed);
    }

    fn by_pool(&self, belongs: impl Fn(&Known) -> bool) -> HashMap<PoolId, Arc<[PoolMember]>> {
        let mut pools: HashMap<PoolId, Vec<PoolMember>> = HashMap::new();
        for known in self.known_members.values().filter(|known| belongs(known)) {
            let pool = known.member.endpoint.pool.clone();
            pools.entry(pool).or_default().push(known.member.clone());
        }
        let pools = pools.into_iter();
        pools
            .map(|(pool, members)| (pool, members.into()))
            .collect()
    }
}
