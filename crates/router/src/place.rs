//! Finds the engine of one request, by the core's search.

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
use crate::owners::{OnEngine, SlotKey};
use crate::refusal::Refusal;
use crate::state::State;
use crate::view::ViewEndpoint;

/// What is known of a chat before its engine is chosen.
#[derive(Clone, Debug)]
pub(crate) struct ChatPlace {
    pub(crate) key: KeyHash,
    /// The low half of the hash of the organisation's name.
    pub(crate) organisation: u32,
    /// The engine that the caller's hint names.
    pub(crate) hint: Option<EndpointId>,
    /// Whether it has turns behind it.
    pub(crate) returns: bool,
    /// How long a warm engine is worth waiting for.
    pub(crate) home_wait_ms: u64,
}

/// An engine that was found, and the request's place on it.
pub(crate) struct Placed {
    pub(crate) engine: ViewEndpoint,
    pub(crate) on_engine: OnEngine,
}

/// Finds an engine among those given.
///
/// # Errors
///
/// If there is none, or all that answered are at their bound.
pub(crate) async fn place(
    state: &State,
    explanation: &mut Explanation,
    pool: &Pool,
    chat: &ChatPlace,
    engines: &[ViewEndpoint],
) -> Result<Placed, Refusal> {
    let start = Instant::now();
    let mut search = Search::new(state, explanation, pool, chat, engines);
    let found = search.run(pool).await;
    explanation.hop("place", start);
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
        chat: &ChatPlace,
        engines: &'a [ViewEndpoint],
    ) -> Self {
        let option = |e: &ViewEndpoint| EngineCandidate {
            hash: e.hash,
            weight: f64::from(e.endpoint.slots),
        };
        let hint = chat.hint.as_ref();
        let hinted = hint.and_then(|hint| engines.iter().position(|e| e.endpoint.name == *hint));
        let home = match (hinted, chat.returns) {
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

    async fn run(&mut self, pool: &Pool) -> Result<Placed, Refusal> {
        let mut step = self.placement.start(&self.options);
        loop {
            step = match step {
                PlacementStep::RequestSlots { engines, wait_ms } => {
                    self.ask(engines, wait_ms).await
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
                        self.state.owners.give_back(self.slot(index));
                    }
                    return Ok(self.placed(to, with_slot));
                }
                PlacementStep::RefuseAtBound => {
                    let detail = format!("all engines asked in {} are at their bound", pool.name);
                    return Err(Refusal::new(Reason::AtBound, detail));
                }
                PlacementStep::RefuseOverShare => {
                    let detail = format!("{} is nearly full, and you have your share", pool.name);
                    return Err(Refusal::new(Reason::OverShare, detail));
                }
                PlacementStep::NoOwner => return self.without_owner(pool),
                PlacementStep::AwaitResponses => {
                    let detail = "the search waits for an answer that came";
                    return Err(Refusal::new(Reason::NoEndpoint, detail));
                }
            };
        }
    }

    /// Asks owners at once, and gives the search each answer as it comes.
    async fn ask(&mut self, indexes: Vec<usize>, wait_ms: u64) -> PlacementStep {
        let owners: &Arc<_> = &self.state.owners;
        let (engines, organisation) = (self.engines, self.organisation);
        let mut asks: FuturesUnordered<_> = indexes
            .into_iter()
            .map(|index| async move {
                (
                    index,
                    owners.ask(&engines[index], organisation, wait_ms).await,
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
            self.note(index, answer);
            step = self.placement.record_response(&self.options, index, answer);
        }
        step
    }

    /// Without an owner, an engine is judged by this router's own requests.
    fn estimate(&self, index: usize) -> SlotResponse {
        let busy = self.state.owners.busy_on(self.engines);
        match has_local_capacity(&self.options, index, &busy, self.load_multiple) {
            true => SlotResponse::Estimated { load: busy[index] },
            false => SlotResponse::Unavailable,
        }
    }

    /// No owner answers: the router holds the bound over its own requests.
    /// What each router keeps balanced is balanced in sum.
    fn without_owner(&mut self, pool: &Pool) -> Result<Placed, Refusal> {
        let busy = self.state.owners.busy_on(self.engines);
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
        Ok(self.placed(index, false))
    }

    fn placed(&self, index: usize, holds_slot: bool) -> Placed {
        let engine = self.engines[index].clone();
        let on_engine = self.state.owners.enter(self.slot(index), holds_slot);
        Placed { engine, on_engine }
    }

    fn slot(&self, index: usize) -> SlotKey {
        SlotKey {
            engine: self.engines[index].hash.0,
            organisation: self.organisation,
        }
    }

    fn note(&mut self, index: usize, answer: SlotResponse) {
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
