//! Plays drawn rollouts against ways to hold what a bad build gets, and to tell it.
//!
//! A pool answers a stream of requests; a new build of it is good, or bad in one of the
//! ways in which builds are. Decisions are those of `chalkrock-routing`, on virtual time
//! and with word between hosts that is late; the other ways are kept here to compare.

use std::collections::{BTreeMap, VecDeque};
use std::fmt;
use std::sync::Arc;

use chalkrock_routing::{
    BuildAssessment, BuildSide, Exposure, ExposureBound, Measure, MoveSchedule, ObservedResponse,
    RolloutReason, RolloutStage, RolloutView, StageTransition, Tally, assess_build, next_stage,
};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

/// What is wrong with the new build.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Fault {
    /// Nothing.
    None,
    /// A part of its answers fail, from the start.
    Fails,
    /// A part of them take several times as long, from the start.
    Slow,
    /// A part fail, from some seconds after the order on.
    FailsLater,
    /// A part fail while its endpoints have as much to do as the old ones.
    FailsUnderLoad,
    /// A part of one route's answers fail.
    FailsOnOneRoute,
}

/// All kinds of builds.
pub const FAULTS: [Fault; 6] = [
    Fault::None,
    Fault::Fails,
    Fault::Slow,
    Fault::FailsLater,
    Fault::FailsUnderLoad,
    Fault::FailsOnOneRoute,
];

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Fault::None => "good",
            Fault::Fails => "fails",
            Fault::Slow => "slow",
            Fault::FailsLater => "fails later",
            Fault::FailsUnderLoad => "fails under load",
            Fault::FailsOnOneRoute => "fails on one route",
        })
    }
}

/// How the requests for the new build are held to a part of all.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExposureWay {
    /// Each host sends a part of its own, by a counter for each route.
    PartsOfHosts,
    /// A few hosts that are drawn send all of theirs.
    FewHosts,
    /// One host grants numbers to the others, by what it heard of their requests.
    Grants,
    /// Each request is drawn by itself, whatever its route.
    Drawn,
}

/// How a bad build is told from a good one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JudgeWay {
    /// The sequential test of `chalkrock-routing`.
    Sequential,
    /// Bad once it has three failures, or slow answers, and twice the old build's rate.
    Threshold,
    /// The threshold, while its share rises by fixed stages: 5, 25, 50, 100 %.
    FixedStages,
}

/// A pool and the requests for it.
#[derive(Clone, Debug)]
pub struct PoolTraffic {
    /// Hosts that send.
    pub hosts: usize,
    /// Requests a second of each route, the part of its answers that fails at any build,
    /// and how long it stays in the mean, in milliseconds.
    pub routes: Vec<(f64, f64, f64)>,
    /// Endpoints of each build.
    pub endpoints: u32,
    /// Slots of each.
    pub slots: u32,
    /// The operators' time, in milliseconds.
    pub within_ms: u64,
}

impl PoolTraffic {
    /// Generations: three routes, 290 requests a second.
    pub fn generations(hosts: usize) -> Self {
        Self {
            hosts,
            routes: vec![
                (55.0, 0.001, 1_500.0),
                (154.0, 0.001, 1_200.0),
                (82.0, 0.001, 120.0),
            ],
            endpoints: 60,
            slots: 64,
            within_ms: 12_000,
        }
    }

    /// Calls of a service: two routes, 120 requests a second, one of which fails often.
    pub fn calls(hosts: usize) -> Self {
        Self {
            hosts,
            routes: vec![(98.0, 0.004, 30.0), (22.0, 0.14, 30.0)],
            endpoints: 3,
            slots: 6,
            within_ms: 12_000,
        }
    }

    fn per_s(&self) -> f64 {
        self.routes.iter().map(|(per_s, ..)| per_s).sum()
    }

    fn max_service_times_ms(&self) -> BTreeMap<Arc<str>, u64> {
        let routes = self.routes.iter().enumerate();
        routes
            .map(|(i, (.., stay_ms))| (name(i), (stay_ms * LONGEST_STAYS) as u64))
            .collect()
    }
}

/// How one rollout ended.
#[derive(Clone, Copy, Debug)]
pub struct Played {
    /// Requests that met the new build until it was left.
    pub exposed: u32,
    /// Requests from the order to its deadline.
    pub requests: u32,
    /// When it was called bad, in milliseconds after the order.
    pub left_ms: Option<u64>,
    /// When it was done.
    pub done_ms: Option<u64>,
}

const STEP_MS: u64 = 50;
/// How late word of an answer reaches the host that decides, and of a stage all hosts.
const WORD_MS: u64 = 400;
/// When endpoints of the new build may be given work, after the order.
const STARTED_MS: u64 = 1_500;
/// Requests beside the operators' part.
const SLACK: f64 = 50.0;
/// From when a build that fails later does.
const LATER_MS: std::ops::Range<u64> = 3_000..8_000;
/// Part of a bad build's answers that are bad.
const BAD_PART: std::ops::Range<f64> = 0.2..0.6;
/// How many times longer a slow answer takes.
const SLOW_TIMES: f64 = 5.0;
/// The longest stay, in mean stays: what the users' sheets say of generations.
const LONGEST_STAYS: f64 = 3.3;
/// The time to the first byte, as a part of the stay.
const FIRST_BYTE_PART: f64 = 0.05;
/// Spread of stays and of the hosts' shares, as a standard deviation of the logarithm.
const SPREAD: f64 = 0.5;

struct Rollout<'a> {
    pool: &'a PoolTraffic,
    fault: Fault,
    exposure_way: ExposureWay,
    judge_way: JudgeWay,
    rng: StdRng,
    names: Vec<Arc<str>>,
    weights: Vec<f64>,
    exposures: Vec<Exposure>,
    senders: Vec<bool>,
    granted: Vec<f64>,
    bad_part: f64,
    bad_from_ms: u64,
    /// Answers on their way to the host that decides, by when they are there.
    word: VecDeque<(u64, usize, BuildSide, ObservedResponse)>,
    tally: Tally,
    /// Requests that run at the old endpoints, by their end.
    old_ends: BTreeMap<u64, u32>,
    stage: RolloutStage,
    /// What hosts know, and from when.
    known: (RolloutStage, RolloutStage, u64),
    idle_since_ms: Option<u64>,
    /// When each route moves.
    moves_ms: Vec<u64>,
}

/// Plays one rollout.
pub fn play(
    pool: &PoolTraffic,
    fault: Fault,
    exposure_way: ExposureWay,
    judge_way: JudgeWay,
    seed: u64,
) -> Played {
    let mut rng = StdRng::seed_from_u64(seed);
    let bound_used = ExposureBound {
        slack: SLACK,
        ..ExposureBound::default()
    };
    let weights: Vec<f64> = (0..pool.hosts).map(|_| spread(&mut rng)).collect();
    let exposures =
        (0..pool.hosts).map(|_| Exposure::new(bound_used, pool.within_ms, rng.random()));
    let exposures: Vec<Exposure> = exposures.collect();
    let share = exposures[0].share();
    let few = ((share * pool.hosts as f64).round() as usize).max(1);
    let mut senders = vec![false; pool.hosts];
    (0..few).for_each(|_| senders[rng.random_range(0..pool.hosts)] = true);
    let bad_part = rng.random_range(BAD_PART);
    let bad_from_ms = match fault {
        Fault::FailsLater => rng.random_range(LATER_MS),
        _ => 0,
    };
    let mut rollout = Rollout {
        pool,
        fault,
        exposure_way,
        judge_way,
        names: (0..pool.routes.len()).map(name).collect(),
        weights,
        exposures,
        senders,
        granted: vec![0.0; pool.hosts],
        bad_part,
        bad_from_ms,
        rng,
        word: VecDeque::new(),
        tally: Tally::default(),
        old_ends: BTreeMap::new(),
        stage: RolloutStage::Canary,
        known: (RolloutStage::Canary, RolloutStage::Canary, 0),
        idle_since_ms: None,
        moves_ms: vec![0; pool.routes.len()],
    };
    rollout.run()
}

fn name(route: usize) -> Arc<str> {
    format!("route-{route}").into()
}

fn spread(rng: &mut StdRng) -> f64 {
    // A sum of uniform draws is normal enough.
    const DRAWS: u32 = 12;
    let normal = (0..DRAWS).map(|_| rng.random::<f64>()).sum::<f64>() - f64::from(DRAWS) / 2.0;
    (SPREAD * normal).exp().min(LONGEST_STAYS)
}

impl Rollout<'_> {
    fn run(&mut self) -> Played {
        let mut played = Played {
            exposed: 0,
            requests: 0,
            left_ms: None,
            done_ms: None,
        };
        let last_ms = 2 * self.pool.within_ms;
        let mut now_ms = 0;
        while now_ms < last_ms && !(self.stage.is_final() && now_ms >= self.pool.within_ms) {
            self.arrivals(now_ms, &mut played);
            self.hear(now_ms);
            if now_ms >= STARTED_MS
                && let Some(decision) = self.decide(now_ms)
            {
                self.stage = decision.stage;
                if decision.stage == RolloutStage::Moving {
                    self.moves_ms = self.moves(now_ms);
                }
                self.known = (self.known.1, decision.stage, now_ms + WORD_MS);
                match decision.stage {
                    RolloutStage::RolledBack => played.left_ms = Some(now_ms),
                    RolloutStage::Done => played.done_ms = Some(now_ms),
                    RolloutStage::Canary | RolloutStage::Moving => {}
                }
            }
            now_ms += STEP_MS;
        }
        played
    }

    /// When each route moves. Fixed stages move all at once.
    fn moves(&self, now_ms: u64) -> Vec<u64> {
        if self.judge_way == JudgeWay::FixedStages {
            return vec![now_ms; self.names.len()];
        }
        let stays_ms = self.pool.max_service_times_ms();
        let of_route = |route: &Arc<str>| {
            let stay_ms = stays_ms.get(route).copied().unwrap_or_default();
            MoveSchedule::new(self.pool.within_ms, stay_ms).wanted_ms as u64
        };
        self.names.iter().map(of_route).collect()
    }

    /// The stage as hosts know it.
    fn known_stage(&self, now_ms: u64) -> RolloutStage {
        let (before, after, from_ms) = self.known;
        if now_ms >= from_ms { after } else { before }
    }

    fn arrivals(&mut self, now_ms: u64, played: &mut Played) {
        let mean = self.pool.per_s() * STEP_MS as f64 / 1_000.0;
        let mut count = mean.floor() as u32;
        count += u32::from(self.rng.random::<f64>() < mean.fract());
        for _ in 0..count {
            let route = self.draw_route();
            let host = self.draw_host();
            let is_in_time = now_ms < self.pool.within_ms;
            played.requests += u32::from(is_in_time);
            let side = self.side(host, route, now_ms);
            let (failed, stay_ms) = self.answer(route, side, now_ms);
            if side == BuildSide::New {
                played.exposed += u32::from(is_in_time);
            } else {
                *self.old_ends.entry(now_ms + stay_ms).or_default() += 1;
            }
            let first_byte_ms = stay_ms as f64 * FIRST_BYTE_PART;
            let ended = if failed {
                ObservedResponse::Failed
            } else {
                let pace_ms = Some(stay_ms as f64);
                ObservedResponse::Ended { pace_ms }
            };
            let began = ObservedResponse::Began {
                first_byte_ms,
                holds_prefix: true,
            };
            self.tell(now_ms + first_byte_ms as u64, route, side, began);
            self.tell(now_ms + stay_ms, route, side, ended);
        }
    }

    /// Word of an answer is on its way to the host that decides.
    fn tell(&mut self, seen_ms: u64, route: usize, side: BuildSide, seen: ObservedResponse) {
        let at_ms = seen_ms + WORD_MS;
        let place = self.word.partition_point(|(known, ..)| *known <= at_ms);
        self.word.insert(place, (at_ms, route, side, seen));
    }

    fn draw_route(&mut self) -> usize {
        let mut drawn = self.rng.random::<f64>() * self.pool.per_s();
        let found = self.pool.routes.iter().position(|(per_s, ..)| {
            drawn -= per_s;
            drawn < 0.0
        });
        found.unwrap_or_default()
    }

    fn draw_host(&mut self) -> usize {
        let total: f64 = self.weights.iter().sum();
        let mut drawn = self.rng.random::<f64>() * total;
        let found = self.weights.iter().position(|weight| {
            drawn -= weight;
            drawn < 0.0
        });
        found.unwrap_or_default()
    }

    fn side(&mut self, host: usize, route: usize, now_ms: u64) -> BuildSide {
        let stage = self.known_stage(now_ms);
        let takes = match stage {
            RolloutStage::Canary if now_ms < STARTED_MS => false,
            RolloutStage::Canary if self.judge_way == JudgeWay::FixedStages => {
                self.rng.random::<f64>() < fixed_share(now_ms, self.pool.within_ms)
            }
            RolloutStage::Canary => match self.exposure_way {
                ExposureWay::PartsOfHosts => {
                    self.exposures[host].admits(&self.names[route], now_ms, self.pool.hosts)
                }
                ExposureWay::FewHosts => self.senders[host],
                ExposureWay::Drawn => self.rng.random::<f64>() < self.exposures[host].share(),
                ExposureWay::Grants => self.take_grant(host, now_ms),
            },
            RolloutStage::Moving => now_ms >= self.moves_ms[route],
            RolloutStage::Done => true,
            RolloutStage::RolledBack => false,
        };
        if takes {
            BuildSide::New
        } else {
            BuildSide::Old
        }
    }

    /// Grants are renewed each 200 ms for an even part of what is expected.
    fn take_grant(&mut self, host: usize, now_ms: u64) -> bool {
        const GRANT_EVERY_MS: u64 = 200;
        if now_ms.is_multiple_of(GRANT_EVERY_MS) && self.granted[host] < 1.0 {
            let of_all = self.exposures[host].share() * self.pool.per_s();
            let a_grant = of_all * GRANT_EVERY_MS as f64 / 1_000.0;
            self.granted[host] +=
                a_grant / self.pool.hosts as f64 * f64::from(self.pool.slots.min(4));
        }
        let takes = self.granted[host] >= 1.0;
        self.granted[host] -= f64::from(u8::from(takes));
        takes
    }

    /// Whether an answer fails, and how long it takes.
    fn answer(&mut self, route: usize, side: BuildSide, now_ms: u64) -> (bool, u64) {
        let (_, fails, stay_ms) = self.pool.routes[route];
        let is_bad = side == BuildSide::New
            && now_ms >= self.bad_from_ms
            && self.rng.random::<f64>() < self.bad_part
            && match self.fault {
                Fault::None => false,
                Fault::Fails | Fault::Slow | Fault::FailsLater => true,
                // All ways load the few endpoints that they try as much as old ones.
                Fault::FailsUnderLoad => self.exposure_way != ExposureWay::Drawn,
                Fault::FailsOnOneRoute => route == self.pool.routes.len() - 1,
            };
        let slow = is_bad && self.fault == Fault::Slow;
        let times = if slow { SLOW_TIMES } else { 1.0 };
        let failed = (is_bad && !slow) || self.rng.random::<f64>() < fails;
        let stay_ms = stay_ms * times * spread(&mut self.rng);
        (failed, stay_ms as u64)
    }

    fn hear(&mut self, now_ms: u64) {
        while self
            .word
            .front()
            .is_some_and(|(at_ms, ..)| *at_ms <= now_ms)
        {
            if let Some((_, route, side, seen)) = self.word.pop_front() {
                self.tally.record(&self.names[route], side, seen);
            }
        }
        self.old_ends = self.old_ends.split_off(&(now_ms + 1));
    }

    fn decide(&mut self, now_ms: u64) -> Option<StageTransition> {
        if self.stage.is_final() {
            return None;
        }
        let old_in_progress: u32 = self.old_ends.values().sum();
        let is_idle = self.stage == RolloutStage::Moving && old_in_progress == 0;
        if !is_idle {
            self.idle_since_ms = None;
        }
        let since_ms = is_idle.then(|| *self.idle_since_ms.get_or_insert(now_ms));
        let view = RolloutView {
            stage: Some(self.stage),
            age_ms: now_ms,
            within_ms: self.pool.within_ms,
            is_withdrawn: false,
            new_slots: self.pool.endpoints * self.pool.slots,
            old_slots: self.pool.endpoints * self.pool.slots,
            in_progress: old_in_progress,
            old_idle_ms: since_ms.map_or(0, |since_ms| now_ms - since_ms),
            max_service_times_ms: self.pool.max_service_times_ms(),
            assessment: self.assessment(),
        };
        match self.judge_way {
            JudgeWay::FixedStages if self.stage == RolloutStage::Canary => {
                let is_bad = view.assessment.is_bad();
                let moves = MoveSchedule::new(
                    view.within_ms,
                    view.max_service_times_ms
                        .values()
                        .copied()
                        .max()
                        .unwrap_or_default(),
                );
                let is_over = now_ms as f64 >= moves.last_ms;
                let stage = if is_bad {
                    RolloutStage::RolledBack
                } else if is_over {
                    RolloutStage::Moving
                } else {
                    return None;
                };
                let reason = RolloutReason::Sound;
                Some(StageTransition { stage, reason })
            }
            _ => next_stage(&view),
        }
    }

    fn assessment(&self) -> BuildAssessment {
        let judged = assess_build(&self.tally);
        match self.judge_way {
            JudgeWay::Sequential => judged,
            JudgeWay::Threshold | JudgeWay::FixedStages => BuildAssessment {
                log_odds: if is_over_threshold(&judged) || is_slow(&judged) {
                    f64::INFINITY
                } else {
                    -1.0
                },
                ..judged
            },
        }
    }
}

/// The share that a fixed schedule gives the new build.
fn fixed_share(now_ms: u64, within_ms: u64) -> f64 {
    let part = now_ms as f64 / within_ms as f64;
    match part {
        part if part < 0.3 => 0.05,
        part if part < 0.4 => 0.25,
        part if part < 0.5 => 0.5,
        _ => 1.0,
    }
}

fn is_over_threshold(judged: &BuildAssessment) -> bool {
    const FAILURES_MIN: u32 = 3;
    const TIMES: f64 = 2.0;
    let rate = |failures: u32, answers: u32| f64::from(failures) / f64::from(answers.max(1));
    judged.failures >= FAILURES_MIN
        && rate(judged.failures, judged.answers)
            > TIMES * rate(judged.old_failures, judged.old_answers)
}

/// Slow answers are told by the same test in all ways.
fn is_slow(judged: &BuildAssessment) -> bool {
    judged.is_bad() && judged.measure.is_some_and(Measure::is_time)
}

/// How a way did under one kind of build.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Figures {
    /// Rollouts that were played.
    pub played: u32,
    /// Requests that met the new build, in the mean.
    pub exposed_mean: f64,
    /// The same where it met most of one in a hundred.
    pub exposed_p99: u32,
    /// The part in which they were over the operators' bound.
    pub over_bound: f64,
    /// Milliseconds until it was left, in the mean of those that were.
    pub left_ms: f64,
    /// The part that was left.
    pub left: f64,
    /// The part that was done within the operators' time.
    pub done_in_time: f64,
}

/// Plays so many rollouts of one kind, by the seeds from 1 on.
pub fn figures(
    pool: &PoolTraffic,
    fault: Fault,
    exposure_way: ExposureWay,
    judge_way: JudgeWay,
    seeds: u32,
) -> Figures {
    let bound = ExposureBound::default();
    let all = (1..=seeds).map(|seed| play(pool, fault, exposure_way, judge_way, u64::from(seed)));
    let all: Vec<Played> = all.collect();
    let part = |holds: &dyn Fn(&Played) -> bool| {
        all.iter().filter(|played| holds(played)).count() as f64 / all.len() as f64
    };
    let mut exposed: Vec<u32> = all.iter().map(|played| played.exposed).collect();
    exposed.sort_unstable();
    let left: Vec<u64> = all.iter().filter_map(|played| played.left_ms).collect();
    let p99 = exposed.len() * 99 / 100;
    Figures {
        played: seeds,
        exposed_mean: exposed.iter().map(|count| f64::from(*count)).sum::<f64>() / all.len() as f64,
        exposed_p99: exposed[p99.min(exposed.len() - 1)],
        over_bound: part(&|played| {
            let most = bound.share * f64::from(played.requests) + SLACK;
            f64::from(played.exposed) > most
        }),
        left_ms: left.iter().sum::<u64>() as f64 / left.len().max(1) as f64,
        left: part(&|played| played.left_ms.is_some()),
        done_in_time: part(&|played| {
            played
                .done_ms
                .is_some_and(|done_ms| done_ms <= pool.within_ms)
        }),
    }
}
