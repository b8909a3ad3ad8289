//! Which hosts read the platform themselves, so that it is not asked the same
//! by all; and which hosts of a zone tell the other zones.
//!
//! Some hosts read and the others take from them what is new: in a small fleet
//! some of all, in a larger one some of each availability zone. Nothing
//! is agreed: each host ranks the hosts that it hears, and reads if it is
//! among the first, or if too few seem to; who reads goes on while hosts come
//! that are no stronger. Views that differ for a moment make
//! a few readers more, or leave those of the other view; what never happens is
//! that a host hears no reader and does not read.

use chalkrock_core::rendezvous::{KeyHash, MemberHash, score};

/// Fleets up to this size tell each other as a whole, and not by zones.
const SMALL_UP_TO: usize = 12;
/// Readers of a small fleet: one may die and one be turned away at once. Each
/// more is told each change by the platform, and each answer is paid for.
const LEAST_OF_SMALL: usize = 3;
/// Readers are one of so many hosts.
const ONE_IN: usize = 50;
/// Readers that a large fleet has at least. Whoever hears of no answer of the
/// platform asks it, reader or not, so that these may be few.
const LEAST: usize = 4;

/// How a host stands to the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum SubscriptionRole {
    /// It does not read.
    No,
    /// It reads and is answered.
    Answered,
    /// It reads and is not answered.
    Unanswered,
}

/// A host of the own zone that is heard.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ZonePeer {
    /// The hash of its name.
    pub hash: MemberHash,
    /// How it stands to the platform.
    pub role: SubscriptionRole,
    /// What it may use of a processor, in thousandths of a core.
    pub capacity_millicores: u16,
}

/// Relays of a zone: one that falls silent is missed by none.
pub const RELAYS_PER_ZONE: usize = 2;
/// Hosts of a zone from which on they report to relays only. Among fewer, each
/// hears all others with fewer datagrams than relays would cost them.
const RELAYED_FROM: usize = 24;
/// Hosts of a zone down to which relays go on as they began, so that hosts that
/// come and go don't make the zone change its way all the time.
const RELAYED_DOWN_TO: usize = 18;

/// Hosts of a zone that read without an answer before no more join them. If a
/// third of all machines is turned away, one zone in 67 has none that is
/// answered among four; its hosts hear from other zones, and a few ask in doubt.
const UNANSWERED_MAX: usize = 4;
/// Hosts that ask in each interval of doubt, in the mean, beside the readers.
const DOUBTERS: f64 = 0.25;

/// The part of the hosts that asks in each interval of doubt, where none was
/// answered for long: all of a small fleet, a few of a large one. Readers always
/// do.
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
    if hosts <= SMALL_UP_TO {
        return 1.0;
    }
    DOUBTERS / hosts as f64
}

/// How many hosts of so many read.
pub fn subscribers_needed(hosts: usize) -> usize {
    if hosts <= SMALL_UP_TO {
        return hosts.min(LEAST_OF_SMALL);
    }
    hosts.div_ceil(ONE_IN).max(LEAST)
}

/// A zone as one of its hosts knows it; of a small fleet, all of it.
#[derive(Clone, Debug, PartialEq)]
pub struct ZoneView<'a> {
    /// The other hosts of the zone that are heard; in a small fleet, all.
    pub others: &'a [ZonePeer],
    /// Hosts of all zones, as far as they are known.
    pub hosts: usize,
    /// Zones that share the readers, as far as they are known; 1 in a small
    /// fleet.
    pub zones: usize,
}

impl ZoneView<'_> {
    /// Whether the fleet is so large that zones tell each other only sums.
    pub fn is_large(&self) -> bool {
        self.hosts > SMALL_UP_TO
    }

    /// Whether a host comes among the first to read, whoever does so far: where
    /// no one reads yet, these begin and the others wait to hear of them.
    pub fn is_preferred_subscriber(&self, own: &ZonePeer) -> bool {
        is_among_first(own, self.others.iter(), self.subscribers_needed())
    }

    /// Readers of the zone; of a small fleet, all.
    fn subscribers_needed(&self) -> usize {
        subscribers_needed(self.hosts).div_ceil(self.zones.max(1))
    }

    /// Whether a host reads the platform.
    ///
    /// # Example
    ///
    /// ```
    /// use chalkrock_core::rendezvous::MemberHash;
    /// use chalkrock_routing::{ZonePeer, SubscriptionRole, ZoneView};
    ///
    /// let own = ZonePeer {
    ///     hash: MemberHash::of("host-1"),
    ///     reading: SubscriptionRole::No,
    ///     capacity_millicores: 250,
    /// };
    /// let alone = ZoneView { others: &[], hosts: 1, zones: 1 };
    /// assert!(alone.is_subscriber(&own));
    /// ```
    pub fn is_subscriber(&self, own: &ZonePeer) -> bool {
        let wanted = self.subscribers_needed();
        if wanted > self.others.len() {
            return true;
        }
        let answered = || {
            let others = self.others.iter();
            others.filter(|host| host.role == SubscriptionRole::Answered)
        };
        let unanswered = self.others.iter();
        let unanswered = unanswered.filter(|host| host.role == SubscriptionRole::Unanswered);
        let is_short = answered().count() < wanted.div_ceil(2);
        if is_short && !self.is_large() {
            return true;
        }
        if own.role == SubscriptionRole::Answered {
            return is_among_first(own, answered(), wanted);
        }
        if own.role == SubscriptionRole::Unanswered && is_short {
            return is_among_first(own, unanswered, UNANSWERED_MAX);
        }
        // Readers stay as hosts come, for each new one reads all anew; but a
        // stronger host takes over.
        let as_strong =
            answered().filter(|host| host.capacity_millicores >= own.capacity_millicores);
        let vacant = wanted.saturating_sub(as_strong.count());
        // Where readers are not answered as many again try, which doubles them
        // with each try that fails: the platform may turn some machines away.
        // All at once would make hundreds of calls in a moment, paid for even
        // where nothing answers: 10,354 in a day of 295 hosts with a silence of
        // eight seconds.
        let unanswered = unanswered.count();
        let may_join = UNANSWERED_MAX.saturating_sub(unanswered);
        let vacant = if is_short {
            vacant.max(unanswered).min(may_join)
        } else {
            vacant
        };
        // One that is not answered leaves its place to others, but goes on
        // trying if it comes first, since it may be the only one to know.
        let may_read = self
            .others
            .iter()
            .filter(|host| host.role == SubscriptionRole::No);
        is_among_first(own, may_read, vacant)
    }

    /// The place of a host among the relays, which tell the other zones of this
    /// one, and this one of them; `None` if it is no relay.
    pub fn relay_rank(&self, own: &ZonePeer) -> Option<usize> {
        let place = self.rank(own);
        (place < RELAYS_PER_ZONE).then_some(place)
    }

    /// How many of the others come before a host.
    pub fn rank(&self, own: &ZonePeer) -> usize {
        count_before(own, self.others.iter())
    }

    /// Whether the hosts of the zone report to relays only, and relays sum up
    /// for them; `is_so` if that is how it has been.
    pub fn uses_relays(&self, is_so: bool) -> bool {
        let from = if is_so { RELAYED_DOWN_TO } else { RELAYED_FROM };
        self.is_large() && 1 + self.others.len() >= from
    }
}

/// Whether fewer than `wanted` of the others come before a host.
fn is_among_first<'a>(
    own: &ZonePeer,
    others: impl Iterator<Item = &'a ZonePeer>,
    wanted: usize,
) -> bool {
    count_before(own, others) < wanted
}

fn count_before<'a>(own: &ZonePeer, others: impl Iterator<Item = &'a ZonePeer>) -> usize {
    others.filter(|host| rank(host) > rank(own)).count()
}

/// Readers and relays do the work of others, so that strong hosts come first.
fn rank(host: &ZonePeer) -> (u16, f64) {
    const READERS: KeyHash = KeyHash(0);
    let among_equals = score(READERS, host.hash, 1.0);
    (host.capacity_millicores, among_equals)
}
