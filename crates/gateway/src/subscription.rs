//! Whether this host reads the platform, and how the platform answers it.

use std::collections::VecDeque;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use chalkrock_routing::{SubscriptionRole, SubscriptionTimings, stale_poll_fraction};
use rand::RngExt;
use tokio::sync::{Notify, watch};
use tokio::time::Instant;

use crate::clock::ms;
use crate::source::Topic;

/// Of one topic.
#[derive(Debug, Default)]
struct OfTopic {
    is_answered: AtomicBool,
    again: Notify,
}

/// Pauses of this host that are remembered: of longer ones than most gaps between
/// answers there is one.
const PAUSES_KEPT: usize = 16;

/// When this host stood still, oldest first: it heard of no answer then, whoever got
/// one.
#[derive(Debug, Default)]
struct OwnPauses(VecDeque<(Instant, Instant)>);

impl OwnPauses {
    /// This host stood still until now.
    fn add(&mut self, length: Duration, now: Instant) {
        let from = now.checked_sub(length).unwrap_or(now);
        self.0.push_back((from, now));
        if self.0.len() > PAUSES_KEPT {
            self.0.pop_front();
        }
    }

    /// All that is remembered is older by so much than the clock says.
    fn age(&mut self, by: Duration) {
        for at in self.0.iter_mut().flat_map(|(from, to)| [from, to]) {
            *at = at.checked_sub(by).unwrap_or(*at);
        }
    }

    /// How much of the time between two instants this host stood still.
    fn within(&self, from: Instant, to: Instant) -> Duration {
        let overlap = |(began, ended): &(Instant, Instant)| {
            to.min(*ended).saturating_duration_since(from.max(*began))
        };
        self.0.iter().map(overlap).sum()
    }
}

/// Whom the platform answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AnsweredHost {
    /// This host.
    Local,
    /// A host that told so itself.
    SameZone,
    /// A host of another zone, as relays told.
    RemoteZone,
}

/// When the platform last answered, by whom.
#[derive(Clone, Copy, Debug)]
struct AnsweredAt {
    own: Option<Instant>,
    near: Option<Instant>,
    far: Option<Instant>,
    started: Instant,
}

impl AnsweredAt {
    fn of(&mut self, whom: AnsweredHost) -> &mut Option<Instant> {
        match whom {
            AnsweredHost::Local => &mut self.own,
            AnsweredHost::SameZone => &mut self.near,
            AnsweredHost::RemoteZone => &mut self.far,
        }
    }

    /// Any host; if none was, when this host started.
    fn any(&self) -> Instant {
        let all = [self.own, self.near, self.far];
        let newest = all.into_iter().flatten().max();
        newest.unwrap_or(self.started)
    }
}

/// Why a topic is read now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ReadReason {
    /// It is this host's to read.
    Subscriber,
    /// Others know what this host does not: the whole has to be read.
    Reread,
    /// No host was answered for long.
    StaleView,
}

/// This host as a reader.
#[derive(Debug)]
pub(crate) struct StoreSubscription {
    /// Whether it is this host's to read.
    is_subscriber: watch::Sender<bool>,
    /// Whether it would be where no one reads yet.
    is_preferred_subscriber: watch::Sender<bool>,
    /// Whether the hosts of the settings were asked for all they know.
    are_seeds_asked: watch::Sender<bool>,
    answered_at: watch::Sender<AnsweredAt>,
    own_pauses: Mutex<OwnPauses>,
    /// Grows when this host finds that no host was answered for long.
    doubts: watch::Sender<u64>,
    /// Hosts that share the reading.
    subscriber_count: AtomicUsize,
    /// All hosts that are known.
    known_host_count: AtomicUsize,
    /// Whether this host tells other zones of its own.
    is_relay: AtomicBool,
    /// Whether readers of other zones come first.
    is_standby: AtomicBool,
    rules: OfTopic,
    endpoints: OfTopic,
}

impl Default for StoreSubscription {
    /// A host reads until it knows of others who do.
    fn default() -> Self {
        let answered_at = AnsweredAt {
            own: None,
            near: None,
            far: None,
            started: Instant::now(),
        };
        Self {
            is_subscriber: watch::channel(true).0,
            is_preferred_subscriber: watch::channel(false).0,
            are_seeds_asked: watch::channel(false).0,
            answered_at: watch::channel(answered_at).0,
            own_pauses: Mutex::default(),
            doubts: watch::channel(0).0,
            subscriber_count: AtomicUsize::new(0),
            known_host_count: AtomicUsize::new(1),
            is_relay: AtomicBool::new(false),
            is_standby: AtomicBool::new(false),
            rules: OfTopic::default(),
            endpoints: OfTopic::default(),
        }
    }
}

impl StoreSubscription {
    fn of(&self, topic: Topic) -> &OfTopic {
        match topic {
            Topic::Rules => &self.rules,
            Topic::Endpoints => &self.endpoints,
        }
    }

    /// Says whether it is this host's to read. Returns whether that changed.
    pub(crate) fn set_subscriber(&self, is_subscriber: bool) -> bool {
        self.is_subscriber.send_if_modified(|known| {
            let is_news = *known != is_subscriber;
            *known = is_subscriber;
            is_news
        })
    }

    /// Says whether it would be this host's to read where no one reads yet.
    pub(crate) fn set_preferred(&self, is_preferred_subscriber: bool) {
        self.is_preferred_subscriber
            .send_replace(is_preferred_subscriber);
    }

    /// Waits until it would be this host's to read where no one reads yet.
    pub(crate) async fn wait_until_preferred(&self) {
        let mut is_preferred_subscriber = self.is_preferred_subscriber.subscribe();
        let _never_closed = is_preferred_subscriber.wait_for(|is_first| *is_first).await;
    }

    /// The hosts of the settings were asked for all they know.
    pub(crate) fn mark_seeds_queried(&self) {
        self.are_seeds_asked.send_replace(true);
    }

    /// Waits until the hosts of the settings were asked for all they know.
    pub(crate) async fn wait_until_seeds_queried(&self) {
        let mut are_asked = self.are_seeds_asked.subscribe();
        let _never_closed = are_asked.wait_for(|are_asked| *are_asked).await;
    }

    /// Waits until it is this host's turn to read.
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
            () = self.wait_until_stale(times) => ReadReason::StaleView,
        }
    }

    /// Waits until the topic has to be read whole again.
    pub(crate) async fn wait_for_reread(&self, topic: Topic) {
        self.of(topic).again.notified().await;
    }

    /// All has to be read whole again: others know what this host does not.
    pub(crate) fn request_reread(&self) {
        self.rules.again.notify_one();
        self.endpoints.again.notify_one();
    }

    /// The platform answered this host.
    pub(crate) fn record_answer(&self, topic: Topic) {
        self.of(topic).is_answered.store(true, Ordering::Relaxed);
    }

    /// The platform did not answer.
    pub(crate) fn record_failure(&self, topic: Topic) {
        self.of(topic).is_answered.store(false, Ordering::Relaxed);
    }

    /// This host stood still for so long, of which the runtime's clock did not count
    /// some: all that is remembered is older by that.
    pub(crate) fn record_suspension(&self, length: Duration, uncounted: Duration) {
        self.age(uncounted);
        let mut own_pauses = self.own_pauses();
        own_pauses.age(uncounted);
        own_pauses.add(length, Instant::now());
    }

    fn own_pauses(&self) -> std::sync::MutexGuard<'_, OwnPauses> {
        self.own_pauses
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    fn age(&self, by: Duration) {
        self.answered_at.send_modify(|at| {
            for answered_at in [&mut at.own, &mut at.near, &mut at.far] {
                *answered_at = answered_at.and_then(|at| at.checked_sub(by));
            }
        });
    }

    /// How long ago the platform answered, as told to others; `Near` is this
    /// host or one that told so itself.
    pub(crate) fn answered_ago_ms(&self, whom: AnsweredHost) -> Option<u32> {
        let answered_at = *self.answered_at.borrow();
        let at = match whom {
            AnsweredHost::Local => answered_at.own,
            AnsweredHost::SameZone => answered_at.own.max(answered_at.near),
            AnsweredHost::RemoteZone => answered_at.far,
        };
        u32::try_from(at?.elapsed().as_millis()).ok()
    }

    /// The platform answered someone so long ago. Returns how long before that
    /// it last answered any host, but for the time in which this host could not hear of
    /// that; zero if this is no newer answer.
    pub(crate) fn record_peer_answer(&self, whom: AnsweredHost, ago_ms: Option<u32>) -> Duration {
        let ago = ago_ms.map(|ago_ms| ms(u64::from(ago_ms)));
        let Some(at) = ago.and_then(|ago| Instant::now().checked_sub(ago)) else {
            return Duration::ZERO;
        };
        let before = self.answered_at.borrow().any();
        self.answered_at.send_if_modified(|answered_at| {
            let known = answered_at.of(whom);
            let is_newer = known.is_none_or(|known| at > known);
            if is_newer {
                *known = Some(at);
            }
            is_newer
        });
        let still = self.own_pauses().within(before, at);
        at.saturating_duration_since(before).saturating_sub(still)
    }

    /// Whether this host, as a relay, should tell at once of an answer that
    /// came so long after the one before: other zones are about to doubt.
    pub(crate) fn is_due_to_relay(&self, gained: Duration, times: &SubscriptionTimings) -> bool {
        self.is_relay() && gained >= ms(times.staleness_timeout_ms / 2)
    }

    /// Whether this host tells other zones of its own.
    pub(crate) fn is_relay(&self) -> bool {
        self.is_relay.load(Ordering::Relaxed)
    }

    /// Whether the platform answered any host since an instant.
    pub(crate) fn answered_since(&self, since: Instant) -> bool {
        self.answered_at.borrow().any() > since
    }

    /// Waits until the platform has answered any host since an instant.
    pub(crate) async fn wait_answered_after(&self, since: Instant) {
        let mut answered_at = self.answered_at.subscribe();
        let is_over = |answered_at: &AnsweredAt| answered_at.any() > since;
        let _never_closed = answered_at.wait_for(is_over).await;
    }

    /// So many hosts share the reading, of so many in all; whether this one
    /// tells other zones of its own.
    pub(crate) fn set_round(&self, sharing: usize, hosts_known: usize, is_relay: bool) {
        self.subscriber_count.store(sharing, Ordering::Relaxed);
        self.known_host_count.store(hosts_known, Ordering::Relaxed);
        self.is_relay.store(is_relay, Ordering::Relaxed);
    }

    /// Whether readers of other zones tell this host most changes first.
    pub(crate) fn is_standby(&self) -> bool {
        self.is_standby.load(Ordering::Relaxed)
    }

    /// Says whether readers of other zones come first.
    pub(crate) fn set_standby(&self, is_standby: bool) {
        self.is_standby.store(is_standby, Ordering::Relaxed);
    }

    /// Hosts that share the reading.
    pub(crate) fn subscriber_count(&self) -> usize {
        self.subscriber_count.load(Ordering::Relaxed)
    }

    /// Whether this host is one of those that ask now that no host was answered
    /// for long.
    fn polls_while_stale(&self) -> bool {
        let hosts = self.known_host_count.load(Ordering::Relaxed);
        self.is_subscriber() || rand::random::<f64>() < stale_poll_fraction(hosts)
    }

    /// Waits until the platform has answered no host for so long that this
    /// one should ask whether it still does, on both topics: the first answer
    /// ends the doubt for all, and a wait for the other topic may be lost. In a
    /// large fleet each host draws, again and again, whether it asks.
    pub(crate) async fn wait_until_stale(&self, times: &SubscriptionTimings) {
        // Readers ask first: mostly one of them has ended the doubt before
        // the others ask.
        let half_ms = times.staleness_jitter_ms / 2;
        let first_ms = if self.is_subscriber() { 0 } else { half_ms };
        let delay_ms = first_ms + rand::rng().random_range(0..=half_ms);
        let patience = ms(times.staleness_timeout_ms + delay_ms);
        let draw_again = ms(times.staleness_jitter_ms.max(1));
        let mut drawn_at = None;
        let mut doubts = self.doubts.subscribe();
        loop {
            let doubtful = self.answered_at.borrow().any() + patience;
            let due = doubtful.max(drawn_at.map_or(doubtful, |at| at + draw_again));
            if Instant::now() >= due {
                if self.polls_while_stale() {
                    self.doubts.send_modify(|doubts| *doubts += 1);
                    return;
                }
                drawn_at = Some(Instant::now());
                continue;
            }
            tokio::select! {
                () = tokio::time::sleep_until(due) => {}
                _never_closed = doubts.changed() => return,
            }
        }
    }

    /// How this host stands to the platform, as told to others.
    pub(crate) fn role(&self) -> SubscriptionRole {
        if !*self.is_subscriber.borrow() {
            return SubscriptionRole::No;
        }
        let is_answered = |of: &OfTopic| of.is_answered.load(Ordering::Relaxed);
        if is_answered(&self.rules) && is_answered(&self.endpoints) {
            SubscriptionRole::Answered
        } else {
            SubscriptionRole::Unanswered
        }
    }

    /// Whether it is this host's to read.
    pub(crate) fn is_subscriber(&self) -> bool {
        *self.is_subscriber.borrow()
    }
}
