//! Follows the platform's rules and list of endpoints.
//!
//! A topic is read whole once and then followed by waiting for changes. When
//! the history is gone, or another host knows more, it is read whole again. A
//! host that starts asks other hosts first: where one serves, it reads nothing
//! until it is its turn.
//!
//! A wait may be lost in a silence of the platform, and a lost one looks like
//! one during which nothing changes. So while the platform has answered no
//! host for a while, it is asked beside the wait, with a call that is answered
//! at once; and after a failure it is asked with such calls until it answers.

mod calls;
mod failures;
mod start;

use std::sync::Arc;
use std::time::Duration;

use chalkrock_core::EndpointId;
use chalkrock_routing::{Evacuations, RolloutOrders, StoreVersion};
use rand::RngExt;
use tokio::time::Instant;

use crate::arrival::ReceivedBytes;
use crate::clock::ms;
use crate::follow::calls::{hedged, poll, wait};
use crate::follow::failures::Failures;
use crate::shared::Shared;
use crate::source::{EndpointChange, EndpointRow, Row, Source, SourceError, SourceUpdate, Topic};
use crate::subscription::ReadReason;

/// How long one wait for changes lasts: each is a call that is paid for.
const WAIT_MS: u64 = 10_000;
/// Pause after the first answer of all: most hosts that start find meanwhile
/// that others read, and wait for no change themselves.
const START_PAUSE: Duration = Duration::from_millis(1_000);
const FROM: &str = "platform";

/// What is asked of the platform next.
#[derive(Clone, Copy)]
pub(super) enum Step {
    /// Nothing yet: other hosts passed on all of it.
    Rest,
    /// The whole topic.
    ReadWhole,
    /// What changed since, to be answered at once.
    Poll(StoreVersion),
    /// The next change since, waited for so long.
    Wait(StoreVersion, u64),
}

/// What became of a call.
enum Called {
    /// It was answered, or failed.
    Answered(Result<SourceUpdate, SourceError>),
    /// Others were found to know what a wait would not bring.
    Outdated,
    /// Other hosts passed on all that it was to bring.
    PassedOn,
}

/// Follows one topic until the process ends, while it is this host's to read.
pub(crate) async fn follow<S: Source>(shared: Arc<Shared>, source: Arc<S>, topic: Topic) {
    let mut step = start::first_step(&shared).await;
    let mut follower = Follower::new(shared, source, topic);
    loop {
        step = follower.due(step).await;
        let began_at = Instant::now();
        step = match follower.call(step).await {
            Called::Answered(Ok(news)) => follower.take(step, news).await,
            Called::Answered(Err(error)) => follower.fail(step, &error, began_at).await,
            Called::Outdated => Step::ReadWhole,
            Called::PassedOn => Step::Rest,
        };
    }
}

/// Follows one topic.
struct Follower<S> {
    shared: Arc<Shared>,
    source: Arc<S>,
    topic: Topic,
    failures: Failures,
    /// How long the next wait lasts.
    wait_ms: u64,
    /// Whether nothing was answered yet.
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
            // Hosts that start together shall not wait in step: while their
            // waits end at different times, a silence shows soon.
            wait_ms: rand::rng().random_range(1..=WAIT_MS),
            is_first: true,
        }
    }

    /// Waits until a step is this host's to make, or another one instead.
    async fn due(&self, step: Step) -> Step {
        let due = || {
            let times = &self.shared.config.follow;
            self.shared.subscription.next_read(self.topic, times)
        };
        match step {
            Step::ReadWhole => step,
            Step::Rest => {
                due().await;
                Step::ReadWhole
            }
            Step::Poll(since) | Step::Wait(since, _) => match due().await {
                ReadReason::Subscriber => step,
                ReadReason::Reread => Step::ReadWhole,
                ReadReason::StaleView => Step::Poll(since),
            },
        }
    }

    /// Makes a step.
    async fn call(&self, step: Step) -> Called {
        let shared = &*self.shared;
        let source = &*self.source;
        let hedging = self.failures.hedging();
        match step {
            Step::Rest | Step::ReadWhole => {
                let arrival = ReceivedBytes::default();
                let read = || source.read(self.topic, &arrival);
                let reading = hedged(shared, self.topic, &hedging, &arrival, read);
                if shared.has_view() {
                    return Called::Answered(reading.await);
                }
                // A long list takes a host with a weak link seconds; where hosts start
                // together most are passed it by others before.
                tokio::select! {
                    answer = reading => Called::Answered(answer),
                    () = shared.wait_until_view_known() => Called::PassedOn,
                }
            }
            Step::Poll(since) => {
                let polled = poll(shared, source, self.topic, since, &hedging);
                Called::Answered(polled.await)
            }
            Step::Wait(since, wait_ms) => tokio::select! {
                answer = wait(shared, source, self.topic, since, wait_ms) => {
                    Called::Answered(answer)
                }
                () = shared.subscription.wait_for_reread(self.topic) => Called::Outdated,
            },
        }
    }

    /// Takes what a step brought. Returns the next one, after a pause in which
    /// changes come together.
    async fn take(&mut self, step: Step, news: SourceUpdate) -> Step {
        let shared = &*self.shared;
        shared.record_store_answer(self.topic);
        self.failures.end(shared);
        if !matches!(step, Step::Wait(..)) {
            // Ends the doubt of the other hosts, and their pauses.
            shared.publish_now.notify_one();
        }
        let next = Step::Wait(news.version, self.wait_ms);
        self.wait_ms = WAIT_MS;
        take(shared, self.topic, news, matches!(step, Step::ReadWhole));
        let times = &shared.config.follow;
        let gather = if self.is_first {
            START_PAUSE
        } else if shared.subscription.is_standby() {
            ms(times.standby_batch_window_ms)
        } else {
            ms(times.batch_window_ms)
        };
        self.is_first = false;
        tokio::time::sleep(gather).await;
        next
    }

    /// A step that began at an instant failed. Returns the next one, after a
    /// pause if the platform does not answer.
    async fn fail(&mut self, step: Step, error: &SourceError, began_at: Instant) -> Step {
        if matches!(error, SourceError::HistoryGone) {
            return Step::ReadWhole;
        }
        self.shared.subscription.record_failure(self.topic);
        self.failures.pause(&self.shared, error, began_at).await;
        match step {
            Step::Wait(since, _) => Step::Poll(since),
            other => other,
        }
    }
}

fn take(shared: &Shared, topic: Topic, news: SourceUpdate, is_whole: bool) {
    let mut changes = Vec::new();
    let mut evacuations = Vec::new();
    let mut orders = Vec::new();
    let mut is_news = false;
    for row in news.rows {
        match row {
            Row::Rules(document) => is_news |= shared.replace_rules(*document, FROM),
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
        let change = if is_whole {
            let zones = evacuations.into_iter().filter(|row| row.is_evacuated);
            let zones = zones.map(|row| row.zone);
            shared.replace_evacuations(Evacuations::from_snapshot(news.version, zones), FROM)
        } else {
            shared.apply_evacuation_changes(&evacuations, news.version, FROM)
        };
        is_news |= change;
        is_news |= if is_whole {
            shared.replace_rollout_orders(RolloutOrders::from_snapshot(news.version, orders), FROM)
        } else {
            shared.apply_rollout_order_changes(&orders, news.version, FROM)
        };
    }
    if topic == Topic::Endpoints {
        is_news |= take_endpoints(shared, changes, news.version, is_whole);
        shared.record_endpoints_known();
        // No request can have been refused before the fleet first started.
        if is_whole && !(shared.config.is_first_start && shared.is_warming_up()) {
            shared.poison_records.read();
        }
    }
    if is_whole {
        shared.topic_refreshed(topic);
        shared.record_full_read(news.version.era());
    }
    if is_news {
        shared.publish_now.notify_one();
    }
}

fn take_endpoints(
    shared: &Shared,
    changes: Vec<EndpointRow>,
    version: StoreVersion,
    is_whole: bool,
) -> bool {
    let now_ms = shared.clock.now_ms();
    let mut fleet = shared.fleet();
    let is_news = if is_whole {
        let newest = changes.iter().map(|row| row.version).max();
        let mut listed = Vec::with_capacity(changes.len());
        let mut unreadable = Vec::new();
        for row in changes {
            match row.change {
                EndpointChange::Listed(endpoint) => listed.push(endpoint),
                EndpointChange::Unreadable(name) => unreadable.push(name),
                EndpointChange::Gone(_) => {}
            }
        }
        let in_era = StoreVersion::in_era(version.era(), 0);
        fleet.replace(listed, newest.unwrap_or(in_era), now_ms);
        unreadable
            .iter()
            .for_each(|name| fleet.endpoints.discard(name, now_ms));
        true
    } else {
        fleet.apply_changes(changes, now_ms)
    };
    drop(fleet);
    if is_news {
        shared.log_endpoints(FROM);
    }
    is_news
}
