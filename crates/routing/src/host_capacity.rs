//! Room of hosts for work that they do for others, and which hosts do it.
//!
//! Used where a host takes on work for the fleet: relay of a zone, subscriber of the store,
//! writer of rollouts. Hosts rank each other without agreement, by weighted rendezvous
//! hashing. Hosts with at least half of the largest room come first; when they are gone,
//! the others rank among themselves in the same way.

use chalkrock_core::rendezvous::{KeyHash, MemberHash, score};

/// Processor share that goes with one Mbit/s of link, in thousandths of a core. The relay of
/// a zone of 100 hosts spends 1 Mbit/s and about a hundredth of a core.
const MILLICORES_PER_MBPS: f64 = 12.0;
/// Processor share that goes with one MiB of memory, in thousandths of a core. The busiest
/// of 300 hosts held 13 MB.
const MILLICORES_PER_MIB: f64 = 1.0;
/// Highest room that counts. Bounds the work that a host attracts by a false value.
const MAX_ROOM_MILLICORES: u16 = 16_000;
/// A host is strong if its room times this reaches the largest.
const STRONG_FACTOR: u32 = 2;

/// Resources of a host, as its settings state them.
///
/// # Example
///
/// ```
/// use chalkrock_routing::HostCapacity;
///
/// let mut host = HostCapacity { millicores: 500, link_mbps: Some(100.0), memory_mib: None };
/// assert_eq!(host.room_millicores(), 500);
/// host.link_mbps = Some(10.0);
/// assert_eq!(host.room_millicores(), 120);
/// ```
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HostCapacity {
    /// Processor share, in thousandths of a core.
    pub millicores: u16,
    /// Link, in Mbit/s; `None` if it sets no limit.
    pub link_mbps: Option<f64>,
    /// Memory, in MiB; `None` if it sets no limit.
    pub memory_mib: Option<f64>,
}

impl HostCapacity {
    /// The room for work for others: the processor share, or less where the link or the
    /// memory has less room. At least 1, since 0 stands for an unknown room.
    pub fn room_millicores(&self) -> u16 {
        let link = self.link_mbps.map(|mbps| mbps * MILLICORES_PER_MBPS);
        let memory = self.memory_mib.map(|mib| mib * MILLICORES_PER_MIB);
        let limits = [link, memory].into_iter().flatten();
        let limits = limits.filter(|limit| limit.is_finite());
        let room = limits.fold(f64::from(self.millicores), f64::min);
        room.clamp(1.0, f64::from(MAX_ROOM_MILLICORES)) as u16
    }
}

/// Work that hosts do for others. Each kind ranks the hosts in another order, so that one
/// host does not take on all of them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FleetWork {
    /// Relays of a zone, and writers of rollouts.
    Relay,
    /// Subscribers of the store.
    Subscriber,
}

impl FleetWork {
    fn key(self) -> KeyHash {
        match self {
            Self::Relay => KeyHash(0),
            Self::Subscriber => KeyHash(1),
        }
    }
}

/// The rank of a host among others; the greatest comes first.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub struct WorkRank {
    is_strong: bool,
    score: f64,
}

/// The largest room of some hosts, which decides who of them is strong.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LargestRoom(u16);

impl LargestRoom {
    /// The largest of some rooms.
    pub fn of(rooms_millicores: impl IntoIterator<Item = u16>) -> Self {
        let rooms = rooms_millicores.into_iter().map(bounded);
        Self(rooms.max().unwrap_or_default())
    }

    /// Ranks a host for a kind of work. A host of unknown room (0) counts as one of the
    /// largest, since hosts learn of it at different times.
    pub fn rank(self, work: FleetWork, host: MemberHash, room_millicores: u16) -> WorkRank {
        let room = match bounded(room_millicores) {
            0 => self.0.max(1),
            room => room,
        };
        WorkRank {
            is_strong: !is_clearly_weaker(room, self.0),
            score: score(work.key(), host, f64::from(room)),
        }
    }
}

/// Whether a room is less than half of another.
pub fn is_clearly_weaker(room_millicores: u16, than_millicores: u16) -> bool {
    STRONG_FACTOR * u32::from(bounded(room_millicores)) < u32::from(bounded(than_millicores))
}

/// Part of the link that large transfers to other hosts may take over time. The rest is for
/// callers.
const LINK_SHARE: f64 = 0.25;
/// Time for which large transfers may take the whole link first, since a change of rules
/// should reach all hosts within seconds.
const LINK_BURST_S: f64 = 1.0;

/// Bytes that a host may still send in large transfers to other hosts: a quarter of its
/// link over time, after a burst of one second of the whole link.
///
/// # Example
///
/// ```
/// use chalkrock_routing::LinkBudget;
///
/// let mut link = LinkBudget::new(8.0);
/// assert!(link.spend(1_250_000, 0));
/// assert!(!link.spend(1, 500));
/// assert!(link.spend(1, 1_500));
/// ```
#[derive(Clone, Copy, Debug)]
pub struct LinkBudget {
    bytes_per_s: f64,
    max_bytes: f64,
    left_bytes: f64,
    at_ms: u64,
}

impl LinkBudget {
    /// The budget of a link in Mbit/s, at time 0.
    pub fn new(link_mbps: f64) -> Self {
        const BYTES_PER_MBIT: f64 = 125_000.0;
        let link_bytes_per_s = link_mbps * BYTES_PER_MBIT;
        let max_bytes = link_bytes_per_s * LINK_BURST_S;
        Self {
            bytes_per_s: link_bytes_per_s * LINK_SHARE,
            max_bytes,
            left_bytes: max_bytes,
            at_ms: 0,
        }
    }

    /// Spends bytes if any are left. A transfer larger than what is left delays the next.
    pub fn spend(&mut self, bytes: usize, now_ms: u64) -> bool {
        const SECOND_MS: f64 = 1_000.0;
        let passed_ms = now_ms.saturating_sub(self.at_ms);
        let earned_bytes = passed_ms as f64 / SECOND_MS * self.bytes_per_s;
        self.left_bytes = (self.left_bytes + earned_bytes).min(self.max_bytes);
        self.at_ms = self.at_ms.max(now_ms);
        let may_send = self.left_bytes > 0.0;
        if may_send {
            self.left_bytes -= bytes as f64;
        }
        may_send
    }
}

/// A peer may send anything.
fn bounded(room_millicores: u16) -> u16 {
    room_millicores.min(MAX_ROOM_MILLICORES)
}
