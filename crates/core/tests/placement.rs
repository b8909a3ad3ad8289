//! The search for an engine, answer by answer.

use chalkrock_core::rendezvous::{KeyHash, MemberHash, score};
use chalkrock_core::{AskAnswer, Home, PlaceOption, Placement, PlacementRules, Step, has_own_room};
use googletest::prelude::*;

const AT_BOUND: AskAnswer = AskAnswer::AtBound { load: 10 };

fn options(count: usize) -> Vec<PlaceOption> {
    let option = |i| PlaceOption {
        hash: MemberHash::of(&format!("engine-{i}")),
        weight: 1.0,
    };
    (0..count).map(option).collect()
}

fn search(home: Home) -> Placement {
    Placement::new(PlacementRules::default(), KeyHash::of(b"chat"), home)
}

fn asked(step: Step) -> Vec<usize> {
    match step {
        Step::Ask { engines, .. } => engines,
        other => panic!("asks, not {other:?}"),
    }
}

#[test]
fn start_asks_the_hinted_home() {
    let step = search(Home::Hinted(3)).start(&options(8));
    assert_that!(
        step,
        eq(&Step::Ask {
            engines: vec![3],
            wait_ms: 0
        })
    );
}

#[test]
fn start_of_a_new_chat_asks_a_few_at_once() {
    assert_that!(asked(search(Home::Nowhere).start(&options(8))).len(), eq(3));
}

#[test]
fn start_without_engines_finds_no_owner() {
    assert_that!(search(Home::Nowhere).start(&[]), eq(&Step::NoOwner));
    assert_that!(search(Home::Hinted(2)).start(&[]), eq(&Step::NoOwner));
}

#[test]
fn refused_home_leads_to_the_least_loaded_other() {
    let options = options(8);
    let mut placement = search(Home::Hinted(0));
    placement.start(&options);
    let held = placement.answered(&options, 0, AT_BOUND);
    assert_that!(
        held,
        eq(&Step::Ask {
            engines: vec![0],
            wait_ms: 400
        })
    );
    let others = asked(placement.answered(&options, 0, AT_BOUND));
    assert_that!(others, not(contains(eq(&0))));
    let granted = |load| AskAnswer::Granted { load };
    assert_that!(
        placement.answered(&options, others[0], granted(7)),
        eq(&Step::Await)
    );
    assert_that!(
        placement.answered(&options, others[1], granted(5)),
        eq(&Step::Await)
    );
    let step = placement.answered(&options, others[2], AT_BOUND);
    assert_that!(
        step,
        eq(&Step::Dispatch {
            to: others[1],
            with_slot: true,
            give_back: vec![others[0]]
        })
    );
}

#[test]
fn least_loaded_is_judged_by_weight() {
    let mut options = options(3);
    options[2].weight = 4.0;
    let mut placement = search(Home::Nowhere);
    let engines = asked(placement.start(&options));
    let mut last = Step::Await;
    for engine in engines {
        let load = if engine == 2 { 8 } else { 4 };
        last = placement.answered(&options, engine, AskAnswer::Granted { load });
    }
    assert_that!(last, matches_pattern!(Step::Dispatch { to: eq(&2), .. }));
}

#[test]
fn all_at_bound_pauses_and_then_refuses() {
    let options = options(4);
    let mut placement = search(Home::Hinted(0));
    let mut step = placement.start(&options);
    let mut pauses = 0;
    while step != Step::RefuseAtBound {
        step = match step {
            Step::Ask { engines, .. } => {
                let answer = |engine| placement.answered(&options, engine, AT_BOUND);
                engines.into_iter().map(answer).last().unwrap()
            }
            Step::Pause { .. } => {
                pauses += 1;
                placement.resume(&options)
            }
            other => panic!("unexpected {other:?}"),
        };
    }
    assert_that!(pauses, eq(PlacementRules::default().retry_pauses));
}

#[test]
fn no_answer_at_all_is_no_owner() {
    let options = options(4);
    let mut placement = search(Home::Hinted(0));
    let mut step = placement.start(&options);
    while let Step::Ask { engines, .. } = step {
        let answer = |engine| placement.answered(&options, engine, AskAnswer::Absent);
        step = engines.into_iter().map(answer).last().unwrap();
    }
    assert_that!(step, eq(&Step::NoOwner));
}

#[test]
fn absent_home_is_not_asked_again() {
    let options = options(8);
    let mut placement = search(Home::Hinted(0));
    placement.start(&options);
    let others = asked(placement.answered(&options, 0, AskAnswer::Absent));
    assert_that!(others, not(contains(eq(&0))));
}

#[test]
fn estimated_home_is_used_without_a_slot() {
    let options = options(8);
    let mut placement = search(Home::Hinted(0));
    placement.start(&options);
    let step = placement.answered(&options, 0, AskAnswer::Estimated { load: 3 });
    assert_that!(
        step,
        eq(&Step::Dispatch {
            to: 0,
            with_slot: false,
            give_back: vec![]
        })
    );
}

#[test]
fn granted_engine_goes_before_an_estimated_one() {
    let options = options(3);
    let mut placement = search(Home::Nowhere);
    let engines = asked(placement.start(&options));
    placement.answered(&options, engines[0], AskAnswer::Estimated { load: 0 });
    placement.answered(&options, engines[1], AskAnswer::Granted { load: 9 });
    let step = placement.answered(&options, engines[2], AskAnswer::Absent);
    let to = engines[1];
    assert_that!(
        step,
        eq(&Step::Dispatch {
            to,
            with_slot: true,
            give_back: vec![]
        })
    );
}

#[test]
fn own_room_is_a_share_of_the_own_mean() {
    let options = options(4);
    for (own_loads, room) in [
        ([4, 4, 4, 4], true),
        ([5, 4, 4, 4], false),
        ([0, 0, 0, 0], false),
        ([0, 1, 1, 1], false),
        ([0, 2, 2, 2], true),
    ] {
        assert_that!(
            has_own_room(&options, 0, &own_loads, 1.25),
            eq(room),
            "{own_loads:?}"
        );
    }
}

#[test]
fn organisation_over_its_share_is_told_after_one_round() {
    let options = options(20);
    let mut placement = search(Home::Hinted(0));
    placement.start(&options);
    let over_share = AskAnswer::OverShare { load: 9 };
    let others = asked(placement.answered(&options, 0, over_share));
    let answer = |engine| placement.answered(&options, engine, over_share);
    assert_that!(
        others.into_iter().map(answer).last(),
        some(eq(&Step::RefuseOverShare))
    );
}

#[test]
fn ranks_follow_the_scores_whatever_the_weights() {
    let mut options = options(200);
    for (i, option) in options.iter_mut().enumerate() {
        option.weight = [1.0, 64.0, 3.0, 1.0][i % 4];
    }
    for chat in 0..50u32 {
        let key = KeyHash::of(&chat.to_le_bytes());
        let mut ranked: Vec<usize> = (0..options.len()).collect();
        let s = |i: usize| score(key, options[i].hash, options[i].weight);
        ranked.sort_by(|a, b| s(*b).total_cmp(&s(*a)));
        let mut placement = Placement::new(PlacementRules::default(), key, Home::Nowhere);
        assert_that!(asked(placement.start(&options)), eq(&ranked[..3]));
    }
}
