//! Takes what a host is missing from another one, over tarpc.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use chalkrock_core::Endpoint;
use chalkrock_proto::{ByteCount, transport};
use chalkrock_routing::{RulesDocument, RulesVersion};
use futures::{Stream, StreamExt};
use serde::{Deserialize, Serialize};
use tarpc::server::{BaseChannel, Channel};
use tokio::net::{TcpListener, TcpStream};

use crate::peers::Peers;
use crate::shared::Shared;
use crate::source::StoreVersion;

/// The platform is given this long to tell by itself.
const PATIENCE: Duration = Duration::from_millis(300);
/// How long a pull may take.
const PULL_TIMEOUT: Duration = Duration::from_millis(1_500);
/// How often a host that knows nothing asks.
const ASK_EVERY: Duration = Duration::from_millis(500);

/// What a host knows already.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Have {
    pub(crate) rules: RulesVersion,
    /// `None` if it has no list at all: an empty one is a list too.
    pub(crate) endpoints: Option<StoreVersion>,
}

/// The list of endpoints as one host knows it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct EndpointList {
    pub(crate) version: StoreVersion,
    pub(crate) endpoints: Vec<Endpoint>,
}

/// What another host is missing.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct Missing {
    pub(crate) rules: Option<RulesDocument>,
    pub(crate) endpoints: Option<EndpointList>,
}

#[tarpc::service]
pub(crate) trait PeerApi {
    /// What this host knows beyond `have`.
    async fn missing(have: Have) -> Missing;
}

#[derive(Clone)]
struct Answers(Arc<Shared>);

impl PeerApi for Answers {
    async fn missing(self, _: tarpc::context::Context, have: Have) -> Missing {
        let rules = self.0.rules().filter(|rules| rules.version() > have.rules);
        let fleet = self.0.fleet();
        let is_newer = have
            .endpoints
            .is_none_or(|known| fleet.endpoints_version > known);
        Missing {
            rules: rules.map(|rules| RulesDocument::clone(rules.document())),
            endpoints: (is_newer && self.0.knows_endpoints()).then(|| EndpointList {
                version: fleet.endpoints_version,
                endpoints: fleet.endpoints.listed(),
            }),
        }
    }
}

/// Answers other hosts, until the process ends.
pub(crate) async fn serve_pulls(shared: Arc<Shared>, listener: TcpListener) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(ASK_EVERY).await;
            continue;
        };
        let framed = transport(stream, Arc::new(ByteCount::default()));
        let channel = BaseChannel::with_defaults(framed);
        let answers = Answers(shared.clone()).serve();
        tokio::spawn(run_requests(channel.execute(answers)));
    }
}

async fn run_requests<F: Future<Output = ()>>(requests: impl Stream<Item = F>) {
    let mut requests = std::pin::pin!(requests);
    while let Some(request) = requests.next().await {
        request.await;
    }
}

/// Pulls from another host whenever one knows more, until the process ends.
pub(crate) async fn pull_when_behind(shared: Arc<Shared>, peers: Arc<Peers>) {
    loop {
        let asked = tokio::time::timeout(ASK_EVERY, peers.is_behind.notified());
        let knows_of_more = asked.await.is_ok();
        if knows_of_more {
            tokio::time::sleep(PATIENCE).await;
        } else if shared.has_view() {
            continue;
        }
        let Some(address) = peers.take_ahead().or_else(|| peers.any()) else {
            continue;
        };
        let have = have(&shared);
        let pulled = tokio::time::timeout(PULL_TIMEOUT, pull(address, have)).await;
        if let Ok(Some(missing)) = pulled {
            take(&shared, missing);
        }
    }
}

fn have(shared: &Shared) -> Have {
    Have {
        rules: shared
            .rules()
            .map(|rules| rules.version())
            .unwrap_or_default(),
        endpoints: shared
            .knows_endpoints()
            .then(|| shared.fleet().endpoints_version),
    }
}

async fn pull(address: SocketAddr, have: Have) -> Option<Missing> {
    let stream = TcpStream::connect(address).await.ok()?;
    let framed = transport(stream, Arc::new(ByteCount::default()));
    let client = PeerApiClient::new(tarpc::client::Config::default(), framed).spawn();
    client.missing(tarpc::context::current(), have).await.ok()
}

fn take(shared: &Shared, missing: Missing) {
    const FROM: &str = "peer";
    let mut is_news = false;
    if let Some(rules) = missing.rules {
        is_news |= shared.take_rules(rules, FROM);
    }
    if let Some(list) = missing.endpoints {
        let now_ms = shared.clock.now_ms();
        let mut fleet = shared.fleet();
        if list.version > fleet.endpoints_version || !shared.knows_endpoints() {
            fleet.replace(list.endpoints, list.version, now_ms);
            is_news = true;
            drop(fleet);
            shared.tell_endpoints(FROM);
            shared.endpoints_known();
        }
    }
    // The platform did not tell in time: what it tells next may be late too.
    if is_news {
        shared.read_again.notify_waiters();
    }
}
