//! What callers of a small pool get under load, with messages that take 2 ms.
//!
//! 76 hosts send calls of 60 ms to 4 endpoints of 6 slots, whose queues hold 3 more.
//! Callers have an objective of 300 ms and a deadline of 1,500 ms. One that is rejected
//! returns once, to any host, if the time is within a third of what is left.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use chalkrock_core::rendezvous::MemberHash;
use chalkrock_routing::{
    Candidate, HeldLease, HomeSpread, PlacementRequest, PoolScheduler, SchedulableEndpoint,
    SlotAsk, SlotReply, SpreadRules, TicketId, WaitingRequest, choose_endpoint,
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
const START_MARGIN_MS: u64 = 120;
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
    until_ms: u64,
}

impl Load {
    fn new(organisation: u32, rank: u8, rate: f64) -> Self {
        Load {
            organisation,
            rank,
            rate,
            from_ms: 0,
            until_ms: DURATION_MS,
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
    in_objective: u32,
    late: u32,
    rejected: u32,
}

impl Tally {
    fn served_ratio(&self) -> f64 {
        let ended = self.in_objective + self.late + self.rejected;
        f64::from(self.in_objective) / f64::from(ended.max(1))
    }

    fn plus(self, other: Tally) -> Tally {
        Tally {
            in_objective: self.in_objective + other.in_objective,
            late: self.late + other.late,
            rejected: self.rejected + other.rejected,
        }
    }
}

#[derive(Default)]
struct Outcome {
    ended_in_window: u32,
    /// Calls that ended in time after the warm-up.
    served_in_window: u32,
    by_load: BTreeMap<(u32, u8), Tally>,
    returned: u32,
    refused_again: u32,
    service_ms: u64,
    refused_by_endpoint: u32,
    most_at_endpoint: usize,
    longest_idle_ms: u64,
    idle_slot_ms: u64,
    gated: u32,
    arrived: u32,
    asks: u32,
    bytes: usize,
    scheduler_time: Duration,
    waited_ms: u64,
    started: u32,
}

impl Outcome {
    /// Calls that match, by organisation and rank.
    fn tally(&self, matches: impl Fn(u32, u8) -> bool) -> Tally {
        let tallies = self.by_load.iter();
        tallies
            .filter(|&(&(organisation, rank), _)| matches(organisation, rank))
            .fold(Tally::default(), |sum, (_, tally)| sum.plus(*tally))
    }

    fn total(&self) -> Tally {
        self.tally(|_, _| true)
    }

    /// Time for which slots were idle while a call waited, relative to all slots' time.
    fn idle_ratio(&self) -> f64 {
        let slots_ms = (DURATION_MS - WARM_UP_MS) * (ENDPOINTS * SLOTS) as u64;
        self.idle_slot_ms as f64 / slots_ms as f64
    }

    /// Calls served in time relative to what the pool can serve.
    fn of_capacity(&self) -> f64 {
        let mean_ms = self.service_ms as f64 / f64::from(self.ended_in_window.max(1));
        let slot_ms = (ENDPOINTS * SLOTS) as f64 * (DURATION_MS - WARM_UP_MS) as f64;
        f64::from(self.served_in_window) * mean_ms / slot_ms
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

/// Approximate size of an ask in a datagram.
fn ask_bytes(ask: &SlotAsk) -> usize {
    const FIXED: usize = 60;
    const WAITING: usize = 32;
    const HELD: usize = 15;
    FIXED + WAITING * ask.waiting.len() + HELD * ask.held.len()
}

/// Approximate size of a reply in a datagram.
fn reply_bytes(reply: &SlotReply) -> usize {
    const FIXED: usize = 60;
    const GRANT: usize = 10;
    const REJECTION: usize = 9;
    const GATE: usize = 10;
    FIXED
        + GRANT * reply.granted.len()
        + REJECTION * reply.rejected.len()
        + GATE * reply.gates.len()
}

fn play(way: Way, loads: &[Load]) -> Outcome {
    play_with(way, loads, HOSTS, None)
}

/// Plays loads; at `change_ms`, a scheduler that knows nothing replaces the first one.
fn play_with(way: Way, loads: &[Load], hosts: usize, change_ms: Option<u64>) -> Outcome {
    let mut play = Play {
        way,
        rng: StdRng::seed_from_u64(7),
        now_ms: 0,
        hosts: (0..hosts).map(|_| Host::default()).collect(),
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
        if change_ms == Some(now_ms) {
            play.change_scheduler();
        }
        play.end_calls();
        for (load, next_ms) in loads.iter().zip(&mut arrivals) {
            if now_ms < load.from_ms {
                *next_ms = load.from_ms as f64;
                continue;
            }
            while *next_ms <= now_ms as f64 && now_ms < load.until_ms {
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
        self.outcome.arrived += 1;
        self.arrive(call);
    }

    fn arrive(&mut self, mut call: Call) {
        call.attempt_ms = self.now_ms;
        let host = self.rng.random_range(0..self.hosts.len());
        let gate = self.hosts[host].admit_permille.get(&call.organisation);
        if let Some(&(admit, retry_after_ms)) = gate
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
                if self.now_ms >= WARM_UP_MS {
                    self.outcome.ended_in_window += 1;
                    self.outcome.service_ms += call.service_ms;
                }
                if is_in_time && self.now_ms >= WARM_UP_MS {
                    self.outcome.served_in_window += 1;
                }
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
                    home_spread: HomeSpread::NONE,
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
        let interval_ms = self.hosts.len() as f64 / CAPACITY;
        for host in 0..self.hosts.len() {
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
        let begin = Instant::now();
        let mut asking = Vec::new();
        for (_, message) in messages {
            match message {
                Message::Ask(host, ask) => {
                    self.scheduler.ask(host, ask, now_ms);
                    asking.push(host);
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
                has_queue: true,
            })
            .collect();
        self.scheduler.set_endpoints(&listed, now_ms);
        asking.extend(self.scheduler.schedule(now_ms));
        asking.sort_unstable();
        asking.dedup();
        for host in asking {
            if let Some(reply) = self.scheduler.reply(&host, now_ms) {
                self.outcome.bytes += reply_bytes(&reply);
                let message = Message::Reply(host, reply);
                self.messages.push_back((now_ms + MESSAGE_MS, message));
            }
        }
        self.outcome.scheduler_time += begin.elapsed();
        for host in 0..self.hosts.len() {
            self.send_ask(host);
        }
    }

    fn change_scheduler(&mut self) {
        self.scheduler = PoolScheduler::new(2, self.now_ms);
        self.messages.clear();
        for host in &mut self.hosts {
            host.has_news |= !host.waiting.is_empty() || !host.running.is_empty();
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
        self.outcome.bytes += ask_bytes(&ask);
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
            self.outcome.waited_ms += self.now_ms - call.attempt_ms;
            self.outcome.started += 1;
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

/// 20 organisations that call alike.
fn even(rate: f64) -> Vec<Load> {
    (1..=20)
        .map(|organisation| Load::new(organisation, 1, rate / 20.0))
        .collect()
}

const LARGE: u32 = 99;

/// 20 small organisations and a large one.
fn small_and_large(small: f64, large: f64) -> Vec<Load> {
    let mut loads = even(small);
    loads.push(Load::new(LARGE, 1, large));
    loads
}

/// 20 organisations that call alike, with calls of three ranks.
fn ranked(rates: [f64; 3]) -> Vec<Load> {
    let ranks = (0_u8..).zip(rates);
    ranks
        .flat_map(|(rank, rate)| {
            even(rate)
                .into_iter()
                .map(move |load| Load { rank, ..load })
        })
        .collect()
}

fn surge(loads: Vec<Load>, duration_ms: u64) -> impl Iterator<Item = Load> {
    const FROM_MS: u64 = 2_000;
    loads.into_iter().map(move |load| Load {
        from_ms: FROM_MS,
        until_ms: FROM_MS + duration_ms,
        ..load
    })
}

/// Guards against slots that stay idle while calls wait, and against queues at endpoints.
#[gtest]
fn offered_load_is_served_at_capacity() {
    for rate in [1.0, 2.5, 10.0] {
        let outcome = play(Way::Scheduler, &even(rate));
        let served = outcome.of_capacity();
        // A load of 1 leaves slots idle while nothing waits.
        let least = if rate > 1.0 { 0.95 } else { 0.9 };
        expect_that!(served, ge(least), "served at {rate}");
        // Two round trips and what millisecond steps add.
        expect_that!(outcome.longest_idle_ms, le(10), "idle slot at {rate}");
        expect_that!(outcome.idle_ratio(), le(0.005), "idle slots at {rate}");
        expect_that!(
            outcome.most_at_endpoint,
            le(SLOTS + ENDPOINT_QUEUE),
            "queue at {rate}"
        );
        expect_that!(
            outcome.refused_by_endpoint,
            eq(0),
            "refused by endpoints at {rate}"
        );
    }
}

/// Guards against small organisations that pay for a large one.
#[gtest]
fn large_organisation_leaves_small_ones_their_share() {
    let alone = play(Way::Scheduler, &even(0.6));
    let beside = play(Way::Scheduler, &small_and_large(0.6, 8.0 * 0.6));
    let small = |outcome: &Outcome| outcome.tally(|organisation, _| organisation != LARGE);
    let (before, after) = (small(&alone).served_ratio(), small(&beside).served_ratio());
    expect_that!(after, ge(before - 0.02));
    // The large one receives what the small ones leave.
    expect_that!(beside.of_capacity(), ge(0.93));
    let large = beside.tally(|organisation, _| organisation == LARGE);
    expect_that!(large.in_objective, ge(500));
}

/// Guards against urgent calls behind less urgent ones, and against ranks that starve.
#[gtest]
fn urgent_ranks_precede_and_none_starves() {
    for (rates, least) in [
        ([0.5, 1.0, 1.0], [0.95, 0.3, 0.05]),
        ([2.0, 1.0, 1.0], [0.35, 0.06, 0.06]),
    ] {
        let outcome = play(Way::Scheduler, &ranked(rates));
        for (rank, least) in (0_u8..).zip(least) {
            let tally = outcome.tally(|_, of| of == rank);
            expect_that!(tally.served_ratio(), ge(least), "rank {rank} of {rates:?}");
        }
    }
}

/// Guards against callers that are rejected again although they return when due.
#[gtest]
fn returning_callers_are_served() {
    let with_surge = |base: Vec<Load>, other: Vec<Load>, duration_ms| -> Vec<Load> {
        base.into_iter().chain(surge(other, duration_ms)).collect()
    };
    let cases = [
        ("steady", even(1.2)),
        ("short surge", with_surge(even(0.7), even(2.0), 500)),
        ("steep surge", with_surge(even(0.7), even(10.0), 300)),
        ("long surge", with_surge(even(0.7), even(3.0), 2_000)),
        (
            "surge of ranks",
            with_surge(ranked([0.2; 3]), ranked([1.5; 3]), 400),
        ),
        (
            "surge of one",
            with_surge(even(0.6), vec![Load::new(LARGE, 1, 4.0)], 1_000),
        ),
    ];
    for (name, loads) in cases {
        let outcome = play(Way::Scheduler, &loads);
        expect_that!(outcome.returned, ge(15), "returned in {name}");
        expect_that!(
            outcome.refused_again_ratio(),
            le(0.02),
            "rejected again in {name}"
        );
    }
}

/// Guards against a pool that stands still, or fills up, when its scheduler changes.
#[gtest]
fn scheduler_change_leaves_the_pool_in_use() {
    let steady = play(Way::Scheduler, &even(2.5));
    let changed = play_with(Way::Scheduler, &even(2.5), HOSTS, Some(3_000));
    expect_that!(changed.of_capacity(), ge(steady.of_capacity() - 0.02));
    expect_that!(changed.refused_by_endpoint, eq(0));
    expect_that!(changed.longest_idle_ms, le(100));
}

/// The three ways at the same loads. Prints what callers get.
#[gtest]
fn scheduler_serves_as_much_as_any_other_way() {
    for rate in [1.0, 2.5, 10.0] {
        println!("load  way        of capacity  late  rejected  by endpoints  again  idle");
        let outcomes = [Way::Guess, Way::Divided, Way::Scheduler].map(|way| {
            let outcome = play(way, &even(rate));
            let total = outcome.total();
            println!(
                "{rate:<5} {:<10} {:>11.3} {:>5} {:>9} {:>13} {:>6.3} {:>5.3}",
                format!("{way:?}"),
                outcome.of_capacity(),
                total.late,
                total.rejected,
                outcome.refused_by_endpoint,
                outcome.refused_again_ratio(),
                outcome.idle_ratio(),
            );
            outcome
        });
        let [guess, divided, scheduler] = outcomes.each_ref().map(Outcome::of_capacity);
        expect_that!(scheduler, ge(guess - 0.05));
        expect_that!(scheduler, ge(divided));
    }
}

/// Guards against a cost of the exchange that grows with the number of hosts. Prints it.
#[gtest]
fn exchange_costs_little_at_any_number_of_hosts() {
    println!("hosts  load  asks  bytes  scheduler us  wait ms   (by call)");
    for hosts in [29, 76, 300, 986] {
        for rate in [0.6, 2.5, 10.0] {
            let outcome = play_with(Way::Scheduler, &even(rate), hosts, None);
            let by_call = |amount: f64| amount / f64::from(outcome.arrived);
            let asks = by_call(f64::from(outcome.asks));
            let bytes = by_call(outcome.bytes as f64);
            println!(
                "{hosts:>5}  {rate:>4}  {asks:>4.1}  {bytes:>5.0}  {:>12.1}  {:>7.1}",
                by_call(outcome.scheduler_time.as_secs_f64() * 1e6),
                outcome.waited_ms as f64 / f64::from(outcome.started),
            );
            expect_that!(asks, le(5.0), "{hosts} hosts at {rate}");
            expect_that!(bytes, le(1_000.0), "{hosts} hosts at {rate}");
        }
    }
}
