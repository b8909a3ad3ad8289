//! Each check finds the break of its rule and allows what the rules allow.

use chalkrock_soak::{
    Arrival, Bounds, Check, Disturbance, DisturbanceKind, EndpointSpan, HostStop, Journal, Leaving,
    ListedBuild, RolloutOrder, RouteRule, Try, TryEnd, check_all,
};
use googletest::prelude::*;

const BOUNDS: Bounds = Bounds {
    exposure_share: 0.1,
    exposure_slack: 50.0,
    rollback_ms: 5_000,
    drain_ms: 3_000,
    config_apply_ms: 3_000,
    contact_ms: 3_000,
    retry_ratio: 0.2,
    retry_slack: 10.0,
    retry_window_ms: 10_000,
    cap_factor: 2.0,
    return_ms: 5_000,
};

/// A case: a name, the check under test, whether it finds something, and the journal.
type Case = (&'static str, Check, bool, Journal);

fn attempt(id: &str, sent_ms: u64, end: TryEnd) -> Try {
    Try {
        id: id.into(),
        request: id.split('.').next().unwrap_or_default().into(),
        may_repeat: false,
        resumes: None,
        route: "pay".into(),
        host: 0,
        is_direct: true,
        sent_ms,
        ended_ms: sent_ms + 20,
        end,
        is_blamed: false,
    }
}

fn arrival(id: &str, endpoint: &str, at_ms: u64) -> Arrival {
    Arrival {
        try_id: id.into(),
        request: id.split('.').next().unwrap_or_default().into(),
        route: "pay".into(),
        may_repeat: false,
        host: 0,
        endpoint: endpoint.into(),
        service: "app".into(),
        build: "v1".into(),
        at_ms,
        has_run: true,
        is_bad: false,
        ended_ms: Some(at_ms + 20),
        was_stopped: false,
        has_poison_part: false,
    }
}

/// A journal without findings, in which `arrivals` and `tries` can be put.
fn journal(tries: Vec<Try>, arrivals: Vec<Arrival>) -> Journal {
    let well = (0..20).map(|i| attempt(&format!("w{i}.0"), 90_000, TryEnd::Status(200)));
    let rule = |service: &str, from_ms| RouteRule {
        route: "pay".into(),
        service: service.into(),
        from_ms,
        until_ms: None,
    };
    let span = |endpoint: &str| EndpointSpan {
        endpoint: endpoint.into(),
        service: "app".into(),
        from_ms: 0,
        to_ms: None,
    };
    Journal {
        tries: tries.into_iter().chain(well).collect(),
        arrivals,
        ready: vec![span("e1"), span("e2"), span("e3"), span("e4")],
        rules: vec![rule("app", 0)],
        load_ms: (0, 60_000),
        ..Journal::default()
    }
}

fn disturbed(mut journal: Journal, kind: DisturbanceKind, from_ms: u64, to_ms: u64) -> Journal {
    journal.disturbances.push(Disturbance {
        kind,
        from_ms,
        to_ms,
    });
    journal
}

fn run_cases(cases: Vec<Case>) {
    for (name, check, is_found, journal) in cases {
        let findings = check_all(&journal, &BOUNDS);
        let found: Vec<Check> = findings.iter().map(|finding| finding.check).collect();
        let expected = if is_found { vec![check] } else { vec![] };
        let found: Vec<Check> = found.into_iter().take(1).collect();
        expect_that!(found, eq(&expected), "{check} {name}: {findings:?}");
    }
}

#[gtest]
fn check_twice_and_refused_compare_tries_with_runs() {
    let repeatable = |id: &str| Arrival {
        may_repeat: true,
        ..arrival(id, "e1", 100)
    };
    let not_run = Arrival {
        has_run: false,
        ..arrival("r1.0", "e2", 50)
    };
    let refused = |status| vec![attempt("r1.0", 100, TryEnd::Status(status))];
    run_cases(vec![
        (
            "on two endpoints",
            Check::Twice,
            true,
            journal(
                vec![],
                vec![arrival("r1.0", "e1", 100), arrival("r1.0", "e2", 900)],
            ),
        ),
        (
            "in two tries",
            Check::Twice,
            true,
            journal(
                vec![],
                vec![arrival("r1.0", "e1", 100), arrival("r1.1", "e1", 900)],
            ),
        ),
        (
            "may be repeated",
            Check::Twice,
            false,
            journal(vec![], vec![repeatable("r1.0"), repeatable("r1.0")]),
        ),
        (
            "turned away first",
            Check::Twice,
            false,
            journal(vec![], vec![not_run.clone(), arrival("r1.0", "e1", 100)]),
        ),
        (
            "ran before",
            Check::Refused,
            true,
            journal(refused(503), vec![arrival("r1.0", "e1", 101)]),
        ),
        (
            "runs later",
            Check::Refused,
            true,
            journal(refused(429), vec![arrival("r1.0", "e1", 5_000)]),
        ),
        (
            "did not run",
            Check::Refused,
            false,
            journal(refused(503), vec![not_run]),
        ),
        (
            "another try ran",
            Check::Refused,
            false,
            journal(refused(503), vec![arrival("r1.1", "e1", 300)]),
        ),
        (
            "not a refusal",
            Check::Refused,
            false,
            journal(refused(502), vec![arrival("r1.0", "e1", 101)]),
        ),
    ]);
}

fn stream_end(events: &[u64], is_complete: bool) -> TryEnd {
    TryEnd::Stream {
        events: events.to_vec(),
        is_complete,
        expected: 3,
        after: 0,
        builds: vec!["v1".into()],
        is_close_delimited: false,
        ends_inside_event: false,
        has_left: false,
    }
}

#[gtest]
fn check_builds_reads_all_tries_of_a_stream() {
    let attempt_of = |id: &str, resumes: Option<&str>, builds: &[&str]| {
        let mut end = stream_end(&[1, 2], false);
        if let TryEnd::Stream { builds: wrote, .. } = &mut end {
            *wrote = builds.iter().map(|build| (*build).into()).collect();
        }
        Try {
            resumes: resumes.map(Into::into),
            ..attempt(id, 100, end)
        }
    };
    let tries = |second: Option<&str>, builds: &[&str]| {
        let tries = vec![
            attempt_of("r1.0", None, &["v1"]),
            attempt_of("r1.1", second, builds),
        ];
        journal(tries, vec![])
    };
    run_cases(vec![
        (
            "one response",
            Check::Order,
            true,
            tries(None, &["v1", "v2"]),
        ),
        (
            "two tries",
            Check::Order,
            true,
            tries(Some("r1.0"), &["v2"]),
        ),
        (
            "same build",
            Check::Order,
            false,
            tries(Some("r1.0"), &["v1"]),
        ),
        ("begun anew", Check::Order, false, tries(None, &["v2"])),
        ("no event", Check::Order, false, tries(Some("r1.0"), &[])),
    ]);
}

/// Guards against streams that are refused although their build serves.
#[gtest]
fn check_continued_compares_taken_up_streams_with_new_ones() {
    const STREAMS: usize = 20;
    let mut left = stream_end(&[1], false);
    if let TryEnd::Stream { has_left, .. } = &mut left {
        *has_left = true;
    }
    let mut rest = stream_end(&[2, 3], true);
    if let TryEnd::Stream { after, .. } = &mut rest {
        *after = 1;
    }
    let played = |endpoints: usize, streams: usize, went_on: usize| {
        let mut tries = Vec::new();
        for number in 0..streams {
            let first = format!("r{number}.0");
            tries.push(Try {
                route: "chat".into(),
                ..attempt(&first, 100, left.clone())
            });
            let end = if number < went_on {
                rest.clone()
            } else {
                TryEnd::Status(503)
            };
            tries.push(Try {
                resumes: Some(first.into()),
                route: "chat".into(),
                ..attempt(&format!("r{number}.1"), 110, end)
            });
        }
        let names = (0..endpoints).map(|number| format!("e{number}"));
        let arrivals = names.clone().map(|name| Arrival {
            build: "v1".into(),
            ..arrival(&format!("x-{name}.0"), &name, 100)
        });
        let ready = names.map(|name| EndpointSpan {
            endpoint: name.into(),
            service: "pool".into(),
            from_ms: 0,
            to_ms: None,
        });
        Journal {
            ready: ready.collect(),
            ..journal(tries, arrivals.collect())
        }
    };
    run_cases(vec![
        ("none", Check::Lost, true, played(2, STREAMS, 0)),
        ("under half", Check::Lost, true, played(2, STREAMS, 9)),
        ("half", Check::Lost, false, played(2, STREAMS, 10)),
        ("one endpoint", Check::Lost, false, played(1, STREAMS, 0)),
        ("few", Check::Lost, false, played(2, 11, 0)),
    ]);
}

/// Guards against lists that name another build than the registered one, or none.
#[gtest]
fn check_lists_compares_builds_with_registered_ones() {
    let listed = |listed: Option<&str>| {
        let entry = ListedBuild {
            host: 0,
            endpoint: "endpoint-1".into(),
            listed: listed.map(Into::into),
            registered: "v2".into(),
        };
        Journal {
            listed_builds: vec![entry],
            ..journal(vec![], vec![])
        }
    };
    run_cases(vec![
        ("registered", Check::Lists, false, listed(Some("v2"))),
        ("another", Check::Lists, true, listed(Some("v1"))),
        ("none", Check::Lists, true, listed(None)),
    ]);
}

#[gtest]
fn check_order_reads_the_ids_of_events() {
    let stream = |events: &[u64], is_complete| {
        journal(
            vec![attempt("r1.0", 100, stream_end(events, is_complete))],
            vec![],
        )
    };
    let close_delimited = |events: &[u64], is_complete, is_inside| {
        let mut end = stream_end(events, is_complete);
        if let TryEnd::Stream {
            is_close_delimited,
            ends_inside_event,
            ..
        } = &mut end
        {
            (*is_close_delimited, *ends_inside_event) = (true, is_inside);
        }
        journal(vec![attempt("r1.0", 100, end)], vec![])
    };
    let taken_up = |events: &[u64]| {
        let mut end = stream_end(events, true);
        if let TryEnd::Stream { after, .. } = &mut end {
            *after = 1;
        }
        journal(vec![attempt("r1.0", 100, end)], vec![])
    };
    run_cases(vec![
        (
            "closed after an event",
            Check::Order,
            false,
            close_delimited(&[1, 2], true, false),
        ),
        (
            "closed inside an event",
            Check::Order,
            true,
            close_delimited(&[1, 2], true, true),
        ),
        (
            "reset inside an event",
            Check::Order,
            false,
            close_delimited(&[1, 2], false, true),
        ),
        ("taken up", Check::Order, false, taken_up(&[2, 3])),
        (
            "taken up too early",
            Check::Order,
            true,
            taken_up(&[1, 2, 3]),
        ),
        ("missing", Check::Order, true, stream(&[1, 3], false)),
        (
            "duplicated",
            Check::Order,
            true,
            stream(&[1, 2, 2, 3], false),
        ),
        (
            "complete too early",
            Check::Order,
            true,
            stream(&[1, 2], true),
        ),
        (
            "one too many",
            Check::Order,
            true,
            stream(&[1, 2, 3, 4], true),
        ),
        ("whole", Check::Order, false, stream(&[1, 2, 3], true)),
        ("honestly cut", Check::Order, false, stream(&[1, 2], false)),
    ]);
}

#[gtest]
fn check_exposure_counts_requests_of_a_bad_build() {
    let order = |is_bad| RolloutOrder {
        service: "app".into(),
        build: "v2".into(),
        at_ms: 10_000,
        deadline_ms: 22_000,
        is_bad,
    };
    // `new` arrivals at the new build from 10 s on, of which the first `bad` are bad, and 300
    // at the old one. Requests arrive 10 ms apart and count as retries of none.
    let play = |new: u64, bad: u64, gap_ms: u64, is_bad| {
        let old = (0..300).map(|i| {
            arrival(
                &format!("o{i}.0"),
                &format!("e{}", 1 + i % 4),
                10_000 + i * 30,
            )
        });
        let new = (0..new).map(|i| Arrival {
            build: "v2".into(),
            is_bad: i < bad,
            ..arrival(
                &format!("n{i}.0"),
                &format!("e{}", 1 + i % 4),
                10_000 + i * gap_ms,
            )
        });
        Journal {
            orders: vec![order(is_bad)],
            ..journal(vec![], old.chain(new).collect())
        }
    };
    run_cases(vec![
        (
            "over its share",
            Check::Exposure,
            true,
            play(100, 0, 30, true),
        ),
        (
            "within its share",
            Check::Exposure,
            false,
            play(80, 0, 30, true),
        ),
        (
            "good build",
            Check::Exposure,
            false,
            play(200, 0, 30, false),
        ),
        (
            "late after 50 bad",
            Check::Exposure,
            true,
            play(60, 60, 600, true),
        ),
        ("49 bad", Check::Exposure, false, play(60, 49, 600, true)),
        (
            "ends in time",
            Check::Exposure,
            false,
            play(58, 58, 600, true),
        ),
        (
            "sender out of touch",
            Check::Exposure,
            false,
            disturbed(
                play(100, 0, 30, true),
                DisturbanceKind::StoreOfHost(0),
                9_000,
                14_000,
            ),
        ),
        (
            "another host out of touch",
            Check::Exposure,
            true,
            disturbed(
                play(100, 0, 30, true),
                DisturbanceKind::StoreOfHost(1),
                9_000,
                14_000,
            ),
        ),
        (
            "store away after the 50th",
            Check::Exposure,
            false,
            disturbed(
                play(60, 60, 600, true),
                DisturbanceKind::Store,
                9_000,
                12_000,
            ),
        ),
    ]);
}

#[gtest]
fn check_route_drain_and_config_allow_the_time_to_apply() {
    let foreign = Arrival {
        service: "pool".into(),
        ..arrival("r1.0", "e1", 100)
    };
    let leaving = |at_ms, back_ms| Journal {
        leavings: vec![Leaving {
            endpoint: "e1".into(),
            acknowledged_ms: 10_000,
            back_ms,
        }],
        ..journal(vec![], vec![arrival("r1.0", "e1", at_ms)])
    };
    let changed = |at_ms| {
        let mut journal = journal(vec![], vec![arrival("r1.0", "e1", at_ms)]);
        journal.rules[0].until_ms = Some(10_000);
        journal
    };
    let link = || DisturbanceKind::EndpointLink("e1".into());
    let store = DisturbanceKind::Store;
    run_cases(vec![
        (
            "foreign service",
            Check::Route,
            true,
            journal(vec![], vec![foreign]),
        ),
        (
            "its service",
            Check::Route,
            false,
            journal(vec![], vec![arrival("r1.0", "e1", 100)]),
        ),
        ("too late", Check::Drain, true, leaving(13_100, None)),
        ("in time", Check::Drain, false, leaving(12_900, None)),
        (
            "back again",
            Check::Drain,
            false,
            leaving(14_000, Some(13_500)),
        ),
        (
            "store away until then",
            Check::Drain,
            false,
            disturbed(leaving(15_000, None), store.clone(), 9_000, 14_000),
        ),
        (
            "store was away long before",
            Check::Drain,
            true,
            disturbed(leaving(15_000, None), store.clone(), 1_000, 2_000),
        ),
        (
            "store back for long",
            Check::Drain,
            true,
            disturbed(leaving(21_000, None), store.clone(), 9_000, 14_000),
        ),
        (
            "held by its link",
            Check::Drain,
            false,
            disturbed(leaving(14_000, None), link(), 12_000, 14_000),
        ),
        ("old service too late", Check::Config, true, changed(13_100)),
        ("old service in time", Check::Config, false, changed(12_900)),
        (
            "store away at the change",
            Check::Config,
            false,
            disturbed(changed(15_000), store, 9_000, 14_000),
        ),
    ]);
}

#[gtest]
fn check_budget_and_limit_look_at_windows() {
    // `retries` second arrivals within a second, beside 20 requests.
    let retried = |retries: u64| {
        let first = (0..20).map(|i| Arrival {
            may_repeat: true,
            ..arrival(
                &format!("r{i}.0"),
                &format!("e{}", 1 + i % 4),
                1_000 + i * 30,
            )
        });
        let second = (0..retries).map(|i| Arrival {
            may_repeat: true,
            ..arrival(
                &format!("r{}.0", i % 20),
                &format!("e{}", 1 + i % 4),
                2_000 + i * 30,
            )
        });
        journal(vec![], first.chain(second).collect())
    };
    // Requests that stay, all at one endpoint or at all four.
    let loaded = |endpoints: u64| {
        let stays = (0..40).map(|i| Arrival {
            ended_ms: None,
            ..arrival(
                &format!("r{i}.0"),
                &format!("e{}", 1 + i % endpoints),
                20_000 + i,
            )
        });
        journal(vec![], stays.collect())
    };
    run_cases(vec![
        ("over ratio and slack", Check::Budget, true, retried(15)),
        ("within ratio and slack", Check::Budget, false, retried(14)),
        ("one endpoint has all", Check::Limit, true, loaded(1)),
        ("spread evenly", Check::Limit, false, loaded(4)),
        (
            "not calm",
            Check::Limit,
            false,
            disturbed(loaded(1), DisturbanceKind::Other, 19_500, 20_500),
        ),
    ]);
}

#[gtest]
fn check_lost_and_returns_look_at_ends() {
    let stopped = |was_stopped| {
        let run = Arrival {
            was_stopped,
            ..arrival("r1.0", "e1", 100)
        };
        journal(vec![], vec![run])
    };
    let host_stopped = |ended_ms: u64, end| {
        let lost = Try {
            ended_ms,
            ..attempt("r1.0", 20_000, end)
        };
        Journal {
            stops: vec![HostStop {
                host: 0,
                from_ms: 20_500,
                to_ms: 23_000,
            }],
            ..journal(vec![lost], vec![])
        }
    };
    let crash = DisturbanceKind::Endpoint("e1".into());
    let late = |served: usize, failed: usize| {
        let end = |i| {
            if i < served {
                TryEnd::Status(200)
            } else {
                TryEnd::Status(503)
            }
        };
        let tries = (0..served + failed).map(|i| attempt(&format!("r{i}.0"), 80_000, end(i)));
        let mut journal = journal(tries.collect(), vec![]);
        journal.tries.retain(|attempt| attempt.sent_ms == 80_000);
        disturbed(journal, DisturbanceKind::Store, 60_000, 70_000)
    };
    let early_failures = disturbed(
        journal(vec![attempt("r1.0", 61_000, TryEnd::Lost)], vec![]),
        DisturbanceKind::Host(0),
        60_000,
        70_000,
    );
    run_cases(vec![
        ("stopped under it", Check::Lost, true, stopped(true)),
        ("ended before", Check::Lost, false, stopped(false)),
        (
            "host stops under it",
            Check::Lost,
            true,
            host_stopped(21_000, TryEnd::Lost),
        ),
        (
            "refused while it stops",
            Check::Lost,
            false,
            host_stopped(21_000, TryEnd::Status(503)),
        ),
        (
            "lost before it stops",
            Check::Lost,
            false,
            host_stopped(20_400, TryEnd::Lost),
        ),
        (
            "an endpoint crashed as well",
            Check::Lost,
            false,
            disturbed(host_stopped(21_000, TryEnd::Lost), crash, 20_900, 21_000),
        ),
        ("not back", Check::Returns, true, late(17, 3)),
        ("back", Check::Returns, false, late(19, 1)),
        ("no callers", Check::Returns, true, late(0, 0)),
        (
            "failures during faults",
            Check::Returns,
            false,
            early_failures,
        ),
    ]);
}

#[gtest]
fn check_serves_allows_only_what_concerns_the_host() {
    let refused = |all: u64, kind| {
        let tries = (0..all).map(|i| attempt(&format!("r{i}.0"), 20_000, TryEnd::Status(503)));
        disturbed(journal(tries.collect(), vec![]), kind, 19_000, 20_000)
    };
    let mut one_served = refused(8, DisturbanceKind::Host(1));
    one_served.tries[0].end = TryEnd::Status(200);
    run_cases(vec![
        (
            "another host was lost",
            Check::Serves,
            true,
            refused(8, DisturbanceKind::Host(1)),
        ),
        (
            "few tries",
            Check::Serves,
            false,
            refused(7, DisturbanceKind::Host(1)),
        ),
        ("one try was served", Check::Serves, false, one_served),
        (
            "the host was stopped",
            Check::Serves,
            false,
            refused(8, DisturbanceKind::Host(0)),
        ),
        (
            "the store was away",
            Check::Serves,
            false,
            refused(8, DisturbanceKind::Store),
        ),
    ]);
}

#[gtest]
fn check_poison_part_counts_from_the_fifth_crash() {
    let late = |count: u64, crashes: u64| {
        let arrivals = (0..count).map(|i| Arrival {
            has_poison_part: true,
            ..arrival(&format!("r{i}.0"), "e1", 20_000 + i)
        });
        Journal {
            part_crashes_ms: (0..crashes).map(|i| 16_000 + 200 * i).collect(),
            ..journal(vec![], arrivals.collect())
        }
    };
    let out_of_touch = disturbed(late(4, 5), DisturbanceKind::Host(0), 17_000, 18_000);
    run_cases(vec![
        ("four late", Check::PoisonPart, true, late(4, 5)),
        ("three late", Check::PoisonPart, false, late(3, 5)),
        ("few crashes", Check::PoisonPart, true, late(4, 1)),
        ("no crash", Check::PoisonPart, false, late(4, 0)),
        (
            "the sender was away",
            Check::PoisonPart,
            false,
            out_of_touch,
        ),
    ]);
}

#[gtest]
fn check_blame_finds_refused_tries() {
    let blamed = |is_blamed| {
        let refused = Try {
            is_blamed,
            ..attempt("r1.0", 20_000, TryEnd::Status(503))
        };
        journal(vec![refused], vec![])
    };
    run_cases(vec![
        ("refused for crashes", Check::Blame, true, blamed(true)),
        ("refused otherwise", Check::Blame, false, blamed(false)),
    ]);
}

/// Guards against a display name that differs from the rule's name.
#[test]
fn check_names_are_those_of_the_rules() {
    let names: Vec<String> = [Check::Twice, Check::Refused, Check::Order, Check::Returns]
        .iter()
        .map(Check::to_string)
        .collect();
    assert_that!(
        names,
        eq(&["TWICE", "REFUSED", "ORDER", "RETURNS"].map(String::from))
    );
}
