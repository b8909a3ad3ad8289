//! Finds out that this host stood still, before it goes by what it believed.
//!
//! After a stop or a suspension all that was believed is older by its length, as far
//! as the steady clock did not count it, and rules, endpoints and evacuations may have
//! changed. New requests are not sent by them until they were asked for again, of
//! another host or, by a host that reads the platform, of that; or until neither can be
//! had. What runs already and has to go on elsewhere waits for that too, but no longer
//! than its caller bears.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use chalkrock_routing::{ClockReading, Suspension, detect_suspension};
use tokio::sync::watch;

use crate::clock::ms;
use crate::event_log::Event;
use crate::lag::TICK;
use crate::peers::{PeerTable, catch_up_with_any};
use crate::shared::Shared;
use crate::source::Topic;

/// Pauses after which what is known is asked for again. Others notice a shorter one as
/// little as a lost datagram.
const REFRESH_FROM_MS: u64 = 700;
/// How long a refresh may take before the host goes by what it knew: it is then cut off
/// from the others and the platform alike, as hosts are that never stood still.
const REFRESH_MAX: Duration = Duration::from_millis(1_000);

/// Pause before other hosts are asked again.
const ASK_PAUSE: Duration = Duration::from_millis(100);

/// A clock of the host that counts the time in which it is suspended.
pub trait HostClock: std::fmt::Debug + Send + Sync {
    /// Time since some moment before the process began.
    fn since_boot(&self) -> Duration;
}

/// What is still to be asked for again.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Stale {
    rules: bool,
    endpoints: bool,
}

/// The last look at the clocks, and what followed from pauses.
#[derive(Debug, Default)]
pub(crate) struct SuspensionMonitor {
    /// `None` before the first one.
    last: Mutex<Option<ClockReading>>,
    stale: watch::Sender<Stale>,
    /// Pauses that were noticed and not dealt with.
    noticed: watch::Sender<Vec<Suspension>>,
}

impl SuspensionMonitor {
    /// Whether what is known may be used.
    pub(crate) fn is_fresh(&self) -> bool {
        *self.stale.borrow() == Stale::default()
    }
}

impl Shared {
    /// Looks at the clocks. Called in each interval of [`TICK`] at least, and before
    /// anything is sent by what is believed.
    pub(crate) fn detect_suspension(&self) {
        let now = self.read_clocks();
        let mut last = self
            .pauses
            .last
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let before = last.replace(now);
        drop(last);
        let Some(before) = before else {
            return;
        };
        if let Some(pause) = detect_suspension(before, now, TICK.as_millis() as u64) {
            self.paused(pause);
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

    fn paused(&self, pause: Suspension) {
        self.clock.add_uncounted(pause.uncounted_ms);
        self.subscription
            .record_suspension(ms(pause.duration_ms), ms(pause.uncounted_ms));
        self.idle_connections.close_all();
        self.event_log.emit(&Event::Paused {
            length_ms: pause.duration_ms,
            uncounted_ms: pause.uncounted_ms,
        });
        self.metrics.count("pauses_total", "", 1);
        if pause.duration_ms >= REFRESH_FROM_MS && self.has_view() {
            self.pauses.stale.send_replace(Stale {
                rules: true,
                endpoints: true,
            });
            self.view_is_stale();
        }
        self.pauses
            .noticed
            .send_modify(|noticed| noticed.push(pause));
    }

    /// The platform was asked for a whole topic and answered.
    pub(crate) fn topic_refreshed(&self, topic: Topic) {
        self.refreshed(|stale| match topic {
            Topic::Rules => stale.rules = false,
            Topic::Endpoints => stale.endpoints = false,
        });
    }

    fn all_refreshed(&self) {
        self.refreshed(|stale| *stale = Stale::default());
    }

    fn refreshed(&self, change: impl FnOnce(&mut Stale)) {
        let is_done = self.pauses.stale.send_if_modified(|stale| {
            let was = *stale;
            change(stale);
            was != *stale && *stale == Stale::default()
        });
        if is_done {
            self.update_view();
        }
    }
}

/// Deals with pauses until the process ends.
pub(crate) async fn refresh_after_suspensions(shared: Arc<Shared>, peers: Arc<PeerTable>) {
    let mut noticed = shared.pauses.noticed.subscribe();
    loop {
        drop(noticed.wait_for(|noticed| !noticed.is_empty()).await);
        let pauses = shared.pauses.noticed.send_replace(Vec::new());
        let uncounted_ms = pauses.iter().map(|pause| pause.uncounted_ms).sum();
        peers.age(ms(uncounted_ms));
        if shared.pauses.is_fresh() {
            continue;
        }
        let refreshing = refresh(&shared, &peers);
        let in_time = tokio::time::timeout(REFRESH_MAX, refreshing).await.is_ok();
        shared.all_refreshed();
        shared.event_log.emit(&Event::Refreshed { in_time });
        shared.publish_now.notify_one();
    }
}

/// Asks another host and, where this one reads it, the platform; whichever answers
/// first is enough.
async fn refresh(shared: &Shared, peers: &PeerTable) {
    if shared.subscription.is_subscriber() {
        shared.subscription.request_reread();
    }
    let mut stale = shared.pauses.stale.subscribe();
    tokio::select! {
        () = refresh_from_peers(shared, peers) => {}
        _never_closed = stale.wait_for(|stale| *stale == Stale::default()) => {}
    }
}

/// Takes what is missing from a host that did not stand still itself.
async fn refresh_from_peers(shared: &Shared, peers: &PeerTable) {
    let mut asks_platform = true;
    while !catch_up_with_any(shared, peers).await {
        if std::mem::take(&mut asks_platform) {
            // No such host can be reached: the platform may be.
            shared.subscription.request_reread();
        }
        tokio::time::sleep(ASK_PAUSE).await;
    }
}
