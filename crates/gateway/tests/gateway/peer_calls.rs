//! Rows and their builds in the calls between hosts of this build and of the one before it.

use std::time::Duration;

use crate::stream_builds::{BuildFleet, NAMES_PER_BUILD, NEW, OLD};
use crate::support::{
    BuildsByName, KnownVersions, OldRequester, PeerBuild, PeerStandIn, Requester, TestGateway,
    TestSource, builds_for_old, listed_builds, metric, rules, until,
};
use chalkrock_core::{BuildVersion, Endpoint, EndpointKind, HostState, Incarnation};
use googletest::prelude::*;

/// Time in which a host that takes a broken response would have applied it.
const SETTLE_TIME: Duration = Duration::from_millis(400);

pub(crate) fn endpoint(name: &str, build: &str) -> Endpoint {
    Endpoint {
        name: name.into(),
        kind: EndpointKind::Service,
        pool: "pool".into(),
        zone: "zone-a".into(),
        address: "127.0.0.1:9".parse().expect("an address"),
        slots: 4,
        incarnation: Incarnation(5),
        state: HostState::Live,
        build: build.into(),
    }
}

pub(crate) fn builds_of(endpoints: &[Endpoint]) -> BuildsByName {
    let builds = endpoints
        .iter()
        .map(|endpoint| (endpoint.name.to_string(), endpoint.build.to_string()));
    builds.collect()
}

fn builds_listed(fleet: &BuildFleet) -> BuildsByName {
    let endpoints = fleet.endpoints.iter();
    endpoints
        .map(|(build, endpoint)| (endpoint.endpoint.name.to_string(), (*build).to_owned()))
        .collect()
}

/// Guards against rows of an older host that take their builds from a later list of it.
#[tokio::test]
async fn rows_of_an_older_host_are_left_out_if_its_list_changes_before_the_builds() {
    let peer = PeerStandIn::start(PeerBuild::Old, rules(1)).await;
    peer.set_list(5, vec![endpoint("a", OLD), endpoint("b", NEW)]);
    let later = vec![endpoint("a", OLD), endpoint("c", NEW)];
    peer.change_after_rows(later.clone());
    let pulling = TestGateway::without_store("host-pulling", vec![peer.address]).await;
    until(async || peer.is_closed()).await;
    tokio::time::sleep(SETTLE_TIME).await;
    assert_that!(pulling.ready_status().await, not(eq(200)));
    assert_that!(listed_builds(&pulling).await, is_empty());
    peer.open();
    pulling.ready().await;
    assert_that!(listed_builds(&pulling).await, eq(&builds_of(&later)));
}

/// Guards against endpoints without a build that a pull from an older host never lists.
#[tokio::test]
async fn rows_of_an_older_host_without_builds_are_listed() {
    let peer = PeerStandIn::start(PeerBuild::Old, rules(1)).await;
    let listed = vec![endpoint("a", ""), endpoint("b", "")];
    peer.set_list(5, listed.clone());
    let pulling = TestGateway::without_store("host-pulling", vec![peer.address]).await;
    pulling.ready().await;
    assert_that!(listed_builds(&pulling).await, eq(&builds_of(&listed)));
}

/// Guards against an older requester that takes rows with the builds of an earlier list.
#[tokio::test]
async fn older_requester_gets_no_rows_after_the_builds_of_an_earlier_list() {
    let mut fleet = BuildFleet::start(1, &[OLD]).await;
    let old = OldRequester::connect(&fleet.hosts[0]).await;
    let nothing = KnownVersions::endpoints(None);
    let without_builds = old.missing(nothing).await;
    assert_that!(without_builds.endpoints.is_none(), eq(true));
    assert_that!(without_builds.busy.is_some(), eq(true));
    old.besides().await;
    fleet.add_endpoints(NEW, NEW).await;
    let all = (2 * NAMES_PER_BUILD) as f64;
    until(async || metric(&fleet.hosts[0], "endpoints_live").await == all).await;
    let late = old.missing(nothing).await;
    assert_that!(late.endpoints.is_none(), eq(true));
    let version = metric(&fleet.hosts[0], "endpoints_version").await as u64;
    let asked_again = late.busy.map(|busy| busy.endpoints.0);
    assert_that!(asked_again, some(eq(version)));
    let besides = old.besides().await;
    for have in [nothing, KnownVersions::endpoints(Some(2))] {
        let missing = old.missing(have).await;
        let builds = builds_for_old(&missing, &besides);
        let all = builds_listed(&fleet);
        assert_that!(builds.is_empty(), eq(false));
        assert_that!(
            builds
                .iter()
                .all(|listed| all.iter().any(|all| all == listed)),
            eq(true)
        );
    }
}

/// Guards against endpoints without a build that take the usual one of their pool at an older
/// requester.
#[tokio::test]
async fn older_requester_learns_which_endpoints_have_no_build() {
    let source = TestSource::default();
    source.set_rules(rules(1));
    let listed = [endpoint("a", OLD), endpoint("b", ""), endpoint("c", NEW)];
    for endpoint in &listed {
        source.list(endpoint.clone());
    }
    let host = TestGateway::start(source, "host-1", Vec::new()).await;
    host.ready().await;
    let old = OldRequester::connect(&host).await;
    let besides = old.besides().await;
    let missing = old.missing(KnownVersions::endpoints(None)).await;
    assert_that!(builds_for_old(&missing, &besides), eq(&builds_of(&listed)));
    assert_that!(listed_builds(&host).await, eq(&builds_of(&listed)));
}

/// Guards against a response without rows that has builds, and against rows without builds once
/// a transfer is free.
#[tokio::test]
async fn snapshot_of_a_busy_host_has_neither_rows_nor_builds() {
    const ENDPOINTS: usize = 300;
    let source = TestSource::default();
    source.set_rules(rules(1));
    let builds = [OLD, NEW, ""];
    let listed: Vec<Endpoint> = (0..ENDPOINTS)
        .map(|i| endpoint(&format!("endpoint-{i}"), builds[i % builds.len()]))
        .collect();
    for endpoint in &listed {
        source.list(endpoint.clone());
    }
    let host = TestGateway::with_max_uploads(source, 1).await;
    host.ready().await;
    let nothing = KnownVersions::endpoints(None);
    let first = Requester::connect(&host).await;
    let snapshot = first.snapshot(nothing).await;
    assert_that!(snapshot.listed_builds(), eq(&builds_of(&listed)));
    let second = Requester::connect(&host).await;
    let busy = second.snapshot(nothing).await;
    assert_that!(busy.missing.busy.is_some(), eq(true));
    assert_that!(busy.listed_builds(), is_empty());
    drop(first);
    until(async || second.snapshot(nothing).await.listed_builds() == builds_of(&listed)).await;
}

/// Guards against a host that passes on the rows that it pulled without their builds.
#[tokio::test]
async fn pulled_changes_are_passed_on_with_their_builds() {
    let mut fleet = BuildFleet::start(1, &[OLD]).await;
    let seeds = vec![fleet.hosts[0].peer_address()];
    let relay = TestGateway::without_store("host-relay", seeds).await;
    relay.ready().await;
    let version = metric(&relay, "endpoints_version").await as u64;
    fleet.add_endpoints(NEW, NEW).await;
    let all = (2 * NAMES_PER_BUILD) as f64;
    until(async || metric(&relay, "endpoints_live").await == all).await;
    let requester = Requester::connect(&relay).await;
    let have = KnownVersions::endpoints(Some(version));
    let changes = requester.snapshot(have).await.listed_builds();
    let expected = builds_listed(&fleet);
    let new = expected.iter().filter(|(_, build)| *build == NEW);
    let new: BuildsByName = new
        .map(|(name, build)| (name.clone(), build.clone()))
        .collect();
    assert_that!(changes, eq(&new));
    assert_that!(listed_builds(&relay).await, eq(&expected));
}

/// Guards against rows that shift against their builds because one is missing.
#[tokio::test]
async fn snapshot_with_too_few_builds_is_not_applied() {
    let listed = vec![endpoint("a", OLD), endpoint("b", NEW), endpoint("c", OLD)];
    let truncating = PeerStandIn::start(PeerBuild::Truncating, rules(1)).await;
    truncating.set_list(5, listed.clone());
    let pulling = TestGateway::without_store("host-pulling", vec![truncating.address]).await;
    until(async || truncating.snapshots() > 1).await;
    tokio::time::sleep(SETTLE_TIME).await;
    assert_that!(pulling.ready_status().await, not(eq(200)));
    let whole = PeerStandIn::start(PeerBuild::Current, rules(1)).await;
    whole.set_list(5, listed.clone());
    let seeds = vec![truncating.address, whole.address];
    let pulling = TestGateway::without_store("host-pulling-too", seeds).await;
    pulling.ready().await;
    assert_that!(listed_builds(&pulling).await, eq(&builds_of(&listed)));
}

/// Guards against builds that multiply the bytes of a list.
#[tokio::test]
async fn snapshot_of_a_long_list_stays_small() {
    const MAX_BYTES_PER_BUILD: u64 = 16;
    for endpoints in [160, 10_000] {
        for builds in [1, 3] {
            let source = TestSource::default();
            source.set_rules(rules(1));
            for i in 0..endpoints {
                let build = BuildVersion::from(format!("v{}", i % builds).as_str());
                let listed = endpoint(&format!("endpoint-{i}"), build.as_str());
                source.list(listed);
            }
            let host = TestGateway::start(source, "host-1", Vec::new()).await;
            host.ready().await;
            let requester = Requester::connect(&host).await;
            let nothing = KnownVersions::endpoints(None);
            let snapshot = requester.snapshot(nothing).await;
            assert_that!(snapshot.listed_builds().len(), eq(endpoints));
            let snapshot_bytes = requester.read_bytes();
            drop(requester);
            let old = OldRequester::connect(&host).await;
            let besides = old.besides().await;
            let besides_bytes = old.read_bytes();
            old.missing(nothing).await;
            let missing_bytes = old.read_bytes() - besides_bytes;
            println!(
                "{endpoints} endpoints, {builds} builds: snapshot {snapshot_bytes}, before \
                 {missing_bytes} + {besides_bytes} bytes"
            );
            let max_bytes = missing_bytes + endpoints as u64 + MAX_BYTES_PER_BUILD * builds as u64;
            assert_that!(snapshot_bytes, le(max_bytes));
            drop(besides);
        }
    }
}
