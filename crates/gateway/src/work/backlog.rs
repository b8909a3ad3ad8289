//! Admission to overrun pools: whether a request is sent, held on this host or rejected.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use chalkrock_core::{OrganisationId, PoolId, Reason, RequestId};
use chalkrock_process::Metrics;
use chalkrock_routing::{
    BacklogDecision, BacklogRequest, LineTicket, OrganisationShare, Overrun, PoolBacklog, WaitLine,
    WaitOrder, admit_fraction, decide, over_share_return_ms, return_ms,
};
use serde::Serialize;

use crate::edge::Refusal;
use crate::event_log::Event;
use crate::shared::Shared;

/// How often a held request asks again. Sums of other hosts change every 200 ms, this host's
/// own requests at any time.
const HOLD_STEP: Duration = Duration::from_millis(20);

/// Overruns of pools, as this host observes them.
#[derive(Debug, Default)]
pub(crate) struct Backlogs {
    pools: HashMap<PoolId, PoolState>,
}

#[derive(Debug, Default)]
struct PoolState {
    overrun: Overrun,
    line: WaitLine,
    /// Whether the pool was overrun when it was last logged.
    was_overrun: bool,
}

impl Backlogs {
    /// Whether a pool was overrun at the last update.
    pub(crate) fn is_overrun(&self, pool: &PoolId, now_ms: u64) -> bool {
        let state = self.pools.get(pool);
        state.is_some_and(|state| state.overrun.is_overrun(now_ms))
    }

    /// Takes the present backlog of a pool into account and fills in its trend. Returns whether
    /// the pool is overrun, and whether that changed.
    pub(crate) fn update(
        &mut self,
        pool: &PoolId,
        backlog: &mut PoolBacklog,
        now_ms: u64,
    ) -> (bool, bool) {
        if !self.pools.contains_key(pool) {
            self.pools.insert(pool.clone(), PoolState::default());
        }
        let Some(state) = self.pools.get_mut(pool) else {
            return (false, false);
        };
        let is_overrun = state.overrun.update(backlog, now_ms);
        let has_changed = is_overrun != state.was_overrun;
        state.was_overrun = is_overrun;
        (is_overrun, has_changed)
    }

    pub(crate) fn set_gauges(&self, metrics: &Metrics, now_ms: u64) {
        for (pool, state) in &self.pools {
            let labels = format!("pool=\"{pool}\"");
            let is_overrun = state.overrun.is_overrun(now_ms);
            metrics.gauge("pool_overrun", &labels, f64::from(u8::from(is_overrun)));
            metrics.gauge("backlog_held", &labels, state.line.len() as f64);
        }
    }
}

/// What becomes of a request to an overrun pool, as logged.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum BacklogOutcome {
    Sent,
    Held,
    Rejected,
}

/// The log record of a decision.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct BacklogRecord<'a> {
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) id: Option<&'a RequestId>,
    pub(crate) pool: &'a PoolId,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) organisation: Option<&'a OrganisationId>,
    pub(crate) outcome: BacklogOutcome,
    pub(crate) rank: u8,
    pub(crate) in_progress: u32,
    pub(crate) slots: u32,
    /// Use of the slots to expect when what is sent now shows in the sums.
    pub(crate) expected_utilisation: f64,
    pub(crate) full_endpoints: u32,
    /// Typical age of other hosts' counts.
    pub(crate) age_ms: u64,
    pub(crate) admit_fraction: f64,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) demand_ratio: Option<f64>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) expected_ttft_ms: Option<u64>,
    pub(crate) waited_ms: u64,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) retry_after_ms: Option<u64>,
}

/// A request to an overrun pool and what is known of the pool.
pub(crate) struct BacklogQuestion<'a> {
    pub(crate) id: Option<&'a RequestId>,
    pub(crate) pool: &'a PoolId,
    pub(crate) organisation: Option<&'a OrganisationId>,
    pub(crate) backlog: PoolBacklog,
    pub(crate) request: BacklogRequest,
    pub(crate) share: Option<OrganisationShare>,
}

impl BacklogQuestion<'_> {
    /// What becomes of the request.
    pub(crate) fn decide(&self) -> BacklogDecision {
        decide(&self.backlog, &self.request, self.share.as_ref())
    }

    /// Logs and counts that the request is sent.
    pub(crate) fn record_sent(&self, shared: &Shared) {
        self.record(shared, BacklogOutcome::Sent, None);
    }

    /// Logs and counts that the request is held.
    pub(crate) fn record_held(&self, shared: &Shared) {
        self.record(shared, BacklogOutcome::Held, None);
    }

    /// Logs and counts that the request is rejected, and returns its refusal.
    pub(crate) fn reject(&self, shared: &Shared) -> Refusal {
        let over = self.share.filter(OrganisationShare::is_over);
        let over_ms = over.map(|share| over_share_return_ms(&share, self.request.return_draw));
        let retry_after_ms = return_ms(&self.backlog, &self.request).max(over_ms.unwrap_or(0));
        self.record(shared, BacklogOutcome::Rejected, Some(retry_after_ms));
        let reason = if over.is_some() {
            Reason::OverShare
        } else {
            Reason::AtBound
        };
        let detail = format!(
            "the pool is overrun: {} requests in progress on {} slots; waited {} ms",
            self.backlog.in_progress, self.backlog.slots, self.request.waited_ms
        );
        Refusal {
            retry_after_ms: Some(retry_after_ms),
            ..Refusal::new(reason, detail)
        }
    }

    fn record(&self, shared: &Shared, outcome: BacklogOutcome, retry_after_ms: Option<u64>) {
        let labels = format!("pool=\"{}\",rank=\"{}\"", self.pool, self.request.rank);
        let metric = match outcome {
            BacklogOutcome::Sent => "backlog_sent_total",
            BacklogOutcome::Held => "backlog_held_total",
            BacklogOutcome::Rejected => "backlog_rejected_total",
        };
        shared.metrics.count(metric, &labels, 1);
        let share = self.share.as_ref();
        shared.event_log.emit(&Event::Backlog(&BacklogRecord {
            id: self.id,
            pool: self.pool,
            organisation: self.organisation,
            outcome,
            rank: self.request.rank,
            in_progress: self.backlog.in_progress,
            slots: self.backlog.slots,
            expected_utilisation: self.backlog.expected_utilisation(),
            full_endpoints: self.backlog.full_endpoints,
            age_ms: self.backlog.age_ms as u64,
            admit_fraction: admit_fraction(&self.backlog, self.request.rank, share),
            demand_ratio: share.map(|share| share.demand_ratio),
            expected_ttft_ms: self.request.expected_ttft_ms.map(|ms| ms as u64),
            waited_ms: self.request.waited_ms,
            retry_after_ms,
        }));
    }
}

/// The place of a held request among those of its pool; given up when dropped.
pub(crate) struct HeldPlace {
    shared: Arc<Shared>,
    pool: PoolId,
    ticket: LineTicket,
}

impl HeldPlace {
    /// Takes a place; `None` if this host holds too many requests.
    pub(crate) fn enter(shared: &Arc<Shared>, pool: &PoolId, order: WaitOrder) -> Option<Self> {
        let mut fleet = shared.fleet();
        let ticket = fleet.backlogs.pools.get_mut(pool)?.line.enter(order)?;
        drop(fleet);
        Some(Self {
            shared: shared.clone(),
            pool: pool.clone(),
            ticket,
        })
    }

    /// Waits for a step. Returns whether no other request is before this one.
    pub(crate) async fn wait_step(&self) -> bool {
        tokio::time::sleep(HOLD_STEP).await;
        let fleet = self.shared.fleet();
        let state = fleet.backlogs.pools.get(&self.pool);
        state.is_some_and(|state| state.line.is_first(&self.ticket))
    }
}

impl Drop for HeldPlace {
    fn drop(&mut self) {
        let mut fleet = self.shared.fleet();
        if let Some(state) = fleet.backlogs.pools.get_mut(&self.pool) {
            state.line.leave(&self.ticket);
        }
    }
}
