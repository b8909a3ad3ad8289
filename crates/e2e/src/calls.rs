//! Requests that a test sends as a caller.

use chalkrock_core::Outcome;
use eyre::eyre;
use reqwest::{RequestBuilder, Response};
use serde_json::{Value, json};

use crate::cluster::{Cluster, MODEL, ORGANISATION_KEY, SERVICE};

/// Status and headers of a response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ResponseHead {
    /// HTTP status.
    pub status: u16,
    /// Reported outcome, from the header or the end of the stream.
    pub outcome: Option<Outcome>,
    /// Request id.
    pub request_id: String,
    /// Value of the `retry-after` header.
    pub retry_after_s: Option<u32>,
}

/// Response to a chat request.
#[derive(Clone, Debug)]
pub struct ChatAnswer {
    /// Status and headers.
    pub head: ResponseHead,
    /// Text of the answer.
    pub text: String,
    /// Raw body.
    pub body: String,
    /// Affinity hint for the next request.
    pub affinity: Option<String>,
}

impl ResponseHead {
    /// Reads the status and headers of a response.
    pub fn from_response(response: &Response) -> Self {
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
            request_id: header("x-request-id").unwrap_or_default(),
            retry_after_s: header("retry-after").and_then(|text| text.parse().ok()),
        }
    }
}

impl Cluster {
    /// Builds a chat request to a host.
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

    /// Sends a chat request and reads the complete answer.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection breaks or the answer is incomplete.
    pub async fn chat(&self, host: usize, nonce: &str, stream: bool) -> eyre::Result<ChatAnswer> {
        read_chat(self.chat_call(host, nonce, stream).send().await?).await
    }

    /// Builds a request to the service.
    pub fn service_call(&self, host: usize, path: &str) -> RequestBuilder {
        let router = self.hosts[host].router.address(0);
        let url = format!("http://{router}/services/{SERVICE}/{path}");
        self.client
            .post(url)
            .bearer_auth(ORGANISATION_KEY)
            .body("entry")
    }
}

/// Reads the answer to a chat request, streamed or not.
///
/// # Errors
///
/// Returns an error if the connection breaks or the answer is incomplete.
pub async fn read_chat(response: Response) -> eyre::Result<ChatAnswer> {
    let mut head = ResponseHead::from_response(&response);
    let affinity = response.headers().get("chalkrock-affinity");
    let affinity = affinity
        .and_then(|value| value.to_str().ok())
        .map(str::to_owned);
    let body = response.text().await?;
    let text = match body.starts_with('{') {
        true => completion_text(&body)?,
        false => {
            let (text, outcome) = stream_text(&body)?;
            head.outcome = outcome;
            text
        }
    };
    Ok(ChatAnswer {
        head,
        text,
        body,
        affinity,
    })
}

fn completion_text(body: &str) -> eyre::Result<String> {
    let body: Value = serde_json::from_str(body)?;
    Ok(body["choices"][0]["message"]["content"]
        .as_str()
        .unwrap_or_default()
        .to_owned())
}

/// Returns the text and the outcome of a stream, or an error if the stream is
/// incomplete.
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
        if let Some(metadata) = chunk.get("chalkrock") {
            outcome = serde_json::from_value(metadata["outcome"].clone()).ok();
        }
        if let Some(content) = chunk["choices"][0]["delta"]["content"].as_str() {
            text.push_str(content);
        }
    }
    Err(eyre!("the stream has no end: {body}"))
}
