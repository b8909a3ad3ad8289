//! A prefix that takes a large part of a pool's requests, placed by stale loads.

use std::collections::VecDeque;

use chalkrock_core::rendezvous::{KeyHash, MemberHash};
use chalkrock_routing::{
    Candidate, HomeDemand, HomeSpread, PlacementRequest, PoolLoads, RecentPrefixes, SpreadRules,
    choose_endpoint,
};
use googletest::prelude::*;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

/// Zones; the hosts of each receive the same loads at the same time.
const ZONES: usize = 4;
const HOSTS: usize = 76;
const ENDPOINTS: usize = 90;
const SLOTS: u32 = 48;
const ARRIVALS_PER_S: f64 = 700.0;
const SERVICE_MS: f64 = 600.0;
const OTHER_PREFIXES: u64 = 800;
const STEP_MS: usize = 10;
/// Interval of reports, and their age on arrival.
const INTERVAL_MS: usize = 200;
const DELAY_MS: usize = 200;
const MEAN_AGE_MS: f64 = (DELAY_MS + INTERVAL_MS / 2) as f64;
const HOT_FROM_MS: usize = 3_000;
const HOT_UNTIL_MS: usize = 9_000;
const DURATION_MS: usize = 12_000;
/// Load limit of the operator: a multiple of the pool's mean load, and an allowance.
const MAX_LOAD_MULTIPLE: f64 = 2.0;
const MAX_LOAD_ALLOWANCE: f64 = 3.0;
const RULES: SpreadRules = SpreadRules {
    load_multiple: 1.7,
    allowance: 3.0,
};

/// Whether homes under high demand share their prefixes.
#[derive(Clone, Copy, Debug)]
enum Homes {
    Fixed,
    Spread,
}

#[derive(Debug, Default)]
struct Outcome {
    requests: usize,
    over_limit: usize,
    /// Requests of other prefixes, and those away from the home.
    others: usize,
    others_away: usize,
}

/// Plays `hot_ratio` of all requests on one prefix for six seconds. Counts from one
/// second before, to one second after.
fn play(hot_ratio: f64, homes: Homes, seed: u64) -> Outcome {
    let mut random = StdRng::seed_from_u64(seed);
    let exponential = |random: &mut StdRng, mean: f64| -mean * (1.0 - random.random::<f64>()).ln();
    let hashes: Vec<MemberHash> = (0..ENDPOINTS)
        .map(|i| MemberHash::of(&format!("engine-{i}")))
        .collect();
    let mut running: Vec<Vec<f64>> = vec![Vec::new(); ENDPOINTS];
    let mut history: VecDeque<Vec<u32>> = VecDeque::new();
    let mut demands: Vec<HomeDemand> = (0..ZONES).map(|_| HomeDemand::default()).collect();
    // By prefix and endpoint, when it first held the prefix.
    let mut held_from_ms = vec![[usize::MAX; ENDPOINTS]; OTHER_PREFIXES as usize + 1];
    let mut recent: Vec<RecentPrefixes> = vec![RecentPrefixes::default(); HOSTS];
    let mut outcome = Outcome::default();
    let mut next_ms = 0.0;
    for step in 0..DURATION_MS / STEP_MS {
        let at_ms = step * STEP_MS;
        let now_ms = at_ms as f64;
        for requests in &mut running {
            requests.retain(|&ends_ms| ends_ms > now_ms);
        }
        history.push_front(running.iter().map(|all| all.len() as u32).collect());
        history.truncate((INTERVAL_MS + DELAY_MS) / STEP_MS + 1);
        while next_ms < now_ms + STEP_MS as f64 {
            next_ms += exponential(&mut random, 1_000.0 / ARRIVALS_PER_S);
            let host = random.random_range(0..HOSTS);
            let zone = host % ZONES;
            let since_update_ms = (at_ms + zone * INTERVAL_MS / ZONES) % INTERVAL_MS;
            let age = (DELAY_MS + since_update_ms) / STEP_MS;
            let reported = &history[age.min(history.len() - 1)];
            let demand = &mut demands[zone];
            let loads = hashes.iter().zip(reported);
            let loads: Vec<(u32, u32)> = loads.map(|(hash, &load)| (hash.short(), load)).collect();
            let loads = PoolLoads {
                by_endpoint: &loads,
                age_ms: MEAN_AGE_MS,
                service_ms: SERVICE_MS,
            };
            demand.update(&loads, &RULES, at_ms as u64);
            let is_hot_time = (HOT_FROM_MS..HOT_UNTIL_MS).contains(&at_ms);
            let is_hot = is_hot_time && random.random_bool(hot_ratio);
            let key = if is_hot {
                KeyHash(OTHER_PREFIXES)
            } else {
                KeyHash(random.random_range(0..OTHER_PREFIXES))
            };
            let known_until_ms = at_ms.saturating_sub(DELAY_MS + INTERVAL_MS / 2);
            let holds = |index: usize| held_from_ms[key.0 as usize][index] <= known_until_ms;
            let holder_count = (0..ENDPOINTS).filter(|&index| holds(index)).count();
            let prefix = key.0 as u32;
            let is_popular = recent[host].is_popular(prefix, holder_count, at_ms as u64);
            recent[host].record(prefix, at_ms as u64);
            let homes = if is_popular { homes } else { Homes::Fixed };
            let candidates: Vec<Candidate> = hashes
                .iter()
                .zip(reported)
                .enumerate()
                .map(|(index, (&hash, &load))| Candidate {
                    hash,
                    load,
                    slots: SLOTS,
                    is_same_zone: false,
                    is_suspect: false,
                    holds_prefix: holds(index),
                    is_closed: false,
                    home_spread: match homes {
                        Homes::Fixed => HomeSpread::NONE,
                        Homes::Spread => demand.spread(hash.short()),
                    },
                })
                .collect();
            let request = PlacementRequest {
                key: Some(key),
                unreported_arrivals: 0.0,
                draw: random.random(),
            };
            let placement = choose_endpoint(&candidates, &request, &RULES).expect("a candidate");
            let index = placement.index;
            let held_from_ms = &mut held_from_ms[key.0 as usize][index];
            *held_from_ms = at_ms.min(*held_from_ms);
            let load = running[index].len() as f64 + 1.0;
            let total: usize = running.iter().map(Vec::len).sum();
            let mean = (total as f64 + 1.0) / ENDPOINTS as f64;
            running[index].push(next_ms + exponential(&mut random, SERVICE_MS));
            if !(HOT_FROM_MS - 1_000..HOT_UNTIL_MS + 1_000).contains(&at_ms) {
                continue;
            }
            outcome.requests += 1;
            let is_over = load > MAX_LOAD_MULTIPLE * mean + MAX_LOAD_ALLOWANCE;
            outcome.over_limit += usize::from(is_over);
            if !is_hot {
                outcome.others += 1;
                let calm: Vec<Candidate> = candidates
                    .iter()
                    .map(|candidate| Candidate {
                        load: 0,
                        home_spread: HomeSpread::NONE,
                        ..*candidate
                    })
                    .collect();
                let home = choose_endpoint(&calm, &request, &RULES).expect("a candidate");
                outcome.others_away += usize::from(home.index != index);
            }
        }
    }
    outcome
}

/// The operator's limit on requests that reach an endpoint over its load limit.
const MAX_OVER_LIMIT_RATIO: f64 = 0.03;

#[test]
fn home_demand_keeps_a_hot_prefix_within_the_limit() {
    for seed in 0..10 {
        let outcome = play(0.2, Homes::Spread, seed);
        let over_ratio = outcome.over_limit as f64 / outcome.requests as f64;
        assert_that!(
            over_ratio,
            lt(MAX_OVER_LIMIT_RATIO),
            "seed {seed}: {outcome:?}"
        );
        let others = outcome.others;
        assert_that!(
            outcome.others_away,
            lt(others / 10),
            "seed {seed}: {outcome:?}"
        );
    }
}

#[test]
fn home_demand_keeps_prefixes_at_home_without_a_hot_one() {
    for seed in 0..5 {
        let fixed = play(0.0, Homes::Fixed, seed);
        let spread = play(0.0, Homes::Spread, seed);
        let max_away = fixed.others_away + spread.others / 50;
        assert_that!(
            spread.others_away,
            lt(max_away),
            "seed {seed}: {fixed:?}, {spread:?}"
        );
    }
}

#[test]
fn fixed_homes_exceed_the_limit_with_a_hot_prefix() {
    let outcome = play(0.2, Homes::Fixed, 0);
    let over_ratio = outcome.over_limit as f64 / outcome.requests as f64;
    assert_that!(over_ratio, gt(2.0 * MAX_OVER_LIMIT_RATIO), "{outcome:?}");
}
