//! Tracks the attempts of one request and decides what may follow.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use chalkrock_core::rendezvous::MemberHash;
use chalkrock_core::{Endpoint, OrganisationId, Outcome, Reason};
use chalkrock_routing::{
    AdmissionRequest, AttemptOutcome, BacklogDecision, BacklogRequest, BuildRequest, BuildUse,
    HealthSignal, Next, ObservationTime, ObservedResponse, OrganisationShare, Repeatable,
    RouteKind, WaitOrder, admit_probability, fair_admit_probability, next_step,
    over_share_return_ms,
};
use rand::RngExt;
use tokio::time::Instant;

use crate::access_log::record_disconnect;
use crate::call::Call;
use crate::edge::{AnswerHead, Refusal, RequestedBackoff};
use crate::endpoint_connections::ConnectError;
use crate::event_log::{AttemptRecord, Event};
use crate::fair_share::{RequestKind, RequestWork};
use crate::fleet::{EndpointQuery, Fleet, SelectedEndpoint};
use crate::forward::{ForwardHead, Forwarding, Path, UsedEndpoint};
use crate::poison::BrokenAttempt;
use crate::pool_queue::{Lease, NewRequest};
use crate::shared::{OrganisationGuard, Shared};
use crate::work::{BacklogQuestion, HeldPlace, Prompt, ReadGuard};

/// Endpoints that a scheduler considers as tried. A request that tried as many is placed by
/// its host.
const MAX_TRIED_IN_ASK: usize = 8;
/// Time for an exchange with a scheduler.
const MIN_SLOT_WAIT_MS: u64 = 30;

/// The attempts of one request.
pub(crate) struct Progress {
    shared: Arc<Shared>,
    call: Arc<Call>,
    /// Short hashes of the endpoints tried so far.
    tried: Vec<u32>,
    /// Attempts whose request reached the endpoint.
    delivered_attempts: u32,
    /// The worst outcome that the attempts may have had.
    worst_outcome: Outcome,
    attempts: Vec<AttemptRecord>,
    /// Counts the request towards its organisation's share.
    _organisation_guard: Option<OrganisationGuard>,
    /// Counts its work towards its organisation's share of the pool.
    work: Option<Arc<RequestWork>>,
    /// Start of the last attempt, on the shared clock.
    sent_at_ms: u64,
    /// For how long this host had stalled at that time.
    stalled_at_send_ms: u64,
    /// Whether the endpoint was cold at that time, with or without a limit of its rate.
    was_cold: bool,
    /// Endpoint of the last attempt.
    last_endpoint: Option<Arc<Endpoint>>,
    /// Builds that the current attempt may use.
    uses: &'static [BuildUse],
    /// A granted slot that the request did not use.
    unused_lease: Option<Lease>,
    /// The prompt of the current attempt, until its first event.
    reading: Option<ReadGuard>,
    /// Whether the current attempt goes through another host, which records what it observes
    /// of the endpoint.
    is_forwarded: bool,
    /// Next hops that did not take the request.
    forwarding: Forwarding,
    /// Endpoints that were not reached before another host was known to reach them.
    unreached: Vec<u32>,
    /// Whether the request was logged as completed.
    is_logged: bool,
}

/// How the scheduler of its pool granted an attempt its slot.
#[derive(Clone, Copy, Debug)]
pub(crate) struct GrantRecord {
    /// How long the request waited for it.
    pub(crate) waited_ms: u64,
    /// Incarnation of the scheduler.
    pub(crate) epoch: u64,
}

impl Progress {
    /// Tracks a new request. The retry budget counts it once, however often it is sent.
    pub(crate) fn new(shared: Arc<Shared>, call: Arc<Call>) -> Self {
        let now_ms = shared.clock.now_ms();
        shared.fleet().budget(&call.pool).record_request(now_ms);
        let organisation = call.organisation();
        let guard = organisation.map(|name| OrganisationGuard::begin(&shared, name));
        let mut progress = Self::without_counts(shared, call);
        progress._organisation_guard = guard;
        progress
    }

    /// Tracks the attempt that this host makes for another one. That host counts the request
    /// against the retry budget and its organisation's share.
    pub(crate) fn forwarded(shared: Arc<Shared>, call: Arc<Call>, head: &ForwardHead) -> Self {
        let mut progress = Self::without_counts(shared, call);
        progress.tried.clone_from(&head.tried);
        progress.delivered_attempts = head.delivered_attempts;
        progress
    }

    fn without_counts(shared: Arc<Shared>, call: Arc<Call>) -> Self {
        Self {
            _organisation_guard: None,
            sent_at_ms: shared.clock.now_ms(),
            shared,
            call,
            tried: Vec::new(),
            delivered_attempts: 0,
            worst_outcome: Outcome::NotRun,
            attempts: Vec::new(),
            work: None,
            stalled_at_send_ms: 0,
            was_cold: false,
            last_endpoint: None,
            uses: &[BuildUse::Any],
            unused_lease: None,
            reading: None,
            is_forwarded: false,
            forwarding: Forwarding::default(),
            unreached: Vec::new(),
            is_logged: false,
        }
    }

    pub(crate) fn call(&self) -> &Arc<Call> {
        &self.call
    }

    /// Its work, once admitted.
    pub(crate) fn work(&self) -> Option<Arc<RequestWork>> {
        self.work.clone()
    }

    /// Refuses a request that was not sent yet if its pool is too full to meet the
    /// objective.
    ///
    /// In an overrun pool whose requests say what there is to read, outstanding work decides,
    /// and a request may be held on this host for a part of its objective.
    pub(crate) async fn admit(&mut self) -> Result<(), Refusal> {
        if !self.tried.is_empty() {
            // Its endpoint failed or crashed: it comes before new requests.
            return Ok(());
        }
        if !self.is_pool_overrun() {
            return self.admit_by_slots();
        }
        let admitted = self.admit_by_backlog().await;
        let now_ms = self.shared.clock.now_ms();
        self.work = RequestWork::record(&self.shared, &self.call, admitted.is_ok(), now_ms);
        admitted
    }

    /// Whether the request's pool is overrun and the request says what there is to read.
    fn is_pool_overrun(&self) -> bool {
        let pool = &self.call.pool;
        if Prompt::of(&self.call).is_none() {
            return false;
        }
        let now_ms = self.shared.clock.now_ms();
        let mut fleet = self.shared.fleet();
        let mut backlog = fleet.backlog(pool, now_ms);
        let (is_overrun, has_changed) = fleet.backlogs.update(pool, &mut backlog, now_ms);
        drop(fleet);
        if has_changed {
            self.shared.event_log.emit(&Event::PoolOverrun {
                pool,
                is_overrun,
                in_progress: backlog.in_progress,
                slots: backlog.slots,
                endpoints: backlog.endpoints,
                full_endpoints: backlog.full_endpoints,
                age_ms: backlog.age_ms as u64,
            });
        }
        is_overrun
    }

    /// Sends, holds or rejects a request to an overrun pool.
    async fn admit_by_backlog(&self) -> Result<(), Refusal> {
        let draws = (rand::random(), rand::random());
        let mut held: Option<(HeldPlace, u64)> = None;
        loop {
            let now_ms = self.shared.clock.now_ms();
            let question = self.backlog_question(draws, now_ms);
            let max_ms = match question.decide() {
                BacklogDecision::Send => {
                    question.record_sent(&self.shared);
                    return Ok(());
                }
                BacklogDecision::Reject => return Err(question.reject(&self.shared)),
                BacklogDecision::Hold { max_ms } => max_ms,
            };
            let (place, until_ms) = match held.take() {
                Some(held) => held,
                None => {
                    let order = WaitOrder {
                        rank: self.call.priority(),
                        entered_at_ms: now_ms,
                    };
                    let place = HeldPlace::enter(&self.shared, &self.call.pool, order);
                    let Some(place) = place else {
                        return Err(question.reject(&self.shared));
                    };
                    question.record_held(&self.shared);
                    (place, now_ms + max_ms)
                }
            };
            while !place.wait_step().await && self.shared.clock.now_ms() < until_ms {}
            held = Some((place, until_ms));
        }
    }

    fn backlog_question(&self, draws: (f64, f64), now_ms: u64) -> BacklogQuestion<'_> {
        let (draw, return_draw) = draws;
        let pool = &self.call.pool;
        let mut fleet = self.shared.fleet();
        let mut backlog = fleet.backlog(pool, now_ms);
        fleet.backlogs.update(pool, &mut backlog, now_ms);
        let kind = RequestKind::of(&self.call);
        let occupancy = backlog.occupancy();
        let share = fleet.usage.share(&kind, &occupancy, now_ms);
        let best = fleet.place(&self.endpoint_query(), now_ms);
        let expected = best.and_then(|best| best.work?.expected_ttft_ms());
        BacklogQuestion {
            id: self.call.head.id.as_ref(),
            pool,
            organisation: self.call.organisation(),
            backlog,
            request: BacklogRequest {
                rank: self.call.priority(),
                objective_ms: self.call.route.objective_ms,
                waited_ms: self.call.entered_at.elapsed().as_millis() as u64,
                expected_ttft_ms: expected.map(|expected_ms| expected_ms as f64),
                is_repeated: !self.tried.is_empty(),
                draw,
                return_draw,
            },
            share,
        }
    }

    fn admit_by_slots(&mut self) -> Result<(), Refusal> {
        let organisation = self.call.organisation();
        let now_ms = self.shared.clock.now_ms();
        let mut fleet = self.shared.fleet();
        let occupancy = fleet.occupancy(&self.call.pool, now_ms);
        let kind = RequestKind::of(&self.call);
        let share = fleet.usage.share(&kind, &occupancy, now_ms);
        let request = AdmissionRequest {
            rank: self.call.priority(),
            objective_ms: self.call.admission_objective_ms,
            is_over_share: match share {
                Some(share) => share.is_over(),
                None => organisation.is_some_and(|name| fleet.shares.is_over(name)),
            },
        };
        let probability = match share {
            Some(share) => fair_admit_probability(&occupancy, &request, &share),
            None => admit_probability(&occupancy, &request),
        };
        let is_admitted = rand::random::<f64>() < probability;
        let over = share.filter(OrganisationShare::is_over).zip(organisation);
        let new_over = over.filter(|(share, name)| {
            let usage = &mut fleet.usage;
            usage.track_over_share(&self.call.pool, name, *share, now_ms)
        });
        drop(fleet);
        if let Some((share, name)) = new_over {
            self.log_over_share(name, &share);
        }
        self.work = RequestWork::record(&self.shared, &self.call, is_admitted, now_ms);
        if is_admitted {
            return Ok(());
        }
        let detail = format!(
            "{} requests in progress on {} slots, {:.0} ms each; expected wait {:.0} ms",
            occupancy.in_progress,
            occupancy.slots,
            occupancy.service_ms,
            occupancy.wait_ms()
        );
        let reason = if request.is_over_share {
            Reason::OverShare
        } else {
            Reason::AtBound
        };
        let refusal = Refusal::new(reason, detail);
        let Some(share) = share.filter(OrganisationShare::is_over) else {
            return Err(refusal);
        };
        Err(Refusal {
            retry_after_ms: Some(over_share_return_ms(&share, rand::random())),
            ..refusal
        })
    }

    fn log_over_share(&self, organisation: &OrganisationId, share: &OrganisationShare) {
        self.shared.event_log.emit(&Event::OverShare {
            pool: &self.call.pool,
            organisation,
            is_over: true,
            demand_ratio: share.demand_ratio,
            use_ratio: share.use_ratio,
        });
    }

    /// Refuses a poison request. The refusal reports it as not run only if it was
    /// not sent before.
    pub(crate) fn check_poison(&self) -> Result<(), Refusal> {
        let poison = self.shared.refuse_poison(self.call.fingerprint);
        poison.map_err(|refusal| match self.worst_outcome {
            Outcome::NotRun => refusal,
            Outcome::Ran | Outcome::Unknown => Refusal::new(Reason::EndpointLost, refusal.detail),
        })
    }

    /// Chooses the endpoint for the next attempt among those not tried yet.
    pub(crate) fn choose_endpoint(&mut self) -> Option<SelectedEndpoint> {
        let shared = self.shared.clone();
        let now_ms = shared.clock.now_ms();
        let mut fleet = shared.fleet();
        let is_first = self.tried.is_empty() && self.call.head.resume_after.is_none();
        let request = BuildRequest {
            pool: &self.call.pool,
            route: &self.call.route.name,
            is_first,
            hosts: host_count(&fleet, now_ms),
        };
        self.uses = fleet.rollouts.build_uses(&request, now_ms);
        drop(fleet);
        self.place()
    }

    /// Places the next attempt at an endpoint of the builds that it may use.
    fn place(&mut self) -> Option<SelectedEndpoint> {
        let shared = self.shared.clone();
        let now_ms = shared.clock.now_ms();
        let mut fleet = shared.fleet();
        if !self.call.shared_parts.is_empty() {
            fleet.update_home_demand(&self.call.pool, now_ms);
        }
        let choice = fleet.place(&self.endpoint_query(), now_ms)?;
        if let Some(&part) = self.call.shared_parts.last() {
            fleet.recent_prefixes.record(part, now_ms);
        }
        let start = choice.member.hash.short();
        fleet.cold.record_sent(start, now_ms);
        fleet.backoffs.record_sent(start, now_ms);
        Some(choice)
    }

    /// Waits for a free slot if the request's endpoints tolerate few rejections, for a part of
    /// its objective.
    pub(crate) async fn wait_for_room(&mut self) -> Option<SelectedEndpoint> {
        const MAX_WAIT_DIVISOR: u32 = 4;
        let now_ms = self.shared.clock.now_ms();
        let objective = Duration::from_millis(self.call.route.objective_ms);
        let until = self.call.entered_at + objective / MAX_WAIT_DIVISOR;
        let until = until.min(self.call.deadline());
        if Instant::now() >= until || !self.shared.fleet().is_brittle(&self.call.pool, now_ms) {
            return None;
        }
        let order = WaitOrder {
            rank: self.call.priority(),
            entered_at_ms: now_ms,
        };
        let place = self.shared.room_lines.enter(&self.call.pool, order)?;
        while Instant::now() < until {
            if place.wait_step().await
                && let Some(choice) = self.place()
            {
                return Some(choice);
            }
        }
        None
    }

    /// Keeps a granted slot that the request did not use until it waits again.
    pub(crate) fn keep_unused_lease(&mut self, lease: Option<Lease>) {
        self.unused_lease = lease;
    }

    /// Gives back a slot that was granted and not used.
    pub(crate) fn give_back_lease(&mut self) {
        self.unused_lease = None;
    }

    /// Whether the request may wait for a slot that any endpoint of the pool provides.
    /// Requests with a prompt prefix are placed by where it is held, and a stream that is
    /// resumed does not wait.
    pub(crate) fn may_queue(&self) -> bool {
        let is_stream = matches!(self.call.route.kind, RouteKind::Stream { .. });
        let is_resumed = self.call.head.resume_after.is_some()
            || is_stream && self.worst_outcome != Outcome::NotRun;
        let is_listed = self.tried.len() < MAX_TRIED_IN_ASK;
        self.call.shared_parts.is_empty() && !is_resumed && is_listed
    }

    /// The request as it waits for a slot of a contended pool. It must not be granted
    /// `unusable` endpoints.
    pub(crate) fn slot_request(&mut self, unusable: &[u32], now_ms: u64) -> NewRequest {
        let work_ms = self.shared.fleet().expected_service_ms(&self.call.pool);
        let work_ms = work_ms.clamp(0.0, f64::from(u32::MAX)) as u32;
        let organisation = self.call.organisation();
        NewRequest {
            rank: self.call.priority(),
            organisation: organisation.map_or(0, short_organisation_hash),
            start_by_ms: self.latest_start_ms(u64::from(work_ms), now_ms),
            work_ms,
            fingerprint: self.call.fingerprint.0,
            tried: [&self.tried, unusable].concat(),
            unused: self.unused_lease.take(),
            is_first: self.tried.is_empty() && unusable.is_empty(),
            draw: rand::random(),
            spread_draw: rand::random(),
        }
    }

    /// The latest start by which the request meets its objective or, once it can't, its
    /// deadline.
    fn latest_start_ms(&self, work_ms: u64, now_ms: u64) -> u64 {
        let objective_ms = self.call.route.objective_ms;
        let max_wait_ms = match self.call.route.kind {
            // The objective is for the first byte, the service time for the last.
            RouteKind::Stream { .. } => objective_ms / 2,
            // Most requests take less than twice the mean.
            RouteKind::Safe | RouteKind::Unsafe => objective_ms
                .saturating_sub(2 * work_ms)
                .max(objective_ms / 4),
        };
        let waited_ms = self.call.entered_at.elapsed().as_millis() as u64;
        let remaining_ms = self.call.remaining_ms().saturating_sub(work_ms);
        let left_ms = if self.worst_outcome == Outcome::NotRun {
            // One that is late already asks once: a free slot may still serve it.
            max_wait_ms.saturating_sub(waited_ms).max(MIN_SLOT_WAIT_MS)
        } else {
            // It has been sent, so that its caller waits for it until its deadline.
            remaining_ms
        };
        now_ms + left_ms.min(remaining_ms)
    }

    /// Selects the endpoint that the pool's scheduler granted, if this host may use it.
    pub(crate) fn accept_grant(&mut self, endpoint: u32) -> Option<SelectedEndpoint> {
        let shared = self.shared.clone();
        let now_ms = shared.clock.now_ms();
        let mut fleet = shared.fleet();
        self.uses = fleet.scheduled_uses(&self.call.pool);
        let choice = fleet.place_granted(&self.endpoint_query(), endpoint, now_ms)?;
        fleet.cold.record_sent(endpoint, now_ms);
        fleet.backoffs.record_sent(endpoint, now_ms);
        Some(choice)
    }

    /// The refusal of a request that gets no slot in time.
    pub(crate) fn slot_refusal(
        &self,
        reason: Reason,
        retry_after_ms: Option<u64>,
        detail: String,
    ) -> Refusal {
        match self.worst_outcome {
            Outcome::NotRun => {
                let refusal = Refusal::new(reason, detail);
                Refusal {
                    retry_after_ms: retry_after_ms.or(refusal.retry_after_ms),
                    ..refusal
                }
            }
            Outcome::Ran | Outcome::Unknown => Refusal::new(Reason::EndpointLost, detail),
        }
    }

    /// Chooses an endpoint for a request that another host has placed at one that is not
    /// usable here. Endpoints of a build that is rolled out are left to that host.
    pub(crate) fn choose_stable_endpoint(&mut self) -> Option<SelectedEndpoint> {
        let shared = self.shared.clone();
        let now_ms = shared.clock.now_ms();
        let mut fleet = shared.fleet();
        self.uses = fleet.scheduled_uses(&self.call.pool);
        let choice = fleet.place(&self.endpoint_query(), now_ms)?;
        let start = choice.member.hash.short();
        fleet.cold.record_sent(start, now_ms);
        fleet.backoffs.record_sent(start, now_ms);
        Some(choice)
    }

    /// Selects the endpoint that the origin of a forwarded request chose, if this host may use
    /// it. With a granted slot, only the scheduler's count of the endpoint's load matters.
    pub(crate) fn accept_chosen(
        &mut self,
        endpoint: u32,
        is_granted: bool,
    ) -> Option<SelectedEndpoint> {
        let choice = self.accept_grant(endpoint)?;
        let now_ms = self.shared.clock.now_ms();
        let fleet = self.shared.fleet();
        let query = self.endpoint_query();
        (is_granted || fleet.accepts_forwarded(&query, &choice, now_ms)).then_some(choice)
    }

    /// Excludes endpoints from the next attempts.
    pub(crate) fn exclude(&mut self, endpoints: &[u32]) {
        self.tried.extend_from_slice(endpoints);
    }

    /// The path to a chosen endpoint.
    pub(crate) fn path_to(&self, choice: &SelectedEndpoint) -> Path {
        self.forwarding.path_to(&self.shared, choice)
    }

    /// Whether another host reaches endpoints that this one failed to connect to before it
    /// knew that. If so, they may be chosen again. Asked once per request, since all of them
    /// may have failed within milliseconds of a partition's begin.
    pub(crate) async fn reconsider_unreached_endpoints(&mut self) -> bool {
        let unreached = std::mem::take(&mut self.unreached);
        if unreached.is_empty() || !self.shared.is_any_reached_by_others(&unreached).await {
            return false;
        }
        self.tried.retain(|start| !unreached.contains(start));
        true
    }

    /// Records that a next hop did not take the request.
    pub(crate) fn record_next_hop_refusal(&mut self, address: SocketAddr) {
        self.forwarding.record_refusal(address);
    }

    /// Records the endpoint to which the next hop sent the request, which may differ from
    /// the chosen one.
    pub(crate) fn set_used_endpoint(&mut self, used: &UsedEndpoint) {
        if let Some(last) = self.tried.last_mut() {
            *last = used.start;
        }
        if let Some(record) = self.attempts.last_mut() {
            record.endpoint = used.name.clone();
        }
    }

    /// The endpoint of the current attempt, by the hash of its start.
    pub(crate) fn last_tried(&self) -> u32 {
        self.tried.last().copied().unwrap_or_default()
    }

    /// The endpoints of the attempts before the current one.
    pub(crate) fn tried_before(&self) -> &[u32] {
        self.tried.split_last().map_or(&[], |(_, before)| before)
    }

    /// The number of attempts whose request reached an endpoint.
    pub(crate) fn delivered_attempts(&self) -> u32 {
        self.delivered_attempts
    }

    fn endpoint_query(&self) -> EndpointQuery<'_> {
        EndpointQuery {
            pool: &self.call.pool,
            shared_parts: &self.call.shared_parts,
            prompt: Prompt::of(&self.call),
            tried: &self.tried,
            repeatable: self.call.repeatable(),
            has_attempt_left: self.has_attempt_left(),
            uses: self.uses,
            draw: self.call.draw,
        }
    }

    /// Whether another attempt is allowed after the current or upcoming one.
    fn has_attempt_left(&self) -> bool {
        self.delivered_attempts + 1 < self.call.route.attempts_max
    }

    /// Records the start of an attempt, how its slot was granted, if it was, and the host
    /// through which it is forwarded, if it is.
    pub(crate) fn begin(
        &mut self,
        choice: &SelectedEndpoint,
        granted: Option<GrantRecord>,
        next_hop: Option<SocketAddr>,
    ) {
        self.is_forwarded = next_hop.is_some();
        self.sent_at_ms = self.shared.clock.now_ms();
        self.stalled_at_send_ms = self.shared.lag.stalled_ms();
        self.tried.push(choice.member.hash.short());
        self.last_endpoint = Some(choice.member.endpoint.clone());
        let fleet = self.shared.fleet();
        let start = choice.member.hash.short();
        self.was_cold = fleet.cold.is_cold(start, self.sent_at_ms);
        self.reading = if self.is_forwarded {
            None
        } else {
            fleet.work.begin(&self.call.pool, choice, self.sent_at_ms)
        };
        drop(fleet);
        self.attempts.push(AttemptRecord {
            endpoint: choice.member.endpoint.name.clone(),
            load: choice.load,
            basis: choice.basis,
            work_basis: choice.work.and_then(|work| work.basis),
            expected_ttft_ms: choice.work.and_then(|work| work.expected_ttft_ms()),
            read_tokens: choice.work.map(|work| work.prompt.read_tokens),
            copied_tokens: choice.work.map(|work| work.prompt.copied_tokens),
            ttft_ms: None,
            longest_pause_ms: None,
            holds_prefix: choice.holds_prefix,
            is_cold: choice.is_cold,
            copy_from: choice.holder,
            next_hop,
            waited_ms: granted.map(|granted| granted.waited_ms),
            scheduler_epoch: granted.map(|granted| granted.epoch),
            at_ms: self.call.entered_at.elapsed().as_millis() as u64,
            says_leaving: false,
            backoff_ms: None,
            end: None,
            connect_error: None,
        });
    }

    /// Records why the last attempt got no connection.
    pub(crate) fn record_connect_error(&mut self, error: ConnectError) {
        if let Some(record) = self.attempts.last_mut() {
            record.connect_error = Some(error);
        }
    }

    /// Records the endpoint state that the last attempt's response head reports.
    pub(crate) fn record_head(&mut self, answer: &AnswerHead) {
        let Some(record) = self.attempts.last_mut() else {
            return;
        };
        record.says_leaving = answer.is_leaving;
        if let RequestedBackoff::ForMs(backoff_ms) = answer.backoff {
            record.backoff_ms = Some(backoff_ms);
        }
    }

    /// Records that the last attempt failed before or during its response, and returns
    /// the next step.
    pub(crate) async fn end_attempt(&mut self, broken: BrokenAttempt) -> Next {
        let end = broken.end;
        self.record_failed_attempt(broken).await;
        if end.counts_as_attempt() {
            self.delivered_attempts += 1;
        }
        let next = next_step(
            end,
            self.worst_outcome,
            self.call.repeatable(),
            self.delivered_attempts,
            self.call.route.attempts_max,
            || self.try_spend_retry(),
        );
        if end.outcome() != Outcome::NotRun {
            self.worst_outcome = Outcome::Unknown;
        }
        next
    }

    /// Records what an attempt that failed shows of its endpoint.
    pub(crate) async fn record_failed_attempt(&mut self, broken: BrokenAttempt) {
        let end = broken.end;
        self.reading = None;
        if let Some(record) = self.attempts.last_mut() {
            record.end = Some(end);
        }
        if end == AttemptOutcome::NotTheEndpoint {
            self.mark_endpoint_gone();
        }
        if self.is_forwarded {
            return;
        }
        let mut is_path_failure = false;
        if let Some(endpoint) = &self.last_endpoint {
            let request = self.call.fingerprint;
            is_path_failure = self
                .shared
                .record_broken_attempt(request, endpoint, broken)
                .await;
        }
        if matches!(end, AttemptOutcome::NotSent | AttemptOutcome::Broken) {
            let now_ms = self.shared.clock.now_ms();
            let failed = self.last_tried();
            let mut fleet = self.shared.fleet();
            fleet.rejection_limits.record_failure(failed, now_ms);
        }
        self.record_health(end);
        if end == AttemptOutcome::Silent {
            self.count_silence();
        } else if end.is_build_failure() && !is_path_failure {
            self.count_response(ObservedResponse::Failed);
        }
        if end == AttemptOutcome::Refused {
            let now_ms = self.shared.clock.now_ms();
            let rejected_by = self.last_tried();
            self.shared.fleet().record_rejection(rejected_by, now_ms);
            self.shared
                .pool_queues
                .record_refusal(&self.call.pool, now_ms);
        }
    }

    /// Records the time from the send to the first byte of the response.
    pub(crate) fn record_first_byte(&mut self, first_byte_delay: Duration) {
        if let Some(reading) = self.reading.take() {
            reading.record_first_event(first_byte_delay, self.shared.clock.now_ms());
        }
        let last = self.attempts.last_mut();
        if let Some(record) = last.filter(|last| last.read_tokens.is_some()) {
            record.ttft_ms = Some(first_byte_delay.as_millis() as u64);
        }
        let holds_prefix = self.attempts.last().is_some_and(|last| last.holds_prefix);
        let has_no_prefix = self.call.shared_parts.is_empty();
        self.count_response(ObservedResponse::Began {
            first_byte_ms: to_ms(first_byte_delay),
            holds_prefix: holds_prefix || has_no_prefix,
        });
    }

    /// Records the time between two chunks of a stream.
    pub(crate) fn record_pause(&mut self, pause: Duration) {
        if let Some(record) = self.attempts.last_mut() {
            let pause_ms = pause.as_millis() as u64;
            record.longest_pause_ms = record.longest_pause_ms.max(Some(pause_ms));
        }
    }

    /// Records the mean time between some events of a stream.
    pub(crate) fn record_event_interval(&self, interval: Duration) {
        if let Some(start) = self.tried.last().filter(|_| !self.is_forwarded) {
            let now_ms = self.shared.clock.now_ms();
            let fleet = self.shared.fleet();
            let pool = &self.call.pool;
            fleet
                .work
                .record_event_interval(pool, *start, interval, now_ms);
        }
    }

    /// Records a complete response: the mean time between its events, or the duration
    /// of the whole call.
    pub(crate) fn record_response_end(&self, event_interval: Option<Duration>) {
        let pace_ms = event_interval.map(to_ms);
        self.count_response(ObservedResponse::Ended { pace_ms });
    }

    /// Counts an unanswered request as a failure of its endpoint's build, unless only this
    /// host can't reach the endpoint.
    fn count_silence(&self) {
        let Some(endpoint) = self.last_endpoint.clone() else {
            return;
        };
        if !self.shared.fleet().rollouts.counts_answers() {
            return;
        }
        let at = self.observation_time(ObservedResponse::Failed);
        let (shared, call) = (self.shared.clone(), self.call.clone());
        tokio::spawn(async move {
            if !shared.is_silent_for_this_host(&endpoint).await {
                shared.count_response(&call, &endpoint, ObservedResponse::Failed, at);
            }
        });
    }

    /// Counts the response of the last attempt for a rollout of its pool.
    fn count_response(&self, seen: ObservedResponse) {
        let Some(endpoint) = self.last_endpoint.as_ref().filter(|_| !self.is_forwarded) else {
            return;
        };
        if !self.shared.fleet().rollouts.counts_answers() {
            return;
        }
        // A cold endpoint is slow regardless of its build.
        let seen = match seen {
            ObservedResponse::Began { .. } if self.was_cold => return,
            ObservedResponse::Ended { .. } if self.was_cold => {
                ObservedResponse::Ended { pace_ms: None }
            }
            seen => seen,
        };
        let at = self.observation_time(seen);
        self.shared.count_response(&self.call, endpoint, seen, at);
    }

    fn observation_time(&self, seen: ObservedResponse) -> ObservationTime {
        ObservationTime {
            now_ms: self.shared.clock.now_ms(),
            stalled_ms: self.stalled_ms(seen),
        }
    }

    /// For how much of a measured time this host stalled, in milliseconds. A pace is measured
    /// over the whole answer, so that it gets its part of the stalls.
    fn stalled_ms(&self, seen: ObservedResponse) -> u64 {
        self.shared.detect_suspension();
        let stalled_ms = self.shared.lag.stalled_ms();
        let stalled_ms = stalled_ms.saturating_sub(self.stalled_at_send_ms);
        match seen {
            ObservedResponse::Ended {
                pace_ms: Some(pace_ms),
            } => {
                let elapsed_ms = self.shared.clock.now_ms().saturating_sub(self.sent_at_ms);
                (stalled_ms as f64 * pace_ms / elapsed_ms.max(1) as f64) as u64
            }
            _ => stalled_ms,
        }
    }

    /// Whether the request may leave a slow endpoint for another one.
    pub(crate) fn may_leave_endpoint(&self) -> bool {
        if !self.has_attempt_left() || self.call.repeatable() == Repeatable::No {
            return false;
        }
        let now_ms = self.shared.clock.now_ms();
        let mut fleet = self.shared.fleet();
        if fleet.place(&self.endpoint_query(), now_ms).is_none() {
            return false;
        }
        let hosts = host_count(&fleet, now_ms);
        fleet.budget(&self.call.pool).has_remaining(now_ms, hosts)
    }

    /// The refusal of a request without time for another attempt.
    pub(crate) fn deadline_refusal(&self) -> Refusal {
        let reason = match self.worst_outcome {
            Outcome::NotRun => Reason::DeadlineTooClose,
            Outcome::Ran | Outcome::Unknown => Reason::DeadlinePassed,
        };
        Refusal::new(reason, "no time is left before the deadline")
    }

    /// The refusal of a request without an endpoint left to try.
    pub(crate) fn no_endpoint_refusal(&self) -> Refusal {
        const DETAIL: &str = "no other endpoint accepts requests";
        match self.worst_outcome {
            Outcome::NotRun => self
                .backoff_refusal()
                .or_else(|| self.no_room_refusal())
                .unwrap_or_else(|| Refusal::new(Reason::NoEndpoint, DETAIL)),
            Outcome::Ran | Outcome::Unknown => Refusal::new(Reason::EndpointLost, DETAIL),
        }
    }

    /// The refusal after the last permitted attempt.
    pub(crate) fn final_refusal(&self, reason: Reason, detail: String) -> Refusal {
        if reason != Reason::EndpointRefused {
            return Refusal::new(reason, detail);
        }
        if let Some(refusal) = self.backoff_refusal() {
            return refusal;
        }
        // An endpoint that backs off is skipped from now on, so that a repeat can use
        // the free slots of the others at once.
        let last = self.attempts.last();
        let is_backing_off = last.is_some_and(|last| last.backoff_ms.is_some());
        if is_backing_off && self.pool_has_capacity() {
            return Refusal::with_short_retry(reason, detail);
        }
        Refusal::new(reason, detail)
    }

    fn pool_has_capacity(&self) -> bool {
        let now_ms = self.shared.clock.now_ms();
        let occupancy = self.shared.fleet().occupancy(&self.call.pool, now_ms);
        occupancy.in_progress < occupancy.slots
    }

    /// The refusal if every endpoint of the pool backs off. Callers return after the
    /// first backoff ends, with jitter against a burst of repeats.
    fn backoff_refusal(&self) -> Option<Refusal> {
        const JITTER_MS: std::ops::Range<u64> = 10..300;
        let now_ms = self.shared.clock.now_ms();
        let remaining_ms = self
            .shared
            .fleet()
            .backoff_remaining_ms(&self.call.pool, now_ms)?;
        let detail =
            format!("all endpoints back off; the first accepts requests in {remaining_ms} ms");
        Some(Refusal {
            retry_after_ms: Some(remaining_ms + rand::rng().random_range(JITTER_MS)),
            ..Refusal::new(Reason::EndpointsBackOff, detail)
        })
    }

    /// The refusal if the endpoints tolerate few rejections and have no free slot. Callers
    /// return after about a service time, with jitter against a burst of repeats.
    fn no_room_refusal(&self) -> Option<Refusal> {
        const MIN_RETURN_MS: f64 = 200.0;
        const MAX_RETURN_MS: f64 = 3_000.0;
        let now_ms = self.shared.clock.now_ms();
        let fleet = self.shared.fleet();
        if !fleet.is_brittle(&self.call.pool, now_ms) {
            return None;
        }
        let service_ms = fleet.expected_service_ms(&self.call.pool);
        drop(fleet);
        let return_ms = service_ms.clamp(MIN_RETURN_MS, MAX_RETURN_MS);
        let jitter = rand::rng().random_range(1.0..2.0);
        let detail = "no slot is free, and endpoints tolerate few rejections";
        Some(Refusal {
            retry_after_ms: Some((return_ms * jitter) as u64),
            ..Refusal::new(Reason::AtBound, detail)
        })
    }

    /// Takes the records of all attempts, for the access log. A request that is dropped
    /// before counts as left by its caller.
    pub(crate) fn take_attempts(&mut self) -> Vec<AttemptRecord> {
        self.is_logged = true;
        std::mem::take(&mut self.attempts)
    }

    /// Marks the endpoint as leaving after another one answered at its address. Its
    /// entry stays listed for some heartbeats, in which every request would try it: 3,070
    /// repeats in ten seconds, where 1,219 are allowed, after a zone of 29 endpoints restarts.
    fn mark_endpoint_gone(&self) {
        if let Some(start) = self.tried.last() {
            let id = self.call.head.id.as_ref();
            self.shared.mark_leaving(&[*start], "address", id);
        }
    }

    /// Updates the endpoint's health after a failed attempt or a long wait.
    pub(crate) fn record_health(&mut self, end: AttemptOutcome) {
        let (Some(signal), Some(&start)) = (self.health_signal(end), self.tried.last()) else {
            return;
        };
        let now_ms = self.shared.clock.now_ms();
        let mut fleet = self.shared.fleet();
        let was_unreachable = fleet.is_unreachable(start, now_ms);
        let is_new = fleet.record_signal(start, signal, now_ms);
        drop(fleet);
        match (signal, &self.last_endpoint) {
            (HealthSignal::Unreachable { .. }, _) => {
                self.unreached.push(start);
                if !was_unreachable {
                    self.shared.unreachable_found.notify_one();
                }
            }
            (HealthSignal::Silence { .. }, Some(endpoint)) if is_new => {
                self.shared.check_silent_endpoint(endpoint);
            }
            _ => {}
        }
        if let Some(record) = self.attempts.last().filter(|_| is_new) {
            self.shared.event_log.emit(&Event::Suspect {
                endpoint: &record.endpoint,
                end,
            });
        }
    }

    fn health_signal(&self, end: AttemptOutcome) -> Option<HealthSignal> {
        match end {
            AttemptOutcome::NotSent | AttemptOutcome::Broken => Some(self.connection_signal()),
            AttemptOutcome::Silent => Some(HealthSignal::Silence {
                sent_at_ms: self.sent_at_ms,
            }),
            AttemptOutcome::Failed | AttemptOutcome::Garbage => Some(HealthSignal::Failure),
            AttemptOutcome::Withdrawn
            | AttemptOutcome::Recalled
            | AttemptOutcome::Unread
            | AttemptOutcome::Refused
            | AttemptOutcome::NotTheEndpoint => None,
        }
    }

    /// The signal of a connection that failed to open or broke.
    fn connection_signal(&self) -> HealthSignal {
        let last = self.attempts.last();
        match last.and_then(|record| record.connect_error) {
            Some(ConnectError::TimedOut) => HealthSignal::Unreachable { timed_out: true },
            Some(ConnectError::Refused) => HealthSignal::Unreachable { timed_out: false },
            Some(ConnectError::Reset) | None => HealthSignal::Break,
        }
    }

    fn try_spend_retry(&self) -> bool {
        let now_ms = self.shared.clock.now_ms();
        let mut fleet = self.shared.fleet();
        let hosts = host_count(&fleet, now_ms);
        fleet.budget(&self.call.pool).try_spend(now_ms, hosts)
    }
}

impl Shared {
    /// Counts a response of an endpoint for a rollout of its pool.
    fn count_response(
        &self,
        call: &Call,
        endpoint: &Endpoint,
        seen: ObservedResponse,
        at: ObservationTime,
    ) {
        if at.stalled_ms > 0 {
            let metrics = &self.metrics;
            metrics.count("rollout_times_stalled_total", "", 1);
        }
        let mut fleet = self.fleet();
        let Call { pool, route, .. } = call;
        let rollouts = &mut fleet.rollouts;
        let is_urgent = rollouts.count(pool, &route.name, &endpoint.build, seen, at);
        drop(fleet);
        if is_urgent {
            self.publish_now.notify_one();
        }
    }
}

impl Drop for Progress {
    fn drop(&mut self) {
        if !self.is_logged {
            record_disconnect(&self.shared, &self.call, &self.attempts);
        }
    }
}

/// The short hash of an organisation in messages; 0 means none.
fn short_organisation_hash(name: &OrganisationId) -> u32 {
    MemberHash::of(name.as_str()).short().max(1)
}

/// A duration in milliseconds, including fractions.
fn to_ms(duration: Duration) -> f64 {
    const MS_PER_S: f64 = 1_000.0;
    duration.as_secs_f64() * MS_PER_S
}

/// Number of hosts that share the fixed part of the retry budget.
fn host_count(fleet: &Fleet, now_ms: u64) -> usize {
    1 + fleet.load.recent_host_count(now_ms)
}
