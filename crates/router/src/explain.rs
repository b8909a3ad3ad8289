//! Explanations of routing decisions, with the time of each hop.

use std::collections::{HashMap, VecDeque};
use std::convert::Infallible;
use std::sync::Arc;

use chalkrock_core::{EndpointId, OrganisationId, Outcome, PoolId, Reason, RequestId};
use kameo::Actor;
use kameo::actor::ActorRef;
use kameo::message::{Context, Message};
use serde::Serialize;
use tokio::time::Instant;

/// An endpoint that was considered for a request.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Candidate {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Why it was a candidate.
    pub role: CandidateRole,
    /// Answer of its owner, or result of the attempt.
    pub answer: &'static str,
    /// Requests in progress on it, if reported.
    pub in_progress: Option<u32>,
}

/// Why an endpoint was a candidate.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum CandidateRole {
    /// The affinity hint names it.
    Hint,
    /// It ranks first for the request's key.
    FirstRank,
    /// An alternative to the home engine.
    Other,
    /// Used after a failed attempt.
    Retry,
}

/// One hop of a request.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Hop {
    /// The operation.
    pub name: &'static str,
    /// Start, in microseconds since the request arrived.
    pub start_us: u64,
    /// Duration in microseconds.
    pub duration_us: u64,
}

/// The explanation of one request.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Explanation {
    /// The request.
    pub request: RequestId,
    /// The trace that holds its spans.
    pub trace_id: String,
    /// Whose request, once known.
    pub organisation: Option<OrganisationId>,
    /// The pool, once known.
    pub pool: Option<PoolId>,
    /// Endpoints considered, in order.
    pub candidates: Vec<Candidate>,
    /// The endpoint that served it.
    pub chosen: Option<EndpointId>,
    /// The outcome sent to the caller.
    pub outcome: Option<Outcome>,
    /// Why it was refused or failed.
    pub reason: Option<Reason>,
    /// Prompt tokens that the engine found in its cache.
    pub cached_tokens: Option<u64>,
    /// Hops with their times.
    pub hops: Vec<Hop>,
    #[serde(skip)]
    entered_at: Instant,
}

impl Explanation {
    pub(crate) fn new(request: RequestId, trace_id: String) -> Self {
        Self {
            request,
            trace_id,
            organisation: None,
            pool: None,
            candidates: Vec::new(),
            chosen: None,
            outcome: None,
            reason: None,
            cached_tokens: None,
            hops: Vec::new(),
            entered_at: Instant::now(),
        }
    }

    /// Returns when the request arrived.
    pub(crate) fn entered_at(&self) -> Instant {
        self.entered_at
    }

    /// Records a hop from `start` to now.
    pub(crate) fn record_hop(&mut self, name: &'static str, start: Instant) {
        self.hops.push(Hop {
            name,
            start_us: start.duration_since(self.entered_at).as_micros() as u64,
            duration_us: start.elapsed().as_micros() as u64,
        });
    }
}

/// Actor that keeps the newest explanations.
pub(crate) struct Recorder {
    capacity: usize,
    by_request: HashMap<RequestId, Arc<Explanation>>,
    order: VecDeque<RequestId>,
}

impl Actor for Recorder {
    type Args = usize;
    type Error = Infallible;

    async fn on_start(capacity: usize, _: ActorRef<Self>) -> Result<Self, Infallible> {
        Ok(Self {
            capacity,
            by_request: HashMap::new(),
            order: VecDeque::new(),
        })
    }
}

/// Stores a complete explanation.
pub(crate) struct Record(pub(crate) Explanation);

impl Message<Record> for Recorder {
    type Reply = ();

    async fn handle(&mut self, Record(explanation): Record, _: &mut Context<Self, ()>) {
        let request = explanation.request.clone();
        self.by_request
            .insert(request.clone(), Arc::new(explanation));
        self.order.push_back(request);
        while self.order.len() > self.capacity {
            if let Some(oldest) = self.order.pop_front() {
                self.by_request.remove(&oldest);
            }
        }
    }
}

/// Finds the explanation of a request.
pub(crate) struct Lookup(pub(crate) RequestId);

impl Message<Lookup> for Recorder {
    type Reply = Option<Arc<Explanation>>;

    async fn handle(
        &mut self,
        Lookup(request): Lookup,
        _: &mut Context<Self, Self::Reply>,
    ) -> Self::Reply {
        self.by_request.get(&request).cloned()
    }
}
