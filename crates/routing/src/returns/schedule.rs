//! Times at which rejected requests return.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};

/// How far ahead returns are reserved.
pub const RETURN_HORIZON_MS: u64 = 1_000;
/// Time after its due time in which a return is recognised.
pub const RETURN_WINDOW_MS: u64 = 500;
/// Most reservations of one pool.
pub const MAX_RESERVATIONS: usize = 4_096;
/// Most reservations handed to another scheduler.
pub const MAX_EXPORTED_RETURNS: usize = 64;
/// Length of one interval of the schedule.
const INTERVAL_MS: u64 = 10;
const INTERVALS: usize = (RETURN_HORIZON_MS / INTERVAL_MS) as usize;
/// Shortest time until a return.
const MIN_RETURN_MS: u64 = 10;
/// Most requests that a pool is expected to serve in a second.
const MAX_SLOTS_PER_S: f64 = 1e6;
/// By rank, the fraction of the served requests that may be returns of this or a less
/// urgent rank. The rest is left to more urgent ones, which so return earlier.
const RANK_FRACTIONS: [f64; 3] = [1.0, 0.85, 0.7];

/// A reserved return, relative to when it is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReservedReturn {
    /// Identical for all repeats of the request.
    pub fingerprint: u64,
    /// Its priority.
    pub rank: u8,
    /// Time until it is due; negative if it was due already.
    pub due_in_ms: i32,
}

#[derive(Clone, Copy, Debug)]
struct Reservation {
    rank: u8,
    due_at_ms: u64,
}

impl Reservation {
    fn has_expired(&self, now_ms: u64) -> bool {
        now_ms > self.due_at_ms + RETURN_WINDOW_MS
    }
}

/// Return times of a pool's rejected requests.
///
/// Returns are spread over what the pool can serve, in the order of rejection within a
/// rank. A return is recognised once, when due, by the fingerprint of its request.
///
/// # Example
///
/// ```
/// use chalkrock_routing::ReturnSchedule;
///
/// let mut returns = ReturnSchedule::default();
/// let first = returns.reserve(1, 0, 50.0, 0);
/// let second = returns.reserve(2, 0, 50.0, 0);
/// assert!(second > first);
/// assert!(!returns.redeem(1, 0));
/// assert!(returns.redeem(1, u64::from(first)));
/// assert!(!returns.redeem(1, u64::from(first)));
/// ```
#[derive(Clone, Debug)]
pub struct ReturnSchedule {
    by_fingerprint: HashMap<u64, Reservation>,
    /// Reservations by interval, the first at `first_interval`.
    taken: [u32; INTERVALS],
    first_interval: u64,
    /// By rank, the interval of the latest reservation.
    latest: [u64; RANK_FRACTIONS.len()],
    next_expiry_at_ms: u64,
}

impl Default for ReturnSchedule {
    fn default() -> Self {
        Self {
            by_fingerprint: HashMap::new(),
            taken: [0; INTERVALS],
            first_interval: 0,
            latest: [0; RANK_FRACTIONS.len()],
            next_expiry_at_ms: 0,
        }
    }
}

impl ReturnSchedule {
    /// Reserves the return of a rejected request on a pool that serves `slots_per_s`
    /// requests in a second, and returns the time until then. One that is reserved
    /// already keeps its place. If no time is left before [`RETURN_HORIZON_MS`], returns that
    /// and reserves nothing.
    pub fn reserve(&mut self, fingerprint: u64, rank: u8, slots_per_s: f64, now_ms: u64) -> u32 {
        self.advance(now_ms);
        if let Some(known) = self.by_fingerprint.get(&fingerprint) {
            if now_ms < known.due_at_ms {
                return (known.due_at_ms - now_ms) as u32;
            }
            self.by_fingerprint.remove(&fingerprint);
        }
        let rank = rank.min(RANK_FRACTIONS.len() as u8 - 1);
        let interval = self.free_interval(rank, slots_per_s, now_ms);
        let has_room = self.by_fingerprint.len() < MAX_RESERVATIONS;
        let Some(interval) = interval.filter(|_| has_room) else {
            return RETURN_HORIZON_MS as u32;
        };
        let due_at_ms = (interval * INTERVAL_MS).max(now_ms + MIN_RETURN_MS);
        self.insert(fingerprint, Reservation { rank, due_at_ms });
        self.latest[usize::from(rank)] = interval;
        (due_at_ms - now_ms) as u32
    }

    /// Whether a request is a return that is due. True once for each reservation, and
    /// not before its time, so that an early repeat gains nothing and keeps its place.
    pub fn redeem(&mut self, fingerprint: u64, now_ms: u64) -> bool {
        let Some(known) = self.by_fingerprint.get(&fingerprint) else {
            return false;
        };
        if now_ms < known.due_at_ms {
            return false;
        }
        let is_valid = !known.has_expired(now_ms);
        self.by_fingerprint.remove(&fingerprint);
        is_valid
    }

    /// Reservations in force.
    pub fn len(&self) -> usize {
        self.by_fingerprint.len()
    }

    /// Whether nothing is reserved.
    pub fn is_empty(&self) -> bool {
        self.by_fingerprint.is_empty()
    }

    /// The reservations that are due next, at most [`MAX_EXPORTED_RETURNS`].
    pub fn export(&self, now_ms: u64) -> Vec<ReservedReturn> {
        let known = self.by_fingerprint.iter();
        let valid = known.filter(|(_, known)| !known.has_expired(now_ms));
        let mut exported: Vec<ReservedReturn> = valid
            .map(|(&fingerprint, known)| ReservedReturn {
                fingerprint,
                rank: known.rank,
                due_in_ms: (known.due_at_ms as i64 - now_ms as i64) as i32,
            })
            .collect();
        exported.sort_unstable_by_key(|known| (known.due_in_ms, known.fingerprint));
        exported.truncate(MAX_EXPORTED_RETURNS);
        exported
    }

    /// Takes over the reservations of another scheduler. Own ones stay, and those out of
    /// bounds are dropped.
    pub fn import(&mut self, entries: &[ReservedReturn], now_ms: u64) {
        self.advance(now_ms);
        const DUE_IN_MS: std::ops::RangeInclusive<i64> =
            -(RETURN_WINDOW_MS as i64)..=RETURN_HORIZON_MS as i64;
        for entry in entries.iter().take(MAX_EXPORTED_RETURNS) {
            let is_known = self.by_fingerprint.contains_key(&entry.fingerprint);
            let is_full = self.by_fingerprint.len() >= MAX_RESERVATIONS;
            if is_known || is_full || !DUE_IN_MS.contains(&i64::from(entry.due_in_ms)) {
                continue;
            }
            let rank = entry.rank.min(RANK_FRACTIONS.len() as u8 - 1);
            let due_at_ms = now_ms.saturating_add_signed(i64::from(entry.due_in_ms));
            self.insert(entry.fingerprint, Reservation { rank, due_at_ms });
        }
    }

    fn insert(&mut self, fingerprint: u64, reservation: Reservation) {
        let interval = reservation.due_at_ms / INTERVAL_MS;
        if let Some(offset) = interval.checked_sub(self.first_interval)
            && let Some(taken) = self.taken.get_mut(offset as usize)
        {
            *taken += 1;
        }
        self.by_fingerprint.insert(fingerprint, reservation);
    }

    /// The earliest interval with room: all that is due until its end, and until the end
    /// of each later one, can be served.
    fn free_interval(&self, rank: u8, slots_per_s: f64, now_ms: u64) -> Option<u64> {
        let slots_per_s = if slots_per_s.is_nan() {
            0.0
        } else {
            slots_per_s
        };
        let rank = usize::from(rank);
        let slots_per_ms = slots_per_s.clamp(0.0, MAX_SLOTS_PER_S) / 1_000.0;
        let mut due: u32 = self.taken.iter().sum();
        let mut free = None;
        for offset in (0..self.taken.len()).rev() {
            let interval = self.first_interval + offset as u64;
            let until_ms = ((interval + 1) * INTERVAL_MS).saturating_sub(now_ms);
            let can_serve = until_ms as f64 * slots_per_ms * RANK_FRACTIONS[rank];
            if f64::from(due + 1) > can_serve {
                break;
            }
            free = Some(interval);
            due -= self.taken[offset];
        }
        let earliest = (now_ms + MIN_RETURN_MS) / INTERVAL_MS;
        let end = (now_ms + RETURN_HORIZON_MS) / INTERVAL_MS;
        let interval = free?.max(earliest).max(self.latest[rank]);
        (interval < end).then_some(interval)
    }

    /// Moves the schedule on to the current interval, and drops what has expired.
    fn advance(&mut self, now_ms: u64) {
        let current = now_ms / INTERVAL_MS;
        let passed = current.saturating_sub(self.first_interval) as usize;
        if passed > 0 {
            let dropped = passed.min(self.taken.len());
            self.taken.rotate_left(dropped);
            let kept = self.taken.len() - dropped;
            self.taken[kept..].fill(0);
            self.first_interval = current;
        }
        if now_ms >= self.next_expiry_at_ms {
            self.by_fingerprint
                .retain(|_, known| !known.has_expired(now_ms));
            self.next_expiry_at_ms = now_ms + INTERVAL_MS;
        }
    }
}
