//! A host that gets most new connections of the fleet for a while.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use chalkrock_core::PoolId;
use chalkrock_routing::{ConnectionLimit, RulesDocument};
use googletest::prelude::*;
use tokio::task::JoinSet;
use tokio::time::Instant;

use crate::support::{
    Call, SlottedEndpoint, SlottedMode, TestGateway, TestSource, hosts_with, rules, until,
};

const HOSTS: usize = 4;
const ENDPOINTS: usize = 4;
const SLOTS: u32 = 8;
const WORK: Duration = Duration::from_millis(60);
/// Time between two requests, each on a connection of its own.
const INTERVAL: Duration = Duration::from_millis(8);
/// Time without a crowd, and with one.
const OBSERVED: Duration = Duration::from_millis(3_000);
/// Time from the begin of the crowd from which requests count.
const CONTACT: Duration = Duration::from_millis(1_000);
/// Least part of the usual share of served requests.
const MIN_RATIO: f64 = 0.75;

/// What limits the endpoints.
#[derive(Clone, Copy)]
enum Limit {
    Slots,
    Connections(u32),
    Rejections(usize),
}

/// Sends requests at a steady rate. Returns the part of those sent after `warm_up` that were
/// served.
async fn served(hosts: &[Arc<TestGateway>], sent: &AtomicU64, warm_up: Duration) -> f64 {
    let mut calls = JoinSet::new();
    let start = Instant::now();
    let mut ticks = tokio::time::interval(INTERVAL);
    while start.elapsed() < OBSERVED {
        ticks.tick().await;
        let number = sent.fetch_add(1, Ordering::Relaxed);
        let host = hosts[number as usize % hosts.len()].clone();
        let counts = start.elapsed() >= warm_up;
        calls.spawn(async move {
            let call = Call::get("/safe/").id(&format!("r-{number}"));
            (counts, host.call(call).await.status == 200)
        });
    }
    let counted = calls.join_all().await.into_iter();
    let served: Vec<bool> = counted
        .filter_map(|(counts, is_served)| counts.then_some(is_served))
        .collect();
    served.iter().filter(|is_served| **is_served).count() as f64 / served.len() as f64
}

/// Plays requests spread over all hosts and then at one alone.
async fn check_crowd(limit: Limit) {
    let source = TestSource::default();
    let mut document = rules(1);
    if let Limit::Connections(max_connections) = limit {
        document = RulesDocument {
            connection_limits: vec![ConnectionLimit {
                pool: PoolId::from("pool"),
                max_connections,
            }],
            ..document
        };
    }
    source.set_rules(document);
    for i in 0..ENDPOINTS {
        let name = format!("endpoint-{i}");
        let endpoint = SlottedEndpoint::start(&name, &source, SLOTS, 4, WORK).await;
        if let Limit::Rejections(tolerated) = limit {
            endpoint.set_mode(SlottedMode::Brittle(tolerated));
        }
    }
    let mut hosts = Vec::new();
    for i in 0..HOSTS {
        let host = TestGateway::start(source.clone(), &format!("host-{i}"), Vec::new()).await;
        host.ready().await;
        hosts.push(host);
    }
    let others = (HOSTS - 1) as f64;
    until(async || hosts_with(&hosts, "peers_heard", others).await == HOSTS).await;
    let hosts: Vec<Arc<TestGateway>> = hosts.into_iter().map(Arc::new).collect();
    let sent = AtomicU64::new(0);
    let calm = served(&hosts, &sent, CONTACT).await;
    let crowded = served(&hosts[..1], &sent, CONTACT).await;
    assert_that!(
        crowded,
        ge(MIN_RATIO * calm),
        "served {calm:.2} over all hosts and {crowded:.2} at one"
    );
}

/// One host must serve what all did where endpoints have room.
#[tokio::test]
async fn crowded_host_serves_within_slots() {
    check_crowd(Limit::Slots).await;
}

/// A host's part of the connections to endpoints must not bind while others leave theirs idle.
#[tokio::test]
async fn crowded_host_serves_within_connection_limits() {
    check_crowd(Limit::Connections(8)).await;
}

/// A host's part of the slots of endpoints that tolerate few rejections must not bind while
/// others leave theirs idle.
#[tokio::test]
async fn crowded_host_serves_within_rejection_limits() {
    check_crowd(Limit::Rejections(6)).await;
}
