//! Placement: the prefix's endpoint under the bound, and what else.

use chalkrock_core::rendezvous::{KeyHash, MemberHash};
use chalkrock_routing::{Candidate, SpreadRules};
use googletest::prelude::*;

/// The index of the endpoint that is chosen.
fn choose(
    candidates: &[Candidate],
    key: Option<KeyHash>,
    rules: &SpreadRules,
    draw: u64,
) -> Option<usize> {
    chalkrock_routing::choose(candidates, key, rules, draw).map(|placement| placement.index)
}

const RULES: SpreadRules = SpreadRules {
    load_multiple: 1.8,
    allowance: 2.0,
};

fn candidate(i: usize, load: u32) -> Candidate {
    Candidate {
        hash: MemberHash::of(&format!("engine-{i}")),
        load,
        slots: 64,
        is_near: false,
        is_suspect: false,
        holds_prefix: false,
    }
}

fn idle(count: usize) -> Vec<Candidate> {
    (0..count).map(|i| candidate(i, 0)).collect()
}

fn home(candidates: &[Candidate], key: KeyHash) -> usize {
    choose(candidates, Some(key), &RULES, 0).expect("there is a candidate")
}

#[test]
fn choose_nothing_of_nothing() {
    assert_that!(choose(&[], Some(KeyHash(1)), &RULES, 0), none());
}

#[test]
fn choose_the_same_home_on_every_host() {
    let candidates = idle(18);
    for key in 0..50 {
        let first = home(&candidates, KeyHash(key));
        let other = choose(&candidates, Some(KeyHash(key)), &RULES, 999);
        assert_that!(other, some(eq(first)));
    }
}

#[test]
fn choose_moves_only_what_a_new_endpoint_wins() {
    let before = idle(18);
    let after = idle(19);
    for key in 0..200 {
        let (old, new) = (home(&before, KeyHash(key)), home(&after, KeyHash(key)));
        assert_that!(new == old || new == 18, eq(true), "key {key}");
    }
}

#[test]
fn choose_keeps_the_home_up_to_the_bound_and_not_beyond() {
    let key = KeyHash(5);
    let mut candidates: Vec<Candidate> = (0..10).map(|i| candidate(i, 10)).collect();
    let home = home(&candidates, key);
    // Mean 10.8, limit 1.8 x 10.8 + 2 = 21.4.
    candidates[home].load = 18;
    assert_that!(choose(&candidates, Some(key), &RULES, 0), some(eq(home)));
    // Mean 11.2, limit 22.2: one more would be 23.
    candidates[home].load = 22;
    assert_that!(
        choose(&candidates, Some(key), &RULES, 0),
        some(not(eq(home)))
    );
}

#[test]
fn choose_never_passes_the_bound_while_another_is_under_it() {
    for seed in 0..200u32 {
        let loads = (0..12).map(|i| seed.wrapping_mul(2_654_435_761).rotate_left(i * 5) % 30);
        let candidates: Vec<Candidate> = loads
            .enumerate()
            .map(|(i, load)| candidate(i, load))
            .collect();
        let total: u32 = candidates.iter().map(|c| c.load).sum();
        let limit = 1.8 * f64::from(total) / 12.0 + 2.0;
        let chosen = home(&candidates, KeyHash(u64::from(seed)));
        let after = f64::from(candidates[chosen].load + 1);
        assert_that!(after, le(limit), "seed {seed}");
    }
}

#[test]
fn choose_spills_to_who_holds_the_prefix() {
    let key = KeyHash(5);
    let mut candidates: Vec<Candidate> = (0..10).map(|i| candidate(i, 10)).collect();
    let home = home(&candidates, key);
    candidates[home].load = 40;
    let holder = (home + 3) % 10;
    candidates[holder].holds_prefix = true;
    assert_that!(choose(&candidates, Some(key), &RULES, 0), some(eq(holder)));
}

#[test]
fn choose_leaves_suspects_while_others_are_sound() {
    let key = KeyHash(5);
    let mut candidates = idle(4);
    let home = home(&candidates, key);
    candidates[home].is_suspect = true;
    assert_that!(
        choose(&candidates, Some(key), &RULES, 0),
        some(not(eq(home)))
    );
}

#[test]
fn choose_a_suspect_if_all_are() {
    let mut candidates = idle(4);
    candidates.iter_mut().for_each(|c| c.is_suspect = true);
    assert_that!(
        choose(&candidates, Some(KeyHash(5)), &RULES, 0),
        some(anything())
    );
}

#[test]
fn choose_without_a_prefix_takes_the_least_loaded_by_slots() {
    let mut candidates = vec![candidate(0, 4), candidate(1, 5)];
    candidates[1].slots = 128;
    assert_that!(choose(&candidates, None, &RULES, 0), some(eq(1)));
}

#[test]
fn choose_without_a_prefix_takes_the_near_one_of_equals() {
    let mut candidates = idle(4);
    candidates[2].is_near = true;
    assert_that!(choose(&candidates, None, &RULES, 0), some(eq(2)));
}

#[test]
fn choose_without_a_prefix_spreads_equals_by_the_draw() {
    let candidates = idle(4);
    let mut seen = [0u32; 4];
    for draw in 0..400 {
        let chosen = choose(&candidates, None, &RULES, draw).expect("there is one");
        seen[chosen] += 1;
    }
    assert_that!(seen.to_vec(), each(gt(&50)));
}

/// Candidates with 64 slots: the home of a key and nine others, by load.
fn home_and_others(key: KeyHash, home_load: u32, others_load: u32) -> (usize, Vec<Candidate>) {
    let home = home(&idle(10), key);
    let loads = (0..10).map(|i| if i == home { home_load } else { others_load });
    let candidates = loads.enumerate().map(|(i, load)| candidate(i, load));
    (home, candidates.collect())
}

/// In a pool that is full throughout, prefixes stay where they are held.
#[test]
fn choose_the_home_of_a_full_pool_though_a_slot_came_free() {
    let key = KeyHash(5);
    for others_load in [60, 63, 66] {
        let (home, candidates) = home_and_others(key, 66, others_load);
        let chosen = choose(&candidates, Some(key), &RULES, 1);
        assert_that!(chosen, some(eq(home)), "others have {others_load}");
    }
}

#[test]
fn choose_for_a_full_home_one_with_slots_to_spare_that_holds_the_prefix() {
    let key = KeyHash(5);
    let (home, mut candidates) = home_and_others(key, 64, 40);
    let spilled = choose(&candidates, Some(key), &RULES, 1).expect("there is one");
    assert_that!(spilled, not(eq(home)));
    let holder = (0..10)
        .find(|&i| i != home && i != spilled)
        .expect("there is one");
    candidates[holder].holds_prefix = true;
    let chosen = choose(&candidates, Some(key), &RULES, 1);
    assert_that!(chosen, some(eq(holder)));
}

#[test]
fn choose_a_free_slot_rather_than_a_long_queue_at_home() {
    let key = KeyHash(5);
    let (home, candidates) = home_and_others(key, 80, 60);
    let chosen = choose(&candidates, Some(key), &RULES, 1);
    assert_that!(chosen, some(not(eq(home))));
}
