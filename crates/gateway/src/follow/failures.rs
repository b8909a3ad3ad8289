//! Calls of one topic that failed in a row, and what follows from them: how
//! long the next one waits, and how it is sent.

use chalkrock_routing::SubscriptionTimings;
use rand::RngExt;
use tokio::time::Instant;

use crate::clock::ms;
use crate::follow::calls::Hedging;
use crate::outage_log::OutageLog;
use crate::shared::Shared;
use crate::source::{SourceError, Topic};

/// The first pause after a failure; those that follow double.
const PAUSE_FIRST_MS: u64 = 100;
/// Hosts that share the reading for each time that pauses grow by themselves:
/// the first that is answered sends the others what is new.
const SHARING_A_PAUSE: usize = 4;
/// By how much more rarely rules are asked for than endpoints while the platform
/// answers no one: the first answer on either topic ends the pauses of both.
const RULES_RARER: u64 = 4;
/// How often a host that is turned away tries while others are answered.
const TURNED_AWAY_PAUSE_MS: u64 = 1_000;
/// Calls beside each other that failures add. With eight in all a whole read
/// may take 1.28 times the least bound.
const MORE_HEDGES_MAX: u32 = 5;

/// Failures of a topic's calls since the last answer.
pub(super) struct Failures {
    outage: OutageLog,
    topic: Topic,
    in_row: u32,
    times: SubscriptionTimings,
}

impl Failures {
    pub(super) fn new(topic: Topic, times: SubscriptionTimings) -> Self {
        let name = match topic {
            Topic::Rules => "platform-rules",
            Topic::Endpoints => "platform-endpoints",
        };
        Self {
            outage: OutageLog::new(name),
            topic,
            in_row: 0,
            times,
        }
    }

    /// How calls are sent after the failures so far. After one the platform may
    /// be slow rather than silent, so that more calls are waited for; they follow
    /// each other as pauses would, which finds the end of a silence as soon with
    /// two calls in place of five.
    pub(super) fn hedging(&self) -> Hedging {
        if self.in_row == 0 {
            return Hedging::first(&self.times);
        }
        Hedging {
            calls: SubscriptionTimings::MAX_HEDGES + self.in_row.min(MORE_HEDGES_MAX),
            interval: ms(self.times.max_retry_pause_ms * self.rarer()),
            is_woken: true,
        }
    }

    /// By how much this topic is asked more rarely while no host is answered.
    fn rarer(&self) -> u64 {
        match self.topic {
            Topic::Endpoints => 1,
            Topic::Rules => RULES_RARER,
        }
    }

    /// Pauses after a failure of a call that began at an instant.
    pub(super) async fn pause(&mut self, shared: &Shared, error: &SourceError, began_at: Instant) {
        self.outage.failed(shared, error);
        let reading = &shared.subscription;
        let are_others_answered = reading.answered_since(began_at);
        let longest_ms = if are_others_answered {
            TURNED_AWAY_PAUSE_MS
        } else if began_at.elapsed() >= ms(self.times.max_retry_pause_ms) {
            // The calls themselves took as long as a pause.
            PAUSE_FIRST_MS
        } else {
            let doubled = PAUSE_FIRST_MS << self.in_row.min(8);
            let sharing = 1 + reading.subscriber_count() / SHARING_A_PAUSE;
            doubled.min(self.times.max_retry_pause_ms) * sharing as u64 * self.rarer()
        };
        self.in_row += 1;
        // Hosts that failed together shall not ask together again.
        let pause_ms = rand::rng().random_range(PAUSE_FIRST_MS / 2..=longest_ms);
        let pause = tokio::time::sleep(ms(pause_ms));
        if are_others_answered {
            pause.await;
            return;
        }
        tokio::select! {
            () = pause => {}
            () = reading.wait_answered_after(began_at) => {
                let soon_ms = rand::rng().random_range(0..=PAUSE_FIRST_MS);
                tokio::time::sleep(ms(soon_ms)).await;
            }
        }
    }

    /// The platform answered.
    pub(super) fn end(&mut self, shared: &Shared) {
        self.in_row = 0;
        self.outage.worked(shared);
    }
}
