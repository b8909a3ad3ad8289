//! Demonstration of a returning chat and of the explanation of a routing decision.

use eyre::eyre;
use serde_json::{Value, json};

use crate::config::{MODEL, OPERATOR_KEY, ORGANISATION_KEYS};
use crate::fleet::Fleet;

/// Sends a chat and its continuation, and prints how they were routed.
///
/// # Errors
///
/// Returns an error if a request fails.
pub async fn tour(fleet: &Fleet) -> eyre::Result<()> {
    let client = reqwest::Client::new();
    let first = json!([{"role": "user", "content": "chargers near Meridian, please"}]);
    let (answer, _) = send(fleet, &client, first.clone(), None).await?;
    println!("A new chat was answered by {}.", answer.engine);

    let mut second = first.as_array().cloned().unwrap_or_default();
    second.push(json!({"role": "assistant", "content": answer.text}));
    second.push(json!({"role": "user", "content": "and on the way to Jackson?"}));
    let affinity = Some(answer.affinity.as_str());
    let (returned, request_id) = send(fleet, &client, json!(second), affinity).await?;
    println!(
        "It returned to {}, which found {} of its prompt cached.",
        returned.engine, returned.cached_tokens
    );

    let url = format!("{}/debug/requests/{request_id}", fleet.operator_url(0));
    let explanation: Value = client
        .get(url)
        .bearer_auth(OPERATOR_KEY)
        .send()
        .await?
        .json()
        .await?;
    println!(
        "Why it went there:\n{}",
        serde_json::to_string_pretty(&explanation)?
    );
    Ok(())
}

struct Answer {
    text: String,
    engine: String,
    cached_tokens: u64,
    affinity: String,
}

async fn send(
    fleet: &Fleet,
    client: &reqwest::Client,
    messages: Value,
    affinity: Option<&str>,
) -> eyre::Result<(Answer, String)> {
    let url = format!("{}/v1/chat/completions", fleet.router_url(0));
    let mut builder = client
        .post(url)
        .bearer_auth(ORGANISATION_KEYS[0].1)
        .json(&json!({"model": MODEL, "messages": messages}));
    if let Some(affinity) = affinity {
        builder = builder.header("chalkrock-affinity", affinity);
    }
    let response = builder.send().await?;
    if !response.status().is_success() {
        return Err(eyre!("refused: {}", response.text().await?));
    }
    let header = |name: &str| {
        let value = response
            .headers()
            .get(name)
            .and_then(|value| value.to_str().ok());
        value
            .map(str::to_owned)
            .ok_or_else(|| eyre!("no header {name}"))
    };
    let affinity = header("chalkrock-affinity")?;
    let request_id = header("x-request-id")?;
    let body: Value = response.json().await?;
    let url = format!("{}/debug/requests/{request_id}", fleet.operator_url(0));
    let explanation: Value = client
        .get(url)
        .bearer_auth(OPERATOR_KEY)
        .send()
        .await?
        .json()
        .await?;
    let answer = Answer {
        text: body["choices"][0]["message"]["content"]
            .as_str()
            .unwrap_or("")
            .to_owned(),
        engine: explanation["chosen"]
            .as_str()
            .unwrap_or("nobody")
            .to_owned(),
        cached_tokens: body["usage"]["prompt_tokens_details"]["cached_tokens"]
            .as_u64()
            .unwrap_or(0),
        affinity,
    };
    Ok((answer, request_id))
}
