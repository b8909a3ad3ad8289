//! The work in hand at endpoints that read prompts: what this host learns and exchanges.

mod backlog;
mod event_intervals;
mod prompt;

use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use chalkrock_core::PoolId;
use chalkrock_core::rendezvous::KeyHash;
use chalkrock_process::Metrics;
use chalkrock_routing::{
    Candidate, OutstandingWork, Placement, PrefixDirectory, PromptRead, PromptWork, ReadId,
    SlownessChange, SpreadRules, WorkBasis, WorkEstimate, WorkReport, WorkRequest, choose_by_work,
    choose_in_overrun,
};

use crate::edge::EndpointLoad;
use crate::fleet::SelectedEndpoint;

pub(crate) use self::backlog::{BacklogQuestion, BacklogRecord, Backlogs, HeldPlace};
pub(crate) use self::event_intervals::EventIntervals;
pub(crate) use self::prompt::Prompt;

/// The state of this host.
#[derive(Debug, Default)]
struct State {
    ledger: OutstandingWork<SocketAddr>,
    /// Short hashes of the listed endpoints.
    listed: HashSet<u32>,
    /// Requests that wait at endpoints, as the last answer reported.
    reported_waiting: u32,
}

/// The work in hand at endpoints, shared with the requests that add to it.
#[derive(Clone, Debug, Default)]
pub(crate) struct Work(Arc<Mutex<State>>);

/// What placement by work takes from the view of the fleet.
pub(crate) struct WorkView<'a> {
    pub(crate) pool: &'a PoolId,
    pub(crate) prompt: Prompt<'a>,
    /// Hashes of the prompt's shared parts, in order.
    pub(crate) shared_parts: &'a [u32],
    pub(crate) directory: &'a PrefixDirectory,
    /// Mean service time of the pool.
    pub(crate) service_ms: f64,
    pub(crate) spread: &'a SpreadRules,
    /// Whether the pool is overrun.
    pub(crate) is_overrun: bool,
    pub(crate) key: Option<KeyHash>,
    pub(crate) draw: u64,
    pub(crate) now_ms: u64,
}

/// The work of a request at the chosen endpoint.
#[derive(Clone, Copy, Debug)]
pub(crate) struct EndpointWork {
    /// Index of the chosen candidate.
    pub(crate) index: usize,
    /// Why it replaces the placement by counts, if it does.
    pub(crate) basis: Option<WorkBasis>,
    pub(crate) prompt: PromptWork,
    /// Whether the endpoint has a free slot.
    has_free_slot: bool,
    estimate: Option<WorkEstimate>,
}

impl EndpointWork {
    /// The expected time to the first event, rounded, if it can be estimated.
    pub(crate) fn expected_ttft_ms(&self) -> Option<u64> {
        self.estimate
            .map(|estimate| estimate.expected_ttft_ms.round() as u64)
    }
}

impl Work {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Replaces a placement by counts if callers lose less elsewhere.
    pub(crate) fn place(
        &self,
        view: &WorkView<'_>,
        placed: Placement,
        candidates: &[Candidate],
    ) -> EndpointWork {
        let state = self.lock();
        let holders = view.holders_by_part();
        let at = |index: usize| {
            let candidate = &candidates[index];
            let work = view.prompt_work(&state.ledger, &holders, candidate);
            EndpointWork {
                index,
                basis: None,
                prompt: work,
                // In an overrun, the time to the first event shows the queue that other hosts
                // made meanwhile, not the endpoint's speed.
                has_free_slot: !view.is_overrun && candidate.load < candidate.slots,
                estimate: view.estimate(&state.ledger, candidate, &work),
            }
        };
        let current = at(placed.index);
        let objective_ms = view.prompt.objective_ms;
        let Some(estimate) = current.estimate else {
            return current;
        };
        if !view.is_overrun && estimate.is_in_time(objective_ms) {
            return current;
        }
        let estimates = (0..candidates.len()).map(|i| at(i).estimate);
        let Some(estimates) = estimates.collect::<Option<Vec<WorkEstimate>>>() else {
            return current;
        };
        let request = WorkRequest {
            key: view.key,
            objective_ms,
            rank: view.prompt.rank,
            draw: view.draw,
        };
        let chosen = if view.is_overrun {
            choose_in_overrun(placed, candidates, &estimates, &request, view.spread)
        } else {
            choose_by_work(placed, candidates, &estimates, &request, view.spread)
        };
        match chosen {
            Some(chosen) => EndpointWork {
                basis: Some(chosen.basis),
                ..at(chosen.index)
            },
            None => current,
        }
    }

    /// Records that a request is sent to an endpoint; `None` if its work is unknown.
    pub(crate) fn begin(
        &self,
        pool: &PoolId,
        choice: &SelectedEndpoint,
        now_ms: u64,
    ) -> Option<ReadGuard> {
        let chosen = choice.work?;
        let read = PromptRead {
            pool: pool.clone(),
            endpoint: choice.member.hash.short(),
            work: chosen.prompt,
            has_free_slot: chosen.has_free_slot,
            sent_at_ms: now_ms,
        };
        Some(ReadGuard {
            id: self.lock().ledger.begin(read),
            work: self.clone(),
        })
    }

    pub(crate) fn record_event_interval(
        &self,
        pool: &PoolId,
        endpoint: u32,
        interval: Duration,
        now_ms: u64,
    ) {
        let mut state = self.lock();
        let ledger = &mut state.ledger;
        ledger.record_event_interval(pool, endpoint, to_ms(interval), now_ms);
    }

    /// Records the load that an endpoint reports in an answer.
    pub(crate) fn record_load(&self, endpoint: u32, load: &EndpointLoad, now_ms: u64) {
        let mut state = self.lock();
        state.reported_waiting = load.waiting;
        if let Some(permille) = load.slowness_permille {
            let ledger = &mut state.ledger;
            ledger.record_reported_slowness(endpoint, permille, now_ms);
        }
    }

    /// Median time that endpoints of a pool need for the prompts in hand.
    pub(crate) fn expected_wait_ms(
        &self,
        pool: &PoolId,
        endpoints: impl Iterator<Item = u32>,
        now_ms: u64,
    ) -> f64 {
        self.lock().ledger.expected_wait_ms(pool, endpoints, now_ms)
    }

    /// The report for other hosts, if there is anything to report.
    pub(crate) fn take_report(
        &self,
        incarnation: u64,
        sequence: u64,
        now_ms: u64,
    ) -> Option<WorkReport> {
        let mut state = self.lock();
        let State { ledger, listed, .. } = &mut *state;
        ledger.expire(|endpoint| listed.contains(&endpoint), now_ms);
        ledger.take_report(incarnation, sequence, now_ms)
    }

    /// Merges the report of another host.
    pub(crate) fn merge(&self, host: SocketAddr, report: &WorkReport, now_ms: u64) {
        let mut state = self.lock();
        let State { ledger, listed, .. } = &mut *state;
        let is_listed = |endpoint: u32| listed.contains(&endpoint);
        ledger.merge(host, report, is_listed, now_ms);
    }

    /// Keeps the state of these endpoints only.
    pub(crate) fn retain_listed(&self, listed: HashSet<u32>) {
        self.lock().listed = listed;
    }

    /// The endpoints that became lastingly slow or usual again since the last call.
    pub(crate) fn take_slowness_changes(&self, now_ms: u64) -> Vec<SlownessChange> {
        self.lock().ledger.take_slowness_changes(now_ms)
    }

    pub(crate) fn set_gauges(&self, metrics: &Metrics, now_ms: u64) {
        let state = self.lock();
        let tokens = state.ledger.local_outstanding_tokens();
        metrics.gauge("prompt_tokens_outstanding", "", tokens as f64);
        let slowest = state.ledger.largest_slowness(now_ms);
        metrics.gauge("endpoint_slowness_max", "", slowest);
        let slow = state.ledger.slow_count();
        metrics.gauge("endpoints_slow", "", slow as f64);
        let waiting = state.reported_waiting;
        metrics.gauge("endpoint_waiting_reported", "", f64::from(waiting));
    }
}

/// Counts a prompt as unread until its first event, or until dropped.
#[derive(Debug)]
pub(crate) struct ReadGuard {
    work: Work,
    id: ReadId,
}

impl ReadGuard {
    /// Records the time from the send to the first event.
    pub(crate) fn record_first_event(self, delay: Duration, now_ms: u64) {
        let mut state = self.work.lock();
        let ledger = &mut state.ledger;
        ledger.record_first_event(self.id, to_ms(delay), now_ms);
    }
}

impl Drop for ReadGuard {
    fn drop(&mut self) {
        self.work.lock().ledger.end(self.id);
    }
}

/// A duration in milliseconds, including fractions.
fn to_ms(duration: Duration) -> f64 {
    const MS_PER_S: f64 = 1_000.0;
    duration.as_secs_f64() * MS_PER_S
}
