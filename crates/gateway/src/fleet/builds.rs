//! Which builds of a pool requests go to, while it moves from one to another.

use std::collections::{BTreeMap, BTreeSet};

use chalkrock_core::rendezvous::MemberHash;
use chalkrock_core::{BuildVersion, PoolId};
use chalkrock_routing::{BuildFilter, BuildUse, PoolBuilds, PoolMember};

use crate::fleet::Fleet;
use crate::peers::KnownBuilds;

/// The endpoints of a pool that a request may go to by its build.
pub(super) struct OpenBuilds<'a> {
    filter: BuildFilter<'a>,
    /// Those of a new build that are tried; `None` if all that pass the filter may be
    /// used.
    canaries: Option<Vec<MemberHash>>,
}

impl OpenBuilds<'_> {
    pub(super) fn admit(&self, member: &PoolMember) -> bool {
        let canaries = self.canaries.as_ref();
        let is_tried = canaries.is_none_or(|tried| tried.contains(&member.hash));
        is_tried && self.filter.admits(&member.endpoint.build)
    }
}

impl Fleet {
    /// The endpoints of a pool that may be used in one way.
    pub(super) fn open_builds(&self, pool: &PoolId, by: BuildUse, now_ms: u64) -> OpenBuilds<'_> {
        let filter = self.rollouts.filter(pool, by, now_ms);
        let canaries = (by == BuildUse::Canary).then(|| {
            let members = self.endpoints.live(pool);
            let is_new = |member: &&PoolMember| filter.admits(&member.endpoint.build);
            let new = members.iter().filter(is_new).map(|member| member.hash);
            let old = members.iter().filter(|member| !is_new(member)).count();
            self.rollouts.canaries(pool, new, old)
        });
        OpenBuilds { filter, canaries }
    }

    /// Of a pool's members those of the builds that most requests try first.
    pub(super) fn with_stable_builds<'a>(
        &'a self,
        pool: &PoolId,
        members: &'a [PoolMember],
        now_ms: u64,
    ) -> impl Iterator<Item = &'a PoolMember> {
        let usual = self.rollouts.stable_use(pool);
        let builds = self.rollouts.filter(pool, usual, now_ms);
        let members = members.iter();
        members.filter(move |member| builds.admits(&member.endpoint.build))
    }

    /// The endpoints of a pool by the builds of its rollout.
    pub(crate) fn pool_builds(&self, pool: &PoolId) -> PoolBuilds {
        let Some((_, order)) = self.rollouts.order(pool) else {
            return PoolBuilds::default();
        };
        let mut builds = PoolBuilds::default();
        for member in self.endpoints.live(pool).iter() {
            let slots = member.endpoint.slots;
            if member.endpoint.build == order.build {
                builds.new_slots += slots;
            } else {
                builds.old_slots += slots;
            }
        }
        let of_pool = self.endpoints.known_members();
        for member in of_pool.filter(|member| member.endpoint.pool == *pool) {
            let in_progress = self.load.in_progress(member.hash.short());
            if member.endpoint.build == order.build {
                builds.new_in_progress += in_progress;
            } else {
                builds.old_in_progress += in_progress;
            }
        }
        builds
    }

    /// The builds that a pool's endpoints run, but for the one that it moves to.
    pub(crate) fn builds_from(&self, pool: &PoolId, to: &BuildVersion) -> BTreeSet<BuildVersion> {
        let live = self.endpoints.live(pool);
        let builds = live.iter().map(|member| member.endpoint.build.clone());
        builds.filter(|build| build != to).collect()
    }

    /// The software that endpoints run, to pass on.
    pub(crate) fn known_builds(&self) -> KnownBuilds {
        if let Some(usual) = self.rollouts.stable_builds() {
            // Nothing has to be looked up for each of thousands of endpoints.
            return KnownBuilds {
                usual,
                others: Vec::new(),
            };
        }
        let mut usual: BTreeMap<PoolId, BuildVersion> = BTreeMap::new();
        let mut others = Vec::new();
        for member in self.endpoints.listed() {
            let endpoint = &*member.endpoint;
            if !endpoint.build.is_known() {
                continue;
            }
            let of_pool = usual
                .entry(endpoint.pool.clone())
                .or_insert_with(|| endpoint.build.clone());
            if *of_pool != endpoint.build {
                others.push((member.hash.short(), endpoint.build.clone()));
            }
        }
        KnownBuilds {
            usual: usual.into_iter().collect(),
            others,
        }
    }

    /// Takes note of the builds that endpoints run.
    pub(super) fn note_builds(&mut self, now_ms: u64) {
        let mut by_pool: BTreeMap<&PoolId, BTreeSet<&BuildVersion>> = BTreeMap::new();
        for member in self.endpoints.listed() {
            let endpoint = &*member.endpoint;
            let of_pool = by_pool.entry(&endpoint.pool).or_default();
            of_pool.insert(&endpoint.build);
        }
        for (pool, builds) in by_pool {
            self.rollouts.record_listed_builds(pool, builds, now_ms);
        }
    }
}
