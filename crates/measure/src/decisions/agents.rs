//! Agents on virtual time: the core's ledgers and load tables, and what
//! travels between hosts.

use std::collections::{HashMap, VecDeque};
use std::rc::Rc;

use chalkrock_core::{AskAnswer, OwnedEngine, Owner, SlotDecision, SlotRules, Step};
use rand::RngExt;

use super::engines::EngineId;
use super::scenario::SECOND_US;
use super::views::{HostNumber, View};
use super::world::{Event, Request, World};

/// Time between two rounds of the exchange.
pub(crate) const EXCHANGE_EVERY_US: u64 = SECOND_US / 10;
/// Entries in one message of the exchange.
const EXCHANGE_ENTRIES: usize = 48;
/// An owner that does not answer is given up after this.
const ASK_TIMEOUT_US: u64 = 10_000;

/// The control work of one host.
pub(crate) struct Agent {
    pub(crate) up: bool,
    pub(crate) owner: Owner<HostNumber, EngineId>,
    /// Asks that wait for a slot, the oldest first.
    waiting: HashMap<EngineId, VecDeque<usize>>,
}

impl Agent {
    pub(crate) fn new(host: HostNumber, rules: SlotRules) -> Self {
        Self {
            up: true,
            owner: Owner::new(host, rules),
            waiting: HashMap::new(),
        }
    }

    fn ask(&mut self, engine: EngineId, holder: HostNumber, now_ms: u64) -> AskAnswer {
        match self.owner.ask(&engine, holder, now_ms) {
            Some(SlotDecision::Granted { load }) => AskAnswer::Granted { load },
            Some(SlotDecision::AtBound { load }) => AskAnswer::AtBound { load },
            Some(SlotDecision::Settling) | None => AskAnswer::Absent,
        }
    }

    fn take_view(&mut self, host: HostNumber, view: &View, now_ms: u64) {
        let mut owned = Vec::new();
        let mut others = Vec::new();
        for (index, engine) in view.engines.iter().enumerate() {
            if view.owners[index] == host {
                owned.push(OwnedEngine {
                    engine: *engine,
                    weight: view.options[index].weight,
                });
            } else {
                others.push(*engine);
            }
        }
        self.owner.take_view(&view.hosts, &owned, &others, now_ms);
    }
}

impl World {
    pub(crate) fn start_placement(&mut self, request: usize) {
        let Request { view, .. } = &self.requests[request];
        let view = view.clone();
        let step = self.requests[request].placement.start(&view.options);
        self.take_step(request, step);
    }

    pub(crate) fn resume(&mut self, request: usize) {
        let view = self.requests[request].view.clone();
        let step = self.requests[request].placement.resume(&view.options);
        self.take_step(request, step);
    }

    pub(crate) fn answer_reaches(&mut self, request: usize, engine: EngineId, answer: AskAnswer) {
        let view = self.requests[request].view.clone();
        let Some(index) = view.index(engine) else {
            return;
        };
        let step = self.requests[request]
            .placement
            .answered(&view.options, index, answer);
        self.take_step(request, step);
    }

    fn take_step(&mut self, request: usize, step: Step) {
        let view = self.requests[request].view.clone();
        match step {
            Step::Ask { engines, wait_ms } => {
                for index in engines {
                    self.send_ask(request, view.engines[index], view.owners[index], wait_ms);
                }
            }
            Step::Dispatch { to, give_back } => {
                for index in give_back {
                    self.send_give_back(request, view.engines[index]);
                }
                self.hold(request, view.engines[to]);
                self.begin(request, view.engines[to]);
            }
            Step::Pause { pause_ms } => {
                self.clock
                    .after(pause_ms * 1_000, Event::Resume { request });
            }
            Step::Await => {}
            Step::RefuseAtBound => {
                self.tally.refused += 1;
                self.forget(request);
            }
            Step::NoOwner => self.fall_back(request),
        }
    }

    /// No owner answers: go by the newest report, as the engine's own view
    /// of its load is all that is left.
    fn fall_back(&mut self, request: usize) {
        self.tally.fallbacks += 1;
        let view = self.requests[request].view.clone();
        let index = self.rng.random_range(0..view.engines.len());
        self.begin(request, view.engines[index]);
    }

    fn send_ask(&mut self, request: usize, engine: EngineId, owner: HostNumber, wait_ms: u64) {
        self.tally.asks += 1;
        let host = self.requests[request].host;
        if !self.agents[owner].up {
            let answer = AskAnswer::Absent;
            self.clock.after(
                ASK_TIMEOUT_US,
                Event::AnswerReaches {
                    request,
                    engine,
                    answer,
                },
            );
            return;
        }
        let delay_us = self.delay_us(host, owner);
        self.clock.after(
            delay_us,
            Event::AskReaches {
                request,
                engine,
                owner,
                wait_ms,
            },
        );
    }

    pub(crate) fn ask_reaches(
        &mut self,
        request: usize,
        engine: EngineId,
        owner: HostNumber,
        wait_ms: u64,
    ) {
        let host = self.requests[request].host;
        let now_ms = self.clock.now_ms();
        let answer = self.agents[owner].ask(engine, host, now_ms);
        if wait_ms > 0 && matches!(answer, AskAnswer::AtBound { .. }) {
            self.agents[owner]
                .waiting
                .entry(engine)
                .or_default()
                .push_back(request);
            self.clock.after(
                wait_ms * 1_000,
                Event::WaitEnds {
                    request,
                    engine,
                    owner,
                },
            );
            return;
        }
        self.send_answer(request, engine, owner, answer);
    }

    fn send_answer(
        &mut self,
        request: usize,
        engine: EngineId,
        owner: HostNumber,
        answer: AskAnswer,
    ) {
        let delay_us = self.delay_us(owner, self.requests[request].host);
        self.clock.after(
            delay_us,
            Event::AnswerReaches {
                request,
                engine,
                answer,
            },
        );
    }

    /// A held ask has waited long enough: one last look, then the answer.
    pub(crate) fn wait_ends(&mut self, request: usize, engine: EngineId, owner: HostNumber) {
        let Some(waiting) = self.agents[owner].waiting.get_mut(&engine) else {
            return;
        };
        let Some(place) = waiting.iter().position(|waiter| *waiter == request) else {
            return;
        };
        waiting.remove(place);
        let host = self.requests[request].host;
        let answer = self.agents[owner].ask(engine, host, self.clock.now_ms());
        self.send_answer(request, engine, owner, answer);
    }

    pub(crate) fn give_back_reaches(
        &mut self,
        owner: HostNumber,
        engine: EngineId,
        holder: HostNumber,
    ) {
        let now_ms = self.clock.now_ms();
        self.agents[owner]
            .owner
            .give_back(&engine, &holder, 1, now_ms);
        self.serve_waiting(owner, engine);
    }

    /// A slot is free: the ask that waited longest gets it.
    fn serve_waiting(&mut self, owner: HostNumber, engine: EngineId) {
        let waiting = self.agents[owner].waiting.get(&engine);
        let Some(request) = waiting.and_then(|waiting| waiting.front().copied()) else {
            return;
        };
        let host = self.requests[request].host;
        let answer = self.agents[owner].ask(engine, host, self.clock.now_ms());
        if let AskAnswer::Granted { .. } = answer {
            if let Some(waiting) = self.agents[owner].waiting.get_mut(&engine) {
                waiting.pop_front();
            }
            self.send_answer(request, engine, owner, answer);
        }
    }

    /// Gives a slot back to who owns the engine now, as the host sees it.
    pub(crate) fn send_give_back(&mut self, request: usize, engine: EngineId) {
        let holder = self.requests[request].host;
        if let Some(owner) = self.views[holder].owner(engine) {
            let delay_us = self.delay_us(holder, owner);
            self.clock.after(
                delay_us,
                Event::GiveBackReaches {
                    owner,
                    engine,
                    holder,
                },
            );
        }
    }

    pub(crate) fn exchange(&mut self, host: HostNumber) {
        self.clock
            .after(EXCHANGE_EVERY_US, Event::Exchange { host });
        let peer = self.rng.random_range(0..self.setup.routers);
        let half = self.setup.routers / 2;
        let unseen = self.split && (host < half) != (peer < half);
        if peer == host || unseen || !self.agents[host].up || !self.agents[peer].up {
            return;
        }
        let now_ms = self.clock.now_ms();
        let sent = self.agents[host]
            .owner
            .table(now_ms)
            .freshest(now_ms, EXCHANGE_ENTRIES);
        let answer = self.agents[peer]
            .owner
            .table(now_ms)
            .freshest(now_ms, EXCHANGE_ENTRIES);
        self.agents[peer].owner.table(now_ms).merge(&sent, now_ms);
        self.agents[host].owner.table(now_ms).merge(&answer, now_ms);
    }

    /// A host takes a view over; its router tells new owners what it holds.
    pub(crate) fn take_view(&mut self, host: HostNumber, view: Rc<View>) {
        if view.number < self.views[host].number {
            return;
        }
        let before = std::mem::replace(&mut self.views[host], view.clone());
        let now_ms = self.clock.now_ms();
        if self.agents[host].up {
            self.agents[host].take_view(host, &view, now_ms);
        }
        if self.setup.adopt {
            self.send_adoptions(host, &before, &view);
        }
    }

    /// After a change of view: what the host holds of engines that moved.
    fn send_adoptions(&mut self, holder: HostNumber, before: &View, view: &View) {
        for (engine, count) in self.held_by(holder) {
            let (Some(old), Some(owner)) = (before.owner(engine), view.owner(engine)) else {
                continue;
            };
            if old != owner {
                self.send_adoption(owner, engine, holder, count);
            }
        }
    }

    /// After an agent came back: what each host holds of its engines. In real
    /// processes the broken connection tells the router.
    pub(crate) fn readopt(&mut self, owner: HostNumber) {
        for holder in 0..self.setup.routers {
            for (engine, count) in self.held_by(holder) {
                if self.views[holder].owner(engine) == Some(owner) {
                    self.send_adoption(owner, engine, holder, count);
                }
            }
        }
    }

    fn send_adoption(
        &mut self,
        owner: HostNumber,
        engine: EngineId,
        holder: HostNumber,
        count: u32,
    ) {
        let delay_us = self.delay_us(holder, owner);
        self.clock.after(
            delay_us,
            Event::AdoptReaches {
                owner,
                engine,
                holder,
                count,
            },
        );
    }

    fn held_by(&self, holder: HostNumber) -> Vec<(EngineId, u32)> {
        self.held[holder]
            .iter()
            .map(|(engine, count)| (*engine, *count))
            .collect()
    }

    /// The request holds a slot of its engine.
    fn hold(&mut self, request: usize, engine: EngineId) {
        self.requests[request].holds_slot = true;
        *self.held[self.requests[request].host]
            .entry(engine)
            .or_insert(0) += 1;
    }

    /// The request's slot goes back.
    pub(crate) fn let_go(&mut self, request: usize, engine: EngineId) {
        if !std::mem::take(&mut self.requests[request].holds_slot) {
            return;
        }
        let held = &mut self.held[self.requests[request].host];
        if let Some(count) = held.get_mut(&engine) {
            *count -= 1;
            if *count == 0 {
                held.remove(&engine);
            }
        }
        self.send_give_back(request, engine);
    }

    pub(crate) fn restart_agent(&mut self, host: HostNumber) {
        let before = std::mem::replace(&mut self.agents[host], Agent::new(host, self.setup.slots));
        for (engine, requests) in before.waiting {
            for request in requests {
                self.send_answer(request, engine, host, AskAnswer::Absent);
            }
        }
    }
}
