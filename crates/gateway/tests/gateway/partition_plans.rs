//! Partitions drawn from seeds, while callers use all hosts.
//!
//! `CHALKROCK_PARTITION_SEEDS=A..B cargo test -p chalkrock-gateway --test gateway
//! partition_plans` plays other seeds.

use std::ops::Range;
use std::sync::Arc;
use std::time::Duration;

use crate::support::{Behaviour, Call, PartitionFleet, Received, rules};
use chalkrock_soak::LinkMode;
use googletest::prelude::*;
use rand::rngs::StdRng;
use rand::seq::{IndexedRandom, SliceRandom};
use rand::{RngExt, SeedableRng};
use tokio::task::JoinSet;
use tokio::time::Instant;

const HOSTS: usize = 4;
const ENDPOINTS: usize = 6;
const PLAY: Duration = Duration::from_millis(14_000);
/// Time after which a partitioned host must serve as the others do.
const CONTACT: Duration = Duration::from_millis(3_000);
const CALL_INTERVAL: Duration = Duration::from_millis(25);
const PATHS: [&str; 5] = ["/safe/", "/unsafe/", "/once/", "/stream/", "/resumable/"];
/// Routes whose requests may run more than once.
const REPEATABLE: [&str; 2] = ["/safe/", "/resumable/"];

/// Links of a host that are cut for a time.
#[derive(Clone, Debug)]
struct Cut {
    host: usize,
    endpoints: Range<usize>,
    mode: LinkMode,
    from: Duration,
    to: Duration,
    /// Whether the links come back for a moment each second.
    flaps: bool,
}

/// What a caller saw.
#[derive(Debug)]
struct Try {
    host: usize,
    path: &'static str,
    id: String,
    at: Duration,
    received: Received,
}

impl Try {
    fn is_served(&self) -> bool {
        self.received.status == 200 && self.received.is_complete
    }

    fn says_not_run(&self) -> bool {
        matches!(self.received.status, 408 | 421 | 429 | 503)
    }
}

/// Draws two series of cuts of some hosts each. One host at least keeps all links.
fn draw_cuts(random: &mut StdRng) -> Vec<Cut> {
    let mut cuts = Vec::new();
    let mut from = Duration::from_millis(random.random_range(500..1_500));
    while from + CONTACT < PLAY {
        let to = from + Duration::from_millis(random.random_range(4_500..6_500));
        let mut hosts: Vec<usize> = (0..HOSTS).collect();
        hosts.shuffle(random);
        let first_endpoint = usize::from(random.random_bool(0.25));
        let flaps = random.random_bool(0.2);
        let modes = [LinkMode::Refused, LinkMode::Unresponsive];
        let mode = *modes.choose(random).expect("a mode");
        for host in hosts.into_iter().take(random.random_range(1..HOSTS)) {
            cuts.push(Cut {
                host,
                endpoints: first_endpoint..ENDPOINTS,
                mode,
                from,
                to: to.min(PLAY),
                flaps,
            });
        }
        from = to + Duration::from_millis(random.random_range(300..1_500));
    }
    cuts
}

async fn play_cut(fleet: Arc<PartitionFleet>, cut: Cut, began_at: Instant) {
    const FLAP_INTERVAL: Duration = Duration::from_millis(900);
    const FLAP: Duration = Duration::from_millis(100);
    let set = |mode| fleet.set_some_links(cut.host, cut.endpoints.clone(), mode);
    tokio::time::sleep_until(began_at + cut.from).await;
    set(cut.mode);
    while cut.flaps && Instant::now() + FLAP_INTERVAL + FLAP < began_at + cut.to {
        tokio::time::sleep(FLAP_INTERVAL).await;
        set(LinkMode::Open);
        tokio::time::sleep(FLAP).await;
        set(cut.mode);
    }
    tokio::time::sleep_until(began_at + cut.to).await;
    set(LinkMode::Open);
}

/// Sends requests to all hosts until the play ends.
async fn call_all_hosts(fleet: &PartitionFleet, began_at: Instant) -> Vec<Try> {
    let mut calls = JoinSet::new();
    let mut number = 0;
    while began_at.elapsed() < PLAY {
        for (host, gateway) in fleet.hosts.iter().enumerate() {
            let path = PATHS[number % PATHS.len()];
            let id = format!("{host}-{number}");
            number += 1;
            let call = Call::post(path, id.as_bytes());
            let call = call.id(&id).header("deadline", "2000");
            let front = gateway.running.front_address();
            let at = began_at.elapsed();
            calls.spawn(async move {
                let received = call.exchange(front).await;
                Try {
                    host,
                    path,
                    id,
                    at,
                    received,
                }
            });
        }
        tokio::time::sleep(CALL_INTERVAL).await;
    }
    calls.join_all().await
}

/// The share of tries that were served, and their number.
fn served_share<'a>(tries: impl Iterator<Item = &'a Try>) -> (f64, usize) {
    let (mut served, mut all) = (0, 0);
    for attempt in tries {
        all += 1;
        served += usize::from(attempt.is_served());
    }
    (served as f64 / all.max(1) as f64, all)
}

/// Checks that callers of partitioned hosts are served at least two thirds as often as those
/// of the others.
fn check_served(cuts: &[Cut], tries: &[Try], seed: u64) {
    for cut in cuts {
        let is_observed = |attempt: &&Try| attempt.at >= cut.from + CONTACT && attempt.at < cut.to;
        let is_cut = |host: usize| {
            cuts.iter()
                .any(|other| other.host == host && other.from == cut.from)
        };
        let observed = tries.iter().filter(is_observed);
        let (share, all) = served_share(observed.filter(|attempt| attempt.host == cut.host));
        let observed = tries.iter().filter(is_observed);
        let (others, _) = served_share(observed.filter(|attempt| !is_cut(attempt.host)));
        let message = format!("seed {seed}: {share:.2} of {all}, others {others:.2}, {cut:?}");
        assert_that!(share, ge(others * 2.0 / 3.0), "{message}");
    }
}

/// Checks that no request runs twice that may not, and none that was refused.
fn check_runs(fleet: &PartitionFleet, tries: &[Try], seed: u64) {
    for attempt in tries {
        let Try {
            path, id, received, ..
        } = attempt;
        let runs = fleet.run_count(id);
        let message = format!("seed {seed}: {path} {id} {} {runs}", received.status);
        if !REPEATABLE.contains(path) {
            assert_that!(runs, le(1), "{message}");
            assert_that!(runs == 0 || !attempt.says_not_run(), eq(true), "{message}");
        }
        if attempt.is_served() {
            assert_that!(runs, ge(1), "{message}");
        }
    }
}

async fn play(seed: u64) {
    let mut random = StdRng::seed_from_u64(seed);
    let cuts = draw_cuts(&mut random);
    let fleet = Arc::new(PartitionFleet::start(rules(1), HOSTS, ENDPOINTS).await);
    for endpoint in &fleet.endpoints {
        endpoint.set_behaviour(Behaviour::AnswerByRoute { last: 5 });
    }
    let began_at = Instant::now();
    let mut playing = JoinSet::new();
    for cut in cuts.clone() {
        playing.spawn(play_cut(fleet.clone(), cut, began_at));
    }
    let tries = call_all_hosts(&fleet, began_at).await;
    playing.join_all().await;
    check_runs(&fleet, &tries, seed);
    check_served(&cuts, &tries, seed);
}

/// The seeds in the environment, or a few.
fn seeds() -> Range<u64> {
    const DEFAULT: Range<u64> = 0..2;
    let Ok(text) = std::env::var("CHALKROCK_PARTITION_SEEDS") else {
        return DEFAULT;
    };
    let (from, to) = text.split_once("..").expect("A..B");
    from.parse().expect("a seed")..to.parse().expect("a seed")
}

/// Guards against a second run, a broken promise or unserved callers in any order of cuts.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn partition_plans_keep_the_rules() {
    for seed in seeds() {
        play(seed).await;
    }
}
