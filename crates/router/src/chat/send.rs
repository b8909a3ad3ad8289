//! Sends a chat request to an engine, and to another one while none has
//! started it.

use bytes::Bytes;
use chalkrock_core::{Endpoint, Outcome, Pool, Reason};
use reqwest::Method;
use tokio::time::Instant;

use crate::dispatch::{Attempt, CHAT_PATH, json_headers, send};
use crate::entry::Entered;
use crate::explain::Explanation;
use crate::owners::OnEngine;
use crate::place::{ChatPlace, Placed, place};
use crate::refusal::Refusal;
use crate::state::State;

/// Endpoints tried for one request while none has started it.
const ATTEMPTS_MAX: usize = 3;

/// A chat request on its way to an engine.
pub(super) struct Chat {
    pub(super) place: ChatPlace,
    pub(super) body: Bytes,
    /// Whether it may be sent again after an attempt of unknown outcome.
    pub(super) repeat_safe: bool,
}

/// A request that an engine runs.
pub(super) struct Dispatched {
    pub(super) endpoint: Endpoint,
    pub(super) on_engine: OnEngine,
    pub(super) response: reqwest::Response,
}

/// Finds an engine and sends, on to another one while none has started it.
pub(super) async fn dispatch(
    state: &State,
    explanation: &mut Explanation,
    entered: &Entered,
    pool: &Pool,
    chat: &Chat,
) -> Result<Dispatched, Refusal> {
    let mut engines = entered.view.live_in(&pool.name).to_vec();
    let mut refusal = Refusal::new(
        Reason::NoEndpoint,
        format!("{} has no live engine", pool.name),
    );
    for attempt in 0..ATTEMPTS_MAX {
        if engines.is_empty() || (attempt > 0 && !state.may_retry()) {
            break;
        }
        let Placed { engine, on_engine } =
            place(state, explanation, pool, &chat.place, &engines).await?;
        let start = Instant::now();
        let one = Attempt {
            request: &explanation.request,
            endpoint: &engine.endpoint,
            method: Method::POST,
            path: CHAT_PATH,
            headers: json_headers(),
            body: chat.body.clone(),
        };
        let sent = send(state, one).await;
        explanation.hop("dispatch", start);
        match sent {
            Ok(response) => {
                if attempt == 0 {
                    state.first_try_succeeded();
                }
                explanation.chosen = Some(engine.endpoint.name.clone());
                return Ok(Dispatched {
                    endpoint: engine.endpoint,
                    on_engine,
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
