//! Follows the store's rules and list of endpoints.
//!
//! A topic is read whole once and then followed by long polls. It is read whole again when
//! the store's history is gone or another host knows more. A starting host queries other
//! hosts first, and reads nothing until it is a subscriber if they supply a view.
//!
//! A long poll lost in an outage of the store looks like one without changes. So while the
//! view of a topic is stale, short polls run beside its long poll, and after a failure short
//! polls run until the store answers.

mod calls;
mod failures;
mod start;

use std::sync::Arc;
use std::time::Duration;

use chalkrock_core::EndpointId;
use chalkrock_routing::{Evacuations, RolloutOrders, StoreVersion};
use rand::RngExt;
use tokio::time::Instant;

use crate::clock::ms;
use crate::fleet::WholeRead;
use crate::follow::calls::{hedged, long_poll, poll};
use crate::follow::failures::Failures;
use crate::metrics::StoreBytes;
use crate::shared::Shared;
use crate::source::{EndpointChange, EndpointRow, Row, Source, SourceError, SourceUpdate, Topic};
use crate::subscription::ReadReason;

/// Duration of a long poll; each is a billed call.
const LONG_POLL_MS: u64 = 10_000;
/// Pause after the first answer, in which most starting hosts learn that others are the
/// subscribers.
const FIRST_ANSWER_PAUSE: Duration = Duration::from_millis(1_000);
const FROM: &str = "platform";

/// The next call of the store.
#[derive(Clone, Copy)]
pub(super) enum Step {
    /// No call yet, as other hosts supplied a view.
    Idle,
    /// Reads the whole topic.
    ReadWhole,
    /// Reads the changes since a version, answered at once.
    Poll(StoreVersion),
    /// Waits for changes since a version, at most these milliseconds.
    LongPoll(StoreVersion, u64),
}

/// The result of a [`Step`].
enum CallResult {
    /// The store answered, or the call failed.
    Answered(Result<SourceUpdate, SourceError>),
    /// Other hosts know more than the long poll would bring.
    Outdated,
    /// Other hosts supplied a view meanwhile.
    ViewSupplied,
}

/// Follows one topic until the process ends, whenever this host is to read it.
pub(crate) async fn follow<S: Source>(shared: Arc<Shared>, source: Arc<S>, topic: Topic) {
    let mut step = start::first_step(&shared).await;
    let mut follower = Follower::new(shared, source, topic);
    loop {
        step = follower.wait_until_due(step).await;
        let began_at = Instant::now();
        step = match follower.call(step).await {
            CallResult::Answered(Ok(update)) => follower.handle_update(step, update).await,
            CallResult::Answered(Err(error)) => {
                follower.handle_failure(step, &error, began_at).await
            }
            CallResult::Outdated => Step::ReadWhole,
            CallResult::ViewSupplied => Step::Idle,
        };
    }
}

/// State of following one topic.
struct Follower<S> {
    shared: Arc<Shared>,
    source: Arc<S>,
    topic: Topic,
    failures: Failures,
    /// Duration of the next long poll.
    wait_ms: u64,
    /// Whether the store has not answered yet.
    is_first: bool,
}

impl<S: Source> Follower<S> {
    fn new(shared: Arc<Shared>, source: Arc<S>, topic: Topic) -> Self {
        let failures = Failures::new(topic, shared.config.follow);
        Self {
            shared,
            source,
            topic,
            failures,
            // Spreads the long polls of hosts that start together, so that an outage
            // shows early.
            wait_ms: rand::rng().random_range(1..=LONG_POLL_MS),
            is_first: true,
        }
    }

    /// Waits until this host is to make a step. Returns it, or the one to make instead.
    async fn wait_until_due(&self, step: Step) -> Step {
        let due = || {
            let timings = &self.shared.config.follow;
            self.shared.subscription.next_read(self.topic, timings)
        };
        match step {
            Step::ReadWhole => step,
            Step::Idle => {
                due().await;
                Step::ReadWhole
            }
            Step::Poll(since) | Step::LongPoll(since, _) => match due().await {
                ReadReason::Subscriber => step,
                ReadReason::Reread => Step::ReadWhole,
                ReadReason::StaleView => Step::Poll(since),
            },
        }
    }

    /// Makes the call of a step.
    async fn call(&self, step: Step) -> CallResult {
        let shared = &*self.shared;
        let source = &*self.source;
        let hedging = self.failures.hedging();
        match step {
            Step::Idle | Step::ReadWhole => {
                let arrival = StoreBytes::new(shared);
                let read = || source.read(self.topic, &arrival);
                let reading = hedged(shared, self.topic, &hedging, &arrival, read);
                if shared.has_view() {
                    return CallResult::Answered(reading.await);
                }
                // Other hosts may supply a view before a slow link delivers the whole list.
                tokio::select! {
                    answer = reading => CallResult::Answered(answer),
                    () = shared.wait_until_view_known() => CallResult::ViewSupplied,
                }
            }
            Step::Poll(since) => {
                let polled = poll(shared, source, self.topic, since, &hedging);
                CallResult::Answered(polled.await)
            }
            Step::LongPoll(since, wait_ms) => tokio::select! {
                answer = long_poll(shared, source, self.topic, since, wait_ms) => {
                    CallResult::Answered(answer)
                }
                () = shared.subscription.wait_for_reread(self.topic) => CallResult::Outdated,
            },
        }
    }

    /// Applies the update of a step. Returns the next one, after a pause that batches
    /// changes.
    async fn handle_update(&mut self, step: Step, update: SourceUpdate) -> Step {
        let shared = &*self.shared;
        shared.record_store_answer(self.topic);
        self.failures.record_success(shared);
        if !matches!(step, Step::LongPoll(..)) {
            // Ends the stale view of the other hosts and their retry pauses.
            shared.publish_now.notify_one();
        }
        let next = Step::LongPoll(update.version, self.wait_ms);
        self.wait_ms = LONG_POLL_MS;
        apply_update(shared, self.topic, update, matches!(step, Step::ReadWhole));
        confirm_list(shared, self.topic);
        let timings = &shared.config.follow;
        let batch_window = if self.is_first {
            FIRST_ANSWER_PAUSE
        } else if shared.subscription.is_standby() {
            ms(timings.standby_batch_window_ms)
        } else {
            ms(timings.batch_window_ms)
        };
        self.is_first = false;
        tokio::time::sleep(batch_window).await;
        next
    }

    /// Handles a failed step. Returns the next one, after a pause if the store does not
    /// answer.
    async fn handle_failure(&mut self, step: Step, error: &SourceError, began_at: Instant) -> Step {
        if matches!(error, SourceError::HistoryGone) {
            return Step::ReadWhole;
        }
        self.shared.subscription.record_failure(self.topic);
        self.failures.pause(&self.shared, error, began_at).await;
        match step {
            Step::LongPoll(since, _) => Step::Poll(since),
            other => other,
        }
    }
}

/// Records an answer of the store that leaves the list complete. An answer on the rules says
/// nothing of the list.
fn confirm_list(shared: &Shared, topic: Topic) {
    if topic == Topic::Endpoints {
        shared.confirm_list(0);
    }
}

fn apply_update(shared: &Shared, topic: Topic, update: SourceUpdate, is_whole: bool) {
    let mut changes = Vec::new();
    let mut evacuations = Vec::new();
    let mut orders = Vec::new();
    let mut is_new = false;
    for row in update.rows {
        match row {
            Row::Rules(document) => is_new |= shared.replace_rules(*document, FROM),
            Row::Evacuation(row) => evacuations.push(row),
            Row::Rollout(row) => orders.push(row),
            Row::Endpoint(row) => changes.push(row),
            Row::Unreadable(row) => {
                shared.skip_row(topic, &row);
                if topic == Topic::Endpoints {
                    changes.push(EndpointRow {
                        version: row.version,
                        change: EndpointChange::Unreadable(EndpointId::new(row.key)),
                    });
                }
            }
        }
    }
    if topic == Topic::Rules {
        let has_changes = if is_whole {
            let zones = evacuations.into_iter().filter(|row| row.is_evacuated);
            let zones = zones.map(|row| row.zone);
            shared.replace_evacuations(Evacuations::from_snapshot(update.version, zones), FROM)
        } else {
            shared.apply_evacuation_changes(&evacuations, update.version, FROM)
        };
        is_new |= has_changes;
        is_new |= if is_whole {
            shared
                .replace_rollout_orders(RolloutOrders::from_snapshot(update.version, orders), FROM)
        } else {
            shared.apply_rollout_order_changes(&orders, update.version, FROM)
        };
    }
    if topic == Topic::Endpoints {
        is_new |= apply_endpoints(shared, changes, update.version, is_whole);
        shared.record_endpoints_known();
        // The store holds no poison requests before the fleet's first start.
        if is_whole && !(shared.config.is_first_start && shared.is_warming_up()) {
            shared.poison_records.request_read();
        }
    }
    if is_whole {
        shared.record_topic_refreshed(topic);
        shared.record_full_read(update.version.era());
    }
    if is_new {
        shared.publish_now.notify_one();
    }
}

fn apply_endpoints(
    shared: &Shared,
    changes: Vec<EndpointRow>,
    version: StoreVersion,
    is_whole: bool,
) -> bool {
    let now_ms = shared.clock.now_ms();
    let mut fleet = shared.fleet();
    let in_use = fleet.endpoints_in_use();
    let is_new = if is_whole {
        let read = WholeRead {
            rows: changes,
            complete_to: version,
        };
        fleet.replace_by_read(read, now_ms)
    } else {
        fleet.apply_store_changes(changes, version, now_ms)
    };
    let crash_signs = fleet.crash_signs(in_use);
    drop(fleet);
    shared.record_crash_signs(crash_signs);
    if is_new {
        shared.log_endpoints(FROM);
    }
    is_new
}
