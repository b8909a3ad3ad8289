//! Whether this host reads the platform, and how the platform answers it.

use std::sync::atomic::{AtomicBool, Ordering};

use chalkrock_routing::Reading;
use tokio::sync::{Notify, watch};

use crate::source::Topic;

/// Of one topic.
#[derive(Debug, Default)]
struct OfTopic {
    is_answered: AtomicBool,
    again: Notify,
}

/// This host as a reader.
#[derive(Debug)]
pub(crate) struct ReadingState {
    /// Whether it is this host's to read.
    has_turn: watch::Sender<bool>,
    rules: OfTopic,
    endpoints: OfTopic,
}

impl Default for ReadingState {
    /// A host reads until it knows of others who do.
    fn default() -> Self {
        Self {
            has_turn: watch::channel(true).0,
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
