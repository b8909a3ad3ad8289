//! The search for a request's engine, as a state machine without I/O.
//!
//! A slot is first requested at the chat's home. If that fails, or the chat is new,
//! slots are requested at several alternatives at once, and the least loaded that
//! grants one is used. A home at its bound is retried once with a wait: a slot
//! often frees up sooner than another engine recomputes the prefix. The first
//! request never waits, so that a dead owner is detected at once.

use crate::rendezvous::{KeyHash, MemberHash, min_unit_for_score, unit_hash, unit_score};

/// An engine to which a request may be dispatched.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EngineCandidate {
    /// The hash of its name.
    pub hash: MemberHash,
    /// Its weight within the pool.
    pub weight: f64,
}

/// The parameters of a search.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlacementRules {
    /// Alternatives tried at once per round.
    pub alternatives: usize,
    /// Rounds of alternatives before a pause.
    pub rounds: usize,
    /// Longest wait for a slot at the home. It should not exceed the prefill time
    /// that the cached prefix saves.
    pub home_wait_ms: u64,
    /// Pause after all rounds failed.
    pub retry_pause_ms: u64,
    /// Pauses before the request is refused.
    pub max_retry_pauses: usize,
}

impl Default for PlacementRules {
    fn default() -> Self {
        Self {
            alternatives: 3,
            rounds: 2,
            home_wait_ms: 400,
            retry_pause_ms: 100,
            max_retry_pauses: 5,
        }
    }
}

/// Where a chat's prefix is expected to be cached.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Home {
    /// On the engine with this index, named in the caller's hint.
    Hinted(usize),
    /// On the chat's top-ranked engine: the chat continues without a hint.
    FirstRank,
    /// On no engine: the chat is new. Placing it on the least loaded of several
    /// engines balances the homes.
    Uncached,
}

/// The response to a slot request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SlotResponse {
    /// The owner grants a slot; the load includes it.
    Granted {
        /// Requests on the engine.
        load: u32,
    },
    /// The engine is at its bound.
    AtBound {
        /// Requests on the engine.
        load: u32,
    },
    /// The engine is nearly full, and the organisation has reached its share.
    OverShare {
        /// Requests on the engine.
        load: u32,
    },
    /// No owner responds, but the router's own requests leave capacity: the
    /// engine may be used without a slot.
    Estimated {
        /// Requests of this router on the engine.
        load: u32,
    },
    /// No owner responds or the engine is leaving; it may not be used.
    Unavailable,
}

impl SlotResponse {
    /// The engine's load before the request, if its owner responded.
    pub fn load_before(self) -> Option<u32> {
        match self {
            SlotResponse::Granted { load } => Some(load - 1),
            SlotResponse::AtBound { load } | SlotResponse::OverShare { load } => Some(load),
            SlotResponse::Estimated { .. } | SlotResponse::Unavailable => None,
        }
    }
}

/// The next step of a search. Engines are given by their index in the candidates.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PlacementStep {
    /// Request a slot at each engine and pass each response to
    /// [`Placement::record_response`].
    RequestSlots {
        /// The engines.
        engines: Vec<usize>,
        /// How long an owner may wait for a slot to free up.
        wait_ms: u64,
    },
    /// Dispatch the request and return surplus slots.
    Dispatch {
        /// The engine to dispatch to.
        to: usize,
        /// Whether a slot was granted there.
        with_slot: bool,
        /// Engines whose granted slots are to be returned.
        surplus: Vec<usize>,
    },
    /// Call [`Placement::resume`] after a pause.
    Pause {
        /// Length of the pause.
        pause_ms: u64,
    },
    /// Refuse the request: every engine tried is at its bound.
    RefuseAtBound,
    /// Refuse the request at once: the engines tried are nearly full, and the
    /// organisation has reached its share.
    RefuseOverShare,
    /// No owner responded: use [`choose_locally`].
    NoOwner,
    /// Wait for the remaining responses.
    AwaitResponses,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    Home,
    /// The home's owner waits for a slot to free up.
    HomeWaiting,
    Alternatives {
        round: usize,
    },
}

/// The search for a request's engine.
///
/// # Example
///
/// ```
/// use chalkrock_core::rendezvous::{KeyHash, MemberHash};
/// use chalkrock_core::PlacementStep::{Dispatch, RequestSlots};
/// use chalkrock_core::{EngineCandidate, Home, Placement, PlacementRules, SlotResponse};
///
/// let candidates = ["a", "b"].map(|n| EngineCandidate { hash: MemberHash::of(n), weight: 1.0 });
/// let chat = KeyHash::of(b"chat");
/// let mut placement = Placement::new(PlacementRules::default(), chat, Home::FirstRank);
/// let RequestSlots { engines, .. } = placement.start(&candidates) else { panic!() };
/// let granted = SlotResponse::Granted { load: 1 };
/// let step = placement.record_response(&candidates, engines[0], granted);
/// assert_eq!(step, Dispatch { to: engines[0], with_slot: true, surplus: vec![] });
/// ```
#[derive(Clone, Debug)]
pub struct Placement {
    rules: PlacementRules,
    key: KeyHash,
    home: Home,
    phase: Phase,
    pending: usize,
    granted: Vec<(usize, u32)>,
    estimated: Vec<(usize, u32)>,
    requested: Vec<usize>,
    ranking: Vec<usize>,
    any_response: bool,
    over_share: bool,
    has_waited: bool,
    pauses: usize,
}

impl Placement {
    /// Creates a search for the chat with the hash `key`.
    pub fn new(rules: PlacementRules, key: KeyHash, home: Home) -> Self {
        Self {
            rules,
            key,
            home,
            phase: Phase::Home,
            pending: 0,
            granted: Vec::new(),
            estimated: Vec::new(),
            requested: Vec::new(),
            ranking: Vec::new(),
            any_response: false,
            over_share: false,
            has_waited: false,
            pauses: 0,
        }
    }

    /// Starts the search.
    pub fn start(&mut self, candidates: &[EngineCandidate]) -> PlacementStep {
        let home = match self.home {
            Home::Hinted(home) => Some(home).filter(|home| *home < candidates.len()),
            Home::FirstRank => {
                self.compute_ranking(candidates);
                self.ranking.first().copied()
            }
            Home::Uncached => None,
        };
        match home {
            Some(home) => {
                self.phase = Phase::Home;
                self.request(vec![home], 0)
            }
            None => self.try_alternatives(candidates, 0),
        }
    }

    /// Processes the response to a slot request.
    pub fn record_response(
        &mut self,
        candidates: &[EngineCandidate],
        engine: usize,
        response: SlotResponse,
    ) -> PlacementStep {
        self.pending = self.pending.saturating_sub(1);
        match response {
            SlotResponse::Granted { load } => {
                self.any_response = true;
                self.granted.push((engine, load));
            }
            SlotResponse::AtBound { .. } => self.any_response = true,
            SlotResponse::OverShare { .. } => {
                self.any_response = true;
                self.over_share = true;
            }
            SlotResponse::Estimated { load } => {
                self.any_response = true;
                self.estimated.push((engine, load));
            }
            SlotResponse::Unavailable => {}
        }
        if self.pending > 0 {
            return PlacementStep::AwaitResponses;
        }
        if let Some(step) = self.dispatch(candidates) {
            return step;
        }
        self.handle_refusal(candidates, engine, response)
    }

    /// Restarts the search after a pause.
    pub fn resume(&mut self, candidates: &[EngineCandidate]) -> PlacementStep {
        self.requested.clear();
        self.start(candidates)
    }

    /// Whether the current requests go to alternatives, whose loads are an
    /// unbiased sample of the pool.
    pub fn requests_alternatives(&self) -> bool {
        matches!(self.phase, Phase::Alternatives { .. })
    }

    fn request(&mut self, engines: Vec<usize>, wait_ms: u64) -> PlacementStep {
        self.pending = engines.len();
        self.requested.extend(&engines);
        PlacementStep::RequestSlots { engines, wait_ms }
    }

    /// Picks the engine with the least load per weight: of those that granted a
    /// slot, or else of the estimated ones.
    fn dispatch(&mut self, candidates: &[EngineCandidate]) -> Option<PlacementStep> {
        let load_per_weight =
            |(engine, load): &(usize, u32)| f64::from(*load) / candidates[*engine].weight;
        let least_loaded = |loads: &[(usize, u32)]| {
            let least = loads
                .iter()
                .min_by(|a, b| load_per_weight(a).total_cmp(&load_per_weight(b)));
            least.map(|(engine, _)| *engine)
        };
        let Some(to) = least_loaded(&self.granted) else {
            let to = least_loaded(&self.estimated)?;
            return Some(PlacementStep::Dispatch {
                to,
                with_slot: false,
                surplus: Vec::new(),
            });
        };
        let others = self.granted.iter().map(|(engine, _)| *engine);
        let surplus = others.filter(|engine| *engine != to).collect();
        Some(PlacementStep::Dispatch {
            to,
            with_slot: true,
            surplus,
        })
    }

    fn handle_refusal(
        &mut self,
        candidates: &[EngineCandidate],
        engine: usize,
        response: SlotResponse,
    ) -> PlacementStep {
        let is_at_bound = matches!(response, SlotResponse::AtBound { .. });
        match self.phase {
            Phase::Home if is_at_bound && self.rules.home_wait_ms > 0 && !self.has_waited => {
                self.phase = Phase::HomeWaiting;
                self.has_waited = true;
                self.request(vec![engine], self.rules.home_wait_ms)
            }
            Phase::Home | Phase::HomeWaiting => self.try_alternatives(candidates, 0),
            Phase::Alternatives { round } => self.try_alternatives(candidates, round + 1),
        }
    }

    /// Starts a round of alternatives, or ends the search if none is left.
    fn try_alternatives(&mut self, candidates: &[EngineCandidate], round: usize) -> PlacementStep {
        // Over its share of several engines, the organisation is over its share of
        // the pool; more requests would only add load.
        let rounds = if self.over_share {
            1
        } else {
            self.rules.rounds
        };
        if round < rounds {
            self.phase = Phase::Alternatives { round };
            let alternatives = self.next_alternatives(candidates);
            if !alternatives.is_empty() {
                return self.request(alternatives, 0);
            }
        }
        if !self.any_response {
            return PlacementStep::NoOwner;
        }
        if self.over_share {
            return PlacementStep::RefuseOverShare;
        }
        if self.pauses < self.rules.max_retry_pauses {
            self.pauses += 1;
            return PlacementStep::Pause {
                pause_ms: self.rules.retry_pause_ms,
            };
        }
        PlacementStep::RefuseAtBound
    }

    /// Returns the best ranked engines not tried yet. Unlike random picks, ranks
    /// lead a chat back to engines that may cache its prefix.
    fn next_alternatives(&mut self, candidates: &[EngineCandidate]) -> Vec<usize> {
        self.compute_ranking(candidates);
        let not_requested = self
            .ranking
            .iter()
            .filter(|engine| !self.requested.contains(engine));
        not_requested
            .take(self.rules.alternatives)
            .copied()
            .collect()
    }

    /// Computes the ranking once, to the depth that the search may reach.
    fn compute_ranking(&mut self, candidates: &[EngineCandidate]) {
        if self.ranking.is_empty() {
            let max_ranks = 1 + self.rules.alternatives * self.rules.rounds;
            self.ranking = top_ranks(self.key, candidates, max_ranks);
        }
    }
}

/// Whether an engine whose owner does not respond has capacity, by one router's
/// own requests.
///
/// Routers that each stay under the multiple of their own mean also stay under it
/// in total. Returns `false` with too few requests to judge by.
pub fn has_local_capacity(
    candidates: &[EngineCandidate],
    engine: usize,
    local_loads: &[u32],
    load_multiple: f64,
) -> bool {
    let total: u32 = local_loads.iter().sum();
    let weight: f64 = candidates.iter().map(|candidate| candidate.weight).sum();
    let local_mean = f64::from(total) / weight;
    let limit = (load_multiple * local_mean * candidates[engine].weight).floor();
    f64::from(local_loads[engine] + 1) <= limit
}

/// Chooses an engine without any owner, by one router's own requests.
///
/// Returns the home while it stays under the multiple of the router's mean, else
/// the least loaded engine. Routers that each balance their own requests keep
/// the total balanced to within one request per router.
pub fn choose_locally(
    candidates: &[EngineCandidate],
    home: Home,
    key: KeyHash,
    local_loads: &[u32],
    load_multiple: f64,
) -> Option<usize> {
    let total: u32 = local_loads.iter().sum();
    let weight: f64 = candidates.iter().map(|candidate| candidate.weight).sum();
    let mean = f64::from(total + 1) / weight;
    let is_within_limit = |index: &usize| {
        let limit = (load_multiple * mean * candidates[*index].weight).ceil();
        f64::from(local_loads[*index] + 1) <= limit
    };
    let home = match home {
        Home::Hinted(index) => Some(index),
        Home::FirstRank => top_ranks(key, candidates, 1).first().copied(),
        Home::Uncached => None,
    };
    let load_per_weight = |index: usize| f64::from(local_loads[index]) / candidates[index].weight;
    let least_loaded =
        (0..candidates.len()).min_by(|a, b| load_per_weight(*a).total_cmp(&load_per_weight(*b)));
    home.filter(is_within_limit).or(least_loaded)
}

/// Returns the `max_ranks` best ranked candidates, best first, in one pass.
///
/// Most candidates are rejected by their unit hash, without the logarithm of the
/// score. At 690 engines this takes 6 µs in place of 13 (`benches/placement.rs`).
fn top_ranks(key: KeyHash, candidates: &[EngineCandidate], max_ranks: usize) -> Vec<usize> {
    let mut best: Vec<(f64, usize)> = Vec::with_capacity(max_ranks + 1);
    let mut threshold = Threshold {
        weight: 0.0,
        min_unit: 0.0,
    };
    for (i, candidate) in candidates.iter().enumerate() {
        let unit = unit_hash(key, candidate.hash);
        if candidate.weight == threshold.weight && unit < threshold.min_unit {
            continue;
        }
        let s = unit_score(unit, candidate.weight);
        let at = best.partition_point(|(better, _)| *better >= s);
        best.insert(at, (s, i));
        best.truncate(max_ranks);
        if let Some((worst, _)) = best.last().filter(|_| best.len() == max_ranks) {
            threshold = Threshold {
                weight: candidate.weight,
                min_unit: min_unit_for_score(*worst, candidate.weight),
            };
        }
    }
    best.into_iter().map(|(_, i)| i).collect()
}

/// The smallest unit hash with which a member of this weight ranks among the best.
struct Threshold {
    weight: f64,
    min_unit: f64,
}
