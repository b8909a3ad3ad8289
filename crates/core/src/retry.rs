//! A retry budget, which keeps retries from multiplying the load of an outage.

/// Retries that one success adds.
const RETRIES_PER_SUCCESS: f64 = 0.1;
/// Largest budget, and the initial one.
const MAX_RETRIES: f64 = 20.0;

/// The retries available to a router.
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
    retries: f64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self {
            retries: MAX_RETRIES,
        }
    }
}

impl RetryBudget {
    /// Records a request that succeeded on its first attempt.
    pub fn record_success(&mut self) {
        self.retries = (self.retries + RETRIES_PER_SUCCESS).min(MAX_RETRIES);
    }

    /// Consumes a retry; returns `false` if none is available.
    pub fn take(&mut self) -> bool {
        if self.retries < 1.0 {
            return false;
        }
        self.retries -= 1.0;
        true
    }
}
