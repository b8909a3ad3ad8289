//! Selects the engine of a request.

use std::sync::Arc;
use std::time::Duration;

use chalkrock_core::rendezvous::KeyHash;
use chalkrock_core::{
    EndpointId, EngineCandidate, Home, Placement, PlacementRules, PlacementStep, Pool, Reason,
    SlotResponse, choose_locally, has_local_capacity,
};
use futures::StreamExt;
use futures::stream::FuturesUnordered;
use tokio::time::Instant;

use crate::explain::{Candidate, CandidateRole, Explanation};
use crate::owners::{InFlightRequest, SlotKey};
use crate::refusal::Refusal;
use crate::state::State;
use crate::view::ViewEndpoint;

/// Properties of a chat that determine its engine.
#[derive(Clone, Debug)]
pub(crate) struct ChatPlacement {
    pub(crate) key: KeyHash,
    /// Low half of the hash of the organisation's name.
    pub(crate) organisation: u32,
    /// Engine named by the affinity hint.
    pub(crate) hint: Option<EndpointId>,
    /// Whether it contains earlier assistant messages.
    pub(crate) has_history: bool,
    /// How long to wait for a warm engine.
    pub(crate) home_wait_ms: u64,
}

/// The selected engine and the request counted on it.
pub(crate) struct PlacedRequest {
    pub(crate) engine: ViewEndpoint,
    pub(crate) in_flight: InFlightRequest,
}

/// Selects one of `engines`.
///
/// # Errors
///
/// If there is none, or no engine asked has capacity for the organisation.
pub(crate) async fn place(
    state: &State,
    explanation: &mut Explanation,
    pool: &Pool,
    chat: &ChatPlacement,
    engines: &[ViewEndpoint],
) -> Result<PlacedRequest, Refusal> {
    let start = Instant::now();
    let mut search = Search::new(state, explanation, pool, chat, engines);
    let found = search.run(pool).await;
    explanation.record_hop("place", start);
    found
}

struct Search<'a> {
    state: &'a State,
    explanation: &'a mut Explanation,
    engines: &'a [ViewEndpoint],
    options: Vec<EngineCandidate>,
    home: Home,
    key: KeyHash,
    organisation: u32,
    placement: Placement,
    load_multiple: f64,
}

impl<'a> Search<'a> {
    fn new(
        state: &'a State,
        explanation: &'a mut Explanation,
        pool: &Pool,
        chat: &ChatPlacement,
        engines: &'a [ViewEndpoint],
    ) -> Self {
        let option = |e: &ViewEndpoint| EngineCandidate {
            hash: e.hash,
            weight: f64::from(e.endpoint.slots),
        };
        let hint = chat.hint.as_ref();
        let hinted = hint.and_then(|hint| engines.iter().position(|e| e.endpoint.name == *hint));
        let home = match (hinted, chat.has_history) {
            (Some(index), _) => Home::Hinted(index),
            (None, true) => Home::FirstRank,
            (None, false) => Home::Uncached,
        };
        let rules = PlacementRules {
            home_wait_ms: chat.home_wait_ms,
            ..Default::default()
        };
        Self {
            state,
            explanation,
            engines,
            options: engines.iter().map(option).collect(),
            home,
            key: chat.key,
            organisation: chat.organisation,
            placement: Placement::new(rules, chat.key, home),
            load_multiple: pool.load_multiple,
        }
    }

    async fn run(&mut self, pool: &Pool) -> Result<PlacedRequest, Refusal> {
        let mut step = self.placement.start(&self.options);
        loop {
            step = match step {
                PlacementStep::RequestSlots { engines, wait_ms } => {
                    self.request_slots(engines, wait_ms).await
                }
                PlacementStep::Pause { pause_ms } => {
                    tokio::time::sleep(Duration::from_millis(pause_ms)).await;
                    self.placement.resume(&self.options)
                }
                PlacementStep::Dispatch {
                    to,
                    with_slot,
                    surplus,
                } => {
                    for index in surplus {
                        self.state.owners.return_slot(self.slot(index));
                    }
                    return Ok(self.begin_on(to, with_slot));
                }
                PlacementStep::RefuseAtBound => {
                    let detail = format!("all engines asked in {} are at capacity", pool.name);
                    return Err(Refusal::new(Reason::AtBound, detail));
                }
                PlacementStep::RefuseOverShare => {
                    let detail = format!("{} is nearly full and your share is used up", pool.name);
                    return Err(Refusal::new(Reason::OverShare, detail));
                }
                PlacementStep::NoOwner => return self.place_locally(pool),
                PlacementStep::AwaitResponses => {
                    let detail = "the placement waits for a response that was already recorded";
                    return Err(Refusal::new(Reason::NoEndpoint, detail));
                }
            };
        }
    }

    /// Requests slots concurrently and passes each response to the placement.
    async fn request_slots(&mut self, indexes: Vec<usize>, wait_ms: u64) -> PlacementStep {
        let owners: &Arc<_> = &self.state.owners;
        let (engines, organisation) = (self.engines, self.organisation);
        let mut asks: FuturesUnordered<_> = indexes
            .into_iter()
            .map(|index| async move {
                (
                    index,
                    owners
                        .request_slot(&engines[index], organisation, wait_ms)
                        .await,
                )
            })
            .collect();
        let mut step = PlacementStep::AwaitResponses;
        while let Some((index, answer)) = asks.next().await {
            let answer = answer.unwrap_or_else(|| self.estimate(index));
            if let Some(load) = answer
                .load_before()
                .filter(|_| self.placement.requests_alternatives())
            {
                self.state.owners.sample(&self.engines[index], load);
            }
            self.record_candidate(index, answer);
            step = self.placement.record_response(&self.options, index, answer);
        }
        step
    }

    /// Estimates an engine's load from this router's requests.
    fn estimate(&self, index: usize) -> SlotResponse {
        let busy = self.state.owners.in_progress_on(self.engines);
        match has_local_capacity(&self.options, index, &busy, self.load_multiple) {
            true => SlotResponse::Estimated { load: busy[index] },
            false => SlotResponse::Unavailable,
        }
    }

    /// Balances this router's requests over the engines, as no owner answers.
    fn place_locally(&mut self, pool: &Pool) -> Result<PlacedRequest, Refusal> {
        let busy = self.state.owners.in_progress_on(self.engines);
        let chosen = choose_locally(
            &self.options,
            self.home,
            self.key,
            &busy,
            pool.load_multiple,
        );
        let Some(index) = chosen else {
            let detail = format!("{} has no live engine", pool.name);
            return Err(Refusal::new(Reason::NoEndpoint, detail));
        };
        self.state
            .metrics
            .count("placed_without_owner_total", "", 1);
        Ok(self.begin_on(index, false))
    }

    fn begin_on(&self, index: usize, holds_slot: bool) -> PlacedRequest {
        let engine = self.engines[index].clone();
        let in_flight = self.state.owners.begin(self.slot(index), holds_slot);
        PlacedRequest { engine, in_flight }
    }

    fn slot(&self, index: usize) -> SlotKey {
        SlotKey {
            engine: self.engines[index].hash.0,
            organisation: self.organisation,
        }
    }

    fn record_candidate(&mut self, index: usize, answer: SlotResponse) {
        let (answer, in_progress) = match answer {
            SlotResponse::Granted { load } => ("granted", Some(load)),
            SlotResponse::AtBound { load } => ("at its bound", Some(load)),
            SlotResponse::OverShare { load } => ("over the organisation's share", Some(load)),
            SlotResponse::Estimated { load } => ("no owner, room by own requests", Some(load)),
            SlotResponse::Unavailable => ("no owner", None),
        };
        let role = match self.home {
            Home::Hinted(home) if home == index => CandidateRole::Hint,
            Home::FirstRank if self.explanation.candidates.is_empty() => CandidateRole::FirstRank,
            _ => CandidateRole::Other,
        };
        let endpoint = self.engines[index].endpoint.name.clone();
        self.explanation.candidates.push(Candidate {
            endpoint,
            role,
            answer,
            in_progress,
        });
    }
}
