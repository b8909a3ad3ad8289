//! Sends a request to an endpoint, and to another one where that is allowed.

use std::sync::Arc;

use chalkrock_routing::Next;

use crate::attempt::{AttemptResponse, attempt};
use crate::edge::Refusal;
use crate::poison::BrokenAttempt;
use crate::progress::Progress;
use crate::shared::Shared;

/// What is kept of a deadline for the answer to reach the caller.
const DEADLINE_RESERVE_MS: u64 = 10;

/// Finds endpoints and sends until one answers or no more may be tried.
pub(crate) async fn dispatch(
    shared: &Arc<Shared>,
    progress: &mut Progress,
    resume_after: Option<u64>,
) -> Result<AttemptResponse, Refusal> {
    progress.admit()?;
    loop {
        shared.wait_for_view().await;
        progress.may_send()?;
        if progress.call().left_ms() <= DEADLINE_RESERVE_MS {
            return Err(progress.too_late());
        }
        let Some(choice) = progress.place() else {
            return Err(progress.none_left());
        };
        progress.begin(&choice);
        let failure = match attempt(shared, progress, &choice, resume_after).await {
            Ok(opened) => return Ok(opened),
            Err(failure) => failure,
        };
        let broken = BrokenAttempt {
            end: failure.end,
            ran_ms: 0,
        };
        match progress.end(broken).await {
            Next::Elsewhere => {}
            Next::GiveUp(reason) => {
                let detail = choice.member.endpoint.name.to_string();
                return failure
                    .answer
                    .map(AttemptResponse::Buffered)
                    .ok_or_else(|| progress.give_up(reason, detail));
            }
        }
    }
}
