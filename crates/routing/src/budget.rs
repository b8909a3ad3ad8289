//! A host's share of the fleet's retry budget, over a sliding window.
//!
//! The operator limits retries over all hosts to a ratio of the requests plus a
//! slack. Each host spends the ratio of its own requests and an equal share of the
//! slack.

use std::collections::VecDeque;

/// Buckets per window.
const BUCKETS: u64 = 10;
/// Fraction of the limit that is spent; hosts may disagree on how many are live.
const USABLE_FRACTION: f64 = 0.8;

/// The operator's limit on retries.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BudgetRules {
    /// Retries per request.
    pub ratio: f64,
    /// Retries over the whole fleet in addition to the ratio.
    pub slack: f64,
    /// Window in which requests and retries are counted.
    pub window_ms: u64,
}

#[derive(Clone, Copy, Debug, Default)]
struct Bucket {
    number: u64,
    requests: u32,
    retries: u32,
}

/// Retry budget of one pool on this host.
///
/// # Example
///
/// ```
/// use chalkrock_routing::{BudgetRules, WindowBudget};
///
/// let rules = BudgetRules { ratio: 0.2, slack: 0.0, window_ms: 10_000 };
/// let mut budget = WindowBudget::new(rules);
/// (0..10).for_each(|_| budget.record_request(0));
/// assert!(budget.try_spend(0, 1));
/// assert!(!budget.try_spend(0, 1));
/// ```
#[derive(Clone, Debug)]
pub struct WindowBudget {
    rules: BudgetRules,
    buckets: VecDeque<Bucket>,
}

impl WindowBudget {
    /// Creates a budget without recorded requests.
    pub fn new(rules: BudgetRules) -> Self {
        Self {
            rules,
            buckets: VecDeque::new(),
        }
    }

    /// Records the first send of a request.
    pub fn record_request(&mut self, now_ms: u64) {
        self.current_bucket(now_ms).requests += 1;
    }

    /// Spends one retry if one remains. `hosts` is the number of hosts that share the
    /// slack, this one included.
    pub fn try_spend(&mut self, now_ms: u64, hosts: usize) -> bool {
        if !self.has_remaining(now_ms, hosts) {
            return false;
        }
        self.current_bucket(now_ms).retries += 1;
        true
    }

    /// The requests and retries of the window.
    pub fn counts(&self) -> (u32, u32) {
        let sum = |count: fn(&Bucket) -> u32| self.buckets.iter().map(count).sum();
        (sum(|bucket| bucket.requests), sum(|bucket| bucket.retries))
    }

    /// Whether a retry remains.
    pub fn has_remaining(&mut self, now_ms: u64, hosts: usize) -> bool {
        let slack = USABLE_FRACTION * self.rules.slack / hosts.max(1) as f64;
        let ratio = USABLE_FRACTION * self.rules.ratio;
        self.current_bucket(now_ms);
        let (requests, retries) = self.counts();
        f64::from(retries + 1) <= ratio * f64::from(requests) + slack
    }

    /// Returns the current bucket and drops those that have left the window.
    fn current_bucket(&mut self, now_ms: u64) -> &mut Bucket {
        let length_ms = (self.rules.window_ms / BUCKETS).max(1);
        let number = now_ms / length_ms;
        while self
            .buckets
            .front()
            .is_some_and(|bucket| bucket.number + BUCKETS < number)
        {
            self.buckets.pop_front();
        }
        if self.buckets.back().is_none_or(|last| last.number < number) {
            self.buckets.push_back(Bucket {
                number,
                ..Bucket::default()
            });
        }
        let last = self.buckets.len() - 1;
        &mut self.buckets[last]
    }
}
