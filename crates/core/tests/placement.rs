//! The search for an engine, response by response.

use std::collections::BTreeSet;

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

fn requested(step: PlacementStep) -> Vec<usize> {
    match step {
        PlacementStep::RequestSlots { engines, .. } => engines,
        other => panic!("expected RequestSlots, not {other:?}"),
    }
}

#[test]
fn start_requests_the_hinted_home() {
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
fn start_of_a_new_chat_requests_several_at_once() {
    assert_that!(
        requested(search(Home::Uncached).start(&candidates(8))).len(),
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
fn refusal_at_home_leads_to_the_least_loaded_alternative() {
    let candidates = candidates(8);
    let mut placement = search(Home::Hinted(0));
    placement.start(&candidates);
    let retried = placement.record_response(&candidates, 0, AT_BOUND);
    assert_that!(
        retried,
        eq(&PlacementStep::RequestSlots {
            engines: vec![0],
            wait_ms: 400
        })
    );
    let alternatives = requested(placement.record_response(&candidates, 0, AT_BOUND));
    assert_that!(alternatives, not(contains(eq(&0))));
    let granted = |load| SlotResponse::Granted { load };
    assert_that!(
        placement.record_response(&candidates, alternatives[0], granted(7)),
        eq(&PlacementStep::AwaitResponses)
    );
    assert_that!(
        placement.record_response(&candidates, alternatives[1], granted(5)),
        eq(&PlacementStep::AwaitResponses)
    );
    let step = placement.record_response(&candidates, alternatives[2], AT_BOUND);
    assert_that!(
        step,
        eq(&PlacementStep::Dispatch {
            to: alternatives[1],
            with_slot: true,
            surplus: vec![alternatives[0]]
        })
    );
}

#[test]
fn least_load_is_relative_to_weight() {
    let mut candidates = candidates(3);
    candidates[2].weight = 4.0;
    let mut placement = search(Home::Uncached);
    let engines = requested(placement.start(&candidates));
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
                let respond = |engine| placement.record_response(&candidates, engine, AT_BOUND);
                engines.into_iter().map(respond).last().unwrap()
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
fn no_response_is_no_owner() {
    let candidates = candidates(4);
    let mut placement = search(Home::Hinted(0));
    let mut step = placement.start(&candidates);
    while let PlacementStep::RequestSlots { engines, .. } = step {
        let respond =
            |engine| placement.record_response(&candidates, engine, SlotResponse::Unavailable);
        step = engines.into_iter().map(respond).last().unwrap();
    }
    assert_that!(step, eq(&PlacementStep::NoOwner));
}

#[test]
fn unavailable_home_is_not_requested_again() {
    let candidates = candidates(8);
    let mut placement = search(Home::Hinted(0));
    placement.start(&candidates);
    let alternatives =
        requested(placement.record_response(&candidates, 0, SlotResponse::Unavailable));
    assert_that!(alternatives, not(contains(eq(&0))));
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
fn granted_engine_precedes_an_estimated_one() {
    let candidates = candidates(3);
    let mut placement = search(Home::Uncached);
    let engines = requested(placement.start(&candidates));
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
fn local_capacity_is_a_multiple_of_the_local_mean() {
    let candidates = candidates(4);
    for (local_loads, has_capacity) in [
        ([4, 4, 4, 4], true),
        ([5, 4, 4, 4], false),
        ([0, 0, 0, 0], false),
        ([0, 1, 1, 1], false),
        ([0, 2, 2, 2], true),
    ] {
        assert_that!(
            has_local_capacity(&candidates, 0, &local_loads, 1.25),
            eq(has_capacity),
            "{local_loads:?}"
        );
    }
}

#[test]
fn organisation_over_its_share_is_refused_after_one_round() {
    let candidates = candidates(20);
    let mut placement = search(Home::Hinted(0));
    placement.start(&candidates);
    let over_share = SlotResponse::OverShare { load: 9 };
    let alternatives = requested(placement.record_response(&candidates, 0, over_share));
    let respond = |engine| placement.record_response(&candidates, engine, over_share);
    assert_that!(
        alternatives.into_iter().map(respond).last(),
        some(eq(&PlacementStep::RefuseOverShare))
    );
}

#[test]
fn ranks_follow_the_scores_with_any_weights() {
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
        assert_that!(requested(placement.start(&candidates)), eq(&ranked[..3]));
    }
}

/// Two starts with one hash are taken for one endpoint: a request for one is sent over a
/// connection to the other, and both count as leaving when one does.
#[test]
fn start_hashes_differ_for_names_of_any_length() {
    const STARTS: u64 = 20;
    const FIRST_START: u64 = 1_796_313_282_000;
    for prefix in [
        "",
        "i",
        "i-",
        "i-a",
        "i-ab97eda80",
        "endpoint-with-a-longer-name-",
    ] {
        let names = (0..10).map(|number| format!("{prefix}{number}"));
        let hashes = names.flat_map(|name| {
            (FIRST_START..FIRST_START + STARTS).map(move |start| MemberHash::of_start(&name, start))
        });
        let hashes: Vec<u64> = hashes.map(|hash| hash.0).collect();
        let distinct: BTreeSet<u64> = hashes.iter().copied().collect();
        assert_that!(distinct.len(), eq(hashes.len()), "{prefix:?}");
    }
}
