//! Loads real processes over HTTP, and checks that each caller gets the whole
//! answer to its own request.
//!
//! The stand-in engine answers a message that starts with a nonce by numbered
//! words of that nonce, so that a foreign or cut answer shows. The same load
//! sent to an engine directly shows the time that the router adds.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use hdrhistogram::Histogram;
use serde::Serialize;
use serde_json::{Value, json};
use tokio::task::JoinSet;
use tokio::time::Instant;

/// Longest latency that is kept.
const LATENCY_MAX_US: u64 = 600_000_000;
const SIGNIFICANT_DIGITS: u8 = 3;
/// A request without an end by then failed.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(60);

/// A load, bounded in count and parallelism.
#[derive(Clone, Debug)]
pub struct Load {
    /// The base URL, of a router or of an engine.
    pub target: String,
    /// The organisation's key.
    pub key: String,
    /// The model asked for.
    pub model: String,
    /// Requests in all.
    pub requests: u64,
    /// Requests at once.
    pub parallel: u64,
    /// Tokens of each answer.
    pub tokens: u64,
    /// Whether answers are streamed.
    pub stream: bool,
}

/// What a load measured.
#[derive(Clone, Debug, Serialize)]
pub struct LoadResult {
    /// Requests answered whole, each with its own answer.
    pub whole: u64,
    /// Requests refused with a typed error.
    pub refused: u64,
    /// Requests that got another answer than their own, or part of one.
    pub wrong: u64,
    /// Requests without an answer.
    pub broken: u64,
    /// Requests answered whole in a second.
    pub per_second: f64,
    /// Time to the first byte.
    pub first_byte_us: Percentiles,
    /// Time to the end.
    pub total_us: Percentiles,
}

/// Percentiles of a latency, in microseconds.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Percentiles {
    /// Half are faster.
    pub p50: u64,
    /// 95 in 100 are faster.
    pub p95: u64,
    /// 99 in 100 are faster.
    pub p99: u64,
    /// The slowest.
    pub max: u64,
}

/// How one request ended.
enum Ending {
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
            Histogram::new_with_bounds(1, LATENCY_MAX_US, SIGNIFICANT_DIGITS)
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

    fn add(&mut self, ending: Ending) {
        match ending {
            Ending::Whole { first_byte, total } => {
                self.whole += 1;
                self.first_byte
                    .saturating_record(first_byte.as_micros().max(1) as u64);
                self.total
                    .saturating_record(total.as_micros().max(1) as u64);
            }
            Ending::Refused => self.refused += 1,
            Ending::Wrong => self.wrong += 1,
            Ending::Broken => self.broken += 1,
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

/// Runs a load to its end.
///
/// # Errors
///
/// If no HTTP client can be made.
pub async fn run(load: Load) -> reqwest::Result<LoadResult> {
    let client = reqwest::Client::builder()
        .no_proxy()
        .timeout(REQUEST_TIMEOUT)
        .build()?;
    let load = Arc::new(load);
    let next = Arc::new(AtomicU64::new(0));
    let start = Instant::now();
    let mut workers = JoinSet::new();
    for _ in 0..load.parallel {
        let (client, load, next) = (client.clone(), load.clone(), next.clone());
        workers.spawn(async move {
            let mut endings = Vec::new();
            loop {
                let number = next.fetch_add(1, Ordering::Relaxed);
                if number >= load.requests {
                    return endings;
                }
                endings.push(send(&client, &load, number).await);
            }
        });
    }
    let mut totals = Totals::new();
    for ending in workers.join_all().await.into_iter().flatten() {
        totals.add(ending);
    }
    Ok(totals.result(start.elapsed()))
}

async fn send(client: &reqwest::Client, load: &Load, number: u64) -> Ending {
    let nonce = format!("n{number}");
    let messages = [json!({"role": "user", "content": format!("{nonce} please")})];
    let body = json!({
        "model": load.model,
        "messages": messages,
        "stream": load.stream,
        "max_tokens": load.tokens,
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
        return Ending::Broken;
    };
    if !response.status().is_success() {
        return Ending::Refused;
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
            Err(_) => return Ending::Broken,
        }
    }
    let expected: String = (0..load.tokens).map(|i| format!("{nonce}.{i} ")).collect();
    let text = text_of(&String::from_utf8_lossy(&answer), load.stream);
    match (text == Some(expected), first_byte) {
        (true, Some(first_byte)) => Ending::Whole {
            first_byte,
            total: start.elapsed(),
        },
        _ => Ending::Wrong,
    }
}

/// The text of an answer, `None` if it did not come to its end.
fn text_of(answer: &str, stream: bool) -> Option<String> {
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
