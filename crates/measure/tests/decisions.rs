//! The experiment itself: same seed, same figures; and what must hold in
//! every run, whatever the figures are.

use chalkrock_measure::decisions::{self, Measure, Policy, SECOND_US, Setup, Site, Trouble};
use googletest::prelude::*;

fn run(trouble: Trouble, policy: Policy, seed: u64) -> Vec<Measure> {
    let mut setup = Setup::of(Site::Magnolia, trouble, policy, seed);
    setup.measured_us = 120 * SECOND_US;
    decisions::run(setup, "test", "test")
}

fn value(measures: &[Measure], name: &str) -> f64 {
    measures
        .iter()
        .find(|m| m.measure == name)
        .map_or(f64::NAN, |m| m.value)
}

#[test]
fn run_with_the_same_seed_gives_the_same_figures() {
    for (_, trouble) in Trouble::ALL {
        let first = run(trouble, Policy::Chalkrock, 3);
        assert_that!(
            run(trouble, Policy::Chalkrock, 3),
            eq(&first),
            "{trouble:?}"
        );
    }
}

#[test]
fn steady_run_keeps_its_bounds() {
    let bounds: Vec<Bound> = serde_yaml_ng::from_str(include_str!("data/bounds.yaml")).unwrap();
    let chalkrock = run(Trouble::Steady, Policy::Chalkrock, 1);
    let oracle = run(Trouble::Steady, Policy::Oracle, 1);
    for bound in bounds {
        let reference = if bound.of_oracle {
            value(&oracle, &bound.measure)
        } else {
            1.0
        };
        let found = value(&chalkrock, &bound.measure) / reference;
        assert_that!(found, ge(bound.least), "{}", bound.measure);
        assert_that!(found, le(bound.most), "{}", bound.measure);
    }
}

/// A bound from the checked-in file.
#[derive(serde::Deserialize)]
struct Bound {
    measure: String,
    /// Whether it is a share of the oracle's value in the same run.
    of_oracle: bool,
    least: f64,
    most: f64,
}
