//! Explanations: why a request went where it went, and each hop's time.

use std::collections::{HashMap, VecDeque};
use std::convert::Infallible;
use std::sync::Arc;

use chalkrock_core::{EndpointId, OrganisationId, Outcome, PoolId, Reason, RequestId};
use kameo::Actor;
use kameo::actor::ActorRef;
use kameo::message::{Context, Message};
use serde::Serialize;
use tokio::time::Instant;

/// An engine that was weighed for a request.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Candidate {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Why it was a candidate.
    pub role: CandidateRole,
    /// What its owner answered, in words.
    pub answer: &'static str,
    /// Requests in progress there, if its owner said.
    pub in_progress: Option<u32>,
}

/// Why an endpoint was a candidate.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum CandidateRole {
    /// The caller's hint names it.
    Hint,
    /// It comes first for the chat.
    FirstRank,
    /// One of a few others, after the home was refused.
    Other,
    /// It took over after an attempt failed.
    Retry,
}

/// One hop of a request.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Hop {
    /// What was done.
    pub name: &'static str,
    /// When it began, from the request's entry.
    pub start_us: u64,
    /// How long it took.
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
    /// Endpoints weighed, in order.
    pub candidates: Vec<Candidate>,
    /// The endpoint that served it.
    pub chosen: Option<EndpointId>,
    /// What the caller was told.
    pub outcome: Option<Outcome>,
    /// Why it was refused or failed.
    pub reason: Option<Reason>,
    /// Bytes of the prompt that the engine found cached.
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

    /// When the request entered.
    pub(crate) fn entered_at(&self) -> Instant {
        self.entered_at
    }

    /// Adds a hop that began at `start` and ends now.
    pub(crate) fn hop(&mut self, name: &'static str, start: Instant) {
        self.hops.push(Hop {
            name,
            start_us: start.duration_since(self.entered_at).as_micros() as u64,
            duration_us: start.elapsed().as_micros() as u64,
        });
    }
}

/// Keeps the newest explanations.
pub(crate) struct Recorder {
    kept: usize,
    by_request: HashMap<RequestId, Arc<Explanation>>,
    order: VecDeque<RequestId>,
}

impl Actor for Recorder {
    type Args = usize;
    type Error = Infallible;

    async fn on_start(kept: usize, _: ActorRef<Self>) -> Result<Self, Infallible> {
        Ok(Self {
            kept,
            by_request: HashMap::new(),
            order: VecDeque::new(),
        })
    }
}

/// An explanation that is complete.
pub(crate) struct Record(pub(crate) Explanation);

impl Message<Record> for Recorder {
    type Reply = ();

    async fn handle(&mut self, Record(explanation): Record, _: &mut Context<Self, ()>) {
        let request = explanation.request.clone();
        self.by_request
            .insert(request.clone(), Arc::new(explanation));
        self.order.push_back(request);
        while self.order.len() > self.kept {
            if let Some(oldest) = self.order.pop_front() {
                self.by_request.remove(&oldest);
            }
        }
    }
}

/// Asks for the explanation of a request.
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
