//! Bytes that hosts exchange among themselves and with the store, by kind.

use std::collections::BTreeMap;
use std::time::Duration;

use googletest::prelude::*;

use crate::support::{
    Behaviour, Call, FleetHost, LimitedSource, Script, ScriptedEndpoint, TestSource,
    peer_addresses, ready_times, rules, start_fleet,
};

/// A store without limits.
const UNLIMITED: u32 = u32::MAX;
const READY_TIME: Duration = Duration::from_secs(30);

/// Bytes by label set.
type Bytes = BTreeMap<String, u64>;

async fn control_bytes(host: &FleetHost) -> Bytes {
    let metrics = host.metrics().await;
    let lines = metrics.lines().filter_map(|line| {
        let line = line.strip_prefix("chalkrock_control_bytes_total{")?;
        let (labels, value) = line.split_once("} ")?;
        Some((labels.to_owned(), value.parse().ok()?))
    });
    lines.collect()
}

fn labels(kind: &str, direction: &str) -> String {
    format!("kind=\"{kind}\",direction=\"{direction}\"")
}

/// Guards against control traffic that no counter shows, and against counting the bytes of
/// callers with it.
#[tokio::test]
async fn control_bytes_count_exchanges_but_not_callers() {
    const BODY_BYTES: usize = 300_000;
    const SETTLE_TIME: Duration = Duration::from_secs(2);
    let store = TestSource::default();
    store.set_rules(rules(1));
    let behaviour = Behaviour::Answer;
    let endpoint = ScriptedEndpoint::start("e-0", "pool", behaviour, Script::default()).await;
    store.list(endpoint.endpoint.clone());
    let source = LimitedSource::new(store, UNLIMITED);
    let addresses = peer_addresses(3);
    let hosts = start_fleet(&source, &addresses, &addresses, |_, config| config).await;
    ready_times(&hosts, READY_TIME).await;
    let body = vec![b'x'; BODY_BYTES];
    let call = Call::post("/once/", &body).id("r-1");
    assert_that!(
        call.exchange(hosts[0].front_address()).await.status,
        eq(200)
    );
    tokio::time::sleep(SETTLE_TIME).await;
    let mut total = Bytes::new();
    for host in &hosts {
        for (labels, bytes) in control_bytes(host).await {
            *total.entry(labels).or_default() += bytes;
        }
    }
    for (kind, direction) in [
        ("heartbeat", "sent"),
        ("heartbeat", "received"),
        ("serve", "sent"),
        ("pull", "received"),
        ("store", "received"),
    ] {
        let bytes = total.get(&labels(kind, direction)).copied();
        assert_that!(bytes, some(gt(0)), "{kind}, {direction}");
    }
    assert_that!(total.values().sum::<u64>(), lt(BODY_BYTES as u64));
}

/// The bytes of each kind and direction a second, largest first, of one host.
fn print_kinds(title: &str, rates: &Bytes) {
    let mut rates: Vec<(&String, &u64)> = rates.iter().collect();
    rates.sort_by_key(|(_, bytes)| std::cmp::Reverse(**bytes));
    println!("{title}:");
    for (labels, bytes) in rates.iter().take(8) {
        println!("  {bytes:>9} B/s {labels}");
    }
}

/// Prints which kinds take the bytes at the busiest host while callers call, the list
/// changes and a rollout runs. Run by hand: `FLEET_HOSTS` sets the number of hosts.
#[tokio::test(flavor = "multi_thread", worker_threads = 6)]
#[ignore = "a measurement of a minute on several processors"]
async fn control_bytes_by_kind() {
    const DEFAULT_HOSTS: usize = 100;
    const WINDOW: Duration = Duration::from_secs(8);
    const CALL_INTERVAL: Duration = Duration::from_millis(8);
    let hosts = std::env::var("FLEET_HOSTS").ok();
    let hosts = hosts.and_then(|hosts| hosts.parse().ok());
    let hosts: usize = hosts.unwrap_or(DEFAULT_HOSTS);
    let store = TestSource::default();
    store.set_rules(rules(1));
    let mut endpoints = Vec::new();
    for i in 0..hosts * 9 / 10 {
        let name = format!("endpoint-{i}");
        let behaviour = Behaviour::AnswerAfter(200);
        let endpoint = ScriptedEndpoint::start(&name, "pool", behaviour, Script::default()).await;
        store.list(endpoint.endpoint.clone());
        endpoints.push(endpoint);
    }
    let source = LimitedSource::new(store.clone(), UNLIMITED);
    let addresses = peer_addresses(hosts);
    let fleet = start_fleet(&source, &addresses, &addresses[..4], |_, config| config).await;
    let ready = ready_times(&fleet, READY_TIME).await;
    println!("{hosts} hosts, last ready after {:?}", ready[hosts - 1]);
    tokio::time::sleep(Duration::from_secs(8)).await;
    let fronts: Vec<_> = fleet.iter().map(FleetHost::front_address).collect();
    let callers = tokio::spawn(async move {
        for i in 0_usize.. {
            let call = Call::get("/safe/").id(&format!("r-{i}"));
            let front = fronts[i % fronts.len()];
            tokio::spawn(async move { call.exchange(front).await });
            tokio::time::sleep(CALL_INTERVAL).await;
        }
    });
    for phase in ["calls", "calls and a changing list", "calls and a rollout"] {
        let changes = if phase.ends_with("list") {
            let (store, rows) = (store.clone(), endpoints.iter());
            let rows: Vec<_> = rows.map(|endpoint| endpoint.endpoint.clone()).collect();
            Some(tokio::spawn(async move {
                for (i, row) in rows.iter().cycle().enumerate() {
                    store.list_cold(row.clone(), 1 + i as u64 % 2);
                    tokio::time::sleep(Duration::from_millis(250)).await;
                }
            }))
        } else {
            None
        };
        if phase.ends_with("rollout") {
            store.order_rollout("build-2", 60_000);
        }
        tokio::time::sleep(Duration::from_secs(2)).await;
        let mut before = Vec::new();
        let began_at = tokio::time::Instant::now();
        for host in &fleet {
            before.push(control_bytes(host).await);
        }
        tokio::time::sleep(WINDOW).await;
        let mut rates = Vec::new();
        for (host, before) in fleet.iter().zip(before) {
            let mut bytes = control_bytes(host).await;
            for (labels, bytes) in &mut bytes {
                *bytes -= before.get(labels).copied().unwrap_or(0);
            }
            rates.push(bytes);
        }
        let seconds = began_at.elapsed().as_secs_f64();
        for bytes in rates.iter_mut().flat_map(Bytes::values_mut) {
            *bytes = (*bytes as f64 / seconds) as u64;
        }
        rates.sort_by_key(|bytes| bytes.values().sum::<u64>());
        let total = |i: usize| rates[i].values().sum::<u64>();
        println!(
            "{phase}: middle {} B/s, busiest {} B/s",
            total(hosts / 2),
            total(hosts - 1)
        );
        print_kinds("  busiest", &rates[hosts - 1]);
        print_kinds("  middle", &rates[hosts / 2]);
        if let Some(changes) = changes {
            changes.abort();
        }
    }
    callers.abort();
}
