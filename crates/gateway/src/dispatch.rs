//! Sends a request to an endpoint, and retries at others where that is allowed.

use std::sync::Arc;

use chalkrock_routing::{AttemptOutcome, Next};

use crate::attempt::{AttemptFailure, AttemptResponse, attempt};
use crate::edge::Refusal;
use crate::forward::{Path, forward};
use crate::poison::BrokenAttempt;
use crate::pool_queue::{GrantedSlot, wait_for_slot};
use crate::progress::{GrantRecord, Progress};
use crate::shared::Shared;

/// Time before a deadline reserved for the response to reach the caller.
const DEADLINE_RESERVE_MS: u64 = 10;

/// Tries endpoints until one responds or no further attempt is allowed.
pub(crate) async fn dispatch(
    shared: &Arc<Shared>,
    progress: &mut Progress,
    resume_after: Option<u64>,
) -> Result<AttemptResponse, Refusal> {
    loop {
        shared.wait_for_view().await;
        // Before the request waits for a slot, and again after it did.
        progress.check_poison()?;
        let slot = wait_for_slot(shared, progress).await?;
        if slot.is_none() {
            progress.admit().await?;
        }
        progress.check_poison()?;
        if progress.call().remaining_ms() <= DEADLINE_RESERVE_MS {
            return Err(progress.deadline_refusal());
        }
        let (choice, granted) = match slot {
            Some(slot) => {
                let GrantedSlot {
                    choice,
                    lease,
                    waited_ms,
                } = slot;
                (choice, Some((lease, waited_ms)))
            }
            None => {
                let choice = match progress.choose_endpoint() {
                    Some(choice) => choice,
                    None if progress.reconsider_unreached_endpoints().await => continue,
                    None if progress.wait_for_record().await => continue,
                    None => match progress.wait_for_room().await {
                        Some(choice) => choice,
                        None => return Err(progress.no_endpoint_refusal()),
                    },
                };
                (choice, None)
            }
        };
        let grant = granted.as_ref().map(|(lease, waited_ms)| GrantRecord {
            waited_ms: *waited_ms,
            epoch: lease.epoch,
        });
        let lease = granted.map(|(lease, _)| lease);
        let path = progress.path_to(&choice);
        progress.begin(&choice, grant, path.next_hop());
        let response = match path {
            Path::Direct => attempt(shared, progress, &choice, lease, resume_after).await,
            Path::Through(next_hop) => {
                forward(shared, progress, next_hop, lease, resume_after).await
            }
            Path::None => Err(AttemptFailure {
                unused_lease: lease,
                ..AttemptFailure::new(AttemptOutcome::Withdrawn)
            }),
        };
        let failure = match response {
            Ok(response) => return Ok(response),
            Err(failure) => failure,
        };
        let broken = BrokenAttempt {
            end: failure.end,
            ran_ms: 0,
        };
        progress.keep_unused_lease(failure.unused_lease);
        match progress.end_attempt(broken).await {
            Next::Elsewhere => {}
            Next::GiveUp(reason) => {
                let detail = choice.member.endpoint.name.to_string();
                return failure
                    .response
                    .map(AttemptResponse::Buffered)
                    .ok_or_else(|| progress.final_refusal(reason, detail));
            }
        }
    }
}
