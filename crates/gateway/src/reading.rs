//! Whether this host reads the platform, and how the platform answers it.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};

use chalkrock_routing::{FollowTimes, Reading};
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

/// When the platform last answered, as far as this host knows.
#[derive(Clone, Copy, Debug)]
struct AnsweredAt {
    own: Option<Instant>,
    /// This host or one that it hears; at first, when this host started.
    any: Instant,
}

/// This host as a reader.
#[derive(Debug)]
pub(crate) struct ReadingState {
    /// Whether it is this host's to read.
    has_turn: watch::Sender<bool>,
    answered_at: Mutex<AnsweredAt>,
    /// Grows when this host finds that no host was answered for long.
    doubts: watch::Sender<u64>,
    rules: OfTopic,
    endpoints: OfTopic,
}

impl Default for ReadingState {
    /// A host reads until it knows of others who do.
    fn default() -> Self {
        Self {
            has_turn: watch::channel(true).0,
            answered_at: Mutex::new(AnsweredAt {
                own: None,
                any: Instant::now(),
            }),
            doubts: watch::channel(0).0,
            rules: OfTopic::default(),
            endpoints: OfTopic::default(),
        }
    }
}

impl ReadingState {
    fn of(&self, topic: Topic) -> &OfTopic {
        match topic {
            Topic::Rules => &self.rules,
            Topic::Endpoints => &self.endpoints,
        }
    }

    /// Says whether it is this host's to read. Returns whether that changed.
    pub(crate) fn set_turn(&self, has_turn: bool) -> bool {
        self.has_turn.send_if_modified(|known| {
            let is_news = *known != has_turn;
            *known = has_turn;
            is_news
        })
    }

    /// Waits until it is this host's to read, or it has to read once.
    pub(crate) async fn wait_for_turn(&self, topic: Topic) {
        let mut has_turn = self.has_turn.subscribe();
        let again = &self.of(topic).again;
        tokio::select! {
            _ = has_turn.wait_for(|has_turn| *has_turn) => {}
            // Kept for the wait that follows, which reads the whole.
            () = again.notified() => again.notify_one(),
        }
    }

    /// Waits until the topic has to be read whole again.
    pub(crate) async fn again(&self, topic: Topic) {
        self.of(topic).again.notified().await;
    }

    /// All has to be read whole again: others know what this host does not.
    pub(crate) fn read_again(&self) {
        self.rules.again.notify_one();
        self.endpoints.again.notify_one();
    }

    /// The platform answered, or did not.
    pub(crate) fn answered(&self, topic: Topic, is_answered: bool) {
        let of_topic = self.of(topic);
        of_topic.is_answered.store(is_answered, Ordering::Relaxed);
        if is_answered {
            let now = Instant::now();
            let mut answered_at = self.answered_at();
            answered_at.own = Some(now);
            answered_at.any = now;
        }
    }

    fn answered_at(&self) -> MutexGuard<'_, AnsweredAt> {
        self.answered_at
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// How long ago the platform answered this host, as told to others.
    pub(crate) fn answered_ago_ms(&self) -> Option<u32> {
        let ago = self.answered_at().own?.elapsed();
        u32::try_from(ago.as_millis()).ok()
    }

    /// The platform answered another host so long ago.
    pub(crate) fn peer_was_answered(&self, ago_ms: u32) {
        let Some(at) = Instant::now().checked_sub(ms(u64::from(ago_ms))) else {
            return;
        };
        let mut answered_at = self.answered_at();
        answered_at.any = answered_at.any.max(at);
    }

    /// Waits until the platform has answered no host for so long that this
    /// one should ask whether it still does, on both topics: the first answer
    /// ends the doubt for all, and a wait for the other topic may be lost.
    pub(crate) async fn stale(&self, times: &FollowTimes) {
        let delay_ms = rand::rng().random_range(0..=times.stale_spread_ms);
        let patience = ms(times.stale_after_ms + delay_ms);
        let mut doubts = self.doubts.subscribe();
        loop {
            let due = self.answered_at().any + patience;
            if Instant::now() >= due {
                self.doubts.send_modify(|doubts| *doubts += 1);
                return;
            }
            tokio::select! {
                () = tokio::time::sleep_until(due) => {}
                _never_closed = doubts.changed() => return,
            }
        }
    }

    /// How this host stands to the platform, as told to others.
    pub(crate) fn told(&self) -> Reading {
        if !*self.has_turn.borrow() {
            return Reading::No;
        }
        let is_answered = |of: &OfTopic| of.is_answered.load(Ordering::Relaxed);
        if is_answered(&self.rules) && is_answered(&self.endpoints) {
            Reading::Answered
        } else {
            Reading::Unanswered
        }
    }

    /// Whether it is this host's to read.
    pub(crate) fn has_turn(&self) -> bool {
        *self.has_turn.borrow()
    }
}
