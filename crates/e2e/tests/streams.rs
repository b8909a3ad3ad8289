//! Guards against truncated, repeated or mixed-up streams when engines or routers fail.

use std::time::Duration;

use chalkrock_core::Outcome;
use chalkrock_e2e::{Cluster, ClusterSize, MODEL, OTHER_KEY, ResponseHead, read_chat};
use chalkrock_standin::{EngineSettings, Faults};
use eventsource_stream::Eventsource;
use futures::StreamExt;
use googletest::prelude::*;
use serde_json::{Value, json};

const SIZE: ClusterSize = ClusterSize {
    hosts: 2,
    engines: 2,
    services: 1,
};
const TOKENS: usize = 16;

fn slow_engine() -> EngineSettings {
    EngineSettings {
        token_ms: 20,
        ..Default::default()
    }
}

fn expected_answer(nonce: &str) -> String {
    (0..TOKENS).map(|i| format!("{nonce}.{i} ")).collect()
}

fn set_engine_faults(cluster: &Cluster, faults: &Faults) {
    for engine in &cluster.engines {
        engine.faults.set(faults.clone());
    }
}

/// Opens a stream and returns it with the id of its first event.
async fn open_stream(cluster: &Cluster) -> eyre::Result<(impl Sized + use<>, String)> {
    let answer = cluster.chat_call(0, "n1", true).send().await?;
    let mut events = answer.bytes_stream().eventsource();
    let first = events.next().await.and_then(|event| event.ok());
    Ok((events, first.map(|event| event.id).unwrap_or_default()))
}

#[tokio::test]
async fn stream_under_engine_faults_is_complete() -> eyre::Result<()> {
    let cluster = Cluster::start(SIZE).await?;
    let cases = [
        (
            "breaks",
            Faults {
                break_after: 7,
                ..Default::default()
            },
        ),
        (
            "repeats events",
            Faults {
                duplicate_events: true,
                ..Default::default()
            },
        ),
        (
            "loses an event",
            Faults {
                drop_event: true,
                break_after: 12,
                ..Default::default()
            },
        ),
    ];
    for (name, faults) in cases {
        set_engine_faults(&cluster, &faults);
        let answer = cluster.chat(0, "n1", true).await?;
        assert_that!(answer.text, eq(&expected_answer("n1")), "{name}");
    }
    Ok(())
}

#[tokio::test]
async fn stream_continues_on_another_engine_after_a_crash() -> eyre::Result<()> {
    let mut cluster = Cluster::start_with(SIZE, slow_engine()).await?;
    let call_task = tokio::spawn(cluster.chat_call(0, "n1", true).send());
    cluster
        .wait_until("the request to start", async || {
            started(&cluster).iter().sum::<u64>() == 1
        })
        .await?;
    tokio::time::sleep(Duration::from_millis(100)).await;
    let engine = started(&cluster)
        .iter()
        .position(|count| *count == 1)
        .unwrap_or(0);
    let response = call_task.await??;
    drop(cluster.engines.remove(engine));
    let answer = read_chat(response).await?;
    assert_that!(answer.text, eq(&expected_answer("n1")));
    Ok(())
}

fn started(cluster: &Cluster) -> Vec<u64> {
    cluster
        .engines
        .iter()
        .map(|engine| engine.counts().started)
        .collect()
}

#[tokio::test]
async fn stream_of_an_unsafe_request_ends_unknown_after_a_crash() -> eyre::Result<()> {
    let mut cluster = Cluster::start_with(SIZE, slow_engine()).await?;
    let call = cluster
        .chat_call(0, "n1", true)
        .header("chalkrock-unsafe", "true");
    let response = call.send().await?;
    let engine = started(&cluster)
        .iter()
        .position(|count| *count == 1)
        .unwrap_or(0);
    drop(cluster.engines.remove(engine));
    let body = response.text().await?;
    assert_that!(body, contains_substring("\"endpoint-lost\""));
    assert_that!(body, contains_substring("\"unknown\""));
    assert_that!(body, not(contains_substring("[DONE]")));
    assert_that!(started(&cluster), elements_are![eq(&0)]);
    Ok(())
}

#[tokio::test]
async fn stream_resumes_at_another_router_without_gap_or_repeat() -> eyre::Result<()> {
    let mut cluster = Cluster::start_with(SIZE, slow_engine()).await?;
    let mut events = cluster
        .chat_call(0, "n1", true)
        .send()
        .await?
        .bytes_stream()
        .eventsource();
    let mut text = String::new();
    let mut last_id = String::new();
    for _ in 0..6 {
        let Some(Ok(event)) = events.next().await else {
            break;
        };
        let chunk: Value = serde_json::from_str(&event.data)?;
        text.push_str(
            chunk["choices"][0]["delta"]["content"]
                .as_str()
                .unwrap_or_default(),
        );
        last_id = event.id;
    }
    cluster.hosts[0].router.kill()?;
    let call = cluster
        .chat_call(1, "n1", true)
        .header("last-event-id", last_id);
    let rest = read_chat(call.send().await?).await?;
    assert_that!(text + &rest.text, eq(&expected_answer("n1")));
    assert_that!(started(&cluster).iter().sum::<u64>(), eq(1));
    Ok(())
}

#[tokio::test]
async fn resume_refuses_foreign_and_forged_tokens() -> eyre::Result<()> {
    let cluster = Cluster::start(SIZE).await?;
    let (_events, id) = open_stream(&cluster).await?;
    let forged = id.replace(|c: char| c.is_ascii_lowercase(), "x");
    let token = id.split_once('.').map_or("", |(_, token)| token);
    let past_the_last = format!("{}.{token}", u64::MAX);
    for (name, key, id) in [
        ("another organisation's", OTHER_KEY, id.as_str()),
        ("forged", "key-caller", forged.as_str()),
        ("not a token", "key-caller", "7"),
        ("past the last number", "key-caller", past_the_last.as_str()),
    ] {
        let body = json!({"model": MODEL, "stream": true, "messages": []});
        let url = format!(
            "http://{}/v1/chat/completions",
            cluster.hosts[1].router.address(0)
        );
        let call = cluster
            .client
            .post(url)
            .bearer_auth(key)
            .header("last-event-id", id);
        let head = ResponseHead::from_response(&call.json(&body).send().await?);
        assert_that!(head.status, eq(403), "{name}");
        assert_that!(head.outcome, some(eq(Outcome::NotRun)), "{name}");
    }
    Ok(())
}

#[tokio::test]
async fn resume_of_a_stream_whose_engine_is_gone_is_unknown() -> eyre::Result<()> {
    let mut cluster = Cluster::start_with(SIZE, slow_engine()).await?;
    let (_events, id) = open_stream(&cluster).await?;
    cluster.hosts[0].router.kill()?;
    cluster.engines.clear();
    let call = cluster.chat_call(1, "n1", true).header("last-event-id", id);
    let head = ResponseHead::from_response(&call.send().await?);
    assert_that!(head.status, eq(502));
    assert_that!(head.outcome, some(eq(Outcome::Unknown)));
    Ok(())
}

#[tokio::test]
async fn disconnected_caller_frees_the_slot() -> eyre::Result<()> {
    let cluster = Cluster::start_with(SIZE, slow_engine()).await?;
    let response = cluster.chat_call(0, "n1", true).send().await?;
    drop(response);
    let in_progress = || {
        cluster
            .engines
            .iter()
            .map(|e| e.counts().in_progress)
            .sum::<usize>()
    };
    cluster
        .wait_until("the free slot", async || in_progress() == 0)
        .await?;
    let cancelled: u64 = cluster.engines.iter().map(|e| e.counts().cancelled).sum();
    assert_that!(cancelled, eq(1));
    Ok(())
}

#[tokio::test]
async fn parallel_callers_receive_their_own_answers() -> eyre::Result<()> {
    let cluster = Cluster::start(SIZE).await?;
    let calls = (0..200).map(|i| {
        let cluster = &cluster;
        async move {
            let nonce = format!("n{i}");
            let answer = cluster.chat(i % 2, &nonce, i % 3 != 0).await?;
            eyre::Ok((nonce, answer.text))
        }
    });
    for (nonce, text) in futures::future::try_join_all(calls).await? {
        assert_that!(text, eq(&expected_answer(&nonce)));
    }
    Ok(())
}
