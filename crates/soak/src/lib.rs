//! The parts of a soak test that know nothing of a wire format.
//!
//! A [`Plan`] of faults is drawn from a seed. [`Proxy`] and [`Process`] carry out the faults
//! of links and processes. A [`Journal`] holds what callers, endpoints and the store saw, and
//! [`check_all`] returns what in it breaks a rule. Use it with a program that speaks the wire
//! format of the processes under test.
//!
//! All times are milliseconds since the start of the play.

mod checks;
mod journal;
mod plan;
mod process;
mod proxy;
mod retry_use;

pub use checks::{
    Bounds, Check, Finding, check_all, check_blame, check_budget, check_builds, check_config,
    check_continued, check_drain, check_exposure, check_limit, check_lists, check_lost,
    check_order, check_poison_part, check_refused, check_returns, check_route, check_serves,
    check_twice,
};
pub use journal::{
    Arrival, Disturbance, DisturbanceKind, EndpointSpan, HostStop, Journal, Leaving, ListedBuild,
    RolloutOrder, RouteRule, Try, TryEnd,
};
pub use plan::{
    CrashPoint, Fault, LateBuild, Plan, PlanShape, PlannedFault, PoisonPart, Rollout, RolloutKind,
};
pub use process::Process;
pub use proxy::{LinkMode, Proxy};
pub use retry_use::{RetryUse, worst_retry_use};
