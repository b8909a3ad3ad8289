//! The store is silent for half a second; then replicas are released one after the other, and a
//! key is taken away.

#[path = "../standins.rs"]
#[allow(dead_code)]
mod standins;

use std::collections::BTreeSet;
use std::path::Path;
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use standins::*;

const HOSTS: u8 = 8;
const REPLICAS: u8 = 10;
/// `release`: a share of the replicas is replaced, one at a time.
const RELEASED: u8 = 8;
const RELEASE_GAP_MS: u64 = 1_000;
/// Time from the start of the new replica until the old one says that it drains.
const STARTS_FIRST_MS: u64 = 450;
const SERVICE: &str = "chalkrock-pool";
const HOST_NAME: &str = "shop.example";
const KEPT_KEY: &str = "n2ctnfzs989anu6wsjnb";
const REVOKED_KEY: &str = "anfqasnmgkcuyj8pjbvk";
/// Bounds of the settings.
const DRAIN_MS: u64 = 2_000;
const CONTACT_MS: u64 = 3_000;
const CONFIG_APPLY_MS: u64 = 2_000;
/// How long the store is silent.
const SILENCE_MS: u64 = 500;

fn config(version: u64, timeout_ms: u64, keys: &[&str]) -> String {
    let keys: Vec<String> = keys.iter().map(|key| quote(key)).collect();
    let keys = keys.join(",");
    format!(
        "{{\"version\":{version},\"routes\":[\
         {{\"name\":\"r-order\",\"host\":\"{HOST_NAME}\",\"path_prefix\":\"/o/\",\"kind\":\"unsafe\",\
         \"timeout_ms\":{timeout_ms},\"slo_ms\":400,\"priority\":2,\"service\":\"{SERVICE}\",\"max_attempts\":1,\
         \"public\":false}}],\
         \"services\":[{{\"name\":\"{SERVICE}\",\"health_path\":\"/health\",\"max_conns\":370,\"protocol\":\"h1\",\"tls\":false}}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\
         \"tenants\":[{{\"name\":\"hule930\",\"api_keys\":[{keys}],\"priority\":1}}]}}"
    )
}

fn run(folder: &Path, work: &Path, program: &Path, with_trouble: bool) -> Result<bool, String> {
    let fail = |error: std::io::Error| error.to_string();
    let record = Record::create(&folder.join("record.txt")).map_err(fail)?;
    let network = Network::find().ok_or("no free loopback addresses")?;
    let store = Store::start(&record, network.at(200, STORE_PORT)).map_err(fail)?;
    let runs = Arc::new(Runs::default());
    let replica = |number: u8, version: &str| {
        let id = format!("i-{number:02}");
        let settings = ReplicaSettings {
            id: &id,
            service: SERVICE,
            zone: ZONES[usize::from(number) % ZONES.len()],
            version,
            address: network.at(100 + number, REPLICA_PORT),
            slots: 64,
            events: 0,
            event_gap_ms: 0,
        };
        Replica::start(&record, &runs, &settings)
    };
    let both = [KEPT_KEY, REVOKED_KEY];
    store.put("op", "config", &config(7, 3_000, &both));
    let mut replicas = Vec::new();
    for number in 0..REPLICAS {
        let started = replica(number, "v1").map_err(fail)?;
        store.put("servers", &started.id, &started.row("ready"));
        replicas.push(started);
    }
    let mut hosts = Vec::new();
    for number in 1..=HOSTS {
        hosts.push(Host::prepare(network, number, HOSTS, work, program).map_err(fail)?);
    }
    if !start_hosts(&hosts) {
        return Err("the hosts did not become ready".to_owned());
    }
    record.tell(format!("{HOSTS} hosts are ready, trouble {with_trouble}"));
    sleep_ms(5_000);

    let is_over = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = hosts
        .iter()
        .flat_map(|host| both.map(|key| (host.front, key)))
        .map(|(front, key)| {
            let (record, is_over) = (record.clone(), is_over.clone());
            std::thread::spawn(move || {
                let mut ended = Vec::new();
                while !is_over.load(Ordering::SeqCst) {
                    let path = if key == REVOKED_KEY { "/o/revoked" } else { "/o/kept" };
                    let request = Request {
                        method: "POST",
                        path,
                        host: HOST_NAME,
                        key,
                        deadline_ms: 3_000,
                        body: "{\"order\":1}",
                        extra: "",
                    };
                    ended.push((key, send(&record, front, &request)));
                    sleep_ms(60);
                }
                ended
            })
        })
        .collect();
    sleep_ms(2_000);

    let at = store.put("op", "config", &config(10, 2_900, &both));
    record.tell(format!("at {at} ms the store acknowledged version 10 of the configuration"));
    sleep_ms(100);
    if with_trouble {
        record.tell(format!("at {} ms the store fell silent", record.now_ms()));
        store.set_down(true);
    }
    sleep_ms(SILENCE_MS);
    store.set_down(false);
    let back_at = record.now_ms();
    if with_trouble {
        record.tell(format!("at {back_at} ms the store was back"));
    }

    let release = {
        let old: Vec<_> = replicas.drain(..usize::from(RELEASED)).collect();
        let new: Vec<_> = (0..RELEASED).map(|number| replica(REPLICAS + number, "v2")).collect();
        let (store, record) = (store.clone(), record.clone());
        std::thread::spawn(move || {
            let mut ends = Vec::new();
            for (old, new) in old.into_iter().zip(new) {
                let began_at = record.now_ms();
                if let Ok(new) = &new {
                    store.put("servers", &new.id, &new.row("ready"));
                }
                sleep_ms(STARTS_FIRST_MS);
                let acked = store.put("servers", &old.id, &old.row("draining"));
                old.leave();
                record.line(format!("at {acked} ms the store acknowledged that replica {} drains", old.id));
                let store = store.clone();
                ends.push(std::thread::spawn(move || {
                    sleep_ms(DRAIN_MS + 600);
                    old.end();
                    store.remove("servers", &old.id);
                }));
                sleep_ms(RELEASE_GAP_MS.saturating_sub(record.now_ms() - began_at));
            }
            for end in ends {
                let _ended = end.join();
            }
        })
    };
    sleep_ms(CONTACT_MS + 300);
    let acked = store.put("op", "config", &config(13, 2_900, &[KEPT_KEY]));
    record.tell(format!("at {acked} ms the store acknowledged version 13, without the key {REVOKED_KEY}"));
    let _released = release.join();
    sleep_ms(1_500);
    is_over.store(true, Ordering::SeqCst);
    let ended: Vec<(&str, Ended)> = clients.into_iter().filter_map(|client| client.join().ok()).flatten().collect();

    let ran: BTreeSet<String> = runs.all().into_iter().map(|run| run.request).collect();
    let late: Vec<&Ended> = ended
        .iter()
        .filter(|(key, ended)| *key == REVOKED_KEY && ended.sent_ms > acked + CONFIG_APPLY_MS)
        .map(|(_, ended)| ended)
        .filter(|ended| ran.contains(&ended.request))
        .collect();
    let late_hosts: BTreeSet<&str> = late.iter().map(|ended| ended.host.as_str()).collect();
    let last = late.iter().map(|ended| ended.sent_ms - acked).max().unwrap_or(0);
    for ended in &late {
        record.line(format!(
            "late: request {} with the key that was taken away, sent {} ms after the acknowledgement, ran",
            ended.request,
            ended.sent_ms - acked
        ));
    }
    record.tell(format!(
        "{} requests were sent; CONFIG: {} of them, over {} hosts in touch, were sent with the key later than \
         {CONFIG_APPLY_MS} ms after its removal was acknowledged and ran, the last {last} ms after it",
        ended.len(),
        late.len(),
        late_hosts.len(),
    ));
    if !hosts.iter().all(|host| host.is_running()) {
        record.tell("a host ended by itself");
    }
    let kept = ended.iter().filter(|(key, _)| *key == KEPT_KEY);
    let served = kept.clone().filter(|(_, ended)| ended.status == 200 && ended.is_whole).count();
    record.tell(format!("{served} of {} requests with the other key were served", kept.clone().count()));
    if served * 2 < kept.count() {
        return Err("most requests were not served".to_owned());
    }
    Ok(late.is_empty())
}

fn main() -> ExitCode {
    play(run)
}
