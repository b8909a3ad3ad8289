//! Calls by which a host requests the state of another one.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use chalkrock_core::{BuildVersion, PoolId};
use chalkrock_proto::{ByteCounter, transport};
use chalkrock_routing::{ConnectionLimits, LearnedState, RulesVersion};
use tarpc::client::RpcError;
use tokio::net::TcpStream;

use crate::active_rules::RulesUpdate;
use crate::arrival::{IdleLimits, while_arriving};
use crate::clock::ms;
use crate::metrics::{ConnectionBytes, ControlKind};
use crate::peers::api::{
    BuildsUpdate, BusyResponse, EndpointUpdate, KnownBuilds, KnownVersions, MissingState,
    PeerApiClient, RowBuildsError, Snapshot,
};
use crate::peers::rollouts::RolloutUpdate;
use crate::shared::Shared;
use crate::source::EndpointRow;

/// Timeout for what another host has learned, and for its connection limits.
const LEARNED_TIMEOUT: Duration = Duration::from_millis(200);

/// State of another host.
pub(super) struct PullResponse {
    pub(super) missing: MissingState,
    pub(super) rollouts: Option<RolloutUpdate>,
    pub(super) learned: LearnedState,
    pub(super) limits: Option<ConnectionLimits>,
}

/// A pull without a response to apply.
#[derive(Debug, thiserror::Error)]
pub(super) enum PullError {
    #[error("the host is unreachable: {0}")]
    Connect(#[from] std::io::Error),
    #[error("the call failed: {0}")]
    Call(#[from] RpcError),
    #[error("the response contradicts itself: {0}")]
    Builds(#[from] RowBuildsError),
}

/// Requests what a host has learned. A host that stalls does not keep back what it has sent
/// before.
async fn request_learned(client: &PeerApiClient) -> Option<LearnedState> {
    let learned = client.learned(tarpc::context::current());
    tokio::time::timeout(LEARNED_TIMEOUT, learned)
        .await
        .ok()?
        .ok()
}

/// Requests connection limits; `None` without an answer. A host of an older build closes the
/// connection on the call, and sends limits among what it has learned, for the rules `of_older`.
async fn request_limits(
    client: &PeerApiClient,
    address: SocketAddr,
    of_older: RulesVersion,
    count: Arc<ByteCounter>,
) -> Option<ConnectionLimits> {
    let limits = client.connection_limits(tarpc::context::current());
    match tokio::time::timeout(LEARNED_TIMEOUT, limits).await.ok()? {
        Ok(limits) => Some(limits),
        Err(RpcError::DeadlineExceeded) => None,
        Err(_closed) => {
            let client = connect(address, count).await.ok()?;
            let learned = request_learned(&client).await?;
            Some(ConnectionLimits {
                rules: of_older,
                limits: learned.connection_limits,
            })
        }
    }
}

/// What the requesting host need not ask for.
#[derive(Clone, Copy, Debug)]
pub(super) struct Held {
    pub(super) known: KnownVersions,
    /// Digest of all that its list of endpoints states, if it has one.
    pub(super) list_content: Option<u64>,
    pub(super) has_learned: bool,
    /// Version of the rules whose connection limits it knows.
    pub(super) limits: RulesVersion,
}

/// Requests a snapshot, with less to transfer if the lists of endpoints are the same. A host of
/// an older build closes the connection on the first call, and an even older one on the second.
async fn request_snapshot(
    address: SocketAddr,
    held: &Held,
    count: &Arc<ByteCounter>,
) -> Result<(PeerApiClient, Result<Snapshot, RpcError>), PullError> {
    let context = tarpc::context::current;
    let known = held.known;
    let mut client = connect(address, count.clone()).await?;
    if let Some(content) = held.list_content {
        match client.snapshot_of_list(context(), known, content).await {
            Err(error) if !matches!(error, RpcError::DeadlineExceeded) => {
                client = connect(address, count.clone()).await?;
            }
            snapshot => return Ok((client, snapshot)),
        }
    }
    let snapshot = client.snapshot(context(), known).await;
    Ok((client, snapshot))
}

/// Requests state beyond what is held. A host of an older build closes the connection on the
/// call.
pub(super) async fn request_state(
    address: SocketAddr,
    held: Held,
    count: Arc<ByteCounter>,
) -> Result<PullResponse, PullError> {
    let known = held.known;
    let (client, snapshot) = request_snapshot(address, &held, &count).await?;
    let (client, mut response) = match snapshot {
        Ok(mut snapshot) => {
            let endpoints = snapshot.missing.endpoints.as_mut();
            snapshot.row_builds.set(endpoints)?;
            let response = PullResponse {
                missing: snapshot.missing,
                rollouts: snapshot.rollouts,
                learned: LearnedState::default(),
                limits: None,
            };
            (client, response)
        }
        Err(error @ RpcError::DeadlineExceeded) => return Err(error.into()),
        Err(_closed) => {
            let client = connect(address, count.clone()).await?;
            let response = request_parts(&client, known).await?;
            (client, response)
        }
    };
    if response.missing.busy.is_some() {
        return Ok(response);
    }
    if !held.has_learned {
        response.learned = request_learned(&client).await.unwrap_or_default();
    }
    let newer = response.missing.rules.as_ref().map(RulesUpdate::version);
    let rules = newer.unwrap_or(known.rules);
    if held.limits < rules {
        response.limits = request_limits(&client, address, rules, count).await;
    }
    Ok(response)
}

/// Requests the parts of a snapshot from a host of an older build, which sends rows and builds
/// in two calls. Leaves the rows out, and has them asked for again, unless the host's list was
/// the same at both.
async fn request_parts(
    client: &PeerApiClient,
    known: KnownVersions,
) -> Result<PullResponse, PullError> {
    let context = tarpc::context::current;
    let mut missing = client.missing(context(), known).await?;
    let besides = client.besides(context()).await?;
    if let Some(mut update) = missing.endpoints.take() {
        let version = update.version().or(known.endpoints);
        let since_rows = KnownVersions {
            endpoints: version,
            // Asks for neither rules nor hosts.
            rules: RulesVersion(u64::MAX),
            hosts: usize::MAX,
            ..known
        };
        let after = client.missing(context(), since_rows).await?;
        let has_changed = after.endpoints.is_some() || after.busy.is_some();
        if has_changed {
            let newer = after.endpoints.as_ref().and_then(EndpointUpdate::version);
            missing.busy.get_or_insert(BusyResponse {
                rules: known.rules,
                endpoints: newer.or(version).unwrap_or_default(),
                ask: Vec::new(),
            });
        } else {
            set_builds(&mut update, &besides.builds);
            missing.endpoints = Some(update);
        }
    }
    Ok(PullResponse {
        missing,
        rollouts: besides.rollouts,
        learned: LearnedState::default(),
        limits: None,
    })
}

/// Asks a host which builds pools had. `None` if it can't tell, or closes the connection like
/// an older build.
pub(crate) async fn ask_for_builds(shared: &Shared, address: SocketAddr) -> Option<BuildsUpdate> {
    let count = Arc::new(ByteCounter::default());
    let _counts_when_dropped = ConnectionBytes::new(shared, ControlKind::Pull, count.clone());
    let idle_limits = IdleLimits {
        first_byte: ms(shared.config.follow.pull_timeout_ms),
        between_bytes: ms(shared.config.follow.stall_ms),
    };
    let read_count = count.clone();
    let response = async {
        let client = connect(address, count).await.ok()?;
        client.builds(tarpc::context::current()).await.ok()?
    };
    while_arriving(response, || read_count.read_bytes(), idle_limits).await?
}

async fn connect(
    address: SocketAddr,
    count: Arc<ByteCounter>,
) -> Result<PeerApiClient, std::io::Error> {
    let stream = TcpStream::connect(address).await?;
    let framed = transport(stream, count);
    Ok(PeerApiClient::new(tarpc::client::Config::default(), framed).spawn())
}

/// Sets the builds that an older host sent after the rows while its list was the same. Those of
/// pools that it does not name have none. It knows only the builds of what it still lists, so
/// that earlier rows of the same endpoint are dropped.
fn set_builds(update: &mut EndpointUpdate, builds: &KnownBuilds) {
    let others = builds.others.iter().map(|(start, build)| (*start, build));
    let others: HashMap<u32, &BuildVersion> = others.collect();
    let usual = builds.usual.iter().map(|(pool, build)| (pool, build));
    let usual: HashMap<&PoolId, &BuildVersion> = usual.collect();
    if let EndpointUpdate::Changes(rows) = update {
        keep_latest_rows(rows);
    }
    for endpoint in update.listed_mut() {
        let start = endpoint.start_hash().short();
        let build = others.get(&start).or_else(|| usual.get(&endpoint.pool));
        if let Some(build) = build {
            endpoint.build = BuildVersion::clone(build);
        }
    }
}

/// Keeps the last row of each endpoint.
fn keep_latest_rows(rows: &mut Vec<EndpointRow>) {
    let mut seen = HashSet::new();
    rows.reverse();
    rows.retain(|row| seen.insert(row.change.name().clone()));
    rows.reverse();
}
