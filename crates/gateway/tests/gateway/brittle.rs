//! Endpoints that fall over when they have to refuse too many requests.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use crate::support::{
    Call, SlottedCounts, SlottedEndpoint, SlottedMode, TestGateway, TestSource, hosts_with, rules,
    until,
};
use googletest::prelude::*;
use tokio::task::JoinSet;

/// Time after which the hosts have to spare the endpoints.
const CONTACT: Duration = Duration::from_millis(3_000);
const OBSERVED: Duration = Duration::from_millis(6_000);
const WORK: Duration = Duration::from_millis(60);
const PAUSE: Duration = Duration::from_millis(20);
/// Refusals a second that an endpoint tolerates.
const TOLERATED: usize = 6;
/// Part of the slots that must be in use while more requests wait.
const MIN_USE: f64 = 0.4;

/// Hosts and endpoints under more callers than there are slots.
struct Case {
    hosts: usize,
    endpoints: usize,
    slots: u32,
    callers_per_host: usize,
    /// Whether requests have a prompt prefix, so that no scheduler grants slots.
    has_prefix: bool,
}

/// Falls that are allowed while a pool says that it is brittle.
fn max_falls(endpoints: usize) -> usize {
    const BASE: usize = 2;
    const ENDPOINTS_PER_FALL: usize = 10;
    BASE + endpoints / ENDPOINTS_PER_FALL
}

async fn start_hosts(source: &TestSource, count: usize) -> Vec<TestGateway> {
    let mut hosts = Vec::new();
    for i in 0..count {
        let host = TestGateway::start(source.clone(), &format!("host-{i}"), Vec::new()).await;
        host.ready().await;
        hosts.push(host);
    }
    let others = (count - 1) as f64;
    until(async || hosts_with(&hosts, "peers_heard", others).await == count).await;
    hosts
}

/// Starts callers that repeat as soon as they have an answer.
fn start_callers(hosts: &[TestGateway], case: &Case, is_ended: &Arc<AtomicBool>) -> JoinSet<()> {
    let mut calling = JoinSet::new();
    for (host, gateway) in hosts.iter().enumerate() {
        for caller in 0..case.callers_per_host {
            let address = gateway.running.front_address();
            let is_ended = is_ended.clone();
            let has_prefix = case.has_prefix;
            calling.spawn(async move {
                let mut number = 0;
                while !is_ended.load(Ordering::Relaxed) {
                    let id = format!("{host}-{caller}-{number}");
                    number += 1;
                    let mut call = Call::get("/safe/").id(&id);
                    if has_prefix {
                        call = call.header("parts", &format!("{caller}:100,{number}:10"));
                    }
                    call.exchange(address).await;
                    tokio::time::sleep(PAUSE).await;
                }
            });
        }
    }
    calling
}

fn take_counts(endpoints: &[SlottedEndpoint]) -> SlottedCounts {
    let mut total = SlottedCounts::default();
    for counts in endpoints.iter().map(SlottedEndpoint::take_counts) {
        total.served += counts.served;
        total.refused += counts.refused;
        total.falls += counts.falls;
    }
    total
}

/// Counts what the endpoints saw under overload, once the hosts have had time to spare them.
async fn stay_up(case: &Case) {
    let source = TestSource::default();
    source.set_rules(rules(1));
    let mut endpoints = Vec::new();
    for i in 0..case.endpoints {
        let name = format!("endpoint-{i}");
        let endpoint = SlottedEndpoint::start(&name, &source, case.slots, 3, WORK).await;
        endpoint.set_mode(SlottedMode::Brittle(TOLERATED));
        endpoints.push(endpoint);
    }
    let hosts = start_hosts(&source, case.hosts).await;
    let is_ended = Arc::new(AtomicBool::new(false));
    let mut calling = start_callers(&hosts, case, &is_ended);
    tokio::time::sleep(CONTACT).await;
    take_counts(&endpoints);
    tokio::time::sleep(OBSERVED).await;
    let counts = take_counts(&endpoints);
    is_ended.store(true, Ordering::Relaxed);
    while calling.join_next().await.is_some() {}
    assert_that!(counts.falls, le(max_falls(case.endpoints)), "{counts:?}");
    let slots = case.endpoints as f64 * f64::from(case.slots);
    let capacity = slots * OBSERVED.as_secs_f64() / WORK.as_secs_f64();
    assert_that!(counts.served as f64, ge(MIN_USE * capacity), "{counts:?}");
}

/// Guards against a scheduler that grants slots which brittle endpoints have to refuse.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn brittle_endpoints_stay_up_with_granted_slots() {
    stay_up(&Case {
        hosts: 4,
        endpoints: 3,
        slots: 2,
        callers_per_host: 8,
        has_prefix: false,
    })
    .await;
}

/// Guards against hosts whose refused requests make brittle endpoints fall over.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn brittle_endpoints_stay_up_with_several_slots_a_host() {
    stay_up(&Case {
        hosts: 3,
        endpoints: 4,
        slots: 8,
        callers_per_host: 24,
        has_prefix: true,
    })
    .await;
}

/// Guards against more hosts than slots that meet at an endpoint.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn brittle_endpoints_stay_up_with_less_than_a_slot_a_host() {
    stay_up(&Case {
        hosts: 6,
        endpoints: 4,
        slots: 4,
        callers_per_host: 24,
        has_prefix: true,
    })
    .await;
}

/// Guards against limits that outlive the endpoints' reports.
#[tokio::test]
async fn brittle_endpoints_that_say_so_no_more_get_queued_requests() {
    const SLOTS: u32 = 2;
    let source = TestSource::default();
    source.set_rules(rules(1));
    let endpoint = SlottedEndpoint::start("endpoint-0", &source, SLOTS, 3, WORK).await;
    endpoint.set_mode(SlottedMode::Brittle(TOLERATED));
    let hosts = start_hosts(&source, 2).await;
    let brittle = async |value: f64| {
        until(async || hosts_with(&hosts, "endpoints_brittle", value).await == hosts.len()).await;
    };
    // The other host learns of it without a request.
    assert_that!(
        hosts[0].call(Call::get("/safe/").id("r-1")).await.status,
        eq(200)
    );
    brittle(1.0).await;
    endpoint.set_mode(SlottedMode::Serve);
    for host in &hosts {
        assert_that!(
            host.call(Call::get("/safe/").id("r-2")).await.status,
            eq(200)
        );
    }
    brittle(0.0).await;
    let mut calls = JoinSet::new();
    for number in 0..4 {
        let front = hosts[0].running.front_address();
        let call = Call::get("/safe/").id(&format!("queued-{number}"));
        calls.spawn(async move { call.exchange(front).await.status });
    }
    assert_that!(calls.join_all().await, each(eq(&200)));
}
