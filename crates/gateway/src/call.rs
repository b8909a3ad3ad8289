//! A request as it was asked: read whole, its route and organisation found.

use std::sync::Arc;

use chalkrock_core::{OrganisationId, PoolId, Reason};
use chalkrock_routing::{
    Caller, CallerLimits, DrainPhase, Repeatable, RequestContent, RequestFingerprint, Route,
    RulesVersion, shed_probability,
};
use hyper::body::Incoming;
use hyper::header::HeaderMap;
use hyper::{Method, Request, Uri, http};
use tokio::time::Instant;

use crate::caller_body::{HeldBody, read_body};
use crate::clock::{Clock, left_ms, ms};
use crate::edge::{CallHead, Refusal, remove_connection_headers};
use crate::shared::Shared;

/// A request that may be dispatched.
#[derive(Debug)]
pub(crate) struct Call {
    pub(crate) head: CallHead,
    pub(crate) method: Method,
    /// Path and query as the caller sent them.
    pub(crate) target: Uri,
    /// The caller's headers, without those of its connection.
    pub(crate) headers: HeaderMap,
    pub(crate) body: HeldBody,
    pub(crate) route: Arc<Route>,
    pub(crate) pool: PoolId,
    pub(crate) caller: Option<Caller>,
    pub(crate) rules: RulesVersion,
    /// The objective that counts while the pool is overrun.
    pub(crate) admission_objective_ms: u64,
    pub(crate) entered_at: Instant,
    /// When the caller or the route gives up, whichever comes first, unless the host
    /// is suspended meanwhile.
    deadline: Instant,
    clock: Clock,
    /// What the clock had not counted when the request entered.
    uncounted_before_ms: u64,
    /// The parts of its prompt that it shares with others, in order.
    pub(crate) shared_parts: Vec<u32>,
    /// A number of its own.
    pub(crate) draw: u64,
    /// The same for all that repeat it.
    pub(crate) fingerprint: RequestFingerprint,
}

impl Call {
    /// Whether it may run more than once.
    pub(crate) fn repeatable(&self) -> Repeatable {
        Repeatable::of(self.route.kind)
    }

    /// The organisation that asks.
    pub(crate) fn organisation(&self) -> Option<&OrganisationId> {
        self.caller.as_ref().map(|caller| &caller.organisation)
    }

    /// Its rank: the organisation's before the route's.
    pub(crate) fn priority(&self) -> u8 {
        const RANKS_OF_ROUTE: u8 = 3;
        const LAST: u8 = 9;
        let of_caller = self.caller.as_ref().map_or(0, |caller| caller.priority);
        let of_route = self.route.priority.min(RANKS_OF_ROUTE - 1);
        (of_caller
            .saturating_mul(RANKS_OF_ROUTE)
            .saturating_add(of_route))
        .min(LAST)
    }

    /// When the caller or the route gives up, whichever comes first. Its caller was
    /// not suspended with the host.
    pub(crate) fn deadline(&self) -> Instant {
        let uncounted_ms = self.clock.uncounted_ms() - self.uncounted_before_ms;
        let deadline = self.deadline.checked_sub(ms(uncounted_ms));
        deadline.unwrap_or(self.entered_at)
    }

    /// How long it may still take.
    pub(crate) fn left_ms(&self) -> u64 {
        left_ms(self.deadline())
    }
}

/// Reads a request whole and finds what it asks for.
pub(crate) async fn enter(
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
        Some(DrainPhase::Drains | DrainPhase::Ends)
    ) {
        return Err(Refusal::new(Reason::Leaving, "the host is stopping"));
    }
    let lag_ms = shared.lag.ms();
    if rand::random::<f64>() < shed_probability(lag_ms) {
        return Err(Refusal::elsewhere(
            Reason::AtBound,
            format!("the host is behind by {lag_ms} ms"),
        ));
    }
    shared.wait_for_view().await;
    let rules = shared
        .rules()
        .filter(|_| shared.has_view())
        .ok_or_else(|| Refusal::new(Reason::NoView, "the host knows no rules yet"))?;
    let path = parts.uri.path();
    let route = rules
        .route(&head.host, path)
        .ok_or_else(|| Refusal::new(Reason::UnknownService, "no route takes this path"))?
        .clone();
    let caller = head.key.as_deref().and_then(|key| rules.caller(key));
    if caller.is_none() && rules.needs_key() && !route.is_public {
        return Err(Refusal::new(
            Reason::UnknownKey,
            "no organisation holds the key",
        ));
    }
    let draw = rand::random();
    let pool = pool_for(shared, &route, draw)
        .ok_or_else(|| Refusal::new(Reason::NoEndpoint, "the route has no pool"))?;
    let most_ms = head
        .deadline_ms
        .map_or(route.timeout_ms, |ms| ms.min(route.timeout_ms));
    let fingerprint = RequestFingerprint::of(&RequestContent {
        host: &head.host,
        target: parts.uri.path_and_query().map_or(path, |all| all.as_str()),
        organisation: caller.map(|caller| &caller.organisation),
        body: &body.bytes,
    });
    Ok(Call {
        shared_parts: shared_parts(&head),
        caller: caller.cloned(),
        rules: rules.version(),
        admission_objective_ms: rules.admission_objective_ms(&pool, &route),
        method: parts.method.clone(),
        target: target_of(&parts)?,
        headers: end_to_end(parts.headers),
        deadline: entered_at + ms(most_ms),
        uncounted_before_ms: shared.clock.uncounted_ms(),
        clock: shared.clock.clone(),
        head,
        body,
        route,
        pool,
        entered_at,
        draw,
        fingerprint,
    })
}

/// The pool of a draw; another one of the route's if that one has no endpoint that may be
/// sent requests.
fn pool_for(shared: &Shared, route: &Route, draw: u64) -> Option<PoolId> {
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

/// The parts that other requests may share: all but the last, which is the
/// request's own or its session's; that one too if it is the only one.
fn shared_parts(head: &CallHead) -> Vec<u32> {
    const OWN_PARTS: usize = 1;
    let shared = head.prefix.len().saturating_sub(OWN_PARTS).max(OWN_PARTS);
    let parts = head.prefix.iter().take(shared);
    parts.map(|part| short_hash(part.hash)).collect()
}

/// Half of a hash, folded: what travels between hosts is kept small.
fn short_hash(hash: u64) -> u32 {
    (hash ^ (hash >> u32::BITS)) as u32
}

fn target_of(parts: &http::request::Parts) -> Result<Uri, Refusal> {
    let target = parts.uri.path_and_query().cloned();
    let target = target.ok_or_else(|| Refusal::new(Reason::InvalidRequest, "no path"))?;
    Ok(Uri::from(target))
}

fn end_to_end(mut headers: HeaderMap) -> HeaderMap {
    remove_connection_headers(&mut headers);
    headers.remove(hyper::header::CONTENT_LENGTH);
    headers.remove(hyper::header::EXPECT);
    headers
}
