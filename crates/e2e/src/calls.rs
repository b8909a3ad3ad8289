//! Calls of a test, as a caller would make them.

use chalkrock_core::Outcome;
use eyre::eyre;
use reqwest::{RequestBuilder, Response};
use serde_json::{Value, json};

use crate::cluster::{Cluster, MODEL, ORGANISATION_KEY, SERVICE};

/// What a caller was told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Told {
    /// The HTTP status.
    pub status: u16,
    /// The outcome in the header.
    pub outcome: Option<Outcome>,
    /// The request's id.
    pub request: String,
    /// Seconds after which to come back.
    pub retry_after_s: Option<u32>,
}

/// A chat's answer.
#[derive(Clone, Debug)]
pub struct ChatAnswer {
    /// What the head told.
    pub told: Told,
    /// The text of the answer.
    pub text: String,
    /// The whole body.
    pub body: String,
    /// The affinity hint.
    pub affinity: Option<String>,
}

impl Told {
    /// Reads what an answer's head tells.
    pub fn of(response: &Response) -> Self {
        let header = |name: &str| {
            let value = response
                .headers()
                .get(name)
                .and_then(|value| value.to_str().ok());
            value.map(str::to_owned)
        };
        let outcome = header("chalkrock-outcome");
        Self {
            status: response.status().as_u16(),
            outcome: outcome.and_then(|text| serde_json::from_value(Value::String(text)).ok()),
            request: header("x-request-id").unwrap_or_default(),
            retry_after_s: header("retry-after").and_then(|text| text.parse().ok()),
        }
    }
}

impl Cluster {
    /// A chat request to a host, not sent yet.
    pub fn chat_call(&self, host: usize, nonce: &str, stream: bool) -> RequestBuilder {
        let url = format!(
            "http://{}/v1/chat/completions",
            self.hosts[host].router.address(0)
        );
        let messages = [json!({"role": "user", "content": format!("{nonce} please")})];
        self.client
            .post(url)
            .bearer_auth(ORGANISATION_KEY)
            .json(&json!({"model": MODEL, "stream": stream, "messages": messages}))
    }

    /// Sends a chat request and reads the whole answer.
    ///
    /// # Errors
    ///
    /// If the connection breaks.
    pub async fn chat(&self, host: usize, nonce: &str, stream: bool) -> eyre::Result<ChatAnswer> {
        read_chat(self.chat_call(host, nonce, stream).send().await?).await
    }

    /// Calls the service, not sent yet.
    pub fn service_call(&self, host: usize, path: &str) -> RequestBuilder {
        let router = self.hosts[host].router.address(0);
        let url = format!("http://{router}/services/{SERVICE}/{path}");
        self.client
            .post(url)
            .bearer_auth(ORGANISATION_KEY)
            .body("entry")
    }
}

/// Reads a chat's answer, streamed or whole.
///
/// # Errors
///
/// If the connection breaks.
pub async fn read_chat(response: Response) -> eyre::Result<ChatAnswer> {
    let mut told = Told::of(&response);
    let affinity = response.headers().get("chalkrock-affinity");
    let affinity = affinity
        .and_then(|value| value.to_str().ok())
        .map(str::to_owned);
    let body = response.text().await?;
    let text = match body.starts_with('{') {
        true => whole_text(&body)?,
        false => {
            let (text, outcome) = stream_text(&body)?;
            told.outcome = outcome;
            text
        }
    };
    Ok(ChatAnswer {
        told,
        text,
        body,
        affinity,
    })
}

fn whole_text(body: &str) -> eyre::Result<String> {
    let body: Value = serde_json::from_str(body)?;
    Ok(body["choices"][0]["message"]["content"]
        .as_str()
        .unwrap_or_default()
        .to_owned())
}

/// The text of a stream that came to its end, and the outcome that it tells;
/// an error if it did not.
fn stream_text(body: &str) -> eyre::Result<(String, Option<Outcome>)> {
    let mut text = String::new();
    let mut outcome = None;
    for line in body.lines() {
        let Some(data) = line.strip_prefix("data: ") else {
            continue;
        };
        if data == "[DONE]" {
            return Ok((text, outcome));
        }
        let chunk: Value = serde_json::from_str(data)?;
        if let Some(told) = chunk.get("chalkrock") {
            outcome = serde_json::from_value(told["outcome"].clone()).ok();
        }
        if let Some(content) = chunk["choices"][0]["delta"]["content"].as_str() {
            text.push_str(content);
        }
    }
    Err(eyre!("the stream has no end: {body}"))
}
