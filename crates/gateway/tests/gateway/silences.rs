//! A store that stops answering for a time, with the clock paused.

use std::time::Duration;

use crate::support::{Behaviour, Call, TestGateway, TestSource, rules};
use googletest::prelude::*;
use tokio::time::{Instant, sleep, sleep_until};

/// Start times of the silence within a wait for changes.
const STARTS_MS: [u64; 9] = [0, 450, 1_100, 1_900, 2_500, 3_200, 3_999, 4_300, 5_600];
/// Durations of the silence.
const DURATIONS_MS: [u64; 4] = [50, 900, 2_600, 7_000];

/// Starts hosts that share a store and are peers.
async fn start_hosts(count: usize, bound_ms: u64) -> (TestSource, Vec<TestGateway>) {
    let source = TestSource::default();
    source.set_rules(rules(1));
    let mut hosts: Vec<TestGateway> = Vec::new();
    for i in 0..count {
        let name = format!("host-{i}");
        let peers = hosts.iter();
        let seeds = peers
            .filter_map(|host| host.running.peer_address())
            .collect();
        hosts.push(TestGateway::with_follow_bound(source.clone(), &name, seeds, bound_ms).await);
    }
    for host in &hosts {
        host.ready().await;
    }
    (source, hosts)
}

/// Changes the rules during a silence and checks that all hosts have them `bound_ms`
/// after its end.
async fn assert_rules_in_time(count: usize, bound_ms: u64, start_ms: u64, duration_ms: u64) {
    let case = format!("{count} hosts, {bound_ms}, {start_ms}, {duration_ms}");
    let (source, hosts) = start_hosts(count, bound_ms).await;
    sleep(Duration::from_millis(start_ms)).await;
    source.set_silent(true);
    sleep(Duration::from_millis(duration_ms / 2)).await;
    source.set_rules(rules(2));
    sleep(Duration::from_millis(duration_ms / 2)).await;
    source.set_silent(false);
    let ended_at = Instant::now();
    sleep_until(ended_at + Duration::from_millis(bound_ms)).await;
    for host in &hosts {
        assert_that!(host.has_rules(2).await, eq(true), "{case}");
    }
}

#[tokio::test(start_paused = true)]
async fn silence_is_over_for_one_host_within_the_bound() {
    for bound_ms in [1_500, 2_000, 3_000] {
        for start_ms in STARTS_MS {
            for duration_ms in DURATIONS_MS {
                assert_rules_in_time(1, bound_ms, start_ms, duration_ms).await;
            }
        }
    }
}

#[tokio::test(start_paused = true)]
async fn silence_is_over_for_all_hosts_within_the_bound() {
    for start_ms in STARTS_MS {
        for duration_ms in DURATIONS_MS {
            assert_rules_in_time(4, 1_500, start_ms, duration_ms).await;
        }
    }
}

/// Number of hosts in a zone that is large enough for relays.
const LARGE_ZONE: usize = 28;

#[tokio::test(start_paused = true)]
async fn silence_is_over_for_a_large_zone_within_the_bound() {
    for (start_ms, duration_ms) in [(1_100, 900), (4_300, 7_000), (9_000, 2_600)] {
        assert_rules_in_time(LARGE_ZONE, 3_000, start_ms, duration_ms).await;
    }
}

/// While the store is silent, hosts must join the subscribers gradually, not all at once.
#[tokio::test(start_paused = true)]
async fn silence_is_polled_by_few_hosts_of_a_large_zone() {
    const SETTLE_TIME: Duration = Duration::from_secs(20);
    const SILENCE: Duration = Duration::from_secs(8);
    let (source, hosts) = start_hosts(LARGE_ZONE, 3_000).await;
    sleep(SETTLE_TIME).await;
    let before = source.calls();
    source.set_silent(true);
    sleep(SILENCE).await;
    let calls = source.calls() - before;
    assert_that!(calls, lt(12 * hosts.len() as u32));
}

#[tokio::test(start_paused = true)]
async fn silence_is_detected_with_few_calls() {
    const HOSTS: u32 = 8;
    const DURATION: Duration = Duration::from_secs(40);
    /// Calls if every host waited for two topics, 10 s per call.
    const BASELINE_CALLS: u32 = HOSTS * 2 * 40 / 10;
    let (source, _hosts) = start_hosts(HOSTS as usize, 2_000).await;
    let before = source.calls();
    sleep(DURATION).await;
    let calls = source.calls() - before;
    // Hosts that ignored answers received by peers would call 16 times a second.
    assert_that!(calls, le(4 * BASELINE_CALLS));
}

/// A slow store must not count as silent, nor keep a host from starting.
#[tokio::test(start_paused = true)]
async fn silence_is_not_assumed_for_a_slow_store() {
    for answer_ms in [200, 800, 1_600] {
        let source = TestSource::default();
        source.set_rules(rules(1));
        source.set_answer_delay_ms(answer_ms);
        let host =
            TestGateway::with_follow_bound(source.clone(), "host-1", Vec::new(), 1_500).await;
        sleep(Duration::from_secs(20)).await;
        assert_that!(host.has_rules(1).await, eq(true), "{answer_ms}");
        source.set_rules(rules(2));
        sleep(Duration::from_secs(20)).await;
        assert_that!(host.has_rules(2).await, eq(true), "{answer_ms}");
    }
}

/// An endpoint whose entry lapses during a silence serves until its entry is due again.
#[tokio::test(start_paused = true)]
async fn silence_in_which_entries_lapse_costs_no_request() {
    let gateway = TestGateway::with_endpoints(1, Behaviour::Answer).await;
    let endpoint = gateway.endpoints[0].endpoint.clone();
    let status = async |id: &str| gateway.call(Call::get("/safe/").id(id)).await.status;
    for round in ["back", "gone"] {
        gateway.source.set_silent(true);
        sleep(Duration::from_secs(6)).await;
        gateway.source.unlist(&endpoint.name);
        gateway.source.set_silent(false);
        // The host has the change but still retains the entry.
        for i in 0..15 {
            sleep(Duration::from_millis(100)).await;
            assert_that!(status(&format!("{round}-{i}")).await, eq(200));
        }
        if round == "back" {
            gateway.source.list(endpoint.clone());
        }
        sleep(Duration::from_secs(3)).await;
        let expected = if round == "back" { 200 } else { 503 };
        assert_that!(status(round).await, eq(expected), "{round}");
    }
}
