//! Which build of a pool began a stream that callers may take up again.
//!
//! What two builds write does not fit together, so that a stream may go on only at the
//! build that began it. The host of the caller that received the first event records the
//! build, and sends copies to the hosts that rank first for the stream. Any host finds one
//! of them by the same ranking, also after the first host is gone.

use std::collections::{BTreeSet, HashMap, VecDeque};

use chalkrock_core::rendezvous::{KeyHash, MemberHash, score};
use chalkrock_core::{BuildVersion, OrganisationId, PoolId, RequestId};
use serde::{Deserialize, Serialize};

/// Most streams that a host remembers.
const MAX_STREAMS: usize = 65_536;

/// Identifies a stream by the request that received its first event. Requests of other
/// organisations have other keys, so that nobody learns of theirs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct StreamKey(u64);

impl StreamKey {
    /// The key of the stream that began with a request of an organisation.
    pub fn of(organisation: Option<&OrganisationId>, request: &RequestId) -> Self {
        let organisation = organisation.map_or("", |name| name.as_str());
        let text = format!("{}:{organisation}{}", organisation.len(), request.as_str());
        Self(KeyHash::of(text.as_bytes()).0)
    }

    /// The hosts that keep copies for the stream, or are asked for one, first ones first.
    pub fn rank<H: Copy>(self, hosts: impl IntoIterator<Item = (H, MemberHash)>) -> Vec<H> {
        rank_for(KeyHash(self.0), hosts)
    }

    /// The part of all streams to which it belongs, below `parts`.
    pub(crate) fn part(self, parts: u8) -> u8 {
        (self.0 % u64::from(parts)) as u8
    }

    pub(crate) fn to_bytes(self) -> [u8; 8] {
        self.0.to_le_bytes()
    }

    pub(crate) fn from_bytes(bytes: [u8; 8]) -> Self {
        Self(u64::from_le_bytes(bytes))
    }
}

/// Ranks hosts for a key, the one with the highest score first.
pub(crate) fn rank_for<H: Copy>(
    key: KeyHash,
    hosts: impl IntoIterator<Item = (H, MemberHash)>,
) -> Vec<H> {
    let scored = hosts.into_iter();
    let mut scored: Vec<(f64, H)> = scored
        .map(|(host, hash)| (score(key, hash, 1.0), host))
        .collect();
    scored.sort_by(|a, b| b.0.total_cmp(&a.0));
    scored.into_iter().map(|(_, host)| host).collect()
}

/// Where a stream began.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamOrigin {
    /// Short hash of the pool's name.
    pub pool: u32,
    /// Build of the endpoint, as listed when the stream began.
    pub build: BuildVersion,
}

impl StreamOrigin {
    /// The origin of a stream that began at a build of a pool.
    pub fn new(pool: &PoolId, build: BuildVersion) -> Self {
        Self {
            pool: MemberHash::of(pool.as_str()).short(),
            build,
        }
    }

    /// Whether the stream began at this pool.
    pub fn is_in(&self, pool: &PoolId) -> bool {
        self.pool == MemberHash::of(pool.as_str()).short()
    }
}

#[derive(Clone, Debug)]
struct KnownStream {
    /// `None` after streams of different origins had the same key.
    origin: Option<StreamOrigin>,
    /// When this host learned of it, and its age then.
    learned_ms: u64,
    learned_age_ms: u64,
    expires_ms: u64,
    is_stored: bool,
}

/// The origins of recent streams.
///
/// # Example
///
/// ```
/// use chalkrock_core::{PoolId, RequestId};
/// use chalkrock_routing::{StreamKey, StreamOrigin, StreamOrigins};
///
/// let key = StreamKey::of(None, &RequestId::from("r-1"));
/// let origin = StreamOrigin::new(&PoolId::from("pool"), "v1".into());
/// let mut origins = StreamOrigins::default();
/// origins.record(key, origin.clone(), 1_000, 20_000);
/// assert_eq!(origins.find(key, 3_000), Some((&origin, 2_000)));
/// assert_eq!(origins.find(key, 21_000), None);
/// ```
#[derive(Clone, Debug, Default)]
pub struct StreamOrigins {
    streams: HashMap<StreamKey, KnownStream>,
    /// Keys by their first record, oldest first.
    order: VecDeque<StreamKey>,
}

impl StreamOrigins {
    /// Records a stream that began at `now_ms` and may be taken up for `retention_ms`.
    pub fn record(&mut self, key: StreamKey, origin: StreamOrigin, now_ms: u64, retention_ms: u64) {
        let known = KnownStream {
            origin: Some(origin),
            learned_ms: now_ms,
            learned_age_ms: 0,
            expires_ms: now_ms.saturating_add(retention_ms),
            is_stored: false,
        };
        self.insert(key, known, now_ms);
    }

    /// Records a stream of `age_ms`, read from the store, that may be taken up for another
    /// `left_ms`.
    pub fn record_stored(
        &mut self,
        key: StreamKey,
        origin: StreamOrigin,
        age_ms: u64,
        now_ms: u64,
        left_ms: u64,
    ) {
        let known = KnownStream {
            origin: Some(origin),
            learned_ms: now_ms,
            learned_age_ms: age_ms,
            expires_ms: now_ms.saturating_add(left_ms),
            is_stored: true,
        };
        self.insert(key, known, now_ms);
    }

    fn insert(&mut self, key: StreamKey, stream: KnownStream, now_ms: u64) {
        self.remove_expired(now_ms);
        if let Some(known) = self.streams.get_mut(&key) {
            if known.origin != stream.origin {
                known.origin = None;
            }
            known.expires_ms = known.expires_ms.max(stream.expires_ms);
            return;
        }
        if self.streams.len() >= MAX_STREAMS
            && let Some(oldest) = self.order.pop_front()
        {
            self.streams.remove(&oldest);
        }
        self.streams.insert(key, stream);
        self.order.push_back(key);
    }

    /// Whether a stream is known only from the store.
    pub fn is_stored(&self, key: StreamKey) -> bool {
        let known = self.streams.get(&key);
        known.is_some_and(|known| known.is_stored)
    }

    /// Whether anything is known of a stream, be it that its origin is ambiguous.
    pub fn contains(&self, key: StreamKey, now_ms: u64) -> bool {
        let known = self.streams.get(&key);
        known.is_some_and(|known| now_ms < known.expires_ms)
    }

    /// The origin of a stream and its age in milliseconds; `None` if it is unknown or
    /// ambiguous.
    pub fn find(&self, key: StreamKey, now_ms: u64) -> Option<(&StreamOrigin, u64)> {
        let known = self.streams.get(&key)?;
        let origin = known.origin.as_ref()?;
        let is_valid = now_ms < known.expires_ms;
        let age_ms = known.learned_age_ms + now_ms.saturating_sub(known.learned_ms);
        is_valid.then_some((origin, age_ms))
    }

    /// The number of remembered streams.
    pub fn len(&self) -> usize {
        self.streams.len()
    }

    /// Whether no streams are remembered.
    pub fn is_empty(&self) -> bool {
        self.streams.is_empty()
    }

    fn remove_expired(&mut self, now_ms: u64) {
        while let Some(oldest) = self.order.front() {
            let known = self.streams.get(oldest);
            if known.is_some_and(|known| now_ms < known.expires_ms) {
                return;
            }
            self.streams.remove(oldest);
            self.order.pop_front();
        }
    }
}

/// When builds that are not listed now were last listed, by pool.
#[derive(Clone, Debug, Default)]
pub struct ListedBuilds {
    last_listed_ms: HashMap<PoolId, HashMap<BuildVersion, u64>>,
}

impl ListedBuilds {
    /// Records that a build is listed at `now_ms`.
    pub fn record(&mut self, pool: &PoolId, build: &BuildVersion, now_ms: u64) {
        let builds = self.last_listed_ms.entry(pool.clone()).or_default();
        builds.insert(build.clone(), now_ms);
    }

    /// Records that a build was listed at `listed_ms`, unless it was later.
    pub(crate) fn record_later(&mut self, pool: &PoolId, build: &BuildVersion, listed_ms: u64) {
        let builds = self.last_listed_ms.entry(pool.clone()).or_default();
        let known_ms = builds.entry(build.clone()).or_insert(listed_ms);
        *known_ms = listed_ms.max(*known_ms);
    }

    /// The recorded builds of a pool, and when they were last listed.
    pub(crate) fn of_pool(
        &self,
        pool: &PoolId,
    ) -> impl Iterator<Item = (&BuildVersion, &u64)> + Clone {
        self.last_listed_ms.get(pool).into_iter().flatten()
    }

    /// The recorded builds of all pools.
    pub(crate) fn by_pool(&self) -> impl Iterator<Item = (&PoolId, &HashMap<BuildVersion, u64>)> {
        self.last_listed_ms.iter()
    }

    /// The builds of a pool that are among `listed` or were listed in the last `window_ms`.
    pub(crate) fn builds_within<'a>(
        &'a self,
        pool: &PoolId,
        listed: impl IntoIterator<Item = &'a BuildVersion>,
        window_ms: u64,
        now_ms: u64,
    ) -> BTreeSet<&'a BuildVersion> {
        let earlier = self
            .of_pool(pool)
            .filter(|(_, listed_ms)| now_ms.saturating_sub(**listed_ms) <= window_ms)
            .map(|(build, _)| build);
        listed.into_iter().chain(earlier).collect()
    }

    /// The only build of a pool that is among `listed` or was listed in the last `window_ms`.
    pub fn only_build<'a>(
        &'a self,
        pool: &PoolId,
        listed: impl IntoIterator<Item = &'a BuildVersion>,
        window_ms: u64,
        now_ms: u64,
    ) -> Option<&'a BuildVersion> {
        let builds = self.builds_within(pool, listed, window_ms, now_ms);
        let mut builds = builds.into_iter();
        builds.next().filter(|_| builds.next().is_none())
    }

    /// Forgets builds that were last listed before `before_ms`.
    pub fn forget_before(&mut self, before_ms: u64) {
        for builds in self.last_listed_ms.values_mut() {
            builds.retain(|_, listed_ms| *listed_ms >= before_ms);
        }
    }
}
