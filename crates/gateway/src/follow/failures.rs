//! Consecutive failures of a topic's calls, with the retry pauses and the hedging that
//! follow from them.

use chalkrock_routing::SubscriptionTimings;
use rand::RngExt;
use tokio::time::Instant;

use crate::clock::ms;
use crate::follow::calls::Hedging;
use crate::outage_log::OutageLog;
use crate::shared::Shared;
use crate::source::{SourceError, Topic};
use crate::store_answers::AnswerScope;

/// The first retry pause; later ones double.
const FIRST_PAUSE_MS: u64 = 100;
/// Subscribers for each increase of the retry pause by its own length: the first that is
/// answered informs the others.
const SUBSCRIBERS_PER_PAUSE: usize = 4;
/// Ratio of retry pauses for rules to those for endpoints while the store answers no host:
/// the first answer on either topic ends the pauses of both.
const RULES_PAUSE_FACTOR: u64 = 4;
/// Longest retry pause of a rejected host while others are answered.
const MAX_REJECTED_PAUSE_MS: u64 = 1_000;
/// Most hedged calls that failures add. With eight in all, a full read may take 1.28 times
/// the minimum bound.
const MAX_EXTRA_HEDGES: u32 = 5;

/// Consecutive failures of a topic's calls.
pub(super) struct Failures {
    outage: OutageLog,
    topic: Topic,
    consecutive: u32,
    timings: SubscriptionTimings,
}

impl Failures {
    pub(super) fn new(topic: Topic, timings: SubscriptionTimings) -> Self {
        let name = match topic {
            Topic::Rules => "platform-rules",
            Topic::Endpoints => "platform-endpoints",
        };
        Self {
            outage: OutageLog::new(name),
            topic,
            consecutive: 0,
            timings,
        }
    }

    /// Hedging after the failures so far. The store may be slow rather than unavailable, so
    /// each failure adds a call to wait for, and the interval grows to a retry pause.
    pub(super) fn hedging(&self) -> Hedging {
        if self.consecutive == 0 {
            return Hedging::initial(&self.timings);
        }
        Hedging {
            calls: SubscriptionTimings::MAX_HEDGES + self.consecutive.min(MAX_EXTRA_HEDGES),
            interval: ms(self.timings.max_retry_pause_ms * self.pause_factor()),
            wakes_on_answer: true,
        }
    }

    /// Factor of this topic's retry pauses while no host is answered.
    fn pause_factor(&self) -> u64 {
        match self.topic {
            Topic::Endpoints => 1,
            Topic::Rules => RULES_PAUSE_FACTOR,
        }
    }

    /// Pauses after the failure of a call that began at `began_at`.
    pub(super) async fn pause(&mut self, shared: &Shared, error: &SourceError, began_at: Instant) {
        self.outage.failed(shared, error);
        let subscription = &shared.subscription;
        let are_others_answered =
            subscription.answered_since(AnswerScope::Topic(self.topic), began_at);
        let max_pause_ms = if are_others_answered {
            MAX_REJECTED_PAUSE_MS
        } else if began_at.elapsed() >= ms(self.timings.max_retry_pause_ms) {
            // The calls already took as long as a pause.
            FIRST_PAUSE_MS
        } else {
            let doubled = FIRST_PAUSE_MS << self.consecutive.min(8);
            let steps = 1 + subscription.subscriber_count() / SUBSCRIBERS_PER_PAUSE;
            doubled.min(self.timings.max_retry_pause_ms) * steps as u64 * self.pause_factor()
        };
        self.consecutive += 1;
        // Spreads the retries of hosts that failed together.
        let pause_ms = rand::rng().random_range(FIRST_PAUSE_MS / 2..=max_pause_ms);
        let pause = tokio::time::sleep(ms(pause_ms));
        if are_others_answered {
            pause.await;
            return;
        }
        tokio::select! {
            () = pause => {}
            () = subscription.wait_answered_after(began_at) => {
                let jitter_ms = rand::rng().random_range(0..=FIRST_PAUSE_MS);
                tokio::time::sleep(ms(jitter_ms)).await;
            }
        }
    }

    /// Records an answer, which ends the failures.
    pub(super) fn record_success(&mut self, shared: &Shared) {
        self.consecutive = 0;
        self.outage.worked(shared);
    }
}
