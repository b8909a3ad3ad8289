//! Lets a request wait for a slot of a contended pool.

use std::sync::Arc;

use chalkrock_core::Reason;
use chalkrock_routing::RejectionCause;
use tokio::time::Instant;

use crate::clock::ms;
use crate::edge::Refusal;
use crate::event_log::Event;
use crate::fleet::SelectedEndpoint;
use crate::pool_queue::client::{Entry, WaitRefusal};
use crate::pool_queue::waiting::{Decision, Lease};
use crate::progress::Progress;
use crate::shared::Shared;

/// Most grants that a request can't use. After that its host places it.
const MAX_UNUSABLE_GRANTS: usize = 2;
/// Age of a grant from which on it is not used: the host was suspended or overloaded, and
/// the scheduler may have granted the slot again.
const MAX_GRANT_AGE_MS: u64 = 250;

/// A slot that a request may use.
pub(crate) struct GrantedSlot {
    pub(crate) choice: SelectedEndpoint,
    pub(crate) lease: Lease,
    /// How long the request waited for it.
    pub(crate) waited_ms: u64,
}

/// Waits for a slot if the request's pool is contended. Returns `None` if this host places
/// the request itself.
pub(crate) async fn wait_for_slot(
    shared: &Arc<Shared>,
    progress: &mut Progress,
) -> Result<Option<GrantedSlot>, Refusal> {
    let slot = try_wait(shared, progress).await;
    // Otherwise a slot that was granted before stays in use.
    progress.give_back_lease();
    slot
}

async fn try_wait(
    shared: &Arc<Shared>,
    progress: &mut Progress,
) -> Result<Option<GrantedSlot>, Refusal> {
    if !progress.may_queue() {
        return Ok(None);
    }
    let call = progress.call().clone();
    let queues = &shared.pool_queues;
    let entered_at = Instant::now();
    let waited_ms = || entered_at.elapsed().as_millis() as u64;
    let mut unusable = Vec::new();
    for _ in 0..=MAX_UNUSABLE_GRANTS {
        let now_ms = shared.clock.now_ms();
        let pool_use = || shared.fleet().pool_use(&call.pool, now_ms);
        let (is_contended, change) = queues.is_contended(&call.pool, pool_use, now_ms);
        if let Some(change) = change {
            shared.event_log.emit(&Event::PoolContended {
                pool: &change.pool,
                is_contended: change.is_contended,
                in_progress: change.pool_use.in_progress,
                slots: change.pool_use.slots,
                hosts: change.pool_use.hosts,
            });
        }
        if !is_contended || !shared.fleet().has_open_endpoint(&call.pool, now_ms) {
            return Ok(None);
        }
        let request = progress.slot_request(&unusable, now_ms);
        let spread_draw = request.spread_draw;
        let max_wait = ms(request.start_by_ms.saturating_sub(now_ms));
        let mut waiting = match queues.enter(&call.pool, request, now_ms) {
            Entry::NotQueued => return Ok(None),
            Entry::Refused(refusal) => return Err(refuse_entry(progress, refusal)),
            Entry::Waits(waiting) => waiting,
        };
        let decision = tokio::time::timeout(max_wait, waiting.decision()).await;
        drop(waiting);
        // The host may have been suspended meanwhile.
        shared.wait_for_view().await;
        match decision {
            Ok(Decision::Granted {
                endpoint,
                lease,
                at_ms,
            }) => {
                let age_ms = shared.clock.now_ms().saturating_sub(at_ms);
                if age_ms > MAX_GRANT_AGE_MS {
                    continue;
                }
                match progress.accept_grant(endpoint) {
                    Some(choice) => {
                        let waited_ms = waited_ms();
                        return Ok(Some(GrantedSlot {
                            choice,
                            lease,
                            waited_ms,
                        }));
                    }
                    None => {
                        progress.keep_unused_lease(Some(lease));
                        unusable.push(endpoint);
                    }
                }
            }
            Ok(Decision::Rejected {
                cause,
                retry_after_ms,
                epoch,
            }) => {
                let (reason, why) = match cause {
                    RejectionCause::Full => (Reason::AtBound, "no slot is expected in time"),
                    RejectionCause::OverShare => (
                        Reason::OverShare,
                        "the organisation uses more than its share of the pool",
                    ),
                };
                let waited_ms = waited_ms();
                let detail = format!("{why}; waited {waited_ms} ms, scheduler epoch {epoch}");
                return Err(progress.slot_refusal(reason, Some(retry_after_ms), detail));
            }
            Ok(Decision::Displaced { retry_after_ms }) => {
                let waited_ms = waited_ms();
                let detail = format!("a more urgent request took its place; waited {waited_ms} ms");
                return Err(progress.slot_refusal(Reason::AtBound, retry_after_ms, detail));
            }
            Ok(Decision::Unscheduled) => return Ok(None),
            Err(_elapsed) => {
                shared.metrics.count("slot_waits_expired_total", "", 1);
                let now_ms = shared.clock.now_ms();
                let retry_after_ms = queues.return_ms(&call.pool, spread_draw, now_ms);
                let waited_ms = waited_ms();
                let detail = format!("no slot was granted in time; waited {waited_ms} ms");
                return Err(progress.slot_refusal(Reason::AtBound, retry_after_ms, detail));
            }
        }
    }
    Ok(None)
}

fn refuse_entry(progress: &Progress, refusal: WaitRefusal) -> Refusal {
    match refusal {
        WaitRefusal::Full { retry_after_ms } => {
            let detail = "too many requests wait on this host".to_owned();
            progress.slot_refusal(Reason::AtBound, retry_after_ms, detail)
        }
        WaitRefusal::OverShare {
            admit_permille,
            retry_after_ms,
        } => {
            let detail = format!(
                "the organisation uses more than its share of the pool; \
                 {admit_permille} of 1,000 requests are let through"
            );
            progress.slot_refusal(Reason::OverShare, Some(retry_after_ms), detail)
        }
    }
}
