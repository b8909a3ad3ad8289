//! A host's part of the fleet's retry budget.
//!
//! The operator limits retries over all hosts, in any window, to a ratio of the requests
//! plus a slack. Hosts do not ask each other before a retry, so that each keeps to a part
//! that is safe whatever the others do:
//!
//! - Each request earns its part of a retry once, at the host that received it. What a host
//!   has earned and not spent is its stock. The stock is limited to a part of what the host's
//!   own requests of the last window may earn, so that the retries of a window are backed by
//!   its requests and by a part of those of the window before it, whatever the order in which
//!   requests come, wherever callers go and whatever a host forgets when it ends.
//! - Each host has an equal part of the slack. It spends most of it once in a window, and the
//!   rest adds to the limit of its stock. It divides by every host that may spend in that
//!   window, see [`FleetSize`](crate::FleetSize).
//! - A retry that was paid counts as stock until it is sent.

use std::collections::VecDeque;

/// Fraction of the ratio that requests earn.
const EARNED_FRACTION: f64 = 0.7;
/// Fraction of the ratio by which the requests of a window limit the stock.
const STOCK_FRACTION: f64 = 0.23;
/// Longest time from sending a retry to its arrival that the budget allows for, as a fraction
/// of the window. Requests at a constant rate earn the rest of the ratio in it.
const DELIVERY_FRACTION: f64 = (1.0 - EARNED_FRACTION - STOCK_FRACTION) / EARNED_FRACTION;
/// Fraction of the slack that is spent once in a window.
const SLACK_FRACTION: f64 = 0.6;
/// Fraction of the slack that adds to the limits of all stocks.
const SLACK_STOCK_FRACTION: f64 = 1.0 - SLACK_FRACTION;
/// Most retries that one request earns, under a ratio that sets no limit.
const MAX_EARNED_PER_REQUEST: f64 = 100.0;
/// Entries per window of a log of times.
const LOG_RESOLUTION: u64 = 40;
/// Allows for rounding of sums of fractions.
const EPSILON: f64 = 1e-9;

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

/// The fractions of a retry, each at least 0 and less than 1, with which a host begins.
///
/// A host makes whole retries only. Drawn at random for each host, the fractions let the
/// hosts of a fleet together make as many as their parts add up to.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct BudgetPhases {
    /// Of the retries that requests earn.
    pub credit: f64,
    /// Of the limit of the stock.
    pub stock: f64,
    /// Of the part of the slack.
    pub slack: f64,
}

/// A retry that was paid from the budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[must_use]
pub struct Payment {
    source: PaidFrom,
    /// When it was sent; the first time of its entry in the log if it was paid from the slack.
    sent_entry_ms: Option<u64>,
}

impl Payment {
    fn new(source: PaidFrom) -> Self {
        Self {
            source,
            sent_entry_ms: None,
        }
    }

    /// Whether the retry was sent.
    pub fn is_sent(&self) -> bool {
        self.sent_entry_ms.is_some()
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum PaidFrom {
    Stock,
    Slack,
}

/// Times of equal events, the oldest first. Events close to each other share an entry.
#[derive(Clone, Debug, Default)]
struct TimeLog {
    entries: VecDeque<LogEntry>,
}

#[derive(Clone, Copy, Debug)]
struct LogEntry {
    first_ms: u64,
    last_ms: u64,
    count: u32,
}

impl TimeLog {
    /// Adds an event and returns the first time of its entry.
    fn push(&mut self, now_ms: u64, resolution_ms: u64) -> u64 {
        match self.entries.back_mut() {
            Some(last) if now_ms < last.first_ms + resolution_ms => {
                last.last_ms = last.last_ms.max(now_ms);
                last.count += 1;
                last.first_ms
            }
            _ => {
                self.entries.push_back(LogEntry {
                    first_ms: now_ms,
                    last_ms: now_ms,
                    count: 1,
                });
                now_ms
            }
        }
    }

    /// Removes an event of the entry that began then, if it is there.
    fn remove(&mut self, first_ms: u64) {
        let begins = |entry: &LogEntry| entry.first_ms == first_ms;
        if let Some(at) = self.entries.iter().position(begins) {
            self.entries[at].count -= 1;
            if self.entries[at].count == 0 {
                self.entries.remove(at);
            }
        }
    }

    /// Drops the entries at the front to which a condition applies.
    fn drop_while(&mut self, condition: impl Fn(&LogEntry) -> bool) {
        while self.entries.front().is_some_and(&condition) {
            self.entries.pop_front();
        }
    }

    fn len(&self) -> u32 {
        self.entries.iter().map(|entry| entry.count).sum()
    }
}

/// Retry budget of one pool on this host.
///
/// `sharers` is the number of hosts that share the slack, this one included, or `None` while
/// this host has no part in it.
///
/// # Example
///
/// ```
/// use chalkrock_routing::{BudgetRules, WindowBudget};
///
/// let rules = BudgetRules { ratio: 0.2, slack: 0.0, window_ms: 10_000 };
/// let mut budget = WindowBudget::new(rules);
/// (0..25).for_each(|_| budget.record_request(0, None));
/// let mut payment = budget.try_spend(0, None).expect("25 requests back a retry");
/// budget.record_sent(&mut payment, 0);
/// assert!(budget.try_spend(0, None).is_none());
/// ```
#[derive(Clone, Debug)]
pub struct WindowBudget {
    rules: BudgetRules,
    phases: BudgetPhases,
    /// Requests of the last window.
    requests: TimeLog,
    /// Retries that were earned and not paid.
    credits: u32,
    /// Retries that were paid from the stock and not sent.
    unsent_credits: u32,
    /// Retries that were paid from the slack and sent.
    slack_sent: TimeLog,
    /// Retries that were paid from the slack and not sent.
    unsent_slack: u32,
    /// When the slack may be spent, after a change of the window.
    slack_from_ms: u64,
}

impl WindowBudget {
    /// Creates a budget without recorded requests, whose fractions are 0.
    pub fn new(rules: BudgetRules) -> Self {
        Self::with_phases(rules, BudgetPhases::default())
    }

    /// Creates a budget without recorded requests.
    pub fn with_phases(rules: BudgetRules, phases: BudgetPhases) -> Self {
        Self {
            rules,
            phases,
            requests: TimeLog::default(),
            credits: 0,
            unsent_credits: 0,
            slack_sent: TimeLog::default(),
            unsent_slack: 0,
            slack_from_ms: 0,
        }
    }

    /// Replaces the rules. What was spent in the window still counts.
    pub fn set_rules(&mut self, rules: BudgetRules, now_ms: u64) {
        let previous = std::mem::replace(&mut self.rules, rules);
        if rules.ratio < previous.ratio || rules.window_ms != previous.window_ms {
            self.credits = 0;
        }
        if rules.window_ms > previous.window_ms {
            // What was spent before the previous window is forgotten.
            self.slack_from_ms = now_ms + rules.window_ms;
        }
    }

    /// Records the first send of a request.
    pub fn record_request(&mut self, now_ms: u64, sharers: Option<usize>) {
        self.update(now_ms, sharers);
        self.requests.push(now_ms, self.resolution_ms());
        let earned = EARNED_FRACTION * self.rules.ratio;
        self.phases.credit += earned.min(MAX_EARNED_PER_REQUEST);
        let whole = (self.phases.credit + EPSILON).floor();
        self.phases.credit -= whole;
        self.credits += whole as u32;
        self.limit_stock(sharers);
    }

    /// Pays one retry if one remains.
    pub fn try_spend(&mut self, now_ms: u64, sharers: Option<usize>) -> Option<Payment> {
        if !self.has_remaining(now_ms, sharers) {
            return None;
        }
        if self.credits > 0 {
            self.credits -= 1;
            self.unsent_credits += 1;
            return Some(Payment::new(PaidFrom::Stock));
        }
        self.unsent_slack += 1;
        Some(Payment::new(PaidFrom::Slack))
    }

    /// Records that a retry is sent. Until then its payment counts as unspent.
    pub fn record_sent(&mut self, payment: &mut Payment, now_ms: u64) {
        if payment.is_sent() {
            return;
        }
        let entry_ms = match payment.source {
            PaidFrom::Stock => {
                self.unsent_credits -= 1;
                now_ms
            }
            PaidFrom::Slack => {
                self.unsent_slack -= 1;
                self.slack_sent.push(now_ms, self.resolution_ms())
            }
        };
        payment.sent_entry_ms = Some(entry_ms);
    }

    /// Records that a retry was not sent after all, so that its payment can serve another
    /// attempt.
    pub fn record_unsent(&mut self, payment: &mut Payment) {
        let Some(entry_ms) = payment.sent_entry_ms.take() else {
            return;
        };
        match payment.source {
            PaidFrom::Stock => self.unsent_credits += 1,
            PaidFrom::Slack => {
                self.unsent_slack += 1;
                self.slack_sent.remove(entry_ms);
            }
        }
    }

    /// Returns the payment of a retry that was not sent.
    pub fn refund(&mut self, mut payment: Payment) {
        self.record_unsent(&mut payment);
        match payment.source {
            PaidFrom::Stock => {
                self.unsent_credits -= 1;
                self.credits += 1;
            }
            PaidFrom::Slack => self.unsent_slack -= 1,
        }
    }

    /// Whether a retry remains.
    pub fn has_remaining(&mut self, now_ms: u64, sharers: Option<usize>) -> bool {
        self.update(now_ms, sharers);
        let sharers = sharers.filter(|_| now_ms >= self.slack_from_ms);
        let slack_part = sharers.map_or(0, |sharers| {
            let part = SLACK_FRACTION * self.slack_part(sharers);
            (part + self.phases.slack + EPSILON) as u32
        });
        self.credits > 0 || self.slack_sent.len() + self.unsent_slack < slack_part
    }

    /// Retries in stock, and those paid from the slack in the window.
    pub fn counts(&self) -> (u32, u32) {
        (self.credits, self.slack_sent.len() + self.unsent_slack)
    }

    /// This host's part of the slack.
    fn slack_part(&self, sharers: usize) -> f64 {
        self.rules.slack / sharers.max(1) as f64
    }

    fn resolution_ms(&self) -> u64 {
        (self.rules.window_ms / LOG_RESOLUTION).max(1)
    }

    /// Forgets what is older than the window. Since the limit of the stock only falls between
    /// two requests, it is enough to apply it at each call.
    fn update(&mut self, now_ms: u64, sharers: Option<usize>) {
        let window_ms = self.rules.window_ms;
        let delivery_ms = (DELIVERY_FRACTION * window_ms as f64) as u64;
        self.requests
            .drop_while(|entry| entry.first_ms + window_ms <= now_ms);
        self.slack_sent
            .drop_while(|entry| entry.last_ms + window_ms + delivery_ms <= now_ms);
        self.limit_stock(sharers);
    }

    fn limit_stock(&mut self, sharers: Option<usize>) {
        let by_requests = STOCK_FRACTION * self.rules.ratio * f64::from(self.requests.len());
        let by_slack = sharers.map_or(0.0, |sharers| self.slack_part(sharers));
        let limit = by_requests + SLACK_STOCK_FRACTION * by_slack + self.phases.stock + EPSILON;
        let left = (limit as u32).saturating_sub(self.unsent_credits);
        self.credits = self.credits.min(left);
    }
}
