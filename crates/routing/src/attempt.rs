//! Classifies how an attempt at an endpoint ended and decides the next step.
//!
//! `Outcome::NotRun` is a guarantee to the caller: it holds only if no byte of the
//! request was written, or if the endpoint reported that it did not run.

use chalkrock_core::{Outcome, Reason};
use serde::{Deserialize, Serialize};

use crate::route::RouteKind;

/// How an attempt at an endpoint ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum AttemptOutcome {
    /// No connection, or one that closed before anything was written.
    NotSent,
    /// The endpoint stopped accepting work before anything was written.
    Withdrawn,
    /// The endpoint reported that it did not run the request.
    Refused,
    /// Another endpoint received the request and did not run it.
    NotTheEndpoint,
    /// The endpoint ran the request and reported a failure.
    Failed,
    /// The connection broke, or the answer was incomplete or malformed.
    Broken,
    /// The answer does not belong to this request.
    Garbage,
    /// No answer within the time limit.
    Silent,
    /// The host cancelled the attempt before an answer began.
    Recalled,
    /// The endpoint aborted an answer that the caller was not reading.
    Unread,
}

impl AttemptOutcome {
    /// Whether the request ran.
    pub fn outcome(self) -> Outcome {
        match self {
            AttemptOutcome::NotSent
            | AttemptOutcome::Withdrawn
            | AttemptOutcome::Refused
            | AttemptOutcome::NotTheEndpoint => Outcome::NotRun,
            AttemptOutcome::Failed => Outcome::Ran,
            AttemptOutcome::Broken
            | AttemptOutcome::Garbage
            | AttemptOutcome::Silent
            | AttemptOutcome::Recalled
            | AttemptOutcome::Unread => Outcome::Unknown,
        }
    }

    /// Whether the endpoint received the request, so that the attempt counts against
    /// the route's limit.
    pub fn counts_as_attempt(self) -> bool {
        !matches!(
            self,
            AttemptOutcome::NotSent | AttemptOutcome::Withdrawn | AttemptOutcome::NotTheEndpoint
        )
    }

    /// Whether a process at the endpoint's address received the request, so that the
    /// attempt counts against the retry budget, even if it was rejected.
    pub fn counts_against_budget(self) -> bool {
        !matches!(self, AttemptOutcome::NotSent | AttemptOutcome::Withdrawn)
    }

    /// Whether it counts as a failure of the endpoint's build: the request arrived
    /// and no valid answer followed.
    pub fn is_build_failure(self) -> bool {
        matches!(
            self,
            AttemptOutcome::Failed
                | AttemptOutcome::Broken
                | AttemptOutcome::Garbage
                | AttemptOutcome::Silent
        )
    }

    /// Reason that the caller receives if no further attempt follows.
    pub fn reason(self) -> Reason {
        match self {
            AttemptOutcome::NotSent | AttemptOutcome::NotTheEndpoint => Reason::EndpointUnreachable,
            AttemptOutcome::Withdrawn => Reason::NoEndpoint,
            AttemptOutcome::Refused => Reason::EndpointRefused,
            AttemptOutcome::Failed
            | AttemptOutcome::Broken
            | AttemptOutcome::Recalled
            | AttemptOutcome::Unread => Reason::EndpointLost,
            AttemptOutcome::Garbage => Reason::EndpointGarbage,
            AttemptOutcome::Silent => Reason::DeadlinePassed,
        }
    }
}

/// Whether a request may run again after it may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Repeatable {
    /// It may run more than once.
    Yes,
    /// It may run at most once.
    No,
}

impl Repeatable {
    /// Derives it from the route's kind: safe calls and resumable streams may be
    /// repeated.
    pub fn of(kind: RouteKind) -> Self {
        match kind {
            RouteKind::Safe | RouteKind::Stream { resumable: true } => Repeatable::Yes,
            RouteKind::Unsafe | RouteKind::Stream { resumable: false } => Repeatable::No,
        }
    }
}

/// The step after an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Next {
    /// Retry on another endpoint.
    Elsewhere,
    /// End the request with this reason.
    GiveUp(Reason),
}

/// Decides the next step after an attempt without a usable answer.
///
/// `sent` counts the endpoints that received the request, this one included.
/// `is_paid` spends a retry from the budget and is called only if a retry needs one.
/// `earlier` is the worst outcome of the attempts before: one that may have run is
/// not undone by a later one that did not.
pub fn next_step(
    end: AttemptOutcome,
    earlier: Outcome,
    repeatable: Repeatable,
    sent: u32,
    attempts_max: u32,
    is_paid: impl FnOnce() -> bool,
) -> Next {
    let worst = worst(earlier, end.outcome());
    let may_run_again = worst == Outcome::NotRun || repeatable == Repeatable::Yes;
    let may_send = sent < attempts_max.max(1) && may_run_again && end != AttemptOutcome::Recalled;
    if may_send && (!end.counts_against_budget() || is_paid()) {
        return Next::Elsewhere;
    }
    // `NotRun` is not reported once any attempt may have run.
    let reason = end.reason();
    if worst != Outcome::NotRun && reason.outcome() == Outcome::NotRun {
        return Next::GiveUp(Reason::EndpointLost);
    }
    Next::GiveUp(reason)
}

fn worst(a: Outcome, b: Outcome) -> Outcome {
    match (a, b) {
        (Outcome::NotRun, Outcome::NotRun) => Outcome::NotRun,
        (Outcome::Ran, _) | (_, Outcome::Ran) => Outcome::Ran,
        _ => Outcome::Unknown,
    }
}
