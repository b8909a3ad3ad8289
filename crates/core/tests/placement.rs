//! The search for an engine, answer by answer.

use chalkrock_core::rendezvous::{KeyHash, MemberHash, score};
use chalkrock_core::{
    EngineCandidate, Home, Placement, PlacementRules, PlacementStep, SlotResponse,
    has_local_capacity,
};
use googletest::prelude::*;

const AT_BOUND: SlotResponse = SlotResponse::AtBound { load: 10 };

fn candidates(count: usize) -> Vec<EngineCandidate> {
    let candidate = |i| EngineCandidate {
        hash: MemberHash::of(&format!("engine-{i}")),
        weight: 1.0,
    };
    (0..count).map(candidate).collect()
}

fn search(home: Home) -> Placement {
    Placement::new(PlacementRules::default(), KeyHash::of(b"chat"), home)
}

fn asked(step: PlacementStep) -> Vec<usize> {
    match step {
        PlacementStep::RequestSlots { engines, .. } => engines,
        other => panic!("asks, not {other:?}"),
    }
}

#[test]
fn start_asks_the_hinted_home() {
    let step = search(Home::Hinted(3)).start(&candidates(8));
    assert_that!(
        step,
        eq(&PlacementStep::RequestSlots {
            engines: vec![3],
            wait_ms: 0
        })
    );
}

#[test]
fn start_of_a_new_chat_asks_a_few_at_once() {
    assert_that!(
        asked(search(Home::Uncached).start(&candidates(8))).len(),
        eq(3)
    );
}

#[test]
fn start_without_engines_finds_no_owner() {
    assert_that!(
        search(Home::Uncached).start(&[]),
        eq(&PlacementStep::NoOwner)
    );
    assert_that!(
        search(Home::Hinted(2)).start(&[]),
        eq(&PlacementStep::NoOwner)
    );
}

#[test]
fn refused_home_leads_to_the_least_loaded_other() {
    let candidates = candidates(8);
    let mut placement = search(Home::Hinted(0));
    placement.start(&candidates);
    let held = placement.record_response(&candidates, 0, AT_BOUND);
    assert_that!(
        held,
        eq(&PlacementStep::RequestSlots {
            engines: vec![0],
            wait_ms: 400
        })
    );
    let others = asked(placement.record_response(&candidates, 0, AT_BOUND));
    assert_that!(others, not(contains(eq(&0))));
    let granted = |load| SlotResponse::Granted { load };
    assert_that!(
        placement.record_response(&candidates, others[0], granted(7)),
        eq(&PlacementStep::AwaitResponses)
    );
    assert_that!(
        placement.record_response(&candidates, others[1], granted(5)),
        eq(&PlacementStep::AwaitResponses)
    );
    let step = placement.record_response(&candidates, others[2], AT_BOUND);
    assert_that!(
        step,
        eq(&PlacementStep::Dispatch {
            to: others[1],
            with_slot: true,
            surplus: vec![others[0]]
        })
    );
}

#[test]
fn least_loaded_is_judged_by_weight() {
    let mut candidates = candidates(3);
    candidates[2].weight = 4.0;
    let mut placement = search(Home::Uncached);
    let engines = asked(placement.start(&candidates));
    let mut last = PlacementStep::AwaitResponses;
    for engine in engines {
        let load = if engine == 2 { 8 } else { 4 };
        last = placement.record_response(&candidates, engine, SlotResponse::Granted { load });
    }
    assert_that!(
        last,
        matches_pattern!(PlacementStep::Dispatch { to: eq(&2), .. })
    );
}

#[test]
fn all_at_bound_pauses_and_then_refuses() {
    let candidates = candidates(4);
    let mut placement = search(Home::Hinted(0));
    let mut step = placement.start(&candidates);
    let mut pauses = 0;
    while step != PlacementStep::RefuseAtBound {
        step = match step {
            PlacementStep::RequestSlots { engines, .. } => {
                let answer = |engine| placement.record_response(&candidates, engine, AT_BOUND);
                engines.into_iter().map(answer).last().unwrap()
            }
            PlacementStep::Pause { .. } => {
                pauses += 1;
                placement.resume(&candidates)
            }
            other => panic!("unexpected {other:?}"),
        };
    }
    assert_that!(pauses, eq(PlacementRules::default().max_retry_pauses));
}

#[test]
fn no_answer_at_all_is_no_owner() {
    let candidates = candidates(4);
    let mut placement = search(Home::Hinted(0));
    let mut step = placement.start(&candidates);
    while let PlacementStep::RequestSlots { engines, .. } = step {
        let answer =
            |engine| placement.record_response(&candidates, engine, SlotResponse::Unavailable);
        step = engines.into_iter().map(answer).last().unwrap();
    }
    assert_that!(step, eq(&PlacementStep::NoOwner));
}

#[test]
fn absent_home_is_not_asked_again() {
    let candidates = candidates(8);
    let mut placement = search(Home::Hinted(0));
    placement.start(&candidates);
    let others = asked(placement.record_response(&candidates, 0, SlotResponse::Unavailable));
    assert_that!(others, not(contains(eq(&0))));
}

#[test]
fn estimated_home_is_used_without_a_slot() {
    let candidates = candidates(8);
    let mut placement = search(Home::Hinted(0));
    placement.start(&candidates);
    let step = placement.record_response(&candidates, 0, SlotResponse::Estimated { load: 3 });
    assert_that!(
        step,
        eq(&PlacementStep::Dispatch {
            to: 0,
            with_slot: false,
            surplus: vec![]
        })
    );
}

#[test]
fn granted_engine_goes_before_an_estimated_one() {
    let candidates = candidates(3);
    let mut placement = search(Home::Uncached);
    let engines = asked(placement.start(&candidates));
    placement.record_response(&candidates, engines[0], SlotResponse::Estimated { load: 0 });
    placement.record_response(&candidates, engines[1], SlotResponse::Granted { load: 9 });
    let step = placement.record_response(&candidates, engines[2], SlotResponse::Unavailable);
    let to = engines[1];
    assert_that!(
        step,
        eq(&PlacementStep::Dispatch {
            to,
            with_slot: true,
            surplus: vec![]
        })
    );
}

#[test]
fn own_room_is_a_share_of_the_own_mean() {
    let candidates = candidates(4);
    for (own_loads, room) in [
        ([4, 4, 4, 4], true),
        ([5, 4, 4, 4], false),
        ([0, 0, 0, 0], false),
        ([0, 1, 1, 1], false),
        ([0, 2, 2, 2], true),
    ] {
        assert_that!(
            has_local_capacity(&candidates, 0, &own_loads, 1.25),
            eq(room),
            "{own_loads:?}"
        );
    }
}

#[test]
fn organisation_over_its_share_is_told_after_one_round() {
    let candidates = candidates(20);
    let mut placement = search(Home::Hinted(0));
    placement.start(&candidates);
    let over_share = SlotResponse::OverShare { load: 9 };
    let others = asked(placement.record_response(&candidates, 0, over_share));
    let answer = |engine| placement.record_response(&candidates, engine, over_share);
    assert_that!(
        others.into_iter().map(answer).last(),
        some(eq(&PlacementStep::RefuseOverShare))
    );
}

#[test]
fn ranks_follow_the_scores_whatever_the_weights() {
    let mut candidates = candidates(200);
    for (i, candidate) in candidates.iter_mut().enumerate() {
        candidate.weight = [1.0, 64.0, 3.0, 1.0][i % 4];
    }
    for chat in 0..50u32 {
        let key = KeyHash::of(&chat.to_le_bytes());
        let mut ranked: Vec<usize> = (0..candidates.len()).collect();
        let s = |i: usize| score(key, candidates[i].hash, candidates[i].weight);
        ranked.sort_by(|a, b| s(*b).total_cmp(&s(*a)));
        let mut placement = Placement::new(PlacementRules::default(), key, Home::Uncached);
        assert_that!(asked(placement.start(&candidates)), eq(&ranked[..3]));
    }
}
