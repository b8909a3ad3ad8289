//! Plans of faults, drawn from seeds.

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::proxy::LinkMode;

/// A fault of the fleet's surroundings or of one of its processes.
#[derive(Clone, Debug, PartialEq)]
pub enum Fault {
    /// A host gets SIGTERM, and starts again at the end.
    HostTerminated(usize),
    /// A host gets SIGKILL, and starts again at the end.
    HostKilled(usize),
    /// A host gets SIGSTOP, and SIGCONT at the end.
    HostPaused(usize),
    /// All hosts get SIGKILL, and start again at the end.
    AllHostsKilled,
    /// The link of callers to a host.
    CallerLink(usize, LinkMode),
    /// The link of a host to the store.
    StoreLink(usize, LinkMode),
    /// The link of all hosts to an endpoint.
    EndpointLink(usize, LinkMode),
    /// The store rejects every call.
    StoreDown,
    /// The store responds after this delay in milliseconds.
    StoreSlow(u64),
    /// The store rejects the calls of a host with this status.
    StoreRejects(usize, u16),
    /// The store performs the calls of a host and never responds.
    StoreLosesResponses(usize),
    /// The store forgets its history.
    StoreDropsHistory,
    /// An endpoint ends without notice, and starts again by its name at the end.
    EndpointCrashes(usize),
    /// An endpoint responds with errors.
    EndpointFails(usize),
    /// An endpoint takes several times as long.
    EndpointSlow(usize),
    /// An endpoint drains and ends, and starts again by its name at the end.
    EndpointLeaves(usize),
    /// Callers send several times as much.
    Overrun,
}

impl Fault {
    /// The host whose process the fault ends or pauses.
    fn host_process(&self) -> Option<usize> {
        match self {
            Fault::HostTerminated(host) | Fault::HostKilled(host) | Fault::HostPaused(host) => {
                Some(*host)
            }
            _ => None,
        }
    }

    /// Whether both faults can't be in progress at once: they act on the same thing, or too
    /// little would be left of the fleet.
    fn excludes(&self, other: &Fault) -> bool {
        use Fault::{
            AllHostsKilled, CallerLink, EndpointCrashes, EndpointFails, EndpointLeaves,
            EndpointLink, EndpointSlow, Overrun, StoreDown, StoreLink, StoreLosesResponses,
            StoreRejects, StoreSlow,
        };
        let endpoint = |fault: &Fault| match fault {
            EndpointCrashes(e)
            | EndpointFails(e)
            | EndpointSlow(e)
            | EndpointLeaves(e)
            | EndpointLink(e, _) => Some(*e),
            _ => None,
        };
        let store_wide = |fault: &Fault| matches!(fault, StoreDown | StoreSlow(_));
        let store_host = |fault: &Fault| match fault {
            StoreLink(host, _) | StoreRejects(host, _) | StoreLosesResponses(host) => Some(*host),
            _ => None,
        };
        let caller_host = |fault: &Fault| match fault {
            CallerLink(host, _) => Some(*host),
            _ => None,
        };
        let same = |a: Option<usize>, b: Option<usize>| a.is_some() && a == b;
        let all_killed = |a: &Fault, b: &Fault| {
            *a == AllHostsKilled && (*b == AllHostsKilled || b.host_process().is_some())
        };
        all_killed(self, other)
            || all_killed(other, self)
            || same(self.host_process(), other.host_process())
            || same(endpoint(self), endpoint(other))
            || same(store_host(self), store_host(other))
            || same(caller_host(self), caller_host(other))
            || (store_wide(self) && store_wide(other))
            || (*self == Overrun && *other == Overrun)
    }
}

/// A fault and when it is in progress.
#[derive(Clone, Debug, PartialEq)]
pub struct PlannedFault {
    /// When it begins, in milliseconds.
    pub at_ms: u64,
    /// How long it lasts, in milliseconds.
    pub for_ms: u64,
    /// What happens.
    pub fault: Fault,
}

impl PlannedFault {
    /// When it ends, in milliseconds.
    pub fn end_ms(&self) -> u64 {
        self.at_ms + self.for_ms
    }
}

/// How the build of a rollout behaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RolloutKind {
    /// Like the old build.
    Good,
    /// A part of its responses fail from the start.
    Bad,
    /// A part of its responses fail from this long after the order, in milliseconds.
    BadLater(u64),
    /// Like the old build, and withdrawn this long after the order, in milliseconds.
    Withdrawn(u64),
}

/// An order to roll out another build.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rollout {
    /// When it is ordered, in milliseconds.
    pub at_ms: u64,
    /// Time to the deadline, in milliseconds.
    pub within_ms: u64,
    /// How the build behaves.
    pub kind: RolloutKind,
    /// Whether it is of the pool of streams instead of the pool of calls.
    pub is_of_streams: bool,
}

/// How far an answer on a poison part gets before its endpoint crashes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CrashPoint {
    /// Nothing of it is sent.
    BeforeHead,
    /// The first event is sent.
    AfterFirstEvent,
    /// The first event is sent, and others follow until the crash.
    WhileStreaming,
    /// All of it is sent.
    AfterAnswer,
}

/// Requests with a part of their prompts that crashes endpoints of the pool of streams.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PoisonPart {
    /// When the first one is sent, in milliseconds.
    pub at_ms: u64,
    /// For how long they are sent, in milliseconds.
    pub for_ms: u64,
    /// Time between two of them, in milliseconds.
    pub interval_ms: u64,
    /// How far answers get.
    pub crash_point: CrashPoint,
    /// Time from there to the crash, in milliseconds.
    pub crash_delay_ms: u64,
    /// The position of the part, from 0. Another part follows it in any case.
    pub position: usize,
}

/// Endpoints of another build that register one by one in the pool of streams, without a rollout.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LateBuild {
    /// When the first one registers, in milliseconds.
    pub at_ms: u64,
    /// Number of endpoints.
    pub endpoints: usize,
    /// Time between two registrations, in milliseconds.
    pub interval_ms: u64,
    /// Whether all hosts get a quarter of a core meanwhile.
    pub throttles_hosts: bool,
}

/// Sizes and times that a plan is drawn within.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlanShape {
    /// When the first fault may begin, in milliseconds.
    pub from_ms: u64,
    /// When the last fault has ended, in milliseconds.
    pub until_ms: u64,
}

/// What one seed plays.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    /// The seed.
    pub seed: u64,
    /// Number of hosts, 3 to 8.
    pub hosts: usize,
    /// Number of endpoints, 6 to 13. A rollout starts others beside them.
    pub endpoints: usize,
    /// The faults, by their begin.
    pub faults: Vec<PlannedFault>,
    /// The rollout, if one is played.
    pub rollout: Option<Rollout>,
    /// When a change of the configuration is written, in milliseconds.
    pub config_at_ms: u64,
    /// Whether endpoints have names of three bytes. Hash functions treat short inputs apart,
    /// and two endpoints of such names were once mistaken for each other.
    pub has_short_names: bool,
    /// Whether endpoints of the pool of streams have two builds without a rollout.
    pub has_two_builds: bool,
    /// Successful responses without a length and chunks, in thousandths.
    pub close_delimited_permille: u32,
    /// Requests that crash endpoints, if any are sent.
    pub poison_part: Option<PoisonPart>,
    /// Endpoints that register late, if any do.
    pub late_build: Option<LateBuild>,
}

impl Plan {
    /// Draws the plan of a seed. The same seed gives the same plan.
    pub fn draw(seed: u64, shape: PlanShape) -> Self {
        const MIN_FAULT_MS: u64 = 500;
        const MAX_FAULT_MS: u64 = 5_000;
        const MAX_GAP_MS: u64 = 1_500;
        const SHORT_NAMES_RATIO: f64 = 0.05;
        const TWO_BUILDS_RATIO: f64 = 0.5;
        const CLOSE_DELIMITED_RATIO: f64 = 0.5;
        const CLOSE_DELIMITED_PERMILLE: u32 = 300;
        const POISON_PART_RATIO: f64 = 0.4;
        const LATE_BUILD_RATIO: f64 = 0.4;
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let hosts = random.random_range(3..=8);
        let endpoints = random.random_range(6..=13);
        let is_series = random.random_bool(0.5);
        let mut faults: Vec<PlannedFault> = Vec::new();
        let mut at_ms = shape.from_ms;
        loop {
            let for_ms = random.random_range(MIN_FAULT_MS..MAX_FAULT_MS);
            if at_ms + for_ms > shape.until_ms {
                break;
            }
            let planned = PlannedFault {
                at_ms,
                for_ms,
                fault: draw_fault(&mut random, hosts, endpoints),
            };
            let collides = faults.iter().any(|other| {
                let overlaps = other.at_ms < planned.end_ms() && planned.at_ms < other.end_ms();
                overlaps && other.fault.excludes(&planned.fault)
            });
            if !collides {
                faults.push(planned);
            }
            let gap_ms = random.random_range(0..MAX_GAP_MS);
            at_ms += if is_series { for_ms + gap_ms } else { gap_ms };
        }
        let rollout = random
            .random_bool(0.7)
            .then(|| draw_rollout(&mut random, shape));
        let config_at_ms = random.random_range(shape.from_ms..shape.until_ms);
        let has_short_names = random.random_bool(SHORT_NAMES_RATIO);
        // Drawn last, so that seeds keep what they drew before.
        let draws_two_builds = random.random_bool(TWO_BUILDS_RATIO);
        let is_close_delimited = random.random_bool(CLOSE_DELIMITED_RATIO);
        let mut poison_part = random
            .random_bool(POISON_PART_RATIO)
            .then(|| draw_poison_part(&mut random, shape))
            .filter(|_| !rollout.is_some_and(|order| order.is_of_streams));
        let late_build = random
            .random_bool(LATE_BUILD_RATIO)
            .then(|| draw_late_build(&mut random, shape))
            .filter(|_| poison_part.is_none());
        let late_build = late_build.filter(|_| !rollout.is_some_and(|order| order.is_of_streams));
        if let Some(part) = &mut poison_part {
            draw_crash_point(&mut random, part);
        }
        Self {
            seed,
            hosts,
            endpoints,
            faults,
            rollout,
            config_at_ms,
            has_short_names,
            has_two_builds: draws_two_builds && !rollout.is_some_and(|order| order.is_of_streams),
            close_delimited_permille: if is_close_delimited {
                CLOSE_DELIMITED_PERMILLE
            } else {
                0
            },
            poison_part,
            late_build,
        }
    }
}

fn draw_late_build(random: &mut ChaCha8Rng, shape: PlanShape) -> LateBuild {
    const MAX_MS: u64 = 5_000;
    LateBuild {
        at_ms: random.random_range(shape.from_ms..shape.until_ms - MAX_MS),
        endpoints: random.random_range(2..=6),
        interval_ms: random.random_range(50..400),
        throttles_hosts: random.random_bool(0.7),
    }
}

fn draw_poison_part(random: &mut ChaCha8Rng, shape: PlanShape) -> PoisonPart {
    const MIN_MS: u64 = 8_000;
    let at_ms = random.random_range(shape.from_ms..shape.until_ms - MIN_MS);
    PoisonPart {
        at_ms,
        for_ms: random.random_range(MIN_MS..=shape.until_ms - at_ms),
        interval_ms: random.random_range(80..1_000),
        crash_point: CrashPoint::AfterFirstEvent,
        crash_delay_ms: random.random_range(10..100),
        position: random.random_range(0..3),
    }
}

/// Draws where answers end. Those that go on do so for long.
fn draw_crash_point(random: &mut ChaCha8Rng, part: &mut PoisonPart) {
    const MIN_LATE_MS: u64 = 550;
    const MAX_LATE_MS: u64 = 1_200;
    let late_ms = random.random_range(MIN_LATE_MS..MAX_LATE_MS);
    part.crash_point = match random.random_range(0..4) {
        0 => CrashPoint::BeforeHead,
        1 => CrashPoint::AfterFirstEvent,
        2 => CrashPoint::WhileStreaming,
        _ => CrashPoint::AfterAnswer,
    };
    if part.crash_point == CrashPoint::WhileStreaming {
        part.crash_delay_ms = late_ms;
    }
}

fn draw_rollout(random: &mut ChaCha8Rng, shape: PlanShape) -> Rollout {
    const WITHIN_MS: u64 = 12_000;
    let latest_ms = shape.until_ms.saturating_sub(WITHIN_MS);
    let turn_ms = random.random_range(1_000..WITHIN_MS);
    Rollout {
        at_ms: random.random_range(shape.from_ms..=latest_ms.max(shape.from_ms)),
        within_ms: WITHIN_MS,
        kind: match random.random_range(0..4) {
            0 => RolloutKind::Good,
            1 => RolloutKind::Bad,
            2 => RolloutKind::BadLater(turn_ms),
            _ => RolloutKind::Withdrawn(turn_ms),
        },
        is_of_streams: random.random_bool(0.3),
    }
}

fn draw_link(random: &mut ChaCha8Rng) -> LinkMode {
    match random.random_range(0..5) {
        0 => LinkMode::Delayed(random.random_range(20..400)),
        1 => LinkMode::Reset,
        2 => LinkMode::CutToServer,
        3 => LinkMode::CutToClient,
        _ => LinkMode::Silent,
    }
}

fn draw_fault(random: &mut ChaCha8Rng, hosts: usize, endpoints: usize) -> Fault {
    const REJECTIONS: [u16; 2] = [503, 429];
    let host = random.random_range(0..hosts);
    let endpoint = random.random_range(0..endpoints);
    match random.random_range(0..19) {
        0 => Fault::HostTerminated(host),
        1 => Fault::HostKilled(host),
        2 | 3 => Fault::HostPaused(host),
        4 => Fault::AllHostsKilled,
        5 => Fault::CallerLink(host, draw_link(random)),
        6 | 7 => Fault::StoreLink(host, draw_link(random)),
        8 => Fault::EndpointLink(endpoint, draw_link(random)),
        9 => Fault::StoreDown,
        10 => Fault::StoreSlow(random.random_range(100..1_500)),
        11 => Fault::StoreRejects(host, REJECTIONS[random.random_range(0..2)]),
        12 => Fault::StoreLosesResponses(host),
        13 => Fault::StoreDropsHistory,
        14 => Fault::EndpointCrashes(endpoint),
        15 => Fault::EndpointFails(endpoint),
        16 => Fault::EndpointSlow(endpoint),
        17 => Fault::EndpointLeaves(endpoint),
        _ => Fault::Overrun,
    }
}
