//! Answers that went on without a crash of their endpoints, by the parts of their prompts.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};

use crate::poison::parts::SURVIVAL_MS;

/// How long an answer that went on clears its parts, in milliseconds.
const RETENTION_MS: u64 = 30_000;
const MAX_PARTS: usize = 16_384;
/// Shortest time between two reports that answers on a part go on.
const REPORT_INTERVAL_MS: u64 = 500;
/// Times for which an answer may go on, each twice the one before, and beside them its end.
const LEVELS: usize = 6;

/// For how long an answer went on without a crash. Later ones are longer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(from = "u8", into = "u8")]
pub struct Survival(u8);

impl From<u8> for Survival {
    /// Times that only a later build knows count as the longest known.
    fn from(level: u8) -> Self {
        Self(level).min(Self::SETTLED)
    }
}

impl From<Survival> for u8 {
    fn from(survival: Survival) -> Self {
        survival.0
    }
}

impl Survival {
    /// It ended well, and its endpoint lived on.
    pub const SETTLED: Self = Self(LEVELS as u8 - 1);
    /// It went on for [`SURVIVAL_MS`].
    pub const SHORTEST: Self = Self(0);

    /// What an answer shows that has gone on for `age_ms`.
    pub(super) fn reached(age_ms: u64) -> Option<Self> {
        let mut levels = (0..Self::SETTLED.0).rev().map(Self);
        levels.find(|level| age_ms >= level.ms())
    }

    /// What clears a part on which answers had gone on for up to `age_ms` when their endpoints
    /// crashed. Crashes are not equally late, so twice that time is needed.
    pub(super) fn needed_after(age_ms: u32) -> Self {
        let age_ms = u64::from(age_ms);
        if age_ms < SURVIVAL_MS {
            return Self::SHORTEST;
        }
        let mut levels = (0..Self::SETTLED.0).map(Self);
        let longer = levels.find(|level| level.ms() >= 2 * age_ms);
        longer.unwrap_or(Self::SETTLED)
    }

    fn ms(self) -> u64 {
        SURVIVAL_MS << self.0
    }

    fn index(self) -> usize {
        usize::from(self.0)
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct PartSurvivals {
    /// When an answer last went on for as long or longer, by the time.
    at_ms: [Option<u64>; LEVELS],
    reported_at_ms: Option<u64>,
}

impl PartSurvivals {
    /// When an answer on the part last went on.
    fn latest_ms(&self) -> u64 {
        self.at_ms[Survival::SHORTEST.index()].unwrap_or_default()
    }
}

/// When answers on parts last went on, and for how long.
#[derive(Clone, Debug, Default)]
pub(super) struct Survivals {
    by_part: HashMap<u32, PartSurvivals>,
}

impl Survivals {
    /// Records that an answer went on. Returns whether that is later than the time known by
    /// more than the time between two reports.
    pub(super) fn record(&mut self, part: u32, survival: Survival, at_ms: u64) -> bool {
        if self.by_part.len() >= MAX_PARTS && !self.by_part.contains_key(&part) {
            self.evict_oldest();
        }
        let known = self.by_part.entry(part).or_default();
        let known_at_ms = known.at_ms[survival.index()];
        let is_later = known_at_ms.is_none_or(|known| at_ms >= known + REPORT_INTERVAL_MS);
        for shorter in &mut known.at_ms[..=survival.index()] {
            *shorter = (*shorter).max(Some(at_ms));
        }
        is_later
    }

    /// When an answer last went on for as long or longer, if it was lately.
    pub(super) fn at_ms(&self, part: u32, survival: Survival, now_ms: u64) -> Option<u64> {
        let at_ms = self.by_part.get(&part)?.at_ms[survival.index()]?;
        (now_ms < at_ms + RETENTION_MS).then_some(at_ms)
    }

    /// What to report of a part to the other hosts now: the longest time, and shorter ones that
    /// were later. Empty if it was reported just before.
    pub(super) fn take_report(&mut self, part: u32, now_ms: u64) -> Vec<(Survival, u64)> {
        let Some(known) = self.by_part.get_mut(&part) else {
            return Vec::new();
        };
        let is_due = known
            .reported_at_ms
            .is_none_or(|reported_at_ms| now_ms >= reported_at_ms + REPORT_INTERVAL_MS);
        if !is_due {
            return Vec::new();
        }
        let mut report: Vec<(Survival, u64)> = Vec::new();
        for level in (0..=Survival::SETTLED.0).rev().map(Survival) {
            let at_ms = known.at_ms[level.index()];
            let fresh = at_ms.filter(|at_ms| now_ms < at_ms + RETENTION_MS);
            let is_later = |at_ms: &u64| report.last().is_none_or(|(_, longer)| at_ms > longer);
            if let Some(at_ms) = fresh.filter(is_later) {
                report.push((level, at_ms));
            }
        }
        if !report.is_empty() {
            known.reported_at_ms = Some(now_ms);
        }
        report
    }

    /// Records that another host has just reported a part.
    pub(super) fn record_report(&mut self, part: u32, now_ms: u64) {
        if let Some(known) = self.by_part.get_mut(&part) {
            known.reported_at_ms = Some(now_ms);
        }
    }

    pub(super) fn expire(&mut self, now_ms: u64) {
        self.by_part
            .retain(|_, known| now_ms < known.latest_ms() + RETENTION_MS);
    }

    fn evict_oldest(&mut self) {
        const EVICTED_DIVISOR: usize = 8;
        let mut times_ms: Vec<u64> = { self.by_part.values() }
            .map(PartSurvivals::latest_ms)
            .collect();
        let (_, &mut limit_ms, _) = times_ms.select_nth_unstable(MAX_PARTS / EVICTED_DIVISOR);
        self.by_part.retain(|_, known| known.latest_ms() > limit_ms);
    }
}
