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

    /// Records that the attempt in progress is about to be written to a connection.
    pub(crate) fn record_retry_sent(&mut self) {
        if let Some(PaidRetry { payment, .. }) = &mut self.sent_retry {
            let now_ms = self.shared.clock.now_ms();
            let mut fleet = self.shared.fleet();
            fleet.budget(&self.call.pool).record_sent(payment, now_ms);
        }
    }

    /// Keeps the payment of an attempt that reached no endpoint for the next one.
    pub(super) fn keep_payment(&mut self) {
        self.unsent_retry = self.sent_retry.take();
        if let Some(PaidRetry { payment, .. }) = &mut self.unsent_retry {
            let mut fleet = self.shared.fleet();
            fleet.budget(&self.call.pool).record_unsent(payment);
        }
    }

    /// Returns the payment of an attempt that was not sent.
    pub(super) fn refund_retry(&mut self) {
        let begun = self.sent_retry.take();
        let begun = begun.filter(|retry| !retry.payment.is_sent());
        if let Some(PaidRetry { payment, .. }) = self.unsent_retry.take().or(begun) {
            let mut fleet = self.shared.fleet();
            fleet.budget(&self.call.pool).refund(payment);
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
