//! What endpoints say of themselves in their answers: that they leave, or that they want
//! nothing from this host for a while.
//!
//! Each answer's head is read in one place, whatever it answers and however it ends, and
//! taken here. An endpoint's own word comes before its entry at the store, which may tell
//! seconds later or, while the store is away, not at all.

use chalkrock_core::RequestId;
use chalkrock_routing::{BackoffChange, PoolMember};

use crate::edge::{AnswerHead, RequestedBackoff};
use crate::event_log::Event;
use crate::shared::Shared;

impl Shared {
    /// An endpoint answered a request. Takes what it says there of itself; the answer of
    /// another endpoint at its address says nothing of it.
    pub(crate) fn record_endpoint_answer(
        &self,
        member: &PoolMember,
        answer: &AnswerHead,
        id: Option<&RequestId>,
    ) {
        if answer.is_other_endpoint {
            return;
        }
        if answer.is_leaving {
            self.endpoint_leaves(member, id);
        }
        match &answer.backoff {
            RequestedBackoff::ForMs(asked_ms) => self.endpoint_backs_off(member, *asked_ms, id),
            RequestedBackoff::Unreadable(found) => self.backoff_is_unreadable(member, found, id),
            RequestedBackoff::None if !answer.says_not_run => {
                let now_ms = self.clock.now_ms();
                let start = member.hash.short();
                self.fleet().backoffs.record_answered(start, now_ms);
            }
            RequestedBackoff::None => {}
        }
    }

    /// The other hosts are told with the next round.
    fn endpoint_leaves(&self, member: &PoolMember, id: Option<&RequestId>) {
        let start = member.hash.short();
        self.idle_connections.close(start);
        if self.mark_leaving(&[start], "answer", id) {
            self.metrics.count("leaving_heard_in_answers_total", "", 1);
        }
    }

    /// Starts of endpoints are found to leave by another word than their entries. Returns
    /// whether that is news of any.
    pub(crate) fn mark_leaving(&self, starts: &[u32], from: &str, id: Option<&RequestId>) -> bool {
        let now_ms = self.clock.now_ms();
        let marked = self.fleet().endpoints.mark_leaving(starts, now_ms);
        for endpoint in &marked {
            self.event_log.emit(&Event::EndpointLeaves {
                endpoint: &endpoint.name,
                start: endpoint.incarnation,
                from,
                id,
            });
        }
        !marked.is_empty()
    }

    fn endpoint_backs_off(&self, member: &PoolMember, asked_ms: u64, id: Option<&RequestId>) {
        let now_ms = self.clock.now_ms();
        let draw = rand::random();
        let mut fleet = self.fleet();
        let change = fleet
            .backoffs
            .record_request(member, asked_ms, draw, now_ms);
        drop(fleet);
        let BackoffChange::Begun { for_ms } = change else {
            return;
        };
        self.metrics.count("backoffs_total", "", 1);
        self.event_log.emit(&Event::Backoff {
            endpoint: &member.endpoint.name,
            start: member.endpoint.incarnation,
            asked_ms,
            for_ms,
            id,
        });
    }

    fn backoff_is_unreadable(&self, member: &PoolMember, found: &str, id: Option<&RequestId>) {
        self.metrics.count("unreadable_backoffs_total", "", 1);
        self.event_log.emit(&Event::UnreadableBackoff {
            endpoint: &member.endpoint.name,
            id,
            found,
        });
    }

    /// Ends what was believed of endpoints by their own words for long enough.
    pub(crate) fn expire_endpoint_reports(&self) {
        let now_ms = self.clock.now_ms();
        let mut fleet = self.fleet();
        let ended = fleet.backoffs.expire(now_ms);
        let forgotten = fleet.endpoints.expire_leaving(now_ms);
        drop(fleet);
        for endpoint in &ended {
            self.event_log.emit(&Event::BackoffEnded {
                endpoint: &endpoint.name,
                start: endpoint.incarnation,
            });
        }
        for endpoint in &forgotten {
            self.event_log.emit(&Event::LeavingForgotten {
                endpoint: &endpoint.name,
                start: endpoint.incarnation,
            });
        }
    }
}
