//! Stalls of simulated hosts.

use rand::rngs::StdRng;
use rand::{Rng, RngExt};

/// Which hosts stall, and whether they measure it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stalls {
    /// No host stalls.
    None,
    /// Weak hosts stall many times a minute, each for itself.
    Weak {
        /// Whether hosts measure their stalls.
        are_measured: bool,
    },
    /// Besides, a third of all hosts stalls at the same moment every few seconds.
    Simultaneous {
        /// Whether hosts measure their stalls.
        are_measured: bool,
    },
}

const WEAK_HOST_FRACTION: f64 = 0.8;
const STALL_MS: std::ops::Range<u64> = 100..1_500;
/// Time from the end of a weak host's stall to the next one.
const MEAN_STALL_INTERVAL_MS: f64 = 3_000.0;
const MEAN_SIMULTANEOUS_INTERVAL_MS: f64 = 4_000.0;
const SIMULTANEOUS_HOST_FRACTION: f64 = 1.0 / 3.0;
/// Fraction of stalls that a host does not notice, such as those of its network.
const UNNOTICED_FRACTION: f64 = 0.1;
/// A host measures its timers' lag in steps of this length.
const MAX_MEASUREMENT_ERROR_MS: u64 = 50;

#[derive(Clone, Copy, Debug)]
struct Stall {
    start_ms: u64,
    end_ms: u64,
    /// How much of it the host misses; `None` if it does not notice the stall.
    error_ms: Option<u64>,
}

/// The stalls of one host, in order.
#[derive(Clone, Debug, Default)]
pub(super) struct HostStalls(Vec<Stall>);

impl HostStalls {
    /// The end of the stall at this time, or this time.
    pub(super) fn end_of_stall(&self, at_ms: u64) -> u64 {
        let mut end_ms = at_ms;
        for stall in &self.0 {
            if stall.start_ms <= end_ms && end_ms < stall.end_ms {
                end_ms = stall.end_ms;
            }
        }
        end_ms
    }

    /// The measured time of stalls between two times.
    pub(super) fn measured_ms(&self, from_ms: u64, to_ms: u64) -> u64 {
        let overlaps = self.0.iter().map(|stall| {
            let overlap_ms = stall
                .end_ms
                .min(to_ms)
                .saturating_sub(stall.start_ms.max(from_ms));
            stall
                .error_ms
                .map_or(0, |error_ms| overlap_ms.saturating_sub(error_ms))
        });
        overlaps.sum()
    }
}

/// Draws the stalls of each host until a time.
pub(super) fn draw_stalls(
    stalls: Stalls,
    hosts: usize,
    until_ms: u64,
    rng: &mut StdRng,
) -> Vec<HostStalls> {
    let mut drawn = vec![HostStalls::default(); hosts];
    let (are_simultaneous, are_measured) = match stalls {
        Stalls::None => return drawn,
        Stalls::Weak { are_measured } => (false, are_measured),
        Stalls::Simultaneous { are_measured } => (true, are_measured),
    };
    let draw = |start_ms: u64, rng: &mut StdRng| {
        let error_ms = rng.random_range(0..MAX_MEASUREMENT_ERROR_MS);
        let is_noticed = are_measured && rng.random::<f64>() >= UNNOTICED_FRACTION;
        Stall {
            start_ms,
            end_ms: start_ms + rng.random_range(STALL_MS),
            error_ms: is_noticed.then_some(error_ms),
        }
    };
    for host in &mut drawn {
        if rng.random::<f64>() >= WEAK_HOST_FRACTION {
            continue;
        }
        let mut at_ms = interval_ms(MEAN_STALL_INTERVAL_MS, rng);
        while at_ms < until_ms {
            let stall = draw(at_ms, rng);
            at_ms = stall.end_ms + interval_ms(MEAN_STALL_INTERVAL_MS, rng);
            host.0.push(stall);
        }
    }
    let mut at_ms = interval_ms(MEAN_SIMULTANEOUS_INTERVAL_MS, rng);
    while are_simultaneous && at_ms < until_ms {
        for host in &mut drawn {
            if rng.random::<f64>() < SIMULTANEOUS_HOST_FRACTION {
                host.0.push(draw(at_ms, rng));
            }
        }
        at_ms += interval_ms(MEAN_SIMULTANEOUS_INTERVAL_MS, rng);
    }
    for host in &mut drawn {
        host.0.sort_by_key(|stall| stall.start_ms);
    }
    drawn
}

/// Draws from an exponential distribution.
fn interval_ms(mean_ms: f64, rng: &mut impl Rng) -> u64 {
    (-mean_ms * (1.0 - rng.random::<f64>()).ln()) as u64
}
