//! An engine's answer: numbered copies of the first word of the last user message.
//!
//! A message that starts with `n7` is answered with `n7.0 n7.1 …`, so that a test
//! can check that it received its own complete answer.

use serde::Deserialize;
use serde_json::{Value, json};

const DEFAULT_TOKENS: usize = 16;

/// The fields of a chat completion request that the stand-in uses.
#[derive(Clone, Debug, Deserialize)]
pub(super) struct ChatRequest {
    pub(super) model: String,
    pub(super) messages: Vec<Message>,
    #[serde(default)]
    pub(super) stream: bool,
    #[serde(default)]
    pub(super) max_tokens: Option<usize>,
    /// Whether to continue the last message, which is the start of the answer.
    #[serde(default)]
    pub(super) continue_final_message: bool,
}

#[derive(Clone, Debug, Deserialize)]
pub(super) struct Message {
    pub(super) role: String,
    pub(super) content: String,
}

/// A complete answer, retained for stream resumption.
#[derive(Debug)]
pub(super) struct Answer {
    request_id: String,
    model: String,
    tokens: Vec<String>,
    prompt_bytes: usize,
    cached_bytes: usize,
}

impl Answer {
    pub(super) fn new(request_id: &str, chat: &ChatRequest, cached_bytes: usize) -> Self {
        let content = |role: &str| {
            let message = chat
                .messages
                .iter()
                .rev()
                .find(|message| message.role == role);
            message.map_or("", |message| message.content.as_str())
        };
        let nonce = content("user").split_whitespace().next().unwrap_or("empty");
        let first = match chat.continue_final_message {
            true => content("assistant").split_whitespace().count(),
            false => 0,
        };
        let end = chat
            .max_tokens
            .map_or(DEFAULT_TOKENS.max(first), |count| first + count);
        Self {
            request_id: request_id.to_owned(),
            model: chat.model.clone(),
            tokens: (first..end).map(|i| format!("{nonce}.{i} ")).collect(),
            prompt_bytes: chat.messages.iter().map(|m| m.content.len()).sum(),
            cached_bytes,
        }
    }

    /// Number of events in the stream, excluding the final `[DONE]`.
    pub(super) fn event_count(&self) -> usize {
        self.tokens.len() + 1
    }

    /// Data of event `i`: one token per event, then the finish reason with the usage.
    pub(super) fn event(&self, i: usize) -> String {
        let choice = match self.tokens.get(i) {
            Some(token) => json!({"index": 0, "delta": {"content": token}, "finish_reason": null}),
            None => json!({"index": 0, "delta": {}, "finish_reason": "stop"}),
        };
        let mut chunk = json!({
            "id": self.request_id,
            "object": "chat.completion.chunk",
            "model": self.model,
            "choices": [choice],
        });
        if i == self.tokens.len() {
            chunk["usage"] = self.usage();
        }
        chunk.to_string()
    }

    /// Returns the answer as one completion object.
    pub(super) fn completion(&self) -> Value {
        let message = json!({"role": "assistant", "content": self.tokens.concat()});
        json!({
            "id": self.request_id,
            "object": "chat.completion",
            "model": self.model,
            "choices": [{"index": 0, "message": message, "finish_reason": "stop"}],
            "usage": self.usage(),
        })
    }

    fn usage(&self) -> Value {
        json!({
            "prompt_tokens": self.prompt_bytes,
            "completion_tokens": self.tokens.len(),
            "total_tokens": self.prompt_bytes + self.tokens.len(),
            "prompt_tokens_details": {"cached_tokens": self.cached_bytes},
        })
    }
}
