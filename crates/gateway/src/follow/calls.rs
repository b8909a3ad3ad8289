//! Calls of the platform: waits for changes, and calls that are answered at
//! once and sent again while no answer comes.

use std::time::Duration;

use chalkrock_routing::{StoreVersion, SubscriptionTimings};
use futures::StreamExt;
use futures::stream::FuturesUnordered;
use tokio::time::Instant;

use crate::arrival::{IdleLimits, ReceivedBytes, while_arriving};
use crate::clock::ms;
use crate::shared::Shared;
use crate::source::{Source, SourceError, SourceUpdate, Topic};

/// The wait of a call that is to be answered at once.
const POLL_WAIT_MS: u64 = 1;
/// What an answer may be late.
const LATE: Duration = Duration::from_millis(1_000);

/// Waits for changes, and asks beside the wait while it may have been lost.
pub(super) async fn wait<S: Source>(
    shared: &Shared,
    source: &S,
    topic: Topic,
    since: StoreVersion,
    wait_ms: u64,
) -> Result<SourceUpdate, SourceError> {
    let times = &shared.config.follow;
    let arrival = ReceivedBytes::default();
    let patience = IdleLimits {
        first_byte: ms(wait_ms) + LATE,
        between_bytes: ms(times.stall_ms),
    };
    let answer = source.changes(topic, since, wait_ms, &arrival);
    let waiting = while_arriving(answer, || arrival.bytes(), patience);
    let mut waiting = std::pin::pin!(waiting);
    loop {
        let seen = arrival.bytes();
        tokio::select! {
            answer = &mut waiting => return answer.unwrap_or_else(|| Err(no_answer())),
            () = shared.subscription.wait_until_stale(times) => {}
        }
        if arrival.bytes() > seen {
            // A poll would ask for the same once more, beside its answer.
            is_answered(shared, topic);
            continue;
        }
        let news = poll(shared, source, topic, since, &Hedging::first(times)).await?;
        if !news.rows.is_empty() {
            return Ok(news);
        }
        is_answered(shared, topic);
    }
}

/// The platform answers, which ends the doubt of the other hosts.
fn is_answered(shared: &Shared, topic: Topic) {
    shared.record_store_answer(topic);
    shared.publish_now.notify_one();
}

/// Asks what changed, to be answered at once.
pub(super) async fn poll<S: Source>(
    shared: &Shared,
    source: &S,
    topic: Topic,
    since: StoreVersion,
    hedging: &Hedging,
) -> Result<SourceUpdate, SourceError> {
    let arrival = ReceivedBytes::default();
    let call = || source.changes(topic, since, POLL_WAIT_MS, &arrival);
    hedged(shared, topic, hedging, &arrival, call).await
}

/// How calls that are answered at once are sent beside each other.
#[derive(Clone, Copy, Debug)]
pub(super) struct Hedging {
    /// Calls before all are given up.
    pub(super) calls: u32,
    /// Time without an answer after which the next one is sent.
    pub(super) interval: Duration,
    /// Whether the next one is sent as soon as the platform answers any host.
    pub(super) is_woken: bool,
}

impl Hedging {
    /// While the platform was answered last.
    pub(super) fn first(times: &SubscriptionTimings) -> Self {
        Self {
            calls: SubscriptionTimings::MAX_HEDGES,
            interval: ms(times.hedge_delay_ms),
            is_woken: false,
        }
    }
}

/// Sends a call that is answered at once, and sends it again beside the first
/// while no answer comes: not while one arrives, which a second would only
/// delay. The first answer counts.
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
    for _ in 0..hedging.calls {
        let sent_at = Instant::now();
        calls.push(call());
        let mut is_arriving = false;
        loop {
            let seen = arrival.bytes();
            let patience = if is_arriving {
                ms(shared.config.follow.stall_ms)
            } else {
                hedging.interval
            };
            let is_woken = hedging.is_woken && !is_arriving;
            tokio::select! {
                Some(answer) = calls.next() => return answer,
                () = shared.subscription.wait_answered_after(sent_at), if is_woken => {}
                () = tokio::time::sleep(patience) => {}
            }
            is_arriving = arrival.bytes() > seen;
            if !is_arriving {
                break;
            }
            is_answered(shared, topic);
        }
    }
    Err(no_answer())
}

fn no_answer() -> SourceError {
    SourceError::Unavailable("no answer in time".to_owned())
}
