//! Decisions on virtual time: one seeded workload, each policy in turn.

mod agents;
mod clock;
mod engines;
mod measures;
mod scenario;
mod upsets;
mod views;
mod world;

pub use measures::Measure;
pub use scenario::{Policy, SECOND_US, Setup, Site, Trouble};

use measures::Tally;
use world::World;

/// What a host may spend on control, in bytes a second.
const CONTROL_BUDGET: f64 = 5_000.0;

/// Runs one setup and gives its measures.
pub fn run(setup: Setup, scenario: &str, policy: &'static str) -> Vec<Measure> {
    let tally = World::new(setup).run();
    measures_of(&setup, &tally, scenario, policy)
}

fn measures_of(setup: &Setup, tally: &Tally, scenario: &str, policy: &'static str) -> Vec<Measure> {
    let one = |measure, value: f64, unit, bound| Measure {
        measure,
        scenario: scenario.to_owned(),
        policy,
        value,
        unit,
        bound,
        seed: setup.seed,
    };
    let requests = tally.requests.max(1) as f64;
    let multiple = Some(setup.load_multiple);
    let mut bytes = tally.control_bytes.clone();
    bytes.sort_unstable();
    let seconds = setup.measured_us as f64 / SECOND_US as f64;
    let control = |quantile: f64| {
        let index = (quantile * (bytes.len() - 1) as f64) as usize;
        bytes[index] as f64 / seconds
    };
    let place_us = |quantile| tally.place_us.value_at_quantile(quantile) as f64;
    vec![
        one(
            "cache_reuse",
            tally.reused as f64 / tally.returning.max(1) as f64,
            "share",
            None,
        ),
        one(
            "cache_imported",
            tally.imported as f64 / tally.returning.max(1) as f64,
            "share",
            None,
        ),
        one(
            "skew_max_over_mean_p50",
            tally.skew_at(0.5),
            "ratio",
            multiple,
        ),
        one(
            "skew_max_over_mean_p99",
            tally.skew_at(0.99),
            "ratio",
            multiple,
        ),
        one(
            "skew_max_over_mean_max",
            tally.skew_at(1.0),
            "ratio",
            multiple,
        ),
        one(
            "grants_over_bound",
            tally.over_bound as f64,
            "requests",
            Some(0.0),
        ),
        one("worst_grant", tally.worst_grant, "ratio", multiple),
        one("refused", tally.refused as f64 / requests, "share", None),
        one(
            "over_share",
            tally.over_share as f64 / requests,
            "share",
            None,
        ),
        one(
            "control_bytes_p50",
            control(0.5),
            "B/s a host",
            Some(CONTROL_BUDGET),
        ),
        one(
            "control_bytes_max",
            control(1.0),
            "B/s a host",
            Some(CONTROL_BUDGET),
        ),
        one(
            "fallbacks",
            tally.fallbacks as f64 / requests,
            "share",
            None,
        ),
        one("asks_a_request", tally.asks as f64 / requests, "asks", None),
        one("place_time_p50", place_us(0.5), "us", None),
        one("place_time_p99", place_us(0.99), "us", None),
        one(
            "first_token_p99",
            tally.first_token_us.value_at_quantile(0.99) as f64,
            "us",
            None,
        ),
        one("requests", tally.requests as f64, "requests", None),
    ]
}
