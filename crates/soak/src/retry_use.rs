//! Retries of a service in each window, beside those that the operator allows.

use std::collections::BTreeSet;

use crate::checks::Bounds;
use crate::journal::{Journal, TryEnd};

/// The retries of the window that exceeds its allowance most, or comes nearest to it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RetryUse {
    /// End of the window.
    pub at_ms: u64,
    /// Arrivals beyond the first of each try in the window.
    pub retries: u32,
    /// Retries that the requests and the slack allow in it.
    pub allowed: f64,
    /// Retries in all windows together.
    pub total: u32,
}

impl RetryUse {
    /// Whether no window has more retries than allowed.
    pub fn is_allowed(&self) -> bool {
        f64::from(self.retries) <= self.allowed
    }
}

/// Returns the retries of the window that exceeds its allowance most. Tries that were sent
/// count whether they arrived or not; they are counted in the window, in the one before it or
/// in the one half a window before it, whichever has most.
pub fn worst_retry_use(journal: &Journal, service: &str, bounds: &Bounds) -> RetryUse {
    let leads_to = |route: &str| {
        let mut rules = journal.rules.iter();
        rules.any(|rule| *rule.route == *route && *rule.service == *service)
    };
    let tries = journal.tries.iter();
    let sent = tries.filter(|t| t.end != TryEnd::NotSent && leads_to(&t.route));
    let mut sent_ms: Vec<u64> = sent.map(|t| t.sent_ms).collect();
    sent_ms.sort_unstable();
    let mut arrivals: Vec<_> = journal.arrivals.iter().collect();
    arrivals.sort_by_key(|arrival| arrival.at_ms);
    arrivals.retain(|arrival| *arrival.service == *service);
    let mut first = BTreeSet::new();
    let retries = arrivals.iter().filter(|a| !first.insert(&*a.try_id));
    let retries_ms: Vec<u64> = retries.map(|a| a.at_ms).collect();
    let window_ms = bounds.retry_window_ms;
    let mut worst: Option<RetryUse> = None;
    for &at_ms in &retries_ms {
        let ends_ms = [0, window_ms / 2, window_ms].map(|ago_ms| at_ms.checked_sub(ago_ms));
        let requests = ends_ms.into_iter().flatten();
        let requests = requests.map(|end_ms| count_in_window(&sent_ms, end_ms, window_ms));
        let requests = requests.max().unwrap_or_default();
        let retries = count_in_window(&retries_ms, at_ms, window_ms);
        let allowed = bounds.retry_ratio * f64::from(requests) + bounds.retry_slack;
        let excess = |used: &RetryUse| f64::from(used.retries) - used.allowed;
        let used = RetryUse {
            at_ms,
            retries,
            allowed,
            total: retries_ms.len() as u32,
        };
        if worst.is_none_or(|worst| excess(&used) > excess(&worst)) {
            worst = Some(used);
        }
    }
    worst.unwrap_or_default()
}

/// The number of times in the window that ends with `end_ms`.
fn count_in_window(times_ms: &[u64], end_ms: u64, window_ms: u64) -> u32 {
    let to = times_ms.partition_point(|at_ms| *at_ms <= end_ms);
    let from = times_ms.partition_point(|at_ms| at_ms + window_ms <= end_ms);
    (to - from) as u32
}
