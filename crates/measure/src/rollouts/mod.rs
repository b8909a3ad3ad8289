//! Simulates rollouts to compare policies that limit exposure and detect bad builds.
//!
//! The simulation runs in virtual time with delayed reports between hosts and takes
//! its decisions from `chalkrock-routing`; the alternative policies are defined here.

mod load;
mod stalls;

use std::collections::{BTreeMap, VecDeque};
use std::fmt;
use std::sync::Arc;

use chalkrock_routing::{
    BuildAssessment, BuildSide, Exposure, ExposureBound, Measure, MoveSchedule,
    ObservationClusters, ObservationTime, ObservedResponse, RolloutReason, RolloutStage,
    RolloutView, StageTransition, Tally, assess_build, next_stage,
};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

pub use self::load::Rise;
use self::load::{DrawnRise, EndpointLoads};
pub use self::stalls::Stalls;
use self::stalls::{HostStalls, draw_stalls};

/// Fault of the new build.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Fault {
    /// No fault.
    None,
    /// A fraction of its answers fails from the start.
    Fails,
    /// A fraction of its answers is slow from the start.
    Slow,
    /// A fraction of its answers fails from some seconds after the order.
    FailsLater,
    /// A fraction of its answers is slow from some seconds after the order.
    SlowLater,
    /// A fraction of its answers fails while its endpoints are as loaded as the old ones.
    FailsUnderLoad,
    /// A fraction of one route's answers fails.
    FailsOnOneRoute,
}

/// All faults.
pub const FAULTS: [Fault; 7] = [
    Fault::None,
    Fault::Fails,
    Fault::Slow,
    Fault::FailsLater,
    Fault::SlowLater,
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
            Fault::SlowLater => "slow later",
            Fault::FailsUnderLoad => "fails under load",
            Fault::FailsOnOneRoute => "fails on one route",
        })
    }
}

/// Policy that limits the share of requests sent to the new build.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExposurePolicy {
    /// Each host sends a fraction of its own requests, counted per route.
    PartsOfHosts,
    /// A few randomly chosen hosts send all of their requests.
    FewHosts,
    /// One host grants numbers of requests to the other hosts.
    Grants,
    /// Each request is chosen at random, independently of its route.
    Drawn,
}

/// Policy that detects a bad build.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DetectionPolicy {
    /// The sequential test of `chalkrock-routing`.
    Sequential,
    /// Bad at three failures and twice the old build's failure rate, or when slow.
    Threshold,
    /// The threshold, with a share that rises in fixed stages of 5, 25, 50 and 100 %.
    FixedStages,
}

/// How answers become observations.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EvidencePolicy {
    /// Each answer is an observation.
    EachAnswer,
    /// The answers of a host, route, side and measure in one moment are one observation.
    Clusters,
    /// Clusters, without times that the host itself delayed.
    LeftOut,
    /// Clusters, compared with the old build at the same host in the same moment.
    Matched,
    /// Matched clusters, without times that the host itself delayed, as in
    /// `chalkrock-routing`.
    MatchedLeftOut,
    /// The same without times at endpoints that were busier than the old build's were at the
    /// same host.
    WithinOldLoad,
}

/// Policies of a simulated fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Policies {
    /// Which requests go to the new build.
    pub exposure: ExposurePolicy,
    /// When a build is bad.
    pub detection: DetectionPolicy,
    /// What counts as an observation.
    pub evidence: EvidencePolicy,
}

impl Policies {
    /// The policies of `chalkrock-routing`.
    pub const KEPT: Policies = Policies {
        exposure: ExposurePolicy::PartsOfHosts,
        detection: DetectionPolicy::Sequential,
        evidence: EvidencePolicy::MatchedLeftOut,
    };
}

/// A pool and its traffic.
#[derive(Clone, Debug)]
pub struct PoolTraffic {
    /// Number of hosts that send requests.
    pub hosts: usize,
    /// Per route: requests per second, failure rate of any build, and mean request
    /// duration in milliseconds.
    pub routes: Vec<(f64, f64, f64)>,
    /// Endpoints per build.
    pub endpoints: u32,
    /// Slots per endpoint.
    pub slots: u32,
    /// Deadline that the operators set for the rollout.
    pub deadline_ms: u64,
    /// Stalls of the hosts.
    pub stalls: Stalls,
    /// A rise of the load.
    pub rise: Rise,
    /// Longest time that a request in progress needs to leave an old endpoint, in
    /// milliseconds; `None` if requests can't move and have to end.
    pub move_ms: Option<u64>,
}

impl PoolTraffic {
    /// Generation traffic: three routes, 291 requests per second.
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
            deadline_ms: 12_000,
            stalls: Stalls::None,
            rise: Rise::None,
            move_ms: None,
        }
    }

    /// Service traffic: two routes, 120 requests per second, one with a high failure rate.
    pub fn calls(hosts: usize) -> Self {
        Self {
            hosts,
            routes: vec![(98.0, 0.004, 30.0), (22.0, 0.14, 30.0)],
            endpoints: 3,
            slots: 6,
            deadline_ms: 12_000,
            stalls: Stalls::None,
            rise: Rise::None,
            move_ms: None,
        }
    }

    /// The same without a route that often fails.
    pub fn plain_calls(hosts: usize) -> Self {
        Self {
            routes: vec![(98.0, 0.004, 30.0), (22.0, 0.004, 30.0)],
            ..Self::calls(hosts)
        }
    }

    fn rate_per_s(&self) -> f64 {
        self.routes.iter().map(|(rate_per_s, ..)| rate_per_s).sum()
    }

    /// Longest time that a request of each route needs to leave an old endpoint.
    fn max_leave_times_ms(&self) -> BTreeMap<Arc<str>, u64> {
        let routes = self.routes.iter().enumerate();
        let times = routes.map(|(i, (.., duration_ms))| {
            let leave_ms = (duration_ms * MAX_TO_MEAN) as u64;
            (
                route_name(i),
                leave_ms.min(self.move_ms.unwrap_or(u64::MAX)),
            )
        });
        times.collect()
    }
}

/// Result of one simulated rollout.
#[derive(Clone, Copy, Debug)]
pub struct RolloutResult {
    /// Requests sent to the new build before the deadline.
    pub exposed: u32,
    /// Requests from the order to the deadline.
    pub requests: u32,
    /// Time from the order to the rollback.
    pub rolled_back_ms: Option<u64>,
    /// Time from the order to completion.
    pub done_ms: Option<u64>,
    /// Time from the order to the 50th bad answer.
    pub bad_answers_ms: Option<u64>,
    /// Time from the order to the last request sent to the new build.
    pub last_exposed_ms: u64,
    /// Bad answers of the new build.
    pub bad_answers: u32,
}

const STEP_MS: u64 = 50;
/// Simulated time, as a multiple of the deadline.
const SIMULATED_DEADLINES: u64 = 3;
/// Age of the order at which the record of the canary is written, and hosts count.
const RECORD_MS: u64 = 400;
/// Delay of reports to the deciding host, and of stages to all hosts.
const REPORT_DELAY_MS: u64 = 400;
/// Time from the order until endpoints of the new build accept requests.
const ENDPOINT_START_MS: u64 = 1_500;
/// Exposed requests allowed in addition to the operators' share.
const SLACK_REQUESTS: f64 = 50.0;
/// Time in which a host sees what arrived during its stall.
const CATCH_UP_MS: u64 = 150;
/// Bad answers from which operators count the time to the rollback.
const COUNTED_BAD_ANSWERS: u32 = 50;
/// Fraction of a bad build's answers that are bad.
const BAD_ANSWER_FRACTION: std::ops::Range<f64> = 0.2..0.6;
const SLOWDOWN_FACTOR: f64 = 5.0;
/// Longest request duration, as a multiple of the mean.
const MAX_TO_MEAN: f64 = 3.3;
/// Time to the first byte, as a fraction of the request duration.
const FIRST_BYTE_FRACTION: f64 = 0.05;
/// Standard deviation of the logarithm of request durations and host weights.
const LOG_STD_DEV: f64 = 0.5;

/// A drawn answer.
#[derive(Clone, Copy, Debug)]
struct Answer {
    /// Whether the fault of the build affects it.
    is_bad: bool,
    failed: bool,
}

/// An event of an answer on its way to the deciding host.
struct Report {
    host: usize,
    route: usize,
    side: BuildSide,
    event: ObservedResponse,
    at: ObservationTime,
    /// Requests at its endpoint for each slot when it was sent.
    occupancy: f64,
}

struct Simulation<'a> {
    pool: &'a PoolTraffic,
    fault: Fault,
    policies: Policies,
    bound: ExposureBound,
    rng: StdRng,
    route_names: Vec<Arc<str>>,
    weights: Vec<f64>,
    exposures: Vec<Exposure>,
    senders: Vec<bool>,
    granted: Vec<f64>,
    bad_fraction: f64,
    bad_from_ms: u64,
    /// Reports in transit to the deciding host, by arrival time.
    reports: BTreeMap<(u64, u64), Report>,
    report_count: u64,
    tally: Tally,
    clusters: BTreeMap<(usize, Option<BuildSide>), ObservationClusters>,
    /// Requests in progress at old endpoints, by when their end is reported.
    old_ends: BTreeMap<u64, u32>,
    /// Requests that wait for the end of their host's stall.
    held_requests: BTreeMap<u64, Vec<(usize, usize)>>,
    host_stalls: Vec<HostStalls>,
    rise: Option<DrawnRise>,
    endpoint_loads: EndpointLoads,
    /// Occupancies at which each host observed the old build.
    old_occupancies: Vec<Vec<f64>>,
    /// Requests sent to the new build, by when the deciding host knows of them.
    exposed_reports: VecDeque<u64>,
    known_exposed: u32,
    /// When each bad answer of the new build is seen.
    bad_seen_ms: Vec<u64>,
    stage: RolloutStage,
    /// Previous and current stage at the hosts, and when the current one arrives.
    announced: (RolloutStage, RolloutStage, u64),
    idle_since_ms: Option<u64>,
    /// Known failures of the new build, and when these last became more.
    known_failures: u32,
    failed_at_ms: Option<u64>,
    /// When each route moves to the new build.
    moves_ms: Vec<u64>,
}

/// Simulates one rollout.
pub fn simulate(pool: &PoolTraffic, fault: Fault, policies: Policies, seed: u64) -> RolloutResult {
    let mut rng = StdRng::seed_from_u64(seed);
    let bound = ExposureBound {
        slack: SLACK_REQUESTS,
        ..ExposureBound::default()
    };
    let weights: Vec<f64> = (0..pool.hosts).map(|_| log_normal(&mut rng)).collect();
    let exposures = (0..pool.hosts).map(|_| Exposure::new(bound, pool.deadline_ms, rng.random()));
    let exposures: Vec<Exposure> = exposures.collect();
    let share = exposures[0].share();
    let sender_count = ((share * pool.hosts as f64).round() as usize).max(1);
    let mut senders = vec![false; pool.hosts];
    (0..sender_count).for_each(|_| senders[rng.random_range(0..pool.hosts)] = true);
    let bad_fraction = rng.random_range(BAD_ANSWER_FRACTION);
    let bad_from_ms = match fault {
        Fault::FailsLater | Fault::SlowLater => rng.random_range(0..pool.deadline_ms),
        _ => 0,
    };
    let host_stalls = draw_stalls(
        pool.stalls,
        pool.hosts,
        SIMULATED_DEADLINES * pool.deadline_ms,
        &mut rng,
    );
    let rise = pool.rise.draw(pool.deadline_ms, &mut rng);
    let mut simulation = Simulation {
        rise,
        endpoint_loads: EndpointLoads::new(pool.endpoints),
        old_occupancies: vec![Vec::new(); pool.hosts],
        bound,
        pool,
        fault,
        policies,
        route_names: (0..pool.routes.len()).map(route_name).collect(),
        weights,
        exposures,
        senders,
        granted: vec![0.0; pool.hosts],
        bad_fraction,
        bad_from_ms,
        rng,
        reports: BTreeMap::new(),
        report_count: 0,
        tally: Tally::default(),
        clusters: BTreeMap::new(),
        old_ends: BTreeMap::new(),
        held_requests: BTreeMap::new(),
        host_stalls,
        exposed_reports: VecDeque::new(),
        known_exposed: 0,
        bad_seen_ms: Vec::new(),
        stage: RolloutStage::Canary,
        announced: (RolloutStage::Canary, RolloutStage::Canary, 0),
        idle_since_ms: None,
        known_failures: 0,
        failed_at_ms: None,
        moves_ms: vec![0; pool.routes.len()],
    };
    simulation.run()
}

fn route_name(route: usize) -> Arc<str> {
    format!("route-{route}").into()
}

fn log_normal(rng: &mut StdRng) -> f64 {
    // Approximates a normal distribution by a sum of uniform draws.
    const DRAWS: u32 = 12;
    let normal = (0..DRAWS).map(|_| rng.random::<f64>()).sum::<f64>() - f64::from(DRAWS) / 2.0;
    (LOG_STD_DEV * normal).exp().min(MAX_TO_MEAN)
}

impl Simulation<'_> {
    fn run(&mut self) -> RolloutResult {
        let mut result = RolloutResult {
            exposed: 0,
            requests: 0,
            rolled_back_ms: None,
            done_ms: None,
            bad_answers_ms: None,
            last_exposed_ms: 0,
            bad_answers: 0,
        };
        let end_ms = SIMULATED_DEADLINES * self.pool.deadline_ms;
        let mut now_ms = 0;
        while now_ms < end_ms && !(self.stage.is_final() && now_ms >= self.pool.deadline_ms) {
            self.simulate_arrivals(now_ms, &mut result);
            self.deliver_reports(now_ms);
            if now_ms >= ENDPOINT_START_MS
                && let Some((view, decision)) = self.decide(now_ms)
            {
                self.stage = decision.stage;
                if decision.stage == RolloutStage::Moving {
                    self.moves_ms = self.move_times_ms(&view);
                }
                self.announced = (self.announced.1, decision.stage, now_ms + REPORT_DELAY_MS);
                match decision.stage {
                    RolloutStage::RolledBack => result.rolled_back_ms = Some(now_ms),
                    RolloutStage::Done => result.done_ms = Some(now_ms),
                    RolloutStage::Canary | RolloutStage::Moving => {}
                }
            }
            now_ms += STEP_MS;
        }
        self.bad_seen_ms.sort_unstable();
        result.bad_answers = self.bad_seen_ms.len() as u32;
        let counted = self.bad_seen_ms.get(COUNTED_BAD_ANSWERS as usize - 1);
        result.bad_answers_ms = counted.copied();
        result
    }

    /// Returns when each route moves. Fixed stages move all routes at once.
    fn move_times_ms(&self, view: &RolloutView) -> Vec<u64> {
        if self.policies.detection == DetectionPolicy::FixedStages {
            return vec![view.age_ms; self.route_names.len()];
        }
        let moves_ms = view.moves_ms();
        let move_ms = |route| moves_ms.get(route).copied().unwrap_or_default();
        self.route_names.iter().map(move_ms).collect()
    }

    /// Returns the stage that has reached the hosts.
    fn announced_stage(&self, now_ms: u64) -> RolloutStage {
        let (before, after, from_ms) = self.announced;
        if now_ms >= from_ms { after } else { before }
    }

    fn simulate_arrivals(&mut self, now_ms: u64, result: &mut RolloutResult) {
        let factor = self.rise.map_or(1.0, |rise| rise.factor_at(now_ms));
        let mean = factor * self.pool.rate_per_s() * STEP_MS as f64 / 1_000.0;
        let mut count = mean.floor() as u32;
        count += u32::from(self.rng.random::<f64>() < mean.fract());
        let mut requests = Vec::new();
        for _ in 0..count {
            let route = self.draw_route();
            let host = self.draw_host();
            result.requests += u32::from(now_ms < self.pool.deadline_ms);
            let sent_ms = self.host_stalls[host].end_of_stall(now_ms);
            if sent_ms > now_ms {
                self.held_requests
                    .entry(sent_ms)
                    .or_default()
                    .push((host, route));
            } else {
                requests.push((host, route));
            }
        }
        let later = self.held_requests.split_off(&(now_ms + 1));
        let due = std::mem::replace(&mut self.held_requests, later);
        requests.extend(due.into_values().flatten());
        for (host, route) in requests {
            self.send(host, route, now_ms, result);
        }
    }

    fn send(&mut self, host: usize, route: usize, now_ms: u64, result: &mut RolloutResult) {
        let side = self.choose_build(host, route, now_ms);
        let (answer, mut duration_ms) = self.draw_answer(route, side, now_ms);
        let mut first_byte_ms = duration_ms as f64 * FIRST_BYTE_FRACTION;
        let mut occupancy = 0.0;
        if let Some(rise) = self.rise {
            let endpoints = self.serving_endpoints(side, now_ms);
            let loads = &mut self.endpoint_loads;
            let (endpoint, load) = loads.choose(side, endpoints, now_ms, &mut self.rng);
            occupancy = f64::from(load) / f64::from(self.pool.slots);
            let Some(delay) = rise.delay(load, self.pool.slots, self.mean_duration_ms()) else {
                // The endpoint rejects it as not run.
                return;
            };
            duration_ms = (duration_ms as f64 * delay.factor + delay.wait_ms) as u64;
            first_byte_ms = first_byte_ms * delay.factor + delay.wait_ms;
            self.endpoint_loads
                .begin(side, endpoint, now_ms + duration_ms);
        }
        let began = self.seen(host, now_ms, now_ms + first_byte_ms as u64);
        let ended = self.seen(host, now_ms, now_ms + duration_ms);
        if side == BuildSide::New {
            result.exposed += u32::from(now_ms < self.pool.deadline_ms);
            result.last_exposed_ms = now_ms;
            self.exposed_reports.push_back(now_ms + REPORT_DELAY_MS);
            if answer.is_bad {
                self.bad_seen_ms.push(ended.now_ms);
            }
        } else {
            let known_ms = ended.now_ms + REPORT_DELAY_MS;
            *self.old_ends.entry(known_ms).or_default() += 1;
        }
        let measured_ms = |at: ObservationTime| (at.now_ms - now_ms) as f64;
        let began_event = ObservedResponse::Began {
            first_byte_ms: first_byte_ms.max(measured_ms(began)),
            holds_prefix: true,
        };
        let ended_event = if answer.failed {
            ObservedResponse::Failed
        } else {
            let pace_ms = Some((duration_ms as f64).max(measured_ms(ended)));
            ObservedResponse::Ended { pace_ms }
        };
        for (event, at) in [(began_event, began), (ended_event, ended)] {
            let report = Report {
                host,
                route,
                side,
                event,
                at,
                occupancy,
            };
            self.report_count += 1;
            let due = (at.now_ms + REPORT_DELAY_MS, self.report_count);
            self.reports.insert(due, report);
        }
    }

    /// When a host sees an event.
    fn seen(&mut self, host: usize, sent_ms: u64, event_ms: u64) -> ObservationTime {
        let stalls = &self.host_stalls[host];
        let mut now_ms = stalls.end_of_stall(event_ms);
        if now_ms > event_ms {
            now_ms += self.rng.random_range(0..CATCH_UP_MS);
        }
        ObservationTime {
            now_ms,
            stalled_ms: stalls.measured_ms(sent_ms, now_ms),
        }
    }

    /// How many endpoints of a build get requests.
    fn serving_endpoints(&self, side: BuildSide, now_ms: u64) -> u32 {
        if side == BuildSide::Old || self.announced_stage(now_ms) != RolloutStage::Canary {
            return self.pool.endpoints;
        }
        let share = self.exposures[0].share() * f64::from(self.pool.endpoints);
        share.ceil().max(1.0) as u32
    }

    /// The mean duration of requests, over all routes.
    fn mean_duration_ms(&self) -> f64 {
        let routes = self.pool.routes.iter();
        let total: f64 = routes
            .map(|(rate, _, duration_ms)| rate * duration_ms)
            .sum();
        total / self.pool.rate_per_s()
    }

    fn draw_route(&mut self) -> usize {
        let mut drawn = self.rng.random::<f64>() * self.pool.rate_per_s();
        let found = self.pool.routes.iter().position(|(rate_per_s, ..)| {
            drawn -= rate_per_s;
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

    fn choose_build(&mut self, host: usize, route: usize, now_ms: u64) -> BuildSide {
        let stage = self.announced_stage(now_ms);
        let uses_new = match stage {
            RolloutStage::Canary if now_ms < ENDPOINT_START_MS => false,
            RolloutStage::Canary if self.policies.detection == DetectionPolicy::FixedStages => {
                self.rng.random::<f64>() < fixed_share(now_ms, self.pool.deadline_ms)
            }
            RolloutStage::Canary => match self.policies.exposure {
                ExposurePolicy::PartsOfHosts => {
                    self.exposures[host].admits(&self.route_names[route], now_ms, self.pool.hosts)
                }
                ExposurePolicy::FewHosts => self.senders[host],
                ExposurePolicy::Drawn => self.rng.random::<f64>() < self.exposures[host].share(),
                ExposurePolicy::Grants => self.take_grant(host, now_ms),
            },
            RolloutStage::Moving => now_ms >= self.moves_ms[route],
            RolloutStage::Done => true,
            RolloutStage::RolledBack => false,
        };
        if uses_new {
            BuildSide::New
        } else {
            BuildSide::Old
        }
    }

    /// Renews the host's grant each interval and takes one request from it.
    fn take_grant(&mut self, host: usize, now_ms: u64) -> bool {
        const GRANT_INTERVAL_MS: u64 = 200;
        if now_ms.is_multiple_of(GRANT_INTERVAL_MS) && self.granted[host] < 1.0 {
            let new_rate_per_s = self.exposures[host].share() * self.pool.rate_per_s();
            let grant = new_rate_per_s * GRANT_INTERVAL_MS as f64 / 1_000.0;
            self.granted[host] +=
                grant / self.pool.hosts as f64 * f64::from(self.pool.slots.min(4));
        }
        let uses_new = self.granted[host] >= 1.0;
        self.granted[host] -= f64::from(u8::from(uses_new));
        uses_new
    }

    /// Draws whether an answer fails and how long it takes.
    fn draw_answer(&mut self, route: usize, side: BuildSide, now_ms: u64) -> (Answer, u64) {
        let (_, failure_rate, duration_ms) = self.pool.routes[route];
        let is_bad = side == BuildSide::New
            && now_ms >= self.bad_from_ms
            && self.rng.random::<f64>() < self.bad_fraction
            && match self.fault {
                Fault::None => false,
                Fault::Fails | Fault::Slow | Fault::FailsLater | Fault::SlowLater => true,
                // All other policies load the few exposed endpoints as much as old ones.
                Fault::FailsUnderLoad => self.policies.exposure != ExposurePolicy::Drawn,
                Fault::FailsOnOneRoute => route == self.pool.routes.len() - 1,
            };
        let slow = is_bad && matches!(self.fault, Fault::Slow | Fault::SlowLater);
        let factor = if slow { SLOWDOWN_FACTOR } else { 1.0 };
        let failed = (is_bad && !slow) || self.rng.random::<f64>() < failure_rate;
        let duration_ms = duration_ms * factor * log_normal(&mut self.rng);
        (Answer { is_bad, failed }, duration_ms as u64)
    }

    fn deliver_reports(&mut self, now_ms: u64) {
        let later = self.reports.split_off(&(now_ms + 1, 0));
        let due = std::mem::replace(&mut self.reports, later);
        due.into_values().for_each(|report| self.observe(report));
        while self
            .exposed_reports
            .front()
            .is_some_and(|due| *due <= now_ms)
        {
            self.exposed_reports.pop_front();
            self.known_exposed += 1;
        }
        self.old_ends = self.old_ends.split_off(&(now_ms + 1));
    }

    fn observe(&mut self, report: Report) {
        let Report {
            host,
            route,
            side,
            mut event,
            mut at,
            occupancy,
        } = report;
        if self.policies.evidence == EvidencePolicy::WithinOldLoad {
            let old = &mut self.old_occupancies[host];
            if side == BuildSide::Old {
                old.push(occupancy);
            } else if !load::is_within(old, occupancy) {
                event = match event {
                    ObservedResponse::Began { .. } => return,
                    ObservedResponse::Ended { .. } => ObservedResponse::Ended { pace_ms: None },
                    ObservedResponse::Failed => ObservedResponse::Failed,
                };
            }
        }
        let route = &self.route_names[route];
        let (leaves_out, matches) = match self.policies.evidence {
            EvidencePolicy::EachAnswer => {
                self.tally.record(route, side, event);
                return;
            }
            EvidencePolicy::Clusters => (false, false),
            EvidencePolicy::LeftOut => (true, false),
            EvidencePolicy::Matched => (false, true),
            EvidencePolicy::MatchedLeftOut | EvidencePolicy::WithinOldLoad => (true, true),
        };
        if !leaves_out {
            at.stalled_ms = 0;
        }
        // Without a match, neither side sees the answers of the other one, nor a second
        // answer of its own route.
        let key = (host, (!matches).then_some(side));
        let clusters = self.clusters.entry(key).or_default();
        clusters.record(&mut self.tally, route, side, event, at);
    }

    fn decide(&mut self, now_ms: u64) -> Option<(RolloutView, StageTransition)> {
        if self.stage.is_final() {
            return None;
        }
        let old_in_progress: u32 = self.old_ends.values().sum();
        let last_move_ms = self.moves_ms.iter().max().copied().unwrap_or_default();
        let have_moved = self.stage == RolloutStage::Moving && now_ms >= last_move_ms;
        let have_left = self.pool.move_ms.is_some_and(|move_ms| {
            have_moved && now_ms >= last_move_ms + move_ms + REPORT_DELAY_MS
        });
        let is_idle = have_moved && (old_in_progress == 0 || have_left);
        if !is_idle {
            self.idle_since_ms = None;
        }
        let since_ms = is_idle.then(|| *self.idle_since_ms.get_or_insert(now_ms));
        let failures = self.tally.failures(BuildSide::New);
        if failures > self.known_failures {
            self.failed_at_ms = Some(now_ms);
        }
        self.known_failures = failures;
        let view = RolloutView {
            stage: Some(self.stage),
            age_ms: now_ms,
            within_ms: self.pool.deadline_ms,
            is_withdrawn: false,
            new_slots: self.pool.endpoints * self.pool.slots,
            old_slots: self.pool.endpoints * self.pool.slots,
            in_progress: old_in_progress,
            moved_ms: if have_moved { now_ms - last_move_ms } else { 0 },
            old_idle_ms: since_ms.map_or(0, |since_ms| now_ms - since_ms),
            max_service_times_ms: self.pool.max_leave_times_ms(),
            request_rates_per_s: self
                .tally
                .request_rates_per_s(now_ms.saturating_sub(RECORD_MS)),
            new_requests: self.known_exposed,
            bound: self.bound,
            failed_ago_ms: self.failed_at_ms.map(|at_ms| now_ms - at_ms),
            assessment: self.assessment(),
        };
        let transition = match self.policies.detection {
            DetectionPolicy::FixedStages if self.stage == RolloutStage::Canary => {
                let is_bad = view.assessment.is_bad();
                let is_move_due = now_ms >= MoveSchedule::new(&view).announce_ms;
                let stage = if is_bad {
                    RolloutStage::RolledBack
                } else if is_move_due {
                    RolloutStage::Moving
                } else {
                    return None;
                };
                let reason = RolloutReason::Sound;
                Some(StageTransition { stage, reason })
            }
            _ => next_stage(&view),
        };
        transition.map(|transition| (view, transition))
    }

    fn assessment(&self) -> BuildAssessment {
        let assessment = assess_build(&self.tally);
        match self.policies.detection {
            DetectionPolicy::Sequential => assessment,
            DetectionPolicy::Threshold | DetectionPolicy::FixedStages => BuildAssessment {
                log_odds: if is_over_threshold(&assessment) || is_slow(&assessment) {
                    f64::INFINITY
                } else {
                    -1.0
                },
                ..assessment
            },
        }
    }
}

/// Share of requests sent to the new build under a fixed schedule.
fn fixed_share(now_ms: u64, deadline_ms: u64) -> f64 {
    let elapsed_fraction = now_ms as f64 / deadline_ms as f64;
    match elapsed_fraction {
        fraction if fraction < 0.3 => 0.05,
        fraction if fraction < 0.4 => 0.25,
        fraction if fraction < 0.5 => 0.5,
        _ => 1.0,
    }
}

fn is_over_threshold(assessment: &BuildAssessment) -> bool {
    const MIN_FAILURES: u32 = 3;
    const MIN_RATE_RATIO: f64 = 2.0;
    let rate = |failures: u32, answers: u32| f64::from(failures) / f64::from(answers.max(1));
    assessment.failures >= MIN_FAILURES
        && rate(assessment.failures, assessment.answers)
            > MIN_RATE_RATIO * rate(assessment.old_failures, assessment.old_answers)
}

/// All policies detect slow answers by the sequential test.
fn is_slow(assessment: &BuildAssessment) -> bool {
    assessment.is_bad() && assessment.measure.is_some_and(Measure::is_time)
}

/// Summary of a policy's rollouts under one fault.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PolicySummary {
    /// Number of simulated rollouts.
    pub rollouts: u32,
    /// Mean number of requests sent to the new build.
    pub exposed_mean: f64,
    /// 99th percentile of requests sent to the new build.
    pub exposed_p99: u32,
    /// Fraction of rollouts that exceeded the operators' exposure bound.
    pub over_bound: f64,
    /// Mean time to the rollback, among rollouts that were rolled back.
    pub rolled_back_ms: f64,
    /// Fraction of rollouts that were rolled back.
    pub rolled_back: f64,
    /// Fraction of rollouts in which the new build got a request later than 5 s after
    /// its 50th bad answer.
    pub rolled_back_late: f64,
    /// Fraction of rollouts that completed within the deadline.
    pub done_in_time: f64,
    /// Fraction of rollouts that completed.
    pub done: f64,
    /// Mean time to completion, among rollouts that completed.
    pub done_ms: f64,
}

/// Longest time from the 50th bad answer to the last request of a bad build.
const ROLLBACK_MS: u64 = 5_000;
/// Simulations that run at the same time.
const THREADS: u32 = 4;

/// Simulates rollouts with seeds 1 to `seeds` and summarises them.
pub fn evaluate(pool: &PoolTraffic, fault: Fault, policies: Policies, seeds: u32) -> PolicySummary {
    let run_part = |part: u32| -> Vec<RolloutResult> {
        let seeds = (1..=seeds).filter(|seed| seed % THREADS == part);
        let runs = seeds.map(|seed| simulate(pool, fault, policies, u64::from(seed)));
        runs.collect()
    };
    let run_part = &run_part;
    let runs: Vec<RolloutResult> = std::thread::scope(|scope| {
        let parts = (0..THREADS).map(|part| scope.spawn(move || run_part(part)));
        let parts: Vec<_> = parts.collect();
        let results = parts
            .into_iter()
            .map(|part| part.join().unwrap_or_default());
        results.flatten().collect()
    });
    let fraction = |predicate: &dyn Fn(&RolloutResult) -> bool| {
        runs.iter().filter(|run| predicate(run)).count() as f64 / runs.len() as f64
    };
    let mean_ms =
        |times_ms: Vec<u64>| times_ms.iter().sum::<u64>() as f64 / times_ms.len().max(1) as f64;
    let mut exposed: Vec<u32> = runs.iter().map(|run| run.exposed).collect();
    exposed.sort_unstable();
    let p99 = exposed.len() * 99 / 100;
    let bound = ExposureBound::default();
    PolicySummary {
        rollouts: seeds,
        exposed_mean: exposed.iter().map(|count| f64::from(*count)).sum::<f64>()
            / runs.len() as f64,
        exposed_p99: exposed[p99.min(exposed.len() - 1)],
        over_bound: fraction(&|run| {
            let max_exposed = bound.share * f64::from(run.requests) + SLACK_REQUESTS;
            f64::from(run.exposed) > max_exposed
        }),
        rolled_back_ms: mean_ms(runs.iter().filter_map(|run| run.rolled_back_ms).collect()),
        rolled_back: fraction(&|run| run.rolled_back_ms.is_some()),
        rolled_back_late: fraction(&|run| {
            run.bad_answers_ms
                .is_some_and(|bad_ms| run.last_exposed_ms > bad_ms + ROLLBACK_MS)
        }),
        done_in_time: fraction(&|run| {
            run.done_ms
                .is_some_and(|done_ms| done_ms <= pool.deadline_ms)
        }),
        done: fraction(&|run| run.done_ms.is_some()),
        done_ms: mean_ms(runs.iter().filter_map(|run| run.done_ms).collect()),
    }
}
