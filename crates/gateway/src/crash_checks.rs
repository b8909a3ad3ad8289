//! Finds crashes of endpoints under which no request of this host broke.
//!
//! An endpoint may crash just after a whole answer, or leave its connections open and silent. A
//! connection for reuse that closes, one that is refused, and changes of the list of endpoints
//! are signs of a crash. They are checked only while a recent request may have caused it.

use std::collections::{HashMap, HashSet};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use chalkrock_core::Endpoint;
use chalkrock_routing::EndpointState;
use tokio::sync::Notify;
use tokio::time::Instant;

use crate::event_log::CrashNotice;
use crate::poison::CrashCheck;
use crate::shared::Shared;

/// Silence of open connections, while new ones are refused, after which an endpoint counts as
/// crashed. A sound one may be silent for a second, but accepts connections meanwhile.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Time for which an endpoint serves on at least after its entry was removed as planned.
const MIN_SERVICE_AFTER_REMOVAL_MS: u64 = 1_000;
/// Interval of looks at such an endpoint.
const SILENCE_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Signs that wait to be checked.
const MAX_SIGNS: usize = 256;
/// Endpoints remembered as crashed with their connections open, and for how long.
const MAX_SILENT: usize = 256;
const SILENT_RETENTION: Duration = Duration::from_secs(60);

/// A sign that an endpoint may have crashed.
#[derive(Clone, Debug)]
struct CrashSign {
    endpoint: Arc<Endpoint>,
    notice: CrashNotice,
}

/// Signs of crashes, by the hash of the endpoint's start, and what was found.
#[derive(Debug, Default)]
pub(crate) struct CrashChecks {
    signs: Mutex<HashMap<u32, CrashSign>>,
    sign_added: Notify,
    /// Endpoints that are checked now.
    running: Mutex<HashSet<u32>>,
    /// Endpoints that crashed and left connections open, and when this was found.
    silent: Mutex<HashMap<u32, Instant>>,
}

impl CrashChecks {
    /// Records a sign that an endpoint may have crashed.
    pub(crate) fn add_sign(&self, endpoint: Arc<Endpoint>, notice: CrashNotice) {
        let start = endpoint.start_hash().short();
        let mut signs = lock(&self.signs);
        if signs.len() >= MAX_SIGNS {
            return;
        }
        signs.entry(start).or_insert(CrashSign { endpoint, notice });
        drop(signs);
        self.sign_added.notify_one();
    }

    fn take_signs(&self) -> Vec<CrashSign> {
        let signs = std::mem::take(&mut *lock(&self.signs));
        signs.into_values().collect()
    }

    fn record_silent(&self, start: u32) {
        let mut silent = lock(&self.silent);
        silent.retain(|_, found_at| found_at.elapsed() < SILENT_RETENTION);
        if silent.len() < MAX_SILENT {
            silent.insert(start, Instant::now());
        }
    }

    /// Whether an endpoint was found to have crashed, with its connections open, after a request
    /// was sent there or its last byte arrived.
    pub(crate) fn has_fallen_silent_since(&self, start: u32, contact_at: Instant) -> bool {
        let silent = lock(&self.silent);
        silent
            .get(&start)
            .is_some_and(|found_at| *found_at > contact_at)
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Checks signs of crashes until the process ends.
pub(crate) async fn check_crash_signs(shared: Arc<Shared>) {
    let checks = &shared.crash_checks;
    loop {
        tokio::select! {
            () = checks.sign_added.notified() => {}
            closed = shared.endpoint_connections.closed_targets() => {
                for start in closed {
                    shared.add_crash_sign(start, CrashNotice::ClosedConnection);
                }
            }
        }
        for sign in checks.take_signs() {
            let start = sign.endpoint.start_hash().short();
            if !shared.may_have_caused_crash(start) || !lock(&checks.running).insert(start) {
                continue;
            }
            let shared = shared.clone();
            tokio::spawn(async move {
                shared.check_crash_sign(&sign).await;
                lock(&shared.crash_checks.running).remove(&start);
            });
        }
    }
}

impl Shared {
    /// Records a sign that a listed endpoint may have crashed.
    pub(crate) fn add_crash_sign(&self, start: u32, notice: CrashNotice) {
        if !self.may_have_caused_crash(start) {
            return;
        }
        let member = self.fleet().listed_member(start).cloned();
        if let Some(member) = member {
            self.crash_checks.add_sign(member.endpoint, notice);
        }
    }

    /// Records crashes that a change of the list of endpoints shows, and signs of others.
    pub(crate) fn record_crash_signs(&self, signs: Vec<(Arc<Endpoint>, CrashNotice)>) {
        for (endpoint, notice) in signs {
            if notice == CrashNotice::Replaced {
                self.record_endpoint_crash(&endpoint, notice);
            } else {
                self.crash_checks.add_sign(endpoint, notice);
            }
        }
    }

    /// Whether requests of this host may have caused a crash of an endpoint, or wait for it.
    fn may_have_caused_crash(&self, start: u32) -> bool {
        let poison = &self.fleet().poison;
        poison.has_recent_runs(start) || poison.has_open_runs(start)
    }

    async fn check_crash_sign(&self, sign: &CrashSign) {
        let CrashSign { endpoint, notice } = sign;
        let start = endpoint.start_hash().short();
        if self.may_end_as_planned(endpoint)
            || self.check_for_crash(endpoint).await != CrashCheck::Crashed
        {
            return;
        }
        let has_open_runs = self.fleet().poison.has_open_runs(start);
        let may_be_full = has_open_runs || *notice == CrashNotice::RefusedConnection;
        if may_be_full && !(self.has_free_slots(endpoint) && self.stays_silent(endpoint).await) {
            return;
        }
        if self.fleet().poison.has_open_runs(start) {
            self.crash_checks.record_silent(start);
        }
        self.record_endpoint_crash(endpoint, *notice);
    }

    /// Whether requests at an endpoint need not wait for a slot. One that is full refuses
    /// connections and keeps requests waiting although it lives.
    fn has_free_slots(&self, endpoint: &Endpoint) -> bool {
        let start = endpoint.start_hash().short();
        self.fleet().load.in_progress(start) < endpoint.slots
    }

    /// Whether an endpoint that refuses connections sends nothing more on those that are open.
    async fn stays_silent(&self, endpoint: &Endpoint) -> bool {
        let start = endpoint.start_hash().short();
        let since_ms = self.clock.now_ms();
        let until = Instant::now() + SILENCE_TIMEOUT;
        let had_open_runs = self.fleet().poison.has_open_runs(start);
        while Instant::now() < until {
            if self.has_sent_since(start, since_ms) {
                return false;
            }
            let has_open_runs = self.fleet().poison.has_open_runs(start);
            if had_open_runs && !has_open_runs {
                return true;
            }
            tokio::time::sleep(SILENCE_CHECK_INTERVAL).await;
        }
        let is_refused = self.check_for_crash(endpoint).await == CrashCheck::Crashed;
        is_refused && !self.has_sent_since(start, since_ms)
    }

    fn has_sent_since(&self, start: u32, since_ms: u64) -> bool {
        let alive_at_ms = self.fleet().poison.alive_at_ms(start);
        alive_at_ms.is_some_and(|alive_at_ms| alive_at_ms > since_ms)
    }

    /// Whether an endpoint may end as planned: it has reported that it leaves, or was unlisted
    /// some time ago. Just after a crash its entry may be removed before the crash is noticed.
    fn may_end_as_planned(&self, endpoint: &Endpoint) -> bool {
        let now_ms = self.clock.now_ms();
        let fleet = self.fleet();
        let unlisted_for_ms = fleet.endpoints.unlisted_for_ms(&endpoint.name, now_ms);
        drop(fleet);
        let is_unlisted = unlisted_for_ms.is_some_and(|ms| ms >= MIN_SERVICE_AFTER_REMOVAL_MS);
        is_unlisted || self.has_reported_leaving(endpoint)
    }

    /// Whether an endpoint has reported that it leaves by now.
    pub(crate) fn has_reported_leaving(&self, endpoint: &Endpoint) -> bool {
        self.fleet().endpoints.state(&endpoint.name) == Some(EndpointState::Leaving)
    }
}
