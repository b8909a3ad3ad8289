//! This host's role as a store subscriber, and when the store last answered.

use std::collections::VecDeque;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use chalkrock_routing::{
    SubscriptionRole, SubscriptionTimings, is_large_fleet, stale_poll_fraction,
};
use rand::RngExt;
use tokio::sync::{Notify, watch};
use tokio::time::Instant;

use crate::clock::ms;
use crate::source::Topic;
use crate::store_answers::{AnswerAges, AnswerScope, AnsweredHost, StoreAnswers};

#[derive(Debug, Default)]
struct TopicState {
    is_answered: AtomicBool,
    reread: Notify,
}

/// Enough for the gap between two answers, which one long suspension covers.
const MAX_RETAINED_SUSPENSIONS: usize = 16;

/// Intervals in which this host was suspended and received no reports, oldest first.
#[derive(Debug, Default)]
struct Suspensions(VecDeque<(Instant, Instant)>);

impl Suspensions {
    /// Records a suspension that ends now.
    fn add(&mut self, duration: Duration, now: Instant) {
        let from = now.checked_sub(duration).unwrap_or(now);
        self.0.push_back((from, now));
        if self.0.len() > MAX_RETAINED_SUSPENSIONS {
            self.0.pop_front();
        }
    }

    /// Shifts all intervals back by time that the runtime's clock did not count.
    fn age(&mut self, by: Duration) {
        for at in self.0.iter_mut().flat_map(|(from, to)| [from, to]) {
            *at = at.checked_sub(by).unwrap_or(*at);
        }
    }

    /// Total suspended time between two instants.
    fn overlap(&self, from: Instant, to: Instant) -> Duration {
        let duration = |(start, end): &(Instant, Instant)| {
            to.min(*end).saturating_duration_since(from.max(*start))
        };
        self.0.iter().map(duration).sum()
    }
}

/// Why a topic is read now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ReadReason {
    /// This host is a subscriber.
    Subscriber,
    /// Peers know more than this host: a full read is needed.
    Reread,
    /// No host was answered on the topic within the staleness timeout.
    StaleView,
}

/// This host's subscription to the store.
#[derive(Debug)]
pub(crate) struct StoreSubscription {
    /// Whether this host is a subscriber.
    is_subscriber: watch::Sender<bool>,
    /// Whether this host would be a subscriber if there were none yet.
    is_preferred: watch::Sender<bool>,
    /// Whether the configured seeds were queried for their full state.
    are_seeds_queried: watch::Sender<bool>,
    answers: watch::Sender<StoreAnswers>,
    suspensions: Mutex<Suspensions>,
    /// Incremented when this host polls because its view of a topic is stale.
    stale_polls: watch::Sender<u64>,
    subscriber_count: AtomicUsize,
    host_count: AtomicUsize,
    /// Whether this host sends aggregates to other zones.
    is_relay: AtomicBool,
    /// Whether subscribers of other zones read first.
    is_standby: AtomicBool,
    rules: TopicState,
    endpoints: TopicState,
}

impl Default for StoreSubscription {
    /// A host is a subscriber until it knows of others.
    fn default() -> Self {
        Self {
            is_subscriber: watch::channel(true).0,
            is_preferred: watch::channel(false).0,
            are_seeds_queried: watch::channel(false).0,
            answers: watch::channel(StoreAnswers::new(Instant::now())).0,
            suspensions: Mutex::default(),
            stale_polls: watch::channel(0).0,
            subscriber_count: AtomicUsize::new(0),
            host_count: AtomicUsize::new(1),
            is_relay: AtomicBool::new(false),
            is_standby: AtomicBool::new(false),
            rules: TopicState::default(),
            endpoints: TopicState::default(),
        }
    }
}

impl StoreSubscription {
    fn topic(&self, topic: Topic) -> &TopicState {
        match topic {
            Topic::Rules => &self.rules,
            Topic::Endpoints => &self.endpoints,
        }
    }

    /// Sets whether this host is a subscriber. Returns whether that changed.
    pub(crate) fn set_subscriber(&self, is_subscriber: bool) -> bool {
        self.is_subscriber.send_if_modified(|current| {
            let has_changed = *current != is_subscriber;
            *current = is_subscriber;
            has_changed
        })
    }

    /// Sets whether this host would be a subscriber if there were none yet.
    pub(crate) fn set_preferred(&self, is_preferred: bool) {
        self.is_preferred.send_replace(is_preferred);
    }

    /// Waits until this host would be a subscriber if there were none yet.
    pub(crate) async fn wait_until_preferred(&self) {
        let mut is_preferred = self.is_preferred.subscribe();
        let _never_closed = is_preferred.wait_for(|is_preferred| *is_preferred).await;
    }

    /// Records that the configured seeds were queried.
    pub(crate) fn mark_seeds_queried(&self) {
        self.are_seeds_queried.send_replace(true);
    }

    /// Waits until the configured seeds were queried.
    pub(crate) async fn wait_until_seeds_queried(&self) {
        let mut are_queried = self.are_seeds_queried.subscribe();
        let _never_closed = are_queried.wait_for(|are_queried| *are_queried).await;
    }

    /// Waits until this host is a subscriber.
    pub(crate) async fn wait_until_subscriber(&self) {
        let mut is_subscriber = self.is_subscriber.subscribe();
        let _never_closed = is_subscriber.wait_for(|is_subscriber| *is_subscriber).await;
    }

    /// Waits until a topic should be read.
    pub(crate) async fn next_read(&self, topic: Topic, times: &SubscriptionTimings) -> ReadReason {
        let mut is_subscriber = self.is_subscriber.subscribe();
        if *is_subscriber.borrow_and_update() {
            return ReadReason::Subscriber;
        }
        tokio::select! {
            _never_closed = is_subscriber.wait_for(|is_subscriber| *is_subscriber) => ReadReason::Subscriber,
            () = self.wait_for_reread(topic) => ReadReason::Reread,
            () = self.wait_until_stale(topic, times) => ReadReason::StaleView,
        }
    }

    /// Waits until a full read of the topic is requested.
    pub(crate) async fn wait_for_reread(&self, topic: Topic) {
        self.topic(topic).reread.notified().await;
    }

    /// Requests a full read of both topics.
    pub(crate) fn request_reread(&self) {
        self.rules.reread.notify_one();
        self.endpoints.reread.notify_one();
    }

    /// Requests a full read of the list of endpoints.
    pub(crate) fn request_list_reread(&self) {
        self.endpoints.reread.notify_one();
    }

    pub(crate) fn record_answer(&self, topic: Topic) {
        self.topic(topic).is_answered.store(true, Ordering::Relaxed);
    }

    pub(crate) fn record_failure(&self, topic: Topic) {
        self.topic(topic)
            .is_answered
            .store(false, Ordering::Relaxed);
    }

    /// Records a suspension of this host, `uncounted` of which the runtime's clock missed.
    pub(crate) fn record_suspension(&self, duration: Duration, uncounted: Duration) {
        self.age(uncounted);
        let mut suspensions = self.suspensions();
        suspensions.age(uncounted);
        suspensions.add(duration, Instant::now());
    }

    fn suspensions(&self) -> std::sync::MutexGuard<'_, Suspensions> {
        self.suspensions
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    fn age(&self, by: Duration) {
        self.answers.send_modify(|answers| answers.age(by));
    }

    /// Time since the store last answered on either topic, as reported to peers; `SameZone`
    /// includes this host.
    pub(crate) fn answered_ago_ms(&self, host: AnsweredHost) -> Option<u32> {
        self.answers.borrow().age_ms(host)
    }

    /// Times since the store last answered on each topic, as reported to peers.
    pub(crate) fn answer_ages(&self, host: AnsweredHost) -> AnswerAges {
        self.answers.borrow().ages(host)
    }

    /// Time since the store last answered any host on a topic, or since this host's start.
    pub(crate) fn topic_age(&self, topic: Topic) -> Duration {
        let latest = self.answers.borrow().latest(AnswerScope::Topic(topic));
        latest.elapsed()
    }

    /// Records an answer `ago_ms` ago. Returns the gap since the previous answer to any host
    /// in its scope, excluding this host's suspensions; zero if the answer is not newer.
    pub(crate) fn record_peer_answer(
        &self,
        scope: AnswerScope,
        host: AnsweredHost,
        ago_ms: Option<u32>,
    ) -> Duration {
        let ago = ago_ms.map(|ago_ms| ms(u64::from(ago_ms)));
        let Some(at) = ago.and_then(|ago| Instant::now().checked_sub(ago)) else {
            return Duration::ZERO;
        };
        let before = self.answers.borrow().latest(scope);
        self.answers
            .send_if_modified(|answers| answers.record(scope, host, at));
        let suspended = self.suspensions().overlap(before, at);
        at.saturating_duration_since(before)
            .saturating_sub(suspended)
    }

    /// Whether a relay should report an answer at once, because after such a gap other
    /// zones are about to poll.
    pub(crate) fn should_relay_answer(&self, gap: Duration, times: &SubscriptionTimings) -> bool {
        self.is_relay() && gap >= ms(times.staleness_timeout_ms / 2)
    }

    /// Whether this host sends aggregates to other zones.
    pub(crate) fn is_relay(&self) -> bool {
        self.is_relay.load(Ordering::Relaxed)
    }

    /// Whether the store answered any host after an instant.
    pub(crate) fn answered_since(&self, scope: AnswerScope, since: Instant) -> bool {
        self.answers.borrow().latest(scope) > since
    }

    /// Waits until the store has answered any host on either topic after an instant. Such an
    /// answer is a reason to repeat a call, and no evidence for the topic of that call.
    pub(crate) async fn wait_answered_after(&self, since: Instant) {
        let mut answers = self.answers.subscribe();
        let is_newer = |answers: &StoreAnswers| answers.latest(AnswerScope::AnyTopic) > since;
        let _never_closed = answers.wait_for(is_newer).await;
    }

    /// Sets the number of subscribers, the number of known hosts and whether this host is a
    /// relay.
    pub(crate) fn set_round(&self, subscriber_count: usize, host_count: usize, is_relay: bool) {
        self.subscriber_count
            .store(subscriber_count, Ordering::Relaxed);
        self.host_count.store(host_count, Ordering::Relaxed);
        self.is_relay.store(is_relay, Ordering::Relaxed);
    }

    /// Whether this host normally receives changes from subscribers of other zones first.
    pub(crate) fn is_standby(&self) -> bool {
        self.is_standby.load(Ordering::Relaxed)
    }

    /// Sets whether subscribers of other zones read first.
    pub(crate) fn set_standby(&self, is_standby: bool) {
        self.is_standby.store(is_standby, Ordering::Relaxed);
    }

    /// Whether the fleet is so large that zones exchange only aggregates.
    pub(crate) fn is_large(&self) -> bool {
        is_large_fleet(self.host_count.load(Ordering::Relaxed))
    }

    pub(crate) fn subscriber_count(&self) -> usize {
        self.subscriber_count.load(Ordering::Relaxed)
    }

    /// Whether this host polls while the view is stale; in a large fleet only a random
    /// fraction does.
    fn polls_while_stale(&self) -> bool {
        let host_count = self.host_count.load(Ordering::Relaxed);
        self.is_subscriber() || rand::random::<f64>() < stale_poll_fraction(host_count)
    }

    /// Waits until the store has answered no host on a topic for so long that this one should
    /// poll it. The first answer on the topic ends the wait on all hosts. Hosts that are not
    /// selected draw again periodically.
    ///
    /// This bounds the age of the fleet's view of each topic: an answer on one topic is no
    /// evidence for the other, whose long polls may be lost. The tests `lost_polls` prove it.
    pub(crate) async fn wait_until_stale(&self, topic: Topic, times: &SubscriptionTimings) {
        // Subscribers poll first, which mostly spares the others.
        let half_ms = times.staleness_jitter_ms / 2;
        let min_delay_ms = if self.is_subscriber() { 0 } else { half_ms };
        let delay_ms = min_delay_ms + rand::rng().random_range(0..=half_ms);
        let staleness_timeout = ms(times.staleness_timeout_ms + delay_ms);
        // Topics that are quiet at the same time are polled together, and reported together.
        let min_joint_age = staleness_timeout / 2;
        let redraw_interval = ms(times.staleness_jitter_ms.max(1));
        let mut drawn_at = None;
        let mut stale_polls = self.stale_polls.subscribe();
        loop {
            let stale_at =
                self.answers.borrow().latest(AnswerScope::Topic(topic)) + staleness_timeout;
            let due_at = stale_at.max(drawn_at.map_or(stale_at, |at| at + redraw_interval));
            if Instant::now() >= due_at {
                if self.polls_while_stale() {
                    self.stale_polls.send_modify(|polls| *polls += 1);
                    return;
                }
                drawn_at = Some(Instant::now());
                continue;
            }
            tokio::select! {
                () = tokio::time::sleep_until(due_at) => {}
                _never_closed = stale_polls.changed() => {
                    if self.topic_age(topic) >= min_joint_age {
                        return;
                    }
                }
            }
        }
    }

    /// This host's subscription role, as reported to peers.
    pub(crate) fn role(&self) -> SubscriptionRole {
        if !*self.is_subscriber.borrow() {
            return SubscriptionRole::No;
        }
        let is_answered = |state: &TopicState| state.is_answered.load(Ordering::Relaxed);
        if is_answered(&self.rules) && is_answered(&self.endpoints) {
            SubscriptionRole::Answered
        } else {
            SubscriptionRole::Unanswered
        }
    }

    /// Whether this host is a subscriber.
    pub(crate) fn is_subscriber(&self) -> bool {
        *self.is_subscriber.borrow()
    }
}
