//! Passes an engine's stream on to the caller: in order, whole, and its own.
//!
//! Events carry their number. A repeat is dropped; a gap or a break is closed
//! by asking the same engine for the stream again from the first missing
//! event. What can't be closed ends with an error event, never with `[DONE]`.

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
use crate::owners::OnEngine;
use crate::place::{ChatPlace, place};
use crate::refusal::Refusal;
use crate::state::State;

/// The end of an OpenAI-style stream.
const DONE: &str = "[DONE]";
/// How often one stream is asked for again without getting any further.
const RESUMES_MAX: u32 = 3;
/// Pause before a stream is asked for again.
const RESUME_PAUSE: Duration = Duration::from_millis(20);
/// Longest event that is passed on.
const EVENT_MAX_BYTES: usize = 1024 * 1024;

type SourceError = EventStreamError<reqwest::Error>;
type Source = Pin<Box<dyn Stream<Item = Result<SourceEvent, SourceError>> + Send>>;

/// A stream on its way to the caller. Dropped before its end, the caller went
/// away: the engine's connection closes with it, and the engine cancels.
pub(crate) struct Relay {
    state: Arc<State>,
    explanation: Option<Explanation>,
    endpoint: Endpoint,
    on_engine: Option<OnEngine>,
    claim: Option<Claim>,
    /// The token that lets another router go on; part of each event's id.
    place: String,
    source: Source,
    order: StreamOrder,
    base: u64,
    elsewhere: Option<Elsewhere>,
    resumes: u32,
    started_at: Instant,
    first_event: bool,
    phase: Phase,
}

/// A stream that an engine has begun.
pub(crate) struct Begun {
    pub(crate) endpoint: Endpoint,
    /// The request's place on the engine; a resumed stream has none here.
    pub(crate) on_engine: Option<OnEngine>,
    /// The claim under which it runs.
    pub(crate) claim: Option<Claim>,
    /// The token that lets another router go on.
    pub(crate) place: String,
    pub(crate) response: Response,
    /// The first event that the caller wants.
    pub(crate) from: u64,
    /// The caller's number of the engine's first event.
    pub(crate) base: u64,
    /// How to go on elsewhere if the engine is lost; `None` for requests that
    /// may run only once, and for streams that another router began.
    pub(crate) elsewhere: Option<Elsewhere>,
}

/// What going on at another engine needs.
pub(crate) struct Elsewhere {
    pub(crate) pool: Pool,
    pub(crate) chat: ChatPlace,
    /// The caller's request.
    pub(crate) body: Bytes,
    /// Text sent to the caller so far.
    pub(crate) text: String,
    /// Engines that were lost.
    pub(crate) lost: Vec<EndpointId>,
}

enum Phase {
    Streaming,
    Closing,
    Ended,
}

/// What the relay reads of a chunk.
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

/// How one event from the engine is handled.
enum Step {
    Send(Event),
    Skip,
    Resume,
    Fail(Refusal),
}

fn source_of(response: Response) -> Source {
    Box::pin(response.bytes_stream().eventsource())
}

impl Relay {
    pub(crate) fn new(state: Arc<State>, explanation: Explanation, begun: Begun) -> Self {
        Self {
            state,
            explanation: Some(explanation),
            endpoint: begun.endpoint,
            on_engine: begun.on_engine,
            claim: begun.claim,
            place: begun.place,
            source: source_of(begun.response),
            order: StreamOrder::starting_at(begun.from),
            base: begun.base,
            elsewhere: begun.elsewhere,
            resumes: 0,
            started_at: Instant::now(),
            first_event: true,
            phase: Phase::Streaming,
        }
    }

    /// The events for the caller.
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
                Some(Ok(event)) => self.take(event),
                Some(Err(_)) | None => Step::Resume,
            };
            match step {
                Step::Send(event) => return Some(event),
                Step::Skip => {}
                Step::Resume => {
                    // Whatever keeps it from going on elsewhere: the caller has
                    // part of the answer, and hears that the engine was lost.
                    if let Err(lost) = self.resume().await
                        && self.go_on_elsewhere().await.is_none()
                    {
                        return Some(self.fail(lost));
                    }
                }
                Step::Fail(refusal) => return Some(self.fail(refusal)),
            }
        }
    }

    fn take(&mut self, event: SourceEvent) -> Step {
        if event.data == DONE {
            self.phase = Phase::Closing;
            return Step::Send(self.outcome_event());
        }
        if event.data.len() > EVENT_MAX_BYTES {
            return self.garbage("an event is too long");
        }
        let Ok(number) = event.id.parse::<u64>() else {
            return self.garbage("an event has no number");
        };
        let number = self.base + number;
        match self.order.accept(number) {
            // A resume that brought something on was worth it.
            Arrival::Forward => self.resumes = 0,
            Arrival::Duplicate => return Step::Skip,
            Arrival::Gap { .. } => return Step::Resume,
        }
        let Ok(chunk) = serde_json::from_str::<Chunk>(&event.data) else {
            return self.garbage("an event is not JSON");
        };
        self.note(chunk);
        let id = format!("{number}.{}", self.place);
        Step::Send(Event::default().id(id).data(event.data))
    }

    fn note(&mut self, chunk: Chunk) {
        if let Some(elsewhere) = &mut self.elsewhere {
            let deltas = chunk
                .choices
                .iter()
                .filter_map(|choice| choice.delta.as_ref());
            elsewhere
                .text
                .extend(deltas.filter_map(|delta| delta.content.as_deref()));
        }
        let Some(explanation) = &mut self.explanation else {
            return;
        };
        if self.first_event {
            self.first_event = false;
            explanation.hop("first event", self.started_at);
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

    fn garbage(&self, what: &str) -> Step {
        let detail = format!("{}: {what}", self.endpoint.name);
        Step::Fail(Refusal::new(Reason::EndpointGarbage, detail))
    }

    /// Asks the engine for the stream again, from the first missing event.
    async fn resume(&mut self) -> Result<(), Refusal> {
        let lost = || {
            let detail = format!("{} stopped in the stream", self.endpoint.name);
            Refusal::new(Reason::EndpointLost, detail)
        };
        let Some(explanation) = &mut self.explanation else {
            return Err(lost());
        };
        while self.resumes < RESUMES_MAX {
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
            explanation.hop("resume", start);
            match answer {
                Ok(response) if response.status().is_success() => {
                    self.source = source_of(response);
                    return Ok(());
                }
                _ => tokio::time::sleep(RESUME_PAUSE).await,
            }
        }
        Err(lost())
    }

    /// Goes on at another engine from the text that the caller has: the same
    /// request, with that text as the begin of the answer.
    async fn go_on_elsewhere(&mut self) -> Option<()> {
        let elsewhere = self.elsewhere.as_mut()?;
        let explanation = self.explanation.as_mut()?;
        elsewhere.lost.push(self.endpoint.name.clone());
        self.on_engine = None;
        let body = continued(&elsewhere.body, &elsewhere.text, self.order.next())?;
        let view = self.state.view.load_full();
        let mut engines = view.live_in(&elsewhere.pool.name).to_vec();
        engines.retain(|engine| !elsewhere.lost.contains(&engine.endpoint.name));
        let placed = place(
            &self.state,
            explanation,
            &elsewhere.pool,
            &elsewhere.chat,
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
        explanation.hop("go on elsewhere", start);
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
        self.on_engine = Some(placed.on_engine);
        self.resumes = 0;
        self.source = source_of(response);
        self.state.metrics.count("streams_continued_total", "", 1);
        Some(())
    }

    /// Tells the outcome in a chunk without choices, as clients know from
    /// the usage chunk.
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
            explanation.hop("stream", self.started_at);
            self.state.record(explanation, outcome, reason);
        }
    }
}

/// The caller's request with the answer so far, to be continued. `None` if
/// the body can't be changed so.
fn continued(body: &Bytes, text: &str, events: u64) -> Option<Bytes> {
    let mut body: Value = serde_json::from_slice(body).ok()?;
    if let Some(max_tokens) = body.get("max_tokens").and_then(Value::as_u64) {
        body["max_tokens"] = json!(max_tokens.saturating_sub(events));
    }
    if !text.is_empty() {
        let begun = json!({"role": "assistant", "content": text});
        body.get_mut("messages")?.as_array_mut()?.push(begun);
        body["continue_final_message"] = json!(true);
        body["add_generation_prompt"] = json!(false);
    }
    serde_json::to_vec(&body).ok().map(Bytes::from)
}

impl Drop for Relay {
    fn drop(&mut self) {
        // The caller went away. What ran, ran.
        self.finish(Outcome::Ran, None);
    }
}

impl State {
    /// Keeps a request's explanation and counts its end.
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
            log::debug!(target: "router.explain", "Explanation dropped: {error}.");
        }
    }
}
