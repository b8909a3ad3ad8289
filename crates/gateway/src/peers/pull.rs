//! Takes what a host is missing from another one, over tarpc.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use chalkrock_core::Endpoint;
use chalkrock_proto::{ByteCount, transport};
use chalkrock_routing::RulesVersion;
use futures::stream::FuturesUnordered;
use futures::{Stream, StreamExt};
use serde::{Deserialize, Serialize};
use tarpc::server::{BaseChannel, Channel};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::Instant;

use crate::arrival::{Patience, while_arriving};
use crate::clock::ms;
use crate::event_log::{Event, PullOutcome};
use crate::peers::Membership;
use crate::peers::message::NamedHost;
use crate::rules_in_force::RulesNews;
use crate::shared::Shared;
use crate::source::{EndpointRow, StoreVersion};

/// A host that does not read the platform waits this long, so that a host of
/// its own zone may be heard to know as much.
const GATHER: Duration = Duration::from_millis(80);
/// How often a host that knows nothing asks.
const ASK_EVERY: Duration = Duration::from_millis(500);
/// How often a host that starts asks the hosts of its settings, and how long it
/// waits for them.
const ASK_SEEDS_EVERY: Duration = Duration::from_millis(100);
const SEED_TIMEOUT: Duration = Duration::from_millis(200);
/// When a host that has started asks once more which hosts there are: where all
/// have restarted, none knew them at first.
const ASK_HOSTS_AFTER: [Duration; 3] = [
    Duration::from_millis(250),
    Duration::from_millis(400),
    Duration::from_millis(900),
];
/// A host that knows of no more than one in so many is told of all.
const FEW_PART: usize = 2;

/// What a host knows already.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Have {
    pub(crate) rules: RulesVersion,
    /// `None` if it has no list at all: an empty one is a list too.
    pub(crate) endpoints: Option<StoreVersion>,
    /// Hosts that it heard of, itself included.
    pub(crate) hosts: usize,
}

/// The list of endpoints as one host knows it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) enum EndpointNews {
    /// The whole list, as of a version.
    Entire {
        version: StoreVersion,
        endpoints: Vec<Endpoint>,
    },
    /// Its changes since the version that was asked for.
    Changes(Vec<EndpointRow>),
}

/// What another host is missing.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct Missing {
    pub(crate) rules: Option<RulesNews>,
    pub(crate) endpoints: Option<EndpointNews>,
    /// The hosts of the fleet, for one that knows of few.
    pub(crate) hosts: Vec<NamedHost>,
}

#[tarpc::service]
pub(crate) trait PeerApi {
    /// What this host knows beyond `have`.
    async fn missing(have: Have) -> Missing;
}

#[derive(Clone)]
struct Answers {
    shared: Arc<Shared>,
    peers: Arc<Membership>,
}

impl PeerApi for Answers {
    async fn missing(self, _: tarpc::context::Context, have: Have) -> Missing {
        let mut hosts = self.peers.recent();
        if have.hosts > hosts.len() / FEW_PART {
            hosts.clear();
        }
        Missing {
            rules: self.shared.rules.news_since(have.rules),
            endpoints: endpoint_news(&self.shared, have.endpoints),
            hosts,
        }
    }
}

/// What another host is missing of the list, given the version that it has.
fn endpoint_news(shared: &Shared, have: Option<StoreVersion>) -> Option<EndpointNews> {
    if !shared.knows_endpoints() {
        return None;
    }
    let fleet = shared.fleet();
    let whole = || EndpointNews::Entire {
        version: fleet.endpoints_version,
        endpoints: fleet.endpoints.listed(),
    };
    let Some(have) = have else {
        return Some(whole());
    };
    if fleet.endpoints_version <= have {
        return None;
    }
    let changes = fleet.changes_after(have).map(EndpointNews::Changes);
    Some(changes.unwrap_or_else(whole))
}

/// Answers other hosts, until the process ends.
pub(crate) async fn serve_pulls(
    shared: Arc<Shared>,
    peers: Arc<Membership>,
    listener: TcpListener,
) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(ASK_EVERY).await;
            continue;
        };
        let framed = transport(stream, Arc::new(ByteCount::default()));
        let channel = BaseChannel::with_defaults(framed);
        let answers = Answers {
            shared: shared.clone(),
            peers: peers.clone(),
        };
        let answers = answers.serve();
        tokio::spawn(run_requests(channel.execute(answers)));
    }
}

async fn run_requests<F: Future<Output = ()>>(requests: impl Stream<Item = F>) {
    let mut requests = std::pin::pin!(requests);
    while let Some(request) = requests.next().await {
        request.await;
    }
}

/// Asks the hosts of the settings for all that they know, until this host can
/// serve.
pub(crate) async fn pull_at_start(shared: Arc<Shared>, peers: Arc<Membership>) {
    while !shared.has_view() {
        pull_from_seeds(&shared, &peers).await;
        shared.subscription.seeds_asked();
        tokio::select! {
            () = shared.view_known() => {}
            () = tokio::time::sleep(ASK_SEEDS_EVERY) => {}
        }
    }
    // The hosts that were named hear of this one at once.
    shared.publish_now.notify_one();
    for pause in ASK_HOSTS_AFTER {
        tokio::time::sleep(pause).await;
        pull_from_seeds(&shared, &peers).await;
        shared.publish_now.notify_one();
    }
}

/// Asks all hosts of the settings together, until one tells all it takes to
/// serve.
async fn pull_from_seeds(shared: &Shared, peers: &Membership) {
    let seeds = shared.config.peer_seeds.iter();
    let others = seeds.filter(|seed| **seed != peers.own);
    let pulls = others.map(|seed| {
        let have = have(shared, peers);
        pull(shared, *seed, have, SEED_TIMEOUT)
    });
    let mut pulls: FuturesUnordered<_> = pulls.collect();
    while let Some(pulled) = pulls.next().await {
        if let Some(missing) = pulled {
            take(shared, peers, missing);
        }
        if shared.has_view() {
            return;
        }
    }
}

/// Pulls from another host whenever one knows more, until the process ends.
pub(crate) async fn pull_when_behind(shared: Arc<Shared>, peers: Arc<Membership>) {
    // The platform is given a while to tell by itself.
    let patience = ms(shared.config.follow.patience_ms);
    let pull_timeout = ms(shared.config.follow.pull_timeout_ms);
    'behind: loop {
        let asked = tokio::time::timeout(ASK_EVERY, peers.newer_known.notified());
        let knows_of_more = asked.await.is_ok();
        if knows_of_more {
            let pause = match (shared.has_view(), shared.subscription.has_turn()) {
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
            let have = have(&shared, &peers);
            if let Some(missing) = pull(&shared, address, have, pull_timeout).await {
                take(&shared, &peers, missing);
                continue 'behind;
            }
        }
        // No host that knows more can be reached: the platform may be.
        shared.subscription.read_again();
    }
}

fn have(shared: &Shared, peers: &Membership) -> Have {
    Have {
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
    have: Have,
    first_byte: Duration,
) -> Option<Missing> {
    let began_at = Instant::now();
    let count = Arc::new(ByteCount::default());
    let patience = Patience {
        first: first_byte,
        stall: ms(shared.config.follow.stall_ms),
    };
    let asked = ask(from, have, count.clone());
    let (outcome, missing) = match while_arriving(asked, || count.read_bytes(), patience).await {
        Some(Some(missing)) => {
            let outcome = missing.rules.as_ref().map(|_| PullOutcome::Rules);
            (outcome, Some(missing))
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

async fn ask(address: SocketAddr, have: Have, count: Arc<ByteCount>) -> Option<Missing> {
    let stream = TcpStream::connect(address).await.ok()?;
    let framed = transport(stream, count);
    let client = PeerApiClient::new(tarpc::client::Config::default(), framed).spawn();
    client.missing(tarpc::context::current(), have).await.ok()
}

fn take(shared: &Shared, peers: &Membership, missing: Missing) {
    const FROM: &str = "peer";
    let hosts = missing.hosts.iter();
    peers.add(hosts.map(|host| (host.address, Some(host.zone))));
    if let Some(rules) = missing.rules {
        shared.take_rules_news(rules, FROM);
    }
    if let Some(news) = missing.endpoints {
        if take_endpoints(shared, news) {
            shared.log_endpoints(FROM);
        }
        shared.endpoints_known();
    }
    if shared.subscription.is_relay() {
        // The hosts of a large zone hear of it from their relays only.
        shared.publish_now.notify_one();
    }
}

fn take_endpoints(shared: &Shared, news: EndpointNews) -> bool {
    let now_ms = shared.clock.now_ms();
    let knew_any = shared.knows_endpoints();
    let mut fleet = shared.fleet();
    match news {
        EndpointNews::Entire { version, endpoints } => {
            let is_news = version > fleet.endpoints_version || !knew_any;
            if is_news {
                fleet.replace(endpoints, version, now_ms);
            }
            is_news
        }
        EndpointNews::Changes(rows) => fleet.take_changes(rows, now_ms),
    }
}
