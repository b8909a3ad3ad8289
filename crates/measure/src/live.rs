//! HTTP load generator that checks that each caller receives its own complete answer.
//!
//! The stand-in engine answers with numbered copies of the message's first word,
//! a nonce here, which exposes mixed-up and truncated answers. Sending the same
//! load directly to an engine gives the baseline for the router's latency.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use hdrhistogram::Histogram;
use serde::Serialize;
use serde_json::{Value, json};
use tokio::task::JoinSet;
use tokio::time::Instant;

/// Longer latencies are recorded as this value.
const MAX_LATENCY_US: u64 = 600_000_000;
const SIGNIFICANT_DIGITS: u8 = 3;
const REQUEST_TIMEOUT: Duration = Duration::from_secs(60);

/// A load with a fixed number of requests and bounded concurrency.
#[derive(Clone, Debug)]
pub struct Load {
    /// Base URL of a router or an engine.
    pub target: String,
    /// API key of the organisation.
    pub key: String,
    /// Requested model.
    pub model: String,
    /// Total number of requests.
    pub requests: u64,
    /// Maximum number of concurrent requests.
    pub concurrency: u64,
    /// Tokens per answer.
    pub tokens_per_answer: u64,
    /// Whether to request streamed answers.
    pub stream: bool,
}

/// Result of a load.
#[derive(Clone, Debug, Serialize)]
pub struct LoadResult {
    /// Requests that received their own complete answer.
    pub whole: u64,
    /// Requests rejected with an HTTP error status.
    pub refused: u64,
    /// Requests that received another request's answer or an incomplete one.
    pub wrong: u64,
    /// Requests that failed without a complete response.
    pub broken: u64,
    /// Complete answers per second.
    pub per_second: f64,
    /// Time to the first byte of the body.
    pub first_byte_us: Percentiles,
    /// Time to the end of the response.
    pub total_us: Percentiles,
}

/// Percentiles of a latency, in microseconds.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Percentiles {
    /// Median.
    pub p50: u64,
    /// 95th percentile.
    pub p95: u64,
    /// 99th percentile.
    pub p99: u64,
    /// Maximum.
    pub max: u64,
}

/// Outcome of one request.
enum RequestOutcome {
    Whole {
        first_byte: Duration,
        total: Duration,
    },
    Refused,
    Wrong,
    Broken,
}

struct Totals {
    first_byte: Histogram<u64>,
    total: Histogram<u64>,
    whole: u64,
    refused: u64,
    wrong: u64,
    broken: u64,
}

impl Totals {
    fn new() -> Self {
        let histogram = || {
            Histogram::new_with_bounds(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS)
                .expect("constant bounds are valid")
        };
        Self {
            first_byte: histogram(),
            total: histogram(),
            whole: 0,
            refused: 0,
            wrong: 0,
            broken: 0,
        }
    }

    fn add(&mut self, outcome: RequestOutcome) {
        match outcome {
            RequestOutcome::Whole { first_byte, total } => {
                self.whole += 1;
                self.first_byte
                    .saturating_record(first_byte.as_micros().max(1) as u64);
                self.total
                    .saturating_record(total.as_micros().max(1) as u64);
            }
            RequestOutcome::Refused => self.refused += 1,
            RequestOutcome::Wrong => self.wrong += 1,
            RequestOutcome::Broken => self.broken += 1,
        }
    }

    fn result(&self, elapsed: Duration) -> LoadResult {
        LoadResult {
            whole: self.whole,
            refused: self.refused,
            wrong: self.wrong,
            broken: self.broken,
            per_second: self.whole as f64 / elapsed.as_secs_f64(),
            first_byte_us: percentiles(&self.first_byte),
            total_us: percentiles(&self.total),
        }
    }
}

fn percentiles(histogram: &Histogram<u64>) -> Percentiles {
    Percentiles {
        p50: histogram.value_at_quantile(0.5),
        p95: histogram.value_at_quantile(0.95),
        p99: histogram.value_at_quantile(0.99),
        max: histogram.max(),
    }
}

/// Sends all requests of a load and summarises their outcomes.
///
/// # Errors
///
/// Returns an error if the HTTP client can't be built.
pub async fn run(load: Load) -> reqwest::Result<LoadResult> {
    let client = reqwest::Client::builder()
        .no_proxy()
        .timeout(REQUEST_TIMEOUT)
        .build()?;
    let load = Arc::new(load);
    let next_request = Arc::new(AtomicU64::new(0));
    let start = Instant::now();
    let mut workers = JoinSet::new();
    for _ in 0..load.concurrency {
        let (client, load, next_request) = (client.clone(), load.clone(), next_request.clone());
        workers.spawn(async move {
            let mut outcomes = Vec::new();
            loop {
                let number = next_request.fetch_add(1, Ordering::Relaxed);
                if number >= load.requests {
                    return outcomes;
                }
                outcomes.push(send(&client, &load, number).await);
            }
        });
    }
    let mut totals = Totals::new();
    for outcome in workers.join_all().await.into_iter().flatten() {
        totals.add(outcome);
    }
    Ok(totals.result(start.elapsed()))
}

async fn send(client: &reqwest::Client, load: &Load, number: u64) -> RequestOutcome {
    let nonce = format!("n{number}");
    let messages = [json!({"role": "user", "content": format!("{nonce} please")})];
    let body = json!({
        "model": load.model,
        "messages": messages,
        "stream": load.stream,
        "max_tokens": load.tokens_per_answer,
    });
    let start = Instant::now();
    let url = format!("{}/v1/chat/completions", load.target);
    let Ok(mut response) = client
        .post(url)
        .bearer_auth(&load.key)
        .json(&body)
        .send()
        .await
    else {
        return RequestOutcome::Broken;
    };
    if !response.status().is_success() {
        return RequestOutcome::Refused;
    }
    let mut answer = Vec::new();
    let mut first_byte = None;
    loop {
        match response.chunk().await {
            Ok(Some(chunk)) => {
                first_byte.get_or_insert_with(|| start.elapsed());
                answer.extend_from_slice(&chunk);
            }
            Ok(None) => break,
            Err(_) => return RequestOutcome::Broken,
        }
    }
    let expected: String = (0..load.tokens_per_answer)
        .map(|i| format!("{nonce}.{i} "))
        .collect();
    let text = completion_text(&String::from_utf8_lossy(&answer), load.stream);
    match (text == Some(expected), first_byte) {
        (true, Some(first_byte)) => RequestOutcome::Whole {
            first_byte,
            total: start.elapsed(),
        },
        _ => RequestOutcome::Wrong,
    }
}

/// Extracts the text of an answer, or `None` if the answer is incomplete.
fn completion_text(answer: &str, stream: bool) -> Option<String> {
    if !stream {
        let body: Value = serde_json::from_str(answer).ok()?;
        return body["choices"][0]["message"]["content"]
            .as_str()
            .map(str::to_owned);
    }
    let mut text = String::new();
    for data in answer
        .lines()
        .filter_map(|line| line.strip_prefix("data: "))
    {
        if data == "[DONE]" {
            return Some(text);
        }
        let chunk: Value = serde_json::from_str(data).ok()?;
        text.push_str(
            chunk["choices"][0]["delta"]["content"]
                .as_str()
                .unwrap_or_default(),
        );
    }
    None
}
