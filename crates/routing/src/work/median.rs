//! A median over recent values.

use std::collections::VecDeque;

/// The median of the last `N` values, which one odd value does not move.
#[derive(Clone, Debug, Default)]
pub(crate) struct RecentMedian<const N: usize> {
    values: VecDeque<f64>,
}

impl<const N: usize> RecentMedian<N> {
    /// Adds a value; those that are not finite and positive are ignored.
    pub(crate) fn record(&mut self, value: f64) {
        if !value.is_finite() || value <= 0.0 {
            return;
        }
        if self.values.len() >= N {
            self.values.pop_front();
        }
        self.values.push_back(value);
    }

    /// How many values there are.
    pub(crate) fn len(&self) -> usize {
        self.values.len()
    }

    /// The median, once there are `min_values`.
    pub(crate) fn get(&self, min_values: usize) -> Option<f64> {
        if self.values.len() < min_values.max(1) {
            return None;
        }
        median(self.values.iter().copied())
    }
}

/// The lower median of some values.
pub(crate) fn median(values: impl Iterator<Item = f64>) -> Option<f64> {
    let mut sorted: Vec<f64> = values.collect();
    sorted.sort_by(f64::total_cmp);
    let middle = sorted.len().checked_sub(1)? / 2;
    sorted.get(middle).copied()
}
