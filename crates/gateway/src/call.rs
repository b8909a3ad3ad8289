//! A caller's request with its body, route, pool and organisation.

use std::sync::Arc;

use chalkrock_core::{BuildVersion, OrganisationId, PoolId, Reason};
use chalkrock_routing::{
    Caller, CallerLimits, DrainPhase, Repeatable, RequestContent, RequestFingerprint, Route,
    RulesVersion, shed_probability,
};
use hyper::body::Incoming;
use hyper::header::HeaderMap;
use hyper::{Method, Request, Uri, http};
use tokio::time::Instant;

use crate::caller_body::{BufferedBody, read_body};
use crate::clock::{Clock, left_ms, ms};
use crate::edge::{CallHead, Refusal, remove_connection_headers};
use crate::forward::ForwardHead;
use crate::shared::Shared;

/// A request that is ready to be dispatched.
#[derive(Debug)]
pub(crate) struct Call {
    pub(crate) head: CallHead,
    pub(crate) method: Method,
    /// Path and query as the caller sent them.
    pub(crate) target: Uri,
    /// The caller's end-to-end headers.
    pub(crate) headers: HeaderMap,
    pub(crate) body: BufferedBody,
    pub(crate) route: Arc<Route>,
    pub(crate) pool: PoolId,
    pub(crate) caller: Option<Caller>,
    pub(crate) rules_version: RulesVersion,
    /// Response time objective that admission control applies.
    pub(crate) admission_objective_ms: u64,
    pub(crate) entered_at: Instant,
    /// Deadline of the caller or the route, not yet corrected for suspensions.
    deadline: Instant,
    clock: Clock,
    /// Suspended time that the clock had missed when the request entered.
    uncounted_before_entry_ms: u64,
    /// Short hashes of the prompt's shareable prefix parts, in order.
    pub(crate) shared_parts: Vec<u32>,
    /// Random number for weighted choices.
    pub(crate) draw: u64,
    /// Identical for all repeats of the request.
    pub(crate) fingerprint: RequestFingerprint,
    /// The build that began the stream which the request takes up.
    pub(crate) stream_build: Option<BuildVersion>,
}

/// A forwarded request as it was received.
pub(crate) struct ReceivedCall {
    pub(crate) parts: http::request::Parts,
    pub(crate) head: CallHead,
    pub(crate) body: BufferedBody,
    pub(crate) entered_at: Instant,
}

impl Call {
    /// Puts together a request that another host has admitted and forwards.
    pub(crate) fn forwarded(
        shared: &Shared,
        received: ReceivedCall,
        decision: &ForwardHead,
    ) -> Result<Self, Refusal> {
        let ReceivedCall {
            parts,
            head,
            body,
            entered_at,
        } = received;
        Ok(Self {
            shared_parts: shared_part_hashes(&head),
            caller: decision.caller.clone(),
            rules_version: decision.rules,
            admission_objective_ms: decision.route.objective_ms,
            method: parts.method.clone(),
            target: target_uri(&parts)?,
            headers: end_to_end_headers(parts.headers),
            deadline: entered_at + ms(decision.remaining_ms),
            uncounted_before_entry_ms: shared.clock.uncounted_ms(),
            clock: shared.clock.clone(),
            head,
            body,
            route: decision.route.clone(),
            pool: decision.pool.clone(),
            entered_at,
            draw: rand::random(),
            fingerprint: decision.fingerprint,
            stream_build: decision.stream_build.clone(),
        })
    }

    /// Whether the request may run more than once.
    pub(crate) fn repeatable(&self) -> Repeatable {
        Repeatable::of(self.route.kind)
    }

    /// Short hashes of the prompt's parts that other requests share. The last part belongs to
    /// the request or its session.
    pub(crate) fn blamable_parts(&self) -> &[u32] {
        let has_shared = self.head.prefix.len() > 1;
        if has_shared { &self.shared_parts } else { &[] }
    }

    /// The caller's organisation, if known.
    pub(crate) fn organisation(&self) -> Option<&OrganisationId> {
        self.caller.as_ref().map(|caller| &caller.organisation)
    }

    /// Combined priority, 0 first: the organisation's outweighs the route's.
    pub(crate) fn priority(&self) -> u8 {
        const ROUTE_PRIORITIES: u8 = 3;
        const MAX_PRIORITY: u8 = 9;
        let caller_priority = self.caller.as_ref().map_or(0, |caller| caller.priority);
        let route_priority = self.route.priority.min(ROUTE_PRIORITIES - 1);
        (caller_priority
            .saturating_mul(ROUTE_PRIORITIES)
            .saturating_add(route_priority))
        .min(MAX_PRIORITY)
    }

    /// The earlier deadline of the caller and the route. Suspended time counts,
    /// since the caller was not suspended with the host.
    pub(crate) fn deadline(&self) -> Instant {
        let uncounted_ms = self.clock.uncounted_ms() - self.uncounted_before_entry_ms;
        let deadline = self.deadline.checked_sub(ms(uncounted_ms));
        deadline.unwrap_or(self.entered_at)
    }

    /// Time until the deadline.
    pub(crate) fn remaining_ms(&self) -> u64 {
        left_ms(self.deadline())
    }
}

/// Reads the body of a request and resolves its route, pool and organisation.
pub(crate) async fn prepare_call(
    shared: &Arc<Shared>,
    request: Request<Incoming>,
    head: CallHead,
    entered_at: Instant,
) -> Result<Call, Refusal> {
    let (parts, body) = request.into_parts();
    let rules = shared.rules();
    let limits = rules
        .as_ref()
        .map_or_else(CallerLimits::default, |rules| *rules.limits());
    let key = head.key.as_deref();
    let caller = rules
        .as_ref()
        .zip(key)
        .and_then(|(rules, key)| rules.caller(key));
    let organisation = caller.map(|caller| &caller.organisation);
    let body = read_body(shared, body, &limits, organisation).await?;
    if matches!(
        shared.stop_phase(),
        Some(DrainPhase::Draining | DrainPhase::Exiting)
    ) {
        return Err(Refusal::new(Reason::Leaving, "the host is stopping"));
    }
    let lag_ms = shared.lag.ms();
    if rand::random::<f64>() < shed_probability(lag_ms) {
        return Err(Refusal::with_short_retry(
            Reason::AtBound,
            format!("the host is overloaded: scheduler lag is {lag_ms} ms"),
        ));
    }
    shared.wait_for_view().await;
    let rules = shared
        .rules()
        .filter(|_| shared.has_view())
        .ok_or_else(|| Refusal::new(Reason::NoView, "the host has no routing rules yet"))?;
    let path = parts.uri.path();
    let route = rules
        .route(&head.host, path)
        .ok_or_else(|| Refusal::new(Reason::UnknownService, "no route matches this path"))?
        .clone();
    let caller = head.key.as_deref().and_then(|key| rules.caller(key));
    if caller.is_none() && rules.needs_key() && !route.is_public {
        return Err(Refusal::new(
            Reason::UnknownKey,
            "no organisation has this key",
        ));
    }
    let organisation = caller.map(|caller| &caller.organisation);
    let origin = shared.find_stream_origin(&head, &route, organisation);
    let (origin_pool, stream_build) = origin.await?.unzip();
    let draw = rand::random();
    let pool = origin_pool
        .or_else(|| choose_pool(shared, &route, draw))
        .ok_or_else(|| Refusal::new(Reason::NoEndpoint, "the route has no pool"))?;
    let timeout_ms = head
        .deadline_ms
        .map_or(route.timeout_ms, |ms| ms.min(route.timeout_ms));
    let fingerprint = RequestFingerprint::of(&RequestContent {
        host: &head.host,
        target: parts.uri.path_and_query().map_or(path, |all| all.as_str()),
        organisation: caller.map(|caller| &caller.organisation),
        body: &body.bytes,
    });
    Ok(Call {
        shared_parts: shared_part_hashes(&head),
        caller: caller.cloned(),
        rules_version: rules.version(),
        admission_objective_ms: rules.admission_objective_ms(&pool, &route),
        method: parts.method.clone(),
        target: target_uri(&parts)?,
        headers: end_to_end_headers(parts.headers),
        deadline: entered_at + ms(timeout_ms),
        uncounted_before_entry_ms: shared.clock.uncounted_ms(),
        clock: shared.clock.clone(),
        head,
        body,
        route,
        pool,
        entered_at,
        draw,
        fingerprint,
        stream_build,
    })
}

/// Returns the drawn pool of the route, or another one with a live endpoint if the
/// drawn one has none.
fn choose_pool(shared: &Shared, route: &Route, draw: u64) -> Option<PoolId> {
    let drawn = route.pool_for(draw)?;
    let fleet = shared.fleet();
    let now_ms = shared.clock.now_ms();
    let is_live = |pool: &PoolId| fleet.accepts_requests(pool, now_ms);
    if is_live(drawn) {
        return Some(drawn.clone());
    }
    let others = route.backends.iter().filter(|backend| backend.weight > 0);
    let mut others = others.map(|backend| &backend.pool);
    Some(others.find(|pool| is_live(pool)).unwrap_or(drawn).clone())
}

/// Hashes of the parts that other requests may share: all but the last, which belongs
/// to the request or its session, unless it is the only one.
fn shared_part_hashes(head: &CallHead) -> Vec<u32> {
    const UNSHARED: usize = 1;
    let shared = head.prefix.len().saturating_sub(UNSHARED).max(UNSHARED);
    let parts = head.prefix.iter().take(shared);
    parts.map(|part| short_hash(part.hash)).collect()
}

/// Folds a hash to 32 bits to keep messages between hosts small.
fn short_hash(hash: u64) -> u32 {
    (hash ^ (hash >> u32::BITS)) as u32
}

fn target_uri(parts: &http::request::Parts) -> Result<Uri, Refusal> {
    let target = parts.uri.path_and_query().cloned();
    let target =
        target.ok_or_else(|| Refusal::new(Reason::InvalidRequest, "the target has no path"))?;
    Ok(Uri::from(target))
}

fn end_to_end_headers(mut headers: HeaderMap) -> HeaderMap {
    remove_connection_headers(&mut headers);
    headers.remove(hyper::header::CONTENT_LENGTH);
    headers.remove(hyper::header::EXPECT);
    headers
}
