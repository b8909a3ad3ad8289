//! Hosts learn from records, and from each other, which builds a pool had before they
//! followed its list.

use std::time::Duration;

use crate::stream_builds::{BuildFleet, NAMES_PER_BUILD, NEW, OLD, take_up_call};
use crate::support::{
    PeerBuild, PeerStandIn, SuspendableGateway, TestGateway, TestSource, hosts_with, metric, rules,
    until,
};
use chalkrock_core::Endpoint;
use googletest::prelude::*;

/// Starts hosts before endpoints of a build and waits until its record is in the store.
async fn start_recorded(hosts: usize, builds: &[&'static str]) -> BuildFleet {
    let fleet = BuildFleet::start(hosts, builds).await;
    wait_for_record(&fleet.source, builds).await;
    fleet
}

async fn wait_for_record(source: &TestSource, builds: &[&str]) {
    let builds = builds.iter().copied().map(Into::into).collect();
    until(async || {
        let record = source.build_record();
        record.is_some_and(|record| record.listed == builds)
    })
    .await;
}

async fn wait_for_endpoints(host: &TestGateway, builds: usize) {
    let all = (builds * NAMES_PER_BUILD) as f64;
    until(async || metric(host, "endpoints_live").await == all).await;
}

/// Returns the status of a take-up of a stream that no host knows.
async fn take_up_unknown(fleet: &BuildFleet, host: usize, id: &str) -> u16 {
    let received = fleet.take_up(host, take_up_call(id, "unknown")).await;
    if received.status == 503 {
        assert_that!(received.header("come-back"), some(anything()), "{id}");
        assert_that!(fleet.builds_of(id), is_empty(), "{id}");
    }
    received.status
}

fn unlist(fleet: &BuildFleet, build: &str) {
    for (_, endpoint) in fleet.endpoints.iter().filter(|(of, _)| *of == build) {
        fleet.source.unlist(&endpoint.endpoint.name);
    }
}

/// Guards against a host that got its list from another one and can never make a claim, since
/// the store does not answer it.
#[tokio::test]
async fn host_learns_the_past_from_the_host_that_it_follows() {
    let mut fleet = start_recorded(1, &[OLD]).await;
    let seeds = vec![fleet.hosts[0].peer_address()];
    let host = TestGateway::without_store("host-without-store", seeds).await;
    host.ready().await;
    fleet.hosts.push(host);
    assert_that!(take_up_unknown(&fleet, 1, "one-build").await, eq(200));
    fleet.add_endpoints(NEW, NEW).await;
    wait_for_record(&fleet.source, &[OLD, NEW]).await;
    unlist(&fleet, NEW);
    wait_for_endpoints(&fleet.hosts[0], 1).await;
    let seeds = vec![fleet.hosts[0].peer_address()];
    let host = TestGateway::without_store("host-later", seeds).await;
    host.ready().await;
    fleet.hosts.push(host);
    assert_that!(take_up_unknown(&fleet, 2, "two-builds").await, eq(503));
}

/// Guards against claims while the store is away, and against none ever after.
#[tokio::test]
async fn claims_end_with_an_outage_of_the_store_and_hold_again_after_it() {
    const OUTAGE: Duration = Duration::from_millis(4_500);
    let fleet = start_recorded(2, &[OLD]).await;
    assert_that!(take_up_unknown(&fleet, 1, "before").await, eq(200));
    fleet.source.set_unavailable(true);
    tokio::time::sleep(OUTAGE).await;
    assert_that!(take_up_unknown(&fleet, 1, "outage").await, eq(503));
    fleet.source.set_unavailable(false);
    let mut number = 0;
    until(async || {
        number += 1;
        take_up_unknown(&fleet, 1, &format!("after-{number}")).await == 200
    })
    .await;
}

/// Guards against a record from before a restore that passes for the whole past, and against
/// hosts that saw the restore and forget what they know.
#[tokio::test]
async fn record_of_an_earlier_era_proves_nothing() {
    const HOSTS: usize = 2;
    let mut fleet = start_recorded(HOSTS, &[OLD]).await;
    let snapshot = fleet.source.snapshot();
    fleet.source.restore(snapshot);
    until(async || {
        fleet
            .source
            .build_record()
            .is_some_and(|record| record.era == 1)
    })
    .await;
    assert_that!(take_up_unknown(&fleet, 1, "saw-the-restore").await, eq(200));
    fleet.hosts.clear();
    let snapshot = fleet.source.snapshot();
    fleet.source.restore(snapshot);
    fleet.add_host("host-again").await;
    assert_that!(take_up_unknown(&fleet, 0, "after").await, eq(503));
    until(async || {
        fleet
            .source
            .build_record()
            .is_some_and(|record| record.era == 2)
    })
    .await;
    let record = fleet.source.build_record().expect("a record");
    assert_that!(record.since_ms, gt(0));
    assert_that!(take_up_unknown(&fleet, 0, "later").await, eq(503));
    // Twice the route's timeout after the host began to follow the list.
    let mut number = 0;
    until(async || {
        number += 1;
        take_up_unknown(&fleet, 0, &format!("much-later-{number}")).await == 200
    })
    .await;
}

/// Guards against a suspended host that missed a build which came and went, and whose list is
/// that of before.
#[tokio::test]
async fn host_suspended_over_a_release_makes_no_claim() {
    const SUSPENSION: Duration = Duration::from_millis(5_000);
    const MARGIN: Duration = Duration::from_millis(500);
    let mut fleet = start_recorded(1, &[OLD]).await;
    let seeds = vec![fleet.hosts[0].peer_address()];
    let suspended = SuspendableGateway::with_source(fleet.source.clone(), "host-s", seeds).await;
    suspended.gateway.ready().await;
    let call = || take_up_call("before", "unknown").header("after", "2");
    assert_that!(suspended.gateway.call(call()).await.status, eq(200));
    suspended.block_for(SUSPENSION);
    fleet.add_endpoints(NEW, NEW).await;
    wait_for_record(&fleet.source, &[OLD, NEW]).await;
    unlist(&fleet, NEW);
    wait_for_endpoints(&fleet.hosts[0], 1).await;
    tokio::time::sleep(SUSPENSION + MARGIN).await;
    wait_for_endpoints(&suspended.gateway, 1).await;
    let call = || take_up_call("after", "unknown").header("after", "2");
    assert_that!(suspended.gateway.call(call()).await.status, eq(503));
    assert_that!(fleet.builds_of("after"), is_empty());
}

/// Guards against a record that can't be read and passes for one without builds, or that is
/// never replaced.
#[tokio::test]
async fn unreadable_record_proves_nothing_and_is_replaced() {
    let mut fleet = BuildFleet::start(0, &[OLD]).await;
    fleet.source.garble_build_record();
    fleet.add_host("host-1").await;
    assert_that!(take_up_unknown(&fleet, 0, "unreadable").await, eq(503));
    wait_for_record(&fleet.source, &[OLD]).await;
    let record = fleet.source.build_record().expect("a record");
    assert_that!(record.since_ms, gt(0));
}

/// Guards against a record that keeps a build as listed, or forgets it with the list.
#[tokio::test]
async fn record_says_when_a_build_was_last_listed() {
    let fleet = start_recorded(1, &[OLD, NEW]).await;
    unlist(&fleet, NEW);
    wait_for_record(&fleet.source, &[OLD]).await;
    let record = fleet.source.build_record().expect("a record");
    assert_that!(record.since_ms, eq(0));
    let names: Vec<String> = record
        .last_listed_ms
        .keys()
        .map(ToString::to_string)
        .collect();
    assert_that!(names, eq(&[NEW]));
}

/// Guards against hosts that write a record each time that the list changes, or all at once.
#[tokio::test]
async fn release_costs_a_few_writes_of_records() {
    const HOSTS: usize = 8;
    const RELEASED: usize = 4;
    /// A write for the new build and one for the old one, each of which may find another.
    const MAX_WRITES: u32 = 4;
    /// Time in which hosts of a lower rank would write.
    const LATER: Duration = Duration::from_millis(4_000);
    let mut fleet = start_recorded(HOSTS, &[OLD]).await;
    for number in 1..RELEASED {
        fleet.add_endpoints(&format!("{OLD}-{number}"), OLD).await;
    }
    let at_start = fleet.source.build_calls();
    assert_that!(at_start.reads, le(HOSTS as u32));
    for number in 0..RELEASED {
        fleet.add_endpoints(&format!("{NEW}-{number}"), NEW).await;
    }
    until(async || hosts_with(&fleet.hosts, "endpoints_live", 16.0).await == HOSTS).await;
    unlist(&fleet, OLD);
    wait_for_record(&fleet.source, &[NEW]).await;
    tokio::time::sleep(LATER).await;
    let calls = fleet.source.build_calls();
    println!("at the start {at_start:?}, after the release {calls:?}");
    assert_that!(calls.writes - at_start.writes, le(MAX_WRITES));
    assert_that!(calls.reads, eq(at_start.reads));
}

/// Guards against hosts of the build before this one, which close the connection on the call,
/// beside which a host never learns the past.
#[tokio::test]
async fn host_beside_an_older_one_reads_the_records() {
    let mut fleet = BuildFleet::start(0, &[OLD]).await;
    let peer = PeerStandIn::start(PeerBuild::Old, rules(1)).await;
    let listed = fleet.endpoints.iter().map(|(build, endpoint)| Endpoint {
        build: (*build).into(),
        ..endpoint.endpoint.clone()
    });
    peer.set_list(3, listed.collect());
    let seeds = vec![peer.address];
    let host = TestGateway::start(fleet.source.clone(), "host-1", seeds).await;
    host.ready().await;
    fleet.hosts.push(host);
    let mut number = 0;
    until(async || {
        number += 1;
        take_up_unknown(&fleet, 0, &format!("try-{number}")).await == 200
    })
    .await;
    assert_that!(fleet.source.build_calls().reads, ge(1));
}

/// Guards against a store without changes that passes for one that is away, so that claims
/// are refused and the past is learned again and again.
#[tokio::test]
async fn quiet_store_leaves_no_gaps() {
    const QUIET: Duration = Duration::from_millis(14_000);
    let fleets = [1, 3].map(|hosts| async move {
        let fleet = start_recorded(hosts, &[OLD]).await;
        tokio::time::sleep(QUIET).await;
        let gaps = hosts_with(&fleet.hosts, "endpoint_list_gaps_total", 1.0).await;
        assert_that!(gaps, eq(hosts));
    });
    futures::future::join_all(fleets).await;
}
