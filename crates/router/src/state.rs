//! What all requests of a router share.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use arc_swap::ArcSwap;
use chalkrock_core::{HostId, RequestId, RetryBudget, TokenKey, key_digest};
use chalkrock_process::{Metrics, Stop};
use chalkrock_proto::{Hello, PROTOCOL_VERSION, Purpose, Traffic};
use kameo::actor::{ActorRef, Spawn};
use tokio::sync::Notify;

use crate::claim_writers::ClaimWriters;
use crate::explain::Recorder;
use crate::owners::Owners;
use crate::settings::RouterSettings;
use crate::view::RouterView;

/// Idle connections kept to each endpoint.
const IDLE_CONNECTIONS: usize = 256;
/// How long connecting to an endpoint may take.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

pub(crate) struct State {
    pub(crate) settings: RouterSettings,
    pub(crate) fleet_key_sha256: Arc<str>,
    pub(crate) tokens: TokenKey,
    pub(crate) view: ArcSwap<RouterView>,
    pub(crate) endpoints: reqwest::Client,
    pub(crate) recorder: ActorRef<Recorder>,
    pub(crate) metrics: Metrics,
    pub(crate) owners: Arc<Owners>,
    pub(crate) traffic: Arc<Traffic>,
    pub(crate) claim_writers: ClaimWriters,
    retries: Mutex<RetryBudget>,
    pub(crate) hello: Hello,
    /// Wakes whoever waits for a younger view.
    pub(crate) view_confirmed: Notify,
    pub(crate) stop: Stop,
    next_request: AtomicU64,
    life: u64,
}

impl State {
    pub(crate) fn new(settings: RouterSettings, stop: Stop) -> eyre::Result<Self> {
        let endpoints = reqwest::Client::builder()
            .no_proxy()
            .tcp_nodelay(true)
            .pool_max_idle_per_host(IDLE_CONNECTIONS)
            .connect_timeout(CONNECT_TIMEOUT)
            .redirect(reqwest::redirect::Policy::none())
            .build()?;
        let fleet_key_sha256: Arc<str> = key_digest(&settings.fleet_key).into();
        let traffic = Arc::new(Traffic::default());
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
            endpoints,
            recorder: Recorder::spawn(settings.explanations_kept),
            metrics: Metrics::default(),
            stop,
            next_request: AtomicU64::new(0),
            life: uuid::Uuid::new_v4().as_u64_pair().0,
            settings,
        })
    }

    /// Whether one more try of a request is within the budget.
    pub(crate) fn may_retry(&self) -> bool {
        let may = self
            .retries
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .take();
        let label = if may {
            "result=\"made\""
        } else {
            "result=\"over budget\""
        };
        self.metrics.count("retries_total", label, 1);
        may
    }

    /// A request was answered at its first try.
    pub(crate) fn first_try_succeeded(&self) {
        self.retries
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .record_success();
    }

    /// A request id that names the host, so that an operator's tool knows
    /// where to ask, and the router's life, so that a restart repeats none.
    pub(crate) fn request_id(&self) -> RequestId {
        let number = self.next_request.fetch_add(1, Ordering::Relaxed);
        RequestId::new(format!(
            "{}.{:016x}.{number}",
            self.settings.host, self.life
        ))
    }
}

/// The hello of this router for a purpose.
pub(crate) fn hello(host: &HostId, fleet_key_sha256: &Arc<str>, purpose: Purpose) -> Hello {
    Hello {
        protocol_version: PROTOCOL_VERSION,
        fleet_key_sha256: fleet_key_sha256.clone(),
        host: host.clone(),
        purpose,
    }
}
