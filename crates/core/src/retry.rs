//! A budget for retries: a share of the successes, so that an outage is not
//! multiplied by everyone's second tries.

/// What one success adds: one retry for ten successes.
const EARNED: f64 = 0.1;
/// Retries that a router may save up, and has at its start.
const SAVED_MAX: f64 = 20.0;

/// The retries that a router may make.
///
/// # Example
///
/// ```
/// let mut budget = chalkrock_core::RetryBudget::default();
/// assert!(budget.take());
/// budget.record_success();
/// ```
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudget {
    left: f64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self { left: SAVED_MAX }
    }
}

impl RetryBudget {
    /// A request was answered at its first try.
    pub fn record_success(&mut self) {
        self.left = (self.left + EARNED).min(SAVED_MAX);
    }

    /// Takes a retry, if there is one left.
    pub fn take(&mut self) -> bool {
        if self.left < 1.0 {
            return false;
        }
        self.left -= 1.0;
        true
    }
}
