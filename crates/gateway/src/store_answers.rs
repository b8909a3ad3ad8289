//! When the store last answered a host, by topic.
//!
//! An answer proves something about its own topic only: the calls of the other topic may be
//! lost.

use std::time::Duration;

use tokio::time::Instant;

use crate::source::Topic;

/// The host that the store answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AnsweredHost {
    Local,
    /// A host that reported it directly.
    SameZone,
    /// A host of another zone, as reported by relays.
    RemoteZone,
}

/// The latest answer by host.
#[derive(Clone, Copy, Debug, Default)]
struct AnsweredAt {
    local: Option<Instant>,
    same_zone: Option<Instant>,
    remote_zone: Option<Instant>,
}

impl AnsweredAt {
    fn instant_mut(&mut self, host: AnsweredHost) -> &mut Option<Instant> {
        match host {
            AnsweredHost::Local => &mut self.local,
            AnsweredHost::SameZone => &mut self.same_zone,
            AnsweredHost::RemoteZone => &mut self.remote_zone,
        }
    }

    /// The latest answer to a host; `SameZone` includes this one.
    fn latest_to(&self, host: AnsweredHost) -> Option<Instant> {
        match host {
            AnsweredHost::Local => self.local,
            AnsweredHost::SameZone => self.local.max(self.same_zone),
            AnsweredHost::RemoteZone => self.remote_zone,
        }
    }

    /// The latest answer to any host.
    fn latest(&self) -> Option<Instant> {
        self.local.max(self.same_zone).max(self.remote_zone)
    }

    fn age(&mut self, by: Duration) {
        for at in [&mut self.local, &mut self.same_zone, &mut self.remote_zone] {
            *at = at.and_then(|at| at.checked_sub(by));
        }
    }
}

/// What an answer of the store was about.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AnswerScope {
    Topic(Topic),
    /// A topic that the report does not name.
    SomeTopic,
}

/// The latest answers of the store to this host and, as reported, to others.
#[derive(Clone, Copy, Debug)]
pub(crate) struct StoreAnswers {
    rules: AnsweredAt,
    endpoints: AnsweredAt,
    /// Answers on either topic.
    on_any: AnsweredAt,
    started: Instant,
}

impl StoreAnswers {
    pub(crate) fn new(started: Instant) -> Self {
        Self {
            rules: AnsweredAt::default(),
            endpoints: AnsweredAt::default(),
            on_any: AnsweredAt::default(),
            started,
        }
    }

    fn topic(&self, topic: Topic) -> &AnsweredAt {
        match topic {
            Topic::Rules => &self.rules,
            Topic::Endpoints => &self.endpoints,
        }
    }

    /// Records an answer. Returns whether it is newer than what is known.
    pub(crate) fn record(&mut self, scope: AnswerScope, host: AnsweredHost, at: Instant) -> bool {
        let of_topic = match scope {
            AnswerScope::Topic(Topic::Rules) => Some(&mut self.rules),
            AnswerScope::Topic(Topic::Endpoints) => Some(&mut self.endpoints),
            AnswerScope::SomeTopic => None,
        };
        let mut is_newer = false;
        for answered_at in of_topic.into_iter().chain([&mut self.on_any]) {
            let known = answered_at.instant_mut(host);
            if known.is_none_or(|known| at > known) {
                *known = Some(at);
                is_newer = true;
            }
        }
        is_newer
    }

    /// The latest answer to any host, or else this host's start.
    pub(crate) fn latest(&self, scope: AnswerScope) -> Instant {
        let answered_at = match scope {
            AnswerScope::Topic(topic) => self.topic(topic),
            AnswerScope::SomeTopic => &self.on_any,
        };
        answered_at.latest().unwrap_or(self.started)
    }

    /// Time since the latest answer to a host on either topic.
    pub(crate) fn age_ms(&self, host: AnsweredHost) -> Option<u32> {
        elapsed_ms(self.on_any.latest_to(host))
    }

    /// Shifts all answers back by time that the runtime's clock did not count.
    pub(crate) fn age(&mut self, by: Duration) {
        for answered_at in [&mut self.rules, &mut self.endpoints, &mut self.on_any] {
            answered_at.age(by);
        }
    }
}

fn elapsed_ms(at: Option<Instant>) -> Option<u32> {
    u32::try_from(at?.elapsed().as_millis()).ok()
}
