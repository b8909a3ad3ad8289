//! A host's part of the fleet's retry budget.
//!
//! The operator limits retries over all hosts, in any window, to a ratio of the requests
//! plus a slack. Hosts do not ask each other before a retry, so that each keeps to a part
//! that is safe whatever the others do:
//!
//! - Each request backs its ratio of a retry once, at the host that received it, and for a
//!   short time. Wherever callers go, and whatever a host forgets when it ends, the retries
//!   of a window are backed by the requests of that window and of that time before it.
//! - Each host has an equal part of the slack, which it spends once in a window. It divides
//!   by every host that may spend in that window, see [`FleetSize`](crate::FleetSize).

use std::collections::VecDeque;

/// Fraction of the limit that is spent. With requests at a constant rate, the fraction of
/// the requests that can back the retries of a window is within the ratio.
const USABLE_FRACTION: f64 = 0.8;
/// Time for which a request backs a retry, as a part of the window.
const CREDIT_LIFE: f64 = 1.0 / USABLE_FRACTION - 1.0;
/// Most retries that one request backs, under a ratio that sets no limit.
const MAX_CREDITS_PER_REQUEST: f64 = 100.0;
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
    /// Of the retries that requests back.
    pub credit: f64,
    /// Of the part of the slack.
    pub slack: f64,
}

/// A retry that was paid from the budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[must_use]
pub struct Payment {
    source: PaidFrom,
    /// When the request that backs it arrived, or when the slack was spent.
    entry_ms: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum PaidFrom {
    Credit,
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

    /// Removes the oldest event and returns the first time of its entry.
    fn pop_oldest(&mut self) -> Option<u64> {
        let oldest = self.entries.front_mut()?;
        oldest.count -= 1;
        let first_ms = oldest.first_ms;
        if oldest.count == 0 {
            self.entries.pop_front();
        }
        Some(first_ms)
    }

    /// Returns an event that was removed to an entry that began then.
    fn put_back(&mut self, first_ms: u64) {
        let at = self
            .entries
            .partition_point(|entry| entry.first_ms < first_ms);
        match self.entries.get_mut(at) {
            Some(entry) if entry.first_ms == first_ms => entry.count += 1,
            _ => self.entries.insert(
                at,
                LogEntry {
                    first_ms,
                    last_ms: first_ms,
                    count: 1,
                },
            ),
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
/// # Example
///
/// ```
/// use chalkrock_routing::{BudgetRules, WindowBudget};
///
/// let rules = BudgetRules { ratio: 0.2, slack: 0.0, window_ms: 10_000 };
/// let mut budget = WindowBudget::new(rules);
/// (0..10).for_each(|_| budget.record_request(0));
/// let payment = budget.try_spend(0, None);
/// assert!(payment.is_some());
/// assert!(budget.try_spend(0, None).is_none());
/// ```
#[derive(Clone, Debug)]
pub struct WindowBudget {
    rules: BudgetRules,
    phases: BudgetPhases,
    /// Retries that requests back.
    credits: TimeLog,
    /// Retries that were paid from the slack.
    slack_spent: TimeLog,
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
            credits: TimeLog::default(),
            slack_spent: TimeLog::default(),
            slack_from_ms: 0,
        }
    }

    /// Replaces the rules. What was spent in the window still counts.
    pub fn set_rules(&mut self, rules: BudgetRules, now_ms: u64) {
        let previous = std::mem::replace(&mut self.rules, rules);
        if rules.ratio < previous.ratio || rules.window_ms != previous.window_ms {
            self.credits = TimeLog::default();
        }
        if rules.window_ms > previous.window_ms {
            // What was spent before the previous window is forgotten.
            self.slack_from_ms = now_ms + rules.window_ms;
        }
    }

    /// Records the first send of a request.
    pub fn record_request(&mut self, now_ms: u64) {
        self.drop_expired(now_ms);
        let earned = USABLE_FRACTION * self.rules.ratio;
        self.phases.credit += earned.min(MAX_CREDITS_PER_REQUEST);
        while self.phases.credit + EPSILON >= 1.0 {
            self.phases.credit -= 1.0;
            self.credits.push(now_ms, self.resolution_ms());
        }
    }

    /// Spends one retry if one remains. `sharers` is the number of hosts that share the
    /// slack, this one included, or `None` if this host has no part in it.
    pub fn try_spend(&mut self, now_ms: u64, sharers: Option<usize>) -> Option<Payment> {
        if !self.has_remaining(now_ms, sharers) {
            return None;
        }
        let payment = match self.credits.pop_oldest() {
            Some(entry_ms) => Payment {
                source: PaidFrom::Credit,
                entry_ms,
            },
            None => Payment {
                source: PaidFrom::Slack,
                entry_ms: self.slack_spent.push(now_ms, self.resolution_ms()),
            },
        };
        Some(payment)
    }

    /// Returns the payment of a retry that was not sent. What backed it expires as if it had
    /// not been spent.
    pub fn refund(&mut self, payment: Payment, now_ms: u64) {
        match payment.source {
            PaidFrom::Credit => self.credits.put_back(payment.entry_ms),
            PaidFrom::Slack => self.slack_spent.remove(payment.entry_ms),
        }
        self.drop_expired(now_ms);
    }

    /// Whether a retry remains.
    pub fn has_remaining(&mut self, now_ms: u64, sharers: Option<usize>) -> bool {
        self.drop_expired(now_ms);
        let sharers = sharers.filter(|_| now_ms >= self.slack_from_ms);
        let slack_part = sharers.map_or(0, |sharers| self.slack_part(sharers));
        self.credits.len() > 0 || self.slack_spent.len() < slack_part
    }

    /// Retries that requests back now, and those paid from the slack in the window.
    pub fn counts(&self) -> (u32, u32) {
        (self.credits.len(), self.slack_spent.len())
    }

    /// This host's part of the slack.
    fn slack_part(&self, sharers: usize) -> u32 {
        let part = USABLE_FRACTION * self.rules.slack / sharers.max(1) as f64;
        (part + self.phases.slack + EPSILON) as u32
    }

    fn resolution_ms(&self) -> u64 {
        (self.rules.window_ms / LOG_RESOLUTION).max(1)
    }

    fn drop_expired(&mut self, now_ms: u64) {
        let window_ms = self.rules.window_ms;
        let life_ms = (CREDIT_LIFE * window_ms as f64) as u64;
        self.credits
            .drop_while(|entry| entry.first_ms + life_ms <= now_ms);
        self.slack_spent
            .drop_while(|entry| entry.last_ms + window_ms <= now_ms);
    }
}
