//! Relays an engine's event stream to the caller, in order and without gaps.
//!
//! Events are numbered. Duplicates are dropped. After a gap or a disconnect the
//! stream is resumed on the same engine from the first missing event, or failed
//! over to another engine. If both fail, it ends with an error, not `[DONE]`.

use std::convert::Infallible;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use axum::response::sse::Event;
use bytes::Bytes;
use chalkrock_core::{
    Arrival, Endpoint, EndpointId, Outcome, Pool, Reason, StreamOrder, StreamPlace,
};
use eventsource_stream::{Event as SourceEvent, EventStreamError, Eventsource};
use futures::{Stream, StreamExt};
use reqwest::{Method, Response};
use serde::Deserialize;
use serde_json::{Value, json};
use tokio::time::Instant;

use crate::claims::Claim;
use crate::dispatch::{Attempt, CHAT_PATH, json_headers, send};
use crate::explain::{Explanation, Record};
use crate::owners::InFlightRequest;
use crate::place::{ChatPlacement, place};
use crate::refusal::Refusal;
use crate::state::State;

/// Last event of an OpenAI-style stream.
const DONE: &str = "[DONE]";
/// Resume attempts without a new event.
const MAX_RESUMES: u32 = 3;
/// Pause after a failed resume.
const RESUME_PAUSE: Duration = Duration::from_millis(20);
/// Longest event that is relayed.
const MAX_EVENT_BYTES: usize = 1024 * 1024;

type SourceError = EventStreamError<reqwest::Error>;
type Source = Pin<Box<dyn Stream<Item = Result<SourceEvent, SourceError>> + Send>>;

/// A stream to the caller. If the caller disconnects, dropping it closes the
/// engine's connection, which cancels the request there.
pub(crate) struct StreamRelay {
    state: Arc<State>,
    explanation: Option<Explanation>,
    endpoint: Endpoint,
    in_flight: Option<InFlightRequest>,
    claim: Option<Claim>,
    /// Token with which any router can resume; part of each event id.
    place: String,
    source: Source,
    order: StreamOrder,
    base: u64,
    failover: Option<Failover>,
    resumes: u32,
    started_at: Instant,
    first_event: bool,
    phase: Phase,
}

/// A stream that an engine has started.
pub(crate) struct StartedStream {
    pub(crate) endpoint: Endpoint,
    /// The request counted on the engine; `None` for a resumed stream.
    pub(crate) in_flight: Option<InFlightRequest>,
    /// The request's claim.
    pub(crate) claim: Option<Claim>,
    /// Token with which any router can resume.
    pub(crate) place: String,
    pub(crate) response: Response,
    /// Number of the first event to send.
    pub(crate) first_number: u64,
    /// Number, in the caller's stream, of the engine's first event.
    pub(crate) base: u64,
    /// Failover state; `None` for requests that are unsafe to repeat and for
    /// resumed streams.
    pub(crate) failover: Option<Failover>,
}

/// State for failing over to another engine.
pub(crate) struct Failover {
    pub(crate) pool: Pool,
    pub(crate) chat: ChatPlacement,
    /// Body of the caller's request.
    pub(crate) body: Bytes,
    /// Text sent to the caller.
    pub(crate) text: String,
    /// Engines that failed.
    pub(crate) failed_engines: Vec<EndpointId>,
}

enum Phase {
    Streaming,
    Closing,
    Ended,
}

/// The parsed fields of a chunk.
#[derive(Deserialize)]
struct Chunk {
    #[serde(default)]
    choices: Vec<Choice>,
    usage: Option<Usage>,
}

#[derive(Deserialize)]
struct Choice {
    delta: Option<Delta>,
}

#[derive(Deserialize)]
struct Delta {
    content: Option<String>,
}

#[derive(Deserialize)]
struct Usage {
    prompt_tokens_details: Option<PromptDetails>,
}

#[derive(Deserialize)]
struct PromptDetails {
    cached_tokens: Option<u64>,
}

/// Action for one event from the engine.
enum Step {
    Send(Event),
    Skip,
    Resume,
    Fail(Refusal),
}

fn event_source(response: Response) -> Source {
    Box::pin(response.bytes_stream().eventsource())
}

impl StreamRelay {
    pub(crate) fn new(state: Arc<State>, explanation: Explanation, started: StartedStream) -> Self {
        Self {
            state,
            explanation: Some(explanation),
            endpoint: started.endpoint,
            in_flight: started.in_flight,
            claim: started.claim,
            place: started.place,
            source: event_source(started.response),
            order: StreamOrder::starting_at(started.first_number),
            base: started.base,
            failover: started.failover,
            resumes: 0,
            started_at: Instant::now(),
            first_event: true,
            phase: Phase::Streaming,
        }
    }

    /// Returns the events for the caller.
    pub(crate) fn into_events(self) -> impl Stream<Item = Result<Event, Infallible>> {
        futures::stream::unfold(self, |mut relay| async move {
            let event = relay.next().await?;
            Some((Ok(event), relay))
        })
    }

    async fn next(&mut self) -> Option<Event> {
        match self.phase {
            Phase::Streaming => {}
            Phase::Closing => {
                self.phase = Phase::Ended;
                self.finish(Outcome::Ran, None);
                return Some(Event::default().data(DONE));
            }
            Phase::Ended => return None,
        }
        loop {
            let step = match self.source.next().await {
                Some(Ok(event)) => self.handle_event(event),
                Some(Err(_)) | None => Step::Resume,
            };
            match step {
                Step::Send(event) => return Some(event),
                Step::Skip => {}
                Step::Resume => {
                    // The caller has part of the response, so the error is the
                    // lost engine, not the failed failover.
                    if let Err(lost) = self.resume().await
                        && self.fail_over().await.is_none()
                    {
                        return Some(self.fail(lost));
                    }
                }
                Step::Fail(refusal) => return Some(self.fail(refusal)),
            }
        }
    }

    fn handle_event(&mut self, event: SourceEvent) -> Step {
        if event.data == DONE {
            self.phase = Phase::Closing;
            return Step::Send(self.outcome_event());
        }
        if event.data.len() > MAX_EVENT_BYTES {
            return self.invalid_event("an event is too long");
        }
        let Ok(number) = event.id.parse::<u64>() else {
            return self.invalid_event("an event has no number");
        };
        let number = self.base + number;
        match self.order.accept(number) {
            // Only attempts without progress count.
            Arrival::Forward => self.resumes = 0,
            Arrival::Duplicate => return Step::Skip,
            Arrival::Gap { .. } => return Step::Resume,
        }
        let Ok(chunk) = serde_json::from_str::<Chunk>(&event.data) else {
            return self.invalid_event("an event is not JSON");
        };
        self.record_chunk(chunk);
        let id = format!("{number}.{}", self.place);
        Step::Send(Event::default().id(id).data(event.data))
    }

    fn record_chunk(&mut self, chunk: Chunk) {
        if let Some(failover) = &mut self.failover {
            let deltas = chunk
                .choices
                .iter()
                .filter_map(|choice| choice.delta.as_ref());
            failover
                .text
                .extend(deltas.filter_map(|delta| delta.content.as_deref()));
        }
        let Some(explanation) = &mut self.explanation else {
            return;
        };
        if self.first_event {
            self.first_event = false;
            explanation.record_hop("first event", self.started_at);
            let pool = explanation.pool.as_ref().map_or("", |pool| pool.as_str());
            let labels = format!("pool=\"{pool}\"");
            let latency = explanation.entered_at().elapsed();
            self.state.metrics.latency("first_event", &labels, latency);
        }
        let details = chunk.usage.and_then(|usage| usage.prompt_tokens_details);
        if let Some(cached) = details.and_then(|details| details.cached_tokens) {
            explanation.cached_tokens = Some(cached);
        }
    }

    fn invalid_event(&self, what: &str) -> Step {
        let detail = format!("{}: {what}", self.endpoint.name);
        Step::Fail(Refusal::new(Reason::EndpointGarbage, detail))
    }

    /// Resumes the stream on the same engine from the first missing event.
    async fn resume(&mut self) -> Result<(), Refusal> {
        let lost = || {
            let detail = format!("lost the stream of {}", self.endpoint.name);
            Refusal::new(Reason::EndpointLost, detail)
        };
        let Some(explanation) = &mut self.explanation else {
            return Err(lost());
        };
        while self.resumes < MAX_RESUMES {
            self.resumes += 1;
            let start = Instant::now();
            let path = format!(
                "/v1/streams/{}?offset={}",
                explanation.request,
                self.order.next() - self.base
            );
            let attempt = Attempt {
                request: &explanation.request,
                endpoint: &self.endpoint,
                method: Method::GET,
                path: &path,
                headers: Default::default(),
                body: Bytes::new(),
            };
            let answer = send(&self.state, attempt).await;
            explanation.record_hop("resume", start);
            match answer {
                Ok(response) if response.status().is_success() => {
                    self.source = event_source(response);
                    return Ok(());
                }
                _ => tokio::time::sleep(RESUME_PAUSE).await,
            }
        }
        Err(lost())
    }

    /// Continues on another engine, with the text sent so far as the start of
    /// the response.
    async fn fail_over(&mut self) -> Option<()> {
        let failover = self.failover.as_mut()?;
        let explanation = self.explanation.as_mut()?;
        failover.failed_engines.push(self.endpoint.name.clone());
        self.in_flight = None;
        let body = continuation_body(&failover.body, &failover.text, self.order.next())?;
        let view = self.state.view.load_full();
        let mut engines = view.live_in(&failover.pool.name).to_vec();
        engines.retain(|engine| !failover.failed_engines.contains(&engine.endpoint.name));
        let placed = place(
            &self.state,
            explanation,
            &failover.pool,
            &failover.chat,
            &engines,
        )
        .await
        .ok()?;
        let start = Instant::now();
        let attempt = Attempt {
            request: &explanation.request,
            endpoint: &placed.engine.endpoint,
            method: Method::POST,
            path: CHAT_PATH,
            headers: json_headers(),
            body,
        };
        let sent = send(&self.state, attempt).await;
        explanation.record_hop("go on elsewhere", start);
        let response = sent
            .ok()
            .filter(|response| response.status().is_success())?;
        self.base = self.order.next();
        self.place = self.state.tokens.sign_place(&StreamPlace {
            organisation: explanation
                .organisation
                .clone()
                .unwrap_or_else(|| "none".into()),
            request: explanation.request.clone(),
            endpoint: placed.engine.endpoint.name.clone(),
            base: self.base,
        });
        explanation.chosen = Some(placed.engine.endpoint.name.clone());
        self.endpoint = placed.engine.endpoint;
        self.in_flight = Some(placed.in_flight);
        self.resumes = 0;
        self.source = event_source(response);
        self.state.metrics.count("streams_continued_total", "", 1);
        Some(())
    }

    /// Reports the outcome in a chunk without choices, like the usage chunk.
    fn outcome_event(&self) -> Event {
        let request = self.explanation.as_ref().map_or("", |e| e.request.as_str());
        let chunk = json!({
            "id": request,
            "object": "chat.completion.chunk",
            "choices": [],
            "chalkrock": {"outcome": Outcome::Ran},
        });
        Event::default().data(chunk.to_string())
    }

    fn fail(&mut self, refusal: Refusal) -> Event {
        self.phase = Phase::Ended;
        let request = self.explanation.as_ref().map(|e| e.request.clone());
        let body = request.map_or_else(String::new, |request| refusal.body(&request));
        self.finish(refusal.reason.outcome(), Some(refusal.reason));
        Event::default().data(body)
    }

    fn finish(&mut self, outcome: Outcome, reason: Option<Reason>) {
        if let Some(claim) = self.claim.take() {
            claim.end(&self.state, outcome);
        }
        if let Some(mut explanation) = self.explanation.take() {
            explanation.record_hop("stream", self.started_at);
            self.state.record(explanation, outcome, reason);
        }
    }
}

/// Builds a request that continues the response after `text`. Returns `None` if
/// the body cannot be extended.
fn continuation_body(body: &Bytes, text: &str, events: u64) -> Option<Bytes> {
    let mut body: Value = serde_json::from_slice(body).ok()?;
    if let Some(max_tokens) = body.get("max_tokens").and_then(Value::as_u64) {
        body["max_tokens"] = json!(max_tokens.saturating_sub(events));
    }
    if !text.is_empty() {
        let partial = json!({"role": "assistant", "content": text});
        body.get_mut("messages")?.as_array_mut()?.push(partial);
        body["continue_final_message"] = json!(true);
        body["add_generation_prompt"] = json!(false);
    }
    serde_json::to_vec(&body).ok().map(Bytes::from)
}

impl Drop for StreamRelay {
    fn drop(&mut self) {
        // The caller disconnected; the request has run.
        self.finish(Outcome::Ran, None);
    }
}

impl State {
    /// Records a request's explanation and metrics.
    pub(crate) fn record(
        &self,
        mut explanation: Explanation,
        outcome: Outcome,
        reason: Option<Reason>,
    ) {
        explanation.outcome = Some(outcome);
        explanation.reason = reason;
        let pool = explanation
            .pool
            .as_ref()
            .map_or("none", |pool| pool.as_str());
        let reason = reason.map_or("none", Reason::code);
        let labels = format!("pool=\"{pool}\",outcome=\"{outcome}\",reason=\"{reason}\"");
        self.metrics.count("requests_total", &labels, 1);
        let organisation = explanation
            .organisation
            .as_ref()
            .map_or("none", |o| o.as_str());
        let labels = format!("organisation=\"{organisation}\"");
        self.metrics
            .count("organisation_requests_total", &labels, 1);
        if let Err(error) = self.recorder.tell(Record(explanation)).try_send() {
            log::debug!(target: "router.explain", "Dropped an explanation: {error}.");
        }
    }
}
