//! Tracks the attempts of one request and decides what may follow.

mod admission;
mod observations;
mod payments;
mod refusals;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use chalkrock_core::rendezvous::MemberHash;
use chalkrock_core::{BuildVersion, Endpoint, OrganisationId, Outcome};
use chalkrock_routing::{BuildRequest, BuildUse, Next, Repeatable, RouteKind, next_step};
use tokio::time::Instant;

use crate::access_log::record_disconnect;
use crate::call::Call;
use crate::event_log::AttemptRecord;
use crate::fair_share::RequestWork;
use crate::fleet::{EndpointQuery, Fleet, SelectedEndpoint};
use crate::forward::{ForwardHead, Forwarding, Path, UsedEndpoint};
use crate::poison::BrokenAttempt;
use crate::pool_queue::{Lease, NewRequest};
use crate::progress::payments::PaidRetry;
use crate::shared::{OrganisationGuard, Shared};
use crate::work::{Prompt, ReadGuard};

/// Endpoints that a scheduler considers as tried. A request that tried as many is placed by
/// its host.
const MAX_TRIED_IN_ASK: usize = 8;
/// Longest wait for the record of a build that was listed. Covers a check of the records and
/// the delays of the first two hosts that write.
const MAX_RECORD_WAIT: Duration = Duration::from_millis(1_000);
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
    /// The build at which the stream must go on, if it has begun.
    stream_build: Option<BuildVersion>,
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
    /// Whether these were chosen again.
    has_reconsidered: bool,
    /// The payment of the upcoming attempt, which is refunded if the attempt is not made.
    unsent_retry: Option<PaidRetry>,
    /// The payment of the attempt in progress.
    sent_retry: Option<PaidRetry>,
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
        let mut fleet = shared.fleet();
        let sharers = fleet.size.sharers(now_ms);
        fleet.budget(&call.pool).record_request(now_ms, sharers);
        drop(fleet);
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
            tried: Vec::new(),
            delivered_attempts: 0,
            worst_outcome: Outcome::NotRun,
            attempts: Vec::new(),
            work: None,
            stalled_at_send_ms: 0,
            was_cold: false,
            last_endpoint: None,
            stream_build: call.stream_build.clone(),
            uses: &[BuildUse::Any],
            unused_lease: None,
            reading: None,
            is_forwarded: false,
            forwarding: Forwarding::default(),
            unreached: Vec::new(),
            has_reconsidered: false,
            unsent_retry: None,
            sent_retry: None,
            is_logged: false,
            call,
        }
    }

    pub(crate) fn call(&self) -> &Arc<Call> {
        &self.call
    }

    /// The build at which the stream must go on, if it has begun.
    pub(crate) fn stream_build(&self) -> Option<&BuildVersion> {
        self.stream_build.as_ref()
    }

    /// Restricts further attempts to the build that began the stream.
    pub(crate) fn set_stream_build(&mut self, build: BuildVersion) {
        self.stream_build = Some(build);
    }

    /// Its work, once admitted.
    pub(crate) fn work(&self) -> Option<Arc<RequestWork>> {
        self.work.clone()
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
        self.uses = if self.stream_build.is_some() {
            &[BuildUse::Any]
        } else {
            fleet.rollouts.build_uses(&request, now_ms)
        };
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

    /// The builds that the request may use where a scheduler or another host places it.
    fn scheduled_uses(&self, fleet: &Fleet) -> &'static [BuildUse] {
        if self.stream_build.is_some() {
            &[BuildUse::Any]
        } else {
            fleet.scheduled_uses(&self.call.pool)
        }
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
        self.uses = self.scheduled_uses(&fleet);
        let choice = fleet.place_granted(&self.endpoint_query(), endpoint, now_ms)?;
        fleet.cold.record_sent(endpoint, now_ms);
        fleet.backoffs.record_sent(endpoint, now_ms);
        Some(choice)
    }

    /// Chooses an endpoint for a request that another host has placed at one that is not
    /// usable here. Endpoints of a build that is rolled out are left to that host.
    pub(crate) fn choose_stable_endpoint(&mut self) -> Option<SelectedEndpoint> {
        let shared = self.shared.clone();
        let now_ms = shared.clock.now_ms();
        let mut fleet = shared.fleet();
        self.uses = self.scheduled_uses(&fleet);
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
        let may_reconsider = !std::mem::replace(&mut self.has_reconsidered, true);
        if !may_reconsider
            || unreached.is_empty()
            || !self.shared.is_any_reached_by_others(&unreached).await
        {
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
            record.build = used.build.is_known().then(|| used.build.clone());
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
            build: self.stream_build.as_ref(),
            begins_resumable: self.begins_resumable(),
            draw: self.call.draw,
        }
    }

    /// Whether the next attempt begins a stream that its caller may take up.
    fn begins_resumable(&self) -> bool {
        let is_resumable = matches!(self.call.route.kind, RouteKind::Stream { resumable: true });
        is_resumable && self.stream_build.is_none() && self.call.head.resume_after.is_none()
    }

    /// Whether the request begins a resumable stream and no build of its pool may begin one
    /// before a record names it.
    fn awaits_record(&self) -> bool {
        let now_ms = self.shared.clock.now_ms();
        self.begins_resumable() && self.shared.fleet().awaits_record(&self.call.pool, now_ms)
    }

    /// Waits for the record of a build that has just been listed. Returns whether one came.
    pub(crate) async fn wait_for_record(&self) -> bool {
        if !self.awaits_record() {
            return false;
        }
        let give_up_at = self.call.deadline().min(Instant::now() + MAX_RECORD_WAIT);
        loop {
            let learned = self.shared.past_learned.notified();
            if !self.awaits_record() {
                return true;
            }
            if tokio::time::timeout_at(give_up_at, learned).await.is_err() {
                return false;
            }
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
        self.sent_retry = self.unsent_retry.take();
        let paid_at_ms = self.sent_retry.map(|retry| retry.paid_at_ms);
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
            build: known_build(&choice.member.endpoint),
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
            paid_ago_ms: paid_at_ms.map(|at_ms| self.sent_at_ms - at_ms),
            says_leaving: false,
            backoff_ms: None,
            framing: None,
            ended_inside_event: false,
            end: None,
            connect_error: None,
        });
    }

    /// Records that the last attempt failed before or during its response, and returns
    /// the next step.
    pub(crate) async fn end_attempt(&mut self, broken: BrokenAttempt) -> Next {
        let end = broken.end;
        self.record_failed_attempt(broken).await;
        if end.counts_as_attempt() {
            self.delivered_attempts += 1;
        }
        if end.counts_against_budget() {
            self.record_retry_sent();
            self.sent_retry = None;
        } else {
            self.keep_payment();
        }
        let mut paid_retry = None;
        let next = next_step(
            end,
            self.worst_outcome,
            self.call.repeatable(),
            self.delivered_attempts,
            self.call.route.attempts_max,
            || {
                paid_retry = self.try_pay_retry();
                paid_retry.is_some()
            },
        );
        self.unsent_retry = self.unsent_retry.or(paid_retry);
        if end.outcome() != Outcome::NotRun {
            self.worst_outcome = Outcome::Unknown;
        }
        next
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
        let sharers = fleet.size.sharers(now_ms);
        fleet.budget(&self.call.pool).has_remaining(now_ms, sharers)
    }

    /// Takes the records of all attempts, for the access log. A request that is dropped
    /// before counts as left by its caller.
    pub(crate) fn take_attempts(&mut self) -> Vec<AttemptRecord> {
        self.is_logged = true;
        std::mem::take(&mut self.attempts)
    }
}

impl Drop for Progress {
    fn drop(&mut self) {
        self.refund_retry();
        if !self.is_logged {
            record_disconnect(&self.shared, &self.call, &self.attempts);
        }
    }
}

fn known_build(endpoint: &Endpoint) -> Option<BuildVersion> {
    let build = &endpoint.build;
    build.is_known().then(|| build.clone())
}

/// The short hash of an organisation in messages; 0 means none.
fn short_organisation_hash(name: &OrganisationId) -> u32 {
    MemberHash::of(name.as_str()).short().max(1)
}

/// Number of hosts that are heard, this one included.
fn host_count(fleet: &Fleet, now_ms: u64) -> usize {
    1 + fleet.load.recent_host_count(now_ms)
}
