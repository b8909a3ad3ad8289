//! Answers other hosts that ask what they are missing, over tarpc.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use chalkrock_proto::{ByteCount, transport};
use chalkrock_routing::StoreVersion;
use futures::{Stream, StreamExt};
use tarpc::server::{BaseChannel, Channel};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::OwnedSemaphorePermit;

use crate::active_rules::RulesUpdate;
use crate::arrival::{IdleLimits, while_arriving};
use crate::clock::ms;
use crate::outage_log::OutageLog;
use crate::peers::PeerTable;
use crate::peers::api::{
    BusyResponse, EndpointUpdate, KnownVersions, MissingState, PeerApi, SupplementaryState,
};
use crate::peers::rollouts::news_of;
use crate::peers::uploads::Uploads;
use crate::shared::Shared;

/// Pause after the system could not accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(500);
/// A host that knows of no more than one in so many is sent the names of all.
const FEW_PART: usize = 2;
/// Routes, organisations and endpoints that are passed on to any number of
/// hosts at once: some 16 KB, or 13 ms of a link of 10 Mbit/s. A host that
/// starts before 160 endpoints takes all from the first that it asks.
const SMALL_ENTRIES: usize = 256;

/// Requests that are sent no further, as far as an answer names them: 14 KB.
const POISON_MAX: usize = 1_024;

/// Answers other hosts, until the process ends.
pub(crate) async fn serve_pulls(shared: Arc<Shared>, peers: Arc<PeerTable>, listener: TcpListener) {
    let uploads = Arc::new(Uploads::new(shared.config.uploads_max));
    let mut outage = OutageLog::new("peers-socket");
    loop {
        let stream = outage.accept(&shared, &listener, ACCEPT_PAUSE).await;
        let answers = Answers {
            shared: shared.clone(),
            peers: peers.clone(),
            uploads: uploads.clone(),
            upload: Arc::default(),
        };
        tokio::spawn(serve(answers, stream));
    }
}

/// Answers one connection until it is closed, or until nothing moves on it: a
/// host that has gone shall not keep others from their turn.
async fn serve(answers: Answers, stream: TcpStream) {
    let count = Arc::new(ByteCount::default());
    let between_bytes = ms(answers.shared.config.follow.stall_ms);
    let limits = IdleLimits {
        first_byte: between_bytes,
        between_bytes,
    };
    let channel = BaseChannel::with_defaults(transport(stream, count.clone()));
    let requests = run_requests(channel.execute(answers.serve()));
    let moved = || count.read_bytes() + count.written_bytes();
    let _closed_either_way = while_arriving(requests, moved, limits).await;
}

async fn run_requests<F: Future<Output = ()>>(requests: impl Stream<Item = F>) {
    let mut requests = std::pin::pin!(requests);
    while let Some(request) = requests.next().await {
        request.await;
    }
}

/// Answers the requests of one connection.
#[derive(Clone)]
struct Answers {
    shared: Arc<Shared>,
    peers: Arc<PeerTable>,
    uploads: Arc<Uploads>,
    /// Held from an answer with many entries until the connection ends, as it
    /// does when the answer has arrived.
    upload: Arc<Mutex<Option<OwnedSemaphorePermit>>>,
}

impl PeerApi for Answers {
    async fn missing(self, _: tarpc::context::Context, have: KnownVersions) -> MissingState {
        let mut hosts = self.peers.recent();
        if have.hosts > hosts.len() / FEW_PART {
            hosts.clear();
        }
        self.shared.detect_suspension();
        let now_ms = self.shared.clock.now_ms();
        let poison = self
            .shared
            .fleet()
            .poison
            .poison_requests(POISON_MAX, now_ms);
        let missing = MissingState {
            rules: self.shared.rules.update_since(have.rules),
            endpoints: endpoint_news(&self.shared, have.endpoints),
            evacuations: self.shared.fleet().evacuations.clone(),
            poison,
            is_fresh: self.shared.has_view(),
            hosts,
            busy: None,
        };
        self.within_uploads(missing, have.address)
    }

    async fn besides(self, _: tarpc::context::Context) -> SupplementaryState {
        let now_ms = self.shared.clock.now_ms();
        let fleet = self.shared.fleet();
        SupplementaryState {
            builds: fleet.known_builds(),
            rollouts: news_of(&fleet, now_ms),
        }
    }
}

impl Answers {
    /// An answer as it may be sent now: what is large only while few such are
    /// on their way.
    fn within_uploads(&self, missing: MissingState, to: SocketAddr) -> MissingState {
        let rules = missing.rules.as_ref().map_or(0, RulesUpdate::entries);
        let endpoints = missing
            .endpoints
            .as_ref()
            .map_or(0, EndpointUpdate::entries);
        if rules + endpoints <= SMALL_ENTRIES {
            return missing;
        }
        let version = self.shared.rules.version();
        let Some(permit) = self.uploads.begin(version, to) else {
            let busy = BusyResponse {
                rules: version,
                endpoints: self.shared.fleet().endpoints_version,
                ask: self.uploads.takers(version),
            };
            return MissingState {
                rules: missing.rules.filter(|_| rules <= SMALL_ENTRIES),
                endpoints: missing.endpoints.filter(|_| endpoints <= SMALL_ENTRIES),
                busy: Some(busy),
                ..missing
            };
        };
        let mut upload = self.upload.lock().unwrap_or_else(PoisonError::into_inner);
        *upload = Some(permit);
        missing
    }
}

/// What another host is missing of the list, given the version that it has.
fn endpoint_news(shared: &Shared, have: Option<StoreVersion>) -> Option<EndpointUpdate> {
    if !shared.knows_endpoints() {
        return None;
    }
    let now_ms = shared.clock.now_ms();
    let fleet = shared.fleet();
    let whole = || EndpointUpdate::Entire {
        version: fleet.endpoints_version,
        endpoints: fleet.listed(now_ms),
    };
    let Some(have) = have else {
        return Some(whole());
    };
    if fleet.endpoints_version <= have {
        return None;
    }
    let changes = fleet
        .changes_after(have, now_ms)
        .map(EndpointUpdate::Changes);
    Some(changes.unwrap_or_else(whole))
}
