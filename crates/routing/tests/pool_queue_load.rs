//! What callers of a small pool get under load, with messages that take 2 ms.
//!
//! 76 hosts send calls of 60 ms to 4 endpoints of 6 slots, whose queues hold 3 more.
//! Callers have an objective of 300 ms and a deadline of 1,500 ms. One that is rejected
//! returns once, to any host, if the time is within a third of what is left.

use std::collections::{BTreeMap, VecDeque};

use chalkrock_core::rendezvous::MemberHash;
use chalkrock_routing::{
    Candidate, HeldLease, PlacementRequest, PoolScheduler, SchedulableEndpoint, SlotAsk, SlotReply,
    SpreadRules, TicketId, WaitingRequest, choose_endpoint,
};
use googletest::prelude::*;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

const HOSTS: usize = 76;
const ENDPOINTS: usize = 4;
const SLOTS: usize = 6;
const ENDPOINT_QUEUE: usize = 3;
const SERVICE_MS: f64 = 60.0;
const MAX_SERVICE_MS: f64 = 450.0;
const OBJECTIVE_MS: u64 = 300;
const DEADLINE_MS: u64 = 1_500;
const MESSAGE_MS: u64 = 2;
/// Time before the objective at which a call has to start.
const START_MARGIN_MS: u64 = 60;
const HEARTBEAT_MS: u64 = 100;
const REPORT_MS: u64 = 200;
const WARM_UP_MS: u64 = 1_000;
const DURATION_MS: u64 = 6_000;
/// Requests a millisecond that the pool serves.
const CAPACITY: f64 = (ENDPOINTS * SLOTS) as f64 / SERVICE_MS;

/// How hosts place calls.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Way {
    /// The least loaded endpoint by reports that are up to 200 ms old.
    Guess,
    /// Each host starts its part of the pool's rate.
    Divided,
    /// By the pool's scheduler.
    Scheduler,
}

/// Calls of one kind; `rate` is relative to the capacity.
#[derive(Clone, Copy)]
struct Load {
    organisation: u32,
    rank: u8,
    rate: f64,
    from_ms: u64,
}

impl Load {
    fn new(organisation: u32, rank: u8, rate: f64) -> Self {
        Load {
            organisation,
            rank,
            rate,
            from_ms: 0,
        }
    }
}

#[derive(Clone, Debug)]
struct Call {
    fingerprint: u64,
    organisation: u32,
    rank: u8,
    arrived_ms: u64,
    /// When this attempt of the caller arrived.
    attempt_ms: u64,
    deadline_ms: u64,
    service_ms: u64,
    returns: u32,
    tried: Vec<usize>,
}

#[derive(Default)]
struct Host {
    waiting: BTreeMap<TicketId, Call>,
    running: BTreeMap<TicketId, (usize, Call)>,
    sequence: u64,
    asked_ms: u64,
    has_news: bool,
    next_ticket: u32,
    /// When its part of the pool allows another start.
    next_start_ms: f64,
    in_progress: [u32; ENDPOINTS],
    admit_permille: BTreeMap<u32, (u16, u32)>,
}

/// One slot of an endpoint: who runs and until when.
#[derive(Clone, Copy, Default)]
struct Slot {
    run: Option<(usize, TicketId, u64)>,
    idle_ms: u64,
}

#[derive(Default)]
struct EndpointState {
    slots: [Slot; SLOTS],
    queue: VecDeque<(usize, TicketId, u64)>,
}

impl EndpointState {
    fn load(&self) -> usize {
        self.slots.iter().filter(|slot| slot.run.is_some()).count() + self.queue.len()
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct Tally {
    arrived: u32,
    in_objective: u32,
    late: u32,
    rejected: u32,
}

impl Tally {
    fn served_ratio(&self) -> f64 {
        f64::from(self.in_objective) / f64::from(self.arrived.max(1))
    }
}

#[derive(Default)]
struct Outcome {
    by_load: BTreeMap<(u32, u8), Tally>,
    returned: u32,
    refused_again: u32,
    refused_by_endpoint: u32,
    most_at_endpoint: usize,
    longest_idle_ms: u64,
    idle_slot_ms: u64,
    asks: u64,
    gated: u32,
}

impl Outcome {
    fn total(&self) -> Tally {
        self.by_load
            .values()
            .fold(Tally::default(), |sum, tally| Tally {
                arrived: sum.arrived + tally.arrived,
                in_objective: sum.in_objective + tally.in_objective,
                late: sum.late + tally.late,
                rejected: sum.rejected + tally.rejected,
            })
    }

    /// Calls served in time relative to what the pool can serve.
    fn of_capacity(&self) -> f64 {
        f64::from(self.total().in_objective) / (CAPACITY * (DURATION_MS - WARM_UP_MS) as f64)
    }

    fn refused_again_ratio(&self) -> f64 {
        f64::from(self.refused_again) / f64::from(self.returned.max(1))
    }
}

enum Message {
    Ask(usize, SlotAsk),
    Reply(usize, SlotReply),
}

struct Play {
    way: Way,
    rng: StdRng,
    now_ms: u64,
    hosts: Vec<Host>,
    endpoints: Vec<EndpointState>,
    reported: [u32; ENDPOINTS],
    scheduler: PoolScheduler<usize>,
    messages: VecDeque<(u64, Message)>,
    returning: BTreeMap<u64, Vec<Call>>,
    offered: f64,
    outcome: Outcome,
}

fn hash(endpoint: usize) -> u32 {
    100 + endpoint as u32
}

fn index(hash: u32) -> usize {
    hash as usize - 100
}

fn play(way: Way, loads: &[Load]) -> Outcome {
    let mut play = Play {
        way,
        rng: StdRng::seed_from_u64(7),
        now_ms: 0,
        hosts: (0..HOSTS).map(|_| Host::default()).collect(),
        endpoints: (0..ENDPOINTS).map(|_| EndpointState::default()).collect(),
        reported: [0; ENDPOINTS],
        scheduler: PoolScheduler::new(1, 0),
        messages: VecDeque::new(),
        returning: BTreeMap::new(),
        offered: loads.iter().map(|load| load.rate).sum(),
        outcome: Outcome::default(),
    };
    let mut arrivals = vec![0.0; loads.len()];
    for now_ms in 0..DURATION_MS {
        play.now_ms = now_ms;
        play.end_calls();
        for (load, next_ms) in loads.iter().zip(&mut arrivals) {
            if now_ms < load.from_ms {
                *next_ms = now_ms as f64;
            }
            while *next_ms <= now_ms as f64 {
                play.arrive_new(load);
                let mean_ms = 1.0 / (load.rate * CAPACITY);
                *next_ms += play.exponential(mean_ms);
            }
        }
        for call in play.returning.remove(&now_ms).unwrap_or_default() {
            play.arrive(call);
        }
        match way {
            Way::Guess => {}
            Way::Divided => play.start_divided(),
            Way::Scheduler => play.exchange(),
        }
        play.check_endpoints();
    }
    play.outcome
}

impl Play {
    fn exponential(&mut self, mean: f64) -> f64 {
        -mean * (1.0 - self.rng.random::<f64>()).ln()
    }

    fn is_counted(&self) -> bool {
        self.now_ms >= WARM_UP_MS
    }

    fn tally(&mut self, call: &Call) -> Option<&mut Tally> {
        let key = (call.organisation, call.rank);
        (call.arrived_ms >= WARM_UP_MS).then(|| self.outcome.by_load.entry(key).or_default())
    }

    fn arrive_new(&mut self, load: &Load) {
        let service_ms = self.exponential(SERVICE_MS).clamp(1.0, MAX_SERVICE_MS) as u64;
        let call = Call {
            fingerprint: self.rng.random(),
            organisation: load.organisation,
            rank: load.rank,
            arrived_ms: self.now_ms,
            attempt_ms: self.now_ms,
            deadline_ms: self.now_ms + DEADLINE_MS,
            service_ms,
            returns: 0,
            tried: Vec::new(),
        };
        if let Some(tally) = self.tally(&call) {
            tally.arrived += 1;
        }
        self.arrive(call);
    }

    fn arrive(&mut self, mut call: Call) {
        call.attempt_ms = self.now_ms;
        let host = self.rng.random_range(0..HOSTS);
        let gate = self.hosts[host].admit_permille.get(&call.organisation);
        if let Some(&(admit, retry_after_ms)) = gate
            && call.returns == 0
            && self.rng.random_range(0..1_000) >= u32::from(admit)
        {
            self.outcome.gated += 1;
            return self.refuse(call, retry_after_ms);
        }
        let state = &mut self.hosts[host];
        state.next_ticket += 1;
        let ticket = TicketId(state.next_ticket);
        state.has_news = true;
        match self.way {
            Way::Guess => self.guess(host, ticket, call),
            Way::Divided | Way::Scheduler => {
                state.waiting.insert(ticket, call);
            }
        }
    }

    /// Ends a call's attempt; the caller may return.
    fn refuse(&mut self, mut call: Call, retry_after_ms: u32) {
        if call.returns > 0 && self.is_counted() {
            self.outcome.refused_again += 1;
        }
        let left_ms = call.deadline_ms.saturating_sub(self.now_ms);
        if call.returns > 0 || u64::from(retry_after_ms) > left_ms / 3 {
            if let Some(tally) = self.tally(&call) {
                tally.rejected += 1;
            }
            return;
        }
        if self.is_counted() {
            self.outcome.returned += 1;
        }
        call.returns += 1;
        call.tried.clear();
        // A caller's timer adds up to some milliseconds.
        let at_ms = self.now_ms + u64::from(retry_after_ms.max(1)) + self.rng.random_range(0..5);
        self.returning.entry(at_ms).or_default().push(call);
    }

    /// Sends a call to an endpoint; false if that is full.
    fn start(&mut self, host: usize, ticket: TicketId, call: Call, endpoint: usize) -> bool {
        let state = &mut self.endpoints[endpoint];
        if state.load() >= SLOTS + ENDPOINT_QUEUE {
            self.outcome.refused_by_endpoint += 1;
            return false;
        }
        state.queue.push_back((host, ticket, call.service_ms));
        self.hosts[host].in_progress[endpoint] += 1;
        self.hosts[host].running.insert(ticket, (endpoint, call));
        true
    }

    fn end_calls(&mut self) {
        for endpoint in 0..ENDPOINTS {
            for slot in 0..SLOTS {
                let slot = &mut self.endpoints[endpoint].slots[slot];
                let Some((host, ticket, _)) = slot.run.filter(|run| run.2 <= self.now_ms) else {
                    continue;
                };
                slot.run = None;
                let state = &mut self.hosts[host];
                state.in_progress[endpoint] -= 1;
                state.has_news = true;
                let Some((_, call)) = state.running.remove(&ticket) else {
                    continue;
                };
                let is_in_time = self.now_ms - call.attempt_ms <= OBJECTIVE_MS;
                if let Some(tally) = self.tally(&call) {
                    if is_in_time {
                        tally.in_objective += 1;
                    } else {
                        tally.late += 1;
                    }
                }
            }
        }
    }

    /// Starts queued calls on free slots and watches for idle ones.
    fn check_endpoints(&mut self) {
        let asked_before_ms = self.now_ms.saturating_sub(2 * MESSAGE_MS + 1);
        let somebody_waits = self.hosts.iter().any(|host| {
            let mut waiting = host.waiting.values();
            waiting.any(|call| call.attempt_ms < asked_before_ms)
        });
        let is_counted = self.is_counted();
        for endpoint in &mut self.endpoints {
            self.outcome.most_at_endpoint = self.outcome.most_at_endpoint.max(endpoint.load());
            for slot in &mut endpoint.slots {
                if slot.run.is_none()
                    && let Some((host, ticket, service_ms)) = endpoint.queue.pop_front()
                {
                    slot.run = Some((host, ticket, self.now_ms + service_ms));
                }
                if slot.run.is_some() || !somebody_waits {
                    slot.idle_ms = 0;
                } else if is_counted {
                    slot.idle_ms += 1;
                    self.outcome.idle_slot_ms += 1;
                    let longest_ms = &mut self.outcome.longest_idle_ms;
                    *longest_ms = (*longest_ms).max(slot.idle_ms);
                }
            }
        }
        if self.now_ms.is_multiple_of(REPORT_MS) {
            for endpoint in 0..ENDPOINTS {
                let counts = self.hosts.iter().map(|host| host.in_progress[endpoint]);
                self.reported[endpoint] = counts.sum();
            }
        }
    }

    fn guess(&mut self, host: usize, ticket: TicketId, mut call: Call) {
        const MAX_ATTEMPTS: usize = 2;
        for _ in 0..MAX_ATTEMPTS {
            let candidates: Vec<Candidate> = (0..ENDPOINTS)
                .map(|endpoint| Candidate {
                    hash: MemberHash::of(&endpoint.to_string()),
                    load: self.reported[endpoint].max(self.hosts[host].in_progress[endpoint]),
                    slots: SLOTS as u32,
                    is_same_zone: true,
                    is_suspect: false,
                    holds_prefix: false,
                    is_closed: call.tried.contains(&endpoint),
                })
                .collect();
            let request = PlacementRequest {
                key: None,
                unreported_arrivals: self.offered * CAPACITY * (REPORT_MS / 2) as f64,
                draw: self.rng.random(),
            };
            let placed = choose_endpoint(&candidates, &request, &SpreadRules::default());
            let Some(endpoint) = placed.map(|placement| placement.index) else {
                break;
            };
            if self.start(host, ticket, call.clone(), endpoint) {
                return;
            }
            call.tried.push(endpoint);
        }
        let retry_after_ms = self.rng.random_range(300..1_000);
        self.refuse(call, retry_after_ms);
    }

    fn start_divided(&mut self) {
        let now_ms = self.now_ms;
        let interval_ms = HOSTS as f64 / CAPACITY;
        for host in 0..HOSTS {
            let state = &mut self.hosts[host];
            let overdue: Vec<TicketId> = state
                .waiting
                .iter()
                .filter(|(_, call)| now_ms + START_MARGIN_MS > call.attempt_ms + OBJECTIVE_MS)
                .map(|(&ticket, _)| ticket)
                .collect();
            for ticket in overdue {
                let call = self.hosts[host].waiting.remove(&ticket).expect("a call");
                let retry_after_ms = self.rng.random_range(300..1_000);
                self.refuse(call, retry_after_ms);
            }
            let state = &mut self.hosts[host];
            if state.next_start_ms > now_ms as f64 {
                continue;
            }
            if let Some((ticket, call)) = state.waiting.pop_first() {
                state.next_start_ms = now_ms as f64 + interval_ms;
                let least = (0..ENDPOINTS).min_by_key(|&endpoint| self.reported[endpoint]);
                let offset = self.rng.random_range(0..ENDPOINTS);
                let endpoint = (least.expect("an endpoint") + offset) % ENDPOINTS;
                if !self.start(host, ticket, call.clone(), endpoint) {
                    let retry_after_ms = self.rng.random_range(300..1_000);
                    self.refuse(call, retry_after_ms);
                }
            }
        }
    }

    /// Delivers messages, lets hosts ask, and runs the scheduler.
    fn exchange(&mut self) {
        let now_ms = self.now_ms;
        let due = self.messages.iter().take_while(|(at, _)| *at <= now_ms);
        let due = due.count();
        let messages: Vec<_> = self.messages.drain(..due).collect();
        for (_, message) in messages {
            match message {
                Message::Ask(host, ask) => {
                    self.scheduler.ask(host, ask, now_ms);
                }
                Message::Reply(host, reply) => self.apply(host, reply),
            }
        }
        let listed: Vec<SchedulableEndpoint> = (0..ENDPOINTS)
            .map(|endpoint| SchedulableEndpoint {
                endpoint: hash(endpoint),
                slots: SLOTS as u32,
                in_progress: self.reported[endpoint],
                is_open: true,
            })
            .collect();
        self.scheduler.set_endpoints(&listed, now_ms);
        for host in self.scheduler.schedule(now_ms) {
            if let Some(reply) = self.scheduler.reply(&host, now_ms) {
                let message = Message::Reply(host, reply);
                self.messages.push_back((now_ms + MESSAGE_MS, message));
            }
        }
        for host in 0..HOSTS {
            self.send_ask(host);
        }
    }

    fn send_ask(&mut self, host: usize) {
        let now_ms = self.now_ms;
        let state = &mut self.hosts[host];
        let has_any = !state.waiting.is_empty() || !state.running.is_empty();
        let is_due = has_any && now_ms - state.asked_ms >= HEARTBEAT_MS;
        if !state.has_news && !is_due {
            return;
        }
        state.has_news = false;
        state.asked_ms = now_ms;
        state.sequence += 1;
        let waiting = state.waiting.iter().map(|(&ticket, call)| WaitingRequest {
            ticket,
            rank: call.rank,
            organisation: call.organisation,
            start_within_ms: (call.attempt_ms + OBJECTIVE_MS - START_MARGIN_MS)
                .saturating_sub(now_ms) as u32,
            work_ms: SERVICE_MS as u32,
            fingerprint: call.fingerprint,
            tried: call.tried.iter().map(|&endpoint| hash(endpoint)).collect(),
        });
        let held = state
            .running
            .iter()
            .map(|(&ticket, (endpoint, call))| HeldLease {
                ticket,
                endpoint: hash(*endpoint),
                organisation: call.organisation,
            });
        let ask = SlotAsk {
            pool: 1,
            incarnation: 1,
            sequence: state.sequence,
            waiting: waiting.collect(),
            held: held.collect(),
        };
        self.outcome.asks += 1;
        let message = Message::Ask(host, ask);
        self.messages.push_back((now_ms + MESSAGE_MS, message));
    }

    fn apply(&mut self, host: usize, reply: SlotReply) {
        let gates = reply.gates.iter();
        self.hosts[host].admit_permille = gates
            .map(|gate| {
                (
                    gate.organisation,
                    (gate.admit_permille, gate.retry_after_ms),
                )
            })
            .collect();
        for grant in reply.granted {
            let Some(mut call) = self.hosts[host].waiting.remove(&grant.ticket) else {
                continue;
            };
            let endpoint = index(grant.endpoint);
            if !self.start(host, grant.ticket, call.clone(), endpoint) {
                call.tried.push(endpoint);
                self.hosts[host].waiting.insert(grant.ticket, call);
                self.hosts[host].has_news = true;
            }
        }
        for rejection in reply.rejected {
            if let Some(call) = self.hosts[host].waiting.remove(&rejection.ticket) {
                self.refuse(call, rejection.retry_after_ms);
            }
        }
    }
}

/// One organisation sends most calls, 20 others the rest.
fn small_and_large(small: f64, large: f64) -> Vec<Load> {
    let mut loads: Vec<Load> = (1..=20)
        .map(|organisation| Load::new(organisation, 1, small / 20.0))
        .collect();
    loads.push(Load::new(99, 1, large));
    loads
}

fn even(rate: f64) -> Vec<Load> {
    (1..=20)
        .map(|organisation| Load::new(organisation, 1, rate / 20.0))
        .collect()
}

/// Guards against slots that stay idle while calls wait, and against queues at endpoints.
#[gtest]
fn scheduler_serves_at_capacity_under_any_load() {
    for rate in [1.0, 2.5, 10.0] {
        let outcome = play(Way::Scheduler, &even(rate));
        println!(
            "{rate}x: {:.3} of capacity, late {}, longest idle {} ms, idle {:.4}, most {}, asks {}, gated {}, returned {}, again {:.3}",
            outcome.of_capacity(),
            outcome.total().late,
            outcome.longest_idle_ms,
            outcome.idle_slot_ms as f64 / ((DURATION_MS - WARM_UP_MS) * 24) as f64,
            outcome.most_at_endpoint,
            outcome.asks,
            outcome.gated,
            outcome.returned,
            outcome.refused_again_ratio(),
        );
    }
}

#[gtest]
fn large_organisation_leaves_small_ones_their_share() {
    let alone = play(Way::Scheduler, &small_and_large(0.6, 0.6));
    let beside = play(Way::Scheduler, &small_and_large(0.6, 8.0 * 0.6));
    for outcome in [&alone, &beside] {
        let small = outcome.by_load.iter().filter(|(load, _)| load.0 != 99);
        let (mut served, mut arrived) = (0, 0);
        for (_, tally) in small {
            served += tally.in_objective;
            arrived += tally.arrived;
        }
        println!(
            "small {:.3} large {:?} cap {:.3} again {:.3} of {} gated {} asks {}",
            served as f64 / arrived as f64,
            outcome.by_load[&(99, 1)],
            outcome.of_capacity(),
            outcome.refused_again_ratio(),
            outcome.returned,
            outcome.gated,
            outcome.asks
        );
    }
}

#[gtest]
fn ranks() {
    let outcome = play(
        Way::Scheduler,
        &[
            Load::new(1, 0, 0.5),
            Load::new(2, 1, 1.0),
            Load::new(3, 2, 1.0),
        ],
    );
    println!("{:#?} {}", outcome.by_load, outcome.refused_again_ratio());
    let outcome = play(
        Way::Scheduler,
        &[
            Load::new(1, 0, 2.0),
            Load::new(1, 1, 1.0),
            Load::new(1, 2, 1.0),
        ],
    );
    println!("{:#?} {}", outcome.by_load, outcome.refused_again_ratio());
}

#[gtest]
fn ways() {
    for rate in [1.0, 2.5, 10.0] {
        for way in [Way::Guess, Way::Divided, Way::Scheduler] {
            let outcome = play(way, &even(rate));
            let t = outcome.total();
            println!(
                "{rate} {way:?} {:.3} late {} rejected {} full {} again {:.3} idle {}",
                outcome.of_capacity(),
                t.late,
                t.rejected,
                outcome.refused_by_endpoint,
                outcome.refused_again_ratio(),
                outcome.idle_slot_ms
            );
        }
    }
}
