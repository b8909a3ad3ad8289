//! Where one request goes: event in, step out.
//!
//! The chat's home is asked first. If its owner refuses, or the chat is new, a
//! few others are asked at once, and the least loaded that grants wins; the
//! rest is given back. A home at its bound is asked once more, and its owner
//! may hold that ask: a slot often frees up sooner than the prefix is computed
//! again. The first ask is never held, so that a dead owner is found out at
//! once.

use crate::rendezvous::{KeyHash, MemberHash, min_unit_for_score, unit_hash, unit_score};

/// An engine that a request may go to.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EngineCandidate {
    /// The hash of its name.
    pub hash: MemberHash,
    /// Its size against others.
    pub weight: f64,
}

/// How placements are searched in a pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlacementRules {
    /// Others asked at once when the home refuses.
    pub alternatives: usize,
    /// Rounds of others, before a pause.
    pub rounds: usize,
    /// How long the home's owner may hold an ask until a slot frees up. Worth
    /// no more than the prefill that a warm engine saves.
    pub home_wait_ms: u64,
    /// Pause after all rounds were refused.
    pub retry_pause_ms: u64,
    /// Pauses at most; then the request is refused.
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

/// Where a chat's prefix is, before the search.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Home {
    /// The caller's hint names this engine.
    Hinted(usize),
    /// The chat returns without a hint: its first rank is the best guess.
    FirstRank,
    /// The chat is new. Its prefix is nowhere, so it may go to the least
    /// loaded of a few: this is what keeps the homes balanced.
    Uncached,
}

/// What an owner answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SlotResponse {
    /// It grants a slot; the load includes it.
    Granted {
        /// Requests on the engine.
        load: u32,
    },
    /// The engine is at its bound.
    AtBound {
        /// Requests on the engine.
        load: u32,
    },
    /// The engine is nearly full, and the organisation has its share.
    OverShare {
        /// Requests on the engine.
        load: u32,
    },
    /// No owner answers, but by this router's own requests the engine has
    /// room: it may be used without a slot.
    Estimated {
        /// Requests on the engine, by this router's own.
        load: u32,
    },
    /// No owner answers, and the engine may not be used.
    Unavailable,
}

impl SlotResponse {
    /// The engine's load before the ask, if its owner answered.
    pub fn load_before(self) -> Option<u32> {
        match self {
            SlotResponse::Granted { load } => Some(load - 1),
            SlotResponse::AtBound { load } | SlotResponse::OverShare { load } => Some(load),
            SlotResponse::Estimated { .. } | SlotResponse::Unavailable => None,
        }
    }
}

/// What to do next. Engines are named by their index in the candidates.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PlacementStep {
    /// Ask the owners of these, then call [`Placement::record_response`] for each.
    RequestSlots {
        /// The engines.
        engines: Vec<usize>,
        /// How long an owner may hold the ask until a slot frees up.
        wait_ms: u64,
    },
    /// Send the request here, and give the other slots back.
    Dispatch {
        /// The engine.
        to: usize,
        /// Whether a slot is held there.
        with_slot: bool,
        /// Engines whose slots are given back.
        surplus: Vec<usize>,
    },
    /// Call [`Placement::resume`] after this time.
    Pause {
        /// How long.
        pause_ms: u64,
    },
    /// Every engine that was asked is at its bound.
    RefuseAtBound,
    /// The organisation has its share of the engines asked, which are nearly
    /// full. It is told at once: others wait for what it gives back.
    RefuseOverShare,
    /// No owner answered: fall back to the estimate.
    NoOwner,
    /// Other answers are still to come.
    AwaitResponses,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    Home,
    /// The home is at its bound, and its owner holds the ask for a while.
    HomeHeld,
    Others {
        round: usize,
    },
}

/// The search for one request's engine.
///
/// # Example
///
/// ```
/// use chalkrock_core::rendezvous::{KeyHash, MemberHash};
/// use chalkrock_core::{SlotResponse, Home, EngineCandidate, Placement, PlacementRules, PlacementStep};
///
/// let candidates = ["a", "b"].map(|n| EngineCandidate { hash: MemberHash::of(n), weight: 1.0 });
/// let chat = KeyHash::of(b"chat");
/// let mut placement = Placement::new(PlacementRules::default(), chat, Home::FirstRank);
/// let PlacementStep::RequestSlots { engines, .. } = placement.start(&candidates) else { panic!() };
/// let step = placement.record_response(&candidates, engines[0], SlotResponse::Granted { load: 1 });
/// assert_eq!(step, PlacementStep::Dispatch { to: engines[0], with_slot: true, surplus: vec![] });
/// ```
#[derive(Clone, Debug)]
pub struct Placement {
    rules: PlacementRules,
    key: KeyHash,
    home: Home,
    phase: Phase,
    waiting: usize,
    granted: Vec<(usize, u32)>,
    estimated: Vec<(usize, u32)>,
    asked: Vec<usize>,
    ranks: Vec<usize>,
    any_answer: bool,
    over_share: bool,
    /// The home's owner has held an ask; once is enough.
    was_held: bool,
    pauses: usize,
}

impl Placement {
    /// A search for the chat `key`.
    pub fn new(rules: PlacementRules, key: KeyHash, home: Home) -> Self {
        Self {
            rules,
            key,
            home,
            phase: Phase::Home,
            waiting: 0,
            granted: Vec::new(),
            estimated: Vec::new(),
            asked: Vec::new(),
            ranks: Vec::new(),
            any_answer: false,
            over_share: false,
            was_held: false,
            pauses: 0,
        }
    }

    /// Begins the search.
    pub fn start(&mut self, candidates: &[EngineCandidate]) -> PlacementStep {
        let home = match self.home {
            Home::Hinted(home) => Some(home).filter(|home| *home < candidates.len()),
            Home::FirstRank => {
                self.rank(candidates);
                self.ranks.first().copied()
            }
            Home::Uncached => None,
        };
        match home {
            Some(home) => {
                self.phase = Phase::Home;
                self.request(vec![home], 0)
            }
            None => self.ask_others(candidates, 0),
        }
    }

    /// Takes an owner's answer.
    pub fn record_response(
        &mut self,
        candidates: &[EngineCandidate],
        engine: usize,
        answer: SlotResponse,
    ) -> PlacementStep {
        self.waiting = self.waiting.saturating_sub(1);
        match answer {
            SlotResponse::Granted { load } => {
                self.any_answer = true;
                self.granted.push((engine, load));
            }
            SlotResponse::AtBound { .. } => self.any_answer = true,
            SlotResponse::OverShare { .. } => {
                self.any_answer = true;
                self.over_share = true;
            }
            SlotResponse::Estimated { load } => {
                self.any_answer = true;
                self.estimated.push((engine, load));
            }
            SlotResponse::Unavailable => {}
        }
        if self.waiting > 0 {
            return PlacementStep::AwaitResponses;
        }
        if let Some(step) = self.dispatch(candidates) {
            return step;
        }
        self.refused(candidates, engine, answer)
    }

    /// Goes on after a pause: from the start.
    pub fn resume(&mut self, candidates: &[EngineCandidate]) -> PlacementStep {
        self.asked.clear();
        self.start(candidates)
    }

    /// Whether the engines asked now were picked by the chat's hash alone, and
    /// their loads are a fair sample of the pool's.
    pub fn requests_alternatives(&self) -> bool {
        matches!(self.phase, Phase::Others { .. })
    }

    fn request(&mut self, engines: Vec<usize>, wait_ms: u64) -> PlacementStep {
        self.waiting = engines.len();
        self.asked.extend(&engines);
        PlacementStep::RequestSlots { engines, wait_ms }
    }

    /// The least loaded engine that granted, by its weight; without any, the
    /// least loaded by this router's own requests.
    fn dispatch(&mut self, candidates: &[EngineCandidate]) -> Option<PlacementStep> {
        let relative =
            |(engine, load): &(usize, u32)| f64::from(*load) / candidates[*engine].weight;
        let least = |found: &[(usize, u32)]| {
            let least = found
                .iter()
                .min_by(|a, b| relative(a).total_cmp(&relative(b)));
            least.map(|(engine, _)| *engine)
        };
        let Some(to) = least(&self.granted) else {
            let to = least(&self.estimated)?;
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

    fn refused(
        &mut self,
        candidates: &[EngineCandidate],
        engine: usize,
        last: SlotResponse,
    ) -> PlacementStep {
        let is_at_bound = matches!(last, SlotResponse::AtBound { .. });
        match self.phase {
            Phase::Home if is_at_bound && self.rules.home_wait_ms > 0 && !self.was_held => {
                self.phase = Phase::HomeHeld;
                self.was_held = true;
                self.request(vec![engine], self.rules.home_wait_ms)
            }
            Phase::Home | Phase::HomeHeld => self.ask_others(candidates, 0),
            Phase::Others { round } => self.ask_others(candidates, round + 1),
        }
    }

    /// Asks a round of others, or ends the search if there is none left.
    fn ask_others(&mut self, candidates: &[EngineCandidate], round: usize) -> PlacementStep {
        // An organisation that has its share of the home and of three others
        // has it of the pool: asking on would cost traffic when it is dearest.
        let rounds = if self.over_share {
            1
        } else {
            self.rules.rounds
        };
        if round < rounds {
            self.phase = Phase::Others { round };
            let others = self.next_others(candidates);
            if !others.is_empty() {
                return self.request(others, 0);
            }
        }
        if !self.any_answer {
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

    /// The next ranks of the chat among engines not asked yet. Ranks spread
    /// as well as random picks and bring a chat back to where it once was.
    fn next_others(&mut self, candidates: &[EngineCandidate]) -> Vec<usize> {
        self.rank(candidates);
        let not_asked = self
            .ranks
            .iter()
            .filter(|engine| !self.asked.contains(engine));
        not_asked.take(self.rules.alternatives).copied().collect()
    }

    /// Ranks the engines, once, as far as the search may go.
    fn rank(&mut self, candidates: &[EngineCandidate]) {
        if self.ranks.is_empty() {
            let most = 1 + self.rules.alternatives * self.rules.rounds;
            self.ranks = best_ranks(self.key, candidates, most);
        }
    }
}

/// Whether an engine whose owner does not answer has room, by one router's own
/// requests: the router keeps its own share under the multiple of its own
/// mean, so that the sum of all routers' shares stays under it too. A router
/// with less than a request on each engine can tell nothing, and leaves the
/// engine alone: in a large fleet that is one engine in hundreds.
pub fn has_local_capacity(
    candidates: &[EngineCandidate],
    engine: usize,
    own_loads: &[u32],
    load_multiple: f64,
) -> bool {
    let total: u32 = own_loads.iter().sum();
    let weight: f64 = candidates.iter().map(|candidate| candidate.weight).sum();
    let own_mean = f64::from(total) / weight;
    let limit = (load_multiple * own_mean * candidates[engine].weight).floor();
    f64::from(own_loads[engine] + 1) <= limit
}

/// Chooses without any owner, by one router's own requests alone: the home
/// while it stays under the multiple of this router's mean, else the engine
/// with the fewest. Routers that each keep their own share balanced keep the
/// sum balanced, up to one request for each router.
pub fn choose_locally(
    candidates: &[EngineCandidate],
    home: Home,
    key: KeyHash,
    own_loads: &[u32],
    load_multiple: f64,
) -> Option<usize> {
    let total: u32 = own_loads.iter().sum();
    let weight: f64 = candidates.iter().map(|candidate| candidate.weight).sum();
    let mean = f64::from(total + 1) / weight;
    let is_under = |index: &usize| {
        let limit = (load_multiple * mean * candidates[*index].weight).ceil();
        f64::from(own_loads[*index] + 1) <= limit
    };
    let home = match home {
        Home::Hinted(index) => Some(index),
        Home::FirstRank => best_ranks(key, candidates, 1).first().copied(),
        Home::Uncached => None,
    };
    let relative = |index: usize| f64::from(own_loads[index]) / candidates[index].weight;
    let least = (0..candidates.len()).min_by(|a, b| relative(*a).total_cmp(&relative(*b)));
    home.filter(is_under).or(least)
}

/// The first `most` ranks of a chat, best first, in one pass.
///
/// Most members do not make it, and a comparison of their unit tells so: the
/// logarithm of the score is taken for the few that may. At 690 engines this
/// takes 6 µs in place of 13 (benches/placement.rs).
fn best_ranks(key: KeyHash, candidates: &[EngineCandidate], most: usize) -> Vec<usize> {
    let mut best: Vec<(f64, usize)> = Vec::with_capacity(most + 1);
    let mut pass = Pass {
        weight: 0.0,
        unit: 0.0,
    };
    for (i, candidate) in candidates.iter().enumerate() {
        let unit = unit_hash(key, candidate.hash);
        if candidate.weight == pass.weight && unit < pass.unit {
            continue;
        }
        let s = unit_score(unit, candidate.weight);
        let at = best.partition_point(|(better, _)| *better >= s);
        best.insert(at, (s, i));
        best.truncate(most);
        if let Some((worst, _)) = best.last().filter(|_| best.len() == most) {
            pass = Pass {
                weight: candidate.weight,
                unit: min_unit_for_score(*worst, candidate.weight),
            };
        }
    }
    best.into_iter().map(|(_, i)| i).collect()
}

/// What the unit of a member of this weight must reach to be among the best.
struct Pass {
    weight: f64,
    unit: f64,
}
