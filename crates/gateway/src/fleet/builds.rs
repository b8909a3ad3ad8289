//! Selects endpoints by build while a pool is rolled out.

use std::collections::{BTreeMap, BTreeSet};

use chalkrock_core::rendezvous::MemberHash;
use chalkrock_core::{BuildVersion, Endpoint, PoolId};
use chalkrock_routing::{BuildFilter, BuildUse, PoolBuilds, PoolMember, UnknownBuild};

use crate::fleet::{EndpointQuery, Fleet};
use crate::peers::{BuildsUpdate, KnownBuilds};
use crate::source::EndpointChange;

pub(super) struct EligibleBuilds<'a> {
    filter: BuildFilter<'a>,
    /// The canaries; `None` if every endpoint that passes the filter is eligible.
    canaries: Option<Vec<MemberHash>>,
    /// The builds that a stream may begin at; `None` if every build is eligible.
    stream_builds: Option<BTreeSet<BuildVersion>>,
}

impl EligibleBuilds<'_> {
    pub(super) fn admit(&self, member: &PoolMember) -> bool {
        let canaries = self.canaries.as_ref();
        let is_admitted = canaries.is_none_or(|canaries| canaries.contains(&member.hash));
        let build = &member.endpoint.build;
        let stream_builds = self.stream_builds.as_ref();
        let may_begin = stream_builds.is_none_or(|builds| builds.contains(build));
        is_admitted && may_begin && self.filter.admits(build)
    }
}

impl Fleet {
    pub(super) fn eligible_builds(
        &self,
        query: &EndpointQuery<'_>,
        build_use: BuildUse,
        now_ms: u64,
    ) -> EligibleBuilds<'_> {
        let pool = query.pool;
        let mut filter = self.rollouts.filter(pool, build_use, now_ms);
        if let BuildFilter::Proven { new, .. } = filter {
            let members = self.endpoints.live(pool);
            let mut builds = members.iter().map(|member| &member.endpoint.build);
            if !builds.any(|build| filter.admits(build)) {
                // An unproven build is better than none.
                filter = BuildFilter::Without(new);
            }
        }
        let canaries = (build_use == BuildUse::Canary).then(|| {
            let members = self.endpoints.live(pool);
            let is_new = |member: &&PoolMember| filter.admits(&member.endpoint.build);
            let new = members.iter().filter(is_new).map(|member| member.hash);
            let old = members.iter().filter(|member| !is_new(member)).count();
            self.rollouts.canaries(pool, new, old)
        });
        EligibleBuilds {
            stream_builds: query
                .begins_resumable
                .then(|| self.stream_builds(pool, build_use, &filter, now_ms)),
            filter,
            canaries,
        }
    }

    /// The builds at which resumable streams may begin.
    fn stream_builds(
        &self,
        pool: &PoolId,
        build_use: BuildUse,
        filter: &BuildFilter<'_>,
        now_ms: u64,
    ) -> BTreeSet<BuildVersion> {
        let members = self.endpoints.live(pool);
        let builds = members.iter().map(|member| &member.endpoint.build);
        // A canary can wait until its build is eligible beside the others.
        let is_compared =
            |build: &&BuildVersion| build_use == BuildUse::Canary || filter.admits(build);
        let live = builds.filter(is_compared).collect();
        let builds = self.build_history.stream_builds(pool, live, now_ms);
        builds.into_iter().cloned().collect()
    }

    /// Whether no resumable stream may begin at the endpoints of a pool until its record names
    /// one of their builds.
    pub(crate) fn awaits_record(&self, pool: &PoolId, now_ms: u64) -> bool {
        let members = self.endpoints.live(pool);
        let builds = members.iter().map(|member| &member.endpoint.build);
        let live = builds.collect();
        !members.is_empty()
            && self
                .build_history
                .stream_builds(pool, live, now_ms)
                .is_empty()
    }

    /// The members of a pool whose build most requests use first.
    pub(super) fn with_stable_builds<'a>(
        &'a self,
        pool: &PoolId,
        members: &'a [PoolMember],
        now_ms: u64,
    ) -> impl Iterator<Item = &'a PoolMember> {
        let stable_use = self.rollouts.stable_use(pool);
        let builds = self.rollouts.filter(pool, stable_use, now_ms);
        let members = members.iter();
        members.filter(move |member| builds.admits(&member.endpoint.build))
    }

    /// Slots and load of a pool, by the builds of its rollout.
    pub(crate) fn pool_builds(&self, pool: &PoolId) -> PoolBuilds {
        let Some((_, order)) = self.rollouts.order(pool) else {
            return PoolBuilds::default();
        };
        let mut builds = PoolBuilds::default();
        for member in self.endpoints.live(pool).iter() {
            let slots = member.endpoint.slots;
            if member.endpoint.build == order.build {
                builds.new_slots = builds.new_slots.saturating_add(slots);
            } else {
                builds.old_slots = builds.old_slots.saturating_add(slots);
            }
        }
        let known = self.endpoints.known_members();
        for member in known.filter(|member| member.endpoint.pool == *pool) {
            let in_progress = self.load.in_progress(member.hash.short());
            if member.endpoint.build == order.build {
                builds.new_in_progress += in_progress;
            } else {
                builds.old_in_progress += in_progress;
            }
        }
        builds
    }

    pub(crate) fn builds_from(&self, pool: &PoolId, to: &BuildVersion) -> BTreeSet<BuildVersion> {
        let live = self.endpoints.live(pool);
        let builds = live.iter().map(|member| member.endpoint.build.clone());
        builds.filter(|build| build != to).collect()
    }

    /// The builds of all endpoints that this host lists, and of those that its retained
    /// changes list, to send to another host.
    pub(crate) fn known_builds(&self) -> KnownBuilds {
        let mut usual: BTreeMap<PoolId, BuildVersion> = BTreeMap::new();
        let mut others = Vec::new();
        let listed = self.endpoints.listed();
        let listed = listed.map(|member| (member.hash.short(), &*member.endpoint));
        let changed = self.changed_endpoints();
        let unlisted_now = {
            let listed = self.endpoints.listed_hashes();
            changed.filter(move |(start, _)| !listed.contains(start))
        };
        for (start, endpoint) in listed.chain(unlisted_now) {
            let usual_build = usual
                .entry(endpoint.pool.clone())
                .or_insert_with(|| endpoint.build.clone());
            if *usual_build != endpoint.build {
                others.push((start, endpoint.build.clone()));
            }
        }
        KnownBuilds {
            usual: usual.into_iter().collect(),
            others,
        }
    }

    /// The endpoints that the retained changes list, by the hash of their start.
    fn changed_endpoints(&self) -> impl Iterator<Item = (u32, &Endpoint)> {
        let changes = self.changes.iter().map(|row| &row.change);
        changes.filter_map(|change| match change {
            EndpointChange::Listed(listed) => {
                let endpoint = &listed.endpoint;
                Some((endpoint.start_hash().short(), endpoint))
            }
            EndpointChange::Gone(_) | EndpointChange::Unreadable(_) => None,
        })
    }

    /// Whether an endpoint of a build accepts requests of a pool.
    pub(crate) fn has_build(&self, pool: &PoolId, build: &BuildVersion) -> bool {
        let members = self.endpoints.live(pool);
        members.iter().any(|member| member.endpoint.build == *build)
    }

    /// The build of a pool that had no other in the last `window_ms`.
    ///
    /// # Errors
    ///
    /// If the pool had several, or this host can't know.
    pub(crate) fn only_build(
        &self,
        pool: &PoolId,
        window_ms: u64,
        now_ms: u64,
    ) -> Result<BuildVersion, UnknownBuild> {
        let members = self.endpoints.listed_or_lapsed();
        let members = members.filter(|member| member.endpoint.pool == *pool);
        let listed = members.map(|member| &member.endpoint.build);
        let history = &self.build_history;
        history.only_build(pool, listed, window_ms, now_ms).cloned()
    }

    /// The builds of the endpoints that are listed or in use, by pool.
    pub(crate) fn listed_builds(&self) -> BTreeMap<PoolId, BTreeSet<BuildVersion>> {
        let mut by_pool: BTreeMap<PoolId, BTreeSet<BuildVersion>> = BTreeMap::new();
        for member in self.endpoints.listed_or_lapsed() {
            let Endpoint { pool, build, .. } = &*member.endpoint;
            let is_listed = |builds: &BTreeSet<BuildVersion>| builds.contains(build);
            if !by_pool.get(pool).is_some_and(is_listed) {
                by_pool
                    .entry(pool.clone())
                    .or_default()
                    .insert(build.clone());
            }
        }
        by_pool
    }

    /// What this host knows of the builds that pools had, for another host; `None` if it
    /// could not make claims by it itself.
    pub(crate) fn builds_update(&mut self, now_ms: u64) -> Option<BuildsUpdate> {
        self.record_listed_builds(now_ms);
        Some(BuildsUpdate {
            past: self.build_history.past(now_ms)?,
            endpoints: self.endpoints_version,
            confirmed_ago_ms: self.build_history.list_age_ms(now_ms)?,
            records: self.build_history.records().collect(),
        })
    }

    /// Records the builds of the list before it changes.
    pub(crate) fn record_listed_builds(&mut self, now_ms: u64) {
        self.build_history.expire(now_ms);
        for member in self.endpoints.listed_or_lapsed() {
            let endpoint = &member.endpoint;
            self.build_history
                .record_listed(&endpoint.pool, &endpoint.build, now_ms);
        }
    }

    pub(super) fn record_builds(&mut self, now_ms: u64) {
        let mut by_pool: BTreeMap<&PoolId, BTreeSet<&BuildVersion>> = BTreeMap::new();
        for member in self.endpoints.listed() {
            let endpoint = &*member.endpoint;
            let pool_builds = by_pool.entry(&endpoint.pool).or_default();
            pool_builds.insert(&endpoint.build);
        }
        for (pool, builds) in by_pool {
            self.rollouts.record_listed_builds(pool, builds, now_ms);
        }
    }
}
