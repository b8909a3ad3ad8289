//! Pulls missing state from other hosts.

use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::sync::Arc;
use std::time::Duration;

use chalkrock_proto::ByteCounter;
use futures::StreamExt;
use futures::stream::FuturesUnordered;
use rand::RngExt;
use rand::seq::{IteratorRandom, SliceRandom};
use tokio::time::Instant;

use crate::arrival::{IdleLimits, while_arriving};
use crate::clock::ms;
use crate::event_log::{Event, PullOutcome};
use crate::metrics::{ConnectionBytes, ControlKind};
use crate::peers::PeerTable;
use crate::peers::api::{BusyResponse, EndpointUpdate, KnownVersions};
use crate::peers::pull_calls::{Held, PullResponse, request_state};
use crate::peers::pull_turns::PullTurn;
use crate::peers::rollouts::merge_rollout_update;
use crate::shared::Shared;

/// Delay before a pull, in which a host of the same zone may become a source.
const NEWER_PEER_DELAY: Duration = Duration::from_millis(80);
/// Interval between pulls while this host has no view.
const POLL_INTERVAL: Duration = Duration::from_millis(500);
/// Initial and final pause between queries of the seeds; each is multiplied by a random
/// factor from 1 to 2. Backoff keeps the seeds responsive when the whole fleet restarts:
/// 300 hosts that query them every 100 ms keep them from supplying anyone.
const MIN_SEED_PAUSE: Duration = Duration::from_millis(50);
const MAX_SEED_PAUSE: Duration = Duration::from_millis(400);
/// Seeds that a starting host queries at once. All hosts of a fleet that starts query the
/// same few seeds, which may be its weakest hosts: with all four seeds in each query, these
/// took four times as many bytes of requests.
const SEEDS_PER_QUERY: usize = 2;
/// Timeout for the first byte of a seed's response.
const SEED_TIMEOUT: Duration = Duration::from_millis(200);
/// Delays before the hosts are queried again after start; when all hosts restart, the seeds
/// know few at first.
const HOST_QUERY_DELAYS: [Duration; 3] = [
    Duration::from_millis(250),
    Duration::from_millis(400),
    Duration::from_millis(900),
];
/// Random pause, in milliseconds, before a busy host or an alternative is queried.
const BUSY_PAUSE_MS: RangeInclusive<u64> = 20..=100;
/// Attempts while hosts are busy, about three seconds in total.
const MAX_BUSY_ATTEMPTS: usize = 50;

/// Queries the seeds until this host has a complete view.
pub(crate) async fn pull_at_start(shared: Arc<Shared>, peers: Arc<PeerTable>) {
    let mut pause = MIN_SEED_PAUSE;
    let mut seeds = other_seeds(&shared, &peers);
    seeds.shuffle(&mut rand::rng());
    while !shared.has_view() {
        // Cancels transfers once the view is complete, which frees both links.
        tokio::select! {
            () = shared.wait_until_view_known() => {}
            () = pull_from(&shared, &peers, seeds.iter().take(SEEDS_PER_QUERY)) => {}
        }
        let queried = SEEDS_PER_QUERY.min(seeds.len());
        seeds.rotate_left(queried);
        shared.subscription.mark_seeds_queried();
        tokio::select! {
            () = shared.wait_until_view_known() => {}
            () = tokio::time::sleep(pause.mul_f64(rand::rng().random_range(1.0..2.0))) => {}
        }
        pause = (2 * pause).min(MAX_SEED_PAUSE);
    }
    // Sends a heartbeat to the newly added hosts.
    shared.publish_now.notify_one();
    for pause in HOST_QUERY_DELAYS {
        tokio::time::sleep(pause).await;
        query_hosts(&shared, &peers).await;
        shared.publish_now.notify_one();
    }
}

/// Queries the seeds for hosts that they know by now. In a large fleet, queries a random
/// host instead: a seed would be queried by all starting hosts at once, three times each.
async fn query_hosts(shared: &Shared, peers: &PeerTable) {
    let random = peers.any_up().filter(|_| shared.subscription.is_large());
    let Some(random) = random else {
        return pull_from(shared, peers, &other_seeds(shared, peers)).await;
    };
    pull_from(shared, peers, [&random]).await;
}

fn other_seeds(shared: &Shared, peers: &PeerTable) -> Vec<SocketAddr> {
    let seeds = shared.config.peer_seeds.iter();
    let others = seeds.filter(|seed| **seed != peers.local);
    others.copied().collect()
}

/// Queries hosts at once until one completes the view, and then an alternative that a busy
/// one named.
async fn pull_from(
    shared: &Shared,
    peers: &PeerTable,
    hosts: impl IntoIterator<Item = &SocketAddr>,
) {
    let pulls = hosts.into_iter();
    let pulls = pulls.map(|host| pull(shared, peers, *host, SEED_TIMEOUT, Wanted::Missing));
    let mut pulls: FuturesUnordered<_> = pulls.collect();
    let mut alternative = None;
    while let Some(pulled) = pulls.next().await {
        let busy = pulled.and_then(|pulled| apply(shared, peers, pulled));
        if shared.has_view() {
            return;
        }
        alternative = busy
            .and_then(|busy| pick_alternative(&busy, peers))
            .or(alternative);
    }
    if let Some(alternative) = alternative {
        let pulled = pull(shared, peers, alternative, SEED_TIMEOUT, Wanted::Missing).await;
        pulled.and_then(|pulled| apply(shared, peers, pulled));
    }
}

/// Pulls whenever another host knows a newer version, until the process ends.
pub(crate) async fn pull_when_outdated(shared: Arc<Shared>, peers: Arc<PeerTable>) {
    // The store may answer within this time, which saves a transfer.
    let store_wait = ms(shared.config.follow.store_wait_ms);
    'wait: loop {
        let notified = tokio::time::timeout(POLL_INTERVAL, peers.newer_peer_found.notified());
        let is_notified = notified.await.is_ok();
        if is_notified {
            let pause = match (shared.has_view(), shared.subscription.is_subscriber()) {
                (false, _) => Duration::ZERO,
                (true, true) => store_wait,
                (true, false) => NEWER_PEER_DELAY,
            };
            tokio::time::sleep(pause).await;
        } else if shared.has_view() && !lacks_connection_limits(&shared) {
            continue;
        }
        let Some(first) = peers.take_newer_peer().or_else(|| peers.any_up()) else {
            continue;
        };
        // The first host may be down; others know the version by now.
        let second = peers.any_up().filter(|address| *address != first);
        for address in [Some(first), second].into_iter().flatten() {
            if catch_up(&shared, &peers, address).await != CatchUp::Failed {
                continue 'wait;
            }
        }
        // No host with the newer version is reachable; the store may be.
        shared.subscription.request_reread();
    }
}

/// Pulls from up to two random hosts. Returns whether one of them had a fresh view.
pub(crate) async fn catch_up_with_any(shared: &Shared, peers: &PeerTable) -> bool {
    const MAX_ATTEMPTS: usize = 2;
    for _ in 0..MAX_ATTEMPTS {
        let Some(address) = peers.any_up() else {
            return false;
        };
        if catch_up(shared, peers, address).await == CatchUp::FromFresh {
            return true;
        }
    }
    false
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CatchUp {
    /// The host had a complete view and was not suspended recently.
    FromFresh,
    /// The host answered without a fresh view.
    FromStale,
    /// The host was unreachable or busy for too long.
    Failed,
}

/// Pulls from a host with a newer version, and from the alternatives that it names while it
/// is busy.
async fn catch_up(shared: &Shared, peers: &PeerTable, first: SocketAddr) -> CatchUp {
    let timeout = ms(shared.config.follow.pull_timeout_ms);
    let mut from = first;
    for _ in 0..MAX_BUSY_ATTEMPTS {
        let Some(pulled) = pull(shared, peers, from, timeout, Wanted::Missing).await else {
            if from == first {
                return CatchUp::Failed;
            }
            from = first;
            continue;
        };
        let outcome = if pulled.response.missing.is_fresh {
            CatchUp::FromFresh
        } else {
            CatchUp::FromStale
        };
        let Some(busy) = apply(shared, peers, pulled) else {
            return outcome;
        };
        let pause_ms = rand::rng().random_range(BUSY_PAUSE_MS);
        tokio::time::sleep(ms(pause_ms)).await;
        if !is_outdated(shared, &busy) {
            return outcome;
        }
        from = pick_alternative(&busy, peers).unwrap_or(first);
    }
    CatchUp::Failed
}

fn is_outdated(shared: &Shared, busy: &BusyResponse) -> bool {
    busy.rules > shared.rules.version() || busy.endpoints > shared.fleet().endpoints_version
}

fn pick_alternative(busy: &BusyResponse, peers: &PeerTable) -> Option<SocketAddr> {
    let others = busy.ask.iter().filter(|address| **address != peers.local);
    others.choose(&mut rand::rng()).copied()
}

fn known_versions(shared: &Shared, peers: &PeerTable) -> KnownVersions {
    KnownVersions {
        address: peers.local,
        hosts: peers.recent().len(),
        rules: shared.rules.version(),
        endpoints: shared
            .knows_endpoints()
            .then(|| shared.fleet().endpoints_version),
    }
}

fn held(shared: &Shared, known: KnownVersions) -> Held {
    let mut fleet = shared.fleet();
    Held {
        known,
        list_content: known.endpoints.map(|_| fleet.list_content()),
        has_learned: fleet.has_learned(),
        limits: fleet.connection_limits().rules,
    }
}

/// Whether the connection limits of the rules in force got lost on their way.
fn lacks_connection_limits(shared: &Shared) -> bool {
    let rules = shared.rules.version();
    shared.fleet().connection_limits().rules < rules
}

/// Pulls from another host, once no other pull from it is in progress, and logs the outcome.
async fn pull(
    shared: &Shared,
    peers: &PeerTable,
    from: SocketAddr,
    first_byte_timeout: Duration,
    wanted: Wanted,
) -> Option<Pulled> {
    let turn = peers.pull_turns.wait(from).await;
    let mut known = known_versions(shared, peers);
    if wanted == Wanted::WholeList {
        known.endpoints = None;
    }
    let started_at = Instant::now();
    let count = Arc::new(ByteCounter::default());
    let _counts_when_dropped = ConnectionBytes::new(shared, ControlKind::Pull, count.clone());
    let idle_limits = IdleLimits {
        first_byte: first_byte_timeout,
        between_bytes: ms(shared.config.follow.stall_ms),
    };
    let held = held(shared, known);
    let response = request_state(from, held, count.clone());
    let response = while_arriving(response, || count.read_bytes(), idle_limits).await;
    let (outcome, response) = match response {
        Some(Ok(response)) => {
            let missing = &response.missing;
            let outcome = match (&missing.busy, &missing.rules, &missing.endpoints) {
                (Some(_), ..) => Some(PullOutcome::Busy),
                (None, Some(_), _) => Some(PullOutcome::Rules),
                (None, None, Some(EndpointUpdate::Entire { .. })) => Some(PullOutcome::Endpoints),
                (None, None, Some(EndpointUpdate::Changes(_))) => Some(PullOutcome::Changes),
                (None, None, None) => None,
            };
            (outcome, Some(response))
        }
        Some(Err(_broken)) => (Some(PullOutcome::Broken), None),
        None => (Some(PullOutcome::GivenUp), None),
    };
    let read_bytes = count.read_bytes();
    shared
        .metrics
        .count("peer_pulled_bytes_total", "", read_bytes);
    if let Some(outcome) = outcome {
        shared.event_log.emit(&Event::Pull {
            from,
            outcome,
            read_bytes,
            took_ms: started_at.elapsed().as_millis() as u64,
        });
    }
    response.map(|response| Pulled {
        response,
        wanted,
        turn,
    })
}

/// What a pull is to bring.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Wanted {
    /// State that this host is missing.
    Missing,
    /// A list of endpoints to replace this host's as of the same version.
    WholeList,
}

/// Replaces this host's list of endpoints by that of another host, unless that is older.
pub(super) async fn pull_whole_list(shared: &Shared, peers: &PeerTable, from: SocketAddr) {
    let timeout = ms(shared.config.follow.pull_timeout_ms);
    let pulled = pull(shared, peers, from, timeout, Wanted::WholeList).await;
    let _later_differences_ask_a_busy_host_again =
        pulled.map(|pulled| apply(shared, peers, pulled));
}

/// The response of another host. The next pull from it starts once this one is applied.
struct Pulled {
    response: PullResponse,
    wanted: Wanted,
    turn: PullTurn,
}

/// Applies a response. Returns the busy response if it was incomplete.
fn apply(shared: &Shared, peers: &PeerTable, pulled: Pulled) -> Option<BusyResponse> {
    const SOURCE: &str = "peer";
    let Pulled {
        response,
        wanted,
        turn,
    } = pulled;
    let PullResponse {
        missing,
        rollouts,
        learned,
        limits,
    } = response;
    let now_ms = shared.clock.now_ms();
    shared.fleet().merge_learned(learned, now_ms);
    if let Some(limits) = limits {
        shared.fleet().merge_connection_limits(limits.bounded());
    }
    let hosts = missing.hosts.iter();
    peers.add(hosts.map(|host| (host.address, Some(host.zone))));
    // Evacuations come before endpoints, so that no evacuated endpoint receives requests.
    let mut has_changed = shared.merge_evacuations(&missing.evacuations, SOURCE);
    has_changed |= shared.merge_poison(&missing.poison, SOURCE);
    if let Some(rollouts) = rollouts {
        merge_rollout_update(shared, rollouts, false);
    }
    if let Some(rules) = missing.rules {
        has_changed |= shared.apply_rules_update(rules, SOURCE);
    }
    if let Some(update) = missing.endpoints {
        if apply_endpoints(shared, update, wanted) {
            has_changed = true;
            shared.log_endpoints(SOURCE);
        }
        shared.record_endpoints_known();
    }
    if has_changed && shared.subscription.is_relay() {
        // The hosts of a large zone learn of it only from their relays.
        shared.publish_now.notify_one();
    }
    drop(turn);
    missing.busy
}

fn apply_endpoints(shared: &Shared, update: EndpointUpdate, wanted: Wanted) -> bool {
    let now_ms = shared.clock.now_ms();
    let mut fleet = shared.fleet();
    let in_use = fleet.endpoints_in_use();
    let has_changed = match update {
        EndpointUpdate::Entire { version, endpoints } => {
            let is_as_new = version == fleet.endpoints_version;
            let has_changed = version > fleet.endpoints_version
                || is_as_new && wanted == Wanted::WholeList
                || !fleet.has_full_list();
            if has_changed {
                fleet.replace(endpoints, version, now_ms);
            }
            has_changed
        }
        EndpointUpdate::Changes(rows) => fleet.apply_peer_changes(rows, now_ms),
    };
    let crash_signs = fleet.crash_signs(in_use);
    drop(fleet);
    shared.record_crash_signs(crash_signs);
    has_changed
}
