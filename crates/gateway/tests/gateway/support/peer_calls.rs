//! The calls between hosts, as this build and the one before it make and answer them.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use chalkrock_core::{BuildVersion, Endpoint, PoolId};
use chalkrock_gateway::{EndpointChange, EndpointRow, ListedEndpoint};
use chalkrock_proto::{ByteCounter, transport};
use chalkrock_routing::{
    Evacuations, LearnedState, PoisonRequest, RulesDocument, RulesVersion, StoreVersion,
};
use futures::StreamExt;
use serde::{Deserialize, Serialize};
use tarpc::context::{Context, current};
use tarpc::server::{BaseChannel, Channel};
use tokio::net::{TcpListener, TcpStream};

use super::TestGateway;

#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub(crate) struct KnownVersions {
    address: SocketAddr,
    rules: RulesVersion,
    endpoints: Option<StoreVersion>,
    hosts: usize,
}

impl KnownVersions {
    /// What a host knows that has the rules and a version of the list.
    pub(crate) fn endpoints(endpoints: Option<u64>) -> Self {
        Self {
            address: "127.0.0.1:9".parse().expect("an address"),
            rules: RulesVersion(u64::MAX),
            endpoints: endpoints.map(StoreVersion),
            hosts: usize::MAX,
        }
    }
}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) enum RulesUpdate {
    Entire(RulesDocument),
}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) enum EndpointUpdate {
    Entire {
        version: StoreVersion,
        endpoints: Vec<ListedEndpoint>,
    },
    Changes(Vec<EndpointRow>),
}

impl EndpointUpdate {
    fn listed(&self) -> Vec<&Endpoint> {
        match self {
            Self::Entire { endpoints, .. } => {
                let listed = endpoints.iter();
                listed.map(|listed| &listed.endpoint).collect()
            }
            Self::Changes(rows) => {
                let listed = rows.iter().filter_map(|row| match &row.change {
                    EndpointChange::Listed(listed) => Some(&listed.endpoint),
                    EndpointChange::Gone(_) | EndpointChange::Unreadable(_) => None,
                });
                listed.collect()
            }
        }
    }
}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct BusyResponse {
    rules: RulesVersion,
    pub(crate) endpoints: StoreVersion,
    ask: Vec<SocketAddr>,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct HostContact {
    address: SocketAddr,
    zone: u32,
}

#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(crate) struct MissingState {
    rules: Option<RulesUpdate>,
    pub(crate) endpoints: Option<EndpointUpdate>,
    evacuations: Evacuations,
    poison: Vec<PoisonRequest>,
    is_fresh: bool,
    hosts: Vec<HostContact>,
    pub(crate) busy: Option<BusyResponse>,
}

/// No test of these calls orders a rollout.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) enum NoRollouts {}

#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(crate) struct SupplementaryState {
    usual: Vec<(PoolId, BuildVersion)>,
    others: Vec<(u32, BuildVersion)>,
    rollouts: Option<NoRollouts>,
}

#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(crate) struct Snapshot {
    pub(crate) missing: MissingState,
    builds: Vec<Option<BuildVersion>>,
    positions: Vec<u32>,
    rollouts: Option<NoRollouts>,
}

/// Builds by the names of endpoints; empty for those that have none.
pub(crate) type BuildsByName = BTreeMap<String, String>;

impl Snapshot {
    /// The builds of the endpoints that the response lists.
    pub(crate) fn listed_builds(&self) -> BuildsByName {
        let listed = self.missing.endpoints.as_ref();
        let listed = listed.map(EndpointUpdate::listed).unwrap_or_default();
        assert_eq!(listed.len(), self.positions.len());
        let rows = listed.into_iter().zip(&self.positions);
        rows.map(|(endpoint, position)| {
            let build = self.builds[*position as usize].clone().unwrap_or_default();
            (endpoint.name.to_string(), build.as_str().to_owned())
        })
        .collect()
    }
}

/// The calls of the build before this one.
#[tarpc::service]
pub(crate) trait OldPeerApi {
    async fn missing(have: KnownVersions) -> MissingState;
    async fn besides() -> SupplementaryState;
    async fn learned() -> LearnedState;
}

/// The calls of this build.
#[tarpc::service]
pub(crate) trait NewPeerApi {
    async fn missing(have: KnownVersions) -> MissingState;
    async fn besides() -> SupplementaryState;
    async fn learned() -> LearnedState;
    async fn snapshot(have: KnownVersions) -> Snapshot;
}

async fn connect(host: &TestGateway) -> (TcpStream, Arc<ByteCounter>) {
    let stream = TcpStream::connect(host.peer_address()).await;
    (stream.expect("a connection"), Arc::default())
}

/// A requester of the build before this one.
pub(crate) struct OldRequester {
    client: OldPeerApiClient,
    count: Arc<ByteCounter>,
}

impl OldRequester {
    pub(crate) async fn connect(host: &TestGateway) -> Self {
        let (stream, count) = connect(host).await;
        let framed = transport(stream, count.clone());
        let client = OldPeerApiClient::new(tarpc::client::Config::default(), framed).spawn();
        Self { client, count }
    }

    pub(crate) async fn besides(&self) -> SupplementaryState {
        self.client.besides(current()).await.expect("a response")
    }

    pub(crate) async fn missing(&self, have: KnownVersions) -> MissingState {
        self.client
            .missing(current(), have)
            .await
            .expect("a response")
    }
}

impl OldRequester {
    pub(crate) fn read_bytes(&self) -> u64 {
        self.count.read_bytes()
    }
}

/// The builds that a requester of the build before this one takes from two responses.
pub(crate) fn builds_for_old(missing: &MissingState, besides: &SupplementaryState) -> BuildsByName {
    let listed = missing.endpoints.as_ref();
    let listed = listed.map(EndpointUpdate::listed).unwrap_or_default();
    let build_of = |endpoint: &Endpoint| {
        let start = endpoint.start_hash().short();
        let other = besides.others.iter().find(|(other, _)| *other == start);
        let usual = besides
            .usual
            .iter()
            .find(|(pool, _)| *pool == endpoint.pool);
        let other = other.map(|(_, build)| build);
        other.or(usual.map(|(_, build)| build)).cloned()
    };
    let builds = listed.into_iter().map(|endpoint| {
        let build = build_of(endpoint).unwrap_or_default();
        (endpoint.name.to_string(), build.as_str().to_owned())
    });
    builds.collect()
}

/// A requester of this build, which keeps its connection.
pub(crate) struct Requester {
    client: NewPeerApiClient,
    count: Arc<ByteCounter>,
}

impl Requester {
    pub(crate) async fn connect(host: &TestGateway) -> Self {
        let (stream, count) = connect(host).await;
        let framed = transport(stream, count.clone());
        let client = NewPeerApiClient::new(tarpc::client::Config::default(), framed).spawn();
        Self { client, count }
    }

    pub(crate) async fn snapshot(&self, have: KnownVersions) -> Snapshot {
        let response = self.client.snapshot(current(), have).await;
        response.expect("a response")
    }

    pub(crate) fn read_bytes(&self) -> u64 {
        self.count.read_bytes()
    }
}

/// Returns the builds that a host lists.
pub(crate) async fn listed_builds(host: &TestGateway) -> BuildsByName {
    let requester = Requester::connect(host).await;
    let snapshot = requester.snapshot(KnownVersions::endpoints(None)).await;
    snapshot.listed_builds()
}

/// The calls that a host in a test answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum PeerBuild {
    /// Those of the build before this one.
    Old,
    /// Those of this build, with a position too few in the builds of a snapshot.
    Truncating,
    /// Those of this build.
    Current,
}

/// A host in a test, whose list a test sets.
#[derive(Clone)]
pub(crate) struct PeerStandIn {
    pub(crate) address: SocketAddr,
    state: Arc<Mutex<PeerState>>,
}

struct PeerState {
    build: PeerBuild,
    rules: RulesDocument,
    version: u64,
    endpoints: Vec<Endpoint>,
    /// The list from the first response with rows on, and whether the host closes its
    /// connections once it has told a requester of it.
    next: Option<Vec<Endpoint>>,
    is_closed: bool,
    snapshots: usize,
}

impl PeerStandIn {
    pub(crate) async fn start(build: PeerBuild, rules: RulesDocument) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
        let address = listener.local_addr().expect("an address");
        let state = Arc::new(Mutex::new(PeerState {
            build,
            rules,
            version: 0,
            endpoints: Vec::new(),
            next: None,
            is_closed: false,
            snapshots: 0,
        }));
        let peer = Self { address, state };
        let answering = peer.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                if !answering.is_closed() {
                    tokio::spawn(answering.clone().answer(stream));
                }
            }
        });
        peer
    }

    fn state(&self) -> MutexGuard<'_, PeerState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn set_list(&self, version: u64, endpoints: Vec<Endpoint>) {
        let mut state = self.state();
        state.version = version;
        state.endpoints = endpoints;
    }

    /// Changes the list once it has sent rows, and then closes connections until it is opened.
    pub(crate) fn change_after_rows(&self, endpoints: Vec<Endpoint>) {
        self.state().next = Some(endpoints);
    }

    pub(crate) fn is_closed(&self) -> bool {
        self.state().is_closed
    }

    pub(crate) fn open(&self) {
        self.state().is_closed = false;
    }

    pub(crate) fn snapshots(&self) -> usize {
        self.state().snapshots
    }

    async fn answer(self, stream: TcpStream) {
        let build = self.state().build;
        match build {
            PeerBuild::Old => {
                let channel = BaseChannel::with_defaults(transport(stream, Arc::default()));
                let requests = channel.execute(OldPeerApi::serve(self));
                requests.for_each(|request| request).await;
            }
            PeerBuild::Truncating | PeerBuild::Current => {
                let channel = BaseChannel::with_defaults(transport(stream, Arc::default()));
                let requests = channel.execute(NewPeerApi::serve(self));
                requests.for_each(|request| request).await;
            }
        }
    }

    fn missing_state(&self, have: KnownVersions) -> MissingState {
        let mut state = self.state();
        let is_newer = have.endpoints.is_none_or(|have| have.0 < state.version);
        let rules = state.rules.clone();
        let missing = MissingState {
            rules: (have.rules < rules.version).then_some(RulesUpdate::Entire(rules)),
            endpoints: is_newer.then(|| EndpointUpdate::Entire {
                version: StoreVersion(state.version),
                endpoints: state.endpoints.iter().cloned().map(Into::into).collect(),
            }),
            is_fresh: true,
            ..MissingState::default()
        };
        if is_newer && let Some(next) = state.next.take() {
            state.version += 1;
            state.endpoints = next;
            state.is_closed = true;
        }
        missing
    }

    fn supplementary_state(&self) -> SupplementaryState {
        let state = self.state();
        let mut besides = SupplementaryState::default();
        for endpoint in &state.endpoints {
            let usual = besides
                .usual
                .iter()
                .find(|(pool, _)| *pool == endpoint.pool);
            match usual {
                None => {
                    let usual = (endpoint.pool.clone(), endpoint.build.clone());
                    besides.usual.push(usual);
                }
                Some((_, build)) if *build == endpoint.build => {}
                Some(_) => {
                    let start = endpoint.start_hash().short();
                    besides.others.push((start, endpoint.build.clone()));
                }
            }
        }
        besides
    }

    fn snapshot_of(&self, have: KnownVersions) -> Snapshot {
        let missing = self.missing_state(have);
        let mut state = self.state();
        state.snapshots += 1;
        let listed = missing.endpoints.as_ref();
        let listed = listed.map(EndpointUpdate::listed).unwrap_or_default();
        let builds: Vec<_> = listed.iter().map(|e| Some(e.build.clone())).collect();
        let mut positions: Vec<u32> = (0..builds.len() as u32).collect();
        if state.build == PeerBuild::Truncating {
            positions.pop();
        }
        Snapshot {
            missing,
            builds,
            positions,
            rollouts: None,
        }
    }
}

impl OldPeerApi for PeerStandIn {
    async fn missing(self, _: Context, have: KnownVersions) -> MissingState {
        self.missing_state(have)
    }

    async fn besides(self, _: Context) -> SupplementaryState {
        self.supplementary_state()
    }

    async fn learned(self, _: Context) -> LearnedState {
        LearnedState::default()
    }
}

impl NewPeerApi for PeerStandIn {
    async fn missing(self, _: Context, have: KnownVersions) -> MissingState {
        self.missing_state(have)
    }

    async fn besides(self, _: Context) -> SupplementaryState {
        self.supplementary_state()
    }

    async fn learned(self, _: Context) -> LearnedState {
        LearnedState::default()
    }

    async fn snapshot(self, _: Context, have: KnownVersions) -> Snapshot {
        self.snapshot_of(have)
    }
}
