//! Answers pull requests of other hosts, over tarpc.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use chalkrock_proto::{ByteCounter, transport};
use chalkrock_routing::{ConnectionLimits, LearnedState, StoreVersion};
use futures::{Stream, StreamExt};
use tarpc::server::{BaseChannel, Channel};
use tokio::net::{TcpListener, TcpStream};

use crate::active_rules::RulesUpdate;
use crate::arrival::{IdleLimits, while_arriving};
use crate::clock::ms;
use crate::fleet::Fleet;
use crate::metrics::{ConnectionBytes, ControlKind};
use crate::outage_log::OutageLog;
use crate::peers::PeerTable;
use crate::peers::api::{
    BuildsUpdate, BusyResponse, EndpointUpdate, KnownVersions, MissingState, PeerApi, RowBuilds,
    Snapshot, SupplementaryState,
};
use crate::peers::rollouts::{RolloutUpdate, rollout_update};
use crate::peers::uploads::{Upload, Uploads};
use crate::shared::Shared;

const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(500);
/// A requester that knows at most the host count divided by this receives all hosts.
const FEW_HOSTS_DIVISOR: usize = 2;
/// Responses with at most this many entries, about 16 KB or 13 ms of a 10 Mbit/s link, need
/// no transfer slot. A list of 160 endpoints fits.
const MAX_UNLIMITED_ENTRIES: usize = 256;
/// Mean size of an entry: 5,600 routes take 0.34 MB.
const ENTRY_BYTES: usize = 61;
/// Poison requests in a response, about 14 KB.
const MAX_POISON_REQUESTS: usize = 1_024;

pub(crate) async fn serve_pulls(shared: Arc<Shared>, peers: Arc<PeerTable>, listener: TcpListener) {
    let uploads = Arc::new(Uploads::new(
        shared.config.uploads_max,
        shared.config.capacity.link_mbps,
    ));
    let mut outage = OutageLog::new("peers-socket");
    loop {
        let stream = outage.accept(&shared, &listener, ACCEPT_RETRY_DELAY).await;
        let server = PeerServer {
            shared: shared.clone(),
            peers: peers.clone(),
            uploads: uploads.clone(),
            upload: Arc::default(),
            builds_revision: Arc::default(),
        };
        tokio::spawn(serve_connection(server, stream));
    }
}

/// Answers one connection until it closes or stalls, so that an unreachable host does not
/// hold a transfer slot.
async fn serve_connection(server: PeerServer, stream: TcpStream) {
    let shared = server.shared.clone();
    let count = Arc::new(ByteCounter::default());
    let _counts_when_dropped = ConnectionBytes::new(&shared, ControlKind::Serve, count.clone());
    let between_bytes = ms(server.shared.config.follow.stall_ms);
    let idle_limits = IdleLimits {
        first_byte: between_bytes,
        between_bytes,
    };
    let channel = BaseChannel::with_defaults(transport(stream, count.clone()));
    let requests = run_requests(channel.execute(server.serve()));
    let transferred_bytes = || count.read_bytes() + count.written_bytes();
    let _closed_either_way = while_arriving(requests, transferred_bytes, idle_limits).await;
}

async fn run_requests<F: Future<Output = ()>>(requests: impl Stream<Item = F>) {
    let mut requests = std::pin::pin!(requests);
    while let Some(request) = requests.next().await {
        request.await;
    }
}

#[derive(Clone)]
struct PeerServer {
    shared: Arc<Shared>,
    peers: Arc<PeerTable>,
    uploads: Arc<Uploads>,
    /// The transfer of a large response, until the connection ends.
    upload: Arc<Mutex<Option<Upload>>>,
    builds_revision: Arc<Mutex<Option<u64>>>,
}

impl PeerApi for PeerServer {
    async fn missing(self, _: tarpc::context::Context, have: KnownVersions) -> MissingState {
        let state = self.state_beyond(have, None);
        let has_rows = state.missing.endpoints.is_some();
        if has_rows && *self.builds_revision() != Some(state.list_revision) {
            let busy = self.busy_response(Vec::new());
            return MissingState {
                endpoints: None,
                busy: Some(busy),
                ..state.missing
            };
        }
        self.limit_uploads(state.missing, have.address)
    }

    async fn besides(self, _: tarpc::context::Context) -> SupplementaryState {
        let now_ms = self.shared.clock.now_ms();
        let fleet = self.shared.fleet();
        let mut revision = self.builds_revision();
        *revision = Some(fleet.list_revision());
        SupplementaryState {
            builds: fleet.known_builds(),
            rollouts: rollout_update(&fleet, now_ms),
        }
    }

    async fn learned(self, _: tarpc::context::Context) -> LearnedState {
        let now_ms = self.shared.clock.now_ms();
        self.shared.fleet().learned(now_ms)
    }

    async fn snapshot(self, _: tarpc::context::Context, have: KnownVersions) -> Snapshot {
        self.snapshot_beyond(have, None)
    }

    async fn connection_limits(self, _: tarpc::context::Context) -> ConnectionLimits {
        self.shared.fleet().connection_limits().clone()
    }

    async fn snapshot_of_list(
        self,
        _: tarpc::context::Context,
        have: KnownVersions,
        list_content: u64,
    ) -> Snapshot {
        self.snapshot_beyond(have, Some(list_content))
    }

    async fn builds(self, _: tarpc::context::Context) -> Option<BuildsUpdate> {
        self.shared.detect_suspension();
        if !self.shared.has_view() {
            return None;
        }
        let now_ms = self.shared.clock.now_ms();
        self.shared.fleet().builds_update(now_ms)
    }
}

/// State beyond what a requester has. Its endpoints, evacuations, poison requests and rollouts
/// are of one moment; its rules have a version of their own and may be older.
struct StateBeyond {
    missing: MissingState,
    /// Revision of the list of endpoints.
    list_revision: u64,
    rollouts: Option<RolloutUpdate>,
}

impl PeerServer {
    fn snapshot_beyond(&self, have: KnownVersions, list_content: Option<u64>) -> Snapshot {
        let state = self.state_beyond(have, list_content);
        let missing = self.limit_uploads(state.missing, have.address);
        Snapshot {
            row_builds: RowBuilds::of(missing.endpoints.as_ref()),
            missing,
            rollouts: state.rollouts,
        }
    }

    fn state_beyond(&self, have: KnownVersions, list_content: Option<u64>) -> StateBeyond {
        let mut hosts = self.peers.recent();
        if have.hosts > hosts.len() / FEW_HOSTS_DIVISOR {
            hosts.clear();
        }
        self.shared.detect_suspension();
        let is_fresh = self.shared.has_view();
        let knows_endpoints = self.shared.knows_endpoints();
        let rules = self.shared.rules.update_since(have.rules);
        let now_ms = self.shared.clock.now_ms();
        let mut fleet = self.shared.fleet();
        let endpoints = knows_endpoints
            .then(|| endpoint_update(&mut fleet, have.endpoints, list_content, now_ms));
        StateBeyond {
            missing: MissingState {
                rules,
                endpoints: endpoints.flatten(),
                evacuations: fleet.evacuations.clone(),
                poison: fleet.poison.poison_requests(MAX_POISON_REQUESTS, now_ms),
                is_fresh,
                hosts,
                busy: None,
            },
            list_revision: fleet.list_revision(),
            rollouts: rollout_update(&fleet, now_ms),
        }
    }

    /// Revision of the list whose builds this connection has sent.
    fn builds_revision(&self) -> MutexGuard<'_, Option<u64>> {
        let revision = self.builds_revision.lock();
        revision.unwrap_or_else(PoisonError::into_inner)
    }

    fn busy_response(&self, ask: Vec<SocketAddr>) -> BusyResponse {
        BusyResponse {
            rules: self.shared.rules.version(),
            endpoints: self.shared.fleet().endpoints_version,
            ask,
        }
    }

    /// Limits concurrent large responses: without a free slot, returns only small parts and
    /// a busy response.
    fn limit_uploads(&self, missing: MissingState, to: SocketAddr) -> MissingState {
        let rules = missing.rules.as_ref().map_or(0, RulesUpdate::entry_count);
        let endpoints = missing
            .endpoints
            .as_ref()
            .map_or(0, EndpointUpdate::entries);
        if rules + endpoints <= MAX_UNLIMITED_ENTRIES {
            return missing;
        }
        let version = self.shared.rules.version();
        let Some(begun) = self
            .uploads
            .begin(version, to, (rules + endpoints) * ENTRY_BYTES)
        else {
            let busy = self.busy_response(self.uploads.recipients(version));
            return MissingState {
                rules: missing.rules.filter(|_| rules <= MAX_UNLIMITED_ENTRIES),
                endpoints: missing
                    .endpoints
                    .filter(|_| endpoints <= MAX_UNLIMITED_ENTRIES),
                busy: Some(busy),
                ..missing
            };
        };
        let mut upload = self.upload.lock().unwrap_or_else(PoisonError::into_inner);
        *upload = Some(begun);
        missing
    }
}

/// The entries that a requester lacks whose list is of the version `have`.
fn endpoint_update(
    fleet: &mut Fleet,
    have: Option<StoreVersion>,
    list_content: Option<u64>,
    now_ms: u64,
) -> Option<EndpointUpdate> {
    if have.is_some_and(|have| fleet.endpoints_version <= have) {
        return None;
    }
    let mut changes = have.and_then(|have| fleet.changes_after(have, now_ms));
    // A list of an earlier era may hold entries that the restored store lacks.
    let is_of_era = have.is_some_and(|have| have.era() == fleet.endpoints_version.era());
    if changes.is_none() && is_of_era && list_content == Some(fleet.list_content()) {
        changes = fleet.version_row(now_ms).map(|row| vec![row]);
    }
    Some(match changes {
        Some(changes) => EndpointUpdate::Changes(changes),
        None => EndpointUpdate::Entire {
            version: fleet.endpoints_version,
            endpoints: fleet.listed(now_ms),
        },
    })
}
