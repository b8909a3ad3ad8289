//! Next steps after an attempt, by its outcome.

use std::cell::Cell;

use chalkrock_core::{Outcome, Reason};
use chalkrock_routing::{AttemptOutcome, Next, Repeatable, RouteKind, next_step};
use googletest::prelude::*;
use serde::Deserialize;

#[derive(Deserialize)]
struct Case {
    name: String,
    end: String,
    #[serde(default)]
    earlier: Option<Outcome>,
    repeatable: bool,
    sent: u32,
    most: u32,
    paid: bool,
    next: String,
    asks: bool,
}

const OUTCOMES: [(&str, AttemptOutcome); 10] = [
    ("not-sent", AttemptOutcome::NotSent),
    ("withdrawn", AttemptOutcome::Withdrawn),
    ("refused", AttemptOutcome::Refused),
    ("not-the-endpoint", AttemptOutcome::NotTheEndpoint),
    ("failed", AttemptOutcome::Failed),
    ("broken", AttemptOutcome::Broken),
    ("garbage", AttemptOutcome::Garbage),
    ("silent", AttemptOutcome::Silent),
    ("recalled", AttemptOutcome::Recalled),
    ("unread", AttemptOutcome::Unread),
];

fn outcome_named(name: &str) -> AttemptOutcome {
    let found = OUTCOMES.iter().find(|(known, _)| *known == name);
    found.expect("a known outcome").1
}

fn repeatable(yes: bool) -> Repeatable {
    if yes { Repeatable::Yes } else { Repeatable::No }
}

#[test]
fn next_step_follows_the_table() {
    let text = include_str!("data/attempts.yaml");
    let cases: Vec<Case> = serde_yaml_ng::from_str(text).expect("the table is valid");
    for case in cases {
        let asked_budget = Cell::new(false);
        let next = next_step(
            outcome_named(&case.end),
            case.earlier.unwrap_or(Outcome::NotRun),
            repeatable(case.repeatable),
            case.sent,
            case.most,
            || {
                asked_budget.set(true);
                case.paid
            },
        );
        let next_name = match next {
            Next::Elsewhere => "elsewhere",
            Next::GiveUp(reason) => reason.code(),
        };
        assert_that!(next_name, eq(case.next.as_str()), "{}", case.name);
        assert_that!(asked_budget.get(), eq(case.asks), "{}", case.name);
    }
}

#[test]
fn next_step_reports_not_run_only_if_no_attempt_ran() {
    for (name, attempt) in OUTCOMES {
        for earlier in [Outcome::NotRun, Outcome::Unknown, Outcome::Ran] {
            for is_repeatable in [false, true] {
                let next = next_step(attempt, earlier, repeatable(is_repeatable), 9, 1, || true);
                let Next::GiveUp(reason) = next else {
                    panic!("{name}: no attempts are left");
                };
                if reason.outcome() == Outcome::NotRun {
                    assert_that!(earlier, eq(Outcome::NotRun), "{name}");
                    assert_that!(attempt.outcome(), eq(Outcome::NotRun), "{name}");
                }
            }
        }
    }
}

#[test]
fn next_step_never_repeats_unsafe_requests() {
    for (name, attempt) in OUTCOMES {
        for earlier in [Outcome::NotRun, Outcome::Unknown, Outcome::Ran] {
            let next = next_step(attempt, earlier, Repeatable::No, 1, 9, || true);
            let may_have_run = attempt.outcome() != Outcome::NotRun || earlier != Outcome::NotRun;
            if may_have_run {
                assert_that!(next, not(eq(Next::Elsewhere)), "{name} after {earlier}");
            }
        }
    }
}

#[test]
fn repeatable_follows_the_route_kind() {
    let of = Repeatable::of;
    assert_that!(of(RouteKind::Safe), eq(Repeatable::Yes));
    assert_that!(of(RouteKind::Unsafe), eq(Repeatable::No));
    let stream = |resumable| of(RouteKind::Stream { resumable });
    assert_that!(stream(true), eq(Repeatable::Yes));
    assert_that!(stream(false), eq(Repeatable::No));
}

#[test]
fn reason_agrees_with_the_outcome() {
    for (name, attempt) in OUTCOMES {
        let reason: Reason = attempt.reason();
        if attempt.outcome() == Outcome::NotRun {
            assert_that!(reason.outcome(), eq(Outcome::NotRun), "{name}");
        } else {
            assert_that!(reason.outcome(), eq(Outcome::Unknown), "{name}");
        }
    }
}
