//! Loads of simulated endpoints, and rises of the load.

use std::collections::BTreeMap;

use chalkrock_routing::BuildSide;
use rand::RngExt;
use rand::rngs::StdRng;

/// Whether the load rises during a rollout. The endpoints of both builds are slower the more
/// requests they run, if it may.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rise {
    /// Endpoints are as fast under any load.
    None,
    /// It stays the same.
    Never,
    /// Once, at a drawn moment, by a drawn factor.
    Once,
}

/// Bounds of a rise's moment, as multiples of the deadline.
const RISE_AT: std::ops::Range<f64> = 0.3..1.4;
const RISE_FACTOR: std::ops::Range<f64> = 2.0..6.0;
/// Bounds of how much slower a full endpoint is than an idle one.
const SLOWER_WHEN_FULL: std::ops::Range<f64> = 0.0..2.0;
/// Least fraction of the old build's times at the same or a higher occupancy.
const MIN_HIGHER_FRACTION: f64 = 0.1;
/// Requests that wait at an endpoint before it rejects more, for each slot.
const MAX_WAITING_PER_SLOT: u32 = 2;

#[derive(Clone, Copy, Debug)]
pub(super) struct DrawnRise {
    at_ms: u64,
    factor: f64,
    slower_when_full: f64,
}

/// How much longer a request takes.
pub(super) struct Delay {
    pub(super) wait_ms: f64,
    pub(super) factor: f64,
}

impl Rise {
    pub(super) fn draw(self, deadline_ms: u64, rng: &mut StdRng) -> Option<DrawnRise> {
        if self == Rise::None {
            return None;
        }
        let at_ms = (rng.random_range(RISE_AT) * deadline_ms as f64) as u64;
        let factor = rng.random_range(RISE_FACTOR);
        Some(DrawnRise {
            at_ms,
            factor: if self == Rise::Once { factor } else { 1.0 },
            slower_when_full: rng.random_range(SLOWER_WHEN_FULL),
        })
    }
}

impl DrawnRise {
    /// The load at a time, as a multiple of the load before.
    pub(super) fn factor_at(&self, now_ms: u64) -> f64 {
        if now_ms >= self.at_ms {
            self.factor
        } else {
            1.0
        }
    }

    /// The delay at an endpoint with `load` requests; `None` if it rejects the request.
    pub(super) fn delay(&self, load: u32, slots: u32, mean_ms: f64) -> Option<Delay> {
        let waiting = (load + 1).saturating_sub(slots);
        if waiting > MAX_WAITING_PER_SLOT * slots {
            return None;
        }
        let running = f64::from(load.min(slots)) / f64::from(slots);
        let factor = 1.0 + self.slower_when_full * running;
        Some(Delay {
            wait_ms: f64::from(waiting) * factor * mean_ms / f64::from(slots),
            factor,
        })
    }
}

/// Requests in progress at each endpoint.
pub(super) struct EndpointLoads {
    old: Vec<u32>,
    new: Vec<u32>,
    ends: BTreeMap<u64, Vec<(BuildSide, usize)>>,
}

impl EndpointLoads {
    pub(super) fn new(endpoints: u32) -> Self {
        Self {
            old: vec![0; endpoints as usize],
            new: vec![0; endpoints as usize],
            ends: BTreeMap::new(),
        }
    }

    fn of(&mut self, side: BuildSide) -> &mut [u32] {
        match side {
            BuildSide::Old => &mut self.old,
            BuildSide::New => &mut self.new,
        }
    }

    /// The less loaded one of two random endpoints among the first ones, and its load.
    pub(super) fn choose(
        &mut self,
        side: BuildSide,
        endpoints: u32,
        now_ms: u64,
        rng: &mut StdRng,
    ) -> (usize, u32) {
        let later = self.ends.split_off(&(now_ms + 1));
        for (side, endpoint) in std::mem::replace(&mut self.ends, later)
            .into_values()
            .flatten()
        {
            self.of(side)[endpoint] -= 1;
        }
        let drawn = [(); 2].map(|()| rng.random_range(0..endpoints as usize));
        let loads = self.of(side);
        let chosen = drawn.into_iter().min_by_key(|endpoint| loads[*endpoint]);
        let chosen = chosen.unwrap_or_default();
        (chosen, loads[chosen])
    }

    pub(super) fn begin(&mut self, side: BuildSide, endpoint: usize, end_ms: u64) {
        self.of(side)[endpoint] += 1;
        self.ends.entry(end_ms).or_default().push((side, endpoint));
    }
}

/// Whether an occupancy is among the usual ones at which a host observed the old build.
pub(super) fn is_within(old: &[f64], occupancy: f64) -> bool {
    let higher = old.iter().filter(|old| **old >= occupancy);
    higher.count() as f64 >= MIN_HIGHER_FRACTION * old.len() as f64
}
