//! State from peers: bounded, whatever they send.

use chalkrock_routing::{
    CacheEntry, ConnectionLimit, HomeDemand, LearnedState, PoolLoads, PoolServiceTime, SpreadRules,
    connections_per_host,
};
use googletest::prelude::*;
use proptest::prelude::*;

fn learned(limits: Vec<u32>, times: Vec<u32>, prefixes: usize) -> LearnedState {
    let limits = limits.into_iter().map(|max_connections| ConnectionLimit {
        pool: "pool".into(),
        max_connections,
    });
    let times = times.into_iter().map(|service_ms| PoolServiceTime {
        pool: "pool".into(),
        service_ms,
    });
    let entry = CacheEntry {
        part: 1,
        endpoint: 2,
    };
    LearnedState {
        connection_limits: limits.collect(),
        service_times: times.collect(),
        prefixes: vec![entry; prefixes],
    }
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: prop::test_runner::RngSeed::Fixed(11), ..ProptestConfig::default() })]
    #[test]
    fn learned_state_is_bounded(
        limits in prop::collection::vec(any::<u32>(), 0..600),
        times in prop::collection::vec(any::<u32>(), 0..600),
        prefixes in 0_usize..5_000,
    ) {
        let bounded = learned(limits, times, prefixes).bounded();
        prop_assert!(bounded.connection_limits.len() <= 256);
        prop_assert!(bounded.connection_limits.iter().all(|limit| limit.max_connections > 0));
        prop_assert!(bounded.service_times.len() <= 256);
        let mut times = bounded.service_times.iter();
        prop_assert!(times.all(|time| (1..=60_000).contains(&time.service_ms)));
        prop_assert!(bounded.prefixes.len() <= 1_024);
    }

    #[test]
    fn connections_per_host_stay_within_the_limit(limit in 1_u32.., hosts in 0_usize..100_000) {
        let per_host = connections_per_host(limit, hosts);
        prop_assert!(per_host >= 1);
        let total = u64::from(per_host) * hosts as u64;
        prop_assert!(total <= u64::from(limit) || per_host == 1);
    }

    #[test]
    fn home_demand_is_bounded(
        rounds in prop::collection::vec(
            (prop::collection::vec(any::<u32>(), 1..8), 0_u64..5_000, 0.0_f64..100_000.0),
            1..20,
        ),
    ) {
        let mut demand = HomeDemand::default();
        let mut now_ms = 0;
        for (loads, elapsed_ms, service_ms) in rounds {
            now_ms += elapsed_ms;
            let by_endpoint: Vec<(u32, u32)> = (0..).zip(loads).collect();
            let loads = PoolLoads { by_endpoint: &by_endpoint, age_ms: 300.0, service_ms };
            demand.update(&loads, &SpreadRules::default(), now_ms);
            for endpoint in 0..8 {
                let spread = demand.spread(endpoint);
                prop_assert!((0.0..=1.0).contains(&spread.kept_ratio));
                prop_assert!((0.0..=64.0).contains(&spread.others));
            }
        }
    }
}

#[test]
fn learned_state_within_the_bounds_is_kept() {
    let state = learned(vec![520], vec![80], 3);
    assert_that!(state.clone().bounded(), eq(&state));
}
