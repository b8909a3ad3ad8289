//! Sends a chat request to an engine, with retries on other engines.

use bytes::Bytes;
use chalkrock_core::{Endpoint, Outcome, Pool, Reason};
use reqwest::Method;
use tokio::time::Instant;

use crate::dispatch::{Attempt, CHAT_PATH, json_headers, send};
use crate::entry::Admitted;
use crate::explain::Explanation;
use crate::owners::InFlightRequest;
use crate::place::{ChatPlacement, PlacedRequest, place};
use crate::refusal::Refusal;
use crate::state::State;

/// Engines tried for one request.
const MAX_ATTEMPTS: usize = 3;

/// A chat request to dispatch.
pub(super) struct OutgoingChat {
    pub(super) place: ChatPlacement,
    pub(super) body: Bytes,
    /// Whether it may be retried after an unknown outcome.
    pub(super) repeat_safe: bool,
}

/// A request that an engine has accepted.
pub(super) struct Dispatched {
    pub(super) endpoint: Endpoint,
    pub(super) in_flight: InFlightRequest,
    pub(super) response: reqwest::Response,
}

/// Sends the request to an engine, and retries on others if that is safe.
pub(super) async fn dispatch(
    state: &State,
    explanation: &mut Explanation,
    admitted: &Admitted,
    pool: &Pool,
    chat: &OutgoingChat,
) -> Result<Dispatched, Refusal> {
    let mut engines = admitted.view.live_in(&pool.name).to_vec();
    let mut refusal = Refusal::new(
        Reason::NoEndpoint,
        format!("{} has no live engine", pool.name),
    );
    for attempt in 0..MAX_ATTEMPTS {
        if engines.is_empty() || (attempt > 0 && !state.take_retry()) {
            break;
        }
        let PlacedRequest { engine, in_flight } =
            place(state, explanation, pool, &chat.place, &engines).await?;
        let start = Instant::now();
        let outgoing = Attempt {
            request: &explanation.request,
            endpoint: &engine.endpoint,
            method: Method::POST,
            path: CHAT_PATH,
            headers: json_headers(),
            body: chat.body.clone(),
        };
        let sent = send(state, outgoing).await;
        explanation.record_hop("dispatch", start);
        match sent {
            Ok(response) => {
                if attempt == 0 {
                    state.record_first_try_success();
                }
                explanation.chosen = Some(engine.endpoint.name.clone());
                return Ok(Dispatched {
                    endpoint: engine.endpoint,
                    in_flight,
                    response,
                });
            }
            Err(failed) if failed.reason.outcome() == Outcome::NotRun || chat.repeat_safe => {
                engines.retain(|other| other.hash != engine.hash);
                refusal = failed;
            }
            Err(failed) => return Err(failed),
        }
    }
    Err(refusal)
}
