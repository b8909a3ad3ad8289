//! Rollouts: exposure and assessment of a new build, and when its pool moves.

use std::collections::BTreeMap;
use std::sync::Arc;

use chalkrock_core::rendezvous::MemberHash;
use chalkrock_core::{BuildVersion, PoolId};
use chalkrock_routing::{
    BAD_LOG_ODDS, BuildAssessment, BuildRequest, BuildSide, BuildUse, Evidence, EvidenceSource,
    Exposure, ExposureBound, ObservationTime, ObservedResponse, RolloutOrder, RolloutOrderRow,
    RolloutOrders, RolloutReason, RolloutRecord, RolloutStage, RolloutView, Rollouts,
    StageTransition, StoreVersion, Tally, TallyRow, assess_build, next_stage,
};
use googletest::prelude::*;
use proptest::prelude::{Strategy, any, prop};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

const DEADLINE_MS: u64 = 12_000;
const HOSTS: usize = 62;

fn pool() -> PoolId {
    "pool".into()
}

fn route() -> Arc<str> {
    "route".into()
}

fn order(build: &str) -> RolloutOrder {
    RolloutOrder {
        build: build.into(),
        within_ms: DEADLINE_MS,
    }
}

fn order_row(version: u64, build: Option<&str>) -> RolloutOrderRow {
    RolloutOrderRow {
        version: StoreVersion(version),
        pool: pool(),
        order: build.map(order),
    }
}

fn record(order: u64, stage: RolloutStage) -> RolloutRecord {
    RolloutRecord {
        order: StoreVersion(order),
        build: "v2".into(),
        from: [BuildVersion::from("v1")].into(),
        stage,
        reason: RolloutReason::Ordered,
        age_ms: 0,
        moves_ms: BTreeMap::new(),
        planned_ms: BTreeMap::new(),
        ordered_at_store_ms: None,
        unproven: [].into(),
    }
}

fn rollouts() -> Rollouts<u32> {
    Rollouts::new(ExposureBound::default())
}

/// Rollouts with an order for `v2` and, if a stage is given, its record.
fn ordered(stage: Option<RolloutStage>) -> Rollouts<u32> {
    let mut rollouts = rollouts();
    rollouts.apply_order_changes(&[order_row(1, Some("v2"))], StoreVersion(1), 0.5, 0);
    if let Some(stage) = stage {
        rollouts.merge_record(&pool(), record(1, stage), StoreVersion(2), 0);
    }
    rollouts
}

fn build_request<'a>(pool: &'a PoolId, route: &'a Arc<str>) -> BuildRequest<'a> {
    BuildRequest {
        pool,
        route,
        is_first: true,
        hosts: HOSTS,
    }
}

const ENDED: ObservedResponse = ObservedResponse::Ended { pace_ms: None };

/// Guards against a canary that gets more than the bound leaves beside the cut-over, and
/// against a rare route that gets too few answers.
#[test]
fn exposure_grows_in_steps_and_serves_all_routes() {
    const REQUESTS_PER_STEP: usize = 6_000;
    let routes: [Arc<str>; 3] = ["rare".into(), "usual".into(), "common".into()];
    let mut exposed_before = 0;
    for age_ms in [2_000, 5_000, 9_000] {
        let mut exposure = Exposure::new(ExposureBound::default(), DEADLINE_MS, 0.0);
        let mut exposed = [0; 3];
        for number in 0..REQUESTS_PER_STEP {
            // One in ten, three in ten, six in ten.
            let route_index = [0, 1, 1, 1, 2, 2, 2, 2, 2, 2][number % 10];
            let is_exposed = exposure.admits(&routes[route_index], age_ms, HOSTS);
            exposed[route_index] += usize::from(is_exposed);
        }
        let total: usize = exposed.iter().sum();
        assert_that!(total, gt(exposed_before), "at {age_ms}");
        assert_that!(total, le(REQUESTS_PER_STEP / 20), "at {age_ms}");
        assert_that!(
            exposed[0],
            ge(total * 3 / 10),
            "the rare route, at {age_ms}"
        );
        exposed_before = total;
    }
}

/// Guards against exceeding the bound before the deadline, and against a canary of a
/// rarely used pool that leaves the slack unused.
#[test]
fn exposure_uses_the_slack_within_the_bound() {
    let bound = ExposureBound {
        share: 0.1,
        slack: 50.0,
    };
    let route = route();
    for rate_per_s in [2, 20] {
        let requests = rate_per_s * DEADLINE_MS / 1_000;
        let exposed_by = |host: usize| {
            let draw = host as f64 / HOSTS as f64;
            let mut exposure = Exposure::new(bound, DEADLINE_MS, draw);
            let ages_ms = (0..requests).map(|number| number * 1_000 / rate_per_s);
            ages_ms
                .filter(|age_ms| exposure.admits(&route, *age_ms, HOSTS))
                .count()
        };
        let exposed: usize = (0..HOSTS).map(exposed_by).sum();
        let total = requests as f64 * HOSTS as f64;
        let cut_over = total / 12.0;
        assert_that!(
            exposed as f64 + cut_over,
            le(0.1 * total + 50.0 + 2.0 * total.sqrt()),
            "{rate_per_s} requests a second and host"
        );
        assert_that!(exposed as f64, ge(0.01 * total), "{rate_per_s}");
    }
}

fn incarnations() -> impl Strategy<Value = Vec<(u16, u8)>> {
    // Requests of each incarnation of a host, and the start of its counter.
    prop::collection::vec((0..400_u16, any::<u8>()), 1..120)
}

proptest::proptest! {
    #![proptest_config(proptest::prelude::ProptestConfig { failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(20), ..Default::default() })]

    /// Guards against exceeding the share by restarts or by hosts that are isolated.
    #[test]
    fn exposure_is_bounded_over_all_incarnations(incarnations in incarnations()) {
        let bound = ExposureBound::default();
        let route = route();
        let mut exposed = 0.0;
        let mut requests = 0.0;
        for (count, counter_start) in &incarnations {
            let starts_at = f64::from(*counter_start) / 256.0;
            let mut exposure = Exposure::new(bound, DEADLINE_MS, starts_at);
            for _ in 0..*count {
                exposed += f64::from(u8::from(exposure.admits(&route, 0, HOSTS)));
            }
            requests += f64::from(*count);
        }
        let initial: f64 = incarnations.iter().map(|(_, start)| f64::from(*start) / 256.0).sum();
        proptest::prop_assert!(exposed <= 0.05 * requests + initial + 1e-6);
    }
}

/// A tally of answers and failures of each side.
fn tally(new: (u32, u32), old: (u32, u32)) -> Tally {
    let mut tally = Tally::default();
    let mut count = |side: BuildSide, (answers, failures): (u32, u32)| {
        for number in 0..answers {
            let response = if number < failures {
                ObservedResponse::Failed
            } else {
                ENDED
            };
            tally.record(&route(), side, response);
        }
    };
    count(BuildSide::New, new);
    count(BuildSide::Old, old);
    tally
}

#[test]
fn assessment_separates_failures_of_the_build_from_those_of_the_fleet() {
    let cases = [
        ("nothing yet", (0, 0), (0, 0), false),
        ("nothing of the old build", (10, 3), (0, 0), false),
        ("as good", (40, 0), (800, 1), false),
        ("one failure", (40, 1), (800, 1), false),
        ("a third fail", (12, 4), (800, 1), true),
        ("a tenth fail", (60, 6), (800, 1), true),
        ("the fleet fails as often", (40, 12), (800, 240), false),
        ("a service that often fails", (30, 5), (400, 56), false),
        ("twice as often as that", (60, 25), (400, 56), true),
    ];
    for (name, new, old, is_bad) in cases {
        let assessment = assess_build(&tally(new, old));
        assert_that!(assessment.is_bad(), eq(is_bad), "{name}: {assessment}");
    }
}

fn record_times(side: BuildSide, ms: impl Iterator<Item = f64>, tally: &mut Tally) {
    for ms in ms {
        let pace_ms = Some(ms);
        tally.record(&route(), side, ObservedResponse::Ended { pace_ms });
    }
}

#[test]
fn assessment_separates_a_slow_build_from_a_slow_fleet() {
    let usual = |count: u32| (0..count).map(|i| 20.0 + f64::from(i % 20));
    let slow = |count: u32| usual(count).map(|ms| 5.0 * ms);
    let is_bad = |new: Vec<f64>, old: Vec<f64>| {
        let mut tally = Tally::default();
        record_times(BuildSide::New, new.into_iter(), &mut tally);
        record_times(BuildSide::Old, old.into_iter(), &mut tally);
        assess_build(&tally).is_bad()
    };
    assert_that!(is_bad(usual(40).collect(), usual(400).collect()), eq(false));
    assert_that!(is_bad(slow(40).collect(), usual(400).collect()), eq(true));
    assert_that!(is_bad(slow(40).collect(), slow(400).collect()), eq(false));
    let partly_slow = usual(28).chain(slow(12)).collect();
    assert_that!(is_bad(partly_slow, usual(400).collect()), eq(true));
}

/// Guards against false alarms of an assessment that is repeated after each answer.
#[test]
fn assessment_seldom_rejects_a_good_build() {
    const SEEDS: u64 = 1_000;
    const ANSWERS: u32 = 150;
    let rejected = (0..SEEDS).filter(|seed| {
        let mut rng = StdRng::seed_from_u64(*seed);
        let mut tally = Tally::default();
        let mut record_one = |tally: &mut Tally, side| {
            let response = if rng.random::<f64>() < 0.14 {
                ObservedResponse::Failed
            } else {
                ENDED
            };
            tally.record(&route(), side, response);
        };
        (0..ANSWERS).any(|_| {
            (0..10).for_each(|_| record_one(&mut tally, BuildSide::Old));
            record_one(&mut tally, BuildSide::New);
            assess_build(&tally).is_bad()
        })
    });
    // The threshold allows one in 665.
    assert_that!(rejected.count(), le(4));
}

fn view(stage: Option<RolloutStage>) -> RolloutView {
    RolloutView {
        stage,
        age_ms: 11_000,
        within_ms: DEADLINE_MS,
        is_withdrawn: false,
        new_slots: 100,
        old_slots: 100,
        in_progress: 40,
        moved_ms: 0,
        old_idle_ms: 0,
        max_service_times_ms: [(route(), 100)].into(),
        request_rates_per_s: [(route(), 100.0)].into(),
        new_requests: 40,
        bound: ExposureBound::default(),
        failed_ago_ms: None,
        assessment: BuildAssessment {
            log_odds: -2.0,
            answers: 40,
            ..BuildAssessment::default()
        },
    }
}

#[test]
fn next_stage_follows_the_table() {
    use RolloutReason as Reason;
    use RolloutStage::{Canary, Done, Moving, RolledBack};
    type Case = (&'static str, RolloutView, Option<(RolloutStage, Reason)>);
    let canary = || view(Some(Canary));
    let moving = || view(Some(Moving));
    let bad = || BuildAssessment {
        log_odds: BAD_LOG_ODDS,
        answers: 40,
        ..BuildAssessment::default()
    };
    let few = |answers| BuildAssessment {
        log_odds: -1.0,
        answers,
        ..BuildAssessment::default()
    };
    let undecided = || BuildAssessment {
        log_odds: 3.0,
        answers: 40,
        ..BuildAssessment::default()
    };
    let cases: Vec<Case> = vec![
        ("ordered", view(None), Some((Canary, Reason::Ordered))),
        (
            "withdrawn before a record",
            RolloutView {
                is_withdrawn: true,
                ..view(None)
            },
            None,
        ),
        ("sound", canary(), Some((Moving, Reason::Sound))),
        (
            "sound, too soon",
            RolloutView {
                age_ms: 9_000,
                ..canary()
            },
            None,
        ),
        (
            "bad",
            RolloutView {
                assessment: bad(),
                age_ms: 100,
                ..canary()
            },
            Some((RolledBack, Reason::Bad)),
        ),
        (
            "unsure",
            RolloutView {
                assessment: undecided(),
                ..canary()
            },
            None,
        ),
        (
            "unsure at the deadline",
            RolloutView {
                assessment: undecided(),
                age_ms: DEADLINE_MS,
                ..canary()
            },
            None,
        ),
        (
            "unsure at the end",
            RolloutView {
                assessment: undecided(),
                age_ms: 30_000,
                ..canary()
            },
            Some((RolledBack, Reason::Undecided)),
        ),
        (
            "moved, unsure",
            RolloutView {
                moved_ms: 3_000,
                old_idle_ms: 2_000,
                assessment: undecided(),
                ..moving()
            },
            None,
        ),
        (
            "moved, unsure at the end",
            RolloutView {
                moved_ms: 20_000,
                old_idle_ms: 20_000,
                age_ms: 30_000,
                assessment: undecided(),
                ..moving()
            },
            Some((RolledBack, Reason::Undecided)),
        ),
        // Guards against `done` at a build that has just turned bad: its many good answers
        // outweigh the first failures.
        (
            "moved, just failed",
            RolloutView {
                moved_ms: 3_000,
                old_idle_ms: 2_000,
                failed_ago_ms: Some(300),
                ..moving()
            },
            None,
        ),
        (
            "moved, failed once before",
            RolloutView {
                moved_ms: 3_000,
                old_idle_ms: 2_000,
                failed_ago_ms: Some(400),
                ..moving()
            },
            Some((Done, Reason::Moved)),
        ),
        (
            "moved, just failed, long after the deadline",
            RolloutView {
                moved_ms: 3_000,
                old_idle_ms: 2_000,
                age_ms: 3 * DEADLINE_MS / 2,
                failed_ago_ms: Some(0),
                ..moving()
            },
            Some((Done, Reason::Moved)),
        ),
        (
            "moved, just failed like the old build",
            RolloutView {
                moved_ms: 3_000,
                old_idle_ms: 2_000,
                failed_ago_ms: Some(0),
                assessment: BuildAssessment {
                    old_answers: 1_000,
                    old_failures: 20,
                    ..moving().assessment
                },
                ..moving()
            },
            Some((Done, Reason::Moved)),
        ),
        (
            "idle since just before the last move",
            RolloutView {
                moved_ms: 700,
                old_idle_ms: 700,
                ..moving()
            },
            None,
        ),
        (
            "few answers",
            RolloutView {
                assessment: few(8),
                ..canary()
            },
            None,
        ),
        (
            "few answers, late",
            RolloutView {
                assessment: few(8),
                age_ms: 11_900,
                ..canary()
            },
            Some((Moving, Reason::Sound)),
        ),
        (
            "almost no answers, late",
            RolloutView {
                assessment: few(2),
                age_ms: 11_900,
                ..canary()
            },
            None,
        ),
        (
            "almost no answers, at the end",
            RolloutView {
                assessment: few(2),
                age_ms: DEADLINE_MS,
                ..canary()
            },
            Some((RolledBack, Reason::Undecided)),
        ),
        (
            "too few slots",
            RolloutView {
                new_slots: 20,
                ..canary()
            },
            None,
        ),
        (
            "slots for all requests",
            RolloutView {
                new_slots: 60,
                ..canary()
            },
            Some((Moving, Reason::Sound)),
        ),
        (
            "no endpoints in time",
            RolloutView {
                new_slots: 0,
                age_ms: DEADLINE_MS,
                ..canary()
            },
            Some((RolledBack, Reason::NoEndpoints)),
        ),
        (
            "no endpoints yet",
            RolloutView {
                new_slots: 0,
                ..canary()
            },
            None,
        ),
        (
            "no old endpoints",
            RolloutView {
                old_slots: 0,
                age_ms: 10,
                ..canary()
            },
            Some((Moving, Reason::Moved)),
        ),
        (
            // They stop at done, which would cut off what they still run.
            "old endpoints that drain and run requests",
            RolloutView {
                old_slots: 0,
                old_idle_ms: 0,
                ..view(Some(Moving))
            },
            None,
        ),
        (
            "old endpoints that drain and are idle",
            RolloutView {
                old_slots: 0,
                old_idle_ms: 800,
                ..view(Some(Moving))
            },
            Some((Done, Reason::Moved)),
        ),
        (
            "withdrawn",
            RolloutView {
                is_withdrawn: true,
                ..canary()
            },
            Some((RolledBack, Reason::Withdrawn)),
        ),
        (
            "withdrawn while moving",
            RolloutView {
                is_withdrawn: true,
                ..moving()
            },
            Some((RolledBack, Reason::Withdrawn)),
        ),
        (
            "bad while moving",
            RolloutView {
                assessment: bad(),
                ..moving()
            },
            Some((RolledBack, Reason::Bad)),
        ),
        ("requests on old endpoints", moving(), None),
        (
            "requests on old endpoints, late",
            RolloutView {
                age_ms: 2 * DEADLINE_MS,
                ..moving()
            },
            None,
        ),
        (
            "moved",
            RolloutView {
                moved_ms: 800,
                old_idle_ms: 800,
                ..moving()
            },
            Some((Done, Reason::Moved)),
        ),
        (
            "new endpoints lost while moving",
            RolloutView {
                new_slots: 0,
                ..moving()
            },
            Some((RolledBack, Reason::NoEndpoints)),
        ),
        (
            "done",
            RolloutView {
                assessment: bad(),
                is_withdrawn: true,
                ..view(Some(Done))
            },
            None,
        ),
        (
            "rolled back",
            RolloutView {
                old_idle_ms: 800,
                ..view(Some(RolledBack))
            },
            None,
        ),
    ];
    for (name, view, expected) in cases {
        let expected = expected.map(|(stage, reason)| StageTransition { stage, reason });
        assert_that!(next_stage(&view), eq(expected), "{name}");
    }
}

#[test]
fn build_filter_follows_the_stage() {
    use RolloutStage::{Canary, Done, Moving, RolledBack};
    // Whether the old, the new and another build are admitted.
    let cases = [
        (None, [true, false, true]),
        (Some(Canary), [true, false, true]),
        (Some(RolledBack), [true, false, true]),
        (Some(Moving), [false, true, true]),
        (Some(Done), [false, true, true]),
    ];
    for (stage, expected) in cases {
        let rollouts = ordered(stage);
        let filter = rollouts.filter(&pool(), rollouts.stable_use(&pool()), 0);
        let admits = ["v1", "v2", "v0"].map(|build| filter.admits(&build.into()));
        assert_that!(admits, eq(expected), "{stage:?}");
    }
    let (pool, route) = (pool(), route());
    let mut done = ordered(Some(Done));
    assert_that!(
        done.build_uses(&build_request(&pool, &route), 0),
        eq(&[BuildUse::New])
    );
    let mut rolled_back = ordered(Some(RolledBack));
    assert_that!(
        rolled_back.build_uses(&build_request(&pool, &route), 0),
        eq(&[BuildUse::Old])
    );
}

/// Guards against `done` before the writer learns of failures, and against a flood of reports
/// of a build that fails often.
#[test]
fn count_reports_failures_after_the_move_at_once() {
    use RolloutStage::{Canary, Moving};
    let failed = ObservedResponse::Failed;
    let cases = [
        ("canary", Canary, "v2", vec![(0, failed, false)]),
        ("old build", Moving, "v1", vec![(0, failed, false)]),
        (
            "new build",
            Moving,
            "v2",
            vec![
                (0, ENDED, false),
                (100, failed, true),
                (299, failed, false),
                (300, failed, true),
            ],
        ),
    ];
    for (case, stage, build, answers) in cases {
        let mut rollouts = ordered(Some(stage));
        let build = BuildVersion::from(build);
        for (now_ms, response, is_urgent) in answers {
            let at = ObservationTime {
                now_ms,
                stalled_ms: 0,
            };
            let counted = rollouts.count(&pool(), &route(), &build, response, at);
            assert_that!(counted, eq(is_urgent), "{case}, {now_ms} ms");
        }
    }
}

/// Guards against a rollout that is held for good by the failures of its canary.
#[test]
fn failed_ago_ms_is_the_time_since_failures_became_more() {
    let mut rollouts = ordered(Some(RolloutStage::Moving));
    for (now_ms, failures, failed_ago_ms) in [
        (0, 0, None),
        (100, 2, Some(0)),
        (300, 2, Some(200)),
        // A host that ended takes its counts along.
        (400, 1, Some(300)),
        (500, 2, Some(0)),
    ] {
        let ago_ms = rollouts.failed_ago_ms(&pool(), failures, now_ms);
        assert_that!(ago_ms, eq(failed_ago_ms), "{now_ms} ms");
    }
}

#[test]
fn canary_requests_are_first_attempts_only() {
    let mut rollouts = ordered(Some(RolloutStage::Canary));
    let (pool, route) = (pool(), route());
    let first = build_request(&pool, &route);
    let retry = BuildRequest {
        is_first: false,
        ..first
    };
    let is_canary = |uses: &[BuildUse]| uses.first() == Some(&BuildUse::Canary);
    let first_canaries = (0..1_000).filter(|_| is_canary(rollouts.build_uses(&first, 8_000)));
    assert_that!(first_canaries.count(), all!(ge(15), le(50)));
    let retry_canaries = (0..1_000).filter(|_| is_canary(rollouts.build_uses(&retry, 8_000)));
    assert_that!(retry_canaries.count(), eq(0));
}

#[test]
fn canaries_are_limited_to_their_share() {
    let rollouts = ordered(Some(RolloutStage::Canary));
    for (old, expected) in [(0, 1), (3, 1), (60, 3), (90, 5), (9_000, 60)] {
        let new = (0..60).map(|i| MemberHash::of(&format!("new-{i}")));
        let canaries = rollouts.canaries(&pool(), new, old);
        assert_that!(canaries.len(), eq(expected), "{old}");
    }
}

#[test]
fn routes_move_at_their_scheduled_times() {
    let mut rollouts = ordered(None);
    let moves_ms = [("short".into(), 9_000), ("long".into(), 5_000)].into();
    let moving = RolloutRecord {
        moves_ms,
        ..record(1, RolloutStage::Moving)
    };
    rollouts.merge_record(&pool(), moving, StoreVersion(2), 5_000);
    let pool = pool();
    let mut first_use = |name: &str, now_ms| {
        let route = name.into();
        let retry = BuildRequest {
            is_first: false,
            ..build_request(&pool, &route)
        };
        rollouts.build_uses(&retry, now_ms)[0]
    };
    assert_that!(first_use("long", 5_000), eq(BuildUse::New));
    assert_that!(first_use("short", 5_000), eq(BuildUse::Old));
    assert_that!(first_use("short", 9_000), eq(BuildUse::New));
    assert_that!(first_use("unknown", 5_000), eq(BuildUse::New));
}

#[test]
fn have_all_moved_after_the_last_route() {
    let moves_ms = [("short".into(), 9_000), ("long".into(), 5_000)].into();
    let moving = RolloutRecord {
        moves_ms,
        ..record(1, RolloutStage::Moving)
    };
    assert_that!(moving.have_all_moved(8_999), eq(false));
    assert_that!(moving.have_all_moved(9_000), eq(true));
    assert_that!(
        record(1, RolloutStage::Canary).have_all_moved(9_000),
        eq(false)
    );
}

/// Guards against sending requests to a new build before its order is known.
#[test]
fn new_build_waits_for_an_order() {
    let mut rollouts = rollouts();
    let (v1, v2) = (BuildVersion::from("v1"), BuildVersion::from("v2"));
    let record_listed = |rollouts: &mut Rollouts<u32>, builds: &[&BuildVersion], now_ms| {
        rollouts.record_listed_builds(&pool(), builds.iter().copied(), now_ms);
    };
    let admits = |rollouts: &Rollouts<u32>, build: &BuildVersion, now_ms| {
        rollouts
            .filter(&pool(), BuildUse::Any, now_ms)
            .admits(build)
    };
    record_listed(&mut rollouts, &[&v1], 0);
    assert_that!(
        admits(&rollouts, &v1, 0),
        eq(true),
        "builds of the first list are known"
    );
    record_listed(&mut rollouts, &[&v1, &v2], 5_000);
    assert_that!(admits(&rollouts, &v1, 5_000), eq(true));
    assert_that!(admits(&rollouts, &v2, 5_000), eq(false));
    assert_that!(admits(&rollouts, &v2, 6_000), eq(true), "no order arrived");
}

/// Guards against taking a build for new whose name a list without builds left out.
#[test]
fn record_listed_builds_takes_no_build_for_new_after_a_list_without_builds() {
    let (unknown, v1) = (BuildVersion::default(), BuildVersion::from("v1"));
    let v2 = BuildVersion::from("v2");
    let lists: [(&[&BuildVersion], bool, bool); 3] = [
        (&[&unknown], true, true),
        (&[&unknown, &v1], true, false),
        (&[&v1], true, false),
    ];
    for (first, admits_v1, admits_v2) in lists {
        let mut rollouts = rollouts();
        rollouts.record_listed_builds(&pool(), first.iter().copied(), 0);
        rollouts.record_listed_builds(&pool(), [&v1, &v2], 100);
        let filter = rollouts.filter(&pool(), BuildUse::Any, 100);
        assert_that!(filter.admits(&v1), eq(admits_v1), "{first:?}");
        assert_that!(filter.admits(&v2), eq(admits_v2), "{first:?}");
    }
}

#[test]
fn repeated_order_restarts_the_rollout() {
    let mut rollouts = ordered(Some(RolloutStage::RolledBack));
    rollouts.apply_order_changes(&[order_row(7, Some("v2"))], StoreVersion(7), 0.5, 50_000);
    assert_that!(rollouts.stage(&pool()), none());
    assert_that!(rollouts.age_ms(&pool(), 50_000), eq(0));
    assert_that!(
        rollouts.record_version(&pool()),
        eq(StoreVersion(2)),
        "to be replaced"
    );
    // A record of the earlier order does not apply.
    let late = record(1, RolloutStage::Done);
    rollouts.merge_record(&pool(), late, StoreVersion(3), 50_000);
    assert_that!(rollouts.stage(&pool()), none());
}

#[test]
fn withdrawn_order_keeps_a_final_stage() {
    let mut rollouts = ordered(Some(RolloutStage::RolledBack));
    rollouts.apply_order_changes(&[order_row(9, None)], StoreVersion(9), 0.5, 0);
    let filter = rollouts.filter(&pool(), rollouts.stable_use(&pool()), 0);
    assert_that!(filter.admits(&"v2".into()), eq(false));
}

#[test]
fn merge_age_keeps_the_highest_age() {
    let mut rollouts = ordered(None);
    rollouts.merge_age(&pool(), StoreVersion(1), 3_000, 1_000);
    rollouts.merge_age(&pool(), StoreVersion(1), 500, 1_000);
    rollouts.merge_age(&pool(), StoreVersion(99), 60_000, 1_000);
    assert_that!(rollouts.age_ms(&pool(), 1_000), eq(3_000));
}

/// Changes in the store, in order: a new order, or a record of the latest one.
fn history() -> impl Strategy<Value = Vec<(bool, u8)>> {
    prop::collection::vec((any::<bool>(), 0..4_u8), 1..12)
}

fn nth_stage(number: u8) -> RolloutStage {
    match number {
        0 => RolloutStage::Canary,
        1 => RolloutStage::Moving,
        2 => RolloutStage::Done,
        _ => RolloutStage::RolledBack,
    }
}

/// An update that a host may receive.
#[derive(Clone, Debug)]
enum Update {
    Orders(RolloutOrders),
    Record(RolloutRecord, StoreVersion),
}

/// All updates of a history, in store order.
fn updates(history: &[(bool, u8)]) -> Vec<Update> {
    let mut updates = vec![Update::Orders(RolloutOrders::from_snapshot(
        StoreVersion(1),
        [order_row(1, Some("v2"))],
    ))];
    let mut order = 1;
    for (at, (is_order, number)) in history.iter().enumerate() {
        let version = at as u64 + 2;
        if *is_order {
            order = version;
            let row = order_row(version, Some("v2"));
            updates.push(Update::Orders(RolloutOrders::from_snapshot(
                StoreVersion(version),
                [row],
            )));
        } else {
            let record = record(order, nth_stage(*number));
            updates.push(Update::Record(record, StoreVersion(version)));
        }
    }
    updates
}

fn apply(rollouts: &mut Rollouts<u32>, update: &Update) {
    match update {
        Update::Orders(orders) => {
            rollouts.merge_orders(orders, 0.5, 0);
        }
        Update::Record(record, version) => {
            rollouts.merge_record(&pool(), record.clone(), *version, 0);
        }
    }
}

proptest::proptest! {
    #![proptest_config(proptest::prelude::ProptestConfig { failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(21), ..Default::default() })]

    /// Guards against hosts that disagree after late, duplicate or reordered updates.
    #[test]
    fn hosts_agree_after_updates_in_any_order(
        history in history(),
        order in prop::collection::vec(any::<usize>(), 0..40),
    ) {
        let updates = updates(&history);
        let mut in_order = rollouts();
        updates.iter().for_each(|update| apply(&mut in_order, update));
        let mut other = rollouts();
        for index in order {
            apply(&mut other, &updates[index % updates.len()]);
        }
        updates.iter().rev().for_each(|update| apply(&mut other, update));
        updates.iter().for_each(|update| apply(&mut other, update));
        proptest::prop_assert_eq!(other.stage(&pool()), in_order.stage(&pool()));
        proptest::prop_assert_eq!(other.order(&pool()), in_order.order(&pool()));
        proptest::prop_assert_eq!(
            other.record_version(&pool()),
            in_order.record_version(&pool())
        );
    }

    /// Guards against miscounting when tallies arrive late, twice or in parts.
    #[test]
    fn evidence_counts_each_answer_once(
        answers in prop::collection::vec((0..4_u32, any::<bool>()), 0..60),
        order in prop::collection::vec(any::<usize>(), 0..80),
    ) {
        let mut tallies: BTreeMap<u32, Tally> = BTreeMap::new();
        let mut snapshots = Vec::new();
        for (host, is_failure) in &answers {
            let tally = tallies.entry(*host).or_default();
            let response = if *is_failure { ObservedResponse::Failed } else { ENDED };
            tally.record(&route(), BuildSide::New, response);
            snapshots.push((*host, tally.clone()));
        }
        let mut evidence: Evidence<u32> = Evidence::default();
        let apply = |evidence: &mut Evidence<u32>, (host, tally): &(u32, Tally)| {
            let source = EvidenceSource::Host { host: *host, incarnation: 1 };
            for row in Vec::<TallyRow>::from(tally.clone()) {
                evidence.merge(source, vec![row].into());
            }
        };
        for index in order.iter().filter(|_| !snapshots.is_empty()) {
            apply(&mut evidence, &snapshots[index % snapshots.len()]);
        }
        snapshots.iter().for_each(|snapshot| apply(&mut evidence, snapshot));
        proptest::prop_assert_eq!(evidence.combined_tally().answers(BuildSide::New), answers.len() as u32);
    }
}

#[test]
fn evidence_of_two_relays_of_a_zone_counts_once() {
    let mut evidence: Evidence<u32> = Evidence::default();
    evidence.record(&route(), BuildSide::New, ENDED, ObservationTime::default());
    for (relay, answers) in [(1, 10), (2, 12)] {
        let source = EvidenceSource::Zone { zone: 7, relay };
        evidence.merge(source, tally((answers, 0), (0, 0)));
    }
    assert_that!(evidence.combined_tally().answers(BuildSide::New), eq(13));
    assert_that!(evidence.zone_tally().answers(BuildSide::New), eq(1));
}
