//! Detects that the process was suspended, and refreshes its view of the fleet.
//!
//! During a suspension rules, endpoints and evacuations may change, and the steady clock
//! may not advance. New requests wait until another host or the store has supplied a fresh
//! view, or until neither answers in time. Requests in progress that move to another
//! endpoint wait too, within their own deadline.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use chalkrock_routing::{ClockReading, Suspension, detect_suspension};
use tokio::sync::watch;

use crate::clock::ms;
use crate::event_log::Event;
use crate::lag::LAG_INTERVAL;
use crate::peers::{PeerTable, catch_up_with_any};
use crate::shared::Shared;
use crate::source::Topic;

/// Shortest suspension after which the view is refreshed. A shorter one has no more effect
/// than a lost datagram.
const MIN_REFRESH_SUSPENSION_MS: u64 = 700;
/// Time after which an unfinished refresh is abandoned and the host serves by its old view,
/// like any host that reaches neither the others nor the store.
const MAX_REFRESH: Duration = Duration::from_millis(1_000);

/// Pause between attempts to refresh from other hosts.
const PEER_RETRY_PAUSE: Duration = Duration::from_millis(100);

/// A clock that also advances while the host is suspended.
pub trait HostClock: std::fmt::Debug + Send + Sync {
    /// Time since a fixed moment before the process began.
    fn since_boot(&self) -> Duration;
}

/// Topics that are not refreshed yet.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct StaleTopics {
    rules: bool,
    endpoints: bool,
}

/// The last reading of the clocks, and suspensions to handle.
#[derive(Debug, Default)]
pub(crate) struct SuspensionMonitor {
    /// `None` before the first reading.
    last: Mutex<Option<ClockReading>>,
    stale: watch::Sender<StaleTopics>,
    /// Suspensions detected and not yet handled.
    pending: watch::Sender<Vec<Suspension>>,
}

impl SuspensionMonitor {
    /// Whether the view needs no refresh.
    pub(crate) fn is_fresh(&self) -> bool {
        *self.stale.borrow() == StaleTopics::default()
    }
}

impl Shared {
    /// Reads the clocks and handles a suspension since the last reading. Called at least
    /// once in each [`LAG_INTERVAL`], and before the view is used.
    pub(crate) fn detect_suspension(&self) {
        let now = self.read_clocks();
        let mut last = self
            .suspensions
            .last
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let before = last.replace(now);
        drop(last);
        let Some(before) = before else {
            return;
        };
        if let Some(suspension) = detect_suspension(before, now, LAG_INTERVAL.as_millis() as u64) {
            self.handle_suspension(suspension);
        }
    }

    fn read_clocks(&self) -> ClockReading {
        let steady_ms = self.clock.steady_ms();
        let host_clock = self.config.host_clock.as_ref();
        let boot = host_clock.map(|clock| clock.since_boot().as_millis() as u64);
        ClockReading {
            steady_ms,
            boot_ms: boot.unwrap_or(steady_ms),
        }
    }

    fn handle_suspension(&self, suspension: Suspension) {
        self.clock.add_uncounted(suspension.uncounted_ms);
        self.lag.add_suspension(suspension.uncounted_ms);
        self.subscription
            .record_suspension(ms(suspension.duration_ms), ms(suspension.uncounted_ms));
        self.endpoint_connections.close_all();
        self.fleet().poison.forget_runs();
        self.event_log.emit(&Event::Paused {
            length_ms: suspension.duration_ms,
            uncounted_ms: suspension.uncounted_ms,
        });
        self.metrics.count("pauses_total", "", 1);
        if suspension.duration_ms >= MIN_REFRESH_SUSPENSION_MS && self.has_view() {
            self.suspensions.stale.send_replace(StaleTopics {
                rules: true,
                endpoints: true,
            });
            self.invalidate_view();
        }
        self.suspensions
            .pending
            .send_modify(|pending| pending.push(suspension));
    }

    /// Records that a whole topic was read from the store.
    pub(crate) fn record_topic_refreshed(&self, topic: Topic) {
        self.update_stale(|stale| match topic {
            Topic::Rules => stale.rules = false,
            Topic::Endpoints => stale.endpoints = false,
        });
    }

    fn clear_stale(&self) {
        self.update_stale(|stale| *stale = StaleTopics::default());
    }

    fn update_stale(&self, change: impl FnOnce(&mut StaleTopics)) {
        let is_done = self.suspensions.stale.send_if_modified(|stale| {
            let previous = *stale;
            change(stale);
            previous != *stale && *stale == StaleTopics::default()
        });
        if is_done {
            self.update_view();
        }
    }
}

/// Refreshes the view after suspensions until the process ends.
pub(crate) async fn refresh_after_suspensions(shared: Arc<Shared>, peers: Arc<PeerTable>) {
    let mut pending = shared.suspensions.pending.subscribe();
    loop {
        drop(pending.wait_for(|pending| !pending.is_empty()).await);
        let suspensions = shared.suspensions.pending.send_replace(Vec::new());
        let uncounted_ms = suspensions.iter().map(|s| s.uncounted_ms).sum();
        peers.age(ms(uncounted_ms));
        if shared.suspensions.is_fresh() {
            continue;
        }
        let refreshing = refresh(&shared, &peers);
        let in_time = tokio::time::timeout(MAX_REFRESH, refreshing).await.is_ok();
        shared.clear_stale();
        shared.event_log.emit(&Event::Refreshed { in_time });
        shared.publish_now.notify_one();
    }
}

/// Refreshes the view from another host or, for a subscriber, from the store, whichever
/// answers first.
async fn refresh(shared: &Shared, peers: &PeerTable) {
    if shared.subscription.is_subscriber() {
        shared.subscription.request_reread();
    }
    let mut stale = shared.suspensions.stale.subscribe();
    tokio::select! {
        () = refresh_from_peers(shared, peers) => {}
        _never_closed = stale.wait_for(|stale| *stale == StaleTopics::default()) => {}
    }
}

/// Refreshes the view from a host that is not refreshing its own.
async fn refresh_from_peers(shared: &Shared, peers: &PeerTable) {
    let mut may_request_reread = true;
    while !catch_up_with_any(shared, peers).await {
        if std::mem::take(&mut may_request_reread) {
            // No such host answers, so the store is read as well.
            shared.subscription.request_reread();
        }
        tokio::time::sleep(PEER_RETRY_PAUSE).await;
    }
}
