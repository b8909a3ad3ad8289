//! Quarantines poison requests, under which endpoints crash.
//!
//! A host records the requests that it had in progress on a crashed endpoint, sends them
//! to the other hosts, and refuses those that
//! [`PoisonEvidence`](chalkrock_routing::PoisonEvidence) confirms. Poison requests are also
//! recorded in the store, since confirming one again would crash further endpoints.

use std::collections::BTreeSet;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use chalkrock_core::{Endpoint, HostState, Reason};
use chalkrock_routing::{
    AttemptOutcome, POISON_RETENTION_MS, PoisonEvidence, PoisonRequest, PoisonUpdate,
    PoisonVerdict, RequestFingerprint,
};
use tokio::sync::Notify;

use crate::call::Call;
use crate::edge::Refusal;
use crate::event_log::{CrashNotice, Event};
use crate::outage_log::OutageLog;
use crate::shared::Shared;
use crate::source::{PoisonRow, Source};

/// Pause after a failed call of the store.
const RETRY_PAUSE: Duration = Duration::from_secs(1);

/// Time after a rejection by an endpoint that tolerates few in which its end is attributed to
/// overload.
const OVERLOAD_WINDOW_MS: u64 = 2_000;

/// Calls of the store that are due.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
struct PendingCalls {
    is_read_due: bool,
    add: BTreeSet<RequestFingerprint>,
    remove: BTreeSet<RequestFingerprint>,
}

/// Queues reads and writes of records for the task that calls the store.
#[derive(Debug, Default)]
pub(crate) struct PoisonRecords {
    pending: Mutex<PendingCalls>,
    pending_changed: Notify,
}

impl PoisonRecords {
    /// Requests a read of the records.
    pub(crate) fn request_read(&self) {
        self.queue(|pending| pending.is_read_due = true);
    }

    fn record(&self, request: RequestFingerprint) {
        self.queue(|pending| {
            pending.remove.remove(&request);
            pending.add.insert(request);
        });
    }

    fn remove(&self, request: RequestFingerprint) {
        self.queue(|pending| {
            pending.add.remove(&request);
            pending.remove.insert(request);
        });
    }

    fn queue(&self, add: impl FnOnce(&mut PendingCalls)) {
        add(&mut self.pending());
        self.pending_changed.notify_one();
    }

    fn take(&self) -> PendingCalls {
        std::mem::take(&mut self.pending())
    }

    /// Queues failed calls again. Calls queued meanwhile take precedence.
    fn requeue(&self, failed: PendingCalls) {
        let mut pending = self.pending();
        pending.is_read_due |= failed.is_read_due;
        let PendingCalls { add, remove, .. } = &mut *pending;
        add.extend(failed.add.difference(remove).copied().collect::<Vec<_>>());
        remove.extend(failed.remove.difference(add).copied().collect::<Vec<_>>());
    }

    fn pending(&self) -> MutexGuard<'_, PendingCalls> {
        self.pending.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// An attempt that ended without a complete answer.
#[derive(Clone, Copy, Debug)]
pub(crate) struct BrokenAttempt {
    pub(crate) end: AttemptOutcome,
    /// Time for which it had received bytes of its answer.
    pub(crate) ran_ms: u64,
}

/// What became of an endpoint after a connection to it broke.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CrashCheck {
    Crashed,
    /// It lives, or had another reason to terminate.
    NotCrashed,
    /// Only this host's path to it failed: another host still reaches it.
    PathFailed,
}

impl Shared {
    /// Refuses a poison request, and one whose prompt has a poison part.
    pub(crate) fn refuse_poison(&self, call: &Call) -> Result<(), Refusal> {
        let now_ms = self.clock.now_ms();
        let mut fleet = self.fleet();
        let poison = &mut fleet.poison;
        let Some((request, left_ms)) = find_poison(poison, call, now_ms) else {
            return Ok(());
        };
        poison.record_repeat(request, now_ms);
        let crashes = poison.crashes(request);
        drop(fleet);
        let detail = match request.part() {
            Some(part) => {
                self.metrics.count("poison_parts_refused_total", "", 1);
                let mut parts = call.blamable_parts().iter();
                let position = parts.position(|other| *other == part).unwrap_or_default();
                format!(
                    "part {} of the prompt, {part:08x}: endpoints ended under requests with it, \
                     {crashes} known here",
                    position + 1
                )
            }
            None => {
                self.metrics.count("poison_refused_total", "", 1);
                format!("{request}: endpoints ended under it, {crashes} known here")
            }
        };
        Err(Refusal {
            retry_after_ms: Some(left_ms),
            ..Refusal::new(Reason::PoisonRequest, detail)
        })
    }

    /// Checks whether an endpoint has crashed after a connection to it broke. A leaving endpoint is expected to terminate, and one that had to reject too many
    /// requests fails for that reason.
    pub(crate) async fn check_for_crash(&self, endpoint: &Endpoint) -> CrashCheck {
        if endpoint.state == HostState::Leaving {
            return CrashCheck::NotCrashed;
        }
        let start = endpoint.start_hash().short();
        let checks = &self.termination_checks;
        if !checks.has_terminated(start, endpoint.address).await {
            return CrashCheck::NotCrashed;
        }
        let since_ms = self.clock.now_ms().saturating_sub(OVERLOAD_WINDOW_MS);
        let is_overloaded = self
            .fleet()
            .rejection_limits
            .has_rejected_since(start, since_ms);
        if is_overloaded {
            return CrashCheck::NotCrashed;
        }
        if self.is_reached_by_others(start).await {
            self.metrics.count("path_failures_total", "", 1);
            return CrashCheck::PathFailed;
        }
        CrashCheck::Crashed
    }

    /// Checks whether the endpoint of a broken attempt has crashed, and records that
    /// against the request and the parts of its prompt. From the second crash on, the other
    /// hosts are informed at once; the first waits for the next round, so that the loss of a
    /// zone doesn't cause a round for each of its requests. `has_begun` says whether the head
    /// of the response had arrived.
    ///
    /// Returns whether only this host's path to the endpoint failed.
    pub(crate) async fn record_broken_attempt(
        &self,
        call: &Call,
        endpoint: &Endpoint,
        broken: BrokenAttempt,
        has_begun: bool,
    ) -> bool {
        let request = call.fingerprint;
        let BrokenAttempt { end, ran_ms } = broken;
        if end != AttemptOutcome::Broken || self.has_reported_leaving(endpoint) {
            return false;
        }
        match self.check_for_crash(endpoint).await {
            CrashCheck::Crashed => {}
            CrashCheck::NotCrashed => return false,
            CrashCheck::PathFailed => return true,
        }
        let start = endpoint.start_hash().short();
        self.record_endpoint_crash(endpoint, CrashNotice::BrokenAttempt);
        let now_ms = self.clock.now_ms();
        let mut fleet = self.fleet();
        let verdict = fleet.poison.record_crash(request, start, ran_ms, now_ms);
        let crashes = fleet.poison.crashes(request);
        drop(fleet);
        self.event_log.emit(&Event::EndpointEnded {
            endpoint: &endpoint.name,
            fingerprint: request,
            parts: call.blamable_parts(),
            has_begun,
            ran_ms,
            crashes,
        });
        self.apply_verdicts(verdict, "own");
        if crashes > 1 {
            self.publish_now.notify_one();
        }
        false
    }

    /// Waits until a request is confirmed as a poison request. The caller then withdraws it
    /// from an endpoint that has not begun to answer, which it would crash as well.
    pub(crate) async fn wait_until_poison(&self, call: &Call) {
        loop {
            let confirmed = self.poison_confirmed.notified();
            let now_ms = self.clock.now_ms();
            if self.is_poison(call, now_ms) {
                return;
            }
            confirmed.await;
        }
    }

    /// Whether a request is refused as poison.
    pub(crate) fn is_poison(&self, call: &Call, now_ms: u64) -> bool {
        find_poison(&self.fleet().poison, call, now_ms).is_some()
    }

    /// Records that a request completed.
    pub(crate) fn record_completed_run(&self, request: RequestFingerprint) {
        let now_ms = self.clock.now_ms();
        let verdict = self.fleet().poison.record_completion(request, now_ms);
        self.apply_verdicts(verdict, "own");
    }

    /// Merges another host's observations of requests.
    pub(crate) fn merge_poison_updates(&self, updates: &[PoisonUpdate], forwards: bool) {
        let now_ms = self.clock.now_ms();
        let verdicts = self.fleet().poison.merge(updates, forwards, now_ms);
        if forwards && !verdicts.is_empty() {
            self.publish_now.notify_one();
        }
        self.apply_verdicts(verdicts, "peer");
    }

    /// Merges poison requests from another host or the store. Returns whether any are new.
    pub(crate) fn merge_poison(&self, requests: &[PoisonRequest], from: &str) -> bool {
        if requests.is_empty() {
            return false;
        }
        let now_ms = self.clock.now_ms();
        let verdicts = self.fleet().poison.merge_poison(requests, now_ms);
        let has_changes = !verdicts.is_empty();
        self.apply_verdicts(verdicts, from);
        has_changes
    }

    /// Writes the known poison requests again, as a restored store may lack them.
    pub(crate) fn rewrite_poison_records(&self) {
        let now_ms = self.clock.now_ms();
        let poison = self.fleet().poison.poison_requests(usize::MAX, now_ms);
        for request in poison {
            self.poison_records.record(request.request);
        }
    }

    /// Logs changed verdicts, records them and wakes the requests that they concern.
    pub(crate) fn apply_verdicts(
        &self,
        verdicts: impl IntoIterator<Item = PoisonVerdict>,
        from: &str,
    ) {
        for verdict in verdicts {
            let (fingerprint, is_poison) = match verdict {
                PoisonVerdict::Poison { request, records } => {
                    if records {
                        self.poison_records.record(request);
                    }
                    self.poison_confirmed.notify_waiters();
                    (request, true)
                }
                PoisonVerdict::Cleared { request, records } => {
                    if records {
                        self.poison_records.remove(request);
                    }
                    (request, false)
                }
            };
            let crashes = self.fleet().poison.crashes(fingerprint);
            if let Some(part) = fingerprint.part() {
                self.event_log.emit(&Event::PoisonPart {
                    part,
                    is_poison,
                    crashes,
                    from,
                });
                continue;
            }
            self.event_log.emit(&Event::Poison {
                fingerprint,
                is_poison,
                crashes,
                from,
            });
        }
    }
}

/// What makes a request poison, and how much longer: its content or a part of its prompt.
fn find_poison(
    poison: &PoisonEvidence,
    call: &Call,
    now_ms: u64,
) -> Option<(RequestFingerprint, u64)> {
    let parts = call.blamable_parts().iter();
    let by_part = parts.map(|part| RequestFingerprint::of_part(*part));
    let mut all = std::iter::once(call.fingerprint).chain(by_part);
    all.find_map(|request| Some((request, poison.remaining_ms(request, now_ms)?)))
}

/// Reads and writes records of poison requests in the store until the process ends.
pub(crate) async fn sync_poison_records<S: Source>(shared: Arc<Shared>, source: Arc<S>) {
    let mut outage = OutageLog::new("platform-poison");
    loop {
        shared.poison_records.pending_changed.notified().await;
        loop {
            let pending = shared.poison_records.take();
            if pending == PendingCalls::default() {
                break;
            }
            let Err(error) = sync_once(&shared, &*source, &pending).await else {
                outage.worked(&shared);
                continue;
            };
            outage.failed(&shared, &error);
            shared.poison_records.requeue(pending);
            tokio::time::sleep(RETRY_PAUSE).await;
        }
    }
}

async fn sync_once<S: Source>(
    shared: &Shared,
    source: &S,
    pending: &PendingCalls,
) -> Result<(), crate::source::SourceError> {
    let now_unix_ms = unix_ms();
    let mut remove: Vec<RequestFingerprint> = pending.remove.iter().copied().collect();
    if pending.is_read_due {
        let rows = source.poison().await?;
        let remaining_ms = |row: &PoisonRow| row.until_unix_ms.saturating_sub(now_unix_ms);
        let (expired, in_force): (Vec<&PoisonRow>, Vec<&PoisonRow>) =
            rows.iter().partition(|row| remaining_ms(row) == 0);
        remove.extend(expired.iter().map(|row| row.request));
        let requests = in_force.iter().map(|row| PoisonRequest {
            request: row.request,
            left_ms: remaining_ms(row).min(POISON_RETENTION_MS) as u32,
        });
        let requests: Vec<PoisonRequest> = requests.collect();
        if shared.merge_poison(&requests, "platform") {
            shared.publish_now.notify_one();
        }
    }
    let add = pending.add.iter().map(|request| PoisonRow {
        request: *request,
        until_unix_ms: now_unix_ms + POISON_RETENTION_MS,
    });
    let add: Vec<PoisonRow> = add.collect();
    if add.is_empty() && remove.is_empty() {
        return Ok(());
    }
    source.record_poison(&add, &remove).await
}

fn unix_ms() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    since_epoch.map_or(0, |since| since.as_millis() as u64)
}
