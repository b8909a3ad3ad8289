//! Follows the platform's rules and list of endpoints.
//!
//! A topic is read whole once and then followed by waiting for changes. A wait
//! that is not answered in time is given up with its connection, since a
//! platform that lost one answer says nothing more on it. When the history is
//! gone, or another host knows more, the topic is read whole again.

use std::sync::Arc;
use std::time::Duration;

use rand::RngExt;

use crate::journal::Event;
use crate::shared::Shared;
use crate::source::{
    EndpointChange, EndpointRow, News, Row, Source, SourceError, StoreVersion, Topic,
};

/// How long one wait for changes lasts. It bounds how long a lost answer goes
/// unnoticed, and each wait is a call that is paid for.
const WAIT_MS: u64 = 4_000;
/// What an answer may be late.
const LATE: Duration = Duration::from_millis(1_000);
/// Pause after an answer, so that changes that come together are one answer.
const GATHER: Duration = Duration::from_millis(150);
/// How long a whole read may take.
const READ_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Pauses after failures: the first, and the longest.
const PAUSE_FIRST_MS: u64 = 100;
const PAUSE_MAX_MS: u64 = 1_000;
const FROM: &str = "platform";

/// Follows one topic until the process ends, while it is this host's to read.
pub(crate) async fn follow<S: Source>(shared: Arc<Shared>, source: Arc<S>, topic: Topic) {
    let mut trouble = Trouble::new(topic);
    let mut since = None;
    loop {
        if since.is_some() {
            shared.reading.wait_for_turn(topic).await;
        }
        let answer = match since {
            None => read(&*source, topic).await,
            Some(version) => {
                tokio::select! {
                    answer = changes(&*source, topic, version) => answer,
                    () = shared.reading.again(topic) => {
                        since = None;
                        continue;
                    }
                }
            }
        };
        match answer {
            Ok(news) => {
                shared.reading.answered(topic, true);
                trouble.over(&shared);
                let is_whole = since.is_none();
                since = Some(news.version);
                take(&shared, topic, news, is_whole);
                tokio::time::sleep(GATHER).await;
            }
            Err(SourceError::HistoryGone) => since = None,
            Err(error) => {
                shared.reading.answered(topic, false);
                trouble.pause(&shared, &error).await;
            }
        }
    }
}

async fn read<S: Source>(source: &S, topic: Topic) -> Result<News, SourceError> {
    let reading = tokio::time::timeout(READ_TIMEOUT, source.read(topic));
    reading.await.unwrap_or_else(|_| Err(no_answer()))
}

async fn changes<S: Source>(
    source: &S,
    topic: Topic,
    since: StoreVersion,
) -> Result<News, SourceError> {
    let most = Duration::from_millis(WAIT_MS) + LATE;
    let waiting = tokio::time::timeout(most, source.changes(topic, since, WAIT_MS));
    waiting.await.unwrap_or_else(|_| Err(no_answer()))
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
        shared.tell_peers_now.notify_one();
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
        shared.tell_endpoints(FROM);
    }
    is_news
}

/// Failures in a row, and whether they were told.
struct Trouble {
    name: &'static str,
    failures: u32,
}

impl Trouble {
    fn new(topic: Topic) -> Self {
        let name = match topic {
            Topic::Rules => "platform-rules",
            Topic::Endpoints => "platform-endpoints",
        };
        Self { name, failures: 0 }
    }

    async fn pause(&mut self, shared: &Shared, error: &SourceError) {
        if self.failures == 0 {
            self.tell(shared, false, &error.to_string());
        }
        let longest = (PAUSE_FIRST_MS << self.failures.min(8)).min(PAUSE_MAX_MS);
        self.failures += 1;
        // Hosts that failed together do not come back together.
        let pause_ms = rand::rng().random_range(longest / 2..=longest);
        tokio::time::sleep(Duration::from_millis(pause_ms)).await;
    }

    fn over(&mut self, shared: &Shared) {
        if self.failures > 0 {
            self.failures = 0;
            self.tell(shared, true, "");
        }
    }

    fn tell(&self, shared: &Shared, is_up: bool, detail: &str) {
        shared.journal.tell(&Event::Dependency {
            name: self.name,
            is_up,
            detail,
        });
    }
}
