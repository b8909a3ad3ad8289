//! Placement under load: arrivals, reading times and views that are one report old, and what
//! callers get by class.

use std::collections::{BinaryHeap, HashMap, HashSet};

use chalkrock_core::PoolId;
use chalkrock_core::rendezvous::{KeyHash, MemberHash};
use chalkrock_routing::{
    Candidate, HomeSpread, OutstandingWork, PlacementRequest, PromptRead, PromptWork, ReadId,
    SpreadRules, WorkEstimate, WorkRequest, choose_by_work, choose_endpoint,
};
use googletest::prelude::*;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

const ENGINES: usize = 12;
const HOSTS: usize = 6;
const SLOTS: u32 = 32;
const LENGTH_MS: u64 = 8_000;
const REPORT_MS: u64 = 200;
const TOKENS_PER_MS: f64 = 60.0;
const SHORT_MS: f64 = 5.0;
const COPY_MS: f64 = 12.0;
/// Time between events beside a prompt that is read.
const EVENT_INTERVAL_MS: f64 = 140.0;
/// Longest pause of a stream that is in time.
const MAX_PAUSE_MS: u64 = 300;
/// Mean service time that hosts have learned.
const SERVICE_MS: f64 = 1_100.0;
/// Two engines are four times slower in this time.
const SLOW_MS: std::ops::Range<u64> = 3_000..7_000;
const SLOW_RATIO: f64 = 4.0;
/// Every third engine is slower for good.
const UNEVEN_RATIO: f64 = 1.3;
const RULES: SpreadRules = SpreadRules {
    load_multiple: 1.8,
    allowance: 3.0,
};

/// Requests of one priority.
struct Class {
    objective_ms: u64,
    interval_ms: f64,
    prefixes: u32,
    prefix_tokens: u32,
    own_tokens: u32,
    stream_ms: u64,
}

const CLASSES: [Class; 3] = [
    Class {
        objective_ms: 1_000,
        interval_ms: 15.0,
        prefixes: 60,
        prefix_tokens: 10_000,
        own_tokens: 1_300,
        stream_ms: 1_800,
    },
    Class {
        objective_ms: 600,
        interval_ms: 12.0,
        prefixes: 120,
        prefix_tokens: 700,
        own_tokens: 130,
        stream_ms: 1_300,
    },
    Class {
        objective_ms: 1_200,
        interval_ms: 15.0,
        prefixes: 120,
        prefix_tokens: 2_000,
        own_tokens: 360,
        stream_ms: 100,
    },
];

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Method {
    /// Requests in progress.
    Counts,
    /// Prompts in hand counted as requests.
    WorkAsCounts,
    /// Expected first event, all engines taken as equal.
    FirstEvent,
    /// Expected first event by learned speeds.
    LearnedSpeeds,
}

/// What callers get.
#[derive(Debug, Default)]
struct Outcome {
    late: [u32; 3],
    all: [u32; 3],
    read_again_tokens: u64,
    copied_tokens: u64,
}

#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Happening {
    FirstEvent {
        host: usize,
        engine: usize,
        read: ReadId,
        sent_at_ms: u64,
        key: u32,
    },
    Ended {
        host: usize,
        engine: usize,
    },
    Report,
    Arrival {
        class: usize,
    },
}

type Events = BinaryHeap<std::cmp::Reverse<(u64, u64, Happening)>>;

#[derive(Default)]
struct Host {
    ledger: OutstandingWork<u32>,
    /// Its requests in progress.
    own: [u32; ENGINES],
    /// Those of all other hosts at the last report.
    others: [u32; ENGINES],
    /// Engines that hold a prefix, as far as it knows.
    holders: HashMap<u32, HashSet<usize>>,
}

fn slowness(engine: usize, now_ms: u64) -> f64 {
    let lasting = if engine.is_multiple_of(3) {
        UNEVEN_RATIO
    } else {
        1.0
    };
    let is_slow = engine < 2 && SLOW_MS.contains(&now_ms);
    if is_slow { SLOW_RATIO } else { lasting }
}

fn pool() -> PoolId {
    PoolId::from("engines")
}

fn play(method: Method, seed: u64) -> Outcome {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut outcome = Outcome::default();
    let mut hosts: Vec<Host> = (0..HOSTS).map(|_| Host::default()).collect();
    let mut idle_from_ms = [0.0_f64; ENGINES];
    let mut held: HashMap<u32, HashSet<usize>> = HashMap::new();
    let mut events = Events::new();
    let mut serial = 0;
    let mut push = |events: &mut Events, at_ms: u64, happening: Happening| {
        serial += 1;
        events.push(std::cmp::Reverse((at_ms, serial, happening)));
    };
    for class in 0..CLASSES.len() {
        push(&mut events, 0, Happening::Arrival { class });
    }
    push(&mut events, REPORT_MS, Happening::Report);
    while let Some(std::cmp::Reverse((now_ms, _, happening))) = events.pop() {
        match happening {
            Happening::Report if now_ms <= LENGTH_MS => {
                exchange(&mut hosts, now_ms);
                push(&mut events, now_ms + REPORT_MS, Happening::Report);
            }
            Happening::Report => {}
            Happening::Ended { host, engine } => hosts[host].own[engine] -= 1,
            Happening::FirstEvent {
                host,
                engine,
                read,
                sent_at_ms,
                key,
            } => {
                let host = &mut hosts[host];
                let ttft_ms = (now_ms - sent_at_ms) as f64;
                host.ledger.record_first_event(read, ttft_ms, now_ms);
                host.holders.entry(key).or_default().insert(engine);
            }
            Happening::Arrival { .. } if now_ms > LENGTH_MS => {}
            Happening::Arrival { class: class_index } => {
                let class = &CLASSES[class_index];
                let after_ms = -class.interval_ms * (1.0 - rng.random::<f64>()).ln();
                let next_ms = now_ms + after_ms.round() as u64;
                push(
                    &mut events,
                    next_ms,
                    Happening::Arrival { class: class_index },
                );
                let key = 1_000 * class_index as u32 + rng.random_range(0..class.prefixes);
                let host_index = rng.random_range(0..HOSTS);
                let host = &mut hosts[host_index];
                let engine = place(host, method, class_index, key, rng.random(), now_ms);
                let work = prompt_work(host, class, key, engine, now_ms);
                let engines_that_hold = held.entry(key).or_default();
                let mut read_ms = SHORT_MS + f64::from(class.own_tokens) / TOKENS_PER_MS;
                if !engines_that_hold.contains(&engine) {
                    let may_copy = work.copied_tokens > 0;
                    if may_copy {
                        outcome.copied_tokens += u64::from(class.prefix_tokens);
                        read_ms += COPY_MS;
                    } else {
                        let is_again = !engines_that_hold.is_empty();
                        outcome.read_again_tokens +=
                            u64::from(is_again) * u64::from(class.prefix_tokens);
                        read_ms += f64::from(class.prefix_tokens) / TOKENS_PER_MS;
                    }
                    engines_that_hold.insert(engine);
                }
                let begins_ms = idle_from_ms[engine].max(now_ms as f64);
                idle_from_ms[engine] = begins_ms + read_ms * slowness(engine, now_ms);
                let first_ms = idle_from_ms[engine].round() as u64;
                outcome.all[class_index] += 1;
                let pause_ms = EVENT_INTERVAL_MS * slowness(engine, first_ms);
                let is_interrupted =
                    class.stream_ms >= MAX_PAUSE_MS && pause_ms > MAX_PAUSE_MS as f64;
                let is_late = first_ms - now_ms > class.objective_ms || is_interrupted;
                outcome.late[class_index] += u32::from(is_late);
                let load = host.own[engine] + host.others[engine];
                let read = host.ledger.begin(PromptRead {
                    pool: pool(),
                    endpoint: engine as u32,
                    work,
                    has_free_slot: load < SLOTS,
                    sent_at_ms: now_ms,
                });
                host.own[engine] += 1;
                let first_event = Happening::FirstEvent {
                    host: host_index,
                    engine,
                    read,
                    sent_at_ms: now_ms,
                    key,
                };
                push(&mut events, first_ms, first_event);
                let ended = Happening::Ended {
                    host: host_index,
                    engine,
                };
                push(&mut events, first_ms + class.stream_ms, ended);
            }
        }
    }
    outcome
}

/// Each host reports its counts, its work and the prefixes that it found held.
fn exchange(hosts: &mut [Host], now_ms: u64) {
    let reports: Vec<_> = hosts
        .iter_mut()
        .map(|host| host.ledger.take_report(1, now_ms, now_ms))
        .collect();
    let all: [u32; ENGINES] =
        std::array::from_fn(|engine| hosts.iter().map(|host| host.own[engine]).sum());
    let mut holders: HashMap<u32, HashSet<usize>> = HashMap::new();
    for (key, engines) in hosts.iter().flat_map(|host| &host.holders) {
        holders.entry(*key).or_default().extend(engines);
    }
    for (index, host) in hosts.iter_mut().enumerate() {
        host.holders = holders.clone();
        host.others = std::array::from_fn(|engine| all[engine] - host.own[engine]);
        for (sender, report) in reports.iter().enumerate() {
            if let Some(report) = report.as_ref().filter(|_| sender != index) {
                host.ledger.merge(sender as u32, report, |_| true, now_ms);
            }
        }
    }
}

fn prompt_work(host: &Host, class: &Class, key: u32, engine: usize, now_ms: u64) -> PromptWork {
    let holders = host.holders.get(&key);
    let is_held_here = holders.is_some_and(|holders| holders.contains(&engine));
    let is_held = holders.is_some_and(|holders| !holders.is_empty());
    let (read, copied) = match (is_held_here, is_held) {
        (true, _) => (0, 0),
        (false, true) => (0, class.prefix_tokens),
        (false, false) => (class.prefix_tokens, 0),
    };
    PromptWork {
        read_tokens: class.own_tokens + read,
        copied_tokens: copied,
        backlog_tokens: host
            .ledger
            .outstanding_tokens(&pool(), engine as u32, now_ms),
    }
}

fn place(
    host: &Host,
    method: Method,
    class_index: usize,
    key: u32,
    draw: u64,
    now_ms: u64,
) -> usize {
    let class = &CLASSES[class_index];
    let work = |engine: usize| prompt_work(host, class, key, engine, now_ms);
    let candidates: Vec<Candidate> = (0..ENGINES)
        .map(|engine| {
            let holders = host.holders.get(&key);
            Candidate {
                hash: MemberHash::of(&format!("engine-{engine}")),
                load: host.own[engine] + host.others[engine],
                slots: SLOTS,
                is_same_zone: false,
                is_suspect: false,
                holds_prefix: holders.is_some_and(|holders| holders.contains(&engine)),
                is_closed: false,
                home_spread: HomeSpread::NONE,
            }
        })
        .collect();
    let request = PlacementRequest {
        key: Some(KeyHash(u64::from(key))),
        unreported_arrivals: 0.0,
        draw,
    };
    let counted = || choose_endpoint(&candidates, &request, &RULES).expect("an engine");
    let placed = match method {
        Method::Counts | Method::FirstEvent | Method::LearnedSpeeds => counted(),
        Method::WorkAsCounts => {
            let weighted: Vec<Candidate> = (0..ENGINES)
                .map(|engine| {
                    let ledger = &host.ledger;
                    let backlog_ms = ledger.backlog_ms(&pool(), engine as u32, now_ms);
                    let requests = f64::from(SLOTS) * backlog_ms / SERVICE_MS;
                    Candidate {
                        load: candidates[engine].load + requests as u32,
                        ..candidates[engine]
                    }
                })
                .collect();
            choose_endpoint(&weighted, &request, &RULES).expect("an engine")
        }
    };
    if matches!(method, Method::Counts | Method::WorkAsCounts) {
        return placed.index;
    }
    let estimate = |engine: usize| {
        let work = work(engine);
        let slowness = match method {
            Method::LearnedSpeeds => host.ledger.slowness(engine as u32, now_ms),
            _ => 1.0,
        };
        let own_work = PromptWork {
            backlog_tokens: 0,
            ..work
        };
        Some(WorkEstimate {
            expected_ttft_ms: host.ledger.usual_ms(&pool(), &work)? * slowness,
            read_ms: host.ledger.usual_ms(&pool(), &own_work)? * slowness,
            slowness,
        })
    };
    let estimates: Option<Vec<WorkEstimate>> = (0..ENGINES).map(estimate).collect();
    let request = WorkRequest {
        key: request.key,
        objective_ms: class.objective_ms,
        rank: class_index as u8,
        draw,
    };
    let chosen = estimates
        .and_then(|estimates| choose_by_work(placed, &candidates, &estimates, &request, &RULES));
    chosen.map_or(placed.index, |chosen| chosen.index)
}

/// The sum over some seeds.
fn play_all(method: Method) -> Outcome {
    let mut sum = Outcome::default();
    for seed in 0..3 {
        let outcome = play(method, seed);
        for class in 0..CLASSES.len() {
            sum.late[class] += outcome.late[class];
            sum.all[class] += outcome.all[class];
        }
        sum.read_again_tokens += outcome.read_again_tokens;
        sum.copied_tokens += outcome.copied_tokens;
    }
    println!("{method:?}: {sum:?}");
    sum
}

#[test]
fn placement_by_learned_speeds_makes_fewer_callers_late() {
    let counts = play_all(Method::Counts);
    let work_as_counts = play_all(Method::WorkAsCounts);
    let first_event = play_all(Method::FirstEvent);
    let learned = play_all(Method::LearnedSpeeds);
    let total = |outcome: &Outcome| outcome.late.iter().sum::<u32>();
    for other in [&counts, &work_as_counts, &first_event] {
        assert_that!(total(&learned), lt(total(other)));
        assert_that!(learned.late[0], le(other.late[0]));
    }
    // No class pays for another.
    for class in 0..CLASSES.len() {
        assert_that!(learned.late[class], le(counts.late[class]), "class {class}");
    }
    // Moves cost copies, and few parts are read again.
    let prefix_tokens = CLASSES.iter().zip(learned.all);
    let prefix_tokens =
        prefix_tokens.map(|(class, all)| u64::from(class.prefix_tokens) * u64::from(all));
    let again_ratio = learned.read_again_tokens as f64 / prefix_tokens.sum::<u64>() as f64;
    assert_that!(again_ratio, le(0.06));
}
