//! Calls of the store: long polls, and hedged calls that are answered at once.

use std::time::Duration;

use chalkrock_routing::{StoreVersion, SubscriptionTimings};
use futures::StreamExt;
use futures::stream::FuturesUnordered;
use tokio::time::Instant;

use crate::arrival::{IdleLimits, ReceivedBytes, while_arriving};
use crate::clock::ms;
use crate::event_log::Event;
use crate::follow::confirm_list;
use crate::metrics::StoreBytes;
use crate::shared::Shared;
use crate::source::{Source, SourceError, SourceUpdate, Topic};

/// Wait time of a call that is answered at once.
const POLL_WAIT_MS: u64 = 1;
/// Time after a long poll's end in which its answer may still arrive.
const ANSWER_GRACE: Duration = Duration::from_millis(1_000);

/// Least bytes between two checks of an answer that is arriving. With less, another call brings
/// the same sooner.
const MIN_ARRIVING_BYTES: u64 = 4 * 1024;
/// Longest time in which an answer that is arriving suppresses other calls.
const MAX_ARRIVING_TIME: Duration = Duration::from_secs(30);

/// Tells whether an answer is arriving, so that another call would only fetch the same again.
#[derive(Debug, Default)]
struct ArrivingAnswer {
    seen_bytes: u64,
    since: Option<Instant>,
}

impl ArrivingAnswer {
    /// Whether it has been arriving since the last check. The first time counts as an answer of
    /// the store; later ones do not, as the answer may never end.
    fn check(&mut self, shared: &Shared, topic: Topic, bytes: u64) -> bool {
        let new_bytes = bytes - self.seen_bytes;
        self.seen_bytes = bytes;
        if new_bytes < MIN_ARRIVING_BYTES {
            return false;
        }
        if self.since.is_none() {
            record_answer(shared, topic);
        }
        let since = *self.since.get_or_insert_with(Instant::now);
        since.elapsed() < MAX_ARRIVING_TIME
    }
}

/// Waits for changes, with polls beside it while the view of the topic is stale.
pub(super) async fn long_poll<S: Source>(
    shared: &Shared,
    source: &S,
    topic: Topic,
    since: StoreVersion,
    wait_ms: u64,
) -> Result<SourceUpdate, SourceError> {
    let timings = &shared.config.follow;
    let arrival = StoreBytes::new(shared);
    let idle_limits = IdleLimits {
        first_byte: ms(wait_ms) + ANSWER_GRACE,
        between_bytes: ms(timings.stall_ms),
    };
    let answer = source.changes(topic, since, wait_ms, &arrival);
    let waiting = while_arriving(answer, || arrival.bytes(), idle_limits);
    let mut waiting = std::pin::pin!(waiting);
    let mut arriving = ArrivingAnswer::default();
    let mut is_arriving = false;
    loop {
        tokio::select! {
            answer = &mut waiting => return answer.unwrap_or_else(|| Err(no_answer())),
            () = tokio::time::sleep(ms(timings.staleness_timeout_ms)), if is_arriving => {}
            () = shared.subscription.wait_until_stale(topic, timings), if !is_arriving => {}
        }
        is_arriving = arriving.check(shared, topic, arrival.bytes());
        if is_arriving {
            continue;
        }
        let age = shared.subscription.topic_age(topic);
        shared
            .metrics
            .count("store_stale_polls_total", topic.label(), 1);
        let update = poll(shared, source, topic, since, &Hedging::initial(timings)).await?;
        if !update.rows.is_empty() {
            shared.event_log.emit(&Event::LostPoll {
                topic: topic.name(),
                age_ms: age.as_millis() as u64,
                rows: update.rows.len(),
            });
            return Ok(update);
        }
        record_answer(shared, topic);
        confirm_list(shared, topic);
    }
}

/// Records and publishes that the store answers.
fn record_answer(shared: &Shared, topic: Topic) {
    shared.record_store_answer(topic);
    shared.publish_now.notify_one();
}

/// Reads the changes since a version, answered at once.
pub(super) async fn poll<S: Source>(
    shared: &Shared,
    source: &S,
    topic: Topic,
    since: StoreVersion,
    hedging: &Hedging,
) -> Result<SourceUpdate, SourceError> {
    let arrival = StoreBytes::new(shared);
    let call = || source.changes(topic, since, POLL_WAIT_MS, &arrival);
    hedged(shared, topic, hedging, &arrival, call).await
}

/// How hedged calls are sent.
#[derive(Clone, Copy, Debug)]
pub(super) struct Hedging {
    /// Calls before all are abandoned.
    pub(super) calls: u32,
    /// Time without an answer after which the next one is sent.
    pub(super) interval: Duration,
    /// Whether the next one is sent as soon as the store answers any host.
    pub(super) wakes_on_answer: bool,
}

impl Hedging {
    /// Hedging while calls succeed.
    pub(super) fn initial(timings: &SubscriptionTimings) -> Self {
        Self {
            calls: SubscriptionTimings::MAX_HEDGES,
            interval: ms(timings.hedge_delay_ms),
            wakes_on_answer: false,
        }
    }
}

/// Sends a call and repeats it in parallel while no answer arrives. The first answer
/// counts. An answer that is arriving suppresses repeats, which would only delay it.
pub(super) async fn hedged<F>(
    shared: &Shared,
    topic: Topic,
    hedging: &Hedging,
    arrival: &ReceivedBytes,
    call: impl Fn() -> F,
) -> Result<SourceUpdate, SourceError>
where
    F: Future<Output = Result<SourceUpdate, SourceError>>,
{
    let mut calls = FuturesUnordered::new();
    let mut arriving = ArrivingAnswer::default();
    for _ in 0..hedging.calls {
        let sent_at = Instant::now();
        calls.push(call());
        let mut is_arriving = false;
        loop {
            let timeout = if is_arriving {
                ms(shared.config.follow.stall_ms)
            } else {
                hedging.interval
            };
            let wakes_on_answer = hedging.wakes_on_answer && !is_arriving;
            tokio::select! {
                Some(answer) = calls.next() => return answer,
                () = shared.subscription.wait_answered_after(sent_at), if wakes_on_answer => {}
                () = tokio::time::sleep(timeout) => {}
            }
            is_arriving = arriving.check(shared, topic, arrival.bytes());
            if !is_arriving {
                break;
            }
        }
    }
    Err(no_answer())
}

fn no_answer() -> SourceError {
    SourceError::Unavailable("no answer in time".to_owned())
}
