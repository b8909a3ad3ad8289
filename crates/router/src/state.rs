//! State shared by all requests of a router.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use arc_swap::ArcSwap;
use chalkrock_core::{HostId, RequestId, RetryBudget, TokenKey, key_digest};
use chalkrock_process::{Metrics, Stop};
use chalkrock_proto::{ControlTraffic, Hello, PROTOCOL_VERSION, Purpose};
use kameo::actor::{ActorRef, Spawn};
use tokio::sync::Notify;

use crate::claim_writers::ClaimWriters;
use crate::explain::Recorder;
use crate::owners::Owners;
use crate::settings::RouterSettings;
use crate::view::RouterView;

/// Idle connections kept to each endpoint.
const IDLE_CONNECTIONS: usize = 256;
/// Timeout of a connection to an endpoint.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

pub(crate) struct State {
    pub(crate) settings: RouterSettings,
    pub(crate) fleet_key_sha256: Arc<str>,
    pub(crate) tokens: TokenKey,
    pub(crate) view: ArcSwap<RouterView>,
    pub(crate) http: reqwest::Client,
    pub(crate) recorder: ActorRef<Recorder>,
    pub(crate) metrics: Metrics,
    pub(crate) owners: Arc<Owners>,
    pub(crate) traffic: Arc<ControlTraffic>,
    pub(crate) claim_writers: ClaimWriters,
    retries: Mutex<RetryBudget>,
    pub(crate) hello: Hello,
    /// Wakes requests that wait for a recent view.
    pub(crate) view_confirmed: Notify,
    pub(crate) stop: Stop,
    next_request_number: AtomicU64,
    instance: u64,
}

impl State {
    pub(crate) fn new(settings: RouterSettings, stop: Stop) -> eyre::Result<Self> {
        let http = reqwest::Client::builder()
            .no_proxy()
            .tcp_nodelay(true)
            .pool_max_idle_per_host(IDLE_CONNECTIONS)
            .connect_timeout(CONNECT_TIMEOUT)
            .redirect(reqwest::redirect::Policy::none())
            .build()?;
        let fleet_key_sha256: Arc<str> = key_digest(&settings.fleet_key).into();
        let traffic = Arc::new(ControlTraffic::default());
        let hello = hello(&settings.host, &fleet_key_sha256, Purpose::Slots);
        let ask_timeout = Duration::from_millis(settings.ask_timeout_ms);
        Ok(Self {
            owners: Owners::new(hello.clone(), traffic.clone(), ask_timeout),
            hello,
            claim_writers: ClaimWriters::default(),
            retries: Mutex::default(),
            traffic,
            view_confirmed: Notify::new(),
            fleet_key_sha256,
            tokens: TokenKey::new(settings.fleet_key.as_bytes()),
            view: ArcSwap::from_pointee(RouterView::empty()),
            http,
            recorder: Recorder::spawn(settings.explanations_kept),
            metrics: Metrics::default(),
            stop,
            next_request_number: AtomicU64::new(0),
            instance: uuid::Uuid::new_v4().as_u64_pair().0,
            settings,
        })
    }

    /// Takes one retry from the budget, if it allows one.
    pub(crate) fn take_retry(&self) -> bool {
        let allowed = self
            .retries
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .take();
        let label = if allowed {
            "result=\"made\""
        } else {
            "result=\"over budget\""
        };
        self.metrics.count("retries_total", label, 1);
        allowed
    }

    /// Adds to the retry budget after a success at the first attempt.
    pub(crate) fn record_first_try_success(&self) {
        self.retries
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .record_success();
    }

    /// Returns a new request id. It names the host for operators' tools and the
    /// router's instance, so that ids stay unique across restarts.
    pub(crate) fn next_request_id(&self) -> RequestId {
        let number = self.next_request_number.fetch_add(1, Ordering::Relaxed);
        RequestId::new(format!(
            "{}.{:016x}.{number}",
            self.settings.host, self.instance
        ))
    }
}

/// Builds this router's hello for a purpose.
pub(crate) fn hello(host: &HostId, fleet_key_sha256: &Arc<str>, purpose: Purpose) -> Hello {
    Hello {
        protocol_version: PROTOCOL_VERSION,
        fleet_key_sha256: fleet_key_sha256.clone(),
        host: host.clone(),
        purpose,
    }
}
