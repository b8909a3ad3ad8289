//! Scenarios: how large the fleet is, and what goes wrong.

use chalkrock_core::{PlacementRules, SlotRules};

/// Microseconds of virtual time in a second.
pub const SECOND_US: u64 = 1_000_000;

/// Requests that an engine can batch, over the mean in progress.
const CAPACITY_OVER_MEAN: f64 = 1.5;

/// Whose fleet it is like.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Site {
    /// Four zones, 1.5 ms apart; weighs skew most.
    Magnolia,
    /// Three zones, 0.5 ms apart; weighs cache reuse most.
    KitabThani,
    /// 370 routers before 690 engines in two regions.
    Large,
}

/// What goes wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Trouble {
    /// Nothing.
    Steady,
    /// Engines join, leave and flap; hosts restart.
    Churn,
    /// A few organisations send many times what they did.
    Surge,
    /// Reports are later, and more are lost.
    Lag,
    /// For some seconds, half the hosts do not see the other half.
    SplitView,
    /// The platform is away: views stay as they are while hosts restart.
    Outage,
}

impl Site {
    /// All sites with their names.
    pub const ALL: [(&'static str, Site); 3] = [
        ("magnolia", Site::Magnolia),
        ("kitab-thani", Site::KitabThani),
        ("large", Site::Large),
    ];
}

impl Trouble {
    /// All troubles with their names.
    pub const ALL: [(&'static str, Trouble); 6] = [
        ("steady", Trouble::Steady),
        ("churn", Trouble::Churn),
        ("surge", Trouble::Surge),
        ("lag", Trouble::Lag),
        ("split-view", Trouble::SplitView),
        ("outage", Trouble::Outage),
    ];
}

/// How engines are chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
    /// Owners grant slots.
    Chalkrock,
    /// Any engine.
    Random,
    /// One after the other.
    RoundRobin,
    /// The least load by the newest late reports.
    LeastReported,
    /// The first rank of the chat, no bound.
    Rendezvous,
    /// Ranks bounded by late reports, hint first.
    LateBound,
    /// Sees every load at once: home, else the least loaded.
    Oracle,
}

impl Policy {
    /// All policies with their names.
    pub const ALL: [(&'static str, Policy); 7] = [
        ("chalkrock", Policy::Chalkrock),
        ("random", Policy::Random),
        ("round-robin", Policy::RoundRobin),
        ("least-reported", Policy::LeastReported),
        ("rendezvous", Policy::Rendezvous),
        ("late-bound", Policy::LateBound),
        ("oracle", Policy::Oracle),
    ];
}

/// One run of the experiment.
#[derive(Clone, Copy, Debug)]
pub struct Setup {
    /// What goes wrong.
    pub trouble: Trouble,
    /// How engines are chosen.
    pub policy: Policy,
    /// Hosts, each with a router and an agent.
    pub routers: usize,
    /// Engines.
    pub engines: usize,
    /// Mean requests in progress on an engine.
    pub mean_in_progress: f64,
    /// The promised multiple.
    pub load_multiple: f64,
    /// One way between two zones.
    pub zone_delay_us: u64,
    /// Zones, over which hosts and engines are spread.
    pub zones: usize,
    /// Virtual time that is measured, after a warm-up.
    pub measured_us: u64,
    /// The seed.
    pub seed: u64,
    /// How chalkrock searches.
    pub placement: PlacementRules,
    /// How chalkrock's owners grant.
    pub slots: SlotRules,
    /// Whether callers echo the hint.
    pub hints: bool,
    /// Whether routers tell a new owner what they hold.
    pub adopt: bool,
    /// Whether a spilled chat's prefix is imported from its home.
    pub import: bool,
}

impl Setup {
    /// The setup of a site under a trouble.
    pub fn of(site: Site, trouble: Trouble, policy: Policy, seed: u64) -> Self {
        let (routers, engines, mean, multiple, delay_us, zones, seconds) = match site {
            Site::Magnolia => (8, 20, 8.0, 1.25, 1_500, 4, 600),
            Site::KitabThani => (8, 20, 8.0, 1.5, 500, 3, 600),
            Site::Large => (370, 690, 42.0, 1.25, 1_500, 6, 60),
        };
        Self {
            trouble,
            policy,
            routers,
            engines,
            mean_in_progress: mean,
            load_multiple: multiple,
            zone_delay_us: delay_us,
            zones,
            measured_us: seconds * SECOND_US,
            seed,
            placement: PlacementRules::default(),
            slots: SlotRules {
                capacity: mean * CAPACITY_OVER_MEAN,
                ..SlotRules::promising(multiple)
            },
            hints: true,
            adopt: true,
            import: false,
        }
    }
}
