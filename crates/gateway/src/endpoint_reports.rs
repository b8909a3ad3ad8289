//! Handles state that endpoints report in answers: that they leave, or that they back off.
//!
//! A report takes precedence over the endpoint's entry in the store, which may change
//! seconds later or, while the store is unavailable, not at all.

use chalkrock_core::RequestId;
use chalkrock_routing::{BackoffChange, LimitReport, PoolMember};

use crate::edge::{AnswerHead, RequestedBackoff};
use crate::endpoint_connections::ConnectionTarget;
use crate::event_log::Event;
use crate::shared::Shared;

impl Shared {
    /// Applies the state that an endpoint reports in an answer. An answer of another
    /// endpoint at the same address is ignored.
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
            self.handle_leaving(member, id);
        }
        self.handle_rejection_limit(member, answer.max_rejections_per_s);
        if let Some(load) = &answer.load {
            let now_ms = self.clock.now_ms();
            self.fleet()
                .work
                .record_load(member.hash.short(), load, now_ms);
        }
        match &answer.backoff {
            RequestedBackoff::ForMs(asked_ms) => self.handle_backoff(member, *asked_ms, id),
            RequestedBackoff::Unreadable(found) => self.log_unreadable_backoff(member, found, id),
            RequestedBackoff::None if !answer.says_not_run => {
                let now_ms = self.clock.now_ms();
                let start = member.hash.short();
                self.fleet().backoffs.record_answered(start, now_ms);
            }
            RequestedBackoff::None => {}
        }
    }

    /// Logs the endpoints that became slow for longer, or are usual again.
    pub(crate) fn log_slowness_changes(&self) {
        let now_ms = self.clock.now_ms();
        let fleet = self.fleet();
        for change in fleet.work.take_slowness_changes(now_ms) {
            let mut listed = fleet.endpoints.listed();
            let member = listed.find(|member| member.hash.short() == change.endpoint);
            if let Some(member) = member {
                self.event_log.emit(&Event::EndpointSlow {
                    endpoint: &member.endpoint.name,
                    is_slow: change.is_slow,
                    slowness: change.slowness,
                });
            }
        }
    }

    /// The next round of messages informs the other hosts.
    fn handle_leaving(&self, member: &PoolMember, id: Option<&RequestId>) {
        let start = member.hash.short();
        let target = ConnectionTarget::Endpoint(start);
        self.endpoint_connections.close(target);
        if self.mark_leaving(&[start], "answer", id) {
            self.metrics.count("leaving_heard_in_answers_total", "", 1);
        }
    }

    /// Marks endpoints as leaving, by hashes of their starts and ahead of their entries in
    /// the store. Returns whether any is newly marked.
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

    fn handle_rejection_limit(&self, member: &PoolMember, limit_per_s: Option<u32>) {
        let now_ms = self.clock.now_ms();
        let start = member.hash.short();
        let mut fleet = self.fleet();
        let is_change = fleet
            .rejection_limits
            .record_answer(start, limit_per_s, now_ms);
        drop(fleet);
        if is_change {
            self.event_log.emit(&Event::RejectionLimit {
                endpoint: &member.endpoint.name,
                limit_per_s,
            });
        }
    }

    /// Merges the limits that another host knows.
    pub(crate) fn merge_rejection_limits(&self, reports: &[LimitReport]) {
        let now_ms = self.clock.now_ms();
        let mut fleet = self.fleet();
        for report in reports {
            fleet.rejection_limits.merge(report, now_ms);
        }
    }

    fn handle_backoff(&self, member: &PoolMember, asked_ms: u64, id: Option<&RequestId>) {
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

    fn log_unreadable_backoff(&self, member: &PoolMember, found: &str, id: Option<&RequestId>) {
        self.metrics.count("unreadable_backoffs_total", "", 1);
        self.event_log.emit(&Event::UnreadableBackoff {
            endpoint: &member.endpoint.name,
            id,
            found,
        });
    }

    /// Ends backoffs that are over, and forgets endpoints that left long ago.
    pub(crate) fn expire_endpoint_reports(&self) {
        let now_ms = self.clock.now_ms();
        let mut fleet = self.fleet();
        let ended = fleet.backoffs.expire(now_ms);
        let expired = fleet.endpoints.expire_leaving(now_ms);
        drop(fleet);
        for endpoint in &ended {
            self.event_log.emit(&Event::BackoffEnded {
                endpoint: &endpoint.name,
                start: endpoint.incarnation,
            });
        }
        for endpoint in &expired {
            self.event_log.emit(&Event::LeavingForgotten {
                endpoint: &endpoint.name,
                start: endpoint.incarnation,
            });
        }
    }
}
