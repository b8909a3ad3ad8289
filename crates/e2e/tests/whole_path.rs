//! Guards the path from caller to endpoint, and the errors for invalid input.

use chalkrock_core::Outcome;
use chalkrock_e2e::{Cluster, ClusterSize, OPERATOR_KEY, ResponseHead, read_chat};
use googletest::prelude::*;
use serde_json::{Value, json};

const SMALL: ClusterSize = ClusterSize {
    hosts: 1,
    engines: 2,
    services: 1,
};

fn expected_answer(nonce: &str) -> String {
    (0..16).map(|i| format!("{nonce}.{i} ")).collect()
}

#[tokio::test]
async fn chat_streamed_and_not_streamed() -> eyre::Result<()> {
    let cluster = Cluster::start(SMALL).await?;
    for stream in [false, true] {
        let answer = cluster.chat(0, "n1", stream).await?;
        assert_that!(answer.head.status, eq(200));
        assert_that!(answer.head.outcome, some(eq(Outcome::Ran)));
        assert_that!(answer.text, eq(&expected_answer("n1")));
    }
    Ok(())
}

#[tokio::test]
async fn chat_streamed_reports_no_outcome_before_its_end() -> eyre::Result<()> {
    let cluster = Cluster::start(SMALL).await?;
    let response = cluster.chat_call(0, "n1", true).send().await?;
    assert_that!(ResponseHead::from_response(&response).outcome, none());
    assert_that!(
        read_chat(response).await?.head.outcome,
        some(eq(Outcome::Ran))
    );
    Ok(())
}

#[tokio::test]
async fn chat_returning_finds_its_prefix() -> eyre::Result<()> {
    let cluster = Cluster::start(SMALL).await?;
    let first = cluster.chat(0, "n1", false).await?;
    let hint = first.affinity.unwrap_or_default();
    let call = cluster
        .chat_call(0, "n1", false)
        .header("chalkrock-affinity", hint);
    let second = read_chat(call.send().await?).await?;
    let body: Value = serde_json::from_str(&second.body)?;
    let cached = body["usage"]["prompt_tokens_details"]["cached_tokens"].as_u64();
    assert_that!(cached, some(gt(0)));
    Ok(())
}

#[tokio::test]
async fn chat_explained_to_operators_only() -> eyre::Result<()> {
    let cluster = Cluster::start(SMALL).await?;
    let answer = cluster.chat(0, "n1", false).await?;
    let router = cluster.hosts[0].router.address(1);
    let url = format!("http://{router}/debug/requests/{}", answer.head.request_id);
    let refused = cluster.client.get(&url).bearer_auth("wrong").send().await?;
    assert_that!(refused.status().as_u16(), eq(401));
    let explained = cluster
        .client
        .get(&url)
        .bearer_auth(OPERATOR_KEY)
        .send()
        .await?;
    let explanation: Value = explained.json().await?;
    assert_that!(explanation["outcome"], eq(&json!("ran")));
    assert_that!(explanation["chosen"].as_str(), some(starts_with("engine-")));
    Ok(())
}

#[tokio::test]
async fn service_call_runs_once() -> eyre::Result<()> {
    let cluster = Cluster::start(SMALL).await?;
    let response = cluster.service_call(0, "entries").send().await?;
    assert_that!(response.status().as_u16(), eq(200));
    assert_that!(cluster.services[0].total_runs(), eq(1));
    Ok(())
}

/// An invalid request and the expected error.
struct BadInput {
    name: &'static str,
    key: &'static str,
    body: String,
    status: u16,
    kind: &'static str,
}

fn bad_inputs() -> Vec<BadInput> {
    let chat = |model: &str, content: &str| {
        json!({"model": model, "messages": [{"role": "user", "content": content}]}).to_string()
    };
    let key = "key-caller";
    vec![
        BadInput {
            name: "body too large",
            key,
            body: chat("test-model", &"x".repeat(200_000)),
            status: 413,
            kind: "body-too-large",
        },
        BadInput {
            name: "invalid JSON",
            key,
            body: "{".to_owned(),
            status: 400,
            kind: "invalid-request",
        },
        BadInput {
            name: "unknown model",
            key,
            body: chat("no-model", "hi"),
            status: 404,
            kind: "unknown-model",
        },
        BadInput {
            name: "unknown key",
            key: "no-key",
            body: chat("test-model", "hi"),
            status: 401,
            kind: "unknown-key",
        },
    ]
}

#[tokio::test]
async fn bad_input_gets_its_typed_error() -> eyre::Result<()> {
    let cluster = Cluster::start(SMALL).await?;
    let router = cluster.hosts[0].router.address(0);
    let url = format!("http://{router}/v1/chat/completions");
    for bad in bad_inputs() {
        let call = cluster
            .client
            .post(&url)
            .bearer_auth(bad.key)
            .body(bad.body);
        let response = call.send().await?;
        assert_that!(response.status().as_u16(), eq(bad.status), "{}", bad.name);
        let body: Value = response.json().await?;
        assert_that!(body["error"]["type"], eq(&json!(bad.kind)), "{}", bad.name);
        assert_that!(
            body["error"]["outcome"],
            eq(&json!("not-run")),
            "{}",
            bad.name
        );
    }
    assert_that!(
        cluster
            .engines
            .iter()
            .map(|e| e.counts().started)
            .sum::<u64>(),
        eq(0)
    );
    Ok(())
}

#[tokio::test]
async fn engine_garbage_is_a_gateway_error() -> eyre::Result<()> {
    let cluster = Cluster::start(SMALL).await?;
    for engine in &cluster.engines {
        engine.faults.set(chalkrock_standin::Faults {
            garbage: true,
            ..Default::default()
        });
    }
    let response = cluster.chat_call(0, "n1", false).send().await?;
    assert_that!(response.status().as_u16(), eq(502));
    let body: Value = response.json().await?;
    assert_that!(body["error"]["type"], eq(&json!("endpoint-garbage")));
    assert_that!(body["error"]["outcome"], eq(&json!("unknown")));
    Ok(())
}
