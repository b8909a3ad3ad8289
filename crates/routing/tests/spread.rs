//! Placement: the home of the prefix within the load limit, and its alternatives.

use chalkrock_core::rendezvous::{KeyHash, MemberHash};
use chalkrock_routing::{Candidate, HomeSpread, PlacementRequest, SpreadRules};
use googletest::prelude::*;

/// Index of the chosen endpoint.
fn place(
    candidates: &[Candidate],
    key: Option<KeyHash>,
    rules: &SpreadRules,
    draw: u64,
) -> Option<usize> {
    let request = PlacementRequest {
        key,
        unreported_arrivals: 0.0,
        draw,
    };
    chalkrock_routing::choose_endpoint(candidates, &request, rules).map(|placement| placement.index)
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
        is_same_zone: false,
        is_suspect: false,
        holds_prefix: false,
        is_closed: false,
        home_spread: HomeSpread::NONE,
    }
}

fn idle(count: usize) -> Vec<Candidate> {
    (0..count).map(|i| candidate(i, 0)).collect()
}

fn home(candidates: &[Candidate], key: KeyHash) -> usize {
    place(candidates, Some(key), &RULES, 0).expect("a candidate")
}

#[test]
fn choose_endpoint_returns_none_without_candidates() {
    assert_that!(place(&[], Some(KeyHash(1)), &RULES, 0), none());
}

#[test]
fn choose_endpoint_agrees_on_every_host() {
    let candidates = idle(18);
    for key in 0..50 {
        let first = home(&candidates, KeyHash(key));
        let other = place(&candidates, Some(KeyHash(key)), &RULES, 999);
        assert_that!(other, some(eq(first)));
    }
}

#[test]
fn choose_endpoint_moves_prefixes_only_to_a_new_endpoint() {
    let before = idle(18);
    let after = idle(19);
    for key in 0..200 {
        let (old, new) = (home(&before, KeyHash(key)), home(&after, KeyHash(key)));
        assert_that!(new == old || new == 18, eq(true), "key {key}");
    }
}

#[test]
fn choose_endpoint_keeps_the_home_up_to_the_limit() {
    let key = KeyHash(5);
    let mut candidates: Vec<Candidate> = (0..10).map(|i| candidate(i, 10)).collect();
    let home = home(&candidates, key);
    // Mean 10.8, limit 1.8 x 10.8 + 2 = 21.4.
    candidates[home].load = 18;
    assert_that!(place(&candidates, Some(key), &RULES, 0), some(eq(home)));
    // Mean 11.2, limit 22.2: one more would be 23.
    candidates[home].load = 22;
    assert_that!(
        place(&candidates, Some(key), &RULES, 0),
        some(not(eq(home)))
    );
}

#[test]
fn choose_endpoint_stays_within_the_limit() {
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
fn choose_endpoint_prefers_holders_of_the_prefix() {
    let key = KeyHash(5);
    let mut candidates: Vec<Candidate> = (0..10).map(|i| candidate(i, 10)).collect();
    let home = home(&candidates, key);
    candidates[home].load = 40;
    let holder = (home + 3) % 10;
    candidates[holder].holds_prefix = true;
    assert_that!(place(&candidates, Some(key), &RULES, 0), some(eq(holder)));
}

#[test]
fn choose_endpoint_avoids_suspects() {
    let key = KeyHash(5);
    let mut candidates = idle(4);
    let home = home(&candidates, key);
    candidates[home].is_suspect = true;
    assert_that!(
        place(&candidates, Some(key), &RULES, 0),
        some(not(eq(home)))
    );
}

#[test]
fn choose_endpoint_returns_a_suspect_if_all_are() {
    let mut candidates = idle(4);
    candidates.iter_mut().for_each(|c| c.is_suspect = true);
    assert_that!(
        place(&candidates, Some(KeyHash(5)), &RULES, 0),
        some(anything())
    );
}

#[test]
fn choose_endpoint_without_a_prefix_returns_the_least_loaded() {
    let mut candidates = vec![candidate(0, 4), candidate(1, 5)];
    candidates[1].slots = 128;
    assert_that!(place(&candidates, None, &RULES, 0), some(eq(1)));
}

#[test]
fn choose_endpoint_without_a_prefix_prefers_the_same_zone() {
    let mut candidates = idle(4);
    candidates[2].is_same_zone = true;
    assert_that!(place(&candidates, None, &RULES, 0), some(eq(2)));
}

#[test]
fn choose_endpoint_without_a_prefix_breaks_ties_by_the_draw() {
    let candidates = idle(4);
    let mut counts = [0u32; 4];
    for draw in 0..400 {
        let chosen = place(&candidates, None, &RULES, draw).expect("a candidate");
        counts[chosen] += 1;
    }
    assert_that!(counts.to_vec(), each(gt(&50)));
}

/// Candidates with 64 slots: the home of a key and nine others, by load.
fn home_and_others(key: KeyHash, home_load: u32, others_load: u32) -> (usize, Vec<Candidate>) {
    let home = home(&idle(10), key);
    let loads = (0..10).map(|i| if i == home { home_load } else { others_load });
    let candidates = loads.enumerate().map(|(i, load)| candidate(i, load));
    (home, candidates.collect())
}

/// Guards against spreading prefixes over a full pool whenever a slot becomes free.
#[test]
fn choose_endpoint_keeps_the_home_in_a_full_pool() {
    let key = KeyHash(5);
    for others_load in [60, 63, 66] {
        let (home, candidates) = home_and_others(key, 66, others_load);
        let chosen = place(&candidates, Some(key), &RULES, 1);
        assert_that!(chosen, some(eq(home)), "others have {others_load}");
    }
}

#[test]
fn choose_endpoint_prefers_holders_with_low_utilisation() {
    let key = KeyHash(5);
    let (home, mut candidates) = home_and_others(key, 64, 40);
    let spilled = place(&candidates, Some(key), &RULES, 1).expect("a candidate");
    assert_that!(spilled, not(eq(home)));
    let holder = (0..10)
        .find(|&i| i != home && i != spilled)
        .expect("a candidate");
    candidates[holder].holds_prefix = true;
    let chosen = place(&candidates, Some(key), &RULES, 1);
    assert_that!(chosen, some(eq(holder)));
}

#[test]
fn choose_endpoint_prefers_a_free_slot_to_a_long_queue() {
    let key = KeyHash(5);
    let (home, candidates) = home_and_others(key, 80, 60);
    let chosen = place(&candidates, Some(key), &RULES, 1);
    assert_that!(chosen, some(not(eq(home))));
}

/// Guards against overload of single endpoints when requests are shorter than the age of
/// the hosts' reports.
mod stale_reports {
    use super::*;
    use rand::rngs::StdRng;
    use rand::{RngExt, SeedableRng};
    use std::collections::VecDeque;

    /// Zones; the hosts of each receive the same aggregates at the same time.
    const ZONES: usize = 6;
    const ENDPOINTS: usize = 6;
    const SLOTS: u32 = 6;
    /// Requests that an endpoint runs or queues; it rejects the rest.
    const MAX_REQUESTS: usize = 30;
    const ARRIVALS_PER_S: f64 = 450.0;
    const SERVICE_MS: f64 = 30.0;
    const DURATION_S: f64 = 30.0;
    const STEP_MS: usize = 10;
    /// Interval of aggregates, and their age on arrival.
    const INTERVAL_MS: usize = 200;
    const DELAY_MS: usize = 200;

    #[derive(Debug, Default)]
    struct Outcome {
        requests: usize,
        rejected: usize,
        queued: usize,
    }

    /// Simulates the pool. Hosts use the last loads that their zone received and assume
    /// `unreported` arrivals since.
    fn simulate(unreported: f64) -> Outcome {
        let mut random = StdRng::seed_from_u64(295);
        let phases: Vec<usize> = (0..ZONES).map(|zone| zone * INTERVAL_MS / ZONES).collect();
        let mut running: Vec<VecDeque<f64>> = vec![VecDeque::new(); ENDPOINTS];
        let mut history: VecDeque<Vec<u32>> = VecDeque::new();
        let mut outcome = Outcome::default();
        let exponential =
            |random: &mut StdRng, mean: f64| -mean * (1.0 - random.random::<f64>()).ln();
        let mut next_ms = 0.0;
        for step in 0..(DURATION_S * 1_000.0) as usize / STEP_MS {
            let now_ms = (step * STEP_MS) as f64;
            for queue in &mut running {
                queue.retain(|&ends_ms| ends_ms > now_ms);
            }
            history.push_front(running.iter().map(|all| all.len() as u32).collect());
            history.truncate((INTERVAL_MS + DELAY_MS) / STEP_MS + 1);
            while next_ms < now_ms + STEP_MS as f64 {
                next_ms += exponential(&mut random, 1_000.0 / ARRIVALS_PER_S);
                outcome.requests += 1;
                let zone = random.random_range(0..ZONES);
                let since_update_ms = (step * STEP_MS + phases[zone]) % INTERVAL_MS;
                let age = (DELAY_MS + since_update_ms) / STEP_MS;
                let reported = &history[age.min(history.len() - 1)];
                let candidates: Vec<Candidate> = reported
                    .iter()
                    .enumerate()
                    .map(|(i, &load)| Candidate {
                        slots: SLOTS,
                        ..candidate(i, load)
                    })
                    .collect();
                let request = PlacementRequest {
                    key: None,
                    unreported_arrivals: unreported,
                    draw: random.random(),
                };
                let placement = chalkrock_routing::choose_endpoint(&candidates, &request, &RULES);
                let queue = &mut running[placement.expect("a candidate").index];
                if queue.len() >= MAX_REQUESTS {
                    outcome.rejected += 1;
                    continue;
                }
                let queue_position = queue.len().checked_sub(SLOTS as usize);
                outcome.queued += usize::from(queue_position.is_some());
                let mut ends: Vec<f64> = queue.iter().copied().collect();
                ends.sort_by(f64::total_cmp);
                let starts_ms = queue_position.map_or(now_ms, |position| ends[position]);
                queue.push_back(starts_ms + exponential(&mut random, SERVICE_MS));
            }
        }
        outcome
    }

    #[test]
    fn spread_by_stale_reports_includes_unreported_arrivals() {
        let mean_age_s = (DELAY_MS + INTERVAL_MS / 2) as f64 / 1_000.0;
        let stale = simulate(0.0);
        let corrected = simulate(ARRIVALS_PER_S * mean_age_s);
        assert_that!(stale.queued, gt(stale.requests / 4));
        assert_that!(stale.rejected, gt(0));
        assert_that!(corrected.rejected, eq(0));
        assert_that!(corrected.queued, lt(corrected.requests / 20));
    }

    #[test]
    fn spread_by_current_reports_returns_the_least_loaded() {
        let candidates = [candidate(0, 5), candidate(1, 2), candidate(2, 9)];
        for draw in 0..50 {
            assert_that!(place(&candidates, None, &RULES, draw), some(eq(1)));
        }
    }

    #[test]
    fn spread_fills_the_least_loaded_first_and_prefers_the_same_zone() {
        let mut candidates = [candidate(0, 40), candidate(1, 8), candidate(2, 8)];
        candidates[2].is_same_zone = true;
        let mut chosen = [0; 3];
        let mut random = StdRng::seed_from_u64(1);
        for _ in 0..10_000 {
            let request = PlacementRequest {
                key: None,
                unreported_arrivals: 31.0,
                draw: random.random(),
            };
            let placement = chalkrock_routing::choose_endpoint(&candidates, &request, &RULES);
            chosen[placement.expect("a candidate").index] += 1;
        }
        // 32 arrivals on 128 slots, with a bonus of 16 in the same zone: 8 and 24.
        assert_that!(chosen[0], eq(0));
        assert_that!(chosen[1], all!(gt(2_300), lt(2_700)));
        assert_that!(chosen[2], all!(gt(7_300), lt(7_700)));
    }
}
