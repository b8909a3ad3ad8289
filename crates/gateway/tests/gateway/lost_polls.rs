//! Long polls of one topic whose answers are lost while the store answers the other topic.

use std::time::Duration;

use crate::stream_builds::{BuildFleet, OLD, take_up_call};
use crate::support::{TestGateway, TestSource, metric, rules};
use chalkrock_core::{Endpoint, EndpointKind, HostState, Incarnation};
use chalkrock_gateway::Topic;
use googletest::prelude::*;
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep, sleep_until};

const BOUND_MS: u64 = 2_000;
/// Hosts of a small fleet, of which three read the store.
const SMALL: FleetSize = FleetSize { hosts: 4, zones: 1 };
/// Hosts of a zone that is large enough for relays.
const LARGE_ZONE: FleetSize = FleetSize {
    hosts: 28,
    zones: 1,
};
/// Zones whose relays report to each other, each with a subscriber or two.
const ZONES: FleetSize = FleetSize {
    hosts: 15,
    zones: 3,
};
/// Interval between changes of the other topic, shorter than the time after which hosts poll.
const CHANGE_INTERVAL: Duration = Duration::from_millis(300);
/// Version of the rules that all hosts must have.
const LATER_RULES: u64 = 1_000;

fn endpoint(name: &str) -> Endpoint {
    Endpoint {
        name: name.into(),
        kind: EndpointKind::Engine,
        pool: "pool".into(),
        zone: "zone-a".into(),
        address: "127.0.0.1:1".parse().expect("an address"),
        slots: 1,
        incarnation: Incarnation(1),
        state: HostState::Live,
        build: "v1".into(),
    }
}

#[derive(Clone, Copy, Debug)]
struct FleetSize {
    hosts: usize,
    zones: usize,
}

/// Hosts that share a store, of which one topic changes again and again.
struct BusyFleet {
    source: TestSource,
    hosts: Vec<TestGateway>,
    changes: JoinHandle<()>,
}

impl Drop for BusyFleet {
    fn drop(&mut self) {
        self.changes.abort();
    }
}

impl BusyFleet {
    async fn start(size: FleetSize, bound_ms: u64, busy: Topic) -> Self {
        let source = TestSource::default();
        source.set_rules(rules(1));
        source.list(endpoint("first"));
        let mut started: Vec<TestGateway> = Vec::new();
        for i in 0..size.hosts {
            let seeds = { started.iter() }
                .filter_map(|host| host.running.peer_address())
                .collect();
            let zone = format!("zone-{}", i % size.zones);
            let name = format!("host-{i}");
            let source = source.clone();
            let host = TestGateway::in_zone_with_bound(&zone, source, &name, seeds, bound_ms);
            started.push(host.await);
        }
        for host in &started {
            host.ready().await;
        }
        let changing = source.clone();
        let changes = tokio::spawn(async move {
            for change in 2_u64.. {
                sleep(CHANGE_INTERVAL).await;
                match busy {
                    Topic::Rules => changing.set_rules(rules(change)),
                    Topic::Endpoints if change.is_multiple_of(2) => {
                        changing.list(endpoint("busy"));
                    }
                    Topic::Endpoints => changing.unlist(&"busy".into()),
                }
            }
        });
        Self {
            source,
            hosts: started,
            changes,
        }
    }

    /// Changes the topic that was quiet. Returns the hosts that do not know it after the bound.
    async fn late_hosts(&self, quiet: Topic, bound_ms: u64) -> usize {
        match quiet {
            Topic::Rules => self.source.set_rules(rules(LATER_RULES)),
            Topic::Endpoints => self.source.list(endpoint("later")),
        }
        sleep_until(Instant::now() + Duration::from_millis(bound_ms)).await;
        let mut late = 0;
        for host in &self.hosts {
            let is_known = match quiet {
                Topic::Rules => host.has_rules(LATER_RULES).await,
                Topic::Endpoints => metric(host, "endpoints_live").await == 2.0,
            };
            late += usize::from(!is_known);
        }
        late
    }
}

fn other(topic: Topic) -> Topic {
    match topic {
        Topic::Rules => Topic::Endpoints,
        Topic::Endpoints => Topic::Rules,
    }
}

/// Guards against answers on one topic that hide the lost long polls of the other one: hosts
/// used endpoints that left, and keys that were taken away, for up to 11 s.
#[tokio::test(start_paused = true)]
async fn lost_polls_are_noticed_while_the_other_topic_changes() {
    for quiet in [Topic::Rules, Topic::Endpoints] {
        for bound_ms in [1_500, BOUND_MS, 3_000] {
            for (lost_at_ms, changed_after_ms) in
                [(0, 0), (450, 3_500), (1_900, 200), (4_300, 3_300)]
            {
                let fleet = BusyFleet::start(SMALL, bound_ms, other(quiet)).await;
                sleep(Duration::from_millis(2_000 + lost_at_ms)).await;
                fleet.source.lose_waiting_calls(quiet);
                sleep(Duration::from_millis(changed_after_ms)).await;
                let late = fleet.late_hosts(quiet, bound_ms).await;
                assert_that!(
                    late,
                    eq(0),
                    "{quiet:?} {bound_ms} {lost_at_ms} {changed_after_ms}"
                );
            }
        }
    }
}

/// Guards against relays that report an answer on one topic as one on both.
#[tokio::test(start_paused = true)]
async fn lost_polls_are_noticed_by_hosts_that_relays_inform() {
    const LARGE_BOUND_MS: u64 = 3_000;
    for size in [LARGE_ZONE, ZONES] {
        for quiet in [Topic::Rules, Topic::Endpoints] {
            let fleet = BusyFleet::start(size, LARGE_BOUND_MS, other(quiet)).await;
            sleep(Duration::from_secs(10)).await;
            fleet.source.lose_waiting_calls(quiet);
            sleep(Duration::from_millis(2_500)).await;
            let late = fleet.late_hosts(quiet, LARGE_BOUND_MS).await;
            assert_that!(late, eq(0), "{size:?} {quiet:?}");
        }
    }
}

/// Guards against a short silence of the whole store that takes the long polls of one topic
/// for good, since the other one is answered again at once.
#[tokio::test(start_paused = true)]
async fn lost_polls_of_a_short_silence_are_noticed_while_the_other_topic_changes() {
    const STARTS_MS: [u64; 4] = [0, 50, 150, 700];
    const SILENCES_MS: [u64; 5] = [200, 500, 800, 1_500, 4_500];
    for quiet in [Topic::Rules, Topic::Endpoints] {
        for start_ms in STARTS_MS {
            for silence_ms in SILENCES_MS {
                let fleet = BusyFleet::start(SMALL, BOUND_MS, other(quiet)).await;
                sleep(Duration::from_secs(2)).await;
                // All hosts begin their long polls within the same short time.
                match quiet {
                    Topic::Rules => fleet.source.evacuate("elsewhere", true),
                    Topic::Endpoints => fleet.source.list(endpoint("first")),
                }
                sleep(Duration::from_millis(start_ms)).await;
                for _ in 0..2 {
                    fleet.source.set_silent(true);
                    sleep(Duration::from_millis(silence_ms)).await;
                    fleet.source.set_silent(false);
                    sleep(Duration::from_millis(600)).await;
                }
                let late = fleet.late_hosts(quiet, BOUND_MS).await;
                assert_that!(late, eq(0), "{quiet:?} {start_ms} {silence_ms}");
            }
        }
    }
}

/// Guards against a store that answers one topic alone and so counts as away, or as back, for
/// the other one.
#[tokio::test(start_paused = true)]
async fn lost_polls_of_a_topic_that_was_not_answered_are_over_within_the_bound() {
    for quiet in [Topic::Rules, Topic::Endpoints] {
        for silence_ms in [500, 2_600, 7_000, 13_000] {
            let fleet = BusyFleet::start(SMALL, BOUND_MS, other(quiet)).await;
            sleep(Duration::from_secs(2)).await;
            fleet.source.set_silent_topic(Some(quiet));
            sleep(Duration::from_millis(silence_ms)).await;
            fleet.source.set_silent_topic(None);
            let late = fleet.late_hosts(quiet, BOUND_MS).await;
            assert_that!(late, eq(0), "{quiet:?} {silence_ms}");
        }
    }
}

/// Guards against an answer that begins and never ends, and that hides from all hosts that
/// nobody has read the topic.
#[tokio::test(start_paused = true)]
async fn lost_polls_whose_answers_never_end_are_noticed() {
    for size in [SMALL, FleetSize { hosts: 2, zones: 1 }] {
        for quiet in [Topic::Rules, Topic::Endpoints] {
            let fleet = BusyFleet::start(size, BOUND_MS, other(quiet)).await;
            sleep(Duration::from_secs(2)).await;
            fleet.source.answer_waiting_calls_without_end(quiet);
            sleep(Duration::from_millis(3_000)).await;
            let late = fleet.late_hosts(quiet, BOUND_MS).await;
            assert_that!(late, eq(0), "{size:?} {quiet:?}");
        }
    }
}

/// Guards against claims by a list that nobody has read for longer than the bound, since the
/// rules were answered.
#[tokio::test]
async fn lost_polls_of_the_list_end_claims_while_the_rules_change() {
    const UNTIL_CLAIMS_END: Duration = Duration::from_millis(5_000);
    let fleet = BuildFleet::start(2, &[OLD]).await;
    let take_up = async |id: &str| {
        let received = fleet.take_up(1, take_up_call(id, "unknown")).await;
        received.status
    };
    sleep(Duration::from_secs(2)).await;
    assert_that!(take_up("before").await, eq(200));
    fleet.source.set_silent_topic(Some(Topic::Endpoints));
    let silent_at = Instant::now();
    while silent_at.elapsed() < UNTIL_CLAIMS_END {
        fleet.source.evacuate("elsewhere", true);
        sleep(CHANGE_INTERVAL).await;
        fleet.source.evacuate("elsewhere", false);
        sleep(CHANGE_INTERVAL).await;
    }
    assert_that!(take_up("silent").await, eq(503));
    fleet.source.set_silent_topic(None);
    sleep(UNTIL_CLAIMS_END).await;
    assert_that!(take_up("after").await, eq(200));
}

/// Guards against polls of a busy store: while both topics are quiet or both are answered, the
/// calls must stay those of one subscriber.
#[tokio::test(start_paused = true)]
async fn lost_polls_are_noticed_with_few_calls() {
    const SECONDS: u32 = 40;
    /// Two topics, each polled by one host in the shortest time after which hosts poll.
    const MAX_STALE_POLLS: u32 = 2 * SECONDS * 10 / 9;
    /// Long polls that end by a change, by three subscribers, and their first polls.
    const MAX_ANSWERED: u32 = 3 * SECONDS * 10 / 3 + 20;
    for busy in [Topic::Rules, Topic::Endpoints] {
        let fleet = BusyFleet::start(FleetSize { hosts: 8, zones: 1 }, BOUND_MS, busy).await;
        let before = fleet.source.calls();
        sleep(Duration::from_secs(u64::from(SECONDS))).await;
        let calls = fleet.source.calls() - before;
        assert_that!(calls, le(MAX_STALE_POLLS + MAX_ANSWERED), "{busy:?}");
    }
}
