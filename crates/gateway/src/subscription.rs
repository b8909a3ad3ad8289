//! This host's role as a store subscriber, and when the store last answered.

use std::collections::VecDeque;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use chalkrock_routing::{FollowTimes, SubscriptionRole, doubting_part};
use rand::RngExt;
use tokio::sync::{Notify, watch};
use tokio::time::Instant;

use crate::clock::ms;
use crate::source::Topic;

/// State of one topic.
#[derive(Debug, Default)]
struct OfTopic {
    is_answered: AtomicBool,
    again: Notify,
}

/// Covers suspensions longer than most gaps between answers.
const PAUSES_KEPT: usize = 16;

/// Intervals in which this host was suspended and received no reports, oldest first.
#[derive(Debug, Default)]
struct OwnPauses(VecDeque<(Instant, Instant)>);

impl OwnPauses {
    /// Records a suspension that ends now.
    fn add(&mut self, length: Duration, now: Instant) {
        let from = now.checked_sub(length).unwrap_or(now);
        self.0.push_back((from, now));
        if self.0.len() > PAUSES_KEPT {
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
    fn within(&self, from: Instant, to: Instant) -> Duration {
        let overlap = |(began, ended): &(Instant, Instant)| {
            to.min(*ended).saturating_duration_since(from.max(*began))
        };
        self.0.iter().map(overlap).sum()
    }
}

/// The host that the store answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AnsweredHost {
    /// This host.
    Own,
    /// A host that reported it directly.
    Near,
    /// A host of another zone, as reported by relays.
    Far,
}

/// When the store last answered, by host.
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
            AnsweredHost::Own => &mut self.own,
            AnsweredHost::Near => &mut self.near,
            AnsweredHost::Far => &mut self.far,
        }
    }

    /// The latest answer to any host, or else this host's start.
    fn any(&self) -> Instant {
        let all = [self.own, self.near, self.far];
        let newest = all.into_iter().flatten().max();
        newest.unwrap_or(self.started)
    }
}

/// Why a topic is read now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Due {
    /// This host is a subscriber.
    Turn,
    /// Peers know more than this host: a full read is needed.
    Again,
    /// No host was answered within the staleness timeout.
    Doubt,
}

/// This host's subscription to the store.
#[derive(Debug)]
pub(crate) struct StoreSubscription {
    /// Whether this host is a subscriber.
    has_turn: watch::Sender<bool>,
    /// Whether this host would be a subscriber if there were none yet.
    is_first_choice: watch::Sender<bool>,
    /// Whether the configured seeds were queried for their full state.
    are_seeds_asked: watch::Sender<bool>,
    answered_at: watch::Sender<AnsweredAt>,
    own_pauses: Mutex<OwnPauses>,
    /// Incremented when this host polls because its view is stale.
    doubts: watch::Sender<u64>,
    /// Hosts that share the subscription.
    sharing: AtomicUsize,
    /// All known hosts.
    hosts_known: AtomicUsize,
    /// Whether this host sends aggregates to other zones.
    is_relay: AtomicBool,
    /// Whether subscribers of other zones read first.
    is_standby: AtomicBool,
    rules: OfTopic,
    endpoints: OfTopic,
}

impl Default for StoreSubscription {
    /// A host is a subscriber until it knows of others.
    fn default() -> Self {
        let answered_at = AnsweredAt {
            own: None,
            near: None,
            far: None,
            started: Instant::now(),
        };
        Self {
            has_turn: watch::channel(true).0,
            is_first_choice: watch::channel(false).0,
            are_seeds_asked: watch::channel(false).0,
            answered_at: watch::channel(answered_at).0,
            own_pauses: Mutex::default(),
            doubts: watch::channel(0).0,
            sharing: AtomicUsize::new(0),
            hosts_known: AtomicUsize::new(1),
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

    /// Sets whether this host is a subscriber. Returns whether that changed.
    pub(crate) fn set_turn(&self, has_turn: bool) -> bool {
        self.has_turn.send_if_modified(|known| {
            let is_news = *known != has_turn;
            *known = has_turn;
            is_news
        })
    }

    /// Sets whether this host would be a subscriber if there were none yet.
    pub(crate) fn set_first_choice(&self, is_first_choice: bool) {
        self.is_first_choice.send_replace(is_first_choice);
    }

    /// Waits until this host would be a subscriber if there were none yet.
    pub(crate) async fn first_choice(&self) {
        let mut is_first_choice = self.is_first_choice.subscribe();
        let _never_closed = is_first_choice.wait_for(|is_first| *is_first).await;
    }

    /// Records that the configured seeds were queried.
    pub(crate) fn seeds_asked(&self) {
        self.are_seeds_asked.send_replace(true);
    }

    /// Waits until the configured seeds were queried.
    pub(crate) async fn after_seeds_asked(&self) {
        let mut are_asked = self.are_seeds_asked.subscribe();
        let _never_closed = are_asked.wait_for(|are_asked| *are_asked).await;
    }

    /// Waits until this host is a subscriber.
    pub(crate) async fn turn(&self) {
        let mut has_turn = self.has_turn.subscribe();
        let _never_closed = has_turn.wait_for(|has_turn| *has_turn).await;
    }

    /// Waits until a topic should be read.
    pub(crate) async fn due(&self, topic: Topic, times: &FollowTimes) -> Due {
        let mut has_turn = self.has_turn.subscribe();
        if *has_turn.borrow_and_update() {
            return Due::Turn;
        }
        tokio::select! {
            _never_closed = has_turn.wait_for(|has_turn| *has_turn) => Due::Turn,
            () = self.again(topic) => Due::Again,
            () = self.stale(times) => Due::Doubt,
        }
    }

    /// Waits until a full read of the topic is requested.
    pub(crate) async fn again(&self, topic: Topic) {
        self.of(topic).again.notified().await;
    }

    /// Requests a full read of both topics.
    pub(crate) fn read_again(&self) {
        self.rules.again.notify_one();
        self.endpoints.again.notify_one();
    }

    /// Records that the store answered this host.
    pub(crate) fn answered(&self, topic: Topic) {
        self.of(topic).is_answered.store(true, Ordering::Relaxed);
    }

    /// Records that the store did not answer.
    pub(crate) fn not_answered(&self, topic: Topic) {
        self.of(topic).is_answered.store(false, Ordering::Relaxed);
    }

    /// Records a suspension of this host, `uncounted` of which the runtime's clock missed.
    pub(crate) fn stood_still(&self, length: Duration, uncounted: Duration) {
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

    /// Time since the store last answered, as reported to peers; `Near` includes this host.
    pub(crate) fn answered_ago_ms(&self, whom: AnsweredHost) -> Option<u32> {
        let answered_at = *self.answered_at.borrow();
        let at = match whom {
            AnsweredHost::Own => answered_at.own,
            AnsweredHost::Near => answered_at.own.max(answered_at.near),
            AnsweredHost::Far => answered_at.far,
        };
        u32::try_from(at?.elapsed().as_millis()).ok()
    }

    /// Records an answer `ago_ms` ago. Returns the gap since the previous answer to any
    /// host, excluding this host's suspensions; zero if the answer is not newer.
    pub(crate) fn was_answered(&self, whom: AnsweredHost, ago_ms: Option<u32>) -> Duration {
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

    /// Whether a relay should report an answer at once, because after such a gap other
    /// zones are about to poll.
    pub(crate) fn is_due_to_relay(&self, gained: Duration, times: &FollowTimes) -> bool {
        self.is_relay() && gained >= ms(times.stale_after_ms / 2)
    }

    /// Whether this host sends aggregates to other zones.
    pub(crate) fn is_relay(&self) -> bool {
        self.is_relay.load(Ordering::Relaxed)
    }

    /// Whether the store answered any host after an instant.
    pub(crate) fn answered_since(&self, since: Instant) -> bool {
        self.answered_at.borrow().any() > since
    }

    /// Waits until the store has answered any host after an instant.
    pub(crate) async fn answered_after(&self, since: Instant) {
        let mut answered_at = self.answered_at.subscribe();
        let is_over = |answered_at: &AnsweredAt| answered_at.any() > since;
        let _never_closed = answered_at.wait_for(is_over).await;
    }

    /// Sets the number of subscribers, the number of known hosts and whether this host is a
    /// relay.
    pub(crate) fn set_round(&self, sharing: usize, hosts_known: usize, is_relay: bool) {
        self.sharing.store(sharing, Ordering::Relaxed);
        self.hosts_known.store(hosts_known, Ordering::Relaxed);
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

    /// Hosts that share the subscription.
    pub(crate) fn sharing(&self) -> usize {
        self.sharing.load(Ordering::Relaxed)
    }

    /// Whether this host polls while the view is stale; in a large fleet only a random
    /// fraction does.
    fn asks_in_doubt(&self) -> bool {
        let hosts = self.hosts_known.load(Ordering::Relaxed);
        self.has_turn() || rand::random::<f64>() < doubting_part(hosts)
    }

    /// Waits until the store has answered no host for so long that this one should poll it,
    /// on both topics, since a wait for one topic may be lost. The first answer ends the
    /// wait on all hosts. Hosts that are not selected draw again periodically.
    pub(crate) async fn stale(&self, times: &FollowTimes) {
        // Subscribers poll first, which mostly spares the others.
        let half_ms = times.stale_spread_ms / 2;
        let first_ms = if self.has_turn() { 0 } else { half_ms };
        let delay_ms = first_ms + rand::rng().random_range(0..=half_ms);
        let patience = ms(times.stale_after_ms + delay_ms);
        let draw_again = ms(times.stale_spread_ms.max(1));
        let mut drawn_at = None;
        let mut doubts = self.doubts.subscribe();
        loop {
            let doubtful = self.answered_at.borrow().any() + patience;
            let due = doubtful.max(drawn_at.map_or(doubtful, |at| at + draw_again));
            if Instant::now() >= due {
                if self.asks_in_doubt() {
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

    /// This host's subscription role, as reported to peers.
    pub(crate) fn role(&self) -> SubscriptionRole {
        if !*self.has_turn.borrow() {
            return SubscriptionRole::No;
        }
        let is_answered = |of: &OfTopic| of.is_answered.load(Ordering::Relaxed);
        if is_answered(&self.rules) && is_answered(&self.endpoints) {
            SubscriptionRole::Answered
        } else {
            SubscriptionRole::Unanswered
        }
    }

    /// Whether this host is a subscriber.
    pub(crate) fn has_turn(&self) -> bool {
        *self.has_turn.borrow()
    }
}
