//! Hosts whose lists differ as of the same version find the wrong one and read it again.

use std::time::Duration;

use crate::peer_calls::endpoint;
use crate::stream_builds::{BuildFleet, NEW, OLD};
use crate::support::{
    BuildsByName, PeerBuild, PeerStandIn, TestGateway, hosts_with, listed_builds, metric, rules,
    until,
};
use chalkrock_core::Endpoint;
use googletest::prelude::*;

/// Time in which a wrong list is found and read again, with room for a busy machine.
const MAX_HEAL_TIME: Duration = Duration::from_secs(15);

async fn until_listed(host: &TestGateway, expected: &BuildsByName) {
    let began_at = tokio::time::Instant::now();
    let healed = until(async || listed_builds(host).await == *expected);
    let healed = tokio::time::timeout(MAX_HEAL_TIME, healed).await;
    assert_that!(healed, ok(anything()));
    println!("healed after {:?}", began_at.elapsed());
}

/// Guards against a wrong build from an older host that stays until the entry changes.
#[tokio::test]
async fn list_with_wrong_builds_of_an_older_host_heals_without_the_store() {
    let mut fleet = BuildFleet::start(1, &[OLD, NEW]).await;
    let right = listed_builds(&fleet.hosts[0]).await;
    let version = metric(&fleet.hosts[0], "endpoints_version").await as u64;
    let older = PeerStandIn::start(PeerBuild::Old, rules(1)).await;
    let listed = fleet.endpoints.iter().map(|(_, endpoint)| Endpoint {
        build: OLD.into(),
        ..endpoint.endpoint.clone()
    });
    older.set_list(version, listed.collect());
    let wrong = TestGateway::without_store("host-wrong", vec![older.address]).await;
    wrong.ready().await;
    assert_that!(listed_builds(&wrong).await, not(eq(&right)));
    fleet.hosts.push(wrong);
    // Puts the two others in touch.
    fleet.add_host("host-between").await;
    until_listed(&fleet.hosts[1], &right).await;
    assert_that!(metric(&fleet.hosts[1], "list_rereads_total").await, eq(1.0));
    assert_that!(metric(&fleet.hosts[0], "list_rereads_total").await, eq(0.0));
    assert_that!(
        metric(&fleet.hosts[0], "endpoints_version").await as u64,
        eq(version)
    );
}

/// Guards against a list of a host that reads the store, which nothing but a new read corrects.
#[tokio::test]
async fn list_that_was_read_wrongly_heals_from_the_store() {
    let mut fleet = BuildFleet::start(2, &[OLD, NEW]).await;
    let right = listed_builds(&fleet.hosts[0]).await;
    let misreading = fleet.source.another_handle();
    misreading.misread_builds(Some(OLD));
    let wrong = TestGateway::start(misreading.clone(), "host-wrong", Vec::new()).await;
    wrong.ready().await;
    assert_that!(listed_builds(&wrong).await, not(eq(&right)));
    misreading.misread_builds(None);
    fleet.hosts.push(wrong);
    // Puts the others in touch, and may get the wrong list.
    fleet.add_host("host-between").await;
    for host in &fleet.hosts {
        until_listed(host, &right).await;
    }
}

/// Guards against a late read that drops endpoints that other hosts have named meanwhile.
#[tokio::test]
async fn list_that_arrives_late_does_not_replace_a_newer_one() {
    const SETTLE_TIME: Duration = Duration::from_millis(500);
    let mut fleet = BuildFleet::start(2, &[OLD, NEW]).await;
    let mut expected = listed_builds(&fleet.hosts[0]).await;
    let misreading = fleet.source.another_handle();
    misreading.misread_builds(Some(OLD));
    let late = TestGateway::start(misreading.clone(), "host-late", Vec::new()).await;
    late.ready().await;
    misreading.misread_builds(None);
    misreading.hold_lists(true);
    fleet.hosts.push(late);
    // Puts the others in touch.
    fleet.add_host("host-between").await;
    let late = &fleet.hosts[2];
    until(async || metric(late, "list_rereads_total").await == 1.0).await;
    fleet.source.list(endpoint("later", NEW));
    expected.insert("later".to_owned(), NEW.to_owned());
    until_listed(late, &expected).await;
    misreading.hold_lists(false);
    let settled_at = tokio::time::Instant::now() + SETTLE_TIME;
    while tokio::time::Instant::now() < settled_at {
        assert_that!(listed_builds(late).await, eq(&expected));
    }
}

/// Guards against hosts with the same list that read it again, and against costly reports.
#[tokio::test]
async fn hosts_with_the_same_list_read_it_once() {
    const RUN_TIME: Duration = Duration::from_secs(4);
    const MAX_BYTES: f64 = 5.0 * 25.0;
    const SENT: &str = "chalkrock_control_bytes_total{kind=\"list-digest\",direction=\"sent\"} ";
    let fleet = BuildFleet::start(3, &[OLD, NEW]).await;
    fleet.source.list(endpoint("later", NEW));
    fleet.source.unlist(&"later".into());
    tokio::time::sleep(RUN_TIME).await;
    assert_that!(
        hosts_with(&fleet.hosts, "list_rereads_total", 0.0).await,
        eq(3)
    );
    assert_that!(
        hosts_with(&fleet.hosts, "lists_differ_total", 0.0).await,
        eq(3)
    );
    for host in &fleet.hosts {
        let metrics = host.metrics().await;
        let mut lines = metrics.lines();
        let bytes = lines.find_map(|line| line.strip_prefix(SENT));
        let bytes: f64 = bytes.expect("reports").parse().expect("a number");
        println!("{bytes} bytes of reports in {RUN_TIME:?}");
        assert_that!(bytes, all![gt(0.0), le(MAX_BYTES)]);
    }
}
