//! Writes claims to the platform's table, many in one write.
//!
//! Routers send the claims of a key to one of a few agents, so that a hundred
//! writes a second carry the whole fleet: each of these agents writes at most
//! one batch in [`BATCH_EVERY`]. A batch whose answer was lost is settled row
//! by row; what can't be settled is said to be so.

use std::time::Duration;

use chalkrock_platform::{Expect, Platform, PlatformError, Row, RowVersion, RowWrite, WriteResult};
use chalkrock_process::Metrics;
use chalkrock_proto::{ClaimExpect, ClaimResult, ClaimWrite};
use tokio::sync::{mpsc, oneshot};
use tokio::time::{Instant, MissedTickBehavior};

const PART: &str = "agent.claims";
/// Time between two batches of one agent: 4 agents make 80 writes a second.
const BATCH_EVERY: Duration = Duration::from_millis(50);
/// Claims in one batch.
const BATCH_MAX: usize = 500;
/// Claims that wait; more are refused at once.
const WAITING_MAX: usize = 2_000;
/// How long an unanswered batch is settled.
const SETTLE_FOR: Duration = Duration::from_secs(1);
const SETTLE_PAUSE: Duration = Duration::from_millis(100);

/// A claim that waits for its batch.
struct Waiting {
    write: ClaimWrite,
    answer: oneshot::Sender<ClaimResult>,
}

/// Takes claims in.
#[derive(Clone)]
pub(crate) struct Claims(mpsc::Sender<Waiting>);

impl Claims {
    /// Starts the writer. It ends when the last handle is gone.
    pub(crate) fn start<P: Platform + Clone>(platform: P, metrics: Metrics) -> Self {
        let (tx, rx) = mpsc::channel(WAITING_MAX);
        tokio::spawn(write_batches(platform, metrics, rx));
        Self(tx)
    }

    /// Writes one claim with others.
    pub(crate) async fn write(&self, write: ClaimWrite) -> ClaimResult {
        let (answer, answered) = oneshot::channel();
        if self.0.try_send(Waiting { write, answer }).is_err() {
            return ClaimResult::Unavailable;
        }
        answered.await.unwrap_or(ClaimResult::Unsettled)
    }
}

async fn write_batches<P: Platform + Clone>(
    platform: P,
    metrics: Metrics,
    mut rx: mpsc::Receiver<Waiting>,
) {
    let mut ticks = tokio::time::interval(BATCH_EVERY);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut batch = Vec::new();
    while rx.recv_many(&mut batch, BATCH_MAX).await > 0 {
        ticks.tick().await;
        while batch.len() < BATCH_MAX
            && let Ok(waiting) = rx.try_recv()
        {
            batch.push(waiting);
        }
        metrics.count("claim_batches_total", "", 1);
        metrics.count("claims_total", "", batch.len() as u64);
        let batch = std::mem::take(&mut batch);
        tokio::spawn(write_batch(platform.clone(), batch));
    }
}

async fn write_batch<P: Platform>(platform: P, batch: Vec<Waiting>) {
    let writes: Vec<RowWrite> = batch
        .iter()
        .map(|waiting| row_write(&waiting.write))
        .collect();
    match platform.write_batch(writes).await {
        Ok(answers) if answers.len() == batch.len() => {
            for (waiting, answer) in batch.into_iter().zip(answers) {
                let _router_gone = waiting.answer.send(claim_answer(answer));
            }
        }
        Ok(_) => settle_all(&platform, batch).await,
        Err(error) if error.may_have_taken_effect() => {
            log::warn!(target: PART, "Batch of {} unanswered: {error}.", batch.len());
            settle_all(&platform, batch).await;
        }
        Err(error) => {
            log::debug!(target: PART, "Batch of {} not written: {error}.", batch.len());
            for waiting in batch {
                let _router_gone = waiting.answer.send(ClaimResult::Unavailable);
            }
        }
    }
}

async fn settle_all<P: Platform>(platform: &P, batch: Vec<Waiting>) {
    let settling = batch.into_iter().map(|waiting| async move {
        let answer = settle(platform, &waiting.write).await;
        let _router_gone = waiting.answer.send(answer);
    });
    futures::future::join_all(settling).await;
}

/// Settles one write whose answer was lost. It is written again under the
/// same condition: if the first write took effect, this one meets its row.
async fn settle<P: Platform>(platform: &P, write: &ClaimWrite) -> ClaimResult {
    let give_up_at = Instant::now() + SETTLE_FOR;
    while Instant::now() < give_up_at {
        let again = row_write(write);
        match platform
            .write_row(&again.key, &again.value, again.expect)
            .await
        {
            Ok(version) => return ClaimResult::Written { version: version.0 },
            Err(PlatformError::Conflict(Some(row))) if row.value == write.value => {
                return ClaimResult::Written {
                    version: row.version.0,
                };
            }
            Err(PlatformError::Conflict(row)) => {
                return claim_answer(WriteResult::Conflict(row));
            }
            Err(error) => log::debug!(target: PART, "Not settled yet: {error}."),
        }
        if let Ok(Some(row)) = platform.read_row(&write.key).await
            && let Some(answer) = read_answer(write, row)
        {
            return answer;
        }
        tokio::time::sleep(SETTLE_PAUSE).await;
    }
    ClaimResult::Unsettled
}

/// What a row that was read back says of an unanswered write: it took effect,
/// or another row stands where it would have, or nothing yet.
fn read_answer(write: &ClaimWrite, row: Row) -> Option<ClaimResult> {
    let version = row.version.0;
    if row.value == write.value {
        return Some(ClaimResult::Written { version });
    }
    let is_untouched = write.expect == ClaimExpect::Version(version);
    (!is_untouched).then_some(ClaimResult::Found {
        version,
        value: row.value,
    })
}

fn row_write(write: &ClaimWrite) -> RowWrite {
    let expect = match write.expect {
        ClaimExpect::Absent => Expect::Absent,
        ClaimExpect::Version(version) => Expect::Version(RowVersion(version)),
    };
    RowWrite {
        key: write.key.clone(),
        value: write.value.clone(),
        expect,
    }
}

fn claim_answer(answer: WriteResult) -> ClaimResult {
    match answer {
        WriteResult::Written(version) => ClaimResult::Written { version: version.0 },
        WriteResult::Conflict(Some(row)) => ClaimResult::Found {
            version: row.version.0,
            value: row.value,
        },
        WriteResult::Conflict(None) => ClaimResult::Gone,
    }
}
