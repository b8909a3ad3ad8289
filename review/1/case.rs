//! Open connections to the store go silent; then a replica is drained while configurations come
//! in quick succession.

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
const REPLICAS: u8 = 6;
const SERVICE: &str = "chalkrock-pool";
const HOST_NAME: &str = "shop.example";
const KEY: &str = "n2ctnfzs989anu6wsjnb";
/// Bounds of the settings.
const DRAIN_MS: u64 = 2_000;
/// How much longer than `DRAIN_MS` the replica serves.
const LITTLE_LONGER_MS: u64 = 1_000;
/// `config_storm`: a change each 0.33 s for 4 s.
const STORM_MS: u64 = 4_000;
const STORM_GAP_MS: u64 = 330;

fn config(version: u64, timeout_ms: u64) -> String {
    format!(
        "{{\"version\":{version},\"routes\":[\
         {{\"name\":\"r-stream\",\"host\":\"{HOST_NAME}\",\"path_prefix\":\"/s/\",\"kind\":\"streaming\",\
         \"timeout_ms\":10000,\"slo_ms\":600,\"priority\":1,\"service\":\"{SERVICE}\",\"max_attempts\":1,\
         \"public\":false,\"sticky\":false,\"resumable\":false,\"gap_slo_ms\":300}},\
         {{\"name\":\"r-other\",\"host\":\"{HOST_NAME}\",\"path_prefix\":\"/o/\",\"kind\":\"safe\",\
         \"timeout_ms\":{timeout_ms},\"slo_ms\":400,\"priority\":2,\"service\":\"{SERVICE}\",\"max_attempts\":2,\
         \"public\":false}}],\
         \"services\":[{{\"name\":\"{SERVICE}\",\"health_path\":\"/health\",\"max_conns\":370,\"protocol\":\"h1\",\"tls\":false}}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\
         \"tenants\":[{{\"name\":\"hule930\",\"api_keys\":[\"{KEY}\"],\"priority\":1}}]}}"
    )
}

fn run(folder: &Path, work: &Path, program: &Path, with_trouble: bool) -> Result<bool, String> {
    let fail = |error: std::io::Error| error.to_string();
    let record = Record::create(&folder.join("record.txt")).map_err(fail)?;
    let network = Network::find().ok_or("no free loopback addresses")?;
    let store = Store::start(&record, network.at(200, STORE_PORT)).map_err(fail)?;
    let runs = Arc::new(Runs::default());
    let replica = |number: u8| {
        let id = format!("i-{number:02}");
        let settings = ReplicaSettings {
            id: &id,
            service: SERVICE,
            zone: ZONES[usize::from(number) % ZONES.len()],
            version: "v1",
            address: network.at(100 + number, REPLICA_PORT),
            slots: 64,
            events: 24,
            event_gap_ms: 50,
        };
        Replica::start(&record, &runs, &settings)
    };
    let mut version = 7;
    store.put("op", "config", &config(version, 3_000));
    let mut replicas = Vec::new();
    for number in 0..REPLICAS {
        let started = replica(number).map_err(fail)?;
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
        .flat_map(|host| ["/s/a", "/s/b", "/s/c", "/s/d", "/s/e", "/s/f", "/o/g"].map(|path| (host.front, path)))
        .map(|(front, path)| {
            let (record, is_over) = (record.clone(), is_over.clone());
            std::thread::spawn(move || {
                let mut ended = Vec::new();
                while !is_over.load(Ordering::SeqCst) {
                    let method = if path.starts_with("/s/") { "POST" } else { "GET" };
                    let request = Request {
                        method,
                        path,
                        host: HOST_NAME,
                        key: KEY,
                        deadline_ms: 8_000,
                        body: if method == "POST" { "{\"prompt\":1}" } else { "" },
                        extra: "",
                    };
                    ended.push(send(&record, front, &request));
                    sleep_ms(40);
                }
                ended
            })
        })
        .collect();
    sleep_ms(2_000);

    // Planned work: the configuration changes, and a replica is added.
    version += 3;
    let at = store.put("op", "config", &config(version, 3_100));
    record.tell(format!("at {at} ms the store acknowledged version {version} of the configuration"));
    let added = replica(REPLICAS).map_err(fail)?;
    let at = store.put("servers", &added.id, &added.row("ready"));
    record.tell(format!("at {at} ms the store acknowledged the new replica {}", added.id));
    sleep_ms(800);

    let silent_at = record.now_ms();
    if with_trouble {
        store.silence_open_connections();
        record.tell(format!("at {silent_at} ms all open connections to the store went silent; new ones work"));
    }
    sleep_ms(2_000);

    // Configurations in quick succession.
    let storm = {
        let (store, record) = (store.clone(), record.clone());
        let from = version;
        std::thread::spawn(move || {
            let until = record.now_ms() + STORM_MS;
            let mut version = from;
            while record.now_ms() < until {
                version += 3;
                let at = store.put("op", "config", &config(version, 2_500 + version));
                record.line(format!("the store acknowledged version {version} of the configuration at {at} ms"));
                sleep_ms(STORM_GAP_MS);
            }
            version
        })
    };
    // Later than `contact_ms` after the connections went silent.
    sleep_ms(1_500);
    let leaving = replicas[0].clone();
    let acked = store.put("servers", &leaving.id, &leaving.row("draining"));
    leaving.leave();
    record.tell(format!("at {acked} ms the store acknowledged that replica {} drains", leaving.id));
    sleep_ms(DRAIN_MS + LITTLE_LONGER_MS);
    leaving.end();
    store.remove("servers", &leaving.id);
    record.tell(format!("at {} ms replica {} ended", record.now_ms(), leaving.id));
    version = storm.join().unwrap_or(version);
    record.line(format!("the last version of the configuration was {version}"));
    sleep_ms(3_000);
    is_over.store(true, Ordering::SeqCst);
    let ended: Vec<Ended> = clients.into_iter().filter_map(|client| client.join().ok()).flatten().collect();

    let late: Vec<Run> = runs
        .all()
        .into_iter()
        .filter(|run| run.replica == leaving.id && run.at_ms > acked + DRAIN_MS)
        .collect();
    let is_late = |ended: &&Ended| late.iter().any(|run| run.request == ended.request);
    let late_hosts: BTreeSet<&str> = ended.iter().filter(is_late).map(|ended| ended.host.as_str()).collect();
    let cut = ended.iter().filter(is_late).filter(|ended| !ended.is_whole).count();
    for run in &late {
        record.line(format!("late: request {} ran {} ms after the acknowledgement", run.request, run.at_ms - acked));
    }
    let last = late.iter().map(|run| run.at_ms - acked).max().unwrap_or(0);
    record.tell(format!(
        "{} requests were sent; DRAIN: {} of them, over {} hosts in touch, ran at {} later than {DRAIN_MS} ms \
         after the acknowledgement, the last {last} ms after it; {cut} of these were cut when it ended",
        ended.len(),
        late.len(),
        late_hosts.len(),
        leaving.id,
    ));
    let all_run = hosts.iter().all(|host| host.is_running());
    if !all_run {
        record.tell("a host ended by itself");
    }
    let served = ended.iter().filter(|ended| ended.status == 200 && ended.is_whole).count();
    record.tell(format!("{served} requests were served whole"));
    if served * 2 < ended.len() {
        return Err("most requests were not served".to_owned());
    }
    Ok(late.is_empty())
}

fn main() -> ExitCode {
    play(run)
}
