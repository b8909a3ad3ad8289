//! How many rejected requests may return, by rank and organisation.
//!
//! Returns precede new requests. They are reserved for a part of the pool only, so that
//! new requests are served beside them; for a rank, what more urgent arrivals leave of it; and
//! for an organisation, its equal part of that, so that a large one gains nothing by having
//! more rejected.

use std::collections::BTreeMap;

use super::scheduler::RANKS;

/// Times in which a recorded arrival decays to 1/e. The short one follows a surge, the long
/// one covers the time between arrivals.
const DECAYS_MS: [f64; 2] = [40.0, 400.0];
/// Largest and smallest fraction of the pool for returns.
const RETURN_FRACTION: std::ops::RangeInclusive<f64> = 0.05..=0.5;
/// Largest fraction beside more urgent requests: a surge of these begins without notice.
const LESS_URGENT_FRACTION: f64 = 0.2;
/// Time over which an organisation's returns are spread at most.
const MAX_SPREAD_MS: f64 = 500.0;
/// Most organisations with returns. Further ones have none reserved.
const MAX_ORGANISATIONS: usize = 1_024;

/// Recent arrivals by rank and reserved returns by organisation.
#[derive(Clone, Debug, Default)]
pub(super) struct ReturnRates {
    /// Decayed number of arrivals, by decay and rank.
    arrived: [[f64; RANKS]; DECAYS_MS.len()],
    updated_ms: u64,
    by_organisation: BTreeMap<u32, Reserved>,
}

/// Reserved returns of an organisation.
#[derive(Clone, Copy, Debug)]
struct Reserved {
    /// By rank, until when its part of the returns is used up.
    paced_until_ms: [f64; RANKS],
    /// When the last of them is due.
    last_due_ms: u64,
}

impl ReturnRates {
    pub(super) fn record_arrival(&mut self, rank: usize, now_ms: u64) {
        self.advance(now_ms);
        for arrived in &mut self.arrived {
            arrived[rank] += 1.0;
        }
    }

    /// Returns a millisecond that may be reserved for a rank.
    pub(super) fn returns_per_ms(&mut self, rank: usize, slots_per_ms: f64, now_ms: u64) -> f64 {
        self.advance(now_ms);
        let by_decay = self.arrived.iter().zip(DECAYS_MS);
        let more_urgent = by_decay
            .map(|(arrived, decay_ms)| arrived[..rank].iter().sum::<f64>() / decay_ms)
            .fold(0.0, f64::max);
        let left = if slots_per_ms > 0.0 {
            1.0 - more_urgent / slots_per_ms
        } else {
            0.0
        };
        let most = if more_urgent > 0.0 {
            LESS_URGENT_FRACTION
        } else {
            *RETURN_FRACTION.end()
        };
        slots_per_ms * left.clamp(*RETURN_FRACTION.start(), most)
    }

    /// Whether an organisation may have another return among `organisations` that wait.
    pub(super) fn may_reserve(
        &mut self,
        organisation: u32,
        rank: usize,
        returns_per_ms: f64,
        organisations: usize,
        now_ms: u64,
    ) -> bool {
        if self.by_organisation.len() >= MAX_ORGANISATIONS {
            self.by_organisation
                .retain(|_, reserved| reserved.last_due_ms > now_ms);
        }
        let is_full = self.by_organisation.len() >= MAX_ORGANISATIONS;
        if is_full && !self.by_organisation.contains_key(&organisation) {
            return false;
        }
        let now = now_ms as f64;
        let entry = self.by_organisation.entry(organisation);
        let reserved = entry.or_insert(Reserved {
            paced_until_ms: [now; RANKS],
            last_due_ms: now_ms,
        });
        let paced_until_ms = &mut reserved.paced_until_ms[rank];
        *paced_until_ms = paced_until_ms.max(now);
        if *paced_until_ms - now >= MAX_SPREAD_MS || returns_per_ms <= 0.0 {
            return false;
        }
        *paced_until_ms += organisations.max(1) as f64 / returns_per_ms;
        true
    }

    /// Records when a return is due.
    pub(super) fn record_return(&mut self, organisation: u32, due_ms: u64) {
        if let Some(reserved) = self.by_organisation.get_mut(&organisation) {
            reserved.last_due_ms = reserved.last_due_ms.max(due_ms);
        }
    }

    /// When the last return of an organisation is due.
    pub(super) fn last_due_ms(&self, organisation: u32) -> Option<u64> {
        let reserved = self.by_organisation.get(&organisation)?;
        Some(reserved.last_due_ms)
    }

    fn advance(&mut self, now_ms: u64) {
        let elapsed_ms = now_ms.saturating_sub(self.updated_ms) as f64;
        self.updated_ms = self.updated_ms.max(now_ms);
        for (arrived, decay_ms) in self.arrived.iter_mut().zip(DECAYS_MS) {
            let factor = (-elapsed_ms / decay_ms).exp();
            for count in arrived {
                *count *= factor;
            }
        }
    }
}
