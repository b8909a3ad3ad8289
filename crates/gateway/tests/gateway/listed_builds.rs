//! Hosts list every endpoint under the build that it registered, and claim of a pool's past
//! only what they know.

use std::time::Duration;

use crate::stream_builds::{BuildFleet, NAMES_PER_BUILD, NEW, OLD, take_up_call};
use crate::support::{Call, HeldCalls, TestGateway, TestSource, hosts_with, metric, rules, until};
use googletest::prelude::*;

const STREAMS: usize = 24;

/// Guards against rows that take the usual build of their pool because their own travels in
/// another call.
#[tokio::test]
async fn listed_builds_are_right_while_a_call_of_a_pull_is_held() {
    const MAX_WAIT: Duration = Duration::from_millis(150);
    /// Time for which hosts send nothing to a build that is new to them.
    const NEW_BUILD_DELAY: Duration = Duration::from_millis(1_200);
    let mut fleet = BuildFleet::start(1, &[OLD]).await;
    let mut link = HeldCalls::start(fleet.hosts[0].peer_address()).await;
    let pulling = TestGateway::without_store("host-pulling", vec![link.address]).await;
    let _one_call_may_do = tokio::time::timeout(MAX_WAIT, link.wait_until_held()).await;
    fleet.add_endpoints(NEW, NEW).await;
    let all = (2 * NAMES_PER_BUILD) as f64;
    until(async || metric(&fleet.hosts[0], "endpoints_live").await == all).await;
    link.open();
    pulling.ready().await;
    until(async || metric(&pulling, "endpoints_live").await == all).await;
    fleet.hosts.push(pulling);
    // Passes on the addresses of the two others, whose link carries calls alone.
    fleet.add_host("host-between").await;
    until(async || hosts_with(&fleet.hosts, "peers_heard", 2.0).await == 3).await;
    tokio::time::sleep(NEW_BUILD_DELAY).await;
    for number in 0..STREAMS {
        let id = format!("r-{number}");
        let build = fleet.begin(0, &id).await;
        let try_id = format!("{id}-1");
        let received = fleet.take_up(1, take_up_call(&try_id, &id)).await;
        assert_that!(received.status, eq(200), "{try_id}");
        assert_that!(fleet.builds_of(&try_id), eq(&[build]), "{try_id}");
    }
}

/// Guards against a host that takes the only build of an old list for the only one there was.
#[tokio::test]
async fn streams_at_a_host_with_an_old_list_are_refused_as_not_run() {
    const OLD_AFTER: Duration = Duration::from_millis(6_000);
    let mut fleet = BuildFleet::start(1, &[OLD]).await;
    let old_source = TestSource::default();
    old_source.set_rules(rules(1));
    for (_, endpoint) in &fleet.endpoints {
        old_source.list(endpoint.endpoint.clone());
    }
    let outdated = TestGateway::start(old_source.clone(), "host-outdated", Vec::new()).await;
    outdated.ready().await;
    old_source.isolate();
    fleet.add_endpoints(NEW, NEW).await;
    let all = (2 * NAMES_PER_BUILD) as f64;
    until(async || metric(&fleet.hosts[0], "endpoints_live").await == all).await;
    fleet.hosts.push(outdated);
    tokio::time::sleep(OLD_AFTER).await;
    for number in 0..STREAMS {
        let id = format!("r-{number}");
        fleet.begin(0, &id).await;
        let try_id = format!("{id}-1");
        let received = fleet.take_up(1, take_up_call(&try_id, &id)).await;
        assert_that!(received.status, eq(503), "{try_id}");
        assert_that!(fleet.builds_of(&try_id), is_empty(), "{try_id}");
    }
}

/// Guards against a claim by a list that is not old yet, while streams begin at a build that it
/// lacks.
#[tokio::test]
async fn streams_at_a_host_that_has_just_lost_touch_are_refused_as_not_run() {
    /// Time for which hosts send nothing to a build that is new to them, and the store's time.
    const NEW_BUILD_DELAY: Duration = Duration::from_millis(1_100);
    let mut fleet = BuildFleet::start(1, &[OLD]).await;
    let old_source = TestSource::default();
    old_source.set_rules(rules(1));
    for (_, endpoint) in &fleet.endpoints {
        old_source.list(endpoint.endpoint.clone());
    }
    let outdated = TestGateway::start(old_source.clone(), "host-outdated", Vec::new()).await;
    outdated.ready().await;
    tokio::time::sleep(NEW_BUILD_DELAY).await;
    fleet.add_endpoints(NEW, NEW).await;
    let all = (2 * NAMES_PER_BUILD) as f64;
    old_source.isolate();
    until(async || metric(&fleet.hosts[0], "endpoints_live").await == all).await;
    fleet.hosts.push(outdated);
    tokio::time::sleep(NEW_BUILD_DELAY).await;
    let mut begun = Vec::new();
    for number in 0..STREAMS {
        let id = format!("r-{number}");
        let build = fleet.begin(0, &id).await;
        begun.push((id, build));
    }
    for (id, build) in begun {
        let try_id = format!("{id}-1");
        let received = fleet.take_up(1, take_up_call(&try_id, &id)).await;
        println!("{try_id} began at {build}, status {}", received.status);
        let builds = fleet.builds_of(&try_id);
        assert_that!(
            builds.iter().all(|other| *other == build),
            eq(true),
            "{try_id}"
        );
    }
}

/// Guards against a record that lacks a build at which streams have begun.
#[tokio::test]
async fn streams_of_a_build_that_no_record_names_are_refused_after_the_loss_of_all_hosts() {
    const HOSTS: usize = 2;
    /// Time for which hosts send nothing to a build that is new to them.
    const NEW_BUILD_DELAY: Duration = Duration::from_millis(1_200);
    let mut fleet = start_with_unrecorded_build(HOSTS).await;
    tokio::time::sleep(NEW_BUILD_DELAY).await;
    let begun = begin_streams(&fleet).await;
    fleet.hosts.clear();
    unlist(&fleet, NEW);
    fleet.source.refuse_build_writes(false);
    add_hosts(&mut fleet, HOSTS).await;
    for (id, build) in &begun {
        let try_id = format!("{id}-1");
        let received = fleet.take_up(0, take_up_call(&try_id, id)).await;
        let expected = if *build == NEW { 503 } else { 200 };
        assert_that!(received.status, eq(expected), "{try_id}");
        let builds = fleet.builds_of(&try_id);
        let is_same = builds.iter().all(|other| other == build);
        assert_that!(is_same, eq(true), "{try_id}");
    }
}

/// Guards against a new build that gets no streams although its record names it.
#[tokio::test]
async fn streams_begin_at_a_build_once_its_record_has_named_it_for_the_bound() {
    const HOSTS: usize = 2;
    /// As long as a list by which hosts claim the past may be old.
    const BOUND: Duration = Duration::from_secs(3);
    let mut fleet = BuildFleet::start(HOSTS, &[OLD]).await;
    until(async || fleet.source.build_record().is_some()).await;
    let listed_at = tokio::time::Instant::now();
    fleet.add_endpoints(NEW, NEW).await;
    let mut begun = 0;
    until(async || {
        begun += 1;
        fleet.begin(begun % HOSTS, &format!("r-{begun}")).await == NEW
    })
    .await;
    assert_that!(listed_at.elapsed(), ge(BOUND));
}

/// Guards against streams of a build that no record names, which the recorded one continues
/// when it is back.
#[tokio::test]
async fn streams_do_not_begin_at_the_only_build_before_a_record_names_it() {
    const HOSTS: usize = 2;
    /// Time for which hosts send nothing to a build that is new to them.
    const NEW_BUILD_DELAY: Duration = Duration::from_millis(1_200);
    let fleet = start_with_unrecorded_build(HOSTS).await;
    let new = NAMES_PER_BUILD as f64;
    unlist(&fleet, OLD);
    until(async || hosts_with(&fleet.hosts, "endpoints_live", new).await == HOSTS).await;
    tokio::time::sleep(NEW_BUILD_DELAY).await;
    for host in 0..HOSTS {
        let id = format!("early-{host}");
        let call = Call::post("/resumable/", b"x").id(&id);
        assert_that!(fleet.hosts[host].call(call).await.status, eq(503), "{id}");
        assert_that!(fleet.builds_of(&id), is_empty(), "{id}");
    }
    fleet.source.refuse_build_writes(false);
    for host in 0..HOSTS {
        until(async || {
            let call = Call::post("/resumable/", b"x").id(&format!("late-{host}"));
            fleet.hosts[host].call(call).await.status == 200
        })
        .await;
    }
}

/// Guards against hosts that start anew and take the only build listed then for the one that
/// began a stream.
#[tokio::test]
async fn streams_after_the_loss_of_all_hosts_and_of_a_build_are_refused() {
    const HOSTS: usize = 2;
    let mut fleet = BuildFleet::start(HOSTS, &[OLD, NEW]).await;
    let begun = begin_streams(&fleet).await;
    fleet.lose_hosts(..);
    unlist(&fleet, NEW);
    fleet.add_endpoints("again", OLD).await;
    add_hosts(&mut fleet, HOSTS).await;
    for (id, _) in begun.iter().filter(|(_, build)| *build == NEW) {
        let try_id = format!("{id}-1");
        let received = fleet.take_up(0, take_up_call(&try_id, id)).await;
        assert_that!(received.status, eq(503), "{try_id}");
        assert_that!(fleet.builds_of(&try_id), is_empty(), "{try_id}");
    }
}

/// Guards against the loss of all hosts after which no stream goes on, although its build
/// serves.
#[tokio::test]
async fn streams_of_two_builds_go_on_after_the_loss_of_all_hosts() {
    const HOSTS: usize = 2;
    const MIN_RATIO: f64 = 0.5;
    /// Time for which a caller has read when its stream breaks.
    const READ_FOR: Duration = Duration::from_millis(1_000);
    let mut fleet = BuildFleet::start(HOSTS, &[OLD, NEW]).await;
    let begun = begin_streams(&fleet).await;
    tokio::time::sleep(READ_FOR).await;
    fleet.lose_hosts(..);
    add_hosts(&mut fleet, HOSTS).await;
    let mut went_on = 0;
    for (number, (id, build)) in begun.iter().enumerate() {
        let try_id = format!("{id}-1");
        let received = fleet
            .take_up(number % HOSTS, take_up_call(&try_id, id))
            .await;
        let builds = fleet.builds_of(&try_id);
        assert_that!(
            builds.iter().all(|other| other == build),
            eq(true),
            "{try_id}"
        );
        went_on += usize::from(received.status == 200);
    }
    assert_that!(went_on as f64, ge(MIN_RATIO * begun.len() as f64));
}

/// Starts hosts that list endpoints of `OLD`, which its record names, and of `NEW`, which the
/// store refuses to record.
async fn start_with_unrecorded_build(hosts: usize) -> BuildFleet {
    let mut fleet = BuildFleet::start(hosts, &[OLD]).await;
    until(async || fleet.source.build_record().is_some()).await;
    fleet.source.refuse_build_writes(true);
    fleet.add_endpoints(NEW, NEW).await;
    let all = (2 * NAMES_PER_BUILD) as f64;
    until(async || hosts_with(&fleet.hosts, "endpoints_live", all).await == hosts).await;
    fleet
}

fn unlist(fleet: &BuildFleet, build: &str) {
    for (_, endpoint) in fleet.endpoints.iter().filter(|(of, _)| *of == build) {
        fleet.source.unlist(&endpoint.endpoint.name);
    }
}

/// Begins streams at all hosts in turn. Returns their ids and builds.
async fn begin_streams(fleet: &BuildFleet) -> Vec<(String, &'static str)> {
    let mut begun = Vec::new();
    for number in 0..STREAMS {
        let id = format!("r-{number}");
        let build = fleet.begin(number % fleet.hosts.len(), &id).await;
        begun.push((id, build));
    }
    begun
}

/// Starts hosts that know each other and nothing of the earlier ones.
async fn add_hosts(fleet: &mut BuildFleet, count: usize) {
    for number in 0..count {
        fleet.add_host(&format!("host-again-{number}")).await;
    }
    let others = (count - 1) as f64;
    until(async || hosts_with(&fleet.hosts, "peers_heard", others).await == count).await;
}
