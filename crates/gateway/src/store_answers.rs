//! When the store last answered a host, by topic.
//!
//! An answer proves something about its own topic only: the calls of the other topic may be
//! lost.

use std::time::Duration;

use serde::{Deserialize, Serialize};
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

/// Times since the latest answers on each topic, as reported to other hosts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct AnswerAges {
    pub(crate) rules_ms: Option<u32>,
    pub(crate) endpoints_ms: Option<u32>,
}

impl AnswerAges {
    pub(crate) fn of(&self, topic: Topic) -> Option<u32> {
        match topic {
            Topic::Rules => self.rules_ms,
            Topic::Endpoints => self.endpoints_ms,
        }
    }
}

/// The topics that an answer is evidence for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AnswerScope {
    /// The store answers, on whichever topic. This is no evidence for the view of a topic.
    AnyTopic,
    Topic(Topic),
}

/// The latest answers of the store to this host and, as reported, to others.
#[derive(Clone, Copy, Debug)]
pub(crate) struct StoreAnswers {
    rules: AnsweredAt,
    endpoints: AnsweredAt,
    any_topic: AnsweredAt,
    started: Instant,
}

impl StoreAnswers {
    pub(crate) fn new(started: Instant) -> Self {
        Self {
            rules: AnsweredAt::default(),
            endpoints: AnsweredAt::default(),
            any_topic: AnsweredAt::default(),
            started,
        }
    }

    /// Records an answer. Returns whether it is newer than what is known.
    pub(crate) fn record(&mut self, scope: AnswerScope, host: AnsweredHost, at: Instant) -> bool {
        let answered_at = match scope {
            AnswerScope::AnyTopic => &mut self.any_topic,
            AnswerScope::Topic(Topic::Rules) => &mut self.rules,
            AnswerScope::Topic(Topic::Endpoints) => &mut self.endpoints,
        };
        let known = answered_at.instant_mut(host);
        let is_newer = known.is_none_or(|known| at > known);
        if is_newer {
            *known = Some(at);
        }
        is_newer
    }

    /// The latest answer to any host, or else this host's start.
    pub(crate) fn latest(&self, scope: AnswerScope) -> Instant {
        let answered_at = match scope {
            AnswerScope::AnyTopic => &self.any_topic,
            AnswerScope::Topic(Topic::Rules) => &self.rules,
            AnswerScope::Topic(Topic::Endpoints) => &self.endpoints,
        };
        answered_at.latest().unwrap_or(self.started)
    }

    /// Time since the latest answer to a host on either topic.
    pub(crate) fn age_ms(&self, host: AnsweredHost) -> Option<u32> {
        elapsed_ms(self.any_topic.latest_to(host))
    }

    /// Times since the latest answers to a host on each topic.
    pub(crate) fn ages(&self, host: AnsweredHost) -> AnswerAges {
        AnswerAges {
            rules_ms: elapsed_ms(self.rules.latest_to(host)),
            endpoints_ms: elapsed_ms(self.endpoints.latest_to(host)),
        }
    }

    /// Shifts all answers back by time that the runtime's clock did not count.
    pub(crate) fn age(&mut self, by: Duration) {
        for answered_at in [&mut self.rules, &mut self.endpoints, &mut self.any_topic] {
            answered_at.age(by);
        }
    }
}

fn elapsed_ms(at: Option<Instant>) -> Option<u32> {
    u32::try_from(at?.elapsed().as_millis()).ok()
}
