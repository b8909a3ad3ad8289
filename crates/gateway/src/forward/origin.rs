//! Sends requests to a next hop.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use chalkrock_core::{BuildVersion, Outcome};
use chalkrock_routing::{AttemptOutcome, NextHop, RouteKind};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::{Request, Response};
use tokio::time::Instant;

use crate::attempt::{
    AttemptFailure, AttemptResponse, OpenStream, ResponseReading, endpoint_failure, invalid_head,
    is_endpoint_failure, max_head_wait,
};
use crate::endpoint_connections::{
    Connection, ConnectionRequest, ConnectionTarget, NoConnection, SentBody,
};
use crate::fleet::SelectedEndpoint;
use crate::forward::{FORWARD, ForwardHead, ForwardResult, encode, take};
use crate::framing::BodyFraming;
use crate::peers::zone_hash;
use crate::pool_queue::Lease;
use crate::progress::Progress;
use crate::shared::{InFlightGuard, Shared};

/// How often the next hop and the deadline are checked during a wait for a response.
const RECHECK_INTERVAL: Duration = Duration::from_millis(150);
/// Time without a report or response of the next hop after which a repeatable request leaves
/// it.
const NEXT_HOP_TIMEOUT: Duration = Duration::from_millis(900);
/// Time that a next hop gets beyond the wait for an endpoint, to report how it ended.
const REPORT_ALLOWANCE: Duration = Duration::from_millis(200);

/// How a request gets to its endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Path {
    /// Over a connection of this host.
    Direct,
    /// Through another host.
    Through(NextHop),
    /// Not at all: this host gets no answer from it, and no other host takes the request.
    None,
}

impl Path {
    /// The address of the next hop, if the request is forwarded.
    pub(crate) fn next_hop(&self) -> Option<SocketAddr> {
        match self {
            Self::Through(next_hop) => Some(next_hop.address),
            Self::Direct | Self::None => None,
        }
    }
}

/// Next hops of one request that did not take it.
#[derive(Clone, Debug, Default)]
pub(crate) struct Forwarding {
    refused_by: Vec<SocketAddr>,
}

impl Forwarding {
    /// Most next hops that one request tries.
    const MAX_REFUSALS: usize = 3;

    /// Records a next hop that did not take the request.
    pub(crate) fn record_refusal(&mut self, address: SocketAddr) {
        self.refused_by.push(address);
    }

    /// Determines the path to a chosen endpoint.
    pub(crate) fn path_to(&self, shared: &Shared, choice: &SelectedEndpoint) -> Path {
        let now_ms = shared.clock.now_ms();
        let endpoint = choice.member.hash.short();
        let fleet = shared.fleet();
        if !fleet.is_unreachable(endpoint, now_ms) {
            return Path::Direct;
        }
        let may_try = self.refused_by.len() < Self::MAX_REFUSALS;
        let next_hop = fleet.reachability.choose_next_hop(
            endpoint,
            zone_hash(&shared.config.zone),
            &self.refused_by,
            rand::random(),
            now_ms,
        );
        match next_hop.filter(|_| may_try) {
            Some(next_hop) => Path::Through(next_hop),
            // It may accept connections again at any time, and refuses them at once if not.
            None if !fleet.is_unresponsive(endpoint, now_ms) => Path::Direct,
            None => Path::None,
        }
    }
}

/// Forwards a request to a next hop and waits for its response.
pub(crate) async fn forward(
    shared: &Arc<Shared>,
    progress: &mut Progress,
    next_hop: NextHop,
    lease: Option<Lease>,
    resume_after: Option<u64>,
) -> Result<AttemptResponse, AttemptFailure> {
    let call = &*progress.call().clone();
    let is_granted = lease.is_some();
    let address = next_hop.address;
    let in_flight = InFlightGuard::begin_forwarded(shared, call, progress.work(), address, lease);
    let started_at = Instant::now();
    let head = forward_head(shared, progress, is_granted, resume_after);
    let sent = send(shared, progress, address, &head).await;
    let (connection, response) = match sent {
        Ok(sent) => sent,
        Err(end) => {
            count(shared, "lost");
            if matches!(end, AttemptOutcome::Withdrawn | AttemptOutcome::Broken) {
                shared.fleet().reachability.forget(address);
            }
            progress.record_next_hop_refusal(address);
            return Err(failure(in_flight, end));
        }
    };
    let (mut head, body) = response.into_parts();
    let Some(result) = take::<ForwardResult>(&mut head.headers) else {
        count(shared, "garbage");
        return Err(failure(in_flight, AttemptOutcome::Garbage));
    };
    merge_result(shared, progress, address, &result);
    if let Some(end) = result.end.filter(|_| !result.has_response) {
        count(shared, "failed");
        shared.endpoint_connections.check_in(connection, None);
        if result.endpoint.is_none() {
            progress.record_next_hop_refusal(address);
        }
        return Err(failure(in_flight, end));
    }
    let build = used_build(shared, &result);
    if progress.stream_build().is_some_and(|began| *began != build) {
        // A next hop that runs an older version of this program does not know the restriction.
        count(shared, "other-build");
        return Err(failure(in_flight, AttemptOutcome::Garbage));
    }
    count(shared, "answered");
    let answer = shared.edge.read_answer(&head);
    progress.record_head(&answer);
    let member = shared.fleet().listed_member(progress.last_tried()).cloned();
    if let Some(member) = &member {
        // What an endpoint reports of itself binds the host that passes the response on.
        shared.record_endpoint_answer(member, &answer, call.head.id.as_ref());
    }
    let intended = member.as_ref().map(|member| &member.endpoint.name);
    if let Some(end) = invalid_head(call, &head, &answer, intended) {
        return Err(failure(in_flight, end));
    }
    let framing = if result.is_close_delimited {
        BodyFraming::CloseDelimited
    } else {
        BodyFraming::SelfDelimited
    };
    progress.record_framing(Some(framing));
    let is_stream = matches!(call.route.kind, RouteKind::Stream { .. }) && head.status.is_success();
    if is_stream {
        return Ok(AttemptResponse::Stream(Box::new(OpenStream {
            head,
            body,
            start: progress.last_tried(),
            build,
            is_forwarded: true,
            connection,
            _in_flight: in_flight,
            answer,
            framing,
            sent_at: started_at,
            observation: None,
        })));
    }
    let reading = ResponseReading {
        head,
        body,
        framing,
        unproductive: &connection.unproductive,
    };
    let buffered = reading.finish(shared, call).await?;
    if !answer.closes {
        shared.endpoint_connections.check_in(connection, None);
    }
    if is_endpoint_failure(buffered.head.status) {
        return Err(endpoint_failure(call, buffered));
    }
    if framing != BodyFraming::CloseDelimited {
        shared.record_completed_run(call.fingerprint);
    }
    Ok(AttemptResponse::Buffered(buffered))
}

fn failure(in_flight: InFlightGuard, end: AttemptOutcome) -> AttemptFailure {
    let takes_no_time = end == AttemptOutcome::Broken || end.outcome() == Outcome::NotRun;
    AttemptFailure {
        unused_lease: takes_no_time.then(|| in_flight.mark_rejected()).flatten(),
        ..AttemptFailure::new(end)
    }
}

fn forward_head(
    shared: &Shared,
    progress: &Progress,
    is_granted: bool,
    resume_after: Option<u64>,
) -> ForwardHead {
    let call = progress.call();
    ForwardHead {
        origin: shared.config.host.clone(),
        rules: call.rules_version,
        route: call.route.clone(),
        pool: call.pool.clone(),
        caller: call.caller.clone(),
        remaining_ms: call.remaining_ms(),
        resume_after,
        fingerprint: call.fingerprint,
        endpoint: progress.last_tried(),
        is_granted,
        tried: progress.tried_before().to_vec(),
        delivered_attempts: progress.delivered_attempts(),
        stream_build: progress.stream_build().cloned(),
    }
}

/// The build of the endpoint that responded, as the next hop reports it or, if it does not, as
/// listed here.
fn used_build(shared: &Shared, result: &ForwardResult) -> BuildVersion {
    let Some(used) = &result.endpoint else {
        return BuildVersion::default();
    };
    if used.build.is_known() {
        return used.build.clone();
    }
    let fleet = shared.fleet();
    let listed = fleet.listed_member(used.start);
    listed.map_or_else(BuildVersion::default, |member| {
        member.endpoint.build.clone()
    })
}

/// Records what the result says of endpoints.
fn merge_result(
    shared: &Shared,
    progress: &mut Progress,
    address: SocketAddr,
    result: &ForwardResult,
) {
    let now_ms = shared.clock.now_ms();
    let mut fleet = shared.fleet();
    for endpoint in &result.unreached {
        let reachability = &mut fleet.reachability;
        reachability.record_forwarded(address, *endpoint, false, now_ms);
    }
    if let Some(used) = &result.endpoint {
        let reachability = &mut fleet.reachability;
        reachability.record_forwarded(address, used.start, true, now_ms);
    }
    drop(fleet);
    if let Some(used) = &result.endpoint {
        progress.set_used_endpoint(used);
    }
}

/// Sends the request over an idle connection or a new one. Returns how the attempt ended if
/// there is no response.
async fn send(
    shared: &Shared,
    progress: &mut Progress,
    address: SocketAddr,
    head: &ForwardHead,
) -> Result<(Connection, Response<Incoming>), AttemptOutcome> {
    let call = progress.call().clone();
    let encoded = encode(head).ok_or(AttemptOutcome::Withdrawn)?;
    loop {
        let request = ConnectionRequest {
            target: ConnectionTarget::Host(address),
            address,
            may_repeat: true,
            max_open: None,
            may_be_reset: false,
            deadline: call.deadline(),
        };
        let mut connection = match shared.endpoint_connections.acquire(&request).await {
            Ok(connection) => connection,
            Err(NoConnection::Failed(_) | NoConnection::AllInUse) => {
                return Err(AttemptOutcome::Withdrawn);
            }
        };
        let mut request = Request::new(Full::new(call.body.bytes.clone()));
        *request.method_mut() = call.method.clone();
        *request.uri_mut() = call.target.clone();
        *request.headers_mut() = call.headers.clone();
        request.headers_mut().insert(FORWARD, encoded.clone());
        progress.record_retry_sent();
        match wait_for_head(shared, progress, address, &mut connection, request).await {
            Ok(response) => return Ok((connection, response)),
            Err(AttemptOutcome::NotSent) if connection.is_reused => {}
            Err(AttemptOutcome::NotSent) => return Err(AttemptOutcome::Withdrawn),
            Err(end) => return Err(end),
        }
    }
}

async fn wait_for_head(
    shared: &Shared,
    progress: &Progress,
    address: SocketAddr,
    connection: &mut Connection,
    mut request: Request<SentBody>,
) -> Result<Response<Incoming>, AttemptOutcome> {
    let call = progress.call();
    connection.limit_answer(&mut request);
    let unproductive = connection.unproductive.clone();
    let sent_at = Instant::now();
    let sent_at_ms = shared.clock.now_ms();
    let max_wait = max_head_wait(call) + REPORT_ALLOWANCE;
    let mut response = std::pin::pin!(connection.sender.try_send_request(request));
    loop {
        let recheck_at = call.deadline().min(Instant::now() + RECHECK_INTERVAL);
        let received = tokio::select! {
            received = tokio::time::timeout_at(recheck_at, &mut response) => received,
            () = shared.wait_until_poison(call) => return Err(AttemptOutcome::Recalled),
        };
        match received {
            Ok(Ok(response)) => {
                unproductive.reset();
                return Ok(response);
            }
            Ok(Err(mut error)) => {
                return Err(match error.take_message() {
                    Some(_unsent) => AttemptOutcome::NotSent,
                    None => AttemptOutcome::Broken,
                });
            }
            Err(_) => {}
        }
        if Instant::now() >= call.deadline() {
            return Err(AttemptOutcome::Silent);
        }
        let now_ms = shared.clock.now_ms();
        let reported_at_ms = shared.fleet().reachability.reported_at_ms(address);
        let heard_at_ms = sent_at_ms.max(reported_at_ms.unwrap_or(0));
        let silent_ms = now_ms.saturating_sub(heard_at_ms);
        let is_silent = u128::from(silent_ms) >= NEXT_HOP_TIMEOUT.as_millis();
        if is_silent {
            shared.fleet().reachability.forget(address);
        }
        let is_overdue = is_silent || sent_at.elapsed() >= max_wait;
        if is_overdue && progress.may_leave_endpoint() {
            return Err(AttemptOutcome::Silent);
        }
    }
}

fn count(shared: &Shared, outcome: &str) {
    let labels = format!("outcome=\"{outcome}\"");
    shared.metrics.count("forwarded_total", &labels, 1);
}
