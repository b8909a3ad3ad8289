//! Idempotency-key claims: at most one request per key runs.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use axum::http::HeaderMap;
use chalkrock_core::rendezvous::{self, KeyHash, MemberHash};
use chalkrock_core::{
    ClaimDecision, ClaimRow, ClaimState, Host, MAX_CLAIM_KEY_BYTES, Outcome, Reason, claim_row_key,
    key_digest,
};
use chalkrock_proto::{
    AgentApiClient, ClaimExpect, ClaimResult, ClaimWrite, Hello, Purpose, connect,
};
use tarpc::context;

use crate::claim_writers::ClaimWriters;
use crate::entry::Admitted;
use crate::explain::Explanation;
use crate::refusal::Refusal;
use crate::state::State;
use crate::view::RouterView;

const LOG_TARGET: &str = "router.claims";
/// Header of the IETF draft "The Idempotency-Key HTTP Header Field".
const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";
/// Remote agents tried before the local one.
const MAX_REMOTE_WRITERS: usize = 3;
/// Timeout of a claim write, including its settlement.
const CLAIM_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Attempts to write the end of a claim.
const MAX_END_ATTEMPTS: u32 = 5;
const RETRY_PAUSE: Duration = Duration::from_millis(500);
/// Attempts to withdraw a claim that may have been written.
const MAX_WITHDRAW_ATTEMPTS: u32 = 120;

/// A claim that this router holds. One that is dropped without [`Claim::end`]
/// stays in the running state, with an unknown outcome.
#[derive(Debug)]
pub(crate) struct Claim {
    row_key: String,
    row: ClaimRow,
    version: u64,
}

/// Claims the request's key, if it has one.
///
/// # Errors
///
/// If the key was used before or the store is unavailable. The request has not
/// run.
pub(crate) async fn claim(
    state: &Arc<State>,
    explanation: &mut Explanation,
    admitted: &Admitted,
    headers: &HeaderMap,
    body: &[u8],
    deadline_ms: u64,
) -> Result<Option<Claim>, Refusal> {
    let Some(key) = headers.get(IDEMPOTENCY_KEY_HEADER) else {
        return Ok(None);
    };
    let invalid = || {
        let detail = format!("Idempotency-Key: 1 to {MAX_CLAIM_KEY_BYTES} visible characters");
        Refusal::new(Reason::InvalidRequest, detail)
    };
    let key = key.to_str().map_err(|_| invalid())?;
    if key.is_empty() || key.len() > MAX_CLAIM_KEY_BYTES {
        return Err(invalid());
    }
    let start = tokio::time::Instant::now();
    let row = ClaimRow {
        request: explanation.request.clone(),
        host: state.settings.host.clone(),
        body_sha256: key_digest(&String::from_utf8_lossy(body)),
        deadline_at_ms: unix_ms() + deadline_ms,
        state: ClaimState::Running,
    };
    let row_key = claim_row_key(&admitted.organisation, key);
    let claimed = insert_claim(state, &admitted.view, row_key, row).await;
    explanation.record_hop("claim", start);
    claimed.map(Some)
}

async fn insert_claim(
    state: &Arc<State>,
    view: &RouterView,
    row_key: String,
    row: ClaimRow,
) -> Result<Claim, Refusal> {
    let mut expect = ClaimExpect::Absent;
    // The second attempt replaces the row of a request that did not run.
    for _ in 0..2 {
        match write(state, view, &row_key, &row, expect).await {
            ClaimResult::Written { version } => {
                return Ok(Claim {
                    row_key,
                    row,
                    version,
                });
            }
            ClaimResult::Found { version, value } => match decide(&row, &value)? {
                ClaimDecision::Own => {
                    return Ok(Claim {
                        row_key,
                        row,
                        version,
                    });
                }
                ClaimDecision::Replace => expect = ClaimExpect::Version(version),
                ClaimDecision::Refuse(reason, outcome) => {
                    let detail = format!("the key was used by an earlier request: {outcome}");
                    return Err(Refusal::new(reason, detail));
                }
            },
            ClaimResult::Unsettled => {
                withdraw(state, row_key, row);
                break;
            }
            ClaimResult::Gone | ClaimResult::Unavailable => break,
        }
    }
    let detail = "the claim could not be written, so the request was not run";
    Err(Refusal::new(Reason::ClaimsUnavailable, detail))
}

/// Marks a claim that may have been written as not run. Otherwise the caller's
/// repeat would find it running.
fn withdraw(state: &Arc<State>, row_key: String, mut row: ClaimRow) {
    let state = state.clone();
    row.state = ClaimState::Ended(Outcome::NotRun);
    tokio::spawn(async move {
        let mut expect = ClaimExpect::Absent;
        for _ in 0..MAX_WITHDRAW_ATTEMPTS {
            let view = state.view.load_full();
            match write(&state, &view, &row_key, &row, expect).await {
                ClaimResult::Written { .. } => return,
                ClaimResult::Found { version, value } => match decide(&row, &value) {
                    Ok(ClaimDecision::Own) => expect = ClaimExpect::Version(version),
                    _ => return,
                },
                ClaimResult::Gone => expect = ClaimExpect::Absent,
                ClaimResult::Unavailable | ClaimResult::Unsettled => {
                    tokio::time::sleep(RETRY_PAUSE).await;
                }
            }
        }
        log::warn!(target: LOG_TARGET, "Claim of request {} not withdrawn.", row.request);
    });
}

fn decide(row: &ClaimRow, found: &str) -> Result<ClaimDecision, Refusal> {
    let found: ClaimRow = serde_json::from_str(found).map_err(|error| {
        log::error!(target: LOG_TARGET, "Invalid claim row: {error}.");
        Refusal::new(Reason::ClaimsUnavailable, "the key's claim is invalid")
    })?;
    Ok(found.decide(&row.request, &row.body_sha256, unix_ms()))
}

async fn write(
    state: &State,
    view: &RouterView,
    row_key: &str,
    row: &ClaimRow,
    expect: ClaimExpect,
) -> ClaimResult {
    let Ok(value) = serde_json::to_string(row) else {
        return ClaimResult::Unavailable;
    };
    let Some(writer) = connect_writer(state, view, row_key).await else {
        return ClaimResult::Unavailable;
    };
    let write = ClaimWrite {
        key: row_key.to_owned(),
        value,
        expect,
    };
    let writing = writer.write_claim(context::current(), write);
    match tokio::time::timeout(CLAIM_TIMEOUT, writing).await {
        Ok(Ok(Ok(answer))) => answer,
        Ok(Ok(Err(error))) => {
            log::warn!(target: LOG_TARGET, "Claim writer rejected the request: {error}.");
            ClaimResult::Unavailable
        }
        Ok(Err(_)) | Err(_) => {
            state.claim_writers.remove(row_key);
            ClaimResult::Unsettled
        }
    }
}

/// Connects to the highest-ranked reachable writer of the key. The local agent
/// comes last, as the first host list may be empty.
async fn connect_writer(state: &State, view: &RouterView, row_key: &str) -> Option<AgentApiClient> {
    if let Some(client) = state.claim_writers.get(row_key) {
        return Some(client);
    }
    for address in writers_by_rank(state, view, row_key) {
        let hello = Hello {
            purpose: Purpose::Claims,
            ..state.hello.clone()
        };
        let count = state.traffic.new_counter(Purpose::Claims);
        match connect(address, hello, count).await {
            Ok(client) => {
                state.claim_writers.insert(row_key, client.clone());
                return Some(client);
            }
            Err(error) => log::debug!(target: LOG_TARGET, "{error}."),
        }
    }
    None
}

fn writers_by_rank(state: &State, view: &RouterView, row_key: &str) -> Vec<SocketAddr> {
    let group = MemberHash::of(&format!("claim-writer-{}", ClaimWriters::group(row_key)));
    let rank = |host: &Host| {
        let hash = MemberHash::of(host.name.as_str());
        rendezvous::score(KeyHash(group.0), hash, 1.0)
    };
    let mut hosts: Vec<&Host> = view.hosts.hosts.iter().collect();
    hosts.sort_by(|a, b| rank(b).total_cmp(&rank(a)));
    let ranked = hosts.into_iter().map(|host| host.agent_address);
    ranked
        .take(MAX_REMOTE_WRITERS)
        .chain([state.settings.agent_address])
        .collect()
}

impl Claim {
    /// Writes the request's outcome in the background, with retries. Until it
    /// is written, a repeat receives an unknown outcome.
    pub(crate) fn end(mut self, state: &Arc<State>, outcome: Outcome) {
        let state = state.clone();
        self.row.state = ClaimState::Ended(outcome);
        tokio::spawn(async move {
            for _ in 0..MAX_END_ATTEMPTS {
                let view = state.view.load_full();
                let expect = ClaimExpect::Version(self.version);
                match write(&state, &view, &self.row_key, &self.row, expect).await {
                    ClaimResult::Written { .. } => return,
                    ClaimResult::Found { .. } | ClaimResult::Gone => break,
                    ClaimResult::Unavailable | ClaimResult::Unsettled => {
                        tokio::time::sleep(RETRY_PAUSE).await;
                    }
                }
            }
            log::warn!(target: LOG_TARGET, "Could not write the outcome of request {}: {outcome}.", self.row.request);
        });
    }
}

/// Milliseconds of Unix time. Claims outlive routers, so deadlines use the wall
/// clock. Skew only shifts when a repeat gets `key-used` for `key-in-use`.
fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as u64)
}
