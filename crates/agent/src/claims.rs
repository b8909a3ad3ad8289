//! Writes claims to the store in batches.
//!
//! Routers send the claims of a key to one of a few agents, each of which writes
//! at most one batch per [`BATCH_INTERVAL`]. A batch whose response was lost is
//! settled row by row; rows that cannot be settled are reported as unsettled.

use std::time::Duration;

use chalkrock_platform::{Expect, Platform, PlatformError, Row, RowVersion, RowWrite, WriteResult};
use chalkrock_process::Metrics;
use chalkrock_proto::{ClaimExpect, ClaimResult, ClaimWrite};
use tokio::sync::{mpsc, oneshot};
use tokio::time::{Instant, MissedTickBehavior};

const LOG_TARGET: &str = "agent.claims";
/// Minimum time between two batches; bounds the writes of the fleet: four agents make 80 a
/// second.
const BATCH_INTERVAL: Duration = Duration::from_millis(50);
/// Maximum number of claims in one batch.
const MAX_BATCH_CLAIMS: usize = 500;
/// Maximum number of queued claims; more are rejected.
const MAX_QUEUED_CLAIMS: usize = 2_000;
/// How long a batch without a response is settled.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(1);
const SETTLE_RETRY_PAUSE: Duration = Duration::from_millis(100);

/// A claim queued for the next batch.
struct QueuedClaim {
    write: ClaimWrite,
    answer: oneshot::Sender<ClaimResult>,
}

/// Queues claims for the batch writer.
#[derive(Clone)]
pub(crate) struct ClaimBatcher(mpsc::Sender<QueuedClaim>);

impl ClaimBatcher {
    /// Starts the writer, which ends when the last handle is dropped.
    pub(crate) fn start<P: Platform + Clone>(platform: P, metrics: Metrics) -> Self {
        let (tx, rx) = mpsc::channel(MAX_QUEUED_CLAIMS);
        tokio::spawn(write_batches(platform, metrics, rx));
        Self(tx)
    }

    /// Writes a claim in the next batch.
    pub(crate) async fn write(&self, write: ClaimWrite) -> ClaimResult {
        let (answer, answered) = oneshot::channel();
        if self.0.try_send(QueuedClaim { write, answer }).is_err() {
            return ClaimResult::Unavailable;
        }
        answered.await.unwrap_or(ClaimResult::Unsettled)
    }
}

async fn write_batches<P: Platform + Clone>(
    platform: P,
    metrics: Metrics,
    mut rx: mpsc::Receiver<QueuedClaim>,
) {
    let mut ticks = tokio::time::interval(BATCH_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut batch = Vec::new();
    while rx.recv_many(&mut batch, MAX_BATCH_CLAIMS).await > 0 {
        ticks.tick().await;
        while batch.len() < MAX_BATCH_CLAIMS
            && let Ok(queued) = rx.try_recv()
        {
            batch.push(queued);
        }
        metrics.count("claim_batches_total", "", 1);
        metrics.count("claims_total", "", batch.len() as u64);
        let batch = std::mem::take(&mut batch);
        tokio::spawn(write_batch(platform.clone(), batch));
    }
}

async fn write_batch<P: Platform>(platform: P, batch: Vec<QueuedClaim>) {
    let writes: Vec<RowWrite> = batch
        .iter()
        .map(|queued| row_write(&queued.write))
        .collect();
    match platform.write_batch(writes).await {
        Ok(answers) if answers.len() == batch.len() => {
            for (queued, answer) in batch.into_iter().zip(answers) {
                let _router_disconnected = queued.answer.send(claim_answer(answer));
            }
        }
        Ok(_) => settle_all(&platform, batch).await,
        Err(error) if error.may_have_taken_effect() => {
            log::warn!(target: LOG_TARGET, "Unknown result of a batch of {}: {error}.", batch.len());
            settle_all(&platform, batch).await;
        }
        Err(error) => {
            log::debug!(target: LOG_TARGET, "Could not write a batch of {}: {error}.", batch.len());
            for queued in batch {
                let _router_disconnected = queued.answer.send(ClaimResult::Unavailable);
            }
        }
    }
}

async fn settle_all<P: Platform>(platform: &P, batch: Vec<QueuedClaim>) {
    let settling = batch.into_iter().map(|queued| async move {
        let answer = settle(platform, &queued.write).await;
        let _router_disconnected = queued.answer.send(answer);
    });
    futures::future::join_all(settling).await;
}

/// Settles a write whose response was lost by repeating it under the same
/// condition. If the first write took effect, the repeat conflicts with its row.
async fn settle<P: Platform>(platform: &P, write: &ClaimWrite) -> ClaimResult {
    let deadline = Instant::now() + SETTLE_TIMEOUT;
    while Instant::now() < deadline {
        let retry = row_write(write);
        match platform
            .write_row(&retry.key, &retry.value, retry.expect)
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
            Err(error) => log::debug!(target: LOG_TARGET, "Not settled yet: {error}."),
        }
        if let Ok(Some(row)) = platform.read_row(&write.key).await
            && let Some(answer) = settled_answer(write, row)
        {
            return answer;
        }
        tokio::time::sleep(SETTLE_RETRY_PAUSE).await;
    }
    ClaimResult::Unsettled
}

/// Derives the result of a write from the row that was read back. Returns `None`
/// if the row is unchanged.
fn settled_answer(write: &ClaimWrite, row: Row) -> Option<ClaimResult> {
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
