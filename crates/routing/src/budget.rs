//! A host's part of the fleet's retry budget, over a sliding window.
//!
//! The operator bounds the sends beyond each request's first, over all hosts,
//! by a ratio of the requests plus a slack. A host pays from the ratio of its
//! own requests and from an equal part of the slack, so that nothing has to be
//! agreed: the parts add up to no more than the whole.

use std::collections::VecDeque;

/// Sub-windows of a window: how finely old counts drop out.
const STEPS: u64 = 10;
/// The part of the bound that is used: hosts do not agree on how many live.
const USED: f64 = 0.8;

/// The bound on retries.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BudgetRules {
    /// Retries for each request.
    pub ratio: f64,
    /// Retries over the whole fleet beside the ratio.
    pub slack: f64,
    /// The window in which both are counted.
    pub window_ms: u64,
}

#[derive(Clone, Copy, Debug, Default)]
struct Step {
    number: u64,
    requests: u32,
    retries: u32,
}

/// Counts of one pool's requests and retries on this host.
///
/// # Example
///
/// ```
/// use chalkrock_routing::{BudgetRules, WindowBudget};
///
/// let rules = BudgetRules { ratio: 0.2, slack: 0.0, window_ms: 10_000 };
/// let mut budget = WindowBudget::new(rules);
/// (0..10).for_each(|_| budget.request(0));
/// assert!(budget.take(0, 1));
/// assert!(!budget.take(0, 1));
/// ```
#[derive(Clone, Debug)]
pub struct WindowBudget {
    rules: BudgetRules,
    steps: VecDeque<Step>,
}

impl WindowBudget {
    /// An empty window.
    pub fn new(rules: BudgetRules) -> Self {
        Self {
            rules,
            steps: VecDeque::new(),
        }
    }

    /// A request is sent for the first time.
    pub fn record_request(&mut self, now_ms: u64) {
        self.step(now_ms).requests += 1;
    }

    /// Takes one retry, if there is one left. `hosts` is how many hosts share
    /// the slack, this one among them.
    pub fn try_spend(&mut self, now_ms: u64, hosts: usize) -> bool {
        if !self.has_remaining(now_ms, hosts) {
            return false;
        }
        self.step(now_ms).retries += 1;
        true
    }

    /// Whether a retry is left to take.
    pub fn has_remaining(&mut self, now_ms: u64, hosts: usize) -> bool {
        let slack = USED * self.rules.slack / hosts.max(1) as f64;
        let ratio = USED * self.rules.ratio;
        self.step(now_ms);
        let requests: u32 = self.steps.iter().map(|step| step.requests).sum();
        let retries: u32 = self.steps.iter().map(|step| step.retries).sum();
        f64::from(retries + 1) <= ratio * f64::from(requests) + slack
    }

    /// The sub-window of now; those that have left the window are dropped.
    fn step(&mut self, now_ms: u64) -> &mut Step {
        let length_ms = (self.rules.window_ms / STEPS).max(1);
        let number = now_ms / length_ms;
        while self
            .steps
            .front()
            .is_some_and(|step| step.number + STEPS < number)
        {
            self.steps.pop_front();
        }
        if self.steps.back().is_none_or(|step| step.number < number) {
            self.steps.push_back(Step {
                number,
                ..Step::default()
            });
        }
        let last = self.steps.len() - 1;
        &mut self.steps[last]
    }
}
