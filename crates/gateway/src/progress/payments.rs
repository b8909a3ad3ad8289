//! Payments of retries from the retry budget.

use chalkrock_routing::Payment;

use crate::event_log::Event;
use crate::progress::Progress;

/// A retry that was paid.
#[derive(Clone, Copy, Debug)]
pub(super) struct PaidRetry {
    payment: Payment,
    pub(super) paid_at_ms: u64,
}

impl Progress {
    /// Pays the upcoming attempt, if the budget allows it.
    pub(super) fn try_pay_retry(&self) -> Option<PaidRetry> {
        let pool = &self.call.pool;
        let now_ms = self.shared.clock.now_ms();
        let mut fleet = self.shared.fleet();
        let sharers = fleet.size.sharers(now_ms);
        let budget = fleet.budget(pool);
        let payment = budget.try_spend(now_ms, sharers);
        let (credits, slack_spent) = budget.counts();
        let previous_sharers = fleet.replace_paid_sharers(sharers);
        drop(fleet);
        if sharers != previous_sharers {
            self.shared.event_log.emit(&Event::RetryBudget {
                pool,
                sharers,
                previous_sharers,
                credits,
                slack_spent,
            });
        }
        self.count_retry(match payment {
            Some(_) => "paid",
            None => "refused",
        });
        payment.map(|payment| PaidRetry {
            payment,
            paid_at_ms: now_ms,
        })
    }

    /// Returns the payment of an attempt that was not made.
    pub(super) fn refund_retry(&mut self) {
        if let Some(PaidRetry { payment, .. }) = self.unsent_retry.take() {
            let now_ms = self.shared.clock.now_ms();
            let mut fleet = self.shared.fleet();
            fleet.budget(&self.call.pool).refund(payment, now_ms);
            drop(fleet);
            self.count_retry("refunded");
        }
    }

    fn count_retry(&self, outcome: &str) {
        let pool = &self.call.pool;
        let labels = format!("pool=\"{pool}\",outcome=\"{outcome}\"");
        self.shared.metrics.count("retries_total", &labels, 1);
    }
}
