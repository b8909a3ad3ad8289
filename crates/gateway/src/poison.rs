//! Keeps requests under which endpoints end from being sent on and on.
//!
//! A host notes what it had running where an endpoint ended, tells the others, and
//! refuses what [`PoisonEvidence`](chalkrock_routing::PoisonEvidence) says is to be
//! sent no further. What the fleet has found is recorded at the platform, so that it
//! outlives all hosts: relearning it would cost three endpoints more each time.

use std::collections::BTreeSet;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use chalkrock_core::{Endpoint, HostState, Reason};
use chalkrock_routing::{
    AttemptOutcome, POISON_RETENTION_MS, PoisonRequest, PoisonUpdate, PoisonVerdict,
    RequestFingerprint,
};
use tokio::sync::Notify;

use crate::edge::Refusal;
use crate::event_log::Event;
use crate::outage_log::OutageLog;
use crate::shared::Shared;
use crate::source::{PoisonRow, Source};

/// Pause after the platform did not take or give a record.
const RETRY_PAUSE: Duration = Duration::from_secs(1);

/// What is to be done at the platform.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
struct Work {
    reads: bool,
    add: BTreeSet<RequestFingerprint>,
    remove: BTreeSet<RequestFingerprint>,
}

/// Hands what is to be recorded to the task that does so.
#[derive(Debug, Default)]
pub(crate) struct PoisonRecords {
    work: Mutex<Work>,
    is_due: Notify,
}

impl PoisonRecords {
    /// The records are to be read.
    pub(crate) fn read(&self) {
        self.add_work(|work| work.reads = true);
    }

    fn record(&self, request: RequestFingerprint) {
        self.add_work(|work| {
            work.remove.remove(&request);
            work.add.insert(request);
        });
    }

    fn remove(&self, request: RequestFingerprint) {
        self.add_work(|work| {
            work.add.remove(&request);
            work.remove.insert(request);
        });
    }

    fn add_work(&self, add: impl FnOnce(&mut Work)) {
        add(&mut self.work());
        self.is_due.notify_one();
    }

    fn take(&self) -> Work {
        std::mem::take(&mut self.work())
    }

    /// Gives back what could not be done. What has come in since goes before it.
    fn give_back(&self, undone: Work) {
        let mut work = self.work();
        work.reads |= undone.reads;
        let Work { add, remove, .. } = &mut *work;
        add.extend(undone.add.difference(remove).copied().collect::<Vec<_>>());
        remove.extend(undone.remove.difference(add).copied().collect::<Vec<_>>());
    }

    fn work(&self) -> MutexGuard<'_, Work> {
        self.work.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// An attempt that ended without its whole answer.
#[derive(Clone, Copy, Debug)]
pub(crate) struct BrokenAttempt {
    pub(crate) end: AttemptOutcome,
    /// For how long it had given bytes of its answer.
    pub(crate) ran_ms: u64,
}

impl Shared {
    /// Refuses a request that is sent no further.
    pub(crate) fn refuse_poison(&self, request: RequestFingerprint) -> Result<(), Refusal> {
        let now_ms = self.clock.now_ms();
        let mut fleet = self.fleet();
        let Some(left_ms) = fleet.poison.remaining_ms(request, now_ms) else {
            return Ok(());
        };
        fleet.poison.record_repeat(request, now_ms);
        let crashes = fleet.poison.crashes(request);
        drop(fleet);
        self.metrics.count("poison_refused_total", "", 1);
        let detail = format!("{request}: endpoints ended under it, {crashes} known here");
        Err(Refusal {
            retry_after_ms: Some(left_ms),
            ..Refusal::new(Reason::PoisonRequest, detail)
        })
    }

    /// An attempt broke off. Finds out whether its endpoint has ended, and notes
    /// what ran there. An endpoint that was leaving had reason to end. The others are
    /// told at once of what was there twice, and of the rest in the next round: where a
    /// zone is lost each request that broke would bring a round of its own.
    pub(crate) async fn record_broken_attempt(
        &self,
        request: RequestFingerprint,
        endpoint: &Endpoint,
        broken: BrokenAttempt,
    ) {
        let BrokenAttempt { end, ran_ms } = broken;
        let is_leaving = endpoint.state == HostState::Leaving;
        if end != AttemptOutcome::Broken || is_leaving {
            return;
        }
        let start = endpoint.start_hash().short();
        if !self
            .termination_checks
            .has_terminated(start, endpoint.address)
            .await
        {
            return;
        }
        let now_ms = self.clock.now_ms();
        let mut fleet = self.fleet();
        let verdict = fleet.poison.record_crash(request, start, ran_ms, now_ms);
        let crashes = fleet.poison.crashes(request);
        drop(fleet);
        self.event_log.emit(&Event::EndpointEnded {
            endpoint: &endpoint.name,
            fingerprint: request,
            ran_ms,
            crashes,
        });
        self.take_verdicts(verdict, "own");
        if crashes > 1 {
            self.publish_now.notify_one();
        }
    }

    /// Waits until a request is to be sent no further. One that an endpoint has not
    /// begun to answer by then is taken back: run late, it would end it as well.
    pub(crate) async fn wait_until_poison(&self, request: RequestFingerprint) {
        loop {
            let found = self.poison_found.notified();
            let now_ms = self.clock.now_ms();
            if self.fleet().poison.is_poison(request, now_ms) {
                return;
            }
            found.await;
        }
    }

    /// A request ran to a good end.
    pub(crate) fn record_completed_run(&self, request: RequestFingerprint) {
        let now_ms = self.clock.now_ms();
        let verdict = self.fleet().poison.record_completion(request, now_ms);
        self.take_verdicts(verdict, "own");
    }

    /// Another host told what it saw of requests.
    pub(crate) fn merge_poison_updates(&self, told: &[PoisonUpdate], passes_on: bool) {
        let now_ms = self.clock.now_ms();
        let verdicts = self.fleet().poison.merge(told, passes_on, now_ms);
        if passes_on && !verdicts.is_empty() {
            self.publish_now.notify_one();
        }
        self.take_verdicts(verdicts, "peer");
    }

    /// Another host, or the platform, told what is sent no further. Returns
    /// whether any of it is news.
    pub(crate) fn merge_poison(&self, told: &[PoisonRequest], from: &str) -> bool {
        if told.is_empty() {
            return false;
        }
        let now_ms = self.clock.now_ms();
        let verdicts = self.fleet().poison.merge_poison(told, now_ms);
        let is_news = !verdicts.is_empty();
        self.take_verdicts(verdicts, from);
        is_news
    }

    /// The records of refused requests may be gone: those that are known are written
    /// again.
    pub(crate) fn record_poison_again(&self) {
        let now_ms = self.clock.now_ms();
        let poison = self.fleet().poison.poison_requests(usize::MAX, now_ms);
        for request in poison {
            self.poison_records.record(request.request);
        }
    }

    fn take_verdicts(&self, verdicts: impl IntoIterator<Item = PoisonVerdict>, from: &str) {
        for verdict in verdicts {
            let (fingerprint, is_poison) = match verdict {
                PoisonVerdict::Poison { request, records } => {
                    if records {
                        self.poison_records.record(request);
                    }
                    self.poison_found.notify_waiters();
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
            self.event_log.emit(&Event::Poison {
                fingerprint,
                is_poison,
                crashes,
                from,
            });
        }
    }
}

/// Records at the platform what this host has found, and reads what others have,
/// until the process ends.
pub(crate) async fn sync_poison_records<S: Source>(shared: Arc<Shared>, source: Arc<S>) {
    let mut outage = OutageLog::new("platform-poison");
    loop {
        shared.poison_records.is_due.notified().await;
        loop {
            let work = shared.poison_records.take();
            if work == Work::default() {
                break;
            }
            let Err(error) = carry_out(&shared, &*source, &work).await else {
                outage.worked(&shared);
                continue;
            };
            outage.failed(&shared, &error);
            shared.poison_records.give_back(work);
            tokio::time::sleep(RETRY_PAUSE).await;
        }
    }
}

async fn carry_out<S: Source>(
    shared: &Shared,
    source: &S,
    work: &Work,
) -> Result<(), crate::source::SourceError> {
    let now_unix_ms = unix_ms();
    let mut remove: Vec<RequestFingerprint> = work.remove.iter().copied().collect();
    if work.reads {
        let rows = source.poison().await?;
        let left_ms = |row: &PoisonRow| row.until_unix_ms.saturating_sub(now_unix_ms);
        let (over, in_force): (Vec<&PoisonRow>, Vec<&PoisonRow>) =
            rows.iter().partition(|row| left_ms(row) == 0);
        remove.extend(over.iter().map(|row| row.request));
        let told = in_force.iter().map(|row| PoisonRequest {
            request: row.request,
            left_ms: left_ms(row).min(POISON_RETENTION_MS) as u32,
        });
        let told: Vec<PoisonRequest> = told.collect();
        if shared.merge_poison(&told, "platform") {
            shared.publish_now.notify_one();
        }
    }
    let add = work.add.iter().map(|request| PoisonRow {
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
