//! Follows the platform's rules and list of endpoints.
//!
//! A topic is read whole once and then followed by waiting for changes. When
//! the history is gone, or another host knows more, it is read whole again. A
//! host that starts lets others tell it first: where one serves, it reads
//! nothing until it is its turn.
//!
//! A wait may be lost in a silence of the platform, and a lost one can't be
//! told from one that has nothing to say. So while the platform has answered no
//! host for a while, it is asked beside the wait, with a call that is answered
//! at once; and after a failure it is asked with such calls until it answers.

use std::ops::RangeInclusive;
use std::sync::Arc;
use std::time::Duration;

use chalkrock_routing::FollowTimes;
use futures::StreamExt;
use futures::stream::FuturesUnordered;
use rand::RngExt;
use tokio::time::Instant;

use crate::arrival::{Arrival, Patience, while_arriving};
use crate::clock::ms;
use crate::event_log::Event;
use crate::shared::Shared;
use crate::source::{
    EndpointChange, EndpointRow, News, Row, Source, SourceError, StoreVersion, Topic,
};
use crate::subscription::Due;

/// How long one wait for changes lasts: each is a call that is paid for.
const WAIT_MS: u64 = 10_000;
/// The wait of a call that is to be answered at once.
const POLL_WAIT_MS: u64 = 1;
/// What an answer may be late.
const LATE: Duration = Duration::from_millis(1_000);
/// Pause after the first answer of all: most hosts that start find meanwhile
/// that others read, and wait for no change themselves.
const START_PAUSE: Duration = Duration::from_millis(1_000);
/// Time that a host which starts gives the hosts of its settings to tell it all
/// before it reads itself. A host that serves answers in some ten milliseconds;
/// where all have restarted they say at once that they know nothing. Waiting
/// 50 to 400 ms regardless cost 0.010 of a day's worth on three sites of seven
/// or eight hosts (three days, five seeds), since all hosts restart on each.
const START_PATIENCE: Duration = Duration::from_millis(60);
/// Times, in milliseconds, that hosts wait where the whole fleet starts for the
/// first time and callers are not there yet; each draws one. The first to read
/// tell the others: 295 hosts make 1,180 calls at once if each reads for itself.
const FIRST_START_PATIENCE_MS: RangeInclusive<u64> = 50..=4_000;
/// Pause after other hosts told all, until all hosts are heard and those begin
/// to read that come first.
const HEARD_PAUSE: Duration = Duration::from_millis(400);
/// Pause of the others, until it is heard that these do.
const READ_PAUSE: Duration = Duration::from_millis(1_000);
/// The first pause after a failure; those that follow double.
const PAUSE_FIRST_MS: u64 = 100;
/// Hosts that share the reading for each time that pauses grow by themselves:
/// the first that is answered tells the others.
const SHARING_A_PAUSE: usize = 4;
/// By how much more rarely rules are asked for than endpoints while the platform
/// answers no one: the first answer on either topic ends the pauses of both.
const RULES_RARER: u64 = 4;
/// How often a host that is turned away tries while others are answered.
const TURNED_AWAY_PAUSE_MS: u64 = 1_000;
const FROM: &str = "platform";

/// Calls beside each other that failures add. With eight in all a whole read
/// may take 1.28 times the least bound.
const MORE_HEDGES_MAX: u32 = 5;

/// What is asked of the platform next.
#[derive(Clone, Copy)]
enum Step {
    /// Nothing yet: other hosts told it all.
    Rest,
    /// The whole topic.
    ReadWhole,
    /// What changed since, to be answered at once.
    Poll(StoreVersion),
    /// The next change since, waited for so long.
    Wait(StoreVersion, u64),
}

/// Follows one topic until the process ends, while it is this host's to read.
pub(crate) async fn follow<S: Source>(shared: Arc<Shared>, source: Arc<S>, topic: Topic) {
    let times = shared.config.follow;
    let mut trouble = Trouble::new(topic, times);
    let mut step = first_step(&shared).await;
    // Hosts that start together shall not wait in step: while their waits end
    // at different times, a silence shows soon.
    let mut wait_ms = rand::rng().random_range(1..=WAIT_MS);
    let mut is_first = true;
    loop {
        step = match step {
            Step::ReadWhole => step,
            Step::Rest => {
                shared.subscription.due(topic, &times).await;
                Step::ReadWhole
            }
            Step::Poll(since) | Step::Wait(since, _) => {
                match shared.subscription.due(topic, &times).await {
                    Due::Turn => step,
                    Due::Again => Step::ReadWhole,
                    Due::Doubt => Step::Poll(since),
                }
            }
        };
        let began_at = Instant::now();
        let answer = match step {
            Step::Rest | Step::ReadWhole => {
                let arrival = Arrival::default();
                let call = || source.read(topic, &arrival);
                hedged(&shared, topic, &trouble.hedging(), &arrival, call).await
            }
            Step::Poll(since) => poll(&shared, &*source, topic, since, &trouble.hedging()).await,
            Step::Wait(since, wait_ms) => {
                tokio::select! {
                    answer = wait(&shared, &*source, topic, since, wait_ms) => answer,
                    () = shared.subscription.again(topic) => {
                        step = Step::ReadWhole;
                        continue;
                    }
                }
            }
        };
        match answer {
            Ok(news) => {
                shared.store_answered_after(shared.subscription.answered(topic));
                trouble.over(&shared);
                if !matches!(step, Step::Wait(..)) {
                    // Ends the doubt of the other hosts, and their pauses.
                    shared.publish_now.notify_one();
                }
                let is_whole = matches!(step, Step::ReadWhole);
                step = Step::Wait(news.version, wait_ms);
                wait_ms = WAIT_MS;
                take(&shared, topic, news, is_whole);
                let gather = if is_first {
                    START_PAUSE
                } else if shared.subscription.is_standby() {
                    ms(times.standby_gather_ms)
                } else {
                    ms(times.gather_ms)
                };
                is_first = false;
                tokio::time::sleep(gather).await;
            }
            Err(SourceError::HistoryGone) => step = Step::ReadWhole,
            Err(error) => {
                shared.subscription.not_answered(topic);
                if let Step::Wait(since, _) = step {
                    step = Step::Poll(since);
                }
                trouble.pause(&shared, &error, began_at).await;
            }
        }
    }
}

/// Gives other hosts time to tell all that a host which starts needs.
async fn first_step(shared: &Shared) -> Step {
    if shared.config.peer_seeds.is_empty() {
        return Step::ReadWhole;
    }
    let told = tokio::select! {
        () = shared.view_known() => true,
        () = start_patience(shared) => shared.has_view(),
    };
    if !told {
        return Step::ReadWhole;
    }
    tokio::time::sleep(HEARD_PAUSE).await;
    let first = shared.subscription.first_choice();
    let _either_way_it_may_be_due = tokio::time::timeout(READ_PAUSE, first).await;
    Step::Rest
}

/// Waits for as long as others may still tell all.
async fn start_patience(shared: &Shared) {
    if shared.config.is_first_start {
        let patience_ms = rand::rng().random_range(FIRST_START_PATIENCE_MS);
        tokio::time::sleep(ms(patience_ms)).await;
        return;
    }
    let asked = shared.subscription.after_seeds_asked();
    let _patience_is_over_either_way = tokio::time::timeout(START_PATIENCE, asked).await;
}

/// Waits for changes, and asks beside the wait while it may have been lost.
async fn wait<S: Source>(
    shared: &Shared,
    source: &S,
    topic: Topic,
    since: StoreVersion,
    wait_ms: u64,
) -> Result<News, SourceError> {
    let times = &shared.config.follow;
    let arrival = Arrival::default();
    let patience = Patience {
        first: ms(wait_ms) + LATE,
        stall: ms(times.stall_ms),
    };
    let answer = source.changes(topic, since, wait_ms, &arrival);
    let waiting = while_arriving(answer, || arrival.bytes(), patience);
    let mut waiting = std::pin::pin!(waiting);
    loop {
        let seen = arrival.bytes();
        tokio::select! {
            answer = &mut waiting => return answer.unwrap_or_else(|| Err(no_answer())),
            () = shared.subscription.stale(times) => {}
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
    shared.store_answered_after(shared.subscription.answered(topic));
    shared.publish_now.notify_one();
}

/// Asks what changed, to be answered at once.
async fn poll<S: Source>(
    shared: &Shared,
    source: &S,
    topic: Topic,
    since: StoreVersion,
    hedging: &Hedging,
) -> Result<News, SourceError> {
    let arrival = Arrival::default();
    let call = || source.changes(topic, since, POLL_WAIT_MS, &arrival);
    hedged(shared, topic, hedging, &arrival, call).await
}

/// How calls that are answered at once are sent beside each other.
#[derive(Clone, Copy, Debug)]
struct Hedging {
    /// Calls before all are given up.
    calls: u32,
    /// Time without an answer after which the next one is sent.
    interval: Duration,
    /// Whether the next one is sent as soon as the platform answers any host.
    is_woken: bool,
}

impl Hedging {
    /// While the platform was answered last.
    fn first(times: &FollowTimes) -> Self {
        Self {
            calls: FollowTimes::HEDGES,
            interval: ms(times.hedge_after_ms),
            is_woken: false,
        }
    }
}

/// Sends a call that is answered at once, and sends it again beside the first
/// while no answer comes: not while one arrives, which a second would only
/// delay. The first answer counts.
async fn hedged<F>(
    shared: &Shared,
    topic: Topic,
    hedging: &Hedging,
    arrival: &Arrival,
    call: impl Fn() -> F,
) -> Result<News, SourceError>
where
    F: Future<Output = Result<News, SourceError>>,
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
                () = shared.subscription.answered_after(sent_at), if is_woken => {}
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

fn take(shared: &Shared, topic: Topic, news: News, is_whole: bool) {
    let mut changes = Vec::new();
    let mut is_news = false;
    for row in news.rows {
        match row {
            Row::Rules(document) => is_news |= shared.take_rules(*document, FROM),
            Row::Endpoint(row) => changes.push(row),
        }
    }
    if topic == Topic::Endpoints {
        is_news |= take_endpoints(shared, changes, is_whole);
        shared.endpoints_known();
    }
    if is_news {
        shared.publish_now.notify_one();
    }
}

fn take_endpoints(shared: &Shared, changes: Vec<EndpointRow>, is_whole: bool) -> bool {
    let now_ms = shared.clock.now_ms();
    let mut fleet = shared.fleet();
    let is_news = if is_whole {
        let newest = changes.iter().map(|row| row.version).max();
        let listed = changes.into_iter().filter_map(|row| match row.change {
            EndpointChange::Listed(endpoint) => Some(endpoint),
            EndpointChange::Gone(_) => None,
        });
        fleet.replace(listed.collect(), newest.unwrap_or_default(), now_ms);
        true
    } else {
        fleet.take_changes(changes, now_ms)
    };
    drop(fleet);
    if is_news {
        shared.log_endpoints(FROM);
    }
    is_news
}

/// Failures in a row, and whether they were told.
struct Trouble {
    name: &'static str,
    topic: Topic,
    failures: u32,
    times: FollowTimes,
}

impl Trouble {
    fn new(topic: Topic, times: FollowTimes) -> Self {
        let name = match topic {
            Topic::Rules => "platform-rules",
            Topic::Endpoints => "platform-endpoints",
        };
        Self {
            name,
            topic,
            failures: 0,
            times,
        }
    }

    /// How calls are sent after the failures so far. After one the platform may be slow rather
    /// than silent, so that more calls are waited for; they follow each other
    /// as pauses would, which finds the end of a silence as soon with two calls
    /// in place of five.
    fn hedging(&self) -> Hedging {
        if self.failures == 0 {
            return Hedging::first(&self.times);
        }
        Hedging {
            calls: FollowTimes::HEDGES + self.failures.min(MORE_HEDGES_MAX),
            interval: ms(self.times.pause_max_ms * self.rarer()),
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
    async fn pause(&mut self, shared: &Shared, error: &SourceError, began_at: Instant) {
        if self.failures == 0 {
            self.log(shared, false, &error.to_string());
        }
        let reading = &shared.subscription;
        let are_others_answered = reading.answered_since(began_at);
        let longest_ms = if are_others_answered {
            TURNED_AWAY_PAUSE_MS
        } else if began_at.elapsed() >= ms(self.times.pause_max_ms) {
            // The calls themselves took as long as a pause.
            PAUSE_FIRST_MS
        } else {
            let doubled = PAUSE_FIRST_MS << self.failures.min(8);
            let sharing = 1 + reading.sharing() / SHARING_A_PAUSE;
            doubled.min(self.times.pause_max_ms) * sharing as u64 * self.rarer()
        };
        self.failures += 1;
        // Hosts that failed together shall not ask together again.
        let pause_ms = rand::rng().random_range(PAUSE_FIRST_MS / 2..=longest_ms);
        let pause = tokio::time::sleep(ms(pause_ms));
        if are_others_answered {
            pause.await;
            return;
        }
        tokio::select! {
            () = pause => {}
            () = reading.answered_after(began_at) => {
                let soon_ms = rand::rng().random_range(0..=PAUSE_FIRST_MS);
                tokio::time::sleep(ms(soon_ms)).await;
            }
        }
    }

    fn over(&mut self, shared: &Shared) {
        if self.failures > 0 {
            self.failures = 0;
            self.log(shared, true, "");
        }
    }

    fn log(&self, shared: &Shared, is_up: bool, detail: &str) {
        shared.event_log.emit(&Event::Dependency {
            name: self.name,
            is_up,
            detail,
        });
    }
}
