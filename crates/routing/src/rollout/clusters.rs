//! Reduces correlated answers of one host to independent observations.
//!
//! Answers that a host sees in the same moment are not independent: a host that stands
//! still sees all of them late at once. The answers of a route, build side and measure
//! in one moment therefore give at most one observation. A time is counted apart by
//! what another answer of the old build showed at the same host in the same moment
//! (its control): a late answer beside a late control says little about its build.
//! An observation of the old build has another answer of the old build as its control,
//! so that both sides are alike if the builds are. Answers that the host itself delayed
//! are left out.
//!
//! Use it where a host records its answers; [`Tally`] holds the counts.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use crate::rollout::evidence::{
    BuildSide, Control, Measure, ObservationTime, ObservedResponse, Tally, time_bin,
};

/// Length of a moment. Answers that a host sees at the end of a stall fall into one.
const MOMENT_MS: u64 = 100;
/// Share of a measured time from which the host's own stall makes it unusable.
const MAX_STALLED_FRACTION: f64 = 0.2;
/// Bins above the host's median of the old build from which a control is late, a
/// factor of 2.4.
const LATE_CONTROL_BINS: u8 = 5;

/// The moment that a host is in.
#[derive(Clone, Debug, Default)]
pub struct ObservationClusters {
    started_ms: u64,
    /// Routes and sides with an observed end in this moment.
    ended: BTreeSet<(Arc<str>, BuildSide)>,
    /// Times in this moment, in the order in which they were seen.
    times: Vec<TimeSample>,
    /// Earlier observed times of the old build at this host, by bin.
    old_times: BTreeMap<(Arc<str>, Measure), BTreeMap<u8, u32>>,
}

#[derive(Clone, Debug)]
struct TimeSample {
    route: Arc<str>,
    side: BuildSide,
    measure: Measure,
    bin: u8,
}

/// Times of the old build needed for a median.
const MIN_MEDIAN_TIMES: u32 = 5;
/// Times kept per moment, so that a host with many requests needs little memory.
const MAX_SAMPLES: usize = 64;

impl ObservationClusters {
    /// Counts an event of an answer. Times are added to the tally when their moment is
    /// over.
    pub fn record(
        &mut self,
        tally: &mut Tally,
        route: &Arc<str>,
        side: BuildSide,
        event: ObservedResponse,
        at: ObservationTime,
    ) {
        if at.now_ms >= self.started_ms + MOMENT_MS || at.now_ms < self.started_ms {
            self.close(tally);
            self.started_ms = at.now_ms;
        }
        if let Some(is_failure) = event.is_failure() {
            let is_observation = self.ended.insert((route.clone(), side));
            tally.add_answer(route, side, is_failure, is_observation);
        }
        let Some((measure, ms)) = event.time() else {
            return;
        };
        let is_disturbed = at.stalled_ms as f64 > MAX_STALLED_FRACTION * ms;
        if is_disturbed || self.times.len() >= MAX_SAMPLES {
            return;
        }
        self.times.push(TimeSample {
            route: route.clone(),
            side,
            measure,
            bin: time_bin(ms),
        });
    }

    /// Ends the moment, and adds one observation of each route, side and measure.
    fn close(&mut self, tally: &mut Tally) {
        let times = std::mem::take(&mut self.times);
        self.ended.clear();
        let mut counted = BTreeSet::new();
        let mut observations = Vec::new();
        for (index, sample) in times.iter().enumerate() {
            if counted.insert((&sample.route, sample.side, sample.measure)) {
                let control = self.control_of(index, &times);
                observations.push((sample, control));
            }
        }
        for (sample, control) in observations {
            tally.add_time(
                &sample.route,
                sample.side,
                sample.measure,
                control,
                sample.bin,
            );
            if sample.side == BuildSide::Old {
                let key = (sample.route.clone(), sample.measure);
                *self
                    .old_times
                    .entry(key)
                    .or_default()
                    .entry(sample.bin)
                    .or_default() += 1;
            }
        }
    }

    /// What the first other answer of the old build shows.
    fn control_of(&self, index: usize, times: &[TimeSample]) -> Control {
        let is_first_byte = times[index].measure.is_first_byte();
        let mut others = times.iter().enumerate().filter(|(other, sample)| {
            *other != index
                && sample.side == BuildSide::Old
                && sample.measure.is_first_byte() == is_first_byte
        });
        let is_late = others.find_map(|(_, other)| {
            let median = self.old_median_bin(&other.route, other.measure)?;
            Some(other.bin >= median.saturating_add(LATE_CONTROL_BINS))
        });
        match is_late {
            None => Control::None,
            Some(false) => Control::InTime,
            Some(true) => Control::Late,
        }
    }

    /// The median of the old build's earlier times, if there are enough.
    fn old_median_bin(&self, route: &Arc<str>, measure: Measure) -> Option<u8> {
        let bins = self.old_times.get(&(route.clone(), measure))?;
        let total: u32 = bins.values().sum();
        if total < MIN_MEDIAN_TIMES {
            return None;
        }
        let mut cumulative_count = 0;
        let median = bins.iter().find(|(_, count)| {
            cumulative_count += **count;
            2 * cumulative_count >= total
        });
        median.map(|(bin, _)| *bin)
    }
}
