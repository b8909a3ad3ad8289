//! Takes what a host is missing from another one.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::sync::Arc;
use std::time::Duration;

use chalkrock_core::{BuildVersion, PoolId};
use chalkrock_proto::{ByteCount, transport};
use futures::StreamExt;
use futures::stream::FuturesUnordered;
use rand::RngExt;
use rand::seq::IteratorRandom;
use tokio::net::TcpStream;
use tokio::time::Instant;

use crate::arrival::{IdleLimits, while_arriving};
use crate::clock::ms;
use crate::event_log::{Event, PullOutcome};
use crate::peers::PeerTable;
use crate::peers::api::{
    BusyResponse, EndpointUpdate, KnownBuilds, KnownVersions, MissingState, PeerApiClient,
    SupplementaryState,
};
use crate::peers::rollouts::merge_news;
use crate::shared::Shared;
use crate::source::{EndpointChange, ListedEndpoint};

/// A host that does not read the platform waits this long, so that it may learn
/// of a host of its own zone that knows as much.
const GATHER: Duration = Duration::from_millis(80);
/// How often a host that knows nothing asks.
const ASK_EVERY: Duration = Duration::from_millis(500);
/// How often a host that starts asks the hosts of its settings at first, and at
/// last: pauses double, and each is drawn from there to twice as long. Where all
/// restart these few are asked by every one, and 300 hosts that asked them each
/// 100 ms kept them from passing anything on.
const ASK_SEEDS_FIRST: Duration = Duration::from_millis(50);
const ASK_SEEDS_LAST: Duration = Duration::from_millis(400);
/// How long it waits for the first byte of their answers.
const SEED_TIMEOUT: Duration = Duration::from_millis(200);
/// When a host that has started asks once more which hosts there are: where all
/// have restarted, none knew them at first.
const ASK_HOSTS_AFTER: [Duration; 3] = [
    Duration::from_millis(250),
    Duration::from_millis(400),
    Duration::from_millis(900),
];
/// Pause, in milliseconds, before a host that is busy is asked again, or
/// another one that it named; each pause is drawn. A transfer of 80 KB takes
/// 65 ms on a link of 10 Mbit/s.
const BUSY_PAUSE_MS: RangeInclusive<u64> = 20..=100;
/// How often hosts that are busy are asked before others are: for three
/// seconds in the mean.
const BUSY_TRIES: usize = 50;

/// Asks the hosts of the settings for all that they know, until this host can
/// serve.
pub(crate) async fn pull_at_start(shared: Arc<Shared>, peers: Arc<PeerTable>) {
    let mut pause = ASK_SEEDS_FIRST;
    while !shared.has_view() {
        // What still arrives when the view is known from elsewhere is not
        // waited for: it would fill this host's link and the other's.
        tokio::select! {
            () = shared.wait_until_view_known() => {}
            () = pull_from_seeds(&shared, &peers) => {}
        }
        shared.subscription.mark_seeds_queried();
        tokio::select! {
            () = shared.wait_until_view_known() => {}
            () = tokio::time::sleep(pause.mul_f64(rand::rng().random_range(1.0..2.0))) => {}
        }
        pause = (2 * pause).min(ASK_SEEDS_LAST);
    }
    // Sends a heartbeat to the hosts that were named.
    shared.publish_now.notify_one();
    for pause in ASK_HOSTS_AFTER {
        tokio::time::sleep(pause).await;
        pull_from_seeds(&shared, &peers).await;
        shared.publish_now.notify_one();
    }
}

/// Asks all hosts of the settings together, until one passes on all it takes to
/// serve, and then one of those that they name while they are busy.
async fn pull_from_seeds(shared: &Shared, peers: &PeerTable) {
    let seeds = shared.config.peer_seeds.iter();
    let others = seeds.filter(|seed| **seed != peers.own);
    let pulls = others.map(|seed| {
        let have = have(shared, peers);
        pull(shared, *seed, have, SEED_TIMEOUT)
    });
    let mut pulls: FuturesUnordered<_> = pulls.collect();
    let mut named = None;
    while let Some(pulled) = pulls.next().await {
        let busy = pulled.and_then(|missing| take(shared, peers, missing));
        if shared.has_view() {
            return;
        }
        named = busy.and_then(|busy| named_by(&busy, peers)).or(named);
    }
    if let Some(named) = named {
        let have = have(shared, peers);
        let missing = pull(shared, named, have, SEED_TIMEOUT).await;
        missing.and_then(|missing| take(shared, peers, missing));
    }
}

/// Pulls from another host whenever one knows more, until the process ends.
pub(crate) async fn pull_when_outdated(shared: Arc<Shared>, peers: Arc<PeerTable>) {
    // The platform may answer within this, which costs no transfer.
    let patience = ms(shared.config.follow.store_wait_ms);
    'behind: loop {
        let asked = tokio::time::timeout(ASK_EVERY, peers.newer_known.notified());
        let knows_of_more = asked.await.is_ok();
        if knows_of_more {
            let pause = match (shared.has_view(), shared.subscription.is_subscriber()) {
                (false, _) => Duration::ZERO,
                (true, true) => patience,
                (true, false) => GATHER,
            };
            tokio::time::sleep(pause).await;
        } else if shared.has_view() {
            continue;
        }
        let Some(first) = peers.take_newer().or_else(|| peers.any()) else {
            continue;
        };
        // Whoever knows more may have gone meanwhile; by now others know it too.
        let second = peers.any().filter(|address| *address != first);
        for address in [Some(first), second].into_iter().flatten() {
            if catch_up(&shared, &peers, address).await != CaughtUp::No {
                continue 'behind;
            }
        }
        // No host that knows more can be reached: the platform may be.
        shared.subscription.request_reread();
    }
}

/// Takes what is missing from one of two other hosts, any of them. Returns whether
/// one could be asked that did not stand still itself.
pub(crate) async fn catch_up_with_any(shared: &Shared, peers: &PeerTable) -> bool {
    const TRIES: usize = 2;
    for _ in 0..TRIES {
        let Some(address) = peers.any() else {
            return false;
        };
        if catch_up(shared, peers, address).await == CaughtUp::WithFresh {
            return true;
        }
    }
    false
}

/// What became of taking what is missing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CaughtUp {
    /// The host was not busy, and did not stand still of late.
    WithFresh,
    /// It was not busy.
    WithStale,
    /// It could not be asked, or was busy for too long.
    No,
}

/// Takes what is missing from a host that knows more, and from those it names
/// while it is busy.
async fn catch_up(shared: &Shared, peers: &PeerTable, first: SocketAddr) -> CaughtUp {
    let first_byte = ms(shared.config.follow.pull_timeout_ms);
    let mut from = first;
    for _ in 0..BUSY_TRIES {
        let have = have(shared, peers);
        let Some(missing) = pull(shared, from, have, first_byte).await else {
            if from == first {
                return CaughtUp::No;
            }
            // One that it named has gone.
            from = first;
            continue;
        };
        let done = if missing.0.is_fresh {
            CaughtUp::WithFresh
        } else {
            CaughtUp::WithStale
        };
        let Some(busy) = take(shared, peers, missing) else {
            return done;
        };
        let pause_ms = rand::rng().random_range(BUSY_PAUSE_MS);
        tokio::time::sleep(ms(pause_ms)).await;
        if !is_behind(shared, &busy) {
            return done;
        }
        from = named_by(&busy, peers).unwrap_or(first);
    }
    CaughtUp::No
}

/// Whether a host that was busy still knows more.
fn is_behind(shared: &Shared, busy: &BusyResponse) -> bool {
    busy.rules > shared.rules.version() || busy.endpoints > shared.fleet().endpoints_version
}

/// Another host that may know as much as one that is busy.
fn named_by(busy: &BusyResponse, peers: &PeerTable) -> Option<SocketAddr> {
    let others = busy.ask.iter().filter(|address| **address != peers.own);
    others.choose(&mut rand::rng()).copied()
}

fn have(shared: &Shared, peers: &PeerTable) -> KnownVersions {
    KnownVersions {
        address: peers.own,
        hosts: peers.recent().len(),
        rules: shared.rules.version(),
        endpoints: shared
            .knows_endpoints()
            .then(|| shared.fleet().endpoints_version),
    }
}

/// Takes from another host what this one is missing, and logs what became of it.
async fn pull(
    shared: &Shared,
    from: SocketAddr,
    have: KnownVersions,
    first_byte: Duration,
) -> Option<(MissingState, SupplementaryState)> {
    let began_at = Instant::now();
    let count = Arc::new(ByteCount::default());
    let patience = IdleLimits {
        first_byte,
        between_bytes: ms(shared.config.follow.stall_ms),
    };
    let asked = ask(from, have, count.clone());
    let (outcome, missing) = match while_arriving(asked, || count.read_bytes(), patience).await {
        Some(Some((missing, besides))) => {
            let outcome = match (&missing.busy, &missing.rules) {
                (Some(_), _) => Some(PullOutcome::Busy),
                (None, Some(_)) => Some(PullOutcome::Rules),
                (None, None) => None,
            };
            (outcome, Some((missing, besides)))
        }
        Some(None) => (Some(PullOutcome::Broken), None),
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
            took_ms: began_at.elapsed().as_millis() as u64,
        });
    }
    missing
}

/// Asks another host for what this one is missing. What else it knows of endpoints is
/// asked first: a list that has come is then used at once. A host of an earlier build
/// breaks off at that, and is asked for the rest alone.
async fn ask(
    address: SocketAddr,
    have: KnownVersions,
    count: Arc<ByteCount>,
) -> Option<(MissingState, SupplementaryState)> {
    let client = connect(address, count.clone()).await?;
    if let Ok(besides) = client.besides(tarpc::context::current()).await {
        let missing = client.missing(tarpc::context::current(), have).await.ok()?;
        return Some((missing, besides));
    }
    let client = connect(address, count).await?;
    let missing = client.missing(tarpc::context::current(), have).await.ok()?;
    Some((missing, SupplementaryState::default()))
}

async fn connect(address: SocketAddr, count: Arc<ByteCount>) -> Option<PeerApiClient> {
    let stream = TcpStream::connect(address).await.ok()?;
    let framed = transport(stream, count);
    Some(PeerApiClient::new(tarpc::client::Config::default(), framed).spawn())
}

/// Takes what another host passed on. Returns what it says of itself if it was
/// too busy to pass on all.
fn take(
    shared: &Shared,
    peers: &PeerTable,
    (missing, besides): (MissingState, SupplementaryState),
) -> Option<BusyResponse> {
    const FROM: &str = "peer";
    let hosts = missing.hosts.iter();
    peers.add(hosts.map(|host| (host.address, Some(host.zone))));
    // Before the endpoints, so that none of an evacuated zone is sent anything.
    let mut is_news = shared.merge_evacuations(&missing.evacuations, FROM);
    is_news |= shared.merge_poison(&missing.poison, FROM);
    if let Some(rollouts) = besides.rollouts {
        merge_news(shared, rollouts, false);
    }
    if let Some(rules) = missing.rules {
        is_news |= shared.apply_rules_update(rules, FROM);
    }
    if let Some(news) = missing.endpoints {
        if take_endpoints(shared, with_builds(news, &besides.builds)) {
            is_news = true;
            shared.log_endpoints(FROM);
        }
        shared.record_endpoints_known();
    }
    if is_news && shared.subscription.is_relay() {
        // The hosts of a large zone learn of it from their relays only.
        shared.publish_now.notify_one();
    }
    missing.busy
}

/// The list of endpoints with the software that each runs, as far as it was told.
fn with_builds(mut news: EndpointUpdate, builds: &KnownBuilds) -> EndpointUpdate {
    let others: HashMap<u32, &BuildVersion> = builds
        .others
        .iter()
        .map(|(start, build)| (*start, build))
        .collect();
    let usual: HashMap<&PoolId, &BuildVersion> = builds
        .usual
        .iter()
        .map(|(pool, build)| (pool, build))
        .collect();
    let tell = |listed: &mut ListedEndpoint| {
        let endpoint = &mut listed.endpoint;
        let start = endpoint.start_hash().short();
        let build = others.get(&start).or_else(|| usual.get(&endpoint.pool));
        if let Some(build) = build {
            endpoint.build = BuildVersion::clone(build);
        }
    };
    match &mut news {
        EndpointUpdate::Entire { endpoints, .. } => endpoints.iter_mut().for_each(tell),
        EndpointUpdate::Changes(rows) => {
            let changes = rows.iter_mut().map(|row| &mut row.change);
            changes
                .filter_map(|change| match change {
                    EndpointChange::Listed(listed) => Some(listed),
                    EndpointChange::Gone(_) | EndpointChange::Unreadable(_) => None,
                })
                .for_each(tell);
        }
    }
    news
}

fn take_endpoints(shared: &Shared, news: EndpointUpdate) -> bool {
    let now_ms = shared.clock.now_ms();
    let knew_any = shared.knows_endpoints();
    let mut fleet = shared.fleet();
    match news {
        EndpointUpdate::Entire { version, endpoints } => {
            let is_news = version > fleet.endpoints_version || !knew_any;
            if is_news {
                fleet.replace(endpoints, version, now_ms);
            }
            is_news
        }
        EndpointUpdate::Changes(rows) => fleet.apply_changes(rows, now_ms),
    }
}
