//! Agents on virtual time: the core's ledgers and load tables, and what
//! travels between hosts.

use std::collections::{HashMap, VecDeque};
use std::rc::Rc;

use chalkrock_core::{
    AskAnswer, Holder, OrganisationKey, OwnedEngine, Owner, SlotDecision, SlotRules, Step,
    has_own_room,
};
use rand::RngExt;

use super::engines::EngineId;
use super::scenario::SECOND_US;
use super::views::{HostNumber, View};
use super::world::{Event, Request, World};

/// Time between two rounds of the exchange, by the size of the fleet; the same
/// as the agent's.
const SMALL_FLEET_EVERY_US: u64 = SECOND_US / 4;
const LARGE_FLEET_EVERY_US: u64 = 3 * SECOND_US;
const SMALL_FLEET_HOSTS: usize = 16;
/// Entries in one message of the exchange, the same as the agent's.
const EXCHANGE_ENTRIES: usize = 16;
/// Bytes on the wire, read off the real sockets: see docs/CAPACITY.md.
const ASK_BYTES: u64 = 42;
const ANSWER_BYTES: u64 = 18;
const RETURN_BYTES: u64 = 62;
const EXCHANGE_BYTES: u64 = 30;
const ENTRY_BYTES: u64 = 14;
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

    fn ask(&mut self, engine: EngineId, holder: Holder<HostNumber>, now_ms: u64) -> AskAnswer {
        match self.owner.ask(&engine, holder, now_ms) {
            Some(SlotDecision::Granted { load }) => AskAnswer::Granted { load },
            Some(SlotDecision::AtBound { load }) => AskAnswer::AtBound { load },
            Some(SlotDecision::OverShare { load }) => AskAnswer::OverShare { load },
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
        let answer = match answer {
            AskAnswer::Absent => self.estimate(request, index),
            answer => answer,
        };
        if let Some(load) = answer
            .load_before()
            .filter(|_| self.requests[request].placement.asks_others())
        {
            let host = self.requests[request].host;
            self.samplers[host].sample(f64::from(load) / view.options[index].weight);
        }
        let step = self.requests[request]
            .placement
            .answered(&view.options, index, answer);
        self.take_step(request, step);
    }

    /// Without an owner, an engine is judged by the router's own requests.
    fn estimate(&self, request: usize, index: usize) -> AskAnswer {
        let Request { host, view, .. } = &self.requests[request];
        let busy: Vec<u32> = view
            .engines
            .iter()
            .map(|id| self.busy[*host][*id])
            .collect();
        match has_own_room(&view.options, index, &busy, self.setup.load_multiple) {
            true => AskAnswer::Estimated { load: busy[index] },
            false => AskAnswer::Absent,
        }
    }

    fn take_step(&mut self, request: usize, step: Step) {
        let view = self.requests[request].view.clone();
        match step {
            Step::Ask { engines, wait_ms } => {
                for index in engines {
                    self.send_ask(request, view.engines[index], view.owners[index], wait_ms);
                }
            }
            Step::Dispatch {
                to,
                with_slot,
                give_back,
            } => {
                for index in give_back {
                    self.send_give_back(request, view.engines[index]);
                }
                if with_slot {
                    self.hold(request, view.engines[to]);
                }
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
            Step::RefuseOverShare => {
                self.tally.over_share += 1;
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
        self.send(host, owner, ASK_BYTES);
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
        let holder = self.holder_of(request);
        let now_ms = self.clock.now_ms();
        if let Some(mean) = self.samplers[holder.host].mean() {
            self.agents[owner].owner.take_sample(mean);
        }
        let answer = self.agents[owner].ask(engine, holder, now_ms);
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
        self.send(owner, self.requests[request].host, ANSWER_BYTES);
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
        let holder = self.holder_of(request);
        let answer = self.agents[owner].ask(engine, holder, self.clock.now_ms());
        self.send_answer(request, engine, owner, answer);
    }

    pub(crate) fn give_back_reaches(
        &mut self,
        owner: HostNumber,
        engine: EngineId,
        holder: Holder<HostNumber>,
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
        let holder = self.holder_of(request);
        let answer = self.agents[owner].ask(engine, holder, self.clock.now_ms());
        if let AskAnswer::Granted { .. } = answer {
            if let Some(waiting) = self.agents[owner].waiting.get_mut(&engine) {
                waiting.pop_front();
            }
            self.send_answer(request, engine, owner, answer);
        }
    }

    /// Gives a slot back to who owns the engine now, as the host sees it.
    pub(crate) fn send_give_back(&mut self, request: usize, engine: EngineId) {
        let holder = self.holder_of(request);
        if let Some(owner) = self.views[holder.host].owner(engine) {
            self.send(holder.host, owner, RETURN_BYTES);
            let delay_us = self.delay_us(holder.host, owner);
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

    pub(crate) fn exchange_every_us(&self) -> u64 {
        match self.setup.routers < SMALL_FLEET_HOSTS {
            true => SMALL_FLEET_EVERY_US,
            false => LARGE_FLEET_EVERY_US,
        }
    }

    pub(crate) fn exchange(&mut self, host: HostNumber) {
        let every_us = self.exchange_every_us();
        self.clock.after(every_us, Event::Exchange { host });
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
        self.send(host, peer, EXCHANGE_BYTES + ENTRY_BYTES * sent.len() as u64);
        self.send(
            peer,
            host,
            EXCHANGE_BYTES + ENTRY_BYTES * answer.len() as u64,
        );
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
    fn send_adoptions(&mut self, host: HostNumber, before: &View, view: &View) {
        for (engine, organisation, count) in self.held_by(host) {
            let (Some(old), Some(owner)) = (before.owner(engine), view.owner(engine)) else {
                continue;
            };
            if old != owner {
                self.send_adoption(owner, engine, Holder { host, organisation }, count);
            }
        }
    }

    /// After an agent came back: what each host holds of its engines. In real
    /// processes the broken connection tells the router.
    pub(crate) fn readopt(&mut self, owner: HostNumber) {
        for host in 0..self.setup.routers {
            for (engine, organisation, count) in self.held_by(host) {
                if self.views[host].owner(engine) == Some(owner) {
                    self.send_adoption(owner, engine, Holder { host, organisation }, count);
                }
            }
        }
    }

    fn send_adoption(
        &mut self,
        owner: HostNumber,
        engine: EngineId,
        holder: Holder<HostNumber>,
        count: u32,
    ) {
        self.send(holder.host, owner, RETURN_BYTES);
        let delay_us = self.delay_us(holder.host, owner);
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

    fn held_by(&self, host: HostNumber) -> Vec<(EngineId, OrganisationKey, u32)> {
        let held = self.held[host].iter();
        held.map(|((engine, organisation), count)| (*engine, *organisation, *count))
            .collect()
    }

    /// Bytes from one host to another count at both.
    fn send(&mut self, from: HostNumber, to: HostNumber, bytes: u64) {
        self.tally.control_bytes[from] += bytes;
        if from != to {
            self.tally.control_bytes[to] += bytes;
        }
    }

    pub(crate) fn holder_of(&self, request: usize) -> Holder<HostNumber> {
        let request = &self.requests[request];
        Holder {
            host: request.host,
            organisation: request.organisation,
        }
    }

    /// The request holds a slot of its engine.
    fn hold(&mut self, request: usize, engine: EngineId) {
        self.requests[request].holds_slot = true;
        let Holder { host, organisation } = self.holder_of(request);
        *self.held[host].entry((engine, organisation)).or_insert(0) += 1;
    }

    /// The request's slot goes back.
    pub(crate) fn let_go(&mut self, request: usize, engine: EngineId) {
        if !std::mem::take(&mut self.requests[request].holds_slot) {
            return;
        }
        let Holder { host, organisation } = self.holder_of(request);
        if let Some(count) = self.held[host].get_mut(&(engine, organisation)) {
            *count -= 1;
            if *count == 0 {
                self.held[host].remove(&(engine, organisation));
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
