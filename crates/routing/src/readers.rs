//! Choice of the hosts that subscribe to the store, and of each zone's relays.
//!
//! Subscribers read the store and pass changes on to the other hosts, so that the store
//! does not serve every host. Hosts do not agree on them: each ranks the hosts that it
//! receives reports from, and subscribes if it ranks among the first or if too few
//! subscribe. Diverging views cause extra subscribers for a moment, but never a host
//! that neither subscribes nor receives changes.

use std::cmp::Ordering;

use chalkrock_core::rendezvous::MemberHash;

use crate::host_capacity::{FleetWork, LargestRoom, WorkRank, is_clearly_weaker};

/// Hosts up to which a fleet is treated as one zone.
const MAX_SMALL_FLEET_HOSTS: usize = 12;
/// Tolerates one crash and one rejected subscriber. Each subscriber adds to the number
/// of paid store answers.
const MIN_SUBSCRIBERS_SMALL_FLEET: usize = 3;
const HOSTS_PER_SUBSCRIBER: usize = 50;
/// A large fleet needs few: with a stale view, other hosts poll the store too.
const MIN_SUBSCRIBERS: usize = 4;

/// Whether a host subscribes to the store, and whether the store answers it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum SubscriptionRole {
    /// It does not subscribe.
    No,
    /// It subscribes, and the store answers.
    Answered,
    /// It subscribes, and the store does not answer.
    Unanswered,
}

/// A host of the same zone from which reports arrive.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ZonePeer {
    /// The hash of its name.
    pub hash: MemberHash,
    /// Its subscription role.
    pub role: SubscriptionRole,
    /// Its room for work for others, in thousandths of a core; 0 if unknown.
    pub capacity_millicores: u16,
}

impl ZonePeer {
    fn rank(&self, work: FleetWork, largest: LargestRoom) -> WorkRank {
        largest.rank(work, self.hash, self.capacity_millicores)
    }
}

/// Relays of a zone; one may fail.
pub const RELAYS_PER_ZONE: usize = 2;
/// Zone size from which hosts report to relays only. In smaller zones, direct reports
/// take fewer datagrams.
const MIN_HOSTS_TO_START_RELAYING: usize = 24;
/// Zone size down to which relays stay in use, so that the zone does not flap between
/// both ways.
const MIN_HOSTS_TO_KEEP_RELAYING: usize = 18;

/// Limits attempts of a zone while the store rejects hosts; hosts of other zones pass
/// on changes meanwhile. If the store rejects a third of all hosts, one zone in 67 has none
/// that is answered among four.
const MAX_UNANSWERED_SUBSCRIBERS: usize = 4;
/// Mean number of hosts, beside the subscribers, that poll in each interval.
const STALE_POLLS_PER_INTERVAL: f64 = 0.25;

/// Silence after which a host is considered down.
pub const HOST_TIMEOUT_MS: u64 = 2_000;
/// The same for a host known only from relays, each of which lists it every three seconds.
const LISTED_HOST_TIMEOUT_MS: u64 = 4_000;
/// How long the other relay may list a relay that is gone: until it is silent there, and a
/// datagram of a standby relay late.
const STALE_LISTING_MS: u64 = HOST_TIMEOUT_MS + 1_000;

/// Times since the last report of or about a host; `None` if there was none.
///
/// # Example
///
/// ```
/// use chalkrock_routing::LastHeard;
///
/// let listed = LastHeard { listed_ago_ms: Some(3_000), ..LastHeard::default() };
/// assert!(!listed.is_silent());
/// assert!(LastHeard::default().is_silent());
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LastHeard {
    /// Since a datagram from it arrived.
    pub received_ago_ms: Option<u64>,
    /// Since a relay listed it, or it reported as a relay.
    pub listed_ago_ms: Option<u64>,
    /// Since it sent the fleet aggregate as a relay of this zone.
    pub aggregate_ago_ms: Option<u64>,
}

impl LastHeard {
    /// Whether the host is considered down. Listings do not outweigh the silence of a relay
    /// until the relay that lists it must have noticed it: the next in rank takes over after
    /// the timeout of a host that reports.
    pub fn is_silent(&self) -> bool {
        if { self.received_ago_ms }.is_some_and(|ago_ms| ago_ms <= HOST_TIMEOUT_MS) {
            return false;
        }
        let is_stale = |listed_ago_ms: u64| {
            let aggregate_ago_ms = self.aggregate_ago_ms;
            aggregate_ago_ms.is_some_and(|ago_ms| ago_ms <= listed_ago_ms + STALE_LISTING_MS)
        };
        let is_listed = |ago_ms: u64| ago_ms <= LISTED_HOST_TIMEOUT_MS && !is_stale(ago_ms);
        !self.listed_ago_ms.is_some_and(is_listed)
    }
}

/// The fraction of hosts that poll the store in each interval while their view is
/// stale: all of a small fleet, a few of a large one. Subscribers always poll.
///
/// # Example
///
/// ```
/// use chalkrock_routing::stale_poll_fraction;
///
/// assert_eq!(stale_poll_fraction(8), 1.0);
/// assert_eq!(stale_poll_fraction(250), 0.001);
/// ```
pub fn stale_poll_fraction(hosts: usize) -> f64 {
    if hosts <= MAX_SMALL_FLEET_HOSTS {
        return 1.0;
    }
    STALE_POLLS_PER_INTERVAL / hosts as f64
}

/// Whether a fleet of so many hosts is so large that zones exchange only aggregates.
pub fn is_large_fleet(hosts: usize) -> bool {
    hosts > MAX_SMALL_FLEET_HOSTS
}

/// How many hosts of a fleet subscribe.
pub fn subscribers_needed(hosts: usize) -> usize {
    if hosts <= MAX_SMALL_FLEET_HOSTS {
        return hosts.min(MIN_SUBSCRIBERS_SMALL_FLEET);
    }
    hosts.div_ceil(HOSTS_PER_SUBSCRIBER).max(MIN_SUBSCRIBERS)
}

/// A zone as one of its hosts knows it; all hosts, in a small fleet.
#[derive(Clone, Debug, PartialEq)]
pub struct ZoneView<'a> {
    /// The other hosts of the zone; of all zones, in a small fleet.
    pub others: &'a [ZonePeer],
    /// Known hosts of all zones.
    pub hosts: usize,
    /// Known zones that share the subscribers; 1 in a small fleet.
    pub zones: usize,
}

impl ZoneView<'_> {
    /// Whether the fleet is so large that zones exchange only aggregates.
    pub fn is_large(&self) -> bool {
        is_large_fleet(self.hosts)
    }

    /// Whether a host ranks among the first subscribers, regardless of current roles.
    /// These start while no host subscribes yet.
    pub fn is_preferred_subscriber(&self, local: &ZonePeer) -> bool {
        ranks_among_first(local, self.others.iter(), self.subscribers_needed())
    }

    /// Subscribers that the zone needs.
    fn subscribers_needed(&self) -> usize {
        subscribers_needed(self.hosts).div_ceil(self.zones.max(1))
    }

    /// Whether a host subscribes to the store.
    ///
    /// # Example
    ///
    /// ```
    /// use chalkrock_core::rendezvous::MemberHash;
    /// use chalkrock_routing::{SubscriptionRole, ZonePeer, ZoneView};
    ///
    /// let local = ZonePeer {
    ///     hash: MemberHash::of("host-1"),
    ///     role: SubscriptionRole::No,
    ///     capacity_millicores: 250,
    /// };
    /// let alone = ZoneView { others: &[], hosts: 1, zones: 1 };
    /// assert!(alone.is_subscriber(&local));
    /// ```
    pub fn is_subscriber(&self, local: &ZonePeer) -> bool {
        let needed = self.subscribers_needed();
        if needed > self.others.len() {
            return true;
        }
        let answered = || {
            let others = self.others.iter();
            others.filter(|host| host.role == SubscriptionRole::Answered)
        };
        let unanswered = self.others.iter();
        let unanswered = unanswered.filter(|host| host.role == SubscriptionRole::Unanswered);
        let is_short = answered().count() < needed.div_ceil(2);
        if is_short && !self.is_large() {
            return true;
        }
        if local.role == SubscriptionRole::Answered {
            return ranks_among_first(local, answered(), needed);
        }
        if local.role == SubscriptionRole::Unanswered && is_short {
            return ranks_among_first(local, unanswered, MAX_UNANSWERED_SUBSCRIBERS);
        }
        // A new host replaces only subscribers with less than half of its room: each new
        // subscriber reads the whole store.
        let at_least_as_strong = answered()
            .filter(|host| !is_clearly_weaker(host.capacity_millicores, local.capacity_millicores));
        let vacant = needed.saturating_sub(at_least_as_strong.count());
        // While too few are answered, as many hosts join as are unanswered, since the
        // store may reject some hosts. All at once would flood it: 295 hosts make 10,354 calls
        // during a silence of eight seconds.
        let unanswered = unanswered.count();
        let may_join = MAX_UNANSWERED_SUBSCRIBERS.saturating_sub(unanswered);
        let vacant = if is_short {
            vacant.max(unanswered).min(may_join)
        } else {
            vacant
        };
        // Unanswered subscribers leave their slots to others, but keep trying while
        // they rank first.
        let idle = self
            .others
            .iter()
            .filter(|host| host.role == SubscriptionRole::No);
        ranks_among_first(local, idle, vacant)
    }

    /// The rank of a host among the relays, which exchange aggregates with other zones;
    /// `None` if it is no relay.
    pub fn relay_rank(&self, local: &ZonePeer) -> Option<usize> {
        let rank = self.rank(local);
        (rank < RELAYS_PER_ZONE).then_some(rank)
    }

    /// How many other hosts rank before a host.
    pub fn rank(&self, local: &ZonePeer) -> usize {
        count_ranked_before(FleetWork::Relay, local, self.others.iter())
    }

    /// Whether the hosts of the zone report to relays only; `was_relayed` is the
    /// current state, for hysteresis.
    pub fn uses_relays(&self, was_relayed: bool) -> bool {
        let min_hosts = if was_relayed {
            MIN_HOSTS_TO_KEEP_RELAYING
        } else {
            MIN_HOSTS_TO_START_RELAYING
        };
        self.is_large() && 1 + self.others.len() >= min_hosts
    }
}

/// The hosts that rank first as relays, in order.
pub fn first_ranked(hosts: &[ZonePeer], count: usize) -> Vec<MemberHash> {
    let largest = LargestRoom::of(hosts.iter().map(|host| host.capacity_millicores));
    let rank = |host: &ZonePeer| host.rank(FleetWork::Relay, largest);
    let mut ranked: Vec<(WorkRank, MemberHash)> =
        hosts.iter().map(|host| (rank(host), host.hash)).collect();
    ranked.sort_by(|(a, _), (b, _)| b.partial_cmp(a).unwrap_or(Ordering::Equal));
    ranked.iter().take(count).map(|(_, hash)| *hash).collect()
}

fn ranks_among_first<'a>(
    local: &ZonePeer,
    others: impl Iterator<Item = &'a ZonePeer> + Clone,
    needed: usize,
) -> bool {
    count_ranked_before(FleetWork::Subscriber, local, others) < needed
}

fn count_ranked_before<'a>(
    work: FleetWork,
    local: &ZonePeer,
    others: impl Iterator<Item = &'a ZonePeer> + Clone,
) -> usize {
    let rooms = others.clone().map(|host| host.capacity_millicores);
    let largest = LargestRoom::of(rooms.chain([local.capacity_millicores]));
    let own = local.rank(work, largest);
    others.filter(|host| host.rank(work, largest) > own).count()
}
